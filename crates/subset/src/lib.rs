//! Subsetting: which servers a front node prefers, which node probes an unresponsive server, and how nodes together
//! correct an uneven load.
//!
//! All results are computed from the members and servers alone, so that nodes with the same view reach the same result.
//! A subset is a preference and never an exclusion: no safety property depends on nodes agreeing about it. The crate has
//! no I/O, no clock and no randomness.
//!
//! - [`working`]: the subset itself, with the share of a node's traffic for each server ([`plan`]);
//! - [`widen`]: how a node extends its subset at a bounded rate, and shrinks it again;
//! - [`turns`]: which node probes an unresponsive server in a window, and which one queries the directory for a zone;
//! - [`damp`]: the control law by which each node corrects its own share of an imbalance;
//! - [`settings`]: the settings of an operator.
#![warn(missing_docs)]

pub mod damp;
mod error;
mod hash;
pub mod settings;
pub mod turns;
pub mod widen;
pub mod working;

pub use damp::{BalanceController, ControlLaw, LoadFigure};
pub use error::Error;
pub use turns::{Task, TaskHistory};
pub use widen::{ServerStatus, SubsetWidener};
pub use working::{Plan, Preferred, Reason, plan};

/// A point in time or a duration, in nanoseconds of one monotonic clock.
pub type Nanos = u64;

/// A front node.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// Its name in the membership view.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its traffic relative to the mean of all nodes.
    pub capacity: f64,
}

/// A server.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// Its id in the server list.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Its weight.
    pub weight: f64,
}

//! Which servers a front node works with first, whose turn it is to look at a silent one, and how much of a shared figure
//! one node answers.
//!
//! Members and servers in, a working subset and turns out; the same words in give the same out at every node. A subset is
//! a preference and never an exclusion: no rule's safety rests on agreement about it. No I/O, no clock, no chance.
//!
//! - [`working`]: the subset itself, with the part of a node's traffic for each server ([`plan`]);
//! - [`widen`]: how a node goes beyond it, at a bounded rate, and comes back;
//! - [`turns`]: who looks at a silent server in a window, who asks the directory for a zone;
//! - [`damp`]: the control law by which each node answers its own part of a gap;
//! - [`settings`]: what an operator states.
#![warn(missing_docs)]

pub mod damp;
mod error;
mod hash;
pub mod settings;
pub mod turns;
pub mod widen;
pub mod working;

pub use damp::{Damper, Figure, Law};
pub use error::Error;
pub use turns::{Matter, Watch};
pub use widen::{State, Widen};
pub use working::{Plan, Preferred, Why, plan};

/// A point in time or a span of it, in nanoseconds of one clock that never runs backwards.
pub type Nanos = u64;

/// A front node, as the view names it.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// Its name in the view.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its traffic beside the others', 1 on the mean.
    pub capacity: f64,
}

/// A server, as the list names it.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// Its id in the list.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Its weight.
    pub weight: f64,
}

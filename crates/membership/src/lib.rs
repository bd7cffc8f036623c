//! A view of the front nodes, kept by themselves.
//!
//! [`View`] is a state machine without I/O or clock: datagrams and the time in, datagrams and changes out. Detection and
//! spread are SWIM's (A. Das, I. Gupta, A. Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", 2002), by the library [`foca`]. On top of it stand what a fleet needs and the library leaves to
//! its user: starts of one name that outrank each other without clocks, a node that stood still and accuses nobody (after
//! the local health of Lifeguard, 2018), members that were given up and are called again, a digest of the view and the
//! word *settled*, bounds. [`frame`] keeps out what is not of this fleet; [`share`] gives each a part of a
//! common budget, so that all parts together never pass it; [`letter`] carries the words of other packages; [`shell`] is
//! the UDP around it.
#![warn(missing_docs)]

mod book;
mod carrier;
pub mod clock;
mod doubts;
mod error;
pub mod frame;
mod identity;
mod io;
pub mod letter;
mod lives;
pub mod news;
mod parts;
mod posts;
pub mod settings;
pub mod share;
pub mod shell;
mod spread;
pub mod status;
mod topic;
mod view;

pub use error::Error;
pub use identity::{MOST_MEMBERS, Member, NAME};
#[doc(hidden)]
pub use io::Feature;
pub use io::{Change, Counts, Input, Output, State, Unsettled};
pub use letter::{Letter, Letters, Post};
pub use settings::Settings;
pub use view::View;

/// A point in time or a span of it, in nanoseconds of one clock that never runs backwards.
pub type Nanos = u64;
/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000 * MS;

//! Timeouts and limits of a front node beyond the module's decisions, by subject. Free of I/O; each constant is a choice
//! with its reason. Where a session goes, whether it is taken and at which rung are the module's, never chosen here.

use micadyke::interface::Nanos;

pub mod bus;
pub mod fleet;
pub mod servers;
pub mod viewers;

/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000 * MS;

/// Connections of viewers at most, as a part of the descriptors: usual viewers hold a third at most.
const VIEWERS_PART: f64 = 0.5;
/// Descriptors kept for the program itself, the listener and the bus.
pub const OWN_DESCRIPTORS: usize = 24;

/// Connections of viewers and of servers that a node with so many descriptors holds at most.
pub fn shares(descriptors: usize) -> (usize, usize) {
    let viewers = (descriptors as f64 * VIEWERS_PART) as usize;
    (viewers, descriptors.saturating_sub(viewers + OWN_DESCRIPTORS).max(8))
}

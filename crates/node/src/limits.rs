//! Timeouts and limits of a front node, grouped by peer. No I/O.
//!
//! Placement, admission and rungs of sessions are decisions of the module and are not made here.

use micadyke::interface::Nanos;

pub mod bus;
pub mod fleet;
pub mod servers;
pub mod viewers;

/// One millisecond, in nanoseconds.
pub const MS: Nanos = 1_000_000;
/// One second, in nanoseconds.
pub const SECOND: Nanos = 1_000 * MS;

/// Share of the descriptors that viewers' connections may use. Well-behaved viewers need a third.
const VIEWER_SHARE: f64 = 0.5;
/// Descriptors reserved for the program itself, the listener and the event bus.
pub const OWN_DESCRIPTORS: usize = 24;

/// The maximum numbers of viewer connections and of server connections for a number of descriptors.
pub fn connection_limits(descriptors: usize) -> (usize, usize) {
    let viewers = (descriptors as f64 * VIEWER_SHARE) as usize;
    (viewers, descriptors.saturating_sub(viewers + OWN_DESCRIPTORS).max(8))
}

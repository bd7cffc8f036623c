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

/// Share of the node's memory that sessions may take: open set-ups with their descriptions, and sessions that play. The rest
/// is for the program, the list, and what is read and written in part on each connection.
const SESSION_MEMORY_SHARE: f64 = 0.25;
/// Bytes that a session takes without its description, in all tables and in the module.
pub const SESSION_BYTES: usize = 1024;

/// The bytes that sessions may take in a node with this much memory.
pub fn session_memory(node_memory: usize) -> usize {
    (node_memory as f64 * SESSION_MEMORY_SHARE) as usize
}

/// The maximum numbers of viewer connections and of server connections for a number of descriptors.
pub fn connection_limits(descriptors: usize) -> (usize, usize) {
    let viewers = (descriptors as f64 * VIEWER_SHARE) as usize;
    (viewers, descriptors.saturating_sub(viewers + OWN_DESCRIPTORS).max(8))
}

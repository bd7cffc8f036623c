//! Membership of the front nodes: a view of the fleet that the nodes maintain among themselves.
//!
//! [`View`] is a state machine without I/O or clock: it takes datagrams and the time, and returns datagrams and changes.
//! Failure detection and dissemination follow SWIM (A. Das, I. Gupta, A. Motivala: "SWIM: Scalable Weakly-consistent
//! Infection-style Process Group Membership Protocol", 2002), implemented by the library [`foca`]. This crate adds:
//!
//! - restarts under the same name that supersede each other without relying on clocks;
//! - a process that was stalled does not suspect others (after the local health of Lifeguard, 2018);
//! - members that were declared down are contacted again;
//! - a digest of the view, and the notion of a *settled* view that no member disagrees with;
//! - bounds on all state.
//!
//! [`frame`] rejects datagrams of other fleets; [`share`] divides a common budget so that the shares never exceed it;
//! [`message`] carries messages of other packages; [`shell`] runs a view on a UDP socket.
#![warn(missing_docs)]

mod budget_shares;
pub mod clock;
mod error;
mod failure_detector;
pub mod frame;
mod identity;
mod io;
mod member_table;
pub mod message;
mod message_relay;
mod report_gossip;
pub mod server_report;
pub mod settings;
pub mod share;
pub mod shell;
pub mod status;
mod sub_protocol;
mod suspicion;
mod transport;
mod view;

pub use error::Error;
pub use identity::{MAX_MEMBERS, MAX_NAME_BYTES, Member};
#[doc(hidden)]
pub use io::Feature;
pub use io::{Change, Counts, Input, Output, State, Unsettled};
pub use message::{Message, MessageChannel, MessageCounts};
pub use settings::Settings;
pub use view::View;

/// A point in time or a duration, in nanoseconds of one monotonic clock.
pub type Nanos = u64;
/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000 * MS;

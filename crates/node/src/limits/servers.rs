//! Connections to media servers: their number, their timeouts, the choice of one for a set-up, and when a server counts as
//! lost.

use super::{MS, SECOND};
use micadyke::interface::Nanos;

/// Maximum connections to one server. Set-ups are spread over several, as an invalid answer fails all attempts on its
/// connection.
pub const MAX_CONNECTIONS_PER_SERVER: usize = 4;
/// An idle connection is closed after this time, unless sessions of the server need it.
const IDLE_TIMEOUT: Nanos = 5 * SECOND;
/// An idle connection is also closed after the servers' own idle timeout divided by this. A set-up that crosses the
/// server's close may have run and must not be repeated where that does harm.
const IDLE_DIVISOR: Nanos = 2;
/// Servers write whole messages, so a partial one that is not completed within this time never will be.
pub const PARTIAL_MESSAGE_TIMEOUT: Nanos = 250 * MS;
/// Connect timeout if the settings state none.
pub const CONNECT_TIMEOUT: Nanos = 250 * MS;
/// Upper bound of the connect timeout, as an attempt to connect to a vanished machine holds a descriptor and a timer.
pub const MAX_CONNECT_TIMEOUT: Nanos = 3 * SECOND;
/// Maximum bytes queued for a server. A server with a larger backlog is not reading.
pub const MAX_BACKLOG_BYTES: usize = 256 << 10;

/// The idle timeout, given the servers' own (`closed_by_server`; 0 if unknown).
pub fn idle_timeout(closed_by_server: Nanos) -> Nanos {
    match closed_by_server {
        0 => IDLE_TIMEOUT,
        stated => IDLE_TIMEOUT.min(stated / IDLE_DIVISOR),
    }
}

/// Whether the server may be about to close a connection that has been idle since `last_used`.
pub fn may_be_closed(last_used: Nanos, closed_by_server: Nanos, now: Nanos) -> bool {
    closed_by_server > 0 && now >= last_used + closed_by_server / IDLE_DIVISOR
}

/// A connection that does not accept a withdrawal within this time is closed. No attempt may begin more than 0.1 s after its
/// viewer has gone, and a partly written set-up could otherwise be completed later.
pub const WITHDRAWAL_TIMEOUT: Nanos = 100 * MS;

/// A server with sessions that sends nothing for this long is probed on a new connection. It normally sends something in
/// each report interval, and the end of a session must be reported to the viewer within 8 s.
pub const SILENCE_TIMEOUT: Nanos = 3 * SECOND;
/// A server that owes reports, and whose connections come up while the event bus is out of reach, counts as lost after this
/// time without a certain sign of life. The end of a session must be reported to the viewer within 8 s.
pub const CERTAIN_SILENCE_LIMIT: Nanos = 7 * SECOND;
/// Maximum processes at one address that are told apart while the event bus is out of reach.
pub const MAX_SIGNS_OF_LIFE: usize = 8;
/// Consecutive failed connection attempts after which a silent server counts as lost. A single one may be a lost handshake.
pub const MAX_FAILED_CALLS: u32 = 3;
/// Pause between connection attempts to the same server.
pub const CONNECT_RETRY_PAUSE: Nanos = 300 * MS;

/// Time from the end of a connection on which a release may have been lost to the next connection, on which the server
/// repeats it. By then the server knows that the old one has ended, and writes no further release there. A release must reach
/// its viewer within 1 s.
pub const RECONNECT_DELAY: Nanos = 100 * MS;
/// Time since the last sign of life of a server after which it is connected to again if its connection was closed for want
/// of room. With three connection attempts that fail, its sessions are released within 8 s of their end.
pub const TURN_INTERVAL: Nanos = 5 * SECOND;
/// A connection is not closed for another one before this time: a server that waited its turn sends what it has kept.
pub const MIN_CONNECTION_TIME: Nanos = 50 * MS;
/// Maximum connections that are opened in turn in each maintenance, so that they are spread over time.
pub const MAX_TURNS_PER_MAINTENANCE: usize = 10;
/// A server repeats releases on a new connection within this time.
pub const RELEASE_REPEAT_TIME: Nanos = SECOND;

/// How long set-ups avoid a server after the first failed connection attempt. Each further set-up would wait for a whole
/// connect timeout, and one node of hundreds has too few set-ups to learn from them.
const MIN_AVOIDANCE: Nanos = SECOND;
/// Upper bound of that time. The list reports a restarted server within seconds.
const MAX_AVOIDANCE: Nanos = 4 * SECOND;

/// How long set-ups avoid a server after `failed_calls` consecutive failed connection attempts. If the last was refused,
/// the machine is up and the process may restart at any moment.
pub fn avoidance_time(failed_calls: u32, refused: bool) -> Nanos {
    if refused {
        CONNECT_RETRY_PAUSE
    } else {
        (MIN_AVOIDANCE << failed_calls.saturating_sub(1).min(8)).min(MAX_AVOIDANCE)
    }
}

/// A connection that could carry a set-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The connection is established and accepts data.
    pub up: bool,
    /// Number of set-ups that are open on it or waiting for it.
    pub open: usize,
}

/// The choice of a connection for a set-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pick {
    /// The candidate with this index.
    Existing(usize),
    /// A new connection.
    New,
    /// No connection: all are full and no other may be opened.
    None,
}

/// Chooses an established connection without set-ups; otherwise a new one if `has_capacity`; otherwise the one with the
/// fewest set-ups, if it has fewer than `max_open`.
pub fn pick_connection(links: &[Candidate], max_open: usize, has_capacity: bool) -> Pick {
    let free = links.iter().position(|l| l.up && l.open == 0);
    if let Some(i) = free {
        return Pick::Existing(i);
    }
    if has_capacity && links.len() < MAX_CONNECTIONS_PER_SERVER {
        return Pick::New;
    }
    let least_used =
        links.iter().enumerate().filter(|(_, l)| l.open < max_open).min_by_key(|(_, l)| (!l.up, l.open));
    match least_used {
        Some((i, _)) => Pick::Existing(i),
        None if has_capacity => Pick::New,
        None => Pick::None,
    }
}

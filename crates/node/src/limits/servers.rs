//! Connections to media servers: how many, for how long, which one carries a set-up, and when a server counts as gone.

use super::{MS, SECOND};
use micadyke::interface::Nanos;

/// Connections to one server that a set-up is spread over: a spoilt answer takes all others on its connection along.
pub const CONNECTIONS: usize = 4;
/// A connection to a server that carried nothing for so long is closed, beyond the one that sessions there need.
const IDLE_TIMEOUT: Nanos = 5 * SECOND;
/// And after this part of the time after which servers close idle connections: a set-up that crosses such a close may
/// have run, and may not be sent again where that harms.
const IDLE_PART: Nanos = 2;
/// Servers write messages whole: half of one that does not go on for so long never will.
pub const HALF_MESSAGE: Nanos = 250 * MS;
/// A connection that does not come up within this, where the settings state nothing.
pub const CONNECT_TIMEOUT: Nanos = 250 * MS;
/// A longer time-out is taken for this one: a call to a machine that has vanished holds a descriptor and a timer.
pub const LONGEST_CONNECT_TIMEOUT: Nanos = 3 * SECOND;
/// Bytes that wait to be written to a server at most; a server that lets more pile up reads nothing.
pub const BACKLOG: usize = 256 << 10;

/// After how long a connection that carries nothing is closed, where servers close it after `closed_by_server`; 0: they
/// do not say.
pub fn idle_timeout(closed_by_server: Nanos) -> Nanos {
    match closed_by_server {
        0 => IDLE_TIMEOUT,
        stated => IDLE_TIMEOUT.min(stated / IDLE_PART),
    }
}

/// Whether a server may be about to close a connection that carried nothing since `last`.
pub fn may_be_closed(last: Nanos, closed_by_server: Nanos, now: Nanos) -> bool {
    closed_by_server > 0 && now >= last + closed_by_server / IDLE_PART
}

/// A withdrawal that a connection to a server does not take within this closes the connection: no attempt may begin more than
/// 0.1 s after its viewer has gone, and a set-up of which a part was taken would.
pub const WITHDRAWAL: Nanos = 100 * MS;

/// A server with sessions tells something at least as often as its notes come; silent for longer than this, it is
/// called on a new connection. The end of a session must be told within 8 s.
pub const QUIET: Nanos = 3 * SECOND;
/// Calls in a row that must fail before a silent server counts as gone: one lost handshake is no death.
pub const CALLS: u32 = 3;
/// Pause between such calls.
pub const CALL_PAUSE: Nanos = 300 * MS;

/// First span for which set-ups stay away from a server whose call did not come up: each that tries waits a whole
/// connect time-out for it, and a node of hundreds sees too few set-ups to learn much from one more.
const FIRST_LOST: Nanos = SECOND;
/// Longest such span: the list tells of a return within seconds.
const LONGEST_LOST: Nanos = 4 * SECOND;

/// How long set-ups stay away from a server after `calls` in a row that did not come up. Where the last was refused, a
/// machine is there, and its process may be back at once.
pub fn lost_for(calls: u32, refused: bool) -> Nanos {
    if refused { CALL_PAUSE } else { (FIRST_LOST << calls.saturating_sub(1).min(8)).min(LONGEST_LOST) }
}

/// A connection that a set-up could go out on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// It is up.
    pub up: bool,
    /// Set-ups open on it, or waiting for it.
    pub open: usize,
}

/// Which connection a set-up goes out on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pick {
    /// The one at this place.
    Old(usize),
    /// A new one.
    New,
    /// None: all are full, and there is no room for another.
    None,
}

/// Chooses a connection: one that is up and carries no set-up; else a new one while there is room; else the one that
/// carries the fewest, up to `most` set-ups each.
pub fn pick(links: &[Candidate], most: usize, room: bool) -> Pick {
    let free = links.iter().position(|l| l.up && l.open == 0);
    if let Some(i) = free {
        return Pick::Old(i);
    }
    if room && links.len() < CONNECTIONS {
        return Pick::New;
    }
    let least = links.iter().enumerate().filter(|(_, l)| l.open < most).min_by_key(|(_, l)| (!l.up, l.open));
    match least {
        Some((i, _)) => Pick::Old(i),
        None if room => Pick::New,
        None => Pick::None,
    }
}

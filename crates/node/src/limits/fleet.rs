//! What a node takes from the other nodes, and its return with them.

use super::SECOND;
use micadyke::interface::Nanos;
use micadyke_recovery::phases::Limits;

/// A server that said something within this time needs no look for what others found.
pub const LOOK: Nanos = SECOND;
/// Looks a second for what others found, at most: a liar, or one with a broken link, costs so many calls and no more.
pub const LOOKS: f64 = 4.0;
/// Part of the servers that may drain by hearsay alone.
const HEARSAY_PART: f64 = 0.5;

/// Servers, of so many, that may drain by hearsay alone.
pub fn hearsay(ready: usize) -> usize {
    (ready as f64 * HEARSAY_PART) as usize
}

/// Looks that are left now, of what was left then.
pub fn looks((left, at): (f64, Nanos), now: Nanos) -> f64 {
    (left + now.saturating_sub(at) as f64 / SECOND as f64 * LOOKS).min(LOOKS)
}

/// A working subset is drawn again this long after the last at the earliest: views and lists change in bursts, and the
/// drawing takes the loop's time: with 200 servers 5 ms for 300 nodes, 40 ms for 2,400.
pub const REDRAW: Nanos = 2 * SECOND;
/// A server that turned a set-up away counts as full for so long: a note's usual period.
pub const FULL: Nanos = 2 * SECOND;
/// Set-ups stay away for so long from a server that somebody looks at in this window or did in the one before.
pub const TURN: Nanos = SECOND;

/// How long a node that comes back waits at most: for the bus, which tells all within the longest pause between
/// calls ([`super::bus::longest_pause`]) once it is back; for the others, whose views settle within twenty
/// (`docs/results.md`); for servers as long as for one that is called; for a lease two of its usual length.
pub const RECOVERY: Limits =
    Limits { list: 10 * SECOND, view: 20 * SECOND, servers: 2 * SECOND, parts: 6 * SECOND };
/// Servers that one node asks whether they live: hundreds of nodes ask at once, and tell each other what they find.
pub const ASKED: usize = 8;

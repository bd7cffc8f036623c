//! What a front node chooses beyond the module's decisions: whether a server lives, which connection is used, what is
//! taken at the door. Free of I/O; each constant is a choice with its reason. Where a session goes, whether it is taken
//! and at which rung are the module's, never chosen here.

use micadyke::interface::Nanos;
use micadyke_recovery::phases::Limits;

/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000 * MS;

// ----- the event bus

/// The bus comments each second: two missed and a half mean that it has stopped, and what it tells counts as told 4 s
/// after that unless the node asks again.
pub const BUS_SILENCE: Nanos = 2_500 * MS;
/// A call of the bus whose stream is not open by then is made again: the silence and one call that hangs come to
/// 3.5 s, so that a second call is out before what the bus tells counts as told.
const BUS_CALL: Nanos = SECOND;
/// Longest such time: it doubles with each call in a row that hangs, for a bus that is merely slow to answer.
pub const BUS_CALL_MOST: Nanos = 8 * SECOND;
/// A stream that was open for so long was a sound one, also if it told nothing: asked for again at once.
pub const BUS_STEADY: Nanos = SECOND;
/// Pause after the first failed call of the bus.
const BUS_PAUSE: Nanos = 50 * MS;
/// Longest pause, also where the settings allow more or say nothing: well within the time after which a listing
/// counts as told.
const BUS_PAUSE_MOST: Nanos = 500 * MS;

/// The bus tells what was missed with the opening of its stream: nothing by then, and the list held is its own word.
pub const CAUGHT_UP: Nanos = 100 * MS;

/// How long a call of the bus may take to open its stream, after `hung` in a row that did not.
pub fn bus_call(hung: u32) -> Nanos {
    (BUS_CALL << hung.min(8)).min(BUS_CALL_MOST)
}

/// The longest pause between calls of the bus: half of the drain grace, so that a drain which was told while the
/// bus was out of reach is heard within its grace once the bus is back. `grace` 0: the settings state none.
pub fn bus_pause_most(grace: Nanos) -> Nanos {
    if grace == 0 { BUS_PAUSE_MOST } else { (grace / 2).clamp(BUS_PAUSE / 2, BUS_PAUSE_MOST) }
}

/// How long to wait after `failed` calls in a row, `most` at most; `lot` from 0 to 1 keeps the fronts apart.
pub fn bus_pause(failed: u32, most: Nanos, lot: f64) -> Nanos {
    if failed == 0 {
        return 0;
    }
    let span = (BUS_PAUSE << (failed - 1).min(8)).min(most);
    (span as f64 * (0.5 + 0.5 * lot.clamp(0.0, 1.0))) as Nanos
}

// ----- connections to servers

/// Connections to one server that a set-up is spread over: a spoilt answer takes all others on its connection along.
pub const LINKS: usize = 4;
/// A connection to a server that carried nothing for so long is closed, beyond the one that sessions there need.
const LINK_IDLE: Nanos = 5 * SECOND;
/// And after this part of the time after which servers close idle connections: a set-up that crosses such a close may
/// have run, and may not be sent again where that harms.
const LINK_IDLE_PART: Nanos = 2;
/// Servers write messages whole: half of one that does not go on for so long never will.
pub const HALF_MESSAGE: Nanos = 250 * MS;
/// A connection that does not come up within this, where the settings state nothing.
pub const CONNECT: Nanos = 250 * MS;
/// A longer time-out is taken for this one: a call to a machine that has vanished holds a descriptor and a timer.
pub const CONNECT_MOST: Nanos = 3 * SECOND;
/// Bytes that wait to be written to a server at most; a server that lets more pile up reads nothing.
pub const LINK_BACKLOG: usize = 256 << 10;

/// After how long a connection that carries nothing is closed, where servers close it after `closed_by_server`; 0: they
/// do not say.
pub fn link_idle(closed_by_server: Nanos) -> Nanos {
    match closed_by_server {
        0 => LINK_IDLE,
        stated => LINK_IDLE.min(stated / LINK_IDLE_PART),
    }
}

/// Whether a server may be about to close a connection that carried nothing since `last`.
pub fn may_be_closed(last: Nanos, closed_by_server: Nanos, now: Nanos) -> bool {
    closed_by_server > 0 && now >= last + closed_by_server / LINK_IDLE_PART
}

/// A withdrawal that a connection to a server does not take within this closes the connection: no attempt may begin more than
/// 0.1 s after its viewer has gone, and a set-up of which a part was taken would.
pub const WITHDRAWAL: Nanos = 100 * MS;

// ----- recovery

/// How long a node that comes back waits at most: for the bus, which tells all within the longest pause between
/// calls ([`bus_pause_most`]) once it is back; for the others, whose views settle within twenty
/// (`docs/results.md`); for servers as long as for one that is called; for a lease two of its usual length.
pub const RECOVERY: Limits =
    Limits { list: 10 * SECOND, view: 20 * SECOND, servers: 2 * SECOND, parts: 6 * SECOND };
/// Servers that one node asks whether they live: hundreds of nodes ask at once, and tell each other what they find.
pub const ASKED: usize = 8;

// ----- whether a server lives

/// A server with sessions tells something at least as often as its notes come; silent for longer than this, it is
/// called on a new connection. The end of a session must be told within 8 s.
pub const QUIET: Nanos = 3 * SECOND;
/// Calls in a row that must fail before a silent server counts as gone: one lost handshake is no death.
pub const CALLS: u32 = 3;
/// Pause between such calls.
pub const CALL_PAUSE: Nanos = 300 * MS;

/// First span for which set-ups stay away from a server whose call did not come up: each that tries waits a whole
/// connect time-out for it, and a node of hundreds sees too few set-ups to learn much from one more.
const LOST: Nanos = SECOND;
/// Longest such span: the list tells of a return within seconds.
const LOST_MOST: Nanos = 4 * SECOND;

/// How long set-ups stay away from a server after `calls` in a row that did not come up. Where the last was refused, a
/// machine is there, and its process may be back at once.
pub fn lost_for(calls: u32, refused: bool) -> Nanos {
    if refused { CALL_PAUSE } else { (LOST << calls.saturating_sub(1).min(8)).min(LOST_MOST) }
}

// ----- what other nodes say

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

// ----- subsets and turns

/// A working subset is drawn again this long after the last at the earliest: views and lists change in bursts, and the
/// drawing takes the loop's time: with 200 servers 5 ms for 300 nodes, 40 ms for 2,400.
pub const REDRAW: Nanos = 2 * SECOND;
/// A server that turned a set-up away counts as full for so long: a note's usual period.
pub const FULL: Nanos = 2 * SECOND;
/// Set-ups stay away for so long from a server that somebody looks at in this window or did in the one before.
pub const TURN: Nanos = SECOND;

// ----- at the door

/// Connections of viewers at most, as a part of the descriptors: usual viewers hold a third at most.
const VIEWERS_PART: f64 = 0.5;
/// Descriptors kept for the program itself, the listener and the bus.
pub const OWN_DESCRIPTORS: usize = 24;
/// A viewer that has not sent a sound message by then is turned away: it is owed an answer or a close within 3 s.
pub const SILENT: Nanos = 2 * SECOND;
/// Half a message that does not go on for so long is not waited for.
pub const HALF_REQUEST: Nanos = 1_500 * MS;
/// Set-ups open on one connection at most: far more than usual viewers have, and a flood on one connection does not
/// take the others' turn. Those beyond are refused at once, never having been sent.
pub const OPEN_EACH: usize = 64;
/// Unsound messages on one connection after which it is closed.
pub const UNSOUND: u32 = 4;
/// After an unsound message a connection is not read for this long: the same again at once costs its sender alone.
pub const UNSOUND_PAUSE: Nanos = 50 * MS;
/// Bytes that wait to be written to a viewer at most; one that reads nothing is closed.
pub const VIEWER_BACKLOG: usize = 64 << 10;
/// A connection that said something within this time is closed to make room only where no other can be.
pub const JUST_SENT: Nanos = SECOND;
/// And within this time it is never closed for that: its next set-up may be on its way. What crosses a close within 50 ms
/// is sent again; twice that, for both ways.
pub const CROSSING: Nanos = 100 * MS;
/// Set-ups withdrawn in a row on one connection, none answered between them, after which it is closed: a client that asks
/// and withdraws at full speed is owed a word or a close like any other, and each of its set-ups costs a server work.
pub const WITHDRAWN_EACH: u32 = OPEN_EACH as u32;
/// Such a row is no longer than this: a client is owed its word or close within 3 s, like one that says nothing.
pub const WITHDRAWN_SPAN: Nanos = SILENT;
/// A connection younger than this is given the time to say something, as long as any other can make room.
pub const YOUNG: Nanos = 100 * MS;
/// What a set-up refused at the door is told to wait.
pub const STAY_AWAY: Nanos = SECOND;
/// A release that no connection could take is kept for so long: it is due within 8 s of the session's end.
pub const RELEASE_KEPT: Nanos = 8 * SECOND;
/// A release waits so long for a connection that is known for a viewer's before another that brought a set-up is used.
pub const RELEASE_CHOOSY: Nanos = 500 * MS;
/// Then any connection is used that sent nothing unsound: better than none, before the release is given up.
pub const RELEASE_ANY: Nanos = RELEASE_KEPT - SECOND;

/// Connections of viewers and of servers that a node with so many descriptors holds at most.
pub fn shares(descriptors: usize) -> (usize, usize) {
    let viewers = (descriptors as f64 * VIEWERS_PART) as usize;
    (viewers, descriptors.saturating_sub(viewers + OWN_DESCRIPTORS).max(8))
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
    if room && links.len() < LINKS {
        return Pick::New;
    }
    let least = links.iter().enumerate().filter(|(_, l)| l.open < most).min_by_key(|(_, l)| (!l.up, l.open));
    match least {
        Some((i, _)) => Pick::Old(i),
        None if room => Pick::New,
        None => Pick::None,
    }
}

/// What a viewer's connection has shown itself to be.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Use {
    /// It has sent nothing sound.
    #[default]
    Silent,
    /// It sent sound messages, but no set-up: what tests a node from outside does no more.
    Tests,
    /// It brought a set-up.
    SetUps,
    /// Sessions that came by it stand: their releases are owed to it.
    Sessions,
}

/// A viewer's connection that might be closed to make room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Idler {
    /// No set-up is open on it.
    pub free: bool,
    /// What it has been used for.
    pub used: Use,
    /// When it last sent a sound message, or connected.
    pub last: Nanos,
}

/// Which connection makes room for a new one: of those with no set-up open one that has had time to speak and never
/// brought a set-up, the silent ones first; else the longest idle one that brought set-ups, has not just sent and bears no
/// session; else the oldest that has not had time to speak; else the longest idle one that bears sessions, for viewers keep
/// those and leave others after seconds; else, in the same order, one that has sent within [`JUST_SENT`], for a newcomer
/// that is closed has asked for nothing yet. Of equals the one that is idle longest. `None`: none may be closed.
pub fn evict(idlers: impl Iterator<Item = (u64, Idler)>, now: Nanos) -> Option<u64> {
    let rank = |i: &Idler| {
        let idle = now.saturating_sub(i.last);
        match i.used {
            Use::Silent if idle >= YOUNG => Some(0),
            Use::Tests if idle >= YOUNG => Some(1),
            Use::SetUps if idle >= JUST_SENT => Some(2),
            Use::Silent | Use::Tests => Some(3),
            Use::Sessions if idle >= JUST_SENT => Some(4),
            Use::SetUps if idle >= CROSSING => Some(5),
            Use::Sessions if idle >= CROSSING => Some(6),
            Use::SetUps | Use::Sessions => None,
        }
    };
    let may = idlers.filter(|i| i.1.free).filter_map(|(id, i)| Some((rank(&i)?, i.last, id)));
    may.min().map(|m| m.2)
}

/// A viewer's connection that a release could go out on, when the one that its session came by is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bearer {
    /// Sessions that came by it and stand.
    pub standing: usize,
    /// A session that came by it has stood.
    pub proven: bool,
    /// What it has been used for.
    pub used: Use,
    /// It sent something unsound.
    pub unsound: bool,
    /// When it last sent a sound message, or connected.
    pub last: Nanos,
}

/// Which connection bears a release: one by which sessions came that stand, for viewers keep those open; else one that
/// has brought one that stood; else, once the release has waited for [`RELEASE_CHOOSY`], one that brought a set-up; else,
/// after [`RELEASE_ANY`], any. What merely sent a set-up or a test may be no viewer's, and then reads for nobody else: after
/// anything unsound it is not used. The latest of equals.
pub fn bearer(bearers: impl Iterator<Item = (u64, Bearer)>, waited: Nanos) -> Option<u64> {
    let rank = |b: &Bearer| match (b.standing > 0, b.proven, b.used) {
        (true, ..) => Some(3),
        (false, true, _) => Some(2),
        (false, false, Use::SetUps | Use::Sessions) => (waited >= RELEASE_CHOOSY && !b.unsound).then_some(1),
        (false, false, Use::Silent | Use::Tests) => (waited >= RELEASE_ANY && !b.unsound).then_some(0),
    };
    bearers.filter_map(|(id, b)| Some((rank(&b)?, b.last, id))).max().map(|m| m.2)
}

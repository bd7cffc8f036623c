//! Connections of viewers: timeouts, what is taken at the door, which connection makes room and which bears a release.

use super::{MS, SECOND};
use micadyke::interface::Nanos;

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
pub const BACKLOG: usize = 64 << 10;
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

/// Set-ups that were withdrawn in a row on one connection, none answered between them.
#[derive(Debug, Default, Clone, Copy)]
pub struct Withdrawals {
    in_a_row: u32,
    /// When the first of them was withdrawn.
    since: Nanos,
}

impl Withdrawals {
    /// Counts one more, withdrawn now: of the row if that is still young, else the first of a new one.
    pub fn another(&mut self, now: Nanos) {
        let goes_on = self.in_a_row > 0 && now <= self.since + WITHDRAWN_SPAN;
        if !goes_on {
            *self = Withdrawals { in_a_row: 0, since: now };
        }
        self.in_a_row += 1;
    }

    /// Whether the connection does nothing but withdraw what it has asked for.
    pub fn too_many(&self) -> bool {
        self.in_a_row >= WITHDRAWN_EACH
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

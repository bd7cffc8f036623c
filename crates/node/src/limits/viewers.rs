//! Connections of viewers: timeouts, admission limits, which connection is evicted, and which one carries a release.

use super::{MS, SECOND};
use micadyke::interface::Nanos;

/// A viewer that has not sent a valid message within this time is disconnected. It must get an answer or a close within 3 s.
pub const FIRST_MESSAGE_TIMEOUT: Nanos = 2 * SECOND;
/// A partial message must be completed within this time.
pub const PARTIAL_REQUEST_TIMEOUT: Nanos = 1_500 * MS;
/// Maximum open set-ups on one connection. Further ones are refused without having been sent. Well-behaved viewers have far
/// fewer, and the limit keeps a flood on one connection from starving the others.
pub const MAX_OPEN_PER_CONNECTION: usize = 64;
/// A connection is closed after this many invalid messages.
pub const MAX_INVALID_MESSAGES: u32 = 4;
/// A connection is not read for this long after an invalid message, so that a sender of many slows down only itself.
pub const INVALID_MESSAGE_PAUSE: Nanos = 50 * MS;
/// Maximum bytes queued for a viewer. A viewer with a larger backlog is not reading and is disconnected.
pub const MAX_BACKLOG_BYTES: usize = 64 << 10;
/// A connection that sent a message within this time is evicted only if no other can be.
pub const RECENTLY_ACTIVE: Nanos = SECOND;
/// A connection that sent a message within this time is never evicted, as its next set-up may be on its way. A viewer
/// resends what crosses a close within 50 ms; this is twice that, for both directions.
pub const CROSSING_TIME: Nanos = 100 * MS;
/// A connection is closed after this many consecutive withdrawals without an answer in between. A client that sends and
/// withdraws set-ups at full speed must get an answer or a close like any other, and each of its set-ups costs a server
/// work.
pub const MAX_CONSECUTIVE_WITHDRAWALS: u32 = MAX_OPEN_PER_CONNECTION as u32;
/// Withdrawals are counted over at most this time, as a client must get an answer or a close within 3 s.
pub const WITHDRAWAL_WINDOW: Nanos = FIRST_MESSAGE_TIMEOUT;
/// A connection that is idle for less than this is not evicted while another can be, so that new ones have time to send.
pub const GRACE_PERIOD: Nanos = 100 * MS;
/// Retry delay in the refusal of a set-up that was not admitted.
pub const REFUSAL_RETRY_AFTER: Nanos = SECOND;
/// A release without a suitable connection is kept for this long. It must be sent within 8 s of the session's end.
pub const RELEASE_LIFETIME: Nanos = 8 * SECOND;
/// After this time a release may use a connection that sent a set-up but never had a session.
pub const RELEASE_UNPROVEN_AFTER: Nanos = 500 * MS;
/// After this time a release may use any connection that sent nothing invalid, before it is dropped.
pub const RELEASE_ANY_AFTER: Nanos = RELEASE_LIFETIME - SECOND;

/// Consecutive withdrawals on one connection, without an answer in between.
#[derive(Debug, Default, Clone, Copy)]
pub struct Withdrawals {
    count: u32,
    /// Time of the first of them.
    since: Nanos,
}

impl Withdrawals {
    /// Counts a withdrawal. If the first one counted is older than the window, counting starts again.
    pub fn record(&mut self, now: Nanos) {
        let continues = self.count > 0 && now <= self.since + WITHDRAWAL_WINDOW;
        if !continues {
            *self = Withdrawals { count: 0, since: now };
        }
        self.count += 1;
    }

    /// Whether the limit is reached.
    pub fn too_many(&self) -> bool {
        self.count >= MAX_CONSECUTIVE_WITHDRAWALS
    }
}

/// What a viewer's connection has been used for.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Usage {
    /// It has sent no valid message.
    #[default]
    Silent,
    /// It has sent valid messages but no set-up, as a health check does.
    Tests,
    /// It has sent a set-up.
    Requests,
    /// Sessions requested on it are playing, and their releases must be sent on it.
    Sessions,
}

/// A viewer's connection that may be closed to admit a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EvictionCandidate {
    /// It has no open set-up.
    pub idle: bool,
    /// What the connection has been used for.
    pub usage: Usage,
    /// Time of its last valid message, or of its connection.
    pub last_message_at: Nanos,
}

/// Chooses the connection to close for a new one, or `None` if none may be closed.
///
/// Connections with open set-ups are excluded. In order of preference, and of equals the longest idle:
///
/// 1. one without set-ups that has had time to send, those without any message first;
/// 2. one that has sent set-ups, is not recently active and has no session;
/// 3. one that has not had time to send;
/// 4. one with sessions that is not recently active: viewers keep such connections, and leave others after seconds;
/// 5. one that was active within [`RECENTLY_ACTIVE`], without sessions first: a new client that is closed instead has
///    requested nothing yet.
pub fn pick_eviction(candidates: impl Iterator<Item = (u64, EvictionCandidate)>, now: Nanos) -> Option<u64> {
    let rank = |i: &EvictionCandidate| {
        let idle_time = now.saturating_sub(i.last_message_at);
        match i.usage {
            Usage::Silent if idle_time >= GRACE_PERIOD => Some(0),
            Usage::Tests if idle_time >= GRACE_PERIOD => Some(1),
            Usage::Requests if idle_time >= RECENTLY_ACTIVE => Some(2),
            Usage::Silent | Usage::Tests => Some(3),
            Usage::Sessions if idle_time >= RECENTLY_ACTIVE => Some(4),
            Usage::Requests if idle_time >= CROSSING_TIME => Some(5),
            Usage::Sessions if idle_time >= CROSSING_TIME => Some(6),
            Usage::Requests | Usage::Sessions => None,
        }
    };
    let evictable =
        candidates.filter(|i| i.1.idle).filter_map(|(id, i)| Some((rank(&i)?, i.last_message_at, id)));
    evictable.min().map(|m| m.2)
}

/// A viewer's connection that could carry the release of a session whose own connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReleaseCandidate {
    /// Number of playing sessions that were requested on it.
    pub playing: usize,
    /// A session that was requested on it has played.
    pub has_played: bool,
    /// What the connection has been used for.
    pub usage: Usage,
    /// It has sent an invalid message.
    pub sent_invalid: bool,
    /// Time of its last valid message, or of its connection.
    pub last_message_at: Nanos,
}

/// Chooses the connection for a release: one with playing sessions, as viewers keep those open; otherwise one that has had a
/// session; otherwise, once the release has `waited` for [`RELEASE_UNPROVEN_AFTER`], one that sent a set-up; otherwise,
/// after [`RELEASE_ANY_AFTER`], any. A client that only sent a set-up or a test may not be a viewer and may not forward
/// messages for others, so it is excluded after an invalid message. Of equals, the most recently active is chosen.
pub fn pick_release_connection(
    candidates: impl Iterator<Item = (u64, ReleaseCandidate)>, waited: Nanos,
) -> Option<u64> {
    let rank = |b: &ReleaseCandidate| match (b.playing > 0, b.has_played, b.usage) {
        (true, ..) => Some(3),
        (false, true, _) => Some(2),
        (false, false, Usage::Requests | Usage::Sessions) => {
            (waited >= RELEASE_UNPROVEN_AFTER && !b.sent_invalid).then_some(1)
        }
        (false, false, Usage::Silent | Usage::Tests) => {
            (waited >= RELEASE_ANY_AFTER && !b.sent_invalid).then_some(0)
        }
    };
    candidates.filter_map(|(id, b)| Some((rank(&b)?, b.last_message_at, id))).max().map(|m| m.2)
}

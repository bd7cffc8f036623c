//! Timeouts of connections to the event bus and pauses between them.

use super::{MS, SECOND};
use micadyke::interface::Nanos;

/// A stream without data for this long is reconnected. The bus sends a comment each second; 4 s after it stops, its events
/// count as delivered unless the node reconnects.
pub const SILENCE_TIMEOUT: Nanos = 2_500 * MS;
/// A call that has connected and is not answered within this time is joined by another. Together with the silence timeout,
/// one call without an answer takes 3.5 s, so a second is made before the events of the bus count as delivered.
const MIN_ANSWER_TIMEOUT: Nanos = SECOND;
/// Upper bound of that time, which doubles with each consecutive call that is late to allow for a slow bus: the time after
/// which events count as delivered. A cut that begins while a call waits is thus noticed before that.
const MAX_ANSWER_TIMEOUT: Nanos = 4 * SECOND;
/// Maximum calls that wait for answers at the same time; a further one that connects replaces the oldest. A bus has thus up
/// to 8 s for an answer.
pub const MAX_WAITING_CALLS: usize = 2;
/// A connection attempt is given up after this time, however many were made since.
pub const MAX_CONNECT_TIMEOUT: Nanos = 8 * SECOND;
/// A stream that was open for this long was working even without events, and is reopened without a pause.
pub const STABLE_AFTER: Nanos = SECOND;
/// Pause after the first failed call.
const MIN_RETRY_PAUSE: Nanos = 50 * MS;
/// Upper bound of the pause, whatever the settings allow: well within the time after which an event counts as delivered.
const MAX_RETRY_PAUSE: Nanos = 500 * MS;

/// The bus sends missed events when its stream opens. If none has come within this time, the current list is up to date.
pub const CATCH_UP_TIME: Nanos = 100 * MS;

/// How long a call waits alone for its answer after `hung_calls` consecutive calls that were not answered in time.
pub fn answer_timeout(hung_calls: u32) -> Nanos {
    (MIN_ANSWER_TIMEOUT << hung_calls.min(8)).min(MAX_ANSWER_TIMEOUT)
}

/// Time from a connection attempt that does not come up to the next, at most `max_pause`: once the bus is reachable again, an
/// attempt has to reach it within the drain grace. `jitter` from 0 to 1 spreads the fronts' calls.
pub fn connect_interval(max_pause: Nanos, jitter: f64) -> Nanos {
    spread(max_pause, jitter)
}

/// The maximum pause between calls: half of the drain grace, so that a drain announced while the bus was unreachable is
/// received within its grace once the bus is back. `grace` 0 means that the settings state none.
pub fn max_retry_pause(grace: Nanos) -> Nanos {
    if grace == 0 { MAX_RETRY_PAUSE } else { (grace / 2).clamp(MIN_RETRY_PAUSE / 2, MAX_RETRY_PAUSE) }
}

/// The pause after `failed_calls` consecutive failures, at most `max_pause`. `jitter` from 0 to 1 spreads the fronts' calls.
pub fn retry_pause(failed_calls: u32, max_pause: Nanos, jitter: f64) -> Nanos {
    if failed_calls == 0 {
        return 0;
    }
    let span = (MIN_RETRY_PAUSE << (failed_calls - 1).min(8)).min(max_pause);
    spread(span, jitter)
}

/// Half of a span up to the whole, by a number from 0 to 1.
fn spread(span: Nanos, jitter: f64) -> Nanos {
    (span as f64 * (0.5 + 0.5 * jitter.clamp(0.0, 1.0))) as Nanos
}

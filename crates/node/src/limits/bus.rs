//! Timeouts of calls to the event bus, and pauses between them.

use super::{MS, SECOND};
use micadyke::interface::Nanos;

/// The bus comments each second: two missed and a half mean that it has stopped, and what it tells counts as told 4 s
/// after that unless the node asks again.
pub const SILENCE: Nanos = 2_500 * MS;
/// A call of the bus whose stream is not open by then is made again: the silence and one call that hangs come to
/// 3.5 s, so that a second call is out before what the bus tells counts as told.
const CALL: Nanos = SECOND;
/// Longest such time: it doubles with each call in a row that hangs, for a bus that is merely slow to answer.
pub const LONGEST_CALL: Nanos = 8 * SECOND;
/// A stream that was open for so long was a sound one, also if it told nothing: asked for again at once.
pub const STEADY: Nanos = SECOND;
/// Pause after the first failed call of the bus.
const FIRST_PAUSE: Nanos = 50 * MS;
/// Longest pause, also where the settings allow more or say nothing: well within the time after which a listing
/// counts as told.
const LONGEST_PAUSE: Nanos = 500 * MS;

/// The bus tells what was missed with the opening of its stream: nothing by then, and the list held is its own word.
pub const CAUGHT_UP: Nanos = 100 * MS;

/// How long a call of the bus may take to open its stream, after `hung` in a row that did not.
pub fn call_timeout(hung: u32) -> Nanos {
    (CALL << hung.min(8)).min(LONGEST_CALL)
}

/// The longest pause between calls of the bus: half of the drain grace, so that a drain which was told while the
/// bus was out of reach is heard within its grace once the bus is back. `grace` 0: the settings state none.
pub fn longest_pause(grace: Nanos) -> Nanos {
    if grace == 0 { LONGEST_PAUSE } else { (grace / 2).clamp(FIRST_PAUSE / 2, LONGEST_PAUSE) }
}

/// How long to wait after `failed` calls in a row, `most` at most; `lot` from 0 to 1 keeps the fronts apart.
pub fn pause(failed: u32, most: Nanos, lot: f64) -> Nanos {
    if failed == 0 {
        return 0;
    }
    let span = (FIRST_PAUSE << (failed - 1).min(8)).min(most);
    (span as f64 * (0.5 + 0.5 * lot.clamp(0.0, 1.0))) as Nanos
}

//! Unix time for all parts of a process. The machine's clock may be wrong by any amount, so durations are not measured with
//! it: where one is needed, the clock is read only once, at the start.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

static SHIFT: OnceLock<i64> = OnceLock::new();

/// Shifts this process's clock by a number of seconds, for tests of machines with a wrong clock. It must be called before
/// the clock is read; only the first call has an effect.
pub fn shift(seconds: i64) {
    let _ = SHIFT.set(seconds);
}

/// Unix time; 0 if the clock is set to a time before 1970.
pub fn unix() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let by = SHIFT.get().copied().unwrap_or(0);
    let span = Duration::from_secs(by.unsigned_abs());
    if by < 0 { now.saturating_sub(span) } else { now.saturating_add(span) }
}

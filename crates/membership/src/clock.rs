//! Unix time, as all parts of a process read it: the machine's clock, which may be wrong by any amount and is read at the
//! start alone where a duration is meant.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

static SHIFT: OnceLock<i64> = OnceLock::new();

/// Shifts this process's clock by so many seconds, as a machine's clock that was set wrong: for tests. To be called before
/// the clock is first read; a second call changes nothing.
pub fn shift(seconds: i64) {
    let _ = SHIFT.set(seconds);
}

/// Time since 1970; 0 where the clock stands before.
pub fn unix() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let by = SHIFT.get().copied().unwrap_or(0);
    let span = Duration::from_secs(by.unsigned_abs());
    if by < 0 { now.saturating_sub(span) } else { now.saturating_add(span) }
}

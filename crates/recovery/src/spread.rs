//! When a crowd that is refused during recovery is told to come back: not all in the same second, but as fast as the servers
//! can bear once service begins.

use crate::{Nanos, SECOND};

/// Nobody is told to come back sooner.
const SOONEST: Nanos = SECOND;

/// Times to come back, handed out one after the other. Free of clock and chance.
///
/// ```
/// use micadyke_recovery::SECOND;
/// use micadyke_recovery::spread::Spread;
///
/// // The servers bear two sessions a second; nobody obeys more than four seconds.
/// let mut spread = Spread::new(2.0, 4 * SECOND);
/// let told: Vec<f64> = (0..8).map(|_| spread.advise(0) as f64 / 1e9).collect();
/// assert_eq!(told, [1.0, 1.5, 2.0, 2.5, 3.0, 3.5, 4.0, 1.0]);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Spread {
    /// From one to the next.
    step: Nanos,
    most: Nanos,
    /// The next time that is handed out.
    next: Nanos,
}

impl Spread {
    /// Times for servers that bear `rate` new sessions a second, all together; clients obey `most` at the longest. A rate that
    /// is no rate stands for one in a second.
    pub fn new(rate: f64, most: Nanos) -> Self {
        let rate = if rate.is_finite() && rate > 0.0 { rate } else { 1.0 };
        let step = ((SECOND as f64 / rate) as Nanos).clamp(1, SECOND);
        Spread { step, most: most.max(SOONEST), next: 0 }
    }

    /// How long from `now` the next client stays away. Where more come than the servers bear in the longest time that clients
    /// obey, the round begins again: the surplus is spread evenly too, and refused once more.
    pub fn advise(&mut self, now: Nanos) -> Nanos {
        let (first, last) = (now.saturating_add(SOONEST), now.saturating_add(self.most));
        if self.next < first || self.next > last {
            self.next = first;
        }
        let at = self.next;
        self.next = at.saturating_add(self.step);
        at - now
    }
}

/// Servers of which nothing is said about warming up are filled over this.
const FILLED: Nanos = 10 * SECOND;

/// New sessions a second that so many streams of cold servers bear together: their share when cold, taken up over the time
/// in which they warm. `part`: the share of one front among those that come back.
pub fn borne(streams: f64, cold_from: f64, cold_for: Nanos, part: f64) -> f64 {
    let over = if cold_for == 0 { FILLED } else { cold_for };
    streams * cold_from / (over as f64 / SECOND as f64) * part
}

//! Spreads the retries of clients that are refused during recovery, so that they return at the rate that the servers can
//! bear once service starts rather than all in the same second.

use crate::{Nanos, SECOND};

/// Minimum wait that a client is advised.
const MIN_WAIT: Nanos = SECOND;

/// Advises successive clients to wait for increasing times. It has no clock and no randomness.
///
/// ```
/// use micadyke_recovery::SECOND;
/// use micadyke_recovery::retry_spreader::RetrySpreader;
///
/// // The servers bear two new sessions a second; clients obey waits of up to four seconds.
/// let mut spreader = RetrySpreader::new(2.0, 4 * SECOND);
/// let waits: Vec<f64> = (0..8).map(|_| spreader.advise(0) as f64 / 1e9).collect();
/// assert_eq!(waits, [1.0, 1.5, 2.0, 2.5, 3.0, 3.5, 4.0, 1.0]);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct RetrySpreader {
    /// Time between the returns of two successive clients.
    interval: Nanos,
    max_wait: Nanos,
    /// When the next client should return.
    next_at: Nanos,
}

impl RetrySpreader {
    /// A spreader for servers that together bear `rate` new sessions a second, and clients that obey waits of up to
    /// `max_wait`. An invalid rate counts as one session a second.
    pub fn new(rate: f64, max_wait: Nanos) -> Self {
        let rate = if rate.is_finite() && rate > 0.0 { rate } else { 1.0 };
        let interval = ((SECOND as f64 / rate) as Nanos).clamp(1, SECOND);
        RetrySpreader { interval, max_wait: max_wait.max(MIN_WAIT), next_at: 0 }
    }

    /// The wait from `now` to advise to the next client. If there are more clients than the servers bear within the longest
    /// wait, the times start over, so that the surplus is spread evenly as well and refused again.
    pub fn advise(&mut self, now: Nanos) -> Nanos {
        let (first, last) = (now.saturating_add(MIN_WAIT), now.saturating_add(self.max_wait));
        if self.next_at < first || self.next_at > last {
            self.next_at = first;
        }
        let at = self.next_at;
        self.next_at = at.saturating_add(self.interval);
        at - now
    }
}

/// Time over which cold servers are filled if the settings don't state a warm-up time.
const DEFAULT_WARM_UP: Nanos = 10 * SECOND;

/// The number of new sessions per second that cold servers with `streams` streams in total can bear: the share `cold_from`
/// of their capacity, taken up over the warm-up time `cold_for`. `share` is the share of one front.
pub fn sustainable_rate(streams: f64, cold_from: f64, cold_for: Nanos, share: f64) -> f64 {
    let warm_up = if cold_for == 0 { DEFAULT_WARM_UP } else { cold_for };
    streams * cold_from / (warm_up as f64 / SECOND as f64) * share
}

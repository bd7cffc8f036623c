//! Distributions of answer latencies as histograms with logarithmic bins of an eighth of an octave.

use crate::Nanos;

/// Number of bins in an octave. Each is 9% wide, finer than what a hundred answers can resolve.
const BINS_PER_OCTAVE: f64 = 8.0;
/// Shorter latencies count as this one, about one turn of an event loop.
const MIN_LATENCY_NS: f64 = 64_000.0;
/// Number of bins: twenty octaves, from 64 µs to 67 s. Later answers count as missing, since no query waits that long.
pub(crate) const BINS: usize = 160;
/// Number of bins by which two neighbouring slowdown factors differ: half an octave.
pub(crate) const BINS_PER_SCALE: usize = 4;

/// The bin of a latency.
pub(crate) fn bin_of(took: Nanos) -> usize {
    let at = (took as f64 / MIN_LATENCY_NS).max(1.0).log2() * BINS_PER_OCTAVE;
    (at as usize).min(BINS)
}

/// The upper end of a bin, in nanoseconds.
pub(crate) fn bin_end(bin: usize) -> Nanos {
    (MIN_LATENCY_NS * ((bin + 1) as f64 / BINS_PER_OCTAVE).exp2()) as Nanos
}

/// The cumulative probability of an answer by its latency.
///
/// ```
/// use micadyke_deadline::LatencyDistribution;
/// let exponential = LatencyDistribution::from_fn(|took| 1.0 - (-(took as f64) / 20e6).exp());   // mean of 20 ms
/// assert!((exponential.probability_by(20_000_000) - 0.632).abs() < 0.03);
/// assert_eq!(exponential.probability_by(0), 0.0);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct LatencyDistribution {
    /// The probability of an answer by the end of each bin. What the last one lacks to 1 never arrives.
    cumulative: Vec<f64>,
}

impl LatencyDistribution {
    /// A known distribution. `by` returns the cumulative probability of a latency in nanoseconds; it must not decrease.
    ///
    /// ```
    /// use micadyke_deadline::LatencyDistribution;
    /// let latency = LatencyDistribution::from_fn(|took| if took >= 5_000_000 { 0.9 } else { 0.0 });
    /// assert_eq!(latency.probability_by(60_000_000_000), 0.9);   // one answer in ten never arrives
    /// ```
    pub fn from_fn(by: impl Fn(Nanos) -> f64) -> Self {
        LatencyDistribution { cumulative: (0..BINS).map(|b| by(bin_end(b)).clamp(0.0, 1.0)).collect() }
    }

    /// From the mass in each bin. The last entry of `mass` is that of answers that never arrive.
    pub(crate) fn from_mass(mass: &[f64; BINS + 1]) -> Self {
        let all: f64 = mass.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let mut so_far = 0.0;
        let cumulative = mass[..BINS].iter().map(|m| {
            so_far += m / all;
            so_far.min(1.0)
        });
        LatencyDistribution { cumulative: cumulative.collect() }
    }

    /// The cumulative probability at the end of a bin if all answers are delayed by `later` bins.
    pub(crate) fn at_bin(&self, bin: usize, later: isize) -> f64 {
        match usize::try_from(bin as isize - later) {
            Ok(b) => self.cumulative[b.min(BINS - 1)],
            Err(_) => 0.0,
        }
    }

    /// The probability of an answer within half an octave around a bin if all answers are delayed by `later` bins.
    pub(crate) fn within_scale(&self, bin: usize, later: isize) -> f64 {
        self.at_bin(bin + BINS_PER_SCALE / 2, later)
            - self.at_bin(bin, later + 1 + BINS_PER_SCALE as isize / 2)
    }

    /// The cumulative probability of a latency in nanoseconds, interpolated linearly between the ends of bins.
    ///
    /// ```
    /// use micadyke_deadline::LatencyDistribution;
    /// let uniform = LatencyDistribution::from_fn(|took| (took as f64 / 1e9).min(1.0));
    /// assert!((uniform.probability_by(500_000_000) - 0.5).abs() < 0.01);
    /// ```
    pub fn probability_by(&self, took: Nanos) -> f64 {
        let b = bin_of(took);
        let (low, high) = (self.at_bin(b, 1), self.at_bin(b, 0));
        let start = if b == 0 { 0 } else { bin_end(b - 1) };
        let fraction = took.saturating_sub(start) as f64 / (bin_end(b) - start) as f64;
        low + (high - low) * fraction.clamp(0.0, 1.0)
    }

    /// The mixture of this distribution delayed by different numbers of bins, given with their probabilities.
    ///
    /// ```
    /// use micadyke_deadline::LatencyDistribution;
    /// let latency = LatencyDistribution::from_fn(|took| if took >= 10_000_000 { 1.0 } else { 0.0 });
    /// let mixture = latency.mixture(&[(0, 0.7), (8, 0.3)]);   // three queries in ten take twice as long
    /// assert!((mixture.probability_by(15_000_000) - 0.7).abs() < 1e-9);
    /// assert!(mixture.probability_by(25_000_000) > 0.999);
    /// ```
    pub fn mixture(&self, scales: &[(isize, f64)]) -> Self {
        LatencyDistribution {
            cumulative: (0..BINS).map(|b| scales.iter().map(|(k, p)| p * self.at_bin(b, *k)).sum()).collect(),
        }
    }
}

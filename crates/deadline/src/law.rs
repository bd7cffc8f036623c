//! When one answers, as chances: a law over spans, in steps of an eighth of an octave.

use crate::Nanos;

/// Steps of an octave: 9% each, finer than what a hundred answers can tell.
const STEPS: f64 = 8.0;
/// Whatever comes sooner counts as this: a loop's turn.
const FIRST: f64 = 64_000.0;
/// Twenty octaves: 64 µs to 67 s. What comes later counts as never: no asker has that patience.
pub(crate) const BINS: usize = 160;
/// Steps of one scale: half an octave.
pub(crate) const HALF: usize = 4;

/// The bin of a span.
pub(crate) fn bin(took: Nanos) -> usize {
    let at = (took as f64 / FIRST).max(1.0).log2() * STEPS;
    (at as usize).min(BINS)
}

/// The end of a bin.
pub(crate) fn edge(bin: usize) -> Nanos {
    (FIRST * ((bin + 1) as f64 / STEPS).exp2()) as Nanos
}

/// The chance that an answer has come by a span.
///
/// ```
/// use micadyke_deadline::Law;
/// let law = Law::of(|took| 1.0 - (-(took as f64) / 20e6).exp());   // 20 ms on the mean
/// assert!((law.by(20_000_000) - 0.632).abs() < 0.03);
/// assert_eq!(law.by(0), 0.0);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Law {
    /// By the end of each bin; what lacks of 1 in the last never comes.
    by: Vec<f64>,
}

impl Law {
    /// A law that is known: `by` gives the chance by a span in nanoseconds, never falling, within 0 and 1.
    ///
    /// ```
    /// let law = micadyke_deadline::Law::of(|took| if took >= 5_000_000 { 0.9 } else { 0.0 });
    /// assert_eq!(law.by(60_000_000_000), 0.9);   // one in ten never answers
    /// ```
    pub fn of(by: impl Fn(Nanos) -> f64) -> Self {
        Law { by: (0..BINS).map(|b| by(edge(b)).clamp(0.0, 1.0)).collect() }
    }

    /// From the mass in each bin; the last is never.
    pub(crate) fn from(mass: &[f64; BINS + 1]) -> Self {
        let all: f64 = mass.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let mut so_far = 0.0;
        let by = mass[..BINS].iter().map(|m| {
            so_far += m / all;
            so_far.min(1.0)
        });
        Law { by: by.collect() }
    }

    /// The chance by the end of a bin, `later` steps later than the law says.
    pub(crate) fn at(&self, bin: usize, later: isize) -> f64 {
        match usize::try_from(bin as isize - later) {
            Ok(b) => self.by[b.min(BINS - 1)],
            Err(_) => 0.0,
        }
    }

    /// The chance of an answer within half an octave about a bin.
    pub(crate) fn about(&self, bin: usize, later: isize) -> f64 {
        self.at(bin + HALF / 2, later) - self.at(bin, later + 1 + HALF as isize / 2)
    }

    /// The chance by a span, in nanoseconds; straight between the ends of bins.
    ///
    /// ```
    /// let law = micadyke_deadline::Law::of(|took| (took as f64 / 1e9).min(1.0));
    /// assert!((law.by(500_000_000) - 0.5).abs() < 0.01);
    /// ```
    pub fn by(&self, took: Nanos) -> f64 {
        let b = bin(took);
        let (low, high) = (self.at(b, 1), self.at(b, 0));
        let start = if b == 0 { 0 } else { edge(b - 1) };
        let part = took.saturating_sub(start) as f64 / (edge(b) - start) as f64;
        low + (high - low) * part.clamp(0.0, 1.0)
    }

    /// Where it is not known how slow all is: this law later by so many eighths of an octave, each with its chance.
    ///
    /// ```
    /// use micadyke_deadline::Law;
    /// let law = Law::of(|took| if took >= 10_000_000 { 1.0 } else { 0.0 });
    /// let mixed = law.mixed(&[(0, 0.7), (8, 0.3)]);   // three in ten questions take twice as long
    /// assert!((mixed.by(15_000_000) - 0.7).abs() < 1e-9 && mixed.by(25_000_000) > 0.999);
    /// ```
    pub fn mixed(&self, scales: &[(isize, f64)]) -> Self {
        Law { by: (0..BINS).map(|b| scales.iter().map(|(k, p)| p * self.at(b, *k)).sum()).collect() }
    }
}

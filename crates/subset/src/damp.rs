//! The control law by which nodes together correct an uneven load, without coordination.
//!
//! All nodes learn, with a delay, what each server carries over all of them. Each node scales *its own share* of a server by
//! the factor `1 + c`, where `c` follows `-gain * imbalance` through a first-order low-pass filter. Since the factor
//! multiplies what a node sends to the server anyway, all nodes together correct `gain` times the imbalance, however many
//! they are. `docs/design/subset.md` derives the delay margin.

use crate::{Error, Nanos};
use std::f64::consts::PI;

const SECOND: f64 = 1e9;

/// Parameters of the control law.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ControlLaw {
    /// Correction by all nodes together, relative to the imbalance.
    pub gain: f64,
    /// Time constant of the filter.
    pub time_constant: Nanos,
    /// Interval at which a node updates its factors.
    pub period: Nanos,
    /// The factor stays between `1 - max_correction` and its reciprocal.
    pub max_correction: f64,
    /// Age from which a figure is ignored.
    pub max_figure_age: Nanos,
}

impl Default for ControlLaw {
    fn default() -> Self {
        ControlLaw {
            gain: 3.0,
            time_constant: 20_000_000_000,
            period: 1_000_000_000,
            max_correction: 0.6,
            max_figure_age: 8_000_000_000,
        }
    }
}

impl ControlLaw {
    /// The delay from which the load of a server that follows at once oscillates without end:
    /// `(pi - atan q) * time_constant / q` with `q = sqrt(gain^2 - 1)`. With a gain of up to 1 no delay is too long. A load
    /// that follows more slowly only increases the margin.
    ///
    /// ```
    /// use micadyke_subset::ControlLaw;
    /// let law = ControlLaw::default();
    /// assert_eq!(law.delay_margin() / 100_000_000, 135);
    /// assert_eq!(ControlLaw { gain: 1.0, ..law }.delay_margin(), u64::MAX);
    /// ```
    pub fn delay_margin(&self) -> Nanos {
        if self.gain <= 1.0 {
            return Nanos::MAX;
        }
        let q = (self.gain * self.gain - 1.0).sqrt();
        ((PI - q.atan()) * self.time_constant as f64 / q) as Nanos
    }

    /// Checks that the parameters are in range and the law is stable with figures as old as `lag`: this age plus the law's
    /// own period may use up to half of the delay margin.
    ///
    /// # Errors
    /// [`Error::InvalidLaw`], [`Error::InvalidShare`], [`Error::Unstable`].
    ///
    /// ```
    /// use micadyke_subset::{ControlLaw, Error};
    /// let law = ControlLaw::default();
    /// assert_eq!(law.check(4_000_000_000), Ok(()));
    /// assert!(matches!(ControlLaw { gain: 9.0, ..law }.check(4_000_000_000), Err(Error::Unstable { .. })));
    /// ```
    pub fn check(&self, lag: Nanos) -> Result<(), Error> {
        if !(self.gain > 0.0 && self.gain.is_finite()) || self.time_constant == 0 || self.period == 0 {
            return Err(Error::InvalidLaw);
        }
        if !(self.max_correction > 0.0 && self.max_correction < 1.0) {
            return Err(Error::InvalidShare(self.max_correction));
        }
        let (lag, margin) = (lag.saturating_add(self.period), self.delay_margin());
        if lag.saturating_mul(2) > margin { Err(Error::Unstable { lag, margin }) } else { Ok(()) }
    }
}

/// The load of one server over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadFigure {
    /// Number of streams counted at the server.
    pub carried: f64,
    /// Number of streams it should carry: its share by weight of all streams of the same count.
    pub target: f64,
    /// Age of the count.
    pub age: Nanos,
    /// Share of the fleet that was counted, from 0 to 1. The correction is proportional to it.
    pub coverage: f64,
}

/// One node's correction of its traffic to one server.
#[derive(Debug, Clone)]
pub struct BalanceController {
    law: ControlLaw,
    correction: f64,
    updated_at: Nanos,
}

impl BalanceController {
    /// A controller without correction.
    ///
    /// ```
    /// use micadyke_subset::{BalanceController, ControlLaw};
    /// assert_eq!(BalanceController::new(ControlLaw::default(), 0).factor(1_000_000_000, None), 1.0);
    /// ```
    pub fn new(law: ControlLaw, now: Nanos) -> Self {
        BalanceController { law, correction: 0.0, updated_at: now }
    }

    /// The factor for the node's share of the server, to be updated once in each period. Without a figure, or with an
    /// outdated or invalid one, it returns to 1.
    ///
    /// ```
    /// use micadyke_subset::{BalanceController, ControlLaw, LoadFigure};
    /// let mut controller = BalanceController::new(ControlLaw::default(), 0);
    /// let figure = LoadFigure { carried: 110.0, target: 100.0, age: 0, coverage: 1.0 };
    /// // With an excess of 0.1 and a gain of 3 the correction approaches -0.3, a twentieth of it within one second.
    /// let first = controller.factor(1_000_000_000, Some(figure));
    /// assert!(first < 1.0 && first > 0.98);
    /// assert!((controller.factor(200_000_000_000, Some(figure)) - 0.7).abs() < 0.01);
    /// assert!((controller.factor(400_000_000_000, None) - 1.0).abs() < 0.01);
    /// ```
    pub fn factor(&mut self, now: Nanos, figure: Option<LoadFigure>) -> f64 {
        let law = &self.law;
        let wanted_correction = figure
            .filter(|f| f.age <= law.max_figure_age && f.target > 0.0)
            .map_or(0.0, |f| -law.gain * f.coverage.clamp(0.0, 1.0) * (f.carried / f.target - 1.0));
        let wanted_correction = if wanted_correction.is_finite() {
            wanted_correction.clamp(-law.max_correction, 1.0 / (1.0 - law.max_correction) - 1.0)
        } else {
            0.0
        };
        let elapsed = now.saturating_sub(self.updated_at) as f64 / SECOND;
        self.updated_at = self.updated_at.max(now);
        self.correction += (1.0 - (-elapsed * SECOND / law.time_constant as f64).exp())
            * (wanted_correction - self.correction);
        1.0 + self.correction
    }
}

/// Multiplies shares by their factors and normalises their sum to 1.
///
/// ```
/// let shares = micadyke_subset::damp::scale_shares(&[0.5, 0.5], &[0.5, 1.5]);
/// assert_eq!(shares, [0.25, 0.75]);
/// ```
pub fn scale_shares(shares: &[f64], factors: &[f64]) -> Vec<f64> {
    let scaled: Vec<f64> = shares.iter().zip(factors).map(|(s, f)| s * f).collect();
    let sum: f64 = scaled.iter().sum();
    if sum > 0.0 { scaled.into_iter().map(|b| b / sum).collect() } else { shares.to_vec() }
}

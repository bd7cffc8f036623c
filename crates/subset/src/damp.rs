//! How much of a shared figure one node answers.
//!
//! All nodes hear, late, what each server carries over all of them. Each scales *its own share* of a server by a factor:
//! `1 + b`, where `b` follows `-gain * gap` through a filter of first order. As the factor multiplies what a node sends
//! there anyway, all nodes together answer `gain` times the gap, however many they are. `docs/design/subset.md` has the margin.

use crate::{Error, Nanos};
use std::f64::consts::PI;

const SECOND: f64 = 1e9;

/// The control law.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Law {
    /// What all nodes together answer, over the gap.
    pub gain: f64,
    /// The filter's time constant.
    pub filter: Nanos,
    /// A node acts so often.
    pub period: Nanos,
    /// The factor stays between one less this and one over that.
    pub most: f64,
    /// A figure older than this counts for nothing.
    pub stale: Nanos,
}

impl Default for Law {
    fn default() -> Self {
        Law { gain: 3.0, filter: 20_000_000_000, period: 1_000_000_000, most: 0.6, stale: 8_000_000_000 }
    }
}

impl Law {
    /// The delay at which a server whose load follows at once would swing for ever: `(pi - atan q) * filter / q`, `q` the root
    /// of gain squared less 1. With a gain up to 1 no delay does. Loads that follow slower only add to it.
    ///
    /// ```
    /// use micadyke_subset::Law;
    /// let law = Law::default();
    /// assert_eq!(law.delay_margin() / 100_000_000, 135);
    /// assert_eq!(Law { gain: 1.0, ..law }.delay_margin(), u64::MAX);
    /// ```
    pub fn delay_margin(&self) -> Nanos {
        if self.gain <= 1.0 {
            return Nanos::MAX;
        }
        let q = (self.gain * self.gain - 1.0).sqrt();
        ((PI - q.atan()) * self.filter as f64 / q) as Nanos
    }

    /// Whether it is a law, and holds with figures as old as `lag`: with the period that a node adds by itself, half of the
    /// margin at most is used.
    ///
    /// # Errors
    /// [`Error::NoLaw`], [`Error::NoPart`], [`Error::Unstable`].
    ///
    /// ```
    /// use micadyke_subset::{Error, Law};
    /// let law = Law::default();
    /// assert_eq!(law.check(4_000_000_000), Ok(()));
    /// assert!(matches!(Law { gain: 9.0, ..law }.check(4_000_000_000), Err(Error::Unstable { .. })));
    /// ```
    pub fn check(&self, lag: Nanos) -> Result<(), Error> {
        if !(self.gain > 0.0 && self.gain.is_finite()) || self.filter == 0 || self.period == 0 {
            return Err(Error::NoLaw);
        }
        if !(self.most > 0.0 && self.most < 1.0) {
            return Err(Error::NoPart(self.most));
        }
        let (lag, margin) = (lag.saturating_add(self.period), self.delay_margin());
        if lag.saturating_mul(2) > margin { Err(Error::Unstable { lag, margin }) } else { Ok(()) }
    }
}

/// What was said of one server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figure {
    /// The streams counted there.
    pub carried: f64,
    /// Its weight's part of all streams counted by the same question.
    pub wanted: f64,
    /// How old it is.
    pub age: Nanos,
    /// The part of the fleet that was counted, 1 for all: less is answered less.
    pub complete: f64,
}

/// One node's answer to the figures of one server.
#[derive(Debug, Clone)]
pub struct Damper {
    law: Law,
    bias: f64,
    at: Nanos,
}

impl Damper {
    /// One that has heard nothing.
    ///
    /// ```
    /// use micadyke_subset::{Damper, Law};
    /// assert_eq!(Damper::new(Law::default(), 0).factor(1_000_000_000, None), 1.0);
    /// ```
    pub fn new(law: Law, now: Nanos) -> Self {
        Damper { law, bias: 0.0, at: now }
    }

    /// The factor for the node's share of the server, once a period; without a figure, or with one that is stale or no number,
    /// it goes back to 1.
    ///
    /// ```
    /// use micadyke_subset::{Damper, Figure, Law};
    /// let mut damper = Damper::new(Law::default(), 0);
    /// let figure = Figure { carried: 110.0, wanted: 100.0, age: 0, complete: 1.0 };
    /// // A tenth too much, a gain of three: three tenths less in the end, and a twentieth of that after a second.
    /// let first = damper.factor(1_000_000_000, Some(figure));
    /// assert!(first < 1.0 && first > 0.98);
    /// assert!((damper.factor(200_000_000_000, Some(figure)) - 0.7).abs() < 0.01);
    /// assert!((damper.factor(400_000_000_000, None) - 1.0).abs() < 0.01);
    /// ```
    pub fn factor(&mut self, now: Nanos, figure: Option<Figure>) -> f64 {
        let law = &self.law;
        let aim = figure
            .filter(|f| f.age <= law.stale && f.wanted > 0.0)
            .map_or(0.0, |f| -law.gain * f.complete.clamp(0.0, 1.0) * (f.carried / f.wanted - 1.0));
        let aim = if aim.is_finite() { aim.clamp(-law.most, 1.0 / (1.0 - law.most) - 1.0) } else { 0.0 };
        let spent = now.saturating_sub(self.at) as f64 / SECOND;
        self.at = self.at.max(now);
        self.bias += (1.0 - (-spent * SECOND / law.filter as f64).exp()) * (aim - self.bias);
        1.0 + self.bias
    }
}

/// Shares times their factors, to 1 again.
///
/// ```
/// let shares = micadyke_subset::damp::scaled(&[0.5, 0.5], &[0.5, 1.5]);
/// assert_eq!(shares, [0.25, 0.75]);
/// ```
pub fn scaled(shares: &[f64], factors: &[f64]) -> Vec<f64> {
    let by: Vec<f64> = shares.iter().zip(factors).map(|(s, f)| s * f).collect();
    let sum: f64 = by.iter().sum();
    if sum > 0.0 { by.into_iter().map(|b| b / sum).collect() } else { shares.to_vec() }
}

//! How many idle seats a front keeps for the next sessions: a decision, free of I/O and clock.
//!
//! A session that finds an idle seat is set up at once; one that finds none waits for the issuer. An idle seat is one that
//! other fronts cannot have. So for each title and class the front keeps as many as are likely to be asked for before
//! the issuer could answer, and none where it has been told of late that all are taken.

use crate::Nanos;
use crate::message::Key;
use std::collections::BTreeMap;

/// Time over which demand is averaged: sessions of a crowd come for tens of seconds, and a seat held for a demand that has
/// passed is given back within a few of these.
const MEMORY: f64 = 5.0;
/// A seat is kept idle if the chance that it is asked for before the issuer could answer is at least this: one wait in
/// fifty is accepted, rather than a seat idle for each title that is asked for now and then.
const CHANCE: f64 = 0.02;
/// What is counted as the issuer's time to answer at least: its hiccups, and the turn that a message waits for the one
/// before it.
const ANSWER_LEAST: f64 = 0.02;
/// ... and at most: with an issuer out of reach more idle seats do not help.
const ANSWER_MOST: f64 = 0.5;
/// After a seat was refused none is kept idle for so long: others want them.
pub const SCARCE: Nanos = 2_000_000_000;
/// What nobody has asked for in so long has no demand that could not wait for the issuer: without this an issuer that is
/// slow or loses messages would have seats held idle for half a minute after a crowd has gone.
pub const QUIET: Nanos = 2_000_000_000;
/// Titles and classes whose demand is known at most; the least asked for is forgotten.
pub const MOST: usize = 4_096;

#[derive(Debug, Clone, PartialEq)]
struct Demand {
    /// Sessions a second, as of `at`.
    rate: f64,
    at: Nanos,
    scarce_until: Nanos,
}

/// What is known of demand, and of the issuer's time to answer.
#[derive(Debug, Clone)]
pub struct Reserve {
    answer: f64,
    demands: BTreeMap<Key, Demand>,
    kept: bool,
}

impl Reserve {
    /// A reserve that knows nothing yet; one that is not `kept` wants no idle seats.
    pub fn new(kept: bool) -> Self {
        Reserve { answer: ANSWER_LEAST, demands: BTreeMap::new(), kept }
    }

    fn rate(d: &Demand, now: Nanos) -> f64 {
        d.rate * (-(now.saturating_sub(d.at) as f64 / 1e9) / MEMORY).exp()
    }

    /// A session asks for a seat.
    pub fn asked(&mut self, key: &Key, now: Nanos) {
        if !self.kept {
            return;
        }
        match self.demands.get_mut(key) {
            Some(d) => (d.rate, d.at) = (Self::rate(d, now) + 1.0 / MEMORY, now),
            None => {
                if self.demands.len() >= MOST {
                    let least = self
                        .demands
                        .iter()
                        .min_by(|a, b| Self::rate(a.1, now).total_cmp(&Self::rate(b.1, now)))
                        .map(|d| d.0.clone());
                    least.map(|k| self.demands.remove(&k));
                }
                self.demands.insert(key.clone(), Demand { rate: 1.0 / MEMORY, at: now, scarce_until: 0 });
            }
        }
    }

    /// The issuer answered a message after so long.
    pub fn answered(&mut self, took: Nanos) {
        let took = (took as f64 / 1e9).clamp(ANSWER_LEAST, ANSWER_MOST);
        self.answer += (took - self.answer) * if took > self.answer { 0.5 } else { 0.05 };
    }

    /// The issuer has no seat to give.
    pub fn refused(&mut self, key: &Key, now: Nanos) {
        if let Some(d) = self.demands.get_mut(key) {
            d.scarce_until = now + SCARCE;
        }
    }

    /// Titles and classes whose demand is known; [`MOST`] at most.
    pub fn known(&self) -> usize {
        self.demands.len()
    }

    /// Idle seats that are worth keeping.
    pub fn target(&self, key: &Key, now: Nanos) -> usize {
        let wanted = |d: &&Demand| d.scarce_until <= now && now.saturating_sub(d.at) < QUIET;
        let Some(d) = self.demands.get(key).filter(wanted) else { return 0 };
        likely(Self::rate(d, now) * self.answer, CHANCE)
    }
}

/// The largest number that is reached with at least this chance, where so many come in the mean (Poisson).
fn likely(mean: f64, chance: f64) -> usize {
    if mean > 50.0 {
        // Close enough to normal; 2.05 deviations leave one in fifty.
        return (mean + 2.05 * mean.sqrt()).ceil() as usize;
    }
    let (mut term, mut below, mut n) = ((-mean).exp(), 0.0, 0);
    loop {
        below += term;
        if 1.0 - below < chance {
            return n;
        }
        n += 1;
        term *= mean / n as f64;
    }
}

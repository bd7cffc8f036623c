//! The judge of one cold server: what it got within any window against what the settings allow it.

use micadyke::interface::Nanos;
use std::collections::VecDeque;

/// Part of a fall's set-ups that has to come from fronts that knew of the start, for the rule to be broken.
const KNEW: f64 = 2.0 / 3.0;

/// What a server bears while it is cold, as the settings say.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Places of a warm server.
    pub places: f64,
    /// It warms in so many nanoseconds.
    pub cold_for: Nanos,
    /// The share of its capacity that it has when it starts.
    pub cold_from: f64,
    /// How many times its pace it bears.
    pub multiple: f64,
    /// Nanoseconds of a window.
    pub window: Nanos,
}

impl Bound {
    /// Set-ups of mean work that are allowed in a window which ends when the server has this share of its capacity.
    pub fn allowed(&self, share: f64) -> f64 {
        self.places * share * self.multiple * self.window as f64 / self.cold_for as f64
    }

    /// The share of its capacity at this age, warming evenly; `None`: it is warm.
    pub fn share(&self, age: Nanos) -> Option<f64> {
        let warmed = age as f64 / self.cold_for as f64;
        (warmed < 1.0).then_some(self.cold_from + (1.0 - self.cold_from) * warmed)
    }
}

/// What chance is allowed beyond what the settings allow.
pub fn slack(allowed: f64) -> f64 {
    2.0 * allowed.sqrt() + 2.0
}

/// What was found at cold servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Found {
    /// Set-ups that reached cold servers.
    pub set_ups: u64,
    /// The largest excess of a window's set-ups over what the settings allow, less the slack: above 0, a server falls.
    pub over: f64,
    /// The largest excess of a window's set-ups over what the settings allow.
    pub excess: f64,
    /// The same where no server warms before its time is over.
    pub excess_unwarmed: f64,
    /// The same for the set-ups of fronts that knew of the start alone.
    pub excess_told: f64,
    /// Servers that fell.
    pub fell: u32,
    /// Falls of which over two thirds came from fronts that knew: the rule is broken.
    pub broken: u32,
    /// The same where a front also counts as told if it was started after the server, whatever its list said.
    pub broken_by_age: u32,
}

impl Default for Found {
    fn default() -> Self {
        let none = f64::NEG_INFINITY;
        Found {
            set_ups: 0,
            over: none,
            excess: none,
            excess_unwarmed: none,
            excess_told: none,
            fell: 0,
            broken: 0,
            broken_by_age: 0,
        }
    }
}

impl Found {
    /// Adds what another run found.
    pub fn and(self, other: Found) -> Found {
        Found {
            set_ups: self.set_ups + other.set_ups,
            over: self.over.max(other.over),
            excess: self.excess.max(other.excess),
            excess_unwarmed: self.excess_unwarmed.max(other.excess_unwarmed),
            excess_told: self.excess_told.max(other.excess_told),
            fell: self.fell + other.fell,
            broken: self.broken + other.broken,
            broken_by_age: self.broken_by_age + other.broken_by_age,
        }
    }
}

/// A set-up that reached a server.
#[derive(Debug, Clone, Copy)]
pub struct Reached {
    /// When.
    pub at: Nanos,
    /// Its work over the mean.
    pub work: f64,
    /// Its front had read of the start, or had seen the process before it fail, when it sent it.
    pub told: bool,
    /// Its front was started after the server.
    pub younger: bool,
}

/// The set-ups of the last window at one server.
#[derive(Debug, Default)]
pub struct Window(VecDeque<Reached>);

impl Window {
    /// Takes a set-up at a server of this age; whether the server falls by it.
    pub fn take(&mut self, bound: &Bound, age: Nanos, reached: Reached, found: &mut Found) -> bool {
        let Some(share) = bound.share(age) else { return false };
        self.0.push_back(reached);
        while self.0.front().is_some_and(|first| first.at + bound.window <= reached.at) {
            self.0.pop_front();
        }
        let sum = |counts: fn(&Reached) -> bool| -> f64 {
            self.0.iter().filter(|r| counts(r)).map(|r| r.work).sum()
        };
        let (all, told, by_age) = (sum(|_| true), sum(|r| r.told), sum(|r| r.told || r.younger));
        let allowed = bound.allowed(share);
        let over = all - allowed - slack(allowed);
        found.set_ups += 1;
        found.over = found.over.max(over);
        found.excess = found.excess.max(all - allowed);
        found.excess_unwarmed = found.excess_unwarmed.max(all - bound.allowed(bound.cold_from));
        found.excess_told = found.excess_told.max(told - allowed);
        if over > 0.0 {
            found.fell += 1;
            found.broken += u32::from(told > KNEW * all);
            found.broken_by_age += u32::from(by_age > KNEW * all);
        }
        over > 0.0
    }
}

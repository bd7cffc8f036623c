//! Settings of learned deadlines: the worth of an answer as a curve over its completeness, less a price for the time.
//!
//! ```text
//! (deadline
//!   (remember 48)                                    ; number of queries after which an observation counts a third
//!   (usual (curve 0% 0% 100% 100%) (price 0.0005) (first 20ms) (most 300ms))
//!   (kind "where" (curve 0% 0% 50% 80% 100% 100%) (price 0.002)))    ; missing values as in 'usual'
//! ```

use crate::{MS, Nanos};
use micadyke_config::Form;
use micadyke_config::units::{Unit, quantity};
use std::collections::BTreeMap;

/// Maximum number of points of a curve.
pub const MAX_CURVE_POINTS: usize = 32;
/// The longest time that settings may state.
const MAX_TIME: Nanos = 10_000 * MS;
/// Maximum number of kinds of queries. Nothing is learned for further kinds, which use the initial latency.
pub const MAX_KINDS: usize = 16;

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Error {
    /// A curve has too few or too many points.
    #[error("curve: {0} points; expected 2 to {MAX_CURVE_POINTS}")]
    PointCount(usize),
    /// A curve does not run from completeness 0 to 1.
    #[error("curve: runs from {0} to {1}, not from 0 to 1")]
    CurveRange(f64, f64),
    /// A point of a curve is out of range.
    #[error("curve: ({0}, {1}) is not within 0 and 1")]
    PointOutOfRange(f64, f64),
    /// A curve does not increase.
    #[error("curve: ({0}, {1}) lies before or below the previous point")]
    NotIncreasing(f64, f64),
    /// The price is out of range.
    #[error("price: {0} per millisecond is not above 0 and at most 1")]
    Price(f64),
    /// The initial latency is out of range.
    #[error("first: {0} ns is not between 1 ms and 10 s")]
    InitialLatency(Nanos),
    /// The longest wait is out of range.
    #[error("most: {0} ns is not between 1 ms and 10 s")]
    MaxWait(Nanos),
    /// The number of remembered queries is out of range.
    #[error("remember: {0} queries; expected 8 to 4096")]
    Memory(u32),
    /// Too many kinds of queries have settings of their own.
    #[error("{0} kinds; at most {MAX_KINDS} are allowed")]
    TooManyKinds(usize),
}

impl Error {
    /// What an operator can do about the error.
    ///
    /// ```
    /// assert!(micadyke_deadline::Error::Price(0.0).advice().contains("patience"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            Error::PointCount(_) => "Give the curve two or more points, the first at 0 and the last at 1.",
            Error::CurveRange(..) => "Start the curve at completeness 0 and end it at completeness 1.",
            Error::PointOutOfRange(..) => "State completeness and worth as shares of a whole answer.",
            Error::NotIncreasing(..) => {
                "Order the points by completeness; a more complete answer is never worth less."
            }
            Error::Price(_) => "Divide the worth of a complete answer (1) by 'patience' in milliseconds.",
            Error::InitialLatency(_) => {
                "State the usual time of an answer; it is used for the first queries only."
            }
            Error::MaxWait(_) => "State the longest useful wait, or leave it out: 'patience' applies then.",
            Error::Memory(_) => "Leave it out: with 48, a change is learned within 200 queries.",
            Error::TooManyKinds(_) => "Give kinds of the same worth the same number.",
        }
    }
}

/// The worth of answers to one kind of query.
///
/// ```
/// use micadyke_deadline::Worth;
/// let worth = Worth { curve: vec![(0.0, 0.0), (0.5, 0.8), (1.0, 1.0)], ..Worth::default() };
/// worth.check()?;
/// assert!((worth.value(0.25) - 0.4).abs() < 1e-9);
/// # Ok::<(), micadyke_deadline::Error>(())
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Worth {
    /// Points of completeness and worth, both from 0 to 1 and increasing; linear in between.
    pub curve: Vec<(f64, f64)>,
    /// Cost of a millisecond, as a share of a complete answer's worth.
    pub price: f64,
    /// The usual latency of an answer, in nanoseconds, until answers have been observed.
    pub initial_latency: Nanos,
    /// The longest wait whatever was learned, in nanoseconds. The deadline of a query may be sooner.
    pub max_wait: Nanos,
}

impl Default for Worth {
    /// Worth equals completeness and is used up after 2 s; the initial latency is 20 ms; only the deadline of a query limits
    /// the wait.
    fn default() -> Self {
        Worth {
            curve: vec![(0.0, 0.0), (1.0, 1.0)],
            price: 0.0005,
            initial_latency: 20 * MS,
            max_wait: MAX_TIME,
        }
    }
}

impl Worth {
    /// The worth of an answer by its completeness.
    ///
    /// ```
    /// assert_eq!(micadyke_deadline::Worth::default().value(0.4), 0.4);
    /// ```
    pub fn value(&self, completeness: f64) -> f64 {
        let c = completeness.clamp(0.0, 1.0);
        let after = self.curve.partition_point(|p| p.0 < c);
        match (after.checked_sub(1).and_then(|b| self.curve.get(b)), self.curve.get(after)) {
            (Some(a), Some(b)) => a.1 + (b.1 - a.1) * (c - a.0) / (b.0 - a.0),
            (None, Some(p)) | (Some(p), None) => p.1,
            (None, None) => 0.0,
        }
    }

    /// The worth of an answer by its completeness, less the price of `took` nanoseconds.
    ///
    /// ```
    /// // Half of an answer after one second, at 0.0005 per millisecond.
    /// assert_eq!(micadyke_deadline::Worth::default().value_after(0.5, 1_000_000_000), 0.0);
    /// ```
    pub fn value_after(&self, completeness: f64, took: Nanos) -> f64 {
        self.value(completeness) - self.price * took as f64 / MS as f64
    }

    /// Checks that all values are in range.
    ///
    /// # Errors
    ///
    /// The first invalid value.
    ///
    /// ```
    /// use micadyke_deadline::{Error, Worth};
    /// assert_eq!(Worth { max_wait: 0, ..Worth::default() }.check(), Err(Error::MaxWait(0)));
    /// ```
    pub fn check(&self) -> Result<(), Error> {
        let (Some(first), Some(last), 2..=MAX_CURVE_POINTS) =
            (self.curve.first(), self.curve.last(), self.curve.len())
        else {
            return Err(Error::PointCount(self.curve.len()));
        };
        if let Some(p) =
            self.curve.iter().find(|p| !(0.0..=1.0).contains(&p.0) || !(0.0..=1.0).contains(&p.1))
        {
            return Err(Error::PointOutOfRange(p.0, p.1));
        }
        if first.0 != 0.0 || last.0 != 1.0 {
            return Err(Error::CurveRange(first.0, last.0));
        }
        if let Some(p) = self.curve.windows(2).find(|p| p[0].0 >= p[1].0 || p[0].1 > p[1].1) {
            return Err(Error::NotIncreasing(p[1].0, p[1].1));
        }
        if !(self.price > 0.0 && self.price <= 1.0) {
            return Err(Error::Price(self.price));
        }
        if !(MS..=MAX_TIME).contains(&self.initial_latency) {
            return Err(Error::InitialLatency(self.initial_latency));
        }
        if !(MS..=MAX_TIME).contains(&self.max_wait) {
            return Err(Error::MaxWait(self.max_wait));
        }
        Ok(())
    }
}

/// The settings of learned deadlines.
///
/// ```
/// use micadyke_deadline::{Settings, Worth};
/// let mut settings = Settings::default();
/// settings.kinds.insert(3, Worth { price: 0.002, ..Worth::default() });
/// settings.check()?;
/// assert_eq!(settings.worth(3).price, 0.002);
/// assert_eq!(settings.worth(4), &settings.default_worth);
/// # Ok::<(), micadyke_deadline::Error>(())
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The worth of answers of kinds that are not in `kinds`.
    pub default_worth: Worth,
    /// The worth of answers by kind.
    pub kinds: BTreeMap<u8, Worth>,
    /// Number of queries of the same kind after which the weight of an observation has fallen to a third.
    pub memory: u32,
}

impl Default for Settings {
    /// 48 queries: enough to observe a tail of one in twenty with sixty members, and few enough for a change to show.
    fn default() -> Self {
        Settings { default_worth: Worth::default(), kinds: BTreeMap::new(), memory: 48 }
    }
}

impl Settings {
    /// The worth of answers of a kind.
    ///
    /// ```
    /// let settings = micadyke_deadline::Settings::default();
    /// assert_eq!(settings.worth(7), &settings.default_worth);
    /// ```
    pub fn worth(&self, kind: u8) -> &Worth {
        self.kinds.get(&kind).unwrap_or(&self.default_worth)
    }

    /// Checks that all settings are in range.
    ///
    /// # Errors
    ///
    /// The first invalid setting.
    ///
    /// ```
    /// use micadyke_deadline::{Error, Settings};
    /// assert_eq!(Settings { memory: 1, ..Settings::default() }.check(), Err(Error::Memory(1)));
    /// ```
    pub fn check(&self) -> Result<(), Error> {
        if self.kinds.len() > MAX_KINDS {
            return Err(Error::TooManyKinds(self.kinds.len()));
        }
        if !(8..=4096).contains(&self.memory) {
            return Err(Error::Memory(self.memory));
        }
        std::iter::once(&self.default_worth).chain(self.kinds.values()).try_for_each(Worth::check)
    }

    /// Reads a form `(deadline ...)`. `kinds` are the names that may be used and their numbers. Errors are recorded in the
    /// form, with advice.
    ///
    /// ```
    /// use micadyke_config::{Form, read_file};
    /// use micadyke_deadline::Settings;
    /// let text = "(deadline (remember 64) (kind \"where\" (curve 0% 0% 50% 80% 100% 100%) (price 0.002)))";
    /// let settings = read_file(text, "f", "incomplete", |nodes, faults| {
    ///     Some(Settings::read(&Form::of(nodes.first()?, faults)?, &[("where", 3)]))
    /// })?;
    /// assert_eq!((settings.memory, settings.worth(3).value(0.5)), (64, 0.8));
    /// # Ok::<(), Vec<micadyke_config::Diagnostic>>(())
    /// ```
    pub fn read(form: &Form, kinds: &[(&str, u8)]) -> Self {
        form.allow(&["remember", "usual"], &["kind"]);
        let defaults = Settings::default();
        let default_worth =
            form.part("usual").map_or(defaults.default_worth.clone(), |f| worth(&f, &defaults.default_worth));
        let mut named = BTreeMap::new();
        for part in form.parts().filter(|p| p.word == "kind") {
            let name = part.arguments().first().and_then(|n| n.text()).unwrap_or("");
            match kinds.iter().find(|k| k.0 == name) {
                Some(k) if !named.contains_key(&k.1) => {
                    named.insert(k.1, worth(&part, &default_worth));
                }
                Some(_) => part.fault(format!("kind: '{name}' is given twice")),
                None => {
                    let known: Vec<&str> = kinds.iter().map(|k| k.0).collect();
                    part.fault(format!("kind: '{name}' is none of {}", known.join(", ")));
                }
            }
        }
        let memory = form.count("remember", 8, 4096, Some(defaults.memory.into())) as u32;
        Settings { default_worth, kinds: named, memory }
    }
}

/// Reads the worth of answers; missing values are taken from `defaults`.
fn worth(form: &Form, defaults: &Worth) -> Worth {
    form.allow(&["curve", "price", "first", "most"], &[]);
    let mut read = Worth {
        curve: defaults.curve.clone(),
        price: form.get("price", Unit::Number, (0.0, 1.0), Some(defaults.price)),
        initial_latency: form.get("first", Unit::Time, (1e6, 10e9), Some(defaults.initial_latency as f64))
            as Nanos,
        max_wait: form.get("most", Unit::Time, (1e6, 10e9), Some(defaults.max_wait as f64)) as Nanos,
    };
    if let Some(curve) = form.part("curve") {
        let shares =
            curve.arguments().iter().filter_map(|n| match quantity(n.text().unwrap_or(""), Unit::Share) {
                Ok(share) => Some(share),
                Err(what) => {
                    curve.fault(format!("curve: {what}"));
                    None
                }
            });
        let shares: Vec<f64> = shares.collect();
        if !shares.len().is_multiple_of(2) {
            curve.fault("curve: expected pairs of completeness and worth");
        }
        read.curve = shares.chunks_exact(2).map(|p| (p[0], p[1])).collect();
    }
    if let Err(e) = read.check() {
        form.fault(format!("{e}. {}", e.advice()));
    }
    read
}

//! What an answer is worth: a curve over its completeness, less a price for the time.
//!
//! ```text
//! (deadline
//!   (remember 48)                                    ; what was heard counts a third after so many questions
//!   (usual (curve 0% 0% 100% 100%) (price 0.0005) (first 20ms) (most 300ms))
//!   (kind "where" (curve 0% 0% 50% 80% 100% 100%) (price 0.002)))    ; the rest as usual
//! ```

use crate::{MS, Nanos};
use micadyke_config::Form;
use micadyke_config::units::{Unit, quantity};
use std::collections::BTreeMap;

/// Points of a curve at most.
pub const MOST_POINTS: usize = 32;
/// The longest time that may be stated.
const LONGEST: Nanos = 10_000 * MS;
/// Kinds of question at most: what further ones bring is not learned from, their first guess stands.
pub const MOST_KINDS: usize = 16;

/// A fault of the settings.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Error {
    /// Too few or too many points.
    #[error("curve: {0} points; 2 to {MOST_POINTS} are due")]
    Points(usize),
    /// The curve does not span all.
    #[error("curve: runs from {0} to {1}, not from 0 to 1")]
    Span(f64, f64),
    /// A point lies outside.
    #[error("curve: ({0}, {1}) does not lie within 0 and 1")]
    Outside(f64, f64),
    /// A later point lies before or below.
    #[error("curve: ({0}, {1}) lies before or below the point ahead of it")]
    Falls(f64, f64),
    /// The price.
    #[error("price: {0} a millisecond does not lie above 0 and at most 1")]
    Price(f64),
    /// The first guess.
    #[error("first: {0} ns does not lie within 1 ms and 10 s")]
    First(Nanos),
    /// The longest wait.
    #[error("most: {0} ns does not lie within 1 ms and 10 s")]
    Most(Nanos),
    /// What is remembered.
    #[error("remember: {0} questions; 8 to 4096 are due")]
    Remember(u32),
    /// Too many kinds.
    #[error("{0} kinds; {MOST_KINDS} at most")]
    Kinds(usize),
}

impl Error {
    /// What an operator can do.
    ///
    /// ```
    /// assert!(micadyke_deadline::Error::Price(0.0).advice().contains("patience"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            Error::Points(_) => "Give the curve from two points on, the first at 0 and the last at 1.",
            Error::Span(..) => "Begin the curve at completeness 0 and end it at completeness 1.",
            Error::Outside(..) => "State completeness and worth as shares of a whole answer.",
            Error::Falls(..) => "Order the points by completeness; more of an answer is never worth less.",
            Error::Price(_) => {
                "Divide what a whole answer is worth (1) by the asker's patience in milliseconds."
            }
            Error::First(_) => {
                "State about how long an answer usually takes; it only guides the first questions."
            }
            Error::Most(_) => {
                "State the longest wait that is of use, or leave it out: patience bounds it then."
            }
            Error::Remember(_) => "Leave it out: 48 questions find a change within 200.",
            Error::Kinds(_) => "Give kinds that are worth the same one number.",
        }
    }
}

/// What answers of one kind are worth.
///
/// ```
/// use micadyke_deadline::Worth;
/// let worth = Worth { curve: vec![(0.0, 0.0), (0.5, 0.8), (1.0, 1.0)], ..Worth::default() };
/// worth.check()?;
/// assert!((worth.of(0.25) - 0.4).abs() < 1e-9);
/// # Ok::<(), micadyke_deadline::Error>(())
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Worth {
    /// Completeness and what it is worth, both 0 to 1, rising; straight in between.
    pub curve: Vec<(f64, f64)>,
    /// What a millisecond costs, in parts of a whole answer's worth.
    pub price: f64,
    /// An answer's usual time, in nanoseconds: guides until answers were heard.
    pub first: Nanos,
    /// No wait is longer whatever was learned, in nanoseconds; the asker's patience may be shorter.
    pub most: Nanos,
}

impl Default for Worth {
    /// Worth what it holds, nothing after 2 s, 20 ms at first; only the asker's patience bounds the wait.
    fn default() -> Self {
        Worth { curve: vec![(0.0, 0.0), (1.0, 1.0)], price: 0.0005, first: 20 * MS, most: LONGEST }
    }
}

impl Worth {
    /// What a completeness is worth.
    ///
    /// ```
    /// assert_eq!(micadyke_deadline::Worth::default().of(0.4), 0.4);
    /// ```
    pub fn of(&self, completeness: f64) -> f64 {
        let c = completeness.clamp(0.0, 1.0);
        let after = self.curve.partition_point(|p| p.0 < c);
        match (after.checked_sub(1).and_then(|b| self.curve.get(b)), self.curve.get(after)) {
            (Some(a), Some(b)) => a.1 + (b.1 - a.1) * (c - a.0) / (b.0 - a.0),
            (None, Some(p)) | (Some(p), None) => p.1,
            (None, None) => 0.0,
        }
    }

    /// What a completeness is worth after a span, in nanoseconds.
    ///
    /// ```
    /// // Half of it after a second, at 0.0005 a millisecond.
    /// assert_eq!(micadyke_deadline::Worth::default().after(0.5, 1_000_000_000), 0.0);
    /// ```
    pub fn after(&self, completeness: f64, took: Nanos) -> f64 {
        self.of(completeness) - self.price * took as f64 / MS as f64
    }

    /// # Errors
    ///
    /// The first fault.
    ///
    /// ```
    /// use micadyke_deadline::{Error, Worth};
    /// assert_eq!(Worth { most: 0, ..Worth::default() }.check(), Err(Error::Most(0)));
    /// ```
    pub fn check(&self) -> Result<(), Error> {
        let (Some(first), Some(last), 2..=MOST_POINTS) =
            (self.curve.first(), self.curve.last(), self.curve.len())
        else {
            return Err(Error::Points(self.curve.len()));
        };
        if let Some(p) =
            self.curve.iter().find(|p| !(0.0..=1.0).contains(&p.0) || !(0.0..=1.0).contains(&p.1))
        {
            return Err(Error::Outside(p.0, p.1));
        }
        if first.0 != 0.0 || last.0 != 1.0 {
            return Err(Error::Span(first.0, last.0));
        }
        if let Some(p) = self.curve.windows(2).find(|p| p[0].0 >= p[1].0 || p[0].1 > p[1].1) {
            return Err(Error::Falls(p[1].0, p[1].1));
        }
        if !(self.price > 0.0 && self.price <= 1.0) {
            return Err(Error::Price(self.price));
        }
        if !(MS..=LONGEST).contains(&self.first) {
            return Err(Error::First(self.first));
        }
        if !(MS..=LONGEST).contains(&self.most) {
            return Err(Error::Most(self.most));
        }
        Ok(())
    }
}

/// What a gatherer is told.
///
/// ```
/// use micadyke_deadline::{Settings, Worth};
/// let mut settings = Settings::default();
/// settings.kinds.insert(3, Worth { price: 0.002, ..Worth::default() });
/// settings.check()?;
/// assert_eq!(settings.worth(3).price, 0.002);
/// assert_eq!(settings.worth(4), &settings.usual);
/// # Ok::<(), micadyke_deadline::Error>(())
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// For kinds that are not named.
    pub usual: Worth,
    /// By kind.
    pub kinds: BTreeMap<u8, Worth>,
    /// What was heard counts a third after so many questions of its kind.
    pub remember: u32,
}

impl Default for Settings {
    /// 48 questions: long enough for a tail of one in twenty at sixty members, short enough for a change to show.
    fn default() -> Self {
        Settings { usual: Worth::default(), kinds: BTreeMap::new(), remember: 48 }
    }
}

impl Settings {
    /// What answers of a kind are worth.
    ///
    /// ```
    /// let settings = micadyke_deadline::Settings::default();
    /// assert_eq!(settings.worth(7), &settings.usual);
    /// ```
    pub fn worth(&self, kind: u8) -> &Worth {
        self.kinds.get(&kind).unwrap_or(&self.usual)
    }

    /// # Errors
    ///
    /// The first fault.
    ///
    /// ```
    /// use micadyke_deadline::{Error, Settings};
    /// assert_eq!(Settings { remember: 1, ..Settings::default() }.check(), Err(Error::Remember(1)));
    /// ```
    pub fn check(&self) -> Result<(), Error> {
        if self.kinds.len() > MOST_KINDS {
            return Err(Error::Kinds(self.kinds.len()));
        }
        if !(8..=4096).contains(&self.remember) {
            return Err(Error::Remember(self.remember));
        }
        std::iter::once(&self.usual).chain(self.kinds.values()).try_for_each(Worth::check)
    }

    /// Reads a form `(deadline ...)`; `kinds` are those that may be named, with their numbers. Faults are noted in the form,
    /// with what to do.
    ///
    /// ```
    /// use micadyke_config::{Form, read_file};
    /// use micadyke_deadline::Settings;
    /// let text = "(deadline (remember 64) (kind \"where\" (curve 0% 0% 50% 80% 100% 100%) (price 0.002)))";
    /// let settings = read_file(text, "f", "incomplete", |nodes, faults| {
    ///     Some(Settings::read(&Form::of(nodes.first()?, faults)?, &[("where", 3)]))
    /// })?;
    /// assert_eq!((settings.remember, settings.worth(3).of(0.5)), (64, 0.8));
    /// # Ok::<(), Vec<micadyke_config::Diagnostic>>(())
    /// ```
    pub fn read(form: &Form, kinds: &[(&str, u8)]) -> Self {
        form.allow(&["remember", "usual"], &["kind"]);
        let own = Settings::default();
        let usual = form.part("usual").map_or(own.usual.clone(), |f| worth(&f, &own.usual));
        let mut named = BTreeMap::new();
        for part in form.parts().filter(|p| p.word == "kind") {
            let name = part.arguments().first().and_then(|n| n.text()).unwrap_or("");
            match kinds.iter().find(|k| k.0 == name) {
                Some(k) if !named.contains_key(&k.1) => {
                    named.insert(k.1, worth(&part, &usual));
                }
                Some(_) => part.fault(format!("kind: '{name}' is given twice")),
                None => {
                    let known: Vec<&str> = kinds.iter().map(|k| k.0).collect();
                    part.fault(format!("kind: '{name}' is none of {}", known.join(", ")));
                }
            }
        }
        let remember = form.count("remember", 8, 4096, Some(own.remember.into())) as u32;
        Settings { usual, kinds: named, remember }
    }
}

/// Reads what answers are worth; `or` where a part is missing.
fn worth(form: &Form, or: &Worth) -> Worth {
    form.allow(&["curve", "price", "first", "most"], &[]);
    let mut read = Worth {
        curve: or.curve.clone(),
        price: form.get("price", Unit::Number, (0.0, 1.0), Some(or.price)),
        first: form.get("first", Unit::Time, (1e6, 10e9), Some(or.first as f64)) as Nanos,
        most: form.get("most", Unit::Time, (1e6, 10e9), Some(or.most as f64)) as Nanos,
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
            curve.fault("curve: pairs of completeness and worth are due");
        }
        read.curve = shares.chunks_exact(2).map(|p| (p[0], p[1])).collect();
    }
    if let Err(e) = read.check() {
        form.fault(format!("{e}. {}", e.advice()));
    }
    read
}

//! How much is asked: so many questions at once, so many members a second, and nobody twice who may still answer.

use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// What one node asks at most.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Questions that are open or whose late answers are awaited.
    pub open: usize,
    /// Questions to members in a second.
    pub rate: f64,
    /// And so many at once after a quiet time.
    pub burst: f64,
    /// Answers that one member may owe: with all members asking, it has so many from each in its queue at most.
    pub owed: usize,
    /// An answer that has not come after this never comes, in nanoseconds.
    pub forget: Nanos,
}

impl Default for Bounds {
    /// 64 questions; 2,000 members a second, 600 at once (a question to 300 and one more); 4 owed; 10 s.
    fn default() -> Self {
        Bounds { open: 64, rate: 2_000.0, burst: 600.0, owed: 4, forget: 10_000 * crate::MS }
    }
}

/// Why nobody is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// Too many questions are open.
    #[error("{0} questions are open")]
    Open(usize),
    /// More members than may be asked now.
    #[error("too much was asked in the last seconds")]
    Rate,
}

impl Refused {
    /// What an operator can do.
    ///
    /// ```
    /// assert!(micadyke_deadline::asking::Refused::Rate.advice().contains("fewer"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            Refused::Open(_) => "See which members do not answer; give them up or ask fewer things at once.",
            Refused::Rate => {
                "Ask again in a moment or ask fewer members; a fleet that asks this much needs a higher rate."
            }
        }
    }
}

/// Who was asked what and owes an answer.
///
/// ```
/// use micadyke_deadline::asking::{Asking, Bounds};
/// let mut asking = Asking::new(Bounds { owed: 1, ..Bounds::default() });
/// assert_eq!(asking.ask(0, 7, &["n1", "n2"])?, ["n1", "n2"]);
/// asking.answered(7, "n1");
/// // Asked again, and another question: n2 may still answer.
/// assert_eq!(asking.ask(1, 7, &["n1", "n2"])?, ["n1"]);
/// assert_eq!(asking.ask(1, 8, &["n2"])?, [""; 0]);
/// # Ok::<(), micadyke_deadline::asking::Refused>(())
/// ```
#[derive(Debug, Clone)]
pub struct Asking {
    bounds: Bounds,
    left: f64,
    at: Nanos,
    /// By question: when it was last asked, and who owes its answer.
    questions: BTreeMap<u64, (Nanos, BTreeSet<String>)>,
    owed: BTreeMap<String, usize>,
}

impl Asking {
    /// Nothing asked yet.
    ///
    /// ```
    /// use micadyke_deadline::asking::{Asking, Bounds, Refused};
    /// let mut asking = Asking::new(Bounds { burst: 1.0, ..Bounds::default() });
    /// assert_eq!(asking.ask(0, 7, &["n1", "n2"]), Err(Refused::Rate));
    /// ```
    pub fn new(bounds: Bounds) -> Self {
        Asking { left: bounds.burst, bounds, at: 0, questions: BTreeMap::new(), owed: BTreeMap::new() }
    }

    /// Which of `names` are asked now; the others owe an answer to this question, or too many. Nobody is asked where all
    /// cannot be: half a question costs as much and is worth less.
    ///
    /// # Errors
    ///
    /// A bound is reached.
    ///
    /// ```
    /// use micadyke_deadline::asking::{Asking, Bounds, Refused};
    /// let mut asking = Asking::new(Bounds { open: 1, ..Bounds::default() });
    /// assert_eq!(asking.ask(0, 7, &["n1"]), Ok(vec!["n1"]));
    /// assert_eq!(asking.ask(0, 8, &["n1"]), Err(Refused::Open(1)));
    /// ```
    pub fn ask<'a>(&mut self, now: Nanos, question: u64, names: &[&'a str]) -> Result<Vec<&'a str>, Refused> {
        self.left += now.saturating_sub(self.at) as f64 / 1e9 * self.bounds.rate;
        self.left = self.left.min(self.bounds.burst);
        self.at = self.at.max(now);
        let old = now.saturating_sub(self.bounds.forget);
        let over: Vec<u64> = self.questions.iter().filter(|q| q.1.0 < old).map(|q| *q.0).collect();
        over.into_iter().for_each(|q| self.over(q));
        if !self.questions.contains_key(&question) && self.questions.len() >= self.bounds.open {
            return Err(Refused::Open(self.questions.len()));
        }
        let owes = |n: &str| self.questions.get(&question).is_some_and(|q| q.1.contains(n));
        let many = |n: &str| self.owed.get(n).is_some_and(|o| *o >= self.bounds.owed);
        let asked: BTreeSet<&str> = names.iter().copied().filter(|n| !owes(n) && !many(n)).collect();
        if asked.len() as f64 > self.left {
            return Err(Refused::Rate);
        }
        self.left -= asked.len() as f64;
        if !asked.is_empty() {
            let q = self.questions.entry(question).or_default();
            q.0 = now;
            for n in &asked {
                q.1.insert((*n).to_owned());
                *self.owed.entry((*n).to_owned()).or_default() += 1;
            }
        }
        Ok(asked.into_iter().collect())
    }

    /// An answer came, in time or late; false: it was not owed.
    ///
    /// ```
    /// use micadyke_deadline::asking::{Asking, Bounds};
    /// let mut asking = Asking::new(Bounds::default());
    /// asking.ask(0, 7, &["n1"])?;
    /// assert!(asking.answered(7, "n1") && !asking.answered(7, "n1"));
    /// # Ok::<(), micadyke_deadline::asking::Refused>(())
    /// ```
    pub fn answered(&mut self, question: u64, name: &str) -> bool {
        let Some(q) = self.questions.get_mut(&question) else { return false };
        let was = q.1.remove(name);
        if q.1.is_empty() {
            self.questions.remove(&question);
        }
        if was {
            self.paid(name);
        }
        was
    }

    /// The view gave a member up: it owes nothing, and may be asked as soon as it is back.
    ///
    /// ```
    /// use micadyke_deadline::asking::{Asking, Bounds};
    /// let mut asking = Asking::new(Bounds::default());
    /// asking.ask(0, 7, &["n1"])?;
    /// asking.given_up("n1");
    /// assert_eq!(asking.ask(0, 7, &["n1"])?, ["n1"]);
    /// # Ok::<(), micadyke_deadline::asking::Refused>(())
    /// ```
    pub fn given_up(&mut self, name: &str) {
        self.questions.retain(|_, q| {
            q.1.remove(name);
            !q.1.is_empty()
        });
        self.owed.remove(name);
    }

    fn over(&mut self, question: u64) {
        let owed = self.questions.remove(&question).map_or(BTreeSet::new(), |q| q.1);
        owed.iter().for_each(|n| self.paid(n));
    }

    fn paid(&mut self, name: &str) {
        if let Some(o) = self.owed.get_mut(name) {
            *o = o.saturating_sub(1);
            if *o == 0 {
                self.owed.remove(name);
            }
        }
    }
}

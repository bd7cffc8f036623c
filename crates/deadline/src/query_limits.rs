//! Limits the queries of a node: the number of open queries and of queried members per second. A member that may still
//! answer is not queried again.

use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// The limits of one node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueryLimits {
    /// Maximum number of queries that are open or whose late answers are awaited.
    pub max_open_queries: usize,
    /// Maximum number of members queried per second.
    pub members_per_second: f64,
    /// Maximum number of members queried at once after a quiet period.
    pub burst: f64,
    /// Maximum number of answers that one member may owe to this node. It also bounds a member's queue when all nodes query.
    pub max_owed_answers: usize,
    /// Time after which an answer is no longer expected, in nanoseconds.
    pub answer_timeout: Nanos,
}

impl Default for QueryLimits {
    /// 64 queries; 2,000 members per second and 600 at once, which is two queries to 300 members; 4 owed answers; 10 s.
    fn default() -> Self {
        QueryLimits {
            max_open_queries: 64,
            members_per_second: 2_000.0,
            burst: 600.0,
            max_owed_answers: 4,
            answer_timeout: 10_000 * crate::MS,
        }
    }
}

/// Why a query is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// Too many queries are open.
    #[error("too many open queries: {0}")]
    TooManyOpen(usize),
    /// The rate limit does not allow as many members now.
    #[error("rate limit of queried members exceeded")]
    Rate,
}

impl Refused {
    /// What an operator can do about the refusal.
    ///
    /// ```
    /// assert!(micadyke_deadline::query_limits::Refused::Rate.advice().contains("fewer"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            Refused::TooManyOpen(_) => {
                "Find out which members do not answer; remove them or send fewer queries at once."
            }
            Refused::Rate => {
                "Retry in a moment or query fewer members; a fleet that queries this much needs a higher rate."
            }
        }
    }
}

/// Tracks open queries and the members that owe answers to them.
///
/// ```
/// use micadyke_deadline::query_limits::{QueryLimiter, QueryLimits};
/// let mut limiter = QueryLimiter::new(QueryLimits { max_owed_answers: 1, ..QueryLimits::default() });
/// assert_eq!(limiter.admit(0, 7, &["n1", "n2"])?, ["n1", "n2"]);
/// limiter.record_answer(7, "n1");
/// // n2 may still answer: neither this query nor another one is sent to it.
/// assert_eq!(limiter.admit(1, 7, &["n1", "n2"])?, ["n1"]);
/// assert_eq!(limiter.admit(1, 8, &["n2"])?, [""; 0]);
/// # Ok::<(), micadyke_deadline::query_limits::Refused>(())
/// ```
#[derive(Debug, Clone)]
pub struct QueryLimiter {
    limits: QueryLimits,
    tokens: f64,
    updated_at: Nanos,
    /// By query: when it was last sent, and the members that owe an answer to it.
    queries: BTreeMap<u64, (Nanos, BTreeSet<String>)>,
    owed_answers: BTreeMap<String, usize>,
}

impl QueryLimiter {
    /// A limiter without open queries.
    ///
    /// ```
    /// use micadyke_deadline::query_limits::{QueryLimiter, QueryLimits, Refused};
    /// let mut limiter = QueryLimiter::new(QueryLimits { burst: 1.0, ..QueryLimits::default() });
    /// assert_eq!(limiter.admit(0, 7, &["n1", "n2"]), Err(Refused::Rate));
    /// ```
    pub fn new(limits: QueryLimits) -> Self {
        QueryLimiter {
            tokens: limits.burst,
            limits,
            updated_at: 0,
            queries: BTreeMap::new(),
            owed_answers: BTreeMap::new(),
        }
    }

    /// Returns those of `names` to which the query is to be sent now. The others owe an answer to this query, or too many
    /// answers. A query is sent to all of these members or refused: a partial query would return less for the same cost.
    ///
    /// # Errors
    ///
    /// A limit is reached.
    ///
    /// ```
    /// use micadyke_deadline::query_limits::{QueryLimiter, QueryLimits, Refused};
    /// let mut limiter = QueryLimiter::new(QueryLimits { max_open_queries: 1, ..QueryLimits::default() });
    /// assert_eq!(limiter.admit(0, 7, &["n1"]), Ok(vec!["n1"]));
    /// assert_eq!(limiter.admit(0, 8, &["n1"]), Err(Refused::TooManyOpen(1)));
    /// ```
    pub fn admit<'a>(&mut self, now: Nanos, query: u64, names: &[&'a str]) -> Result<Vec<&'a str>, Refused> {
        self.tokens += now.saturating_sub(self.updated_at) as f64 / 1e9 * self.limits.members_per_second;
        self.tokens = self.tokens.min(self.limits.burst);
        self.updated_at = self.updated_at.max(now);
        let oldest = now.saturating_sub(self.limits.answer_timeout);
        let expired: Vec<u64> = self.queries.iter().filter(|q| q.1.0 < oldest).map(|q| *q.0).collect();
        expired.into_iter().for_each(|q| self.expire(q));
        if !self.queries.contains_key(&query) && self.queries.len() >= self.limits.max_open_queries {
            return Err(Refused::TooManyOpen(self.queries.len()));
        }
        let owes_this = |n: &str| self.queries.get(&query).is_some_and(|q| q.1.contains(n));
        let owes_too_many =
            |n: &str| self.owed_answers.get(n).is_some_and(|o| *o >= self.limits.max_owed_answers);
        let asked: BTreeSet<&str> =
            names.iter().copied().filter(|n| !owes_this(n) && !owes_too_many(n)).collect();
        if asked.len() as f64 > self.tokens {
            return Err(Refused::Rate);
        }
        self.tokens -= asked.len() as f64;
        if !asked.is_empty() {
            let q = self.queries.entry(query).or_default();
            q.0 = now;
            for n in &asked {
                q.1.insert((*n).to_owned());
                *self.owed_answers.entry((*n).to_owned()).or_default() += 1;
            }
        }
        Ok(asked.into_iter().collect())
    }

    /// Records an answer, in time or late. Returns whether it was owed.
    ///
    /// ```
    /// use micadyke_deadline::query_limits::{QueryLimiter, QueryLimits};
    /// let mut limiter = QueryLimiter::new(QueryLimits::default());
    /// limiter.admit(0, 7, &["n1"])?;
    /// assert!(limiter.record_answer(7, "n1") && !limiter.record_answer(7, "n1"));
    /// # Ok::<(), micadyke_deadline::query_limits::Refused>(())
    /// ```
    pub fn record_answer(&mut self, query: u64, name: &str) -> bool {
        let Some(q) = self.queries.get_mut(&query) else { return false };
        let was_owed = q.1.remove(name);
        if q.1.is_empty() {
            self.queries.remove(&query);
        }
        if was_owed {
            self.settle(name);
        }
        was_owed
    }

    /// Discards what a member owes, because the view has removed it. It may be queried as soon as it is back.
    ///
    /// ```
    /// use micadyke_deadline::query_limits::{QueryLimiter, QueryLimits};
    /// let mut limiter = QueryLimiter::new(QueryLimits::default());
    /// limiter.admit(0, 7, &["n1"])?;
    /// limiter.remove_member("n1");
    /// assert_eq!(limiter.admit(0, 7, &["n1"])?, ["n1"]);
    /// # Ok::<(), micadyke_deadline::query_limits::Refused>(())
    /// ```
    pub fn remove_member(&mut self, name: &str) {
        self.queries.retain(|_, q| {
            q.1.remove(name);
            !q.1.is_empty()
        });
        self.owed_answers.remove(name);
    }

    fn expire(&mut self, query: u64) {
        let owed = self.queries.remove(&query).map_or(BTreeSet::new(), |q| q.1);
        owed.iter().for_each(|n| self.settle(n));
    }

    fn settle(&mut self, name: &str) {
        if let Some(o) = self.owed_answers.get_mut(name) {
            *o = o.saturating_sub(1);
            if *o == 0 {
                self.owed_answers.remove(name);
            }
        }
    }
}

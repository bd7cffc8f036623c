//! Decides how long a node that has queried many members waits for the answers that are still missing.
//!
//! The crate has no I/O and no clock: it is told what was asked and what has arrived, and returns when the wait ends.
//!
//! - [`LearnedDeadline`] learns the latency of members for each kind of query, and decides at each arrival whether the
//!   missing answers are worth waiting for ([`best_wait_end`]);
//! - [`split`] divides a time budget between two levels of queries;
//! - [`query_limits`] limits how much is queried.
#![warn(missing_docs)]

mod decide;
mod latency;
mod learned;
pub mod query_limits;
pub mod settings;

pub use decide::{best_wait_end, split};
pub use latency::LatencyDistribution;
#[doc(hidden)]
pub use learned::Feature;
pub use learned::{LearnedDeadline, MAX_MEMBERS, MAX_ZONES};
pub use settings::{Error, Settings, Worth};

/// A point in time or a duration, in nanoseconds of one monotonic clock.
pub type Nanos = u64;

/// A millisecond.
const MS: Nanos = 1_000_000;

/// The liveness of a part of an answer that is owed and known not to come. It counts in the whole and is not waited for. If
/// a member answers with only a part of what it owes, that part is one [`AskedMember`] that has answered and the rest
/// another one with this liveness.
pub const KNOWN_MISSING: f64 = f64::MIN_POSITIVE;

/// A member that was queried.
#[derive(Debug, Clone, PartialEq)]
pub struct AskedMember {
    /// Its name in the membership view.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its share of a complete answer.
    pub weight: f64,
    /// The probability that it is alive: 1, or less while it is suspected. 0 if the view has removed it, so that it is no
    /// part of the whole. [`KNOWN_MISSING`] if its answer will not come.
    pub liveness: f64,
    /// When its answer arrived.
    pub answered_at: Option<Nanos>,
}

/// A query that waits for answers.
#[derive(Debug, Clone, PartialEq)]
pub struct OpenQuery {
    /// Its kind. Latencies are learned for each kind separately.
    pub kind: u8,
    /// When it was sent.
    pub asked_at: Nanos,
    /// When it ends whatever is missing.
    pub deadline: Nanos,
    /// The members that were queried.
    pub members: Vec<AskedMember>,
}

/// Why a wait ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitEnd {
    /// All members have answered.
    Complete,
    /// The missing answers are not worth waiting for.
    NotWorthwhile,
    /// The deadline of the query has passed.
    TimedOut,
}

/// Decides how long to wait.
///
/// ```
/// use micadyke_deadline::{Deadline, Nanos, OpenQuery};
///
/// /// Waits for two fifths of the time up to the deadline.
/// struct Fraction;
///
/// impl Deadline for Fraction {
///     fn wait_until(&mut self, _: Nanos, open: &OpenQuery) -> Nanos {
///         open.asked_at + (open.deadline - open.asked_at) * 2 / 5
///     }
///     fn record_answer(&mut self, _: u8, _: &str, _: &str, _: Nanos, _: Nanos) {}
///     fn record_missing(&mut self, _: u8, _: &str, _: &str, _: Nanos) {}
/// }
/// let open = OpenQuery { kind: 0, asked_at: 100, deadline: 500, members: Vec::new() };
/// assert_eq!(Fraction.wait_until(120, &open), 260);
/// ```
pub trait Deadline {
    /// When the wait ends if no further answer arrives. Called at the start of a query and after each arrival.
    fn wait_until(&mut self, now: Nanos, open: &OpenQuery) -> Nanos;

    /// Records an answer that arrived `took` after it was requested, before or after the end of the wait. `own_delay` is the
    /// time by which the event loop of the asking node was late in that span.
    fn record_answer(&mut self, kind: u8, name: &str, zone: &str, took: Nanos, own_delay: Nanos);

    /// Records that a member did not answer within `after` although the view did not remove it.
    fn record_missing(&mut self, kind: u8, name: &str, zone: &str, after: Nanos);
}

/// Waits for the same time in all queries.
///
/// ```
/// use micadyke_deadline::{Deadline, FixedDeadline, OpenQuery};
/// let open = OpenQuery { kind: 0, asked_at: 100, deadline: 500, members: Vec::new() };
/// let mut waits = [FixedDeadline(50), FixedDeadline(900)];
/// assert_eq!(waits.each_mut().map(|w| w.wait_until(120, &open)), [150, 500]);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FixedDeadline(pub Nanos);

impl Deadline for FixedDeadline {
    fn wait_until(&mut self, _: Nanos, open: &OpenQuery) -> Nanos {
        open.asked_at.saturating_add(self.0).min(open.deadline)
    }

    fn record_answer(&mut self, _: u8, _: &str, _: &str, _: Nanos, _: Nanos) {}

    fn record_missing(&mut self, _: u8, _: &str, _: &str, _: Nanos) {}
}

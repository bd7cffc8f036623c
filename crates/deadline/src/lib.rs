//! How long the gatherer of a question to many waits for those that have not answered yet.
//!
//! No I/O and no clock: what was asked and what has arrived in, the moment out at which the wait is over.
//!
//! [`Learned`] learns for each kind of question when members answer, and decides at each arrival whether what is missing is
//! worth the wait ([`decide`]); [`split`] shares a budget of time between two levels; [`asking`] bounds what is asked.
#![warn(missing_docs)]

pub mod asking;
mod decide;
mod law;
mod learned;
pub mod settings;

pub use decide::{decide, split};
pub use law::Law;
#[doc(hidden)]
pub use learned::Feature;
pub use learned::{Learned, MOST_MEMBERS, MOST_ZONES};
pub use settings::{Error, Settings, Worth};

/// A point in time or a span of it, in nanoseconds of one clock that never runs backwards.
pub type Nanos = u64;

/// A millisecond.
const MS: Nanos = 1_000_000;

/// A chance to live of a part that is owed and will not come: it counts in the whole and is not waited for. Where a member
/// or gatherer answers with a part of what it owes, that part is one [`Waited`] that has arrived and the rest one with this.
pub const LOST: f64 = f64::MIN_POSITIVE;

/// One that was asked.
#[derive(Debug, Clone, PartialEq)]
pub struct Waited {
    /// Its name in the view.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its part of a whole answer.
    pub weight: f64,
    /// The chance that it lives: 1, or less while the view suspects it; 0: given up, no part of the whole; [`LOST`].
    pub lives: f64,
    /// When its answer came.
    pub arrived: Option<Nanos>,
}

/// A question that is open.
#[derive(Debug, Clone, PartialEq)]
pub struct Open {
    /// Its kind: each kind learns for itself.
    pub kind: u8,
    /// When it was asked.
    pub asked_at: Nanos,
    /// It is over then whatever is missing: the asker's patience.
    pub limit: Nanos,
    /// Who was asked.
    pub waited: Vec<Waited>,
}

/// Why a wait ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// All answered.
    Whole,
    /// What is missing is not worth the wait.
    NotWorth,
    /// The asker's patience is over.
    Patience,
}

/// Decides how long to wait.
///
/// ```
/// use micadyke_deadline::{Deadline, Nanos, Open};
///
/// /// Two fifths of the patience, whoever is slow.
/// struct Share;
///
/// impl Deadline for Share {
///     fn until(&mut self, _: Nanos, open: &Open) -> Nanos {
///         open.asked_at + (open.limit - open.asked_at) * 2 / 5
///     }
///     fn arrived(&mut self, _: u8, _: &str, _: &str, _: Nanos, _: Nanos) {}
///     fn missed(&mut self, _: u8, _: &str, _: &str, _: Nanos) {}
/// }
/// let open = Open { kind: 0, asked_at: 100, limit: 500, waited: Vec::new() };
/// assert_eq!(Share.until(120, &open), 260);
/// ```
pub trait Deadline {
    /// When the wait is over if nothing more arrives; asked at the start and after each arrival.
    fn until(&mut self, now: Nanos, open: &Open) -> Nanos;

    /// An answer came `took` after it was asked for, in time or late; `own_delay` is how late the gatherer's own loop was
    /// in that span.
    fn arrived(&mut self, kind: u8, name: &str, zone: &str, took: Nanos, own_delay: Nanos);

    /// One that was asked never answered, and was not given up by the view: known `after` so long.
    fn missed(&mut self, kind: u8, name: &str, zone: &str, after: Nanos);
}

/// The same deadline for all.
///
/// ```
/// use micadyke_deadline::{Deadline, Fixed, Open};
/// let open = Open { kind: 0, asked_at: 100, limit: 500, waited: Vec::new() };
/// assert_eq!((Fixed(50).until(120, &open), Fixed(900).until(120, &open)), (150, 500));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fixed(pub Nanos);

impl Deadline for Fixed {
    fn until(&mut self, _: Nanos, open: &Open) -> Nanos {
        open.asked_at.saturating_add(self.0).min(open.limit)
    }

    fn arrived(&mut self, _: u8, _: &str, _: &str, _: Nanos, _: Nanos) {}

    fn missed(&mut self, _: u8, _: &str, _: &str, _: Nanos) {}
}

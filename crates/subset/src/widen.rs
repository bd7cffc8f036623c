//! How a node goes beyond its working subset when that is short, and comes back.

use crate::{Error, Nanos};

const SECOND: f64 = 1e9;

/// What a node knows of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Takes what comes.
    Usable,
    /// Does not answer.
    Silent,
    /// Takes nothing new.
    Draining,
    /// Bears little as yet.
    Cold,
    /// Has no place.
    Full,
}

/// When and how fast a subset widens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// It is short when less than this part of it is usable.
    pub enough: f64,
    /// So many servers more a second.
    pub rate: f64,
    /// So many at once.
    pub burst: f64,
    /// Each server that is no longer needed goes after this time.
    pub hold: Nanos,
}

impl Default for Terms {
    fn default() -> Self {
        Terms { enough: 0.75, rate: 2.0, burst: 4.0, hold: 5_000_000_000 }
    }
}

impl Terms {
    /// Whether they make sense.
    ///
    /// # Errors
    /// [`Error::NoPart`], [`Error::NoRate`].
    ///
    /// ```
    /// use micadyke_subset::{Error, widen::Terms};
    /// assert_eq!(Terms::default().check(), Ok(()));
    /// assert_eq!(Terms { rate: 0.0, ..Terms::default() }.check(), Err(Error::NoRate(0.0)));
    /// ```
    pub fn check(&self) -> Result<(), Error> {
        match self {
            t if !(t.enough > 0.0 && t.enough <= 1.0) => Err(Error::NoPart(t.enough)),
            t if !(t.rate > 0.0 && t.rate.is_finite() && t.burst >= 1.0 && t.burst.is_finite()) => {
                Err(Error::NoRate(t.rate))
            }
            _ => Ok(()),
        }
    }
}

/// How far along its order a node is. It says what is preferred; whoever finds nothing usable there may ask anywhere.
#[derive(Debug, Clone)]
pub struct Widen {
    terms: Terms,
    extra: usize,
    tokens: f64,
    at: Nanos,
    spare_since: Option<Nanos>,
}

impl Widen {
    /// A subset as it was drawn.
    ///
    /// ```
    /// use micadyke_subset::{State, Widen, widen::Terms};
    /// assert_eq!(Widen::new(Terms::default(), 0).width(0, 5, &[State::Usable; 9]), 5);
    /// ```
    pub fn new(terms: Terms, now: Nanos) -> Self {
        Widen { terms, extra: 0, tokens: terms.burst, at: now, spare_since: None }
    }

    /// How many servers from the front of its order a node works with now; `states` are those of the whole order, the first
    /// `working` are its subset. Servers that are not usable are passed over free of charge: nobody calls them.
    ///
    /// ```
    /// use micadyke_subset::{State, Widen, widen::Terms};
    /// let mut widen = Widen::new(Terms::default(), 0);
    /// let mut states = [State::Usable; 30];
    /// assert_eq!(widen.width(0, 8, &states), 8);
    /// states[..8].fill(State::Silent);
    /// // Four at once, the fifth half a second later; six are enough.
    /// assert_eq!(widen.width(0, 8, &states), 12);
    /// assert_eq!(widen.width(500_000_000, 8, &states), 13);
    /// assert_eq!(widen.width(60_000_000_000, 8, &states), 14);
    /// states[..8].fill(State::Usable);
    /// assert_eq!(widen.width(60_000_000_000, 8, &states), 14);
    /// assert_eq!(widen.width(65_000_000_000, 8, &states), 13);
    /// ```
    pub fn width(&mut self, now: Nanos, working: usize, states: &[State]) -> usize {
        let spent = now.saturating_sub(self.at) as f64 / SECOND;
        self.tokens = (self.tokens + spent * self.terms.rate).min(self.terms.burst);
        self.at = self.at.max(now);
        let working = working.min(states.len());
        self.extra = self.extra.min(states.len() - working);
        let need = ((working as f64 * self.terms.enough).ceil() as usize).max(1);
        let usable = |of: &[State]| of.iter().filter(|s| **s == State::Usable).count();
        let mut have = usable(&states[..working + self.extra]);
        let mut take = working + self.extra;
        while have < need && take < states.len() {
            if states[take] == State::Usable {
                if self.tokens < 1.0 {
                    break;
                }
                self.tokens -= 1.0;
                have += 1;
                self.extra = take + 1 - working;
            }
            take += 1;
        }
        // One goes at a time, after it was not needed for a while.
        let spare = self.extra > 0 && usable(&states[..working + self.extra - 1]) >= need;
        let since = *self.spare_since.get_or_insert(now);
        if !spare {
            self.spare_since = None;
        } else if now.saturating_sub(since) >= self.terms.hold {
            self.extra -= 1;
            self.spare_since = Some(now);
        }
        working + self.extra
    }
}

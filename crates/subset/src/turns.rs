//! Whose turn it is: to look whether a silent server lives, to ask the directory for a zone.
//!
//! Time is cut into windows and these into slots. In each window one node is on turn at its start; if by the next slot no
//! finding was heard, the second is, then two, four and so on: who is gone, or cut off, is stood in for within the window,
//! and a fleet where most are gone still has one that looks. The draw goes by the names in the view, the matter and the
//! window's number. Nodes with other views or clocks look once too often, and no more: nothing else rests on it.

use crate::{Error, Nanos, Node, hash};

/// What turns are about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Matter<'a> {
    /// To look at a server, by its id.
    Server(&'a str),
    /// To ask the directory for a zone, by its name.
    Zone(&'a str),
}

impl Matter<'_> {
    fn key(&self) -> u64 {
        match self {
            Matter::Server(id) => hash::name("look", id),
            Matter::Zone(zone) => hash::name("ask", zone),
        }
    }
}

/// How time is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// A window.
    pub window: Nanos,
    /// Its slots: `s` of them reach `2^(s-1)` nodes. A slot should last as long as news needs to most nodes.
    pub slots: u32,
}

impl Default for Terms {
    fn default() -> Self {
        Terms { window: 4_000_000_000, slots: 6 }
    }
}

impl Terms {
    /// Whether they make sense.
    ///
    /// # Errors
    /// [`Error::NoWindow`].
    ///
    /// ```
    /// use micadyke_subset::{Error, turns::Terms};
    /// assert_eq!(Terms::default().check(), Ok(()));
    /// assert!(matches!(Terms { window: 5, slots: 6 }.check(), Err(Error::NoWindow { .. })));
    /// ```
    pub fn check(&self) -> Result<(), Error> {
        let Terms { window, slots } = *self;
        match (1..=32).contains(&slots) && window / u64::from(slots.max(1)) >= 1_000_000 {
            true => Ok(()),
            false => Err(Error::NoWindow { window, slots }),
        }
    }

    /// The number of the window at a time. Time here is the wall clock's, from its epoch: windows are common to all nodes.
    ///
    /// ```
    /// use micadyke_subset::turns::Terms;
    /// assert_eq!(Terms::default().window_at(9_000_000_000), 2);
    /// ```
    pub fn window_at(&self, wall: Nanos) -> u64 {
        wall / self.window.max(1)
    }
}

/// How many are on turn before a node: 0 is the first. A node that is not among the names takes its place all the same.
///
/// ```
/// use micadyke_subset::{Matter, turns::place};
/// let names = ["a", "b", "c"];
/// let mut places = names.map(|me| place(names, me, Matter::Server("7"), 12));
/// places.sort();
/// assert_eq!(places, [0, 1, 2]);
/// ```
pub fn place<'a>(
    names: impl IntoIterator<Item = &'a str>, me: &str, matter: Matter<'_>, window: u64,
) -> usize {
    let key = hash::pair(matter.key(), window);
    let mine = (hash::pair(hash::name("turn", me), key), me);
    names.into_iter().filter(|n| (hash::pair(hash::name("turn", n), key), *n) < mine).count()
}

/// How far into a window a place's turn comes; none if the window has no slot for it.
///
/// ```
/// use micadyke_subset::turns::{Terms, comes};
/// let terms = Terms { window: 6_000, slots: 6 };
/// assert_eq!([0, 1, 2, 3, 4, 7, 8].map(|p| comes(&terms, p)), [0, 1, 2, 2, 3, 3, 4].map(|s| Some(s * 1_000)));
/// assert_eq!(comes(&terms, 32), None);
/// ```
pub fn comes(terms: &Terms, place: usize) -> Option<Nanos> {
    let slot = place.checked_ilog2().map_or(0, |log| log + 1);
    (slot < terms.slots).then(|| terms.window / u64::from(terms.slots) * u64::from(slot))
}

/// The names of a zone: who may be on turn to ask for it.
///
/// ```
/// use micadyke_subset::{Matter, Node, turns::{of_zone, place}};
/// let nodes = [("a", "x"), ("b", "y"), ("c", "x")]
///     .map(|(name, zone)| Node { name: name.into(), zone: zone.into(), capacity: 1.0 });
/// assert_eq!(of_zone(&nodes, "x").collect::<Vec<_>>(), ["a", "c"]);
/// let asks = |me, window| place(of_zone(&nodes, "x"), me, Matter::Zone("x"), window) == 0;
/// assert!((0..9).all(|w| asks("a", w) != asks("c", w)));
/// ```
pub fn of_zone<'a>(nodes: &'a [Node], zone: &'a str) -> impl Iterator<Item = &'a str> {
    nodes.iter().filter(move |n| n.zone == zone).map(|n| n.name.as_str())
}

/// What one node knows of one matter: when it was last attended to, by whomever.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Watch {
    heard: Option<u64>,
}

impl Watch {
    /// A finding was heard, or made here, that was made at this time of the wall clock: its window needs no other. One out of
    /// the future counts for the window it is heard in.
    ///
    /// ```
    /// use micadyke_subset::{Matter, Watch, turns::Terms};
    /// let terms = Terms { window: 4_000, slots: 4 };
    /// let mut watch = Watch::default();
    /// watch.heard(&terms, 4_100, 3_900);
    /// let due = |w: &Watch| w.due(&terms, ["a"], "a", Matter::Zone("z"), 4_100);
    /// assert_eq!(due(&watch), Some(4_000), "that was the window before");
    /// watch.heard(&terms, 4_100, 99_000);
    /// assert_eq!(due(&watch), None);
    /// assert!(watch.due(&terms, ["a"], "a", Matter::Zone("z"), 8_000).is_some());
    /// ```
    pub fn heard(&mut self, terms: &Terms, wall: Nanos, made: Nanos) {
        let window = terms.window_at(made.min(wall));
        self.heard = Some(self.heard.map_or(window, |h| h.max(window)));
    }

    /// Whether somebody acted in the window of `wall` or in the one before.
    ///
    /// ```
    /// use micadyke_subset::{Watch, turns::Terms};
    /// let (terms, mut watch) = (Terms { window: 4_000, slots: 4 }, Watch::default());
    /// assert!(!watch.lately(&terms, 4_100));
    /// watch.heard(&terms, 4_100, 4_100);
    /// assert!(watch.lately(&terms, 11_900) && !watch.lately(&terms, 12_000));
    /// ```
    pub fn lately(&self, terms: &Terms, wall: Nanos) -> bool {
        self.heard.is_some_and(|h| h.saturating_add(1) >= terms.window_at(wall))
    }

    /// When this node's turn comes in the window of `wall`: at or before `wall`, it acts now, and says so by
    /// [`Watch::heard`]. None if somebody has acted in the window, or the window has no turn for it.
    ///
    /// ```
    /// use micadyke_subset::{Matter, Watch, turns::Terms};
    /// let (terms, names) = (Terms::default(), ["a", "b"]);
    /// let mut watch = Watch::default();
    /// let due = |w: &Watch, me| w.due(&terms, names, me, Matter::Server("7"), 0);
    /// // One is on turn at once, the other a slot later.
    /// let mut turns = [due(&watch, "a"), due(&watch, "b")];
    /// turns.sort();
    /// assert_eq!(turns, [Some(0), Some(terms.window / 6)]);
    /// watch.heard(&terms, 5_000_000, 4_000_000);
    /// assert_eq!(due(&watch, "a"), None);
    /// ```
    pub fn due<'a>(
        &self, terms: &Terms, names: impl IntoIterator<Item = &'a str>, me: &str, matter: Matter<'_>,
        wall: Nanos,
    ) -> Option<Nanos> {
        let window = terms.window_at(wall);
        if self.heard.is_some_and(|h| h >= window) {
            return None;
        }
        let start = window.saturating_mul(terms.window);
        comes(terms, place(names, me, matter, window)).map(|after| start.saturating_add(after))
    }
}

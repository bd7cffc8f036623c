//! Decides which node carries out a shared task: to probe an unresponsive server or to query the directory for a zone.
//!
//! Time is divided into windows and these into slots. In each window one node has its turn at the start. If no result is
//! known by the next slot, a second node acts, then two more, four more and so on. Nodes that are gone or cut off are thus
//! replaced within the window, even if most of the fleet is gone. The order is a hash of the names in the view, the task and
//! the number of the window. If nodes differ in view or clock, a task is carried out more often than needed, which has no
//! other consequence.

use crate::{Error, Nanos, Node, hash};

/// A task that one node carries out for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Task<'a> {
    /// To probe a server, by its id.
    ProbeServer(&'a str),
    /// To query the directory for a zone, by its name.
    QueryZone(&'a str),
}

impl Task<'_> {
    fn key(&self) -> u64 {
        match self {
            Task::ProbeServer(id) => hash::hash_name("look", id),
            Task::QueryZone(zone) => hash::hash_name("ask", zone),
        }
    }
}

/// How time is divided into windows and slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnSettings {
    /// Duration of a window.
    pub window: Nanos,
    /// Number of slots in a window: with `s` slots up to `2^(s-1)` nodes get a turn. A slot should last until a result has
    /// reached most nodes.
    pub slots: u32,
}

impl Default for TurnSettings {
    fn default() -> Self {
        TurnSettings { window: 4_000_000_000, slots: 6 }
    }
}

impl TurnSettings {
    /// Checks that the settings are in range.
    ///
    /// # Errors
    /// [`Error::InvalidWindow`].
    ///
    /// ```
    /// use micadyke_subset::{Error, turns::TurnSettings};
    /// assert_eq!(TurnSettings::default().check(), Ok(()));
    /// assert!(matches!(TurnSettings { window: 5, slots: 6 }.check(), Err(Error::InvalidWindow { .. })));
    /// ```
    pub fn check(&self) -> Result<(), Error> {
        let TurnSettings { window, slots } = *self;
        match (1..=32).contains(&slots) && window / u64::from(slots.max(1)) >= 1_000_000 {
            true => Ok(()),
            false => Err(Error::InvalidWindow { window, slots }),
        }
    }

    /// The number of the window at a time of the wall clock, which makes windows common to all nodes.
    ///
    /// ```
    /// use micadyke_subset::turns::TurnSettings;
    /// assert_eq!(TurnSettings::default().window_at(9_000_000_000), 2);
    /// ```
    pub fn window_at(&self, wall: Nanos) -> u64 {
        wall / self.window.max(1)
    }
}

/// The rank of a node in the order of turns: the number of nodes before it. A node that is not among the names has a rank
/// as well.
///
/// ```
/// use micadyke_subset::{Task, turns::rank};
/// let names = ["a", "b", "c"];
/// let mut ranks = names.map(|me| rank(names, me, Task::ProbeServer("7"), 12));
/// ranks.sort();
/// assert_eq!(ranks, [0, 1, 2]);
/// ```
pub fn rank<'a>(names: impl IntoIterator<Item = &'a str>, me: &str, task: Task<'_>, window: u64) -> usize {
    let key = hash::combine(task.key(), window);
    let own = (hash::combine(hash::hash_name("turn", me), key), me);
    names.into_iter().filter(|n| (hash::combine(hash::hash_name("turn", n), key), *n) < own).count()
}

/// The time from the start of a window to the turn of a rank; `None` if the window has no slot for it.
///
/// ```
/// use micadyke_subset::turns::{TurnSettings, turn_offset};
/// let settings = TurnSettings { window: 6_000, slots: 6 };
/// let offsets = [0, 1, 2, 3, 4, 7, 8].map(|rank| turn_offset(&settings, rank));
/// assert_eq!(offsets, [0, 1, 2, 2, 3, 3, 4].map(|slot| Some(slot * 1_000)));
/// assert_eq!(turn_offset(&settings, 32), None);
/// ```
pub fn turn_offset(settings: &TurnSettings, rank: usize) -> Option<Nanos> {
    let slot = rank.checked_ilog2().map_or(0, |log| log + 1);
    (slot < settings.slots).then(|| settings.window / u64::from(settings.slots) * u64::from(slot))
}

/// The names of the nodes of a zone, which take turns at querying the directory for it.
///
/// ```
/// use micadyke_subset::{Node, Task, turns::{names_in_zone, rank}};
/// let nodes = [("a", "x"), ("b", "y"), ("c", "x")]
///     .map(|(name, zone)| Node { name: name.into(), zone: zone.into(), capacity: 1.0 });
/// assert_eq!(names_in_zone(&nodes, "x").collect::<Vec<_>>(), ["a", "c"]);
/// let is_first = |me, window| rank(names_in_zone(&nodes, "x"), me, Task::QueryZone("x"), window) == 0;
/// assert!((0..9).all(|w| is_first("a", w) != is_first("c", w)));
/// ```
pub fn names_in_zone<'a>(nodes: &'a [Node], zone: &'a str) -> impl Iterator<Item = &'a str> {
    nodes.iter().filter(move |n| n.zone == zone).map(|n| n.name.as_str())
}

/// When a task was last carried out by any node, as far as this node knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TaskHistory {
    last_window: Option<u64>,
}

impl TaskHistory {
    /// Records a result that this or another node obtained at `made_at` by the wall clock. No other node needs to act in its
    /// window. A result from the future counts for the current window.
    ///
    /// ```
    /// use micadyke_subset::{Task, TaskHistory, turns::TurnSettings};
    /// let settings = TurnSettings { window: 4_000, slots: 4 };
    /// let mut history = TaskHistory::default();
    /// history.record_result(&settings, 4_100, 3_900);
    /// let due = |h: &TaskHistory| h.due_at(&settings, ["a"], "a", Task::QueryZone("z"), 4_100);
    /// assert_eq!(due(&history), Some(4_000), "the result belongs to the previous window");
    /// history.record_result(&settings, 4_100, 99_000);
    /// assert_eq!(due(&history), None);
    /// assert!(history.due_at(&settings, ["a"], "a", Task::QueryZone("z"), 8_000).is_some());
    /// ```
    pub fn record_result(&mut self, settings: &TurnSettings, wall: Nanos, made_at: Nanos) {
        let window = settings.window_at(made_at.min(wall));
        self.last_window = Some(self.last_window.map_or(window, |h| h.max(window)));
    }

    /// Whether the task was carried out in the window of `wall` or in the previous one.
    ///
    /// ```
    /// use micadyke_subset::{TaskHistory, turns::TurnSettings};
    /// let (settings, mut history) = (TurnSettings { window: 4_000, slots: 4 }, TaskHistory::default());
    /// assert!(!history.handled_recently(&settings, 4_100));
    /// history.record_result(&settings, 4_100, 4_100);
    /// assert!(history.handled_recently(&settings, 11_900) && !history.handled_recently(&settings, 12_000));
    /// ```
    pub fn handled_recently(&self, settings: &TurnSettings, wall: Nanos) -> bool {
        self.last_window.is_some_and(|h| h.saturating_add(1) >= settings.window_at(wall))
    }

    /// When this node's turn comes in the window of `wall`. If that is at or before `wall`, the node acts now and calls
    /// [`TaskHistory::record_result`]. `None` if the task has been carried out in the window, or the window has no turn for
    /// the node.
    ///
    /// ```
    /// use micadyke_subset::{Task, TaskHistory, turns::TurnSettings};
    /// let (settings, names) = (TurnSettings::default(), ["a", "b"]);
    /// let mut history = TaskHistory::default();
    /// let due = |h: &TaskHistory, me| h.due_at(&settings, names, me, Task::ProbeServer("7"), 0);
    /// // One node has its turn at once, the other one a slot later.
    /// let mut turns = [due(&history, "a"), due(&history, "b")];
    /// turns.sort();
    /// assert_eq!(turns, [Some(0), Some(settings.window / 6)]);
    /// history.record_result(&settings, 5_000_000, 4_000_000);
    /// assert_eq!(due(&history, "a"), None);
    /// ```
    pub fn due_at<'a>(
        &self, settings: &TurnSettings, names: impl IntoIterator<Item = &'a str>, me: &str, task: Task<'_>,
        wall: Nanos,
    ) -> Option<Nanos> {
        let window = settings.window_at(wall);
        if self.last_window.is_some_and(|h| h >= window) {
            return None;
        }
        let start = window.saturating_mul(settings.window);
        turn_offset(settings, rank(names, me, task, window)).map(|after| start.saturating_add(after))
    }
}

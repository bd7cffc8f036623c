//! Widens a node's working subset at a bounded rate while too few of its servers are usable, and shrinks it again.

use crate::{Error, Nanos};

const SECOND: f64 = 1e9;

/// The status of a server as one node knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerStatus {
    /// Accepts sessions.
    Usable,
    /// Does not answer.
    Silent,
    /// Accepts no new sessions.
    Draining,
    /// Has started recently and accepts few sessions.
    Cold,
    /// Has no free capacity.
    Full,
}

/// When and how fast a subset is widened.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WidenSettings {
    /// The subset is widened if less than this share of it is usable.
    pub min_usable: f64,
    /// Number of servers added each second.
    pub servers_per_second: f64,
    /// Number of servers that may be added at once.
    pub burst: f64,
    /// Time after which an added server that is no longer needed is released.
    pub release_delay: Nanos,
}

impl Default for WidenSettings {
    fn default() -> Self {
        WidenSettings { min_usable: 0.75, servers_per_second: 2.0, burst: 4.0, release_delay: 5_000_000_000 }
    }
}

impl WidenSettings {
    /// Checks that the settings are in range.
    ///
    /// # Errors
    /// [`Error::InvalidShare`], [`Error::InvalidRate`].
    ///
    /// ```
    /// use micadyke_subset::{Error, widen::WidenSettings};
    /// assert_eq!(WidenSettings::default().check(), Ok(()));
    /// let stopped = WidenSettings { servers_per_second: 0.0, ..WidenSettings::default() };
    /// assert_eq!(stopped.check(), Err(Error::InvalidRate(0.0)));
    /// ```
    pub fn check(&self) -> Result<(), Error> {
        match self {
            t if !(t.min_usable > 0.0 && t.min_usable <= 1.0) => Err(Error::InvalidShare(t.min_usable)),
            t if !(t.servers_per_second > 0.0
                && t.servers_per_second.is_finite()
                && t.burst >= 1.0
                && t.burst.is_finite()) =>
            {
                Err(Error::InvalidRate(t.servers_per_second))
            }
            _ => Ok(()),
        }
    }
}

/// Tracks how far along its preference order a node has widened its subset. The result is a preference: a node that finds no
/// usable server in it may use any other.
#[derive(Debug, Clone)]
pub struct SubsetWidener {
    settings: WidenSettings,
    added: usize,
    tokens: f64,
    updated_at: Nanos,
    spare_since: Option<Nanos>,
}

impl SubsetWidener {
    /// A widener for a subset without added servers.
    ///
    /// ```
    /// use micadyke_subset::{ServerStatus, SubsetWidener, widen::WidenSettings};
    /// let mut widener = SubsetWidener::new(WidenSettings::default(), 0);
    /// assert_eq!(widener.width(0, 5, &[ServerStatus::Usable; 9]), 5);
    /// ```
    pub fn new(settings: WidenSettings, now: Nanos) -> Self {
        SubsetWidener { settings, added: 0, tokens: settings.burst, updated_at: now, spare_since: None }
    }

    /// The number of servers from the start of its preference order that a node works with now. `statuses` covers the whole
    /// order, whose first `working` servers are the subset. Unusable servers are skipped without using up the rate, since
    /// the node sends them nothing.
    ///
    /// ```
    /// use micadyke_subset::{ServerStatus, SubsetWidener, widen::WidenSettings};
    /// let mut widener = SubsetWidener::new(WidenSettings::default(), 0);
    /// let mut statuses = [ServerStatus::Usable; 30];
    /// assert_eq!(widener.width(0, 8, &statuses), 8);
    /// statuses[..8].fill(ServerStatus::Silent);
    /// // Four servers are added at once and the fifth half a second later; six usable ones are enough.
    /// assert_eq!(widener.width(0, 8, &statuses), 12);
    /// assert_eq!(widener.width(500_000_000, 8, &statuses), 13);
    /// assert_eq!(widener.width(60_000_000_000, 8, &statuses), 14);
    /// statuses[..8].fill(ServerStatus::Usable);
    /// assert_eq!(widener.width(60_000_000_000, 8, &statuses), 14);
    /// assert_eq!(widener.width(65_000_000_000, 8, &statuses), 13);
    /// ```
    pub fn width(&mut self, now: Nanos, working: usize, statuses: &[ServerStatus]) -> usize {
        let elapsed = now.saturating_sub(self.updated_at) as f64 / SECOND;
        self.tokens = (self.tokens + elapsed * self.settings.servers_per_second).min(self.settings.burst);
        self.updated_at = self.updated_at.max(now);
        let working = working.min(statuses.len());
        self.added = self.added.min(statuses.len() - working);
        let needed = ((working as f64 * self.settings.min_usable).ceil() as usize).max(1);
        let usable = |of: &[ServerStatus]| of.iter().filter(|s| **s == ServerStatus::Usable).count();
        let mut available = usable(&statuses[..working + self.added]);
        let mut position = working + self.added;
        while available < needed && position < statuses.len() {
            if statuses[position] == ServerStatus::Usable {
                if self.tokens < 1.0 {
                    break;
                }
                self.tokens -= 1.0;
                available += 1;
                self.added = position + 1 - working;
            }
            position += 1;
        }
        // Added servers are released one at a time, each after it was not needed for the release delay.
        let one_is_spare = self.added > 0 && usable(&statuses[..working + self.added - 1]) >= needed;
        let since = *self.spare_since.get_or_insert(now);
        if !one_is_spare {
            self.spare_since = None;
        } else if now.saturating_sub(since) >= self.settings.release_delay {
            self.added -= 1;
            self.spare_since = Some(now);
        }
        working + self.added
    }
}

//! Reports about servers that front nodes exchange: drains that a node has learned of, and observations that make the other
//! nodes check a server.
//!
//! A report is evidence, never a decision. It has an age, which includes its time on the way. It is forwarded at once to a
//! few members, as often as the size of the fleet requires, and discarded when it is old.

use crate::{MS, Nanos, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Reports older than this are neither forwarded nor accepted.
pub const MAX_AGE: Nanos = 10 * SECOND;
/// A finding about a server that is newer than the known one by less than this is a duplicate.
const DUPLICATE_WINDOW: Nanos = SECOND;
/// Maximum number of reports; the oldest is evicted.
pub const MAX_REPORTS: usize = 1024;
/// Maximum length of a server id in bytes.
const MAX_ID_BYTES: usize = 128;
/// Maximum number of reports in a datagram.
const MAX_REPORTS_PER_DATAGRAM: usize = 7;

/// What a member has observed of a server by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Finding {
    /// It does not answer connection attempts.
    Silent,
    /// Its machine refuses connections.
    Refused,
    /// It runs as a new process.
    Restarted,
}

/// A report about a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerReport {
    /// The server drains, according to the list of this version.
    Drain {
        /// The server's id in the list.
        server: String,
        /// The version of the list.
        version: u64,
    },
    /// A member has observed the server.
    Found {
        /// The server's id in the list.
        server: String,
        /// The observation.
        what: Finding,
    },
}

impl ServerReport {
    /// The id of the server.
    pub fn server(&self) -> &str {
        match self {
            ServerReport::Drain { server, .. } | ServerReport::Found { server, .. } => server,
        }
    }
}

#[derive(Debug)]
struct Item {
    report: ServerReport,
    /// When the report was made, by this member's clock.
    since: Nanos,
    /// How often it was sent.
    sent_count: u32,
}

/// A report with its age in milliseconds, as it is sent.
pub type AgedReport = (ServerReport, u32);

/// The reports that a member knows. No I/O and no clock.
#[derive(Debug, Default)]
pub struct ReportBoard {
    items: BTreeMap<(bool, String), Item>,
}

impl ReportBoard {
    /// Adds a report of an age. Returns whether it was new.
    pub fn insert(&mut self, now: Nanos, report: ServerReport, age: Nanos) -> bool {
        let valid = !report.server().is_empty() && report.server().len() <= MAX_ID_BYTES;
        if age > MAX_AGE || !valid {
            return false;
        }
        self.items.retain(|_, i| now < i.since.saturating_add(MAX_AGE));
        let (key, since) = (
            (matches!(report, ServerReport::Drain { .. }), report.server().to_owned()),
            now.saturating_sub(age),
        );
        if let Some(known) = self.items.get(&key) {
            let newer = match (&known.report, &report) {
                (ServerReport::Drain { version: known, .. }, ServerReport::Drain { version, .. }) => {
                    version > known
                }
                (ServerReport::Found { what: known, .. }, ServerReport::Found { what, .. }) => {
                    since > self.items[&key].since + if known == what { DUPLICATE_WINDOW } else { 0 }
                }
                _ => false,
            };
            if !newer {
                return false;
            }
        } else if self.items.len() >= MAX_REPORTS
            && let Some(oldest) = self.items.iter().min_by_key(|i| i.1.since).map(|i| i.0.clone())
        {
            self.items.remove(&oldest);
        }
        self.items.insert(key, Item { report, since, sent_count: 0 });
        true
    }

    /// The reports to forward now, those sent least often first. Each report is sent `max_copies` times; this call counts as
    /// `to` times.
    pub fn due_for_forwarding(&mut self, now: Nanos, max_copies: u32, to: u32) -> Vec<AgedReport> {
        let due = self
            .items
            .values_mut()
            .filter(|i| i.sent_count < max_copies && now < i.since.saturating_add(MAX_AGE));
        let mut due: Vec<&mut Item> = due.collect();
        due.sort_by_key(|i| i.sent_count);
        due.truncate(MAX_REPORTS_PER_DATAGRAM);
        due.into_iter()
            .map(|i| {
                i.sent_count += to;
                (i.report.clone(), u32::try_from((now - i.since) / MS).unwrap_or(u32::MAX))
            })
            .collect()
    }

    /// Number of reports.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there are no reports.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}

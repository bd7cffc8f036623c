//! What front nodes tell each other of servers: drains that one heard of, and findings that make the others look.
//!
//! News is evidence, never a verdict. It has an age, which grows with every stop on its way; it is handed on at once to a
//! few members, so often as the fleet's size asks for, and forgotten when it is old.

use crate::{MS, Nanos, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// News older than this is not handed on, nor taken.
pub const OLD: Nanos = 10 * SECOND;
/// Findings of one server that are younger than the one held by less than this are the same.
const SAME: Nanos = SECOND;
/// Pieces of news held at most; the oldest makes room.
pub const MOST: usize = 1024;
/// Bytes of a server's id at most.
const ID: usize = 128;
/// Pieces in a datagram at most.
const AT_ONCE: usize = 7;

/// What a member found out about a server by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Finding {
    /// It does not answer calls.
    Silent,
    /// Its machine refuses calls.
    Refused,
    /// It runs as another process than before.
    Anew,
}

/// A piece of news.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum News {
    /// The list of this version says that the server takes nothing new.
    Drain {
        /// The server's id in the list.
        server: String,
        /// The version of the list.
        version: u64,
    },
    /// A member found this out.
    Found {
        /// The server's id in the list.
        server: String,
        /// What.
        what: Finding,
    },
}

impl News {
    /// The server that it tells of.
    pub fn server(&self) -> &str {
        match self {
            News::Drain { server, .. } | News::Found { server, .. } => server,
        }
    }
}

#[derive(Debug)]
struct Item {
    news: News,
    /// When it was new, by this member's clock.
    since: Nanos,
    /// How often it was handed on.
    told: u32,
}

/// News with its age in milliseconds, as it travels.
pub type Aged = (News, u32);

/// The news that a member holds. No I/O and no clock.
#[derive(Debug, Default)]
pub struct Board {
    items: BTreeMap<(bool, String), Item>,
}

impl Board {
    /// Takes a piece of news of this age; whether it was new here.
    pub fn take(&mut self, now: Nanos, news: News, age: Nanos) -> bool {
        let sound = !news.server().is_empty() && news.server().len() <= ID;
        if age > OLD || !sound {
            return false;
        }
        self.items.retain(|_, i| now < i.since.saturating_add(OLD));
        let (key, since) =
            ((matches!(news, News::Drain { .. }), news.server().to_owned()), now.saturating_sub(age));
        if let Some(held) = self.items.get(&key) {
            let newer = match (&held.news, &news) {
                (News::Drain { version: held, .. }, News::Drain { version, .. }) => version > held,
                (News::Found { what: held, .. }, News::Found { what, .. }) => {
                    since > self.items[&key].since + if held == what { SAME } else { 0 }
                }
                _ => false,
            };
            if !newer {
                return false;
            }
        } else if self.items.len() >= MOST
            && let Some(oldest) = self.items.iter().min_by_key(|i| i.1.since).map(|i| i.0.clone())
        {
            self.items.remove(&oldest);
        }
        self.items.insert(key, Item { news, since, told: 0 });
        true
    }

    /// What is to be handed on now: what was told least, each piece `most` times; counted as told `to` times.
    pub fn hand_on(&mut self, now: Nanos, most: u32, to: u32) -> Vec<Aged> {
        let due = self.items.values_mut().filter(|i| i.told < most && now < i.since.saturating_add(OLD));
        let mut due: Vec<&mut Item> = due.collect();
        due.sort_by_key(|i| i.told);
        due.truncate(AT_ONCE);
        due.into_iter()
            .map(|i| {
                i.told += to;
                (i.news.clone(), u32::try_from((now - i.since) / MS).unwrap_or(u32::MAX))
            })
            .collect()
    }

    /// Pieces held.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}

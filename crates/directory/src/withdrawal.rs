//! What is withdrawn, and how far that has come.
//!
//! A withdrawal is a fact that all members hold until it is lifted or its time is over: whoever joins later hears of it, and
//! sessions that start later end as well. Whoever follows one asks each living member until it has said, of its own book,
//! that nothing is left.

use crate::wire::Record;
use crate::{Key, MS, Nanos, hash};
use std::collections::{BTreeMap, BTreeSet};

/// A withdrawal holds for 30 days at most: the table is bounded where nobody lifts.
pub(crate) const LONGEST_HOLD: Nanos = 30 * 86_400 * crate::SECOND;
/// One whose time is over is remembered for so long, so that a late copy of it does not bring it back.
const GRACE: Nanos = 60 * crate::SECOND;
/// Withdrawals known at most, those that were lifted included, and from one member.
pub(crate) const MOST: usize = 256;
pub(crate) const MOST_FROM_ONE: usize = 64;
/// Members that follow a withdrawal and are told at each change, at most; others hear when they ask.
pub(crate) const FOLLOWERS: usize = 8;

/// What a member knows of a withdrawal.
#[derive(Debug, Clone)]
pub(crate) struct Held {
    pub version: u64,
    pub lifted: bool,
    pub origin: String,
    /// Which withdrawal it is, or which one was lifted.
    pub mark: u64,
    pub until: Nanos,
    /// Its time is over.
    pub over: bool,
    /// Sessions that are left here, where the node has looked.
    pub left: Option<u64>,
    /// Who follows it.
    pub followers: BTreeSet<String>,
}

impl Held {
    fn rank(&self) -> (u64, bool, &str) {
        // Of two that do not know of each other the withdrawal holds.
        (self.version, !self.lifted, &self.origin)
    }
}

/// What is withdrawn.
#[derive(Debug, Default)]
pub(crate) struct Table {
    held: BTreeMap<Key, Held>,
}

/// What became of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Taken {
    New,
    Known,
    Full,
}

impl Table {
    pub fn get(&self, what: &Key) -> Option<&Held> {
        self.held.get(what)
    }

    pub fn get_mut(&mut self, what: &Key) -> Option<&mut Held> {
        self.held.get_mut(what)
    }

    pub fn len(&self) -> usize {
        self.live().count()
    }

    /// Those whose time is not over.
    pub fn live(&self) -> impl Iterator<Item = (&Key, &Held)> {
        self.held.iter().filter(|h| !h.1.over)
    }

    /// Whether it holds of this key.
    pub fn holds(&self, what: &Key) -> bool {
        self.held.get(what).is_some_and(|h| !h.lifted && !h.over)
    }

    /// Digest of all: equal where members know the same.
    pub fn digest(&self) -> u64 {
        let mark = |(what, held): (&Key, &Held)| {
            let (tag, text) = what.parts();
            let numbers = [held.version, u64::from(held.lifted), held.mark, text.len() as u64]
                .map(u64::to_be_bytes)
                .concat();
            hash(&[&[tag], &numbers, text.as_bytes(), held.origin.as_bytes()])
        };
        self.live().map(mark).fold(0, u64::wrapping_add)
    }

    pub fn take(&mut self, now: Nanos, record: &Record) -> Taken {
        let held = Held {
            version: record.version,
            lifted: record.lifted,
            origin: record.origin.clone(),
            mark: record.mark,
            until: now.saturating_add(record.left_ms.saturating_mul(MS).min(LONGEST_HOLD)),
            over: false,
            left: None,
            followers: BTreeSet::new(),
        };
        match self.held.get(&record.what) {
            // Of what is over only a copy is not taken again.
            Some(known) if known.over && known.mark == held.mark => Taken::Known,
            Some(known) if !known.over && known.rank() >= held.rank() => Taken::Known,
            None if self.len() >= MOST || self.held.len() >= 2 * MOST => Taken::Full,
            None if self.held.values().filter(|h| !h.over && h.origin == record.origin).count()
                >= MOST_FROM_ONE =>
            {
                Taken::Full
            }
            _ => {
                self.held.insert(record.what.clone(), held);
                Taken::New
            }
        }
    }

    pub fn record(&self, now: Nanos, what: &Key) -> Option<Record> {
        let held = self.held.get(what).filter(|h| !h.over)?;
        Some(Record {
            what: what.clone(),
            version: held.version,
            lifted: held.lifted,
            origin: held.origin.clone(),
            mark: held.mark,
            left_ms: held.until.saturating_sub(now) / MS,
        })
    }

    /// Those whose time is over now; they are forgotten a while later.
    pub fn expire(&mut self, now: Nanos) -> Vec<Key> {
        self.held.retain(|_, h| now < h.until.saturating_add(GRACE));
        let over = self.held.iter_mut().filter(|h| !h.1.over && h.1.until <= now);
        over.map(|(what, held)| {
            held.over = true;
            what.clone()
        })
        .collect()
    }

    pub fn next_end(&self) -> Nanos {
        let end = |h: &Held| if h.over { h.until.saturating_add(GRACE) } else { h.until };
        self.held.values().map(end).min().unwrap_or(Nanos::MAX)
    }
}

/// A withdrawal, or the lifting of one, as a member knows it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Known {
    /// What.
    pub what: Key,
    /// It was lifted.
    pub lifted: bool,
    /// It outranks those with a lower one.
    pub version: u64,
    /// Who withdrew or lifted it.
    pub origin: String,
    /// Which withdrawal it is, or which one was lifted.
    pub mark: u64,
    /// For how long it holds still.
    pub left: Nanos,
}

/// Why a withdrawal waits for a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Holds {
    /// It has not answered.
    NotHeard,
    /// It has not looked yet.
    Looking,
    /// So many sessions are left there, or their servers have not confirmed.
    Left(u64),
    /// Its own view is not settled.
    Unsettled,
    /// It sees other members than this one.
    Differs,
    /// The view gave up this start of it, and nobody has accounted for its sessions at the servers.
    Lost(u64),
    /// It knows of more that were given up than it could tell.
    More,
}

/// Whom a withdrawal waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waits {
    /// The member.
    pub name: String,
    /// Why.
    pub why: Holds,
}

impl std::fmt::Display for Waits {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Waits { name, why } = self;
        match why {
            Holds::NotHeard => write!(f, "{name} has not answered"),
            Holds::Looking => write!(f, "{name} has not looked yet"),
            Holds::Left(n) => write!(f, "{name} has {n} sessions left"),
            Holds::Unsettled => write!(f, "{name} asks, and its view is not settled"),
            Holds::Differs => write!(f, "{name} sees other members"),
            Holds::Lost(start) => {
                write!(f, "start {start} of {name} was given up, its sessions are not accounted for")
            }
            Holds::More => write!(f, "{name} knows of more that were given up"),
        }
    }
}

/// How far a withdrawal has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Progress {
    /// What is withdrawn.
    pub what: Key,
    /// Which time.
    pub version: u64,
    /// Members that have confirmed.
    pub confirmed: usize,
    /// Whom it waits for; nobody once it was over.
    pub waits: Vec<Waits>,
    /// It ended everywhere. Once said it stays said; what starts later ends as it starts, until the withdrawal is lifted.
    pub ended_everywhere: bool,
}

/// What a member last said of a withdrawal.
#[derive(Debug, Clone)]
pub(crate) struct Said {
    pub start: u64,
    pub left: Option<u64>,
    pub view: u64,
    pub more: bool,
}

/// A withdrawal that this member follows.
#[derive(Debug)]
pub(crate) struct Track {
    pub version: u64,
    /// Which withdrawal.
    pub mark: u64,
    pub said: BTreeMap<String, Said>,
    /// Who was given up, as others told.
    pub lost: BTreeSet<(String, u64)>,
    pub ended: bool,
    /// Members were asked up to this name.
    pub cursor: String,
    pub again_at: Nanos,
    pub told: Option<Progress>,
}

impl Track {
    pub fn new(version: u64, mark: u64, now: Nanos) -> Self {
        Track {
            version,
            mark,
            said: BTreeMap::new(),
            lost: BTreeSet::new(),
            ended: false,
            cursor: String::new(),
            again_at: now,
            told: None,
        }
    }
}

//! A member's side of the map, and the side of the leader who moves it.
//!
//! Who may move the map is settled by the lease of a majority that parts of the common budget are leased by;
//! it comes in as a fact, [`Lease`]. A lease says nothing about words that come late, and epochs need not
//! grow from one leader to the next; so each leadership has a [`Term`], higher than any that a majority has
//! heard of. A member turns words of a lower term away. A leader first reads what a majority holds and takes
//! the newest of it over, then moves it; a map counts (is *committed*) once a majority holds it, and only
//! then does a member serve by it. The argument stands in `docs/design/shards.md`.

use crate::map::{Flaw, Map, Owner};
use crate::{Feature, Range};
use micadyke_directory::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a fleet agrees on beforehand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Terms {
    /// Members of the whole fleet, by the settings.
    pub fronts: u32,
    /// A member serves by a map for so long after the leader last confirmed it.
    pub serve: Nanos,
    /// Clocks run at most so much faster or slower than true time, per mille.
    pub drift: u64,
}

impl Terms {
    /// A span that is surely within `serve` of true time.
    fn shorter(&self) -> Nanos {
        (u128::from(self.serve) * u128::from(1000 - self.drift.min(1000)) / 1000) as Nanos
    }

    /// A span that is surely over `serve` of true time.
    fn longer(&self) -> Nanos {
        (u128::from(self.serve) * u128::from(1000 + self.drift)).div_ceil(1000) as Nanos
    }
}

/// An epoch of the lease: its number, and the start of its leader.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch {
    /// The number.
    pub number: u64,
    /// Name of the leader.
    pub leader: String,
    /// Its start.
    pub start: u64,
}

/// The fact that this member leads.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lease {
    /// Under this epoch.
    pub epoch: Epoch,
    /// Until then, by this member's clock.
    pub until: Nanos,
}

/// A leadership: what fences words that come late.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term {
    /// Higher than any that a majority had heard of when the leader began.
    pub turn: u64,
    /// Whose.
    pub epoch: Epoch,
}

/// What members say to each other about the map.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Word {
    /// Leader to member: what do you hold? Take no word of a lower term from now.
    Read {
        /// The leader's.
        term: Term,
    },
    /// Member to leader: this; and the number of the map that it knows to be committed.
    Holds {
        /// The leader's.
        term: Term,
        /// What is held, and the term that it was taken in.
        held: Option<(Term, Map)>,
    },
    /// Member to leader: this start holds nothing that counts, for it has just begun.
    New {
        /// The leader's.
        term: Term,
        /// The start.
        start: u64,
    },
    /// Leader to member: hold this.
    Write {
        /// The leader's.
        term: Term,
        /// Grows with each of the leader's rounds.
        round: u64,
        /// Number of the map.
        number: u64,
        /// The map; left out where the member holds it by the leader's knowledge.
        map: Option<Map>,
        /// To this start, that had said it was new: it is a voice from now.
        welcome: Option<u64>,
    },
    /// Member to leader: held.
    Held {
        /// The leader's.
        term: Term,
        /// The round.
        round: u64,
    },
    /// Leader to member: a majority holds what you held in this round.
    Commit {
        /// The leader's.
        term: Term,
        /// The round.
        round: u64,
    },
    /// Member to leader: a higher term was heard, or the map was not at hand.
    No {
        /// What is refused.
        term: Term,
        /// The highest heard.
        heard: Term,
    },
}

/// Why the map was not moved.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// This member does not lead, or its lease is over.
    #[error("no lease to move the map under")]
    NoLease,
    /// The move before has not reached a majority.
    #[error("the map's number {0} is not held by a majority yet")]
    Open(u64),
    /// The map to be is not the one that follows.
    #[error("map {to} does not follow {from}")]
    NotNext {
        /// The committed number.
        from: u64,
        /// The number asked for.
        to: u64,
    },
    /// The map to be is none.
    #[error(transparent)]
    Flaw(#[from] Flaw),
}

impl Refused {
    /// What an operator can do.
    ///
    /// ```
    /// assert!(micadyke_shards::keep::Refused::NoLease.advice().contains("majority"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            Refused::NoLease => "See that a majority of the configured fronts runs and reaches each other.",
            Refused::Open(_) => {
                "Nothing, unless it stays: then fewer than a majority hear the leader; see the view of the members."
            }
            Refused::NotNext { .. } => "Nothing: the move is decided anew on the map that stands.",
            Refused::Flaw(f) => f.advice(),
        }
    }
}

/// How an asker's map stands to this member's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Weighed<'a> {
    /// The same number, and this member may serve by it.
    Same(&'a Map),
    /// The asker's is older: it is turned away and learns this one.
    Older(&'a Map),
    /// This member's is older, or it knows none: the asker is to hand over its own.
    Newer,
    /// The same number, and nobody has confirmed it for too long: the answer is no whole one.
    Stale,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Lead {
    lease: Lease,
    term: Term,
    /// Who answered the reading, and with what.
    read: BTreeMap<String, Option<(Term, Map)>>,
    /// Starts that said that they are new.
    new: BTreeMap<String, u64>,
    /// What is written, once it was read.
    map: Option<Map>,
    round: u64,
    held: BTreeSet<String>,
    /// Number that a member is known to hold in this term.
    has: BTreeMap<String, u64>,
    /// When the number was first written in this term.
    since: Nanos,
    committed: bool,
    /// The round has been confirmed to who held it.
    told: bool,
    to: BTreeMap<String, u64>,
}

/// A member's side, and its side as a leader. No I/O and no clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Keeper {
    terms: Terms,
    name: String,
    start: u64,
    /// Highest term heard.
    heard: Option<Term>,
    held: Option<(Term, Map)>,
    /// Counts in a majority: it holds what it was told by a leader since it began.
    voice: bool,
    /// The round last held, and when first.
    round: Option<(Term, u64, Nanos)>,
    committed: Option<Map>,
    fresh: Nanos,
    lead: Option<Lead>,
    absent: BTreeSet<String>,
    without: Option<Feature>,
}

impl Keeper {
    /// A member that has just started and knows of no map.
    ///
    /// ```
    /// use micadyke_shards::keep::{Epoch, Keeper, Lease, Terms};
    /// // A fleet of one founds its map as soon as it holds the lease.
    /// let terms = Terms { fronts: 1, serve: 1_000, drift: 10 };
    /// let mut f1 = Keeper::new(terms, "f1", 1);
    /// let lease = Lease { epoch: Epoch { number: 1, leader: "f1".into(), start: 1 }, until: 3_000 };
    /// let mut words = f1.lead(0, &lease, &[("f1".to_owned(), 1)].into());
    /// while let Some((_, word)) = words.pop() {
    ///     words.extend(f1.handle(0, "f1", word));
    /// }
    /// assert_eq!(f1.map().unwrap().number, 2);
    /// assert!(f1.serves(500).is_some() && f1.serves(1_000).is_none());
    /// ```
    pub fn new(terms: Terms, name: &str, start: u64) -> Self {
        Keeper {
            terms,
            name: name.into(),
            start,
            heard: None,
            held: None,
            voice: false,
            round: None,
            committed: None,
            fresh: 0,
            lead: None,
            absent: BTreeSet::new(),
            without: None,
        }
    }

    /// Takes a feature out, for tests and measurements that show what it is good for.
    #[doc(hidden)]
    pub fn without(mut self, feature: Option<Feature>) -> Self {
        self.without = feature;
        self
    }

    /// This member as an owner.
    ///
    /// ```
    /// # use micadyke_shards::keep::{Epoch, Keeper, Lease, Terms};
    /// # let terms = Terms { fronts: 1, serve: 1_000, drift: 10 };
    /// # let mut f1 = Keeper::new(terms, "f1", 1);
    /// # let lease = Lease { epoch: Epoch { number: 1, leader: "f1".into(), start: 1 }, until: 3_000 };
    /// # let mut words = f1.lead(0, &lease, &[("f1".to_owned(), 1)].into());
    /// # while let Some((_, word)) = words.pop() {
    /// #     words.extend(f1.handle(0, "f1", word));
    /// # }
    /// assert_eq!(f1.me().to_string(), "f1 (start 1)");
    /// ```
    pub fn me(&self) -> Owner {
        Owner::new(&self.name, self.start)
    }

    /// Whether the map that it knows names this start as an owner of this very range. If not it takes no
    /// write for it, answers no question about it, and reports nothing of it, whatever a former start did.
    ///
    /// ```
    /// # use micadyke_shards::keep::{Epoch, Keeper, Lease, Terms};
    /// # let terms = Terms { fronts: 1, serve: 1_000, drift: 10 };
    /// # let mut f1 = Keeper::new(terms, "f1", 1);
    /// # let lease = Lease { epoch: Epoch { number: 1, leader: "f1".into(), start: 1 }, until: 3_000 };
    /// # let mut words = f1.lead(0, &lease, &[("f1".to_owned(), 1)].into());
    /// # while let Some((_, word)) = words.pop() {
    /// #     words.extend(f1.handle(0, "f1", word));
    /// # }
    /// assert!(f1.owns(micadyke_shards::Range::RING));
    /// let again = Keeper::new(terms, "f1", 2);
    /// assert!(!again.owns(micadyke_shards::Range::RING));
    /// ```
    pub fn owns(&self, range: Range) -> bool {
        let owner = |o: &Owner| match self.without {
            Some(Feature::Start) => o.name == self.name,
            _ => *o == self.me(),
        };
        let group = self.committed.as_ref().and_then(|m| m.group(range.first));
        group.is_some_and(|g| g.all().any(|p| p.range == range && p.owners.iter().any(owner)))
    }

    /// Whether it counts in a majority: it holds what a leader told it since it began.
    ///
    /// ```
    /// # use micadyke_shards::keep::{Epoch, Keeper, Lease, Terms};
    /// # let terms = Terms { fronts: 1, serve: 1_000, drift: 10 };
    /// # let mut f1 = Keeper::new(terms, "f1", 1);
    /// # let lease = Lease { epoch: Epoch { number: 1, leader: "f1".into(), start: 1 }, until: 3_000 };
    /// # let mut words = f1.lead(0, &lease, &[("f1".to_owned(), 1)].into());
    /// # while let Some((_, word)) = words.pop() {
    /// #     words.extend(f1.handle(0, "f1", word));
    /// # }
    /// assert!(f1.voice() && !Keeper::new(terms, "f1", 2).voice());
    /// ```
    pub fn voice(&self) -> bool {
        self.voice
    }

    /// The newest map that is known to be committed.
    ///
    /// ```
    /// # use micadyke_shards::keep::{Epoch, Keeper, Lease, Terms};
    /// # let terms = Terms { fronts: 1, serve: 1_000, drift: 10 };
    /// # let mut f1 = Keeper::new(terms, "f1", 1);
    /// # let lease = Lease { epoch: Epoch { number: 1, leader: "f1".into(), start: 1 }, until: 3_000 };
    /// # let mut words = f1.lead(0, &lease, &[("f1".to_owned(), 1)].into());
    /// # while let Some((_, word)) = words.pop() {
    /// #     words.extend(f1.handle(0, "f1", word));
    /// # }
    /// assert_eq!(f1.map().unwrap().number, 2);
    /// ```
    pub fn map(&self) -> Option<&Map> {
        self.committed.as_ref()
    }

    /// That map while this member may serve by it.
    ///
    /// ```
    /// # use micadyke_shards::keep::{Epoch, Keeper, Lease, Terms};
    /// # let terms = Terms { fronts: 1, serve: 1_000, drift: 10 };
    /// # let mut f1 = Keeper::new(terms, "f1", 1);
    /// # let lease = Lease { epoch: Epoch { number: 1, leader: "f1".into(), start: 1 }, until: 3_000 };
    /// # let mut words = f1.lead(0, &lease, &[("f1".to_owned(), 1)].into());
    /// # while let Some((_, word)) = words.pop() {
    /// #     words.extend(f1.handle(0, "f1", word));
    /// # }
    /// // By 1% less than the span.
    /// assert!(f1.serves(989).is_some() && f1.serves(990).is_none());
    /// ```
    pub fn serves(&self, now: Nanos) -> Option<&Map> {
        self.committed.as_ref().filter(|_| now < self.fresh)
    }

    /// How an asker that goes by map `number` stands to this member.
    ///
    /// ```
    /// # use micadyke_shards::keep::{Epoch, Keeper, Lease, Terms};
    /// # let terms = Terms { fronts: 1, serve: 1_000, drift: 10 };
    /// # let mut f1 = Keeper::new(terms, "f1", 1);
    /// # let lease = Lease { epoch: Epoch { number: 1, leader: "f1".into(), start: 1 }, until: 3_000 };
    /// # let mut words = f1.lead(0, &lease, &[("f1".to_owned(), 1)].into());
    /// # while let Some((_, word)) = words.pop() {
    /// #     words.extend(f1.handle(0, "f1", word));
    /// # }
    /// use micadyke_shards::keep::Weighed;
    /// assert!(matches!(f1.weigh(0, 1), Weighed::Older(_)));
    /// assert!(matches!(f1.weigh(0, 2), Weighed::Same(_)));
    /// assert_eq!(f1.weigh(0, 3), Weighed::Newer);
    /// assert_eq!(f1.weigh(2_000, 2), Weighed::Stale);
    /// ```
    pub fn weigh(&self, now: Nanos, number: u64) -> Weighed<'_> {
        match &self.committed {
            Some(m) if number < m.number && self.without != Some(Feature::Fence) => Weighed::Older(m),
            Some(m) if number <= m.number && now < self.fresh => Weighed::Same(m),
            Some(m) if number <= m.number => match self.without {
                Some(Feature::Fence) => Weighed::Same(m),
                _ => Weighed::Stale,
            },
            _ => Weighed::Newer,
        }
    }

    /// Takes a map that another member knows to be committed. A lower number is not taken. Returns whether it
    /// was.
    ///
    /// ```
    /// # use micadyke_shards::keep::{Epoch, Keeper, Lease, Terms};
    /// # let terms = Terms { fronts: 1, serve: 1_000, drift: 10 };
    /// # let mut f1 = Keeper::new(terms, "f1", 1);
    /// # let lease = Lease { epoch: Epoch { number: 1, leader: "f1".into(), start: 1 }, until: 3_000 };
    /// # let mut words = f1.lead(0, &lease, &[("f1".to_owned(), 1)].into());
    /// # while let Some((_, word)) = words.pop() {
    /// #     words.extend(f1.handle(0, "f1", word));
    /// # }
    /// use micadyke_shards::map::Map;
    /// assert!(!f1.learn(&Map::founded(1, [("f2", 9)])));
    /// assert!(f1.learn(&Map::founded(5, [("f2", 9)])));
    /// ```
    pub fn learn(&mut self, map: &Map) -> bool {
        let newer = self.committed.as_ref().is_none_or(|m| m.number < map.number);
        if newer && (map.check().is_ok() || self.without == Some(Feature::Border)) {
            self.committed = Some(map.clone());
        }
        newer
    }

    /// Names that are provably dead: their calls have been refused for longer than a lease.
    ///
    /// ```
    /// # use micadyke_shards::keep::{Epoch, Keeper, Lease, Terms};
    /// // Of two configured fronts one answers, the other's calls are refused: the map is founded without it.
    /// let terms = Terms { fronts: 2, serve: 1_000, drift: 10 };
    /// let mut f1 = Keeper::new(terms, "f1", 1);
    /// f1.absent(["f2".to_owned()].into());
    /// let lease = Lease { epoch: Epoch { number: 1, leader: "f1".into(), start: 1 }, until: 3_000 };
    /// let mut words = f1.lead(0, &lease, &[("f1".to_owned(), 1)].into());
    /// words = words.pop().map(|(_, word)| f1.handle(0, "f1", word)).unwrap();
    /// words = words.pop().map(|(_, word)| f1.handle(0, "f1", word)).unwrap();
    /// // It is written, and not committed until more than half hold it.
    /// assert!(!words.is_empty() && f1.map().is_none());
    /// ```
    pub fn absent(&mut self, names: BTreeSet<String>) {
        self.absent = names;
    }

    /// Whether this member leads the map now and has read what a majority holds.
    ///
    /// ```
    /// # use micadyke_shards::keep::{Epoch, Keeper, Lease, Terms};
    /// # let terms = Terms { fronts: 1, serve: 1_000, drift: 10 };
    /// # let mut f1 = Keeper::new(terms, "f1", 1);
    /// # let lease = Lease { epoch: Epoch { number: 1, leader: "f1".into(), start: 1 }, until: 3_000 };
    /// # let mut words = f1.lead(0, &lease, &[("f1".to_owned(), 1)].into());
    /// # while let Some((_, word)) = words.pop() {
    /// #     words.extend(f1.handle(0, "f1", word));
    /// # }
    /// assert!(f1.leads(2_999).is_some() && f1.leads(3_000).is_none());
    /// ```
    pub fn leads(&self, now: Nanos) -> Option<&Map> {
        let lead = self.lead.as_ref().filter(|l| now < l.lease.until && l.committed)?;
        lead.map.as_ref()
    }

    /// Whether a member that has not confirmed the map of now may still serve by the one before.
    ///
    /// ```
    /// # use micadyke_shards::keep::{Epoch, Keeper, Lease, Terms};
    /// # let terms = Terms { fronts: 1, serve: 1_000, drift: 10 };
    /// # let mut f1 = Keeper::new(terms, "f1", 1);
    /// # let lease = Lease { epoch: Epoch { number: 1, leader: "f1".into(), start: 1 }, until: 3_000 };
    /// # let mut words = f1.lead(0, &lease, &[("f1".to_owned(), 1)].into());
    /// # while let Some((_, word)) = words.pop() {
    /// #     words.extend(f1.handle(0, "f1", word));
    /// # }
    /// assert!(f1.may_lag(1_009) && !f1.may_lag(1_010));
    /// ```
    pub fn may_lag(&self, now: Nanos) -> bool {
        let over = |l: &Lead| now >= l.since.saturating_add(self.terms.longer());
        self.without != Some(Feature::Wait) && !self.lead.as_ref().is_some_and(over)
    }

    /// Begins or renews a round as leader: to be called well within [`Terms::serve`] while the lease holds,
    /// with whom the view has and its start. Once it has read a majority each round confirms the map.
    ///
    /// ```
    /// # use micadyke_shards::keep::{Epoch, Keeper, Lease, Terms};
    /// let mut f1 = Keeper::new(Terms { fronts: 3, serve: 1_000, drift: 10 }, "f1", 1);
    /// let lease = Lease { epoch: Epoch { number: 1, leader: "f1".into(), start: 1 }, until: 3_000 };
    /// let view = [("f1".to_owned(), 1), ("f2".to_owned(), 4)].into();
    /// // First each is asked what it holds.
    /// assert_eq!(f1.lead(0, &lease, &view).len(), 2);
    /// ```
    pub fn lead(
        &mut self, now: Nanos, lease: &Lease, members: &BTreeMap<String, u64>,
    ) -> Vec<(String, Word)> {
        let same = self.lead.take().filter(|l| l.lease.epoch == lease.epoch);
        let turn = self.heard.as_ref().map_or(0, |t| t.turn) + 1;
        let mut lead = same.unwrap_or_else(|| Lead {
            lease: lease.clone(),
            term: Term { turn, epoch: lease.epoch.clone() },
            read: BTreeMap::new(),
            new: BTreeMap::new(),
            map: None,
            round: 0,
            held: BTreeSet::new(),
            has: BTreeMap::new(),
            since: now,
            committed: false,
            told: false,
            to: BTreeMap::new(),
        });
        (lead.lease.until, lead.to) = (lease.until, members.clone());
        let read = Word::Read { term: lead.term.clone() };
        let words = match now < lease.until {
            true if lead.map.is_some() => Self::round(&mut lead),
            true => members.keys().map(|to| (to.clone(), read.clone())).collect(),
            false => Vec::new(),
        };
        self.lead = Some(lead);
        words
    }

    /// Leads no longer.
    ///
    /// ```
    /// # use micadyke_shards::keep::{Epoch, Keeper, Lease, Terms};
    /// # let terms = Terms { fronts: 1, serve: 1_000, drift: 10 };
    /// # let mut f1 = Keeper::new(terms, "f1", 1);
    /// # let lease = Lease { epoch: Epoch { number: 1, leader: "f1".into(), start: 1 }, until: 3_000 };
    /// # let mut words = f1.lead(0, &lease, &[("f1".to_owned(), 1)].into());
    /// # while let Some((_, word)) = words.pop() {
    /// #     words.extend(f1.handle(0, "f1", word));
    /// # }
    /// f1.follow();
    /// assert!(f1.leads(0).is_none());
    /// ```
    pub fn follow(&mut self) {
        self.lead = None;
    }

    /// Moves the map to the one that follows it.
    ///
    /// ```
    /// # use micadyke_shards::keep::{Epoch, Keeper, Lease, Terms};
    /// # let terms = Terms { fronts: 1, serve: 1_000, drift: 10 };
    /// # let mut f1 = Keeper::new(terms, "f1", 1);
    /// # let lease = Lease { epoch: Epoch { number: 1, leader: "f1".into(), start: 1 }, until: 3_000 };
    /// # let mut words = f1.lead(0, &lease, &[("f1".to_owned(), 1)].into());
    /// # while let Some((_, word)) = words.pop() {
    /// #     words.extend(f1.handle(0, "f1", word));
    /// # }
    /// use micadyke_shards::{Range, keep::Refused, map::{Owner, Part}};
    /// let part = Part::new(Range::RING, vec![Owner::new("f1", 1)]);
    /// let next = f1.leads(0).unwrap().begin(Range::RING, vec![part]).unwrap();
    /// assert!(f1.propose(0, next.clone()).is_ok());
    /// // Not another before this one is held by a majority.
    /// assert_eq!(f1.propose(0, next), Err(Refused::Open(3)));
    /// ```
    ///
    /// # Errors
    /// Says why it may not be.
    pub fn propose(&mut self, now: Nanos, map: Map) -> Result<Vec<(String, Word)>, Refused> {
        let border = self.without == Some(Feature::Border);
        let lead = self.lead.as_mut().filter(|l| now < l.lease.until).ok_or(Refused::NoLease)?;
        let from = lead.map.as_ref().ok_or(Refused::NoLease)?.number;
        if !lead.committed {
            return Err(Refused::Open(from));
        }
        if map.number != from + 1 {
            return Err(Refused::NotNext { from, to: map.number });
        }
        if !border {
            map.check()?;
        }
        (lead.map, lead.since, lead.committed) = (Some(map), now, false);
        Ok(Self::round(lead))
    }

    fn round(lead: &mut Lead) -> Vec<(String, Word)> {
        lead.round += 1;
        lead.held.clear();
        lead.told = false;
        let Some(map) = lead.map.clone() else { return Vec::new() };
        let word = |to: &String| Word::Write {
            term: lead.term.clone(),
            round: lead.round,
            number: map.number,
            map: (lead.has.get(to) != Some(&map.number)).then(|| map.clone()),
            welcome: None,
        };
        lead.to.keys().map(|to| (to.clone(), word(to))).collect()
    }

    /// Takes a word of another member, or of this one to itself.
    ///
    /// ```
    /// # use micadyke_shards::keep::{Epoch, Keeper, Lease, Terms};
    /// # let terms = Terms { fronts: 1, serve: 1_000, drift: 10 };
    /// # let mut f1 = Keeper::new(terms, "f1", 1);
    /// # let lease = Lease { epoch: Epoch { number: 1, leader: "f1".into(), start: 1 }, until: 3_000 };
    /// # let mut words = f1.lead(0, &lease, &[("f1".to_owned(), 1)].into());
    /// # while let Some((_, word)) = words.pop() {
    /// #     words.extend(f1.handle(0, "f1", word));
    /// # }
    /// use micadyke_shards::keep::{Term, Word};
    /// // A word of a lower term is turned away.
    /// let low = Term { turn: 0, epoch: lease.epoch.clone() };
    /// assert!(matches!(f1.handle(0, "f2", Word::Read { term: low })[0].1, Word::No { .. }));
    /// ```
    pub fn handle(&mut self, now: Nanos, from: &str, word: Word) -> Vec<(String, Word)> {
        let term = match &word {
            Word::Read { term } | Word::Write { term, .. } | Word::Commit { term, .. } => term.clone(),
            _ => return self.answer(now, from, word),
        };
        let back = |word| vec![(from.to_owned(), word)];
        match &self.heard {
            Some(h) if *h > term && self.without != Some(Feature::Fence) => {
                return back(Word::No { term, heard: h.clone() });
            }
            _ => self.heard = Some(term.clone()),
        }
        match word {
            Word::Read { .. } if self.voice => back(Word::Holds { term, held: self.held.clone() }),
            Word::Write { round, number, map, welcome, .. } => {
                self.hold(now, from, term, (round, number), map, welcome)
            }
            Word::Commit { round, .. } => {
                self.commit(&term, round);
                Vec::new()
            }
            _ => back(Word::New { term, start: self.start }),
        }
    }

    fn hold(
        &mut self, now: Nanos, from: &str, term: Term, (round, number): (u64, u64), map: Option<Map>,
        welcome: Option<u64>,
    ) -> Vec<(String, Word)> {
        let back = |word| vec![(from.to_owned(), word)];
        if !self.voice && welcome != Some(self.start) && self.without != Some(Feature::Memory) {
            return back(Word::New { term, start: self.start });
        }
        // Of a round before, late.
        let fenced = self.without != Some(Feature::Fence);
        if fenced && self.round.as_ref().is_some_and(|(t, r, _)| (t, *r) > (&term, round)) {
            return Vec::new();
        }
        match map {
            Some(map) if map.check().is_err() && self.without != Some(Feature::Border) => return Vec::new(),
            Some(map) => self.held = Some((term.clone(), map)),
            None if self.held.as_ref().is_some_and(|(t, m)| (t, m.number) == (&term, number)) => {}
            None => return back(Word::No { term: term.clone(), heard: term }),
        }
        self.voice = true;
        // What is confirmed counts from when the round was first held.
        if self.round.as_ref().is_none_or(|(t, r, _)| (t, *r) != (&term, round)) {
            self.round = Some((term.clone(), round, now));
        }
        back(Word::Held { term, round })
    }

    fn commit(&mut self, term: &Term, round: u64) {
        let Some((t, r, at)) = &self.round else { return };
        if (t, *r) != (term, round) {
            return;
        }
        self.fresh = self.fresh.max(at.saturating_add(self.terms.shorter()));
        if let Some((_, map)) = self.held.clone() {
            self.learn(&map);
        }
    }

    /// A member's answer to what this one said as a leader.
    fn answer(&mut self, now: Nanos, from: &str, word: Word) -> Vec<(String, Word)> {
        let Some(lead) = self.lead.as_mut().filter(|l| now < l.lease.until) else { return Vec::new() };
        match word {
            Word::Holds { term, held } if term == lead.term => {
                lead.new.remove(from);
                lead.read.insert(from.to_owned(), held);
                self.read_enough(now)
            }
            Word::New { term, start } if term == lead.term => {
                lead.new.insert(from.to_owned(), start);
                lead.has.remove(from);
                if self.without == Some(Feature::Memory) {
                    lead.read.insert(from.to_owned(), None);
                }
                match lead.committed {
                    true => self.welcome(from, start).into_iter().collect(),
                    false => self.read_enough(now),
                }
            }
            Word::Held { term, round } if term == lead.term && round == lead.round => {
                lead.held.insert(from.to_owned());
                lead.new.remove(from);
                if let Some(m) = &lead.map {
                    lead.has.insert(from.to_owned(), m.number);
                }
                self.confirm(from)
            }
            Word::No { term, heard } if term == lead.term => {
                match heard > term {
                    // Another term is begun with the next call.
                    true => (self.lead, self.heard) = (None, self.heard.clone().max(Some(heard))),
                    false => drop(lead.has.remove(from)),
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn welcome(&self, to: &str, start: u64) -> Option<(String, Word)> {
        let lead = self.lead.as_ref()?;
        let map = lead.map.clone()?;
        let (term, round, number) = (lead.term.clone(), lead.round, map.number);
        Some((to.to_owned(), Word::Write { term, round, number, map: Some(map), welcome: Some(start) }))
    }

    fn majority(&self, count: usize) -> bool {
        match self.without {
            Some(Feature::Majority) => count > 0,
            _ => 2 * count > self.terms.fronts as usize,
        }
    }

    /// With the word of more than half, or of all that can be: takes the newest over. Where nobody holds any,
    /// founds one.
    fn read_enough(&mut self, now: Nanos) -> Vec<(String, Word)> {
        let (absent, fronts) = (self.absent.clone(), self.terms.fronts as usize);
        let Some(lead) = self.lead.as_ref().filter(|l| l.map.is_none()) else { return Vec::new() };
        let voices = self.majority(lead.read.len());
        let gone =
            absent.iter().filter(|n| !lead.read.contains_key(*n) && !lead.new.contains_key(*n)).count();
        let all = lead.read.len() + lead.new.len() + gone >= fronts;
        if !voices && !all {
            return Vec::new();
        }
        let newest = lead.read.values().flatten().max_by(|a, b| (&a.0, a.1.number).cmp(&(&b.0, b.1.number)));
        let map = match (newest, voices) {
            (Some((_, map)), true) => map.clone(),
            // A majority has forgotten: the number goes beyond what may have been.
            (Some((_, map)), false) => Map { number: map.number.max(self.start) + 1, ..map.clone() },
            (None, _) => {
                let owners = lead.to.iter().map(|(name, start)| Owner::new(name, *start)).take(2);
                Map::founded(self.start + 1, owners)
            }
        };
        let new: Vec<_> = if voices { Vec::new() } else { lead.new.clone().into_iter().collect() };
        let Some(lead) = self.lead.as_mut() else { return Vec::new() };
        (lead.map, lead.since) = (Some(map), now);
        let mut words = Self::round(lead);
        words.retain(|(to, _)| new.iter().all(|(n, _)| n != to));
        words.extend(new.iter().filter_map(|(n, start)| self.welcome(n, *start)));
        words
    }

    fn confirm(&mut self, last: &str) -> Vec<(String, Word)> {
        let Some(lead) = &self.lead else { return Vec::new() };
        if !self.majority(lead.held.len()) {
            return Vec::new();
        }
        let word = Word::Commit { term: lead.term.clone(), round: lead.round };
        let Some(lead) = &mut self.lead else { return Vec::new() };
        // Those that held it before the majority was there are told now, the others as they come.
        let first = !std::mem::replace(&mut lead.told, true);
        lead.committed = true;
        let to = lead.held.iter().filter(|n| first || *n == last);
        let mut words: Vec<_> = to.map(|to| (to.clone(), word.clone())).collect();
        let new: Vec<_> = lead.new.iter().filter(|_| first).map(|(n, s)| (n.clone(), *s)).collect();
        words.extend(new.iter().filter_map(|(n, start)| self.welcome(n, *start)));
        words
    }
}

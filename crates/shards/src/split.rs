//! When a range splits, merges or moves to other owners, and when those serve alone. What a leader decides;
//! see [`crate::keep`] for how the move is made.
//!
//! A change goes from whole to copying once it is begun, to being read twice once each new owner says it is
//! filled, and from there to new when old and new owners have shown equal digests of the whole range and
//! enough comparable reads in each slice of it were equal; or back: when a difference stays, when digests
//! differ, when a new owner is gone, or when it takes too long. What went back is tried again after a wait
//! that doubles.

use crate::compare::Difference;
use crate::index::Stand;
use crate::map::{Group, Map, Owner, Part, State};
use crate::{Feature, Range};
use micadyke_directory::{Nanos, Point};
use std::collections::{BTreeMap, BTreeSet};

/// When ranges change, by the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Rules {
    /// A range splits beyond so many entries.
    pub entries: u64,
    /// Or beyond so many questions and writes a second.
    pub rate: u64,
    /// Or while the map has fewer ranges than this for a thousand members.
    pub per_1000: u64,
    /// Two neighbours merge while they come to less than this of `entries` and of `rate` together, per mille;
    /// and the map has more than twice the ranges of `per_1000`.
    pub merge: u64,
    /// So many ranges change at once at most.
    pub at_once: usize,
    /// Slices of each new range, and equal reads needed in each.
    pub slices: usize,
    /// See `slices`.
    pub reads: u32,
    /// A change that is not copied by then goes back.
    pub copy_for: Nanos,
    /// A change that is not through by then goes back.
    pub twice_for: Nanos,
    /// What went back is tried again after this, doubled with each try.
    pub again_after: Nanos,
    /// But not after more than this.
    pub again_most: Nanos,
    /// An owner that is missing for so long is replaced.
    pub gone_for: Nanos,
}

/// What an owner tells the leader of one of its ranges, each second or so.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Report {
    /// The owner: a report of another start than the map names counts for nothing.
    pub owner: Owner,
    /// Number of the map that it goes by: it takes no write of a lower one.
    pub number: u64,
    /// The range.
    pub range: Range,
    /// Entries.
    pub entries: u64,
    /// Questions and writes a second.
    pub rate: u64,
    /// Everything was copied that the old owners had.
    pub filled: bool,
    /// How far it is.
    pub stand: Stand,
}

/// Why a change went back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cause {
    /// A difference stayed.
    Flagged(Vec<Difference>),
    /// Digests at one mark differ, of this node's entries.
    Digests(String),
    /// A new owner, or the last old one, is gone or has started anew.
    OwnerGone(Owner),
    /// Not copied in time.
    CopySlow,
    /// Copied, and not through in time: slices that lack reads, and nodes whose digests could not be
    /// compared.
    TwiceSlow {
        /// Slices.
        slices: usize,
        /// Nodes.
        nodes: usize,
    },
}

impl Cause {
    /// What an operator can do.
    ///
    /// ```
    /// assert!(micadyke_shards::split::Cause::CopySlow.advice().contains("links"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            Cause::Flagged(_) => {
                "Compare the flagged keys with the book of the node that wrote them; if one new owner comes up again, restart it."
            }
            Cause::Digests(_) => {
                "An owner holds other entries than the rest; if it is the same one again, restart it: it is filled anew."
            }
            Cause::OwnerGone(_) => "See why that member went; the range is given to others at the next try.",
            Cause::CopySlow => {
                "See the links and load of the new owners, or let ranges split at fewer entries, so that less is copied."
            }
            Cause::TwiceSlow { .. } => {
                "See whether old and new owners lag or drop words; with few questions, lower the number of reads needed."
            }
        }
    }
}

/// A move that the leader is to make.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// The map to propose.
    pub map: Map,
    /// The range that it is about.
    pub range: Range,
    /// What is done.
    pub what: What,
}

/// What a move does.
#[derive(Debug, Clone, PartialEq)]
pub enum What {
    /// A change begins.
    Begin,
    /// It is read twice from now.
    Twice,
    /// The new owners serve alone from now.
    New,
    /// It goes back.
    Back(Cause),
    /// This owner is gone; the others of its range serve without it, until another is filled.
    Drop(Owner),
    /// All owners of a whole range are gone: others begin, and are filled from the writers' books.
    Anew,
}

/// How far digests of a change agree.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Digests {
    Equal,
    /// Of this node they differ.
    Differ(String),
    /// Of so many nodes there is no common mark yet.
    Open(usize),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Watch {
    /// Number of the map that began the state.
    since: u64,
    began: Nanos,
    /// By slice over all new parts.
    reads: Vec<u32>,
    /// The last report under this state from each owner.
    reports: BTreeMap<(Owner, Range), Report>,
    flagged: Vec<Difference>,
}

/// Decides the map's moves. It has forgotten everything when another member leads: reads and digests begin
/// anew.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Mover {
    rules: Rules,
    watches: BTreeMap<Range, Watch>,
    /// Not tried before, by the first point.
    waits: BTreeMap<Point, Nanos>,
    /// Owners that are missing, and since when.
    missing: BTreeMap<Owner, Nanos>,
    sizes: BTreeMap<(Owner, Range), (u64, u64)>,
    without: Option<Feature>,
}

impl Mover {
    /// With these rules.
    ///
    /// ```
    /// use micadyke_shards::map::Map;
    /// use micadyke_shards::split::{Mover, Rules, What};
    /// let rules = Rules {
    ///     entries: 10_000, rate: 1_000, per_1000: 500, merge: 250, at_once: 2, slices: 4, reads: 20,
    ///     copy_for: 60_000_000_000, twice_for: 60_000_000_000, again_after: 30_000_000_000,
    ///     again_most: 3_600_000_000_000, gone_for: 10_000_000_000,
    /// };
    /// // Four members and one range: the fleet has grown beyond it.
    /// let living = ["f1", "f2", "f3", "f4"].map(|n| (n.to_owned(), 7)).into();
    /// let map = Map::founded(1, [("f1", 7), ("f2", 7)]);
    /// let step = Mover::new(rules).next(0, &map, &living, false).unwrap();
    /// assert_eq!((step.what, step.map.changing()), (What::Begin, 1));
    /// ```
    pub fn new(rules: Rules) -> Self {
        let (watches, waits, missing, sizes) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Mover { rules, watches, waits, missing, sizes, without: None }
    }

    /// Takes a feature out, for tests and measurements that show what it is good for.
    #[doc(hidden)]
    pub fn without(mut self, feature: Option<Feature>) -> Self {
        self.without = feature;
        self
    }

    /// The map that stands was confirmed: what is no longer in it is forgotten, what is new in it is watched.
    fn follow(&mut self, now: Nanos, map: &Map) {
        // By number, not by state: what another leader began anew meanwhile is not what was watched.
        let since = |g: &Group| g.change.as_ref().map_or(0, |c| c.since);
        let stands = |r: &Range| map.group(r.first).filter(|g| g.range() == *r).map_or(0, since);
        self.watches.retain(|r, w| stands(r) == w.since);
        self.sizes.retain(|(o, r), _| map.owns(*r, o));
        for g in map.groups.iter().filter(|g| g.change.is_some()) {
            let slices = g.change.as_ref().map_or(0, |c| c.parts.len()) * self.rules.slices;
            let fresh = Watch { since: since(g), began: now, reads: vec![0; slices], ..Watch::default() };
            self.watches.entry(g.range()).or_insert(fresh);
        }
    }

    /// An owner's report. It counts for the start that the map names, and for a change only if the owner went
    /// by the map that began its state, or a later one, when it was made.
    ///
    /// ```
    /// # use micadyke_shards::{Range, map::{Map, Owner, Part}, split::*};
    /// # let rules = Rules {
    /// #     entries: 10, rate: 1_000, per_1000: 0, merge: 0, at_once: 2, slices: 2, reads: 1, copy_for: 60,
    /// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
    /// # };
    /// # let (f1, f2) = (Owner::new("f1", 7), Owner::new("f2", 9));
    /// # let living = [("f1".to_owned(), 7), ("f2".to_owned(), 9)].into();
    /// # let map = Map::founded(1, [f1.clone()]);
    /// # let part = Part::new(Range::RING, vec![f2.clone()]);
    /// # let copying = map.begin(Range::RING, vec![part]).unwrap();
    /// # let twice = copying.read_twice(Range::RING).unwrap();
    /// # let mut mover = Mover::new(rules);
    /// # let report = |owner: &Owner, number| Report {
    /// #     owner: owner.clone(), number, range: Range::RING, entries: 0, rate: 0, filled: true,
    /// #     stand: Default::default(),
    /// # };
    /// // Of a former start: nothing. Of this one: it is read twice.
    /// mover.report(0, &copying, report(&Owner::new("f2", 8), 2));
    /// assert!(mover.next(0, &copying, &living, false).is_none());
    /// mover.report(0, &copying, report(&f2, 2));
    /// assert_eq!(mover.next(0, &copying, &living, false).unwrap().what, What::Twice);
    /// ```
    pub fn report(&mut self, now: Nanos, map: &Map, mut report: Report) {
        self.follow(now, map);
        let Some(group) = map.group(report.range.first) else { return };
        if self.without == Some(Feature::Start) {
            let mut named = group.all().filter(|p| p.range == report.range).flat_map(|p| &p.owners);
            report.owner = named.find(|o| o.name == report.owner.name).unwrap_or(&report.owner).clone();
        }
        if !map.owns(report.range, &report.owner) {
            return;
        }
        let key = (report.owner.clone(), report.range);
        self.sizes.insert(key.clone(), (report.entries, report.rate));
        let since = group.change.as_ref().map(|c| c.since);
        if let Some(w) = self.watches.get_mut(&group.range()).filter(|_| Some(report.number) >= since) {
            w.reports.insert(key, report);
        }
    }

    /// A reader's count of equal reads of a point under a map's number.
    ///
    /// ```
    /// # use micadyke_shards::{Range, map::{Map, Owner, Part}, split::*};
    /// # let rules = Rules {
    /// #     entries: 10, rate: 1_000, per_1000: 0, merge: 0, at_once: 2, slices: 2, reads: 1, copy_for: 60,
    /// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
    /// # };
    /// # let (f1, f2) = (Owner::new("f1", 7), Owner::new("f2", 9));
    /// # let living = [("f1".to_owned(), 7), ("f2".to_owned(), 9)].into();
    /// # let map = Map::founded(1, [f1.clone()]);
    /// # let part = Part::new(Range::RING, vec![f2.clone()]);
    /// # let copying = map.begin(Range::RING, vec![part]).unwrap();
    /// # let twice = copying.read_twice(Range::RING).unwrap();
    /// # let mut mover = Mover::new(rules);
    /// # let report = |owner: &Owner, number| Report {
    /// #     owner: owner.clone(), number, range: Range::RING, entries: 0, rate: 0, filled: true,
    /// #     stand: Default::default(),
    /// # };
    /// [&f1, &f2].map(|o| mover.report(0, &twice, report(o, 3)));
    /// assert!(mover.next(0, &twice, &living, false).is_none());
    /// // One read in each half.
    /// [0, u64::MAX].map(|point| mover.equal(0, &twice, 3, point, 1));
    /// assert_eq!(mover.next(0, &twice, &living, false).unwrap().what, What::New);
    /// ```
    pub fn equal(&mut self, now: Nanos, map: &Map, number: u64, point: Point, reads: u32) {
        self.follow(now, map);
        let group = map.group(point).filter(|g| g.state() == Some(State::Twice) && number == map.number);
        let Some(group) = group else { return };
        let parts = group.change.as_ref().map_or(&[][..], |c| &c.parts);
        let Some(i) = parts.iter().position(|p| p.range.has(point)) else { return };
        let slice = i * self.rules.slices + parts[i].range.slice(point, self.rules.slices);
        if let Some(n) = self.watches.get_mut(&group.range()).and_then(|w| w.reads.get_mut(slice)) {
            *n = n.saturating_add(reads);
        }
    }

    /// A reader's flag: differences that stayed in a question about a point under a map's number.
    ///
    /// ```
    /// # use micadyke_shards::{Range, map::{Map, Owner, Part}, split::*};
    /// # let rules = Rules {
    /// #     entries: 10, rate: 1_000, per_1000: 0, merge: 0, at_once: 2, slices: 2, reads: 1, copy_for: 60,
    /// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
    /// # };
    /// # let (f1, f2) = (Owner::new("f1", 7), Owner::new("f2", 9));
    /// # let living = [("f1".to_owned(), 7), ("f2".to_owned(), 9)].into();
    /// # let map = Map::founded(1, [f1.clone()]);
    /// # let part = Part::new(Range::RING, vec![f2.clone()]);
    /// # let copying = map.begin(Range::RING, vec![part]).unwrap();
    /// # let twice = copying.read_twice(Range::RING).unwrap();
    /// # let mut mover = Mover::new(rules);
    /// # let report = |owner: &Owner, number| Report {
    /// #     owner: owner.clone(), number, range: Range::RING, entries: 0, rate: 0, filled: true,
    /// #     stand: Default::default(),
    /// # };
    /// use micadyke_directory::Key;
    /// use micadyke_shards::{compare::{Difference, Kind}, index::{Id, Writer}};
    /// let id = Id { key: Key::Title("t".into()), writer: Writer { node: "f9".into(), start: 1 }, slot: 0 };
    /// let found = Difference { kind: Kind::MissingInNew, id, old: None, new: None };
    /// mover.flag(0, &twice, 3, 42, vec![found.clone()]);
    /// let step = mover.next(0, &twice, &living, false).unwrap();
    /// assert_eq!(step.what, What::Back(Cause::Flagged(vec![found])));
    /// ```
    pub fn flag(&mut self, now: Nanos, map: &Map, number: u64, point: Point, found: Vec<Difference>) {
        self.follow(now, map);
        let group = map.group(point).filter(|g| g.state() == Some(State::Twice) && number == map.number);
        if let Some(w) = group.and_then(|g| self.watches.get_mut(&g.range())) {
            w.flagged.extend(found);
        }
    }

    /// Slices that lack reads: whoever has nobody who asks about them asks itself.
    ///
    /// ```
    /// # use micadyke_shards::{Range, map::{Map, Owner, Part}, split::*};
    /// # let rules = Rules {
    /// #     entries: 10, rate: 1_000, per_1000: 0, merge: 0, at_once: 2, slices: 2, reads: 1, copy_for: 60,
    /// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
    /// # };
    /// # let (f1, f2) = (Owner::new("f1", 7), Owner::new("f2", 9));
    /// # let map = Map::founded(1, [f1.clone()]);
    /// # let part = Part::new(Range::RING, vec![f2.clone()]);
    /// # let copying = map.begin(Range::RING, vec![part]).unwrap();
    /// # let twice = copying.read_twice(Range::RING).unwrap();
    /// # let mut mover = Mover::new(rules);
    /// # let report = |owner: &Owner, number| Report {
    /// #     owner: owner.clone(), number, range: Range::RING, entries: 0, rate: 0, filled: true,
    /// #     stand: Default::default(),
    /// # };
    /// mover.equal(0, &twice, 3, 0, 1);
    /// assert_eq!(mover.lacking(&twice), [Range::RING.halves().unwrap()[1]]);
    /// ```
    pub fn lacking(&self, map: &Map) -> Vec<Range> {
        let mut lack = Vec::new();
        for g in map.groups.iter().filter(|g| g.state() == Some(State::Twice)) {
            let Some(w) = self.watches.get(&g.range()) else { continue };
            let parts = g.change.iter().flat_map(|c| &c.parts);
            for (part, reads) in parts.zip(w.reads.chunks(self.rules.slices.max(1))) {
                let size = (u128::from(part.range.last - part.range.first) + 1) / reads.len() as u128;
                let short = reads.iter().enumerate().filter(|(_, n)| **n < self.rules.reads);
                lack.extend(short.map(|(i, _)| {
                    let first = part.range.first + (size * i as u128) as u64;
                    let last =
                        (u128::from(first) + size.saturating_sub(1)).min(u128::from(part.range.last)) as u64;
                    Range { first, last }
                }));
            }
        }
        lack
    }

    /// The next move, if one is due. `living`: members of the settled view and their starts, which may be
    /// late: no entry is lost by that; `lag`: whether an owner that has not reported under the map of now may
    /// still serve by the one before, see [`crate::keep::Keeper::may_lag`].
    ///
    /// ```
    /// # use micadyke_shards::{map::{Map, Owner}, split::*};
    /// # let rules = Rules {
    /// #     entries: 100, rate: 90, per_1000: 0, merge: 0, at_once: 2, slices: 4, reads: 20, copy_for: 60,
    /// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
    /// # };
    /// // The second owner has started anew, and holds nothing.
    /// let living = [("f1".to_owned(), 7), ("f2".to_owned(), 10)].into();
    /// let (mut mover, map) = (Mover::new(rules), Map::founded(1, [("f1", 7), ("f2", 9)]));
    /// let step = mover.next(0, &map, &living, false).unwrap();
    /// assert_eq!(step.what, What::Drop(Owner::new("f2", 9)));
    /// // As it lives it may be filled again.
    /// let step = mover.next(1, &step.map, &living, false).unwrap();
    /// assert_eq!(step.what, What::Begin);
    /// ```
    pub fn next(&mut self, now: Nanos, map: &Map, living: &BTreeMap<String, u64>, lag: bool) -> Option<Step> {
        self.follow(now, map);
        let owners: BTreeSet<&Owner> =
            map.groups.iter().flat_map(Group::all).flat_map(|p| &p.owners).collect();
        let missing = owners.into_iter().filter(|o| !self.lives(living, o));
        let since = |o: &Owner| (o.clone(), self.missing.get(o).copied().unwrap_or(now));
        self.missing = missing.map(since).collect();
        let steps = map.groups.iter().filter(|g| g.change.is_some());
        steps
            .filter_map(|g| self.goes_on(now, map, g, living, lag))
            .next()
            .or_else(|| self.drops(now, map, living))
            .or_else(|| self.begins(now, map, living))
    }

    fn lives(&self, living: &BTreeMap<String, u64>, owner: &Owner) -> bool {
        let start = living.get(&owner.name);
        start == Some(&owner.start) || (start.is_some() && self.without == Some(Feature::Start))
    }

    /// Whether an owner is given up: at once where another start of its name lives, else after a while.
    fn gone(&self, now: Nanos, living: &BTreeMap<String, u64>, owner: &Owner) -> bool {
        let long = |since: &Nanos| now >= since.saturating_add(self.rules.gone_for);
        !self.lives(living, owner)
            && (living.contains_key(&owner.name) || self.missing.get(owner).is_some_and(long))
    }

    /// Owners that are gone go, as long as one stays; where none is left of a whole range, others begin with
    /// nothing.
    fn drops(&self, now: Nanos, map: &Map, living: &BTreeMap<String, u64>) -> Option<Step> {
        let gone = |o: &&Owner| self.gone(now, living, o);
        for g in &map.groups {
            let range = g.range();
            for p in &g.parts {
                if let Some(o) = p.owners.iter().find(gone)
                    && let Ok(map) = map.drop_owner(range, o)
                {
                    return Some(Step { map, range, what: What::Drop(o.clone()) });
                }
                if g.change.is_none() && p.owners.iter().all(|o| gone(&o)) {
                    let owners = self.owners(map, living, &[], &[], range);
                    if let Ok(map) = map.anew(range, owners) {
                        return Some(Step { map, range, what: What::Anew });
                    }
                }
            }
        }
        None
    }

    fn goes_on(
        &self, now: Nanos, map: &Map, g: &Group, living: &BTreeMap<String, u64>, lag: bool,
    ) -> Option<Step> {
        let (range, change, w) = (g.range(), g.change.as_ref()?, self.watches.get(&g.range())?);
        let back = |cause| {
            let map = map.back(range).ok()?;
            Some(Step { map, range, what: What::Back(cause) })
        };
        let new = || change.parts.iter().flat_map(|p| p.owners.iter().map(move |o| (o.clone(), p.range)));
        if let Some((gone, _)) = new().find(|(o, _)| !self.lives(living, o)) {
            return back(Cause::OwnerGone(gone));
        }
        let lost = |p: &&Part| p.owners.iter().all(|o| self.gone(now, living, o));
        if let Some(last) = g.parts.iter().find(lost).and_then(|p| p.owners.first()) {
            return back(Cause::OwnerGone(last.clone()));
        }
        let over = now.saturating_sub(w.began);
        match change.state {
            State::Copying if new().all(|k| w.reports.get(&k).is_some_and(|r| r.filled)) => {
                let map = map.read_twice(range).ok()?;
                Some(Step { map, range, what: What::Twice })
            }
            State::Copying if over >= self.rules.copy_for => back(Cause::CopySlow),
            State::Copying => None,
            State::Twice => {
                if !w.flagged.is_empty() {
                    return back(Cause::Flagged(w.flagged.clone()));
                }
                // Filled once, empty now: it has started anew.
                if let Some((gone, _)) = new().find(|k| w.reports.get(k).is_some_and(|r| !r.filled)) {
                    return back(Cause::OwnerGone(gone));
                }
                let short = w.reads.iter().filter(|n| **n < self.rules.reads).count();
                let digests = self.digests(g, w, lag);
                let equal = digests == Digests::Equal || self.without == Some(Feature::Digests);
                match digests {
                    Digests::Differ(node) if self.without != Some(Feature::Digests) => {
                        back(Cause::Digests(node))
                    }
                    _ if equal && (short == 0 || self.without == Some(Feature::Reads)) => {
                        let map = map.cut_over(range).ok()?;
                        Some(Step { map, range, what: What::New })
                    }
                    d if over >= self.rules.twice_for => {
                        let nodes = if let Digests::Open(n) = d { n } else { 0 };
                        back(Cause::TwiceSlow { slices: short, nodes })
                    }
                    _ => None,
                }
            }
        }
    }

    /// Compares the last reports of old and new owners, writer by writer, at the highest mark that all have
    /// passed: every owner of a part says the same, and the parts of both sides come to the same sum. The
    /// mark is not below what an old owner had seen, so that what it had taken before it went by this map is
    /// in, and holding back does not help: the leader is to hear old owners first, then the new.
    fn digests(&self, g: &Group, w: &Watch, lag: bool) -> Digests {
        // An old owner that says nothing, or forgot, has no say: each entry that counts is at the others. But
        // until its time is over it may take writes by the map before, so that it has to be heard.
        let side = |parts: &[Part], all: bool, full: bool| -> Option<Vec<Vec<&Report>>> {
            let of = |p: &Part| {
                let got: Vec<&Report> =
                    p.owners.iter().filter_map(|o| w.reports.get(&(o.clone(), p.range))).collect();
                let missing = got.len() < p.owners.len();
                let says: Vec<&Report> = got.into_iter().filter(|r| r.filled).collect();
                let least = if full { p.owners.len() } else { 1 };
                let enough = says.len() >= least.max(1) && (!all || !missing);
                enough.then_some(says)
            };
            parts.iter().map(of).collect()
        };
        let change = g.change.as_ref().map_or(&[][..], |c| &c.parts);
        let (Some(old), Some(new)) = (side(&g.parts, lag, false), side(change, true, true)) else {
            return Digests::Open(0);
        };
        let all = || old.iter().chain(&new).flatten();
        let writers: BTreeSet<_> = all().flat_map(|r| r.stand.keys()).collect();
        let mut open = 0;
        for writer in writers {
            let at = |r: &Report, mark: u64| {
                let stand = r.stand.get(writer);
                let none = (mark == 0 && stand.is_none()).then_some(0);
                stand.and_then(|s| s.iter().find(|m| m.0 == mark)).map(|m| m.1).or(none)
            };
            let marks = all().next().and_then(|r| r.stand.get(writer)).into_iter().flatten().map(|m| m.0);
            let common = marks.rev().find(|m| all().all(|r| at(r, *m).is_some()));
            let newest = |r: &&Report| r.stand.get(writer).and_then(|m| m.last()).map_or(0, |m| m.0);
            let floor = old.iter().flatten().map(newest).max().unwrap_or(0);
            let Some(mark) = common.filter(|m| *m >= floor) else {
                open += 1;
                continue;
            };
            let sum = |side: &[Vec<&Report>]| {
                let part = |p: &Vec<&Report>| {
                    let mut of = p.iter().filter_map(|r| at(r, mark));
                    let first = of.next()?;
                    of.all(|d| d == first).then_some(first)
                };
                side.iter().try_fold(0u64, |sum, p| part(p).map(|d| sum.wrapping_add(d)))
            };
            match (sum(&old), sum(&new)) {
                (Some(o), Some(n)) if o == n => {}
                _ => return Digests::Differ(writer.node.clone()),
            }
        }
        if open > 0 { Digests::Open(open) } else { Digests::Equal }
    }

    /// The wait after a try that went back.
    fn wait(&self, tries: u32) -> Nanos {
        let doubled = self
            .rules
            .again_after
            .saturating_mul(1u64.checked_shl(tries.saturating_sub(1)).unwrap_or(u64::MAX));
        doubled.min(self.rules.again_most)
    }

    /// What is to begin: first what lacks an owner, then what is too large, then what is too small.
    fn begins(&mut self, now: Nanos, map: &Map, living: &BTreeMap<String, u64>) -> Option<Step> {
        self.waits.retain(|p, _| map.groups.iter().any(|g| g.tries > 0 && g.range().first == *p));
        for g in map.groups.iter().filter(|g| g.tries > 0 && g.change.is_none()) {
            let until = now.saturating_add(self.wait(g.tries));
            self.waits.entry(g.range().first).or_insert(until);
        }
        // While it changes its wait is over; the next one is longer.
        for g in map.groups.iter().filter(|g| g.change.is_some()) {
            self.waits.remove(&g.range().first);
        }
        if map.changing() >= self.rules.at_once || living.is_empty() {
            return None;
        }
        let may = |g: &&Group| {
            let wait = self.waits.get(&g.range().first).is_some_and(|until| now < *until);
            g.change.is_none() && !wait
        };
        let step = |range: Range, parts| {
            let map = map.begin_without(range, parts, self.without).ok()?;
            Some(Step { map, range, what: What::Begin })
        };
        let whole: Vec<&Group> = map.groups.iter().filter(may).collect();
        for g in &whole {
            let Some(p) = g.parts.first().filter(|p| p.owners.len() < 2) else { continue };
            let owners = self.owners(map, living, &p.owners, &[], p.range);
            if owners.len() > p.owners.len() {
                return step(p.range, vec![Part::new(p.range, owners)]);
            }
        }
        let size = |g: &Group| {
            let of = g.parts.iter().flat_map(|p| p.owners.iter().map(move |o| (o.clone(), p.range)));
            let sizes = of.filter_map(|k| self.sizes.get(&k));
            sizes.fold((0, 0), |max: (u64, u64), s| (max.0.max(s.0), max.1.max(s.1)))
        };
        let ranges = |per_1000: u64| per_1000.saturating_mul(living.len() as u64) / 1000;
        let grown = (map.groups.len() as u64) < ranges(self.rules.per_1000);
        // Per mille of what a range may hold or bear.
        let large = |g: &Group| {
            let (entries, rate) = size(g);
            let part = |of: u64, most: u64| of.saturating_mul(1000) / most.max(1);
            part(entries, self.rules.entries).max(part(rate, self.rules.rate))
        };
        let widest = |a: &&&Group, b: &&&Group| {
            let span = |g: &Group| g.range().last - g.range().first;
            large(a).cmp(&large(b)).then(span(a).cmp(&span(b)))
        };
        if let Some(g) = whole.iter().max_by(widest).filter(|g| large(g) > 1000 || grown) {
            let old = g.parts.first()?;
            let mut parts: Vec<Part> = Vec::new();
            for range in g.range().halves()? {
                let taken: Vec<Owner> =
                    old.owners.iter().chain(parts.iter().flat_map(|p| &p.owners)).cloned().collect();
                let owners = self.owners(map, living, &[], &taken, range);
                parts.push(Part::new(range, owners));
            }
            return step(g.range(), parts);
        }
        let few = ranges(self.rules.per_1000.saturating_mul(2)).max(1);
        let pair = whole.windows(2).find(|p| {
            let next = p[0].range().last.checked_add(1) == Some(p[1].range().first);
            next && large(p[0]) + large(p[1]) < self.rules.merge && map.groups.len() as u64 > few
        })?;
        let range = Range { first: pair[0].range().first, last: pair[1].range().last };
        let taken: Vec<Owner> = pair.iter().flat_map(|g| g.all()).flat_map(|p| p.owners.clone()).collect();
        let owners = self.owners(map, living, &[], &taken, range);
        step(range, vec![Part::new(range, owners)])
    }

    /// Two owners: who stays, then who owns least, not of `taken` if there are others; ties are drawn by the
    /// range.
    fn owners(
        &self, map: &Map, living: &BTreeMap<String, u64>, stay: &[Owner], taken: &[Owner], range: Range,
    ) -> Vec<Owner> {
        let owns =
            |m: &Owner| map.groups.iter().flat_map(Group::all).filter(|p| p.owners.contains(m)).count();
        // Others at each try.
        let tries = map.group(range.first).map_or(0, |g| g.tries);
        let draw = |m: &Owner| {
            let bytes = m.name.bytes().chain(range.first.to_le_bytes()).chain(tries.to_le_bytes());
            bytes.fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
        };
        let all = living.iter().map(|(name, start)| Owner::new(name, *start));
        let mut all: Vec<Owner> = all.filter(|m| stay.iter().all(|s| s.name != m.name)).collect();
        all.sort_by_cached_key(|m| (taken.contains(m), owns(m), draw(m)));
        stay.iter().cloned().chain(all).take(2).collect()
    }
}

impl From<&Cause> for String {
    fn from(c: &Cause) -> String {
        match c {
            Cause::Flagged(d) => format!("a difference stayed in {} entries", d.len()),
            Cause::Digests(n) => format!("digests of {n}'s entries differ"),
            Cause::OwnerGone(o) => format!("owner {o} is gone"),
            Cause::CopySlow => "not copied in time".into(),
            Cause::TwiceSlow { slices, nodes } => {
                format!("not through in time: {slices} slices lack reads, {nodes} nodes' digests are open")
            }
        }
    }
}

//! The map: ranges of points, who owns each, and what changes hands. A map never changes: a move makes
//! another, whose number is one higher.

use crate::{Feature, Range};
use micadyke_directory::{Owners, Point};
use serde::{Deserialize, Serialize};

/// Groups of a map at most: bounds its bytes. 4,096 shards of 64 KB each hold more sessions than a fleet has.
pub const GROUPS: usize = 4_096;

/// A start of a member. What it held is gone with it: a member that starts anew under the same name is
/// another owner, and becomes one only by a move of the map.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// Name of the member.
    pub name: String,
    /// Its start.
    pub start: u64,
}

impl Owner {
    /// This start of this member.
    ///
    /// ```
    /// use micadyke_shards::map::Owner;
    /// assert_ne!(Owner::new("f1", 7), Owner::new("f1", 8));
    /// assert_eq!(Owner::new("f1", 7).to_string(), "f1 (start 7)");
    /// ```
    pub fn new(name: &str, start: u64) -> Self {
        Owner { name: name.into(), start }
    }
}

impl From<(&str, u64)> for Owner {
    fn from((name, start): (&str, u64)) -> Self {
        Owner::new(name, start)
    }
}

impl std::fmt::Display for Owner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} (start {})", self.name, self.start)
    }
}

/// A range and who owns it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Part {
    /// The range.
    pub range: Range,
    /// Two where there are as many members.
    pub owners: Vec<Owner>,
    /// Number of the map by which they began with nothing, to be filled from the writers' books; 0: they took
    /// over what others had. What an owner held of the range before that number is void.
    pub anew: u64,
}

impl Part {
    /// A range to be taken over by these.
    ///
    /// ```
    /// use micadyke_shards::{Range, map::{Owner, Part}};
    /// assert_eq!(Part::new(Range::RING, vec![Owner::new("f1", 7)]).anew, 0);
    /// ```
    pub fn new(range: Range, owners: Vec<Owner>) -> Self {
        Part { range, owners, anew: 0 }
    }
}

/// How far a change has come. A range without one is whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// New owners are filled; they are told of each write, and nobody waits for them.
    Copying,
    /// Each question goes to old and new owners, the old result is served; a write counts once both have it.
    Twice,
}

/// Owners to come.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Ranges and owners to come, together the same range.
    pub parts: Vec<Part>,
    /// How far it has come.
    pub state: State,
    /// Number of the map that began this state: what was said under a lower one was said of something else.
    pub since: u64,
}

/// Neighbouring ranges that stand or change together: one and no change; one that becomes two (a split), two
/// that become one (a merge), one whose owners change (a move).
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Group {
    /// Ranges that serve.
    pub parts: Vec<Part>,
    /// What is to serve in their place.
    pub change: Option<Change>,
    /// Changes that went back since the last that did not.
    pub tries: u32,
}

impl Group {
    /// All points of the group.
    ///
    /// ```
    /// use micadyke_shards::{Range, map::Map};
    /// assert_eq!(Map::founded(1, [("f1", 7)]).groups[0].range(), Range::RING);
    /// ```
    pub fn range(&self) -> Range {
        let ends = |p: &[Part]| Some(Range { first: p.first()?.range.first, last: p.last()?.range.last });
        ends(&self.parts).unwrap_or(Range { first: 0, last: 0 })
    }

    /// Its state while it changes.
    ///
    /// ```
    /// use micadyke_shards::map::Map;
    /// assert_eq!(Map::founded(1, [("f1", 7)]).groups[0].state(), None);
    /// ```
    pub fn state(&self) -> Option<State> {
        self.change.as_ref().map(|c| c.state)
    }

    /// Parts that serve, then those to come.
    ///
    /// ```
    /// use micadyke_shards::{Range, map::{Map, Owner, Part}};
    /// let part = Part::new(Range::RING, vec![Owner::new("f2", 9)]);
    /// let map = Map::founded(1, [("f1", 7)]).begin(Range::RING, vec![part]).unwrap();
    /// assert_eq!(map.groups[0].all().count(), 2);
    /// ```
    pub fn all(&self) -> impl Iterator<Item = &Part> {
        self.parts.iter().chain(self.change.iter().flat_map(|c| &c.parts))
    }
}

/// Why a map, or a move of it, is none.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Flaw {
    /// Two ranges hold one point, or a point is in none.
    #[error("ranges overlap or leave a gap at point {0}")]
    Border(Point),
    /// A range without an owner.
    #[error("the range from point {0} has no owner")]
    Ownerless(Point),
    /// More groups than a map may have.
    #[error("a map of {0} groups, {max} at most", max = GROUPS)]
    TooMany(usize),
    /// No group begins and ends there, or not in the state that the move starts from.
    #[error("no range from point {0} that such a move starts from")]
    NoSuch(Point),
}

impl Flaw {
    /// What an operator can do.
    ///
    /// ```
    /// assert!(micadyke_shards::map::Flaw::Border(7).advice().contains("version"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            Flaw::Border(_) | Flaw::Ownerless(_) => {
                "The map was refused and the one before holds; see that all members run the same version."
            }
            Flaw::TooMany(_) => "Raise the size at which a range splits, so that fewer ranges are needed.",
            Flaw::NoSuch(_) => {
                "Nothing: the map moved meanwhile, and the move is decided anew on the new one."
            }
        }
    }
}

/// A map of all shards.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Map {
    /// Grows by one with each move.
    pub number: u64,
    /// Groups in the order of their points.
    pub groups: Vec<Group>,
}

impl Map {
    /// A first map: the whole ring, owned by these, who hold nothing yet.
    ///
    /// ```
    /// use micadyke_directory::Owners;
    /// use micadyke_shards::map::Map;
    /// let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// assert_eq!(map.owners(42), ["f1", "f2"]);
    /// ```
    pub fn founded<O: Into<Owner>>(number: u64, owners: impl IntoIterator<Item = O>) -> Map {
        let owners = owners.into_iter().map(Into::into).collect();
        let parts = vec![Part { range: Range::RING, owners, anew: number }];
        Map { number, groups: vec![Group { parts, change: None, tries: 0 }] }
    }

    /// Whether each point is in one range that serves, and in at most one to come.
    ///
    /// ```
    /// use micadyke_shards::map::{Flaw, Map};
    /// let mut map = Map::founded(1, [("f1", 7)]);
    /// assert_eq!(map.check(), Ok(()));
    /// map.groups[0].parts[0].range.first = 5;
    /// assert_eq!(map.check(), Err(Flaw::Border(5)));
    /// ```
    ///
    /// # Errors
    /// The first flaw.
    pub fn check(&self) -> Result<(), Flaw> {
        if self.groups.len() > GROUPS {
            return Err(Flaw::TooMany(self.groups.len()));
        }
        let covers = |parts: &[Part], all: Range| {
            let mut next = Some(all.first);
            for p in parts {
                if next != Some(p.range.first) || p.range.last < p.range.first {
                    return Err(Flaw::Border(p.range.first));
                }
                if p.owners.is_empty() {
                    return Err(Flaw::Ownerless(p.range.first));
                }
                next = p.range.last.checked_add(1);
            }
            if next == all.last.checked_add(1) { Ok(()) } else { Err(Flaw::Border(all.last)) }
        };
        covers(&self.groups.iter().flat_map(|g| g.parts.iter().cloned()).collect::<Vec<_>>(), Range::RING)?;
        self.groups.iter().try_for_each(|g| match &g.change {
            Some(c) => covers(&c.parts, g.range()),
            None if g.parts.len() == 1 => Ok(()),
            None => Err(Flaw::NoSuch(g.range().first)),
        })
    }

    /// The group of a point.
    ///
    /// ```
    /// use micadyke_shards::map::Map;
    /// assert!(Map::founded(1, [("f1", 7)]).group(42).is_some());
    /// ```
    pub fn group(&self, point: Point) -> Option<&Group> {
        let i = self.groups.partition_point(|g| g.range().last < point);
        self.groups.get(i)
    }

    /// Changes under way.
    ///
    /// ```
    /// use micadyke_shards::map::Map;
    /// assert_eq!(Map::founded(1, [("f1", 7)]).changing(), 0);
    /// ```
    pub fn changing(&self) -> usize {
        self.groups.iter().filter(|g| g.change.is_some()).count()
    }

    /// Begins a change: neighbouring whole groups that cover `range` are to become `parts`.
    ///
    /// ```
    /// use micadyke_shards::{Range, map::{Map, Owner, Part, State}};
    /// let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// let owners = || vec![Owner::new("f3", 1), Owner::new("f4", 1)];
    /// let parts = Range::RING.halves().unwrap().map(|range| Part::new(range, owners()));
    /// let copying = map.begin(Range::RING, parts.to_vec()).unwrap();
    /// let twice = copying.read_twice(Range::RING).unwrap();
    /// let new = twice.cut_over(Range::RING).unwrap();
    /// assert_eq!((new.number, new.groups.len()), (4, 2));
    /// assert_eq!(twice.back(Range::RING).unwrap().groups[0].tries, 1);
    /// ```
    ///
    /// # Errors
    /// [`Flaw::NoSuch`] where such groups do not stand or change already; a flaw of the map that would come
    /// of it.
    pub fn begin(&self, range: Range, parts: Vec<Part>) -> Result<Map, Flaw> {
        let is = |g: &Group| range.has(g.range().first) && range.has(g.range().last);
        let Some(at) = self.groups.iter().position(is) else { return Err(Flaw::NoSuch(range.first)) };
        let old: Vec<&Group> = self.groups.iter().filter(|g| is(g)).collect();
        if old.iter().any(|g| g.change.is_some()) {
            return Err(Flaw::NoSuch(range.first));
        }
        let tries = old.iter().map(|g| g.tries).max().unwrap_or(0);
        let change = Some(Change { parts, state: State::Copying, since: self.number + 1 });
        let group = Group { parts: old.iter().flat_map(|g| g.parts.clone()).collect(), change, tries };
        let count = old.len();
        self.with(at, count, vec![group])
    }

    /// The change over `range` has been copied: it is read twice from now.
    ///
    /// ```
    /// use micadyke_shards::{Range, map::{Flaw, Map}};
    /// assert_eq!(Map::founded(1, [("f1", 7)]).read_twice(Range::RING), Err(Flaw::NoSuch(0)));
    /// ```
    ///
    /// # Errors
    /// [`Flaw::NoSuch`] where none is being copied there.
    pub fn read_twice(&self, range: Range) -> Result<Map, Flaw> {
        let (at, mut group, mut change) = self.changes(range, Some(State::Copying))?;
        (change.state, change.since) = (State::Twice, self.number + 1);
        group.change = Some(change);
        self.with(at, 1, vec![group])
    }

    /// The new owners of `range` serve alone from now.
    ///
    /// ```
    /// use micadyke_shards::{Range, map::{Flaw, Map, Owner, Part}};
    /// let part = Part::new(Range::RING, vec![Owner::new("f2", 9)]);
    /// let copying = Map::founded(1, [("f1", 7)]).begin(Range::RING, vec![part]).unwrap();
    /// // Not before it was read twice.
    /// assert_eq!(copying.cut_over(Range::RING), Err(Flaw::NoSuch(0)));
    /// ```
    ///
    /// # Errors
    /// [`Flaw::NoSuch`] where none is read twice there.
    pub fn cut_over(&self, range: Range) -> Result<Map, Flaw> {
        let (at, _, change) = self.changes(range, Some(State::Twice))?;
        let group = |p| Group { parts: vec![p], change: None, tries: 0 };
        self.with(at, 1, change.parts.into_iter().map(group).collect())
    }

    /// The change over `range` goes back; the old owners, who served all the while, do on.
    ///
    /// ```
    /// use micadyke_shards::{Range, map::{Map, Owner, Part}};
    /// let map = Map::founded(1, [("f1", 7)]);
    /// let part = Part::new(Range::RING, vec![Owner::new("f2", 9)]);
    /// let back = map.begin(Range::RING, vec![part]).unwrap().back(Range::RING).unwrap();
    /// assert_eq!((back.number, back.groups[0].tries), (3, 1));
    /// ```
    ///
    /// # Errors
    /// [`Flaw::NoSuch`] where none is under way.
    pub fn back(&self, range: Range) -> Result<Map, Flaw> {
        let (at, group, _) = self.changes(range, None)?;
        let tries = group.tries.saturating_add(1);
        self.with(
            at,
            1,
            group.parts.into_iter().map(|p| Group { parts: vec![p], change: None, tries }).collect(),
        )
    }

    /// An owner is gone: the others of the parts that serve in the group over `range` serve without it.
    /// Whatever counted is at each of them; what did not count yet is told by the new map.
    ///
    /// ```
    /// use micadyke_directory::Owners;
    /// use micadyke_shards::{Range, map::{Flaw, Map, Owner}};
    /// let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// let less = map.drop_owner(Range::RING, &Owner::new("f1", 7)).unwrap();
    /// assert_eq!((less.number, less.owners(42)), (2, vec!["f2".to_owned()]));
    /// // Not the last one, and not one that it does not name.
    /// assert_eq!(less.drop_owner(Range::RING, &Owner::new("f2", 9)), Err(Flaw::Ownerless(0)));
    /// assert_eq!(map.drop_owner(Range::RING, &Owner::new("f1", 8)), Err(Flaw::NoSuch(0)));
    /// ```
    ///
    /// # Errors
    /// [`Flaw::Ownerless`] where it is the last, [`Flaw::NoSuch`] where it owns nothing there.
    pub fn drop_owner(&self, range: Range, owner: &Owner) -> Result<Map, Flaw> {
        let at = self.groups.iter().position(|g| g.range() == range).ok_or(Flaw::NoSuch(range.first))?;
        let mut group = self.groups[at].clone();
        let mut found = false;
        for p in &mut group.parts {
            found |= p.owners.contains(owner);
            p.owners.retain(|o| o != owner);
        }
        if !found {
            return Err(Flaw::NoSuch(range.first));
        }
        self.with(at, 1, vec![group])
    }

    /// All owners of a whole range are gone: these begin with nothing, and are to be filled from the writers'
    /// books before they answer anything. See [`crate::index::Book::told`].
    ///
    /// ```
    /// use micadyke_directory::Owners;
    /// use micadyke_shards::{Range, map::{Map, Owner}};
    /// let map = Map::founded(1, [("f1", 7)]).anew(Range::RING, vec![Owner::new("f1", 8)]).unwrap();
    /// assert!(map.owns(Range::RING, &Owner::new("f1", 8)) && !map.owns(Range::RING, &Owner::new("f1", 7)));
    /// ```
    ///
    /// # Errors
    /// [`Flaw::NoSuch`] where no whole group has this range; [`Flaw::Ownerless`].
    pub fn anew(&self, range: Range, owners: Vec<Owner>) -> Result<Map, Flaw> {
        let at = self.groups.iter().position(|g| g.range() == range && g.change.is_none());
        let at = at.ok_or(Flaw::NoSuch(range.first))?;
        let mut group = self.groups[at].clone();
        for p in &mut group.parts {
            (p.owners, p.anew) = (owners.clone(), self.number + 1);
        }
        self.with(at, 1, vec![group])
    }

    /// Whether the map names this start as an owner of this very range, that serves or is to.
    ///
    /// ```
    /// use micadyke_shards::{Range, map::{Map, Owner}};
    /// let map = Map::founded(1, [("f1", 7)]);
    /// assert!(map.owns(Range::RING, &Owner::new("f1", 7)) && !map.owns(Range::RING, &Owner::new("f1", 8)));
    /// ```
    pub fn owns(&self, range: Range, owner: &Owner) -> bool {
        let group = self.group(range.first);
        group.is_some_and(|g| g.all().any(|p| p.range == range && p.owners.contains(owner)))
    }

    /// Number of the map by which the owners of this very range began with nothing; 0 where they took it
    /// over.
    ///
    /// ```
    /// use micadyke_shards::{Range, map::Map};
    /// assert_eq!(Map::founded(5, [("f1", 7)]).anew_at(Range::RING), 5);
    /// ```
    pub fn anew_at(&self, range: Range) -> u64 {
        let part = self.group(range.first).and_then(|g| g.parts.iter().find(|p| p.range == range));
        part.map_or(0, |p| p.anew)
    }

    fn changes(&self, range: Range, state: Option<State>) -> Result<(usize, Group, Change), Flaw> {
        let found = self.groups.iter().enumerate().find(|(_, g)| g.range() == range);
        let found = found.filter(|(_, g)| state.is_none() || g.state() == state);
        let with = found.and_then(|(i, g)| Some((i, g.clone(), g.change.clone()?)));
        with.ok_or(Flaw::NoSuch(range.first))
    }

    fn with(&self, at: usize, count: usize, groups: Vec<Group>) -> Result<Map, Flaw> {
        let mut map = Map { number: self.number + 1, groups: self.groups.clone() };
        map.groups.splice(at..at + count, groups);
        // What is flawed already is not kept from being brought back.
        if self.check().is_ok() {
            map.check()?;
        }
        Ok(map)
    }

    /// As [`Map::begin`], with a border that both halves hold.
    #[doc(hidden)]
    pub fn begin_without(
        &self, range: Range, mut parts: Vec<Part>, without: Option<Feature>,
    ) -> Result<Map, Flaw> {
        let border = parts.get(1).map(|p| p.range.first);
        let mut map = self.begin(range, std::mem::take(&mut parts))?;
        if let (Some(Feature::Border), Some(border)) = (without, border) {
            let changes = map.groups.iter_mut().filter_map(|g| g.change.as_mut());
            changes.filter(|c| c.parts.get(1).is_some_and(|p| p.range.first == border)).for_each(|c| {
                c.parts[0].range.last = border;
            });
        }
        Ok(map)
    }
}

impl Owners for Map {
    fn number(&self) -> u64 {
        self.number
    }

    fn owners(&self, point: Point) -> Vec<String> {
        let part = self.group(point).and_then(|g| g.parts.iter().find(|p| p.range.has(point)));
        part.map_or_else(Vec::new, |p| p.owners.iter().map(|o| o.name.clone()).collect())
    }
}

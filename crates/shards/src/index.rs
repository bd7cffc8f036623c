//! What one owner holds of one range, and the writer's side of it.
//!
//! A writer numbers its writes. Of each write every part of the group that it falls into is told, the parts
//! that do not hold the key by a bare number; so the mark of an owner says: all that this writer wrote into
//! the range up to there is in, and nothing later. Two owners of one range at one mark hold the same, or one
//! of them is wrong.

use crate::map::{Group, Map, Owner, Part};
use crate::{Feature, Range};
use micadyke_directory::Key;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Marks and their digests that an owner remembers for each writer, so that two that are a few writes apart
/// find one that both have passed.
pub const RECENT: usize = 32;
/// Removed entries that are remembered in a range.
pub const GONE: usize = 1_024;

/// A node's start: its entries die with it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Writer {
    /// Name of the node.
    pub node: String,
    /// Its start.
    pub start: u64,
}

/// What an entry is, whatever it says.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// The key that it stands under.
    pub key: Key,
    /// Whose entry.
    pub writer: Writer,
    /// The writer's own number for it: of a session, say.
    pub slot: u64,
}

/// An entry as it was last written.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Which.
    pub id: Id,
    /// Sequence of the write.
    pub sequence: u64,
    /// What it says; `None`: it was removed.
    pub value: Option<String>,
}

/// A write as an owner hears it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Write {
    /// Who writes.
    pub writer: Writer,
    /// Its number; it grows with each write of the writer.
    pub sequence: u64,
    /// Number of the writer's write into this range before.
    pub before: u64,
    /// What is written; `None`: nothing in this range.
    pub entry: Option<Entry>,
}

/// A write came before one that has to come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("writes after {have} are missing")]
pub struct Gap {
    /// All up to here is in.
    pub have: u64,
}

impl Gap {
    /// What an operator can do.
    ///
    /// ```
    /// assert!(micadyke_shards::index::Gap { have: 3 }.advice().starts_with("Nothing"));
    /// ```
    pub fn advice(&self) -> &'static str {
        "Nothing: the writer sends what is missing, or the range is copied once more; see the links if it stays."
    }
}

/// How far an owner is with a writer.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Mark {
    /// All up to here is in.
    pub seen: u64,
    /// Removals up to here may be forgotten.
    pub forgot: u64,
}

/// All that an owner holds of one writer in a range.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Page {
    /// The writer.
    pub writer: Writer,
    /// The mark.
    pub seen: u64,
    /// Its entries.
    pub entries: Vec<Entry>,
}

/// Marks and digests of each writer that an owner has passed lately, the newest last.
pub type Stand = BTreeMap<Writer, Vec<(u64, u64)>>;

#[derive(Debug, Default, Clone, PartialEq, Eq, Hash)]
struct Row {
    mark: Mark,
    digest: u64,
    recent: VecDeque<(u64, u64)>,
}

impl Row {
    fn at(&mut self, seen: u64) {
        self.mark.seen = seen;
        self.recent.push_back((seen, self.digest));
        if self.recent.len() > RECENT {
            self.recent.pop_front();
        }
    }
}

/// One owner's side of one range. Bounded by who splits it; see [`crate::split::Rules`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Index {
    range: Range,
    entries: BTreeMap<Id, (u64, String)>,
    rows: BTreeMap<Writer, Row>,
    gone: BTreeMap<Id, u64>,
    order: VecDeque<Id>,
    /// Number of the map by which it was filled.
    filled: Option<u64>,
}

/// FNV-1a with the finish of splitmix64: members of all versions have to agree, and sums of it are compared.
fn hash(entry: &Id, sequence: u64, value: &str) -> u64 {
    let mut h = 0xcbf2_9ce4_8422_2325u64;
    let mut eat = |bytes: &[u8]| {
        for b in (bytes.len() as u64).to_le_bytes().iter().chain(bytes) {
            h = (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
        }
    };
    eat(&entry.key.point().to_le_bytes());
    eat(entry.writer.node.as_bytes());
    [entry.writer.start, entry.slot, sequence].iter().for_each(|n| eat(&n.to_le_bytes()));
    eat(value.as_bytes());
    h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    h ^ (h >> 31)
}

impl Index {
    /// Of a range, with nothing in it yet.
    ///
    /// ```
    /// use micadyke_directory::Key;
    /// use micadyke_shards::{Range, index::*, map::Map};
    /// let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// let mut book = Book::new("f9", 1);
    /// let key = Key::Title("t".into());
    /// let told = book.write(&map, key.clone(), 7, Some("s1".into()));
    /// let mut index = Index::new(Range::RING);
    /// index.apply(&told[0].1).unwrap();
    /// assert_eq!(index.find(&key).len(), 1);
    /// ```
    pub fn new(range: Range) -> Self {
        let (entries, rows, gone, order) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new(), VecDeque::new());
        Index { range, entries, rows, gone, order, filled: None }
    }

    /// The range.
    ///
    /// ```
    /// use micadyke_shards::{Range, index::Index};
    /// assert_eq!(Index::new(Range::RING).range(), Range::RING);
    /// ```
    pub fn range(&self) -> Range {
        self.range
    }

    /// Entries that stand.
    ///
    /// ```
    /// # use micadyke_directory::Key;
    /// # use micadyke_shards::{Range, index::*, map::Map};
    /// # let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// # let (mut book, key) = (Book::new("f9", 1), Key::Title("t".into()));
    /// # let mut index = Index::new(Range::RING);
    /// let told = book.write(&map, key.clone(), 7, Some("s1".into()));
    /// index.apply(&told[0].1).unwrap();
    /// assert_eq!(index.len(), 1);
    /// ```
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none stands.
    ///
    /// ```
    /// use micadyke_shards::{Range, index::Index};
    /// assert!(Index::new(Range::RING).is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Everything was copied into it that is to be: from the old owners, or by the writers of this map.
    ///
    /// ```
    /// use micadyke_shards::{Range, index::Index, map::Map};
    /// let (map, mut index) = (Map::founded(3, [("f1", 7)]), Index::new(Range::RING));
    /// assert!(!index.filled(&map));
    /// index.fill(&map);
    /// assert!(index.filled(&map));
    /// ```
    pub fn fill(&mut self, map: &Map) {
        self.filled = Some(map.number);
    }

    /// Whether it is filled as this map wants it: an owner answers and reports by nothing else. Where the
    /// range has begun anew since, what is here is void.
    ///
    /// ```
    /// use micadyke_shards::{Range, index::Index, map::{Map, Owner}};
    /// let (f1, f2) = (Owner::new("f1", 7), Owner::new("f2", 9));
    /// let map = Map::founded(1, [f1.clone(), f2.clone()]);
    /// let mut index = Index::new(Range::RING);
    /// index.fill(&map);
    /// assert!(index.filled(&map.drop_owner(Range::RING, &f1).unwrap()));
    /// assert!(!index.filled(&map.anew(Range::RING, vec![f1, f2]).unwrap()));
    /// ```
    pub fn filled(&self, map: &Map) -> bool {
        self.filled.is_some_and(|n| n >= map.anew_at(self.range))
    }

    /// Takes a write; one that is in already is taken again without effect.
    ///
    /// ```
    /// # use micadyke_directory::Key;
    /// # use micadyke_shards::{Range, index::*, map::Map};
    /// # let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// # let (mut book, key) = (Book::new("f9", 1), Key::Title("t".into()));
    /// # let mut index = Index::new(Range::RING);
    /// book.write(&map, key.clone(), 7, Some("s1".into()));
    /// let second = book.write(&map, key, 8, Some("s2".into()));
    /// // The first is missing.
    /// assert_eq!(index.apply(&second[0].1), Err(Gap { have: 0 }));
    /// ```
    ///
    /// # Errors
    /// [`Gap`] where a write before it is missing: nothing is taken.
    pub fn apply(&mut self, write: &Write) -> Result<(), Gap> {
        let row = self.rows.entry(write.writer.clone()).or_default();
        let have = row.mark.seen;
        if write.sequence <= have {
            return Ok(());
        }
        if write.before > have {
            return Err(Gap { have });
        }
        if let Some(e) = write.entry.as_ref().filter(|e| self.range.has(e.id.key.point())) {
            self.put(e);
        }
        if let Some(row) = self.rows.get_mut(&write.writer) {
            row.at(write.sequence);
        }
        Ok(())
    }

    fn put(&mut self, e: &Entry) {
        let Some(row) = self.rows.get_mut(&e.id.writer) else { return };
        if let Some((sequence, value)) = self.entries.remove(&e.id) {
            row.digest = row.digest.wrapping_sub(hash(&e.id, sequence, &value));
        }
        match &e.value {
            Some(v) => {
                row.digest = row.digest.wrapping_add(hash(&e.id, e.sequence, v));
                self.entries.insert(e.id.clone(), (e.sequence, v.clone()));
            }
            None => {
                if self.gone.insert(e.id.clone(), e.sequence).is_none() {
                    self.order.push_back(e.id.clone());
                }
            }
        }
        while self.order.len() > GONE {
            let Some(id) = self.order.pop_front() else { return };
            let sequence = self.gone.remove(&id).unwrap_or(0);
            if let Some(row) = self.rows.get_mut(&id.writer) {
                row.mark.forgot = row.mark.forgot.max(sequence);
            }
        }
    }

    /// A writer's start is over: its entries go, and whatever it may still say counts for nothing.
    ///
    /// ```
    /// # use micadyke_directory::Key;
    /// # use micadyke_shards::{Range, index::*, map::Map};
    /// # let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// # let (mut book, key) = (Book::new("f9", 1), Key::Title("t".into()));
    /// # let mut index = Index::new(Range::RING);
    /// let told = book.write(&map, key.clone(), 7, Some("s1".into()));
    /// index.apply(&told[0].1).unwrap();
    /// index.over(book.writer());
    /// assert!(index.is_empty());
    /// index.apply(&book.write(&map, key, 8, Some("s2".into()))[0].1).unwrap();
    /// assert!(index.is_empty());
    /// ```
    pub fn over(&mut self, writer: &Writer) {
        self.entries.retain(|id, _| id.writer != *writer);
        let row = self.rows.entry(writer.clone()).or_default();
        (row.digest, row.mark.forgot) = (0, u64::MAX);
        row.recent.clear();
        row.at(u64::MAX);
    }

    /// What stands under a key, and what was removed there lately.
    ///
    /// ```
    /// # use micadyke_directory::Key;
    /// # use micadyke_shards::{Range, index::*, map::Map};
    /// # let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// # let (mut book, key) = (Book::new("f9", 1), Key::Title("t".into()));
    /// # let mut index = Index::new(Range::RING);
    /// let told = book.write(&map, key.clone(), 7, Some("s1".into()));
    /// index.apply(&told[0].1).unwrap();
    /// index.apply(&book.write(&map, key.clone(), 7, None)[0].1).unwrap();
    /// // Removed, and remembered.
    /// assert_eq!(index.find(&key)[0].value, None);
    /// ```
    pub fn find(&self, key: &Key) -> Vec<Entry> {
        let least = Writer { node: String::new(), start: 0 };
        let from = Id { key: key.clone(), writer: least, slot: 0 };
        let entry = |id: &Id, sequence, value| Entry { id: id.clone(), sequence, value };
        let live = self.entries.range(from.clone()..).take_while(|(id, _)| id.key == *key);
        let live = live.map(|(id, (s, v))| entry(id, *s, Some(v.clone())));
        let gone = self.gone.range(from..).take_while(|(id, _)| id.key == *key);
        let gone = gone.filter(|(id, _)| !self.entries.contains_key(id)).map(|(id, s)| entry(id, *s, None));
        live.chain(gone).collect()
    }

    /// Entries that stand, in order.
    ///
    /// ```
    /// # use micadyke_directory::Key;
    /// # use micadyke_shards::{Range, index::*, map::Map};
    /// # let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// # let (mut book, key) = (Book::new("f9", 1), Key::Title("t".into()));
    /// # let mut index = Index::new(Range::RING);
    /// let told = book.write(&map, key.clone(), 7, Some("s1".into()));
    /// index.apply(&told[0].1).unwrap();
    /// let all: Vec<_> = index.entries().map(|(_, sequence, value)| (sequence, value)).collect();
    /// assert_eq!(all, [(1, "s1")]);
    /// ```
    pub fn entries(&self) -> impl Iterator<Item = (&Id, u64, &str)> {
        self.entries.iter().map(|(id, (s, v))| (id, *s, v.as_str()))
    }

    /// How far it is with each writer.
    ///
    /// ```
    /// # use micadyke_directory::Key;
    /// # use micadyke_shards::{Range, index::*, map::Map};
    /// # let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// # let (mut book, key) = (Book::new("f9", 1), Key::Title("t".into()));
    /// # let mut index = Index::new(Range::RING);
    /// let told = book.write(&map, key.clone(), 7, Some("s1".into()));
    /// index.apply(&told[0].1).unwrap();
    /// assert_eq!(index.marks()[book.writer()].seen, 1);
    /// ```
    pub fn marks(&self) -> BTreeMap<Writer, Mark> {
        self.rows.iter().map(|(w, r)| (w.clone(), r.mark)).collect()
    }

    /// Marks and digests that it has passed lately.
    ///
    /// ```
    /// # use micadyke_directory::Key;
    /// # use micadyke_shards::{Range, index::*, map::Map};
    /// # let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// # let (mut book, key) = (Book::new("f9", 1), Key::Title("t".into()));
    /// # let mut index = Index::new(Range::RING);
    /// let told = book.write(&map, key.clone(), 7, Some("s1".into()));
    /// index.apply(&told[0].1).unwrap();
    /// index.apply(&book.write(&map, key, 7, None)[0].1).unwrap();
    /// let stand = &index.stand()[book.writer()];
    /// // Nothing stands after the second: its digest is that of nothing.
    /// assert!(stand[0].1 != 0 && stand[1] == (2, 0));
    /// ```
    pub fn stand(&self) -> Stand {
        self.rows.iter().map(|(w, r)| (w.clone(), r.recent.iter().copied().collect())).collect()
    }

    /// All of one writer's entries that lie in `range`, for an owner to come.
    ///
    /// ```
    /// # use micadyke_directory::Key;
    /// # use micadyke_shards::{Range, index::*, map::Map};
    /// # let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// # let (mut book, key) = (Book::new("f9", 1), Key::Title("t".into()));
    /// # let mut index = Index::new(Range::RING);
    /// let told = book.write(&map, key.clone(), 7, Some("s1".into()));
    /// index.apply(&told[0].1).unwrap();
    /// let [left, right] = Range::RING.halves().unwrap().map(|r| index.page(book.writer(), r).entries.len());
    /// assert_eq!(left + right, 1);
    /// ```
    pub fn page(&self, writer: &Writer, range: Range) -> Page {
        let seen = self.rows.get(writer).map_or(0, |r| r.mark.seen);
        let mine = self.entries.iter().filter(|(id, _)| id.writer == *writer && range.has(id.key.point()));
        let entry = |(id, (s, v)): (&Id, &(u64, String))| Entry {
            id: id.clone(),
            sequence: *s,
            value: Some(v.clone()),
        };
        Page { writer: writer.clone(), seen, entries: mine.map(entry).collect() }
    }

    /// Takes a writer's pages, one from each range that serves: at one mark, and beyond what is here. Returns
    /// whether they were.
    ///
    /// ```
    /// # use micadyke_directory::Key;
    /// # use micadyke_shards::{Range, index::*, map::Map};
    /// # let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// # let (mut book, key) = (Book::new("f9", 1), Key::Title("t".into()));
    /// # let mut index = Index::new(Range::RING);
    /// let told = book.write(&map, key.clone(), 7, Some("s1".into()));
    /// index.apply(&told[0].1).unwrap();
    /// let page = index.page(book.writer(), Range::RING);
    /// let mut copy = Index::new(Range::RING);
    /// assert!(copy.take(&[page]));
    /// assert_eq!(copy.stand(), index.stand());
    /// ```
    pub fn take(&mut self, pages: &[Page]) -> bool {
        let Some(first) = pages.first() else { return false };
        let writer = &first.writer;
        let row = self.rows.entry(writer.clone()).or_default();
        if pages.iter().any(|p| p.seen != first.seen || p.writer != *writer) || first.seen <= row.mark.seen {
            return first.seen == 0;
        }
        (row.digest, row.mark.forgot) = (0, first.seen);
        row.recent.clear();
        self.entries.retain(|id, _| id.writer != *writer);
        let entries = pages.iter().flat_map(|p| &p.entries);
        let range = self.range;
        entries.filter(|e| range.has(e.id.key.point())).for_each(|e| self.put(e));
        if let Some(row) = self.rows.get_mut(writer) {
            row.at(first.seen);
        }
        true
    }

    /// Takes an entry out and says nothing of it: a fault, for tests and measurements.
    #[doc(hidden)]
    pub fn lose(&mut self, id: &Id) {
        if let (Some((sequence, value)), Some(row)) = (self.entries.remove(id), self.rows.get_mut(&id.writer))
        {
            row.digest = row.digest.wrapping_sub(hash(id, sequence, &value));
            if let Some(last) = row.recent.back_mut() {
                last.1 = row.digest;
            }
        }
    }
}

/// A writer's side: numbers its writes and says who is to be told what. A write counts once all owners that
/// [`Book::write`] names as needed have taken it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Book {
    writer: Writer,
    sequence: u64,
    /// The last write told to each part.
    last: BTreeMap<Range, u64>,
}

/// Whom a write is told to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct To {
    /// The range.
    pub range: Range,
    /// Its owners.
    pub owners: Vec<Owner>,
    /// The write counts only once they have it.
    pub needed: bool,
}

impl Book {
    /// Of a start of a node.
    ///
    /// ```
    /// use micadyke_shards::index::Book;
    /// assert_eq!(Book::new("f9", 1).writer().start, 1);
    /// ```
    pub fn new(node: &str, start: u64) -> Self {
        Book { writer: Writer { node: node.into(), start }, sequence: 0, last: BTreeMap::new() }
    }

    /// Who writes.
    ///
    /// ```
    /// use micadyke_shards::index::Book;
    /// assert_eq!(Book::new("f9", 1).writer().node, "f9");
    /// ```
    pub fn writer(&self) -> &Writer {
        &self.writer
    }

    /// The last write told to a range, or to what it comes of. An owner that has started anew is filled only
    /// once it has passed what each writer told after that start: its former start may have taken a write
    /// that is nowhere else yet.
    ///
    /// ```
    /// # use micadyke_directory::Key;
    /// # use micadyke_shards::{Range, index::*, map::Map};
    /// # let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// # let (mut book, key) = (Book::new("f9", 1), Key::Title("t".into()));
    /// # let mut index = Index::new(Range::RING);
    /// book.write(&map, key, 7, None);
    /// assert_eq!(book.told(Range::RING), 1);
    /// ```
    pub fn told(&self, range: Range) -> u64 {
        let over = |r: &Range| r.first <= range.last && range.first <= r.last;
        self.last.iter().filter(|(r, _)| over(r)).map(|(_, s)| *s).max().unwrap_or(0)
    }

    /// Writes an entry, or removes it where `value` is `None`; by the map that the node knows.
    ///
    /// ```
    /// # use micadyke_directory::Key;
    /// # use micadyke_shards::{Range, index::*, map::Map};
    /// # let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// # let (mut book, key) = (Book::new("f9", 1), Key::Title("t".into()));
    /// # let mut index = Index::new(Range::RING);
    /// let told = book.write(&map, key, 7, Some("s1".into()));
    /// assert!(told[0].0.needed && told[0].0.owners.len() == 2);
    /// ```
    pub fn write(&mut self, map: &Map, key: Key, slot: u64, value: Option<String>) -> Vec<(To, Write)> {
        self.sequence += 1;
        let id = Id { key, writer: self.writer.clone(), slot };
        let Some(group) = map.group(id.key.point()) else { return Vec::new() };
        let entry = Entry { id, sequence: self.sequence, value };
        self.tell(map, group, Some(entry))
    }

    /// Numbers without a write for all ranges that change, for each what [`Pending`] takes: due when the map
    /// has moved, so that parts that are to become one are at one mark.
    ///
    /// ```
    /// use micadyke_shards::{Range, index::Book, map::{Map, Owner, Part}};
    /// let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// let part = Part::new(Range::RING, vec![Owner::new("f3", 1)]);
    /// let told = Book::new("f9", 1).tick(&map.begin(Range::RING, vec![part]).unwrap());
    /// assert!(told.len() == 1 && told[0].iter().all(|(_, w)| w.entry.is_none()));
    /// ```
    pub fn tick(&mut self, map: &Map) -> Vec<Vec<(To, Write)>> {
        let changing = map.groups.iter().filter(|g| g.change.is_some());
        changing
            .map(|group| {
                self.sequence += 1;
                self.tell(map, group, None)
            })
            .collect()
    }

    /// A write that does not count yet, as it is to be told by the map that stands now: to the parts that it
    /// was told to, and to those that have taken their place or are to.
    ///
    /// ```
    /// use micadyke_shards::{Range, index::Book, map::{Map, Owner, Part}};
    /// use micadyke_directory::Key;
    /// let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// let told = Book::new("f9", 1).write(&map, Key::Title("t".into()), 7, None);
    /// let owners = vec![Owner::new("f3", 1), Owner::new("f4", 1)];
    /// let part = Part::new(Range::RING, owners.clone());
    /// let twice = map.begin(Range::RING, vec![part]).unwrap().read_twice(Range::RING).unwrap();
    /// let again = Book::again(&twice, &told);
    /// assert!(again.iter().any(|(to, _)| to.needed && to.owners == owners));
    /// ```
    pub fn again(map: &Map, told: &[(To, Write)]) -> Vec<(To, Write)> {
        let Some(group) = told.first().and_then(|(to, _)| map.group(to.range.first)) else {
            return Vec::new();
        };
        let entry = told.iter().find_map(|(_, w)| w.entry.clone());
        // The part that an entry falls into says which of the parts come of a split are meant.
        let at = entry.as_ref().map(|e| e.id.key.point());
        let group = at.and_then(|p| map.group(p)).unwrap_or(group);
        let twice = group.state() == Some(crate::map::State::Twice);
        let tell = |(i, p): (usize, &Part)| {
            let over = |r: &Range| r.first <= p.range.last && p.range.first <= r.last;
            let same = told.iter().find(|(to, _)| to.range == p.range);
            let forerunner = told.iter().filter(|(to, _)| over(&to.range)).max_by_key(|(_, w)| w.before);
            let write = &same.or(forerunner)?.1;
            let entry = entry.clone().filter(|e| p.range.has(e.id.key.point()));
            let to = To { range: p.range, owners: p.owners.clone(), needed: i < group.parts.len() || twice };
            Some((to, Write { entry, ..write.clone() }))
        };
        group.all().enumerate().filter_map(tell).collect()
    }

    fn tell(&mut self, map: &Map, group: &Group, entry: Option<Entry>) -> Vec<(To, Write)> {
        let known: BTreeMap<Range, u64> = self.last.clone();
        self.last.retain(|r, _| map.group(r.first).is_some_and(|g| g.all().any(|p| p.range == *r)));
        let twice = group.state() == Some(crate::map::State::Twice);
        let told = |(i, p): (usize, &Part)| {
            // A part that was not told before begins with what its forerunners were told.
            let over = |r: &Range| r.first <= p.range.last && p.range.first <= r.last;
            let forerunners = known.iter().filter(|(r, _)| over(r)).map(|(_, s)| *s).max();
            let before = known.get(&p.range).copied().or(forerunners).unwrap_or(0);
            let entry = entry.clone().filter(|e| p.range.has(e.id.key.point()));
            let needed = i < group.parts.len() || twice;
            let to = To { range: p.range, owners: p.owners.clone(), needed };
            (to, Write { writer: self.writer.clone(), sequence: self.sequence, before, entry })
        };
        let told: Vec<_> = group.all().enumerate().map(told).collect();
        self.last.extend(told.iter().map(|(to, w)| (to.range, w.sequence)));
        told
    }
}

/// An owner's word that a write is in: it counts for the start that gives it and under the number that the
/// write was told by, and for nothing else.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Taken {
    /// Who has it.
    pub owner: Owner,
    /// Number of the map that the write was told by.
    pub number: u64,
    /// The range that it was told for.
    pub range: Range,
    /// Sequence of the write.
    pub sequence: u64,
}

/// A write that does not count yet: what was told, by which map, and who has not taken it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Pending {
    number: u64,
    told: Vec<(To, Write)>,
    waits: BTreeSet<(Owner, Range)>,
    without: Option<Feature>,
}

impl Pending {
    /// A write as [`Book::write`] or [`Book::tick`] has it, told by this map.
    ///
    /// ```
    /// use micadyke_directory::Key;
    /// use micadyke_shards::{Range, index::{Book, Pending, Taken}, map::{Map, Owner}};
    /// let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// let told = Book::new("f9", 1).write(&map, Key::Title("t".into()), 7, Some("s1".into()));
    /// let mut pending = Pending::new(&map, told);
    /// let taken = |name, start| Taken {
    ///     owner: Owner::new(name, start), number: 1, range: Range::RING, sequence: 1,
    /// };
    /// assert!(!pending.taken(&taken("f1", 7)));
    /// // A former start of the second owner said so: that start holds nothing any more.
    /// assert!(!pending.taken(&taken("f2", 8)));
    /// assert!(pending.taken(&taken("f2", 9)));
    /// ```
    pub fn new(map: &Map, told: Vec<(To, Write)>) -> Self {
        let waits = Self::needed(&told);
        Pending { number: map.number, told, waits, without: None }
    }

    /// Takes a feature out, for tests and measurements that show what it is good for.
    #[doc(hidden)]
    pub fn without(mut self, feature: Option<Feature>) -> Self {
        self.without = feature;
        self
    }

    fn needed(told: &[(To, Write)]) -> BTreeSet<(Owner, Range)> {
        let needed = told.iter().filter(|(to, _)| to.needed);
        needed.flat_map(|(to, _)| to.owners.iter().map(|o| (o.clone(), to.range))).collect()
    }

    /// Number of the map that it was told by last.
    ///
    /// ```
    /// # use micadyke_directory::Key;
    /// # use micadyke_shards::{Range, index::*, map::Map};
    /// # let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// # let (mut book, key) = (Book::new("f9", 1), Key::Title("t".into()));
    /// # let mut index = Index::new(Range::RING);
    /// assert_eq!(Pending::new(&map, book.write(&map, key, 7, None)).number(), 1);
    /// ```
    pub fn number(&self) -> u64 {
        self.number
    }

    /// What is told to whom.
    ///
    /// ```
    /// # use micadyke_directory::Key;
    /// # use micadyke_shards::{Range, index::*, map::Map};
    /// # let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// # let (mut book, key) = (Book::new("f9", 1), Key::Title("t".into()));
    /// # let mut index = Index::new(Range::RING);
    /// assert_eq!(Pending::new(&map, book.write(&map, key, 7, None)).told().len(), 1);
    /// ```
    pub fn told(&self) -> &[(To, Write)] {
        &self.told
    }

    /// Who has not taken it, of those that have to.
    ///
    /// ```
    /// # use micadyke_directory::Key;
    /// # use micadyke_shards::{Range, index::*, map::Map};
    /// # let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// # let (mut book, key) = (Book::new("f9", 1), Key::Title("t".into()));
    /// # let mut index = Index::new(Range::RING);
    /// assert_eq!(Pending::new(&map, book.write(&map, key, 7, None)).waits().len(), 2);
    /// ```
    pub fn waits(&self) -> &BTreeSet<(Owner, Range)> {
        &self.waits
    }

    /// Whether it counts.
    ///
    /// ```
    /// # use micadyke_directory::Key;
    /// # use micadyke_shards::{Range, index::*, map::Map};
    /// # let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// # let (mut book, key) = (Book::new("f9", 1), Key::Title("t".into()));
    /// # let mut index = Index::new(Range::RING);
    /// assert!(!Pending::new(&map, book.write(&map, key, 7, None)).counts());
    /// ```
    pub fn counts(&self) -> bool {
        self.waits.is_empty()
    }

    /// An owner's word. Returns whether the write counts now; an example is at [`Pending::new`].
    pub fn taken(&mut self, word: &Taken) -> bool {
        let sequence = self.told.first().map(|(_, w)| w.sequence);
        if self.without == Some(Feature::Start) && sequence == Some(word.sequence) {
            self.waits.retain(|(o, r)| o.name != word.owner.name || *r != word.range);
        } else if (word.number, Some(word.sequence)) == (self.number, sequence) {
            self.waits.remove(&(word.owner.clone(), word.range));
        }
        self.waits.is_empty()
    }

    /// The map has moved: it is to be told again, to all that own it by this one, and waits for them.
    ///
    /// ```
    /// use micadyke_directory::Key;
    /// use micadyke_shards::{Range, index::{Book, Pending, Taken}, map::{Map, Owner}};
    /// let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// let told = Book::new("f9", 1).write(&map, Key::Title("t".into()), 7, Some("s1".into()));
    /// let mut pending = Pending::new(&map, told);
    /// pending.moved(&map.drop_owner(Range::RING, &Owner::new("f1", 7)).unwrap());
    /// assert_eq!(pending.waits().len(), 1);
    /// // Said under the number before: of what it may have thrown away since.
    /// let (owner, range) = (Owner::new("f2", 9), Range::RING);
    /// assert!(!pending.taken(&Taken { owner: owner.clone(), number: 1, range, sequence: 1 }));
    /// assert!(pending.taken(&Taken { owner, number: 2, range, sequence: 1 }));
    /// ```
    pub fn moved(&mut self, map: &Map) {
        if map.number <= self.number {
            return;
        }
        self.told = Book::again(map, &self.told);
        (self.number, self.waits) = (map.number, Self::needed(&self.told));
    }
}

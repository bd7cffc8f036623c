//! A question read twice: what old and new owners answer is merged on each side as it would be alone, and the
//! two results are compared. What cannot be compared is neither equal nor different.

use crate::index::{Entry, Id, Index, Mark, Writer};
use crate::map::Owner;
use crate::{Feature, Range};
use micadyke_directory::Key;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What one owner answers about a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// The owner: an answer of another start than was asked does not make a side whole.
    pub owner: Owner,
    /// The range that it answers for.
    pub range: Range,
    /// Entries under the key, and lately removed ones.
    pub entries: Vec<Entry>,
    /// How far it is with each writer; `None`: not told, to save bytes. Asked again, an owner tells it.
    pub marks: Option<BTreeMap<Writer, Mark>>,
}

impl Answer {
    /// An owner's answer from its index.
    ///
    /// ```
    /// use micadyke_directory::Key;
    /// use micadyke_shards::{Range, compare::Answer, index::Index, map::Owner};
    /// let (index, key) = (Index::new(Range::RING), Key::Title("t".into()));
    /// let answer = Answer::of(&Owner::new("f1", 7), &index, &key, true);
    /// assert!(answer.entries.is_empty() && answer.marks.is_some());
    /// ```
    pub fn of(owner: &Owner, index: &Index, key: &Key, marks: bool) -> Answer {
        Answer {
            owner: owner.clone(),
            range: index.range(),
            entries: index.find(key),
            marks: marks.then(|| index.marks()),
        }
    }
}

/// One side of a question: who was asked, who answered by the deadline.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash)]
pub struct Side {
    /// Owners asked, each for its range.
    pub asked: BTreeSet<(Owner, Range)>,
    /// What came by the deadline.
    pub answers: Vec<Answer>,
}

/// What a side knows of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Seen {
    /// Sequence of the write.
    pub sequence: u64,
    /// What it says.
    pub value: Option<String>,
    /// Owners that said so.
    pub nodes: Vec<String>,
}

impl Side {
    /// Whether all that were asked answered, as the starts that were asked.
    ///
    /// ```
    /// use micadyke_directory::Key;
    /// use micadyke_shards::{Range, compare::{Answer, Side}, index::Index, map::Owner};
    /// let (index, key) = (Index::new(Range::RING), Key::Title("t".into()));
    /// let side = |start| Side {
    ///     asked: [(Owner::new("f1", 7), Range::RING)].into(),
    ///     answers: vec![Answer::of(&Owner::new("f1", start), &index, &key, true)],
    /// };
    /// assert!(side(7).whole() && !side(8).whole() && !Side::default().whole());
    /// ```
    pub fn whole(&self) -> bool {
        let came: BTreeSet<_> = self.answers.iter().map(|a| (a.owner.clone(), a.range)).collect();
        self.asked.is_subset(&came) && !self.asked.is_empty()
    }

    /// Partial results merged. Of each writer the word of the owner that is furthest with it counts; of two
    /// that are as far each counts. Without marks the highest sequence counts.
    ///
    /// ```
    /// use micadyke_directory::Key;
    /// use micadyke_shards::{Range, compare::{Answer, Side}, index::*, map::{Map, Owner}};
    /// let (f1, key) = (Owner::new("f1", 7), Key::Title("t".into()));
    /// let map = Map::founded(1, [f1.clone()]);
    /// let mut index = Index::new(Range::RING);
    /// index.apply(&Book::new("f9", 1).write(&map, key.clone(), 7, Some("s1".into()))[0].1).unwrap();
    /// let asked = [(f1.clone(), Range::RING)].into();
    /// let side = Side { asked, answers: vec![Answer::of(&f1, &index, &key, true)] };
    /// assert!(side.whole());
    /// assert_eq!(side.merged().values().next().unwrap().value.as_deref(), Some("s1"));
    /// ```
    pub fn merged(&self) -> BTreeMap<Id, Seen> {
        let mut merged: BTreeMap<Id, Seen> = BTreeMap::new();
        for a in &self.answers {
            for e in &a.entries {
                let w = &e.id.writer;
                let far = |a: &Answer| a.marks.as_ref().map(|m| m.get(w).map_or(0, |m| m.seen));
                let same = |b: &&Answer| b.range == a.range && b.owner != a.owner;
                let behind =
                    self.answers.iter().filter(same).any(|b| far(b).zip(far(a)).is_some_and(|(b, a)| b > a));
                if behind {
                    continue;
                }
                let seen = merged.entry(e.id.clone()).or_insert_with(|| Seen {
                    sequence: e.sequence,
                    value: e.value.clone(),
                    nodes: Vec::new(),
                });
                if (e.sequence, &e.value) > (seen.sequence, &seen.value) {
                    (seen.sequence, seen.value) = (e.sequence, e.value.clone());
                    seen.nodes.clear();
                }
                if (e.sequence, &e.value) == (seen.sequence, &seen.value) {
                    seen.nodes.push(a.owner.name.clone());
                }
            }
        }
        merged
    }

    /// How far the side is with a writer, as to a point: that of the owner furthest; `None` where it was not
    /// told.
    fn mark(&self, id: &Id) -> Option<Mark> {
        let point = id.key.point();
        let of = self.answers.iter().filter(|a| a.range.has(point));
        of.map(|a| a.marks.as_ref().map(|m| m.get(&id.writer).copied().unwrap_or_default()))
            .try_fold(Mark::default(), |max, m| m.map(|m| max.max(m)))
    }

    /// Entries that two ranges of the side hold.
    fn doubled(&self) -> impl Iterator<Item = &Id> {
        let live = |a: &&Answer, id: &Id| a.entries.iter().any(|e| e.id == *id && e.value.is_some());
        let ids =
            self.answers.iter().flat_map(|a| a.entries.iter().filter(|e| e.value.is_some()).map(|e| &e.id));
        let ranges = move |id: &Id| {
            let holds = self.answers.iter().filter(|a| live(a, id)).map(|a| a.range);
            holds.collect::<BTreeSet<_>>().len()
        };
        let doubled: BTreeSet<&Id> = ids.filter(|id| ranges(id) > 1).collect();
        doubled.into_iter()
    }
}

/// How the two results differ in an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// The new side lacks it.
    MissingInNew,
    /// The old side lacks it.
    MissingInOld,
    /// The sides say other things of it.
    OtherValue,
    /// Two new ranges hold it.
    Doubled,
}

/// An entry in which the two results differ.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Difference {
    /// How.
    pub kind: Kind,
    /// Which entry, and with it the key and the node that wrote it.
    pub id: Id,
    /// What the old side knows.
    pub old: Option<Seen>,
    /// What the new side knows.
    pub new: Option<Seen>,
}

/// Why two results cannot be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Why {
    /// Not all old owners answered by the deadline.
    OldPartial,
    /// Not all new owners did.
    NewPartial,
    /// An entry was written between the two reads, or the owners did not tell how far they were.
    Between,
}

/// What a comparison says.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Both say the same.
    Equal,
    /// They differ in these.
    Different(Vec<Difference>),
    /// They may or may not be the same.
    NotComparable(Why),
}

/// Compares what the two sides of a question came to.
///
/// An entry that one side lacks, or knows in an older form, is a difference only if that side had passed the
/// write that the other side shows, and no removal later than the other side's mark can have been forgotten.
///
/// ```
/// use micadyke_shards::compare::{Side, Verdict, Why, compare};
/// assert_eq!(compare(&Side::default(), &Side::default(), None), Verdict::NotComparable(Why::OldPartial));
/// ```
pub fn compare(old: &Side, new: &Side, without: Option<Feature>) -> Verdict {
    if !old.whole() || !new.whole() {
        return Verdict::NotComparable(if old.whole() { Why::NewPartial } else { Why::OldPartial });
    }
    let (olds, news) = (old.merged(), new.merged());
    let mut different = Vec::new();
    let mut between = false;
    for id in olds.keys().chain(news.keys().filter(|id| !olds.contains_key(id))) {
        let (o, n) = (olds.get(id), news.get(id));
        let [ov, nv] = [o, n].map(|s| s.and_then(|s| Some((s.sequence, s.value.as_ref()?))));
        if ov == nv {
            continue;
        }
        let kind = match (ov, nv) {
            (Some(_), None) => Kind::MissingInNew,
            (None, _) => Kind::MissingInOld,
            _ => Kind::OtherValue,
        };
        // The side that knows less: it must have passed what the other one shows.
        let [os, ns] = [o, n].map(|s| s.map_or(0, |s| s.sequence));
        let (ahead, less, more) = if os > ns { (os, new, old) } else { (ns, old, new) };
        let explained = match (less.mark(id), more.mark(id)) {
            _ if os == ns => false,
            (Some(l), Some(m)) => {
                let knows = if os > ns { n } else { o };
                l.seen < ahead || (knows.is_none() && l.forgot > m.seen)
            }
            _ => true,
        };
        if explained && without != Some(Feature::Between) {
            between = true;
        } else {
            different.push(Difference { kind, id: id.clone(), old: o.cloned(), new: n.cloned() });
        }
    }
    let doubled = new.doubled().map(|id| Difference {
        kind: Kind::Doubled,
        id: id.clone(),
        old: olds.get(id).cloned(),
        new: news.get(id).cloned(),
    });
    different.extend(doubled);
    match (different.is_empty(), between) {
        (false, _) => Verdict::Different(different),
        (true, true) => Verdict::NotComparable(Why::Between),
        (true, false) => Verdict::Equal,
    }
}

/// What is to be done after a comparison.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Counts as an equal read of the slice.
    Count,
    /// Ask both sides again, with marks.
    Again,
    /// It could not be compared within the budget: counts for nothing.
    GiveUp,
    /// The difference stayed: the split goes back.
    Flag(Vec<Difference>),
}

/// A question that is read twice, over its askings. Its old result was served after the first.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Twice {
    left: u32,
    seen: BTreeSet<(Kind, Id)>,
}

impl Twice {
    /// With `budget` askings beyond the first.
    ///
    /// ```
    /// use micadyke_shards::compare::{Next, Twice, Verdict, Why};
    /// let mut t = Twice::new(1);
    /// assert_eq!(t.next(Verdict::NotComparable(Why::Between)), Next::Again);
    /// assert_eq!(t.next(Verdict::NotComparable(Why::Between)), Next::GiveUp);
    /// ```
    pub fn new(budget: u32) -> Self {
        Twice { left: budget, seen: BTreeSet::new() }
    }

    /// Takes what a comparison says.
    ///
    /// ```
    /// use micadyke_shards::compare::{Next, Twice, Verdict};
    /// assert_eq!(Twice::new(1).next(Verdict::Equal), Next::Count);
    /// ```
    ///
    /// Only what differed in the asking before, too, and in the same way, stays.
    pub fn next(&mut self, verdict: Verdict) -> Next {
        let mut again = || match self.left.checked_sub(1) {
            Some(left) => {
                self.left = left;
                Next::Again
            }
            None => Next::GiveUp,
        };
        match verdict {
            Verdict::Equal => Next::Count,
            Verdict::NotComparable(_) => again(),
            Verdict::Different(found) => {
                let now: BTreeSet<_> = found.iter().map(|d| (d.kind, d.id.clone())).collect();
                let stays: Vec<_> =
                    found.into_iter().filter(|d| self.seen.contains(&(d.kind, d.id.clone()))).collect();
                if !stays.is_empty() {
                    return Next::Flag(stays);
                }
                let next = again();
                self.seen = now;
                next
            }
        }
    }
}

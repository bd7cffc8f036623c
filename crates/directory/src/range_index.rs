//! Lines of one book, in an order in which ranges can be compared.

use crate::{Key, Nanos, hash};
use std::collections::BTreeMap;
use std::ops::Bound;

/// Bits of a place that tell lines of one key apart: a range can be cut within a key as well.
const WITHIN: u32 = 24;
pub(crate) const LOW: u64 = (1 << WITHIN) - 1;

/// Where a line stands: by its key's point first, by its server second.
pub(crate) type Place = (u64, Key, String);

/// Where a line of this key at this server stands.
pub(crate) fn place(key: Key, at: String) -> Place {
    ((key.point() & !LOW) | (hash(&[at.as_bytes()]) & LOW), key, at)
}

/// How many sessions of a key there are at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Line {
    /// The change of the book that made it so.
    pub seq: u64,
    pub count: u32,
    /// Its part of a digest.
    pub mark: u64,
    /// When it was heard.
    pub heard: Nanos,
}

impl Line {
    pub fn new(place: &Place, start: u64, seq: u64, count: u32, heard: Nanos) -> Self {
        let (tag, text) = place.1.parts();
        let numbers = [start, seq, u64::from(count), text.len() as u64].map(u64::to_be_bytes).concat();
        let mark = hash(&[&numbers, &[tag], text.as_bytes(), place.2.as_bytes()]);
        Line { seq, count, mark, heard }
    }
}

/// Digest and number of lines.
pub(crate) type Sum = (u64, u32);

pub(crate) fn add(sum: Sum, mark: u64) -> Sum {
    (sum.0.wrapping_add(mark), sum.1.saturating_add(1))
}

pub(crate) fn take(sum: Sum, mark: u64) -> Sum {
    (sum.0.wrapping_sub(mark), sum.1.saturating_sub(1))
}

/// Lines in order.
#[derive(Debug, Default, Clone)]
pub(crate) struct RangeIndex {
    lines: BTreeMap<Place, Line>,
    sum: Sum,
}

impl RangeIndex {
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    pub fn sum(&self) -> Sum {
        self.sum
    }

    pub fn get(&self, place: &Place) -> Option<&Line> {
        self.lines.get(place)
    }

    pub fn put(&mut self, place: Place, line: Line) {
        if let Some(old) = self.lines.insert(place, line) {
            self.sum = take(self.sum, old.mark);
        }
        self.sum = add(self.sum, line.mark);
    }

    pub fn remove(&mut self, place: &Place) -> Option<Line> {
        let old = self.lines.remove(place)?;
        self.sum = take(self.sum, old.mark);
        Some(old)
    }

    pub fn retain(&mut self, keeps: impl Fn(&Place) -> bool) {
        self.lines.retain(|place, _| keeps(place));
        self.sum = self.lines.values().fold((0, 0), |sum, l| add(sum, l.mark));
    }

    pub fn all(&self) -> impl Iterator<Item = (&Place, &Line)> {
        self.lines.iter()
    }

    /// Lines of a range of places, both ends within.
    pub fn range(&self, first: u64, last: u64) -> impl Iterator<Item = (&Place, &Line)> {
        let least = (first, Key::Title(String::new()), String::new());
        self.lines.range((Bound::Included(least), Bound::Unbounded)).take_while(move |l| l.0.0 <= last)
    }

    /// Lines of a key.
    pub fn of<'a>(&'a self, key: &'a Key) -> impl Iterator<Item = (&'a Place, &'a Line)> {
        let first = key.point() & !LOW;
        self.range(first, first | LOW).filter(move |l| l.0.1 == *key)
    }
}

/// A range in so many equal parts at most.
pub(crate) fn parts(first: u64, last: u64, most: u64) -> Vec<(u64, u64)> {
    let width = last.saturating_sub(first);
    let step = (width / most).saturating_add(1);
    let starts = (0..most).map_while(|n| first.checked_add(n.checked_mul(step)?)).take_while(|f| *f <= last);
    starts.map(|f| (f, f.saturating_add(step - 1).min(last))).collect()
}

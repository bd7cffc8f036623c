//! The map of a directory's shards: who owns which range of points, under a number that only grows; and how a
//! shard splits without a wrong answer in between. No I/O and no clock: words, facts and the time go in,
//! words and states come out.
//!
//! - [`map`]: ranges, their owners, changes under way.
//! - [`keep`]: a member's side of the map, and the leader's who moves it under the lease of a majority.
//! - [`split`]: when a range splits, merges or moves, and when the new owners serve alone.
//! - [`compare`]: a question read twice, and what its two results say.
//! - [`index`]: what one owner holds of one range.
//! - [`face`]: what a directory calls; the whole of a member's side.
//!
//! The argument for each claim stands in `docs/design/shards.md`.
#![warn(missing_docs)]

pub mod compare;
pub mod face;
pub mod index;
pub mod keep;
pub mod map;
pub mod split;

use micadyke_directory::Point;

/// What tests and measurements take out, to see that a check fails without it.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Feature {
    /// New owners serve alone only after equal digests.
    Digests,
    /// New owners serve alone only after comparable reads in each slice.
    Reads,
    /// A border belongs to one half.
    Border,
    /// Words of an older term, and numbers of an older map, are turned away.
    Fence,
    /// A map counts once more than half hold it.
    Majority,
    /// A member that forgot is no voice of a majority until it is told the map anew.
    Memory,
    /// Old owners that may still serve the map before are waited for.
    Wait,
    /// What a former start of an owner said counts for nothing.
    Start,
    /// An entry written between two reads is no difference.
    Between,
}

/// A range of points, both ends within.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct Range {
    /// The first point.
    pub first: Point,
    /// The last point.
    pub last: Point,
}

impl Range {
    /// The whole ring.
    pub const RING: Range = Range { first: 0, last: Point::MAX };

    /// Whether a point lies within.
    ///
    /// ```
    /// use micadyke_shards::Range;
    /// let r = Range { first: 10, last: 19 };
    /// assert!(r.has(10) && r.has(19) && !r.has(20));
    /// ```
    pub fn has(&self, point: Point) -> bool {
        (self.first..=self.last).contains(&point)
    }

    /// Its two halves; `None` where it is one point.
    ///
    /// ```
    /// use micadyke_shards::Range;
    /// let [left, right] = Range::RING.halves().unwrap();
    /// assert_eq!(left.last + 1, right.first);
    /// assert_eq!(Range { first: 7, last: 7 }.halves(), None);
    /// ```
    pub fn halves(&self) -> Option<[Range; 2]> {
        let middle = self.first + (self.last - self.first) / 2;
        let [left, right] = [
            Range { first: self.first, last: middle },
            Range { first: middle.wrapping_add(1), last: self.last },
        ];
        (self.first < self.last).then_some([left, right])
    }

    /// Which of `of` equal slices of the range a point lies in.
    ///
    /// ```
    /// use micadyke_shards::Range;
    /// let r = Range { first: 100, last: 199 };
    /// assert_eq!((r.slice(100, 4), r.slice(125, 4), r.slice(199, 4)), (0, 1, 3));
    /// ```
    pub fn slice(&self, point: Point, of: usize) -> usize {
        let size = u128::from(self.last - self.first) + 1;
        let at = u128::from(point.clamp(self.first, self.last) - self.first);
        (at * of as u128 / size) as usize
    }
}

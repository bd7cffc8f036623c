//! The map of a directory's shards: who owns which range of points, under a number that only grows; and how a shard splits
//! without a wrong answer in between. No I/O and no clock.
#![warn(missing_docs)]

use micadyke_directory::Point;

/// A range of points, both ends within.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct Range {
    /// The first point.
    pub first: Point,
    /// The last point.
    pub last: Point,
}

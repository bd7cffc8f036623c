//! A directory of sessions that the front nodes keep among themselves.
//!
//! Each node's own book is the truth, the directory an index of it: sharded over the members by key, two copies each. A
//! lying or late member costs wrong hints and nothing else. No I/O and no clock.
#![warn(missing_docs)]

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// A point in time or a span of it, in nanoseconds of one clock that never runs backwards.
pub type Nanos = u64;

/// A place on the ring of keys.
pub type Point = u64;

/// What a question is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// A title.
    Title(String),
    /// A viewer.
    Viewer(String),
    /// A server, by its id in the list.
    Server(String),
}

impl Key {
    /// Its place on the ring.
    pub fn point(&self) -> Point {
        let (tag, text) = match self {
            Key::Title(t) => (0u8, t),
            Key::Viewer(v) => (1, v),
            Key::Server(s) => (2, s),
        };
        let hash = Sha256::new().chain_update([tag]).chain_update(text.as_bytes()).finalize();
        hash.first_chunk().map_or(0, |b| u64::from_be_bytes(*b))
    }
}

/// Who is responsible for a point.
pub trait Owners {
    /// The number of the map; it only grows.
    fn number(&self) -> u64;

    /// Names of the owners of a point, the first first; two where there are as many members.
    fn owners(&self, point: Point) -> Vec<String>;
}

//! A directory of sessions that the front nodes keep among themselves.
//!
//! Each node's own book is the truth, the directory an index of it: sharded over the members by key, two copies each. A
//! lying or late member costs wrong hints and nothing else. [`Directory`] is a state machine without I/O or clock: changes
//! of the own book, messages, the view and the time in; messages to members by name, answers and what is to be ended out.
//!
//! An owner of a key says of each member whether its copy was found equal to that member's book, and how long ago at
//! most. An answer is [whole](Whole) where that holds of every living member within [`Directory::bound`], else it is
//! [partial](Partial), and nothing turns the second into the first. [`Directory::withdraw`] ends all sessions of a title
//! or a viewer: each node looks in its own book, and it is over when each living member has said so.
//!
//! ```
//! use micadyke_deadline::FixedDeadline;
//! use micadyke_directory::{Answer, Directory, Input, Key, MS, Output, SECOND, Session, Settings};
//!
//! let mut alone = Directory::new(Settings::new("n1", 7), Box::new(FixedDeadline(50 * MS)), 0);
//! let mut out = Vec::new();
//! alone.handle(0, Input::Started(&Session::new("news", "v1", "s3")), &mut out);
//! alone.ask(SECOND, Key::Title("news".into()), 2 * SECOND, &mut out)?;
//! let Some(Output::Answered { answer: Answer::Whole(whole), .. }) = out.pop() else { panic!("nobody else lives") };
//! assert_eq!((whole.sum(), whole.entries()[0].at.as_str()), (1, "s3"));
//! # Ok::<(), micadyke_directory::Error>(())
//! ```
#![warn(missing_docs)]

mod answer;
mod asking;
mod directory;
mod error;
mod owners;
mod range_index;
pub mod settings;
mod wire;
mod withdrawal;

pub use answer::{Answer, Entry, Partial, Report, Whole, Why};
#[doc(hidden)]
pub use directory::Feature;
pub use directory::{Counts, Directory, Input, Output, Seen, Session, Settings};
pub use error::Error;
pub use owners::Rendezvous;
pub use wire::LONGEST;
#[doc(hidden)]
pub use wire::{Heard, heard};
pub use withdrawal::{Holds, Known, Progress, Waits};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// A point in time or a span of it, in nanoseconds of one clock that never runs backwards.
pub type Nanos = u64;
/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000 * MS;

/// A place on the ring of keys.
pub type Point = u64;

/// Bytes of a title, a viewer or a server's id as the directory carries it; what is longer is carried as its hash.
pub const TEXT: usize = 120;

/// What a question is about.
///
/// ```
/// use micadyke_directory::Key;
///
/// // The same words of another kind stand elsewhere.
/// assert_ne!(Key::Title("a".into()).point(), Key::Viewer("a".into()).point());
/// ```
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
    ///
    /// ```
    /// use micadyke_directory::Key;
    ///
    /// assert_eq!(Key::Title("a".into()).point(), Key::Title("a".into()).point());
    /// ```
    pub fn point(&self) -> Point {
        let (tag, text) = self.parts();
        hash(&[&[tag], text.as_bytes()])
    }

    /// Its number among the kinds, and its text.
    pub(crate) fn parts(&self) -> (u8, &str) {
        match self {
            Key::Title(t) => (0, t),
            Key::Viewer(v) => (1, v),
            Key::Server(s) => (2, s),
        }
    }

    /// Its text.
    ///
    /// ```
    /// assert_eq!(micadyke_directory::Key::Viewer("v1".into()).text(), "v1");
    /// ```
    pub fn text(&self) -> &str {
        self.parts().1
    }

    /// As it is carried.
    pub(crate) fn folded(self) -> Self {
        match self {
            Key::Title(t) => Key::Title(folded(t)),
            Key::Viewer(v) => Key::Viewer(folded(v)),
            Key::Server(s) => Key::Server(folded(s)),
        }
    }
}

impl std::fmt::Display for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let word = ["title", "viewer", "server"][usize::from(self.parts().0)];
        write!(f, "{word} '{}'", self.text())
    }
}

/// A text as it is carried: no longer than [`TEXT`].
pub(crate) fn folded(text: String) -> String {
    if text.len() <= TEXT {
        return text;
    }
    let hash = Sha256::digest(text.as_bytes());
    hash.iter().fold("#".to_owned(), |text, byte| format!("{text}{byte:02x}"))
}

/// The first eight bytes of a hash.
pub(crate) fn hash(parts: &[&[u8]]) -> u64 {
    let all = parts.iter().fold(Sha256::new(), |hash, part| hash.chain_update(part));
    all.finalize().first_chunk().map_or(0, |b| u64::from_be_bytes(*b))
}

/// Who is responsible for a point.
///
/// ```
/// use micadyke_directory::{Owners, Rendezvous};
///
/// let map = Rendezvous::new(["n1", "n2", "n3"]);
/// let owners = map.owners(42);
/// assert!(owners.len() == 2 && owners[0] != owners[1]);
/// assert_eq!(map.number(), Rendezvous::new(["n3", "n1", "n2"]).number());
/// ```
pub trait Owners {
    /// The number of the map; two maps of one number are the same map. Where maps are numbered, it only grows.
    fn number(&self) -> u64;

    /// Names of the owners of a point, the first first; two where there are as many members.
    fn owners(&self, point: Point) -> Vec<String>;
}

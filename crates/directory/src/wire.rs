//! What members say to each other.

use crate::directory::ZONE;
use crate::range_index::{Place, Sum, place};
use crate::{Entry, Key, TEXT};
use serde::{Deserialize, Serialize};

/// Bytes of a message at most.
pub const LONGEST: usize = 1_200;

/// A line of the sender's own book; none of its sessions is left where `count` is 0.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Told {
    pub key: Key,
    pub at: String,
    pub seq: u64,
    pub count: u32,
}

impl Told {
    pub fn place(&self) -> Place {
        place(self.key.clone(), self.at.clone())
    }
}

/// A question: the start of who asks, and its number there.
pub(crate) type Id = (u64, u64);

/// A withdrawal, or the lifting of one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    pub what: Key,
    pub version: u64,
    pub lifted: bool,
    pub origin: String,
    /// Which withdrawal it is, or lifts.
    pub mark: u64,
    pub left_ms: u64,
}

/// A message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// So the sender's book stands, as far as the receiver owns it by this map.
    Beat {
        map: u64,
        /// The sender's time, to be told back.
        mark: u64,
        /// The receiver's start and time, as last heard.
        echo: (u64, u64),
        seq: u64,
        sum: Sum,
        /// Digest of the withdrawals known to the sender.
        withdrawn: u64,
        /// Its zone; empty where it has none.
        zone: String,
    },
    /// Lines that changed.
    Put { told: Vec<Told> },
    /// So the sender's copy of the receiver's book stands, by equal parts of a range.
    Look { map: u64, first: u64, last: u64, sums: Vec<Sum> },
    /// That part is too large to be sent: it is to be looked at more closely.
    Narrow { map: u64, first: u64, last: u64 },
    /// All lines of the sender's book in a range, after its change `through`.
    Fill { map: u64, first: u64, last: u64, through: u64, told: Vec<Told> },
    /// A question; `view` is a digest of those that live.
    Ask { id: Id, key: Key, view: u64 },
    /// An answer's page. `covered`: members whose books the copy was found equal to, in the order of names, a bit each;
    /// none where the views differ. `cut`: there are more lines than are told.
    Found {
        id: Id,
        page: u8,
        pages: u8,
        cut: bool,
        covered: Option<Vec<u8>>,
        oldest_ms: u64,
        rows: Vec<Entry>,
    },
    /// Too many ask.
    Busy { id: Id },
    /// Withdrawals known to the sender.
    Gossip { records: Vec<Record> },
    /// A withdrawal that the sender follows: it wants to hear how it stands.
    Withdraw { record: Record },
    /// How it stands at the sender: sessions that are left, where it has looked; and who was given up, as far as it knows,
    /// and not accounted for.
    Stands { what: Key, version: u64, left: Option<u64>, view: u64, lost: Vec<(String, u64)>, more: bool },
}

/// The sender's start, and what it says.
pub(crate) fn write(start: u64, message: &Message) -> Option<Vec<u8>> {
    postcard::to_allocvec(&(start, message)).ok().filter(|b| b.len() <= LONGEST)
}

fn sound(told: &[Told]) -> bool {
    told.iter().all(|t| t.key.text().len() <= TEXT && t.at.len() <= TEXT)
}

/// Reads a message; nothing where it is none.
pub(crate) fn read(bytes: &[u8]) -> Option<(u64, Message)> {
    let within = Some(bytes).filter(|b| b.len() <= LONGEST)?;
    let ((start, message), rest) = postcard::take_from_bytes::<(u64, Message)>(within).ok()?;
    let sound = match &message {
        Message::Put { told } | Message::Fill { told, .. } => sound(told),
        Message::Beat { zone, .. } => zone.len() <= ZONE,
        Message::Ask { key, .. } => key.text().len() <= TEXT,
        _ => true,
    };
    (sound && rest.is_empty()).then_some((start, message))
}

/// Cuts what is to be sent into messages that are short enough.
pub(crate) fn chunks<T: Clone + Serialize>(all: &[T], room: usize) -> Vec<Vec<T>> {
    let mut chunks: Vec<Vec<T>> = Vec::new();
    let mut used = usize::MAX;
    for one in all {
        let size = postcard::to_allocvec(one).map_or(room, |b| b.len());
        if used.saturating_add(size) > room {
            chunks.push(Vec::new());
            used = 0;
        }
        used += size;
        chunks.last_mut().into_iter().for_each(|c| c.push(one.clone()));
    }
    chunks
}

/// What a test's wire sees in an answer.
#[doc(hidden)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heard {
    /// The question's number.
    pub id: u64,
    /// This page, and how many there are.
    pub page: (u8, u8),
    /// There are more lines than are told.
    pub cut: bool,
    /// Members that are covered.
    pub covered: Option<Vec<u8>>,
}

/// An answer's page on its way; nothing for any other message.
#[doc(hidden)]
pub fn heard(bytes: &[u8]) -> Option<Heard> {
    match read(bytes)?.1 {
        Message::Found { id, page, pages, cut, covered, .. } => {
            Some(Heard { id: id.1, page: (page, pages), cut, covered })
        }
        _ => None,
    }
}

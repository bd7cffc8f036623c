//! What is kept: one record of each kind, the last one written.

use crate::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Format of all records; a store of a newer one is set aside unread.
pub const FORMAT: u8 = 1;
/// Bytes of a record at most: a list of 4,096 servers takes a quarter of it.
pub const LONGEST: usize = 2 << 20;

/// A server of the last list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Its id.
    pub id: String,
    /// Where it listened.
    pub addr: SocketAddr,
    /// It took sessions; else it drained.
    pub ready: bool,
    /// Unix time of its start; 0: long ago.
    pub started_at: Nanos,
}

/// A record. Losing the last one of a kind costs what is said there; none of it is ever a licence to send.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A start of this process. Lost: the next one asks the others for the number, as without a store.
    Start {
        /// Its name in the fleet.
        name: String,
        /// Its start, as others know it.
        start: u64,
        /// Unix time.
        at: Nanos,
    },
    /// The last list of servers. Lost: drains after the one before are heard of from others or the bus alone.
    List {
        /// Its version, the same at all nodes.
        version: u64,
        /// Number of the bus's last event in it.
        offset: u64,
        /// Unix time.
        at: Nanos,
        /// The servers.
        servers: Vec<Server>,
    },
    /// The last settled view. Lost: who of the fleet lived through the cut is judged by the view before, or by starts.
    View {
        /// Unix time.
        at: Nanos,
        /// Name and start of all that lived.
        members: BTreeMap<String, u64>,
        /// Number of the epoch that parts were leased in; 0: none.
        epoch: u64,
    },
}

impl Record {
    /// The kind's key in the store.
    pub fn key(&self) -> &'static str {
        match self {
            Record::Start { .. } => "start",
            Record::List { .. } => "list",
            Record::View { .. } => "view",
        }
    }

    /// The record with format and checksum; `None` where it is longer than [`LONGEST`].
    pub fn encode(&self) -> Option<Vec<u8>> {
        let body = postcard::to_allocvec(self).ok()?;
        let mut bytes = vec![FORMAT];
        bytes.extend(crc32fast::hash(&body).to_be_bytes());
        bytes.extend(body);
        (bytes.len() <= LONGEST).then_some(bytes)
    }

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// What is wrong with it; nothing of a damaged one is used.
    pub fn decode(bytes: &[u8]) -> Result<Self, Unreadable> {
        let (&format, rest) = bytes.split_first().ok_or(Unreadable::Damaged)?;
        if format > FORMAT {
            return Err(Unreadable::Newer(format));
        }
        let (sum, body) = rest.split_first_chunk::<4>().ok_or(Unreadable::Damaged)?;
        if u32::from_be_bytes(*sum) != crc32fast::hash(body) {
            return Err(Unreadable::Damaged);
        }
        postcard::from_bytes(body).map_err(|_| Unreadable::Damaged)
    }
}

/// Why a record can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unreadable {
    /// It is of a newer format.
    Newer(u8),
    /// Its checksum or content is wrong.
    Damaged,
}

/// What was kept when the process started.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Kept {
    /// Name, start, and when it started.
    pub start: Option<(String, u64, Nanos)>,
    /// Version, offset, when, and the servers.
    pub list: Option<(u64, u64, Nanos, Vec<Server>)>,
    /// When, name and start of all that lived, and the epoch.
    pub view: Option<(Nanos, BTreeMap<String, u64>, u64)>,
}

impl Kept {
    /// Takes a record as the last of its kind.
    pub fn take(&mut self, record: Record) {
        match record {
            Record::Start { name, start, at } => self.start = Some((name, start, at)),
            Record::List { version, offset, at, servers } => {
                self.list = Some((version, offset, at, servers));
            }
            Record::View { at, members, epoch } => self.view = Some((at, members, epoch)),
        }
    }
}

//! The records of the store: the last one written for each [`Key`]. Some kinds have a single record, others one for each
//! seat or session.

use crate::Nanos;
use crate::progress::ProgressObserver;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The newest format of records. A store with a newer one is moved aside unread. Starts, lists and views are written in
/// format 1, so that a program that knows only those can read a store that contains no other records.
pub const FORMAT: u8 = 2;
/// Maximum size of a record in bytes. A list of 4,096 servers takes a quarter of it.
pub const MAX_RECORD_BYTES: usize = 2 << 20;

/// A server in the last server list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Its id.
    pub id: String,
    /// Its address.
    pub addr: SocketAddr,
    /// It accepted sessions; otherwise it was draining.
    pub ready: bool,
    /// Unix time of its start in nanoseconds; 0: long enough ago to be warm.
    pub started_at: Nanos,
}

/// A record. Each variant states the consequences if its last version is lost. No record alone permits sending anything to a
/// server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A start of this process. If lost, the next start gets its number from the other members, as without a store.
    Start {
        /// Its name in the fleet.
        name: String,
        /// The number of the start, as other members know it.
        start: u64,
        /// Unix time in nanoseconds.
        at: Nanos,
    },
    /// The last server list. If lost, drains since the previous list are learned only from other members or the bus.
    List {
        /// Its version, the same at all nodes.
        version: u64,
        /// Offset of the last event of the bus that it includes.
        offset: u64,
        /// Unix time in nanoseconds.
        at: Nanos,
        /// The servers.
        servers: Vec<Server>,
    },
    /// The last settled membership view. If lost, the surviving members are determined by the previous view or by their
    /// start numbers.
    View {
        /// Unix time in nanoseconds.
        at: Nanos,
        /// Names and starts of all members that were alive.
        members: BTreeMap<String, u64>,
        /// Epoch of the leased shares of cold budgets; 0: none.
        epoch: u64,
    },
    /// The epoch under which a front requests seats. It is on the disk before any message with it is sent. If lost, the
    /// issuer fences the next start, which then continues with a higher epoch.
    Epoch(u64),
    /// A seat that a front may hold. If lost, its lease expires at the issuer.
    Seat {
        /// The number of its lease.
        lease: u64,
        /// Its title.
        title: String,
        /// Its class.
        class: String,
    },
    /// A playing session. If lost, its server ends it after a timeout, and its viewer requests a new one.
    Session(Box<Session>),
    /// A session that a server was told to end but has not confirmed. If lost, the server ends it after a timeout.
    Owed {
        /// The address of the server.
        addr: SocketAddr,
        /// The path of the session at the server.
        path: String,
    },
    /// The maximum duration of an issuer's leases in nanoseconds. It is on the disk before a lease is granted with it.
    Ttl(Nanos),
    /// A holder of seats, as its issuer knows it. If lost, a former start of the holder can't be told apart until the
    /// current one sends a message.
    Holder {
        /// Its name.
        name: String,
        /// Its epoch.
        epoch: u64,
        /// A random number drawn at its start.
        start: u64,
    },
    /// A lease of a seat, as its issuer counts it. If lost, its holder reports it.
    Lease {
        /// The name of its holder.
        holder: String,
        /// Its number.
        lease: u64,
        /// Its title.
        title: String,
        /// Its class.
        class: String,
    },
}

/// A playing session of a front, with all that is needed to end it, change it and follow its events after a restart.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// The random name of its resource at the front.
    pub name: u128,
    /// The path of its route.
    pub route: String,
    /// The name of its class.
    pub class: String,
    /// Its title.
    pub title: String,
    /// The media section whose layers are chosen.
    pub media: String,
    /// The highest rung that its viewer can use.
    pub top: u32,
    /// The requested rung.
    pub rung: u32,
    /// The number of its server.
    pub server: u64,
    /// The address of its server.
    pub addr: SocketAddr,
    /// The path of the session at the server.
    pub resource: String,
    /// The entity tag of its ICE session.
    pub etag: String,
    /// The path that sets its layer.
    pub layer: String,
    /// The path that opens its event stream.
    pub events: String,
}

/// The key under which a record is stored.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// The start of this process.
    Start,
    /// The server list.
    List,
    /// The membership view.
    View,
    /// The epoch of seat requests.
    Epoch,
    /// A seat, by its lease.
    Seat(u64),
    /// A session, by its name.
    Session(u128),
    /// A session to be ended, by its server and path.
    Owed(SocketAddr, String),
    /// The maximum duration of leases.
    Ttl,
    /// A holder, by its name.
    Holder(String),
    /// A lease, by its holder and number.
    Lease(String, u64),
}

impl Key {
    /// The key as text, as it is written to the store.
    pub fn store_key(&self) -> Cow<'static, str> {
        match self {
            Key::Start => "start".into(),
            Key::List => "list".into(),
            Key::View => "view".into(),
            Key::Epoch => "epoch".into(),
            Key::Seat(lease) => format!("seat/{lease:016x}").into(),
            Key::Session(name) => format!("session/{name:032x}").into(),
            Key::Owed(addr, path) => format!("owed/{addr}{path}").into(),
            Key::Ttl => "ttl".into(),
            Key::Holder(name) => format!("holder/{name}").into(),
            Key::Lease(holder, lease) => format!("lease/{lease:016x}/{holder}").into(),
        }
    }
}

/// A change of the store.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// Stores a record in place of the previous one with the same key.
    Put(Record),
    /// Deletes the record of a key.
    Delete(Key),
}

impl From<Record> for Change {
    fn from(record: Record) -> Self {
        Change::Put(record)
    }
}

impl Change {
    /// The key that it belongs to.
    pub fn key(&self) -> Key {
        match self {
            Change::Put(record) => record.key(),
            Change::Delete(key) => key.clone(),
        }
    }
}

impl Record {
    /// The key that it belongs to.
    pub fn key(&self) -> Key {
        match self {
            Record::Start { .. } => Key::Start,
            Record::List { .. } => Key::List,
            Record::View { .. } => Key::View,
            Record::Epoch(_) => Key::Epoch,
            Record::Seat { lease, .. } => Key::Seat(*lease),
            Record::Session(s) => Key::Session(s.name),
            Record::Owed { addr, path } => Key::Owed(*addr, path.clone()),
            Record::Ttl(_) => Key::Ttl,
            Record::Holder { name, .. } => Key::Holder(name.clone()),
            Record::Lease { holder, lease, .. } => Key::Lease(holder.clone(), *lease),
        }
    }

    /// The format that it is written in: the oldest one that has this kind.
    fn format(&self) -> u8 {
        match self {
            Record::Start { .. } | Record::List { .. } | Record::View { .. } => 1,
            _ => FORMAT,
        }
    }

    /// Encodes the record with its format and checksum. `None` if it exceeds [`MAX_RECORD_BYTES`].
    pub fn encode(&self) -> Option<Vec<u8>> {
        let body = postcard::to_allocvec(self).ok()?;
        let mut bytes = vec![self.format()];
        bytes.extend(crc32fast::hash(&body).to_be_bytes());
        bytes.extend(body);
        (bytes.len() <= MAX_RECORD_BYTES).then_some(bytes)
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// The record is damaged or of a newer format; nothing of it is used.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let (&format, rest) = bytes.split_first().ok_or(DecodeError::Corrupted)?;
        if format > FORMAT {
            return Err(DecodeError::NewerFormat(format));
        }
        let (sum, body) = rest.split_first_chunk::<4>().ok_or(DecodeError::Corrupted)?;
        if u32::from_be_bytes(*sum) != crc32fast::hash(body) {
            return Err(DecodeError::Corrupted);
        }
        postcard::from_bytes(body).map_err(|_| DecodeError::Corrupted)
    }
}

/// Why a record can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The record has a newer format.
    #[error("it is of format {0}, newer than this program's {FORMAT}")]
    NewerFormat(u8),
    /// The checksum or content of the record is wrong.
    #[error("its checksum or content is wrong")]
    Corrupted,
}

impl DecodeError {
    /// What an operator can do about the error.
    ///
    /// ```
    /// let newer = micadyke_recovery::record::Record::decode(&[99]).expect_err("unknown format");
    /// assert!(newer.advice().contains("newer program"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            DecodeError::NewerFormat(_) => {
                "Start the newer program that wrote it, or continue as after a first start."
            }
            DecodeError::Corrupted => "Check the disk; nothing of the record is used.",
        }
    }
}

/// The stored state, as read when the process starts.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct StoredState {
    /// Name and number of the last start, and when it was.
    pub start: Option<(String, u64, Nanos)>,
    /// Version and offset of the server list, when it was written, and the servers.
    pub list: Option<(u64, u64, Nanos, Vec<Server>)>,
    /// When the membership view was written, names and starts of all members that were alive, and the epoch.
    pub view: Option<(Nanos, BTreeMap<String, u64>, u64)>,
    /// The epoch of seat requests.
    pub epoch: Option<u64>,
    /// Titles and classes of the seats that may be held, by lease.
    pub seats: BTreeMap<u64, (String, String)>,
    /// Playing sessions, by name.
    pub sessions: BTreeMap<u128, Session>,
    /// Servers and paths of sessions that were to be ended.
    pub owed: BTreeSet<(SocketAddr, String)>,
    /// The maximum duration of leases that an issuer granted.
    pub ttl: Option<Nanos>,
    /// Epochs and starts of an issuer's holders, by name.
    pub holders: BTreeMap<String, (u64, u64)>,
    /// Titles and classes of an issuer's leases, by holder and number.
    pub leases: BTreeMap<(String, u64), (String, String)>,
    /// Is notified of the progress of the recovery that starts from this state.
    pub observer: ProgressObserver,
}

impl StoredState {
    /// Replaces the record with the same key.
    pub fn apply_record(&mut self, record: Record) {
        match record {
            Record::Start { name, start, at } => self.start = Some((name, start, at)),
            Record::List { version, offset, at, servers } => {
                self.list = Some((version, offset, at, servers));
            }
            Record::View { at, members, epoch } => self.view = Some((at, members, epoch)),
            Record::Epoch(n) => self.epoch = Some(n),
            Record::Seat { lease, title, class } => drop(self.seats.insert(lease, (title, class))),
            Record::Session(s) => drop(self.sessions.insert(s.name, *s)),
            Record::Owed { addr, path } => drop(self.owed.insert((addr, path))),
            Record::Ttl(ttl) => self.ttl = Some(ttl),
            Record::Holder { name, epoch, start } => drop(self.holders.insert(name, (epoch, start))),
            Record::Lease { holder, lease, title, class } => {
                self.leases.insert((holder, lease), (title, class));
            }
        }
    }

    /// Applies a change, as the store does.
    pub fn apply(&mut self, change: Change) {
        match change {
            Change::Put(record) => self.apply_record(record),
            Change::Delete(Key::Start) => self.start = None,
            Change::Delete(Key::List) => self.list = None,
            Change::Delete(Key::View) => self.view = None,
            Change::Delete(Key::Epoch) => self.epoch = None,
            Change::Delete(Key::Seat(lease)) => drop(self.seats.remove(&lease)),
            Change::Delete(Key::Session(name)) => drop(self.sessions.remove(&name)),
            Change::Delete(Key::Owed(addr, path)) => drop(self.owed.remove(&(addr, path))),
            Change::Delete(Key::Ttl) => self.ttl = None,
            Change::Delete(Key::Holder(name)) => drop(self.holders.remove(&name)),
            Change::Delete(Key::Lease(holder, lease)) => drop(self.leases.remove(&(holder, lease))),
        }
    }
}

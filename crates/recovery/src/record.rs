//! What is kept: the last record written of each [`Key`]. Some kinds have one record, some one for each seat or session.

use crate::Nanos;
use crate::watched::Watched;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Newest format of records; a store of a newer one is set aside unread. Starts, lists and views are written in format 1,
/// so that a program which knows no more than those reads a store that holds no more.
pub const FORMAT: u8 = 2;
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
    /// The epoch under which a front asks for seats. It is on the disk before anything is sent under it. Lost: the issuer
    /// fences the next start, which goes on above.
    Epoch(u64),
    /// A seat that a front may hold. Lost: it runs out at the issuer by itself.
    Seat {
        /// Number of its lease.
        lease: u64,
        /// Its title.
        title: String,
        /// Its class.
        class: String,
    },
    /// A session that plays. Lost: its box ends it by itself, its viewer asks anew.
    Session(Box<Session>),
    /// A session that a box was told to end and has not confirmed. Lost: its box ends it by itself.
    Owed {
        /// Its box.
        addr: SocketAddr,
        /// Its path there.
        path: String,
    },
    /// How long leases of an issuer's seats may live at most, in nanoseconds. It is on the disk before any is granted by it.
    Ttl(Nanos),
    /// A holder of seats, as its issuer knows it. Lost: a former start of it is not told apart until this one is heard.
    Holder {
        /// Its name.
        name: String,
        /// Its epoch.
        epoch: u64,
        /// Drawn at its start.
        start: u64,
    },
    /// A lease of a seat, as its issuer counts it. Lost: its holder tells of it.
    Lease {
        /// Its holder's name.
        holder: String,
        /// Its number.
        lease: u64,
        /// Its title.
        title: String,
        /// Its class.
        class: String,
    },
}

/// A session that plays, as a front keeps it: enough to end it, to change it and to hear of it after a start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// Random name of its resource at the front.
    pub name: u128,
    /// Path of its route.
    pub route: String,
    /// Name of its class.
    pub class: String,
    /// Its title.
    pub title: String,
    /// Media section whose layers are chosen.
    pub media: String,
    /// The highest rung that its viewer can use.
    pub top: u32,
    /// The rung that was wanted.
    pub rung: u32,
    /// Number of its box.
    pub server: u64,
    /// Where the box listened.
    pub addr: SocketAddr,
    /// Path of the session at the box.
    pub resource: String,
    /// Entity tag of its ICE session.
    pub etag: String,
    /// Path that sets its layer.
    pub layer: String,
    /// Path that opens its event stream.
    pub events: String,
}

/// What a record is of.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// The start.
    Start,
    /// The list.
    List,
    /// The view.
    View,
    /// The epoch of seats.
    Epoch,
    /// A seat, by its lease.
    Seat(u64),
    /// A session, by its name.
    Session(u128),
    /// A session that is to end, by its box and path.
    Owed(SocketAddr, String),
    /// How long leases may live.
    Ttl,
    /// A holder, by its name.
    Holder(String),
    /// A lease, by its holder and number.
    Lease(String, u64),
}

impl Key {
    /// The key in the store.
    pub fn text(&self) -> Cow<'static, str> {
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

/// Something that is to be kept from now on, or no longer.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// This, in place of what was kept of the same.
    Keep(Record),
    /// Nothing of this.
    Gone(Key),
}

impl From<Record> for Change {
    fn from(record: Record) -> Self {
        Change::Keep(record)
    }
}

impl Change {
    /// What it is of.
    pub fn key(&self) -> Key {
        match self {
            Change::Keep(record) => record.key(),
            Change::Gone(key) => key.clone(),
        }
    }
}

impl Record {
    /// What it is of.
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

    /// The format that it is written in: the oldest that has it.
    fn format(&self) -> u8 {
        match self {
            Record::Start { .. } | Record::List { .. } | Record::View { .. } => 1,
            _ => FORMAT,
        }
    }

    /// The record with format and checksum; `None` where it is longer than [`LONGEST`].
    pub fn encode(&self) -> Option<Vec<u8>> {
        let body = postcard::to_allocvec(self).ok()?;
        let mut bytes = vec![self.format()];
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
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    /// It is of a newer format.
    #[error("it is of format {0}, newer than this program's {FORMAT}")]
    Newer(u8),
    /// Its checksum or content is wrong.
    #[error("its checksum or content is wrong")]
    Damaged,
}

impl Unreadable {
    /// What an operator can do.
    ///
    /// ```
    /// let newer = micadyke_recovery::record::Record::decode(&[99]).expect_err("of another program");
    /// assert!(newer.advice().contains("newer program"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            Unreadable::Newer(_) => {
                "Start the newer program that wrote it, or let this start be as the first."
            }
            Unreadable::Damaged => "See to the disk; nothing of the record is used.",
        }
    }
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
    /// The epoch of seats.
    pub epoch: Option<u64>,
    /// Title and class of the seats that may be held, by lease.
    pub seats: BTreeMap<u64, (String, String)>,
    /// Sessions that played, by name.
    pub sessions: BTreeMap<u128, Session>,
    /// Box and path of sessions that were to end.
    pub owed: BTreeSet<(SocketAddr, String)>,
    /// How long leases may live that an issuer granted.
    pub ttl: Option<Nanos>,
    /// Epoch and start of an issuer's holders, by name.
    pub holders: BTreeMap<String, (u64, u64)>,
    /// Title and class of an issuer's leases, by holder and number.
    pub leases: BTreeMap<(String, u64), (String, String)>,
    /// Who is told how far the recovery is that begins with this.
    pub watched: Watched,
}

impl Kept {
    /// Takes a record as the last of its key.
    pub fn take(&mut self, record: Record) {
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

    /// Makes a change, as a store does.
    pub fn change(&mut self, change: Change) {
        match change {
            Change::Keep(record) => self.take(record),
            Change::Gone(Key::Start) => self.start = None,
            Change::Gone(Key::List) => self.list = None,
            Change::Gone(Key::View) => self.view = None,
            Change::Gone(Key::Epoch) => self.epoch = None,
            Change::Gone(Key::Seat(lease)) => drop(self.seats.remove(&lease)),
            Change::Gone(Key::Session(name)) => drop(self.sessions.remove(&name)),
            Change::Gone(Key::Owed(addr, path)) => drop(self.owed.remove(&(addr, path))),
            Change::Gone(Key::Ttl) => self.ttl = None,
            Change::Gone(Key::Holder(name)) => drop(self.holders.remove(&name)),
            Change::Gone(Key::Lease(holder, lease)) => drop(self.leases.remove(&(holder, lease))),
        }
    }
}

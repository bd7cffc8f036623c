//! The record of traffic: every byte that passed a socket of a viewer or a box, with the time.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// Whose socket it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum End {
    /// A viewer's, connected to the front of this number.
    Viewer(u32),
    /// A box's, by its number.
    Box(u32),
}

/// What passed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum What {
    /// The connection stands.
    Opened,
    /// Bytes that this end read.
    Read(Vec<u8>),
    /// Bytes that this end wrote.
    Wrote(Vec<u8>),
    /// This end has seen the other end close it.
    PeerClosed,
    /// This end is done with it.
    Closed,
}

/// One thing that passed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// When, in nanoseconds from the record's start.
    pub at: u64,
    /// Which connection.
    pub conn: u64,
    /// Whose socket.
    pub end: End,
    /// What.
    pub what: What,
}

/// Something that the rehearsal did to the world, needed to judge what was due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Deed {
    /// A front's list of boxes was written.
    List {
        /// Whose list.
        front: u32,
        /// Boxes that take nothing new by it.
        unready: Vec<u32>,
    },
    /// A box's process started; its list entry said so.
    Started {
        /// Which box.
        id: u32,
    },
    /// A box's process ended.
    Stopped {
        /// Which box.
        id: u32,
    },
    /// A box took a set-up: a session runs there from now on.
    Held {
        /// Which box.
        id: u32,
        /// Its number there.
        session: u64,
        /// ICE user name fragment of the offer.
        ufrag: String,
    },
    /// A session at a box is over, whoever ended it.
    Ended {
        /// Which box.
        id: u32,
        /// Its number there.
        session: u64,
    },
    /// A box's process was stopped, or let go: meanwhile it sends and does nothing.
    Frozen {
        /// Which box.
        id: u32,
        /// It stands still from now on.
        on: bool,
    },
    /// A front's process was ended without warning.
    Killed {
        /// Which front.
        front: u32,
    },
    /// A front was told to stop and takes nothing new.
    Stopping {
        /// Which front.
        front: u32,
    },
    /// A front was made to stand still.
    Stalled {
        /// Which front.
        front: u32,
        /// For so long, in nanoseconds.
        length: u64,
    },
}

/// The record of one run.
#[derive(Debug)]
pub struct Record {
    start: Instant,
    entries: RefCell<Vec<Entry>>,
    deeds: RefCell<Vec<(u64, Deed)>>,
    next: Cell<u64>,
    keep: bool,
}

impl Record {
    /// An empty record.
    pub fn new() -> Rc<Self> {
        Self::make(true)
    }

    /// A record that keeps nothing, for stand-ins that run without end.
    pub fn off() -> Rc<Self> {
        Self::make(false)
    }

    fn make(keep: bool) -> Rc<Self> {
        let (entries, deeds) = (RefCell::default(), RefCell::default());
        Rc::new(Record { start: Instant::now(), entries, deeds, next: Cell::new(0), keep })
    }

    /// Nanoseconds since its start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64
    }

    /// A number for a new connection, noted as opened.
    pub fn open(&self, end: End) -> u64 {
        self.next.set(self.next.get() + 1);
        let conn = self.next.get();
        self.note(conn, end, What::Opened);
        conn
    }

    /// Notes what passed.
    pub fn note(&self, conn: u64, end: End, what: What) {
        if self.keep {
            self.entries.borrow_mut().push(Entry { at: self.now(), conn, end, what });
        }
    }

    /// Notes what the rehearsal did.
    pub fn deed(&self, deed: Deed) {
        if self.keep {
            self.deeds.borrow_mut().push((self.now(), deed));
        }
    }

    /// All that passed, in order.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.borrow().clone()
    }

    /// All that was done, in order.
    pub fn deeds(&self) -> Vec<(u64, Deed)> {
        self.deeds.borrow().clone()
    }
}

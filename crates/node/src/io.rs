//! What goes into the core and what comes out of it.

use micadyke::interface::Nanos;
use micadyke_directory::{Key, Session};
use micadyke_membership::server_report::ServerReport;
use micadyke_recovery::phases::MembershipEvent;
use micadyke_recovery::record::Record;
use std::net::SocketAddr;

/// A connection; never used twice. The shell numbers those of viewers, the core all others, so that one side's numbers
/// are odd and the other's even.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// Something that happened.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Input<'a> {
    /// The part of each server's cold budget that is this node's: see [`micadyke::interface::Event::ColdBudgetShare`].
    Part {
        /// Always.
        always: f64,
        /// Beyond that, for `span` from now.
        leased: f64,
        /// How long.
        span: Nanos,
    },
    /// Another node tells of a server: see [`Output::Tell`].
    Heard(&'a ServerReport),
    /// The view of the fleet tells this.
    Fleet(&'a MembershipEvent),
    /// Sessions of this title or viewer are withdrawn: they end. Answered by [`Output::Left`].
    End(&'a Key),
    /// A viewer connected.
    ViewerOpened {
        /// Its connection.
        conn: ConnId,
    },
    /// Bytes came on a connection of any kind.
    Data {
        /// The connection.
        conn: ConnId,
        /// The bytes.
        bytes: &'a [u8],
    },
    /// A connection that the core asked for is up; for the event bus: its stream is open.
    Up {
        /// The connection.
        conn: ConnId,
    },
    /// A connection is over, or did not come up.
    Closed {
        /// The connection.
        conn: ConnId,
        /// Bytes of it that the operating system had taken.
        written: u64,
        /// It was refused: nothing listens there.
        refused: bool,
    },
    /// The operating system takes no more on a connection to a server for now. Of the messages written to it, those that
    /// begin at or after `written` were dropped; the rest of one that began before goes out by itself. This input comes
    /// right after the turn that wrote them, ahead of any other.
    Blocked {
        /// The connection.
        conn: ConnId,
        /// Bytes of it that the operating system has taken.
        written: u64,
    },
    /// A connection that was blocked takes bytes again, and nothing of what was written to it is left.
    Writable {
        /// The connection.
        conn: ConnId,
    },
    /// The configuration names another address of the event bus.
    BusMoved {
        /// The address.
        addr: SocketAddr,
    },
    /// The node is to end once it owes nothing.
    Stop,
    /// Time went by.
    Wake,
}

/// Something to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// The other nodes should hear this; only where the node was told that there are others ([`crate::Node::has_others`]).
    Tell(ServerReport),
    /// A session stands in the book, or does so no longer; only where there is a directory ([`crate::Node::has_directory`]).
    Booked {
        /// The session, as the directory knows it.
        session: Session,
        /// It stands.
        started: bool,
    },
    /// So many sessions of this title or viewer are left: set-ups that are open, and ends that no server has confirmed.
    Left {
        /// The title or viewer.
        what: Key,
        /// How many.
        sessions: u64,
    },
    /// This is to be kept for the next start; only where there is a store ([`crate::Node::recovers`]).
    Keep(Record),
    /// Write to a connection; to that of a server one whole message.
    Write {
        /// The connection.
        conn: ConnId,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Close a connection once what was written to it is out; nothing is heard of it any more. That of a server which is
    /// blocked is aborted: a set-up of which a part was taken must not be completed.
    Close {
        /// The connection.
        conn: ConnId,
    },
    /// Open a connection to a server.
    Connect {
        /// Its number.
        conn: ConnId,
        /// Where to.
        addr: SocketAddr,
    },
    /// Open a stream of the event bus: its content is handed in as [`Input::Data`].
    Listen {
        /// Its number.
        conn: ConnId,
        /// Where to.
        addr: SocketAddr,
        /// The last event that is held.
        last: u64,
    },
    /// Read nothing from a connection for so long.
    Pause {
        /// The connection.
        conn: ConnId,
        /// How long.
        span: Nanos,
    },
}

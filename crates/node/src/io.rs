//! Inputs and outputs of the core.

use micadyke::interface::Nanos;
use micadyke_directory::{Key, Session};
use micadyke_membership::server_report::ServerReport;
use micadyke_recovery::phases::MembershipEvent;
use micadyke_recovery::record::Record;
use std::net::SocketAddr;

/// The id of a connection, never reused. The shell assigns odd numbers to viewers' connections, the core even ones to
/// others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// How a connection ended, or why it was not established.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The peer closed it, and everything that the peer had sent before was read.
    Finished,
    /// It broke or could not be established. The peer may have sent more than was read.
    Broken,
    /// It was refused: nothing listens there.
    Refused,
}

/// An input of the core.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Input<'a> {
    /// This node's share of each server's cold budget: see [`micadyke::interface::Event::ColdBudgetShare`].
    ColdBudgetShare {
        /// The share that is always available.
        guaranteed: f64,
        /// The additional leased share.
        leased: f64,
        /// Remaining time of the lease.
        lease_duration: Nanos,
    },
    /// Another node reports about a server: see [`Output::NotifyPeers`].
    ServerReport(&'a ServerReport),
    /// The membership has changed.
    Membership(&'a MembershipEvent),
    /// The sessions of this title or viewer have to end. Answered by [`Output::SessionsLeft`].
    EndSessions(&'a Key),
    /// A viewer connected.
    ViewerConnected {
        /// The connection.
        conn: ConnId,
    },
    /// A viewer has closed its connection or its half of it. What is received on it from now on was sent before;
    /// It may be repeated; [`Input::Closed`] follows.
    ViewerLeft {
        /// The connection.
        conn: ConnId,
    },
    /// Bytes were received on a connection of any kind.
    Data {
        /// The connection.
        conn: ConnId,
        /// The bytes.
        bytes: &'a [u8],
    },
    /// A connection that the core requested is established.
    Connected {
        /// The connection.
        conn: ConnId,
    },
    /// The event bus has answered on a connection: its stream is open.
    StreamOpened {
        /// The connection.
        conn: ConnId,
    },
    /// A connection was closed or could not be established.
    Closed {
        /// The connection.
        conn: ConnId,
        /// Bytes that the operating system had accepted for writing.
        written: u64,
        /// How it ended.
        end: ConnectionEnd,
    },
    /// The operating system accepts no more bytes on a connection to a server for now. Messages that begin at or after byte
    /// `written` were dropped; the shell writes the rest of one that began before. This input directly follows the one whose
    /// outputs wrote the messages.
    Blocked {
        /// The connection.
        conn: ConnId,
        /// Bytes that the operating system has accepted.
        written: u64,
    },
    /// A blocked connection is writable again, and all that was written to it has been sent.
    Writable {
        /// The connection.
        conn: ConnId,
    },
    /// The configuration contains a new address of the event bus.
    BusMoved {
        /// The address.
        addr: SocketAddr,
    },
    /// The node has to end once all requests are answered.
    Stop,
    /// The time of [`crate::Node::wake_at`] was reached.
    Timer,
}

/// An output of the core.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send this report to the other nodes; only after [`crate::Node::enable_peers`].
    NotifyPeers(ServerReport),
    /// A session started or ended; only after [`crate::Node::enable_directory`].
    IndexSession {
        /// Its entry in the directory.
        session: Session,
        /// Whether it started.
        playing: bool,
    },
    /// The number of remaining sessions of a title or viewer: open set-ups, and ends that no server has confirmed.
    SessionsLeft {
        /// The title or viewer.
        key: Key,
        /// The number of sessions.
        count: u64,
    },
    /// Save this record for the next start; only after [`crate::Node::start_recovery`].
    Save(Record),
    /// Write to a connection; to a server always one whole message.
    Write {
        /// The connection.
        conn: ConnId,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Close a connection after all written bytes have been sent; no more inputs follow for it. A blocked connection to a
    /// server is aborted instead, as a partly sent set-up must not be completed.
    Close {
        /// The connection.
        conn: ConnId,
    },
    /// Open a connection to a server.
    Connect {
        /// The id of the new connection.
        conn: ConnId,
        /// The server's address.
        addr: SocketAddr,
    },
    /// Open a stream of the event bus: [`Input::Connected`] and [`Input::StreamOpened`] follow, then its content as
    /// [`Input::Data`].
    Subscribe {
        /// The id of the new connection.
        conn: ConnId,
        /// The address of the bus.
        addr: SocketAddr,
        /// The number of the last applied event.
        last: u64,
    },
    /// Do not read from a connection for some time.
    PauseReading {
        /// The connection.
        conn: ConnId,
        /// Length of the pause.
        duration: Nanos,
    },
}

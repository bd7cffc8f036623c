//! Inputs and outputs of the view.

use crate::Nanos;
use crate::identity::Member;
use crate::message::Message;
use crate::server_report::ServerReport;
use crate::share::BudgetShare;
use crate::status::RecoveryStatus;
use std::net::SocketAddr;

/// An input of the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Input<'a> {
    /// A datagram has arrived.
    Datagram {
        /// The address of the sender, to which requests of tools are answered.
        from: SocketAddr,
        /// The bytes.
        bytes: &'a [u8],
    },
    /// [`crate::View::wake_at`] is due.
    Timer,
    /// This member leaves the fleet: it notifies the others and sends nothing afterwards.
    Leave,
    /// This member reports something about a server to the others.
    PublishReport(&'a ServerReport),
    /// The machine of a member refused the connection that [`Output::ProbeAddress`] asked for.
    ConnectionRefused {
        /// The member.
        name: &'a str,
        /// When the probe was sent.
        probed_at: Nanos,
    },
    /// The progress of this member's recovery after a power loss, for operators' tools; `None`: it is in service.
    Recovery(Option<&'a RecoveryStatus>),
    /// Sends a message of another package. It is sent at once or dropped, which [`crate::View::message_counts`] counts; like
    /// any datagram it may be lost.
    SendMessage(&'a Message),
}

/// An output of the view.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// The address.
        to: SocketAddr,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Probe an address. If its machine reports that nobody listens there, [`Input::ConnectionRefused`] is expected.
    ProbeAddress {
        /// The member that is believed to be dead.
        name: String,
        /// Its address.
        to: SocketAddr,
    },
    /// The view has changed.
    Changed(Change),
    /// A message of another package has arrived. Its sender is alive by this view, with the same start number.
    Message(Message),
}

/// A change of the view.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A member has joined.
    Up(Member),
    /// A member has failed: it did not answer, and has not left.
    Down(Member),
    /// A member has left.
    Left(Member),
    /// A member does not answer and may soon be declared down. Until then it counts as alive.
    Suspected(Member),
    /// A suspected member has shown that it is alive.
    Cleared(Member),
    /// A member has another start under the same name, or has rejoined.
    Renewed {
        /// The previous identity.
        old: Member,
        /// The new identity.
        new: Member,
    },
    /// The others had declared this member down; it has rejoined with this identity.
    Rejoined(Member),
    /// A later start under this member's name is alive. This process stays silent until the later one is gone.
    Superseded {
        /// The later start number.
        by: u64,
    },
    /// Another member has reported something about a server.
    ServerReported {
        /// The report.
        report: ServerReport,
        /// Its age.
        age: Nanos,
    },
    /// The share of the common budget that this member may use has changed.
    ShareChanged(BudgetShare),
    /// The view is settled: it has not changed for a while, and no other member disagrees.
    Settled {
        /// Number of members that are alive.
        members: usize,
        /// The digest of the view.
        digest: u64,
    },
    /// The view is no longer settled.
    Unsettled(Unsettled),
    /// This process was stalled. Missing answers during that time are ignored.
    Stalled {
        /// The duration of the stall.
        duration: Nanos,
    },
}

/// Why a view is not settled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unsettled {
    /// It has changed recently.
    Changed,
    /// This member has a different view.
    Disagreement(String),
    /// There should be other members, but none answers.
    NoContact,
    /// This member is superseded or has left.
    Inactive,
}

/// The state of a member in the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer, but still has time to do so.
    Suspect,
    /// It has failed.
    Down,
    /// It has left.
    Left,
}

/// Counters since the start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams accepted.
    pub taken: u64,
    /// Datagrams not sent because of the rate limit.
    pub held_back: u64,
    /// Datagrams dropped by reason, in the order of [`crate::frame::Dropped`].
    pub dropped: [u64; 6],
    /// Datagrams dropped because a later start of the sender is known.
    pub outranked: u64,
    /// Members declared down.
    pub given_up: u64,
    /// How often the others declared this member down although it was alive.
    pub rejoined: u64,
    /// How often this process was stalled.
    pub stood_still: u64,
}

/// The extensions of the library's SWIM protocol. Tests and measurements switch one off to show its effect.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Feature {
    /// A process that was stalled suspects nobody for answers missed meanwhile.
    StallGuard,
    /// Suspected members that send a message are notified of the suspicion.
    Buddy,
    /// A member with a different view is asked which members are alive.
    Reconcile,
    /// It is also told which members are gone.
    NameRemoved,
    /// Missing members are called even if others are there.
    CallMissing,
    /// Others are asked to confirm a suspicion, which shortens it.
    Confirm,
    /// The address of a suspect is probed; a refused connection ends the suspicion.
    Probe,
    /// Both `Confirm` and `Probe`.
    Suspicion,
}

impl std::fmt::Display for Unsettled {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unsettled::Changed => f.write_str("changed a moment ago"),
            Unsettled::Disagreement(name) => write!(f, "{name} sees something else"),
            Unsettled::NoContact => f.write_str("nobody answers"),
            Unsettled::Inactive => f.write_str("superseded by a later start, or left"),
        }
    }
}

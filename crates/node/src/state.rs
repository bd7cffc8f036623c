//! The state of a node: sessions, attempts, connections and servers.
//!
//! [`crate::core`] handles inputs and runs the module on this state; `servers` and `viewers` handle the two kinds of peers.

use crate::blocked::{Subject, WrittenMessage};
use crate::bus::Follower;
use crate::coordination::Coordination;
use crate::io::{ConnId, Output};
use crate::limits::viewers::{EvictionCandidate, ReleaseCandidate, Usage, Withdrawals};
use crate::list::{ServerIds, ServerRow};
use crate::listed_servers::ListedServers;
use crate::liveness::SignsOfLife;
use crate::reconnect::Reconnect;
use crate::replacement::Replacement;
use crate::sessions::Sessions;
use micadyke::interface::*;
use micadyke_directory as directory;
use micadyke_isup as isup;
use micadyke_recovery::phases::{Phase, RecoveryPhases};
use micadyke_rtsp::{Message, Parser};
use micadyke_settings::{ConnectionSettings, Names};
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Causes of releases that the node itself sends (ITU-T Q.850).
pub mod cause {
    /// Refused: a retry does no harm.
    pub const REFUSED: u8 = 42;
    /// Failed.
    pub const FAILED: u8 = 41;
    /// The set-up was withdrawn or the session ended by request.
    pub const GIVEN_UP: u8 = 16;
    /// The message is invalid.
    pub const INVALID_MESSAGE: u8 = 111;
}

/// The stage of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// No attempt is in flight.
    New,
    /// An attempt waits for its connection; nothing has been written.
    Waiting { server: ServerId, link: ConnId },
    /// An attempt was written, starting at byte `offset` of its connection.
    InFlight { server: ServerId, link: ConnId, offset: u64, sent_at: Nanos },
    /// The session has been playing since this time; 0 if it was taken over while playing.
    Playing { server: ServerId, link: Option<ConnId>, since: Nanos },
}

/// A session, from its request to its end.
#[derive(Debug)]
pub(crate) struct Session {
    /// The set-up of its viewer.
    pub(crate) request: SessionRequest,
    pub(crate) description: Vec<u8>,
    pub(crate) viewer: ConnId,
    /// The name of its viewer if the set-up contains one.
    pub(crate) viewer_name: String,
    /// Its entry in the directory.
    pub(crate) indexed: Option<directory::Session>,
    pub(crate) rung: Option<Rung>,
    /// Number of the attempt; a timer of an earlier attempt is ignored.
    pub(crate) attempt: u32,
    /// When the attempt times out.
    pub(crate) deadline: Nanos,
    pub(crate) stage: Stage,
    /// A set-up was sent, and nothing proves that it never ran.
    pub(crate) may_have_run: bool,
    /// Reports that arrived before the answer, the last of each kind.
    pub(crate) early_reports: Vec<(ReportKind, f64)>,
}

impl Session {
    /// A session requested on a viewer's connection, without an attempt so far.
    pub(crate) fn new(request: &SessionRequest, viewer: ConnId, stage: Stage) -> Self {
        Session {
            request: request.clone(),
            description: Vec::new(),
            viewer,
            viewer_name: String::new(),
            indexed: None,
            rung: None,
            attempt: 0,
            deadline: request.give_up_at,
            stage,
            may_have_run: matches!(stage, Stage::Playing { .. }),
            early_reports: Vec::new(),
        }
    }
}

/// The purpose of a timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TimerKind {
    Module(u64),
    Attempt(SessionId, u32),
    Connect(ConnId),
    /// A withdrawal waits for a blocked connection.
    Withdrawal(ConnId),
    /// A stopping node answers all open set-ups.
    FinalAnswers,
    /// The periodic maintenance.
    Maintenance,
}

/// Counters since the start of the node.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Set-ups admitted.
    pub taken: u64,
    /// Set-ups answered: the session plays.
    pub answered: u64,
    /// Set-ups refused by the module.
    pub refused: u64,
    /// Set-ups failed by the module.
    pub failed: u64,
    /// Set-ups withdrawn by viewers.
    pub given_up: u64,
    /// Set-ups refused without asking the module, as too many were open.
    pub turned_away: u64,
    /// Unreadable or invalid messages.
    pub unsound: u64,
    /// Attempts written to servers.
    pub attempts: u64,
    /// Attempts that ended without a session, by outcome: error, full, timed out, no connection, reset, cancelled, not
    /// sent.
    pub ended: [u64; 7],
    /// Viewers' connections closed by the node.
    pub closed: u64,
    /// Connections opened to servers.
    pub links: u64,
    /// Servers lost while sessions played there.
    pub lost_servers: u64,
}

/// A front node.
#[derive(Debug)]
pub struct Node<D> {
    pub(crate) decide: D,
    pub(crate) names: Names,
    pub(crate) connection_settings: ConnectionSettings,
    pub(crate) cells: u32,
    pub(crate) rungs: usize,
    pub(crate) now: Nanos,
    pub(crate) random: StdRng,
    pub(crate) out: Vec<Output>,
    /// Messages to servers written while handling the current input.
    pub(crate) turn_writes: Vec<WrittenMessage>,
    pub(crate) events: VecDeque<Event>,
    pub(crate) timers: BTreeMap<(Nanos, u64), TimerKind>,
    pub(crate) last_timer: u64,
    pub(crate) last_conn: u64,
    pub(crate) viewers: BTreeMap<ConnId, Viewer>,
    pub(crate) links: BTreeMap<ConnId, Link>,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) server_ids: ServerIds,
    /// The list as received.
    pub(crate) listed: ListedServers,
    pub(crate) sessions: Sessions,
    /// Releases that wait for a connection: since when, and the message.
    pub(crate) releases: VecDeque<(Nanos, isup::Message)>,
    pub(crate) max_viewers: usize,
    pub(crate) max_links: usize,
    pub(crate) follower: Follower,
    /// There are other nodes to exchange reports with.
    pub(crate) has_peers: bool,
    /// The version of the server list.
    pub(crate) list_version: u64,
    /// Servers that drain according to other nodes only, and the list version of their reports.
    pub(crate) reported_draining: BTreeMap<ServerId, u64>,
    /// While the node recovers from a restart, its module has no servers.
    pub(crate) recovery: Option<RecoveryState>,
    /// Sessions are reported to a directory.
    pub(crate) indexes_sessions: bool,
    /// Sessions ended through the directory whose server has not confirmed their end.
    pub(crate) unconfirmed: BTreeMap<SessionId, (ServerId, directory::Session)>,
    /// Lists are saved for the next start.
    pub(crate) saves_state: bool,
    /// Servers count as started at this time or later.
    pub(crate) min_started_at: Nanos,
    /// Time after which a started server is warm.
    pub(crate) cold_for: Nanos,
    /// Coordinates the preferred servers and the probes of silent servers with the other nodes.
    pub(crate) coordination: Option<Coordination>,
    /// Token bucket of probes: the available ones, and when that was computed.
    pub(crate) probe_tokens: (f64, Nanos),
    pub(crate) stopping_since: Option<Nanos>,
    pub(crate) ready: bool,
    pub(crate) counts: Counts,
    pub(crate) status_logged_at: Nanos,
    /// When a fault of the event bus was last logged.
    pub(crate) outage_logged_at: Nanos,
}

/// State of the recovery after a restart.
#[derive(Debug)]
pub(crate) struct RecoveryState {
    pub(crate) phases: RecoveryPhases,
    /// The phase that was last logged.
    pub(crate) logged_phase: Phase,
    /// Servers that were probed.
    pub(crate) probed: Vec<ServerId>,
    /// Playing sessions that were handed over meanwhile.
    pub(crate) adopted: Vec<Event>,
}

/// A connection to a server.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) server: ServerId,
    pub(crate) up: bool,
    /// When the attempt to establish it began.
    pub(crate) called_at: Nanos,
    /// It was opened after a release may have been lost: its server repeats the release on it.
    pub(crate) repeats_releases: bool,
    /// The process at its other end has certainly had the address since then; 0: it is the listed server.
    pub(crate) process_since: Nanos,
    /// When it was established; 0 before.
    pub(crate) connected_at: Nanos,
    pub(crate) parser: Parser,
    /// Attempts that wait for it or are in flight on it.
    pub(crate) open: BTreeSet<SessionId>,
    /// Bytes passed to the shell for writing.
    pub(crate) bytes_sent: u64,
    /// The operating system accepts no more bytes on it for now.
    pub(crate) blocked: bool,
    /// Messages that wait while the connection is blocked, and their bytes.
    pub(crate) queued: VecDeque<(Subject, Message)>,
    pub(crate) backlog: usize,
    /// The message that was accepted in part, unless it is a set-up.
    pub(crate) partly_sent: Option<Message>,
    /// Since when a withdrawal has been waiting among them.
    pub(crate) withdrawal_since: Option<Nanos>,
    /// When something was last received.
    pub(crate) last_received: Nanos,
    /// When it was last used.
    pub(crate) last_used: Nanos,
    /// Since when a partial message has been waiting for its rest.
    pub(crate) partial_since: Option<Nanos>,
    /// An attempt on it timed out without any data: no new attempts are sent on it.
    pub(crate) retired: bool,
}

/// A server of the list and its state.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) row: ServerRow,
    pub(crate) links: Vec<ConnId>,
    /// Sessions that play on it.
    pub(crate) playing: BTreeSet<SessionId>,
    /// Messages that wait for a connection.
    pub(crate) queue: VecDeque<Message>,
    /// When something was last received from it.
    pub(crate) last_received: Nanos,
    /// Which process its signs of life come from.
    pub(crate) signs_of_life: SignsOfLife,
    /// Consecutive failed connection attempts.
    pub(crate) failed_calls: u32,
    /// Time of the earliest next connection attempt.
    pub(crate) next_call_at: Nanos,
    /// Since when it has been without a connection for want of room, although sessions play on it.
    pub(crate) waits_since: Option<Nanos>,
    /// A further connection is due, on which the server repeats a release that may have been lost.
    pub(crate) reconnect: Option<Reconnect>,
    /// Set-ups avoid it until then, as connections failed.
    pub(crate) avoid_until: Nanos,
    /// The server that has its address since it was removed from the list.
    pub(crate) replacement: Option<Replacement>,
    /// It drains according to other nodes only.
    pub(crate) draining_by_report: bool,
    /// The reachability that the module was last told.
    pub(crate) reachability: Reachability,
}

/// A viewer's connection.
#[derive(Debug)]
pub(crate) struct Viewer {
    pub(crate) parser: isup::Parser,
    /// It has closed its connection, and no answer reaches it any more.
    pub(crate) has_left: bool,
    /// Unanswered set-ups that were received on it.
    pub(crate) open: BTreeSet<SessionId>,
    pub(crate) connected_at: Nanos,
    /// Time of its last valid message, or of its connection.
    pub(crate) last_message_at: Nanos,
    /// It has sent a valid message.
    pub(crate) has_sent: bool,
    /// It has sent a set-up.
    pub(crate) has_requested: bool,
    /// A session that was requested on it has played.
    pub(crate) has_played: bool,
    /// Number of playing sessions that were requested on it.
    pub(crate) playing: usize,
    /// Number of invalid messages.
    pub(crate) invalid_messages: u32,
    /// Consecutive withdrawals.
    pub(crate) withdrawals: Withdrawals,
    /// Since when a partial message has been waiting for its rest.
    pub(crate) partial_since: Option<Nanos>,
}

impl Viewer {
    pub(crate) fn release_candidate(&self) -> ReleaseCandidate {
        let (playing, has_played, sent_invalid) = (self.playing, self.has_played, self.invalid_messages > 0);
        let (usage, last_message_at) = (self.usage(), self.last_message_at);
        ReleaseCandidate { playing, has_played, usage, sent_invalid, last_message_at }
    }

    pub(crate) fn eviction_candidate(&self) -> EvictionCandidate {
        EvictionCandidate {
            idle: self.open.is_empty(),
            usage: self.usage(),
            last_message_at: self.last_message_at,
        }
    }

    fn usage(&self) -> Usage {
        match (self.playing > 0, self.has_requested, self.has_sent) {
            (true, ..) => Usage::Sessions,
            (false, true, _) => Usage::Requests,
            (false, false, true) => Usage::Tests,
            (false, false, false) => Usage::Silent,
        }
    }

    /// Records that a set-up was answered.
    pub(crate) fn request_answered(&mut self, id: SessionId) {
        self.open.remove(&id);
        self.withdrawals = Withdrawals::default();
    }

    /// Records that a set-up was withdrawn. Returns whether the viewer has withdrawn too many in succession.
    pub(crate) fn request_withdrawn(&mut self, id: SessionId, now: Nanos) -> bool {
        self.open.remove(&id);
        self.withdrawals.record(now);
        self.withdrawals.too_many() && self.open.is_empty()
    }

    /// Records that a session requested on it plays.
    pub(crate) fn session_started(&mut self) {
        (self.has_played, self.playing) = (true, self.playing + 1);
    }
}

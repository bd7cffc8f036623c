//! The books that both sides and the turn share: sessions, attempts, connections, servers, and the node that holds them.
//! Nothing here depends on who writes in them: [`crate::core`] has the turn, `servers` and `viewers` the two sides.

use crate::blocked::{About, Handed};
use crate::bus::Follower;
use crate::choosing::Choosing;
use crate::io::{ConnId, Output};
use crate::limits::viewers::{Bearer, Idler, Use, Withdrawals};
use crate::list::{Numbers, Row};
use micadyke::interface::*;
use micadyke_directory as directory;
use micadyke_isup as isup;
use micadyke_recovery::phases::{Phase, RecoveryPhases};
use micadyke_rtsp::{Message, Parser};
use micadyke_settings::{ConnectionSettings, Names};
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Causes of releases that the node words itself (ITU-T Q.850).
pub mod cause {
    /// Refused: trying again is harmless.
    pub const REFUSED: u8 = 42;
    /// Failed.
    pub const FAILED: u8 = 41;
    /// A set-up is given up.
    pub const GIVEN_UP: u8 = 16;
    /// A set-up makes no sense.
    pub const UNSOUND: u8 = 111;
}

/// Where a session stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// No attempt is out.
    New,
    /// An attempt waits for its connection; nothing was written.
    Waiting { server: ServerId, link: ConnId },
    /// An attempt was written; `from` is where it begins among the bytes of its connection.
    Out { server: ServerId, link: ConnId, from: u64, at: Nanos },
    /// It plays since then; 0: since before the node knew of it.
    Standing { server: ServerId, link: Option<ConnId>, since: Nanos },
}

#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) class: ClassId,
    pub(crate) title: TitleId,
    pub(crate) description: Vec<u8>,
    pub(crate) viewer: ConnId,
    /// Its viewer's name, where the set-up tells one.
    pub(crate) name: String,
    /// As the directory was told of it.
    pub(crate) indexed: Option<directory::Session>,
    pub(crate) rung: Option<Rung>,
    /// Number of the attempt, so that an old attempt's timer is told from a new one's.
    pub(crate) attempt: u32,
    /// When the attempt is given up.
    pub(crate) due: Nanos,
    pub(crate) stage: Stage,
    /// Notes that came ahead of the answer, the last of each kind.
    pub(crate) early: Vec<(ReportKind, f64)>,
}

impl Session {
    /// A session that came by a viewer's connection, nothing yet known to be done about it.
    pub(crate) fn new(wish: &SessionRequest, viewer: ConnId, stage: Stage) -> Self {
        Session {
            class: wish.class,
            title: wish.title.clone(),
            description: Vec::new(),
            viewer,
            name: String::new(),
            indexed: None,
            rung: None,
            attempt: 0,
            due: wish.give_up_at,
            stage,
            early: Vec::new(),
        }
    }
}

/// What a timer was set for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Due {
    Module(u64),
    Attempt(SessionId, u32),
    Connect(ConnId),
    /// A withdrawal waits for a connection that takes no bytes.
    Withdrawal(ConnId),
    /// A stopping node answers whatever is still open.
    Last,
    Tidy,
}

/// Counts since the node's start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Set-ups taken.
    pub taken: u64,
    /// Answered: the session stands.
    pub answered: u64,
    /// Refused by the module.
    pub refused: u64,
    /// Failed by the module.
    pub failed: u64,
    /// Given up by viewers.
    pub given_up: u64,
    /// Turned away at the door: too many open on a connection.
    pub turned_away: u64,
    /// Messages that could not be read or made no sense.
    pub unsound: u64,
    /// Attempts written to servers.
    pub attempts: u64,
    /// Attempts that ended without an answer, by outcome: error, full, timed out, no connection, reset, cancelled,
    /// not sent.
    pub ended: [u64; 7],
    /// Connections of viewers closed by the node.
    pub closed: u64,
    /// Connections to servers opened.
    pub links: u64,
    /// Servers found gone while sessions stood there.
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
    /// Messages to servers among them.
    pub(crate) handed: Vec<Handed>,
    pub(crate) events: VecDeque<Event>,
    pub(crate) timers: BTreeMap<(Nanos, u64), Due>,
    pub(crate) timer: u64,
    pub(crate) conn: u64,
    pub(crate) viewers: BTreeMap<ConnId, Viewer>,
    pub(crate) links: BTreeMap<ConnId, Link>,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) numbers: Numbers,
    pub(crate) sessions: BTreeMap<SessionId, Session>,
    /// Releases that no connection could take: since when, and the message.
    pub(crate) releases: VecDeque<(Nanos, isup::Message)>,
    pub(crate) most_viewers: usize,
    pub(crate) most_links: usize,
    pub(crate) follower: Follower,
    /// There are other nodes to tell, and to hear of.
    pub(crate) others: bool,
    /// The version of the list.
    pub(crate) version: u64,
    /// Servers that take nothing new by what others say alone, and the version of the list that said so.
    pub(crate) hearsay: BTreeMap<ServerId, u64>,
    /// It comes back from before: its module is told of no server yet.
    pub(crate) recovering: Option<Recovering>,
    /// There is a directory to tell of sessions.
    pub(crate) directed: bool,
    /// Sessions that a withdrawal ended and whose server has not confirmed it.
    pub(crate) unconfirmed: BTreeMap<SessionId, (ServerId, directory::Session)>,
    /// It keeps lists for its next start.
    pub(crate) keeps: bool,
    /// Servers count as started then at the earliest.
    pub(crate) cold_from: Nanos,
    /// A started server is warm after this at the latest.
    pub(crate) cold_for: Nanos,
    /// It chooses with the others which servers it works with first, and who looks at silent ones.
    pub(crate) choosing: Option<Choosing>,
    /// Looks at servers for what others found: how many are left, as of then.
    pub(crate) looks: (f64, Nanos),
    pub(crate) stopping: Option<Nanos>,
    pub(crate) ready: bool,
    pub(crate) counts: Counts,
    pub(crate) told_at: Nanos,
}

/// A node's recovery.
#[derive(Debug)]
pub(crate) struct Recovering {
    pub(crate) phases: RecoveryPhases,
    /// The phase that was last told of.
    pub(crate) told: Phase,
    /// Servers that were asked whether they live.
    pub(crate) asked: Vec<ServerId>,
    pub(crate) adopted: Vec<Event>,
}

/// A connection to a server.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) server: ServerId,
    pub(crate) up: bool,
    pub(crate) parser: Parser,
    /// Attempts that wait for it, or are out on it.
    pub(crate) open: BTreeSet<SessionId>,
    /// Bytes handed over for writing.
    pub(crate) sent: u64,
    /// The operating system takes nothing more on it for now.
    pub(crate) blocked: bool,
    /// Messages that wait until it does, and their bytes.
    pub(crate) pending: VecDeque<(About, Message)>,
    pub(crate) backlog: usize,
    /// The message that was taken in part, unless it is a set-up.
    pub(crate) begun: Option<Message>,
    /// Since when a withdrawal has waited among them.
    pub(crate) withdrawing: Option<Nanos>,
    /// When something last came.
    pub(crate) heard: Nanos,
    /// When it was last of use.
    pub(crate) used: Nanos,
    /// Since when half a message has waited for its rest.
    pub(crate) half: Option<Nanos>,
    /// An attempt on it went without an answer: nothing new goes out on it.
    pub(crate) retired: bool,
}

/// A server as the list names it, and what is known of it.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) row: Row,
    pub(crate) links: Vec<ConnId>,
    /// Sessions that play there.
    pub(crate) standing: BTreeSet<SessionId>,
    /// Messages that wait for a connection.
    pub(crate) queue: VecDeque<Message>,
    /// When it last showed that it lives.
    pub(crate) heard: Nanos,
    /// Calls in a row that did not come up.
    pub(crate) calls: u32,
    /// Not called before.
    pub(crate) call_at: Nanos,
    /// Calls did not come up, so that set-ups stay away until then.
    pub(crate) lost_until: Nanos,
    /// Its state is by what others say alone.
    pub(crate) hearsay: bool,
    /// What the module was last told of the way there.
    pub(crate) reach: Reachability,
}

/// A viewer's connection.
#[derive(Debug)]
pub(crate) struct Viewer {
    pub(crate) parser: isup::Parser,
    /// Set-ups that came on it and are owed an answer.
    pub(crate) open: BTreeSet<SessionId>,
    pub(crate) since: Nanos,
    /// When it last sent a sound message, or connected.
    pub(crate) last: Nanos,
    /// It has sent a sound message.
    pub(crate) spoke: bool,
    /// It brought a set-up.
    pub(crate) asked: bool,
    /// A session that came by it has stood.
    pub(crate) proven: bool,
    /// Sessions that came by it and stand.
    pub(crate) standing: usize,
    /// Unsound messages so far.
    pub(crate) unsound: u32,
    /// Set-ups withdrawn in a row.
    pub(crate) withdrawn: Withdrawals,
    /// Since when half a message has waited for its rest.
    pub(crate) half: Option<Nanos>,
}

impl Viewer {
    pub(crate) fn bearer(&self) -> Bearer {
        let (standing, proven, unsound) = (self.standing, self.proven, self.unsound > 0);
        Bearer { standing, proven, used: self.used(), unsound, last: self.last }
    }

    pub(crate) fn idler(&self) -> Idler {
        Idler { free: self.open.is_empty(), used: self.used(), last: self.last }
    }

    fn used(&self) -> Use {
        match (self.standing > 0, self.asked, self.spoke) {
            (true, ..) => Use::Sessions,
            (false, true, _) => Use::SetUps,
            (false, false, true) => Use::Tests,
            (false, false, false) => Use::Silent,
        }
    }

    /// It was told the answer to a set-up.
    pub(crate) fn answered(&mut self, id: SessionId) {
        self.open.remove(&id);
        self.withdrawn = Withdrawals::default();
    }

    /// It withdrew a set-up. Whether it does nothing but withdraw what it has just asked for.
    pub(crate) fn withdrew(&mut self, id: SessionId, now: Nanos) -> bool {
        self.open.remove(&id);
        self.withdrawn.another(now);
        self.withdrawn.too_many() && self.open.is_empty()
    }

    /// A session that came by it stands.
    pub(crate) fn stood(&mut self) {
        (self.proven, self.standing) = (true, self.standing + 1);
    }
}

//! The interface of the decision module: settings, events and actions.
//!
//! # Contract
//!
//! * Time is nanoseconds of one clock that never runs backwards; [`Nanos`] is a point or a span of it.
//! * The embedding front calls `Controller::handle` once for each event, in the order in which the events
//!   reached it, and carries out the returned actions in their order, at that same time.
//! * Each [`Action::Send`] comes back as exactly one [`Event::Ended`]; [`Event::Started`] precedes it when
//!   the session came to play. An id of a session is never used twice.
//! * Each [`Event::Request`] is owed one final answer: a set-up that starts, [`Action::Refuse`] or
//!   [`Action::Fail`]. The front ends the session's books when it has carried the answer out.
//! * The front owns connections, sockets and clocks; the controller owns every choice.
//! * If the contract is not kept (events out of order, unknown ids, figures that are no numbers) the
//!   controller ignores what it cannot place. It never panics, but the rules then hold only for what it saw.

use std::sync::Arc;

/// A point in time, or a span of it, in nanoseconds.
pub type Nanos = u64;

/// A media server; stays the same when its process restarts.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// One try of a viewer to get a session; never used twice.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// A title that viewers watch; equal for equal titles.
#[derive(Debug, Default, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TitleId(pub Arc<str>);

/// Index of a class in [`Settings::classes`].
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// A rung of the ladder, 0 the lowest.
pub type Rung = usize;

/// Whether a class may be set up more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// May be set up again without harm.
    Idempotent,
    /// May be set up again within `window`, at servers of the same scope.
    Deduplicated {
        /// Which servers recognise a repeat.
        scope: Scope,
        /// How long after an attempt's send a repeat is recognised.
        window: Nanos,
    },
    /// Must never be set up twice.
    AtMostOnce,
}

/// The servers that recognise a repeated set-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Every server.
    All,
    /// Servers of the same zone.
    Zone,
    /// Servers of the same cell.
    Cell,
}

/// A class of sessions.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Worth of one second at a rung of worth 1.
    pub worth: f64,
    /// A set-up is wanted within this time.
    pub aim: Nanos,
    /// Whether a set-up may be repeated.
    pub effect: Effect,
    /// Its rates over those of the ladder.
    pub scale: f64,
    /// The lowest rung that may be set.
    pub floor: Rung,
    /// The highest rung of the class.
    pub top: Rung,
    /// Sessions of one title that one front may hold; 0: no cap.
    pub seats: u32,
}

/// One rung of the ladder.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    /// Its rate, kB a second.
    pub rate: f64,
    /// What it earns, as a share of the class's worth.
    pub worth: f64,
}

/// How the list of servers reaches the front.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// Changes arrive unprompted.
    #[default]
    Pushed,
    /// Changes arrive after [`Action::Subscribe`].
    Subscribed,
}

/// A stated budget of further attempts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Further attempts always allowed.
    pub spare: f64,
    /// Further attempts allowed for each request taken.
    pub share: f64,
    /// The stretch over which both are counted.
    pub window: Nanos,
}

/// What a controller is told at its start.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Settings {
    /// How many fronts there are.
    pub fronts: u32,
    /// The zone of this front.
    pub zone: u32,
    /// The classes of sessions.
    pub classes: Vec<Class>,
    /// The ladder, lowest rung first, rates rising.
    pub ladder: Vec<Step>,
    /// Number of cells that servers stand in.
    pub cells: u32,
    /// Number of racks; a server's rack is its cell modulo this.
    pub racks: u32,
    /// Streams that a server of each kind runs at most.
    pub streams_by_kind: Vec<u32>,
    /// Mean uplink of a rack, kB a second; 0: unknown.
    pub uplink: f64,
    /// A server's link for each unit of its weight, kB a second; 0: unknown.
    pub link_per_weight: f64,
    /// Weights tell sizes (else they are all the same, or change with load).
    pub weights_tell_size: bool,
    /// A server turns set-ups away while so much of its link is asked; 0: never.
    pub full_from: f64,
    /// A change of rung costs so many seconds of worth.
    pub change_cost_s: f64,
    /// How late notes are.
    pub note_delay: Nanos,
    /// Time between fullness notes; 0: there are none.
    pub note_period: Nanos,
    /// How the list comes.
    pub listing: Listing,
    /// Attempts at most for one request.
    pub max_attempts: u32,
    /// Clients are told when to come back.
    pub may_advise: bool,
    /// The longest wait that a client obeys.
    pub max_come_back: Nanos,
    /// Price of crossing zones with every session, as a share of all worth.
    pub cross_price: f64,
    /// Price of a new connection with every session, as a share of all worth.
    pub handshake_price: f64,
    /// A subscribed front must have asked within this time.
    pub ask_within: Nanos,
    /// A started server is warm after this at the latest.
    pub cold_for: Nanos,
    /// A started server has at least this share of its capacity.
    pub cold_from: f64,
    /// A cold server falls when sent more than this multiple of its pace.
    pub fall_multiple: f64,
    /// For this long.
    pub fall_window: Nanos,
    /// Budget of further attempts, where one is stated.
    pub retry_budget: Option<RetryBudget>,
}

/// State of a server in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// Takes sessions.
    Ready,
    /// Wraps up; nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// A server as the list names it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerEntry {
    /// Which server.
    pub server: ServerId,
    /// Its state.
    pub state: ServerState,
    /// Index into [`Settings::streams_by_kind`].
    pub kind: usize,
    /// Its weight; see [`Settings::weights_tell_size`].
    pub weight: f64,
    /// Its cell.
    pub cell: u32,
    /// Its zone.
    pub zone: u32,
    /// When its process started; 0: long ago.
    pub started_at: Nanos,
}

/// What kind of list arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// All servers, as this front last saw them; perhaps stale.
    Cached,
    /// All servers.
    Full,
    /// Changed entries alone.
    Delta,
    /// A call failed; the list held stays.
    Failed,
}

/// What a viewer asks for.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct SessionRequest {
    /// The session's id.
    pub session: SessionId,
    /// Its class.
    pub class: ClassId,
    /// The title.
    pub title: TitleId,
    /// First cell that holds the title.
    pub base: u32,
    /// How many cells in a row hold it.
    pub spread: u32,
    /// The highest rung that the viewer can use.
    pub top: Rung,
    /// When the viewer gives up waiting.
    pub give_up_at: Nanos,
    /// The viewer was here before (a retry, a return, a move).
    pub again: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The session played to its end.
    Served,
    /// The server answered with an error; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled, moved, or the viewer left; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
}

/// Whether this front has a way to a server, as far as its own connections tell.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// A connection is up.
    Open,
    /// None is up: the next set-up brings a handshake. Where nothing is ever told, all servers count alike.
    #[default]
    Closed,
    /// Calls there did not come up: the next set-up would wait for one in vain, or meet a new process.
    Lost,
}

/// What one server carries over all fronts, as they count it together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figure {
    /// Streams counted there.
    pub carried: f64,
    /// Its weight's part of all streams counted in the same way.
    pub wanted: f64,
    /// How old it is.
    pub age: Nanos,
    /// The part of the fronts that was counted: 1 for all.
    pub complete: f64,
}

/// What a note on a playing session tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoteKind {
    /// Share of the rate that is delivered at the server.
    Delivered,
    /// The rung in force.
    RungInForce,
    /// Rate asked of the link over what it gives.
    LinkUse,
    /// Rate asked of the rack's uplink over what it gives.
    UplinkUse,
}

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News of the list of servers.
    List {
        /// What kind of list.
        kind: ListKind,
        /// Its entries.
        entries: Vec<ServerEntry>,
    },
    /// The way to a server has changed.
    Reach {
        /// Which server.
        server: ServerId,
        /// What it is now.
        reach: Reach,
    },
    /// The part of each server's cold budget that is this front's, as shares of the whole: so much always, and so much
    /// beyond it until then. Where none is told it is one over [`Settings::fronts`].
    Part {
        /// Always.
        always: f64,
        /// Beyond that.
        leased: f64,
        /// Until then.
        until: Nanos,
    },
    /// What the fleet makes of a server, from then on. Where none is told all servers count alike.
    Fleet {
        /// Which server.
        server: ServerId,
        /// It lies outside the servers that this front works with first: a preference, never an exclusion.
        outside: bool,
        /// What it carries over all fronts, where that was counted.
        figure: Option<Figure>,
    },
    /// A viewer wants a session.
    Request(SessionRequest),
    /// A session that already plays is handed over; it counts as attempt 0.
    Adopted {
        /// What the viewer asked for.
        wish: SessionRequest,
        /// Where it plays.
        server: ServerId,
    },
    /// The session plays.
    Started {
        /// Which session.
        session: SessionId,
    },
    /// An attempt ended.
    Ended {
        /// Which session.
        session: SessionId,
        /// Where the attempt went.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// No further answer is owed.
        finished: bool,
    },
    /// The viewer left, or the answer is overdue; nothing is owed any more.
    Left {
        /// Which session.
        session: SessionId,
    },
    /// A note on one of the front's sessions.
    Note {
        /// Which session.
        session: SessionId,
        /// The server that it tells of.
        server: ServerId,
        /// What it tells.
        kind: NoteKind,
        /// The figure.
        value: f64,
    },
    /// A timer came due.
    Timer {
        /// The token given with [`Action::SetTimer`].
        token: u64,
    },
}

/// Something to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Set the session's rung; free until the server has started it.
    SetRung {
        /// Which session.
        session: SessionId,
        /// The rung.
        rung: Rung,
    },
    /// Ask a server to start the session.
    Send {
        /// Which session.
        session: SessionId,
        /// Which server.
        server: ServerId,
        /// Give the attempt up after this.
        timeout: Nanos,
    },
    /// Final answer: refused; trying again does no harm.
    Refuse {
        /// Which session.
        session: SessionId,
        /// Advice when to come back; 0: none.
        come_back: Nanos,
    },
    /// Final answer: failed, nothing promised about what it did.
    Fail {
        /// Which session.
        session: SessionId,
    },
    /// Send [`Event::Timer`] after this time.
    SetTimer {
        /// From now.
        after: Nanos,
        /// Comes back with the timer.
        token: u64,
    },
    /// Ask for changes of the list from now on.
    Subscribe,
}

/// Settings that make no sense: the field, and what is wrong with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The field of [`Settings`].
    pub field: &'static str,
    /// What is wrong with it.
    pub what: &'static str,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.field, self.what)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Whether the settings make sense; an error names the field that does not.
    pub fn check(&self) -> Result<(), SettingsError> {
        let s = self;
        let bad = |field, what| Err(SettingsError { field, what });
        let rising = |f: fn(&Step) -> f64| s.ladder.windows(2).all(|w| f(&w[0]) < f(&w[1]));
        if s.ladder.is_empty()
            || !s.ladder.iter().all(|r| r.rate > 0.0 && r.rate.is_finite() && r.worth > 0.0)
        {
            return bad("ladder", "must hold rungs of positive rate and worth");
        }
        if !rising(|r| r.rate) || !rising(|r| r.worth) {
            return bad("ladder", "must rise");
        }
        if s.classes.is_empty() {
            return bad("classes", "must hold a class");
        }
        for c in &s.classes {
            if c.floor > c.top || c.top >= s.ladder.len() {
                return bad("classes.floor", "must lie at or under classes.top, and that on the ladder");
            }
            if !(c.worth >= 0.0 && c.worth.is_finite()) {
                return bad("classes.worth", "must be a number from 0");
            }
            if !(c.scale > 0.0 && c.scale.is_finite()) {
                return bad("classes.scale", "must be a number above 0");
            }
        }
        if s.cells == 0 {
            return bad("cells", "must be above 0");
        }
        if s.racks == 0 {
            return bad("racks", "must be above 0");
        }
        if s.fronts == 0 {
            return bad("fronts", "must be above 0");
        }
        if s.max_attempts == 0 {
            return bad("max_attempts", "must be above 0");
        }
        let figures = [
            ("uplink", s.uplink),
            ("link_per_weight", s.link_per_weight),
            ("full_from", s.full_from),
            ("change_cost_s", s.change_cost_s),
            ("cross_price", s.cross_price),
            ("handshake_price", s.handshake_price),
            ("cold_from", s.cold_from),
            ("fall_multiple", s.fall_multiple),
            ("retry_budget.spare", s.retry_budget.map_or(0.0, |b| b.spare)),
            ("retry_budget.share", s.retry_budget.map_or(0.0, |b| b.share)),
        ];
        if let Some((field, _)) = figures.iter().find(|(_, v)| !(*v >= 0.0 && v.is_finite())) {
            return bad(field, "must be a number from 0");
        }
        Ok(())
    }
}

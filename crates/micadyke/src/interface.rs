//! The interface of the decision module: settings, events and actions.
//!
//! # Contract
//!
//! * Time is measured in nanoseconds of one monotonic clock; [`Nanos`] is a point in time or a duration.
//! * The embedding front calls `Controller::handle` once for each event, in the order in which the events
//!   arrived, and carries out the returned actions in their order, at that same time.
//! * Each [`Action::Send`] is answered by exactly one [`Event::Ended`], preceded by [`Event::Started`] if the
//!   session started to play. A session id is never reused.
//! * Each [`Event::Request`] gets one final answer: a set-up that starts, [`Action::Refuse`] or
//!   [`Action::Fail`]. The front discards its record of the session once it has delivered the answer.
//! * The front owns connections, sockets and clocks; the controller makes every decision.
//! * If the contract is violated (events out of order, unknown ids, values that are not numbers), the
//!   controller ignores the event. It never panics, but its guarantees then cover only what it was told.

use std::sync::Arc;

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// Identifies a media server; unchanged when its process restarts.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// Identifies one request of a viewer for a session; never reused.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// Identifies a title that viewers watch.
#[derive(Debug, Default, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TitleId(pub Arc<str>);

/// Index of a class in [`Settings::classes`].
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index of a rung in [`Settings::ladder`]; 0 is the lowest quality.
pub type Rung = usize;

/// Whether a session of a class may be set up more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Repeating a set-up does no harm.
    Idempotent,
    /// A set-up may be repeated within `window` at servers of the same scope, which recognise the repeat.
    Deduplicated {
        /// The servers that recognise a repeat.
        scope: Scope,
        /// The time after the first attempt was sent within which a repeat is recognised.
        window: Nanos,
    },
    /// A set-up must never be repeated.
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
    /// Worth of one second of play at a rung of worth 1.
    pub worth: f64,
    /// Time within which a set-up should complete.
    pub setup_target: Nanos,
    /// Whether a set-up may be repeated.
    pub effect: Effect,
    /// Factor on the rates of the ladder.
    pub scale: f64,
    /// The lowest rung that may be used.
    pub floor: Rung,
    /// The highest rung of the class.
    pub top: Rung,
    /// Maximum number of sessions of one title at one front; 0: unlimited.
    pub seats: u32,
}

/// Rate and worth of one rung of the ladder.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RungSpec {
    /// Rate in kB/s.
    pub rate: f64,
    /// Worth, as a share of the class's worth.
    pub worth: f64,
}

/// How the server list reaches the front.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// Changes arrive unprompted.
    #[default]
    Pushed,
    /// Changes arrive after [`Action::Subscribe`].
    Subscribed,
}

/// A budget of retries, which are all attempts of a request after the first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed regardless of the number of requests.
    pub spare: f64,
    /// Retries allowed for each accepted request.
    pub share: f64,
    /// The window over which both are counted.
    pub window: Nanos,
}

/// The settings of a controller.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Settings {
    /// Number of fronts in the fleet.
    pub fronts: u32,
    /// The zone of this front.
    pub zone: u32,
    /// The classes of sessions.
    pub classes: Vec<Class>,
    /// The quality ladder, lowest rung first, with increasing rates and worths.
    pub ladder: Vec<RungSpec>,
    /// Number of cells that the servers are divided into.
    pub cells: u32,
    /// Number of racks; a server's rack is its cell modulo this.
    pub racks: u32,
    /// Maximum number of streams of a server of each machine kind.
    pub streams_by_kind: Vec<u32>,
    /// Mean capacity of a rack's uplink, in kB/s; 0: unknown.
    pub uplink: f64,
    /// Capacity of a server's link for each unit of its weight, in kB/s; 0: unknown.
    pub link_per_weight: f64,
    /// Weights are proportional to server sizes; otherwise they are all the same or change with load.
    pub weights_reflect_size: bool,
    /// Link use from which a server turns set-ups away; 0: never.
    pub full_from: f64,
    /// Cost of a rung change, in seconds of worth.
    pub change_cost_s: f64,
    /// Age of periodic reports on arrival.
    pub report_delay: Nanos,
    /// Interval of the reports on link use; 0: there are none.
    pub report_period: Nanos,
    /// How the server list reaches the front.
    pub listing: Listing,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Refused clients are told when to retry.
    pub advises_retry: bool,
    /// The longest wait that a client obeys.
    pub max_retry_after: Nanos,
    /// Cost of placing all sessions in other zones, as a share of all worth.
    pub cross_price: f64,
    /// Cost of a new connection for every session, as a share of all worth.
    pub handshake_price: f64,
    /// Time within which a front must subscribe to the server list.
    pub subscribe_within: Nanos,
    /// Time after its start at which a server is warm at the latest.
    pub cold_for: Nanos,
    /// Share of its capacity that a server has at least when it starts.
    pub cold_from: f64,
    /// A cold server fails when it gets more than this multiple of its rate of set-ups over `fall_window`.
    pub fall_multiple: f64,
    /// Window over which the set-ups sent to a cold server are counted.
    pub fall_window: Nanos,
    /// Budget of retries, if there is one.
    pub retry_budget: Option<RetryBudget>,
}

/// State of a server in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts sessions.
    Ready,
    /// Finishes its sessions; nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the server list.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerEntry {
    /// Which server.
    pub server: ServerId,
    /// Its state.
    pub state: ServerState,
    /// Index into [`Settings::streams_by_kind`].
    pub kind: usize,
    /// Its weight; see [`Settings::weights_reflect_size`].
    pub weight: f64,
    /// Its cell.
    pub cell: u32,
    /// Its zone.
    pub zone: u32,
    /// When its process started; 0: long enough ago to be warm.
    pub started_at: Nanos,
}

/// The kind of a list update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// All servers, as this front last knew them; possibly stale.
    Cached,
    /// All servers.
    Full,
    /// Changed entries only.
    Delta,
    /// A call failed; the current list stays in force.
    Failed,
}

/// A viewer's request for a session.
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
    /// Number of consecutive cells that hold it.
    pub spread: u32,
    /// The highest rung that the viewer can use.
    pub top: Rung,
    /// When the viewer stops waiting for an answer.
    pub give_up_at: Nanos,
    /// The viewer has had a session or a request before: a retry, a reconnect or a move.
    pub returning: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The session played to its end.
    Served,
    /// The server answered with an error; the set-up may have taken effect.
    Error,
    /// The server turned the set-up away; it took no effect.
    Full,
    /// No answer in time; the set-up may have taken effect.
    TimedOut,
    /// No connection; the set-up took no effect.
    NoConnection,
    /// The connection broke; the set-up may have taken effect.
    Reset,
    /// Cancelled, moved, or the viewer left; the set-up may have taken effect.
    Cancelled,
    /// It was never sent.
    NotSent,
}

/// Whether this front can reach a server, judged by its own connections.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// A connection is open.
    Open,
    /// No connection is open: the next set-up needs a handshake. The default, so that all servers count alike
    /// if the front never reports reachability.
    #[default]
    Closed,
    /// Connecting failed: the next set-up would fail as well, or reach a newly started process.
    Lost,
}

/// The load of one server over all fronts, as they count it together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetLoad {
    /// Streams counted at the server.
    pub carried: f64,
    /// Streams it should carry: its share by weight of all streams counted.
    pub target: f64,
    /// Age of the count.
    pub age: Nanos,
    /// Share of the fronts that were counted, from 0 to 1.
    pub coverage: f64,
}

/// The quantity that a report on a playing session states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportKind {
    /// Share of the session's rate that the server delivers.
    Delivered,
    /// The rung in force.
    RungInForce,
    /// Requested rate over capacity of the server's link.
    LinkUse,
    /// Requested rate over capacity of the rack's uplink.
    UplinkUse,
}

/// An input of the controller.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The server list was updated.
    List {
        /// The kind of update.
        kind: ListKind,
        /// Its entries.
        entries: Vec<ServerEntry>,
    },
    /// The reachability of a server has changed.
    Reachability {
        /// The server.
        server: ServerId,
        /// Its reachability from now on.
        reachability: Reachability,
    },
    /// This front's share of each server's cold budget, as shares of the whole. Without this event it is one
    /// divided by [`Settings::fronts`].
    ColdBudgetShare {
        /// The share that does not expire.
        guaranteed: f64,
        /// The additional share held by lease.
        leased: f64,
        /// When the lease ends.
        lease_ends_at: Nanos,
    },
    /// The fleet's view of a server, valid until the next such event. Without it all servers count alike.
    FleetUpdate {
        /// The server.
        server: ServerId,
        /// It lies outside this front's working subset: a preference, never an exclusion.
        outside_subset: bool,
        /// Its load over all fronts, if it was counted.
        load: Option<FleetLoad>,
    },
    /// A viewer requests a session.
    Request(SessionRequest),
    /// The front takes over a session that already plays. Counts as attempt 0.
    Adopted {
        /// The viewer's request.
        request: SessionRequest,
        /// The server it plays on.
        server: ServerId,
    },
    /// A session has started to play.
    Started {
        /// The session.
        session: SessionId,
    },
    /// An attempt has ended.
    Ended {
        /// The session.
        session: SessionId,
        /// The server of the attempt.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// No further answer is due.
        finished: bool,
    },
    /// The viewer left or the answer is overdue; no answer is due any more.
    Left {
        /// The session.
        session: SessionId,
    },
    /// A server reported on one of the front's sessions.
    Report {
        /// The session.
        session: SessionId,
        /// The reporting server.
        server: ServerId,
        /// The reported quantity.
        kind: ReportKind,
        /// Its value.
        value: f64,
    },
    /// A timer has expired.
    Timer {
        /// The token given with [`Action::SetTimer`].
        token: u64,
    },
}

/// An output of the controller, to be carried out by the front.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Set the session's rung. Has no cost before the server has started the session.
    SetRung {
        /// The session.
        session: SessionId,
        /// The rung.
        rung: Rung,
    },
    /// Send an attempt to start the session to a server.
    Send {
        /// The session.
        session: SessionId,
        /// The server.
        server: ServerId,
        /// Time after which the attempt is abandoned.
        timeout: Nanos,
    },
    /// Final answer: refused. Repeating the request does no harm.
    Refuse {
        /// The session.
        session: SessionId,
        /// Advised wait before the next request; 0: none.
        retry_after: Nanos,
    },
    /// Final answer: failed. The request may have taken effect.
    Fail {
        /// The session.
        session: SessionId,
    },
    /// Send [`Event::Timer`] after a time.
    SetTimer {
        /// The time from now.
        after: Nanos,
        /// Returned with the timer event.
        token: u64,
    },
    /// Subscribe to changes of the server list.
    Subscribe,
}

/// A setting that is out of range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The field of [`Settings`].
    pub field: &'static str,
    /// The constraint that it violates.
    pub what: &'static str,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.field, self.what)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks that all settings are in range.
    ///
    /// # Errors
    ///
    /// The first field that is out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
        let s = self;
        let bad = |field, what| Err(SettingsError { field, what });
        let rising = |f: fn(&RungSpec) -> f64| s.ladder.windows(2).all(|w| f(&w[0]) < f(&w[1]));
        if s.ladder.is_empty()
            || !s.ladder.iter().all(|r| r.rate > 0.0 && r.rate.is_finite() && r.worth > 0.0)
        {
            return bad("ladder", "must contain rungs of positive rate and worth");
        }
        if !rising(|r| r.rate) || !rising(|r| r.worth) {
            return bad("ladder", "must rise");
        }
        if s.classes.is_empty() {
            return bad("classes", "must contain at least one class");
        }
        for c in &s.classes {
            if c.floor > c.top || c.top >= s.ladder.len() {
                return bad(
                    "classes.floor",
                    "must not exceed classes.top, which must be a rung of the ladder",
                );
            }
            if !(c.worth >= 0.0 && c.worth.is_finite()) {
                return bad("classes.worth", "must be a number of 0 or more");
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
            return bad(field, "must be a number of 0 or more");
        }
        Ok(())
    }
}

//! The state machine of a node: inputs and the time in, outputs out, without I/O or clock.
//!
//! Each input updates the state and produces events for the module, whose actions are then applied.

use crate::bus::{Follower, Outage, Step};
use crate::config::Config;
use crate::io::{ConnId, Input, Output};
use crate::limits::{self, SECOND};
use crate::list::ServerIds;
use crate::listed_servers::ListedServers;
use crate::sessions::Sessions;
use crate::state::{Node, Stage, TimerKind};
use micadyke::interface::*;
use micadyke::module::Decide;
use micadyke_isup as isup;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use tracing::{info, warn};

pub use crate::state::{Counts, cause};

/// Interval of the periodic maintenance: connections, partial messages, silent peers and releases.
const MAINTENANCE_INTERVAL: Nanos = 100 * limits::MS;
/// A stopping node keeps serving for this long, as connections and set-ups still arrive.
const MIN_LINGER: Nanos = 700 * limits::MS;
/// Added to the longest deadline (at most [`MAX_LINGER_DEADLINE`]) to get the time at which a stopping node answers whatever
/// is open and ends. It may be killed 200 ms later.
const FINAL_ANSWER_MARGIN: Nanos = 500 * limits::MS;
/// Upper bound of the deadline that a stopping node waits for.
const MAX_LINGER_DEADLINE: Nanos = 3 * SECOND;
/// After the final answers a stopping node waits this long for its peers to receive them, and ends before it may be killed.
const FLUSH_TIME: Nanos = 50 * limits::MS;
/// Shortest time between two log lines about calls of the event bus that are of no use.
const OUTAGE_LOG_INTERVAL: Nanos = SECOND;
/// Maximum releases that wait for a connection; the oldest is dropped for a newer one.
const MAX_RELEASES: usize = 4096;

impl<D: Decide> Node<D> {
    /// Creates a node with its decision module; `now` is Unix time in nanoseconds.
    pub fn new(config: &Config, decide: D, now: Nanos) -> Self {
        let (max_viewers, max_links) = limits::connection_limits(config.sockets);
        let mut node = Node {
            decide,
            names: config.deployment.names.clone(),
            connection_settings: config.deployment.connections.clone(),
            cells: config.deployment.settings.cells,
            rungs: config.deployment.settings.ladder.len(),
            now,
            random: StdRng::seed_from_u64(config.seed),
            out: Vec::new(),
            turn_writes: Vec::new(),
            events: VecDeque::new(),
            timers: BTreeMap::new(),
            last_timer: 0,
            last_conn: 0,
            viewers: BTreeMap::new(),
            links: BTreeMap::new(),
            servers: BTreeMap::new(),
            server_ids: ServerIds::default(),
            listed: ListedServers::default(),
            sessions: Sessions::new(config.memory, &config.deployment.settings.classes),
            releases: VecDeque::new(),
            max_viewers,
            max_links,
            has_peers: false,
            list_version: 0,
            reported_draining: BTreeMap::new(),
            recovery: None,
            indexes_sessions: false,
            unconfirmed: BTreeMap::new(),
            saves_state: false,
            min_started_at: 0,
            cold_for: config.deployment.settings.cold_for,
            coordination: None,
            probe_tokens: (limits::fleet::MAX_PROBES_PER_SECOND, now),
            follower: Follower::new(
                config.bus,
                config.offset,
                limits::bus::max_retry_pause(config.deployment.connections.drain_grace),
                now,
            ),
            stopping_since: None,
            ready: false,
            counts: Counts::default(),
            status_logged_at: now,
            outage_logged_at: 0,
        };
        node.apply_known_events(&config.known);
        node.set_timer(now, TimerKind::Maintenance);
        node
    }

    /// Enables the exchange of server reports with other nodes.
    pub fn enable_peers(&mut self) {
        self.has_peers = true;
    }

    /// The counters.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The numbers of open set-ups and of playing sessions.
    pub fn session_counts(&self) -> (usize, usize) {
        let standing = self.sessions.values().filter(|s| matches!(s.stage, Stage::Playing { .. })).count();
        (self.sessions.len() - standing, standing)
    }

    /// Table sizes: viewers' connections, servers' connections, servers, sessions, timers, waiting releases.
    pub fn table_sizes(&self) -> [usize; 6] {
        let s = self;
        [s.viewers.len(), s.links.len(), s.servers.len(), s.sessions.len(), s.timers.len(), s.releases.len()]
    }

    /// The decision module.
    pub fn module(&self) -> &D {
        &self.decide
    }

    /// When [`Input::Timer`] is due.
    pub fn wake_at(&self) -> Nanos {
        self.timers.first_key_value().map_or(Nanos::MAX, |(k, _)| k.0).min(self.follower.wake_at())
    }

    /// Whether a stopping node may end.
    pub fn may_end(&self, now: Nanos) -> bool {
        let Some(since) = self.stopping_since else { return false };
        let owed = self.session_counts().0 > 0 || !self.releases.is_empty();
        now >= since + MIN_LINGER && (!owed || now >= since + self.max_linger() + MAINTENANCE_INTERVAL)
    }

    /// The time at which a stopping node ends regardless of what is left.
    pub fn end_deadline(&self) -> Option<Nanos> {
        self.stopping_since.map(|since| since + self.max_linger() + MAINTENANCE_INTERVAL + FLUSH_TIME)
    }

    /// How long a stopping node serves at most.
    fn max_linger(&self) -> Nanos {
        (self.connection_settings.max_deadline.min(MAX_LINGER_DEADLINE) + FINAL_ANSWER_MARGIN).max(MIN_LINGER)
    }

    /// Answers all open set-ups as failed: a stopping node may be killed soon, and they would be left without an answer.
    fn fail_open_requests(&mut self) {
        let open = self.sessions.iter().filter(|(_, s)| !matches!(s.stage, Stage::Playing { .. }));
        let open: Vec<(SessionId, ConnId)> = open.map(|(id, s)| (*id, s.viewer)).collect();
        for (id, viewer) in open {
            self.drop_request(id);
            self.counts.failed += 1;
            if let Some(v) = self.viewers.get_mut(&viewer) {
                v.request_answered(id);
                self.write_to_viewer(
                    viewer,
                    &isup::Message::new(isup::kind::RELEASE, id.0).with_cause(cause::FAILED),
                );
            }
        }
    }

    /// Handles an input at Unix time `now`; outputs are appended to `out` in order.
    pub fn handle(&mut self, now: Nanos, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if !matches!(input, Input::Blocked { .. }) {
            self.turn_writes.clear();
        }
        match input {
            Input::ViewerConnected { conn } => self.viewer_connected(conn),
            Input::ViewerLeft { conn } => self.viewer_left(conn),
            Input::Data { conn, bytes } => self.data(conn, bytes),
            Input::Connected { conn } if self.follower.owns(conn) => {
                let given_up = self.follower.connected(conn, self.now);
                self.close_all(given_up);
            }
            Input::Connected { conn } => self.link_connected(conn),
            Input::StreamOpened { conn } => {
                let others = self.follower.stream_opened(conn, self.now);
                self.close_all(others);
            }
            Input::Closed { conn, .. } if self.follower.owns(conn) => self.bus_closed(conn),
            Input::Closed { conn, .. } if self.viewers.contains_key(&conn) => self.viewer_closed(conn),
            Input::Closed { conn, written, end } => self.link_closed(conn, written, end),
            Input::Blocked { conn, written } => self.link_blocked(conn, written),
            Input::Writable { conn } => self.link_writable(conn),
            Input::BusMoved { addr } => {
                if addr != self.follower.addr() {
                    info!(%addr, "the event bus moved");
                    let old = self.follower.set_addr(addr, self.now);
                    self.close_all(old);
                }
            }
            Input::ColdBudgetShare { guaranteed, leased, lease_duration } => {
                let lease_ends_at = self.now.saturating_add(lease_duration);
                self.events.push_back(Event::ColdBudgetShare { guaranteed, leased, lease_ends_at });
            }
            Input::ServerReport(report) => self.handle_report(report),
            Input::EndSessions(key) => self.end_sessions(key),
            Input::Membership(event) => {
                self.advance_recovery(event.as_input());
                self.membership_changed(event);
            }
            Input::Stop => {
                if self.stopping_since.is_none() {
                    info!(owed = self.session_counts().0, "stopping: what is owed is answered first");
                    self.stopping_since = Some(self.now);
                    self.set_timer(self.now + self.max_linger(), TimerKind::FinalAnswers);
                }
            }
            Input::Timer => {}
        }
        self.run_module();
        self.run_due_timers();
        self.follow_bus();
        self.run_module();
        out.append(&mut self.out);
    }

    fn data(&mut self, conn: ConnId, bytes: &[u8]) {
        if self.viewers.contains_key(&conn) {
            self.handle_viewer_data(conn, bytes);
        } else if self.links.contains_key(&conn) {
            self.handle_server_data(conn, bytes);
        } else if self.follower.streams_on(conn) {
            let mut changes = Vec::new();
            let usable = self.follower.feed(bytes, self.now, &mut changes);
            changes.iter().for_each(|c| self.apply_change(c));
            if !usable {
                self.out.push(Output::Close { conn });
                self.bus_closed(conn);
            }
        }
    }

    // ----- module

    /// Passes pending events to the module and applies its actions until no event is left.
    pub(crate) fn run_module(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let Some(event) = self.defer_during_recovery(event) else { continue };
            tracing::trace!(?event, "told");
            self.decide.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                tracing::trace!(?action, "decided");
                self.apply_action(action);
            }
        }
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::SetRung { session, rung } => self.set_rung(session, rung),
            Action::Send { session, server, timeout } => self.send_attempt(session, server, timeout),
            Action::Refuse { session, retry_after } => self.refuse(session, retry_after),
            Action::Fail { session } => self.fail(session),
            Action::SetTimer { after, token } => self.set_timer(self.now + after, TimerKind::Module(token)),
            // The bus sends changes unprompted; there is nothing to request.
            Action::Subscribe => {}
        }
    }

    /// Sends a refusal by the module, with its retry delay.
    fn refuse(&mut self, id: SessionId, retry_after: Nanos) {
        self.counts.refused += 1;
        let message = isup::Message::new(isup::kind::RELEASE, id.0).with_cause(cause::REFUSED);
        let message = match retry_after / limits::MS {
            0 => message,
            ms => message.with(isup::code::RETRY_AFTER, ms.to_string()),
        };
        self.final_answer(id, &message);
    }

    /// Sends a failure by the module.
    fn fail(&mut self, id: SessionId) {
        self.counts.failed += 1;
        self.final_answer(id, &isup::Message::new(isup::kind::RELEASE, id.0).with_cause(cause::FAILED));
    }

    fn final_answer(&mut self, id: SessionId, message: &isup::Message) {
        // Exactly one answer: only a session without an attempt in flight may be answered here.
        let is_owed = self.sessions.get(&id).is_some_and(|session| session.stage == Stage::New);
        let Some(session) = is_owed.then(|| self.sessions.remove(&id)).flatten() else {
            return warn!(session = id.0, "the module answered a session that is owed nothing");
        };
        if let Some(viewer) = self.viewers.get_mut(&session.viewer) {
            viewer.request_answered(id);
            self.write_to_viewer(session.viewer, message);
        }
    }

    /// Ends a session's attempt with an outcome; the module decides what follows.
    pub(crate) fn attempt_ended(&mut self, id: SessionId, outcome: Outcome) {
        self.end_attempt(id, outcome, false);
    }

    /// Ends a session's attempt; `finished` means that no answer is due any more.
    pub(crate) fn end_attempt(&mut self, id: SessionId, outcome: Outcome, finished: bool) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let (Stage::Waiting { server, link } | Stage::InFlight { server, link, .. }) = session.stage else {
            return;
        };
        session.stage = Stage::New;
        session.early_reports.clear();
        if matches!(outcome, Outcome::Full | Outcome::NotSent | Outcome::NoConnection) {
            session.may_have_run = false;
        }
        self.detach_attempt(link, id);
        self.count_outcome(outcome);
        if outcome == Outcome::Full {
            self.server_full(server);
        }
        self.events.push_back(Event::Ended { session: id, server, outcome, finished });
    }

    pub(crate) fn detach_attempt(&mut self, link: ConnId, id: SessionId) {
        if let Some(link) = self.links.get_mut(&link) {
            link.open.remove(&id);
            link.last_used = self.now;
        }
    }

    pub(crate) fn count_outcome(&mut self, outcome: Outcome) {
        let index = match outcome {
            Outcome::Served => return,
            Outcome::Error => 0,
            Outcome::Full => 1,
            Outcome::TimedOut => 2,
            Outcome::NoConnection => 3,
            Outcome::Reset => 4,
            Outcome::Cancelled => 5,
            Outcome::NotSent => 6,
        };
        self.counts.ended[index] += 1;
    }

    /// Whether a list has been received and recovery is over, so that set-ups can be served.
    pub fn ready(&self) -> bool {
        self.ready && self.recovery.is_none()
    }

    // ----- the event bus

    fn follow_bus(&mut self) {
        if let Step::Close(conn) = self.follower.next_step(self.now) {
            warn!(last = self.follower.last(), "the event bus is silent");
            self.out.push(Output::Close { conn });
            self.bus_closed(conn);
        }
        if self.follower.next_step(self.now) == Step::Connect {
            self.call_bus();
        }
    }

    /// Makes a call of the event bus, beside those that are out.
    fn call_bus(&mut self) {
        self.log_bus_outage();
        let (conn, jitter) = (self.next_conn(), self.random.random());
        let replaced = self.follower.call_started(conn, self.now, jitter);
        self.close_all(replaced);
        self.out.push(Output::Subscribe { conn, addr: self.follower.addr(), last: self.follower.last() });
    }

    /// Logs why another call is made, at intervals.
    fn log_bus_outage(&mut self) {
        let outage = self.follower.outage();
        if outage == Outage::NoCall || self.now < self.outage_logged_at + OUTAGE_LOG_INTERVAL {
            return;
        }
        self.outage_logged_at = self.now;
        let last = self.follower.last();
        match outage {
            Outage::Unanswered => warn!(last, "the event bus does not answer: it is called again"),
            _ => warn!(last, "the event bus can't be reached: no connection comes up"),
        }
    }

    fn bus_closed(&mut self, conn: ConnId) {
        let jitter = self.random.random();
        self.follower.closed(conn, self.now, jitter);
    }

    fn close_all(&mut self, conns: Vec<ConnId>) {
        self.out.extend(conns.into_iter().map(|conn| Output::Close { conn }));
    }

    // ----- timers, numbers

    pub(crate) fn set_timer(&mut self, at: Nanos, kind: TimerKind) {
        self.last_timer += 1;
        self.timers.insert((at, self.last_timer), kind);
    }

    fn run_due_timers(&mut self) {
        while let Some(first) = self.timers.first_entry().filter(|e| e.key().0 <= self.now) {
            match first.remove() {
                TimerKind::Module(token) => self.events.push_back(Event::Timer { token }),
                TimerKind::Attempt(id, attempt) => self.attempt_due(id, attempt),
                TimerKind::Connect(conn) => self.connect_timed_out(conn),
                TimerKind::Withdrawal(conn) => self.check_withdrawal(conn),
                // Repeated, as set-ups keep arriving until the process has ended.
                TimerKind::FinalAnswers => {
                    self.set_timer(self.now + MAINTENANCE_INTERVAL / 10, TimerKind::FinalAnswers);
                    self.fail_open_requests();
                }
                TimerKind::Maintenance => {
                    self.set_timer(self.now + MAINTENANCE_INTERVAL, TimerKind::Maintenance);
                    self.maintain_viewers();
                    self.update_coordination();
                    self.maintain_servers();
                    self.flush_releases();
                    self.update_recovery();
                    self.log_status();
                }
            }
            self.run_module();
        }
    }

    /// Logs a status line at intervals.
    fn log_status(&mut self) {
        if self.now < self.status_logged_at + 5 * SECOND {
            return;
        }
        self.status_logged_at = self.now;
        let ((open, standing), books, counts) = (self.session_counts(), self.table_sizes(), self.counts);
        info!(open, standing, ?books, bus = self.follower.last(), ?counts, "so far");
    }

    /// The id of a new connection opened by the node.
    pub(crate) fn next_conn(&mut self) -> ConnId {
        self.last_conn += 2;
        ConnId(self.last_conn)
    }
}

impl<D> Node<D> {
    /// Writes a message to a viewer's connection.
    pub(crate) fn write_to_viewer(&mut self, conn: ConnId, message: &isup::Message) {
        if let Some(bytes) = message.encode() {
            self.out.push(Output::Write { conn, bytes });
        }
    }

    /// Notifies a viewer of the end of its session: on the connection of the request if that is open, otherwise on another.
    pub(crate) fn release_viewer(&mut self, viewer: ConnId, message: isup::Message) {
        match self.viewers.contains_key(&viewer) {
            true => {
                let session = format_args!("{:016x}", message.session);
                tracing::debug!(%session, conn = viewer.0, "released on the connection of its request");
                self.write_to_viewer(viewer, &message);
            }
            false => {
                if self.releases.len() == MAX_RELEASES {
                    self.releases.pop_front();
                }
                self.releases.push_back((self.now, message));
                self.flush_releases();
            }
        }
    }

    /// Sends waiting releases for which there is a connection.
    pub(crate) fn flush_releases(&mut self) {
        if self.releases.is_empty() {
            return;
        }
        while let Some((since, _)) = self.releases.front() {
            let waited = self.now.saturating_sub(*since);
            let candidates = self.viewers.iter().map(|(c, v)| (c.0, v.release_candidate()));
            let conn = limits::viewers::pick_release_connection(candidates, waited).map(ConnId);
            if conn.is_none() && waited < limits::viewers::RELEASE_LIFETIME {
                break;
            }
            let Some((_, message)) = self.releases.pop_front() else { break };
            match conn {
                Some(conn) => {
                    let session = format!("{:016x}", message.session);
                    tracing::debug!(session, conn = conn.0, "released on another connection");
                    self.write_to_viewer(conn, &message);
                }
                None => warn!(session = message.session, "a release could not be told to anyone"),
            }
        }
    }
}

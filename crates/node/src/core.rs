//! The state machine: the books of sessions, attempts, connections and the list, and the turn in which the module
//! decides. No I/O and no clock: inputs and the time in, outputs out.

use crate::books::{Due, Node, Server, Stage};
use crate::bus::{Follower, Step};
use crate::config::Config;
use crate::io::{ConnId, Input, Output};
use crate::limits::{self, SECOND};
use crate::list::{Change, Numbers, Row};
use micadyke::interface::*;
use micadyke::module::Decide;
use micadyke_isup as isup;
use micadyke_membership::server_report::ServerReport;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use tracing::{info, warn};

pub use crate::books::{Counts, cause};

/// Connections, half messages, silence and releases are looked after so often.
const TIDY: Nanos = 100 * limits::MS;
/// A stopping node serves on for this long: connections and set-ups still arrive.
const LINGER: Nanos = 700 * limits::MS;
/// By then a stopping node has answered whatever it owes and ends: the longest deadline, 3 s at most, and this. It may be
/// killed 200 ms later.
const LINGER_MOST: Nanos = 500 * limits::MS;
/// Of a longer deadline a stopping node is given no more than this.
const LINGER_DEADLINE: Nanos = 3 * SECOND;
/// Then a stopping node ends, whatever its peers have not taken: after the last answers, and before it may be killed.
const FLUSH_MOST: Nanos = 50 * limits::MS;
/// Releases kept for lack of a connection at most; the oldest is dropped for a newer one.
const RELEASES: usize = 4096;

impl<D: Decide> Node<D> {
    /// A node with its module; `now` is Unix time.
    pub fn new(config: &Config, decide: D, now: Nanos) -> Self {
        let (most_viewers, most_links) = limits::shares(config.sockets);
        let mut node = Node {
            decide,
            names: config.deployment.names.clone(),
            connection_settings: config.deployment.connections.clone(),
            cells: config.deployment.settings.cells,
            rungs: config.deployment.settings.ladder.len(),
            now,
            random: StdRng::seed_from_u64(config.seed),
            out: Vec::new(),
            handed: Vec::new(),
            events: VecDeque::new(),
            timers: BTreeMap::new(),
            timer: 0,
            conn: 0,
            viewers: BTreeMap::new(),
            links: BTreeMap::new(),
            servers: BTreeMap::new(),
            numbers: Numbers::default(),
            sessions: BTreeMap::new(),
            releases: VecDeque::new(),
            most_viewers,
            most_links,
            others: false,
            version: 0,
            hearsay: BTreeMap::new(),
            recovering: None,
            directed: false,
            unconfirmed: BTreeMap::new(),
            keeps: false,
            cold_from: 0,
            cold_for: config.deployment.settings.cold_for,
            choosing: None,
            looks: (limits::fleet::LOOKS, now),
            follower: Follower::new(
                config.bus,
                config.offset,
                limits::bus::longest_pause(config.deployment.connections.drain_grace),
                now,
            ),
            stopping: None,
            ready: false,
            counts: Counts::default(),
            told_at: now,
        };
        node.known(&config.known);
        node.set(now, Due::Tidy);
        node
    }

    /// There are others to tell of servers, and to hear from.
    pub fn has_others(&mut self) {
        self.others = true;
    }

    /// What the node did so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Sessions held: set-ups open, and sessions that stand.
    pub fn held(&self) -> (usize, usize) {
        let standing = self.sessions.values().filter(|s| matches!(s.stage, Stage::Standing { .. })).count();
        (self.sessions.len() - standing, standing)
    }

    /// Sizes of the books: connections of viewers, of servers, servers, sessions, timers, releases.
    pub fn books(&self) -> [usize; 6] {
        let s = self;
        [s.viewers.len(), s.links.len(), s.servers.len(), s.sessions.len(), s.timers.len(), s.releases.len()]
    }

    /// The module.
    pub fn module(&self) -> &D {
        &self.decide
    }

    /// When [`Input::Wake`] is due.
    pub fn wake_at(&self) -> Nanos {
        self.timers.first_key_value().map_or(Nanos::MAX, |(k, _)| k.0).min(self.follower.due())
    }

    /// Whether a stopping node may end.
    pub fn done(&self, now: Nanos) -> bool {
        let Some(since) = self.stopping else { return false };
        let owed = self.held().0 > 0 || !self.releases.is_empty();
        now >= since + LINGER && (!owed || now >= since + self.linger_most() + TIDY)
    }

    /// When a stopping node ends at the latest, whatever is left.
    pub fn ends_by(&self) -> Option<Nanos> {
        self.stopping.map(|since| since + self.linger_most() + TIDY + FLUSH_MOST)
    }

    /// How long a node serves on at most once it is to stop.
    fn linger_most(&self) -> Nanos {
        (self.connection_settings.max_deadline.min(LINGER_DEADLINE) + LINGER_MOST).max(LINGER)
    }

    /// Answers all set-ups that are still open: a stopping node may be killed soon, and what it leaves open is lost.
    fn answer_the_rest(&mut self) {
        let open = self.sessions.iter().filter(|(_, s)| !matches!(s.stage, Stage::Standing { .. }));
        let open: Vec<(SessionId, ConnId)> = open.map(|(id, s)| (*id, s.viewer)).collect();
        for (id, viewer) in open {
            self.leave(id);
            self.counts.failed += 1;
            if let Some(v) = self.viewers.get_mut(&viewer) {
                v.answered(id);
                self.write(viewer, &isup::Message::new(isup::kind::RELEASE, id.0).with_cause(cause::FAILED));
            }
        }
    }

    /// Takes one input at Unix time `now`; what is to be done is appended to `out`, in order.
    pub fn handle(&mut self, now: Nanos, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if !matches!(input, Input::Blocked { .. }) {
            self.handed.clear();
        }
        match input {
            Input::ViewerOpened { conn } => self.viewer_opened(conn),
            Input::Data { conn, bytes } => self.data(conn, bytes),
            Input::Up { conn } if self.follower.owns(conn) => self.follower.opened(self.now),
            Input::Up { conn } => self.link_up(conn),
            Input::Closed { conn, .. } if self.follower.owns(conn) => self.bus_closed(),
            Input::Closed { conn, .. } if self.viewers.contains_key(&conn) => self.viewer_closed(conn),
            Input::Closed { conn, written, refused } => self.link_closed(conn, written, refused),
            Input::Blocked { conn, written } => self.link_blocked(conn, written),
            Input::Writable { conn } => self.link_writable(conn),
            Input::BusMoved { addr } => {
                if addr != self.follower.addr() {
                    info!(%addr, "the event bus moved");
                    let old = self.follower.moved(addr, self.now);
                    self.out.extend(old.map(|conn| Output::Close { conn }));
                }
            }
            Input::Part { always, leased, span } => {
                let until = self.now.saturating_add(span);
                self.events.push_back(Event::ColdBudgetShare {
                    guaranteed: always,
                    leased,
                    lease_ends_at: until,
                });
            }
            Input::Heard(news) => self.heard_of(news),
            Input::End(what) => self.end_all(what),
            Input::Fleet(fact) => {
                self.recover(fact.as_input());
                self.fleet(fact);
            }
            Input::Stop => {
                if self.stopping.is_none() {
                    info!(owed = self.held().0, "stopping: what is owed is answered first");
                    self.stopping = Some(self.now);
                    self.set(self.now + self.linger_most(), Due::Last);
                }
            }
            Input::Wake => {}
        }
        self.settle();
        self.timers();
        self.follow();
        self.settle();
        out.append(&mut self.out);
    }

    fn data(&mut self, conn: ConnId, bytes: &[u8]) {
        if self.viewers.contains_key(&conn) {
            self.viewer_data(conn, bytes);
        } else if self.links.contains_key(&conn) {
            self.link_data(conn, bytes);
        } else if self.follower.owns(conn) {
            let mut changes = Vec::new();
            let sound = self.follower.feed(bytes, self.now, &mut changes);
            changes.iter().for_each(|c| self.change(c, None));
            if !sound {
                self.out.push(Output::Close { conn });
                self.bus_closed();
            }
        }
    }

    // ----- the turn

    /// Hands the module what happened, and carries out what it decides, until nothing is left.
    pub(crate) fn settle(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let Some(event) = self.held_back(event) else { continue };
            tracing::trace!(?event, "told");
            self.decide.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                tracing::trace!(?action, "decided");
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::SetRung { session, rung } => self.set_rung(session, rung),
            Action::Send { session, server, timeout } => self.send(session, server, timeout),
            Action::Refuse { session, retry_after } => self.refuse(session, retry_after),
            Action::Fail { session } => self.fail(session),
            Action::SetTimer { after, token } => self.set(self.now + after, Due::Module(token)),
            // The bus tells unprompted; a module that asks is given what there is as it comes.
            Action::Subscribe => {}
        }
    }

    /// The module's refusal: told at once, with its advice.
    fn refuse(&mut self, id: SessionId, retry_after: Nanos) {
        self.counts.refused += 1;
        let message = isup::Message::new(isup::kind::RELEASE, id.0).with_cause(cause::REFUSED);
        let message = match retry_after / limits::MS {
            0 => message,
            ms => message.with(isup::code::RETRY_AFTER, ms.to_string()),
        };
        self.final_answer(id, &message);
    }

    /// The module's failure: told at once.
    fn fail(&mut self, id: SessionId) {
        self.counts.failed += 1;
        self.final_answer(id, &isup::Message::new(isup::kind::RELEASE, id.0).with_cause(cause::FAILED));
    }

    fn final_answer(&mut self, id: SessionId, message: &isup::Message) {
        // One answer and no more: only a session without an attempt out is owed one here.
        let session = match self.sessions.entry(id) {
            Entry::Occupied(e) if e.get().stage == Stage::New => e.remove(),
            _ => return warn!(session = id.0, "the module answered a session that is owed nothing"),
        };
        if let Some(viewer) = self.viewers.get_mut(&session.viewer) {
            viewer.answered(id);
            self.write(session.viewer, message);
        }
    }

    /// Ends a session's attempt, and says how: the module goes on with it.
    pub(crate) fn attempt_ended(&mut self, id: SessionId, outcome: Outcome) {
        self.end_attempt(id, outcome, false);
    }

    /// Ends a session's attempt; `finished`: no answer is owed any more.
    pub(crate) fn end_attempt(&mut self, id: SessionId, outcome: Outcome, finished: bool) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let (Stage::Waiting { server, link } | Stage::Out { server, link, .. }) = session.stage else {
            return;
        };
        session.stage = Stage::New;
        session.early.clear();
        self.forget_attempt(link, id);
        self.count(outcome);
        if outcome == Outcome::Full {
            self.turned_away(server);
        }
        self.events.push_back(Event::Ended { session: id, server, outcome, finished });
    }

    pub(crate) fn forget_attempt(&mut self, link: ConnId, id: SessionId) {
        if let Some(link) = self.links.get_mut(&link) {
            link.open.remove(&id);
            link.used = self.now;
        }
    }

    pub(crate) fn count(&mut self, outcome: Outcome) {
        let place = match outcome {
            Outcome::Served => return,
            Outcome::Error => 0,
            Outcome::Full => 1,
            Outcome::TimedOut => 2,
            Outcome::NoConnection => 3,
            Outcome::Reset => 4,
            Outcome::Cancelled => 5,
            Outcome::NotSent => 6,
        };
        self.counts.ended[place] += 1;
    }

    // ----- the list

    /// Takes the events of the start as the one list they come to.
    fn known(&mut self, changes: &[Change]) {
        let mut rows: BTreeMap<&str, &Row> = BTreeMap::new();
        for change in changes {
            if change.full {
                rows.clear();
            }
            rows.extend(change.rows.iter().map(|r| (r.id.as_str(), r)));
        }
        let rows: Vec<Row> = rows.into_values().filter(|r| r.state != ServerState::Gone).cloned().collect();
        if !changes.is_empty() {
            let version = changes.iter().map(|c| c.version).max().unwrap_or(0);
            self.change(&Change { offset: 0, version, full: true, rows }, Some(ListKind::Cached));
        }
    }

    /// Takes a change of the list: it is in force at the sending end before anything else goes out.
    fn change(&mut self, change: &Change, kind: Option<ListKind>) {
        let kind = kind.unwrap_or(if change.full { ListKind::Full } else { ListKind::Delta });
        let mut rows: Vec<(ServerId, Row)> = Vec::with_capacity(change.rows.len());
        for row in &change.rows {
            // A server that is gone and was never known is not worth a number.
            if row.state != ServerState::Gone || self.numbers.known(&row.id).is_some() {
                rows.push((self.numbers.number(&row.id), row.clone()));
            }
        }
        rows.extend(self.displaced(&rows));
        let entries = rows.iter().map(|(n, row)| self.entry(row, *n)).collect();
        if change.full {
            let gone: Vec<ServerId> =
                self.servers.keys().filter(|s| rows.iter().all(|r| r.0 != **s)).copied().collect();
            gone.into_iter().for_each(|s| self.server_gone(s));
        }
        self.events.push_back(Event::List { kind, entries });
        for (number, row) in rows {
            if row.state != ServerState::Ready && kind != ListKind::Cached {
                self.tell_others(ServerReport::Drain { server: row.id.clone(), version: change.version });
            }
            self.server_row(number, row);
        }
        self.servers_changed();
        self.version = self.version.max(change.version);
        self.own_word();
        if kind != ListKind::Cached {
            self.listed(change.version);
        }
        if !self.ready {
            self.ready = true;
            info!(servers = self.servers.len(), offset = change.offset, "the list stands");
        }
    }

    /// Draining servers that a change does not name and whose address it gives to another server: they have gone,
    /// and the list has yet to say so. A server listed as up is never taken for gone by this.
    fn displaced(&self, rows: &[(ServerId, Row)]) -> Vec<(ServerId, Row)> {
        let comes = |(id, row): &&(ServerId, Row)| {
            let before = self.servers.get(id).map(|s| s.row.addr);
            row.state == ServerState::Ready && before != Some(row.addr)
        };
        let taken: BTreeSet<SocketAddr> = rows.iter().filter(comes).map(|(_, row)| row.addr).collect();
        let named: BTreeSet<ServerId> = rows.iter().map(|(id, _)| *id).collect();
        let gone = |s: &Server| taken.contains(&s.row.addr) && s.row.state == ServerState::Draining;
        let servers = self.servers.iter().filter(|(id, s)| gone(s) && !named.contains(*id));
        servers.map(|(id, s)| (*id, Row { state: ServerState::Gone, ..s.row.clone() })).collect()
    }

    /// Whether list and module stand, so that set-ups can be taken.
    pub fn ready(&self) -> bool {
        self.ready && self.recovering.is_none()
    }

    // ----- the event bus

    fn follow(&mut self) {
        match self.follower.step(self.now) {
            Step::Wait => return,
            Step::Drop(conn) => {
                let (last, open) = (self.follower.last(), self.follower.is_open());
                warn!(last, open, "the event bus is silent");
                self.out.push(Output::Close { conn });
                self.bus_closed();
            }
            Step::Ask => {}
        }
        if self.follower.step(self.now) == Step::Ask {
            let conn = self.number();
            self.follower.asked(conn, self.now);
            self.out.push(Output::Listen { conn, addr: self.follower.addr(), last: self.follower.last() });
        }
    }

    fn bus_closed(&mut self) {
        let lot = self.random.random();
        self.follower.closed(self.now, lot);
    }

    // ----- timers, numbers

    pub(crate) fn set(&mut self, at: Nanos, due: Due) {
        self.timer += 1;
        self.timers.insert((at, self.timer), due);
    }

    fn timers(&mut self) {
        while let Some(first) = self.timers.first_entry().filter(|e| e.key().0 <= self.now) {
            match first.remove() {
                Due::Module(token) => self.events.push_back(Event::Timer { token }),
                Due::Attempt(id, attempt) => self.attempt_due(id, attempt),
                Due::Connect(conn) => self.connect_due(conn),
                Due::Withdrawal(conn) => self.withdrawal_due(conn),
                // Again each tick, for set-ups go on coming until the process has ended.
                Due::Last => {
                    self.set(self.now + TIDY / 10, Due::Last);
                    self.answer_the_rest();
                }
                Due::Tidy => {
                    self.set(self.now + TIDY, Due::Tidy);
                    self.tidy_viewers();
                    self.tidy_choosing();
                    self.tidy_servers();
                    self.tidy_releases();
                    self.tidy_recovery();
                    self.report();
                }
            }
            self.settle();
        }
    }

    /// A line for the log now and then.
    fn report(&mut self) {
        if self.now < self.told_at + 5 * SECOND {
            return;
        }
        self.told_at = self.now;
        let ((open, standing), books, counts) = (self.held(), self.books(), self.counts);
        info!(open, standing, ?books, bus = self.follower.last(), ?counts, "so far");
    }

    /// The number of a new connection of the node's own making.
    pub(crate) fn number(&mut self) -> ConnId {
        self.conn += 2;
        ConnId(self.conn)
    }
}

impl<D> Node<D> {
    /// Writes a message to a viewer.
    pub(crate) fn write(&mut self, conn: ConnId, message: &isup::Message) {
        if let Some(bytes) = message.encode() {
            self.out.push(Output::Write { conn, bytes });
        }
    }

    /// Tells a viewer that a session that stood is over: on the connection it came by if that is open, else on any.
    pub(crate) fn release(&mut self, viewer: ConnId, message: isup::Message) {
        match self.viewers.contains_key(&viewer) {
            true => {
                tracing::debug!(session = %format_args!("{:016x}", message.session), conn = viewer.0, "released where it came by");
                self.write(viewer, &message);
            }
            false => {
                if self.releases.len() == RELEASES {
                    self.releases.pop_front();
                }
                self.releases.push_back((self.now, message));
                self.tidy_releases();
            }
        }
    }

    /// Sends the releases that wait, where there is a connection to send them on.
    pub(crate) fn tidy_releases(&mut self) {
        if self.releases.is_empty() {
            return;
        }
        while let Some((since, _)) = self.releases.front() {
            let waited = self.now.saturating_sub(*since);
            let bearers = self.viewers.iter().map(|(c, v)| (c.0, v.bearer()));
            let conn = limits::viewers::bearer(bearers, waited).map(ConnId);
            if conn.is_none() && waited < limits::viewers::RELEASE_KEPT {
                break;
            }
            let Some((_, message)) = self.releases.pop_front() else { break };
            match conn {
                Some(conn) => {
                    let session = format!("{:016x}", message.session);
                    tracing::debug!(session, conn = conn.0, "released on another connection");
                    self.write(conn, &message);
                }
                None => warn!(session = message.session, "a release could not be told to anyone"),
            }
        }
    }
}

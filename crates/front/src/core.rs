//! The front as a state machine: inputs and the time in, outputs out. No I/O, no clock, seeded randomness.
//!
//! It joins three things: what viewers and boxes say, the decision module, and the books of who is owed what.
//! The module is told of every request, attempt, note and list; which box, which rung, which time-out, whether
//! again and whether at all are its choices. The core keeps what those choices must hold to on the wire: one
//! answer to each request, one attempt of a session out at a time, nothing left behind at a box.

use crate::asking::Asking;
use crate::books::{Calls, Owed, Plays, Publications, Sessions, Visits};
use crate::endpoint::{SDP, dress};
use crate::hints::Ladder;
use crate::io::{CallId, ConnId, Input, Output, Purpose, Timer};
use crate::media;
use crate::seats::Permitted;
use crate::session::{Asked, Phase, Session, SettingUp};
use crate::state::MediaBox;
pub use crate::state::{Counts, Front};
use micadyke::decide::Controller;
use micadyke::interface::{
    Action, Event, ListKind, Nanos, Outcome, ServerEntry, ServerId, ServerState, SessionId, SettingsError,
};
use micadyke::module::Decide;
use micadyke_config::{BoxRow, Config, RouteKind};
use micadyke_http::{Method, Request, Response};
use micadyke_recovery::phases::RecoveryInput;
use micadyke_tokens::bearer::Checker;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

impl Front {
    /// A front with the decision module; refuses settings that the module refuses.
    pub fn new(config: Rc<Config>, seed: [u8; 32], now: Nanos) -> Result<Self, SettingsError> {
        let mut random = StdRng::from_seed(seed);
        let module = Controller::new(config.settings.clone(), random.random(), now)?;
        Ok(Self::with(config, Box::new(module), random, now))
    }

    /// A front around other decisions: for tests that must see a rule broken.
    #[doc(hidden)]
    pub fn with_module(config: Rc<Config>, module: Box<dyn Decide>, seed: [u8; 32], now: Nanos) -> Self {
        Self::with(config, module, StdRng::from_seed(seed), now)
    }

    /// Checks signed tokens on routes that ask for them; `epoch` is the Unix time of the front's time zero, in
    /// nanoseconds.
    pub fn with_entitlements(&mut self, checker: Checker, epoch: u64) {
        self.entitlements = Some((checker, epoch));
    }

    /// Lets attempts overlap: a front broken on purpose.
    #[doc(hidden)]
    pub fn break_overlap(&mut self) {
        self.overlap = true;
    }

    /// Sends to boxes whatever the list says of them: a front broken on purpose.
    #[doc(hidden)]
    pub fn break_list(&mut self) {
        self.deaf = true;
    }

    fn with(config: Rc<Config>, module: Box<dyn Decide>, random: StdRng, now: Nanos) -> Self {
        let s = &config.settings;
        let ladder = |scale| Ladder::new(s.ladder.iter().map(|r| r.rate), scale);
        let ladders = s.classes.iter().map(|c| ladder(c.scale)).collect();
        Front {
            config,
            module,
            now,
            random,
            stopping: false,
            next_id: 1,
            events: VecDeque::new(),
            actions: Vec::new(),
            timers: BinaryHeap::new(),
            boxes: BTreeMap::new(),
            sessions: Sessions::default(),
            calls: Calls::default(),
            owed: Owed::default(),
            publications: Publications::default(),
            visits: Visits::default(),
            plays: Plays::default(),
            ladders,
            entitlements: None,
            seats: None,
            counts: Counts::default(),
            keeping: false,
            returning: None,
            asking: Asking::default(),
            spread: None,
            cold_from: 0,
            out: Vec::new(),
            overlap: false,
            recording: false,
            deaf: false,
        }
    }

    /// Tells of each question that is taken, by [`Output::Taken`].
    pub fn record_questions(&mut self) {
        self.recording = true;
    }

    /// When [`Input::Tick`] is due.
    pub fn deadline(&self) -> Option<Nanos> {
        let timer = self.timers.peek().map(|Reverse((at, ..))| *at);
        let seats = self.seats.as_ref().and_then(|s| s.deadline());
        timer.into_iter().chain(seats).chain(self.returning_deadline()).min()
    }

    /// Requests that still wait for their answer.
    pub fn owed(&self) -> usize {
        self.owed.len()
    }

    /// Calls that withdraw what nobody waits for, and attempts that may still need it.
    pub fn unsettled(&self) -> usize {
        self.calls.unsettled()
    }

    /// Sessions held, set-ups included.
    pub fn held(&self) -> usize {
        self.sessions.len()
    }

    /// Plays over HTTP, with and without a place.
    pub fn plays(&self) -> usize {
        self.plays.len()
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Takes one input at time `now`; what is to be done is appended to `out`.
    pub fn handle(&mut self, now: Nanos, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        // A front that stood still finds all overdue at once: first it lets go of the seats whose time is over.
        self.seats(|s, now| s.tick(now));
        match input {
            Input::Request { conn, request, peer, waited } => self.request(conn, request, peer, waited),
            Input::Gone { conn } => self.gone(conn),
            Input::List { rows, epoch } => {
                if let Some((rows, epoch)) = self.hold_back(rows, epoch) {
                    self.list(rows, epoch);
                }
            }
            Input::Fleet(fact) => self.recover(fact.as_input()),
            Input::Part { always, leased, span } => {
                let until = self.now.saturating_add(span);
                self.events.push_back(Event::ColdBudgetShare {
                    guaranteed: always,
                    leased,
                    lease_ends_at: until,
                });
            }
            Input::Reply { call, result } => self.reply(call, result),
            Input::Closed { call } => self.closed(call),
            Input::StreamOpened { stream } => self.stream_opened(stream),
            Input::Event { stream, event } => self.event(stream, &event),
            Input::StreamEnded { stream, cut } => self.stream_ended(stream, cut),
            Input::Tick => self.tick(),
            Input::Stop => self.stopping = true,
        }
        self.settle();
        out.append(&mut self.out);
    }

    /// A number never given out before.
    pub(crate) fn id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// A random name for a session's resource: it is what lets a viewer end or change the session.
    pub(crate) fn name(&mut self) -> u128 {
        self.random.random()
    }

    pub(crate) fn respond(&mut self, conn: ConnId, response: Response) {
        let mut response = dress(response);
        response.keep_alive &= !self.stopping;
        self.out.push(Output::Respond { conn, response });
    }

    pub(crate) fn timer(&mut self, after: Nanos, timer: Timer) {
        let id = self.id();
        self.timers.push(Reverse((self.now.saturating_add(after), id, timer)));
    }

    /// Queues an event for the module; it is told of it before this turn ends.
    pub(crate) fn tell(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Tells the module what is queued, and carries out what it answers, until both are done.
    pub(crate) fn settle(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.module.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::SetRung { session, rung } => self.set_rung(session, rung),
            Action::Send { session, server, timeout } => self.send(session, server, timeout),
            Action::Refuse { session, retry_after } => {
                // While the front comes back, all are refused: not all of them are told to come at once.
                let spread = self.spread.as_mut().map(|s| s.advise(self.now));
                self.refuse(session, spread.unwrap_or(retry_after));
            }
            Action::Fail { session } => self.fail(session),
            Action::SetTimer { after, token } => self.timer(after, Timer::Module(token)),
            Action::Subscribe => self.out.push(Output::Subscribe),
        }
    }

    fn tick(&mut self) {
        self.recover(RecoveryInput::Timer);
        while self.timers.peek().is_some_and(|Reverse((at, ..))| *at <= self.now) {
            let Some(Reverse((_, _, timer))) = self.timers.pop() else { return };
            match timer {
                Timer::Module(token) => self.tell(Event::Timer { token }),
                Timer::Attempt(call) => self.overdue(call),
                Timer::Linger(call) => {
                    if self.calls.is_out(call) {
                        self.out.push(Output::Abort { call });
                    }
                }
                Timer::Resubscribe(session) => self.subscribe(session),
                Timer::Withdraw(session, addr, path, tries) => self.withdraw(session, addr, path, tries),
                Timer::SeatWait(session) => drop(self.seats(|s, now| s.overdue(now, session))),
                Timer::Permit(session) => drop(self.seats(|s, _| s.permit_overdue(session))),
                Timer::Silence(play) => self.silent(play),
            }
            self.settle();
        }
    }

    // ----- the list

    pub(crate) fn list(&mut self, rows: Vec<BoxRow>, epoch: u64) {
        let mut entries = Vec::with_capacity(rows.len());
        let mut named = BTreeSet::new();
        let mut restarted = Vec::new();
        for mut row in rows {
            row.started_at = row.started_at.max(self.cold_from);
            let server = ServerId(row.id);
            if self.boxes.get(&server).is_some_and(|b| b.row.started_at < row.started_at) {
                restarted.push(server);
            }
            // A start before the front's own time zero is as old as time zero; 0: long ago.
            let since_zero = row.started_at.saturating_sub(epoch).max(1);
            let started_at = if row.started_at == 0 { 0 } else { since_zero };
            named.insert(server);
            entries.push(ServerEntry {
                server,
                state: row.state,
                kind: row.kind,
                weight: row.weight,
                cell: row.cell,
                zone: row.zone,
                started_at,
            });
            let (playing, plays) =
                self.boxes.remove(&server).map(|b| (b.playing, b.plays)).unwrap_or_default();
            self.boxes.insert(server, MediaBox { row, playing, plays });
        }
        for (server, b) in &mut self.boxes {
            if !named.contains(server) {
                b.row.state = ServerState::Gone;
            }
            if b.row.state == ServerState::Gone {
                restarted.push(*server);
            }
        }
        // Nothing else tells the front so: plays hold no connection to their box.
        restarted.into_iter().for_each(|server| self.displace_all(server));
        let empty = |b: &MediaBox| b.playing.is_empty() && b.plays.is_empty();
        let gone = |b: &MediaBox| b.row.state == ServerState::Gone && empty(b);
        let left: Vec<ServerId> = self.boxes.iter().filter(|(_, b)| gone(b)).map(|(s, _)| *s).collect();
        for server in left {
            self.boxes.remove(&server);
            self.seats(|s, _| s.forget_box(server));
        }
        self.tell(Event::List { kind: ListKind::Full, entries });
    }

    // ----- books

    /// Ends a session's books; its name stays known, so that a repeated DELETE is answered alike.
    pub(crate) fn forget(&mut self, id: SessionId) -> Option<Session> {
        let (session, stream) = self.sessions.close(id, self.config.bounds.ended)?;
        self.seats(|s, now| s.closed(now, id, &session));
        self.keep_no_more(&session);
        self.asked_for(id);
        if let Phase::Playing(p) = &session.phase
            && let Some(b) = self.boxes.get_mut(&p.place.server)
        {
            b.playing.remove(&id);
            b.plays.remove(&id);
        }
        if let Some(stream) = stream {
            self.out.push(Output::Unlisten { stream });
        }
        self.publications.end(&session.title, id);
        self.unplaced(id, &session);
        Some(session)
    }

    /// Whether nothing forbids this box a new set-up by what the list says now.
    pub(crate) fn may_take(&self, server: ServerId) -> Option<SocketAddr> {
        let b = self.boxes.get(&server)?;
        (b.row.state == ServerState::Ready || self.deaf).then_some(b.row.address)
    }

    // ----- attempts

    fn send(&mut self, id: SessionId, server: ServerId, timeout: Nanos) {
        let overlap = self.overlap;
        let due = self.now.saturating_add(timeout);
        let Some(s) = self.sessions.setting_up(id) else {
            return self.tell(Event::Ended {
                session: id,
                server,
                outcome: Outcome::NotSent,
                finished: true,
            });
        };
        if let Some(old) = s.out.take().filter(|_| !overlap) {
            s.closing = Some(old);
            self.calls.give_up(old);
            self.out.push(Output::Abort { call: old });
        }
        s.next = Some((server, due));
        if s.closing.is_none() {
            self.attempt(id);
        }
    }

    /// Sends the attempt that waited for the one before it to close.
    pub(crate) fn attempt(&mut self, id: SessionId) {
        let number = self.id();
        let Some(session) = self.sessions.get_mut(id) else { return };
        let (kind, title) = (session.kind, session.title.clone());
        let Some(s) = session.setting_up() else { return };
        let Some((server, due)) = s.next.take() else { return };
        s.closing = None;
        let mut play = String::new();
        let asked = match &s.asked {
            Asked::Manifest { file, sid } => {
                play = media::resource(number, &title, sid);
                media::set_up(&title, file, sid, number)
            }
            Asked::Offer { text, .. } => {
                let way = if kind == RouteKind::Publish { "whip" } else { "whep" };
                let request = Request::new(Method::Post, format!("/{way}/{title}")).with("accept", SDP);
                request.content(SDP, text.as_bytes())
            }
        };
        let late = due <= self.now;
        let Some(addr) = self.may_take(server).filter(|_| !late) else {
            // The list changed, or time ran out, while the last attempt closed: this one never ran.
            return self.tell(Event::Ended {
                session: id,
                server,
                outcome: Outcome::NotSent,
                finished: false,
            });
        };
        let mut request = self.passed_on(asked);
        match self.permit(id, server, due) {
            Permitted::Freely => {}
            Permitted::With(token) => request = request.with("authorization", format!("Bearer {token}")),
            Permitted::Later => return,
            Permitted::Never => {
                return self.tell(Event::Ended {
                    session: id,
                    server,
                    outcome: Outcome::NotSent,
                    finished: false,
                });
            }
        }
        let (aborted, orphan) = (false, false);
        let purpose = Purpose::SetUp { session: id, server, addr, play: play.into(), aborted, orphan };
        let call = self.call(purpose, addr, request, None);
        if let Some(session) = self.sessions.get(id).filter(|s| s.kind == RouteKind::Media) {
            self.plays.sent(call, session.name);
        }
        if let Some(s) = self.sessions.setting_up(id) {
            s.out = Some(call);
        }
        self.counts.attempts += 1;
        self.timer(due - self.now, Timer::Attempt(call));
    }

    /// A request to a box; it names the front that passes it on (RFC 9110 section 7.6.3).
    pub(crate) fn to_box(&self, method: Method, path: impl Into<String>) -> Request {
        self.passed_on(Request::new(method, path))
    }

    /// A request to a box, with the front's name.
    pub(crate) fn passed_on(&self, request: Request) -> Request {
        request.with("via", format!("1.1 {}", self.config.name))
    }

    /// Makes a call; without a time-out it lasts until it is aborted.
    pub(crate) fn call(
        &mut self, purpose: Purpose, to: SocketAddr, request: Request, timeout: Option<Nanos>,
    ) -> CallId {
        let call = CallId(self.id());
        self.calls.begin(call, purpose);
        let timeout = timeout.map(Duration::from_nanos);
        self.out.push(Output::Call { call, to, request, timeout });
        call
    }

    /// Makes a call that has the usual time.
    pub(crate) fn call_soon(&mut self, purpose: Purpose, to: SocketAddr, request: Request) {
        self.call(purpose, to, request, Some(self.config.bounds.call));
    }

    /// An attempt has had its time.
    fn overdue(&mut self, call: CallId) {
        let Some((session, server)) = self.calls.overdue(call) else { return };
        // Its connection stays open for a while: what comes late is withdrawn. If the module sends another
        // attempt, this one is closed first. A play can be ended without its answer.
        let play = self.sessions.get(session).is_some_and(|s| s.kind == RouteKind::Media);
        if play {
            self.out.push(Output::Abort { call });
        } else {
            self.timer(self.config.bounds.linger, Timer::Linger(call));
        }
        let finished = self.left(session);
        if let Some(s) = self.sessions.setting_up(session) {
            s.last = Some(Outcome::TimedOut);
        }
        self.ended(session, server, Outcome::TimedOut, finished);
    }

    /// Whether nobody waits for a session's answer any more.
    pub(crate) fn left(&mut self, id: SessionId) -> bool {
        self.sessions.setting_up(id).is_none_or(|s: &mut SettingUp| s.conn.is_none())
    }

    /// Tells the module how an attempt ended; a session that nobody waits for is forgotten.
    pub(crate) fn ended(&mut self, session: SessionId, server: ServerId, outcome: Outcome, finished: bool) {
        if finished {
            self.forget(session);
        }
        self.tell(Event::Ended { session, server, outcome, finished });
    }

    fn closed(&mut self, call: CallId) {
        // Set-ups alone are ever aborted.
        if let Some(Purpose::SetUp { session, addr, play, .. }) = self.calls.end(call) {
            self.not_read(session, addr, play);
            self.after_close(session, call);
            self.attempt_settled(call);
        }
    }

    /// An attempt that was given up is closed, or its answer read: the next one may go out.
    pub(crate) fn after_close(&mut self, session: SessionId, call: CallId) {
        let Some(s) = self.sessions.setting_up(session) else { return };
        // The module may send the next one later: it has nothing to wait for then.
        s.out = s.out.filter(|out| *out != call);
        if s.closing == Some(call) {
            s.closing = None;
            self.attempt(session);
        }
    }
}

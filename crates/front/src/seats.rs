//! Seats on the way of a session: asked for before the module is told, given back when the box has confirmed the end.
//!
//! A class without tokens passes through here without a call, a state or a wait.

use crate::core::Front;
use crate::io::{ConnId, Output, Purpose, Timer};
use crate::session::{Phase, Session};
use micadyke::interface::{Event, Nanos, Outcome, ServerId, SessionId, SessionRequest};
use micadyke_http::client::CallError;
use micadyke_http::{Method, Request, Response};
use micadyke_tokens::bound::{self, BoxId, Keeper, KeeperTerms, Permit, SharedKey, Told};
use micadyke_tokens::holder::{self, Holder, User};
use micadyke_tokens::message::{Key, Reply};
use micadyke_tokens::policy::{Lost, Policy, Unreachable, Waited};
use micadyke_tokens::store::{Record, State};
use micadyke_tokens::wheel::Wheel;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use tracing::{debug, warn};

/// Path of the issuer's endpoint.
const SEATS_PATH: &str = "/seats";

/// Whether a set-up may go out.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Permitted {
    /// Its class has no seats, or boxes know no bound.
    Freely,
    /// With this token.
    With(String),
    /// When its box has told its clock.
    Later,
    /// Its seat's time is over.
    Never,
}

/// The seats of a front.
pub(crate) struct Seats {
    holder: Holder,
    address: SocketAddr,
    wait: Nanos,
    stop: Nanos,
    policies: Vec<Option<Policy>>,
    /// Requests that wait for their seat: since when, and for how long they may.
    waiting: HashMap<SessionId, (SessionRequest, Nanos, Nanos)>,
    /// What the holder answers; empty between calls.
    out: Vec<holder::Output>,
    /// Sessions that ended and whose boxes have not said so, by when they must have; those that have are passed over.
    ending: Wheel<SessionId>,
    /// Names of classes, for keys.
    names: Vec<Arc<str>>,
    /// Bounds sessions at their boxes, where boxes know how.
    keeper: Option<Keeper>,
    /// Path at boxes for the keeper's messages.
    path: String,
    /// Set-ups that wait for their box's clock.
    unclocked: BTreeMap<ServerId, Vec<SessionId>>,
    /// Its epoch could not be written down: after a restart it might be used twice, so it is not used at all.
    broken: bool,
}

impl Front {
    /// Takes up the seats of a former start, as its log has them. Must be called before the first input where the
    /// settings name an issuer.
    pub fn with_seats(&mut self, state: State, key: Option<SharedKey>, seed: u64, out: &mut Vec<Output>) {
        let Some(i) = self.config.issuer.clone() else { return };
        let keeper = key.zip(i.bound.as_ref()).map(|(key, _)| {
            let terms = KeeperTerms { name: self.config.name.clone(), drift: i.drift, retry: i.retry };
            Keeper::new(terms, key)
        });
        let path = i.bound.as_ref().map_or_else(String::new, |b| b.path.clone());
        let policy = |c: &micadyke_config::ClassConfig| {
            c.tokens.map(|t| Policy {
                unreachable: if t.use_held { Unreachable::UseHeld } else { Unreachable::Refuse },
                lost: if t.play_on { Lost::PlayOn } else { Lost::End },
            })
        };
        let terms = holder::Terms {
            name: self.config.name.clone(),
            drift: i.drift,
            stop: i.stop,
            retry: i.retry,
            retry_most: i.retry.saturating_mul(16),
            keep: i.keep,
            settle: i.settle,
            most_leases: i.leases,
            reserve: true,
            spread: 0.2,
        };
        if let Some(at) = state.damaged_at {
            warn!(at, "the log of seats is damaged: none of a former start is claimed");
        }
        let mut outputs = Vec::new();
        let holder =
            Holder::new(terms, state.epoch, state.held.into_iter().collect(), seed, self.now, &mut outputs);
        let policies = self.config.classes.iter().map(policy).collect();
        let (wait, stop) = (i.wait, i.stop);
        let waiting = HashMap::new();
        self.seats = Some(Box::new(Seats {
            holder,
            address: i.address,
            wait,
            stop,
            policies,
            waiting,
            out: Vec::new(),
            ending: Wheel::new(self.now),
            names: self.config.classes.iter().map(|c| c.name.as_str().into()).collect(),
            keeper,
            path,
            unclocked: BTreeMap::new(),
            broken: false,
        }));
        self.seat_outputs(outputs);
        out.append(&mut self.out);
    }

    /// Whether a class asks the issuer for seats.
    pub(crate) fn seated(&self, class: usize) -> bool {
        self.seats.as_ref().is_some_and(|s| s.policies.get(class).is_some_and(Option::is_some))
    }

    /// Calls the holder, and carries out what it answers.
    fn holder(&mut self, call: impl FnOnce(&mut Holder, Nanos, &mut Vec<holder::Output>)) {
        let Some(seats) = self.seats.as_mut() else { return };
        let mut out = std::mem::take(&mut seats.out);
        call(&mut seats.holder, self.now, &mut out);
        self.seat_outputs(out);
    }

    /// What a session's seat is counted for.
    fn seat_key(&self, title: &Arc<str>, class: usize) -> Key {
        let name = self.seats.as_ref().and_then(|s| s.names.get(class)).cloned();
        Key { title: title.clone(), class: name.unwrap_or_default() }
    }

    /// A request waits for its seat; the module is told of it when it has one.
    pub(crate) fn wait_for_seat(&mut self, wish: SessionRequest) {
        let (id, now, key) = (wish.session, self.now, self.seat_key(&wish.title.0, wish.class.0));
        let Some(seats) = self.seats.as_mut() else { return };
        if seats.broken {
            return self.refuse_seat(id);
        }
        let mut out = std::mem::take(&mut seats.out);
        seats.holder.acquire(now, key, User(id.0), &mut out);
        if let Some(at) = out.iter().position(|o| *o == holder::Output::Granted(User(id.0))) {
            out.remove(at);
            self.tell(Event::Request(wish));
        } else {
            // Some of its patience is left for the set-up.
            let wait = seats.wait.min(wish.give_up_at.saturating_sub(now) / 2);
            seats.waiting.insert(id, (wish, now, wait));
            self.timer(wait, Timer::SeatWait(id));
        }
        self.seat_outputs(out);
    }

    /// A request has waited for its seat for as long as it may.
    pub(crate) fn seat_overdue(&mut self, id: SessionId) {
        let Some(seats) = self.seats.as_ref() else { return };
        let Some((wish, since, wait)) = seats.waiting.get(&id) else { return };
        let key = self.seat_key(&wish.title.0, wish.class.0);
        let policy = seats.policies[wish.class.0].unwrap_or_default();
        let waited = self.now.saturating_sub(*since);
        match policy.on_wait(waited, *wait, seats.holder.has_idle(&key)) {
            Waited::Wait => {}
            Waited::UseHeld => self.holder(|h, now, out| {
                h.release(now, User(id.0), out);
                h.acquire(now, key, User(id.0), out);
            }),
            Waited::Refuse => {
                debug!(session = id.0, "no answer about its seat: refused");
                self.free_seat(id);
                self.refuse_seat(id);
            }
        }
    }

    fn refuse_seat(&mut self, id: SessionId) {
        if let Some(seats) = self.seats.as_mut() {
            seats.waiting.remove(&id);
        }
        self.counts.refused += 1;
        self.answer(id, Response::problem(503, "no seat is free").with("retry-after", "1"));
    }

    /// Whether a session still waits for its seat; it waits no more.
    pub(crate) fn stop_waiting(&mut self, id: SessionId) -> bool {
        self.seats.as_mut().is_some_and(|s| s.waiting.remove(&id).is_some())
    }

    /// A session's books are closed: its seat is free now where nothing was sent for it, else when its box has
    /// confirmed the end, or when the box must have ended it by itself.
    pub(crate) fn seat_of(&mut self, id: SessionId, session: &Session) {
        if !self.seated(session.class) {
            return;
        }
        let sent = match &session.phase {
            Phase::Playing(_) => true,
            Phase::SettingUp(s) => {
                s.last.is_some() || s.out.is_some() || s.closing.is_some() || s.stands.is_some()
            }
        };
        let now = self.now;
        let Some(seats) = self.seats.as_mut() else { return };
        // Its box may be out of reach: then it ends the session when the last token that it can have says so.
        let bounded = seats.keeper.as_mut().and_then(|k| k.ended(User(id.0)));
        let wait = seats.stop + bounded.map_or(0, |until| until.saturating_sub(now));
        if sent { seats.ending.insert(now.saturating_add(wait), id) } else { self.free_seat(id) }
    }

    // ----- the bound at the box

    /// Whether a set-up may go out to a box now, and with what token.
    pub(crate) fn permit(
        &mut self, id: SessionId, server: ServerId, to: SocketAddr, due: Nanos,
    ) -> Permitted {
        let Some(session) = self.sessions.get(id).filter(|s| self.seated(s.class)) else {
            return Permitted::Freely;
        };
        let class = &self.config.classes[session.class];
        let key = self.seat_key(&session.title, session.class);
        // A class whose sessions outlive their seats is not bounded by them.
        let plays_on = class.tokens.is_some_and(|t| t.play_on);
        let (now, user, at) = (self.now, User(id.0), BoxId(server.0));
        let Some(seats) = self.seats.as_mut() else { return Permitted::Freely };
        let Some(until) = seats.holder.until(user, now) else {
            // The front stood still between grant and set-up, or its issuer is out of reach.
            return Permitted::Never;
        };
        let Some(keeper) = seats.keeper.as_mut().filter(|_| !plays_on) else { return Permitted::Freely };
        let mut out = Vec::new();
        let permit = keeper.permit(now, at, user, &key, until, &mut out);
        let permitted = match permit {
            Permit::Token(token) => Permitted::With(token),
            Permit::Over => Permitted::Never,
            Permit::Wait => {
                seats.unclocked.entry(server).or_default().push(id);
                Permitted::Later
            }
        };
        if permitted == Permitted::Later {
            if let Some(s) = self.sessions.setting_up(id) {
                s.next = Some((server, due));
            }
            self.timer(due.saturating_sub(now), Timer::Permit(id));
        }
        self.bound_outputs(out, Some((to, due.saturating_sub(now))));
        permitted
    }

    /// A set-up still waits for its box's clock, and its time is over: it never ran.
    pub(crate) fn permit_overdue(&mut self, id: SessionId) {
        let Some(seats) = self.seats.as_mut() else { return };
        let waits = seats.unclocked.iter_mut().find_map(|(server, all)| {
            let at = all.iter().position(|w| *w == id)?;
            all.remove(at);
            Some(*server)
        });
        if let Some(server) = waits {
            self.not_permitted(id, server, Outcome::NotSent);
        }
    }

    fn not_permitted(&mut self, id: SessionId, server: ServerId, outcome: Outcome) {
        let next = self.sessions.setting_up(id).and_then(|s| s.next.take());
        if next.is_some() {
            self.tell(Event::Ended { session: id, server, outcome, finished: false });
        }
    }

    /// A box told its clock, answered a renewal, or did neither.
    pub(crate) fn bound_replied(
        &mut self, server: ServerId, renewal: bool, result: Result<Response, CallError>,
    ) {
        // 409: the renewal was for another start of the box; it tells of this one.
        let told = result
            .ok()
            .filter(|r| r.status == 200 || r.status == 409)
            .and_then(|r| serde_json::from_slice::<Told>(&r.body).ok());
        let known = told.is_some();
        let now = self.now;
        let Some(seats) = self.seats.as_mut() else { return };
        let Some(keeper) = seats.keeper.as_mut() else { return };
        let mut out = Vec::new();
        keeper.told(now, BoxId(server.0), renewal, told, &mut out);
        let waited =
            if known || !renewal { seats.unclocked.remove(&server).unwrap_or_default() } else { Vec::new() };
        self.bound_outputs(out, None);
        for id in waited {
            if known {
                self.attempt(id);
            } else {
                self.not_permitted(id, server, Outcome::NoConnection);
            }
        }
    }

    /// A session stands at a box, bounded by the token of its set-up.
    pub(crate) fn bounded(&mut self, id: SessionId, server: ServerId, path: &str) {
        let now = self.now;
        if let Some(keeper) = self.seats.as_mut().and_then(|s| s.keeper.as_mut()) {
            keeper.stands(now, BoxId(server.0), User(id.0), path);
        }
    }

    /// Whether a box's refusal is of the token, so that the set-up never ran.
    pub(crate) fn token_refused(&mut self, id: SessionId, server: ServerId, status: u16) -> bool {
        let seated = self.sessions.get(id).is_some_and(|s| self.seated(s.class));
        let keeper = self.seats.as_mut().and_then(|s| s.keeper.as_mut());
        match keeper.filter(|_| seated && matches!(status, 401 | 403)) {
            Some(keeper) => {
                warn!(session = id.0, server = server.0, "its box turned the seat's token away");
                keeper.refused(BoxId(server.0));
                true
            }
            None => false,
        }
    }

    /// A box left the list.
    pub(crate) fn forget_clock(&mut self, server: ServerId) {
        if let Some(keeper) = self.seats.as_mut().and_then(|s| s.keeper.as_mut()) {
            keeper.forget(BoxId(server.0));
        }
    }

    /// `asked`: for a set-up, at this address, that waits so long at most.
    fn bound_outputs(&mut self, outputs: Vec<bound::Output>, asked: Option<(SocketAddr, Nanos)>) {
        for output in outputs {
            let (at, body) = match output {
                bound::Output::Gone(user) => {
                    let id = SessionId(user.0);
                    debug!(session = id.0, "its box knows it no more");
                    self.ended_at_box(id, Outcome::Served, true);
                    continue;
                }
                bound::Output::Ask(at) => (at, None),
                bound::Output::Send(at, renewal) => (at, Some(renewal)),
            };
            let server = ServerId(at.0);
            let renewal = body.is_some();
            let listed = || self.boxes.get(&server).map(|b| b.row.address);
            let addr = asked.map(|a| a.0).or_else(listed);
            let path = self.seats.as_ref().map_or_else(String::new, |s| s.path.clone());
            let Some(addr) = addr else {
                self.bound_replied(server, renewal, Err(CallError::NoConnection));
                continue;
            };
            let (purpose, request) = match body {
                None => (Purpose::Clock { server }, self.to_box(Method::Get, path)),
                Some(jwt) => (
                    Purpose::Renew { server },
                    self.to_box(Method::Post, path).content("application/jwt", jwt.into_bytes()),
                ),
            };
            let most = self.config.bounds.call;
            self.call(purpose, addr, request, Some(asked.map_or(most, |a| a.1.min(most))));
        }
    }

    /// A seat is given back.
    pub(crate) fn free_seat(&mut self, id: SessionId) {
        self.holder(|h, now, out| h.release(now, User(id.0), out));
    }

    /// An answer of the issuer, or none: the holder sends again by its own clock.
    pub(crate) fn issuer_replied(&mut self, result: Result<Response, CallError>) {
        let reply = result
            .ok()
            .filter(|r| r.status == 200)
            .and_then(|r| serde_json::from_slice::<Reply>(&r.body).ok());
        if let Some(reply) = reply {
            self.holder(|h, now, out| h.reply(now, &reply, out));
        }
    }

    /// What is due about seats.
    pub(crate) fn seat_tick(&mut self) {
        let now = self.now;
        let Some(seats) = self.seats.as_mut() else { return };
        if seats.holder.next().is_some_and(|at| at <= now) {
            self.holder(Holder::tick);
        }
        let Some(seats) = self.seats.as_mut() else { return };
        if seats.ending.next().is_some_and(|at| at <= now) {
            let mut over = Vec::new();
            seats.ending.advance(now, &mut over);
            over.into_iter().for_each(|id| self.free_seat(id));
        }
        let keeper = self.seats.as_mut().and_then(|s| s.keeper.as_mut());
        if let Some(keeper) = keeper.filter(|k| k.next().is_some_and(|at| at <= now)) {
            let mut out = Vec::new();
            keeper.tick(now, &mut out);
            self.bound_outputs(out, None);
        }
    }

    /// When [`Front::seat_tick`] is due.
    pub(crate) fn seat_deadline(&self) -> Option<Nanos> {
        let seats = self.seats.as_ref()?;
        let keeper = seats.keeper.as_ref().and_then(Keeper::next);
        seats.holder.next().into_iter().chain(seats.ending.next()).chain(keeper).min()
    }

    fn seat_outputs(&mut self, mut outputs: Vec<holder::Output>) {
        for output in outputs.drain(..) {
            match output {
                holder::Output::Record(record) => self.out.push(Output::Record(record)),
                holder::Output::Send(request) => {
                    let to = self.seats.as_ref().filter(|s| !s.broken).map(|s| s.address);
                    let Some(to) = to else { continue };
                    let body = serde_json::to_vec(&request).unwrap_or_default();
                    let key = format!("\"{}-{}-{}\"", request.holder, request.epoch, request.seq);
                    let post = Request::new(Method::Post, SEATS_PATH)
                        .with("idempotency-key", key)
                        .content("application/json", body);
                    self.call_soon(Purpose::Issuer, to, post);
                }
                holder::Output::Granted(user) => {
                    let id = SessionId(user.0);
                    let wish = self.seats.as_mut().and_then(|s| s.waiting.remove(&id));
                    match wish.filter(|_| self.sessions.get(id).is_some()) {
                        Some((wish, ..)) => self.tell(Event::Request(wish)),
                        None => self.free_seat(id),
                    }
                }
                holder::Output::Extended(user, until) => {
                    let now = self.now;
                    if let Some(keeper) = self.seats.as_mut().and_then(|s| s.keeper.as_mut()) {
                        keeper.extended(now, user, until);
                    }
                }
                holder::Output::Full(user) => self.refuse_seat(SessionId(user.0)),
                holder::Output::Lost(user) => self.seat_lost(SessionId(user.0)),
            }
        }
        if let Some(seats) = self.seats.as_mut() {
            seats.out = outputs;
        }
    }

    /// A session's seat cannot be counted on any more.
    fn seat_lost(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let class = session.class;
        let ends = self.seats.as_ref().and_then(|s| s.policies[class]).unwrap_or_default().ends_on_loss();
        warn!(session = id.0, ends, "its seat is lost");
        if !ends {
            return;
        }
        let conn: Option<ConnId> = session.setting_up().and_then(|s| s.conn.take());
        match conn {
            // Its set-up goes on for nobody, and is withdrawn.
            Some(conn) => {
                self.owed.settled(conn);
                self.respond(conn, Response::problem(502, "the session's seat was lost"));
                self.tell(Event::Left { session: id });
                self.abandon(id);
            }
            None => self.delete(id),
        }
    }

    /// Whether seats are not used because the epoch could not be written.
    pub fn seats_broken(&self) -> bool {
        self.seats.as_ref().is_some_and(|s| s.broken)
    }

    /// A record could not be written. Without a lease's record a restart only takes longer; without an epoch's no
    /// seat may be asked for: the next start would take the same epoch, and its messages for this one's.
    pub fn not_recorded(&mut self, record: &Record) {
        if let (Record::Epoch(_), Some(seats)) = (record, self.seats.as_mut()) {
            seats.broken = true;
            warn!("no seats until the next start: the epoch could not be written");
        }
    }
}

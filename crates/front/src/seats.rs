//! Seats on the way of a session: asked for before the module is told, given back when the box has confirmed the end.
//!
//! A class without tokens passes through here without a call, a state or a wait.

use crate::core::{ConnId, Front, Output, Purpose, Timer};
use crate::session::{Phase, Session};
use micadyke::interface::{Nanos, SessionId, SessionRequest};
use micadyke_http::client::CallError;
use micadyke_http::{Method, Request, Response};
use micadyke_tokens::holder::{self, Holder, User};
use micadyke_tokens::message::{Key, Reply};
use micadyke_tokens::policy::{Lost, Policy, Unreachable, Waited};
use micadyke_tokens::store::{Record, State};
use std::collections::HashMap;
use std::net::SocketAddr;
use tracing::{debug, warn};

/// Path of the issuer's endpoint.
const SEATS_PATH: &str = "/seats";

/// The seats of a front.
pub(crate) struct Seats {
    holder: Holder,
    address: SocketAddr,
    wait: Nanos,
    stop: Nanos,
    policies: Vec<Option<Policy>>,
    /// Requests that wait for their seat: since when, and for how long they may.
    waiting: HashMap<SessionId, (SessionRequest, Nanos, Nanos)>,
    /// Its epoch could not be written down: after a restart it might be used twice, so it is not used at all.
    broken: bool,
}

impl Front {
    /// Takes up the seats of a former start, as its log has them. Must be called before the first input where the
    /// settings name an issuer.
    pub fn with_seats(&mut self, state: State, seed: u64, out: &mut Vec<Output>) {
        let Some(i) = self.config.issuer.clone() else { return };
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
        let broken = false;
        self.seats =
            Some(Box::new(Seats { holder, address: i.address, wait, stop, policies, waiting, broken }));
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
        let mut out = Vec::new();
        call(&mut seats.holder, self.now, &mut out);
        self.seat_outputs(out);
    }

    /// What a request's seat is counted for.
    fn seat_key(&self, wish: &SessionRequest) -> Key {
        Key { title: wish.title.0.clone(), class: self.config.classes[wish.class.0].name.as_str().into() }
    }

    /// A request waits for its seat; the module is told of it when it has one.
    pub(crate) fn wait_for_seat(&mut self, wish: SessionRequest) {
        let (id, now, key) = (wish.session, self.now, self.seat_key(&wish));
        let Some(seats) = self.seats.as_mut() else { return };
        if seats.broken {
            return self.refuse_seat(id);
        }
        // Some of its patience is left for the set-up.
        let wait = seats.wait.min(wish.give_up_at.saturating_sub(now) / 2);
        seats.waiting.insert(id, (wish, now, wait));
        self.holder(|h, now, out| h.acquire(now, key, User(id.0), out));
        self.timer(wait, Timer::SeatWait(id));
    }

    /// A request has waited for its seat for as long as it may.
    pub(crate) fn seat_overdue(&mut self, id: SessionId) {
        let Some(seats) = self.seats.as_ref() else { return };
        let Some((wish, since, wait)) = seats.waiting.get(&id) else { return };
        let key = self.seat_key(wish);
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
        let stop = self.seats.as_ref().map_or(0, |s| s.stop);
        if sent { self.timer(stop, Timer::SeatFree(id)) } else { self.free_seat(id) }
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
        if self.seat_deadline().is_some_and(|at| at <= self.now) {
            self.holder(Holder::tick);
        }
    }

    /// When [`Front::seat_tick`] is due.
    pub(crate) fn seat_deadline(&self) -> Option<Nanos> {
        self.seats.as_ref().and_then(|s| s.holder.next())
    }

    fn seat_outputs(&mut self, outputs: Vec<holder::Output>) {
        for output in outputs {
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
                    match wish.filter(|_| self.sessions.contains_key(&id)) {
                        Some((wish, ..)) => self.tell(micadyke::interface::Event::Request(wish)),
                        None => self.free_seat(id),
                    }
                }
                holder::Output::Full(user) => self.refuse_seat(SessionId(user.0)),
                holder::Output::Lost(user) => self.seat_lost(SessionId(user.0)),
            }
        }
    }

    /// A session's seat cannot be counted on any more.
    fn seat_lost(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
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
                self.owed.remove(&conn);
                self.respond(conn, Response::problem(502, "the session's seat was lost"));
                self.tell(micadyke::interface::Event::Left { session: id });
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

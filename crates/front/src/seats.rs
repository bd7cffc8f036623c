//! The seats of a front: asked for before the module is told, bounded at boxes by tokens, given back when the box has
//! confirmed the end. A part of its own: calls and the time in, [`Deed`]s out, which the front carries out in order.
//!
//! A class without tokens passes by without a call, a state or a wait.

use crate::io::Timer;
use crate::session::{Phase, Session};
use micadyke::interface::{Nanos, Outcome, ServerId, SessionId, SessionRequest};
use micadyke_config::{ClassConfig, Config};
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

/// Something that the front does for its seats.
#[derive(Debug)]
pub(crate) enum Deed {
    /// Keep this.
    Record(Record),
    /// Send this to the issuer.
    Issuer(SocketAddr, Request),
    /// Ask a box for its clock, or send it a renewal; `within`: give up after this, where the usual time is longer.
    Box { server: ServerId, renewal: Option<String>, within: Nanos },
    /// The module is told of a request: it has its seat.
    Granted(SessionRequest),
    /// There is no seat for a request.
    Refused(SessionId),
    /// A session's seat cannot be counted on any more.
    Lost(SessionId),
    /// A set-up that waited for its box's clock may go out.
    Attempt(SessionId),
    /// A set-up that waited for its box's clock never ran.
    NotSent { session: SessionId, server: ServerId, outcome: Outcome },
    /// A session's box knows it no more.
    Gone(SessionId),
    /// Set a timer.
    Timer(Nanos, Timer),
}

/// The seats of a front.
pub(crate) struct Seats {
    holder: Holder,
    address: SocketAddr,
    wait: Nanos,
    stop: Nanos,
    policies: Vec<Option<Policy>>,
    /// Names of classes, for keys.
    names: Vec<Arc<str>>,
    /// Requests that wait for their seat: since when, and for how long they may.
    waiting: HashMap<SessionId, (SessionRequest, Nanos, Nanos)>,
    /// Sessions that ended and whose boxes have not said so, by when they must have; those that have are passed over.
    ending: Wheel<SessionId>,
    /// Bounds sessions at their boxes, where boxes know how.
    keeper: Option<Keeper>,
    /// Path at boxes for the keeper's messages.
    path: String,
    /// Set-ups that wait for their box's clock.
    unclocked: BTreeMap<ServerId, Vec<SessionId>>,
    /// Its epoch could not be written down: after a restart it might be used twice, so it is not used at all.
    broken: bool,
    /// What the holder and the keeper answer; empty between calls.
    held: Vec<holder::Output>,
    kept: Vec<bound::Output>,
    deeds: Vec<Deed>,
}

impl Seats {
    /// Takes up the seats of a former start, as its store has them; `None` where the settings name no issuer.
    pub(crate) fn new(
        config: &Config, state: State, key: Option<SharedKey>, seed: u64, now: Nanos,
    ) -> Option<Self> {
        let i = config.issuer.as_ref()?;
        let keeper = key.filter(|_| i.bound.is_some()).map(|key| {
            let terms = KeeperTerms { name: config.name.clone(), drift: i.drift, retry: i.retry };
            Keeper::new(terms, key)
        });
        let policy = |c: &ClassConfig| {
            c.tokens.map(|t| Policy {
                unreachable: if t.use_held { Unreachable::UseHeld } else { Unreachable::Refuse },
                lost: if t.play_on { Lost::PlayOn } else { Lost::End },
            })
        };
        let terms = holder::Terms {
            name: config.name.clone(),
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
        let mut held = Vec::new();
        let holder = Holder::new(terms, state.epoch, state.held.into_iter().collect(), seed, now, &mut held);
        let mut seats = Seats {
            holder,
            address: i.address,
            wait: i.wait,
            stop: i.stop,
            policies: config.classes.iter().map(policy).collect(),
            names: config.classes.iter().map(|c| c.name.as_str().into()).collect(),
            waiting: HashMap::new(),
            ending: Wheel::new(now),
            keeper,
            path: i.bound.as_ref().map_or_else(String::new, |b| b.path.clone()),
            unclocked: BTreeMap::new(),
            broken: false,
            held,
            kept: Vec::new(),
            deeds: Vec::new(),
        };
        seats.follow(now);
        Some(seats)
    }

    /// What is to be done; the front asks after each call.
    pub(crate) fn deeds(&mut self) -> Vec<Deed> {
        std::mem::take(&mut self.deeds)
    }

    /// Whether a class asks the issuer for seats.
    pub(crate) fn seated(&self, class: usize) -> bool {
        self.policies.get(class).is_some_and(Option::is_some)
    }

    /// Path at boxes that tells their clock and takes renewals.
    pub(crate) fn path(&self) -> &str {
        &self.path
    }

    /// What a session's seat is counted for.
    fn key(&self, title: &Arc<str>, class: usize) -> Key {
        Key { title: title.clone(), class: self.names.get(class).cloned().unwrap_or_default() }
    }

    // ----- from a request to its seat

    /// A request wants a seat: [`Deed::Granted`] or [`Deed::Refused`], now or later.
    pub(crate) fn acquire(&mut self, now: Nanos, wish: SessionRequest) {
        let (id, key) = (wish.session, self.key(&wish.title.0, wish.class.0));
        if self.broken {
            return self.deeds.push(Deed::Refused(id));
        }
        self.holder.acquire(now, key, User(id.0), &mut self.held);
        if let Some(at) = self.held.iter().position(|o| *o == holder::Output::Granted(User(id.0))) {
            self.held.remove(at);
            self.deeds.push(Deed::Granted(wish));
        } else {
            // Some of its patience is left for the set-up.
            let wait = self.wait.min(wish.give_up_at.saturating_sub(now) / 2);
            self.waiting.insert(id, (wish, now, wait));
            self.deeds.push(Deed::Timer(wait, Timer::SeatWait(id)));
        }
        self.follow(now);
    }

    /// A request has waited for its seat for as long as it may.
    pub(crate) fn overdue(&mut self, now: Nanos, id: SessionId) {
        let Some((wish, since, wait)) = self.waiting.get(&id) else { return };
        let key = self.key(&wish.title.0, wish.class.0);
        let policy = self.policies[wish.class.0].unwrap_or_default();
        match policy.on_wait(now.saturating_sub(*since), *wait, self.holder.has_idle(&key)) {
            Waited::Wait => {}
            Waited::UseHeld => {
                self.holder.release(now, User(id.0), &mut self.held);
                self.holder.acquire(now, key, User(id.0), &mut self.held);
            }
            Waited::Refuse => {
                debug!(session = id.0, "no answer about its seat: refused");
                self.waiting.remove(&id);
                self.holder.release(now, User(id.0), &mut self.held);
                self.deeds.push(Deed::Refused(id));
            }
        }
        self.follow(now);
    }

    /// Whether a session still waits for its seat; it waits no more.
    pub(crate) fn stop_waiting(&mut self, id: SessionId) -> bool {
        self.waiting.remove(&id).is_some()
    }

    /// A session's books are closed: its seat is free now where nothing was sent for it, else when its box has
    /// confirmed the end, or when the box must have ended it by itself.
    pub(crate) fn closed(&mut self, now: Nanos, id: SessionId, session: &Session) {
        if !self.seated(session.class) {
            return;
        }
        let sent = match &session.phase {
            Phase::Playing(_) => true,
            Phase::SettingUp(s) => {
                s.last.is_some() || s.out.is_some() || s.closing.is_some() || s.stands.is_some()
            }
        };
        // Its box may be out of reach: then it ends the session when the last token that it can have says so.
        let bounded = self.keeper.as_mut().and_then(|k| k.ended(User(id.0)));
        let wait = self.stop + bounded.map_or(0, |until| until.saturating_sub(now));
        if sent { self.ending.insert(now.saturating_add(wait), id) } else { self.free(now, id) }
    }

    /// A seat is given back.
    pub(crate) fn free(&mut self, now: Nanos, id: SessionId) {
        self.holder.release(now, User(id.0), &mut self.held);
        self.follow(now);
    }

    // ----- the bound at the box

    /// Whether a set-up may go out to a box now, and with what token; `within`: it waits for the box's clock so long.
    pub(crate) fn permit(
        &mut self, now: Nanos, id: SessionId, title: &Arc<str>, class: usize, server: ServerId, within: Nanos,
    ) -> Permitted {
        if !self.seated(class) {
            return Permitted::Freely;
        }
        let Some(until) = self.holder.until(User(id.0), now) else {
            // The front stood still between grant and set-up, or its issuer is out of reach.
            return Permitted::Never;
        };
        let key = self.key(title, class);
        // A class whose sessions outlive their seats is not bounded by them.
        let ends = self.ends_on_loss(class);
        let Some(keeper) = self.keeper.as_mut().filter(|_| ends) else { return Permitted::Freely };
        let permit = keeper.permit(now, BoxId(server.0), User(id.0), &key, until, &mut self.kept);
        let permitted = match permit {
            Permit::Token(token) => Permitted::With(token),
            Permit::Over => Permitted::Never,
            Permit::Wait => {
                self.unclocked.entry(server).or_default().push(id);
                self.deeds.push(Deed::Timer(within, Timer::Permit(id)));
                Permitted::Later
            }
        };
        self.follow_bound(within);
        permitted
    }

    /// A set-up still waits for its box's clock, and its time is over.
    pub(crate) fn permit_overdue(&mut self, id: SessionId) {
        let waits = self.unclocked.iter_mut().find_map(|(server, all)| {
            let at = all.iter().position(|w| *w == id)?;
            all.remove(at);
            Some(*server)
        });
        if let Some(server) = waits {
            self.deeds.push(Deed::NotSent { session: id, server, outcome: Outcome::NotSent });
        }
    }

    /// A box told its clock, answered a renewal, or did neither.
    pub(crate) fn box_replied(
        &mut self, now: Nanos, server: ServerId, renewal: bool, result: Result<Response, CallError>,
    ) {
        // 409: the renewal was for another start of the box; it tells of this one.
        let told = result
            .ok()
            .filter(|r| r.status == 200 || r.status == 409)
            .and_then(|r| serde_json::from_slice::<Told>(&r.body).ok());
        let known = told.is_some();
        let Some(keeper) = self.keeper.as_mut() else { return };
        keeper.told(now, BoxId(server.0), renewal, told, &mut self.kept);
        self.follow_bound(Nanos::MAX);
        if known || !renewal {
            let outcome = Outcome::NoConnection;
            for session in self.unclocked.remove(&server).unwrap_or_default() {
                self.deeds.push(if known {
                    Deed::Attempt(session)
                } else {
                    Deed::NotSent { session, server, outcome }
                });
            }
        }
    }

    /// A session stands at a box, bounded by the token of its set-up.
    pub(crate) fn stands(&mut self, now: Nanos, id: SessionId, server: ServerId, path: &str) {
        if let Some(keeper) = self.keeper.as_mut() {
            keeper.stands(now, BoxId(server.0), User(id.0), path);
        }
    }

    /// Whether a box's refusal is of the token, so that the set-up never ran.
    pub(crate) fn token_refused(
        &mut self, id: SessionId, class: usize, server: ServerId, status: u16,
    ) -> bool {
        let seated = self.seated(class);
        let Some(keeper) = self.keeper.as_mut().filter(|_| seated && matches!(status, 401 | 403)) else {
            return false;
        };
        warn!(session = id.0, server = server.0, "its box turned the seat's token away");
        keeper.refused(BoxId(server.0));
        true
    }

    /// A box left the list, and nothing plays there.
    pub(crate) fn forget_box(&mut self, server: ServerId) {
        if let Some(keeper) = self.keeper.as_mut() {
            keeper.forget(BoxId(server.0));
        }
    }

    // ----- the issuer and time

    /// An answer of the issuer, or none: the holder sends again by its own clock.
    pub(crate) fn issuer_replied(&mut self, now: Nanos, result: Result<Response, CallError>) {
        let reply = result
            .ok()
            .filter(|r| r.status == 200)
            .and_then(|r| serde_json::from_slice::<Reply>(&r.body).ok());
        if let Some(reply) = reply {
            self.holder.reply(now, &reply, &mut self.held);
            self.follow(now);
        }
    }

    /// Does what is due.
    pub(crate) fn tick(&mut self, now: Nanos) {
        if self.holder.next().is_some_and(|at| at <= now) {
            self.holder.tick(now, &mut self.held);
            self.follow(now);
        }
        if self.ending.next().is_some_and(|at| at <= now) {
            let mut over = Vec::new();
            self.ending.advance(now, &mut over);
            over.into_iter().for_each(|id| self.free(now, id));
        }
        if let Some(keeper) = self.keeper.as_mut().filter(|k| k.next().is_some_and(|at| at <= now)) {
            keeper.tick(now, &mut self.kept);
            self.follow_bound(Nanos::MAX);
        }
    }

    /// When [`Seats::tick`] is due.
    pub(crate) fn deadline(&self) -> Option<Nanos> {
        let keeper = self.keeper.as_ref().and_then(Keeper::next);
        self.holder.next().into_iter().chain(self.ending.next()).chain(keeper).min()
    }

    /// A record could not be written. Without a lease's record a restart only takes longer; without an epoch's no
    /// seat may be asked for: the next start would take the same epoch, and its messages for this one's.
    pub(crate) fn not_recorded(&mut self, record: &Record) {
        if let Record::Epoch(_) = record {
            self.broken = true;
            warn!("no seats until the next start: the epoch could not be written");
        }
    }

    /// Whether seats are not used because the epoch could not be written.
    pub(crate) fn broken(&self) -> bool {
        self.broken
    }

    /// Whether a session of a class ends when its seat is lost.
    pub(crate) fn ends_on_loss(&self, class: usize) -> bool {
        self.policies.get(class).copied().flatten().unwrap_or_default().ends_on_loss()
    }

    /// Turns what the holder answered into deeds.
    fn follow(&mut self, now: Nanos) {
        let mut outputs = std::mem::take(&mut self.held);
        for output in outputs.drain(..) {
            self.deeds.push(match output {
                holder::Output::Record(record) => Deed::Record(record),
                holder::Output::Send(_) if self.broken => continue,
                holder::Output::Send(request) => {
                    let body = serde_json::to_vec(&request).unwrap_or_default();
                    let key = format!("\"{}-{}-{}\"", request.holder, request.epoch, request.seq);
                    let post = Request::new(Method::Post, SEATS_PATH)
                        .with("idempotency-key", key)
                        .content("application/json", body);
                    Deed::Issuer(self.address, post)
                }
                holder::Output::Granted(user) => match self.waiting.remove(&SessionId(user.0)) {
                    Some((wish, ..)) => Deed::Granted(wish),
                    None => {
                        self.holder.release(now, user, &mut self.held);
                        continue;
                    }
                },
                holder::Output::Extended(user, until) => {
                    if let Some(keeper) = self.keeper.as_mut() {
                        keeper.extended(now, user, until);
                    }
                    continue;
                }
                holder::Output::Full(user) => {
                    self.waiting.remove(&SessionId(user.0));
                    Deed::Refused(SessionId(user.0))
                }
                holder::Output::Lost(user) => Deed::Lost(SessionId(user.0)),
            });
        }
        if self.held.is_empty() {
            self.held = outputs;
        } else {
            self.follow(now);
        }
    }

    fn follow_bound(&mut self, within: Nanos) {
        for output in std::mem::take(&mut self.kept) {
            self.deeds.push(match output {
                bound::Output::Gone(user) => Deed::Gone(SessionId(user.0)),
                bound::Output::Ask(at) => Deed::Box { server: ServerId(at.0), renewal: None, within },
                bound::Output::Send(at, jwt) => {
                    Deed::Box { server: ServerId(at.0), renewal: Some(jwt), within }
                }
            });
        }
    }
}

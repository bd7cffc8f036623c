//! A front that comes back: its book of sessions is kept as it changes, and after a start its module is told of no box until
//! [`micadyke_recovery::phases`] are over. Until then each viewer is refused at once.
//!
//! A session of before is a hint: it is in the books, so that its viewer can end it, and its box is asked for its events
//! before anything else is done. A box that does not know it has ended it.

use crate::io::{Output, Purpose, StreamId};
use crate::session::{Phase as Stage, Place, Playing, Session};
use crate::state::Front;
use micadyke::interface::{Event, Nanos, Outcome, ServerId, ServerState, SessionId};
use micadyke_config::{BoxRow, RouteKind, Title};
use micadyke_http::Method;
use micadyke_recovery::SECOND;
use micadyke_recovery::phases::{Limits, Phase, RecoveryInput, RecoveryOutput, RecoveryPhases, ServiceStart};
use micadyke_recovery::record::{self, Change, Key, Record, Server, StoredState};
use micadyke_recovery::retry_spreader::{RetrySpreader, sustainable_rate};
use micadyke_recovery::trust::{Age, Confirmation, Fact, Trust, trust};
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use tracing::info;

/// How long a front that comes back waits at most: as a node does, but that its list is a file.
pub const RECOVERY: Limits =
    Limits { list: 10 * SECOND, view: 20 * SECOND, servers: 2 * SECOND, parts: 6 * SECOND };
/// Boxes that one front asks whether they live.
const ASKED: usize = 8;

/// A front's recovery.
pub(crate) struct Returning {
    phases: RecoveryPhases,
    told: Phase,
    /// The newest list, and the Unix time of the front's time zero.
    list: Option<(Vec<BoxRow>, u64)>,
    /// Boxes that were asked and have not answered.
    asked: usize,
    /// Sessions of before, and the highest rung of their viewers.
    sessions: Vec<SessionId>,
    /// How old what was kept is.
    age: Age,
}

impl Front {
    /// The front keeps its book of sessions by [`Output::Keep`], and comes back by what was kept. To be called before its
    /// first input.
    pub fn comes_back(&mut self, phases: RecoveryPhases, kept: &StoredState, unix: Nanos) {
        self.keeping = true;
        let written = kept.list.as_ref().map_or(0, |l| l.2);
        let settings = &self.config.settings;
        if settings.advises_retry {
            let servers = kept.list.as_ref().map_or(settings.cells as usize, |l| l.3.len()).max(1);
            let each = settings.streams_by_kind.iter().min().copied().unwrap_or(1);
            let streams = servers as f64 * f64::from(each);
            let part = 1.0 / f64::from(settings.fronts.max(1));
            let rate = sustainable_rate(streams, settings.cold_from, settings.cold_for, part);
            self.spread = Some(RetrySpreader::new(rate, settings.max_retry_after));
        }
        let mut sessions = Vec::new();
        for s in kept.sessions.values() {
            match self.take_up(s) {
                Some(id) => sessions.push(id),
                // No route leads to it any more, so that nobody could end it.
                None => self.owe(s.addr, &s.resource),
            }
        }
        for (addr, path) in &kept.owed {
            self.owe(*addr, path);
        }
        info!(
            sessions = sessions.len(),
            owed = kept.owed.len(),
            waits_for = phases.waits_for(self.now),
            "recovery begins"
        );
        let age = Age::of(written, unix);
        let told = phases.phase();
        self.returning = Some(Box::new(Returning { phases, told, list: None, asked: 0, sessions, age }));
    }

    /// Opens the books of a session of before; `None`: the settings have no place for it.
    fn take_up(&mut self, s: &record::Session) -> Option<SessionId> {
        let route = self.config.routes.iter().position(|r| r.prefix == s.route)?;
        let (kind, class) = (self.config.routes[route].kind, self.config.routes[route].class);
        let fits =
            kind != RouteKind::Media && self.config.classes[class].name == s.class && !self.seated(class);
        if !fits || self.sessions.len() >= self.config.bounds.sessions {
            return None;
        }
        let top = self.config.settings.ladder.len() - 1;
        let place = Place {
            server: ServerId(u32::try_from(s.server).ok()?),
            addr: s.addr,
            resource: s.resource.as_str().into(),
            etag: s.etag.as_str().into(),
            layer: s.layer.as_str().into(),
            events: s.events.as_str().into(),
        };
        let id = SessionId(self.id());
        let rung = (s.rung as usize).min(top);
        let session = Session {
            kind,
            route,
            class,
            title: s.title.as_str().into(),
            name: s.name,
            media: s.media.as_str().into(),
            top: (s.top as usize).min(top),
            rung,
            in_force: None,
            phase: Stage::Playing(Playing::new(place)),
        };
        self.sessions.open(id, session);
        self.sessions.published_name(id);
        Some(id)
    }

    fn owe(&mut self, addr: SocketAddr, path: &str) {
        let id = SessionId(self.id());
        self.withdraw(id, addr, path.into(), 0);
    }

    /// Whether a session's class is kept: one with seats is not, for its seat is not its own after a start.
    fn is_kept(&self, session: &Session) -> bool {
        self.keeping && session.kind != RouteKind::Media && !self.seated(session.class)
    }

    /// A session plays, or does so otherwise: it is kept as it stands.
    pub(crate) fn keep_session(&mut self, id: SessionId) {
        let Some(s) = self.sessions.get(id).filter(|s| self.is_kept(s)) else { return };
        let Stage::Playing(p) = &s.phase else { return };
        let record = record::Session {
            name: s.name,
            route: self.config.routes[s.route].prefix.clone(),
            class: self.config.classes[s.class].name.clone(),
            title: s.title.to_string(),
            media: s.media.to_string(),
            top: s.top as u32,
            rung: s.rung as u32,
            server: u64::from(p.place.server.0),
            addr: p.place.addr,
            resource: p.place.resource.to_string(),
            etag: p.place.etag.to_string(),
            layer: p.place.layer.to_string(),
            events: p.place.events.to_string(),
        };
        self.out.push(Output::Keep(Change::Put(Record::Session(Box::new(record)))));
    }

    /// A session's books are closed.
    pub(crate) fn keep_no_more(&mut self, session: &Session) {
        if self.is_kept(session) && matches!(session.phase, Stage::Playing(_)) {
            self.out.push(Output::Keep(Change::Delete(Key::Session(session.name))));
        }
    }

    /// A box is told to end a session, or has confirmed that it did, or is not asked any more.
    pub(crate) fn keep_owed(&mut self, addr: SocketAddr, path: &str, owed: bool) {
        // What a player's report ends is no resource that could be ended again.
        if !self.keeping || !path.starts_with('/') {
            return;
        }
        let path = path.to_owned();
        self.out.push(Output::Keep(match owed {
            true => Change::Put(Record::Owed { addr, path }),
            false => Change::Delete(Key::Owed(addr, path)),
        }));
    }

    /// The list as it is kept: by it the next start knows how old all else is.
    pub fn kept_list(&self, at: Nanos) -> Record {
        let server = |b: &BoxRow| Server {
            id: b.id.to_string(),
            addr: b.address,
            ready: b.state == ServerState::Ready,
            started_at: b.started_at,
        };
        let servers = self.boxes.values().map(|b| server(&b.row)).collect();
        Record::List { version: 0, offset: 0, at, servers }
    }

    /// Whether the front still comes back: its module knows of no box.
    pub(crate) fn comes_back_still(&self) -> bool {
        self.returning.is_some()
    }

    /// When recovery is to be looked after.
    pub(crate) fn returning_deadline(&self) -> Option<Nanos> {
        self.returning.as_ref().map(|r| r.phases.wake_at())
    }

    /// A list came; `None`: it is held back until service begins.
    pub(crate) fn hold_back(&mut self, rows: Vec<BoxRow>, epoch: u64) -> Option<(Vec<BoxRow>, u64)> {
        let Some(r) = &mut self.returning else { return Some((rows, epoch)) };
        r.list = Some((rows, epoch));
        // A file of this machine says what it says: its versions are not numbered.
        self.recover(RecoveryInput::List { version: 0 });
        None
    }

    /// Recovery hears something.
    pub(crate) fn recover(&mut self, heard: RecoveryInput) {
        let (now, mut asks) = (self.now, Vec::new());
        let Some(r) = &mut self.returning else { return };
        r.phases.handle(now, heard, &mut asks);
        if r.told != r.phases.phase() {
            r.told = r.phases.phase();
            let (waits_for, outage) = (r.phases.waits_for(now), r.phases.outage());
            info!(phase = ?r.told, waits_for, ?outage, limit_reached = r.phases.limit_reached, "recovery goes on");
        }
        for ask in asks {
            match ask {
                RecoveryOutput::ProbeServers => self.ask_boxes(),
                RecoveryOutput::StartService(serve) => self.begin_service(serve),
            }
        }
    }

    /// Asks some boxes whether they live; an answer of any kind says so.
    fn ask_boxes(&mut self) {
        let Some(r) = &mut self.returning else { return };
        let rows = r.list.as_ref().map(|l| l.0.as_slice()).unwrap_or_default();
        let ready: Vec<SocketAddr> =
            rows.iter().filter(|b| b.state == ServerState::Ready).map(|b| b.address).collect();
        let asked: Vec<SocketAddr> = ready.choose_multiple(&mut self.random, ASKED).copied().collect();
        r.asked = asked.len();
        for to in &asked {
            let request = self.to_box(Method::Options, "/");
            self.call_soon(Purpose::Alive, *to, request);
        }
        if asked.is_empty() {
            self.recover(RecoveryInput::ServersAnswered);
        }
    }

    /// A box that was asked has answered, or will not.
    pub(crate) fn is_alive(&mut self) {
        let Some(r) = &mut self.returning else { return };
        r.asked = r.asked.saturating_sub(1);
        if r.asked == 0 {
            self.recover(RecoveryInput::ServersAnswered);
        }
    }

    /// Service begins: the module is told of all boxes, and then of what may still play there.
    fn begin_service(&mut self, serve: ServiceStart) {
        let Some(r) = self.returning.take() else { return };
        self.spread = None;
        let (rows, epoch) = r.list.unwrap_or_default();
        if !serve.warm {
            self.cold_from = epoch.saturating_add(self.now);
        }
        let hint = trust(Fact::Session, r.age, serve.outage, Confirmation::Unconfirmed) != Trust::Worthless;
        let mut asked = 0u64;
        self.list(rows, epoch);
        for id in r.sessions {
            let Some(s) = self.sessions.get_mut(id) else { continue };
            let (title, kind) = (s.title.clone(), s.kind);
            let Some(p) = s.playing() else { continue };
            let (server, addr) = (p.place.server, p.place.addr);
            let cell = self.boxes.get(&server).filter(|b| b.row.address == addr).map(|b| b.row.cell);
            let Some(cell) = cell.filter(|_| hint) else {
                // Its box is another's, or fell with all others: what was there has ended.
                self.ended_at_box(id, Outcome::Reset, false);
                continue;
            };
            let publishes = kind == RouteKind::Publish;
            let place = if publishes {
                Title { base: cell, spread: 1 }
            } else {
                self.config.titles.get(&*title).copied().unwrap_or(Title { base: cell, spread: 1 })
            };
            if publishes {
                self.publications.publish(title.clone(), id, place);
            }
            if let Some(b) = self.boxes.get_mut(&server) {
                b.playing.insert(id);
            }
            if let Some(wish) = self.wish(id, place, self.now, true) {
                self.tell(Event::Adopted { request: wish, server });
            }
            self.asking.add(server, id);
            asked += 1;
        }
        self.ask_on();
        info!(
            ?serve,
            limit_reached = r.phases.limit_reached,
            sessions = asked,
            "recovery is over: in service"
        );
    }

    /// Asks for sessions of before, as many as may be asked for at a time.
    fn ask_on(&mut self) {
        while let Some(id) = self.asking.ask_next() {
            self.subscribe(id);
            let asks = |p: &mut Playing| p.subscribing || p.stream.is_some();
            if !self.sessions.get_mut(id).and_then(Session::playing).is_some_and(asks) {
                // Its box tells of no events: there is nothing to ask for.
                self.asking.settled(id);
                self.change_layer(id);
            }
        }
    }

    /// What a session's box was asked for is settled, one way or another: the next one's turn.
    pub(crate) fn asked_for(&mut self, id: SessionId) {
        if self.asking.settled(id) {
            self.change_layer(id);
            self.ask_on();
        }
    }

    /// A stream of events is open.
    pub(crate) fn stream_opened(&mut self, stream: StreamId) {
        if let Some(id) = self.sessions.by_stream(stream) {
            self.asked_for(id);
        }
    }
}

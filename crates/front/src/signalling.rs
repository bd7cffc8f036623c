//! What requests, answers and events do: the WHIP and WHEP resource towards viewers (RFC 9725, the WHEP draft),
//! and the client of the boxes' resources.

use crate::endpoint::{
    self, ENDPOINT_ALLOW, FRAGMENT, SDP, SESSION, SESSION_ALLOW, Target, bearer, not_allowed,
};
use crate::io::{CallId, ConnId, Output, Purpose, StreamId, Taken, Timer};
use crate::media;
use crate::notes;
use crate::session::{Asked, Patch, Phase, Place, Playing, Reports, Session, SettingUp};
use crate::state::{Front, Wanted};
use micadyke::interface::{
    ClassId, Event, Nanos, Outcome, ReportKind, Rung, ServerId, SessionId, SessionRequest, TitleId,
};
use micadyke_config::{Config, RouteKind, Title};
use micadyke_http::client::CallError;
use micadyke_http::fields::{IfMatch, Link, LoadReport, prefer_wait};
use micadyke_http::{Method, Request, Response, sse};
use micadyke_sdp::{Fragment, Offer, OfferError, Use};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use tracing::{debug, info, warn};

/// Relation of the WHEP layer extension.
const LAYER_REL: &str = "urn:ietf:params:whep:ext:core:layer";
/// Relation of the WHEP server-sent events extension.
const EVENTS_REL: &str = "urn:ietf:params:whep:ext:core:server-sent-events";
/// Pause before an event stream that broke is opened again; doubled with each loss in a row.
const RESUBSCRIBE: Nanos = 250_000_000;
/// Losses in a row after which a box that answers nothing counts as gone.
const LOST_MOST: u8 = 4;
/// A withdrawal is tried so often, a second apart: after that the box ends the session by its own means.
const WITHDRAWALS: u8 = 3;
const SECOND: Nanos = 1_000_000_000;

impl Front {
    // ----- requests of viewers

    pub(crate) fn request(&mut self, conn: ConnId, request: Request, peer: IpAddr, waited: Nanos) {
        match endpoint::target(&self.config, &request) {
            Target::Unknown => {
                let response = Response::problem(404, "there is no such resource");
                self.respond(conn, response);
            }
            Target::Endpoint { route, title } => {
                let title = title.to_owned();
                self.endpoint(conn, route, &title, request, waited);
            }
            Target::Media { route, title, file } => {
                self.media(conn, route, title, file, &request, (peer, waited));
            }
            Target::Part(name, file) => self.part(conn, name, file, &request, waited),
            Target::Session(name) if self.play_resource(conn, name, &request) => {}
            Target::Session(name) => self.resource(conn, name, request),
        }
    }

    fn endpoint(&mut self, conn: ConnId, route: usize, title: &str, request: Request, waited: Nanos) {
        match request.method {
            Method::Options => {
                let response = endpoint::options(false);
                return self.respond(conn, response);
            }
            Method::Post => {}
            _ => return self.respond(conn, not_allowed(ENDPOINT_ALLOW)),
        }
        if let Err(response) = self.authorise(route, Some(title), &request) {
            return self.respond(conn, response);
        }
        if request.media_type().as_deref() != Some(SDP) {
            let response =
                Response::problem(415, "an offer as application/sdp is due").with("accept-post", SDP);
            return self.respond(conn, response);
        }
        match self.offer(conn, route, title, &request, waited) {
            Ok(()) => {}
            Err(response) => self.respond(conn, response),
        }
    }

    pub(crate) fn authorise(
        &self, route: usize, title: Option<&str>, request: &Request,
    ) -> Result<(), Response> {
        let keys = self.entitlements.as_ref().map(|(checker, zero)| (checker, (zero + self.now) / SECOND));
        endpoint::authorise(&self.config, keys, route, title, request)
    }

    /// Takes an offer: from here on its viewer is owed one answer.
    fn offer(
        &mut self, conn: ConnId, route: usize, title: &str, request: &Request, waited: Nanos,
    ) -> Result<(), Response> {
        let (kind, class) = (self.config.routes[route].kind, self.config.routes[route].class);
        let used = if kind == RouteKind::Play { Use::Play } else { Use::Publish };
        let text = std::str::from_utf8(&request.body)
            .map_err(|_| Response::problem(400, "the offer is not UTF-8"))?;
        let offer = Offer::parse(text, used).map_err(|e| match &e {
            OfferError::Syntax(_) => Response::problem(400, &e.to_string()),
            OfferError::Unanswerable(_) => Response::problem(422, &e.to_string()),
        })?;
        let place = self.title(kind, title)?;
        self.room()?;
        let settings = &self.config.settings;
        let scale = settings.classes[class].scale;
        let fits = |rate: f64| settings.ladder.iter().rposition(|s| s.rate * scale <= rate).unwrap_or(0);
        let top = offer.bandwidth_kb().map_or(settings.ladder.len() - 1, fits);
        let mut key = DefaultHasher::new();
        (bearer(request).unwrap_or(offer.fingerprint), title).hash(&mut key);
        let section =
            offer.description.media.iter().find(|m| m.kind == "video").or(offer.description.media.first());
        let wanted = Wanted {
            route,
            title: title.into(),
            media: section.and_then(|m| m.attribute("mid")).unwrap_or("0").into(),
            top,
            patience: self.patience(route, request, waited),
            visitor: key.finish(),
            place,
            name: self.name(),
            asked: Asked::Offer { text: text.into(), shape: offer.shape() },
        };
        self.take(conn, wanted, |_, _| ());
        Ok(())
    }

    /// Whether one more session may be taken.
    pub(crate) fn room(&self) -> Result<(), Response> {
        let busy = |what: &str| Response::problem(503, what).with("retry-after", "1");
        if self.stopping {
            return Err(busy("the front is stopping"));
        }
        if self.sessions.len() >= self.config.bounds.sessions {
            return Err(busy("the front holds as many sessions as it may"));
        }
        Ok(())
    }

    /// How long the viewer of a request still waits for its answer.
    pub(crate) fn patience(&self, route: usize, request: &Request, waited: Nanos) -> Nanos {
        let patience = self.config.classes[self.config.routes[route].class].patience;
        let asked = request.headers.all("prefer").find_map(prefer_wait);
        let patience = asked.map_or(patience, |s| patience.min(s.saturating_mul(SECOND)));
        // A viewer in a hurry still gets half of its wait used.
        let patience = patience.saturating_sub(self.config.answer_margin).max(patience / 2);
        // What lay unread while the front stood still has waited for up to so long already.
        patience.saturating_sub(waited)
    }

    /// Takes a request for a session, in the books and to the module; `opened` is called in between.
    pub(crate) fn take(&mut self, conn: ConnId, wanted: Wanted, opened: impl FnOnce(&mut Self, SessionId)) {
        let Wanted { route, title, media, top, patience, visitor, place, name, asked } = wanted;
        let (kind, class) = (self.config.routes[route].kind, self.config.routes[route].class);
        if self.recording && kind != RouteKind::Publish {
            let ceiling = self.ladders[class].rate(top) / 1_000;
            self.out.push(Output::Taken(Taken {
                at: self.now,
                title: title.clone(),
                class,
                ceiling,
                patience,
            }));
        }
        let again = self.visits.again(visitor, self.now);
        let id = SessionId(self.id());
        let phase = Phase::SettingUp(SettingUp {
            conn: Some(conn),
            asked,
            give_up_at: self.now.saturating_add(patience),
            out: None,
            closing: None,
            next: None,
            stands: None,
            last: None,
            offer_at_fault: false,
        });
        let rung = self.config.settings.classes[class].floor;
        let session = Session {
            kind,
            route,
            class,
            title: title.clone(),
            name,
            media,
            top,
            rung,
            in_force: None,
            phase,
        };
        self.sessions.open(id, session);
        self.owed.offer(conn, id);
        if kind == RouteKind::Publish {
            self.publications.announce(title.clone(), id);
        }
        self.counts.taken += 1;
        debug!(session = id.0, title = &*title, again, "taken");
        opened(self, id);
        let Some(wish) = self.wish(id, place, self.now.saturating_add(patience), again) else { return };
        if self.seated(class) {
            self.seats(|s, now| s.acquire(now, wish));
        } else {
            self.tell(Event::Request(wish));
        }
    }

    /// What the module is asked for a session that is in the books.
    pub(crate) fn wish(
        &self, id: SessionId, place: Title, give_up_at: Nanos, again: bool,
    ) -> Option<SessionRequest> {
        let Session { class, title, top, .. } = self.sessions.get(id)?;
        Some(SessionRequest {
            session: id,
            class: ClassId(*class),
            title: TitleId(title.clone()),
            base: place.base,
            spread: place.spread,
            top: *top,
            give_up_at,
            returning: again,
        })
    }

    /// Where a title lies, or may be published.
    pub(crate) fn title(&self, kind: RouteKind, title: &str) -> Result<Title, Response> {
        let (fixed, live) = (self.config.titles.get(title), self.publications.find(title));
        match kind {
            RouteKind::Play | RouteKind::Media => match (fixed, live) {
                (Some(t), _) => Ok(*t),
                (None, Some(Some(t))) => Ok(t),
                (None, Some(None)) => {
                    Err(Response::problem(404, "the title is about to be published").with("retry-after", "1"))
                }
                (None, None) => Err(Response::problem(404, "there is no such title")),
            },
            RouteKind::Publish if !Config::is_title(title) => {
                Err(Response::problem(400, "a title is 1 to 128 letters, digits, '-', '_', '.'"))
            }
            RouteKind::Publish if fixed.is_some() || live.is_some() => {
                Err(Response::problem(409, "the title is taken"))
            }
            RouteKind::Publish => Ok(Title { base: 0, spread: self.config.settings.cells }),
        }
    }

    fn resource(&mut self, conn: ConnId, name: u128, request: Request) {
        if request.method == Method::Options {
            let response = endpoint::options(true);
            return self.respond(conn, response);
        }
        let id = self.sessions.by_name(name);
        let route = self.sessions.route(name);
        let Some(route) = route else {
            return self.respond(conn, Response::problem(404, "there is no such session"));
        };
        let title = id.and_then(|id| self.sessions.get(id)).map(|s| s.title.clone());
        if let Err(response) = self.authorise(route, title.as_deref(), &request) {
            return self.respond(conn, response);
        }
        match request.method {
            Method::Delete => {
                if let Some(id) = id {
                    self.delete(id);
                }
                self.respond(conn, Response::new(200));
            }
            Method::Patch => self.patch(conn, id, request),
            _ => self.respond(conn, not_allowed(SESSION_ALLOW)),
        }
    }

    /// The viewer ends its session.
    pub(crate) fn delete(&mut self, id: SessionId) {
        let Some(session) = self.close_books(id) else { return };
        let Phase::Playing(p) = session.phase else { return };
        debug!(session = id.0, "ended by its viewer");
        self.withdraw(id, p.place.addr, p.place.resource, 0);
        self.ended(id, p.place.server, Outcome::Served, true);
    }

    /// Ends the books of a session that plays; PATCHes that wait are answered.
    fn close_books(&mut self, id: SessionId) -> Option<Session> {
        let mut session = self.forget(id)?;
        if let Phase::Playing(p) = &mut session.phase {
            for patch in std::mem::take(&mut p.patches) {
                self.owed.settled(patch.conn);
                self.respond(patch.conn, Response::problem(404, "the session has ended"));
            }
            let (server, watched) = (p.place.server, p.watches);
            if watched {
                self.watch_another(server);
            }
        }
        Some(session)
    }

    fn patch(&mut self, conn: ConnId, id: Option<SessionId>, request: Request) {
        let Some(p) = id.and_then(|id| self.sessions.get_mut(id)).and_then(Session::playing) else {
            return self.respond(conn, Response::problem(404, "the session has ended"));
        };
        if p.place.etag.is_empty() {
            return self.respond(conn, not_allowed("DELETE, OPTIONS"));
        }
        let refuse = |status, what: &str| Response::problem(status, what).with("accept-patch", FRAGMENT);
        let checked = || {
            if request.media_type().as_deref() != Some(FRAGMENT) {
                return Err(refuse(415, "a fragment as application/trickle-ice-sdpfrag is due"));
            }
            let field = request.headers.get("if-match").ok_or_else(|| refuse(428, "If-Match is due"))?;
            let if_match =
                IfMatch::parse(field).ok_or_else(|| refuse(400, "If-Match is no list of entity tags"))?;
            let text =
                std::str::from_utf8(&request.body).map_err(|_| refuse(400, "the fragment is not UTF-8"))?;
            Fragment::parse(text).map_err(|e| refuse(400, &format!("no trickle-ICE fragment: {e}")))?;
            Ok(if_match)
        };
        let if_match = match checked() {
            Ok(v) => v,
            Err(response) => return self.respond(conn, response),
        };
        if p.patches.len() >= self.config.bounds.patches {
            let response = Response::problem(429, "too many changes wait").with("retry-after", "1");
            return self.respond(conn, response);
        }
        p.patches.push_back(Patch { conn, if_match, body: request.body });
        self.owed.patch(conn);
        if let Some(id) = id {
            self.next_patch(id);
        }
    }

    /// Passes the next PATCH on; they go to the box one at a time, in their order.
    fn next_patch(&mut self, id: SessionId) {
        loop {
            let Some(p) = self.sessions.get_mut(id).and_then(Session::playing).filter(|p| !p.patching) else {
                return;
            };
            let Some(patch) = p.patches.pop_front() else { return };
            if !patch.if_match.holds(&p.place.etag) {
                self.owed.settled(patch.conn);
                self.respond(patch.conn, Response::problem(412, "the entity tag is not the session's"));
                continue;
            }
            p.patching = true;
            let (to, path, tag) = (p.place.addr, p.place.resource.clone(), p.place.etag.clone());
            let request =
                self.to_box(Method::Patch, path).with("if-match", tag).content(FRAGMENT, patch.body);
            return self.call_soon(Purpose::Patch { session: id, conn: patch.conn }, to, request);
        }
    }

    fn patched(&mut self, id: SessionId, conn: ConnId, result: Result<Response, CallError>) {
        self.owed.settled(conn);
        let mut response = match result {
            Ok(r) if r.status == 204 => Response::new(204),
            Ok(r) if r.status == 200 && r.headers.get("etag").is_some() => {
                let tag = r.headers.get("etag").unwrap_or_default();
                Response::new(200).with("etag", tag).content(FRAGMENT, r.body.clone())
            }
            Ok(r) if matches!(r.status, 400 | 404 | 409 | 412 | 415 | 422) => {
                Response::problem(r.status, "the media box turned the change down")
            }
            Ok(r) => Response::problem(502, &format!("the media box answered {}", r.status)),
            Err(CallError::NoConnection) => Response::problem(502, "the media box cannot be reached"),
            Err(_) => Response::problem(504, "the media box did not answer"),
        };
        if let Some(p) = self.sessions.get_mut(id).and_then(Session::playing) {
            p.patching = false;
            if let Some(tag) = response.headers.get("etag") {
                p.place.etag = tag.into();
                self.keep_session(id);
            }
        } else if response.status < 300 {
            response = Response::problem(404, "the session has ended");
        }
        debug!(session = id.0, status = response.status, "changed");
        self.respond(conn, response);
        self.next_patch(id);
    }

    /// A viewer's connection closed before its answer.
    pub(crate) fn gone(&mut self, conn: ConnId) {
        let Some(id) = self.owed.settled(conn) else { return };
        if self.others_wait(conn, id) {
            return;
        }
        self.counts.left += 1;
        let Some(s) = self.sessions.setting_up(id) else { return };
        s.conn = None;
        if self.seats(|s, _| s.stop_waiting(id)) == Some(true) {
            // The module has not heard of it.
            self.forget(id);
            return;
        }
        self.tell(Event::Left { session: id });
        let Some(s) = self.sessions.setting_up(id) else { return };
        // Its attempt goes on: what it sets up is withdrawn when the answer names it.
        if s.stands.is_some() {
            self.abandon(id);
        } else if s.out.is_none()
            && let Some((server, _)) = s.next.take()
        {
            self.ended(id, server, Outcome::NotSent, true);
        }
    }

    // ----- answers of the module

    pub(crate) fn set_rung(&mut self, id: SessionId, rung: Rung) {
        let Some(s) = self.sessions.get_mut(id) else { return };
        s.rung = rung;
        self.change_layer(id);
    }

    /// The answer to a viewer whose session will not play.
    pub(crate) fn answer(&mut self, id: SessionId, response: Response) {
        let waiting = self.waiters(id);
        self.forget(id);
        for conn in waiting {
            self.owed.settled(conn);
            self.respond(conn, response.clone());
        }
    }

    pub(crate) fn refuse(&mut self, id: SessionId, retry_after: Nanos) {
        self.counts.refused += 1;
        let fault = self.sessions.setting_up(id).is_some_and(|s| s.offer_at_fault);
        let response = if fault {
            Response::problem(422, "the media box cannot answer the offer")
        } else {
            Response::problem(503, "no media box has room for the session")
        };
        // Whole seconds (RFC 9110 section 10.2.3), rounded up: never earlier than advised.
        let seconds = retry_after.div_ceil(SECOND).max(1);
        debug!(session = id.0, seconds, "refused");
        self.answer(id, if fault { response } else { response.with("retry-after", seconds.to_string()) });
    }

    pub(crate) fn fail(&mut self, id: SessionId) {
        self.counts.failed += 1;
        let last = self.sessions.setting_up(id).map(|s| (s.last, s.offer_at_fault));
        let response = match last {
            Some((_, true)) => Response::problem(422, "the media box cannot answer the offer"),
            Some((Some(Outcome::TimedOut), _)) => Response::problem(504, "no media box answered in time"),
            _ => Response::problem(502, "no media box set the session up"),
        };
        debug!(session = id.0, status = response.status, "failed");
        self.answer(id, response);
    }

    // ----- answers of boxes

    pub(crate) fn reply(&mut self, call: CallId, result: Result<Response, CallError>) {
        match self.calls.end(call) {
            None => {}
            Some(Purpose::SetUp { session, server, addr, play, aborted, orphan }) => {
                let orphan = aborted || orphan;
                if let Some(s) = self.sessions.setting_up(session).filter(|s| orphan && s.out == Some(call)) {
                    s.out = None;
                }
                if play.is_empty() {
                    self.set_up(session, server, addr, orphan, result);
                } else if let Some(result) = self.set_up_play(session, server, addr, play, orphan, result) {
                    self.set_up(session, server, addr, orphan, result);
                }
                if aborted {
                    self.after_close(session, call);
                }
                self.attempt_settled(call);
            }
            Some(Purpose::Layer { session, rung }) => {
                self.layered(session, rung, result.is_ok_and(|r| r.status < 300))
            }
            Some(Purpose::Subscribe { session }) => self.subscribed(session, result),
            Some(Purpose::Patch { session, conn }) => self.patched(session, conn, result),
            Some(Purpose::Alive) => self.is_alive(),
            Some(Purpose::Issuer) => drop(self.seats(|s, now| s.issuer_replied(now, result))),
            Some(Purpose::Clock { server }) => {
                self.seats(|s, now| s.box_replied(now, server, false, result));
            }
            Some(Purpose::Renew { server }) => {
                self.seats(|s, now| s.box_replied(now, server, true, result));
            }
            Some(Purpose::Manifest { play, session, conn, path }) => {
                self.fetched(play, session, conn, &path, result);
            }
            Some(Purpose::Withdraw { session, addr, path, tries }) => {
                // 404 and 410: it is gone already.
                let done = result.is_ok_and(|r| r.status < 300 || r.status == 404 || r.status == 410);
                if done || tries + 1 >= WITHDRAWALS {
                    self.keep_owed(addr, &path, false);
                }
                if done && self.sessions.get(session).is_none() {
                    self.free_seat(session);
                } else if done {
                    // What is over is an earlier attempt; the session goes on elsewhere, on its seat.
                } else if tries + 1 < WITHDRAWALS {
                    self.timer(SECOND, Timer::Withdraw(session, addr, path, tries + 1));
                } else {
                    warn!(%addr, %path, "a session could not be withdrawn");
                }
            }
        }
    }

    /// Ends a session at its box.
    pub(crate) fn withdraw(&mut self, session: SessionId, addr: SocketAddr, path: Box<str>, tries: u8) {
        if tries == 0 {
            self.keep_owed(addr, &path, true);
        }
        let request = match media::ended(&path) {
            Some(report) => self.passed_on(report),
            None => self.to_box(Method::Delete, &*path),
        };
        self.call_soon(Purpose::Withdraw { session, addr, path, tries }, addr, request);
    }

    /// Withdraws what was set up and nobody waits for.
    fn take_back(&mut self, session: SessionId, place: &Place) {
        self.counts.withdrawn += 1;
        self.withdraw(session, place.addr, place.resource.clone(), 0);
    }

    fn set_up(
        &mut self, id: SessionId, server: ServerId, addr: SocketAddr, orphan: bool,
        result: Result<Response, CallError>,
    ) {
        let created = result.as_ref().ok().filter(|r| r.status == 201).map(|r| place(r, server, addr));
        if orphan {
            // Nobody waits for it; the module has been told how it ended.
            if let Some(Some(place)) = created {
                self.take_back(id, &place);
            }
            return;
        }
        let left = self.left(id);
        let refused = result.as_ref().is_ok_and(|r| self.token_refused(id, server, r.status));
        let Some(s) = self.sessions.setting_up(id) else {
            if let Some(Some(place)) = created {
                self.withdraw(id, addr, place.resource, 0);
            }
            return;
        };
        s.out = None;
        let outcome = match (result, created) {
            (Ok(r), Some(Some(place))) if left => {
                debug!(session = id.0, status = r.status, "set up for nobody: withdrawn");
                self.take_back(id, &place);
                return self.ended(id, server, Outcome::Cancelled, true);
            }
            (Ok(r), Some(Some(place))) => match answer_text(&s.asked, &r) {
                Some(answer) => {
                    let reports = notes::reports(r.headers.get(LoadReport::FIELD));
                    return self.stands(id, place, answer, reports);
                }
                None => {
                    warn!(%addr, "a box's answer does not fit the offer");
                    self.take_back(id, &place);
                    Outcome::Error
                }
            },
            (Ok(_), _) if refused => Outcome::Full,
            (Ok(r), _) => {
                s.offer_at_fault = matches!(r.status, 400 | 406 | 415 | 422);
                if r.status == 503 { Outcome::Full } else { Outcome::Error }
            }
            (Err(CallError::NoConnection), _) => Outcome::NoConnection,
            (Err(CallError::Reset), _) => Outcome::Reset,
            (Err(CallError::Malformed(fault)), _) => {
                warn!(%addr, %fault, "a box's answer is malformed");
                Outcome::Error
            }
        };
        if let Some(s) = self.sessions.setting_up(id) {
            s.last = Some(outcome);
        }
        debug!(session = id.0, server = server.0, ?outcome, "attempt ended");
        self.ended(id, server, outcome, left);
    }

    /// The set-up stands. Where the class has a floor, the viewer is answered once its rung is in force: the
    /// lowest rung, at which boxes begin, is not the session's to play at.
    fn stands(&mut self, id: SessionId, place: Place, answer: Arc<str>, reports: Reports) {
        self.seats(|s, now| s.stands(now, id, place.server, &place.resource));
        let Some(session) = self.sessions.get_mut(id) else { return };
        let floor = self.config.settings.classes[session.class].floor;
        let wait = floor > 0 && session.kind == RouteKind::Play && !place.layer.is_empty();
        let layer = place.layer.clone();
        let (to, rung) = (place.addr, session.rung);
        let Some(s) = session.setting_up() else { return };
        s.stands = Some(Box::new((place, answer, reports)));
        let left = s.give_up_at.saturating_sub(self.now);
        if !wait {
            return self.start(id);
        }
        let Some(request) = self.layer_request(id, &layer, rung) else { return };
        let timeout = Some(left.min(self.config.bounds.call));
        self.call(Purpose::Layer { session: id, rung }, to, request, timeout);
    }

    /// The session plays: its viewer is answered, the module told.
    fn start(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let name = session.name;
        let Phase::SettingUp(s) = &mut session.phase else { return };
        let (Some(conn), Some(stands)) = (s.conn, s.stands.take()) else { return };
        let (place, answer, reports) = *stands;
        let server = place.server;
        let mut response = Response::new(201)
            .with("location", format!("{SESSION}{name:032x}"))
            .with("accept-post", SDP)
            .content(SDP, answer.as_bytes());
        if !place.etag.is_empty() {
            response = response.with("etag", &*place.etag).with("accept-patch", FRAGMENT);
        }
        let publishes = session.kind == RouteKind::Publish;
        let title = session.title.clone();
        session.phase = Phase::Playing(Playing::new(place));
        self.sessions.published_name(id);
        self.owed.settled(conn);
        self.counts.played += 1;
        let response = endpoint::ice_links(&self.config, response);
        let response = if publishes { response } else { self.with_rung(id, response, None) };
        self.respond(conn, response);
        info!(session = id.0, server = server.0, title = &*title, "plays");
        if let Some(b) = self.boxes.get_mut(&server) {
            b.playing.insert(id);
            if publishes {
                let place = Title { base: b.row.cell, spread: 1 };
                self.publications.publish(title, id, place);
            }
        }
        self.keep_session(id);
        self.tell(Event::Started { session: id });
        self.tell_load(id, server, reports);
        self.settle();
        self.change_layer(id);
        self.subscribe(id);
    }

    /// The viewer left after the set-up stood: it is withdrawn.
    pub(crate) fn abandon(&mut self, id: SessionId) {
        let Some(s) = self.sessions.setting_up(id) else { return };
        let Some(stands) = s.stands.take() else { return };
        let place = stands.0;
        self.take_back(id, &place);
        self.ended(id, place.server, Outcome::Cancelled, true);
    }

    // ----- rungs

    fn layer_request(&self, id: SessionId, path: &str, rung: Rung) -> Option<Request> {
        let session = self.sessions.get(id)?;
        let body = serde_json::json!({ "mediaId": &*session.media, "encodingId": rung.to_string() });
        Some(self.to_box(Method::Post, path).content("application/json", body.to_string()))
    }

    /// Tells the module of the load that a box reported with an answer.
    pub(crate) fn tell_load(&mut self, id: SessionId, server: ServerId, reports: Reports) {
        for (kind, value) in [(ReportKind::LinkUse, reports.link), (ReportKind::UplinkUse, reports.uplink)] {
            if let Some(value) = value {
                self.tell(Event::Report { session: id, server, kind, value });
            }
        }
    }

    /// Brings the box's layer to the rung that the module wants, one call at a time.
    pub(crate) fn change_layer(&mut self, id: SessionId) {
        // What all sessions of before are to play at would go out in one turn: each waits until its box was asked for it.
        if self.asking.holds(id) {
            return;
        }
        let Some(session) = self.sessions.get_mut(id) else { return };
        let (rung, kind, in_force) = (session.rung, session.kind, session.in_force);
        let Some(p) = session.playing() else { return };
        if kind == RouteKind::Publish || p.changing || in_force == Some(rung) || p.place.layer.is_empty() {
            return;
        }
        p.changing = true;
        let (path, to) = (p.place.layer.clone(), p.place.addr);
        let Some(request) = self.layer_request(id, &path, rung) else { return };
        self.call_soon(Purpose::Layer { session: id, rung }, to, request);
    }

    fn layered(&mut self, id: SessionId, rung: Rung, done: bool) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        if done {
            session.in_force = Some(rung);
        }
        if let Some(s) = session.setting_up() {
            if done {
                return self.start(id);
            }
            // Without its rung the session would play under its floor: it is taken back.
            let Some(stands) = s.stands.take() else { return };
            s.last = Some(Outcome::Error);
            let place = stands.0;
            self.withdraw(id, place.addr, place.resource, 0);
            return self.ended(id, place.server, Outcome::Error, false);
        }
        let (in_force, wanted) = (session.in_force, session.rung);
        let Some(p) = session.playing() else { return };
        p.changing = false;
        let server = p.place.server;
        if done {
            self.keep_session(id);
            return self.change_layer(id);
        }
        // The module is told what really plays; its next choice is tried again.
        if let Some(rung) = in_force
            && rung != wanted
        {
            session.rung = rung;
            self.tell(Event::Report {
                session: id,
                server,
                kind: ReportKind::RungInForce,
                value: rung as f64,
            });
        }
    }

    // ----- events of boxes

    /// Opens a session's event stream. One session at each box hears of the box's load too.
    pub(crate) fn subscribe(&mut self, id: SessionId) {
        let Some(p) = self.sessions.get_mut(id).and_then(Session::playing) else { return };
        if p.place.events.is_empty() || p.subscribing {
            return;
        }
        p.subscribing = true;
        let first = self.boxes.get(&p.place.server).and_then(|b| b.playing.first());
        p.watches |= first == Some(&id);
        let (path, to, watches) = (p.place.events.clone(), p.place.addr, p.watches);
        let events = if watches {
            format!("[\"{}\",\"{}\"]", notes::LAYERS, LoadReport::FIELD)
        } else {
            format!("[\"{}\"]", notes::LAYERS)
        };
        let request = self.to_box(Method::Post, path).content("application/json", events);
        self.call_soon(Purpose::Subscribe { session: id }, to, request);
    }

    /// Another session at a box hears of its load from now on.
    fn watch_another(&mut self, server: ServerId) {
        let next = self.boxes.get(&server).and_then(|b| b.playing.first().copied());
        let Some(id) = next else { return };
        let Some(p) = self.sessions.get_mut(id).and_then(Session::playing) else { return };
        p.watches = true;
        if let Some(stream) = p.stream.take() {
            self.sessions.unlisten(stream);
            self.out.push(Output::Unlisten { stream });
        }
        self.subscribe(id);
    }

    fn subscribed(&mut self, id: SessionId, result: Result<Response, CallError>) {
        let stream = StreamId(self.id());
        let Some(p) = self.sessions.get_mut(id).and_then(Session::playing) else { return };
        p.subscribing = false;
        let (addr, server, cut) = (p.place.addr, p.place.server, p.cut);
        let target = match &result {
            Ok(r) if r.status == 201 => r.headers.get("location").and_then(|l| path_of(l, addr)),
            // The box no longer knows the session: it ended there, or the box was started anew.
            Ok(r) if r.status == 404 || r.status == 410 => {
                return self.ended_at_box(id, if cut { Outcome::Reset } else { Outcome::Served }, true);
            }
            Err(CallError::NoConnection) if p.lost > 0 => {
                debug!(session = id.0, server = server.0, "its box is gone");
                return self.ended_at_box(id, Outcome::Reset, false);
            }
            _ => None,
        };
        match target {
            Some(path) => {
                p.stream = Some(stream);
                self.sessions.listen(stream, id);
                let request = self.to_box(Method::Get, path).with("accept", "text/event-stream");
                self.out.push(Output::Listen { stream, to: addr, request });
            }
            None => self.lost_stream(id, false),
        }
    }

    /// A session's event stream is not there: it is opened again after a pause, the first time at once where one
    /// had been open.
    fn lost_stream(&mut self, id: SessionId, was_open: bool) {
        self.asked_for(id);
        let Some(p) = self.sessions.get_mut(id).and_then(Session::playing) else { return };
        p.lost = p.lost.saturating_add(1);
        if p.lost > LOST_MOST {
            return self.ended_at_box(id, Outcome::Reset, false);
        }
        // A session that ended at its box, or a box that went, is found out this way.
        let pause = if was_open && p.lost == 1 { 0 } else { RESUBSCRIBE << p.lost.min(5) };
        self.timer(pause, Timer::Resubscribe(id));
    }

    /// A session ended at its box, not by its viewer. `sure`: the box said so itself, so its seat is free; else the box
    /// only fell silent, and where seats count the end is asked for.
    pub(crate) fn ended_at_box(&mut self, id: SessionId, outcome: Outcome, sure: bool) {
        let Some(session) = self.close_books(id) else { return };
        let seated = self.seated(session.class);
        if let Phase::Playing(p) = session.phase {
            debug!(session = id.0, ?outcome, sure, "ended at its box");
            if seated && sure {
                self.free_seat(id);
            } else if seated {
                self.withdraw(id, p.place.addr, p.place.resource, 0);
            }
            self.ended(id, p.place.server, outcome, true);
        }
    }

    pub(crate) fn event(&mut self, stream: StreamId, event: &sse::Event) {
        let Some(id) = self.sessions.by_stream(stream) else { return };
        let notes = notes::read(event);
        let Some(session) = self.sessions.get_mut(id) else { return };
        let (rung, top) = (session.rung, self.config.settings.ladder.len());
        let Some(p) = session.playing() else { return };
        (p.lost, p.cut) = (0, false);
        let (server, changing) = (p.place.server, p.changing);
        for (kind, value) in notes {
            if kind == ReportKind::RungInForce {
                let told = value as Rung;
                // What a box tells while a change is on its way is the rung before it.
                if changing || told >= top {
                    continue;
                }
                if let Some(s) = self.sessions.get_mut(id) {
                    s.in_force = Some(told);
                    s.rung = told;
                }
                if told == rung {
                    continue;
                }
            }
            self.tell(Event::Report { session: id, server, kind, value });
        }
    }

    pub(crate) fn stream_ended(&mut self, stream: StreamId, cut: bool) {
        let Some(id) = self.sessions.unlisten(stream) else { return };
        let Some(p) = self.sessions.get_mut(id).and_then(Session::playing) else { return };
        if p.stream == Some(stream) {
            p.stream = None;
        }
        p.cut |= cut;
        self.lost_stream(id, true);
    }
}

/// The place that a `201 Created` tells of; `None` where it names no resource at its own box.
fn place(r: &Response, server: ServerId, addr: SocketAddr) -> Option<Place> {
    let resource = path_of(r.headers.get("location")?, addr)?.into();
    let links: Vec<Link> = r.headers.all("link").take(16).flat_map(|l| Link::parse(l, 16)).collect();
    let find = |rel: &str| {
        let path = links.iter().find(|l| l.is(rel)).and_then(|l| path_of(&l.target, addr));
        path.unwrap_or_default().into()
    };
    let etag = r.headers.get("etag").filter(|t| t.len() <= 128 && t.starts_with('"')).unwrap_or_default();
    Some(Place {
        server,
        addr,
        resource,
        etag: etag.into(),
        layer: find(LAYER_REL),
        events: find(EVENTS_REL),
    })
}

/// The path of a URI reference at a box: an absolute path, or a URI of that very address.
fn path_of(uri: &str, addr: SocketAddr) -> Option<String> {
    let path = match uri.strip_prefix("http://") {
        Some(rest) => rest.strip_prefix(&addr.to_string())?,
        None => uri,
    };
    let sound = path.starts_with('/') && path.len() <= 1024 && path.bytes().all(|b| b.is_ascii_graphic());
    sound.then(|| path.to_owned())
}

/// A box's answer, if it is one that fits the offer.
fn answer_text(asked: &Asked, r: &Response) -> Option<Arc<str>> {
    let Asked::Offer { shape: offered, .. } = asked else { return None };
    if r.media_type().as_deref() != Some(SDP) {
        return None;
    }
    let text = std::str::from_utf8(&r.body).ok()?;
    offered.answered_by(text).ok().map(|()| text.into())
}

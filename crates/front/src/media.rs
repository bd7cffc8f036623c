//! The second front: players over HTTP, which ask for manifests and segments and tell of themselves by CMCD.
//!
//! A play is a session in the same books as those of WHEP: its first manifest request is the set-up, placed by the
//! decision module. What a manifest names leads back to the front, under the play's random name; segments are answered
//! by a redirect to the play's box, so media never pass the front. The module's rung comes back as `mb` (CMSD) and by
//! the renditions that manifests offer. A play ends when its player says so (CMCD version 2, `sta`), by DELETE of its
//! name, or when nothing was heard of it for the route's `silence`.
//!
//! At boxes a play is known by `sid` and `cid`. The request that sets it up carries `su` and, as `sn`, a number that
//! grows with each attempt; its end is reported with the same (CTA-5004-A, event mode), so that a report that comes late
//! ends no later attempt.

use crate::books::{Play, Want};
use crate::endpoint::{SESSION, bearer, not_allowed};
use crate::hints::Hints;
use crate::io::{CallId, ConnId, Purpose, Timer};
use crate::session::{Asked, Phase, Place, Playing, Session};
use crate::state::{Front, Wanted};
use micadyke::interface::{Effect, Event, Nanos, Outcome, ServerId, SessionId};
use micadyke_cmcd::client::{Cmcd, REPORT, Value};
use micadyke_cmcd::server::{Cmsd, Hop};
use micadyke_config::{MediaRoute, RouteKind};
use micadyke_http::client::CallError;
use micadyke_http::{Method, Request, Response};
use micadyke_playlist::reference::without_dots;
use micadyke_playlist::{Fault, Rewritten, Rules, Target, dash, hls};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use tracing::{debug, info, warn};

/// Methods of manifests, segments and plays.
const ALLOW: &str = "GET, HEAD, OPTIONS, POST";
const PLAY_ALLOW: &str = "DELETE, OPTIONS, POST";
/// Requests of one play that wait for its place; further ones get 429.
const WAITING: usize = 8;
/// A play that has fallen silent while it was owed an answer is looked at again after this.
const LOOK_AGAIN: Nanos = 250_000_000;
/// Bytes of a file's path at most.
const MAX_FILE: usize = 1024;
/// Path at boxes that takes reports.
const REPORTS: &str = "/cmcd";

/// Whether a text may name a file of a title: no way out of its folder, however written.
fn is_file(file: &str) -> bool {
    let sound = |b: u8| b.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@%/".contains(&b);
    let dots = |part: &str| {
        let part = part.to_ascii_lowercase().replace("%2e", ".");
        part.is_empty() || part == "." || part == ".."
    };
    file.len() <= MAX_FILE
        && file.bytes().all(sound)
        && !file.to_ascii_lowercase().contains("%2f")
        && !file.to_ascii_lowercase().contains("%5c")
        && !file.split('/').any(dots)
}

fn is_manifest(file: &str) -> bool {
    file.ends_with(".m3u8") || file.ends_with(".mpd")
}

/// A play at a box, as one text: number of the attempt that set it up, title, id. No path begins like it.
pub(crate) fn resource(number: u64, title: &str, sid: &str) -> String {
    format!("{number}/{title}/{sid}")
}

/// The request that reports a play's end to its box; `None`: the resource is a path.
pub(crate) fn ended(resource: &str) -> Option<Request> {
    let mut parts = resource.splitn(3, '/');
    let number: u64 = parts.next()?.parse().ok()?;
    let (title, sid) = (parts.next()?, parts.next()?);
    let report = Cmcd::new().with("v", 2).with("sn", number).with_text("cid", title).with_text("sid", sid);
    let report = report.with_text("e", "ps").with_text("sta", "e").encode();
    Some(Request::new(Method::Post, REPORTS).content(REPORT, report))
}

/// What a box is told of a play with a request for one of its manifests.
fn told(title: &str, sid: &str) -> Cmcd {
    Cmcd::new().with("v", 2).with_text("cid", title).with_text("sid", sid).with_text("ot", "m")
}

fn asking(title: &str, file: &str, told: &Cmcd) -> Request {
    let request = Request::new(Method::Get, format!("/media/{title}/{file}"));
    told.fields().into_iter().fold(request, |r, (name, value)| r.with(name, value))
}

/// The request that sets a play up at a box.
pub(crate) fn set_up(title: &str, file: &str, sid: &str, number: u64) -> Request {
    asking(title, file, &told(title, sid).with("sn", number).with_flag("su"))
}

impl Front {
    fn media_route(&self, route: usize) -> MediaRoute {
        let usual =
            MediaRoute { redirect: false, silence: 60_000_000_000, all_renditions: false, hints: true };
        self.config.routes[route].media.unwrap_or(usual)
    }

    // ----- requests of players

    /// A request for a file of a title: a manifest, which may begin a play; or reports.
    pub(crate) fn media(
        &mut self, conn: ConnId, route: usize, title: &str, file: &str, request: &Request,
        from: (IpAddr, Nanos),
    ) {
        match request.method {
            Method::Options => return self.respond(conn, options(ALLOW)),
            Method::Get | Method::Head | Method::Post => {}
            _ => return self.respond(conn, not_allowed(ALLOW)),
        }
        if let Err(response) = self.authorise(route, Some(title), request) {
            return self.respond(conn, response);
        }
        let title: Arc<str> = title.into();
        if request.method == Method::Post {
            return self
                .reports(conn, request, |front, told| front.plays.by_id(route, &title, told.text("sid")?));
        }
        if !is_file(file) {
            return self.respond(conn, Response::problem(400, "the path names no file"));
        }
        if !is_manifest(file) {
            let what = "plays begin with a manifest, and go on by what it names";
            return self.respond(conn, Response::problem(404, what));
        }
        let told = Cmcd::of(&request.headers, &request.target);
        let (peer, waited) = from;
        let known = told.text("sid").and_then(|sid| self.plays.by_id(route, &title, sid));
        let name = match known {
            Some(name) => self.joined(name, peer),
            None => match self.begin(route, &title, file, &told, peer) {
                Ok(name) => name,
                Err(response) => return self.respond(conn, response),
            },
        };
        let asked =
            Asking { want: Want::Manifest(file.into()), patience: self.patience(route, request, waited) };
        self.hear(name, &told);
        self.serve(conn, name, asked, bearer(request));
    }

    /// Another request with a play's id. From another address it takes the play over: an id is no secret, and two that
    /// tell the same one count as one, so only the later may go on; what the former's manifests name leads nowhere.
    fn joined(&mut self, name: u128, peer: IpAddr) -> u128 {
        let Some(play) = self.plays.get_mut(name).filter(|p| p.peer != peer) else { return name };
        play.peer = peer;
        let (session, route) = (play.session, play.route);
        let new = self.name();
        self.plays.rename(name, new);
        if let Some(s) = session.and_then(|id| self.sessions.get_mut(id)) {
            s.name = new;
        }
        debug!("a play is taken over from another address");
        let after = self.media_route(route).silence;
        self.timer(after, Timer::Silence(new));
        new
    }

    /// A play begins; it has no place yet.
    fn begin(
        &mut self, route: usize, title: &Arc<str>, file: &str, told: &Cmcd, peer: IpAddr,
    ) -> Result<u128, Response> {
        self.title(RouteKind::Play, title)?;
        self.room()?;
        if self.plays.len() >= self.config.bounds.sessions {
            let what = "the front holds as many plays as it may";
            return Err(Response::problem(503, what).with("retry-after", "1"));
        }
        let name = self.name();
        let (ladder, none) = (&self.ladders[self.config.routes[route].class], Cmcd::new());
        let top = ladder.top(if self.media_route(route).hints { told } else { &none });
        let play = Play {
            route,
            title: title.clone(),
            // One that is told under another route too is not this player's alone: boxes hear another.
            sid: told.text("sid").filter(|s| !s.is_empty() && !self.plays.taken(title, s)).map(Into::into),
            peer,
            entry: file.into(),
            session: None,
            out: 0,
            stood: false,
            waiting: Vec::new(),
            heard: self.now,
            top,
            hints: Hints::default(),
        };
        self.plays.open(name, play);
        let after = self.media_route(route).silence;
        self.timer(after, Timer::Silence(name));
        Ok(name)
    }

    /// A request for what a play's manifests name.
    pub(crate) fn part(&mut self, conn: ConnId, name: u128, file: &str, request: &Request, waited: Nanos) {
        match request.method {
            Method::Options => return self.respond(conn, options(ALLOW)),
            Method::Get | Method::Head => {}
            _ => return self.respond(conn, not_allowed(ALLOW)),
        }
        let Some((route, title)) = self.plays.get(name).map(|p| (p.route, p.title.clone())) else {
            let ended = self.sessions.route(name).is_some();
            let (status, what) =
                if ended { (410, "the play has ended") } else { (404, "there is no such play") };
            return self.respond(conn, Response::problem(status, what));
        };
        if let Err(response) = self.authorise(route, Some(&title), request) {
            return self.respond(conn, response);
        }
        if !is_file(file) {
            return self.respond(conn, Response::problem(400, "the path names no file"));
        }
        self.hear(name, &Cmcd::of(&request.headers, &request.target));
        let query = request.target.split_once('?').map(|(_, q)| q).filter(|q| !q.is_empty());
        let query =
            query.map(|q| q.split('&').filter(|a| !a.starts_with("CMCD=")).collect::<Vec<_>>().join("&"));
        let full = query.filter(|q| !q.is_empty()).map_or(file.to_owned(), |q| format!("{file}?{q}"));
        let want = if is_manifest(file) { Want::Manifest(full.into()) } else { Want::Part(full.into()) };
        let asked = Asking { want, patience: self.patience(route, request, waited) };
        self.serve(conn, name, asked, bearer(request));
    }

    /// Requests on the resource of a play itself; false: there is no such play.
    pub(crate) fn play_resource(&mut self, conn: ConnId, name: u128, request: &Request) -> bool {
        let Some((route, title)) = self.plays.get(name).map(|p| (p.route, p.title.clone())) else {
            return false;
        };
        if request.method == Method::Options {
            self.respond(conn, options(PLAY_ALLOW));
            return true;
        }
        if let Err(response) = self.authorise(route, Some(&title), request) {
            self.respond(conn, response);
            return true;
        }
        match request.method {
            Method::Delete => {
                self.end_play(name);
                self.respond(conn, Response::new(200));
            }
            Method::Post => self.reports(conn, request, |_, _| Some(name)),
            _ => self.respond(conn, not_allowed(PLAY_ALLOW)),
        }
        true
    }

    /// Reports of a player (CTA-5004-A, event mode). One that tells of a play that is not known here is taken and
    /// forgotten: it may come after the end.
    fn reports(&mut self, conn: ConnId, request: &Request, find: impl Fn(&Self, &Cmcd) -> Option<u128>) {
        if request.media_type().as_deref() != Some(REPORT) {
            let response = Response::problem(415, "reports as application/cmcd are due");
            return self.respond(conn, response.with("accept-post", REPORT));
        }
        let all = Cmcd::reports(&request.body);
        if all.iter().all(Cmcd::is_empty) {
            return self.respond(conn, Response::problem(400, "there is no report in it"));
        }
        for told in all {
            let Some(name) = find(self, &told) else { continue };
            self.hear(name, &told);
            // Ended, failed for good, left by its viewer.
            if matches!(told.text("sta"), Some("e" | "f" | "q")) {
                self.end_play(name);
            }
        }
        self.respond(conn, Response::new(204));
    }

    /// A play is heard of.
    fn hear(&mut self, name: u128, told: &Cmcd) {
        let now = self.now;
        let Some(play) = self.plays.get_mut(name) else { return };
        play.heard = now;
        let (session, route) = (play.session, play.route);
        if told.is_empty() || !self.media_route(route).hints {
            return;
        }
        let (ladders, class) = (self.ladders.clone(), self.config.routes[route].class);
        let Some(play) = self.plays.get_mut(name) else { return };
        let notes = play.hints.heard(told, &ladders[class]);
        let Some(id) = session else { return };
        let Some(server) = self.sessions.get_mut(id).and_then(Session::playing).map(|p| p.place.server)
        else {
            return;
        };
        for (kind, value) in notes {
            self.tell(Event::Report { session: id, server, kind, value });
        }
    }

    /// Answers a request of a play, now or when it has a place.
    fn serve(&mut self, conn: ConnId, name: u128, asked: Asking, token: Option<&str>) {
        let Some(play) = self.plays.get(name) else { return };
        let playing = play.session.and_then(|id| Some((id, self.sessions.get(id)?)));
        if let Some((id, session)) = playing
            && matches!(session.phase, Phase::Playing(_))
        {
            return match asked.want {
                Want::Manifest(file) => self.fetch(conn, name, id, &file, asked.patience),
                Want::Part(file) => self.lead_on(conn, name, id, &file),
            };
        }
        if play.waiting.len() >= WAITING {
            let response =
                Response::problem(429, "too many requests of the play wait").with("retry-after", "1");
            return self.respond(conn, response);
        }
        let (session, out) = (play.session, play.out);
        if session.is_none() && out > 0 {
            // An attempt that was given up is being closed.
            self.owed.patch(conn);
            if let Some(play) = self.plays.get_mut(name) {
                play.waiting.push((conn, asked.want));
            }
            return;
        }
        let Some(id) = session else {
            if let Err(response) = self.room() {
                if self.plays.get(name).is_some_and(|p| p.waiting.is_empty()) {
                    self.plays.close(name);
                }
                return self.respond(conn, response);
            }
            return self.place_play(conn, name, asked, token);
        };
        // Where nobody waited for it any more, its end makes room for this one: see `unplaced`.
        self.owed.offer(conn, id);
        if let Some(play) = self.plays.get_mut(name) {
            play.waiting.push((conn, asked.want));
        }
    }

    /// A play gets a session of its own, which the module is to place.
    fn place_play(&mut self, conn: ConnId, name: u128, asked: Asking, token: Option<&str>) {
        let Some(play) = self.plays.get(name) else { return };
        let (route, title, top) = (play.route, play.title.clone(), play.top);
        let sid: Box<str> = play.known_as(name);
        let file = play.entry.clone();
        let place = match self.title(RouteKind::Play, &title) {
            Ok(place) => place,
            Err(response) => {
                self.plays.close(name);
                return self.respond(conn, response);
            }
        };
        let Asking { want, patience } = asked;
        let mut visitor = DefaultHasher::new();
        (token.unwrap_or(&sid), &*title).hash(&mut visitor);
        let wanted = Wanted {
            route,
            title,
            media: "".into(),
            top,
            patience,
            visitor: visitor.finish(),
            place,
            name,
            asked: Asked::Manifest { file, sid },
        };
        // It may be refused in the same turn: by then the play must know its session, and who waits for it.
        self.take(conn, wanted, |front, id| {
            if let Some(play) = front.plays.get_mut(name) {
                play.session = Some(id);
                play.waiting.push((conn, want));
            }
        });
    }

    // ----- boxes

    /// An attempt to set a play up has come to its end. What comes back is reckoned like the end of any other attempt:
    /// an answer that does not stand.
    pub(crate) fn set_up_play(
        &mut self, id: SessionId, server: ServerId, addr: SocketAddr, play: Box<str>, orphan: bool,
        result: Result<Response, CallError>,
    ) -> Option<Result<Response, CallError>> {
        let answer = match result {
            Ok(r) if r.status == 200 => r,
            // Turned away, or not reached.
            Ok(_) | Err(CallError::NoConnection) => return Some(result),
            Err(_) => {
                self.not_read(id, addr, play);
                return Some(result);
            }
        };
        let left = self.left(id);
        if orphan || left {
            debug!(session = id.0, "set up for nobody: withdrawn");
            self.counts.withdrawn += 1;
            self.withdraw(id, addr, play, 0);
            if !orphan && let Some(s) = self.sessions.setting_up(id) {
                s.out = None;
                self.ended(id, server, Outcome::Cancelled, true);
            }
            return None;
        }
        if let Some(s) = self.sessions.setting_up(id) {
            s.out = None;
        }
        if !self.play_stands(id, server, addr, &play, &answer) {
            self.withdraw(id, addr, play, 0);
            if let Some(s) = self.sessions.setting_up(id) {
                s.last = Some(Outcome::Error);
            }
            self.ended(id, server, Outcome::Error, false);
        }
        None
    }

    /// An attempt's answer was not read: a play may run there for nobody. Unlike a resource of WHEP it can be ended
    /// without its answer.
    pub(crate) fn not_read(&mut self, id: SessionId, addr: SocketAddr, play: Box<str>) {
        if !play.is_empty() {
            self.withdraw(id, addr, play, 0);
        }
    }

    /// A box has answered a set-up with a manifest: the play has its place. False: it is no manifest.
    fn play_stands(
        &mut self, id: SessionId, server: ServerId, addr: SocketAddr, resource: &str, r: &Response,
    ) -> bool {
        let Some(session) = self.sessions.get(id) else { return false };
        let (name, title) = (session.name, session.title.clone());
        let Phase::SettingUp(s) = &session.phase else { return false };
        let Asked::Manifest { file, .. } = &s.asked else { return false };
        let file = file.clone();
        let route = session.route;
        let body = match self.rewritten(id, name, addr, &file, r) {
            Ok(body) => body,
            Err(fault) => {
                warn!(%addr, %fault, "a box's manifest cannot be passed on");
                return false;
            }
        };
        let place = Place {
            server,
            addr,
            resource: resource.into(),
            etag: "".into(),
            layer: "".into(),
            events: "".into(),
        };
        self.seats(|s, now| s.stands(now, id, server, resource));
        let Some(session) = self.sessions.get_mut(id) else { return true };
        session.in_force = Some(session.rung);
        session.phase = Phase::Playing(Playing::new(place));
        self.counts.played += 1;
        if let Some(b) = self.boxes.get_mut(&server) {
            b.plays.insert(id);
        }
        info!(session = id.0, server = server.0, title = &*title, "plays");
        self.tell(Event::Started { session: id });
        self.box_told(id, server, r);
        self.settle();
        // Its time to speak begins now.
        let now = self.now;
        let waiting = self.plays.get_mut(name).map_or_else(Vec::new, |p| {
            (p.heard, p.stood) = (now, true);
            std::mem::take(&mut p.waiting)
        });
        for (conn, want) in waiting {
            self.owed.settled(conn);
            match want {
                Want::Manifest(f) if f == file && self.media_route(route).redirect => {
                    self.lead_on(conn, name, id, &f);
                }
                Want::Manifest(f) if f == file => {
                    let response = self.manifest(id, body.clone(), r);
                    self.respond(conn, response);
                }
                Want::Manifest(f) => self.fetch(conn, name, id, &f, self.config.bounds.call),
                Want::Part(f) => self.lead_on(conn, name, id, &f),
            }
        }
        true
    }

    /// Notes of a box's load that came with an answer.
    fn box_told(&mut self, id: SessionId, server: ServerId, r: &Response) {
        let field = r.headers.get(micadyke_http::fields::LoadReport::FIELD);
        self.tell_load(id, server, crate::notes::reports(field));
    }

    /// Asks the play's box for a manifest, or leads the player there.
    fn fetch(&mut self, conn: ConnId, name: u128, id: SessionId, file: &str, patience: Nanos) {
        let Some(play) = self.plays.get(name) else { return };
        if self.media_route(play.route).redirect {
            return self.lead_on(conn, name, id, file);
        }
        let sid = play.known_as(name);
        let request = self.passed_on(asking(&play.title, file, &told(&play.title, &sid)));
        let Some(addr) = self.sessions.get_mut(id).and_then(Session::playing).map(|p| p.place.addr) else {
            return;
        };
        self.owed.patch(conn);
        let purpose = Purpose::Manifest { play: name, session: id, conn, path: file.into() };
        self.call(purpose, addr, request, Some(self.config.bounds.call.min(patience)));
    }

    /// A box has answered the question for a manifest of a play.
    pub(crate) fn fetched(
        &mut self, name: u128, id: SessionId, conn: ConnId, file: &str, result: Result<Response, CallError>,
    ) {
        let owed = self.owed.waits(conn);
        self.owed.settled(conn);
        let place =
            self.sessions.get_mut(id).and_then(Session::playing).map(|p| (p.place.server, p.place.addr));
        let Some((server, addr)) = place else {
            // It ended meanwhile, or lost its place; the player asks again.
            if owed {
                self.respond(
                    conn,
                    Response::problem(503, "the play lost its place").with("retry-after", "1"),
                );
            }
            return;
        };
        let gone = match &result {
            Ok(r) => matches!(r.status, 404 | 410) && *file == *self.plays.get(name).map_or("", |p| &p.entry),
            Err(e) => *e == CallError::NoConnection,
        };
        if gone || result.as_ref().is_ok_and(|r| r.status == 410) {
            // The box knows it no more, or is not there.
            debug!(session = id.0, server = server.0, "its box knows the play no more");
            self.displaced(id, result.is_ok());
            if owed {
                self.again(conn, name, Want::Manifest(file.into()));
            }
            return;
        }
        let response = match result {
            Ok(r) if r.status == 200 => {
                self.box_told(id, server, &r);
                match self.rewritten(id, name, addr, file, &r) {
                    Ok(body) => self.manifest(id, body, &r),
                    Err(fault) => {
                        warn!(%addr, %fault, "a box's manifest cannot be passed on");
                        Response::problem(
                            502,
                            &format!("the media box's manifest cannot be passed on: {fault}"),
                        )
                    }
                }
            }
            Ok(r) if r.status == 404 => Response::problem(404, "the media box has no such file"),
            Ok(r) => Response::problem(502, &format!("the media box answered {}", r.status)),
            Err(_) => Response::problem(504, "the media box did not answer"),
        };
        if owed {
            self.respond(conn, response);
        }
    }

    /// Serves a request again whose play has lost its place meanwhile.
    fn again(&mut self, conn: ConnId, name: u128, want: Want) {
        if self.plays.get(name).is_none() {
            return self.respond(conn, Response::problem(410, "the play has ended"));
        }
        // Half of what was left to it at least is still there: the box's answer came within its time.
        let patience = self.config.bounds.call;
        self.serve(conn, name, Asking { want, patience }, None);
    }

    /// A box's manifest as the player gets it.
    fn rewritten(
        &self, id: SessionId, name: u128, addr: SocketAddr, file: &str, r: &Response,
    ) -> Result<String, Fault> {
        let fault = |what| Fault { line: 1, what };
        let session = self.sessions.get(id).ok_or(fault("the session has ended"))?;
        let route = self.media_route(session.route);
        let text = std::str::from_utf8(&r.body).map_err(|_| fault("it is not UTF-8"))?;
        let class = &self.config.settings.classes[session.class];
        let (ladder, floor) = (&self.ladders[session.class], class.floor);
        let usable = self.plays.get(name).map_or(class.top, |p| p.top.min(class.top));
        let top = if route.all_renditions { usable } else { session.rung };
        let folder = format!("/media/{}/", session.title);
        let lead = |target: &Target| match target {
            Target::Here(path) => match path.strip_prefix(&folder) {
                Some(rest) => format!("{SESSION}{name:032x}/{rest}"),
                None => format!("http://{addr}{path}"),
            },
            Target::Elsewhere(uri) => uri.clone(),
        };
        let own = without_dots(&format!("{folder}{file}"));
        let rules =
            Rules { own: &own, keep: &|offered| ladder.keep(offered, floor, top.max(floor)), lead: &lead };
        let kind = r.media_type().unwrap_or_default();
        let Rewritten { text, .. } = if kind == dash::MEDIA_TYPE {
            let up = own.rfind('/').map_or("/", |i| &own[..=i]);
            dash::rewrite(text, &lead(&Target::Here(up.to_owned())), &rules)?
        } else if hls::is_playlist(&kind) {
            hls::rewrite(text, &rules)?
        } else {
            return Err(fault("it is neither a playlist nor a manifest"));
        };
        Ok(text)
    }

    /// The answer that carries a manifest.
    fn manifest(&self, id: SessionId, body: String, r: &Response) -> Response {
        let dash = r.media_type().as_deref() == Some(dash::MEDIA_TYPE);
        let kind = if dash { dash::MEDIA_TYPE } else { hls::MEDIA_TYPE };
        self.with_rung(id, Response::new(200).with("cache-control", "no-store"), Some(r)).content(kind, body)
    }

    /// With what the front adds to the way: the rung that the module wants (CTA-5006, `mb`).
    pub(crate) fn with_rung(&self, id: SessionId, response: Response, from: Option<&Response>) -> Response {
        let Some(session) = self.sessions.get(id) else { return response };
        let mut told = from.map(|r| Cmsd::of(&r.headers)).unwrap_or_default();
        let rate = self.ladders[session.class].rate(session.rung) / 1_000;
        let at = match &session.phase {
            Phase::Playing(p) => format!("box-{}", p.place.server.0),
            Phase::SettingUp(_) => return response,
        };
        // The box goes before the front, which it may have done itself.
        if told.hops.last().is_none_or(|h| h.name != at) {
            told.hops.push(Hop { name: at, ..Hop::default() });
        }
        told.hops.push(Hop { name: self.config.name.clone(), max_bitrate: Some(rate), ..Hop::default() });
        told.fields().into_iter().fold(response, |r, (name, value)| r.with(name, value))
    }

    /// Leads a player to its box. The box learns by the query whose play it is (CTA-5004 section 2.2).
    fn lead_on(&mut self, conn: ConnId, name: u128, id: SessionId, file: &str) {
        let Some(play) = self.plays.get(name) else {
            return self.respond(conn, Response::problem(410, "the play has ended"));
        };
        let sid = play.known_as(name);
        let mut told = Cmcd::new();
        told.set("cid", Value::Text(play.title.to_string()));
        told.set("sid", Value::Text(sid.into()));
        let title = play.title.clone();
        let Some(addr) = self.sessions.get_mut(id).and_then(Session::playing).map(|p| p.place.addr) else {
            return self.respond(conn, Response::problem(410, "the play has ended"));
        };
        let joint = if file.contains('?') { '&' } else { '?' };
        let to = format!("http://{addr}/media/{title}/{file}{joint}{}", told.query());
        let response = Response::new(307).with("location", to).with("cache-control", "no-store");
        let response = self.with_rung(id, response, None);
        self.respond(conn, response);
    }

    // ----- ends

    /// A viewer's connection closed that waited for its play's place; whether others still wait for it.
    pub(crate) fn others_wait(&mut self, conn: ConnId, id: SessionId) -> bool {
        let Some(name) = self.sessions.get(id).filter(|s| s.kind == RouteKind::Media).map(|s| s.name) else {
            return false;
        };
        let Some(play) = self.plays.get_mut(name) else { return false };
        play.waiting.retain(|w| w.0 != conn);
        let next = play.waiting.first().map(|w| w.0);
        match self.sessions.setting_up(id) {
            Some(s) if s.conn == Some(conn) => {
                s.conn = next;
                next.is_some()
            }
            // It came after the others had left, and the module knows that they did.
            _ => true,
        }
    }

    /// Who waits for a session's answer.
    pub(crate) fn waiters(&mut self, id: SessionId) -> Vec<ConnId> {
        let Some(session) = self.sessions.get_mut(id) else { return Vec::new() };
        let (name, media) = (session.name, session.kind == RouteKind::Media);
        let first = session.setting_up().and_then(|s| s.conn.take());
        if !media {
            return first.into_iter().collect();
        }
        let waiting = self.plays.get_mut(name).map_or_else(Vec::new, |p| std::mem::take(&mut p.waiting));
        waiting.into_iter().map(|w| w.0).collect()
    }

    /// A session's books are closed: its play has no place. One that never had one is over with it.
    pub(crate) fn unplaced(&mut self, id: SessionId, session: &Session) {
        if session.kind != RouteKind::Media {
            return;
        }
        let Some(play) = self.plays.get_mut(session.name).filter(|p| p.session == Some(id)) else { return };
        play.session = None;
        if !matches!(session.phase, Phase::SettingUp(_)) {
            return;
        }
        // They came when its set-up went on for nobody.
        for (conn, _) in &play.waiting {
            self.owed.settled(*conn);
            self.owed.patch(*conn);
        }
        self.free_for_another(session.name);
    }

    /// An attempt is closed, whatever came of it.
    pub(crate) fn attempt_settled(&mut self, call: CallId) {
        if let Some(name) = self.plays.settled(call) {
            self.free_for_another(name);
        }
    }

    /// A play without a session or attempt: those that wait for it may have it placed now; without any it is over, if it
    /// never had a place.
    fn free_for_another(&mut self, name: u128) {
        let Some(play) = self.plays.get_mut(name).filter(|p| p.session.is_none() && p.out == 0) else {
            return;
        };
        let late = std::mem::take(&mut play.waiting);
        let late: Vec<_> = late.into_iter().filter(|(conn, _)| self.owed.waits(*conn)).collect();
        if late.is_empty() && !play.stood {
            self.plays.close(name);
        }
        for (conn, want) in late {
            self.owed.settled(conn);
            self.again(conn, name, want);
        }
    }

    /// The player, or its silence, ends a play.
    pub(crate) fn end_play(&mut self, name: u128) {
        let Some(play) = self.plays.get(name) else { return };
        match play.session {
            // Its set-up is owed an answer; the player's word comes too soon, and its silence will tell.
            Some(id) if self.sessions.setting_up(id).is_some() => {}
            Some(id) => {
                self.plays.close(name);
                self.delete(id);
            }
            // An attempt that was given up is being closed; it is over then.
            None if play.out > 0 => {}
            None => drop(self.plays.close(name)),
        }
    }

    /// A play may have fallen silent.
    pub(crate) fn silent(&mut self, name: u128) {
        let Some(play) = self.plays.get(name) else { return };
        let silence = self.media_route(play.route).silence;
        let left = play.heard.saturating_add(silence).saturating_sub(self.now);
        let owed = play.out > 0 || play.session.is_some_and(|id| self.sessions.setting_up(id).is_some());
        if left == 0 && !owed {
            debug!("a play has fallen silent");
            return self.end_play(name);
        }
        // While an answer is owed it is not over: it is looked at again soon.
        self.timer(if left == 0 { LOOK_AGAIN } else { left }, Timer::Silence(name));
    }

    /// A box was started anew, or is gone: its plays have lost their place.
    pub(crate) fn displace_all(&mut self, server: ServerId) {
        let there: Vec<SessionId> =
            self.boxes.get(&server).map_or_else(Vec::new, |b| b.plays.iter().copied().collect());
        there.into_iter().for_each(|id| self.displaced(id, false));
    }

    /// A play has lost its place. Its next request has it placed anew, but for classes whose set-up must never be
    /// repeated: there it is over, and its viewer has to begin again. `sure`: its box said so.
    fn displaced(&mut self, id: SessionId, sure: bool) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let (name, class) = (session.name, session.class);
        let place = session.playing().map(|p| (p.place.addr, p.place.resource.clone()));
        if self.config.settings.classes[class].effect == Effect::AtMostOnce {
            self.plays.close(name);
        }
        self.ended_at_box(id, if sure { Outcome::Served } else { Outcome::Reset }, sure);
        // It may run on there, though the list has its box out; where seats count that has been asked already.
        if let Some((addr, resource)) = place.filter(|_| !sure && !self.seated(class)) {
            self.withdraw(id, addr, resource, 0);
        }
    }
}

/// A request of a play, and how long its viewer still waits.
struct Asking {
    want: Want,
    patience: Nanos,
}

/// The answer to OPTIONS (CORS of the Fetch standard); CMCD comes in fields of its own.
fn options(allow: &str) -> Response {
    let fields =
        "authorization, cmcd-object, cmcd-request, cmcd-session, cmcd-status, content-type, prefer, range";
    Response::new(200)
        .with("allow", allow)
        .with("access-control-allow-methods", allow)
        .with("access-control-allow-headers", fields)
        .with("access-control-max-age", "600")
        .with("accept-post", REPORT)
}

//! Media boxes over sockets: WHIP and WHEP endpoints with trickle ICE, the layer and the server-sent events
//! extension, and load reports; with troubles on demand.

use crate::lists::sets_up;
use crate::model::{SetUp, World};
use crate::record::{Deed, End, Record, What};
use crate::server::{Chance, bind, next_request};
use micadyke_config::BoxRow;
use micadyke_http::client::read_some;
use micadyke_http::fields::{IfMatch, Link, LoadReport};
use micadyke_http::message::chunk;
use micadyke_http::{Limits, Method, Request, RequestParser, Response, sse};
use micadyke_sdp::{Answerer, Fragment, Offer, OfferError, Use, answer};
use micadyke_tokens::bound::{Denied, Guard, SharedKey, Told};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};

/// What goes wrong at a box.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Trouble {
    /// It takes requests and answers none; its streams are silent.
    pub frozen: bool,
    /// Set-ups take so many times as long.
    pub slow: f64,
    /// Set-ups take so much longer.
    pub late: Duration,
    /// Part of the set-ups whose answers are lost: they stand, and nobody is told.
    pub lose_answers: f64,
    /// Part of the set-ups whose connections are reset.
    pub reset: f64,
    /// It sends half of an answer and closes.
    pub half_answers: bool,
    /// It announces an answer of so many bytes and begins to send it.
    pub huge_answers: u64,
    /// Notes come so much later.
    pub notes_late: Duration,
    /// Part of the notes that stay out.
    pub lose_notes: f64,
}

/// How boxes behave when all is well.
#[derive(Debug, Clone, PartialEq)]
pub struct Habits {
    /// A set-up takes so long.
    pub set_up: Duration,
    /// Notes are so late.
    pub notes_late: Duration,
    /// Time between load reports on a stream.
    pub report_every: Duration,
    /// Time between notes of short delivery.
    pub short_every: Duration,
}

impl Default for Habits {
    fn default() -> Self {
        Habits {
            set_up: Duration::from_millis(2),
            notes_late: Duration::from_millis(100),
            report_every: Duration::from_millis(1_000),
            short_every: Duration::from_millis(500),
        }
    }
}

struct Stream {
    session: u64,
    layers: bool,
    load: bool,
    short: bool,
    to: mpsc::Sender<Vec<u8>>,
}

pub(crate) struct Running {
    addr: SocketAddr,
    tasks: Vec<AbortHandle>,
    /// Subscriptions that no stream was opened for yet: session, layers, load.
    asked: HashMap<u64, (u64, bool, bool)>,
    streams: HashMap<u64, Stream>,
    trouble: Trouble,
    /// Ends sessions by the time of their seats.
    pub(crate) guard: Option<Guard>,
    /// Plays over HTTP that the guard knows, by session.
    pub(crate) bound: HashMap<u64, String>,
}

/// A fleet of boxes on loopback sockets. Clones share the fleet.
#[derive(Clone)]
pub struct Fleet(pub(crate) Rc<Inner>);

pub(crate) struct Inner {
    pub(crate) world: RefCell<World>,
    pub(crate) record: Rc<Record>,
    habits: Habits,
    pub(crate) running: RefCell<BTreeMap<u32, Running>>,
    next: Cell<u64>,
    chance: Chance,
    /// Path for clock and renewals, and the secret, where boxes bound sessions by their seats.
    guarded: RefCell<Option<(String, SharedKey)>>,
}

/// Bytes of events that wait for a slow reader; a stream that has more waiting loses the newest.
const WAITING: usize = 64;

impl Fleet {
    /// A fleet without running boxes.
    pub fn new(world: World, habits: Habits, record: Rc<Record>, seed: u64) -> Self {
        let (world, running) = (RefCell::new(world), RefCell::default());
        let fleet = Fleet(Rc::new(Inner {
            world,
            record,
            habits,
            running,
            next: Cell::new(0),
            chance: Chance::new(seed),
            guarded: RefCell::default(),
        }));
        spawn_local(fleet.clone().beats());
        fleet
    }

    /// Boxes that are opened from now on end sessions when the time of their seats is over, by tokens signed with this
    /// secret; they tell their clock and take renewals at the path.
    pub fn guarded(&self, path: &str, key: SharedKey) {
        *self.0.guarded.borrow_mut() = Some((path.into(), key));
    }

    /// A box's clock, in milliseconds: steady within one start of it, five seconds off the next box's; each start begins
    /// behind what the former one read.
    pub(crate) fn clock(&self, id: u32) -> u64 {
        let started = self.0.world.borrow().boxes.get(&id).map_or(0, |m| m.started);
        1_700_000_000_000 + u64::from(id) * 5_000 + (self.now() - started.min(self.now()) / 2) / 1_000_000
    }

    /// Stops a box's process, or lets it go. Before anything else it then ends what is over.
    pub fn freeze(&self, id: u32, on: bool) {
        self.0.record.deed(Deed::Frozen { id, on });
        self.trouble(id, |t| t.frozen = on);
        if !on {
            self.reap(id);
        }
    }

    /// The boxes without their sockets.
    pub fn world<T>(&self, with: impl FnOnce(&mut World) -> T) -> T {
        with(&mut self.0.world.borrow_mut())
    }

    /// The record's time.
    pub fn now(&self) -> u64 {
        self.0.record.now()
    }

    /// Opens a box's socket, at the port it had before if it ran before.
    pub async fn open(&self, id: u32) -> std::io::Result<SocketAddr> {
        let at = self.addr(id).unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        self.open_at(id, at).await
    }

    /// Opens the sockets of all boxes of a list, and writes their addresses into it.
    pub async fn open_all(&self, rows: &mut [BoxRow]) -> std::io::Result<()> {
        for row in rows {
            row.address = self.open(row.id).await?;
        }
        Ok(())
    }

    /// Opens a box's socket at an address.
    pub async fn open_at(&self, id: u32, at: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = bind(at).await?;
        let addr = listener.local_addr()?;
        let trouble = self.trouble_of(id);
        let task = spawn_local(self.clone().accept(id, listener)).abort_handle();
        let start = self.id();
        let guard = self
            .0
            .guarded
            .borrow()
            .as_ref()
            .map(|(_, key)| Guard::new(&format!("{id}-{start}"), vec![key.clone()]));
        let (asked, streams) = (HashMap::new(), HashMap::new());
        let bound = HashMap::new();
        let running = Running { addr, tasks: vec![task], asked, streams, trouble, guard, bound };
        self.0.running.borrow_mut().insert(id, running);
        Ok(addr)
    }

    /// Where a box listens.
    pub fn addr(&self, id: u32) -> Option<SocketAddr> {
        self.0.running.borrow().get(&id).map(|r| r.addr)
    }

    /// Changes what goes wrong at a box.
    pub fn trouble(&self, id: u32, with: impl FnOnce(&mut Trouble)) {
        if let Some(r) = self.0.running.borrow_mut().get_mut(&id) {
            with(&mut r.trouble);
        }
    }

    /// Ends a box's process: its connections close, its sessions are gone.
    pub fn kill(&self, id: u32) {
        let held: Vec<u64> =
            self.world(|w| w.boxes.get(&id).map_or_else(Vec::new, |m| m.held.keys().copied().collect()));
        self.0.world.borrow_mut().stop(id);
        held.iter().for_each(|&session| self.0.record.deed(Deed::Ended { id, session }));
        if let Some(r) = self.0.running.borrow_mut().get_mut(&id) {
            r.tasks.drain(..).for_each(|t| t.abort());
            r.streams.clear();
            r.asked.clear();
            r.guard = None;
        }
    }

    /// Starts a box's process again, cold; false where it fell over for good.
    pub async fn restart(&self, id: u32) -> bool {
        let now = self.now();
        if !self.0.world.borrow_mut().start(id, now) {
            return false;
        }
        self.open(id).await.is_ok()
    }

    fn id(&self) -> u64 {
        self.0.next.set(self.0.next.get() + 1);
        self.0.next.get()
    }

    fn trouble_of(&self, id: u32) -> Trouble {
        self.0.running.borrow().get(&id).map(|r| r.trouble.clone()).unwrap_or_default()
    }

    async fn accept(self, id: u32, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let task = spawn_local(self.clone().connection(id, stream)).abort_handle();
            if let Some(r) = self.0.running.borrow_mut().get_mut(&id) {
                r.tasks.retain(|t| !t.is_finished());
                r.tasks.push(task);
            }
        }
    }

    async fn connection(self, id: u32, stream: TcpStream) {
        let end = End::Box(id);
        let conn = self.0.record.open(end);
        // Noted however the task ends, when it is ended with its box too.
        let _closed = Closing(self.0.record.clone(), conn, end);
        self.serve(id, conn, stream).await;
    }

    async fn serve(&self, id: u32, conn: u64, mut stream: TcpStream) -> Option<()> {
        let record = &self.0.record;
        let mut parser = RequestParser::new(Limits::default());
        loop {
            let note = |bytes: &[u8]| record.note(conn, End::Box(id), What::Read(bytes.to_vec()));
            let request = match next_request(&stream, &mut parser, note).await? {
                Ok(request) => request,
                Err(f) => {
                    let bytes = Response::problem(f.status, f.what).encode(false);
                    return self.write(&mut stream, conn, id, &bytes).await;
                }
            };
            while self.trouble_of(id).frozen {
                self.pause(&stream, conn, id, &mut parser, Duration::from_millis(20)).await?;
            }
            if request.method == Method::Get && request.path().contains("/events/") {
                return self.stream(id, conn, stream, &request).await;
            }
            let set_up = request.method == Method::Post
                && (request.path().starts_with("/whep/") || request.path().starts_with("/whip/"));
            let play = sets_up(&request);
            if !set_up && !play {
                let bytes = self.answer(id, &request).encode(false);
                self.write(&mut stream, conn, id, &bytes).await?;
                continue;
            }
            let (response, session) = if play { self.play(id, &request) } else { self.set_up(id, &request) };
            // Who fetches a list over HTTP may close when it has what it wants: a play does not end by that.
            let ends = session.filter(|_| !play);
            let t = self.trouble_of(id);
            let taken = session.is_some();
            let time =
                if taken { self.0.habits.set_up.mul_f64(1.0 + t.slow) + t.late } else { Duration::ZERO };
            if self.pause(&stream, conn, id, &mut parser, time).await.is_none() {
                // Whoever asked is gone before the answer: nobody will use it.
                self.drop_session(id, ends);
                return None;
            }
            while self.trouble_of(id).frozen {
                if self.pause(&stream, conn, id, &mut parser, Duration::from_millis(20)).await.is_none() {
                    self.drop_session(id, ends);
                    return None;
                }
            }
            let bytes = response.encode(false);
            if taken && t.reset > 0.0 && self.0.chance.draw() < t.reset {
                let _ = stream.set_zero_linger();
                return None;
            }
            if taken && t.lose_answers > 0.0 && self.0.chance.draw() < t.lose_answers {
                // The answer never goes out; the connection stays as it is until the other side gives up.
                loop {
                    self.pause(&stream, conn, id, &mut parser, Duration::from_millis(50)).await?;
                }
            }
            if taken && t.half_answers {
                return self.write(&mut stream, conn, id, &bytes[..bytes.len() / 2]).await;
            }
            if taken && t.huge_answers > 0 {
                let head = format!(
                    "HTTP/1.1 201 Created\r\nlocation: /s/1\r\ncontent-type: application/sdp\r\ncontent-length: {}\r\n\r\n",
                    t.huge_answers
                );
                self.write(&mut stream, conn, id, head.as_bytes()).await?;
                for _ in 0..64 {
                    self.write(&mut stream, conn, id, &[b'x'; 4096]).await?;
                }
                return None;
            }
            if self.write(&mut stream, conn, id, &bytes).await.is_none() {
                self.drop_session(id, ends);
                return None;
            }
        }
    }

    /// Waits, but not past the other side's closing.
    async fn pause(
        &self, stream: &TcpStream, conn: u64, id: u32, parser: &mut RequestParser, time: Duration,
    ) -> Option<()> {
        let until = tokio::time::Instant::now() + time;
        loop {
            let note = |bytes: &[u8]| {
                self.0.record.note(conn, End::Box(id), What::Read(bytes.to_vec()));
                parser.feed(bytes);
            };
            match tokio::time::timeout_at(until, read_some(stream, note)).await {
                Err(_) => return Some(()),
                Ok(Ok(n)) if n > 0 => {}
                Ok(_) => return None,
            }
        }
    }

    async fn write(&self, stream: &mut TcpStream, conn: u64, id: u32, bytes: &[u8]) -> Option<()> {
        stream.write_all(bytes).await.ok()?;
        self.0.record.note(conn, End::Box(id), What::Wrote(bytes.to_vec()));
        Some(())
    }

    pub(crate) fn drop_session(&self, id: u32, session: Option<u64>) {
        let Some(session) = session else { return };
        let gone = self.0.world.borrow_mut().end(id, session);
        self.over(id, &gone);
    }

    /// Sessions that are over: their streams close, and nobody counts them any more.
    pub(crate) fn over(&self, id: u32, gone: &[u64]) {
        for &session in gone {
            self.0.record.deed(Deed::Ended { id, session });
            if let Some(r) = self.0.running.borrow_mut().get_mut(&id) {
                let name = r.bound.remove(&session).unwrap_or_else(|| format!("/s/{session}"));
                r.guard.iter_mut().for_each(|g| g.release(&name));
            }
        }
        self.close_streams(id, gone);
    }

    fn close_streams(&self, id: u32, gone: &[u64]) {
        if let Some(r) = self.0.running.borrow_mut().get_mut(&id) {
            r.streams.retain(|_, s| !gone.contains(&s.session));
            r.asked.retain(|_, a| !gone.contains(&a.0));
        }
    }

    pub(crate) fn load(&self, id: u32) -> String {
        let (link, uplink) = self.0.world.borrow().use_of(id, self.now());
        let round = |v: f64| (v * 1e4).round() / 1e4;
        let mut figures = vec![("application_utilization".to_owned(), round(link))];
        if uplink > 0.0 {
            figures.push(("utilization.uplink".to_owned(), round(uplink)));
        }
        LoadReport(figures).encode()
    }

    fn set_up(&self, id: u32, request: &Request) -> (Response, Option<u64>) {
        let path = request.path();
        let publishes = path.starts_with("/whip/");
        let title = &path[6..];
        let no = |status, what: &str| {
            let response = Response::problem(status, what).with(LoadReport::FIELD, self.load(id));
            (response, None)
        };
        if request.media_type().as_deref() != Some("application/sdp") {
            return no(415, "application/sdp is due");
        }
        let used = if publishes { Use::Publish } else { Use::Play };
        let Ok(text) = std::str::from_utf8(&request.body) else { return no(400, "the offer is not UTF-8") };
        let offer = match Offer::parse(text, used) {
            Ok(offer) => offer,
            Err(e @ OfferError::Syntax(_)) => return no(400, &e.to_string()),
            Err(e) => return no(422, &e.to_string()),
        };
        let now = self.now();
        let bound = match self.admitted(id, title, request) {
            Ok(bound) => bound,
            Err(response) => return (response, None),
        };
        let set_up = self.0.world.borrow_mut().set_up(id, now, title, publishes);
        let session = match set_up {
            SetUp::Taken(n) => n,
            SetUp::Full => return no(503, "no room"),
            SetUp::Unknown => return no(404, "no such title here"),
            SetUp::Conflict => return no(409, "the title is published already"),
            SetUp::Fell => {
                self.fall(id);
                return no(500, "fell over");
            }
        };
        let ufrag = offer.ufrag.to_string();
        self.0.record.deed(Deed::Held { id, session, ufrag });
        if let Some(exp) = bound
            && let Some(g) = self.0.running.borrow_mut().get_mut(&id).and_then(|r| r.guard.as_mut())
        {
            g.hold(&format!("/s/{session}"), exp);
        }
        let by = Answerer {
            ufrag: format!("box{id:04x}"),
            password: format!("{session:024x}"),
            fingerprint: crate::offers::fingerprint(u64::from(id)),
            media: SocketAddr::from(([127, 0, 0, 1], 5000 + (session % 20_000) as u16)),
            session,
        };
        if let Some(h) = self.0.world.borrow_mut().boxes.get_mut(&id).and_then(|m| m.held.get_mut(&session)) {
            h.ufrag = offer.ufrag.into();
        }
        let link = |path: &str, rel: &str| Link::new(format!("/s/{session}/{path}"), rel);
        let mut events = link("events", "urn:ietf:params:whep:ext:core:server-sent-events");
        events.params.push(("events".into(), format!("layers,{}", LoadReport::FIELD)));
        let mut response = Response::new(201)
            .with("location", format!("/s/{session}"))
            .with("etag", "\"ice-1\"")
            .with("accept-patch", "application/trickle-ice-sdpfrag")
            .with("link", events.encode())
            .with(LoadReport::FIELD, self.load(id))
            .content("application/sdp", answer(&offer, used, &by));
        if !publishes {
            response = response.with("link", link("layer", "urn:ietf:params:whep:ext:core:layer").encode());
        }
        (response, Some(session))
    }

    /// A box was pushed over. The connection that did is among those that close: after this turn.
    pub(crate) fn fall(&self, id: u32) {
        let fleet = self.clone();
        spawn_local(async move { fleet.kill(id) });
    }

    /// Until when the seat's token on a set-up lets its session last, where it carries one; the refusal of one that does
    /// not hold.
    pub(crate) fn admitted(&self, id: u32, title: &str, request: &Request) -> Result<Option<u64>, Response> {
        let token = request.headers.get("authorization").and_then(|a| a.strip_prefix("Bearer "));
        let (clock, running) = (self.clock(id), self.0.running.borrow());
        let guard = running.get(&id).and_then(|r| r.guard.as_ref());
        token.zip(guard).map(|(t, g)| g.admit(clock, t, title)).transpose().map_err(|why| {
            let challenge = "Bearer realm=\"box\", error=\"invalid_token\"";
            let response = Response::problem(401, &format!("the seat's token does not hold: {why:?}"));
            response.with("www-authenticate", challenge)
        })
    }

    /// Answers what is no set-up and no stream.
    fn answer(&self, id: u32, request: &Request) -> Response {
        if request.path().starts_with("/media/") || request.path() == "/cmcd" {
            return self.media(id, request);
        }
        let leases = self.0.guarded.borrow().as_ref().is_some_and(|(path, _)| request.path() == path);
        if leases {
            return self.leases(id, request);
        }
        let mut parts = request.path().trim_start_matches('/').split('/');
        let (Some("s"), Some(n), rest) = (parts.next(), parts.next(), parts.next()) else {
            return Response::problem(404, "no such resource");
        };
        let Ok(session) = n.parse::<u64>() else { return Response::problem(404, "no such session") };
        let mut world = self.0.world.borrow_mut();
        let rungs = world.terms.ladder.len();
        let known = world.boxes.get_mut(&id).and_then(|m| m.held.get_mut(&session));
        let Some(held) = known else { return Response::problem(404, "no such session") };
        match (request.method, rest) {
            (Method::Delete, None) => {
                let gone = world.end(id, session);
                drop(world);
                self.over(id, &gone);
                Response::new(200)
            }
            (Method::Patch, None) => {
                let tag = format!("\"ice-{}\"", held.ice);
                let Some(field) = request.headers.get("if-match") else {
                    return Response::problem(428, "If-Match is due");
                };
                if !IfMatch::parse(field).is_some_and(|m| m.holds(&tag)) {
                    return Response::problem(412, "not this entity tag");
                }
                let text = String::from_utf8_lossy(&request.body);
                match Fragment::parse(&text) {
                    Err(e) => Response::problem(400, &e.to_string()),
                    // Known credentials come with trickled candidates; new ones restart ICE (RFC 9725 section 4.3).
                    Ok(f) if f.ufrag.as_ref().is_some_and(|u| *u != held.ufrag) => {
                        held.ufrag = f.ufrag.unwrap_or_default();
                        held.ice += 1;
                        let answer = Fragment {
                            ufrag: Some(format!("box{id:04x}r{}", held.ice)),
                            password: Some(format!("{:024x}", session * 31 + held.ice)),
                            candidates: vec![(
                                Some("0".into()),
                                format!("1 1 udp 2130706431 127.0.0.1 {} typ host", 5000 + session % 20_000),
                            )],
                            end_of_candidates: true,
                        };
                        Response::new(200)
                            .with("etag", format!("\"ice-{}\"", held.ice))
                            .content("application/trickle-ice-sdpfrag", answer.encode())
                    }
                    Ok(_) => Response::new(204),
                }
            }
            (Method::Post, Some("layer")) => {
                let body = serde_json::from_slice::<serde_json::Value>(&request.body).unwrap_or_default();
                let rung =
                    body.get("encodingId").and_then(|v| v.as_str()).and_then(|v| v.parse::<usize>().ok());
                match rung {
                    Some(rung) if rung < rungs => {
                        held.rung = rung;
                        Response::new(200)
                    }
                    _ => Response::problem(400, "no such layer"),
                }
            }
            (Method::Post, Some("events")) => {
                let body = serde_json::from_slice::<Vec<String>>(&request.body).unwrap_or_default();
                drop(world);
                let asks = |name: &str| body.iter().any(|e| e == name);
                let stream = self.id();
                if let Some(r) = self.0.running.borrow_mut().get_mut(&id) {
                    r.asked.insert(stream, (session, asks("layers"), asks(LoadReport::FIELD)));
                }
                Response::new(201).with("location", format!("/s/{session}/events/{stream}"))
            }
            _ => Response::problem(405, "not allowed here"),
        }
    }

    /// A box's clock, and renewals of the time that sessions may last.
    fn leases(&self, id: u32, request: &Request) -> Response {
        // What is over is ended before anybody is told that it is.
        self.reap(id);
        let now = self.clock(id);
        let mut running = self.0.running.borrow_mut();
        let Some(guard) = running.get_mut(&id).and_then(|r| r.guard.as_mut()) else {
            return Response::problem(404, "no such resource");
        };
        let tell = |status, told: Told| {
            Response::new(status)
                .with("cache-control", "no-store")
                .content("application/json", serde_json::to_vec(&told).unwrap_or_default())
        };
        match request.method {
            Method::Get => tell(200, guard.tell(now, Vec::new())),
            Method::Post if request.media_type().as_deref() != Some("application/jwt") => {
                Response::problem(415, "application/jwt is due").with("accept-post", "application/jwt")
            }
            Method::Post => match guard.renew(now, &String::from_utf8_lossy(&request.body)) {
                Ok(told) => tell(200, told),
                Err(Denied::Audience) => tell(409, guard.tell(now, Vec::new())),
                Err(why) => Response::problem(401, &format!("the renewal does not hold: {why:?}")),
            },
            _ => Response::problem(405, "GET or POST is due").with("allow", "GET, POST"),
        }
    }

    /// Serves an event stream until either side ends it.
    async fn stream(&self, id: u32, conn: u64, mut stream: TcpStream, request: &Request) -> Option<()> {
        let n = request.path().rsplit('/').next().and_then(|n| n.parse::<u64>().ok());
        let asked = n.and_then(|n| self.0.running.borrow_mut().get_mut(&id)?.asked.remove(&n));
        let (Some(n), Some((session, layers, load))) = (n, asked) else {
            let bytes = Response::problem(404, "no such stream").encode(false);
            return self.write(&mut stream, conn, id, &bytes).await;
        };
        let (to, mut events) = mpsc::channel::<Vec<u8>>(WAITING);
        let hold = |by: i32| {
            let mut world = self.0.world.borrow_mut();
            if let Some(h) = world.boxes.get_mut(&id).and_then(|m| m.held.get_mut(&session)) {
                h.streams = h.streams.saturating_add_signed(by);
                h.alone_since = self.now();
            }
        };
        hold(1);
        if let Some(r) = self.0.running.borrow_mut().get_mut(&id) {
            r.streams.insert(n, Stream { session, layers, load, short: false, to });
        }
        let head =
            Response::new(200).with("content-type", "text/event-stream").with("cache-control", "no-store");
        let mut ok = self.write(&mut stream, conn, id, &head.encode_chunked()).await;
        while ok.is_some() {
            tokio::select! {
                event = events.recv() => match event {
                    Some(bytes) => ok = self.write(&mut stream, conn, id, &chunk(&bytes)).await,
                    // The session ended: so does its stream, in good order. A process that is killed writes no
                    // such end.
                    None => {
                        ok = self.write(&mut stream, conn, id, &chunk(&[])).await;
                        break;
                    }
                },
                read = read_some(&stream, |_| {}) => if !matches!(read, Ok(n) if n > 0) { break },
            }
        }
        hold(-1);
        if let Some(r) = self.0.running.borrow_mut().get_mut(&id) {
            r.streams.remove(&n);
        }
        ok
    }

    /// What boxes tell and do from time to time.
    async fn beats(self) {
        const BEAT: Duration = Duration::from_millis(50);
        let mut beat = tokio::time::interval(BEAT);
        let every = |d: Duration| (d.as_millis() / BEAT.as_millis()).max(1) as u64;
        let (reports, shorts) = (every(self.0.habits.report_every), every(self.0.habits.short_every));
        for n in 0u64.. {
            beat.tick().await;
            let ids: Vec<u32> = self.0.running.borrow().keys().copied().collect();
            for id in ids {
                self.reap(id);
                if n.is_multiple_of(shorts) {
                    self.tell_layers(id);
                }
                if n.is_multiple_of(reports) {
                    self.tell_load(id);
                }
            }
        }
    }

    /// Ends sessions whose seat's time is over, and those without an event stream for too long. A box that stands still
    /// ends nothing.
    fn reap(&self, id: u32) {
        if self.trouble_of(id).frozen {
            return;
        }
        let clock = self.clock(id);
        let expired = self
            .0
            .running
            .borrow_mut()
            .get_mut(&id)
            .and_then(|r| r.guard.as_mut())
            .map_or_else(Vec::new, |g| g.expired(clock));
        for path in expired {
            let play =
                self.0.running.borrow().get(&id).and_then(|r| {
                    r.bound.iter().find(|(_, name)| **name == path).map(|(session, _)| *session)
                });
            self.drop_session(id, play.or_else(|| path.strip_prefix("/s/").and_then(|n| n.parse().ok())));
        }
        let (now, mut world) = (self.now(), self.0.world.borrow_mut());
        let after = world.terms.reap_after;
        let Some(m) = world.boxes.get(&id) else { return };
        let longer = |h: &crate::model::Held| h.play.as_ref().map_or(0, |p| p.silence);
        let alone = |h: &crate::model::Held| h.streams == 0 && h.alone_since + after + longer(h) < now;
        let gone: Vec<u64> = m.held.iter().filter(|(_, h)| alone(h)).map(|(n, _)| *n).collect();
        let all: Vec<u64> = gone.into_iter().flat_map(|n| world.end(id, n)).collect();
        drop(world);
        self.over(id, &all);
    }

    fn send(&self, id: u32, to: mpsc::Sender<Vec<u8>>, event: sse::Event) {
        let t = self.trouble_of(id);
        if t.frozen || (t.lose_notes > 0.0 && self.0.chance.draw() < t.lose_notes) {
            return;
        }
        let late = self.0.habits.notes_late + t.notes_late;
        spawn_local(async move {
            tokio::time::sleep(late).await;
            let _ = to.try_send(event.encode());
        });
    }

    fn tell_layers(&self, id: u32) {
        let mut due = Vec::new();
        {
            let (world, mut running) = (self.0.world.borrow(), self.0.running.borrow_mut());
            let (Some(r), Some(m)) = (running.get_mut(&id), world.boxes.get(&id)) else { return };
            let share = world.delivered(id, self.now());
            for s in r.streams.values_mut().filter(|s| s.layers) {
                let Some(h) = m.held.get(&s.session).filter(|h| !h.publishes) else { continue };
                let was = std::mem::replace(&mut s.short, share < 0.98);
                if was || s.short {
                    let bits = world.terms.ladder[h.rung] * h.scale * 8000.0;
                    let active = serde_json::json!([{ "encodingId": h.rung.to_string(),
                        "bitrate": (bits * share).round(), "targetBitrate": bits.round() }]);
                    due.push((s.to.clone(), serde_json::json!({ "1": { "active": active } }).to_string()));
                }
            }
        }
        for (to, data) in due {
            self.send(id, to, sse::Event { kind: "layers".into(), data, ..Default::default() });
        }
    }

    fn tell_load(&self, id: u32) {
        let data = self.load(id);
        let to: Vec<_> =
            self.0.running.borrow().get(&id).map_or_else(Vec::new, |r| {
                r.streams.values().filter(|s| s.load).map(|s| s.to.clone()).collect()
            });
        for to in to {
            self.send(
                id,
                to,
                sse::Event { kind: LoadReport::FIELD.into(), data: data.clone(), ..Default::default() },
            );
        }
    }
}

struct Closing(Rc<Record>, u64, End);

impl Drop for Closing {
    fn drop(&mut self) {
        self.0.note(self.1, self.2, What::Closed);
    }
}

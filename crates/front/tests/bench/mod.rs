//! A core alone, in made-up time, and what it asked for.
#![allow(dead_code, reason = "each test file uses a part of it")]

use micadyke::interface::{Nanos, ServerState};
use micadyke_cmcd::Cmcd;
use micadyke_config::{BoxRow, Config, read_config};
use micadyke_front::{CallId, ConnId, Front, Input, Output, StreamId, Taken};
use micadyke_http::client::CallError;
use micadyke_http::fields::Link;
use micadyke_http::{Method, Request, Response};
use micadyke_sdp::{Answerer, Offer, Use, answer};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000 * MS;
pub const START: Nanos = 3_600 * SECOND;

pub const SETTINGS: &str = r#"
(front (name "f") (listen "127.0.0.1:0") (ice-servers "stun:stun.example:3478"))
(ladder (rung (rate 100kB/s) (worth 0.3)) (rung (rate 300kB/s) (worth 0.6)) (rung (rate 900kB/s) (worth 1)))
(class play (aim 800ms) (patience 4s) (effect idempotent))
(class paid (aim 800ms) (patience 4s) (effect at-most-once) (floor 1) (seats 3))
(kind box (streams 50))
(fleet (cells 4) (racks 2) (link-per-weight 20MB/s) (uplink 40MB/s) (note-delay 100ms) (note-period 1s))
(attempts (most 3))
(come-back (most 2s))
(bounds (sessions 40) (patches 2))
(route "/whep/" (kind whep) (class play))
(route "/paid/" (kind whep) (class paid) (bearer "t1" "t2"))
(route "/whip/" (kind whip) (class play))
(route "/watch/" (kind media) (class play) (silence 10s))
(route "/show/" (kind media) (class paid) (bearer "t1"))
(route "/go/" (kind media) (class play) (manifests redirect) (silence 10s))
(route "/all/" (kind media) (class play) (renditions all))
(route "/mute/" (kind media) (class play) (renditions all) (hints ignore))
(title demo (from-cell 0) (cells 4))
"#;

pub fn row(id: u32, state: ServerState) -> BoxRow {
    let address = SocketAddr::from(([127, 0, 0, 1], 9000 + id as u16));
    BoxRow { id, address, state, kind: 0, weight: 1.0, cell: id - 1, zone: 0, started_at: 0 }
}

pub fn offer_text(n: u64) -> String {
    include_str!("../../../../fixtures/offers/chromium-play.sdp").replace("x7Kq", &format!("u{n:06}"))
}

pub fn publish_text(n: u64) -> String {
    include_str!("../../../../fixtures/offers/chromium-publish.sdp").replace("x7Kq", &format!("u{n:06}"))
}

/// A core, the time, and what it has asked for.
pub struct Bench {
    pub front: Front,
    pub now: Nanos,
    pub calls: BTreeMap<CallId, (SocketAddr, Request)>,
    pub aborted: BTreeSet<CallId>,
    pub streams: BTreeMap<StreamId, SocketAddr>,
    pub answers: HashMap<ConnId, Vec<Response>>,
    pub conns: u64,
    pub session: u64,
    /// Questions that it told of.
    pub taken: Vec<Taken>,
    /// Where requests come from.
    pub peer: IpAddr,
}

impl Bench {
    pub fn new() -> Self {
        let config: Rc<Config> = Rc::new(read_config(SETTINGS, "s").unwrap_or_else(|e| panic!("{e:?}")));
        let front = Front::new(config, [7; 32], START).expect("sound settings");
        let mut bench = Bench {
            front,
            now: START,
            calls: BTreeMap::new(),
            aborted: BTreeSet::new(),
            streams: BTreeMap::new(),
            answers: HashMap::new(),
            conns: 0,
            session: 0,
            peer: IpAddr::from([127, 0, 0, 1]),
            taken: Vec::new(),
        };
        bench.list((1..=4).map(|id| row(id, ServerState::Ready)).collect());
        bench
    }

    pub fn feed(&mut self, input: Input) {
        let mut out = Vec::new();
        self.front.handle(self.now, input, &mut out);
        for o in out {
            match o {
                Output::Respond { conn, response } => self.answers.entry(conn).or_default().push(response),
                Output::Call { call, to, request, .. } => {
                    self.calls.insert(call, (to, request));
                }
                Output::Abort { call } => {
                    self.aborted.insert(call);
                }
                Output::Listen { stream, to, .. } => {
                    self.streams.insert(stream, to);
                }
                Output::Unlisten { stream } => {
                    self.streams.remove(&stream);
                }
                Output::Subscribe | Output::Record(_) | Output::Keep(_) => {}
                Output::Taken(taken) => self.taken.push(taken),
            }
        }
        self.one_attempt_at_a_time();
    }

    /// No two set-ups of one offer are out, but for one whose connection is being closed.
    pub fn one_attempt_at_a_time(&self) {
        let mut offers = BTreeSet::new();
        for (call, (_, request)) in &self.calls {
            if is_set_up(request) {
                let play = Cmcd::of(&request.headers, "").text("sid").unwrap_or_default().to_owned();
                assert!(offers.insert((play, &request.body)), "two attempts of a session are out: {call:?}");
            }
        }
    }

    pub fn list(&mut self, rows: Vec<BoxRow>) {
        self.feed(Input::List { rows, epoch: 1_000 });
    }

    pub fn request(&mut self, request: Request) -> ConnId {
        self.conns += 1;
        let conn = ConnId(self.conns);
        let peer = self.peer;
        self.feed(Input::Request { conn, request, peer, waited: 0 });
        conn
    }

    pub fn post(&mut self, path: &str, offer: String) -> ConnId {
        let request = Request::new(Method::Post, path).content("application/sdp", offer);
        self.request(request.with("authorization", "Bearer t1"))
    }

    pub fn reply(&mut self, call: CallId, result: Result<Response, CallError>) {
        self.calls.remove(&call).expect("a call that is out");
        self.aborted.remove(&call);
        self.feed(Input::Reply { call, result });
    }

    pub fn close(&mut self, call: CallId) {
        self.calls.remove(&call).expect("a call that is out");
        self.aborted.remove(&call);
        self.feed(Input::Closed { call });
    }

    pub fn pass(&mut self, time: Nanos) {
        let until = self.now + time;
        while let Some(at) = self.front.deadline().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.feed(Input::Tick);
        }
        self.now = until;
    }

    pub fn find(&self, fits: impl Fn(&Request) -> bool) -> Vec<CallId> {
        self.calls.iter().filter(|(_, (_, r))| fits(r)).map(|(c, _)| *c).collect()
    }

    pub fn set_ups(&self) -> Vec<CallId> {
        self.find(is_set_up)
    }

    pub fn created(&mut self, call: CallId) -> Response {
        self.session += 1;
        let n = self.session;
        let (_, request) = &self.calls[&call];
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let used = if request.path().starts_with("/whip/") { Use::Publish } else { Use::Play };
        let by = Answerer {
            ufrag: "boxu".into(),
            password: format!("{n:024}"),
            fingerprint: format!("sha-256 {}", ["0A"; 32].join(":")),
            media: SocketAddr::from(([127, 0, 0, 1], 5004)),
            session: n,
        };
        let offer = Offer::parse(&text, used).expect("the offer is passed on unchanged");
        let layer = Link::new(format!("/s/{n}/layer"), "urn:ietf:params:whep:ext:core:layer");
        let events = Link::new(format!("/s/{n}/events"), "urn:ietf:params:whep:ext:core:server-sent-events");
        Response::new(201)
            .with("location", format!("/s/{n}"))
            .with("etag", "\"ice-1\"")
            .with("link", layer.encode())
            .with("link", events.encode())
            .with("endpoint-load-metrics", "TEXT application_utilization=0.4, utilization.uplink=0.3")
            .content("application/sdp", answer(&offer, used, &by))
    }

    pub fn take(&mut self, call: CallId) {
        let response = self.created(call);
        self.reply(call, Ok(response));
    }

    pub fn answer(&self, conn: ConnId) -> &Response {
        let all = self.answers.get(&conn).map_or(&[][..], Vec::as_slice);
        assert_eq!(all.len(), 1, "one answer and only one");
        &all[0]
    }

    pub fn answered(&self, conn: ConnId) -> bool {
        self.answers.contains_key(&conn)
    }

    /// A session that plays: its resource.
    pub fn play(&mut self, n: u64) -> String {
        let conn = self.post("/whep/demo", offer_text(n));
        let call = self.set_ups()[0];
        self.take(call);
        self.answer(conn).headers.get("location").expect("a resource").to_owned()
    }
}

/// What a play is set up by: a manifest asked for at the start, under a number of its own.
pub fn is_play(r: &Request) -> bool {
    let asks = Cmcd::of(&r.headers, "");
    r.method == Method::Get && r.path().starts_with("/media/") && asks.flag("su")
}

pub fn is_set_up(r: &Request) -> bool {
    if is_play(r) {
        return true;
    }
    r.method == Method::Post && (r.path().starts_with("/whep/") || r.path().starts_with("/whip/"))
}

pub fn patch(path: &str, tag: &str) -> Request {
    let body = "a=ice-ufrag:EsAw\r\na=ice-pwd:P2uYro0UCOQ4zxjKXaWCBui1\r\nm=audio 9 RTP/AVP 0\r\na=mid:0\r\n\
                a=candidate:1 1 udp 2122260223 192.0.2.1 61764 typ host\r\n";
    let request = Request::new(Method::Patch, path).content("application/trickle-ice-sdpfrag", body);
    if tag.is_empty() { request } else { request.with("if-match", tag) }
}

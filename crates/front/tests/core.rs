//! The core alone, in made-up time: hard cases of the path, and any order of events.

mod bench;

use bench::{Bench, MS, SECOND, SETTINGS, START, is_set_up, offer_text, patch, publish_text, row};
use micadyke::interface::{Nanos, ServerState};
use micadyke_config::read_config;
use micadyke_front::{CallId, ConnId, Front, Input, Output, StreamId};
use micadyke_http::client::CallError;
use micadyke_http::{Method, Request, Response, sse};
use micadyke_tokens::bound::{Guard, SharedKey, Told};
use micadyke_tokens::message::{Op, Reply, Request as SeatRequest, Verdict};
use micadyke_tokens::store::{Record, State};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::rc::Rc;

#[test]
fn an_offer_is_placed_answered_shaped_and_ended() {
    let mut b = Bench::new();
    let conn = b.post("/whep/demo", offer_text(1));
    let call = b.set_ups()[0];
    assert_eq!(b.calls[&call].1.headers.get("via"), Some("1.1 f"));
    b.take(call);
    let r = b.answer(conn).clone();
    assert_eq!((r.status, r.headers.get("etag")), (201, Some("\"ice-1\"")));
    assert!(r.headers.get("link").is_some_and(|l| l.contains("rel=\"ice-server\"")));
    let resource = r.headers.get("location").expect("a resource").to_owned();
    assert_eq!(b.find(|r| r.path().ends_with("/layer")).len(), 1, "its rung is set");
    assert_eq!(b.find(|r| r.path().ends_with("/events")).len(), 1, "its events are asked for");
    let end = b.request(Request::new(Method::Delete, &resource));
    let again = b.request(Request::new(Method::Delete, &resource));
    assert_eq!((b.answer(end).status, b.answer(again).status), (200, 200), "the same answer for a repeat");
    assert_eq!(b.find(|r| r.method == Method::Delete).len(), 1, "withdrawn at the box once");
    assert_eq!(b.front.held(), 0);
}

#[test]
fn refusals_of_the_endpoints() {
    let mut b = Bench::new();
    let resource = b.play(1);
    let sdp = |m, p: &str| Request::new(m, p).content("application/sdp", offer_text(2));
    let table = [
        (sdp(Method::Post, "/whep/none"), 404),
        (sdp(Method::Post, "/nowhere"), 404),
        (sdp(Method::Post, "/whep/a/b"), 404),
        (sdp(Method::Post, "/whip/demo"), 422),
        (Request::new(Method::Post, "/whip/demo").content("application/sdp", publish_text(3)), 409),
        (Request::new(Method::Post, "/whip/b%61d").content("application/sdp", publish_text(3)), 400),
        (Request::new(Method::Get, "/whep/demo"), 405),
        (Request::new(Method::Put, "/whep/demo"), 405),
        (Request::new(Method::Delete, "/whep/demo"), 405),
        (Request::new(Method::Post, "/whep/demo").content("application/json", "{}"), 415),
        (Request::new(Method::Post, "/whep/demo").content("application/sdp", "hello"), 400),
        (Request::new(Method::Post, "/whep/demo").content("application/sdp", vec![0xff, 0xfe]), 400),
        (Request::new(Method::Post, "/whep/demo").content("application/sdp", publish_text(2)), 422),
        (sdp(Method::Post, "/paid/demo"), 401),
        (sdp(Method::Post, "/paid/demo").with("authorization", "Bearer t9"), 401),
        (Request::new(Method::Options, "/whep/demo"), 200),
        (Request::new(Method::Options, &*resource), 200),
        (Request::new(Method::Get, &*resource), 405),
        (Request::new(Method::Post, &*resource), 405),
        (Request::new(Method::Delete, "/session/00000000000000000000000000000000"), 404),
        (Request::new(Method::Delete, "/session/zz"), 404),
        (patch(&resource, ""), 428),
        (patch(&resource, "\"other\""), 412),
        (patch(&resource, "W/\"ice-1\""), 412),
        (patch(&resource, "ice-1"), 400),
        (Request::new(Method::Patch, &*resource).with("if-match", "*").content("application/sdp", "x"), 415),
        (
            Request::new(Method::Patch, &*resource)
                .with("if-match", "*")
                .content("application/trickle-ice-sdpfrag", "nothing"),
            400,
        ),
    ];
    for (i, (request, status)) in table.into_iter().enumerate() {
        let shown = format!("case {i}: {:?} {}", request.method, request.target);
        let conn = b.request(request);
        let r = b.answer(conn);
        assert_eq!(r.status, status, "{shown}");
        assert_eq!(r.headers.get("access-control-allow-origin"), Some("*"), "{shown}");
        assert_eq!(r.headers.get("allow").is_some(), status == 405 || status == 200, "{shown}");
    }
    assert_eq!((b.set_ups().len(), b.front.held()), (0, 1), "nothing else was touched");
}

#[test]
fn a_token_of_another_route_is_forbidden() {
    let mut b = Bench::new();
    let text = SETTINGS.replace("(kind whip) (class play)", "(kind whip) (class play) (bearer \"w\")");
    let config = Rc::new(read_config(&text, "s").expect("sound"));
    b.front = Front::new(config, [1; 32], START).expect("sound");
    let request = Request::new(Method::Post, "/whip/x").content("application/sdp", publish_text(1));
    let conn = b.request(request.with("authorization", "Bearer t1"));
    assert_eq!(b.answer(conn).status, 403);
}

#[test]
fn a_lost_answer_leads_to_another_box_and_is_closed_first() {
    let mut b = Bench::new();
    let conn = b.post("/whep/demo", offer_text(1));
    let first = b.set_ups()[0];
    let lost_at = b.calls[&first].0;
    b.pass(SECOND);
    assert!(b.aborted.contains(&first), "given up");
    assert_eq!(b.set_ups(), vec![first], "the next waits until it is closed");
    b.close(first);
    let second = b.set_ups()[0];
    assert_ne!(b.calls[&second].0, lost_at);
    b.take(second);
    assert_eq!(b.answer(conn).status, 201);
}

#[test]
fn an_answer_that_comes_while_it_is_given_up_is_withdrawn() {
    let mut b = Bench::new();
    let conn = b.post("/whep/demo", offer_text(1));
    let first = b.set_ups()[0];
    b.pass(SECOND);
    b.take(first);
    let withdrawn = b.find(|r| r.method == Method::Delete && r.path() == "/s/1");
    assert_eq!(withdrawn.len(), 1, "the orphan is withdrawn");
    let second = b.set_ups()[0];
    b.take(second);
    assert_eq!(b.answer(conn).status, 201);
}

#[test]
fn an_answer_after_the_last_attempt_is_withdrawn() {
    let mut b = Bench::new();
    let conn = b.post("/paid/demo", offer_text(1));
    let call = b.set_ups()[0];
    b.pass(4 * SECOND);
    assert_eq!(b.answer(conn).status, 504);
    assert!(b.now - START <= 4 * SECOND);
    b.take(call);
    assert_eq!(b.find(|r| r.method == Method::Delete && r.path() == "/s/1").len(), 1);
    assert_eq!(b.set_ups().len(), 0, "a paid session is set up once");
    // Failing that, its connection is closed after a while.
    let conn = b.post("/paid/demo", offer_text(2));
    let call = b.set_ups()[0];
    b.pass(10 * SECOND);
    assert!(b.aborted.contains(&call) && b.answer(conn).status == 504);
}

#[test]
fn a_viewer_that_leaves_before_its_answer_leaves_nothing_behind() {
    let mut b = Bench::new();
    let conn = b.post("/whep/demo", offer_text(1));
    b.feed(Input::Gone { conn });
    let call = b.set_ups()[0];
    b.take(call);
    assert!(!b.answered(conn));
    assert_eq!(b.find(|r| r.method == Method::Delete && r.path() == "/s/1").len(), 1);
    assert_eq!(b.front.held(), 0);
}

#[test]
fn a_drain_after_the_offer_sends_what_follows_elsewhere() {
    let mut b = Bench::new();
    b.post("/whep/demo", offer_text(1));
    let first = b.set_ups()[0];
    let drained = b.calls[&first].0;
    b.pass(100 * MS);
    let state =
        |id| if 9000 + id as u16 == drained.port() { ServerState::Draining } else { ServerState::Ready };
    b.list((1..=4).map(|id| row(id, state(id))).collect());
    b.pass(SECOND);
    b.close(first);
    for n in 2..20 {
        b.post("/whep/demo", offer_text(n));
    }
    assert!(b.set_ups().iter().all(|c| b.calls[c].0 != drained), "nothing new reaches it");
    // Drained while the attempt before it closes: what was decided is not sent.
    let mut b = Bench::new();
    b.post("/whep/demo", offer_text(1));
    let first = b.set_ups()[0];
    b.pass(SECOND);
    b.list((1..=4).map(|id| row(id, ServerState::Draining)).collect());
    b.close(first);
    assert_eq!(b.set_ups().len(), 0);
}

#[test]
fn a_floor_is_in_force_before_the_answer() {
    let mut b = Bench::new();
    let conn = b.post("/paid/demo", offer_text(1));
    let call = b.set_ups()[0];
    b.take(call);
    assert!(!b.answered(conn), "its rung comes first");
    let layer = b.find(|r| r.path().ends_with("/layer"));
    b.reply(layer[0], Ok(Response::new(200)));
    assert_eq!(b.answer(conn).status, 201);
    // Where the rung cannot be set, the session is taken back and fails: it may have run.
    let conn = b.post("/paid/demo", offer_text(2));
    let call = b.set_ups()[0];
    b.take(call);
    let layer = b.find(|r| r.path() == "/s/2/layer");
    b.reply(layer[0], Ok(Response::new(500)));
    assert_eq!(b.answer(conn).status, 502);
    assert_eq!(b.find(|r| r.method == Method::Delete && r.path() == "/s/2").len(), 1);
}

#[test]
fn patches_go_one_at_a_time_and_race_a_delete() {
    let mut b = Bench::new();
    let resource = b.play(1);
    let conns: Vec<ConnId> = (0..4).map(|_| b.request(patch(&resource, "\"ice-1\""))).collect();
    assert_eq!(b.answer(conns[3]).status, 429, "one at the box, two wait, the fourth is too many");
    let at_box = b.find(|r| r.method == Method::Patch);
    assert_eq!(at_box.len(), 1);
    let fresh = "a=ice-ufrag:boxu2\r\na=ice-pwd:P2uYro0UCOQ4zxjKXaWCBui1\r\n";
    let restarted =
        Response::new(200).with("etag", "\"ice-2\"").content("application/trickle-ice-sdpfrag", fresh);
    b.reply(at_box[0], Ok(restarted));
    assert_eq!((b.answer(conns[0]).status, b.answer(conns[0]).headers.get("etag")), (200, Some("\"ice-2\"")));
    assert_eq!(b.answer(conns[1]).status, 412, "its tag is of the time before the restart");
    assert_eq!(b.answer(conns[2]).status, 412);
    let late = b.request(patch(&resource, "\"ice-2\""));
    let waits = b.request(patch(&resource, "\"ice-2\""));
    let end = b.request(Request::new(Method::Delete, &resource));
    assert_eq!((b.answer(end).status, b.answer(waits).status), (200, 404));
    let at_box = b.find(|r| r.method == Method::Patch);
    b.reply(at_box[0], Ok(Response::new(204)));
    assert_eq!(b.answer(late).status, 404, "the session had ended");
    assert_eq!(b.front.owed(), 0);
}

#[test]
fn bad_answers_of_boxes() {
    let refused = |r: Response| -> (Result<Response, CallError>, u16) { (Ok(r), 502) };
    let fault = micadyke_http::Fault { status: 413, what: "the content is too large" };
    let table: Vec<(Result<Response, CallError>, u16)> = vec![
        refused(Response::new(201)),
        refused(Response::new(201).with("location", "/s/9").content("application/sdp", "no answer")),
        refused(
            Response::new(201).with("location", "http://evil.example/s/9").content("application/sdp", "x"),
        ),
        refused(Response::new(200)),
        refused(Response::new(500)),
        (Ok(Response::new(422)), 422),
        (Err(CallError::Reset), 502),
        (Err(CallError::Malformed(fault)), 502),
    ];
    for (result, status) in table {
        let mut b = Bench::new();
        let conn = b.post("/paid/demo", offer_text(1));
        let call = b.set_ups()[0];
        let shown = format!("{result:?}");
        b.reply(call, result);
        assert_eq!(b.answer(conn).status, status, "{shown}");
        assert_eq!((b.set_ups().len(), b.front.held()), (0, 0));
    }
    // Turned away unseen: another box is asked, and the viewer refused when none has room.
    let mut b = Bench::new();
    let conn = b.post("/paid/demo", offer_text(1));
    while let Some(call) = b.set_ups().first().copied() {
        b.reply(call, Ok(Response::new(503)));
    }
    let r = b.answer(conn);
    assert_eq!((r.status, r.headers.get("retry-after")), (503, Some("1")));
}

#[test]
fn what_is_published_plays_at_its_box_and_ends_with_it() {
    let mut b = Bench::new();
    let publisher = b.post("/whip/live", publish_text(1));
    let early = b.post("/whep/live", offer_text(2));
    let second = b.post("/whip/live", publish_text(3));
    assert_eq!((b.answer(early).status, b.answer(second).status), (404, 409));
    let call = b.set_ups()[0];
    let at = b.calls[&call].0;
    b.take(call);
    let resource = b.answer(publisher).headers.get("location").expect("a resource").to_owned();
    b.post("/whep/live", offer_text(4));
    let call = b.set_ups()[0];
    assert_eq!(b.calls[&call].0, at, "it plays where it was published");
    b.take(call);
    b.request(Request::new(Method::Delete, &resource));
    let late = b.post("/whep/live", offer_text(5));
    assert_eq!(b.answer(late).status, 404);
}

#[test]
fn a_session_ends_with_its_box() {
    for (cut, reply) in [
        (true, Err(CallError::NoConnection)),
        (true, Ok(Response::new(404))),
        (false, Ok(Response::new(410))),
    ] {
        let mut b = Bench::new();
        let resource = b.play(1);
        let events = b.find(|r| r.path().ends_with("/events"));
        b.reply(events[0], Ok(Response::new(201).with("location", "/s/1/events/1")));
        let stream = *b.streams.keys().next().expect("a stream");
        b.feed(Input::StreamEnded { stream, cut });
        b.pass(MS);
        let events = b.find(|r| r.path().ends_with("/events"));
        b.reply(events[0], reply);
        assert_eq!(b.front.held(), 0);
        let end = b.request(Request::new(Method::Delete, &resource));
        assert_eq!(b.answer(end).status, 200, "an end that comes too late is no error");
    }
}

#[test]
fn a_stopping_front_takes_nothing_new_and_answers_what_it_owes() {
    let mut b = Bench::new();
    let owed = b.post("/whep/demo", offer_text(1));
    b.feed(Input::Stop);
    let late = b.post("/whep/demo", offer_text(2));
    assert_eq!((b.answer(late).status, b.answer(late).keep_alive), (503, false));
    assert_eq!(b.front.owed(), 1);
    let call = b.set_ups()[0];
    b.take(call);
    assert_eq!((b.answer(owed).status, b.front.owed()), (201, 0));
}

#[test]
fn the_bound_on_sessions_refuses_and_touches_nothing_else() {
    let mut b = Bench::new();
    let conns: Vec<ConnId> = (0..45).map(|n| b.post("/whep/demo", offer_text(n))).collect();
    assert!(conns[40..].iter().all(|c| b.answer(*c).status == 503));
    assert!(conns[..40].iter().all(|c| !b.answered(*c)));
}

#[test]
fn what_lay_unread_is_answered_by_the_viewers_clock() {
    let mut b = Bench::new();
    b.conns += 1;
    let conn = ConnId(b.conns);
    let request = Request::new(Method::Post, "/whep/demo").content("application/sdp", offer_text(1));
    let peer = b.peer;
    b.feed(Input::Request { conn, request, peer, waited: 3 * SECOND });
    for _ in 0..10 {
        b.pass(100 * MS);
        if let Some(call) = b.aborted.first().copied() {
            b.close(call);
        }
    }
    assert!(b.answered(conn), "a second of its patience was left");
}

#[test]
#[should_panic(expected = "two attempts of a session are out")]
fn the_check_of_overlap_sees_a_front_that_is_broken() {
    let mut b = Bench::new();
    b.front.break_overlap();
    b.post("/whep/demo", offer_text(1));
    b.pass(SECOND);
}

/// The settings with seats for paid sessions by an issuer.
fn seated(extra: &str) -> Bench {
    seated_with(extra, "", None)
}

fn seated_with(extra: &str, bound: &str, key: Option<SharedKey>) -> Bench {
    seated_by(SETTINGS, extra, bound, key)
}

fn seated_by(settings: &str, extra: &str, bound: &str, key: Option<SharedKey>) -> Bench {
    let mut b = Bench::new();
    let text = settings.replace("(seats 3))", &format!("(tokens {extra}))"))
        + "(issuer (address \"127.0.0.1:9900\") (state \"x\") (wait 500ms) (stop 2s) (retry 100ms) (keep 1s) "
        + bound
        + ")";
    let config = Rc::new(read_config(&text, "s").unwrap_or_else(|e| panic!("{e:?}")));
    b.front = Front::new(config, [7; 32], START).expect("sound");
    let mut out = Vec::new();
    b.front.with_seats(State::default(), key, 1, &mut out);
    assert!(
        matches!(&out[..], [Output::Record(Record::Epoch(1))]),
        "its epoch is written, and nothing asked"
    );
    b.list((1..=4).map(|id| row(id, ServerState::Ready)).collect());
    b
}

impl Bench {
    /// Answers the message that is at the issuer.
    fn issue(&mut self, verdict: Verdict) {
        let call = *self.find(|r| r.path() == "/seats").first().expect("a message to the issuer");
        let request: SeatRequest = serde_json::from_slice(&self.calls[&call].1.body).expect("a message");
        let n = request.ops.len() + request.resume.len();
        let reply =
            Reply { epoch: request.epoch, seq: request.seq, ttl: 20 * SECOND, result: Ok(vec![verdict; n]) };
        self.reply(
            call,
            Ok(Response::new(200).content("application/json", serde_json::to_vec(&reply).expect("JSON"))),
        );
    }

    fn issuer_calls(&self) -> usize {
        self.find(|r| r.path() == "/seats").len()
    }

    fn start_paid(&mut self, n: u64) -> (ConnId, String) {
        let conn = self.post("/paid/demo", offer_text(n));
        if self.issuer_calls() > 0 {
            self.issue(Verdict::Held);
        }
        let call = self.set_ups()[0];
        self.take(call);
        let layer = self.find(|r| r.path().ends_with("/layer"));
        layer.into_iter().for_each(|l| self.reply(l, Ok(Response::new(200))));
        let location = self.answer(conn).headers.get("location").expect("it plays").to_owned();
        (conn, location)
    }
}

#[test]
fn a_class_without_tokens_asks_nothing() {
    let mut b = bounded("");
    b.play(1);
    b.pass(10 * SECOND);
    assert_eq!((b.issuer_calls(), b.leases().len()), (0, 0));
}

fn secret() -> SharedKey {
    SharedKey::new("k", &[1; 32]).expect("a secret")
}

/// The settings with seats whose boxes end sessions by themselves.
fn bounded(extra: &str) -> Bench {
    seated_with(extra, "(bound (key \"k\" (file \"f\")))", Some(secret()))
}

impl Bench {
    /// Calls at boxes about the time that sessions may last.
    fn leases(&self) -> Vec<CallId> {
        self.find(|r| r.path() == "/leases")
    }

    /// Answers such a call as a box whose clock says `seconds`.
    fn told(&mut self, call: CallId, seconds: f64, gone: &[&str]) {
        let told =
            Told { instance: "i".into(), now: seconds, gone: gone.iter().map(|g| (*g).into()).collect() };
        let body = serde_json::to_vec(&told).expect("JSON");
        self.reply(call, Ok(Response::new(200).content("application/json", body)));
    }

    /// A paid session that plays at a box whose clock is 1,000 s behind the bench's; its set-up's token.
    fn start_bounded(&mut self, n: u64) -> (String, String) {
        let conn = self.post("/paid/demo", offer_text(n));
        if self.issuer_calls() > 0 {
            self.issue(Verdict::Held);
        }
        for call in self.leases() {
            let now = self.now as f64 / 1e9 - 1_000.0;
            self.told(call, now, &[]);
        }
        let call = self.set_ups()[0];
        let token = self.calls[&call].1.headers.get("authorization").expect("a token").to_owned();
        self.take(call);
        let layer = self.find(|r| r.path().ends_with("/layer"));
        layer.into_iter().for_each(|l| self.reply(l, Ok(Response::new(200))));
        let location = self.answer(conn).headers.get("location").expect("it plays").to_owned();
        (location, token)
    }
}

/// Until when a box whose clock is 1,000 s behind admits a token, by the bench's clock.
fn ends(token: &str) -> Nanos {
    let guard = Guard::new("i", vec![secret()]);
    let token = token.strip_prefix("Bearer ").expect("a bearer token");
    guard.admit(0, token, "demo").expect("it holds") * MS + 1_000 * SECOND
}

#[test]
fn a_set_up_on_a_seat_carries_the_seats_end_by_its_boxs_clock() {
    let mut b = bounded("");
    let conn = b.post("/paid/demo", offer_text(1));
    b.issue(Verdict::Held);
    assert_eq!((b.leases().len(), b.set_ups().len()), (1, 0), "the box's clock comes first");
    // Nobody is reached there: it never ran, and another box is asked.
    let call = b.leases()[0];
    b.reply(call, Err(CallError::NoConnection));
    assert_eq!((b.leases().len(), b.set_ups().len()), (1, 0));
    let (call, now) = (b.leases()[0], b.now as f64 / 1e9 - 1_000.0);
    b.told(call, now, &[]);
    let call = b.set_ups()[0];
    let token = b.calls[&call].1.headers.get("authorization").expect("a token").to_owned();
    // ttl 20 s, stop 2 s, drift 0.1%: no later than the front lets go of it by itself.
    let end = ends(&token) - b.now;
    assert!((17_800 * MS..=17_960 * MS).contains(&end), "{} ms", end / MS);
    // A box that turns the token away has not run it.
    b.reply(call, Ok(Response::new(401)));
    assert!(!b.answered(conn));
    assert_eq!(b.leases().len() + b.set_ups().len(), 1, "another box is asked");
}

#[test]
fn a_front_stopped_between_grant_and_set_up_sends_none_on_a_seat_that_is_over() {
    for (stood, sent) in [(2 * SECOND, true), (19 * SECOND, false)] {
        let mut b = bounded("");
        let conn = b.post("/paid/demo", offer_text(1));
        b.issue(Verdict::Held);
        // It stands still; the box's answer is the first that it reads.
        b.now += stood;
        let (call, now) = (b.leases()[0], b.now as f64 / 1e9 - 1_000.0);
        b.told(call, now, &[]);
        assert_eq!(b.set_ups().len(), usize::from(sent), "after {} s", stood / SECOND);
        b.pass(5 * SECOND);
        let made = b.set_ups();
        made.into_iter().for_each(|c| b.reply(c, Err(CallError::Reset)));
        assert!(b.answered(conn) || sent, "one answer in any case");
    }
}

#[test]
fn what_overdue_timers_do_first_after_a_long_stop() {
    let mut b = bounded("(lost end)");
    b.start_bounded(1);
    // A minute: the lease is over. Whatever comes first, the seat is let go of before it is acted on.
    b.now += 60 * SECOND;
    let conn = b.post("/paid/demo", offer_text(2));
    let ended = b.find(|r| r.method == Method::Delete && r.path() == "/s/1").len();
    assert_eq!((ended, b.front.held()), (1, 1), "the old session has ended, the new one waits for a seat");
    assert!(b.set_ups().is_empty() && !b.answered(conn) && b.issuer_calls() > 0);
}

#[test]
fn renewals_of_the_lease_reach_the_box_and_a_session_that_it_lost_ends() {
    let mut b = bounded("");
    let (_, token) = b.start_bounded(1);
    let first = ends(&token);
    let mut told = 0;
    for _ in 0..400 {
        b.pass(100 * MS);
        if b.issuer_calls() > 0 {
            b.issue(Verdict::Held);
        }
        for call in b.leases() {
            told += 1;
            let now = b.now as f64 / 1e9 - 1_000.0;
            let gone: &[&str] = if b.now > first + 10 * SECOND { &["/s/1"] } else { &[] };
            b.told(call, now, gone);
        }
    }
    assert!(b.now > first + 15 * SECOND && (1..=4).contains(&told), "{told} messages");
    assert_eq!(b.front.held(), 0, "its box said that it is over");
}

#[test]
fn a_box_that_forgot_a_session_between_its_set_up_and_its_rung_leaves_no_answer_owed() {
    for layer in [Ok(Response::new(404)), Err(CallError::Reset)] {
        let mut b = bounded("");
        b.list(vec![row(1, ServerState::Ready)]);
        b.start_bounded(1);
        while b.leases().is_empty() {
            b.pass(100 * MS);
            if b.issuer_calls() > 0 {
                b.issue(Verdict::Held);
            }
        }
        // A renewal is at the box; another session is set up there, and waits for its floor to be in force.
        let conn = b.post("/paid/demo", offer_text(2));
        if b.issuer_calls() > 0 {
            b.issue(Verdict::Held);
        }
        let call = b.set_ups()[0];
        b.take(call);
        let rung = b.find(|r| r.path() == "/s/2/layer")[0];
        // The box was started anew in between: it knows neither.
        let told = Told { instance: "j".into(), now: 5.0, gone: Vec::new() };
        let body = serde_json::to_vec(&told).expect("JSON");
        let lease = b.leases()[0];
        b.reply(lease, Ok(Response::new(200).content("application/json", body)));
        assert_eq!((b.answered(conn), b.front.held()), (false, 1), "the playing one is over, the other owed");
        b.reply(rung, layer);
        b.pass(5 * SECOND);
        let status = b.answer(conn).status;
        assert!((500..600).contains(&status), "{status}");
        assert_eq!(b.front.held(), 0);
    }
}

#[test]
fn a_seat_whose_end_no_box_confirms_is_free_when_its_token_is_over() {
    let mut b = bounded("");
    let (location, token) = b.start_bounded(1);
    let end = b.request(Request::new(Method::Delete, &*location).with("authorization", "Bearer t1"));
    assert_eq!(b.answer(end).status, 200);
    let first = ends(&token);
    while b.now < first + 4 * SECOND {
        b.pass(100 * MS);
        // Its box is out of reach; the issuer is not.
        for call in b.find(|r| r.method == Method::Delete) {
            b.reply(call, Err(CallError::NoConnection));
        }
        let given_back =
            b.find(|r| r.path() == "/seats" && String::from_utf8_lossy(&r.body).contains("release"));
        assert!(given_back.is_empty() || b.now >= first, "{} ms early", (first - b.now) / MS);
        if b.issuer_calls() > 0 {
            b.issue(Verdict::Held);
        }
        if !given_back.is_empty() {
            return;
        }
    }
    panic!("it is never given back");
}

#[test]
fn a_seat_comes_before_the_set_up_and_goes_after_the_end() {
    let mut b = seated("");
    let conn = b.post("/paid/demo", offer_text(1));
    assert_eq!((b.set_ups().len(), b.issuer_calls()), (0, 1), "first the seat");
    b.issue(Verdict::Full);
    assert_eq!((b.answer(conn).status, b.answer(conn).headers.get("retry-after")), (503, Some("1")));
    let (_, location) = b.start_paid(2);
    let end = b.request(Request::new(Method::Delete, &*location).with("authorization", "Bearer t1"));
    assert_eq!(b.answer(end).status, 200);
    // The next session may have the seat only when the box has confirmed the end.
    b.post("/paid/demo", offer_text(3));
    assert_eq!(b.issuer_calls(), 1, "a seat of its own is asked for");
    b.issue(Verdict::Full);
    let delete = b.find(|r| r.method == Method::Delete);
    b.reply(delete[0], Ok(Response::new(200)));
    b.post("/paid/demo", offer_text(4));
    assert_eq!((b.issuer_calls(), b.set_ups().len()), (0, 1), "the seat that was kept is used");
}

#[test]
fn the_end_of_an_attempt_that_was_given_up_leaves_the_seat_to_the_one_that_plays() {
    let again = SETTINGS.replace("(effect at-most-once) (floor 1)", "(effect idempotent)");
    let mut b = seated_by(&again, "", "", None);
    let conn = b.post("/paid/demo", offer_text(1));
    b.issue(Verdict::Held);
    let first = b.set_ups()[0];
    b.pass(SECOND);
    // Its answer comes while it is given up: it is withdrawn, and another attempt plays.
    b.take(first);
    let second = b.set_ups()[0];
    b.take(second);
    assert_eq!(b.answer(conn).status, 201);
    let withdrawn = b.find(|r| r.method == Method::Delete);
    b.reply(withdrawn[0], Ok(Response::new(200)));
    b.post("/paid/demo", offer_text(2));
    assert_eq!((b.issuer_calls(), b.set_ups().len()), (1, 0), "its seat is not free: another is asked for");
}

#[test]
fn without_its_epoch_written_a_front_asks_for_no_seat() {
    let mut b = seated("");
    b.front.not_recorded(&Record::Gone(micadyke_tokens::message::LeaseId(1)));
    assert!(!b.front.seats_broken(), "a lease's record may be lost");
    b.front.not_recorded(&Record::Epoch(1));
    let conn = b.post("/paid/demo", offer_text(1));
    assert_eq!((b.answer(conn).status, b.issuer_calls(), b.set_ups().len()), (503, 0, 0));
    // A play that is refused within the same turn is answered all the same.
    let request = Request::new(Method::Get, "/show/demo/index.m3u8").with("authorization", "Bearer t1");
    let conn = b.request(request);
    assert_eq!((b.answer(conn).status, b.front.plays(), b.front.owed()), (503, 0, 0));
    b.play(2);
}

#[test]
fn an_issuer_out_of_reach_is_met_as_the_class_says() {
    let mut b = seated("(unreachable refuse)");
    let conn = b.post("/paid/demo", offer_text(1));
    b.pass(SECOND);
    assert_eq!(b.answer(conn).status, 503);
    assert_eq!(b.set_ups().len(), 0);
    assert!(b.issuer_calls() > 1, "whether it was taken is not known: it is sent again, unchanged");
    let bodies: BTreeSet<Vec<u8>> =
        b.calls.values().filter(|c| c.1.path() == "/seats").map(|c| c.1.body.clone()).collect();
    assert_eq!(bodies.len(), 1);

    // One that leaves while it waits leaves nothing behind.
    let mut b = seated("");
    let conn = b.post("/paid/demo", offer_text(1));
    b.feed(Input::Gone { conn });
    assert_eq!(b.front.held(), 0);
    b.issue(Verdict::Held);
    let given_back = b.find(|r| r.path() == "/seats");
    let message: SeatRequest = serde_json::from_slice(&b.calls[&given_back[0]].1.body).expect("a message");
    assert!(matches!(message.ops[..], [Op::Release(_)]), "{message:?}");
    assert_eq!((b.set_ups().len(), b.answered(conn)), (0, false));
}

#[test]
fn a_session_whose_seat_is_lost_ends_or_plays_on_as_the_class_says() {
    for (how, ends) in [("(lost end)", true), ("(lost play-on)", false)] {
        let mut b = seated(how);
        b.start_paid(1);
        // Renewals are not answered; its time by the front's own clock runs out.
        b.pass(17 * SECOND);
        assert_eq!(b.front.held(), 1, "{how}: not yet");
        b.pass(2 * SECOND);
        let ended = !b.find(|r| r.method == Method::Delete && r.path() == "/s/1").is_empty();
        assert_eq!((ended, b.front.held() == 0), (ends, ends), "{how}");
    }
}

/// One step of a random history.
#[derive(Debug, Clone)]
enum Step {
    Post(u8, u8),
    Gone(u8),
    Reply(u8, u8),
    Close(u8),
    Pass(u16),
    List(u8),
    Delete(u8),
    Patch(u8),
    Stream(u8, bool),
    Event(u8, u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u8..3, any::<u8>()).prop_map(|(r, t)| Step::Post(r, t)),
        1 => any::<u8>().prop_map(Step::Gone),
        6 => (any::<u8>(), 0u8..10).prop_map(|(c, h)| Step::Reply(c, h)),
        2 => any::<u8>().prop_map(Step::Close),
        4 => (0u16..1500).prop_map(Step::Pass),
        1 => any::<u8>().prop_map(Step::List),
        2 => any::<u8>().prop_map(Step::Delete),
        1 => any::<u8>().prop_map(Step::Patch),
        1 => (any::<u8>(), any::<bool>()).prop_map(|(s, c)| Step::Stream(s, c)),
        1 => (any::<u8>(), any::<u8>()).prop_map(|(s, v)| Step::Event(s, v)),
    ]
}

impl Bench {
    fn resources(&self) -> Vec<String> {
        let mut all: Vec<(ConnId, String)> = Vec::new();
        for (conn, rs) in &self.answers {
            all.extend(rs.iter().filter_map(|r| Some((*conn, r.headers.get("location")?.to_owned()))));
        }
        all.sort();
        all.into_iter().map(|(_, l)| l).collect()
    }

    fn pick<T: Clone>(all: &[T], n: u8) -> Option<T> {
        (!all.is_empty()).then(|| all[n as usize % all.len()].clone())
    }

    fn step(&mut self, step: Step, waiting: &mut BTreeSet<ConnId>) {
        match step {
            Step::Post(route, t) => {
                let n = self.conns + 1;
                let conn = match route {
                    0 => self.post("/whep/demo", offer_text(n)),
                    1 => self.post("/paid/demo", offer_text(n)),
                    _ => self.post(&format!("/whip/live{}", t % 3), publish_text(n)),
                };
                waiting.insert(conn);
            }
            Step::Gone(n) => {
                let open: Vec<ConnId> = waiting.iter().filter(|c| !self.answered(**c)).copied().collect();
                if let Some(conn) = Self::pick(&open, n) {
                    waiting.remove(&conn);
                    self.feed(Input::Gone { conn });
                    assert!(!self.answered(conn), "no answer to who is gone");
                }
            }
            Step::Reply(n, how) => {
                let open: Vec<CallId> = self.calls.keys().copied().collect();
                let Some(call) = Self::pick(&open, n) else { return };
                let set_up = is_set_up(&self.calls[&call].1);
                let result = match how {
                    0..=4 if set_up => Ok(self.created(call)),
                    0..=4 if self.calls[&call].1.path().ends_with("/events") => {
                        Ok(Response::new(201).with("location", "/s/1/events/1"))
                    }
                    0..=4 if self.calls[&call].1.method == Method::Patch => Ok(Response::new(204)),
                    0..=4 => Ok(Response::new(200)),
                    5 => Ok(Response::new(503)),
                    6 => Ok(Response::new(404)),
                    7 => Err(CallError::Reset),
                    8 => Err(CallError::NoConnection),
                    _ => Ok(Response::new(201).with("location", "/s/77").content("application/sdp", "bad")),
                };
                self.reply(call, result);
            }
            Step::Close(n) => {
                let open: Vec<CallId> =
                    self.aborted.iter().filter(|c| self.calls.contains_key(c)).copied().collect();
                if let Some(call) = Self::pick(&open, n) {
                    self.close(call);
                }
            }
            Step::Pass(ms) => self.pass(u64::from(ms) * MS),
            Step::List(bits) => {
                let state = |id: u32| match bits >> (2 * (id - 1)) & 3 {
                    0 => ServerState::Draining,
                    1 => ServerState::Gone,
                    _ => ServerState::Ready,
                };
                self.list((1..=4).map(|id| row(id, state(id))).collect());
            }
            Step::Delete(n) => {
                if let Some(path) = Self::pick(&self.resources(), n) {
                    let conn =
                        self.request(Request::new(Method::Delete, path).with("authorization", "Bearer t1"));
                    assert_eq!(self.answer(conn).status, 200);
                }
            }
            Step::Patch(n) => {
                if let Some(path) = Self::pick(&self.resources(), n) {
                    let conn = self.request(patch(&path, "\"ice-1\"").with("authorization", "Bearer t1"));
                    waiting.insert(conn);
                }
            }
            Step::Stream(n, cut) => {
                let open: Vec<StreamId> = self.streams.keys().copied().collect();
                if let Some(stream) = Self::pick(&open, n) {
                    self.streams.remove(&stream);
                    self.feed(Input::StreamEnded { stream, cut });
                }
            }
            Step::Event(n, v) => {
                let open: Vec<StreamId> = self.streams.keys().copied().collect();
                let Some(stream) = Self::pick(&open, n) else { return };
                let event = if v % 2 == 0 {
                    let data = format!(
                        "TEXT application_utilization={}, utilization.uplink=0.5",
                        f64::from(v) / 100.0
                    );
                    sse::Event { kind: "endpoint-load-metrics".into(), data, ..Default::default() }
                } else {
                    let data = format!(
                        "{{\"1\":{{\"active\":[{{\"encodingId\":\"{}\",\"bitrate\":{v},\"targetBitrate\":255}}]}}}}",
                        v % 4
                    );
                    sse::Event { kind: "layers".into(), data, ..Default::default() }
                };
                self.feed(Input::Event { stream, event });
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn any_history_ends_with_one_answer_each_and_nothing_left_behind(steps in prop::collection::vec(step(), 1..120)) {
        let (mut b, mut waiting) = (Bench::new(), BTreeSet::new());
        for s in steps {
            b.step(s, &mut waiting);
        }
        // Then all goes well: boxes are silent and closing takes no time; time passes.
        for _ in 0..400 {
            b.pass(200 * MS);
            if let Some(call) = b.aborted.iter().find(|c| b.calls.contains_key(c)).copied() {
                b.close(call);
            }
            let others = b.find(|r| !is_set_up(r));
            if let Some(call) = others.first().copied() {
                b.reply(call, Ok(Response::new(404)));
            }
        }
        for conn in &waiting {
            prop_assert_eq!(b.answers.get(conn).map_or(0, Vec::len), 1, "{:?} has not one answer", conn);
        }
        prop_assert_eq!(b.front.owed(), 0);
        for path in b.resources() {
            b.request(Request::new(Method::Delete, path).with("authorization", "Bearer t1"));
        }
        for _ in 0..200 {
            b.pass(200 * MS);
            let open = b.find(|_| true);
            if let Some(call) = open.first().copied() {
                if b.aborted.contains(&call) { b.close(call) } else { b.reply(call, Ok(Response::new(404))) }
            }
        }
        prop_assert_eq!((b.front.held(), b.front.unsettled(), b.calls.len()), (0, 0, 0));
    }
}

#[test]
fn the_module_hears_the_part_of_cold_budgets_that_is_this_fronts() {
    use micadyke::interface::{Action, Event, Nanos};
    use std::cell::RefCell;
    struct Ear(Rc<RefCell<Vec<Event>>>);
    impl micadyke::module::Decide for Ear {
        fn handle(&mut self, _: Nanos, event: Event, _: &mut Vec<Action>) {
            self.0.borrow_mut().push(event);
        }
    }
    let heard = Rc::new(RefCell::new(Vec::new()));
    let config = Rc::new(micadyke_config::read_config(SETTINGS, "s").expect("sound"));
    let mut front = micadyke_front::Front::with_module(config, Box::new(Ear(heard.clone())), [7; 32], START);
    let part = Input::Part { always: 0.1, leased: 0.2, span: 5 };
    front.handle(START + 100, part, &mut Vec::new());
    assert_eq!(
        heard.borrow()[..],
        [Event::ColdBudgetShare { guaranteed: 0.1, leased: 0.2, lease_ends_at: START + 105 }]
    );
}

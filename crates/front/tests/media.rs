//! Plays over HTTP: the core alone, in made-up time.

mod bench;

use bench::{Bench, MS, SECOND, is_play, offer_text, row};
use micadyke::interface::ServerState;
use micadyke_cmcd::{Cmcd, Cmsd};
use micadyke_front::{CallId, ConnId, Input};
use micadyke_http::client::CallError;
use micadyke_http::{Method, Request, Response};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::net::IpAddr;

const VARIANTS: &str = "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=800000\n0/index.m3u8\n\
    #EXT-X-STREAM-INF:BANDWIDTH=2400000\n1/index.m3u8\n#EXT-X-STREAM-INF:BANDWIDTH=7200000\n2/index.m3u8\n";
const SEGMENTS: &str =
    "#EXTM3U\n#EXT-X-TARGETDURATION:4\n#EXT-X-MAP:URI=\"init.mp4\"\n#EXTINF:4,\n1.m4s\n#EXT-X-ENDLIST\n";
const MPD: &str = "<MPD type=\"static\"><Period><AdaptationSet mimeType=\"video/mp4\"><Representation id=\"0\" bandwidth=\"800000\"/>\
    <Representation id=\"2\" bandwidth=\"7200000\"/></AdaptationSet></Period></MPD>";

fn get(path: &str, told: &str) -> Request {
    let told = Cmcd::parse(told);
    assert_eq!(told.ignored, 0);
    let request = Request::new(Method::Get, path).with("authorization", "Bearer t1");
    told.fields().into_iter().fold(request, |r, (n, v)| r.with(n, v))
}

fn report(path: &str, told: &str) -> Request {
    let request = Request::new(Method::Post, path).content("application/cmcd", told);
    request.with("authorization", "Bearer t1")
}

fn list(text: &str) -> Result<Response, CallError> {
    let kind = if text.starts_with('<') { "application/dash+xml" } else { "application/vnd.apple.mpegurl" };
    Ok(Response::new(200)
        .content(kind, text)
        .with("endpoint-load-metrics", "TEXT application_utilization=0.4")
        .with("cmsd-dynamic", "\"box\";etp=9000"))
}

/// Ends of plays that boxes are told of: number, id.
fn reported(b: &Bench) -> Vec<(CallId, u64, String)> {
    let ends = b.find(|r| r.method == Method::Post && r.path() == "/cmcd");
    let read = |c: CallId| {
        let told = Cmcd::reports(&b.calls[&c].1.body).remove(0);
        assert_eq!((told.text("sta"), told.text("e")), (Some("e"), Some("ps")));
        (c, told.integer("sn").expect("a number"), told.text("sid").expect("an id").to_owned())
    };
    ends.into_iter().map(read).collect()
}

fn number(b: &Bench, call: CallId) -> u64 {
    Cmcd::of(&b.calls[&call].1.headers, "").integer("sn").expect("a number")
}

/// The play that a manifest's text leads to, `/session/<name>/`.
fn base(r: &Response) -> String {
    let text = String::from_utf8_lossy(&r.body).into_owned();
    let at = text.find("/session/").expect("it leads back to the front");
    text[at..at + 42].to_owned()
}

/// A play of a title by HLS; where its references lead.
fn play(b: &mut Bench, path: &str, told: &str) -> String {
    let conn = b.request(get(path, told));
    let call = b.set_ups()[0];
    b.reply(call, list(VARIANTS));
    base(b.answer(conn))
}

fn only(b: &Bench, fits: impl Fn(&Request) -> bool) -> CallId {
    let all = b.find(fits);
    assert_eq!(all.len(), 1);
    all[0]
}

#[test]
fn a_play_from_its_manifest_to_its_end() {
    let mut b = Bench::new();
    let conn = b.request(get("/watch/demo/index.m3u8", "sid=\"s1\",mtp=2500,v=2"));
    let call = b.set_ups()[0];
    let asked = b.calls[&call].1.clone();
    let told = Cmcd::of(&asked.headers, "");
    assert_eq!(
        (asked.path(), told.text("sid"), told.text("cid")),
        ("/media/demo/index.m3u8", Some("s1"), Some("demo"))
    );
    assert_eq!(asked.headers.get("via"), Some("1.1 f"));
    b.reply(call, list(VARIANTS));
    let r = b.answer(conn).clone();
    let text = String::from_utf8_lossy(&r.body).into_owned();
    assert_eq!((r.status, r.headers.get("cache-control")), (200, Some("no-store")));
    assert!(!text.contains("7200000"), "its viewer cannot use that:\n{text}");
    let told = Cmsd::of(&r.headers);
    let hops: Vec<&str> = told.hops.iter().map(|h| &*h.name).collect();
    assert!(hops[0] == "box" && hops[1].starts_with("box-") && hops[2..] == ["f"], "{hops:?}");
    assert!(told.max_bitrate().is_some_and(|m| m == 800 || m == 2400));
    let base = base(&r);
    // Further manifests come from its box, without a set-up; segments are asked there.
    let conn = b.request(get(&format!("{base}0/index.m3u8?x=1&CMCD=su"), ""));
    let call = only(&b, |r| r.target == "/media/demo/0/index.m3u8?x=1" && !is_play(r));
    b.reply(call, list(SEGMENTS));
    let text = String::from_utf8_lossy(&b.answer(conn).body).into_owned();
    assert!(
        text.contains(&format!("URI=\"{base}0/init.mp4\"")) && text.contains(&format!("\n{base}0/1.m4s\n")),
        "{text}"
    );
    let conn = b.request(get(&format!("{base}0/1.m4s"), "bl=2000,br=800,ot=v"));
    let r = b.answer(conn);
    let to = r.headers.get("location").expect("a place");
    assert!(
        r.status == 307 && to.starts_with("http://127.0.0.1:900") && to.contains("/media/demo/0/1.m4s?CMCD="),
        "{to}"
    );
    assert_eq!(Cmcd::of(&Default::default(), to).text("sid"), Some("s1"));
    assert!(Cmsd::of(&r.headers).max_bitrate().is_some());
    assert_eq!((b.front.held(), b.front.plays()), (1, 1));
    let end = b.request(report(base.trim_end_matches('/'), "e=ps,sta=e,sid=\"s1\""));
    assert_eq!(b.answer(end).status, 204);
    assert_eq!((b.front.held(), b.front.plays(), reported(&b).len()), (0, 0, 1));
    let conn = b.request(get(&format!("{base}0/1.m4s"), ""));
    assert_eq!(b.answer(conn).status, 410);
    // Its id may be used again: another play begins.
    let conn = b.request(get("/watch/demo/index.m3u8", "sid=\"s1\""));
    let call = b.set_ups()[0];
    assert!(number(&b, call) > reported(&b)[0].1, "the report of the old one's end does not end it");
    b.reply(call, list(VARIANTS));
    assert_ne!(self::base(b.answer(conn)), base);
}

#[test]
fn manifests_of_dash_and_what_the_class_allows() {
    let mut b = Bench::new();
    let conn = b.request(get("/show/demo/a.mpd", "sid=\"d\""));
    let call = b.set_ups()[0];
    b.reply(call, list(MPD));
    let r = b.answer(conn);
    let text = String::from_utf8_lossy(&r.body).into_owned();
    assert_eq!(r.media_type().as_deref(), Some("application/dash+xml"));
    assert!(
        text.contains("<BaseURL>/session/") && text.contains("7200000") && !text.contains("\"800000\""),
        "floor 1: {text}"
    );
    let all = play(&mut b, "/all/demo/x.m3u8", "tb=2400");
    assert!(!all.is_empty());
    let shown = b.answers.values().flatten().map(|r| String::from_utf8_lossy(&r.body).into_owned());
    assert!(
        shown.into_iter().any(|t| t.contains("=2400000") && !t.contains("7200000")),
        "all that it can use"
    );
    // Where manifests are not rewritten, the player goes to the box with its first request.
    let conn = b.request(get("/go/demo/x.m3u8", "sid=\"g\""));
    let call = b.set_ups()[0];
    b.reply(call, list(VARIANTS));
    let r = b.answer(conn);
    assert_eq!(r.status, 307);
    assert!(r.headers.get("location").is_some_and(|l| l.contains("/media/demo/x.m3u8?CMCD=")));
    // Reports by its id keep it alive, and end it.
    for _ in 0..5 {
        b.pass(8 * SECOND);
        let conn = b.request(report("/go/demo", "e=t,sid=\"g\",bl=900"));
        assert_eq!(b.answer(conn).status, 204);
    }
    let before = b.front.plays();
    b.request(report("/go/demo", "e=ps,sta=q,sid=\"g\""));
    assert_eq!(b.front.plays(), before - 1);
}

#[test]
fn a_route_that_ignores_hints_hears_ids_and_ends_alone() {
    let mut b = Bench::new();
    let play = |b: &mut Bench, told: &str| {
        let conn = b.request(get("/mute/demo/x.m3u8", told));
        let call = b.set_ups()[0];
        b.reply(call, list(VARIANTS));
        String::from_utf8_lossy(&b.answer(conn).body).into_owned()
    };
    assert!(play(&mut b, "tb=800,sid=\"a\"").contains("7200000"), "what it can use is not heard");
    b.request(report("/mute/demo", "sid=\"a\",sta=e"));
    assert_eq!(b.front.plays(), 0);
}

#[test]
fn what_is_turned_away_touches_nothing() {
    let mut b = Bench::new();
    let base = play(&mut b, "/watch/demo/index.m3u8", "sid=\"s\"");
    let m = |method, path: &str| Request::new(method, path).with("authorization", "Bearer t1");
    let table = [
        (m(Method::Get, "/watch/none/index.m3u8"), 404),
        (m(Method::Get, "/watch/demo/1.m4s"), 404),
        (m(Method::Get, "/watch/demo"), 400),
        (m(Method::Get, "/watch/demo/../x.m3u8"), 400),
        (m(Method::Get, "/watch/demo/%2e%2E/x.m3u8"), 400),
        (m(Method::Get, "/watch/demo/a%2fx.m3u8"), 400),
        (m(Method::Get, "/watch/demo/a//x.m3u8"), 400),
        (m(Method::Get, &format!("/watch/demo/{}.m3u8", "x".repeat(1_100))), 400),
        (m(Method::Put, "/watch/demo/x.m3u8"), 405),
        (m(Method::Delete, "/watch/demo/x.m3u8"), 405),
        (m(Method::Options, "/watch/demo/x.m3u8"), 200),
        (m(Method::Options, base.trim_end_matches('/')), 200),
        (m(Method::Patch, base.trim_end_matches('/')), 405),
        (m(Method::Post, &format!("{base}0/1.m4s")), 405),
        (m(Method::Get, &format!("{base}../1.m4s")), 400),
        (m(Method::Get, &base), 400),
        (m(Method::Get, "/session/00000000000000000000000000000000/0/1.m4s"), 404),
        (m(Method::Get, "/session/0000/0/1.m4s"), 404),
        (m(Method::Post, "/watch/demo").content("application/json", "{}"), 415),
        (report("/watch/demo", "br=\""), 400),
        (report("/watch/demo", "sid=\"nobody\",sta=e"), 204),
        (Request::new(Method::Get, "/show/demo/x.m3u8"), 401),
        (Request::new(Method::Get, "/show/demo/x.m3u8").with("authorization", "Bearer t9"), 401),
    ];
    for (i, (request, status)) in table.into_iter().enumerate() {
        let shown = format!("case {i}: {:?} {}", request.method, request.target);
        let conn = b.request(request);
        let r = b.answer(conn);
        assert_eq!(r.status, status, "{shown}");
        assert_eq!(r.headers.get("allow").is_some(), status == 405 || status == 200, "{shown}");
    }
    assert_eq!((b.set_ups().len(), b.front.held(), b.front.plays()), (0, 1, 1));
    // Hints that say nothing sound are as if they were not there.
    for told in ["br=\"", "sid=5,bl=-1", "sid=\"\""] {
        let request = m(Method::Get, "/watch/demo/x.m3u8")
            .with("cmcd-session", told)
            .with("cmcd-session", "cid=\"demo\"");
        b.request(request);
    }
    assert_eq!(b.set_ups().len(), 3, "each is a play of its own");
}

#[test]
fn one_set_up_for_all_that_ask_with_one_id() {
    let mut b = Bench::new();
    let asks: Vec<ConnId> = (0..3).map(|_| b.request(get("/watch/demo/index.m3u8", "sid=\"s\""))).collect();
    let other = b.request(get("/watch/demo/other.m3u8", "sid=\"s\""));
    assert_eq!(b.set_ups().len(), 1);
    // The first leaves; the others still wait for it.
    b.feed(Input::Gone { conn: asks[0] });
    let call = b.set_ups()[0];
    b.reply(call, list(VARIANTS));
    assert_eq!((b.answer(asks[1]).status, b.answer(asks[2]).status, b.answered(asks[0])), (200, 200, false));
    assert_eq!(base(b.answer(asks[1])), base(b.answer(asks[2])));
    let call = only(&b, |r| r.path() == "/media/demo/other.m3u8");
    b.reply(call, list(VARIANTS));
    assert_eq!(b.answer(other).status, 200);
    // A request that was answered already is asked again: no further set-up.
    let again = b.request(get("/watch/demo/index.m3u8", "sid=\"s\""));
    assert_eq!(b.set_ups().len(), 0);
    b.feed(Input::Gone { conn: again });
    let call = only(&b, |r| r.path() == "/media/demo/index.m3u8");
    b.reply(call, list(VARIANTS));
    assert!(!b.answered(again) && b.front.held() == 1);
    // More than a few wait no longer.
    let mut b = Bench::new();
    let asks: Vec<ConnId> = (0..12).map(|_| b.request(get("/watch/demo/index.m3u8", "sid=\"s\""))).collect();
    let turned = asks.iter().filter(|c| b.answered(**c)).count();
    assert_eq!((turned, b.answer(asks[11]).status), (4, 429));
    // All are refused alike, and nothing is left.
    for _ in 0..3 {
        let Some(call) = b.set_ups().first().copied() else { break };
        b.reply(call, Ok(Response::new(503)));
    }
    assert_eq!(asks[..8].iter().map(|c| b.answer(*c).status).collect::<BTreeSet<_>>(), BTreeSet::from([503]));
    assert_eq!((b.front.held(), b.front.plays(), b.front.owed()), (0, 0, 0));
}

#[test]
fn who_leaves_and_comes_back_while_its_set_up_is_out() {
    let mut b = Bench::new();
    let first = b.request(get("/watch/demo/index.m3u8", "sid=\"s\""));
    b.feed(Input::Gone { conn: first });
    let call = b.set_ups()[0];
    let old = number(&b, call);
    // Its set-up goes on for nobody; a second one must wait until that is over.
    let second = b.request(get("/watch/demo/index.m3u8", "sid=\"s\""));
    assert_eq!(b.set_ups(), [call]);
    b.reply(call, list(VARIANTS));
    assert_eq!(reported(&b).iter().map(|r| r.1).collect::<Vec<_>>(), [old], "the first is taken back");
    let call = b.set_ups()[0];
    assert!(number(&b, call) > old);
    b.reply(call, list(VARIANTS));
    assert_eq!((b.answer(second).status, b.answered(first)), (200, false));
    // One that comes and leaves as well leaves nothing behind.
    let mut b = Bench::new();
    for _ in 0..2 {
        let conn = b.request(get("/watch/demo/index.m3u8", "sid=\"s\""));
        b.feed(Input::Gone { conn });
    }
    let call = b.set_ups()[0];
    b.reply(call, list(VARIANTS));
    assert_eq!((b.front.held(), b.front.plays(), b.set_ups().len(), reported(&b).len()), (0, 0, 0, 1));
}

#[test]
fn attempts_that_may_have_run_are_ended_at_their_box() {
    let mut b = Bench::new();
    let conn = b.request(get("/watch/demo/index.m3u8", "sid=\"s\""));
    let first = b.set_ups()[0];
    let (at, old) = (b.calls[&first].0, number(&b, first));
    b.pass(SECOND);
    assert!(b.aborted.contains(&first) && b.set_ups() == [first], "given up, and not closed yet");
    b.close(first);
    let ends = reported(&b);
    assert_eq!((ends.len(), ends[0].1, b.calls[&ends[0].0].0), (1, old, at), "its answer was not read");
    let second = b.set_ups()[0];
    assert_ne!(b.calls[&second].0, at);
    b.reply(second, Err(CallError::Reset));
    assert_eq!(reported(&b).len(), 2);
    let third = b.set_ups()[0];
    // A list that names itself is no answer; neither is one that is none.
    b.reply(third, list("#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1\nindex.m3u8\n"));
    b.pass(5 * SECOND);
    assert!(matches!(b.answer(conn).status, 502 | 503));
    assert!(reported(&b).len() >= 3 && b.front.held() == 0 && b.front.plays() == 0);
    // Turned away: it never ran.
    let mut b = Bench::new();
    b.request(get("/watch/demo/index.m3u8", "sid=\"s\""));
    let call = b.set_ups()[0];
    b.reply(call, Ok(Response::new(503)));
    assert_eq!(reported(&b).len(), 0);
}

#[test]
fn plays_whose_box_went_are_placed_anew_where_that_does_no_harm() {
    let mut b = Bench::new();
    let base = play(&mut b, "/watch/demo/index.m3u8", "sid=\"s\"");
    let paid = play(&mut b, "/show/demo/index.m3u8", "sid=\"p\"");
    let at = b.request(get(&format!("{base}0/1.m4s"), ""));
    let to = b.answer(at).headers.get("location").expect("a place").to_owned();
    let id: u32 = to["http://127.0.0.1:".len()..][..4].parse::<u32>().expect("a port") - 9000;
    let rows = |state| (1..=4).map(|n| row(n, if n == id { state } else { ServerState::Ready })).collect();
    // Draining: what plays goes on there.
    b.list(rows(ServerState::Draining));
    let conn = b.request(get(&format!("{base}0/2.m4s"), ""));
    assert!(b.answer(conn).headers.get("location").is_some_and(|l| l[..24] == to[..24]));
    b.list(rows(ServerState::Gone));
    let conn = b.request(get(&format!("{base}0/3.m4s"), ""));
    let call = b.set_ups()[0];
    assert_ne!(b.calls[&call].0.port(), 9000 + id as u16);
    assert!(b.calls[&call].1.path() == "/media/demo/index.m3u8" && !b.answered(conn));
    b.reply(call, list(VARIANTS));
    let r = b.answer(conn);
    assert!(r.status == 307 && r.headers.get("location").is_some_and(|l| l.contains("/0/3.m4s?")));
    // A box that knows it no more says so by its manifest.
    let conn = b.request(get(&format!("{base}1/index.m3u8"), ""));
    let call = only(&b, |r| r.path() == "/media/demo/1/index.m3u8");
    b.reply(call, Ok(Response::new(410)));
    let call = b.set_ups()[0];
    b.reply(call, list(VARIANTS));
    let call = only(&b, |r| r.path() == "/media/demo/1/index.m3u8");
    b.reply(call, list(SEGMENTS));
    assert_eq!(b.answer(conn).status, 200);
    // Never again where it must not be set up twice.
    b.list((1..=4).map(|n| row(n, ServerState::Gone)).collect());
    let conn = b.request(get(&format!("{paid}0/1.m4s"), ""));
    assert_eq!((b.answer(conn).status, b.set_ups().len()), (410, 0));
}

#[test]
fn no_play_outlasts_its_silence_and_one_that_asks_does() {
    let mut b = Bench::new();
    let base = play(&mut b, "/watch/demo/index.m3u8", "sid=\"s\"");
    for _ in 0..10 {
        b.pass(9 * SECOND);
        let conn = b.request(get(&format!("{base}0/1.m4s"), "bl=900"));
        assert_eq!(b.answer(conn).status, 307);
    }
    b.pass(9_900 * MS);
    assert_eq!(b.front.plays(), 1);
    b.pass(200 * MS);
    assert_eq!((b.front.plays(), b.front.held(), reported(&b).len()), (0, 0, 1));
}

#[test]
fn an_id_told_from_two_addresses_is_one_play_and_the_later_has_it() {
    let mut b = Bench::new();
    let first = play(&mut b, "/watch/demo/index.m3u8", "sid=\"s\"");
    b.peer = IpAddr::from([192, 0, 2, 7]);
    let conn = b.request(get("/watch/demo/index.m3u8", "sid=\"s\""));
    assert_eq!(b.set_ups().len(), 0, "one play, one place");
    let call = only(&b, |r| r.path() == "/media/demo/index.m3u8");
    b.reply(call, list(VARIANTS));
    let second = base(b.answer(conn));
    let (a, c) =
        (b.request(get(&format!("{first}0/1.m4s"), "")), b.request(get(&format!("{second}0/1.m4s"), "")));
    assert_eq!((b.answer(a).status, b.answer(c).status, b.front.plays()), (404, 307, 1));
    b.pass(11 * SECOND);
    assert_eq!((b.front.plays(), b.front.held()), (0, 0), "its silence counts under the new name too");
}

#[test]
fn both_protocols_want_the_last_free_stream() {
    for media_first in [true, false] {
        let mut b = Bench::new();
        b.list(vec![row(1, ServerState::Ready)]);
        let ask = |b: &mut Bench, media: bool, n: u64| {
            if media {
                b.request(get("/watch/demo/index.m3u8", &format!("sid=\"s{n}\"")))
            } else {
                b.post("/whep/demo", offer_text(n))
            }
        };
        // The box has one place left, by its own word.
        let asks = [ask(&mut b, media_first, 1), ask(&mut b, !media_first, 2)];
        let mut room = 1;
        for _ in 0..8 {
            let Some(call) = b.set_ups().first().copied() else { break };
            if room == 0 {
                b.reply(call, Ok(Response::new(503)));
            } else if is_play(&b.calls[&call].1) {
                b.reply(call, list(VARIANTS));
                room -= 1;
            } else {
                b.take(call);
                room -= 1;
            }
        }
        b.pass(5 * SECOND);
        let mut codes = asks.map(|c| b.answer(c).status);
        codes.sort_unstable();
        assert!(codes[0] < 300 && codes[1] == 503, "{codes:?}");
        assert_eq!(b.front.held(), 1);
    }
}

#[test]
fn questions_are_told_of_alike_over_both_protocols() {
    let mut b = Bench::new();
    b.front.record_questions();
    b.request(get("/watch/demo/index.m3u8", "tb=2400"));
    let limited = offer_text(2).replace("m=video", "b=AS:9\r\nm=video");
    b.post("/whep/demo", limited);
    b.request(get("/watch/none/index.m3u8", ""));
    let told: Vec<_> = b.taken.iter().map(|t| (&*t.title, t.class, t.ceiling, t.patience / MS)).collect();
    assert_eq!(told[0], ("demo", 0, 2_400, 3_900));
    assert_eq!((told.len(), told[1].1, told[1].3), (2, 0, 3_900));
}

#[derive(Debug, Clone)]
enum Step {
    Ask(u8, u8),
    Part(u8, u8),
    Report(u8, u8),
    Gone(u8),
    Reply(u8, u8),
    Close(u8),
    Pass(u16),
    List(u8),
    Move,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u8..6, 0u8..4).prop_map(|(s, r)| Step::Ask(s, r)),
        4 => (any::<u8>(), 0u8..4).prop_map(|(n, f)| Step::Part(n, f)),
        1 => (0u8..6, 0u8..4).prop_map(|(s, h)| Step::Report(s, h)),
        1 => any::<u8>().prop_map(Step::Gone),
        6 => (any::<u8>(), 0u8..9).prop_map(|(c, h)| Step::Reply(c, h)),
        2 => any::<u8>().prop_map(Step::Close),
        3 => (0u16..4_000).prop_map(Step::Pass),
        1 => any::<u8>().prop_map(Step::List),
        1 => Just(Step::Move),
    ]
}

fn take(b: &mut Bench, step: Step, waiting: &mut BTreeSet<ConnId>) {
    let pick = |n: u8, of: usize| (of > 0).then(|| n as usize % of.max(1));
    match step {
        Step::Ask(sid, route) => {
            let route = ["/watch/", "/show/", "/go/", "/all/"][route as usize];
            let told = if sid == 0 { String::new() } else { format!("sid=\"s{sid}\"") };
            waiting.insert(b.request(get(&format!("{route}demo/index.m3u8"), &told)));
        }
        Step::Part(n, file) => {
            let bases: BTreeSet<String> = b
                .answers
                .values()
                .flatten()
                .filter(|r| r.status == 200 && String::from_utf8_lossy(&r.body).contains("/session/"))
                .map(base)
                .collect();
            let bases: Vec<String> = bases.into_iter().collect();
            if let Some(i) = pick(n, bases.len()) {
                let file = ["0/1.m4s", "1/2.m4s", "0/index.m3u8", "index.m3u8"][file as usize];
                waiting.insert(b.request(get(&format!("{}{file}", bases[i]), "bl=900,ot=v,br=800")));
            }
        }
        Step::Report(sid, how) => {
            let told =
                ["e=t,bl=5", "e=ps,sta=e", "e=ps,sta=r,bs,br=800,mtp=100,ot=v", "e=ps,sta=q"][how as usize];
            waiting.insert(b.request(report("/watch/demo", &format!("{told},sid=\"s{sid}\""))));
        }
        Step::Gone(n) => {
            let open: Vec<ConnId> = waiting.iter().filter(|c| !b.answered(**c)).copied().collect();
            if let Some(i) = pick(n, open.len()) {
                waiting.remove(&open[i]);
                b.feed(Input::Gone { conn: open[i] });
                assert!(!b.answered(open[i]), "no answer to who is gone");
            }
        }
        Step::Reply(n, how) => {
            let open: Vec<CallId> = b.calls.keys().copied().collect();
            if let Some(i) = pick(n, open.len()) {
                let segments = b.calls[&open[i]].1.path().contains("/0/");
                let result = match how {
                    0..=4 => list(if segments { SEGMENTS } else { VARIANTS }),
                    5 => Ok(Response::new(503)),
                    6 => Ok(Response::new(410)),
                    7 => Err(CallError::Reset),
                    _ => Err(CallError::NoConnection),
                };
                b.reply(open[i], result);
            }
        }
        Step::Close(n) => {
            let open: Vec<CallId> = b.aborted.iter().filter(|c| b.calls.contains_key(c)).copied().collect();
            if let Some(i) = pick(n, open.len()) {
                b.close(open[i]);
            }
        }
        Step::Pass(ms) => b.pass(u64::from(ms) * MS),
        Step::List(bits) => {
            let state = |id: u32| match bits >> (2 * (id - 1)) & 3 {
                0 => ServerState::Draining,
                1 => ServerState::Gone,
                _ => ServerState::Ready,
            };
            b.list((1..=4).map(|id| row(id, state(id))).collect());
        }
        Step::Move => {
            b.peer = if b.peer == IpAddr::from([127, 0, 0, 1]) {
                [192, 0, 2, 7].into()
            } else {
                [127, 0, 0, 1].into()
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn any_history_of_plays_ends_with_one_answer_each_and_nothing_left_behind(steps in prop::collection::vec(step(), 1..120)) {
        let mut b = Bench::new();
        let mut waiting = BTreeSet::new();
        for s in steps {
            take(&mut b, s, &mut waiting);
        }
        // All calls come to their end, and nobody asks any more.
        for _ in 0..400 {
            match b.calls.keys().next().copied() {
                Some(call) if b.aborted.contains(&call) => b.close(call),
                Some(call) => b.reply(call, Ok(Response::new(404))),
                None if b.front.plays() + b.front.held() == 0 => break,
                None => b.pass(5 * SECOND),
            }
        }
        for conn in waiting {
            prop_assert_eq!(b.answers.get(&conn).map_or(0, Vec::len), 1, "one answer each");
        }
        prop_assert_eq!((b.front.owed(), b.front.held(), b.front.plays(), b.front.unsettled()), (0, 0, 0, 0));
    }
}

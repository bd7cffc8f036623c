//! The client alone: the retry rule by the shared table, the state machine by any history, requests and answers.

use micadyke_client::asking::{Answer, Asking, Input, Output};
use micadyke_client::net::Client;
use micadyke_client::retry::Rule;
use micadyke_client::whep::{self, Session};
use micadyke_client::{Outcome, Question};
use micadyke_http::Response;
use proptest::prelude::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[test]
fn the_rule_by_the_table_that_both_clients_share() {
    let text = include_str!("../../../fixtures/client/retry.json");
    let table: serde_json::Value = serde_json::from_str(text).expect("JSON");
    let rule: Rule = serde_json::from_value(table["rule"].clone()).expect("a rule");
    assert_eq!(rule, Rule::default());
    let cases = table["cases"].as_array().expect("cases");
    assert!(cases.len() > 10);
    for c in cases {
        let ended: Outcome = serde_json::from_value(c["ended"].clone()).expect("an outcome");
        let (tries, left) =
            (c["tries"].as_u64().expect("tries") as u32, c["left_ms"].as_u64().expect("left"));
        let wait = rule.again(&ended, c["repeatable"] == true, tries, left);
        assert_eq!(wait, c["wait_ms"].as_u64(), "{c}");
    }
}

fn question() -> Question {
    Question {
        title: "t".into(),
        class: "c".into(),
        ceiling: Some(2_000),
        patience_ms: 2_500,
        repeatable: false,
    }
}

#[test]
fn requests_and_answers() {
    let offer = "v=0\r\nm=audio 9 x 1\r\nb=TIAS:64000\r\nm=video 9 x 2\r\na=mid:1\r\nb=TIAS:9000000\r\n";
    let r = whep::ask(&question(), "/whep/", offer, Some("tok"));
    assert_eq!(
        (r.path(), r.headers.get("prefer"), r.headers.get("authorization")),
        ("/whep/t", Some("wait=2"), Some("Bearer tok"))
    );
    let text = String::from_utf8(r.body).expect("text");
    assert!(
        text.contains("b=TIAS:64000")
            && text.contains("m=video 9 x 2\r\nb=TIAS:2000000\r\n")
            && !text.contains("9000000"),
        "{text}"
    );
    assert_eq!(whep::limited(&text, Some(5_000)), text, "a lower one stays");
    assert_eq!(whep::limited(offer, None), offer);
    let plays = Response::new(201)
        .with("location", "/session/1")
        .with("accept-post", "application/sdp")
        .with("cmsd-dynamic", "\"box-3\", \"front\";mb=2640")
        .content("application/sdp", "v=0\r\n");
    let Answer::Plays { session, at, rung } = whep::read(&plays) else { panic!("it plays") };
    assert_eq!((&*session.resource, &*at, rung, session.takes.len()), ("/session/1", "box-3", 2640, 1));
    let old = Response::new(201).with("location", "/s").content("application/sdp", "v=0");
    assert!(
        matches!(whep::read(&old), Answer::Plays { at, rung: 0, .. } if at.is_empty()),
        "a front of before says neither"
    );
    let refused = |r: Response| match whep::read(&r) {
        Answer::No(outcome) => outcome,
        Answer::Plays { .. } => panic!("it does not play"),
    };
    assert_eq!(
        refused(Response::new(503).with("retry-after", "3")),
        Outcome::Refused { come_back_ms: Some(3_000) }
    );
    assert_eq!(
        refused(Response::new(503).with("retry-after", "soon")),
        Outcome::Refused { come_back_ms: None }
    );
    assert_eq!(refused(Response::new(404)), Outcome::Failed { status: 404 });
    for bad in
        [Response::new(201), Response::new(201).with("location", "http://x/").content("application/sdp", "v")]
    {
        assert_eq!(refused(bad), Outcome::Failed { status: 0 });
    }
    assert_eq!(whep::trickle(&session, "a=x", None), None, "it takes no candidates");
}

#[derive(Debug, Clone)]
enum Step {
    Plays,
    No(u8),
    Broke(bool),
    Closed,
    Pass(u16),
    Cancel,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Plays),
        (0u8..4).prop_map(Step::No),
        any::<bool>().prop_map(Step::Broke),
        Just(Step::Closed),
        (0u16..4_000).prop_map(Step::Pass),
        Just(Step::Cancel),
    ]
}

proptest! {
    #[test]
    fn any_history_has_one_attempt_out_one_outcome_and_no_session_lost(
        steps in prop::collection::vec(step(), 0..40), repeatable in any::<bool>(), stay in 0u64..20_000,
    ) {
        let (mut now, mut out) = (0u64, Vec::new());
        let mut asking = Asking::begin(Rule::default(), repeatable, 2_500, stay, now, &mut out);
        let (mut sent, mut is_out, mut closing, mut done, mut made, mut kept) = (0u32, false, false, 0, 0u32, 0u32);
        let mut advice = 0u64;
        let take = |out: &mut Vec<Output<u32>>, now: u64, is_out: &mut bool, closing: &mut bool, sent: &mut u32, done: &mut u32, kept: &mut u32, advice: u64| {
            for o in out.drain(..) {
                match o {
                    Output::Send => {
                        assert!(!*is_out && *done == 0, "no second attempt while one is out");
                        assert!(now >= advice, "advice is obeyed");
                        (*is_out, *closing) = (true, false);
                        *sent += 1;
                    }
                    Output::Abort => *closing = true,
                    Output::Wake(_) => {}
                    Output::GiveBack(_) => *kept += 1,
                    Output::Done(outcome, session) => {
                        *done += 1;
                        assert_eq!(session.is_some(), matches!(outcome, Outcome::Plays { .. }));
                        *kept += u32::from(session.is_some());
                    }
                }
            }
        };
        take(&mut out, now, &mut is_out, &mut closing, &mut sent, &mut done, &mut kept, advice);
        let end = [Step::Pass(9_000), Step::Closed, Step::Broke(true), Step::Cancel, Step::Closed];
        for s in steps.into_iter().chain(end) {
            let input = match s {
                Step::Plays if is_out => {
                    made += 1;
                    is_out = false;
                    Input::Answer(Answer::Plays { session: made, at: String::new(), rung: 0 })
                }
                Step::No(n) if is_out => {
                    let come_back_ms = [None, Some(0), Some(1_000), Some(3_000)][n as usize];
                    if !closing {
                        advice = now + come_back_ms.unwrap_or(0);
                    }
                    is_out = false;
                    Input::Answer(Answer::No(Outcome::Refused { come_back_ms }))
                }
                Step::Broke(sent) if is_out => {
                    is_out = false;
                    Input::Broke { sent }
                }
                Step::Closed if closing && is_out => {
                    is_out = false;
                    Input::Closed
                }
                Step::Pass(ms) => {
                    now += u64::from(ms);
                    Input::Due
                }
                Step::Cancel => Input::Cancel,
                _ => continue,
            };
            asking.handle(now, input, &mut out);
            take(&mut out, now, &mut is_out, &mut closing, &mut sent, &mut done, &mut kept, advice);
        }
        prop_assert_eq!((done, kept), (1, made), "one outcome, every session used or given back");
        prop_assert!(asking.is_over() && sent == asking.tries() && sent <= 4);
    }
}

/// A front that says these answers, one to each connection; the requests that it read.
async fn front(
    answers: Vec<Option<&'static str>>,
) -> (std::net::SocketAddr, tokio::task::JoinHandle<Vec<String>>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let task = tokio::spawn(async move {
        let mut read = Vec::new();
        for answer in answers {
            let (mut stream, _) = listener.accept().await.expect("a client");
            let mut text = String::new();
            let mut buffer = [0; 4096];
            let n = stream.read(&mut buffer).await.unwrap_or(0);
            text.push_str(&String::from_utf8_lossy(&buffer[..n]));
            read.push(text);
            match answer {
                Some(answer) => drop(stream.write_all(answer.as_bytes()).await),
                // It never answers; the client closes.
                None => while stream.read(&mut buffer).await.is_ok_and(|n| n > 0) {},
            }
        }
        read
    });
    (addr, task)
}

const PLAYS: &str = "HTTP/1.1 201 Created\r\nlocation: /session/7\r\ncontent-type: application/sdp\r\ncontent-length: 3\r\n\r\nv=0";

#[tokio::test]
async fn over_sockets() {
    let busy = "HTTP/1.1 503 Service Unavailable\r\nretry-after: 0\r\ncontent-length: 0\r\n\r\n";
    let ended = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let (addr, task) = front(vec![Some(busy), Some(PLAYS), Some(ended)]).await;
    let client = Client::new(addr).route("c", "/whep");
    let (outcome, session) =
        client.ask(&question(), "v=0\r\nm=video 9 x 1\r\n", std::future::pending()).await;
    assert!(matches!(outcome, Outcome::Plays { .. }));
    assert_eq!(client.end(&session.expect("a session")).await, Some(200));
    let read = task.await.expect("it ran");
    let lines: Vec<&str> = read.iter().filter_map(|r| r.lines().next()).collect();
    assert_eq!(lines, ["POST /whep/t HTTP/1.1", "POST /whep/t HTTP/1.1", "DELETE /session/7 HTTP/1.1"]);

    // Not answered: not asked again where that may do harm, asked again where not, one after the other.
    let short = Question { patience_ms: 100, ..question() };
    let (addr, task) = front(vec![None]).await;
    let client = Client::new(addr).route("c", "/whep");
    assert_eq!(client.ask(&short, "v=0\r\n", std::future::pending()).await.0, Outcome::NotKnown);
    assert_eq!(task.await.expect("it ran").len(), 1);
    let (addr, task) = front(vec![None, Some(PLAYS)]).await;
    let client = Client::new(addr).route("c", "/whep");
    let harmless = Question { repeatable: true, ..short.clone() };
    assert!(matches!(
        client.ask(&harmless, "v=0\r\n", std::future::pending()).await.0,
        Outcome::Plays { .. }
    ));
    assert_eq!(task.await.expect("it ran").len(), 2);

    // Taken back; a class without a route; no front.
    let (addr, _task) = front(vec![None]).await;
    let client = Client::new(addr).route("c", "/whep");
    let soon = tokio::time::sleep(Duration::from_millis(20));
    assert_eq!(client.ask(&question(), "v=0\r\n", soon).await.0, Outcome::Cancelled);
    let other = Question { class: "x".into(), ..question() };
    assert_eq!(client.ask(&other, "", std::future::pending()).await.0, Outcome::Failed { status: 404 });
    let closed = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let client = Client { stay: Duration::ZERO, ..Client::new(closed).route("c", "/whep") };
    assert_eq!(
        client.ask(&question(), "v=0\r\n", std::future::pending()).await,
        (Outcome::NotSent, None::<Session>)
    );
}

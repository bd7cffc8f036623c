//! Hard cases that need real sockets: what peers send that they should not, boxes that answer wrongly, bounds.

use micadyke_config::{BoxRow, Config, read_config};
use micadyke_front::Front;
use micadyke_front::list::Fixed;
use micadyke_front::shell::{Extras, serve};
use micadyke_http::{Method, Request};
use micadyke_standin::media_box::{Fleet, Habits};
use micadyke_standin::model::World;
use micadyke_standin::offers::offer;
use micadyke_standin::player::{self, Player, Teller};
use micadyke_standin::record::Record;
use micadyke_standin::viewer::{Client, Outcome, Session, Wish, ask, end};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

const SETTINGS: &str = r#"
(front (name "f") (listen "127.0.0.1:0"))
(ladder (rung (rate 100kB/s) (worth 0.3)) (rung (rate 300kB/s) (worth 1)))
(class play (aim 800ms) (patience 3s) (effect idempotent))
(class paid (aim 800ms) (patience 1500ms) (effect at-most-once))
(kind box (streams 50))
(fleet (cells 2) (racks 1) (link-per-weight 50MB/s) (note-delay 100ms) (note-period 1s))
(attempts (most 3))
(come-back (most 2s))
(bounds (connections 20) (read 400ms) (idle 700ms))
(route "/whep/" (kind whep) (class play))
(route "/paid/" (kind whep) (class paid))
(route "/watch/" (kind media) (class play) (silence 1s))
(title demo (from-cell 0) (cells 2))
"#;

struct Hall {
    addr: SocketAddr,
    fleet: Fleet,
    record: Rc<Record>,
    stop: Option<oneshot::Sender<()>>,
    serving: JoinHandle<()>,
}

fn wish(n: u64, path: &str) -> Wish {
    Wish {
        path: path.into(),
        offer: offer(false, n, n, None),
        patience: Duration::from_secs(4),
        bearer: None,
    }
}

impl Hall {
    async fn new() -> Self {
        let config: Rc<Config> = Rc::new(read_config(SETTINGS, "s").unwrap_or_else(|e| panic!("{e:?}")));
        let mut rows = BoxRow::on_loopback(2);
        let world = World::of(&config, &rows, 60_000_000_000);
        let record = Record::new();
        let fleet = Fleet::new(world, Habits::default(), record.clone(), 5);
        fleet.open_all(&mut rows).await.expect("boxes");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let addr = listener.local_addr().expect("an address");
        let (stop, stopped) = oneshot::channel::<()>();
        let made = config.clone();
        let serving = spawn_local(async move {
            let front = move |now| Front::new(made, [3; 32], now).expect("sound");
            let stop = async { drop(stopped.await) };
            serve(listener, front, config, Box::new(Fixed(Some(rows))), Extras::default(), stop).await;
        });
        Hall { addr, fleet, record, stop: Some(stop), serving }
    }

    async fn ask(&self, n: u64, path: &str) -> Outcome {
        ask(0, self.addr, &wish(n, path), &self.record).await.0
    }

    async fn plays(&self, n: u64) -> Session {
        match self.ask(n, "/whep/demo").await {
            Outcome::Plays(session) => session,
            other => panic!("{other:?}"),
        }
    }

    fn held(&self) -> usize {
        self.fleet.world(|w| w.boxes.values().map(|b| b.held.len()).sum())
    }

    async fn settle(&self, held: usize) {
        let until = Instant::now() + Duration::from_secs(8);
        while self.held() != held {
            assert!(Instant::now() < until, "{} sessions at the boxes, {held} are due", self.held());
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends bytes and reads until the front closes: all it said.
    async fn raw(&self, parts: &[&[u8]], pause: Duration) -> String {
        let mut stream = TcpStream::connect(self.addr).await.expect("a connection");
        for part in parts {
            if stream.write_all(part).await.is_err() {
                break;
            }
            sleep(pause).await;
        }
        let mut said = Vec::new();
        let _ = timeout(Duration::from_secs(5), stream.read_to_end(&mut said)).await.expect("it closes");
        String::from_utf8_lossy(&said).into_owned()
    }
}

fn local<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn malformed_requests_are_refused_and_closed_and_touch_no_other_session() {
    local(async {
        let hall = Hall::new().await;
        let session = hall.plays(1).await;
        let long = "x".repeat(1 << 20);
        let head = "POST /whep/demo HTTP/1.1\r\nhost: h\r\ncontent-type: application/sdp\r\n";
        let table = [
            (format!("{head}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\nabc"), "400"),
            (format!("{head}content-length: 3\r\ncontent-length: 4\r\n\r\nabc"), "400"),
            (format!("{head}x: y\n\r\n"), "400"),
            (format!("{head}x: y\r\n folded\r\n\r\n"), "400"),
            (format!("{head}host: other\r\n\r\n"), "400"),
            (format!("{head}x: {long}\r\n\r\n"), "431"),
            (format!("POST /{long} HTTP/1.1\r\n\r\n"), "414"),
            (format!("{head}content-length: 99999999\r\n\r\n"), "413"),
            ("\u{16}\u{3}\u{1}\u{2}\u{0}\u{1}\r\n\r\n".to_owned(), "400"),
        ];
        for (text, status) in &table {
            let said = hall.raw(&[text.as_bytes()], Duration::ZERO).await;
            let shown = &text[..text.len().min(90)];
            assert!(said.starts_with(&format!("HTTP/1.1 {status} ")), "{shown:?}: {said:?}");
            assert!(said.contains("connection: close"), "{shown:?}");
            assert_eq!(said.matches("HTTP/1.1").count(), 1, "one answer");
        }
        assert_eq!(hall.held(), 1, "the session of another viewer plays on");
        assert_eq!(end(0, hall.addr, &session.location, &hall.record).await, Some(200));
        hall.settle(0).await;
    });
}

#[test]
fn a_viewer_that_writes_slowly_is_told_and_closed() {
    local(async {
        let hall = Hall::new().await;
        let parts: Vec<&[u8]> =
            vec![b"POST /whep/demo HTTP/1.1\r\n", b"host: h\r\n", b"x: y\r\n", b"z: a\r\n"];
        let said = hall.raw(&parts, Duration::from_millis(200)).await;
        assert!(said.starts_with("HTTP/1.1 408 "), "{said:?}");
        let said = hall.raw(&[], Duration::ZERO).await;
        assert_eq!(said, "", "a connection without a request is closed");
    });
}

#[test]
fn pipelined_requests_are_answered_in_their_order() {
    local(async {
        let hall = Hall::new().await;
        let until = Instant::now() + Duration::from_secs(5);
        let mut client = Client::open(0, hall.addr, &hall.record, until).await.expect("a connection");
        let mut bytes = Vec::new();
        for n in 1..=3 {
            let post =
                Request::new(Method::Post, "/whep/demo").content("application/sdp", offer(false, n, n, None));
            bytes.extend(post.encode("h"));
            bytes.extend(Request::new(Method::Get, "/whep/demo").encode("h"));
        }
        client.write(&bytes).await.expect("written");
        let mut statuses = Vec::new();
        for _ in 0..6 {
            statuses.push(client.read(until).await.expect("an answer").status);
        }
        assert_eq!(statuses, [201, 405, 201, 405, 201, 405]);
        assert_eq!(hall.held(), 3);
    });
}

#[test]
fn half_an_answer_and_one_of_a_gigabyte_lead_to_the_other_box() {
    local(async {
        let hall = Hall::new().await;
        for id in 1..=2 {
            hall.fleet.trouble(id, |t| t.half_answers = true);
            for n in 0..4 {
                assert!(
                    matches!(hall.ask(n, "/whep/demo").await, Outcome::Plays(_) | Outcome::Refused(_)),
                    "box {id}"
                );
            }
            hall.fleet.trouble(id, |t| (t.half_answers, t.huge_answers) = (false, 1 << 30));
            for n in 0..4 {
                let outcome = hall.ask(n, "/whep/demo").await;
                assert!(matches!(outcome, Outcome::Plays(_)), "box {id}: {outcome:?}");
            }
            hall.fleet.trouble(id, |t| t.huge_answers = 0);
        }
        hall.fleet.trouble(1, |t| t.huge_answers = 1 << 30);
        hall.fleet.trouble(2, |t| t.huge_answers = 1 << 30);
        // A paid session that may have run is not set up again, nor refused.
        assert_eq!(hall.ask(20, "/paid/demo").await, Outcome::Failed(502));
    });
}

#[test]
fn a_late_answer_is_withdrawn_and_the_viewer_told_in_time() {
    local(async {
        let hall = Hall::new().await;
        for id in 1..=2 {
            hall.fleet.trouble(id, |t| t.late = Duration::from_millis(1900));
        }
        let began = Instant::now();
        assert_eq!(hall.ask(1, "/paid/demo").await, Outcome::Failed(504));
        assert!(began.elapsed() < Duration::from_millis(1500 + 400));
        assert_eq!(hall.held(), 1, "the box has set it up");
        hall.settle(0).await;
    });
}

#[test]
fn a_viewer_that_hangs_up_leaves_no_session_behind() {
    local(async {
        let hall = Hall::new().await;
        for id in 1..=2 {
            hall.fleet.trouble(id, |t| t.late = Duration::from_millis(200));
        }
        for n in 0..5 {
            let asking = hall.ask(n, "/whep/demo");
            assert!(timeout(Duration::from_millis(60), asking).await.is_err(), "it hangs up first");
        }
        sleep(Duration::from_millis(300)).await;
        hall.settle(0).await;
    });
}

#[test]
fn more_connections_than_the_bound_are_closed_and_the_rest_served() {
    local(async {
        let hall = Hall::new().await;
        let mut open = Vec::new();
        for _ in 0..20 {
            open.push(TcpStream::connect(hall.addr).await.expect("a connection"));
        }
        sleep(Duration::from_millis(50)).await;
        let mut more = TcpStream::connect(hall.addr).await.expect("a connection");
        let mut said = Vec::new();
        let n = timeout(Duration::from_secs(2), more.read_to_end(&mut said)).await.expect("it closes");
        assert!(n.is_err() || said.is_empty());
        open.truncate(10);
        sleep(Duration::from_millis(50)).await;
        hall.plays(1).await;
    });
}

#[test]
fn a_stopping_front_gives_the_answers_that_it_owes() {
    local(async {
        let mut hall = Hall::new().await;
        for id in 1..=2 {
            hall.fleet.trouble(id, |t| t.late = Duration::from_millis(300));
        }
        let (addr, record) = (hall.addr, hall.record.clone());
        let owed = spawn_local(async move { ask(0, addr, &wish(1, "/whep/demo"), &record).await.0 });
        sleep(Duration::from_millis(100)).await;
        hall.stop.take().expect("not stopped yet").send(()).expect("it runs");
        sleep(Duration::from_millis(50)).await;
        assert!(matches!(hall.ask(2, "/whep/demo").await, Outcome::Refused(_)));
        assert!(matches!(owed.await, Ok(Outcome::Plays(_))));
        timeout(Duration::from_secs(5), &mut hall.serving).await.expect("it ends").expect("in good order");
    });
}

#[test]
fn a_patch_goes_to_the_box_and_a_restart_changes_the_tag() {
    local(async {
        let hall = Hall::new().await;
        let session = hall.plays(1).await;
        let until = Instant::now() + Duration::from_secs(5);
        let mut client = Client::open(0, hall.addr, &hall.record, until).await.expect("a connection");
        let tag = session.etag.expect("a tag");
        let fragment = |ufrag: &str| {
            format!(
                "a=ice-ufrag:{ufrag}\r\na=ice-pwd:P2uYro0UCOQ4zxjKXaWCBui1\r\nm=audio 9 RTP/AVP 0\r\na=mid:0\r\n\
                 a=candidate:1 1 udp 2122260223 127.0.0.1 61764 typ host\r\n"
            )
        };
        let patch = |tag: &str, ufrag: &str| {
            let kind = "application/trickle-ice-sdpfrag";
            Request::new(Method::Patch, &*session.location)
                .with("if-match", tag)
                .content(kind, fragment(ufrag))
        };
        let trickled = client.call(&patch(&tag, "v00000001"), until).await.expect("an answer");
        assert_eq!((trickled.status, trickled.headers.get("etag")), (204, None));
        let restarted = client.call(&patch(&tag, "newfrag1"), until).await.expect("an answer");
        let fresh = restarted.headers.get("etag").expect("a new tag").to_owned();
        assert_eq!(restarted.status, 200);
        assert_ne!(fresh, tag);
        assert_eq!(client.call(&patch(&tag, "newfrag1"), until).await.expect("an answer").status, 412);
        assert_eq!(client.call(&patch(&fresh, "newfrag1"), until).await.expect("an answer").status, 204);
    });
}

#[test]
fn players_that_hang_up_halfway_send_too_much_or_fall_silent_leave_nothing_behind() {
    local(async {
        let hall = Hall::new().await;
        let get = |told: &str| {
            format!(
                "GET /watch/demo/index.m3u8 HTTP/1.1\r\nhost: h\r\ncmcd-session: {told}\r\nconnection: close\r\n\r\n"
            )
        };
        let whole = get("sid=\"a\"");
        // Halfway through its request; after it, before its answer is there.
        for part in [&whole[..40], &whole] {
            let mut stream = TcpStream::connect(hall.addr).await.expect("a connection");
            stream.write_all(part.as_bytes()).await.expect("written");
        }
        sleep(Duration::from_millis(100)).await;
        hall.settle(0).await;
        // Halfway through its answer, and back with the same id: one play, and it goes on.
        let mut stream = TcpStream::connect(hall.addr).await.expect("a connection");
        stream.write_all(whole.as_bytes()).await.expect("written");
        let mut some = [0; 20];
        stream.read_exact(&mut some).await.expect("the answer begins");
        drop(stream);
        let again = hall.raw(&[whole.as_bytes()], Duration::ZERO).await;
        assert!(again.starts_with("HTTP/1.1 200") && hall.held() == 1, "{again}");
        // A head that is too long is refused; hints that are none are passed over, and so is a query of them.
        let long =
            hall.raw(&[get(&format!("nor=\"{}\"", "x".repeat(64 << 10))).as_bytes()], Duration::ZERO).await;
        assert!(long.starts_with("HTTP/1.1 431"), "{long}");
        let head = get("br=\"x\",sid=").replace("GET", "HEAD");
        let head = hall.raw(&[head.as_bytes()], Duration::ZERO).await;
        assert!(head.starts_with("HTTP/1.1 200") && head.ends_with("\r\n\r\n"), "{head}");
        // A whole play by a player; then all fall silent.
        let (teller, wish) =
            (Teller { sid: "p".into(), most: Some(1_000) }, wish(1, "/watch/demo/manifest.mpd"));
        let asked = player::ask(0, hall.addr, &wish, &teller, &hall.record).await.0;
        let Outcome::Plays(session) = asked else { panic!("{asked:?}") };
        let mut player = Player::new((0, hall.addr), &session, &teller, None, &hall.record);
        for _ in 0..3 {
            assert_eq!(player.segment(Duration::from_secs(2)).await.as_deref(), Ok("0"), "its ceiling holds");
        }
        assert_eq!(hall.held(), 3);
        assert_eq!(player.end().await, Some(204));
        hall.settle(0).await;
        hall.plays(9).await;
    });
}

#[test]
fn a_webrtc_library_gets_its_session_trickles_and_restarts() {
    use str0m::change::SdpAnswer;
    use str0m::media::{Direction, MediaKind};
    local(async {
        str0m::crypto::from_feature_flags().install_process_default();
        let hall = Hall::new().await;
        let mut rtc = str0m::Rtc::new(std::time::Instant::now());
        let mut api = rtc.sdp_api();
        api.add_media(MediaKind::Audio, Direction::RecvOnly, None, None, None);
        api.add_media(MediaKind::Video, Direction::RecvOnly, None, None, None);
        let (offered, pending) = api.apply().expect("an offer");
        let text = offered.to_sdp_string();
        let wish = Wish { offer: text.clone(), ..wish(1, "/whep/demo") };
        let Outcome::Plays(session) = ask(0, hall.addr, &wish, &hall.record).await.0 else {
            panic!("it plays")
        };
        let answer = SdpAnswer::from_sdp_string(&session.answer).expect("an answer");
        rtc.sdp_api().accept_answer(pending, answer).expect("the library takes it");

        let line =
            |name: &str| text.lines().find_map(|l| l.strip_prefix(name)).expect("a line").trim().to_owned();
        let mine = (line("a=ice-ufrag:"), line("a=ice-pwd:"));
        let candidate = str0m::Candidate::host("127.0.0.1:6001".parse().expect("an address"), "udp")
            .expect("a candidate");
        let candidate = candidate.to_sdp_string().trim_start_matches("a=").replace("candidate:", "");
        let body = |ufrag: &str, password: &str| {
            format!(
                "a=ice-ufrag:{ufrag}\r\na=ice-pwd:{password}\r\nm=audio 9 RTP/AVP 0\r\na=mid:0\r\na=candidate:{candidate}\r\n"
            )
        };
        let until = Instant::now() + Duration::from_secs(5);
        let mut client = Client::open(0, hall.addr, &hall.record, until).await.expect("a connection");
        let tag = session.etag.clone().expect("a tag");
        let patch = |body: String| {
            let kind = "application/trickle-ice-sdpfrag";
            Request::new(Method::Patch, &*session.location).with("if-match", &*tag).content(kind, body)
        };
        let trickled = client.call(&patch(body(&mine.0, &mine.1)), until).await.expect("an answer");
        assert_eq!(trickled.status, 204);
        let fresh = rtc.sdp_api().ice_restart(true);
        let restarted = client.call(&patch(body(&fresh.ufrag, &fresh.pass)), until).await.expect("an answer");
        assert_eq!(restarted.status, 200);
        let fragment = String::from_utf8(restarted.body).expect("text");
        let fragment = micadyke_sdp::Fragment::parse(&fragment).expect("a fragment");
        let theirs = fragment.candidates.first().map(|c| format!("candidate:{}", c.1)).expect("a candidate");
        assert!(str0m::Candidate::from_sdp_string(&theirs).is_ok());
        assert!(fragment.ufrag.is_some() && fragment.password.is_some());
    });
}

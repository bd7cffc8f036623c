//! Three real front processes, killed, stopped and let go at random points, beside boxes and an issuer of this process.
//! The verdict comes from the recorded traffic at viewers and boxes, and from the issuer's books.
//!
//! CI plays a short form; the long one:
//! `MICADYKE_KILLS=1000 MICADYKE_STOPS=200 cargo test --release -p micadyke-cli --test kills -- --nocapture`

#[path = "platform/ports.rs"]
mod ports;

use micadyke_config::{BoxRow, read_config, write_boxes};
use micadyke_rehearse::check::{Terms, check};
use micadyke_standin::issuer::Issuer;
use micadyke_standin::media_box::{Fleet, Habits};
use micadyke_standin::model::World;
use micadyke_standin::offers::offer;
use micadyke_standin::record::{Deed, Record};
use micadyke_standin::viewer::{Outcome, Wish, ask, end};
use micadyke_tokens::bound::SharedKey;
use micadyke_tokens::ledger::Terms as SeatTerms;
use micadyke_tokens::message::Key;
use ports::free_port;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

const SEATS: u32 = 6;
/// Boxes end a session whose event stream is closed for so long, in nanoseconds.
const REAP: u64 = 500_000_000;

/// Boxes, and the margin that they need to end a session whose time is over.
const STOP: u64 = 400;
const FRONTS: usize = 3;
const SECRET: &[u8] = b"a secret that fronts and boxes share, in a test";

fn settings(front: usize, issuer: SocketAddr) -> String {
    format!(
        "(front (name \"f{front}\") (listen \"127.0.0.1:0\") (boxes \"boxes.sexp\"))\n\
         (ladder (rung (rate 100kB/s) (worth 0.3)) (rung (rate 300kB/s) (worth 1)))\n\
         (class spot (aim 800ms) (patience 3s) (effect at-most-once) (floor 1) (tokens (lost end)))\n\
         (kind box (streams 500))\n\
         (fleet (cells 2) (link-per-weight 500MB/s) (note-delay 100ms) (note-period 1s))\n\
         (attempts (most 3)) (come-back (most 2s))\n\
         (issuer (address \"{issuer}\") (state \"seats-{front}.log\") (wait 500ms) (drift 1%)\n\
          (stop {STOP}ms) (retry 50ms) (keep 200ms) (settle 500ms) (leases 100)\n\
          (bound (path \"/leases\") (key \"k\" (file \"bound.key\"))))\n\
         (route \"/spot/\" (kind whep) (class spot))\n(title t (from-cell 0) (cells 2))\n"
    )
}

/// A front's process; a test that fails leaves none behind.
struct Process(Child);

impl Process {
    fn end(&mut self) {
        self.0.kill().expect("killed");
        self.0.wait().expect("it ended");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

fn start(config: &str, at: SocketAddr) -> Process {
    let at = at.to_string();
    let mut command = Command::new(env!("CARGO_BIN_EXE_micadyke"));
    command.args(["front", "--config", config, "--listen", &at, "--log-level", "error"]);
    Process(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("it starts"))
}

/// A whole number of the environment, or the short form's.
fn form(name: &str, or: u32) -> u32 {
    std::env::var(name).ok().and_then(|k| k.parse().ok()).unwrap_or(or)
}

#[test]
fn fronts_killed_and_stopped_at_random_points_never_exceed_the_seats() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let long = std::env::var("MICADYKE_STOPS").is_ok();
    // Milliseconds between troubles, and of a stop, at most.
    let most = if long { (700, 10_000) } else { (500, 3_000) };
    LocalSet::new().block_on(&runtime, play(form("MICADYKE_KILLS", 15), form("MICADYKE_STOPS", 6), most));
}

/// One front's troubles: kills, and stops of 100 ms to `longest`, in a random order.
async fn troubles(
    n: usize, path: String, at: SocketAddr, mut all: Vec<bool>, (pause, longest): (u64, u64),
    record: Rc<Record>,
) -> Process {
    let mut random = StdRng::seed_from_u64(n as u64 + 77);
    let mut child = start(&path, at);
    all.shuffle(&mut random);
    for kill in all {
        sleep(Duration::from_millis(random.random_range(30..pause))).await;
        if kill {
            record.deed(Deed::Killed { front: n as u32 });
            child.end();
            child = start(&path, at);
        } else {
            let length = random.random_range(100..longest);
            record.deed(Deed::Stalled { front: n as u32, length: length * 1_000_000 });
            signal(&child, "-STOP");
            sleep(Duration::from_millis(length)).await;
            signal(&child, "-CONT");
        }
    }
    child
}

fn signal(child: &Process, name: &str) {
    let status = Command::new("kill").args([name, &child.0.id().to_string()]).status();
    assert!(status.expect("kill runs").success());
}

async fn play(kills: u32, stops: u32, most: (u64, u64)) {
    let ttl = 2_000_000_000;
    let seats = [("spot".into(), SEATS)].into();
    let issuer = Issuer::new(SeatTerms { ttl, seats, most_holders: 10, most_leases: 1000 }, 1.005, 3);
    let at = issuer.open(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("an issuer");
    issuer.trouble(|t| (t.lose_messages, t.lose_answers, t.double) = (0.05, 0.1, 0.1));
    let config = read_config(&settings(0, at), "s").unwrap_or_else(|e| panic!("{e:?}"));
    let mut rows = BoxRow::on_loopback(2);
    let world = World::of(&config, &rows, REAP);
    let record = Record::new();
    let fleet = Fleet::new(world, Habits::default(), record.clone(), 5);
    fleet.guarded("/leases", SharedKey::new("k", SECRET).expect("a secret"));
    fleet.open_all(&mut rows).await.expect("boxes");
    let dir = std::env::temp_dir().join(format!("micadyke-kills-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    std::fs::write(dir.join("boxes.sexp"), write_boxes(&rows, &config)).expect("written");
    std::fs::write(dir.join("bound.key"), SECRET).expect("written");
    let (mut fronts, mut addrs) = (Vec::new(), Vec::new());
    let share = |all: u32, n: usize| (all as usize + n) / FRONTS;
    for n in 0..FRONTS {
        let file = dir.join(format!("front-{n}.sexp"));
        std::fs::write(&file, settings(n, at)).expect("written");
        let addr = free_port();
        let path = file.to_str().expect("a path").to_owned();
        let all = [vec![true; share(kills, n)], vec![false; share(stops, n)]].concat();
        fronts.push(spawn_local(troubles(n, path, addr, all, most, record.clone())));
        addrs.push(addr);
    }

    let (over, played) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(0u32)));
    let mut viewers = Vec::new();
    for v in 0..18u64 {
        let (over, played, record, addrs) = (over.clone(), played.clone(), record.clone(), addrs.clone());
        viewers.push(spawn_local(async move {
            let mut random = StdRng::seed_from_u64(v);
            let mut n = v << 24;
            while !over.get() {
                n += 1;
                let patience = Duration::from_secs(3);
                let wish =
                    Wish { path: "/spot/t".into(), offer: offer(false, v, n, None), patience, bearer: None };
                let front = random.random_range(0..FRONTS);
                if let (Outcome::Plays(session), _) = ask(front as u32, addrs[front], &wish, &record).await {
                    played.set(played.get() + 1);
                    sleep(Duration::from_millis(random.random_range(10..if v < 4 { 4_000 } else { 400 })))
                        .await;
                    end(front as u32, addrs[front], &session.location, &record).await;
                }
                sleep(Duration::from_millis(random.random_range(10..80))).await;
            }
        }));
    }
    let mut children = Vec::new();
    for f in fronts {
        children.push(f.await.expect("a front's troubles"));
    }
    sleep(Duration::from_millis(500)).await;
    over.set(true);
    for v in viewers {
        v.await.expect("a viewer");
    }
    // No seat is lost for good: all are free again within a lease and the margin, after what sessions a restarted
    // front took up again have rested.
    let key = Key { title: "t".into(), class: "spot".into() };
    let until = Instant::now() + Duration::from_secs(8);
    while issuer.in_use(&key) > 0 {
        assert!(Instant::now() < until, "{} seats are still counted", issuer.in_use(&key));
        sleep(Duration::from_millis(50)).await;
    }
    for mut child in children {
        child.end();
    }
    let places = BTreeMap::from([(1, 500), (2, 500)]);
    let terms = Terms { config: &config, places: &places, seats: Some(SEATS) };
    let verdict = check(&record.entries(), &record.deeds(), &terms);
    println!("{kills} kills, {stops} stops, {} sessions played\n{verdict}", played.get());
    assert!(verdict.kept(), "{verdict}");
    // A killed front's seats rest for a lease's time, so not every life of it has one to give.
    assert!(verdict.missing(&[1, 5]).is_empty() && played.get() > kills / 2, "{verdict}");
    let _ = std::fs::remove_dir_all(&dir);
}

/// The program rehearses a scenario: its exit code, and what it said.
fn rehearse(args: &[&str]) -> (Option<i32>, String) {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/");
    let mut command = Command::new(env!("CARGO_BIN_EXE_micadyke"));
    command.arg("rehearse").arg(format!("{dir}stopped.sexp")).args(args);
    let out = command.output().expect("it runs");
    (out.status.code(), String::from_utf8_lossy(&out.stdout).into_owned())
}

#[test]
fn stopped_fronts_and_half_open_links_keep_the_seats_and_without_the_bound_do_not() {
    let broken = std::thread::spawn(|| rehearse(&["--break", "bound"]));
    let (code, said) = rehearse(&["--require", "1,5"]);
    assert_eq!(code, Some(0), "{said}");
    let (code, said) = broken.join().expect("it runs");
    assert!(code == Some(1) && said.contains("verdict: broken: 5"), "{said}");
}

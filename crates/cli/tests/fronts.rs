//! A front with a store, killed while its sessions play: they are kept, their viewers can end them, their boxes are heard of
//! again. Boxes are this process's; the verdict comes from them.
//!
//! CI plays some hundreds of sessions; the long form:
//! `cargo test --release -p micadyke-cli --test fronts -- --ignored --nocapture`

#[path = "platform/ports.rs"]
mod ports;

use micadyke_config::{BoxRow, read_config, write_boxes};
use micadyke_standin::media_box::{Fleet, Habits};
use micadyke_standin::model::World;
use micadyke_standin::offers::offer;
use micadyke_standin::record::Record;
use micadyke_standin::viewer::{Outcome, Wish, ask, end};
use ports::free_port;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

/// Boxes end a session whose event stream is closed for so long, in nanoseconds.
const REAP: u64 = 15_000_000_000;
const BOXES: u32 = 4;

const SETTINGS: &str = "(front (name \"f\") (listen \"127.0.0.1:0\") (boxes \"boxes.sexp\"))\n\
     (ladder (rung (rate 1kB/s) (worth 0.3)) (rung (rate 2kB/s) (worth 1)))\n\
     (class play (aim 800ms) (patience 10s) (effect idempotent))\n\
     (kind box (streams 20000))\n\
     (fleet (cells 4) (link-per-weight 1GB/s) (note-delay 100ms) (note-period 1s))\n\
     (attempts (most 3)) (come-back (most 15s))\n\
     (bounds (connections 15000))\n\
     (route \"/whep/\" (kind whep) (class play))\n(title t (from-cell 0) (cells 4))\n";

/// A front's process; a test that fails leaves none behind.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn start(dir: &Path, at: SocketAddr, store: bool) -> Process {
    let mut command = Command::new(env!("CARGO_BIN_EXE_micadyke"));
    command.args(["front", "--log-level", "error", "--listen", &at.to_string(), "--config"]);
    command.arg(dir.join("front.sexp"));
    if store {
        command.arg("--store").arg(dir.join("front.store"));
    }
    Process(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("it starts"))
}

/// Sessions at all boxes, and those of them whose event stream is open.
fn at_boxes(fleet: &Fleet) -> (usize, usize) {
    fleet.world(|w| {
        let held = || w.boxes.values().flat_map(|b| b.held.values());
        (held().count(), held().filter(|h| h.streams > 0).count())
    })
}

async fn until(limit: Duration, what: impl Fn() -> bool) -> Option<Duration> {
    let began = Instant::now();
    while !what() {
        if began.elapsed() > limit {
            return None;
        }
        sleep(Duration::from_millis(5)).await;
    }
    Some(began.elapsed())
}

/// What a killed front came back with.
#[derive(Debug)]
struct Came {
    played: usize,
    /// Sessions whose event stream was opened again, and how long after the kill the last one was.
    back: usize,
    gap: Duration,
    /// From its start to the first session that it sets up.
    start: Duration,
    /// Sessions that their viewers could end.
    ended: usize,
    /// Sessions that are left at boxes after that.
    left: usize,
}

async fn play(tag: &str, sessions: usize, store: bool) -> Came {
    let config = read_config(SETTINGS, "s").unwrap_or_else(|e| panic!("{e:?}"));
    let mut rows = BoxRow::on_loopback(BOXES);
    let world = World::of(&config, &rows, REAP);
    let (record, silent) = (Record::off(), Record::off());
    let fleet = Fleet::new(world, Habits::default(), record, 5);
    fleet.open_all(&mut rows).await.expect("boxes");
    let dir = Folder(std::env::temp_dir().join(format!("micadyke-fronts-{tag}-{}", std::process::id())));
    std::fs::create_dir_all(&dir.0).expect("a folder");
    std::fs::write(dir.0.join("boxes.sexp"), write_boxes(&rows, &config)).expect("written");
    std::fs::write(dir.0.join("front.sexp"), SETTINGS).expect("written");
    let at = free_port();
    let mut front = start(&dir.0, at, store);
    let wish = |n: u64| Wish {
        path: "/whep/t".into(),
        offer: offer(false, n, n, None),
        patience: Duration::from_secs(10),
        bearer: None,
    };
    // 32 viewers at a time, each until it plays.
    let mut viewers = Vec::new();
    for v in 0..32usize {
        let silent = silent.clone();
        viewers.push(spawn_local(async move {
            let mut mine = Vec::new();
            for n in (v..sessions).step_by(32) {
                loop {
                    match ask(0, at, &wish(n as u64), &silent).await.0 {
                        Outcome::Plays(s) => break mine.push(s.location),
                        _ => sleep(Duration::from_millis(50)).await,
                    }
                }
            }
            mine
        }));
    }
    let mut all = Vec::new();
    for v in viewers {
        all.extend(v.await.expect("a viewer"));
    }
    assert_eq!(all.len(), sessions);
    let open = until(Duration::from_secs(30), || at_boxes(&fleet) == (sessions, sessions)).await;
    open.expect("all play, and their boxes are heard of");
    // What the disk takes from one sync to the next may be lost.
    sleep(Duration::from_millis(500)).await;
    front.0.kill().expect("killed");
    front.0.wait().expect("it ended");
    let killed = Instant::now();
    until(Duration::from_secs(5), || at_boxes(&fleet).1 == 0).await.expect("its streams are closed");
    front = start(&dir.0, at, store);
    let began = Instant::now();
    while !matches!(ask(0, at, &wish(1 << 40), &silent).await.0, Outcome::Plays(_)) {
        assert!(began.elapsed() < Duration::from_secs(60), "it never serves");
        sleep(Duration::from_millis(5)).await;
    }
    let start = began.elapsed();
    let limit = if store { 12 } else { 3 };
    until(Duration::from_secs(limit), || at_boxes(&fleet).1 > sessions).await;
    let gap = killed.elapsed();
    // One of them is the session that told that it serves.
    let back = at_boxes(&fleet).1 - 1;
    let mut ended = 0;
    for location in &all {
        ended += usize::from(end(0, at, location, &silent).await == Some(200));
    }
    until(Duration::from_secs(5), || at_boxes(&fleet).0 == 1).await;
    let left = at_boxes(&fleet).0 - 1;
    drop(front);
    let came = Came { played: all.len(), back, gap, start, ended, left };
    println!(
        "{tag}: {} played, {} back, the last {:?} after the kill; served {:?} after its start; {} ended, {} left",
        came.played, came.back, came.gap, came.start, came.ended, came.left
    );
    came
}

fn run(tag: &str, sessions: usize, store: bool) -> Came {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, play(tag, sessions, store))
}

#[test]
fn a_killed_front_comes_back_with_its_sessions_and_without_a_store_it_does_not() {
    let kept = run("kept", 300, true);
    assert_eq!((kept.back, kept.ended, kept.left), (300, 300, 0), "{kept:?}");
    // The check sees a front that keeps nothing.
    let lost = run("lost", 40, false);
    assert_eq!((lost.back, lost.ended, lost.left), (0, 0, 40), "{lost:?}");
}

#[test]
#[ignore = "ten thousand sessions: by command"]
fn ten_thousand_sessions_outlive_a_kill() {
    let kept = run("10,000", 10_000, true);
    assert_eq!((kept.back, kept.ended, kept.left), (10_000, 10_000, 0), "{kept:?}");
}

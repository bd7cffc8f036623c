//! Thirty processes of `micadyke node` restarted at once: nine in ten pass the platform's test within ten seconds of their
//! start, and each that has passed it serves. The parts of that time, from each process's log, are printed:
//! `cargo test -p micadyke-cli --test restarts -- --nocapture`

mod platform;

use micadyke_isup::kind;
use micadyke_standin::platform_net::{Bus, Scene};
use platform::counts::all_kept;
use platform::*;
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};
use tokio::task::spawn_local;

const PROCESSES: usize = 30;
/// Nine in ten are ready within this, as the platform's operators have it.
const READY: Duration = Duration::from_secs(10);
/// All are ready within this: a process that takes longer has failed.
const READY_AT_LAST: Duration = Duration::from_secs(30);
/// One fleet at a time: the processes of another would take its processors.
static ONE_FLEET: Mutex<()> = Mutex::new(());

/// How a fleet is ended before it is started again.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    Killed,
    Terminated,
}

/// When a start came to each of its parts, from the start of the process.
#[derive(Debug, Clone, Copy)]
struct Parts {
    configuration: Duration,
    list: Duration,
    passed: Duration,
}

/// A process, where it logs, and when it was started.
struct Started {
    node: Running,
    log: PathBuf,
    at: Instant,
    by_clock: SystemTime,
}

impl Drop for Started {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.log);
    }
}

/// Addresses for processes that come and go: below the ports that the system gives to callers, so that none of them is
/// taken while its process is down.
fn addresses() -> Vec<SocketAddr> {
    let mut free = BTreeSet::new();
    while free.len() < PROCESSES {
        let at = SocketAddr::from(([127, 0, 0, 1], rand::random_range(10_000..20_000)));
        if TcpListener::bind(at).is_ok() {
            free.insert(at);
        }
    }
    free.into_iter().collect()
}

fn start_one(n: usize, round: &str, listen: SocketAddr, bus: SocketAddr, rows: &str) -> Started {
    let name = format!("restarts-{round}-{n}");
    let log = std::env::temp_dir().join(format!("micadyke-{name}-{}.log", std::process::id()));
    let _ = std::fs::remove_file(&log);
    let under = Under { log: Some(log.clone()), ..Under::default() };
    let (at, by_clock) = (Instant::now(), SystemTime::now());
    let node = start_under(&name, listen, bus, rows, None, None, &under);
    Started { node, log, at, by_clock }
}

/// Starts all at once; comes back once each has passed a test, with the time that this took.
async fn start_all(
    round: &str, listen: &[SocketAddr], bus: SocketAddr, rows: &str,
) -> (Vec<Started>, Vec<Parts>) {
    let starts = listen.iter().enumerate().map(|(n, at)| start_one(n, round, *at, bus, rows));
    let fleet: Vec<Started> = starts.collect();
    let tests = fleet.iter().map(|s| spawn_local(first_passed(s.node.listen, s.at)));
    let mut parts = Vec::new();
    for (test, started) in tests.collect::<Vec<_>>().into_iter().zip(&fleet) {
        let passed = test.await.expect("a test is passed in the end");
        let logged = |message| logged(&started.log, message, started.by_clock);
        parts.push(Parts {
            configuration: logged("configuration read"),
            list: logged("the list stands"),
            passed,
        });
    }
    (fleet, parts)
}

/// How long after its start a process passed its first test.
async fn first_passed(at: SocketAddr, start: Instant) -> Duration {
    loop {
        let mut viewer = Viewer::connect(at).await;
        if viewer.test().await == Some(1) {
            return start.elapsed();
        }
        assert!(start.elapsed() < READY_AT_LAST, "{at} is not ready");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// How long after its start a process logged a message for the first time.
fn logged(log: &Path, message: &str, start: SystemTime) -> Duration {
    let text = std::fs::read_to_string(log).expect("a log");
    let lines = text.lines().filter_map(|l| serde_json::from_str::<serde_json::Value>(l).ok());
    let line = lines.into_iter().find(|l| l["fields"]["message"] == message);
    let line = line.unwrap_or_else(|| panic!("{message:?} is not in the log: {text}"));
    let day = 24 * 3600 * 1_000_000;
    let start = start.duration_since(SystemTime::UNIX_EPOCH).expect("after 1970").as_micros() as u64 % day;
    let at = time_of_day(line["timestamp"].as_str().expect("a time"));
    Duration::from_micros((at + day - start) % day)
}

/// Microseconds of the day, from a time as `2026-12-02T04:46:11.123456Z`.
fn time_of_day(stamp: &str) -> u64 {
    let time = stamp.split_once('T').expect("a date before it").1.trim_end_matches('Z');
    let parts: Vec<f64> = time.split(':').map(|p| p.parse().expect("a number")).collect();
    ((parts[0] * 3600.0 + parts[1] * 60.0 + parts[2]) * 1e6) as u64
}

async fn end_all(fleet: &mut [Started], how: End) {
    for started in fleet.iter_mut() {
        match how {
            End::Killed => started.node.child.kill().expect("killed"),
            End::Terminated => started.node.signal("-TERM"),
        }
    }
    for started in fleet.iter_mut() {
        let code = started.node.ends().await;
        assert_eq!(code, (how == End::Terminated).then_some(0), "{how:?}");
    }
}

/// Each process answers a set-up with a session.
async fn each_serves(scene: &Scene, fleet: &[Started], first: u64) {
    for (n, started) in fleet.iter().enumerate() {
        let mut viewer = Viewer::connect(started.node.listen).await;
        let class = if n % 2 == 0 { "free" } else { "paid" };
        let said = viewer.ask(scene, first + n as u64, class).await;
        assert_eq!(said.kind, kind::ANSWER, "process {n} is ready and serves nobody: {said:?}");
    }
}

/// The part of them that took no longer.
fn quantile(of: impl Iterator<Item = Duration>, part: f64) -> Duration {
    let mut of: Vec<Duration> = of.collect();
    of.sort();
    of[((of.len() as f64 * part).ceil() as usize).clamp(1, of.len()) - 1]
}

/// A part of the time, and its name.
type Column = (&'static str, fn(&Parts) -> Duration);

fn print_parts(round: &str, parts: &[Parts]) {
    let columns: [Column; 3] = [
        ("configuration read", |p| p.configuration),
        ("list standing", |p| p.list),
        ("first test passed", |p| p.passed),
    ];
    for (name, column) in columns {
        let [half, most, last] =
            [0.5, 0.9, 1.0].map(|part| quantile(parts.iter().map(column), part).as_millis());
        println!("{round}: {name} after {half} ms (half), {most} ms (nine in ten), {last} ms (all)");
    }
}

/// A fleet is in service, ends at once and starts at once, with the bus there or refusing.
fn restart(round: &'static str, how: End, bus_refuses: bool) {
    let _alone = ONE_FLEET.lock().unwrap_or_else(|broken| broken.into_inner());
    on_one_thread(async move {
        let scene = Scene::default();
        let (a, b) = (server(&scene, "a", 600_000).await, server(&scene, "b", 600_000).await);
        let rows = format!("{},{}", row(&a, "a", "up"), row(&b, "b", "up"));
        let bus = Bus::start(vec![(true, rows.clone())]).await.expect("a bus");
        let listen = addresses();
        let before = format!("{round}-before");
        let (mut fleet, _) = start_all(&before, &listen, bus.addr, &rows).await;
        each_serves(&scene, &fleet, 1_000).await;
        end_all(&mut fleet, how).await;
        let nobody = free_port();
        let bus_at = if bus_refuses { nobody } else { bus.addr };
        let (fleet, parts) = start_all(round, &listen, bus_at, &rows).await;
        print_parts(round, &parts);
        each_serves(&scene, &fleet, 2_000).await;
        all_kept(&scene);
        let nine_in_ten = quantile(parts.iter().map(|p| p.passed), 0.9);
        assert!(nine_in_ten <= READY, "nine in ten are ready after {nine_in_ten:?}");
        let last = quantile(parts.iter().map(|p| p.passed), 1.0);
        assert!(last <= READY_AT_LAST, "the last is ready after {last:?}");
    });
}

#[test]
fn nine_in_ten_of_those_that_were_killed_are_ready_within_ten_seconds() {
    restart("killed", End::Killed, false);
}

#[test]
fn nine_in_ten_of_those_that_were_told_to_end_are_ready_within_ten_seconds() {
    restart("terminated", End::Terminated, false);
}

#[test]
fn a_bus_that_refuses_keeps_none_from_being_ready() {
    restart("no-bus", End::Killed, true);
}

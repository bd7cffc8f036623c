//! Processes of `micadyke node` that keep a view of each other, on a network that the test owns: every datagram between
//! two of them passes through it, each direction by itself. The verdict is what the processes answer of their views.

#[path = "platform/ports.rs"]
mod ports;

use micadyke_membership::frame::FrameCodec;
use micadyke_membership::shell::fetch_view;
use ports::free_port;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const BINARY: &str = env!("CARGO_BIN_EXE_micadyke");
const SETTINGS: &str = include_str!("../../../fixtures/node/settings.json");
const FLEET: &str = "processes";
const KEY: &str = "a key of the test's own";
/// Ample: nothing here takes a tenth of it on an idle machine.
const LIMIT: Duration = Duration::from_secs(90);

/// What becomes of a datagram from one to another.
#[derive(Debug, Default, Clone, Copy)]
struct Way {
    cut: bool,
    loss: f64,
    doubled: f64,
    late: Duration,
}

/// The network: one socket for each advertised address.
struct Network {
    ways: Arc<Mutex<BTreeMap<(usize, usize), Way>>>,
    carried: Arc<Mutex<BTreeMap<(usize, usize), u64>>>,
    over: Arc<AtomicBool>,
    advertised: Vec<SocketAddr>,
}

impl Network {
    /// Carries between processes that listen at these addresses.
    fn new(listen: &[SocketAddr], seed: u64) -> Self {
        let (ways, carried, over) =
            <(Arc<Mutex<BTreeMap<_, Way>>>, Arc<Mutex<BTreeMap<_, u64>>>, Arc<AtomicBool>)>::default();
        let any = || UdpSocket::bind("127.0.0.1:0").expect("a port");
        let sockets: Arc<Vec<UdpSocket>> = Arc::new(listen.iter().map(|_| any()).collect());
        let advertised = sockets.iter().map(|s| s.local_addr().expect("bound")).collect();
        for to in 0..listen.len() {
            let (ways, carried, over) = (ways.clone(), carried.clone(), over.clone());
            let (sockets, listen) = (sockets.clone(), listen.to_vec());
            std::thread::spawn(move || {
                let mut random = StdRng::seed_from_u64(seed ^ to as u64);
                let mut late: Vec<(Instant, usize, Vec<u8>)> = Vec::new();
                let mut bytes = [0u8; 2048];
                sockets[to].set_read_timeout(Some(Duration::from_millis(2))).expect("a time-out");
                while !over.load(Ordering::Relaxed) {
                    if let Ok((n, source)) = sockets[to].recv_from(&mut bytes)
                        && let Some(from) = listen.iter().position(|l| *l == source)
                    {
                        let way =
                            ways.lock().expect("not poisoned").get(&(from, to)).copied().unwrap_or_default();
                        let copies = 1 + usize::from(random.random_bool(way.doubled));
                        for _ in 0..copies {
                            if !way.cut && !random.random_bool(way.loss) {
                                let by = way.late.mul_f64(random.random());
                                late.push((Instant::now() + by, from, bytes[..n].to_vec()));
                            }
                        }
                    }
                    late.retain(|(at, from, bytes)| {
                        let due = *at <= Instant::now();
                        if due {
                            *carried.lock().expect("not poisoned").entry((*from, to)).or_default() += 1;
                            // To the process's own socket, from its sender's advertised address.
                            let _ = sockets[*from].send_to(bytes, listen[to]);
                        }
                        !due
                    });
                }
            });
        }
        Network { ways, carried, over, advertised }
    }

    fn set(&self, from: impl Fn(usize) -> bool, to: impl Fn(usize) -> bool, way: Way) {
        let n = self.advertised.len();
        let pairs = (0..n).flat_map(|i| (0..n).map(move |j| (i, j)));
        let pairs = pairs.filter(|(i, j)| i != j && from(*i) && to(*j));
        self.ways.lock().expect("not poisoned").extend(pairs.map(|p| (p, way)));
    }

    fn heal(&self) {
        self.ways.lock().expect("not poisoned").clear();
    }
}

/// How members' directories learn to wait.
const LEARNS: &str = r#"(deadline (usual (curve 0% 0% 50% 30% 100% 100%) (price 0.001) (first 5ms) (most 300ms)) (kind "viewer" (price 0.01)))"#;

/// Exit code and answer of the directory.
type Told = (Option<i32>, serde_json::Value);

/// A fleet of processes.
struct Fleet {
    dir: PathBuf,
    network: Network,
    listen: Vec<SocketAddr>,
    running: BTreeMap<usize, Child>,
    /// Without membership.
    plain: BTreeMap<usize, Child>,
    stopped: BTreeSet<usize>,
    seal: FrameCodec,
    /// Where directories are asked, where members keep one.
    desks: Vec<SocketAddr>,
}

/// Where the error output of a process is kept.
fn error_output(folder: &Path, i: usize) -> PathBuf {
    folder.join(format!("n{i}.err"))
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.network.over.store(true, Ordering::Relaxed);
        for child in self.running.values_mut().chain(self.plain.values_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Fleet {
    fn new(tag: &str, n: usize, seed: u64) -> Self {
        let dir = std::env::temp_dir().join(format!("micadyke-members-{tag}-{seed}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        std::fs::write(dir.join("key"), KEY).expect("written");
        let listen: Vec<SocketAddr> = (0..n).map(|_| free_port()).collect();
        let network = Network::new(&listen, seed);
        let seal = FrameCodec::new(FLEET, KEY.as_bytes()).expect("long enough");
        Fleet {
            dir,
            network,
            listen,
            running: BTreeMap::new(),
            plain: BTreeMap::new(),
            stopped: BTreeSet::new(),
            seal,
            desks: Vec::new(),
        }
    }

    fn membership(&self, i: usize) -> PathBuf {
        let (listen, advertised) = (self.listen[i], &self.network.advertised);
        let text = format!(
            "(membership (fleet \"{FLEET}\") (name \"n{i}\") (listen \"{listen}\") (advertise \"{}\") (key-file \"key\")\n  (seeds \"{}\" \"{}\") (expected {}) (period 100ms) (shares (lease 600ms)))\n",
            advertised[i],
            advertised[0],
            advertised[1],
            self.listen.len()
        );
        // The last one's waits are fixed.
        let learns = if i + 1 < self.desks.len() { LEARNS } else { "" };
        let directory =
            self.desks.get(i).map(|at| format!("(directory (ask \"{at}\") (zone \"z{i}\") {learns})\n"));
        // Half of them choose servers with the others: nothing between members differs by it.
        let chooses = if i.is_multiple_of(2) {
            "(subset (working (least 2)) (turns) (nodes \"n\" (zone \"z\")))\n"
        } else {
            ""
        };
        let text = text + &directory.unwrap_or_default() + chooses;
        let path = self.dir.join(format!("n{i}.sexp"));
        std::fs::write(&path, text).expect("written");
        path
    }

    fn start(&mut self, i: usize) {
        let membership = self.membership(i);
        let errors = std::fs::File::create(error_output(&self.dir, i)).expect("a file");
        let child = self.spawn(i, &["--membership".into(), membership.into_os_string()], errors.into());
        self.running.insert(i, child);
    }

    fn start_plain(&mut self, i: usize) {
        let child = self.spawn(i, &[], Stdio::null());
        self.plain.insert(i, child);
    }

    fn spawn(&self, i: usize, with: &[std::ffi::OsString], errors: Stdio) -> Child {
        let (config, at) = (self.dir.join(format!("n{i}.json")), "127.0.0.1:0");
        let text = format!(
            r#"{{"name":"n{i}","listen":"{at}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":32,"sockets":256}},"bus":"127.0.0.1:1","known":{{"offset":0,"batch":[]}},"settings":{SETTINGS}}}"#
        );
        std::fs::write(&config, text).expect("written");
        let mut command = Command::new(BINARY);
        command.arg("node").args(with).env("EDGE_CONFIG", &config);
        command.env_remove("EDGE_NAME").env_remove("EDGE_LISTEN").stdout(Stdio::null()).stderr(errors);
        command.spawn().expect("it starts")
    }

    /// Fails the test if a process has ended that nobody told to, with what it said.
    fn all_run(&mut self) {
        for (i, child) in &mut self.running {
            if let Some(status) = child.try_wait().expect("a child of this process") {
                let said = std::fs::read_to_string(error_output(&self.dir, *i)).unwrap_or_default();
                panic!("n{i} has ended by itself, {status}: {said}");
            }
        }
    }

    fn signal(&self, i: usize, name: &str) {
        let status = Command::new("kill").args([name, &self.running[&i].id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    fn kill(&mut self, i: usize) {
        let mut child = self.running.remove(&i).expect("it runs");
        child.kill().expect("killed");
        child.wait().expect("ended");
        self.stopped.remove(&i);
    }

    fn stop(&mut self, i: usize) {
        self.signal(i, "-STOP");
        self.stopped.insert(i);
    }

    fn go_on(&mut self, i: usize) {
        self.signal(i, "-CONT");
        self.stopped.remove(&i);
    }

    fn end(&mut self, i: usize) {
        self.signal(i, "-TERM");
        let status = self.running.remove(&i).expect("it runs").wait().expect("ended");
        assert!(status.success(), "n{i}: {status}");
    }

    /// What keeps the processes from agreeing, by what they answer: each settled, each seeing those that run and no other,
    /// all of one digest.
    async fn differ(&self) -> Option<String> {
        let truth: BTreeSet<String> = self.running.keys().map(|i| format!("n{i}")).collect();
        let (mut digests, mut starts) = (BTreeSet::new(), BTreeMap::<String, BTreeSet<u64>>::new());
        for &i in self.running.keys().filter(|i| !self.stopped.contains(i)) {
            let (summary, rows) = match fetch_view(self.listen[i], &self.seal, Duration::from_secs(2)).await {
                Ok(view) => view,
                Err(e) => return Some(e.to_string()),
            };
            let alive = rows.iter().filter(|r| format!("{:?}", r.state) == "Alive").map(|r| &r.member);
            let alive: Vec<_> = alive.chain([&summary.me]).collect();
            let seen: BTreeSet<String> = alive.iter().map(|m| m.name.clone()).collect();
            alive.iter().for_each(|m| starts.entry(m.name.clone()).or_default().extend([m.start]));
            if seen != truth {
                return Some(format!("n{i} sees {seen:?}, there are {truth:?}"));
            }
            if let Some(why) = summary.unsettled {
                return Some(format!("n{i}: {why}"));
            }
            digests.insert(summary.digest);
        }
        if starts.values().any(|s| s.len() > 1) {
            return Some(format!("two starts of one name: {starts:?}"));
        }
        (digests.len() != 1).then(|| format!("{} digests", digests.len()))
    }

    async fn settles(&mut self) {
        let start = Instant::now();
        while let Some(why) = self.differ().await {
            self.all_run();
            assert!(start.elapsed() < LIMIT, "{why}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[tokio::test(flavor = "current_thread")]
async fn processes_agree_after_kills_stops_cuts_loss_and_restarts() {
    let mut f = Fleet::new("faults", 8, 1);
    (0..8).for_each(|i| f.start(i));
    f.settles().await;
    assert!(
        f.network.carried.lock().expect("not poisoned").len() > 20,
        "what they say passes through the network"
    );

    // Seven in ten at once, a seed among them; back later.
    (0..5).for_each(|i| f.kill(i));
    f.settles().await;
    (0..5).for_each(|i| f.start(i));
    f.settles().await;

    // Stopped for as long as the others take to give it up, and let go: it accuses nobody and takes its place again.
    f.stop(6);
    tokio::time::sleep(ms(2500)).await;
    let (_, rows) = fetch_view(f.listen[2], &f.seal, LIMIT).await.expect("it answers");
    assert!(rows.iter().any(|r| r.member.name == "n6" && format!("{:?}", r.state) == "Down"), "{rows:?}");
    f.go_on(6);
    f.settles().await;
    let (woken, _) = fetch_view(f.listen[6], &f.seal, LIMIT).await.expect("it answers");
    assert!(
        woken.counts.stood_still > 0 && woken.counts.rejoined > 0 && woken.counts.given_up <= 5,
        "{woken:?}"
    );

    // Two halves, each of which goes on by itself; then one way alone; then much lost, late and doubled.
    f.network.set(|i| i < 4, |j| j >= 4, Way { cut: true, ..Way::default() });
    f.network.set(|i| i >= 4, |j| j < 4, Way { cut: true, ..Way::default() });
    tokio::time::sleep(ms(2500)).await;
    let (side, _) = fetch_view(f.listen[1], &f.seal, LIMIT).await.expect("it answers");
    assert_eq!(side.living, 4);
    f.kill(7);
    f.network.heal();
    f.start(7);
    f.settles().await;
    f.network.set(|i| i == 3, |_| true, Way { cut: true, ..Way::default() });
    tokio::time::sleep(ms(2000)).await;
    f.network.heal();
    f.network.set(|_| true, |_| true, Way { loss: 0.2, doubled: 0.2, late: ms(30), ..Way::default() });
    tokio::time::sleep(ms(2000)).await;
    f.network.heal();
    f.settles().await;

    // SIGTERM is a leave: nobody has to find out.
    f.end(2);
    f.settles().await;
    let (_, rows) = fetch_view(f.listen[4], &f.seal, LIMIT).await.expect("it answers");
    assert!(rows.iter().any(|r| r.member.name == "n2" && format!("{:?}", r.state) == "Left"), "{rows:?}");
}

/// A script of faults drawn from a seed; after the last one all agree.
async fn script(seed: u64, n: usize, faults: usize) {
    let mut f = Fleet::new("script", n, seed);
    let mut random = StdRng::seed_from_u64(seed);
    (0..n).for_each(|i| f.start(i));
    f.settles().await;
    for _ in 0..faults {
        let i = random.random_range(0..n);
        let runs = f.running.contains_key(&i) && !f.stopped.contains(&i);
        match random.random_range(0..6) {
            0 if runs && f.running.len() > 2 => f.kill(i),
            1 if !f.running.contains_key(&i) => f.start(i),
            2 if runs => {
                f.stop(i);
                tokio::time::sleep(ms(random.random_range(200..2500))).await;
                f.go_on(i);
            }
            3 => f.network.set(|a| a == i, |_| true, Way { cut: true, ..Way::default() }),
            4 => f.network.set(
                |_| true,
                |_| true,
                Way { loss: 0.2, doubled: 0.1, late: ms(20), ..Way::default() },
            ),
            _ => f.network.heal(),
        }
        tokio::time::sleep(ms(random.random_range(0..800))).await;
    }
    f.network.heal();
    f.settles().await;
}

#[tokio::test(flavor = "current_thread")]
async fn scripts_of_faults_by_seed_on_processes() {
    let of = |name: &str, or: u64| std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(or);
    let n = of("MICADYKE_PROCESSES", 6) as usize;
    for seed in 0..of("MICADYKE_PROCESS_SCRIPTS", 2) {
        script(seed, n, 8).await;
    }
}

/// `MICADYKE_MEASURE=60`: how long the fleet takes to settle after each fault, in periods of 100 ms, printed; else a run of
/// four that only shows that the command works.
#[tokio::test(flavor = "current_thread")]
async fn how_long_processes_take_to_settle() {
    let n: usize = std::env::var("MICADYKE_MEASURE").ok().and_then(|n| n.parse().ok()).unwrap_or(4);
    let mut f = Fleet::new("measure", n, 7);
    let mut took = Vec::new();
    let mut settle = async |f: &mut Fleet, what: &'static str| {
        let start = Instant::now();
        f.settles().await;
        took.push((what, start.elapsed().as_secs_f64()));
    };
    (0..n).for_each(|i| f.start(i));
    settle(&mut f, "started").await;
    f.kill(n / 2);
    settle(&mut f, "one killed").await;
    let many: Vec<usize> = f.running.keys().copied().filter(|i| i % 10 < 7 && n > 4).collect();
    many.iter().for_each(|i| f.kill(*i));
    settle(&mut f, "seven in ten killed").await;
    many.iter().chain(&[n / 2]).for_each(|i| f.start(*i));
    settle(&mut f, "back").await;
    f.network.set(|i| i % 2 == 0, |j| j % 2 == 1, Way { cut: true, ..Way::default() });
    f.network.set(|i| i % 2 == 1, |j| j % 2 == 0, Way { cut: true, ..Way::default() });
    tokio::time::sleep(ms(6000)).await;
    f.network.heal();
    settle(&mut f, "cut in two for 6 s").await;
    println!("{n} processes: {took:.1?}");
}

#[tokio::test(flavor = "current_thread")]
async fn people_see_the_view_and_nothing_is_opened_where_no_membership_is_named() {
    let mut f = Fleet::new("people", 3, 3);
    (0..3).for_each(|i| f.start(i));
    f.settles().await;
    let members = |extra: &[&str]| {
        let mut command = Command::new(BINARY);
        command
            .args(["members", "--at", &f.listen[1].to_string(), "--membership"])
            .arg(f.dir.join("n0.sexp"));
        let out = command.args(extra).output().expect("it runs");
        (out.status.success(), String::from_utf8(out.stdout).expect("text"))
    };
    let (found, table) = members(&[]);
    assert!(found && ["n0", "n1", "n2", "alive", "settled"].iter().all(|w| table.contains(w)), "{table}");
    let (found, json) = members(&["--json"]);
    let json: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert!(
        found
            && json["living"] == 3
            && json["settled"] == true
            && json["members"].as_array().map(Vec::len) == Some(2)
    );
    // In time each holds an equal part by lease, of one epoch.
    let start = Instant::now();
    loop {
        let (_, json) = members(&["--json"]);
        let json: serde_json::Value = serde_json::from_str(&json).expect("JSON");
        if json["part"]["members"] == 3 && json["part"]["epoch"]["leader"] == "n0" {
            break;
        }
        assert!(start.elapsed() < LIMIT, "{json}");
        tokio::time::sleep(ms(50)).await;
    }
    // Another key is another fleet: no answer.
    std::fs::write(f.dir.join("key"), "another key of some length").expect("written");
    assert!(!members(&["--wait", "500ms"]).0);

    // A node as the platform starts it has no UDP socket.
    let udp = |child: &Child| {
        let pid = child.id();
        let links = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("it lives").flatten();
        let sockets: Vec<String> = links
            .filter_map(|l| std::fs::read_link(l.path()).ok()?.to_str().map(str::to_owned))
            .filter_map(|l| Some(l.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned()))
            .collect();
        let table = std::fs::read_to_string(format!("/proc/{pid}/net/udp")).expect("a table");
        let inodes: BTreeSet<&str> = table.lines().filter_map(|l| l.split_whitespace().nth(9)).collect();
        sockets.iter().filter(|s| inodes.contains(s.as_str())).count()
    };
    assert_eq!(udp(&f.running[&0]), 1);
    f.start_plain(2);
    tokio::time::sleep(ms(500)).await;
    assert_eq!(udp(&f.plain[&2]), 0);
    // Nor a thread beside its own, nor a file: recovery keeps nothing where no store is named.
    let pid = f.plain[&2].id();
    assert_eq!(std::fs::read_dir(format!("/proc/{pid}/task")).expect("it lives").count(), 1);
    let links = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("it lives").flatten();
    let links = links.filter_map(|l| std::fs::read_link(l.path()).ok());
    let files: Vec<PathBuf> = links.filter(|l| l.starts_with("/") && !l.starts_with("/dev")).collect();
    assert_eq!(files, Vec::<PathBuf>::new());
}

/// An answer of the directory says who was asked and answered, what part of the whole it is, how old, and when it was to
/// end and why it did; and is whole just where each book is accounted for and nothing was left out.
fn says_how_it_came_about(answer: &serde_json::Value, wait: &str, most: f64) {
    let names = |what: &str| -> BTreeSet<String> {
        let list = answer[what].as_array().unwrap_or_else(|| panic!("{what} lacks in {answer}"));
        list.iter().map(|n| n.as_str().expect("a name").to_owned()).collect()
    };
    let number = |what: &str| answer[what].as_f64().unwrap_or_else(|| panic!("{what} lacks in {answer}"));
    let (asked, answered, missing) = (names("asked"), names("answered"), names("missing"));
    assert!(answered.is_subset(&asked) && missing.is_subset(&asked), "{answer}");
    assert!(missing.is_disjoint(&answered) && answer["wait"] == wait, "{answer}");
    let (covered, members) = (answer["members"][0].as_u64(), answer["members"][1].as_u64());
    let weight = covered.expect("a number") as f64 / members.expect("a number") as f64;
    assert!((number("weight") - weight).abs() < 1e-9 && number("oldest_ms") >= 0.0, "{answer}");
    assert_eq!(answer["whole"] == true, covered == members && answer["cut"] == false, "{answer}");
    assert_eq!(answer["whole"] == true, answer["sessions_at_least"].is_null(), "{answer}");
    assert_ne!(answer["whole"] == true, answer["sessions"].is_null(), "{answer}");
    // The deadline lies within the patience; how late the process is beyond it is the machine's.
    assert!((0.0..=most).contains(&number("deadline_ms")), "{answer}");
    let why = answer["why"].as_str().expect("a word");
    assert!(["covered", "all-answered", "not-worth", "patience", "given-up"].contains(&why), "{answer}");
    assert_eq!(why == "covered", answer["whole"] == true, "{answer}");
    // Who was waited for to the end is named.
    assert_eq!(matches!(why, "not-worth" | "patience"), !missing.is_empty() && why != "covered", "{answer}");
}

/// Asks the desk of this number.
fn teller(f: &Fleet) -> impl Fn(usize, [&str; 2], &[&str]) -> std::process::Output {
    |at, what, extra| {
        let mut command = Command::new(BINARY);
        command.arg("ask").args(what).args(["--at", &f.desks[at].to_string(), "--membership"]);
        command.arg(f.dir.join("n0.sexp")).args(extra).output().expect("it runs")
    }
}

/// Asks the first about one title.
fn asker(f: &Fleet) -> impl Fn(&[&str]) -> Told {
    |extra| {
        let out = teller(f)(0, ["title", "t1"], &[&["--json"], extra].concat());
        (out.status.code(), serde_json::from_slice(&out.stdout).unwrap_or_default())
    }
}

async fn until(
    ask: &dyn Fn(&[&str]) -> Told, done: &dyn Fn(&Told) -> bool, extra: &[&str],
) -> serde_json::Value {
    let start = Instant::now();
    loop {
        let got = ask(extra);
        if done(&got) {
            return got.1;
        }
        assert!(start.elapsed() < LIMIT, "{got:?}");
        tokio::time::sleep(ms(100)).await;
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_directory_answers_whole_and_a_withdrawal_waits_for_one_that_stands_still() {
    let mut f = Fleet::new("directory", 4, 5);
    f.desks = (0..3).map(|_| free_port()).collect();
    (0..3).for_each(|i| f.start(i));
    f.settles().await;
    let checked = |text: &str| {
        let file = f.dir.join("checked.sexp");
        std::fs::write(&file, text).expect("written");
        let out = Command::new(BINARY).arg("check").arg(file).output().expect("it runs");
        (out.status.code(), String::from_utf8_lossy(&out.stdout).into_owned())
    };
    let sound = std::fs::read_to_string(f.dir.join("n2.sexp")).expect("written");
    let (code, said) = checked(&sound);
    assert!(code == Some(0) && said.contains("seeds, a directory"), "{said}");
    assert!(said.contains("not promised: directory: what is missing is waited for 150 ms"), "{said}");
    let (code, said) = checked(&sound.replace("(zone", "(deadline (usual (price 0))) (zone"));
    assert!(code == Some(1) && said.contains("Divide the worth of a complete answer"), "{said}");
    let ask = asker(&f);
    let whole = until(&ask, &|g| g.0 == Some(0) && g.1["answer"]["whole"] == true, &[]).await;
    assert_eq!((&whole["answer"]["sessions"], &whole["answer"]["members"][1]), (&0.into(), &3.into()));
    says_how_it_came_about(&whole["answer"], "learned", 300.0);
    drop(ask);
    // One joins that keeps no directory: its book is never accounted for, so nothing is whole, however long is waited.
    f.start(3);
    f.settles().await;
    let told = teller(&f);
    for n in 0..12 {
        for (at, wait, most) in [(0, "learned", 300.0), (2, "fixed", 150.0)] {
            let out = told(at, ["title", &format!("t{n}")], &["--json"]);
            let answer: serde_json::Value = serde_json::from_slice(&out.stdout).expect("an answer");
            let answer = &answer["answer"];
            assert_eq!((out.status.code(), &answer["whole"]), (Some(3), &false.into()), "{answer}");
            assert_eq!(answer["members"][1], 4, "{answer}");
            says_how_it_came_about(answer, wait, most);
        }
    }
    let words = told(2, ["title", "t1"], &[]);
    let text = String::from_utf8_lossy(&words.stdout).into_owned();
    assert!(text.contains(" PARTIAL: at least 0 ") && !text.contains("whole: "), "{text}");
    assert!(text.contains("the fixed deadline was") && text.contains("(weight 0."), "{text}");
    drop(told);
    f.end(3);
    let ask = asker(&f);
    until(&ask, &|g| g.0 == Some(0) && g.1["answer"]["whole"] == true, &[]).await;
    f.signal(2, "-STOP");
    let waits = |g: &Told| g.0 == Some(3) && g.1["answer"]["waits"].to_string().contains("n2");
    until(&ask, &waits, &["--withdraw", "1h"]).await;
    f.signal(2, "-CONT");
    until(&ask, &|g| g.0 == Some(0) && g.1["answer"]["ended_everywhere"] == true, &["--withdraw", "1h"])
        .await;
    let lifted = ask(&["--lift"]);
    assert_eq!(lifted.1["answer"]["lifted"], "t1", "{lifted:?}");
    // What is not withdrawn can't be lifted.
    assert_eq!(ask(&["--lift"]).0, Some(2));
}

#[tokio::test(flavor = "current_thread")]
async fn membership_switched_on_node_by_node_in_a_running_fleet() {
    let mut f = Fleet::new("mixed", 5, 4);
    (0..5).for_each(|i| f.start_plain(i));
    for i in 0..5 {
        let mut child = f.plain.remove(&i).expect("it runs");
        child.kill().expect("killed");
        child.wait().expect("ended");
        f.start(i);
        // Those that have it agree; those that do not are not there for them. The first alone says that nobody answers.
        if i > 0 {
            f.settles().await;
        }
    }
}

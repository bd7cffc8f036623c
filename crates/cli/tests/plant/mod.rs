//! A plant of processes whose power is cut: nodes with their stores, media servers, the event bus. All of them are killed for
//! real. The verdict comes from what crossed the sockets of viewers and servers, and from what the processes answer.

use crate::platform::*;
pub mod fronts;

use micadyke_isup::kind;
use micadyke_membership::frame::FrameCodec;
use micadyke_membership::shell::fetch_view;
use micadyke_standin::platform::{Bears, Record, Seen, killed, pushed_over, verdict};
use micadyke_standin::platform_net::Scene;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tokio::task::{JoinHandle, spawn_local};

/// Ample: a whole recovery by its limits takes 38 s at the most, and a tenth of that where all return.
pub const LIMIT: Duration = Duration::from_secs(90);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A process of the program beside the nodes; a test that fails leaves none behind, and a stand-in ends by itself.
pub struct Process(pub Child);

impl Process {
    pub fn start<S: AsRef<std::ffi::OsStr>>(args: impl IntoIterator<Item = S>) -> Self {
        let mut command = Command::new(BINARY);
        command.args(args).stdout(Stdio::null()).stderr(Stdio::null());
        Process(command.spawn().expect("it starts"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

/// A media server: its id, where it listens, and its process while it has power.
pub struct Server {
    pub id: String,
    pub at: SocketAddr,
    seen: PathBuf,
    process: Option<Process>,
}

pub struct Plant {
    pub tag: String,
    dir: PathBuf,
    pub scene: Scene,
    pub servers: Vec<Server>,
    bus: Option<Process>,
    pub bus_at: SocketAddr,
    /// Events of the bus; its file holds the same.
    events: Vec<String>,
    /// Servers that the bus said are to be left alone.
    drained: BTreeSet<String>,
    listen: Vec<SocketAddr>,
    pub members: Vec<SocketAddr>,
    pub nodes: BTreeMap<usize, Running>,
    /// What each node is started under.
    pub under: BTreeMap<usize, Under>,
    /// Nodes run with their stores; without, to see the checks fail.
    pub stores: bool,
    seal: FrameCodec,
    pub random: StdRng,
    session: u64,
    /// What killed servers could not write down.
    unsaid: Record,
    /// What its servers bear while they are cold.
    pub bears: Bears,
    /// While the bus had no power: from, until.
    pub without_bus: Vec<(u64, u64)>,
}

impl Drop for Plant {
    fn drop(&mut self) {
        self.nodes.clear();
        self.bus = None;
        self.servers.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Plant {
    /// A plant in service. Its first server drains from the start, by an event that no node was handed over at its start.
    pub async fn new(tag: &str, seed: u64, (nodes, servers): (usize, usize), stores: bool) -> Self {
        let dir = std::env::temp_dir().join(format!("micadyke-plant-{tag}-{seed}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).expect("a folder");
        let server = |n: usize| {
            let id = char::from(b'a' + n as u8).to_string();
            Server { at: free_port(), seen: dir.join(format!("{id}.seen")), process: None, id }
        };
        let mut plant = Plant {
            tag: format!("{tag}-{seed}"),
            scene: Scene::default(),
            servers: (0..servers).map(server).collect(),
            bus: None,
            bus_at: free_port(),
            events: Vec::new(),
            drained: BTreeSet::new(),
            listen: (0..nodes).map(|_| free_port()).collect(),
            members: (0..nodes).map(|_| free_port()).collect(),
            nodes: BTreeMap::new(),
            under: BTreeMap::new(),
            stores,
            seal: FrameCodec::new("t", b"a key of the test's own").expect("long enough"),
            random: StdRng::seed_from_u64(seed),
            session: 0,
            unsaid: Record::new(),
            without_bus: Vec::new(),
            // As the settings of the nodes say.
            bears: Bears {
                places: 400.0,
                cold_for: 1000 * MS,
                cold_from: 0.5,
                multiple: 3.0,
                window: 1000 * MS,
            },
            dir,
        };
        plant.servers_up();
        plant.bus_begins_anew();
        (0..nodes).for_each(|i| plant.start(i));
        plant.in_service().await;
        let first = plant.servers[0].id.clone();
        plant.drain(&first).await;
        plant
    }

    pub fn store(&self, i: usize) -> PathBuf {
        self.dir.join(format!("n{i}.store"))
    }

    pub fn log(&self, i: usize) -> PathBuf {
        self.dir.join(format!("n{i}.log"))
    }

    fn row(&self, server: &Server) -> String {
        let state = if self.drained.contains(&server.id) { "draining" } else { "up" };
        row_of(&server.id, server.at, state)
    }

    /// Starts a node; the list that is handed over is the bus's first event.
    pub fn start(&mut self, i: usize) {
        let (at, seeds) = (self.members[i], (self.members[0], self.members[1]));
        let text = format!(
            "(name \"n{i}\") (listen \"{at}\") (seeds \"{}\" \"{}\") (expected {}) (shares (lease 600ms))",
            seeds.0,
            seeds.1,
            self.members.len()
        );
        let (name, store) = (format!("{}-{i}", self.tag), self.store(i));
        let store = self.stores.then_some(store.as_path());
        let mut under = self.under.get(&i).cloned().unwrap_or_default();
        under.log = Some(self.log(i));
        let rows = self.events[0].split_once(' ').expect("an event").1;
        let node = start_under(&name, self.listen[i], self.bus_at, rows, Some(&text), store, &under);
        self.nodes.insert(i, node);
    }

    pub fn all(&self) -> Vec<usize> {
        (0..self.members.len()).collect()
    }

    /// Copies of the stores as they are.
    pub fn disks(&self) -> BTreeMap<usize, Vec<u8>> {
        self.all().into_iter().filter_map(|i| Some((i, std::fs::read(self.store(i)).ok()?))).collect()
    }

    pub fn put_back(&self, disks: &BTreeMap<usize, Vec<u8>>) {
        disks.iter().for_each(|(i, bytes)| std::fs::write(self.store(*i), bytes).expect("written"));
    }

    /// The power of these nodes is cut, all at once.
    pub fn kill(&mut self, nodes: &[usize]) {
        for i in nodes {
            self.nodes.get_mut(i).into_iter().for_each(|n| drop(n.child.kill()));
        }
        nodes.iter().for_each(|i| drop(self.nodes.remove(i)));
    }

    /// What is on these nodes' disks after a cut is drawn: as it was, an older copy, torn, nothing.
    pub fn draw_disks(&mut self, nodes: &[usize], older: &BTreeMap<usize, Vec<u8>>) {
        for i in nodes.iter().filter(|_| self.stores) {
            let path = self.store(*i);
            draw_disk(&mut self.random, &path, older.get(i));
        }
    }

    pub fn servers_down(&mut self) {
        let now = self.scene.now();
        for n in 0..self.servers.len() {
            if self.servers[n].process.take().is_some() {
                let record = self.record();
                // Nobody can have known of the kill before it, and the server's last word came before its end.
                let last =
                    Scene::read_file(&self.servers[n].seen).expect("a record").last().map_or(0, |r| r.0);
                self.unsaid.extend(killed(&record, &self.servers[n].id, now.max(last)));
            }
        }
    }

    pub fn servers_up(&mut self) {
        for s in self.servers.iter_mut().filter(|s| s.process.is_none()) {
            let (at, seen) = (s.at.to_string(), s.seen.display().to_string());
            let args = ["standin", "--platform-server", &s.id, "--listen", &at, "--seen", &seen];
            s.process = Some(Process::start(args));
        }
    }

    fn events_file(&self) -> PathBuf {
        self.dir.join("bus.events")
    }

    fn tell(&mut self, event: String) {
        let file = std::fs::File::options().append(true).create(true).open(self.events_file());
        file.and_then(|mut f| writeln!(f, "{event}")).expect("written");
        self.events.push(event);
    }

    /// The bus tells that a server drains; it is noted as told when that has reached the nodes in all likelihood.
    pub async fn drain(&mut self, id: &str) {
        self.drained.insert(id.to_owned());
        let at = self.servers.iter().position(|s| s.id == id).expect("a server");
        self.tell(format!("part {}", self.row(&self.servers[at])));
        tokio::time::sleep(ms(100)).await;
        self.scene.note(Seen::Told { server: id.to_owned() });
    }

    /// A server is gone for good; another one, of a new id, listens where it did.
    pub fn replaced(&mut self, n: usize, id: &str) {
        let (at, process) = (self.servers[n].at, self.servers[n].process.take());
        assert!(process.is_none(), "it has no power");
        let gone = row_of(&self.servers[n].id, at, "removed");
        self.servers[n] = Server { id: id.into(), at, seen: self.dir.join(format!("{id}.seen")), process };
        self.tell(format!("part {gone},{}", self.row(&self.servers[n])));
    }

    pub fn bus_down(&mut self) {
        if self.bus.take().is_some() {
            self.without_bus.push((self.scene.now(), u64::MAX));
        }
    }

    pub fn bus_up(&mut self) {
        let now = self.scene.now();
        self.without_bus.last_mut().into_iter().for_each(|w| w.1 = w.1.min(now));
        let (at, file) = (self.bus_at.to_string(), self.events_file().display().to_string());
        self.bus = Some(Process::start(["standin", "--platform-bus", &file, "--listen", &at]));
    }

    /// The bus has forgotten all of its events: the first one holds what it was told when the platform began.
    pub fn bus_begins_anew(&mut self) {
        let _ = std::fs::remove_file(self.events_file());
        let first = self.events.first().cloned().unwrap_or_else(|| {
            let rows: Vec<String> = self.servers.iter().map(|s| self.row(s)).collect();
            format!("full {}", rows.join(","))
        });
        self.events.clear();
        self.tell(first);
        self.bus_up();
    }

    /// Everything loses power.
    pub fn all_down(&mut self) {
        self.kill(&self.all());
        // What nodes had written to them is read by nobody then, or before the bus is gone.
        self.servers_down();
        self.bus_down();
    }

    /// Each node that runs passes the platform's test.
    pub async fn in_service(&self) {
        let start = Instant::now();
        for (i, node) in &self.nodes {
            loop {
                let mut v = Viewer::connect(node.listen).await;
                if v.test().await == Some(1) {
                    break;
                }
                assert!(start.elapsed() < LIMIT, "{}: n{i} never gets into service", self.tag);
                tokio::time::sleep(ms(20)).await;
            }
        }
    }

    /// All that run see each other, and nobody else, under one start each.
    pub async fn agree(&self) {
        let start = Instant::now();
        while let Some(why) = self.differ().await {
            assert!(start.elapsed() < LIMIT, "{}: {why}", self.tag);
            tokio::time::sleep(ms(50)).await;
        }
    }

    async fn differ(&self) -> Option<String> {
        let truth: BTreeSet<String> = self.nodes.keys().map(|i| format!("n{i}")).collect();
        let (mut digests, mut starts) = (BTreeSet::new(), BTreeSet::new());
        for i in self.nodes.keys() {
            let (summary, rows) = match fetch_view(self.members[*i], &self.seal, ms(2000)).await {
                Ok(seen) => seen,
                Err(e) => return Some(format!("n{i} does not answer: {e}")),
            };
            let alive = rows.iter().filter(|r| format!("{:?}", r.state) == "Alive").map(|r| &r.member);
            let alive: Vec<_> = alive.chain([&summary.me]).collect();
            let seen: BTreeSet<String> = alive.iter().map(|m| m.name.clone()).collect();
            starts.extend(alive.iter().map(|m| (m.name.clone(), m.start)));
            if seen != truth || summary.unsettled.is_some() {
                return Some(format!("n{i} sees {seen:?}: {:?}", summary.unsettled));
            }
            digests.insert(summary.digest);
        }
        let one = digests.len() == 1 && starts.len() == truth.len();
        (!one).then(|| format!("{} digests, starts {starts:?}", digests.len()))
    }

    /// Viewers at every node that runs, one after the other; how many came to play.
    pub async fn crowd(&mut self, times: u64) -> usize {
        let mut played = 0;
        let listen: Vec<SocketAddr> = self.nodes.values().map(|n| n.listen).collect();
        for at in listen {
            let mut v = Viewer::connect(at).await;
            v.titles = true;
            for _ in 0..times {
                self.session += 1;
                let class = if self.session.is_multiple_of(3) { "paid" } else { "free" };
                played += usize::from(v.ask(&self.scene, self.session, class).await.kind == kind::ANSWER);
            }
            // Its sessions end with its node's process at the latest; they are not looked after further.
            std::mem::forget(v);
        }
        played
    }

    /// Viewers at every node that runs, all at once, who don't wait for one answer before they ask for the next session.
    /// Whose node is gone gives up. How many come to play.
    pub async fn burst(&mut self, times: u64) -> Vec<JoinHandle<usize>> {
        let mut out = Vec::new();
        let listen: Vec<SocketAddr> = self.nodes.values().map(|n| n.listen).collect();
        for at in listen {
            let mut v = Viewer::connect(at).await;
            v.titles = true;
            let ids: BTreeSet<u64> = (1..=times).map(|n| self.session + n).collect();
            self.session += times;
            for id in &ids {
                let (class, paid) = if id % 3 == 0 { ("paid", true) } else { ("free", false) };
                self.scene.note(Seen::Asked { id: *id, patience: 4000 * MS, paid, floor: usize::from(paid) });
                v.wish(*id, class).await;
            }
            out.push(spawn_local(answered(v, ids, self.scene.clone())));
        }
        out
    }

    /// Full service again: all are in service, see each other, and whoever asks plays.
    pub async fn whole(&mut self) {
        let stands = self.servers.iter_mut().filter_map(|s| s.process.as_mut()).chain(self.bus.as_mut());
        for p in stands {
            assert!(p.0.try_wait().is_ok_and(|ended| ended.is_none()), "a stand-in ended by itself");
        }
        self.in_service().await;
        self.agree().await;
        let (start, all) = (Instant::now(), 3 * self.nodes.len());
        loop {
            let played = self.crowd(3).await;
            if played == all {
                return;
            }
            assert!(start.elapsed() < LIMIT, "{}: {played} of {all} play", self.tag);
            tokio::time::sleep(ms(100)).await;
        }
    }

    /// What all saw, in the order of time.
    pub fn record(&self) -> Record {
        let mut record = self.scene.record.borrow().clone();
        let files = std::fs::read_dir(&self.dir).expect("the folder").map(|f| f.expect("a file").path());
        for file in files.filter(|f| f.extension().is_some_and(|e| e == "seen")) {
            record.extend(Scene::read_file(&file).expect("a record"));
        }
        record.extend(self.unsaid.iter().cloned());
        record.sort_by_key(|r| r.0);
        record
    }

    /// Rules broken, and set-ups that reached servers before the bus was back; but for releases that a node without power
    /// could not hand on.
    pub fn broken(&self) -> Vec<String> {
        let record = self.record();
        let broken = verdict(&record, self.scene.now());
        let mut broken: Vec<String> = broken.into_iter().filter(|b| !b.contains("not released")).collect();
        broken.extend(pushed_over(&record, &self.bears));
        if !self.dark().is_empty() {
            broken.push(format!("sent while the bus had no power: {:?}", self.dark()));
        }
        broken
    }

    /// Set-ups that reached servers while the bus had no power.
    pub fn dark(&self) -> Vec<u64> {
        let dark = |at: u64| self.without_bus.iter().any(|(from, until)| at > *from && at < *until);
        let sent = self.record().into_iter().filter(|r| dark(r.0));
        sent.filter_map(|r| if let Seen::Sent { id, .. } = r.1 { Some(id) } else { None }).collect()
    }

    /// Nodes that waited for the view until its limit.
    pub fn waited(&self) -> Vec<usize> {
        let waited = |i: &usize| {
            let log = std::fs::read_to_string(self.log(*i)).unwrap_or_default();
            log.lines().any(|l| l.contains("\"phase\":\"Servers\"") && l.contains("\"limited\":true"))
        };
        self.all().into_iter().filter(waited).collect()
    }

    /// The phase that a node last told of since it started, in the log's words; `None`: it has not begun, or is through.
    pub fn phase(&self, i: usize) -> Option<String> {
        let log = std::fs::read_to_string(self.log(i)).ok()?;
        let log = &log[log.rfind("recovery begins")?..];
        if log.contains("recovery is over") {
            return None;
        }
        let told = log.rfind("\"phase\":\"").map(|at| &log[at + 9..]);
        Some(told.map_or("List", |t| t.split('"').next().unwrap_or_default()).to_owned())
    }
}

/// Reads what a viewer is owed; how many of its sessions came to play.
async fn answered(mut v: Viewer, mut owed: BTreeSet<u64>, scene: Scene) -> usize {
    let mut played = 0;
    while !owed.is_empty() {
        // Beyond what anybody's patience allows: the verdict names who was not answered.
        let Ok(m) = tokio::time::timeout(ms(8000), v.next()).await else { break };
        let Some(m) = m else {
            owed.iter().for_each(|id| scene.note(Seen::GaveUp { id: *id }));
            break;
        };
        let id = m.session;
        if owed.remove(&id) {
            played += usize::from(m.kind == kind::ANSWER);
            v.answered(&scene, &m);
        } else {
            scene.note(Seen::Released { id });
        }
    }
    std::mem::forget(v);
    played
}

/// How many sessions of a burst came to play.
pub async fn answers(out: Vec<JoinHandle<usize>>) -> usize {
    let mut played = 0;
    for viewer in out {
        played += viewer.await.expect("a viewer");
    }
    played
}

/// What is on a disk after a cut is drawn.
pub fn draw_disk(random: &mut StdRng, path: &Path, older: Option<&Vec<u8>>) {
    match (random.random_range(0..4), older) {
        (0, _) => {}
        (1, Some(older)) => std::fs::write(path, older).expect("written"),
        (2, _) => {
            let bytes = std::fs::read(path).unwrap_or_default();
            let torn = random.random_range(0..bytes.len().max(1));
            std::fs::write(path, &bytes[..torn]).expect("written");
        }
        _ => drop(std::fs::remove_file(path)),
    }
}

fn row_of(id: &str, addr: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{addr}","zone":"z","kind":"k","cell":0,"state":"{state}","weight":1,"started_ms":0}}"#
    )
}

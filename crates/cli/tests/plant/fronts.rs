//! Two fronts and their issuer of seats as processes with stores, beside boxes of this process, which keep their power: what
//! they saw tells whether seats were ever exceeded.

use super::{LIMIT, Process, draw_disk, ms};
use crate::platform::free_port;
use micadyke_config::{BoxRow, Config, read_config, write_boxes};
use micadyke_rehearse::check::{Terms, check};
use micadyke_standin::media_box::{Fleet, Habits};
use micadyke_standin::model::World;
use micadyke_standin::offers::offer;
use micadyke_standin::record::{Deed, Record};
use micadyke_standin::viewer::{Outcome, Wish, ask, end};
use micadyke_tokens::bound::SharedKey;
use rand::Rng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

const SEATS: u32 = 6;
const FRONTS: usize = 2;
/// Boxes end a session whose event stream is closed for so long, in nanoseconds.
const REAP: u64 = 500_000_000;
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
          (stop 400ms) (retry 50ms) (keep 200ms) (settle 500ms) (leases 100)\n\
          (bound (path \"/leases\") (key \"k\" (file \"bound.key\"))))\n\
         (route \"/spot/\" (kind whep) (class spot))\n(title t (from-cell 0) (cells 2))\n"
    )
}

pub struct Fronts {
    dir: PathBuf,
    config: Config,
    record: Rc<Record>,
    _boxes: Fleet,
    issuer_at: SocketAddr,
    at: Vec<SocketAddr>,
    processes: Vec<Process>,
    viewer: u64,
    /// Former contents of their stores, to be put back after a cut.
    older: BTreeMap<PathBuf, Vec<u8>>,
}

impl Drop for Fronts {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Fronts {
    pub async fn new(tag: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("micadyke-plant-{tag}-fronts-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).expect("a folder");
        let issuer_at = free_port();
        let config = read_config(&settings(0, issuer_at), "s").unwrap_or_else(|e| panic!("{e:?}"));
        let mut rows = BoxRow::on_loopback(2);
        let record = Record::new();
        let boxes = Fleet::new(World::of(&config, &rows, REAP), Habits::default(), record.clone(), 5);
        boxes.guarded("/leases", SharedKey::new("k", SECRET).expect("a secret"));
        boxes.open_all(&mut rows).await.expect("boxes");
        std::fs::write(dir.join("boxes.sexp"), write_boxes(&rows, &config)).expect("written");
        std::fs::write(dir.join("bound.key"), SECRET).expect("written");
        for n in 0..FRONTS {
            std::fs::write(dir.join(format!("front-{n}.sexp")), settings(n, issuer_at)).expect("written");
        }
        let at = (0..FRONTS).map(|_| free_port()).collect();
        let (processes, older) = (Vec::new(), BTreeMap::new());
        let mut fronts =
            Fronts { dir, config, record, _boxes: boxes, issuer_at, at, processes, viewer: 0, older };
        fronts.up();
        fronts
    }

    fn store(&self, name: &str) -> PathBuf {
        self.dir.join(format!("{name}.store"))
    }

    /// The issuer and all fronts start.
    pub fn up(&mut self) {
        let text = |p: &Path| p.display().to_string();
        let (at, store) = (self.issuer_at.to_string(), text(&self.store("issuer")));
        let issuer = ["issuer", "--listen", &at, "--seats", "spot=6", "--ttl", "2s", "--store", &store];
        self.processes.push(Process::start(issuer));
        for (n, at) in self.at.iter().enumerate() {
            let (config, store) =
                (text(&self.dir.join(format!("front-{n}.sexp"))), text(&self.store(&format!("f{n}"))));
            let (at, args) = (at.to_string(), ["front", "--log-level", "error", "--config", &config]);
            self.processes.push(Process::start(args.into_iter().chain(["--listen", &at, "--store", &store])));
        }
    }

    /// Their power is cut, with sessions that play, and what is on the fronts' disks is drawn; the issuer's stays, or is an
    /// older copy.
    pub async fn down(&mut self, random: &mut StdRng) {
        let names: Vec<PathBuf> = ["issuer", "f0", "f1"].map(|n| self.store(n)).into();
        let before: BTreeMap<PathBuf, Vec<u8>> =
            names.iter().filter_map(|p| Some((p.clone(), std::fs::read(p).ok()?))).collect();
        self.play(2, false).await;
        (0..FRONTS).for_each(|n| self.record.deed(Deed::Killed { front: n as u32 }));
        self.processes.iter_mut().for_each(|p| drop(p.0.kill()));
        self.processes.clear();
        for path in &names[1..] {
            draw_disk(random, path, self.older.get(path));
        }
        if let Some(older) = self.older.get(&names[0]).filter(|_| random.random()) {
            std::fs::write(&names[0], older).expect("written");
        }
        self.older = before;
    }

    /// So many sessions at each front, until they play; where they are to end they do at once.
    pub async fn play(&mut self, times: usize, ends: bool) {
        let start = Instant::now();
        for (n, at) in self.at.clone().into_iter().enumerate() {
            for _ in 0..times {
                loop {
                    self.viewer += 1;
                    let patience = Duration::from_secs(3);
                    let offer = offer(false, self.viewer, self.viewer, None);
                    let wish = Wish { path: "/spot/t".into(), offer, patience, bearer: None };
                    if let (Outcome::Plays(s), _) = ask(n as u32, at, &wish, &self.record).await {
                        if ends {
                            end(n as u32, at, &s.location, &self.record).await;
                        }
                        break;
                    }
                    assert!(start.elapsed() < LIMIT, "front {n} never plays again");
                    tokio::time::sleep(ms(50)).await;
                }
            }
        }
    }

    /// Rules broken, by the traffic.
    pub fn broken(&self) -> Vec<String> {
        let places = BTreeMap::from([(1, 500), (2, 500)]);
        let terms = Terms { config: &self.config, places: &places, seats: Some(SEATS) };
        let verdict = check(&self.record.entries(), &self.record.deeds(), &terms);
        if verdict.kept() { Vec::new() } else { vec![verdict.to_string()] }
    }
}

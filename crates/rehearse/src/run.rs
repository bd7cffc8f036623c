//! Plays a scenario: fronts on threads of their own, boxes and viewers on this one, all over loopback sockets.

use crate::check::{Terms, Verdict, check};
use crate::sabotage::{Break, broken};
use crate::scenario::{Kind, Scenario, Trouble};
use micadyke::interface::ServerState;
use micadyke_config::{BoxRow, Config, RouteKind, Title, write_boxes};
use micadyke_front::Front;
use micadyke_front::list::WatchedFile;
use micadyke_front::shell::{Extras, serve};
use micadyke_recovery::writer::StoreWriter;
use micadyke_standin::issuer::Issuer;
use micadyke_standin::link::Link;
use micadyke_standin::media_box::{Fleet, Habits};
use micadyke_standin::model::World;
use micadyke_standin::offers::offer;
use micadyke_standin::player::{self, Player, Teller};
use micadyke_standin::record::{Deed, Entry, Record};
use micadyke_standin::viewer::{Outcome, Session, Wish, ask, end};
use micadyke_tokens::bound::SharedKey;
use micadyke_tokens::ledger::Terms as SeatTerms;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use rustix::process::{Pid, Signal, kill_process};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Stdio};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// Why a scenario could not be played.
#[derive(Debug)]
pub struct CannotRun(pub String);

impl std::fmt::Display for CannotRun {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for CannotRun {}

/// What became of the viewers' requests.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Tally {
    /// Requests sent.
    pub asked: u64,
    /// That came to play.
    pub played: u64,
    /// That were refused.
    pub refused: u64,
    /// That failed, or were turned down.
    pub failed: u64,
    /// That found no front, or lost theirs.
    pub missed: u64,
    /// That left before their answer.
    pub left: u64,
    /// Worth earned by the sessions that played over what they would earn at the top rung, undisturbed.
    pub quality: f64,
    /// Times from request to answer of those that came to play, at the middle and at the 99th of a hundred, in
    /// milliseconds.
    pub waits: (f64, f64),
}

/// What a run came to.
#[derive(Debug)]
pub struct Ran {
    /// The verdict on the rules.
    pub verdict: Verdict,
    /// What became of the requests.
    pub tally: Tally,
    /// The record.
    pub entries: Vec<Entry>,
    /// What was done to the world.
    pub deeds: Vec<(u64, Deed)>,
}

pub(crate) enum Command {
    Kill,
    Stop,
    Stall(Duration),
}

/// A front: a thread of this process, or a process of its own.
pub(crate) enum RunningFront {
    Thread(mpsc::UnboundedSender<Command>, std::thread::JoinHandle<()>),
    Process(Child),
}

impl RunningFront {
    fn over(&mut self) -> bool {
        match self {
            RunningFront::Thread(_, thread) => thread.is_finished(),
            RunningFront::Process(child) => !matches!(child.try_wait(), Ok(None)),
        }
    }

    fn send(&mut self, command: Command) {
        match self {
            RunningFront::Thread(commands, _) => drop(commands.send(command)),
            RunningFront::Process(child) => match command {
                Command::Kill => drop(child.kill()),
                Command::Stop => signal(child.id(), Signal::TERM),
                Command::Stall(length) => {
                    let id = child.id();
                    signal(id, Signal::STOP);
                    spawn_local(async move {
                        sleep(length).await;
                        signal(id, Signal::CONT);
                    });
                }
            },
        }
    }

    /// Ends it, and waits for that.
    pub(crate) fn end(mut self) -> Result<(), CannotRun> {
        self.send(Command::Kill);
        match self {
            RunningFront::Thread(_, thread) => {
                thread.join().map_err(|_| CannotRun("a front broke down".into()))
            }
            RunningFront::Process(mut child) => child.wait().map(drop).map_err(|e| CannotRun(e.to_string())),
        }
    }
}

/// Sends a signal to a front's process; one that is gone hears nothing.
fn signal(id: u32, signal: Signal) {
    if let Some(pid) = i32::try_from(id).ok().and_then(Pid::from_raw) {
        let _ = kill_process(pid, signal);
    }
}

/// How fronts are started as processes: the program, and the scenario's file that they read again.
#[derive(Debug, Clone)]
pub struct Program {
    /// The program `micadyke`.
    pub exe: PathBuf,
    /// The scenario's file.
    pub scenario: PathBuf,
}

/// What a front's process is told on its command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Post {
    /// Its number.
    pub front: u32,
    /// Where it listens.
    pub listen: SocketAddr,
    /// The issuer's address, where there is one.
    pub issuer: Option<SocketAddr>,
    /// The folder with its list of boxes, its log of seats and the secret shared with boxes.
    pub dir: PathBuf,
    /// How it is broken.
    pub how: Option<Break>,
}

/// File with the secret shared with boxes, in a rehearsal's folder.
const SECRET: &str = "bound.key";

/// Runs one front of a scenario, in a process of its own, until it is ended or `stop` resolves.
pub async fn front(
    scenario: &Scenario, mut config: Config, post: Post, stop: impl Future<Output = ()>,
) -> Result<(), CannotRun> {
    prepare(scenario, &mut config, &mut StdRng::seed_from_u64(scenario.seed));
    if let (Some(i), Some(at)) = (config.issuer.as_mut(), post.issuer) {
        i.address = at;
    }
    place(&mut config, post.front);
    let listener = tokio::net::TcpListener::bind(post.listen).await;
    let listener = listener.map_err(|e| CannotRun(format!("cannot listen on {}: {e}", post.listen)))?;
    serve_front(listener, config, &post.dir, post.front, post.how, rand::random(), stop).await;
    Ok(())
}

/// The settings that all fronts of a scenario share.
fn prepare(scenario: &Scenario, config: &mut Config, random: &mut StdRng) {
    let s = &mut config.settings;
    (s.cells, s.fronts) = (scenario.boxes, scenario.fronts);
    for n in 0..scenario.titles {
        let base = random.random_range(0..scenario.boxes);
        config.titles.insert(format!("title-{n}"), Title { base, spread: scenario.copies });
    }
}

/// The settings of one front.
fn place(config: &mut Config, n: u32) {
    config.name = format!("front-{n}");
    config.settings.zone = n % config.zones.len() as u32;
}

pub(crate) fn list_file(dir: &Path, n: u32) -> PathBuf {
    dir.join(format!("boxes-{n}.sexp"))
}

/// A front on a listener, by what lies in the rehearsal's folder.
async fn serve_front(
    listener: tokio::net::TcpListener, config: Config, dir: &Path, n: u32, how: Option<Break>, seed: u64,
    stop: impl Future<Output = ()>,
) {
    let config = Rc::new(config);
    let source = Box::new(WatchedFile::new(list_file(dir, n), config.clone()));
    let mut key = [0u8; 32];
    StdRng::seed_from_u64(seed).fill(&mut key[..]);
    let made = config.clone();
    let front = move |now| match how {
        None => Front::new(made, key, now).expect("settings were checked"),
        Some(how) => broken(&made, how, key, now),
    };
    let log = config.issuer.as_ref().map(|_| dir.join(format!("seats-{n}.log")));
    let seats = log.and_then(|l| {
        let opened = micadyke_front::keeping::open(&l).ok()?;
        Some((opened.seats, Rc::new(StoreWriter::start(opened.store))))
    });
    let bound = config.issuer.as_ref().and_then(|i| i.bound.as_ref()).filter(|_| how != Some(Break::Bound));
    let bound = bound.and_then(|b| SharedKey::new(&b.key_id, &std::fs::read(dir.join(SECRET)).ok()?));
    let extras = Extras { seats, bound, ..Extras::default() };
    serve(listener, front, config, source, extras, stop).await;
}

/// Starts a front as a process of its own.
fn spawn(program: &Program, post: &Post) -> Result<RunningFront, CannotRun> {
    let mut command = std::process::Command::new(&program.exe);
    command.args(["rehearsed-front", "--log-level", "error", "--scenario"]).arg(&program.scenario);
    command.args(["--front", &post.front.to_string(), "--listen", &post.listen.to_string(), "--dir"]);
    command.arg(&post.dir);
    if let Some(at) = post.issuer {
        command.args(["--issuer", &at.to_string()]);
    }
    if let Some(how) = post.how {
        command.args(["--break", &format!("{how:?}").to_lowercase()]);
    }
    let child = command.stdin(Stdio::null()).stdout(Stdio::null()).spawn();
    child.map(RunningFront::Process).map_err(|e| CannotRun(format!("{}: {e}", program.exe.display())))
}

/// Starts a front on a thread of its own.
pub(crate) fn start(
    n: u32, listener: TcpListener, config: Config, dir: PathBuf, how: Option<Break>, seed: u64,
) -> Result<RunningFront, CannotRun> {
    let (commands, mut taken) = mpsc::unbounded_channel();
    listener.set_nonblocking(true).map_err(|e| CannotRun(e.to_string()))?;
    let body = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime else { return };
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, async move {
            let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
            let (stop, stopped) = oneshot::channel::<()>();
            let mut stop = Some(stop);
            let mut serving = spawn_local(async move {
                let stopped = async {
                    let _ = stopped.await;
                };
                serve_front(listener, config, &dir, n, how, seed, stopped).await;
            });
            loop {
                tokio::select! {
                    _ = &mut serving => return,
                    command = taken.recv() => match command {
                        Some(Command::Stall(length)) => std::thread::sleep(length),
                        Some(Command::Stop) => drop(stop.take().map(|s| s.send(()))),
                        Some(Command::Kill) | None => return,
                    },
                }
            }
        });
        // Dropping the tasks closes every socket at once, as the end of a process does.
        drop(local);
        runtime.shutdown_background();
    };
    let thread = std::thread::Builder::new().name(format!("front-{n}")).spawn(body);
    Ok(RunningFront::Thread(commands, thread.map_err(|e| CannotRun(e.to_string()))?))
}

struct Stage {
    scenario: Scenario,
    config: Config,
    record: Rc<Record>,
    fleet: Fleet,
    issuer: Option<Issuer>,
    how: Option<Break>,
    dir: PathBuf,
    program: Option<Program>,
    /// The ways between fronts and boxes, where troubles befall them.
    links: BTreeMap<(u32, u32), Link>,
    rows: RefCell<Vec<BoxRow>>,
    list_version: Cell<u64>,
    written: RefCell<Vec<u64>>,
    list_out_until: Cell<Option<Instant>>,
    list_behind: Cell<Duration>,
    fronts: RefCell<Vec<Option<RunningFront>>>,
    front_addrs: Vec<SocketAddr>,
    start: Instant,
    tally: RefCell<Tally>,
    waits: RefCell<Vec<f64>>,
    next_attempt: Cell<u64>,
    worth: Cell<(f64, f64)>,
}

pub(crate) fn unix() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64
}

/// Plays a scenario with the fronts' settings; `how`: with fronts that are broken so. The fronts are threads.
pub fn play(scenario: &Scenario, config: &Config, how: Option<Break>) -> Result<Ran, CannotRun> {
    play_with(scenario, config, how, None)
}

/// Plays a scenario; where it wants fronts as processes, `program` says how they are started.
pub fn play_with(
    scenario: &Scenario, config: &Config, how: Option<Break>, program: Option<Program>,
) -> Result<Ran, CannotRun> {
    if scenario.processes && program.is_none() {
        return Err(CannotRun("the scenario wants fronts as processes, and no program is named".into()));
    }
    let program = program.filter(|_| scenario.processes);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| CannotRun(e.to_string()))?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, stage(scenario.clone(), config.clone(), how, program))
}

/// A folder of its own for the lists, removed when the run is over.
pub(crate) struct Folder(pub(crate) PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

async fn stage(
    scenario: Scenario, mut config: Config, how: Option<Break>, program: Option<Program>,
) -> Result<Ran, CannotRun> {
    let fail = |what: &str| CannotRun(what.to_owned());
    let mut random = StdRng::seed_from_u64(scenario.seed);
    prepare(&scenario, &mut config, &mut random);
    let s = &config.settings;
    let mut rows = BoxRow::on_loopback(scenario.boxes);
    rows.iter_mut().for_each(|r| r.zone = r.cell % config.zones.len() as u32);
    let places = rows.iter().map(|r| (r.id, s.streams_by_kind[r.kind])).collect();
    let world = World::of(&config, &rows, scenario.reap.as_nanos() as u64);
    let record = Record::new();
    let habits = Habits {
        set_up: scenario.set_up,
        notes_late: Duration::from_nanos(s.report_delay).saturating_sub(Duration::from_millis(20)),
        report_every: Duration::from_nanos(s.report_period.max(200_000_000)),
        ..Habits::default()
    };
    let fleet = Fleet::new(world, habits, record.clone(), scenario.seed);
    let dir = std::env::temp_dir().join(format!("micadyke-{}-{:x}", std::process::id(), unix()));
    std::fs::create_dir_all(&dir).map_err(|e| CannotRun(format!("{}: {e}", dir.display())))?;
    let _folder = Folder(dir.clone());
    if let Some(b) = config.issuer.as_ref().and_then(|i| i.bound.as_ref()) {
        let secret: [u8; 32] = rand::random();
        std::fs::write(dir.join(SECRET), secret).map_err(|e| CannotRun(e.to_string()))?;
        let key = SharedKey::new(&b.key_id, &secret).ok_or_else(|| fail("no secret"))?;
        fleet.guarded(&b.path, key);
    }
    fleet.open_all(&mut rows).await.map_err(|e| CannotRun(format!("boxes: {e}")))?;
    let mut links = BTreeMap::new();
    for t in &scenario.troubles {
        let Kind::HalfOpen { front, id } = t.kind else { continue };
        if let Some(row) = rows.iter().find(|r| r.id == id).filter(|_| !links.contains_key(&(front, id))) {
            let link = Link::open(row.address).await.map_err(|e| CannotRun(format!("links: {e}")))?;
            links.insert((front, id), link);
        }
    }
    let mut issuer = None;
    if let (Some((seats, ttl)), Some(told)) = (scenario.issuer, config.issuer.as_mut()) {
        let classes = config.classes.iter().filter(|c| c.tokens.is_some());
        let terms = SeatTerms {
            ttl: ttl.as_nanos() as u64,
            seats: classes.map(|c| (c.name.as_str().into(), seats)).collect(),
            most_holders: 1000,
            most_leases: 1_000_000,
        };
        // Its clock is not the fronts'.
        let made = Issuer::new(terms, 1.005, scenario.seed);
        let at = SocketAddr::from(([127, 0, 0, 1], 0));
        told.address = made.open(at).await.map_err(|e| CannotRun(format!("issuer: {e}")))?;
        issuer = Some(made);
    }
    let mut listeners = Vec::new();
    for _ in 0..scenario.fronts {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| CannotRun(e.to_string()))?;
        listeners.push(listener);
    }
    let front_addrs: Result<Vec<SocketAddr>, _> = listeners.iter().map(TcpListener::local_addr).collect();
    let stage = Rc::new(Stage {
        record: record.clone(),
        fleet,
        issuer,
        how,
        dir,
        program,
        links,
        rows: RefCell::new(rows),
        list_version: Cell::new(0),
        written: RefCell::new(vec![0; scenario.fronts as usize]),
        list_out_until: Cell::new(None),
        list_behind: Cell::new(Duration::ZERO),
        fronts: RefCell::new((0..scenario.fronts).map(|_| None).collect()),
        front_addrs: front_addrs.map_err(|e| CannotRun(e.to_string()))?,
        start: Instant::now(),
        tally: RefCell::default(),
        waits: RefCell::default(),
        next_attempt: Cell::new(0),
        worth: Cell::new((0.0, 0.0)),
        scenario,
        config,
    });
    stage.write_lists(0);
    for (n, listener) in listeners.into_iter().enumerate() {
        stage.start_front(n as u32, listener)?;
    }
    sleep(Duration::from_millis(50)).await;
    stage.wait_for_fronts().await?;
    let stage =
        Rc::new(Stage { start: Instant::now(), ..Rc::try_unwrap(stage).map_err(|_| fail("a task runs"))? });

    let counting = spawn_local(stage.clone().count_worth());
    let troubles: Vec<_> =
        stage.scenario.troubles.iter().map(|t| spawn_local(stage.clone().trouble(t.clone()))).collect();
    let arrivals = arrivals(&stage.scenario, &stage.config, &mut random);
    let mut viewers = Vec::with_capacity(arrivals.len());
    for a in arrivals {
        sleep_until(stage.start + a.at).await;
        viewers.push(spawn_local(stage.clone().viewer(a)));
    }
    for v in viewers {
        v.await.map_err(|_| fail("a viewer broke down"))?;
    }
    for t in troubles {
        t.await.map_err(|_| fail("a trouble broke down"))?;
    }
    counting.abort();
    let fronts: Vec<RunningFront> = stage.fronts.borrow_mut().iter_mut().filter_map(Option::take).collect();
    for f in fronts {
        f.end()?;
    }
    let (entries, deeds) = (record.entries(), record.deeds());
    let seats = stage.scenario.issuer.map(|i| i.0);
    let terms = Terms { config: &stage.config, places: &places, seats };
    let verdict = check(&entries, &deeds, &terms);
    let mut tally = *stage.tally.borrow();
    let (earned, wanted) = stage.worth.get();
    tally.quality = if wanted > 0.0 { earned / wanted } else { 0.0 };
    let mut waits = stage.waits.borrow_mut();
    waits.sort_by(f64::total_cmp);
    let at = |p: f64| {
        waits.get(((waits.len() as f64 * p) as usize).min(waits.len().max(1) - 1)).copied().unwrap_or(0.0)
    };
    tally.waits = (at(0.5), at(0.99));
    Ok(Ran { verdict, tally, entries, deeds })
}

/// A viewer to come.
#[derive(Debug, Clone)]
struct Arrival {
    at: Duration,
    path: String,
    front: u32,
    watch: Duration,
    limit: Option<f64>,
    withdraws: Option<Duration>,
    seed: u64,
}

fn arrivals(s: &Scenario, config: &Config, random: &mut StdRng) -> Vec<Arrival> {
    let v = &s.viewers;
    let active = |t: &Trouble, at: f64| (t.at.as_secs_f64()..(t.at + t.length).as_secs_f64()).contains(&at);
    let zipf = Zipf::new(f64::from(s.titles), v.zipf.max(0.01));
    let Ok(zipf) = zipf else { return Vec::new() };
    let play: Vec<&str> =
        config.routes.iter().filter(|r| r.kind != RouteKind::Publish).map(|r| r.prefix.as_str()).collect();
    let ladder = &config.settings.ladder;
    let (mut all, mut at) = (Vec::new(), 0.0);
    loop {
        let (mut rate, mut crowd) = (v.rate, Vec::new());
        for t in s.troubles.iter().filter(|t| active(t, at)) {
            match t.kind {
                Kind::Burst { factor } => rate *= factor,
                Kind::Crowd { title, rate } => crowd.push((title, rate)),
                _ => {}
            }
        }
        let total = rate + crowd.iter().map(|c| c.1).sum::<f64>();
        let Ok(gap) = Exp::new(total.max(1e-3)) else { return all };
        at += gap.sample(random);
        if at >= s.length.as_secs_f64() {
            return all;
        }
        let mut lot = random.random::<f64>() * total - rate;
        let mut title = zipf.sample(random) as u32 - 1;
        for (t, rate) in crowd {
            if lot >= 0.0 {
                title = t.min(s.titles - 1);
            }
            lot -= rate;
        }
        let mut pick = random.random::<f64>() * v.mix.iter().sum::<f64>();
        let route = v.mix.iter().position(|m| {
            pick -= m;
            pick < 0.0
        });
        let prefix = play.get(route.unwrap_or(0)).or(play.first()).copied().unwrap_or("/");
        let withdrawn = s.troubles.iter().filter(|t| active(t, at)).find_map(|t| match t.kind {
            Kind::Withdrawn { part } => Some(part),
            _ => None,
        });
        let withdraws = withdrawn
            .is_some_and(|p| random.random_bool(p))
            .then(|| Duration::from_micros(random.random_range(0..20_000)));
        let small = random.random_bool(v.small);
        let scale = config.settings.classes
            [config.routes.iter().find(|r| r.prefix == prefix).map_or(0, |r| r.class)]
        .scale;
        let (least, most) = v.watch;
        let media = config.routes.iter().any(|r| r.prefix == prefix && r.kind == RouteKind::Media);
        let file = match (media, random.random_bool(0.5)) {
            (false, _) => "",
            (true, true) => "/index.m3u8",
            (true, false) => "/manifest.mpd",
        };
        all.push(Arrival {
            at: Duration::from_secs_f64(at),
            path: format!("{prefix}title-{title}{file}"),
            front: random.random_range(0..s.fronts),
            watch: least + (most - least).mul_f64(random.random()),
            limit: small.then(|| ladder[ladder.len() / 2].rate * scale * 1.01),
            withdraws,
            seed: random.random(),
        });
    }
}

impl Stage {
    // ----- fronts

    fn start_front(&self, n: u32, listener: TcpListener) -> Result<(), CannotRun> {
        let mut config = self.config.clone();
        let seed = self.scenario.seed.wrapping_mul(1_000_003).wrapping_add(u64::from(n)) ^ self.record.now();
        let front = match &self.program {
            None => {
                place(&mut config, n);
                start(n, listener, config, self.dir.clone(), self.how, seed)?
            }
            Some(program) => {
                let listen = listener.local_addr().map_err(|e| CannotRun(e.to_string()))?;
                drop(listener);
                let issuer = config.issuer.as_ref().map(|i| i.address);
                let (dir, how) = (self.dir.clone(), self.how);
                spawn(program, &Post { front: n, listen, issuer, dir, how })?
            }
        };
        self.fronts.borrow_mut()[n as usize] = Some(front);
        Ok(())
    }

    /// Waits until all fronts take connections.
    async fn wait_for_fronts(&self) -> Result<(), CannotRun> {
        for addr in &self.front_addrs {
            let until = Instant::now() + Duration::from_secs(10);
            while tokio::net::TcpStream::connect(addr).await.is_err() {
                if Instant::now() > until {
                    return Err(CannotRun(format!("no front listens on {addr}")));
                }
                sleep(Duration::from_millis(10)).await;
            }
        }
        Ok(())
    }

    async fn end_front(&self, n: u32, command: Command, down: Duration) {
        let Some(mut front) = self.fronts.borrow_mut()[n as usize].take() else { return };
        front.send(command);
        let until = Instant::now() + Duration::from_secs(10);
        while !front.over() && Instant::now() < until {
            sleep(Duration::from_millis(2)).await;
        }
        sleep(down).await;
        for _ in 0..50 {
            if let Ok(listener) = TcpListener::bind(self.front_addrs[n as usize]) {
                let _ = self.start_front(n, listener);
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn command(&self, n: u32, command: Command) {
        if let Some(Some(front)) = self.fronts.borrow_mut().get_mut(n as usize) {
            front.send(command);
        }
    }

    // ----- the list

    fn set_row(self: &Rc<Self>, id: u32, with: impl FnOnce(&mut BoxRow)) {
        if let Some(row) = self.rows.borrow_mut().iter_mut().find(|r| r.id == id) {
            with(row);
        }
        self.list_version.set(self.list_version.get() + 1);
        spawn_local(self.clone().tell_list(self.list_version.get()));
    }

    /// News of the list is on its way to the fronts.
    async fn tell_list(self: Rc<Self>, version: u64) {
        let (rows, lag) = (self.rows.borrow().clone(), self.scenario.list_lag + self.list_behind.get());
        sleep(lag).await;
        while let Some(until) = self.list_out_until.get().filter(|u| *u > Instant::now()) {
            sleep_until(until).await;
        }
        self.write(version, &rows);
    }

    fn write_lists(&self, version: u64) {
        let rows = self.rows.borrow().clone();
        self.write(version, &rows);
    }

    fn write(&self, version: u64, rows: &[BoxRow]) {
        let unready: Vec<u32> = rows.iter().filter(|r| r.state != ServerState::Ready).map(|r| r.id).collect();
        for n in 0..self.scenario.fronts {
            let mut written = self.written.borrow_mut();
            if written[n as usize] > version {
                continue;
            }
            written[n as usize] = version;
            let (file, next) = (list_file(&self.dir, n), self.dir.join(format!("next-{n}")));
            let seen = |r: &BoxRow| {
                let address = self.links.get(&(n, r.id)).map_or(r.address, Link::addr);
                BoxRow { address, ..r.clone() }
            };
            let text = write_boxes(&rows.iter().map(seen).collect::<Vec<_>>(), &self.config);
            let done = std::fs::write(&next, &text).and_then(|()| std::fs::rename(&next, &file));
            if done.is_ok() {
                self.record.deed(Deed::List { front: n, unready: unready.clone() });
            }
        }
    }

    // ----- boxes

    fn kill_box(&self, id: u32) {
        self.fleet.kill(id);
        self.record.deed(Deed::Stopped { id });
    }

    async fn restart_box(self: &Rc<Self>, id: u32) {
        if self.fleet.restart(id).await {
            self.record.deed(Deed::Started { id });
            self.set_row(id, |r| (r.state, r.started_at) = (ServerState::Ready, unix()));
        }
    }

    // ----- troubles

    async fn trouble(self: Rc<Self>, t: Trouble) {
        sleep_until(self.start + t.at).await;
        let over = Instant::now() + t.length;
        let fleet = &self.fleet;
        match t.kind {
            Kind::FrontRestart { front, down } => {
                self.record.deed(Deed::Killed { front });
                self.end_front(front, Command::Kill, down).await;
            }
            Kind::FrontStop { front, down } => {
                self.record.deed(Deed::Stopping { front });
                self.end_front(front, Command::Stop, down).await;
            }
            Kind::FrontStall { front } => {
                self.record.deed(Deed::Stalled { front, length: t.length.as_nanos() as u64 });
                self.command(front, Command::Stall(t.length));
                sleep_until(over).await;
            }
            Kind::RollingDeploy { part, batch, drain, down } => {
                let n = (f64::from(self.scenario.boxes) * part).round() as u32;
                let ids: Vec<u32> = (1..=n).collect();
                let batches = ids.chunks(batch as usize);
                let gap = t.length / batches.len().max(1) as u32;
                for ids in batches {
                    let next = Instant::now() + gap;
                    ids.iter().for_each(|&id| self.set_row(id, |r| r.state = ServerState::Draining));
                    sleep(drain).await;
                    ids.iter().for_each(|&id| self.kill_box(id));
                    sleep(down).await;
                    for &id in ids {
                        self.restart_box(id).await;
                    }
                    sleep_until(next).await;
                }
            }
            Kind::Drain { id } => {
                self.set_row(id, |r| r.state = ServerState::Draining);
                sleep_until(over).await;
                self.set_row(id, |r| r.state = ServerState::Ready);
            }
            Kind::BoxCrash { id, down } => {
                self.kill_box(id);
                self.set_row(id, |r| r.state = ServerState::Gone);
                sleep(down).await;
                self.restart_box(id).await;
            }
            Kind::ListOut => {
                self.list_out_until.set(Some(over));
                sleep_until(over).await;
            }
            Kind::ListBehind { by } => {
                for_a_while(over, by, Duration::ZERO, |by| self.list_behind.set(by)).await;
            }
            Kind::WeakUplink { rack, part } => {
                let of =
                    |w: &mut World, p| w.uplink_parts.get_mut(rack as usize).into_iter().for_each(|u| *u = p);
                for_a_while(over, part, 1.0, |p| fleet.world(|w| of(w, p))).await;
            }
            Kind::WeakLink { id, part } => {
                let of = |w: &mut World, p| w.boxes.get_mut(&id).into_iter().for_each(|b| b.link_part = p);
                for_a_while(over, part, 1.0, |p| fleet.world(|w| of(w, p))).await;
            }
            Kind::Freeze { id } => {
                for_a_while(over, true, false, |on| fleet.freeze(id, on)).await;
            }
            Kind::Slow { id, factor } => {
                for_a_while(over, factor, 0.0, |f| fleet.trouble(id, |x| x.slow = f)).await;
            }
            Kind::Ageing { id, factor } => {
                let began = Instant::now();
                while Instant::now() < over {
                    let share = began.elapsed().as_secs_f64() / t.length.as_secs_f64().max(1e-9);
                    fleet.trouble(id, |x| x.slow = factor * share);
                    sleep(Duration::from_millis(50)).await;
                }
                fleet.trouble(id, |x| x.slow = 0.0);
                self.kill_box(id);
                self.set_row(id, |r| r.state = ServerState::Gone);
                sleep(Duration::from_millis(500)).await;
                self.restart_box(id).await;
            }
            Kind::LoseAnswers { id, part } => {
                for_a_while(over, part, 0.0, |p| fleet.trouble(id, |x| x.lose_answers = p)).await;
            }
            Kind::Resets { id, part } => {
                for_a_while(over, part, 0.0, |p| fleet.trouble(id, |x| x.reset = p)).await;
            }
            Kind::LateAnswers { id, by } => {
                for_a_while(over, by, Duration::ZERO, |by| fleet.trouble(id, |x| x.late = by)).await;
            }
            Kind::LateNotes { by, lost } => {
                let all = |now: (Duration, f64)| {
                    (1..=self.scenario.boxes)
                        .for_each(|id| fleet.trouble(id, |x| (x.notes_late, x.lose_notes) = now));
                };
                for_a_while(over, (by, lost), (Duration::ZERO, 0.0), all).await;
            }
            Kind::OtherProgram { id, rate } => {
                let set =
                    |r: f64| fleet.world(|w| w.boxes.get_mut(&id).into_iter().for_each(|b| b.other = r));
                let mut on = false;
                while Instant::now() < over {
                    on = !on;
                    set(if on { rate } else { 0.0 });
                    sleep(Duration::from_millis(700)).await;
                }
                set(0.0);
            }
            Kind::IssuerDown { books_lost } => {
                let Some(issuer) = &self.issuer else { return };
                issuer.kill(books_lost);
                sleep_until(over).await;
                let _ = issuer.open(SocketAddr::from(([127, 0, 0, 1], 0))).await;
            }
            Kind::IssuerLossy { part, by } => {
                let Some(issuer) = &self.issuer else { return };
                let all = |(part, by): (f64, Duration)| {
                    issuer.trouble(|t| {
                        (t.lose_messages, t.lose_answers, t.double, t.delay) = (part, part, part, by);
                    });
                };
                for_a_while(over, (part, by), (0.0, Duration::ZERO), all).await;
            }
            Kind::HalfOpen { front, id } => {
                let Some(link) = self.links.get(&(front, id)) else { return };
                for_a_while(over, true, false, |on| link.cut(on)).await;
            }
            Kind::IssuerStall => {
                let Some(issuer) = &self.issuer else { return };
                for_a_while(over, true, false, |on| issuer.trouble(|t| t.frozen = on)).await;
            }
            // These shape who comes.
            Kind::Burst { .. } | Kind::Crowd { .. } | Kind::Withdrawn { .. } => {}
        }
    }

    // ----- viewers

    fn count(&self, with: impl FnOnce(&mut Tally)) {
        with(&mut self.tally.borrow_mut());
    }

    async fn viewer(self: Rc<Self>, a: Arrival) {
        let mut random = StdRng::seed_from_u64(a.seed);
        let v = self.scenario.viewers.clone();
        let route = self.config.routes.iter().find(|r| a.path.starts_with(r.prefix.as_str()));
        let patience = Duration::from_nanos(self.config.classes[route.map_or(0, |r| r.class)].patience);
        let bearer = route.and_then(|r| r.bearers.first().cloned());
        let (mut front, mut left) = (a.front, a.watch);
        loop {
            self.next_attempt.set(self.next_attempt.get() + 1);
            let attempt = self.next_attempt.get();
            let media = route.is_some_and(|r| r.kind == RouteKind::Media);
            let offer = if media { String::new() } else { offer(false, a.seed, attempt, a.limit) };
            let wish = Wish { path: a.path.clone(), offer, patience, bearer: bearer.clone() };
            let most = a.limit.map(|kb| (kb * 8.0) as u64);
            let teller = Teller { sid: format!("{:016x}-{attempt}", a.seed), most };
            let addr = self.front_addrs[front as usize];
            self.count(|t| t.asked += 1);
            let sent = Instant::now();
            let asking = async {
                if media {
                    player::ask(front, addr, &wish, &teller, &self.record).await
                } else {
                    ask(front, addr, &wish, &self.record).await
                }
            };
            let (outcome, client) = match a.withdraws {
                None => asking.await,
                Some(after) => match tokio::time::timeout(after, asking).await {
                    Ok(done) => done,
                    Err(_) => return self.count(|t| t.left += 1),
                },
            };
            let mut wait = None;
            match outcome {
                Outcome::Plays(session) => {
                    self.count(|t| t.played += 1);
                    self.waits.borrow_mut().push(sent.elapsed().as_secs_f64() * 1e3);
                    drop(client);
                    let watched = if media {
                        let at = (front, addr);
                        let player = Player::new(at, &session, &teller, bearer.clone(), &self.record);
                        play_on(player, left, patience).await
                    } else {
                        self.watch(front, addr, &session, left).await
                    };
                    left = left.saturating_sub(watched);
                }
                Outcome::Refused(come_back) => {
                    self.count(|t| t.refused += 1);
                    wait = come_back;
                }
                Outcome::Failed(_) => self.count(|t| t.failed += 1),
                Outcome::Missed(_) => self.count(|t| t.missed += 1),
            }
            let now = self.start.elapsed();
            if left < Duration::from_millis(200)
                || now > self.scenario.length
                || !random.random_bool(v.returns)
            {
                return;
            }
            let (least, most) = v.return_after;
            // The wait of a refusal is in whole seconds; rehearsals are shorter than days, so a part is obeyed.
            let pause = least + (most - least).mul_f64(random.random());
            sleep(pause.max(wait.unwrap_or_default().min(Duration::from_secs(1)))).await;
            front = random.random_range(0..self.scenario.fronts);
        }
    }

    /// Watches until the wish is filled or the media stop; how long it was.
    async fn watch(&self, front: u32, addr: SocketAddr, session: &Session, wanted: Duration) -> Duration {
        let began = Instant::now();
        let place = stands_at(&session.answer);
        let mut starved = 0;
        while began.elapsed() < wanted {
            sleep(Duration::from_millis(50).min(wanted.saturating_sub(began.elapsed()))).await;
            let Some((id, n)) = place else { continue };
            let now = self.fleet.now();
            let (there, share) = self.fleet.world(|w| {
                (w.boxes.get(&id).is_some_and(|b| b.up && b.held.contains_key(&n)), w.delivered(id, now))
            });
            if !there {
                return began.elapsed();
            }
            starved = if share < 0.5 { starved + 1 } else { 0 };
            if starved > 40 {
                break;
            }
        }
        let _ = end(front, addr, &session.location, &self.record).await;
        began.elapsed().max(wanted)
    }

    /// Worth earned and what the same sessions could earn, by what boxes deliver, ten times a second.
    async fn count_worth(self: Rc<Self>) {
        let worth: Vec<f64> = self.config.settings.ladder.iter().map(|r| r.worth).collect();
        let top = worth.last().copied().unwrap_or(1.0);
        loop {
            sleep(Duration::from_millis(100)).await;
            let now = self.fleet.now();
            let (mut earned, mut wanted) = self.worth.get();
            self.fleet.world(|w| {
                for (id, b) in &w.boxes {
                    // Under 98 in 100 each missing point costs seven of worth.
                    let share = w.delivered(*id, now);
                    let short = (7.0 * (0.98 - share)).clamp(0.0, 1.0);
                    for h in b.held.values() {
                        earned += worth[h.rung] * (1.0 - short);
                        wanted += top;
                    }
                }
            });
            self.worth.set((earned, wanted));
        }
    }
}

/// Plays over HTTP until the wish is filled or nothing comes for two seconds; how long it was.
async fn play_on(mut player: Player, wanted: Duration, patience: Duration) -> Duration {
    let began = Instant::now();
    let mut last = began;
    while began.elapsed() < wanted {
        let pause = match player.segment(patience).await {
            Ok(_) => {
                last = Instant::now();
                400
            }
            Err(_) if last.elapsed() > Duration::from_secs(2) => return began.elapsed(),
            Err(_) => 150,
        };
        sleep(Duration::from_millis(pause).min(wanted.saturating_sub(began.elapsed()))).await;
    }
    let _ = player.end().await;
    began.elapsed().max(wanted)
}

/// Sets something for a while, and back.
async fn for_a_while<T>(over: Instant, meanwhile: T, after: T, set: impl Fn(T)) {
    set(meanwhile);
    sleep_until(over).await;
    set(after);
}

/// Box and number of a session, from the answer that its box wrote.
fn stands_at(answer: &str) -> Option<(u32, u64)> {
    let number = answer.lines().find_map(|l| l.strip_prefix("o=- "))?.split(' ').next()?.parse().ok()?;
    let id = answer.lines().find_map(|l| l.strip_prefix("a=ice-ufrag:box"))?;
    Some((u32::from_str_radix(id.get(..4)?, 16).ok()?, number))
}

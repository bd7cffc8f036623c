//! What each command does.

use crate::error::Error;
use crate::ground::{Failure, at, beside, checked, given, run, stored, told};
use crate::members::{Member, with_member};
use micadyke::decide::Controller;
use micadyke::interface::ServerState;
use micadyke_client::net::Client;
use micadyke_client::retry::Rule;
use micadyke_config::units::Unit;
use micadyke_config::{BoundConfig, BoxRow, Config, Diagnostic, Entitlements, read_boxes, read_config};
use micadyke_front::Front;
use micadyke_front::keeping;
use micadyke_front::list::{Fixed, News, Source, WatchedFile};
use micadyke_front::shell::{Extras, Questions, Recovers, serve};
use micadyke_node::shell::RecoverySetup as NodeRecoverySetup;
use micadyke_recovery::record::{Record as Keep, StoredState};
use micadyke_recovery::store::{Store, StoreError};
use micadyke_recovery::writer::StoreWriter;
use micadyke_rehearse::replay::{self, Line, Via};
use micadyke_rehearse::run::{Post, Program, play_with};
use micadyke_rehearse::sabotage::Break;
use micadyke_rehearse::scenario::read_scenario;
use micadyke_standin::issuer::Issuer;
use micadyke_standin::media_box::{Fleet, Habits};
use micadyke_standin::model::World;
use micadyke_standin::platform_process::{self, Role};
use micadyke_standin::record::Record;
use micadyke_tokens::bearer::{Checker, TokenKey};
use micadyke_tokens::bound::SharedKey;
use micadyke_tokens::ledger::Terms as SeatTerms;
use micadyke_tokens::store::State;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

const DEMO: &str = include_str!("demo.sexp");

fn load(file: &Path) -> Result<Config, Failure> {
    checked(file, read_config)?.map_err(told)
}

/// Resolves at SIGTERM or SIGINT; a second signal ends the process at once.
async fn signalled() -> Result<(), std::io::Error> {
    use tokio::signal::unix::{SignalKind, signal};
    let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    tokio::task::spawn_local(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        std::process::exit(130);
    });
    Ok(())
}

async fn listen(at: SocketAddr) -> Result<(TcpListener, SocketAddr), Failure> {
    let listener = TcpListener::bind(at).await.map_err(|why| Error::Listen { at, why })?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}

fn ready(addr: SocketAddr) -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "listening on http://{addr}")?;
    out.flush()
}

async fn serve_until_signalled(
    listener: TcpListener, config: Rc<Config>, source: Box<dyn Source>, extras: Extras,
) -> Result<ExitCode, Failure> {
    let made = config.clone();
    let front = move |now| Front::new(made, rand::random(), now).expect("settings were checked");
    serve(listener, front, config, source, extras, async { signalled().await.unwrap_or(()) }).await;
    Ok(ExitCode::SUCCESS)
}

/// Runs a front node as the platform starts it.
pub fn node(membership: Option<&Path>, store: Option<&Path>) -> Result<ExitCode, Failure> {
    let path = std::env::var_os("EDGE_CONFIG").ok_or(Error::NoConfig)?;
    let path = PathBuf::from(path);
    let config = micadyke_node::shell::load(&path)?;
    let (name, addr) = (std::env::var("EDGE_NAME").ok(), std::env::var("EDGE_LISTEN").ok());
    let agreed = config.check_environment(name.as_deref(), addr.as_deref());
    agreed.map_err(|why| Error::Config { path: path.clone(), why })?;
    let (settings, seed) = (config.deployment.settings.clone(), config.seed);
    settings.check().map_err(|why| Error::Settings { path: path.clone(), why })?;
    tracing::info!(name = config.name, events = config.known.len(), "configuration read");
    let module = move |now| Controller::new(settings, seed, now).expect("settings were checked");
    let mut member = membership.map(|file| Member::load(file, Some(&config.name))).transpose()?;
    let name = member.as_ref().map_or(config.name.as_str(), |m| m.name()).to_owned();
    let back = store.map(|file| comes_back(file, &name)).transpose()?;
    let (mut neighbours, others) = crate::members::others(member.as_ref());
    let back = back.map(|(mut kept, start, keeper)| {
        let keeper = keeper.map(Rc::new);
        neighbours.watches(&mut kept);
        member.iter_mut().for_each(|m| m.starts(start));
        keeper.iter().for_each(|k| neighbours.keeps(k.clone()));
        NodeRecoverySetup { name, stored: kept, start, store_writer: keeper }
    });
    run(with_member(member, neighbours, micadyke_node::shell::run(path, config, module, others, back)))???;
    Ok(ExitCode::SUCCESS)
}

/// Opens a store and counts this start in it, on the disk before anybody hears of it. A store that another process holds is
/// an error; without a disk the process starts as the first time, by the phases: a full disk is no licence to send before
/// the bus is back.
fn comes_back(file: &Path, name: &str) -> Result<(StoredState, u64, Option<StoreWriter>), Failure> {
    let opened = match Store::open(file) {
        Ok(opened) => opened,
        Err(held @ StoreError::Locked) => return Err(stored(file)(held).into()),
        Err(e) => {
            tracing::warn!("{}: {e}; {}; this start is as the first", file.display(), e.advice());
            return Ok((StoredState::default(), micadyke_membership::shell::start_by_clock(), None));
        }
    };
    if let Some((to, why)) = &opened.quarantined {
        tracing::warn!(
            "{}: {why}; set aside as {}, this start is as the first",
            file.display(),
            to.display()
        );
    }
    let (kept, start) = counted(&opened.store, opened.state, name, file);
    Ok((kept, start, Some(StoreWriter::start(opened.store))))
}

/// Counts this start in an open store; what was kept under this name, and the start's number.
fn counted(store: &Store, kept: StoredState, name: &str, file: &Path) -> (StoredState, u64) {
    // What another name kept is not this process's.
    let own = kept.start.as_ref().is_none_or(|s| s.0 == name);
    if !own {
        tracing::warn!("{}: kept by another name; this start is as the first", file.display());
    }
    let kept = if own { kept } else { StoredState::default() };
    let clock = micadyke_membership::shell::start_by_clock();
    let start = kept.start.as_ref().map_or(clock, |s| clock.max(s.1.saturating_add(1)));
    let record = Keep::Start { name: name.to_owned(), start, at: clock.saturating_mul(1_000_000) };
    if let Err(e) = store.commit(&[record.into()]) {
        tracing::warn!("{}: {e}; this start is not counted", file.display());
    }
    (kept, start)
}

/// What a front keeps, opened: its seats and the way to the store, and what it comes back with where it keeps its sessions.
type Keeps = (Option<(State, Rc<StoreWriter>)>, Option<Recovers>);

/// Opens what a front keeps: `--store` holds all of it; without that, the file that the issuer's settings name holds seats.
fn keeps(config: &Config, file: &Path, store: Option<&Path>) -> Result<Keeps, Failure> {
    let seats = config.issuer.as_ref().map(|i| beside(file, &i.state));
    let Some(path) = store else {
        let opened = seats.map(|path| keeping::open(&path).map_err(stored(&path))).transpose()?;
        return Ok((opened.map(|o| (o.seats, Rc::new(StoreWriter::start(o.store)))), None));
    };
    let opened = keeping::open_with(path, seats.as_deref()).map_err(stored(path))?;
    let own = opened.kept.start.as_ref().is_none_or(|s| s.0 == config.name);
    let (kept, start) = counted(&opened.store, opened.kept, &config.name, path);
    let keeper = Rc::new(StoreWriter::start(opened.store));
    let state = if own { opened.seats } else { State::default() };
    let seats = config.issuer.as_ref().map(|_| (state, keeper.clone()));
    Ok((seats, Some(Recovers { kept, start, keeper, fleet: None })))
}

pub fn front(
    file: &Path, addr: Option<SocketAddr>, record: Option<&Path>, membership: Option<&Path>,
    store: Option<&Path>,
) -> Result<ExitCode, Failure> {
    let config = Rc::new(load(file)?);
    if config.boxes.is_empty() {
        return Err(Error::NoBoxes.into());
    }
    let source = Box::new(WatchedFile::new(beside(file, &config.boxes), config.clone()));
    let (seats, mut recovers) = keeps(&config, file, store)?;
    let entitlements = config.entitlements.as_ref().map(|e| checker(e, file)).transpose()?;
    let bound = config.issuer.as_ref().and_then(|i| i.bound.as_ref());
    let bound = bound.map(|b| shared_key(b, file)).transpose()?;
    for note in config.not_promised() {
        tracing::warn!("{note}");
    }
    let questions = record.map(|path| Questions::append(path).map_err(at(path))).transpose()?;
    let mut member = membership.map(|file| Member::load(file, None)).transpose()?;
    let (mut neighbours, others) = crate::members::others(member.as_ref());
    neighbours.without_directory();
    let (parts, fleet) = others.map_or((None, None), |o| (o.shares, Some(o.membership)));
    if let Some(r) = &mut recovers {
        member.iter_mut().for_each(|m| m.starts(r.start));
        neighbours.keeps(r.keeper.clone());
        neighbours.watches(&mut r.kept);
        r.fleet = fleet;
    }
    let extras = Extras { seats, recovers, bound, entitlements, questions, parts };
    run(with_member(member, neighbours, async {
        let (listener, addr) = listen(addr.unwrap_or(config.listen)).await?;
        ready(addr)?;
        serve_until_signalled(listener, config, source, extras).await
    }))??
}

/// The secret that fronts and boxes share, read from its file.
fn shared_key(b: &BoundConfig, file: &Path) -> Result<SharedKey, Failure> {
    let path = beside(file, &b.key_file);
    let bytes = std::fs::read(&path).map_err(at(&path))?;
    let key = SharedKey::new(&b.key_id, bytes.trim_ascii());
    Ok(key.ok_or(Error::Secret { path })?)
}

/// The keys of the settings, read from their files.
fn checker(e: &Entitlements, file: &Path) -> Result<Checker, Failure> {
    let mut checker = Checker::new(&e.audience, e.leeway);
    for k in &e.keys {
        let path = beside(file, &k.file);
        let bytes = std::fs::read(&path).map_err(at(&path))?;
        let key = match k.algorithm.as_str() {
            "HS256" => TokenKey::hmac(bytes.trim_ascii(), k.from, k.until),
            "ES256" => TokenKey::es256(&bytes, k.from, k.until),
            _ => TokenKey::ed25519(&bytes, k.from, k.until),
        };
        checker.put(&k.id, key.ok_or_else(|| Error::Key { path, algorithm: k.algorithm.clone() })?);
    }
    Ok(checker)
}

/// A stand-in box ends a session whose event stream is closed for so long, in nanoseconds.
const REAP: u64 = 15_000_000_000;

pub fn demo(at: SocketAddr) -> Result<ExitCode, Failure> {
    let config = Rc::new(read_config(DEMO, "demo.sexp").map_err(told)?);
    run(async {
        let mut rows = BoxRow::on_loopback(config.settings.cells);
        let world = World::of(&config, &rows, REAP);
        let fleet = Fleet::new(world, Habits::default(), Record::off(), 1);
        fleet.open_all(&mut rows).await?;
        let (listener, addr) = listen(at).await?;
        ready(addr)?;
        println!(
            "try: curl -i -H 'content-type: application/sdp' --data-binary @fixtures/offers/chromium-play.sdp \
             http://{addr}/whep/demo\nor:  curl -i http://{addr}/watch/demo/index.m3u8"
        );
        let source = Box::new(Fixed(Some(rows)));
        serve_until_signalled(listener, config, source, Extras::default()).await
    })?
}

pub fn standin(file: &Path) -> Result<ExitCode, Failure> {
    let config = Rc::new(load(file)?);
    let path = beside(file, &config.boxes);
    let rows = checked(&path, |text, name| read_boxes(text, name, &config))?.map_err(told)?;
    if let Some(r) = rows.iter().find(|r| !r.address.ip().is_loopback()) {
        return Err(Error::BoxNotLoopback { id: r.id, at: r.address }.into());
    }
    run(async {
        let fleet = Fleet::new(World::of(&config, &rows, REAP), Habits::default(), Record::off(), 1);
        if let Some(b) = config.issuer.as_ref().and_then(|i| i.bound.as_ref()) {
            fleet.guarded(&b.path, shared_key(b, file)?);
        }
        for row in &rows {
            let addr = fleet.open_at(row.id, row.address).await;
            let addr = addr.map_err(|why| Error::BoxListen { id: row.id, at: row.address, why })?;
            println!("box {} on http://{addr}", row.id);
        }
        let followed = fleet.clone();
        let mut source = WatchedFile::new(path, config.clone());
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(200)).await;
                let Some(News::Full(rows)) = source.poll() else { continue };
                followed.world(|w| {
                    for row in rows {
                        if let Some(b) = w.boxes.get_mut(&row.id) {
                            b.draining = row.state != ServerState::Ready;
                        }
                    }
                });
            }
        });
        signalled().await?;
        Ok(ExitCode::SUCCESS)
    })?
}

/// The media server that the command line describes.
pub fn server(s: &crate::Standin) -> Result<Role, Failure> {
    let time = |option, text| given(option, text, Unit::Time).map(|t| Duration::from_nanos(t as u64));
    let (id, seen) = (s.platform_server.clone().unwrap_or_default(), s.seen.clone().unwrap_or_default());
    Ok(Role::Server { id, delay: time("--delay", &s.delay)?, life: time("--life", &s.life)?, seen })
}

/// A stand-in of the platform, until interrupted or its time is over.
pub fn platform(role: Role, at: SocketAddr, lifetime: &str) -> Result<ExitCode, Failure> {
    let lifetime = Duration::from_nanos(given("--lifetime", lifetime, Unit::Time)? as u64);
    run(async {
        let listens = |addr| drop(ready(addr));
        let stop = async { signalled().await.unwrap_or(()) };
        platform_process::run(role, at, lifetime, listens, stop).await?;
        Ok(ExitCode::SUCCESS)
    })?
}

/// A stand-in issuer of seats, until interrupted.
pub fn issuer(
    at: SocketAddr, seats: &[String], ttl: &str, store: Option<&Path>,
) -> Result<ExitCode, Failure> {
    if !at.ip().is_loopback() {
        return Err(Error::NotLoopback(at).into());
    }
    let ttl = given("--ttl", ttl, Unit::Time)? as u64;
    let one = |s: &String| -> Result<(std::sync::Arc<str>, u32), Error> {
        let (class, n) = s.split_once('=').ok_or_else(|| Error::Seats(s.clone()))?;
        Ok((class.into(), n.parse().map_err(|_| Error::SeatCount(n.to_owned()))?))
    };
    let seats = seats.iter().map(one).collect::<Result<_, Error>>()?;
    run(async {
        let terms = SeatTerms { ttl, seats, most_holders: 10_000, most_leases: 10_000_000 };
        let issuer = match store {
            None => Issuer::new(terms, 1.0, 1),
            Some(file) => {
                let opened = Store::open(file).map_err(stored(file))?;
                if let Some((to, why)) = &opened.quarantined {
                    tracing::warn!("{}: {why}; set aside as {}", file.display(), to.display());
                }
                Issuer::keeping(terms, 1.0, 1, opened).map_err(stored(file))?
            }
        };
        let addr = issuer.open(at).await.map_err(|why| Error::Listen { at, why })?;
        ready(addr)?;
        signalled().await?;
        Ok(ExitCode::SUCCESS)
    })?
}

pub fn check(file: &Path, boxes: Option<&Path>) -> Result<ExitCode, Failure> {
    if crate::members::is_membership(file) {
        return Ok(match checked(file, |text, name| crate::members::read(text, name, None))? {
            Ok((s, _)) => match checked(file, micadyke_directory::settings::read)? {
                Ok(directory) => {
                    println!(
                        "{}: sound; {} of fleet {}, {} seeds{}",
                        file.display(),
                        s.name,
                        s.fleet,
                        s.seeds.len(),
                        if directory.is_some() { ", a directory" } else { "" }
                    );
                    let notes = directory.map(|d| d.not_promised(s.expected as usize, s.rate));
                    for note in notes.into_iter().flatten() {
                        println!("{}: not promised: directory: {note}", file.display());
                    }
                    ExitCode::SUCCESS
                }
                Err(faults) => refused(&faults),
            },
            Err(mut faults) => {
                faults.extend(checked(file, micadyke_directory::settings::read)?.err().into_iter().flatten());
                refused(&faults)
            }
        });
    }
    let config = match checked(file, read_config)? {
        Ok(config) => config,
        Err(faults) => return Ok(refused(&faults)),
    };
    println!("{}: sound; {} classes, {} routes", file.display(), config.classes.len(), config.routes.len());
    for note in config.not_promised() {
        println!("{}: not promised: {note}", file.display());
    }
    let list = boxes
        .map(Path::to_path_buf)
        .or_else(|| (!config.boxes.is_empty()).then(|| beside(file, &config.boxes)));
    if let Some(path) = list {
        match checked(&path, |text, name| read_boxes(text, name, &config))? {
            Ok(rows) => println!("{}: sound; {} boxes", path.display(), rows.len()),
            Err(faults) => return Ok(refused(&faults)),
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn refused(faults: &[Diagnostic]) -> ExitCode {
    faults.iter().for_each(|f| println!("{f}"));
    ExitCode::from(1)
}

pub fn rehearse(files: &[PathBuf], how: Option<&str>, required: &[usize]) -> Result<ExitCode, Failure> {
    let how = how.map(breakage).transpose()?;
    let exe = std::env::current_exe()?;
    let mut broken = false;
    for file in files {
        let scenario = checked(file, read_scenario)?.map_err(told)?;
        let config = load(&beside(file, &scenario.settings))?;
        println!(
            "{}: {} fronts, {} boxes, {:?}",
            scenario.name, scenario.fronts, scenario.boxes, scenario.length
        );
        let program = Program { exe: exe.clone(), scenario: file.clone() };
        let ran = play_with(&scenario, &config, how, Some(program)).map_err(Error::from)?;
        let t = ran.tally;
        println!(
            "requests {}: played {}, refused {}, failed {}, no answer {}, withdrew {}",
            t.asked, t.played, t.refused, t.failed, t.missed, t.left
        );
        println!(
            "quality of what played {:.3}; waits {:.1} ms at p50, {:.1} ms at p99",
            t.quality, t.waits.0, t.waits.1
        );
        println!("{}", ran.verdict);
        broken |= !ran.verdict.kept();
        let required: Vec<usize> = required.iter().chain(&scenario.must_try).copied().collect();
        for rule in ran.verdict.missing(&required) {
            println!("rule {rule} had to be put to the test, and nothing did");
            broken = true;
        }
    }
    Ok(ExitCode::from(u8::from(broken)))
}

fn breakage(word: &str) -> Result<Break, Failure> {
    Ok(Break::named(word).ok_or_else(|| Error::Break(word.to_owned()))?)
}

/// One front of a rehearsal, in a process of its own.
pub fn rehearsed_front(file: &Path, mut post: Post, how: Option<&str>) -> Result<ExitCode, Failure> {
    post.how = how.map(breakage).transpose()?;
    let scenario = checked(file, read_scenario)?.map_err(told)?;
    let config = load(&beside(file, &scenario.settings))?;
    run(micadyke_rehearse::run::front(&scenario, config, post, async { signalled().await.unwrap_or(()) }))??;
    Ok(ExitCode::SUCCESS)
}

fn read_list(file: &Path) -> Result<Vec<Line>, Failure> {
    let text = std::fs::read_to_string(file).map_err(at(file))?;
    Ok(replay::read_list(&text).map_err(|(line, what)| Error::Line { path: file.into(), line, what })?)
}

/// Prints a list of questions.
pub fn make_list(questions: usize, seed: u64) -> Result<ExitCode, Failure> {
    let mut out = std::io::stdout().lock();
    for line in replay::make_list(questions, seed) {
        writeln!(out, "{}", serde_json::to_string(&line)?)?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Asks a list of a front that runs, over WHEP.
pub fn replay_at(list: &Path, front: SocketAddr, routes: &[String]) -> Result<ExitCode, Failure> {
    let lines = read_list(list)?;
    let (rule, bearer) = (Rule { most: 1, ..Rule::default() }, std::env::var("MICADYKE_BEARER").ok());
    let mut client = Client { rule, bearer, ..Client::new(front) };
    for r in routes {
        let (class, path) = r.split_once('=').ok_or_else(|| Error::Route(r.clone()))?;
        client = client.route(class, path);
    }
    run(async {
        for (n, line) in lines.iter().enumerate() {
            let Line::Ask(question) = line else { continue };
            let offer = micadyke_standin::offers::offer(false, n as u64, rand::random::<u32>().into(), None);
            let (outcome, session) = client.ask(question, &offer, std::future::pending()).await;
            if let Some(session) = session {
                client.end(&session).await;
            }
            println!("{}", serde_json::to_string(&outcome)?);
        }
        Ok(ExitCode::SUCCESS)
    })?
}

/// Asks a list through both clients, of one front each, alike.
pub fn replay_both(
    list: &Path, client: &str, config: Option<&Path>, seed: u64, how: Option<&str>,
) -> Result<ExitCode, Failure> {
    let lines = read_list(list)?;
    let name = config.map_or_else(|| "replay.sexp".into(), |p| p.display().to_string());
    let config = read_config(&replay::settings(config)?, &name).map_err(told)?;
    let how = how.map(breakage).transpose()?;
    let cmcd = Via::Cmcd(client.split_whitespace().map(str::to_owned).collect());
    run(async {
        let a = replay::pass(&lines, &config, &Via::Whep, seed, None).await.map_err(Error::from)?;
        let b = replay::pass(&lines, &config, &cmcd, seed, how).await.map_err(Error::from)?;
        let c = replay::compare(&a.outcomes, &b.outcomes);
        let kinds: Vec<String> = c.kinds.iter().map(|(k, n)| format!("{k} {n}")).collect();
        println!("questions {}: {}", c.asked, kinds.join(", "));
        for (over, pass) in [("WHEP", &a), ("CMCD", &b)] {
            let (asked, answered) = pass.passed;
            println!(
                "over {over}: {asked} requests, {answered} answers, {} not answered once",
                pass.not_once
            );
            if !pass.verdict.kept() {
                println!("{}", pass.verdict);
            }
        }
        for (n, x, y) in c.differ.iter().take(10) {
            println!("question {n}: {x:?} over WHEP, {y:?} over CMCD");
        }
        println!(
            "outcomes differ {}; of those that do not: box or rung {}, advice {}",
            c.differ.len(),
            c.places_differ,
            c.advice_differs
        );
        let kept = a.verdict.kept() && b.verdict.kept() && a.not_once + b.not_once == 0;
        println!("{}", if kept && c.differ.is_empty() { "the same answers" } else { "NOT the same answers" });
        Ok(ExitCode::from(u8::from(!kept || !c.differ.is_empty())))
    })?
}

/// Asks a list of a front that runs, over CMCD by another program; it inherits the token and writes the outcomes.
pub fn replay_by(
    list: &Path, front: SocketAddr, routes: &[String], client: &str,
) -> Result<ExitCode, Failure> {
    let lines = read_list(list)?;
    let (program, args) = client.split_once(' ').unwrap_or((client, ""));
    let mut command = std::process::Command::new(program);
    command.args(args.split_whitespace()).arg(format!("http://{front}")).args(routes);
    let child = command.stdin(std::process::Stdio::piped()).spawn();
    let mut child = child.map_err(|why| Error::Client { command: client.into(), why })?;
    if let Some(mut to) = child.stdin.take() {
        for line in lines {
            if let Line::Ask(question) = line {
                writeln!(to, "{}", serde_json::to_string(&question)?)?;
            }
        }
    }
    let status = child.wait()?;
    Ok(ExitCode::from(if status.success() { 0 } else { 2 }))
}

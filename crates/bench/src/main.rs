//! Measurements on loopback, each beside a named baseline in the same run. No part of CI: machines are noisy, so
//! what counts is the ratio.

mod kill;
mod load;
mod peers;
mod seats;

use clap::{Parser, Subcommand};
use load::{Work, closed, closed_of, open, open_of};
use micadyke_config::{BoxRow, read_config, write_boxes};
use peers::{Peer, lean_box, our_front, plain_hyper};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Measures the front beside the box called directly and the same proxying written plainly on hyper.
#[derive(Debug, Parser)]
struct Cli {
    #[command(subcommand)]
    command: What,
}

#[derive(Debug, Subcommand)]
enum What {
    /// Set-ups a second on one core, and time added at half of that rate.
    Setups {
        /// Seconds for each measurement.
        #[arg(long, default_value_t = 4)]
        seconds: u64,
        /// Times that all are measured in turn; the middle one counts.
        #[arg(long, default_value_t = 3)]
        rounds: usize,
    },
    /// Plays over HTTP: manifests set up and segments led on a second on one core, and time added at a quarter of that rate.
    Media {
        /// Seconds for each measurement.
        #[arg(long, default_value_t = 4)]
        seconds: u64,
        /// Times that all are measured in turn; the middle one counts.
        #[arg(long, default_value_t = 3)]
        rounds: usize,
    },
    /// Memory of the front for each playing session.
    Memory {
        /// Sessions.
        #[arg(long, default_value_t = 10_000)]
        sessions: usize,
    },
    /// From a drain entering the list file to the last new set-up at the box.
    Drains {
        /// How many drains.
        #[arg(long, default_value_t = 60)]
        drains: usize,
    },
    /// Timer wheel beside map and heap, grants a second, memory a lease; what a seat adds to a set-up.
    Seats,
    /// What the book of sessions on the disk costs a set-up: a front that keeps it beside one that does not, in turn.
    Store {
        /// Times that both are measured in turn; the middle one counts.
        #[arg(long, default_value_t = 15)]
        rounds: usize,
    },
    /// A front with a store, killed while its sessions play: which are back, and when.
    Kill {
        /// Sessions.
        #[arg(long, default_value_t = 10_000)]
        sessions: usize,
        /// Boxes that they play at.
        #[arg(long, default_value_t = 4)]
        boxes: u32,
        /// Seconds after which a box ends a session that no event stream tells of.
        #[arg(long, default_value_t = 15)]
        patience: u64,
    },
    /// Times of set-ups in the first second after a front with seats, stopped under load, is let go.
    Wake {
        /// How many stops.
        #[arg(long, default_value_t = 9)]
        stops: usize,
        /// Seconds of each.
        #[arg(long, default_value_t = 2)]
        seconds: u64,
    },
    /// A front alone, for the other measurements: boxes' addresses as arguments.
    #[command(hide = true)]
    Front {
        /// Folder with the list of boxes.
        folder: String,
        /// Where it listens.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Where it keeps its book of sessions.
        #[arg(long)]
        store: Option<PathBuf>,
    },
}

type Failure = Box<dyn std::error::Error>;

/// The settings of all measurements: links so wide that no offer is turned away.
pub(crate) const SETTINGS: &str = r#"
(front (name "bench") (listen "127.0.0.1:0"))
(ladder (rung (rate 1kB/s) (worth 0.3)) (rung (rate 2kB/s) (worth 1)))
(class play (aim 800ms) (patience 10s) (effect idempotent))
(kind box (streams 900000))
(fleet (cells 2) (racks 1) (link-per-weight 900GB/s) (note-delay 100ms) (note-period 1s))
(attempts (most 3))
(bounds (sessions 1000000) (connections 19000) (idle-per-box 256) (ended 1000))
(route "/whep/" (kind whep) (class play))
(route "/watch/" (kind media) (class play))
(title demo (from-cell 0) (cells 2))
"#;

fn main() -> Result<(), Failure> {
    match Cli::parse().command {
        What::Setups { seconds, rounds } => setups(Duration::from_secs(seconds), rounds),
        What::Media { seconds, rounds } => media(Duration::from_secs(seconds), rounds),
        What::Memory { sessions } => memory(sessions),
        What::Drains { drains } => drain_times(drains),
        What::Wake { stops, seconds } => wake(stops, Duration::from_secs(seconds)),
        What::Store { rounds } => store_cost(rounds),
        What::Seats => {
            seats::measure();
            seat_cost()
        }
        What::Kill { sessions, boxes, patience } => {
            let dir = folder("kill")?;
            let done = kill::measure(&dir, sessions, boxes, Duration::from_secs(patience));
            let _ = std::fs::remove_dir_all(dir);
            done
        }
        What::Front { folder, listen, store } => {
            let peer = peers::our_front_at(Path::new(&folder), listen, store.as_deref());
            println!("{}", peer.addr);
            std::io::stdout().flush()?;
            peer.thread.join().map_err(|_| "the front broke down")?;
            Ok(())
        }
    }
}

pub(crate) fn rows(addrs: &[SocketAddr]) -> Vec<BoxRow> {
    let mut rows = BoxRow::on_loopback(addrs.len() as u32);
    // The settings have two cells.
    rows.iter_mut().zip(addrs).for_each(|(row, address)| (row.address, row.cell) = (*address, row.cell % 2));
    rows
}

pub(crate) fn write_list(folder: &Path, rows: &[BoxRow]) -> std::io::Result<()> {
    let config = read_config(SETTINGS, "settings").unwrap_or_else(|e| panic!("{e:?}"));
    let next = folder.join("next");
    std::fs::write(&next, write_boxes(rows, &config))?;
    std::fs::rename(next, folder.join("boxes.sexp"))
}

fn folder(name: &str) -> std::io::Result<std::path::PathBuf> {
    let dir = std::env::temp_dir().join(format!("micadyke-bench-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    Ok(dir)
}

fn setups(time: Duration, rounds: usize) -> Result<(), Failure> {
    let dir = folder("setups")?;
    let plain = lean_box(false);
    let full = lean_box(true);
    write_list(&dir, &rows(&[plain.addr]))?;
    let ours = our_front(&dir);
    let full_dir = folder("setups-full")?;
    write_list(&full_dir, &rows(&[full.addr]))?;
    let ours_full = our_front(&full_dir);
    let theirs = plain_hyper(plain.addr);
    std::thread::sleep(Duration::from_millis(300));
    let peers: [(&str, &Peer, &str); 4] = [
        ("box called directly", &plain, ""),
        ("plain hyper proxy", &theirs, ""),
        ("micadyke front", &ours, ""),
        ("micadyke front, layer and events too", &ours_full, ""),
    ];
    println!("closed loop, 32 connections, POST then DELETE; set-ups a second:");
    let mut rates = vec![Vec::new(); peers.len()];
    for _ in 0..rounds {
        for (i, (_, peer, _)) in peers.iter().enumerate() {
            rates[i].push(closed(peer.addr, 32, time)?);
        }
    }
    let middle = |v: &mut Vec<f64>| {
        v.sort_by(f64::total_cmp);
        v[v.len() / 2]
    };
    let rates: Vec<f64> = rates.iter_mut().map(middle).collect();
    for (i, (name, ..)) in peers.iter().enumerate() {
        println!("  {name:<38} {:>9.0}  {:.2} of hyper", rates[i], rates[i] / rates[1]);
    }
    let rate = rates[1].min(rates[2]) / 2.0;
    println!("open loop at {rate:.0} set-ups a second, from the intended send; ms:");
    let mut all: Vec<Vec<[f64; 3]>> = vec![Vec::new(); peers.len()];
    for _ in 0..rounds {
        for (i, (_, peer, _)) in peers.iter().enumerate().take(3) {
            all[i].push(open(peer.addr, rate, time)?);
        }
    }
    for (i, (name, ..)) in peers.iter().enumerate().take(3) {
        let at = |q: usize| middle(&mut all[i].iter().map(|r| r[q]).collect());
        let base = |q: usize| middle(&mut all[0].iter().map(|r| r[q]).collect());
        println!(
            "  {name:<38} p50 {:.3}  p99 {:.3}  p99.9 {:.3}  added at p99 {:.3}",
            at(0),
            at(1),
            at(2),
            at(1) - base(1)
        );
    }
    let _ = (std::fs::remove_dir_all(dir), std::fs::remove_dir_all(full_dir));
    std::process::exit(0);
}

/// What a seat adds to a set-up: the same front and box, with an issuer asked before each set-up and without.
fn media(time: Duration, rounds: usize) -> Result<(), Failure> {
    let dir = folder("media")?;
    let lean = lean_box(false);
    write_list(&dir, &rows(&[lean.addr]))?;
    let (ours, theirs) = (our_front(&dir), plain_hyper(lean.addr));
    std::thread::sleep(Duration::from_millis(300));
    for (work, name) in
        [(Work::Play, "manifest, then DELETE; plays"), (Work::Segment, "segments led to their box; requests")]
    {
        let peers = [("plain hyper proxy", &theirs), ("micadyke front", &ours)];
        let mut rates = [Vec::new(), Vec::new()];
        for _ in 0..rounds {
            for (i, (_, peer)) in peers.iter().enumerate() {
                let before = peer.ran();
                let rate = closed_of(work, peer.addr, 32, time)?;
                rates[i].push((rate, rate * time.as_secs_f64() / (peer.ran() - before).max(1e-9)));
            }
        }
        println!("closed loop, 32 connections, {name} a second, and for each second on a core:");
        let middle = |v: &mut Vec<(f64, f64)>| {
            v.sort_by(|a, b| a.0.total_cmp(&b.0));
            v[v.len() / 2]
        };
        let middles = rates.each_mut().map(middle);
        for ((name, _), (rate, core)) in peers.iter().zip(middles) {
            let (of, of_core) = (rate / middles[0].0, core / middles[0].1);
            println!(
                "  {name:<20} {rate:>9.0}  {of:.2} of hyper; {core:>9.0} a core second, {of_core:.2} of hyper"
            );
        }
        // At half of it the load itself, on one core, is what is measured.
        let rate = middles[0].0.min(middles[1].0) / 4.0;
        println!("open loop at {rate:.0} a second, from the intended send; ms at p50, p99, p99.9:");
        for (name, peer) in peers {
            let mut all = Vec::new();
            for _ in 0..rounds {
                all.push(open_of(work, peer.addr, rate, time)?);
            }
            all.sort_by(|a, b| a[1].total_cmp(&b[1]));
            let [p50, p99, p999] = all[all.len() / 2];
            println!("  {name:<20} {p50:.3} {p99:.3} {p999:.3}");
        }
    }
    Ok(())
}

fn seat_cost() -> Result<(), Failure> {
    const TIME: Duration = Duration::from_secs(1);
    let plain = lean_box(false);
    let issuer = peers::issuer();
    let bound = "(bound (key \"k\" (file \"-\")))";
    let settings = [
        ("without an issuer", SETTINGS.to_owned()),
        ("a seat for each set-up", with_issuer(issuer.addr, "")),
        ("and a token for its box", with_issuer(issuer.addr, bound)),
    ];
    let mut fronts = Vec::new();
    for (n, (name, text)) in settings.into_iter().enumerate() {
        let dir = folder(&format!("seats-{n}"))?;
        write_list(&dir, &rows(&[plain.addr]))?;
        // Each is a holder of its own.
        let text = text.replace("(name \"bench\")", &format!("(name \"bench-{n}\")"));
        fronts.push((name, peers::front_with(&dir, &text), dir));
    }
    std::thread::sleep(Duration::from_millis(300));
    let (mut rates, mut times) = (vec![Vec::new(); 3], vec![Vec::new(); 3]);
    for _ in 0..9 {
        for (n, (_, front, _)) in fronts.iter().enumerate() {
            let before = front.ran();
            let done = closed(front.addr, 32, TIME)? * TIME.as_secs_f64();
            rates[n].push(done / (front.ran() - before));
            times[n].push(open(front.addr, 3_000.0, TIME / 2)?);
        }
    }
    println!("  the middle of nine rounds, in turn; set-ups for each second that the front's thread ran:");
    let middle = |mut v: Vec<f64>| {
        v.sort_by(f64::total_cmp);
        v[v.len() / 2]
    };
    let base = middle(rates[0].clone());
    for (n, (name, _, dir)) in fronts.iter().enumerate() {
        let (rate, at) =
            (middle(rates[n].clone()), |q: usize| middle(times[n].iter().map(|t| t[q]).collect()));
        println!(
            "  {name:<26} {rate:>8.0} set-ups, {:.2} of the first; at 3,000 a second p50 {:.3} ms, p99 {:.3} ms",
            rate / base,
            at(0),
            at(1)
        );
        let _ = std::fs::remove_dir_all(dir);
    }
    std::process::exit(0);
}

/// Set-ups with the book of sessions on the disk, beside the same without.
fn store_cost(rounds: usize) -> Result<(), Failure> {
    const TIME: Duration = Duration::from_secs(1);
    let (plain, names) = (lean_box(true), ["without a store", "with its book in a store"]);
    let mut fronts = Vec::new();
    for (n, name) in names.into_iter().enumerate() {
        let dir = folder(&format!("store-{n}"))?;
        write_list(&dir, &rows(&[plain.addr]))?;
        let file = dir.join("front.store");
        fronts.push((name, peers::front_keeping(&dir, SETTINGS, (n == 1).then_some(&*file)), dir));
    }
    // The one that keeps comes back by its phases first.
    std::thread::sleep(Duration::from_secs(4));
    let (mut wall, mut ran) = (vec![Vec::new(); 2], vec![Vec::new(); 2]);
    for _ in 0..rounds {
        for (n, (_, front, _)) in fronts.iter().enumerate() {
            let before = front.ran();
            let rate = closed(front.addr, 32, TIME)?;
            wall[n].push(rate);
            ran[n].push(rate * TIME.as_secs_f64() / (front.ran() - before));
        }
    }
    let middle = |v: &[f64]| {
        let mut v = v.to_vec();
        v.sort_by(f64::total_cmp);
        v[v.len() / 2]
    };
    println!(
        "the middle of {rounds} rounds, in turn; set-ups a second, and for each second that the front's thread ran:"
    );
    for (n, (name, _, dir)) in fronts.iter().enumerate() {
        let (w, r) = (middle(&wall[n]), middle(&ran[n]));
        let (of_w, of_r) = (w / middle(&wall[0]), r / middle(&ran[0]));
        println!("  {name:<26} {w:>8.0} ({of_w:.3}) {r:>8.0} ({of_r:.3})");
        let _ = std::fs::remove_dir_all(dir);
    }
    std::process::exit(0);
}

fn with_issuer(addr: SocketAddr, bound: &str) -> String {
    let tokens = "(effect idempotent) (tokens (unreachable refuse)))";
    SETTINGS.replace("(effect idempotent))", tokens)
        + &format!("(issuer (address \"{addr}\") (state \"\") (wait 5s) (keep 0s) (leases 1000000) {bound})")
}

/// A front in a process of its own, by a folder; its process and address.
fn front_process(dir: &Path) -> Result<(std::process::Child, SocketAddr), Failure> {
    let (child, addr) = front_child(dir, SocketAddr::from(([127, 0, 0, 1], 0)), None)?;
    std::thread::sleep(Duration::from_millis(300));
    Ok((child, addr))
}

/// The same, as soon as it listens, at an address and with a store.
pub(crate) fn front_child(
    dir: &Path, listen: SocketAddr, store: Option<&Path>,
) -> Result<(std::process::Child, SocketAddr), Failure> {
    let mut command = Command::new(std::env::current_exe()?);
    command.arg("front").arg(dir).args(["--listen", &listen.to_string()]);
    if let Some(store) = store {
        command.arg("--store").arg(store);
    }
    let mut child = command.stdout(Stdio::piped()).spawn()?;
    let mut line = String::new();
    BufReader::new(child.stdout.take().ok_or("no pipe")?).read_line(&mut line)?;
    Ok((child, line.trim().parse()?))
}

fn wake(stops: usize, length: Duration) -> Result<(), Failure> {
    const RATE: f64 = 1_000.0;
    let (dir, plain, issuer) = (folder("wake")?, lean_box(false), peers::issuer());
    write_list(&dir, &rows(&[plain.addr]))?;
    let bound = "(bound (key \"k\" (file \"-\")))";
    std::fs::write(dir.join("settings.sexp"), with_issuer(issuer.addr, bound))?;
    let (mut child, addr) = front_process(&dir)?;
    let signal = |name: &str| Command::new("kill").args([name, &child.id().to_string()]).status();
    let second = Duration::from_secs(1);
    let (mut usual, mut after) = (Vec::new(), Vec::new());
    for _ in 0..stops {
        usual.push(open(addr, RATE, second)?);
        // Load that piles up in the front's sockets while it is stopped; what it is answered is not looked at.
        let piled = std::thread::spawn(move || drop(open(addr, RATE / 2.0, length)));
        std::thread::sleep(Duration::from_millis(50));
        signal("-STOP")?;
        std::thread::sleep(length);
        signal("-CONT")?;
        after.push(open(addr, RATE, second)?);
        let _ = piled.join();
    }
    let middle = |all: &[[f64; 3]], q: usize| {
        let mut v: Vec<f64> = all.iter().map(|r| r[q]).collect();
        v.sort_by(f64::total_cmp);
        v[v.len() / 2]
    };
    for (name, all) in [("usually", &usual), ("the second after a wake", &after)] {
        println!("  {name:<26} p50 {:.3} ms, p99 {:.3} ms", middle(all, 0), middle(all, 1));
    }
    println!("  the latter over the former at p99: {:.1}", middle(&after, 1) / middle(&usual, 1));
    let _ = (child.kill(), std::fs::remove_dir_all(dir));
    std::process::exit(0);
}

fn resident(pid: u32) -> Result<f64, Failure> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).ok_or("no VmRSS")?;
    Ok(line.trim().trim_end_matches("kB").trim().parse()?)
}

fn memory(sessions: usize) -> Result<(), Failure> {
    let dir = folder("memory")?;
    let full = lean_box(true);
    write_list(&dir, &rows(&[full.addr]))?;
    let (mut child, addr) = front_process(&dir)?;
    load::hold(addr, 200)?;
    let before = resident(child.id())?;
    let began = Instant::now();
    load::hold(addr, sessions)?;
    std::thread::sleep(Duration::from_millis(1500));
    let after = resident(child.id())?;
    println!(
        "{sessions} sessions play, each with its event stream: {:.2} kB resident a session ({before:.0} kB before, \
         {after:.0} kB after; set up in {:.1} s)",
        (after - before) / sessions as f64,
        began.elapsed().as_secs_f64() - 1.5
    );
    let _ = child.kill();
    let _ = std::fs::remove_dir_all(dir);
    std::process::exit(0);
}

fn drain_times(drains: usize) -> Result<(), Failure> {
    let dir = folder("drains")?;
    let boxes = [lean_box(false), lean_box(false)];
    let mut list = rows(&[boxes[0].addr, boxes[1].addr]);
    write_list(&dir, &list)?;
    let front = our_front(&dir);
    std::thread::sleep(Duration::from_millis(300));
    let addr = front.addr;
    let until = Instant::now() + Duration::from_millis(500 * drains as u64 + 500);
    let loading = std::thread::spawn(move || {
        while Instant::now() < until {
            let _ = closed(addr, 16, Duration::from_millis(300));
        }
    });
    let mut times = Vec::new();
    for n in 0..drains {
        let which = n % 2;
        list[which].state = micadyke::interface::ServerState::Draining;
        // Not in step with the front's looks at the file.
        std::thread::sleep(Duration::from_micros(200_000 + (n as u64 * 7_919) % 50_000));
        let written = Instant::now();
        write_list(&dir, &list)?;
        std::thread::sleep(Duration::from_millis(250));
        let last = boxes[which].last_set_up();
        times.push(last.map_or(0.0, |l| l.saturating_duration_since(written).as_secs_f64() * 1e3));
        list[which].state = micadyke::interface::ServerState::Ready;
        write_list(&dir, &list)?;
    }
    times.sort_by(f64::total_cmp);
    let at = |p: f64| times[((times.len() as f64 * p) as usize).min(times.len() - 1)];
    println!(
        "{drains} drains under load: last new set-up {:.1} ms after the list file was written at the median, {:.1} at \
         p99, {:.1} at worst (limit 250)",
        at(0.5),
        at(0.99),
        at(1.0)
    );
    drop(loading.join());
    let _ = std::fs::remove_dir_all(dir);
    std::process::exit(0);
}

//! What the view costs and how soon it knows, in virtual time: `cargo run --release -p micadyke-lab --example measure --
//! 60 300`, a row for each size; `--known`: when one that went is known, `--wrong`: living members given up
//! at 20% loss, each alone; with `--features`, a row for each feature taken out of the first size too. No
//! part of CI.

use micadyke_membership::{Change, Feature, MS, SECOND};
use micadyke_standin::members::*;

/// A fault is given so many seconds to settle in.
const LIMIT: u64 = 300;

fn seconds(nanos: u64) -> f64 {
    nanos as f64 / SECOND as f64
}

/// The time until settled, as text; how much was still open where it is not within the limit.
fn settles(w: &mut World) -> String {
    let from = w.now;
    while let Some(why) = w.unsettled() {
        if w.now > from + LIMIT * SECOND {
            return format!("> {LIMIT} ({why})");
        }
        w.run(100 * MS);
    }
    format!("{:.1}", seconds(w.now - from))
}

fn joined(n: usize, without: Option<Feature>) -> (World, String) {
    let mut w = World::new(n as u64, n);
    w.without = without;
    for i in 0..n {
        w.start(i);
        w.run(SECOND / n as u64);
    }
    let took = settles(&mut w);
    (w, took)
}

/// When each living member took `gone` for down: the median over members, and the worst.
fn detection(w: &World, from: u64, gone: &str) -> (f64, f64) {
    let down = w.told.iter().filter(|t| matches!(&t.2, Change::Down(m) if m.name == gone));
    let mut at: Vec<f64> = down.map(|t| seconds(t.0 - from)).collect();
    at.sort_by(f64::total_cmp);
    (at.get(at.len() / 2).copied().unwrap_or(f64::NAN), at.last().copied().unwrap_or(f64::NAN))
}

/// When one that is killed is known, and one that goes with its machine: the median, the worst.
fn known(n: usize, without: Option<Feature>) -> String {
    let faults: [fn(&mut World, usize); 2] = [World::kill, World::vanish];
    let known = faults.map(|gone| {
        let (mut w, _) = joined(n, without);
        w.told.clear();
        let from = w.now;
        gone(&mut w, n / 2);
        w.run(10 * SECOND);
        let (median, worst) = detection(&w, from, &name(n / 2));
        format!("{median:.1}, {worst:.1}")
    });
    known.join(" | ")
}

/// Resident memory of this process, in bytes.
fn resident() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split_whitespace().nth(1).and_then(|p| p.parse::<f64>().ok()).unwrap_or(f64::NAN) * 4096.0
}

/// Joins, and faults one after the other.
fn faults(n: usize, without: Option<Feature>) -> String {
    let before = resident();
    let (mut w, join) = joined(n, without);
    // Later rows take what the first has freed: its figure alone says something.
    let memory = (resident() - before) / n as f64 / 1024.0;
    w.run(10 * SECOND);
    w.bytes.clear();
    w.run(20 * SECOND);
    let bytes = w.bytes.values().sum::<u64>() as f64 / n as f64 / 20.0;
    let (gone, from) = (n / 2, w.now);
    w.told.clear();
    w.kill(gone);
    let one = settles(&mut w);
    let (median, worst) = detection(&w, from, &name(gone));
    w.start(gone);
    settles(&mut w);
    let from = w.now;
    w.told.clear();
    w.vanish(gone);
    settles(&mut w);
    let silent = detection(&w, from, &name(gone));
    (0..n).filter(|i| i % 10 < 7 && *i != gone).for_each(|i| w.kill(i));
    let many = settles(&mut w);
    (0..n).filter(|i| i % 10 < 7 || *i == gone).for_each(|i| w.start(i));
    let back = settles(&mut w);
    w.partition(|i| i % 3);
    w.run(6 * SECOND);
    w.partition(|_| 0);
    let healed = settles(&mut w);
    let silent = format!("{:.1}, {:.1}", silent.0, silent.1);
    format!(
        "{join} | {median:.1}, {worst:.1}; {one} | {silent} | {many} | {back} | {healed} | {bytes:.0} | {memory:.0}"
    )
}

/// Living members given up, an hour a member, at this loss, or with one in ten that has no turn for 0.9 of each second.
fn wrong(n: usize, without: Option<Feature>, loss: f64, slow: bool) -> String {
    let runs = (600 / n).clamp(1, 10);
    let all: Vec<f64> = (0..runs).map(|run| wrong_once((n, run), without, loss, slow)).collect();
    format!("{:.1}", all.iter().sum::<f64>() / runs as f64)
}

fn wrong_once((n, run): (usize, usize), without: Option<Feature>, loss: f64, slow: bool) -> f64 {
    let (mut w, _) = joined(n, without);
    // Another course from here on.
    (0..run).for_each(|_| {
        w.lot(2);
    });
    w.told.clear();
    w.loss = loss;
    let span = if n > 500 { 10 } else { 60 };
    for second in 0..span {
        let slowed: Vec<usize> = (0..n).filter(|i| slow && i % 10 == second % 10).collect();
        slowed.iter().for_each(|i| w.stop(*i));
        w.run(900 * MS);
        slowed.iter().for_each(|i| w.go_on(*i));
        w.run(100 * MS);
    }
    w.given_up().len() as f64 / n as f64 * 3600.0 / span as f64
}

fn row(n: usize, without: Option<Feature>) -> String {
    let faults = faults(n, without);
    std::thread::scope(|s| {
        let wrongs = [(0.0, false), (0.05, false), (0.2, false), (0.0, true)]
            .map(|(loss, slow)| s.spawn(move || wrong(n, without, loss, slow)));
        let wrongs = wrongs.map(|w| w.join().unwrap_or_else(|_| "-".to_owned()));
        format!("| {n} | {without:?} | {faults} | {} |", wrongs.join(", "))
    })
}

fn main() {
    println!(
        "| members | without | join s | one killed: median, worst; settled s | its machine with it: median, worst | 7 in 10 killed | back | cut in 3 for 6 s | bytes/s a member | KiB a member | false downs an hour a member at 0, 5, 20% loss; one in ten slow |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let sizes: Vec<usize> = std::env::args().filter_map(|a| a.parse().ok()).collect();
    if std::env::args().any(|a| a == "--known") {
        // When one that went is known, alone, with the fixed time beside it.
        std::thread::scope(|s| {
            for (n, without) in sizes.iter().flat_map(|n| [(*n, None), (*n, Some(Feature::Suspicion))]) {
                s.spawn(move || println!("| {n} | {without:?} | {} |", known(n, without)));
            }
        });
        return;
    }
    if std::env::args().any(|a| a == "--wrong") {
        // The last column's 20% alone, with the fixed time beside it.
        for (n, without) in sizes.iter().flat_map(|n| [(*n, None), (*n, Some(Feature::Suspicion))]) {
            println!("| {n} | {without:?} | {} |", wrong(n, without, 0.2, false));
        }
        return;
    }
    sizes.iter().for_each(|n| println!("{}", row(*n, None)));
    if std::env::args().any(|a| a == "--features") {
        let features = [
            Feature::Suspicion,
            Feature::Confirm,
            Feature::Probe,
            Feature::StallGuard,
            Feature::Buddy,
            Feature::Reconcile,
            Feature::NameRemoved,
            Feature::CallMissing,
        ];
        let first = sizes.first().copied().unwrap_or(60);
        features.into_iter().for_each(|f| println!("{}", row(first, Some(f))));
    }
}

//! `micadyke-lab parts [FRONTS [SERVERS [SEEDS]]]`: what parts of cold budgets are good for, as a table.
//! `micadyke-lab splits [SPLITS]`: splits under load with faults, as a table.

use micadyke_lab::fleet::{Fleet, MS, Parts, Plan, SECOND};
use micadyke_lab::splits::{self, FAULTS, Outcome, Splits};

/// A run is watched for so long after its fault.
const WATCHED: usize = 60;

/// Mean, and half of the interval that holds it in nineteen of twenty cases (normal approximation).
fn mean(of: &[f64]) -> (f64, f64) {
    let n = of.len() as f64;
    let mean = of.iter().sum::<f64>() / n;
    let var = of.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
    (mean, 1.96 * (var / n).sqrt())
}

struct Run {
    half: f64,
    most: f64,
    served: f64,
    refused: f64,
    fell: f64,
}

/// One run: seven in ten fronts killed, or the fleet cut in halves, while `cold` of ten servers start anew.
fn run(plan: Plan, killed: bool, cold: u32) -> Run {
    let mut f = Fleet::new(plan);
    match killed {
        true => f.kill((0..plan.fronts).filter(|n| n % 10 < 7)),
        false => f.members.partition(|n| n % 2),
    }
    // The view has settled when the servers return.
    f.run(30 * SECOND);
    f.restart((0..plan.servers).filter(|n| n % 10 < cold));
    f.seconds.clear();
    f.run(WATCHED as u64 * SECOND);
    if std::env::var_os("LAB_FELL").is_some() {
        let at = f.now - WATCHED as u64 * SECOND;
        eprintln!(
            "{:?} {:?}",
            plan.parts,
            f.fell.iter().map(|t| (t - at) as f64 / SECOND as f64).collect::<Vec<_>>()
        );
    }
    let playing: f64 = f.seconds.iter().map(|s| (s.playing as f64 / f.usual()).min(1.0)).sum();
    let (asked, refused) = f.seconds.iter().fold((0, 0), |sum, s| (sum.0 + s.asked, sum.1 + s.refused));
    let or_all = |n: Option<usize>| n.map_or(WATCHED as f64, |n| n as f64);
    Run {
        half: or_all(f.until(0.7)),
        most: or_all(f.until(0.9)),
        served: playing / WATCHED as f64,
        refused: f64::from(refused) / f64::from(asked.max(1)),
        fell: f.fell.len() as f64,
    }
}

fn parts(fronts: usize, servers: u32, seeds: u64) {
    println!(
        "| fault | servers cold | parts | s to 0.7 of the usual | s to 0.9 | service in 60 s | refused | servers fallen |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (killed, fault) in [(true, "7 in 10 fronts killed"), (false, "cut in two halves")] {
        for cold in [5, 10] {
            for parts in [Parts::Fixed, Parts::Leased] {
                let runs: Vec<Run> = std::thread::scope(|s| {
                    let one = |seed| Plan { seed, fronts, servers, load: 0.6, life: 60 * SECOND, parts };
                    let all: Vec<_> =
                        (1..=seeds).map(|n| s.spawn(move || run(one(n), killed, cold))).collect();
                    all.into_iter().filter_map(|r| r.join().ok()).collect()
                });
                let of = |f: fn(&Run) -> f64| mean(&runs.iter().map(f).collect::<Vec<_>>());
                let (half, most, served, refused, fell) =
                    (of(|r| r.half), of(|r| r.most), of(|r| r.served), of(|r| r.refused), of(|r| r.fell));
                println!(
                    "| {fault} | {cold} in 10 | {parts:?} | {:.1} ± {:.1} | {:.1} ± {:.1} | {:.3} ± {:.3} | {:.3} ± {:.3} | {:.1} ± {:.1} |",
                    half.0, half.1, most.0, most.1, served.0, served.1, refused.0, refused.1, fell.0, fell.1
                );
            }
        }
    }
}

/// One hundredth, and half, of what was measured is at least so much, in units of `unit`.
fn quantiles(mut all: Vec<u64>, unit: u64) -> [f64; 2] {
    all.sort_unstable();
    [0.5, 0.99].map(|q| {
        all.get(((all.len() as f64 * q) as usize).min(all.len().saturating_sub(1)))
            .map_or(f64::NAN, |t| *t as f64 / unit as f64)
    })
}

fn splits(count: u64) {
    println!(
        "| fault | splits | harmed | through | went back | flagged | false flags | missed faults | whole answers | wrong | turned away | s to cut over p50, p99 | ms whole p50, p99 | ms read twice p50, p99 | slower |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let each = count.div_ceil(FAULTS.len() as u64);
    for fault in FAULTS {
        let plan =
            |seed| splits::Plan { seed, fault, entries: 2_000, asked: 300, written: 60, without: None };
        let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64).min(each.max(1));
        let runs: Vec<Outcome> = std::thread::scope(|s| {
            let some = |t| {
                move || {
                    (t..each)
                        .step_by(threads as usize)
                        .map(|n| Splits::new(plan(n + 1)).run())
                        .collect::<Vec<_>>()
                }
            };
            let all: Vec<_> = (0..threads).map(|t| s.spawn(some(t))).collect();
            all.into_iter().filter_map(|r| r.join().ok()).flatten().collect()
        });
        let sum = |f: fn(&Outcome) -> usize| runs.iter().map(f).sum::<usize>();
        let all = |i: usize| runs.iter().flat_map(|r| r.took[i].iter().copied()).collect::<Vec<_>>();
        let [t50, t99] = quantiles(runs.iter().filter_map(|r| r.through).collect(), SECOND / 10);
        let ([w50, w99], [r50, r99]) = (quantiles(all(0), MS / 100), quantiles(all(2), MS / 100));
        let slower = all(2).iter().filter(|t| **t as f64 > w99 * (MS / 100) as f64).count() as f64
            / all(2).len().max(1) as f64;
        println!(
            "| {fault:?} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {:.1}, {:.1} | {:.2}, {:.2} | {:.2}, {:.2} | {:.1}% |",
            runs.len(),
            sum(|r| usize::from(r.harmed > 0)),
            sum(|r| usize::from(r.through.is_some())),
            sum(|r| r.back.len()),
            sum(|r| r.flags()),
            sum(|r| if r.harmed == 0 { r.flags() } else { 0 }),
            sum(|r| usize::from(r.missing > 0)),
            sum(|r| r.whole as usize),
            sum(|r| r.wrong as usize),
            sum(|r| r.turned_away as usize),
            t50 / 10.0,
            t99 / 10.0,
            w50 / 100.0,
            w99 / 100.0,
            r50 / 100.0,
            r99 / 100.0,
            100.0 * slower
        );
    }
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |i: usize, usual: u64| args.get(i).and_then(|a| a.parse().ok()).unwrap_or(usual);
    match args.first().map(String::as_str) {
        Some("parts") => parts(number(1, 60) as usize, number(2, 40) as u32, number(3, 10)),
        Some("splits") => splits(number(1, 1_000)),
        _ => {
            eprintln!("micadyke-lab parts [FRONTS [SERVERS [SEEDS]]] | splits [SPLITS]");
            std::process::exit(2);
        }
    }
}

//! `micadyke-lab parts [FRONTS [SERVERS [SEEDS]]]`: what parts of cold budgets are good for, as a table.
//! `micadyke-lab waits [SEEDS [PRICE [MEMBERS [TIMES]]]]`: how much of an oracle's worth learned deadlines reach, as a table;
//! the price of a second in whole answers, with 60 and 300 members or one of them alone, and
//! one kind of times alone.

use micadyke_lab::fleet::{Fleet, Parts, Plan, SECOND};
use micadyke_lab::waits::{self, Times};

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

fn waits(seeds: u64, price: f64, only: u64, like: &str) {
    println!(
        "| members | times | rule | steady | 1st hundred after all took thrice | 2nd hundred | 2nd hundred after the return | whole run |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for members in [60, 300].into_iter().filter(|m| only == 0 || *m as u64 == only) {
        for times in Times::ALL.into_iter().filter(|t| format!("{t:?}").starts_with(like)) {
            let runs: Vec<_> = std::thread::scope(|s| {
                let all: Vec<_> = (1..=seeds)
                    .map(|seed| s.spawn(move || waits::shares(members, times, price, seed)))
                    .collect();
                all.into_iter().filter_map(|r| r.join().ok()).collect()
            });
            for (i, rule) in waits::Rule::ALL.iter().enumerate() {
                let of = |column: usize| {
                    let (mean, half) =
                        mean(&runs.iter().map(|r: &Vec<[f64; 5]>| r[i][column]).collect::<Vec<_>>());
                    format!("{mean:.3} ± {half:.3}")
                };
                let columns: Vec<String> = (0..5).map(of).collect();
                println!("| {members} | {times:?} | {rule} | {} |", columns.join(" | "));
            }
        }
    }
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |i: usize, usual: u64| args.get(i).and_then(|a| a.parse().ok()).unwrap_or(usual);
    match args.first().map(String::as_str) {
        Some("parts") => parts(number(1, 60) as usize, number(2, 40) as u32, number(3, 10)),
        Some("waits") => waits(
            number(1, 10),
            number(2, 1) as f64 / 1e3,
            number(3, 0),
            args.get(4).map_or("", String::as_str),
        ),
        _ => {
            eprintln!(
                "micadyke-lab parts [FRONTS [SERVERS [SEEDS]]] | waits [SEEDS [PRICE [MEMBERS [TIMES]]]]"
            );
            std::process::exit(2);
        }
    }
}

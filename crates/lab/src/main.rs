//! Tables: `micadyke-lab parts [FRONTS [SERVERS [SEEDS]]]`, what parts of cold budgets are good for; `subsets [SEEDS]`, ways
//! to draw working subsets; `turns [SEEDS]`, who looks at a silent server; `damped [SEEDS]`, shared figures and who answers.

use micadyke_lab::choices::{self, DRAWS, Followed, Follows};
use micadyke_lab::fleet::{Fleet, Parts, Plan, SECOND};

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

/// The columns of a row, each with its mean and interval over the seeds, side by side on all cores.
fn row<const N: usize>(seeds: u64, one: impl Fn(u64) -> [f64; N] + Sync) -> String {
    let runs: Vec<[f64; N]> = std::thread::scope(|s| {
        let all: Vec<_> = (1..=seeds)
            .map(|seed| {
                s.spawn({
                    let one = &one;
                    move || one(seed)
                })
            })
            .collect();
        all.into_iter().filter_map(|r| r.join().ok()).collect()
    });
    let columns = (0..N).map(|i| {
        let (mean, half) = mean(&runs.iter().map(|r| r[i]).collect::<Vec<_>>());
        format!("{mean:.2} ± {half:.2}")
    });
    columns.collect::<Vec<_>>().join(" | ")
}

fn head(columns: &str) {
    println!("| {columns} |");
    println!("|{}", " --- |".repeat(columns.split(" | ").count()));
}

const SIZES: [usize; 3] = [60, 300, 2_400];
const SERVERS: usize = 200;

fn subsets(seeds: u64) {
    head(
        "nodes | subsets | servers a node: mean | most | load, most over mean | p99 over mean | own zone | join moves, over least | 7 in 10 killed move, of what stays | most over mean then",
    );
    for nodes in SIZES {
        for draw in DRAWS {
            let columns = row(seeds, |seed| {
                let c = choices::compare(draw, seed, nodes, SERVERS);
                [
                    c.connections,
                    c.connections_most,
                    c.most,
                    c.p99,
                    c.own_zone,
                    c.join,
                    c.killed,
                    c.most_killed,
                ]
            });
            println!("| {nodes} | {} | {columns} |", draw.name());
        }
    }
    println!();
    head("nodes | servers of one zone gone | its traffic that spills | load, most over mean");
    for nodes in SIZES {
        for gone in [0.0, 0.2, 0.5, 1.0] {
            let columns = row(seeds, |seed| {
                let (spill, most) = choices::short_zone(seed, nodes, SERVERS, gone);
                [spill, most]
            });
            println!("| {nodes} | {gone} | {columns} |");
        }
    }
}

fn turns(seeds: u64) {
    head(
        "nodes | gone, still in the view | who looks | calls a second while silent | s until the first knows | s until 99 in 100 know",
    );
    for nodes in SIZES {
        for gone in [0, 7] {
            for (by_turns, who) in [(false, "each by itself"), (true, "by turns")] {
                let columns = row(seeds, |seed| {
                    let l = choices::look(by_turns, seed, nodes, gone);
                    [l.calls, l.first, l.known]
                });
                println!("| {nodes} | {gone} in 10 | {who} | {columns} |");
            }
        }
    }
}

fn damped(seeds: u64) {
    head("session, s | lag, s | figures are answered | by | load, most over share | swing");
    let law = micadyke_subset::Law::default();
    for (life, lags) in [(60.0, vec![1, 16]), (5.0, vec![1, 4, 8, 16])] {
        for lag in lags.into_iter().map(|quarters| quarters * SECOND / 4) {
            let rows = [
                (Follows::Nobody, 1.0, law),
                (Follows::Whole, 1.0, law),
                (Follows::Own, 1.0, law),
                (Follows::Own, 0.7, law),
                (Follows::Own, 0.3, law),
                (Follows::Own, 1.0, micadyke_subset::Law { gain: 30.0, ..law }),
            ];
            for (follows, part, law) in rows {
                let columns = row(seeds, |seed| {
                    let run = Followed { follows, part, lag, life, law };
                    let s = choices::follow(&run, seed, 300, SERVERS);
                    [s.most, s.swing]
                });
                let what = match follows {
                    Follows::Nobody => "not".to_owned(),
                    Follows::Whole => "whole, at once".to_owned(),
                    Follows::Own => format!("own part, gain {}", law.gain),
                };
                println!("| {life} | {} | {what} | {part} | {columns} |", lag as f64 / SECOND as f64);
            }
        }
    }
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |i: usize, usual: u64| args.get(i).and_then(|a| a.parse().ok()).unwrap_or(usual);
    match args.first().map(String::as_str) {
        Some("parts") => parts(number(1, 60) as usize, number(2, 40) as u32, number(3, 10)),
        Some("subsets") => subsets(number(1, 10)),
        Some("turns") => turns(number(1, 10)),
        Some("damped") => damped(number(1, 10)),
        _ => {
            eprintln!(
                "micadyke-lab parts [FRONTS [SERVERS [SEEDS]]] | subsets [SEEDS] | turns [SEEDS] | damped [SEEDS]"
            );
            std::process::exit(2);
        }
    }
}

//! Tables: `micadyke-lab parts [FRONTS [SERVERS [SEEDS]]]`, what parts of cold budgets are good for; `subsets [SEEDS]`, ways
//! to draw working subsets; `turns [SEEDS]`, who looks at a silent server; `damped [SEEDS]`, shared figures and who answers;
//! `joined [SEEDS [NODES [PRICE [ROW]]]]`, subsets and turns in the program as it runs, with a handshake's
//! price in thousandths of all worth; one row of the table alone, where given.
//! `micadyke-lab waits [SEEDS [PRICE [MEMBERS [TIMES [FIRST SEED]]]]]`: how much of an oracle's worth learned deadlines reach,
//! as a table; the price of a second in whole answers, with 60 and 300 members or as many as stated, and one kind of times
//! alone. `micadyke-lab asks [QUESTIONS]`: what a question to the directory costs its asker, waits fixed and learned in turn.
//! `micadyke-lab ramps [SEEDS [GROUP SIZE]]`: what cold servers get from all fronts together, beyond what they bear.
//! `micadyke-lab splits [SPLITS [FAULT]]`: splits under load with faults, or with one, as a table.

mod ramps;

use micadyke_lab::choices::{self, DRAWS, Followed, Follows};
use micadyke_lab::fleet::{Fleet, MS, Parts, Plan, SECOND};
use micadyke_lab::joined::{self, Way};
use micadyke_lab::splits::{self, FAULTS, Outcome, Splits};
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
    let law = micadyke_subset::ControlLaw::default();
    for (life, lags) in [(60.0, vec![1, 16]), (5.0, vec![1, 4, 8, 16])] {
        for lag in lags.into_iter().map(|quarters| quarters * SECOND / 4) {
            let rows = [
                (Follows::Nobody, 1.0, law),
                (Follows::Whole, 1.0, law),
                (Follows::Own, 1.0, law),
                (Follows::Own, 0.7, law),
                (Follows::Own, 0.3, law),
                (Follows::Own, 1.0, micadyke_subset::ControlLaw { gain: 30.0, ..law }),
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

/// Subsets and turns joined to the program, on and off, each alone, beside other ways to draw.
fn joins(seeds: u64, nodes: usize, price: f64, only: usize) {
    head(
        "nodes | price of a handshake | subsets | turns | figures | connections a node | handshakes in 100 requests | load, most over mean | p99 over mean | served in 100 | refused in 100 | calls a second at a silent server | set-ups in vain a second | s until its return is known | join moves, over least | 7 in 10 killed move | served in 100 then",
    );
    let rows = [
        (Way::All, false, false),
        (Way::Random, false, false),
        (Way::Rendezvous, false, false),
        (Way::Working, false, false),
        (Way::All, true, false),
        (Way::All, false, true),
        (Way::Working, true, false),
        (Way::Working, true, true),
    ];
    let on = |on| if on { "on" } else { "off" };
    for (way, turns, figures) in
        rows.into_iter().enumerate().filter(|r| only == 0 || r.0 + 1 == only).map(|r| r.1)
    {
        let columns = row(seeds, |seed| {
            let j = joined::run(joined::Plan { seed, nodes, servers: SERVERS, way, turns, figures, price });
            [
                j.connections,
                100.0 * j.handshakes,
                j.most,
                j.p99,
                100.0 * j.served,
                100.0 * j.refused,
                j.calls,
                j.in_vain,
                j.known,
                j.join,
                j.killed,
                100.0 * j.served_killed,
            ]
        });
        println!("| {nodes} | {price} | {way:?} | {} | {} | {columns} |", on(turns), on(figures));
    }
}

fn waits(seeds: u64, price: f64, only: u64, like: &str, first: u64) {
    println!(
        "| members | times | rule | steady | 1st hundred after all took thrice | 2nd hundred | 2nd hundred after the return | whole run |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for members in if only == 0 { vec![60, 300] } else { vec![only as usize] } {
        for times in Times::ALL.into_iter().filter(|t| format!("{t:?}").starts_with(like)) {
            let runs: Vec<_> = std::thread::scope(|s| {
                let all: Vec<_> = (first..first + seeds)
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

/// What a question to the directory costs its asker.
fn asks(questions: usize) {
    println!("| members | fixed wait: us p50, p99 | learned: us p50, p99 |");
    println!("| --- | --- | --- |");
    for members in [8, 60, 300] {
        let waits::Cost { fixed, learned } = waits::cost(members, questions);
        println!("| {members} | {:.0}, {:.0} | {:.0}, {:.0} |", fixed.0, fixed.1, learned.0, learned.1);
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

fn splits(count: u64, fault: &str) {
    println!(
        "| fault | splits | harmed | through | went back | flagged | false flags | missed faults | whole answers | wrong | turned away | s to cut over p50, p99 | ms whole p50, p99 | ms read twice p50, p99 | slower |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let each = count.div_ceil(FAULTS.len() as u64);
    for fault in splits::faults(fault) {
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
        Some("subsets") => subsets(number(1, 10)),
        Some("turns") => turns(number(1, 10)),
        Some("joined") => {
            joins(number(1, 10), number(2, 60) as usize, number(3, 50) as f64 / 1e3, number(4, 0) as usize)
        }
        Some("damped") => damped(number(1, 10)),
        Some("waits") => waits(
            number(1, 10),
            number(2, 1) as f64 / 1e3,
            number(3, 0),
            args.get(4).map_or("", String::as_str),
            number(5, 1),
        ),
        Some("ramps") => ramps::table(number(1, 10), args.get(2).and_then(|a| a.parse().ok())),
        Some("asks") => asks(number(1, 2_000) as usize),
        Some("splits") => splits(number(1, 1_000), args.get(2).map_or("", String::as_str)),
        _ => {
            eprintln!(
                "micadyke-lab parts [FRONTS [SERVERS [SEEDS]]] | subsets [SEEDS] | turns [SEEDS] | damped [SEEDS] | joined [SEEDS [NODES [PRICE [ROW]]]] | waits [SEEDS [PRICE [MEMBERS [TIMES [FIRST SEED]]]]] | ramps [SEEDS [GROUP SIZE]] | asks [QUESTIONS] | splits [SPLITS [FAULT]]"
            );
            std::process::exit(2);
        }
    }
}

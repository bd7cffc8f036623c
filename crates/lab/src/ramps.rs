//! The table of ramps: what cold servers got from all fronts together, beyond what the settings allow them.

use micadyke_lab::fleet::{MS, SECOND};
use micadyke_lab::ramp::{Deployment, Found, Plan, Restarts, run, slack};

/// Deployments that are drawn for the table of ramps, and the numbers of processes.
const DEPLOYMENTS: usize = 4;
const PROCESSES: [usize; 2] = [20, 30];
/// Ramps run side by side.
const SIDE_BY_SIDE: usize = 3;

/// Prints the table; `group_size` replaces the right number of fronts in their settings.
pub fn table(seeds: u64, group_size: Option<u32>) {
    for (number, d) in (0..DEPLOYMENTS).map(|n| (n, Deployment::drawn(n))) {
        println!(
            "deployment {number}: {:?}, {} of {} servers start, load {:.2}, sessions of {} s, list up to {:.1} s late, clocks within {} ms",
            d.bound,
            d.started(),
            d.servers,
            d.load,
            d.life / SECOND,
            d.lag as f64 / SECOND as f64,
            d.clocks / MS
        );
    }
    println!();
    crate::head(
        "deployment | N at the start | slack then | processes | restarts | set-ups at cold servers | largest excess over N | over N, none warmed | over N, of told fronts | over N and slack | fell | rule broken | by age too",
    );
    for number in 0..DEPLOYMENTS {
        let deployment = Deployment::drawn(number);
        let allowed = deployment.bound.allowed(deployment.bound.cold_from);
        for fronts in PROCESSES {
            let group_size = group_size.unwrap_or(fronts as u32);
            for restarts in Restarts::ALL {
                let f = all_seeds(seeds, |seed| Plan { deployment, fronts, group_size, seed, restarts });
                println!(
                    "| {number} | {allowed:.1} | {:.1} | {fronts} | {restarts:?} | {} | {:.1} | {:.1} | {:.1} | {:.1} | {} | {} | {} |",
                    slack(allowed),
                    f.set_ups,
                    f.excess,
                    f.excess_unwarmed,
                    f.excess_told,
                    f.over,
                    f.fell,
                    f.broken,
                    f.broken_by_age
                );
            }
        }
    }
}

/// What ramps of all seeds found, the worst of them.
fn all_seeds(seeds: u64, plan: impl Fn(u64) -> Plan) -> Found {
    let plans: Vec<Plan> = (1..=seeds).map(plan).collect();
    let side_by_side = |some: &[Plan]| {
        std::thread::scope(|s| {
            let all: Vec<_> = some.iter().map(|plan| s.spawn(|| run(*plan))).collect();
            all.into_iter().filter_map(|r| r.join().ok()).fold(Found::default(), Found::and)
        })
    };
    plans.chunks(SIDE_BY_SIDE).map(side_by_side).fold(Found::default(), Found::and)
}

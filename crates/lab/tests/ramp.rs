//! The sum of all fronts' set-ups at cold servers, small enough for CI.

use micadyke_lab::ramp::{Deployment, Found, Plan, Restarts, run};

const FRONTS: [usize; 2] = [20, 30];

fn plan(deployment: usize, fronts: usize, seed: u64, restarts: Restarts) -> Plan {
    let deployment = Deployment::drawn(deployment);
    Plan { deployment, fronts, group_size: fronts as u32, seed, restarts }
}

#[test]
fn a_dozen_ramps_stay_within_what_cold_servers_bear() {
    for seed in 0..12 {
        let (deployment, fronts) = (1 + seed % 2, FRONTS[seed / 2 % 2]);
        let restarts = Restarts::ALL[seed / 4];
        let found = run(plan(deployment, fronts, seed as u64, restarts));
        assert!(found.set_ups > 100, "seed {seed}: nobody comes: {found:?}");
        assert_eq!(found.broken, 0, "seed {seed}: {found:?}");
    }
}

/// A cold server bears fewer set-ups in a window than there are fronts: few come to each, so they count together.
#[test]
fn a_dozen_ramps_of_small_servers_stay_within_what_they_bear() {
    let mut all = Found::default();
    for seed in 0..12 {
        let (restarts, fronts) = (Restarts::ALL[seed / 4], FRONTS[seed % 2]);
        let found = run(plan(0, fronts, seed as u64, restarts));
        assert_eq!(found.broken, 0, "seed {seed}: {found:?}");
        all = all.and(found);
    }
    assert!(all.set_ups > 100, "nobody comes: {all:?}");
}

#[test]
fn fronts_told_that_they_are_alone_push_servers_over() {
    for fronts in FRONTS {
        let sound = plan(1, fronts, 1, Restarts::None);
        let found: Found = run(Plan { group_size: 1, ..sound });
        assert!(found.broken > 0, "{fronts}: {found:?}");
    }
}

//! Tests of budget shares in whole fleets in virtual time: they never exceed the whole, and shares of dead members are used.

use micadyke_membership::share::ShareSettings;
use micadyke_membership::{MS, SECOND};
use micadyke_standin::members::*;

const LEASE: u64 = 3 * SECOND;

fn fleet(seed: u64, n: usize) -> World {
    let mut w = World::new(seed, n);
    w.shares = Some(ShareSettings {
        fleet_size: n as u32,
        guaranteed_per_mille: 500,
        lease_duration: LEASE,
        max_drift_per_mille: 10,
    });
    (0..n).for_each(|i| w.start(i));
    w.until_settled(60);
    w.run(3 * LEASE);
    w
}

fn sum(w: &World) -> f64 {
    w.parts().values().sum()
}

#[test]
fn shares_of_dead_members_are_redistributed_and_of_partitioned_ones_are_not() {
    let mut w = fleet(1, 20);
    assert!((sum(&w) - 1.0).abs() < 1e-9, "{:?}", w.parts());
    // Seven in ten processes die, and their machines refuse connections. Only their guaranteed shares stay unused.
    (0..14).for_each(|n| w.kill(n));
    w.run(20 * SECOND);
    assert!((sum(&w) - 0.65).abs() < 1e-9, "{:?}", w.parts());
    // They return: they do not vote before a lease has passed; then all have their usual share.
    (0..14).for_each(|n| w.start(n));
    w.run(20 * SECOND);
    assert!((sum(&w) - 1.0).abs() < 1e-9, "{:?}", w.parts());
    // Of two equal halves neither has a majority. Of two unequal sides the larger one continues.
    w.partition(|n| n % 2);
    w.run(20 * SECOND);
    assert!((sum(&w) - 0.5).abs() < 1e-9, "{:?}", w.parts());
    w.partition(|n| usize::from(n < 8));
    w.run(40 * SECOND);
    assert!((w.parts()[&19] - (0.5 / 20.0 + 0.5 / 12.0)).abs() < 1e-9, "{:?}", w.parts());
    assert!((w.parts()[&0] - 0.5 / 20.0).abs() < 1e-9, "{:?}", w.parts());
    assert!(w.most < 1.0 + 1e-9, "{}", w.most);
}

#[test]
fn stalled_member_does_not_use_an_expired_lease() {
    let mut w = fleet(2, 10);
    w.stop(4);
    w.run(20 * SECOND);
    // The others redistribute the shares; the lease of the stalled member has expired by its own clock.
    assert!((w.parts()[&4] - 0.05).abs() < 1e-9 && w.parts()[&5] > 0.1, "{:?}", w.parts());
    w.go_on(4);
    w.run(100 * MS);
    assert!((w.parts()[&4] - 0.05).abs() < 1e-9, "{:?}", w.parts());
    w.run(30 * SECOND);
    assert!((sum(&w) - 1.0).abs() < 1e-9 && w.most < 1.0 + 1e-9, "{} {:?}", w.most, w.parts());
}

#[test]
fn shares_never_exceed_the_whole_under_random_faults() {
    let scripts = std::env::var("MICADYKE_SCRIPTS").ok().and_then(|n| n.parse().ok()).unwrap_or(12);
    let mut digest = 0u64;
    for seed in 0..scripts {
        let n = 4 + seed as usize % 7;
        let mut w = fleet(2000 + seed, n);
        for _ in 0..14 {
            let i = w.lot(n);
            let runs = w.processes.contains_key(&i);
            match w.lot(6) {
                0 if runs && w.processes.len() > 1 => w.kill(i),
                1 if !runs => w.start(i),
                2 => {
                    let by = w.lot(3) + 2;
                    w.partition(|m| usize::from(m % by == 0));
                }
                3 => w.partition(|_| 0),
                4 if runs => {
                    w.stop(i);
                    let span = w.lot(9000) as u64 * MS;
                    w.run(span);
                    w.go_on(i);
                }
                _ => (w.loss, w.way) = (0.2, (MS, 300 * MS)),
            }
            let span = w.lot(5000) as u64 * MS;
            w.run(span);
        }
        assert!(w.most < 1.0 + 1e-9, "seed {seed}: {}", w.most);
        digest = digest.rotate_left(1) ^ w.digest();
    }
    println!("digest of {scripts} scripts: {digest:016x}");
}

//! Whole fleets, small enough for CI: one seed, one verdict.

use micadyke_lab::fleet::{Fleet, Parts, Plan, SECOND};

fn returns(parts: Parts, sides: usize) -> Fleet {
    let plan = Plan { seed: 3, fronts: 16, servers: 10, load: 0.6, life: 20 * SECOND, parts };
    let mut f = Fleet::new(plan);
    let playing = f.usual();
    assert!((playing - 600.0).abs() < 1e-9);
    f.members.partition(|n| n % sides);
    f.run(20 * SECOND);
    f.restart(0..10);
    f.seconds.clear();
    f.run(40 * SECOND);
    f
}

#[test]
fn a_crowd_at_servers_that_are_all_cold_pushes_none_over_and_is_served_in_the_end() {
    for parts in [Parts::Fixed, Parts::Leased] {
        let f = returns(parts, 2);
        assert!(f.fell.is_empty(), "{parts:?}: {:?}", f.fell);
        assert!(f.until(0.9).is_some(), "{parts:?}");
    }
    // The laboratory sees what goes wrong: sides that each count the living take the whole, each of them. Two are within
    // what is left free for chance.
    assert!(!returns(Parts::Seen, 8).fell.is_empty());
}

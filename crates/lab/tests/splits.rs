//! Splits under load, small enough for CI: one seed each, one verdict.

use micadyke_lab::splits::{FAULTS, Fault, Outcome, Plan, Splits};
use micadyke_shards::Feature;

fn run(fault: Fault, seed: u64, without: Option<Feature>) -> Outcome {
    Splits::new(Plan { seed, fault, entries: 1_200, asked: 100, written: 30, without }).run()
}

#[test]
fn whatever_goes_wrong_no_fault_is_missed_and_none_is_seen_that_is_not_there() {
    for (seed, fault) in FAULTS.into_iter().enumerate() {
        let out = run(fault, seed as u64 + 1, None);
        assert_eq!((out.missing, out.wrong), (0, 0), "{fault:?}");
        assert!(out.harmed > 0 || out.flags() == 0, "{fault:?}: {:?}", out.back);
        assert!(out.through.is_some() || out.harmed > 0, "{fault:?}: {:?}", out.back);
        assert!(out.whole > 300 && out.equal > 50, "{fault:?}: {} whole, {} equal", out.whole, out.equal);
    }
}

#[test]
fn a_border_in_both_halves_goes_back_and_without_digests_a_copier_that_holds_back_is_missed() {
    let out = run(Fault::Border, 1, None);
    assert!(out.flags() > 0 && out.through.is_none(), "{:?}", out.back);
    let missed = (1..=8).filter(|s| run(Fault::HoldsBack, *s, Some(Feature::Digests)).missing > 0).count();
    assert!(missed > 0);
}

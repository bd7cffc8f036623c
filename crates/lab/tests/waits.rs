//! Learned waits beside an oracle, small enough for CI: one seed, a few members.

use micadyke_lab::waits::{Rule, Times, shares};

#[test]
fn learned_waits_reach_what_an_oracle_does_and_find_a_change() {
    for times in [Times::Bimodal, Times::Stalls, Times::Shared] {
        let of = shares(24, times, 0.001, 5);
        let learned = of[0];
        assert_eq!(Rule::ALL[0], Rule::Learned(None));
        assert!(learned[0] >= 0.95 && learned[2] >= 0.9 && learned[3] >= 0.9, "{times:?}: {learned:?}");
        // The laboratory sees what goes wrong: to wait for all costs more than it brings where some stand still.
        assert!(times != Times::Stalls || of[3][0] < 0.9, "{times:?}: {:?}", of[3]);
    }
}

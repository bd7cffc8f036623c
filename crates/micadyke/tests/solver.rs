//! The solver of the fluid programme, compared with a brute-force search.

use micadyke::decide::{FluidClass, Prices, dual_value, solve};
use proptest::prelude::*;

fn kinds() -> impl Strategy<Value = Vec<FluidClass>> {
    let steps = prop::collection::vec((0.1f64..2.0, 0.01f64..1.0), 1..5);
    prop::collection::vec((0.1f64..1.0, steps), 1..4).prop_map(|classes| {
        let sum: f64 = classes.iter().map(|c| c.0).sum();
        let ladder = |steps: Vec<(f64, f64)>| {
            let mut at = (0.0, 0.0);
            let rise = |s: (f64, f64)| {
                at = (at.0 + s.0, at.1 + s.1);
                at
            };
            steps.into_iter().map(rise).collect::<Vec<_>>()
        };
        classes
            .into_iter()
            .map(|(observer, steps)| FluidClass { weight: observer / sum, rungs: ladder(steps) })
            .collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// No point of a coarse grid of prices nor of a fine grid around the solution has a lower dual value.
    #[test]
    fn no_other_prices_have_a_lower_dual_value(kinds in kinds(), link in 0.05f64..3.0, streams in 0.05f64..1.5) {
        let best = solve(&kinds, link, streams);
        prop_assert!(best.rate >= 0.0 && best.stream >= 0.0);
        let value = dual_value(&kinds, link, streams, best);
        for i in 0..=120 {
            for j in 0..=120 {
                let far = Prices { rate: f64::from(i) * 0.1, stream: f64::from(j) * 0.04 };
                let near = Prices {
                    rate: (best.rate + (f64::from(i) - 60.0) * 1e-3).max(0.0),
                    stream: (best.stream + (f64::from(j) - 60.0) * 1e-3).max(0.0),
                };
                for p in [far, near] {
                    prop_assert!(dual_value(&kinds, link, streams, p) >= value - 1e-7, "{p:?} beats {best:?}");
                }
            }
        }
    }

    /// Resources that do not bind have no price.
    #[test]
    fn ample_budgets_have_zero_prices(kinds in kinds()) {
        let p = solve(&kinds, 100.0, 100.0);
        prop_assert_eq!(p, Prices { rate: 0.0, stream: 0.0 });
    }
}

#[test]
fn binding_link_is_priced_at_marginal_rung() {
    // Half of the set-ups can have the upper rung, so the price is its extra worth over its extra rate.
    let kind = FluidClass { weight: 1.0, rungs: vec![(1.0, 0.5), (2.0, 0.8)] };
    let p = solve(&[kind], 1.5, 10.0);
    assert!((p.rate - 0.3).abs() < 1e-9 && p.stream == 0.0, "{p:?}");
}

#[test]
fn binding_link_excludes_class_of_lower_worth() {
    let dear = FluidClass { weight: 0.5, rungs: vec![(1.0, 2.0)] };
    let cheap = FluidClass { weight: 0.5, rungs: vec![(1.0, 1.0)] };
    let p = solve(&[dear, cheap], 0.5, 10.0);
    assert!(2.0 - p.rate >= 0.0 && p.rate >= 1.0 - 1e-9, "{p:?}");
}

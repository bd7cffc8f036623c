//! With known latencies, `best_wait_end` comes close to the optimum of all rules.

use micadyke_deadline::{AskedMember, LatencyDistribution, Nanos, OpenQuery, Worth, best_wait_end};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const MS: Nanos = 1_000_000;
const MEMBERS: usize = 20;
/// The probability of an answer by a time in milliseconds, or the inverse.
type Of = fn(f64) -> f64;
/// Number of steps of one millisecond.
const STEPS: usize = 600;

/// The optimal mean worth, by dynamic programming from the last step backwards over the number of missing answers. Members
/// are alike, so no other state matters.
fn best(worth: &Worth, by: Of) -> f64 {
    let end = |t: usize, missing: usize| {
        worth.value_after((MEMBERS - missing) as f64 / MEMBERS as f64, t as Nanos * MS)
    };
    let mut value: Vec<f64> = (0..=MEMBERS).map(|m| end(STEPS, m)).collect();
    for t in (0..STEPS).rev() {
        let still = 1.0 - by(t as f64);
        let p =
            if still > 1e-12 { ((by(t as f64 + 1.0) - by(t as f64)) / still).clamp(0.0, 1.0) } else { 1.0 };
        let of = |missing: usize| {
            // The number of them that answer within the step has a binomial distribution.
            let (mut chances, mut go_on) = (vec![1.0], 0.0);
            for _ in 0..missing {
                let mut next = vec![0.0; chances.len() + 1];
                for (k, c) in chances.iter().enumerate() {
                    next[k] += c * (1.0 - p);
                    next[k + 1] += c * p;
                }
                chances = next;
            }
            chances.iter().enumerate().for_each(|(k, c)| go_on += c * value[missing - k]);
            end(t, missing).max(go_on)
        };
        value = (0..=MEMBERS).map(of).collect();
    }
    value[MEMBERS]
}

/// The mean worth that `best_wait_end` reaches.
fn reached(worth: &Worth, by: Of, draw: Of) -> f64 {
    let mut r = StdRng::seed_from_u64(8);
    let latencies = vec![LatencyDistribution::from_fn(|t| by(t as f64 / MS as f64)); MEMBERS];
    let one = |_| {
        let mut took: Vec<Nanos> =
            (0..MEMBERS).map(|_| (draw(r.random_range(1e-9..1.0)).min(1e6) * MS as f64) as Nanos).collect();
        took.sort_unstable();
        let w =
            AskedMember { name: "n".into(), zone: "z".into(), weight: 1.0, liveness: 1.0, answered_at: None };
        let mut open =
            OpenQuery { kind: 0, asked_at: 0, deadline: STEPS as Nanos * MS, members: vec![w; MEMBERS] };
        let mut end = best_wait_end(worth, 0, &open, &latencies);
        for (i, t) in took.into_iter().enumerate() {
            if t > end {
                break;
            }
            open.members[i].answered_at = Some(t);
            end = best_wait_end(worth, t, &open, &latencies);
        }
        worth.value_after(open.completeness(), end)
    };
    const TIMES: usize = 800;
    (0..TIMES).map(one).sum::<f64>() / TIMES as f64
}

#[test]
fn best_wait_end_is_close_to_optimum() {
    let two_humps: (Of, Of) = (
        |t| 0.85 * ((t - 5.0) / 10.0).clamp(0.0, 1.0) + 0.15 * ((t - 40.0) / 80.0).clamp(0.0, 1.0),
        |u| if u < 0.85 { 5.0 + 10.0 * u / 0.85 } else { 40.0 + 80.0 * (u - 0.85) / 0.15 },
    );
    let tail: (Of, Of) = (|t| 1.0 - (5.0 / t.max(5.0)).powf(1.2), |u| 5.0 * u.powf(-1.0 / 1.2));
    let curves = [
        vec![(0.0, 0.0), (1.0, 1.0)],
        vec![(0.0, 0.0), (0.5, 0.8), (1.0, 1.0)],
        vec![(0.0, 0.0), (0.9, 0.2), (1.0, 1.0)],
    ];
    for (name, (by, draw)) in [("two humps", two_humps), ("tail", tail)] {
        for curve in &curves {
            for price in [0.0005, 0.003] {
                let worth = Worth { curve: curve.clone(), price, ..Worth::default() };
                let (best, reached) = (best(&worth, by), reached(&worth, by, draw));
                assert!(reached > 0.96 * best - 0.005, "{name} {curve:?} {price}: {reached:.4} of {best:.4}");
                assert!(reached < 1.03 * best + 0.01, "{name} {curve:?} {price}: {reached:.4} of {best:.4}");
            }
        }
    }
}

//! Tests of invalid settings and of the limits of queries.

use micadyke_deadline::query_limits::{QueryLimiter, QueryLimits, Refused};
use micadyke_deadline::{Error, LatencyDistribution, Settings, Worth, split};
use proptest::prelude::*;
use std::collections::BTreeSet;

#[test]
fn each_invalid_setting_is_found_and_has_advice() {
    let curve = |c: &[(f64, f64)]| Settings {
        default_worth: Worth { curve: c.to_vec(), ..Worth::default() },
        ..Settings::default()
    };
    let usual = |w: Worth| Settings { default_worth: w, ..Settings::default() };
    let cases = [
        (curve(&[(0.0, 0.0)]), Error::PointCount(1)),
        (curve(&[(0.0, 0.0), (0.9, 1.0)]), Error::CurveRange(0.0, 0.9)),
        (curve(&[(0.0, 0.0), (1.0, 1.5)]), Error::PointOutOfRange(1.0, 1.5)),
        (curve(&[(0.0, 0.0), (0.5, 0.9), (1.0, 0.8)]), Error::NotIncreasing(1.0, 0.8)),
        (curve(&[(0.0, 0.0), (0.5, 0.1), (0.5, 0.8), (1.0, 1.0)]), Error::NotIncreasing(0.5, 0.8)),
        (usual(Worth { price: 0.0, ..Worth::default() }), Error::Price(0.0)),
        (usual(Worth { initial_latency: 1, ..Worth::default() }), Error::InitialLatency(1)),
        (usual(Worth { max_wait: 1, ..Worth::default() }), Error::MaxWait(1)),
        (Settings { memory: 2, ..Settings::default() }, Error::Memory(2)),
        (
            Settings { kinds: (0..17).map(|k| (k, Worth::default())).collect(), ..Settings::default() },
            Error::TooManyKinds(17),
        ),
    ];
    let mut said = BTreeSet::new();
    for (settings, fault) in cases {
        assert_eq!(settings.check(), Err(fault.clone()));
        said.insert(fault.advice());
        assert!(!fault.to_string().contains(fault.advice()));
    }
    assert_eq!(said.len(), 9, "each error has its own advice");
    // The operator's page contains the same advice.
    said.extend([Refused::TooManyOpen(1), Refused::Rate].map(|r| r.advice()));
    let page = include_str!("../../../docs/operate/deadline.md");
    for advice in said {
        assert!(page.contains(&format!(" | {advice} |")), "{advice}");
    }
    let unknown = curve(&[(0.0, f64::NAN), (1.0, 1.0)]).check();
    assert!(matches!(unknown, Err(Error::PointOutOfRange(..))), "{unknown:?}");
}

#[test]
fn form_is_read_and_errors_are_reported_with_advice() {
    use micadyke_config::{Form, read_file};
    let read = |text: &str| {
        read_file(text, "f.sexp", "incomplete", |nodes, faults| {
            Some(Settings::read(&Form::of(nodes.first()?, faults)?, &[("where", 3), ("load", 4)]))
        })
    };
    let text = r#"(deadline (usual (price 0.001) (first 5ms)) (kind "load" (curve 0 0 0.999 0.2 1 1)))"#;
    let settings = read(text).expect("sound");
    assert_eq!(
        (settings.worth(3).price, settings.worth(4).price, settings.worth(4).initial_latency),
        (0.001, 0.001, 5_000_000)
    );
    assert!(settings.worth(4).value(0.99) < 0.2 && settings.check().is_ok());
    let table = [
        (r#"(kind "wher")"#, "none of where, load"),
        (r#"(kind "load") (kind "load")"#, "given twice"),
        ("(usual (curve 0% 0% 100%))", "pairs"),
        ("(usual (curve 0% 0% 50% 100%))", "end it at completeness 1"),
        ("(usual (curve 0% nothing))", "not a share"),
        ("(usual (price 0))", "patience"),
        ("(usual (prise 1))", "'price'?"),
        ("(usual (most 1us))", "most"),
        ("(remember 2)", "no whole number"),
    ];
    for (part, what) in table {
        let faults = read(&format!("(deadline {part})")).expect_err(part);
        assert!(faults.iter().any(|f| f.to_string().contains(what)), "{part}: {faults:?}");
    }
}

proptest! {
    /// Whatever is queried, answered and removed, the limits hold and no member that may still answer is queried again.
    #[test]
    fn queries_stay_within_limits(steps in prop::collection::vec((0u8..4, 0u64..6, 0usize..8, 0u64..400), 1..200)) {
        let limits = QueryLimits { max_open_queries: 4, members_per_second: 20.0, burst: 12.0, max_owed_answers: 2, answer_timeout: 2_000_000_000 };
        let names: Vec<String> = (0..8).map(|n| format!("n{n}")).collect();
        let all: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut limiter = QueryLimiter::new(limits);
        // Answers that may still arrive: query, member, and when the query was last sent.
        let mut owed: Vec<(u64, usize, u64)> = Vec::new();
        let (mut now, mut sent) = (0, 0);
        for (what, question, member, later) in steps {
            now += later * 1_000_000;
            match what {
                0 => {
                    limiter.record_answer(question, all[member]);
                    owed.retain(|o| (o.0, o.1) != (question, member));
                }
                1 => {
                    limiter.remove_member(all[member]);
                    owed.retain(|o| o.1 != member);
                }
                _ => {
                    let open = |o: &[(u64, usize, u64)]| o.iter().map(|o| o.0).collect::<BTreeSet<_>>().len();
                    match limiter.admit(now, question, &all[..=member]) {
                        Ok(asked) => {
                            owed.retain(|o| now - o.2 <= limits.answer_timeout);
                            sent += asked.len();
                            for name in &asked {
                                let m = all.iter().position(|n| n == name).unwrap_or(99);
                                prop_assert!(m <= member && !owed.iter().any(|o| (o.0, o.1) == (question, m)));
                                owed.push((question, m, now));
                            }
                            if !asked.is_empty() {
                                owed.iter_mut().filter(|o| o.0 == question).for_each(|o| o.2 = now);
                            }
                        }
                        Err(Refused::TooManyOpen(n)) => prop_assert_eq!(n, limits.max_open_queries),
                        Err(Refused::Rate) => {}
                    }
                    prop_assert!(open(&owed) <= limits.max_open_queries);
                    prop_assert!((0..8).all(|m| owed.iter().filter(|o| o.1 == m).count() <= limits.max_owed_answers));
                    prop_assert!(sent as f64 <= limits.burst + limits.members_per_second * now as f64 / 1e9 + 1e-6);
                }
            }
        }
    }

    /// The two levels together never take more than the budget.
    #[test]
    fn split_stays_within_budget(budget in 1u64..3_000_000_000, below in 1.0f64..1e9, way in 1.0f64..1e9) {
        let latency = |mean: f64| LatencyDistribution::from_fn(move |t| 1.0 - (-(t as f64) / mean).exp());
        let (lower, whole) = split(&Worth::default(), &latency(below), &latency(way), budget);
        prop_assert!(lower < whole && whole <= budget);
    }
}

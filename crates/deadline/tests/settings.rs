//! Faults of the settings, and bounds of the asking.

use micadyke_deadline::asking::{Asking, Bounds, Refused};
use micadyke_deadline::{Error, Law, Settings, Worth, split};
use proptest::prelude::*;
use std::collections::BTreeSet;

#[test]
fn each_fault_is_found_and_says_what_to_do() {
    let curve = |c: &[(f64, f64)]| Settings {
        usual: Worth { curve: c.to_vec(), ..Worth::default() },
        ..Settings::default()
    };
    let usual = |w: Worth| Settings { usual: w, ..Settings::default() };
    let cases = [
        (curve(&[(0.0, 0.0)]), Error::Points(1)),
        (curve(&[(0.0, 0.0), (0.9, 1.0)]), Error::Span(0.0, 0.9)),
        (curve(&[(0.0, 0.0), (1.0, 1.5)]), Error::Outside(1.0, 1.5)),
        (curve(&[(0.0, 0.0), (0.5, 0.9), (1.0, 0.8)]), Error::Falls(1.0, 0.8)),
        (curve(&[(0.0, 0.0), (0.5, 0.1), (0.5, 0.8), (1.0, 1.0)]), Error::Falls(0.5, 0.8)),
        (usual(Worth { price: 0.0, ..Worth::default() }), Error::Price(0.0)),
        (usual(Worth { first: 1, ..Worth::default() }), Error::First(1)),
        (usual(Worth { most: 1, ..Worth::default() }), Error::Most(1)),
        (Settings { remember: 2, ..Settings::default() }, Error::Remember(2)),
        (
            Settings { kinds: (0..17).map(|k| (k, Worth::default())).collect(), ..Settings::default() },
            Error::Kinds(17),
        ),
    ];
    let mut said = BTreeSet::new();
    for (settings, fault) in cases {
        assert_eq!(settings.check(), Err(fault.clone()));
        said.insert(fault.advice());
        assert!(!fault.to_string().contains(fault.advice()));
    }
    assert_eq!(said.len(), 9, "each has advice of its own");
    // The operator's page says the same.
    said.extend([Refused::Open(1), Refused::Rate].map(|r| r.advice()));
    let page = include_str!("../../../docs/operate/deadline.md");
    for advice in said {
        assert!(page.contains(&format!(" | {advice} |")), "{advice}");
    }
    let unknown = curve(&[(0.0, f64::NAN), (1.0, 1.0)]).check();
    assert!(matches!(unknown, Err(Error::Outside(..))), "{unknown:?}");
}

#[test]
fn a_form_is_read_and_what_is_wrong_with_it_is_named_with_what_to_do() {
    use micadyke_config::{Form, read_file};
    let read = |text: &str| {
        read_file(text, "f.sexp", "incomplete", |nodes, faults| {
            Some(Settings::read(&Form::of(nodes.first()?, faults)?, &[("where", 3), ("load", 4)]))
        })
    };
    let text = r#"(deadline (usual (price 0.001) (first 5ms)) (kind "load" (curve 0 0 0.999 0.2 1 1)))"#;
    let settings = read(text).expect("sound");
    assert_eq!(
        (settings.worth(3).price, settings.worth(4).price, settings.worth(4).first),
        (0.001, 0.001, 5_000_000)
    );
    assert!(settings.worth(4).of(0.99) < 0.2 && settings.check().is_ok());
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
    /// Whatever is asked, answered and given up: no more than the bounds, nobody asked twice who may still answer.
    #[test]
    fn asking_stays_within_its_bounds(steps in prop::collection::vec((0u8..4, 0u64..6, 0usize..8, 0u64..400), 1..200)) {
        let bounds = Bounds { open: 4, rate: 20.0, burst: 12.0, owed: 2, forget: 2_000_000_000 };
        let names: Vec<String> = (0..8).map(|n| format!("n{n}")).collect();
        let all: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut asking = Asking::new(bounds);
        // What may still be answered: question, member, and when the question was last asked.
        let mut owed: Vec<(u64, usize, u64)> = Vec::new();
        let (mut now, mut sent) = (0, 0);
        for (what, question, member, later) in steps {
            now += later * 1_000_000;
            match what {
                0 => {
                    asking.answered(question, all[member]);
                    owed.retain(|o| (o.0, o.1) != (question, member));
                }
                1 => {
                    asking.given_up(all[member]);
                    owed.retain(|o| o.1 != member);
                }
                _ => {
                    let open = |o: &[(u64, usize, u64)]| o.iter().map(|o| o.0).collect::<BTreeSet<_>>().len();
                    match asking.ask(now, question, &all[..=member]) {
                        Ok(asked) => {
                            owed.retain(|o| now - o.2 <= bounds.forget);
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
                        Err(Refused::Open(n)) => prop_assert_eq!(n, bounds.open),
                        Err(Refused::Rate) => {}
                    }
                    prop_assert!(open(&owed) <= bounds.open);
                    prop_assert!((0..8).all(|m| owed.iter().filter(|o| o.1 == m).count() <= bounds.owed));
                    prop_assert!(sent as f64 <= bounds.burst + bounds.rate * now as f64 / 1e9 + 1e-6);
                }
            }
        }
    }

    /// Two levels never take more than the budget.
    #[test]
    fn a_split_lies_within_its_budget(budget in 1u64..3_000_000_000, below in 1.0f64..1e9, way in 1.0f64..1e9) {
        let law = |mean: f64| Law::of(move |t| 1.0 - (-(t as f64) / mean).exp());
        let (lower, whole) = split(&Worth::default(), &law(below), &law(way), budget);
        prop_assert!(lower < whole && whole <= budget);
    }
}

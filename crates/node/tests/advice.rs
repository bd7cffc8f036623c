//! Spreading of retry delays during recovery.

use micadyke::interface::{Action, Event, ListKind, Nanos, SessionId, Settings};
use micadyke::module::Decide;
use micadyke_node::advice::SpreadAdvice;
use micadyke_recovery::record::StoredState;
use std::collections::BTreeSet;

/// A module that refuses everything with the same delay.
struct Refuses;

impl Decide for Refuses {
    fn handle(&mut self, _: Nanos, _: Event, out: &mut Vec<Action>) {
        out.push(Action::Refuse { session: SessionId(1), retry_after: 7 });
    }
}

#[test]
fn a_crowd_is_spread_until_the_module_knows_servers() {
    // 40 streams that are filled over 10 s: four set-ups per second.
    let settings = Settings {
        fronts: 1,
        cells: 4,
        streams_by_kind: vec![10],
        cold_from: 1.0,
        cold_for: 10_000_000_000,
        advises_retry: true,
        max_retry_after: 10_000_000_000,
        ..Settings::default()
    };
    let mut module = SpreadAdvice::new(Refuses, &settings, Some(&StoredState::default()));
    let mut ask = |event: Event| {
        let mut out = Vec::new();
        module.handle(5, event, &mut out);
        let [Action::Refuse { retry_after, .. }] = out[..] else { panic!("{out:?}") };
        retry_after
    };
    let left = || Event::Left { session: SessionId(1) };
    let told: BTreeSet<Nanos> = (0..37).map(|_| ask(left())).collect();
    // Four per second from the first second to the tenth, each at a different time.
    assert_eq!((told.len(), told.first(), told.last()), (37, Some(&1_000_000_000), Some(&10_000_000_000)));
    assert!(told.iter().zip(told.iter().skip(1)).all(|(a, b)| b - a == 250_000_000));
    assert_eq!(ask(Event::List { kind: ListKind::Full, entries: Vec::new() }), 7);
    assert_eq!(ask(left()), 7);
}

//! The phases, step by step and by a model: nothing is served before the list but at its limit, and all come into service.

use micadyke_recovery::phases::*;
use micadyke_recovery::record::Kept;
use micadyke_recovery::trust::*;
use micadyke_recovery::{Nanos, SECOND};
use stateright::{Checker, Model, Property};

const LIMITS: Limits =
    Limits { list: 10 * SECOND, view: 20 * SECOND, servers: 2 * SECOND, parts: 5 * SECOND };
/// A time at which clocks are set: 2026-12-01.
const NOW: Nanos = 1_796_083_200 * SECOND;

fn kept(version: u64, members: &[(&str, u64)], at: Nanos) -> Kept {
    let members = members.iter().map(|(n, s)| ((*n).to_owned(), *s)).collect();
    Kept {
        start: Some(("n0".into(), 7, at)),
        list: Some((version, 1, at, Vec::new())),
        view: Some((at, members, 3)),
        ..Kept::default()
    }
}

fn phases(kept: &Kept, unix: Nanos) -> Phases {
    Phases::new(LIMITS, ("n0", 100), kept, unix, true, false, 0)
}

fn feed(p: &mut Phases, now: Nanos, heard: &[Heard]) -> Vec<Asks> {
    let mut out = Vec::new();
    heard.iter().for_each(|h| p.handle(now, h.clone(), &mut out));
    out
}

const BEFORE: [(&str, u64); 4] = [("n0", 7), ("n1", 1), ("n2", 2), ("n3", 3)];

#[test]
fn one_that_returns_alone_into_a_fleet_that_stood_is_in_service_at_once() {
    let mut p = phases(&kept(9, &BEFORE, NOW - SECOND), NOW);
    let asks = feed(
        &mut p,
        SECOND,
        &[Heard::List { version: 9 }, Heard::Lives { name: "n1", start: 1 }, Heard::Settled(true)],
    );
    assert_eq!(asks, [Asks::Serve(Serve { warm: true, fell: Fell::Some })]);
    assert!(!p.limited);
}

#[test]
fn where_all_fell_servers_are_asked_parts_waited_for_and_all_count_as_cold() {
    let mut p = phases(&kept(9, &BEFORE, NOW - SECOND), NOW);
    let back = [Heard::Lives { name: "n1", start: 11 }, Heard::Lives { name: "n2", start: 12 }];
    let asks = feed(&mut p, SECOND, &[Heard::List { version: 9 }]);
    assert_eq!((asks, p.phase()), (vec![], Phase::View));
    // One of three is not enough, two are; and the view has to be settled.
    assert_eq!(feed(&mut p, 2 * SECOND, &[back[0].clone(), Heard::Settled(true)]), []);
    assert_eq!(feed(&mut p, 2 * SECOND, &[Heard::Settled(false), back[1].clone()]), []);
    assert!(p.waits_for(2 * SECOND).contains("2 of 3"), "{}", p.waits_for(2 * SECOND));
    assert_eq!(feed(&mut p, 3 * SECOND, &[Heard::Settled(true)]), [Asks::Servers]);
    assert_eq!((p.fell(), p.phase()), (Fell::All, Phase::Servers));
    assert_eq!(feed(&mut p, 3 * SECOND, &[Heard::Answered]), []);
    let serve = Serve { warm: false, fell: Fell::All };
    assert_eq!(feed(&mut p, 4 * SECOND, &[Heard::Leased]), [Asks::Serve(serve)]);
    // Nothing more is asked for, whatever comes.
    let later = [Heard::Wake, Heard::Lives { name: "n3", start: 3 }, Heard::Leased, Heard::Answered];
    assert_eq!(feed(&mut p, 90 * SECOND, &later), []);
}

#[test]
fn a_bus_that_begins_anew_with_older_lists_is_waited_for_no_longer_than_its_limit() {
    let mut p = phases(&kept(9, &[], NOW - SECOND), NOW);
    feed(&mut p, SECOND, &[Heard::List { version: 2 }]);
    assert_eq!(p.phase(), Phase::List);
    assert!(
        p.waits_for(SECOND).contains("version 9 (the bus has 2); 9 s at most"),
        "{}",
        p.waits_for(SECOND)
    );
    feed(&mut p, LIMITS.list, &[Heard::Wake]);
    assert_eq!((p.phase(), p.limited), (Phase::View, true));
}

#[test]
fn one_node_alone_serves_after_all_limits_whatever_it_waits_for() {
    let mut p = phases(&kept(9, &BEFORE, NOW - SECOND), NOW);
    let (mut now, mut asks) = (0, Vec::new());
    while p.phase() < Phase::Serving {
        now = p.wake_at();
        asks.extend(feed(&mut p, now, &[Heard::Wake]));
    }
    assert_eq!(now, LIMITS.list + LIMITS.view + LIMITS.servers + LIMITS.parts);
    assert_eq!(asks, [Asks::Servers, Asks::Serve(Serve { warm: false, fell: Fell::All })]);
}

#[test]
fn without_a_store_a_start_long_before_the_own_one_shows_that_the_fleet_stood() {
    let mut p = Phases::new(LIMITS, ("n0", 1_000_000), &Kept::default(), NOW, false, false, 0);
    let list = Heard::List { version: 1 };
    let asks = feed(&mut p, 1, &[list.clone(), Heard::Lives { name: "n1", start: 1_000_000 - STOOD_MS - 1 }]);
    assert_eq!((asks, p.fell()), (vec![], Fell::Some));
    let asks = feed(&mut p, 2, &[Heard::Settled(true)]);
    assert_eq!(asks, [Asks::Serve(Serve { warm: true, fell: Fell::Some })]);
    let mut p = Phases::new(LIMITS, ("n0", 1_000_000), &Kept::default(), NOW, false, false, 0);
    let asks = feed(&mut p, 1, &[list, Heard::Lives { name: "n1", start: 999_000 }, Heard::Settled(true)]);
    assert_eq!((asks, p.fell()), (vec![Asks::Servers], Fell::All));
}

#[test]
fn a_clock_at_1970_or_set_back_makes_ages_unknown() {
    assert_eq!(Age::of(NOW, NOW + SECOND), Age::Late);
    assert_eq!(Age::of(NOW, NOW + 61 * SECOND), Age::Old);
    assert_eq!(Age::of(NOW, NOW - 86_400 * SECOND), Age::Unknown);
    assert_eq!(Age::of(SECOND, 2 * SECOND), Age::Unknown);
    assert_eq!(Age::of(SECOND, NOW), Age::Unknown);
}

#[test]
fn the_table_says_what_the_docs_say_and_nothing_kept_is_a_licence() {
    let docs = include_str!("../../../docs/design/recovery.md");
    for line in TABLE {
        let name = format!("{:?}", line.fact).to_lowercase();
        let good = [line.some_late, line.some_old, line.all_late, line.all_old, line.agreed];
        let good: Vec<String> = good.iter().map(|t| word(*t).to_owned()).collect();
        let row = format!("| {name} | {} | {} |", good.join(" | "), line.why);
        assert!(docs.contains(&row), "docs/design/recovery.md lacks: {row}");
    }
    for fact in FACTS {
        for age in [Age::Late, Age::Old, Age::Unknown] {
            for fell in [Fell::Unknown, Fell::Some, Fell::All] {
                assert_eq!(trust(fact, age, fell, Word::Contradicts), Trust::Void);
                let alone = trust(fact, age, fell, Word::Nothing);
                // Without a word from whoever can know, nothing is simply true; seats and sessions are never acted on.
                assert_ne!(alone, Trust::True);
                if matches!(fact, Fact::Seat | Fact::Session | Fact::Servers | Fact::Lease) {
                    assert!(matches!(alone, Trust::Hint | Trust::Void), "{fact:?}");
                }
                if fact == Fact::Warmth && fell != Fell::Some {
                    assert_eq!(alone, Trust::Void);
                }
            }
        }
    }
}

fn word(trust: Trust) -> &'static str {
    match trust {
        Trust::True => "true",
        Trust::UntilContradicted => "until contradicted",
        Trust::Hint => "hint",
        Trust::Void => "void",
    }
}

/// All orders in which things can be heard, with time that passes to any limit.
struct All {
    kept: Kept,
    leases: bool,
    /// Breaks the machine on purpose: `List` is skipped.
    broken: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Seen {
    phases: Phases,
    now: Nanos,
    /// When the own word of the bus came.
    listed: bool,
    served: Vec<(Fell, bool)>,
    asked: usize,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Step {
    Lives(u8, bool),
    Gone(u8),
    Settled(bool),
    List(u64),
    Answered,
    Leased,
    Limit,
}

const NAMES: [&str; 2] = ["n1", "n2"];

impl Model for All {
    type State = Seen;
    type Action = Step;

    fn init_states(&self) -> Vec<Seen> {
        let phases = Phases::new(LIMITS, ("n0", 100), &self.kept, NOW, self.leases, false, 0);
        vec![Seen { phases, now: 0, listed: false, served: Vec::new(), asked: 0 }]
    }

    fn actions(&self, state: &Seen, actions: &mut Vec<Step>) {
        if state.phases.phase() < Phase::Serving {
            actions.extend([Step::Limit, Step::Answered, Step::Leased, Step::List(1), Step::List(9)]);
            actions.extend([Step::Settled(true), Step::Settled(false)]);
            actions.extend((0..2).flat_map(|n| [Step::Lives(n, true), Step::Lives(n, false), Step::Gone(n)]));
        }
    }

    fn next_state(&self, last: &Seen, step: Step) -> Option<Seen> {
        let mut next = last.clone();
        let before = |n: u8| u64::from(n) + 1;
        let heard = match step {
            Step::Lives(n, same) => {
                Heard::Lives { name: NAMES[n as usize], start: if same { before(n) } else { 50 } }
            }
            Step::Gone(n) => Heard::Gone { name: NAMES[n as usize] },
            Step::Settled(s) => Heard::Settled(s),
            Step::List(version) => {
                next.listed |= version == 9;
                Heard::List { version }
            }
            Step::Answered => Heard::Answered,
            Step::Leased => Heard::Leased,
            Step::Limit => {
                next.now = last.phases.wake_at();
                Heard::Wake
            }
        };
        let mut out = Vec::new();
        if self.broken {
            next.phases.handle(next.now, Heard::List { version: 9 }, &mut out);
        }
        next.phases.handle(next.now, heard, &mut out);
        for ask in out {
            match ask {
                Asks::Servers => next.asked += 1,
                Asks::Serve(s) => next.served.push((s.fell, s.warm)),
            }
        }
        (next != *last).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never open before the list but at its limit", |_, s: &Seen| {
                s.phases.phase() == Phase::List || s.listed || s.phases.limited
            }),
            Property::always("in service once, and by the sum of all limits", |_, s: &Seen| {
                let all = LIMITS.list + LIMITS.view + LIMITS.servers + LIMITS.parts;
                let serving = s.phases.phase() == Phase::Serving;
                s.served.len() == usize::from(serving)
                    && s.now <= all
                    && (serving || s.phases.wake_at() <= all)
            }),
            Property::always("servers are asked once at the most", |_, s: &Seen| s.asked <= 1),
            Property::always("warm only where somebody lived through", |_, s: &Seen| {
                s.served.iter().all(|(fell, warm)| !warm || *fell == Fell::Some)
            }),
            Property::eventually("in service", |_, s: &Seen| s.phases.phase() == Phase::Serving),
        ]
    }
}

#[test]
fn whoever_watches_is_told_each_stage_and_until_when() {
    use micadyke_recovery::watched::{Stage, Watched};
    use std::sync::{Arc, Mutex};
    let told: Arc<Mutex<Vec<Stage>>> = Arc::default();
    let tell = told.clone();
    let mut kept = kept(9, &[("n1", 1)], NOW - SECOND);
    kept.watched = Watched::by(move |stage| tell.lock().expect("not poisoned").push(stage));
    let mut p = phases(&kept, NOW);
    feed(&mut p, SECOND, &[Heard::List { version: 8 }]);
    feed(&mut p, 2 * SECOND, &[Heard::List { version: 9 }]);
    feed(&mut p, 5 * SECOND, &[Heard::Lives { name: "n1", start: 1 }, Heard::Settled(true)]);
    let told = std::mem::take(&mut *told.lock().expect("not poisoned"));
    let told: Vec<_> = told.iter().map(|s| (s.phase, s.waits_for.as_str(), s.left / SECOND)).collect();
    let view = "the others: 0 of 1 from before, the view is not settled";
    let back = "the others: 1 of 1 from before, the view is not settled";
    let table = [
        (Phase::List, "a list from the bus", 10),
        (Phase::List, "a list of version 9 (the bus has 8)", 9),
        (Phase::View, view, 20),
        (Phase::View, back, 17),
        (Phase::Serving, "nothing: in service", 0),
    ];
    assert_eq!(told, table);
}

#[test]
fn in_every_order_of_events_it_opens_after_the_list_and_in_the_end() {
    let kept = kept(9, &[("n1", 1), ("n2", 2)], NOW - SECOND);
    for leases in [true, false] {
        let model = All { kept: kept.clone(), leases, broken: false };
        let checker = model.checker().spawn_bfs().join();
        checker.assert_no_discovery("never open before the list but at its limit");
        checker.assert_no_discovery("in service once, and by the sum of all limits");
        checker.assert_no_discovery("servers are asked once at the most");
        checker.assert_no_discovery("warm only where somebody lived through");
        assert!(checker.unique_state_count() > 500, "{}", checker.unique_state_count());
    }
    let broken = All { kept, leases: true, broken: true }.checker().spawn_bfs().join();
    assert!(broken.discovery("never open before the list but at its limit").is_some());
}

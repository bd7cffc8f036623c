//! Tests of the recovery phases, step by step and by a model checker: service does not start before the server list has
//! arrived or its limit has passed, and it always starts in the end.

use micadyke_recovery::phases::*;
use micadyke_recovery::record::StoredState;
use micadyke_recovery::trust::*;
use micadyke_recovery::{Nanos, SECOND};
use stateright::{Checker, Model, Property};

const LIMITS: Limits =
    Limits { list: 10 * SECOND, view: 20 * SECOND, servers: 2 * SECOND, parts: 5 * SECOND };
/// A plausible time of a clock: 2026-12-01.
const NOW: Nanos = 1_796_083_200 * SECOND;

fn kept(version: u64, members: &[(&str, u64)], at: Nanos) -> StoredState {
    let members = members.iter().map(|(n, s)| ((*n).to_owned(), *s)).collect();
    StoredState {
        start: Some(("n0".into(), 7, at)),
        list: Some((version, 1, at, Vec::new())),
        view: Some((at, members, 3)),
        ..StoredState::default()
    }
}

fn phases(kept: &StoredState, unix: Nanos) -> RecoveryPhases {
    RecoveryPhases::new(LIMITS, ("n0", 100), kept, unix, true, false, 0)
}

fn handle_all(p: &mut RecoveryPhases, now: Nanos, heard: &[RecoveryInput]) -> Vec<RecoveryOutput> {
    let mut out = Vec::new();
    heard.iter().for_each(|h| p.handle(now, h.clone(), &mut out));
    out
}

const BEFORE: [(&str, u64); 4] = [("n0", 7), ("n1", 1), ("n2", 2), ("n3", 3)];

#[test]
fn single_restart_into_surviving_fleet_serves_at_once() {
    let mut p = phases(&kept(9, &BEFORE, NOW - SECOND), NOW);
    let asks = handle_all(
        &mut p,
        SECOND,
        &[
            RecoveryInput::List { version: 9 },
            RecoveryInput::MemberAlive { name: "n1", start: 1 },
            RecoveryInput::ViewSettled(true),
        ],
    );
    assert_eq!(asks, [RecoveryOutput::StartService(ServiceStart { warm: true, outage: Outage::Partial })]);
    assert!(!p.limit_reached);
}

#[test]
fn total_outage_probes_servers_waits_for_share_and_starts_cold() {
    let mut p = phases(&kept(9, &BEFORE, NOW - SECOND), NOW);
    let back = [
        RecoveryInput::MemberAlive { name: "n1", start: 11 },
        RecoveryInput::MemberAlive { name: "n2", start: 12 },
    ];
    let asks = handle_all(&mut p, SECOND, &[RecoveryInput::List { version: 9 }]);
    assert_eq!((asks, p.phase()), (vec![], Phase::View));
    // Two of the three other members must be back, and the view must be settled.
    assert_eq!(handle_all(&mut p, 2 * SECOND, &[back[0].clone(), RecoveryInput::ViewSettled(true)]), []);
    assert_eq!(handle_all(&mut p, 2 * SECOND, &[RecoveryInput::ViewSettled(false), back[1].clone()]), []);
    assert!(p.waits_for(2 * SECOND).contains("2 of 3"), "{}", p.waits_for(2 * SECOND));
    assert_eq!(
        handle_all(&mut p, 3 * SECOND, &[RecoveryInput::ViewSettled(true)]),
        [RecoveryOutput::ProbeServers]
    );
    assert_eq!((p.outage(), p.phase()), (Outage::Total, Phase::Servers));
    assert_eq!(handle_all(&mut p, 3 * SECOND, &[RecoveryInput::ServersAnswered]), []);
    let serve = ServiceStart { warm: false, outage: Outage::Total };
    assert_eq!(
        handle_all(&mut p, 4 * SECOND, &[RecoveryInput::ShareLeased]),
        [RecoveryOutput::StartService(serve)]
    );
    // Further inputs have no effect.
    let later = [
        RecoveryInput::Timer,
        RecoveryInput::MemberAlive { name: "n3", start: 3 },
        RecoveryInput::ShareLeased,
        RecoveryInput::ServersAnswered,
    ];
    assert_eq!(handle_all(&mut p, 90 * SECOND, &later), []);
}

#[test]
fn older_list_of_restarted_bus_is_used_after_limit() {
    let mut p = phases(&kept(9, &[], NOW - SECOND), NOW);
    handle_all(&mut p, SECOND, &[RecoveryInput::List { version: 2 }]);
    assert_eq!(p.phase(), Phase::List);
    assert!(
        p.waits_for(SECOND).contains("version 9 (the bus has 2); 9 s at most"),
        "{}",
        p.waits_for(SECOND)
    );
    handle_all(&mut p, LIMITS.list, &[RecoveryInput::Timer]);
    assert_eq!((p.phase(), p.limit_reached), (Phase::View, true));
}

#[test]
fn single_node_serves_after_all_limits() {
    let mut p = phases(&kept(9, &BEFORE, NOW - SECOND), NOW);
    let (mut now, mut asks) = (0, Vec::new());
    while p.phase() < Phase::Serving {
        now = p.wake_at();
        asks.extend(handle_all(&mut p, now, &[RecoveryInput::Timer]));
    }
    assert_eq!(now, LIMITS.list + LIMITS.view + LIMITS.servers + LIMITS.parts);
    assert_eq!(
        asks,
        [
            RecoveryOutput::ProbeServers,
            RecoveryOutput::StartService(ServiceStart { warm: false, outage: Outage::Total })
        ]
    );
}

#[test]
fn without_store_an_early_start_shows_surviving_member() {
    let mut p = RecoveryPhases::new(LIMITS, ("n0", 1_000_000), &StoredState::default(), NOW, false, false, 0);
    let list = RecoveryInput::List { version: 1 };
    let asks = handle_all(
        &mut p,
        1,
        &[
            list.clone(),
            RecoveryInput::MemberAlive { name: "n1", start: 1_000_000 - SURVIVOR_START_MARGIN_MS - 1 },
        ],
    );
    assert_eq!((asks, p.outage()), (vec![], Outage::Partial));
    let asks = handle_all(&mut p, 2, &[RecoveryInput::ViewSettled(true)]);
    assert_eq!(asks, [RecoveryOutput::StartService(ServiceStart { warm: true, outage: Outage::Partial })]);
    let mut p = RecoveryPhases::new(LIMITS, ("n0", 1_000_000), &StoredState::default(), NOW, false, false, 0);
    let asks = handle_all(
        &mut p,
        1,
        &[list, RecoveryInput::MemberAlive { name: "n1", start: 999_000 }, RecoveryInput::ViewSettled(true)],
    );
    assert_eq!((asks, p.outage()), (vec![RecoveryOutput::ProbeServers], Outage::Total));
}

#[test]
fn unset_or_set_back_clock_makes_ages_unknown() {
    assert_eq!(Age::of(NOW, NOW + SECOND), Age::Recent);
    assert_eq!(Age::of(NOW, NOW + 61 * SECOND), Age::Old);
    assert_eq!(Age::of(NOW, NOW - 86_400 * SECOND), Age::Unknown);
    assert_eq!(Age::of(SECOND, 2 * SECOND), Age::Unknown);
    assert_eq!(Age::of(SECOND, NOW), Age::Unknown);
}

#[test]
fn trust_table_matches_docs_and_unconfirmed_facts_are_never_certain() {
    let docs = include_str!("../../../docs/design/recovery.md");
    for line in TABLE {
        let name = format!("{:?}", line.fact).to_lowercase();
        let levels =
            [line.partial_recent, line.partial_old, line.total_recent, line.total_old, line.confirmed];
        let levels: Vec<String> = levels.iter().map(|t| level_name(*t).to_owned()).collect();
        let row = format!("| {name} | {} | {} |", levels.join(" | "), line.reason);
        assert!(docs.contains(&row), "docs/design/recovery.md lacks: {row}");
    }
    for fact in ALL_FACTS {
        for age in [Age::Recent, Age::Old, Age::Unknown] {
            for fell in [Outage::Unknown, Outage::Partial, Outage::Total] {
                assert_eq!(trust(fact, age, fell, Confirmation::Contradicted), Trust::Worthless);
                let alone = trust(fact, age, fell, Confirmation::Unconfirmed);
                // Nothing unconfirmed is certain, and unconfirmed seats and sessions are never acted on.
                assert_ne!(alone, Trust::Certain);
                if matches!(fact, Fact::Seat | Fact::Session | Fact::Servers | Fact::Lease) {
                    assert!(matches!(alone, Trust::Hint | Trust::Worthless), "{fact:?}");
                }
                if fact == Fact::Warmth && fell != Outage::Partial {
                    assert_eq!(alone, Trust::Worthless);
                }
            }
        }
    }
}

fn level_name(trust: Trust) -> &'static str {
    match trust {
        Trust::Certain => "certain",
        Trust::UntilContradicted => "until contradicted",
        Trust::Hint => "hint",
        Trust::Worthless => "worthless",
    }
}

/// A model of all orders of inputs, in which time may pass up to any limit.
struct RecoveryModel {
    kept: StoredState,
    leases: bool,
    /// Fault injection: `List` is skipped.
    broken: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ModelState {
    phases: RecoveryPhases,
    now: Nanos,
    /// The bus has delivered a list as new as the stored one.
    listed: bool,
    served: Vec<(Outage, bool)>,
    asked: usize,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum ModelAction {
    Lives(u8, bool),
    Gone(u8),
    Settled(bool),
    List(u64),
    Answered,
    Leased,
    Limit,
}

const NAMES: [&str; 2] = ["n1", "n2"];

impl Model for RecoveryModel {
    type State = ModelState;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<ModelState> {
        let phases = RecoveryPhases::new(LIMITS, ("n0", 100), &self.kept, NOW, self.leases, false, 0);
        vec![ModelState { phases, now: 0, listed: false, served: Vec::new(), asked: 0 }]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<ModelAction>) {
        if state.phases.phase() < Phase::Serving {
            actions.extend([
                ModelAction::Limit,
                ModelAction::Answered,
                ModelAction::Leased,
                ModelAction::List(1),
                ModelAction::List(9),
            ]);
            actions.extend([ModelAction::Settled(true), ModelAction::Settled(false)]);
            actions.extend((0..2).flat_map(|n| {
                [ModelAction::Lives(n, true), ModelAction::Lives(n, false), ModelAction::Gone(n)]
            }));
        }
    }

    fn next_state(&self, last: &ModelState, step: ModelAction) -> Option<ModelState> {
        let mut next = last.clone();
        let before = |n: u8| u64::from(n) + 1;
        let heard = match step {
            ModelAction::Lives(n, same) => RecoveryInput::MemberAlive {
                name: NAMES[n as usize],
                start: if same { before(n) } else { 50 },
            },
            ModelAction::Gone(n) => RecoveryInput::MemberGone { name: NAMES[n as usize] },
            ModelAction::Settled(s) => RecoveryInput::ViewSettled(s),
            ModelAction::List(version) => {
                next.listed |= version == 9;
                RecoveryInput::List { version }
            }
            ModelAction::Answered => RecoveryInput::ServersAnswered,
            ModelAction::Leased => RecoveryInput::ShareLeased,
            ModelAction::Limit => {
                next.now = last.phases.wake_at();
                RecoveryInput::Timer
            }
        };
        let mut out = Vec::new();
        if self.broken {
            next.phases.handle(next.now, RecoveryInput::List { version: 9 }, &mut out);
        }
        next.phases.handle(next.now, heard, &mut out);
        for ask in out {
            match ask {
                RecoveryOutput::ProbeServers => next.asked += 1,
                RecoveryOutput::StartService(s) => next.served.push((s.outage, s.warm)),
            }
        }
        (next != *last).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never open before the list but at its limit", |_, s: &ModelState| {
                s.phases.phase() == Phase::List || s.listed || s.phases.limit_reached
            }),
            Property::always("in service once, and by the sum of all limits", |_, s: &ModelState| {
                let all = LIMITS.list + LIMITS.view + LIMITS.servers + LIMITS.parts;
                let serving = s.phases.phase() == Phase::Serving;
                s.served.len() == usize::from(serving)
                    && s.now <= all
                    && (serving || s.phases.wake_at() <= all)
            }),
            Property::always("servers are asked once at the most", |_, s: &ModelState| s.asked <= 1),
            Property::always("warm only where somebody lived through", |_, s: &ModelState| {
                s.served.iter().all(|(fell, warm)| !warm || *fell == Outage::Partial)
            }),
            Property::eventually("in service", |_, s: &ModelState| s.phases.phase() == Phase::Serving),
        ]
    }
}

#[test]
fn observer_gets_each_progress_with_time_left() {
    use micadyke_recovery::progress::{Progress, ProgressObserver};
    use std::sync::{Arc, Mutex};
    let told: Arc<Mutex<Vec<Progress>>> = Arc::default();
    let tell = told.clone();
    let mut kept = kept(9, &[("n1", 1)], NOW - SECOND);
    kept.observer = ProgressObserver::new(move |stage| tell.lock().expect("not poisoned").push(stage));
    let mut p = phases(&kept, NOW);
    handle_all(&mut p, SECOND, &[RecoveryInput::List { version: 8 }]);
    handle_all(&mut p, 2 * SECOND, &[RecoveryInput::List { version: 9 }]);
    handle_all(
        &mut p,
        5 * SECOND,
        &[RecoveryInput::MemberAlive { name: "n1", start: 1 }, RecoveryInput::ViewSettled(true)],
    );
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
fn model_serves_after_list_in_every_order_of_events() {
    let kept = kept(9, &[("n1", 1), ("n2", 2)], NOW - SECOND);
    for leases in [true, false] {
        let model = RecoveryModel { kept: kept.clone(), leases, broken: false };
        let checker = model.checker().spawn_bfs().join();
        checker.assert_no_discovery("never open before the list but at its limit");
        checker.assert_no_discovery("in service once, and by the sum of all limits");
        checker.assert_no_discovery("servers are asked once at the most");
        checker.assert_no_discovery("warm only where somebody lived through");
        assert!(checker.unique_state_count() > 500, "{}", checker.unique_state_count());
    }
    let broken = RecoveryModel { kept, leases: true, broken: true }.checker().spawn_bfs().join();
    assert!(broken.discovery("never open before the list but at its limit").is_some());
}

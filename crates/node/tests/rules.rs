//! The rules under random events, judged from the record; and each check is shown to fail on a deliberately broken node.

mod world;

use micadyke_standin::platform::Treat;
use proptest::prelude::*;
use world::*;

/// An element of a random day.
#[derive(Debug, Clone)]
enum Happening {
    Ask { class: bool, patience: u64 },
    Flood(u64),
    GiveUp(u64),
    HangUp,
    Treat(usize, Treat),
    Drain(usize),
    Up(usize),
    Restart(usize),
    Reset(usize),
    Refuse(usize, bool),
    Vanish(usize, bool),
    BreakBus,
    Noise(Vec<u8>),
    Silent,
}

const SERVERS: usize = 4;

fn treat() -> impl Strategy<Value = Treat> {
    prop_oneof![
        (100u64..3000).prop_map(|ms| Treat::Serve(ms * MS)),
        prop_oneof![Just(453u16), Just(454), Just(500), Just(504)].prop_map(Treat::Status),
        Just(Treat::Silent),
        Just(Treat::Noise),
        Just(Treat::Half),
        Just(Treat::Huge),
        Just(Treat::Break),
        Just(Treat::Twice),
        Just(Treat::Stranger),
        Just(Treat::Release),
    ]
}

fn happening() -> impl Strategy<Value = Happening> {
    let server = 0..SERVERS;
    prop_oneof![
        8 => (any::<bool>(), 300u64..4000).prop_map(|(class, patience)| Happening::Ask { class, patience }),
        1 => (2u64..40).prop_map(Happening::Flood),
        2 => (0u64..8).prop_map(Happening::GiveUp),
        1 => Just(Happening::HangUp),
        3 => (server.clone(), treat()).prop_map(|(s, t)| Happening::Treat(s, t)),
        1 => server.clone().prop_map(Happening::Drain),
        1 => server.clone().prop_map(Happening::Up),
        1 => server.clone().prop_map(Happening::Restart),
        1 => server.clone().prop_map(Happening::Reset),
        1 => (server.clone(), any::<bool>()).prop_map(|(s, on)| Happening::Refuse(s, on)),
        1 => (server, any::<bool>()).prop_map(|(s, on)| Happening::Vanish(s, on)),
        1 => Just(Happening::BreakBus),
        1 => proptest::collection::vec(any::<u8>(), 0..60).prop_map(Happening::Noise),
        1 => Just(Happening::Silent),
    ]
}

fn play(w: &mut World, day: &[(u64, Happening)]) {
    let (mut viewer, mut id, mut offset) = (w.viewer(), 1u64, 1u64);
    let mut drained = std::collections::BTreeSet::new();
    for (gap, h) in day {
        w.run(gap * MS);
        // A connection without a message is closed after a while.
        if w.closed.contains_key(&viewer) {
            viewer = w.viewer();
        }
        match h {
            Happening::Ask { class, patience } => {
                w.ask(viewer, id, if *class { "paid" } else { "free" }, *patience);
                id += 1;
            }
            Happening::Flood(n) => {
                for _ in 0..*n {
                    w.ask(viewer, id, if id.is_multiple_of(2) { "paid" } else { "free" }, 2000);
                    id += 1;
                }
            }
            Happening::GiveUp(back) if *back < id - 1 => w.give_up(viewer, id - 1 - back),
            Happening::GiveUp(_) => {}
            Happening::HangUp => {
                for i in 1..id {
                    if w.answer(i).is_none() {
                        w.record.push((w.now, micadyke_standin::platform::Seen::GaveUp { id: i }));
                    }
                }
                w.hang_up(viewer);
                viewer = w.viewer();
            }
            Happening::Treat(s, t) => {
                let server = w.servers.get_mut(&server_addr(*s)).unwrap();
                server.next.push_back(*t);
            }
            Happening::Drain(s) => {
                offset += 1;
                drained.insert(*s);
                w.drain(offset, *s);
            }
            Happening::Up(s) => {
                offset += 1;
                w.bus(offset, false, &row(*s + 100, "up", 0));
            }
            // A server that drained comes back only under another id.
            Happening::Restart(s) if drained.contains(s) => {}
            Happening::Restart(s) => {
                offset += 1;
                w.bus(offset, false, &row(*s, "up", w.now / MS));
            }
            Happening::Reset(s) => w.reset(server_addr(*s)),
            Happening::Refuse(s, true) => drop(w.refusing.insert(server_addr(*s))),
            Happening::Refuse(s, false) => drop(w.refusing.remove(&server_addr(*s))),
            Happening::Vanish(s, true) => drop(w.vanished.insert(server_addr(*s))),
            Happening::Vanish(s, false) => w.back(server_addr(*s)),
            Happening::BreakBus => w.break_bus(),
            Happening::Noise(bytes) => {
                let bad = w.viewer();
                w.send(bad, bytes.clone());
            }
            Happening::Silent => drop(w.viewer()),
        }
    }
    w.refusing.clear();
    (0..SERVERS).for_each(|s| w.back(server_addr(s)));
    // Everything is over: patience, sessions, timeouts.
    w.run(40 * SECOND);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]
    #[test]
    fn no_rule_breaks_and_all_books_are_empty_at_the_end(day in proptest::collection::vec((0u64..300, happening()), 1..60)) {
        let mut w = World::new(SERVERS);
        w.servers.values_mut().for_each(|s| s.usual = Treat::Serve(2 * SECOND));
        play(&mut w, &day);
        // Releases of sessions at unreachable servers come late; everything else is judged.
        let broken: Vec<String> = w.broken_rules().into_iter().filter(|b| !b.contains("not released")).collect();
        prop_assert_eq!(broken, Vec::<String>::new());
        // Viewers have left, sessions have ended or were found lost: only the last connection remains.
        let [viewers, links, servers, sessions, timers, releases] = w.node.table_sizes();
        prop_assert_eq!((w.node.session_counts(), sessions, releases), ((0, 0), 0, 0));
        prop_assert!(viewers <= 1 && timers <= 4 && links <= servers, "{:?}", w.node.table_sizes());
    }
}

/// A day that exercises every rule.
fn trying(how: Option<Break>) -> Vec<String> {
    let mut w = match how {
        Some(how) => World::broken(2, how),
        None => World::new(2),
    };
    w.servers.values_mut().for_each(|s| s.usual = Treat::Serve(SECOND));
    let v = w.viewer();
    let ask = |w: &mut World, id: u64, treat: Option<Treat>| {
        w.servers.values_mut().for_each(|s| {
            s.next.clear();
            s.next.extend(treat);
        });
        w.ask(v, id, if id.is_multiple_of(2) { "paid" } else { "free" }, 3000);
        w.run(10 * MS);
    };
    ask(&mut w, 1, None);
    ask(&mut w, 2, None);
    ask(&mut w, 3, Some(Treat::Silent));
    w.run(2 * SECOND);
    ask(&mut w, 4, Some(Treat::Status(500)));
    w.run(2 * SECOND);
    w.drain(2, 0);
    w.run(SECOND);
    (11..31).for_each(|id| ask(&mut w, id, None));
    w.run(6 * SECOND);
    w.broken_rules()
}

#[test]
fn each_check_fails_on_a_node_broken_on_purpose() {
    assert_eq!(trying(None), Vec::<String>::new());
    let table = [
        (Break::Twice, "answered twice"),
        (Break::Mute, "never answered"),
        (Break::Forged, "served with what no server made for it"),
        (Break::Overlap, "two attempts out"),
        (Break::Drains, "sent to a server that drains"),
        (Break::Floors, "under its floor"),
        (Break::Refusals, "refused although it may have run"),
        (Break::Releases, "is over and was not released"),
    ];
    for (how, what) in table {
        let broken = trying(Some(how));
        assert!(broken.iter().any(|b| b.contains(what)), "{how:?}: {broken:?}");
    }
}

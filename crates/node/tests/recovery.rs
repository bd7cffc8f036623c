//! A node that recovers from a power loss, in virtual time: nothing is sent before its phases are over, each viewer is answered
//! at once, and what is sent afterwards stays within the budgets of cold servers.

mod world;

use micadyke_isup::{Message, code, kind};
use micadyke_membership::server_report::ServerReport;
use micadyke_node::Input;
use micadyke_node::limits::fleet::RECOVERY_TIMEOUTS;
use micadyke_recovery::phases::{MembershipEvent, RecoveryPhases};
use micadyke_recovery::record::{Server, StoredState};
use micadyke_standin::platform::Seen;
use std::collections::BTreeMap;
use world::*;

/// Stored a moment before the start: two other members, and a list of this version in which server 0 drains.
fn kept(version: u64, drained: bool) -> StoredState {
    let server = |n: usize| Server {
        id: format!("s-{n}"),
        addr: server_addr(n),
        ready: n > 0 || !drained,
        started_at: 0,
    };
    let members = BTreeMap::from([("n1".to_owned(), 11), ("n2".to_owned(), 12)]);
    StoredState {
        start: Some(("n0".into(), 10, START - SECOND)),
        list: Some((version, 1, START - SECOND, (0..4).map(server).collect())),
        view: Some((START - SECOND, members, 1)),
        ..StoredState::default()
    }
}

fn back(kept: &StoredState, alone: bool) -> World {
    let mut w = World::new(4);
    let phases = RecoveryPhases::new(RECOVERY_TIMEOUTS, ("n0", 20), kept, START, true, alone, START);
    w.node.enable_peers();
    w.node.start_recovery(phases, kept);
    w
}

fn lives(w: &mut World, all: &[(&str, u64)]) {
    for (name, start) in all {
        w.feed(Input::Membership(&MembershipEvent::Alive((*name).to_owned(), *start)));
    }
    w.feed(Input::Membership(&MembershipEvent::ViewSettled(true)));
}

fn sent(w: &World) -> Vec<(u64, String)> {
    let of = |r: &(u64, Seen)| match &r.1 {
        Seen::Sent { server, .. } => Some((r.0, server.clone())),
        _ => None,
    };
    w.record.iter().filter_map(of).collect()
}

#[test]
fn nothing_is_sent_before_the_phases_are_over_and_viewers_hear_at_once() {
    let mut w = back(&kept(1, false), false);
    let v = w.viewer();
    for id in 1..=40 {
        w.ask(v, id, "free", 4000);
        w.run(100 * MS);
    }
    assert!(!w.node.ready(), "it fails the platform's test");
    assert_eq!(sent(&w), vec![]);
    for id in 1..=40 {
        let (at, served, refused) = w.answer(id).expect("answered");
        let asked = START + (id - 1) * 100 * MS;
        assert!(!served && refused && at < asked + 50 * MS, "{id}: {at}");
    }
    // Both others are alive with the stored starts: only this node failed, and it starts service.
    lives(&mut w, &[("n1", 11), ("n2", 12)]);
    w.run(200 * MS);
    assert!(w.node.ready());
    w.ask(v, 100, "free", 4000);
    w.run(SECOND);
    assert!(w.answer(100).is_some_and(|a| a.1), "{:?}", w.answer(100));
    assert_eq!(w.broken_rules(), Vec::<String>::new());
    // Its list is stored for the next start once the bus has sent it.
    w.bus(2, false, &row(3, "draining", 0));
    w.run(SECOND);
    let (version, offset, _, servers) = w.saved.list.clone().expect("kept");
    assert_eq!((version, offset, servers.len()), (2, 2, 4));
    assert!(servers.iter().any(|s| s.id == "s-3" && !s.ready));
}

#[test]
fn where_all_fell_servers_are_asked_and_count_as_cold_whatever_the_list_says() {
    let mut w = back(&kept(1, false), false);
    let v = w.viewer();
    w.run(500 * MS);
    let before = w.node.counts().links;
    lives(&mut w, &[("n1", 31), ("n2", 32)]);
    w.run(300 * MS);
    assert_eq!(w.node.counts().links - before, 4, "each server is asked once");
    assert!(!w.node.ready());
    w.feed(Input::Membership(&MembershipEvent::ShareLeased));
    w.feed(Input::ColdBudgetShare { guaranteed: 0.001, leased: 0.001, lease_duration: 60 * SECOND });
    w.run(200 * MS);
    assert!(w.node.ready());
    // A crowd in one window: far fewer set-ups are sent than a warm fleet would accept.
    let burst = |w: &mut World, from: u64| {
        (0..60).for_each(|i| w.ask(v, from + i, "free", 4000));
        w.run(50 * MS);
        sent(w).len()
    };
    let cold = burst(&mut w, 1000);
    let mut warm = World::new(4);
    let v2 = warm.viewer();
    assert_eq!(v, v2);
    warm.run(500 * MS);
    let all = burst(&mut warm, 1000);
    assert!(3 * cold < all, "{cold} of {all}");
    assert_eq!(w.broken_rules(), Vec::<String>::new());
}

#[test]
fn one_alone_serves_by_the_limits_and_a_lost_bus_is_not_waited_for_longer() {
    let mut w = back(&kept(1, false), false);
    w.bus_up = false;
    // The probed servers answer at once.
    let all = RECOVERY_TIMEOUTS.list + RECOVERY_TIMEOUTS.view + RECOVERY_TIMEOUTS.parts;
    w.run(all - SECOND);
    assert!(!w.node.ready());
    w.run(2 * SECOND);
    assert!(w.node.ready());
    // Without membership there are no others to wait for, and with a bus nothing else.
    let mut w = back(&kept(1, false), true);
    w.run(SECOND);
    w.feed(Input::Membership(&MembershipEvent::ShareLeased));
    w.run(SECOND);
    assert!(w.node.ready());
}

#[test]
fn what_drained_before_is_sent_nothing_until_the_own_list_speaks() {
    // The stored list is of version 5; the platform provides an older one in which the server is up.
    let kept = kept(5, true);
    let mut w = back(&kept, false);
    w.run(RECOVERY_TIMEOUTS.list + SECOND);
    lives(&mut w, &[("n1", 11), ("n2", 12)]);
    w.run(200 * MS);
    assert!(w.node.ready());
    let v = w.viewer();
    let ask = |w: &mut World, from: u64| {
        let before = sent(w).len();
        // Enough to make another connection worthwhile.
        for i in 0..400 {
            w.ask(v, from + i, "free", 4000);
            w.run(20 * MS);
        }
        assert!(sent(w).len() > before + 200);
        sent(w).iter().filter(|s| s.1 == "s-0").count()
    };
    assert_eq!(ask(&mut w, 1000), 0);
    for offset in 2..=6 {
        w.bus(offset, false, &if offset == 6 { row(0, "up", 0) } else { String::new() });
    }
    w.run(SECOND);
    assert!(ask(&mut w, 2000) > 0, "the own list has the last word");
    // Reports of others are handled meanwhile.
    w.feed(Input::ServerReport(&ServerReport::Drain { server: "s-1".into(), version: 9 }));
    assert_eq!(w.broken_rules(), Vec::<String>::new());
}

#[test]
fn sessions_that_are_handed_over_meanwhile_are_kept_and_told_of() {
    let mut w = back(&kept(1, false), false);
    let v = w.viewer();
    // As in core.rs: the session already plays at a server.
    let message = Message::new(kind::SETUP, 7)
        .with(code::CLASS, "free")
        .with(code::MAX_WAIT, "4000")
        .with(code::TITLE, "7f3a9c21e0b4d655")
        .with(code::FIGURES, "home:0;copies:1;top:2;viewer:1;at:s-2");
    let message = message.encode().expect("it fits");
    w.send(v, message);
    w.run(500 * MS);
    assert_eq!(w.node.session_counts().1, 1);
    lives(&mut w, &[("n1", 11), ("n2", 12)]);
    w.run(200 * MS);
    assert!(w.node.ready());
    assert_eq!((w.node.session_counts().1, w.node.module().session_count()), (1, 1));
}

//! What a node chooses beyond the module's decisions, by tables: who makes room, who bears a release, which connection is
//! used and for how long.

use micadyke::interface::Nanos;
use micadyke_node::limits::servers::{
    CALL_PAUSE, Candidate, Pick, idle_timeout, lost_for, may_be_closed, pick,
};
use micadyke_node::limits::viewers::*;
use micadyke_node::limits::{MS, SECOND};

#[test]
fn who_makes_room() {
    let now = 100 * SECOND;
    let idler = |free, used, ago| Idler { free, used, last: now - ago * MS };
    let (silent, tests, set_ups, sessions) = (Use::Silent, Use::Tests, Use::SetUps, Use::Sessions);
    // (who is there, who goes)
    let table: [(&[Idler], Option<u64>); 16] = [
        (&[idler(false, set_ups, 9000), idler(false, silent, 9000)], None),
        // Not while its next set-up may be on its way; else a newcomer is worth more than what has had its answer.
        (&[idler(true, set_ups, 50), idler(true, sessions, 99), idler(false, sessions, 9000)], None),
        (&[idler(true, set_ups, 500)], Some(0)),
        (&[idler(true, sessions, 900), idler(true, set_ups, 100)], Some(1)),
        (&[idler(true, sessions, 900), idler(true, sessions, 901), idler(true, set_ups, 99)], Some(1)),
        (&[idler(true, sessions, 1000), idler(true, set_ups, 900)], Some(0)),
        (&[idler(true, set_ups, 9000), idler(true, silent, 150)], Some(1)),
        (&[idler(true, set_ups, 9000), idler(true, silent, 50)], Some(0)),
        (&[idler(true, set_ups, 2000), idler(true, set_ups, 3000)], Some(1)),
        (&[idler(true, set_ups, 500), idler(true, silent, 50), idler(true, silent, 60)], Some(2)),
        (&[idler(true, silent, 200), idler(true, silent, 1900), idler(false, silent, 5000)], Some(1)),
        // A connection that bears sessions goes last, however long it has said nothing.
        (&[idler(true, sessions, 60_000), idler(true, tests, 150)], Some(1)),
        (&[idler(true, sessions, 60_000), idler(true, set_ups, 1500)], Some(1)),
        (&[idler(true, sessions, 60_000), idler(true, silent, 10)], Some(1)),
        (&[idler(true, sessions, 3000), idler(true, sessions, 60_000), idler(true, set_ups, 10)], Some(1)),
        (&[idler(true, tests, 150), idler(true, silent, 120), idler(true, set_ups, 9000)], Some(1)),
    ];
    for (idlers, goes) in table {
        let there = idlers.iter().enumerate().map(|(i, v)| (i as u64, *v));
        assert_eq!(evict(there, now), goes, "{idlers:?}");
    }
}

#[test]
fn who_bears_a_release() {
    let bearer_of =
        |standing, proven, unsound, last| Bearer { standing, proven, used: Use::SetUps, unsound, last };
    let flood = bearer_of(0, false, false, 9);
    let tester = Bearer { used: Use::Tests, ..bearer_of(0, false, false, 9) };
    let table: [(&[Bearer], Nanos, Option<u64>); 9] = [
        (&[flood], 0, None),
        (&[flood], RELEASE_CHOOSY, Some(0)),
        (&[bearer_of(0, false, true, 9)], RELEASE_KEPT, None),
        (&[flood, bearer_of(0, true, false, 1)], RELEASE_CHOOSY, Some(1)),
        (&[flood, bearer_of(0, true, false, 8), bearer_of(2, true, false, 1)], 0, Some(2)),
        (&[bearer_of(1, true, false, 1), bearer_of(1, true, false, 2)], 0, Some(1)),
        // What only tested the node is hardly a viewer's.
        (&[tester], RELEASE_CHOOSY, None),
        (&[tester], RELEASE_ANY, Some(0)),
        (&[tester, bearer_of(0, false, false, 1)], RELEASE_ANY, Some(1)),
    ];
    for (bearers, waited, bears) in table {
        let there = bearers.iter().enumerate().map(|(i, b)| (i as u64, *b));
        assert_eq!(bearer(there, waited), bears, "{bearers:?}");
    }
}

#[test]
fn which_connection_a_set_up_goes_out_on() {
    let link = |up, open| Candidate { up, open };
    let table: [(&[Candidate], usize, bool, Pick); 7] = [
        (&[], 32, true, Pick::New),
        (&[], 32, false, Pick::None),
        (&[link(true, 1), link(true, 0)], 32, true, Pick::Old(1)),
        (&[link(true, 1)], 32, true, Pick::New),
        (&[link(true, 2), link(true, 1), link(false, 0)], 32, false, Pick::Old(1)),
        (&[link(true, 2), link(true, 1), link(true, 3), link(true, 2)], 32, true, Pick::Old(1)),
        (&[link(true, 2), link(true, 2), link(true, 2), link(true, 2)], 2, true, Pick::New),
    ];
    for (links, most, room, picked) in table {
        assert_eq!(pick(links, most, room), picked, "{links:?}");
    }
}

#[test]
fn set_ups_stay_away_for_longer_after_each_call_and_come_back_soon_where_a_machine_is() {
    let table = [(1, false, SECOND), (2, false, 2 * SECOND), (3, false, 4 * SECOND), (99, false, 4 * SECOND)];
    for (calls, refused, span) in table.into_iter().chain([(1, true, CALL_PAUSE), (9, true, CALL_PAUSE)]) {
        assert_eq!(lost_for(calls, refused), span, "{calls} {refused}");
    }
}

#[test]
fn a_connection_that_carries_nothing_is_closed_well_before_its_server_closes_it() {
    // Servers close it after; the node does after; whether a set-up goes out on one idle for 3 s.
    let table = [
        (0, 5 * SECOND, true),
        (15 * SECOND, 5 * SECOND, true),
        (8 * SECOND, 4 * SECOND, true),
        (4 * SECOND, 2 * SECOND, false),
        (100 * MS, 50 * MS, false),
    ];
    for (stated, closed_after, taken) in table {
        assert_eq!(idle_timeout(stated), closed_after, "{stated}");
        assert_eq!(!may_be_closed(10 * SECOND, stated, 13 * SECOND), taken, "{stated}");
    }
}

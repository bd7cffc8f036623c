//! Tables of the node's own choices: which connection is evicted, which carries a release or a set-up, and its timeouts.

use micadyke::interface::Nanos;
use micadyke_node::limits::servers::{
    CONNECT_RETRY_PAUSE, Candidate, Pick, avoidance_time, idle_timeout, may_be_closed, pick_connection,
};
use micadyke_node::limits::viewers::*;
use micadyke_node::limits::{MS, SECOND};

#[test]
fn eviction_order() {
    let now = 100 * SECOND;
    let candidate = |idle, usage, ago| EvictionCandidate { idle, usage, last_message_at: now - ago * MS };
    let (silent, tests, requests, sessions) = (Usage::Silent, Usage::Tests, Usage::Requests, Usage::Sessions);
    // The candidates and the index of the evicted one.
    let table: [(&[EvictionCandidate], Option<u64>); 16] = [
        (&[candidate(false, requests, 9000), candidate(false, silent, 9000)], None),
        // Not while the next set-up may be on its way; otherwise a new client takes precedence over an answered one.
        (
            &[candidate(true, requests, 50), candidate(true, sessions, 99), candidate(false, sessions, 9000)],
            None,
        ),
        (&[candidate(true, requests, 500)], Some(0)),
        (&[candidate(true, sessions, 900), candidate(true, requests, 100)], Some(1)),
        (
            &[candidate(true, sessions, 900), candidate(true, sessions, 901), candidate(true, requests, 99)],
            Some(1),
        ),
        (&[candidate(true, sessions, 1000), candidate(true, requests, 900)], Some(0)),
        (&[candidate(true, requests, 9000), candidate(true, silent, 150)], Some(1)),
        (&[candidate(true, requests, 9000), candidate(true, silent, 50)], Some(0)),
        (&[candidate(true, requests, 2000), candidate(true, requests, 3000)], Some(1)),
        (
            &[candidate(true, requests, 500), candidate(true, silent, 50), candidate(true, silent, 60)],
            Some(2),
        ),
        (
            &[candidate(true, silent, 200), candidate(true, silent, 1900), candidate(false, silent, 5000)],
            Some(1),
        ),
        // Connections with sessions are evicted last, however long they have been idle.
        (&[candidate(true, sessions, 60_000), candidate(true, tests, 150)], Some(1)),
        (&[candidate(true, sessions, 60_000), candidate(true, requests, 1500)], Some(1)),
        (&[candidate(true, sessions, 60_000), candidate(true, silent, 10)], Some(1)),
        (
            &[
                candidate(true, sessions, 3000),
                candidate(true, sessions, 60_000),
                candidate(true, requests, 10),
            ],
            Some(1),
        ),
        (
            &[candidate(true, tests, 150), candidate(true, silent, 120), candidate(true, requests, 9000)],
            Some(1),
        ),
    ];
    for (candidates, evicted) in table {
        let numbered = candidates.iter().enumerate().map(|(i, v)| (i as u64, *v));
        assert_eq!(pick_eviction(numbered, now), evicted, "{candidates:?}");
    }
}

#[test]
fn choice_of_a_connection_for_a_release() {
    let candidate = |playing, has_played, sent_invalid, last_message_at| ReleaseCandidate {
        playing,
        has_played,
        usage: Usage::Requests,
        sent_invalid,
        last_message_at,
    };
    let flood = candidate(0, false, false, 9);
    let tester = ReleaseCandidate { usage: Usage::Tests, ..candidate(0, false, false, 9) };
    let table: [(&[ReleaseCandidate], Nanos, Option<u64>); 9] = [
        (&[flood], 0, None),
        (&[flood], RELEASE_UNPROVEN_AFTER, Some(0)),
        (&[candidate(0, false, true, 9)], RELEASE_LIFETIME, None),
        (&[flood, candidate(0, true, false, 1)], RELEASE_UNPROVEN_AFTER, Some(1)),
        (&[flood, candidate(0, true, false, 8), candidate(2, true, false, 1)], 0, Some(2)),
        (&[candidate(1, true, false, 1), candidate(1, true, false, 2)], 0, Some(1)),
        // A connection that only sent health checks is probably not a viewer's.
        (&[tester], RELEASE_UNPROVEN_AFTER, None),
        (&[tester], RELEASE_ANY_AFTER, Some(0)),
        (&[tester, candidate(0, false, false, 1)], RELEASE_ANY_AFTER, Some(1)),
    ];
    for (candidates, waited, chosen) in table {
        let numbered = candidates.iter().enumerate().map(|(i, b)| (i as u64, *b));
        assert_eq!(pick_release_connection(numbered, waited), chosen, "{candidates:?}");
    }
}

#[test]
fn choice_of_a_connection_for_a_set_up() {
    let link = |up, open| Candidate { up, open };
    let table: [(&[Candidate], usize, bool, Pick); 7] = [
        (&[], 32, true, Pick::New),
        (&[], 32, false, Pick::None),
        (&[link(true, 1), link(true, 0)], 32, true, Pick::Existing(1)),
        (&[link(true, 1)], 32, true, Pick::New),
        (&[link(true, 2), link(true, 1), link(false, 0)], 32, false, Pick::Existing(1)),
        (&[link(true, 2), link(true, 1), link(true, 3), link(true, 2)], 32, true, Pick::Existing(1)),
        (&[link(true, 2), link(true, 2), link(true, 2), link(true, 2)], 2, true, Pick::New),
    ];
    for (links, max_open, has_capacity, picked) in table {
        assert_eq!(pick_connection(links, max_open, has_capacity), picked, "{links:?}");
    }
}

#[test]
fn avoidance_grows_with_failed_calls_and_is_short_after_a_refusal() {
    let table = [(1, false, SECOND), (2, false, 2 * SECOND), (3, false, 4 * SECOND), (99, false, 4 * SECOND)];
    for (calls, refused, span) in
        table.into_iter().chain([(1, true, CONNECT_RETRY_PAUSE), (9, true, CONNECT_RETRY_PAUSE)])
    {
        assert_eq!(avoidance_time(calls, refused), span, "{calls} {refused}");
    }
}

#[test]
fn idle_connections_are_closed_before_the_server_closes_them() {
    // The servers' idle timeout, the node's, and whether a connection that has been idle for 3 s is used.
    let table = [
        (0, 5 * SECOND, true),
        (15 * SECOND, 5 * SECOND, true),
        (8 * SECOND, 4 * SECOND, true),
        (4 * SECOND, 2 * SECOND, false),
        (100 * MS, 50 * MS, false),
    ];
    for (server_timeout, node_timeout, usable) in table {
        assert_eq!(idle_timeout(server_timeout), node_timeout, "{server_timeout}");
        assert_eq!(!may_be_closed(10 * SECOND, server_timeout, 13 * SECOND), usable, "{server_timeout}");
    }
}

//! Attempts that are noted where they leave the front node: which orders of writing break a rule.

use micadyke_standin::platform::{Record, Seen, verdict};

const SECOND: u64 = 1_000_000_000;

fn handed(server: &str, connection: usize) -> Seen {
    Seen::Handed { id: 7, server: server.into(), connection }
}

fn taken_back(server: &str, connection: usize) -> Seen {
    Seen::TakenBack { id: 7, server: server.into(), connection }
}

fn sent(server: &str) -> Seen {
    Seen::Sent { id: 7, server: server.into(), rung: 1 }
}

fn withdrawn(server: &str) -> Seen {
    Seen::Withdrawn { id: 7, server: server.into() }
}

fn stood(server: &str) -> Seen {
    Seen::Stood { id: 7, server: server.into(), description: b"given".to_vec() }
}

fn ended(server: &str, ran: bool) -> Seen {
    Seen::Ended { id: 7, server: server.into(), ran }
}

fn answered() -> Seen {
    Seen::Answered { id: 7, description: Some(b"given".to_vec()), refused: false }
}

const OVERLAP: &str = "rule 2: 0000000000000007 two attempts out";
const AGAIN: &str = "rule 2: 0000000000000007 sent again although it may have run";

#[test]
fn attempts_on_slow_ways_are_judged_by_what_the_front_node_wrote() {
    // What is seen after a viewer asked, whether it may be set up once alone, and the rules that are broken.
    let table: [(&[Seen], bool, &[&str]); 8] = [
        // The set-up arrives whole while the next attempt is out, its withdrawal behind it.
        (
            &[
                handed("a", 1),
                taken_back("a", 1),
                sent("a"),
                handed("b", 1),
                sent("b"),
                withdrawn("a"),
                stood("b"),
                answered(),
            ],
            false,
            &[],
        ),
        (&[handed("a", 1), handed("b", 1), taken_back("a", 1), stood("b"), answered()], false, &[OVERLAP]),
        // Another connection's close gives nothing up that was written on this one.
        (&[handed("a", 1), taken_back("a", 2), handed("b", 1), stood("b"), answered()], false, &[OVERLAP]),
        // Nor does it count that the server has heard of it, where the node has not written it.
        (
            &[handed("a", 1), sent("a"), withdrawn("a"), handed("b", 1), stood("b"), answered()],
            false,
            &[OVERLAP],
        ),
        (&[handed("a", 1), taken_back("a", 1), handed("b", 1), stood("b"), answered()], true, &[AGAIN]),
        (&[handed("a", 1), ended("a", false), handed("b", 1), stood("b"), answered()], true, &[]),
        (&[handed("a", 1), ended("a", true), handed("b", 1), stood("b"), answered()], true, &[AGAIN]),
        // Without notes of the node's end, servers' notes count as ever.
        (&[sent("a"), sent("b"), stood("b"), answered()], false, &[OVERLAP]),
    ];
    for (seen, paid, broken) in table {
        let asked = Seen::Asked { id: 7, patience: SECOND, paid, floor: 0 };
        let all = std::iter::once(&asked).chain(seen).cloned();
        let record: Record = (0..).zip(all).collect();
        assert_eq!(verdict(&record, SECOND), broken, "{seen:?}");
    }
}

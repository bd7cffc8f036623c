//! The final counts on records made by hand.

use micadyke_standin::platform::{FinalCounts, Record, Seen, final_counts};

fn ready(node: &str) -> Seen {
    Seen::Ready { node: node.into() }
}

fn asked(id: u64) -> Seen {
    Seen::Asked { id, patience: 4_000_000_000, paid: false, floor: 0 }
}

fn at(id: u64, node: &str) -> Seen {
    Seen::AskedAt { id, node: node.into() }
}

fn answered(id: u64) -> Seen {
    Seen::Answered { id, description: None, refused: true }
}

#[test]
fn a_record_comes_to_those_left_without_an_answer_and_nodes_that_answered_nobody() {
    let gave_up = |id| Seen::GaveUp { id };
    // What was seen; who was left without an answer; which nodes answered nobody.
    let table: [(Vec<Seen>, &[u64], &[&str]); 11] = [
        (vec![], &[], &[]),
        (vec![ready("a")], &[], &[]),
        (vec![ready("a"), asked(1), at(1, "a"), answered(1)], &[], &[]),
        (vec![ready("a"), asked(1), at(1, "a")], &[1], &["a"]),
        (vec![asked(1), at(1, "a")], &[1], &[]),
        (vec![ready("a"), asked(1), at(1, "a"), gave_up(1)], &[], &["a"]),
        (vec![ready("a"), asked(1), at(1, "a"), answered(1), asked(2), at(2, "a")], &[2], &[]),
        (vec![ready("a"), ready("b"), asked(1), at(1, "b"), asked(2), at(2, "a"), answered(2)], &[1], &["b"]),
        // One answer pays for one set-up, also under the same number.
        (vec![asked(1), asked(1), answered(1)], &[1], &[]),
        (vec![asked(1), answered(1), asked(1), answered(1)], &[], &[]),
        // An answer to what was asked before the test does not count for the node.
        (vec![asked(1), at(1, "a"), answered(1), ready("a"), asked(2), at(2, "a")], &[2], &["a"]),
    ];
    for (seen, unanswered, nobody) in table {
        let record: Record = seen.into_iter().enumerate().map(|(at, s)| (at as u64, s)).collect();
        let counts = FinalCounts {
            unanswered: unanswered.to_vec(),
            answered_nobody: nobody.iter().map(|n| (*n).to_owned()).collect(),
        };
        assert_eq!(final_counts(&record), counts, "{record:?}");
    }
}

//! Which session of before is asked for next, and how many at a time.

use micadyke::interface::{ServerId, SessionId};
use micadyke_front::asking::{ALL, Asking, EACH};
use std::collections::HashMap;

#[test]
fn boxes_take_turns_and_one_that_stands_still_holds_up_few() {
    // (sessions at each box, asked for at once at each)
    let table: [(&[u64], &[usize]); 4] = [
        (&[3], &[3]),
        (&[100, 2], &[EACH, 2]),
        (&[100, 100, 100], &[EACH, EACH, EACH]),
        (&[900, 900, 900, 900, 900, 900, 900, 900], &[ALL / 8; 8]),
    ];
    for (boxes, at_once) in table {
        let (mut asking, mut at) = (Asking::default(), HashMap::new());
        for (b, n) in boxes.iter().enumerate() {
            for i in 0..*n {
                let id = SessionId(b as u64 * 1_000 + i);
                asking.add(ServerId(b as u32), id);
                at.insert(id, b);
            }
        }
        let mut out: Vec<SessionId> = std::iter::from_fn(|| asking.ask_next()).collect();
        let mut each = vec![0; boxes.len()];
        out.iter().for_each(|id| each[at[id]] += 1);
        assert_eq!(each, at_once, "{boxes:?}");
        // The first box never answers: all of the others are asked for.
        let mut seen = out.len();
        while let Some(i) = out.iter().position(|id| at[id] != 0) {
            assert!(asking.settled(out.swap_remove(i)));
            let more: Vec<SessionId> = std::iter::from_fn(|| asking.ask_next()).collect();
            seen += more.len();
            out.extend(more);
        }
        let others: u64 = boxes[1..].iter().sum();
        assert_eq!(seen as u64, others + boxes[0].min(EACH as u64), "{boxes:?}");
        // One that ended while it waited is passed over; nothing is left behind.
        let waits: Vec<SessionId> = at.into_keys().filter(|id| asking.holds(*id)).collect();
        waits.iter().for_each(|id| assert!(asking.settled(*id) && !asking.settled(*id)));
        assert!(asking.ask_next().is_none());
        assert_eq!(asking, Asking::default(), "{boxes:?}");
    }
}

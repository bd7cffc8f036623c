//! Which session of before is asked for next, and how many at a time. Free of I/O and clock.
//!
//! A box ends a session that no event stream tells of after its own patience, so all must be asked for soon; but what is
//! asked faster than front and boxes answer waits beyond its time-out, is asked again, and is lost in the end. So the next
//! one is asked for when one before it is settled: as fast as they answer, whatever they are.

use micadyke::interface::{ServerId, SessionId};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Asked for at one box at a time: fewer than its listener takes in at once, and one that stands still holds up few.
const EACH: usize = 64;
/// Asked for at a time: what a viewer's request waits behind, on one thread.
const ALL: usize = 256;

/// Sessions that are asked for, and those that wait for it.
#[derive(Debug, Default)]
pub(crate) struct Asking {
    /// Those that wait, by box.
    waiting: BTreeMap<ServerId, VecDeque<SessionId>>,
    /// Boxes with some that wait, in turn.
    turn: VecDeque<ServerId>,
    /// Those that are asked for; `None`: one that waits.
    asked: HashMap<SessionId, Option<ServerId>>,
    /// How many are asked for at each box, and in all.
    out: BTreeMap<ServerId, usize>,
    all: usize,
}

impl Asking {
    /// A session is to be asked for at its box.
    pub(crate) fn add(&mut self, server: ServerId, id: SessionId) {
        self.asked.insert(id, None);
        let waiting = self.waiting.entry(server).or_default();
        if waiting.is_empty() {
            self.turn.push_back(server);
        }
        waiting.push_back(id);
    }

    /// The one that is asked for now, if there is room: boxes take turns.
    pub(crate) fn next(&mut self) -> Option<SessionId> {
        for _ in 0..self.turn.len() {
            if self.all >= ALL {
                return None;
            }
            let server = self.turn.pop_front()?;
            let out = self.out.entry(server).or_default();
            if *out >= EACH {
                self.turn.push_back(server);
                continue;
            }
            let Some(waiting) = self.waiting.get_mut(&server) else { continue };
            // Those that ended meanwhile are not asked for.
            let next = std::iter::from_fn(|| waiting.pop_front()).find(|id| self.asked.contains_key(id));
            if !waiting.is_empty() {
                self.turn.push_back(server);
            }
            if let Some(id) = next {
                *out += 1;
                self.all += 1;
                self.asked.insert(id, Some(server));
                return Some(id);
            }
        }
        None
    }

    /// Its box has answered or will not, or the session has ended; whether it was to be asked for.
    pub(crate) fn settled(&mut self, id: SessionId) -> bool {
        let Some(asked) = self.asked.remove(&id) else { return false };
        if let Some(server) = asked {
            self.all -= 1;
            self.out.entry(server).and_modify(|n| *n -= 1);
        }
        if self.asked.is_empty() {
            *self = Asking::default();
        }
        true
    }

    /// Whether a session is still to be asked for, or its box's answer is waited for.
    pub(crate) fn holds(&self, id: SessionId) -> bool {
        self.asked.contains_key(&id)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

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
            let mut out: Vec<SessionId> = std::iter::from_fn(|| asking.next()).collect();
            let mut each = vec![0; boxes.len()];
            out.iter().for_each(|id| each[at[id]] += 1);
            assert_eq!(each, at_once, "{boxes:?}");
            // The first box never answers: all of the others are asked for.
            let mut seen = out.len();
            while let Some(i) = out.iter().position(|id| at[id] != 0) {
                assert!(asking.settled(out.swap_remove(i)));
                let more: Vec<SessionId> = std::iter::from_fn(|| asking.next()).collect();
                seen += more.len();
                out.extend(more);
            }
            let others: u64 = boxes[1..].iter().sum();
            assert_eq!(seen as u64, others + boxes[0].min(EACH as u64), "{boxes:?}");
            // One that ended while it waited is passed over; nothing is left behind.
            let waits: Vec<SessionId> = at.into_keys().filter(|id| asking.holds(*id)).collect();
            waits.iter().for_each(|id| assert!(asking.settled(*id) && !asking.settled(*id)));
            assert!(asking.next().is_none() && asking.all == 0 && asking.turn.is_empty());
        }
    }
}

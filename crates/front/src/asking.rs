//! Which session of before is asked for next, and how many at a time. Free of I/O and clock.
//!
//! A box ends a session that no event stream tells of after its own patience, so all must be asked for soon; but what is
//! asked faster than front and boxes answer waits beyond its time-out, is asked again, and is lost in the end. So the next
//! one is asked for when one before it is settled: as fast as they answer, whatever they are.

use micadyke::interface::{ServerId, SessionId};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Asked for at one box at a time: fewer than its listener takes in at once, and one that stands still holds up few.
pub const EACH: usize = 64;
/// Asked for at a time: what a viewer's request waits behind, on one thread.
pub const ALL: usize = 256;

/// Sessions that are asked for, and those that wait for it.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Asking {
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
    pub fn add(&mut self, server: ServerId, id: SessionId) {
        self.asked.insert(id, None);
        let waiting = self.waiting.entry(server).or_default();
        if waiting.is_empty() {
            self.turn.push_back(server);
        }
        waiting.push_back(id);
    }

    /// The one that is asked for now, if there is room: boxes take turns.
    pub fn ask_next(&mut self) -> Option<SessionId> {
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
    pub fn settled(&mut self, id: SessionId) -> bool {
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
    pub fn holds(&self, id: SessionId) -> bool {
        self.asked.contains_key(&id)
    }
}

//! The topic of letters: what other packages say to each other, on what membership's own words leave of the budget.

use crate::Nanos;
use crate::carrier::{BURST, Carrier};
use crate::frame::{Head, Kind, ROOM};
use crate::io::Output;
use crate::letter::{Letter, Letters, RESERVE};
use crate::topic::Topic;

const _: () = assert!(RESERVE <= BURST / 2, "letters have half of a burst at least");

/// What became of letters: no more is kept of them.
#[derive(Debug, Default)]
pub(crate) struct Posts {
    pub(crate) counts: Letters,
}

impl Posts {
    /// Sends a letter, at once or never.
    pub(crate) fn send(&mut self, on: &mut Carrier, letter: &Letter) {
        if letter.payload.len() > ROOM {
            self.counts.too_long += 1;
        } else if !on.book.is_in() {
            self.counts.nobody += 1;
        } else if letter.name == on.book.me.name {
            self.counts.sent += 1;
            let start = on.book.me.start;
            self.deliver(on, Letter { start, ..letter.clone() });
        } else if let Some(to) = on.book.addr(&letter.name) {
            let sent = on.put(to, Kind::Topic(letter.topic), &letter.payload, RESERVE);
            *if sent { &mut self.counts.sent } else { &mut self.counts.held_back } += 1;
        } else {
            self.counts.nobody += 1;
        }
    }

    fn deliver(&mut self, on: &mut Carrier, letter: Letter) {
        self.counts.taken += 1;
        on.out.push(Output::Letter(letter));
    }
}

impl Topic for Posts {
    /// A letter is handed up where an answer to it could be sent: its sender lives by this view, by the same start.
    fn hear(&mut self, on: &mut Carrier, head: Head, payload: &[u8]) {
        let (Kind::Topic(topic), sender) = (head.kind, head.sender) else { return };
        let known = on.book.known.get(&sender.name).filter(|k| k.active && k.member.start == sender.start);
        match known.is_some() && payload.len() <= ROOM {
            true => {
                let (name, start, payload) = (sender.name, sender.start, payload.to_vec());
                self.deliver(on, Letter { topic, name, start, payload });
            }
            false => self.counts.strangers += 1,
        }
    }

    fn due(&self) -> Nanos {
        Nanos::MAX
    }

    fn say(&mut self, _: &mut Carrier) {}
}

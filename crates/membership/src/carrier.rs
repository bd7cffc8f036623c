//! What carries all that members say to each other: frame, book of addresses, budget of bytes, what was heard when.
//!
//! It knows of no topic. Each topic is handed it with each turn, says its words by it, and finds in its book whom to.

use crate::Nanos;
use crate::book::Book;
use crate::frame::{Dropped, Head, Kind, Seal};
use crate::identity::Member;
use crate::io::{Change, Counts, Output};
use crate::settings::Settings;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::SocketAddr;

/// Bytes that may be sent beyond the rate at one time.
pub(crate) const BURST: u64 = 64 << 10;

/// See the module.
pub(crate) struct Carrier {
    pub(crate) settings: Settings,
    pub(crate) book: Book,
    pub(crate) now: Nanos,
    /// One source of chance for all topics.
    pub(crate) random: StdRng,
    pub(crate) counts: Counts,
    seal: Seal,
    /// Bytes that may be sent now, and when that was reckoned.
    room: (u64, Nanos),
    pub(crate) out: Vec<Output>,
}

impl Carrier {
    /// A carrier of a member that knows itself alone.
    pub(crate) fn new(settings: Settings, seal: Seal, me: Member, seed: u64, now: Nanos) -> Self {
        Carrier {
            book: Book::new(&settings, me, now),
            settings,
            now,
            random: StdRng::seed_from_u64(seed),
            counts: Counts::default(),
            seal,
            room: (BURST, now),
            out: Vec::new(),
        }
    }

    /// Head and payload of a datagram; one that is none of this fleet is counted.
    pub(crate) fn open<'b>(&mut self, bytes: &'b [u8]) -> Option<(Head, &'b [u8])> {
        match self.seal.open(bytes) {
            Ok(opened) => {
                self.counts.taken += 1;
                Some(opened)
            }
            Err(why) => {
                let place = match why {
                    Dropped::Size => 0,
                    Dropped::Foreign => 1,
                    Dropped::Version => 2,
                    Dropped::Fleet => 3,
                    Dropped::Forged => 4,
                    Dropped::Malformed => 5,
                };
                self.counts.dropped[place] += 1;
                None
            }
        }
    }

    /// A datagram by a holder of the key, and yet not to be read.
    pub(crate) fn malformed(&mut self) {
        self.counts.dropped[5] += 1;
    }

    /// Sends what the budget has room for; what it has none for is counted.
    pub(crate) fn send(&mut self, to: SocketAddr, kind: Kind, payload: &[u8]) {
        if !self.put(to, kind, payload, 0) {
            self.counts.held_back += 1;
        }
    }

    /// Sends where that leaves `reserve` bytes of the budget; whether it did.
    pub(crate) fn put(&mut self, to: SocketAddr, kind: Kind, payload: &[u8], reserve: u64) -> bool {
        let (sender, digest) = (self.book.me.clone(), self.book.digest());
        let head = Head { kind, sender, digest, members: self.book.living() as u32 };
        let Some(bytes) = self.seal.close(&head, payload) else { return true };
        let gained =
            u128::from(self.now.saturating_sub(self.room.1)) * u128::from(self.settings.rate) / 1_000_000_000;
        let room = u64::try_from(gained).unwrap_or(BURST).saturating_add(self.room.0).min(BURST);
        let size = bytes.len() as u64;
        if gained > 0 {
            self.room = (room, self.now);
        }
        if self.room.0 < size + reserve {
            return false;
        }
        self.room.0 -= size;
        self.counts.sent += 1;
        self.counts.sent_bytes += size;
        self.out.push(Output::Send { to, bytes });
        true
    }

    /// Tells what is no change of who lives.
    pub(crate) fn tell(&mut self, change: Change) {
        self.out.push(Output::Told(change));
    }

    /// Tells that it is seen otherwise now who lives.
    pub(crate) fn changed(&mut self, change: Change) {
        self.book.changed_at = self.now;
        self.tell(change);
    }
}

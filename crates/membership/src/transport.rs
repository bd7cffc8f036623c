//! The transport that all sub-protocols of membership share: framing of datagrams, the member table, the rate limit and
//! counters.
//!
//! It does not depend on any sub-protocol. Each of them gets it with each call, sends through it and looks up members in it.

use crate::Nanos;
use crate::frame::{Dropped, FrameCodec, Head, Kind};
use crate::identity::Member;
use crate::io::{Change, Counts, Output};
use crate::member_table::MemberTable;
use crate::settings::Settings;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::SocketAddr;

/// Number of bytes that may be sent at once beyond the rate limit.
pub(crate) const BURST_BYTES: u64 = 64 << 10;

/// See the module documentation.
pub(crate) struct Transport {
    pub(crate) settings: Settings,
    pub(crate) members: MemberTable,
    pub(crate) now: Nanos,
    /// The random generator of all sub-protocols.
    pub(crate) random: StdRng,
    pub(crate) counts: Counts,
    codec: FrameCodec,
    /// The number of bytes that may be sent, and when it was computed.
    budget: (u64, Nanos),
    pub(crate) out: Vec<Output>,
}

impl Transport {
    /// The transport of a member that knows only itself.
    pub(crate) fn new(settings: Settings, codec: FrameCodec, own: Member, seed: u64, now: Nanos) -> Self {
        Transport {
            members: MemberTable::new(&settings, own, now),
            settings,
            now,
            random: StdRng::seed_from_u64(seed),
            counts: Counts::default(),
            codec,
            budget: (BURST_BYTES, now),
            out: Vec::new(),
        }
    }

    /// Decodes a datagram into head and payload. Counts datagrams that are not of this fleet.
    pub(crate) fn open_datagram<'b>(&mut self, bytes: &'b [u8]) -> Option<(Head, &'b [u8])> {
        match self.codec.decode(bytes) {
            Ok(opened) => {
                self.counts.taken += 1;
                Some(opened)
            }
            Err(why) => {
                let index = match why {
                    Dropped::Size => 0,
                    Dropped::UnknownProtocol => 1,
                    Dropped::Version => 2,
                    Dropped::Fleet => 3,
                    Dropped::Forged => 4,
                    Dropped::Malformed => 5,
                };
                self.counts.dropped[index] += 1;
                None
            }
        }
    }

    /// Counts an authenticated datagram that can't be decoded.
    pub(crate) fn malformed(&mut self) {
        self.counts.dropped[5] += 1;
    }

    /// Sends a datagram if the rate limit allows it, and counts it otherwise.
    pub(crate) fn send(&mut self, to: SocketAddr, kind: Kind, payload: &[u8]) {
        if !self.try_send(to, kind, payload, 0) {
            self.counts.held_back += 1;
        }
    }

    /// Sends a datagram if that leaves `reserve` bytes of the budget. Returns whether it was sent.
    pub(crate) fn try_send(&mut self, to: SocketAddr, kind: Kind, payload: &[u8], reserve: u64) -> bool {
        let (sender, digest) = (self.members.own.clone(), self.members.digest());
        let head = Head { kind, sender, digest, members: self.members.alive_count() as u32 };
        let Some(bytes) = self.codec.encode(&head, payload) else { return true };
        let gained = u128::from(self.now.saturating_sub(self.budget.1)) * u128::from(self.settings.rate)
            / 1_000_000_000;
        let room =
            u64::try_from(gained).unwrap_or(BURST_BYTES).saturating_add(self.budget.0).min(BURST_BYTES);
        let size = bytes.len() as u64;
        if gained > 0 {
            self.budget = (room, self.now);
        }
        if self.budget.0 < size + reserve {
            return false;
        }
        self.budget.0 -= size;
        self.counts.sent += 1;
        self.counts.sent_bytes += size;
        self.out.push(Output::Send { to, bytes });
        true
    }

    /// Emits an event that does not change which members are alive.
    pub(crate) fn emit(&mut self, change: Change) {
        self.out.push(Output::Changed(change));
    }

    /// Emits an event that changes which members are alive.
    pub(crate) fn emit_view_change(&mut self, change: Change) {
        self.members.changed_at = self.now;
        self.emit(change);
    }
}

//! The sub-protocol of budget shares: runs [`crate::share`] over the members that are alive.

use crate::frame::{Head, Kind};
use crate::io::{Change, Output};
use crate::member_table::MemberEntry;
use crate::share::{BudgetShare, LeaseParticipant, ShareMessage, ShareSettings};
use crate::status::ShareRow;
use crate::sub_protocol::SubProtocol;
use crate::transport::Transport;
use crate::{MS, Nanos};
use rand::seq::IndexedRandom;
use std::collections::BTreeSet;

/// Number of voting rounds within a lease, so that two of them may be lost.
const ROUNDS_PER_LEASE: u64 = 3;
/// Number of dead members that are probed beyond those needed for a majority, since not every machine answers.
const EXTRA_PROBES: usize = 3;

/// This member's part in the protocol, and the share that was last emitted.
#[derive(Debug)]
pub(crate) struct BudgetShares {
    participant: LeaseParticipant,
    last_emitted: Option<BudgetShare>,
    next_round_at: Nanos,
}

impl BudgetShares {
    pub(crate) fn new(settings: ShareSettings, name: &str, start: u64, now: Nanos) -> Self {
        BudgetShares {
            participant: LeaseParticipant::new(settings, name, start, now),
            last_emitted: None,
            next_round_at: now,
        }
    }

    /// The share that this member may use now.
    pub(crate) fn current_share(&self, now: Nanos) -> BudgetShare {
        self.participant.current_share(now)
    }

    /// Records that a probe made at `probed_at` was refused by the machine of a member.
    pub(crate) fn connection_refused(
        &mut self, transport: &mut Transport, now: Nanos, name: &str, probed_at: Nanos,
    ) {
        let messages = self.participant.connection_refused(now, name, probed_at);
        self.send(transport, messages);
    }

    /// Runs a voting round if this member is the leader: the first one by name of those that are alive. The members of the
    /// epoch change only if the view is settled.
    fn run_round(&mut self, transport: &mut Transport) {
        let settled = transport.members.check_settled(transport.now).is_ok();
        let names =
            transport.members.active_members().map(|k| &k.member.name).chain([&transport.members.own.name]);
        let alive: BTreeSet<String> = names.cloned().collect();
        let first = transport.members.is_active() && alive.first() == Some(&transport.members.own.name);
        self.next_round_at = transport.now + self.participant.settings().lease_duration / ROUNDS_PER_LEASE;
        if !first {
            return self.participant.stop_leading();
        }
        let members = if settled { Some(alive) } else { self.participant.members().cloned() };
        let Some(members) = members else { return };
        // If less than a majority of all members is alive, a majority of those not proven dead suffices. Each member proven
        // dead counts like half a vote.
        let lacking = (self.participant.settings().fleet_size as usize + 1).saturating_sub(2 * members.len());
        let messages = self.participant.begin_round(transport.now, &members);
        let gone = |k: &&MemberEntry| !k.active && !k.member.leaving;
        let dead =
            transport.members.entries.values().filter(gone).map(|k| (k.member.name.clone(), k.member.addr));
        let proven: BTreeSet<&String> = self.participant.dead_names().collect();
        let (known_dead, others): (Vec<_>, Vec<_>) = dead.partition(|d| proven.contains(&d.0));
        let probes = if lacking > 0 { lacking + EXTRA_PROBES } else { 0 };
        let others = others.sample(&mut transport.random, probes.saturating_sub(known_dead.len()));
        let probed = known_dead.iter().chain(others).take(probes);
        transport.out.extend(probed.map(|(name, to)| Output::ProbeAddress { name: name.clone(), to: *to }));
        self.send(transport, messages);
    }

    /// Sends messages to other members and handles those to this member itself.
    fn send(&mut self, transport: &mut Transport, messages: Vec<(String, ShareMessage)>) {
        for (to, message) in messages {
            if to == transport.members.own.name {
                let more = self.participant.handle(transport.now, &to, message);
                self.send(transport, more);
            } else if let Some(to) = transport.members.addr(&to)
                && let Ok(payload) = postcard::to_allocvec(&message)
            {
                transport.send(to, Kind::Share, &payload);
            }
        }
    }

    /// Emits the share if it has changed or its lease was extended.
    pub(crate) fn emit_changes(&mut self, transport: &mut Transport) {
        let share = self.current_share(transport.now);
        if self
            .last_emitted
            .is_none_or(|told| told.members != share.members || share.lease_ends_at > told.lease_ends_at)
        {
            transport.emit(Change::ShareChanged(share));
        }
        self.last_emitted = Some(share);
    }

    /// The share for operators' tools.
    pub(crate) fn row(&self, now: Nanos) -> ShareRow {
        let share = self.current_share(now);
        ShareRow {
            always: share.guaranteed,
            leased: share.leased,
            left_ms: if share.leased > 0.0 { share.lease_ends_at.saturating_sub(now) / MS } else { 0 },
            epoch: self.participant.epoch(now).map(|e| (e.number, e.leader.clone())),
            members: share.members.unwrap_or(0),
        }
    }
}

impl SubProtocol for BudgetShares {
    fn handle_message(&mut self, transport: &mut Transport, head: Head, payload: &[u8]) {
        match postcard::from_bytes(payload) {
            Ok(message) => {
                let messages = self.participant.handle(transport.now, &head.sender.name, message);
                self.send(transport, messages);
            }
            Err(_) => transport.malformed(),
        }
    }

    /// The next round or the end of the emitted lease.
    fn wake_at(&self) -> Nanos {
        self.next_round_at.min(self.last_emitted.map_or(Nanos::MAX, |p| p.lease_ends_at))
    }

    fn on_timer(&mut self, transport: &mut Transport) {
        if transport.now >= self.next_round_at {
            self.run_round(transport);
        }
    }
}

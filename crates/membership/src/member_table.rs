//! The table of members: their names and addresses, which of them are alive, when they last sent a message, and whether the
//! view is settled.

use crate::identity::Member;
use crate::io::{State, Unsettled};
use crate::settings::Settings;
use crate::status::Row;
use crate::{MS, Nanos};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Number of probe periods without a change after which a view is settled, if no other member disagrees.
const SETTLING_PERIODS: u64 = 4;

/// What is known of the member with a name.
#[derive(Debug)]
pub(crate) struct MemberEntry {
    pub(crate) member: Member,
    pub(crate) active: bool,
    /// Its contribution to the digest of the view.
    digest: u64,
    pub(crate) since: Nanos,
    /// When its last message arrived, and the digest of the view in it.
    pub(crate) last_message: Option<(Nanos, u64)>,
}

/// The status of this member in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OwnStatus {
    Active,
    Superseded(u64),
    Left,
}

/// The members that one member knows, including itself.
#[derive(Debug)]
pub(crate) struct MemberTable {
    pub(crate) own: Member,
    pub(crate) own_status: OwnStatus,
    pub(crate) entries: BTreeMap<String, MemberEntry>,
    digest: u64,
    active_count: usize,
    /// When it last changed.
    pub(crate) changed_at: Nanos,
    /// Time without a change until the view is settled. Messages that are younger count as recent.
    settling_time: Nanos,
    /// The settings name other members as seeds.
    expects_others: bool,
}

fn member_digest(member: &Member) -> u64 {
    let mut hash = Sha256::new();
    hash.update(member.name.as_bytes());
    hash.update(member.start.to_be_bytes());
    hash.update(member.turn.to_be_bytes());
    hash.finalize().first_chunk().map_or(0, |b| u64::from_be_bytes(*b))
}

impl MemberTable {
    /// The table of a member that knows only itself.
    pub(crate) fn new(settings: &Settings, own: Member, now: Nanos) -> Self {
        MemberTable {
            digest: member_digest(&own),
            own_status: OwnStatus::Active,
            entries: BTreeMap::new(),
            active_count: 0,
            changed_at: now,
            settling_time: SETTLING_PERIODS * settings.period,
            expects_others: settings.seeds.iter().any(|s| *s != own.addr),
            own,
        }
    }

    /// Digest of the members that are alive, including this one.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of members that are alive, including this one.
    pub(crate) fn alive_count(&self) -> usize {
        self.active_count + usize::from(self.own_status == OwnStatus::Active)
    }

    /// The other members that are alive, by name.
    pub(crate) fn active_members(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values().filter(|k| k.active)
    }

    /// The address of a member, if it is alive.
    pub(crate) fn addr(&self, name: &str) -> Option<SocketAddr> {
        self.entries.get(name).filter(|k| k.active).map(|k| k.member.addr)
    }

    /// Whether this member takes part in the fleet.
    pub(crate) fn is_active(&self) -> bool {
        self.own_status == OwnStatus::Active
    }

    /// Whether this member has left the fleet.
    pub(crate) fn has_left(&self) -> bool {
        self.own_status == OwnStatus::Left
    }

    /// Changes the identity of this member to another start or turn.
    pub(crate) fn set_own(&mut self, own: Member) {
        self.digest = self.digest.wrapping_sub(member_digest(&self.own)).wrapping_add(member_digest(&own));
        self.own = own;
    }

    /// Records the current identity of a member and whether it is alive.
    pub(crate) fn update(&mut self, now: Nanos, member: Member, active: bool) {
        let digest = member_digest(&member);
        let entry = self.entries.entry(member.name.clone());
        let known = entry.or_insert_with(|| MemberEntry {
            member: member.clone(),
            active: false,
            digest,
            since: now,
            last_message: None,
        });
        if known.active {
            self.digest = self.digest.wrapping_sub(known.digest);
            self.active_count -= 1;
        }
        if active {
            self.digest = self.digest.wrapping_add(digest);
            self.active_count += 1;
        }
        if known.member != member {
            known.last_message = None;
        }
        (known.member, known.active, known.digest, known.since) = (member, active, digest, now);
    }

    /// The digest in a member's last message, if the member is alive and the message is recent.
    pub(crate) fn recent_digest(&self, now: Nanos, known: &MemberEntry) -> Option<u64> {
        known.last_message.filter(|h| known.active && h.0 + self.settling_time > now).map(|h| h.1)
    }

    /// Checks whether the view is settled.
    ///
    /// # Errors
    ///
    /// Why it is not settled.
    pub(crate) fn check_settled(&self, now: Nanos) -> Result<(), Unsettled> {
        if self.own_status != OwnStatus::Active {
            return Err(Unsettled::Inactive);
        }
        if now < self.changed_at + self.settling_time {
            return Err(Unsettled::Changed);
        }
        let alone = self.active_count == 0;
        if alone && self.expects_others {
            return Err(Unsettled::NoContact);
        }
        let mut recent =
            self.entries.values().filter_map(|k| Some((k, self.recent_digest(now, k)?))).peekable();
        if !alone && recent.peek().is_none() {
            return Err(Unsettled::NoContact);
        }
        match recent.find(|(_, digest)| *digest != self.digest) {
            Some((k, _)) => Err(Unsettled::Disagreement(k.member.name.clone())),
            None => Ok(()),
        }
    }

    /// The other members as rows for operators' tools. `suspected` tells which of them are suspected.
    pub(crate) fn rows(&self, now: Nanos, suspected: impl Fn(&str) -> bool) -> Vec<Row> {
        let row = |k: &MemberEntry| Row {
            member: k.member.clone(),
            state: match (k.active, k.member.leaving) {
                (true, _) if suspected(&k.member.name) => State::Suspect,
                (true, _) => State::Alive,
                (false, true) => State::Left,
                (false, false) => State::Down,
            },
            since_ms: (now.saturating_sub(k.since)) / MS,
            heard_ms: k.last_message.map(|h| now.saturating_sub(h.0) / MS),
            digest: k.last_message.map(|h| h.1),
        };
        self.entries.values().map(row).collect()
    }
}

//! The book of members: who bears which name, where, who lives, what was heard of whom when, and what all that comes to.

use crate::identity::Member;
use crate::io::{State, Unsettled};
use crate::settings::Settings;
use crate::status::Row;
use crate::{MS, Nanos};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A view that was unchanged for so many periods, and found equal by all that it heard of, is settled.
const SETTLE: u64 = 4;

/// What is known of a name.
#[derive(Debug)]
pub(crate) struct Known {
    pub(crate) member: Member,
    pub(crate) active: bool,
    /// Its part of the digest.
    mark: u64,
    pub(crate) since: Nanos,
    /// Its last word, and the digest that came with it.
    pub(crate) heard: Option<(Nanos, u64)>,
}

/// How this member stands to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stand {
    In,
    Superseded(u64),
    Left,
}

/// The book of one member: itself, and all others that it knows of.
#[derive(Debug)]
pub(crate) struct Book {
    pub(crate) me: Member,
    pub(crate) stand: Stand,
    pub(crate) known: BTreeMap<String, Known>,
    digest: u64,
    active: usize,
    /// When anything in it last changed.
    pub(crate) changed_at: Nanos,
    /// A word was heard lately that is no older than this.
    window: Nanos,
    /// Others should be there.
    expected: bool,
}

fn mark(member: &Member) -> u64 {
    let mut hash = Sha256::new();
    hash.update(member.name.as_bytes());
    hash.update(member.start.to_be_bytes());
    hash.update(member.turn.to_be_bytes());
    hash.finalize().first_chunk().map_or(0, |b| u64::from_be_bytes(*b))
}

impl Book {
    /// The book of a member that knows itself alone.
    pub(crate) fn new(settings: &Settings, me: Member, now: Nanos) -> Self {
        Book {
            digest: mark(&me),
            stand: Stand::In,
            known: BTreeMap::new(),
            active: 0,
            changed_at: now,
            window: SETTLE * settings.period,
            expected: settings.seeds.iter().any(|s| *s != me.addr),
            me,
        }
    }

    /// Digest of those that live, this member included.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// How many live, this member included.
    pub(crate) fn living(&self) -> usize {
        self.active + usize::from(self.stand == Stand::In)
    }

    /// The others that live, by name.
    pub(crate) fn active(&self) -> impl Iterator<Item = &Known> {
        self.known.values().filter(|k| k.active)
    }

    /// Where a name takes datagrams, if it lives.
    pub(crate) fn addr(&self, name: &str) -> Option<SocketAddr> {
        self.known.get(name).filter(|k| k.active).map(|k| k.member.addr)
    }

    /// Whether a member takes part itself.
    pub(crate) fn is_in(&self) -> bool {
        self.stand == Stand::In
    }

    /// Whether it took its leave.
    pub(crate) fn has_left(&self) -> bool {
        self.stand == Stand::Left
    }

    /// This member is another start or turn of itself.
    pub(crate) fn become_start(&mut self, me: Member) {
        self.digest = self.digest.wrapping_sub(mark(&self.me)).wrapping_add(mark(&me));
        self.me = me;
    }

    /// Books a member as it now stands.
    pub(crate) fn note(&mut self, now: Nanos, member: Member, active: bool) {
        let mark = mark(&member);
        let entry = self.known.entry(member.name.clone());
        let known = entry.or_insert_with(|| Known {
            member: member.clone(),
            active: false,
            mark,
            since: now,
            heard: None,
        });
        if known.active {
            self.digest = self.digest.wrapping_sub(known.mark);
            self.active -= 1;
        }
        if active {
            self.digest = self.digest.wrapping_add(mark);
            self.active += 1;
        }
        if known.member != member {
            known.heard = None;
        }
        (known.member, known.active, known.mark, known.since) = (member, active, mark, now);
    }

    /// The digest that came with a member's last word, if it lives and that was lately.
    pub(crate) fn lately(&self, now: Nanos, known: &Known) -> Option<u64> {
        known.heard.filter(|h| known.active && h.0 + self.window > now).map(|h| h.1)
    }

    /// Whether the view is settled, and why not.
    pub(crate) fn settled(&self, now: Nanos) -> Result<(), Unsettled> {
        if self.stand != Stand::In {
            return Err(Unsettled::Out);
        }
        if now < self.changed_at + self.window {
            return Err(Unsettled::Changed);
        }
        let alone = self.active == 0;
        if alone && self.expected {
            return Err(Unsettled::Nobody);
        }
        let mut lately = self.known.values().filter_map(|k| Some((k, self.lately(now, k)?))).peekable();
        if !alone && lately.peek().is_none() {
            return Err(Unsettled::Nobody);
        }
        match lately.find(|(_, digest)| *digest != self.digest) {
            Some((k, _)) => Err(Unsettled::Differs(k.member.name.clone())),
            None => Ok(()),
        }
    }

    /// All others as people's tools see them; `suspected` says of whom an answer is missing.
    pub(crate) fn rows(&self, now: Nanos, suspected: impl Fn(&str) -> bool) -> Vec<Row> {
        let row = |k: &Known| Row {
            member: k.member.clone(),
            state: match (k.active, k.member.leaving) {
                (true, _) if suspected(&k.member.name) => State::Suspect,
                (true, _) => State::Alive,
                (false, true) => State::Left,
                (false, false) => State::Down,
            },
            since_ms: (now.saturating_sub(k.since)) / MS,
            heard_ms: k.heard.map(|h| now.saturating_sub(h.0) / MS),
            digest: k.heard.map(|h| h.1),
        };
        self.known.values().map(row).collect()
    }
}

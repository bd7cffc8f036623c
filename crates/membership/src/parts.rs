//! The topic of shares: which part of a common budget is whose, over the fleet that the book shows.

use crate::book::Known;
use crate::carrier::Carrier;
use crate::frame::{Head, Kind};
use crate::io::{Change, Output};
use crate::share::{Part, Share, Terms, Word};
use crate::status::PartRow;
use crate::topic::Topic;
use crate::{MS, Nanos};
use rand::seq::IndexedRandom;
use std::collections::BTreeSet;

/// Rounds of asking for votes in a lease: two may be lost.
const ROUNDS: u64 = 3;
/// Proofs that are asked for beyond those that are lacking: not every machine answers.
const PROOFS: usize = 3;

/// This member's side of the shares, and what was last told of them.
#[derive(Debug)]
pub(crate) struct Parts {
    share: Share,
    told: Option<Part>,
    round_at: Nanos,
}

impl Parts {
    pub(crate) fn new(terms: Terms, name: &str, start: u64, now: Nanos) -> Self {
        Parts { share: Share::new(terms, name, start, now), told: None, round_at: now }
    }

    /// What this member may use now.
    pub(crate) fn part(&self, now: Nanos) -> Part {
        self.share.part(now)
    }

    /// The machine of this member refused a call that was made then.
    pub(crate) fn refused(&mut self, on: &mut Carrier, now: Nanos, name: &str, called: Nanos) {
        let words = self.share.refused(now, name, called);
        self.send(on, words);
    }

    /// A round of asking for votes, where this member is the one to lead: the first by name of those that live. Members
    /// of an epoch change only with a view that is settled.
    fn round(&mut self, on: &mut Carrier) {
        let settled = on.book.settled(on.now).is_ok();
        let names = on.book.active().map(|k| &k.member.name).chain([&on.book.me.name]);
        let living: BTreeSet<String> = names.cloned().collect();
        let first = on.book.is_in() && living.first() == Some(&on.book.me.name);
        self.round_at = on.now + self.share.terms().lease / ROUNDS;
        if !first {
            return self.share.follow();
        }
        let members = if settled { Some(living) } else { self.share.members().cloned() };
        let Some(members) = members else { return };
        // Without more than half of all, more than half of those that are not provably dead will do: each proof is worth
        // half a vote.
        let lacking = (self.share.terms().fronts as usize + 1).saturating_sub(2 * members.len());
        let words = self.share.lead(on.now, &members);
        let gone = |k: &&Known| !k.active && !k.member.leaving;
        let dead = on.book.known.values().filter(gone).map(|k| (k.member.name.clone(), k.member.addr));
        let proven: BTreeSet<&String> = self.share.dead().collect();
        let (again, anew): (Vec<_>, Vec<_>) = dead.partition(|d| proven.contains(&d.0));
        let proofs = if lacking > 0 { lacking + PROOFS } else { 0 };
        let anew = anew.sample(&mut on.random, proofs.saturating_sub(again.len()));
        let called = again.iter().chain(anew).take(proofs);
        on.out.extend(called.map(|(name, to)| Output::Prove { name: name.clone(), to: *to }));
        self.send(on, words);
    }

    /// Sends what one side of the shares says to others, and hands over what it says to itself.
    fn send(&mut self, on: &mut Carrier, words: Vec<(String, Word)>) {
        for (to, word) in words {
            if to == on.book.me.name {
                let more = self.share.handle(on.now, &to, word);
                self.send(on, more);
            } else if let Some(to) = on.book.addr(&to)
                && let Ok(payload) = postcard::to_allocvec(&word)
            {
                on.send(to, Kind::Share, &payload);
            }
        }
    }

    /// Tells what this member may use, where that is another part than was told, or holds for longer.
    pub(crate) fn tell(&mut self, on: &mut Carrier) {
        let part = self.part(on.now);
        if self.told.is_none_or(|told| told.members != part.members || part.until > told.until) {
            on.tell(Change::Part(part));
        }
        self.told = Some(part);
    }

    /// The part for people.
    pub(crate) fn row(&self, now: Nanos) -> PartRow {
        let part = self.part(now);
        PartRow {
            always: part.always,
            leased: part.leased,
            left_ms: if part.leased > 0.0 { part.until.saturating_sub(now) / MS } else { 0 },
            epoch: self.share.epoch(now).map(|e| (e.number, e.leader.clone())),
            members: part.members.unwrap_or(0),
        }
    }
}

impl Topic for Parts {
    fn hear(&mut self, on: &mut Carrier, head: Head, payload: &[u8]) {
        match postcard::from_bytes(payload) {
            Ok(word) => {
                let words = self.share.handle(on.now, &head.sender.name, word);
                self.send(on, words);
            }
            Err(_) => on.malformed(),
        }
    }

    /// A round, or the end of what was told.
    fn due(&self) -> Nanos {
        self.round_at.min(self.told.map_or(Nanos::MAX, |p| p.until))
    }

    fn say(&mut self, on: &mut Carrier) {
        if on.now >= self.round_at {
            self.round(on);
        }
    }
}

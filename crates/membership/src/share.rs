//! The part of a common budget that a member may use, so that the parts of all never sum to more than the whole,
//! whatever each of them believes.
//!
//! A fleet of `fronts` members by its settings has a budget of 1. Of it `always` is cut into `fronts` equal parts; a
//! member may use its own at any time. The rest is leased: a leader proposes an epoch to the members that it sees; with
//! votes of more than half of `fronts` each of these holds one equal part of the rest, until the lease is over.
//!
//! Why two epochs never hold at once:
//!
//! 1. A vote is a promise to vote for no other epoch for [`Terms::lease`], lengthened by the drift of clocks. It is given
//!    after the round began, so it outlasts what the round grants, which is counted from the round's beginning and
//!    shortened by the drift. Only who voted in a round is granted its part, in answer to the vote: it counts what is left
//!    from its first vote of that round, and shortens it again.
//! 2. More than half voted for the one, more than half for the other: one member voted for both. Its promise to the one
//!    was over when it voted for the other; so was what the one granted.
//! 3. A member that starts has forgotten what its former start promised: it votes for nothing until a lease is over. So a
//!    name whose calls are *refused* by its machine, again and again with less than a lease between, has no process that
//!    could have promised anything meanwhile. Once that has gone on for as long as the former start's promises last, and
//!    still does after the round began, the name counts no longer: more than half is then more than half of the others.
//!    (It is no vote: two leaders may both find it dead. Of `f` names let `s` and `t` vote for two epochs, and `d` and `e`
//!    be those found dead by their leaders. None of `s` is in `e`, none of `t` in `d`, so `s + t <= f - max(d, e)` if no
//!    member is in both; but `2s > f - d` and `2t > f - e` give `s + t > f - max(d, e)`.) Silence counts for nothing.
//! 4. The members of an epoch never change: other members make another epoch.
//!
//! It rests on one living process a name, on no more names than `fronts`, and on clocks whose rates differ by `drift` at
//! most. Without a lease each has `always / fronts`.

use crate::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a fleet agrees on beforehand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Terms {
    /// Members of the whole fleet, by the settings.
    pub fronts: u32,
    /// The part that is nobody's to lease, per mille.
    pub always: u64,
    /// How long a promise lasts.
    pub lease: Nanos,
    /// Clocks run at most so much faster or slower than true time, per mille.
    pub drift: u64,
}

impl Terms {
    /// A span that is surely over `span` of true time.
    fn longer(&self, span: Nanos) -> Nanos {
        (u128::from(span) * u128::from(1000 + self.drift)).div_ceil(1000) as Nanos
    }

    /// A span that is surely within `span` of true time.
    fn shorter(&self, span: Nanos) -> Nanos {
        (u128::from(span) * u128::from(1000 - self.drift.min(1000)) / 1000) as Nanos
    }

    /// A span after which whatever another process had promised before it is over.
    fn past(&self) -> Nanos {
        let promise = self.longer(self.longer(self.lease));
        (u128::from(promise) * 1000).div_ceil(u128::from(1000 - self.drift.min(999))) as Nanos
    }

    /// A span that is surely within what `span` is by another clock.
    fn others(&self, span: Nanos) -> Nanos {
        (u128::from(span) * u128::from(1000 - self.drift.min(1000)) / u128::from(1000 + self.drift)) as Nanos
    }
}

/// An epoch: its number, and the start of its leader.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch {
    /// Grows with each change of members that the leader saw, or heard of.
    pub number: u64,
    /// Name of the leader.
    pub leader: String,
    /// Its start.
    pub start: u64,
}

/// What members say to each other about shares.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Word {
    /// Leader to member: vote for this epoch, to which you belong.
    Propose {
        /// The epoch.
        epoch: Epoch,
        /// The round of the leader's asking.
        round: u64,
    },
    /// Member to leader: promised.
    Vote {
        /// The epoch.
        epoch: Epoch,
        /// The round that was asked in.
        round: u64,
    },
    /// Leader to member: more than half have promised.
    Grant {
        /// The epoch.
        epoch: Epoch,
        /// The round.
        round: u64,
        /// Members of the epoch.
        members: u32,
        /// How long it holds, by the leader's clock.
        remaining: Nanos,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Lead {
    epoch: Epoch,
    members: BTreeSet<String>,
    round: u64,
    /// When the round began.
    at: Nanos,
    votes: BTreeSet<String>,
    /// Names that are provably dead.
    dead: BTreeSet<String>,
    /// More than half was reached in this round.
    granted: bool,
}

/// The part of the whole that a member may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Part {
    /// Always, as a share of the budget.
    pub always: f64,
    /// Beyond that, until the lease is over.
    pub leased: f64,
    /// Members of the epoch that it is leased by.
    pub members: Option<u32>,
    /// The epoch's number; 0: none.
    pub epoch: u64,
    /// The end of the lease; [`Nanos::MAX`] where there is none.
    pub until: Nanos,
}

impl Part {
    /// All of it, as long as the lease lasts.
    pub fn share(&self) -> f64 {
        self.always + self.leased
    }
}

/// One member's side of all this: voter, holder, and leader where it is the one to lead. No I/O and no clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Share {
    terms: Terms,
    name: String,
    start: u64,
    born: Nanos,
    /// The epoch that was last voted for, until when nothing else may be, and the round and time of the last vote.
    promised: Option<(Epoch, Nanos, u64, Nanos)>,
    /// What is held: the epoch, its members, until when.
    held: Option<(Epoch, u32, Nanos)>,
    lead: Option<Lead>,
    /// Highest number of an epoch heard of.
    highest: u64,
    /// Names whose calls are refused: since when without a gap, and when last.
    dead: BTreeMap<String, (Nanos, Nanos)>,
}

impl Share {
    /// A member that has just started.
    pub fn new(terms: Terms, name: &str, start: u64, now: Nanos) -> Self {
        let (promised, held, lead) = (None, None, None);
        Share {
            terms,
            name: name.into(),
            start,
            born: now,
            promised,
            held,
            lead,
            highest: 0,
            dead: BTreeMap::new(),
        }
    }

    /// What the fleet agreed on.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// Members of the epoch that this member leads.
    pub fn members(&self) -> Option<&BTreeSet<String>> {
        self.lead.as_ref().map(|l| &l.members)
    }

    /// What this member may use now.
    pub fn part(&self, now: Nanos) -> Part {
        let whole = self.terms.always.min(1000) as f64 / 1000.0;
        let always = whole / f64::from(self.terms.fronts.max(1));
        match &self.held {
            Some((epoch, members, until)) if now < *until => {
                let leased = (1.0 - whole) / f64::from((*members).max(1));
                Part { always, leased, members: Some(*members), epoch: epoch.number, until: *until }
            }
            _ => Part { always, leased: 0.0, members: None, epoch: 0, until: Nanos::MAX },
        }
    }

    /// What is held by lease, and of which epoch.
    pub fn epoch(&self, now: Nanos) -> Option<&Epoch> {
        self.held.as_ref().filter(|h| now < h.2).map(|h| &h.0)
    }

    /// Begins a round as leader of `members`, itself among them: to be called again well within a lease. Other members
    /// than in the last round make a new epoch.
    pub fn lead(&mut self, now: Nanos, members: &BTreeSet<String>) -> Vec<(String, Word)> {
        let lead = self.lead.take().filter(|l| l.members == *members);
        let (epoch, round) = match lead {
            Some(l) => (l.epoch, l.round + 1),
            None => {
                self.highest += 1;
                (Epoch { number: self.highest, leader: self.name.clone(), start: self.start }, 0)
            }
        };
        let members = members.clone();
        let (votes, dead, granted) = (BTreeSet::new(), BTreeSet::new(), false);
        let lead =
            Lead { epoch: epoch.clone(), members: members.clone(), round, at: now, votes, dead, granted };
        self.lead = Some(lead);
        members.into_iter().map(|to| (to, Word::Propose { epoch: epoch.clone(), round })).collect()
    }

    /// Leads no longer: what was granted runs out by itself.
    pub fn follow(&mut self) {
        self.lead = None;
    }

    /// When the round under way began, for whoever calls those that are silent.
    pub fn round_began(&self) -> Option<Nanos> {
        self.lead.as_ref().map(|l| l.at)
    }

    /// Names whose calls were refused lately: to be called again in the next round, for each is worth the more the longer.
    pub fn dead(&self) -> impl Iterator<Item = &String> {
        self.dead.keys()
    }

    /// A call of the process of this name was refused by its machine; the call was made at `called`.
    pub fn refused(&mut self, now: Nanos, name: &str, called: Nanos) -> Vec<(String, Word)> {
        let (gap, past) = (self.terms.shorter(self.terms.lease), self.terms.past());
        self.dead.retain(|_, (_, last)| called < last.saturating_add(gap));
        let (first, last) = self.dead.entry(name.to_owned()).or_insert((called, called));
        *last = called.max(*last);
        let over = called >= first.saturating_add(past);
        match &mut self.lead {
            Some(lead) if over && called >= lead.at => {
                lead.dead.insert(name.to_owned());
                self.grants(now, name)
            }
            _ => Vec::new(),
        }
    }

    /// Takes a word of another member, or of this one to itself.
    pub fn handle(&mut self, now: Nanos, from: &str, word: Word) -> Vec<(String, Word)> {
        match word {
            Word::Propose { epoch, round } => self.vote(now, from, epoch, round).into_iter().collect(),
            Word::Vote { epoch, round } => {
                match &mut self.lead {
                    Some(l) if l.epoch == epoch && l.round == round => drop(l.votes.insert(from.to_owned())),
                    _ => return Vec::new(),
                }
                self.grants(now, from)
            }
            Word::Grant { epoch, round, members, remaining } => {
                // Counted from the vote that this answers: it was given before the grant was.
                if let Some((e, _, r, voted)) = &self.promised
                    && (e, *r) == (&epoch, round)
                {
                    self.held = Some((epoch, members, voted.saturating_add(self.terms.others(remaining))));
                }
                Vec::new()
            }
        }
    }

    fn vote(&mut self, now: Nanos, from: &str, epoch: Epoch, round: u64) -> Option<(String, Word)> {
        self.highest = self.highest.max(epoch.number);
        if now < self.born.saturating_add(self.terms.longer(self.terms.lease)) {
            return None;
        }
        match &self.promised {
            Some((e, until, ..)) if *e != epoch && now < *until => return None,
            // Of a round before, late.
            Some((e, _, r, _)) if *e == epoch && round < *r => return None,
            // A copy: what is granted counts from the first vote of the round.
            Some((e, _, r, _)) if *e == epoch && round == *r => {
                return Some((from.to_owned(), Word::Vote { epoch, round }));
            }
            _ => {}
        }
        let until = now.saturating_add(self.terms.longer(self.terms.lease));
        self.promised = Some((epoch.clone(), until, round, now));
        Some((from.to_owned(), Word::Vote { epoch, round }))
    }

    /// With more than half of the votes: what is left of the round's lease, for each member of the epoch that voted in it,
    /// so that each counts from before it was granted. `last`: whose vote came last; the others have theirs already.
    fn grants(&mut self, now: Nanos, last: &str) -> Vec<(String, Word)> {
        let (terms, Some(lead)) = (self.terms, &mut self.lead) else { return Vec::new() };
        let until = lead.at.saturating_add(terms.shorter(terms.lease));
        let of = (terms.fronts as usize).saturating_sub(lead.dead.difference(&lead.votes).count());
        if lead.votes.is_empty() || 2 * lead.votes.len() <= of || now >= until {
            return Vec::new();
        }
        let grant = Word::Grant {
            epoch: lead.epoch.clone(),
            round: lead.round,
            members: lead.members.len() as u32,
            remaining: until - now,
        };
        let first = !std::mem::replace(&mut lead.granted, true);
        let voted = lead.members.intersection(&lead.votes).filter(|to| first || *to == last);
        voted.map(|to| (to.clone(), grant.clone())).collect()
    }
}

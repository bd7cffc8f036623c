//! Shares of a common budget. The shares of all members never add up to more than the whole, whatever each member believes.
//!
//! A fleet of `fleet_size` members by its settings has a budget of 1. A part of it is guaranteed: it is divided into
//! `fleet_size` equal shares, and each member may use its own at any time. The rest is leased: a leader proposes an epoch to
//! the members that it sees, and with votes of more than half of `fleet_size` each member of the epoch holds an equal share
//! of the rest until the lease ends.
//!
//! Two epochs never hold leases at the same time:
//!
//! 1. A vote is a promise to vote for no other epoch for [`ShareSettings::lease_duration`], lengthened by the drift of clocks.
//!    It is given after the round began and therefore outlasts the round's grants, which are counted from the start of the
//!    round and shortened by the drift. A share is granted only in answer to a vote of the round. The voter counts the
//!    remaining time from its first vote of that round and shortens it again.
//! 2. If more than half voted for one epoch and more than half for another, some member voted for both. Its promise to the
//!    first had ended when it voted for the second, and so had the first epoch's grants.
//! 3. A restarted member has forgotten the promises of its former start and does not vote until a lease has passed. If a
//!    member's machine *refuses* connections repeatedly, with less than a lease in between, no process of that name can have
//!    made a promise meanwhile. Once this has lasted as long as the promises of the former start, and still does after the
//!    round began, the name is not counted: the majority is then one of the other names. (It is not a vote, as two leaders may
//!    both find it dead. Of `f` names let `s` and `t` vote for two epochs, and let `d` and `e` be those that their leaders find
//!    dead. None of `s` is in `e` and none of `t` in `d`, so `s + t <= f - max(d, e)` if no member is in both; but `2s > f - d`
//!    and `2t > f - e` imply `s + t > f - max(d, e)`.) A member that merely does not answer still counts.
//! 4. The members of an epoch never change: a change of members creates another epoch.
//!
//! This requires one live process for each name, at most `fleet_size` names, and clocks whose rates differ by at most
//! `max_drift_per_mille`. Without a lease each member has its guaranteed share only.

use crate::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Settings of shares, the same at all members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ShareSettings {
    /// Number of members of the whole fleet.
    pub fleet_size: u32,
    /// The guaranteed part of the budget, per mille. The rest is leased.
    pub guaranteed_per_mille: u64,
    /// Duration of a lease and of the promise of a vote.
    pub lease_duration: Nanos,
    /// Maximum deviation of a clock's rate from true time, per mille.
    pub max_drift_per_mille: u64,
}

impl ShareSettings {
    /// A duration by the own clock that covers at least `span` of true time.
    fn at_least(&self, span: Nanos) -> Nanos {
        (u128::from(span) * u128::from(1000 + self.max_drift_per_mille)).div_ceil(1000) as Nanos
    }

    /// A duration by the own clock that covers at most `span` of true time.
    fn at_most(&self, span: Nanos) -> Nanos {
        (u128::from(span) * u128::from(1000 - self.max_drift_per_mille.min(1000)) / 1000) as Nanos
    }

    /// A duration by the own clock after which all earlier promises of another process have ended.
    fn former_promises_end(&self) -> Nanos {
        let promise = self.at_least(self.at_least(self.lease_duration));
        (u128::from(promise) * 1000).div_ceil(u128::from(1000 - self.max_drift_per_mille.min(999))) as Nanos
    }

    /// A duration by the own clock that lies within `span` by another clock.
    fn by_other_clock(&self, span: Nanos) -> Nanos {
        (u128::from(span) * u128::from(1000 - self.max_drift_per_mille.min(1000))
            / u128::from(1000 + self.max_drift_per_mille)) as Nanos
    }
}

/// An epoch of leases: its number and its leader.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch {
    /// Increases with each change of members. Higher than that of any epoch the leader knew.
    pub number: u64,
    /// The name of the leader.
    pub leader: String,
    /// The start number of the leader.
    pub start: u64,
}

/// A message between members about shares.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ShareMessage {
    /// Leader to member: requests a vote for an epoch that includes the member.
    Propose {
        /// The epoch.
        epoch: Epoch,
        /// The leader's round of requests.
        round: u64,
    },
    /// Member to leader: the vote.
    Vote {
        /// The epoch.
        epoch: Epoch,
        /// The round of the request.
        round: u64,
    },
    /// Leader to member: more than half have voted for the epoch.
    Grant {
        /// The epoch.
        epoch: Epoch,
        /// The round.
        round: u64,
        /// Number of members of the epoch.
        members: u32,
        /// Remaining time of the lease by the leader's clock.
        remaining: Nanos,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Leadership {
    epoch: Epoch,
    members: BTreeSet<String>,
    round: u64,
    /// When the round began.
    at: Nanos,
    votes: BTreeSet<String>,
    /// Names without a process.
    dead: BTreeSet<String>,
    /// The round has reached a majority.
    granted: bool,
}

/// The share of the budget that a member may use, as a fraction of the whole.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetShare {
    /// The guaranteed share.
    pub guaranteed: f64,
    /// The additional share until the lease ends.
    pub leased: f64,
    /// Number of members of the epoch of the lease.
    pub members: Option<u32>,
    /// The number of the epoch; 0: none.
    pub epoch: u64,
    /// When the lease ends; [`Nanos::MAX`] if there is none.
    pub lease_ends_at: Nanos,
}

impl BudgetShare {
    /// The whole share while the lease lasts.
    pub fn total(&self) -> f64 {
        self.guaranteed + self.leased
    }
}

/// One member's part in the protocol, as voter, holder of a lease and possibly leader. A state machine without I/O or clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseParticipant {
    settings: ShareSettings,
    name: String,
    start: u64,
    started_at: Nanos,
    /// The epoch last voted for, the end of the promise, and the round and time of the last vote.
    promise: Option<(Epoch, Nanos, u64, Nanos)>,
    /// The lease: its epoch, the number of its members and its end.
    held: Option<(Epoch, u32, Nanos)>,
    leadership: Option<Leadership>,
    /// The highest epoch number known.
    highest: u64,
    /// Names whose machines refuse connections: since when without a gap, and when last.
    dead: BTreeMap<String, (Nanos, Nanos)>,
}

impl LeaseParticipant {
    /// A member that has just started.
    ///
    /// It does not vote before a lease has passed.
    pub fn new(settings: ShareSettings, name: &str, start: u64, now: Nanos) -> Self {
        let (promise, held, leadership) = (None, None, None);
        LeaseParticipant {
            settings,
            name: name.into(),
            start,
            started_at: now,
            promise,
            held,
            leadership,
            highest: 0,
            dead: BTreeMap::new(),
        }
    }

    /// The settings of shares.
    pub fn settings(&self) -> &ShareSettings {
        &self.settings
    }

    /// The members of the epoch that this member leads.
    pub fn members(&self) -> Option<&BTreeSet<String>> {
        self.leadership.as_ref().map(|l| &l.members)
    }

    /// The share that this member may use now.
    pub fn current_share(&self, now: Nanos) -> BudgetShare {
        let whole = self.settings.guaranteed_per_mille.min(1000) as f64 / 1000.0;
        let guaranteed = whole / f64::from(self.settings.fleet_size.max(1));
        match &self.held {
            Some((epoch, members, until)) if now < *until => {
                let leased = (1.0 - whole) / f64::from((*members).max(1));
                BudgetShare {
                    guaranteed,
                    leased,
                    members: Some(*members),
                    epoch: epoch.number,
                    lease_ends_at: *until,
                }
            }
            _ => BudgetShare { guaranteed, leased: 0.0, members: None, epoch: 0, lease_ends_at: Nanos::MAX },
        }
    }

    /// The epoch of the current lease.
    pub fn epoch(&self, now: Nanos) -> Option<&Epoch> {
        self.held.as_ref().filter(|h| now < h.2).map(|h| &h.0)
    }

    /// Begins a round as leader of `members`, which include this member. It has to be called several times within a lease.
    /// If the members differ from those of the last round, a new epoch begins.
    pub fn begin_round(&mut self, now: Nanos, members: &BTreeSet<String>) -> Vec<(String, ShareMessage)> {
        let leadership = self.leadership.take().filter(|l| l.members == *members);
        let (epoch, round) = match leadership {
            Some(l) => (l.epoch, l.round + 1),
            None => {
                self.highest += 1;
                (Epoch { number: self.highest, leader: self.name.clone(), start: self.start }, 0)
            }
        };
        let members = members.clone();
        let (votes, dead, granted) = (BTreeSet::new(), BTreeSet::new(), false);
        let leadership = Leadership {
            epoch: epoch.clone(),
            members: members.clone(),
            round,
            at: now,
            votes,
            dead,
            granted,
        };
        self.leadership = Some(leadership);
        members.into_iter().map(|to| (to, ShareMessage::Propose { epoch: epoch.clone(), round })).collect()
    }

    /// Stops leading. Granted leases expire.
    pub fn stop_leading(&mut self) {
        self.leadership = None;
    }

    /// When the current round began.
    pub fn round_started_at(&self) -> Option<Nanos> {
        self.leadership.as_ref().map(|l| l.at)
    }

    /// Names whose machines refused connections recently. They should be probed again in the next round, because only a
    /// sequence of refusals without gaps counts.
    pub fn dead_names(&self) -> impl Iterator<Item = &String> {
        self.dead.keys()
    }

    /// Records that a connection attempt made at `called` was refused by the machine of a member.
    pub fn connection_refused(
        &mut self, now: Nanos, name: &str, called: Nanos,
    ) -> Vec<(String, ShareMessage)> {
        let (gap, past) =
            (self.settings.at_most(self.settings.lease_duration), self.settings.former_promises_end());
        self.dead.retain(|_, (_, last)| called < last.saturating_add(gap));
        let (first, last) = self.dead.entry(name.to_owned()).or_insert((called, called));
        *last = called.max(*last);
        let over = called >= first.saturating_add(past);
        match &mut self.leadership {
            Some(leadership) if over && called >= leadership.at => {
                leadership.dead.insert(name.to_owned());
                self.grants_due(now, name)
            }
            _ => Vec::new(),
        }
    }

    /// Handles a message of another member, or of this one to itself, and returns the answers.
    pub fn handle(&mut self, now: Nanos, from: &str, word: ShareMessage) -> Vec<(String, ShareMessage)> {
        match word {
            ShareMessage::Propose { epoch, round } => {
                self.vote(now, from, epoch, round).into_iter().collect()
            }
            ShareMessage::Vote { epoch, round } => {
                match &mut self.leadership {
                    Some(l) if l.epoch == epoch && l.round == round => drop(l.votes.insert(from.to_owned())),
                    _ => return Vec::new(),
                }
                self.grants_due(now, from)
            }
            ShareMessage::Grant { epoch, round, members, remaining } => {
                // The time is counted from the vote that this answers, which precedes the grant.
                if let Some((e, _, r, voted)) = &self.promise
                    && (e, *r) == (&epoch, round)
                {
                    self.held =
                        Some((epoch, members, voted.saturating_add(self.settings.by_other_clock(remaining))));
                }
                Vec::new()
            }
        }
    }

    fn vote(&mut self, now: Nanos, from: &str, epoch: Epoch, round: u64) -> Option<(String, ShareMessage)> {
        self.highest = self.highest.max(epoch.number);
        if now < self.started_at.saturating_add(self.settings.at_least(self.settings.lease_duration)) {
            return None;
        }
        match &self.promise {
            Some((e, until, ..)) if *e != epoch && now < *until => return None,
            // A late message of an earlier round.
            Some((e, _, r, _)) if *e == epoch && round < *r => return None,
            // A duplicate: the grant counts from the first vote of the round.
            Some((e, _, r, _)) if *e == epoch && round == *r => {
                return Some((from.to_owned(), ShareMessage::Vote { epoch, round }));
            }
            _ => {}
        }
        let until = now.saturating_add(self.settings.at_least(self.settings.lease_duration));
        self.promise = Some((epoch.clone(), until, round, now));
        Some((from.to_owned(), ShareMessage::Vote { epoch, round }))
    }

    /// Once a majority has voted, the grants of the remaining lease to the members that voted in this round. `last` is the
    /// member whose vote or refusal arrived last; after the first grant the others have theirs already.
    fn grants_due(&mut self, now: Nanos, last: &str) -> Vec<(String, ShareMessage)> {
        let (settings, Some(leadership)) = (self.settings, &mut self.leadership) else { return Vec::new() };
        let until = leadership.at.saturating_add(settings.at_most(settings.lease_duration));
        let of = (settings.fleet_size as usize)
            .saturating_sub(leadership.dead.difference(&leadership.votes).count());
        if leadership.votes.is_empty() || 2 * leadership.votes.len() <= of || now >= until {
            return Vec::new();
        }
        let grant = ShareMessage::Grant {
            epoch: leadership.epoch.clone(),
            round: leadership.round,
            members: leadership.members.len() as u32,
            remaining: until - now,
        };
        let first = !std::mem::replace(&mut leadership.granted, true);
        let voted = leadership.members.intersection(&leadership.votes).filter(|to| first || *to == last);
        voted.map(|to| (to.clone(), grant.clone())).collect()
    }
}

//! The duration of suspicions. A suspicion is shortened by other members that independently get no answer from the suspect
//! (Lifeguard; A. Dadgar, J. Phillips, J. Currey: "Lifeguard: Local Health Awareness for More Accurate Failure Detection",
//! 2018), and ends at once if the suspect's machine refuses a connection.
//!
//! In the paper confirmations arrive over time from the members that happen to probe the suspect. Here they are requested
//! from a few random members, repeatedly while the suspicion lasts, and the suspect is notified each time. Any message of
//! the suspect to one of these members ends the suspicion.

use crate::frame::Kind;
use crate::identity::Member;
use crate::io::Output;
use crate::transport::Transport;
use crate::{MS, Nanos};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Number of confirmations with which a suspicion lasts only the minimum time (Lifeguard's K).
const CONFIRMATIONS_FOR_MINIMUM: usize = 3;
/// Number of members that are queried in a round: more than the confirmations needed, as messages may be lost.
const HELPERS_PER_ROUND: usize = 5;
/// Number of rounds of queries in a probe period.
const ROUNDS_PER_PERIOD: Nanos = 2;
/// Number of times that a queried member probes the suspect within a round.
const PROBES_PER_ROUND: Nanos = 2;
/// Maximum number of own suspicions, and of suspects probed for others. Further suspicions last the full time, and further
/// queries are not answered.
const MAX_SUSPECTS: usize = 256;

/// A message between members about a suspected member. The order of the variants is part of the format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum SuspicionMessage {
    /// Asks another member whether the suspect answers it, or notifies the suspect of the suspicion.
    Query(Suspect),
    /// The suspect does not answer.
    NoAnswer(Suspect),
    /// The member is alive with this incarnation. Sent by the suspect itself or by a member that got an answer.
    Alive(Suspect),
}

/// A suspected member, with its identity when the suspicion began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Suspect {
    pub(crate) member: Member,
    pub(crate) incarnation: u16,
}

/// A suspicion of this member.
#[derive(Debug)]
struct Suspicion {
    suspect: Suspect,
    since: Nanos,
    /// The members that confirmed it.
    confirmed_by: BTreeSet<String>,
    /// The suspect's machine refused a connection.
    connection_refused: bool,
    next_round_at: Nanos,
}

/// A suspicion of other members that this member was asked to confirm.
#[derive(Debug)]
struct Check {
    suspect: Suspect,
    /// The members that asked, with their addresses.
    askers: BTreeMap<String, SocketAddr>,
    since: Nanos,
    probes: Nanos,
    next_probe_at: Nanos,
}

/// The suspicions of this member and those it checks for others, by the name of the suspect.
#[derive(Debug, Default)]
pub(crate) struct Suspicions {
    own: BTreeMap<String, Suspicion>,
    checks: BTreeMap<String, Check>,
}

/// The duration of a suspicion with `confirmed` confirmations, between `min` and `max` (Lifeguard, section IV-B).
pub(crate) fn suspicion_timeout((min, max): (Nanos, Nanos), confirmed: usize) -> Nanos {
    let fraction = ((confirmed + 1) as f64).ln() / ((CONFIRMATIONS_FOR_MINIMUM + 1) as f64).ln();
    let shorter = max.saturating_sub(min) as f64 * fraction;
    max.saturating_sub(shorter as Nanos).max(min)
}

/// Sends a message about a suspect.
pub(crate) fn send(transport: &mut Transport, to: SocketAddr, message: &SuspicionMessage) {
    if let Ok(payload) = postcard::to_allocvec(message) {
        transport.send(to, Kind::Suspicion, &payload);
    }
}

impl Suspicions {
    /// Starts a suspicion after this member's probe and the indirect probes of others have failed. `ask_others` and `probe`
    /// switch on queries to other members and probing of the suspect's address.
    pub(crate) fn start(
        &mut self, transport: &mut Transport, suspect: Suspect, (ask_others, probe): (bool, bool),
    ) {
        let (name, to) = (suspect.member.name.clone(), suspect.member.addr);
        if self.own.get(&name).is_some_and(|d| d.suspect == suspect) || self.own.len() >= MAX_SUSPECTS {
            return;
        }
        let next_round_at = if ask_others { transport.now } else { Nanos::MAX };
        let suspicion = Suspicion {
            suspect,
            since: transport.now,
            confirmed_by: BTreeSet::new(),
            connection_refused: false,
            next_round_at,
        };
        self.own.insert(name.clone(), suspicion);
        if probe {
            transport.out.push(Output::ProbeAddress { name, to });
        }
    }

    /// The suspects and the times at which their suspicions end.
    pub(crate) fn deadlines(&self, bounds: (Nanos, Nanos)) -> impl Iterator<Item = (&Suspect, Nanos)> {
        self.own.values().map(move |d| match d.connection_refused {
            // It ends at once.
            true => (&d.suspect, 0),
            false => (&d.suspect, d.since + suspicion_timeout(bounds, d.confirmed_by.len())),
        })
    }

    /// Discards the suspicions of this member, because it is alone or has changed its identity.
    pub(crate) fn clear(&mut self) {
        self.own.clear();
    }

    /// Removes a suspicion that has ended.
    pub(crate) fn remove(&mut self, name: &str) {
        self.own.remove(name);
    }

    /// Records that a probe sent at `probed_at` was refused, so that no process is there. Returns whether that ends a
    /// suspicion of this member.
    pub(crate) fn connection_refused(&mut self, name: &str, probed_at: Nanos) -> bool {
        let suspicion = self.own.get_mut(name).filter(|d| probed_at >= d.since);
        suspicion.map(|d| d.connection_refused = true).is_some()
    }

    /// Postpones all timers after a stall of this process.
    pub(crate) fn postpone(&mut self, by: Nanos) {
        for d in self.own.values_mut() {
            d.since = d.since.saturating_add(by);
        }
        for c in self.checks.values_mut() {
            c.next_probe_at += by;
        }
    }

    /// Discards suspicions of a member that is gone or has another identity.
    pub(crate) fn member_changed(&mut self, member: &Member, active: bool) {
        if self.own.get(&member.name).is_some_and(|d| !active || d.suspect.member != *member) {
            self.own.remove(&member.name);
        }
        if self.checks.get(&member.name).is_some_and(|c| !active || c.suspect.member != *member) {
            self.checks.remove(&member.name);
        }
    }

    /// Handles the query whether another member answers: probes it, and replies with the result.
    pub(crate) fn handle_query(&mut self, transport: &mut Transport, asker: Member, suspect: Suspect) {
        let name = suspect.member.name.clone();
        let known =
            transport.members.entries.get(&name).is_some_and(|k| k.active && k.member == suspect.member);
        // Suspicions of unknown members are not confirmed.
        if !known
            || asker.name == name
            || (self.checks.len() >= MAX_SUSPECTS && !self.checks.contains_key(&name))
        {
            return;
        }
        let (now, fresh) = (transport.now, || BTreeMap::from([(asker.name.clone(), asker.addr)]));
        match self.checks.get_mut(&name).filter(|c| c.suspect == suspect) {
            Some(check) if check.askers.len() < MAX_SUSPECTS => {
                check.askers.insert(asker.name, asker.addr);
            }
            Some(_) => {}
            None => {
                let check = Check { askers: fresh(), suspect, since: now, probes: 0, next_probe_at: now };
                self.checks.insert(name, check);
                self.on_timer(transport);
            }
        }
    }

    /// Records the confirmation of another member that the suspect does not answer it.
    pub(crate) fn handle_no_answer(&mut self, from: &str, suspect: &Suspect) {
        let suspicion = self.own.get_mut(&suspect.member.name).filter(|d| d.suspect == *suspect);
        if let Some(d) = suspicion {
            d.confirmed_by.insert(from.to_owned());
        }
    }

    /// Informs the members that asked that the suspect is alive.
    pub(crate) fn handle_alive(&mut self, transport: &mut Transport, alive: &Suspect) {
        let name = &alive.member.name;
        if self.checks.get(name).is_some_and(|c| c.suspect.member == alive.member) {
            let check = self.checks.remove(name);
            let askers = check.into_iter().flat_map(|c| c.askers.into_values());
            askers.for_each(|to| send(transport, to, &SuspicionMessage::Alive(alive.clone())));
        }
    }

    /// When [`Suspicions::on_timer`] is to be called.
    pub(crate) fn wake_at(&self) -> Nanos {
        let rounds = self.own.values().map(|d| d.next_round_at);
        rounds.chain(self.checks.values().map(|c| c.next_probe_at)).min().unwrap_or(Nanos::MAX)
    }

    /// Queries other members about this member's suspects, probes the suspects of others, and reports those that did not
    /// answer.
    pub(crate) fn on_timer(&mut self, transport: &mut Transport) {
        let round_interval = transport.settings.period / ROUNDS_PER_PERIOD;
        let due: Vec<Suspect> = self
            .own
            .values()
            .filter(|d| transport.now >= d.next_round_at)
            .map(|d| d.suspect.clone())
            .collect();
        for suspect in due {
            let can_help = |k: &&crate::member_table::MemberEntry| {
                let name = &k.member.name;
                !self.own.contains_key(name) && !self.own[&suspect.member.name].confirmed_by.contains(name)
            };
            let pool: Vec<SocketAddr> =
                transport.members.active_members().filter(can_help).map(|k| k.member.addr).collect();
            let helpers: Vec<SocketAddr> =
                pool.sample(&mut transport.random, HELPERS_PER_ROUND).copied().collect();
            let (message, itself) = (SuspicionMessage::Query(suspect.clone()), suspect.member.addr);
            helpers.into_iter().chain([itself]).for_each(|to| send(transport, to, &message));
            let next = transport.now + round_interval;
            self.own.get_mut(&suspect.member.name).into_iter().for_each(|d| d.next_round_at = next);
        }
        let due: Vec<String> =
            self.checks.iter().filter(|c| transport.now >= c.1.next_probe_at).map(|c| c.0.clone()).collect();
        for name in due {
            let Some(check) = self.checks.get_mut(&name) else { continue };
            if check.probes < PROBES_PER_ROUND {
                check.probes += 1;
                check.next_probe_at = transport.now + (round_interval / PROBES_PER_ROUND).max(MS);
                let message = SuspicionMessage::Query(check.suspect.clone());
                send(transport, check.suspect.member.addr, &message);
                continue;
            }
            let Some(check) = self.checks.remove(&name) else { continue };
            // Any message since the first probe counts as an answer.
            let answered = transport
                .members
                .entries
                .get(&name)
                .and_then(|k| k.last_message)
                .is_some_and(|h| h.0 >= check.since);
            if !answered {
                let message = SuspicionMessage::NoAnswer(check.suspect);
                check.askers.into_values().for_each(|to| send(transport, to, &message));
            }
        }
    }
}

//! How long a suspicion lasts: less, the more members find by themselves that the suspect does not answer (Lifeguard's
//! suspicion by independent confirmations; A. Dadgar, J. Phillips, J. Currey: "Lifeguard: Local Health Awareness for More
//! Accurate Failure Detection", 2018), and no longer where its machine refuses a call.
//!
//! In the paper confirmations come by and by, from whoever happens to probe the suspect. Here they are asked for: of a few
//! members that are drawn by lot, again as long as the suspicion lasts, and the suspect itself is told each time. One word
//! of the suspect that any of them hears ends it.

use crate::carrier::Carrier;
use crate::frame::Kind;
use crate::identity::Member;
use crate::io::Output;
use crate::{MS, Nanos};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Members that have to confirm a suspicion for it to last no longer than the least (Lifeguard's K).
const CONFIRMED: usize = 3;
/// Members that are asked in a round: beyond those that have to confirm as many as a lossy network may take.
const ASKED: usize = 5;
/// Rounds of asking in a period, and calls of whoever was asked within its round.
const ROUNDS: Nanos = 2;
const CALLS: Nanos = 2;
/// Suspects whose suspicion is timed, and suspects that are called for others, at most; the suspicion of those beyond lasts
/// its full time, and what is asked beyond is not answered.
const MOST: usize = 256;
/// What members say to each other of one that is suspected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Word {
    /// Does it answer you? To a third; to itself: you are suspected.
    Asks(Suspect),
    /// It does not answer.
    Silent(Suspect),
    /// It lives, at this incarnation; by itself or by whoever heard it.
    Here(Suspect),
}

/// One that is suspected, as it was when that began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Suspect {
    pub(crate) member: Member,
    pub(crate) incarnation: u16,
}

/// A suspicion of this member's own.
#[derive(Debug)]
struct Doubt {
    suspect: Suspect,
    since: Nanos,
    /// Which members confirmed it.
    by: BTreeSet<String>,
    /// Its machine refused a call.
    refused: bool,
    round_at: Nanos,
}

/// A suspicion of another's that this member was asked to confirm.
#[derive(Debug)]
struct Check {
    suspect: Suspect,
    /// Who asked.
    askers: BTreeMap<String, SocketAddr>,
    since: Nanos,
    calls: Nanos,
    call_at: Nanos,
}

/// Suspicions, and what was asked of them, by name of the suspect.
#[derive(Debug, Default)]
pub(crate) struct Doubts {
    own: BTreeMap<String, Doubt>,
    checks: BTreeMap<String, Check>,
}

/// The time that a suspicion lasts with so many confirmations, between least and most (Lifeguard, section IV-B).
pub(crate) fn lasts((least, most): (Nanos, Nanos), confirmed: usize) -> Nanos {
    let part = ((confirmed + 1) as f64).ln() / ((CONFIRMED + 1) as f64).ln();
    let shorter = most.saturating_sub(least) as f64 * part;
    most.saturating_sub(shorter as Nanos).max(least)
}

/// Sends a word, by membership's own part of the budget.
pub(crate) fn send(on: &mut Carrier, to: SocketAddr, word: &Word) {
    if let Ok(payload) = postcard::to_allocvec(word) {
        on.send(to, Kind::Doubt, &payload);
    }
}

impl Doubts {
    /// This member's own probe of another failed, and so did those that it had asked to probe.
    pub(crate) fn begins(&mut self, on: &mut Carrier, suspect: Suspect, (asks, proves): (bool, bool)) {
        let (name, to) = (suspect.member.name.clone(), suspect.member.addr);
        if self.own.get(&name).is_some_and(|d| d.suspect == suspect) || self.own.len() >= MOST {
            return;
        }
        let round_at = if asks { on.now } else { Nanos::MAX };
        let doubt = Doubt { suspect, since: on.now, by: BTreeSet::new(), refused: false, round_at };
        self.own.insert(name.clone(), doubt);
        if proves {
            on.out.push(Output::Prove { name, to });
        }
    }

    /// Suspicions whose time is over, or will be at the time that stands with each.
    pub(crate) fn ends(&self, bounds: (Nanos, Nanos)) -> impl Iterator<Item = (&Suspect, Nanos)> {
        self.own.values().map(move |d| match d.refused {
            // At once.
            true => (&d.suspect, 0),
            false => (&d.suspect, d.since + lasts(bounds, d.by.len())),
        })
    }

    /// This member is alone or another than it was: its own suspicions say nothing any more.
    pub(crate) fn forget(&mut self) {
        self.own.clear();
    }

    /// A suspicion is over, one way or the other.
    pub(crate) fn over(&mut self, name: &str) {
        self.own.remove(name);
    }

    /// The machine of a member refused a call that was made then: no process is there. Whether that ends a suspicion of
    /// this member's own.
    pub(crate) fn refused(&mut self, name: &str, called: Nanos) -> bool {
        let doubt = self.own.get_mut(name).filter(|d| called >= d.since);
        doubt.map(|d| d.refused = true).is_some()
    }

    /// This process stood still for so long: so much later ends what it waits for.
    pub(crate) fn put_off(&mut self, by: Nanos) {
        for d in self.own.values_mut() {
            d.since = d.since.saturating_add(by);
        }
        for c in self.checks.values_mut() {
            c.call_at += by;
        }
    }

    /// A suspect is not what it was: gone for good, or there under another start.
    pub(crate) fn changed(&mut self, member: &Member, active: bool) {
        if self.own.get(&member.name).is_some_and(|d| !active || d.suspect.member != *member) {
            self.own.remove(&member.name);
        }
        if self.checks.get(&member.name).is_some_and(|c| !active || c.suspect.member != *member) {
            self.checks.remove(&member.name);
        }
    }

    /// This member is asked whether another answers: it calls it, and says what came of that.
    pub(crate) fn asked(&mut self, on: &mut Carrier, asker: Member, suspect: Suspect) {
        let name = suspect.member.name.clone();
        let known = on.book.known.get(&name).is_some_and(|k| k.active && k.member == suspect.member);
        // What is not known here is not confirmed.
        if !known || asker.name == name || (self.checks.len() >= MOST && !self.checks.contains_key(&name)) {
            return;
        }
        let (now, fresh) = (on.now, || BTreeMap::from([(asker.name.clone(), asker.addr)]));
        match self.checks.get_mut(&name).filter(|c| c.suspect == suspect) {
            Some(check) if check.askers.len() < MOST => drop(check.askers.insert(asker.name, asker.addr)),
            Some(_) => {}
            None => {
                let check = Check { askers: fresh(), suspect, since: now, calls: 0, call_at: now };
                self.checks.insert(name, check);
                self.say(on);
            }
        }
    }

    /// The word of another that a suspect of this member's own does not answer it.
    pub(crate) fn silent(&mut self, from: &str, suspect: &Suspect) {
        let doubt = self.own.get_mut(&suspect.member.name).filter(|d| d.suspect == *suspect);
        if let Some(d) = doubt {
            d.by.insert(from.to_owned());
        }
    }

    /// A member lives, at this incarnation: whoever asked hears it.
    pub(crate) fn here(&mut self, on: &mut Carrier, alive: &Suspect) {
        let name = &alive.member.name;
        if self.checks.get(name).is_some_and(|c| c.suspect.member == alive.member) {
            let check = self.checks.remove(name);
            let askers = check.into_iter().flat_map(|c| c.askers.into_values());
            askers.for_each(|to| send(on, to, &Word::Here(alive.clone())));
        }
    }

    /// When it has something to say.
    pub(crate) fn due(&self) -> Nanos {
        let rounds = self.own.values().map(|d| d.round_at);
        rounds.chain(self.checks.values().map(|c| c.call_at)).min().unwrap_or(Nanos::MAX)
    }

    /// Asks others of this member's own suspects, calls those that it was asked of, and says who did not answer.
    pub(crate) fn say(&mut self, on: &mut Carrier) {
        let round = on.settings.period / ROUNDS;
        let due: Vec<Suspect> =
            self.own.values().filter(|d| on.now >= d.round_at).map(|d| d.suspect.clone()).collect();
        for suspect in due {
            let helps = |k: &&crate::book::Known| {
                let name = &k.member.name;
                !self.own.contains_key(name) && !self.own[&suspect.member.name].by.contains(name)
            };
            let pool: Vec<SocketAddr> = on.book.active().filter(helps).map(|k| k.member.addr).collect();
            let asked: Vec<SocketAddr> = pool.sample(&mut on.random, ASKED).copied().collect();
            let (word, itself) = (Word::Asks(suspect.clone()), suspect.member.addr);
            asked.into_iter().chain([itself]).for_each(|to| send(on, to, &word));
            let next = on.now + round;
            self.own.get_mut(&suspect.member.name).into_iter().for_each(|d| d.round_at = next);
        }
        let due: Vec<String> =
            self.checks.iter().filter(|c| on.now >= c.1.call_at).map(|c| c.0.clone()).collect();
        for name in due {
            let Some(check) = self.checks.get_mut(&name) else { continue };
            if check.calls < CALLS {
                check.calls += 1;
                check.call_at = on.now + (round / CALLS).max(MS);
                let word = Word::Asks(check.suspect.clone());
                send(on, check.suspect.member.addr, &word);
                continue;
            }
            let Some(check) = self.checks.remove(&name) else { continue };
            // Any word of it since it was called is an answer.
            let heard = on.book.known.get(&name).and_then(|k| k.heard).is_some_and(|h| h.0 >= check.since);
            if !heard {
                let word = Word::Silent(check.suspect);
                check.askers.into_values().for_each(|to| send(on, to, &word));
            }
        }
    }
}

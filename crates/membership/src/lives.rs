//! The topic of who lives: SWIM by the library, and what a fleet needs beyond it. A process that stood still accuses
//! nobody; starts of one name outrank each other; views that differ are mended; who is missing is called; suspicions are
//! confirmed by others ([`crate::doubts`]).

use crate::book::{Known, Stand};
use crate::carrier::Carrier;
use crate::doubts::{Doubts, Suspect, Word};
use crate::frame::{Head, Kind, ROOM};
use crate::identity::{MOST_MEMBERS, Member};
use crate::io::{Change, Feature};
use crate::settings::{GOSSIP, GOSSIP_PART, Settings};
use crate::topic::Topic;
use crate::{MS, Nanos, SECOND};
use foca::{AccumulatingRuntime, Config, Foca, OwnedNotification, PeriodicParams, PostcardCodec, Timer};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::time::Duration;

/// A probe's answer is waited for so long before others are asked to probe as well: a third of the period leaves them
/// the rest of it.
const RTT_PART: u32 = 3;
/// Members that are asked to probe where a probe goes unanswered (SWIM's k; memberlist's default).
const INDIRECT: usize = 3;
/// Suspicion lasts so many periods times the decimal logarithm of the fleet's size (memberlist's and Lifeguard's alpha).
const SUSPICION: f64 = 4.0;
/// ... and so many where others confirm it (see [`crate::doubts`]), but no less than a process may get no time from a
/// machine that is busy.
const CONFIRMED: f64 = 1.25;
const LEAST: Nanos = 1300 * MS;
/// Any member is asked for all that it knows so often.
const ANNOUNCE: Nanos = 30 * SECOND;
/// Whoever is alone calls so often; whoever is not calls those that are missing so often.
const CALL_ALONE: Nanos = SECOND;
const CALL: Nanos = 5 * SECOND;
/// Missing members and seeds that are called at a time.
const CALLED: usize = 3;
/// A start that finds a later one known within this time of its own, and before its view was settled, is the later start
/// in truth: its clock is behind.
const JOINING: Nanos = 30 * SECOND;
/// A clock that is this much late at a timer stood still: no silence of others during that time counts.
const LATE: Nanos = 100 * MS;
/// Members that went and are named to one whose view differs, at most: the latest, and as many by lot.
const GONE: usize = 24;
/// Looks in a period at whether the view is settled.
const SETTLE_LOOKS: u64 = 5;

type Swim = Foca<Member, PostcardCodec, StdRng, foca::NoCustomBroadcast>;

/// This member's part in SWIM, and what it does beside it.
pub(crate) struct Lives {
    swim: Swim,
    runtime: AccumulatingRuntime<Member>,
    born: Nanos,
    timers: BTreeMap<(Nanos, u64), Timer<Member>>,
    timer: u64,
    call_at: Nanos,
    /// One whose view differs is asked then.
    mend_at: Nanos,
    /// Who is suspected, at which incarnation, and when that is looked up again.
    suspects: BTreeMap<String, u16>,
    suspects_at: Nanos,
    doubts: Doubts,
    /// The least and the most that a suspicion lasts.
    bounds: (Nanos, Nanos),
    /// The last suspicion of itself that it answered.
    answered: Option<Suspect>,
    settled: bool,
    /// It was settled once since its start.
    established: bool,
    settle_at: Nanos,
    /// What tests and measurements take out.
    pub(crate) without: Option<Feature>,
}

fn span(nanos: Nanos) -> Duration {
    Duration::from_nanos(nanos)
}

/// The least and the most that a suspicion lasts in a fleet of this size.
fn bounds(settings: &Settings) -> (Nanos, Nanos) {
    let log = f64::from(settings.expected.max(2)).log10().max(1.0);
    let periods = |n: f64| span(settings.period).mul_f64(n * log).as_nanos() as Nanos;
    let most = periods(SUSPICION);
    (periods(CONFIRMED).max(LEAST).min(most), most)
}

/// The library's settings for a fleet of this size.
fn swim_config(settings: &Settings) -> Config {
    let period = span(settings.period);
    let least = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    Config {
        probe_period: period,
        probe_rtt: period / RTT_PART,
        num_indirect_probes: least(INDIRECT),
        max_transmissions: settings.copies(),
        suspect_to_down_after: span(bounds(settings).1),
        remove_down_after: Some(span(settings.remember)),
        max_packet_size: least(ROOM),
        notify_down_members: true,
        periodic_announce: Some(PeriodicParams { frequency: span(ANNOUNCE), num_members: least(1) }),
        // Calls of our own find them, also where nobody is left to hand anything on.
        periodic_announce_to_down_members: None,
        periodic_gossip: Some(PeriodicParams {
            frequency: period * GOSSIP_PART.0 / GOSSIP_PART.1,
            num_members: least(GOSSIP),
        }),
    }
}

/// Some of those that went, no more than a datagram holds.
fn gone(on: &mut Carrier) -> Vec<Member> {
    let forget = on.settings.remember;
    let gone = on.book.known.values().filter(|k| !k.active && on.now < k.since.saturating_add(forget));
    let mut gone: Vec<&Known> = gone.collect();
    gone.sort_by_key(|k| std::cmp::Reverse(k.since));
    let (late, early) = gone.split_at(gone.len().min(GONE / 2));
    let lot = early.sample(&mut on.random, GONE - late.len());
    late.iter().chain(lot).map(|k| k.member.clone()).collect()
}

impl Lives {
    /// Who lives as far as one knows that has just started.
    pub(crate) fn new(settings: &Settings, me: Member, seed: u64, now: Nanos) -> Self {
        let swim = Foca::new(me, swim_config(settings), StdRng::seed_from_u64(seed), PostcardCodec);
        Lives {
            swim,
            runtime: AccumulatingRuntime::new(),
            born: now,
            timers: BTreeMap::new(),
            timer: 0,
            call_at: now,
            mend_at: now,
            suspects: BTreeMap::new(),
            suspects_at: now,
            doubts: Doubts::default(),
            bounds: bounds(settings),
            answered: None,
            settled: false,
            established: false,
            settle_at: now,
            without: None,
        }
    }

    fn has(&self, feature: Feature) -> bool {
        let both = [Feature::Confirm, Feature::Prove].contains(&feature);
        self.without != Some(feature) && !(both && self.without == Some(Feature::Doubt))
    }

    /// Timers that wait, and updates.
    pub(crate) fn books(&self) -> [usize; 2] {
        [self.timers.len(), self.swim.updates_backlog()]
    }

    /// Whether an answer of this one is missing.
    pub(crate) fn suspected(&self, name: &str) -> bool {
        self.suspects.contains_key(name)
    }

    // ----- time

    /// Timers that come late show that this process stood still. It could hear nobody meanwhile: all that it waits for is
    /// put off by that time, so that it accuses nobody for its own absence (Lifeguard's local health, in one step).
    pub(crate) fn stood_still(&mut self, on: &mut Carrier) {
        let late = on.now.saturating_sub(self.timers.first_key_value().map_or(Nanos::MAX, |(k, _)| k.0));
        if !self.has(Feature::Guard) || late < LATE {
            return;
        }
        on.counts.stood_still += 1;
        // What lies unread is read first: an answer's time more.
        let by = late + on.settings.period / Nanos::from(RTT_PART);
        self.timers =
            std::mem::take(&mut self.timers).into_iter().map(|((at, n), t)| ((at + by, n), t)).collect();
        self.doubts.put_off(by);
        on.book.known.values_mut().for_each(|k| k.heard = k.heard.map(|h| (h.0 + late, h.1)));
        on.tell(Change::StoodStill { span: late });
    }

    // ----- who is missing

    /// Asks one whose view differs for those that it knows to live, and names those that went: what was not handed on
    /// often enough to reach all is mended by that. Of a start and turn that one has for living and the other for gone,
    /// gone holds, as with any update; whoever lives takes another turn.
    fn mend(&mut self, on: &mut Carrier) {
        self.mend_at = on.now + on.settings.period;
        let differs = |k: &&Known| on.book.lately(on.now, k).is_some_and(|digest| digest != on.book.digest());
        let others: Vec<Member> = on.book.known.values().filter(differs).map(|k| k.member.clone()).collect();
        let other = others.choose(&mut on.random).filter(|_| on.book.is_in());
        if let Some(other) = other.filter(|_| self.has(Feature::Mend)) {
            let _ = self.swim.announce(other.clone(), &mut self.runtime);
            self.carry_out(on);
            let mut gone = if self.has(Feature::Gone) { gone(on) } else { Vec::new() };
            // Names may be long.
            while !gone.is_empty() {
                match postcard::to_allocvec(&gone) {
                    Ok(payload) if payload.len() <= ROOM => {
                        return on.send(other.addr, Kind::Gone, &payload);
                    }
                    _ => gone.truncate(gone.len() / 2),
                }
            }
        }
    }

    /// Another names members that went.
    fn named(&mut self, on: &mut Carrier, payload: &[u8]) {
        let Ok(gone) = postcard::from_bytes::<Vec<Member>>(payload) else {
            return on.malformed();
        };
        for member in gone.into_iter().take(GONE) {
            if on.book.known.get(&member.name).is_some_and(|k| k.active && k.member.rank() <= member.rank()) {
                let down = foca::Member::new(member, u16::MAX, foca::State::Down);
                let _ = self.swim.apply_many(std::iter::once(down), true, &mut self.runtime);
            }
        }
        self.carry_out(on);
    }

    /// Calls some of those that should be there and are not: seeds, members that were given up and not forgotten, and where
    /// nobody is heard those that seem to be there: two that took another turn at once each know the other's former one.
    fn call(&mut self, on: &mut Carrier) {
        let lot = on.random.random_range(0..=CALL_ALONE / 2);
        let alone = !on.book.known.values().any(|k| on.book.lately(on.now, k).is_some());
        self.call_at = on.now + lot + if alone { CALL_ALONE } else { CALL };
        let there = on.book.known.values().filter(|k| k.active && !alone);
        let there: BTreeSet<SocketAddr> = there.map(|k| k.member.addr).chain([on.book.me.addr]).collect();
        let remembered = |k: &&Known| {
            let (gone, left) = (!k.active || alone, k.member.leaving);
            gone && !left && on.now < k.since.saturating_add(on.settings.remember)
        };
        let missing = on.book.known.values().filter(remembered).map(|k| k.member.addr);
        let missing: BTreeSet<SocketAddr> = missing.chain(on.settings.seeds.iter().copied()).collect();
        let missing: Vec<SocketAddr> = missing.difference(&there).copied().collect();
        // A superseded start asks whoever is there whether the later one still lives.
        let pool = if matches!(on.book.stand, Stand::Superseded(_)) && missing.is_empty() {
            there.into_iter().filter(|a| *a != on.book.me.addr).collect()
        } else {
            missing
        };
        let called: Vec<SocketAddr> = pool.sample(&mut on.random, CALLED).copied().collect();
        let called = called.into_iter().filter(|_| alone || self.has(Feature::Call)).collect::<Vec<_>>();
        called.into_iter().for_each(|to| on.send(to, Kind::Hello, &[]));
    }

    /// Carries out what the library asked for.
    fn carry_out(&mut self, on: &mut Carrier) {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.timer += 1;
            let after = u64::try_from(after.as_nanos()).unwrap_or(Nanos::MAX);
            // Who is given up again and again is forgotten once, the last time.
            if let Timer::RemoveDown(gone) = &timer {
                self.timers.retain(|_, t| !matches!(t, Timer::RemoveDown(m) if m.name == gone.name));
            }
            if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
                let suspect = Suspect { member: member_id.clone(), incarnation: *incarnation };
                let how = (self.has(Feature::Confirm), self.has(Feature::Prove));
                self.doubts.begins(on, suspect, how);
                // Who goes by suspicions hears of it before it is over.
                self.suspects_at = on.now;
            }
            self.timers.insert((on.now.saturating_add(after), self.timer), timer);
        }
        while let Some(notification) = self.runtime.to_notify() {
            self.notified(on, notification);
        }
        while let Some((to, payload)) = self.runtime.to_send() {
            on.send(to.addr, Kind::Swim, &payload);
        }
    }

    fn notified(&mut self, on: &mut Carrier, notification: OwnedNotification<Member>) {
        match notification {
            OwnedNotification::MemberUp(m) => {
                on.book.note(on.now, m.clone(), true);
                on.changed(Change::Up(m));
            }
            OwnedNotification::MemberDown(m) => {
                on.book.note(on.now, m.clone(), false);
                self.doubts.changed(&m, false);
                if m.leaving {
                    on.changed(Change::Left(m));
                } else {
                    on.counts.given_up += 1;
                    on.changed(Change::Down(m));
                }
            }
            OwnedNotification::Rename(old, new) => {
                let active = on.book.known.get(&old.name).is_some_and(|k| k.active);
                on.book.note(on.now, new.clone(), active);
                self.doubts.changed(&new, active);
                on.changed(Change::Renewed { old, new });
            }
            OwnedNotification::Rejoin(me) => {
                on.counts.rejoined += 1;
                on.book.become_start(me.clone());
                self.doubts.forget();
                on.changed(Change::Rejoined(me));
            }
            OwnedNotification::Idle | OwnedNotification::Defunct => self.doubts.forget(),
            OwnedNotification::Active => {}
        }
    }

    // ----- receiving

    /// Whether the sender of a datagram is one to listen to: another than this member, with room for it, and not outranked.
    /// What it says by its head alone is booked.
    pub(crate) fn admits(&mut self, on: &mut Carrier, head: &Head) -> bool {
        let sender = &head.sender;
        if sender.name == on.book.me.name {
            self.namesake(on, head);
            return false;
        }
        if !on.book.known.contains_key(&sender.name) {
            if on.book.known.len() >= MOST_MEMBERS {
                on.counts.held_back += 1;
                return false;
            }
            // Who was never seen to live is not told of, but may be known for dead from others.
            let heard_of = self.swim.iter_membership_state().find(|m| m.id().name == sender.name);
            if let Some(member) = heard_of.map(|m| m.id().clone()) {
                on.book.note(on.now, member, false);
            }
        }
        if let Some(known) = on.book.known.get_mut(&sender.name) {
            if sender.start < known.member.start {
                on.counts.outranked += 1;
                let told = Kind::Outranked { start: known.member.start, alive: known.active };
                on.send(sender.addr, told, &[]);
                return false;
            }
            if known.active && known.member == *sender {
                known.heard = Some((on.now, head.digest));
            }
        }
        true
    }

    /// A datagram of a process under this member's own name.
    fn namesake(&mut self, on: &mut Carrier, head: &Head) {
        if head.sender.start > on.book.me.start && on.book.is_in() {
            self.supersede(on, head.sender.start);
        } else if head.sender.start < on.book.me.start && on.book.is_in() {
            on.counts.outranked += 1;
            on.send(head.sender.addr, Kind::Outranked { start: on.book.me.start, alive: true }, &[]);
        }
    }

    /// The others know a later start under this name.
    fn outranked(&mut self, on: &mut Carrier, start: u64, alive: bool) {
        if start < on.book.me.start || (start == on.book.me.start && on.book.is_in()) {
            return;
        }
        // A process that has just started is the later one, whatever its clock says; and nobody is outranked by the dead.
        let joining = !self.established && on.now < self.born + JOINING;
        if !alive || joining {
            let next = Member { start: start.saturating_add(1), turn: 0, ..on.book.me.clone() };
            if self.swim.change_identity(next.clone(), &mut self.runtime).is_ok() {
                on.book.stand = Stand::In;
                on.book.become_start(next.clone());
                self.doubts.forget();
                on.book.changed_at = on.now;
                self.call_at = on.now;
                on.tell(Change::Rejoined(next));
                self.carry_out(on);
            }
        } else {
            self.supersede(on, start);
        }
    }

    fn supersede(&mut self, on: &mut Carrier, by: u64) {
        if on.book.stand != Stand::Superseded(by) {
            on.book.stand = Stand::Superseded(by);
            self.timers.clear();
            self.doubts = Doubts::default();
            on.changed(Change::Superseded { by });
        }
    }

    /// This member takes its leave.
    pub(crate) fn leave(&mut self, on: &mut Carrier) {
        if on.book.is_in() {
            let next =
                Member { turn: on.book.me.turn.saturating_add(1), leaving: true, ..on.book.me.clone() };
            if self.swim.change_identity(next.clone(), &mut self.runtime).is_ok() {
                on.book.become_start(next);
            }
            let _ = self.swim.leave_cluster(&mut self.runtime);
            self.carry_out(on);
        }
        on.book.stand = Stand::Left;
        self.timers.clear();
        self.doubts = Doubts::default();
    }

    // ----- suspicion

    /// Looks up who is suspected, and tells of whom that is so newly, or no longer.
    fn look_up_suspects(&mut self, on: &mut Carrier) {
        self.suspects_at = on.now + on.settings.period / 2;
        let suspects = self.swim.iter_membership_state().filter(|m| m.state() == foca::State::Suspect);
        let suspects = suspects.map(|m| (m.id().name.clone(), m.incarnation())).collect();
        let before = std::mem::replace(&mut self.suspects, suspects);
        // Whoever was given up, or left, is told of by that.
        let living = |name: &String| on.book.known.get(name).filter(|k| k.active).map(|k| k.member.clone());
        let began = self.suspects.keys().filter(|name| !before.contains_key(*name));
        let began: Vec<Member> = began.filter_map(living).collect();
        let ended = before.keys().filter(|name| !self.suspects.contains_key(*name));
        let ended: Vec<Member> = ended.filter_map(living).collect();
        began.into_iter().for_each(|member| on.tell(Change::Suspected(member)));
        ended.into_iter().for_each(|member| on.tell(Change::Cleared(member)));
    }

    /// The machine of a member refused a call that was made then. Whether that ends a suspicion here.
    pub(crate) fn refused(&mut self, on: &mut Carrier, name: &str, called: Nanos) -> bool {
        let ends = self.doubts.refused(name, called);
        if ends {
            self.doubt(on);
        }
        ends
    }

    /// Ends suspicions whose time is over, which others' words and refused calls make shorter than the library's; has
    /// others asked of those that last.
    fn doubt(&mut self, on: &mut Carrier) {
        let ends: Vec<(Suspect, Nanos)> =
            self.doubts.ends(self.bounds).map(|(suspect, at)| (suspect.clone(), at)).collect();
        for (Suspect { member, incarnation }, at) in ends {
            let lasts = self.swim.iter_membership_state().any(|m| {
                *m.id() == member && m.state() == foca::State::Suspect && m.incarnation() == incarnation
            });
            if lasts && on.now < at {
                continue;
            }
            self.doubts.over(&member.name);
            // The library's own timer, before its time: it holds for this incarnation alone.
            let own = |t: &Timer<Member>| {
                matches!(t, Timer::ChangeSuspectToDown { member_id, incarnation: i, .. }
                    if *member_id == member && *i == incarnation)
            };
            let timer = self.timers.iter().find(|t| own(t.1)).map(|t| *t.0).filter(|_| lasts);
            if let Some(timer) = timer.and_then(|at| self.timers.remove(&at)) {
                let _ = self.swim.handle_timer(timer, &mut self.runtime);
                self.carry_out(on);
            }
        }
        self.doubts.say(on);
    }

    /// Members speak of one that is suspected.
    fn doubted(&mut self, on: &mut Carrier, sender: Member, payload: &[u8]) {
        let Ok(word) = postcard::from_bytes::<Word>(payload) else {
            return on.malformed();
        };
        match word {
            Word::Asks(s) if s.member.name == on.book.me.name => {
                if s.member != on.book.me {
                    return;
                }
                let before = |a: &Suspect| a.member == s.member && a.incarnation >= s.incarnation;
                if !self.answered.as_ref().is_some_and(before) {
                    self.answered = Some(s.clone());
                    let suspicion = foca::Member::new(s.member, s.incarnation, foca::State::Suspect);
                    let _ = self.swim.apply_many(std::iter::once(suspicion), false, &mut self.runtime);
                    self.carry_out(on);
                }
                // Its own incarnation is another by now: this one at least.
                let incarnation = s.incarnation.saturating_add(1);
                let here = Suspect { member: on.book.me.clone(), incarnation };
                crate::doubts::send(on, sender.addr, &Word::Here(here));
            }
            Word::Asks(s) => self.doubts.asked(on, sender, s),
            Word::Silent(s) => {
                if on.book.active().any(|k| k.member == sender) {
                    self.doubts.silent(&sender.name, &s);
                }
            }
            Word::Here(s) => {
                if on.book.known.get(&s.member.name).is_some_and(|k| k.active && k.member == s.member) {
                    let alive = foca::Member::new(s.member.clone(), s.incarnation, foca::State::Alive);
                    let _ = self.swim.apply_many(std::iter::once(alive), true, &mut self.runtime);
                    self.carry_out(on);
                    self.suspects_at = on.now;
                    self.doubts.here(on, &s);
                }
            }
        }
        self.doubt(on);
    }

    // ----- settled

    /// Tells when the view settles, and when it does so no longer.
    pub(crate) fn settle(&mut self, on: &mut Carrier) {
        // All members are looked through for it: not at each datagram.
        if on.now < self.settle_at && on.book.changed_at < on.now {
            return;
        }
        self.settle_at = on.now + on.settings.period / SETTLE_LOOKS;
        let now = on.book.settled(on.now);
        if now.is_ok() != self.settled {
            self.settled = now.is_ok();
            self.established |= self.settled;
            let change = match now {
                Ok(()) => Change::Settled { members: on.book.living(), digest: on.book.digest() },
                Err(why) => Change::Unsettled(why),
            };
            on.tell(change);
        }
    }
}

impl Topic for Lives {
    fn hear(&mut self, on: &mut Carrier, head: Head, payload: &[u8]) {
        let sender = &head.sender;
        match head.kind {
            Kind::Outranked { start, alive } => self.outranked(on, start, alive),
            Kind::Suspected { incarnation } if on.book.is_in() => {
                let suspicion = foca::Member::new(on.book.me.clone(), incarnation, foca::State::Suspect);
                let _ = self.swim.apply_many(std::iter::once(suspicion), false, &mut self.runtime);
                self.carry_out(on);
            }
            Kind::Swim if on.book.is_in() => {
                // Whoever is suspected and speaks is told, so that it can say that it lives (Lifeguard's buddy system).
                if let Some(&incarnation) = self.suspects.get(&sender.name)
                    && self.has(Feature::Buddy)
                {
                    on.send(sender.addr, Kind::Suspected { incarnation }, &[]);
                }
                if let Err(e) = self.swim.handle_data(payload, &mut self.runtime) {
                    tracing::trace!("a message of SWIM was not taken: {e}");
                    on.malformed();
                }
                self.carry_out(on);
            }
            Kind::Hello => {
                on.send(sender.addr, Kind::Welcome, &[]);
                if on.book.is_in() && on.book.known.get(&sender.name).is_some_and(|k| k.member != *sender) {
                    // Its former turn is what is known here.
                    let _ = self.swim.announce(head.sender, &mut self.runtime);
                    self.carry_out(on);
                }
            }
            Kind::Welcome if on.book.is_in() => {
                let _ = self.swim.announce(head.sender, &mut self.runtime);
                self.carry_out(on);
            }
            Kind::Welcome => {
                if let Stand::Superseded(by) = on.book.stand {
                    // The later start is not known there: whoever answers has not seen it live.
                    self.outranked(on, by, false);
                }
            }
            Kind::Gone if on.book.is_in() => self.named(on, payload),
            Kind::Doubt if on.book.is_in() => self.doubted(on, head.sender, payload),
            // Others' topics, and what is of no use to one that takes no part.
            _ => {}
        }
    }

    /// A timer of SWIM, or a call.
    fn due(&self) -> Nanos {
        let ends = self.doubts.ends(self.bounds).map(|e| e.1).min().unwrap_or(Nanos::MAX);
        let timers = self.timers.first_key_value().map_or(Nanos::MAX, |(k, _)| k.0);
        timers.min(self.call_at).min(ends).min(self.doubts.due())
    }

    fn say(&mut self, on: &mut Carrier) {
        while let Some(first) = self.timers.first_entry().filter(|e| e.key().0 <= on.now) {
            let timer = first.remove();
            if on.book.is_in() {
                // A timer of a time before the last change of identity says nothing any more.
                let _ = self.swim.handle_timer(timer, &mut self.runtime);
                self.carry_out(on);
            }
        }
        if on.book.is_in() {
            self.doubt(on);
        }
        if on.now >= self.suspects_at {
            self.look_up_suspects(on);
        }
        if on.now >= self.mend_at {
            self.mend(on);
        }
        if on.now >= self.call_at {
            self.call(on);
        }
    }
}

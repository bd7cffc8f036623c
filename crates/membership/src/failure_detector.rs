//! The sub-protocol of failure detection: SWIM by the library, with extensions that a fleet needs.
//!
//! A process that was stalled suspects nobody for that time; later starts of a name supersede earlier ones; differing views
//! are reconciled; missing members are contacted; suspicions are confirmed by other members ([`crate::suspicion`]).

use crate::frame::{Head, Kind, MAX_PAYLOAD_BYTES};
use crate::identity::{MAX_MEMBERS, Member};
use crate::io::{Change, Feature};
use crate::member_table::{MemberEntry, OwnStatus};
use crate::settings::{GOSSIP_FANOUT, GOSSIP_INTERVAL_RATIO, Settings};
use crate::sub_protocol::SubProtocol;
use crate::suspicion::{Suspect, SuspicionMessage, Suspicions};
use crate::transport::Transport;
use crate::{MS, Nanos, SECOND};
use foca::{AccumulatingRuntime, Config, Foca, OwnedNotification, PeriodicParams, PostcardCodec, Timer};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::time::Duration;

/// The time to wait for the answer of a direct probe, as a divisor of the probe period. The rest of the period is left for
/// indirect probes.
const PROBE_TIMEOUT_DIVISOR: u32 = 3;
/// Number of members that are asked for indirect probes (SWIM's k; memberlist's default).
const INDIRECT_PROBES: usize = 3;
/// Maximum duration of a suspicion, in probe periods for each power of ten of the fleet's size (alpha of memberlist and
/// Lifeguard).
const MAX_SUSPICION_PERIODS: f64 = 4.0;
/// Duration of a confirmed suspicion (see [`crate::suspicion`]), in the same unit.
const MIN_SUSPICION_PERIODS: f64 = 1.25;
/// Minimum duration of a suspicion: a process on a busy machine may not be scheduled for about this time.
const MIN_SUSPICION: Nanos = 1300 * MS;
/// Interval at which a random member is asked for its complete view.
const ANNOUNCE_INTERVAL: Nanos = 30 * SECOND;
/// Interval at which a member without any contact tries to reach others.
const CONTACT_INTERVAL_ALONE: Nanos = SECOND;
/// Interval at which a member with contacts tries to reach missing members.
const CONTACT_INTERVAL: Nanos = 5 * SECOND;
/// Number of missing members and seeds that are contacted at a time.
const CONTACTS_PER_ROUND: usize = 3;
/// A process that learns of a higher start number of its name within this time after its start, and before its view was
/// settled, is the later process whose clock is behind.
const JOIN_PERIOD: Nanos = 30 * SECOND;
/// Delay of a timer from which the process counts as stalled. Missing answers during a stall are ignored.
const STALL_THRESHOLD: Nanos = 100 * MS;
/// Maximum number of removed members that are named to a member with a different view: half of them the most recently
/// removed ones, the others at random.
const MAX_REMOVED_NAMES: usize = 24;
/// Number of times in a probe period that the view is checked for being settled.
const SETTLED_CHECKS_PER_PERIOD: u64 = 5;

type Swim = Foca<Member, PostcardCodec, StdRng, foca::NoCustomBroadcast>;

/// Failure detection of one member.
pub(crate) struct FailureDetector {
    swim: Swim,
    runtime: AccumulatingRuntime<Member>,
    started_at: Nanos,
    timers: BTreeMap<(Nanos, u64), Timer<Member>>,
    last_timer_id: u64,
    next_contact_at: Nanos,
    next_reconcile_at: Nanos,
    /// The suspected members and their incarnations.
    suspects: BTreeMap<String, u16>,
    next_suspect_check_at: Nanos,
    suspicions: Suspicions,
    /// The minimum and maximum duration of a suspicion.
    suspicion_bounds: (Nanos, Nanos),
    /// The last suspicion of this member that it has answered.
    last_answered: Option<Suspect>,
    settled: bool,
    /// The view was settled at least once since the start.
    was_settled: bool,
    next_settled_check_at: Nanos,
    /// The feature that a test or measurement has switched off.
    pub(crate) without: Option<Feature>,
}

fn duration(nanos: Nanos) -> Duration {
    Duration::from_nanos(nanos)
}

/// The minimum and maximum duration of a suspicion in a fleet of this size.
fn suspicion_bounds(settings: &Settings) -> (Nanos, Nanos) {
    let log = f64::from(settings.expected.max(2)).log10().max(1.0);
    let periods = |n: f64| duration(settings.period).mul_f64(n * log).as_nanos() as Nanos;
    let most = periods(MAX_SUSPICION_PERIODS);
    (periods(MIN_SUSPICION_PERIODS).max(MIN_SUSPICION).min(most), most)
}

/// The library's settings for a fleet of this size.
fn swim_config(settings: &Settings) -> Config {
    let period = duration(settings.period);
    let least = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    Config {
        probe_period: period,
        probe_rtt: period / PROBE_TIMEOUT_DIVISOR,
        num_indirect_probes: least(INDIRECT_PROBES),
        max_transmissions: settings.copies(),
        suspect_to_down_after: duration(suspicion_bounds(settings).1),
        remove_down_after: Some(duration(settings.remember)),
        max_packet_size: least(MAX_PAYLOAD_BYTES),
        notify_down_members: true,
        periodic_announce: Some(PeriodicParams {
            frequency: duration(ANNOUNCE_INTERVAL),
            num_members: least(1),
        }),
        // `contact_missing` does this, and also works if no other member is left.
        periodic_announce_to_down_members: None,
        periodic_gossip: Some(PeriodicParams {
            frequency: period * GOSSIP_INTERVAL_RATIO.0 / GOSSIP_INTERVAL_RATIO.1,
            num_members: least(GOSSIP_FANOUT),
        }),
    }
}

/// A selection of removed members to name to a member with a different view.
fn removed_members(transport: &mut Transport) -> Vec<Member> {
    let forget = transport.settings.remember;
    let gone = transport
        .members
        .entries
        .values()
        .filter(|k| !k.active && transport.now < k.since.saturating_add(forget));
    let mut gone: Vec<&MemberEntry> = gone.collect();
    gone.sort_by_key(|k| std::cmp::Reverse(k.since));
    let (late, early) = gone.split_at(gone.len().min(MAX_REMOVED_NAMES / 2));
    let sampled = early.sample(&mut transport.random, MAX_REMOVED_NAMES - late.len());
    late.iter().chain(sampled).map(|k| k.member.clone()).collect()
}

impl FailureDetector {
    /// The failure detector of a member that has just started.
    pub(crate) fn new(settings: &Settings, me: Member, seed: u64, now: Nanos) -> Self {
        let swim = Foca::new(me, swim_config(settings), StdRng::seed_from_u64(seed), PostcardCodec);
        FailureDetector {
            swim,
            runtime: AccumulatingRuntime::new(),
            started_at: now,
            timers: BTreeMap::new(),
            last_timer_id: 0,
            next_contact_at: now,
            next_reconcile_at: now,
            suspects: BTreeMap::new(),
            next_suspect_check_at: now,
            suspicions: Suspicions::default(),
            suspicion_bounds: suspicion_bounds(settings),
            last_answered: None,
            settled: false,
            was_settled: false,
            next_settled_check_at: now,
            without: None,
        }
    }

    fn has(&self, feature: Feature) -> bool {
        let both = [Feature::Confirm, Feature::Probe].contains(&feature);
        self.without != Some(feature) && !(both && self.without == Some(Feature::Suspicion))
    }

    /// Numbers of timers and pending updates.
    pub(crate) fn sizes(&self) -> [usize; 2] {
        [self.timers.len(), self.swim.updates_backlog()]
    }

    /// Whether a member is suspected.
    pub(crate) fn is_suspected(&self, name: &str) -> bool {
        self.suspects.contains_key(name)
    }

    // ----- time

    /// Detects by late timers that this process was stalled. It could not receive answers meanwhile, so all its timers are
    /// postponed by that time, and it suspects nobody because of its own absence (Lifeguard's local health, in one step).
    pub(crate) fn check_stall(&mut self, transport: &mut Transport) {
        let late =
            transport.now.saturating_sub(self.timers.first_key_value().map_or(Nanos::MAX, |(k, _)| k.0));
        if !self.has(Feature::StallGuard) || late < STALL_THRESHOLD {
            return;
        }
        transport.counts.stood_still += 1;
        // One more probe timeout, so that the datagrams that arrived meanwhile are read first.
        let by = late + transport.settings.period / Nanos::from(PROBE_TIMEOUT_DIVISOR);
        self.timers =
            std::mem::take(&mut self.timers).into_iter().map(|((at, n), t)| ((at + by, n), t)).collect();
        self.suspicions.postpone(by);
        transport
            .members
            .entries
            .values_mut()
            .for_each(|k| k.last_message = k.last_message.map(|h| (h.0 + late, h.1)));
        transport.emit(Change::Stalled { duration: late });
    }

    // ----- missing members

    /// Asks a member with a different view for the members it knows to be alive, and names removed members to it. This
    /// repairs views that an update did not reach. If one side takes an identity for alive and the other for gone, gone
    /// prevails as with any update, and a member that is alive rejoins with its next turn.
    fn reconcile(&mut self, transport: &mut Transport) {
        self.next_reconcile_at = transport.now + transport.settings.period;
        let differs = |k: &&MemberEntry| {
            transport
                .members
                .recent_digest(transport.now, k)
                .is_some_and(|digest| digest != transport.members.digest())
        };
        let others: Vec<Member> =
            transport.members.entries.values().filter(differs).map(|k| k.member.clone()).collect();
        let other = others.choose(&mut transport.random).filter(|_| transport.members.is_active());
        if let Some(other) = other.filter(|_| self.has(Feature::Reconcile)) {
            let _ = self.swim.announce(other.clone(), &mut self.runtime);
            self.carry_out(transport);
            let mut gone =
                if self.has(Feature::NameRemoved) { removed_members(transport) } else { Vec::new() };
            // Reduce the list until it fits into a datagram.
            while !gone.is_empty() {
                match postcard::to_allocvec(&gone) {
                    Ok(payload) if payload.len() <= MAX_PAYLOAD_BYTES => {
                        return transport.send(other.addr, Kind::Removed, &payload);
                    }
                    _ => gone.truncate(gone.len() / 2),
                }
            }
        }
    }

    /// Handles a list of members that another member knows to be gone.
    fn handle_removed(&mut self, transport: &mut Transport, payload: &[u8]) {
        let Ok(gone) = postcard::from_bytes::<Vec<Member>>(payload) else {
            return transport.malformed();
        };
        for member in gone.into_iter().take(MAX_REMOVED_NAMES) {
            if transport
                .members
                .entries
                .get(&member.name)
                .is_some_and(|k| k.active && k.member.rank() <= member.rank())
            {
                let down = foca::Member::new(member, u16::MAX, foca::State::Down);
                let _ = self.swim.apply_many(std::iter::once(down), true, &mut self.runtime);
            }
        }
        self.carry_out(transport);
    }

    /// Contacts some of the members that should be there but are not: seeds and remembered members that are down. A member
    /// without any contact also tries those that seem to be alive, because two members that rejoined at the same time only
    /// know each other's previous turn.
    fn contact_missing(&mut self, transport: &mut Transport) {
        let jitter = transport.random.random_range(0..=CONTACT_INTERVAL_ALONE / 2);
        let alone = !transport
            .members
            .entries
            .values()
            .any(|k| transport.members.recent_digest(transport.now, k).is_some());
        self.next_contact_at =
            transport.now + jitter + if alone { CONTACT_INTERVAL_ALONE } else { CONTACT_INTERVAL };
        let there = transport.members.entries.values().filter(|k| k.active && !alone);
        let there: BTreeSet<SocketAddr> =
            there.map(|k| k.member.addr).chain([transport.members.own.addr]).collect();
        let remembered = |k: &&MemberEntry| {
            let (gone, left) = (!k.active || alone, k.member.leaving);
            gone && !left && transport.now < k.since.saturating_add(transport.settings.remember)
        };
        let missing = transport.members.entries.values().filter(remembered).map(|k| k.member.addr);
        let missing: BTreeSet<SocketAddr> = missing.chain(transport.settings.seeds.iter().copied()).collect();
        let missing: Vec<SocketAddr> = missing.difference(&there).copied().collect();
        // A superseded process asks any member whether the later one is still alive.
        let pool = if matches!(transport.members.own_status, OwnStatus::Superseded(_)) && missing.is_empty() {
            there.into_iter().filter(|a| *a != transport.members.own.addr).collect()
        } else {
            missing
        };
        let contacted: Vec<SocketAddr> =
            pool.sample(&mut transport.random, CONTACTS_PER_ROUND).copied().collect();
        let contacted =
            contacted.into_iter().filter(|_| alone || self.has(Feature::CallMissing)).collect::<Vec<_>>();
        contacted.into_iter().for_each(|to| transport.send(to, Kind::Hello, &[]));
    }

    /// Carries out the requests of the library.
    fn carry_out(&mut self, transport: &mut Transport) {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.last_timer_id += 1;
            let after = u64::try_from(after.as_nanos()).unwrap_or(Nanos::MAX);
            // A member that is declared down repeatedly is forgotten by its last timer only.
            if let Timer::RemoveDown(gone) = &timer {
                self.timers.retain(|_, t| !matches!(t, Timer::RemoveDown(m) if m.name == gone.name));
            }
            if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
                let suspect = Suspect { member: member_id.clone(), incarnation: *incarnation };
                let options = (self.has(Feature::Confirm), self.has(Feature::Probe));
                self.suspicions.start(transport, suspect, options);
                // Emit the suspicion before it ends.
                self.next_suspect_check_at = transport.now;
            }
            self.timers.insert((transport.now.saturating_add(after), self.last_timer_id), timer);
        }
        while let Some(notification) = self.runtime.to_notify() {
            self.handle_notification(transport, notification);
        }
        while let Some((to, payload)) = self.runtime.to_send() {
            transport.send(to.addr, Kind::Swim, &payload);
        }
    }

    fn handle_notification(&mut self, transport: &mut Transport, notification: OwnedNotification<Member>) {
        match notification {
            OwnedNotification::MemberUp(m) => {
                transport.members.update(transport.now, m.clone(), true);
                transport.emit_view_change(Change::Up(m));
            }
            OwnedNotification::MemberDown(m) => {
                transport.members.update(transport.now, m.clone(), false);
                self.suspicions.member_changed(&m, false);
                if m.leaving {
                    transport.emit_view_change(Change::Left(m));
                } else {
                    transport.counts.given_up += 1;
                    transport.emit_view_change(Change::Down(m));
                }
            }
            OwnedNotification::Rename(old, new) => {
                let active = transport.members.entries.get(&old.name).is_some_and(|k| k.active);
                transport.members.update(transport.now, new.clone(), active);
                self.suspicions.member_changed(&new, active);
                transport.emit_view_change(Change::Renewed { old, new });
            }
            OwnedNotification::Rejoin(me) => {
                transport.counts.rejoined += 1;
                transport.members.set_own(me.clone());
                self.suspicions.clear();
                transport.emit_view_change(Change::Rejoined(me));
            }
            OwnedNotification::Idle | OwnedNotification::Defunct => self.suspicions.clear(),
            OwnedNotification::Active => {}
        }
    }

    // ----- receiving

    /// Checks whether datagrams of a sender are accepted: it is not this member itself, there is room for it in the table,
    /// and it is not outranked by a later start. Records what the head says about the sender.
    pub(crate) fn accepts_sender(&mut self, transport: &mut Transport, head: &Head) -> bool {
        let sender = &head.sender;
        if sender.name == transport.members.own.name {
            self.handle_same_name(transport, head);
            return false;
        }
        if !transport.members.entries.contains_key(&sender.name) {
            if transport.members.entries.len() >= MAX_MEMBERS {
                transport.counts.held_back += 1;
                return false;
            }
            // The library does not report members that were never seen alive, but may know from others that they are dead.
            let heard_of = self.swim.iter_membership_state().find(|m| m.id().name == sender.name);
            if let Some(member) = heard_of.map(|m| m.id().clone()) {
                transport.members.update(transport.now, member, false);
            }
        }
        if let Some(known) = transport.members.entries.get_mut(&sender.name) {
            if sender.start < known.member.start {
                transport.counts.outranked += 1;
                let told = Kind::Outranked { start: known.member.start, alive: known.active };
                transport.send(sender.addr, told, &[]);
                return false;
            }
            if known.active && known.member == *sender {
                known.last_message = Some((transport.now, head.digest));
            }
        }
        true
    }

    /// Handles a datagram of a process with this member's own name.
    fn handle_same_name(&mut self, transport: &mut Transport, head: &Head) {
        if head.sender.start > transport.members.own.start && transport.members.is_active() {
            self.supersede(transport, head.sender.start);
        } else if head.sender.start < transport.members.own.start && transport.members.is_active() {
            transport.counts.outranked += 1;
            transport.send(
                head.sender.addr,
                Kind::Outranked { start: transport.members.own.start, alive: true },
                &[],
            );
        }
    }

    /// Handles the notice that others know a later start of this name.
    fn handle_outranked(&mut self, transport: &mut Transport, start: u64, alive: bool) {
        if start < transport.members.own.start
            || (start == transport.members.own.start && transport.members.is_active())
        {
            return;
        }
        // A process that has just started is the later one whatever its clock says, and a dead process outranks nobody.
        let joining = !self.was_settled && transport.now < self.started_at + JOIN_PERIOD;
        if !alive || joining {
            let next = Member { start: start.saturating_add(1), turn: 0, ..transport.members.own.clone() };
            if self.swim.change_identity(next.clone(), &mut self.runtime).is_ok() {
                transport.members.own_status = OwnStatus::Active;
                transport.members.set_own(next.clone());
                self.suspicions.clear();
                transport.members.changed_at = transport.now;
                self.next_contact_at = transport.now;
                transport.emit(Change::Rejoined(next));
                self.carry_out(transport);
            }
        } else {
            self.supersede(transport, start);
        }
    }

    fn supersede(&mut self, transport: &mut Transport, by: u64) {
        if transport.members.own_status != OwnStatus::Superseded(by) {
            transport.members.own_status = OwnStatus::Superseded(by);
            self.timers.clear();
            self.suspicions = Suspicions::default();
            transport.emit_view_change(Change::Superseded { by });
        }
    }

    /// Leaves the fleet.
    pub(crate) fn leave(&mut self, transport: &mut Transport) {
        if transport.members.is_active() {
            let next = Member {
                turn: transport.members.own.turn.saturating_add(1),
                leaving: true,
                ..transport.members.own.clone()
            };
            if self.swim.change_identity(next.clone(), &mut self.runtime).is_ok() {
                transport.members.set_own(next);
            }
            let _ = self.swim.leave_cluster(&mut self.runtime);
            self.carry_out(transport);
        }
        transport.members.own_status = OwnStatus::Left;
        self.timers.clear();
        self.suspicions = Suspicions::default();
    }

    // ----- suspicion

    /// Updates the suspected members, and emits those that were added or removed.
    fn update_suspects(&mut self, transport: &mut Transport) {
        self.next_suspect_check_at = transport.now + transport.settings.period / 2;
        let suspects = self.swim.iter_membership_state().filter(|m| m.state() == foca::State::Suspect);
        let suspects = suspects.map(|m| (m.id().name.clone(), m.incarnation())).collect();
        let before = std::mem::replace(&mut self.suspects, suspects);
        // For members that are down or have left, other events are emitted.
        let alive_member = |name: &String| {
            transport.members.entries.get(name).filter(|k| k.active).map(|k| k.member.clone())
        };
        let began = self.suspects.keys().filter(|name| !before.contains_key(*name));
        let began: Vec<Member> = began.filter_map(alive_member).collect();
        let ended = before.keys().filter(|name| !self.suspects.contains_key(*name));
        let ended: Vec<Member> = ended.filter_map(alive_member).collect();
        began.into_iter().for_each(|member| transport.emit(Change::Suspected(member)));
        ended.into_iter().for_each(|member| transport.emit(Change::Cleared(member)));
    }

    /// Records that a probe sent at `probed_at` was refused. Returns whether that ends a suspicion.
    pub(crate) fn connection_refused(
        &mut self, transport: &mut Transport, name: &str, probed_at: Nanos,
    ) -> bool {
        let ends = self.suspicions.connection_refused(name, probed_at);
        if ends {
            self.end_suspicions(transport);
        }
        ends
    }

    /// Ends the suspicions whose time is over, which confirmations and refused probes make shorter than the library's, and
    /// queries other members about the remaining ones.
    fn end_suspicions(&mut self, transport: &mut Transport) {
        let ends: Vec<(Suspect, Nanos)> = self
            .suspicions
            .deadlines(self.suspicion_bounds)
            .map(|(suspect, at)| (suspect.clone(), at))
            .collect();
        for (Suspect { member, incarnation }, at) in ends {
            let lasts = self.swim.iter_membership_state().any(|m| {
                *m.id() == member && m.state() == foca::State::Suspect && m.incarnation() == incarnation
            });
            if lasts && transport.now < at {
                continue;
            }
            self.suspicions.remove(&member.name);
            // Fire the library's timer early. It applies to this incarnation only.
            let own = |t: &Timer<Member>| {
                matches!(t, Timer::ChangeSuspectToDown { member_id, incarnation: i, .. }
                    if *member_id == member && *i == incarnation)
            };
            let timer = self.timers.iter().find(|t| own(t.1)).map(|t| *t.0).filter(|_| lasts);
            if let Some(timer) = timer.and_then(|at| self.timers.remove(&at)) {
                let _ = self.swim.handle_timer(timer, &mut self.runtime);
                self.carry_out(transport);
            }
        }
        self.suspicions.on_timer(transport);
    }

    /// Handles a message about a suspected member.
    fn handle_suspicion_message(&mut self, transport: &mut Transport, sender: Member, payload: &[u8]) {
        let Ok(message) = postcard::from_bytes::<SuspicionMessage>(payload) else {
            return transport.malformed();
        };
        match message {
            SuspicionMessage::Query(s) if s.member.name == transport.members.own.name => {
                if s.member != transport.members.own {
                    return;
                }
                let already_answered = |a: &Suspect| a.member == s.member && a.incarnation >= s.incarnation;
                if !self.last_answered.as_ref().is_some_and(already_answered) {
                    self.last_answered = Some(s.clone());
                    let suspicion = foca::Member::new(s.member, s.incarnation, foca::State::Suspect);
                    let _ = self.swim.apply_many(std::iter::once(suspicion), false, &mut self.runtime);
                    self.carry_out(transport);
                }
                // The library has increased the incarnation by now, to this value at least.
                let incarnation = s.incarnation.saturating_add(1);
                let alive = Suspect { member: transport.members.own.clone(), incarnation };
                crate::suspicion::send(transport, sender.addr, &SuspicionMessage::Alive(alive));
            }
            SuspicionMessage::Query(s) => self.suspicions.handle_query(transport, sender, s),
            SuspicionMessage::NoAnswer(s) => {
                if transport.members.active_members().any(|k| k.member == sender) {
                    self.suspicions.handle_no_answer(&sender.name, &s);
                }
            }
            SuspicionMessage::Alive(s) => {
                if transport
                    .members
                    .entries
                    .get(&s.member.name)
                    .is_some_and(|k| k.active && k.member == s.member)
                {
                    let alive = foca::Member::new(s.member.clone(), s.incarnation, foca::State::Alive);
                    let _ = self.swim.apply_many(std::iter::once(alive), true, &mut self.runtime);
                    self.carry_out(transport);
                    self.next_suspect_check_at = transport.now;
                    self.suspicions.handle_alive(transport, &s);
                }
            }
        }
        self.end_suspicions(transport);
    }

    // ----- settled

    /// Emits when the view becomes settled or unsettled.
    pub(crate) fn update_settled(&mut self, transport: &mut Transport) {
        // The check goes through all members, so it is not made for each datagram.
        if transport.now < self.next_settled_check_at && transport.members.changed_at < transport.now {
            return;
        }
        self.next_settled_check_at = transport.now + transport.settings.period / SETTLED_CHECKS_PER_PERIOD;
        let now = transport.members.check_settled(transport.now);
        if now.is_ok() != self.settled {
            self.settled = now.is_ok();
            self.was_settled |= self.settled;
            let change = match now {
                Ok(()) => Change::Settled {
                    members: transport.members.alive_count(),
                    digest: transport.members.digest(),
                },
                Err(why) => Change::Unsettled(why),
            };
            transport.emit(change);
        }
    }
}

impl SubProtocol for FailureDetector {
    fn handle_message(&mut self, transport: &mut Transport, head: Head, payload: &[u8]) {
        let sender = &head.sender;
        match head.kind {
            Kind::Outranked { start, alive } => self.handle_outranked(transport, start, alive),
            Kind::Suspected { incarnation } if transport.members.is_active() => {
                let suspicion =
                    foca::Member::new(transport.members.own.clone(), incarnation, foca::State::Suspect);
                let _ = self.swim.apply_many(std::iter::once(suspicion), false, &mut self.runtime);
                self.carry_out(transport);
            }
            Kind::Swim if transport.members.is_active() => {
                // Notify a suspected sender, so that it can refute the suspicion (Lifeguard's buddy system).
                if let Some(&incarnation) = self.suspects.get(&sender.name)
                    && self.has(Feature::Buddy)
                {
                    transport.send(sender.addr, Kind::Suspected { incarnation }, &[]);
                }
                if let Err(e) = self.swim.handle_data(payload, &mut self.runtime) {
                    tracing::trace!("SWIM message rejected: {e}");
                    transport.malformed();
                }
                self.carry_out(transport);
            }
            Kind::Hello => {
                transport.send(sender.addr, Kind::Welcome, &[]);
                if transport.members.is_active()
                    && transport.members.entries.get(&sender.name).is_some_and(|k| k.member != *sender)
                {
                    // This member knows an earlier identity of the sender.
                    let _ = self.swim.announce(head.sender, &mut self.runtime);
                    self.carry_out(transport);
                }
            }
            Kind::Welcome if transport.members.is_active() => {
                let _ = self.swim.announce(head.sender, &mut self.runtime);
                self.carry_out(transport);
            }
            Kind::Welcome => {
                if let OwnStatus::Superseded(by) = transport.members.own_status {
                    // The answering member does not know the later start, so that one is not alive.
                    self.handle_outranked(transport, by, false);
                }
            }
            Kind::Removed if transport.members.is_active() => self.handle_removed(transport, payload),
            Kind::Suspicion if transport.members.is_active() => {
                self.handle_suspicion_message(transport, head.sender, payload)
            }
            // Kinds of other sub-protocols, and those that an inactive member ignores.
            _ => {}
        }
    }

    /// The next timer of SWIM, contact or end of a suspicion.
    fn wake_at(&self) -> Nanos {
        let ends = self.suspicions.deadlines(self.suspicion_bounds).map(|e| e.1).min().unwrap_or(Nanos::MAX);
        let timers = self.timers.first_key_value().map_or(Nanos::MAX, |(k, _)| k.0);
        timers.min(self.next_contact_at).min(ends).min(self.suspicions.wake_at())
    }

    fn on_timer(&mut self, transport: &mut Transport) {
        while let Some(first) = self.timers.first_entry().filter(|e| e.key().0 <= transport.now) {
            let timer = first.remove();
            if transport.members.is_active() {
                // A timer from before the last change of identity fails, which is ignored.
                let _ = self.swim.handle_timer(timer, &mut self.runtime);
                self.carry_out(transport);
            }
        }
        if transport.members.is_active() {
            self.end_suspicions(transport);
        }
        if transport.now >= self.next_suspect_check_at {
            self.update_suspects(transport);
        }
        if transport.now >= self.next_reconcile_at {
            self.reconcile(transport);
        }
        if transport.now >= self.next_contact_at {
            self.contact_missing(transport);
        }
    }
}

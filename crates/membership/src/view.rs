//! The view: who is there, as far as this member knows, and whether the others see the same.

use crate::frame::{Dropped, Head, Kind, ROOM, Seal};
use crate::identity::Member;
use crate::letter::{Letter, Letters, RESERVE};
use crate::news::{Aged, Board, News};
use crate::settings::Settings;
use crate::share::{Part, Share, Word};
use crate::status::{self, PartRow, Row, Summary};
use crate::{MS, Nanos, SECOND};
use foca::{AccumulatingRuntime, Config, Foca, OwnedNotification, PeriodicParams, PostcardCodec, Timer};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Members known at most, those that are gone included; what names more is dropped.
pub const MOST_MEMBERS: usize = 4096;
/// A probe's answer is waited for so long before others are asked to probe as well: a third of the period leaves them
/// the rest of it.
const RTT_PART: u32 = 3;
/// Members that are asked to probe where a probe goes unanswered (SWIM's k; memberlist's default).
const INDIRECT: usize = 3;
/// Suspicion lasts so many periods times the decimal logarithm of the fleet's size (memberlist's and Lifeguard's alpha).
const SUSPICION: f64 = 4.0;
/// An update is handed on so many times the logarithm of the fleet's size (memberlist's retransmit multiplier).
const RETRANSMIT: f64 = 4.0;
/// Updates are handed on beside probes to so many members at a time, after this part of a period (memberlist: 200 ms,
/// three members, beside a period of 1 s).
const GOSSIP: usize = 3;
const GOSSIP_PART: (u32, u32) = (2, 5);
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
/// A view that was unchanged for so many periods, and found equal by all that it heard of, is settled.
const SETTLE: u64 = 4;
/// Rounds of asking for votes in a lease: two may be lost.
const ROUNDS: u64 = 3;
/// Proofs that are asked for beyond those that are lacking: not every machine answers.
const PROOFS: usize = 3;
/// Members that went and are named to one whose view differs, at most: the latest, and as many by lot.
const GONE: usize = 24;
/// Looks in a period at whether the view is settled.
const SETTLE_LOOKS: u64 = 5;
/// Bytes that may be sent beyond the rate at one time.
pub(crate) const BURST: u64 = 64 << 10;

/// Something that happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Input<'a> {
    /// A datagram came.
    Datagram {
        /// Where from: answers to tools go there.
        from: SocketAddr,
        /// The bytes.
        bytes: &'a [u8],
    },
    /// [`View::wake_at`] is due.
    Wake,
    /// This member takes its leave: the others are told, and nothing is sent after that.
    Leave,
    /// This member found something out that the others should hear.
    Tell(&'a News),
    /// The machine of this member refused the call that [`Output::Prove`] asked for.
    Refused {
        /// The member.
        name: &'a str,
        /// When the call was made.
        called: Nanos,
    },
    /// A letter to the member that it names, on whatever stands on the view. It goes at once or never: as any datagram it
    /// may be lost, and [`View::letters`] counts what was not sent, and why.
    Send(&'a Letter),
}

/// Something to be done, or told.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// A datagram is to be sent.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// This address is to be called; where its machine says that nobody listens there, [`Input::Refused`] follows.
    Prove {
        /// The member that is thought to be dead.
        name: String,
        /// Its address.
        to: SocketAddr,
    },
    /// The view changed.
    Told(Change),
    /// A letter came from the member that it names, which this view holds for living by that start.
    Letter(Letter),
}

/// A change of the view.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A member is there.
    Up(Member),
    /// A member went without a word.
    Down(Member),
    /// A member took its leave.
    Left(Member),
    /// A member is another start of its name, or took its place again.
    Renewed {
        /// Who bore the name.
        old: Member,
        /// Who bears it.
        new: Member,
    },
    /// The others had given this member up; it took its place again, as this.
    Rejoined(Member),
    /// A later start under this member's name lives: this one is silent until that is gone.
    Superseded {
        /// The later start.
        by: u64,
    },
    /// Another member tells of a server; it is this old.
    Heard {
        /// What.
        news: News,
        /// Its age.
        age: Nanos,
    },
    /// The part of the common budget that this member may use is another one.
    Part(Part),
    /// All that was heard agrees, and nothing changed for a while.
    Settled {
        /// Members that live.
        members: usize,
        /// What they agree on.
        digest: u64,
    },
    /// No longer so.
    Unsettled(Unsettled),
    /// This process stood still for so long; silence during that time counts for nothing.
    StoodStill {
        /// How long.
        span: Nanos,
    },
}

/// Why a view is not settled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unsettled {
    /// It changed less than the stated number of periods ago.
    Changed,
    /// This member sees something else.
    Differs(String),
    /// Others should be there, and none answers.
    Nobody,
    /// This member is superseded, or has left.
    Out,
}

/// A member's state in the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer; it has a while to say that it lives.
    Suspect,
    /// It went without a word.
    Down,
    /// It took its leave.
    Left,
}

/// Counts since the start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Counts {
    /// Datagrams sent, and their bytes.
    pub sent: u64,
    /// See `sent`.
    pub sent_bytes: u64,
    /// Datagrams taken.
    pub taken: u64,
    /// Not sent, for the rate was used up.
    pub held_back: u64,
    /// Dropped: size, foreign, version, fleet, forged, malformed.
    pub dropped: [u64; 6],
    /// Dropped: a start that is outranked.
    pub outranked: u64,
    /// Members given up.
    pub given_up: u64,
    /// How often the others gave this member up though it lived.
    pub rejoined: u64,
    /// How often this process stood still.
    pub stood_still: u64,
}

/// What the view does beyond the library's SWIM.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Feature {
    /// A process that stood still accuses nobody.
    Guard,
    /// Suspects that speak are told.
    Buddy,
    /// One whose view differs is asked who lives.
    Mend,
    /// It is told who went.
    Gone,
    /// Those that are missing are called though others are there.
    Call,
}

/// What is known of a name.
#[derive(Debug)]
struct Known {
    member: Member,
    active: bool,
    /// Its part of the digest.
    mark: u64,
    since: Nanos,
    /// Its last word, and the digest that came with it.
    heard: Option<(Nanos, u64)>,
}

/// How this member stands to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stand {
    In,
    Superseded(u64),
    Left,
}

type Swim = Foca<Member, PostcardCodec, StdRng, foca::NoCustomBroadcast>;

/// A member's view of its fleet.
pub struct View {
    settings: Settings,
    seal: Seal,
    swim: Swim,
    runtime: AccumulatingRuntime<Member>,
    me: Member,
    random: StdRng,
    now: Nanos,
    born: Nanos,
    timers: BTreeMap<(Nanos, u64), Timer<Member>>,
    timer: u64,
    call_at: Nanos,
    /// One whose view differs is asked then.
    mend_at: Nanos,
    /// Who is suspected, at which incarnation, and when that is looked up again.
    suspects: BTreeMap<String, u16>,
    suspects_at: Nanos,
    known: BTreeMap<String, Known>,
    digest: u64,
    active: usize,
    changed_at: Nanos,
    settled: bool,
    /// It was settled once since its start.
    established: bool,
    settle_at: Nanos,
    stand: Stand,
    /// Where shares are on: this member's side of them, and what was last told.
    share: Option<Share>,
    part: Option<Part>,
    round_at: Nanos,
    board: Board,
    /// News is handed on again then.
    news_at: Nanos,
    /// Bytes that may be sent now, and when that was reckoned.
    room: (u64, Nanos),
    counts: Counts,
    letters: Letters,
    /// What tests and measurements take out.
    without: Option<Feature>,
    out: Vec<Output>,
}

impl std::fmt::Debug for View {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("View").field("me", &self.me).field("active", &self.active).finish_non_exhaustive()
    }
}

fn mark(member: &Member) -> u64 {
    let mut hash = Sha256::new();
    hash.update(member.name.as_bytes());
    hash.update(member.start.to_be_bytes());
    hash.update(member.turn.to_be_bytes());
    hash.finalize().first_chunk().map_or(0, |b| u64::from_be_bytes(*b))
}

fn span(nanos: Nanos) -> Duration {
    Duration::from_nanos(nanos)
}

/// How often news of any kind is handed on in a fleet of this size.
fn copies(settings: &Settings) -> NonZeroU8 {
    let size = f64::from(settings.expected.max(2));
    let copies = (RETRANSMIT * (size + 1.0).log10().ceil()).clamp(1.0, 255.0) as u8;
    NonZeroU8::new(copies).unwrap_or(NonZeroU8::MIN)
}

/// The library's settings for a fleet of this size.
fn swim_config(settings: &Settings) -> Config {
    let size = f64::from(settings.expected.max(2));
    let period = span(settings.period);
    let log = size.log10().max(1.0);
    let least = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    Config {
        probe_period: period,
        probe_rtt: period / RTT_PART,
        num_indirect_probes: least(INDIRECT),
        max_transmissions: copies(settings),
        suspect_to_down_after: period.mul_f64(SUSPICION * log),
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

impl View {
    /// The view of a member that has just started; it knows its seeds alone. `start` grows with each start where the
    /// clock allows it; `seed` is for chance.
    pub fn new(settings: Settings, seal: Seal, start: u64, seed: u64, now: Nanos) -> Self {
        let me = Member::new(&settings.name, settings.advertise, start);
        let config = swim_config(&settings);
        let (swim_random, random) = (StdRng::seed_from_u64(seed), StdRng::seed_from_u64(!seed));
        let swim = Foca::new(me.clone(), config, swim_random, PostcardCodec);
        let digest = mark(&me);
        let share = settings.shares.map(|terms| Share::new(terms, &me.name, start, now));
        View {
            share,
            part: None,
            round_at: now,
            board: Board::default(),
            news_at: Nanos::MAX,
            room: (BURST, now),
            settings,
            seal,
            swim,
            runtime: AccumulatingRuntime::new(),
            me,
            random,
            now,
            born: now,
            timers: BTreeMap::new(),
            timer: 0,
            call_at: now,
            mend_at: now,
            suspects: BTreeMap::new(),
            suspects_at: now,
            known: BTreeMap::new(),
            digest,
            active: 0,
            changed_at: now,
            settled: false,
            established: false,
            settle_at: now,
            stand: Stand::In,
            counts: Counts::default(),
            letters: Letters::default(),
            without: None,
            out: Vec::new(),
        }
    }

    /// This member as it now stands.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// What became of the letters of other packages.
    pub fn letters(&self) -> Letters {
        self.letters
    }

    /// Digest of those that live, this member included.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// How many live as far as this member knows, itself included.
    pub fn living(&self) -> usize {
        self.active + usize::from(self.stand == Stand::In)
    }

    /// All others known, by name.
    pub fn members(&self) -> impl Iterator<Item = (&Member, bool)> {
        self.known.values().map(|k| (&k.member, k.active))
    }

    /// Sizes of the books: names known, timers, updates that wait.
    pub fn books(&self) -> [usize; 3] {
        [self.known.len(), self.timers.len(), self.swim.updates_backlog()]
    }

    /// Takes a feature out, for tests and measurements that show what it is good for.
    #[doc(hidden)]
    pub fn without(mut self, feature: Option<Feature>) -> Self {
        self.without = feature;
        self
    }

    fn has(&self, feature: Feature) -> bool {
        self.without != Some(feature)
    }

    /// When [`Input::Wake`] is due.
    pub fn wake_at(&self) -> Nanos {
        match self.stand {
            Stand::Left => Nanos::MAX,
            _ => {
                let round = if self.share.is_some() { self.round_at } else { Nanos::MAX };
                let lapse = self.part.map_or(Nanos::MAX, |p| p.until);
                let timer = self.timers.first_key_value().map_or(Nanos::MAX, |(k, _)| k.0);
                timer.min(self.call_at).min(round).min(lapse).min(self.news_at)
            }
        }
    }

    /// Takes one input at time `now`; what is to be done is appended to `out`, in order.
    ///
    /// After a time without a turn, datagrams that came meanwhile are to be handed over before [`Input::Wake`].
    pub fn handle(&mut self, now: Nanos, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if self.stand != Stand::Left {
            self.stood_still();
            match input {
                Input::Datagram { from, bytes } => self.datagram(from, bytes),
                Input::Wake => self.wake(),
                Input::Leave => self.leave(),
                Input::Tell(news) => {
                    if self.board.take(self.now, news.clone(), 0) {
                        self.hand_on();
                    }
                }
                Input::Refused { name, called } => {
                    let words = self.share.as_mut().map(|s| s.refused(now, name, called));
                    self.say(words.unwrap_or_default());
                }
                Input::Send(letter) => self.post(letter),
            }
            self.settle();
            self.tell_part();
        }
        out.append(&mut self.out);
    }

    // ----- time

    /// Timers that come late show that this process stood still. It could hear nobody meanwhile: all that it waits for is
    /// put off by that time, so that it accuses nobody for its own absence (Lifeguard's local health, in one step).
    fn stood_still(&mut self) {
        let late = self.now.saturating_sub(self.timers.first_key_value().map_or(Nanos::MAX, |(k, _)| k.0));
        if !self.has(Feature::Guard) || late < LATE {
            return;
        }
        self.counts.stood_still += 1;
        // What lies unread is read first: an answer's time more.
        let by = late + self.settings.period / Nanos::from(RTT_PART);
        self.timers =
            std::mem::take(&mut self.timers).into_iter().map(|((at, n), t)| ((at + by, n), t)).collect();
        self.known.values_mut().for_each(|k| k.heard = k.heard.map(|h| (h.0 + late, h.1)));
        self.out.push(Output::Told(Change::StoodStill { span: late }));
    }

    fn wake(&mut self) {
        while let Some(first) = self.timers.first_entry().filter(|e| e.key().0 <= self.now) {
            let timer = first.remove();
            if self.stand == Stand::In {
                // A timer of a time before the last change of identity says nothing any more.
                let _ = self.swim.handle_timer(timer, &mut self.runtime);
                self.carry_out();
            }
        }
        if self.now >= self.suspects_at {
            self.suspects_at = self.now + self.settings.period / 2;
            let suspects = self.swim.iter_membership_state().filter(|m| m.state() == foca::State::Suspect);
            self.suspects = suspects.map(|m| (m.id().name.clone(), m.incarnation())).collect();
        }
        if self.now >= self.mend_at {
            self.mend();
        }
        if self.now >= self.call_at {
            self.call();
        }
        if self.now >= self.round_at {
            self.round();
        }
        if self.now >= self.news_at {
            self.hand_on();
        }
    }

    // ----- news of servers

    /// Hands news on to a few that live, at once when it is new and then with each round of updates until it was told often
    /// enough for all to have heard.
    fn hand_on(&mut self) {
        let most = u32::from(copies(&self.settings).get());
        let living: Vec<SocketAddr> =
            self.known.values().filter(|k| k.active).map(|k| k.member.addr).collect();
        let to: Vec<SocketAddr> = living.sample(&mut self.random, GOSSIP).copied().collect();
        let news =
            if to.is_empty() { Vec::new() } else { self.board.hand_on(self.now, most, to.len() as u32) };
        self.news_at = Nanos::MAX;
        if let Ok(payload) = postcard::to_allocvec(&news)
            && !news.is_empty()
        {
            self.news_at =
                self.now + self.settings.period * u64::from(GOSSIP_PART.0) / u64::from(GOSSIP_PART.1);
            to.into_iter().for_each(|to| self.send(to, Kind::News, &payload));
        }
    }

    fn hear(&mut self, payload: &[u8]) {
        let Ok(all) = postcard::from_bytes::<Vec<Aged>>(payload) else {
            self.counts.dropped[5] += 1;
            return;
        };
        let mut new = false;
        for (news, age) in all {
            let age = u64::from(age) * MS;
            if self.board.take(self.now, news.clone(), age) {
                new = true;
                self.out.push(Output::Told(Change::Heard { news, age }));
            }
        }
        if new {
            self.hand_on();
        }
    }

    // ----- shares

    /// The part of the common budget that this member may use now; `None` where shares are off.
    pub fn part(&self) -> Option<Part> {
        self.share.as_ref().map(|s| s.part(self.now))
    }

    /// A round of asking for votes, where this member is the one to lead: the first by name of those that live. Members
    /// of an epoch change only with a view that is settled.
    fn round(&mut self) {
        let settled = self.settled().is_ok();
        let living: BTreeSet<String> = self
            .known
            .values()
            .filter(|k| k.active)
            .map(|k| &k.member.name)
            .chain([&self.me.name])
            .cloned()
            .collect();
        let first = self.stand == Stand::In && living.first() == Some(&self.me.name);
        let Some(share) = &mut self.share else { return };
        self.round_at = self.now + share.terms().lease / ROUNDS;
        if !first {
            return share.follow();
        }
        let members = if settled { Some(living) } else { share.members().cloned() };
        let Some(members) = members else { return };
        // Without more than half of all, more than half of those that are not provably dead will do: each proof is worth
        // half a vote.
        let lacking = (share.terms().fronts as usize + 1).saturating_sub(2 * members.len());
        let words = share.lead(self.now, &members);
        let share = &*share;
        let dead = self.known.values().filter(|k| !k.active && !k.member.leaving);
        let dead = dead.map(|k| (k.member.name.clone(), k.member.addr));
        let proven: BTreeSet<&String> = share.dead().collect();
        let (again, anew): (Vec<_>, Vec<_>) = dead.partition(|d| proven.contains(&d.0));
        let proofs = if lacking > 0 { lacking + PROOFS } else { 0 };
        let anew = anew.sample(&mut self.random, proofs.saturating_sub(again.len()));
        let called = again.iter().chain(anew).take(proofs);
        self.out.extend(called.map(|(name, to)| Output::Prove { name: name.clone(), to: *to }));
        self.say(words);
    }

    /// Sends what one side of the shares says to others, and hands over what it says to itself.
    fn say(&mut self, words: Vec<(String, Word)>) {
        for (to, word) in words {
            if to == self.me.name {
                let (now, name) = (self.now, self.me.name.clone());
                let more = self.share.as_mut().map(|s| s.handle(now, &name, word));
                self.say(more.unwrap_or_default());
            } else if let Some(to) = self.known.get(&to).filter(|k| k.active).map(|k| k.member.addr)
                && let Ok(payload) = postcard::to_allocvec(&word)
            {
                self.send(to, Kind::Share, &payload);
            }
        }
    }

    fn tell_part(&mut self) {
        let part = self.part();
        let same = |a: Part, b: Part| a.members == b.members;
        if self.part.zip(part).is_none_or(|(a, b)| !same(a, b) || b.until > a.until) && part.is_some() {
            self.out.extend(part.map(|p| Output::Told(Change::Part(p))));
        }
        self.part = part;
    }

    /// Asks one whose view differs for those that it knows to live, and names those that went: what was not handed on
    /// often enough to reach all is mended by that. Of a start and turn that one has for living and the other for gone,
    /// gone holds, as with any update; whoever lives takes another turn.
    fn mend(&mut self) {
        self.mend_at = self.now + self.settings.period;
        let differs = |k: &&Known| self.lately(k).is_some_and(|digest| digest != self.digest);
        let others: Vec<Member> = self.known.values().filter(differs).map(|k| k.member.clone()).collect();
        let other = others.choose(&mut self.random).filter(|_| self.stand == Stand::In);
        if let Some(other) = other.filter(|_| self.has(Feature::Mend)) {
            let _ = self.swim.announce(other.clone(), &mut self.runtime);
            self.carry_out();
            let mut gone = if self.has(Feature::Gone) { self.gone() } else { Vec::new() };
            // Names may be long.
            while !gone.is_empty() {
                match postcard::to_allocvec(&gone) {
                    Ok(payload) if payload.len() <= ROOM => {
                        return self.send(other.addr, Kind::Gone, &payload);
                    }
                    _ => gone.truncate(gone.len() / 2),
                }
            }
        }
    }

    /// Some of those that went, no more than a datagram holds.
    fn gone(&mut self) -> Vec<Member> {
        let forget = self.settings.remember;
        let gone = self.known.values().filter(|k| !k.active && self.now < k.since.saturating_add(forget));
        let mut gone: Vec<&Known> = gone.collect();
        gone.sort_by_key(|k| std::cmp::Reverse(k.since));
        let (late, early) = gone.split_at(gone.len().min(GONE / 2));
        let lot = early.sample(&mut self.random, GONE - late.len());
        late.iter().chain(lot).map(|k| k.member.clone()).collect()
    }

    /// Another names members that went.
    fn named(&mut self, payload: &[u8]) {
        let Ok(gone) = postcard::from_bytes::<Vec<Member>>(payload) else {
            self.counts.dropped[5] += 1;
            return;
        };
        for member in gone.into_iter().take(GONE) {
            if self.known.get(&member.name).is_some_and(|k| k.active && k.member.rank() <= member.rank()) {
                let down = foca::Member::new(member, u16::MAX, foca::State::Down);
                let _ = self.swim.apply_many(std::iter::once(down), true, &mut self.runtime);
            }
        }
        self.carry_out();
    }

    /// Calls some of those that should be there and are not: seeds, members that were given up and not forgotten, and where
    /// nobody is heard those that seem to be there: two that took another turn at once each know the other's former one.
    fn call(&mut self) {
        let lot = self.random.random_range(0..=CALL_ALONE / 2);
        let alone = !self.known.values().any(|k| self.lately(k).is_some());
        self.call_at = self.now + lot + if alone { CALL_ALONE } else { CALL };
        let there = self.known.values().filter(|k| k.active && !alone);
        let there: BTreeSet<SocketAddr> = there.map(|k| k.member.addr).chain([self.me.addr]).collect();
        let remembered = |k: &&Known| {
            let (gone, left) = (!k.active || alone, k.member.leaving);
            gone && !left && self.now < k.since.saturating_add(self.settings.remember)
        };
        let missing = self.known.values().filter(remembered).map(|k| k.member.addr);
        let missing: BTreeSet<SocketAddr> = missing.chain(self.settings.seeds.iter().copied()).collect();
        let missing: Vec<SocketAddr> = missing.difference(&there).copied().collect();
        // A superseded start asks whoever is there whether the later one still lives.
        let pool = if matches!(self.stand, Stand::Superseded(_)) && missing.is_empty() {
            there.into_iter().filter(|a| *a != self.me.addr).collect()
        } else {
            missing
        };
        let called: Vec<SocketAddr> = pool.sample(&mut self.random, CALLED).copied().collect();
        let called = called.into_iter().filter(|_| alone || self.has(Feature::Call)).collect::<Vec<_>>();
        called.into_iter().for_each(|to| self.send(to, Kind::Hello, &[]));
    }

    // ----- letters of other packages

    fn post(&mut self, letter: &Letter) {
        let to = self.known.get(&letter.name).filter(|k| k.active).map(|k| k.member.addr);
        if letter.payload.len() > ROOM {
            self.letters.too_long += 1;
        } else if self.stand != Stand::In {
            self.letters.nobody += 1;
        } else if letter.name == self.me.name {
            self.letters.sent += 1;
            self.deliver(letter.topic, self.me.start, letter.name.clone(), &letter.payload);
        } else if let Some(to) = to {
            let sent = self.put(to, Kind::Topic(letter.topic), &letter.payload, RESERVE);
            *if sent { &mut self.letters.sent } else { &mut self.letters.held_back } += 1;
        } else {
            self.letters.nobody += 1;
        }
    }

    fn deliver(&mut self, topic: u8, start: u64, name: String, payload: &[u8]) {
        self.letters.taken += 1;
        self.out.push(Output::Letter(Letter { topic, name, start, payload: payload.to_vec() }));
    }

    /// A letter is handed up where an answer to it could be sent: its sender lives by this view, by the same start.
    fn letter(&mut self, topic: u8, sender: Member, payload: &[u8]) {
        let known = self.known.get(&sender.name).filter(|k| k.active && k.member.start == sender.start);
        match known.is_some() && payload.len() <= ROOM {
            true => self.deliver(topic, sender.start, sender.name, payload),
            false => self.letters.strangers += 1,
        }
    }

    // ----- sending

    fn send(&mut self, to: SocketAddr, kind: Kind, payload: &[u8]) {
        if !self.put(to, kind, payload, 0) {
            self.counts.held_back += 1;
        }
    }

    /// Sends where that leaves `reserve` bytes of the budget; whether it did.
    fn put(&mut self, to: SocketAddr, kind: Kind, payload: &[u8], reserve: u64) -> bool {
        let head = Head { kind, sender: self.me.clone(), digest: self.digest, members: self.living() as u32 };
        let Some(bytes) = self.seal.close(&head, payload) else { return true };
        let gained =
            u128::from(self.now.saturating_sub(self.room.1)) * u128::from(self.settings.rate) / 1_000_000_000;
        let room = u64::try_from(gained).unwrap_or(BURST).saturating_add(self.room.0).min(BURST);
        let size = bytes.len() as u64;
        if gained > 0 {
            self.room = (room, self.now);
        }
        if self.room.0 < size + reserve {
            return false;
        }
        self.room.0 -= size;
        self.counts.sent += 1;
        self.counts.sent_bytes += size;
        self.out.push(Output::Send { to, bytes });
        true
    }

    /// Carries out what the library asked for.
    fn carry_out(&mut self) {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.timer += 1;
            let after = u64::try_from(after.as_nanos()).unwrap_or(Nanos::MAX);
            // Who is given up again and again is forgotten once, the last time.
            if let Timer::RemoveDown(gone) = &timer {
                self.timers.retain(|_, t| !matches!(t, Timer::RemoveDown(m) if m.name == gone.name));
            }
            self.timers.insert((self.now.saturating_add(after), self.timer), timer);
        }
        while let Some(notification) = self.runtime.to_notify() {
            self.notified(notification);
        }
        while let Some((to, payload)) = self.runtime.to_send() {
            self.send(to.addr, Kind::Swim, &payload);
        }
    }

    fn notified(&mut self, notification: OwnedNotification<Member>) {
        match notification {
            OwnedNotification::MemberUp(m) => {
                self.note(m.clone(), true);
                self.tell(Change::Up(m));
            }
            OwnedNotification::MemberDown(m) => {
                self.note(m.clone(), false);
                if m.leaving {
                    self.tell(Change::Left(m));
                } else {
                    self.counts.given_up += 1;
                    self.tell(Change::Down(m));
                }
            }
            OwnedNotification::Rename(old, new) => {
                let active = self.known.get(&old.name).is_some_and(|k| k.active);
                self.note(new.clone(), active);
                self.tell(Change::Renewed { old, new });
            }
            OwnedNotification::Rejoin(me) => {
                self.counts.rejoined += 1;
                self.become_start(me.clone());
                self.tell(Change::Rejoined(me));
            }
            OwnedNotification::Active | OwnedNotification::Idle | OwnedNotification::Defunct => {}
        }
    }

    fn tell(&mut self, change: Change) {
        self.changed_at = self.now;
        self.out.push(Output::Told(change));
    }

    fn become_start(&mut self, me: Member) {
        self.digest = self.digest.wrapping_sub(mark(&self.me)).wrapping_add(mark(&me));
        self.me = me;
    }

    /// Books a member as it now stands.
    fn note(&mut self, member: Member, active: bool) {
        let (now, mark) = (self.now, mark(&member));
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

    // ----- receiving

    fn datagram(&mut self, from: SocketAddr, bytes: &[u8]) {
        let (head, payload) = match self.seal.open(bytes) {
            Ok(opened) => opened,
            Err(why) => {
                let place = match why {
                    Dropped::Size => 0,
                    Dropped::Foreign => 1,
                    Dropped::Version => 2,
                    Dropped::Fleet => 3,
                    Dropped::Forged => 4,
                    Dropped::Malformed => 5,
                };
                self.counts.dropped[place] += 1;
                return;
            }
        };
        self.counts.taken += 1;
        let sender = &head.sender;
        if let Kind::Ask { page } = head.kind {
            return self.asked(from, page);
        }
        if sender.name == self.me.name {
            return self.namesake(head);
        }
        if !self.known.contains_key(&sender.name) {
            if self.known.len() >= MOST_MEMBERS {
                self.counts.held_back += 1;
                return;
            }
            // Who was never seen to live is not told of, but may be known for dead from others.
            let heard_of = self.swim.iter_membership_state().find(|m| m.id().name == sender.name);
            if let Some(member) = heard_of.map(|m| m.id().clone()) {
                self.note(member, false);
            }
        }
        if let Some(known) = self.known.get_mut(&sender.name) {
            if sender.start < known.member.start {
                self.counts.outranked += 1;
                let told = Kind::Outranked { start: known.member.start, alive: known.active };
                let to = sender.addr;
                return self.send(to, told, &[]);
            }
            if known.active && known.member == *sender {
                known.heard = Some((self.now, head.digest));
            }
        }
        match head.kind {
            Kind::Outranked { start, alive } => self.outranked(start, alive),
            Kind::Suspected { incarnation } if self.stand == Stand::In => {
                let suspicion = foca::Member::new(self.me.clone(), incarnation, foca::State::Suspect);
                let _ = self.swim.apply_many(std::iter::once(suspicion), false, &mut self.runtime);
                self.carry_out();
            }
            Kind::Swim if self.stand == Stand::In => {
                // Whoever is suspected and speaks is told, so that it can say that it lives (Lifeguard's buddy system).
                if let Some(&incarnation) = self.suspects.get(&sender.name)
                    && self.has(Feature::Buddy)
                {
                    self.send(sender.addr, Kind::Suspected { incarnation }, &[]);
                }
                if let Err(e) = self.swim.handle_data(payload, &mut self.runtime) {
                    tracing::trace!("a message of SWIM was not taken: {e}");
                    self.counts.dropped[5] += 1;
                }
                self.carry_out();
            }
            Kind::News if self.stand == Stand::In => self.hear(payload),
            Kind::Gone if self.stand == Stand::In => self.named(payload),
            Kind::Share if self.stand == Stand::In => match postcard::from_bytes(payload) {
                Ok(word) => {
                    let (now, from) = (self.now, head.sender.name.clone());
                    let words = self.share.as_mut().map(|s| s.handle(now, &from, word));
                    self.say(words.unwrap_or_default());
                }
                Err(_) => self.counts.dropped[5] += 1,
            },
            Kind::Topic(topic) if self.stand == Stand::In => self.letter(topic, head.sender, payload),
            Kind::Hello => {
                self.send(sender.addr, Kind::Welcome, &[]);
                if self.stand == Stand::In
                    && self.known.get(&sender.name).is_some_and(|k| k.member != *sender)
                {
                    // Its former turn is what is known here.
                    let _ = self.swim.announce(head.sender, &mut self.runtime);
                    self.carry_out();
                }
            }
            Kind::Welcome if self.stand == Stand::In => {
                let _ = self.swim.announce(head.sender, &mut self.runtime);
                self.carry_out();
            }
            Kind::Welcome => {
                if let Stand::Superseded(by) = self.stand {
                    // The later start is not known there: whoever answers has not seen it live.
                    self.outranked(by, false);
                }
            }
            Kind::Swim
            | Kind::Suspected { .. }
            | Kind::News
            | Kind::Gone
            | Kind::Share
            | Kind::Topic(_)
            | Kind::Ask { .. }
            | Kind::Page => {}
        }
    }

    /// A datagram of a process under this member's own name.
    fn namesake(&mut self, head: Head) {
        if head.sender.start > self.me.start && self.stand == Stand::In {
            self.supersede(head.sender.start);
        } else if head.sender.start < self.me.start && self.stand == Stand::In {
            self.counts.outranked += 1;
            self.send(head.sender.addr, Kind::Outranked { start: self.me.start, alive: true }, &[]);
        }
    }

    /// The others know a later start under this name.
    fn outranked(&mut self, start: u64, alive: bool) {
        if start < self.me.start || (start == self.me.start && self.stand == Stand::In) {
            return;
        }
        // A process that has just started is the later one, whatever its clock says; and nobody is outranked by the dead.
        let joining = !self.established && self.now < self.born + JOINING;
        if !alive || joining {
            let next = Member { start: start.saturating_add(1), turn: 0, ..self.me.clone() };
            if self.swim.change_identity(next.clone(), &mut self.runtime).is_ok() {
                self.stand = Stand::In;
                self.become_start(next.clone());
                self.changed_at = self.now;
                self.call_at = self.now;
                self.out.push(Output::Told(Change::Rejoined(next)));
                self.carry_out();
            }
        } else {
            self.supersede(start);
        }
    }

    fn supersede(&mut self, by: u64) {
        if self.stand != Stand::Superseded(by) {
            self.stand = Stand::Superseded(by);
            self.timers.clear();
            self.tell(Change::Superseded { by });
        }
    }

    fn leave(&mut self) {
        if self.stand == Stand::In {
            let next = Member { turn: self.me.turn.saturating_add(1), leaving: true, ..self.me.clone() };
            if self.swim.change_identity(next.clone(), &mut self.runtime).is_ok() {
                self.become_start(next);
            }
            let _ = self.swim.leave_cluster(&mut self.runtime);
            self.carry_out();
        }
        self.stand = Stand::Left;
        self.timers.clear();
    }

    // ----- settled

    /// The digest that came with a member's last word, if it lives and that was lately.
    fn lately(&self, known: &Known) -> Option<u64> {
        let window = SETTLE * self.settings.period;
        known.heard.filter(|h| known.active && h.0 + window > self.now).map(|h| h.1)
    }

    /// Whether the view is settled, and why not.
    pub fn settled(&self) -> Result<(), Unsettled> {
        if self.stand != Stand::In {
            return Err(Unsettled::Out);
        }
        let window = SETTLE * self.settings.period;
        if self.now < self.changed_at + window {
            return Err(Unsettled::Changed);
        }
        let alone = self.active == 0;
        let expected = self.settings.seeds.iter().any(|s| *s != self.me.addr);
        if alone && expected {
            return Err(Unsettled::Nobody);
        }
        let mut lately = self.known.values().filter_map(|k| Some((k, self.lately(k)?))).peekable();
        if !alone && lately.peek().is_none() {
            return Err(Unsettled::Nobody);
        }
        match lately.find(|(_, digest)| *digest != self.digest) {
            Some((k, _)) => Err(Unsettled::Differs(k.member.name.clone())),
            None => Ok(()),
        }
    }

    /// Tells when the view settles, and when it does so no longer.
    fn settle(&mut self) {
        // All members are looked through for it: not at each datagram.
        if self.now < self.settle_at && self.changed_at < self.now {
            return;
        }
        self.settle_at = self.now + self.settings.period / SETTLE_LOOKS;
        let now = self.settled();
        if now.is_ok() != self.settled {
            self.settled = now.is_ok();
            self.established |= self.settled;
            let change = match now {
                Ok(()) => Change::Settled { members: self.living(), digest: self.digest },
                Err(why) => Change::Unsettled(why),
            };
            self.out.push(Output::Told(change));
        }
    }

    // ----- for people

    /// The view as people's tools see it.
    pub fn rows(&self) -> Vec<Row> {
        let row = |k: &Known| Row {
            member: k.member.clone(),
            state: match (k.active, k.member.leaving) {
                (true, _) if self.suspects.contains_key(&k.member.name) => State::Suspect,
                (true, _) => State::Alive,
                (false, true) => State::Left,
                (false, false) => State::Down,
            },
            since_ms: (self.now.saturating_sub(k.since)) / MS,
            heard_ms: k.heard.map(|h| self.now.saturating_sub(h.0) / MS),
            digest: k.heard.map(|h| h.1),
        };
        self.known.values().map(row).collect()
    }

    /// What stands above the rows.
    pub fn summary(&self) -> Summary {
        Summary {
            me: self.me.clone(),
            living: self.living() as u32,
            digest: self.digest,
            unsettled: self.settled().err().map(|why| why.to_string()),
            counts: self.counts,
            part: self.share.as_ref().map(|s| self.part_row(s)),
        }
    }

    fn part_row(&self, share: &Share) -> PartRow {
        let part = share.part(self.now);
        PartRow {
            always: part.always,
            leased: part.leased,
            left_ms: if part.leased > 0.0 { part.until.saturating_sub(self.now) / MS } else { 0 },
            epoch: share.epoch(self.now).map(|e| (e.number, e.leader.clone())),
            members: part.members.unwrap_or(0),
        }
    }

    fn asked(&mut self, from: SocketAddr, page: u16) {
        let payload = status::page(&self.summary(), &self.rows(), page, ROOM);
        self.send(from, Kind::Page, &payload);
    }
}

impl std::fmt::Display for Unsettled {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unsettled::Changed => f.write_str("changed a moment ago"),
            Unsettled::Differs(name) => write!(f, "{name} sees something else"),
            Unsettled::Nobody => f.write_str("nobody answers"),
            Unsettled::Out => f.write_str("superseded by a later start, or left"),
        }
    }
}

//! Splits under load in virtual time: map, owners, writers and readers as they run (`crates/shards`), with
//! faults. One seed, one range that splits.

use crate::fleet::{MS, SECOND};
use micadyke_directory::{Key, Nanos};
use micadyke_shards::compare::{Answer, Next, Twice, compare};
use micadyke_shards::face::Reading;
use micadyke_shards::index::{Book, Id, Index, Pending, Taken, To, Write, Writer};
use micadyke_shards::keep::{Epoch, Keeper, Lease, Terms, Weighed, Word};
use micadyke_shards::map::{Group, Map, Owner, Part};
use micadyke_shards::split::{Cause, Mover, Report, Rules, What};
use micadyke_shards::{Feature, Range};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// What goes wrong in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// A twentieth of all words between members.
    Loss,
    /// A new owner crashes while it is copied or read twice, and starts anew.
    NewOwner,
    /// An old owner does.
    OldOwner,
    /// The leader does; another leads after it.
    Leader,
    /// Two members stop for 2 s, among them an old owner, and go on by the map of before.
    Asleep,
    /// A member joins and another leaves.
    Members,
    /// Copying loses one entry in ten thousand.
    Loses,
    /// A new owner says that it has a write, and takes it with the next.
    HoldsBack,
    /// Both halves hold the border, and a key lies on it.
    Border,
}

/// All of them.
pub const FAULTS: [Fault; 10] = [
    Fault::None,
    Fault::Loss,
    Fault::NewOwner,
    Fault::OldOwner,
    Fault::Leader,
    Fault::Asleep,
    Fault::Members,
    Fault::Loses,
    Fault::HoldsBack,
    Fault::Border,
];

/// Those of this name; all where it is empty.
///
/// ```
/// assert_eq!(micadyke_lab::splits::faults("Border").len(), 1);
/// ```
pub fn faults(name: &str) -> Vec<Fault> {
    FAULTS.into_iter().filter(|f| name.is_empty() || format!("{f:?}") == name).collect()
}

/// A run before it runs.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// What chance is drawn from.
    pub seed: u64,
    /// What goes wrong.
    pub fault: Fault,
    /// Entries before the split.
    pub entries: usize,
    /// Questions a second.
    pub asked: u64,
    /// Writes a second.
    pub written: u64,
    /// What is taken out, to see the check fail.
    pub without: Option<Feature>,
}

/// What a run came to.
#[derive(Debug, Default, Clone)]
pub struct Outcome {
    /// Time from the change's beginning until new owners served alone.
    pub through: Option<Nanos>,
    /// Why changes went back.
    pub back: Vec<Cause>,
    /// Entries that a fault took from a new owner, or made it hold twice or late, while a change was under
    /// way.
    pub harmed: u32,
    /// Acknowledged entries that a serving owner lacked at the cut-over.
    pub missing: u32,
    /// Whole answers that lacked an entry acknowledged before they were asked.
    pub wrong: u32,
    /// Whole answers.
    pub whole: u32,
    /// Answers that were partial by the deadline.
    pub partial: u32,
    /// Askers turned away for an older map.
    pub turned_away: u32,
    /// Reads compared equal; not comparable within their budget.
    pub equal: u32,
    /// See `equal`.
    pub open: u32,
    /// Time to the old result by state: whole, copying, read twice.
    pub took: [Vec<Nanos>; 3],
}

impl Outcome {
    /// Times that the change went back because of a difference.
    pub fn flags(&self) -> usize {
        self.back.iter().filter(|c| matches!(c, Cause::Flagged(_) | Cause::Digests(_))).count()
    }
}

/// Members; the range begins with the first two as owners.
const MEMBERS: usize = 12;
/// One way between members, and as much again on average by chance.
const WAY: Nanos = MS;
/// An owner takes so long for a question or a write; and for an entry that it hands over.
const TAKES: Nanos = 100_000;
const HANDS: Nanos = 5_000;
/// The leader's round.
const ROUND: Nanos = SECOND / 2;
/// A lease, and how long a member serves by a map unconfirmed.
const LEASE: Nanos = 3 * SECOND;
/// Owners report so often.
const REPORT: Nanos = SECOND;
/// Partial results are merged after this.
const DEADLINE: Nanos = 200 * MS;
/// What could not be compared is asked again after this, so often.
const AGAIN: Nanos = 50 * MS;
const BUDGET: u32 = 3;
/// What is not acknowledged is told again after this.
const RETELL: Nanos = 100 * MS;
/// The split may begin then; the fault comes up to 2 s after it began.
const FROM: Nanos = 3 * SECOND;
/// A run ends then, through or not.
const END: Nanos = 60 * SECOND;

const RULES: Rules = Rules {
    entries: 1_000,
    rate: u64::MAX,
    per_1000: 0,
    merge: 0,
    at_once: 1,
    slices: 4,
    reads: 20,
    copy_for: 10 * SECOND,
    twice_for: 15 * SECOND,
    again_after: 2 * SECOND,
    again_most: 16 * SECOND,
    gone_for: 3 * SECOND,
};

enum Ev {
    Word(usize, usize, Word),
    Round,
    Report,
    Write,
    Told(usize, usize, u64, To, Write),
    Taken(usize, Taken),
    Gap(usize, Range, Writer),
    Older(usize, Map),
    Retell,
    /// Owner, which of its fillings, range, writers left.
    Copy(usize, u64, Range, Vec<Writer>),
    Ask,
    Asked(usize, u64, u32, Range, u64),
    Answer(u64, u32, Answer),
    Deadline(u64, u32),
    Again(u64),
    Fault,
    Returns(usize),
}

struct Member {
    keeper: Keeper,
    mover: Mover,
    indexes: BTreeMap<Range, Index>,
    /// The filling under way or done, by range: another one ends it.
    fillings: BTreeMap<Range, u64>,
    /// A write that is held back, by range.
    back: BTreeMap<Range, Write>,
    book: Book,
    busy: Nanos,
    up: bool,
    /// Told and not counted yet.
    waits: Vec<Pending>,
    number: u64,
    starts: u64,
}

struct Question {
    asker: usize,
    key: Key,
    reading: Reading,
    state: usize,
    at: Nanos,
    asking: u32,
    served: bool,
    twice: Twice,
    due: Vec<Id>,
}

/// A range that splits.
pub struct Splits {
    plan: Plan,
    now: Nanos,
    events: BTreeMap<(Nanos, u64), Ev>,
    number: u64,
    random: StdRng,
    members: Vec<Member>,
    living: BTreeSet<usize>,
    leader: usize,
    epoch: u64,
    leads_at: Nanos,
    questions: BTreeMap<u64, Question>,
    /// Entries that count: when, and at which sequence.
    counts: BTreeMap<Id, (Nanos, u64)>,
    live: Vec<Id>,
    began: Option<Nanos>,
    fault_due: bool,
    border: Option<Key>,
    out: Outcome,
}

fn name(n: usize) -> String {
    format!("f{n}")
}

/// Neither an owner to begin with nor of those that faults are for.
fn leader(seed: u64) -> usize {
    2 + (seed % 7) as usize
}

fn of(name: &str) -> usize {
    name[1..].parse().unwrap_or(0)
}

impl Member {
    /// Whether it answers for a range, and so hands it over, and reports it filled.
    fn answers(&self, range: Range) -> bool {
        let index = self.indexes.get(&range).filter(|_| self.keeper.owns(range));
        index.zip(self.keeper.map()).is_some_and(|(i, m)| i.filled(m))
    }
}

impl Splits {
    /// A fleet with a range that has grown too large.
    pub fn new(mut plan: Plan) -> Self {
        if plan.fault == Fault::Border {
            plan.without = Some(Feature::Border);
        }
        let terms = Terms { fronts: MEMBERS as u32, serve: LEASE, drift: 10 };
        let owners = [name(0), name(1)];
        let member = |n: usize| Member {
            keeper: Keeper::new(terms, &name(n), 1).without(plan.without),
            mover: Mover::new(RULES).without(plan.without),
            indexes: BTreeMap::new(),
            fillings: BTreeMap::new(),
            back: BTreeMap::new(),
            book: Book::new(&name(n), 1),
            busy: 0,
            up: true,
            waits: Vec::new(),
            number: 0,
            starts: 1,
        };
        let mut s = Splits {
            plan,
            now: 0,
            events: BTreeMap::new(),
            number: 0,
            random: StdRng::seed_from_u64(plan.seed),
            members: (0..MEMBERS).map(member).collect(),
            living: (0..MEMBERS).collect(),
            leader: leader(plan.seed),
            epoch: 1,
            leads_at: 0,
            questions: BTreeMap::new(),
            counts: BTreeMap::new(),
            live: Vec::new(),
            began: None,
            fault_due: true,
            border: None,
            out: Outcome::default(),
        };
        // Filled before the run, as if by their books.
        let map = Map::founded(2, owners.iter().map(|o| (o.as_str(), 1)));
        let mut index = Index::new(Range::RING);
        for i in 0..plan.entries {
            let (key, by) = (
                Key::Title(format!("t{}", i % (plan.entries / 2).max(1))),
                s.random.random_range(0..MEMBERS),
            );
            for (_, write) in s.members[by].book.write(&map, key, i as u64, Some(format!("s{}", i % 7))) {
                index.apply(&write).ok();
                if let Some(e) = write.entry {
                    s.counts.insert(e.id.clone(), (0, e.sequence));
                    s.live.push(e.id);
                }
            }
        }
        index.fill(&map);
        for n in 0..2 {
            s.members[n].indexes.insert(Range::RING, index.clone());
        }
        if plan.fault == Fault::Border {
            s.border = s.live.first().map(|id| id.key.clone());
        }
        s.at(0, Ev::Round);
        s.at(FROM, Ev::Report);
        s.at(FROM, Ev::Ask);
        s.at(FROM, Ev::Write);
        s.at(RETELL, Ev::Retell);
        s
    }

    fn at(&mut self, at: Nanos, ev: Ev) {
        self.number += 1;
        self.events.insert((at, self.number), ev);
    }

    /// Sends between members: late by chance, lost by the fault.
    fn send(&mut self, from: usize, to: usize, ev: Ev) {
        let lost =
            self.plan.fault == Fault::Loss && self.began.is_some() && self.random.random_range(0..20) == 0;
        if from != to && lost {
            return;
        }
        let late = -(1.0 - self.random.random::<f64>()).ln() * WAY as f64;
        let way = if from == to { 0 } else { WAY + late as Nanos };
        self.at(self.now + way, ev);
    }

    fn words(&mut self, from: usize, words: Vec<(String, Word)>) {
        for (to, word) in words {
            self.send(from, of(&to), Ev::Word(of(&to), from, word));
        }
    }

    /// Runs until the range has split and two seconds more, or the end.
    pub fn run(mut self) -> Outcome {
        let mut until = END;
        while let Some(((at, _), ev)) = self.events.pop_first() {
            if at >= until {
                break;
            }
            self.now = at;
            self.handle(ev);
            if self.out.through.is_some() && until == END {
                until = self.now + 2 * SECOND;
            }
        }
        self.out
    }

    fn handle(&mut self, ev: Ev) {
        match ev {
            Ev::Word(to, from, word) if self.members[to].up => {
                let words = self.members[to].keeper.handle(self.now, &name(from), word);
                self.words(to, words);
                self.moved(to);
            }
            Ev::Round => self.round(),
            Ev::Report => self.reports(),
            Ev::Write => self.write(),
            Ev::Told(to, from, number, whom, write) if self.members[to].up => {
                self.told(to, from, number, whom, write)
            }
            Ev::Taken(writer, word) if self.members[writer].up => self.taken(writer, &word),
            Ev::Gap(owner, range, writer) => self.gap(owner, range, writer),
            Ev::Older(at, map) if self.members[at].up => {
                self.out.turned_away += 1;
                self.members[at].keeper.learn(&map);
                self.moved(at);
            }
            Ev::Retell => {
                (0..MEMBERS)
                    .filter(|n| self.members[*n].up)
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|n| self.retell(n));
                self.at(self.now + RETELL, Ev::Retell);
            }
            Ev::Copy(owner, filling, range, writers) => self.copy(owner, filling, range, writers),
            Ev::Ask => self.ask(),
            Ev::Asked(to, q, asking, range, number) if self.members[to].up => {
                self.asked(to, q, asking, range, number)
            }
            Ev::Answer(q, asking, answer) => self.answer(q, asking, answer),
            Ev::Deadline(q, asking) if self.questions.get(&q).is_some_and(|x| x.asking == asking) => {
                self.judge(q);
            }
            Ev::Again(q) => self.put(q),
            Ev::Fault => self.fault(),
            Ev::Returns(n) => {
                self.members[n].up = true;
                self.living.insert(n);
            }
            _ => {}
        }
    }

    fn living(&self) -> BTreeMap<String, u64> {
        self.living.iter().map(|n| (name(*n), self.members[*n].starts)).collect()
    }

    fn round(&mut self) {
        let (now, n) = (self.now, self.leader);
        self.at(now + ROUND, Ev::Round);
        if !self.members[n].up || now < self.leads_at {
            return;
        }
        let lease = Lease {
            epoch: Epoch { number: self.epoch, leader: name(n), start: self.members[n].starts },
            until: now + LEASE,
        };
        let all = self.members.iter().enumerate().map(|(n, m)| (name(n), m.starts)).collect();
        let words = self.members[n].keeper.lead(now, &lease, &all);
        self.words(n, words);
        if now < FROM {
            return;
        }
        let living = self.living();
        let m = &mut self.members[n];
        let Some(map) = m.keeper.leads(now).cloned() else { return };
        if self.out.through.is_some() {
            return;
        }
        let lag = m.keeper.may_lag(now);
        let Some(step) = m.mover.next(now, &map, &living, lag) else { return };
        let mut to = step.map;
        if let (What::Begin, Some(key)) = (&step.what, &self.border) {
            // The border lies on a key, and both halves hold it.
            for g in to.groups.iter_mut() {
                if let Some(c) = g.change.as_mut().filter(|c| c.parts.len() == 2) {
                    c.parts[0].range.last = key.point();
                    c.parts[1].range.first = key.point();
                }
            }
        }
        let Ok(words) = self.members[n].keeper.propose(now, to) else { return };
        match step.what {
            What::Begin => {
                self.began.get_or_insert(now);
                self.out.harmed += u32::from(self.plan.fault == Fault::Border);
                if std::mem::take(&mut self.fault_due) {
                    let after = self.random.random_range(0..2 * SECOND);
                    self.at(now + after, Ev::Fault);
                }
            }
            What::Back(cause) => self.out.back.push(cause),
            _ => {}
        }
        self.words(n, words);
    }

    /// A member may know another map than before.
    fn moved(&mut self, n: usize) {
        let m = &mut self.members[n];
        let Some(map) = m.keeper.map().cloned().filter(|map| map.number > m.number) else { return };
        m.number = map.number;
        let me = m.keeper.me();
        m.indexes.retain(|r, _| map.owns(*r, &me));
        m.fillings.retain(|r, _| map.owns(*r, &me));
        m.back.retain(|r, _| map.owns(*r, &me));
        m.waits.iter_mut().for_each(|p| p.moved(&map));
        let ticks = m.book.tick(&map).into_iter();
        m.waits.extend(ticks.map(|t| Pending::new(&map, t).without(self.plan.without)));
        let all = map.groups.iter().flat_map(Group::all);
        let mine: Vec<Range> = all.filter(|p| p.owners.contains(&me)).map(|p| p.range).collect();
        for range in mine {
            if self.members[n].indexes.contains_key(&range) {
                continue;
            }
            let filling = self.number;
            self.members[n].indexes.insert(range, Index::new(range));
            self.members[n].fillings.insert(range, filling);
            let writers = (0..MEMBERS).map(|w| Writer { node: name(w), start: 1 }).collect();
            self.at(self.now + MS, Ev::Copy(n, filling, range, writers));
        }
        self.retell(n);
        // The truth, as soon as anybody knows that the new serve alone.
        if self.out.through.is_none() && map.groups.len() > 1 && map.changing() == 0 {
            self.out.through = Some(self.now - self.began.unwrap_or(self.now));
            self.out.missing = self.missing(&map);
        }
    }

    /// Entries that count and that a serving owner lacks.
    fn missing(&self, map: &Map) -> u32 {
        let lacks = |(id, (_, sequence)): (&Id, &(Nanos, u64))| {
            let point = id.key.point();
            let parts = map.group(point).into_iter().flat_map(|g| &g.parts).filter(|p| p.range.has(point));
            let mut owners = parts.flat_map(|p| p.owners.iter().map(move |o| (o, p.range)));
            owners.any(|(o, range)| {
                let m = &self.members[of(&o.name)];
                let index = m.indexes.get(&range).filter(|i| m.keeper.me() == *o && i.filled(map));
                index.is_some_and(|index| {
                    !index.find(&id.key).iter().any(|e| e.id == *id && e.sequence >= *sequence)
                })
            })
        };
        self.counts.iter().filter(|e| lacks(*e)).count() as u32
    }

    fn write(&mut self) {
        let gap = self.gap_of(self.plan.written);
        self.at(self.now + gap, Ev::Write);
        let by = self.random.random_range(0..MEMBERS);
        let mine: Vec<usize> = (0..8).map(|_| self.random.random_range(0..self.live.len())).collect();
        let old = mine.into_iter().find(|i| self.live[*i].writer.node == name(by));
        let fresh = self.number;
        let m = &mut self.members[by];
        let Some(map) = m.keeper.map().filter(|_| m.up).cloned() else { return };
        let (key, slot, value) = match old {
            Some(i) if fresh.is_multiple_of(2) => {
                let id = self.live.swap_remove(i);
                self.counts.remove(&id);
                (id.key, id.slot, None)
            }
            _ => (
                Key::Title(format!("t{}", fresh % 1_000)),
                1_000_000 + fresh,
                Some(format!("s{}", fresh % 7)),
            ),
        };
        let told = m.book.write(&map, key, slot, value);
        let pending = Pending::new(&map, told).without(self.plan.without);
        m.waits.push(pending.clone());
        self.tell(by, &pending, false);
    }

    fn gap_of(&mut self, rate: u64) -> Nanos {
        (-(1.0 - self.random.random::<f64>()).ln() * SECOND as f64 / rate as f64) as Nanos
    }

    /// Tells a write, once more only to those that it waits for.
    fn tell(&mut self, by: usize, pending: &Pending, again: bool) {
        for (to, write) in pending.told() {
            for owner in &to.owners {
                if !again || !to.needed || pending.waits().contains(&(owner.clone(), to.range)) {
                    let o = of(&owner.name);
                    self.send(by, o, Ev::Told(o, by, pending.number(), to.clone(), write.clone()));
                }
            }
        }
    }

    fn retell(&mut self, by: usize) {
        for pending in self.members[by].waits.clone() {
            self.tell(by, &pending, true);
        }
    }

    fn busy(&mut self, n: usize, takes: Nanos) -> Nanos {
        let m = &mut self.members[n];
        m.busy = m.busy.max(self.now) + takes;
        m.busy - self.now
    }

    fn told(&mut self, to: usize, from: usize, number: u64, whom: To, write: Write) {
        let wait = self.busy(to, TAKES);
        let m = &mut self.members[to];
        match m.keeper.weigh(self.now, number) {
            Weighed::Older(map) => {
                let map = map.clone();
                return self.send(to, from, Ev::Older(from, map));
            }
            Weighed::Newer => {
                if let Some(map) = self.members[from].keeper.map().cloned() {
                    self.members[to].keeper.learn(&map);
                    self.moved(to);
                }
                return;
            }
            Weighed::Stale => return,
            Weighed::Same(_) => {}
        }
        let (owner, filled) = (m.keeper.me(), m.answers(whom.range));
        let owns = m.keeper.owns(whom.range);
        let Some(index) = m.indexes.get_mut(&whom.range).filter(|_| owns) else { return };
        let sequence = write.sequence;
        let mut took = true;
        let new = whom.range != Range::RING;
        if self.plan.fault == Fault::HoldsBack && new && to.is_multiple_of(2) && filled {
            // It says that it has it, and takes the one before.
            if let Some(before) = m.back.insert(whom.range, write) {
                let _ = index.apply(&before);
            }
            self.out.harmed += 1;
        } else {
            took = match index.apply(&write) {
                Ok(()) => true,
                Err(_) => {
                    self.at(self.now + wait, Ev::Gap(to, whom.range, write.writer));
                    false
                }
            };
        }
        if took {
            let word = Taken { owner, number, range: whom.range, sequence };
            self.send(to, from, Ev::Taken(from, word));
        }
    }

    /// What a range lacks is copied once more.
    fn gap(&mut self, owner: usize, range: Range, writer: Writer) {
        let m = &self.members[owner];
        if let Some(filling) = m.fillings.get(&range).filter(|_| m.answers(range)) {
            self.at(self.now + 20 * MS, Ev::Copy(owner, *filling, range, vec![writer]));
        }
    }

    fn taken(&mut self, writer: usize, word: &Taken) {
        let now = self.now;
        let mut done = Vec::new();
        self.members[writer].waits.retain_mut(|p| {
            let counts = p.taken(word);
            done.extend(p.told().iter().filter(|_| counts).find_map(|(_, w)| w.entry.clone()));
            !counts
        });
        for e in done.into_iter().filter(|e| e.value.is_some()) {
            self.counts.insert(e.id.clone(), (now, e.sequence));
            self.live.push(e.id);
        }
    }

    fn copy(&mut self, owner: usize, filling: u64, range: Range, mut writers: Vec<Writer>) {
        let m = &mut self.members[owner];
        if !m.up || m.fillings.get(&range) != Some(&filling) {
            return;
        }
        let (Some(map), Some(index)) = (m.keeper.map(), m.indexes.get_mut(&range)) else { return };
        let Some(writer) = writers.pop() else { return index.fill(map) };
        let Some(group) = map.group(range.first).cloned() else { return };
        let from = |p: &Part| {
            let full = |o: &&Owner| {
                let m = &self.members[of(&o.name)];
                m.up && m.keeper.me() == **o && m.answers(p.range)
            };
            let from = p.owners.iter().filter(full).map(|o| of(&o.name));
            from.min_by_key(|o| (o + owner) % 2).map(|o| (o, p.range))
        };
        let from: Option<Vec<_>> = group.parts.iter().map(from).collect();
        let Some(from) = from else {
            let left = [writers, vec![writer]].concat();
            return self.at(self.now + SECOND, Ev::Copy(owner, filling, range, left));
        };
        let mut pages: Vec<_> =
            from.iter().map(|(o, r)| self.members[*o].indexes[r].page(&writer, range)).collect();
        if self.plan.fault == Fault::Loses {
            for p in &mut pages {
                let all = p.entries.len();
                p.entries.retain(|_| self.random.random_range(0..10_000) > 0);
                self.out.harmed += (all - p.entries.len()) as u32;
            }
        }
        let entries: usize = pages.iter().map(|p| p.entries.len()).sum();
        for (o, _) in from {
            self.busy(o, HANDS * entries as Nanos);
        }
        if let Some(index) = self.members[owner].indexes.get_mut(&range) {
            index.take(&pages);
        }
        let takes = self.busy(owner, HANDS * entries as Nanos);
        self.at(self.now + takes + 10 * MS, Ev::Copy(owner, filling, range, writers));
    }

    fn reports(&mut self) {
        self.at(self.now + REPORT, Ev::Report);
        let (now, n) = (self.now, self.leader);
        let Some(map) = self.members[n].keeper.leads(now).cloned().filter(|_| self.members[n].up) else {
            return;
        };
        let mut reports = Vec::new();
        for m in self.members.iter().filter(|m| m.up) {
            for (range, index) in m.indexes.iter().filter(|(r, _)| m.keeper.owns(**r)) {
                reports.push(Report {
                    owner: m.keeper.me(),
                    number: m.number,
                    range: *range,
                    entries: index.len() as u64,
                    rate: 0,
                    filled: m.answers(*range),
                    stand: index.stand(),
                });
            }
        }
        for r in reports {
            if self.plan.fault != Fault::Loss || self.random.random_range(0..20) > 0 {
                self.members[n].mover.report(now, &map, r);
            }
        }
    }

    fn ask(&mut self) {
        let gap = self.gap_of(self.plan.asked);
        self.at(self.now + gap, Ev::Ask);
        let asker = self.random.random_range(0..MEMBERS);
        let border = self.border.clone().filter(|_| self.random.random_range(0..50) == 0);
        let any = self.random.random_range(0..self.live.len());
        if !self.members[asker].up {
            return;
        }
        let key = border.unwrap_or_else(|| self.live[any].key.clone());
        let map = self.members[asker].keeper.map();
        let Some(reading) = map.and_then(|m| Reading::of(m, key.point())) else { return };
        let q = self.number;
        let question = Question {
            asker,
            key,
            reading,
            state: 0,
            at: self.now,
            asking: 0,
            served: false,
            twice: Twice::new(BUDGET),
            due: Vec::new(),
        };
        self.questions.insert(q, question);
        self.put(q);
    }

    /// Asks, or asks again.
    fn put(&mut self, q: u64) {
        let Some(x) = self.questions.get_mut(&q) else { return };
        let m = &self.members[x.asker];
        let (Some(map), true) = (m.keeper.map(), m.up) else { return drop(self.questions.remove(&q)) };
        let point = x.key.point();
        let Some(reading) = Reading::of(map, point) else { return };
        x.reading = reading;
        x.asking += 1;
        x.state = x.reading.state.map_or(0, |s| 1 + s as usize);
        if !x.served {
            x.at = self.now;
            let least = Writer { node: String::new(), start: 0 };
            let from = Id { key: x.key.clone(), writer: least, slot: 0 };
            let under = self.counts.range(from..).take_while(|(id, _)| id.key == x.key);
            let due = under.map(|(id, _)| id.clone()).collect();
            x.due = due;
        }
        let (asker, asking, number) = (x.asker, x.asking, x.reading.number);
        for (o, range) in x.reading.asks() {
            self.send(asker, of(&o.name), Ev::Asked(of(&o.name), q, asking, range, number));
        }
        self.at(self.now + DEADLINE, Ev::Deadline(q, asking));
    }

    fn asked(&mut self, to: usize, q: u64, asking: u32, range: Range, number: u64) {
        let wait = self.busy(to, TAKES);
        let Some(x) = self.questions.get(&q) else { return };
        let (asker, key) = (x.asker, x.key.clone());
        let m = &self.members[to];
        match m.keeper.weigh(self.now, number) {
            Weighed::Older(map) => {
                let map = map.clone();
                self.send(to, asker, Ev::Older(asker, map));
                // Asked anew by the new map.
                if let Some(x) = self.questions.get_mut(&q).filter(|x| x.asking == asking) {
                    x.asking += 1;
                    let at = self.now + 4 * WAY;
                    self.at(at, Ev::Again(q));
                }
            }
            Weighed::Newer => {
                if let Some(map) = self.members[asker].keeper.map().cloned() {
                    self.members[to].keeper.learn(&map);
                    self.moved(to);
                }
            }
            Weighed::Same(_) if m.answers(range) => {
                let Some(index) = m.indexes.get(&range) else { return };
                let answer = Answer::of(&m.keeper.me(), index, &key, asking > 1);
                let late = -(1.0 - self.random.random::<f64>()).ln() * WAY as f64;
                self.at(self.now + wait + WAY + late as Nanos, Ev::Answer(q, asking, answer));
            }
            _ => {}
        }
    }

    fn answer(&mut self, q: u64, asking: u32, answer: Answer) {
        let Some(x) = self.questions.get_mut(&q).filter(|x| x.asking == asking) else { return };
        x.reading.answered(answer);
        let (old, new) = (&x.reading.old, &x.reading.new);
        if old.whole() && !x.served {
            x.served = true;
            self.out.took[x.state].push(self.now - x.at);
            self.out.whole += 1;
            let merged = old.merged();
            let lacks =
                |id: &&Id| self.counts.contains_key(id) && merged.get(id).is_none_or(|s| s.value.is_none());
            self.out.wrong += u32::from(x.due.iter().any(|id| lacks(&id)));
        }
        if old.whole() && (new.asked.is_empty() || new.whole()) {
            self.judge(q);
        }
    }

    fn judge(&mut self, q: u64) {
        let Some(x) = self.questions.get_mut(&q) else { return };
        if !x.served {
            x.served = true;
            self.out.partial += 1;
        }
        if x.reading.new.asked.is_empty() {
            self.questions.remove(&q);
            return;
        }
        let next = x.twice.next(compare(&x.reading.old, &x.reading.new, self.plan.without));
        let (number, point, now, n) = (x.reading.number, x.key.point(), self.now, self.leader);
        if next == Next::Again {
            x.asking += 1;
            return self.at(now + AGAIN, Ev::Again(q));
        }
        self.questions.remove(&q);
        let Some(map) = self.members[n].keeper.leads(now).cloned() else { return };
        let mover = &mut self.members[n].mover;
        match next {
            Next::Count => {
                self.out.equal += 1;
                mover.equal(now, &map, number, point, 1);
            }
            Next::Flag(found) => mover.flag(now, &map, number, point, found),
            _ => self.out.open += 1,
        }
    }

    fn fault(&mut self) {
        let map = self.members[self.leader].keeper.map().cloned();
        let new = map.iter().flat_map(|m| &m.groups).filter_map(|g| g.change.as_ref()).flat_map(|c| &c.parts);
        let new: Vec<usize> = new.flat_map(|p| &p.owners).map(|o| of(&o.name)).collect();
        match self.plan.fault {
            Fault::NewOwner if !new.is_empty() => {
                let n = new[self.random.random_range(0..new.len())];
                self.crash(n, 5 * SECOND);
            }
            Fault::OldOwner => self.crash(1, 5 * SECOND),
            Fault::Leader => {
                let n = self.leader;
                self.crash(n, 8 * SECOND);
                (self.leader, self.epoch) = (leader(self.plan.seed + 1), 1);
                self.leads_at = self.now + LEASE;
            }
            Fault::Asleep => {
                for n in [0, 11] {
                    self.members[n].up = false;
                    self.at(self.now + 2 * SECOND, Ev::Returns(n));
                }
            }
            Fault::Members => {
                self.crash(10, 2 * SECOND);
                self.living.remove(&9);
                self.at(self.now + 10 * SECOND, Ev::Returns(9));
            }
            _ => {}
        }
    }

    /// A member's process ends, and starts anew without memory. Its writer's entries stay, as if its book had
    /// lived.
    fn crash(&mut self, n: usize, span: Nanos) {
        let m = &mut self.members[n];
        m.starts += 1;
        let terms = Terms { fronts: MEMBERS as u32, serve: LEASE, drift: 10 };
        m.keeper = Keeper::new(terms, &name(n), m.starts).without(self.plan.without);
        m.mover = Mover::new(RULES).without(self.plan.without);
        (m.number, m.up) = (0, false);
        m.indexes.clear();
        m.fillings.clear();
        m.back.clear();
        self.living.remove(&n);
        self.at(self.now + span, Ev::Returns(n));
    }
}

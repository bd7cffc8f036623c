//! Members, their servers and the net between them, in virtual time; and an oracle that knows all books.

use micadyke_deadline::FixedDeadline;
use micadyke_directory::*;
use std::collections::{BTreeMap, BTreeSet};

/// A view gives up who is cut off or dead after this.
const GIVE_UP: Nanos = 6 * SECOND;
/// Servers end what lost its front within this.
const SERVERS: Nanos = 8 * SECOND;
/// A session that starts after its withdrawal may play so long at a node that has just joined.
const JOINED: Nanos = 15 * SECOND;
/// So long after a withdrawal was lifted, or its time over, a member that is not cut off may still end sessions by it.
const LIFTED: Nanos = 6 * SECOND;
/// And its time is as much longer as it was on its way: the slowest way, twice at most.
const ON_ITS_WAY: Nanos = 24 * SECOND;
/// Titles, viewers and servers that there are.
const TITLES: u64 = 5;
const VIEWERS: u64 = 12;
const SERVER: u64 = 4;

pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }

    pub fn chance(&mut self, p: f64) -> bool {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64 <= p && p > 0.0
    }
}

/// A session at its server; its node's book has it while `held`.
struct Stream {
    node: u64,
    start: u64,
    session: Session,
    since: Nanos,
    over: Option<Nanos>,
}

pub struct Process {
    pub directory: Directory,
    pub start: u64,
    born: Nanos,
    /// What its view shows.
    shown: BTreeMap<u64, u64>,
    view_changed: Nanos,
    settled: bool,
}

struct Question {
    key: Key,
    at: Nanos,
    bound: Nanos,
    shown: BTreeMap<u64, u64>,
    owner: bool,
    bits: Vec<u8>,
}

enum Event {
    Arrives { from: u64, to: u64, bytes: Vec<u8> },
    Over { stream: u64 },
    Dies { node: u64, start: u64 },
}

struct Decree {
    what: Key,
    mark: u64,
    from: Nanos,
    until: Nanos,
    lifted: Option<Nanos>,
    /// Who lifted it, as which start.
    by: (u64, u64),
}

pub struct World {
    pub now: Nanos,
    pub random: Random,
    pub processes: BTreeMap<u64, Process>,
    pub without: Option<Feature>,
    pub loss: f64,
    pub doubled: f64,
    pub way: (Nanos, Nanos),
    /// Ways that take longer, from and to.
    pub slow: BTreeMap<(u64, u64), Nanos>,
    pub cut_off: BTreeSet<u64>,
    /// Since when one does not reach another.
    apart: BTreeMap<(u64, u64), Nanos>,
    isolated_at: BTreeMap<u64, Nanos>,
    starts: BTreeMap<u64, u64>,
    events: BTreeMap<(Nanos, u64), Event>,
    event: u64,
    streams: BTreeMap<u64, Stream>,
    /// When a book last held a line.
    last_held: BTreeMap<(u64, u64, Key, String), Nanos>,
    questions: BTreeMap<(u64, u64), Question>,
    decrees: Vec<Decree>,
    looked_at: Nanos,
    pub wrong: Vec<String>,
    pub whole: u64,
    pub partial: u64,
    pub ended: u64,
    pub last: BTreeMap<(u64, Key), Progress>,
    pub answers: Vec<Answer>,
}

pub fn name(n: u64) -> String {
    format!("n{n:03}")
}

fn number(name: &str) -> u64 {
    name[1..].parse().unwrap()
}

fn matches(session: &Session, what: &Key) -> bool {
    match what {
        Key::Title(t) => session.title == *t,
        Key::Viewer(v) => session.viewer == *v,
        Key::Server(s) => session.server == *s,
    }
}

fn mark(process: &Process, what: &Key) -> u64 {
    process.directory.withdrawals().find(|w| w.what == *what).map_or(0, |w| w.mark)
}

fn at(session: &Session, key: &Key) -> String {
    if matches!(key, Key::Server(_)) { String::new() } else { session.server.clone() }
}

pub fn title(n: u64) -> Key {
    Key::Title(format!("t{n}"))
}

impl World {
    pub fn new(seed: u64, members: u64, without: Option<Feature>) -> Self {
        let mut world = World {
            now: SECOND,
            random: Random(seed),
            processes: BTreeMap::new(),
            without,
            loss: 0.0,
            doubled: 0.0,
            way: (MS, 5 * MS),
            slow: BTreeMap::new(),
            cut_off: BTreeSet::new(),
            apart: BTreeMap::new(),
            isolated_at: BTreeMap::new(),
            starts: BTreeMap::new(),
            events: BTreeMap::new(),
            event: 0,
            streams: BTreeMap::new(),
            last_held: BTreeMap::new(),
            questions: BTreeMap::new(),
            decrees: Vec::new(),
            looked_at: 0,
            wrong: Vec::new(),
            whole: 0,
            partial: 0,
            ended: 0,
            last: BTreeMap::new(),
            answers: Vec::new(),
        };
        (0..members).for_each(|n| world.start(n));
        world
    }

    pub fn start(&mut self, n: u64) {
        let start = self.starts.entry(n).or_insert(0);
        *start += 1;
        let start = *start;
        let settings = Settings::new(&name(n), start);
        // Its clock began somewhere else: no time of one means anything to another.
        let directory =
            Directory::new(settings, Box::new(FixedDeadline(150 * MS)), self.clock(n)).without(self.without);
        let born = self.now;
        let shown = BTreeMap::new();
        self.processes
            .insert(n, Process { directory, start, born, shown, view_changed: born, settled: false });
    }

    fn clock(&self, n: u64) -> Nanos {
        self.now + n * 1_000 * SECOND
    }

    pub fn crash(&mut self, n: u64) {
        let Some(process) = self.processes.remove(&n) else { return };
        let (start, now) = (process.start, self.now);
        for s in self.streams.values().filter(|s| s.node == n && s.start == start && s.over.is_none()) {
            for key in keys(&s.session) {
                self.last_held.insert((n, start, key.clone(), at(&s.session, &key)), now);
            }
        }
        self.later(SERVERS, Event::Dies { node: n, start });
        self.questions.retain(|id, _| id.0 != n);
        self.last.retain(|id, _| id.0 != n);
    }

    pub fn cut(&mut self, n: u64, cut: bool) {
        if cut {
            self.cut_off.insert(n);
        } else if self.cut_off.remove(&n) {
            self.isolated_at.insert(n, self.now);
        }
    }

    fn reaches(&self, a: u64, b: u64) -> bool {
        !self.cut_off.contains(&a) && !self.cut_off.contains(&b)
    }

    fn later(&mut self, after: Nanos, event: Event) {
        self.event += 1;
        self.events.insert((self.now + after, self.event), event);
    }

    /// A view is settled when nothing changed for a while, and somebody else is there.
    fn settle(&mut self) {
        let now = self.now;
        let settles = |p: &Process| !p.shown.is_empty() && now >= p.view_changed + 2 * SECOND;
        let other = self.processes.iter().map(|(n, p)| (*n, settles(p), p.settled));
        let changed: Vec<(u64, bool)> = other.filter(|o| o.1 != o.2).map(|o| (o.0, o.1)).collect();
        for (n, settled) in changed {
            self.processes.get_mut(&n).into_iter().for_each(|p| p.settled = settled);
            self.give(n, Input::View(Seen::Settled(settled)));
        }
    }

    /// What a view would show: who is gone or cut off is given up after a while.
    fn look(&mut self) {
        let living: Vec<u64> = self.processes.keys().copied().collect();
        for a in living {
            let others: BTreeSet<u64> = self.starts.keys().copied().filter(|b| *b != a).collect();
            for b in others {
                let there = self.processes.get(&b).map(|p| p.start).filter(|_| self.reaches(a, b));
                let shown = self.processes[&a].shown.get(&b).copied();
                let seen = match (there, shown) {
                    (Some(start), shown) if shown != Some(start) && self.random.chance(0.4) => {
                        Seen::Up { name: name(b), start, zone: String::new() }
                    }
                    (None, Some(_)) => {
                        let since = *self.apart.entry((a, b)).or_insert(self.now);
                        if self.now < since + GIVE_UP {
                            continue;
                        }
                        Seen::Down(name(b))
                    }
                    (Some(_), _) => {
                        self.apart.remove(&(a, b));
                        continue;
                    }
                    _ => continue,
                };
                let now = self.now;
                self.processes.get_mut(&a).into_iter().for_each(|p| {
                    match &seen {
                        Seen::Up { start, .. } => drop(p.shown.insert(b, *start)),
                        _ => drop(p.shown.remove(&b)),
                    }
                    p.view_changed = now;
                });
                self.apart.remove(&(a, b));
                self.give(a, Input::View(seen));
            }
        }
    }

    pub fn give(&mut self, n: u64, input: Input) {
        let clock = self.clock(n);
        let Some(process) = self.processes.get_mut(&n) else { return };
        let mut out = Vec::new();
        process.directory.handle(clock, input, &mut out);
        self.carry(n, out);
    }

    fn carry(&mut self, n: u64, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, bytes } => self.post(n, number(&to), bytes),
                Output::Answered { id, answer } => self.answered(n, id, answer),
                Output::End { what } => self.end(n, what),
                Output::Progress(progress) => {
                    if progress.ended_everywhere {
                        self.said_ended(&progress);
                    }
                    self.last.insert((n, progress.what.clone()), progress);
                }
            }
        }
    }

    fn post(&mut self, from: u64, to: u64, bytes: Vec<u8>) {
        assert!(bytes.len() <= LONGEST);
        let copies = 1 + u64::from(self.random.chance(self.doubled));
        for copy in 0..copies {
            if self.random.chance(self.loss) || !self.reaches(from, to) {
                continue;
            }
            let way = self.way.0 + self.random.below(self.way.1 - self.way.0);
            // A copy may come much later.
            let late = if copy > 0 { self.random.below(9 * SECOND) } else { 0 };
            let slow = self.slow.get(&(from, to)).copied().unwrap_or_default();
            self.later(way + slow + late, Event::Arrives { from, to, bytes: bytes.clone() });
        }
    }

    // ----- books

    pub fn session(&mut self, n: u64, session: Session) -> u64 {
        let Some(process) = self.processes.get(&n) else { return 0 };
        self.event += 1;
        let (id, start) = (self.event, process.start);
        self.streams
            .insert(id, Stream { node: n, start, session: session.clone(), since: self.now, over: None });
        self.give(n, Input::Started(&session));
        id
    }

    pub fn any_session(&mut self) -> Session {
        let (t, v) = (self.random.below(TITLES), self.random.below(VIEWERS));
        let s = self.random.below(SERVER);
        Session::new(&format!("t{t}"), &format!("v{v}"), &format!("s{s}"))
    }

    pub fn over(&mut self, id: u64) {
        let now = self.now;
        let Some(stream) = self.streams.get_mut(&id).filter(|s| s.over.is_none()) else { return };
        stream.over = Some(now);
        let (node, start, session) = (stream.node, stream.start, stream.session.clone());
        for key in keys(&session) {
            self.last_held.insert((node, start, key.clone(), at(&session, &key)), now);
        }
        if self.processes.get(&node).is_some_and(|p| p.start == start) {
            self.give(node, Input::Ended(&session));
        }
    }

    fn holds(&self, n: u64, what: &Key) -> Vec<u64> {
        let Some(process) = self.processes.get(&n) else { return Vec::new() };
        let mine = |s: &&Stream| s.node == n && s.start == process.start && s.over.is_none();
        let mine = self.streams.iter().filter(|s| mine(&s.1) && matches(&s.1.session, what));
        mine.map(|s| *s.0).collect()
    }

    /// The node looks in its own book, ends what it finds, and says what is left.
    fn end(&mut self, n: u64, what: Key) {
        let held = self.holds(n, &what);
        for id in &held {
            let now = self.now;
            let cut = |n: u64| {
                self.cut_off.contains(&n)
                    || self.isolated_at.get(&n).is_some_and(|at| now < at + JOINED)
                    || self.processes.get(&n).is_none_or(|p| now < p.born + JOINED)
            };
            // Neither is a lifting heard of that nobody but the cut off, or the dead, knows.
            let unheard = |d: &Decree| cut(n) || cut(d.by.0);
            let due = |d: &Decree| {
                let over = d.lifted.unwrap_or(Nanos::MAX).min(d.until + ON_ITS_WAY);
                d.what == what && d.from <= now && (unheard(d) || now <= over + LIFTED)
            };
            if !self.decrees.iter().any(due) {
                let decrees = self.decrees.iter().filter(|d| d.what == what);
                let decrees: Vec<_> = decrees
                    .map(|d| [d.from, d.until, d.lifted.unwrap_or_default()].map(|t| t / MS))
                    .collect();
                let how = format!("by {decrees:?}");
                self.wrong
                    .push(format!("{}: {n} ended a session of {what} that was not to end {how}", now / MS));
            }
            self.ended += 1;
            let after = 20 * MS + self.random.below(300 * MS);
            self.later(after, Event::Over { stream: *id });
        }
        self.give(n, Input::Left { what: &what, sessions: held.len() as u64 });
    }

    fn said_ended(&mut self, progress: &Progress) {
        for s in self.streams.values().filter(|s| s.over.is_none() && matches(&s.session, &progress.what)) {
            let fresh = self.processes.get(&s.node).is_some_and(|p| self.now < p.born + JOINED);
            if s.since + 2 * SECOND <= self.now && !fresh {
                self.wrong.push(format!("{}: {} plays at {} still", self.now / MS, progress.what, s.node));
            }
        }
    }

    pub fn withdraw(&mut self, n: u64, what: Key, span: Nanos) {
        let (clock, mut out) = (self.clock(n), Vec::new());
        let Some(process) = self.processes.get_mut(&n) else { return };
        process.directory.withdraw(clock, what.clone(), span, &mut out).unwrap();
        let (from, mark) = (self.now, mark(process, &what));
        self.decrees.push(Decree { what, mark, from, until: from + span, lifted: None, by: (n, 0) });
        self.carry(n, out);
    }

    pub fn lift(&mut self, n: u64, what: Key) {
        let (clock, mut out) = (self.clock(n), Vec::new());
        let Some(process) = self.processes.get_mut(&n) else { return };
        if process.directory.lift(clock, what.clone(), &mut out).is_ok() {
            let (now, mark, by) = (self.now, mark(process, &what), (n, process.start));
            self.decrees
                .iter_mut()
                .filter(|d| d.mark == mark)
                .for_each(|d| (d.lifted, d.by) = (Some(now), by));
        }
        self.carry(n, out);
    }

    // ----- questions

    pub fn ask(&mut self, n: u64, key: Key) {
        let (clock, mut out) = (self.clock(n), Vec::new());
        let Some(process) = self.processes.get_mut(&n) else { return };
        let (shown, bound) = (process.shown.clone(), process.directory.bound());
        let owner = process.directory.owners(&key).contains(&name(n));
        if let Ok(id) = process.directory.ask(clock, key.clone(), clock + 400 * MS, &mut out) {
            let at = self.now;
            self.questions.entry((n, id)).or_insert(Question {
                key,
                at,
                bound,
                shown,
                owner,
                bits: Vec::new(),
            });
        }
        self.carry(n, out);
    }

    fn answered(&mut self, n: u64, id: u64, answer: Answer) {
        self.answers.push(answer.clone());
        let Some(q) = self.questions.remove(&(n, id)) else { return };
        let Answer::Whole(whole) = answer else {
            self.partial += 1;
            return;
        };
        self.whole += 1;
        let told = |node: u64, start: u64, at: &str| {
            whole.entries().iter().any(|e| e.node == name(node) && e.start == start && e.at == at)
        };
        let since = q.at.saturating_sub(q.bound);
        for s in self.streams.values().filter(|s| s.over.is_none() && matches(&s.session, &q.key)) {
            let living = self.processes.get(&s.node).is_some_and(|p| p.start == s.start);
            let seen = s.node == n || q.shown.get(&s.node) == Some(&s.start);
            if living && seen && s.since < since && !told(s.node, s.start, &at(&s.session, &q.key)) {
                let age = (q.at - s.since) / MS;
                self.wrong.push(format!(
                    "{}: {} at {}, {age} ms old, missing at {n}, {:?}",
                    q.at / MS,
                    q.key,
                    s.node,
                    whole.report()
                ));
            }
        }
        for e in whole.entries() {
            let node = number(&e.node);
            let line = (node, e.start, q.key.clone(), e.at.clone());
            let holds =
                self.holds(node, &q.key).iter().any(|id| at(&self.streams[id].session, &q.key) == e.at);
            let holds = holds && self.processes[&node].start == e.start;
            let held = self.last_held.get(&line).copied().unwrap_or_default();
            if !holds && held < since {
                let ago = (q.at - held) / MS;
                let told = format!("{e:?} told at {n}, owner {}, {:?}", q.owner, whole.report());
                self.wrong.push(format!("{}: {} was over long ago ({ago} ms), {told}", q.at / MS, q.key));
            }
        }
        // What the traffic says of it.
        let steady = self.processes.get(&n).is_some_and(|p| p.view_changed < q.at);
        if steady && !q.owner {
            let members = q.shown.len() + 1;
            let mut names: Vec<u64> = q.shown.keys().copied().chain([n]).collect();
            names.sort_unstable();
            let bit = |i: usize| q.bits.get(i / 8).is_some_and(|b| b >> (i % 8) & 1 == 1);
            let covered = (0..members).filter(|i| bit(*i) || names[*i] == n).count();
            if covered != members {
                self.wrong.push(format!("{}: {covered} of {members} called whole at {n}", q.at / MS));
            }
        }
    }

    // ----- time

    pub fn run(&mut self, span: Nanos) {
        let end = self.now + span;
        loop {
            let event = self.events.first_key_value().map_or(Nanos::MAX, |e| e.0.0);
            let clock = |n: u64| n * 1_000 * SECOND;
            let wake =
                self.processes.iter().map(|(n, p)| (p.directory.wake_at().saturating_sub(clock(*n)), *n));
            let wake = wake.min().unwrap_or((Nanos::MAX, 0));
            let next = event.min(wake.0).min(self.looked_at);
            if next > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(next);
            if next == self.looked_at {
                self.looked_at = self.now + 250 * MS;
                self.look();
                self.settle();
            } else if next == event {
                let Some((_, event)) = self.events.pop_first() else { return };
                self.happens(event);
            } else {
                self.give(wake.1, Input::Wake);
            }
        }
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Arrives { from, to, bytes } => {
                if let Some(found) = heard(&bytes)
                    && let Some(q) = self.questions.get_mut(&(to, found.id))
                {
                    let bits = found.covered.unwrap_or_default();
                    q.bits.resize(q.bits.len().max(bits.len()), 0);
                    q.bits.iter_mut().zip(bits).for_each(|(held, more)| *held |= more);
                }
                self.give(to, Input::Message { from: &name(from), bytes: &bytes });
            }
            Event::Over { stream } => {
                let Some((node, session)) = self.streams.get(&stream).map(|s| (s.node, s.session.clone()))
                else {
                    return;
                };
                self.over(stream);
                for what in keys(&session) {
                    let left = self.holds(node, &what).len() as u64;
                    self.give(node, Input::Left { what: &what, sessions: left });
                }
            }
            Event::Dies { node, start } => {
                let theirs = self.streams.iter().filter(|s| s.1.node == node && s.1.start == start);
                let theirs: Vec<u64> = theirs.map(|s| *s.0).collect();
                theirs.into_iter().for_each(|id| drop(self.streams.remove(&id)));
                let living: Vec<u64> = self.processes.keys().copied().collect();
                for n in living {
                    self.give(n, Input::Accounted { name: &name(node), start });
                }
            }
        }
    }

    /// All copies are equal to the books, all know the same withdrawals, and each question is answered whole.
    pub fn agree(&mut self) {
        let living: Vec<u64> = self.processes.keys().copied().collect();
        for a in &living {
            for b in living.iter().filter(|b| *b != a) {
                let copy = self.processes[a].directory.digest(&name(*b));
                let book = self.processes[b].directory.part(&name(*a));
                if copy != book {
                    self.wrong.push(format!("the copy of {b} at {a} is {copy:?}, the book {book:?}"));
                }
            }
        }
        // One whose time is over lasts for as long as its words were on their way, which differs by member.
        let over = |mark: u64| self.decrees.iter().any(|d| d.mark == mark && d.until <= self.now);
        let known = |p: &Process| -> Vec<(Key, bool)> {
            p.directory.withdrawals().filter(|w| !over(w.mark)).map(|w| (w.what, w.lifted)).collect()
        };
        let all: BTreeSet<Vec<(Key, bool)>> = self.processes.values().map(known).collect();
        if all.len() > 1 {
            self.wrong.push(format!("withdrawals differ: {all:?}"));
        }
        let before = self.partial;
        for n in living {
            for t in 0..TITLES {
                self.ask(n, title(t));
            }
            self.run(500 * MS);
        }
        if self.partial > before {
            self.wrong.push(format!("{} answers are partial when all is well", self.partial - before));
        }
    }
}

fn keys(session: &Session) -> [Key; 3] {
    let Session { title, viewer, server } = session.clone();
    [Key::Title(title), Key::Viewer(viewer), Key::Server(server)]
}

/// A script by seed: sessions come and go, members crash, come back, are cut off, their ways are slow, words are lost and
/// doubled, while questions are asked and titles and viewers withdrawn.
pub fn script(seed: u64, without: Option<Feature>) -> World {
    let mut w = World::new(seed, 7, without);
    w.run(10 * SECOND);
    (w.loss, w.doubled) = ([0.0, 0.05, 0.2][(seed % 3) as usize], 0.1);
    let mut open: Vec<(u64, u64)> = Vec::new();
    for _ in 0..600 {
        w.run(100 * MS);
        let n = w.random.below(7);
        let session = w.any_session();
        let id = w.session(n, session);
        let ends = w.now / MS + 500 + w.random.below(40_000);
        open.push((ends, id));
        let now = w.now / MS;
        let over: Vec<u64> = open.iter().filter(|o| o.0 <= now).map(|o| o.1).collect();
        open.retain(|o| o.0 > now);
        over.into_iter().for_each(|id| w.over(id));
        for _ in 0..2 {
            let (n, key) = (w.random.below(7), w.random.below(3));
            let session = w.any_session();
            w.ask(n, keys(&session)[key as usize].clone());
        }
        let (n, m) = (w.random.below(7), w.random.below(7));
        match w.random.below(240) {
            0..=3 => w.crash(n),
            4..=11 if !w.processes.contains_key(&n) => w.start(n),
            12..=13 => w.cut(n, true),
            14..=21 => (0..7).for_each(|n| w.cut(n, false)),
            22..=24 if n != m => {
                let slow = w.random.below(12 * SECOND);
                w.slow.insert((n, m), slow);
            }
            25..=28 => w.slow.clear(),
            29..=31 => {
                let t = w.random.below(TITLES);
                let span = 5 * SECOND + w.random.below(60 * SECOND);
                w.withdraw(n, title(t), span);
            }
            32 => {
                let v = w.random.below(VIEWERS);
                w.withdraw(n, Key::Viewer(format!("v{v}")), 20 * SECOND);
            }
            33..=36 => {
                let t = w.random.below(TITLES);
                w.lift(n, title(t));
            }
            _ => {}
        }
    }
    // The last fault is over.
    (w.loss, w.doubled) = (0.0, 0.0);
    w.slow.clear();
    (0..7).for_each(|n| w.cut(n, false));
    (0..7).filter(|n| !w.processes.contains_key(n)).collect::<Vec<_>>().into_iter().for_each(|n| w.start(n));
    w.run(30 * SECOND);
    w.agree();
    w
}

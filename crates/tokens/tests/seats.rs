//! Seats under loss, doubling, reordering, restarts and clocks that disagree: never more in use than there are.

use micadyke_recovery::record::StoredState;
use micadyke_tokens::Nanos;
use micadyke_tokens::holder::{Holder, Output, Terms as HolderTerms, User};
use micadyke_tokens::ledger::{Ledger, Terms as LedgerTerms};
use micadyke_tokens::message::{Key, LeaseId, Op, Refusal, Reply, Request, Verdict};
use micadyke_tokens::store::{Record, State, read_log};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
const TTL: Nanos = 10 * SECOND;
const DRIFT: f64 = 0.01;
const SEATS: u32 = 3;

fn key(title: &str) -> Key {
    Key { title: title.into(), class: "spot".into() }
}

fn ledger_terms() -> LedgerTerms {
    LedgerTerms {
        ttl: TTL,
        seats: HashMap::from([("spot".into(), SEATS)]),
        most_holders: 64,
        most_leases: 10_000,
    }
}

fn holder_terms(name: &str) -> HolderTerms {
    HolderTerms {
        name: name.into(),
        drift: DRIFT,
        // Boxes end the sessions of a dead front after two seconds; with less than that here, seats were exceeded.
        stop: 2_100 * MS,
        retry: 200 * MS,
        retry_most: 2 * SECOND,
        keep: SECOND,
        settle: 2 * SECOND,
        most_leases: 100,
        reserve: false,
        spread: 0.2,
    }
}

/// What lies on a disk: what was kept at the start, and what came since.
#[derive(Debug, Default)]
struct Disk(State, Vec<Record>);

impl Disk {
    fn read(&self) -> State {
        let mut state = self.0.clone();
        self.1.iter().for_each(|r| state.apply(r.clone()));
        state
    }
}

/// A line of a log of old.
fn line(record: &Record) -> Vec<u8> {
    let body = serde_json::to_string(record).expect("JSON");
    format!("{:08x} {body}\n", crc32fast::hash(body.as_bytes())).into_bytes()
}

/// A front's process: its holder, its clock, what it keeps on disk, who uses seats.
struct Front {
    holder: Holder,
    /// Records as they were to be kept, in their order, or what is left of a store that was set aside.
    disk: Disk,
    /// Its clock: true time, this much faster, and offset.
    rate: f64,
    offset: Nanos,
    using: BTreeMap<User, Key>,
    waiting: BTreeSet<User>,
    next_user: u64,
    /// It takes losses of seats for nothing: a front that is broken on purpose.
    stubborn: bool,
    outbox: Vec<Request>,
    granted: u64,
}

impl Front {
    fn now(&self, t: Nanos) -> Nanos {
        (t as f64 * self.rate) as Nanos + self.offset
    }

    fn start(name: &str, disk: Disk, rate: f64, offset: Nanos, seed: u64, t: Nanos) -> Self {
        let state = disk.read();
        let disk = Disk(state.clone(), Vec::new());
        let held: Vec<(LeaseId, Key)> = state.held.into_iter().collect();
        let mut out = Vec::new();
        let now = (t as f64 * rate) as Nanos + offset;
        let holder = Holder::new(holder_terms(name), state.epoch, held, seed, now, &mut out);
        let mut front = Front {
            holder,
            disk,
            rate,
            offset,
            using: BTreeMap::new(),
            waiting: BTreeSet::new(),
            next_user: 0,
            stubborn: false,
            outbox: Vec::new(),
            granted: 0,
        };
        front.carry_out(out);
        front
    }

    fn carry_out(&mut self, out: Vec<Output>) {
        for o in out {
            match o {
                Output::Record(r) => self.disk.1.push(r),
                Output::Send(r) => self.outbox.push(r),
                Output::Granted(u) => {
                    self.granted += 1;
                    if self.waiting.remove(&u) {
                        self.using.insert(u, key("t"));
                    }
                }
                Output::Full(u) => drop(self.waiting.remove(&u)),
                Output::Extended(..) => {}
                Output::Lost(_) if self.stubborn => {}
                Output::Lost(u) => drop(self.using.remove(&u)),
            }
        }
    }

    fn tick(&mut self, t: Nanos) {
        let mut out = Vec::new();
        self.holder.tick(self.now(t), &mut out);
        self.carry_out(out);
    }

    fn acquire(&mut self, t: Nanos) {
        self.next_user += 1;
        let user = User(self.next_user);
        self.waiting.insert(user);
        let mut out = Vec::new();
        self.holder.acquire(self.now(t), key("t"), user, &mut out);
        self.carry_out(out);
    }

    fn release(&mut self, t: Nanos, user: User) {
        self.using.remove(&user);
        self.waiting.remove(&user);
        let mut out = Vec::new();
        self.holder.release(self.now(t), user, &mut out);
        self.carry_out(out);
    }

    fn reply(&mut self, t: Nanos, reply: &Reply) {
        let mut out = Vec::new();
        self.holder.reply(self.now(t), reply, &mut out);
        self.carry_out(out);
    }
}

/// Fronts, an issuer, and a network that loses, doubles, delays and reorders.
struct World {
    t: Nanos,
    random: StdRng,
    ledger: Ledger,
    issuer_rate: f64,
    fronts: Vec<Front>,
    to_issuer: Vec<(Nanos, usize, u64, Request)>,
    to_front: Vec<(Nanos, usize, u64, Reply)>,
    /// Starts of each front: an answer to a process that is gone reaches nobody.
    lives: Vec<u64>,
    /// Sessions that go on at boxes though their front is gone, until this time.
    ghosts: Vec<(Nanos, usize)>,
    worst: usize,
    restarts: u64,
    loss: f64,
    /// Share of restarts that find an empty disk: the front counts its epochs from the beginning.
    lost_disks: f64,
}

impl World {
    fn new(seed: u64, fronts: usize) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let t = 1_000 * SECOND;
        let issuer_rate = 1.0 + random.random_range(-DRIFT..DRIFT);
        let mut world = World {
            t,
            ledger: Ledger::new(ledger_terms(), (t as f64 * issuer_rate) as Nanos),
            issuer_rate,
            fronts: Vec::new(),
            to_issuer: Vec::new(),
            to_front: Vec::new(),
            lives: vec![0; fronts],
            ghosts: Vec::new(),
            worst: 0,
            restarts: 0,
            loss: 0.2,
            lost_disks: 0.0,
            random,
        };
        for i in 0..fronts {
            let (rate, offset) =
                (1.0 + world.random.random_range(-DRIFT..DRIFT), world.random.random_range(0..TTL * 9));
            world.fronts.push(Front::start(
                &format!("f{i}"),
                Disk::default(),
                rate,
                offset,
                seed + i as u64,
                t,
            ));
        }
        world
    }

    fn issuer_now(&self) -> Nanos {
        (self.t as f64 * self.issuer_rate) as Nanos
    }

    fn in_use(&self) -> usize {
        let ghosts = self.ghosts.iter().filter(|g| g.0 > self.t).map(|g| g.1).sum::<usize>();
        self.fronts.iter().map(|f| f.using.len()).sum::<usize>() + ghosts
    }

    fn step(&mut self, by: Nanos) {
        self.t += by;
        for i in 0..self.fronts.len() {
            self.fronts[i].tick(self.t);
            for request in std::mem::take(&mut self.fronts[i].outbox) {
                let copies = if self.random.random_bool(self.loss) {
                    0
                } else {
                    1 + usize::from(self.random.random_bool(0.2))
                };
                for _ in 0..copies {
                    let late = self.random.random_range(0..400) * MS;
                    let late = if self.random.random_bool(0.03) { late + 3 * SECOND } else { late };
                    self.to_issuer.push((self.t + late, i, self.lives[i], request.clone()));
                }
            }
        }
        let (t, now) = (self.t, self.issuer_now());
        let (due, later) = std::mem::take(&mut self.to_issuer).into_iter().partition(|m| m.0 <= t);
        self.to_issuer = later;
        let due: Vec<(Nanos, usize, u64, Request)> = due;
        for (_, i, life, request) in due {
            let reply = self.ledger.handle(now, &request);
            if !self.random.random_bool(self.loss) {
                let late = self.random.random_range(0..400) * MS;
                self.to_front.push((t + late, i, life, reply));
            }
        }
        self.ledger.tick(now);
        let (due, later) = std::mem::take(&mut self.to_front).into_iter().partition(|m| m.0 <= t);
        self.to_front = later;
        let due: Vec<(Nanos, usize, u64, Reply)> = due;
        for (_, i, life, reply) in due {
            if self.lives[i] == life {
                self.fronts[i].reply(t, &reply);
            }
        }
        self.worst = self.worst.max(self.in_use());
        // The issuer counts no holder twice: what it counts are leases, each once.
        assert!(self.ledger.in_use(&key("t")) <= SEATS);
    }

    /// Ends a front's process and starts it again; its sessions go on at boxes for a while. `tear`: records that were not
    /// on its disk yet. `flip`: its store can't be read.
    fn restart(&mut self, i: usize, tear: usize, flip: bool) {
        self.restarts += 1;
        let f = &mut self.fronts[i];
        let mut disk = std::mem::take(&mut f.disk);
        // Epochs are on the disk before anything is sent under them: a tear never reaches back over one.
        let safe = disk.1.iter().rposition(|r| matches!(r, Record::Epoch(_))).map_or(0, |p| p + 1);
        disk.1.truncate(disk.1.len().saturating_sub(tear).max(safe));
        if flip {
            disk = Disk(State::default().damaged(0), Vec::new());
        }
        if self.random.random_bool(self.lost_disks) {
            disk = Disk::default();
        }
        self.ghosts.push((self.t + 2 * SECOND, f.using.len()));
        let (rate, offset, stubborn, granted) = (f.rate, f.offset, f.stubborn, f.granted);
        self.lives[i] += 1;
        let seed = self.random.random();
        self.fronts[i] = Front::start(&format!("f{i}"), disk, rate, offset, seed, self.t);
        (self.fronts[i].stubborn, self.fronts[i].granted) = (stubborn, granted);
    }

    fn act(&mut self) {
        let i = self.random.random_range(0..self.fronts.len());
        let f = &mut self.fronts[i];
        match self.random.random_range(0..10) {
            0..=5 if f.waiting.len() < 4 => f.acquire(self.t),
            6 | 7 => {
                let users: Vec<User> = f.using.keys().copied().collect();
                if !users.is_empty() {
                    f.release(self.t, users[self.random.random_range(0..users.len())]);
                }
            }
            8 => {
                let users: Vec<User> = f.waiting.iter().copied().collect();
                if !users.is_empty() {
                    f.release(self.t, users[self.random.random_range(0..users.len())]);
                }
            }
            _ => {}
        }
    }
}

#[test]
fn a_thousand_restarts_never_exceed_the_seats() {
    let mut world = World::new(2026, 4);
    let mut steps = 0u64;
    while world.restarts < 1_000 {
        steps += 1;
        world.step(50 * MS);
        world.act();
        if steps.is_multiple_of(37) {
            let i = world.random.random_range(0..4);
            let (tear, flip) = (world.random.random_range(0..3), world.random.random_bool(0.2));
            world.restart(i, tear, flip);
        }
    }
    let granted: u64 = world.fronts.iter().map(|f| f.granted).sum();
    assert!(world.worst <= SEATS as usize, "{} in use, {SEATS} seats", world.worst);
    assert!(world.worst > 0 && granted > 0, "seats were used");
}

#[test]
fn an_issuer_that_lost_its_books_gives_no_seat_twice() {
    for seed in 0..40 {
        let mut world = World::new(seed, 3);
        for n in 0..2_000 {
            world.step(50 * MS);
            world.act();
            if n % 400 == 399 {
                world.ledger = Ledger::recovering(ledger_terms(), world.issuer_now(), DRIFT);
            }
        }
        assert!(world.worst <= SEATS as usize, "seed {seed}: {} in use", world.worst);
    }
}

/// An issuer that keeps its books, ended and begun anew with a disk of any age: the last one, one of long ago, none.
/// `careless`: it grants at once; the worst that was seen in use.
fn issuer_ends(seed: u64, careless: bool) -> usize {
    let mut world = World::new(seed, 3);
    (world.loss, world.lost_disks) = (0.1, 0.2);
    let mut disks = vec![StoredState::default()];
    let mut disk = StoredState::default();
    world.ledger = Ledger::kept(ledger_terms(), &disk, world.issuer_now(), DRIFT);
    for n in 0..2_400u32 {
        world.step(50 * MS);
        world.act();
        for change in world.ledger.changes() {
            disk.apply(change);
        }
        if n % 50 == 0 {
            disks.push(disk.clone());
        }
        if n % 300 == 299 {
            disk = disks[world.random.random_range(0..disks.len())].clone();
            if careless {
                world.ledger = Ledger::new(ledger_terms(), world.issuer_now());
            } else {
                world.ledger = Ledger::kept(ledger_terms(), &disk, world.issuer_now(), DRIFT);
            }
        }
        if n % 170 == 77 {
            let (i, tear) = (world.random.random_range(0..3), world.random.random_range(0..20));
            world.restart(i, tear, n % 3 == 0);
        }
    }
    let granted: u64 = world.fronts.iter().map(|f| f.granted).sum();
    assert!(granted > 0, "seats were used");
    world.worst
}

#[test]
fn an_issuer_gives_no_seat_twice_however_old_its_disk_is() {
    for seed in 0..40 {
        let worst = issuer_ends(seed, false);
        assert!(worst <= SEATS as usize, "seed {seed}: {worst} in use");
    }
    assert!((0..20).any(|seed| issuer_ends(seed, true) > SEATS as usize), "one that does not wait is seen");
}

#[test]
fn what_an_issuer_kept_tells_starts_apart_and_holds_seats_for_those_who_had_them() {
    let mut ledger = Ledger::kept(ledger_terms(), &StoredState::default(), 0, 0.0);
    let mut disk = StoredState::default();
    let grants = |n: u64| (0..n).map(|n| Op::Grant(LeaseId(n), key("t"))).collect();
    let ask = |holder: &str, epoch, start, seq, resume, ops| Request {
        holder: holder.into(),
        epoch,
        start,
        seq,
        resume,
        ops,
    };
    ledger.tick(TTL);
    let had = ledger.handle(TTL, &ask("a", 4, 7, 1, Vec::new(), grants(u64::from(SEATS))));
    assert_eq!(had.result, Ok(vec![Verdict::Held; SEATS as usize]));
    ledger.changes().into_iter().for_each(|c| disk.apply(c));
    assert_eq!((disk.ttl, disk.leases.len(), disk.holders["a"]), (Some(TTL), SEATS as usize, (4, 7)));
    let mut ledger = Ledger::kept(ledger_terms(), &disk, 0, 0.0);
    let claim = || vec![(LeaseId(0), key("t"))];
    // Former starts, a copy of this one, another's claim, its own, in the midst of its epoch.
    let table = [
        (ask("a", 3, 1, 1, claim(), Vec::new()), Err(Refusal::Fenced { epoch: 4 })),
        (ask("a", 4, 8, 1, claim(), Vec::new()), Err(Refusal::Fenced { epoch: 4 })),
        (ask("b", 1, 1, 1, claim(), Vec::new()), Ok(vec![Verdict::Gone])),
        (ask("a", 4, 7, 9, claim(), grants(1)), Ok(vec![Verdict::Held, Verdict::Wait])),
    ];
    for (n, (request, due)) in table.into_iter().enumerate() {
        assert_eq!(ledger.handle(1, &request).result, due, "case {n}");
    }
    // What nobody claimed is free when no lease of before can live.
    ledger.tick(TTL);
    assert_eq!((ledger.leases(), ledger.recovers_until()), (1, None));
}

#[test]
fn a_front_that_does_not_stop_in_time_is_seen() {
    let mut world = World::new(5, 3);
    world.fronts.iter_mut().for_each(|f| f.stubborn = true);
    for n in 0..3_000 {
        // For a while nothing gets through: all leases run out, and these fronts play on.
        let cut = (1_000..1_400).contains(&n);
        world.loss = if cut { 1.0 } else { 0.2 };
        world.step(50 * MS);
        match n {
            0..1_000 => world.act(),
            // Then nobody leaves, and more want to come.
            1_400.. if n % 20 == 0 => (0..3).for_each(|i| world.fronts[i].acquire(world.t)),
            _ => {}
        }
    }
    let seen: Vec<_> = world
        .fronts
        .iter()
        .map(|f| (f.granted, f.using.len(), f.waiting.len(), f.holder.len(), f.holder.counts()))
        .collect();
    assert!(world.worst > SEATS as usize, "the check can fail: {} {seen:?}", world.worst);
}

#[test]
fn a_lost_answer_is_asked_for_again_and_counted_once() {
    let mut ledger = Ledger::new(ledger_terms(), 0);
    let ask = |seq, ops| Request { holder: "a".into(), epoch: 1, start: 1, seq, resume: Vec::new(), ops };
    let first = ask(1, vec![Op::Grant(LeaseId(1), key("t"))]);
    let answer = ledger.handle(0, &first);
    assert_eq!(answer, ledger.handle(SECOND, &first), "the same answer");
    assert_eq!(ledger.in_use(&key("t")), 1);
    let stale = ledger.handle(SECOND, &ask(3, Vec::new()));
    assert_eq!(stale.result, Err(Refusal::Stale), "a gap");
    for n in 2..=4u64 {
        let r = ledger.handle(SECOND, &ask(n, vec![Op::Grant(LeaseId(n), key("t"))]));
        let due = if n <= 3 { Verdict::Held } else { Verdict::Full };
        assert_eq!(r.result, Ok(vec![due]));
    }
    assert_eq!(ledger.handle(SECOND, &first).result, Err(Refusal::Stale), "an old double changes nothing");
    // A later start fences the earlier one, and resumes what it says it has.
    let next = Request {
        holder: "a".into(),
        epoch: 2,
        start: 2,
        seq: 1,
        resume: vec![(LeaseId(2), key("t"))],
        ops: Vec::new(),
    };
    assert_eq!(ledger.handle(2 * SECOND, &next).result, Ok(vec![Verdict::Held]));
    let zombie = ask(5, vec![Op::Renew(LeaseId(1), key("t"))]);
    assert_eq!(ledger.handle(2 * SECOND, &zombie).result, Err(Refusal::Fenced { epoch: 2 }));
    assert_eq!(ledger.in_use(&key("t")), 3, "what was not resumed runs out, no earlier");
    ledger.tick(2 * SECOND + TTL);
    assert_eq!(ledger.in_use(&key("t")), 0);
    let other = Request {
        holder: "b".into(),
        epoch: 1,
        start: 1,
        seq: 1,
        resume: vec![(LeaseId(9), key("t"))],
        ops: Vec::new(),
    };
    assert_eq!(
        ledger.handle(2 * SECOND + TTL, &other).result,
        Ok(vec![Verdict::Gone]),
        "nothing is resumed that was not had"
    );
}

#[test]
fn a_start_that_lost_its_store_is_not_given_the_answers_of_the_one_before() {
    let mut ledger = Ledger::new(ledger_terms(), 0);
    let mut out = Vec::new();
    let ask = |out: &mut Vec<Output>| {
        let request = out.iter().find_map(|o| if let Output::Send(r) = o { Some(r.clone()) } else { None });
        out.clear();
        request.expect("a message")
    };
    let mut first = Holder::new(holder_terms("a"), 0, Vec::new(), 1, 0, &mut out);
    first.acquire(0, key("t"), User(1), &mut out);
    ledger.handle(0, &ask(&mut out));
    // Its lease is over, its only answer is remembered; all seats are another's.
    ledger.tick(2 * TTL);
    let others = (1..=u64::from(SEATS)).map(|n| Op::Grant(LeaseId(n), key("t"))).collect();
    let other = Request { holder: "b".into(), epoch: 1, start: 5, seq: 1, resume: Vec::new(), ops: others };
    ledger.handle(2 * TTL, &other);
    let mut second = Holder::new(holder_terms("a"), 0, Vec::new(), 2, 2 * TTL, &mut out);
    second.acquire(2 * TTL, key("t"), User(1), &mut out);
    let request = ask(&mut out);
    assert_eq!((request.epoch, request.seq), (1, 1), "the same epoch and number as the first start's");
    let reply = ledger.handle(2 * TTL, &request);
    assert_eq!(reply.result, Err(Refusal::Fenced { epoch: 1 }));
    second.reply(2 * TTL, &reply, &mut out);
    assert!(
        out.contains(&Output::Full(User(1))) && out.contains(&Output::Record(Record::Epoch(2))),
        "{out:?}"
    );
    out.clear();
    second.acquire(2 * TTL, key("t"), User(2), &mut out);
    assert_eq!(ledger.handle(2 * TTL, &ask(&mut out)).result, Ok(vec![Verdict::Full]));
}

#[test]
fn a_front_that_slept_for_a_minute_does_not_believe_its_leases() {
    let mut ledger = Ledger::new(ledger_terms(), 0);
    let mut out = Vec::new();
    let mut holder = Holder::new(holder_terms("a"), 0, Vec::new(), 1, 0, &mut out);
    let answer = |out: &mut Vec<Output>, ledger: &mut Ledger, holder: &mut Holder, now| {
        let request = out.iter().find_map(|o| if let Output::Send(r) = o { Some(r.clone()) } else { None });
        out.clear();
        let reply = ledger.handle(now, &request.expect("a message"));
        holder.reply(now, &reply, out);
    };
    holder.acquire(0, key("t"), User(1), &mut out);
    answer(&mut out, &mut ledger, &mut holder, 0);
    assert!(out.contains(&Output::Granted(User(1))));
    out.clear();
    holder.release(SECOND / 2, User(1), &mut out);
    // It wakes, and the first thing that happens is a request, before any timer: the kept seat is not used.
    holder.acquire(60 * SECOND, key("t"), User(2), &mut out);
    assert!(!out.contains(&Output::Granted(User(2))), "{out:?}");
    assert_eq!(holder.held(60 * SECOND).count(), 0);
    // One that plays is told of at the first tick.
    let mut holder = Holder::new(holder_terms("b"), 0, Vec::new(), 1, 0, &mut out);
    out.clear();
    holder.acquire(0, key("t"), User(3), &mut out);
    answer(&mut out, &mut ledger, &mut holder, 0);
    holder.tick(60 * SECOND, &mut out);
    assert!(out.contains(&Output::Lost(User(3))));
}

#[test]
fn ten_thousand_leases_send_few_messages() {
    let mut terms = ledger_terms();
    (terms.ttl, terms.most_leases) = (30 * SECOND, 100_000);
    terms.seats.insert("spot".into(), 100_000);
    let mut ledger = Ledger::new(terms, 0);
    let mut out = Vec::new();
    let holder_terms = HolderTerms { most_leases: 20_000, ..holder_terms("f") };
    let mut holder = Holder::new(holder_terms, 0, Vec::new(), 1, 0, &mut out);
    let pump = |holder: &mut Holder, ledger: &mut Ledger, now, out: &mut Vec<Output>| {
        while let Some(p) = out.iter().position(|o| matches!(o, Output::Send(_))) {
            let Output::Send(request) = out.swap_remove(p) else { return };
            let reply = ledger.handle(now, &request);
            holder.reply(now, &reply, out);
        }
        out.clear();
    };
    for n in 0..10_000 {
        holder.acquire(0, key(&format!("t{}", n % 500)), User(n), &mut out);
    }
    pump(&mut holder, &mut ledger, 0, &mut out);
    assert_eq!(holder.held(0).count(), 10_000);
    let before = holder.counts().messages;
    for ms in (0..60_000u64).step_by(100) {
        holder.tick(ms * MS, &mut out);
        pump(&mut holder, &mut ledger, ms * MS, &mut out);
    }
    let sent = holder.counts().messages - before;
    assert_eq!(holder.held(60 * SECOND).count(), 10_000, "all renewed in time");
    assert!(sent < 700, "{sent} messages in a minute: one for each tick at most");
    assert_eq!(holder.counts().lost, 0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn seats_are_never_exceeded(
        seed in any::<u64>(), loss in 0.0f64..0.7, restarts in 0u32..12, lost_disks in 0.0f64..0.5,
    ) {
        let mut world = World::new(seed >> 8, 3);
        (world.loss, world.lost_disks) = (loss, lost_disks);
        for n in 0..1_500u32 {
            world.step(50 * MS);
            world.act();
            if restarts > 0 && n % (1_500 / restarts) == 77 {
                let i = world.random.random_range(0..3);
                world.restart(i, (n % 50) as usize / 10, n % 3 == 0);
            }
        }
        prop_assert!(world.worst <= SEATS as usize, "{} in use", world.worst);
    }

    #[test]
    fn a_log_that_is_cut_or_flipped_claims_nothing_it_should_not(cut in 0usize..400, flip in 0usize..400, bit in 0u32..8) {
        use micadyke_tokens::store::Record::{Epoch, Gone, Held};
        let records = [Epoch(3), Held(LeaseId(1), key("a")), Held(LeaseId(2), key("b")), Gone(LeaseId(1)), Epoch(4),
            Held(LeaseId(3), key("c")), Gone(LeaseId(2))];
        let bytes: Vec<u8> = records.iter().flat_map(line).collect();
        let whole = read_log(&bytes);
        prop_assert_eq!(&whole, &State { epoch: 4, held: BTreeMap::from([(LeaseId(3), key("c"))]), damaged_at: None });
        let torn = read_log(&bytes[..cut % bytes.len()]);
        prop_assert!(torn.damaged_at.is_none() || (torn.held.is_empty() && torn.epoch > 4));
        let mut flipped = bytes.clone();
        let at = flip % bytes.len();
        flipped[at] ^= 1 << bit;
        let read = read_log(&flipped);
        prop_assert!(read.damaged_at.is_some() && read.held.is_empty() && read.epoch > 4);
    }
}

#[test]
fn a_restart_takes_up_all_that_it_held_the_wanted_first() {
    let held: Vec<(LeaseId, Key)> =
        (0..100_000u64).map(|n| (LeaseId(n), key(&format!("t{}", n % 10)))).collect();
    let terms = LedgerTerms {
        seats: HashMap::from([("spot".into(), 20_000)]),
        most_leases: 200_000,
        ..ledger_terms()
    };
    let mut ledger = Ledger::recovering(terms, 0, DRIFT);
    let mut out = Vec::new();
    let terms = HolderTerms { most_leases: 200_000, ..holder_terms("f") };
    let mut holder = Holder::new(terms, 7, held, 1, 0, &mut out);
    let (mut sizes, mut titles): (Vec<usize>, Vec<String>) = Default::default();
    // While the first message is out, a session wants one of the last titles.
    holder.acquire(0, key("t8"), User(1), &mut out);
    while let Some(at) = out.iter().position(|o| matches!(o, Output::Send(_))) {
        let Output::Send(request) = out.swap_remove(at) else { break };
        sizes.push(request.resume.len());
        titles.extend(request.resume.first().map(|r| r.1.title.to_string()));
        let reply = ledger.handle(0, &request);
        out.clear();
        holder.reply(0, &reply, &mut out);
    }
    assert_eq!((sizes.iter().sum::<usize>(), ledger.leases()), (100_000, 100_000));
    assert!(sizes.len() > 10 && sizes.iter().all(|n| *n <= 8_192), "{sizes:?}");
    assert_eq!(titles[..2], ["t0", "t8"], "the title that a session waits for goes before the others");
    assert_eq!(holder.held(0).filter(|h| h.1.is_none()).count(), 100_000);
    // All rest until nobody of the former start can use them.
    assert!(!holder.has_idle(&key("t1")));
    out.clear();
    holder.tick(3 * SECOND, &mut out);
    assert!(!holder.has_idle(&key("t1")));
}

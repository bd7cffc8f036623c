//! Seats: the timer wheel beside a sorted map and a heap, the ledger's rate, memory a lease, what a seat adds.

use micadyke_recovery::store::Store;
use micadyke_tokens::holder::{Holder, Output, Terms as HolderTerms, User};
use micadyke_tokens::ledger::{Ledger, Terms};
use micadyke_tokens::message::{Key, LeaseId};
use micadyke_tokens::store::State;
use micadyke_tokens::wheel::Wheel;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Instant;

const MS: u64 = 1_000_000;

/// Leases that are renewed: an entry is put far out, comes out, and is put again. Million operations a second.
fn timers(n: usize, mut insert: impl FnMut(u64, u32), mut pop: impl FnMut(u64, &mut Vec<u32>)) -> f64 {
    let mut random = StdRng::seed_from_u64(1);
    for i in 0..n {
        insert(random.random_range(0..30_000) * MS, i as u32);
    }
    let (began, mut done, mut out) = (Instant::now(), 0usize, Vec::new());
    for ms in 0..60_000u64 {
        pop(ms * MS, &mut out);
        done += out.len();
        for entry in out.drain(..) {
            insert((ms + 10_000 + random.random_range(0..10_000)) * MS, entry);
        }
    }
    done as f64 / began.elapsed().as_secs_f64() / 1e6
}

fn wheel(n: usize) -> f64 {
    let wheel = std::cell::RefCell::new(Wheel::new(0));
    timers(n, |at, e| wheel.borrow_mut().insert(at, e), |now, out| wheel.borrow_mut().advance(now, out))
}

fn map(n: usize) -> f64 {
    let map = std::cell::RefCell::new((BTreeMap::new(), 0u64));
    let insert = |at, e| {
        let mut m = map.borrow_mut();
        m.1 += 1;
        let id = m.1;
        m.0.insert((at, id), e);
    };
    timers(n, insert, |now, out: &mut Vec<u32>| {
        let m = &mut map.borrow_mut().0;
        while m.first_key_value().is_some_and(|(k, _)| k.0 <= now) {
            out.extend(m.pop_first().map(|e| e.1));
        }
    })
}

fn heap(n: usize) -> f64 {
    let heap = std::cell::RefCell::new(BinaryHeap::new());
    timers(
        n,
        |at, e| heap.borrow_mut().push(Reverse((at, e))),
        |now, out| {
            let mut h = heap.borrow_mut();
            while h.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                out.extend(h.pop().map(|Reverse((_, e))| e));
            }
        },
    )
}

fn holder_terms() -> HolderTerms {
    HolderTerms {
        name: "f".into(),
        drift: 0.001,
        stop: 1_000 * MS,
        retry: 200 * MS,
        retry_most: 2_000 * MS,
        keep: 0,
        settle: 0,
        most_leases: 10_000_000,
        reserve: false,
        spread: 0.2,
    }
}

/// A pass through an operation on the ledger.
fn ledger_rate(leases: u64) -> (f64, f64) {
    let terms = Terms {
        ttl: 30_000 * MS,
        seats: [("c".into(), 1_000_000)].into(),
        most_holders: 10,
        most_leases: 10_000_000,
    };
    let mut ledger = Ledger::new(terms, 0);
    let mut out = Vec::new();
    let before = resident();
    let mut holder = Holder::new(holder_terms(), 0, Vec::new(), 1, 0, &mut out);
    let (began, mut done) = (Instant::now(), 0u64);
    for n in 0..leases {
        let key = Key { title: format!("t{}", n % 1_000).as_str().into(), class: "c".into() };
        holder.acquire(0, key, User(n), &mut out);
        while let Some(p) = out.iter().position(|o| matches!(o, Output::Send(_))) {
            let Output::Send(request) = out.swap_remove(p) else { break };
            done += request.ops.len() as u64;
            let reply = ledger.handle(0, &request);
            holder.reply(0, &reply, &mut out);
        }
        out.clear();
    }
    let rate = done as f64 / began.elapsed().as_secs_f64();
    (rate, (resident() - before) * 1024.0 / leases as f64)
}

fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("0");
    line.trim().trim_end_matches("kB").trim().parse().unwrap_or(0.0)
}

/// Reading a store of held leases, and taking them up with an issuer that has lost its books; milliseconds.
fn recovery(leases: u64) -> (f64, f64) {
    let key = |n: u64| Key { title: format!("t{}", n % 1_000).as_str().into(), class: "c".into() };
    let held = (0..leases).map(|n| (LeaseId(n), key(n))).collect();
    let file = std::env::temp_dir().join(format!("micadyke-seats-{}.store", std::process::id()));
    let store = Store::open(&file).expect("a store").store;
    store.commit(&State { epoch: 1, held, damaged_at: None }.changes()).expect("kept");
    drop(store);
    let began = Instant::now();
    let state = State::from(&Store::open(&file).expect("the store").state);
    let reading = began.elapsed().as_secs_f64() * 1e3;
    let _ = std::fs::remove_file(&file);
    let (ttl, seats) = (30_000 * MS, [("c".into(), 1_000_000)].into());
    let mut ledger =
        Ledger::recovering(Terms { ttl, seats, most_holders: 10, most_leases: 10_000_000 }, 0, 0.01);
    let (began, mut out) = (Instant::now(), Vec::new());
    let mut holder =
        Holder::new(holder_terms(), state.epoch, state.held.into_iter().collect(), 1, 0, &mut out);
    while let Some(at) = out.iter().position(|o| matches!(o, Output::Send(_))) {
        let Output::Send(request) = out.swap_remove(at) else { break };
        let wire = serde_json::to_vec(&request).expect("JSON");
        let reply = ledger.handle(0, &serde_json::from_slice(&wire).expect("JSON"));
        out.clear();
        holder.reply(0, &reply, &mut out);
    }
    assert_eq!((holder.len() as u64, ledger.leases() as u64), (leases, leases), "all are taken up again");
    (reading, began.elapsed().as_secs_f64() * 1e3)
}

/// Sessions that come at a rate and last ten seconds, on seats of an issuer that answers after `answer`: the part that
/// waited for it, and seats idle in the mean over those in use. `keep`: a seat given back is kept for so long.
fn idle_and_waits(rate: f64, answer: u64, keep: u64, reserve: bool) -> (f64, f64) {
    let terms = Terms {
        ttl: 30_000 * MS,
        seats: [("c".into(), 1_000_000)].into(),
        most_holders: 10,
        most_leases: 10_000_000,
    };
    let (mut ledger, mut out, mut random) = (Ledger::new(terms, 0), Vec::new(), StdRng::seed_from_u64(3));
    let mut holder =
        Holder::new(HolderTerms { keep, reserve, ..holder_terms() }, 0, Vec::new(), 1, 0, &mut out);
    let gap = rand_distr::Exp::new(rate).expect("a rate");
    let key = Key { title: "t".into(), class: "c".into() };
    let mut next = 0;
    let mut ends: BinaryHeap<Reverse<(u64, u64)>> = BinaryHeap::new();
    let mut net: Vec<(u64, micadyke_tokens::message::Reply)> = Vec::new();
    let (mut asked, mut at_once, mut idle, mut used, mut n) = (0u64, 0u64, 0u64, 0u64, 0u64);
    for t in (0..60_000 * MS).step_by(MS as usize) {
        for (_, reply) in net.extract_if(.., |m| m.0 <= t).collect::<Vec<_>>() {
            holder.reply(t, &reply, &mut out);
        }
        holder.tick(t, &mut out);
        while ends.peek().is_some_and(|Reverse(e)| e.0 <= t) {
            let Some(Reverse((_, user))) = ends.pop() else { break };
            holder.release(t, User(user), &mut out);
        }
        while next <= t {
            next += (rand_distr::Distribution::sample(&gap, &mut random) * 1e9) as u64;
            n += 1;
            let before = out.len();
            holder.acquire(t, key.clone(), User(n), &mut out);
            let granted = out[before..].contains(&Output::Granted(User(n)));
            ends.push(Reverse((t + 10_000 * MS, n)));
            if t > 20_000 * MS {
                (asked, at_once) = (asked + 1, at_once + u64::from(granted));
            }
        }
        for o in out.drain(..) {
            if let Output::Send(request) = o {
                net.push((t + answer, ledger.handle(t, &request)));
            }
        }
        if t > 20_000 * MS && t.is_multiple_of(100 * MS) {
            let (free, all) = holder.held(t).fold((0, 0), |c, h| (c.0 + u64::from(h.1.is_none()), c.1 + 1));
            (idle, used) = (idle + free, used + all - free);
        }
    }
    (1.0 - at_once as f64 / asked.max(1) as f64, idle as f64 / used.max(1) as f64)
}

fn reserves() {
    println!("simulated: set-ups that waited for the issuer, and seats idle over seats in use");
    for (rate, answer) in [(0.2, 5), (2.0, 5), (20.0, 5), (200.0, 5), (200.0, 100)] {
        print!("  {rate:>5} sessions a second, issuer answers in {answer:>3} ms:");
        for (name, keep, reserve) in [
            ("nothing kept", 0, false),
            ("kept 2 s", 2_000, false),
            ("by demand", 0, true),
            ("both", 2_000, true),
        ] {
            let (waited, idle) = idle_and_waits(rate, answer * MS, keep * MS, reserve);
            print!("  {name} {:.0}%, {:.1}%;", waited * 100.0, idle * 100.0);
        }
        println!();
    }
}

/// Prints all of it.
pub fn measure() {
    let (reading, resuming) = recovery(100_000);
    println!(
        "a restart with 100,000 seats held: log read in {reading:.0} ms, taken up again in {resuming:.0} ms"
    );
    reserves();
    let (rate, bytes) = ledger_rate(200_000);
    println!(
        "leases, holder and ledger together, one operation a message: {rate:.0} grants a second, {bytes:.0} bytes a lease (both sides)"
    );
    println!("timers of renewed leases, million entries a second:");
    for n in [1_000, 10_000, 100_000, 1_000_000] {
        let (w, m, h) = (wheel(n), map(n), heap(n));
        println!(
            "  {n:>8} waiting: wheel {w:>6.2}, BTreeMap {m:>6.2}, BinaryHeap {h:>6.2}; wheel {:.1} times the better",
            w / m.max(h)
        );
    }
}

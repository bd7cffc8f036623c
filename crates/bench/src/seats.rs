//! Seats: the timer wheel beside a sorted map and a heap, the ledger's rate, memory a lease, what a seat adds.

use micadyke_tokens::holder::{Holder, Output, Terms as HolderTerms, User};
use micadyke_tokens::ledger::{Ledger, Terms};
use micadyke_tokens::message::{Key, LeaseId};
use micadyke_tokens::store::{Record, encode, read};
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

/// Reading a log of held leases, and taking them up with an issuer that has lost its books; milliseconds.
fn recovery(leases: u64) -> (f64, f64) {
    let key = |n: u64| Key { title: format!("t{}", n % 1_000).as_str().into(), class: "c".into() };
    let records = (0..leases).map(|n| Record::Held(LeaseId(n), key(n)));
    let bytes: Vec<u8> = std::iter::once(Record::Epoch(1)).chain(records).flat_map(|r| encode(&r)).collect();
    let began = Instant::now();
    let state = read(&bytes);
    let reading = began.elapsed().as_secs_f64() * 1e3;
    let (ttl, seats) = (30_000 * MS, [("c".into(), 1_000_000)].into());
    let mut ledger =
        Ledger::recovering(Terms { ttl, seats, most_holders: 10, most_leases: 10_000_000 }, 0, 0.01);
    let (began, mut out) = (Instant::now(), Vec::new());
    let mut holder =
        Holder::new(holder_terms(), state.epoch, state.held.into_iter().collect(), 1, 0, &mut out);
    let request = out.into_iter().find_map(|o| if let Output::Send(r) = o { Some(r) } else { None });
    let wire = serde_json::to_vec(&request.expect("it resumes")).expect("JSON");
    let request = serde_json::from_slice(&wire).expect("JSON");
    let reply = ledger.handle(0, &request);
    holder.reply(0, &reply, &mut Vec::new());
    (reading, began.elapsed().as_secs_f64() * 1e3)
}

/// Prints all of it.
pub fn measure() {
    let (reading, resuming) = recovery(65_536);
    println!(
        "a restart with 65,536 seats held: log read in {reading:.0} ms, taken up again in {resuming:.0} ms"
    );
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

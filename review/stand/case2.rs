//! Discovery is cut off for some twelve seconds and comes back. Then a server drains.

use crate::With;
use crate::world::{Bus, Link, Ms, Node, Record, Seen, Server, Viewer, free_port, sleep};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// How long discovery may be out of reach (the site file's `discovery_down`: 5.3 to 17 s).
const OUTAGE: std::ops::RangeInclusive<Ms> = 5_300..=17_000;
/// It is back so long after the last word that the front node read.
const BACK: Ms = 15_100;
/// Nothing new reaches a server later than this after it was told that it drains; every time limit is 50 ms longer.
const GRACE: Ms = 250 + 50;
/// How long the case watches after the event.
const WATCH: Ms = 6_000;

pub fn run(with: &With, record: &Record) -> Vec<String> {
    let servers: Vec<Server> = ["s-a", "s-b"].iter().map(|id| Server::start(id, 3_000, record)).collect();
    let bus = Bus::start(record);
    let rows: Vec<String> = servers.iter().map(|s| s.row("up")).collect();
    bus.tell(true, &rows, "s-a and s-b are up");
    let way = Link::start("discovery", bus.addr, record);
    let mut node = Node::start(with, free_port(), way.addr, &bus.known(), record);

    // Viewers: a set-up every 40 ms, by four connections in turn.
    let done = Arc::new(AtomicBool::new(false));
    let (told, over, to) = (record.clone(), done.clone(), node.listen);
    let viewers = thread::spawn(move || {
        let connect = |i: usize| Viewer::connect(&format!("viewer {i}"), to, &told);
        let mut all: Vec<Viewer> = (0..4).filter_map(connect).collect();
        if all.len() < 4 {
            crate::cannot_run("viewers can't connect");
        }
        let mut id = 0x1000;
        while !over.load(Ordering::SeqCst) {
            id += 1;
            let title = format!("0f3a9c21e0b4d6{:02x}", id % 5);
            all[id as usize % 4].ask(id, id % 3 == 0, &title, 4_000);
            sleep(40);
        }
        // Answers that are still owed.
        sleep(4_500);
        drop(all);
    });
    sleep(2_000);

    // Cut off between two words of the bus.
    let before = bus.words();
    while bus.words() == before {
        sleep(1);
    }
    let last_word = record.note("the bus has written a comment");
    record.until(last_word + 150);
    if with.trouble {
        let began = way.cut();
        record.until(last_word + BACK);
        let ended = way.heal();
        record.note(format!("discovery was cut off for {} ms", ended - began));
        if !OUTAGE.contains(&(ended - began)) {
            crate::cannot_run("the outage was not as long as it is to be");
        }
    } else {
        record.until(last_word + BACK);
    }
    sleep(100);
    let told_at = bus.tell(false, &[servers[1].row("draining")], "s-b drains");
    record.until(told_at + WATCH);
    if !node.lives() {
        crate::cannot_run("the front node ended");
    }
    done.store(true, Ordering::SeqCst);
    if viewers.join().is_err() {
        crate::cannot_run("the viewers failed");
    }
    node.kill();

    let all = record.all();
    let sent: Vec<(Ms, u64)> = all
        .iter()
        .filter_map(|(at, s)| match s {
            Seen::Run { id, server, .. } if server == "s-b" => Some((*at, *id)),
            _ => None,
        })
        .collect();
    if !sent.iter().any(|s| s.0 < told_at) {
        crate::cannot_run("no set-up ever went to s-b");
    }
    let later = |by: Ms| sent.iter().filter(|s| s.0 > told_at + by).count();
    record.note(format!(
        "set-ups that s-b read after its drain was told: {}; later than {GRACE} ms: {}",
        later(0),
        later(GRACE),
    ));
    let late = sent.iter().filter(|s| s.0 > told_at + GRACE);
    late.map(|(at, id)| {
        format!("drain: {id:016x} was sent to s-b {} ms after the bus had told that it drains", at - told_at)
    })
    .collect()
}

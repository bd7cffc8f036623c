//! A front node is restarted as planned; sessions come to their end while there is none.

use crate::With;
use crate::world::{Bus, Ms, Node, Record, Seen, Server, Viewer, free_port, sleep};
use std::collections::{BTreeMap, BTreeSet};

/// Sessions that play when the front node is restarted.
const SESSIONS: u64 = 150;
/// One in so many ends while there is no front node.
const ONE_IN: u64 = 5;
/// The front node ends within this after SIGTERM (the longest deadline, 3 s where it is longer, and 0.7 s; then SIGKILL).
const ENDS: Ms = 4_700;
/// How long there is no front node.
const DOWN: Ms = 1_500;
/// What stood and is over is released within this of its end where no release could be sent; every limit is 50 ms longer.
const RELEASE: Ms = 8_000 + 50;
/// Where a release could be sent at once: within this.
const RELEASE_SENT: Ms = 1_000 + 50;

pub fn run(with: &With, record: &Record) -> Vec<String> {
    let servers: Vec<Server> =
        ["s-a", "s-b", "s-c"].iter().map(|id| Server::start(id, 3_600_000, record)).collect();
    let bus = Bus::start(record);
    let rows: Vec<String> = servers.iter().map(|s| s.row("up")).collect();
    bus.tell(true, &rows, "s-a, s-b and s-c are up");
    let listen = free_port();
    let mut node = Node::start(with, listen, bus.addr, &bus.known(), record);
    let connect = |name: &str| {
        Viewer::connect(name, listen, record).unwrap_or_else(|| crate::cannot_run("a viewer can't connect"))
    };
    let title = |id: u64| format!("0f3a9c21e0b4d6{:02x}", id % 8);
    let paid = |id: u64| id % 3 == 0;

    // The sessions are set up as usual, by four connections.
    let mut before: Vec<Viewer> = (0..4).map(|i| connect(&format!("viewer {i}"))).collect();
    let ids: Vec<u64> = (0x2001..=0x2000 + SESSIONS).collect();
    for id in &ids {
        before[*id as usize % 4].ask(*id, paid(*id), &title(*id), 4_000);
        sleep(25);
    }
    sleep(300);
    let at: BTreeMap<u64, usize> = servers
        .iter()
        .enumerate()
        .flat_map(|(i, s)| s.sessions().into_iter().map(move |id| (id, i)))
        .collect();
    if at.len() < SESSIONS as usize / 2 {
        crate::cannot_run("too few sessions play");
    }
    // Those that are over while there is no front node; and some that end later, to see that releases arrive.
    let playing: Vec<u64> = at.keys().copied().collect();
    let (mut ending, mut later) = (BTreeSet::new(), BTreeSet::new());
    for (n, id) in playing.iter().enumerate() {
        if n as u64 % ONE_IN == ONE_IN - 1 {
            ending.insert(*id);
        } else if n as u64 % ONE_IN == 0 {
            later.insert(*id);
        }
    }

    let mut viewers = if with.trouble {
        node.signal("-TERM");
        record.note("SIGTERM goes to the front node");
        let asked_to_end = record.now();
        while node.lives() {
            if record.now() > asked_to_end + ENDS {
                crate::cannot_run("the front node did not end after SIGTERM");
            }
            sleep(5);
        }
        let ended = record.note("the front node has ended");
        drop(before);
        for (n, id) in ending.iter().enumerate() {
            servers[at[id]].ends_at(*id, ended + 200 + 30 * n as Ms);
        }
        record.until(ended + DOWN);
        node = Node::start(with, listen, bus.addr, &bus.known(), record);
        // The platform was told of no end: it hands over all that it knows to play, as soon as the test has been passed.
        let mut viewers: Vec<Viewer> = (4..8).map(|i| connect(&format!("viewer {i}"))).collect();
        let began = record.now();
        for (n, id) in playing.iter().enumerate() {
            let by = n * viewers.len() / playing.len();
            viewers[by].hand_over(*id, paid(*id), &title(*id), &servers[at[id]].id);
        }
        record.note(format!(
            "{} sessions were handed over within {} ms",
            playing.len(),
            record.now() - began
        ));
        viewers
    } else {
        let now = record.now();
        for (n, id) in ending.iter().enumerate() {
            servers[at[id]].ends_at(*id, now + 200 + 30 * n as Ms);
        }
        record.until(now + DOWN);
        before
    };
    // It serves: new sessions, and those that end now are released.
    let now = record.now();
    for (n, id) in later.iter().enumerate() {
        servers[at[id]].ends_at(*id, now + 1_000 + 50 * n as Ms);
    }
    for id in 0x3001..=0x3014 {
        viewers[id as usize % 4].ask(id, paid(id), &title(id), 4_000);
        sleep(100);
    }
    let last_end =
        record.all().iter().filter(|s| matches!(s.1, Seen::Over { .. })).map(|s| s.0).max().unwrap_or(now);
    record.until(last_end.max(now) + RELEASE + 1_000);
    if !node.lives() {
        crate::cannot_run("the front node ended");
    }
    let all = record.all();
    node.kill();

    let mut released: BTreeMap<u64, Ms> = BTreeMap::new();
    for (at, seen) in &all {
        if let Seen::Released { id, .. } = seen {
            released.entry(*id).or_insert(*at);
        }
    }
    let (mut broken, mut seen_over) = (Vec::new(), 0);
    for (over_at, seen) in &all {
        let Seen::Over { id, server } = seen else { continue };
        seen_over += 1;
        let by = if ending.contains(id) && with.trouble { RELEASE } else { RELEASE_SENT };
        match released.get(id) {
            Some(at) if *at <= over_at + by => {}
            Some(at) => broken.push(format!("lost: {id:016x} was over at {server} and was released {} ms later", at - over_at)),
            None => broken.push(format!(
                "lost: {id:016x} was over at {server}, its release was written to the front node, and its viewer never heard of it in {} ms",
                record.now() - over_at
            )),
        }
    }
    record.note(format!(
        "{seen_over} sessions came to their end, {} of them were released towards their viewers",
        released.len()
    ));
    if seen_over < 10 {
        crate::cannot_run("too few sessions ended");
    }
    broken
}

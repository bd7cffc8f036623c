//! A server is cut off for a little under six seconds. The front node gives its sessions up; they play on.

use crate::With;
use crate::world::{Bus, Link, Ms, Node, Record, Seen, Server, Viewer, free_port, sleep};
use std::collections::{BTreeMap, BTreeSet};

/// How long the server, one of five, is cut off (the page: 6 s, a fifth of the servers).
const CUT: Ms = 5_900;
/// Set-ups count as breaches from so long after the server is back.
const BACK: Ms = 1_000;
/// Clips of which as many sessions are asked for as there are seats.
const CLIPS: u64 = 6;

fn clip(n: u64) -> String {
    format!("51d0a7c3b2e9f4{n:02x}")
}

pub fn run(with: &With, record: &Record) -> Vec<String> {
    let seats = u64::from(with.seats);
    let servers: Vec<Server> =
        ["s-a", "s-b", "s-c", "s-d", "s-e"].iter().map(|id| Server::start(id, 51_000, record)).collect();
    let links: Vec<Link> = servers.iter().map(|s| Link::start(s, record)).collect();
    let bus = Bus::start(record);
    let rows: Vec<String> = servers.iter().zip(&links).map(|(s, l)| s.row_at("up", l.addr)).collect();
    bus.tell(true, &rows, "s-a to s-e are up");
    let mut node = Node::start(with, free_port(), bus.addr, &bus.known(), record);
    let connect = |i: usize| Viewer::connect(&format!("viewer {i}"), node.listen, record);
    let mut viewers: Vec<Viewer> = (0..4).filter_map(connect).collect();
    if viewers.len() < 4 {
        crate::cannot_run("viewers can't connect");
    }

    // All seats of each clip are taken, and one viewer more asks.
    let mut id = 0x5000;
    for n in 0..CLIPS {
        for _ in 0..=seats {
            id += 1;
            viewers[id as usize % 4].ask(id, true, &clip(n), 4_000);
            sleep(150);
        }
    }
    // Some others.
    for n in 0..10 {
        id += 1;
        viewers[id as usize % 4].ask(id, false, &clip(CLIPS + n), 4_000);
        sleep(100);
    }
    let licensed: Vec<u64> = (0x5001..=0x5000 + CLIPS * (seats + 1)).collect();
    let there = |s: &Server| s.sessions().into_iter().filter(|id| licensed.contains(id)).count();
    let Some(most) = (0..servers.len()).max_by_key(|i| there(&servers[*i])) else { return Vec::new() };
    if there(&servers[most]) == 0 {
        crate::cannot_run("no session of the class plays");
    }
    record.note(format!("{} has {} sessions of the class", servers[most].id, there(&servers[most])));

    let began = record.now();
    if with.trouble {
        let cut = links[most].cut();
        record.until(cut + CUT);
        links[most].heal();
    } else {
        record.until(began + CUT);
    }
    let back = record.now();
    record.until(back + BACK + 100);
    // Viewers come again, as after a break: one for each seat.
    for n in 0..CLIPS {
        for _ in 0..seats {
            id += 1;
            viewers[id as usize % 4].ask(id, true, &clip(n), 4_000);
            sleep(150);
        }
    }
    sleep(4_600);
    if !node.lives() {
        crate::cannot_run("the front node ended");
    }
    let all = record.all();
    node.kill();

    // What servers saw: sessions of one clip and of the class, from the set-up that they read to the end.
    let mut held: BTreeMap<String, BTreeSet<u64>> = BTreeMap::new();
    let mut broken = Vec::new();
    for (at, seen) in &all {
        match seen {
            Seen::Run { id, server, class, title } if class == "sponsor-spot" => {
                let now = held.entry(title.clone()).or_default();
                now.insert(*id);
                if now.len() as u64 > seats && *at > back + BACK {
                    broken.push(format!(
                        "terms: {server} read the set-up of {id:016x}, session {} of clip {title}, which has {seats} seats",
                        now.len()
                    ));
                }
            }
            Seen::Over { id, .. } | Seen::TornDown { id, .. } => {
                for sessions in held.values_mut() {
                    sessions.remove(id);
                }
            }
            _ => {}
        }
    }
    let refused = all.iter().filter(|s| matches!(s.1, Seen::Refused { .. })).count();
    let released = all.iter().filter(|s| matches!(s.1, Seen::Released { .. })).count();
    record.note(format!("{refused} set-ups were refused, {released} sessions were released towards their viewers"));
    if refused == 0 {
        crate::cannot_run("the seats never bound");
    }
    broken
}

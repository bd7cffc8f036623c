//! The event bus at the core, in virtual time: streams that stop, break, repeat, skip and move, and servers whose rows change
//! during sessions and attempts. What may be sent to a draining server, and until when, is judged from the recorded traffic.

mod world;

use micadyke_node::bus::{Follower, Step};
use micadyke_node::limits;
use micadyke_node::{ConnId, ConnectionEnd, Input};
use micadyke_standin::platform::{MediaServer, Record, Seen, Treat, bus_event, verdict};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use world::*;

/// The drain grace of the settings, as used by the verdict.
const GRACE: u64 = 250 * MS;
/// Time between two set-ups.
const EACH: u64 = 20 * MS;

/// A node with two servers under steady traffic.
struct Day {
    w: World,
    viewer: u64,
    id: u64,
    /// The server that gets the traffic while it can.
    home: usize,
}

impl Day {
    fn new() -> Self {
        let mut config = config(2, 256);
        config.deployment.connections.drain_grace = GRACE;
        let mut w = World::with(config, 2, None);
        let viewer = w.viewer();
        let mut day = Day { w, viewer, id: 0, home: 0 };
        day.traffic(SECOND);
        day.home = day.last_sent().expect("set-ups are sent");
        day
    }

    /// Advances time, with a set-up every 20 ms and the bus's comments.
    fn traffic(&mut self, span: u64) {
        for n in 0..span / EACH {
            if n % 25 == 0 {
                self.w.bus_comment();
            }
            self.id += 1;
            self.w.ask(self.viewer, self.id, "free", 4000);
            self.w.run(EACH);
        }
    }

    /// The server of the last set-up.
    fn last_sent(&self) -> Option<usize> {
        self.w.record.iter().rev().find_map(|(_, seen)| match seen {
            Seen::Sent { server, .. } => server[2..].parse().ok(),
            _ => None,
        })
    }

    /// The number of the next event, which makes the home server drain.
    fn drain(&mut self, offset: u64) {
        self.w.bus(offset, false, &row(self.home, "draining", 0));
    }

    /// Whether a server got a set-up after this time.
    fn sent_after(&self, at: u64, to: usize) -> bool {
        let to = format!("s-{to}");
        let sent = |seen: &Seen| matches!(seen, Seen::Sent { server, .. } if *server == to);
        self.w.record.iter().any(|(when, seen)| *when > at && sent(seen))
    }

    /// The broken rules if the drain of the home server counts as delivered at this time.
    fn judged(&self, told: u64) -> Vec<String> {
        self.judged_of(self.w.record.clone(), told)
    }

    /// The same if the home server is removed. The node ends its sessions towards viewers before it ends them itself, and must
    /// not send a second release.
    fn judged_removed(&self, told: u64) -> Vec<String> {
        let mut released = BTreeSet::new();
        let mut record: Record = self.w.record.clone();
        record.retain(|(_, seen)| match seen {
            Seen::Released { id } => {
                released.insert(*id);
                true
            }
            Seen::Over { id } => !released.contains(id),
            _ => true,
        });
        self.judged_of(record, told)
    }

    fn judged_of(&self, mut record: Record, told: u64) -> Vec<String> {
        record.push((told, Seen::Told { server: format!("s-{}", self.home) }));
        record.sort_by_key(|(at, _)| *at);
        verdict(&record, self.w.now)
    }

    /// When the node connected to the bus after this time.
    fn asked_after(&self, at: u64) -> Vec<u64> {
        self.w.bus_asked.iter().map(|a| a.0).filter(|a| *a > at).collect()
    }
}

/// How a drain reaches the bus while the bus has a fault.
struct Way {
    name: &'static str,
    /// Sets up the fault, with the drain as an event.
    play: fn(&mut Day),
    /// When the drain counts as delivered, after the start.
    told: u64,
}

fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n], 4222))
}

fn moved(day: &mut Day, to: u8) {
    day.w.feed(Input::BusMoved { addr: addr(to) });
}

/// An event with truncated data.
fn unreadable(offset: u64) -> Vec<u8> {
    format!("id: {offset}\ndata: {{\"offset\":{offset},\"topology\":{{\"servers\":[{{\"id\n\n").into_bytes()
}

/// An event of more than 1 MiB.
fn endless(offset: u64) -> Vec<u8> {
    format!("id: {offset}\ndata: {{\"offset\":{offset},\"x\":\"{}\"}}\n\n", "y".repeat(1 << 20)).into_bytes()
}

const WAYS: [Way; 21] = [
    Way { name: "nothing wrong", play: |d| d.drain(2), told: 0 },
    Way {
        name: "a stream that stops and stays open",
        play: |d| {
            d.w.stop_bus();
            d.drain(2);
        },
        told: 4 * SECOND,
    },
    Way {
        name: "half an event, and silence",
        play: |d| {
            d.w.bus_bytes(b"id: 2\ndata: {\"offset\":2,\"topo");
            d.w.stop_bus();
            d.drain(2);
        },
        told: 4 * SECOND,
    },
    Way {
        name: "half an event, and a break",
        play: |d| {
            d.w.bus_bytes(b"id: 2\ndata: {\"offset\":2,\"topo");
            d.w.run(2 * MS);
            d.w.break_bus();
            d.drain(2);
        },
        told: 0,
    },
    Way {
        name: "silence, and a call that hangs",
        play: |d| {
            d.w.stop_bus();
            d.w.bus_hangs = 1;
            d.drain(2);
        },
        told: 4 * SECOND,
    },
    Way {
        name: "a break, and a call that hangs",
        play: |d| {
            d.w.bus_hangs = 1;
            d.w.break_bus();
            d.drain(2);
        },
        told: 2 * SECOND,
    },
    Way {
        name: "a break, and calls refused for a while",
        play: |d| {
            d.w.bus_up = false;
            d.w.break_bus();
            d.drain(2);
            d.w.later(1700 * MS, |w| w.bus_up = true);
        },
        // It could not be received before; the pause between calls is added.
        told: 1700 * MS,
    },
    Way {
        name: "an event that came already, before and behind",
        play: |d| {
            d.w.bus(1, false, &row(d.home, "up", 0));
            d.drain(2);
            d.w.bus(2, false, &row(d.home, "up", 0));
            d.w.bus(1, true, &row(d.home, "up", 0));
        },
        told: 0,
    },
    Way {
        name: "out of order",
        play: |d| {
            // The stream has event 3 before 2; requested again, it delivers both in order.
            let home = d.home;
            d.w.bus_bytes(&bus_event(3, false, &row(home, "draining", 0)));
            d.w.bus(2, false, &row(home, "up", 0));
            d.w.bus(3, false, &row(home, "draining", 0));
        },
        told: 0,
    },
    Way { name: "a gap", play: |d| d.drain(7), told: 0 },
    Way {
        name: "a whole list past a gap, with the server draining",
        play: |d| {
            let rows = format!("{},{}", row(1 - d.home, "up", 0), row(d.home, "draining", 0));
            d.w.bus(5, true, &rows);
        },
        told: 0,
    },
    Way {
        name: "two rows of one server in an event: the last counts",
        play: |d| {
            let rows = format!("{},{}", row(d.home, "up", 0), row(d.home, "draining", 0));
            d.w.bus(2, false, &rows);
        },
        told: 0,
    },
    Way {
        name: "removed and up again in one event, and then it drains",
        play: |d| {
            // Its connections are idle and closed by then, so it is forgotten at once.
            let rows = format!("{},{}", row(1 - d.home, "up", 0), row(d.home, "removed", 0));
            d.w.run(12 * SECOND);
            d.w.bus(2, false, &format!("{rows},{}", row(d.home, "up", 0)));
            d.traffic(400 * MS);
            d.drain(3);
        },
        told: 12_400 * MS,
    },
    Way {
        name: "a kind and a zone that the settings lack, then a drain",
        play: |d| {
            let rows = row(d.home, "up", 0).replace("\"k\"", "\"new\"").replace("\"z\"", "\"far\"");
            d.w.bus(2, false, &rows);
            d.drain(3);
        },
        told: 0,
    },
    Way {
        name: "an event that can't be read, and the drain behind it",
        play: |d| {
            d.w.bus_raw(2, unreadable(2));
            d.drain(3);
        },
        told: 0,
    },
    Way {
        name: "an event that never ends, and the drain behind it",
        play: |d| {
            d.w.bus_raw(2, endless(2));
            d.drain(3);
        },
        told: 0,
    },
    Way {
        name: "the bus moves, and the drain is told at once there",
        play: |d| {
            moved(d, 3);
            d.drain(2);
        },
        told: 0,
    },
    Way {
        name: "the bus moves; the old stream tells and closes behind it",
        play: |d| {
            let old = d.w.bus_calls.last().expect("it was called").0;
            let home = d.home;
            moved(d, 3);
            d.drain(2);
            d.w.later(10 * MS, move |w| {
                let bytes = bus_event(3, false, &row(home, "up", 0));
                w.feed(Input::Data { conn: ConnId(old), bytes: &bytes });
            });
            d.w.later(1500 * MS, move |w| {
                w.feed(Input::Closed { conn: ConnId(old), written: 0, end: ConnectionEnd::Broken });
            });
        },
        told: 0,
    },
    Way {
        name: "the bus moves in half an event and twice in a row",
        play: |d| {
            d.w.bus_bytes(b"id: 2\ndata: {\"offset\":2,\"topo");
            d.w.run(2 * MS);
            moved(d, 3);
            moved(d, 4);
            d.drain(2);
        },
        told: 0,
    },
    Way {
        name: "the bus moves to where calls are refused for a while",
        play: |d| {
            d.w.bus_up = false;
            moved(d, 3);
            d.drain(2);
            d.w.later(3 * SECOND, |w| w.bus_up = true);
        },
        told: 3 * SECOND,
    },
    Way {
        name: "the bus moves to where two calls hang",
        play: |d| {
            d.w.bus_hangs = 2;
            moved(d, 3);
            d.drain(2);
        },
        told: 4 * SECOND,
    },
];

#[test]
fn a_drain_is_kept_to_in_time_whatever_the_bus_does() {
    for Way { name, play, told } in WAYS {
        let mut day = Day::new();
        let start = day.w.now;
        play(&mut day);
        day.traffic(8 * SECOND);
        assert_eq!(day.judged(start + told + MS), Vec::<String>::new(), "{name}");
        // The other server is not taken for draining, nor the whole list for empty.
        assert_eq!(day.last_sent(), Some(1 - day.home), "{name}");
        let stood = day.w.node.counts();
        assert_eq!((stood.refused, stood.failed), (0, 0), "{name}");
    }
}

/// Time from the end of an outage of the bus to the drain.
const DRAIN_AFTER: u64 = 100 * MS;

// Guards against set-ups to a draining server while the call made before the network came back was still waited for.
#[test]
fn a_drain_is_kept_to_in_time_however_long_the_bus_was_cut_off() {
    for outage in (5_300..=17_000).step_by(650) {
        let mut day = Day::new();
        day.w.bus_comment();
        day.w.cut_bus();
        day.traffic(outage * MS);
        day.w.bus_cut = false;
        day.traffic(DRAIN_AFTER);
        let told = day.w.now;
        day.drain(2);
        day.traffic(4 * SECOND);
        assert_eq!(day.judged(told), Vec::<String>::new(), "cut off for {outage} ms");
    }
}

// Guards against set-ups to a draining server while a call that was accepted before the network was cut off is waited for.
#[test]
fn a_drain_is_kept_to_in_time_after_a_cut_that_began_while_a_call_was_waited_for() {
    let mut day = Day::new();
    // Calls that are accepted and not answered make the node more patient, up to the longest time.
    day.w.stop_bus();
    day.w.bus_hangs = 4;
    while day.w.bus_hangs > 0 {
        day.traffic(EACH);
    }
    day.w.bus_cut = true;
    // By more than the 4 s after which events count as delivered.
    day.traffic(5 * SECOND);
    day.w.bus_cut = false;
    day.traffic(DRAIN_AFTER);
    let told = day.w.now;
    day.drain(2);
    day.traffic(4 * SECOND);
    assert_eq!(day.judged(told), Vec::<String>::new());
}

#[test]
fn a_server_that_a_whole_list_leaves_out_is_sent_nothing_more() {
    let mut day = Day::new();
    let start = day.w.now;
    let other = row(1 - day.home, "up", 0);
    day.w.bus(2, true, &other);
    day.traffic(8 * SECOND);
    assert_eq!(day.judged_removed(start + MS), Vec::<String>::new());
    assert_eq!(day.last_sent(), Some(1 - day.home));
}

#[test]
fn a_drain_that_is_never_told_is_seen_by_the_verdict() {
    let mut day = Day::new();
    let start = day.w.now;
    day.traffic(SECOND);
    assert!(day.judged(start).iter().any(|b| b.contains("sent to a server that drains")));
}

/// A repeated fault of the bus, and how many calls are allowed within 20 s.
#[test]
fn no_bus_makes_a_node_call_without_a_pause() {
    type Trouble = fn(&mut Day);
    let table: [(&str, Trouble, usize); 7] = [
        ("connections that never come up", |d| d.w.cut_bus(), 400),
        (
            "calls that are accepted and never answered",
            |d| {
                d.w.stop_bus();
                d.w.bus_hangs = u32::MAX;
            },
            8,
        ),
        ("an event that can't be read", |d| d.w.bus_raw(2, unreadable(2)), 2),
        ("an event that never ends", |d| d.w.bus_raw(2, endless(2)), 2),
        ("a gap", |d| d.w.bus(9, false, ""), 2),
        (
            "streams that say one word and close",
            |d| {
                // The data arrives after 1 ms, before the close.
                for n in 0..5_000 {
                    d.w.later(4 * n * MS, |w| {
                        w.bus_comment();
                        w.later(2 * MS, World::break_bus);
                    });
                }
            },
            400,
        ),
        (
            "refusals",
            |d| {
                d.w.bus_up = false;
                d.w.break_bus();
            },
            400,
        ),
    ];
    for (name, trouble, most) in table {
        let mut day = Day::new();
        let start = day.w.now;
        trouble(&mut day);
        let mut calls = 0;
        for _ in 0..200 {
            day.w.run(SECOND / 10);
            day.w.bus_comment();
            calls = day.asked_after(start - 1).len();
            if calls > most {
                break;
            }
        }
        assert!(calls <= most, "{name}: {calls} calls");
    }
}

#[test]
fn an_address_that_stays_changes_nothing() {
    let mut day = Day::new();
    let calls = day.w.bus_asked.len();
    let same = day.w.bus_asked[0].1;
    day.w.feed(Input::BusMoved { addr: same });
    day.drain(2);
    let start = day.w.now;
    day.traffic(SECOND);
    assert_eq!(day.w.bus_asked.len(), calls);
    assert_eq!(day.judged(start + MS), Vec::<String>::new());
}

#[test]
fn each_move_is_asked_at_once_from_the_number_held() {
    let mut day = Day::new();
    day.w.bus(2, false, "");
    day.traffic(100 * MS);
    for to in [3, 4, 3] {
        moved(&mut day, to);
        assert_eq!(day.w.bus_asked.last(), Some(&(day.w.now, addr(to))));
        assert_eq!(day.w.bus_calls.last().map(|c| c.1), Some(2));
    }
}

#[test]
fn a_bus_that_begins_anew_is_followed_without_calls_beyond_its_own_pace() {
    // Its numbers restart at 1, which the protocol excludes. They count as old until they pass the last known number; no call is
    // made for them, and service continues with the current list.
    let mut day = Day::new();
    for offset in 2..9 {
        day.w.bus(offset, false, "");
    }
    day.traffic(100 * MS);
    let calls = day.w.bus_asked.len();
    let both = format!("{},{}", row(0, "up", 0), row(1, "up", 0));
    day.w.bus_bytes(&bus_event(1, true, &both));
    day.w.bus_bytes(&bus_event(2, false, &row(day.home, "draining", 0)));
    day.traffic(SECOND);
    let later = day.w.now;
    day.traffic(SECOND);
    assert_eq!(day.w.bus_asked.len(), calls);
    assert!(day.sent_after(later, day.home), "old news of a drain was taken");
    // The first event after that number is applied again.
    day.w.bus(9, false, &row(day.home, "draining", 0));
    let start = day.w.now;
    day.traffic(SECOND);
    assert_eq!(day.judged(start + MS), Vec::<String>::new());
    assert_eq!(day.last_sent(), Some(1 - day.home));
}

// ----- the times

#[test]
fn pauses_of_the_bus_grow_and_end_at_half_of_the_drain_grace() {
    let most = limits::bus::max_retry_pause(2 * SECOND);
    assert_eq!(limits::bus::retry_pause(0, most, 1.0), 0);
    assert!(limits::bus::retry_pause(1, most, 0.0) < limits::bus::retry_pause(2, most, 0.0));
    assert!(limits::bus::retry_pause(1, most, 0.0) < limits::bus::retry_pause(1, most, 1.0));
    // The grace in the settings and the maximum pause.
    for (grace, most) in [(0, 500), (1, 25), (250, 125), (400, 200), (2000, 500)] {
        let longest = limits::bus::max_retry_pause(grace * MS);
        assert_eq!(longest, most * MS, "{grace}");
        assert_eq!(limits::bus::retry_pause(99, longest, 1.0), longest);
        assert_eq!(limits::bus::retry_pause(u32::MAX, longest, 7.0), longest);
    }
}

#[test]
fn the_pause_comes_from_the_settings() {
    let stated = SETTINGS.replace("\"cold_ns\"", "\"stop_sending_within_ns\":250000000,\"cold_ns\"");
    assert_eq!(micadyke_settings_terms(&stated), 250 * MS);
    assert_eq!(micadyke_settings_terms(SETTINGS), 0);
    let mut day = Day::new();
    day.w.bus_up = false;
    day.w.break_bus();
    day.w.run(10 * SECOND);
    let start = day.w.now;
    day.w.run(10 * SECOND);
    let asked = day.asked_after(start);
    let pauses: BTreeSet<u64> = asked.windows(2).map(|a| (a[1] - a[0]) / MS).collect();
    // With jitter, and with the millisecond that each refusal takes.
    assert!(pauses.len() > 15 && pauses.last() <= Some(&126), "{pauses:?}");
}

/// The settings of a configuration with this drain grace.
fn micadyke_settings_terms(settings: &str) -> u64 {
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:1","seed":"1","limits":{{"sockets":256}},"bus":"127.0.0.1:2","settings":{settings}}}"#
    );
    micadyke_node::config::read(&text).expect("it is sound").deployment.connections.drain_grace
}

#[test]
fn a_bus_that_is_slow_to_answer_is_heard_in_the_end() {
    // Time from the call to the stream, and the number of calls until it opens.
    for (answers, calls) in [(500 * MS, 1), (1500 * MS, 2), (3 * SECOND, 3), (7 * SECOND, 4)] {
        let mut follower = Follower::new(addr(2), 1, 125 * MS, START);
        let (mut now, mut asked, mut due, mut last_call) = (START, 0, Vec::new(), START);
        while !follower.is_open() && now < START + 60 * SECOND {
            match follower.next_step(now) {
                Step::Connect => {
                    asked += 1;
                    // Whatever it waits for, after this time the events of the bus count as delivered.
                    assert!(now <= last_call + 4 * SECOND, "{answers}");
                    last_call = now;
                    let mut closed = follower.call_started(ConnId(asked), now, 1.0);
                    closed.extend(follower.connected(ConnId(asked), now));
                    due.push((now + answers, ConnId(asked)));
                    due.retain(|(_, conn)| !closed.contains(conn));
                }
                Step::Close(_) => panic!("no stream is open"),
                Step::Wait => match due.first() {
                    Some(&(at, conn)) if at <= now => drop(follower.stream_opened(conn, now)),
                    first => now = follower.wake_at().min(first.map_or(u64::MAX, |f| f.0)),
                },
            }
        }
        assert!(follower.is_open(), "{answers}");
        assert_eq!(asked, calls, "{answers}");
    }
}

#[test]
fn refused_calls_make_no_later_call_wait_longer_for_its_answer() {
    let mut follower = Follower::new(addr(2), 1, 125 * MS, START);
    let mut now = START;
    for n in 0..50 {
        now = follower.wake_at();
        follower.call_started(ConnId(n), now, 1.0);
        follower.closed(ConnId(n), now, 1.0);
    }
    now = follower.wake_at().max(now);
    follower.call_started(ConnId(99), now, 1.0);
    follower.connected(ConnId(99), now);
    assert_eq!(follower.wake_at(), now + SECOND);
}

/// A bus that answers so many calls a second, one after the other, also those that nobody waits for any more.
const CROWDED_CALLS_PER_SECOND: u64 = 60;

#[test]
fn a_crowded_bus_is_heard_by_all_in_the_end() {
    let mut fleet: Vec<Follower> = (0..300).map(|_| Follower::new(addr(2), 1, 125 * MS, START)).collect();
    let (mut queue, mut next_conn, mut now) = (VecDeque::new(), 0, START);
    while fleet.iter().any(|follower| !follower.is_open()) {
        assert!(now < START + 60 * SECOND, "some never hear of the bus");
        for (n, follower) in fleet.iter_mut().enumerate() {
            // A stream that is open stays so.
            if !follower.is_open() && follower.next_step(now) == Step::Connect {
                next_conn += 1;
                follower.call_started(ConnId(next_conn), now, n as f64 / 300.0);
                follower.connected(ConnId(next_conn), now);
                queue.push_back((n, ConnId(next_conn)));
            }
        }
        if let Some((n, conn)) = queue.pop_front() {
            fleet[n].stream_opened(conn, now);
        }
        now += SECOND / CROWDED_CALLS_PER_SECOND;
    }
}

#[test]
fn few_calls_are_out_however_long_the_bus_can_not_be_reached() {
    let mut follower = Follower::new(addr(2), 1, 125 * MS, START);
    let (mut now, mut out) = (START, BTreeSet::new());
    for n in 0..2_000 {
        now = now.max(follower.wake_at());
        assert_eq!(follower.next_step(now), Step::Connect);
        out.insert(n);
        let mut closed = follower.call_started(ConnId(n), now, 0.5);
        // At times one connects and is never answered.
        if n % 7 == 0 {
            closed.extend(follower.connected(ConnId(n), now));
        }
        closed.iter().for_each(|conn| assert!(out.remove(&conn.0)));
        assert!(out.iter().all(|n| follower.owns(ConnId(*n))));
        // Two that wait for answers, and two that connect.
        assert!(out.len() <= 4, "{out:?}");
    }
    let closed: BTreeSet<u64> = follower.set_addr(addr(3), now).iter().map(|conn| conn.0).collect();
    assert_eq!(closed, out);
}

#[test]
fn a_connection_that_takes_longer_than_the_pause_between_attempts_is_waited_for() {
    let mut follower = Follower::new(addr(2), 1, 125 * MS, START);
    let mut out = BTreeSet::new();
    while follower.wake_at() < START + 3 * SECOND {
        let now = follower.wake_at();
        out.insert(now);
        let replaced = follower.call_started(ConnId(now), now, 1.0);
        replaced.iter().for_each(|conn| assert!(out.remove(&conn.0)));
    }
    assert!(out.contains(&START), "the first attempt was given up");
    assert_eq!(follower.connected(ConnId(START), START + 3 * SECOND).len(), out.len() - 1);
    assert_eq!(follower.wake_at(), START + 4 * SECOND);
}

#[test]
fn a_doubt_about_the_old_bus_is_no_word_on_the_new_one() {
    let mut follower = Follower::new(addr(2), 1, 125 * MS, START);
    let (gap, mut out) = (bus_event(3, false, ""), Vec::new());
    for n in [2, 3] {
        follower.set_addr(addr(n), START);
        follower.call_started(ConnId(n.into()), START, 1.0);
        follower.stream_opened(ConnId(n.into()), START);
        // Requested again at the old address and at the new one.
        assert!(!follower.feed(&gap, START, &mut out), "{n}");
        follower.closed(ConnId(n.into()), START, 1.0);
    }
    assert_eq!((follower.last(), out.len()), (1, 0));
}

// ----- rows of servers

/// A row with this id at the address of another server.
fn row_at(id: usize, n: usize, state: &str, started_ms: u64) -> String {
    row(id, state, started_ms).replace(&server_addr(id).to_string(), &server_addr(n).to_string())
}

#[test]
fn a_server_that_comes_again_elsewhere_is_sent_nothing_at_its_old_address() {
    for removed in [false, true] {
        let mut day = Day::new();
        let (home, anew) = (day.home, 5);
        let server = MediaServer::new("s-5", 20 * MS, Treat::Serve(5 * SECOND));
        day.w.servers.insert(server_addr(anew), server);
        day.w.bus(2, false, &row(home, "draining", 0));
        if removed {
            day.w.bus(3, false, &row(home, "removed", 0));
        }
        day.traffic(100 * MS);
        day.w.bus(4, false, &format!("{},{}", row_at(home, anew, "up", 0), row(1 - home, "draining", 0)));
        let start = day.w.now;
        day.traffic(3 * SECOND);
        // From then on it drains, whoever listens at its old address.
        assert_eq!(day.judged(start), Vec::<String>::new(), "removed: {removed}");
        assert_eq!(day.last_sent(), Some(anew), "removed: {removed}");
    }
}

#[test]
fn a_server_that_drains_goes_and_comes_again_under_its_id_serves_again() {
    let mut day = Day::new();
    let home = day.home;
    day.drain(2);
    day.w.bus(3, false, &row(home, "removed", 0));
    let start = day.w.now;
    day.traffic(2 * SECOND);
    assert_eq!(day.judged(start + MS), Vec::<String>::new());
    assert_eq!(day.last_sent(), Some(1 - home));
    let again = day.w.now;
    let rows = format!("{},{}", row(home, "up", 0), row(1 - home, "draining", 0));
    day.w.bus(4, false, &rows);
    day.traffic(2 * SECOND);
    assert_eq!(day.last_sent(), Some(home));
    // And it drains again.
    day.w.record.retain(|(at, _)| *at >= again);
    day.w.bus(5, false, &format!("{},{}", row(home, "draining", 0), row(1 - home, "up", 0)));
    let start = day.w.now;
    day.traffic(2 * SECOND);
    assert_eq!(day.judged(start + MS).iter().filter(|b| b.contains("rule 3")).count(), 0);
    assert_eq!(day.last_sent(), Some(1 - home));
}

/// A machine vanishes with sessions and attempts, and a new server gets its address. Viewers must learn of the end of their
/// sessions within 8 s plus 1 s, and nothing meant for the old server may reach the new one.
#[test]
fn an_address_that_another_server_bears_ends_what_played_at_the_old_one() {
    // The list's row for the old server before the new one appears.
    for before in ["draining", "removed"] {
        let mut day = Day::new();
        let (home, new) = (day.home, 7);
        let at = server_addr(home);
        day.w.bus(2, false, &row(home, before, 0));
        day.w.run(50 * MS);
        let standing: Vec<u64> = day.w.servers[&at].standing().collect();
        assert!(!standing.is_empty());
        // Its process ends, and that of the other server listens there.
        day.w.servers.insert(at, MediaServer::new("s-7", 20 * MS, Treat::Serve(5 * SECOND)));
        day.w.reset(at);
        let died = day.w.now;
        let rows = format!("{},{}", row_at(new, home, "up", 0), row(1 - home, "draining", 0));
        day.w.bus(3, false, &rows);
        // Longer than the settings allow a server to be silent, with traffic to the new one only.
        day.traffic(9 * SECOND);
        let told: BTreeSet<u64> = day.w.told[&day.viewer]
            .iter()
            .filter(|(at, m)| *at >= died && m.kind == micadyke_isup::kind::RELEASE)
            .map(|(_, m)| m.session)
            .collect();
        let left: Vec<u64> = standing.into_iter().filter(|id| !told.contains(id)).collect();
        assert_eq!(left, Vec::<u64>::new(), "{before}: left standing");
        assert_eq!(day.last_sent(), Some(new), "{before}");
    }
}

#[test]
fn a_server_listed_as_up_is_not_taken_for_gone_when_another_has_its_address() {
    let mut day = Day::new();
    let home = day.home;
    let standing: BTreeSet<u64> = day.w.servers[&server_addr(home)].standing().collect();
    assert!(!standing.is_empty());
    day.w.bus(2, false, &row_at(7, home, "up", 0));
    day.w.run(100 * MS);
    let releases = day.w.told[&day.viewer].iter().filter(|(_, m)| m.kind == micadyke_isup::kind::RELEASE);
    assert_eq!(releases.count(), 0);
    let stand: BTreeSet<u64> = day.w.servers[&server_addr(home)].standing().collect();
    assert!(stand.is_superset(&standing), "{standing:?} {stand:?}");
    // After the other server has gone, only this one is left.
    let rows = format!("{},{}", row_at(7, home, "removed", 0), row(1 - home, "draining", 0));
    day.w.bus(3, false, &rows);
    day.traffic(100 * MS);
    let later = day.w.now;
    day.traffic(SECOND);
    assert!(day.sent_after(later, home), "it was taken for gone");
}

#[test]
fn a_set_up_that_waits_for_a_connection_to_the_old_address_counts_as_never_sent() {
    let mut day = Day::new();
    let (home, anew, id) = (day.home, 5, 1 << 40);
    day.w.servers.insert(server_addr(anew), MediaServer::new("s-5", 20 * MS, Treat::Serve(5 * SECOND)));
    day.w.bus(2, false, &row(1 - home, "draining", 0));
    day.w.run(100 * MS);
    // Its machine vanishes: connection attempts hang.
    day.w.vanished.insert(server_addr(home));
    day.w.reset(server_addr(home));
    day.w.run(5 * MS);
    day.w.ask(day.viewer, id, "paid", 4000);
    day.w.run(50 * MS);
    let waits = day.w.links_to(server_addr(home)) == 0;
    let answered =
        |day: &Day| day.w.told[&day.viewer].iter().find(|(_, m)| m.session == id).map(|(_, m)| m.kind);
    assert!(waits && answered(&day).is_none());
    day.w.bus(3, false, &row_at(home, anew, "up", 0));
    day.w.run(SECOND);
    assert!(answered(&day).is_some());
    // It was never sent: a failure would mean that it may have been executed.
    assert_eq!(day.w.node.counts().failed, 0);
}

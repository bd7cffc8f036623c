//! `micadyke node` as the platform starts it: a process between stand-in servers, a bus and viewers on loopback.

mod platform;

use micadyke_isup::{code, kind};
use micadyke_standin::platform::{Seen, Treat, final_counts, verdict};
use micadyke_standin::platform_net::{Bus, Listening, Scene};
use micadyke_standin::relay::{Flow, Relay};
use platform::counts::{all_kept, all_kept_but_releases};
use platform::*;
use std::net::SocketAddr;
use std::process::Command;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

#[test]
fn a_day_from_start_to_sigterm() {
    on_one_thread(async {
        let scene = Scene::default();
        let (a, b) = (server(&scene, "a", 60_000).await, server(&scene, "b", 300).await);
        a.server.borrow_mut().plays(99, 60_000 * MS);
        let first = format!("{},{}", row(&a, "a", "up"), row(&b, "b", "up"));
        let bus = Bus::start(vec![(true, first.clone())]).await.expect("a bus");
        let mut node = start("day", free_port(), bus.addr, &first);
        let mut v = Viewer::connect(node.listen).await;
        assert_eq!(v.test().await, Some(1));
        // A session handed over wants no answer; a set-up does, whatever server it finds.
        let mut at = set_up(99, "free");
        at.parameters
            .iter_mut()
            .filter(|p| p.0 == code::FIGURES)
            .for_each(|p| p.1.extend_from_slice(b";at:a"));
        v.send(&at).await;
        for id in 1..=20 {
            let said = v.ask(&scene, id, if id % 2 == 0 { "paid" } else { "free" }).await;
            assert_eq!(said.kind, kind::ANSWER, "{said:?}");
        }
        // Servers treat set-ups badly: each is answered all the same.
        for (i, treat) in [Treat::Status(453), Treat::Noise, Treat::Break, Treat::Half, Treat::Twice]
            .into_iter()
            .enumerate()
        {
            for s in [&a, &b] {
                s.server.borrow_mut().next.clear();
                s.server.borrow_mut().next.push_back(treat);
            }
            v.ask(&scene, 100 + i as u64, "free").await;
        }
        for s in [&a, &b] {
            s.server.borrow_mut().next.clear();
        }
        // What can't be read is closed; the others go on.
        let mut bad = Viewer::connect(node.listen).await;
        bad.stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.expect("written");
        while bad.next().await.is_some() {}
        // The bus breaks off, and moves; a configuration that can't be read changes nothing.
        bus.break_off(false);
        std::fs::write(&node.config, "{").expect("written");
        node.signal("-HUP");
        v.ask(&scene, 200, "free").await;
        let moved = Bus::start(vec![(true, first.clone())]).await.expect("a bus");
        write_config(&node.config, node.listen, moved.addr, &first);
        node.signal("-HUP");
        while moved.calls.borrow().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(moved.calls.borrow()[0], "1", "the number is kept");
        // It tells that b drains: set-ups go to a alone.
        moved.tell(false, &row(&b, "b", "draining"));
        tokio::time::sleep(Duration::from_millis(100)).await;
        scene.note(Seen::Told { server: "b".into() });
        for id in 300..320 {
            assert_eq!(v.ask(&scene, id, "paid").await.kind, kind::ANSWER);
        }
        // SIGTERM: what was taken is answered, and what still comes; then it ends by itself.
        let mut last = Viewer::connect(node.listen).await;
        scene.note(Seen::Asked { id: 400, patience: 4000 * MS, paid: true, floor: 1 });
        last.send(&set_up(400, "paid")).await;
        node.signal("-TERM");
        node.signal("-TERM");
        assert_eq!(last.answer(&scene, 400).await.kind, kind::ANSWER);
        assert_eq!(v.ask(&scene, 401, "free").await.kind, kind::ANSWER);
        assert_eq!(node.ends().await, Some(0));
        assert!(a.server.borrow().standing().any(|s| s == 401), "sessions play on at their server");
        all_kept_but_releases(&scene);
    });
}

#[test]
fn killed_and_started_again_it_takes_over_what_plays() {
    on_one_thread(async {
        let scene = Scene::default();
        let a = server(&scene, "a", 60_000).await;
        let rows = row(&a, "a", "up");
        let bus = Bus::start(vec![(true, rows.clone())]).await.expect("a bus");
        let listen = free_port();
        let mut node = start("killed", listen, bus.addr, &rows);
        let mut v = Viewer::connect(listen).await;
        assert_eq!(v.test().await, Some(1));
        assert_eq!(v.ask(&scene, 1, "paid").await.kind, kind::ANSWER);
        node.signal("-KILL");
        assert_eq!(node.ends().await, None);
        drop(node);
        let _node = start("again", listen, bus.addr, &rows);
        let mut v = Viewer::connect(listen).await;
        assert_eq!(v.test().await, Some(1));
        let mut at = set_up(1, "paid");
        at.parameters
            .iter_mut()
            .filter(|p| p.0 == code::FIGURES)
            .for_each(|p| p.1.extend_from_slice(b";at:a"));
        v.send(&at).await;
        assert_eq!(v.ask(&scene, 2, "free").await.kind, kind::ANSWER);
        // The server's process ends: both sessions are released, on the connection that there is.
        a.stop();
        let mut over: Vec<u64> =
            vec![v.next().await.expect("a release").session, v.next().await.expect("a release").session];
        over.sort_unstable();
        assert_eq!(over, [1, 2]);
    });
}

#[test]
fn a_configuration_that_is_wrong_is_named() {
    let dir = std::env::temp_dir().join(format!("micadyke-node-wrong-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let path = dir.join("config.json");
    let any = SocketAddr::from(([127, 0, 0, 1], 1));
    write_config(&path, any, any, "");
    let sound = std::fs::read_to_string(&path).expect("it is there");
    // What is changed, and what the message names.
    let table = [
        (String::new(), "not JSON"),
        (sound.replace("\"name\"", "\"nom\""), "name is missing"),
        (sound.replace("\"n0\"", "\"n1\""), "EDGE_NAME"),
        (sound.replace("8c1f30d27a5be964", "later"), "seed"),
        (sound.replace("\"sockets\":256", "\"sockets\":3"), "limits.sockets"),
        (sound.replace("\"bus\":\"127.0.0.1:1\"", "\"bus\":\"here\""), "bus"),
        (sound.replace("\"offset\":1,\"topology\"", "\"offset\":5,\"topology\""), "known.batch[0]"),
        (sound.replace("\"rung_kb\"", "\"rungs\""), "rung_kb"),
        (sound.replace("\"cells\":2", "\"cells\":0"), "cells"),
    ];
    for (text, named) in table {
        std::fs::write(&path, &text).expect("written");
        let run = Command::new(BINARY)
            .arg("node")
            .env("EDGE_CONFIG", &path)
            .env("EDGE_NAME", "n0")
            .output()
            .expect("it runs");
        let said = String::from_utf8_lossy(&run.stderr).into_owned();
        assert!(!run.status.success() && said.contains(named), "{named}: {said}");
    }
    let missing = Command::new(BINARY).arg("node").env_remove("EDGE_CONFIG").output().expect("it runs");
    assert!(String::from_utf8_lossy(&missing.stderr).contains("EDGE_CONFIG"));
    std::fs::remove_dir_all(&dir).expect("removed");
}

/// Four nodes, of which two have lost the bus, while a server drains: how many of the set-ups asked at those two reach it
/// after the others have had their time to say so.
async fn drained_without_a_bus(members: bool) -> (usize, Vec<String>) {
    let scene = Scene::default();
    let (a, b) = (server(&scene, "a", 60_000).await, server(&scene, "b", 60_000).await);
    let rows = format!("{},{}", row(&a, "a", "up"), row(&b, "b", "up"));
    let bus = Bus::start(vec![(true, rows.clone())]).await.expect("a bus");
    let at: Vec<SocketAddr> = (0..4).map(|_| free_port()).collect();
    let nodes: Vec<Running> = (0..4)
        .map(|i| {
            let text = format!("(name \"n{i}\") (listen \"{}\") (seeds \"{}\") (expected 4)", at[i], at[0]);
            let bus = if i < 2 { bus.addr } else { free_port() };
            let name = format!("bus-{members}-{i}");
            start_with(&name, free_port(), bus, &rows, members.then_some(text.as_str()))
        })
        .collect();
    if members {
        let seal = micadyke_membership::frame::FrameCodec::new("t", b"a key of the test's own")
            .expect("long enough");
        for at in &at {
            let limit = Duration::from_secs(10);
            while micadyke_membership::shell::fetch_view(*at, &seal, limit)
                .await
                .is_ok_and(|v| v.0.unsettled.is_some())
            {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
    let mut viewers = Vec::new();
    for node in &nodes[2..] {
        let mut v = Viewer::connect(node.listen).await;
        assert_eq!(v.test().await, Some(1));
        viewers.push(v);
    }
    while bus.calls.borrow().len() < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    bus.tell(false, &row(&b, "b", "draining"));
    tokio::time::sleep(Duration::from_millis(1500)).await;
    scene.note(Seen::Told { server: "b".into() });
    tokio::time::sleep(Duration::from_millis(400)).await;
    for id in 0..40 {
        let said = viewers[id as usize % 2].ask(&scene, 1000 + id, "free").await;
        assert_eq!(said.kind, kind::ANSWER);
    }
    let there = |s: &Seen| matches!(s, Seen::Sent { id, server, .. } if *id >= 1000 && server == "b");
    let reached = scene.record.borrow().iter().filter(|r| there(&r.1)).count();
    let broken = verdict(&scene.record.borrow(), scene.now());
    (reached, broken.into_iter().filter(|b| !b.contains("not released")).collect())
}

#[test]
fn a_node_without_the_bus_drains_what_its_neighbours_heard_is_draining() {
    on_one_thread(async {
        assert_eq!(drained_without_a_bus(true).await, (0, vec![]));
        // Seen to fail where they know nothing of each other.
        let (reached, broken) = drained_without_a_bus(false).await;
        assert!(reached > 0 && !broken.is_empty(), "{reached} {broken:?}");
    });
}

#[test]
fn a_new_configuration_and_the_end_in_the_same_moment() {
    on_one_thread(async {
        let scene = Scene::default();
        let a = server(&scene, "a", 60_000).await;
        let rows = row(&a, "a", "up");
        let bus = Bus::start(vec![(true, rows.clone())]).await.expect("a bus");
        let mut node = start("both", free_port(), bus.addr, &rows);
        let mut v = Viewer::connect(node.listen).await;
        assert_eq!(v.test().await, Some(1));
        v.send(&set_up(1, "paid")).await;
        for signal in ["-HUP", "-TERM", "-HUP"] {
            node.signal(signal);
        }
        scene.note(Seen::Asked { id: 1, patience: 4000 * MS, paid: true, floor: 1 });
        assert_eq!(v.answer(&scene, 1).await.kind, kind::ANSWER);
        assert_eq!(node.ends().await, Some(0));
    });
}

/// Three nodes, each with a way of its own to each of two servers and to the bus, all under the test's hand.
struct Ways {
    scene: Scene,
    nodes: Vec<Running>,
    viewers: Vec<Viewer>,
    /// By node: to server a, to server b, to the bus.
    ways: Vec<[Rc<Relay>; 3]>,
    _servers: [Rc<Listening>; 2],
    bus: Rc<Bus>,
}

impl Ways {
    async fn new(tag: &str) -> Self {
        let scene = Scene::default();
        let (a, b) = (server(&scene, "a", 60_000).await, server(&scene, "b", 60_000).await);
        let bus = Bus::start(Vec::new()).await.expect("a bus");
        let at: Vec<SocketAddr> = (0..3).map(|_| free_port()).collect();
        let (mut nodes, mut ways) = (Vec::new(), Vec::new());
        for i in 0..3 {
            let way = [a.addr, b.addr, bus.addr].map(Relay::start);
            let [a, b, bus] = way;
            let way = [a.await.expect("a way"), b.await.expect("a way"), bus.await.expect("a way")];
            let row = |way: &Relay, id: &str| {
                let addr = way.addr;
                format!(
                    r#"{{"id":"{id}","addr":"{addr}","zone":"z","kind":"k","cell":0,"state":"up","weight":1,"started_ms":0}}"#
                )
            };
            let rows = format!("{},{}", row(&way[0], "a"), row(&way[1], "b"));
            let text = format!("(name \"n{i}\") (listen \"{}\") (seeds \"{}\") (expected 3)", at[i], at[0]);
            nodes.push(start_with(&format!("{tag}-{i}"), free_port(), way[2].addr, &rows, Some(&text)));
            ways.push(way);
        }
        let mut viewers = Vec::new();
        for node in &nodes {
            let mut v = Viewer::connect(node.listen).await;
            assert_eq!(v.test().await, Some(1));
            viewers.push(v);
        }
        Ways { scene, nodes, viewers, ways, _servers: [a, b], bus }
    }

    /// Asks each node so often, and says for each how many of its set-ups reached server a.
    async fn ask(&mut self, from: u64, times: u64) -> [usize; 3] {
        for n in 0..3 * times {
            self.viewers[n as usize % 3].ask(&self.scene, from + n, "free").await;
        }
        let record = self.scene.record.borrow();
        let sent =
            |r: &&(u64, Seen)| matches!(&r.1, Seen::Sent { id, server, .. } if *id >= from && server == "a");
        let mut there = [0; 3];
        record.iter().filter(sent).for_each(|r| {
            if let Seen::Sent { id, .. } = r.1 {
                there[((id - from) % 3) as usize] += 1;
            }
        });
        there
    }

    fn broken(&self) -> Vec<String> {
        verdict(&self.scene.record.borrow(), self.scene.now())
    }
}

#[test]
fn a_node_whose_way_to_a_server_is_broken_costs_the_others_nothing_but_calls() {
    on_one_thread(async {
        let mut w = Ways::new("ways").await;
        let before = w.ask(1000, 10).await;
        assert!(before.iter().all(|n| *n > 0), "{before:?}");
        // What the first says arrives at server a, and no answer comes back; after a while its connections break.
        w.ways[0][0].set(Flow::Through, Flow::Cut);
        w.ask(2000, 10).await;
        w.ways[0][0].reset();
        let during = w.ask(3000, 20).await;
        // It knows by then, and has told the others, who found out that it is not so.
        assert!(during[0] <= 3 && during[1] > 0 && during[2] > 0, "{during:?}");
        w.ways[0][0].set(Flow::Through, Flow::Through);
        let mut after = [0; 3];
        for round in 0..20 {
            after = w.ask(10_000 + 1000 * round, 5).await;
            if after[0] > 0 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        assert!(after[0] > 0, "the way is whole again, and used");
        all_kept(&w.scene);
        // The verdict sees a program that answers nobody: one that stands still.
        w.nodes[1].signal("-STOP");
        w.scene.note(Seen::Asked { id: 9, patience: 4000 * MS, paid: false, floor: 0 });
        w.viewers[1].send(&set_up(9, "free")).await;
        tokio::time::sleep(Duration::from_millis(4300)).await;
        assert!(w.broken().iter().any(|b| b.contains('9')), "{:?}", w.broken());
        assert_eq!(final_counts(&w.scene.record.borrow()).unanswered, [9]);
        w.nodes[1].signal("-CONT");
    });
}

#[test]
fn ways_that_are_late_cut_and_reset_by_turns_break_no_rule() {
    on_one_thread(async {
        let mut w = Ways::new("turns").await;
        w.ask(1000, 3).await;
        let late = Flow::Late(Duration::from_millis(120));
        let turns: [(usize, usize, Flow, Flow); 6] = [
            (0, 0, late, Flow::Through),
            (1, 1, Flow::Cut, Flow::Through),
            (2, 2, Flow::Cut, Flow::Cut),
            (0, 1, Flow::Through, late),
            (1, 0, Flow::Cut, Flow::Cut),
            (2, 0, late, late),
        ];
        for (turn, (node, way, there, back)) in turns.into_iter().enumerate() {
            w.ways[node][way].set(there, back);
            w.ask(2000 + 1000 * turn as u64, 4).await;
            if turn % 2 == 1 {
                w.ways[node][way].reset();
            }
        }
        // The bus tells of a drain: one way to it is cut, and its node hears from the others.
        let calls = w.bus.calls.borrow().len();
        assert!(calls >= 3, "{calls}");
        w.ways.iter().flatten().for_each(|way| way.set(Flow::Through, Flow::Through));
        let there = w.ask(20_000, 10).await;
        assert!(there.iter().sum::<usize>() > 0, "{there:?}");
        all_kept(&w.scene);
    });
}

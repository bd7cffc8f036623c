//! The cases. Each returns what was broken.

use crate::*;

pub fn play(case: &str, trouble: bool) -> Vec<String> {
    match case {
        "adopted" => adopted(trouble),
        "address" => address(trouble),
        "seat" => seat(trouble),
        "swallowed" => swallowed(trouble),
        "descriptors" => descriptors(trouble),
        _ => cannot("there is no such case"),
    }
}

/// A class in the settings.
struct Class {
    name: &'static str,
    effect: &'static str,
    aim: u64,
    patience: u64,
    worth: f64,
    scale: f64,
    floor: u32,
    seats: u32,
}

/// What differs between deployments.
struct Site {
    zones: &'static [&'static str],
    classes: Vec<Class>,
    cells: u32,
    racks: u32,
    attempts: u32,
    idle_s: u64,
    fall: (f64, u64),
    tell_ms: u64,
    full_from: f64,
}

impl Site {
    /// The settings as a node's configuration holds them.
    fn settings(&self) -> String {
        let classes: Vec<String> = self
            .classes
            .iter()
            .map(|c| {
                format!(
                    r#"{{"name":"{}","effect":"{}","promise_ns":{},"deadline_ns":{},"dedup_scope":"all","window_ns":5000000000,"stream":true,"late_worth":0,"worth":{}}}"#,
                    c.name,
                    c.effect,
                    c.aim * 1_000_000,
                    c.patience * 1_000_000,
                    c.worth
                )
            })
            .collect();
        let each = |value: &dyn Fn(&Class) -> String| {
            self.classes.iter().map(value).collect::<Vec<_>>().join(",")
        };
        let zones: Vec<String> = self.zones.iter().map(|z| format!("\"{z}\"")).collect();
        format!(
            r#"{{"classes":[{}],"dcs":[{}],"models":["box"],"family":"streams","family_info":{{"cells":{},"racks":{},"rung_kb":[200.0,350.0,600.0,1000.0,1800.0],"worth_by_rung":[0.2,0.4,0.6,0.8,1.0],"scale_by_class":[{}],"floor_by_class":[{}],"highest_rung":[{}],"licence_cap":[{}],"class_live":[{}],"places_by_kind":[22],"kb_per_weight":3000.0,"all_links_kb":72000.0,"uplink_kb":30000.0,"full_from":{},"join":1.0,"see_ns":900000000,"tell_ns":{},"stall":7.0,"switch_s":0.7}},"group_size":1,"layer":0,"me":0,"zone":"{}","weights":"nominal","value_by":"request","over_share_worth":0.1,"tiers":["boxes"],"tenants":[],"quantum_ns":10000000,"registry_mode":"automatic","stats":{{"columns":["x0","x1"],"how":"answers"}},"client_habits":{{"marks_retry":false}},"penalties":{{"cross_zone":0.04,"late_fail":0.05,"moves":0.1,"probe":0.01,"connection":0,"handshake":0,"origin":0,"peer":0,"registry_mode":0,"waste":0}},"permissions":{{"max_attempts":{},"retry_after":true,"max_retry_after_ns":2000000000,"max_streams":32,"conn_idle_ns":{},"connect_timeout_ns":250000000,"probes":true,"peers":false,"second_copies":false,"may_cancel":true,"most_held":1000000,"cpu_us_per_s":500000,"cpu_us_per_request":0}},"rules":{{"stop_sending_within_ns":250000000,"grace_to_answer_ns":40000000,"ask_within_ns":10000000000,"cold_ns":12000000000,"start_capacity":0.4,"fall_multiple":{},"fall_ns":{}}}}}"#,
            classes.join(","),
            zones.join(","),
            self.cells,
            self.racks,
            each(&|c| c.scale.to_string()),
            each(&|c| c.floor.to_string()),
            each(&|_| "4".into()),
            each(&|c| c.seats.to_string()),
            each(&|_| "false".into()),
            self.full_from,
            self.tell_ms * 1_000_000,
            self.zones[0],
            self.attempts,
            self.idle_s * 1_000_000_000,
            self.fall.0,
            self.fall.1 * 1_000_000,
        )
    }
}

/// vembanad-media: one class, which may be set up again.
fn vembanad(cells: u32) -> Site {
    Site {
        zones: &["north-wing", "south-wing", "annex-wing"],
        classes: vec![Class {
            name: "recorded-play",
            effect: "idempotent",
            aim: 800,
            patience: 4000,
            worth: 1.0,
            scale: 0.7,
            floor: 0,
            seats: 0,
        }],
        cells,
        racks: 3,
        attempts: 3,
        idle_s: 30,
        fall: (2.5, 2000),
        tell_ms: 2500,
        full_from: 0.0,
    }
}

/// head-office-media: one paid class with seats, one that may be set up again.
fn head_office(cells: u32, seats: u32) -> Site {
    Site {
        zones: &["north-hall", "east-hall", "south-hall"],
        classes: vec![
            Class {
                name: "sponsor-spot",
                effect: "at_most_once",
                aim: 1000,
                patience: 4000,
                worth: 2.0,
                scale: 1.4,
                floor: 1,
                seats,
            },
            Class {
                name: "how-to-clip",
                effect: "idempotent",
                aim: 1500,
                patience: 5000,
                worth: 1.0,
                scale: 1.0,
                floor: 0,
                seats: 0,
            },
        ],
        cells,
        racks: 2,
        attempts: 4,
        idle_s: 15,
        fall: (3.0, 1000),
        tell_ms: 2500,
        full_from: 1.2,
    }
}

fn wish(id: u64, class: &'static str, title: &str, home: u32, copies: u32, patience: u64) -> Wish {
    Wish { id: 0x9b1f_03aa_0000_0000 + id, class, title: title.into(), home, copies, patience }
}

fn rows(servers: &[Arc<Server>], state: &str) -> Vec<String> {
    servers.iter().map(|s| s.row(state, 0)).collect()
}

/// Boxes are started again one after the other, the list tells of it seconds later, and a front node is restarted in
/// between: sessions that were set up after the start of their box, and are handed over to the new front node, are
/// ended by the news of that start.
fn adopted(trouble: bool) -> Vec<String> {
    const STARTED_TO_TOLD: u64 = 2400;
    let site = vembanad(3);
    let zones = site.zones;
    let servers: Vec<Arc<Server>> = (0..6u32)
        .map(|i| Server::start(&format!("s-{i:08x}"), i % 3, zones[i as usize % 3], 30_000, 2500))
        .collect();
    let bus = Bus::start(&rows(&servers, "up"));
    let node = Node::new();
    node.start(&bus, &site.settings(), 256);
    let viewer = Viewer::ready(node.listen);
    let ask = |id: u64| wish(id, "recorded-play", &format!("title-{}", id % 3), (id % 3) as u32, 3, 4000);
    for id in 1..=6 {
        viewer.stands(&ask(id));
        sleep(ms(50));
    }
    sleep(ms(300));
    // One of the six boxes is replaced: it starts anew under its id, cold.
    let new = servers.iter().position(|s| !s.standing().is_empty()).unwrap_or_else(|| cannot("no session stands"));
    servers[new].restart(300);
    let (started, at) = (unix_ms(), now());
    sleep(ms(100));
    // Viewers go on asking, those whose sessions were cut among them; some come to the boxes that have just started.
    let mut last = 100;
    let mut after: Vec<(Wish, usize)> = Vec::new();
    while now() < at + 800 || (now() < at + 1300 && servers[new].standing().is_empty()) {
        last += 1;
        viewer.stands(&ask(last));
        sleep(ms(40));
    }
    for (n, s) in servers.iter().enumerate() {
        for id in s.standing().into_keys() {
            after.push((ask(id - wish(0, "", "", 0, 0, 0).id), n));
        }
    }
    let cold = after.iter().filter(|a| a.1 == new).count();
    note(format!("{cold} sessions play at the box that has just started"));
    if cold == 0 {
        cannot("no session came to the box that has just started");
    }
    let mut viewer = viewer;
    if trouble {
        node.stop();
        node.start(&bus, &site.settings(), 256);
        viewer = Viewer::ready(node.listen);
        // Those of a start arrive as soon as the first test has been passed.
        for (w, n) in &after {
            viewer.hand_over(w, &servers[*n].name());
        }
    }
    while now() < at + STARTED_TO_TOLD {
        sleep(ms(10));
    }
    bus.tell(false, &[servers[new].row("up", started)]);
    sleep(ms(3000));
    let mut faults = Vec::new();
    for (w, n) in &after {
        let stands = servers[*n].standing().contains_key(&w.id);
        if let Some(h) = viewer.released(w.id).filter(|_| stands) {
            faults.push(format!(
                "{} plays at {} still, which never ended it and was not asked to; its viewer was told at {} ms that it is over (cause {:?})",
                hex(w.id),
                servers[*n].name(),
                h.at,
                h.cause
            ));
        }
    }
    faults
}

/// A machine vanishes, another server takes its address, and the event bus is out of reach meanwhile: the sessions of the
/// one that vanished are not released.
fn address(trouble: bool) -> Vec<String> {
    const OUT_OF_REACH: u64 = 12_000;
    let site = head_office(3, 0);
    let zones = site.zones;
    let servers: Vec<Arc<Server>> = (0..6u32)
        .map(|i| Server::start(&format!("s-{i:08x}"), i % 3, zones[i as usize % 3], 60_000, 2500))
        .collect();
    let bus = Bus::start(&rows(&servers, "up"));
    let node = Node::new();
    node.start(&bus, &site.settings(), 256);
    let viewer = Viewer::ready(node.listen);
    for id in 1..=18u64 {
        let w = wish(id, "how-to-clip", &format!("clip-{}", id % 3), (id % 3) as u32, 3, 5000);
        viewer.stands(&w);
        sleep(ms(40));
    }
    sleep(ms(2000));
    let lost = servers.iter().max_by_key(|s| s.standing().len()).expect("six").clone();
    let (name, sessions) = (lost.name(), lost.standing());
    if sessions.is_empty() {
        cannot("no session came to stand");
    }
    if !trouble {
        sleep(ms(20_000));
        let over = |id: &&u64| viewer.released(**id).is_some();
        return sessions.keys().filter(over).map(|id| format!("{} was released", hex(*id))).collect();
    }
    bus.set_down(true);
    let down = now();
    sleep(ms(500));
    lost.vanish();
    let end = now();
    sleep(ms(2000));
    lost.address_taken("s-000000a0");
    let started = unix_ms();
    // The new server is in the list from now on; the bus tells it when it is back in reach.
    let gone = format!(
        r#"{{"id":"{name}","addr":"{}","zone":"{}","kind":"box","cell":{},"state":"removed","weight":2,"started_ms":0}}"#,
        lost.addr, zones[0], lost.cell
    );
    bus.tell(false, &[gone, lost.row("up", started)]);
    while now() < down + OUT_OF_REACH {
        sleep(ms(10));
    }
    bus.set_down(false);
    sleep(ms(5000));
    let mut faults = Vec::new();
    for id in sessions.keys() {
        let released = viewer.released(*id).map(|h| h.at);
        if released.is_none_or(|at| at > end + 8_000 + 50) {
            let when = released.map_or("never".into(), |at| format!("{} ms after its end", at - end));
            faults.push(format!("{} was cut with its machine at {end} ms; released {when}, 8,050 ms at most", hex(*id)));
        }
    }
    faults
}

/// A viewer ends its session; the connection to its server is reset before that arrives there. The front node counts the
/// seat as free and never says it again: one session more than seats stands at its servers.
fn seat(trouble: bool) -> Vec<String> {
    const SEATS: u32 = 2;
    let site = head_office(3, SEATS);
    let zones = site.zones;
    let servers: Vec<Arc<Server>> = (0..6u32)
        .map(|i| Server::start(&format!("s-{i:08x}"), i % 3, zones[i as usize % 3], 60_000, 2500))
        .collect();
    let bus = Bus::start(&rows(&servers, "up"));
    let node = Node::new();
    node.start(&bus, &site.settings(), 256);
    let viewer = Viewer::ready(node.listen);
    let spot = |id: u64| wish(id, "sponsor-spot", "spot-1", 0, 3, 4000);
    for id in 1..=2 {
        if !viewer.stands(&spot(id)) {
            cannot("the first sessions do not stand");
        }
    }
    for id in 11..=22u64 {
        viewer.stands(&wish(id, "how-to-clip", &format!("clip-{}", id % 3), (id % 3) as u32, 3, 5000));
        sleep(ms(40));
    }
    // The seats are counted: a third one is refused.
    if viewer.stands(&spot(3)) {
        return vec!["a third session stands while two hold the seats".into()];
    }
    sleep(ms(1500));
    let first = spot(1).id;
    let at = servers.iter().find(|s| s.standing().contains_key(&first)).unwrap_or_else(|| cannot("it stands nowhere"));
    if trouble {
        at.stall();
        sleep(ms(20));
    }
    viewer.leave(first);
    sleep(ms(200));
    if trouble {
        at.reset_stalled();
    }
    sleep(ms(5000));
    // Other viewers want the same spot; each comes again after a second.
    let mut most = 0;
    for id in 4..=8 {
        viewer.stands(&spot(id));
        let held: Vec<u64> = servers
            .iter()
            .flat_map(|s| s.standing())
            .filter(|(_, p)| p.key == "sponsor-spot spot-1")
            .map(|(id, _)| id)
            .collect();
        most = most.max(held.len());
        note(format!("{} sessions of the spot stand at servers", held.len()));
        sleep(ms(1000));
    }
    if most > SEATS as usize {
        return vec![format!("{most} sessions of one clip of sponsor-spot stand at the servers of one front; its seats are {SEATS}")];
    }
    Vec::new()
}

/// One answer of a server is cut off halfway. What the server says next on that connection can't be read: the release of a
/// session that has come to its end. The front node closes the connection, but opens no next one on which the server says it
/// again, since another connection to that server is open.
fn swallowed(trouble: bool) -> Vec<String> {
    let site = vembanad(4);
    let zones = site.zones;
    // Sessions of 16 to 22 s, set-ups of 80 ms.
    let servers: Vec<Arc<Server>> = (0..4u32)
        .map(|i| Server::start_slow(&format!("s-{i:08x}"), i, zones[i as usize % 3], (16_000, 6_000), 2500, 80))
        .collect();
    let bus = Bus::start(&rows(&servers, "up"));
    let node = Node::new();
    node.start(&bus, &site.settings(), 256);
    let viewer = Viewer::ready(node.listen);
    // The usual load: 8.9 set-ups a second, in pairs.
    let (mut id, mut asked, begun) = (0u64, Vec::new(), now());
    let mut spoilt = None;
    while spoilt.is_none() && now() < begun + 70_000 {
        for _ in 0..2 {
            id += 1;
            let w = wish(id, "recorded-play", &format!("title-{}", id % 4), (id % 4) as u32, 3, 4000);
            viewer.ask(&w);
            asked.push(w.id);
        }
        if now() > begun + 16_500 {
            if trouble {
                servers.iter().for_each(|s| s.set_spoil(Some(90)));
            } else if now() > begun + 20_000 {
                break;
            }
        }
        wait_for(225, || {
            spoilt = servers.iter().find_map(|s| Some((s.clone(), s.spoilt()?)));
            spoilt.is_some()
        });
    }
    servers.iter().for_each(|s| s.set_spoil(None));
    // A quiet time.
    note("viewers ask no more for a while");
    let quiet = now();
    let Some((server, spoilt)) = spoilt else {
        if trouble {
            cannot("no session ended soon after another's set-up on its connection");
        }
        sleep(ms(9_500));
        // Each session that a server has ended has been released in time.
        let standing: Vec<u64> = servers.iter().flat_map(|s| s.standing().into_keys()).collect();
        let served = |id: &&u64| viewer.any(|h| h.session == **id && h.kind == ANSWER).is_some();
        let late = |id: &&u64| viewer.released(**id).is_none() && !standing.contains(id);
        let faults = asked.iter().filter(served).filter(late);
        return faults.map(|id| format!("{} is over and was not released", hex(*id))).collect();
    };
    wait_for(1000, || !server.standing().contains_key(&spoilt.ends));
    let end = now();
    while now() < quiet + 9_500 {
        sleep(ms(10));
    }
    let released = viewer.released(spoilt.ends).map(|h| h.at);
    if released.is_some_and(|at| at <= end + 1_050) {
        return Vec::new();
    }
    let when = released.map_or(format!("not within {} ms", now() - end), |at| format!("after {} ms", at - end));
    vec![format!(
        "{} came to its end at {} at {end} ms, and the server released it; its viewer was told {when}: 1,050 ms at most, and 8,050 ms where no release can be sent",
        hex(spoilt.ends),
        server.name()
    )]
}

/// A front node starts and is handed over sessions that play at more servers than it may have connections to. It connects to
/// all of them, no descriptor is left with which to accept, and viewers that have connected get no answer.
fn descriptors(trouble: bool) -> Vec<String> {
    const SERVERS: u32 = 200;
    const SOCKETS: u32 = 256;
    let cells = 40;
    let site = head_office(cells, 0);
    let zones = site.zones;
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|i| Server::start(&format!("s-{i:08x}"), i % cells, zones[i as usize % 3], 60_000, 2500))
        .collect();
    let bus = Bus::start(&rows(&servers, "up"));
    let node = Node::new();
    node.start(&bus, &site.settings(), SOCKETS);
    let viewer = Viewer::ready(node.listen);
    if trouble {
        // One session at each server, all of the class that may be set up again.
        for (n, server) in servers.iter().enumerate() {
            let w = wish(10_000 + n as u64, "how-to-clip", &format!("clip-{}", server.cell), server.cell, 3, 5000);
            server.plays(&w.id, 50_000);
            viewer.hand_over(&w, &server.name());
        }
        sleep(ms(1000));
    }
    // 25 set-ups a second; viewers hold 80 connections, under a third of the descriptors.
    let (mut viewers, mut asked): (Vec<Viewer>, Vec<(u64, u64, usize)>) = Default::default();
    for id in 0..160u64 {
        if viewers.len() < 80 {
            // What the machine does not accept has not been taken.
            let Some(v) = Viewer::connect(node.listen) else { continue };
            viewers.push(v);
        }
        let at = if id < 80 { viewers.len() - 1 } else { id as usize % viewers.len() };
        let home = (id * 7 % u64::from(cells)) as u32;
        let w = wish(1 + id, "how-to-clip", &format!("clip-{home}"), home, 3, 5000);
        viewers[at].ask(&w);
        asked.push((w.id, now(), at));
        sleep(ms(40));
    }
    sleep(ms(6000));
    let unanswered = |a: &&(u64, u64, usize)| {
        viewers[a.2].any(|h| h.session == a.0 && (h.kind == ANSWER || h.kind == RELEASE)).is_none()
    };
    let faults: Vec<_> = asked.iter().filter(unanswered).collect();
    faults
        .iter()
        .map(|a| {
            let state = if viewers[a.2].is_open() { "its connection is open" } else { "its connection was closed" };
            format!("{} was asked at {} ms with 5,000 ms and never answered; {state}", hex(a.0), a.1)
        })
        .collect()
}

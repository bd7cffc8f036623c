//! Randomly generated deployments, and a day of each around the core, judged from the recorded traffic.
#![allow(dead_code)]

use crate::world::*;
use micadyke_isup::{Message, code, kind};
use micadyke_membership::server_report::{Finding, ServerReport};
use micadyke_node::Input;
use micadyke_node::config::{Config, read};
use micadyke_recovery::phases::MembershipEvent as Fact;
use micadyke_standin::platform::{Record, Seen, Treat};
use micadyke_subset::settings::SubsetSettings;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone)]
pub struct Class {
    pub effect: &'static str,
    pub scope: &'static str,
    pub window: u64,
    /// The longest patience of its viewers.
    pub deadline: u64,
    pub floor: usize,
    pub top: usize,
}

#[derive(Debug, Clone)]
pub struct Place {
    pub zone: String,
    pub kind: &'static str,
    pub cell: u64,
    pub weight: f64,
    pub started: u64,
}

impl Place {
    fn row(&self, n: usize, state: &str) -> String {
        let addr = server_addr(n);
        let (zone, kind, cell, weight, started) =
            (&self.zone, self.kind, self.cell, self.weight, self.started);
        format!(
            r#"{{"id":"s-{n}","addr":"{addr}","zone":"{zone}","kind":"{kind}","cell":{cell},"state":"{state}","weight":{weight},"started_ms":{started}}}"#
        )
    }
}

/// A deployment.
#[derive(Debug, Clone)]
pub struct Site {
    pub settings: Value,
    pub classes: Vec<Class>,
    pub rungs: usize,
    pub cells: u64,
    pub attempts: usize,
    pub places: Vec<Place>,
    pub sockets: u64,
}

/// The fixed parameters of a deployment.
#[derive(Debug, Default, Clone, Copy)]
pub struct Fixed {
    pub classes: Option<usize>,
    pub rungs: Option<usize>,
    pub cells: Option<u64>,
    pub zones: Option<usize>,
}

/// Generates a deployment.
pub fn site(r: &mut StdRng, fixed: Fixed) -> Site {
    let rungs = *[1, 1, 2, 3, 5, 9].choose(r).unwrap();
    let rungs = fixed.rungs.unwrap_or(rungs);
    let number = *[1, 1, 2, 3, 8].choose(r).unwrap();
    let classes: Vec<Class> = (0..fixed.classes.unwrap_or(number))
        .map(|_| {
            let top = r.random_range(0..rungs);
            Class {
                effect: ["idempotent", "at_most_once", "deduplicated"].choose(r).unwrap(),
                scope: ["", "all", "zone", "cell"].choose(r).unwrap(),
                window: *[0, 300 * MS, 2 * SECOND, 60 * SECOND].choose(r).unwrap(),
                deadline: 4 * SECOND,
                floor: r.random_range(0..=top),
                top,
            }
        })
        .collect();
    let (cells, racks) = (*[1, 1, 2, 7, 40].choose(r).unwrap(), r.random_range(1..12));
    let cells = fixed.cells.unwrap_or(cells);
    let number = *[0, 0, 1, 2, 6].choose(r).unwrap();
    let zones: Vec<String> = (0..fixed.zones.unwrap_or(number)).map(|z| format!("d{z}")).collect();
    let own = zones.choose(r).cloned().unwrap_or_default();
    let mut rate = 0.0;
    let mut steps = || {
        rate += r.random_range(0.1..900.0);
        rate
    };
    let rates: Vec<f64> = (0..rungs).map(|_| steps()).collect();
    let worths: Vec<f64> = rates.iter().map(|v| v / rates[rungs - 1]).collect();
    let each = |f: &dyn Fn(&Class) -> Value| classes.iter().map(f).collect::<Vec<Value>>();
    let named = |(i, c): (usize, &Class)| {
        let mut v = json!({"name": format!("c{i}"), "effect": c.effect, "worth": i, "promise_ns": 900 * MS,
            "deadline_ns": c.deadline, "stream": true});
        if !c.scope.is_empty() {
            v["dedup_scope"] = c.scope.into();
        }
        if c.window > 0 {
            v["window_ns"] = c.window.into();
        }
        v
    };
    let tenants: Vec<Value> = (0..r.random_range(0..4))
        .map(|t| json!({"name": format!("t{t}"), "quota_per_s": 3, "portion": 0.25}))
        .collect();
    let attempts = r.random_range(1..6);
    let mut settings = json!({
        "classes": classes.iter().enumerate().map(named).collect::<Vec<_>>(), "tenants": tenants,
        "dcs": zones, "zone": own, "models": ["k0", "k1"], "group_size": *[0, 1, 300].choose(r).unwrap(),
        "weights": *["none", "nominal", "rough", "live"].choose(r).unwrap(), "unheard_of": {"x": [1, null]},
        "registry_mode": "automatic", "client_habits": {}, "stats": {"columns": [], "how": "none"},
        "family_info": {"cells": cells, "racks": racks, "rung_kb": rates, "worth_by_rung": worths,
            "floor_by_class": each(&|c| c.floor.into()), "highest_rung": each(&|c| c.top.into()),
            "scale_by_class": each(&|_| 1.3.into()), "licence_cap": each(&|c| c.floor.into()),
            "places_by_kind": [r.random_range(0..500), 40], "kb_per_weight": *[0.0, 0.5, 2e3, 1e6].choose(r).unwrap(),
            "uplink_kb": *[0.0, 9e3, 1e7].choose(r).unwrap(), "see_ns": 500 * MS, "tell_ns": *[0, SECOND].choose(r).unwrap(),
            "full_from": *[0.0, 1.1].choose(r).unwrap(), "switch_s": 0.5},
        "penalties": {"cross_zone": 0.04, "handshake": *[0.0, 0.2].choose(r).unwrap()},
        "permissions": {"max_attempts": attempts, "retry_after": r.random::<bool>(), "max_retry_after_ns": SECOND,
            "max_streams": *[0, 1, 32].choose(r).unwrap(), "conn_idle_ns": *[0, u64::MAX].choose(r).unwrap(),
            "connect_timeout_ns": *[0, 100 * MS, u64::MAX].choose(r).unwrap(), "probes": true,
            "most_held": *[0, 12, 1_000_000_000_000u64].choose(r).unwrap()},
        "rules": {"cold_ns": *[0, 5 * SECOND, u64::MAX].choose(r).unwrap(), "start_capacity": 0.4,
            "fall_multiple": *[0.0, 2.5].choose(r).unwrap(), "fall_ns": *[0, SECOND].choose(r).unwrap()},
    });
    if r.random() {
        settings["rules"]["counted_over_ns"] = (2 * SECOND).into();
        settings["rules"]["budget_share"] = 0.2.into();
        settings["rules"]["spare_attempts"] = 3.into();
    }
    let mut site = Site { settings, classes, rungs, cells, attempts, places: Vec::new(), sockets: 0 };
    // Optional fields.
    for path in OPTIONAL.iter().filter(|_| r.random_bool(0.2)) {
        let parent = path.0.iter().fold(&mut site.settings, |v, key| match key.parse::<usize>() {
            Ok(i) => &mut v[i],
            Err(_) => &mut v[*key],
        });
        let held = parent.as_object_mut().and_then(|o| o.remove(path.1)).is_some();
        match path.1 {
            "floor_by_class" if held => site.classes.iter_mut().for_each(|c| c.floor = 0),
            "highest_rung" if held => site.classes.iter_mut().for_each(|c| c.top = rungs - 1),
            _ => {}
        }
    }
    site.sockets = *[64, 256, 1024].choose(r).unwrap();
    let known = zones.iter().cloned().chain(["unlisted".into(), "another".into()]).collect::<Vec<_>>();
    site.places = (0..*[1, 2, 5, 30, 200].choose(r).unwrap())
        .map(|_| Place {
            zone: if zones.is_empty() { String::new() } else { known.choose(r).unwrap().clone() },
            kind: ["k0", "k1", "k9"].choose(r).unwrap(),
            cell: if r.random_bool(0.02) { u64::from(u32::MAX) } else { r.random_range(0..cells) },
            weight: *[0.0, 0.5, 1.0, 1.0, 4.0, 1e9].choose(r).unwrap(),
            started: if r.random_bool(0.2) { START / MS - r.random_range(0..3000) } else { 0 },
        })
        .collect();
    site
}

/// The location of an optional field.
const OPTIONAL: [(&[&str], &str); 30] = [
    (&[], "dcs"),
    (&[], "zone"),
    (&[], "models"),
    (&[], "group_size"),
    (&[], "weights"),
    (&[], "registry_mode"),
    (&[], "penalties"),
    (&[], "rules"),
    (&[], "tenants"),
    (&["family_info"], "floor_by_class"),
    (&["family_info"], "highest_rung"),
    (&["family_info"], "scale_by_class"),
    (&["family_info"], "licence_cap"),
    (&["family_info"], "places_by_kind"),
    (&["family_info"], "kb_per_weight"),
    (&["family_info"], "uplink_kb"),
    (&["family_info"], "see_ns"),
    (&["family_info"], "tell_ns"),
    (&["family_info"], "full_from"),
    (&["family_info"], "switch_s"),
    (&["permissions"], "retry_after"),
    (&["permissions"], "max_retry_after_ns"),
    (&["permissions"], "max_streams"),
    (&["permissions"], "conn_idle_ns"),
    (&["permissions"], "connect_timeout_ns"),
    (&["permissions"], "most_held"),
    (&["permissions"], "probes"),
    (&["classes", "0"], "worth"),
    (&["classes", "0"], "promise_ns"),
    (&["classes", "0"], "stream"),
];

pub fn config_of(site: &Site, seed: u64) -> Config {
    let rows: Vec<String> = site.places.iter().enumerate().map(|(n, p)| p.row(n, "up")).collect();
    let servers: Value = serde_json::from_str(&format!("[{}]", rows.join(","))).unwrap();
    let list = json!({"offset": 1, "topology": {"version": 1, "full": true, "servers": servers}});
    let config = json!({"name": "n", "listen": "127.0.0.1:2905", "seed": format!("{seed:016x}"),
        "limits": {"cores": 1, "memory_mb": 32, "sockets": site.sockets}, "bus": "127.0.0.2:4222",
        "known": {"offset": 1, "batch": [list]}, "settings": site.settings});
    read(&config.to_string()).unwrap_or_else(|e| panic!("seed {seed}: {e}"))
}

/// A viewer's request.
#[derive(Debug, Clone)]
pub struct Asked {
    pub class: Class,
    pub base: u64,
    pub spread: u64,
    pub top: usize,
}

/// Broken rules in the record that depend on the deployment: rungs, cells, attempts, duplicates.
fn broken_terms(site: &Site, record: &Record, asked: &BTreeMap<u64, Asked>) -> Vec<String> {
    let mut broken = Vec::new();
    let place = |server: &str| server[2..].parse().ok().and_then(|n: usize| site.places.get(n));
    let mut sends: BTreeMap<u64, (usize, u64)> = BTreeMap::new();
    let mut ran: BTreeMap<u64, (u64, String)> = BTreeMap::new();
    for (at, seen) in record {
        let mut breach = |id: &u64, what: String| broken.push(format!("{id}: {what}: {:?}", asked.get(id)));
        match seen {
            Seen::Sent { id, server, rung } => {
                let (Some(a), Some(p)) = (asked.get(id), place(server)) else { continue };
                let sent = sends.entry(*id).or_default();
                *sent = (sent.0 + 1, *at);
                if sent.0 > site.attempts {
                    breach(id, format!("attempt {}", sent.0));
                }
                if *rung > a.top.min(a.class.top).max(a.class.floor) {
                    breach(id, format!("at rung {rung}"));
                }
                if (p.cell % site.cells + site.cells - a.base) % site.cells >= a.spread {
                    breach(id, format!("at cell {}", p.cell));
                }
                let Some((first, group)) = ran.get(id).filter(|_| a.class.effect == "deduplicated") else {
                    continue;
                };
                let same = place(group).is_some_and(|g| match a.class.scope {
                    "zone" => g.zone == p.zone,
                    "cell" => g.cell == p.cell,
                    _ => true,
                });
                if !same || *at > first + a.class.window + 50 * MS {
                    breach(id, format!("repeated at {server} {} ms after {group}", (at - first) / MS));
                }
            }
            Seen::Withdrawn { id, server }
            | Seen::Ended { id, server, ran: true }
            | Seen::Stood { id, server, .. } => {
                let at = sends.get(id).map_or(0, |s| s.1);
                ran.entry(*id).or_insert((at, server.clone()));
            }
            _ => {}
        }
    }
    broken
}

/// The rules that a day broke. Here the list reports restarts of servers whose stand-ins keep running: a session that the node
/// released for that ends at its server once more and is not released twice.
pub fn broken_rules(w: &World, how: Option<Break>) -> Vec<String> {
    let released: Vec<String> = w
        .record
        .iter()
        .filter_map(|r| match r.1 {
            Seen::Released { id } => Some(format!("{id:016x} is over and was not released")),
            _ => None,
        })
        .collect();
    let before = |b: &String| released.iter().any(|r| b.contains(r));
    w.broken_rules().into_iter().filter(|b| how.is_some() || !before(b)).collect()
}

/// The node's coordination settings.
fn terms(r: &mut StdRng) -> SubsetSettings {
    let least = *[1, 1, 3, 20].choose(r).unwrap();
    let (rate, burst) = (r.random_range(1..20), r.random_range(1..5));
    let (slots, slot) = (r.random_range(1..9), *[100, 400, 3000].choose(r).unwrap());
    let mut text = String::from("(subset ");
    if r.random_bool(0.7) {
        text +=
            &format!("(working (least {least}) (held-by {burst}) (rate {rate}) (burst {burst}) (hold 1s))");
    }
    if r.random_bool(0.7) {
        text += &format!("(turns (window {}ms) (slots {slots}))", slot * slots);
    }
    text += r#"(nodes "n" (zone "d0") (capacity 2)) (nodes "m" (zone "d1")))"#;
    micadyke_subset::settings::read(&text, "n").unwrap_or_else(|e| panic!("{text}: {e:?}")).unwrap()
}

/// An event of the fleet: members come and go, the view settles, or a finding is reported, true or not.
fn fleet(w: &mut World, r: &mut StdRng, servers: usize) {
    let member = format!("m{}", r.random_range(0..9));
    let server = format!("s-{}", r.random_range(0..servers));
    let what = *[Finding::Silent, Finding::Refused, Finding::Restarted].choose(r).unwrap();
    match r.random_range(0..8) {
        0 | 1 => w.feed(Input::Membership(&Fact::Alive(member, 1))),
        2 => w.feed(Input::Membership(&Fact::Gone(member))),
        3 | 4 => w.feed(Input::Membership(&Fact::ViewSettled(r.random_bool(0.8)))),
        5 | 6 => w.feed(Input::ServerReport(&ServerReport::Found { server, what })),
        _ => {}
    }
}

/// Runs a day of a random deployment. Returns it, the world after it, and the broken rules.
pub fn day(
    seed: u64, how: Option<Break>, draw: impl FnOnce(&mut StdRng) -> Site,
) -> (Site, World, Vec<String>) {
    let mut r = StdRng::seed_from_u64(seed);
    let site = draw(&mut r);
    let config = config_of(&site, seed);
    let servers = site.places.len();
    let mut w = World::with(config, servers, how);
    let mut chosen = StdRng::seed_from_u64(!seed);
    let chooses = chosen.random_bool(0.5);
    if chooses {
        w.node.enable_peers();
        w.node.coordinate("n", terms(&mut chosen));
    }
    w.servers.values_mut().for_each(|s| s.usual = Treat::Serve(2 * SECOND));
    let (mut viewer, mut id, mut offset) = (w.viewer(), 1, 1);
    let (mut asked, mut drained, mut open) = (BTreeMap::new(), BTreeSet::new(), Vec::new());
    let crowd = *[5, 60].choose(&mut r).unwrap();
    for _ in 0..r.random_range(20..120) {
        w.run(r.random_range(0..120) * MS);
        if w.closed.contains_key(&viewer) || open.len() > 40 {
            open.clear();
            viewer = w.viewer();
        }
        let n = r.random_range(0..servers);
        if chooses {
            fleet(&mut w, &mut chosen, servers);
        }
        match r.random_range(0..100) {
            dice if dice < crowd || dice >= 96 => {
                let class = r.random_range(0..site.classes.len());
                let spread = r.random_range(1..=site.cells);
                let a = Asked {
                    class: site.classes[class].clone(),
                    base: r.random_range(0..site.cells),
                    spread,
                    top: r.random_range(0..site.rungs),
                };
                // In steps of a 4000th of its class's longest patience.
                let patience = (r.random_range(300..4000) * (a.class.deadline / MS) / 4000).max(1);
                let figures =
                    format!("home:{};copies:{spread};top:{};viewer:1;again:{}", a.base, a.top, id % 2);
                let message = Message::new(kind::SETUP, id)
                    .with(code::CLASS, format!("c{class}"))
                    .with(code::MAX_WAIT, patience.to_string())
                    .with(code::TITLE, format!("t{}", id % 5))
                    .with(code::FIGURES, figures)
                    .with(code::DESCRIPTION, "wish");
                let (paid, floor) = (a.class.effect == "at_most_once", a.class.floor);
                w.record.push((w.now, Seen::Asked { id, patience: patience * MS, paid, floor }));
                w.send(viewer, message.encode().unwrap());
                asked.insert(id, a);
                open.push(id);
                id += 1;
            }
            60..64 if !open.is_empty() => w.give_up(viewer, open[r.random_range(0..open.len())]),
            64..80 => {
                let all = [
                    Treat::Status(453),
                    Treat::Status(454),
                    Treat::Status(500),
                    Treat::Status(504),
                    Treat::Silent,
                    Treat::Noise,
                    Treat::Break,
                    Treat::Twice,
                    Treat::Release,
                ];
                let treat = *all.choose(&mut r).unwrap();
                // One server or a share of all, as few set-ups reach one of two hundred.
                for s in w.servers.values_mut().skip(n).take(1 + servers / 3) {
                    s.next.push_back(treat);
                }
            }
            80..83 => {
                offset += 1;
                drained.insert(n);
                w.record.push((w.now + MS, Seen::Told { server: format!("s-{n}") }));
                if how != Some(Break::Drains) {
                    w.bus(offset, false, &site.places[n].row(n, "draining"));
                }
            }
            83..85 if !drained.contains(&n) => {
                offset += 1;
                let anew = Place { started: w.now / MS, ..site.places[n].clone() };
                w.bus(offset, false, &anew.row(n, "up"));
            }
            85..88 => w.reset(server_addr(n)),
            88..90 => drop(w.refusing.insert(server_addr(n))),
            90..93 => drop(w.vanished.insert(server_addr(n))),
            93..95 => w.back(server_addr(n)),
            95 => w.break_bus(),
            _ => {}
        }
    }
    w.refusing.clear();
    (0..servers).for_each(|s| w.back(server_addr(s)));
    let longest = site.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
    w.run(30 * SECOND + longest.saturating_sub(4 * SECOND));
    // A silent server is probed at its turn, windows later; the connection is idle then.
    for _ in 0..20 {
        if chooses && w.node.table_sizes()[1] > 0 {
            w.run(7 * SECOND);
        }
    }
    let mut broken = broken_rules(&w, how);
    broken.extend(broken_terms(&site, &w.record, &asked));
    let [_, links, _, sessions, timers, releases] = w.node.table_sizes();
    let left = (w.node.session_counts(), links, sessions, releases, w.node.module().session_count());
    if left != ((0, 0), 0, 0, 0, 0) || timers > 4 {
        broken.push(format!("the books hold {left:?}, {timers} timers"));
    }
    (site, w, broken)
}

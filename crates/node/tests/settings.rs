//! The core with extreme settings of a deployment: nothing in it may depend on the number of classes, rungs, cells or zones, or
//! on the size of times, costs and limits. Everything else is random.

mod deployment;
mod world;

use deployment::{Fixed, Site, broken_rules, day, site};
use micadyke_isup::{Message, code, kind};
use micadyke_node::Input;
use micadyke_standin::platform::{Record, Seen, Treat};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use world::*;

/// Days for each extreme.
const DAYS: u64 = 8;
/// Open set-ups when a node is stopped.
const OPEN: u64 = 10;
/// The time that a stopping node gets beyond the longest deadline, or beyond [`MOST_DEADLINE`] if that is shorter.
const BEYOND_DEADLINE: u64 = 700 * MS;
/// Upper bound of the deadline that counts for a stopping node.
const MOST_DEADLINE: u64 = 3 * SECOND;
/// The window of the retry budgets in these settings.
const BUDGET_WINDOW: u64 = 10 * SECOND;
/// Maximum time between the decision on a set-up that waits for a connection and its arrival at the server.
const ON_ITS_WAY: u64 = 3 * SECOND;

/// An extreme of the settings.
struct Edge {
    name: &'static str,
    fixed: Fixed,
    bend: fn(&mut Site),
}

const DRAWN: Fixed = Fixed { classes: None, rungs: None, cells: None, zones: None };

const EDGES: [Edge; 22] = [
    Edge { name: "one class", fixed: Fixed { classes: Some(1), ..DRAWN }, bend: |_| {} },
    Edge { name: "eight classes", fixed: Fixed { classes: Some(8), ..DRAWN }, bend: |_| {} },
    Edge { name: "no rung above the lowest", fixed: Fixed { rungs: Some(1), ..DRAWN }, bend: |_| {} },
    Edge { name: "forty rungs", fixed: Fixed { rungs: Some(40), ..DRAWN }, bend: |_| {} },
    Edge { name: "one cell", fixed: Fixed { cells: Some(1), ..DRAWN }, bend: |_| {} },
    Edge { name: "a thousand cells", fixed: Fixed { cells: Some(1000), ..DRAWN }, bend: |_| {} },
    Edge { name: "no zones", fixed: Fixed { zones: Some(0), ..DRAWN }, bend: |_| {} },
    Edge { name: "deadlines of 50 ms", fixed: DRAWN, bend: |s| deadlines(s, &[50]) },
    Edge { name: "deadlines of 30 s", fixed: DRAWN, bend: |s| deadlines(s, &[30_000]) },
    Edge {
        name: "deadlines of 50 ms and 30 s",
        fixed: Fixed { classes: Some(2), ..DRAWN },
        bend: |s| deadlines(s, &[50, 30_000]),
    },
    Edge {
        name: "no costs, and no worth",
        fixed: DRAWN,
        bend: |s| {
            s.settings["penalties"] = json!({"cross_zone": 0, "handshake": 0.0});
            s.settings["family_info"]["switch_s"] = 0.into();
            for_classes(s, |class| class["worth"] = 0.into());
        },
    },
    Edge {
        name: "limits of one",
        fixed: DRAWN,
        bend: |s| {
            s.attempts = 1;
            set(s, "permissions", &[("max_attempts", 1), ("max_streams", 1), ("max_retry_after_ns", 1)]);
            s.settings["group_size"] = 1.into();
            s.settings["family_info"]["places_by_kind"] = json!([1, 1]);
            s.settings["family_info"]["licence_cap"] = vec![1; s.classes.len()].into();
        },
    },
    Edge { name: "one request held", fixed: DRAWN, bend: |s| set(s, "permissions", &[("most_held", 1)]) },
    Edge {
        name: "one stream on a connection",
        fixed: DRAWN,
        bend: |s| set(s, "permissions", &[("max_streams", 1)]),
    },
    Edge {
        name: "one attempt in many",
        fixed: DRAWN,
        bend: |s| {
            s.attempts = 1 << 30;
            set(s, "permissions", &[("max_attempts", 1 << 40)]);
        },
    },
    Edge {
        name: "only what is required",
        fixed: DRAWN,
        bend: |s| {
            let family = &s.settings["family_info"];
            let family = json!({"cells": family["cells"], "racks": family["racks"], "rung_kb": family["rung_kb"],
                "worth_by_rung": family["worth_by_rung"]});
            let names =
                s.settings["classes"].as_array().expect("classes").iter().map(
                    |c| json!({"name": c["name"], "effect": c["effect"], "deadline_ns": c["deadline_ns"]}),
                );
            let classes: Vec<Value> = names.collect();
            s.settings = json!({"classes": classes, "family_info": family,
                "permissions": {"max_attempts": s.attempts}});
            let top = s.rungs - 1;
            s.classes.iter_mut().for_each(|c| (c.floor, c.top, c.scope, c.window) = (0, top, "all", 0));
        },
    },
    Edge {
        name: "unknown fields",
        fixed: DRAWN,
        bend: |s| {
            unknown(&mut s.settings);
        },
    },
    Edge { name: "no retry budget", fixed: DRAWN, bend: |s| budget(s, None) },
    Edge { name: "a retry budget of none", fixed: DRAWN, bend: |s| budget(s, Some((0.0, 0.0))) },
    Edge { name: "a retry budget of one", fixed: DRAWN, bend: |s| budget(s, Some((1.0, 0.0))) },
    Edge { name: "a tight retry budget", fixed: DRAWN, bend: |s| budget(s, Some((1.0, 0.05))) },
    Edge {
        name: "nothing told and nothing cold",
        fixed: DRAWN,
        bend: |s| {
            set(s, "family_info", &[("see_ns", 0), ("tell_ns", 0), ("uplink_kb", 0), ("kb_per_weight", 0)]);
            set(s, "rules", &[("cold_ns", 0), ("fall_ns", 0), ("start_capacity", 0), ("fall_multiple", 0)]);
        },
    },
];

/// Replaces numbers in a part of the settings.
fn set(site: &mut Site, part: &str, values: &[(&str, u64)]) {
    values.iter().for_each(|(key, value)| site.settings[part][*key] = (*value).into());
}

fn for_classes(site: &mut Site, what: impl FnMut(&mut Value)) {
    site.settings["classes"].as_array_mut().expect("classes").iter_mut().for_each(what);
}

/// The classes' deadlines in milliseconds, in rotation.
fn deadlines(site: &mut Site, ms: &[u64]) {
    let mut turns = ms.iter().cycle().map(|ms| ms * MS);
    site.classes.iter_mut().for_each(|c| c.deadline = turns.next().unwrap_or(0));
    let mut left = site.classes.iter().map(|c| c.deadline).collect::<Vec<_>>().into_iter();
    for_classes(site, |class| {
        let deadline = left.next().unwrap_or(0);
        class["deadline_ns"] = deadline.into();
        class["promise_ns"] = (deadline / 2).into();
    });
}

/// Sets a retry budget with spare attempts and a share, or none.
fn budget(site: &mut Site, stated: Option<(f64, f64)>) {
    let mut rules = site.settings["rules"].as_object().cloned().unwrap_or_default();
    rules.retain(|key, _| !["counted_over_ns", "spare_attempts", "budget_share"].contains(&key.as_str()));
    if let Some((spare, share)) = stated {
        rules.insert("counted_over_ns".into(), BUDGET_WINDOW.into());
        rules.insert("spare_attempts".into(), spare.into());
        rules.insert("budget_share".into(), share.into());
    }
    site.settings["rules"] = rules.into();
}

/// Adds an unknown field to each object and to the objects of lists.
fn unknown(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            fields.values_mut().for_each(unknown);
            fields.insert("unheard_of".into(), json!({"x": [null, -1, "odd"], "y": 1e300}));
        }
        Value::Array(values) => values.iter_mut().for_each(unknown),
        _ => {}
    }
}

/// Retries beyond the budget.
fn over_budget(site: &Site, record: &Record) -> Vec<String> {
    let rules = &site.settings["rules"];
    let (Some(spare), Some(share)) = (rules["spare_attempts"].as_f64(), rules["budget_share"].as_f64())
    else {
        return Vec::new();
    };
    if rules["counted_over_ns"] != json!(BUDGET_WINDOW) {
        return Vec::new();
    }
    let (mut seen, mut asked, mut further, mut over) = (BTreeSet::new(), Vec::new(), Vec::new(), Vec::new());
    for (at, what) in record {
        match what {
            Seen::Asked { .. } => asked.push(*at),
            Seen::Sent { id, .. } if !seen.insert(*id) => {
                further.push(*at);
                let within =
                    |times: &[u64], span: u64| times.iter().filter(|t| **t + span > *at).count() as f64;
                // What was decided within the window arrived within one that is shorter by this time.
                let sent = within(&further, BUDGET_WINDOW - ON_ITS_WAY);
                let room = spare + share * within(&asked, BUDGET_WINDOW + ON_ITS_WAY);
                if sent > room {
                    over.push(format!("{id}: {sent} further attempts within a budget of {room}"));
                }
            }
            _ => {}
        }
    }
    over
}

/// Stops a node with unanswered set-ups: by the time at which it may be killed, all are answered and it may end.
fn stopped(site: &Site, w: &mut World) -> Vec<String> {
    let longest = site.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
    for server in w.servers.values_mut() {
        server.next.clear();
        server.usual = Treat::Silent;
    }
    let viewer = w.viewer();
    let ids: Vec<u64> = (0..OPEN).map(|n| 1_000_000 + n).collect();
    let ask = |w: &mut World, id: u64| {
        let place = id as usize % site.classes.len();
        let class = &site.classes[place];
        let message = Message::new(kind::SETUP, id)
            .with(code::CLASS, format!("c{place}"))
            .with(code::MAX_WAIT, (class.deadline / MS).to_string())
            .with(code::TITLE, format!("t{id}"))
            .with(code::FIGURES, format!("home:0;copies:{};top:0", site.cells))
            .with(code::DESCRIPTION, "wish");
        let (paid, floor) = (class.effect == "at_most_once", class.floor);
        w.record.push((w.now, Seen::Asked { id, patience: class.deadline, paid, floor }));
        w.send(viewer, message.encode().expect("it fits"));
    };
    let (before, after) = ids.split_at(ids.len() / 2);
    before.iter().for_each(|id| ask(w, *id));
    w.run(MS);
    w.feed(Input::Stop);
    for id in after {
        w.run(100 * MS);
        ask(w, *id);
    }
    w.run(longest.min(MOST_DEADLINE) + BEYOND_DEADLINE - 100 * MS * after.len() as u64);
    let mut broken: Vec<String> = ids
        .iter()
        .filter(|id| w.answer(**id).is_none())
        .map(|id| format!("{id}: no answer by the end"))
        .collect();
    if !w.node.may_end(w.now) {
        broken.push(format!(
            "it goes on, {:?} held, {:?} in the books",
            w.node.session_counts(),
            w.node.table_sizes()
        ));
    }
    broken
}

#[test]
fn rules_are_kept_and_books_empty_at_every_edge_of_the_settings() {
    let mut faults = Vec::new();
    for (n, edge) in EDGES.iter().enumerate() {
        let mut stood = 0;
        for day_of_edge in 0..DAYS {
            let seed = 1000 * (n as u64 + 1) + day_of_edge;
            let played = std::panic::catch_unwind(|| {
                let (site, mut w, mut broken) = day(seed, None, |r| {
                    let mut site = site(r, edge.fixed);
                    (edge.bend)(&mut site);
                    site
                });
                broken.extend(over_budget(&site, &w.record));
                broken.extend(stopped(&site, &mut w));
                broken.extend(broken_rules(&w, None));
                let stood = w.record.iter().filter(|r| matches!(r.1, Seen::Stood { .. })).count();
                (site, broken, stood)
            });
            match played {
                Ok((site, broken, sessions)) => {
                    stood += sessions;
                    if !broken.is_empty() {
                        faults.push(format!("{}, seed {seed}: {broken:#?}\n{site:?}", edge.name));
                    }
                }
                Err(_) => faults.push(format!("{}, seed {seed}: a panic, see above", edge.name)),
            }
        }
        if stood == 0 {
            faults.push(format!("{}: no session ever stood", edge.name));
        }
    }
    assert!(faults.is_empty(), "{} faults: {}", faults.len(), faults.join("\n"));
}

#[test]
fn what_is_refused_at_the_door_is_advised_as_the_settings_allow() {
    // Whether clients get retry delays, the longest delay that they obey, and the sent delay, in milliseconds.
    let table = [
        (true, 2 * SECOND, Some("1000")),
        (true, 300 * MS, Some("300")),
        (true, 0, None),
        (false, SECOND, None),
    ];
    for (advised, most, told) in table {
        let text = SETTINGS
            .replace("\"max_attempts\":4", "\"max_attempts\":4,\"most_held\":1")
            .replace("\"retry_after\":true", &format!("\"retry_after\":{advised}"))
            .replace("\"max_retry_after_ns\":2000000000", &format!("\"max_retry_after_ns\":{most}"));
        let mut config = config(1, 256);
        config.deployment = micadyke_settings::read(&text).expect("sound settings");
        let mut w = World::with(config, 1, None);
        let viewer = w.viewer();
        w.ask(viewer, 1, "free", 1000);
        w.ask(viewer, 2, "free", 1000);
        w.run(SECOND);
        assert_eq!(w.node.counts().turned_away, 1);
        let refusal = w.told[&viewer].iter().find(|m| m.1.session == 2).expect("an answer");
        assert_eq!(refusal.1.cause_value(), Some(42));
        assert_eq!(refusal.1.text(code::RETRY_AFTER), told, "{advised} {most}");
    }
}

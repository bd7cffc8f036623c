//! `micadyke node` on settings of other customers: what is wrong is refused at the start by its full path, with what an
//! operator can do; at SIGHUP the old configuration stays; what is merely unusual is served.

mod platform;

use micadyke_isup::{code, kind};
use micadyke_standin::platform::{Seen, Treat};
use micadyke_standin::platform_net::{Bus, Scene};
use platform::counts::all_kept;
use platform::*;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// What a command that was refused ends with, as `docs/operate/node.md` has it.
const REFUSED: i32 = 2;
/// Ample for a program that is to end at once, on a machine that is busy.
const AMPLE: Duration = Duration::from_secs(30);
/// A node looks at this for its own list in the tests here.
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// What stands in the configuration, what stands there instead, the error, and how the advice begins.
type Fault = (&'static str, &'static str, &'static str, &'static str);

const ADD: &str = "Add the field where the settings are written";
const CORRECT: &str = "Correct the value where the settings are written";
const KIND: &str = "Write a value of the named type";
const CHANGE: &str = "Change one of the two fields";
const DEPLOY: &str = "Add the field; DEPLOY.md says what it holds.";
const EXAMPLE: &str = "Write a value of the named type; DEPLOY.md has an example.";

/// Missing, of another kind, negative, out of range, contradictory: in the configuration and in the settings.
const FAULTS: [Fault; 45] = [
    ("{\"name\"", "[{\"name\"", "not JSON:", "Check whether EDGE_CONFIG names the configuration"),
    ("\"name\":\"n0\",", "", "name is missing", DEPLOY),
    ("\"name\":\"n0\"", "\"name\":0", "name holds no text", EXAMPLE),
    ("\"listen\"", "\"listens\"", "listen is missing", DEPLOY),
    (
        "\"listen\":\"127.0.0.1",
        "\"listen\":\"::1",
        "listen holds '::1:",
        "Write a numeric address and a port",
    ),
    ("\"bus\":\"127.0.0.1:", "\"bus\":\"bus:", "bus holds 'bus:", "Write a numeric address and a port"),
    (
        "\"bus\":\"127.0.0.1:",
        "\"bus\":\"127.0.0.1:x",
        "bus holds '127.0.0.1:x",
        "Write a numeric address and a port",
    ),
    (
        "\"bus\":\"127.0.0.1:",
        "\"bus\":\"127.0.0.1:0\",\"old\":\"127.0.0.1:",
        "bus holds '127.0.0.1:0', not an address and port",
        "Write a numeric address and a port",
    ),
    ("\"bus\"", "\"buses\"", "bus is missing", DEPLOY),
    (
        "\"seed\":\"8",
        "\"seed\":\"+",
        "seed holds '+c1f30d27a5be964', not 16 hex digits",
        "Write the seed as hex digits",
    ),
    ("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":8", "seed holds no text", EXAMPLE),
    ("\"sockets\":256", "\"sockets\":-256", "limits.sockets holds no count", EXAMPLE),
    (
        "\"sockets\":256",
        "\"sockets\":63",
        "limits.sockets holds 63; a node needs 64",
        "Give the node more descriptors",
    ),
    ("\"memory_mb\":32", "\"memory_mb\":\"32\"", "limits.memory_mb holds no number above 0", EXAMPLE),
    ("\"memory_mb\":32", "\"memory_mb\":0", "limits.memory_mb holds no number above 0", EXAMPLE),
    ("\"limits\":{", "\"limits\":7,\"limit\":{", "limits holds no object", EXAMPLE),
    ("\"limits\"", "\"limit\"", "limits.sockets is missing", DEPLOY),
    ("\"known\":{\"offset\":1,", "\"known\":{", "known.offset is missing", DEPLOY),
    (
        "\"known\":{\"offset\":1",
        "\"known\":{\"offset\":0",
        "known.batch[0].offset holds 1, past known.offset, which holds 0",
        "Correct known",
    ),
    (
        "\"batch\":[{\"offset\":1,",
        "\"batch\":[{",
        "known.batch[0].offset holds no number",
        "Check what writes to the bus",
    ),
    (
        "\"state\":\"up\"",
        "\"state\":\"on\"",
        "known.batch[0].topology.servers[0].state holds none of up, draining, removed",
        "Correct that server",
    ),
    ("\"settings\"", "\"setting\"", "settings is missing", DEPLOY),
    ("\"settings\":{", "\"settings\":[],\"s\":{", "settings holds [], not an object", KIND),
    (
        "\"classes\":[",
        "\"classes\":[],\"sorts\":[",
        "settings.classes holds []; expected at least one class",
        CORRECT,
    ),
    (
        "\"deadline_ns\":4000000000,\"worth\":2.0",
        "\"worth\":2.0",
        "settings.classes[1].deadline_ns is missing",
        ADD,
    ),
    (
        "\"deadline_ns\":4000000000,\"worth\":2.0",
        "\"deadline_ns\":-1,\"worth\":2.0",
        "settings.classes[1].deadline_ns holds -1; expected a time of 0 or more nanoseconds",
        CORRECT,
    ),
    (
        "\"deadline_ns\":4000000000,\"worth\":2.0",
        "\"deadline_ns\":0,\"worth\":2.0",
        "settings.classes[1].deadline_ns holds 0; expected a time above 0",
        CORRECT,
    ),
    (
        "\"deadline_ns\":4000000000,\"worth\":2.0",
        "\"deadline_ns\":\"4s\",\"worth\":2.0",
        "settings.classes[1].deadline_ns holds \"4s\", not a number",
        KIND,
    ),
    ("\"effect\":\"at_most_once\",", "", "settings.classes[1].effect is missing", ADD),
    (
        "\"effect\":\"at_most_once\"",
        "\"effect\":\"once\"",
        "settings.classes[1].effect holds unknown value 'once'",
        "Write idempotent, at_most_once or deduplicated",
    ),
    (
        "\"name\":\"paid\"",
        "\"name\":\"free\"",
        "settings.classes[1].name holds 'free', which is the name of an earlier class",
        "Give each class a unique name.",
    ),
    (
        "\"worth\":2.0",
        "\"worth\":-2.0",
        "settings.classes[1].worth holds -2.0; expected a number of 0 or more",
        CORRECT,
    ),
    ("\"rung_kb\"", "\"rungs\"", "settings.family_info.rung_kb is missing", ADD),
    (
        "\"rung_kb\":[100.0,200.0",
        "\"rung_kb\":[100.0,99.0",
        "settings.family_info.rung_kb[1] holds 99.0, which contradicts settings.family_info.rung_kb[0], as rungs must increase",
        CHANGE,
    ),
    (
        "\"rung_kb\":[100.0,",
        "\"rung_kb\":[",
        "settings.family_info.rung_kb and worth_by_rung differ in length",
        "Give rung_kb and worth_by_rung one value for each rung",
    ),
    (
        "\"highest_rung\":[2,2]",
        "\"highest_rung\":[2,3]",
        "settings.family_info.highest_rung[1] holds 3, which contradicts settings.family_info.rung_kb, whose last rung is 2",
        CHANGE,
    ),
    (
        "\"highest_rung\":[2,2]",
        "\"highest_rung\":[2,0]",
        "settings.family_info.floor_by_class[1] holds 1, which contradicts settings.family_info.highest_rung[1], whose last rung is 0",
        CHANGE,
    ),
    (
        "\"licence_cap\":[0,0]",
        "\"licence_cap\":[0]",
        "settings.family_info.licence_cap holds 1 values for 2 classes",
        "Give the list one value for each class",
    ),
    ("\"cells\":2,", "", "settings.family_info.cells is missing", ADD),
    (
        "\"cells\":2",
        "\"cells\":0",
        "settings.family_info.cells holds 0; expected a count of 1 or more",
        CORRECT,
    ),
    (
        "\"places_by_kind\":[400]",
        "\"places_by_kind\":[4.5]",
        "settings.family_info.places_by_kind[0] holds 4.5, not a count",
        KIND,
    ),
    ("\"max_attempts\":4,", "", "settings.permissions.max_attempts is missing", ADD),
    (
        "\"probes\":true",
        "\"probes\":\"yes\"",
        "settings.permissions.probes holds \"yes\", not true or false",
        KIND,
    ),
    (
        "\"start_capacity\":0.5",
        "\"start_capacity\":50",
        "settings.rules.start_capacity holds 50; expected a number from 0 to 1",
        CORRECT,
    ),
    (
        "\"rules\":{",
        "\"rules\":{\"budget_share\":-0.1,",
        "settings.rules.budget_share holds -0.1; expected a number of 0 or more",
        CORRECT,
    ),
];

/// What the variables of the environment contradict; looked at at the start alone.
const STRANGERS: [Fault; 2] = [
    (
        "\"name\":\"n0\"",
        "\"name\":\"n1\"",
        "name holds 'n1', but EDGE_NAME says 'n0'",
        "Give the node its own file",
    ),
    (
        "\"listen\":\"127.0.0.1",
        "\"listen\":\"127.0.0.2",
        "listen holds 127.0.0.2:",
        "Give the node its own file",
    ),
];

/// The configuration with one fault.
fn faulty(sound: &str, fault: &Fault) -> String {
    assert!(sound.contains(fault.0), "{} is not in the configuration", fault.0);
    sound.replacen(fault.0, fault.1, 1)
}

/// Starts a node with a configuration and waits for its end; what it ended with, and what it wrote to standard error.
fn ended(config: &Path, listen: SocketAddr) -> (ExitStatus, String) {
    let mut child = Command::new(BINARY)
        .arg("node")
        .env("EDGE_CONFIG", config)
        .env("EDGE_NAME", "n0")
        .env("EDGE_LISTEN", listen.to_string())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let start = Instant::now();
    while child.try_wait().expect("a child").is_none() {
        if start.elapsed() > AMPLE {
            let _ = child.kill();
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    let output = child.wait_with_output().expect("it ended");
    (output.status, String::from_utf8_lossy(&output.stderr).into_owned())
}

/// One server of the configuration, which nothing stands behind.
fn nobody(id: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{ANY}","zone":"z","kind":"k","cell":0,"state":"up","weight":1,"started_ms":0}}"#
    )
}

#[test]
fn each_fault_is_refused_at_the_start_by_its_path_with_advice_and_exit_code() {
    let path = std::env::temp_dir().join(format!("micadyke-customers-{}.json", std::process::id()));
    let listen = free_port();
    write_config(&path, listen, ANY, &nobody("s"));
    let sound = std::fs::read_to_string(&path).expect("it is there");
    let mut wrong = Vec::new();
    for fault in FAULTS.iter().chain(&STRANGERS) {
        std::fs::write(&path, faulty(&sound, fault)).expect("written");
        let (status, said) = ended(&path, listen);
        let mut lines = said.lines();
        let error = lines.next().unwrap_or_default();
        let advice = lines.next().unwrap_or_default();
        let named = error.starts_with(&format!("micadyke: {}: {}", path.display(), fault.2));
        if status.code() != Some(REFUSED) || !named || !advice.starts_with(fault.3) {
            wrong.push(format!("{:?} for {}: {status}, {said}", fault.1, fault.2));
        }
    }
    std::fs::remove_file(&path).expect("removed");
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// A log as JSON lines: message and advice of each that says that the old configuration stays.
fn refusals(log: &Path) -> Vec<(String, String)> {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let said = |v: &Value, key: &str| v["fields"][key].as_str().unwrap_or_default().to_owned();
    let all = lines.map(|v| (said(&v, "message"), said(&v, "advice")));
    all.filter(|line| line.0.contains("the old configuration stays")).collect()
}

async fn until(what: &str, mut come: impl FnMut() -> bool) {
    let start = Instant::now();
    while !come() {
        assert!(start.elapsed() < AMPLE, "{what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Asks until a session stands at a server; the number of the last one.
async fn asked_until_at(server: &str, viewer: &mut Viewer, scene: &Scene, from: u64) -> u64 {
    let start = Instant::now();
    let mut id = from;
    loop {
        assert_eq!(viewer.ask(scene, id, "free").await.kind, kind::ANSWER);
        let there = |s: &Seen| matches!(s, Seen::Stood { id: i, server: at, .. } if *i == id && at == server);
        if scene.record.borrow().iter().any(|r| there(&r.1)) {
            return id;
        }
        assert!(start.elapsed() < AMPLE, "no session comes to {server}");
        id += 1;
    }
}

#[test]
fn at_sighup_the_old_configuration_stays_for_each_fault_and_says_why() {
    on_one_thread(async {
        let scene = Scene::default();
        let (a, b) = (server(&scene, "a", 60_000).await, server(&scene, "b", 60_000).await);
        let first = row(&a, "a", "up");
        let bus = Bus::start(vec![(true, first.clone())]).await.expect("a bus");
        let moved = Bus::start(vec![(true, first.clone())]).await.expect("a bus");
        let log = std::env::temp_dir().join(format!("micadyke-customers-{}.log", std::process::id()));
        let under = Under { log: Some(log.clone()), ..Under::default() };
        let node = start_under("customers", free_port(), bus.addr, &first, None, None, &under);
        let mut v = Viewer::connect(node.listen).await;
        assert_eq!(v.test().await, Some(1));
        until("the bus is asked", || !bus.calls.borrow().is_empty()).await;
        // Each faulty file names the other bus: nothing of it may come into force.
        write_config(&node.config, node.listen, moved.addr, &first);
        let sound = std::fs::read_to_string(&node.config).expect("it is there");
        for (n, fault) in FAULTS.iter().enumerate() {
            std::fs::write(&node.config, faulty(&sound, fault)).expect("written");
            node.signal("-HUP");
            until(fault.2, || refusals(&log).len() > n).await;
            let (message, advice) = refusals(&log).pop().expect("a line");
            let path = PathBuf::from(&node.config);
            let error = format!("the old configuration stays: {}: {}", path.display(), fault.2);
            assert!(message.starts_with(&error), "{message}, not {error}");
            assert!(advice.starts_with(fault.3), "{message}: {advice}");
        }
        assert_eq!(refusals(&log).len(), FAULTS.len());
        assert!(moved.calls.borrow().is_empty(), "nobody has asked the other bus");
        // It serves on, and follows the bus that it followed: this one tells of another server.
        assert_eq!(v.ask(&scene, 1, "paid").await.kind, kind::ANSWER);
        bus.tell(false, &format!("{},{}", row(&b, "b", "up"), row(&a, "a", "draining")));
        let last = asked_until_at("b", &mut v, &scene, 2).await;
        // A sound file is taken as ever, from the number held.
        std::fs::write(&node.config, &sound).expect("written");
        node.signal("-HUP");
        until("the other bus is asked", || !moved.calls.borrow().is_empty()).await;
        assert_eq!(moved.calls.borrow()[0], "2");
        assert_eq!(v.ask(&scene, last + 1, "free").await.kind, kind::ANSWER);
        assert_eq!(refusals(&log).len(), FAULTS.len());
        all_kept(&scene);
        std::fs::remove_file(&log).expect("removed");
    });
}

/// Settings that say no more than they must, with classes, deadlines and words that no other deployment has.
const LEAST: &str = r#"{"classes":[{"name":"solo","effect":"at_most_once","deadline_ns":30000000000,"unheard_of":[null]}],
    "family_info":{"cells":1,"racks":1,"rung_kb":[5],"worth_by_rung":[0.5],"unheard_of":{"x":-1}},
    "permissions":{"max_attempts":1},"tenants":null,"unheard_of":1e300}"#;

#[test]
fn settings_that_say_only_what_they_must_are_served() {
    on_one_thread(async {
        let scene = Scene::default();
        let a = server(&scene, "a", 60_000).await;
        let rows = row(&a, "a", "up");
        let bus = Bus::start(vec![(true, rows.clone())]).await.expect("a bus");
        let under = Under { settings: vec![(SETTINGS.trim_end(), LEAST)], ..Under::default() };
        let mut node = start_under("least", free_port(), bus.addr, &rows, None, None, &under);
        let mut v = Viewer::connect(node.listen).await;
        assert_eq!(v.test().await, Some(1));
        for id in 1..=5 {
            a.server.borrow_mut().next.extend((id == 3).then_some(Treat::Status(453)));
            let mut wish = set_up(id, "solo");
            let figures = wish.parameters.iter_mut().filter(|p| p.0 == code::FIGURES);
            figures.for_each(|p| p.1 = b"home:0;copies:1;top:0;viewer:1".to_vec());
            scene.note(Seen::Asked { id, patience: 4000 * MS, paid: true, floor: 0 });
            v.send(&wish).await;
            let said = v.answer(&scene, id).await;
            // Full, and one attempt is allowed: refused.
            assert_eq!(said.kind == kind::ANSWER, id != 3, "{said:?}");
        }
        node.signal("-TERM");
        assert_eq!(node.ends().await, Some(0));
        all_kept(&scene);
    });
}

//! What goes wrong, over all variants of each type: each says what can be done, and the operator's pages say the same.

#[path = "../src/error.rs"]
mod error;

use micadyke::interface::SettingsError;
use micadyke_config::units::{Unit, quantity};
use micadyke_node::{ConfigError, EventError};
use micadyke_recovery::record::DecodeError;
use std::collections::BTreeSet;
use std::io::ErrorKind;

const NODE: &str = include_str!("../../../docs/operate/node.md");
const FRONT: &str = include_str!("../../../docs/operate/front.md");
const RECOVERY: &str = include_str!("../../../docs/operate/recovery.md");

/// Texts and advice of a sample of each variant. A variant without one does not compile.
macro_rules! every {
    ($of:ty; $($variant:pat => $sample:expr,)+) => {{
        let all: Vec<$of> = vec![$($sample),+];
        let _exhaustive = |e: &$of| match e { $($variant => {})+ };
        let mut of = all.iter();
        $(assert!(matches!(of.next(), Some($variant)));)+
        all.iter().map(|e| (e.to_string(), e.advice().to_owned())).collect::<Vec<_>>()
    }};
}

/// The rows of a page's tables beneath a heading, up to the next one.
fn rows(page: &str, heading: &str) -> BTreeSet<(String, String)> {
    let lines = page.lines().skip_while(|l| *l != heading).skip(1).take_while(|l| !l.starts_with('#'));
    let rows = lines.filter_map(|l| l.strip_prefix("| `")?.strip_suffix(" |")?.split_once("` | "));
    rows.map(|(error, advice)| (error.to_owned(), advice.to_owned())).collect()
}

/// The page says of each error what the error says, and of no other.
fn page_says(page: &str, heading: &str, errors: Vec<(String, String)>) {
    for (error, advice) in &errors {
        let sentence = advice.ends_with('.') && advice.starts_with(char::is_uppercase);
        assert!(sentence && !error.contains(advice.as_str()), "{error}: {advice}");
    }
    let (said, told) = (rows(page, heading), BTreeSet::from_iter(errors));
    let lacking: Vec<_> = told.difference(&said).map(|(e, a)| format!("| `{e}` | {a} |")).collect();
    let wrong: Vec<_> = said.difference(&told).map(|(e, a)| format!("| `{e}` | {a} |")).collect();
    let (lacking, wrong) = (lacking.join("\n"), wrong.join("\n"));
    assert!(lacking.is_empty() && wrong.is_empty(), "{heading} lacks\n{lacking}\nand is wrong in\n{wrong}");
}

fn no_file() -> std::io::Error {
    std::io::Error::new(ErrorKind::NotFound, "no such file")
}

fn in_use() -> std::io::Error {
    std::io::Error::new(ErrorKind::AddrInUse, "address in use")
}

#[test]
fn the_settings_of_a_deployment() {
    use micadyke_settings::Error as E;
    let all = every!(E;
        E::NotJson(_) => E::NotJson("EOF while parsing a value at line 1 column 1".into()),
        E::Missing { .. } => E::Missing { path: "settings.classes[1].deadline_ns".into() },
        E::WrongType { .. } => E::WrongType {
            path: "settings.permissions.probes".into(), value: "\"yes\"".into(), expected: "true or false"
        },
        E::OutOfRange { .. } => E::OutOfRange {
            path: "settings.family_info.cells".into(), value: "0".into(), expected: "a count of 1 or more"
        },
        E::Conflict { .. } => E::Conflict {
            path: "settings.family_info.floor_by_class[1]".into(), value: "2".into(),
            other: "settings.family_info.highest_rung[1], whose last rung is 1".into(),
        },
        E::UnknownKeyword { .. } => E::UnknownKeyword { path: "settings.classes[1].effect".into(), value: "never".into() },
        E::LadderLength => E::LadderLength,
        E::PerClassLength { .. } => E::PerClassLength { name: "licence_cap", values: 1, classes: 2 },
        E::DuplicateName { .. } => E::DuplicateName { path: "settings.classes[1].name".into(), value: "free".into() },
    );
    page_says(NODE, "### Settings of the deployment", all);
}

#[test]
fn events_of_the_bus() {
    let all = every!(EventError;
        EventError::NotJson(_) => EventError::NotJson("EOF while parsing a value at line 1 column 0".into()),
        EventError::NoOffset => EventError::NoOffset,
        EventError::NoList => EventError::NoList,
        EventError::TooMany(_) => EventError::TooMany(5000),
        EventError::Server { .. } => EventError::Server { index: 3, field: "addr", problem: "no address and port" },
    );
    page_says(NODE, "### Events of the bus", all);
}

#[test]
fn the_configuration_of_a_node_and_its_start() {
    use micadyke_node::Error as E;
    let at = ([10, 0, 0, 4], 2905).into();
    let mut all = every!(ConfigError;
        ConfigError::NotJson(_) => ConfigError::NotJson("EOF while parsing a value at line 1 column 0".into()),
        ConfigError::Missing(_) => ConfigError::Missing("bus"),
        ConfigError::WrongType { .. } => ConfigError::WrongType { field: "limits.sockets", expected: "count" },
        ConfigError::Address { .. } => ConfigError::Address { field: "bus", value: "bus-1:9100".into() },
        ConfigError::Seed(_) => ConfigError::Seed("0xff".into()),
        ConfigError::FewSockets(_) => ConfigError::FewSockets(16),
        ConfigError::Event { .. } => ConfigError::Event { index: 2, why: EventError::NoOffset },
        ConfigError::OffsetBeyondLast { .. } => ConfigError::OffsetBeyondLast { index: 2, offset: 9, last: 8 },
        ConfigError::Settings(_) => ConfigError::Settings(micadyke_settings::Error::LadderLength),
        ConfigError::OtherName { .. } => ConfigError::OtherName { configured: "n3".into(), environment: "n4".into() },
        ConfigError::OtherListen { .. } => ConfigError::OtherListen { configured: at, environment: ([10, 0, 0, 5], 2905).into() },
        ConfigError::InvalidListen => ConfigError::InvalidListen,
    );
    all.extend(every!(E;
        E::File { .. } => E::File { path: "config.json".into(), why: no_file() },
        E::TooLong { .. } => E::TooLong { path: "config.json".into(), size: 20_000_000 },
        E::Refused { .. } => E::Refused { path: "config.json".into(), why: ConfigError::Missing("bus") },
        E::Listen { .. } => E::Listen { at, why: in_use() },
        E::Signals(_) => E::Signals(std::io::Error::other("too many open files")),
    ));
    page_says(NODE, "### Configuration and start", all);
}

#[test]
fn texts_and_quantities_of_settings() {
    use micadyke_config::sexp::{Flaw, MAX_DEPTH, read};
    use micadyke_config::units::Fault as Ill;
    // Each is what a text is refused for.
    let flaw = |text: &str| read(text).expect_err(text).flaw;
    let mut all = every!(Flaw;
        Flaw::TooLong => flaw(&" ".repeat(micadyke_config::sexp::MAX_BYTES + 1)),
        Flaw::TooDeep => flaw(&"(".repeat(MAX_DEPTH + 1)),
        Flaw::Unopened => flaw(")"),
        Flaw::Unclosed => flaw("(zones"),
        Flaw::OpenString => flaw("\"f"),
        Flaw::Escape => flaw(r#""\d""#),
        Flaw::Control => flaw("a\u{1}"),
    );
    let ill = |text: &str, unit| quantity(text, unit).expect_err(text);
    all.extend(every!(Ill;
        Ill::NoNumber { .. } => ill("soon", Unit::Time),
        Ill::Negative { .. } => ill("-1s", Unit::Time),
        Ill::NoUnitOfTime { .. } => ill("250", Unit::Time),
        Ill::NoUnit { .. } => ill("250", Unit::Rate),
        Ill::Bare { .. } => ill("2s", Unit::Number),
        Ill::OtherUnit { .. } => ill("2kB", Unit::Time),
        Ill::TooLarge { .. } => ill("999999999999d", Unit::Time),
    ));
    page_says(FRONT, "## Faults of a file's text and quantities", all);
}

#[test]
fn records_that_were_kept() {
    let all = every!(DecodeError;
        DecodeError::NewerFormat(_) => DecodeError::NewerFormat(9),
        DecodeError::Corrupted => DecodeError::Corrupted,
    );
    page_says(RECOVERY, "## Records that can't be read", all);
}

#[test]
fn the_command_line() {
    use error::Error as E;
    let (path, at) = (|| std::path::PathBuf::from("front.sexp"), ([127, 0, 0, 1], 8080).into());
    let refused =
        micadyke_config::read_config("(front (nme \"x\"))", "front.sexp").expect_err("no such part");
    let ill = quantity("250", Unit::Time).expect_err("no unit");
    let mut all = every!(E;
        E::LogLevel(_) => E::LogLevel("=".into()),
        E::Quantity { .. } => E::Quantity { option: "--ttl", why: ill },
        E::File { .. } => E::File { path: path(), why: no_file() },
        E::Refused(_) => E::Refused(refused.into_iter().take(1).collect()),
        E::Store { .. } => E::Store { path: "f.store".into(), why: micadyke_recovery::store::StoreError::Locked },
        E::Secret { .. } => E::Secret { path: "boxes.key".into() },
        E::Key { .. } => E::Key { path: "key.txt".into(), algorithm: "ES256".into() },
        E::Listen { .. } => E::Listen { at, why: in_use() },
        E::BoxListen { .. } => E::BoxListen { id: 3, at, why: in_use() },
        E::NotLoopback(_) => E::NotLoopback(([10, 0, 0, 4], 8080).into()),
        E::BoxNotLoopback { .. } => E::BoxNotLoopback { id: 3, at: ([10, 0, 0, 4], 8080).into() },
        E::NoBoxes => E::NoBoxes,
        E::NoConfig => E::NoConfig,
        E::Config { .. } => E::Config { path: "config.json".into(), why: ConfigError::InvalidListen },
        E::Settings { .. } => {
            E::Settings { path: "config.json".into(), why: SettingsError { field: "ladder", what: "must rise" } }
        },
        E::Seats(_) => E::Seats("film".into()),
        E::SeatCount(_) => E::SeatCount("ten".into()),
        E::Break(_) => E::Break("all".into()),
        E::Rehearsal(_) => micadyke_rehearse::run::CannotRun("a front of its own does not start".into()).into(),
        E::NoList => E::NoList,
        E::Line { .. } => E::Line { path: "l.jsonl".into(), line: 2, what: "neither a question nor a trouble".into() },
        E::Route(_) => E::Route("film".into()),
        E::Client { .. } => E::Client { command: "node dist/replay.js".into(), why: no_file() },
    );
    // A store's errors are the store's own.
    let held = micadyke_recovery::store::StoreError::Locked;
    let stored = (format!("f.store: {held}"), held.advice().to_owned());
    assert!(all.contains(&stored));
    all.retain(|e| *e != stored);
    page_says(FRONT, "## Errors of the command line", all);
}

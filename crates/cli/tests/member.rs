//! What is read of a member's settings, and its view as people and programs read it.

#[allow(dead_code)]
#[path = "../src/desk.rs"]
mod desk;
#[allow(dead_code)]
#[path = "../src/error.rs"]
mod error;
#[allow(dead_code)]
#[path = "../src/ground.rs"]
mod ground;
#[allow(dead_code)]
#[path = "../src/members.rs"]
mod members;

use members::{Member, Told, as_json, as_table, in_words, others, read};
use micadyke_membership::frame::MIN_KEY_BYTES;
use micadyke_membership::status::{Row, Summary};
use micadyke_membership::{Counts, Member as Known, State};
use micadyke_recovery::phases::Phase;
use micadyke_recovery::progress::Progress;
use serde_json::{Value, json};

#[test]
fn the_table_shows_who_comes_back_what_is_waited_for_and_until_when() {
    let member = |n: usize| Known::new(&format!("n{n}"), ([10, 0, 0, n as u8], 7946).into(), 7);
    let row = |n, state| Row { member: member(n), state, since_ms: 1500, heard_ms: None, digest: None };
    let rows = [row(1, State::Alive), row(2, State::Alive), row(3, State::Down), row(4, State::Suspect)];
    let summary = Summary {
        me: member(0),
        living: 4,
        digest: 9,
        unsettled: None,
        counts: Counts::default(),
        part: None,
    };
    let back = |phase, left| in_words(Progress { phase, waits_for: "the others".into(), left });
    let told: Told = [("n0", back(Phase::List, 0)), ("n1", back(Phase::View, 2_100_000_000)), ("n2", None)]
        .map(|(name, told)| (name.to_owned(), told))
        .into();
    // Name, what its line ends with, and what JSON has of it.
    let table = [
        (
            "n1",
            "view: the others; 3 s at most",
            json!({"phase": "view", "waits_for": "the others", "left_ms": 2100}),
        ),
        ("n2", "-", Value::Null),
        ("n3", "-", Value::Null),
        ("n4", "no answer", Value::Null),
    ];
    let (text, json) = (as_table(&summary, &rows, &told), as_json(&summary, &rows, &told));
    assert!(text.contains("n0 comes back, list: the others; 0 s at most\n"), "{text}");
    assert_eq!(json["recovery"]["phase"], "list");
    for (i, (name, end, recovery)) in table.into_iter().enumerate() {
        let line = text.lines().find(|l| l.starts_with(name)).expect("it has a line");
        assert!(line.ends_with(end), "{line}");
        assert_eq!(json["members"][i]["recovery"], recovery, "{name}");
        assert_eq!(json["members"][i]["answered"], told.contains_key(name), "{name}");
    }
    // Nobody comes back: the column is empty.
    let told: Told = (0..5).map(|n| (format!("n{n}"), None)).collect();
    let text = as_table(&summary, &rows, &told);
    assert!(text.lines().skip(2).all(|l| l.ends_with("-")) && !text.contains("comes back"), "{text}");
    assert_eq!(in_words(Progress { phase: Phase::Serving, waits_for: String::new(), left: 0 }), None);
}

#[test]
fn a_node_chooses_with_others_where_the_form_says_so_and_not_where_the_platform_starts_it() {
    let membership = r#"(membership (fleet "f") (name "n0") (listen "127.0.0.1:7946") (key-file "k"))"#;
    let dir = std::env::temp_dir().join(format!("micadyke-member-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    std::fs::write(dir.join("k"), [7; MIN_KEY_BYTES]).expect("a key");
    let file = dir.join("n0.sexp");
    let told = |text: &str| {
        std::fs::write(&file, text).expect("written");
        let member = Member::load(&file, None).expect("sound");
        others(Some(&member)).1.and_then(|o| o.coordination).map(|c| c.0)
    };
    assert_eq!(told(membership), None);
    assert_eq!(told(&format!("{membership} (subset (turns))")), Some("n0".into()));
    // 'run' names no membership: there is nobody to choose with.
    assert!(others(None).1.is_none());
    std::fs::remove_dir_all(&dir).expect("removed");
}

#[test]
fn settings_beside_membership_are_read_by_whose_they_are_and_faults_keep_their_place() {
    let membership = r#"(membership (fleet "f") (name "n0") (listen "127.0.0.1:7946") (key-file "k"))"#;
    let subset = "(subset (working (least 9)) (turns (slots 4)))";
    // (the text, whether it is sound, where its first fault lies)
    for (text, fault) in [
        (membership.to_owned(), None),
        (format!("{membership}\n{subset}"), None),
        (format!("\u{feff}{membership} {subset} ; a word\n(directory)"), None),
        (format!("{membership}\n{subset}{subset}"), Some((2, 47))),
        (format!("{membership}\n(subset (turns (slots 40)))"), Some((2, 23))),
        (format!("{membership}\n(subset (turn))"), Some((2, 9))),
        (format!("{membership}\n(subset)\n (stranger)"), Some((3, 2))),
        (format!("{membership}\n(subset"), Some((2, 1))),
    ] {
        let got = read(&text, "n0.sexp", None);
        let at = got.as_ref().err().map(|f| (f[0].at.line, f[0].at.column));
        assert_eq!(at, fault, "{text}: {got:?}");
        let chooses = got.ok().and_then(|g| g.1);
        let wanted = fault.is_none() && text.contains("subset");
        let terms = chooses.map(|c| (c.working.map(|w| w.0.min_servers), c.turns.map(|t| t.slots)));
        assert_eq!(terms, wanted.then_some((Some(9), Some(4))), "{text}");
    }
}

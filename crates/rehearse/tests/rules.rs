//! Every rule is kept by the front, and seen to be broken on a front that is broken on purpose.

use micadyke_config::{Config, read_config};
use micadyke_rehearse::run::{Ran, play};
use micadyke_rehearse::sabotage::Break;
use micadyke_rehearse::scenario::{Scenario, read_scenario};
use std::path::PathBuf;

fn load(name: &str) -> (Scenario, Config) {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let text = std::fs::read_to_string(dir.join(name)).expect("a scenario");
    let scenario = read_scenario(&text, name).unwrap_or_else(|e| panic!("{e:?}"));
    let text = std::fs::read_to_string(dir.join(&scenario.settings)).expect("settings");
    (scenario, read_config(&text, "front.sexp").unwrap_or_else(|e| panic!("{e:?}")))
}

fn run(name: &str, how: Option<Break>) -> Ran {
    let (scenario, config) = load(name);
    play(&scenario, &config, how).unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// The front keeps all rules in a scenario; broken in this way, it is caught at its rule.
fn caught(name: &str, how: Break) {
    let (scenario, config) = load(name);
    let sound = std::thread::spawn(move || play(&scenario, &config, None).expect("it runs"));
    let broken = run(name, Some(how));
    let sound = sound.join().expect("it runs");
    assert!(sound.verdict.kept(), "{name}:\n{}", sound.verdict);
    let required = load(name).0.must_try;
    assert!(required.contains(&how.rule()), "{name} has to try rule {}", how.rule());
    assert_eq!(sound.verdict.missing(&required), [0usize; 0], "{name}:\n{}", sound.verdict);
    assert!(broken.verdict.broken().contains(&how.rule()), "{how:?} is not caught:\n{}", broken.verdict);
}

#[test]
fn rule_1_answers_withheld() {
    caught("rule-1-answers.sexp", Break::Answers);
}

#[test]
fn rule_2_attempts_that_overlap() {
    caught("rule-2-overlap.sexp", Break::Overlap);
}

#[test]
fn rule_2_set_up_twice() {
    caught("rule-2-twice.sexp", Break::Twice);
}

#[test]
fn rule_3_drains_not_heard() {
    caught("rule-3-drains.sexp", Break::Drains);
}

#[test]
fn rule_4_cold_boxes_pushed() {
    caught("rule-4-cold.sexp", Break::Cold);
}

#[test]
fn rule_5_under_the_floor() {
    caught("rule-5-floors.sexp", Break::Floors);
}

#[test]
fn rule_5_more_than_the_seats() {
    caught("rule-5-seats.sexp", Break::Seats);
}

#[test]
fn rule_5_more_than_the_issuers_seats() {
    caught("seats.sexp", Break::Seats);
}

#[test]
fn rule_6_budget_overdrawn() {
    caught("rule-6-budget.sexp", Break::Budget);
}

#[test]
fn rule_2_players_set_up_twice() {
    caught("media-limits.sexp", Break::Twice);
}

#[test]
fn rule_5_players_under_the_floor() {
    caught("media-limits.sexp", Break::Floors);
}

#[test]
fn rule_5_players_more_than_the_seats() {
    caught("media-limits.sexp", Break::Seats);
}

#[test]
fn rule_6_players_beyond_the_budget() {
    caught("media-budget.sexp", Break::Budget);
}

#[test]
fn both_protocols_at_once_keep_all_rules() {
    let ran = run("media.sexp", None);
    assert!(ran.verdict.kept(), "{}", ran.verdict);
    assert_eq!(ran.verdict.missing(&load("media.sexp").0.must_try), [0usize; 0], "{}", ran.verdict);
    assert!(ran.tally.played > 100, "{:?}", ran.tally);
}

#[test]
fn the_bad_day_keeps_all_rules() {
    let ran = run("bad-day.sexp", None);
    assert!(ran.verdict.kept(), "{}", ran.verdict);
    assert_eq!(ran.verdict.missing(&load("bad-day.sexp").0.must_try), [0usize; 0], "{}", ran.verdict);
    let tried: Vec<u64> = ran.verdict.rules.iter().map(|r| r.tried).collect();
    assert!(
        tried[0] > 100 && tried[1] > 10 && tried[3] > 10 && tried[4] > 10 && tried[5] > 0,
        "{}",
        ran.verdict
    );
    assert!(ran.tally.played > 100, "{:?}", ran.tally);
}

#[test]
fn a_rule_that_nothing_put_to_the_test_is_not_kept() {
    let (mut scenario, config) = load("rule-1-answers.sexp");
    scenario.length = std::time::Duration::from_millis(500);
    let verdict = play(&scenario, &config, None).expect("it runs").verdict;
    let text = verdict.to_string();
    assert!(verdict.kept() && verdict.untried().contains(&4) && verdict.untried().contains(&6), "{text}");
    assert_eq!(verdict.missing(&[1, 4]), [4usize]);
    assert!(text.contains("0 tried: not tried") && text.contains("verdict: kept as far as tried"), "{text}");
}

#[test]
fn scenarios_that_are_refused_say_where() {
    let table = [
        ("(scenario \"x\" (settings \"f\") (length 3s))", "s:1:1: 'scenario' lacks its 'viewers'"),
        (
            "(scenario \"x\" (settings \"f\") (length 3) (boxes 2) (viewers (rate 1)))",
            "s:1:38: length: '3' has no unit",
        ),
        (
            "(scenario \"x\" (settings \"f\") (length 3s) (boxes 2) (viewers (rate 1)) (trouble fire (at 1s)))",
            "s:1:71: 'fire' is no trouble",
        ),
        (
            "(scenario \"x\" (settings \"f\") (length 3s) (boxes 2) (must-try 1 7) (viewers (rate 1)))",
            "s:1:52: must-try: numbers of rules are due, 1 to 6",
        ),
    ];
    for (text, message) in table {
        let faults = read_scenario(text, "s").expect_err(message);
        assert!(faults.iter().any(|f| f.to_string().starts_with(message)), "{message}: {faults:?}");
    }
}

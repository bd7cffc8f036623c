//! The settings of a deployment: read, and refused with the field's name.

use micadyke::decide::Controller;
use micadyke::interface::{Class, Effect, Settings, Step};
use micadyke_settings::{Names, Terms, read, site};
use serde_json::{Value, json};

const SETTINGS: &str = include_str!("../../../fixtures/node/settings.json");

#[test]
fn what_the_platform_hands_over_is_read_in_the_modules_words() {
    let site = read(SETTINGS).expect("it can be read");
    assert_eq!((site.settings.classes.len(), site.settings.ladder.len(), site.settings.cells), (2, 3, 2));
    assert_eq!(
        (site.names.classes, site.names.zones),
        (vec!["free".to_owned(), "paid".into()], vec!["z".into()])
    );
    let t = site.terms;
    assert_eq!((t.streams, t.idle, t.connect_timeout, t.probes), (8, 15_000_000_000, 250_000_000, true));
    assert_eq!(t.deadline, 4_000_000_000);
}

/// Settings with one text in place of another that stands there.
fn with(sound: &str, wrong: &str) -> String {
    assert!(SETTINGS.contains(sound), "{sound}");
    SETTINGS.replacen(sound, wrong, 1)
}

#[test]
fn the_field_that_is_wrong_is_named() {
    // What stands there, what stands there instead, and the whole error.
    let table = [
        ("\"rung_kb\":[100.0", "\"rung_kb\":[\"x\"", "family_info.rung_kb[0] holds \"x\", not a number"),
        ("\"rung_kb\":[100.0,", "\"rung_kb\":[null,", "family_info.rung_kb[0] is missing"),
        ("\"rung_kb\":[100.0,", "\"rung_kb\":[0,", "family_info.rung_kb[0] holds 0; a number above 0 is due"),
        (
            "\"rung_kb\":[100.0,",
            "\"rung_kb\":[200.0,",
            "family_info.rung_kb[1] holds 200.0, which contradicts settings.family_info.rung_kb[0], for rungs rise",
        ),
        (
            "\"worth_by_rung\":[0.3,0.7",
            "\"worth_by_rung\":[0.3,0.2",
            "family_info.worth_by_rung[1] holds 0.2, which contradicts settings.family_info.worth_by_rung[0], \
             for rungs rise",
        ),
        (
            "\"worth_by_rung\":[0.3,",
            "\"worth_by_rung\":[",
            "family_info.rung_kb and worth_by_rung differ in length",
        ),
        ("\"rung_kb\"", "\"rungs\"", "family_info.rung_kb is missing"),
        ("\"worth_by_rung\"", "\"worths\"", "family_info.worth_by_rung is missing"),
        ("\"family_info\":{", "\"family_info\":3,\"facts\":{", "family_info holds 3, not an object"),
        ("\"family_info\"", "\"family_facts\"", "family_info.rung_kb is missing"),
        ("\"cells\":2", "\"cells\":0", "family_info.cells holds 0; a count from 1 is due"),
        ("\"cells\":2,", "", "family_info.cells is missing"),
        ("\"racks\":1", "\"racks\":0.5", "family_info.racks holds 0.5, not a count"),
        ("\"racks\":1,", "", "family_info.racks is missing"),
        ("\"uplink_kb\":0", "\"uplink_kb\":-1", "family_info.uplink_kb holds -1; a number from 0 is due"),
        (
            "\"licence_cap\":[0,0]",
            "\"licence_cap\":[0]",
            "family_info.licence_cap holds 1 values for 2 classes",
        ),
        (
            "\"floor_by_class\":[0,1]",
            "\"floor_by_class\":[0,-1]",
            "family_info.floor_by_class[1] holds -1, not a count",
        ),
        (
            "\"highest_rung\":[2,2]",
            "\"highest_rung\":[2,1.5]",
            "family_info.highest_rung[1] holds 1.5, not a count",
        ),
        (
            "\"highest_rung\":[2,2]",
            "\"highest_rung\":[3,2]",
            "family_info.highest_rung[0] holds 3, which contradicts settings.family_info.rung_kb, whose last rung is 2",
        ),
        (
            "\"highest_rung\":[2,2]",
            "\"highest_rung\":[2,0]",
            "family_info.floor_by_class[1] holds 1, which contradicts settings.family_info.highest_rung[1], \
             whose last rung is 0",
        ),
        (
            "\"floor_by_class\":[0,1],\"highest_rung\":[2,2]",
            "\"floor_by_class\":[0,7]",
            "family_info.floor_by_class[1] holds 7, which contradicts settings.family_info.rung_kb, whose last rung is 2",
        ),
        (
            "\"scale_by_class\":[1.0,1.0]",
            "\"scale_by_class\":[1.0,0.0]",
            "family_info.scale_by_class[1] holds 0.0; a number above 0 is due",
        ),
        (
            "\"places_by_kind\":[400]",
            "\"places_by_kind\":[-400]",
            "family_info.places_by_kind[0] holds -400, not a count",
        ),
        ("\"models\":[\"k\"]", "\"models\":[\"k\",7]", "models[1] holds 7, not a text"),
        ("\"dcs\":[\"z\"]", "\"dcs\":\"z\"", "dcs holds \"z\", not a list"),
        ("\"zone\":\"z\"", "\"zone\":[\"z\"]", "zone holds [\"z\"], not a text"),
        ("\"group_size\":1", "\"group_size\":-1", "group_size holds -1, not a count"),
        ("\"max_streams\":8", "\"max_streams\":-8", "permissions.max_streams holds -8, not a count"),
        (
            "\"max_attempts\":4",
            "\"max_attempts\":0",
            "permissions.max_attempts holds 0; a count from 1 is due",
        ),
        ("\"max_attempts\":4,", "", "permissions.max_attempts is missing"),
        (
            "\"conn_idle_ns\":15000000000",
            "\"conn_idle_ns\":-1",
            "permissions.conn_idle_ns holds -1; a time in nanoseconds from 0 is due",
        ),
        ("\"probes\":true", "\"probes\":\"yes\"", "permissions.probes holds \"yes\", not true or false"),
        ("\"permissions\":{", "\"permissions\":[],\"p\":{", "permissions holds [], not an object"),
        (
            "\"start_capacity\":0.5",
            "\"start_capacity\":1.5",
            "rules.start_capacity holds 1.5; a number from 0 to 1 is due",
        ),
        (
            "\"fall_multiple\":3.0",
            "\"fall_multiple\":-3",
            "rules.fall_multiple holds -3; a number from 0 is due",
        ),
        (
            "\"cold_ns\"",
            "\"spare_attempts\":-2,\"cold_ns\"",
            "rules.spare_attempts holds -2; a number from 0 is due",
        ),
        (
            "\"cold_ns\"",
            "\"counted_over_ns\":1,\"budget_share\":-1,\"cold_ns\"",
            "rules.budget_share holds -1; a number from 0 is due",
        ),
        (
            "\"zone\"",
            "\"penalties\":{\"handshake\":\"0\"},\"zone\"",
            "penalties.handshake holds \"0\", not a number",
        ),
        ("\"classes\"", "\"sorts\"", "classes is missing"),
        ("\"classes\":[", "\"classes\":[],\"sorts\":[", "classes holds []; a class at least is due"),
        ("\"classes\":[", "\"classes\":[3,", "family_info.scale_by_class holds 2 values for 3 classes"),
        ("\"name\":\"paid\"", "\"name\":\"free\"", "classes[1].name holds 'free' once more"),
        ("\"name\":\"paid\",", "", "classes[1].name is missing"),
        ("\"name\":\"paid\"", "\"name\":\"\"", "classes[1].name holds \"\"; a name is due"),
        ("\"worth\":2.0", "\"worth\":\"2\"", "classes[1].worth holds \"2\", not a number"),
        ("\"worth\":2.0", "\"worth\":-2.0", "classes[1].worth holds -2.0; a number from 0 is due"),
        ("\"effect\":\"idempotent\"", "\"effect\":\"often\"", "classes[0].effect holds 'often'"),
        ("\"effect\":\"at_most_once\"", "\"effect\":\"never\"", "classes[1].effect holds 'never'"),
        ("\"effect\":\"at_most_once\"", "\"effect\":\"\"", "classes[1].effect holds ''"),
        ("\"effect\":\"at_most_once\",", "", "classes[1].effect is missing"),
        (
            "\"effect\":\"at_most_once\"",
            "\"effect\":\"deduplicated\",\"dedup_scope\":\"rack\"",
            "classes[1].dedup_scope holds 'rack'",
        ),
        ("\"deadline_ns\":4000000000,\"worth\":2.0", "\"worth\":2.0", "classes[1].deadline_ns is missing"),
        (
            "\"deadline_ns\":4000000000,\"worth\":2.0",
            "\"deadline_ns\":0,\"worth\":2.0",
            "classes[1].deadline_ns holds 0; a time above 0 is due",
        ),
        (
            "\"deadline_ns\":4000000000,\"worth\":2.0",
            "\"deadline_ns\":\"4 s\",\"worth\":2.0",
            "classes[1].deadline_ns holds \"4 s\", not a number",
        ),
    ];
    for (sound, wrong, error) in table {
        let fault = read(&with(sound, wrong)).expect_err(error);
        assert_eq!(fault.to_string(), format!("settings.{error}"));
    }
    assert!(read("{").expect_err("no JSON").to_string().contains("can't be read"));
    assert_eq!(read("[]").expect_err("a list").to_string(), "settings holds [], not an object");
    // A field may hold much; an error quotes its beginning.
    let much = with("\"zone\":\"z\"", &format!("\"zone\":[\"{}\"]", "\u{e4}".repeat(100_000)));
    let fault = read(&much).expect_err("a list").to_string();
    assert!(fault.starts_with("settings.zone holds [\"\u{e4}") && fault.len() < 200, "{fault}");
}

#[test]
fn a_field_that_may_be_missing_has_a_value_all_the_same() {
    let required = r#"{"classes":[{"name":"a","effect":"at_most_once","deadline_ns":50000000}],
        "family_info":{"cells":1,"racks":1,"rung_kb":[10],"worth_by_rung":[1]},"permissions":{"max_attempts":1}}"#;
    let site = read(required).expect("all that is required");
    let class =
        Class { worth: 0.0, aim: 0, effect: Effect::AtMostOnce, scale: 1.0, floor: 0, top: 0, seats: 0 };
    let settings = Settings {
        fronts: 1,
        classes: vec![class],
        ladder: vec![Step { rate: 10.0, worth: 1.0 }],
        cells: 1,
        racks: 1,
        max_attempts: 1,
        ..Settings::default()
    };
    assert_eq!(site.settings, settings);
    assert_eq!(site.terms, Terms { deadline: 50_000_000, ..Terms::default() });
    assert_eq!(
        site.names,
        Names { classes: vec!["a".into()], kinds: Vec::new(), zones: vec![String::new()] }
    );
    // Each of them is required, and none beside them: what is unknown or null is no error.
    let odd =
        required.replacen('{', r#"{"unheard_of":{"x":[null]},"tenants":null,"rules":null,"dcs":null,"#, 1);
    assert_eq!(read(&odd), Ok(site));
    let fields = ["classes", "name", "effect", "deadline_ns", "family_info", "cells", "racks"];
    for field in fields.iter().chain(&["rung_kb", "worth_by_rung", "permissions", "max_attempts"]) {
        let without = required.replacen(&format!("\"{field}\""), "\"other\"", 1);
        let fault = read(&without).expect_err(field).to_string();
        assert!(fault.contains(field) && fault.ends_with(" is missing"), "{field}: {fault}");
    }
}

/// Every place in an object, as keys.
fn places(v: &Value, to: &[String], out: &mut Vec<Vec<String>>) {
    let mut go = |key: String, v: &Value| {
        let path: Vec<String> = to.iter().cloned().chain([key]).collect();
        out.push(path.clone());
        places(v, &path, out);
    };
    match v {
        Value::Object(o) => o.iter().for_each(|(key, v)| go(key.clone(), v)),
        Value::Array(a) => a.iter().enumerate().for_each(|(i, v)| go(i.to_string(), v)),
        _ => {}
    }
}

#[test]
fn whatever_stands_in_a_field_is_read_or_refused_by_its_name() {
    let sound: Value = serde_json::from_str(SETTINGS).expect("JSON");
    let mut all = Vec::new();
    places(&sound, &[], &mut all);
    let odd = [
        json!(null),
        json!(true),
        json!("odd"),
        json!(""),
        json!([]),
        json!({}),
        json!([[]]),
        json!([{}]),
        json!(-1),
        json!(0),
        json!(1),
        json!(0.5),
        json!(7e9),
        json!(1e300),
        json!(-1e300),
        json!(u64::MAX),
    ];
    let (mut read, mut refused) = (0, 0);
    for path in &all {
        for odd in &odd {
            let mut v = sound.clone();
            let place = path.iter().fold(&mut v, |v, key| match key.parse::<usize>() {
                Ok(i) => &mut v[i],
                Err(_) => &mut v[key.as_str()],
            });
            let kind = (
                place.is_number(),
                place.is_string(),
                place.is_boolean(),
                place.is_array(),
                place.is_object(),
            );
            *place = odd.clone();
            let new = (odd.is_number(), odd.is_string(), odd.is_boolean(), odd.is_array(), odd.is_object());
            let field = path.iter().rev().find(|k| k.parse::<usize>().is_err()).expect("a key");
            match site(&v) {
                Ok(site) => {
                    // A missing field has a meaning, one of another kind has none.
                    assert!(kind == new || odd.is_null() || field == "classes", "{path:?} {odd}");
                    read += 1;
                    // What is read the module takes: it has no fault left to name without the field's path.
                    assert_eq!(site.settings.check(), Ok(()), "{path:?} {odd}");
                    assert!(Controller::new(site.settings, 7, 1).is_ok());
                }
                Err(fault) => {
                    refused += 1;
                    let fault = fault.to_string();
                    let classes = fault.contains("for 0 classes") || fault.contains("for 1 classes");
                    let rungs = fault.contains("rung_kb and worth_by_rung");
                    assert!(fault.contains(field.as_str()) || classes || rungs, "{path:?} {odd}: {fault}");
                }
            }
        }
    }
    assert!(read > 200 && refused > 400, "{read} read, {refused} refused");
}

#[test]
fn what_is_too_great_is_taken_for_the_greatest() {
    let ever = SETTINGS.replace("\"conn_idle_ns\":15000000000", "\"conn_idle_ns\":18446744073709551615");
    let site = read(&ever.replace("\"max_streams\":8", "\"max_streams\":1e12")).expect("it can be read");
    // Sums with the time of day fit.
    assert!(site.terms.idle > 1 << 50 && site.terms.idle.checked_add(1 << 61).is_some());
    assert_eq!(site.terms.streams, 1 << 30);
}

#[test]
fn the_own_zone_is_known_listed_or_not() {
    for (zones, own, number) in
        [("[]", "", 0), ("[]", "z", 0), ("[\"a\",\"b\"]", "z", 2), ("[\"a\",\"z\"]", "z", 1)]
    {
        let text =
            SETTINGS.replace("[\"z\"]", zones).replace("\"zone\":\"z\"", &format!("\"zone\":\"{own}\""));
        let site = read(&text).expect("it can be read");
        assert_eq!((site.settings.zone, site.names.zones[number as usize].as_str()), (number, own));
    }
}

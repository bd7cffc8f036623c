//! Tests of reading the settings of a deployment and of refusing them with the field's name.

use micadyke::decide::Controller;
use micadyke::interface::{Class, Effect, RungSpec, Settings};
use micadyke_settings::{ConnectionSettings, Names, from_json, read};
use serde_json::{Value, json};

const SETTINGS: &str = include_str!("../../../fixtures/node/settings.json");

#[test]
fn settings_of_the_platform_are_read() {
    let deployment = read(SETTINGS).expect("valid settings");
    assert_eq!(
        (deployment.settings.classes.len(), deployment.settings.ladder.len(), deployment.settings.cells),
        (2, 3, 2)
    );
    assert_eq!(
        (deployment.names.classes, deployment.names.zones),
        (vec!["free".to_owned(), "paid".into()], vec!["z".into()])
    );
    let c = deployment.connections;
    assert_eq!(
        (c.max_streams, c.idle_timeout, c.connect_timeout, c.probes),
        (8, 15_000_000_000, 250_000_000, true)
    );
    assert_eq!(c.max_deadline, 4_000_000_000);
    assert_eq!(c.max_report_interval, 0, "the settings do not say that reports come");
}

#[test]
fn the_report_interval_is_stated_only_if_reports_come() {
    let table = [("answers", 2_000_000_000, 2_500_000_000), ("answers", 0, 0), ("probe", 2_000_000_000, 0)];
    for (how, period, interval) in table {
        let mut settings: Value = serde_json::from_str(SETTINGS).expect("JSON");
        settings["stats"] = json!({ "how": how });
        settings["family_info"]["tell_ns"] = json!(period);
        let deployment = from_json(&settings).expect("valid settings");
        assert_eq!(deployment.connections.max_report_interval, interval, "{how} {period}");
    }
}

/// The settings with the text `valid` replaced by `invalid`.
fn with(valid: &str, invalid: &str) -> String {
    assert!(SETTINGS.contains(valid), "{valid}");
    SETTINGS.replacen(valid, invalid, 1)
}

#[test]
fn errors_name_the_invalid_field() {
    // The valid text, its replacement and the complete error.
    let table = [
        ("\"rung_kb\":[100.0", "\"rung_kb\":[\"x\"", "family_info.rung_kb[0] holds \"x\", not a number"),
        ("\"rung_kb\":[100.0,", "\"rung_kb\":[null,", "family_info.rung_kb[0] is missing"),
        (
            "\"rung_kb\":[100.0,",
            "\"rung_kb\":[0,",
            "family_info.rung_kb[0] holds 0; expected a number above 0",
        ),
        (
            "\"rung_kb\":[100.0,",
            "\"rung_kb\":[200.0,",
            "family_info.rung_kb[1] holds 200.0, which contradicts settings.family_info.rung_kb[0], as rungs must increase",
        ),
        (
            "\"worth_by_rung\":[0.3,0.7",
            "\"worth_by_rung\":[0.3,0.2",
            "family_info.worth_by_rung[1] holds 0.2, which contradicts settings.family_info.worth_by_rung[0], \
             as rungs must increase",
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
        ("\"cells\":2", "\"cells\":0", "family_info.cells holds 0; expected a count of 1 or more"),
        ("\"cells\":2,", "", "family_info.cells is missing"),
        ("\"racks\":1", "\"racks\":0.5", "family_info.racks holds 0.5, not a count"),
        ("\"racks\":1,", "", "family_info.racks is missing"),
        (
            "\"uplink_kb\":0",
            "\"uplink_kb\":-1",
            "family_info.uplink_kb holds -1; expected a number of 0 or more",
        ),
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
            "family_info.scale_by_class[1] holds 0.0; expected a number above 0",
        ),
        (
            "\"places_by_kind\":[400]",
            "\"places_by_kind\":[-400]",
            "family_info.places_by_kind[0] holds -400, not a count",
        ),
        ("\"models\":[\"k\"]", "\"models\":[\"k\",7]", "models[1] holds 7, not a string"),
        ("\"dcs\":[\"z\"]", "\"dcs\":\"z\"", "dcs holds \"z\", not a list"),
        ("\"zone\":\"z\"", "\"zone\":[\"z\"]", "zone holds [\"z\"], not a string"),
        ("\"group_size\":1", "\"group_size\":-1", "group_size holds -1, not a count"),
        ("\"max_streams\":8", "\"max_streams\":-8", "permissions.max_streams holds -8, not a count"),
        (
            "\"max_attempts\":4",
            "\"max_attempts\":0",
            "permissions.max_attempts holds 0; expected a count of 1 or more",
        ),
        ("\"max_attempts\":4,", "", "permissions.max_attempts is missing"),
        (
            "\"conn_idle_ns\":15000000000",
            "\"conn_idle_ns\":-1",
            "permissions.conn_idle_ns holds -1; expected a time of 0 or more nanoseconds",
        ),
        ("\"probes\":true", "\"probes\":\"yes\"", "permissions.probes holds \"yes\", not true or false"),
        ("\"permissions\":{", "\"permissions\":[],\"p\":{", "permissions holds [], not an object"),
        (
            "\"start_capacity\":0.5",
            "\"start_capacity\":1.5",
            "rules.start_capacity holds 1.5; expected a number from 0 to 1",
        ),
        (
            "\"fall_multiple\":3.0",
            "\"fall_multiple\":-3",
            "rules.fall_multiple holds -3; expected a number of 0 or more",
        ),
        (
            "\"cold_ns\"",
            "\"spare_attempts\":-2,\"cold_ns\"",
            "rules.spare_attempts holds -2; expected a number of 0 or more",
        ),
        (
            "\"cold_ns\"",
            "\"counted_over_ns\":1,\"budget_share\":-1,\"cold_ns\"",
            "rules.budget_share holds -1; expected a number of 0 or more",
        ),
        (
            "\"zone\"",
            "\"penalties\":{\"handshake\":\"0\"},\"zone\"",
            "penalties.handshake holds \"0\", not a number",
        ),
        ("\"classes\"", "\"sorts\"", "classes is missing"),
        ("\"classes\":[", "\"classes\":[],\"sorts\":[", "classes holds []; expected at least one class"),
        ("\"classes\":[", "\"classes\":[3,", "family_info.scale_by_class holds 2 values for 3 classes"),
        (
            "\"name\":\"paid\"",
            "\"name\":\"free\"",
            "classes[1].name holds 'free', which is the name of an earlier class",
        ),
        ("\"name\":\"paid\",", "", "classes[1].name is missing"),
        ("\"name\":\"paid\"", "\"name\":\"\"", "classes[1].name holds \"\"; expected a name"),
        ("\"worth\":2.0", "\"worth\":\"2\"", "classes[1].worth holds \"2\", not a number"),
        ("\"worth\":2.0", "\"worth\":-2.0", "classes[1].worth holds -2.0; expected a number of 0 or more"),
        (
            "\"effect\":\"idempotent\"",
            "\"effect\":\"often\"",
            "classes[0].effect holds unknown value 'often'",
        ),
        (
            "\"effect\":\"at_most_once\"",
            "\"effect\":\"never\"",
            "classes[1].effect holds unknown value 'never'",
        ),
        ("\"effect\":\"at_most_once\"", "\"effect\":\"\"", "classes[1].effect holds unknown value ''"),
        ("\"effect\":\"at_most_once\",", "", "classes[1].effect is missing"),
        (
            "\"effect\":\"at_most_once\"",
            "\"effect\":\"deduplicated\",\"dedup_scope\":\"rack\"",
            "classes[1].dedup_scope holds unknown value 'rack'",
        ),
        ("\"deadline_ns\":4000000000,\"worth\":2.0", "\"worth\":2.0", "classes[1].deadline_ns is missing"),
        (
            "\"deadline_ns\":4000000000,\"worth\":2.0",
            "\"deadline_ns\":0,\"worth\":2.0",
            "classes[1].deadline_ns holds 0; expected a time above 0",
        ),
        (
            "\"deadline_ns\":4000000000,\"worth\":2.0",
            "\"deadline_ns\":\"4 s\",\"worth\":2.0",
            "classes[1].deadline_ns holds \"4 s\", not a number",
        ),
    ];
    for (valid, invalid, message) in table {
        let error = read(&with(valid, invalid)).expect_err(message);
        assert_eq!(error.to_string(), format!("settings.{message}"));
    }
    assert!(read("{").expect_err("invalid JSON").to_string().contains("can't be read"));
    assert_eq!(read("[]").expect_err("a list").to_string(), "settings holds [], not an object");
    // An error quotes only the beginning of a long value.
    let long = with("\"zone\":\"z\"", &format!("\"zone\":[\"{}\"]", "\u{e4}".repeat(100_000)));
    let error = read(&long).expect_err("a list").to_string();
    assert!(error.starts_with("settings.zone holds [\"\u{e4}") && error.len() < 200, "{error}");
}

#[test]
fn optional_fields_have_defaults() {
    let required = r#"{"classes":[{"name":"a","effect":"at_most_once","deadline_ns":50000000}],
        "family_info":{"cells":1,"racks":1,"rung_kb":[10],"worth_by_rung":[1]},"permissions":{"max_attempts":1}}"#;
    let deployment = read(required).expect("all required fields");
    let class = Class {
        worth: 0.0,
        setup_target: 0,
        effect: Effect::AtMostOnce,
        scale: 1.0,
        floor: 0,
        top: 0,
        seats: 0,
    };
    let settings = Settings {
        fronts: 1,
        classes: vec![class],
        ladder: vec![RungSpec { rate: 10.0, worth: 1.0 }],
        cells: 1,
        racks: 1,
        max_attempts: 1,
        ..Settings::default()
    };
    assert_eq!(deployment.settings, settings);
    assert_eq!(
        deployment.connections,
        ConnectionSettings { max_deadline: 50_000_000, ..ConnectionSettings::default() }
    );
    assert_eq!(
        deployment.names,
        Names { classes: vec!["a".into()], kinds: Vec::new(), zones: vec![String::new()] }
    );
    // No other field is required: unknown fields and null values are accepted.
    let with_unknown =
        required.replacen('{', r#"{"unheard_of":{"x":[null]},"tenants":null,"rules":null,"dcs":null,"#, 1);
    assert_eq!(read(&with_unknown), Ok(deployment));
    let fields = ["classes", "name", "effect", "deadline_ns", "family_info", "cells", "racks"];
    for field in fields.iter().chain(&["rung_kb", "worth_by_rung", "permissions", "max_attempts"]) {
        let without = required.replacen(&format!("\"{field}\""), "\"other\"", 1);
        let error = read(&without).expect_err(field).to_string();
        assert!(error.contains(field) && error.ends_with(" is missing"), "{field}: {error}");
    }
}

/// Appends the path of every field and element below a value, as lists of keys.
fn collect_paths(v: &Value, to: &[String], out: &mut Vec<Vec<String>>) {
    let mut visit = |key: String, v: &Value| {
        let path: Vec<String> = to.iter().cloned().chain([key]).collect();
        out.push(path.clone());
        collect_paths(v, &path, out);
    };
    match v {
        Value::Object(o) => o.iter().for_each(|(key, v)| visit(key.clone(), v)),
        Value::Array(a) => a.iter().enumerate().for_each(|(i, v)| visit(i.to_string(), v)),
        _ => {}
    }
}

#[test]
fn arbitrary_field_values_are_read_or_refused_by_field_name() {
    let valid: Value = serde_json::from_str(SETTINGS).expect("JSON");
    let mut all = Vec::new();
    collect_paths(&valid, &[], &mut all);
    let replacements = [
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
        for replacement in &replacements {
            let mut v = valid.clone();
            let field_value = path.iter().fold(&mut v, |v, key| match key.parse::<usize>() {
                Ok(i) => &mut v[i],
                Err(_) => &mut v[key.as_str()],
            });
            let old_type = (
                field_value.is_number(),
                field_value.is_string(),
                field_value.is_boolean(),
                field_value.is_array(),
                field_value.is_object(),
            );
            *field_value = replacement.clone();
            let new_type = (
                replacement.is_number(),
                replacement.is_string(),
                replacement.is_boolean(),
                replacement.is_array(),
                replacement.is_object(),
            );
            let field = path.iter().rev().find(|k| k.parse::<usize>().is_err()).expect("a key");
            match from_json(&v) {
                Ok(deployment) => {
                    // A missing field has a default, a value of another type is refused.
                    assert!(
                        old_type == new_type || replacement.is_null() || field == "classes",
                        "{path:?} {replacement}"
                    );
                    read += 1;
                    // The controller accepts everything that is read: its own errors don't have the field's path.
                    assert_eq!(deployment.settings.check(), Ok(()), "{path:?} {replacement}");
                    assert!(Controller::new(deployment.settings, 7, 1).is_ok());
                }
                Err(error) => {
                    refused += 1;
                    let error = error.to_string();
                    let classes = error.contains("for 0 classes") || error.contains("for 1 classes");
                    let rungs = error.contains("rung_kb and worth_by_rung");
                    assert!(
                        error.contains(field.as_str()) || classes || rungs,
                        "{path:?} {replacement}: {error}"
                    );
                }
            }
        }
    }
    assert!(read > 200 && refused > 400, "{read} read, {refused} refused");
}

#[test]
fn excessive_values_are_reduced_to_the_maximum() {
    let endless = SETTINGS.replace("\"conn_idle_ns\":15000000000", "\"conn_idle_ns\":18446744073709551615");
    let deployment =
        read(&endless.replace("\"max_streams\":8", "\"max_streams\":1e12")).expect("valid settings");
    let connections = deployment.connections;
    // Sums with the time of day don't overflow.
    assert!(connections.idle_timeout > 1 << 50 && connections.idle_timeout.checked_add(1 << 61).is_some());
    assert_eq!(connections.max_streams, 1 << 30);
}

#[test]
fn own_zone_has_an_index_even_if_not_listed() {
    for (zones, own, number) in
        [("[]", "", 0), ("[]", "z", 0), ("[\"a\",\"b\"]", "z", 2), ("[\"a\",\"z\"]", "z", 1)]
    {
        let text =
            SETTINGS.replace("[\"z\"]", zones).replace("\"zone\":\"z\"", &format!("\"zone\":\"{own}\""));
        let deployment = read(&text).expect("valid settings");
        assert_eq!(
            (deployment.settings.zone, deployment.names.zones[number as usize].as_str()),
            (number, own)
        );
    }
}

//! The settings of a deployment: read, and refused with the field's name.

use micadyke::decide::Controller;
use micadyke_settings::{read, site};
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

#[test]
fn the_field_that_is_wrong_is_named() {
    let table = [
        ("\"rung_kb\":[100.0", "\"rung_kb\":[\"x\"", "family_info.rung_kb"),
        ("\"worth_by_rung\":[0.3,", "\"worth_by_rung\":[", "rung_kb and worth_by_rung differ"),
        ("\"effect\":\"idempotent\"", "\"effect\":\"often\"", "effect holds 'often'"),
        ("\"max_streams\":8", "\"max_streams\":-8", "permissions.max_streams"),
        ("\"conn_idle_ns\":15000000000", "\"conn_idle_ns\":-1", "permissions.conn_idle_ns"),
        ("\"probes\":true", "\"probes\":\"yes\"", "permissions.probes"),
        ("\"licence_cap\":[0,0]", "\"licence_cap\":[0]", "licence_cap holds 1 values for 2 classes"),
        ("\"floor_by_class\":[0,1]", "\"floor_by_class\":[0,-1]", "family_info.floor_by_class holds -1"),
        ("\"highest_rung\":[2,2]", "\"highest_rung\":[2,1.5]", "family_info.highest_rung holds 1.5"),
        ("\"places_by_kind\":[400]", "\"places_by_kind\":[-400]", "family_info.places_by_kind"),
        ("\"name\":\"paid\"", "\"name\":\"free\"", "classes[1].name holds 'free' once more"),
        ("\"worth\":2.0", "\"worth\":\"2\"", "classes[1].worth"),
        ("\"effect\":\"at_most_once\"", "\"effect\":\"never\"", "classes[1].effect"),
    ];
    for (sound, wrong, named) in table {
        assert!(SETTINGS.contains(sound), "{sound}");
        let fault = read(&SETTINGS.replace(sound, wrong)).expect_err(named);
        assert!(fault.to_string().contains(named), "{fault}");
    }
    assert!(read("{").expect_err("no JSON").to_string().contains("can't be read"));
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
                    // The module takes it or names its own field; it never panics.
                    let _ = Controller::new(site.settings, 7, 1).map_err(|e| assert!(!e.field.is_empty()));
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

//! The settings of a deployment: read, and refused with the field's name.

use micadyke_settings::read;

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
    ];
    for (sound, wrong, named) in table {
        assert!(SETTINGS.contains(sound), "{sound}");
        let fault = read(&SETTINGS.replace(sound, wrong)).expect_err(named);
        assert!(fault.contains(named), "{fault}");
    }
    assert!(read("{").expect_err("no JSON").contains("can't be read"));
}

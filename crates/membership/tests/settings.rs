//! Tests of reading the settings of membership and of errors with their positions.

use micadyke_membership::settings::read;
use micadyke_membership::share::ShareSettings;
use micadyke_membership::{MS, SECOND};

const SOUND: &str = r#"(membership (fleet "f") (name "n3") (listen "10.0.0.4:7946") (key-file "k")"#;

#[test]
fn settings_are_read_with_defaults() {
    let least = read(&format!("{SOUND})"), "f.sexp", None).expect("sound");
    assert_eq!((least.advertise, least.expected, least.period), (least.listen, 2, 500 * MS));
    assert_eq!((least.shares, least.seeds.len(), least.rate), (None, 0, 64_000));
    let more = r#"(advertise "10.9.0.4:1") (seeds "10.0.0.1:1" "10.0.0.2:2") (expected 300) (period 1s) (remember 2h)
        (rate 128kB/s) (shares (always 40%) (lease 2s) (drift 2%)))"#;
    let all = read(&format!("{SOUND} {more}"), "f.sexp", None).expect("sound");
    assert_eq!((all.advertise.port(), all.seeds.len(), all.period, all.rate), (1, 2, SECOND, 128_000));
    assert_eq!(
        all.shares,
        Some(ShareSettings {
            fleet_size: 300,
            guaranteed_per_mille: 400,
            lease_duration: 2 * SECOND,
            max_drift_per_mille: 20
        })
    );
    assert_eq!(all.remember, 7200 * SECOND);
    let unnamed = SOUND.replace("(name \"n3\")", "");
    assert_eq!(read(&format!("{unnamed})"), "f.sexp", Some("n9")).expect("sound").name, "n9");
}

#[test]
fn errors_have_a_position() {
    let table = [
        ("(seeds \"nowhere\")", "seeds: 'nowhere' is no address and port"),
        ("(period 500)", "period"),
        ("(period 1ms)", "outside"),
        ("(expected 0)", "no whole number"),
        ("(shares (always 200%))", "outside"),
        ("(shares (leese 2s))", "'lease'?"),
        ("(advertise \"0.0.0.0:7946\")", "cannot reach"),
        ("(name \"n4\")", "given twice"),
        ("(fleeet \"g\")", "'fleet'?"),
    ];
    for (part, what) in table {
        let faults = read(&format!("{SOUND} {part})"), "f.sexp", None).expect_err(part);
        assert!(faults.iter().any(|f| f.to_string().contains(what)), "{part}: {faults:?}");
        assert!(faults[0].to_string().starts_with("f.sexp:1:"), "{faults:?}");
    }
    for (text, what) in [
        ("", "incomplete"),
        ("(members)", "not 'membership'"),
        ("(membership", "f.sexp:1"),
        ("(membership (fleet \"f\") (key-file \"k\") (listen \"1.2.3.4:5\"))", "lacks its 'name'"),
        ("(membership (fleet \"f\") (key-file \"k\") (name \"a b\"))", "no name of"),
    ] {
        let faults = read(text, "f.sexp", None).expect_err(text);
        assert!(faults.iter().any(|f| f.to_string().contains(what)), "{text}: {faults:?}");
    }
}

#[test]
fn every_error_has_advice() {
    use micadyke_membership::Error;
    let at = ([10, 0, 0, 4], 7946).into();
    let why = || std::io::Error::from(std::io::ErrorKind::AddrInUse);
    let all = [
        (Error::Listen { at, why: why() }, "cannot listen on 10.0.0.4:7946", "'listen'"),
        (Error::Socket(why()), "no socket", "descriptors"),
        (Error::NoRoute { at, why: why() }, "10.0.0.4:7946: ", "route"),
        (Error::Silent { at }, "does not answer", "'key-file'"),
        (Error::NoSummary { at }, "no first page", "another member"),
    ];
    let mut kinds = std::collections::HashSet::new();
    for (error, what, advice) in all {
        assert!(error.to_string().contains(what) && error.advice().contains(advice), "{error}");
        assert!(kinds.insert(std::mem::discriminant(&error)), "{error}: duplicate variant");
    }
}

//! Settings and lists: broken files by table, each with its place and fault; good ones round.

use micadyke::interface::ServerState;
use micadyke_config::sexp::{Kind, read};
use micadyke_config::units::{Unit, quantity};
use micadyke_config::*;
use proptest::prelude::*;

const GOOD: &str = r#"(front (name "f") (listen "127.0.0.1:0"))
(zones a b)
(ladder (rung (rate 100kB/s) (worth 0.3)) (rung (rate 300kB/s) (worth 1)))
(class play (aim 800ms) (patience 4s) (effect idempotent))
(kind small (streams 20))
(fleet (cells 4) (link-per-weight 2000kB/s)
  (cold (warm-after 12s) (from 0.4) (fall-multiple 2.5) (fall-window 2s)))
(attempts (most 3) (budget (spare 5) (share 10%) (window 10s)))
(route "/whep/" (kind whep) (class play))
(title demo (from-cell 0) (cells 3))
"#;

#[test]
fn good_settings() {
    let c = read_config(GOOD, "f.sexp").expect("good");
    assert_eq!(
        (c.settings.ladder.len(), c.classes[0].patience, c.settings.cold_for),
        (2, 4_000_000_000, 12_000_000_000)
    );
    assert_eq!(c.settings.retry_budget.expect("budget").share, 0.1);
    assert_eq!(c.titles["demo"], Title { base: 0, spread: 3 });
}

#[test]
fn faults_name_line_column_and_fault() {
    // What is replaced, by what, and the message.
    let table = [
        (
            "800ms",
            "800",
            "f.sexp:4:18: aim: '800' has no unit; '800ms' or '800s'? (units: ns, us, ms, s, min, h, d)",
        ),
        ("800ms", "800m", "f.sexp:4:18: aim: 'm' is no unit of a time (units: ns, us, ms, s, min, h, d)"),
        ("800ms", "-1s", "f.sexp:4:18: aim: '-1s' is below 0"),
        ("800ms", "9s", "f.sexp:4:1: class 'play': the viewer's patience is shorter than the aim"),
        (
            "100kB/s",
            "100",
            "f.sexp:3:21: rate: '100' has no unit (units: B/s, kB/s, MB/s, GB/s, kbit/s, Mbit/s, Gbit/s)",
        ),
        ("(streams 20)", "(streams 20s)", "f.sexp:5:22: streams: '20s' is no whole number from 1 to 1000000"),
        ("(aim 800ms)", "(aimm 800ms)", "f.sexp:4:1: 'class' lacks its 'aim'"),
        ("(aim 800ms)", "(aim 800ms) (aimm 1s)", "f.sexp:4:25: 'aimm' is no part of 'class'; 'aim'?"),
        ("(aim 800ms)", "(aim 800ms) (aim 1s)", "f.sexp:4:25: 'aim' is given twice"),
        (
            "idempotent",
            "idempotant",
            "f.sexp:4:39: effect: 'idempotant' is none of idempotent, at-most-once; 'idempotent'?",
        ),
        ("300kB/s", "50kB/s", "f.sexp:3:43: a rung must have a higher rate and worth than the one before it"),
        ("(class play))", "(class plya))", "f.sexp:9:29: class: 'plya' is none of play; 'play'?"),
        ("(zones a b)", "(zone a b)", "f.sexp:2:1: 'zone' is no setting; 'zones'?"),
        ("(zones a b)", "(zones a b", "f.sexp:2:1: a '(' that is not closed"),
        ("(zones a b)", "(zones a b))", "f.sexp:2:12: a ')' that closes nothing"),
        ("\"f\"", "\"f", "f.sexp:9:45: a string that is not closed"),
        ("(from 0.4)", "(from 1.5)", "f.sexp:7:26: from: 1.5 is outside 0 to 1"),
        ("/whep/", "whep", "f.sexp:9:1: route 'whep' must begin and end with a slash"),
        ("(class play))", "(class play) (silence 5s))", "f.sexp:9:42: 'silence' is for routes of kind media"),
        (
            "(kind whep) (class play))",
            "(kind media) (class play) (silence 5))",
            "f.sexp:9:52: silence: '5' has no unit; '5ms' or '5s'? (units: ns, us, ms, s, min, h, d)",
        ),
        ("/whep/", "/session/", "f.sexp:9:1: routes under /session/ are the front's own"),
        ("127.0.0.1:0", "localhost", "f.sexp:1:19: listen: 'localhost' is no address and port"),
        ("(from-cell 0)", "(from-cell 9)", "f.sexp:10:24: from-cell: '9' is no whole number from 0 to 3"),
        (
            "title demo",
            "title a/b",
            "f.sexp:10:1: title 'a/b': 1 to 128 letters, digits, '-', '_', '.' are due",
        ),
        (
            "(patience 4s)",
            "(patience 4s) (floor 1) (top 0)",
            "f.sexp:4:1: class 'play': floor 1 is above top 0",
        ),
    ];
    let mut missed = String::new();
    for (from, to, message) in table {
        let text = GOOD.replacen(from, to, 1);
        let faults = read_config(&text, "f.sexp").expect_err(message);
        let all: Vec<String> = faults.iter().map(ToString::to_string).collect();
        let fits = |m: &String| m == message || (message.contains("not closed") && m.ends_with("not closed"));
        if !all.iter().any(fits) {
            missed.push_str(&format!("wanted {message}\ngot {all:#?}\n"));
        }
    }
    assert!(missed.is_empty(), "{missed}");
    let two = GOOD.replacen("800ms", "800", 1).replacen("(streams 20)", "", 1);
    assert!(read_config(&two, "f").expect_err("two faults").len() >= 2, "all faults in one reading");
}

#[test]
fn lists_of_boxes() {
    let config = read_config(GOOD, "f.sexp").expect("good");
    let text = "(box 7 (address \"127.0.0.1:9001\") (cell 0) (zone b) (started 1764590000123ms))\n\
                (box 8 (address \"127.0.0.1:9002\") (cell 1) (state draining) (weight 2.5))\n";
    let rows = read_boxes(text, "b.sexp", &config).expect("good");
    assert_eq!(
        (rows[0].zone, rows[0].started_at, rows[1].state),
        (1, 1_764_590_000_123_000_000, ServerState::Draining)
    );
    assert_eq!(read_boxes(&write_boxes(&rows, &config), "b", &config), Ok(rows));
    let table = [
        ("(box 7 (cell 0))", "b.sexp:1:1: 'box' lacks its 'address'"),
        ("(box x (cell 0))", "b.sexp:1:1: a box takes one number below 2^32"),
        ("(box 1 (address \"a\") (cell 0))", "b.sexp:1:1: address: 'a' is no address and port"),
        (
            "(box 1 (address \"127.0.0.1:1\") (cell 9))",
            "b.sexp:1:38: cell: '9' is no whole number from 0 to 3",
        ),
        (
            "(box 1 (address \"127.0.0.1:1\") (cell 1) (state drainin))",
            "b.sexp:1:41: state: 'drainin' is none of ready, draining, gone; 'draining'?",
        ),
        ("(bx 1)", "b.sexp:1:1: 'bx' is no entry of a list of boxes; 'box'?"),
        (
            "(box 1 (address \"127.0.0.1:1\") (cell 1))(box 1 (address \"127.0.0.1:1\") (cell 2))",
            "b.sexp:1:41: box 1 is given twice",
        ),
    ];
    for (text, message) in table {
        let all: Vec<String> =
            read_boxes(text, "b.sexp", &config).expect_err(message).iter().map(ToString::to_string).collect();
        assert!(all.iter().any(|m| m == message), "wanted {message}\ngot {all:#?}");
    }
}

fn node() -> impl Strategy<Value = String> {
    let leaf = prop_oneof!["[a-z0-9./-]{1,8}", "\"[ a-z;()]{0,6}\""].prop_map(|s| s);
    leaf.prop_recursive(4, 32, 5, |inner| {
        prop::collection::vec(inner, 0..5).prop_map(|items| format!("({})", items.join(" ")))
    })
}

proptest! {
    #[test]
    fn what_is_shown_is_read_again(text in node()) {
        let nodes = read(&text).expect("well formed");
        prop_assert_eq!(nodes.len(), 1);
        let again = read(&nodes[0].to_string()).expect("well formed");
        prop_assert_eq!(nodes[0].to_string(), again[0].to_string());
        prop_assert!(!matches!(&nodes[0].kind, Kind::Atom(a) if a.is_empty()));
    }

    #[test]
    fn no_text_makes_it_panic(text in "[ -~\n\u{e9}\u{feff}]{0,80}", at in 0usize..800) {
        let _ = (read(&text), read_config(&text, "f"), quantity(&text, Unit::Time));
        let mut broken = GOOD.to_owned();
        let at = at % broken.len();
        broken.replace_range(at..at + 1, text.chars().next().map(String::from).as_deref().unwrap_or(""));
        let _ = read_config(&broken, "f");
    }
}

#[test]
fn the_bound_of_seats_at_boxes() {
    let with = |bound: &str, effect: &str| {
        format!(
            "(front (name \"f\") (listen \"127.0.0.1:0\"))\n\
             (ladder (rung (rate 1kB/s) (worth 1)))\n\
             (class spot (aim 800ms) (patience 3s) (effect {effect}) (tokens))\n\
             (kind box (streams 5))\n(fleet (cells 1)) (route \"/spot/\" (kind whep) (class spot))\n\
             (issuer (address \"127.0.0.1:1\") (state \"s\") {bound})\n"
        )
    };
    // (bound, the fault)
    let refused = [
        ("(bound)", "'bound' lacks its 'key'"),
        ("(bound (key (file \"f\")))", "a key takes one id of its own"),
        ("(bound (key \"k\"))", "lacks its 'file'"),
        ("(bound (path \"leases\") (key \"k\" (file \"f\")))", "'leases' is no path at a box"),
        ("(bound (pth \"/l\") (key \"k\" (file \"f\")))", "pth"),
    ];
    for (bound, fault) in refused {
        let faults = read_config(&with(bound, "at-most-once"), "s").expect_err(bound);
        assert!(faults.iter().any(|f| f.to_string().contains(fault)), "{bound}: {faults:?}");
    }
    let sound = "(bound (path \"/l\") (key \"k\" (file \"f\")))";
    // (bound, effect, what is not promised)
    for (bound, effect, notes) in [
        (sound, "at-most-once", &[][..]),
        ("", "at-most-once", &["boxes are told no end of a seat"][..]),
        (sound, "idempotent", &["may be set up again"][..]),
    ] {
        let config = read_config(&with(bound, effect), "s").unwrap_or_else(|e| panic!("{e:?}"));
        let said = config.not_promised();
        assert_eq!(said.len(), notes.len(), "{said:?}");
        assert!(said.iter().zip(notes).all(|(s, n)| s.contains(n)), "{said:?}");
    }
}

#[test]
fn every_fault_of_a_quantity_says_what_would_do() {
    use micadyke_config::units::{Unit, quantity};
    // Each kind once.
    let table = [
        ("soon", Unit::Time, "'soon' is not a time", "as in 250ms"),
        ("-1s", Unit::Time, "below 0", "0 or more"),
        ("250", Unit::Time, "'250ms' or '250s'?", "units named"),
        ("250", Unit::Rate, "has no unit (units: B/s", "units named"),
        ("2s", Unit::Number, "has a unit ('s')", "Leave the unit away"),
        ("2kB", Unit::Time, "'kB' is no unit of a time", "large and small letters"),
        ("999999999999d", Unit::Time, "too large", "Write less"),
    ];
    let mut kinds = std::collections::HashSet::new();
    for (text, unit, what, advice) in table {
        let fault = quantity(text, unit).expect_err(text);
        assert!(fault.to_string().contains(what) && fault.advice().contains(advice), "{fault}");
        assert!(kinds.insert(std::mem::discriminant(&fault)), "{fault}: a kind of its own");
    }
}

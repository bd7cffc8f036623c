//! Structured fields: the specification's examples, and the crate `sfv` beside ours.

use micadyke_http::structured::*;
use proptest::prelude::*;
use sfv::{FieldType, Parser};

#[test]
fn examples_of_the_specification() {
    let list = parse_list("sugar, tea, rum").expect("a list of tokens");
    assert_eq!(list.len(), 3);
    let inner = parse_list("(\"foo\";a=1;b=2);lvl=5, (\"bar\" \"baz\");lvl=1").expect("inner lists");
    assert!(
        matches!(&inner[1], Member::Inner(items, params) if items.len() == 2 && params[0].1 == Bare::Integer(1))
    );
    let dictionary = parse_dictionary("a=?0, b, c; foo=bar").expect("a dictionary");
    assert_eq!(write_dictionary(&dictionary), "a=?0, b, c;foo=bar");
    assert_eq!(parse_item("4.5").map(|i| i.value), Some(Bare::Decimal(4500)));
    assert_eq!(parse_item(":cHJldGVuZA==:").map(|i| i.value), Some(Bare::Bytes(b"pretend".to_vec())));
    assert_eq!(parse_item("@1659578233").map(|i| i.value), Some(Bare::Date(1_659_578_233)));
    assert_eq!(parse_item("%\"f%c3%bc\"").map(|i| i.value), Some(Bare::Display("f\u{fc}".into())));
    for bad in [
        "1,",
        "\"x",
        "(1",
        "1 2",
        "a=",
        "-",
        "1.",
        "1.2345",
        "1234567890123456",
        "?2",
        ":a:",
        "%\"%C3\"",
        "\u{e9}",
    ] {
        assert_eq!(parse_list(bad), None, "{bad:?}");
    }
}

proptest! {
    #[test]
    fn agrees_with_another_parser(text in "[ a-z0-9*;=,.()\"?:@%\\\\-]{0,24}") {
        let theirs = Parser::new(&text).parse::<sfv::List>();
        let ours = parse_list(&text);
        prop_assert_eq!(ours.is_some(), theirs.is_ok(), "{:?}", text);
        if let (Some(ours), Ok(theirs)) = (ours, theirs) {
            prop_assert_eq!(write_list(&ours), theirs.serialize().unwrap_or_default());
        }
        let theirs = Parser::new(&text).parse::<sfv::Dictionary>();
        let ours = parse_dictionary(&text);
        prop_assert_eq!(ours.is_some(), theirs.is_ok(), "{:?}", text);
        if let (Some(ours), Ok(theirs)) = (ours, theirs) {
            prop_assert_eq!(write_dictionary(&ours), theirs.serialize().unwrap_or_default());
        }
    }
}

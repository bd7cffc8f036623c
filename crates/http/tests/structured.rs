//! Structured fields: examples of the specification, the limits, and input that `sfv` rejects but an earlier parser accepted.

use micadyke_http::structured::*;
use proptest::prelude::*;

/// The reserialized text of a list or dictionary.
fn read(text: &str) -> (Option<String>, Option<String>) {
    (parse_list(text).as_ref().map(write_list), parse_dictionary(text).as_ref().map(write_dictionary))
}

#[test]
fn what_is_read_by_table() {
    let lists = [
        ("sugar, tea, rum", "sugar, tea, rum"),
        (
            "(\"foo\";a=1;b=2);lvl=5, (\"bar\"  \"baz\" );  lvl=1",
            "(\"foo\";a=1;b=2);lvl=5, (\"bar\" \"baz\");lvl=1",
        ),
        ("4.500, -0, -0.0,\t007", "4.5, 0, 0.0, 7"),
        (":cHJldGVuZA==:, :cHJldGVuZA:, ::", ":cHJldGVuZA==:, :cHJldGVuZA==:, ::"),
        // Surplus bits at the end are ignored (section 4.2.7).
        (":YR==:, @1659578233, %\"f%c3%bc\"", ":YQ==:, @1659578233, %\"f%c3%bc\""),
        ("a;b;c;b=2, \"\\\"\\\\\"", "a;b=2;c, \"\\\"\\\\\""),
        ("  ", ""),
    ];
    for (text, written) in lists {
        assert_eq!(read(text).0.as_deref(), Some(written), "{text}");
    }
    let dictionary = "a=?0, b, c; foo=bar, a=3, d=(1 2);x";
    assert_eq!(read(dictionary).1.as_deref(), Some("a=3, b, c;foo=bar, d=(1 2);x"), "the later value counts");
    for bad in [
        "1,",
        "a,,b",
        "\"x",
        "\"\\a\"",
        "(1",
        "(a\tb)",
        "(a\"b\")",
        "1 2",
        "\ta",
        "a ;b",
        "a;\tb",
        "a=",
        "A=1",
        "-",
        "1.",
        "1.2345",
        "1234567890123.0",
        "1234567890123456",
        "@1.0",
        "?2",
        ":a:",
        ":Y=Q:",
        "%\"%C3\"",
        "%\"%c3\"",
        "\u{e9}",
        // The earlier parser accepted wrong or surplus padding.
        ":=:",
        ":==:",
        ":YWI==:",
        ":YWJj=:",
        ":YWJj==:",
    ] {
        assert_eq!(read(bad), (None, None), "{bad:?}");
        assert_eq!(parse_dictionary(&format!("k={bad}")), None, "{bad:?}");
    }
}

#[test]
fn what_is_too_much_by_table() {
    let keys = |n: usize, between: &str| (0..n).map(|i| format!("k{i}")).collect::<Vec<_>>().join(between);
    let same = |n: usize, between: &str| vec!["a"; n].join(between);
    let most = MAX_MEMBERS;
    // A text of maximum size, and one that is a step longer.
    let table = [
        (keys(most, ","), keys(most + 1, ",")),
        (format!("a;{}", keys(most, ";")), format!("a;{}", keys(most + 1, ";"))),
        (format!("a=({})", same(most, " ")), format!("a=({})", same(most + 1, " "))),
        (format!("a=(1;{})", keys(most, ";")), format!("a=(1;{})", keys(most + 1, ";"))),
        (format!("a=();{}", keys(most, ";")), format!("a=();{}", keys(most + 1, ";"))),
        ("a".repeat(MAX_BYTES), "a".repeat(MAX_BYTES + 1)),
    ];
    for (fits, more) in table {
        assert!(parse_dictionary(&fits).is_some() && parse_dictionary(&more).is_none(), "{:.40}", more);
    }
    assert!(parse_list(&same(most, ",")).is_some() && parse_list(&same(most + 1, ",")).is_none());
    assert!(parse_dictionary(&same(4 * most - 1, ",")).is_some(), "one key, whose last value counts");
}

proptest! {
    #[test]
    fn what_is_written_reads_back(text in "[ a-z0-9*;=,.()\"?:@%\\\\-]{0,24}") {
        if let Some(list) = parse_list(&text) {
            prop_assert_eq!(parse_list(&write_list(&list)), Some(list));
        }
        if let Some(dictionary) = parse_dictionary(&text) {
            prop_assert_eq!(parse_dictionary(&write_dictionary(&dictionary)), Some(dictionary));
        }
    }
}

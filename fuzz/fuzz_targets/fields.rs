//! Header fields: no panic; what is written is read again.
#![no_main]
use libfuzzer_sys::fuzz_target;
use micadyke_http::fields::{IfMatch, Link, LoadReport, prefer_wait};
use micadyke_http::structured::{parse_dictionary, write_dictionary};

fuzz_target!(|text: &str| {
    let _ = (IfMatch::parse(text), prefer_wait(text));
    for link in Link::parse(text, 8) {
        let _ = Link::parse(&link.encode(), 8);
    }
    if let Some(d) = parse_dictionary(text) {
        assert_eq!(parse_dictionary(&write_dictionary(&d)), Some(d));
    }
    if let Some(report) = LoadReport::parse(text) {
        assert!(report.0.iter().all(|(_, v)| v.is_finite()));
    }
});

//! Hints: no panic; what is kept is written and read again.
#![no_main]
use libfuzzer_sys::fuzz_target;
use micadyke_cmcd::{Cmcd, Cmsd};
use micadyke_http::Headers;

fuzz_target!(|text: &str| {
    let told = Cmcd::parse(text);
    let again = Cmcd::parse(&told.encode());
    assert_eq!(again.encode(), told.encode());
    let _ = (Cmcd::reports(text.as_bytes()), Cmcd::of(&Headers::default(), text));
    let mut headers = Headers::default();
    headers.add("cmsd-dynamic", text);
    headers.add("cmsd-static", text);
    let _ = Cmsd::of(&headers).fields();
});

//! Responses and event streams: no panic, nothing beyond the bounds.
#![no_main]
use libfuzzer_sys::fuzz_target;
use micadyke_http::{Limits, ResponseParser, sse};

fuzz_target!(|data: &[u8]| {
    let Some((first, rest)) = data.split_first() else { return };
    let limits = Limits { body: 4096, ..Limits::default() };
    let mut parser = ResponseParser::new(limits);
    parser.expect(first & 1 > 0, first & 2 > 0);
    let (mut events, mut out) = (sse::Parser::new(512), Vec::new());
    for part in rest.chunks(usize::from(first >> 2) + 1) {
        parser.feed(part);
        while let Ok(Some(r)) = parser.poll() {
            assert!(r.body.len() <= limits.body);
        }
        if first & 2 > 0 && let Ok((bytes, _)) = parser.stream() {
            let _ = events.feed(&bytes, &mut out);
        }
    }
    let _ = parser.close();
    let _ = sse::Parser::new(512).feed(rest, &mut out);
    assert!(out.iter().all(|e| e.data.len() <= 2048));
});

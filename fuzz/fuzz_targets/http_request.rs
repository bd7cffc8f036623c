//! Requests: the same reading however the bytes are cut, and no panic.
#![no_main]
use libfuzzer_sys::fuzz_target;
use micadyke_http::{Fault, Limits, Request, RequestParser};

fn read(bytes: &[u8], cut: usize) -> (Vec<Request>, Option<Fault>) {
    let (mut parser, mut all) = (RequestParser::new(Limits::default()), Vec::new());
    for part in bytes.chunks(cut) {
        parser.feed(part);
        loop {
            match parser.poll() {
                Ok(Some(r)) => all.push(r),
                Ok(None) => break,
                Err(f) => return (all, Some(f)),
            }
        }
    }
    (all, None)
}

fuzz_target!(|data: &[u8]| {
    let whole = read(data, data.len().max(1));
    let bits = read(data, 1);
    assert_eq!(whole.0, bits.0);
    assert_eq!(whole.1.is_some(), bits.1.is_some());
});

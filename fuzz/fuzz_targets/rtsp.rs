#![no_main]
//! RTSP messages: no panic, bounds kept, any split reads the same.

use libfuzzer_sys::fuzz_target;
use micadyke_rtsp::{LONGEST, Message, Parser};

fn read(parts: &[&[u8]]) -> (Vec<Message>, bool) {
    let (mut parser, mut messages, mut failed) = (Parser::default(), Vec::new(), false);
    for part in parts {
        parser.feed(part);
        loop {
            match parser.poll() {
                Ok(Some(m)) => messages.push(m),
                Ok(None) => break,
                Err(_) => {
                    failed = true;
                    break;
                }
            }
        }
    }
    (messages, failed)
}

fuzz_target!(|bytes: &[u8]| {
    let (whole, _) = read(&[bytes]);
    let (a, b) = bytes.split_at(bytes.len() / 3);
    assert_eq!(whole, read(&[a, b]).0);
    assert!(whole.iter().all(|m| m.body.len() <= LONGEST));
    for m in whole {
        let _ = (m.session_id(), m.sequence_number(), m.encode());
    }
});

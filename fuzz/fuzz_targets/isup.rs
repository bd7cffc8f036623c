#![no_main]
//! The platform's binary messages: what is read can be written and read again; any split reads the same.

use libfuzzer_sys::fuzz_target;
use micadyke_isup::{Frame, LONGEST, Parser};

fn read(parts: &[&[u8]]) -> Vec<Frame> {
    let (mut parser, mut frames) = (Parser::default(), Vec::new());
    for part in parts {
        parser.feed(part);
        while let Ok(Some(frame)) = parser.poll() {
            frames.push(frame);
        }
        assert!(parser.pending() < LONGEST);
    }
    frames
}

fuzz_target!(|bytes: &[u8]| {
    let whole = read(&[bytes]);
    let (a, b) = bytes.split_at(bytes.len() / 3);
    assert_eq!(whole, read(&[a, b]));
    for frame in whole {
        if let Frame::Message(m) = &frame {
            assert_eq!(read(&[&m.encode().expect("what was read fits")]), [frame]);
        }
    }
});

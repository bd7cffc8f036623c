//! Tests of the binary messages by tables and properties.

use micadyke_isup::{Fault, Frame, MAX_MESSAGE_BYTES, MAX_PARAMETERS, Message, Parser, code, kind};
use proptest::prelude::*;

fn read(bytes: &[u8]) -> (Vec<Frame>, Result<(), Fault>) {
    let (mut parser, mut frames) = (Parser::default(), Vec::new());
    parser.feed(bytes);
    loop {
        match parser.poll() {
            Ok(Some(frame)) => frames.push(frame),
            Ok(None) => return (frames, Ok(())),
            Err(fault) => return (frames, Err(fault)),
        }
    }
}

#[test]
fn known_messages_are_encoded_and_read() {
    // A test, cause 0: length 13, type 52, session, parameter 75 of one byte.
    let test = [0, 13, 52, 0, 0, 0, 0, 0, 0, 0, 7, 75, 0, 1, 0];
    let message = Message::new(kind::TEST, 7).with_cause(0);
    assert_eq!(message.encode().unwrap(), test);
    assert_eq!(read(&test), (vec![Frame::Message(message)], Ok(())));
    let set_up = Message::new(kind::SETUP, 0x9b1f_03aa_5c7e_2d41)
        .with(code::CLASS, "paid")
        .with(code::DESCRIPTION, [0u8, 255, 13, 10]);
    let bytes = set_up.encode().unwrap();
    assert_eq!(&bytes[..12], [0, 23, 1, 0x9b, 0x1f, 0x03, 0xaa, 0x5c, 0x7e, 0x2d, 0x41, 33]);
    assert_eq!((set_up.text(code::CLASS), set_up.cause_value()), (Some("paid"), None));
    assert_eq!(read(&bytes).0, [Frame::Message(set_up)]);
}

#[test]
fn invalid_lengths_are_refused() {
    // The bytes, the frames read, and the result.
    let unreadable = |reason| vec![Frame::Invalid { kind: 1, session: 5, reason }];
    let head = |size: u16| [&size.to_be_bytes()[..], &[1, 0, 0, 0, 0, 0, 0, 0, 5]].concat();
    type Row = (Vec<u8>, Vec<Frame>, Result<(), Fault>);
    let table: [Row; 8] = [
        (vec![0, 0], vec![], Err(Fault::TooShort)),
        (vec![0, 8], vec![], Err(Fault::TooShort)),
        (vec![0xff, 0xff], vec![], Err(Fault::TooLong)),
        (((MAX_MESSAGE_BYTES - 1) as u16).to_be_bytes().to_vec(), vec![], Err(Fault::TooLong)),
        (((MAX_MESSAGE_BYTES - 2) as u16).to_be_bytes().to_vec(), vec![], Ok(())),
        ([head(11), vec![33, 0]].concat(), unreadable("a parameter is cut off"), Ok(())),
        ([head(12), vec![33, 0, 1]].concat(), unreadable("a parameter is longer than its message"), Ok(())),
        ([head(15), vec![33, 0, 0, 33, 0, 0]].concat(), unreadable("a parameter comes twice"), Ok(())),
    ];
    for (bytes, frames, end) in table {
        assert_eq!(read(&bytes), (frames, end), "{bytes:?}");
    }
    // An invalid message affects only itself; an invalid length ends the stream.
    let next = Message::new(kind::TEST, 1).encode().unwrap();
    assert_eq!(read(&[head(11), vec![33, 0], next.clone()].concat()).0.len(), 2);
    let mut parser = Parser::default();
    parser.feed(&[0, 1]);
    assert_eq!(parser.poll(), Err(Fault::TooShort));
    parser.feed(&next);
    assert_eq!((parser.poll(), parser.pending()), (Err(Fault::TooShort), 0));
}

#[test]
fn messages_over_a_limit_are_not_encoded() {
    assert!(
        Message::new(kind::ANSWER, 1)
            .with(code::DESCRIPTION, vec![0; MAX_MESSAGE_BYTES - 14])
            .encode()
            .is_some()
    );
    assert!(
        Message::new(kind::ANSWER, 1)
            .with(code::DESCRIPTION, vec![0; MAX_MESSAGE_BYTES - 13])
            .encode()
            .is_none()
    );
    let many = (0..=MAX_PARAMETERS as u8).fold(Message::new(1, 1), |m, c| m.with(c, [0u8]));
    assert!(many.encode().is_none());
}

fn message() -> impl Strategy<Value = Message> {
    let parameters =
        proptest::collection::btree_map(any::<u8>(), proptest::collection::vec(any::<u8>(), 0..40), 0..8);
    (any::<u8>(), any::<u64>(), parameters).prop_map(|(kind, session, p)| Message {
        kind,
        session,
        parameters: p.into_iter().collect(),
    })
}

proptest! {
    #[test]
    fn reading_does_not_depend_on_how_bytes_are_split(messages in proptest::collection::vec(message(), 1..6), cuts in proptest::collection::vec(1usize..30, 1..60)) {
        let bytes: Vec<u8> = messages.iter().flat_map(|m| m.encode().unwrap()).collect();
        let (mut parser, mut got, mut rest) = (Parser::default(), Vec::new(), bytes.as_slice());
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (now, later) = rest.split_at((*cut).min(rest.len()));
            rest = later;
            parser.feed(now);
            while let Some(frame) = parser.poll().unwrap() {
                got.push(frame);
            }
            prop_assert!(parser.pending() < MAX_MESSAGE_BYTES);
        }
        prop_assert_eq!(got, messages.into_iter().map(Frame::Message).collect::<Vec<_>>());
        prop_assert_eq!(parser.pending(), 0);
    }

    #[test]
    fn arbitrary_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..2000)) {
        let (frames, _) = read(&bytes);
        for frame in frames {
            if let Frame::Message(m) = frame {
                let again = m.encode().expect("what was read fits");
                prop_assert_eq!(read(&again).0, vec![Frame::Message(m)]);
            }
        }
    }
}

//! The log of seats, tokens and messages: no panic; a log that is read and written again says the same.
#![no_main]
use libfuzzer_sys::fuzz_target;
use micadyke_tokens::bearer::{Checker, TokenKey};
use micadyke_tokens::message::{Reply, Request};
use micadyke_tokens::store::{Record, encode, read};

fuzz_target!(|data: &[u8]| {
    let state = read(data);
    let mut bytes = encode(&Record::Epoch(state.epoch));
    state.held.iter().for_each(|(l, k)| bytes.extend(encode(&Record::Held(*l, k.clone()))));
    let again = read(&bytes);
    assert_eq!((again.epoch, again.held, again.damaged_at), (state.epoch, state.held, None));
    let _ = (serde_json::from_slice::<Request>(data), serde_json::from_slice::<Reply>(data));
    let mut checker = Checker::new("front", 5);
    checker.put("k", TokenKey::hmac(&[7; 32], 0, u64::MAX / 2).expect("long enough"));
    let text = String::from_utf8_lossy(data);
    assert!(checker.check(&text, 1_000, "demo", "spot").is_err(), "nobody guesses a signature");
});

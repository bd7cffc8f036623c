//! Settings: no panic, and what is shown is read again.
#![no_main]
use libfuzzer_sys::fuzz_target;
use micadyke_config::{read_config, sexp::read};

fuzz_target!(|text: &str| {
    let _ = read_config(text, "f");
    if let Ok(nodes) = read(text) {
        for n in nodes {
            let again = read(&n.to_string()).expect("what is shown is read");
            assert_eq!(again[0].to_string(), n.to_string());
        }
    }
});

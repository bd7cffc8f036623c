//! Manifests: no panic; what is rewritten is sound.
#![no_main]
use libfuzzer_sys::fuzz_target;
use micadyke_playlist::{Rules, Target, dash, hls};

fuzz_target!(|text: &str| {
    let lead = |t: &Target| match t {
        Target::Here(path) => format!("/session/x{path}"),
        Target::Elsewhere(uri) => uri.clone(),
    };
    let keep = |rates: &[u64]| rates.iter().map(|r| r % 2 == 0).collect();
    let rules = Rules { own: "/media/t/index.m3u8", keep: &keep, lead: &lead };
    if let Ok(read) = hls::rewrite(text, &rules) {
        assert!(hls::rewrite(&read.text, &rules).is_ok());
    }
    if let Ok(read) = dash::rewrite(text, "/session/x/", &rules) {
        assert!(dash::rewrite(&read.text, "/session/x/", &rules).is_ok());
    }
});

//! Descriptions and fragments: no panic; every offer that is taken can be answered; fragments read back.
#![no_main]
use libfuzzer_sys::fuzz_target;
use micadyke_sdp::{Answerer, Fragment, Offer, Use, answer};

fuzz_target!(|text: &str| {
    for used in [Use::Play, Use::Publish] {
        if let Ok(offer) = Offer::parse(text, used) {
            let by = Answerer {
                ufrag: "boxU".into(),
                password: "boxPassword0123456789ab".into(),
                fingerprint: format!("sha-256 {}", ["AB"; 32].join(":")),
                media: std::net::SocketAddr::from(([127, 0, 0, 1], 5004)),
                session: 7,
            };
            offer.answered_by(&answer(&offer, used, &by)).expect("an answer that fits");
        }
    }
    if let Ok(fragment) = Fragment::parse(text) {
        let again = Fragment::parse(&fragment.encode()).expect("what is written is read");
        assert_eq!(fragment.candidates.len(), again.candidates.len());
    }
});

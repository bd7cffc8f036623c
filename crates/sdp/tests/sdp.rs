//! Descriptions, offers, answers and fragments: browsers' shapes, a real WebRTC library, another parser.

use micadyke_sdp::*;
use proptest::prelude::*;
use std::time::Instant;
use str0m::change::SdpAnswer;
use str0m::media::{Direction as Way, MediaKind};
use str0m::{Candidate, Rtc};

const BROWSERS: [(&str, &str, Use); 4] = [
    ("chromium-play", include_str!("../../../fixtures/offers/chromium-play.sdp"), Use::Play),
    ("chromium-publish", include_str!("../../../fixtures/offers/chromium-publish.sdp"), Use::Publish),
    ("firefox-play", include_str!("../../../fixtures/offers/firefox-play.sdp"), Use::Play),
    ("firefox-publish", include_str!("../../../fixtures/offers/firefox-publish.sdp"), Use::Publish),
];

fn by() -> Answerer {
    Answerer {
        ufrag: "boxU".into(),
        password: "boxPassword0123456789ab".into(),
        fingerprint: format!("sha-256 {}", ["AB"; 32].join(":")),
        media: "127.0.0.1:5004".parse().expect("address"),
        session: 77,
    }
}

fn rtc() -> Rtc {
    str0m::crypto::from_feature_flags().install_process_default();
    Rtc::new(Instant::now())
}

#[test]
fn browsers_offers_are_answered() {
    for (name, text, used) in BROWSERS {
        let offer = Offer::parse(text, used).unwrap_or_else(|e| panic!("{name}: {e}"));
        let answer = answer(&offer, used, &by());
        offer.answered_by(&answer).unwrap_or_else(|e| panic!("{name}: {e}"));
        let other = if used == Use::Play { Use::Publish } else { Use::Play };
        assert!(
            matches!(Offer::parse(text, other), Err(OfferError::Unanswerable(_))),
            "{name} the wrong way"
        );
        let theirs = sdp::SessionDescription::unmarshal(&mut std::io::Cursor::new(answer.as_bytes()));
        assert_eq!(theirs.expect("another parser takes it").media_descriptions.len(), 2, "{name}");
    }
}

#[test]
fn a_webrtc_library_takes_the_answers_and_restarts_ice() {
    for (way, used) in [(Way::RecvOnly, Use::Play), (Way::SendOnly, Use::Publish)] {
        let mut rtc = rtc();
        let mut api = rtc.sdp_api();
        api.add_media(MediaKind::Audio, way, None, None, None);
        api.add_media(MediaKind::Video, way, None, None, None);
        let (offer, pending) = api.apply().expect("changes");
        let text = offer.to_sdp_string();
        let ours = Offer::parse(&text, used).expect("a real library's offer");
        let reply = answer(&ours, used, &by());
        let theirs = SdpAnswer::from_sdp_string(&reply).expect("an answer");
        rtc.sdp_api().accept_answer(pending, theirs).expect("accepted");

        let mut api = rtc.sdp_api();
        let fresh = api.ice_restart(true);
        let (again, _) = api.apply().expect("a restart is a change");
        let again = again.to_sdp_string();
        let again = Offer::parse(&again, used).expect("the restart's offer");
        assert_eq!((again.ufrag, again.password), (fresh.ufrag.as_str(), fresh.pass.as_str()));
        assert_ne!(again.ufrag, ours.ufrag);
        let candidate =
            Candidate::host("127.0.0.1:6000".parse().expect("address"), "udp").expect("candidate");
        let line = candidate.to_sdp_string();
        let line = line.trim_start_matches("a=").trim_start_matches("candidate:");
        let fragment = Fragment {
            ufrag: Some(fresh.ufrag.clone()),
            password: Some(fresh.pass.clone()),
            candidates: vec![(Some("0".into()), line.to_owned())],
            end_of_candidates: true,
        };
        assert_eq!(Fragment::parse(&fragment.encode()), Ok(fragment));
    }
}

#[test]
fn what_is_no_offer_is_told_from_what_cannot_be_answered() {
    let good = BROWSERS[0].1;
    let without =
        |part: &str| -> String { good.split_inclusive("\r\n").filter(|l| !l.starts_with(part)).collect() };
    let syntax = ["", "hello", "v=1\r\n", "v=0\r\ns=-\r\no=- 1 1 IN IP4 0\r\n", "v=0\r\no=x\r\ns=-\r\n"];
    for text in syntax {
        assert!(matches!(Offer::parse(text, Use::Play), Err(OfferError::Syntax(_))), "{text:?}");
    }
    let long = format!("{good}{}", "a=x\r\n".repeat(20_000));
    assert!(matches!(Offer::parse(&long, Use::Play), Err(OfferError::Syntax(_))));
    let table = [
        without("a=ice-ufrag"),
        without("a=ice-pwd"),
        without("a=fingerprint"),
        without("a=setup"),
        without("a=rtcp-mux"),
        without("a=group"),
        without("a=mid"),
        good.replace("m=audio 9", "m=audio 0").replace("m=video 9", "m=video 0"),
        good.replace("UDP/TLS/RTP/SAVPF", "RTP/AVP"),
        good.replace("sha-256 4A", "sha-256 4"),
        good.replace("sha-256", "md5"),
        good.replace("a=setup:actpass", "a=setup:holdconn"),
        good.replace("x7Kq", "x7"),
    ];
    for (i, text) in table.iter().enumerate() {
        assert!(matches!(Offer::parse(text, Use::Play), Err(OfferError::Unanswerable(_))), "case {i}");
    }
    let limited = good.replacen("a=mid:1", "b=TIAS:800000\r\na=mid:1", 1);
    assert_eq!(Offer::parse(&limited, Use::Play).expect("sound").bandwidth_kb(), Some(100.0));
}

#[test]
fn fragments() {
    let good = "a=ice-ufrag:EsAw\r\na=ice-pwd:P2uYro0UCOQ4zxjKXaWCBui1\r\nm=audio 9 RTP/AVP 0\r\na=mid:0\r\n\
                a=candidate:1387637174 1 udp 2122260223 192.0.2.1 61764 typ host generation 0\r\n\
                a=end-of-candidates\r\n";
    let f = Fragment::parse(good).expect("the specification's example");
    assert_eq!((f.candidates.len(), f.candidates[0].0.as_deref(), f.end_of_candidates), (1, Some("0"), true));
    for bad in [
        "",
        "nothing",
        "a=ice-ufrag:EsAw\r\n",
        "a=candidate:1 1 udp\r\n",
        "a=ice-pwd:short\r\n",
        "m=audio\r\n",
    ] {
        assert!(Fragment::parse(bad).is_err(), "{bad:?}");
    }
}

proptest! {
    #[test]
    fn no_text_makes_it_panic(text in "([a-z]=[ -~]{0,12}\r?\n|[ -~]{0,9}\n|\u{e9}){0,12}") {
        let _ = (Description::parse(&text), Fragment::parse(&text));
        let head = format!("v=0\r\no=- 1 1 IN IP4 0.0.0.0\r\ns=-\r\nt=0 0\r\n{text}");
        let _ = Offer::parse(&head, Use::Play);
    }

    #[test]
    fn cut_and_changed_offers_never_panic(at in 0usize..4000, with in any::<u8>(), which in 0usize..4) {
        let mut bytes = BROWSERS[which].1.as_bytes().to_vec();
        let n = bytes.len();
        bytes[at % n] = with;
        let text = String::from_utf8_lossy(&bytes);
        if let Ok(offer) = Offer::parse(&text, BROWSERS[which].2) {
            let reply = answer(&offer, BROWSERS[which].2, &by());
            prop_assert!(offer.answered_by(&reply).is_ok());
        }
    }

    #[test]
    fn sections_agree_with_another_parser(kinds in prop::collection::vec("(audio|video) [0-9]{1,4} [A-Z/]{1,8} [0-9]{1,2}", 0..5),
                                          attrs in prop::collection::vec("[a-z]{1,6}(:[ -~]{1,9})?", 0..4)) {
        let mut text = "v=0\r\no=- 1 1 IN IP4 0.0.0.0\r\ns=-\r\nt=0 0\r\n".to_owned();
        for k in &kinds {
            text += &format!("m={k}\r\n");
            attrs.iter().for_each(|a| text += &format!("a={a}\r\n"));
        }
        let ours = Description::parse(&text).expect("well formed");
        if let Ok(theirs) = sdp::SessionDescription::unmarshal(&mut std::io::Cursor::new(text.as_bytes())) {
            prop_assert_eq!(theirs.media_descriptions.len(), ours.media.len());
            for (t, o) in theirs.media_descriptions.iter().zip(&ours.media) {
                prop_assert_eq!(&t.media_name.media, o.kind);
                prop_assert_eq!(t.attributes.len(), o.lines.len());
            }
        }
    }
}

//! The wheel beside a sorted map, entitlements by table.

use jsonwebtoken::{Algorithm, EncodingKey, Header, encode};
use micadyke_tokens::bearer::{Checker, Denied, TokenKey};
use micadyke_tokens::policy::{Lost, Policy, Unreachable, Waited};
use micadyke_tokens::wheel::Wheel;
use proptest::prelude::*;
use serde_json::json;

const MS: u64 = 1_000_000;

proptest! {
    #[test]
    fn the_wheel_agrees_with_a_sorted_map(steps in prop::collection::vec((0u64..100_000_000, 0u64..5_000_000, any::<bool>()), 1..60)) {
        let mut wheel = Wheel::new(0);
        let mut map: Vec<(u64, usize)> = Vec::new();
        let mut now = 0u64;
        for (n, (after, by, far)) in steps.into_iter().enumerate() {
            let at = now + if far { after * 1_000 } else { after } * 1_000;
            wheel.insert(at, n);
            map.push((at.div_ceil(MS), n));
            now += by * if n % 5 == 0 { 100_000 } else { 1_000 };
            if let Some(next) = wheel.next() {
                prop_assert!(map.iter().map(|m| m.0 * MS).min().is_some_and(|m| next <= m.max(now)));
            }
            let mut out = Vec::new();
            wheel.advance(now, &mut out);
            let (mut due, rest): (Vec<_>, Vec<_>) = map.into_iter().partition(|m| m.0 <= now / MS);
            map = rest;
            due.sort_by_key(|d| d.0);
            let mut ours = out.clone();
            let mut theirs: Vec<usize> = due.iter().map(|d| d.1).collect();
            ours.sort_unstable();
            theirs.sort_unstable();
            prop_assert_eq!(ours, theirs);
            prop_assert_eq!(wheel.len(), map.len());
        }
    }
}

const OLD: &[u8] = b"an old secret of thirty-two bytes";
const NEW: &[u8] = b"a new secret of thirty-two bytes!";

fn token(secret: &[u8], kid: Option<&str>, algorithm: Algorithm, claims: serde_json::Value) -> String {
    let header = Header { kid: kid.map(str::to_owned), ..Header::new(algorithm) };
    encode(&header, &claims, &EncodingKey::from_secret(secret)).expect("a token")
}

#[test]
fn entitlements_by_table() {
    let mut checker = Checker::new("front", 5);
    checker.put("old", TokenKey::hmac(OLD, 0, 1_100).expect("long enough"));
    checker.put("new", TokenKey::hmac(NEW, 900, u64::MAX - 10).expect("long enough"));
    assert!(TokenKey::hmac(b"short", 0, 1).is_none());
    let claims = |exp: u64, aud: &str| json!({ "sub": "v", "exp": exp, "aud": aud, "titles": ["demo"], "classes": ["spot"] });
    let good = claims(2_000, "front");
    let hs = Algorithm::HS256;
    let unsigned = {
        // {"alg":"none","kid":"new"} and the claims, without a signature.
        let part = |v: &serde_json::Value| {
            let token = token(NEW, None, hs, v.clone());
            token.split('.').nth(1).expect("claims").to_owned()
        };
        format!("{}.{}.", part(&json!({ "alg": "none", "kid": "new" })), part(&good))
    };
    let table = [
        (token(NEW, Some("new"), hs, good.clone()), 1_000, "demo", "spot", Ok(())),
        (token(OLD, Some("old"), hs, good.clone()), 1_000, "demo", "spot", Ok(())),
        (token(OLD, Some("old"), hs, good.clone()), 1_200, "demo", "spot", Err(Denied::UnknownKey)),
        (token(NEW, Some("new"), hs, good.clone()), 800, "demo", "spot", Err(Denied::UnknownKey)),
        (token(OLD, Some("new"), hs, good.clone()), 1_000, "demo", "spot", Err(Denied::Signature)),
        (token(NEW, None, hs, good.clone()), 1_000, "demo", "spot", Err(Denied::UnknownKey)),
        (token(NEW, Some("other"), hs, good.clone()), 1_000, "demo", "spot", Err(Denied::UnknownKey)),
        (
            token(NEW, Some("new"), Algorithm::HS384, good.clone()),
            1_000,
            "demo",
            "spot",
            Err(Denied::Algorithm),
        ),
        (unsigned, 1_000, "demo", "spot", Err(Denied::Algorithm)),
        (token(NEW, Some("new"), hs, claims(990, "front")), 996, "demo", "spot", Err(Denied::Expired)),
        (token(NEW, Some("new"), hs, claims(990, "front")), 994, "demo", "spot", Ok(())),
        (token(NEW, Some("new"), hs, claims(2_000, "other")), 1_000, "demo", "spot", Err(Denied::Audience)),
        (
            token(NEW, Some("new"), hs, json!({ "exp": 2_000, "titles": ["*"] })),
            1_000,
            "demo",
            "spot",
            Err(Denied::Audience),
        ),
        (
            token(NEW, Some("new"), hs, json!({ "aud": "front", "titles": ["*"] })),
            1_000,
            "demo",
            "spot",
            Err(Denied::Malformed),
        ),
        (
            token(
                NEW,
                Some("new"),
                hs,
                json!({ "aud": "front", "exp": 2_000, "nbf": 1_500, "titles": ["*"] }),
            ),
            1_000,
            "demo",
            "spot",
            Err(Denied::Early),
        ),
        (
            token(NEW, Some("new"), hs, json!({ "aud": "front", "exp": 2_000, "nbf": "x", "titles": ["*"] })),
            1_000,
            "demo",
            "spot",
            Err(Denied::Malformed),
        ),
        (token(NEW, Some("new"), hs, good.clone()), 1_000, "other", "spot", Err(Denied::Entitlement)),
        (token(NEW, Some("new"), hs, good.clone()), 1_000, "demo", "other", Err(Denied::Entitlement)),
        (
            token(NEW, Some("new"), hs, json!({ "aud": "front", "exp": 2_000, "titles": ["*"] })),
            1_000,
            "any",
            "any",
            Ok(()),
        ),
        ("x.y".to_owned(), 1_000, "demo", "spot", Err(Denied::Malformed)),
        ("x".repeat(10_000), 1_000, "demo", "spot", Err(Denied::Malformed)),
    ];
    for (i, (token, now, title, class, due)) in table.into_iter().enumerate() {
        assert_eq!(checker.check(&token, now, title, class).map(drop), due, "case {i}");
    }
    checker.remove("new");
    assert_eq!(
        checker.check(&token(NEW, Some("new"), hs, good), 1_000, "demo", "spot"),
        Err(Denied::UnknownKey)
    );
}

#[test]
fn policies() {
    let refuse = Policy::default();
    let held = Policy { unreachable: Unreachable::UseHeld, lost: Lost::PlayOn };
    assert_eq!(refuse.on_wait(9, 10, true), Waited::Wait);
    assert_eq!(refuse.on_wait(10, 10, true), Waited::Refuse);
    assert_eq!((held.on_wait(10, 10, true), held.on_wait(10, 10, false)), (Waited::UseHeld, Waited::Refuse));
    assert!(refuse.ends_on_loss() && !held.ends_on_loss());
}

//! What is read of players' and servers' hints: by table, by what comes back, and from whatever bytes.

use micadyke_cmcd::client::{Cmcd, Value};
use micadyke_cmcd::keys::{KEYS, Kind};
use micadyke_cmcd::server::{Cmsd, Hop};
use micadyke_http::Headers;
use proptest::prelude::*;

fn headers(all: &[(&str, &str)]) -> Headers {
    let mut headers = Headers::default();
    all.iter().for_each(|(n, v)| headers.add(n, *v));
    headers
}

#[test]
fn what_players_send_by_table() {
    let all = [
        ("cmcd-object", "br=3200,d=4004,ot=v,tb=6000"),
        ("cmcd-request", "bl=21300,dl=18500,mtp=48100,nor=\"..%2Ftesting%2F3.m4v\",nrr=\"12323-48763\",su"),
        ("cmcd-session", "cid=\"faec5fc2-ac30\",pr=1.08,sf=d,sid=\"6e2fb550\",st=v"),
        ("cmcd-status", "bs,rtp=15000"),
    ];
    let told = Cmcd::of(&headers(&all), "/x");
    assert_eq!(told.ignored, 0);
    assert_eq!(
        (told.integer("br"), told.integer("tb"), told.integer("mtp")),
        (Some(3200), Some(6000), Some(48100))
    );
    assert_eq!(
        (told.text("sid"), told.text("ot"), told.flag("bs"), told.flag("su")),
        (Some("6e2fb550"), Some("v"), true, true)
    );
    assert_eq!((told.get("pr"), told.version()), (Some(&Value::Decimal(1080)), 1));
    let wrote: Vec<(&str, String)> = told.fields();
    assert_eq!(
        Cmcd::of(&headers(&wrote.iter().map(|(n, v)| (*n, v.as_str())).collect::<Vec<_>>()), ""),
        told
    );
    let query = format!("/x?a=b&{}&c=d", told.query());
    assert_eq!(Cmcd::of(&Headers::default(), &query), told);
    assert!(told.query().starts_with("CMCD=bl%3D21300%2Cbr%3D3200%2Cbs%2C"), "{}", told.query());
}

#[test]
fn what_is_wrong_is_left_out_and_nothing_else() {
    // Text, keys that count, keys ignored.
    let table: [(&str, &[&str], u32); 14] = [
        ("br=\"3200\",sid=\"a\"", &["sid"], 1),
        ("br=-1,bl=1.5,bs=1,sid=sid,ot=x", &[], 5),
        ("br=3200,br=1600", &["br"], 0),
        ("zz=1,sid=\"a\"", &["sid"], 1),
        ("com.example-key=5,sid=\"a\"", &["sid"], 0),
        ("sid=\"a", &[], 1),
        ("sid=\"a\",,bs", &[], 1),
        ("BR=5", &[], 1),
        ("su=?0,bs=?1", &["bs"], 1),
        ("br=(2000;v 128;a),v=2", &["br", "v"], 0),
        ("br=(),v=2", &["v"], 1),
        ("nor=(\"a\" \"b\")", &["nor"], 0),
        ("e=ps,sta=e,ts=1767225600000,v=2", &["e", "sta", "ts", "v"], 0),
        ("st=ll,sta=zz,v=7", &["st", "v"], 1),
    ];
    for (text, keys, ignored) in table {
        let told = Cmcd::parse(text);
        let there: Vec<&str> = KEYS.iter().map(|k| k.name).filter(|k| told.get(k).is_some()).collect();
        assert_eq!((&there[..], told.ignored), (keys, ignored), "{text}");
    }
    assert_eq!(Cmcd::parse("br=3200,br=1600").integer("br"), Some(1600), "the later one");
    assert_eq!(Cmcd::parse("br=(128;a 2000;v)").integer("br"), Some(2000), "the video's");
    let long = format!("sid=\"a\",cid=\"{}\"", "x".repeat(70));
    assert_eq!((Cmcd::parse(&long).text("cid"), Cmcd::parse(&long).text("sid")), (None, Some("a")));
    let told = Cmcd::parse(&format!("nor=\"{}\"", "x".repeat(64 << 10)));
    assert!(told.is_empty() && told.ignored == 1, "too long: none of it is read");
    let own: Vec<String> = (0..40).map(|n| format!("a-k{n}=1")).collect();
    assert_eq!((Cmcd::parse(&own.join(",")).custom.len(), Cmcd::parse(&own.join(",")).ignored), (16, 24));
    // Two fields of one name are one; fields go before the query.
    let twice = headers(&[("cmcd-session", "sid=\"a\""), ("cmcd-session", "cid=\"t\"")]);
    let told = Cmcd::of(&twice, "/x?CMCD=sid%3D%22q%22");
    assert_eq!((told.text("sid"), told.text("cid")), (Some("a"), Some("t")));
    for target in ["/x?CMCD=%ff", "/x?CMCD=", "/x?XCMCD=su", "/x", "/x?CMCD", "/x?CMCD=%zz"] {
        assert!(Cmcd::of(&Headers::default(), target).is_empty(), "{target}");
    }
    let reports = Cmcd::reports(b"e=ps,sta=p,sid=\"a\"\n\nbroken=\"\n  e=t,bl=500  \n");
    let states: Vec<_> = reports.iter().map(|r| (r.text("sta"), r.integer("bl"), r.ignored)).collect();
    assert_eq!(states, [(Some("p"), None, 0), (None, None, 1), (None, Some(500), 0)]);
    assert!(Cmcd::reports(&[0xff]).is_empty() && Cmcd::reports("su\n".repeat(500).as_bytes()).len() == 64);
}

#[test]
fn what_is_set_must_fit_its_key() {
    let mut told = Cmcd::new();
    assert!(
        !told.set("br", Value::Flag)
            && !told.set("zz", Value::Flag)
            && !told.set("ot", Value::Token("zz".into()))
    );
    assert!(!told.set("sid", Value::Text("x".repeat(65))) && !told.set("sid", Value::Text("\u{e9}".into())));
    assert!(told.is_empty());
    let told = Cmcd::new()
        .with("bl", 1_249)
        .with("v", 1)
        .with_text("ot", "av")
        .with_text("sid", "a\"b")
        .with_flag("bs");
    assert_eq!(told.encode(), "bl=1200,bs,ot=av,sid=\"a\\\"b\"", "rounded, and version 1 is not written");
    assert!(KEYS.windows(2).all(|w| w[0].name < w[1].name), "the table is searched by halves");
}

#[test]
fn what_servers_tell() {
    let all = headers(&[
        ("cmsd-static", "ot=v,sf=h,st=v,d=5000,br=2000,n=\"OriginProviderA\""),
        ("cmsd-dynamic", "\"CDNB-3ak1\";etp=96;rtt=8, \"CDNB-w35k\";etp=76;rtt=32;du;mb=3000"),
        ("cmsd-dynamic", "\"front\";mb=1200"),
    ]);
    let told = Cmsd::of(&all);
    assert_eq!((told.hops.len(), told.max_bitrate(), told.fixed.len()), (3, Some(1200), 6));
    assert_eq!(
        told.hops[1],
        Hop {
            name: "CDNB-w35k".into(),
            throughput: Some(76),
            round_trip: Some(32),
            duress: true,
            max_bitrate: Some(3000),
            delay: None
        }
    );
    let wrote = told.fields();
    let again = headers(&wrote.iter().map(|(n, v)| (*n, v.as_str())).collect::<Vec<_>>());
    assert_eq!(Cmsd::of(&again), told);
    for bad in ["\"a\";mb=", "(", "5;mb=3", "\"a\";mb=-1"] {
        assert_eq!(Cmsd::of(&headers(&[("cmsd-dynamic", bad)])).max_bitrate(), None, "{bad}");
    }
}

#[test]
fn what_cannot_be_written_is_left_out() {
    // Rounded up, it has a digit too many: no reader would take the field.
    let mut told = Cmcd::new().with("bl", 999_999_999_999_999).with("br", 5);
    let custom = [
        ("a-b", Value::Integer(1)),
        ("A-b", Value::Integer(1)),
        ("a-c", Value::Token("x, y".into())),
        ("a-d", Value::Text("\u{e9}".into())),
        ("a-e", Value::Decimal(u64::MAX)),
    ];
    told.custom.extend(custom.map(|(n, v)| (n.to_owned(), v)));
    assert_eq!(told.encode(), "br=5,a-b=1");
    let hop = Hop { name: "b\u{e9}x".into(), max_bitrate: Some(1 << 60), delay: Some(7), ..Hop::default() };
    let told = Cmsd { hops: vec![hop], ..Cmsd::default() };
    assert_eq!(told.fields(), [("cmsd-dynamic", "\"bx\";rd=7".to_owned())]);
}

fn told() -> impl Strategy<Value = Cmcd> {
    let one = (
        0..KEYS.len(),
        0u64..1_000_000,
        "[ -~]{0,60}",
        prop::collection::vec((0u64..99_999, 0usize..4), 1..4),
    );
    prop::collection::vec(one, 0..12).prop_map(|all| {
        let mut told = Cmcd::new();
        for (i, n, text, list) in all {
            let key = &KEYS[i];
            let value = match key.kind {
                Kind::Integer if n % 3 == 0 => {
                    let objects = [None, Some("v"), Some("a"), Some("av")];
                    let one = |(n, o): (u64, usize)| (n * key.grain, objects[o].map(str::to_owned));
                    Value::Integers(list.into_iter().map(one).collect())
                }
                Kind::Integer => Value::Integer(n * key.grain),
                Kind::Decimal => Value::Decimal(n),
                Kind::Text(_) if n % 3 == 0 => Value::Texts(vec![text.clone(), text]),
                Kind::Text(_) => Value::Text(text),
                Kind::Token(known) => Value::Token(known[n as usize % known.len()].into()),
                Kind::Flag => Value::Flag,
            };
            // What is usual is not written.
            let usual = (key.name == "v" && value == Value::Integer(1))
                || (key.name == "pr" && value == Value::Decimal(1000));
            assert!(usual || told.set(key.name, value));
        }
        told
    })
}

proptest! {
    #[test]
    fn what_is_written_reads_back(told in told()) {
        prop_assert_eq!(&Cmcd::parse(&told.encode()), &told);
        prop_assert_eq!(&Cmcd::of(&Headers::default(), &format!("/a?{}", told.query())), &told);
        let fields = told.fields();
        let all: Vec<(&str, &str)> = fields.iter().map(|(n, v)| (*n, v.as_str())).collect();
        prop_assert_eq!(&Cmcd::of(&headers(&all), "/a"), &told);
    }

    #[test]
    fn whatever_comes_is_read_without_harm(text in "[ -~]{0,200}", near in "[a-z]{1,3}(=[0-9a-z\"();.-]{0,8})?(,[a-z]{1,3}(=[0-9a-z\"();.-]{0,8})?){0,6}") {
        for t in [text, near] {
            let read = Cmcd::parse(&t);
            prop_assert_eq!(&Cmcd::parse(&t), &read);
            // What was kept is sound: it goes out and comes back, but for the grain.
            prop_assert_eq!(Cmcd::parse(&read.encode()).encode(), read.encode());
            let _ = Cmsd::of(&headers(&[("cmsd-dynamic", &t), ("cmsd-static", &t)])).fields();
        }
    }
}

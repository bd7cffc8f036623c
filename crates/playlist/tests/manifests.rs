//! Manifests read and rewritten: by table, by property, and from whatever bytes.

use micadyke_playlist::reference::{Target, resolve};
use micadyke_playlist::{Fault, MAX_RENDITIONS, Rewritten, Rules, dash, hls};
use proptest::prelude::*;

fn lead(target: &Target) -> String {
    match target {
        Target::Here(path) => match path.strip_prefix("/media/t/") {
            Some(rest) => format!("/session/x/{rest}"),
            None => format!("http://box{path}"),
        },
        Target::Elsewhere(uri) => uri.clone(),
    }
}

fn under(top: u64) -> impl Fn(&[u64]) -> Vec<bool> {
    move |all| all.iter().map(|r| *r <= top).collect()
}

fn playlist(text: &str, top: u64) -> Result<Rewritten, Fault> {
    hls::rewrite(text, &Rules { own: "/media/t/index.m3u8", keep: &under(top), lead: &lead })
}

fn manifest(text: &str, top: u64) -> Result<Rewritten, Fault> {
    dash::rewrite(text, "/session/x/", &Rules { own: "/media/t/a.mpd", keep: &under(top), lead: &lead })
}

const VARIANTS: &str = "#EXTM3U\n#EXT-X-VERSION:7\n#EXT-X-INDEPENDENT-SEGMENTS\n\
    #EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"a\",NAME=\"A, or B\",URI=\"a/index.m3u8\"\n\
    #EXT-X-STREAM-INF:BANDWIDTH=800000,CODECS=\"avc1.4d401f,mp4a.40.2\",AUDIO=\"a\"\n0/index.m3u8\n\
    #EXT-X-STREAM-INF:BANDWIDTH=2400000,AUDIO=\"a\"\n# a remark\n../t/1/index.m3u8?x=1\n\
    #EXT-X-STREAM-INF:BANDWIDTH=7000000\n\n//cdn.example/2.m3u8\n\
    #EXT-X-I-FRAME-STREAM-INF:BANDWIDTH=9000000,URI=\"i.m3u8\"\n";

#[test]
fn renditions_are_cut_and_references_led_anew() {
    let all = playlist(VARIANTS, u64::MAX).expect("sound");
    assert_eq!((&all.offered[..], all.live), (&[800_000, 2_400_000, 7_000_000, 9_000_000][..], false));
    for line in
        ["/session/x/0/index.m3u8", "/session/x/1/index.m3u8?x=1", "//cdn.example/2.m3u8", "# a remark"]
    {
        assert!(all.text.lines().any(|l| l == line), "{line} in\n{}", all.text);
    }
    assert!(all.text.contains("NAME=\"A, or B\",URI=\"/session/x/a/index.m3u8\""));
    let some = playlist(VARIANTS, 2_400_000).expect("sound");
    assert_eq!(some.kept, [true, true, false, false]);
    assert!(
        !some.text.contains("cdn.example") && !some.text.contains("7000000") && !some.text.contains("i.m3u8")
    );
    let none = playlist(VARIANTS, 1).expect("sound");
    assert_eq!(none.kept, [true, false, false, false], "one at least");
}

#[test]
fn media_playlists_lead_on() {
    let text = "#EXTM3U\n#EXT-X-TARGETDURATION:4\n#EXT-X-MAP:URI=\"init.mp4\",BYTERANGE=\"720@0\"\n\
                #EXT-X-KEY:METHOD=AES-128,URI=\"https://keys.example/1\",IV=0x12\n#EXTINF:4.0,\nseg1.m4s\n#EXTINF:4,x\n/else/2.m4s\n";
    let read = playlist(text, 0).expect("sound");
    assert!(read.live && read.offered.is_empty());
    for part in [
        "URI=\"/session/x/init.mp4\",BYTERANGE=\"720@0\"",
        "https://keys.example/1",
        "\n/session/x/seg1.m4s\n",
        "\nhttp://box/else/2.m4s\n",
    ] {
        assert!(read.text.contains(part), "{part} in\n{}", read.text);
    }
    assert!(!playlist(&format!("{text}#EXT-X-ENDLIST\r\n"), 0).expect("sound").live);
}

#[test]
fn playlists_that_are_refused() {
    let many = |n: usize| "#EXTM3U\n".to_owned() + &"#EXT-X-STREAM-INF:BANDWIDTH=1\nx.m3u8\n".repeat(n);
    assert!(playlist(&many(MAX_RENDITIONS), 0).is_ok());
    let long = format!("#EXTM3U\n{}", "x".repeat(20_000));
    let table: [(&str, usize, &str); 16] = [
        ("", 1, "begins"),
        ("hello\n", 1, "begins"),
        (&many(5_000), 1026, "too many renditions"),
        (&long, 2, "too long"),
        ("#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1\n", 2, "without its reference"),
        (
            "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1\n#EXT-X-STREAM-INF:BANDWIDTH=2\na\n",
            3,
            "without its reference",
        ),
        ("#EXTM3U\n#EXT-X-STREAM-INF:CODECS=\"a\"\na\n", 2, "BANDWIDTH"),
        ("#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=0\na\n", 2, "BANDWIDTH"),
        ("#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH\na\n", 2, "without a value"),
        ("#EXTM3U\n#EXT-X-MAP:URI=\"a\n", 2, "no end"),
        ("#EXTM3U\n#EXT-X-MAP:URI=\"a\"b\n", 2, "comma"),
        ("#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1\nindex.m3u8\n", 3, "itself"),
        ("#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1\n./a/../index.m3u8?b\n", 3, "itself"),
        ("#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1\na.m3u8\n#EXTINF:4,\nb\n", 1, "renditions and media"),
        ("#EXTM3U\n#EXT-X-DEFINE:NAME=\"a\",VALUE=\"b\"\n", 2, "variables"),
        ("#EXTM3U\n#EXTINF:4,\na b\u{1}.m4s\n", 3, "control"),
    ];
    for (text, line, what) in table {
        let fault = playlist(text, 0).expect_err(&text[..text.len().min(60)]);
        assert!(
            fault.line == line && fault.what.contains(what),
            "{fault} for {:?}",
            &text[..text.len().min(60)]
        );
    }
}

const MPD: &str = "<?xml version=\"1.0\"?>\n<!-- <Representation> -->\n<MPD xmlns=\"urn:mpeg:dash:schema:mpd:2011\" type=\"static\">\
    <Period><AdaptationSet mimeType='video/mp4'><SegmentTemplate media=\"$RepresentationID$/$Number$.m4s\" initialization=\"/media/t/init.mp4\"/>\
    <Representation id=\"0\" bandwidth=\"800000\"/><Representation id=\"1\" bandwidth=\"2400000\"><BaseURL>/media/t/one/</BaseURL></Representation>\
    </AdaptationSet><AdaptationSet contentType=\"audio\"><Representation id=\"a\" bandwidth=\"128000\"></Representation></AdaptationSet></Period></MPD>\n";

#[test]
fn manifests_are_cut_and_led_anew() {
    let all = manifest(MPD, u64::MAX).expect("sound");
    assert_eq!((&all.offered[..], all.live), (&[800_000, 2_400_000, 128_000][..], false));
    for part in [
        "<BaseURL>/session/x/</BaseURL><Period>",
        "initialization=\"/session/x/init.mp4\"",
        "<BaseURL>/session/x/one/</BaseURL>",
        "$RepresentationID$/$Number$.m4s",
    ] {
        assert!(all.text.contains(part), "{part} in\n{}", all.text);
    }
    let some = manifest(MPD, 800_000).expect("sound");
    assert_eq!(some.kept, [true, false, true]);
    assert!(!some.text.contains("2400000") && !some.text.contains("/one/") && some.text.contains("id=\"a\""));
    assert_eq!(manifest(MPD, 1).expect("sound").kept, [true, false, true], "one at least, and sound");
    let based = MPD
        .replace("<Period>", "<BaseURL>x/y&amp;z/</BaseURL><Location>http://a.example/m</Location><Period>")
        .replace("static", "dynamic");
    let read = manifest(&based, 0).expect("sound");
    assert!(
        read.live
            && read
                .text
                .contains("<BaseURL>/session/x/x/y&amp;z/</BaseURL><Location>http://a.example/m</Location>"),
        "{}",
        read.text
    );
    let many = MPD.replace(
        "<Representation id=\"0\" bandwidth=\"800000\"/>",
        &"<Representation bandwidth=\"1\"/>".repeat(5_000),
    );
    let deep = format!("<MPD>{}", "<a>".repeat(100));
    let long = format!("<MPD><a b='{}'/></MPD>", "x".repeat(16 << 10));
    let wide = format!("<MPD><a {}/></MPD>", (0..65).map(|i| format!("b{i}='' ")).collect::<String>());
    let amps = format!("<MPD>{}</MPD>", "&".repeat(300_000));
    let table: [(&str, &str); 36] = [
        (&amps, "too many parts"),
        (&long, "tag is too long"),
        (&wide, "too many attributes"),
        ("<MPD><a$/></MPD>", "no sound name"),
        ("<MPD>< a/></MPD>", "no sound name"),
        ("<MPD><a b$=''/></MPD>", "attribute is malformed"),
        ("<MPD><a b='1'c='2'/></MPD>", "attribute is malformed"),
        ("<MPD><a b='<'/></MPD>", "holds a '<'"),
        ("<MPD><a b/></MPD>", "attribute is malformed"),
        ("<MPD></MPD b=''>", "does not fit"),
        ("<MPD><!-- ->", "a comment has no end"),
        ("<MPD><![CDATA[ ]>", "character data have no end"),
        ("<MPD><?x ", "an instruction has no end"),
        ("<MPD><a b='", "a tag is malformed"),
        ("<!doctype MPD><MPD/>", "document types"),
        // What was taken when tags were read by hand: not XML, or a reference that some readers would find.
        ("<MPD><?></MPD>", "an instruction has no end"),
        ("<MPD><a\u{c}b=''/></MPD>", "no sound name"),
        ("<MPD><SegmentTemplate media='x' media='/y'/></MPD>", "there twice"),
        ("<MPD><SegmentTemplate media='/x?a=1&b=2'/></MPD>", "reference is malformed"),
        ("<MPD><SegmentTemplate media='&foo;x'/></MPD>", "reference is malformed"),
        ("<MPD><BaseURL>x?a&b</BaseURL></MPD>", "reference is malformed"),
        ("<MPD><Period><BaseURL>&foo;x</BaseURL></Period></MPD>", "reference is malformed"),
        ("<MPD><Period><BaseURL><![CDATA[/x]]></BaseURL></Period></MPD>", "reference is malformed"),
        ("<MPD><Period><BaseURL><!-- -->/x</BaseURL></Period></MPD>", "reference is malformed"),
        ("<MPD><Period><BaseURL><b/></BaseURL></Period></MPD>", "reference is malformed"),
        ("<MPD/><a/>", "one MPD"),
        ("", "too soon"),
        ("<MPD>", "too soon"),
        ("<a></a>", "one MPD"),
        ("<MPD></mpd>", "does not fit"),
        ("<!DOCTYPE MPD [<!ENTITY a \"b\">]><MPD></MPD>", "document types"),
        ("<MPD><Representation/></MPD>", "bandwidth"),
        ("<MPD a=b></MPD>", "attribute is malformed"),
        ("<MPD><Period xlink:href=\"a.mpd\"/></MPD>", "elsewhere"),
        (&many, "too many renditions"),
        (&deep, "too deep"),
    ];
    for (text, what) in table {
        let fault = manifest(text, 0).expect_err(&text[..text.len().min(60)]);
        assert!(fault.what.contains(what), "{fault} for {:?}", &text[..text.len().min(60)]);
    }
}

#[test]
fn what_is_not_understood_passes_byte_for_byte() {
    let (begin, end) = ("\u{feff}<?xml version='1.0'?>\r\n <MPD  x:a = '>' >", "</MPD >\n<!-- & -->");
    let passes = [
        "<a b=\"/>\" c='\"'\t/>\r\n",
        "a & b &amp; &foo; > ]]> '\u{0}",
        "<x:a></x:a >",
        "<\u{e9} \u{e9}='&'/>",
        "<!-- -- <Representation> --->",
        "<!---->",
        "<![CDATA[<BaseURL>/x</BaseURL>]]>",
        "<?x <a> ?>",
        "<Period><BaseURL> x/ </BaseURL></Period>",
        "<SegmentTemplate media=''/>",
        "<a media='/x'/>",
    ];
    for part in passes {
        let read = manifest(&format!("{begin}{part}{end}"), 0).expect(part);
        assert_eq!(read.text, format!("{begin}<BaseURL>/session/x/</BaseURL>{part}{end}"));
    }
    // References are led however they are written; of two of one local name both.
    let led = [
        ("<SegmentTemplate media='&#47;media/t/x'/>", "<SegmentTemplate media='/session/x/x'/>"),
        ("<Location>&#x2f;b</Location>", "<Location>http://box/b</Location>"),
        (
            "<SegmentURL q:media='/a' media='/b?c&amp;d'/>",
            "<SegmentURL q:media='http://box/a' media='http://box/b?c&amp;d'/>",
        ),
    ];
    for (part, to) in led {
        let read = manifest(&format!("<MPD>{part}</MPD>"), 0).expect(part);
        assert_eq!(read.text, format!("<MPD><BaseURL>/session/x/</BaseURL>{to}</MPD>"));
    }
    let own = "<MPD q:type='static' type='dynamic'><Representation q:bandwidth='1' bandwidth='2'/></MPD>";
    let read = manifest(own, 0).expect("sound");
    assert_eq!((read.live, read.offered), (true, vec![2]), "an element's own attributes count");
    let fault = manifest("<MPD>\n\n<a>\n</b></MPD>", 0).expect_err("closed by another");
    assert_eq!(fault.line, 4);
}

#[test]
fn references_by_table() {
    // RFC 3986 section 5.4, against /b/c/d;p.
    let table = [
        ("g", "/b/c/g"),
        ("./g", "/b/c/g"),
        ("g/", "/b/c/g/"),
        ("/g", "/g"),
        ("?y", "/b/c/d;p?y"),
        ("g?y", "/b/c/g?y"),
        ("g#s", "/b/c/g"),
        (";x", "/b/c/;x"),
        (".", "/b/c/"),
        ("..", "/b/"),
        ("../g", "/b/g"),
        ("../..", "/"),
        ("../../../g", "/g"),
        ("/../g", "/g"),
        ("g.", "/b/c/g."),
        ("..g", "/b/c/..g"),
        ("./../g", "/b/g"),
        ("g/./h", "/b/c/g/h"),
        ("g;x=1/../y", "/b/c/y"),
        ("g?y/../x", "/b/c/g?y/../x"),
    ];
    for (reference, to) in table {
        assert_eq!(resolve("/b/c/d;p?q", reference), Some(Target::Here(to.into())), "{reference}");
    }
    for reference in ["g:h", "//g", "http://a/b", "data:,x"] {
        assert_eq!(resolve("/a", reference), Some(Target::Elsewhere(reference.into())));
    }
    for reference in ["", "a b", "a\"b", "a\\b", "\u{e9}"] {
        assert_eq!(resolve("/a", reference), None, "{reference}");
    }
}

proptest! {
    #[test]
    fn what_is_rewritten_is_sound_and_the_same_again(
        rates in prop::collection::vec(1u64..10_000_000, 1..20), top in 0u64..10_000_000, remark in "[ -~]{0,30}",
    ) {
        let mut text = format!("#EXTM3U\n# {remark}\n");
        let mut mpd = String::from("<MPD><Period><AdaptationSet mimeType=\"video/mp4\">");
        for (i, r) in rates.iter().enumerate() {
            text += &format!("#EXT-X-STREAM-INF:BANDWIDTH={r},NAME=\"{i}\"\n{i}/v.m3u8\n");
            mpd += &format!("<Representation id=\"{i}\" bandwidth=\"{r}\"/>");
        }
        mpd += "</AdaptationSet></Period></MPD>";
        for (text, rewrite) in [(text, playlist as fn(&str, u64) -> Result<Rewritten, Fault>), (mpd, manifest as fn(&str, u64) -> _)] {
            let read = rewrite(&text, top).expect("sound");
            let fits = rates.iter().filter(|r| **r <= top).count().max(1);
            prop_assert_eq!(read.kept.iter().filter(|k| **k).count(), fits);
            let again = rewrite(&read.text, u64::MAX).expect("sound");
            let left: Vec<u64> = read.offered.iter().zip(&read.kept).filter(|o| *o.1).map(|o| *o.0).collect();
            prop_assert_eq!(again.offered, left);
        }
    }

    #[test]
    fn whatever_comes_is_read_without_harm(
        text in "(#EXTM3U\n)?((#EXT-X-(STREAM-INF|MAP|KEY|MEDIA)(:[A-Z=,\"a-z0-9]{0,20})?|[ -~]{0,20})\n){0,8}",
        xml in "(<MPD>)?(<(/|!|\\?|!--|!\\[CDATA\\[)?[a-zA-Z:]{0,9}( [a-z]{1,3}=[\"'<a-z]{0,4}){0,2}/?>?|[ -~é]{0,5}){0,12}",
    ) {
        if let Ok(read) = playlist(&text, 500) {
            prop_assert!(playlist(&read.text, u64::MAX).is_ok(), "{} became {}", text, read.text);
        }
        if let Ok(read) = manifest(&xml, 500) {
            prop_assert!(manifest(&read.text, u64::MAX).is_ok(), "{} became {}", xml, read.text);
        }
    }
}

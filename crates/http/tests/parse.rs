//! The HTTP parsers: tables of difficult input, independence from how the bytes are split, and comparison with `httparse`.

use micadyke_http::fields::{IfMatch, Link, LoadReport, prefer_wait};
use micadyke_http::sse::{Event, Parser};
use micadyke_http::*;
use proptest::prelude::*;

fn read(bytes: &[u8], cut: usize) -> Result<Vec<Request>, Fault> {
    let mut parser = RequestParser::new(Limits::default());
    let mut all = Vec::new();
    for part in bytes.chunks(cut.max(1)) {
        parser.feed(part);
        while let Some(r) = parser.poll()? {
            all.push(r);
        }
    }
    Ok(all)
}

#[test]
fn refusals_by_status() {
    let long = |n: usize| "x".repeat(n);
    let table: Vec<(String, u16)> = vec![
        ("GET / HTTP/1.1\nhost: a\n\n".into(), 400),
        ("GET / HTTP/1.1\r\nhost: a\nx: y\r\n\r\n".into(), 400),
        ("GET / HTTP/1.1\r\nhost: a\r\nx: y\r\n z\r\n\r\n".into(), 400),
        ("GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n".into(), 400),
        ("GET / HTTP/1.1\r\n\r\n".into(), 400),
        ("GET / HTTP/1.1\r\nhost : a\r\n\r\n".into(), 400),
        ("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n".into(), 400),
        ("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 1\r\n\r\n".into(), 400),
        ("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: +1\r\n\r\n".into(), 400),
        ("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1, 1\r\n\r\n".into(), 400),
        ("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999\r\n\r\n".into(), 413),
        ("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999999999999\r\n\r\n".into(), 400),
        ("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip\r\n\r\n".into(), 501),
        ("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nfffffffff\r\n".into(), 413),
        ("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1\nx".into(), 400),
        ("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1\r\nxy\r\n".into(), 400),
        ("POST / HTTP/1.1\r\nhost: a\r\nexpect: miracles\r\n\r\n".into(), 417),
        ("GET / HTTP/2.0\r\nhost: a\r\n\r\n".into(), 505),
        ("GET http://a/ HTTP/1.1\r\nhost: a\r\n\r\n".into(), 400),
        ("GET /a b HTTP/1.1\r\nhost: a\r\n\r\n".into(), 400),
        (format!("GET /{} HTTP/1.1\r\n", long(5000)), 414),
        (format!("GET / HTTP/1.1\r\nhost: a\r\nx: {}", long(1 << 20)), 431),
        (format!("GET / HTTP/1.1\r\nhost: a\r\n{}\r\n", "x: y\r\n".repeat(70)), 431),
        ("\r\n\r\n\r\n\r\n\r\n\r\nGET / HTTP/1.1\r\n".into(), 400),
        ("\u{0}\u{1}\r\n\r\n".into(), 400),
        (
            format!(
                "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n0\r\n{}\r\n",
                "t: v\r\n".repeat(65)
            ),
            431,
        ),
    ];
    for (text, status) in table {
        for cut in [1, 7, 1 << 21] {
            let shown = &text[..text.len().min(60)];
            assert_eq!(read(text.as_bytes(), cut).map_err(|f| f.status), Err(status), "{shown:?} cut {cut}");
        }
    }
}

#[test]
fn pipelined_and_chunked_requests_come_whole_and_in_order() {
    let text = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\n\
                t: v\r\n\r\n\r\nDELETE /b HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    for cut in 1..text.len() {
        let all = read(text.as_bytes(), cut).expect("well formed");
        assert_eq!(all.len(), 2);
        assert_eq!(
            (all[0].method, all[0].body.as_slice(), all[0].keep_alive),
            (Method::Post, &b"abcde"[..], true)
        );
        assert_eq!((all[1].method, all[1].path(), all[1].keep_alive), (Method::Delete, "/b", false));
    }
}

#[test]
fn answers_are_framed_by_length_chunks_and_close() {
    let mut p = ResponseParser::new(Limits::default());
    p.feed(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\ncontent-length: 2\r\n\r\nok");
    let r = p.poll().expect("sound").expect("whole");
    assert_eq!((r.status, r.body.as_slice(), r.keep_alive), (201, &b"ok"[..], true));
    p.feed(b"HTTP/1.1 200 OK\r\n\r\npart");
    assert_eq!(p.poll(), Ok(None));
    assert_eq!(p.close().expect("ends with the connection").body, b"part");
    let mut p = ResponseParser::new(Limits::default());
    p.feed(b"HTTP/1.1 201 Created\r\ncontent-length: 1073741824\r\n\r\n");
    assert_eq!(p.poll().map_err(|f| f.status), Err(413));
    let mut p = ResponseParser::new(Limits::default());
    p.feed(b"HTTP/1.1 201 Created\r\ncontent-length: 10\r\n\r\nhalf");
    assert_eq!((p.poll(), p.close()), (Ok(None), None));
}

#[test]
fn published_fields() {
    let links = Link::parse(r#"</a>; rel="urn:x y"; events="a,b", <stun:s>;rel=ice-server; q="a\"b""#, 8);
    assert_eq!((links.len(), links[0].is("y"), links[0].param("events")), (2, true, Some("a,b")));
    assert_eq!((links[1].is("ice-server"), links[1].param("q")), (true, Some("a\"b")));
    assert_eq!(Link::parse(&links[1].encode(), 8)[0], links[1]);
    assert!(IfMatch::parse("\"a\", W/\"b\"").expect("list").holds("\"a\""));
    assert!(!IfMatch::parse("\"a\", W/\"b\"").expect("list").holds("\"b\""));
    assert!(IfMatch::parse("*").expect("any").holds("x"));
    assert_eq!(IfMatch::parse("a"), None);
    assert_eq!((prefer_wait("respond-async, wait=4"), prefer_wait("x")), (Some(4), None));
    let report =
        LoadReport(vec![("application_utilization".into(), 0.5), ("utilization.uplink".into(), 1.25)]);
    assert_eq!(LoadReport::parse(&report.encode()), Some(report));
    assert_eq!(LoadReport::parse("JSON {}"), None);
}

fn header() -> impl Strategy<Value = (String, String)> {
    ("[a-z][a-z0-9-]{0,12}", "[ -~]{0,20}").prop_filter("not framing", |(n, _)| {
        !["host", "content-length", "transfer-encoding", "expect", "connection"].contains(&n.as_str())
    })
}

proptest! {
    #[test]
    fn what_is_written_is_read(headers in prop::collection::vec(header(), 0..8),
                               body in prop::collection::vec(any::<u8>(), 0..200), cut in 1usize..64) {
        let mut request = Request::new(Method::Post, "/whep/a");
        request.headers.0 = headers;
        request.body = body;
        let bytes = request.encode("h");
        let read = read(&bytes, cut).expect("well formed");
        prop_assert_eq!(read.len(), 1);
        prop_assert_eq!(&read[0].body, &request.body);
        for (name, value) in &request.headers.0 {
            prop_assert!(read[0].headers.all(name).any(|v| v == value.trim()));
        }
    }

    #[test]
    fn heads_agree_with_httparse(line in "(GET|POST|x y|) ?/[ -~]{0,6} HTTP/1.[0123]",
                                 lines in prop::collection::vec("[a-zA-Z :\t]{0,8}[:;]?[ -~\u{1}]{0,8}", 0..4)) {
        let text = format!("{line}\r\nhost: h\r\n{}\r\n", lines.iter().map(|l| format!("{l}\r\n")).collect::<String>());
        prop_assume!(!text[..text.len() - 4].contains("\r\n\r\n"));
        let mut fields = [httparse::EMPTY_HEADER; 16];
        let mut theirs = httparse::Request::new(&mut fields);
        let accepted = theirs.parse(text.as_bytes());
        // This parser is stricter: httparse accepts all that it accepts, with the same result.
        if let Ok(ours) = read(text.as_bytes(), 5) && let Some(ours) = ours.first() {
            prop_assert!(accepted.is_ok(), "{text:?}: {accepted:?}");
            prop_assert_eq!(theirs.path, Some(ours.target.as_str()));
            for (a, b) in theirs.headers.iter().zip(&ours.headers.0) {
                prop_assert!(a.name.eq_ignore_ascii_case(&b.0));
                prop_assert_eq!(a.value.trim_ascii(), b.1.as_bytes());
            }
        }
    }

    #[test]
    fn no_bytes_make_it_panic(bytes in prop::collection::vec(any::<u8>(), 0..300), cut in 1usize..40) {
        let _ = read(&bytes, cut);
        let mut p = ResponseParser::new(Limits::default());
        for part in bytes.chunks(cut) { p.feed(part); let _ = p.poll(); }
        let _ = Parser::new(64).feed(&bytes, &mut Vec::new());
        let text = String::from_utf8_lossy(&bytes);
        let _ = (Link::parse(&text, 8), IfMatch::parse(&text), prefer_wait(&text), LoadReport::parse(&text));
    }

    #[test]
    fn events_come_back(kind in "[a-z-]{0,8}", data in "[ -~\n]{1,40}", cut in 1usize..9) {
        let event = Event { kind, data, ..Event::default() };
        let (mut parser, mut out) = (Parser::new(1000), Vec::new());
        for part in event.encode().chunks(cut) { parser.feed(part, &mut out).expect("short"); }
        prop_assert_eq!(out, vec![event]);
    }
}

#[test]
fn ids_and_comments_of_a_stream() {
    let (mut parser, mut events) = (Parser::new(200), Vec::new());
    parser.feed(b":\n\nid: 4\ndata: a\n\n: alive\ndata: b\n\nid: 7\n\nid\ndata: c\n\n", &mut events).unwrap();
    let seen: Vec<(&str, &str)> = events.iter().map(|e| (e.id.as_str(), e.data.as_str())).collect();
    // An id holds until another is set; an empty one removes it (WHATWG HTML, section 9.2.6).
    assert_eq!((seen, parser.comments()), (vec![("4", "a"), ("4", "b"), ("", "c")], 2));
    let (mut again, mut read) = (Parser::new(200), Vec::new());
    again.feed(&events[0].encode(), &mut read).unwrap();
    assert_eq!(read[0], events[0]);
}

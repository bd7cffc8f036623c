//! Media boxes over HTTP: playlists and manifests with made-up segments, plays counted by what CMCD tells of them.
//!
//! A request for a list that says `su` and comes from a front (`Via`) sets a play up, under `sid`, `cid` and the number
//! `sn`; one of a higher number for the same play takes its place. Anything else of a play that is not known here is
//! answered by 410. A report (`/cmcd`) with `sta=e` ends a play, unless it tells of an earlier attempt than the one that
//! stands. So does silence.

use crate::lists::{is_list, named};
use crate::media_box::Fleet;
use crate::model::{Held, HttpPlay, SetUp};
use crate::record::Deed;
use micadyke_cmcd::client::Cmcd;
use micadyke_cmcd::server::{Cmsd, Hop};
use micadyke_http::fields::LoadReport;
use micadyke_http::{Method, Request, Response};
use std::fmt::Write as _;

/// Seconds of media in a segment, and segments of a title.
const SEGMENT: u64 = 1;
const SEGMENTS: u64 = 600;
/// Bytes of a segment at most: made up, and shorter than its rate would have it.
const BYTES: usize = 4 << 10;
/// A play is over when nothing was asked for this much longer than a session of WHEP may be without an event stream.
pub const SILENCE: u64 = 3_000_000_000;

/// The lists of a title, made up from the rates of its rungs in kB a second.
pub fn list(file: &str, rates: &[f64]) -> Option<(&'static str, String)> {
    let bits = |r: &f64| (r * 8_000.0).round() as u64;
    let mut text = String::new();
    if file.ends_with(".mpd") {
        text.push_str("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<MPD xmlns=\"urn:mpeg:dash:schema:mpd:2011\" type=\"static\" ");
        let _ = write!(
            text,
            "mediaPresentationDuration=\"PT{}S\" minBufferTime=\"PT2S\">\n<Period>\n",
            SEGMENT * SEGMENTS
        );
        text.push_str("<AdaptationSet mimeType=\"video/mp4\" segmentAlignment=\"true\">\n");
        let _ = writeln!(
            text,
            "<SegmentTemplate duration=\"{SEGMENT}\" startNumber=\"1\" media=\"$RepresentationID$/$Number$.m4s\" initialization=\"$RepresentationID$/init.mp4\"/>"
        );
        for (i, r) in rates.iter().enumerate() {
            let _ = writeln!(text, "<Representation id=\"{i}\" bandwidth=\"{}\"/>", bits(r));
        }
        text.push_str("</AdaptationSet>\n</Period>\n</MPD>\n");
        return Some(("application/dash+xml", text));
    }
    text.push_str("#EXTM3U\n#EXT-X-VERSION:7\n");
    match file.split_once('/') {
        None => {
            for (i, r) in rates.iter().enumerate() {
                let _ = writeln!(text, "#EXT-X-STREAM-INF:BANDWIDTH={}\n{i}/index.m3u8", bits(r));
            }
        }
        Some((rung, _)) if rung.parse::<usize>().is_ok_and(|r| r < rates.len()) => {
            let _ = writeln!(text, "#EXT-X-TARGETDURATION:{SEGMENT}\n#EXT-X-MAP:URI=\"init.mp4\"");
            for n in 1..=SEGMENTS {
                let _ = writeln!(text, "#EXTINF:{SEGMENT}.0,\n{n}.m4s");
            }
            text.push_str("#EXT-X-ENDLIST\n");
        }
        Some(_) => return None,
    }
    Some(("application/vnd.apple.mpegurl", text))
}

impl Fleet {
    /// The rates of a title's rungs here, kB a second.
    fn rates(&self, title: &str) -> Vec<f64> {
        self.world(|w| {
            let scale = w.scales.get(title).copied().unwrap_or(1.0);
            w.terms.ladder.iter().map(|r| r * scale).collect()
        })
    }

    fn answer_list(&self, id: u32, title: &str, file: &str) -> Response {
        let Some((kind, text)) = list(file, &self.rates(title)) else {
            return Response::problem(404, "no such file");
        };
        let load = self.load(id);
        let hop = Hop { name: format!("box-{id}"), throughput: Some(20_000), ..Hop::default() };
        let told = Cmsd { hops: vec![hop], ..Cmsd::default() };
        let response = Response::new(200).with(LoadReport::FIELD, load).content(kind, text);
        told.fields().into_iter().fold(response, |r, (name, value)| r.with(name, value))
    }

    /// A request that sets a play up.
    pub(crate) fn play(&self, id: u32, request: &Request) -> (Response, Option<u64>) {
        let Some((title, file)) = named(request.path()) else {
            return (Response::problem(404, "no such file"), None);
        };
        let told = Cmcd::of(&request.headers, &request.target);
        let no = |status, what: &str| {
            (Response::problem(status, what).with(LoadReport::FIELD, self.load(id)), None)
        };
        let (Some(sid), Some(number)) = (told.text("sid"), told.integer("sn")) else {
            return no(400, "sid and sn are due");
        };
        let via = request.headers.get("via").unwrap_or_default().to_owned();
        let bound = match self.admitted(id, title, request) {
            Ok(bound) => bound,
            Err(response) => return (response, None),
        };
        let now = self.now();
        let known = self.world(|w| {
            let held = w.boxes.get_mut(&id)?.held.iter_mut();
            let mut same = held.filter(|(_, h)| {
                h.title == title && h.play.as_ref().is_some_and(|p| p.sid == sid && p.via == via)
            });
            let (session, held) = same.next()?;
            held.alone_since = now;
            Some(*session)
        });
        let session = match known {
            Some(session) => session,
            None => match self.world(|w| w.set_up(id, now, title, false)) {
                SetUp::Taken(session) => session,
                SetUp::Full => return no(503, "no room"),
                SetUp::Fell => {
                    self.fall(id);
                    return no(500, "fell over");
                }
                SetUp::Unknown | SetUp::Conflict => return no(404, "no such title here"),
            },
        };
        if known.is_none() {
            self.0.record.deed(Deed::Held { id, session, ufrag: sid.to_owned() });
        }
        let play = HttpPlay { via, sid: sid.to_owned(), number, silence: SILENCE };
        self.world(|w| {
            if let Some(h) = w.boxes.get_mut(&id).and_then(|m| m.held.get_mut(&session)) {
                h.play = Some(play);
            }
        });
        if let Some(exp) = bound
            && let Some(r) = self.0.running.borrow_mut().get_mut(&id)
        {
            let name = format!("{number}/{title}/{sid}");
            if let Some(old) = r.bound.insert(session, name.clone()) {
                r.guard.iter_mut().for_each(|g| g.release(&old));
            }
            r.guard.iter_mut().for_each(|g| g.hold(&name, exp));
        }
        (self.answer_list(id, title, file), Some(session))
    }

    /// Whatever else is asked over HTTP: lists and segments of plays that stand, and reports.
    pub(crate) fn media(&self, id: u32, request: &Request) -> Response {
        if request.path() == "/cmcd" {
            return self.reports(id, request);
        }
        let Some((title, file)) = named(request.path()) else {
            return Response::problem(404, "no such file");
        };
        if request.method != Method::Get {
            return Response::problem(405, "GET is due").with("allow", "GET");
        }
        let told = Cmcd::of(&request.headers, &request.target);
        // A redirect names the play in the query; what the player sends in fields of its own comes beside it.
        let by_query = Cmcd::of(&micadyke_http::Headers::default(), &request.target);
        let sid = by_query.text("sid").or(told.text("sid")).unwrap_or_default().to_owned();
        let rung = file.split_once('/').and_then(|(r, _)| r.parse::<usize>().ok());
        let now = self.now();
        let known = self.world(|w| {
            let rungs = w.terms.ladder.len();
            let held = w.boxes.get_mut(&id)?.held.values_mut();
            let of = |h: &&mut Held| h.title == title && h.play.as_ref().is_some_and(|p| p.sid == sid);
            let mut any = None;
            // Two fronts may have set it up; the player is with one of them, and here that is not told apart.
            for h in held.filter(of) {
                h.alone_since = now;
                if let Some(rung) = rung.filter(|r| *r < rungs && !is_list(file)) {
                    h.rung = rung;
                }
                any = Some(());
            }
            any
        });
        if known.is_none() {
            return Response::problem(410, "no such play here");
        }
        if is_list(file) {
            return self.answer_list(id, title, file);
        }
        let rates = self.rates(title);
        match rung.and_then(|r| rates.get(r)) {
            Some(rate) => {
                let size = ((rate * 1_000.0) as usize * SEGMENT as usize).min(BYTES);
                Response::new(200).content("video/mp4", vec![0x6d; size])
            }
            None => Response::problem(404, "no such file"),
        }
    }

    fn reports(&self, id: u32, request: &Request) -> Response {
        if request.method != Method::Post {
            return Response::problem(405, "POST is due").with("allow", "POST");
        }
        let via = request.headers.get("via").unwrap_or_default();
        for told in Cmcd::reports(&request.body) {
            if told.text("sta") != Some("e") {
                continue;
            }
            let (sid, title, number) = (told.text("sid"), told.text("cid"), told.integer("sn").unwrap_or(0));
            let over = self.world(|w| {
                let mut held = w.boxes.get(&id)?.held.iter();
                let of = |h: &Held| {
                    let play = h.play.as_ref()?;
                    (Some(&*play.sid) == sid
                        && Some(&*h.title) == title
                        && play.via == via
                        && play.number <= number)
                        .then_some(())
                };
                held.find_map(|(n, h)| of(h).map(|()| *n))
            });
            self.drop_session(id, over);
        }
        Response::new(204)
    }
}

//! Questions and answers over WHEP and WHIP (RFC 9725, the WHEP draft).

use crate::asking::Answer;
use crate::{Outcome, Question};
use micadyke_cmcd::Cmsd;
use micadyke_http::{Method, Request, Response};

/// A session, as its front described it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Session {
    /// Path of its resource at the front.
    pub resource: String,
    /// Entity tag of its ICE session, for trickled candidates; empty: it takes none.
    pub etag: String,
    /// The answer (RFC 8866).
    pub answer: String,
    /// Media types that its endpoint takes (`Accept-Post`): what the front knows.
    pub takes: Vec<String>,
}

/// An offer with the viewer's ceiling written into its video sections (`b=TIAS`, RFC 3890); one that an offer states
/// already is kept where it is lower.
pub fn limited(offer: &str, ceiling: Option<u64>) -> String {
    let Some(kbit) = ceiling else { return offer.to_owned() };
    let bits = kbit.saturating_mul(1_000);
    let (mut out, mut video) = (String::with_capacity(offer.len() + 32), false);
    for line in offer.lines() {
        let line = line.trim_end_matches('\r');
        if let Some(section) = line.strip_prefix("m=") {
            video = section.starts_with("video");
        }
        let stated = line.strip_prefix("b=TIAS:").and_then(|n| n.trim().parse::<u64>().ok());
        match stated.filter(|_| video) {
            // Written anew after the section's head.
            Some(n) if n >= bits => continue,
            _ => out.push_str(line),
        }
        out.push_str("\r\n");
        let head = line.starts_with("m=video");
        if head {
            // b= follows i= and c= (RFC 8866 section 5); readers take it in any place of the section.
            let section = offer.split("m=video").nth(1).unwrap_or_default();
            let section = section.split("\nm=").next().unwrap_or_default();
            let lower = section
                .lines()
                .filter_map(|l| l.trim().strip_prefix("b=TIAS:")?.parse::<u64>().ok())
                .any(|n| n < bits);
            if !lower {
                out.push_str(&format!("b=TIAS:{bits}\r\n"));
            }
        }
    }
    out
}

/// The request that asks a question: `route` is the path that its class has at the front.
pub fn ask(question: &Question, route: &str, offer: &str, bearer: Option<&str>) -> Request {
    let path = format!("{}/{}", route.trim_end_matches('/'), question.title);
    // Whole seconds, and never longer than it waits (RFC 7240 section 4.3).
    let wait = question.patience_ms / 1_000;
    let mut request = Request::new(Method::Post, path).with("accept", "application/sdp");
    if wait > 0 {
        request = request.with("prefer", format!("wait={wait}"));
    }
    if let Some(token) = bearer {
        request = request.with("authorization", format!("Bearer {token}"));
    }
    request.content("application/sdp", limited(offer, question.ceiling))
}

/// Advice when to come back, in milliseconds (RFC 9110 section 10.2.3, in seconds).
pub fn come_back(response: &Response) -> Option<u64> {
    let seconds: u64 = response.headers.get("retry-after")?.trim().parse().ok()?;
    Some(seconds.saturating_mul(1_000))
}

/// What an answer says.
pub fn read(response: &Response) -> Answer<Session> {
    let failed = |status| Answer::No(Outcome::Failed { status });
    match response.status {
        201 => {
            let resource = response.headers.get("location").filter(|l| l.starts_with('/'));
            let answer = std::str::from_utf8(&response.body).ok();
            let described = response.media_type().as_deref() == Some("application/sdp");
            let (Some(resource), Some(answer), true) = (resource, answer, described) else {
                return failed(0);
            };
            let told = Cmsd::of(&response.headers);
            let session = Session {
                resource: resource.to_owned(),
                etag: response.headers.get("etag").unwrap_or_default().to_owned(),
                answer: answer.to_owned(),
                takes: response
                    .headers
                    .all("accept-post")
                    .flat_map(|v| v.split(','))
                    .map(|t| t.trim().to_ascii_lowercase())
                    .take(16)
                    .collect(),
            };
            let (at, rung) = placed(&told);
            Answer::Plays { session, at, rung }
        }
        // Too many at once, or no room: advice may come with either.
        429 | 503 => Answer::No(Outcome::Refused { come_back_ms: come_back(response) }),
        status => failed(status),
    }
}

/// Box and rung as a front tells them: the hop before its own, and the least `mb` of all (CTA-5006).
pub fn placed(told: &Cmsd) -> (String, u64) {
    let at = told.hops.iter().rev().nth(1).map(|h| h.name.clone()).unwrap_or_default();
    (at, told.max_bitrate().unwrap_or(0))
}

/// The request that ends a session.
pub fn end(session: &Session, bearer: Option<&str>) -> Request {
    let request = Request::new(Method::Delete, &*session.resource);
    bearer.iter().fold(request, |r, token| r.with("authorization", format!("Bearer {token}")))
}

/// The request that brings trickled candidates (RFC 8840), where the session takes them.
pub fn trickle(session: &Session, fragment: &str, bearer: Option<&str>) -> Option<Request> {
    let request = Request::new(Method::Patch, &*session.resource);
    let request = (!session.etag.is_empty()).then(|| request.with("if-match", &*session.etag))?;
    let request = bearer.iter().fold(request, |r, token| r.with("authorization", format!("Bearer {token}")));
    Some(request.content("application/trickle-ice-sdpfrag", fragment))
}

//! The answers of the front's own endpoints: what RFC 9725 and the WHEP draft ask of them.

use micadyke_config::{Config, Route, RouteKind};
use micadyke_http::{Request, Response};
use micadyke_tokens::bearer::{Checker, Denied};

/// Media type of descriptions (RFC 8866).
pub(crate) const SDP: &str = "application/sdp";
/// Media type of trickle-ICE fragments (RFC 8840).
pub(crate) const FRAGMENT: &str = "application/trickle-ice-sdpfrag";
/// Path of the front's own session resources.
pub(crate) const SESSION: &str = "/session/";
/// Methods of the two kinds of resources.
pub(crate) const ENDPOINT_ALLOW: &str = "OPTIONS, POST";
pub(crate) const SESSION_ALLOW: &str = "DELETE, OPTIONS, PATCH";

/// What a request's path names.
pub(crate) enum Target<'a> {
    /// A title under a route.
    Endpoint { route: usize, title: &'a str },
    /// A file of a title under a route of players over HTTP; the file may be empty.
    Media { route: usize, title: &'a str, file: &'a str },
    /// A session, by its name.
    Session(u128),
    /// A file of a play, by the play's name.
    Part(u128, &'a str),
    /// Nothing.
    Unknown,
}

pub(crate) fn target<'a>(config: &Config, request: &'a Request) -> Target<'a> {
    let path = request.path();
    if let Some(rest) = path.strip_prefix(SESSION) {
        let (name, file) = rest.split_once('/').map_or((rest, None), |(name, file)| (name, Some(file)));
        let hex = name.len() == 32 && name.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
        let named = u128::from_str_radix(name, 16).ok().filter(|_| hex);
        return match (named, file) {
            (None, _) => Target::Unknown,
            (Some(name), None) => Target::Session(name),
            (Some(name), Some(file)) => Target::Part(name, file),
        };
    }
    let found = config.routes.iter().enumerate().find_map(|(route, r)| {
        let title = path.strip_prefix(r.prefix.as_str())?;
        if r.kind == RouteKind::Media {
            let (title, file) = title.split_once('/').unwrap_or((title, ""));
            return (!title.is_empty()).then_some(Target::Media { route, title, file });
        }
        (!title.is_empty() && !title.contains('/')).then_some(Target::Endpoint { route, title })
    });
    found.unwrap_or(Target::Unknown)
}

/// Whether a request may use a route; the refusal where it may not (RFC 6750 section 3).
/// `keys`: what checks signed tokens, and the Unix time now, in seconds.
pub(crate) fn authorise(
    config: &Config, keys: Option<(&Checker, u64)>, route: usize, title: Option<&str>, request: &Request,
) -> Result<(), Response> {
    let route = &config.routes[route];
    if route.entitled {
        return entitled(config, keys, route, title, request);
    }
    if route.bearers.is_empty() {
        return Ok(());
    }
    let token = bearer(request);
    if token.is_some_and(|t| knows(route, t)) {
        return Ok(());
    }
    let elsewhere = token.is_some_and(|t| config.routes.iter().any(|r| knows(r, t)));
    Err(match token {
        None => denied(401, "", "a bearer token is due"),
        Some(_) if elsewhere => denied(403, SCOPE, "the token is not for this route"),
        Some(_) => denied(401, INVALID, "the token is not known"),
    })
}

/// Whether a request's signed token entitles it to a title on a route; a session that has ended has no title,
/// and its random name is enough to hear so.
fn entitled(
    config: &Config, keys: Option<(&Checker, u64)>, route: &Route, title: Option<&str>, request: &Request,
) -> Result<(), Response> {
    let Some(title) = title else { return Ok(()) };
    let token = bearer(request).ok_or_else(|| denied(401, "", "a bearer token is due"))?;
    let (checker, unix) = keys.ok_or_else(|| denied(401, "", "no keys are in force"))?;
    let class = config.classes[route.class].name.as_str();
    checker.check(token, unix, title, class).map(drop).map_err(|why| {
        tracing::debug!(?why, "a token is refused");
        match why {
            Denied::Entitlement => denied(403, SCOPE, "the token does not entitle to this title and class"),
            _ => denied(401, INVALID, "the token does not hold"),
        }
    })
}

/// The answer to OPTIONS (RFC 9725 section 4.2, CORS of the Fetch standard).
pub(crate) fn options(session: bool) -> Response {
    let allow = if session { SESSION_ALLOW } else { ENDPOINT_ALLOW };
    let response = Response::new(200)
        .with("allow", allow)
        .with("access-control-allow-methods", allow)
        .with("access-control-allow-headers", "authorization, content-type, if-match, prefer")
        .with("access-control-max-age", "600");
    if session { response.with("accept-patch", FRAGMENT) } else { response.with("accept-post", SDP) }
}

/// Fields that scripts of other origins may read.
const EXPOSED: &str = "accept-post, cmsd-dynamic, cmsd-static, etag, link, location, retry-after";

/// Header fields that all answers carry.
pub(crate) fn dress(response: Response) -> Response {
    response.with("access-control-allow-origin", "*").with("access-control-expose-headers", EXPOSED)
}

/// The `Link` fields that tell of ICE servers (RFC 9725 section 4.6).
pub(crate) fn ice_links(config: &Config, mut response: Response) -> Response {
    for server in &config.ice_servers {
        response = response.with("link", micadyke_http::fields::Link::new(server, "ice-server").encode());
    }
    response
}

/// Errors of a challenge (RFC 6750 section 3.1).
const SCOPE: &str = ", error=\"insufficient_scope\"";
const INVALID: &str = ", error=\"invalid_token\"";

/// A refusal with its challenge.
fn denied(status: u16, error: &str, what: &str) -> Response {
    Response::problem(status, what).with("www-authenticate", format!("Bearer realm=\"micadyke\"{error}"))
}

pub(crate) fn bearer(request: &Request) -> Option<&str> {
    let (scheme, token) = request.headers.get("authorization")?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(token.trim())
}

/// Compares without telling by time where two tokens differ.
fn knows(route: &Route, token: &str) -> bool {
    route.bearers.iter().fold(false, |found, b| {
        let same =
            b.len() == token.len() && b.bytes().zip(token.bytes()).fold(0, |d, (x, y)| d | (x ^ y)) == 0;
        found | same
    })
}

pub(crate) fn not_allowed(allow: &str) -> Response {
    Response::problem(405, "the method is not allowed here").with("allow", allow)
}

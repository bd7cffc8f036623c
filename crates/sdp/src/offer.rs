//! What an offer must hold to be answered (RFC 9725 section 4.2, RFC 8829, RFC 8842, RFC 8843).

use crate::{Description, Media, SyntaxError};

/// Direction of a media section (RFC 8866 section 6.7).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Direction {
    SendRecv,
    SendOnly,
    RecvOnly,
    Inactive,
}

/// What an offer is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Use {
    /// The client sends media (WHIP).
    Publish,
    /// The client receives media (WHEP).
    Play,
}

/// Why an offer is turned down.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferError {
    /// It is no description: 400.
    Syntax(SyntaxError),
    /// It is one, but cannot be answered: 422.
    Unanswerable(&'static str),
}

impl std::fmt::Display for OfferError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            OfferError::Syntax(e) => write!(f, "no session description: {e}"),
            OfferError::Unanswerable(what) => write!(f, "the offer cannot be answered: {what}"),
        }
    }
}

impl std::error::Error for OfferError {}

/// A checked offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer<'a> {
    /// The description.
    pub description: Description<'a>,
    /// ICE user name fragment of the client (RFC 8839).
    pub ufrag: &'a str,
    /// ICE password of the client.
    pub password: &'a str,
    /// DTLS certificate fingerprint of the client (RFC 8122), hash name included.
    pub fingerprint: &'a str,
}

/// ICE characters (RFC 8839 section 5.4), within its bounds of length.
pub(crate) fn ice_text(text: &str, least: usize) -> bool {
    (least..=256).contains(&text.len())
        && text.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'+' || b == b'/')
}

fn fingerprint(text: &str) -> bool {
    let Some((hash, hex)) = text.split_once(' ') else { return false };
    let length = match hash.to_ascii_lowercase().as_str() {
        "sha-1" => 20,
        "sha-256" => 32,
        "sha-384" => 48,
        "sha-512" => 64,
        _ => return false,
    };
    let pairs = hex.trim_end().split(':');
    pairs.clone().count() == length
        && pairs.into_iter().all(|p| p.len() == 2 && p.bytes().all(|b| b.is_ascii_hexdigit()))
}

impl Media<'_> {
    /// Its direction; both ways where nothing is said.
    pub fn direction(&self) -> Direction {
        let says = |n: &str| self.attribute(n).is_some();
        match () {
            () if says("sendonly") => Direction::SendOnly,
            () if says("recvonly") => Direction::RecvOnly,
            () if says("inactive") => Direction::Inactive,
            () => Direction::SendRecv,
        }
    }

    /// Rejected, and not merely bundled.
    pub fn rejected(&self) -> bool {
        self.port == 0 && self.attribute("bundle-only").is_none()
    }

    /// Audio or video over DTLS-SRTP.
    pub fn is_rtp(&self) -> bool {
        matches!(self.kind, "audio" | "video")
            && matches!(self.proto, "UDP/TLS/RTP/SAVPF" | "UDP/TLS/RTP/SAVP")
    }

    /// The highest rate that the client takes, in kB a second, from `b=TIAS` or `b=AS` (RFC 3890, RFC 8866).
    pub fn bandwidth_kb(&self) -> Option<f64> {
        let value = |name: &str| {
            let line = self.lines.iter().find(|(t, v)| *t == b'b' && v.starts_with(name))?;
            line.1[name.len()..].strip_prefix(':')?.trim().parse::<u64>().ok()
        };
        value("TIAS").map(|b| b as f64 / 8000.0).or_else(|| value("AS").map(|k| k as f64 / 8.0))
    }
}

impl<'a> Offer<'a> {
    /// Reads an offer and checks that it can be answered for its use.
    pub fn parse(text: &'a str, used: Use) -> Result<Self, OfferError> {
        let description = Description::parse(text).map_err(OfferError::Syntax)?;
        let no = |what| Err(OfferError::Unanswerable(what));
        let live = || description.media.iter().filter(|m| !m.rejected());
        let Some(first) = live().find(|m| m.is_rtp()) else {
            return no("no audio or video section over UDP/TLS/RTP/SAVPF");
        };
        for m in live().filter(|m| m.is_rtp()) {
            let fits = match (used, m.direction()) {
                (_, Direction::SendRecv) => true,
                (Use::Publish, d) => d == Direction::SendOnly,
                (Use::Play, d) => d == Direction::RecvOnly,
            };
            if !fits && m.direction() != Direction::Inactive {
                return no("a section's direction is the wrong way for this endpoint");
            }
        }
        if live().count() > 1 {
            let group = crate::attributes(&description.lines, "group").find_map(|g| g.strip_prefix("BUNDLE"));
            let Some(group) = group else { return no("the sections are not bundled") };
            let bundled = |m: &Media| m.attribute("mid").is_some_and(|id| group.split(' ').any(|g| g == id));
            if !live().all(bundled) {
                return no("a section is outside the bundle");
            }
        }
        for m in live() {
            if m.attribute("mid").is_some_and(|id| id.is_empty() || id.len() > 64) {
                return no("a section's mid is empty or too long");
            }
            if m.is_rtp() && m.attribute("rtcp-mux").is_none() {
                return no("RTP and RTCP are not multiplexed");
            }
        }
        let (ufrag, password) =
            (description.inherited(first, "ice-ufrag"), description.inherited(first, "ice-pwd"));
        let (Some(ufrag), Some(password)) = (ufrag, password) else { return no("no ICE credentials") };
        if !ice_text(ufrag, 4) || !ice_text(password, 22) {
            return no("ICE credentials too short, too long or of wrong characters");
        }
        let Some(print) = description.inherited(first, "fingerprint") else {
            return no("no certificate fingerprint");
        };
        if !fingerprint(print) {
            return no("a certificate fingerprint of unknown hash or wrong length");
        }
        match description.inherited(first, "setup") {
            Some("actpass" | "active" | "passive") => {}
            Some(_) | None => return no("no usable DTLS role"),
        }
        Ok(Offer { ufrag, password, fingerprint: print, description })
    }

    /// The highest rate that the client takes of a kind, in kB a second.
    pub fn bandwidth_kb(&self) -> Option<f64> {
        self.description.media.iter().filter(|m| m.kind == "video").find_map(Media::bandwidth_kb)
    }

    /// What an answer must fit.
    pub fn shape(&self) -> Shape {
        Shape(self.description.media.iter().map(|m| (m.kind.into(), m.proto.into())).collect())
    }

    /// Whether a text is an answer that fits this offer.
    pub fn answered_by(&self, answer: &str) -> Result<(), OfferError> {
        self.shape().answered_by(answer)
    }
}

/// What an answer must fit: kind and transport of each section of the offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shape(Box<[(Box<str>, Box<str>)]>);

impl Shape {
    /// Whether a text is an answer that fits: as many sections of the same kinds, with ICE credentials, a
    /// fingerprint and a settled DTLS role.
    pub fn answered_by(&self, answer: &str) -> Result<(), OfferError> {
        let answer = Description::parse(answer).map_err(OfferError::Syntax)?;
        let no = |what| Err(OfferError::Unanswerable(what));
        if answer.media.len() != self.0.len() {
            return no("the answer has another number of sections");
        }
        if answer.media.iter().zip(&self.0).any(|(a, b)| a.kind != &*b.0 || a.proto != &*b.1) {
            return no("a section of the answer is of another kind");
        }
        let Some(first) = answer.media.iter().find(|m| !m.rejected()) else {
            return no("the answer rejects all sections");
        };
        let has = |n| answer.inherited(first, n).is_some();
        if !has("ice-ufrag") || !has("ice-pwd") || !has("fingerprint") {
            return no("the answer lacks ICE credentials or a fingerprint");
        }
        match answer.inherited(first, "setup") {
            Some("active" | "passive") => Ok(()),
            _ => no("the answer settles no DTLS role"),
        }
    }
}

//! Answers as a media server writes them (RFC 8829 section 5.3, RFC 9429).

use crate::{Direction, Media, Offer, Use};
use std::fmt::Write as _;
use std::net::SocketAddr;

/// What an answering side puts into its answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answerer {
    /// ICE user name fragment.
    pub ufrag: String,
    /// ICE password.
    pub password: String,
    /// Certificate fingerprint, hash name included.
    pub fingerprint: String,
    /// Where media is taken and sent.
    pub media: SocketAddr,
    /// Number of the session, for `o=`.
    pub session: u64,
}

/// Answers a checked offer: each audio and video section with all of its formats, the rest rejected.
pub fn answer(offer: &Offer<'_>, used: Use, by: &Answerer) -> String {
    let d = &offer.description;
    let takes = |m: &&Media| !m.rejected() && m.is_rtp() && m.direction() != Direction::Inactive;
    let bundle: Vec<&str> = d.media.iter().filter(takes).filter_map(|m| m.attribute("mid")).collect();
    let (ip, family) = (by.media.ip(), if by.media.is_ipv4() { "IP4" } else { "IP6" });
    let mut s = String::with_capacity(2048);
    let _ = write!(s, "v=0\r\no=- {} 1 IN {family} {ip}\r\ns=-\r\nt=0 0\r\na=ice-lite\r\n", by.session);
    if !bundle.is_empty() {
        let _ = write!(s, "a=group:BUNDLE {}\r\n", bundle.join(" "));
    }
    let setup = match d.media.iter().find(takes).and_then(|m| d.inherited(m, "setup")) {
        Some("passive") => "active",
        _ => "passive",
    };
    for m in &d.media {
        let taken = takes(&m);
        let port = if taken { by.media.port() } else { 0 };
        let _ =
            write!(s, "m={} {port} {} {}\r\nc=IN {family} {ip}\r\n", m.kind, m.proto, m.formats.join(" "));
        if let Some(mid) = m.attribute("mid") {
            let _ = write!(s, "a=mid:{mid}\r\n");
        }
        if !taken {
            s.push_str("a=inactive\r\n");
            continue;
        }
        let _ = write!(
            s,
            "a=ice-ufrag:{}\r\na=ice-pwd:{}\r\na=fingerprint:{}\r\na=setup:{setup}\r\n\
             a=candidate:1 1 udp 2130706431 {ip} {port} typ host\r\na=end-of-candidates\r\n",
            by.ufrag, by.password, by.fingerprint
        );
        s.push_str(if used == Use::Play { "a=sendonly\r\n" } else { "a=recvonly\r\n" });
        s.push_str("a=rtcp-mux\r\n");
        if m.attribute("rtcp-rsize").is_some() {
            s.push_str("a=rtcp-rsize\r\n");
        }
        for name in ["rtpmap", "fmtp", "rtcp-fb"] {
            m.attributes(name).for_each(|v| {
                let _ = write!(s, "a={name}:{v}\r\n");
            });
        }
        if used == Use::Play {
            let mid = m.attribute("mid").unwrap_or("0");
            let ssrc = by.session.wrapping_mul(2_654_435_761) as u32
                ^ mid.bytes().fold(7, |a, b| a * 31 + u32::from(b));
            let _ = write!(s, "a=msid:stream {mid}\r\na=ssrc:{} cname:micadyke\r\n", ssrc.max(1));
        }
    }
    s
}

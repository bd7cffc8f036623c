//! Session descriptions (RFC 8866) as far as WHIP and WHEP need them, and trickle-ICE fragments (RFC 8840).
//!
//! A description is read into its lines once; nothing is copied but the text itself. Bounds: [`MAX_BYTES`],
//! [`MAX_LINES`], [`MAX_MEDIA`]. What makes an offer unanswerable is told apart from what is no description.
#![warn(missing_docs)]

mod answer;
mod frag;
mod offer;

pub use answer::{Answerer, answer};
pub use frag::Fragment;
pub use offer::{Direction, Offer, OfferError, Shape, Use};

/// Bytes of a description at most.
pub const MAX_BYTES: usize = 64 << 10;
/// Lines of a description at most.
pub const MAX_LINES: usize = 2048;
/// Media sections of a description at most.
pub const MAX_MEDIA: usize = 32;

/// Why a text is no description, or no fragment of one: the line (from 1) and the fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SyntaxError {
    /// Number of the line, from 1.
    pub line: usize,
    /// What is wrong.
    pub what: &'static str,
}

impl std::fmt::Display for SyntaxError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

impl std::error::Error for SyntaxError {}

/// A media section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Media<'a> {
    /// Kind: `audio`, `video`, `application`, ...
    pub kind: &'a str,
    /// Port; 0: rejected, or bundled only.
    pub port: u16,
    /// Transport protocol.
    pub proto: &'a str,
    /// Formats: payload types for RTP.
    pub formats: Vec<&'a str>,
    /// All lines after the `m=` line, as type and value.
    pub lines: Vec<(u8, &'a str)>,
}

/// A description: lines before the first media section, and the sections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Description<'a> {
    /// Session-level lines after `v=`, as type and value.
    pub lines: Vec<(u8, &'a str)>,
    /// Media sections.
    pub media: Vec<Media<'a>>,
}

/// Value of the first attribute of a name among lines.
pub(crate) fn attribute<'a>(lines: &[(u8, &'a str)], name: &str) -> Option<&'a str> {
    attributes(lines, name).next()
}

/// Values of all attributes of a name among lines; an attribute without value gives an empty one.
pub(crate) fn attributes<'a, 'b>(
    lines: &'b [(u8, &'a str)], name: &'b str,
) -> impl Iterator<Item = &'a str> + use<'a, 'b> {
    lines.iter().filter_map(move |(t, v)| {
        // Compared before it is split: most lines are another attribute's.
        let (v, n) = (*v, name.len());
        if *t != b'a' || v.len() < n || v.as_bytes()[..n] != *name.as_bytes() {
            return None;
        }
        match v.as_bytes().get(n) {
            None => Some(""),
            Some(b':') => Some(&v[n + 1..]),
            Some(_) => None,
        }
    })
}

impl<'a> Media<'a> {
    /// Value of an attribute; an attribute without value gives an empty one.
    pub fn attribute(&self, name: &str) -> Option<&'a str> {
        attribute(&self.lines, name)
    }

    /// Values of all attributes of a name.
    pub fn attributes<'b>(&'b self, name: &'b str) -> impl Iterator<Item = &'a str> + use<'a, 'b> {
        attributes(&self.lines, name)
    }
}

impl<'a> Description<'a> {
    /// Reads a description. Lines end in CRLF or LF (RFC 8866 section 5 asks readers to take both).
    pub fn parse(text: &'a str) -> Result<Self, SyntaxError> {
        let bad = |line, what| Err(SyntaxError { line, what });
        if text.len() > MAX_BYTES {
            return bad(0, "the description is too long");
        }
        if let Some(at) = text.bytes().position(|b| b == 0) {
            return bad(text[..at].lines().count().max(1), "a line holds a control character");
        }
        let mut all = Description { lines: Vec::with_capacity(8), media: Vec::with_capacity(2) };
        let mut head = [b'v', b'o', b's'].into_iter();
        for (i, line) in text.lines().enumerate() {
            let n = i + 1;
            if n > MAX_LINES {
                return bad(n, "too many lines");
            }
            let bytes = line.as_bytes();
            if bytes.is_empty() && text.lines().skip(n).all(str::is_empty) {
                break;
            }
            if bytes.len() < 2 || bytes[1] != b'=' || !bytes[0].is_ascii_lowercase() {
                return bad(n, "a line is no type=value");
            }
            if bytes.last() == Some(&b'\r') {
                return bad(n, "a line holds a control character");
            }
            let (kind, value) = (bytes[0], &line[2..]);
            if let Some(due) = head.next()
                && due != kind
            {
                return bad(n, "the first lines are not v=, o= and s=");
            }
            match kind {
                b'v' if n > 1 => return bad(n, "a second v= line"),
                b'v' if value != "0" => return bad(n, "a version other than 0"),
                b'v' => {}
                b'o' if value.split(' ').count() != 6 => return bad(n, "o= has not six parts"),
                b'm' => {
                    if all.media.len() == MAX_MEDIA {
                        return bad(n, "too many media sections");
                    }
                    let Some(media) = media(value) else { return bad(n, "m= is malformed") };
                    all.media.push(media);
                }
                _ => match all.media.last_mut() {
                    Some(m) => m.lines.push((kind, value)),
                    None => all.lines.push((kind, value)),
                },
            }
        }
        if head.next().is_some() { bad(1, "the first lines are not v=, o= and s=") } else { Ok(all) }
    }

    /// An attribute of a media section, or else of the session.
    pub fn inherited(&self, media: &Media<'a>, name: &str) -> Option<&'a str> {
        media.attribute(name).or_else(|| attribute(&self.lines, name))
    }

    /// A session-level attribute.
    pub fn attribute(&self, name: &str) -> Option<&'a str> {
        attribute(&self.lines, name)
    }
}

fn media(value: &str) -> Option<Media<'_>> {
    let mut parts = value.split(' ');
    let (kind, port, proto) = (parts.next()?, parts.next()?, parts.next()?);
    let formats: Vec<&str> = parts.filter(|p| !p.is_empty()).collect();
    let port = port.split('/').next()?.parse().ok()?;
    let sound = !kind.is_empty() && !proto.is_empty() && !formats.is_empty() && formats.len() <= 128;
    sound.then(|| Media { kind, port, proto, formats, lines: Vec::with_capacity(48) })
}

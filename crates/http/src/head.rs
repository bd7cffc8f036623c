//! Incremental, bounded and strict parsing of message heads, which HTTP/1.1 and RTSP share: lines that end in CRLF, fields
//! with a name and a value, and an empty line.

use crate::bounds::{Fault, Limits};
use crate::message::Headers;

/// Returns an error with this status and description.
pub fn fault<T>(status: u16, what: &'static str) -> Result<T, Fault> {
    Err(Fault { status, what })
}

/// The receive buffer of a connection: the first `consumed` bytes are used up, the first `scanned` were searched for the end
/// of a line or head.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    consumed: usize,
    scanned: usize,
}

impl Buffer {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The bytes that are not yet consumed.
    pub fn rest(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Consumes `n` bytes.
    pub fn take(&mut self, n: usize) {
        self.consumed += n;
        self.scanned = self.consumed;
        if self.consumed == self.bytes.len() {
            self.bytes.clear();
            (self.consumed, self.scanned) = (0, 0);
        } else if self.consumed > 16 << 10 {
            self.bytes.drain(..self.consumed);
            (self.consumed, self.scanned) = (0, 0);
        }
    }

    /// The length of the head including its empty line, if it has been received completely.
    pub fn head(&mut self, limits: &Limits) -> Result<Option<usize>, Fault> {
        let from = self.scanned.max(self.consumed + 3) - 3;
        let found = self.bytes[from..].windows(4).position(|w| w == b"\r\n\r\n");
        let length = found.map_or(self.rest().len(), |p| from + p + 4 - self.consumed);
        self.scanned = self.bytes.len();
        let line = self.rest().iter().take(limits.line + 1).position(|&b| b == b'\n');
        if line.is_none() && self.rest().len() > limits.line {
            return fault(414, "the first line is too long");
        }
        if length > limits.head {
            return fault(431, "the head is too long");
        }
        // A bare LF never ends a line here; waiting for CRLF would hang on a peer that sends none.
        let end = self.consumed + length;
        let bare =
            |i: &usize| self.bytes[*i] == b'\n' && (*i == self.consumed || self.bytes[*i - 1] != b'\r');
        if (from.max(self.consumed)..end).any(|i| bare(&i)) {
            return fault(400, "a line ends in a bare LF");
        }
        Ok(found.map(|_| length))
    }

    /// The length of the next line without its CRLF, if it has been received completely.
    pub(crate) fn line(&mut self, limit: usize, what: &'static str) -> Result<Option<usize>, Fault> {
        let from = self.scanned.max(self.consumed);
        let Some(p) = self.bytes[from..].iter().position(|&b| b == b'\n') else {
            self.scanned = self.bytes.len();
            return if self.rest().len() > limit { fault(400, what) } else { Ok(None) };
        };
        let length = from + p - self.consumed;
        if length > limit {
            return fault(400, what);
        }
        if length == 0 || self.rest()[length - 1] != b'\r' {
            return fault(400, "a line ends in a bare LF");
        }
        Ok(Some(length - 1))
    }
}

/// Whether a byte is allowed in a token (RFC 9110 section 5.6.2).
pub fn is_token(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b)
}

pub(crate) fn text(bytes: &[u8]) -> Result<&str, Fault> {
    match std::str::from_utf8(bytes) {
        Ok(s) => Ok(s),
        Err(_) => fault(400, "a field is not UTF-8"),
    }
}

/// The status code of a status line, given what follows its version: a space, three digits, then nothing or a space.
pub fn status_code(rest: &[u8]) -> Option<u16> {
    let digits = rest.strip_prefix(b" ")?;
    let (digits, after) = digits.split_at(digits.len().min(3));
    let is_valid = digits.len() == 3
        && digits.iter().all(u8::is_ascii_digit)
        && after.first().is_none_or(|&b| b == b' ');
    is_valid.then(|| digits.iter().fold(0, |a, &d| a * 10 + u16::from(d - b'0')))
}

/// Parses the fields of a head, given without its first line but including the empty last one.
pub fn fields(mut lines: &[u8], limits: &Limits) -> Result<Headers, Fault> {
    let mut headers = Headers::default();
    while lines != b"\r\n" {
        let Some(end) = lines.iter().position(|&b| b == b'\n') else {
            return fault(400, "a field has no end");
        };
        if end == 0 || lines[end - 1] != b'\r' {
            return fault(400, "a line ends in a bare LF");
        }
        let line = &lines[..end - 1];
        lines = &lines[end + 1..];
        if headers.0.len() == limits.fields {
            return fault(431, "too many fields");
        }
        if line.first().is_some_and(|&b| b == b' ' || b == b'\t') {
            return fault(400, "a field is folded over lines");
        }
        let Some(colon) = line.iter().position(|&b| b == b':') else {
            return fault(400, "a field has no colon");
        };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.is_empty() || !name.iter().all(|&b| is_token(b)) {
            return fault(400, "a field's name is no token");
        }
        if value.iter().any(|&b| (b < b' ' && b != b'\t') || b == 0x7f) {
            return fault(400, "a field's value holds a control character");
        }
        headers.0.push((text(name)?.to_ascii_lowercase(), text(value)?.to_owned()));
    }
    Ok(headers)
}

//! RTSP 1.0 (RFC 2326) as front nodes and media servers use it (`PROTOCOL.md`): reading and writing, without I/O.
//!
//! Both sides send requests and responses on one connection. Messages are matched by `Session` and `CSeq`, and every message
//! has a `Content-Length`. Heads are read by `crates/http`: strictly, incrementally and with limits. A message that can't be
//! read ends the stream, because the start of the next message is unknown.
#![warn(missing_docs)]

use micadyke_http::head::{Buffer, fault, fields, is_token, status_code};
use micadyke_http::message;
use std::fmt::Write as _;

pub use micadyke_http::{Fault, Headers, Limits};

/// Maximum size of a message in bytes, head and content together (`PROTOCOL.md`: 16 KiB).
pub const MAX_MESSAGE_BYTES: usize = 16 << 10;

/// Limits for the messages of a server.
pub const LIMITS: Limits = Limits { line: 1 << 10, head: 8 << 10, fields: 48, body: MAX_MESSAGE_BYTES };

/// The first line of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Start {
    /// A request.
    Request {
        /// Its method, such as `ANNOUNCE`.
        method: String,
        /// Its address.
        address: String,
    },
    /// A response.
    Response {
        /// Its status code.
        status: u16,
    },
}

/// A message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Its first line.
    pub start: Start,
    /// Its header fields. Names are in lower case if the message was read.
    pub headers: Headers,
    /// Its content.
    pub body: Vec<u8>,
}

impl Message {
    /// A request without content.
    pub fn request(method: &str, address: &str, number: u32) -> Self {
        let start = Start::Request { method: method.to_owned(), address: address.to_owned() };
        Message { start, headers: Headers::default(), body: Vec::new() }.with("CSeq", &number.to_string())
    }

    /// A response without content.
    pub fn response(status: u16, number: u32) -> Self {
        let start = Start::Response { status };
        Message { start, headers: Headers::default(), body: Vec::new() }.with("CSeq", &number.to_string())
    }

    /// Adds a header field.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.add(name, value);
        self
    }

    /// Adds the session header, as 16 hex digits.
    pub fn session(self, id: u64) -> Self {
        self.with("Session", &format!("{id:016x}"))
    }

    /// Sets the content.
    pub fn content(mut self, body: &[u8]) -> Self {
        self.body = body.to_vec();
        self
    }

    /// The first value of a header field. The case of the name is ignored.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.headers.0.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// The session of the message, if it is given as 16 hex digits.
    pub fn session_id(&self) -> Option<u64> {
        let text = self.field("session")?;
        let hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        hex.then(|| u64::from_str_radix(text, 16).ok()).flatten()
    }

    /// The sequence number of the request, or of the request that the response answers.
    pub fn sequence_number(&self) -> Option<u32> {
        let text = self.field("cseq")?;
        (text.len() <= 9 && text.bytes().all(|b| b.is_ascii_digit())).then(|| text.parse().ok()).flatten()
    }

    /// Encodes the message and adds `Content-Length`.
    pub fn encode(&self) -> Vec<u8> {
        let mut head = String::with_capacity(256);
        let _ = match &self.start {
            Start::Request { method, address } => write!(head, "{method} {address} RTSP/1.0\r\n"),
            Start::Response { status } => write!(head, "RTSP/1.0 {status} {}\r\n", reason(*status)),
        };
        message::fields(&mut head, &self.headers);
        let _ = write!(head, "Content-Length: {}\r\n", self.body.len());
        message::finish(head, &self.body)
    }
}

/// The reason phrase of a status code (RFC 2326 section 7.1.1).
fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        453 => "Not Enough Bandwidth",
        454 => "Session Not Found",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Time-out",
        _ => "Status",
    }
}

/// Reads a stream of messages.
#[derive(Debug)]
pub struct Parser {
    limits: Limits,
    buffer: Buffer,
    head: Option<(Start, Headers, usize)>,
    failed: Option<Fault>,
}

impl Default for Parser {
    fn default() -> Self {
        Parser { limits: LIMITS, buffer: Buffer::default(), head: None, failed: None }
    }
}

impl Parser {
    /// Adds received bytes. They are discarded after an error.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.failed.is_none() {
            self.buffer.feed(bytes);
        }
    }

    /// Whether a message has been received in part.
    pub fn is_mid_message(&self) -> bool {
        self.head.is_some() || !self.buffer.rest().is_empty()
    }

    /// Returns the next complete message, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// The stream can't be read. The error is final and returned by each further call.
    pub fn poll(&mut self) -> Result<Option<Message>, Fault> {
        if let Some(f) = self.failed {
            return Err(f);
        }
        let result = self.try_next();
        if let Err(f) = result {
            (self.failed, self.buffer, self.head) = (Some(f), Buffer::default(), None);
        }
        result
    }

    fn try_next(&mut self) -> Result<Option<Message>, Fault> {
        if self.head.is_none() {
            if self.buffer.rest().is_empty() {
                return Ok(None);
            }
            let Some(length) = self.buffer.head(&self.limits)? else { return Ok(None) };
            self.head = Some(read_head(&self.buffer.rest()[..length], length, &self.limits)?);
            self.buffer.take(length);
        }
        match self.head.take() {
            Some((start, headers, size)) if self.buffer.rest().len() >= size => {
                let body = self.buffer.rest()[..size].to_vec();
                self.buffer.take(size);
                Ok(Some(Message { start, headers, body }))
            }
            head => {
                self.head = head;
                Ok(None)
            }
        }
    }
}

fn read_head(head: &[u8], length: usize, limits: &Limits) -> Result<(Start, Headers, usize), Fault> {
    let end = head.iter().position(|&b| b == b'\n').unwrap_or(0);
    let start = first_line(&head[..end.saturating_sub(1)])?;
    let headers = fields(&head[end + 1..], limits)?;
    let lengths: Vec<&str> = headers.all("content-length").collect();
    let &[size] = lengths.as_slice() else { return fault(411, "exactly one content length is required") };
    if size.is_empty() || size.len() > 9 || !size.bytes().all(|b| b.is_ascii_digit()) {
        return fault(400, "the content length is not a number or far too large");
    }
    let size: usize = size.parse().unwrap_or(usize::MAX);
    if size.saturating_add(length) > limits.body {
        return fault(413, "the message is too long");
    }
    Ok((start, headers, size))
}

fn first_line(line: &[u8]) -> Result<Start, Fault> {
    if line.starts_with(b"RTSP/1.0 ") {
        return match status_code(&line[b"RTSP/1.0".len()..]) {
            Some(status) => Ok(Start::Response { status }),
            None => fault(400, "the first line is not a status line"),
        };
    }
    let mut parts = line.split(|&b| b == b' ');
    let (Some(method), Some(address), Some(b"RTSP/1.0"), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return fault(400, "the first line is neither a request line nor a status line");
    };
    if method.is_empty() || !method.iter().all(|&b| is_token(b)) {
        return fault(400, "the method is not a token");
    }
    if address.is_empty() || !address.iter().all(u8::is_ascii_graphic) {
        return fault(400, "the address contains characters that are not allowed in a URI");
    }
    let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
    Ok(Start::Request { method: text(method), address: text(address) })
}

//! Incremental parsing and framing of HTTP/1.1 messages (RFC 9112).
//!
//! A parser is fed received bytes and returns complete messages. It has one buffer for its connection and remembers how far
//! it has scanned, so each byte is scanned once. It is strict where leniency would let two parties read a message
//! differently: bare LF, folded fields, white space before a colon, and repeated or mixed framing fields are errors, and no
//! message is returned after an error.

pub use crate::bounds::{Fault, Limits};
use crate::head::{Buffer, fault, fields, is_token, status_code, text};
use crate::message::{Headers, Method, Request, Response};

/// How the end of a message's content is determined (RFC 9112 section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// The state of reading chunked content (RFC 9112 section 7.1).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Chunk {
    Size,
    Data(usize),
    DataEnd,
    /// The number of trailers that were read and dropped.
    Trailer(usize),
}

#[derive(Debug)]
enum State<H> {
    Head,
    Body { head: H, framing: Framing, chunk: Chunk, body: Vec<u8> },
    Failed(Fault),
}

/// The framing of a message's content; `None` if the fields do not determine it.
fn framing(headers: &Headers, limits: &Limits) -> Result<Option<Framing>, Fault> {
    let (mut lengths, mut codings) = (headers.all("content-length"), headers.all("transfer-encoding"));
    let (length, coding) = (lengths.next(), codings.next());
    if lengths.next().is_some() {
        return fault(400, "two content lengths");
    }
    if codings.next().is_some() {
        return fault(400, "two transfer encodings");
    }
    match (length, coding) {
        (Some(_), Some(_)) => fault(400, "content length beside a transfer encoding"),
        (None, None) => Ok(None),
        (None, Some(c)) if c.eq_ignore_ascii_case("chunked") => Ok(Some(Framing::Chunked)),
        (None, Some(_)) => fault(501, "a transfer encoding other than chunked"),
        (Some(l), None) => {
            if l.is_empty() || l.len() > 19 || !l.bytes().all(|b| b.is_ascii_digit()) {
                return fault(400, "the content length is no number");
            }
            let n: u64 = l.parse().unwrap_or(u64::MAX);
            if n > limits.body as u64 {
                return fault(413, "the content is too large");
            }
            Ok(Some(Framing::Length(n as usize)))
        }
    }
}

/// Whether the connection persists (RFC 9112 section 9.3).
fn keep_alive(minor: u8, headers: &Headers) -> bool {
    if minor == 0 { headers.lists("connection", "keep-alive") } else { !headers.lists("connection", "close") }
}

fn version(v: &[u8]) -> Result<u8, Fault> {
    match v {
        b"HTTP/1.1" => Ok(1),
        b"HTTP/1.0" => Ok(0),
        _ if v.starts_with(b"HTTP/") => fault(505, "a version other than HTTP/1.1 and HTTP/1.0"),
        _ => fault(400, "the first line has no version"),
    }
}

/// Moves content from the buffer to `body`; returns true when it is complete.
fn body(
    buffer: &mut Buffer, framing: &mut Framing, chunk: &mut Chunk, body: &mut Vec<u8>, limits: &Limits,
) -> Result<bool, Fault> {
    loop {
        match framing {
            Framing::Length(n) => {
                let part = buffer.rest().len().min(*n - body.len());
                body.extend_from_slice(&buffer.rest()[..part]);
                buffer.take(part);
                return Ok(body.len() == *n);
            }
            Framing::UntilClose => {
                let part = buffer.rest().len();
                if body.len() + part > limits.body {
                    return fault(413, "the content is too large");
                }
                body.extend_from_slice(buffer.rest());
                buffer.take(part);
                return Ok(false);
            }
            Framing::Chunked => match *chunk {
                Chunk::Size => {
                    let Some(n) = buffer.line(256, "a chunk's size line is too long")? else {
                        return Ok(false);
                    };
                    let line = &buffer.rest()[..n];
                    let digits = line.split(|&b| b == b';').next().unwrap_or(b"").trim_ascii_end();
                    if digits.is_empty()
                        || digits.len() > 15
                        || !digits.iter().all(u8::is_ascii_hexdigit)
                        || line.iter().any(|&b| b == b'\r' || b == 0)
                    {
                        return fault(400, "a chunk's size is no number");
                    }
                    let size = digits
                        .iter()
                        .fold(0usize, |a, &d| a * 16 + (d as char).to_digit(16).unwrap_or(0) as usize);
                    buffer.take(n + 2);
                    if body.len().saturating_add(size) > limits.body {
                        return fault(413, "the content is too large");
                    }
                    *chunk = if size == 0 { Chunk::Trailer(0) } else { Chunk::Data(size) };
                }
                Chunk::Data(left) => {
                    let part = buffer.rest().len().min(left);
                    if part == 0 {
                        return Ok(false);
                    }
                    body.extend_from_slice(&buffer.rest()[..part]);
                    buffer.take(part);
                    *chunk = if part == left { Chunk::DataEnd } else { Chunk::Data(left - part) };
                }
                Chunk::DataEnd => {
                    if buffer.rest().len() < 2 {
                        return Ok(false);
                    }
                    if !buffer.rest().starts_with(b"\r\n") {
                        return fault(400, "a chunk does not end where it said");
                    }
                    buffer.take(2);
                    *chunk = Chunk::Size;
                }
                Chunk::Trailer(read) => {
                    let Some(n) = buffer.line(1024, "a trailer is too long")? else { return Ok(false) };
                    buffer.take(n + 2);
                    if n == 0 {
                        *chunk = Chunk::Size;
                        return Ok(true);
                    }
                    // Trailers are read and dropped (RFC 9112 section 7.1.2), as many as a head may have fields.
                    if n > limits.head {
                        return fault(431, "a trailer is too long");
                    }
                    if read == limits.fields {
                        return fault(431, "too many trailers");
                    }
                    *chunk = Chunk::Trailer(read + 1);
                }
            },
        }
    }
}

/// Parses requests, for a server.
#[derive(Debug)]
pub struct RequestParser {
    limits: Limits,
    buffer: Buffer,
    state: State<(Method, String, Headers, bool)>,
    /// The client waits for an interim response before it sends the content.
    continue_pending: bool,
    /// Number of empty lines skipped before the request.
    blank_lines: usize,
}

impl RequestParser {
    /// Creates a parser for one connection.
    pub fn new(limits: Limits) -> Self {
        let (buffer, state) = (Buffer::default(), State::Head);
        RequestParser { limits, buffer, state, continue_pending: false, blank_lines: 0 }
    }

    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.feed(bytes);
    }

    /// Number of buffered bytes that belong to no returned message.
    pub fn pending(&self) -> usize {
        self.buffer.rest().len()
    }

    /// Whether a part of a request has been received.
    pub fn is_mid_message(&self) -> bool {
        !matches!(self.state, State::Head) || self.pending() > 0
    }

    /// Whether a `100 Continue` has to be sent now; true once for each request that expects one.
    pub fn wants_continue(&mut self) -> bool {
        std::mem::take(&mut self.continue_pending)
    }

    /// The next complete request. An error is final and is returned by each further call.
    pub fn poll(&mut self) -> Result<Option<Request>, Fault> {
        match self.poll_message() {
            Err(f) => {
                self.state = State::Failed(f);
                self.buffer = Buffer::default();
                Err(f)
            }
            ok => ok,
        }
    }

    fn poll_message(&mut self) -> Result<Option<Request>, Fault> {
        loop {
            match &mut self.state {
                State::Failed(f) => return Err(*f),
                State::Head => {
                    // An empty line before a request is passed over (RFC 9112 section 2.2), a few times only.
                    while self.buffer.rest().starts_with(b"\r\n") {
                        self.blank_lines += 1;
                        if self.blank_lines > 4 {
                            return fault(400, "empty lines in place of a request");
                        }
                        self.buffer.take(2);
                    }
                    if self.buffer.rest().is_empty() || self.buffer.rest() == b"\r" {
                        return Ok(None);
                    }
                    let Some(length) = self.buffer.head(&self.limits)? else { return Ok(None) };
                    let (head, framing) = request_head(&self.buffer.rest()[..length], &self.limits)?;
                    self.buffer.take(length);
                    self.blank_lines = 0;
                    self.continue_pending = match head.2.get("expect") {
                        None => false,
                        Some(e) if e.eq_ignore_ascii_case("100-continue") => framing != Framing::Length(0),
                        Some(_) => return fault(417, "an expectation other than 100-continue"),
                    };
                    self.state = State::Body { head, framing, chunk: Chunk::Size, body: Vec::new() };
                }
                State::Body { framing, chunk, body: content, .. } => {
                    if !body(&mut self.buffer, framing, chunk, content, &self.limits)? {
                        return Ok(None);
                    }
                    let State::Body { head, body, .. } = std::mem::replace(&mut self.state, State::Head)
                    else {
                        return Ok(None);
                    };
                    let (method, target, headers, keep_alive) = head;
                    self.continue_pending = false;
                    return Ok(Some(Request { method, target, headers, body, keep_alive }));
                }
            }
        }
    }
}

type RequestHead = (Method, String, Headers, bool);

fn request_head(head: &[u8], limits: &Limits) -> Result<(RequestHead, Framing), Fault> {
    let end = head.iter().position(|&b| b == b'\n').unwrap_or(0);
    let line = &head[..end.saturating_sub(1)];
    let mut parts = line.split(|&b| b == b' ');
    let (method, target, v) = (parts.next(), parts.next(), parts.next());
    let (Some(method), Some(target), Some(v), None) = (method, target, v, parts.next()) else {
        return fault(400, "the first line is no request line");
    };
    if method.is_empty() || !method.iter().all(|&b| is_token(b)) {
        return fault(400, "the method is no token");
    }
    let minor = version(v)?;
    if target.is_empty() || !target.iter().all(u8::is_ascii_graphic) {
        return fault(400, "the target holds what no URI may");
    }
    if target[0] != b'/' && target != b"*" {
        return fault(400, "the target is no path");
    }
    let headers = fields(&head[end + 1..], limits)?;
    let hosts = headers.all("host").count();
    if hosts > 1 || (minor == 1 && hosts == 0) {
        return fault(400, "one host field is due");
    }
    if minor == 0 && headers.get("transfer-encoding").is_some() {
        return fault(400, "a transfer encoding in HTTP/1.0");
    }
    let framing = framing(&headers, limits)?.unwrap_or(Framing::Length(0));
    let keep = keep_alive(minor, &headers);
    Ok(((Method::of(method), text(target)?.to_owned(), headers, keep), framing))
}

/// Parses responses, for a client with one request in flight at a time.
#[derive(Debug)]
pub struct ResponseParser {
    limits: Limits,
    buffer: Buffer,
    state: State<(u16, Headers, bool)>,
    head_only: bool,
    streaming: bool,
}

impl ResponseParser {
    /// Creates a parser for one connection.
    pub fn new(limits: Limits) -> Self {
        let (buffer, state) = (Buffer::default(), State::Head);
        ResponseParser { limits, buffer, state, head_only: false, streaming: false }
    }

    /// Announces the next request: the response to a HEAD request has no content; the content of a stream is returned by
    /// [`Self::stream`] as it arrives.
    pub fn expect(&mut self, head_only: bool, streaming: bool) {
        (self.head_only, self.streaming) = (head_only, streaming);
    }

    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.feed(bytes);
    }

    /// Whether nothing of a response has been received.
    pub fn idle(&self) -> bool {
        matches!(self.state, State::Head) && self.buffer.rest().is_empty()
    }

    /// The next complete response, without interim ones (1xx). For a stream, only the head.
    pub fn poll(&mut self) -> Result<Option<Response>, Fault> {
        let result = self.poll_message();
        if let Err(f) = result {
            self.state = State::Failed(f);
            self.buffer = Buffer::default();
        }
        result
    }

    fn poll_message(&mut self) -> Result<Option<Response>, Fault> {
        loop {
            match &mut self.state {
                State::Failed(f) => return Err(*f),
                State::Head => {
                    let Some(length) = self.buffer.head(&self.limits)? else { return Ok(None) };
                    let head = &self.buffer.rest()[..length];
                    let end = head.iter().position(|&b| b == b'\n').unwrap_or(0);
                    let line = &head[..end.saturating_sub(1)];
                    let (v, rest) = line.split_at(line.len().min(8));
                    let minor = version(v)?;
                    let Some(status) = status_code(rest) else {
                        return fault(502, "the first line is no status line");
                    };
                    let headers = fields(&head[end + 1..], &self.limits)?;
                    let keep = keep_alive(minor, &headers);
                    self.buffer.take(length);
                    if status < 200 {
                        if status == 101 {
                            return fault(502, "a switch of protocols that nobody asked for");
                        }
                        continue;
                    }
                    let none = self.head_only || status == 204 || status == 304;
                    let framing = if none {
                        Framing::Length(0)
                    } else if self.streaming && status == 200 {
                        let framing = framing(&headers, &Limits { body: usize::MAX, ..self.limits })?;
                        let framing = framing.unwrap_or(Framing::UntilClose);
                        let (chunk, body) = (Chunk::Size, Vec::new());
                        let response = Response { status, headers, body: Vec::new(), keep_alive: false };
                        self.state =
                            State::Body { head: (0, Headers::default(), false), framing, chunk, body };
                        return Ok(Some(response));
                    } else {
                        framing(&headers, &self.limits)?.unwrap_or(Framing::UntilClose)
                    };
                    let keep = keep && framing != Framing::UntilClose;
                    let head = (status, headers, keep);
                    self.state = State::Body { head, framing, chunk: Chunk::Size, body: Vec::new() };
                }
                State::Body { framing, chunk, body: content, .. } => {
                    if !body(&mut self.buffer, framing, chunk, content, &self.limits)? {
                        return Ok(None);
                    }
                    return Ok(self.finish());
                }
            }
        }
    }

    fn finish(&mut self) -> Option<Response> {
        let State::Body { head, body, .. } = std::mem::replace(&mut self.state, State::Head) else {
            return None;
        };
        let (status, headers, keep_alive) = head;
        Some(Response { status, headers, body, keep_alive })
    }

    /// The peer closed the connection. Returns the response that this completes, if its content extends to the close.
    pub fn close(&mut self) -> Option<Response> {
        match &self.state {
            State::Body { framing: Framing::UntilClose, head, .. } if head.0 > 0 => self.finish(),
            _ => None,
        }
    }

    /// Whether a stream's content has an explicit end, so that an earlier close is an error.
    pub fn stream_is_framed(&self) -> bool {
        matches!(&self.state, State::Body { framing, .. } if *framing != Framing::UntilClose)
    }

    /// The streamed content received since the last call, and whether it is complete.
    pub fn stream(&mut self) -> Result<(Vec<u8>, bool), Fault> {
        let limits = Limits { body: usize::MAX, ..self.limits };
        let State::Body { framing, chunk, body: content, .. } = &mut self.state else {
            return Ok((Vec::new(), true));
        };
        let done = match framing {
            Framing::Length(n) => {
                let part = self.buffer.rest().len().min(*n);
                content.extend_from_slice(&self.buffer.rest()[..part]);
                self.buffer.take(part);
                *n -= part;
                *n == 0
            }
            _ => body(&mut self.buffer, framing, chunk, content, &limits)?,
        };
        Ok((std::mem::take(content), done))
    }
}

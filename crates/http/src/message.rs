//! Requests and responses and their encoding (RFC 9112).

use std::fmt::Write as _;

/// A request method (RFC 9110 section 9; PATCH: RFC 5789).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[allow(missing_docs)]
pub enum Method {
    Get,
    Head,
    Post,
    Put,
    Patch,
    Delete,
    Options,
    /// Any other token.
    Other,
}

impl Method {
    /// The method with this token.
    pub fn of(token: &[u8]) -> Self {
        match token {
            b"GET" => Method::Get,
            b"HEAD" => Method::Head,
            b"POST" => Method::Post,
            b"PUT" => Method::Put,
            b"PATCH" => Method::Patch,
            b"DELETE" => Method::Delete,
            b"OPTIONS" => Method::Options,
            _ => Method::Other,
        }
    }

    /// The token of the method; `Other` is never sent.
    pub fn token(self) -> &'static str {
        match self {
            Method::Get => "GET",
            Method::Head => "HEAD",
            Method::Post => "POST",
            Method::Put => "PUT",
            Method::Patch => "PATCH",
            Method::Delete => "DELETE",
            Method::Options => "OPTIONS",
            Method::Other => "OTHER",
        }
    }
}

/// Header fields in order; names are stored in lower case.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Headers(pub Vec<(String, String)>);

impl Headers {
    /// The first value of a field; `name` in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// All values of a field, in order.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0.iter().filter(move |(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Appends a field; `name` in lower case.
    pub fn add(&mut self, name: &str, value: impl Into<String>) {
        self.0.push((name.into(), value.into()));
    }

    /// Whether a comma-separated list field contains a token, ignoring case.
    pub fn lists(&self, name: &str, token: &str) -> bool {
        self.all(name).flat_map(|v| v.split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
    }
}

/// A request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The request target as sent.
    pub target: String,
    /// The header fields.
    pub headers: Headers,
    /// The content.
    pub body: Vec<u8>,
    /// Whether the connection may be used for another request.
    pub keep_alive: bool,
}

impl Request {
    /// A request without content.
    pub fn new(method: Method, target: impl Into<String>) -> Self {
        let (target, headers) = (target.into(), Headers::default());
        Request { method, target, headers, body: Vec::new(), keep_alive: true }
    }

    /// Adds a header field.
    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.add(name, value);
        self
    }

    /// Sets the content and its type.
    pub fn content(mut self, kind: &str, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self.with("content-type", kind)
    }

    /// The target's path, without its query.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(self.target.as_str(), |(p, _)| p)
    }

    /// The media type of the content in lower case, without parameters (RFC 9110 section 8.3).
    pub fn media_type(&self) -> Option<String> {
        media_type(&self.headers)
    }

    /// Encodes the request for `host`.
    pub fn encode(&self, host: &str) -> Vec<u8> {
        let mut head = String::with_capacity(128 + self.headers.0.len() * 40);
        let _ = write!(head, "{} {} HTTP/1.1\r\nhost: {host}\r\n", self.method.token(), self.target);
        fields(&mut head, &self.headers);
        if !self.body.is_empty() || matches!(self.method, Method::Post | Method::Patch | Method::Put) {
            let _ = write!(head, "content-length: {}\r\n", self.body.len());
        }
        finish(head, &self.body)
    }
}

/// A response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub headers: Headers,
    /// The content.
    pub body: Vec<u8>,
    /// Whether the connection may be used for another request.
    pub keep_alive: bool,
}

impl Response {
    /// A response without content.
    pub fn new(status: u16) -> Self {
        Response { status, headers: Headers::default(), body: Vec::new(), keep_alive: true }
    }

    /// An error response with one line of text.
    pub fn problem(status: u16, what: &str) -> Self {
        Response::new(status).content("text/plain; charset=utf-8", format!("{what}\n"))
    }

    /// Adds a header field.
    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.add(name, value);
        self
    }

    /// Sets the content and its type.
    pub fn content(mut self, kind: &str, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self.with("content-type", kind)
    }

    /// The media type of the content in lower case, without parameters.
    pub fn media_type(&self) -> Option<String> {
        media_type(&self.headers)
    }

    /// Encodes the response. `head_only` is for HEAD requests: the content's length without the content.
    pub fn encode(&self, head_only: bool) -> Vec<u8> {
        let mut head = self.head();
        if self.status >= 200 && self.status != 204 && self.status != 304 {
            let _ = write!(head, "content-length: {}\r\n", self.body.len());
        }
        finish(head, if head_only { &[] } else { &self.body })
    }

    /// The head of a response whose content is streamed in chunks ([`chunk`]) until the empty one.
    pub fn encode_chunked(&self) -> Vec<u8> {
        let mut head = self.head();
        head.push_str("transfer-encoding: chunked\r\n");
        finish(head, &[])
    }

    fn head(&self) -> String {
        let mut head = String::with_capacity(128 + self.headers.0.len() * 40);
        let _ = write!(head, "HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        fields(&mut head, &self.headers);
        if !self.keep_alive {
            head.push_str("connection: close\r\n");
        }
        head
    }
}

/// A chunk of streamed content (RFC 9112 section 7.1); the empty one ends it.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut out = format!("{:x}\r\n", bytes.len()).into_bytes();
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
    out
}

fn media_type(headers: &Headers) -> Option<String> {
    let kind = headers.get("content-type")?;
    Some(kind.split(';').next().unwrap_or("").trim().to_ascii_lowercase())
}

/// Appends header fields to a head, one per line.
pub fn fields(head: &mut String, headers: &Headers) {
    for (name, value) in &headers.0 {
        // A line break inside a value would start a new field, so the value is truncated there.
        let value = value.split(['\r', '\n', '\0']).next().unwrap_or("");
        let _ = write!(head, "{name}: {value}\r\n");
    }
}

/// Completes a message: the head, an empty line and the content.
pub fn finish(head: String, body: &[u8]) -> Vec<u8> {
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

/// The reason phrase of a status code that the front uses (RFC 9110 section 15, RFC 6585).
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        414 => "URI Too Long",
        415 => "Unsupported Media Type",
        417 => "Expectation Failed",
        422 => "Unprocessable Content",
        428 => "Precondition Required",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Status",
    }
}

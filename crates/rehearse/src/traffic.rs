//! Messages read back from a record, by a parser that is not the front's.

use micadyke_standin::record::{End, Entry, What};
use std::collections::BTreeMap;

/// A message that passed a connection.
#[derive(Debug, Clone)]
pub(crate) struct Message {
    /// Time of its first and of its last byte.
    pub first: u64,
    pub last: u64,
    /// Method and target of a request; empty for a response.
    pub method: String,
    pub target: String,
    /// Status of a response; 0 for a request.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

/// All that passed one connection.
#[derive(Debug)]
pub(crate) struct Conversation {
    pub end: End,
    /// When it was opened.
    pub opened: u64,
    pub requests: Vec<Message>,
    pub responses: Vec<Message>,
    /// When this end closed it.
    pub closed: Option<u64>,
    /// When the other end was seen to close it.
    pub peer_closed: Option<u64>,
}

#[derive(Default)]
struct Flow {
    bytes: Vec<u8>,
    /// Offset at which bytes of a time begin.
    times: Vec<(usize, u64)>,
}

impl Flow {
    fn push(&mut self, at: u64, bytes: &[u8]) {
        self.times.push((self.bytes.len(), at));
        self.bytes.extend_from_slice(bytes);
    }

    fn time_of(&self, offset: usize) -> u64 {
        let i = self.times.partition_point(|(o, _)| *o <= offset);
        self.times.get(i.saturating_sub(1)).map_or(0, |t| t.1)
    }

    /// Splits the flow into messages; what is incomplete at its end, or malformed, ends the reading.
    fn messages(&self, requests: bool) -> Vec<Message> {
        let (mut all, mut at) = (Vec::new(), 0);
        while at < self.bytes.len() {
            let rest = &self.bytes[at..];
            let mut fields = [httparse::EMPTY_HEADER; 96];
            let copy = |h: &[httparse::Header]| -> Vec<(String, String)> {
                h.iter().map(|h| (h.name.to_owned(), String::from_utf8_lossy(h.value).into_owned())).collect()
            };
            let (head, method, target, status, headers) = if requests {
                let mut r = httparse::Request::new(&mut fields);
                match r.parse(rest) {
                    Ok(httparse::Status::Complete(n)) => (
                        n,
                        r.method.unwrap_or("").to_owned(),
                        r.path.unwrap_or("").to_owned(),
                        0,
                        copy(r.headers),
                    ),
                    _ => break,
                }
            } else {
                let mut r = httparse::Response::new(&mut fields);
                match r.parse(rest) {
                    Ok(httparse::Status::Complete(n)) => {
                        (n, String::new(), String::new(), r.code.unwrap_or(0), copy(r.headers))
                    }
                    _ => break,
                }
            };
            let find =
                |name: &str| headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|h| h.1.as_str());
            let stream = find("content-type") == Some("text/event-stream");
            let length = if stream || find("transfer-encoding").is_some() {
                rest.len() - head
            } else {
                find("content-length").and_then(|v| v.parse().ok()).unwrap_or(0)
            };
            if rest.len() - head < length {
                break;
            }
            let end = at + head + length;
            if status == 0 || status >= 200 {
                let (first, last) = (self.time_of(at), self.time_of(end - 1));
                let body = self.bytes[at + head..end].to_vec();
                all.push(Message { first, last, method, target, status, headers, body });
            }
            at = end;
        }
        all
    }
}

/// The conversations of a record, by connection.
pub(crate) fn conversations(entries: &[Entry]) -> Vec<Conversation> {
    struct Open {
        end: End,
        opened: u64,
        read: Flow,
        wrote: Flow,
        closed: Option<u64>,
        peer_closed: Option<u64>,
    }
    let mut open: BTreeMap<u64, Open> = BTreeMap::new();
    for e in entries {
        let c = open.entry(e.conn).or_insert_with(|| Open {
            end: e.end,
            opened: e.at,
            read: Flow::default(),
            wrote: Flow::default(),
            closed: None,
            peer_closed: None,
        });
        match &e.what {
            What::Opened => {}
            What::Read(bytes) => c.read.push(e.at, bytes),
            What::Wrote(bytes) => c.wrote.push(e.at, bytes),
            What::PeerClosed => c.peer_closed = c.peer_closed.or(Some(e.at)),
            What::Closed => c.closed = c.closed.or(Some(e.at)),
        }
    }
    let read = |c: Open| {
        let (requests, responses) = match c.end {
            End::Viewer(_) => (c.wrote.messages(true), c.read.messages(false)),
            End::Box(_) => (c.read.messages(true), c.wrote.messages(false)),
        };
        Conversation {
            end: c.end,
            opened: c.opened,
            requests,
            responses,
            closed: c.closed,
            peer_closed: c.peer_closed,
        }
    };
    open.into_values().map(read).collect()
}

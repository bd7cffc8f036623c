//! The reader of the event bus, without I/O: which events are new, when to ask again.

use crate::care;
use crate::error::Event;
use crate::io::ConnId;
use crate::list::{Change, change};
use micadyke::interface::Nanos;
use micadyke_http::sse;
use std::net::SocketAddr;

/// Bytes of one event at most; a longer one breaks the stream, which is asked for again.
const EVENT: usize = 1 << 20;

/// Follows the event bus from the number it holds.
#[derive(Debug)]
pub struct Follower {
    addr: SocketAddr,
    /// Number of the last event that was applied.
    last: u64,
    conn: Option<ConnId>,
    /// Since when its stream is open.
    open: Option<Nanos>,
    parser: sse::Parser,
    /// Last time that anything came, or that it was asked.
    heard: Nanos,
    /// Calls in a row that brought nothing.
    failed: u32,
    /// When to ask, while there is no connection.
    ask_at: Nanos,
    /// A gap was met at this number: once more, and it is taken as it comes.
    gap: Option<u64>,
}

/// What is to be done about the bus.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing now.
    Wait,
    /// Ask, on a new connection.
    Ask,
    /// Close this connection and ask again.
    Drop(ConnId),
}

impl Follower {
    /// A follower that holds all events up to `last`, and is to ask at once.
    pub fn new(addr: SocketAddr, last: u64, now: Nanos) -> Self {
        let parser = sse::Parser::new(EVENT);
        Follower { addr, last, conn: None, open: None, parser, heard: now, failed: 0, ask_at: now, gap: None }
    }

    /// Where the bus is.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Number of the last event that was applied.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Whether this is its connection.
    pub fn owns(&self, conn: ConnId) -> bool {
        self.conn == Some(conn)
    }

    /// What is to be done now.
    pub fn step(&self, now: Nanos) -> Step {
        match self.conn {
            None if now >= self.ask_at => Step::Ask,
            Some(conn) if now >= self.heard + care::BUS_SILENCE => Step::Drop(conn),
            _ => Step::Wait,
        }
    }

    /// When [`Self::step`] says something else than to wait, if nothing comes until then.
    pub fn due(&self) -> Nanos {
        if self.conn.is_some() { self.heard + care::BUS_SILENCE } else { self.ask_at }
    }

    /// It was asked on this connection.
    pub fn asked(&mut self, conn: ConnId, now: Nanos) {
        (self.conn, self.open, self.heard) = (Some(conn), None, now);
        self.parser = sse::Parser::new(EVENT);
    }

    /// The stream is open.
    pub fn opened(&mut self, now: Nanos) {
        (self.open, self.heard) = (Some(now), now);
    }

    /// Whether all that it had to tell when its stream opened has been told.
    pub fn caught_up(&self, now: Nanos) -> bool {
        self.open.is_some_and(|since| now >= since + care::CAUGHT_UP)
    }

    /// The connection is over: at once again after a stream that told something, else after a pause that grows.
    /// `lot` is a number from 0 to 1.
    pub fn closed(&mut self, now: Nanos, lot: f64) {
        (self.conn, self.open) = (None, None);
        self.ask_at = now + care::bus_pause(self.failed, lot);
        self.failed = self.failed.saturating_add(1);
    }

    /// The bus is elsewhere; the number stays.
    pub fn moved(&mut self, addr: SocketAddr, now: Nanos) -> Option<ConnId> {
        (self.addr, self.failed, self.ask_at, self.open) = (addr, 0, now, None);
        self.conn.take()
    }

    /// Takes bytes; changes that are new are appended to `out` in order. False: the stream is of no further use.
    pub fn feed(&mut self, bytes: &[u8], now: Nanos, out: &mut Vec<Change>) -> bool {
        self.heard = now;
        let comments = self.parser.comments();
        let mut events = Vec::new();
        let fits = self.parser.feed(bytes, &mut events).is_ok();
        if !events.is_empty() || self.parser.comments() > comments {
            self.failed = 0;
        }
        for event in events {
            let read = serde_json::from_str(&event.data)
                .map_err(|e| Event::NotJson(e.to_string()))
                .and_then(|v| change(&v));
            let change = match read {
                Ok(change) => change,
                Err(e) => {
                    tracing::warn!(
                        id = event.id,
                        advice = e.advice(),
                        "an event of the bus can't be read: {e}"
                    );
                    return self.doubt();
                }
            };
            if change.offset <= self.last {
                continue;
            }
            if change.offset > self.last + 1 && !change.full && self.gap != Some(self.last) {
                tracing::warn!(from = self.last, to = change.offset, "events of the bus are missing");
                return self.doubt();
            }
            self.last = change.offset;
            out.push(change);
        }
        fits
    }

    /// Something between here and the next event could not be read: it is asked for once more, and what then comes
    /// is taken as it comes, so that one bad event can't keep all later ones out.
    fn doubt(&mut self) -> bool {
        self.gap = Some(self.last);
        false
    }
}

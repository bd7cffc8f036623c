//! The reader of the event bus, without I/O: which events are new, when to ask again.

use crate::error::Event;
use crate::io::ConnId;
use crate::limits;
use crate::list::{Change, change};
use micadyke::interface::Nanos;
use micadyke_http::sse;
use std::net::SocketAddr;
use tracing::warn;

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
    /// Its stream told a new event, or one that is asked for once more: reason to ask again at once when it
    /// ends.
    useful: bool,
    /// Calls in a row that were of no use.
    failed: u32,
    /// Calls in a row whose stream did not open in time.
    hung: u32,
    /// When to ask, while there is no connection.
    ask_at: Nanos,
    /// What follows this number was asked for once more: now it is taken as it comes.
    gap: Option<u64>,
    /// The longest pause between calls.
    pause_most: Nanos,
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
    /// A follower that holds all events up to `last`, and is to ask at once. Its pauses between calls are no
    /// longer than `pause_most`.
    pub fn new(addr: SocketAddr, last: u64, pause_most: Nanos, now: Nanos) -> Self {
        Follower {
            addr,
            last,
            conn: None,
            open: None,
            parser: sse::Parser::new(EVENT),
            heard: now,
            useful: false,
            failed: 0,
            hung: 0,
            ask_at: now,
            gap: None,
            pause_most,
        }
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

    /// Whether its stream is open.
    pub fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// What is to be done now.
    pub fn step(&self, now: Nanos) -> Step {
        match self.conn {
            None if now >= self.ask_at => Step::Ask,
            Some(conn) if now >= self.limit() => Step::Drop(conn),
            _ => Step::Wait,
        }
    }

    /// When [`Self::step`] says something else than to wait, if nothing comes until then.
    pub fn due(&self) -> Nanos {
        if self.conn.is_some() { self.limit() } else { self.ask_at }
    }

    /// When its connection is given up, if nothing comes until then.
    fn limit(&self) -> Nanos {
        self.heard + if self.is_open() { limits::bus::SILENCE } else { limits::bus::call_timeout(self.hung) }
    }

    /// It was asked on this connection.
    pub fn asked(&mut self, conn: ConnId, now: Nanos) {
        (self.conn, self.open, self.heard, self.useful) = (Some(conn), None, now, false);
        self.parser = sse::Parser::new(EVENT);
    }

    /// The stream is open.
    pub fn opened(&mut self, now: Nanos) {
        (self.open, self.heard) = (Some(now), now);
    }

    /// Whether all that it had to tell when its stream opened has been told.
    pub fn caught_up(&self, now: Nanos) -> bool {
        self.open.is_some_and(|since| now >= since + limits::bus::CAUGHT_UP)
    }

    /// The connection is over: at once again after a stream that told something new or lived for a while,
    /// else after a pause that grows. `lot` is a number from 0 to 1.
    pub fn closed(&mut self, now: Nanos, lot: f64) {
        let hung = !self.is_open() && now >= self.limit();
        self.hung = if hung { self.hung.saturating_add(1) } else { 0 };
        if self.useful || self.open.is_some_and(|since| now >= since + limits::bus::STEADY) {
            self.failed = 0;
        }
        self.ask_at = now + limits::bus::pause(self.failed, self.pause_most, lot);
        self.failed = self.failed.saturating_add(1);
        (self.conn, self.open) = (None, None);
    }

    /// The bus is elsewhere; the number stays, and whatever the old one did is no word on the new one.
    pub fn moved(&mut self, addr: SocketAddr, now: Nanos) -> Option<ConnId> {
        (self.addr, self.ask_at, self.open) = (addr, now, None);
        (self.failed, self.hung, self.gap) = (0, 0, None);
        self.conn.take()
    }

    /// Takes bytes; changes that are new are appended to `out` in order. False: the stream is of no further
    /// use.
    pub fn feed(&mut self, bytes: &[u8], now: Nanos, out: &mut Vec<Change>) -> bool {
        self.heard = now;
        // By lines, so that one which is too long takes nothing along that follows it.
        bytes.split_inclusive(|b| *b == b'\n').all(|line| self.line(line, out))
    }

    /// Takes a line, or a part of one.
    fn line(&mut self, line: &[u8], out: &mut Vec<Change>) -> bool {
        let mut events = Vec::new();
        if self.parser.feed(line, &mut events).is_err() {
            warn!(limit = EVENT, "an event of the bus is too long");
            self.parser = sse::Parser::new(EVENT);
            return self.doubted();
        }
        events.iter().all(|event| self.event(event, out))
    }

    /// Takes an event.
    fn event(&mut self, event: &sse::Event, out: &mut Vec<Change>) -> bool {
        let change = match read(&event.data) {
            Ok(change) => change,
            Err(e) => {
                warn!(id = event.id, advice = e.advice(), "an event of the bus can't be read: {e}");
                return self.doubted();
            }
        };
        if change.offset <= self.last {
            return true;
        }
        let gap = change.offset > self.last.saturating_add(1) && !change.full;
        if gap && self.gap != Some(self.last) {
            warn!(from = self.last, to = change.offset, "events of the bus are missing");
        }
        if gap && !self.doubted() {
            return false;
        }
        (self.last, self.useful) = (change.offset, true);
        out.push(change);
        true
    }

    /// What follows the last number can't be had as it is. False: it is to be asked for once more. True: it
    /// has been, and what comes is taken as it comes, so that one bad event can't keep all later ones out.
    fn doubted(&mut self) -> bool {
        if self.gap == Some(self.last) {
            return true;
        }
        (self.gap, self.useful) = (Some(self.last), true);
        false
    }
}

/// Reads an event from its text.
fn read(text: &str) -> Result<Change, Event> {
    let value = serde_json::from_str(text).map_err(|e| Event::NotJson(e.to_string()))?;
    change(&value)
}

//! Client of the event bus, without I/O: filters new events and decides when to connect.

use crate::error::EventError;
use crate::io::ConnId;
use crate::limits;
use crate::list::{ListChange, parse_change};
use micadyke::interface::Nanos;
use micadyke_http::sse;
use std::net::SocketAddr;
use tracing::warn;

/// Maximum bytes of one event. After a longer one the stream is reopened.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Follows the event bus from the last applied event.
#[derive(Debug)]
pub struct Follower {
    addr: SocketAddr,
    /// Number of the last event that was applied.
    last: u64,
    conn: Option<ConnId>,
    /// Since when the stream has been open.
    open_since: Option<Nanos>,
    parser: sse::Parser,
    /// Time of the last received data, or of the connection attempt.
    last_received: Nanos,
    /// The stream delivered a new event, or one that has to be requested again. The next call is then made without a pause.
    progressed: bool,
    /// Consecutive calls without progress.
    failed_calls: u32,
    /// Consecutive calls whose stream did not open in time.
    hung_calls: u32,
    /// When to connect, if there is no connection.
    connect_at: Nanos,
    /// Events after this number were requested again; they are now accepted as they come.
    retried_after: Option<u64>,
    /// Maximum pause between calls.
    max_pause: Nanos,
}

/// The next action on the bus connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing to do.
    Wait,
    /// Open a new connection.
    Connect,
    /// Close this connection and open another.
    Close(ConnId),
}

impl Follower {
    /// Creates a follower that has all events up to `last` and connects at once. Pauses between calls are at most
    /// `max_pause`.
    pub fn new(addr: SocketAddr, last: u64, max_pause: Nanos, now: Nanos) -> Self {
        Follower {
            addr,
            last,
            conn: None,
            open_since: None,
            parser: sse::Parser::new(MAX_EVENT_BYTES),
            last_received: now,
            progressed: false,
            failed_calls: 0,
            hung_calls: 0,
            connect_at: now,
            retried_after: None,
            max_pause,
        }
    }

    /// The address of the bus.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Number of the last event that was applied.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Whether `conn` is the connection to the bus.
    pub fn owns(&self, conn: ConnId) -> bool {
        self.conn == Some(conn)
    }

    /// Whether the stream is open.
    pub fn is_open(&self) -> bool {
        self.open_since.is_some()
    }

    /// The next action.
    pub fn next_step(&self, now: Nanos) -> Step {
        match self.conn {
            None if now >= self.connect_at => Step::Connect,
            Some(conn) if now >= self.silence_deadline() => Step::Close(conn),
            _ => Step::Wait,
        }
    }

    /// When [`Self::next_step`] has to be called if nothing is received until then.
    pub fn wake_at(&self) -> Nanos {
        if self.conn.is_some() { self.silence_deadline() } else { self.connect_at }
    }

    /// When the connection times out if nothing is received until then.
    fn silence_deadline(&self) -> Nanos {
        self.last_received
            + if self.is_open() {
                limits::bus::SILENCE_TIMEOUT
            } else {
                limits::bus::call_timeout(self.hung_calls)
            }
    }

    /// A connection attempt has started.
    pub fn connecting(&mut self, conn: ConnId, now: Nanos) {
        (self.conn, self.open_since, self.last_received, self.progressed) = (Some(conn), None, now, false);
        self.parser = sse::Parser::new(MAX_EVENT_BYTES);
    }

    /// The stream was opened.
    pub fn stream_opened(&mut self, now: Nanos) {
        (self.open_since, self.last_received) = (Some(now), now);
    }

    /// Whether all events that were due when the stream opened have been received.
    pub fn caught_up(&self, now: Nanos) -> bool {
        self.open_since.is_some_and(|since| now >= since + limits::bus::CATCH_UP_TIME)
    }

    /// The connection was closed. The next call is made at once after a stream that made progress or was stable, otherwise
    /// after a growing pause. `jitter` is a number from 0 to 1.
    pub fn closed(&mut self, now: Nanos, jitter: f64) {
        let timed_out = !self.is_open() && now >= self.silence_deadline();
        self.hung_calls = if timed_out { self.hung_calls.saturating_add(1) } else { 0 };
        if self.progressed || self.open_since.is_some_and(|since| now >= since + limits::bus::STABLE_AFTER) {
            self.failed_calls = 0;
        }
        self.connect_at = now + limits::bus::retry_pause(self.failed_calls, self.max_pause, jitter);
        self.failed_calls = self.failed_calls.saturating_add(1);
        (self.conn, self.open_since) = (None, None);
    }

    /// Changes the address of the bus. The last event number is kept; failures of the old address are forgotten.
    pub fn set_addr(&mut self, addr: SocketAddr, now: Nanos) -> Option<ConnId> {
        (self.addr, self.connect_at, self.open_since) = (addr, now, None);
        (self.failed_calls, self.hung_calls, self.retried_after) = (0, 0, None);
        self.conn.take()
    }

    /// Processes received bytes; new changes are appended to `out` in order. Returns false if the stream has to be closed.
    pub fn feed(&mut self, bytes: &[u8], now: Nanos, out: &mut Vec<ListChange>) -> bool {
        self.last_received = now;
        // Line by line, so that an event that is too long does not affect those after it.
        bytes.split_inclusive(|b| *b == b'\n').all(|line| self.feed_line(line, out))
    }

    /// Processes a line or a part of one.
    fn feed_line(&mut self, line: &[u8], out: &mut Vec<ListChange>) -> bool {
        let mut events = Vec::new();
        if self.parser.feed(line, &mut events).is_err() {
            warn!(limit = MAX_EVENT_BYTES, "an event of the bus is too long");
            self.parser = sse::Parser::new(MAX_EVENT_BYTES);
            return self.retry_once();
        }
        events.iter().all(|event| self.apply_event(event, out))
    }

    /// Processes an event.
    fn apply_event(&mut self, event: &sse::Event, out: &mut Vec<ListChange>) -> bool {
        let change = match parse_event(&event.data) {
            Ok(change) => change,
            Err(e) => {
                warn!(id = event.id, advice = e.advice(), "an event of the bus can't be read: {e}");
                return self.retry_once();
            }
        };
        if change.offset <= self.last {
            return true;
        }
        let gap = change.offset > self.last.saturating_add(1) && !change.full;
        if gap && self.retried_after != Some(self.last) {
            warn!(from = self.last, to = change.offset, "events of the bus are missing");
        }
        if gap && !self.retry_once() {
            return false;
        }
        (self.last, self.progressed) = (change.offset, true);
        out.push(change);
        true
    }

    /// The events after the last number are missing or unreadable. Returns false if they have to be requested again, and
    /// true if that has been done: the following events are then accepted, so that one bad event can't block all later ones.
    fn retry_once(&mut self) -> bool {
        if self.retried_after == Some(self.last) {
            return true;
        }
        (self.retried_after, self.progressed) = (Some(self.last), true);
        false
    }
}

/// Parses the text of an event.
fn parse_event(text: &str) -> Result<ListChange, EventError> {
    let value = serde_json::from_str(text).map_err(|e| EventError::NotJson(e.to_string()))?;
    parse_change(&value)
}

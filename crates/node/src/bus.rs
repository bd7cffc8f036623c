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
///
/// While no stream is open, a call never keeps the next one from being made: a call that has not connected is joined by
/// another within the drain grace, as the operating system retransmits a lost connection attempt only after pauses of
/// seconds, and a call whose answer is late is joined by another after a time that grows.
#[derive(Debug)]
pub struct Follower {
    addr: SocketAddr,
    /// Number of the last event that was applied.
    last: u64,
    stream: Option<Stream>,
    /// When something was last received, on whatever stream; 0 before.
    last_heard: Nanos,
    /// Calls whose stream is not open yet, at most two that connect and two that wait for an answer. The newest is last.
    calls: Vec<Call>,
    parser: sse::Parser,
    /// The stream delivered a new event, or one that has to be requested again. The next call is then made without a pause.
    progressed: bool,
    /// Consecutive calls without progress.
    failed_calls: u32,
    /// Consecutive calls that connected and were not answered in time.
    hung_calls: u32,
    /// When to make the next call, if no stream is open.
    next_call_at: Nanos,
    /// Events after this number were requested again; they are now accepted as they come.
    retried_after: Option<u64>,
    /// Maximum pause between calls.
    max_pause: Nanos,
}

/// An open stream.
#[derive(Debug, Clone, Copy)]
struct Stream {
    conn: ConnId,
    open_since: Nanos,
    /// When data was last received.
    last_received: Nanos,
}

/// A call whose stream is not open yet.
#[derive(Debug, Clone, Copy)]
struct Call {
    conn: ConnId,
    started_at: Nanos,
    /// When the connection was established, which is when the bus was last known to be reachable.
    connected_at: Option<Nanos>,
}

/// The next action on the event bus.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing to do.
    Wait,
    /// Make a call on a new connection, beside those that are out.
    Connect,
    /// Close the connection of the open stream, which is silent.
    Close(ConnId),
}

/// What the bus does while no stream is open, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outage {
    /// No call is out.
    NoCall,
    /// No connection to the bus comes up.
    Unreachable,
    /// The newest call is connected and has no answer yet.
    Unanswered,
}

impl Follower {
    /// Creates a follower that has all events up to `last` and connects at once. Pauses between calls are at most
    /// `max_pause`.
    pub fn new(addr: SocketAddr, last: u64, max_pause: Nanos, now: Nanos) -> Self {
        Follower {
            addr,
            last,
            stream: None,
            last_heard: 0,
            calls: Vec::new(),
            parser: sse::Parser::new(MAX_EVENT_BYTES),
            progressed: false,
            failed_calls: 0,
            hung_calls: 0,
            next_call_at: now,
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

    /// Whether `conn` is a connection to the bus.
    pub fn owns(&self, conn: ConnId) -> bool {
        self.streams_on(conn) || self.calls.iter().any(|call| call.conn == conn)
    }

    /// Whether `conn` is the connection of the open stream.
    pub fn streams_on(&self, conn: ConnId) -> bool {
        self.stream.is_some_and(|stream| stream.conn == conn)
    }

    /// Whether the stream is open.
    pub fn is_open(&self) -> bool {
        self.stream.is_some()
    }

    /// When the bus was last heard; 0 before it was.
    pub fn last_heard(&self) -> Nanos {
        self.last_heard
    }

    /// What the bus does while no stream is open.
    pub fn outage(&self) -> Outage {
        match self.calls.last() {
            None => Outage::NoCall,
            Some(Call { connected_at: None, .. }) => Outage::Unreachable,
            Some(Call { connected_at: Some(_), .. }) => Outage::Unanswered,
        }
    }

    /// The next action.
    pub fn next_step(&self, now: Nanos) -> Step {
        match self.stream {
            _ if now < self.wake_at() => Step::Wait,
            Some(stream) => Step::Close(stream.conn),
            None => Step::Connect,
        }
    }

    /// When [`Self::next_step`] has to be called if nothing is received until then.
    pub fn wake_at(&self) -> Nanos {
        match self.stream {
            Some(stream) => stream.last_received + limits::bus::SILENCE_TIMEOUT,
            None => self.next_call_at,
        }
    }

    /// A call was started on this connection. Returns the connections of calls that it replaces, which have to be closed.
    /// `jitter` is a number from 0 to 1.
    pub fn call_started(&mut self, conn: ConnId, now: Nanos, jitter: f64) -> Vec<ConnId> {
        if self.newest_is_overdue(now) {
            self.hung_calls = self.hung_calls.saturating_add(1);
        }
        // The oldest attempt is kept, for a bus whose connections take longer to come up than the next attempt is away.
        let mut has_patient_attempt = false;
        let replaced = self.remove_calls(|call| {
            let is_patient_attempt = call.connected_at.is_none()
                && !has_patient_attempt
                && now < call.started_at + limits::bus::MAX_CONNECT_TIMEOUT;
            has_patient_attempt |= is_patient_attempt;
            call.connected_at.is_some() || is_patient_attempt
        });
        self.calls.push(Call { conn, started_at: now, connected_at: None });
        self.next_call_at = now + limits::bus::connect_interval(self.max_pause, jitter);
        replaced
    }

    /// Whether the newest call is connected and was not answered in time.
    fn newest_is_overdue(&self, now: Nanos) -> bool {
        let connected_at = self.calls.last().and_then(|call| call.connected_at);
        connected_at.is_some_and(|at| now >= at + limits::bus::answer_timeout(self.hung_calls))
    }

    /// A call's connection was established. Returns the connections of calls that are given up for it, which have to be
    /// closed.
    pub fn connected(&mut self, conn: ConnId, now: Nanos) -> Vec<ConnId> {
        let Some(index) = self.calls.iter().position(|call| call.conn == conn) else { return Vec::new() };
        // The newest of the calls that wait for an answer, whichever was started first.
        let call = Call { connected_at: Some(now), ..self.calls.remove(index) };
        let mut given_up = self.remove_calls(|other| other.connected_at.is_some());
        if self.calls.len() >= limits::bus::MAX_WAITING_CALLS {
            given_up.push(self.calls.remove(0).conn);
        }
        self.calls.push(call);
        self.next_call_at = now + limits::bus::answer_timeout(self.hung_calls);
        given_up
    }

    /// A call's stream was opened. Returns the connections of the other calls, which have to be closed.
    pub fn stream_opened(&mut self, conn: ConnId, now: Nanos) -> Vec<ConnId> {
        if !self.calls.iter().any(|call| call.conn == conn) {
            return Vec::new();
        }
        self.stream = Some(Stream { conn, open_since: now, last_received: now });
        self.last_heard = now;
        (self.progressed, self.hung_calls) = (false, 0);
        self.parser = sse::Parser::new(MAX_EVENT_BYTES);
        let mut others = self.remove_calls(|_| false);
        others.retain(|other| *other != conn);
        others
    }

    /// Removes the calls that are not to be kept and returns their connections.
    fn remove_calls(&mut self, mut keep: impl FnMut(&Call) -> bool) -> Vec<ConnId> {
        let removed = self.calls.extract_if(.., |call| !keep(call));
        removed.map(|call| call.conn).collect()
    }

    /// Whether all events that were due when the stream opened have been received.
    pub fn caught_up(&self, now: Nanos) -> bool {
        self.stream.is_some_and(|stream| now >= stream.open_since + limits::bus::CATCH_UP_TIME)
    }

    /// A connection was closed. The next call is made at once after a stream that made progress or was stable, otherwise
    /// after a growing pause. `jitter` is a number from 0 to 1.
    pub fn closed(&mut self, conn: ConnId, now: Nanos, jitter: f64) {
        let stream = self.stream.take_if(|stream| stream.conn == conn);
        let was_stable = |stream: Stream| now >= stream.open_since + limits::bus::STABLE_AFTER;
        if stream.is_some_and(|stream| self.progressed || was_stable(stream)) {
            self.failed_calls = 0;
        }
        self.calls.retain(|call| call.conn != conn);
        let retry_at = now + limits::bus::retry_pause(self.failed_calls, self.max_pause, jitter);
        // A call that is out never puts off the next one.
        self.next_call_at = if stream.is_some() { retry_at } else { retry_at.min(self.next_call_at) };
        self.failed_calls = self.failed_calls.saturating_add(1);
        self.hung_calls = 0;
    }

    /// Changes the address of the bus. The last event number is kept; failures of the old address are forgotten. Returns the
    /// connections to the old address, which have to be closed.
    pub fn set_addr(&mut self, addr: SocketAddr, now: Nanos) -> Vec<ConnId> {
        (self.addr, self.next_call_at) = (addr, now);
        (self.failed_calls, self.hung_calls, self.retried_after) = (0, 0, None);
        let mut old = self.remove_calls(|_| false);
        old.extend(self.stream.take().map(|stream| stream.conn));
        old
    }

    /// Processes received bytes; new changes are appended to `out` in order. Returns false if the stream has to be closed.
    pub fn feed(&mut self, bytes: &[u8], now: Nanos, out: &mut Vec<ListChange>) -> bool {
        if let Some(stream) = &mut self.stream {
            stream.last_received = now;
            self.last_heard = now;
        }
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

//! Connections to servers on which the operating system accepts no more bytes for now.
//!
//! No message is started on a blocked connection: messages are queued here, where they can still be dropped, sent elsewhere
//! or withheld from a draining server. The shell reports the blocking right after the input whose outputs caused it
//! ([`crate::Input::Blocked`]), so a set-up of that input that was not started is taken back. A set-up whose bytes were
//! accepted is in flight: its withdrawal follows on the same connection, and if that is not accepted either, the connection
//! is closed, which aborts it.

use crate::io::{ConnId, Output};
use crate::limits;
use crate::state::{Link, Node, Stage, TimerKind};
use micadyke::interface::*;
use micadyke::module::Decide;
use micadyke_rtsp::{Message, Start};
use std::collections::BTreeSet;
use tracing::debug;

/// The subject of a message to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Subject {
    /// A set-up. It is encoded again each time that it is written.
    SetUp(SessionId),
    /// The withdrawal of a set-up that was written on the same connection.
    Withdrawal(SessionId),
    /// Anything else.
    Other,
}

/// A message written while handling the current input.
#[derive(Debug)]
pub(crate) struct WrittenMessage {
    conn: ConnId,
    /// Its position in the bytes of its connection.
    offset: u64,
    subject: Subject,
    /// `None` for a set-up.
    message: Option<Message>,
}

impl Link {
    /// Queues a message until the connection is writable. A message beyond the maximum backlog is dropped, and the
    /// connection will be closed. Returns whether it is the first queued withdrawal.
    fn enqueue(&mut self, subject: Subject, message: Message, now: Nanos) -> bool {
        self.backlog += message.encode().len();
        if self.backlog > limits::servers::MAX_BACKLOG_BYTES {
            return false;
        }
        self.queued.push_back((subject, message));
        let first = matches!(subject, Subject::Withdrawal(_)) && self.withdrawal_since.is_none();
        if first {
            self.withdrawal_since = Some(now);
        }
        first
    }

    /// Whether a withdrawal has waited for too long or the backlog is too large: the server is not reading.
    pub(crate) fn is_stuck(&self, now: Nanos) -> bool {
        self.backlog > limits::servers::MAX_BACKLOG_BYTES
            || self.withdrawal_since.is_some_and(|w| now >= w + limits::servers::WITHDRAWAL_TIMEOUT)
    }

    /// The queued requests, to be sent on another connection. The withdrawal of a set-up is among them, as the set-up may
    /// have been answered and be playing.
    pub(crate) fn take_unsent(&mut self) -> impl Iterator<Item = Message> + use<> {
        let requests = |m: &Message| matches!(m.start, Start::Request { .. });
        let pending = std::mem::take(&mut self.queued).into_iter().map(|(_, message)| message);
        self.partly_sent.take().into_iter().chain(pending).filter(requests)
    }
}

impl<D: Decide> Node<D> {
    /// Writes a message to a server, or queues it if the connection is blocked.
    pub(crate) fn write_to_server(&mut self, conn: ConnId, subject: Subject, message: Message) {
        let now = self.now;
        let Some(link) = self.links.get_mut(&conn) else { return };
        link.last_used = now;
        if link.blocked {
            return self.enqueue(conn, subject, message);
        }
        let (offset, bytes) = (link.bytes_sent, message.encode());
        link.bytes_sent += bytes.len() as u64;
        let message = Some(message).filter(|_| !matches!(subject, Subject::SetUp(_)));
        self.turn_writes.push(WrittenMessage { conn, offset, subject, message });
        self.out.push(Output::Write { conn, bytes });
    }

    fn enqueue(&mut self, conn: ConnId, subject: Subject, message: Message) {
        let now = self.now;
        if self.links.get_mut(&conn).is_some_and(|link| link.enqueue(subject, message, now)) {
            self.set_timer(now + limits::servers::WITHDRAWAL_TIMEOUT, TimerKind::Withdrawal(conn));
        }
    }

    /// Closes a connection if a withdrawal has waited for too long.
    pub(crate) fn check_withdrawal(&mut self, conn: ConnId) {
        if self.links.get(&conn).is_some_and(|link| link.is_stuck(self.now)) {
            self.close_link(conn, Outcome::Error);
        }
    }

    /// A connection is blocked: messages that begin at or after byte `written` were not started.
    pub(crate) fn link_blocked(&mut self, conn: ConnId, written: u64) {
        let now = self.now;
        let writes = std::mem::take(&mut self.turn_writes).into_iter();
        let (unsent, rest): (Vec<WrittenMessage>, _) =
            writes.partition(|h| h.conn == conn && h.offset >= written);
        self.turn_writes = rest;
        let Some(link) = self.links.get_mut(&conn) else { return };
        debug!(conn = conn.0, written, unsent = unsent.len(), "connection to server is blocked");
        link.blocked = true;
        link.bytes_sent = unsent.first().map_or(link.bytes_sent, |first| first.offset);
        let is_partial = link.bytes_sent > written;
        if let Some(written_message) = self.turn_writes.iter_mut().rfind(|h| is_partial && h.conn == conn) {
            link.partly_sent = written_message.message.take();
            if matches!(written_message.subject, Subject::Withdrawal(_)) {
                link.withdrawal_since = Some(now);
                self.set_timer(now + limits::servers::WITHDRAWAL_TIMEOUT, TimerKind::Withdrawal(conn));
            }
        }
        let mut withdrawn = BTreeSet::new();
        for WrittenMessage { offset, subject, message, .. } in unsent {
            match subject {
                Subject::SetUp(id) => {
                    if !self.take_back(id, conn, offset) {
                        withdrawn.insert(id);
                    }
                }
                Subject::Withdrawal(id) if withdrawn.contains(&id) => {}
                Subject::Withdrawal(_) | Subject::Other => {
                    message.into_iter().for_each(|message| self.enqueue(conn, subject, message));
                }
            }
        }
    }

    /// Takes back a set-up that was not started: it waits for its connection again. Returns false if its session has ended
    /// the attempt.
    fn take_back(&mut self, id: SessionId, conn: ConnId, expected_offset: u64) -> bool {
        let Some(session) = self.sessions.get_mut(&id) else { return false };
        match session.stage {
            Stage::InFlight { server, link, offset, .. } if link == conn && offset == expected_offset => {
                session.stage = Stage::Waiting { server, link };
                session.may_have_run = false;
                self.counts.attempts -= 1;
                true
            }
            _ => false,
        }
    }

    /// A connection is writable again: queued messages and waiting attempts are written.
    pub(crate) fn link_writable(&mut self, conn: ConnId) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        (link.blocked, link.backlog, link.withdrawal_since, link.partly_sent) = (false, 0, None, None);
        let (pending, attempts) = (std::mem::take(&mut link.queued), link.open.clone());
        pending.into_iter().for_each(|(subject, message)| self.write_to_server(conn, subject, message));
        attempts.into_iter().for_each(|s| self.write_setup(s));
    }
}

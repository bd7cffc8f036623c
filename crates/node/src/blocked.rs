//! Connections to servers on which the operating system takes no bytes for now. Nothing is begun on them: what is not
//! yet begun stays here, where it can still be dropped, sent elsewhere or kept from a server that drains.
//!
//! The shell tells of it right after the turn that wrote too much ([`crate::Input::Blocked`]), so a set-up that was
//! written in that turn and not begun is taken back. What the operating system has taken is out: its withdrawal follows
//! it on the same connection, and where that is not taken either, the connection is closed, which aborts it.

use crate::books::{Due, Link, Node, Stage};
use crate::io::{ConnId, Output};
use crate::limits;
use micadyke::interface::*;
use micadyke::module::Decide;
use micadyke_rtsp::{Message, Start};
use std::collections::BTreeSet;
use tracing::debug;

/// What a message to a server is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum About {
    /// A set-up, worded anew each time that it is written.
    SetUp(SessionId),
    /// The withdrawal of a set-up that was written on the same connection.
    Withdrawal(SessionId),
    /// Anything else.
    Other,
}

/// A message handed over for writing in the turn at hand.
#[derive(Debug)]
pub(crate) struct Handed {
    conn: ConnId,
    /// Where it begins among the bytes of its connection.
    from: u64,
    about: About,
    /// None for a set-up.
    message: Option<Message>,
}

impl Link {
    /// A message waits until the connection takes bytes again. One too many is dropped: the connection is closed for it.
    /// Whether it is the first withdrawal that waits.
    fn wait(&mut self, about: About, message: Message, now: Nanos) -> bool {
        self.backlog += message.encode().len();
        if self.backlog > limits::servers::BACKLOG {
            return false;
        }
        self.pending.push_back((about, message));
        let first = matches!(about, About::Withdrawal(_)) && self.withdrawing.is_none();
        if first {
            self.withdrawing = Some(now);
        }
        first
    }

    /// It reads nothing: a withdrawal waits for too long, or too much does.
    pub(crate) fn stuck(&self, now: Nanos) -> bool {
        self.backlog > limits::servers::BACKLOG
            || self.withdrawing.is_some_and(|w| now >= w + limits::servers::WITHDRAWAL)
    }

    /// What it would still have told its server: another connection tells it. A set-up that was withdrawn here may have
    /// been answered, and play.
    pub(crate) fn untold(&mut self) -> impl Iterator<Item = Message> + use<> {
        let requests = |m: &Message| matches!(m.start, Start::Request { .. });
        let pending = std::mem::take(&mut self.pending).into_iter().map(|(_, message)| message);
        self.begun.take().into_iter().chain(pending).filter(requests)
    }
}

impl<D: Decide> Node<D> {
    /// Writes a message to a server; where its connection takes no bytes, it waits.
    pub(crate) fn write_about(&mut self, conn: ConnId, about: About, message: Message) {
        let now = self.now;
        let Some(link) = self.links.get_mut(&conn) else { return };
        link.used = now;
        if link.blocked {
            return self.wait(conn, about, message);
        }
        let (from, bytes) = (link.sent, message.encode());
        link.sent += bytes.len() as u64;
        let message = Some(message).filter(|_| !matches!(about, About::SetUp(_)));
        self.handed.push(Handed { conn, from, about, message });
        self.out.push(Output::Write { conn, bytes });
    }

    fn wait(&mut self, conn: ConnId, about: About, message: Message) {
        let now = self.now;
        if self.links.get_mut(&conn).is_some_and(|link| link.wait(about, message, now)) {
            self.set(now + limits::servers::WITHDRAWAL, Due::Withdrawal(conn));
        }
    }

    /// A withdrawal may have waited for too long.
    pub(crate) fn withdrawal_due(&mut self, conn: ConnId) {
        if self.links.get(&conn).is_some_and(|link| link.stuck(self.now)) {
            self.drop_link(conn, Outcome::Error);
        }
    }

    /// The operating system takes no more on a connection: what begins at or after `written` was not begun.
    pub(crate) fn link_blocked(&mut self, conn: ConnId, written: u64) {
        let now = self.now;
        let handed = std::mem::take(&mut self.handed).into_iter();
        let (back, rest): (Vec<Handed>, _) = handed.partition(|h| h.conn == conn && h.from >= written);
        self.handed = rest;
        let Some(link) = self.links.get_mut(&conn) else { return };
        debug!(conn = conn.0, written, back = back.len(), "a connection to a server takes no more for now");
        link.blocked = true;
        link.sent = back.first().map_or(link.sent, |first| first.from);
        let part = link.sent > written;
        if let Some(begun) = self.handed.iter_mut().rfind(|h| part && h.conn == conn) {
            link.begun = begun.message.take();
            if matches!(begun.about, About::Withdrawal(_)) {
                link.withdrawing = Some(now);
                self.set(now + limits::servers::WITHDRAWAL, Due::Withdrawal(conn));
            }
        }
        let mut never = BTreeSet::new();
        for Handed { from, about, message, .. } in back {
            match about {
                About::SetUp(id) => {
                    if !self.taken_back(id, conn, from) {
                        never.insert(id);
                    }
                }
                About::Withdrawal(id) if never.contains(&id) => {}
                About::Withdrawal(_) | About::Other => {
                    message.into_iter().for_each(|message| self.wait(conn, about, message));
                }
            }
        }
    }

    /// Takes back a set-up that was not begun, if its session still wants it: it waits for its connection again.
    fn taken_back(&mut self, id: SessionId, conn: ConnId, begins: u64) -> bool {
        let Some(session) = self.sessions.get_mut(&id) else { return false };
        match session.stage {
            Stage::Out { server, link, from, .. } if link == conn && from == begins => {
                session.stage = Stage::Waiting { server, link };
                self.counts.attempts -= 1;
                true
            }
            _ => false,
        }
    }

    /// A connection takes bytes again: what waits for it goes out, as far as it is still wanted.
    pub(crate) fn link_writable(&mut self, conn: ConnId) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        (link.blocked, link.backlog, link.withdrawing, link.begun) = (false, 0, None, None);
        let (pending, waiting) = (std::mem::take(&mut link.pending), link.open.clone());
        pending.into_iter().for_each(|(about, message)| self.write_about(conn, about, message));
        waiting.into_iter().for_each(|s| self.write_set_up(s));
    }
}

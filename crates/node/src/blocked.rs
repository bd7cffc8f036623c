//! Connections to servers on which the operating system takes no bytes for now. Nothing is begun on them: what is not
//! yet begun stays here, where it can still be dropped, sent elsewhere or kept from a server that drains.
//!
//! The shell tells of it right after the turn that wrote too much ([`crate::Input::Blocked`]), so a set-up that was
//! written in that turn and not begun is taken back. What the operating system has taken is out: its withdrawal follows
//! it on the same connection, and where that is not taken either, the connection is closed, which aborts it.

use crate::books::{Link, Node, Stage};
use crate::care;
use crate::io::{ConnId, Output};
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
    fn wait(&mut self, about: About, message: Message, now: Nanos) {
        self.backlog += message.encode().len();
        if self.backlog > care::LINK_BACKLOG {
            return;
        }
        if matches!(about, About::Withdrawal(_)) {
            self.withdrawing.get_or_insert(now);
        }
        self.pending.push_back((about, message));
    }

    /// It reads nothing: a withdrawal waits for too long, or too much does.
    pub(crate) fn stuck(&self, now: Nanos) -> bool {
        self.backlog > care::LINK_BACKLOG || self.withdrawing.is_some_and(|w| now >= w + care::WITHDRAWAL)
    }

    /// What it would still have told its server about sessions that play there.
    pub(crate) fn untold(&mut self) -> impl Iterator<Item = Message> {
        let requests = |m: &Message| matches!(m.start, Start::Request { .. });
        let pending = std::mem::take(&mut self.pending);
        pending.into_iter().filter(move |(a, m)| *a == About::Other && requests(m)).map(|(_, m)| m)
    }
}

impl<D: Decide> Node<D> {
    /// Writes a message to a server; where its connection takes no bytes, it waits.
    pub(crate) fn write_about(&mut self, conn: ConnId, about: About, message: Message) {
        let now = self.now;
        let Some(link) = self.links.get_mut(&conn) else { return };
        link.used = now;
        if link.blocked {
            return link.wait(about, message, now);
        }
        let (from, bytes) = (link.sent, message.encode());
        link.sent += bytes.len() as u64;
        let message = Some(message).filter(|_| !matches!(about, About::SetUp(_)));
        self.handed.push(Handed { conn, from, about, message });
        self.out.push(Output::Write { conn, bytes });
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
                    if let (Some(link), Some(message)) = (self.links.get_mut(&conn), message) {
                        link.wait(about, message, now);
                    }
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
        (link.blocked, link.backlog, link.withdrawing) = (false, 0, None);
        let (pending, waiting) = (std::mem::take(&mut link.pending), link.open.clone());
        pending.into_iter().for_each(|(about, message)| self.write_about(conn, about, message));
        waiting.into_iter().for_each(|s| self.write_set_up(s));
    }
}

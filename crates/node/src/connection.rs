//! A connection as the shell holds it: its socket, what could not be written yet, and its end. Without decisions.

use crate::limits;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Instant;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Maximum bytes that are read and discarded from a closed connection.
const MAX_DISCARDED_BYTES: usize = 64 << 10;

/// The state of a connection.
#[derive(Debug, Default)]
pub(crate) struct Conn {
    pub(crate) stream: RefCell<Option<Rc<TcpStream>>>,
    pub(crate) unwritten: RefCell<VecDeque<u8>>,
    pub(crate) written: Cell<u64>,
    /// It leads to a server.
    pub(crate) is_server: bool,
    /// The operating system accepts no more bytes; only tracked for servers.
    pub(crate) blocked: Cell<bool>,
    pub(crate) changed: Notify,
    pub(crate) closing: Cell<bool>,
    pub(crate) paused: Cell<Option<Instant>>,
    max_backlog: usize,
    /// It is a viewer's.
    pub(crate) is_viewer: bool,
}

impl Conn {
    /// A viewer's connection.
    pub(crate) fn accepted(stream: TcpStream) -> Rc<Self> {
        let stream = RefCell::new(Some(Rc::new(stream)));
        Rc::new(Conn {
            stream,
            max_backlog: limits::viewers::MAX_BACKLOG_BYTES,
            is_viewer: true,
            ..Conn::default()
        })
    }

    /// A connection to a server that is not yet established.
    pub(crate) fn to_server() -> Rc<Self> {
        Rc::new(Conn { is_server: true, max_backlog: limits::servers::MAX_BACKLOG_BYTES, ..Conn::default() })
    }

    /// Writes what the operating system accepts and keeps the rest. Returns false if the connection has to be closed.
    pub(crate) fn write(&self, bytes: &[u8]) -> bool {
        let mut waiting = self.unwritten.borrow_mut();
        waiting.extend(bytes);
        let Some(stream) = self.stream.borrow().clone() else { return waiting.len() <= self.max_backlog };
        while !waiting.is_empty() {
            match stream.try_write(waiting.as_slices().0) {
                Ok(n) => {
                    waiting.drain(..n);
                    self.written.set(self.written.get() + n as u64);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return false,
            }
        }
        if waiting.is_empty() {
            *waiting = VecDeque::new();
        }
        waiting.len() <= self.max_backlog
    }

    /// Writes one message to a server. A message that can't be started is dropped; the rest of a started one is kept.
    /// Returns false if the connection has to be closed.
    pub(crate) fn write_message(&self, message: &[u8]) -> bool {
        if self.blocked.get() {
            return true;
        }
        let before = self.written.get();
        let usable = self.write(message);
        if !self.unwritten.borrow().is_empty() {
            self.blocked.set(true);
            if self.written.get() == before {
                self.unwritten.borrow_mut().clear();
            }
        }
        usable
    }

    /// Drops all unsent bytes, including those that the operating system has accepted.
    pub(crate) fn abort(&self) {
        self.unwritten.borrow_mut().clear();
        let _ = self.stream.borrow().as_ref().map(|s| s.set_zero_linger());
    }

    /// Whether the connection was blocked and has become writable; it is then no longer marked as blocked.
    pub(crate) fn take_unblocked(&self) -> bool {
        self.unwritten.borrow().is_empty() && self.blocked.replace(false)
    }
}

/// Reads and discards pending input of a closed connection. With unread bytes the operating system would reset the
/// connection and drop what the peer has not yet received.
pub(crate) fn discard_unread(stream: &TcpStream) {
    let mut buffer = [0u8; 8192];
    let mut left = MAX_DISCARDED_BYTES;
    while left > 0 {
        match stream.try_read(&mut buffer) {
            Ok(n @ 1..) => left = left.saturating_sub(n),
            _ => return,
        }
    }
}

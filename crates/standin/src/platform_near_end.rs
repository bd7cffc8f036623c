//! What a front node writes to a media server, noted where it leaves the node.
//!
//! On a slow way the server reads a set-up long after it was written, and a withdrawal behind it later still. A node can
//! tell nothing of that: whether its attempts overlap is judged by the order in which it wrote them.

use crate::platform::Seen;
use crate::platform_net::Scene;
use crate::relay::NearEnd;
use micadyke_rtsp::{Parser, Start};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

/// A connection of a front node.
#[derive(Debug, Default)]
struct Connection {
    parser: Parser,
    /// Set-ups that were written on it and not withdrawn.
    handed: BTreeSet<u64>,
}

/// Notes the set-ups and withdrawals that front nodes write to one server.
#[derive(Debug)]
pub struct WrittenTo {
    server: String,
    scene: Scene,
    connections: RefCell<BTreeMap<usize, Connection>>,
}

impl WrittenTo {
    /// Of the server with this id.
    pub fn new(server: &str, scene: &Scene) -> Self {
        WrittenTo { server: server.to_owned(), scene: scene.clone(), connections: RefCell::default() }
    }

    fn taken_back(&self, connection: usize, id: u64) {
        self.scene.note(Seen::TakenBack { id, server: self.server.clone(), connection });
    }
}

impl NearEnd for WrittenTo {
    fn wrote(&self, connection: usize, bytes: &[u8]) {
        let mut connections = self.connections.borrow_mut();
        let Connection { parser, handed } = connections.entry(connection).or_default();
        parser.feed(bytes);
        while let Ok(Some(message)) = parser.poll() {
            let Start::Request { method, .. } = &message.start else { continue };
            let id = message.session_id().unwrap_or(0);
            if method == "SETUP" {
                handed.insert(id);
                self.scene.note(Seen::Handed { id, server: self.server.clone(), connection });
            } else if method == "TEARDOWN" && handed.remove(&id) {
                self.taken_back(connection, id);
            }
        }
    }

    fn closed(&self, connection: usize) {
        let Some(over) = self.connections.borrow_mut().remove(&connection) else { return };
        over.handed.into_iter().for_each(|id| self.taken_back(connection, id));
    }
}

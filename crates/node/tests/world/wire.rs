//! Raw bytes written by servers, truncated and delayed as a test needs.

use super::{Ev, MS, WAY, World};
use micadyke_standin::platform::Word;
use std::net::SocketAddr;

/// An open set-up at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenAt {
    pub id: u64,
    pub addr: SocketAddr,
    pub conn: u64,
}

impl World {
    /// Servers stop sending messages of their own, or resume.
    pub fn commanded(&mut self, yes: bool) {
        self.servers.values_mut().for_each(|s| s.commanded(yes, 60_000 * MS));
    }

    /// The open set-ups at servers.
    pub fn open_at_servers(&self) -> Vec<OpenAt> {
        let each = self.servers.iter().flat_map(|(addr, s)| s.open().into_iter().map(|o| (*addr, o)));
        each.map(|(addr, (id, conn))| OpenAt { id, addr, conn }).collect()
    }

    /// Where a set-up is open.
    pub fn open_at(&self, id: u64) -> Option<OpenAt> {
        self.open_at_servers().into_iter().find(|o| o.id == id)
    }

    /// The bytes of a message.
    pub fn worded(&self, at: OpenAt, word: Word) -> Vec<u8> {
        self.servers[&at.addr].worded(at.id, word)
    }

    /// A server writes bytes that do not end a message.
    pub fn write_part(&mut self, conn: u64, bytes: &[u8]) {
        self.at(self.now + WAY, Ev::ToNode(conn, bytes.to_vec()));
    }

    /// A server writes the last bytes of a message; nothing if the set-up is no longer open on that connection.
    pub fn write_rest(&mut self, at: OpenAt, word: Word, bytes: &[u8]) {
        let (now, record) = (self.now, &mut self.record);
        let Some(server) = self.servers.get_mut(&at.addr) else { return };
        if server.open().contains(&(at.id, at.conn)) && server.said(now, at.id, word, record) {
            self.write_part(at.conn, bytes);
        }
    }

    /// A server writes a complete message.
    pub fn write_word(&mut self, at: OpenAt, word: Word) {
        let bytes = self.worded(at, word);
        self.write_rest(at, word, &bytes);
    }

    /// A server closes a connection after its last bytes.
    pub fn server_closes(&mut self, conn: u64) {
        self.at(self.now + WAY, Ev::ServerCloses(conn));
    }

    /// The messages that viewers got for a session: type and cause, by connection in order.
    pub fn words_to_viewers(&self, id: u64) -> Vec<(u8, Option<u8>)> {
        let all = self.told.values().flatten().filter(|m| m.1.session == id);
        all.map(|m| (m.1.kind, m.1.cause_value())).collect()
    }
}

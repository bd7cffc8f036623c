//! Bytes that a test has servers write itself, cut and delayed as it likes.

use super::{Ev, MS, WAY, World};
use micadyke_standin::platform::Word;
use std::net::SocketAddr;

/// A set-up that is open at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenAt {
    pub id: u64,
    pub addr: SocketAddr,
    pub conn: u64,
}

impl World {
    /// Servers say nothing of their own from now on, or serve again.
    pub fn commanded(&mut self, yes: bool) {
        self.servers.values_mut().for_each(|s| s.commanded(yes, 60_000 * MS));
    }

    /// The set-ups that are open at servers.
    pub fn open_at_servers(&self) -> Vec<OpenAt> {
        let each = self.servers.iter().flat_map(|(addr, s)| s.open().into_iter().map(|o| (*addr, o)));
        each.map(|(addr, (id, conn))| OpenAt { id, addr, conn }).collect()
    }

    /// Where a set-up is open.
    pub fn open_at(&self, id: u64) -> Option<OpenAt> {
        self.open_at_servers().into_iter().find(|o| o.id == id)
    }

    /// The bytes of a word.
    pub fn worded(&self, at: OpenAt, word: Word) -> Vec<u8> {
        self.servers[&at.addr].worded(at.id, word)
    }

    /// A server writes bytes that end no word.
    pub fn write_part(&mut self, conn: u64, bytes: &[u8]) {
        self.at(self.now + WAY, Ev::ToNode(conn, bytes.to_vec()));
    }

    /// A server writes a word's last bytes; nothing, where the set-up is not open on that connection any more.
    pub fn write_rest(&mut self, at: OpenAt, word: Word, bytes: &[u8]) {
        let (now, record) = (self.now, &mut self.record);
        let Some(server) = self.servers.get_mut(&at.addr) else { return };
        if server.open().contains(&(at.id, at.conn)) && server.said(now, at.id, word, record) {
            self.write_part(at.conn, bytes);
        }
    }

    /// A server writes a whole word.
    pub fn write_word(&mut self, at: OpenAt, word: Word) {
        let bytes = self.worded(at, word);
        self.write_rest(at, word, &bytes);
    }

    /// A server closes a connection behind what it wrote.
    pub fn server_closes(&mut self, conn: u64) {
        self.at(self.now + WAY, Ev::ServerCloses(conn));
    }

    /// The words that viewers were told of a session: type and cause, by connection in their order.
    pub fn words_to_viewers(&self, id: u64) -> Vec<(u8, Option<u8>)> {
        let all = self.told.values().flatten().filter(|m| m.1.session == id);
        all.map(|m| (m.1.kind, m.1.cause_value())).collect()
    }
}

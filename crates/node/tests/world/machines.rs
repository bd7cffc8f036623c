//! Machines that vanish, and new servers at their addresses.

use super::{Ev, World};
use micadyke_standin::platform::{MediaServer, Seen, killed};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// What becomes of the connections to a machine whose address a new server has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OldConnections {
    /// They stay open and silent.
    Silent,
    /// The new machine resets them when it receives something on them.
    Reset,
}

/// Connections to machines that have vanished.
#[derive(Debug, Default)]
pub struct FormerConnections {
    all: BTreeSet<u64>,
    resets: BTreeSet<u64>,
}

impl World {
    /// The machine of a server vanishes without a sign: all that played there is over. Returns these sessions.
    pub fn vanish(&mut self, addr: SocketAddr, server: &str) -> Vec<u64> {
        let over = killed(&self.record, server, self.now);
        let sessions = over.iter().filter_map(|(_, seen)| match seen {
            Seen::Over { id } => Some(*id),
            _ => None,
        });
        let sessions = sessions.collect();
        self.record.extend(over);
        self.servers.remove(&addr);
        self.vanished.insert(addr);
        let conns = self.links.iter().filter(|l| l.1.0 == addr && l.1.1).map(|l| *l.0);
        self.former.all.extend(conns);
        sessions
    }

    /// A new server listens at the address of a machine that has vanished.
    pub fn take_over(&mut self, addr: SocketAddr, server: MediaServer, old: OldConnections) {
        self.vanished.remove(&addr);
        self.held.retain(|held| held.0 != addr);
        self.servers.insert(addr, server);
        if old == OldConnections::Reset {
            let conns = self.former.all.iter().filter(|c| self.links.get(c).is_some_and(|l| l.0 == addr));
            self.former.resets.extend(conns);
        }
    }

    /// A server reports on each of its sessions, on any of its connections.
    pub fn report(&mut self, addr: SocketAddr) {
        let Some(server) = self.servers.get(&addr) else { return };
        let conns = self.links.iter().filter(|l| l.1.0 == addr && !self.former.all.contains(l.0));
        let Some(conn) = conns.map(|l| *l.0).next() else { return };
        let note = |id: u64| {
            let note = micadyke_rtsp::Message::request("ANNOUNCE", "rtsp://media/note", 9).session(id);
            note.with("X-Note", "nic").with("Figure", "0.5").encode()
        };
        let notes: Vec<u8> = server.standing().flat_map(note).collect();
        self.at(self.now, Ev::ToNode(conn, notes));
    }

    /// Whether a connection leads to a machine that has vanished; a new machine may reset it.
    pub(super) fn is_former(&mut self, conn: u64) -> bool {
        if self.former.resets.contains(&conn) {
            self.at(self.now, Ev::ServerCloses(conn));
        }
        self.former.all.contains(&conn)
    }
}

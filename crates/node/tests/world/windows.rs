//! Connections to servers that accept a limited number of bytes, as if the server did not read.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// The bytes that connections to servers still accept: unlimited unless the server was narrowed.
#[derive(Debug, Default)]
pub struct Windows {
    /// Bytes that each connection to a server accepts from now on.
    narrow: BTreeMap<SocketAddr, usize>,
    /// Bytes that a connection still accepts.
    left: BTreeMap<u64, usize>,
    /// Blocked connections, with the rest of the partly accepted message of each.
    rests: BTreeMap<u64, Vec<u8>>,
    /// Blocked connections that were not yet reported to the node.
    pub news: VecDeque<u64>,
}

impl Windows {
    /// Each connection to a server accepts this many bytes from now on.
    pub fn narrow(&mut self, server: SocketAddr, bytes: usize) {
        self.narrow.insert(server, bytes);
    }

    /// Writes a message to a connection; returns the accepted part.
    pub fn offer(&mut self, server: SocketAddr, conn: u64, mut message: Vec<u8>) -> Vec<u8> {
        let Some(most) = self.narrow.get(&server) else { return message };
        if self.rests.contains_key(&conn) {
            return Vec::new();
        }
        let left = self.left.entry(conn).or_insert(*most);
        let taken = message.len().min(*left);
        *left -= taken;
        let rest = message.split_off(taken);
        if !rest.is_empty() {
            // A message that was not started is dropped.
            self.rests.insert(conn, if taken == 0 { Vec::new() } else { rest });
            self.news.push_back(conn);
        }
        message
    }

    /// A server reads again: returns its blocked connections, each with the rest of its message.
    pub fn widen(&mut self, server: SocketAddr, conns: &[u64]) -> Vec<(u64, Vec<u8>)> {
        self.narrow.remove(&server);
        self.left.retain(|c, _| !conns.contains(c));
        conns.iter().filter_map(|c| Some((*c, self.rests.remove(c)?))).collect()
    }
}

//! Connections to servers that take so many bytes and no more, as of a server that reads nothing.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// What connections to servers still take: all, unless their server was narrowed.
#[derive(Debug, Default)]
pub struct Windows {
    /// Bytes that each connection to a server takes from now on.
    narrow: BTreeMap<SocketAddr, usize>,
    /// Bytes that a connection still takes.
    left: BTreeMap<u64, usize>,
    /// Blocked connections, with the rest of the message that each took in part.
    rests: BTreeMap<u64, Vec<u8>>,
    /// Blocked connections that the node has not heard of.
    pub news: VecDeque<u64>,
}

impl Windows {
    /// Each connection to a server takes so many bytes from now on.
    pub fn narrow(&mut self, server: SocketAddr, bytes: usize) {
        self.narrow.insert(server, bytes);
    }

    /// A message is written to a connection: the part of it that is taken.
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
            // Of one that was not begun nothing is kept.
            self.rests.insert(conn, if taken == 0 { Vec::new() } else { rest });
            self.news.push_back(conn);
        }
        message
    }

    /// A server reads again: its connections that were blocked, each with what is left of a message.
    pub fn widen(&mut self, server: SocketAddr, conns: &[u64]) -> Vec<(u64, Vec<u8>)> {
        self.narrow.remove(&server);
        self.left.retain(|c, _| !conns.contains(c));
        conns.iter().filter_map(|c| Some((*c, self.rests.remove(c)?))).collect()
    }
}

//! Connections to servers when there are not enough for all that need one.
//!
//! The number of connections to servers is limited, so that descriptors are left to accept viewers with. If all are in use, a
//! further one takes the place of an idle one. A server with sessions that is left without a connection waits its turn: it
//! keeps the releases of its sessions until it is connected again.

use crate::io::ConnId;
use crate::limits::servers::{MAX_TURNS_PER_MAINTENANCE, MIN_CONNECTION_TIME, TURN_INTERVAL};
use crate::reconnect::Reconnect;
use crate::state::{Link, Node, Server};
use micadyke::interface::*;
use micadyke::module::Decide;
use tracing::debug;

/// How little is lost if an idle connection is closed, least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Sacrifice {
    /// Nothing: its server has no sessions, or sends their releases on other connections.
    Nothing,
    /// Releases that cross the close, until the server is connected to again.
    Crossing,
    /// All that the server sends until its next turn.
    LastConnection,
}

impl<D: Decide> Node<D> {
    /// Opens a connection to a server. If all connections are in use, an idle one is closed for it; `None` if there is none.
    pub(crate) fn connect_if_room(&mut self, to: ServerId, why: &'static str) -> Option<ConnId> {
        if self.has_free_connection() {
            return Some(self.connect(to, why));
        }
        let conn = self.replaceable_connection()?;
        self.close_for_another(conn);
        Some(self.connect(to, why))
    }

    /// Whether a connection can be opened without closing another one.
    pub(crate) fn has_free_connection(&self) -> bool {
        self.links.len() < self.max_links
    }

    /// The idle connection that is closed first when another one is needed.
    fn replaceable_connection(&self) -> Option<ConnId> {
        let replaceable = self.links.iter().filter(|(_, link)| link.is_replaceable(self.now));
        let ranked = replaceable.filter_map(|(conn, link)| {
            let server = self.servers.get(&link.server)?;
            let sacrifice = self.sacrifice(*conn, server)?;
            // Whoever was heard from last can wait for longest.
            let order = match sacrifice {
                Sacrifice::Nothing => link.last_used,
                Sacrifice::Crossing | Sacrifice::LastConnection => Nanos::MAX - server.last_received,
            };
            Some((sacrifice, order, *conn))
        });
        ranked.min().map(|(_, _, conn)| conn)
    }

    /// What closing an idle connection costs; `None` if it must not be closed.
    fn sacrifice(&self, conn: ConnId, server: &Server) -> Option<Sacrifice> {
        if server.playing.is_empty() {
            return Some(Sacrifice::Nothing);
        }
        // A server that the list has removed can't be connected to again.
        if server.row.state == ServerState::Gone {
            return None;
        }
        let is_last = server.links.len() == 1;
        Some(match self.may_carry_release(conn) {
            _ if is_last => Sacrifice::LastConnection,
            true => Sacrifice::Crossing,
            false => Sacrifice::Nothing,
        })
    }

    /// Closes an idle connection to make room for another one.
    fn close_for_another(&mut self, conn: ConnId) {
        let Some(id) = self.links.get(&conn).map(|link| link.server) else { return };
        let now = self.now;
        let Some(server) = self.servers.get_mut(&id) else { return };
        let due_at = server.reconnect.map_or(server.last_received + TURN_INTERVAL, |planned| planned.due_at);
        if server.links == [conn] && !server.playing.is_empty() {
            server.waits_since = Some(now);
        }
        self.close_link(conn, Outcome::Cancelled);
        let reconnect = self.servers.get_mut(&id).and_then(|server| server.reconnect.as_mut());
        reconnect.into_iter().for_each(|reconnect| reconnect.due_at = due_at);
    }

    /// A server with sessions has no connection, and there is no room for one: it is the next whose turn comes.
    pub(crate) fn wait_for_turn(&mut self, id: ServerId) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&id) else { return };
        debug!(server = server.row.id, sessions = server.playing.len(), "a server waits for a connection");
        server.waits_since.get_or_insert(now);
        server.reconnect = Some(Reconnect { lost_at: now, due_at: now });
    }

    /// Opens the connections that are due, those first that have been due for longest.
    pub(crate) fn connect_in_turn(&mut self) {
        let due = self.servers.iter().filter(|(_, server)| self.reconnect_is_due(server));
        let due = due.filter_map(|(id, server)| Some((server.reconnect?.due_at, *id)));
        let mut due: Vec<(Nanos, ServerId)> = due.collect();
        due.sort_unstable();
        for (_, id) in due.into_iter().take(MAX_TURNS_PER_MAINTENANCE) {
            if self.connect_if_room(id, "its turn, or a release may have been lost").is_none() {
                return;
            }
        }
    }
}

impl Link {
    /// Whether it is idle and was open for long enough to receive what its server had kept.
    fn is_replaceable(&self, now: Nanos) -> bool {
        let is_idle = self.up && self.open.is_empty() && !self.blocked && self.queued.is_empty();
        is_idle && now >= self.connected_at.max(self.last_used) + MIN_CONNECTION_TIME
    }
}

impl Server {
    /// Plans no further connection if no session plays on it.
    pub(crate) fn drop_needless_plans(&mut self) {
        if self.playing.is_empty() {
            (self.reconnect, self.waits_since) = (None, None);
        }
    }

    /// A connection was established: the time without one, for want of room, was no silence of the server.
    pub(crate) fn turn_came(&mut self, now: Nanos) {
        let waited = self.waits_since.take().map_or(0, |since| now.saturating_sub(since));
        self.last_received = (self.last_received + waited).min(now);
        self.signs_of_life.skip(waited, now);
    }
}

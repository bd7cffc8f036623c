//! Further connections to servers on which a release may have been lost.
//!
//! A server sends the release of a session on the connection of its set-up, failing that on any open one, and repeats it on
//! the next one that is opened. If a connection ends before everything that its server sent was read, the release may be
//! among what was lost. Another connection is then opened while sessions play at the server, however many are open.

use crate::io::ConnId;
use crate::limits::servers::{CONNECT_RETRY_PAUSE, RECONNECT_DELAY, RELEASE_REPEAT_TIME};
use crate::state::{Link, Node, Server, Stage};
use micadyke::interface::*;
use micadyke::module::Decide;
use tracing::debug;

/// A further connection to a server that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Reconnect {
    /// When a connection ended on which a release may have been lost. Only a connection that is opened later repeats it.
    pub(crate) lost_at: Nanos,
    /// The earliest time to connect.
    pub(crate) due_at: Nanos,
}

impl<D: Decide> Node<D> {
    /// Whether the server may send the release of a session on this connection: one that was set up on it, or one whose own
    /// connection has ended. On a new connection the server may repeat any release.
    pub(crate) fn may_carry_release(&self, conn: ConnId) -> bool {
        let Some(link) = self.links.get(&conn).filter(|link| link.up) else { return false };
        let Some(server) = self.servers.get(&link.server) else { return false };
        if server.playing.is_empty() {
            return false;
        }
        let is_repeating = link.repeats_releases && self.now < link.connected_at + RELEASE_REPEAT_TIME;
        let may_be_told_here = |session: &SessionId| match self.sessions.get(session).map(|s| s.stage) {
            Some(Stage::Playing { link: Some(own), .. }) => own == conn || !server.links.contains(&own),
            _ => true,
        };
        is_repeating || server.playing.iter().any(may_be_told_here)
    }

    /// A connection ends before everything that its server sent was read: plans a further one if a release may be lost.
    pub(crate) fn plan_reconnect(&mut self, conn: ConnId) {
        if !self.may_carry_release(conn) {
            return;
        }
        let Some(link) = self.links.get(&conn) else { return };
        let delay = if link.has_received() { RECONNECT_DELAY } else { CONNECT_RETRY_PAUSE };
        let Some(server) = self.servers.get_mut(&link.server) else { return };
        debug!(server = server.row.id, conn = conn.0, "a release may have been lost with a connection");
        server.reconnect = Some(Reconnect { lost_at: self.now, due_at: self.now + delay });
    }

    /// Whether a further connection to the server is to be opened now.
    pub(crate) fn reconnect_is_due(&self, server: &Server) -> bool {
        let Some(reconnect) = server.reconnect else { return false };
        let is_needed = !server.playing.is_empty() && server.row.state != ServerState::Gone;
        if !is_needed || self.now < server.next_call_at {
            return false;
        }
        let is_under_way =
            || server.links.iter().filter_map(|l| self.links.get(l)).any(|l| reconnect.is_met_by(l));
        self.now >= reconnect.due_at && !is_under_way()
    }

    /// A connection was established: it may be the one that was due.
    pub(crate) fn reconnected(&mut self, conn: ConnId) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        let Some(server) = self.servers.get_mut(&link.server) else { return };
        let met = server.reconnect.take_if(|reconnect| reconnect.is_met_by(link));
        link.repeats_releases = met.is_some();
    }
}

impl Reconnect {
    /// Whether a connection was opened late enough for the server to repeat the release on it.
    fn is_met_by(self, link: &Link) -> bool {
        link.called_at >= self.lost_at
    }
}

impl Link {
    /// Whether anything was received on it since it was established.
    fn has_received(&self) -> bool {
        self.last_received > self.connected_at
    }
}

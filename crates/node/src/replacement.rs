//! Servers whose address the list has assigned to another server.
//!
//! Whoever answers at an address since then is the new server, its replacement. A connection belongs to the server that
//! answered when it was established: data on connections to the replacement is no sign of life of the old server, and
//! sessions that were set up there through the old server's row play at the replacement.

use crate::io::{ConnId, Output};
use crate::limits::servers::SILENCE_TIMEOUT;
use crate::listed_servers::AddressOwner;
use crate::state::{Node, Server, Stage};
use micadyke::interface::*;
use micadyke::module::Decide;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tracing::info;

/// The server that has the address of a server that has gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Replacement {
    /// The new server.
    pub(crate) server: ServerId,
    /// Connections that were established at this time or later lead to it.
    pub(crate) since: Nanos,
}

impl<D: Decide> Node<D> {
    /// Records which removed servers have been replaced, now that the list has assigned addresses to these servers.
    pub(crate) fn record_replacements(&mut self, new_owners: &BTreeMap<SocketAddr, AddressOwner>) {
        let now = self.now;
        let replaced = |server: &Server| {
            let owner = new_owners.get(&server.row.addr)?;
            let is_removed = server.row.state == ServerState::Gone && server.replacement.is_none();
            let server = self.server_ids.get(&owner.id).filter(|_| is_removed)?;
            Some(Replacement { server, since: owner.started_at.unwrap_or(now).min(now) })
        };
        let replaced: Vec<(ServerId, Replacement)> =
            self.servers.iter().filter_map(|(id, server)| Some((*id, replaced(server)?))).collect();
        for (id, replacement) in replaced {
            let Some(server) = self.servers.get_mut(&id) else { continue };
            server.replacement = Some(replacement);
            let sessions = server.playing.len();
            info!(server = server.row.id, sessions, "another server has the address of a server");
            self.hand_over_to_replacement(id);
        }
    }

    /// Assigns the connections to a server's replacement, and the sessions that play there, to the replacement. Connections
    /// with open attempts stay until the attempts have ended, together with their sessions.
    pub(crate) fn hand_over_to_replacement(&mut self, id: ServerId) {
        let Some(server) = self.servers.get(&id) else { return };
        let Some(Replacement { server: to, since }) = server.replacement else { return };
        if self.servers.get(&to).is_none_or(|s| s.row.state == ServerState::Gone) {
            return;
        }
        let leads_there = |conn: &&ConnId| {
            self.links.get(conn).is_some_and(|l| l.connected_at >= since && l.up && l.open.is_empty())
        };
        let conns: Vec<ConnId> = server.links.iter().filter(leads_there).copied().collect();
        for conn in &conns {
            self.reassign_link(*conn, to);
        }
        let Some(server) = self.servers.get(&id) else { return };
        let plays_there = |session: &&SessionId| match self.sessions.get(session).map(|s| s.stage) {
            Some(Stage::Playing { link, since: started, .. }) => {
                let waits = link.is_some_and(|l| server.links.contains(&l) && !conns.contains(&l));
                started >= since && !waits
            }
            _ => false,
        };
        let sessions: Vec<SessionId> = server.playing.iter().filter(plays_there).copied().collect();
        for session in sessions {
            self.reassign_session(session, to);
        }
        if !conns.is_empty() {
            self.update_reachability(id);
            self.update_reachability(to);
            self.forget_if_unused(id);
        }
    }

    /// The list contains a replaced server again. Connections to its replacement get no further attempts.
    pub(crate) fn reinstate(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let Some(replacement) = server.replacement.take() else { return };
        self.retire_links(id, |connected_at| connected_at >= replacement.since);
    }

    /// No further attempts are sent on a server's connections that were established at these times, as they lead to another
    /// process.
    pub(crate) fn retire_links(&mut self, id: ServerId, leads_elsewhere: impl Fn(Nanos) -> bool) {
        let Some(server) = self.servers.get(&id) else { return };
        for conn in server.links.clone() {
            let link = self.links.get_mut(&conn).filter(|l| l.up && leads_elsewhere(l.connected_at));
            link.into_iter().for_each(|l| l.retired = true);
            self.close_if_retired(conn);
        }
    }

    fn reassign_link(&mut self, conn: ConnId, to: ServerId) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        let from = std::mem::replace(&mut link.server, to);
        let last_received = link.last_received;
        if let Some(server) = self.servers.get_mut(&from) {
            server.links.retain(|l| *l != conn);
        }
        if let Some(server) = self.servers.get_mut(&to) {
            server.links.push(conn);
            server.last_received = server.last_received.max(last_received);
        }
    }

    /// Assigns a playing session to the server where it plays. The module hears of it as of a session that was handed over.
    fn reassign_session(&mut self, id: SessionId, to: ServerId) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Stage::Playing { server: from, .. } = &mut session.stage else { return };
        let from = std::mem::replace(from, to);
        let request = session.request.clone();
        let indexed = session.indexed.take();
        if let Some(server) = self.servers.get_mut(&from) {
            server.playing.remove(&id);
        }
        if let Some(server) = self.servers.get_mut(&to) {
            server.playing.insert(id);
        }
        self.out.extend(indexed.map(|session| Output::IndexSession { session, playing: false }));
        self.index_session(id);
        let outcome = Outcome::Cancelled;
        self.events.push_back(Event::Ended { session: id, server: from, outcome, finished: true });
        self.events.push_back(Event::Adopted { request, server: to });
    }

    /// Ends the sessions of a removed server that has been silent for too long. It can't be probed, as its address may belong
    /// to another server by now.
    pub(crate) fn end_if_silent(&mut self, id: ServerId) {
        let Some(server) = self.servers.get(&id) else { return };
        let is_silent = |last_received: Nanos| self.now >= last_received + SILENCE_TIMEOUT;
        let lost = |session: &&SessionId| is_silent(self.last_sign_of_life(server, **session));
        let sessions: Vec<SessionId> = server.playing.iter().filter(lost).copied().collect();
        if sessions.is_empty() {
            return;
        }
        let silent = |l: &&ConnId| self.links.get(l).is_some_and(|l| is_silent(l.last_received));
        let links: Vec<ConnId> = server.links.iter().filter(silent).copied().collect();
        self.unconfirmed.retain(|_, u| u.0 != id);
        self.end_lost_sessions(id, sessions);
        links.into_iter().for_each(|l| self.close_link(l, Outcome::Reset));
    }

    /// When something was last received from the process that a session plays at. If the server has been replaced, only
    /// connections that are older than the session certainly lead to that process.
    fn last_sign_of_life(&self, server: &Server, session: SessionId) -> Nanos {
        if server.replacement.is_none() {
            return server.last_received;
        }
        let Some(Stage::Playing { since, .. }) = self.sessions.get(&session).map(|s| s.stage) else {
            return 0;
        };
        let links = server.links.iter().filter_map(|l| self.links.get(l));
        let older = links.filter(|l| l.up && l.connected_at <= since);
        older.map(|l| l.last_received).max().unwrap_or(0)
    }
}

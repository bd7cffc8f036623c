//! Connections to servers: opening and closing them, the effect of their end on attempts, and the detection of lost servers.

use crate::io::{ConnId, ConnectionEnd, Output};
use crate::limits::MS;
use crate::limits::servers::{
    CONNECT_RETRY_PAUSE, CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT, MAX_FAILED_CALLS, SILENCE_TIMEOUT,
    avoidance_time,
};
use crate::state::{Link, Node, Stage, TimerKind, cause};
use micadyke::interface::*;
use micadyke::module::Decide;
use micadyke_membership::server_report::{Finding, ServerReport};
use micadyke_rtsp::Parser;
use std::collections::{BTreeSet, VecDeque};
use tracing::{debug, warn};

impl<D: Decide> Node<D> {
    /// Tells the module if the reachability of a server has changed, before it learns how attempts there ended.
    pub(crate) fn update_reachability(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let connected = server.links.iter().any(|l| self.links.get(l).is_some_and(|l| l.up && !l.retired));
        let reachability = match connected {
            _ if server.signs_of_life.is_in_doubt() => Reachability::Lost,
            true => Reachability::Open,
            false if self.now < server.avoid_until => Reachability::Lost,
            false => Reachability::Closed,
        };
        if reachability != server.reachability {
            server.reachability = reachability;
            self.events.push_back(Event::Reachability { server: id, reachability });
        }
    }

    /// Opens a connection to a server; `why` is logged.
    pub(crate) fn connect(&mut self, to: ServerId, why: &'static str) -> ConnId {
        let conn = self.next_conn();
        let now = self.now;
        let configured = Some(self.connection_settings.connect_timeout).filter(|t| *t > 0);
        let timeout = configured.unwrap_or(CONNECT_TIMEOUT).min(MAX_CONNECT_TIMEOUT);
        let Some(server) = self.servers.get_mut(&to) else { return conn };
        server.links.push(conn);
        debug!(server = server.row.id, conn = conn.0, why, "a server is called");
        let link = Link {
            server: to,
            up: false,
            called_at: now,
            repeats_releases: false,
            process_since: Nanos::MAX,
            connected_at: 0,
            parser: Parser::default(),
            open: BTreeSet::new(),
            bytes_sent: 0,
            blocked: false,
            queued: VecDeque::new(),
            backlog: 0,
            partly_sent: None,
            withdrawal_since: None,
            last_received: now,
            last_used: now,
            partial_since: None,
            retired: false,
        };
        self.links.insert(conn, link);
        self.counts.links += 1;
        self.out.push(Output::Connect { conn, addr: server.row.addr });
        self.set_timer(now + timeout, TimerKind::Connect(conn));
        conn
    }

    /// Opens a connection if sessions or queued messages need one, so that reports and releases arrive.
    pub(crate) fn ensure_connected(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.drop_needless_plans();
        let Some(server) = self.servers.get(&id) else { return };
        if server.row.state == ServerState::Gone || self.now < server.next_call_at {
            return;
        }
        // Messages that wait are sent at once; for the sessions alone a server waits its turn.
        let needed = match server.waits_since {
            Some(_) => !server.queue.is_empty(),
            None => !server.playing.is_empty() || !server.queue.is_empty(),
        };
        let connected = server.links.iter().any(|l| !self.links[l].retired);
        if needed && !connected && self.connect_if_room(id, "kept").is_none() {
            self.wait_for_turn(id);
        }
    }

    pub(crate) fn link_connected(&mut self, conn: ConnId) {
        let now = self.now;
        let Some(link) = self.links.get_mut(&conn) else { return };
        (link.up, link.connected_at, link.process_since) = (true, now, now);
        (link.last_received, link.last_used) = (now, now);
        let (id, attempts) = (link.server, link.open.clone());
        let heard_at = self.follower.last_heard();
        let mut queue = VecDeque::new();
        self.server_connected(id);
        if let Some(server) = self.servers.get_mut(&id) {
            let silent_ms = now.saturating_sub(server.last_received) / MS;
            debug!(server = server.row.id, conn = conn.0, silent_ms, "a call came up");
            server.turn_came(now);
            server.signs_of_life.contact(now, heard_at);
            (server.failed_calls, server.next_call_at, server.last_received, server.avoid_until) =
                (0, 0, now, 0);
            queue = std::mem::take(&mut server.queue);
        }
        self.reconnected(conn);
        self.update_reachability(id);
        queue.into_iter().for_each(|m| self.write_link(conn, m));
        attempts.into_iter().for_each(|s| self.write_setup(s));
    }

    pub(crate) fn connect_timed_out(&mut self, conn: ConnId) {
        if self.links.get(&conn).is_some_and(|l| !l.up) {
            self.out.push(Output::Close { conn });
            self.link_closed(conn, 0, ConnectionEnd::Broken);
        }
    }

    /// Closes a connection. Attempts on it end with this outcome, and another connection is opened if one is needed.
    pub(crate) fn close_link(&mut self, conn: ConnId, outcome: Outcome) {
        let Some(link) = self.links.get(&conn) else { return };
        let id = link.server;
        // Attempts in flight are withdrawn first, as the close may reach the server after the next attempt has reached
        // another.
        let in_flight =
            |s: &&SessionId| self.sessions.get(s).is_some_and(|s| matches!(s.stage, Stage::InFlight { .. }));
        let attempts: Vec<SessionId> = link.open.iter().filter(in_flight).copied().collect();
        if !link.blocked {
            attempts.into_iter().for_each(|s| self.withdraw_attempt(s, conn));
        }
        self.out.push(Output::Close { conn });
        debug!(conn = conn.0, ?outcome, "a connection to a server is closed");
        self.plan_reconnect(conn);
        self.remove_link(conn, |stage| match stage {
            Stage::Waiting { .. } => Outcome::NoConnection,
            _ => outcome,
        });
        self.ensure_connected(id);
        self.forget_if_unused(id);
    }

    pub(crate) fn close_if_retired(&mut self, conn: ConnId) {
        if self.links.get(&conn).is_some_and(|l| l.retired && l.open.is_empty()) {
            self.close_link(conn, Outcome::Cancelled);
        }
    }

    pub(crate) fn remove_link(&mut self, conn: ConnId, outcome: impl Fn(&Stage) -> Outcome) {
        let Some(mut link) = self.links.remove(&conn) else { return };
        if let Some(server) = self.servers.get_mut(&link.server) {
            server.links.retain(|l| *l != conn);
        }
        link.take_unsent().for_each(|message| self.send_on(None, link.server, message));
        self.update_reachability(link.server);
        for id in link.open {
            let Some(stage) = self.sessions.get(&id).map(|s| s.stage) else { continue };
            self.attempt_ended(id, outcome(&stage));
        }
    }

    /// A connection was closed or could not be established.
    pub(crate) fn link_closed(&mut self, conn: ConnId, written: u64, end: ConnectionEnd) {
        let now = self.now;
        let Some(link) = self.links.get(&conn) else { return };
        let (id, up) = (link.server, link.up);
        let refused = end == ConnectionEnd::Refused;
        if end != ConnectionEnd::Finished || link.parser.is_mid_message() {
            self.plan_reconnect(conn);
        }
        let other_links = self.servers.get(&id).is_some_and(|s| {
            s.links.iter().any(|l| *l != conn && self.links[l].up && !self.links[l].retired)
        });
        if let Some(server) = self.servers.get_mut(&id).filter(|_| !up) {
            server.failed_calls += 1;
            server.next_call_at = now + CONNECT_RETRY_PAUSE;
            server.avoid_until = now + avoidance_time(server.failed_calls, refused);
        }
        self.remove_link(conn, |stage| match *stage {
            // Bytes that the operating system had not accepted were never sent.
            Stage::InFlight { offset, .. } if offset < written && other_links => Outcome::Error,
            Stage::InFlight { offset, .. } if offset < written => Outcome::Reset,
            _ => Outcome::NoConnection,
        });
        let Some(server) = self.servers.get_mut(&id) else { return };
        if !up {
            debug!(
                server = server.row.id,
                conn = conn.0,
                refused,
                calls = server.failed_calls,
                "a call did not come up"
            );
            let finding = (refused && !other_links).then_some(Finding::Refused);
            let finding = finding.or((server.failed_calls == MAX_FAILED_CALLS).then_some(Finding::Silent));
            let finding = finding.map(|what| ServerReport::Found { server: server.row.id.clone(), what });
            let silent =
                now >= server.last_received + SILENCE_TIMEOUT && server.failed_calls >= MAX_FAILED_CALLS;
            if (refused && !other_links) || silent {
                // Nothing listens there, or the server has been silent for too long: its sessions are over.
                self.server_lost(id);
            }
            finding.into_iter().for_each(|f| self.notify_peers(f));
        } else {
            debug!(server = server.row.id, other_links, "a connection to a server broke");
        }
        self.ensure_connected(id);
        self.forget_if_unused(id);
    }

    /// A server is lost, and all sessions on it are over.
    pub(crate) fn server_lost(&mut self, id: ServerId) {
        self.unconfirmed.retain(|_, u| u.0 != id);
        let Some(server) = self.servers.get(&id) else { return };
        if server.playing.is_empty() {
            return;
        }
        let sessions = server.playing.iter().copied().collect();
        self.end_lost_sessions(id, sessions);
    }

    /// Ends sessions that are over with their server.
    pub(crate) fn end_lost_sessions(&mut self, id: ServerId, sessions: Vec<SessionId>) {
        let Some(server) = self.servers.get(&id) else { return };
        self.counts.lost_servers += 1;
        warn!(server = server.row.id, sessions = sessions.len(), "a server is gone");
        sessions.into_iter().for_each(|s| self.end_session(s, Outcome::Reset, Some(cause::FAILED)));
    }
}

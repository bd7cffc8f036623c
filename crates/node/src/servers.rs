//! Handling of servers: their rows in the list, attempts, messages to them, and maintenance.

use crate::blocked::Subject;
use crate::io::{ConnId, Output};
use crate::limits::MS;
use crate::limits::servers::{
    Candidate, PARTIAL_MESSAGE_TIMEOUT, Pick, idle_timeout, may_be_closed, pick_connection,
};
use crate::list::ServerRow;
use crate::liveness::SignsOfLife;
use crate::state::{Node, Server, Stage, TimerKind, cause};
use micadyke::interface::*;
use micadyke::module::Decide;
use micadyke_isup as isup;
use micadyke_membership::server_report::{Finding, ServerReport};
use micadyke_rtsp::Message;
use std::collections::{BTreeSet, VecDeque};
use tracing::{info, warn};

/// Maximum messages that wait for a connection to a server; the oldest is dropped for a newer one.
const MAX_QUEUED_MESSAGES: usize = 256;

impl<D: Decide> Node<D> {
    // ----- the list

    /// Applies a server's row of the list.
    pub(crate) fn update_server(&mut self, id: ServerId, row: ServerRow) {
        let now = self.now;
        if row.state == ServerState::Gone {
            return self.server_removed(id);
        }
        let Some(server) = self.servers.get_mut(&id) else {
            let (links, playing, queue) = (Vec::new(), BTreeSet::new(), VecDeque::new());
            let server = Server {
                row,
                links,
                playing,
                queue,
                last_received: now,
                signs_of_life: SignsOfLife::new(now),
                failed_calls: 0,
                next_call_at: 0,
                waits_since: None,
                reconnect: None,
                avoid_until: 0,
                reachability: Reachability::Closed,
                replacement: None,
                draining_by_report: false,
            };
            self.servers.insert(id, server);
            return;
        };
        let (old, new) = (server.row.started_at, row.started_at);
        let moved = server.row.addr != row.addr;
        let state = row.state;
        (server.row, server.draining_by_report) = (row, false);
        let restarted = (new > old).then(|| server.row.id.clone());
        if new > old || moved {
            // The process was replaced, so sessions of the previous one are over. The list may report this long after.
            let before = |s: &SessionId| match self.sessions.get(s).map(|s| s.stage) {
                Some(Stage::Playing { since, .. }) => moved || since < new,
                _ => false,
            };
            let ended: Vec<SessionId> = server.playing.iter().copied().filter(before).collect();
            if !ended.is_empty() {
                info!(server = server.row.id, sessions = ended.len(), "a server's process is another one");
            }
            ended.into_iter().for_each(|s| self.end_session(s, Outcome::Reset, Some(cause::FAILED)));
        }
        self.reinstate(id);
        if restarted.is_some() {
            self.retire_links(id, |connected_at| connected_at < new);
        }
        if state != ServerState::Ready || moved {
            self.cancel_waiting_attempts(id);
        }
        if moved {
            // Existing connections lead to the old address, which may belong to another server by now.
            let links = self.servers.get(&id).map(|s| s.links.clone()).unwrap_or_default();
            links.into_iter().for_each(|l| self.close_link(l, Outcome::Reset));
        }
        if let Some(server) = restarted {
            self.server_returned(id);
            self.notify_peers(ServerReport::Found { server, what: Finding::Restarted });
        }
    }

    /// A server was removed from the list. No connection is opened to its address, which may soon belong to another server.
    pub(crate) fn server_removed(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        (server.row.state, server.draining_by_report) = (ServerState::Gone, false);
        self.cancel_waiting_attempts(id);
        let Some(server) = self.servers.get(&id) else { return };
        let connecting: Vec<ConnId> = server.links.iter().copied().filter(|l| !self.links[l].up).collect();
        connecting.into_iter().for_each(|l| self.close_link(l, Outcome::NoConnection));
        // Needed if there were no connections.
        self.forget_if_unused(id);
    }

    /// Forgets a server that was removed from the list and has no connections.
    pub(crate) fn forget_if_unused(&mut self, id: ServerId) {
        let Some(server) = self.servers.get(&id) else { return };
        if server.row.state != ServerState::Gone || !server.links.is_empty() {
            return;
        }
        self.hand_over_to_replacement(id);
        let Some(server) = self.servers.get(&id) else { return };
        if !server.playing.is_empty() {
            // Nothing more can be received about these sessions. Ending the last one calls this function again.
            return self.server_lost(id);
        }
        self.servers.remove(&id);
        self.server_ids.forget(id);
    }

    // ----- attempts

    pub(crate) fn send_attempt(&mut self, id: SessionId, to: ServerId, timeout: Nanos) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id).filter(|s| s.stage == Stage::New) else {
            warn!(session = id.0, "the module sent a session that is not its to send");
            return;
        };
        session.attempt += 1;
        session.deadline = now + timeout;
        let attempt = session.attempt;
        let not_sent = |outcome| Event::Ended { session: id, server: to, outcome, finished: false };
        let Some(server) = self.servers.get(&to).filter(|s| s.row.state == ServerState::Ready) else {
            return self.events.push_back(not_sent(Outcome::NotSent));
        };
        // No set-up is sent on a connection with a partial message, as nothing after it may ever be readable, nor on one
        // that its server may be about to close.
        let server_idle_timeout = self.connection_settings.idle_timeout;
        let accepts = |l: &ConnId| {
            let link = &self.links[l];
            let closing =
                link.up && may_be_closed(link.last_used.max(link.last_received), server_idle_timeout, now);
            !link.retired && link.partial_since.is_none() && (!closing || !link.open.is_empty())
        };
        let usable: Vec<ConnId> = server.links.iter().copied().filter(accepts).collect();
        let candidates: Vec<Candidate> = usable
            .iter()
            .map(|l| &self.links[l])
            .map(|l| Candidate { up: l.up && !l.blocked, open: l.open.len() })
            .collect();
        // Set-ups do not wait for an unreachable server until the node itself has connected to it.
        let unreachable = now < server.next_call_at && candidates.iter().all(|c| !c.up);
        // Others give way only to a server without any connection.
        let has_capacity = candidates.is_empty() || self.has_free_connection();
        let max_open = if self.connection_settings.max_streams > 0 {
            self.connection_settings.max_streams as usize
        } else {
            usize::MAX
        };
        let pick =
            if unreachable { Pick::None } else { pick_connection(&candidates, max_open, has_capacity) };
        let link = match pick {
            Pick::Existing(i) => Some(usable[i]),
            Pick::New => self.connect_if_room(to, "set-up"),
            Pick::None => None,
        };
        let Some(link) = link else {
            self.count_outcome(Outcome::NoConnection);
            return self.events.push_back(not_sent(Outcome::NoConnection));
        };
        if let Some(session) = self.sessions.get_mut(&id) {
            session.stage = Stage::Waiting { server: to, link };
        }
        self.set_timer(now + timeout, TimerKind::Attempt(id, attempt));
        let Some(l) = self.links.get_mut(&link) else { return };
        l.open.insert(id);
        l.last_used = now;
        if l.up {
            self.write_setup(id);
        }
    }

    /// Writes the set-up of a session whose connection is up and not blocked.
    pub(crate) fn write_setup(&mut self, id: SessionId) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Stage::Waiting { server, link } = session.stage else { return };
        let Some(offset) = self.links.get(&link).filter(|l| !l.blocked).map(|l| l.bytes_sent) else { return };
        let patience = (session.deadline.saturating_sub(now) / MS).max(1);
        let mut message = Message::request("SETUP", &format!("rtsp://media/{}", session.request.title.0), 1)
            .session(id.0)
            .with("Subject", &self.names.classes[session.request.class.0])
            .with("X-Patience", &patience.to_string());
        if let Some(rung) = session.rung {
            message = message.with("Rate-Step", &rung.to_string());
        }
        let message = message.content(&session.description);
        session.stage = Stage::InFlight { server, link, offset, sent_at: now };
        session.may_have_run = true;
        self.counts.attempts += 1;
        self.write_to_server(link, Subject::SetUp(id), message);
    }

    pub(crate) fn write_link(&mut self, conn: ConnId, message: Message) {
        self.write_to_server(conn, Subject::Other, message);
    }

    /// Withdraws an attempt that is in flight.
    pub(crate) fn withdraw_attempt(&mut self, id: SessionId, link: ConnId) {
        let message = Message::request("TEARDOWN", &resource_url(id), 2).session(id.0);
        self.write_to_server(link, Subject::Withdrawal(id), message);
    }

    /// The timer of an attempt expired.
    pub(crate) fn attempt_due(&mut self, id: SessionId, attempt: u32) {
        let Some(session) = self.sessions.get(&id).filter(|s| s.attempt == attempt) else { return };
        match session.stage {
            // It was not written.
            Stage::Waiting { .. } => self.attempt_ended(id, Outcome::NoConnection),
            Stage::InFlight { link, sent_at, .. } => {
                self.withdraw_attempt(id, link);
                // Nothing was received since it was sent, so the connection may be dead.
                if let Some(l) = self.links.get_mut(&link).filter(|l| l.last_received < sent_at) {
                    l.retired = true;
                }
                self.attempt_ended(id, Outcome::TimedOut);
                if self.links.get(&link).is_some_and(|l| l.blocked) {
                    // The withdrawal is queued, but the next attempt may begin at once: closing ends this attempt first.
                    return self.close_link(link, Outcome::Error);
                }
                self.close_if_retired(link);
            }
            Stage::New | Stage::Playing { .. } => {}
        }
    }

    // ----- playing sessions

    /// Ends a playing session. Its viewer is sent a release if there is a cause for it.
    pub(crate) fn end_session(&mut self, id: SessionId, outcome: Outcome, viewer_cause: Option<u8>) {
        let Some(session) = self.sessions.get(&id) else { return };
        let Stage::Playing { server, .. } = session.stage else { return };
        let viewer = session.viewer;
        let session = self.sessions.remove(&id).and_then(|s| s.indexed);
        self.out.extend(session.map(|session| Output::IndexSession { session, playing: false }));
        if let Some(v) = self.viewers.get_mut(&viewer) {
            v.playing = v.playing.saturating_sub(1);
        }
        let is_last =
            self.servers.get_mut(&server).is_some_and(|s| s.playing.remove(&id) && s.playing.is_empty());
        self.events.push_back(Event::Ended { session: id, server, outcome, finished: true });
        if let Some(cause) = viewer_cause {
            self.release_viewer(viewer, isup::Message::new(isup::kind::RELEASE, id.0).with_cause(cause));
        }
        if is_last {
            self.forget_if_unused(server);
        }
    }

    /// Ends a session at its viewer's request: it is torn down at its server, and the viewer is sent nothing.
    pub(crate) fn end_session_for_viewer(&mut self, id: SessionId, cause: u8) {
        let Some(Stage::Playing { server, .. }) = self.sessions.get(&id).map(|s| s.stage) else { return };
        self.tear_down(server, id, cause);
        self.end_session(id, Outcome::Cancelled, None);
    }

    /// Tears a session down at its server.
    pub(crate) fn tear_down(&mut self, server: ServerId, id: SessionId, cause: u8) {
        let message = Message::request("TEARDOWN", &resource_url(id), 2).session(id.0);
        self.send_to_server(server, id, message.with("Reason", &format!("cause={cause}")));
    }

    pub(crate) fn set_rung(&mut self, id: SessionId, rung: Rung) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.rung = Some(rung);
        if let Stage::Playing { server, .. } = session.stage {
            let message = Message::request("SET_PARAMETER", &resource_url(id), 4).session(id.0);
            self.send_to_server(server, id, message.with("Rate-Step", &rung.to_string()));
        }
    }

    /// Sends a server a message about a session: on the connection of its set-up, otherwise on another one, otherwise on the
    /// next to be established.
    fn send_to_server(&mut self, server: ServerId, id: SessionId, message: Message) {
        let own = match self.sessions.get(&id).map(|s| s.stage) {
            Some(Stage::Playing { link, .. }) => link,
            _ => None,
        };
        self.send_on(own, server, message);
    }

    /// Sends a message to a server, on the connection `own` if it is usable.
    pub(crate) fn send_on(&mut self, own: Option<ConnId>, server: ServerId, message: Message) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        let usable = |l: &ConnId| self.links.get(l).is_some_and(|l| l.up && !l.retired);
        let takes = |l: &ConnId| usable(l) && self.links.get(l).is_some_and(|l| !l.blocked);
        let own = own.filter(|l| s.links.contains(l) && usable(l));
        let others = || s.links.iter().copied();
        let available = own.filter(takes).or_else(|| others().find(takes));
        if let Some(conn) = available.or(own).or_else(|| others().find(usable)) {
            return self.write_link(conn, message);
        }
        if s.row.state == ServerState::Gone {
            return;
        }
        if s.queue.len() == MAX_QUEUED_MESSAGES {
            s.queue.pop_front();
        }
        s.queue.push_back(message);
        self.ensure_connected(server);
    }

    // ----- maintenance

    /// Closes idle and stuck connections, opens those that are needed, and checks the liveness of servers with sessions.
    pub(crate) fn maintain_servers(&mut self) {
        let now = self.now;
        let conns: Vec<ConnId> = self.links.keys().copied().collect();
        for conn in conns {
            let Some(link) = self.links.get(&conn) else { continue };
            // The last connection is kept while sessions need it.
            let is_last =
                self.servers.get(&link.server).is_some_and(|s| !s.playing.is_empty() && s.links.len() == 1);
            let idle_after = idle_timeout(self.connection_settings.idle_timeout);
            let idle = link.up && link.open.is_empty() && now >= link.last_used + idle_after;
            if link.is_stuck(now) || link.partial_since.is_some_and(|h| now >= h + PARTIAL_MESSAGE_TIMEOUT) {
                self.close_link(conn, Outcome::Error);
            } else if idle && !is_last && !self.may_carry_release(conn) {
                self.close_link(conn, Outcome::Cancelled);
            }
        }
        self.connect_in_turn();
        let ids: Vec<ServerId> = self.servers.keys().copied().collect();
        for id in ids {
            self.ensure_connected(id);
            self.update_reachability(id);
            let Some(server) = self.servers.get(&id) else { continue };
            if server.row.state == ServerState::Gone {
                self.hand_over_to_replacement(id);
                self.end_if_silent(id);
                continue;
            }
            self.check_liveness(id);
        }
    }
}

fn resource_url(id: SessionId) -> String {
    format!("rtsp://media/{:016x}", id.0)
}

//! Signs of life of servers, and which process they come from.
//!
//! While the event bus is out of reach, another server may listen at the address of one that has vanished, and connections
//! that come up may lead to it. What is received on a connection is a sign of life for a session only if the process at its
//! other end certainly had the address when the session started. A session without such a sign for too long, at a server
//! that owes reports, is taken for lost. The server gets no set-ups until the bus is heard again.

use crate::io::ConnId;
use crate::limits::servers::{CERTAIN_SILENCE_LIMIT, MAX_SIGNS_OF_LIFE, SILENCE_TIMEOUT};
use crate::state::{Node, Server, Stage, cause};
use micadyke::interface::*;
use micadyke::module::Decide;
use tracing::warn;

/// A sign of life of the process that has had the server's address for some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SignOfLife {
    /// The process has certainly had the address since then; 0: it is the listed server.
    process_since: Nanos,
    received_at: Nanos,
}

/// What is known of the processes at a server's address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SignsOfLife {
    /// The last ones: the longer a process is known to have had the address, the older is its sign.
    latest: Vec<SignOfLife>,
    /// When a connection was established last, if the event bus has not been heard since.
    uncertain_contact: Option<Nanos>,
    /// When its sessions were ended because another server may have its address.
    doubted_at: Option<Nanos>,
}

impl SignsOfLife {
    /// Those of a server that was just listed.
    pub(crate) fn new(now: Nanos) -> Self {
        let listed = SignOfLife { process_since: 0, received_at: now };
        SignsOfLife { latest: vec![listed], uncertain_contact: None, doubted_at: None }
    }

    /// Another server may have its address.
    pub(crate) fn is_in_doubt(&self) -> bool {
        self.doubted_at.is_some()
    }

    /// Something was received from the process that has certainly had the address since this time.
    pub(crate) fn received(&mut self, process_since: Nanos, now: Nanos) {
        self.latest.retain(|sign| sign.process_since < process_since);
        if self.latest.last().is_some_and(|sign| sign.received_at >= now) {
            return;
        }
        if self.latest.len() == MAX_SIGNS_OF_LIFE {
            self.latest.remove(0);
        }
        self.latest.push(SignOfLife { process_since, received_at: now });
    }

    /// The last sign of life for a session that started at this time.
    fn last_for(&self, started_at: Nanos) -> Nanos {
        let sign = self.latest.iter().rfind(|sign| sign.process_since <= started_at);
        sign.map_or(started_at, |sign| sign.received_at.max(started_at))
    }

    /// A connection was established; the event bus was last heard at `heard_at`.
    pub(crate) fn contact(&mut self, now: Nanos, heard_at: Nanos) {
        self.list_heard(heard_at);
        self.uncertain_contact = Some(now);
    }

    /// The event bus was heard at this time: what answered until then was the listed server.
    fn list_heard(&mut self, heard_at: Nanos) {
        if self.latest.len() == 1 && self.uncertain_contact.is_none() && self.doubted_at.is_none() {
            return;
        }
        let contact = self.uncertain_contact.take_if(|contact| *contact <= heard_at);
        let confirmed = self.latest.iter().filter(|sign| sign.process_since <= heard_at);
        let last = confirmed.map(|sign| sign.received_at).chain(contact).max();
        if let Some(last) = last {
            self.latest.retain(|sign| sign.process_since > heard_at);
            self.latest.insert(0, SignOfLife { process_since: 0, received_at: last });
        }
        self.doubted_at.take_if(|doubted_at| *doubted_at <= heard_at);
    }

    /// Nothing could be received for some time before `now`, for want of a connection.
    pub(crate) fn skip(&mut self, span: Nanos, now: Nanos) {
        for sign in &mut self.latest {
            sign.received_at = (sign.received_at + span).min(now);
        }
    }
}

impl<D: Decide> Node<D> {
    /// Something was received on a connection.
    pub(crate) fn sign_of_life(&mut self, conn: ConnId) {
        let (now, heard_at) = (self.now, self.follower.last_heard());
        let Some(link) = self.links.get_mut(&conn) else { return };
        link.last_received = now;
        if link.process_since <= heard_at {
            link.process_since = 0;
        }
        let Some(server) = self.servers.get_mut(&link.server) else { return };
        server.last_received = now;
        server.signs_of_life.received(link.process_since, now);
    }

    /// A message on a connection names a session: the process at its other end has had the address since the session started,
    /// as no other one knows the session.
    pub(crate) fn session_named(&mut self, conn: ConnId, id: SessionId) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        let Some(Stage::Playing { server, since, .. }) = self.sessions.get(&id).map(|s| s.stage) else {
            return;
        };
        if server == link.server && since < link.process_since {
            link.process_since = since;
            self.sign_of_life(conn);
        }
    }

    /// Looks for signs of life of a listed server: probes it if it is silent, and ends sessions without a certain sign.
    pub(crate) fn check_liveness(&mut self, id: ServerId) {
        let heard_at = self.follower.last_heard();
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.signs_of_life.list_heard(heard_at);
        if server.playing.is_empty() {
            return;
        }
        self.probe_if_silent(id);
        self.end_sessions_in_doubt(id);
    }

    /// Opens a further connection to a silent server: this distinguishes a live machine from one that has vanished.
    fn probe_if_silent(&mut self, id: ServerId) {
        let Some(server) = self.servers.get(&id) else { return };
        let is_silent = self.now >= server.last_received + SILENCE_TIMEOUT;
        // A server without a connection is connected to elsewhere, or waits its turn.
        let is_connected = !server.links.is_empty() && server.links.iter().all(|l| self.links[l].up);
        if is_silent && is_connected && self.now >= server.next_call_at {
            self.connect_if_room(id, "silent");
        }
    }

    /// Ends the sessions of a server that owes reports for which no certain sign of life has come for too long, although
    /// connections come up.
    fn end_sessions_in_doubt(&mut self, id: ServerId) {
        let Some(server) = self.servers.get(&id) else { return };
        if !self.owes_reports() || !server.may_be_another() {
            return;
        }
        let is_lost = |session: &&SessionId| match self.sessions.get(session).map(|s| s.stage) {
            Some(Stage::Playing { since, .. }) => {
                self.now >= server.signs_of_life.last_for(since) + CERTAIN_SILENCE_LIMIT
            }
            _ => false,
        };
        let sessions: Vec<SessionId> = server.playing.iter().filter(is_lost).copied().collect();
        if sessions.is_empty() {
            return;
        }
        warn!(
            server = server.row.id,
            sessions = sessions.len(),
            "a server is silent, and its address may have become another's while the event bus is out of reach"
        );
        if let Some(server) = self.servers.get_mut(&id) {
            server.signs_of_life.doubted_at = Some(self.now);
        }
        self.counts.lost_servers += 1;
        for session in sessions {
            // The server may stand still and play them later.
            self.tear_down(id, session, cause::FAILED);
            self.end_session(session, Outcome::Reset, Some(cause::FAILED));
        }
        self.update_reachability(id);
    }

    /// Whether a server at which sessions play sends something within the time after which its silence counts.
    fn owes_reports(&self) -> bool {
        let interval = self.connection_settings.max_report_interval;
        interval > 0 && interval < CERTAIN_SILENCE_LIMIT
    }
}

impl Server {
    /// Whether another server may have its address: a connection came up after the event bus was last heard.
    fn may_be_another(&self) -> bool {
        self.waits_since.is_none() && self.signs_of_life.uncertain_contact.is_some()
    }
}

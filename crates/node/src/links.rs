//! Connections to servers: when one is opened, what its end means for the attempts on it, and when it says that a server
//! is lost.

use crate::books::{Due, Link, Node, Stage, cause};
use crate::io::{ConnId, Output};
use crate::limits::servers::{CALL_PAUSE, CALLS, CONNECT_TIMEOUT, LONGEST_CONNECT_TIMEOUT, QUIET, lost_for};
use micadyke::interface::*;
use micadyke::module::Decide;
use micadyke_membership::server_report::{Finding, ServerReport};
use micadyke_rtsp::Parser;
use std::collections::{BTreeSet, VecDeque};
use tracing::{debug, warn};

impl<D: Decide> Node<D> {
    /// Tells the module of the way to a server where that has changed: before it hears how attempts there ended.
    pub(crate) fn tell_reach(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let open = server.links.iter().any(|l| self.links.get(l).is_some_and(|l| l.up && !l.retired));
        let reach = match open {
            true => Reachability::Open,
            false if self.now < server.lost_until => Reachability::Lost,
            false => Reachability::Closed,
        };
        if reach != server.reach {
            server.reach = reach;
            self.events.push_back(Event::Reachability { server: id, reachability: reach });
        }
    }

    /// Opens a connection; `why` is for the log.
    pub(crate) fn connect(&mut self, to: ServerId, why: &'static str) -> ConnId {
        let conn = self.number();
        let now = self.now;
        let stated = Some(self.connection_settings.connect_timeout).filter(|t| *t > 0);
        let timeout = stated.unwrap_or(CONNECT_TIMEOUT).min(LONGEST_CONNECT_TIMEOUT);
        let Some(server) = self.servers.get_mut(&to) else { return conn };
        server.links.push(conn);
        debug!(server = server.row.id, conn = conn.0, why, "a server is called");
        let link = Link {
            server: to,
            up: false,
            parser: Parser::default(),
            open: BTreeSet::new(),
            sent: 0,
            blocked: false,
            pending: VecDeque::new(),
            backlog: 0,
            begun: None,
            withdrawing: None,
            heard: now,
            used: now,
            half: None,
            retired: false,
        };
        self.links.insert(conn, link);
        self.counts.links += 1;
        self.out.push(Output::Connect { conn, addr: server.row.addr });
        self.set(now + timeout, Due::Connect(conn));
        conn
    }

    /// Where sessions play, a connection stays, so that notes and releases arrive.
    pub(crate) fn keep_link(&mut self, id: ServerId) {
        let Some(server) = self.servers.get(&id) else { return };
        let wanted = !server.standing.is_empty() || !server.queue.is_empty();
        let any = server.links.iter().any(|l| !self.links[l].retired);
        if wanted && !any && server.row.state != ServerState::Gone && self.now >= server.call_at {
            self.connect(id, "kept");
        }
    }

    pub(crate) fn link_up(&mut self, conn: ConnId) {
        let now = self.now;
        let Some(link) = self.links.get_mut(&conn) else { return };
        (link.up, link.heard, link.used) = (true, now, now);
        let (id, waiting) = (link.server, link.open.clone());
        let mut queue = VecDeque::new();
        self.found_alive(id);
        if let Some(server) = self.servers.get_mut(&id) {
            (server.calls, server.call_at, server.heard, server.lost_until) = (0, 0, now, 0);
            queue = std::mem::take(&mut server.queue);
        }
        self.tell_reach(id);
        queue.into_iter().for_each(|m| self.write_link(conn, m));
        waiting.into_iter().for_each(|s| self.write_set_up(s));
    }

    pub(crate) fn connect_due(&mut self, conn: ConnId) {
        if self.links.get(&conn).is_some_and(|l| !l.up) {
            self.out.push(Output::Close { conn });
            self.link_closed(conn, 0, false);
        }
    }

    /// Closes a connection; what is open on it ends with this outcome. Another is opened where one is needed.
    pub(crate) fn drop_link(&mut self, conn: ConnId, outcome: Outcome) {
        let Some(link) = self.links.get(&conn) else { return };
        let id = link.server;
        // The close may reach the server after a further attempt has reached another: what is out is given up first.
        let on_it =
            |s: &&SessionId| self.sessions.get(s).is_some_and(|s| matches!(s.stage, Stage::Out { .. }));
        let out: Vec<SessionId> = link.open.iter().filter(on_it).copied().collect();
        if !link.blocked {
            out.into_iter().for_each(|s| self.withdraw(s, conn));
        }
        self.out.push(Output::Close { conn });
        debug!(conn = conn.0, ?outcome, "a connection to a server is closed");
        self.remove_link(conn, |stage| match stage {
            Stage::Waiting { .. } => Outcome::NoConnection,
            _ => outcome,
        });
        self.keep_link(id);
        self.forget(id);
    }

    pub(crate) fn drop_if_retired(&mut self, conn: ConnId) {
        if self.links.get(&conn).is_some_and(|l| l.retired && l.open.is_empty()) {
            self.drop_link(conn, Outcome::Cancelled);
        }
    }

    pub(crate) fn remove_link(&mut self, conn: ConnId, outcome: impl Fn(&Stage) -> Outcome) {
        let Some(mut link) = self.links.remove(&conn) else { return };
        if let Some(server) = self.servers.get_mut(&link.server) {
            server.links.retain(|l| *l != conn);
        }
        link.untold().for_each(|message| self.tell_on(None, link.server, message));
        self.tell_reach(link.server);
        for id in link.open {
            let Some(stage) = self.sessions.get(&id).map(|s| s.stage) else { continue };
            self.attempt_ended(id, outcome(&stage));
        }
    }

    /// A connection is over, or did not come up.
    pub(crate) fn link_closed(&mut self, conn: ConnId, written: u64, refused: bool) {
        let now = self.now;
        let Some(link) = self.links.get(&conn) else { return };
        let (id, up) = (link.server, link.up);
        let others = self.servers.get(&id).is_some_and(|s| {
            s.links.iter().any(|l| *l != conn && self.links[l].up && !self.links[l].retired)
        });
        if let Some(server) = self.servers.get_mut(&id).filter(|_| !up) {
            server.calls += 1;
            server.call_at = now + CALL_PAUSE;
            server.lost_until = now + lost_for(server.calls, refused);
        }
        self.remove_link(conn, |stage| match *stage {
            // What the operating system had not taken of it never left.
            Stage::Out { from, .. } if from < written && others => Outcome::Error,
            Stage::Out { from, .. } if from < written => Outcome::Reset,
            _ => Outcome::NoConnection,
        });
        let Some(server) = self.servers.get_mut(&id) else { return };
        if !up {
            debug!(
                server = server.row.id,
                conn = conn.0,
                refused,
                calls = server.calls,
                "a call did not come up"
            );
            let found = (refused && !others).then_some(Finding::Refused);
            let found = found.or((server.calls == CALLS).then_some(Finding::Silent));
            let found = found.map(|what| ServerReport::Found { server: server.row.id.clone(), what });
            let silent = now >= server.heard + QUIET && server.calls >= CALLS;
            if (refused && !others) || silent {
                // Nothing listens there, or nothing has been there for a while: what played there is over.
                self.lost(id);
            }
            found.into_iter().for_each(|f| self.tell_others(f));
        } else {
            debug!(server = server.row.id, others, "a connection to a server broke");
        }
        self.keep_link(id);
        self.forget(id);
    }

    /// A server has gone with all that played there.
    pub(crate) fn lost(&mut self, id: ServerId) {
        self.unconfirmed.retain(|_, u| u.0 != id);
        let Some(server) = self.servers.get(&id) else { return };
        if server.standing.is_empty() {
            return;
        }
        self.counts.lost_servers += 1;
        warn!(server = server.row.id, sessions = server.standing.len(), "a server is gone");
        let over: Vec<SessionId> = server.standing.iter().copied().collect();
        over.into_iter().for_each(|s| self.over(s, Outcome::Reset, Some(cause::FAILED)));
    }
}

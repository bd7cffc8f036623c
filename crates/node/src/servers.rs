//! Servers: the rows of the list, attempts, and what servers say.

use crate::blocked::About;
use crate::books::{Due, Node, Server, Session, Stage, cause};
use crate::io::{ConnId, Output};
use crate::limits::MS;
use crate::limits::servers::{Candidate, HALF_MESSAGE, Pick, QUIET, idle_timeout, may_be_closed, pick};
use crate::list::Row;
use micadyke::interface::*;
use micadyke::module::Decide;
use micadyke_isup as isup;
use micadyke_membership::server_report::{Finding, ServerReport};
use micadyke_rtsp::{Message, Start};
use std::collections::{BTreeSet, VecDeque};
use tracing::{debug, info, warn};

/// Messages that wait for a connection to a server at most; the oldest is dropped for a newer one.
const QUEUE: usize = 256;

impl<D: Decide> Node<D> {
    // ----- the list

    /// A server's row came.
    pub(crate) fn server_row(&mut self, id: ServerId, row: Row) {
        let now = self.now;
        if row.state == ServerState::Gone {
            return self.server_gone(id);
        }
        let Some(server) = self.servers.get_mut(&id) else {
            let (links, standing, queue) = (Vec::new(), BTreeSet::new(), VecDeque::new());
            let server = Server {
                row,
                links,
                standing,
                queue,
                heard: now,
                calls: 0,
                call_at: 0,
                lost_until: 0,
                reach: Reachability::Closed,
                hearsay: false,
            };
            self.servers.insert(id, server);
            return;
        };
        let (old, new) = (server.row.started_at, row.started_at);
        let moved = server.row.addr != row.addr;
        let state = row.state;
        (server.row, server.hearsay) = (row, false);
        let anew = (new > old).then(|| server.row.id.clone());
        if new > old || moved {
            // Another process: what played at the one before is over. It may be heard of long after the restart.
            let before = |s: &SessionId| match self.sessions.get(s).map(|s| s.stage) {
                Some(Stage::Standing { since, .. }) => moved || since < new,
                _ => false,
            };
            let over: Vec<SessionId> = server.standing.iter().copied().filter(before).collect();
            if !over.is_empty() {
                info!(server = server.row.id, sessions = over.len(), "a server's process is another one");
            }
            over.into_iter().for_each(|s| self.over(s, Outcome::Reset, Some(cause::FAILED)));
        }
        if state != ServerState::Ready || moved {
            self.unsend(id);
        }
        if moved {
            // What is open leads to the old address, which may be another's by now.
            let links = self.servers.get(&id).map(|s| s.links.clone()).unwrap_or_default();
            links.into_iter().for_each(|l| self.drop_link(l, Outcome::Reset));
        }
        if let Some(server) = anew {
            self.answers_again(id);
            self.tell_others(ServerReport::Found { server, what: Finding::Restarted });
        }
    }

    /// A server has gone from the list: nothing new is opened to its address, which may soon be another's.
    pub(crate) fn server_gone(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        (server.row.state, server.hearsay) = (ServerState::Gone, false);
        self.unsend(id);
        let Some(server) = self.servers.get(&id) else { return };
        let opening: Vec<ConnId> = server.links.iter().copied().filter(|l| !self.links[l].up).collect();
        opening.into_iter().for_each(|l| self.drop_link(l, Outcome::NoConnection));
        // There may have been none.
        self.forget(id);
    }

    /// Forgets a server that has gone and holds nothing.
    pub(crate) fn forget(&mut self, id: ServerId) {
        let Some(server) = self.servers.get(&id) else { return };
        if server.row.state != ServerState::Gone || !server.links.is_empty() {
            return;
        }
        if !server.standing.is_empty() {
            // Nothing will be heard of these sessions any more; the last of them brings it here again.
            return self.lost(id);
        }
        self.servers.remove(&id);
        self.numbers.forget(id);
    }

    // ----- attempts

    pub(crate) fn send(&mut self, id: SessionId, to: ServerId, timeout: Nanos) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id).filter(|s| s.stage == Stage::New) else {
            warn!(session = id.0, "the module sent a session that is not its to send");
            return;
        };
        session.attempt += 1;
        session.due = now + timeout;
        let attempt = session.attempt;
        let never = |outcome| Event::Ended { session: id, server: to, outcome, finished: false };
        let Some(server) = self.servers.get(&to).filter(|s| s.row.state == ServerState::Ready) else {
            return self.events.push_back(never(Outcome::NotSent));
        };
        // Behind half a message nothing may ever be read: a connection that waits for its rest takes no further set-up,
        // nor does one that its server may be about to close.
        let closed_after = self.connection_settings.idle_timeout;
        let takes = |l: &ConnId| {
            let link = &self.links[l];
            let closing = link.up && may_be_closed(link.used.max(link.heard), closed_after, now);
            !link.retired && link.half.is_none() && (!closing || !link.open.is_empty())
        };
        let usable: Vec<ConnId> = server.links.iter().copied().filter(takes).collect();
        let candidates: Vec<Candidate> = usable
            .iter()
            .map(|l| &self.links[l])
            .map(|l| Candidate { up: l.up && !l.blocked, open: l.open.len() })
            .collect();
        // A server that does not come up is not waited for by set-ups until a call of the node's own got through.
        let out_of_reach = now < server.call_at && candidates.iter().all(|c| !c.up);
        let room = self.links.len() < self.most_links;
        let most = if self.connection_settings.max_streams > 0 {
            self.connection_settings.max_streams as usize
        } else {
            usize::MAX
        };
        let pick = if out_of_reach { Pick::None } else { pick(&candidates, most, room) };
        let link = match pick {
            Pick::Old(i) => usable[i],
            Pick::New => self.connect(to, "set-up"),
            Pick::None => {
                self.count(Outcome::NoConnection);
                return self.events.push_back(never(Outcome::NoConnection));
            }
        };
        if let Some(session) = self.sessions.get_mut(&id) {
            session.stage = Stage::Waiting { server: to, link };
        }
        self.set(now + timeout, Due::Attempt(id, attempt));
        let Some(l) = self.links.get_mut(&link) else { return };
        l.open.insert(id);
        l.used = now;
        if l.up {
            self.write_set_up(id);
        }
    }

    /// Writes the set-up of a session whose connection is up and takes bytes.
    pub(crate) fn write_set_up(&mut self, id: SessionId) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Stage::Waiting { server, link } = session.stage else { return };
        let Some(from) = self.links.get(&link).filter(|l| !l.blocked).map(|l| l.sent) else { return };
        let patience = (session.due.saturating_sub(now) / MS).max(1);
        let mut message = Message::request("SETUP", &format!("rtsp://media/{}", session.title.0), 1)
            .session(id.0)
            .with("Subject", &self.names.classes[session.class.0])
            .with("X-Patience", &patience.to_string());
        if let Some(rung) = session.rung {
            message = message.with("Rate-Step", &rung.to_string());
        }
        let message = message.content(&session.description);
        session.stage = Stage::Out { server, link, from, at: now };
        self.counts.attempts += 1;
        self.write_about(link, About::SetUp(id), message);
    }

    pub(crate) fn write_link(&mut self, conn: ConnId, message: Message) {
        self.write_about(conn, About::Other, message);
    }

    /// Withdraws an attempt that is out.
    pub(crate) fn withdraw(&mut self, id: SessionId, link: ConnId) {
        let message = Message::request("TEARDOWN", &address(id), 2).session(id.0);
        self.write_about(link, About::Withdrawal(id), message);
    }

    /// An attempt's time is up.
    pub(crate) fn attempt_due(&mut self, id: SessionId, attempt: u32) {
        let Some(session) = self.sessions.get(&id).filter(|s| s.attempt == attempt) else { return };
        match session.stage {
            // It was never written.
            Stage::Waiting { .. } => self.attempt_ended(id, Outcome::NoConnection),
            Stage::Out { link, at, .. } => {
                self.withdraw(id, link);
                // Nothing at all since it was sent: the connection may be of no further use.
                if let Some(l) = self.links.get_mut(&link).filter(|l| l.heard < at) {
                    l.retired = true;
                }
                self.attempt_ended(id, Outcome::TimedOut);
                if self.links.get(&link).is_some_and(|l| l.blocked) {
                    // The withdrawal waits, and the next attempt may begin at once: what is out here is given up by a close.
                    return self.drop_link(link, Outcome::Error);
                }
                self.drop_if_retired(link);
            }
            Stage::New | Stage::Standing { .. } => {}
        }
    }

    // ----- what servers say

    pub(crate) fn link_data(&mut self, conn: ConnId, bytes: &[u8]) {
        let now = self.now;
        let Some(link) = self.links.get_mut(&conn) else { return };
        link.heard = now;
        link.parser.feed(bytes);
        if let Some(server) = self.servers.get_mut(&link.server) {
            server.heard = now;
        }
        loop {
            let Some(link) = self.links.get_mut(&conn) else { return };
            match link.parser.poll() {
                Ok(Some(message)) => {
                    link.half = None;
                    self.message(conn, message);
                    self.settle();
                }
                Ok(None) => {
                    link.half = if link.parser.is_mid_message() { link.half.or(Some(now)) } else { None };
                    return;
                }
                Err(fault) => {
                    debug!(conn = conn.0, %fault, "a server's stream can't be read");
                    // Set-ups that are out on it may have run.
                    return self.drop_link(conn, Outcome::Error);
                }
            }
        }
    }

    fn message(&mut self, conn: ConnId, message: Message) {
        let Some(server) = self.links.get(&conn).map(|l| l.server) else { return };
        let session = message.session_id().map(SessionId);
        match &message.start {
            Start::Response { status } => {
                if *status >= 200
                    && let Some(id) = session
                {
                    match message.sequence_number() {
                        Some(1) => self.answered(conn, server, id, *status, &message),
                        Some(2) => self.confirmed(server, id),
                        _ => {}
                    }
                }
            }
            Start::Request { method, .. } => match (method.as_str(), session) {
                ("TEARDOWN", Some(id)) => self.released(conn, server, id, &message),
                ("ANNOUNCE", Some(id)) => self.note(server, id, &message),
                _ => {}
            },
        }
    }

    /// A server's final answer to a set-up.
    fn answered(&mut self, conn: ConnId, server: ServerId, id: SessionId, status: u16, message: &Message) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        // Copies, late answers and those of another server are nobody's.
        match session.stage {
            Stage::Out { server: s, link, .. } if s == server && link == conn => {}
            _ => return,
        }
        let outcome = match status {
            200 => {
                session.stage = Stage::Standing { server, link: Some(conn), since: now };
                let (viewer, answer) = (session.viewer, isup::Message::new(isup::kind::ANSWER, id.0));
                let answer = answer.with(isup::code::DESCRIPTION, message.body.as_slice());
                session.description = Vec::new();
                let early = std::mem::take(&mut session.early);
                self.counts.answered += 1;
                self.forget_attempt(conn, id);
                if let Some(v) = self.viewers.get_mut(&viewer) {
                    v.answered(id);
                    v.stood();
                }
                if let Some(s) = self.servers.get_mut(&server) {
                    s.standing.insert(id);
                }
                self.write(viewer, &answer);
                self.booked(id);
                self.events.push_back(Event::Started { session: id });
                let note = |(kind, value)| Event::Report { session: id, server, kind, value };
                return self.events.extend(early.into_iter().map(note));
            }
            453 => Outcome::Full,
            454 => Outcome::NotSent,
            504 => Outcome::Reset,
            _ => Outcome::Error,
        };
        self.attempt_ended(id, outcome);
        self.drop_if_retired(conn);
    }

    /// A server releases a session.
    fn released(&mut self, conn: ConnId, server: ServerId, id: SessionId, message: &Message) {
        self.write_link(conn, Message::response(200, message.sequence_number().unwrap_or(2)).session(id.0));
        let reason = message.headers.get("reason").and_then(|r| r.trim().strip_prefix("cause="));
        let stated = reason.and_then(|c| c.trim().parse::<u8>().ok());
        match self.sessions.get(&id).map(|s| s.stage) {
            Some(Stage::Standing { server: s, .. }) if s == server => {
                let (outcome, owed) = match stated {
                    Some(16) => (Outcome::Served, Some(16)),
                    Some(31) => (Outcome::Cancelled, None),
                    other => (Outcome::Reset, Some(other.unwrap_or(cause::FAILED))),
                };
                self.over(id, outcome, owed);
            }
            Some(Stage::Out { server: s, .. }) if s == server => self.attempt_ended(id, Outcome::Reset),
            _ => {}
        }
    }

    fn note(&mut self, server: ServerId, id: SessionId, message: &Message) {
        let kind = match message.headers.get("x-note") {
            Some("quality") => ReportKind::Delivered,
            Some("profile") => ReportKind::RungInForce,
            Some("nic") => ReportKind::LinkUse,
            Some("tor") => ReportKind::UplinkUse,
            _ => return,
        };
        let figure = message.headers.get("figure").and_then(|f| f.trim().parse::<f64>().ok());
        let Some(value) = figure.filter(|v| v.is_finite()) else { return };
        // The note at set-up may come ahead of the answer: it tells the module something only once the session stands.
        let out = |s: &&mut Session| matches!(s.stage, Stage::Out { server: at, .. } if at == server);
        if let Some(session) = self.sessions.get_mut(&id).filter(out) {
            session.early.retain(|n| n.0 != kind);
            return session.early.push((kind, value));
        }
        self.events.push_back(Event::Report { session: id, server, kind, value });
    }

    // ----- sessions that stand

    /// A session that stood is over; its viewer is told unless nothing is owed.
    pub(crate) fn over(&mut self, id: SessionId, outcome: Outcome, owed: Option<u8>) {
        let Some(session) = self.sessions.get(&id) else { return };
        let Stage::Standing { server, .. } = session.stage else { return };
        let viewer = session.viewer;
        let session = self.sessions.remove(&id).and_then(|s| s.indexed);
        self.out.extend(session.map(|session| Output::Booked { session, started: false }));
        if let Some(v) = self.viewers.get_mut(&viewer) {
            v.standing = v.standing.saturating_sub(1);
        }
        let last =
            self.servers.get_mut(&server).is_some_and(|s| s.standing.remove(&id) && s.standing.is_empty());
        self.events.push_back(Event::Ended { session: id, server, outcome, finished: true });
        if let Some(cause) = owed {
            self.release(viewer, isup::Message::new(isup::kind::RELEASE, id.0).with_cause(cause));
        }
        if last {
            self.forget(server);
        }
    }

    /// A viewer ends its session: it is cut at its server, and the viewer is owed nothing.
    pub(crate) fn ended_by_viewer(&mut self, id: SessionId, cause: u8) {
        let Some(Stage::Standing { server, .. }) = self.sessions.get(&id).map(|s| s.stage) else { return };
        self.tear_down(server, id, cause);
        self.over(id, Outcome::Cancelled, None);
    }

    /// A session is cut at its server.
    pub(crate) fn tear_down(&mut self, server: ServerId, id: SessionId, cause: u8) {
        let message = Message::request("TEARDOWN", &address(id), 2).session(id.0);
        self.tell(server, id, message.with("Reason", &format!("cause={cause}")));
    }

    pub(crate) fn set_rung(&mut self, id: SessionId, rung: Rung) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.rung = Some(rung);
        if let Stage::Standing { server, .. } = session.stage {
            let message = Message::request("SET_PARAMETER", &address(id), 4).session(id.0);
            self.tell(server, id, message.with("Rate-Step", &rung.to_string()));
        }
    }

    /// Tells a server something about a session: on the connection of its set-up, else on any, else on the next.
    fn tell(&mut self, server: ServerId, id: SessionId, message: Message) {
        let own = match self.sessions.get(&id).map(|s| s.stage) {
            Some(Stage::Standing { link, .. }) => link,
            _ => None,
        };
        self.tell_on(own, server, message);
    }

    /// The same, on this connection if it can be used.
    pub(crate) fn tell_on(&mut self, own: Option<ConnId>, server: ServerId, message: Message) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        let usable = |l: &ConnId| self.links.get(l).is_some_and(|l| l.up && !l.retired);
        let takes = |l: &ConnId| usable(l) && self.links.get(l).is_some_and(|l| !l.blocked);
        let own = own.filter(|l| s.links.contains(l) && usable(l));
        let others = || s.links.iter().copied();
        let free = own.filter(takes).or_else(|| others().find(takes));
        if let Some(conn) = free.or(own).or_else(|| others().find(usable)) {
            return self.write_link(conn, message);
        }
        if s.row.state == ServerState::Gone {
            return;
        }
        if s.queue.len() == QUEUE {
            s.queue.pop_front();
        }
        s.queue.push_back(message);
        self.keep_link(server);
    }

    // ----- looking after

    pub(crate) fn tidy_servers(&mut self) {
        let now = self.now;
        let conns: Vec<ConnId> = self.links.keys().copied().collect();
        for conn in conns {
            let Some(link) = self.links.get(&conn) else { continue };
            // Never the last one that sessions need.
            let last =
                self.servers.get(&link.server).is_some_and(|s| !s.standing.is_empty() && s.links.len() == 1);
            let idle_after = idle_timeout(self.connection_settings.idle_timeout);
            let idle = link.up && link.open.is_empty() && now >= link.used + idle_after;
            if link.stuck(now) || link.half.is_some_and(|h| now >= h + HALF_MESSAGE) {
                self.drop_link(conn, Outcome::Error);
            } else if idle && !last {
                self.drop_link(conn, Outcome::Cancelled);
            }
        }
        let ids: Vec<ServerId> = self.servers.keys().copied().collect();
        for id in ids {
            self.keep_link(id);
            self.tell_reach(id);
            let Some(server) = self.servers.get(&id) else { continue };
            let quiet = !server.standing.is_empty() && now >= server.heard + QUIET;
            if !quiet {
                continue;
            }
            if server.row.state == ServerState::Gone {
                // It can't be called: its address may be another's by now.
                let links = server.links.clone();
                self.lost(id);
                links.into_iter().for_each(|l| self.drop_link(l, Outcome::Reset));
            } else if now >= server.call_at
                && server.links.iter().all(|l| self.links[l].up)
                && self.links.len() < self.most_links
            {
                // Silent: a call on a new connection tells a process that lives from a machine that has gone.
                self.connect(id, "silent");
            }
        }
    }
}

fn address(id: SessionId) -> String {
    format!("rtsp://media/{:016x}", id.0)
}

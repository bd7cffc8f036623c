//! Messages from servers: answers, releases and reports.

use crate::io::ConnId;
use crate::state::{Node, Session, Stage, cause};
use micadyke::interface::*;
use micadyke::module::Decide;
use micadyke_isup as isup;
use micadyke_rtsp::{Message, Start};
use tracing::debug;

impl<D: Decide> Node<D> {
    pub(crate) fn handle_server_data(&mut self, conn: ConnId, bytes: &[u8]) {
        let now = self.now;
        let Some(link) = self.links.get_mut(&conn) else { return };
        link.parser.feed(bytes);
        self.sign_of_life(conn);
        loop {
            let Some(link) = self.links.get_mut(&conn) else { return };
            match link.parser.poll() {
                Ok(Some(message)) => {
                    link.partial_since = None;
                    self.handle_server_message(conn, message);
                    self.run_module();
                }
                Ok(None) => {
                    link.partial_since =
                        if link.parser.is_mid_message() { link.partial_since.or(Some(now)) } else { None };
                    return;
                }
                Err(fault) => {
                    debug!(conn = conn.0, %fault, "a server's stream can't be read");
                    // Set-ups in flight on it may have been executed.
                    return self.close_link(conn, Outcome::Error);
                }
            }
        }
    }

    fn handle_server_message(&mut self, conn: ConnId, message: Message) {
        let Some(server) = self.links.get(&conn).map(|l| l.server) else { return };
        let session = message.session_id().map(SessionId);
        session.into_iter().for_each(|id| self.session_named(conn, id));
        match &message.start {
            Start::Response { status } => {
                if *status >= 200
                    && let Some(id) = session
                {
                    match message.sequence_number() {
                        Some(1) => self.handle_answer(conn, server, id, *status, &message),
                        Some(2) => self.end_confirmed(server, id),
                        _ => {}
                    }
                }
            }
            Start::Request { method, .. } => match (method.as_str(), session) {
                ("TEARDOWN", Some(id)) => self.handle_release(conn, server, id, &message),
                ("ANNOUNCE", Some(id)) => self.handle_announcement(server, id, &message),
                _ => {}
            },
        }
    }

    /// A server's final answer to a set-up.
    fn handle_answer(
        &mut self, conn: ConnId, server: ServerId, id: SessionId, status: u16, message: &Message,
    ) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        // Duplicates, late answers and answers of another server are ignored.
        match session.stage {
            Stage::InFlight { server: s, link, .. } if s == server && link == conn => {}
            _ => return,
        }
        let outcome = match status {
            200 => {
                session.stage = Stage::Playing { server, link: Some(conn), since: now };
                let (viewer, answer) = (session.viewer, isup::Message::new(isup::kind::ANSWER, id.0));
                let answer = answer.with(isup::code::DESCRIPTION, message.body.as_slice());
                let early_reports = std::mem::take(&mut session.early_reports);
                self.sessions.drop_description(id);
                self.counts.answered += 1;
                self.detach_attempt(conn, id);
                if let Some(v) = self.viewers.get_mut(&viewer) {
                    v.request_answered(id);
                    v.session_started();
                }
                if let Some(s) = self.servers.get_mut(&server) {
                    s.playing.insert(id);
                }
                self.write_to_viewer(viewer, &answer);
                self.index_session(id);
                self.events.push_back(Event::Started { session: id });
                let report = |(kind, value)| Event::Report { session: id, server, kind, value };
                return self.events.extend(early_reports.into_iter().map(report));
            }
            453 => Outcome::Full,
            454 => Outcome::NotSent,
            504 => Outcome::Reset,
            _ => Outcome::Error,
        };
        self.attempt_ended(id, outcome);
        self.close_if_retired(conn);
    }

    /// A server releases a session.
    fn handle_release(&mut self, conn: ConnId, server: ServerId, id: SessionId, message: &Message) {
        self.write_link(conn, Message::response(200, message.sequence_number().unwrap_or(2)).session(id.0));
        let reason = message.headers.get("reason").and_then(|r| r.trim().strip_prefix("cause="));
        let cause = reason.and_then(|c| c.trim().parse::<u8>().ok());
        match self.sessions.get(&id).map(|s| s.stage) {
            Some(Stage::Playing { server: s, .. }) if s == server => {
                let (outcome, viewer_cause) = match cause {
                    Some(16) => (Outcome::Served, Some(16)),
                    Some(31) => (Outcome::Cancelled, None),
                    other => (Outcome::Reset, Some(other.unwrap_or(cause::FAILED))),
                };
                self.end_session(id, outcome, viewer_cause);
            }
            Some(Stage::InFlight { server: s, .. }) if s == server => self.attempt_ended(id, Outcome::Reset),
            _ => {}
        }
    }

    fn handle_announcement(&mut self, server: ServerId, id: SessionId, message: &Message) {
        let kind = match message.headers.get("x-note") {
            Some("quality") => ReportKind::Delivered,
            Some("profile") => ReportKind::RungInForce,
            Some("nic") => ReportKind::LinkUse,
            Some("tor") => ReportKind::UplinkUse,
            _ => return,
        };
        let value = message.headers.get("figure").and_then(|f| f.trim().parse::<f64>().ok());
        let Some(value) = value.filter(|v| v.is_finite()) else { return };
        // A report may arrive before the answer. It is passed to the module when the session plays.
        let in_flight =
            |s: &&mut Session| matches!(s.stage, Stage::InFlight { server: s, .. } if s == server);
        if let Some(session) = self.sessions.get_mut(&id).filter(in_flight) {
            session.early_reports.retain(|n| n.0 != kind);
            return session.early_reports.push((kind, value));
        }
        self.events.push_back(Event::Report { session: id, server, kind, value });
    }
}

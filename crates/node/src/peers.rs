//! Reports of other nodes about servers.
//!
//! A reported drain applies until the own list says otherwise; a reported finding makes this node probe the server on a
//! connection of its own. Neither ends a session.

use crate::io::Output;
use crate::limits;
use crate::state::{Node, Session, Stage};
use micadyke::interface::*;
use micadyke::module::Decide;
use micadyke_membership::server_report::ServerReport;
use tracing::{info, warn};

impl<D: Decide> Node<D> {
    /// Sends a report to the other nodes, if there are any.
    pub(crate) fn notify_peers(&mut self, report: ServerReport) {
        if self.has_peers {
            self.out.push(Output::NotifyPeers(report));
        }
    }

    /// Handles a report of another node.
    pub(crate) fn handle_report(&mut self, report: &ServerReport) {
        let Some(id) = self.server_ids.get(report.server()) else { return };
        if let ServerReport::Found { what, .. } = report
            && self.handle_finding(id, *what)
        {
            return;
        }
        let Some(server) = self.servers.get(&id).filter(|s| s.row.state == ServerState::Ready) else {
            return;
        };
        match report {
            ServerReport::Drain { version, .. } if *version > self.list_version => {
                let ready = self.servers.values().filter(|s| s.row.state == ServerState::Ready).count();
                // A faulty node must not be able to make all servers drain.
                if self.reported_draining.len() + 1
                    > limits::fleet::max_reported_servers(ready + self.reported_draining.len())
                {
                    return warn!(server = server.row.id, version, "too many servers drain by hearsay alone");
                }
                info!(
                    server = server.row.id,
                    version,
                    own = self.list_version,
                    "a server drains, by what others say"
                );
                self.reported_draining.insert(id, *version);
                self.set_reported_state(id, ServerState::Draining);
                self.cancel_waiting_attempts(id);
            }
            ServerReport::Drain { .. } => {}
            ServerReport::Found { .. } => {
                // A server that was heard from recently needs no probe.
                let tokens = limits::fleet::available_probes(self.probe_tokens, self.now);
                let connecting = server.links.iter().any(|l| !self.links[l].up);
                let needed = self.now >= server.last_received + limits::fleet::RECENT_CONTACT
                    && self.now >= server.next_call_at
                    && !connecting;
                if needed && tokens >= 1.0 && self.has_free_connection() {
                    self.probe_tokens = (tokens - 1.0, self.now);
                    self.connect(id, "found by others");
                }
            }
        }
    }

    /// Drops reports that are not newer than the own list.
    pub(crate) fn drop_outdated_reports(&mut self) {
        let version = self.list_version;
        let outdated: Vec<ServerId> =
            self.reported_draining.iter().filter(|h| *h.1 <= version).map(|h| *h.0).collect();
        for id in outdated {
            self.reported_draining.remove(&id);
            // It is draining by the report only, not by the list.
            if self.servers.get(&id).is_some_and(|s| s.draining_by_report) {
                self.set_reported_state(id, ServerState::Ready);
            }
        }
    }

    /// Sets the state of a server according to reports, or back.
    fn set_reported_state(&mut self, id: ServerId, state: ServerState) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        (server.row.state, server.draining_by_report) = (state, state == ServerState::Draining);
        let row = server.row.clone();
        let entries = vec![self.server_entry(&row, id)];
        self.events.push_back(Event::List { kind: ListKind::Delta, entries });
    }

    /// Ends the attempts that wait for a connection to a server, as the server accepts nothing new.
    pub(crate) fn cancel_waiting_attempts(&mut self, id: ServerId) {
        let Some(server) = self.servers.get(&id) else { return };
        let waiting = server.links.iter().filter_map(|l| self.links.get(l)).flat_map(|l| &l.open);
        let is_waiting = |s: &Session| matches!(s.stage, Stage::Waiting { .. });
        let waiting = waiting.filter(|s| self.sessions.get(s).is_some_and(is_waiting));
        let waiting: Vec<SessionId> = waiting.copied().collect();
        waiting.into_iter().for_each(|s| self.attempt_ended(s, Outcome::NotSent));
    }
}

//! Recovery of a node after a restart.
//!
//! During recovery the module has no servers, so it refuses requests at once with its retry delay, and the platform's health
//! test fails. [`micadyke_recovery::phases`] decides what is waited for.

use crate::io::Output;
use crate::limits;
use crate::list::{ServerRow, to_entry};
use crate::state::{Node, RecoveryState};
use micadyke::interface::*;
use micadyke::module::Decide;
use micadyke_membership::server_report::ServerReport;
use micadyke_recovery::phases::{Phase, RecoveryInput, RecoveryOutput, RecoveryPhases, ServiceStart};
use micadyke_recovery::record::{Record, Server, StoredState};
use micadyke_recovery::trust::{Age, Confirmation, Fact, Outage, Trust, trust};
use rand::seq::IndexedRandom;
use tracing::{info, warn};

/// Maximum playing sessions that are handed over during recovery. The module is told of them once it has servers.
const MAX_ADOPTED: usize = 4096;

impl<D: Decide> Node<D> {
    /// Starts recovery with the stored state, which `phases` was created with, and enables saving for the next start. Must
    /// be called before the first input.
    pub fn start_recovery(&mut self, phases: RecoveryPhases, stored: &StoredState) {
        self.saves_state = true;
        info!(waits_for = phases.waits_for(self.now), "recovery begins");
        self.recovery = Some(RecoveryState {
            logged_phase: phases.phase(),
            phases,
            probed: Vec::new(),
            adopted: Vec::new(),
        });
        let Some((version, _, at, servers)) = &stored.list else { return };
        let age = Age::of(*at, self.now);
        for server in servers.iter().filter(|s| !s.ready) {
            // Avoiding a drained server costs little, and the next own list overrides it.
            if trust(Fact::Drain, age, Outage::Unknown, Confirmation::Unconfirmed) == Trust::UntilContradicted
            {
                self.handle_report(&ServerReport::Drain { server: server.id.clone(), version: *version });
            }
        }
    }

    /// Passes an input to the recovery phases.
    pub(crate) fn advance_recovery(&mut self, input: RecoveryInput) {
        let (now, mut outputs) = (self.now, Vec::new());
        let Some(r) = &mut self.recovery else { return };
        r.phases.handle(now, input, &mut outputs);
        if r.logged_phase != r.phases.phase() {
            r.logged_phase = r.phases.phase();
            info!(
                phase = ?r.logged_phase,
                waits_for = r.phases.waits_for(now),
                outage = ?r.phases.outage(),
                limit_reached = r.phases.limit_reached,
                "recovery goes on"
            );
        }
        for output in outputs {
            match output {
                RecoveryOutput::ProbeServers => self.probe_servers(),
                RecoveryOutput::StartService(start) => self.start_service(start),
            }
        }
    }

    /// The bus has sent the list.
    pub(crate) fn list_received(&mut self, version: u64) {
        self.advance_recovery(RecoveryInput::List { version });
        if self.saves_state {
            let server = |row: &ServerRow| Server {
                id: row.id.clone(),
                addr: row.addr,
                ready: row.state == ServerState::Ready,
                started_at: row.started_at,
            };
            let servers =
                self.servers.values().filter(|s| !s.draining_by_report).map(|s| server(&s.row)).collect();
            let (offset, at) = (self.follower.last(), self.now);
            self.out.push(Output::Save(Record::List { version: self.list_version, offset, at, servers }));
        }
    }

    /// Checks time limits and the results of probes; called at each maintenance.
    pub(crate) fn update_recovery(&mut self) {
        if self.recovery.as_ref().is_some_and(|r| r.phases.phase() == Phase::List)
            && self.follower.caught_up(self.now)
        {
            self.advance_recovery(RecoveryInput::List { version: self.list_version });
        }
        let Some(r) = &self.recovery else { return };
        let has_result = |id: &ServerId| {
            self.servers
                .get(id)
                .is_none_or(|s| s.failed_calls > 0 || s.links.iter().any(|l| self.links[l].up))
        };
        let answered = r.phases.phase() == Phase::Servers && r.probed.iter().all(has_result);
        self.advance_recovery(if answered { RecoveryInput::ServersAnswered } else { RecoveryInput::Timer });
    }

    fn probe_servers(&mut self) {
        let ready =
            self.servers.iter().filter(|s| s.1.row.state == ServerState::Ready && s.1.links.is_empty());
        let ready: Vec<ServerId> = ready.map(|s| *s.0).collect();
        let probed: Vec<ServerId> =
            ready.choose_multiple(&mut self.random, limits::fleet::MAX_PROBED_SERVERS).copied().collect();
        for id in &probed {
            if self.has_free_connection() {
                self.connect(*id, "after a power loss");
            }
        }
        if let Some(r) = &mut self.recovery {
            r.probed = probed;
        }
    }

    /// Starts service: the module is told all servers, then the sessions that play there.
    fn start_service(&mut self, start: ServiceStart) {
        let Some(r) = self.recovery.take() else { return };
        if !start.warm {
            self.min_started_at = self.now;
        }
        info!(serve = ?start, limit_reached = r.phases.limit_reached, "recovery is over: in service");
        let rows: Vec<(ServerId, ServerRow)> =
            self.servers.iter().map(|(id, s)| (*id, s.row.clone())).collect();
        let entries = rows.iter().map(|(id, row)| self.server_entry(row, *id)).collect();
        self.events.push_back(Event::List { kind: ListKind::Full, entries });
        self.events.extend(r.adopted);
        self.mark_list_changed();
        for server in self.servers.values_mut() {
            // The module is told again.
            server.reachability = Reachability::default();
        }
    }

    /// Withholds or defers events during recovery: list and reachability are told at its end from the node's state.
    pub(crate) fn defer_during_recovery(&mut self, event: Event) -> Option<Event> {
        let Some(r) = &mut self.recovery else { return Some(event) };
        match event {
            Event::List { .. } | Event::Reachability { .. } | Event::FleetUpdate { .. } => None,
            Event::Adopted { .. } => {
                if r.adopted.len() < MAX_ADOPTED {
                    r.adopted.push(event);
                } else {
                    warn!("too many playing sessions were handed over at once; one is ignored");
                }
                None
            }
            other => Some(other),
        }
    }

    /// A server as the module sees it. After a power loss each server counts as started when service started, or later.
    pub(crate) fn server_entry(&self, row: &ServerRow, id: ServerId) -> ServerEntry {
        let entry = to_entry(row, id, &self.names);
        ServerEntry { started_at: entry.started_at.max(self.min_started_at), ..entry }
    }
}

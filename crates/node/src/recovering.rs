//! While a node comes back from before, its module is told of no server: it refuses by itself, at once and with its advice,
//! and the platform's test fails. What is waited for is [`micadyke_recovery::phases`]' to say.

use crate::books::{Node, Recovering};
use crate::io::Output;
use crate::limits;
use crate::list::{Row, entry};
use micadyke::interface::*;
use micadyke::module::Decide;
use micadyke_membership::server_report::ServerReport;
use micadyke_recovery::phases::{Phase, RecoveryInput, RecoveryOutput, RecoveryPhases, ServiceStart};
use micadyke_recovery::record::{Record, Server, StoredState};
use micadyke_recovery::trust::{Age, Confirmation, Fact, Outage, Trust, trust};
use rand::seq::IndexedRandom;
use tracing::{info, warn};

/// Sessions that play and are handed over meanwhile, at most; the module is told of them when it knows the servers.
const ADOPTED: usize = 4096;

impl<D: Decide> Node<D> {
    /// The node comes back, and keeps what it will need the next time. To be called before its first input; `phases` has
    /// taken what was kept.
    pub fn recovers(&mut self, phases: RecoveryPhases, kept: &StoredState) {
        self.keeps = true;
        info!(waits_for = phases.waits_for(self.now), "recovery begins");
        self.recovering =
            Some(Recovering { told: phases.phase(), phases, asked: Vec::new(), adopted: Vec::new() });
        let Some((version, _, at, servers)) = &kept.list else { return };
        let age = Age::of(*at, self.now);
        for server in servers.iter().filter(|s| !s.ready) {
            // Staying away from what drained costs little; the own list's next word is the last one.
            if trust(Fact::Drain, age, Outage::Unknown, Confirmation::Unconfirmed) == Trust::UntilContradicted
            {
                self.heard_of(&ServerReport::Drain { server: server.id.clone(), version: *version });
            }
        }
    }

    /// Recovery hears something.
    pub(crate) fn recover(&mut self, heard: RecoveryInput) {
        let (now, mut asks) = (self.now, Vec::new());
        let Some(r) = &mut self.recovering else { return };
        r.phases.handle(now, heard, &mut asks);
        if r.told != r.phases.phase() {
            r.told = r.phases.phase();
            info!(
                phase = ?r.told,
                waits_for = r.phases.waits_for(now),
                outage = ?r.phases.outage(),
                limit_reached = r.phases.limit_reached,
                "recovery goes on"
            );
        }
        for ask in asks {
            match ask {
                RecoveryOutput::ProbeServers => self.ask_servers(),
                RecoveryOutput::StartService(serve) => self.serve(serve),
            }
        }
    }

    /// The bus's own word on the list.
    pub(crate) fn listed(&mut self, version: u64) {
        self.recover(RecoveryInput::List { version });
        if self.keeps {
            let server = |row: &Row| Server {
                id: row.id.clone(),
                addr: row.addr,
                ready: row.state == ServerState::Ready,
                started_at: row.started_at,
            };
            let servers = self.servers.values().filter(|s| !s.hearsay).map(|s| server(&s.row)).collect();
            let (offset, at) = (self.follower.last(), self.now);
            self.out.push(Output::Keep(Record::List { version: self.version, offset, at, servers }));
        }
    }

    /// Looked after now and then: limits, and servers that were asked.
    pub(crate) fn tidy_recovery(&mut self) {
        if self.recovering.as_ref().is_some_and(|r| r.phases.phase() == Phase::List)
            && self.follower.caught_up(self.now)
        {
            self.recover(RecoveryInput::List { version: self.version });
        }
        let Some(r) = &self.recovering else { return };
        let said = |id: &ServerId| {
            self.servers.get(id).is_none_or(|s| s.calls > 0 || s.links.iter().any(|l| self.links[l].up))
        };
        let answered = r.phases.phase() == Phase::Servers && r.asked.iter().all(said);
        self.recover(if answered { RecoveryInput::ServersAnswered } else { RecoveryInput::Timer });
    }

    fn ask_servers(&mut self) {
        let ready =
            self.servers.iter().filter(|s| s.1.row.state == ServerState::Ready && s.1.links.is_empty());
        let ready: Vec<ServerId> = ready.map(|s| *s.0).collect();
        let asked: Vec<ServerId> =
            ready.choose_multiple(&mut self.random, limits::fleet::ASKED).copied().collect();
        for id in &asked {
            if self.links.len() < self.most_links {
                self.connect(*id, "after a power loss");
            }
        }
        if let Some(r) = &mut self.recovering {
            r.asked = asked;
        }
    }

    /// Service begins: the module is told of all servers, and then of what plays there.
    fn serve(&mut self, serve: ServiceStart) {
        let Some(r) = self.recovering.take() else { return };
        if !serve.warm {
            self.cold_from = self.now;
        }
        info!(?serve, limit_reached = r.phases.limit_reached, "recovery is over: in service");
        let rows: Vec<(ServerId, Row)> = self.servers.iter().map(|(id, s)| (*id, s.row.clone())).collect();
        let entries = rows.iter().map(|(id, row)| self.entry(row, *id)).collect();
        self.events.push_back(Event::List { kind: ListKind::Full, entries });
        self.events.extend(r.adopted);
        self.servers_changed();
        for server in self.servers.values_mut() {
            // Told again as it stands.
            server.reach = Reachability::default();
        }
    }

    /// What the module is not told while the node recovers: the list stands in the node's books, ways are told anew.
    pub(crate) fn held_back(&mut self, event: Event) -> Option<Event> {
        let Some(r) = &mut self.recovering else { return Some(event) };
        match event {
            Event::List { .. } | Event::Reachability { .. } | Event::FleetUpdate { .. } => None,
            Event::Adopted { .. } => {
                if r.adopted.len() < ADOPTED {
                    r.adopted.push(event);
                } else {
                    warn!("a session that plays is not told of: too many were handed over at once");
                }
                None
            }
            other => Some(other),
        }
    }

    /// A server in the module's words; after a power loss none is warmer than one that started with the service.
    pub(crate) fn entry(&self, row: &Row, id: ServerId) -> ServerEntry {
        let entry = entry(row, id, &self.names);
        ServerEntry { started_at: entry.started_at.max(self.cold_from), ..entry }
    }
}

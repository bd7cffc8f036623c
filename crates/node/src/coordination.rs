//! Coordination with the other nodes: the servers that this node prefers, and its turns to probe silent servers.
//!
//! Both are computed from the last settled view and the list ([`micadyke_subset`]). The module is told the preferred servers
//! and decides as usual; the other nodes learn of probes and their results by server reports. An error here costs
//! unnecessary or less suitable connections; the rules do not depend on it.

use crate::limits;
use crate::state::{Node, Server};
use micadyke::interface::*;
use micadyke::module::Decide;
use micadyke_membership::server_report::{Finding, ServerReport};
use micadyke_recovery::phases::MembershipEvent;
use micadyke_subset::settings::SubsetSettings;
use micadyke_subset::{self as subset, ServerStatus, SubsetWidener, Task, TaskHistory, widen};
use std::collections::{BTreeMap, BTreeSet};
use tracing::{debug, info};

/// State of the coordination.
#[derive(Debug)]
pub(crate) struct Coordination {
    settings: SubsetSettings,
    /// This node's name in the view.
    own_name: String,
    /// The names of the live nodes, this one included.
    alive: BTreeSet<String>,
    /// The nodes of the last settled view; empty before the first.
    settled_nodes: Vec<subset::Node>,
    /// View or list have changed since the order was computed, and when that was.
    stale: bool,
    computed_at: Nanos,
    /// All servers in the order of preference; the first `subset_size` are the working subset.
    order: Vec<ServerId>,
    subset_size: usize,
    widener: SubsetWidener,
    /// What the module was last told: whether each server is preferred.
    preferences: BTreeMap<ServerId, bool>,
    /// Servers that rejected set-ups as full, and until when they count as full.
    full_until: BTreeMap<ServerId, Nanos>,
    /// The recent probes of silent servers.
    probe_history: BTreeMap<ServerId, TaskHistory>,
    /// Servers that are silent according to other nodes only.
    reported_silent: BTreeSet<ServerId>,
}

impl<D> Node<D> {
    /// Enables coordination with the other nodes; `own_name` is the name in the view. Must be called before the first input.
    pub fn coordinate(&mut self, own_name: &str, settings: SubsetSettings) {
        let now = self.now;
        let widen_settings = settings.working.map_or_else(widen::WidenSettings::default, |w| w.1);
        self.coordination = Some(Coordination {
            settings,
            own_name: own_name.to_owned(),
            alive: BTreeSet::from([own_name.to_owned()]),
            settled_nodes: Vec::new(),
            stale: false,
            computed_at: 0,
            order: Vec::new(),
            subset_size: 0,
            widener: SubsetWidener::new(widen_settings, now),
            preferences: BTreeMap::new(),
            full_until: BTreeMap::new(),
            probe_history: BTreeMap::new(),
            reported_silent: BTreeSet::new(),
        });
    }

    /// The preferred servers; empty without a preference.
    pub fn preferred_servers(&self) -> Vec<ServerId> {
        let preferences = self.coordination.iter().flat_map(|c| &c.preferences);
        preferences.filter(|t| *t.1).map(|t| *t.0).collect()
    }
}

impl<D: Decide> Node<D> {
    /// Handles a change of the membership.
    pub(crate) fn membership_changed(&mut self, event: &MembershipEvent) {
        let Some(c) = &mut self.coordination else { return };
        match event {
            MembershipEvent::Alive(name, _) => drop(c.alive.insert(name.clone())),
            MembershipEvent::Gone(name) if *name != c.own_name => drop(c.alive.remove(name)),
            MembershipEvent::ViewSettled(true) => {
                let names = c.settled_nodes.iter().map(|n| &n.name);
                if !names.eq(c.alive.iter()) {
                    c.settled_nodes = c.alive.iter().map(|n| c.settings.node(n)).collect();
                    c.stale = true;
                }
            }
            _ => {}
        }
    }

    /// The list, or what the module knows of it, has changed.
    pub(crate) fn mark_list_changed(&mut self) {
        self.coordination.iter_mut().for_each(|c| c.stale = true);
    }

    /// A server rejected a set-up as full.
    pub(crate) fn server_full(&mut self, id: ServerId) {
        let until = self.now + limits::fleet::FULL_DURATION;
        self.coordination.iter_mut().for_each(|c| c.full_until.extend([(id, until)]));
    }

    /// Updates subset, preferences and probes; called at each maintenance.
    pub(crate) fn update_coordination(&mut self) {
        if self.coordination.is_none() || self.recovery.is_some() {
            return;
        }
        self.update_subset();
        self.update_preferences();
        self.probe_in_turn();
    }

    // ----- working subset

    /// Recomputes the order if view or list have changed, at a limited rate, as the cost is nodes times servers.
    fn update_subset(&mut self) {
        let now = self.now;
        let Some(c) = &mut self.coordination else { return };
        let Some((settings, _)) = c
            .settings
            .working
            .filter(|_| c.stale && now >= c.computed_at + limits::fleet::MIN_SUBSET_INTERVAL)
        else {
            return;
        };
        (c.stale, c.computed_at) = (false, now);
        let listed = self.servers.values().filter(|s| s.row.state != ServerState::Gone);
        let servers: Vec<subset::Server> = listed
            .map(|s| subset::Server { id: s.row.id.clone(), zone: s.row.zone.clone(), weight: s.row.weight })
            .collect();
        let plan = subset::plan(&c.settled_nodes, &servers, &settings);
        // A single node uses all servers, whatever its zone.
        let working = plan
            .working_subset(&c.own_name)
            .filter(|_| c.settled_nodes.len() > 1)
            .map_or(servers.len(), |w| w.len());
        let server_ids = &self.server_ids;
        c.order = plan.preference_order(&c.own_name).iter().filter_map(|id| server_ids.get(id)).collect();
        c.subset_size = working;
        // The module may have forgotten servers meanwhile, so it is told all preferences again.
        c.preferences.clear();
        info!(nodes = c.settled_nodes.len(), servers = servers.len(), working, "a working subset is drawn");
    }

    /// Tells the module which preferences have changed. The subset is widened while too few of its servers are usable.
    fn update_preferences(&mut self) {
        let (now, cold_for) = (self.now, self.cold_for);
        let silent: BTreeSet<ServerId> =
            self.servers.keys().copied().filter(|s| self.is_silent(*s)).collect();
        let Some(c) = &mut self.coordination else { return };
        c.full_until.retain(|_, until| now < *until);
        let state = |id: &ServerId| match self.servers.get(id) {
            None => ServerStatus::Draining,
            Some(s) if s.row.state != ServerState::Ready => ServerStatus::Draining,
            Some(_) if silent.contains(id) => ServerStatus::Silent,
            Some(_) if c.full_until.contains_key(id) => ServerStatus::Full,
            Some(s) if s.row.started_at > 0 && now < s.row.started_at + cold_for => ServerStatus::Cold,
            Some(_) => ServerStatus::Usable,
        };
        let states: Vec<ServerStatus> = c.order.iter().map(state).collect();
        let width = c.widener.width(now, c.subset_size, &states);
        for (index, id) in c.order.iter().enumerate() {
            // The module learns of missing capacity from reports only, so a full server is not preferred.
            let inside =
                c.subset_size == c.order.len() || (index < width && states[index] != ServerStatus::Full);
            if c.preferences.insert(*id, inside) != Some(inside) {
                self.events.push_back(Event::FleetUpdate {
                    server: *id,
                    outside_subset: !inside,
                    load: None,
                });
            }
        }
    }

    // ----- probes

    /// Whether a server is ready according to the list but can't be connected to, by own observation or by reports.
    fn is_silent(&self, id: ServerId) -> bool {
        let reported = self.coordination.as_ref().is_some_and(|c| c.reported_silent.contains(&id));
        self.servers.get(&id).is_some_and(|s| {
            let up = s.links.iter().any(|l| self.links.get(l).is_some_and(|l| l.up && !l.retired));
            s.row.state == ServerState::Ready && !up && (s.failed_calls > 0 || reported)
        })
    }

    /// Probes the silent servers for which it is this node's turn. Set-ups avoid a server while some node probes it, and try
    /// it as without coordination if none has done so for a window.
    fn probe_in_turn(&mut self) {
        let now = self.now;
        let silent: Vec<ServerId> = self.servers.keys().copied().filter(|s| self.is_silent(*s)).collect();
        let Some(c) = &mut self.coordination else { return };
        let Some(settings) = c.settings.turns else { return };
        c.reported_silent.retain(|s| silent.contains(s));
        c.probe_history.retain(|s, _| silent.contains(s));
        for id in silent {
            let has_free_connection = self.has_free_connection();
            let Some(server) = self.servers.get_mut(&id) else { continue };
            let Some(c) = &mut self.coordination else { return };
            let (names, task) =
                (c.settled_nodes.iter().map(|n| n.name.as_str()), Task::ProbeServer(&server.row.id));
            let history = c.probe_history.entry(id).or_default();
            match history.handled_recently(&settings, now) {
                true => server.avoid_until = server.avoid_until.max(now + limits::fleet::PROBED_AVOIDANCE),
                // No longer reported.
                false => drop(c.reported_silent.remove(&id)),
            }
            let due = history.due_at(&settings, names, &c.own_name, task, now).is_some_and(|at| at <= now);
            // A server with sessions is probed in any case, for the sessions.
            let connecting = server.links.iter().any(|l| !self.links[l].up) || !server.playing.is_empty();
            let tokens = limits::fleet::available_probes(self.probe_tokens, now);
            if !due || connecting || now < server.next_call_at || tokens < 1.0 || !has_free_connection {
                continue;
            }
            history.record_result(&settings, now, now);
            self.probe_tokens = (tokens - 1.0, now);
            let report = ServerReport::Found { server: server.row.id.clone(), what: Finding::Silent };
            self.connect(id, "its turn");
            self.notify_peers(report);
        }
    }

    /// Handles a finding of another node. Returns whether nothing more is to be done about it.
    pub(crate) fn handle_finding(&mut self, id: ServerId, finding: Finding) -> bool {
        let (now, silent) = (self.now, self.is_silent(id));
        let max_reported = limits::fleet::max_reported_servers(self.servers.len());
        let ready = |s: &&mut Server| s.row.state == ServerState::Ready;
        let Some(server) = self.servers.get_mut(&id).filter(ready) else { return true };
        let Some(c) = &mut self.coordination else { return false };
        let Some(settings) = c.settings.turns else { return false };
        // A node with sessions on the server or a connection to it probes it itself.
        let idle = server.playing.is_empty() && server.links.is_empty();
        match finding {
            Finding::Silent | Finding::Refused => {
                if !silent && (!idle || c.reported_silent.len() >= max_reported) {
                    return false;
                }
                c.probe_history.entry(id).or_default().record_result(&settings, now, now);
                if !silent {
                    debug!(server = server.row.id, "a server does not answer, by what others say");
                    c.reported_silent.insert(id);
                    server.avoid_until = now + limits::fleet::PROBED_AVOIDANCE;
                }
            }
            Finding::Restarted if silent && server.playing.is_empty() => self.server_returned(id),
            Finding::Restarted => return !silent && idle,
        }
        true
    }

    /// A silent server is back, according to an own connection, to reports or to the list: set-ups may use it again.
    pub(crate) fn server_returned(&mut self, id: ServerId) {
        let Some(c) = self.coordination.as_mut().filter(|c| c.settings.turns.is_some()) else { return };
        let Some(server) = self.servers.get_mut(&id) else { return };
        let silent = c.reported_silent.remove(&id)
            || server.failed_calls > 0
            || server.reachability == Reachability::Lost;
        c.probe_history.remove(&id);
        if silent {
            (server.failed_calls, server.next_call_at, server.avoid_until) = (0, 0, 0);
            // It may be a new process, which the list will report later. Telling the module that it was lost makes its start
            // count as now rather than as before the silence. That it is reachable is told next.
            server.reachability = Reachability::Lost;
            self.events.push_back(Event::Reachability { server: id, reachability: Reachability::Lost });
        }
    }

    /// A connection to a server was established. If it was being probed, the other nodes are told, so that they need not
    /// probe.
    pub(crate) fn server_connected(&mut self, id: ServerId) {
        let now = self.now;
        let Some(c) = &self.coordination else { return };
        let Some(settings) = c.settings.turns else { return };
        let recently_probed = c.probe_history.get(&id).is_some_and(|w| w.handled_recently(&settings, now));
        self.server_returned(id);
        let server = self.servers.get(&id).filter(|_| recently_probed).map(|s| s.row.id.clone());
        server
            .into_iter()
            .for_each(|server| self.notify_peers(ServerReport::Found { server, what: Finding::Restarted }));
    }
}

//! Draws the working subsets of all nodes.
//!
//! Servers are drawn by weighted rendezvous hashing, so that a change of members or servers changes few pairs of node and
//! server. The shares of traffic that nodes send to the servers of their subsets are then balanced, so that each server
//! gets traffic in proportion to its weight.

use crate::{Error, Node, Server, hash};
use std::collections::BTreeMap;

/// Maximum number of balancing rounds; each is one pass over all pairs.
const MAX_BALANCING_ROUNDS: usize = 60;
/// Relative deviation of a server's traffic from its share at which balancing stops.
const BALANCE_TOLERANCE: f64 = 0.005;
/// Allowed capacities of nodes. Values outside are taken for mistakes: no node has a hundred times the mean traffic.
const CAPACITY_RANGE: std::ops::RangeInclusive<f64> = 0.01..=100.0;
/// Shortages and surpluses below this are rounding errors.
const SHORTAGE_EPSILON: f64 = 1e-9;
/// Share of the servers that a node works with, divided by the number of nodes to the power of [`SHRINK_EXPONENT`].
const SUBSET_SHARE: f64 = 0.5;
/// Exponent by which subsets shrink as nodes are added. At 0 they never shrink; at 1 a new node takes as many pairs from
/// other nodes as it adds, at 0.2 a fifth as many.
const SHRINK_EXPONENT: f64 = 0.2;
/// Share of a subset drawn from other zones for each factor of e by which a zone's traffic exceeds its servers' share. One
/// more node in a zone changes at most this share of the other nodes' subsets, however short the zone is.
const SPILLOVER_SHARE: f64 = 1.0 / 6.0;
/// Number of nodes below which [`SPILLOVER_SHARE`] grows in proportion. In a small fleet each pair carries much traffic, and
/// too few pairs would lead out of a zone.
const SMALL_FLEET_NODES: f64 = 24.0;

/// Minimum sizes of subsets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DrawSettings {
    /// Minimum number of servers of a node, if there are as many.
    pub min_servers: usize,
    /// Minimum number of nodes that work with each server, if there are as many.
    pub min_holders: usize,
}

impl Default for DrawSettings {
    fn default() -> Self {
        DrawSettings { min_servers: 20, min_holders: 2 }
    }
}

impl DrawSettings {
    /// Checks that the settings are in range.
    ///
    /// # Errors
    /// [`Error::NoServers`], [`Error::NoHolders`].
    ///
    /// ```
    /// use micadyke_subset::{Error, working::DrawSettings};
    /// assert_eq!(DrawSettings::default().check(), Ok(()));
    /// assert_eq!(DrawSettings { min_servers: 0, min_holders: 3 }.check(), Err(Error::NoServers));
    /// ```
    pub fn check(&self) -> Result<(), Error> {
        match self {
            DrawSettings { min_servers: 0, .. } => Err(Error::NoServers),
            DrawSettings { min_holders: 0, .. } => Err(Error::NoHolders),
            _ => Ok(()),
        }
    }
}

/// The reason why a server is in a node's subset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It is in the node's zone.
    OwnZone,
    /// The node's zone has too few servers, and the server's zone has a surplus.
    Spillover,
    /// Fewer nodes than the minimum would have worked with it.
    MinHolders,
}

/// A server of a node's working subset.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Preferred<'a> {
    /// The server's id.
    pub server: &'a str,
    /// The share of the node's traffic that it gets. The shares of a subset add up to 1; a server with a share of 0 is in
    /// reserve.
    pub share: f64,
    /// Why it is in the subset.
    pub reason: Reason,
}

/// A pair of a node and a server of its subset, with the traffic between them as a share of all traffic.
#[derive(Debug, Clone, Copy)]
struct Edge {
    server: usize,
    flow: f64,
    reason: Reason,
}

/// The working subsets of all nodes.
#[derive(Debug, Clone)]
pub struct Plan {
    nodes: Vec<Node>,
    servers: Vec<Server>,
    keys: Vec<u64>,
    edges: Vec<Vec<Edge>>,
}

/// The shares of all traffic and of all server weight that a zone has.
struct Zone {
    traffic: f64,
    weight: f64,
}

impl Zone {
    /// The share of its nodes' traffic that exceeds its servers' share.
    fn shortage(&self) -> f64 {
        let shortage = 1.0 - self.weight / self.traffic.max(f64::MIN_POSITIVE);
        if shortage > SHORTAGE_EPSILON { shortage } else { 0.0 }
    }

    /// The share of its servers' capacity that its nodes leave unused.
    fn surplus(&self) -> f64 {
        let surplus = 1.0 - self.traffic / self.weight.max(f64::MIN_POSITIVE);
        if surplus > SHORTAGE_EPSILON { surplus } else { 0.0 }
    }
}

fn positive_or(x: f64, default: f64) -> f64 {
    if x.is_finite() && x > 0.0 { x } else { default }
}

/// The rendezvous score of a pair. The `k` lowest scores of a node are a weighted random sample of `k` servers.
fn score(node: u64, server: u64, weight: f64) -> f64 {
    -hash::to_unit_interval(hash::combine(node, server)).ln() / weight
}

fn sorted_by_score(mut scored: Vec<(f64, usize)>) -> Vec<usize> {
    scored.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    scored.into_iter().map(|(_, i)| i).collect()
}

/// The indices of the `k` lowest scores, in ascending order.
fn lowest_scores(mut scored: Vec<(f64, usize)>, k: usize) -> Vec<usize> {
    if k < scored.len() {
        scored.select_nth_unstable_by(k, |a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        scored.truncate(k);
    }
    sorted_by_score(scored)
}

/// Draws the subsets of all nodes. Each node computes the same plan and uses its own subset.
///
/// Duplicate names count once. An invalid capacity counts as 1 and an invalid weight as 0; a server without weight is in no
/// subset and comes last in each preference order.
///
/// The time is proportional to nodes times servers, plus up to 60 passes over the pairs. It is spent once for each change
/// of members or servers, not for each request.
///
/// ```
/// use micadyke_subset::{Node, Server, plan, working::DrawSettings};
/// let nodes: Vec<_> = (0..50)
///     .map(|n| Node { name: format!("n{n}"), zone: format!("z{}", n % 2), capacity: 1.0 })
///     .collect();
/// let servers: Vec<_> = (0..100)
///     .map(|s| Server { id: format!("s{s}"), zone: format!("z{}", s % 2), weight: 1.0 })
///     .collect();
/// let fleet_plan = plan(&nodes, &servers, &DrawSettings::default());
/// let first = fleet_plan.working_subset("n0").expect("known");
/// assert!(first.len() >= 20 && first.len() < 60);
/// assert!(fleet_plan.relative_loads().iter().all(|(_, load)| (load - 1.0).abs() < 0.1));
/// // A single node works with all servers.
/// let single = plan(&nodes[..1], &servers, &DrawSettings::default());
/// assert_eq!(single.working_subset("n0").expect("known").len(), 100);
/// ```
pub fn plan(nodes: &[Node], servers: &[Server], settings: &DrawSettings) -> Plan {
    let mut nodes = nodes.to_vec();
    nodes.sort_by(|a, b| a.name.cmp(&b.name));
    nodes.dedup_by(|a, b| a.name == b.name);
    let mut servers = servers.to_vec();
    servers.sort_by(|a, b| a.id.cmp(&b.id));
    servers.dedup_by(|a, b| a.id == b.id);
    for n in &mut nodes {
        n.capacity = positive_or(n.capacity, 1.0).clamp(*CAPACITY_RANGE.start(), *CAPACITY_RANGE.end());
    }
    for s in &mut servers {
        s.weight = positive_or(s.weight, 0.0);
    }
    let keys = servers.iter().map(|s| hash::hash_name("server", &s.id)).collect();
    let mut plan = Plan { edges: vec![Vec::new(); nodes.len()], nodes, servers, keys };
    plan.draw_subsets(settings);
    plan
}

impl Plan {
    fn draw_subsets(&mut self, settings: &DrawSettings) {
        let (capacity, weight) = (
            self.nodes.iter().map(|n| n.capacity).sum::<f64>(),
            self.servers.iter().map(|s| s.weight).sum::<f64>(),
        );
        let usable = self.servers.iter().filter(|s| s.weight > 0.0).count();
        if usable == 0 || self.nodes.is_empty() {
            return;
        }
        let traffic: Vec<f64> = self.nodes.iter().map(|n| n.capacity / capacity).collect();
        let weight_share: Vec<f64> = self.servers.iter().map(|s| s.weight / weight).collect();
        let mut zones: BTreeMap<&str, Zone> = BTreeMap::new();
        for (n, t) in self.nodes.iter().zip(&traffic) {
            zones.entry(&n.zone).or_insert(Zone { traffic: 0.0, weight: 0.0 }).traffic += t;
        }
        for (s, w) in self.servers.iter().zip(&weight_share) {
            zones.entry(&s.zone).or_insert(Zone { traffic: 0.0, weight: 0.0 }).weight += w;
        }
        let base_size = (SUBSET_SHARE * usable as f64 / (self.nodes.len() as f64).powf(SHRINK_EXPONENT))
            .max(settings.min_servers as f64);
        let mut all = Vec::with_capacity(self.nodes.len());
        for node in &self.nodes {
            let key = hash::hash_name("node", &node.name);
            // Sizes are rounded up or down by the hash of the node's name, so that a small change of the fleet changes the
            // size of few subsets.
            let size =
                base_size * node.capacity.max(1.0).sqrt() + hash::to_unit_interval(hash::combine(key, 1));
            let size = (size as usize).min(usable);
            let shortage = zones[node.zone.as_str()].shortage();
            let scored_servers = |own: bool| {
                let matches = |s: &usize| {
                    let server = &self.servers[*s];
                    (server.zone == node.zone) == own && server.weight > 0.0
                };
                let scored = |s: usize| (score(key, self.keys[s], self.servers[s].weight), s);
                (0..self.servers.len()).filter(matches).map(scored).collect::<Vec<_>>()
            };
            let edge = |server, flow, reason| Edge { server, flow, reason };
            let mut edges: Vec<Edge> = lowest_scores(scored_servers(true), size)
                .into_iter()
                .map(|s| edge(s, weight_share[s], Reason::OwnZone))
                .collect();
            if shortage > 0.0 {
                let count = match (self.nodes.len(), edges.len()) {
                    (1, _) => usable,
                    (_, 0) => size,
                    _ => {
                        let share = SPILLOVER_SHARE * (SMALL_FLEET_NODES / self.nodes.len() as f64).max(1.0);
                        let spillover = -(1.0 - shortage).ln() * share * size as f64;
                        ((spillover + hash::to_unit_interval(hash::combine(key, 2))) as usize).min(size)
                    }
                };
                // The choice of servers does not depend on the surplus of their zones, only the traffic sent to them does.
                // Servers of a zone without surplus are in reserve, so that pairs persist while the surplus changes.
                let surplus = |s: usize| zones[self.servers[s].zone.as_str()].surplus();
                let mut spillover_edges: Vec<Edge> = lowest_scores(scored_servers(false), count)
                    .into_iter()
                    .map(|s| edge(s, weight_share[s] * surplus(s), Reason::Spillover))
                    .collect();
                let sum = |edges: &[Edge]| edges.iter().map(|e| e.flow).sum::<f64>();
                if edges.is_empty() && sum(&spillover_edges) <= 0.0 {
                    spillover_edges.iter_mut().for_each(|e| e.flow = weight_share[e.server]);
                }
                let sums = (sum(&edges), sum(&spillover_edges).max(f64::MIN_POSITIVE));
                edges.iter_mut().for_each(|e| e.flow *= (1.0 - shortage) / sums.0);
                spillover_edges.iter_mut().for_each(|e| e.flow *= shortage / sums.1);
                edges.append(&mut spillover_edges);
            }
            all.push(edges);
        }
        self.edges = all;
        self.ensure_min_holders(settings, &traffic, &weight_share);
        self.balance(&traffic, &weight_share);
    }

    /// Adds pairs until the minimum number of nodes works with each server, nodes of the server's zone if it has any.
    fn ensure_min_holders(&mut self, settings: &DrawSettings, traffic: &[f64], weight_share: &[f64]) {
        let mut holders = vec![Vec::new(); self.servers.len()];
        for (n, edges) in self.edges.iter().enumerate() {
            edges.iter().for_each(|e| holders[e.server].push(n));
        }
        let keys: Vec<u64> = self.nodes.iter().map(|n| hash::hash_name("holder", &n.name)).collect();
        for (s, holders) in holders.iter().enumerate() {
            if holders.len() >= settings.min_holders || self.servers[s].weight <= 0.0 {
                continue;
            }
            let same_zone = |n: &usize| self.nodes[*n].zone == self.servers[s].zone;
            let mut candidates: Vec<usize> = (0..self.nodes.len()).filter(same_zone).collect();
            if candidates.is_empty() {
                candidates = (0..self.nodes.len()).collect();
            }
            candidates.retain(|n| !holders.contains(n));
            let scored =
                candidates.into_iter().map(|n| (score(keys[n], self.keys[s], traffic[n]), n)).collect();
            for n in lowest_scores(scored, settings.min_holders - holders.len()) {
                let flow = weight_share[s] * traffic[n];
                self.edges[n].push(Edge { server: s, flow, reason: Reason::MinHolders });
            }
        }
    }

    /// Scales the traffic of the pairs by iterative proportional fitting until each server gets its share and each node
    /// sends its own. Nodes are scaled last, so that the shares of a node add up to 1 even if an imbalance remains.
    fn balance(&mut self, traffic: &[f64], weight_share: &[f64]) {
        self.normalise_sent(traffic);
        for _ in 0..MAX_BALANCING_ROUNDS {
            let received = self.received();
            let deviation = received.iter().zip(weight_share).filter(|(g, _)| **g > 0.0);
            let deviation = deviation.map(|(g, p)| (g / p - 1.0).abs()).fold(0.0, f64::max);
            if deviation < BALANCE_TOLERANCE {
                break;
            }
            for e in self.edges.iter_mut().flatten().filter(|e| e.flow > 0.0) {
                e.flow *= weight_share[e.server] / received[e.server];
            }
            self.normalise_sent(traffic);
        }
    }

    fn received(&self) -> Vec<f64> {
        let mut received = vec![0.0; self.servers.len()];
        self.edges.iter().flatten().for_each(|e| received[e.server] += e.flow);
        received
    }

    fn normalise_sent(&mut self, traffic: &[f64]) {
        for (edges, traffic) in self.edges.iter_mut().zip(traffic) {
            let sum: f64 = edges.iter().map(|e| e.flow).sum();
            edges.iter_mut().for_each(|e| e.flow *= traffic / sum);
        }
    }

    fn node_index(&self, node: &str) -> Option<usize> {
        self.nodes.binary_search_by(|n| n.name.as_str().cmp(node)).ok()
    }

    /// The working subset of a node, the most preferred server first. `None` if the plan does not contain the node, which
    /// then works with all servers in the order of [`Plan::preference_order`].
    ///
    /// ```
    /// use micadyke_subset::{Node, Reason, Server, plan, working::DrawSettings};
    /// let zone = |n: usize, of: usize| if n < of { "here" } else { "there" }.to_owned();
    /// let nodes: Vec<_> =
    ///     (0..60).map(|n| Node { name: format!("n{n}"), zone: zone(n, 40), capacity: 1.0 }).collect();
    /// let servers: Vec<_> =
    ///     (0..60).map(|s| Server { id: format!("s{s}"), zone: zone(s, 20), weight: 1.0 }).collect();
    /// // This zone has two thirds of the nodes and one third of the servers, so half of its traffic leaves it.
    /// let plan = plan(&nodes, &servers, &DrawSettings::default());
    /// let here = plan.working_subset("n0").expect("known");
    /// assert_eq!((here[0].reason, here[here.len() - 1].reason), (Reason::OwnZone, Reason::Spillover));
    /// let spillover: f64 = here.iter().filter(|p| p.reason == Reason::Spillover).map(|p| p.share).sum();
    /// assert!(spillover > 0.2 && spillover < 0.8);
    /// assert!(plan.working_subset("n59").expect("known").iter().all(|p| p.reason == Reason::OwnZone));
    /// assert!(plan.working_subset("unknown").is_none());
    /// ```
    pub fn working_subset(&self, node: &str) -> Option<Vec<Preferred<'_>>> {
        let edges = &self.edges[self.node_index(node)?];
        let sum: f64 = edges.iter().map(|e| e.flow).sum();
        let preferred = |e: &Edge| Preferred {
            server: &self.servers[e.server].id,
            share: e.flow / sum,
            reason: e.reason,
        };
        Some(edges.iter().map(preferred).collect())
    }

    /// All servers in a node's order of preference: its subset, the rest of its zone, other zones, and those without weight.
    /// A subset is widened in this order.
    ///
    /// ```
    /// use micadyke_subset::{Node, Server, plan, working::DrawSettings};
    /// let nodes = ["a", "b"].map(|n| Node { name: n.into(), zone: "z".into(), capacity: 1.0 });
    /// let servers = ["1", "2", "3"].map(|s| Server { id: s.into(), zone: "z".into(), weight: 1.0 });
    /// let plan = plan(&nodes, &servers, &DrawSettings { min_servers: 2, min_holders: 1 });
    /// assert_eq!(plan.preference_order("a").len(), 3);
    /// assert_eq!(plan.preference_order("a")[0], plan.working_subset("a").expect("known")[0].server);
    /// assert_eq!(plan.preference_order("unknown").len(), 3);
    /// ```
    pub fn preference_order(&self, node: &str) -> Vec<&str> {
        let found = self.node_index(node);
        let zone = found.map(|n| self.nodes[n].zone.as_str());
        let mut order: Vec<usize> =
            found.map(|n| self.edges[n].iter().map(|e| e.server).collect()).unwrap_or_default();
        let mut rest = vec![true; self.servers.len()];
        order.iter().for_each(|&s| rest[s] = false);
        let key = hash::hash_name("node", node);
        for (same_zone, weighted) in [(true, true), (false, true), (true, false), (false, false)] {
            let matches = |s: &usize| {
                let server = &self.servers[*s];
                rest[*s] && (zone == Some(&server.zone)) == same_zone && (server.weight > 0.0) == weighted
            };
            let scored = (0..self.servers.len()).filter(matches).map(|s| {
                let weight = if weighted { self.servers[s].weight } else { 1.0 };
                (score(key, self.keys[s], weight), s)
            });
            order.extend(sorted_by_score(scored.collect()));
        }
        order.into_iter().map(|s| self.servers[s].id.as_str()).collect()
    }

    /// The traffic of each server with weight by this plan, relative to its weight's share of all traffic.
    ///
    /// ```
    /// use micadyke_subset::{Node, Server, plan, working::DrawSettings};
    /// let node = Node { name: "a".into(), zone: "z".into(), capacity: 1.0 };
    /// let servers = [("1", 1.0), ("2", 3.0)].map(|(s, weight)| Server { id: s.into(), zone: "z".into(), weight });
    /// let plan = plan(&[node], &servers, &DrawSettings::default());
    /// assert!(plan.relative_loads().iter().all(|(_, load)| (load - 1.0).abs() < 1e-9));
    /// ```
    pub fn relative_loads(&self) -> Vec<(&str, f64)> {
        let weight: f64 = self.servers.iter().map(|s| s.weight).sum();
        let received = self.received();
        let weighted = self.servers.iter().zip(received).filter(|(s, _)| s.weight > 0.0);
        weighted.map(|(s, received)| (s.id.as_str(), received * weight / s.weight)).collect()
    }
}

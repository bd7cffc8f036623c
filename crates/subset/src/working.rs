//! Working subsets: drawn by weighted rendezvous, so that a change of members moves little, and then evened out by what
//! part of its traffic each node sends where, so that servers get their weight's share.

use crate::{Error, Node, Server, hash};
use std::collections::BTreeMap;

/// At most so many rounds of evening out; each costs a pass over all pairs.
const ROUNDS: usize = 60;
/// Servers this close to their share are even enough.
const EVEN: f64 = 0.005;
/// A capacity beyond is a slip of the pen: nobody sees a hundred times the mean.
const CAPACITY: std::ops::RangeInclusive<f64> = 0.01..=100.0;
/// A zone is not short by what rounding makes.
const SHORT: f64 = 1e-9;
/// Of few nodes each works with this part of the servers, over their number to the power of [`SHRINK`].
const FEW: f64 = 0.5;
/// At 0 a subset never would get smaller with more nodes; at 1 a join would take as many pairs from others as it brings; a
/// fifth takes a fifth.
const SHRINK: f64 = 0.2;
/// With each e-fold that a zone's traffic is above its servers, its nodes hold this part of a subset elsewhere. However short
/// a zone is, one node more there costs the others this part of a subset and no more.
const SPILL: f64 = 1.0 / 6.0;
/// In fleets smaller than this, more in proportion: a pair of one of few nodes carries much, and too few lead out of a zone.
const SMALL: f64 = 24.0;

/// What subsets are drawn by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// A node works with so many servers at least, if there are.
    pub least: usize,
    /// Each server is held by so many nodes at least, if there are.
    pub held_by: usize,
}

impl Default for Terms {
    fn default() -> Self {
        Terms { least: 20, held_by: 2 }
    }
}

impl Terms {
    /// Whether they make sense.
    ///
    /// # Errors
    /// [`Error::NoServers`], [`Error::NoHolders`].
    ///
    /// ```
    /// use micadyke_subset::{Error, working::Terms};
    /// assert_eq!(Terms::default().check(), Ok(()));
    /// assert_eq!(Terms { least: 0, held_by: 3 }.check(), Err(Error::NoServers));
    /// ```
    pub fn check(&self) -> Result<(), Error> {
        match self {
            Terms { least: 0, .. } => Err(Error::NoServers),
            Terms { held_by: 0, .. } => Err(Error::NoHolders),
            _ => Ok(()),
        }
    }
}

/// Why a server is in a node's subset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// It is of the node's zone.
    Own,
    /// The node's zone is short of servers, and this one's has some left.
    Spill,
    /// Too few nodes would have held it.
    Held,
}

/// A server that a node works with first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Preferred<'a> {
    /// The server's id.
    pub server: &'a str,
    /// The part of the node's traffic that it gets; all of a node's together are 1. At 0 it is in reserve.
    pub share: f64,
    /// Why it is here.
    pub why: Why,
}

#[derive(Debug, Clone, Copy)]
struct Edge {
    server: usize,
    flow: f64,
    why: Why,
}

/// Who works with whom.
#[derive(Debug, Clone)]
pub struct Plan {
    nodes: Vec<Node>,
    servers: Vec<Server>,
    keys: Vec<u64>,
    edges: Vec<Vec<Edge>>,
}

struct Zone {
    traffic: f64,
    weight: f64,
}

impl Zone {
    /// The part of its nodes' traffic that its servers do not carry.
    fn short(&self) -> f64 {
        let short = 1.0 - self.weight / self.traffic.max(f64::MIN_POSITIVE);
        if short > SHORT { short } else { 0.0 }
    }

    /// The part of its servers that its nodes leave.
    fn left(&self) -> f64 {
        let left = 1.0 - self.traffic / self.weight.max(f64::MIN_POSITIVE);
        if left > SHORT { left } else { 0.0 }
    }
}

fn sane(x: f64, or: f64) -> f64 {
    if x.is_finite() && x > 0.0 { x } else { or }
}

/// The lower, the better: the first `k` of all are a draw of `k` by weight.
fn score(node: u64, server: u64, weight: f64) -> f64 {
    -hash::unit(hash::pair(node, server)).ln() / weight
}

fn by_score(mut of: Vec<(f64, usize)>) -> Vec<usize> {
    of.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    of.into_iter().map(|(_, i)| i).collect()
}

/// The `k` best of all, in order.
fn best(mut of: Vec<(f64, usize)>, k: usize) -> Vec<usize> {
    if k < of.len() {
        of.select_nth_unstable_by(k, |a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        of.truncate(k);
    }
    by_score(of)
}

/// Draws all subsets of a view: each node works out the same and takes its own. Names told twice count once; a capacity
/// that is no number counts as 1, a weight as 0, and a server without weight is in no subset, but last in each order.
///
/// The time is nodes times servers, and up to 60 times the pairs: once for each change of the view, not for each request.
///
/// ```
/// use micadyke_subset::{Node, Server, plan, working::Terms};
/// let nodes: Vec<_> = (0..50)
///     .map(|n| Node { name: format!("n{n}"), zone: format!("z{}", n % 2), capacity: 1.0 })
///     .collect();
/// let servers: Vec<_> = (0..100)
///     .map(|s| Server { id: format!("s{s}"), zone: format!("z{}", s % 2), weight: 1.0 })
///     .collect();
/// let plan = plan(&nodes, &servers, &Terms::default());
/// let first = plan.working("n0").expect("known");
/// assert!(first.len() >= 20 && first.len() < 60);
/// assert!(plan.loads().iter().all(|(_, load)| (load - 1.0).abs() < 0.1));
/// // Alone, it works with all.
/// assert_eq!(micadyke_subset::plan(&nodes[..1], &servers, &Terms::default()).working("n0").expect("known").len(), 100);
/// ```
pub fn plan(nodes: &[Node], servers: &[Server], terms: &Terms) -> Plan {
    let mut nodes = nodes.to_vec();
    nodes.sort_by(|a, b| a.name.cmp(&b.name));
    nodes.dedup_by(|a, b| a.name == b.name);
    let mut servers = servers.to_vec();
    servers.sort_by(|a, b| a.id.cmp(&b.id));
    servers.dedup_by(|a, b| a.id == b.id);
    for n in &mut nodes {
        n.capacity = sane(n.capacity, 1.0).clamp(*CAPACITY.start(), *CAPACITY.end());
    }
    for s in &mut servers {
        s.weight = sane(s.weight, 0.0);
    }
    let keys = servers.iter().map(|s| hash::name("server", &s.id)).collect();
    let mut plan = Plan { edges: vec![Vec::new(); nodes.len()], nodes, servers, keys };
    plan.draw(terms);
    plan
}

impl Plan {
    fn draw(&mut self, terms: &Terms) {
        let (capacity, weight) = (
            self.nodes.iter().map(|n| n.capacity).sum::<f64>(),
            self.servers.iter().map(|s| s.weight).sum::<f64>(),
        );
        let usable = self.servers.iter().filter(|s| s.weight > 0.0).count();
        if usable == 0 || self.nodes.is_empty() {
            return;
        }
        let traffic: Vec<f64> = self.nodes.iter().map(|n| n.capacity / capacity).collect();
        let part: Vec<f64> = self.servers.iter().map(|s| s.weight / weight).collect();
        let mut zones: BTreeMap<&str, Zone> = BTreeMap::new();
        for (n, t) in self.nodes.iter().zip(&traffic) {
            zones.entry(&n.zone).or_insert(Zone { traffic: 0.0, weight: 0.0 }).traffic += t;
        }
        for (s, w) in self.servers.iter().zip(&part) {
            zones.entry(&s.zone).or_insert(Zone { traffic: 0.0, weight: 0.0 }).weight += w;
        }
        let base = (FEW * usable as f64 / (self.nodes.len() as f64).powf(SHRINK)).max(terms.least as f64);
        let mut all = Vec::with_capacity(self.nodes.len());
        for node in &self.nodes {
            let key = hash::name("node", &node.name);
            // Sizes are rounded up or down by the node's name, so that a small change of the fleet is one for few nodes.
            let size = base * node.capacity.max(1.0).sqrt() + hash::unit(hash::pair(key, 1));
            let size = (size as usize).min(usable);
            let short = zones[node.zone.as_str()].short();
            let of = |own: bool| {
                let fits = |s: &usize| {
                    let server = &self.servers[*s];
                    (server.zone == node.zone) == own && server.weight > 0.0
                };
                let scored = |s: usize| (score(key, self.keys[s], self.servers[s].weight), s);
                (0..self.servers.len()).filter(fits).map(scored).collect::<Vec<_>>()
            };
            let edge = |server, flow, why| Edge { server, flow, why };
            let mut edges: Vec<Edge> =
                best(of(true), size).into_iter().map(|s| edge(s, part[s], Why::Own)).collect();
            if short > 0.0 {
                let count = match (self.nodes.len(), edges.len()) {
                    (1, _) => usable,
                    (_, 0) => size,
                    _ => {
                        let spill = SPILL * (SMALL / self.nodes.len() as f64).max(1.0);
                        let fold = -(1.0 - short).ln() * spill * size as f64;
                        ((fold + hash::unit(hash::pair(key, 2))) as usize).min(size)
                    }
                };
                // Who is held does not go by what the zones have left, what flows does: a zone that has nothing left just now
                // is in reserve, and pairs stay while its fortunes change.
                let left = |s: usize| zones[self.servers[s].zone.as_str()].left();
                let mut spill: Vec<Edge> = best(of(false), count)
                    .into_iter()
                    .map(|s| edge(s, part[s] * left(s), Why::Spill))
                    .collect();
                let sum = |of: &[Edge]| of.iter().map(|e| e.flow).sum::<f64>();
                if edges.is_empty() && sum(&spill) <= 0.0 {
                    spill.iter_mut().for_each(|e| e.flow = part[e.server]);
                }
                let sums = (sum(&edges), sum(&spill).max(f64::MIN_POSITIVE));
                edges.iter_mut().for_each(|e| e.flow *= (1.0 - short) / sums.0);
                spill.iter_mut().for_each(|e| e.flow *= short / sums.1);
                edges.append(&mut spill);
            }
            all.push(edges);
        }
        self.edges = all;
        self.hold(terms, &traffic, &part);
        self.even(&traffic, &part);
    }

    /// Each server is held by enough nodes, of its own zone while that has any.
    fn hold(&mut self, terms: &Terms, traffic: &[f64], part: &[f64]) {
        let mut held = vec![Vec::new(); self.servers.len()];
        for (n, edges) in self.edges.iter().enumerate() {
            edges.iter().for_each(|e| held[e.server].push(n));
        }
        let keys: Vec<u64> = self.nodes.iter().map(|n| hash::name("holder", &n.name)).collect();
        for (s, held) in held.iter().enumerate() {
            if held.len() >= terms.held_by || self.servers[s].weight <= 0.0 {
                continue;
            }
            let near = |n: &usize| self.nodes[*n].zone == self.servers[s].zone;
            let mut can: Vec<usize> = (0..self.nodes.len()).filter(near).collect();
            if can.is_empty() {
                can = (0..self.nodes.len()).collect();
            }
            can.retain(|n| !held.contains(n));
            let scored = can.into_iter().map(|n| (score(keys[n], self.keys[s], traffic[n]), n)).collect();
            for n in best(scored, terms.held_by - held.len()) {
                let flow = part[s] * traffic[n];
                self.edges[n].push(Edge { server: s, flow, why: Why::Held });
            }
        }
    }

    /// Scales what flows between pairs until each server gets its part and each node sends its own (iterative proportional
    /// fitting). Nodes come last: what a node sends is 1 whatever is left uneven.
    fn even(&mut self, traffic: &[f64], part: &[f64]) {
        self.send(traffic);
        for _ in 0..ROUNDS {
            let got = self.got();
            let worst = got.iter().zip(part).filter(|(g, _)| **g > 0.0);
            let worst = worst.map(|(g, p)| (g / p - 1.0).abs()).fold(0.0, f64::max);
            if worst < EVEN {
                break;
            }
            for e in self.edges.iter_mut().flatten().filter(|e| e.flow > 0.0) {
                e.flow *= part[e.server] / got[e.server];
            }
            self.send(traffic);
        }
    }

    fn got(&self) -> Vec<f64> {
        let mut got = vec![0.0; self.servers.len()];
        self.edges.iter().flatten().for_each(|e| got[e.server] += e.flow);
        got
    }

    fn send(&mut self, traffic: &[f64]) {
        for (edges, traffic) in self.edges.iter_mut().zip(traffic) {
            let sum: f64 = edges.iter().map(|e| e.flow).sum();
            edges.iter_mut().for_each(|e| e.flow *= traffic / sum);
        }
    }

    fn find(&self, node: &str) -> Option<usize> {
        self.nodes.binary_search_by(|n| n.name.as_str().cmp(node)).ok()
    }

    /// The servers that a node works with first, the most preferred first. None if the plan does not know it: it works
    /// with all then, by [`Plan::order`].
    ///
    /// ```
    /// use micadyke_subset::{Node, Server, Why, plan, working::Terms};
    /// let zone = |n: usize, of: usize| if n < of { "here" } else { "there" }.to_owned();
    /// let nodes: Vec<_> =
    ///     (0..60).map(|n| Node { name: format!("n{n}"), zone: zone(n, 40), capacity: 1.0 }).collect();
    /// let servers: Vec<_> =
    ///     (0..60).map(|s| Server { id: format!("s{s}"), zone: zone(s, 20), weight: 1.0 }).collect();
    /// // Two thirds of the nodes are here and one of the servers: half of what is here goes there.
    /// let plan = plan(&nodes, &servers, &Terms::default());
    /// let here = plan.working("n0").expect("known");
    /// assert_eq!((here[0].why, here[here.len() - 1].why), (Why::Own, Why::Spill));
    /// let spills: f64 = here.iter().filter(|p| p.why == Why::Spill).map(|p| p.share).sum();
    /// assert!(spills > 0.2 && spills < 0.8);
    /// assert!(plan.working("n59").expect("known").iter().all(|p| p.why == Why::Own));
    /// assert!(plan.working("stranger").is_none());
    /// ```
    pub fn working(&self, node: &str) -> Option<Vec<Preferred<'_>>> {
        let edges = &self.edges[self.find(node)?];
        let sum: f64 = edges.iter().map(|e| e.flow).sum();
        let one =
            |e: &Edge| Preferred { server: &self.servers[e.server].id, share: e.flow / sum, why: e.why };
        Some(edges.iter().map(one).collect())
    }

    /// All servers in a node's order of preference: its subset, the rest of its zone, all others, those without weight. A
    /// subset widens along it.
    ///
    /// ```
    /// use micadyke_subset::{Node, Server, plan, working::Terms};
    /// let nodes = ["a", "b"].map(|n| Node { name: n.into(), zone: "z".into(), capacity: 1.0 });
    /// let servers = ["1", "2", "3"].map(|s| Server { id: s.into(), zone: "z".into(), weight: 1.0 });
    /// let plan = plan(&nodes, &servers, &Terms { least: 2, held_by: 1 });
    /// assert_eq!(plan.order("a").len(), 3);
    /// assert_eq!(plan.order("a")[0], plan.working("a").expect("known")[0].server);
    /// assert_eq!(plan.order("stranger").len(), 3);
    /// ```
    pub fn order(&self, node: &str) -> Vec<&str> {
        let found = self.find(node);
        let zone = found.map(|n| self.nodes[n].zone.as_str());
        let mut order: Vec<usize> =
            found.map(|n| self.edges[n].iter().map(|e| e.server).collect()).unwrap_or_default();
        let mut rest = vec![true; self.servers.len()];
        order.iter().for_each(|&s| rest[s] = false);
        let key = hash::name("node", node);
        for (near, weighs) in [(true, true), (false, true), (true, false), (false, false)] {
            let fits = |s: &usize| {
                let server = &self.servers[*s];
                rest[*s] && (zone == Some(&server.zone)) == near && (server.weight > 0.0) == weighs
            };
            let scored = (0..self.servers.len()).filter(fits).map(|s| {
                let weight = if weighs { self.servers[s].weight } else { 1.0 };
                (score(key, self.keys[s], weight), s)
            });
            order.extend(by_score(scored.collect()));
        }
        order.into_iter().map(|s| self.servers[s].id.as_str()).collect()
    }

    /// What each server with weight gets by this plan over its weight's share: 1 is even.
    ///
    /// ```
    /// use micadyke_subset::{Node, Server, plan, working::Terms};
    /// let node = Node { name: "a".into(), zone: "z".into(), capacity: 1.0 };
    /// let servers = [("1", 1.0), ("2", 3.0)].map(|(s, weight)| Server { id: s.into(), zone: "z".into(), weight });
    /// let plan = plan(&[node], &servers, &Terms::default());
    /// assert!(plan.loads().iter().all(|(_, load)| (load - 1.0).abs() < 1e-9));
    /// ```
    pub fn loads(&self) -> Vec<(&str, f64)> {
        let weight: f64 = self.servers.iter().map(|s| s.weight).sum();
        let got = self.got();
        let weighs = self.servers.iter().zip(got).filter(|(s, _)| s.weight > 0.0);
        weighs.map(|(s, got)| (s.id.as_str(), got * weight / s.weight)).collect()
    }
}

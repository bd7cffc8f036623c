//! Choices that add up over a fleet: who works with which servers, who looks at a silent one, who answers a shared figure.
//! [`compare`] weighs ways to draw subsets, [`look`] runs turns and news in virtual time, [`follow`] a control law over
//! late figures. The subsets, turns and the law are those of `micadyke-subset` as they run; what stands beside them to be
//! compared is written here in its simplest form.

use micadyke_subset::turns::{self, Task, TaskHistory};
use micadyke_subset::working::DrawSettings;
use micadyke_subset::{BalanceController, ControlLaw, LoadFigure, Node, Reason, Server, damp, plan};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const MS: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MS;
/// Zones of a fleet.
const ZONES: usize = 3;
/// Width of the drawn traffic: a normal logarithm's deviation. One node in a hundred sees four times the mean.
const SPREAD: f64 = 0.7;

/// How subsets are drawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Draw {
    /// Each node works with all, by weight.
    All,
    /// Each draws by itself.
    Random,
    /// By weighted rendezvous.
    Rendezvous,
    /// Rounds of shuffled servers dealt out by the node's rank (deterministic subsetting of the SRE book).
    Dealt,
    /// Arcs on two rings, by the node's rank (deterministic aperture).
    Ring,
    /// [`micadyke_subset::plan`], each node's traffic told.
    Working,
    /// The same, traffic not told.
    Untold,
}

/// All of them, in the table's order.
pub const DRAWS: [Draw; 7] =
    [Draw::All, Draw::Random, Draw::Rendezvous, Draw::Dealt, Draw::Ring, Draw::Untold, Draw::Working];

impl Draw {
    /// Its name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Draw::All => "all to all",
            Draw::Random => "random",
            Draw::Rendezvous => "rendezvous by weight",
            Draw::Dealt => "dealt by rank",
            Draw::Ring => "arcs on a ring",
            Draw::Working => "working subsets",
            Draw::Untold => "working, traffic not told",
        }
    }
}

/// A drawn fleet: nodes of unequal traffic, servers of weight 1 to 3.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// Nodes; their capacity is their traffic.
    pub nodes: Vec<Node>,
    /// Servers.
    pub servers: Vec<Server>,
}

/// Normal, by twelve uniform ones.
fn normal(random: &mut StdRng) -> f64 {
    (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0
}

impl Fleet {
    /// One fleet a seed.
    pub fn new(seed: u64, nodes: usize, servers: usize) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let nodes = (0..nodes)
            .map(|n| Node {
                // Names tell nothing of the order in which they came.
                name: format!("{:08x}", random.random::<u32>()),
                zone: format!("z{}", n % ZONES),
                capacity: (SPREAD * normal(&mut random) - SPREAD * SPREAD / 2.0).exp(),
            })
            .collect();
        let servers = (0..servers)
            .map(|s| Server {
                id: format!("s{s}"),
                zone: format!("z{}", s % ZONES),
                weight: f64::from(random.random_range(1..=3)),
            })
            .collect();
        Fleet { nodes, servers }
    }

    /// The shares of each node, by its name, over the servers it works with; `size` of them where the way leaves it open.
    pub fn shares(&self, draw: Draw, seed: u64, size: usize) -> Shares {
        let mut ranked: Vec<&Node> = self.nodes.iter().collect();
        ranked.sort_by(|a, b| a.name.cmp(&b.name));
        let all = self.servers.len();
        let size = size.min(all);
        let weights: Vec<f64> = self.servers.iter().map(|s| s.weight).collect();
        let by_weight = |of: Vec<usize>| {
            let sum: f64 = of.iter().map(|&s| weights[s]).sum();
            of.into_iter().map(|s| (s, weights[s] / sum)).collect::<BTreeMap<_, _>>()
        };
        let own = |name: &str| {
            let name = name.bytes().fold(seed, |sum, b| sum.wrapping_mul(257).wrapping_add(b.into()));
            StdRng::seed_from_u64(name)
        };
        match draw {
            Draw::Working | Draw::Untold => {
                let mut nodes = self.nodes.clone();
                if draw == Draw::Untold {
                    nodes.iter_mut().for_each(|n| n.capacity = 1.0);
                }
                let plan = plan(&nodes, &self.servers, &DrawSettings::default());
                let place: BTreeMap<&str, usize> =
                    self.servers.iter().enumerate().map(|(i, s)| (s.id.as_str(), i)).collect();
                let of = |n: &Node| {
                    let working = plan.working_subset(&n.name).unwrap_or_default();
                    working.into_iter().map(|p| (place[p.server], p.share)).collect::<BTreeMap<_, _>>()
                };
                self.nodes.iter().map(|n| (n.name.clone(), of(n))).collect()
            }
            Draw::All => self.nodes.iter().map(|n| (n.name.clone(), by_weight((0..all).collect()))).collect(),
            Draw::Random => {
                let of = |n: &Node| {
                    let drawn = rand::seq::index::sample(&mut own(&n.name), all, size);
                    by_weight(drawn.into_iter().collect())
                };
                self.nodes.iter().map(|n| (n.name.clone(), of(n))).collect()
            }
            Draw::Rendezvous => {
                let of = |n: &Node| {
                    let mut random = own(&n.name);
                    let mut scored: Vec<(f64, usize)> = weights
                        .iter()
                        .enumerate()
                        .map(|(s, w)| (-random.random::<f64>().max(f64::MIN_POSITIVE).ln() / w, s))
                        .collect();
                    scored.sort_by(|a, b| a.0.total_cmp(&b.0));
                    scored[..size].iter().map(|&(_, s)| (s, 1.0 / size as f64)).collect::<BTreeMap<_, _>>()
                };
                self.nodes.iter().map(|n| (n.name.clone(), of(n))).collect()
            }
            Draw::Dealt => {
                let hands = (all / size).max(1);
                let of = |rank: usize| {
                    let mut order: Vec<usize> = (0..all).collect();
                    order.shuffle(&mut StdRng::seed_from_u64(seed ^ (rank / hands) as u64));
                    by_weight(order[rank % hands * size..][..size].to_vec())
                };
                ranked.iter().enumerate().map(|(r, n)| (n.name.clone(), of(r))).collect()
            }
            Draw::Ring => {
                // A whole number of the nodes' own arcs, so that arcs of equal nodes cover the ring evenly.
                let count = ranked.len() as f64;
                let width = (size as f64 / all as f64 * count).ceil().min(count) / count;
                let sum: f64 = weights.iter().sum();
                let mut at = 0.0;
                let arcs: Vec<(f64, f64)> = weights
                    .iter()
                    .map(|w| {
                        at += w / sum;
                        (at - w / sum, at)
                    })
                    .collect();
                let of = |rank: usize| {
                    let (from, to) = (rank as f64 / count, rank as f64 / count + width);
                    let mut shares = BTreeMap::new();
                    for turn in [0.0, 1.0] {
                        for (s, arc) in arcs.iter().enumerate() {
                            let over = (arc.1 + turn).min(to) - (arc.0 + turn).max(from);
                            if over > 1e-12 {
                                *shares.entry(s).or_insert(0.0) += over / width;
                            }
                        }
                    }
                    shares
                };
                ranked.iter().enumerate().map(|(r, n)| (n.name.clone(), of(r))).collect()
            }
        }
    }

    /// What each server gets over its weight's share.
    pub fn loads(&self, shares: &Shares) -> Vec<f64> {
        let mut got = vec![0.0; self.servers.len()];
        for n in &self.nodes {
            shares[&n.name].iter().for_each(|(&s, share)| got[s] += share * n.capacity);
        }
        let traffic: f64 = self.nodes.iter().map(|n| n.capacity).sum();
        let weight: f64 = self.servers.iter().map(|s| s.weight).sum();
        got.iter().zip(&self.servers).map(|(g, s)| g / traffic / (s.weight / weight)).collect()
    }

    fn own_zone(&self, shares: &Shares) -> f64 {
        let (mut own, mut all) = (0.0, 0.0);
        for n in &self.nodes {
            for (&s, share) in &shares[&n.name] {
                all += share * n.capacity;
                own += if self.servers[s].zone == n.zone { share * n.capacity } else { 0.0 };
            }
        }
        own / all
    }
}

/// Each node's share by server.
pub type Shares = BTreeMap<String, BTreeMap<usize, f64>>;

/// The part of them that is lower, for a part between 0 and 1.
pub fn quantile(of: &[f64], part: f64) -> f64 {
    let mut of = of.to_vec();
    of.sort_by(f64::total_cmp);
    of[((of.len() as f64 * part).ceil() as usize).clamp(1, of.len()) - 1]
}

/// What one way to draw does to one fleet.
#[derive(Debug, Clone, Copy)]
pub struct Compared {
    /// The server that gets most, over the mean.
    pub most: f64,
    /// The server at the 99th part of a hundred, over the mean.
    pub p99: f64,
    /// The part of all traffic that stays in its zone.
    pub own_zone: f64,
    /// Servers a node works with, on the mean.
    pub connections: f64,
    /// And at most.
    pub connections_most: f64,
    /// Pairs that a join makes and breaks, over those of the one that joins.
    pub join: f64,
    /// Pairs that seven in ten killed make and break at those that live, over all that they have.
    pub killed: f64,
    /// The server that gets most after that, over the mean.
    pub most_killed: f64,
}

fn pairs(shares: &Shares) -> BTreeSet<(&str, usize)> {
    shares.iter().flat_map(|(n, of)| of.keys().map(move |s| (n.as_str(), *s))).collect()
}

/// Draws subsets for one fleet, for it with one node more, and with three in ten left.
pub fn compare(draw: Draw, seed: u64, nodes: usize, servers: usize) -> Compared {
    let joined = Fleet::new(seed, nodes + 1, servers);
    let mut fleet = joined.clone();
    let newcomer = fleet.nodes.pop().map(|n| n.name).unwrap_or_default();
    let mut few = fleet.clone();
    let mut number = 0;
    few.nodes.retain(|_| {
        number += 1;
        number % 10 >= 7
    });
    // As many as working subsets have, so that what differs is how they are drawn.
    let usual = fleet.shares(Draw::Working, seed, 0);
    let size = (usual.values().map(BTreeMap::len).sum::<usize>() as f64 / nodes as f64).round() as usize;
    let (before, more, less) =
        (fleet.shares(draw, seed, size), joined.shares(draw, seed, size), few.shares(draw, seed, size));
    let (was, with) = (pairs(&before), pairs(&more));
    let brought = more[&newcomer].len() as f64;
    let mut left = was.clone();
    left.retain(|(n, _)| less.contains_key(*n));
    let loads = fleet.loads(&before);
    Compared {
        most: quantile(&loads, 1.0),
        p99: quantile(&loads, 0.99),
        own_zone: fleet.own_zone(&before),
        connections: was.len() as f64 / nodes as f64,
        connections_most: before.values().map(BTreeMap::len).max().unwrap_or(0) as f64,
        join: was.symmetric_difference(&with).count() as f64 / brought,
        killed: left.symmetric_difference(&pairs(&less)).count() as f64 / left.len() as f64,
        most_killed: quantile(&few.loads(&less), 1.0),
    }
}

/// The part of spilled traffic and the servers' unevenness when a part of one zone's servers is gone.
pub fn short_zone(seed: u64, nodes: usize, servers: usize, gone: f64) -> (f64, f64) {
    let mut fleet = Fleet::new(seed, nodes, servers);
    let of = servers / ZONES;
    let mut number = 0;
    fleet.servers.retain(|s| {
        number += usize::from(s.zone == "z0");
        s.zone != "z0" || number as f64 > of as f64 * gone
    });
    let plan = plan(&fleet.nodes, &fleet.servers, &DrawSettings::default());
    let (mut spilled, mut all) = (0.0, 0.0);
    for n in fleet.nodes.iter().filter(|n| n.zone == "z0") {
        all += n.capacity;
        let spill = plan.working_subset(&n.name).unwrap_or_default();
        spilled +=
            n.capacity * spill.iter().filter(|p| p.reason == Reason::Spillover).map(|p| p.share).sum::<f64>();
    }
    let most = plan.relative_loads().iter().map(|(_, l)| *l).fold(0.0, f64::max);
    (spilled / all, most)
}

/// News is handed on to so many at a time, as membership does it.
const HANDED_TO: usize = 3;
/// And so often: two fifths of membership's period of 500 ms.
const ROUND: u64 = 200 * MS;
/// One way between nodes or to a server, with what the loop adds.
const WAY: u64 = 5 * MS;

/// What looking at one silent server came to.
#[derive(Debug, Clone, Copy)]
pub struct Looked {
    /// Calls at it in a second while it was silent, all nodes together.
    pub calls: f64,
    /// From its return until the first node knew, in seconds.
    pub first: f64,
    /// Until 99 in 100 of the living knew.
    pub known: f64,
}

/// One server is silent for half a minute and returns. By turns, or each node by itself once a window; `gone` of ten nodes
/// are dead, but still in the view. A node that begins to look says so, as news; so does one that is answered.
pub fn look(by_turns: bool, seed: u64, nodes: usize, gone: usize) -> Looked {
    let mut random = StdRng::seed_from_u64(seed);
    let terms = turns::TurnSettings::default();
    let names: Vec<String> = (0..nodes).map(|n| format!("{seed}-n{n}")).collect();
    let lives: Vec<bool> = (0..nodes).map(|n| n % 10 >= gone).collect();
    let living = lives.iter().filter(|l| **l).count();
    // Each piece is handed on in so many rounds; foca's own bound is of this kind.
    let rounds = 2 + (nodes as f64).log2().ceil() as u32;
    let returns = 30 * SECOND + random.random_range(0..terms.window);
    let end = returns + 3 * terms.window;
    let own: Vec<u64> = (0..nodes).map(|_| random.random_range(0..terms.window)).collect();
    let mut watch = vec![TaskHistory::default(); nodes];
    // Each piece of news: when it was made, whether the server lives.
    let mut seen: Vec<BTreeSet<(u64, bool)>> = vec![BTreeSet::new(); nodes];
    let mut knows: Vec<Option<u64>> = vec![None; nodes];
    enum Ev {
        Turn(usize),
        Hears(usize, u64, bool),
        Hands(usize, u64, bool, u32),
    }
    let mut events: BTreeMap<(u64, u64), Ev> = BTreeMap::new();
    let mut number = 0u64;
    let mut put = |events: &mut BTreeMap<(u64, u64), Ev>, at: u64, ev| {
        number += 1;
        events.insert((at, number), ev);
    };
    for n in (0..nodes).filter(|&n| lives[n]) {
        put(&mut events, if by_turns { 0 } else { own[n] }, Ev::Turn(n));
    }
    let mut calls = 0u32;
    while let Some(((now, _), ev)) = events.pop_first() {
        if now > end {
            break;
        }
        match ev {
            Ev::Turn(n) if knows[n].is_some() => {}
            Ev::Turn(n) => {
                let looks = if by_turns {
                    let of = names.iter().map(String::as_str);
                    let due = watch[n].due_at(&terms, of, &names[n], Task::ProbeServer("s"), now);
                    let next = (terms.window_at(now) + 1) * terms.window;
                    match due {
                        Some(at) if at > now => {
                            put(&mut events, at, Ev::Turn(n));
                            false
                        }
                        due => {
                            put(&mut events, next, Ev::Turn(n));
                            due.is_some()
                        }
                    }
                } else {
                    put(&mut events, now + terms.window, Ev::Turn(n));
                    true
                };
                if looks {
                    calls += u32::from(now < returns);
                    watch[n].record_result(&terms, now, now);
                    if now >= returns {
                        put(&mut events, now + 2 * WAY, Ev::Hears(n, now, true));
                    } else if by_turns {
                        put(&mut events, now, Ev::Hears(n, now, false));
                    }
                }
            }
            Ev::Hears(n, made, alive) => {
                watch[n].record_result(&terms, now, made);
                if alive {
                    knows[n].get_or_insert(now);
                }
                if seen[n].insert((made, alive)) {
                    put(&mut events, now, Ev::Hands(n, made, alive, rounds));
                }
            }
            Ev::Hands(n, made, alive, left) => {
                for to in rand::seq::index::sample(&mut random, nodes, HANDED_TO.min(nodes)) {
                    if lives[to] {
                        put(&mut events, now + WAY, Ev::Hears(to, made, alive));
                    }
                }
                if left > 1 {
                    put(&mut events, now + ROUND, Ev::Hands(n, made, alive, left - 1));
                }
            }
        }
    }
    let mut known: Vec<u64> = knows.iter().flatten().copied().collect();
    known.sort();
    let since = |t: Option<&u64>| (*t.unwrap_or(&end) - returns) as f64 / SECOND as f64;
    Looked {
        calls: f64::from(calls) / (returns as f64 / SECOND as f64),
        first: since(known.first()),
        known: since(known.get((living * 99).div_ceil(100) - 1)),
    }
}

/// What nodes do with the figures they all hear.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Follows {
    /// Nothing.
    Nobody,
    /// Each sends all to the servers that carry too little: each answers the whole gap.
    Whole,
    /// Each answers its own part, by [`Law`].
    Own,
}

/// A run of [`follow`].
#[derive(Debug, Clone, Copy)]
pub struct Followed {
    /// What is done with the figures.
    pub follows: Follows,
    /// The part of the nodes that does it; the others do nothing.
    pub part: f64,
    /// The age of figures.
    pub lag: u64,
    /// How long a session lasts on average.
    pub life: f64,
    /// The law.
    pub law: ControlLaw,
}

/// What came of it, over the last minute.
#[derive(Debug, Clone, Copy)]
pub struct Swing {
    /// The server that carries most over its share, on the time's mean.
    pub most: f64,
    /// Highest less lowest load of a server in that minute over its share, the largest of all.
    pub swing: f64,
}

/// A step of the fluid model.
const STEP: u64 = 250 * MS;
/// It runs so long; at a half, the traffic of each tenth node becomes three times what was told.
const RUN: u64 = 300 * SECOND;
/// Figures are wrong by so much at most, drawn anew each time.
const NOISE: f64 = 0.05;

/// Nodes some of whose traffic changes untold, servers whose streams come and go as a fluid, figures as old as the lag.
pub fn follow(run: &Followed, seed: u64, nodes: usize, servers: usize) -> Swing {
    let fleet = Fleet::new(seed, nodes, servers);
    let shares = fleet.shares(Draw::Working, seed, 0);
    let mut random = StdRng::seed_from_u64(seed);
    let base: Vec<Vec<(usize, f64)>> =
        fleet.nodes.iter().map(|n| shares[&n.name].iter().map(|(&s, &x)| (s, x)).collect()).collect();
    let mut now_sent: Vec<Vec<f64>> = base.iter().map(|b| b.iter().map(|x| x.1).collect()).collect();
    let mut dampers: Vec<Vec<BalanceController>> =
        base.iter().map(|b| vec![BalanceController::new(run.law, 0); b.len()]).collect();
    let follows: Vec<bool> = (0..nodes).map(|_| random.random::<f64>() < run.part).collect();
    let phase: Vec<u64> = (0..nodes).map(|_| random.random_range(0..run.law.period / STEP) * STEP).collect();
    let weight: f64 = fleet.servers.iter().map(|s| s.weight).sum();
    let part: Vec<f64> = fleet.servers.iter().map(|s| s.weight / weight).collect();
    let mut rate: Vec<f64> = fleet.nodes.iter().map(|n| n.capacity).collect();
    // Starts where the plan alone would settle.
    let mut streams = vec![0.0; servers];
    for (n, of) in base.iter().enumerate() {
        of.iter().for_each(|&(s, x)| streams[s] += rate[n] * x * run.life);
    }
    let mut past: std::collections::VecDeque<Vec<f64>> = std::collections::VecDeque::new();
    let late = (run.lag / STEP) as usize;
    let (mut low, mut high) = (vec![f64::MAX; servers], vec![0.0f64; servers]);
    let (mut most, mut count) = (0.0, 0.0);
    for now in (0..RUN).step_by(STEP as usize) {
        if now == RUN / 2 {
            (0..nodes).step_by(10).for_each(|n| rate[n] *= 3.0);
        }
        let all: f64 = streams.iter().sum();
        past.push_front(streams.iter().zip(&part).map(|(x, p)| x / all / p).collect());
        past.truncate(late + 1);
        let told: Vec<f64> = past
            .back()
            .expect("one at least")
            .iter()
            .map(|x| x * (1.0 + NOISE * random.random_range(-1.0..1.0)))
            .collect();
        for n in (0..nodes).filter(|&n| follows[n] && now % run.law.period == phase[n]) {
            let of = base[n].iter();
            now_sent[n] = match run.follows {
                Follows::Nobody => continue,
                Follows::Own => {
                    let shares: Vec<f64> = base[n].iter().map(|x| x.1).collect();
                    let factors: Vec<f64> = of
                        .zip(&mut dampers[n])
                        .map(|(&(s, _), d)| {
                            let figure =
                                LoadFigure { carried: told[s], target: 1.0, age: run.lag, coverage: 1.0 };
                            d.factor(now, Some(figure))
                        })
                        .collect();
                    damp::scale_shares(&shares, &factors)
                }
                Follows::Whole => {
                    let room: Vec<f64> = of.map(|&(s, x)| x * (1.0 - told[s]).max(0.0)).collect();
                    let sum: f64 = room.iter().sum();
                    match sum > 0.0 {
                        true => room.iter().map(|r| r / sum).collect(),
                        false => base[n].iter().map(|x| x.1).collect(),
                    }
                }
            };
        }
        let step = STEP as f64 / SECOND as f64;
        let mut comes = vec![0.0; servers];
        for (n, of) in base.iter().enumerate() {
            of.iter().zip(&now_sent[n]).for_each(|(&(s, _), x)| comes[s] += rate[n] * x);
        }
        let stays = (-step / run.life).exp();
        streams.iter_mut().zip(&comes).for_each(|(x, c)| *x = *x * stays + c * run.life * (1.0 - stays));
        if now >= RUN - 60 * SECOND {
            let all: f64 = streams.iter().sum();
            let loads: Vec<f64> = streams.iter().zip(&part).map(|(x, p)| x / all / p).collect();
            most += quantile(&loads, 1.0);
            count += 1.0;
            for (s, l) in loads.iter().enumerate() {
                (low[s], high[s]) = (low[s].min(*l), high[s].max(*l));
            }
        }
    }
    let swing = low.iter().zip(&high).map(|(l, h)| h - l).fold(0.0, f64::max);
    Swing { most: most / count, swing }
}

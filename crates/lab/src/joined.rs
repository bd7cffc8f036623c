//! Subsets and turns joined to the program: cores of front nodes as they run (connections, calls, news, subsets, turns) with
//! the decision module and membership as they run, before stand-in servers that answer in bytes. One seed, one run.

use crate::choices::quantile;
use crate::fleet::{MS, SECOND};
use micadyke::decide::Controller;
use micadyke::interface::{Action, Event, FleetLoad, Nanos, Reachability, ServerId};
use micadyke::module::Decide;
use micadyke_isup::{Frame, Message, Parser, code, kind};
use micadyke_membership::Change;
use micadyke_node::config::{Config, read};
use micadyke_node::{ConnId, Input, Node, Output};
use micadyke_recovery::phases::MembershipEvent;
use micadyke_rtsp::Message as Rtsp;
use micadyke_standin::members;
use micadyke_standin::platform::{Act, MediaServer, Record, Treat};
use micadyke_subset::settings::{NodeGroup, SubsetSettings};
use micadyke_subset::{self as subset, turns, widen, working};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// One way between any two.
const WAY: Nanos = MS;
/// A server takes so long for a set-up.
const SET_UP: Nanos = 20 * MS;
/// Mean life of a session.
const LIFE: Nanos = 30 * SECOND;
/// Streams of a server, and the part of all that play.
const PLACES: usize = 50;
const LOAD: f64 = 0.75;
/// Rate of a stream, kB a second, and the link of a server: nine tenths of it for all streams.
const RATE: f64 = 100.0;
const LINK: f64 = RATE * PLACES as f64 / 0.9;
/// Cells, and in how many of them a title lies: a tenth of the servers hold it.
const CELLS: usize = 40;
const COPIES: usize = 4;
/// Zones.
const ZONES: usize = 3;
/// Membership is run so often.
const STEP: Nanos = 50 * MS;
/// The server that falls silent.
const SILENT: usize = 7;
/// Normal logarithm's deviation of the nodes' traffic.
const SPREAD: f64 = 0.7;

const SETTINGS: &str = include_str!("../../../fixtures/node/settings.json");

/// How a node chooses servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// All alike, as without settings.
    All,
    /// Each prefers servers drawn by itself, as many as working subsets have.
    Random,
    /// As many of the best by a hash of both names.
    Rendezvous,
    /// The node's own working subsets.
    Working,
}

/// What is run.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// What chance is drawn from.
    pub seed: u64,
    /// Nodes.
    pub nodes: usize,
    /// Servers.
    pub servers: usize,
    /// How they choose.
    pub way: Way,
    /// Whether they take turns.
    pub turns: bool,
    /// Whether the module is told each second what servers carry over all nodes, a second late.
    pub figures: bool,
    /// Price of a handshake, as a share of all worth.
    pub price: f64,
}

/// What came of it.
#[derive(Debug, Default, Clone, Copy)]
pub struct Joined {
    /// Connections a node holds.
    pub connections: f64,
    /// Handshakes a request.
    pub handshakes: f64,
    /// Streams of the most loaded server over the mean, and of the one that one in a hundred is above.
    pub most: f64,
    /// See `most`.
    pub p99: f64,
    /// Requests served, and refused or failed, of those asked.
    pub served: f64,
    /// See `served`.
    pub refused: f64,
    /// Calls a second at a silent server, once all that played there is over.
    pub calls: f64,
    /// Set-ups that found no connection, a second meanwhile.
    pub in_vain: f64,
    /// Seconds from its return until 99 in 100 of the nodes use it again or may.
    pub known: f64,
    /// Pairs that a join moves over those that it brings.
    pub join: f64,
    /// Pairs that move where seven in ten are killed, of those that stay.
    pub killed: f64,
    /// Requests served in the 30 s after that.
    pub served_killed: f64,
}

/// Streams of each server over all nodes, as they were a second ago.
type Carried = Rc<RefCell<Vec<f64>>>;

/// The module, with the preference of ways that the node does not know, shared figures where they are told, and an ear on
/// ways to servers.
struct Ear {
    inner: Controller,
    outside: BTreeSet<ServerId>,
    told: bool,
    carried: Option<Carried>,
    due: Nanos,
    reach: BTreeMap<ServerId, Reachability>,
}

impl Decide for Ear {
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        if let Event::Reachability { server, reachability: reach } = event {
            self.reach.insert(server, reach);
        }
        if let Event::FleetUpdate { server, outside_subset: outside, .. } = event {
            match outside {
                true => self.outside.insert(server),
                false => self.outside.remove(&server),
            };
        }
        if let (Event::Timer { .. }, Some(carried), true) = (&event, &self.carried, now >= self.due) {
            self.due = now + SECOND;
            let carried = carried.borrow();
            let wanted = carried.iter().sum::<f64>() / carried.len().max(1) as f64;
            for (n, &carried) in carried.iter().enumerate() {
                let (server, load) =
                    (number(n), FleetLoad { carried, target: wanted, age: SECOND, coverage: 1.0 });
                let outside = self.outside.contains(&server);
                self.inner.handle(
                    now,
                    Event::FleetUpdate { server, outside_subset: outside, load: Some(load) },
                    out,
                );
            }
        }
        let list = matches!(event, Event::List { .. });
        self.inner.handle(now, event, out);
        if list && !self.told {
            self.told = true;
            for server in self.outside.clone() {
                self.inner.handle(now, Event::FleetUpdate { server, outside_subset: true, load: None }, out);
            }
        }
    }
}

enum Ev {
    Ask,
    Wake(usize),
    Serves(usize),
    Up(usize, u64),
    ToNode(usize, u64, Vec<u8>),
    ToServer(usize, u64, Vec<u8>),
    Tick,
    Step,
}

struct Front {
    node: Node<Ear>,
    viewer: Parser,
    armed: Nanos,
    bus: u64,
    /// Connections to servers: where to, and whether they are up.
    links: BTreeMap<u64, (usize, bool)>,
    /// Sessions that play.
    playing: BTreeSet<u64>,
}

/// The viewer's connection: the same number at each node, an odd one.
const VIEWER: u64 = 1;

struct Run {
    plan: Plan,
    now: Nanos,
    random: StdRng,
    members: members::World,
    fronts: BTreeMap<usize, Front>,
    traffic: Vec<f64>,
    servers: Vec<MediaServer>,
    armed: Vec<Nanos>,
    carried: Carried,
    late: Vec<f64>,
    silent: bool,
    events: BTreeMap<(Nanos, u64), Ev>,
    number: u64,
    asked: u64,
    served: u64,
    refused: u64,
    calls: u64,
    silent_calls: u64,
    ticks: u64,
    open: f64,
    most: f64,
    p99: f64,
}

fn id(server: usize) -> String {
    format!("s-{server:03}")
}

/// The number that the node gives a server: by the order of ids.
fn number(server: usize) -> ServerId {
    ServerId(server as u32 + 1)
}

fn row(server: usize) -> String {
    let addr = format!("10.9.{}.{}:2905", server / 250, server % 250 + 1);
    let (id, zone, cell) = (id(server), server % ZONES, server % CELLS);
    format!(
        r#"{{"id":"{id}","addr":"{addr}","zone":"z{zone}","kind":"k","cell":{cell},"state":"up","weight":1,"started_ms":0}}"#
    )
}

fn config(plan: &Plan, n: usize) -> Config {
    let rows: Vec<String> = (0..plan.servers).map(row).collect();
    let seed = plan.seed ^ ((n as u64 + 1) << 32);
    let text = format!(
        r#"{{"name":"{}","listen":"127.0.0.1:2905","seed":"{seed:016x}","limits":{{"cores":1,"memory_mb":32,"sockets":4096}},"bus":"127.0.0.2:4222","known":{{"offset":1,"batch":[{{"offset":1,"topology":{{"version":1,"full":true,"servers":[{}]}}}}]}},"settings":{SETTINGS}}}"#,
        members::name(n),
        rows.join(",")
    );
    let mut config = read(&text).expect("sound");
    let s = &mut config.deployment.settings;
    (s.fronts, s.cells, s.zone) = (plan.nodes as u32, CELLS as u32, (n % ZONES) as u32);
    (s.link_per_weight, s.streams_by_kind, s.full_from) = (LINK, vec![PLACES as u32], 1.0);
    (s.cross_price, s.handshake_price) = (0.05, plan.price);
    (s.cold_for, s.report_delay, s.report_period) = (20 * SECOND, 100 * MS, SECOND);
    s.classes[0].top = 0;
    config.deployment.names.zones = (0..ZONES).map(|z| format!("z{z}")).collect();
    config
}

impl Run {
    fn new(plan: Plan) -> Self {
        let mut random = StdRng::seed_from_u64(plan.seed);
        let mut members = members::World::new(plan.seed, plan.nodes);
        (0..plan.nodes).for_each(|n| members.start(n));
        members.until_settled(60);
        let mut normal = || (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
        let traffic = (0..plan.nodes + 1).map(|_| (SPREAD * normal()).exp()).collect();
        let servers =
            (0..plan.servers).map(|s| MediaServer::new(&id(s), SET_UP, Treat::Serve(LIFE))).collect();
        let now = members.now;
        let mut run = Run {
            plan,
            now,
            random,
            members,
            fronts: BTreeMap::new(),
            traffic,
            servers,
            armed: vec![Nanos::MAX; plan.servers],
            carried: Carried::default(),
            late: Vec::new(),
            silent: false,
            events: BTreeMap::new(),
            number: 0,
            asked: 0,
            served: 0,
            refused: 0,
            calls: 0,
            silent_calls: 0,
            ticks: 0,
            open: 0.0,
            most: 0.0,
            p99: 0.0,
        };
        (0..plan.nodes).for_each(|n| run.start(n));
        // What views said before there were nodes to hear it.
        run.hand_over();
        run.at(now, Ev::Ask);
        run.at(now, Ev::Step);
        run.at(now + SECOND, Ev::Tick);
        run
    }

    fn terms(&self) -> SubsetSettings {
        let kin = |n: usize| NodeGroup {
            name_prefix: members::name(n),
            zone: format!("z{}", n % ZONES),
            capacity: self.traffic[n],
        };
        SubsetSettings {
            working: (self.plan.way == Way::Working)
                .then_some((working::DrawSettings::default(), widen::WidenSettings::default())),
            turns: self.plan.turns.then(turns::TurnSettings::default),
            nodes: (0..self.traffic.len()).map(kin).collect(),
        }
    }

    /// Servers outside what a node prefers by the ways that are compared.
    fn outside(&self, n: usize) -> BTreeSet<ServerId> {
        let all: Vec<subset::Server> = (0..self.plan.servers)
            .map(|s| subset::Server { id: id(s), zone: format!("z{}", s % ZONES), weight: 1.0 })
            .collect();
        let terms = self.terms();
        let nodes: Vec<_> = (0..self.plan.nodes).map(|n| terms.node(&members::name(n))).collect();
        let size = || {
            let plan = subset::plan(&nodes, &all, &working::DrawSettings::default());
            let sum: usize = nodes.iter().filter_map(|n| plan.working_subset(&n.name)).map(|w| w.len()).sum();
            sum / nodes.len()
        };
        let mut own = StdRng::seed_from_u64(self.plan.seed.wrapping_mul(7919) ^ n as u64);
        let inside: BTreeSet<usize> = match self.plan.way {
            Way::All | Way::Working => return BTreeSet::new(),
            Way::Random => rand::seq::index::sample(&mut own, all.len(), size()).into_iter().collect(),
            Way::Rendezvous => {
                // Weights are alike: the first of an order drawn from both names.
                let mut order: Vec<(u64, usize)> = (0..all.len()).map(|s| (own.random(), s)).collect();
                order.sort_unstable();
                order.iter().take(size()).map(|o| o.1).collect()
            }
        };
        (0..all.len()).filter(|s| !inside.contains(s)).map(number).collect()
    }

    fn start(&mut self, n: usize) {
        let config = config(&self.plan, n);
        let inner =
            Controller::new(config.deployment.settings.clone(), config.seed, self.now).expect("sound");
        let carried = self.plan.figures.then(|| self.carried.clone());
        let (outside, reach) = (self.outside(n), BTreeMap::new());
        let ear = Ear { inner, outside, told: false, carried, due: 0, reach };
        let mut node = Node::new(&config, ear, self.now);
        node.enable_peers();
        if self.plan.turns || self.plan.way == Way::Working {
            node.coordinate(&members::name(n), self.terms());
        }
        let front = Front {
            node,
            viewer: Parser::default(),
            armed: Nanos::MAX,
            bus: 0,
            links: BTreeMap::new(),
            playing: BTreeSet::new(),
        };
        self.fronts.insert(n, front);
        self.feed(n, Input::ViewerConnected { conn: ConnId(VIEWER) });
    }

    fn at(&mut self, at: Nanos, ev: Ev) {
        self.number += 1;
        self.events.insert((at, self.number), ev);
    }

    fn drawn(&mut self, mean: Nanos) -> Nanos {
        (-(1.0 - self.random.random::<f64>()).ln() * mean as f64) as Nanos
    }

    fn feed(&mut self, n: usize, input: Input) {
        let now = self.now;
        let Some(front) = self.fronts.get_mut(&n) else { return };
        let mut out = Vec::new();
        front.node.handle(now, input, &mut out);
        let at = front.node.wake_at();
        if at < front.armed {
            front.armed = at;
            self.at(at.max(now), Ev::Wake(n));
        }
        out.into_iter().for_each(|o| self.carry_out(n, o));
    }

    fn carry_out(&mut self, n: usize, output: Output) {
        let (now, plan) = (self.now, self.plan);
        let Some(front) = self.fronts.get_mut(&n) else { return };
        match output {
            Output::NotifyPeers(report) => self.members.tell(n, &report),
            Output::Write { conn, bytes } if conn.0 == VIEWER => self.viewer_reads(n, &bytes),
            Output::Write { conn, bytes } => self.at(now + WAY, Ev::ToServer(n, conn.0, bytes)),
            Output::Close { conn } => {
                let link = front.links.remove(&conn.0);
                if let Some((server, _)) = link {
                    self.servers[server].closed(now, key(n, conn.0), &mut Record::new());
                }
            }
            Output::Connect { conn, addr } => {
                let std::net::IpAddr::V4(ip) = addr.ip() else { return };
                let [.., high, low] = ip.octets();
                let server = usize::from(high) * 250 + usize::from(low) - 1;
                front.links.insert(conn.0, (server, false));
                self.calls += 1;
                match self.silent && server == SILENT && server < plan.servers {
                    true => self.silent_calls += 1,
                    false => self.at(now + 2 * WAY, Ev::Up(n, conn.0)),
                }
            }
            Output::Subscribe { conn, .. } => {
                front.bus = conn.0;
                self.at(now + WAY, Ev::Up(n, conn.0));
            }
            _ => {}
        }
    }

    fn viewer_reads(&mut self, n: usize, bytes: &[u8]) {
        let Some(front) = self.fronts.get_mut(&n) else { return };
        front.viewer.feed(bytes);
        while let Ok(Some(frame)) = front.viewer.poll() {
            let Frame::Message(m) = frame else { continue };
            match m.kind {
                kind::ANSWER => {
                    front.playing.insert(m.session);
                    self.served += 1;
                }
                kind::RELEASE if !front.playing.remove(&m.session) => self.refused += 1,
                _ => {}
            }
        }
    }

    fn acts(&mut self, server: usize, acts: Vec<Act>) {
        let at = self.now + WAY;
        for act in acts {
            if let Act::Write(conn, bytes) = act {
                let (n, conn) = ((conn >> 40) as usize, conn & ((1 << 40) - 1));
                self.at(at, Ev::ToNode(n, conn, bytes));
            }
        }
        if let Some(at) = self.servers[server].wake_at().filter(|at| *at < self.armed[server]) {
            self.armed[server] = at;
            self.at(at.max(self.now), Ev::Serves(server));
        }
    }

    fn run(&mut self, span: Nanos) {
        let until = self.now + span;
        while let Some(first) = self.events.first_entry().filter(|e| e.key().0 <= until) {
            self.now = self.now.max(first.key().0);
            let ev = first.remove();
            self.happen(ev);
        }
        self.now = until;
    }

    fn happen(&mut self, ev: Ev) {
        let now = self.now;
        match ev {
            Ev::Ask => {
                let mean = LIFE as f64 / (LOAD * (self.plan.servers * PLACES) as f64);
                let next = self.drawn(mean as Nanos);
                self.at(now + next, Ev::Ask);
                let living: Vec<usize> = self.fronts.keys().copied().collect();
                let mut lot =
                    self.random.random::<f64>() * living.iter().map(|n| self.traffic[*n]).sum::<f64>();
                let hit = |n: &&usize| {
                    lot -= self.traffic[**n];
                    lot <= 0.0
                };
                let n = living.iter().find(hit).or(living.last()).copied();
                n.into_iter().for_each(|n| self.ask(n));
            }
            Ev::Wake(n) => {
                if let Some(front) = self.fronts.get_mut(&n).filter(|f| f.armed <= now) {
                    front.armed = Nanos::MAX;
                    self.feed(n, Input::Timer);
                }
            }
            Ev::Serves(server) => {
                self.armed[server] = Nanos::MAX;
                if !self.silent || server != SILENT {
                    let acts = self.servers[server].wake(now, &mut Record::new());
                    self.acts(server, acts);
                }
            }
            Ev::Up(n, conn) => {
                let Some(front) = self.fronts.get_mut(&n) else { return };
                let (conn_id, is_bus) = (ConnId(conn), front.bus == conn);
                if let Some(link) = front.links.get_mut(&conn) {
                    link.1 = true;
                    let server = link.0;
                    let acts = self.servers[server].opened(key(n, conn));
                    self.acts(server, acts);
                } else if !is_bus {
                    return;
                }
                self.feed(n, Input::Connected { conn: conn_id });
                if is_bus {
                    self.feed(n, Input::StreamOpened { conn: conn_id });
                }
            }
            Ev::ToNode(n, conn, bytes) => self.feed(n, Input::Data { conn: ConnId(conn), bytes: &bytes }),
            Ev::ToServer(n, conn, bytes) => {
                let Some(&(server, _)) = self.fronts.get(&n).and_then(|f| f.links.get(&conn)) else { return };
                if self.silent && server == SILENT {
                    return;
                }
                let life = self.drawn(LIFE);
                let s = &mut self.servers[server];
                let full = s.standing().count() >= PLACES;
                s.usual = if full { Treat::Status(453) } else { Treat::Serve(life) };
                let acts = s.read(now, key(n, conn), &bytes, &mut Record::new());
                self.acts(server, acts);
            }
            Ev::Tick => self.tick(),
            Ev::Step => {
                self.at(now + STEP, Ev::Step);
                let span = now.saturating_sub(self.members.now);
                self.members.run(span);
                self.hand_over();
            }
        }
    }

    fn ask(&mut self, n: usize) {
        self.asked += 1;
        self.number += 1;
        let home = self.random.random_range(0..CELLS);
        let figures = format!("home:{home};copies:{COPIES};top:0;viewer:00000000b4d65521");
        let message = Message::new(kind::SETUP, ((n as u64) << 40) | self.number)
            .with(code::CLASS, "free")
            .with(code::MAX_WAIT, "4000")
            .with(code::TITLE, format!("{home:016x}"))
            .with(code::FIGURES, figures)
            .with(code::DESCRIPTION, "wish");
        let bytes = message.encode().expect("it fits");
        self.feed(n, Input::Data { conn: ConnId(VIEWER), bytes: &bytes });
    }

    /// Each node hears what its view tells, and the news that came.
    fn hand_over(&mut self) {
        let told = std::mem::take(&mut self.members.told);
        for (_, n, change) in &told {
            let facts = match change {
                Change::Up(m) | Change::Renewed { new: m, .. } => {
                    MembershipEvent::Alive(m.name.clone(), m.start)
                }
                Change::Down(m) | Change::Left(m) => MembershipEvent::Gone(m.name.clone()),
                Change::Settled { .. } => MembershipEvent::ViewSettled(true),
                Change::Unsettled(_) => MembershipEvent::ViewSettled(false),
                Change::ServerReported { report: news, .. } => {
                    self.feed(*n, Input::ServerReport(news));
                    continue;
                }
                _ => continue,
            };
            self.feed(*n, Input::Membership(&facts));
        }
    }

    /// Notes of links, comments of the bus, and the second's account.
    fn tick(&mut self) {
        self.at(self.now + SECOND, Ev::Tick);
        for n in self.fronts.keys().copied().collect::<Vec<_>>() {
            let bus = self.fronts[&n].bus;
            self.feed(n, Input::Data { conn: ConnId(bus), bytes: b":\n\n" });
        }
        for server in 0..self.plan.servers {
            if self.silent && server == SILENT {
                continue;
            }
            let playing: Vec<u64> = self.servers[server].standing().collect();
            let used = playing.len() as f64 * RATE / LINK;
            let firsts: BTreeMap<usize, u64> =
                playing.iter().rev().map(|id| ((id >> 40) as usize, *id)).collect();
            for (n, id) in firsts {
                let Some(front) = self.fronts.get(&n) else { continue };
                let Some(conn) = front.links.iter().find(|l| *l.1 == (server, true)).map(|l| *l.0) else {
                    continue;
                };
                let note = Rtsp::request("ANNOUNCE", &format!("rtsp://media/{id:016x}"), 5)
                    .session(id)
                    .with("X-Note", "nic")
                    .with("Figure", &format!("{used:.4}"));
                let bytes = note.encode();
                self.at(self.now + WAY, Ev::ToNode(n, conn, bytes));
            }
        }
        let loads: Vec<f64> = self.servers.iter().map(|s| s.standing().count() as f64).collect();
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        *self.carried.borrow_mut() = std::mem::replace(&mut self.late, loads.clone());
        self.ticks += 1;
        self.most += quantile(&loads, 1.0) / mean;
        self.p99 += quantile(&loads, 0.99) / mean;
        let open: usize = self.fronts.values().map(|f| f.links.values().filter(|l| l.1).count()).sum();
        self.open += open as f64 / self.fronts.len() as f64;
    }

    fn clear(&mut self) {
        (self.asked, self.served, self.refused, self.calls, self.silent_calls) = (0, 0, 0, 0, 0);
        (self.ticks, self.open, self.most, self.p99) = (0, 0.0, 0.0, 0.0);
    }

    fn in_vain(&self) -> u64 {
        self.fronts.values().map(|f| f.node.counts().ended[3]).sum()
    }

    /// Pairs of nodes and servers that they prefer.
    fn pairs(&self, n: &usize) -> BTreeSet<u32> {
        let f = &self.fronts[n];
        let own =
            || (1..=self.plan.servers as u32).filter(|s| !f.node.module().outside.contains(&ServerId(*s)));
        match self.plan.way {
            Way::Working => f.node.preferred_servers().into_iter().map(|s| s.0).collect(),
            _ => own().collect(),
        }
    }

    /// Pairs made and broken at these nodes.
    fn moved(&self, before: &BTreeMap<usize, BTreeSet<u32>>) -> usize {
        let of = |(n, b): (&usize, &BTreeSet<u32>)| {
            self.fronts.contains_key(n).then(|| b.symmetric_difference(&self.pairs(n)).count())
        };
        before.iter().filter_map(of).sum()
    }
}

/// A connection's number at the servers' side.
fn key(n: usize, conn: u64) -> u64 {
    ((n as u64) << 40) | conn
}

/// Runs it: a steady state; a server silent, and back; a node that joins; seven in ten killed.
pub fn run(plan: Plan) -> Joined {
    let mut r = Run::new(plan);
    r.run(40 * SECOND);
    r.clear();
    r.run(20 * SECOND);
    let (asked, ticks) = (r.asked as f64, r.ticks as f64);
    let mut j = Joined {
        connections: r.open / ticks,
        handshakes: r.calls as f64 / asked,
        most: r.most / ticks,
        p99: r.p99 / ticks,
        served: r.served as f64 / asked,
        refused: r.refused as f64 / asked,
        ..Joined::default()
    };
    // Silent: sessions there are over within seconds.
    r.silent = true;
    r.run(10 * SECOND);
    r.clear();
    let vain = r.in_vain();
    r.run(16 * SECOND);
    (j.calls, j.in_vain) = (r.silent_calls as f64 / 16.0, (r.in_vain() - vain) as f64 / 16.0);
    // Back, as another process.
    r.silent = false;
    r.servers[SILENT] = MediaServer::new(&id(SILENT), SET_UP, Treat::Serve(LIFE));
    let back = r.now;
    let lost = |f: &Front| f.node.module().reach.get(&number(SILENT)) == Some(&Reachability::Lost);
    while r.fronts.values().filter(|f| lost(f)).count() * 100 > r.fronts.len() && r.now < back + 20 * SECOND {
        r.run(50 * MS);
    }
    j.known = (r.now - back) as f64 / SECOND as f64;
    let all = |r: &Run| r.fronts.keys().map(|n| (*n, r.pairs(n))).collect::<BTreeMap<_, _>>();
    let before = all(&r);
    r.members.start(plan.nodes);
    r.start(plan.nodes);
    r.run(20 * SECOND);
    let brought = r.pairs(&plan.nodes).len();
    // What it holds itself is moved, too.
    j.join = (r.moved(&before) + brought) as f64 / brought.max(1) as f64;
    let before = all(&r);
    for n in (0..plan.nodes).filter(|n| n % 10 < 7) {
        r.members.kill(n);
        let front = r.fronts.remove(&n);
        for conn in front.into_iter().flat_map(|f| f.links) {
            r.servers[conn.1.0].closed(r.now, key(n, conn.0), &mut Record::new());
        }
    }
    r.clear();
    r.run(30 * SECOND);
    j.served_killed = r.served as f64 / r.asked as f64;
    let held: usize = before.iter().filter(|b| r.fronts.contains_key(b.0)).map(|b| b.1.len()).sum();
    j.killed = r.moved(&before) as f64 / held as f64;
    j
}

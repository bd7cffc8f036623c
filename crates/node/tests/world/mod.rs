//! A node in virtual time between scripted viewers, stand-in servers and an event bus, with a record of the traffic.

#![allow(dead_code)]

pub mod machines;
mod windows;
pub mod wire;

use micadyke::decide::Controller;
use micadyke_isup::{Frame, Message, code, kind};
use micadyke_membership::server_report::ServerReport;
use micadyke_node::config::{Config, read};
use micadyke_node::{ConnId, ConnectionEnd, Input, Node, Output};
use micadyke_recovery::record::StoredState;
use micadyke_standin::platform::{Act, MediaServer, Record, Seen, Treat, bus_event, verdict};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

pub const MS: u64 = 1_000_000;
pub const SECOND: u64 = 1_000 * MS;
/// Unix time at which every test starts.
pub const START: u64 = 1_800_000_000 * SECOND;
/// One-way delay between any two parties.
const WAY: u64 = MS;

pub const SETTINGS: &str = include_str!("../../../../fixtures/node/settings.json");

pub fn server_addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, 0, n as u8], 2905))
}

pub fn row(n: usize, state: &str, started_ms: u64) -> String {
    format!(
        r#"{{"id":"s-{n}","addr":"{}","zone":"z","kind":"k","cell":0,"state":"{state}","weight":1,"started_ms":{started_ms}}}"#,
        server_addr(n)
    )
}

pub fn config(servers: usize, sockets: usize) -> Config {
    config_with(SETTINGS, servers, sockets)
}

/// The same with other settings.
pub fn config_with(settings: &str, servers: usize, sockets: usize) -> Config {
    let rows: Vec<String> = (0..servers).map(|n| row(n, "up", 0)).collect();
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:2905","seed":"8c1f30d27a5be964","limits":{{"cores":1,"memory_mb":32,"sockets":{sockets}}},"bus":"127.0.0.2:4222","known":{{"offset":1,"batch":[{{"offset":1,"topology":{{"version":1,"full":true,"servers":[{}]}}}}]}},"settings":{settings}}}"#,
        rows.join(",")
    );
    read(&text).expect("the configuration is sound")
}

/// Deliberate faults between node and world.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Break {
    /// Viewers receive answers twice.
    Twice,
    /// Answers are dropped.
    Mute,
    /// Descriptions are changed.
    Forged,
    /// Withdrawals are dropped.
    Overlap,
    /// The node does not receive drains.
    Drains,
    /// Rungs are omitted from set-ups.
    Floors,
    /// Failures of paid set-ups are sent as refusals.
    Refusals,
    /// Releases of sessions that played are dropped.
    Releases,
}

enum Ev {
    ViewerOpens(u64),
    ViewerSends(u64, Vec<u8>),
    ViewerCloses(u64),
    ToViewer(u64, Vec<u8>),
    Connected(u64),
    Refused(u64),
    ToServer(u64, Vec<u8>),
    ServerCloses(u64),
    ToNode(u64, Vec<u8>),
    NodeHears(u64),
    Do(Box<dyn FnOnce(&mut World)>),
}

pub struct World {
    pub now: u64,
    pub node: Node<Controller>,
    pub record: Record,
    /// Reports of the node to other nodes.
    pub reports: Vec<ServerReport>,
    /// The state that the node saved.
    pub saved: StoredState,
    /// Sessions that the node reported to the directory.
    pub indexed: Vec<(micadyke_directory::Session, bool)>,
    pub sessions_left: Vec<(micadyke_directory::Key, u64)>,
    pub servers: BTreeMap<SocketAddr, MediaServer>,
    /// Nothing listens there.
    pub refusing: BTreeSet<SocketAddr>,
    /// Unreachable in both directions.
    pub vanished: BTreeSet<SocketAddr>,
    /// Connection attempts to servers.
    pub calls: Vec<(u64, SocketAddr)>,
    /// The node's connections to servers, their address, and how many bytes were written.
    links: BTreeMap<u64, (SocketAddr, bool, u64)>,
    /// The bytes that connections to servers accept.
    pub windows: windows::Windows,
    viewers: BTreeMap<u64, micadyke_isup::Parser>,
    /// The messages sent on each viewer's connection, and when the node closed it.
    pub told: BTreeMap<u64, Vec<(u64, Message)>>,
    pub closed: BTreeMap<u64, u64>,
    served: BTreeSet<u64>,
    paid: BTreeSet<u64>,
    /// Connections to the bus and their last event ids.
    pub bus_calls: Vec<(u64, u64)>,
    pub bus_up: bool,
    /// Number of connections to the bus that are established but not answered.
    pub bus_hangs: u32,
    /// When the bus was connected to, and at which address.
    pub bus_asked: Vec<(u64, SocketAddr)>,
    /// The network to the bus is cut off: connection attempts are lost.
    pub bus_cut: bool,
    /// The connection that the bus answered last.
    bus_stream: u64,
    bus_open: bool,
    bus_log: Vec<(u64, Vec<u8>)>,
    events: BTreeMap<(u64, u64), Ev>,
    seq: u64,
    next_viewer: u64,
    sabotage: Option<Break>,
    /// What could not be delivered to or from unreachable machines.
    held: Vec<(SocketAddr, Ev)>,
    former: machines::FormerConnections,
}

impl World {
    pub fn new(servers: usize) -> Self {
        Self::with(config(servers, 256), servers, None)
    }

    pub fn broken(servers: usize, how: Break) -> Self {
        Self::with(config(servers, 256), servers, Some(how))
    }

    pub fn with(config: Config, servers: usize, sabotage: Option<Break>) -> Self {
        let module =
            Controller::new(config.deployment.settings.clone(), config.seed, START).expect("sound settings");
        let made = (0..servers).map(|n| {
            let server = MediaServer::new(&format!("s-{n}"), 20 * MS, Treat::Serve(5 * SECOND));
            (server_addr(n), server)
        });
        World {
            now: START,
            node: Node::new(&config, module, START),
            reports: Vec::new(),
            saved: StoredState::default(),
            indexed: Vec::new(),
            sessions_left: Vec::new(),
            record: Vec::new(),
            servers: made.collect(),
            refusing: BTreeSet::new(),
            vanished: BTreeSet::new(),
            calls: Vec::new(),
            links: BTreeMap::new(),
            windows: Default::default(),
            viewers: BTreeMap::new(),
            told: BTreeMap::new(),
            closed: BTreeMap::new(),
            served: BTreeSet::new(),
            paid: BTreeSet::new(),
            bus_calls: Vec::new(),
            bus_up: true,
            bus_hangs: 0,
            bus_asked: Vec::new(),
            bus_cut: false,
            bus_stream: 0,
            bus_open: false,
            bus_log: Vec::new(),
            events: BTreeMap::new(),
            seq: 0,
            next_viewer: 1,
            sabotage,
            held: Vec::new(),
            former: Default::default(),
        }
    }

    fn at(&mut self, at: u64, ev: Ev) {
        self.seq += 1;
        self.events.insert((at.max(self.now), self.seq), ev);
    }

    pub fn later(&mut self, after: u64, what: impl FnOnce(&mut World) + 'static) {
        self.at(self.now + after, Ev::Do(Box::new(what)));
    }

    pub fn viewer(&mut self) -> u64 {
        self.next_viewer += 2;
        let conn = self.next_viewer;
        self.viewers.insert(conn, micadyke_isup::Parser::default());
        self.at(self.now, Ev::ViewerOpens(conn));
        conn
    }

    pub fn send(&mut self, conn: u64, bytes: Vec<u8>) {
        self.at(self.now, Ev::ViewerSends(conn, bytes));
    }

    pub fn hang_up(&mut self, conn: u64) {
        self.at(self.now, Ev::ViewerCloses(conn));
    }

    /// Encodes a set-up.
    pub fn set_up(id: u64, class: &str, patience_ms: u64) -> Message {
        Message::new(kind::SETUP, id)
            .with(code::CLASS, class)
            .with(code::MAX_WAIT, patience_ms.to_string())
            .with(code::TITLE, "7f3a9c21e0b4d655")
            .with(code::LENGTH_HINT, "8200.0")
            .with(code::FIGURES, "home:0;copies:1;top:2;viewer:00000000b4d65521")
            .with(code::DESCRIPTION, "wish")
    }

    pub fn ask(&mut self, conn: u64, id: u64, class: &str, patience_ms: u64) {
        let (paid, floor) = (class == "paid", usize::from(class == "paid"));
        if paid {
            self.paid.insert(id);
        }
        self.record.push((self.now, Seen::Asked { id, patience: patience_ms * MS, paid, floor }));
        self.send(conn, Self::set_up(id, class, patience_ms).encode().unwrap());
    }

    pub fn give_up(&mut self, conn: u64, id: u64) {
        self.record.push((self.now, Seen::GaveUp { id }));
        self.send(conn, Message::new(kind::RELEASE, id).with_cause(16).encode().unwrap());
    }

    /// The bus sends an event; a node that is not connected receives it when it connects.
    pub fn bus(&mut self, offset: u64, full: bool, rows: &str) {
        self.bus_raw(offset, bus_event(offset, full, rows));
    }

    /// The same with the bytes of an event.
    pub fn bus_raw(&mut self, offset: u64, bytes: Vec<u8>) {
        if self.bus_open {
            self.bus_bytes(&bytes);
        }
        self.bus_log.push((offset, bytes));
    }

    /// The comment that the bus sends each second while its stream is open.
    pub fn bus_comment(&mut self) {
        if self.bus_open {
            self.bus_bytes(b":\n\n");
        }
    }

    /// The bus sends nothing more on the open stream and does not close it.
    pub fn stop_bus(&mut self) {
        self.bus_open = false;
    }

    pub fn bus_bytes(&mut self, bytes: &[u8]) {
        self.at(self.now + WAY, Ev::ToNode(self.bus_stream, bytes.to_vec()));
    }

    pub fn drain(&mut self, offset: u64, n: usize) {
        self.record.push((self.now + WAY, Seen::Told { server: format!("s-{n}") }));
        if self.sabotage != Some(Break::Drains) {
            self.bus(offset, false, &row(n, "draining", 0));
        }
    }

    pub fn break_bus(&mut self) {
        self.bus_open = false;
        self.at(self.now, Ev::NodeHears(self.bus_stream));
    }

    /// Cuts off the network to the bus: the open stream falls silent, and connection attempts are lost.
    pub fn cut_bus(&mut self) {
        self.stop_bus();
        self.bus_cut = true;
    }

    /// An attempt to connect to the bus. A lost one is retransmitted by the operating system after pauses that double.
    fn reach_bus(&mut self, conn: ConnId, last: u64, retransmissions: u32) {
        if self.closed.contains_key(&conn.0) {
        } else if self.bus_cut {
            let pause = SECOND << retransmissions;
            self.later(pause, move |w| w.reach_bus(conn, last, retransmissions + 1));
        } else if !self.bus_up {
            self.at(self.now + WAY, Ev::NodeHears(conn.0));
        } else {
            self.bus_reached(conn, last);
        }
    }

    fn bus_reached(&mut self, conn: ConnId, last: u64) {
        self.later(WAY, move |w| w.feed(Input::Connected { conn }));
        self.bus_open = self.bus_hangs == 0;
        if self.bus_hangs > 0 {
            self.bus_hangs -= 1;
            return;
        }
        self.bus_stream = conn.0;
        self.later(WAY, move |w| w.feed(Input::StreamOpened { conn }));
        let missed = self.bus_log.iter().filter(|e| e.0 > last).map(|e| e.1.clone());
        let missed: Vec<u8> = missed.flatten().collect();
        if !missed.is_empty() {
            self.at(self.now + 2 * WAY, Ev::ToNode(conn.0, missed));
        }
    }

    /// Resets the connections to a server.
    pub fn reset(&mut self, server: SocketAddr) {
        let conns: Vec<u64> = self.links.iter().filter(|l| l.1.0 == server).map(|l| *l.0).collect();
        conns.into_iter().for_each(|c| self.at(self.now, Ev::ServerCloses(c)));
    }

    /// Resets one connection to a server, with all that is under way on it.
    pub fn reset_link(&mut self, conn: u64) {
        self.at(self.now, Ev::ServerCloses(conn));
    }

    /// A machine is reachable again: what it sent arrives, and connections on which something was sent to it are reset.
    pub fn back(&mut self, addr: SocketAddr) {
        self.vanished.remove(&addr);
        let (now, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.held).into_iter().partition(|h| h.0 == addr);
        self.held = later;
        for (_, ev) in now {
            let ev = if let Ev::ToServer(conn, _) = ev { Ev::ServerCloses(conn) } else { ev };
            self.at(self.now, ev);
        }
    }

    /// A narrowed server reads again.
    pub fn widen(&mut self, server: SocketAddr) {
        let conns: Vec<u64> = self.links.iter().filter(|l| l.1.0 == server).map(|l| *l.0).collect();
        for (conn, rest) in self.windows.widen(server, &conns) {
            self.links.get_mut(&conn).into_iter().for_each(|l| l.2 += rest.len() as u64);
            self.at(self.now + WAY, Ev::ToServer(conn, rest));
            self.feed(Input::Writable { conn: ConnId(conn) });
        }
    }

    /// A connection to a server.
    pub fn link_to(&self, server: SocketAddr) -> Option<u64> {
        self.links.iter().find(|l| l.1.0 == server && l.1.1).map(|l| *l.0)
    }

    /// The established connections to a server, oldest first.
    pub fn links_of(&self, server: SocketAddr) -> Vec<u64> {
        self.links.iter().filter(|l| l.1.0 == server && l.1.1).map(|l| *l.0).collect()
    }

    pub fn links_to(&self, server: SocketAddr) -> usize {
        self.links.values().filter(|l| l.0 == server && l.1).count()
    }

    /// Advances time.
    pub fn run(&mut self, span: u64) {
        let until = self.now + span;
        self.feed(Input::Timer);
        loop {
            let event = self.events.first_key_value().map(|(k, _)| k.0);
            let server = self.servers.values().filter_map(MediaServer::wake_at).min();
            let next = [event, server, Some(self.node.wake_at())].into_iter().flatten().min();
            let Some(next) = next.filter(|n| *n <= until) else { break };
            self.now = self.now.max(next);
            if event == Some(next) {
                let Some((_, ev)) = self.events.pop_first() else { break };
                self.happen(ev);
            } else if server == Some(next) {
                let addrs: Vec<SocketAddr> = self.servers.keys().copied().collect();
                for addr in addrs {
                    let acts = match self.servers.get_mut(&addr) {
                        Some(s) => s.wake(self.now, &mut self.record),
                        None => continue,
                    };
                    self.acts(addr, acts);
                }
            } else {
                self.feed(Input::Timer);
            }
        }
        self.now = until;
    }

    fn acts(&mut self, addr: SocketAddr, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Write(conn, bytes) if !self.vanished.contains(&addr) => {
                    self.at(self.now + WAY, Ev::ToNode(conn, bytes));
                }
                Act::Write(conn, bytes) => self.held.push((addr, Ev::ToNode(conn, bytes))),
                Act::Close(conn) => self.at(self.now, Ev::ServerCloses(conn)),
            }
        }
    }

    fn happen(&mut self, ev: Ev) {
        match ev {
            Ev::Do(what) => what(self),
            Ev::ViewerOpens(conn) => self.feed(Input::ViewerConnected { conn: ConnId(conn) }),
            Ev::ViewerSends(conn, bytes) if self.viewers.contains_key(&conn) => {
                self.feed(Input::Data { conn: ConnId(conn), bytes: &bytes });
            }
            Ev::ViewerSends(..) => {}
            Ev::ViewerCloses(conn) => {
                if self.viewers.remove(&conn).is_some() {
                    self.feed(Input::Closed { conn: ConnId(conn), written: 0, end: ConnectionEnd::Finished });
                }
            }
            Ev::ToViewer(conn, bytes) => self.viewer_reads(conn, &bytes),
            Ev::Connected(conn) => {
                let Some(link) = self.links.get_mut(&conn) else { return };
                link.1 = true;
                let addr = link.0;
                if let Some(s) = self.servers.get_mut(&addr) {
                    let acts = s.opened(conn);
                    self.acts(addr, acts);
                }
                self.feed(Input::Connected { conn: ConnId(conn) });
            }
            Ev::Refused(conn) => {
                if self.links.remove(&conn).is_some() {
                    self.feed(Input::Closed { conn: ConnId(conn), written: 0, end: ConnectionEnd::Refused });
                }
            }
            Ev::ToServer(conn, bytes) => {
                let Some(&(addr, ..)) = self.links.get(&conn) else { return };
                if self.vanished.contains(&addr) {
                    return self.held.push((addr, Ev::ToServer(conn, bytes)));
                }
                if self.is_former(conn) {
                    return;
                }
                let Some(server) = self.servers.get_mut(&addr) else { return };
                let acts = server.read(self.now, conn, &bytes, &mut self.record);
                self.acts(addr, acts);
            }
            Ev::ServerCloses(conn) => {
                let Some((addr, _, written)) = self.links.remove(&conn) else { return };
                if let Some(s) = self.servers.get_mut(&addr) {
                    s.closed(self.now, conn, &mut self.record);
                }
                self.feed(Input::Closed { conn: ConnId(conn), written, end: ConnectionEnd::Broken });
            }
            Ev::ToNode(conn, bytes) => self.feed(Input::Data { conn: ConnId(conn), bytes: &bytes }),
            Ev::NodeHears(conn) => {
                self.feed(Input::Closed { conn: ConnId(conn), written: 0, end: ConnectionEnd::Broken })
            }
        }
    }

    pub fn feed(&mut self, input: Input) {
        let mut out = Vec::new();
        self.node.handle(self.now, input, &mut out);
        loop {
            out.drain(..).for_each(|o| self.carry_out(o));
            let Some(conn) = self.windows.news.pop_front() else { return };
            let written = self.links.get(&conn).map_or(0, |l| l.2);
            self.node.handle(self.now, Input::Blocked { conn: ConnId(conn), written }, &mut out);
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::NotifyPeers(report) => self.reports.push(report),
            Output::Save(record) => self.saved.apply_record(record),
            Output::IndexSession { session, playing } => self.indexed.push((session, playing)),
            Output::SessionsLeft { key, count } => self.sessions_left.push((key, count)),
            Output::Write { conn, mut bytes } => {
                if let Some(link) = self.links.get_mut(&conn.0) {
                    bytes = self.windows.offer(link.0, conn.0, bytes);
                    link.2 += bytes.len() as u64;
                    if self.sabotage == Some(Break::Overlap) && bytes.starts_with(b"TEARDOWN") {
                        return;
                    }
                    if self.sabotage == Some(Break::Floors) && bytes.starts_with(b"SETUP") {
                        bytes =
                            String::from_utf8_lossy(&bytes).replace("Rate-Step", "X-Nothing").into_bytes();
                    }
                    // An unreachable machine reads no withdrawal: what counts is that it was written.
                    let addr = link.0;
                    if self.vanished.contains(&addr) && bytes.starts_with(b"TEARDOWN") {
                        let (now, record) = (self.now, &mut self.record);
                        self.servers
                            .get_mut(&addr)
                            .into_iter()
                            .for_each(|s| s.written_off(now, &bytes, record));
                    }
                    self.at(self.now + WAY, Ev::ToServer(conn.0, bytes));
                } else {
                    if self.sabotage == Some(Break::Twice) {
                        self.at(self.now + WAY, Ev::ToViewer(conn.0, bytes.clone()));
                    }
                    self.at(self.now + WAY, Ev::ToViewer(conn.0, bytes));
                }
            }
            Output::Close { conn } => {
                if let Some((addr, ..)) = self.links.remove(&conn.0) {
                    if let Some(s) = self.servers.get_mut(&addr) {
                        s.closed(self.now, conn.0, &mut self.record);
                    }
                } else {
                    self.viewers.remove(&conn.0);
                    self.closed.insert(conn.0, self.now);
                }
            }
            Output::Connect { conn, addr } => {
                self.calls.push((self.now, addr));
                self.links.insert(conn.0, (addr, false, 0));
                if self.vanished.contains(&addr) {
                } else if self.refusing.contains(&addr) || !self.servers.contains_key(&addr) {
                    self.at(self.now + WAY, Ev::Refused(conn.0));
                } else {
                    self.at(self.now + 2 * WAY, Ev::Connected(conn.0));
                }
            }
            Output::Subscribe { conn, addr, last } => {
                self.bus_calls.push((conn.0, last));
                self.bus_asked.push((self.now, addr));
                self.reach_bus(conn, last, 0);
            }
            Output::PauseReading { .. } => {}
        }
    }

    fn viewer_reads(&mut self, conn: u64, bytes: &[u8]) {
        // What is read after the close was sent before it.
        let parser = self.viewers.entry(conn).or_default();
        parser.feed(bytes);
        let mut messages = Vec::new();
        while let Ok(Some(Frame::Message(m))) = parser.poll() {
            messages.push(m);
        }
        if self.closed.contains_key(&conn) {
            self.viewers.remove(&conn);
        }
        for m in messages {
            if self.sabotage == Some(Break::Mute) {
                continue;
            }
            let id = m.session;
            match m.kind {
                kind::ANSWER => {
                    self.served.insert(id);
                    let mut description = m.get(code::DESCRIPTION).unwrap_or_default().to_vec();
                    if self.sabotage == Some(Break::Forged) {
                        description.push(0);
                    }
                    self.record.push((
                        self.now,
                        Seen::Answered { id, description: Some(description), refused: false },
                    ));
                }
                kind::RELEASE if self.served.contains(&id) && self.sabotage == Some(Break::Releases) => {}
                kind::RELEASE if self.served.contains(&id) => {
                    self.record.push((self.now, Seen::Released { id }))
                }
                kind::RELEASE
                    if self.record.iter().any(|r| matches!(r.1, Seen::Asked { id: i, .. } if i == id)) =>
                {
                    let refused = matches!(m.cause_value(), Some(34 | 42 | 102));
                    let refused = refused || self.sabotage == Some(Break::Refusals);
                    self.record.push((self.now, Seen::Answered { id, description: None, refused }));
                }
                _ => {}
            }
            self.told.entry(conn).or_default().push((self.now, m));
        }
    }

    /// The final answer of a set-up as its viewer received it.
    pub fn answer(&self, id: u64) -> Option<(u64, bool, bool)> {
        self.record.iter().find_map(|(at, s)| match s {
            Seen::Answered { id: i, description, refused } if *i == id => {
                Some((*at, description.is_some(), *refused))
            }
            _ => None,
        })
    }

    /// How often servers were sent a set-up.
    pub fn sends(&self, id: u64) -> usize {
        self.record.iter().filter(|(_, s)| matches!(s, Seen::Sent { id: i, .. } if *i == id)).count()
    }

    pub fn broken_rules(&self) -> Vec<String> {
        verdict(&self.record, self.now)
    }
}

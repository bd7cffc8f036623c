//! The fleet of one run: decision modules as they run, servers that only count, viewers that come back until they are served.

use super::deployment::{Deployment, Restarts};
use super::window::{Found, Reached, Window};
use crate::fleet::{MS, SECOND};
use micadyke::decide::Controller;
use micadyke::interface::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// One way between front and server, at the least; what comes on top is drawn around as much again.
const WAY: Nanos = MS;
/// A server takes so long for a set-up.
const SET_UP: Nanos = 20 * MS;
/// A viewer gives up after this.
const PATIENCE: Nanos = 4 * SECOND;
/// A viewer that was cut off, or turned away without advice, comes back after this on average.
const RETURN: Nanos = 500 * MS;
/// A connection to a server comes up late, by up to `CONNECT`, once in so many.
const LATE_ONE_IN: u32 = 10;
const CONNECT: Nanos = 250 * MS;
/// A front whose call was refused takes the server for lost for this long.
const LOST: Nanos = 300 * MS;
/// A front notices after this that a machine vanished.
const VANISHED: Nanos = 4 * SECOND;
/// A front that was killed is back after between one and three of these.
const DOWN: Nanos = 500 * MS;
/// Rate of the ladder's rungs, kB a second, and what they earn.
const LADDER: [(f64, f64); 3] = [(100.0, 0.4), (250.0, 0.8), (500.0, 1.0)];
const MIDDLE: f64 = LADDER[1].0;
/// Links tell how full they are so often.
const NOTE_PERIOD: Nanos = SECOND;

/// A run.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// The deployment.
    pub deployment: Deployment,
    /// Front nodes.
    pub fronts: usize,
    /// How many fronts their settings say there are; what is right is `fronts`.
    pub group_size: u32,
    /// What chance is drawn from.
    pub seed: u64,
    /// When fronts are restarted.
    pub restarts: Restarts,
}

/// Runs it: a steady state, then the start of the servers, watched until all of them are warm.
pub fn run(plan: Plan) -> Found {
    let mut fleet = Fleet::new(plan);
    let begin = 2 * fleet.deployment.life;
    fleet.run_until(begin);
    fleet.found = Found::default();
    fleet.plan_starts(begin);
    fleet.plan_restarts(begin);
    fleet.run_until(begin + 2 * fleet.deployment.bound.cold_for);
    fleet.found
}

/// A process of a front; a restarted one is another.
type Process = u32;

enum Ev {
    /// A viewer asks; it was here before.
    Ask(bool),
    Timer(usize, Process, u64),
    Arrives(Attempt),
    Ended(Attempt, Outcome),
    Stands(Attempt),
    /// A session has played to its end.
    Over(Attempt),
    /// A session was cut off.
    Cut(Attempt),
    /// A server's process ends: whether its machine gives a sign, whether the list tells.
    Stop {
        server: u32,
        sign: bool,
        told: bool,
    },
    Start(u32),
    /// The list has changed.
    Listed(ServerEntry),
    /// A front reads that.
    Reads(usize, Process, ServerEntry),
    /// A front no longer takes a server for lost.
    NotLost(usize, Process, ServerId),
    Kill(usize),
    Open(usize),
    Notes,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    front: usize,
    process: Process,
    session: SessionId,
    server: ServerId,
    /// The server's process that it was sent to, or that it stands at.
    at: u32,
    work: f64,
    told: bool,
    timeout: Nanos,
}

struct Front {
    module: Controller,
    process: Process,
    started: Nanos,
    /// Its clock less the servers', and a second more.
    clock: Nanos,
    /// Sessions that play, and their rung.
    playing: BTreeMap<SessionId, (Attempt, Rung)>,
    rungs: BTreeMap<SessionId, Rung>,
    /// Starts that it read of.
    read: BTreeMap<ServerId, Nanos>,
    /// Processes of servers that it saw fail.
    saw: BTreeSet<(ServerId, u32)>,
    /// Processes of servers to which it has a connection.
    connected: BTreeSet<(ServerId, u32)>,
}

struct Server {
    up: bool,
    /// It gives a sign while it is down: calls are refused.
    sign: bool,
    started: Nanos,
    process: u32,
    playing: u32,
    window: Window,
}

struct Fleet {
    plan: Plan,
    deployment: Deployment,
    settings: Settings,
    now: Nanos,
    fronts: BTreeMap<usize, Front>,
    traffic: Vec<f64>,
    servers: BTreeMap<u32, Server>,
    listed: BTreeMap<u32, ServerEntry>,
    works: BTreeMap<SessionId, f64>,
    events: BTreeMap<(Nanos, u64), Ev>,
    number: u64,
    sessions: u64,
    processes: Process,
    random: StdRng,
    found: Found,
}

fn settings(plan: &Plan) -> Settings {
    let d = &plan.deployment;
    let class = |scale| Class {
        worth: 1.0,
        setup_target: SECOND,
        effect: Effect::Idempotent,
        scale,
        floor: 0,
        top: LADDER.len() - 1,
        seats: 0,
    };
    Settings {
        fronts: plan.group_size,
        classes: vec![class(1.0), class(0.8)],
        ladder: LADDER.iter().map(|&(rate, worth)| RungSpec { rate, worth }).collect(),
        cells: 1,
        racks: 1,
        streams_by_kind: vec![d.bound.places as u32],
        link_per_weight: d.bound.places * MIDDLE,
        weights_reflect_size: true,
        change_cost_s: 0.5,
        report_period: NOTE_PERIOD,
        max_attempts: 3,
        advises_retry: true,
        max_retry_after: 4 * SECOND,
        cold_for: d.bound.cold_for,
        cold_from: d.bound.cold_from,
        fall_multiple: d.bound.multiple,
        fall_window: d.bound.window,
        ..Settings::default()
    }
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let mut random = StdRng::seed_from_u64(plan.seed);
        let deployment = plan.deployment;
        // One front in five has several times the mean of the others.
        let traffic = (0..plan.fronts).map(|n| match n % 5 {
            0 => random.random_range(3.0..6.0),
            _ => random.random_range(0.2..1.0),
        });
        let traffic = traffic.collect();
        let server = |id| {
            let window = Window::default();
            (id, Server { up: true, sign: true, started: 0, process: 0, playing: 0, window })
        };
        let mut fleet = Fleet {
            plan,
            deployment,
            settings: settings(&plan),
            now: 0,
            fronts: BTreeMap::new(),
            traffic,
            servers: (0..deployment.servers).map(server).collect(),
            listed: (0..deployment.servers).map(|id| (id, entry(id, ServerState::Ready, 0))).collect(),
            works: BTreeMap::new(),
            events: BTreeMap::new(),
            number: 0,
            sessions: 0,
            processes: 0,
            random,
            found: Found::default(),
        };
        (0..plan.fronts).for_each(|n| fleet.open(n));
        fleet.at(0, Ev::Ask(false));
        fleet.at(0, Ev::Notes);
        fleet
    }

    /// The servers die, and come back seconds later; one in four dies once more while it is cold.
    fn plan_starts(&mut self, begin: Nanos) {
        for server in 0..self.deployment.started() {
            let at = begin + self.upto(200 * MS);
            self.plan_start(server, at);
            if self.random.random_bool(0.25) {
                let later = at + 4 * SECOND + self.upto(self.deployment.bound.cold_for / 2);
                self.plan_start(server, later);
            }
        }
    }

    fn plan_start(&mut self, server: u32, at: Nanos) {
        let (sign, told) = (self.random.random_bool(0.7), self.random.random_bool(0.5));
        let back = at + 300 * MS + self.upto(2 * SECOND);
        self.at(at, Ev::Stop { server, sign, told });
        self.at(back, Ev::Start(server));
    }

    fn plan_restarts(&mut self, begin: Nanos) {
        let bound = self.deployment.bound;
        let ramp = begin + SECOND;
        let at_once = ramp + self.upto(2 * bound.window);
        for n in 0..self.plan.fronts {
            let at = match self.plan.restarts {
                Restarts::None => continue,
                Restarts::Rolling => ramp + bound.cold_for / 2 * n as u64 / self.plan.fronts as u64,
                Restarts::AtOnce if n % 10 < 7 => at_once,
                Restarts::AtOnce => continue,
            };
            let back = at + DOWN + self.upto(2 * DOWN);
            self.at(at, Ev::Kill(n));
            self.at(back, Ev::Open(n));
        }
    }

    fn at(&mut self, at: Nanos, ev: Ev) {
        self.number += 1;
        self.events.insert((at, self.number), ev);
    }

    fn upto(&mut self, most: Nanos) -> Nanos {
        self.random.random_range(0..most.max(1))
    }

    /// A span drawn around a mean: exponential.
    fn drawn(&mut self, mean: Nanos) -> Nanos {
        (-(1.0 - self.random.random::<f64>()).ln() * mean as f64) as Nanos
    }

    fn run_until(&mut self, until: Nanos) {
        while let Some(first) = self.events.first_entry().filter(|e| e.key().0 <= until) {
            self.now = first.key().0;
            let ev = first.remove();
            self.happen(ev);
        }
        self.now = until;
    }

    fn happen(&mut self, ev: Ev) {
        match ev {
            Ev::Ask(again) => self.ask(again),
            Ev::Timer(n, process, token) => self.tell_process(n, process, Event::Timer { token }),
            Ev::Arrives(attempt) => self.arrives(attempt),
            Ev::Ended(attempt, outcome) => self.ended(attempt, outcome),
            Ev::Stands(attempt) => self.stands(attempt),
            Ev::Over(attempt) => self.over(attempt, Outcome::Served),
            Ev::Cut(attempt) => self.over(attempt, Outcome::Reset),
            Ev::Stop { server, sign, told } => self.stop(server, sign, told),
            Ev::Start(server) => self.start(server),
            Ev::Listed(entry) => self.listed(entry),
            Ev::Reads(n, process, entry) => self.reads(n, process, entry),
            Ev::NotLost(n, process, server) => {
                self.tell_process(
                    n,
                    process,
                    Event::Reachability { server, reachability: Reachability::Closed },
                );
            }
            Ev::Kill(n) => self.kill(n),
            Ev::Open(n) => self.open(n),
            Ev::Notes => self.notes(),
        }
    }

    // ----- fronts

    /// A front's process starts, with the list as it is known by then.
    fn open(&mut self, n: usize) {
        self.processes += 1;
        let clock = SECOND - self.deployment.clocks + self.upto(2 * self.deployment.clocks);
        let seed = self.random.random();
        let module = Controller::new(self.settings.clone(), seed, self.now + clock).expect("sound settings");
        let front = Front {
            module,
            process: self.processes,
            started: self.now,
            clock,
            playing: BTreeMap::new(),
            rungs: BTreeMap::new(),
            read: self.listed.values().map(|e| (e.server, e.started_at)).collect(),
            saw: BTreeSet::new(),
            connected: BTreeSet::new(),
        };
        self.fronts.insert(n, front);
        let entries = self.listed.values().cloned().map(by_clocks).collect();
        self.tell(n, Event::List { kind: ListKind::Full, entries });
    }

    /// A front's process is killed: its sessions are over, and their viewers ask elsewhere.
    fn kill(&mut self, n: usize) {
        let Some(front) = self.fronts.remove(&n) else { return };
        for (attempt, _) in front.playing.into_values() {
            self.frees(&attempt);
            self.comes_back(0);
        }
    }

    fn is(&self, n: usize, process: Process) -> bool {
        self.fronts.get(&n).is_some_and(|f| f.process == process)
    }

    fn tell_process(&mut self, n: usize, process: Process, event: Event) {
        if self.is(n, process) {
            self.tell(n, event);
        }
    }

    /// Hands a front an event, and carries out what it asks for.
    fn tell(&mut self, n: usize, event: Event) {
        let Some(front) = self.fronts.get_mut(&n) else { return };
        let (mut out, process) = (Vec::new(), front.process);
        front.module.handle(self.now + front.clock, event, &mut out);
        for action in out {
            match action {
                Action::Send { session, server, timeout } => self.send(n, session, server, timeout),
                Action::Refuse { session, retry_after } => self.answered(session, retry_after),
                Action::Fail { session } => self.answered(session, 0),
                Action::SetTimer { after, token } => {
                    self.at(self.now + after, Ev::Timer(n, process, token));
                }
                Action::SetRung { session, rung } => self.set_rung(n, session, rung),
                Action::Subscribe => {}
            }
        }
    }

    fn set_rung(&mut self, n: usize, session: SessionId, rung: Rung) {
        let Some(front) = self.fronts.get_mut(&n) else { return };
        match front.playing.get_mut(&session) {
            Some(playing) => playing.1 = rung,
            None => drop(front.rungs.insert(session, rung)),
        }
    }

    fn answered(&mut self, session: SessionId, advice: Nanos) {
        self.works.remove(&session);
        self.comes_back(advice);
    }

    fn comes_back(&mut self, advice: Nanos) {
        let wait = if advice > 0 { advice } else { RETURN / 2 };
        let at = self.now + wait + self.drawn(RETURN / 2);
        self.at(at, Ev::Ask(true));
    }

    // ----- requests

    fn ask(&mut self, again: bool) {
        if !again {
            let d = &self.deployment;
            let usual = d.load * d.bound.places * f64::from(d.servers);
            let next = self.drawn((d.life as f64 / usual) as Nanos);
            self.at(self.now + next, Ev::Ask(false));
        }
        let Some(n) = self.drawn_front() else { return self.comes_back(0) };
        self.sessions += 1;
        let (session, class) = (SessionId(self.sessions), self.random.random_range(0..2));
        let work = self.deployment.works[class] * self.random.random_range(0.5..1.5);
        self.works.insert(session, work);
        let wish = SessionRequest {
            session,
            class: ClassId(class),
            title: TitleId("title".into()),
            base: 0,
            spread: 1,
            top: LADDER.len() - 1,
            give_up_at: self.now + self.fronts[&n].clock + PATIENCE,
            returning: again,
        };
        self.tell(n, Event::Request(wish));
    }

    /// One of the fronts that run, by their traffic.
    fn drawn_front(&mut self) -> Option<usize> {
        let all: f64 = self.fronts.keys().map(|n| self.traffic[*n]).sum();
        let mut lot = self.random.random::<f64>() * all;
        let hit = |n: &&usize| {
            lot -= self.traffic[**n];
            lot <= 0.0
        };
        self.fronts.keys().find(hit).or(self.fronts.keys().last()).copied()
    }

    fn send(&mut self, n: usize, session: SessionId, server: ServerId, timeout: Nanos) {
        let late = self.random.random_range(0..LATE_ONE_IN) == 0;
        let way = WAY + self.drawn(WAY);
        let Some(front) = self.fronts.get_mut(&n) else { return };
        let at = &self.servers[&server.0];
        let told = front.read.get(&server).is_some_and(|read| *read >= at.started)
            || at.process > 0 && front.saw.contains(&(server, at.process - 1));
        let work = self.works.get(&session).copied().unwrap_or(1.0);
        let process = front.process;
        let attempt = Attempt { front: n, process, session, server, at: at.process, work, told, timeout };
        let new = front.connected.insert((server, at.process));
        let handshake = match (new, late) {
            (true, true) => self.upto(CONNECT),
            (true, false) => 2 * WAY,
            _ => 0,
        };
        self.at(self.now + way + handshake, Ev::Arrives(attempt));
    }

    fn arrives(&mut self, mut attempt: Attempt) {
        let (now, bound) = (self.now, self.deployment.bound);
        let id = attempt.server.0;
        let younger = self
            .fronts
            .get(&attempt.front)
            .is_some_and(|f| f.process == attempt.process && f.started >= self.servers[&id].started);
        let Some(server) = self.servers.get_mut(&id) else { return };
        if !server.up {
            return match server.sign {
                true => self.at(now + WAY, Ev::Ended(attempt, Outcome::NoConnection)),
                false => self.at(now + attempt.timeout, Ev::Ended(attempt, Outcome::TimedOut)),
            };
        }
        if server.started > 0 {
            // What was sent before the start was sent by a front that can't have been told of it.
            let told = attempt.told && attempt.at == server.process;
            let reached = Reached { at: now, work: attempt.work, told, younger };
            if server.window.take(&bound, now - server.started, reached, &mut self.found) {
                self.at(now, Ev::Stop { server: id, sign: true, told: false });
                self.at(now + SECOND, Ev::Start(id));
                return self.at(now + WAY, Ev::Ended(attempt, Outcome::Reset));
            }
        }
        if f64::from(server.playing) >= bound.places {
            return self.at(now + WAY, Ev::Ended(attempt, Outcome::Full));
        }
        attempt.at = server.process;
        server.playing += 1;
        self.at(now + SET_UP + WAY, Ev::Stands(attempt));
    }

    fn stands(&mut self, attempt: Attempt) {
        let (n, session) = (attempt.front, attempt.session);
        let server = &self.servers[&attempt.server.0];
        if server.process != attempt.at || !server.up {
            return self.ended(attempt, Outcome::Reset);
        }
        self.works.remove(&session);
        if !self.is(n, attempt.process) {
            // Its front has gone: nobody is answered.
            self.frees(&attempt);
            return self.comes_back(0);
        }
        let life = self.drawn(self.deployment.life);
        self.at(self.now + life, Ev::Over(attempt));
        if let Some(front) = self.fronts.get_mut(&n) {
            let rung = front.rungs.remove(&session).unwrap_or(0);
            front.playing.insert(session, (attempt, rung));
        }
        self.tell(n, Event::Reachability { server: attempt.server, reachability: Reachability::Open });
        self.tell(n, Event::Started { session });
    }

    fn frees(&mut self, attempt: &Attempt) {
        if let Some(s) = self.servers.get_mut(&attempt.server.0).filter(|s| s.process == attempt.at) {
            s.playing = s.playing.saturating_sub(1);
        }
    }

    /// An attempt that does not stand has ended.
    fn ended(&mut self, attempt: Attempt, outcome: Outcome) {
        let Attempt { front: n, process, session, server, .. } = attempt;
        if !self.is(n, process) {
            self.works.remove(&session);
            return self.comes_back(0);
        }
        if matches!(outcome, Outcome::NoConnection | Outcome::Reset) {
            self.saw_fail(n, server, attempt.at);
        }
        if outcome == Outcome::NoConnection {
            self.tell(n, Event::Reachability { server, reachability: Reachability::Lost });
            self.at(self.now + LOST, Ev::NotLost(n, process, server));
        }
        self.tell(n, Event::Ended { session, server, outcome, finished: false });
    }

    /// A session that stood is over.
    fn over(&mut self, attempt: Attempt, outcome: Outcome) {
        let Attempt { front: n, process, session, server, .. } = attempt;
        if !self.is(n, process) {
            return;
        }
        let Some(front) = self.fronts.get_mut(&n) else { return };
        if front.playing.remove(&session).is_none() {
            return;
        }
        self.frees(&attempt);
        if outcome == Outcome::Reset {
            self.saw_fail(n, server, attempt.at);
            self.comes_back(0);
        }
        self.tell(n, Event::Ended { session, server, outcome, finished: true });
    }

    fn saw_fail(&mut self, n: usize, server: ServerId, process: u32) {
        self.fronts.get_mut(&n).into_iter().for_each(|f| {
            f.saw.insert((server, process));
        });
    }

    // ----- servers

    fn stop(&mut self, id: u32, sign: bool, told: bool) {
        let Some(server) = self.servers.get_mut(&id).filter(|s| s.up) else { return };
        (server.up, server.sign) = (false, sign);
        let started = server.started;
        let noticed = self.now + if sign { WAY } else { VANISHED };
        let of = |f: &Front| -> Vec<Attempt> {
            f.playing.values().filter(|p| p.0.server.0 == id).map(|p| p.0).collect()
        };
        let cut: Vec<Attempt> = self.fronts.values().flat_map(of).collect();
        cut.into_iter().for_each(|attempt| self.at(noticed, Ev::Cut(attempt)));
        if told {
            let lag = self.upto(self.deployment.lag / 4);
            self.at(self.now + lag, Ev::Listed(entry(id, ServerState::Gone, started)));
        }
    }

    fn start(&mut self, id: u32) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&id).filter(|s| !s.up) else { return };
        server.process += 1;
        (server.up, server.started, server.playing) = (true, now, 0);
        server.window = Window::default();
        let lag = self.upto(self.deployment.lag);
        self.at(now + lag, Ev::Listed(entry(id, ServerState::Ready, now)));
    }

    /// The list has changed: most fronts read it at once, one in five late.
    fn listed(&mut self, entry: ServerEntry) {
        // What was overtaken is not told any more.
        let old = self.listed[&entry.server.0].started_at;
        if entry.started_at < old {
            return;
        }
        self.listed.insert(entry.server.0, entry.clone());
        for n in self.fronts.keys().copied().collect::<Vec<_>>() {
            let late = self.random.random_range(0..5) == 0;
            let lag = self.upto(if late { self.deployment.lag } else { 20 * MS });
            let process = self.fronts[&n].process;
            self.at(self.now + lag, Ev::Reads(n, process, entry.clone()));
        }
    }

    fn reads(&mut self, n: usize, process: Process, entry: ServerEntry) {
        if !self.is(n, process) {
            return;
        }
        let Some(front) = self.fronts.get_mut(&n) else { return };
        let read = front.read.entry(entry.server).or_default();
        if entry.started_at < *read {
            return;
        }
        *read = entry.started_at;
        self.tell(n, Event::List { kind: ListKind::Delta, entries: vec![by_clocks(entry)] });
    }

    /// Each front hears of the links at which it has sessions.
    fn notes(&mut self) {
        self.at(self.now + NOTE_PERIOD, Ev::Notes);
        let mut asked: BTreeMap<u32, f64> = BTreeMap::new();
        for (attempt, rung) in self.fronts.values().flat_map(|f| f.playing.values()) {
            *asked.entry(attempt.server.0).or_default() += LADDER[*rung].0;
        }
        let link = self.deployment.bound.places * MIDDLE;
        let notes: Vec<(usize, SessionId, ServerId)> = self.fronts.iter().flat_map(one_each).collect();
        for (n, session, server) in notes {
            let value = asked.get(&server.0).copied().unwrap_or(0.0) / link;
            self.tell(n, Event::Report { session, server, kind: ReportKind::LinkUse, value });
        }
    }
}

/// One session at each server where a front has any.
fn one_each((n, front): (&usize, &Front)) -> Vec<(usize, SessionId, ServerId)> {
    let first: BTreeMap<ServerId, SessionId> =
        front.playing.iter().rev().map(|(id, p)| (p.0.server, *id)).collect();
    first.into_iter().map(|(server, session)| (*n, session, server)).collect()
}

fn entry(id: u32, state: ServerState, started_at: Nanos) -> ServerEntry {
    ServerEntry { server: ServerId(id), state, kind: 0, weight: 1.0, cell: 0, zone: 0, started_at }
}

/// Fronts' clocks stand at a second, on the mean, when the servers' stand at 0.
fn by_clocks(entry: ServerEntry) -> ServerEntry {
    let started_at = if entry.started_at > 0 { entry.started_at + SECOND } else { 0 };
    ServerEntry { started_at, ..entry }
}

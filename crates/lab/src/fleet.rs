//! A fleet in virtual time: the decision module of each front as it runs, its membership as it runs, stand-in servers that
//! warm up and fall over, and viewers that come back. One seed, one run.

use micadyke::decide::Controller;
use micadyke::interface::*;
use micadyke_membership::share;
use micadyke_standin::members;
use micadyke_standin::model::{self, SetUp};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap};

/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000 * MS;

/// One way between viewer, front and server.
const WAY: Nanos = MS;
/// A server takes so long for a set-up.
const SET_UP: Nanos = 20 * MS;
/// A viewer gives up after this.
const PATIENCE: Nanos = 4 * SECOND;
/// A viewer that was refused without advice, failed or cut off comes back after this on average, at least half of it.
const RETURN: Nanos = SECOND;
/// Parts and views are looked at so often.
const STEP: Nanos = 50 * MS;
/// Streams of a server.
const PLACES: u32 = 100;
/// Rate of the ladder's rungs, kB a second, and what they earn.
const LADDER: [(f64, f64); 3] = [(100.0, 0.4), (250.0, 0.8), (500.0, 1.0)];
/// A server's link, kB a second: the middle rung for all places.
const LINK: f64 = 25_000.0;

/// By what a front reckons its part of a cold budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Parts {
    /// One over the configured number of fronts.
    Fixed,
    /// Always a half of that, and what a majority leases.
    Leased,
    /// One over the number that it sees: what two halves may not do.
    Seen,
}

/// A fleet before its fault.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// What chance is drawn from.
    pub seed: u64,
    /// Front nodes.
    pub fronts: usize,
    /// Servers.
    pub servers: u32,
    /// Part of all streams that play in the steady state.
    pub load: f64,
    /// A session plays for so long on average.
    pub life: Nanos,
    /// How parts are reckoned.
    pub parts: Parts,
}

/// What was seen in one second.
#[derive(Debug, Default, Clone, Copy)]
pub struct Second {
    /// Sessions that play at its end.
    pub playing: usize,
    /// Set-ups that reached a cold server.
    pub cold: u32,
    /// What all cold servers together bear in a second.
    pub bear: f64,
    /// Requests asked, and those given a final answer that is none of a session.
    pub asked: u32,
    /// See `asked`.
    pub refused: u32,
}

enum Ev {
    /// A viewer asks; it was here before.
    Ask(bool),
    Timer(usize, u64),
    Arrives(usize, SessionId, ServerId),
    Answered(usize, SessionId, ServerId, Option<Outcome>),
    /// A session has played to its end; by its number at the server.
    Over(usize, SessionId, ServerId, u64),
    Step,
    Tick,
}

struct Front {
    module: Controller,
    part: Option<f64>,
    /// Sessions that play: where, and their number there.
    playing: HashMap<SessionId, (ServerId, u64)>,
}

/// A fleet that runs.
pub struct Fleet {
    plan: Plan,
    settings: Settings,
    /// The time.
    pub now: Nanos,
    /// The view that the fronts keep of each other.
    pub members: members::World,
    world: model::World,
    fronts: BTreeMap<usize, Front>,
    events: BTreeMap<(Nanos, u64), Ev>,
    number: u64,
    session: u64,
    random: StdRng,
    current: Second,
    /// What was seen, by second.
    pub seconds: Vec<Second>,
    /// When servers were pushed over.
    pub fell: Vec<Nanos>,
}

impl Fleet {
    /// A fleet in its steady state.
    pub fn new(plan: Plan) -> Self {
        let mut members = members::World::new(plan.seed, plan.fronts);
        members.shares = Some(share::ShareSettings {
            fleet_size: plan.fronts as u32,
            guaranteed_per_mille: 500,
            lease_duration: 3 * SECOND,
            max_drift_per_mille: 10,
        });
        (0..plan.fronts).for_each(|n| members.start(n));
        members.until_settled(60);
        members.run(9 * SECOND);
        let class = Class {
            worth: 1.0,
            setup_target: SECOND,
            effect: Effect::Idempotent,
            scale: 1.0,
            floor: 0,
            top: LADDER.len() - 1,
            seats: 0,
        };
        let settings = Settings {
            fronts: plan.fronts as u32,
            classes: vec![class],
            ladder: LADDER.iter().map(|&(rate, worth)| RungSpec { rate, worth }).collect(),
            cells: 1,
            racks: 1,
            streams_by_kind: vec![PLACES],
            link_per_weight: LINK,
            weights_reflect_size: true,
            full_from: 1.5,
            change_cost_s: 0.5,
            report_delay: 100 * MS,
            report_period: SECOND,
            max_attempts: 3,
            advises_retry: true,
            max_retry_after: 4 * SECOND,
            cold_for: 20 * SECOND,
            cold_from: 0.3,
            fall_multiple: 3.0,
            fall_window: SECOND,
            ..Settings::default()
        };
        let terms = model::Terms {
            ladder: LADDER.map(|r| r.0).to_vec(),
            warm_after: settings.cold_for,
            cold_from: settings.cold_from,
            fall_multiple: settings.fall_multiple,
            fall_window: settings.fall_window,
            full_from: settings.full_from,
            reap_after: SECOND,
        };
        let mut world = model::World::new(terms, Vec::new());
        (0..plan.servers).for_each(|id| world.add(id, 0, LINK, PLACES));
        world.holders.insert("title".to_owned(), (0..plan.servers).collect());
        let now = members.now;
        let mut fleet = Fleet {
            plan,
            settings,
            now,
            members,
            world,
            fronts: BTreeMap::new(),
            events: BTreeMap::new(),
            number: 0,
            session: 0,
            random: StdRng::seed_from_u64(plan.seed),
            current: Second::default(),
            seconds: Vec::new(),
            fell: Vec::new(),
        };
        (0..plan.fronts).for_each(|n| fleet.open(n));
        fleet.plan_at(now, Ev::Ask(false));
        fleet.plan_at(now, Ev::Step);
        fleet.plan_at(now + SECOND, Ev::Tick);
        // Three lives: the number that plays is what the load says.
        fleet.run(3 * plan.life);
        fleet.seconds.clear();
        fleet
    }

    /// What plays when all is well.
    pub fn usual(&self) -> f64 {
        self.plan.load * f64::from(self.plan.servers * PLACES)
    }

    fn plan_at(&mut self, at: Nanos, ev: Ev) {
        self.number += 1;
        self.events.insert((at, self.number), ev);
    }

    /// A span drawn around a mean: exponential.
    fn drawn(&mut self, mean: Nanos) -> Nanos {
        (-(1.0 - self.random.random::<f64>()).ln() * mean as f64) as Nanos
    }

    fn entry(&self, id: u32) -> ServerEntry {
        let m = &self.world.boxes[&id];
        ServerEntry {
            server: ServerId(id),
            state: if m.up { ServerState::Ready } else { ServerState::Gone },
            kind: 0,
            weight: 1.0,
            cell: 0,
            zone: 0,
            started_at: m.started,
        }
    }

    /// A front opens, with the list of all servers.
    fn open(&mut self, n: usize) {
        let seed = self.plan.seed ^ ((n as u64 + 1) << 32);
        let module = Controller::new(self.settings.clone(), seed, self.now).expect("sound settings");
        self.fronts.insert(n, Front { module, part: None, playing: HashMap::new() });
        let entries = self.world.boxes.keys().map(|id| self.entry(*id)).collect();
        self.tell(n, Event::List { kind: ListKind::Full, entries });
    }

    /// Hands a front an event, and carries out what it asks for.
    fn tell(&mut self, n: usize, event: Event) {
        let Some(front) = self.fronts.get_mut(&n) else { return };
        let mut out = Vec::new();
        front.module.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send { session, server, .. } => {
                    self.plan_at(self.now + WAY, Ev::Arrives(n, session, server));
                }
                Action::Refuse { retry_after, .. } => {
                    self.current.refused += 1;
                    self.comes_back(retry_after);
                }
                Action::Fail { .. } => {
                    self.current.refused += 1;
                    self.comes_back(0);
                }
                Action::SetTimer { after, token } => self.plan_at(self.now + after, Ev::Timer(n, token)),
                Action::SetRung { session, rung } => {
                    let at = self.fronts.get(&n).and_then(|f| f.playing.get(&session)).copied();
                    let held = at.and_then(|(server, number)| {
                        self.world.boxes.get_mut(&server.0)?.held.get_mut(&number)
                    });
                    held.into_iter().for_each(|h| h.rung = rung);
                }
                Action::Subscribe => {}
            }
        }
    }

    fn comes_back(&mut self, advice: Nanos) {
        let wait = if advice > 0 { advice } else { RETURN / 2 };
        let at = self.now + wait + self.drawn(wait / 2);
        self.plan_at(at, Ev::Ask(true));
    }

    /// Fronts end without a word: their sessions are over, and their viewers ask elsewhere.
    pub fn kill(&mut self, fronts: impl IntoIterator<Item = usize>) {
        for n in fronts {
            self.members.kill(n);
            let Some(front) = self.fronts.remove(&n) else { continue };
            for (server, number) in front.playing.into_values() {
                self.world.end(server.0, number);
                self.comes_back(0);
            }
        }
    }

    /// Servers end and start again, cold, and the list says so at once.
    pub fn restart(&mut self, servers: impl IntoIterator<Item = u32>) {
        for id in servers {
            self.world.stop(id);
            self.world.start(id, self.now);
            self.cut_off(id);
            let entries = vec![self.entry(id)];
            for n in self.fronts.keys().copied().collect::<Vec<_>>() {
                self.tell(n, Event::List { kind: ListKind::Delta, entries: entries.clone() });
            }
        }
    }

    /// A server's sessions are over: fronts and viewers notice.
    fn cut_off(&mut self, id: u32) {
        for n in self.fronts.keys().copied().collect::<Vec<_>>() {
            let Some(front) = self.fronts.get_mut(&n) else { continue };
            let mut over: Vec<SessionId> =
                front.playing.iter().filter(|p| p.1.0.0 == id).map(|p| *p.0).collect();
            over.sort_unstable();
            for session in over {
                self.fronts.get_mut(&n).into_iter().for_each(|f| {
                    f.playing.remove(&session);
                });
                let server = ServerId(id);
                self.tell(n, Event::Ended { session, server, outcome: Outcome::Reset, finished: true });
                self.comes_back(0);
            }
        }
    }

    /// Lets so much time pass.
    pub fn run(&mut self, span: Nanos) {
        let until = self.now + span;
        while let Some(first) = self.events.first_entry().filter(|e| e.key().0 <= until) {
            self.now = self.now.max(first.key().0);
            let ev = first.remove();
            self.happen(ev);
        }
        self.now = until;
    }

    fn happen(&mut self, ev: Ev) {
        match ev {
            Ev::Ask(again) => self.ask(again),
            Ev::Timer(n, token) => self.tell(n, Event::Timer { token }),
            Ev::Arrives(n, session, server) => self.arrives(n, session, server),
            Ev::Answered(n, session, server, outcome) => {
                let event = match outcome {
                    Some(outcome) => Event::Ended { session, server, outcome, finished: false },
                    None => Event::Started { session },
                };
                self.tell(n, event);
            }
            Ev::Over(n, session, server, number) => {
                let front = self.fronts.get_mut(&n);
                if front.is_some_and(|f| f.playing.remove(&session).is_some()) {
                    self.world.end(server.0, number);
                    self.tell(n, Event::Ended { session, server, outcome: Outcome::Served, finished: true });
                }
            }
            Ev::Step => {
                let span = self.now.saturating_sub(self.members.now);
                self.members.run(span);
                self.plan_at(self.now + STEP, Ev::Step);
                self.tell_parts();
            }
            Ev::Tick => self.tick(),
        }
    }

    fn ask(&mut self, again: bool) {
        if !again {
            let mean = self.plan.life as f64 / self.usual();
            let next = self.drawn(mean as Nanos);
            self.plan_at(self.now + next, Ev::Ask(false));
        }
        self.current.asked += 1;
        let living: Vec<usize> = self.fronts.keys().copied().collect();
        if living.is_empty() {
            self.current.refused += 1;
            return self.comes_back(0);
        }
        let n = living[self.random.random_range(0..living.len())];
        self.session += 1;
        let wish = SessionRequest {
            session: SessionId(self.session),
            class: ClassId(0),
            title: TitleId("title".into()),
            base: 0,
            spread: 1,
            top: LADDER.len() - 1,
            give_up_at: self.now + PATIENCE,
            returning: again,
        };
        self.tell(n, Event::Request(wish));
    }

    fn arrives(&mut self, n: usize, session: SessionId, server: ServerId) {
        let id = server.0;
        if self.world.warmth(id, self.now) < 1.0 && self.world.boxes[&id].up {
            self.current.cold += 1;
        }
        let back = self.now + SET_UP + WAY;
        let outcome = if self.world.boxes[&id].up {
            match self.world.set_up(id, self.now, "title", false) {
                SetUp::Taken(number) if !self.fronts.contains_key(&n) => {
                    // Its front has gone: nobody is answered.
                    self.world.end(id, number);
                    return self.comes_back(0);
                }
                SetUp::Taken(number) => {
                    let playing = (server, number);
                    self.fronts.get_mut(&n).into_iter().for_each(|f| {
                        f.playing.insert(session, playing);
                    });
                    let life = self.drawn(self.plan.life);
                    self.plan_at(back + life, Ev::Over(n, session, server, number));
                    None
                }
                SetUp::Fell => {
                    self.fell.push(self.now);
                    self.world.stop(id);
                    self.cut_off(id);
                    Some(Outcome::Reset)
                }
                SetUp::Full | SetUp::Unknown | SetUp::Conflict => Some(Outcome::Full),
            }
        } else {
            Some(Outcome::NoConnection)
        };
        if self.fronts.contains_key(&n) {
            self.plan_at(back, Ev::Answered(n, session, server, outcome));
        } else {
            self.comes_back(0);
        }
    }

    /// Each front is told its part where that changed.
    fn tell_parts(&mut self) {
        let parts: BTreeMap<usize, f64> = match self.plan.parts {
            Parts::Fixed => return,
            Parts::Leased => self.members.parts(),
            Parts::Seen => {
                let seen = |p: &members::Process| 1.0 / p.view.alive_count() as f64;
                self.members.processes.iter().map(|(n, p)| (*n, seen(p))).collect()
            }
        };
        for (n, part) in parts {
            let Some(front) = self.fronts.get_mut(&n).filter(|f| f.part != Some(part)) else { continue };
            front.part = Some(part);
            self.tell(n, Event::ColdBudgetShare { guaranteed: part, leased: 0.0, lease_ends_at: Nanos::MAX });
        }
    }

    /// Notes of links, and the second's account.
    fn tick(&mut self) {
        self.plan_at(self.now + SECOND, Ev::Tick);
        for n in self.fronts.keys().copied().collect::<Vec<_>>() {
            let mut one: BTreeMap<ServerId, SessionId> = BTreeMap::new();
            for (session, (server, _)) in &self.fronts[&n].playing {
                let first = one.entry(*server).or_insert(*session);
                *first = (*first).min(*session);
            }
            for (server, session) in one {
                let (value, kind) = (self.world.use_of(server.0, self.now).0, ReportKind::LinkUse);
                self.tell(n, Event::Report { session, server, kind, value });
            }
        }
        let (now, s) = (self.now, &self.settings);
        let up = self.world.boxes.iter().filter(|b| b.1.up);
        let bear = up.map(|(id, _)| match self.world.warmth(*id, now) {
            warm if warm < 1.0 => {
                f64::from(PLACES) * SECOND as f64 / s.cold_for as f64 * warm * s.fall_multiple
            }
            _ => 0.0,
        });
        self.current.bear = bear.sum();
        self.current.playing = self.world.boxes.values().map(|m| m.held.len()).sum();
        self.seconds.push(std::mem::take(&mut self.current));
    }

    /// Seconds since the account was last cleared until so much of the usual number plays; `None`: never.
    pub fn until(&self, part: f64) -> Option<usize> {
        self.seconds.iter().position(|s| s.playing as f64 >= part * self.usual()).map(|n| n + 1)
    }
}

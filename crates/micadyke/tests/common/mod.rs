//! Settings, server lists and requests for tests that drive the controller alone.
#![allow(dead_code)]

use micadyke::decide::Controller;
use micadyke::interface::*;

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000 * MS;
pub const START: Nanos = 1_000 * SECOND;

pub fn class(effect: Effect, floor: Rung, seats: u32) -> Class {
    Class { worth: 1.0, setup_target: SECOND, effect, scale: 1.0, floor, top: 3, seats }
}

pub fn settings(classes: Vec<Class>) -> Settings {
    let step = |rate: f64, worth: f64| RungSpec { rate, worth };
    Settings {
        fronts: 2,
        classes,
        ladder: vec![step(100.0, 0.2), step(200.0, 0.5), step(400.0, 0.8), step(900.0, 1.0)],
        cells: 4,
        racks: 2,
        streams_by_kind: vec![20],
        uplink: 9_000.0,
        link_per_weight: 5_000.0,
        weights_reflect_size: true,
        change_cost_s: 0.5,
        report_delay: 500 * MS,
        report_period: 2 * SECOND,
        max_attempts: 3,
        advises_retry: true,
        max_retry_after: 2 * SECOND,
        cold_for: 12 * SECOND,
        cold_from: 0.4,
        fall_multiple: 3.0,
        fall_window: 2 * SECOND,
        ..Settings::default()
    }
}

pub fn entry(n: u32, state: ServerState, started_at: Nanos) -> ServerEntry {
    ServerEntry { server: ServerId(n), state, kind: 0, weight: 1.0, cell: n % 4, zone: n % 2, started_at }
}

pub fn session_request(id: u64, class: usize, title: &str, now: Nanos) -> SessionRequest {
    SessionRequest {
        session: SessionId(id),
        class: ClassId(class),
        title: TitleId(title.into()),
        base: 0,
        spread: 4,
        top: 3,
        give_up_at: now + 4 * SECOND,
        returning: false,
    }
}

/// A controller and its clock.
pub struct Front {
    pub controller: Controller,
    pub now: Nanos,
}

impl Front {
    /// A front that knows `servers` ready servers.
    pub fn new(settings: Settings, servers: u32) -> Self {
        let controller = Controller::new(settings, 7, START).expect("valid settings");
        let mut front = Front { controller, now: START };
        let entries = (0..servers).map(|n| entry(n, ServerState::Ready, 0)).collect();
        front.handle(Event::List { kind: ListKind::Cached, entries });
        front
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.controller.handle(self.now, event, &mut out);
        out
    }

    pub fn request(&mut self, id: u64, class: usize, title: &str) -> Vec<Action> {
        let request = session_request(id, class, title, self.now);
        self.handle(Event::Request(request))
    }

    pub fn end(&mut self, id: u64, server: ServerId, outcome: Outcome, finished: bool) -> Vec<Action> {
        self.handle(Event::Ended { session: SessionId(id), server, outcome, finished })
    }

    pub fn start(&mut self, id: u64) {
        self.handle(Event::Started { session: SessionId(id) });
    }

    pub fn report(&mut self, id: u64, server: ServerId, kind: ReportKind, value: f64) -> Vec<Action> {
        self.handle(Event::Report { session: SessionId(id), server, kind, value })
    }

    pub fn tick(&mut self) -> Vec<Action> {
        self.handle(Event::Timer { token: 0 })
    }
}

pub fn sent(actions: &[Action]) -> Option<(ServerId, Nanos)> {
    actions.iter().find_map(|a| match *a {
        Action::Send { server, timeout, .. } => Some((server, timeout)),
        _ => None,
    })
}

pub fn rung(actions: &[Action]) -> Option<Rung> {
    actions.iter().find_map(|a| match *a {
        Action::SetRung { rung, .. } => Some(rung),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

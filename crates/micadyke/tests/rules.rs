//! Property tests: the six rules and the rung bounds hold over arbitrary legal event sequences, from fixed seeds.

mod common;
use common::*;
use micadyke::decide::Controller;
use micadyke::interface::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

/// A request as seen from outside the controller.
struct ObservedRequest {
    request: SessionRequest,
    attempts: Vec<(ServerId, Nanos)>,
    in_flight: bool,
    playing: bool,
    may_have_run: Option<(ServerId, Nanos)>,
    answers: u32,
    rung: Option<Rung>,
    changed: Option<Nanos>,
}

/// Tracks events and actions and checks every action against the rules.
struct Observer {
    settings: Settings,
    now: Nanos,
    list: BTreeMap<ServerId, ServerEntry>,
    requests: BTreeMap<SessionId, ObservedRequest>,
    retries: Vec<Nanos>,
    accepted: Vec<Nanos>,
    sends: Vec<(ServerId, Nanos)>,
    resets: BTreeMap<ServerId, Nanos>,
    timers: Vec<Nanos>,
}

impl Observer {
    /// Checks and records the actions of one event.
    fn check(&mut self, actions: &[Action]) -> Result<(), String> {
        for action in actions {
            match *action {
                Action::Send { session, server, timeout } => self.sent(session, server, timeout)?,
                Action::SetRung { session, rung } => self.rung_set(session, rung)?,
                Action::Refuse { session, .. } | Action::Fail { session } => {
                    let refused = matches!(action, Action::Refuse { .. });
                    let s = self.requests.get_mut(&session).ok_or("answer for an unknown session")?;
                    if s.in_flight || s.playing || s.answers > 0 {
                        return Err("answered twice or while an attempt is out".into());
                    }
                    s.answers += 1;
                    let effect = self.settings.classes[s.request.class.0].effect;
                    let all = matches!(effect, Effect::Deduplicated { scope: Scope::All, .. });
                    if refused && s.may_have_run.is_some() && effect != Effect::Idempotent && !all {
                        return Err("refused though an attempt may have run".into());
                    }
                }
                Action::SetTimer { after, .. } => self.timers.push(self.now + after),
                Action::Subscribe => {
                    if self.settings.listing != Listing::Subscribed {
                        return Err("subscribed where changes are pushed".into());
                    }
                }
            }
        }
        Ok(())
    }

    /// Checks that every request has an attempt or an answer.
    fn check_no_request_is_abandoned(&self) -> Result<(), String> {
        match self.requests.iter().find(|(_, s)| !s.in_flight && !s.playing && s.answers == 0) {
            Some((id, _)) => Err(format!("{id:?} is held without an attempt")),
            None => Ok(()),
        }
    }

    fn sent(&mut self, id: SessionId, server: ServerId, timeout: Nanos) -> Result<(), String> {
        let entry = self.list.get(&server).ok_or("sent to a server that no list names")?.clone();
        let cells = self.settings.cells;
        let held: u32 = {
            let request = &self.requests[&id].request;
            let same = |s: &&ObservedRequest| {
                (s.in_flight || s.playing)
                    && s.request.title == request.title
                    && s.request.class == request.class
            };
            self.requests.values().filter(same).count() as u32
        };
        let s = self.requests.get_mut(&id).ok_or("sent for an unknown session")?;
        let class = &self.settings.classes[s.request.class.0];
        if entry.state != ServerState::Ready {
            return Err("sent to a draining or gone server".into());
        }
        if (entry.cell + cells - s.request.base % cells) % cells >= s.request.spread {
            return Err("sent to a server without the title".into());
        }
        if s.in_flight || s.playing || s.answers > 0 {
            return Err("sent twice at once or after the answer".into());
        }
        if s.attempts.len() as u32 >= self.settings.max_attempts {
            return Err("too many attempts".into());
        }
        if timeout == 0 || self.now + timeout > s.request.give_up_at.max(self.now + MS) {
            return Err("a timeout beyond the time at which the viewer gives up".into());
        }
        if let Some((first, at)) = s.may_have_run {
            match class.effect {
                Effect::Idempotent => {}
                Effect::AtMostOnce => return Err("set up twice".into()),
                Effect::Deduplicated { scope, window } => {
                    let same = match scope {
                        Scope::All => true,
                        Scope::Zone => self.list[&first].zone == entry.zone,
                        Scope::Cell => self.list[&first].cell == entry.cell,
                    };
                    if !same || self.now >= at + window {
                        return Err("repeated at a server that does not recognise the repeat".into());
                    }
                }
            }
        }
        if s.rung.is_none_or(|r| r < class.floor || r > s.request.top) {
            return Err("sent without a rung in bounds".into());
        }
        if class.seats > 0 && held >= class.seats {
            return Err("more sessions than seats".into());
        }
        if !s.attempts.is_empty() {
            self.retries.push(self.now);
            if let Some(b) = self.settings.retry_budget {
                let within = |t: &&Nanos| **t + b.window > self.now;
                let room = b.spare + b.share * self.accepted.iter().filter(within).count() as f64;
                if self.retries.iter().filter(within).count() as f64 > room {
                    return Err("over the retry budget".into());
                }
            }
        }
        s.attempts.push((server, self.now));
        s.in_flight = true;
        self.sends.push((server, self.now));
        let started = entry.started_at.max(self.resets.get(&server).copied().unwrap_or(0));
        if started > 0 && self.now < started + self.settings.cold_for {
            let c = &self.settings;
            let pace = f64::from(c.streams_by_kind[0]) / c.cold_for as f64 * c.cold_from;
            let part = pace * c.fall_multiple * c.fall_window as f64 / f64::from(c.fronts);
            let since = started.max(self.now.saturating_sub(c.fall_window));
            let n = self.sends.iter().filter(|x| x.0 == server && x.1 > since).count() as f64;
            if n > part.max(1.0) {
                return Err(format!("{n} set-ups to a cold server, {part} allowed"));
            }
        }
        Ok(())
    }

    fn rung_set(&mut self, id: SessionId, rung: Rung) -> Result<(), String> {
        let s = self.requests.get_mut(&id).ok_or("a rung for an unknown session")?;
        if rung < self.settings.classes[s.request.class.0].floor || rung > s.request.top {
            return Err("a rung out of bounds".into());
        }
        if s.playing {
            if s.changed.is_some_and(|t| self.now < t + 10 * SECOND) {
                return Err("two changes of rung within ten seconds".into());
            }
            s.changed = Some(self.now);
        }
        s.rung = Some(rung);
        Ok(())
    }
}

fn settings_for(pick: u8) -> Settings {
    let dedup = |scope| Effect::Deduplicated { scope, window: 2 * SECOND };
    let effects =
        [Effect::AtMostOnce, Effect::Idempotent, dedup(Scope::All), dedup(Scope::Zone), dedup(Scope::Cell)];
    let effect = effects[pick as usize % 5];
    let mut s = settings(vec![class(effect, 1, u32::from(pick % 4)), class(Effect::Idempotent, 0, 0)]);
    s.fronts = [1, 2, 3, 60, 300][usize::from(pick % 5)];
    s.report_period = if pick.is_multiple_of(3) { 0 } else { 3 * SECOND };
    s.listing = if pick.is_multiple_of(7) { Listing::Subscribed } else { Listing::Pushed };
    s.weights_reflect_size = pick % 2 == 1;
    if pick % 3 == 1 {
        s.retry_budget = Some(RetryBudget { spare: 1.0, share: 0.2, window: 5 * SECOND });
    }
    s
}

fn run_sequence(pick: u8, ops: &[(u8, u32)]) -> Result<Vec<Action>, String> {
    let settings = settings_for(pick);
    let mut controller =
        Controller::new(settings.clone(), u64::from(pick), START).map_err(|e| e.to_string())?;
    let (list, requests) = (BTreeMap::new(), BTreeMap::new());
    let (retries, accepted, sends, timers) = (vec![], vec![], vec![], vec![]);
    let resets = BTreeMap::new();
    let mut observer =
        Observer { settings, now: START, list, requests, retries, accepted, sends, resets, timers };
    let mut all = Vec::new();
    let mut next = 1;
    let entries: Vec<ServerEntry> = (0..6).map(|n| entry(n, ServerState::Ready, 0)).collect();
    observer.list.extend(entries.iter().map(|e| (e.server, e.clone())));
    let mut events = vec![Event::List { kind: ListKind::Cached, entries }];
    for &(op, arg) in ops {
        let choose = |observer: &Observer, f: fn(&ObservedRequest) -> bool| {
            let ids: Vec<SessionId> =
                observer.requests.iter().filter(|(_, s)| f(s)).map(|(&id, _)| id).collect();
            (!ids.is_empty()).then(|| ids[arg as usize % ids.len()])
        };
        match op % 16 {
            0..=4 => {
                let mut request =
                    session_request(next, arg as usize % 2, ["a", "b"][arg as usize / 2 % 2], observer.now);
                request.top = 1 + arg as usize / 4 % 3;
                request.base = arg / 12 % 4;
                request.spread = 3 + arg / 48 % 2;
                request.returning = arg % 5 == 0;
                let seen = ObservedRequest {
                    request: request.clone(),
                    attempts: vec![],
                    in_flight: false,
                    playing: false,
                    may_have_run: None,
                    answers: 0,
                    rung: None,
                    changed: None,
                };
                if op % 16 == 0 && arg % 3 == 0 {
                    // An adopted session, if a seat is free.
                    let held = observer.requests.values().filter(|s| s.in_flight || s.playing).count() as u32;
                    let seats = observer.settings.classes[request.class.0].seats;
                    let known = observer.list[&ServerId(arg % 6)].state != ServerState::Gone;
                    if known && (seats == 0 || held < seats) {
                        observer
                            .requests
                            .insert(request.session, ObservedRequest { playing: true, answers: 1, ..seen });
                        let server = ServerId(arg % 6);
                        observer
                            .requests
                            .get_mut(&request.session)
                            .into_iter()
                            .for_each(|s| s.attempts.push((server, observer.now)));
                        events.push(Event::Adopted { request, server });
                    }
                } else {
                    observer.requests.insert(request.session, seen);
                    observer.accepted.push(observer.now);
                    events.push(Event::Request(request));
                }
                next += 1;
            }
            5..=6 => {
                if let Some(id) = choose(&observer, |s| s.in_flight) {
                    let s = observer.requests.get_mut(&id).expect("picked");
                    (s.in_flight, s.playing) = (false, true);
                    s.answers += 1;
                    events.push(Event::Started { session: id });
                }
            }
            7..=9 => {
                let outcomes = [
                    Outcome::Full,
                    Outcome::TimedOut,
                    Outcome::NoConnection,
                    Outcome::Reset,
                    Outcome::Error,
                    Outcome::NotSent,
                    Outcome::Cancelled,
                ];
                if let Some(id) = choose(&observer, |s| s.in_flight) {
                    let outcome = outcomes[arg as usize / 7 % 7];
                    let s = observer.requests.get_mut(&id).expect("picked");
                    let (server, at) = *s.attempts.last().expect("an attempt flies");
                    s.in_flight = false;
                    if matches!(
                        outcome,
                        Outcome::TimedOut | Outcome::Reset | Outcome::Error | Outcome::Cancelled
                    ) {
                        s.may_have_run = s.may_have_run.or(Some((server, at)));
                    }
                    if outcome == Outcome::Reset {
                        observer.resets.insert(server, observer.now);
                    }
                    events.push(Event::Ended { session: id, server, outcome, finished: s.answers > 0 });
                }
            }
            10 => {
                if let Some(id) = choose(&observer, |s| s.playing) {
                    let s = observer.requests.get_mut(&id).expect("picked");
                    s.playing = false;
                    let server = s.attempts.last().expect("it plays somewhere").0;
                    let outcome = [Outcome::Served, Outcome::Reset, Outcome::Cancelled][arg as usize % 3];
                    if outcome == Outcome::Reset {
                        observer.resets.insert(server, observer.now);
                    }
                    events.push(Event::Ended { session: id, server, outcome, finished: true });
                }
            }
            11..=12 => {
                if let Some(id) = choose(&observer, |s| s.playing) {
                    let server = observer.requests[&id].attempts.last().expect("it plays somewhere").0;
                    let kind =
                        [ReportKind::LinkUse, ReportKind::Delivered, ReportKind::UplinkUse][arg as usize % 3];
                    let value = f64::from(arg % 150) / 100.0;
                    events.push(Event::Report { session: id, server, kind, value });
                }
            }
            13 => {
                let n = arg % 6;
                let state =
                    [ServerState::Ready, ServerState::Draining, ServerState::Gone][arg as usize / 6 % 3];
                let e = entry(n, state, if arg % 2 == 0 { observer.now } else { 0 });
                observer.list.insert(e.server, e.clone());
                events.push(Event::List { kind: ListKind::Delta, entries: vec![e] });
            }
            14 => {
                if let Some(id) = choose(&observer, |s| s.in_flight && s.answers == 0) {
                    observer.requests.get_mut(&id).expect("picked").answers += 1;
                    events.push(Event::Left { session: id });
                }
            }
            _ => observer.now += u64::from(arg % 3000) * MS,
        }
        while let Some(i) = observer.timers.iter().position(|&t| t <= observer.now) {
            observer.timers.swap_remove(i);
            events.push(Event::Timer { token: 0 });
        }
        for event in events.drain(..) {
            let mut out = Vec::new();
            controller.handle(observer.now, event, &mut out);
            observer.check(&out)?;
            all.extend(out);
        }
        observer.check_no_request_is_abandoned()?;
    }
    // The controller keeps no state of sessions that have ended.
    let out = observer.requests.values().filter(|s| s.in_flight || s.playing).count();
    let held = controller.session_count();
    if held != out { Err(format!("{held} sessions held, {out} are in flight or playing")) } else { Ok(all) }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn rules_hold_for_legal_event_sequences(pick in any::<u8>(), ops in prop::collection::vec((any::<u8>(), any::<u32>()), 1..400)) {
        let first = run_sequence(pick, &ops);
        prop_assert!(first.is_ok(), "{}", first.unwrap_err());
        prop_assert_eq!(first, run_sequence(pick, &ops));
    }

    /// The controller does not panic on any order of events, legal or not.
    #[test]
    fn arbitrary_events_do_not_panic(ops in prop::collection::vec((0u8..9, any::<u32>(), any::<f64>()), 1..200)) {
        let s = settings(vec![class(Effect::AtMostOnce, 1, 1), class(Effect::Idempotent, 0, 0)]);
        let mut f = Front::new(s, 3);
        for (op, arg, value) in ops {
            f.now = f.now.wrapping_add(u64::from(arg % 1000) * MS);
            let (id, server) = (SessionId(u64::from(arg % 8)), ServerId(arg / 8 % 4));
            let request = SessionRequest { base: arg, spread: arg % 9, top: arg as usize % 4, ..session_request(id.0, arg as usize % 3, "a", f.now) };
            let outcome = [Outcome::Served, Outcome::Reset, Outcome::TimedOut, Outcome::Full][arg as usize % 4];
            let kind = [ReportKind::LinkUse, ReportKind::Delivered, ReportKind::RungInForce][arg as usize % 3];
            let state = [ServerState::Ready, ServerState::Gone, ServerState::Draining][arg as usize % 3];
            let lists = [ListKind::Full, ListKind::Delta, ListKind::Failed];
            let odd = ServerEntry { kind: arg as usize, weight: value, ..entry(server.0, state, u64::from(arg)) };
            f.handle(match op {
                0 | 1 => Event::Request(request),
                2 => Event::Adopted { request, server },
                3 => Event::Started { session: id },
                4 => Event::Ended { session: id, server, outcome, finished: value > 0.0 },
                5 => Event::Left { session: id },
                6 => Event::Report { session: id, server, kind, value },
                7 => Event::Timer { token: u64::from(arg) },
                _ => Event::List { kind: lists[arg as usize / 3 % 3], entries: vec![odd] },
            });
        }
    }
}

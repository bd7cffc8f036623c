//! Every decision of micadyke. Settings, events and actions: `src/interface.rs`. Design: `docs/design.md`.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

// ===== Constants. Each is a choice of ours that no setting states.
const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
/// Use of a link up to which the top rung is given: below 1, for a missing point costs several of worth.
const MARK: f64 = 0.90;
/// Use per rung: past the mark each step takes one rung off. The lowest rung still ends below a full link.
const STEP: f64 = 0.035;
/// Use from which prices act.
const PRICED: f64 = 0.5;
/// At most one change of rung per playing session in this time, as the design has it.
const CHANGE_GAP: Nanos = 10 * SECOND;
/// First budget of link rate, over the middle rung: just under 1, so that the price caps there.
const PRIOR: f64 = 0.99;
/// Set-ups, sessions handed over included, after which prices are solved again.
const SAMPLE: usize = 20;
/// Pause after the first failed call for changes of the list.
const ASK_PAUSE: Nanos = 500 * MS;
/// Housekeeping: rungs and suspicion are looked at so often.
const TICK: Nanos = 200 * MS;
/// Part of the time to the aim that an attempt gets while a further one could still meet the aim.
const TRY_PART: f64 = 0.5;
/// Part of the cold budget that is used: chance and other fronts' uneven shares take the rest.
const COLD_PART: f64 = 0.8;
/// Deviations of chance that the sum of all fronts' lots for a cold server leaves free: hundreds of servers
/// return at once, each for tens of windows; three would let one window in 300 through, five one in 20,000.
const SPREAD: f64 = 5.0;
/// Use of links while none was heard of: silence is not emptiness, and this has room for the middle rung.
const UNSEEN: f64 = 0.8;
/// What a point of use over a full link counts for at links never heard of, where it may be met: viewers lose
/// several points for each that is missing. With 5 the busiest simulated deployment loses 0.03, with 3 0.02.
const MISSING: f64 = 3.0;
/// Own sessions at a server that tell of others' streams there.
const FEW: u32 = 3;
/// The note at set-up follows the start within this: on sockets they are two messages. Under any tick.
const FRESH: Nanos = 5 * MS;
/// A figure under the mean is taken for the mean by this age: all that hear of room fill it at once, long
/// before the next note tells of it. At 2 s simulated days lose 0.02 to 0.05, at 5 s about 0.01.
const ROOM: Nanos = 5 * SECOND;
/// Delivery under this is short (the notes' own bound).
const SHORT: f64 = 0.98;
/// A pool found short is trusted again over this time, in seconds.
const TRUST: f64 = 20.0;
/// Holders whose use differs by less than this are drawn from by chance.
const HERD: f64 = 0.04;
/// Crossing zones is worth this many points of use for each point of its price.
const CROSS: f64 = 1.5;
/// A handshake likewise; more, for where a connection is up the figures are young as well.
const CALL: f64 = 3.0;
/// Use that counts against a server whose last attempt failed: more than holders usually differ by.
const FAILED: f64 = 0.5;
/// What counts for a server whose calls do not come up: more than any use, so that it is tried last.
const LAST: f64 = 1e3;
/// Use that counts against a server outside the working subset: more than those within usually differ by.
const OUTSIDE: f64 = 0.2;
/// What all fronts together answer of a gap that all hear of, over FILTER: swings at delays past 13 s alone.
const GAIN: f64 = 3.0;
/// Time constant of that answer.
const FILTER: Nanos = 20 * SECOND;
/// A figure older than this counts for nothing.
const STALE: Nanos = 8 * SECOND;
/// A playing session steps up only where the higher rung's limit would hold with this much left.
const UP_GAP: f64 = 0.12;
/// A step up must promise this many times its cost over the time that a session lasts: it may be taken back.
const PAYS: f64 = 3.0;
/// A set-up is fitted at this many times its rate: others send to the same room before the next note.
const CROWD: f64 = 1.2;
/// Part of a pool kept free, over the root of its sessions at the middle rung: true rates even out in many.
const GRAIN: f64 = 0.25;
/// A playing session steps down only when use is this far past its rung's limit: each change costs worth.
const SLACK: f64 = 0.09;
/// Part of an excess that one answer takes off: the next news comes before the answer shows in it.
const ANSWER: f64 = 0.7;
/// What a refused viewer is told to wait: about a note's age, after which the account has changed.
const COME_BACK: Nanos = SECOND;

// ===== Prices: the fluid programme and its guarded re-pricing.
/// Bid prices: worth a second for each kB a second of link (`rate`) and for each stream (`stream`).
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Prices {
    /// Worth for each kB a second.
    pub rate: f64,
    /// Worth for each stream.
    pub stream: f64,
}

/// A class in the fluid programme: its share of set-ups and its rungs as (rate, worth).
#[derive(Debug, Clone, PartialEq)]
pub struct FluidType {
    /// Share of the set-ups.
    pub weight: f64,
    /// Rate and worth of each rung that the class may play at.
    pub rungs: Vec<(f64, f64)>,
}

/// The dual of the fluid programme: budget value plus what the classes keep at these prices.
pub fn dual_value(kinds: &[FluidType], link: f64, streams: f64, p: Prices) -> f64 {
    let surplus = |&(rate, worth): &(f64, f64)| worth - p.rate * rate - p.stream;
    let kept = kinds.iter().map(|k| k.weight * k.rungs.iter().map(surplus).fold(0.0, f64::max));
    link * p.rate + streams * p.stream + kept.sum::<f64>()
}

/// Solves the fluid programme exactly. Its dual is convex and piecewise linear in the two prices, so a least
/// value lies where two of its bends (or axes) meet; among equals the lowest prices are taken.
pub fn solve(kinds: &[FluidType], link: f64, streams: f64) -> Prices {
    // Lines a*rate + b*stream = c at which the dual bends, and the two axes.
    let mut lines = vec![(1.0, 0.0, 0.0), (0.0, 1.0, 0.0)];
    for kind in kinds {
        for (i, &(rate, worth)) in kind.rungs.iter().enumerate() {
            lines.push((rate, 1.0, worth));
            lines.extend(kind.rungs[..i].iter().map(|&(r, w)| (rate - r, 0.0, worth - w)));
        }
    }
    let mut best = (f64::INFINITY, f64::INFINITY, Prices::default());
    for (i, &(a, b, c)) in lines.iter().enumerate() {
        for &(d, e, f) in &lines[..i] {
            let det = a * e - b * d;
            if det.abs() < 1e-12 {
                continue;
            }
            let (rate, stream) = ((c * e - b * f) / det, (a * f - c * d) / det);
            if !(rate >= -1e-12 && stream >= -1e-12) {
                continue;
            }
            let p = Prices { rate: rate.max(0.0), stream: stream.max(0.0) };
            let value = dual_value(kinds, link, streams, p);
            let size = p.rate * link + p.stream * streams;
            let slack = 1e-9 * (1.0 + value.abs());
            if value < best.0 - slack || (value < best.0 + slack && size < best.1 - slack) {
                best = (value, size, p);
            }
        }
    }
    best.2
}

/// Prices in force, and the sample on which they are solved once more.
#[derive(Debug, Default)]
struct Pricing {
    prices: Option<Prices>,
    sample: Vec<(usize, Rung)>,
    frozen: bool,
}

// ===== Accounts: what is asked of a link or an uplink over what it gives.
/// Use of the pools that were heard of lately.
#[derive(Debug, Clone, Copy, Default)]
struct Known {
    mean: f64,
    /// What is asked over full links, spread over all.
    excess: f64,
}

/// What accounts are read against; a figure fades from age `fade` on to the mean of the known.
#[derive(Debug, Clone, Copy)]
struct View {
    now: Nanos,
    fronts: f64,
    known: Known,
    fade: Nanos,
}

/// A link or a rack's uplink.
#[derive(Debug, Default)]
struct Pool {
    /// What it gives by the list, kB a second.
    size: f64,
    /// Part of it that is used: a pool of few sessions swings more with their true rates.
    keeps: f64,
    /// What this front's sessions ask of it.
    own: f64,
    /// Last use heard, and the time that it told of.
    heard: Option<(f64, Nanos)>,
    /// This front's changes since then, as time and use.
    log: VecDeque<(Nanos, f64)>,
}

impl Pool {
    fn resize(&mut self, size: f64, middle: f64) {
        self.size = size.max(0.0);
        let sessions = if self.size > 0.0 { (self.size / middle).max(1.0) } else { 1.0 };
        self.keeps = 1.0 - GRAIN / sessions.sqrt();
    }

    /// Use now: the last figure heard and the changes since; an old one fades to the mean, one under that
    /// within ROOM.
    fn usage(&self, view: View) -> f64 {
        let Known { mean, excess } = view.known;
        // Never heard of: the others are taken to ask what they ask elsewhere. How far links are over counts
        // besides, for this may be one of those, and each point missing there costs several.
        let own = if self.size > 0.0 { self.own / self.size } else { 0.0 };
        let others = 1.0 - 1.0 / view.fronts;
        let Some((value, as_of)) = self.heard else { return own + (mean + MISSING * excess) * others };
        let age = view.now.saturating_sub(as_of) as f64;
        let old = if value < mean { age / ROOM as f64 } else { age / view.fade.max(1) as f64 - 1.0 };
        self.since(value + (mean - value) * old.clamp(0.0, 1.0))
    }

    /// A figure and this front's changes since.
    fn since(&self, value: f64) -> f64 {
        (value + self.log.iter().map(|l| l.1).sum::<f64>()).max(0.0)
    }

    /// This front's share of what is asked.
    fn share(&self, view: View) -> f64 {
        let all = self.usage(view) * self.size;
        if all > 0.0 { (self.own / all).clamp(0.5 / view.fronts, 1.0) } else { 1.0 }
    }

    /// Books a change of rate since the last figure; `own` is 1 where it is this front's.
    fn change(&mut self, now: Nanos, rate: f64, own: f64) {
        self.own = (self.own + rate * own).max(0.0);
        if self.heard.is_some() && self.size > 0.0 && rate != 0.0 {
            self.log.push_back((now, rate / self.size));
        }
    }

    fn hear(&mut self, value: f64, as_of: Nanos) {
        if value.is_finite() && value >= 0.0 && self.heard.is_none_or(|h| h.1 <= as_of) {
            self.heard = Some((value, as_of));
            self.log.retain(|l| l.0 > as_of);
        }
    }
}

/// Use of the pools that were heard of lately: a surge shows within two note periods.
fn known<'a>(pools: impl Iterator<Item = &'a Pool>, view: View) -> Option<Known> {
    let lately = |p: &&Pool| p.heard.is_some_and(|h| h.1 + view.fade / 3 >= view.now);
    let use_of = |p: &Pool| p.since(p.heard.map_or(0.0, |h| h.0));
    let uses: Vec<f64> = pools.filter(lately).map(use_of).collect();
    let n = uses.len() as f64;
    let mean = uses.iter().sum::<f64>() / n;
    let excess = uses.iter().map(|u| (u - 1.0).max(0.0)).sum::<f64>() / n;
    (n > 0.0).then_some(Known { mean, excess })
}

// ===== Servers and sessions.
#[derive(Debug)]
struct Server {
    entry: ServerEntry,
    link: Pool,
    /// Own streams, set-ups included.
    streams: u32,
    /// When it started, as told or as guessed from what broke.
    cold_since: Nanos,
    /// Set-ups sent to it while cold.
    cold_sends: VecDeque<Nanos>,
    /// While it is cold: when this front last drew a lot for it, and what it drew.
    lot: (Nanos, f64),
    /// What it gives over what its account says, at the time beside it.
    gives: (f64, Nanos),
    /// News of it that all fronts with sessions there have heard waits for an answer.
    told: bool,
    /// Whether there is a way to it.
    reach: Reach,
    /// Outside the working subset; a gap that all hear of, until then; the use that this front makes of it.
    fleet: (bool, f64, Nanos, f64),
    /// When an attempt there last failed; 0: the last one came to play.
    failed_at: Nanos,
}

impl Server {
    fn new(entry: ServerEntry) -> Self {
        let (link, cold_since, cold_sends) = (Pool::default(), entry.started_at, VecDeque::new());
        let (gives, reach, lot) = ((1.0, 0), Reach::Closed, (0, 1.0));
        Server {
            entry,
            link,
            streams: 0,
            cold_since,
            cold_sends,
            lot,
            gives,
            told: false,
            reach,
            fleet: (false, 0.0, 0, 0.0),
            failed_at: 0,
        }
    }

    fn rack(&self, racks: u32) -> u32 {
        self.entry.cell % racks
    }

    /// What counts against it as use for its failures: less as trust returns.
    fn doubt(&self, now: Nanos) -> f64 {
        let old = now.saturating_sub(self.failed_at) as f64 / (TRUST * SECOND as f64);
        if self.failed_at > 0 { FAILED * (1.0 - old).max(0.0) } else { 0.0 }
    }

    /// What it gives now: trust returns over TRUST while no shortfall is heard.
    fn gives(&self, now: Nanos) -> f64 {
        let (low, at) = self.gives;
        let back = now.saturating_sub(at) as f64 / (TRUST * SECOND as f64);
        (low + (1.0 - low) * back).min(1.0)
    }
}

#[derive(Debug, Default)]
struct Session {
    wish: SessionRequest,
    rung: Rung,
    taken_at: Nanos,
    sent_at: Nanos,
    changed_at: Nanos,
    started_at: Nanos,
    /// Where its attempt is, in flight or playing.
    server: Option<ServerId>,
    playing: bool,
    /// It was sent with no young figure of its server.
    guess: bool,
    /// No answer is owed any more.
    answered: bool,
    attempts: u32,
    tried: Vec<ServerId>,
    /// First attempt that may have run: its send, zone and cell.
    ran: Option<(Nanos, u32, u32)>,
}

/// A number's draw from [0, 1).
fn mix(mut z: u64) -> f64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

// ===== The controller.
/// The decisions of one front. See `src/interface.rs` for the contract.
#[derive(Debug, Default)]
pub struct Controller {
    s: Settings,
    random: u64,
    now: Nanos,
    born: Nanos,
    arrived: usize,
    links: Known,
    uplinks: Known,
    ticking: bool,
    gap: Nanos,
    subscribed: bool,
    ask_at: Nanos,
    pause: Nanos,
    servers: BTreeMap<ServerId, Server>,
    racks: BTreeMap<u32, Pool>,
    sessions: BTreeMap<SessionId, Session>,
    seats: BTreeMap<(TitleId, usize), u32>,
    pricing: Pricing,
    taken: VecDeque<Nanos>,
    further: VecDeque<Nanos>,
    /// The part of cold budgets that was told: always, leased, until then.
    part: Option<(f64, f64, Nanos)>,
}

impl Controller {
    /// A controller that knows nothing yet; refuses settings that make no sense.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        settings.check()?;
        let links = Known { mean: UNSEEN, excess: 0.0 };
        Ok(Controller { s: settings, random: seed, now, born: now, links, ..Controller::default() })
    }

    /// How many sessions are held, set-ups included.
    pub fn held(&self) -> usize {
        self.sessions.len()
    }

    /// Takes one event at time `now`; what is to be done is appended to `out`.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        // Guards against a front that stood still: ticks were due, so what it finds waited up to so long.
        // Catches any late turn. Hurts little where a tick was merely late: figures count as older.
        self.gap = if now > self.now { (now - self.now).saturating_sub(2 * TICK) } else { self.gap };
        self.now = self.now.max(now);
        if !self.ticking {
            self.ticking = true;
            out.push(Action::SetTimer { after: TICK, token: 0 });
        }
        self.ask(out);
        match event {
            Event::List { kind, entries } => self.list(kind, entries),
            Event::Part { always, leased, until } if (0.0..=1.0).contains(&(always + leased)) => {
                self.part = Some((always.max(0.0), leased.max(0.0), until));
            }
            Event::Part { .. } => {}
            Event::Reach { server, reach } => self.reach(server, reach),
            Event::Fleet { server, outside, figure } => {
                let Some(s) = self.servers.get_mut(&server) else { return };
                let over = |f: Figure| (f.carried / f.wanted - 1.0).clamp(-1.0, 1.0) * f.complete;
                let gap = figure.map_or(s.fleet.1, over).clamp(-1.0, 1.0);
                let until = figure.map_or(s.fleet.2, |f| self.now + STALE.saturating_sub(f.age));
                s.fleet = (outside, if gap.is_finite() { gap } else { 0.0 }, until, s.fleet.3);
            }
            Event::Request(wish) => self.request(wish, out),
            Event::Adopted { wish, server } => self.adopt(wish, server),
            Event::Started { session } => self.started(session),
            Event::Ended { session, server, outcome, finished } => {
                self.ended(session, server, outcome, finished, out)
            }
            Event::Left { session } => {
                self.sessions.get_mut(&session).into_iter().for_each(|s| s.answered = true)
            }
            Event::Note { session, server, kind, value } => self.note(session, server, kind, value, out),
            Event::Timer { .. } => {
                out.push(Action::SetTimer { after: TICK, token: 0 });
                self.average();
                // A gap that all hear of is closed by all: this front answers as much of it as is its own.
                let (view, now) = (self.view(), self.now);
                for s in self.servers.values_mut() {
                    let gap = if now < s.fleet.2 { s.fleet.1 * s.link.usage(view) } else { 0.0 };
                    s.fleet.3 += (GAIN * gap * s.link.share(view) - s.fleet.3) * TICK as f64 / FILTER as f64;
                }
                // News is answered at the next tick, when all figures are in; own accounts now and then.
                let guess = self.s.note_period == 0 && self.chance() < 0.2;
                let news =
                    |s: (&ServerId, &mut Server)| (std::mem::take(&mut s.1.told) || guess).then_some(*s.0);
                let told: Vec<ServerId> = self.servers.iter_mut().filter_map(news).collect();
                told.into_iter().for_each(|s| self.follow(s, None, out));
            }
        }
    }

    /// A draw from [0, 1): splitmix64.
    fn chance(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        mix(self.random)
    }

    /// How long a session lasts, in seconds, by Little's law: sessions held over the rate of new ones.
    fn life(&self) -> f64 {
        let age = self.now.saturating_sub(self.born) as f64 / SECOND as f64;
        self.sessions.len() as f64 * age / self.arrived.max(1) as f64
    }

    fn view(&self) -> View {
        let fade = self.s.note_delay + 6 * self.s.note_period.max(SECOND);
        View { now: self.now, fronts: f64::from(self.s.fronts), known: self.links, fade }
    }

    /// Use of links and of uplinks heard of lately; while notes stay out the last ones stand.
    fn average(&mut self) {
        let view = self.view();
        self.links = known(self.servers.values().map(|s| &s.link), view).unwrap_or(self.links);
        self.uplinks = known(self.racks.values(), view).unwrap_or(self.uplinks);
    }

    fn rate(&self, class: ClassId, rung: Rung) -> f64 {
        self.s.ladder[rung].rate * self.s.classes[class.0].scale
    }

    fn worth(&self, class: ClassId, rung: Rung) -> f64 {
        self.s.ladder[rung].worth * self.s.classes[class.0].worth
    }

    /// Highest rung that the viewer and the class can use, never under the class's floor.
    fn top(&self, wish: &SessionRequest) -> Rung {
        wish.top.min(self.s.classes[wish.class.0].top).max(self.s.classes[wish.class.0].floor)
    }

    /// Use up to which a rung is given: the mark, and a step more for each rung under the top one.
    fn limit(&self, rung: Rung) -> f64 {
        MARK + STEP * (self.s.ladder.len() - 1 - rung) as f64
    }

    // ----- the list of servers

    /// Subscribes where that is needed, again after a pause that grows while calls fail, but well within the
    /// time after which what was listed counts as told gone: so no listing lapses.
    fn ask(&mut self, out: &mut Vec<Action>) {
        if self.s.listing == Listing::Subscribed && !self.subscribed && self.now >= self.ask_at {
            out.push(Action::Subscribe);
            self.pause = (2 * self.pause).clamp(ASK_PAUSE, (self.s.ask_within / 3).max(ASK_PAUSE));
            self.ask_at = self.now + self.pause;
        }
    }

    fn list(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        if kind == ListKind::Failed {
            self.subscribed = false;
            return;
        }
        if kind != ListKind::Cached {
            (self.subscribed, self.pause) = (true, 0);
        }
        if kind != ListKind::Delta {
            self.servers.values_mut().for_each(|s| s.entry.state = ServerState::Gone);
        }
        for entry in entries {
            let s = self.servers.entry(entry.server).or_insert_with(|| Server::new(entry.clone()));
            if entry.started_at > s.entry.started_at {
                // A new process: what was known of the old one says nothing.
                s.cold_since = s.cold_since.max(entry.started_at);
                s.gives = (1.0, 0);
            }
            s.entry = entry;
        }
        // A gone server is remembered while sessions end there and while it could come back cold.
        let (now, cold_for) = (self.now, self.s.cold_for);
        self.servers.retain(|_, s| {
            s.entry.state != ServerState::Gone || s.streams > 0 || now < s.cold_since.saturating_add(cold_for)
        });
        self.sizes();
    }

    fn reach(&mut self, server: ServerId, reach: Reach) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.reach = reach;
        if reach == Reach::Lost {
            // Guards against what was out of reach and comes back as a new process, which the list tells
            // seconds late, to hundreds of fronts at once. May hurt after a mere cut: it gets little then.
            s.cold_since = self.now;
        }
    }

    fn streams_of(&self, server: &Server) -> f64 {
        f64::from(self.s.streams_by_kind.get(server.entry.kind).copied().unwrap_or(0))
    }

    /// Sizes of links from weights, or, where weights tell nothing, from the streams of the machine's kind.
    fn sizes(&mut self) {
        let streams: Vec<f64> = self.servers.values().map(|s| self.streams_of(s)).collect();
        let mean = streams.iter().sum::<f64>() / streams.len().max(1) as f64;
        let middle = self.s.ladder[self.s.ladder.len() / 2].rate;
        for (s, streams) in self.servers.values_mut().zip(streams) {
            let by_weight = self.s.weights_tell_size || mean <= 0.0;
            let part = if by_weight { s.entry.weight } else { streams / mean };
            s.link.resize(self.s.link_per_weight * part, middle);
            self.racks.entry(s.rack(self.s.racks)).or_default().resize(self.s.uplink, middle);
        }
    }

    // ----- accounts

    /// Books a change of rate at a server and its rack; `own` is 1 where it is this front's.
    fn book(&mut self, server: ServerId, rate: f64, own: f64) {
        let (now, racks) = (self.now, self.s.racks);
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.link.change(now, rate, own);
        self.racks.get_mut(&s.rack(racks)).into_iter().for_each(|r| r.change(now, rate, own));
    }

    /// Use of a server: the higher of its link and its rack's uplink, over what it was seen to give.
    fn usage(&self, server: &Server) -> f64 {
        let rack = self.racks.get(&server.rack(self.s.racks));
        let racks = View { known: self.uplinks, ..self.view() };
        let rack = rack.filter(|_| self.uplinks.mean > 0.0).map_or(0.0, |r| r.usage(racks) / r.keeps);
        (server.link.usage(self.view()) / server.link.keeps).max(rack) / server.gives(self.now).max(0.01)
    }

    /// How much use a rate adds at a server.
    fn adds(&self, server: &Server, rate: f64) -> f64 {
        let rack = self.racks.get(&server.rack(self.s.racks)).map_or(0.0, |r| r.size * r.keeps);
        let link = server.link.size * server.link.keeps;
        let part = |size: f64| if size > 0.0 { rate / size } else { 0.0 };
        part(link).max(part(rack)) / server.gives(self.now).max(0.01)
    }

    fn note(&mut self, id: SessionId, server: ServerId, kind: NoteKind, value: f64, out: &mut Vec<Action>) {
        let (now, view) = (self.now, self.view());
        let session = self.sessions.get(&id).filter(|s| s.playing && s.server == Some(server));
        if !value.is_finite() || value < 0.0 || session.is_none() {
            return;
        }
        // The note at set-up tells of now; the later ones are as late as the settings say.
        let guess = session.is_some_and(|s| s.guess);
        let fresh = self.gap == 0 && session.is_some_and(|s| now < s.started_at + FRESH && s.started_at > 0);
        let as_of = if fresh { now } else { now.saturating_sub(self.s.note_delay + self.gap) };
        if kind == NoteKind::RungInForce {
            let rung = (value as Rung).min(self.s.ladder.len() - 1);
            return self.book_rung(id, rung);
        }
        let Some(s) = self.servers.get_mut(&server) else { return };
        let Some(rack) = self.racks.get_mut(&s.rack(self.s.racks)) else { return };
        match kind {
            NoteKind::UplinkUse => rack.hear(value, as_of),
            NoteKind::LinkUse => s.link.hear(value, as_of),
            // Guards against any link that gives less than its account says (an uplink nobody reports, a link
            // cut down, a server that stands still): what was asked, times the share delivered, is what it
            // gives. Catches a wrong size too. May hurt after a brief dip: trust takes a while to return.
            _ if value < SHORT => {
                let link = s.link.heard.map_or_else(|| s.link.usage(view), |h| h.0);
                let asked = link.max(rack.heard.map_or(0.0, |h| h.0));
                s.gives = ((asked * value).clamp(0.01, 1.0), now);
            }
            _ => {}
        }
        // The note at set-up corrects a set-up on a guess alone; else it is news like any other.
        s.told |= !(fresh && guess);
        if fresh && guess {
            self.follow(server, Some(id), out);
        }
    }

    // ----- rungs of playing sessions

    /// The rung rule: top rung up to the mark, one lower per step past it. A session steps down once use is
    /// SLACK beyond its rung's limit and up when a higher rung's limit would hold with UP_GAP to spare. All
    /// fronts hear the same news, and each answers it once, with its own share of the change: what is less
    /// than a step is drawn by lot, so that the sum is right for a few fronts and for hundreds.
    /// The figure at set-up comes to this front alone: where it was sent on a guess, its session steps down.
    fn follow(&mut self, id: ServerId, new: Option<SessionId>, out: &mut Vec<Action>) {
        let mut lot = self.chance();
        let Some(server) = self.servers.get(&id) else { return };
        let (usage, own) = (self.usage(server), server.link.own);
        let share = if new.is_some() { 1.0 } else { server.link.share(self.view()) };
        let asked = if new.is_some() { server.link.usage(self.view()) * server.link.size } else { own };
        // Where notes come, nothing is changed on a guess before the first of them.
        if own <= 0.0 || (self.s.note_period > 0 && server.link.heard.is_none() && server.gives.0 >= 1.0) {
            return;
        }
        let free = |s: &&Session| match new {
            Some(new) => s.wish.session == new && s.guess,
            None => s.playing && s.server == Some(id) && self.now >= s.changed_at + CHANGE_GAP,
        };
        let all = self.sessions.values().filter(free);
        let mut mine: Vec<(SessionId, ClassId, Rung, Rung, Rung)> =
            all.map(|s| (s.wish.session, s.wish.class, s.rung, self.top(&s.wish), s.rung)).collect();
        let (mut freed, mut meant) = (0.0, 0.0);
        loop {
            // The step down that loses the least worth for the rate it frees, until the rest would fit.
            let loss = |i: &usize| self.slope(mine[*i].1, mine[*i].2);
            let need = |rung: Rung| asked * (1.0 - self.limit(rung) / usage) * ANSWER - freed;
            let over = |&i: &usize| {
                let (_, class, rung, ..) = mine[i];
                rung > self.s.classes[class.0].floor
                    && usage > (self.limit(rung) + SLACK).min(1.0)
                    && need(rung) > 0.0
            };
            let next = (0..mine.len()).filter(over).min_by(|a, b| loss(a).total_cmp(&loss(b)));
            let Some(i) = next else { break };
            let step = self.rate(mine[i].1, mine[i].2) - self.rate(mine[i].1, mine[i].2 - 1);
            let part = need(mine[i].2) / step;
            meant -= step * part.min(1.0);
            if lot >= part {
                break;
            }
            lot = if part < 1.0 { 1.0 } else { lot };
            freed += step;
            mine[i].2 -= 1;
        }
        // Room: the step up that gains the most worth for its rate, as far as all alike could (low rungs gain
        // most), or one rung by lot, and only where it pays for itself PAYS times.
        let fresh = server.link.heard.is_some_and(|h| h.1 + self.view().fade >= self.now);
        if new.is_none() && meant >= 0.0 && (fresh || self.s.note_period == 0) {
            let more = |i: usize, to: Rung| self.rate(mine[i].1, to) - self.rate(mine[i].1, mine[i].2);
            let room =
                |i: usize, to: Rung| (self.limit(to) - UP_GAP - usage) / self.adds(server, more(i, to));
            let gain = |i: &usize| self.slope(mine[*i].1, mine[*i].2 + 1);
            let can = (0..mine.len()).filter(|&i| mine[i].2 < mine[i].3 && room(i, mine[i].2 + 1) >= 1.0);
            if let Some(i) = can.max_by(|a, b| gain(a).total_cmp(&gain(b))) {
                let from = mine[i].2;
                let rise = |to: Rung| self.s.ladder[to].worth - self.s.ladder[from].worth;
                let alike = |&to: &Rung| to == from + 1 || room(i, to) * share >= 1.0;
                let to = (from + 1..=mine[i].3).rev().find(alike);
                let to = to.filter(|&to| rise(to) * self.life() >= PAYS * self.s.change_cost_s);
                if let Some(to) = to {
                    let part = (room(i, to) * share).min(1.0);
                    meant = more(i, to) * part;
                    mine[i].2 = if lot < part { to } else { from };
                }
            }
        }
        // The account is charged with what the others are taken to do on the same news.
        let others = meant * (1.0 / share - 1.0);
        let now = self.now;
        self.book(id, others, 0.0);
        for m in mine.into_iter().filter(|m| m.2 != m.4) {
            self.book_rung(m.0, m.2);
            self.sessions.get_mut(&m.0).into_iter().for_each(|s| (s.changed_at, s.guess) = (now, false));
            out.push(Action::SetRung { session: m.0, rung: m.2 });
        }
    }

    /// Worth gained for each kB a second between a rung and the one below it.
    fn slope(&self, class: ClassId, rung: Rung) -> f64 {
        (self.worth(class, rung) - self.worth(class, rung - 1))
            / (self.rate(class, rung) - self.rate(class, rung - 1))
    }

    fn book_rung(&mut self, id: SessionId, rung: Rung) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let (class, old, server) = (s.wish.class, s.rung, s.server);
        s.rung = rung;
        if let Some(server) = server {
            self.book(server, self.rate(class, rung) - self.rate(class, old), 1.0);
        }
    }

    // ----- requests

    fn request(&mut self, wish: SessionRequest, out: &mut Vec<Action>) {
        let id = wish.session;
        if wish.class.0 >= self.s.classes.len() || self.sessions.contains_key(&id) {
            return;
        }
        self.arrived += usize::from(!wish.again);
        self.taken.extend(self.s.retry_budget.map(|_| self.now));
        self.draw(&wish);
        self.sample(&wish);
        self.sessions.insert(id, self.session(wish));
        self.place(id, out);
    }

    fn session(&self, wish: SessionRequest) -> Session {
        let (rung, now) = (self.s.classes[wish.class.0].floor, self.now);
        Session { wish, rung, taken_at: now, sent_at: now, changed_at: now, ..Session::default() }
    }

    fn adopt(&mut self, wish: SessionRequest, server: ServerId) {
        let id = wish.session;
        if wish.class.0 >= self.s.classes.len() || self.sessions.contains_key(&id) {
            return;
        }
        self.pricing.sample.push((wish.class.0, self.top(&wish)));
        let mut s = self.session(wish);
        (s.playing, s.answered, s.attempts) = (true, true, 1);
        (s.server, s.changed_at) = (Some(server), self.now.saturating_sub(CHANGE_GAP));
        self.sessions.insert(id, s);
        self.hold(id, server);
    }

    /// Books a session's attempt at a server: rate, stream and seat.
    fn hold(&mut self, id: SessionId, server: ServerId) {
        let Some(s) = self.sessions.get(&id) else { return };
        let rate = self.rate(s.wish.class, s.rung);
        *self.seats.entry((s.wish.title.clone(), s.wish.class.0)).or_default() += 1;
        self.book(server, rate, 1.0);
        self.servers.get_mut(&server).into_iter().for_each(|s| s.streams += 1);
    }

    fn release(&mut self, id: SessionId) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let Some(server) = s.server.take() else { return };
        s.playing = false;
        let (class, rung, key) = (s.wish.class, s.rung, (s.wish.title.clone(), s.wish.class.0));
        self.seats.get_mut(&key).into_iter().for_each(|n| *n -= 1);
        self.seats.retain(|_, n| *n > 0);
        self.book(server, -self.rate(class, rung), 1.0);
        self.servers.get_mut(&server).into_iter().for_each(|s| s.streams = s.streams.saturating_sub(1));
    }

    fn cold(&self, server: &Server) -> bool {
        server.cold_since > 0 && self.now < server.cold_since.saturating_add(self.s.cold_for)
    }

    /// This front's part of a cold budget: as told, a lease while it lasts; else by the number of fronts.
    fn part(&self) -> f64 {
        let told =
            self.part.map(|(always, leased, until)| always + if self.now < until { leased } else { 0.0 });
        told.unwrap_or(1.0 / f64::from(self.s.fronts))
    }

    /// Draws a lot for each cold server that holds what is wanted, once in a window at the most.
    fn draw(&mut self, wish: &SessionRequest) {
        let due = self.now.saturating_sub(self.s.fall_window);
        let cold =
            |h: &&Server| h.lot.0 <= due && self.cold(h) && self.holds(&h.entry, wish.base, wish.spread);
        let ids: Vec<ServerId> = self.servers.values().filter(cold).map(|h| h.entry.server).collect();
        for id in ids {
            let lot = (self.now, self.chance());
            self.servers.get_mut(&id).into_iter().for_each(|h| h.lot = lot);
        }
    }

    /// Whether the cold budget allows a set-up now. The sum over all fronts must hold in every window: a
    /// front whose part is a set-up or more counts its own; where parts are smaller, the lot drawn for the
    /// window must be under its part. However many ask, and how suddenly, the mean of the sum is the same.
    fn cold_room(&self, server: &Server) -> bool {
        if !self.cold(server) {
            return true;
        }
        let window = self.s.fall_window as f64;
        let pace = self.streams_of(server) / self.s.cold_for as f64 * self.s.cold_from;
        let budget = pace * self.s.fall_multiple * window;
        let since = self.now.saturating_sub(self.s.fall_window);
        let sent = server.cold_sends.iter().filter(|&&t| t > since).count() as f64;
        let part = budget * COLD_PART * self.part();
        if part >= 1.0 {
            return sent < part.floor();
        }
        // Sums of many small lots spread like their root: the mean leaves SPREAD deviations free.
        let mean = ((budget + SPREAD * SPREAD / 4.0).sqrt() - SPREAD / 2.0).powi(2);
        sent < 1.0 && server.lot.1 < mean * self.part()
    }

    /// Whether a server holds the titles of these cells.
    fn holds(&self, e: &ServerEntry, base: u32, spread: u32) -> bool {
        (e.cell % self.s.cells + self.s.cells - base % self.s.cells) % self.s.cells < spread
    }

    /// Whether a server may be asked for this session at all.
    fn usable(&self, server: &Server, s: &Session) -> bool {
        let e = &server.entry;
        let scope = match (s.ran, self.s.classes[s.wish.class.0].effect) {
            (None, _) | (_, Effect::Idempotent) => true,
            (Some(_), Effect::AtMostOnce) => false,
            (Some((at, zone, cell)), Effect::Deduplicated { scope, window }) => {
                self.now < at + window
                    && match scope {
                        Scope::All => true,
                        Scope::Zone => zone == e.zone,
                        Scope::Cell => cell == e.cell,
                    }
            }
        };
        e.state == ServerState::Ready
            && self.holds(e, s.wish.base, s.wish.spread)
            && scope
            && !s.tried.contains(&e.server)
            && self.cold_room(server)
    }

    /// Whether a further attempt is within what the site allows.
    fn may_send(&mut self, attempts: u32) -> bool {
        let more = attempts < self.s.max_attempts;
        let Some(b) = self.s.retry_budget else { return more };
        let since = self.now.saturating_sub(b.window);
        self.taken.retain(|&t| t > since);
        self.further.retain(|&t| t >= since);
        let room = b.spare + b.share * self.taken.len() as f64;
        attempts == 0 || (more && (self.further.len() + 1) as f64 <= room)
    }

    /// The ordinary path: best holder first, from the top usable rung down, the first rung that fits and
    /// clears the prices; refused when none does.
    fn place(&mut self, id: SessionId, out: &mut Vec<Action>) {
        let attempts = self.sessions.get(&id).map_or(0, |s| s.attempts);
        let allowed = self.may_send(attempts);
        let (jitter, prices) = (self.chance(), self.prices());
        let Some(s) = self.sessions.get(&id) else { return };
        let class = &self.s.classes[s.wish.class.0];
        let held = self.seats.get(&(s.wish.title.clone(), s.wish.class.0)).copied().unwrap_or(0);
        let seat = class.seats == 0 || held < class.seats;
        let mut choice: Option<(ServerId, Rung)> = None;
        if allowed && seat && self.now < s.wish.give_up_at {
            let mut holders: Vec<(f64, ServerId)> = Vec::new();
            for (n, server) in self.servers.values().filter(|h| self.usable(h, s)).enumerate() {
                let cross = if server.entry.zone == self.s.zone { 0.0 } else { CROSS * self.s.cross_price };
                let call = match server.reach {
                    Reach::Open => 0.0,
                    Reach::Closed => CALL * self.s.handshake_price,
                    Reach::Lost => LAST,
                };
                let lot = (jitter + n as f64 * 0.618).fract() * HERD;
                let doubt = server.doubt(self.now);
                let fleet = server.fleet.3 + if server.fleet.0 { OUTSIDE } else { 0.0 };
                holders.push((self.usage(server) + cross + call + doubt + lot + fleet, server.entry.server));
            }
            holders.sort_by(|a, b| a.0.total_cmp(&b.0));
            choice = holders.iter().find_map(|&(_, h)| Some((h, self.fit(&self.servers[&h], s, prices)?)));
        }
        match choice {
            Some((server, rung)) => self.send(id, server, rung, out),
            None => self.give_up(id, out),
        }
    }

    /// The highest rung that fits a server's streams and link and clears the prices.
    fn fit(&self, server: &Server, s: &Session, prices: Prices) -> Option<Rung> {
        let usage = self.usage(server);
        // Others' streams are unseen: as many for their rate as this front's, if it has a few there.
        let streams = f64::from(server.streams) / server.link.share(self.view());
        if server.streams >= FEW && self.streams_of(server) > 0.0 && streams + 1.0 > self.streams_of(server) {
            return None;
        }
        let floor = self.s.classes[s.wish.class.0].floor;
        (floor..=self.top(&s.wish)).rev().find(|&rung| {
            let rate = self.rate(s.wish.class, rung);
            let worth = self.worth(s.wish.class, rung);
            let fits = usage + CROWD * self.adds(server, rate) <= self.limit(rung);
            // From PRICED on the rung must clear the prices, and so must what it adds to the next lower one:
            // the programme gives a class the rung of the largest surplus, not the highest that pays at all.
            let extra = rung == floor || self.slope(s.wish.class, rung) >= prices.rate - 1e-12;
            fits && ((usage <= PRICED && !s.wish.again)
                || (extra && worth >= prices.rate * rate + prices.stream))
        })
    }

    fn send(&mut self, id: SessionId, server: ServerId, rung: Rung, out: &mut Vec<Action>) {
        let now = self.now;
        let young = self.s.note_delay + 2 * self.s.note_period;
        let heard = self.servers.get(&server).and_then(|h| h.link.heard);
        let Some(s) = self.sessions.get_mut(&id) else { return };
        s.guess = heard.is_none_or(|h| h.1 + young < now);
        self.further.extend((s.attempts > 0 && self.s.retry_budget.is_some()).then_some(now));
        let class = &self.s.classes[s.wish.class.0];
        let left = s.wish.give_up_at.saturating_sub(now);
        let to_aim = (s.taken_at + class.aim).saturating_sub(now);
        let last = s.attempts + 1 >= self.s.max_attempts || class.effect == Effect::AtMostOnce;
        let timeout = match (last, s.attempts) {
            (true, _) => left,
            (false, 0) => (to_aim as f64 * TRY_PART) as Nanos,
            (false, _) => to_aim.max(left / 2),
        };
        s.attempts += 1;
        s.tried.push(server);
        (s.rung, s.server, s.sent_at) = (rung, Some(server), now);
        out.push(Action::SetRung { session: id, rung });
        out.push(Action::Send { session: id, server, timeout: timeout.clamp(MS, left.max(MS)) });
        self.hold(id, server);
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.cold_sends.push_back(now);
        s.cold_sends.retain(|&t| t + self.s.fall_window >= now);
    }

    /// The final answer, at once: refused where that is certain to do no harm, else failed.
    fn give_up(&mut self, id: SessionId, out: &mut Vec<Action>) {
        let Some(s) = self.sessions.remove(&id) else { return };
        let harmless = match self.s.classes[s.wish.class.0].effect {
            Effect::Idempotent => true,
            Effect::Deduplicated { scope, .. } => s.ran.is_none() || scope == Scope::All,
            Effect::AtMostOnce => s.ran.is_none(),
        };
        let come_back = if self.s.may_advise { COME_BACK.min(self.s.max_come_back) } else { 0 };
        let refusal = Action::Refuse { session: id, come_back };
        out.push(if harmless { refusal } else { Action::Fail { session: id } });
    }

    fn started(&mut self, id: SessionId) {
        let now = self.now;
        let Some(s) = self.sessions.get_mut(&id) else { return };
        (s.playing, s.answered, s.started_at) = (true, true, now);
        s.changed_at = now.saturating_sub(CHANGE_GAP);
        let server = s.server.and_then(|h| self.servers.get_mut(&h));
        server.into_iter().for_each(|h| h.failed_at = 0);
    }

    fn ended(
        &mut self, id: SessionId, at: ServerId, outcome: Outcome, finished: bool, out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(s) = self.sessions.get(&id) else { return };
        if s.server != Some(at) {
            return;
        }
        let sent_at = s.sent_at;
        self.release(id);
        let place = self.servers.get(&at).map_or((u32::MAX, u32::MAX), |h| (h.entry.zone, h.entry.cell));
        if let Some(h) = self.servers.get_mut(&at) {
            // Guards against notes that stay out: a server that turns away tells how full it is. Holds for
            // crowds at one server too. May hurt where it is the streams that are full for a moment.
            if outcome == Outcome::Full && self.s.full_from > 0.0 {
                h.link.hear(self.s.full_from, now);
            }
            // Guards against a server that answers with errors or not at all: it fills with nothing and looks
            // the best of all, the more with its connection up. May hurt where an error was chance.
            if matches!(outcome, Outcome::Error | Outcome::TimedOut) && !finished {
                h.failed_at = now;
            }
            if outcome == Outcome::Reset {
                // A broken process may come back cold before the list says so.
                h.cold_since = now;
            }
        }
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let never_ran = matches!(outcome, Outcome::Full | Outcome::NoConnection | Outcome::NotSent);
        if !never_ran && s.ran.is_none() {
            s.ran = Some((sent_at, place.0, place.1));
        }
        if finished || s.answered {
            self.sessions.remove(&id);
        } else {
            self.place(id, out);
        }
    }

    // ----- prices

    /// Types with the given weights; budgets per set-up for `held` sessions of all fronts (set-ups in a
    /// session's time, the design's T, by Little's law).
    fn programme(&self, weights: &[f64], held: f64) -> (Vec<FluidType>, f64, f64) {
        let kinds = self.s.classes.iter().enumerate().map(|(i, c)| FluidType {
            weight: weights[i],
            rungs: (c.floor..=c.top).map(|r| (self.rate(ClassId(i), r), self.worth(ClassId(i), r))).collect(),
        });
        let ready = self.servers.values().filter(|s| s.entry.state == ServerState::Ready);
        let (links, streams) = ready.fold((0.0, 0.0), |a, s| (a.0 + s.link.size, a.1 + self.streams_of(s)));
        let uplinks = self.s.uplink * f64::from(self.s.racks);
        let links = if uplinks > 0.0 { links.min(uplinks) } else { links };
        (kinds.collect(), links / held, streams / held)
    }

    /// Prices in force; the first are solved for even weights and links that the middle rung fills.
    fn prices(&mut self) -> Prices {
        if let Some(p) = self.pricing.prices {
            return p;
        }
        let even = vec![1.0 / self.s.classes.len() as f64; self.s.classes.len()];
        let (kinds, _, streams) = self.programme(&even, 1.0);
        let middle = self.s.ladder.len() / 2;
        let rates = (0..even.len()).map(|c| self.rate(ClassId(c), middle) * even[c]);
        let p = solve(&kinds, PRIOR * rates.sum::<f64>(), streams.max(1.0));
        self.pricing.prices = Some(p);
        p
    }

    /// Collects the sample and re-prices once: kept only if better on the sample, then frozen. Windows of one
    /// class (a reconnect wave) say nothing of the ordinary mixture and are thrown away.
    fn sample(&mut self, wish: &SessionRequest) {
        if self.pricing.frozen {
            return;
        }
        self.pricing.sample.push((wish.class.0, self.top(wish)));
        let n = self.pricing.sample.len();
        if n < SAMPLE || self.pricing.prices.is_none() {
            return;
        }
        let mut weights = vec![0.0; self.s.classes.len()];
        self.pricing.sample.iter().for_each(|x| weights[x.0] += 1.0 / n as f64);
        let one_type = weights.len() > 1 && weights.iter().any(|&w| w > 0.95);
        if one_type {
            return self.pricing.sample.clear();
        }
        // Sessions of all fronts: what links carry on the mean, at the mean rate of own sessions.
        // Own shares of servers heard of would mislead a front with a session or none on most of them.
        let sum = |a: (f64, f64, u32), h: &Server| (a.0 + h.link.size, a.1 + h.link.own, a.2 + h.streams);
        let (size, own, sessions) = self.servers.values().fold((0.0, 0.0, 0), sum);
        let held = self.links.mean * size * f64::from(sessions) / own.max(1.0);
        let (kinds, links, streams) = self.programme(&weights, held.max(1.0));
        let learned = solve(&kinds, links, streams);
        let prior = self.prices();
        let earns = |p: Prices| {
            let (mut link, mut room, mut worth) = (links * n as f64, streams * n as f64, 0.0);
            for &(class, top) in &self.pricing.sample {
                let rung = (self.s.classes[class].floor..=top).rev().find(|&r| {
                    let (rate, w) = (self.rate(ClassId(class), r), self.worth(ClassId(class), r));
                    rate <= link && room >= 1.0 && w >= p.rate * rate + p.stream
                });
                if let Some(r) = rung {
                    link -= self.rate(ClassId(class), r);
                    room -= 1.0;
                    worth += self.worth(ClassId(class), r);
                }
            }
            worth
        };
        if earns(learned) > earns(prior) {
            self.pricing.prices = Some(learned);
        }
        self.pricing.frozen = true;
        self.pricing.sample = Vec::new();
    }
}

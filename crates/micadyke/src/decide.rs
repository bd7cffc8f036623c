//! The decisions of micadyke: on which server a session is set up, at which quality rung, how often an
//! attempt is retried and when a request is refused.
//!
//! [`Controller`] is a state machine without I/O and without a clock. The front that embeds it feeds it
//! [`Event`]s and carries out the [`Action`]s it returns. [`crate::interface`] defines both and the contract
//! between them; `docs/design.md` describes the admission and pricing model.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

// ===== Constants that no setting provides.
const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;
/// Link use up to which the top rung is granted. Below 1 because each point of missing capacity costs viewers
/// several points of worth.
const TOP_RUNG_MAX_USE: f64 = 0.90;
/// Link use by which the limit of a rung exceeds that of the next higher rung. The limit of the lowest rung
/// still lies below a full link.
const USE_PER_RUNG: f64 = 0.035;
/// Link use from which bid prices restrict admission.
const PRICING_MIN_USE: f64 = 0.5;
/// Minimum time between two rung changes of a playing session.
const MIN_RUNG_CHANGE_INTERVAL: Nanos = 10 * SECOND;
/// Initial link budget per session, as a ratio to the rate of the middle rung. Just under 1, so that the
/// initial prices exclude the rungs above it.
const INITIAL_LINK_BUDGET_RATIO: f64 = 0.99;
/// Number of set-ups, adopted sessions included, after which prices are solved again.
const REPRICING_SAMPLE_SIZE: usize = 20;
/// Delay before the first retry of a failed subscription to the server list.
const INITIAL_SUBSCRIBE_BACKOFF: Nanos = 500 * MILLISECOND;
/// Interval of the periodic review of rungs and statistics.
const TICK_INTERVAL: Nanos = 200 * MILLISECOND;
/// Share of the remaining time to the set-up target that the first attempt gets, so that a second one can
/// still meet the target.
const FIRST_ATTEMPT_TIME_SHARE: f64 = 0.5;
/// Share of a cold server's budget that is used. The rest covers random variation and the uneven shares of
/// the other fronts.
const COLD_BUDGET_UTILISATION: f64 = 0.8;
/// Standard deviations that the random admissions of all fronts to a cold server keep below its budget.
/// Hundreds of servers can return at once, each for tens of windows: with three deviations one window in 300
/// exceeds the budget, with five one in 20,000.
const COLD_LOT_DEVIATIONS: f64 = 5.0;
/// Mean link use assumed before the first report. Missing reports don't mean empty links; this value leaves
/// room for the middle rung.
const INITIAL_MEAN_LINK_USE: f64 = 0.8;
/// Weight of the mean excess over full links in the estimate for a link without reports, which may be one of
/// the overloaded ones: viewers lose several points of worth for each missing point of capacity. A weight of
/// 5 costs the busiest simulated deployment 0.03 of its score, 3 costs it 0.02.
const UNKNOWN_LINK_EXCESS_WEIGHT: f64 = 3.0;
/// Number of own sessions at a server from which the streams of other fronts there are extrapolated.
const MIN_SESSIONS_FOR_STREAM_ESTIMATE: u32 = 3;
/// Time after a session's start within which a report counts as the one sent at set-up. On sockets the start
/// and the report are two messages. Must be shorter than [`TICK_INTERVAL`].
const SETUP_REPORT_WINDOW: Nanos = 5 * MILLISECOND;
/// Age at which a reported use below the mean has faded to the mean. All fronts that learn of free capacity
/// fill it at once, long before the next report shows it. A lifetime of 2 s costs simulated days 0.02 to 0.05
/// of their score, 5 s about 0.01.
const LOW_USE_REPORT_LIFETIME: Nanos = 5 * SECOND;
/// Delivered share of the rate below which a server counts as short of capacity; servers report a shortfall
/// by the same bound.
const FULL_DELIVERY_THRESHOLD: f64 = 0.98;
/// Time over which a server regains full trust after a shortfall or a failed attempt, in seconds.
const RECOVERY_PERIOD_S: f64 = 20.0;
/// Servers whose link use differs by less than this are chosen between at random, so that fronts with the
/// same view don't all choose the same server.
const LOAD_TIE_RANGE: f64 = 0.04;
/// Points of link use that a server in another zone is penalised by, for each point of the cross-zone price.
const CROSS_ZONE_PENALTY_PER_PRICE: f64 = 1.5;
/// Points of link use that a server without an open connection is penalised by, for each point of the
/// handshake price. Higher than for zones because an open connection also brings recent reports.
const HANDSHAKE_PENALTY_PER_PRICE: f64 = 3.0;
/// Link use added to a server whose last attempt failed: more than eligible servers usually differ by.
const FAILURE_PENALTY: f64 = 0.5;
/// Link use added to a server that can't be connected to: more than any real use, so that it is tried last.
const UNREACHABLE_PENALTY: f64 = 1e3;
/// Link use added to a server outside the working subset: more than the servers within usually differ by.
const OUTSIDE_SUBSET_PENALTY: f64 = 0.2;
/// Gain with which all fronts together correct the load imbalance of a server, filtered over
/// [`BALANCE_TIME_CONSTANT`]. The control loop oscillates only with delays above 13 s.
const BALANCE_GAIN: f64 = 3.0;
/// Time constant of the load balance correction.
const BALANCE_TIME_CONSTANT: Nanos = 20 * SECOND;
/// Age from which a fleet-wide load figure is ignored.
const FLEET_LOAD_MAX_AGE: Nanos = 8 * SECOND;
/// Link use that must stay free below the limit of the higher rung when a playing session steps up.
const STEP_UP_HEADROOM: f64 = 0.12;
/// Minimum ratio of a step up's expected gain over the session's duration to the cost of the change. Above 1
/// because the step may have to be reverted.
const STEP_UP_MIN_RETURN: f64 = 3.0;
/// Factor on a set-up's rate when it is checked against free capacity: other fronts use the same capacity
/// before the next report.
const SETUP_RATE_MARGIN: f64 = 1.2;
/// Share of a link kept free, divided by the square root of the number of middle-rung sessions it carries:
/// the variation of true session rates averages out over many sessions.
const POOL_RESERVE: f64 = 0.25;
/// Link use above a rung's limit at which a playing session steps down. Each change costs worth, so small
/// excesses are tolerated.
const STEP_DOWN_TOLERANCE: f64 = 0.09;
/// Share of an excess that one adjustment removes: the next report arrives before the adjustment shows in it.
const EXCESS_CORRECTION_SHARE: f64 = 0.7;
/// Wait advised to a refused viewer: about the age of a report, after which the load estimate has changed.
const REFUSAL_RETRY_AFTER: Nanos = SECOND;

// ===== Bid prices from the fluid programme, and their re-pricing.
/// Bid prices of link rate and of streams, in worth per second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Prices {
    /// Price of each kB/s of link rate.
    pub rate: f64,
    /// Price of each stream.
    pub stream: f64,
}

/// A class of sessions in the fluid programme.
#[derive(Debug, Clone, PartialEq)]
pub struct FluidClass {
    /// The class's share of all set-ups.
    pub weight: f64,
    /// Rate (kB/s) and worth of each rung that the class may play at, lowest first.
    pub rungs: Vec<(f64, f64)>,
}

/// The dual objective of the fluid programme: the value of the budgets at these prices plus the surplus that
/// the classes retain.
pub fn dual_value(classes: &[FluidClass], link: f64, streams: f64, p: Prices) -> f64 {
    let surplus = |&(rate, worth): &(f64, f64)| worth - p.rate * rate - p.stream;
    let kept = classes.iter().map(|k| k.weight * k.rungs.iter().map(surplus).fold(0.0, f64::max));
    link * p.rate + streams * p.stream + kept.sum::<f64>()
}

/// Solves the fluid programme exactly and returns its optimal prices.
///
/// The dual is convex and piecewise linear in the two prices, so a minimum lies where two of its breakpoint
/// lines or axes intersect. Of several minima the one with the lowest prices is returned.
pub fn solve(classes: &[FluidClass], link: f64, streams: f64) -> Prices {
    // The lines a*rate + b*stream = c at which the dual's slope changes, and the two axes.
    let mut lines = vec![(1.0, 0.0, 0.0), (0.0, 1.0, 0.0)];
    for class in classes {
        for (i, &(rate, worth)) in class.rungs.iter().enumerate() {
            lines.push((rate, 1.0, worth));
            lines.extend(class.rungs[..i].iter().map(|&(r, w)| (rate - r, 0.0, worth - w)));
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
            let value = dual_value(classes, link, streams, p);
            let size = p.rate * link + p.stream * streams;
            let slack = 1e-9 * (1.0 + value.abs());
            if value < best.0 - slack || (value < best.0 + slack && size < best.1 - slack) {
                best = (value, size, p);
            }
        }
    }
    best.2
}

/// The prices in force and the sample of set-ups from which they are solved a second time.
#[derive(Debug, Default)]
struct Pricing {
    prices: Option<Prices>,
    sample: Vec<(usize, Rung)>,
    frozen: bool,
}

// ===== Load estimates of links and uplinks: requested rate over capacity.
/// Statistics over the links, or the uplinks, with a recent report.
#[derive(Debug, Clone, Copy, Default)]
struct LinkStatistics {
    mean: f64,
    /// Mean over all links of the use above a full link.
    excess: f64,
}

/// The inputs of a load estimate besides the link itself. A report fades to the mean of the recently reported
/// links once it is older than `report_lifetime`.
#[derive(Debug, Clone, Copy)]
struct EstimateContext {
    now: Nanos,
    fronts: f64,
    statistics: LinkStatistics,
    report_lifetime: Nanos,
}

/// The load estimate of a server's link or of a rack's uplink.
#[derive(Debug, Default)]
struct LinkEstimate {
    /// Nominal capacity by the server list, in kB/s.
    capacity: f64,
    /// Share of the capacity that may be planned with: a link of few sessions varies more with their true
    /// rates.
    usable_share: f64,
    /// Rate requested by this front's sessions, in kB/s.
    own_rate: f64,
    /// The last reported use and the time it was taken at.
    last_report: Option<(f64, Nanos)>,
    /// Changes of use by this front since the last report, with their times.
    changes_since_report: VecDeque<(Nanos, f64)>,
}

impl LinkEstimate {
    fn set_capacity(&mut self, capacity: f64, middle_rate: f64) {
        self.capacity = capacity.max(0.0);
        let sessions = if self.capacity > 0.0 { (self.capacity / middle_rate).max(1.0) } else { 1.0 };
        self.usable_share = 1.0 - POOL_RESERVE / sessions.sqrt();
    }

    /// The estimated use now: the last report plus the changes since. An old report fades to the mean, one
    /// below the mean within [`LOW_USE_REPORT_LIFETIME`].
    fn estimated_use(&self, context: EstimateContext) -> f64 {
        let LinkStatistics { mean, excess } = context.statistics;
        // Without a report the other fronts are assumed to load this link like the mean. The excess of
        // overloaded links is added, since this may be one of them and missing capacity is costly.
        let own = if self.capacity > 0.0 { self.own_rate / self.capacity } else { 0.0 };
        let others = 1.0 - 1.0 / context.fronts;
        let Some((value, taken_at)) = self.last_report else {
            return own + (mean + UNKNOWN_LINK_EXCESS_WEIGHT * excess) * others;
        };
        let age = context.now.saturating_sub(taken_at) as f64;
        let fade = if value < mean {
            age / LOW_USE_REPORT_LIFETIME as f64
        } else {
            age / context.report_lifetime.max(1) as f64 - 1.0
        };
        self.with_recent_changes(value + (mean - value) * fade.clamp(0.0, 1.0))
    }

    /// A reported use plus the changes recorded since the report.
    fn with_recent_changes(&self, value: f64) -> f64 {
        (value + self.changes_since_report.iter().map(|l| l.1).sum::<f64>()).max(0.0)
    }

    /// This front's share of the rate requested from all fronts.
    fn own_share(&self, context: EstimateContext) -> f64 {
        let all = self.estimated_use(context) * self.capacity;
        if all > 0.0 { (self.own_rate / all).clamp(0.5 / context.fronts, 1.0) } else { 1.0 }
    }

    /// Records a change of rate. `own` is 1 if this front's sessions cause it and 0 if other fronts do.
    fn record_change(&mut self, now: Nanos, rate: f64, own: f64) {
        self.own_rate = (self.own_rate + rate * own).max(0.0);
        if self.last_report.is_some() && self.capacity > 0.0 && rate != 0.0 {
            self.changes_since_report.push_back((now, rate / self.capacity));
        }
    }

    fn record_report(&mut self, value: f64, taken_at: Nanos) {
        if value.is_finite() && value >= 0.0 && self.last_report.is_none_or(|h| h.1 <= taken_at) {
            self.last_report = Some((value, taken_at));
            self.changes_since_report.retain(|l| l.0 > taken_at);
        }
    }
}

/// Statistics over the links whose last report is recent; the period is short enough for a surge to show
/// within two report periods. `None` if there is no such link.
fn statistics_of_recent<'a>(
    statistics: impl Iterator<Item = &'a LinkEstimate>, context: EstimateContext,
) -> Option<LinkStatistics> {
    let is_recent =
        |p: &&LinkEstimate| p.last_report.is_some_and(|h| h.1 + context.report_lifetime / 3 >= context.now);
    let current_use = |p: &LinkEstimate| p.with_recent_changes(p.last_report.map_or(0.0, |h| h.0));
    let uses: Vec<f64> = statistics.filter(is_recent).map(current_use).collect();
    let n = uses.len() as f64;
    let mean = uses.iter().sum::<f64>() / n;
    let excess = uses.iter().map(|u| (u - 1.0).max(0.0)).sum::<f64>() / n;
    (n > 0.0).then_some(LinkStatistics { mean, excess })
}

// ===== Servers and sessions.
#[derive(Debug)]
struct Server {
    entry: ServerEntry,
    link: LinkEstimate,
    /// Streams of this front's sessions there, set-ups included.
    own_streams: u32,
    /// When its process started, as listed or as inferred from a broken connection.
    cold_since: Nanos,
    /// Times of the attempts sent to it, within the window of the cold budget.
    cold_attempts: VecDeque<Nanos>,
    /// While it is cold: when this front last drew a random number for its admission, and the number.
    cold_lot: (Nanos, f64),
    /// The delivered share of its estimated use, and when that was reported.
    delivery: (f64, Nanos),
    /// A report that all fronts with sessions there receive has not been acted on yet.
    needs_rung_review: bool,
    reachability: Reachability,
    /// Whether it lies outside the working subset; its relative load imbalance over the fleet; until when
    /// that is valid; the use added to it as this front's correction.
    fleet_balance: (bool, f64, Nanos, f64),
    /// When an attempt there last failed; 0 once a session has started there since.
    last_failure_at: Nanos,
}

impl Server {
    fn new(entry: ServerEntry) -> Self {
        let (link, cold_since, cold_attempts) = (LinkEstimate::default(), entry.started_at, VecDeque::new());
        let (delivery, reachability, cold_lot) = ((1.0, 0), Reachability::Closed, (0, 1.0));
        Server {
            entry,
            link,
            own_streams: 0,
            cold_since,
            cold_attempts,
            cold_lot,
            delivery,
            needs_rung_review: false,
            reachability,
            fleet_balance: (false, 0.0, 0, 0.0),
            last_failure_at: 0,
        }
    }

    fn rack_index(&self, racks: u32) -> u32 {
        self.entry.cell % racks
    }

    /// The use added to the server for its last failure; declines over the recovery period.
    fn failure_penalty(&self, now: Nanos) -> f64 {
        let old = now.saturating_sub(self.last_failure_at) as f64 / (RECOVERY_PERIOD_S * SECOND as f64);
        if self.last_failure_at > 0 { FAILURE_PENALTY * (1.0 - old).max(0.0) } else { 0.0 }
    }

    /// The share of its capacity that it is taken to deliver now; returns to 1 over the recovery period while
    /// no shortfall is reported.
    fn delivery_ratio(&self, now: Nanos) -> f64 {
        let (low, at) = self.delivery;
        let back = now.saturating_sub(at) as f64 / (RECOVERY_PERIOD_S * SECOND as f64);
        (low + (1.0 - low) * back).min(1.0)
    }
}

#[derive(Debug, Default)]
struct Session {
    request: SessionRequest,
    rung: Rung,
    accepted_at: Nanos,
    sent_at: Nanos,
    rung_changed_at: Nanos,
    started_at: Nanos,
    /// The server of its attempt, in flight or playing.
    server: Option<ServerId>,
    playing: bool,
    /// Its attempt was sent without a recent report on the server's load.
    sent_without_report: bool,
    /// No answer is due any more.
    answered: bool,
    attempts: u32,
    tried: Vec<ServerId>,
    /// The first attempt that may have taken effect: when it was sent, and the zone and cell of its server.
    may_have_run: Option<(Nanos, u32, u32)>,
}

/// Maps the state of the random generator to [0, 1): the output function of splitmix64.
fn unit_interval(mut z: u64) -> f64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

// ===== The controller.
/// Makes the decisions of one front. See [`crate::interface`] for the contract.
#[derive(Debug, Default)]
pub struct Controller {
    settings: Settings,
    random_state: u64,
    now: Nanos,
    created_at: Nanos,
    new_request_count: usize,
    link_statistics: LinkStatistics,
    uplink_statistics: LinkStatistics,
    timer_started: bool,
    stalled_for: Nanos,
    subscribed: bool,
    next_subscribe_at: Nanos,
    subscribe_backoff: Nanos,
    servers: BTreeMap<ServerId, Server>,
    racks: BTreeMap<u32, LinkEstimate>,
    sessions: BTreeMap<SessionId, Session>,
    seats: BTreeMap<(TitleId, usize), u32>,
    pricing: Pricing,
    accepted_requests: VecDeque<Nanos>,
    retries: VecDeque<Nanos>,
    /// The assigned share of cold budgets: the guaranteed part, the leased part and the end of the lease.
    assigned_cold_share: Option<(f64, f64, Nanos)>,
}

impl Controller {
    /// Creates a controller without servers or sessions.
    ///
    /// # Errors
    ///
    /// The first setting that is out of range.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        settings.check()?;
        let link_statistics = LinkStatistics { mean: INITIAL_MEAN_LINK_USE, excess: 0.0 };
        Ok(Controller {
            settings,
            random_state: seed,
            now,
            created_at: now,
            link_statistics,
            ..Controller::default()
        })
    }

    /// Number of sessions, set-ups included.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// Handles one event at time `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        // If the process was suspended, timer events are overdue and the events now read may have waited for
        // up to that long. A timer that was merely late costs little: reports count as older than they are.
        self.stalled_for = if now > self.now {
            (now - self.now).saturating_sub(2 * TICK_INTERVAL)
        } else {
            self.stalled_for
        };
        self.now = self.now.max(now);
        if !self.timer_started {
            self.timer_started = true;
            out.push(Action::SetTimer { after: TICK_INTERVAL, token: 0 });
        }
        self.subscribe_if_due(out);
        match event {
            Event::List { kind, entries } => self.update_servers(kind, entries),
            Event::ColdBudgetShare { guaranteed, leased, lease_ends_at }
                if (0.0..=1.0).contains(&(guaranteed + leased)) =>
            {
                self.assigned_cold_share = Some((guaranteed.max(0.0), leased.max(0.0), lease_ends_at));
            }
            Event::ColdBudgetShare { .. } => {}
            Event::Reachability { server, reachability } => self.update_reachability(server, reachability),
            Event::FleetUpdate { server, outside_subset, load } => {
                let Some(s) = self.servers.get_mut(&server) else { return };
                let imbalance = |f: FleetLoad| (f.carried / f.target - 1.0).clamp(-1.0, 1.0) * f.coverage;
                let gap = load.map_or(s.fleet_balance.1, imbalance).clamp(-1.0, 1.0);
                let until =
                    load.map_or(s.fleet_balance.2, |f| self.now + FLEET_LOAD_MAX_AGE.saturating_sub(f.age));
                s.fleet_balance =
                    (outside_subset, if gap.is_finite() { gap } else { 0.0 }, until, s.fleet_balance.3);
            }
            Event::Request(request) => self.handle_request(request, out),
            Event::Adopted { request, server } => self.adopt_session(request, server),
            Event::Started { session } => self.handle_started(session),
            Event::Ended { session, server, outcome, finished } => {
                self.handle_ended(session, server, outcome, finished, out)
            }
            Event::Left { session } => {
                self.sessions.get_mut(&session).into_iter().for_each(|s| s.answered = true)
            }
            Event::Report { session, server, kind, value } => {
                self.handle_report(session, server, kind, value, out)
            }
            Event::Timer { .. } => {
                out.push(Action::SetTimer { after: TICK_INTERVAL, token: 0 });
                self.update_statistics();
                // All fronts learn of an imbalance and correct it together; this front corrects its own
                // share.
                let (context, now) = (self.estimate_context(), self.now);
                for s in self.servers.values_mut() {
                    let gap = if now < s.fleet_balance.2 {
                        s.fleet_balance.1 * s.link.estimated_use(context)
                    } else {
                        0.0
                    };
                    s.fleet_balance.3 += (BALANCE_GAIN * gap * s.link.own_share(context) - s.fleet_balance.3)
                        * TICK_INTERVAL as f64
                        / BALANCE_TIME_CONSTANT as f64;
                }
                // Reports are acted on at the next timer event, when all of them have arrived. Without
                // periodic reports the own estimates are reviewed on one timer event in five.
                let review_all = self.settings.report_period == 0 && self.next_random() < 0.2;
                let due_for_review = |s: (&ServerId, &mut Server)| {
                    (std::mem::take(&mut s.1.needs_rung_review) || review_all).then_some(*s.0)
                };
                let to_review: Vec<ServerId> = self.servers.iter_mut().filter_map(due_for_review).collect();
                to_review.into_iter().for_each(|s| self.adjust_rungs(s, None, out));
            }
        }
    }

    /// The next random number in [0, 1), by splitmix64.
    fn next_random(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        unit_interval(self.random_state)
    }

    /// Mean duration of a session in seconds by Little's law: current sessions over the rate of new ones.
    fn mean_session_seconds(&self) -> f64 {
        let age = self.now.saturating_sub(self.created_at) as f64 / SECOND as f64;
        self.sessions.len() as f64 * age / self.new_request_count.max(1) as f64
    }

    fn estimate_context(&self) -> EstimateContext {
        let report_lifetime = self.settings.report_delay + 6 * self.settings.report_period.max(SECOND);
        EstimateContext {
            now: self.now,
            fronts: f64::from(self.settings.fronts),
            statistics: self.link_statistics,
            report_lifetime,
        }
    }

    /// Updates the statistics of recently reported links and uplinks; keeps the last ones while there are no
    /// reports.
    fn update_statistics(&mut self) {
        let context = self.estimate_context();
        self.link_statistics = statistics_of_recent(self.servers.values().map(|s| &s.link), context)
            .unwrap_or(self.link_statistics);
        self.uplink_statistics =
            statistics_of_recent(self.racks.values(), context).unwrap_or(self.uplink_statistics);
    }

    fn rate(&self, class: ClassId, rung: Rung) -> f64 {
        self.settings.ladder[rung].rate * self.settings.classes[class.0].scale
    }

    fn worth(&self, class: ClassId, rung: Rung) -> f64 {
        self.settings.ladder[rung].worth * self.settings.classes[class.0].worth
    }

    /// The highest rung that both the viewer and the class can use, and never below the class's floor.
    fn highest_rung(&self, request: &SessionRequest) -> Rung {
        request
            .top
            .min(self.settings.classes[request.class.0].top)
            .max(self.settings.classes[request.class.0].floor)
    }

    /// The use up to which a rung is granted; higher for lower rungs.
    fn max_use(&self, rung: Rung) -> f64 {
        TOP_RUNG_MAX_USE + USE_PER_RUNG * (self.settings.ladder.len() - 1 - rung) as f64
    }

    // ----- the list of servers

    /// Subscribes to the server list if the site requires that. Failed calls are retried with exponential
    /// backoff, limited to a third of the time after which an unrefreshed list expires.
    fn subscribe_if_due(&mut self, out: &mut Vec<Action>) {
        if self.settings.listing == Listing::Subscribed
            && !self.subscribed
            && self.now >= self.next_subscribe_at
        {
            out.push(Action::Subscribe);
            self.subscribe_backoff = (2 * self.subscribe_backoff).clamp(
                INITIAL_SUBSCRIBE_BACKOFF,
                (self.settings.subscribe_within / 3).max(INITIAL_SUBSCRIBE_BACKOFF),
            );
            self.next_subscribe_at = self.now + self.subscribe_backoff;
        }
    }

    fn update_servers(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        if kind == ListKind::Failed {
            self.subscribed = false;
            return;
        }
        if kind != ListKind::Cached {
            (self.subscribed, self.subscribe_backoff) = (true, 0);
        }
        if kind != ListKind::Delta {
            self.servers.values_mut().for_each(|s| s.entry.state = ServerState::Gone);
        }
        for entry in entries {
            let s = self.servers.entry(entry.server).or_insert_with(|| Server::new(entry.clone()));
            if entry.started_at > s.entry.started_at {
                // A new process: observations of the previous one no longer apply.
                s.cold_since = s.cold_since.max(entry.started_at);
                s.delivery = (1.0, 0);
            }
            s.entry = entry;
        }
        // A removed server is kept until its sessions have ended and while it could return cold.
        let (now, cold_for) = (self.now, self.settings.cold_for);
        self.servers.retain(|_, s| {
            s.entry.state != ServerState::Gone
                || s.own_streams > 0
                || now < s.cold_since.saturating_add(cold_for)
        });
        self.update_capacities();
    }

    fn update_reachability(&mut self, server: ServerId, reachability: Reachability) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.reachability = reachability;
        if reachability == Reachability::Lost {
            // An unreachable server may return as a new, cold process, which hundreds of fronts would find
            // seconds before the list shows it. After a mere network failure it gets little load for a while.
            s.cold_since = self.now;
        }
    }

    fn streams_of(&self, server: &Server) -> f64 {
        f64::from(self.settings.streams_by_kind.get(server.entry.kind).copied().unwrap_or(0))
    }

    /// Sets the capacities of links in proportion to weights or, if weights don't reflect size, to the number
    /// of streams of the machine's kind.
    fn update_capacities(&mut self) {
        let streams: Vec<f64> = self.servers.values().map(|s| self.streams_of(s)).collect();
        let mean = streams.iter().sum::<f64>() / streams.len().max(1) as f64;
        let middle_rate = self.settings.ladder[self.settings.ladder.len() / 2].rate;
        for (s, streams) in self.servers.values_mut().zip(streams) {
            let by_weight = self.settings.weights_reflect_size || mean <= 0.0;
            let part = if by_weight { s.entry.weight } else { streams / mean };
            s.link.set_capacity(self.settings.link_per_weight * part, middle_rate);
            self.racks
                .entry(s.rack_index(self.settings.racks))
                .or_default()
                .set_capacity(self.settings.uplink, middle_rate);
        }
    }

    // ----- load estimates

    /// Records a change of rate at a server and its rack. `own` is 1 if this front's sessions cause it and 0
    /// if other fronts do.
    fn record_rate_change(&mut self, server: ServerId, rate: f64, own: f64) {
        let (now, racks) = (self.now, self.settings.racks);
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.link.record_change(now, rate, own);
        self.racks.get_mut(&s.rack_index(racks)).into_iter().for_each(|r| r.record_change(now, rate, own));
    }

    /// The estimated use of a server: the higher one of its link and its rack's uplink, relative to the share
    /// of its capacity that it delivers.
    fn estimated_use(&self, server: &Server) -> f64 {
        let rack = self.racks.get(&server.rack_index(self.settings.racks));
        let racks = EstimateContext { statistics: self.uplink_statistics, ..self.estimate_context() };
        let rack = rack
            .filter(|_| self.uplink_statistics.mean > 0.0)
            .map_or(0.0, |r| r.estimated_use(racks) / r.usable_share);
        (server.link.estimated_use(self.estimate_context()) / server.link.usable_share).max(rack)
            / server.delivery_ratio(self.now).max(0.01)
    }

    /// The use that a rate adds at a server.
    fn added_use(&self, server: &Server, rate: f64) -> f64 {
        let rack = self
            .racks
            .get(&server.rack_index(self.settings.racks))
            .map_or(0.0, |r| r.capacity * r.usable_share);
        let link = server.link.capacity * server.link.usable_share;
        let part = |size: f64| if size > 0.0 { rate / size } else { 0.0 };
        part(link).max(part(rack)) / server.delivery_ratio(self.now).max(0.01)
    }

    fn handle_report(
        &mut self, id: SessionId, server: ServerId, kind: ReportKind, value: f64, out: &mut Vec<Action>,
    ) {
        let (now, context) = (self.now, self.estimate_context());
        let session = self.sessions.get(&id).filter(|s| s.playing && s.server == Some(server));
        if !value.is_finite() || value < 0.0 || session.is_none() {
            return;
        }
        // The report at set-up is current; later ones are delayed by the time that the settings state.
        let sent_without_report = session.is_some_and(|s| s.sent_without_report);
        let at_setup = self.stalled_for == 0
            && session.is_some_and(|s| now < s.started_at + SETUP_REPORT_WINDOW && s.started_at > 0);
        let taken_at =
            if at_setup { now } else { now.saturating_sub(self.settings.report_delay + self.stalled_for) };
        if kind == ReportKind::RungInForce {
            let rung = (value as Rung).min(self.settings.ladder.len() - 1);
            return self.record_rung(id, rung);
        }
        let Some(s) = self.servers.get_mut(&server) else { return };
        let Some(rack) = self.racks.get_mut(&s.rack_index(self.settings.racks)) else { return };
        match kind {
            ReportKind::UplinkUse => rack.record_report(value, taken_at),
            ReportKind::LinkUse => s.link.record_report(value, taken_at),
            // The server delivers less than its estimate says: an unreported uplink, a link with reduced
            // capacity or of wrong nominal size, a stalled server. It is taken to deliver the requested use
            // times the delivered share. After a brief dip it takes the recovery period to be used in full.
            _ if value < FULL_DELIVERY_THRESHOLD => {
                let link = s.link.last_report.map_or_else(|| s.link.estimated_use(context), |h| h.0);
                let asked = link.max(rack.last_report.map_or(0.0, |h| h.0));
                s.delivery = ((asked * value).clamp(0.01, 1.0), now);
            }
            _ => {}
        }
        // The report at set-up corrects this set-up if it was sent without a recent report. Otherwise it is
        // handled like any other report.
        s.needs_rung_review |= !(at_setup && sent_without_report);
        if at_setup && sent_without_report {
            self.adjust_rungs(server, Some(id), out);
        }
    }

    // ----- rungs of playing sessions

    /// Adjusts the rungs of playing sessions to the estimated use of their server.
    ///
    /// A session steps down once use exceeds its rung's limit by [`STEP_DOWN_TOLERANCE`] and up if use would
    /// stay [`STEP_UP_HEADROOM`] below the higher rung's limit. All fronts receive the same reports, and each
    /// acts on a report once, by its own share of the change. A change smaller than one step is made with the
    /// corresponding probability, so that the sum is right for a few fronts and for hundreds.
    ///
    /// `new` is a session that was sent without a recent report. The report at its set-up reaches this front
    /// alone, so that only this session steps down, by the whole excess.
    fn adjust_rungs(&mut self, id: ServerId, new: Option<SessionId>, out: &mut Vec<Action>) {
        let mut draw = self.next_random();
        let Some(server) = self.servers.get(&id) else { return };
        let (usage, own) = (self.estimated_use(server), server.link.own_rate);
        let share = if new.is_some() { 1.0 } else { server.link.own_share(self.estimate_context()) };
        let asked = if new.is_some() {
            server.link.estimated_use(self.estimate_context()) * server.link.capacity
        } else {
            own
        };
        // If the servers report periodically, nothing is changed before the first report.
        if own <= 0.0
            || (self.settings.report_period > 0
                && server.link.last_report.is_none()
                && server.delivery.0 >= 1.0)
        {
            return;
        }
        let free = |s: &&Session| match new {
            Some(new) => s.request.session == new && s.sent_without_report,
            None => {
                s.playing && s.server == Some(id) && self.now >= s.rung_changed_at + MIN_RUNG_CHANGE_INTERVAL
            }
        };
        let all = self.sessions.values().filter(free);
        // Session, class, new rung, highest rung, current rung.
        let mut candidates: Vec<(SessionId, ClassId, Rung, Rung, Rung)> = all
            .map(|s| (s.request.session, s.request.class, s.rung, self.highest_rung(&s.request), s.rung))
            .collect();
        let (mut freed, mut own_change) = (0.0, 0.0);
        loop {
            // Take the step down that loses the least worth for the rate it frees, until the rest fits.
            let loss = |i: &usize| self.marginal_worth(candidates[*i].1, candidates[*i].2);
            let need =
                |rung: Rung| asked * (1.0 - self.max_use(rung) / usage) * EXCESS_CORRECTION_SHARE - freed;
            let over = |&i: &usize| {
                let (_, class, rung, ..) = candidates[i];
                rung > self.settings.classes[class.0].floor
                    && usage > (self.max_use(rung) + STEP_DOWN_TOLERANCE).min(1.0)
                    && need(rung) > 0.0
            };
            let next = (0..candidates.len()).filter(over).min_by(|a, b| loss(a).total_cmp(&loss(b)));
            let Some(i) = next else { break };
            let step =
                self.rate(candidates[i].1, candidates[i].2) - self.rate(candidates[i].1, candidates[i].2 - 1);
            let probability = need(candidates[i].2) / step;
            own_change -= step * probability.min(1.0);
            if draw >= probability {
                break;
            }
            draw = if probability < 1.0 { 1.0 } else { draw };
            freed += step;
            candidates[i].2 -= 1;
        }
        // With free capacity, take the step up that gains the most worth for its rate; low rungs gain most.
        // It goes as far as all sessions alike could go, or one rung with the corresponding probability, and
        // only if it returns STEP_UP_MIN_RETURN times its cost.
        let recently_reported = server
            .link
            .last_report
            .is_some_and(|h| h.1 + self.estimate_context().report_lifetime >= self.now);
        if new.is_none() && own_change >= 0.0 && (recently_reported || self.settings.report_period == 0) {
            let added_rate = |i: usize, to: Rung| {
                self.rate(candidates[i].1, to) - self.rate(candidates[i].1, candidates[i].2)
            };
            let steps_that_fit = |i: usize, to: Rung| {
                (self.max_use(to) - STEP_UP_HEADROOM - usage) / self.added_use(server, added_rate(i, to))
            };
            let gain = |i: &usize| self.marginal_worth(candidates[*i].1, candidates[*i].2 + 1);
            let can_rise = (0..candidates.len()).filter(|&i| {
                candidates[i].2 < candidates[i].3 && steps_that_fit(i, candidates[i].2 + 1) >= 1.0
            });
            if let Some(i) = can_rise.max_by(|a, b| gain(a).total_cmp(&gain(b))) {
                let from = candidates[i].2;
                let added_worth =
                    |to: Rung| self.settings.ladder[to].worth - self.settings.ladder[from].worth;
                let affordable_by_all = |&to: &Rung| to == from + 1 || steps_that_fit(i, to) * share >= 1.0;
                let to = (from + 1..=candidates[i].3).rev().find(affordable_by_all);
                let to = to.filter(|&to| {
                    added_worth(to) * self.mean_session_seconds()
                        >= STEP_UP_MIN_RETURN * self.settings.change_cost_s
                });
                if let Some(to) = to {
                    let probability = (steps_that_fit(i, to) * share).min(1.0);
                    own_change = added_rate(i, to) * probability;
                    candidates[i].2 = if draw < probability { to } else { from };
                }
            }
        }
        // Add the change that the other fronts are expected to make on the same report.
        let others_change = own_change * (1.0 / share - 1.0);
        let now = self.now;
        self.record_rate_change(id, others_change, 0.0);
        for m in candidates.into_iter().filter(|m| m.2 != m.4) {
            self.record_rung(m.0, m.2);
            self.sessions
                .get_mut(&m.0)
                .into_iter()
                .for_each(|s| (s.rung_changed_at, s.sent_without_report) = (now, false));
            out.push(Action::SetRung { session: m.0, rung: m.2 });
        }
    }

    /// Worth gained for each kB/s between a rung and the next lower one.
    fn marginal_worth(&self, class: ClassId, rung: Rung) -> f64 {
        (self.worth(class, rung) - self.worth(class, rung - 1))
            / (self.rate(class, rung) - self.rate(class, rung - 1))
    }

    fn record_rung(&mut self, id: SessionId, rung: Rung) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let (class, old, server) = (s.request.class, s.rung, s.server);
        s.rung = rung;
        if let Some(server) = server {
            self.record_rate_change(server, self.rate(class, rung) - self.rate(class, old), 1.0);
        }
    }

    // ----- requests

    fn handle_request(&mut self, request: SessionRequest, out: &mut Vec<Action>) {
        let id = request.session;
        if request.class.0 >= self.settings.classes.len() || self.sessions.contains_key(&id) {
            return;
        }
        self.new_request_count += usize::from(!request.returning);
        self.accepted_requests.extend(self.settings.retry_budget.map(|_| self.now));
        self.draw_cold_lots(&request);
        self.add_pricing_sample(&request);
        self.sessions.insert(id, self.new_session(request));
        self.place_session(id, out);
    }

    fn new_session(&self, request: SessionRequest) -> Session {
        let (rung, now) = (self.settings.classes[request.class.0].floor, self.now);
        Session { request, rung, accepted_at: now, sent_at: now, rung_changed_at: now, ..Session::default() }
    }

    fn adopt_session(&mut self, request: SessionRequest, server: ServerId) {
        let id = request.session;
        if request.class.0 >= self.settings.classes.len() || self.sessions.contains_key(&id) {
            return;
        }
        self.pricing.sample.push((request.class.0, self.highest_rung(&request)));
        let mut s = self.new_session(request);
        (s.playing, s.answered, s.attempts) = (true, true, 1);
        (s.server, s.rung_changed_at) = (Some(server), self.now.saturating_sub(MIN_RUNG_CHANGE_INTERVAL));
        self.sessions.insert(id, s);
        self.record_attempt(id, server);
    }

    /// Records a session's attempt at a server: its rate, stream and seat.
    fn record_attempt(&mut self, id: SessionId, server: ServerId) {
        let Some(s) = self.sessions.get(&id) else { return };
        let rate = self.rate(s.request.class, s.rung);
        *self.seats.entry((s.request.title.clone(), s.request.class.0)).or_default() += 1;
        self.record_rate_change(server, rate, 1.0);
        self.servers.get_mut(&server).into_iter().for_each(|s| s.own_streams += 1);
    }

    fn release_attempt(&mut self, id: SessionId) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let Some(server) = s.server.take() else { return };
        s.playing = false;
        let (class, rung, key) = (s.request.class, s.rung, (s.request.title.clone(), s.request.class.0));
        self.seats.get_mut(&key).into_iter().for_each(|n| *n -= 1);
        self.seats.retain(|_, n| *n > 0);
        self.record_rate_change(server, -self.rate(class, rung), 1.0);
        self.servers
            .get_mut(&server)
            .into_iter()
            .for_each(|s| s.own_streams = s.own_streams.saturating_sub(1));
    }

    fn is_cold(&self, server: &Server) -> bool {
        server.cold_since > 0 && self.now < server.cold_since.saturating_add(self.settings.cold_for)
    }

    /// This front's share of each cold budget: the assigned one, with the leased part until the lease ends,
    /// or else an equal share by the number of fronts.
    fn cold_budget_share(&self) -> f64 {
        let assigned = self.assigned_cold_share.map(|(guaranteed, leased, lease_ends_at)| {
            guaranteed + if self.now < lease_ends_at { leased } else { 0.0 }
        });
        assigned.unwrap_or(1.0 / f64::from(self.settings.fronts))
    }

    /// Draws a random number for each cold server that holds the requested title, at most once in a window.
    fn draw_cold_lots(&mut self, request: &SessionRequest) {
        let due = self.now.saturating_sub(self.settings.fall_window);
        let cold = |h: &&Server| {
            h.cold_lot.0 <= due && self.is_cold(h) && self.holds_title(&h.entry, request.base, request.spread)
        };
        let ids: Vec<ServerId> = self.servers.values().filter(cold).map(|h| h.entry.server).collect();
        for id in ids {
            let lot = (self.now, self.next_random());
            self.servers.get_mut(&id).into_iter().for_each(|h| h.cold_lot = lot);
        }
    }

    /// Whether the budget of a cold server allows a set-up now.
    ///
    /// The sum over all fronts must stay within the budget in every window. A front whose share is one set-up
    /// or more counts its own set-ups. With a smaller share a front may send one set-up if the random number
    /// that it drew for the window lies below its share, so that the expected sum over all fronts does not
    /// depend on how many requests arrive or how suddenly.
    fn cold_budget_allows(&self, server: &Server) -> bool {
        if !self.is_cold(server) {
            return true;
        }
        let window = self.settings.fall_window as f64;
        let start_rate = self.streams_of(server) / self.settings.cold_for as f64 * self.settings.cold_from;
        let budget = start_rate * self.settings.fall_multiple * window;
        let since = self.now.saturating_sub(self.settings.fall_window);
        let sent = server.cold_attempts.iter().filter(|&&t| t > since).count() as f64;
        let own_budget = budget * COLD_BUDGET_UTILISATION * self.cold_budget_share();
        if own_budget >= 1.0 {
            return sent < own_budget.floor();
        }
        // The standard deviation of the sum is the square root of its mean: this mean stays
        // COLD_LOT_DEVIATIONS deviations below the budget.
        let mean = ((budget + COLD_LOT_DEVIATIONS * COLD_LOT_DEVIATIONS / 4.0).sqrt()
            - COLD_LOT_DEVIATIONS / 2.0)
            .powi(2);
        sent < 1.0 && server.cold_lot.1 < mean * self.cold_budget_share()
    }

    /// Whether a server holds a title that is stored in `spread` consecutive cells from `base` on.
    fn holds_title(&self, e: &ServerEntry, base: u32, spread: u32) -> bool {
        (e.cell % self.settings.cells + self.settings.cells - base % self.settings.cells)
            % self.settings.cells
            < spread
    }

    /// Whether an attempt for this session may be sent to a server at all.
    fn is_eligible(&self, server: &Server, s: &Session) -> bool {
        let e = &server.entry;
        let scope = match (s.may_have_run, self.settings.classes[s.request.class.0].effect) {
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
            && self.holds_title(e, s.request.base, s.request.spread)
            && scope
            && !s.tried.contains(&e.server)
            && self.cold_budget_allows(server)
    }

    /// Whether the maximum number of attempts and the retry budget allow an attempt after `attempts` earlier
    /// ones.
    fn may_attempt(&mut self, attempts: u32) -> bool {
        let below_maximum = attempts < self.settings.max_attempts;
        let Some(b) = self.settings.retry_budget else { return below_maximum };
        let since = self.now.saturating_sub(b.window);
        self.accepted_requests.retain(|&t| t > since);
        self.retries.retain(|&t| t >= since);
        let room = b.spare + b.share * self.accepted_requests.len() as f64;
        attempts == 0 || (below_maximum && (self.retries.len() + 1) as f64 <= room)
    }

    /// Sends an attempt to the least loaded eligible server on which a rung fits, or rejects the request.
    fn place_session(&mut self, id: SessionId, out: &mut Vec<Action>) {
        let attempts = self.sessions.get(&id).map_or(0, |s| s.attempts);
        let allowed = self.may_attempt(attempts);
        let (jitter, prices) = (self.next_random(), self.current_prices());
        let Some(s) = self.sessions.get(&id) else { return };
        let class = &self.settings.classes[s.request.class.0];
        let seats_in_use =
            self.seats.get(&(s.request.title.clone(), s.request.class.0)).copied().unwrap_or(0);
        let seat_free = class.seats == 0 || seats_in_use < class.seats;
        let mut choice: Option<(ServerId, Rung)> = None;
        if allowed && seat_free && self.now < s.request.give_up_at {
            let mut candidates: Vec<(f64, ServerId)> = Vec::new();
            for (n, server) in self.servers.values().filter(|h| self.is_eligible(h, s)).enumerate() {
                let zone_penalty = if server.entry.zone == self.settings.zone {
                    0.0
                } else {
                    CROSS_ZONE_PENALTY_PER_PRICE * self.settings.cross_price
                };
                let handshake_penalty = match server.reachability {
                    Reachability::Open => 0.0,
                    Reachability::Closed => HANDSHAKE_PENALTY_PER_PRICE * self.settings.handshake_price,
                    Reachability::Lost => UNREACHABLE_PENALTY,
                };
                let tie_break = (jitter + n as f64 * 0.618).fract() * LOAD_TIE_RANGE;
                let failure_penalty = server.failure_penalty(self.now);
                let fleet_penalty = server.fleet_balance.3
                    + if server.fleet_balance.0 { OUTSIDE_SUBSET_PENALTY } else { 0.0 };
                candidates.push((
                    self.estimated_use(server)
                        + zone_penalty
                        + handshake_penalty
                        + failure_penalty
                        + tie_break
                        + fleet_penalty,
                    server.entry.server,
                ));
            }
            candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
            choice = candidates
                .iter()
                .find_map(|&(_, h)| Some((h, self.best_rung(&self.servers[&h], s, prices)?)));
        }
        match choice {
            Some((server, rung)) => self.send_attempt(id, server, rung, out),
            None => self.reject(id, out),
        }
    }

    /// The highest rung that fits the server's streams and link and whose worth covers the bid prices.
    fn best_rung(&self, server: &Server, s: &Session, prices: Prices) -> Option<Rung> {
        let usage = self.estimated_use(server);
        // The streams of other fronts are unknown. They are extrapolated from this front's sessions there if
        // those are numerous enough.
        let streams = f64::from(server.own_streams) / server.link.own_share(self.estimate_context());
        if server.own_streams >= MIN_SESSIONS_FOR_STREAM_ESTIMATE
            && self.streams_of(server) > 0.0
            && streams + 1.0 > self.streams_of(server)
        {
            return None;
        }
        let floor = self.settings.classes[s.request.class.0].floor;
        (floor..=self.highest_rung(&s.request)).rev().find(|&rung| {
            let rate = self.rate(s.request.class, rung);
            let worth = self.worth(s.request.class, rung);
            let fits = usage + SETUP_RATE_MARGIN * self.added_use(server, rate) <= self.max_use(rung);
            // From PRICING_MIN_USE on, the rung must cover the prices, and so must its increment over the
            // next lower rung: the fluid programme gives a class the rung of the largest surplus, not the
            // highest one with any surplus.
            let clears_marginal_price =
                rung == floor || self.marginal_worth(s.request.class, rung) >= prices.rate - 1e-12;
            fits && ((usage <= PRICING_MIN_USE && !s.request.returning)
                || (clears_marginal_price && worth >= prices.rate * rate + prices.stream))
        })
    }

    fn send_attempt(&mut self, id: SessionId, server: ServerId, rung: Rung, out: &mut Vec<Action>) {
        let now = self.now;
        let recent = self.settings.report_delay + 2 * self.settings.report_period;
        let last_report = self.servers.get(&server).and_then(|h| h.link.last_report);
        let Some(s) = self.sessions.get_mut(&id) else { return };
        s.sent_without_report = last_report.is_none_or(|h| h.1 + recent < now);
        self.retries.extend((s.attempts > 0 && self.settings.retry_budget.is_some()).then_some(now));
        let class = &self.settings.classes[s.request.class.0];
        let time_left = s.request.give_up_at.saturating_sub(now);
        let to_target = (s.accepted_at + class.setup_target).saturating_sub(now);
        let last = s.attempts + 1 >= self.settings.max_attempts || class.effect == Effect::AtMostOnce;
        let timeout = match (last, s.attempts) {
            (true, _) => time_left,
            (false, 0) => (to_target as f64 * FIRST_ATTEMPT_TIME_SHARE) as Nanos,
            (false, _) => to_target.max(time_left / 2),
        };
        s.attempts += 1;
        s.tried.push(server);
        (s.rung, s.server, s.sent_at) = (rung, Some(server), now);
        out.push(Action::SetRung { session: id, rung });
        out.push(Action::Send {
            session: id,
            server,
            timeout: timeout.clamp(MILLISECOND, time_left.max(MILLISECOND)),
        });
        self.record_attempt(id, server);
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.cold_attempts.push_back(now);
        s.cold_attempts.retain(|&t| t + self.settings.fall_window >= now);
    }

    /// Gives the final answer without a session: a refusal if repeating the request is certain to do no harm,
    /// else a failure.
    fn reject(&mut self, id: SessionId, out: &mut Vec<Action>) {
        let Some(s) = self.sessions.remove(&id) else { return };
        let safe_to_repeat = match self.settings.classes[s.request.class.0].effect {
            Effect::Idempotent => true,
            Effect::Deduplicated { scope, .. } => s.may_have_run.is_none() || scope == Scope::All,
            Effect::AtMostOnce => s.may_have_run.is_none(),
        };
        let retry_after = if self.settings.advises_retry {
            REFUSAL_RETRY_AFTER.min(self.settings.max_retry_after)
        } else {
            0
        };
        let refusal = Action::Refuse { session: id, retry_after };
        out.push(if safe_to_repeat { refusal } else { Action::Fail { session: id } });
    }

    fn handle_started(&mut self, id: SessionId) {
        let now = self.now;
        let Some(s) = self.sessions.get_mut(&id) else { return };
        (s.playing, s.answered, s.started_at) = (true, true, now);
        s.rung_changed_at = now.saturating_sub(MIN_RUNG_CHANGE_INTERVAL);
        let server = s.server.and_then(|h| self.servers.get_mut(&h));
        server.into_iter().for_each(|h| h.last_failure_at = 0);
    }

    fn handle_ended(
        &mut self, id: SessionId, at: ServerId, outcome: Outcome, finished: bool, out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(s) = self.sessions.get(&id) else { return };
        if s.server != Some(at) {
            return;
        }
        let sent_at = s.sent_at;
        self.release_attempt(id);
        let location = self.servers.get(&at).map_or((u32::MAX, u32::MAX), |h| (h.entry.zone, h.entry.cell));
        if let Some(h) = self.servers.get_mut(&at) {
            // A server that turns set-ups away reveals its use even if its reports are missing. The estimate
            // is too high if only its streams were exhausted for a moment.
            if outcome == Outcome::Full && self.settings.full_from > 0.0 {
                h.link.record_report(self.settings.full_from, now);
            }
            // A server that answers with errors or not at all carries no load and would look the best of all,
            // even more so with an open connection. An isolated error is penalised as well.
            if matches!(outcome, Outcome::Error | Outcome::TimedOut) && !finished {
                h.last_failure_at = now;
            }
            if outcome == Outcome::Reset {
                // A crashed process may return cold before the list shows it.
                h.cold_since = now;
            }
        }
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let never_ran = matches!(outcome, Outcome::Full | Outcome::NoConnection | Outcome::NotSent);
        if !never_ran && s.may_have_run.is_none() {
            s.may_have_run = Some((sent_at, location.0, location.1));
        }
        if finished || s.answered {
            self.sessions.remove(&id);
        } else {
            self.place_session(id, out);
        }
    }

    // ----- prices

    /// The classes of the fluid programme with the given weights, and its budgets of link rate and streams
    /// for each set-up, with `held` sessions over all fronts. By Little's law these are the set-ups within
    /// the duration of a session, which the design calls T.
    fn fluid_programme(&self, weights: &[f64], held: f64) -> (Vec<FluidClass>, f64, f64) {
        let classes = self.settings.classes.iter().enumerate().map(|(i, c)| FluidClass {
            weight: weights[i],
            rungs: (c.floor..=c.top).map(|r| (self.rate(ClassId(i), r), self.worth(ClassId(i), r))).collect(),
        });
        let ready = self.servers.values().filter(|s| s.entry.state == ServerState::Ready);
        let (links, streams) =
            ready.fold((0.0, 0.0), |a, s| (a.0 + s.link.capacity, a.1 + self.streams_of(s)));
        let uplinks = self.settings.uplink * f64::from(self.settings.racks);
        let links = if uplinks > 0.0 { links.min(uplinks) } else { links };
        (classes.collect(), links / held, streams / held)
    }

    /// The prices in force. The initial ones are solved for equal class weights and links that the middle
    /// rung fills.
    fn current_prices(&mut self) -> Prices {
        if let Some(p) = self.pricing.prices {
            return p;
        }
        let even = vec![1.0 / self.settings.classes.len() as f64; self.settings.classes.len()];
        let (classes, _, streams) = self.fluid_programme(&even, 1.0);
        let middle = self.settings.ladder.len() / 2;
        let rates = (0..even.len()).map(|c| self.rate(ClassId(c), middle) * even[c]);
        let p = solve(&classes, INITIAL_LINK_BUDGET_RATIO * rates.sum::<f64>(), streams.max(1.0));
        self.pricing.prices = Some(p);
        p
    }

    /// Adds a request to the sample and solves the prices again once the sample is complete. The new prices
    /// are kept only if they earn more on the sample; then they stay fixed. A sample of a single class (a
    /// wave of reconnects) does not represent the usual mix of classes and is discarded.
    fn add_pricing_sample(&mut self, request: &SessionRequest) {
        if self.pricing.frozen {
            return;
        }
        self.pricing.sample.push((request.class.0, self.highest_rung(request)));
        let n = self.pricing.sample.len();
        if n < REPRICING_SAMPLE_SIZE || self.pricing.prices.is_none() {
            return;
        }
        let mut weights = vec![0.0; self.settings.classes.len()];
        self.pricing.sample.iter().for_each(|x| weights[x.0] += 1.0 / n as f64);
        let one_type = weights.len() > 1 && weights.iter().any(|&w| w > 0.95);
        if one_type {
            return self.pricing.sample.clear();
        }
        // The sessions of all fronts: the mean load of links divided by the mean rate of this front's
        // sessions. Shares of single servers would mislead a front that has at most one session on most of
        // them.
        let sum = |a: (f64, f64, u32), h: &Server| {
            (a.0 + h.link.capacity, a.1 + h.link.own_rate, a.2 + h.own_streams)
        };
        let (size, own, sessions) = self.servers.values().fold((0.0, 0.0, 0), sum);
        let held = self.link_statistics.mean * size * f64::from(sessions) / own.max(1.0);
        let (classes, links, streams) = self.fluid_programme(&weights, held.max(1.0));
        let learned = solve(&classes, links, streams);
        let prior = self.current_prices();
        let earned_worth = |p: Prices| {
            let (mut link, mut room, mut worth) = (links * n as f64, streams * n as f64, 0.0);
            for &(class, top) in &self.pricing.sample {
                let rung = (self.settings.classes[class].floor..=top).rev().find(|&r| {
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
        if earned_worth(learned) > earned_worth(prior) {
            self.pricing.prices = Some(learned);
        }
        self.pricing.frozen = true;
        self.pricing.sample = Vec::new();
    }
}

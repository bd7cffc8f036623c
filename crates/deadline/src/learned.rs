//! Learns the answer latencies of members and decides by them how long to wait.

use crate::decide::{
    SlowdownProbabilities, best_wait_end_by_ref, bins_with_probabilities, estimate_slowdowns,
    most_likely_delay, recentre, slowdown_prior, split,
};
use crate::latency::{BINS, bin_of};
use crate::settings::MAX_KINDS;
use crate::{Deadline, Error, LatencyDistribution, Nanos, OpenQuery, Settings, Worth};
use std::collections::BTreeMap;

/// Maximum number of members remembered for each kind of query, 700 bytes each. Beyond it the one without an observation for
/// the longest time is evicted.
pub const MAX_MEMBERS: usize = 2048;
/// Maximum number of zones remembered for each kind of query, evicted like members.
pub const MAX_ZONES: usize = 64;
/// Weight of the initial latency, in answers of all members.
const GUESS_WEIGHT: f64 = 8.0;
/// Weight of the latency over all members in that of a zone, and of the zone's in that of a member, in answers.
const PARENT_WEIGHT: f64 = 16.0;
/// A latency is not learned if the asking node's own event loop was late by more than the latency divided by this.
const OWN_DELAY_DIVISOR: Nanos = 8;
/// Minimum probability that an answer is lost, whatever was learned. Without it, a member that is missing after the usual
/// latency of even the slowest would be waited for.
const LOSS_PROBABILITY: f64 = 0.003;
/// Weight of the prior of slowdowns, in queries.
const SLOWDOWN_PRIOR_WEIGHT: f64 = 2.0;
/// Share of queries from which a slowdown is taken into account when a time budget is split.
const MIN_COMMON_PROBABILITY: f64 = 0.05;
/// Maximum number of observations that have not been learned from yet: one of each member, and late ones.
const MAX_PENDING: usize = 2 * MAX_MEMBERS;

/// The parts of the algorithm. Tests and simulations switch one off to show which failure it prevents.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Feature {
    /// Answers that arrive after the wait are learned from.
    Late,
    /// Suspected and removed members are waited for by the probability that they are alive.
    Liveness,
    /// Each member has its own latency distribution.
    Members,
    /// Each zone has its own latency distribution.
    Zones,
    /// Latencies are not learned while the asking node's event loop was late.
    OwnDelay,
    /// Answers count by their weight.
    Weight,
    /// Old observations decay.
    Fade,
    /// The answers so far show whether the current query is slower than usual.
    Slowdown,
}

/// A histogram of latencies in which older observations have decayed.
#[derive(Debug, Clone)]
struct Histogram {
    bins: [f32; BINS + 1],
    sum: f64,
    updated_at: u64,
}

impl Histogram {
    fn new(at: u64) -> Self {
        Histogram { bins: [0.0; BINS + 1], sum: 0.0, updated_at: at }
    }

    fn fade(&mut self, now: u64, decay: f64) {
        let f = decay.powi(now.saturating_sub(self.updated_at).min(100_000) as i32);
        if f < 1.0 {
            self.bins.iter_mut().for_each(|b| *b *= f as f32);
            self.sum *= f;
        }
        self.updated_at = now;
    }

    /// This histogram combined with `count` answers distributed as `parent`, normalised to a mass of 1.
    fn blend(&self, parent: &[f64; BINS + 1], count: f64, now: u64, decay: f64) -> [f64; BINS + 1] {
        let f = decay.powi(now.saturating_sub(self.updated_at).min(100_000) as i32);
        let all = self.sum * f + count;
        let mut mass = *parent;
        mass.iter_mut().zip(self.bins).for_each(|(m, b)| *m = (*m * count + f64::from(b) * f) / all);
        mass
    }

    /// Increases all latencies by a number of bins.
    fn shift(&mut self, steps: isize) {
        let was = self.bins;
        self.bins[..BINS].fill(0.0);
        for (b, w) in was[..BINS].iter().enumerate() {
            self.bins[(b as isize + steps).clamp(0, BINS as isize - 1) as usize] += w;
        }
    }
}

/// One observation of a member: its latency, or that it did not answer.
#[derive(Debug, Clone)]
struct Observation {
    name: String,
    zone: String,
    latency: Nanos,
    /// The answer arrived before the wait ended, so the slowdown of its query applies to it.
    in_time: bool,
    /// The member did not answer within `latency`.
    missing: bool,
}

/// What was learned for one kind of query.
#[derive(Debug, Clone)]
struct KindState {
    /// Number of queries of this kind so far.
    asked: u64,
    /// When the last query was sent.
    last_asked_at: Option<Nanos>,
    /// Duration of the last wait.
    last_wait: Nanos,
    /// The estimated slowdown of the last query.
    last_slowdown: SlowdownProbabilities,
    /// The own event loop was late during the last query, so that its slowdown is unknown.
    own_loop_late: bool,
    /// The observed slowdowns of earlier queries, with decay.
    observed_slowdowns: SlowdownProbabilities,
    /// The latencies of the members of the last query, in their order. They stay valid until the next query, since nothing
    /// is learned before.
    latencies: Vec<(String, LatencyDistribution)>,
    /// Observations since the last query was sent. They are learned from when the next one is sent, with the slowdown of the
    /// last.
    pending: Vec<Observation>,
    guess: [f64; BINS + 1],
    all: Histogram,
    zones: BTreeMap<String, Histogram>,
    members: BTreeMap<String, Histogram>,
}

/// The histogram of a name, created if missing. If there are `max_entries` already, the least recently updated is evicted.
fn entry<'a>(
    histograms: &'a mut BTreeMap<String, Histogram>, name: &str, max_entries: usize, now: u64,
) -> &'a mut Histogram {
    if !histograms.contains_key(name) && histograms.len() >= max_entries {
        let oldest = histograms.iter().min_by_key(|s| s.1.updated_at).map(|s| s.0.clone());
        oldest.map(|o| histograms.remove(&o));
    }
    histograms.entry(name.to_owned()).or_insert_with(|| Histogram::new(now))
}

impl KindState {
    /// The state before any observation: a wide distribution around the initial latency, with one answer in a hundred
    /// missing.
    fn new(worth: &Worth) -> Self {
        let mut guess = [0.0; BINS + 1];
        let middle = bin_of(worth.initial_latency) as f64;
        for (b, g) in guess[..BINS].iter_mut().enumerate() {
            *g = (-((b as f64 - middle) / 8.0).powi(2) / 2.0).exp();
        }
        let sum: f64 = guess.iter().sum();
        guess.iter_mut().for_each(|g| *g *= 0.99 / sum);
        guess[BINS] = 0.01;
        KindState {
            asked: 0,
            last_asked_at: None,
            last_wait: 0,
            last_slowdown: slowdown_prior(),
            own_loop_late: false,
            observed_slowdowns: [0.0; _],
            latencies: Vec::new(),
            pending: Vec::new(),
            guess,
            all: Histogram::new(0),
            zones: BTreeMap::new(),
            members: BTreeMap::new(),
        }
    }

    /// The probabilities of slowdowns of a query before its first answer.
    fn slowdowns(&self) -> SlowdownProbabilities {
        let all = self.observed_slowdowns.iter().sum::<f64>() + SLOWDOWN_PRIOR_WEIGHT;
        let mut chances = slowdown_prior();
        chances
            .iter_mut()
            .zip(self.observed_slowdowns)
            .for_each(|(c, r)| *c = (*c * SLOWDOWN_PRIOR_WEIGHT + r) / all);
        chances
    }

    /// The latency of any member, averaged over slowdowns.
    fn latency(&self, decay: f64) -> LatencyDistribution {
        self.unscaled_latency(decay).mixture(&bins_with_probabilities(&self.slowdowns()))
    }

    /// The latency of any member in a query without slowdown.
    fn unscaled_latency(&self, decay: f64) -> LatencyDistribution {
        LatencyDistribution::from_mass(&self.all.blend(&self.guess, GUESS_WEIGHT, self.asked, decay))
    }

    /// Learns from the pending observations, corrected by the slowdown of the last query.
    fn learn_pending(&mut self, decay: f64, order: bool) {
        let slowdown_known = order && !self.own_loop_late && self.last_asked_at.is_some();
        if self.own_loop_late && self.pending.is_empty() {
            // A query without observations does not age what was learned, or a node that is late for long would forget it.
            self.asked = self.asked.saturating_sub(1);
        }
        self.latencies.clear();
        let (steps, now) =
            (if slowdown_known { most_likely_delay(&self.last_slowdown) } else { 0 }, self.asked);
        for h in std::mem::take(&mut self.pending) {
            let mut one = [0.0; BINS + 1];
            let at = bin_of(h.latency);
            if h.missing {
                // It will answer later than that or never, with the probabilities observed of all members.
                let mut mass = self.all.blend(&self.guess, GUESS_WEIGHT, now, decay);
                mass[..at].fill(0.0);
                let sum = mass.iter().sum::<f64>().max(f64::MIN_POSITIVE);
                one.iter_mut().zip(mass).for_each(|(o, m)| *o = (m / sum) as f32);
            } else if at == BINS || !h.in_time {
                one[at] = 1.0;
            } else {
                one[(at as isize - steps).clamp(0, BINS as isize - 1) as usize] = 1.0;
            }
            let member = entry(&mut self.members, &h.name, MAX_MEMBERS, now);
            let zone = entry(&mut self.zones, &h.zone, MAX_ZONES, now);
            for seen in [&mut self.all, zone, member] {
                seen.fade(now, decay);
                seen.bins.iter_mut().zip(one).for_each(|(b, o)| *b += o);
                seen.sum += 1.0;
            }
        }
        if slowdown_known {
            self.observed_slowdowns.iter_mut().zip(self.last_slowdown).for_each(|(r, s)| *r = *r * decay + s);
            let moved = recentre(&mut self.observed_slowdowns);
            if moved != 0 {
                let all = std::iter::once(&mut self.all).chain(self.zones.values_mut());
                all.chain(self.members.values_mut()).for_each(|seen| seen.shift(moved));
            }
        }
    }
}

/// A deadline learned from the latencies of earlier answers, for each kind of query separately.
///
/// Memory is bounded by [`crate::settings::MAX_KINDS`] kinds (further ones use the initial latency) with [`MAX_MEMBERS`]
/// members and [`MAX_ZONES`] zones each, at most 1.5 MB for each kind.
///
/// ```
/// use micadyke_deadline::{AskedMember, Deadline, LearnedDeadline, OpenQuery, Settings};
/// let ms = 1_000_000;
/// let mut learned = LearnedDeadline::new(Settings::default())?;
/// let member = |name: &str| {
///     AskedMember { name: name.into(), zone: "z".into(), weight: 1.0, liveness: 1.0, answered_at: None }
/// };
/// let members = vec![member("n1"), member("n2")];
/// let mut open = OpenQuery { kind: 0, asked_at: 0, deadline: 900 * ms, members };
/// for n in 0..100 {
///     open.asked_at = n * 1_000 * ms;
///     open.deadline = open.asked_at + 900 * ms;
///     learned.wait_until(open.asked_at, &open);
///     learned.record_answer(0, "n1", "z", 5 * ms, 0);
///     learned.record_answer(0, "n2", "z", 30 * ms, 0);
/// }
/// let wait = learned.wait_until(open.asked_at, &open) - open.asked_at;
/// assert!((30 * ms..150 * ms).contains(&wait), "{wait}");
/// # Ok::<(), micadyke_deadline::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct LearnedDeadline {
    settings: Settings,
    /// The factor by which one query decays earlier observations.
    decay: f64,
    kinds: BTreeMap<u8, KindState>,
    without: Option<Feature>,
}

impl LearnedDeadline {
    /// A deadline without observations.
    ///
    /// # Errors
    ///
    /// The first invalid setting.
    ///
    /// ```
    /// use micadyke_deadline::{Error, LearnedDeadline, Settings};
    /// let settings = Settings { memory: 1, ..Settings::default() };
    /// assert_eq!(LearnedDeadline::new(settings).err(), Some(Error::Memory(1)));
    /// ```
    pub fn new(settings: Settings) -> Result<Self, Error> {
        settings.check()?;
        let decay = 1.0 - 1.0 / f64::from(settings.memory);
        Ok(LearnedDeadline { settings, decay, kinds: BTreeMap::new(), without: None })
    }

    /// Switches one part of the algorithm off.
    #[doc(hidden)]
    pub fn without(mut self, feature: Option<Feature>) -> Self {
        self.without = feature;
        if !self.has(Feature::Fade) {
            self.decay = 1.0;
        }
        self
    }

    fn has(&self, feature: Feature) -> bool {
        self.without != Some(feature)
    }

    /// The state of a kind, created if missing; `None` if there are too many kinds.
    fn kind_mut(&mut self, kind: u8) -> Option<&mut KindState> {
        if !self.kinds.contains_key(&kind) && self.kinds.len() >= MAX_KINDS {
            return None;
        }
        let worth = self.settings.worth(kind);
        Some(self.kinds.entry(kind).or_insert_with(|| KindState::new(worth)))
    }

    /// The latency of any member for a kind of query, including the weight of the initial latency.
    ///
    /// ```
    /// use micadyke_deadline::{LearnedDeadline, Settings};
    /// let learned = LearnedDeadline::new(Settings::default())?;
    /// // Without observations it is centred on the initial latency.
    /// assert!((learned.latency(0).probability_by(20_000_000) - 0.5).abs() < 0.1);
    /// # Ok::<(), micadyke_deadline::Error>(())
    /// ```
    pub fn latency(&self, kind: u8) -> LatencyDistribution {
        match self.kinds.get(&kind) {
            Some(k) => k.latency(self.decay),
            None => KindState::new(self.settings.worth(kind)).latency(self.decay),
        }
    }

    /// Numbers of remembered kinds, members and zones, the latter two over all kinds.
    ///
    /// ```
    /// use micadyke_deadline::{LearnedDeadline, Settings};
    /// assert_eq!(LearnedDeadline::new(Settings::default())?.sizes(), (0, 0, 0));
    /// # Ok::<(), micadyke_deadline::Error>(())
    /// ```
    pub fn sizes(&self) -> (usize, usize, usize) {
        let sum = |of: fn(&KindState) -> usize| self.kinds.values().map(of).sum();
        (self.kinds.len(), sum(|k| k.members.len()), sum(|k| k.zones.len()))
    }

    /// Splits a time budget over two levels by the learned latencies: see [`split`]. `below` is the kind of query that
    /// members answer, `network` the kind under which the round-trip times to aggregators were recorded. The worth is that
    /// of `below`.
    ///
    /// The time of an aggregator is an upper limit, as it also ends its wait by its own observations. If some queries are
    /// slower, it is the limit for the largest slowdown that is not rare.
    ///
    /// ```
    /// use micadyke_deadline::{LearnedDeadline, Settings};
    /// let (lower, whole) = LearnedDeadline::new(Settings::default())?.split(0, 1, 300_000_000);
    /// assert!(lower < whole && whole <= 300_000_000);
    /// # Ok::<(), micadyke_deadline::Error>(())
    /// ```
    pub fn split(&self, below: u8, network: u8, budget: Nanos) -> (Nanos, Nanos) {
        let worth = self.settings.worth(below);
        let network = self.latency(network);
        let fresh;
        let kind = match self.kinds.get(&below) {
            Some(kind) => kind,
            None => {
                fresh = KindState::new(worth);
                &fresh
            }
        };
        let latency = kind.unscaled_latency(self.decay);
        let scales = bins_with_probabilities(&kind.slowdowns());
        let common = scales.iter().filter(|s| s.0 == 0 || s.1 >= MIN_COMMON_PROBABILITY);
        let ends = common.map(|s| split(worth, &latency.mixture(&[(s.0, 1.0)]), &network, budget));
        ends.max().unwrap_or((0, budget))
    }

    /// Computes the latencies of the queried members, as far as that was not done for this query before.
    fn update_latencies(&mut self, open: &OpenQuery) {
        let (decay, by_zone, by_member) = (self.decay, self.has(Feature::Zones), self.has(Feature::Members));
        let Some(kind) = self.kind_mut(open.kind) else { return };
        let same = kind.latencies.iter().zip(&open.members).take_while(|(l, w)| l.0 == w.name).count();
        kind.latencies.truncate(same);
        if same == open.members.len() {
            return;
        }
        let all = kind.all.blend(&kind.guess, GUESS_WEIGHT, kind.asked, decay);
        let mut zones: BTreeMap<&str, [f64; BINS + 1]> = BTreeMap::new();
        for w in &open.members[same..] {
            let zone = zones.entry(&w.zone).or_insert_with(|| match kind.zones.get(&w.zone) {
                Some(z) if by_zone => z.blend(&all, PARENT_WEIGHT, kind.asked, decay),
                _ => all,
            });
            let mut mass = match kind.members.get(&w.name) {
                Some(m) if by_member => m.blend(zone, PARENT_WEIGHT, kind.asked, decay),
                _ => *zone,
            };
            mass.iter_mut().for_each(|m| *m *= 1.0 - LOSS_PROBABILITY);
            mass[BINS] += LOSS_PROBABILITY;
            kind.latencies.push((w.name.clone(), LatencyDistribution::from_mass(&mass)));
        }
    }

    fn observe(&mut self, kind: u8, observation: Observation) {
        let (decay, order) = (self.decay, self.has(Feature::Slowdown));
        let Some(kind) = self.kind_mut(kind) else { return };
        if kind.pending.len() >= MAX_PENDING {
            kind.learn_pending(decay, order);
        }
        kind.pending.push(observation);
    }
}

impl Deadline for LearnedDeadline {
    fn wait_until(&mut self, now: Nanos, open: &OpenQuery) -> Nanos {
        let (decay, order) = (self.decay, self.has(Feature::Slowdown));
        if let Some(kind) = self.kind_mut(open.kind)
            && kind.last_asked_at < Some(open.asked_at)
        {
            kind.learn_pending(decay, order);
            (kind.last_asked_at, kind.last_slowdown, kind.own_loop_late) =
                (Some(open.asked_at), kind.slowdowns(), false);
            kind.asked += 1;
            kind.latencies.clear();
        }
        let mut changed;
        let mut open = open;
        if !self.has(Feature::Liveness) || !self.has(Feature::Weight) {
            changed = open.clone();
            for w in &mut changed.members {
                w.liveness = if self.has(Feature::Liveness) { w.liveness } else { 1.0 };
                w.weight = if self.has(Feature::Weight) { w.weight } else { 1.0 };
            }
            open = &changed;
        }
        self.update_latencies(open);
        let worth = self.settings.worth(open.kind);
        let Some(kind) = self.kinds.get_mut(&open.kind) else {
            // There are too many kinds: use the initial latency.
            let latency = KindState::new(worth).latency(decay);
            return best_wait_end_by_ref(worth, now, open, &vec![&latency; open.members.len()]);
        };
        let mut latencies: Vec<&LatencyDistribution> = kind.latencies.iter().map(|l| &l.1).collect();
        let mut mixed: Vec<(usize, LatencyDistribution)> = Vec::new();
        if order {
            let (zones, scale) = estimate_slowdowns(now, open, &latencies, &kind.slowdowns());
            kind.last_slowdown = scale;
            for (i, w) in open.members.iter().enumerate().filter(|(_, w)| w.answered_at.is_none()) {
                if let Some(of) = zones.get(&w.zone)
                    && of.iter().any(|s| s.0 != 0)
                {
                    mixed.push((i, latencies[i].mixture(of)));
                }
            }
        }
        mixed.iter().for_each(|(i, latency)| latencies[*i] = latency);
        let until = best_wait_end_by_ref(worth, now, open, &latencies);
        kind.last_wait = until.saturating_sub(open.asked_at);
        until
    }

    fn record_answer(&mut self, kind: u8, name: &str, zone: &str, took: Nanos, own_delay: Nanos) {
        let own_loop_late = self.has(Feature::OwnDelay) && own_delay.saturating_mul(OWN_DELAY_DIVISOR) > took;
        let in_time = self.kinds.get(&kind).is_none_or(|k| took <= k.last_wait);
        if own_loop_late {
            self.kind_mut(kind).into_iter().for_each(|k| k.own_loop_late = true);
        } else if in_time || self.has(Feature::Late) {
            let (name, zone) = (name.to_owned(), zone.to_owned());
            self.observe(kind, Observation { name, zone, latency: took, in_time, missing: false });
        }
    }

    fn record_missing(&mut self, kind: u8, name: &str, zone: &str, after: Nanos) {
        let (name, zone) = (name.to_owned(), zone.to_owned());
        self.observe(kind, Observation { name, zone, latency: after, in_time: false, missing: true });
    }
}

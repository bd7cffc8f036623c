//! Computes when a wait should end, given the latency distribution of each member.

use crate::latency::{BINS, BINS_PER_SCALE, bin_end, bin_of};
use crate::{AskedMember, LatencyDistribution, Nanos, OpenQuery, WaitEnd, Worth};
use std::collections::BTreeMap;

/// Factors by which a query may be slower than usual, in half octaves: from 1/2 to 8.
const SLOWDOWNS: [isize; 9] = [-2, -1, 0, 1, 2, 3, 4, 5, 6];
/// Index of the factor 1 in [`SLOWDOWNS`].
const NORMAL_INDEX: usize = 2;
/// Share of queries without slowdown from which the usual speed is kept as it is.
const MIN_NORMAL_SHARE: f64 = 0.3;
/// Prior probability that a query runs at the usual speed. The rest halves with each step away from it.
const NORMAL_PROBABILITY: f64 = 0.8;
/// Sum of the weights 1/2, 1/4, ... over all other factors.
const OTHER_WEIGHTS: f64 = 1.734_375;
/// Prior probability that all zones have the same slowdown in a query.
const SHARED_PRIOR: f64 = 0.5;
/// Lower limit of a member's likelihood, so that a single outlier cannot rule a slowdown out.
const MIN_LIKELIHOOD: f64 = 1e-3;
/// Slowdowns of a lower probability are ignored.
const MIN_SLOWDOWN_PROBABILITY: f64 = 0.01;

impl AskedMember {
    /// Whether it is part of a complete answer: the view has not removed it.
    fn counts_in_whole(&self) -> bool {
        self.liveness > 0.0 && self.weight > 0.0
    }
}

impl OpenQuery {
    /// The weight of the answers that have arrived, as a share of the weight of all members that the view has not removed; 1
    /// if there are none.
    ///
    /// ```
    /// use micadyke_deadline::{AskedMember, OpenQuery};
    /// let member = |weight, liveness, answered_at| {
    ///     AskedMember { name: "n".into(), zone: "z".into(), weight, liveness, answered_at }
    /// };
    /// let members = vec![member(1.0, 1.0, Some(3)), member(3.0, 1.0, None), member(5.0, 0.0, None)];
    /// let open = OpenQuery { kind: 0, asked_at: 0, deadline: 9, members };
    /// assert_eq!(open.completeness(), 0.25);
    /// ```
    pub fn completeness(&self) -> f64 {
        let all: f64 = self.members.iter().filter(|w| w.counts_in_whole()).map(|w| w.weight).sum();
        let arrived = self
            .members
            .iter()
            .filter(|w| w.counts_in_whole() && w.answered_at.is_some())
            .map(|w| w.weight)
            .sum::<f64>();
        if all > 0.0 { arrived / all } else { 1.0 }
    }

    /// Why a wait that ends at `now` has ended. A part that is known not to come ([`crate::KNOWN_MISSING`]) counts as
    /// missing: a partial answer is never complete.
    ///
    /// ```
    /// use micadyke_deadline::{AskedMember, KNOWN_MISSING, OpenQuery, WaitEnd};
    /// let member = |liveness, answered_at| {
    ///     AskedMember { name: "n".into(), zone: "z".into(), weight: 1.0, liveness, answered_at }
    /// };
    /// let members = vec![member(1.0, Some(3)), member(0.0, None)];
    /// let mut open = OpenQuery { kind: 0, asked_at: 0, deadline: 9, members };
    /// assert_eq!(open.end_reason(3), WaitEnd::Complete);
    /// open.members.push(member(KNOWN_MISSING, None));
    /// assert_eq!((open.end_reason(3), open.end_reason(9)), (WaitEnd::NotWorthwhile, WaitEnd::TimedOut));
    /// ```
    pub fn end_reason(&self, now: Nanos) -> WaitEnd {
        if self.members.iter().all(|w| w.answered_at.is_some() || w.liveness <= 0.0) {
            WaitEnd::Complete
        } else if now >= self.deadline {
            WaitEnd::TimedOut
        } else {
            WaitEnd::NotWorthwhile
        }
    }

    /// Whether no member that may still answer is missing.
    ///
    /// ```
    /// use micadyke_deadline::{AskedMember, OpenQuery};
    /// let member = |liveness, answered_at| {
    ///     AskedMember { name: "n".into(), zone: "z".into(), weight: 1.0, liveness, answered_at }
    /// };
    /// let members = vec![member(1.0, Some(3)), member(0.0, None)];
    /// let mut open = OpenQuery { kind: 0, asked_at: 0, deadline: 9, members };
    /// assert!(open.is_waiting_for_nobody());
    /// open.members.push(member(0.5, None));
    /// assert!(!open.is_waiting_for_nobody());
    /// ```
    pub fn is_waiting_for_nobody(&self) -> bool {
        self.members.iter().all(|w| w.answered_at.is_some() || w.liveness <= crate::KNOWN_MISSING)
    }
}

/// The probabilities of the factors in [`SLOWDOWNS`].
pub(crate) type SlowdownProbabilities = [f64; SLOWDOWNS.len()];

/// The probabilities of slowdowns before any query was observed.
pub(crate) fn slowdown_prior() -> SlowdownProbabilities {
    SLOWDOWNS.map(|k| match k {
        0 => NORMAL_PROBABILITY,
        k => (1.0 - NORMAL_PROBABILITY) * 0.5f64.powi(k.unsigned_abs() as i32) / OTHER_WEIGHTS,
    })
}

/// Estimates from the answers so far whether this query runs slower than usual. Returns, for each zone, the delays in bins
/// and their probabilities, and the probabilities of a slowdown that all zones share.
///
/// Either all zones share a slowdown (the network of the asking node, an expensive query) or each has its own (a slow zone);
/// the two hypotheses are weighted by their evidence. `latencies` belong to `open.members`; `common` are the probabilities
/// of a shared slowdown from earlier queries.
pub(crate) fn estimate_slowdowns(
    now: Nanos, open: &OpenQuery, latencies: &[&LatencyDistribution], common: &SlowdownProbabilities,
) -> (BTreeMap<String, Vec<(isize, f64)>>, SlowdownProbabilities) {
    let elapsed_bin = bin_of(now.saturating_sub(open.asked_at));
    let mut zones: Vec<(&str, SlowdownProbabilities)> = Vec::new();
    for (w, latency) in open.members.iter().zip(latencies).filter(|(w, _)| w.liveness > crate::KNOWN_MISSING)
    {
        let zone = zones.iter().position(|z| z.0 == w.zone).unwrap_or_else(|| {
            zones.push((&w.zone, [0.0; SLOWDOWNS.len()]));
            zones.len() - 1
        });
        for (sum, k) in zones[zone].1.iter_mut().zip(SLOWDOWNS) {
            let later = bins_of(k);
            *sum += match w.answered_at {
                Some(at) => latency
                    .within_scale(bin_of(at.saturating_sub(open.asked_at)), later)
                    .max(MIN_LIKELIHOOD)
                    .ln(),
                None => (1.0 - w.liveness * latency.at_bin(elapsed_bin, later + 1)).max(MIN_LIKELIHOOD).ln(),
            };
        }
    }
    // The posterior probabilities for given log-likelihoods, and the logarithm of the evidence.
    let posterior = |logs: SlowdownProbabilities, prior: &SlowdownProbabilities| {
        let most = logs.iter().copied().fold(f64::MIN, f64::max);
        let mut each = logs.map(|l| (l - most).exp());
        each.iter_mut().zip(prior).for_each(|(e, p)| *e *= p);
        let sum: f64 = each.iter().sum();
        (each.map(|e| e / sum), most + sum.ln())
    };
    let mut all = [0.0; SLOWDOWNS.len()];
    zones.iter().for_each(|z| all.iter_mut().zip(z.1).for_each(|(a, l)| *a += l));
    let (common, evidence) = posterior(all, common);
    let prior = slowdown_prior();
    let own: Vec<_> = zones.iter().map(|z| posterior(z.1, &prior)).collect();
    let apart: f64 = own.iter().map(|o| o.1).sum();
    let shared = match zones.len() {
        0 | 1 => 1.0,
        _ => SHARED_PRIOR / (SHARED_PRIOR + (1.0 - SHARED_PRIOR) * (apart - evidence).exp()),
    };
    let named = zones.iter().zip(own).map(|(z, (own, _))| {
        let mixed = own.iter().zip(&common).map(|(o, c)| shared * c + (1.0 - shared) * o);
        let kept: Vec<_> =
            SLOWDOWNS.into_iter().zip(mixed).filter(|s| s.1 >= MIN_SLOWDOWN_PROBABILITY).collect();
        let sum: f64 = kept.iter().map(|k| k.1).sum();
        (z.0.to_owned(), kept.into_iter().map(|(k, p)| (bins_of(k), p / sum)).collect())
    });
    // As far as zones differ, nothing is learned about a shared slowdown.
    let mut shared_slowdowns = common.map(|c| c * shared);
    shared_slowdowns[NORMAL_INDEX] += 1.0 - shared;
    (named.collect(), shared_slowdowns)
}

/// The number of bins by which a slowdown delays answers.
fn bins_of(scale: isize) -> isize {
    scale * BINS_PER_SCALE as isize
}

/// The delays in bins of all slowdowns, with their probabilities.
pub(crate) fn bins_with_probabilities(scales: &SlowdownProbabilities) -> Vec<(isize, f64)> {
    SLOWDOWNS.into_iter().map(bins_of).zip(*scales).collect()
}

/// The delay in bins of the most likely slowdown.
pub(crate) fn most_likely_delay(scales: &SlowdownProbabilities) -> isize {
    let most = (0..scales.len()).max_by(|a, b| scales[*a].total_cmp(&scales[*b]));
    most.map_or(0, |i| bins_of(SLOWDOWNS[i]))
}

/// If the observed slowdowns are centred on another factor than 1, makes that factor the usual speed. Returns the number of
/// bins by which latency histograms have to be shifted.
pub(crate) fn recentre(seen: &mut SlowdownProbabilities) -> isize {
    let all: f64 = seen.iter().sum();
    let mean =
        seen.iter().zip(SLOWDOWNS).map(|(s, k)| s * k as f64).sum::<f64>() / all.max(f64::MIN_POSITIVE);
    let by = mean.round() as isize;
    if by == 0 || seen[NORMAL_INDEX] > all * MIN_NORMAL_SHARE {
        return 0;
    }
    let mut moved = [0.0; SLOWDOWNS.len()];
    for (i, s) in seen.iter().enumerate() {
        let to = (i as isize - by).clamp(0, SLOWDOWNS.len() as isize - 1);
        moved[to as usize] += s;
    }
    *seen = moved;
    bins_of(by)
}

/// A missing answer: its share of the whole, the probability that the member is alive although it has not answered, its
/// latency, and the probability by which it should have answered so far.
struct Missing<'a> {
    weight: f64,
    liveness: f64,
    latency: &'a LatencyDistribution,
    probability_so_far: f64,
}

/// The time at which the wait should end if nothing more arrives. `latencies` belong to `open.members`.
///
/// The end of each bin up to the deadline is evaluated: the expected worth of what will have arrived by then, less the price
/// of the time, which is not paid after all answers have arrived. [`crate::LearnedDeadline`] calls this with learned
/// latencies; with the true ones it is the oracle that learned deadlines are compared with.
///
/// ```
/// use micadyke_deadline::{AskedMember, LatencyDistribution, OpenQuery, Worth, best_wait_end};
/// let ms = 1_000_000;
/// let member = |answered_at| {
///     AskedMember { name: "n".into(), zone: "z".into(), weight: 1.0, liveness: 1.0, answered_at }
/// };
/// let members = vec![member(Some(9 * ms)), member(None)];
/// let open = OpenQuery { kind: 0, asked_at: 0, deadline: 900 * ms, members };
/// let soon = LatencyDistribution::from_fn(|t| if t > 20 * ms { 1.0 } else { 0.0 });
/// let late = LatencyDistribution::from_fn(|t| if t > 2_000 * ms { 1.0 } else { 0.0 });
/// assert!(best_wait_end(&Worth::default(), 9 * ms, &open, &[soon.clone(), soon.clone()]) >= 20 * ms);
/// assert_eq!(best_wait_end(&Worth::default(), 9 * ms, &open, &[soon, late]), 9 * ms);
/// ```
pub fn best_wait_end(
    worth: &Worth, now: Nanos, open: &OpenQuery, latencies: &[LatencyDistribution],
) -> Nanos {
    best_wait_end_by_ref(worth, now, open, &latencies.iter().collect::<Vec<_>>())
}

/// See [`best_wait_end`].
pub(crate) fn best_wait_end_by_ref(
    worth: &Worth, now: Nanos, open: &OpenQuery, latencies: &[&LatencyDistribution],
) -> Nanos {
    let now = now.max(open.asked_at);
    let limit = open.deadline.min(open.asked_at.saturating_add(worth.max_wait));
    if now >= limit {
        return limit;
    }
    let whole: f64 = open.members.iter().filter(|w| w.counts_in_whole()).map(|w| w.weight).sum();
    let elapsed = now - open.asked_at;
    let mut missing: Vec<Missing> = Vec::new();
    for (w, latency) in open.members.iter().zip(latencies) {
        if w.answered_at.is_none() && w.counts_in_whole() && w.liveness > crate::KNOWN_MISSING {
            let probability_so_far = latency.probability_by(elapsed);
            // A member that could have answered already is less likely to be alive.
            let alive = w.liveness * (1.0 - probability_so_far);
            let liveness = if alive > 0.0 { alive / (alive + 1.0 - w.liveness) } else { 0.0 };
            missing.push(Missing { weight: w.weight / whole, liveness, latency, probability_so_far });
        }
    }
    let completeness = open.completeness();
    if missing.is_empty() || whole <= 0.0 {
        return now;
    }
    let max_completeness = (completeness + missing.iter().map(|m| m.weight).sum::<f64>()).min(1.0);
    let min_weight = missing.iter().map(|m| m.weight).fold(f64::MAX, f64::min);
    let current_value = worth.value(completeness);
    let price = worth.price / crate::MS as f64;
    let (mut best, mut until, mut cost, mut from, mut incomplete_probability) = (0.0, now, 0.0, now, 1.0);
    for b in bin_of(elapsed)..=BINS {
        let end = if b < BINS { open.asked_at.saturating_add(bin_end(b)).min(limit) } else { limit };
        if end <= from {
            continue;
        }
        let (mut mean, mut variance, mut all) = (completeness, 0.0, 1.0);
        for m in &missing {
            let by = if end < limit {
                m.latency.at_bin(b, 0)
            } else {
                m.latency.probability_by(end - open.asked_at)
            };
            let p = m.liveness
                * ((by - m.probability_so_far) / (1.0 - m.probability_so_far).max(1e-9)).clamp(0.0, 1.0);
            mean += m.weight * p;
            variance += m.weight * m.weight * p * (1.0 - p);
            all *= p;
        }
        // The time is paid for as long as answers are missing.
        cost += price * (end - from) as f64 * (incomplete_probability + 1.0 - all) / 2.0;
        (from, incomplete_probability) = (end, 1.0 - all);
        let value = all * worth.value(max_completeness)
            + (1.0 - all)
                * incomplete_value(worth, completeness, max_completeness, min_weight, mean, variance, all)
            - current_value
            - cost;
        if value > best {
            (best, until) = (value, end);
        }
        // The missing answers can't be worth a longer wait.
        if end >= limit || worth.value(max_completeness) - current_value <= cost {
            break;
        }
    }
    until
}

/// The expected worth if not all answers arrive, by a three-point approximation of a normal distribution with the remaining
/// mean and variance.
fn incomplete_value(
    worth: &Worth, completeness: f64, max_completeness: f64, min_weight: f64, mean: f64, variance: f64,
    all: f64,
) -> f64 {
    if all >= 1.0 - 1e-9 {
        return 0.0;
    }
    let rest = (mean - all * max_completeness) / (1.0 - all);
    let square =
        (variance + mean * mean - all * max_completeness * max_completeness) / (1.0 - all) - rest * rest;
    let off = (3.0 * square.max(0.0)).sqrt();
    let at = |c: f64| worth.value(c.clamp(completeness, (max_completeness - min_weight).max(completeness)));
    (at(rest - off) + 4.0 * at(rest) + at(rest + off)) / 6.0
}

/// Splits a time budget if members are queried through aggregating nodes. Returns the time from its own query after which an
/// aggregator returns what it has, and the time after which the asking node ends the query; both within `budget`, in
/// nanoseconds.
///
/// `below` is the latency of a member as seen by its aggregator, `network` the round-trip time to an aggregator, so that no
/// clocks are compared. All pairs of bins are evaluated by what arrives at the asking node.
///
/// ```
/// use micadyke_deadline::{LatencyDistribution, Worth, split};
/// let ms = 1_000_000;
/// let below = LatencyDistribution::from_fn(|t| 1.0 - (-(t as f64) / 20e6).exp());
/// let network = LatencyDistribution::from_fn(|t| if t > 30 * ms { 1.0 } else { 0.0 });
/// let (lower, whole) = split(&Worth::default(), &below, &network, 100 * ms);
/// assert!(lower <= 71 * ms && whole <= 100 * ms && whole - lower >= 28 * ms);
/// ```
pub fn split(
    worth: &Worth, below: &LatencyDistribution, network: &LatencyDistribution, budget: Nanos,
) -> (Nanos, Nanos) {
    let mut best = (f64::MIN, 0, budget);
    let ends = || (0..BINS).map(bin_end).take_while(|e| *e < budget).chain([budget]);
    for whole in ends() {
        for lower in ends().take_while(|l| *l < whole) {
            let value =
                worth.value_after(below.probability_by(lower) * network.probability_by(whole - lower), whole);
            if value > best.0 {
                best = (value, lower, whole);
            }
        }
    }
    (best.1, best.2)
}

//! Whether what is missing is worth the wait, where it is known when each answers.

use crate::law::{BINS, HALF, bin, edge};
use crate::{Ended, Law, Nanos, Open, Waited, Worth};
use std::collections::BTreeMap;

/// Scales a question may run at beside what is usual, in half octaves: half to eightfold.
const SCALES: [isize; 9] = [-2, -1, 0, 1, 2, 3, 4, 5, 6];
/// Where the usual one stands among them.
const OF_USUAL: usize = 2;
/// The usual scale stays while so many questions run at it.
const STILL_USUAL: f64 = 0.3;
/// The chance that a question runs as usual; what is left falls by half with each step away from it.
const USUAL: f64 = 0.8;
/// The sum of those halves over all scales but the usual one.
const STEPS_AWAY: f64 = 1.734_375;
/// The chance that all zones share one scale in a question, before anything is heard.
const SHARED: f64 = 0.5;
/// One odd member counts at most so much against a scale.
const ODD: f64 = 1e-3;
/// A scale less likely than this is left out.
const LEFT_OUT: f64 = 0.01;

impl Waited {
    /// Part of a whole answer: the view has not given it up.
    fn counts(&self) -> bool {
        self.lives > 0.0 && self.weight > 0.0
    }
}

impl Open {
    /// What has arrived, as a share of the weight of all that the view has not given up; 1 where nobody is left.
    ///
    /// ```
    /// use micadyke_deadline::{Open, Waited};
    /// let w = |weight, lives, arrived| Waited { name: "n".into(), zone: "z".into(), weight, lives, arrived };
    /// let open = Open { kind: 0, asked_at: 0, limit: 9, waited: vec![w(1.0, 1.0, Some(3)), w(3.0, 1.0, None), w(5.0, 0.0, None)] };
    /// assert_eq!(open.completeness(), 0.25);
    /// ```
    pub fn completeness(&self) -> f64 {
        let all: f64 = self.waited.iter().filter(|w| w.counts()).map(|w| w.weight).sum();
        let here =
            self.waited.iter().filter(|w| w.counts() && w.arrived.is_some()).map(|w| w.weight).sum::<f64>();
        if all > 0.0 { here / all } else { 1.0 }
    }

    /// Why a wait that is over at `now` has ended. A part that was owed and will not come ([`crate::LOST`]) is missing: a
    /// partial answer is never a whole one.
    ///
    /// ```
    /// use micadyke_deadline::{Ended, LOST, Open, Waited};
    /// let w = |lives, arrived| Waited { name: "n".into(), zone: "z".into(), weight: 1.0, lives, arrived };
    /// let mut open = Open { kind: 0, asked_at: 0, limit: 9, waited: vec![w(1.0, Some(3)), w(0.0, None)] };
    /// assert_eq!(open.ended(3), Ended::Whole);
    /// open.waited.push(w(LOST, None));
    /// assert_eq!((open.ended(3), open.ended(9)), (Ended::NotWorth, Ended::Patience));
    /// ```
    pub fn ended(&self, now: Nanos) -> Ended {
        if self.waited.iter().all(|w| w.arrived.is_some() || w.lives <= 0.0) {
            Ended::Whole
        } else if now >= self.limit {
            Ended::Patience
        } else {
            Ended::NotWorth
        }
    }

    /// Nobody is waited for who may still answer.
    ///
    /// ```
    /// use micadyke_deadline::{Open, Waited};
    /// let w = |lives, arrived| Waited { name: "n".into(), zone: "z".into(), weight: 1.0, lives, arrived };
    /// let mut open = Open { kind: 0, asked_at: 0, limit: 9, waited: vec![w(1.0, Some(3)), w(0.0, None)] };
    /// assert!(open.nobody());
    /// open.waited.push(w(0.5, None));
    /// assert!(!open.nobody());
    /// ```
    pub fn nobody(&self) -> bool {
        self.waited.iter().all(|w| w.arrived.is_some() || w.lives <= crate::LOST)
    }
}

/// Chances of the scales.
pub(crate) type Scales = [f64; SCALES.len()];

/// How questions run before any was seen.
pub(crate) fn usual() -> Scales {
    SCALES.map(|k| match k {
        0 => USUAL,
        k => (1.0 - USUAL) * 0.5f64.powi(k.unsigned_abs() as i32) / STEPS_AWAY,
    })
}

/// Whether this very question runs slower than usual, by what has arrived and what has not: for each zone, steps by which
/// answers are later, and their chances; and the chances that all zones share a scale.
///
/// Either all zones share one (the asker's way, a heavy question), or each has its own (a slow zone); the two are weighed
/// by their evidence. `laws` go with `open.waited`, `common` are the chances of a shared scale so far.
pub(crate) fn scales(
    now: Nanos, open: &Open, laws: &[&Law], common: &Scales,
) -> (BTreeMap<String, Vec<(isize, f64)>>, Scales) {
    let here = bin(now.saturating_sub(open.asked_at));
    let mut zones: Vec<(&str, Scales)> = Vec::new();
    for (w, law) in open.waited.iter().zip(laws).filter(|(w, _)| w.lives > crate::LOST) {
        let zone = zones.iter().position(|z| z.0 == w.zone).unwrap_or_else(|| {
            zones.push((&w.zone, [0.0; SCALES.len()]));
            zones.len() - 1
        });
        for (sum, k) in zones[zone].1.iter_mut().zip(SCALES) {
            let later = steps(k);
            *sum += match w.arrived {
                Some(at) => law.about(bin(at.saturating_sub(open.asked_at)), later).max(ODD).ln(),
                None => (1.0 - w.lives * law.at(here, later + 1)).max(ODD).ln(),
            };
        }
    }
    // Chances of the scales by logarithms, and the logarithm of their evidence.
    let posterior = |logs: Scales, prior: &Scales| {
        let most = logs.iter().copied().fold(f64::MIN, f64::max);
        let mut each = logs.map(|l| (l - most).exp());
        each.iter_mut().zip(prior).for_each(|(e, p)| *e *= p);
        let sum: f64 = each.iter().sum();
        (each.map(|e| e / sum), most + sum.ln())
    };
    let mut all = [0.0; SCALES.len()];
    zones.iter().for_each(|z| all.iter_mut().zip(z.1).for_each(|(a, l)| *a += l));
    let (common, evidence) = posterior(all, common);
    let prior = usual();
    let own: Vec<_> = zones.iter().map(|z| posterior(z.1, &prior)).collect();
    let apart: f64 = own.iter().map(|o| o.1).sum();
    let shared = match zones.len() {
        0 | 1 => 1.0,
        _ => SHARED / (SHARED + (1.0 - SHARED) * (apart - evidence).exp()),
    };
    let named = zones.iter().zip(own).map(|(z, (own, _))| {
        let mixed = own.iter().zip(&common).map(|(o, c)| shared * c + (1.0 - shared) * o);
        let kept: Vec<_> = SCALES.into_iter().zip(mixed).filter(|s| s.1 >= LEFT_OUT).collect();
        let sum: f64 = kept.iter().map(|k| k.1).sum();
        (z.0.to_owned(), kept.into_iter().map(|(k, p)| (steps(k), p / sum)).collect())
    });
    // Where zones differ, nothing is said of all.
    let mut of_all = common.map(|c| c * shared);
    of_all[OF_USUAL] += 1.0 - shared;
    (named.collect(), of_all)
}

/// A scale in steps of a law.
fn steps(scale: isize) -> isize {
    scale * HALF as isize
}

/// Scales in steps of a law, with their chances.
pub(crate) fn in_steps(scales: &Scales) -> Vec<(isize, f64)> {
    SCALES.into_iter().map(steps).zip(*scales).collect()
}

/// Steps by which answers are later at the likeliest scale.
pub(crate) fn likeliest(scales: &Scales) -> isize {
    let most = (0..scales.len()).max_by(|a, b| scales[*a].total_cmp(&scales[*b]));
    most.map_or(0, |i| steps(SCALES[i]))
}

/// What was seen of scales lies about another one than the usual: that becomes the usual one. Steps by which laws move.
pub(crate) fn recentre(seen: &mut Scales) -> isize {
    let all: f64 = seen.iter().sum();
    let mean = seen.iter().zip(SCALES).map(|(s, k)| s * k as f64).sum::<f64>() / all.max(f64::MIN_POSITIVE);
    let by = mean.round() as isize;
    if by == 0 || seen[OF_USUAL] > all * STILL_USUAL {
        return 0;
    }
    let mut moved = [0.0; SCALES.len()];
    for (i, s) in seen.iter().enumerate() {
        let to = (i as isize - by).clamp(0, SCALES.len() as isize - 1);
        moved[to as usize] += s;
    }
    *seen = moved;
    steps(by)
}

/// What is waited for: its part of the whole, the chance that it lives though it has not answered, its law.
struct Missing<'a> {
    part: f64,
    lives: f64,
    law: &'a Law,
    so_far: f64,
}

/// When the wait is over if nothing more arrives, where `laws` say when each of `open.waited` answers.
///
/// Each end of a step until the limit is weighed: the mean worth of what will have arrived by then, less the price of the
/// time, which ends early where all have arrived. What [`crate::Learned`] does with what it learned; with laws that are
/// known it is the oracle it is measured against.
///
/// ```
/// use micadyke_deadline::{Law, Open, Waited, Worth, decide};
/// let ms = 1_000_000;
/// let w = |arrived| Waited { name: "n".into(), zone: "z".into(), weight: 1.0, lives: 1.0, arrived };
/// let open = Open { kind: 0, asked_at: 0, limit: 900 * ms, waited: vec![w(Some(9 * ms)), w(None)] };
/// let soon = Law::of(|t| if t > 20 * ms { 1.0 } else { 0.0 });
/// let late = Law::of(|t| if t > 2_000 * ms { 1.0 } else { 0.0 });
/// assert!(decide(&Worth::default(), 9 * ms, &open, &[soon.clone(), soon.clone()]) >= 20 * ms);
/// assert_eq!(decide(&Worth::default(), 9 * ms, &open, &[soon, late]), 9 * ms);
/// ```
pub fn decide(worth: &Worth, now: Nanos, open: &Open, laws: &[Law]) -> Nanos {
    decide_by(worth, now, open, &laws.iter().collect::<Vec<_>>())
}

/// See [`decide`].
pub(crate) fn decide_by(worth: &Worth, now: Nanos, open: &Open, laws: &[&Law]) -> Nanos {
    let now = now.max(open.asked_at);
    let limit = open.limit.min(open.asked_at.saturating_add(worth.most));
    if now >= limit {
        return limit;
    }
    let whole: f64 = open.waited.iter().filter(|w| w.counts()).map(|w| w.weight).sum();
    let spent = now - open.asked_at;
    let mut missing: Vec<Missing> = Vec::new();
    for (w, law) in open.waited.iter().zip(laws) {
        if w.arrived.is_none() && w.counts() && w.lives > crate::LOST {
            let so_far = law.by(spent);
            // Who could have answered and did not is the less likely to live.
            let alive = w.lives * (1.0 - so_far);
            let lives = if alive > 0.0 { alive / (alive + 1.0 - w.lives) } else { 0.0 };
            missing.push(Missing { part: w.weight / whole, lives, law, so_far });
        }
    }
    let here = open.completeness();
    if missing.is_empty() || whole <= 0.0 {
        return now;
    }
    let can = (here + missing.iter().map(|m| m.part).sum::<f64>()).min(1.0);
    let least = missing.iter().map(|m| m.part).fold(f64::MAX, f64::min);
    let stands = worth.of(here);
    let price = worth.price / crate::MS as f64;
    let (mut best, mut until, mut cost, mut from, mut not_all) = (0.0, now, 0.0, now, 1.0);
    for b in bin(spent)..=BINS {
        let end = if b < BINS { open.asked_at.saturating_add(edge(b)).min(limit) } else { limit };
        if end <= from {
            continue;
        }
        let (mut mean, mut var, mut all) = (here, 0.0, 1.0);
        for m in &missing {
            let by = if end < limit { m.law.at(b, 0) } else { m.law.by(end - open.asked_at) };
            let p = m.lives * ((by - m.so_far) / (1.0 - m.so_far).max(1e-9)).clamp(0.0, 1.0);
            mean += m.part * p;
            var += m.part * m.part * p * (1.0 - p);
            all *= p;
        }
        // The step is paid for as long as not all are there.
        cost += price * (end - from) as f64 * (not_all + 1.0 - all) / 2.0;
        (from, not_all) = (end, 1.0 - all);
        let value = all * worth.of(can) + (1.0 - all) * partial(worth, here, can, least, mean, var, all)
            - stands
            - cost;
        if value > best {
            (best, until) = (value, end);
        }
        // Nothing that is still missing pays for more.
        if end >= limit || worth.of(can) - stands <= cost {
            break;
        }
    }
    until
}

/// The mean worth where not all arrive: by three points of the normal law with the moments that are left.
fn partial(worth: &Worth, here: f64, can: f64, least: f64, mean: f64, var: f64, all: f64) -> f64 {
    if all >= 1.0 - 1e-9 {
        return 0.0;
    }
    let rest = (mean - all * can) / (1.0 - all);
    let square = (var + mean * mean - all * can * can) / (1.0 - all) - rest * rest;
    let off = (3.0 * square.max(0.0)).sqrt();
    let at = |c: f64| worth.of(c.clamp(here, (can - least).max(here)));
    (at(rest - off) + 4.0 * at(rest) + at(rest + off)) / 6.0
}

/// How a budget of time is split where gatherers ask for the asker: the span after which a gatherer hands up what it has,
/// from its own asking, and the span after which the asker ends; both within `budget`, in nanoseconds.
///
/// `below` says when a member has answered its gatherer, from the gatherer's asking; `way` how long the ways to a gatherer
/// and back take together, so that no clocks are compared. All pairs of steps are weighed by what arrives at the asker.
///
/// ```
/// use micadyke_deadline::{Law, Worth, split};
/// let ms = 1_000_000;
/// let below = Law::of(|t| 1.0 - (-(t as f64) / 20e6).exp());
/// let way = Law::of(|t| if t > 30 * ms { 1.0 } else { 0.0 });
/// let (lower, whole) = split(&Worth::default(), &below, &way, 100 * ms);
/// assert!(lower <= 71 * ms && whole <= 100 * ms && whole - lower >= 28 * ms);
/// ```
pub fn split(worth: &Worth, below: &Law, way: &Law, budget: Nanos) -> (Nanos, Nanos) {
    let mut best = (f64::MIN, 0, budget);
    let ends = || (0..BINS).map(edge).take_while(|e| *e < budget).chain([budget]);
    for whole in ends() {
        for lower in ends().take_while(|l| *l < whole) {
            let value = worth.after(below.by(lower) * way.by(whole - lower), whole);
            if value > best.0 {
                best = (value, lower, whole);
            }
        }
    }
    (best.1, best.2)
}

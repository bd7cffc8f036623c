//! Waits for the answers of many in virtual time: [`LearnedDeadline`] as it runs beside an oracle that knows when members
//! answer, and beside rules that do not learn.

use crate::fleet::MS;
use micadyke_deadline::{
    AskedMember, Deadline, Feature, LatencyDistribution, LearnedDeadline, Nanos, OpenQuery, Settings, Worth,
    best_wait_end, split,
};
use micadyke_directory::{Directory, Input, Key, Output, SECOND, Seen, Session, heard};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

/// The asker's patience.
const PATIENCE: Nanos = 1_000 * MS;
/// From one question to the next: late answers come during later questions.
const EVERY: Nanos = 250 * MS;
/// What has not come by then never does.
const NEVER: Nanos = 10_000 * MS;
/// Beyond so many members, gatherers ask for the asker.
const FLAT: usize = 100;
/// And there are so many of them.
const GATHERERS: usize = 17;
/// Questions of a run: steady, all times three times as long, back.
const PHASES: [(usize, f64); 3] = [(400, 1.0), (200, 3.0), (200, 1.0)];
/// Questions that are looked at: steady, the first and the second hundred after the change, the second after the return.
const LOOKED_AT: [(usize, usize); 5] = [(200, 400), (400, 500), (500, 600), (700, 800), (200, 800)];
/// Factors of a question that holds up all its members alike, and their chances.
const SHARED: [(f64, f64); 3] = [(1.0, 0.7), (2.0, 0.2), (4.0, 0.1)];

const MEMBERS: u8 = 0;
const WAY: u8 = 1;
const GATHERED: u8 = 2;

/// How members answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Times {
    /// One hump; members differ by a third.
    LogNormal,
    /// One answer in seven takes ten times as long.
    Bimodal,
    /// A tail without a mean worth the name: Pareto, 1.2.
    Pareto,
    /// A member stands still one time in thirty, for 0.7 s on the mean.
    Stalls,
    /// One zone of three is five times slower.
    SlowZone,
    /// Some questions hold up all their members alike.
    Shared,
}

impl Times {
    /// Each of them.
    pub const ALL: [Times; 6] =
        [Times::LogNormal, Times::Bimodal, Times::Pareto, Times::Stalls, Times::SlowZone, Times::Shared];
}

/// When a wait ends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Rule {
    /// By what was learned, without one of its parts.
    Learned(Option<Feature>),
    /// After the best of ten spans, chosen when all is over.
    Best,
    /// After what 99 in 100 answers take.
    P99,
    /// All, or patience.
    All,
    /// A fixed share of the patience: half, or a level's part of the mean time where there are two.
    Share,
}

impl Rule {
    /// Those of the table.
    pub const ALL: [Rule; 5] = [Rule::Learned(None), Rule::Best, Rule::P99, Rule::All, Rule::Share];
}

impl std::fmt::Display for Rule {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Rule::Learned(_) => "learned",
            Rule::Best => "best of ten fixed, in hindsight",
            Rule::P99 => "p99",
            Rule::All => "all",
            Rule::Share => "share of the patience",
        })
    }
}

/// Who decides in one run.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Who {
    Learned(Option<Feature>),
    Oracle,
    /// An oracle whose gatherers end at this part of what a split by known laws says, whatever came.
    Cut(f64),
    /// Spans of a gatherer and of the asker.
    FixedDeadline(Nanos, Nanos),
    P99,
}

/// What an answer is worth here: half of it is worth more than half.
fn worth(price: f64) -> Worth {
    Worth { price, curve: vec![(0.0, 0.0), (0.5, 0.6), (0.9, 0.93), (1.0, 1.0)], ..Worth::default() }
}

fn normal(random: &mut StdRng) -> f64 {
    let u: f64 = random.random_range(1e-12..1.0);
    (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * random.random::<f64>()).cos()
}

/// The normal law (Abramowitz and Stegun, 26.2.17).
fn by_normal(z: f64) -> f64 {
    let t = 1.0 / (1.0 + 0.231_641_9 * z.abs());
    let poly = t
        * (0.319_381_53
            + t * (-0.356_563_782 + t * (1.781_477_937 + t * (-1.821_255_978 + t * 1.330_274_429))));
    let tail = (-z * z / 2.0).exp() / std::f64::consts::TAU.sqrt() * poly;
    if z < 0.0 { tail } else { 1.0 - tail }
}

fn by_log_normal(ms: f64, median: f64, sigma: f64) -> f64 {
    if ms <= 0.0 { 0.0 } else { by_normal((ms / median).ln() / sigma) }
}

/// Members that answer, and the laws by which they do.
struct World {
    times: Times,
    worth: Worth,
    seed: u64,
    /// A member's own factor and its part of the whole.
    members: Vec<(f64, f64)>,
}

impl World {
    fn new(members: usize, times: Times, price: f64, seed: u64) -> Self {
        let mut r = StdRng::seed_from_u64(seed);
        let members =
            (0..members).map(|_| ((0.3 * normal(&mut r)).exp(), r.random_range(0.5..1.5))).collect();
        World { times, worth: worth(price), seed, members }
    }

    /// How long member `m` takes, in milliseconds.
    fn draw(&self, r: &mut StdRng, m: usize) -> f64 {
        let log_normal = |r: &mut StdRng, median: f64, sigma: f64| median * (sigma * normal(r)).exp();
        let own = self.members[m].0;
        own * match self.times {
            Times::LogNormal => log_normal(r, 15.0, 0.6),
            Times::Bimodal if r.random_bool(0.15) => log_normal(r, 80.0, 0.3),
            Times::Bimodal => log_normal(r, 8.0, 0.3),
            Times::Pareto => 6.0 * r.random_range(1e-9f64..1.0).powf(-1.0 / 1.2),
            Times::Stalls if r.random_bool(0.03) => 12.0 - 700.0 * r.random_range(1e-9f64..1.0).ln(),
            Times::Stalls => log_normal(r, 12.0, 0.4),
            Times::SlowZone => log_normal(r, if m.is_multiple_of(3) { 60.0 } else { 12.0 }, 0.4),
            Times::Shared => log_normal(r, 15.0, 0.3),
        }
    }

    /// The chance that it has answered by then: what `draw` draws from.
    fn by(&self, m: usize, ms: f64) -> f64 {
        let x = ms / self.members[m].0;
        match self.times {
            Times::LogNormal => by_log_normal(x, 15.0, 0.6),
            Times::Bimodal => 0.15 * by_log_normal(x, 80.0, 0.3) + 0.85 * by_log_normal(x, 8.0, 0.3),
            Times::Pareto => 1.0 - (6.0 / x.max(6.0)).powf(1.2),
            Times::Stalls => {
                0.03 * (1.0 - (-(x - 12.0).max(0.0) / 700.0).exp()) + 0.97 * by_log_normal(x, 12.0, 0.4)
            }
            Times::SlowZone => by_log_normal(x, if m.is_multiple_of(3) { 60.0 } else { 12.0 }, 0.4),
            Times::Shared => by_log_normal(x, 15.0, 0.3),
        }
    }

    /// Chance of one question: the same for all rules.
    fn question(&self, n: usize) -> (StdRng, f64) {
        let mut r = StdRng::seed_from_u64(self.seed << 32 | n as u64);
        let mut at: f64 = r.random();
        let shared = SHARED.iter().find(|(_, p)| {
            at -= p;
            at < 0.0
        });
        let factor = if self.times == Times::Shared { shared.map_or(1.0, |s| s.0) } else { 1.0 };
        (r, factor)
    }

    fn laws(&self, slow: f64) -> Vec<LatencyDistribution> {
        (0..self.members.len())
            .map(|m| LatencyDistribution::from_fn(|t| self.by(m, t as f64 / MS as f64 / slow)))
            .collect()
    }
}

/// Where times are drawn as if a question held up all alike, the oracle knows its factors and sees which it is.
fn oracle_laws(now: Nanos, open: &OpenQuery, laws: &[LatencyDistribution]) -> Vec<LatencyDistribution> {
    let spent = (now - open.asked_at) as f64;
    let logs = SHARED.map(|(f, p)| {
        let of = open.members.iter().zip(laws).map(|(w, law)| match w.answered_at {
            Some(at) => {
                let took = (at - open.asked_at) as f64 / f;
                (law.probability_by((took * 1.09) as Nanos) - law.probability_by((took / 1.09) as Nanos))
                    .max(1e-9)
                    .ln()
            }
            None => (1.0 - law.probability_by((spent / f) as Nanos)).max(1e-9).ln(),
        });
        p.ln() + of.sum::<f64>()
    });
    let most = logs.into_iter().fold(f64::MIN, f64::max);
    let each = logs.map(|l| (l - most).exp());
    let sum: f64 = each.iter().sum();
    // Twofold is an octave, eight steps of a law.
    let scales: Vec<(isize, f64)> =
        SHARED.iter().zip(each).map(|(s, p)| ((s.0.log2() * 8.0).round() as isize, p / sum)).collect();
    let of = open.members.iter().zip(laws);
    of.map(|(w, law)| if w.answered_at.is_some() { law.clone() } else { law.mixture(&scales) }).collect()
}

/// What comes late: when, the gatherer, the kind, the member, how long it took.
type Late = BinaryHeap<Reverse<(Nanos, usize, u8, usize, Nanos)>>;

fn zone(m: usize) -> String {
    format!("z{}", m % 3)
}

struct Sim<'a> {
    world: &'a World,
    who: Who,
    gatherers: Vec<LearnedDeadline>,
    late: Late,
    laws: Vec<LatencyDistribution>,
    p99: Nanos,
    /// A split by known laws.
    known: (Nanos, Nanos),
}

impl Sim<'_> {
    /// One gatherer's wait for `members` that take `took`: when it ended, and how complete.
    fn gather(
        &mut self, g: usize, asked_at: Nanos, limit: Nanos, fixed: Nanos, members: &[(usize, Nanos)],
    ) -> (Nanos, f64) {
        let waited = members.iter().map(|(m, _)| AskedMember {
            name: format!("n{m}"),
            zone: zone(*m),
            weight: self.world.members[*m].1,
            liveness: 1.0,
            answered_at: None,
        });
        let mut open = OpenQuery { kind: MEMBERS, asked_at, deadline: limit, members: waited.collect() };
        let laws: Vec<LatencyDistribution> = match self.who {
            Who::Oracle => members.iter().map(|(m, _)| self.laws[*m].clone()).collect(),
            _ => Vec::new(),
        };
        let who = self.who;
        let world = self.world;
        let until = |learned: &mut LearnedDeadline, now: Nanos, open: &OpenQuery| match who {
            Who::Learned(_) => learned.wait_until(now, open),
            Who::Oracle if world.times == Times::Shared => {
                best_wait_end(&world.worth, now, open, &oracle_laws(now, open, &laws))
            }
            Who::Oracle => best_wait_end(&world.worth, now, open, &laws),
            Who::Cut(_) | Who::FixedDeadline(..) | Who::P99 => (asked_at + fixed).min(open.deadline),
        };
        let mut order: Vec<usize> = (0..members.len()).collect();
        order.sort_by_key(|i| members[*i].1);
        let mut end = until(&mut self.gatherers[g], asked_at, &open);
        let mut here = 0;
        for i in &order {
            let (m, took) = members[*i];
            if asked_at + took > end {
                break;
            }
            here += 1;
            open.members[*i].answered_at = Some(asked_at + took);
            if matches!(who, Who::Learned(_)) {
                self.gatherers[g].record_answer(MEMBERS, &format!("n{m}"), &zone(m), took, 0);
            }
            end = match here == members.len() {
                true => asked_at + took,
                false => until(&mut self.gatherers[g], asked_at + took, &open).max(asked_at + took),
            };
        }
        if matches!(who, Who::Learned(_)) {
            for i in &order[here..] {
                let (m, took) = members[*i];
                self.late.push(Reverse((asked_at + took.min(NEVER), g, MEMBERS, m, took)));
            }
        }
        (end, open.completeness())
    }

    /// Late answers that came before `now`.
    fn hear(&mut self, now: Nanos) {
        while let Some(Reverse(next)) = self.late.peek().copied().filter(|n| n.0.0 <= now) {
            self.late.pop();
            let (_, g, kind, m, took) = next;
            let zone = if kind == MEMBERS { zone(m) } else { String::from("g") };
            match took < NEVER {
                true => self.gatherers[g].record_answer(kind, &format!("n{m}"), &zone, took, 0),
                false => self.gatherers[g].record_missing(kind, &format!("n{m}"), &zone, NEVER),
            }
        }
    }

    /// One question by way of gatherers: when the asker ended, and how complete.
    fn two_levels(
        &mut self, r: &mut StdRng, asked_at: Nanos, slow: f64, took: &[Nanos], fixed: (Nanos, Nanos),
    ) -> (Nanos, f64) {
        let limit = asked_at + PATIENCE;
        let (lower, _) = match self.who {
            Who::Learned(_) => self.gatherers[0].split(MEMBERS, WAY, PATIENCE),
            Who::Oracle => self.known,
            Who::Cut(part) => ((self.known.0 as f64 * part) as Nanos, 0),
            _ => fixed,
        };
        let whole: f64 = self.world.members.iter().map(|m| m.1).sum();
        let (mut open, mut arrivals) =
            (OpenQuery { kind: GATHERED, asked_at, deadline: limit, members: Vec::new() }, Vec::new());
        for g in 0..GATHERERS {
            let ways: [f64; 2] = [(); 2].map(|()| slow * 3.0 * (0.5 * normal(r)).exp());
            let [down, up] = ways.map(|w| (w * MS as f64) as Nanos);
            let group: Vec<(usize, Nanos)> =
                (g..took.len()).step_by(GATHERERS).map(|m| (m, took[m])).collect();
            let part = group.iter().map(|(m, _)| self.world.members[*m].1).sum::<f64>() / whole;
            let (end, complete) = self.gather(g, asked_at + down, asked_at + down + lower, lower, &group);
            arrivals.push((end + up, g, complete, part, down + up));
            let (name, zone) = (format!("n{g}"), "g".to_owned());
            open.members.push(AskedMember { name, zone, weight: part, liveness: 1.0, answered_at: None });
        }
        arrivals.sort_by_key(|a| a.0);
        let learns = !matches!(self.who, Who::FixedDeadline(..) | Who::P99);
        let until = |root: &mut LearnedDeadline, now: Nanos, open: &OpenQuery| match learns {
            true => root.wait_until(now, open),
            false => (asked_at + fixed.1).min(limit),
        };
        let mut end = until(&mut self.gatherers[0], asked_at, &open);
        let (mut here, mut got) = (0, 0.0);
        for (at, g, complete, part, way) in &arrivals {
            if *at > end {
                break;
            }
            here += 1;
            got += complete * part;
            open.members[*g].answered_at = Some(*at);
            open.members[*g].weight = part * complete;
            let mut lost = open.members[*g].clone();
            (lost.weight, lost.liveness, lost.answered_at) =
                (part * (1.0 - complete), micadyke_deadline::KNOWN_MISSING, None);
            open.members.push(lost);
            if learns {
                self.gatherers[0].record_answer(GATHERED, &format!("n{g}"), "g", at - asked_at, 0);
                self.gatherers[0].record_answer(WAY, &format!("n{g}"), "g", *way, 0);
            }
            end = if here == GATHERERS { *at } else { until(&mut self.gatherers[0], *at, &open).max(*at) };
        }
        for (at, g, _, _, way) in arrivals.iter().skip(here).filter(|_| learns) {
            self.late.push(Reverse((*at, 0, GATHERED, *g, at - asked_at)));
            self.late.push(Reverse((*at, 0, WAY, *g, *way)));
        }
        (end, got)
    }

    /// Worth of each of `questions`, all times `slow` times as long.
    fn run(&mut self, questions: std::ops::Range<usize>, slow: f64) -> Vec<f64> {
        let world = self.world;
        self.laws = world.laws(slow);
        let mean =
            |t: Nanos| self.laws.iter().map(|l| l.probability_by(t)).sum::<f64>() / self.laws.len() as f64;
        self.p99 = (0..=10_000).map(|t| t * MS).find(|t| mean(*t) >= 0.99).unwrap_or(PATIENCE).min(PATIENCE);
        // Two ways of 3 ms: as one hump of their sum's median and spread.
        let way = LatencyDistribution::from_fn(|t| by_log_normal(t as f64 / MS as f64 / slow, 6.3, 0.36));
        let two = world.members.len() > FLAT;
        let factors = SHARED.iter().filter(|s| s.0 == 1.0 || world.times == Times::Shared);
        let splits = factors.map(|s| {
            let below = LatencyDistribution::from_fn(|t| mean((t as f64 / s.0) as Nanos));
            split(&world.worth, &below, &way, PATIENCE)
        });
        self.known = splits.max().unwrap_or_default();
        let one = |n: usize| {
            let asked_at = (n as Nanos + 1) * EVERY;
            self.hear(asked_at);
            let (mut r, shared) = world.question(n);
            let took: Vec<Nanos> = (0..world.members.len())
                .map(|m| (world.draw(&mut r, m) * slow * shared * MS as f64).min(1e15) as Nanos)
                .collect();
            let fixed = match self.who {
                Who::FixedDeadline(below, all) => (below, all),
                _ if two => (self.p99, self.p99 + (16.0 * slow * MS as f64) as Nanos),
                _ => (self.p99, self.p99),
            };
            let (end, complete) = match two {
                true => self.two_levels(&mut r, asked_at, slow, &took, fixed),
                false => {
                    let all: Vec<(usize, Nanos)> = took.into_iter().enumerate().collect();
                    self.gather(0, asked_at, asked_at + PATIENCE, fixed.1, &all)
                }
            };
            world.worth.value_after(complete, end - asked_at)
        };
        questions.map(one).collect()
    }
}

fn sim(world: &World, who: Who) -> Sim<'_> {
    let settings = Settings { default_worth: world.worth.clone(), ..Settings::default() };
    let without = match who {
        Who::Learned(without) => without,
        _ => Some(Feature::Fade),
    };
    let two = world.members.len() > FLAT;
    let gatherers = (0..if two { GATHERERS } else { 1 })
        .map(|_| {
            LearnedDeadline::new(settings.clone()).expect("settings as above are sound").without(without)
        })
        .collect();
    Sim { world, who, gatherers, late: Late::new(), laws: Vec::new(), p99: 0, known: (0, 0) }
}

/// Worth of each question of a run.
fn run(world: &World, who: Who) -> Vec<f64> {
    let mut s = sim(world, who);
    let (mut all, mut first) = (Vec::new(), 0);
    for (questions, slow) in PHASES {
        if matches!(who, Who::Oracle | Who::Cut(_)) && world.members.len() > FLAT {
            // What gatherers of an oracle take has no closed form: the asker has seen 150 questions of this phase before.
            s = sim(world, who);
            s.run(1_000_000..1_000_150, slow);
        }
        all.extend(s.run(first..first + questions, slow));
        first += questions;
    }
    all
}

/// The worth of each question by an oracle. Over two levels there is none in a closed form: in each phase the best, in
/// hindsight, of gatherers that decide by known laws, of those that are cut at parts of a split by known laws, and of the
/// fixed pairs.
fn oracle(world: &World, fixed: &[Vec<f64>]) -> Vec<f64> {
    let mut runs = vec![run(world, Who::Oracle)];
    if world.members.len() > FLAT {
        runs.extend([0.6, 0.8, 1.0, 1.3].map(|part| run(world, Who::Cut(part))));
        runs.extend(fixed.iter().cloned());
    }
    let (mut all, mut first) = (Vec::new(), 0);
    for (questions, _) in PHASES {
        let phase = |r: &Vec<f64>| r[first..first + questions].iter().sum::<f64>();
        let best = runs.iter().max_by(|a, b| phase(a).total_cmp(&phase(b)));
        all.extend(best.iter().flat_map(|b| &b[first..first + questions]));
        first += questions;
    }
    all
}

/// What each of [`Rule::ALL`] reaches of the oracle's worth: steady, the first and the second hundred questions after all
/// took three times as long, the second after they took as long as before, and the whole run from its 200th question.
/// `price`: what a millisecond costs.
pub fn shares(members: usize, times: Times, price: f64, seed: u64) -> Vec<[f64; 5]> {
    let world = World::new(members, times, price, seed);
    let sum = |of: &[f64], (from, to): (usize, usize)| of[from..to].iter().sum::<f64>();
    let two = members > FLAT;
    let fixed = |part: f64, all: Nanos| Who::FixedDeadline((all as f64 * part) as Nanos, all);
    let ten: Vec<Vec<f64>> = (0..10)
        .map(|i| (10.0 * MS as f64 * 1.6f64.powi(i)) as Nanos)
        .map(|span| run(&world, fixed(if two { 0.8 } else { 1.0 }, span)))
        .collect();
    let oracle = oracle(&world, &ten);
    let of = Rule::ALL.map(|rule| {
        let worths = match rule {
            Rule::Learned(without) => run(&world, Who::Learned(without)),
            Rule::Best => {
                let whole = |r: &&Vec<f64>| sum(r, LOOKED_AT[4]);
                ten.iter().max_by(|a, b| whole(a).total_cmp(&whole(b))).cloned().unwrap_or_default()
            }
            Rule::P99 => run(&world, Who::P99),
            Rule::All => run(&world, fixed(1.0, PATIENCE)),
            Rule::Share if two => run(&world, fixed(0.75, PATIENCE)),
            Rule::Share => run(&world, fixed(1.0, PATIENCE / 2)),
        };
        LOOKED_AT.map(|part| sum(&worths, part) / sum(&oracle, part))
    });
    of.to_vec()
}

/// What a question costs, in microseconds of this machine, median and 99 in 100: of the directory as it asks two owners of a
/// fleet of `members`, from the asking until both have answered and the answer is told.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cost {
    /// With a fixed wait.
    pub fixed: (f64, f64),
    /// With a learned one.
    pub learned: (f64, f64),
}

/// Asks so often, with a fixed wait and a learned one in turn, so that both meet the same machine.
pub fn cost(members: usize, questions: usize) -> Cost {
    let settings = || Settings { default_worth: worth(0.001), ..Settings::default() };
    let waits: [Box<dyn Deadline>; 2] = [
        Box::new(micadyke_deadline::FixedDeadline(150 * MS)),
        Box::new(LearnedDeadline::new(settings()).expect("settings as above are sound")),
    ];
    let name = |n: usize| format!("n{n:04}");
    let mut both = waits.map(|wait| Asked::new(members, wait, &name));
    let mut took: [Vec<f64>; 2] = [Vec::new(), Vec::new()];
    for q in 0..questions {
        let turn = [q % 2, 1 - q % 2];
        for side in turn {
            took[side].push(both[side].one(q));
        }
    }
    let [fixed, learned] = took.map(|mut of| {
        of.sort_by(f64::total_cmp);
        let at = |q: f64| of.get((of.len() as f64 * q) as usize).copied().unwrap_or(f64::NAN);
        (at(0.5), at(0.99))
    });
    Cost { fixed, learned }
}

/// An asker in a fleet, and one owner that stands in for both: it answers by its own book.
struct Asked {
    asker: Directory,
    owners: Vec<Directory>,
    key: Key,
    now: Nanos,
}

impl Asked {
    fn new(members: usize, wait: Box<dyn Deadline>, name: &dyn Fn(usize) -> String) -> Self {
        use micadyke_directory::Settings;
        let mut asker = Directory::new(Settings::new(&name(0), 1), wait, 0);
        let see = |d: &mut Directory| {
            for n in 0..members {
                let up = Seen::Up { name: name(n), start: 1, zone: format!("z{}", n % 3) };
                d.handle(0, Input::View(up), &mut Vec::new());
            }
            d.handle(SECOND, Input::Wake, &mut Vec::new());
        };
        see(&mut asker);
        // A title that others own.
        let keys = (0..).map(|n| Key::Title(format!("t{n}")));
        let mut others = keys.map(|k| (asker.owners(&k), k)).filter(|(o, _)| !o.contains(&name(0)));
        let (owners, key) = others.next().expect("there are others");
        let owners = owners.iter().map(|o| {
            let mut d =
                Directory::new(Settings::new(o, 1), Box::new(micadyke_deadline::FixedDeadline(MS)), 0);
            see(&mut d);
            for n in 0..20 {
                let session = Session::new(key.text(), &format!("v{n}"), &format!("s{n}"));
                d.handle(SECOND, Input::Started(&session), &mut Vec::new());
            }
            d
        });
        Asked { owners: owners.collect(), asker, key, now: SECOND }
    }

    /// Microseconds that the asker takes for one question, its own turns only.
    fn one(&mut self, q: usize) -> f64 {
        self.now += SECOND;
        let (mut out, mut spent) = (Vec::new(), 0.0);
        self.asker.handle(self.now, Input::Wake, &mut out);
        out.clear();
        let owners = self.asker.owners(&self.key);
        let mut timed = |asker: &mut Directory, what: &dyn Fn(&mut Directory, &mut Vec<Output>)| {
            let start = Instant::now();
            what(asker, &mut out);
            spent += start.elapsed().as_secs_f64() * 1e6;
            std::mem::take(&mut out)
        };
        let asks = timed(&mut self.asker, &|d, out| {
            let _ = d.ask(self.now, self.key.clone(), self.now + 400 * MS, out);
        });
        let mut at = self.now;
        for (owner, name) in self.owners.iter_mut().zip(&owners) {
            at += (5 + q as u64 % 7) * MS;
            let mut said = Vec::new();
            for ask in &asks {
                if let Output::Send { to, bytes } = ask
                    && to == name
                {
                    owner.handle(self.now, Input::Message { from: "n0000", bytes }, &mut said);
                }
            }
            for word in said {
                if let Output::Send { bytes, .. } = word
                    && heard(&bytes).is_some()
                {
                    let told = Input::Message { from: name, bytes: &bytes };
                    let told = std::cell::RefCell::new(Some(told));
                    timed(&mut self.asker, &|d, out| {
                        told.borrow_mut().take().into_iter().for_each(|t| d.handle(at, t, out));
                    });
                }
            }
        }
        let end = self.now + 400 * MS;
        timed(&mut self.asker, &|d, out| d.handle(end, Input::Wake, out));
        spent
    }
}

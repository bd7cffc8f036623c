//! Learns when members answer, and waits by it.

use crate::decide::{Scales, decide_by, in_steps, likeliest, recentre, scales, split, usual};
use crate::law::{BINS, bin};
use crate::settings::MOST_KINDS;
use crate::{Deadline, Error, Law, Nanos, Open, Settings, Worth};
use std::collections::BTreeMap;

/// Members of a kind that are remembered, 700 bytes each: beyond, the one unheard for longest goes.
pub const MOST_MEMBERS: usize = 2048;
/// Zones of a kind that are remembered: beyond, the one unheard for longest goes.
pub const MOST_ZONES: usize = 64;
/// The first guess counts as so many answers of the whole kind.
const GUESS: f64 = 8.0;
/// The kind's law counts as so many answers of a zone, the zone's as so many of a member.
const ABOVE: f64 = 16.0;
/// A span in which the gatherer's own loop was late by more than this part of it says nothing of the member.
const LATE: Nanos = 8;
/// Whatever was learned, an answer may be lost: who is missing when all that is known to be slow are in is not waited for.
const MAY_BE_LOST: f64 = 0.003;
/// How questions ran before any was seen counts as so many.
const SCALES_GUESS: f64 = 2.0;
/// A scale at which so many questions run is not rare.
const NOT_RARE: f64 = 0.05;
/// Answers that wait to be learned from at most: one of each member, and late ones.
const MOST_PENDING: usize = 2 * MOST_MEMBERS;

/// What the machine consists of beyond counting: the laboratory and tests take one away and look what goes wrong.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Feature {
    /// Answers that came after the wait are learned from.
    Late,
    /// Members that were given up or are suspected are waited for by their chance.
    Lives,
    /// Members have laws of their own.
    Members,
    /// Zones have laws of their own.
    Zones,
    /// Spans in which the own loop was late are not learned from.
    Own,
    /// Answers count by their weight.
    Weight,
    /// What is old fades.
    Fade,
    /// What has arrived in this very question says how it runs.
    Order,
}

/// How often each span was seen, older ones for less.
#[derive(Debug, Clone)]
struct Seen {
    bins: [f32; BINS + 1],
    sum: f64,
    at: u64,
}

impl Seen {
    fn new(at: u64) -> Self {
        Seen { bins: [0.0; BINS + 1], sum: 0.0, at }
    }

    fn fade(&mut self, now: u64, keep: f64) {
        let f = keep.powi(now.saturating_sub(self.at).min(100_000) as i32);
        if f < 1.0 {
            self.bins.iter_mut().for_each(|b| *b *= f as f32);
            self.sum *= f;
        }
        self.at = now;
    }

    /// What was seen beside `count` answers of a law above, as mass of 1.
    fn beside(&self, above: &[f64; BINS + 1], count: f64, now: u64, keep: f64) -> [f64; BINS + 1] {
        let f = keep.powi(now.saturating_sub(self.at).min(100_000) as i32);
        let all = self.sum * f + count;
        let mut mass = *above;
        mass.iter_mut().zip(self.bins).for_each(|(m, b)| *m = (*m * count + f64::from(b) * f) / all);
        mass
    }

    /// All spans longer by so many steps.
    fn shift(&mut self, steps: isize) {
        let was = self.bins;
        self.bins[..BINS].fill(0.0);
        for (b, w) in was[..BINS].iter().enumerate() {
            self.bins[(b as isize + steps).clamp(0, BINS as isize - 1) as usize] += w;
        }
    }
}

/// What was heard of a member.
#[derive(Debug, Clone)]
struct Heard {
    name: String,
    zone: String,
    took: Nanos,
    /// It came before the wait was over: it ran at the scale of its question.
    in_time: bool,
    /// It never came: that is known after `took`.
    never: bool,
}

#[derive(Debug, Clone)]
struct Kind {
    /// Questions of this kind so far.
    asked: u64,
    /// The latest one was asked then.
    last: Option<Nanos>,
    /// The last wait was so long.
    span: Nanos,
    /// The scale at which the last question runs, by what is known.
    scale: Scales,
    /// The own loop was late in it: its scale says nothing.
    blurred: bool,
    /// Scales at which questions ran, older ones for less.
    ran: Scales,
    /// Laws of those that are waited for in the last question, in their order: nothing is learned while it is the last.
    laws: Vec<(String, Law)>,
    /// What was heard since the last question was asked; learned from when the next is, at its scale.
    pending: Vec<Heard>,
    guess: [f64; BINS + 1],
    all: Seen,
    zones: BTreeMap<String, Seen>,
    members: BTreeMap<String, Seen>,
}

/// The one of a name; the one unheard for longest goes where there are `most`.
fn of<'a>(seen: &'a mut BTreeMap<String, Seen>, name: &str, most: usize, now: u64) -> &'a mut Seen {
    if !seen.contains_key(name) && seen.len() >= most {
        let oldest = seen.iter().min_by_key(|s| s.1.at).map(|s| s.0.clone());
        oldest.map(|o| seen.remove(&o));
    }
    seen.entry(name.to_owned()).or_insert_with(|| Seen::new(now))
}

impl Kind {
    /// Before anything is known: wide about the first guess, one in a hundred never.
    fn new(worth: &Worth) -> Self {
        let mut guess = [0.0; BINS + 1];
        let middle = bin(worth.first) as f64;
        for (b, g) in guess[..BINS].iter_mut().enumerate() {
            *g = (-((b as f64 - middle) / 8.0).powi(2) / 2.0).exp();
        }
        let sum: f64 = guess.iter().sum();
        guess.iter_mut().for_each(|g| *g *= 0.99 / sum);
        guess[BINS] = 0.01;
        Kind {
            asked: 0,
            last: None,
            span: 0,
            scale: usual(),
            blurred: false,
            ran: [0.0; _],
            laws: Vec::new(),
            pending: Vec::new(),
            guess,
            all: Seen::new(0),
            zones: BTreeMap::new(),
            members: BTreeMap::new(),
        }
    }

    /// Chances of the scale of a question of which nothing was heard.
    fn scales(&self) -> Scales {
        let all = self.ran.iter().sum::<f64>() + SCALES_GUESS;
        let mut chances = usual();
        chances.iter_mut().zip(self.ran).for_each(|(c, r)| *c = (*c * SCALES_GUESS + r) / all);
        chances
    }

    /// When any answers, without a word of who: at each scale by its chance.
    fn law(&self, keep: f64) -> Law {
        self.unscaled(keep).mixed(&in_steps(&self.scales()))
    }

    /// When any answers where the question runs as usual.
    fn unscaled(&self, keep: f64) -> Law {
        Law::from(&self.all.beside(&self.guess, GUESS, self.asked, keep))
    }

    /// Learns from what was heard in the last question, at its scale.
    fn digest(&mut self, keep: f64, order: bool) {
        let clear = order && !self.blurred && self.last.is_some();
        if self.blurred && self.pending.is_empty() {
            // What teaches nothing makes nothing older: else who is late for long would forget what it knew.
            self.asked = self.asked.saturating_sub(1);
        }
        self.laws.clear();
        let (steps, now) = (if clear { likeliest(&self.scale) } else { 0 }, self.asked);
        for h in std::mem::take(&mut self.pending) {
            let mut one = [0.0; BINS + 1];
            let at = bin(h.took);
            if h.never {
                // It answers later than that, or never: as those do that were heard of.
                let mut mass = self.all.beside(&self.guess, GUESS, now, keep);
                mass[..at].fill(0.0);
                let sum = mass.iter().sum::<f64>().max(f64::MIN_POSITIVE);
                one.iter_mut().zip(mass).for_each(|(o, m)| *o = (m / sum) as f32);
            } else if at == BINS || !h.in_time {
                one[at] = 1.0;
            } else {
                one[(at as isize - steps).clamp(0, BINS as isize - 1) as usize] = 1.0;
            }
            let member = of(&mut self.members, &h.name, MOST_MEMBERS, now);
            let zone = of(&mut self.zones, &h.zone, MOST_ZONES, now);
            for seen in [&mut self.all, zone, member] {
                seen.fade(now, keep);
                seen.bins.iter_mut().zip(one).for_each(|(b, o)| *b += o);
                seen.sum += 1.0;
            }
        }
        if clear {
            self.ran.iter_mut().zip(self.scale).for_each(|(r, s)| *r = *r * keep + s);
            let moved = recentre(&mut self.ran);
            if moved != 0 {
                let all = std::iter::once(&mut self.all).chain(self.zones.values_mut());
                all.chain(self.members.values_mut()).for_each(|seen| seen.shift(moved));
            }
        }
    }
}

/// Waits by what it learned, for each kind of question by itself.
///
/// Bounds: [`crate::settings::MOST_KINDS`] kinds (further ones wait by the first guess), [`MOST_MEMBERS`] members and
/// [`MOST_ZONES`] zones of each; 1.5 MB a kind at most.
///
/// ```
/// use micadyke_deadline::{Deadline, Learned, Open, Settings, Waited};
/// let ms = 1_000_000;
/// let mut learned = Learned::new(Settings::default())?;
/// let w = |name: &str| Waited { name: name.into(), zone: "z".into(), weight: 1.0, lives: 1.0, arrived: None };
/// let mut open = Open { kind: 0, asked_at: 0, limit: 900 * ms, waited: vec![w("n1"), w("n2")] };
/// for n in 0..100 {
///     open.asked_at = n * 1_000 * ms;
///     open.limit = open.asked_at + 900 * ms;
///     learned.until(open.asked_at, &open);
///     learned.arrived(0, "n1", "z", 5 * ms, 0);
///     learned.arrived(0, "n2", "z", 30 * ms, 0);
/// }
/// let span = learned.until(open.asked_at, &open) - open.asked_at;
/// assert!((30 * ms..150 * ms).contains(&span), "{span}");
/// # Ok::<(), micadyke_deadline::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct Learned {
    settings: Settings,
    /// What one question leaves of what was seen before.
    keep: f64,
    kinds: BTreeMap<u8, Kind>,
    without: Option<Feature>,
}

impl Learned {
    /// One that knows nothing yet.
    ///
    /// # Errors
    ///
    /// The settings' first fault.
    ///
    /// ```
    /// use micadyke_deadline::{Error, Learned, Settings};
    /// assert_eq!(Learned::new(Settings { remember: 1, ..Settings::default() }).err(), Some(Error::Remember(1)));
    /// ```
    pub fn new(settings: Settings) -> Result<Self, Error> {
        settings.check()?;
        let keep = 1.0 - 1.0 / f64::from(settings.remember);
        Ok(Learned { settings, keep, kinds: BTreeMap::new(), without: None })
    }

    /// Without one of its parts.
    #[doc(hidden)]
    pub fn without(mut self, feature: Option<Feature>) -> Self {
        self.without = feature;
        if !self.has(Feature::Fade) {
            self.keep = 1.0;
        }
        self
    }

    fn has(&self, feature: Feature) -> bool {
        self.without != Some(feature)
    }

    /// A kind's book; none for one too many.
    fn kind(&mut self, kind: u8) -> Option<&mut Kind> {
        if !self.kinds.contains_key(&kind) && self.kinds.len() >= MOST_KINDS {
            return None;
        }
        let worth = self.settings.worth(kind);
        Some(self.kinds.entry(kind).or_insert_with(|| Kind::new(worth)))
    }

    /// When any member answers a kind of question, the first guess included.
    ///
    /// ```
    /// use micadyke_deadline::{Learned, Settings};
    /// let learned = Learned::new(Settings::default())?;
    /// assert!((learned.law(0).by(20_000_000) - 0.5).abs() < 0.1);   // nothing heard: the first guess
    /// # Ok::<(), micadyke_deadline::Error>(())
    /// ```
    pub fn law(&self, kind: u8) -> Law {
        match self.kinds.get(&kind) {
            Some(k) => k.law(self.keep),
            None => Kind::new(self.settings.worth(kind)).law(self.keep),
        }
    }

    /// Kinds, members and zones that are remembered, of all kinds together.
    ///
    /// ```
    /// use micadyke_deadline::{Learned, Settings};
    /// assert_eq!(Learned::new(Settings::default())?.books(), (0, 0, 0));
    /// # Ok::<(), micadyke_deadline::Error>(())
    /// ```
    pub fn books(&self) -> (usize, usize, usize) {
        let sum = |of: fn(&Kind) -> usize| self.kinds.values().map(of).sum();
        (self.kinds.len(), sum(|k| k.members.len()), sum(|k| k.zones.len()))
    }

    /// Splits a budget of time over two levels by what was learned: see [`split`]. `below` is the kind that the members
    /// answer, `way` the kind under which the ways of gatherers' answers were told; `worth` is of `below`.
    ///
    /// What a gatherer is given is a limit, and it ends sooner by what it sees itself: where some questions run slower, it is
    /// the limit of the slowest scale that is not rare.
    ///
    /// ```
    /// use micadyke_deadline::{Learned, Settings};
    /// let (lower, whole) = Learned::new(Settings::default())?.split(0, 1, 300_000_000);
    /// assert!(lower < whole && whole <= 300_000_000);
    /// # Ok::<(), micadyke_deadline::Error>(())
    /// ```
    pub fn split(&self, below: u8, way: u8, budget: Nanos) -> (Nanos, Nanos) {
        let worth = self.settings.worth(below);
        let way = self.law(way);
        let fresh;
        let kind = match self.kinds.get(&below) {
            Some(kind) => kind,
            None => {
                fresh = Kind::new(worth);
                &fresh
            }
        };
        let law = kind.unscaled(self.keep);
        let scales = in_steps(&kind.scales());
        let some = scales.iter().filter(|s| s.0 == 0 || s.1 >= NOT_RARE);
        let ends = some.map(|s| split(worth, &law.mixed(&[(s.0, 1.0)]), &way, budget));
        ends.max().unwrap_or((0, budget))
    }

    /// The laws of all that are waited for, as far as they were not worked out for this question before.
    fn laws(&mut self, open: &Open) {
        let (keep, by_zone, by_member) = (self.keep, self.has(Feature::Zones), self.has(Feature::Members));
        let Some(kind) = self.kind(open.kind) else { return };
        let same = kind.laws.iter().zip(&open.waited).take_while(|(l, w)| l.0 == w.name).count();
        kind.laws.truncate(same);
        if same == open.waited.len() {
            return;
        }
        let all = kind.all.beside(&kind.guess, GUESS, kind.asked, keep);
        let mut zones: BTreeMap<&str, [f64; BINS + 1]> = BTreeMap::new();
        for w in &open.waited[same..] {
            let zone = zones.entry(&w.zone).or_insert_with(|| match kind.zones.get(&w.zone) {
                Some(z) if by_zone => z.beside(&all, ABOVE, kind.asked, keep),
                _ => all,
            });
            let mut mass = match kind.members.get(&w.name) {
                Some(m) if by_member => m.beside(zone, ABOVE, kind.asked, keep),
                _ => *zone,
            };
            mass.iter_mut().for_each(|m| *m *= 1.0 - MAY_BE_LOST);
            mass[BINS] += MAY_BE_LOST;
            kind.laws.push((w.name.clone(), Law::from(&mass)));
        }
    }

    fn heard(&mut self, kind: u8, heard: Heard) {
        let (keep, order) = (self.keep, self.has(Feature::Order));
        let Some(kind) = self.kind(kind) else { return };
        if kind.pending.len() >= MOST_PENDING {
            kind.digest(keep, order);
        }
        kind.pending.push(heard);
    }
}

impl Deadline for Learned {
    fn until(&mut self, now: Nanos, open: &Open) -> Nanos {
        let (keep, order) = (self.keep, self.has(Feature::Order));
        if let Some(kind) = self.kind(open.kind)
            && kind.last < Some(open.asked_at)
        {
            kind.digest(keep, order);
            (kind.last, kind.scale, kind.blurred) = (Some(open.asked_at), kind.scales(), false);
            kind.asked += 1;
            kind.laws.clear();
        }
        let mut changed;
        let mut open = open;
        if !self.has(Feature::Lives) || !self.has(Feature::Weight) {
            changed = open.clone();
            for w in &mut changed.waited {
                w.lives = if self.has(Feature::Lives) { w.lives } else { 1.0 };
                w.weight = if self.has(Feature::Weight) { w.weight } else { 1.0 };
            }
            open = &changed;
        }
        self.laws(open);
        let worth = self.settings.worth(open.kind);
        let Some(kind) = self.kinds.get_mut(&open.kind) else {
            // One kind too many: by the first guess.
            let law = Kind::new(worth).law(keep);
            return decide_by(worth, now, open, &vec![&law; open.waited.len()]);
        };
        let mut laws: Vec<&Law> = kind.laws.iter().map(|l| &l.1).collect();
        let mut mixed: Vec<(usize, Law)> = Vec::new();
        if order {
            let (zones, scale) = scales(now, open, &laws, &kind.scales());
            kind.scale = scale;
            for (i, w) in open.waited.iter().enumerate().filter(|(_, w)| w.arrived.is_none()) {
                if let Some(of) = zones.get(&w.zone)
                    && of.iter().any(|s| s.0 != 0)
                {
                    mixed.push((i, laws[i].mixed(of)));
                }
            }
        }
        mixed.iter().for_each(|(i, law)| laws[*i] = law);
        let until = decide_by(worth, now, open, &laws);
        kind.span = until.saturating_sub(open.asked_at);
        until
    }

    fn arrived(&mut self, kind: u8, name: &str, zone: &str, took: Nanos, own_delay: Nanos) {
        let own = self.has(Feature::Own) && own_delay.saturating_mul(LATE) > took;
        let in_time = self.kinds.get(&kind).is_none_or(|k| took <= k.span);
        if own {
            self.kind(kind).into_iter().for_each(|k| k.blurred = true);
        } else if in_time || self.has(Feature::Late) {
            let (name, zone) = (name.to_owned(), zone.to_owned());
            self.heard(kind, Heard { name, zone, took, in_time, never: false });
        }
    }

    fn missed(&mut self, kind: u8, name: &str, zone: &str, after: Nanos) {
        let (name, zone) = (name.to_owned(), zone.to_owned());
        self.heard(kind, Heard { name, zone, took: after, in_time: false, never: true });
    }
}

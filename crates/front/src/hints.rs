//! What a player's hints are taken for: which rungs its viewer can use, which of a manifest's renditions it is offered,
//! and what the decision module is told of its play. Decisions of their own, free of I/O and clock.

use micadyke::interface::{ReportKind, Rung};
use micadyke_cmcd::Cmcd;

/// The ladder as bits a second.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ladder(Vec<u64>);

/// A rendition's stated peak may lie so far above the rung that it was made for.
const PEAK: f64 = 1.1;

impl Ladder {
    /// From rates in kB a second, lowest first, and the class's scale.
    pub fn new(rates: impl Iterator<Item = f64>, scale: f64) -> Self {
        Ladder(rates.map(|r| (r * scale * 8_000.0).round() as u64).collect())
    }

    /// A rung's rate in bits a second; above the ladder: that of its top.
    pub fn rate(&self, rung: Rung) -> u64 {
        self.0.get(rung).or(self.0.last()).copied().unwrap_or(0)
    }

    /// The lowest rung that carries a rendition; `None`: none does.
    pub fn rung(&self, rate: u64) -> Option<Rung> {
        self.0.iter().position(|r| *r as f64 * PEAK >= rate as f64)
    }

    /// The highest rung that a viewer can use by what its player tells: the throughput that it measured (`mtp`), the
    /// best that it would ask for (`tb`), both in kbit/s; what it asks for already (`br`) it can use. Without hints: all.
    pub fn top(&self, told: &Cmcd) -> Rung {
        let most = [told.integer("mtp"), told.integer("tb")].into_iter().flatten().min();
        let highest = self.0.len().saturating_sub(1);
        let Some(most) = most.map(|kbit| kbit.saturating_mul(1_000)) else { return highest };
        let fits = self.0.iter().rposition(|r| *r <= most).unwrap_or(0);
        let asked = told.integer("br").and_then(|kbit| self.rung(kbit.saturating_mul(1_000))).unwrap_or(0);
        fits.max(asked)
    }

    /// Which of the renditions at these rates are offered to a session that may play from `floor` to `top`. Where none
    /// lies between, it is the best of those beneath; a manifest that has only better ones offers the least of them.
    pub fn keep(&self, offered: &[u64], floor: Rung, top: Rung) -> Vec<bool> {
        let rung = |rate: &u64| self.rung(*rate).unwrap_or(usize::MAX);
        let fits: Vec<bool> = offered.iter().map(|r| (floor..=top).contains(&rung(r))).collect();
        if fits.contains(&true) {
            return fits;
        }
        let beneath = offered.iter().filter(|r| rung(r) <= top).max();
        let one = beneath.or_else(|| offered.iter().min());
        offered.iter().map(|r| Some(r) == one).collect()
    }
}

/// What has been heard of one play.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Hints {
    /// The best throughput that its player measured, kbit/s: what its own way can carry.
    best: u64,
    /// It was told of as short.
    short: bool,
    rung: Option<Rung>,
}

impl Hints {
    /// Hears a request's or report's hints; the notes that they make for the module.
    ///
    /// Its rung is that of the video that it asks for, but for the first seconds, in which players climb. A play that
    /// starves (`bs`) is short of its rate by what it measures (`mtp`) over that, but only where it once measured
    /// enough: a viewer whose own way is narrow says nothing of its box. It is short no more when it asks with a buffer
    /// (`bl`) and did not starve.
    pub fn heard(&mut self, told: &Cmcd, ladder: &Ladder) -> Vec<(ReportKind, f64)> {
        let mut notes = Vec::new();
        let measured = told.integer("mtp").unwrap_or(0);
        let once = self.best;
        self.best = once.max(measured);
        let video = matches!(told.text("ot"), Some("v" | "av"));
        let rate = told.integer("br").filter(|r| video && *r > 0);
        let rung = rate.and_then(|r| ladder.rung(r.saturating_mul(1_000)));
        if rung.is_some() && rung != self.rung && !told.flag("su") {
            self.rung = rung;
            notes.extend(rung.map(|r| (ReportKind::RungInForce, r as f64)));
        }
        if told.flag("bs") {
            if let Some(rate) = rate.filter(|r| once >= *r && measured > 0 && measured < *r) {
                self.short = true;
                notes.push((ReportKind::Delivered, measured as f64 / rate as f64));
            }
        } else if self.short && told.integer("bl").is_some_and(|b| b > 0) {
            self.short = false;
            notes.push((ReportKind::Delivered, 1.0));
        }
        notes
    }
}

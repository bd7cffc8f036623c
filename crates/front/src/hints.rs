//! What a player's hints are taken for: which rungs its viewer can use, which of a manifest's renditions it is offered,
//! and what the decision module is told of its play. Decisions of their own, free of I/O and clock.

use micadyke::interface::{NoteKind, Rung};
use micadyke_cmcd::Cmcd;

/// The ladder as bits a second.
pub(crate) struct Ladder(Vec<u64>);

/// A rendition's stated peak may lie so far above the rung that it was made for.
const PEAK: f64 = 1.1;

impl Ladder {
    /// From rates in kB a second, lowest first, and the class's scale.
    pub(crate) fn new(rates: impl Iterator<Item = f64>, scale: f64) -> Self {
        Ladder(rates.map(|r| (r * scale * 8_000.0).round() as u64).collect())
    }

    /// A rung's rate in bits a second; above the ladder: that of its top.
    pub(crate) fn rate(&self, rung: Rung) -> u64 {
        self.0.get(rung).or(self.0.last()).copied().unwrap_or(0)
    }

    /// The lowest rung that carries a rendition; `None`: none does.
    pub(crate) fn rung(&self, rate: u64) -> Option<Rung> {
        self.0.iter().position(|r| *r as f64 * PEAK >= rate as f64)
    }

    /// The highest rung that a viewer can use by what its player tells: the throughput that it measured (`mtp`), the
    /// best that it would ask for (`tb`), both in kbit/s; what it asks for already (`br`) it can use. Without hints: all.
    pub(crate) fn top(&self, told: &Cmcd) -> Rung {
        let most = [told.integer("mtp"), told.integer("tb")].into_iter().flatten().min();
        let highest = self.0.len().saturating_sub(1);
        let Some(most) = most.map(|kbit| kbit.saturating_mul(1_000)) else { return highest };
        let fits = self.0.iter().rposition(|r| *r <= most).unwrap_or(0);
        let asked = told.integer("br").and_then(|kbit| self.rung(kbit.saturating_mul(1_000))).unwrap_or(0);
        fits.max(asked)
    }

    /// Which of the renditions at these rates are offered to a session that may play from `floor` to `top`. Where none
    /// lies between, it is the best of those beneath; a manifest that has only better ones offers the least of them.
    pub(crate) fn keep(&self, offered: &[u64], floor: Rung, top: Rung) -> Vec<bool> {
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
pub(crate) struct Hints {
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
    pub(crate) fn heard(&mut self, told: &Cmcd, ladder: &Ladder) -> Vec<(NoteKind, f64)> {
        let mut notes = Vec::new();
        let measured = told.integer("mtp").unwrap_or(0);
        let once = self.best;
        self.best = once.max(measured);
        let video = matches!(told.text("ot"), Some("v" | "av"));
        let rate = told.integer("br").filter(|r| video && *r > 0);
        let rung = rate.and_then(|r| ladder.rung(r.saturating_mul(1_000)));
        if rung.is_some() && rung != self.rung && !told.flag("su") {
            self.rung = rung;
            notes.extend(rung.map(|r| (NoteKind::RungInForce, r as f64)));
        }
        if told.flag("bs") {
            if let Some(rate) = rate.filter(|r| once >= *r && measured > 0 && measured < *r) {
                self.short = true;
                notes.push((NoteKind::Delivered, measured as f64 / rate as f64));
            }
        } else if self.short && told.integer("bl").is_some_and(|b| b > 0) {
            self.short = false;
            notes.push((NoteKind::Delivered, 1.0));
        }
        notes
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn ladder() -> Ladder {
        // 800, 2400 and 7200 kbit/s.
        Ladder::new([100.0, 300.0, 900.0].into_iter(), 1.0)
    }

    #[test]
    fn what_a_viewer_can_use() {
        let table = [
            ("", 2),
            ("mtp=100", 0),
            ("mtp=2400", 1),
            ("mtp=90000,tb=2000", 0),
            ("tb=7200", 2),
            ("mtp=500,br=2400", 1),
            ("br=800", 2),
        ];
        for (told, top) in table {
            assert_eq!(ladder().top(&Cmcd::parse(told)), top, "{told}");
        }
    }

    #[test]
    fn renditions_by_table() {
        let all = [790_000, 850_000, 2_400_000, 9_000_000];
        let table = [
            (0, 0, [true, true, false, false]),
            (0, 2, [true, true, true, false]),
            (1, 2, [false, false, true, false]),
            (2, 2, [false, false, true, false]),
        ];
        for (floor, top, kept) in table {
            assert_eq!(ladder().keep(&all, floor, top), kept, "{floor} to {top}");
        }
        assert_eq!(ladder().keep(&[9_000_000, 8_500_000], 0, 2), [false, true], "only better ones");
        assert!(ladder().keep(&[], 0, 2).is_empty());
    }

    #[test]
    fn notes_by_history() {
        let mut hints = Hints::default();
        let steps: [(&str, &[(NoteKind, f64)]); 9] = [
            ("ot=v,br=800,su,mtp=9000", &[]),
            ("ot=v,br=800,mtp=9000,bl=4000", &[(NoteKind::RungInForce, 0.0)]),
            ("ot=a,br=128,bs,mtp=50", &[]),
            ("ot=v,br=2400,mtp=1200,bs", &[(NoteKind::RungInForce, 1.0), (NoteKind::Delivered, 0.5)]),
            ("ot=v,br=2400,bs", &[]),
            ("ot=v,br=2400,bl=0", &[]),
            ("ot=v,br=2400,bl=900", &[(NoteKind::Delivered, 1.0)]),
            ("ot=v,br=2400,bl=900", &[]),
            ("", &[]),
        ];
        for (told, notes) in steps {
            assert_eq!(hints.heard(&Cmcd::parse(told), &ladder()), notes, "{told}");
        }
        let mut narrow = Hints::default();
        assert_eq!(
            narrow.heard(&Cmcd::parse("ot=v,br=2400,mtp=900,bs,su"), &ladder()),
            [],
            "its own way is narrow"
        );
    }

    proptest! {
        #[test]
        fn one_rendition_at_least_and_none_better_where_one_fits(
            offered in prop::collection::vec(1u64..20_000_000, 1..20), floor in 0usize..3, above in 0usize..3,
        ) {
            let (l, top) = (ladder(), (floor + above).min(2));
            let kept = l.keep(&offered, floor, top);
            prop_assert!(kept.contains(&true));
            let any = offered.iter().any(|r| l.rung(*r).is_some_and(|n| n <= top));
            for (rate, kept) in offered.iter().zip(kept) {
                prop_assert!(!kept || !any || l.rung(*rate).is_some_and(|n| n <= top));
            }
        }
    }
}

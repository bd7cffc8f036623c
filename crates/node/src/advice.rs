//! Advice to a crowd while its node comes back: the module knows no server then and refuses each viewer, with the same
//! advice to all. Told to all at once, they would all come back in the same second.

use micadyke::interface::{Action, Event, Nanos, Settings};
use micadyke::module::Decide;
use micadyke_recovery::record::StoredState;
use micadyke_recovery::retry_spreader::{RetrySpreader, sustainable_rate};

/// A decision module whose advice is spread until it is told of servers.
#[derive(Debug)]
pub struct Advised<D> {
    module: D,
    spread: Option<RetrySpreader>,
}

impl<D> Advised<D> {
    /// The module as it is; with what was kept its first advice is spread, where clients may be advised at all.
    pub fn new(module: D, settings: &Settings, kept: Option<&StoredState>) -> Self {
        let spread = kept.filter(|_| settings.advises_retry).map(|kept| {
            let servers = kept.list.as_ref().map_or(settings.cells as usize, |l| l.3.len()).max(1);
            // Which kind each was is not kept: the smallest bears the least.
            let each = settings.streams_by_kind.iter().min().copied().unwrap_or(1);
            let part = 1.0 / f64::from(settings.fronts.max(1));
            let rate = sustainable_rate(
                servers as f64 * f64::from(each),
                settings.cold_from,
                settings.cold_for,
                part,
            );
            RetrySpreader::new(rate, settings.max_retry_after)
        });
        Advised { module, spread }
    }
}

impl<D: Decide> Decide for Advised<D> {
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        // Its first list begins its service.
        if matches!(event, Event::List { .. }) {
            self.spread = None;
        }
        let from = out.len();
        self.module.handle(now, event, out);
        let Some(spread) = &mut self.spread else { return };
        for action in &mut out[from..] {
            if let Action::Refuse { retry_after, .. } = action {
                *retry_after = spread.advise(now);
            }
        }
    }
}

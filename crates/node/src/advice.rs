//! Spreads the retry delays of refusals during recovery.
//!
//! The module has no servers then and refuses every viewer with the same delay, so all of them would retry within the same
//! second.

use micadyke::interface::{Action, Event, Nanos, Settings};
use micadyke::module::Decide;
use micadyke_recovery::record::StoredState;
use micadyke_recovery::retry_spreader::{RetrySpreader, sustainable_rate};

/// A decision module whose retry delays are spread until it receives a list of servers.
#[derive(Debug)]
pub struct SpreadAdvice<D> {
    module: D,
    spreader: Option<RetrySpreader>,
}

impl<D> SpreadAdvice<D> {
    /// Wraps a module. With a stored state and if the settings allow retry delays, they are spread at first.
    pub fn new(module: D, settings: &Settings, stored: Option<&StoredState>) -> Self {
        let spreader = stored.filter(|_| settings.advises_retry).map(|stored| {
            let servers = stored.list.as_ref().map_or(settings.cells as usize, |l| l.3.len()).max(1);
            // The kinds of the servers are not stored: the smallest capacity is assumed.
            let min_streams = settings.streams_by_kind.iter().min().copied().unwrap_or(1);
            let share = 1.0 / f64::from(settings.fronts.max(1));
            let rate = sustainable_rate(
                servers as f64 * f64::from(min_streams),
                settings.cold_from,
                settings.cold_for,
                share,
            );
            RetrySpreader::new(rate, settings.max_retry_after)
        });
        SpreadAdvice { module, spreader }
    }
}

impl<D: Decide> Decide for SpreadAdvice<D> {
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        // Service starts with the first list.
        if matches!(event, Event::List { .. }) {
            self.spreader = None;
        }
        let first = out.len();
        self.module.handle(now, event, out);
        let Some(spreader) = &mut self.spreader else { return };
        for action in &mut out[first..] {
            if let Action::Refuse { retry_after, .. } = action {
                *retry_after = spreader.advise(now);
            }
        }
    }
}

//! The decision module as a trait, so that programs can run another implementation in its place.

use crate::decide::Controller;
use crate::interface::{Action, Event, Nanos};

/// Handles the events of a front. Programs run [`Controller`]; tests replace it with implementations that record events
/// or inject faults.
///
/// ```
/// use micadyke::interface::{Action, Event, Nanos, SessionId};
/// use micadyke::module::Decide;
///
/// /// Counts the events and takes no action.
/// struct EventCounter(usize);
/// impl Decide for EventCounter {
///     fn handle(&mut self, _: Nanos, _: Event, _: &mut Vec<Action>) {
///         self.0 += 1;
///     }
/// }
/// let (mut counter, mut out) = (EventCounter(0), Vec::new());
/// counter.handle(1_000_000_000, Event::Started { session: SessionId(1) }, &mut out);
/// assert_eq!((counter.0, out.len()), (1, 0));
/// ```
pub trait Decide {
    /// Handles one event at time `now` and appends the resulting actions to `out`.
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>);
}

impl Decide for Controller {
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        Controller::handle(self, now, event, out);
    }
}

//! The decision module as the programs around it see it: any that takes the interface's events.

use crate::decide::Controller;
use crate::interface::{Action, Event, Nanos};

/// The decision module as a program's core sees it. Programs run [`Controller`]; tests put in its place what listens, and
/// what is broken on purpose.
///
/// ```
/// use micadyke::interface::{Action, Event, Nanos, SessionId};
/// use micadyke::module::Decide;
///
/// /// Counts what it is told, and does nothing.
/// struct Ear(usize);
/// impl Decide for Ear {
///     fn handle(&mut self, _: Nanos, _: Event, _: &mut Vec<Action>) {
///         self.0 += 1;
///     }
/// }
/// let (mut ear, mut out) = (Ear(0), Vec::new());
/// ear.handle(1_000_000_000, Event::Started { session: SessionId(1) }, &mut out);
/// assert_eq!((ear.0, out.len()), (1, 0));
/// ```
pub trait Decide {
    /// Takes one event; what is to be done is appended to `out`.
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>);
}

impl Decide for Controller {
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        Controller::handle(self, now, event, out);
    }
}

//! A question from its first attempt to its outcome: a state machine without I/O or clock. Times are milliseconds of one
//! clock that never runs backwards.
//!
//! One attempt is out at a time: one that is given up is closed before the next goes out, and a session that its late
//! answer brings is given back.

use crate::Outcome;
use crate::retry::Rule;

/// What an attempt's answer says; `S` is the protocol's session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer<S> {
    /// It plays.
    Plays {
        /// The session.
        session: S,
        /// See [`Outcome::Plays`].
        at: String,
        /// See [`Outcome::Plays`].
        rung: u64,
    },
    /// Anything else: [`Outcome::Refused`] or [`Outcome::Failed`].
    No(Outcome),
}

/// Something that happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input<S> {
    /// The attempt's answer is there.
    Answer(Answer<S>),
    /// The attempt ended without one; `sent`: it may have been heard.
    Broke {
        /// See above.
        sent: bool,
    },
    /// The connection of an attempt that was given up is closed.
    Closed,
    /// The time asked for by [`Output::Wake`] has come; it does no harm to say so too often.
    Due,
    /// The viewer takes its question back.
    Cancel,
}

/// Something to be done, in this order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output<S> {
    /// Send the question.
    Send,
    /// Close the attempt's connection, and say [`Input::Closed`]; an answer may still come before that.
    Abort,
    /// Say [`Input::Due`] at this time; the last one asked for counts.
    Wake(u64),
    /// End a session that nobody waits for.
    GiveBack(S),
    /// The question's outcome, with the session where it plays. It comes once.
    Done(Outcome, Option<S>),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    /// An attempt is out until then.
    Out(u64),
    /// An attempt is being closed; then this is what it came to.
    Closing(Outcome),
    /// The next attempt goes out then.
    Pausing(u64),
    Over,
}

/// A question that is being asked.
#[derive(Debug, Clone)]
pub struct Asking {
    rule: Rule,
    repeatable: bool,
    patience: u64,
    /// The viewer's patience with all attempts ends then.
    until: u64,
    tries: u32,
    state: State,
}

impl Asking {
    /// Asks a question for the first time. `patience`: for each attempt's answer; `stay`: for all of it.
    pub fn begin<S>(
        rule: Rule, repeatable: bool, patience: u64, stay: u64, now: u64, out: &mut Vec<Output<S>>,
    ) -> Self {
        let until = now.saturating_add(stay);
        let mut asking = Asking { rule, repeatable, patience, until, tries: 0, state: State::Over };
        asking.send(now, out);
        asking
    }

    /// Times that it was asked.
    pub fn tries(&self) -> u32 {
        self.tries
    }

    /// Whether it has its outcome.
    pub fn is_over(&self) -> bool {
        self.state == State::Over
    }

    fn send<S>(&mut self, now: u64, out: &mut Vec<Output<S>>) {
        self.tries += 1;
        let due = now.saturating_add(self.patience);
        self.state = State::Out(due);
        out.push(Output::Send);
        out.push(Output::Wake(due));
    }

    fn done<S>(&mut self, outcome: Outcome, session: Option<S>, out: &mut Vec<Output<S>>) {
        self.state = State::Over;
        out.push(Output::Done(outcome, session));
    }

    /// An attempt is over; the next one, or the outcome.
    fn ended<S>(&mut self, now: u64, outcome: Outcome, out: &mut Vec<Output<S>>) {
        let left = self.until.saturating_sub(now);
        match self.rule.again(&outcome, self.repeatable, self.tries, left) {
            Some(wait) => {
                let due = now.saturating_add(wait);
                self.state = State::Pausing(due);
                out.push(Output::Wake(due));
            }
            None => self.done(outcome, None, out),
        }
    }

    /// Takes an input; what is to be done is appended to `out`.
    pub fn handle<S>(&mut self, now: u64, input: Input<S>, out: &mut Vec<Output<S>>) {
        match (self.state.clone(), input) {
            (State::Out(_), Input::Answer(Answer::Plays { session, at, rung })) => {
                self.done(Outcome::Plays { at, rung }, Some(session), out);
            }
            (State::Out(_), Input::Answer(Answer::No(outcome))) => self.ended(now, outcome, out),
            (State::Out(_), Input::Broke { sent }) => {
                self.ended(now, if sent { Outcome::NotKnown } else { Outcome::NotSent }, out);
            }
            (State::Out(due), Input::Due) if due <= now => {
                self.state = State::Closing(Outcome::NotKnown);
                out.push(Output::Abort);
            }
            (State::Out(_), Input::Cancel) => {
                self.state = State::Closing(Outcome::Cancelled);
                out.push(Output::Abort);
            }
            // What comes while it is given up is for nobody; the attempt is closed with it.
            (State::Closing(outcome), Input::Answer(answer)) => {
                if let Answer::Plays { session, .. } = answer {
                    out.push(Output::GiveBack(session));
                }
                self.ended(now, outcome, out);
            }
            (State::Closing(outcome), Input::Closed | Input::Broke { .. }) => self.ended(now, outcome, out),
            (State::Closing(_), Input::Cancel) => self.state = State::Closing(Outcome::Cancelled),
            (State::Pausing(due), Input::Due) if due <= now => self.send(now, out),
            (State::Pausing(_), Input::Cancel) => self.done(Outcome::Cancelled, None, out),
            // Over already: a session that comes now was not waited for.
            (State::Over, Input::Answer(Answer::Plays { session, .. })) => {
                out.push(Output::GiveBack(session))
            }
            _ => {}
        }
    }
}

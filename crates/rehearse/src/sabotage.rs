//! Fronts broken on purpose, one for each rule: the judge must see each of them.

use micadyke::decide::Controller;
use micadyke::interface::{Action, Effect, Event, Nanos, ServerState, Settings};
use micadyke::module::Decide;
use micadyke_config::Config;
use micadyke_front::Front;
use std::rc::Rc;

/// What is broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Break {
    /// Rule 1: refusals and failures are never told.
    Answers,
    /// Rule 2: the next attempt goes out while the last one is.
    Overlap,
    /// Rule 2: classes that must be set up once are set up again.
    Twice,
    /// Rule 3: boxes that drain or are gone count as ready.
    Drains,
    /// Rule 4: started boxes count as warm.
    Cold,
    /// Rule 5: every session plays at the lowest rung.
    Floors,
    /// Rule 5: seats are not counted.
    Seats,
    /// Rule 5: boxes are told no end of a seat, so that a front that is stopped overruns it.
    Bound,
    /// Rule 6: the budget of further attempts is not kept.
    Budget,
}

impl Break {
    /// All of them.
    pub const ALL: [Break; 9] = [
        Break::Answers,
        Break::Overlap,
        Break::Twice,
        Break::Drains,
        Break::Cold,
        Break::Floors,
        Break::Seats,
        Break::Bound,
        Break::Budget,
    ];

    /// By its name in lower case, as on the command line.
    pub fn named(word: &str) -> Option<Self> {
        Break::ALL.into_iter().find(|b| format!("{b:?}").eq_ignore_ascii_case(word))
    }

    /// The rule that it breaks, from 1.
    pub fn rule(self) -> usize {
        match self {
            Break::Answers => 1,
            Break::Overlap | Break::Twice => 2,
            Break::Drains => 3,
            Break::Cold => 4,
            Break::Floors | Break::Seats | Break::Bound => 5,
            Break::Budget => 6,
        }
    }
}

struct Broken {
    inner: Controller,
    how: Break,
}

impl Decide for Broken {
    fn handle(&mut self, now: Nanos, mut event: Event, out: &mut Vec<Action>) {
        if let Event::List { entries, .. } = &mut event {
            for e in entries {
                match self.how {
                    Break::Drains => e.state = ServerState::Ready,
                    Break::Cold => e.started_at = 0,
                    _ => {}
                }
            }
        }
        let mut actions = Vec::new();
        // A reset tells the module that a box may come back cold; this front does not listen to that either.
        if let (Break::Cold, Event::Ended { outcome, .. }) = (self.how, &mut event)
            && *outcome == micadyke::interface::Outcome::Reset
        {
            *outcome = micadyke::interface::Outcome::Error;
        }
        self.inner.handle(now, event, &mut actions);
        for mut action in actions {
            match (self.how, &mut action) {
                (Break::Answers, Action::Refuse { .. } | Action::Fail { .. }) => continue,
                (Break::Floors, Action::SetRung { rung, .. }) => *rung = 0,
                _ => {}
            }
            out.push(action);
        }
    }
}

/// A front that is broken so.
pub fn broken(config: &Rc<Config>, how: Break, seed: [u8; 32], now: Nanos) -> Front {
    let mut config = config.clone();
    if how == Break::Seats {
        // Nor does it ask the issuer.
        Rc::make_mut(&mut config).classes.iter_mut().for_each(|c| c.tokens = None);
    }
    let mut s: Settings = config.settings.clone();
    if how == Break::Floors {
        // Nor does it know the floor when it writes manifests.
        Rc::make_mut(&mut config).settings.classes.iter_mut().for_each(|c| c.floor = 0);
    }
    match how {
        Break::Twice => s.classes.iter_mut().for_each(|c| c.effect = Effect::Idempotent),
        Break::Seats => s.classes.iter_mut().for_each(|c| c.seats = 0),
        Break::Budget => s.retry_budget = None,
        _ => {}
    }
    let inner = Controller::new(s, u64::from_le_bytes(seed[..8].try_into().unwrap_or_default()), now);
    let inner = inner.expect("settings were checked");
    let mut front = Front::with_module(config.clone(), Box::new(Broken { inner, how }), seed, now);
    match how {
        Break::Overlap => front.break_overlap(),
        Break::Drains => front.break_list(),
        _ => {}
    }
    front
}

//! In which order service returns: a state machine without I/O or clock. Each phase has a condition and a limit; nothing is
//! waited for beyond it. Phases only go forward: a second cut is another process.
//!
//! | phase | waits for | limit |
//! | --- | --- | --- |
//! | `List` | a list by the bus's own word, or a newer one than the kept | [`Limits::list`] |
//! | `View` | a settled view in which a member lives that lived before the cut, or more than half of those before | [`Limits::view`] |
//! | `Servers` | where all fell: an answer, or none, of the servers that were asked | [`Limits::servers`] |
//! | `Parts` | where all fell and parts are leased: a lease | [`Limits::parts`] |
//! | `Serving` | - | - |
//!
//! Before `Serving` the decision module knows of no server, so that it refuses each request at once, with its advice, and
//! the platform's test fails. What it is told then: the list, and how old starts may be taken ([`Serve::warm`]).

use crate::Nanos;
use crate::record::Kept;
use crate::trust::{Age, Fact, Fell, Trust, Word, trust};
use crate::watched::{Stage, Watched};
use std::collections::BTreeMap;

/// A member whose start is this much before one's own lived through whatever ended one's former process, where one has kept
/// nothing: starts are Unix time in milliseconds, as far as clocks go right. Longer than a whole fleet takes to start.
pub const STOOD_MS: u64 = 120_000;

/// How long each phase may last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Waiting for a list.
    pub list: Nanos,
    /// Waiting for the view.
    pub view: Nanos,
    /// Waiting for servers.
    pub servers: Nanos,
    /// Waiting for a part.
    pub parts: Nanos,
}

/// Where recovery stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// No list that may be gone by.
    List,
    /// It is not known who is there.
    View,
    /// It is not known which servers live.
    Servers,
    /// It is not known what may be sent to cold servers.
    Parts,
    /// In service.
    Serving,
}

/// Something that was heard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Heard<'a> {
    /// A member lives, under this start.
    Lives {
        /// Its name.
        name: &'a str,
        /// Its start.
        start: u64,
    },
    /// A member is gone.
    Gone {
        /// Its name.
        name: &'a str,
    },
    /// The view is settled, or no longer.
    Settled(bool),
    /// A list of this version stands by the bus's own word.
    List {
        /// The version.
        version: u64,
    },
    /// All servers that were asked have answered, or will not.
    Answered,
    /// A part of the cold budgets is leased.
    Leased,
    /// Time has passed.
    Wake,
}

/// What the view of the fleet tells, as it is handed from its side to recovery's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fleet {
    /// A member lives, under this start.
    Lives(String, u64),
    /// A member is gone.
    Gone(String),
    /// The view is settled, or no longer.
    Settled(bool),
    /// A part of the cold budgets is leased.
    Leased,
}

impl Fleet {
    /// The same, to be handed to [`Phases::handle`].
    pub fn heard(&self) -> Heard<'_> {
        match self {
            Fleet::Lives(name, start) => Heard::Lives { name, start: *start },
            Fleet::Gone(name) => Heard::Gone { name },
            Fleet::Settled(settled) => Heard::Settled(*settled),
            Fleet::Leased => Heard::Leased,
        }
    }
}

/// What recovery asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asks {
    /// Ask some of the servers whether they live; [`Heard::Answered`] follows.
    Servers,
    /// Go into service.
    Serve(Serve),
}

/// On what terms service begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Serve {
    /// Starts that the list tells of may be gone by; else each server counts as started now.
    pub warm: bool,
    /// What fell.
    pub fell: Fell,
}

/// The phases of one process.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Phases {
    limits: Limits,
    me: String,
    /// This process's own start, in milliseconds of Unix time where clocks go right.
    start: u64,
    /// Name and start of those that lived before.
    before: BTreeMap<String, u64>,
    kept_list: u64,
    warmth_late: bool,
    leases: bool,
    alone: bool,
    phase: Phase,
    since: Nanos,
    living: BTreeMap<String, u64>,
    settled: bool,
    list: Option<u64>,
    answered: bool,
    leased: bool,
    watched: Watched,
    /// A limit was reached on the way.
    pub limited: bool,
}

impl Phases {
    /// The phases of a process that starts with what was kept. `leases`: parts of cold budgets are leased here; `alone`: no
    /// membership is named, so that there is no view to wait for.
    pub fn new(
        limits: Limits, me: (&str, u64), kept: &Kept, unix: Nanos, leases: bool, alone: bool, now: Nanos,
    ) -> Self {
        let view = kept.view.as_ref();
        // Whom to ask is a hint at any age: see the table.
        let before =
            view.filter(|_| trust(Fact::View, Age::Unknown, Fell::Unknown, Word::Nothing) != Trust::Void);
        let before = before.map(|v| v.1.clone()).unwrap_or_default();
        let written = kept.list.as_ref().map_or(0, |l| l.2);
        let warmth = trust(Fact::Warmth, Age::of(written, unix), Fell::Some, Word::Nothing);
        let phases = Phases {
            limits,
            me: me.0.to_owned(),
            start: me.1,
            before: before.into_iter().filter(|(name, _)| name != me.0).collect(),
            kept_list: kept.list.as_ref().map_or(0, |l| l.0),
            warmth_late: warmth == Trust::UntilContradicted,
            leases,
            alone,
            phase: Phase::List,
            since: now,
            living: BTreeMap::new(),
            settled: false,
            list: None,
            answered: false,
            leased: false,
            watched: kept.watched.clone(),
            limited: false,
        };
        phases.watched.tell(|| phases.stage(now));
        phases
    }

    /// Where recovery stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// What fell, by who lives that lived before.
    pub fn fell(&self) -> Fell {
        let lived = |(name, start): (&String, &u64)| match self.before.is_empty() {
            false => self.before.get(name) == Some(start),
            // Nothing is kept: a start long before one's own stands for it.
            true => start.saturating_add(STOOD_MS) < self.start,
        };
        if self.living.iter().any(lived) {
            Fell::Some
        } else if self.phase > Phase::View || self.enough() {
            Fell::All
        } else {
            Fell::Unknown
        }
    }

    /// More than half of those before are there, under whatever start.
    fn enough(&self) -> bool {
        self.settled && (self.before.is_empty() || 2 * self.back() > self.before.len())
    }

    /// How many of those before are there.
    fn back(&self) -> usize {
        self.before.keys().filter(|name| self.living.contains_key(*name)).count()
    }

    /// When [`Heard::Wake`] is due.
    pub fn wake_at(&self) -> Nanos {
        self.limit().map_or(Nanos::MAX, |limit| self.since.saturating_add(limit))
    }

    fn limit(&self) -> Option<Nanos> {
        match self.phase {
            Phase::List => Some(self.limits.list),
            Phase::View => Some(self.limits.view),
            Phase::Servers => Some(self.limits.servers),
            Phase::Parts => Some(self.limits.parts),
            Phase::Serving => None,
        }
    }

    /// Takes what was heard at time `now`; what is asked for is appended to `out`, in order.
    pub fn handle(&mut self, now: Nanos, heard: Heard, out: &mut Vec<Asks>) {
        match heard {
            Heard::Lives { name, start } if name != self.me => {
                self.living.insert(name.to_owned(), start);
            }
            Heard::Lives { .. } => {}
            Heard::Gone { name } => drop(self.living.remove(name)),
            Heard::Settled(settled) => self.settled = settled,
            Heard::List { version } => self.list = Some(self.list.map_or(version, |v| v.max(version))),
            Heard::Answered => self.answered = true,
            Heard::Leased => self.leased = true,
            Heard::Wake => {}
        }
        self.go_on(now, out);
        self.watched.tell(|| self.stage(now));
    }

    /// Goes through all phases that are over.
    fn go_on(&mut self, now: Nanos, out: &mut Vec<Asks>) {
        while self.phase < Phase::Serving {
            let over = now >= self.wake_at();
            if !self.met() && !over {
                return;
            }
            self.limited |= !self.met();
            self.phase = match self.phase {
                Phase::List => Phase::View,
                Phase::View => Phase::Servers,
                Phase::Servers => Phase::Parts,
                Phase::Parts | Phase::Serving => Phase::Serving,
            };
            self.since = now;
            match self.phase {
                Phase::Servers if !self.met() => out.push(Asks::Servers),
                Phase::Serving => out.push(Asks::Serve(self.serve())),
                _ => {}
            }
        }
    }

    fn serve(&self) -> Serve {
        let fell = self.fell();
        // Where members lived through, so did servers, for all that is known here, and the bus's word is as good as ever.
        Serve { warm: fell == Fell::Some && (self.list.is_some() || self.warmth_late), fell }
    }

    /// Whether the phase's condition is met.
    fn met(&self) -> bool {
        match self.phase {
            // A bus that comes back with an older list than was seen before has lost something: its limit is waited for.
            Phase::List => self.list.is_some_and(|v| v >= self.kept_list),
            Phase::View => self.alone || (self.settled && (self.fell() == Fell::Some || self.enough())),
            Phase::Servers => self.fell() == Fell::Some || self.answered,
            Phase::Parts => self.fell() == Fell::Some || !self.leases || self.leased,
            Phase::Serving => true,
        }
    }

    /// How far it is, for people; `now` as in [`Phases::handle`].
    pub fn stage(&self, now: Nanos) -> Stage {
        let left = if self.phase == Phase::Serving { 0 } else { self.wake_at().saturating_sub(now) };
        Stage { phase: self.phase, waits_for: self.what(), left }
    }

    /// What is waited for, for people, and until when; `now` as in [`Phases::handle`].
    pub fn waits_for(&self, now: Nanos) -> String {
        match self.phase {
            Phase::Serving => self.what(),
            _ => format!("{}; {} s at most", self.what(), self.stage(now).left.div_ceil(crate::SECOND)),
        }
    }

    fn what(&self) -> String {
        match self.phase {
            Phase::List => match self.list {
                Some(v) => format!("a list of version {} (the bus has {v})", self.kept_list),
                None => "a list from the bus".to_owned(),
            },
            Phase::View => {
                let back = self.back();
                let settled = if self.settled { "settled" } else { "not settled" };
                format!("the others: {back} of {} from before, the view is {settled}", self.before.len())
            }
            Phase::Servers => "the servers that were asked".to_owned(),
            Phase::Parts => "a lease of cold budgets".to_owned(),
            Phase::Serving => "nothing: in service".to_owned(),
        }
    }
}

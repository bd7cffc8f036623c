//! The phases of recovery after a start: a state machine without I/O or clock that determines when service begins.
//!
//! Each phase has a condition and a time limit. Phases only go forward; a second power loss starts another process.
//!
//! | phase | waits for | limit |
//! | --- | --- | --- |
//! | `List` | a server list from the bus that is at least as new as the stored one | [`Limits::list`] |
//! | `View` | a settled view with a member that survived the outage, or with more than half of the previous members | [`Limits::view`] |
//! | `Servers` | after a total outage: the probed servers have answered or timed out | [`Limits::servers`] |
//! | `Parts` | after a total outage, if shares of cold budgets are leased: a lease | [`Limits::parts`] |
//! | `Serving` | - | - |
//!
//! Before `Serving` the decision module has no servers, so that it refuses each request at once with advice to retry, and
//! the platform's health check fails. When service starts, the module gets the server list, and [`ServiceStart::warm`] tells
//! whether the listed start times can be trusted.

use crate::Nanos;
use crate::progress::{Progress, ProgressObserver};
use crate::record::StoredState;
use crate::trust::{Age, Confirmation, Fact, Outage, Trust, trust};
use std::collections::BTreeMap;

/// Without a stored view, a member whose start is this much earlier than the own one counts as a survivor of the outage, in
/// milliseconds. Start numbers are Unix times in milliseconds if clocks are right. Longer than a whole fleet takes to start.
pub const SURVIVOR_START_MARGIN_MS: u64 = 120_000;

/// The time limit of each phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Limit of [`Phase::List`].
    pub list: Nanos,
    /// Limit of [`Phase::View`].
    pub view: Nanos,
    /// Limit of [`Phase::Servers`].
    pub servers: Nanos,
    /// Limit of [`Phase::Parts`].
    pub parts: Nanos,
}

/// A phase of recovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// Waits for a usable server list.
    List,
    /// Waits for the membership view.
    View,
    /// Waits for the answers of probed servers.
    Servers,
    /// Waits for a share of the budgets of cold servers.
    Parts,
    /// Service has started.
    Serving,
}

/// An input of the phases.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecoveryInput<'a> {
    /// A member is alive.
    MemberAlive {
        /// Its name.
        name: &'a str,
        /// Its start number.
        start: u64,
    },
    /// A member is gone.
    MemberGone {
        /// Its name.
        name: &'a str,
    },
    /// Whether the view is settled.
    ViewSettled(bool),
    /// The bus has delivered a server list.
    List {
        /// Its version.
        version: u64,
    },
    /// All probed servers have answered or timed out.
    ServersAnswered,
    /// A share of the cold budgets is leased.
    ShareLeased,
    /// Time has passed; see [`RecoveryPhases::wake_at`].
    Timer,
}

/// An event of the membership, as the process passes it on to recovery.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A member is alive: its name and start number.
    Alive(String, u64),
    /// A member is gone.
    Gone(String),
    /// Whether the view is settled.
    ViewSettled(bool),
    /// A share of the cold budgets is leased.
    ShareLeased,
}

impl MembershipEvent {
    /// The event as an input of [`RecoveryPhases::handle`].
    pub fn as_input(&self) -> RecoveryInput<'_> {
        match self {
            MembershipEvent::Alive(name, start) => RecoveryInput::MemberAlive { name, start: *start },
            MembershipEvent::Gone(name) => RecoveryInput::MemberGone { name },
            MembershipEvent::ViewSettled(settled) => RecoveryInput::ViewSettled(*settled),
            MembershipEvent::ShareLeased => RecoveryInput::ShareLeased,
        }
    }
}

/// An output of the phases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecoveryOutput {
    /// Probe some of the servers; [`RecoveryInput::ServersAnswered`] is expected afterwards.
    ProbeServers,
    /// Start service.
    StartService(ServiceStart),
}

/// The conditions under which service starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceStart {
    /// The start times in the server list can be trusted; otherwise each server counts as started now.
    pub warm: bool,
    /// The extent of the outage.
    pub outage: Outage,
}

/// The recovery phases of one process.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RecoveryPhases {
    limits: Limits,
    own_name: String,
    /// The start number of this process: Unix time in milliseconds if clocks are right.
    start: u64,
    /// Names and start numbers of the members that were alive before.
    previous_members: BTreeMap<String, u64>,
    stored_list_version: u64,
    warmth_trusted: bool,
    shares_are_leased: bool,
    without_membership: bool,
    phase: Phase,
    phase_started_at: Nanos,
    alive: BTreeMap<String, u64>,
    view_settled: bool,
    list_version: Option<u64>,
    servers_answered: bool,
    share_leased: bool,
    observer: ProgressObserver,
    /// A phase has ended by its limit.
    pub limit_reached: bool,
}

impl RecoveryPhases {
    /// The phases of a process with name and start number `own`, from the stored state. `shares_are_leased`: shares of cold
    /// budgets are leased in this fleet. `without_membership`: there is no view to wait for.
    pub fn new(
        limits: Limits, own: (&str, u64), stored: &StoredState, unix: Nanos, shares_are_leased: bool,
        without_membership: bool, now: Nanos,
    ) -> Self {
        let view = stored.view.as_ref();
        // The view is a hint at any age: see the table.
        let before = view.filter(|_| {
            trust(Fact::View, Age::Unknown, Outage::Unknown, Confirmation::Unconfirmed) != Trust::Worthless
        });
        let before = before.map(|v| v.1.clone()).unwrap_or_default();
        let written = stored.list.as_ref().map_or(0, |l| l.2);
        let warmth = trust(Fact::Warmth, Age::of(written, unix), Outage::Partial, Confirmation::Unconfirmed);
        let phases = RecoveryPhases {
            limits,
            own_name: own.0.to_owned(),
            start: own.1,
            previous_members: before.into_iter().filter(|(name, _)| name != own.0).collect(),
            stored_list_version: stored.list.as_ref().map_or(0, |l| l.0),
            warmth_trusted: warmth == Trust::UntilContradicted,
            shares_are_leased,
            without_membership,
            phase: Phase::List,
            phase_started_at: now,
            alive: BTreeMap::new(),
            view_settled: false,
            list_version: None,
            servers_answered: false,
            share_leased: false,
            observer: stored.observer.clone(),
            limit_reached: false,
        };
        phases.observer.notify(|| phases.progress(now));
        phases
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The extent of the outage, judged by the members that survived.
    pub fn outage(&self) -> Outage {
        let survived = |(name, start): (&String, &u64)| match self.previous_members.is_empty() {
            false => self.previous_members.get(name) == Some(start),
            // Without a stored view, a start long before the own one shows that the member survived.
            true => start.saturating_add(SURVIVOR_START_MARGIN_MS) < self.start,
        };
        if self.alive.iter().any(survived) {
            Outage::Partial
        } else if self.phase > Phase::View || self.majority_is_back() {
            Outage::Total
        } else {
            Outage::Unknown
        }
    }

    /// Whether more than half of the previous members are back, under any start number.
    fn majority_is_back(&self) -> bool {
        self.view_settled
            && (self.previous_members.is_empty() || 2 * self.returned_members() > self.previous_members.len())
    }

    /// The number of previous members that are back.
    fn returned_members(&self) -> usize {
        self.previous_members.keys().filter(|name| self.alive.contains_key(*name)).count()
    }

    /// When [`RecoveryInput::Timer`] is due.
    pub fn wake_at(&self) -> Nanos {
        self.limit().map_or(Nanos::MAX, |limit| self.phase_started_at.saturating_add(limit))
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

    /// Handles an input at time `now` and appends the outputs to `out`, in order.
    pub fn handle(&mut self, now: Nanos, input: RecoveryInput, out: &mut Vec<RecoveryOutput>) {
        match input {
            RecoveryInput::MemberAlive { name, start } if name != self.own_name => {
                self.alive.insert(name.to_owned(), start);
            }
            RecoveryInput::MemberAlive { .. } => {}
            RecoveryInput::MemberGone { name } => drop(self.alive.remove(name)),
            RecoveryInput::ViewSettled(settled) => self.view_settled = settled,
            RecoveryInput::List { version } => {
                self.list_version = Some(self.list_version.map_or(version, |v| v.max(version)))
            }
            RecoveryInput::ServersAnswered => self.servers_answered = true,
            RecoveryInput::ShareLeased => self.share_leased = true,
            RecoveryInput::Timer => {}
        }
        self.advance(now, out);
        self.observer.notify(|| self.progress(now));
    }

    /// Leaves all phases whose condition is met or whose limit has passed.
    fn advance(&mut self, now: Nanos, out: &mut Vec<RecoveryOutput>) {
        while self.phase < Phase::Serving {
            let limit_passed = now >= self.wake_at();
            if !self.condition_met() && !limit_passed {
                return;
            }
            self.limit_reached |= !self.condition_met();
            self.phase = match self.phase {
                Phase::List => Phase::View,
                Phase::View => Phase::Servers,
                Phase::Servers => Phase::Parts,
                Phase::Parts | Phase::Serving => Phase::Serving,
            };
            self.phase_started_at = now;
            match self.phase {
                Phase::Servers if !self.condition_met() => out.push(RecoveryOutput::ProbeServers),
                Phase::Serving => out.push(RecoveryOutput::StartService(self.service_start())),
                _ => {}
            }
        }
    }

    fn service_start(&self) -> ServiceStart {
        let outage = self.outage();
        // If members survived, the servers are assumed to have survived as well, and the bus is as reliable as before.
        ServiceStart {
            warm: outage == Outage::Partial && (self.list_version.is_some() || self.warmth_trusted),
            outage,
        }
    }

    /// Whether the phase's condition is met.
    fn condition_met(&self) -> bool {
        match self.phase {
            // A bus with an older list than the stored one has lost events. Then the whole limit is waited for.
            Phase::List => self.list_version.is_some_and(|v| v >= self.stored_list_version),
            Phase::View => {
                self.without_membership
                    || (self.view_settled && (self.outage() == Outage::Partial || self.majority_is_back()))
            }
            Phase::Servers => self.outage() == Outage::Partial || self.servers_answered,
            Phase::Parts => self.outage() == Outage::Partial || !self.shares_are_leased || self.share_leased,
            Phase::Serving => true,
        }
    }

    /// The progress at time `now`, for operators.
    pub fn progress(&self, now: Nanos) -> Progress {
        let left = if self.phase == Phase::Serving { 0 } else { self.wake_at().saturating_sub(now) };
        Progress { phase: self.phase, waits_for: self.wait_description(), left }
    }

    /// Describes for operators what is waited for at time `now`, and for how long.
    pub fn waits_for(&self, now: Nanos) -> String {
        match self.phase {
            Phase::Serving => self.wait_description(),
            _ => format!(
                "{}; {} s at most",
                self.wait_description(),
                self.progress(now).left.div_ceil(crate::SECOND)
            ),
        }
    }

    fn wait_description(&self) -> String {
        match self.phase {
            Phase::List => match self.list_version {
                Some(v) => format!("a list of version {} (the bus has {v})", self.stored_list_version),
                None => "a list from the bus".to_owned(),
            },
            Phase::View => {
                let back = self.returned_members();
                let settled = if self.view_settled { "settled" } else { "not settled" };
                format!(
                    "the others: {back} of {} from before, the view is {settled}",
                    self.previous_members.len()
                )
            }
            Phase::Servers => "the servers that were asked".to_owned(),
            Phase::Parts => "a lease of cold budgets".to_owned(),
            Phase::Serving => "nothing: in service".to_owned(),
        }
    }
}

//! How far stored facts are trusted after a restart: one table by the kind of fact, its age, the extent of the outage and
//! whether others confirm it. `docs/design/recovery.md` contains the same table; a test compares them.

use crate::{Nanos, SECOND};

/// A kind of stored fact.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fact {
    /// The number of this process's start.
    Start,
    /// The servers and their addresses.
    Servers,
    /// A server was draining.
    Drain,
    /// A server was warm.
    Warmth,
    /// The members of the fleet.
    View,
    /// The epoch of shares of cold budgets.
    Epoch,
    /// A leased share of cold budgets.
    Lease,
    /// A session that played at a server.
    Session,
    /// A seat that was held.
    Seat,
}

/// All kinds of facts.
pub const ALL_FACTS: [Fact; 9] = [
    Fact::Start,
    Fact::Servers,
    Fact::Drain,
    Fact::Warmth,
    Fact::View,
    Fact::Epoch,
    Fact::Lease,
    Fact::Session,
    Fact::Seat,
];

/// The age of a fact.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Age {
    /// Written less than [`RECENT_LIMIT`] ago by a clock that was not set back.
    Recent,
    /// Written longer ago.
    Old,
    /// The clock is behind the time of writing, or before any time at which this program can have run.
    Unknown,
}

/// Age up to which a fact is recent: stored sessions, leases and lists may still be valid.
pub const RECENT_LIMIT: Nanos = 60 * SECOND;
/// Unix time (2020-01-01) before which this program can't have run. A clock with an earlier time was never set.
pub const EARLIEST_PLAUSIBLE_TIME: Nanos = 1_577_836_800 * SECOND;

impl Age {
    /// The age at `now` of a fact written `at`, both in Unix time.
    pub fn of(at: Nanos, now: Nanos) -> Age {
        match now.checked_sub(at) {
            _ if now < EARLIEST_PLAUSIBLE_TIME || at < EARLIEST_PLAUSIBLE_TIME => Age::Unknown,
            Some(age) if age < RECENT_LIMIT => Age::Recent,
            Some(_) => Age::Old,
            None => Age::Unknown,
        }
    }
}

/// The extent of the outage in which this process went down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outage {
    /// Not known yet.
    Unknown,
    /// This process and possibly others: some members survived.
    Partial,
    /// The whole fleet: no member survived.
    Total,
}

/// Whether an authority on the fact has confirmed it: the other members, the bus, the server or the issuer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Confirmation {
    /// No authority has answered.
    Unconfirmed,
    /// It is confirmed.
    Confirmed,
    /// It is contradicted.
    Contradicted,
}

/// How far a fact is trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trust {
    /// It is true.
    Certain,
    /// It is taken for true until it is contradicted.
    UntilContradicted,
    /// It says whom to ask. Nothing is sent, claimed or ended because of it.
    Hint,
    /// It is not used.
    Worthless,
}

/// A row of the table: how far a fact is trusted.
#[derive(Debug, Clone, Copy)]
pub struct TrustRule {
    /// The fact.
    pub fact: Fact,
    /// Unconfirmed, after a partial outage, if the fact is recent.
    pub partial_recent: Trust,
    /// Unconfirmed, after a partial outage, if the fact is old or of unknown age.
    pub partial_old: Trust,
    /// Unconfirmed, after a total or unknown outage, if the fact is recent.
    pub total_recent: Trust,
    /// Unconfirmed, after a total or unknown outage, if the fact is old or of unknown age.
    pub total_old: Trust,
    /// Confirmed by an authority.
    pub confirmed: Trust,
    /// The reason for the row.
    pub reason: &'static str,
}

/// The table.
pub const TABLE: [TrustRule; 9] = {
    use Trust::{Certain, Hint, UntilContradicted as Until, Worthless};
    const fn rule(fact: Fact, trust: [Trust; 5], reason: &'static str) -> TrustRule {
        let [partial_recent, partial_old, total_recent, total_old, confirmed] = trust;
        TrustRule { fact, partial_recent, partial_old, total_recent, total_old, confirmed, reason }
    }
    [
        rule(
            Fact::Start,
            [Until; 5],
            "it only increases; the other members detect a disk restored from an older copy",
        ),
        rule(
            Fact::Servers,
            [Hint, Hint, Hint, Hint, Certain],
            "a stored list says which servers to probe; an address may belong to another server by now",
        ),
        rule(
            Fact::Drain,
            [Until; 5],
            "a drained server never returns under the same start: avoiding it costs little, sending to it breaks rule 3",
        ),
        rule(
            Fact::Warmth,
            [Until, Worthless, Worthless, Worthless, Certain],
            "a server that lost power is cold, whatever the stored list says",
        ),
        rule(
            Fact::View,
            [Hint, Hint, Hint, Hint, Certain],
            "it says which members to contact, and their starts show which of them survived",
        ),
        rule(Fact::Epoch, [Until; 5], "its number only increases"),
        rule(
            Fact::Lease,
            [Worthless; 5],
            "a restarted process has forgotten its promises, so it has no share",
        ),
        rule(
            Fact::Session,
            [Hint, Hint, Hint, Worthless, Certain],
            "its server is queried before the session is changed or ended",
        ),
        rule(
            Fact::Seat,
            [Hint, Hint, Hint, Worthless, Certain],
            "the issuer has gone on counting; without its confirmation no seat is claimed",
        ),
    ]
};

/// How far a fact is trusted.
pub fn trust(fact: Fact, age: Age, outage: Outage, confirmation: Confirmation) -> Trust {
    let rule = TABLE.iter().find(|l| l.fact == fact);
    let Some(rule) = rule else { return Trust::Worthless };
    match (confirmation, outage, age) {
        // A contradiction is newer than anything stored.
        (Confirmation::Contradicted, _, _) => Trust::Worthless,
        (Confirmation::Confirmed, _, _) => rule.confirmed,
        (Confirmation::Unconfirmed, Outage::Partial, Age::Recent) => rule.partial_recent,
        (Confirmation::Unconfirmed, Outage::Partial, _) => rule.partial_old,
        (Confirmation::Unconfirmed, _, Age::Recent) => rule.total_recent,
        (Confirmation::Unconfirmed, _, _) => rule.total_old,
    }
}

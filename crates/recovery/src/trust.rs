//! What is trusted of what was kept: one table, by the kind of fact, by whether its age can be known, by what was lost, and
//! by what the others say. `docs/design/recovery.md` shows the same table; a test compares them.

use crate::{Nanos, SECOND};

/// A kind of fact from before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fact {
    /// The number of this process's starts.
    Start,
    /// Which servers there are, and where.
    Servers,
    /// A server took nothing new.
    Drain,
    /// A server was warm.
    Warmth,
    /// Who was in the fleet.
    View,
    /// The number of the epoch of parts.
    Epoch,
    /// A part that was leased.
    Lease,
    /// A session that played at a server.
    Session,
    /// A seat that was held.
    Seat,
}

/// All of them.
pub const FACTS: [Fact; 9] = [
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

/// How old a fact is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Age {
    /// Written less than [`LATE`] ago by a clock that did not go back.
    Late,
    /// Longer ago.
    Old,
    /// The clock went back behind what was written, or stands before any time at which this program can have run.
    Unknown,
}

/// A fact is late for so long: sessions, leases and lists of before may still stand.
pub const LATE: Nanos = 60 * SECOND;
/// No program of this kind ran before this Unix time (2020-01-01): a clock that says so was never set.
pub const SET: Nanos = 1_577_836_800 * SECOND;

impl Age {
    /// The age of what was written `at`, both in Unix time.
    pub fn of(at: Nanos, now: Nanos) -> Age {
        match now.checked_sub(at) {
            _ if now < SET || at < SET => Age::Unknown,
            Some(age) if age < LATE => Age::Late,
            Some(_) => Age::Old,
            None => Age::Unknown,
        }
    }
}

/// What fell with this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Fell {
    /// Nobody can say yet.
    Unknown,
    /// This process, perhaps some others: members that were there before live on.
    Some,
    /// All: nobody lives that was there before.
    All,
}

/// What whoever can know says of a fact: the others, the bus, the server, the issuer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Word {
    /// Nobody has said anything.
    Nothing,
    /// It is so.
    Agrees,
    /// It is not so.
    Contradicts,
}

/// What a fact is good for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trust {
    /// It is so.
    True,
    /// It is taken for so until somebody says otherwise.
    UntilContradicted,
    /// Whom to ask: nothing is sent, claimed or ended for it.
    Hint,
    /// Nothing.
    Void,
}

/// A line of the table: what a fact is good for while nobody said anything.
#[derive(Debug, Clone, Copy)]
pub struct Line {
    /// The fact.
    pub fact: Fact,
    /// This process fell alone or with some, and the fact is late.
    pub some_late: Trust,
    /// The same, and the fact is old or of unknown age.
    pub some_old: Trust,
    /// All fell, or nobody can say; the fact is late.
    pub all_late: Trust,
    /// The same, and the fact is old or of unknown age.
    pub all_old: Trust,
    /// With the word of whoever can know: that it is so.
    pub agreed: Trust,
    /// Why.
    pub why: &'static str,
}

/// The table.
pub const TABLE: [Line; 9] = {
    use Trust::{Hint, True, UntilContradicted as Until, Void};
    const fn of(fact: Fact, good: [Trust; 5], why: &'static str) -> Line {
        let [some_late, some_old, all_late, all_old, agreed] = good;
        Line { fact, some_late, some_old, all_late, all_old, agreed, why }
    }
    [
        of(Fact::Start, [Until; 5], "it only grows; an older copy of the disk is found out by the others"),
        of(
            Fact::Servers,
            [Hint, Hint, Hint, Hint, True],
            "a list kept says whom to ask; an address may be another's by now",
        ),
        of(
            Fact::Drain,
            [Until; 5],
            "an id never comes back to life under its start: staying away costs little, sending breaks rule 3",
        ),
        of(
            Fact::Warmth,
            [Until, Void, Void, Void, True],
            "a server that lost power is cold, whatever the list of before says",
        ),
        of(
            Fact::View,
            [Hint, Hint, Hint, Hint, True],
            "whom to call, and by whose starts it shows who lived through",
        ),
        of(Fact::Epoch, [Until; 5], "its number only grows"),
        of(Fact::Lease, [Void; 5], "whoever starts has forgotten what it promised, and so has nothing"),
        of(
            Fact::Session,
            [Hint, Hint, Hint, Void, True],
            "its server is asked before anything is done to it",
        ),
        of(
            Fact::Seat,
            [Hint, Hint, Hint, Void, True],
            "the issuer has counted on; without its word none is claimed",
        ),
    ]
};

/// What a fact is good for.
pub fn trust(fact: Fact, age: Age, fell: Fell, word: Word) -> Trust {
    let line = TABLE.iter().find(|l| l.fact == fact);
    let Some(line) = line else { return Trust::Void };
    match (word, fell, age) {
        // The last word is the newer one, of whatever is kept.
        (Word::Contradicts, _, _) => Trust::Void,
        (Word::Agrees, _, _) => line.agreed,
        (Word::Nothing, Fell::Some, Age::Late) => line.some_late,
        (Word::Nothing, Fell::Some, _) => line.some_old,
        (Word::Nothing, _, Age::Late) => line.all_late,
        (Word::Nothing, _, _) => line.all_old,
    }
}

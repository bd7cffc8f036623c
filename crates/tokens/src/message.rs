//! Messages between holders and the issuer. One message of a holder is out at a time; it is sent again, unchanged,
//! until it is answered, so the issuer needs to remember one answer for each holder.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What seats are counted for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The title.
    pub title: Arc<str>,
    /// The class.
    pub class: Arc<str>,
}

/// A lease's number; chosen by its holder and never used twice by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// What is asked for one lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Op {
    /// A new seat.
    Grant(LeaseId, Key),
    /// A longer time for a seat that is held. The key lets an issuer that lost its books know what it was.
    Renew(LeaseId, Key),
    /// A seat given back.
    Release(LeaseId),
}

/// A message of a holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Who holds; stays over restarts.
    pub holder: String,
    /// Which start of it; grows with each.
    pub epoch: u64,
    /// Drawn at each start: two starts that count themselves the same epoch (a store that was lost, a copied disk)
    /// are still told apart. 0: not drawn, as earlier versions have it.
    #[serde(default)]
    pub start: u64,
    /// Number of the message within the epoch, from 1, without gaps.
    pub seq: u64,
    /// At the first messages of an epoch: the leases of earlier epochs that it still has.
    pub resume: Vec<(LeaseId, Key)>,
    /// What it asks for.
    pub ops: Vec<Op>,
}

/// The answer to one operation, or to one lease resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// The seat is held for the full time from now.
    Held,
    /// All seats are taken.
    Full,
    /// The holder has no such seat (any more).
    Gone,
    /// The issuer has just started and grants nothing yet.
    Wait,
}

/// Why a whole message was turned down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Refusal {
    /// A later start of the same holder is known, or another one of the same epoch.
    Fenced {
        /// Its epoch.
        epoch: u64,
    },
    /// A message that a later one has overtaken, or that leaves a gap.
    Stale,
    /// Larger than the issuer takes, or more holders or leases than it keeps.
    Bounds,
}

/// The issuer's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Epoch and number of the message that it answers.
    pub epoch: u64,
    /// See `epoch`.
    pub seq: u64,
    /// Leases hold for so long, in nanoseconds.
    pub ttl: u64,
    /// Answers to the leases resumed and then to the operations, in their order.
    pub result: Result<Vec<Verdict>, Refusal>,
}

/// Operations of one message at most.
pub const MAX_OPS: usize = 512;
/// Leases resumed by one message at most, as an issuer takes them.
pub const MAX_RESUME: usize = 65_536;
/// Leases that a holder resumes with one message; what is beyond goes with the next.
pub const RESUME: usize = 8_192;

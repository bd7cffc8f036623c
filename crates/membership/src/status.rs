//! The view for people's tools: a table in pages, each in one datagram.

use crate::frame::{Head, Kind, Seal};
use crate::identity::Member;
use crate::io::{Counts, State};
use serde::{Deserialize, Serialize};

/// A member as the table shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Who.
    pub member: Member,
    /// How it stands.
    pub state: State,
    /// For how long, in milliseconds.
    pub since_ms: u64,
    /// Age of its last word, in milliseconds.
    pub heard_ms: Option<u64>,
    /// Digest of its view by that word.
    pub digest: Option<u64>,
}

/// What stands above the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Who tells.
    pub me: Member,
    /// How many live, the teller included.
    pub living: u32,
    /// What the teller's view comes to.
    pub digest: u64,
    /// Why it is not settled, where it is not.
    pub unsettled: Option<String>,
    /// What was counted.
    pub counts: Counts,
    /// Its part of the common budget, where such parts are on.
    pub part: Option<PartRow>,
}

/// A part of the common budget as people see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartRow {
    /// Always, as a share of the budget.
    pub always: f64,
    /// Beyond that, by lease.
    pub leased: f64,
    /// What is left of the lease, in milliseconds.
    pub left_ms: u64,
    /// The epoch's number and leader.
    pub epoch: Option<(u64, String)>,
    /// Its members.
    pub members: u32,
}

/// A page of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Which, from 0.
    pub number: u16,
    /// The next one, where there is one: it begins with the member after this name.
    pub more: bool,
    /// On the first page.
    pub summary: Option<Summary>,
    /// Rows of this page.
    pub rows: Vec<Row>,
}

/// Rows of a page at most: the longest, an IPv6 address and the longest name in it, takes 135 bytes, what stands above
/// them up to 470.
const ROWS: usize = 5;

/// A page as payload of a datagram of at most `room` bytes.
pub(crate) fn page(summary: &Summary, rows: &[Row], number: u16, room: usize) -> Vec<u8> {
    let from = usize::from(number).saturating_mul(ROWS).min(rows.len());
    let to = (from + ROWS).min(rows.len());
    let summary = (number == 0).then(|| summary.clone());
    let page = Page { number, more: to < rows.len(), summary, rows: rows[from..to].to_vec() };
    postcard::to_allocvec(&page).ok().filter(|p| p.len() <= room).unwrap_or_default()
}

/// The datagram that asks for a page.
pub fn ask(seal: &Seal, asker: &Member, page: u16) -> Option<Vec<u8>> {
    let head = Head { kind: Kind::Ask { page }, sender: asker.clone(), digest: 0, members: 0 };
    seal.close(&head, &[])
}

/// Reads a page from a datagram; `None` where it is none of this fleet.
pub fn read(seal: &Seal, bytes: &[u8]) -> Option<Page> {
    let (head, payload) = seal.open(bytes).ok()?;
    (head.kind == Kind::Page).then(|| postcard::from_bytes(payload).ok())?
}

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

/// How far a member's return from a power loss is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Returning {
    /// Where it stands.
    pub phase: String,
    /// What it waits for.
    pub waits_for: String,
    /// For how long yet at most, in milliseconds.
    pub left_ms: u64,
}

/// The page under this number bears no rows but how far the member's own return is. Members before this version answer
/// with an empty page, which reads as nothing.
pub const RETURNING: u16 = u16::MAX;
/// Bytes of each text of [`Returning`] at most; what is longer is cut.
const WORDS: usize = 256;

fn cut(text: &str) -> &str {
    let end = (0..=WORDS.min(text.len())).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0);
    &text[..end]
}

/// The page of [`RETURNING`].
pub(crate) fn returning_page(returning: Option<&Returning>) -> Vec<u8> {
    let short = |r: &Returning| Returning {
        phase: cut(&r.phase).to_owned(),
        waits_for: cut(&r.waits_for).to_owned(),
        left_ms: r.left_ms,
    };
    let page = Page { number: RETURNING, more: false, summary: None, rows: Vec::new() };
    postcard::to_allocvec(&(page, returning.map(short))).unwrap_or_default()
}

/// Whose return a datagram tells of, and how far it is; `None` where it is none of this fleet, or another page.
pub fn read_returning(seal: &Seal, bytes: &[u8]) -> Option<(Member, Option<Returning>)> {
    let (head, payload) = seal.open(bytes).ok().filter(|o| o.0.kind == Kind::Page)?;
    let (page, rest) = postcard::take_from_bytes::<Page>(payload).ok()?;
    let told = if rest.is_empty() { None } else { postcard::from_bytes(rest).ok()? };
    (page.number == RETURNING).then_some((head.sender, told))
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

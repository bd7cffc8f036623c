//! The view for operators' tools: a table in pages, each in one datagram.

use crate::frame::{FrameCodec, Head, Kind};
use crate::identity::Member;
use crate::io::{Counts, State};
use serde::{Deserialize, Serialize};

/// A row of the table: one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The member.
    pub member: Member,
    /// Its state.
    pub state: State,
    /// Time in this state, in milliseconds.
    pub since_ms: u64,
    /// Age of its last message, in milliseconds.
    pub heard_ms: Option<u64>,
    /// The digest of its view in that message.
    pub digest: Option<u64>,
}

/// The summary above the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The answering member.
    pub me: Member,
    /// Number of members that are alive, including the answering one.
    pub living: u32,
    /// The digest of its view.
    pub digest: u64,
    /// Why the view is not settled; `None` if it is.
    pub unsettled: Option<String>,
    /// Its counters.
    pub counts: Counts,
    /// Its share of the common budget, if shares are in use.
    pub part: Option<ShareRow>,
}

/// A share of the common budget.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareRow {
    /// The guaranteed share, as a fraction of the budget.
    pub always: f64,
    /// The additional share by lease.
    pub leased: f64,
    /// Remaining time of the lease, in milliseconds.
    pub left_ms: u64,
    /// The number of the epoch and its leader.
    pub epoch: Option<(u64, String)>,
    /// Number of members of the epoch.
    pub members: u32,
}

/// The progress of a member's recovery after a power loss.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveryStatus {
    /// The phase.
    pub phase: String,
    /// What the phase waits for.
    pub waits_for: String,
    /// Remaining time until the limit of the phase, in milliseconds.
    pub left_ms: u64,
}

/// The number of the page that contains the progress of recovery instead of rows. Members of earlier versions answer it with
/// an empty page, which counts as no progress.
pub const RECOVERY_PAGE: u16 = u16::MAX;
/// Maximum length of each text of [`RecoveryStatus`] in bytes; longer texts are truncated.
const MAX_TEXT_BYTES: usize = 256;

fn truncate(text: &str) -> &str {
    let end = (0..=MAX_TEXT_BYTES.min(text.len())).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0);
    &text[..end]
}

/// The page with the number [`RECOVERY_PAGE`].
pub(crate) fn recovery_page(returning: Option<&RecoveryStatus>) -> Vec<u8> {
    let short = |r: &RecoveryStatus| RecoveryStatus {
        phase: truncate(&r.phase).to_owned(),
        waits_for: truncate(&r.waits_for).to_owned(),
        left_ms: r.left_ms,
    };
    let page = Page { number: RECOVERY_PAGE, more: false, summary: None, rows: Vec::new() };
    postcard::to_allocvec(&(page, returning.map(short))).unwrap_or_default()
}

/// Decodes the progress of a member's recovery from a datagram. `None` if it is not of this fleet or another page.
pub fn read_recovery(codec: &FrameCodec, bytes: &[u8]) -> Option<(Member, Option<RecoveryStatus>)> {
    let (head, payload) = codec.decode(bytes).ok().filter(|o| o.0.kind == Kind::Page)?;
    let (page, rest) = postcard::take_from_bytes::<Page>(payload).ok()?;
    let told = if rest.is_empty() { None } else { postcard::from_bytes(rest).ok()? };
    (page.number == RECOVERY_PAGE).then_some((head.sender, told))
}

/// A page of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The number of the page, from 0.
    pub number: u16,
    /// Further pages follow.
    pub more: bool,
    /// The summary, on the first page only.
    pub summary: Option<Summary>,
    /// The rows of this page.
    pub rows: Vec<Row>,
}

/// Maximum number of rows of a page. The longest row, with an IPv6 address and the longest name, takes 135 bytes, and the
/// summary up to 470 bytes.
const ROWS_PER_PAGE: usize = 5;

/// Encodes a page as a payload of at most `room` bytes.
pub(crate) fn encode_page(summary: &Summary, rows: &[Row], number: u16, room: usize) -> Vec<u8> {
    let from = usize::from(number).saturating_mul(ROWS_PER_PAGE).min(rows.len());
    let to = (from + ROWS_PER_PAGE).min(rows.len());
    let summary = (number == 0).then(|| summary.clone());
    let page = Page { number, more: to < rows.len(), summary, rows: rows[from..to].to_vec() };
    postcard::to_allocvec(&page).ok().filter(|p| p.len() <= room).unwrap_or_default()
}

/// Encodes a datagram that requests a page.
pub fn encode_request(codec: &FrameCodec, asker: &Member, page: u16) -> Option<Vec<u8>> {
    let head = Head { kind: Kind::PageRequest { page }, sender: asker.clone(), digest: 0, members: 0 };
    codec.encode(&head, &[])
}

/// Decodes a page from a datagram. `None` if it is not of this fleet.
pub fn read(codec: &FrameCodec, bytes: &[u8]) -> Option<Page> {
    let (head, payload) = codec.decode(bytes).ok()?;
    (head.kind == Kind::Page).then(|| postcard::from_bytes(payload).ok())?
}

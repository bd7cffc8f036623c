//! What a front keeps of its seats over a restart, in [`micadyke_recovery::store`]: its epoch, and the leases that it may
//! hold.
//!
//! An epoch is on the disk before anything is sent under it; leases follow within milliseconds. Losing a lease's record
//! costs time, not safety: a lease that is not resumed runs out at the issuer by itself.
//!
//! Until it kept a store, a front kept a log: lines of a checksum and a record as JSON. [`read_log`] still reads one, once.

use crate::message::{Key, LeaseId};
use micadyke_recovery::record::{self, Change, StoredState};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Record {
    /// A new epoch is in force.
    Epoch(u64),
    /// A lease was asked for.
    Held(LeaseId, Key),
    /// A lease is given back, or was never had.
    Gone(LeaseId),
}

impl From<Record> for Change {
    fn from(record: Record) -> Self {
        match record {
            Record::Epoch(n) => Change::Put(record::Record::Epoch(n)),
            Record::Held(lease, key) => Change::Put(record::Record::Seat {
                lease: lease.0,
                title: key.title.to_string(),
                class: key.class.to_string(),
            }),
            Record::Gone(lease) => Change::Delete(record::Key::Seat(lease.0)),
        }
    }
}

/// What is kept.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct State {
    /// The last epoch.
    pub epoch: u64,
    /// Leases that may be held.
    pub held: BTreeMap<LeaseId, Key>,
    /// Where an old log stopped making sense, if it did; 0 where a store could not be read at all.
    pub damaged_at: Option<usize>,
}

/// Epochs that may lie behind a damaged place: restarts whose records were lost.
const SKIP: u64 = 1 << 16;

impl From<&StoredState> for State {
    fn from(kept: &StoredState) -> Self {
        let held = kept.seats.iter().map(|(lease, (title, class))| {
            (LeaseId(*lease), Key { title: title.as_str().into(), class: class.as_str().into() })
        });
        State { epoch: kept.epoch.unwrap_or(0), held: held.collect(), damaged_at: None }
    }
}

impl State {
    /// The state after damage at a place: what lies behind it may have raised the epoch, and may have freed leases, so none
    /// is claimed.
    pub fn damaged(self, at: usize) -> Self {
        State { epoch: self.epoch + SKIP, held: BTreeMap::new(), damaged_at: Some(at) }
    }

    /// Takes a record.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Epoch(n) => self.epoch = self.epoch.max(n),
            Record::Held(lease, key) => drop(self.held.insert(lease, key)),
            Record::Gone(lease) => drop(self.held.remove(&lease)),
        }
    }

    /// The same as changes of a store.
    pub fn changes(&self) -> Vec<Change> {
        let held = self.held.iter().map(|(lease, key)| Record::Held(*lease, key.clone()).into());
        std::iter::once(Record::Epoch(self.epoch).into()).chain(held).collect()
    }
}

fn decode(line: &[u8]) -> Option<Record> {
    let (sum, body) = (line.get(..8)?, line.get(9..)?);
    // Compared as text: a flipped bit may turn a digit into its capital.
    let due = format!("{:08x}", crc32fast::hash(body));
    (line[8] == b' ' && due.as_bytes() == sum).then(|| serde_json::from_slice(body).ok())?
}

/// Reads a log of old. A torn tail, a flipped bit or a line that is no record ends the reading there.
///
/// ```
/// use micadyke_tokens::store::read_log;
///
/// let whole = read_log(b"e44cf0fb {\"epoch\":3}\n");
/// assert_eq!((whole.epoch, whole.damaged_at), (3, None));
/// let torn = read_log(b"e44cf0fb {\"epoch\":3");
/// assert_eq!((torn.epoch > 3, torn.damaged_at), (true, Some(0)));
/// ```
pub fn read_log(bytes: &[u8]) -> State {
    let (mut state, mut at) = (State::default(), 0);
    while at < bytes.len() {
        let end = bytes[at..].iter().position(|&b| b == b'\n').map(|n| at + n);
        let record = end.and_then(|end| decode(&bytes[at..end]));
        let (Some(end), Some(record)) = (end, record) else {
            return state.damaged(at);
        };
        state.apply(record);
        at = end + 1;
    }
    state
}

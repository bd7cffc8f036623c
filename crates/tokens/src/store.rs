//! What a front keeps of its seats over a restart: a log of records with checksums.
//!
//! Each record is one line: a checksum of what follows it, and the record as JSON. A torn tail, a flipped bit or a
//! line that is no record ends the reading there: what was read before it counts, and the epoch grows by more than the
//! records lost could have raised it. Losing a record of a lease costs time, not safety: a lease that is not resumed
//! runs out at the issuer by itself.

use crate::message::{Key, LeaseId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// One record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Record {
    /// A new epoch is in force.
    Epoch(u64),
    /// A lease was asked for.
    Held(LeaseId, Key),
    /// A lease is given back, or was never had.
    Gone(LeaseId),
}

/// What a log says.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct State {
    /// The last epoch.
    pub epoch: u64,
    /// Leases that may be held.
    pub held: BTreeMap<LeaseId, Key>,
    /// Where the log stopped making sense, if it did.
    pub damaged_at: Option<usize>,
}

/// Epochs that may lie behind a damaged place: restarts whose records were lost.
const SKIP: u64 = 1 << 16;

impl State {
    /// Takes a record.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Epoch(n) => self.epoch = self.epoch.max(n),
            Record::Held(lease, key) => drop(self.held.insert(lease, key)),
            Record::Gone(lease) => drop(self.held.remove(&lease)),
        }
    }
}

/// A record as it is written.
pub fn encode(record: &Record) -> Vec<u8> {
    let body = serde_json::to_string(record).unwrap_or_default();
    format!("{:08x} {body}\n", crc32fast::hash(body.as_bytes())).into_bytes()
}

fn decode(line: &[u8]) -> Option<Record> {
    let (sum, body) = (line.get(..8)?, line.get(9..)?);
    // Compared as text: a flipped bit may turn a digit into its capital.
    let due = format!("{:08x}", crc32fast::hash(body));
    (line[8] == b' ' && due.as_bytes() == sum).then(|| serde_json::from_slice(body).ok())?
}

/// Reads a log.
pub fn read(bytes: &[u8]) -> State {
    let (mut state, mut at) = (State::default(), 0);
    while at < bytes.len() {
        let end = bytes[at..].iter().position(|&b| b == b'\n').map(|n| at + n);
        let record = end.and_then(|end| decode(&bytes[at..end]));
        let (Some(end), Some(record)) = (end, record) else {
            state.damaged_at = Some(at);
            // What lies behind may have raised the epoch, and may have freed leases: none is claimed.
            state.epoch += SKIP;
            state.held.clear();
            return state;
        };
        state.apply(record);
        at = end + 1;
    }
    state
}

/// The log as a file.
#[derive(Debug)]
pub struct File {
    path: PathBuf,
    file: std::fs::File,
    bytes: u64,
}

/// A log larger than this is written anew.
const COMPACT: u64 = 1 << 20;

impl File {
    /// Opens the log, or begins one; what it says, and the log for further records.
    pub fn open(path: &Path) -> std::io::Result<(State, Self)> {
        let bytes = match std::fs::read(path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(e),
        };
        let state = read(&bytes);
        let file = Self::rewrite(path, &state)?;
        Ok((state, file))
    }

    /// A log over a file that is open already: for tests of a disk that is full.
    #[doc(hidden)]
    pub fn over(file: std::fs::File) -> Self {
        File { path: PathBuf::new(), file, bytes: 0 }
    }

    /// Writes a log that says the same beside the old one, and puts it in its place.
    fn rewrite(path: &Path, state: &State) -> std::io::Result<Self> {
        let next = path.with_extension("next");
        let mut file = std::fs::File::create(&next)?;
        file.write_all(&encode(&Record::Epoch(state.epoch)))?;
        for (lease, key) in &state.held {
            file.write_all(&encode(&Record::Held(*lease, key.clone())))?;
        }
        file.sync_all()?;
        std::fs::rename(&next, path)?;
        if let Some(dir) = path.parent().filter(|d| !d.as_os_str().is_empty()) {
            std::fs::File::open(dir)?.sync_all()?;
        }
        let bytes = file.seek(SeekFrom::End(0))?;
        Ok(File { path: path.into(), file, bytes })
    }

    /// Appends records. With a new epoch among them it returns when they are on the disk; others survive the end of
    /// the process, and cost no more than time where the machine loses power.
    pub fn append(&mut self, records: &[Record]) -> std::io::Result<()> {
        let bytes: Vec<u8> = records.iter().flat_map(encode).collect();
        self.file.write_all(&bytes)?;
        self.bytes += bytes.len() as u64;
        if records.iter().any(|r| matches!(r, Record::Epoch(_))) {
            self.file.sync_all()?;
        }
        if self.bytes > COMPACT {
            *self = Self::rewrite(&self.path, &read(&std::fs::read(&self.path)?))?;
            self.bytes = 0;
        }
        Ok(())
    }
}

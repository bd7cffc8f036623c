//! The durable store: the last record of each key, in one file.
//!
//! It is built on `redb`, which commits checksummed pages: after a power loss at any write it opens to the last synced
//! commit or to a later one. Its storage is behind a trait, so that tests can simulate power losses (`tests/power_loss.rs`).
//! Damage that `redb` does not detect, such as a flipped bit in a completely written page, is detected by the checksum of
//! each record.
//!
//! A store that can't be read is moved aside under another name and reported; the process starts without it.

use crate::record::{Change, DecodeError, Key, MAX_RECORD_BYTES, Record, StoredState};
use redb::{Builder, Database, Durability, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use std::path::{Path, PathBuf};

const RECORDS: TableDefinition<&str, &[u8]> = TableDefinition::new("records");
/// Page cache size. A small cache suffices, since the store is read once and written rarely.
const CACHE_BYTES: usize = 1 << 20;
/// File size above which the store is compacted at the next start. It is several times the maximum size of a record.
const MAX_FILE_BYTES: u64 = 8 * MAX_RECORD_BYTES as u64;
/// Maximum number of unreadable stores that are kept; the oldest is replaced.
const MAX_QUARANTINED: u32 = 4;

/// Why the store can't be opened or written.
#[derive(Debug)]
pub enum StoreError {
    /// The disk or the file system reports an error.
    Io(String),
    /// Another process has the store open.
    Locked,
    /// The content can't be read.
    Corrupted(String),
    /// A record exceeds the maximum size.
    RecordTooLong(Key),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Io(e) => write!(f, "{e}"),
            StoreError::Locked => f.write_str("it is open in another process"),
            StoreError::Corrupted(what) => write!(f, "it can't be read: {what}"),
            StoreError::RecordTooLong(key) => {
                write!(f, "record {} is longer than {MAX_RECORD_BYTES} bytes", key.store_key())
            }
        }
    }
}

impl StoreError {
    /// What an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            StoreError::Io(_) => "make room on the disk, or let this process write there",
            StoreError::Locked => "end the other process, or use another file",
            StoreError::Corrupted(_) => "check the disk; the file was moved aside under another name",
            StoreError::RecordTooLong(_) => "shorten the list: its previous version is kept",
        }
    }
}

impl std::error::Error for StoreError {}

fn io_error(e: impl std::fmt::Display) -> StoreError {
    StoreError::Io(e.to_string())
}

/// An open store.
#[derive(Debug)]
pub struct Store {
    db: Database,
}

impl Store {
    /// Opens the store in a file, or creates it, and reads its state. An unreadable store is moved aside, which
    /// [`Opened::quarantined`] reports.
    ///
    /// # Errors
    ///
    /// The disk fails, or another process has the store open. The file is not changed then.
    pub fn open(path: &Path) -> Result<Opened, StoreError> {
        let open = || {
            // Reading damaged pages may panic, which counts as an unreadable store.
            let read = || -> Result<(Store, StoredState), StoreError> {
                let mut db = Builder::new().set_cache_size(CACHE_BYTES).create(path).map_err(open_error)?;
                if std::fs::metadata(path).is_ok_and(|m| m.len() > MAX_FILE_BYTES) {
                    let _ = db.compact();
                }
                Store::from_database(db)
            };
            std::panic::catch_unwind(read)
                .unwrap_or_else(|_| Err(StoreError::Corrupted("its pages are inconsistent".into())))
        };
        match open() {
            Err(StoreError::Corrupted(why)) => {
                let to = quarantine(path).map_err(io_error)?;
                let (store, _) = open()?;
                Ok(Opened { store, state: StoredState::default(), quarantined: Some((to, why)) })
            }
            Err(e) => Err(e),
            Ok((store, state)) => Ok(Opened { store, state, quarantined: None }),
        }
    }

    /// Opens a store on any kind of storage.
    ///
    /// # Errors
    ///
    /// See [`Store::open`]. An unreadable store is an error; it is not moved aside.
    pub fn open_over(storage: impl StorageBackend) -> Result<(Self, StoredState), StoreError> {
        let db =
            Builder::new().set_cache_size(CACHE_BYTES).create_with_backend(storage).map_err(open_error)?;
        Store::from_database(db)
    }

    fn from_database(db: Database) -> Result<(Self, StoredState), StoreError> {
        let mut state = StoredState::default();
        let read = db.begin_read().map_err(io_error)?;
        match read.open_table(RECORDS) {
            Ok(table) => {
                for entry in table.iter().map_err(corrupted)? {
                    let (key, value) = entry.map_err(corrupted)?;
                    let record = Record::decode(value.value()).map_err(|e| match e {
                        DecodeError::NewerFormat(format) => {
                            StoreError::Corrupted(format!("format {format} is newer"))
                        }
                        DecodeError::Corrupted => {
                            StoreError::Corrupted(format!("record {:?} is damaged", key.value()))
                        }
                    })?;
                    state.apply_record(record);
                }
            }
            // The store is new.
            Err(redb::TableError::TableDoesNotExist(_)) => {}
            Err(e) => return Err(corrupted(e)),
        }
        drop(read);
        Ok((Store { db }, state))
    }

    /// Commits changes atomically. On return they are on the disk.
    ///
    /// # Errors
    ///
    /// The disk fails, for example because it is full. The previous state is kept.
    ///
    /// ```
    /// use micadyke_recovery::record::{Change, Key, Record};
    /// use micadyke_recovery::store::Store;
    ///
    /// let (store, state) = Store::open_over(redb::backends::InMemoryBackend::new())?;
    /// assert!(state.epoch.is_none() && state.seats.is_empty());
    /// let seat = Record::Seat { lease: 7, title: "t".into(), class: "c".into() };
    /// store.commit(&[Record::Epoch(1).into(), seat.into()])?;
    /// store.commit(&[Change::Delete(Key::Seat(7))])?;
    /// # Ok::<(), micadyke_recovery::store::StoreError>(())
    /// ```
    pub fn commit(&self, changes: &[Change]) -> Result<(), StoreError> {
        let mut write = self.db.begin_write().map_err(io_error)?;
        write.set_durability(Durability::Immediate).map_err(io_error)?;
        {
            let mut table = write.open_table(RECORDS).map_err(io_error)?;
            for change in changes {
                let key = change.key();
                match change {
                    Change::Put(record) => {
                        let bytes = record.encode().ok_or_else(|| StoreError::RecordTooLong(key.clone()))?;
                        table.insert(&*key.store_key(), bytes.as_slice()).map_err(io_error)?;
                    }
                    Change::Delete(_) => drop(table.remove(&*key.store_key()).map_err(io_error)?),
                }
            }
        }
        write.commit().map_err(io_error)
    }
}

/// An open store and what was found in it.
#[derive(Debug)]
pub struct Opened {
    /// The store.
    pub store: Store,
    /// The stored state.
    pub state: StoredState,
    /// The new path of an unreadable store that was moved aside, and why it was unreadable.
    pub quarantined: Option<(PathBuf, String)>,
}

fn corrupted(e: impl std::fmt::Display) -> StoreError {
    StoreError::Corrupted(e.to_string())
}

fn open_error(e: redb::DatabaseError) -> StoreError {
    use redb::{DatabaseError, StorageError};
    match e {
        DatabaseError::DatabaseAlreadyOpen => StoreError::Locked,
        DatabaseError::Storage(StorageError::Io(e)) if !is_content_error(&e) => io_error(e),
        other => corrupted(other),
    }
}

/// Whether an I/O error is caused by the content of the file rather than by the disk: the file is truncated or no store.
fn is_content_error(e: &std::io::Error) -> bool {
    use std::io::ErrorKind::{InvalidData, UnexpectedEof};
    matches!(e.kind(), UnexpectedEof | InvalidData)
}

/// Moves a file that is no store aside, to the first free name of the form `PATH.ENDING-N`. The file is never deleted.
///
/// # Errors
///
/// The file system reports an error.
pub fn move_aside(path: &Path, ending: &str) -> std::io::Result<PathBuf> {
    let name = |n: u32| {
        let mut name = path.as_os_str().to_owned();
        name.push(format!(".{ending}-{n}"));
        PathBuf::from(name)
    };
    let to = (1..u32::MAX).map(name).find(|to| !to.exists()).ok_or(std::io::ErrorKind::AlreadyExists)?;
    std::fs::rename(path, &to)?;
    Ok(to)
}

/// Renames an unreadable store; at most [`MAX_QUARANTINED`] of them are kept.
fn quarantine(path: &Path) -> std::io::Result<PathBuf> {
    let name = |n: u32| {
        let mut name = path.as_os_str().to_owned();
        name.push(format!(".unreadable-{n}"));
        PathBuf::from(name)
    };
    let free = (1..=MAX_QUARANTINED).find(|n| !name(*n).exists());
    let to = match free {
        Some(n) => name(n),
        None => {
            (2..=MAX_QUARANTINED).try_for_each(|n| std::fs::rename(name(n), name(n - 1)))?;
            name(MAX_QUARANTINED)
        }
    };
    std::fs::rename(path, &to)?;
    Ok(to)
}

//! The durable store: the last record of each key, in one file.
//!
//! On `redb`, which commits by checksummed pages: after a cut at any write it opens to the last commit that was synced, or
//! to a later one. Its storage sits behind a trait, so that tests play cuts (`tests/cuts.rs`). What it does not find by
//! itself, a bit turned in a page that was written whole, is found by each record's own checksum.
//!
//! A store that can't be read is set aside whole under another name, with a message; the process starts without.

use crate::record::{Change, Kept, Key, LONGEST, Record, Unreadable};
use redb::{Builder, Database, Durability, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use std::path::{Path, PathBuf};

const RECORDS: TableDefinition<&str, &[u8]> = TableDefinition::new("records");
/// Memory for pages: the store is read once and written seldom.
const CACHE: usize = 1 << 20;
/// A file that is larger is written anew at the next start: the longest records, twice.
const LARGEST: u64 = 8 * LONGEST as u64;
/// Stores set aside at most; the oldest goes.
const ASIDE: u32 = 4;

/// Why something was not kept, or a store not read.
#[derive(Debug)]
pub enum Fault {
    /// The disk or the file system says no.
    Disk(String),
    /// Another process holds the store.
    Held,
    /// What is there can't be read.
    Unreadable(String),
    /// A record is longer than may be.
    TooLong(Key),
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Fault::Disk(e) => write!(f, "{e}"),
            Fault::Held => f.write_str("another process holds it"),
            Fault::Unreadable(what) => write!(f, "it can't be read: {what}"),
            Fault::TooLong(key) => write!(f, "record {} is longer than {LONGEST} bytes", key.text()),
        }
    }
}

impl Fault {
    /// What an operator can do.
    pub fn advice(&self) -> &'static str {
        match self {
            Fault::Disk(_) => "make room on the disk, or let this process write there",
            Fault::Held => "end the other process, or name another file",
            Fault::Unreadable(_) => "see to the disk; the file lies beside, under another name",
            Fault::TooLong(_) => "keep the list shorter: the former record stays",
        }
    }
}

impl std::error::Error for Fault {}

fn disk(e: impl std::fmt::Display) -> Fault {
    Fault::Disk(e.to_string())
}

/// An open store.
#[derive(Debug)]
pub struct Store {
    db: Database,
}

impl Store {
    /// Opens the store of a file, or begins one; what was kept. One that can't be read is set aside, and `aside` says where
    /// and why.
    ///
    /// # Errors
    ///
    /// Where the disk refuses, or another process holds it: nothing is touched then.
    pub fn open(path: &Path) -> Result<Opened, Fault> {
        let open = || {
            // A reader of damaged pages may panic: what it held is dropped, and the store is as unreadable as any.
            let read = || -> Result<(Store, Kept), Fault> {
                let mut db = Builder::new().set_cache_size(CACHE).create(path).map_err(fault)?;
                if std::fs::metadata(path).is_ok_and(|m| m.len() > LARGEST) {
                    let _ = db.compact();
                }
                Store::over(db)
            };
            std::panic::catch_unwind(read)
                .unwrap_or_else(|_| Err(Fault::Unreadable("its pages make no sense".into())))
        };
        match open() {
            Err(Fault::Unreadable(why)) => {
                let to = set_aside(path).map_err(disk)?;
                let (store, _) = open()?;
                Ok(Opened { store, kept: Kept::default(), aside: Some((to, why)) })
            }
            Err(e) => Err(e),
            Ok((store, kept)) => Ok(Opened { store, kept, aside: None }),
        }
    }

    /// Opens a store over storage of any kind.
    ///
    /// # Errors
    ///
    /// See [`Store::open`]; nothing is set aside.
    pub fn open_over(storage: impl StorageBackend) -> Result<(Self, Kept), Fault> {
        let db = Builder::new().set_cache_size(CACHE).create_with_backend(storage).map_err(fault)?;
        Store::over(db)
    }

    fn over(db: Database) -> Result<(Self, Kept), Fault> {
        let mut kept = Kept::default();
        let read = db.begin_read().map_err(disk)?;
        match read.open_table(RECORDS) {
            Ok(table) => {
                for entry in table.iter().map_err(unreadable)? {
                    let (key, value) = entry.map_err(unreadable)?;
                    let record = Record::decode(value.value()).map_err(|e| match e {
                        Unreadable::Newer(format) => Fault::Unreadable(format!("format {format} is newer")),
                        Unreadable::Damaged => {
                            Fault::Unreadable(format!("record {:?} is damaged", key.value()))
                        }
                    })?;
                    kept.take(record);
                }
            }
            // Nothing was ever written.
            Err(redb::TableError::TableDoesNotExist(_)) => {}
            Err(e) => return Err(unreadable(e)),
        }
        drop(read);
        Ok((Store { db }, kept))
    }

    /// Makes changes, all or none of them. On return they are on the disk.
    ///
    /// # Errors
    ///
    /// Where the disk refuses (it is full, say): what was kept before stays.
    ///
    /// ```
    /// use micadyke_recovery::record::{Change, Key, Record};
    /// use micadyke_recovery::store::Store;
    ///
    /// let (store, kept) = Store::open_over(redb::backends::InMemoryBackend::new())?;
    /// assert!(kept.epoch.is_none() && kept.seats.is_empty());
    /// let seat = Record::Seat { lease: 7, title: "t".into(), class: "c".into() };
    /// store.keep(&[Record::Epoch(1).into(), seat.into()])?;
    /// store.keep(&[Change::Gone(Key::Seat(7))])?;
    /// # Ok::<(), micadyke_recovery::store::Fault>(())
    /// ```
    pub fn keep(&self, changes: &[Change]) -> Result<(), Fault> {
        let mut write = self.db.begin_write().map_err(disk)?;
        write.set_durability(Durability::Immediate).map_err(disk)?;
        {
            let mut table = write.open_table(RECORDS).map_err(disk)?;
            for change in changes {
                let key = change.key();
                match change {
                    Change::Keep(record) => {
                        let bytes = record.encode().ok_or_else(|| Fault::TooLong(key.clone()))?;
                        table.insert(&*key.text(), bytes.as_slice()).map_err(disk)?;
                    }
                    Change::Gone(_) => drop(table.remove(&*key.text()).map_err(disk)?),
                }
            }
        }
        write.commit().map_err(disk)
    }
}

/// What opening a store brought.
#[derive(Debug)]
pub struct Opened {
    /// The store.
    pub store: Store,
    /// What was kept.
    pub kept: Kept,
    /// Where an unreadable one was put, and what was wrong with it.
    pub aside: Option<(PathBuf, String)>,
}

fn unreadable(e: impl std::fmt::Display) -> Fault {
    Fault::Unreadable(e.to_string())
}

fn fault(e: redb::DatabaseError) -> Fault {
    use redb::{DatabaseError, StorageError};
    match e {
        DatabaseError::DatabaseAlreadyOpen => Fault::Held,
        DatabaseError::Storage(StorageError::Io(e)) if !said_of_content(&e) => disk(e),
        other => unreadable(other),
    }
}

/// Errors of I/O that tell of what the file holds, not of the disk: it ends too early, or it is no store at all.
fn said_of_content(e: &std::io::Error) -> bool {
    use std::io::ErrorKind::{InvalidData, UnexpectedEof};
    matches!(e.kind(), UnexpectedEof | InvalidData)
}

/// Renames a file that is no store out of the way, under the first free name with this ending: it is never deleted.
///
/// # Errors
///
/// Where the file system refuses.
pub fn put_aside(path: &Path, ending: &str) -> std::io::Result<PathBuf> {
    let name = |n: u32| {
        let mut name = path.as_os_str().to_owned();
        name.push(format!(".{ending}-{n}"));
        PathBuf::from(name)
    };
    let to = (1..u32::MAX).map(name).find(|to| !to.exists()).ok_or(std::io::ErrorKind::AlreadyExists)?;
    std::fs::rename(path, &to)?;
    Ok(to)
}

/// Renames a store that can't be read; at most so many are left.
fn set_aside(path: &Path) -> std::io::Result<PathBuf> {
    let name = |n: u32| {
        let mut name = path.as_os_str().to_owned();
        name.push(format!(".unreadable-{n}"));
        PathBuf::from(name)
    };
    let free = (1..=ASIDE).find(|n| !name(*n).exists());
    let to = match free {
        Some(n) => name(n),
        None => {
            (2..=ASIDE).try_for_each(|n| std::fs::rename(name(n), name(n - 1)))?;
            name(ASIDE)
        }
    };
    std::fs::rename(path, &to)?;
    Ok(to)
}

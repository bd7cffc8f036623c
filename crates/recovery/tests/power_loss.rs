//! Power loss at any write: the store opens to the last synced commit or to a later one, and to nothing else.

use micadyke_recovery::record::{Change, FORMAT, Key, Record, Server, StoredState};
use micadyke_recovery::store::{Store, StoreError};
use micadyke_recovery::writer::StoreWriter;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

/// The state of a simulated disk that loses unsynced writes when its power is lost.
#[derive(Debug, Default)]
struct DiskState {
    synced: Vec<u8>,
    /// The content as the process sees it.
    cached: Vec<u8>,
    /// Writes (offset and data) and new lengths since the last sync.
    pending: Vec<(u64, Vec<u8>, Option<u64>)>,
    /// Number of operations until the power is lost.
    operations_left: Option<u64>,
    /// Syncs report success without effect.
    ignores_syncs: bool,
    operations: u64,
}

/// Number of bytes that a disk writes atomically.
const SECTOR: usize = 512;

impl DiskState {
    fn operate(&mut self) -> Result<(), std::io::Error> {
        self.operations += 1;
        match &mut self.operations_left {
            Some(0) => Err(std::io::Error::other("no power")),
            Some(n) => {
                *n -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// Loses power: each sector written since the last sync is on the disk or not, at random.
    fn lose_power(&mut self, random: &mut StdRng) {
        let mut disk = self.synced.clone();
        for (at, bytes, len) in std::mem::take(&mut self.pending) {
            if let Some(len) = len {
                if random.random_bool(0.5) {
                    disk.resize(len as usize, 0);
                }
                continue;
            }
            for (n, sector) in bytes.chunks(SECTOR).enumerate() {
                let from = at as usize + n * SECTOR;
                if random.random_bool(0.5) {
                    let end = (from + sector.len()).max(disk.len());
                    disk.resize(end, 0);
                    disk[from..from + sector.len()].copy_from_slice(sector);
                }
            }
        }
        (self.cached, self.synced, self.operations_left) = (disk.clone(), disk, None);
    }
}

#[derive(Debug, Clone, Default)]
struct Disk(Arc<Mutex<DiskState>>);

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64, std::io::Error> {
        Ok(self.0.lock().expect("not poisoned").cached.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        let p = self.0.lock().expect("not poisoned");
        let from = offset as usize;
        let there = p.cached.get(from..from + out.len());
        out.copy_from_slice(there.ok_or_else(|| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), std::io::Error> {
        let mut p = self.0.lock().expect("not poisoned");
        p.operate()?;
        p.cached.resize(len as usize, 0);
        p.pending.push((0, Vec::new(), Some(len)));
        Ok(())
    }

    fn sync_data(&self) -> Result<(), std::io::Error> {
        let mut p = self.0.lock().expect("not poisoned");
        p.operate()?;
        if !p.ignores_syncs {
            p.synced = p.cached.clone();
            p.pending.clear();
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        let mut p = self.0.lock().expect("not poisoned");
        p.operate()?;
        let (from, to) = (offset as usize, offset as usize + data.len());
        if p.cached.len() < to {
            p.cached.resize(to, 0);
        }
        p.cached[from..to].copy_from_slice(data);
        p.pending.push((offset, data.to_vec(), None));
        Ok(())
    }
}

/// The records of the `n`th commit. They differ in size, so that pages move.
fn records_of_commit(n: u64) -> Vec<Record> {
    let server = |i: u64| Server {
        id: format!("server-{i}-{n}"),
        addr: ([127, 0, 0, 1], 1 + i as u16).into(),
        ready: i < 60,
        started_at: n,
    };
    let members: BTreeMap<String, u64> = (0..n % 7).map(|i| (format!("n{i}"), n + i)).collect();
    vec![
        Record::Start { name: "n0".into(), start: n, at: n },
        Record::List { version: n, offset: n, at: n, servers: (0..(n * 37) % 120).map(server).collect() },
        Record::View { at: n, members, epoch: n },
        Record::Epoch(n),
        Record::Seat { lease: n, title: format!("t{n}"), class: "c".repeat(n as usize % 50) },
    ]
}

/// The records of the `n`th commit as changes. The seats of earlier commits, including failed ones, are deleted.
fn changes_of_commit(n: u64) -> Vec<Change> {
    let gone = (n.saturating_sub(20)..n).map(|n| Change::Delete(Key::Seat(n)));
    records_of_commit(n).into_iter().map(Change::from).chain(gone).collect()
}

fn state_after(n: u64) -> StoredState {
    let mut kept = StoredState::default();
    if n > 0 {
        records_of_commit(n).into_iter().for_each(|r| kept.apply_record(r));
    }
    kept
}

/// Ten power losses in a row on one disk. Returns an error if the store opens to a wrong state.
fn ten_power_losses(seed: u64, ignores_syncs: bool) -> Result<(), String> {
    let mut random = StdRng::seed_from_u64(seed);
    let disk = Disk::default();
    disk.0.lock().expect("not poisoned").ignores_syncs = ignores_syncs;
    let (mut synced, mut tried) = (0, 0);
    for _ in 0..10 {
        let left = random.random_range(0..60);
        disk.0.lock().expect("not poisoned").operations_left = Some(left);
        // The power may be lost while the store opens.
        if let Ok((store, _)) = Store::open_over(disk.clone()) {
            loop {
                tried += 1;
                if store.commit(&changes_of_commit(tried)).is_err() {
                    break;
                }
                synced = tried;
            }
        }
        disk.0.lock().expect("not poisoned").lose_power(&mut random);
        let kept = match Store::open_over(disk.clone()) {
            Ok((_, kept)) => kept,
            // The power was lost while the store was created: nothing was stored yet, and it is created anew.
            Err(StoreError::Corrupted(_)) if synced == 0 => {
                let mut p = disk.0.lock().expect("not poisoned");
                (p.cached, p.synced) = (Vec::new(), Vec::new());
                StoredState::default()
            }
            Err(e) => return Err(format!("{seed}: {e}")),
        };
        let at = kept.start.as_ref().map_or(0, |s| s.1);
        if kept != state_after(at) || at < synced || at > tried {
            return Err(format!("{seed}: opened to {at}, synced {synced}, tried {tried}"));
        }
        synced = at;
    }
    Ok(())
}

#[test]
fn power_loss_at_any_write_opens_to_synced_or_later_state() {
    let rounds = std::env::var("MICADYKE_CUTS").ok().and_then(|n| n.parse().ok()).unwrap_or(40);
    for seed in 0..rounds {
        ten_power_losses(seed, false).unwrap_or_else(|e| panic!("{e}"));
    }
    // The check must fail on a disk that ignores syncs. The damage may be of any kind.
    let ignores_syncs =
        |seed| std::panic::catch_unwind(|| ten_power_losses(seed, true)).is_ok_and(|r| r.is_ok());
    assert!((0..20).any(|seed| !ignores_syncs(seed)));
}

struct Folder(PathBuf);

impl Folder {
    fn new(tag: &str) -> Self {
        let path = std::env::temp_dir().join(format!("micadyke-recovery-{tag}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn create_filled_store(file: &std::path::Path) {
    let opened = Store::open(file).expect("it opens");
    opened.store.commit(&changes_of_commit(50)).expect("kept");
}

#[test]
fn damaged_store_is_moved_aside_and_reported() {
    let folder = Folder::new("damage");
    let file = folder.0.join("store");
    create_filled_store(&file);
    assert_eq!(Store::open(&file).expect("it opens").state, state_after(50));
    let whole = std::fs::read(&file).expect("it is there");

    // Truncated files.
    for len in [1, 100, whole.len() / 2, whole.len() - 1] {
        std::fs::write(&file, &whole[..len]).expect("written");
        let opened = Store::open(&file).expect("it starts without");
        assert_eq!(opened.state, StoredState::default(), "{len}");
        let (to, why) = opened.quarantined.expect("it says so");
        assert!(std::fs::read(&to).expect("set aside") == whole[..len] && !why.is_empty(), "{len}");
        std::fs::remove_file(&to).expect("removed");
    }

    // A flipped bit: the state is complete, or the whole store is moved aside.
    let (mut found, mut random) = (0, StdRng::seed_from_u64(5));
    for _ in 0..200 {
        let mut bytes = whole.clone();
        let at = random.random_range(0..bytes.len());
        bytes[at] ^= 1 << random.random_range(0..8);
        std::fs::write(&file, &bytes).expect("written");
        let opened = Store::open(&file).expect("it starts in any case");
        match opened.quarantined {
            Some((to, _)) => {
                found += 1;
                assert_eq!(opened.state, StoredState::default());
                std::fs::remove_file(to).expect("removed");
            }
            None => assert!(
                opened.state == state_after(50) || opened.state == StoredState::default(),
                "byte {at}"
            ),
        }
    }
    assert!(found > 0);

    // At most four unreadable stores are kept.
    for _ in 0..6 {
        std::fs::write(&file, b"no store at all").expect("written");
        drop(Store::open(&file).expect("it starts without"));
    }
    assert_eq!(std::fs::read_dir(&folder.0).expect("a folder").count(), 5);
}

#[test]
fn newer_format_is_refused() {
    let mut bytes = records_of_commit(3)[0].encode().expect("it fits");
    assert_eq!(Record::decode(&bytes), Ok(records_of_commit(3)[0].clone()));
    assert_eq!(bytes[0], 1, "kinds of the first format are written in it");
    bytes[0] = FORMAT + 1;
    assert!(
        matches!(Record::decode(&bytes), Err(micadyke_recovery::record::DecodeError::NewerFormat(n)) if n > FORMAT)
    );
}

#[test]
fn store_is_locked_by_one_process_and_missing_directory_is_an_io_error() {
    let folder = Folder::new("held");
    let file = folder.0.join("store");
    let first = Store::open(&file).expect("it opens");
    assert!(matches!(Store::open(&file), Err(StoreError::Locked)));
    drop(first);
    assert!(Store::open(&file).is_ok());
    assert!(matches!(Store::open(&folder.0.join("none").join("store")), Err(StoreError::Io(_))));
}

#[test]
fn failing_writes_keep_the_previous_state() {
    let disk = Disk::default();
    let (store, _) = Store::open_over(disk.clone()).expect("it opens");
    store.commit(&changes_of_commit(1)).expect("kept");
    // Writes fail from now on without a power loss.
    disk.0.lock().expect("not poisoned").operations_left = Some(0);
    let keeper = StoreWriter::start(store);
    assert!(matches!(keeper.save_and_sync(changes_of_commit(2)), Err(StoreError::Io(_))));
    drop(keeper);
    disk.0.lock().expect("not poisoned").operations_left = None;
    let (_, kept) = Store::open_over(disk).expect("it opens");
    assert_eq!(kept, state_after(1));
}

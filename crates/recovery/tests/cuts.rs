//! A cut at any write: the store opens to what was last synced, or to something later, and to nothing else.

use micadyke_recovery::keeper::Keeper;
use micadyke_recovery::record::{Change, FORMAT, Kept, Key, Record, Server};
use micadyke_recovery::store::{Fault, Store};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

/// A disk that loses what was not synced when its power is cut.
#[derive(Debug, Default)]
struct Platter {
    synced: Vec<u8>,
    /// As the process sees it.
    seen: Vec<u8>,
    /// Since the last sync: a write, or a new length.
    pending: Vec<(u64, Vec<u8>, Option<u64>)>,
    /// Operations until the cut.
    left: Option<u64>,
    /// Syncs are lies.
    lies: bool,
    operations: u64,
}

/// What a drive writes at once.
const SECTOR: usize = 512;

impl Platter {
    fn operate(&mut self) -> Result<(), std::io::Error> {
        self.operations += 1;
        match &mut self.left {
            Some(0) => Err(std::io::Error::other("no power")),
            Some(n) => {
                *n -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// The power is cut: each write since the last sync is there, or not, or in part.
    fn cut(&mut self, random: &mut StdRng) {
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
        (self.seen, self.synced, self.left) = (disk.clone(), disk, None);
    }
}

#[derive(Debug, Clone, Default)]
struct Disk(Arc<Mutex<Platter>>);

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64, std::io::Error> {
        Ok(self.0.lock().expect("not poisoned").seen.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        let p = self.0.lock().expect("not poisoned");
        let from = offset as usize;
        let there = p.seen.get(from..from + out.len());
        out.copy_from_slice(there.ok_or_else(|| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), std::io::Error> {
        let mut p = self.0.lock().expect("not poisoned");
        p.operate()?;
        p.seen.resize(len as usize, 0);
        p.pending.push((0, Vec::new(), Some(len)));
        Ok(())
    }

    fn sync_data(&self) -> Result<(), std::io::Error> {
        let mut p = self.0.lock().expect("not poisoned");
        p.operate()?;
        if !p.lies {
            p.synced = p.seen.clone();
            p.pending.clear();
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        let mut p = self.0.lock().expect("not poisoned");
        p.operate()?;
        let (from, to) = (offset as usize, offset as usize + data.len());
        if p.seen.len() < to {
            p.seen.resize(to, 0);
        }
        p.seen[from..to].copy_from_slice(data);
        p.pending.push((offset, data.to_vec(), None));
        Ok(())
    }
}

/// The records of the `n`th commit; they differ in size, so that pages move.
fn nth(n: u64) -> Vec<Record> {
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

/// The same as changes; the seats of commits before, those that failed among them, are given back.
fn changes(n: u64) -> Vec<Change> {
    let gone = (n.saturating_sub(20)..n).map(|n| Change::Gone(Key::Seat(n)));
    nth(n).into_iter().map(Change::from).chain(gone).collect()
}

fn state(n: u64) -> Kept {
    let mut kept = Kept::default();
    if n > 0 {
        nth(n).into_iter().for_each(|r| kept.take(r));
    }
    kept
}

/// Ten cuts in a row on one disk; `Err`: what a store opened to that it may not.
fn ten_cuts(seed: u64, lies: bool) -> Result<(), String> {
    let mut random = StdRng::seed_from_u64(seed);
    let disk = Disk::default();
    disk.0.lock().expect("not poisoned").lies = lies;
    let (mut synced, mut tried) = (0, 0);
    for _ in 0..10 {
        let left = random.random_range(0..60);
        disk.0.lock().expect("not poisoned").left = Some(left);
        // The cut may come while it opens.
        if let Ok((store, _)) = Store::open_over(disk.clone()) {
            loop {
                tried += 1;
                if store.keep(&changes(tried)).is_err() {
                    break;
                }
                synced = tried;
            }
        }
        disk.0.lock().expect("not poisoned").cut(&mut random);
        let kept = match Store::open_over(disk.clone()) {
            Ok((_, kept)) => kept,
            // Cut while it was begun: nothing was kept yet, and it is begun anew.
            Err(Fault::Unreadable(_)) if synced == 0 => {
                let mut p = disk.0.lock().expect("not poisoned");
                (p.seen, p.synced) = (Vec::new(), Vec::new());
                Kept::default()
            }
            Err(e) => return Err(format!("{seed}: {e}")),
        };
        let at = kept.start.as_ref().map_or(0, |s| s.1);
        if kept != state(at) || at < synced || at > tried {
            return Err(format!("{seed}: opened to {at}, synced {synced}, tried {tried}"));
        }
        synced = at;
    }
    Ok(())
}

#[test]
fn any_cut_at_any_write_opens_to_what_was_synced_or_to_something_later() {
    let rounds = std::env::var("MICADYKE_CUTS").ok().and_then(|n| n.parse().ok()).unwrap_or(40);
    for seed in 0..rounds {
        ten_cuts(seed, false).unwrap_or_else(|e| panic!("{e}"));
    }
    // Seen to fail on a disk whose syncs are lies. Its damage may be of any kind.
    let lies = |seed| std::panic::catch_unwind(|| ten_cuts(seed, true)).is_ok_and(|r| r.is_ok());
    assert!((0..20).any(|seed| !lies(seed)));
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

fn filled(file: &std::path::Path) {
    let opened = Store::open(file).expect("it opens");
    opened.store.keep(&changes(50)).expect("kept");
}

#[test]
fn what_is_damaged_torn_or_newer_is_set_aside_whole_and_said() {
    let folder = Folder::new("damage");
    let file = folder.0.join("store");
    filled(&file);
    assert_eq!(Store::open(&file).expect("it opens").kept, state(50));
    let whole = std::fs::read(&file).expect("it is there");

    // Truncated anywhere, and replaced by something else.
    for len in [1, 100, whole.len() / 2, whole.len() - 1] {
        std::fs::write(&file, &whole[..len]).expect("written");
        let opened = Store::open(&file).expect("it starts without");
        assert_eq!(opened.kept, Kept::default(), "{len}");
        let (to, why) = opened.aside.expect("it says so");
        assert!(std::fs::read(&to).expect("set aside") == whole[..len] && !why.is_empty(), "{len}");
        std::fs::remove_file(&to).expect("removed");
    }

    // One bit turned: what was kept is whole, or all of it is set aside.
    let (mut found, mut random) = (0, StdRng::seed_from_u64(5));
    for _ in 0..200 {
        let mut bytes = whole.clone();
        let at = random.random_range(0..bytes.len());
        bytes[at] ^= 1 << random.random_range(0..8);
        std::fs::write(&file, &bytes).expect("written");
        let opened = Store::open(&file).expect("it starts in any case");
        match opened.aside {
            Some((to, _)) => {
                found += 1;
                assert_eq!(opened.kept, Kept::default());
                std::fs::remove_file(to).expect("removed");
            }
            None => assert!(opened.kept == state(50) || opened.kept == Kept::default(), "byte {at}"),
        }
    }
    assert!(found > 0);

    // At most four are left of those set aside.
    for _ in 0..6 {
        std::fs::write(&file, b"no store at all").expect("written");
        drop(Store::open(&file).expect("it starts without"));
    }
    assert_eq!(std::fs::read_dir(&folder.0).expect("a folder").count(), 5);
}

#[test]
fn a_newer_format_is_not_read() {
    let mut bytes = nth(3)[0].encode().expect("it fits");
    assert_eq!(Record::decode(&bytes), Ok(nth(3)[0].clone()));
    assert_eq!(bytes[0], 1, "kinds of the first format are written in it");
    bytes[0] = FORMAT + 1;
    assert!(
        matches!(Record::decode(&bytes), Err(micadyke_recovery::record::Unreadable::Newer(n)) if n > FORMAT)
    );
}

#[test]
fn one_process_holds_a_store_and_a_disk_that_is_not_there_is_named() {
    let folder = Folder::new("held");
    let file = folder.0.join("store");
    let first = Store::open(&file).expect("it opens");
    assert!(matches!(Store::open(&file), Err(Fault::Held)));
    drop(first);
    assert!(Store::open(&file).is_ok());
    assert!(matches!(Store::open(&folder.0.join("none").join("store")), Err(Fault::Disk(_))));
}

#[test]
fn a_full_disk_keeps_what_was_kept_before() {
    let disk = Disk::default();
    let (store, _) = Store::open_over(disk.clone()).expect("it opens");
    store.keep(&changes(1)).expect("kept");
    // Writes fail from now on, without a cut.
    disk.0.lock().expect("not poisoned").left = Some(0);
    let keeper = Keeper::start(store);
    assert!(matches!(keeper.keep_now(changes(2)), Err(Fault::Disk(_))));
    drop(keeper);
    disk.0.lock().expect("not poisoned").left = None;
    let (_, kept) = Store::open_over(disk).expect("it opens");
    assert_eq!(kept, state(1));
}

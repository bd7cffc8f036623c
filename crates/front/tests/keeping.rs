//! The store of a front over restarts, and over the log of seats that it kept before.

use micadyke_front::keeping::{open, open_with};
use micadyke_recovery::writer::StoreWriter;
use micadyke_tokens::message::{Key, LeaseId};
use micadyke_tokens::store::{Record, State};
use std::path::PathBuf;

struct Folder(PathBuf);

impl Folder {
    fn new(tag: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("micadyke-keeping-{tag}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        Folder(dir)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn key() -> Key {
    Key { title: "t".into(), class: "c".into() }
}

/// A log as fronts kept it: epochs 3 and 4, of three leases one given back.
fn log() -> Vec<u8> {
    let held = |n: u64| serde_json::json!({ "held": [n, { "title": "t", "class": "c" }] });
    let records = [
        serde_json::json!({ "epoch": 3 }),
        held(1),
        held(2),
        serde_json::json!({ "epoch": 4 }),
        serde_json::json!({ "gone": 1 }),
        held(9),
    ];
    let line = |r: &serde_json::Value| {
        let body = serde_json::to_string(&serde_json::from_value::<Record>(r.clone()).expect("a record"));
        let body = body.expect("JSON");
        format!("{:08x} {body}\n", crc32fast::hash(body.as_bytes()))
    };
    records.iter().map(line).collect::<String>().into_bytes()
}

#[test]
fn an_old_log_is_read_once_and_set_aside_whole() {
    let folder = Folder::new("log");
    let (path, whole) = (folder.0.join("seats.log"), log());
    let sound = State { epoch: 4, held: [(LeaseId(2), key()), (LeaseId(9), key())].into(), damaged_at: None };
    let mut flipped = whole.clone();
    flipped[whole.len() / 2] ^= 4;
    // What lies there, and whether it is sound.
    let table = [(whole.clone(), true), (whole[..whole.len() - 3].to_vec(), false), (flipped, false)];
    for (n, (bytes, is_sound)) in table.into_iter().enumerate() {
        std::fs::write(&path, &bytes).expect("written");
        for time in ["first", "second"] {
            let opened = open(&path).expect("it opens");
            let seats = opened.seats;
            match is_sound {
                true => assert_eq!(seats, sound, "{time}"),
                false => assert!(seats.held.is_empty() && seats.epoch > 60_000, "case {n} {time}: {seats:?}"),
            }
        }
        let aside = folder.0.join(format!("seats.log.log-{}", n + 1));
        assert_eq!(std::fs::read(&aside).expect("set aside"), bytes, "case {n}");
        std::fs::remove_file(&path).expect("the store");
    }
    // A cut between the two renames: the store waits beside.
    std::fs::write(&path, &whole).expect("written");
    drop(open(&path).expect("it opens"));
    std::fs::rename(&path, folder.0.join("seats.log.next")).expect("renamed");
    assert_eq!(open(&path).expect("it opens").seats, sound);
    // A front that is given a store of its own takes over what the file of seats says.
    let own = folder.0.join("front.store");
    assert_eq!(open_with(&own, Some(&path)).expect("it opens").seats, sound);
    assert!(!path.exists() && folder.0.join("seats.log.moved-1").exists());
    assert_eq!(open_with(&own, Some(&path)).expect("it opens").seats, sound);
}

#[test]
fn seats_outlive_restarts_in_few_bytes_and_a_damaged_store_claims_nothing() {
    let folder = Folder::new("store");
    let path = folder.0.join("seats.store");
    let opened = open(&path).expect("a new store");
    assert_eq!(opened.seats, State::default());
    let keeper = StoreWriter::start(opened.store);
    keeper.save_and_sync([Record::Epoch(1).into()]).expect("on the disk");
    keeper.save(Record::Held(LeaseId(7), key()));
    for n in 100..20_000 {
        keeper.save_all([Record::Held(LeaseId(n), key()).into(), Record::Gone(LeaseId(n)).into()]);
    }
    drop(keeper);
    let opened = open(&path).expect("the store");
    assert_eq!(opened.seats, State { epoch: 1, held: [(LeaseId(7), key())].into(), damaged_at: None });
    drop(opened);
    let mut bytes = std::fs::read(&path).expect("bytes");
    assert!(bytes.len() < 4 << 20, "{} bytes", bytes.len());
    bytes.truncate(5_000);
    std::fs::write(&path, &bytes).expect("written");
    let opened = open(&path).expect("it opens");
    assert!(opened.seats.held.is_empty() && opened.seats.epoch > 60_000, "{:?}", opened.seats);
}

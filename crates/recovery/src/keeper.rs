//! Keeps records on a thread of its own: a sync of the disk may take longer than a viewer waits.

use crate::record::{Change, Key};
use crate::store::{Fault, Store};
use std::collections::BTreeMap;
use std::sync::mpsc;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// After the disk refused, it is tried again after this.
const PAUSE: Duration = Duration::from_secs(10);
/// From one sync of the disk to the next, at least: what comes meanwhile goes with one sync. A process that is killed loses
/// so much at most, and the time of a sync.
const PACE: Duration = Duration::from_millis(20);
/// Changes that wait at most: all sessions of a front, twice. Where the disk refuses for so long that more come, changes of
/// new keys are dropped: what is kept then is older, which costs what the kinds of [`crate::record::Record`] say.
pub const MOST_WAITING: usize = 1 << 18;

#[derive(Debug, Default)]
struct Waiting {
    /// The newest of each key.
    changes: BTreeMap<Key, Change>,
    /// Who waits until all that is there is on the disk.
    urgent: Vec<mpsc::Sender<Result<(), String>>>,
    dropped: u64,
    over: bool,
}

impl Waiting {
    fn take(&mut self, change: Change) {
        let key = change.key();
        if self.changes.len() < MOST_WAITING || self.changes.contains_key(&key) {
            self.changes.insert(key, change);
            return;
        }
        if self.dropped == 0 {
            warn!("{MOST_WAITING} changes wait for the disk: others are dropped");
        }
        self.dropped += 1;
    }
}

/// The way to the thread. Of changes that wait, the newest of each key is kept; older ones are dropped. What is kept at any
/// time is what was to be kept at some earlier one: changes go to the disk in their order, all that wait at once.
#[derive(Debug)]
pub struct Keeper {
    waiting: Arc<(Mutex<Waiting>, Condvar)>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Keeper {
    /// Starts the thread.
    pub fn start(store: Store) -> Self {
        let waiting: Arc<(Mutex<Waiting>, Condvar)> = Arc::default();
        let there = waiting.clone();
        let thread = std::thread::spawn(move || keep(&store, &there));
        Keeper { waiting, thread: Some(thread) }
    }

    /// Has something kept, or no longer; at once, as far as this side is concerned.
    pub fn keep(&self, change: impl Into<Change>) {
        self.keep_all([change.into()]);
    }

    /// The same of several changes, which go to the disk together.
    pub fn keep_all(&self, changes: impl IntoIterator<Item = Change>) {
        let (waiting, changed) = &*self.waiting;
        if let Ok(mut waiting) = waiting.lock() {
            let first = waiting.changes.is_empty();
            changes.into_iter().for_each(|c| waiting.take(c));
            if first {
                changed.notify_one();
            }
        }
    }

    /// Has changes kept, with all that wait, and returns when they are on the disk.
    ///
    /// # Errors
    ///
    /// What the disk says; the changes wait on and are tried again.
    pub fn keep_now(&self, changes: impl IntoIterator<Item = Change>) -> Result<(), Fault> {
        let (told, heard) = mpsc::channel();
        let (waiting, changed) = &*self.waiting;
        if let Ok(mut waiting) = waiting.lock() {
            changes.into_iter().for_each(|c| waiting.take(c));
            waiting.urgent.push(told);
            changed.notify_one();
        }
        let ended = || Err("the thread that keeps has ended".to_owned());
        heard.recv().unwrap_or_else(|_| ended()).map_err(Fault::Disk)
    }
}

impl Drop for Keeper {
    /// What waits is still kept.
    fn drop(&mut self) {
        let (waiting, changed) = &*self.waiting;
        if let Ok(mut waiting) = waiting.lock() {
            waiting.over = true;
            changed.notify_one();
        }
        let _ = self.thread.take().map(std::thread::JoinHandle::join);
    }
}

fn keep(store: &Store, (waiting, changed): &(Mutex<Waiting>, Condvar)) {
    let mut refused = false;
    let mut last = Instant::now().checked_sub(PACE);
    loop {
        let Ok(guard) = waiting.lock() else { return };
        let idle = |w: &mut Waiting| w.changes.is_empty() && w.urgent.is_empty() && !w.over;
        let Ok(guard) = changed.wait_while(guard, idle) else { return };
        let left = last.map_or(Duration::ZERO, |at| PACE.saturating_sub(at.elapsed()));
        let slow = |w: &mut Waiting| w.urgent.is_empty() && !w.over;
        let Ok((mut guard, _)) = changed.wait_timeout_while(guard, left, slow) else { return };
        let over = guard.over;
        let changes: Vec<Change> = std::mem::take(&mut guard.changes).into_values().collect();
        let urgent = std::mem::take(&mut guard.urgent);
        drop(guard);
        let mut kept = store.keep(&changes);
        let mut too_long = Vec::new();
        while let Err(Fault::TooLong(key)) = &kept {
            warn!("the former record of {} stays: this one is too long", key.text());
            too_long.push(key.clone());
            let rest = changes.iter().filter(|c| !too_long.contains(&c.key())).cloned().collect::<Vec<_>>();
            kept = store.keep(&rest);
        }
        last = Some(Instant::now());
        for waits in urgent {
            let _ = waits.send(kept.as_ref().map_err(ToString::to_string).copied());
        }
        match kept {
            Ok(()) if refused => {
                refused = false;
                info!("the store keeps again");
            }
            Ok(()) => {}
            Err(e) => {
                if !refused {
                    warn!("nothing is kept for the next start: {e}; {}", e.advice());
                }
                refused = true;
                // What came meanwhile is newer.
                let Ok(mut guard) = waiting.lock() else { return };
                for change in changes {
                    let key = change.key();
                    if !too_long.contains(&key) {
                        guard.changes.entry(key).or_insert(change);
                    }
                }
                if !over {
                    let _ = changed.wait_timeout_while(guard, PAUSE, |w| !w.over && w.urgent.is_empty());
                }
            }
        }
        if over {
            return;
        }
    }
}

//! Writes records to the store on a separate thread, because syncing the disk may take longer than a viewer waits.

use crate::record::{Change, Key};
use crate::store::{Store, StoreError};
use std::collections::BTreeMap;
use std::sync::mpsc;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Delay before a retry after a failed write.
const RETRY_DELAY: Duration = Duration::from_secs(10);
/// Minimum time between two syncs of the disk; changes that arrive meanwhile are written with one sync. A killed process
/// loses at most the changes of this time and of one sync.
const MIN_SYNC_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of pending changes: twice the sessions of a front. If the disk fails for so long that there are more,
/// changes of further keys are dropped. The stored state is then outdated, with the consequences that the variants of
/// [`crate::record::Record`] describe.
pub const MAX_PENDING_CHANGES: usize = 1 << 18;

#[derive(Debug, Default)]
struct PendingChanges {
    /// The latest change of each key.
    changes: BTreeMap<Key, Change>,
    /// Callers that wait until all pending changes are on the disk.
    sync_requests: Vec<mpsc::Sender<Result<(), String>>>,
    dropped: u64,
    shutting_down: bool,
}

impl PendingChanges {
    fn add(&mut self, change: Change) {
        let key = change.key();
        if self.changes.len() < MAX_PENDING_CHANGES || self.changes.contains_key(&key) {
            self.changes.insert(key, change);
            return;
        }
        if self.dropped == 0 {
            warn!("{MAX_PENDING_CHANGES} changes are waiting for the disk; further ones are dropped");
        }
        self.dropped += 1;
    }
}

/// Handle of the writer thread. Only the latest pending change of each key is written. The store always holds the state of
/// some earlier moment, because all pending changes are committed together and in order.
#[derive(Debug)]
pub struct StoreWriter {
    pending: Arc<(Mutex<PendingChanges>, Condvar)>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl StoreWriter {
    /// Starts the writer thread.
    pub fn start(store: Store) -> Self {
        let pending: Arc<(Mutex<PendingChanges>, Condvar)> = Arc::default();
        let shared = pending.clone();
        let thread = std::thread::spawn(move || run_writer(&store, &shared));
        StoreWriter { pending, thread: Some(thread) }
    }

    /// Queues a change and returns at once.
    pub fn save(&self, change: impl Into<Change>) {
        self.save_all([change.into()]);
    }

    /// Queues several changes, which are committed together.
    pub fn save_all(&self, changes: impl IntoIterator<Item = Change>) {
        let (pending, changed) = &*self.pending;
        if let Ok(mut pending) = pending.lock() {
            let first = pending.changes.is_empty();
            changes.into_iter().for_each(|c| pending.add(c));
            if first {
                changed.notify_one();
            }
        }
    }

    /// Queues changes and returns once all pending changes are on the disk.
    ///
    /// # Errors
    ///
    /// The disk failed. The changes stay pending and are retried.
    pub fn save_and_sync(&self, changes: impl IntoIterator<Item = Change>) -> Result<(), StoreError> {
        let (sender, receiver) = mpsc::channel();
        let (pending, changed) = &*self.pending;
        if let Ok(mut pending) = pending.lock() {
            changes.into_iter().for_each(|c| pending.add(c));
            pending.sync_requests.push(sender);
            changed.notify_one();
        }
        let ended = || Err("the writer thread of the store has ended".to_owned());
        receiver.recv().unwrap_or_else(|_| ended()).map_err(StoreError::Io)
    }
}

impl Drop for StoreWriter {
    /// Waits until the pending changes are written.
    fn drop(&mut self) {
        let (pending, changed) = &*self.pending;
        if let Ok(mut pending) = pending.lock() {
            pending.shutting_down = true;
            changed.notify_one();
        }
        let _ = self.thread.take().map(std::thread::JoinHandle::join);
    }
}

fn run_writer(store: &Store, (pending, changed): &(Mutex<PendingChanges>, Condvar)) {
    let mut failing = false;
    let mut last_sync = Instant::now().checked_sub(MIN_SYNC_INTERVAL);
    loop {
        let Ok(guard) = pending.lock() else { return };
        let has_nothing_to_do =
            |w: &mut PendingChanges| w.changes.is_empty() && w.sync_requests.is_empty() && !w.shutting_down;
        let Ok(guard) = changed.wait_while(guard, has_nothing_to_do) else { return };
        let left = last_sync.map_or(Duration::ZERO, |at| MIN_SYNC_INTERVAL.saturating_sub(at.elapsed()));
        let can_wait = |w: &mut PendingChanges| w.sync_requests.is_empty() && !w.shutting_down;
        let Ok((mut guard, _)) = changed.wait_timeout_while(guard, left, can_wait) else { return };
        let shutting_down = guard.shutting_down;
        let changes: Vec<Change> = std::mem::take(&mut guard.changes).into_values().collect();
        let sync_requests = std::mem::take(&mut guard.sync_requests);
        drop(guard);
        let mut result = store.commit(&changes);
        let mut too_long = Vec::new();
        while let Err(StoreError::RecordTooLong(key)) = &result {
            warn!("record {} is too long; its previous version is kept", key.store_key());
            too_long.push(key.clone());
            let rest = changes.iter().filter(|c| !too_long.contains(&c.key())).cloned().collect::<Vec<_>>();
            result = store.commit(&rest);
        }
        last_sync = Some(Instant::now());
        for waits in sync_requests {
            let _ = waits.send(result.as_ref().map_err(ToString::to_string).copied());
        }
        match result {
            Ok(()) if failing => {
                failing = false;
                info!("the store is writable again");
            }
            Ok(()) => {}
            Err(e) => {
                if !failing {
                    warn!("can't save state for the next start: {e}; {}", e.advice());
                }
                failing = true;
                // Changes that arrived meanwhile are newer and take precedence.
                let Ok(mut guard) = pending.lock() else { return };
                for change in changes {
                    let key = change.key();
                    if !too_long.contains(&key) {
                        guard.changes.entry(key).or_insert(change);
                    }
                }
                if !shutting_down {
                    let _ = changed.wait_timeout_while(guard, RETRY_DELAY, |w| {
                        !w.shutting_down && w.sync_requests.is_empty()
                    });
                }
            }
        }
        if shutting_down {
            return;
        }
    }
}

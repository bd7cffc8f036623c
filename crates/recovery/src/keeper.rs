//! Keeps records on a thread of its own: a sync of the disk may take longer than a viewer waits.

use crate::record::Record;
use crate::store::Store;
use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;
use tracing::{info, warn};

/// After the disk refused, it is tried again after this.
const PAUSE: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
struct Waiting {
    /// The newest of each kind.
    records: BTreeMap<&'static str, Record>,
    over: bool,
}

/// The way to the thread. Of records that wait, the newest of each kind is kept; older ones are dropped, so that no more
/// than one of each waits.
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

    /// Has a record kept; at once, as far as this side is concerned.
    pub fn keep(&self, record: Record) {
        let (waiting, changed) = &*self.waiting;
        if let Ok(mut waiting) = waiting.lock() {
            waiting.records.insert(record.key(), record);
            changed.notify_one();
        }
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
    loop {
        let Ok(mut guard) = waiting.lock() else { return };
        while guard.records.is_empty() && !guard.over {
            match changed.wait(guard) {
                Ok(next) => guard = next,
                Err(_) => return,
            }
        }
        let over = guard.over;
        let records: Vec<Record> = std::mem::take(&mut guard.records).into_values().collect();
        drop(guard);
        match store.keep(&records) {
            Ok(()) if refused => {
                refused = false;
                info!("the store keeps again");
            }
            Ok(()) => {}
            Err(e) => {
                if !refused {
                    warn!("nothing is kept for the next start: {e}");
                }
                refused = true;
                // What came meanwhile is newer.
                let Ok(mut guard) = waiting.lock() else { return };
                for record in records {
                    guard.records.entry(record.key()).or_insert(record);
                }
                if !over {
                    let _ = changed.wait_timeout_while(guard, PAUSE, |w| !w.over);
                }
            }
        }
        if over {
            return;
        }
    }
}

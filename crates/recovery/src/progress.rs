//! Reports the progress of recovery to operators' tools. It does not influence recovery.

use crate::Nanos;
use crate::phases::Phase;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// The progress of recovery.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Progress {
    /// The current phase.
    pub phase: Phase,
    /// What the phase waits for, as text.
    pub waits_for: String,
    /// Time left until the limit of the phase; 0 in service.
    pub left: Nanos,
}

/// A callback for progress, or none.
#[derive(Clone, Default)]
pub struct ProgressObserver(Option<Arc<dyn Fn(Progress) + Send + Sync>>);

impl ProgressObserver {
    /// Calls `notify` with each progress. It must not block.
    pub fn new(notify: impl Fn(Progress) + Send + Sync + 'static) -> Self {
        ProgressObserver(Some(Arc::new(notify)))
    }

    /// Notifies the callback. Without one, the progress is not computed.
    pub(crate) fn notify(&self, progress: impl FnOnce() -> Progress) {
        if let Some(notify) = &self.0 {
            notify(progress());
        }
    }
}

impl std::fmt::Debug for ProgressObserver {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("ProgressObserver").field(&self.0.is_some()).finish()
    }
}

/// Observers don't distinguish otherwise equal recoveries.
impl PartialEq for ProgressObserver {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for ProgressObserver {}

impl Hash for ProgressObserver {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}

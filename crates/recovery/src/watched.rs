//! Who is told how far recovery is, for people's tools: no part of what recovery decides.

use crate::Nanos;
use crate::phases::Phase;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// How far recovery is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stage {
    /// Where it stands.
    pub phase: Phase,
    /// What is waited for, in words.
    pub waits_for: String,
    /// What is left of the phase's limit; 0 in service.
    pub left: Nanos,
}

/// Somebody who is told of each stage, or nobody.
#[derive(Clone, Default)]
pub struct Watched(Option<Arc<dyn Fn(Stage) + Send + Sync>>);

impl Watched {
    /// Each stage is handed to `by`, which must not wait.
    pub fn by(by: impl Fn(Stage) + Send + Sync + 'static) -> Self {
        Watched(Some(Arc::new(by)))
    }

    /// Tells where somebody is told; else nothing is put into words.
    pub(crate) fn tell(&self, stage: impl FnOnce() -> Stage) {
        if let Some(by) = &self.0 {
            by(stage());
        }
    }
}

impl std::fmt::Debug for Watched {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Watched").field(&self.0.is_some()).finish()
    }
}

/// Two recoveries are the same whoever watches them.
impl PartialEq for Watched {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Watched {}

impl Hash for Watched {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}

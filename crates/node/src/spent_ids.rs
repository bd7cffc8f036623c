//! Ids of sessions that may not be set up again.
//!
//! A session of a class that is set up once at most may have run as soon as its set-up was sent. If its id is requested again
//! after it is over, it can't be sent, nor refused as if it had never run.

use micadyke::interface::SessionId;
use std::collections::{BTreeSet, VecDeque};

/// Maximum ids that are remembered; the oldest is forgotten for a newer one.
const MAX_SPENT_IDS: usize = 4096;

/// The latest ids that may not be set up again.
#[derive(Debug, Default)]
pub(crate) struct SpentIds {
    known: BTreeSet<SessionId>,
    /// The same, oldest first.
    order: VecDeque<SessionId>,
}

impl SpentIds {
    /// Adds an id.
    pub(crate) fn add(&mut self, id: SessionId) {
        if !self.known.insert(id) {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > MAX_SPENT_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    /// Whether an id may not be set up again.
    pub(crate) fn contains(&self, id: SessionId) -> bool {
        self.known.contains(&id)
    }
}

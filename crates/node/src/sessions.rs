//! The sessions of a node, within a bound of memory.

use crate::limits::{SESSION_BYTES, session_memory};
use crate::spent_ids::SpentIds;
use crate::state::Session;
use micadyke::interface::{Class, Effect, SessionId};
use std::collections::BTreeMap;
use std::ops::Deref;

/// Sessions by id, and the memory that they take.
#[derive(Debug)]
pub(crate) struct Sessions {
    by_id: BTreeMap<SessionId, Session>,
    bytes: usize,
    max_bytes: usize,
    /// Whether sessions must not be set up more than once, by class.
    at_most_once: Vec<bool>,
    /// Ids of removed sessions that may not be set up again.
    spent_ids: SpentIds,
}

impl Sessions {
    /// No sessions, in a node with this much memory and these classes.
    pub(crate) fn new(node_memory: usize, classes: &[Class]) -> Self {
        Sessions {
            by_id: BTreeMap::new(),
            bytes: 0,
            max_bytes: session_memory(node_memory),
            at_most_once: classes.iter().map(|class| class.effect == Effect::AtMostOnce).collect(),
            spent_ids: SpentIds::default(),
        }
    }

    /// Whether a set-up with a description of this length may be held.
    pub(crate) fn has_room_for_setup(&self, description: usize) -> bool {
        self.bytes + SESSION_BYTES + description <= self.max_bytes
    }

    /// Whether a session that plays already may be taken over. Half of the room is kept for set-ups.
    pub(crate) fn has_room_for_hand_over(&self) -> bool {
        self.bytes + SESSION_BYTES <= self.max_bytes / 2
    }

    /// Adds a session whose id is not in use.
    pub(crate) fn insert(&mut self, id: SessionId, session: Session) {
        self.bytes += session.bytes();
        if let Some(former) = self.by_id.insert(id, session) {
            self.bytes -= former.bytes();
        }
    }

    /// Removes a session.
    pub(crate) fn remove(&mut self, id: &SessionId) -> Option<Session> {
        let session = self.by_id.remove(id)?;
        self.bytes -= session.bytes();
        let class = session.request.class.0;
        let is_at_most_once = self.at_most_once.get(class).copied().unwrap_or(false);
        if is_at_most_once && session.may_have_run {
            self.spent_ids.add(*id);
        }
        Some(session)
    }

    /// Whether a session with this id is over that may not be set up again.
    pub(crate) fn is_spent(&self, id: SessionId) -> bool {
        self.spent_ids.contains(id)
    }

    /// A session, to be changed. Its description is dropped by [`Self::drop_description`].
    pub(crate) fn get_mut(&mut self, id: &SessionId) -> Option<&mut Session> {
        self.by_id.get_mut(id)
    }

    /// The description of a session is needed no more.
    pub(crate) fn drop_description(&mut self, id: SessionId) {
        if let Some(session) = self.by_id.get_mut(&id) {
            self.bytes -= std::mem::take(&mut session.description).len();
        }
    }
}

impl Deref for Sessions {
    type Target = BTreeMap<SessionId, Session>;

    fn deref(&self) -> &Self::Target {
        &self.by_id
    }
}

impl Session {
    /// The memory that it counts for.
    fn bytes(&self) -> usize {
        SESSION_BYTES + self.description.len()
    }
}

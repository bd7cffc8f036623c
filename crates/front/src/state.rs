//! The front as all its parts see it: what it holds, beneath [`crate::core`], `signalling`, `media` and `seating`, which
//! each write in it.

use crate::asking::Asking;
use crate::books::{Calls, Owed, Plays, Publications, Sessions, Visits};
use crate::hints::Ladder;
use crate::io::{Output, Timer};
use crate::returning::Returning;
use crate::seats::Seats;
use crate::session::Asked;
use micadyke::interface::{Action, Event, Nanos, Rung, ServerId, SessionId};
use micadyke::module::Decide;
use micadyke_config::{BoxRow, Config, Title};
use micadyke_recovery::retry_spreader::RetrySpreader;
use micadyke_tokens::bearer::Checker;
use rand::rngs::StdRng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

/// A box as the list names it, and the sessions there.
#[derive(Debug)]
pub(crate) struct MediaBox {
    pub row: BoxRow,
    /// Sessions of WHIP and WHEP.
    pub playing: BTreeSet<SessionId>,
    /// Plays over HTTP.
    pub plays: BTreeSet<SessionId>,
}

/// Counts of what the front did, since its start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Offers taken.
    pub taken: u64,
    /// Sessions that came to play.
    pub played: u64,
    /// Offers refused by the module.
    pub refused: u64,
    /// Offers that failed.
    pub failed: u64,
    /// Viewers that left before their answer.
    pub left: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Sessions withdrawn at boxes because nobody waited for them.
    pub withdrawn: u64,
}

/// The front. See the module's text.
pub struct Front {
    pub(crate) config: Rc<Config>,
    pub(crate) module: Box<dyn Decide>,
    pub(crate) now: Nanos,
    pub(crate) random: StdRng,
    pub(crate) stopping: bool,
    pub(crate) next_id: u64,
    pub(crate) events: VecDeque<Event>,
    pub(crate) actions: Vec<Action>,
    pub(crate) timers: BinaryHeap<Reverse<(Nanos, u64, Timer)>>,
    pub(crate) boxes: BTreeMap<ServerId, MediaBox>,
    pub(crate) sessions: Sessions,
    pub(crate) calls: Calls,
    pub(crate) owed: Owed,
    pub(crate) publications: Publications,
    pub(crate) visits: Visits,
    pub(crate) plays: Plays,
    /// The ladder of each class, as players count it.
    pub(crate) ladders: Rc<[Ladder]>,
    /// What checks signed tokens, and the Unix time of the front's time zero, in nanoseconds.
    pub(crate) entitlements: Option<(Checker, u64)>,
    /// Seats of the issuer, where the settings name one.
    pub(crate) seats: Option<Box<Seats>>,
    pub(crate) counts: Counts,
    /// The book of sessions is kept.
    pub(crate) keeping: bool,
    /// The front comes back from before, until it serves.
    pub(crate) returning: Option<Box<Returning>>,
    /// Sessions of before that their boxes are asked for.
    pub(crate) asking: Asking,
    /// When those that are refused meanwhile are told to come back.
    pub(crate) spread: Option<RetrySpreader>,
    /// After a power loss no box is warmer than one that started at this Unix time.
    pub(crate) cold_from: u64,
    pub(crate) out: Vec<Output>,
    /// The next attempt goes out without waiting for the last one to close: a front broken on purpose.
    pub(crate) overlap: bool,
    /// Questions are told of as they are taken.
    pub(crate) recording: bool,
    /// What the list says of a box's state is not heard: a front broken on purpose.
    pub(crate) deaf: bool,
}

impl std::fmt::Debug for Front {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Front {{ sessions: {}, calls: {} }}", self.sessions.len(), self.calls.len())
    }
}

/// A session that a viewer wants, checked and ready to be placed.
pub(crate) struct Wanted {
    pub route: usize,
    pub title: Arc<str>,
    /// Media section whose layers are chosen.
    pub media: Box<str>,
    /// The highest rung that the viewer can use.
    pub top: Rung,
    /// It waits so long for its answer.
    pub patience: Nanos,
    /// Equal for equal viewers of equal titles.
    pub visitor: u64,
    pub place: Title,
    /// Random name of its resource.
    pub name: u128,
    pub asked: Asked,
}

//! The books of who is owed what: sessions, calls to boxes, answers owed, publications, visitors. Each keeps its own
//! indexes in step; nothing here decides anything.

use crate::hints::Hints;
use crate::io::{CallId, ConnId, Purpose, StreamId};
use crate::session::{Phase, Session, SettingUp};
use micadyke::interface::{Nanos, SessionId};
use micadyke_config::Title;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::IpAddr;
use std::sync::Arc;

/// Sessions, by number, by the name of their resource and by the event stream that tells of them.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    all: HashMap<SessionId, Session>,
    names: HashMap<u128, SessionId>,
    streams: HashMap<StreamId, SessionId>,
    /// Those that ended, by name with their route, and the names from the oldest on.
    ended: (HashMap<u128, usize>, VecDeque<u128>),
}

impl Sessions {
    pub(crate) fn len(&self) -> usize {
        self.all.len()
    }

    pub(crate) fn get(&self, id: SessionId) -> Option<&Session> {
        self.all.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: SessionId) -> Option<&mut Session> {
        self.all.get_mut(&id)
    }

    /// A session whose answer is owed, or whose set-up goes on for nobody.
    pub(crate) fn setting_up(&mut self, id: SessionId) -> Option<&mut SettingUp> {
        self.all.get_mut(&id).and_then(Session::setting_up)
    }

    /// Opens the books of a session.
    pub(crate) fn open(&mut self, id: SessionId, session: Session) {
        self.all.insert(id, session);
    }

    /// A session plays: its resource can be asked for from now on.
    pub(crate) fn published_name(&mut self, id: SessionId) {
        if let Some(s) = self.all.get(&id) {
            self.names.insert(s.name, id);
        }
    }

    /// The session of a resource.
    pub(crate) fn by_name(&self, name: u128) -> Option<SessionId> {
        self.names.get(&name).copied()
    }

    /// An event stream tells of a session.
    pub(crate) fn listen(&mut self, stream: StreamId, id: SessionId) {
        self.streams.insert(stream, id);
    }

    /// The session that an event stream tells of.
    pub(crate) fn by_stream(&self, stream: StreamId) -> Option<SessionId> {
        self.streams.get(&stream).copied()
    }

    /// An event stream is closed; the session that it told of.
    pub(crate) fn unlisten(&mut self, stream: StreamId) -> Option<SessionId> {
        self.streams.remove(&stream)
    }

    /// Closes a session's books; the event stream that told of it, if one was open. The name of one that played stays
    /// known, `most` of them at most, so that a repeated DELETE is answered alike.
    pub(crate) fn close(&mut self, id: SessionId, most: usize) -> Option<(Session, Option<StreamId>)> {
        let session = self.all.remove(&id)?;
        self.names.remove(&session.name);
        let Phase::Playing(p) = &session.phase else { return Some((session, None)) };
        let stream = p.stream;
        if let Some(stream) = stream {
            self.streams.remove(&stream);
        }
        let (names, order) = &mut self.ended;
        names.insert(session.name, session.route);
        order.push_back(session.name);
        if order.len() > most
            && let Some(old) = order.pop_front()
        {
            names.remove(&old);
        }
        Some((session, stream))
    }

    /// The route of a resource, also of one whose session has ended.
    pub(crate) fn route(&self, name: u128) -> Option<usize> {
        let playing = self.by_name(name).and_then(|id| self.get(id)).map(|s| s.route);
        playing.or_else(|| self.ended.0.get(&name).copied())
    }
}

/// Calls to boxes and to the issuer that are out.
#[derive(Debug, Default)]
pub(crate) struct Calls(HashMap<CallId, Purpose>);

impl Calls {
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn begin(&mut self, call: CallId, purpose: Purpose) {
        self.0.insert(call, purpose);
    }

    pub(crate) fn end(&mut self, call: CallId) -> Option<Purpose> {
        self.0.remove(&call)
    }

    pub(crate) fn is_out(&self, call: CallId) -> bool {
        self.0.contains_key(&call)
    }

    /// Attempts, and calls that withdraw what nobody waits for.
    pub(crate) fn unsettled(&self) -> usize {
        let open = |p: &&Purpose| matches!(p, Purpose::Withdraw { .. } | Purpose::SetUp { .. });
        self.0.values().filter(open).count()
    }

    /// An attempt is given up and its connection closed: what it sets up is for nobody.
    pub(crate) fn give_up(&mut self, call: CallId) {
        if let Some(Purpose::SetUp { aborted, orphan, .. }) = self.0.get_mut(&call) {
            (*aborted, *orphan) = (true, true);
        }
    }

    /// An attempt has had its time, and nobody waits for its answer any more; whose it was, the first time.
    pub(crate) fn overdue(&mut self, call: CallId) -> Option<(SessionId, micadyke::interface::ServerId)> {
        let Some(Purpose::SetUp { session, server, orphan, .. }) = self.0.get_mut(&call) else { return None };
        (!std::mem::replace(orphan, true)).then_some((*session, *server))
    }
}

/// Viewers' requests that have no answer yet.
#[derive(Debug, Default)]
pub(crate) struct Owed {
    offers: HashMap<ConnId, SessionId>,
    patches: BTreeSet<ConnId>,
}

impl Owed {
    pub(crate) fn len(&self) -> usize {
        self.offers.len() + self.patches.len()
    }

    /// An offer is taken for a session.
    pub(crate) fn offer(&mut self, conn: ConnId, id: SessionId) {
        self.offers.insert(conn, id);
    }

    /// A change of a session waits for its box.
    pub(crate) fn patch(&mut self, conn: ConnId) {
        self.patches.insert(conn);
    }

    /// Whether a change of a session, or a manifest, is still waited for.
    pub(crate) fn waits(&self, conn: ConnId) -> bool {
        self.patches.contains(&conn)
    }

    /// A request is answered, or nobody waits for it any more; the session whose offer it was.
    pub(crate) fn settled(&mut self, conn: ConnId) -> Option<SessionId> {
        self.patches.remove(&conn);
        self.offers.remove(&conn)
    }
}

/// Published titles and their publishers; without a place while the set-up runs.
#[derive(Debug, Default)]
pub(crate) struct Publications(HashMap<Arc<str>, (SessionId, Option<Title>)>);

impl Publications {
    /// A publisher is about to publish a title.
    pub(crate) fn announce(&mut self, title: Arc<str>, by: SessionId) {
        self.0.insert(title, (by, None));
    }

    /// A title is published at a place.
    pub(crate) fn publish(&mut self, title: Arc<str>, by: SessionId, at: Title) {
        self.0.insert(title, (by, Some(at)));
    }

    /// A publisher has ended; a title that another one has taken up stays.
    pub(crate) fn end(&mut self, title: &str, by: SessionId) {
        if self.0.get(title).is_some_and(|p| p.0 == by) {
            self.0.remove(title);
        }
    }

    /// Whether a title is published or about to be, and where.
    pub(crate) fn find(&self, title: &str) -> Option<Option<Title>> {
        self.0.get(title).map(|p| p.1)
    }
}

/// A viewer that asks again within this time counts as come again.
const AGAIN: Nanos = 60_000_000_000;
/// Viewers remembered for that; the oldest is forgotten first and then counts as new.
const AGAIN_MOST: usize = 65_536;

/// Who asked for a title of late.
#[derive(Debug, Default)]
pub(crate) struct Visits {
    last: HashMap<u64, Nanos>,
    order: VecDeque<(u64, Nanos)>,
}

impl Visits {
    /// Whether a viewer asked for a title before, of late; it is remembered now.
    pub(crate) fn again(&mut self, key: u64, now: Nanos) -> bool {
        while self.order.front().is_some_and(|o| o.1 + AGAIN < now || self.order.len() > AGAIN_MOST) {
            if let Some((key, at)) = self.order.pop_front()
                && self.last.get(&key) == Some(&at)
            {
                self.last.remove(&key);
            }
        }
        self.order.push_back((key, now));
        self.last.insert(key, now).is_some_and(|at| at + AGAIN >= now)
    }
}

/// What a request of a play is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Want {
    /// A manifest, by its path under the title.
    Manifest(Box<str>),
    /// Anything else that its manifests name.
    Part(Box<str>),
}

/// A viewer's play over HTTP. It outlasts its session, which is bound to a box: a play whose box went is placed again.
#[derive(Debug)]
pub(crate) struct Play {
    pub route: usize,
    pub title: Arc<str>,
    /// The player's own id for it (CMCD `sid`), where it tells one.
    pub sid: Option<Box<str>>,
    /// Where its requests came from last.
    pub peer: IpAddr,
    /// The manifest that it began with.
    pub entry: Box<str>,
    /// Its session; `None`: it has no place now.
    pub session: Option<SessionId>,
    /// Attempts to set it up that are not closed yet: until then no other goes out.
    pub out: u32,
    /// It had a place; one that has lost it is placed anew when it asks.
    pub stood: bool,
    /// Requests that wait for its place.
    pub waiting: Vec<(ConnId, Want)>,
    /// When it was last heard of.
    pub heard: Nanos,
    /// The highest rung that its viewer can use.
    pub top: usize,
    /// What its player tells of itself.
    pub hints: Hints,
}

impl Play {
    /// What boxes know the play by: its player's id, or the name that the front gave it.
    pub(crate) fn known_as(&self, name: u128) -> Box<str> {
        self.sid.clone().unwrap_or_else(|| format!("{name:032x}").into())
    }
}

/// Plays, by the random name that their references carry, and by their player's id.
#[derive(Debug, Default)]
pub(crate) struct Plays {
    all: HashMap<u128, Play>,
    /// Under which route, and by what name, a title is played by a player's id.
    ids: HashMap<(Arc<str>, Box<str>), (usize, u128)>,
    /// Attempts that are out, and whose they are.
    attempts: HashMap<CallId, u128>,
}

impl Plays {
    pub(crate) fn len(&self) -> usize {
        self.all.len()
    }

    pub(crate) fn open(&mut self, name: u128, play: Play) {
        if let Some(sid) = &play.sid {
            self.ids.insert((play.title.clone(), sid.clone()), (play.route, name));
        }
        self.all.insert(name, play);
    }

    pub(crate) fn get_mut(&mut self, name: u128) -> Option<&mut Play> {
        self.all.get_mut(&name)
    }

    pub(crate) fn get(&self, name: u128) -> Option<&Play> {
        self.all.get(&name)
    }

    /// The play of a title that a player calls so.
    pub(crate) fn by_id(&self, route: usize, title: &Arc<str>, sid: &str) -> Option<u128> {
        self.ids.get(&(title.clone(), sid.into())).filter(|p| p.0 == route).map(|p| p.1)
    }

    /// Whether a title is played by an id, under whatever route.
    pub(crate) fn taken(&self, title: &Arc<str>, sid: &str) -> bool {
        self.ids.contains_key(&(title.clone(), sid.into()))
    }

    /// Closes a play; the one that it was.
    pub(crate) fn close(&mut self, name: u128) -> Option<Play> {
        let play = self.all.remove(&name)?;
        if let Some(sid) = &play.sid {
            self.ids.remove(&(play.title.clone(), sid.clone()));
        }
        Some(play)
    }

    /// A play goes on under another name: references that carry the old one lead nowhere.
    pub(crate) fn rename(&mut self, from: u128, to: u128) {
        if let Some(play) = self.close(from) {
            self.open(to, play);
            self.attempts.values_mut().filter(|n| **n == from).for_each(|n| *n = to);
        }
    }

    /// An attempt to set a play up goes out.
    pub(crate) fn sent(&mut self, call: CallId, name: u128) {
        if let Some(play) = self.all.get_mut(&name) {
            play.out += 1;
            self.attempts.insert(call, name);
        }
    }

    /// An attempt is closed; the play whose last one it was.
    pub(crate) fn settled(&mut self, call: CallId) -> Option<u128> {
        let name = self.attempts.remove(&call)?;
        let play = self.all.get_mut(&name)?;
        play.out = play.out.saturating_sub(1);
        (play.out == 0).then_some(name)
    }
}

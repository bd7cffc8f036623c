//! Viewers: what is taken at the door, what is owed to whom.

use crate::books::{Node, Session, Stage, Viewer, cause};
use crate::io::{ConnId, Output};
use crate::limits::MS;
use crate::limits::viewers::{
    HALF_REQUEST, OPEN_EACH, SILENT, STAY_AWAY, UNSOUND, UNSOUND_PAUSE, Withdrawals, evict,
};
use micadyke::interface::*;
use micadyke::module::Decide;
use micadyke_isup::{Frame, Message, Parser, code, kind};
use micadyke_settings::position;
use std::collections::BTreeSet;
use tracing::debug;

/// A sound set-up.
#[derive(Debug)]
struct SetUp {
    wish: SessionRequest,
    description: Vec<u8>,
    /// The viewer's name, where it is told.
    name: String,
    /// It plays already, at this server.
    at: Option<String>,
}

/// Bytes of a title at most.
const TITLE: usize = 128;
/// The longest patience that makes sense, in milliseconds; a viewer that names a longer one is held to it.
const PATIENCE: u64 = 600_000;

/// Reads a whole number: digits alone.
fn digits(text: &str) -> Option<u64> {
    (!text.is_empty() && text.len() <= 15 && text.bytes().all(|b| b.is_ascii_digit()))
        .then(|| text.parse().ok())
        .flatten()
}

/// Reads a number that may have a fraction, from 0.
fn figure(text: &str) -> Option<f64> {
    let plain = !text.is_empty() && text.len() <= 32 && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse().ok().filter(|v: &f64| plain && v.is_finite())
}

impl<D: Decide> Node<D> {
    pub(crate) fn viewer_opened(&mut self, conn: ConnId) {
        if self.viewers.len() >= self.most_viewers {
            let idlers = self.viewers.iter().map(|(c, v)| (c.0, v.idler()));
            match evict(idlers, self.now) {
                Some(old) => self.turn_out(ConnId(old), "room"),
                None => return self.out.push(Output::Close { conn }),
            }
        }
        let viewer = Viewer {
            parser: Parser::default(),
            open: BTreeSet::new(),
            since: self.now,
            last: self.now,
            spoke: false,
            asked: false,
            proven: false,
            standing: 0,
            unsound: 0,
            withdrawn: Withdrawals::default(),
            half: None,
        };
        self.viewers.insert(conn, viewer);
    }

    /// Closes a viewer's connection; set-ups that are open on it are given up.
    fn turn_out(&mut self, conn: ConnId, why: &str) {
        if let Some(v) = self.viewers.get(&conn) {
            let (age_ms, idle_ms) = ((self.now - v.since) / MS, (self.now - v.last) / MS);
            debug!(conn = conn.0, why, age_ms, idle_ms, spoke = v.spoke, "a viewer's connection is closed");
        }
        self.counts.closed += 1;
        self.out.push(Output::Close { conn });
        self.viewer_closed(conn);
    }

    pub(crate) fn viewer_closed(&mut self, conn: ConnId) {
        let Some(viewer) = self.viewers.remove(&conn) else { return };
        viewer.open.into_iter().for_each(|id| self.give_up(id));
    }

    pub(crate) fn viewer_data(&mut self, conn: ConnId, bytes: &[u8]) {
        let Some(viewer) = self.viewers.get_mut(&conn) else { return };
        viewer.parser.feed(bytes);
        loop {
            let Some(viewer) = self.viewers.get_mut(&conn) else { return };
            match viewer.parser.poll() {
                Ok(Some(frame)) => {
                    viewer.half = None;
                    self.frame(conn, frame);
                    self.settle();
                }
                Ok(None) => {
                    let waits = viewer.parser.pending() > 0;
                    viewer.half = if waits { viewer.half.or(Some(self.now)) } else { None };
                    return;
                }
                Err(fault) => {
                    self.counts.unsound += 1;
                    debug!(conn = conn.0, %fault, "a viewer's stream can't be read");
                    self.write(conn, &Message::new(kind::RELEASE, 0).with_cause(cause::UNSOUND));
                    return self.turn_out(conn, "unreadable");
                }
            }
        }
    }

    fn frame(&mut self, conn: ConnId, frame: Frame) {
        let message = match frame {
            Frame::Message(message) => message,
            Frame::Invalid { session, reason: what, .. } => return self.unsound(conn, session, what),
        };
        let id = SessionId(message.session);
        match message.kind {
            kind::SETUP => self.set_up(conn, message),
            kind::TEST => {
                let passed = u8::from(self.ready());
                self.write(conn, &Message::new(kind::TEST_RESULT, id.0).with_cause(passed));
                self.spoke(conn);
            }
            kind::RELEASE => match self.sessions.get(&id).map(|s| (s.stage, s.viewer)) {
                Some((Stage::Standing { .. }, _)) => {
                    self.spoke(conn);
                    self.ended_by_viewer(id, message.cause_value().unwrap_or(cause::GIVEN_UP));
                }
                // A set-up is given up by the connection that it came on.
                Some((_, owner)) if owner == conn => {
                    self.spoke(conn);
                    self.withdrawn(conn, id);
                }
                _ => self.write(conn, &Message::new(kind::RELEASE_ACK, id.0)),
            },
            kind::RELEASE_ACK | kind::PROGRESS | kind::REPORT => {}
            _ => self.unsound(conn, id.0, "a type that no viewer sends"),
        }
    }

    /// A viewer gives a set-up up on the connection that it came on.
    fn withdrawn(&mut self, conn: ConnId, id: SessionId) {
        self.give_up(id);
        if self.viewers.get_mut(&conn).is_some_and(|viewer| viewer.withdrew(id, self.now)) {
            self.turn_out(conn, "withdraws all that it asks for");
        }
    }

    fn spoke(&mut self, conn: ConnId) {
        let Some(viewer) = self.viewers.get_mut(&conn) else { return };
        (viewer.spoke, viewer.last) = (true, self.now);
    }

    /// A message that makes no sense: it is answered, its sender is not read for a while, and closed after some.
    fn unsound(&mut self, conn: ConnId, id: u64, what: &str) {
        self.counts.unsound += 1;
        debug!(conn = conn.0, id, what, "a viewer's message is unsound");
        // What would be taken for the answer to an open set-up, or the end of a session, is not said.
        if !self.sessions.contains_key(&SessionId(id)) {
            self.write(conn, &Message::new(kind::RELEASE, id).with_cause(cause::UNSOUND));
        }
        let Some(viewer) = self.viewers.get_mut(&conn) else { return };
        viewer.unsound += 1;
        if viewer.unsound >= UNSOUND {
            return self.turn_out(conn, "unsound");
        }
        self.out.push(Output::Pause { conn, span: UNSOUND_PAUSE });
    }

    fn set_up(&mut self, conn: ConnId, message: Message) {
        let id = SessionId(message.session);
        let set_up = match self.read_set_up(message) {
            Ok(set_up) => set_up,
            Err(what) => return self.unsound(conn, id.0, what),
        };
        if let Some(viewer) = self.viewers.get_mut(&conn) {
            viewer.asked = true;
        }
        if let Some(server) = set_up.at {
            return self.adopt(conn, set_up.wish, set_up.name, &server);
        }
        if self.sessions.contains_key(&id) {
            // Two set-ups under one number: neither can be told from the other, so nothing is answered under it.
            self.counts.unsound += 1;
            return self.turn_out(conn, "a number used twice");
        }
        let Some(viewer) = self.viewers.get(&conn) else { return };
        let most = if self.connection_settings.max_open_requests > 0 {
            self.connection_settings.max_open_requests as usize
        } else {
            usize::MAX
        };
        if viewer.open.len() >= OPEN_EACH || self.sessions.len() >= most {
            // Refused at the door: nothing of it was sent anywhere, so trying again is harmless.
            self.counts.turned_away += 1;
            return self.refuse_at_the_door(conn, id);
        }
        self.counts.taken += 1;
        self.spoke(conn);
        if let Some(viewer) = self.viewers.get_mut(&conn) {
            viewer.open.insert(id);
        }
        let session = Session::new(&set_up.wish, conn, Stage::New);
        let session = Session { description: set_up.description, name: set_up.name, ..session };
        self.sessions.insert(id, session);
        self.events.push_back(Event::Request(set_up.wish));
    }

    /// Refuses a set-up that the module was not told of, with advice where the settings allow it.
    fn refuse_at_the_door(&mut self, conn: ConnId, id: SessionId) {
        let refusal = Message::new(kind::RELEASE, id.0).with_cause(cause::REFUSED);
        let refusal = match STAY_AWAY.min(self.connection_settings.max_retry_after) / MS {
            0 => refusal,
            ms => refusal.with(code::RETRY_AFTER, ms.to_string()),
        };
        self.write(conn, &refusal);
        self.viewers.get_mut(&conn).into_iter().for_each(|viewer| viewer.answered(id));
    }

    fn read_set_up(&self, message: Message) -> Result<SetUp, &'static str> {
        if message.session == 0 {
            return Err("no id");
        }
        let class = message.text(code::CLASS).ok_or("no class")?;
        let class = position(&self.names.classes, class).ok_or("a class that does not exist")?;
        let title = message.text(code::TITLE).ok_or("no title")?;
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.~:".contains(&b);
        if title.is_empty() || title.len() > TITLE || !title.bytes().all(plain) {
            return Err("a title that no address may hold");
        }
        let title = TitleId(title.into());
        let patience = message.text(code::MAX_WAIT).and_then(digits).ok_or("no patience")?;
        if patience == 0 {
            return Err("no patience");
        }
        if let Some(hint) = message.get(code::LENGTH_HINT) {
            std::str::from_utf8(hint).ok().and_then(figure).ok_or("a hint that is no number")?;
        }
        let (mut base, mut spread, mut top, mut again, mut at) = (None, None, None, false, None);
        let mut viewer = String::new();
        for part in message.text(code::FIGURES).ok_or("no figures")?.split(';').filter(|p| !p.is_empty()) {
            let (name, value) = part.split_once(':').ok_or("a figure without a value")?;
            match name {
                "home" => base = digits(value),
                "copies" => spread = digits(value),
                "top" => top = digits(value),
                "again" => again |= value == "1",
                "at" => at = Some(value.to_owned()),
                "viewer" => viewer = value.to_owned(),
                _ => {}
            }
        }
        let cells = u64::from(self.cells);
        let base = base.filter(|&b| b < cells).ok_or("home is no cell")?;
        let spread = spread.filter(|&s| s >= 1 && s <= cells).ok_or("copies is no number of cells")?;
        let top = top.filter(|&t| t < self.rungs as u64).ok_or("top is no rung")?;
        let description = message.get(code::DESCRIPTION).map(<[u8]>::to_vec);
        let description = description.or(at.is_some().then(Vec::new)).ok_or("no description")?;
        let wish = SessionRequest {
            session: SessionId(message.session),
            class: ClassId(class),
            title,
            base: base as u32,
            spread: spread as u32,
            top: top as Rung,
            give_up_at: self.now + patience.min(PATIENCE) * MS,
            returning: again,
        };
        Ok(SetUp { wish, description, name: viewer, at })
    }

    /// Takes over a session that plays; no answer is wanted, not even where it is held already.
    fn adopt(&mut self, conn: ConnId, wish: SessionRequest, name: String, at: &str) {
        let id = wish.session;
        self.spoke(conn);
        if self.sessions.contains_key(&id) {
            return;
        }
        let Some(server) = self.numbers.known(at).filter(|s| self.servers.contains_key(s)) else {
            // Nothing of this session can be heard any more: its viewer is told.
            debug!(at, "a session plays at a server that is not listed");
            return self.release(conn, Message::new(kind::RELEASE, id.0).with_cause(cause::FAILED));
        };
        let session = Session::new(&wish, conn, Stage::Standing { server, link: None, since: 0 });
        self.sessions.insert(id, Session { name, ..session });
        self.booked(id);
        self.viewers.get_mut(&conn).into_iter().for_each(Viewer::stood);
        self.events.push_back(Event::Adopted { request: wish, server });
        if let Some(s) = self.servers.get_mut(&server) {
            s.standing.insert(id);
        }
        self.keep_link(server);
    }

    /// A viewer gives a set-up up, or its connection is over: the attempt is withdrawn, and no answer is owed.
    pub(crate) fn give_up(&mut self, id: SessionId) {
        self.counts.given_up += u64::from(self.sessions.contains_key(&id));
        self.leave(id);
    }

    /// A set-up is owed nothing any more: its attempt is withdrawn, and it leaves the books.
    pub(crate) fn leave(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get(&id) else { return };
        let stage = session.stage;
        if matches!(stage, Stage::Standing { .. }) {
            return;
        }
        self.events.push_back(Event::Left { session: id });
        match stage {
            Stage::Waiting { .. } => self.end_attempt(id, Outcome::NotSent, true),
            Stage::Out { link, .. } => {
                self.withdraw(id, link);
                self.end_attempt(id, Outcome::Cancelled, true);
            }
            Stage::New | Stage::Standing { .. } => {}
        }
        self.sessions.remove(&id);
    }

    /// Closes what says nothing, or only half of something.
    pub(crate) fn tidy_viewers(&mut self) {
        let now = self.now;
        let late = |v: &Viewer| {
            (!v.spoke && now >= v.since + SILENT) || v.half.is_some_and(|h| now >= h + HALF_REQUEST)
        };
        let late: Vec<ConnId> = self.viewers.iter().filter(|(_, v)| late(v)).map(|(c, _)| *c).collect();
        late.into_iter().for_each(|c| self.turn_out(c, "silent"));
    }
}

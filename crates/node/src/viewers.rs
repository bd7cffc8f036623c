//! Handling of viewers: admission of set-ups, withdrawals, and takeover of playing sessions.

use crate::io::{ConnId, Output};
use crate::limits::MS;
use crate::limits::viewers::{
    FIRST_MESSAGE_TIMEOUT, INVALID_MESSAGE_PAUSE, MAX_INVALID_MESSAGES, MAX_OPEN_PER_CONNECTION,
    PARTIAL_REQUEST_TIMEOUT, REFUSAL_RETRY_AFTER, Withdrawals, pick_eviction,
};
use crate::state::{Node, Session, Stage, Viewer, cause};
use micadyke::interface::*;
use micadyke::module::Decide;
use micadyke_isup::{Frame, Message, Parser, code, kind};
use micadyke_settings::position;
use std::collections::BTreeSet;
use tracing::debug;

/// A valid set-up.
#[derive(Debug)]
struct SetupRequest {
    request: SessionRequest,
    description: Vec<u8>,
    /// The viewer's name, or empty.
    viewer_name: String,
    /// The id of the server at which the session already plays.
    playing_at: Option<String>,
}

/// Maximum bytes of a title.
const MAX_TITLE_BYTES: usize = 128;
/// Upper bound of a viewer's patience, in milliseconds; a longer one is reduced to it.
const MAX_PATIENCE_MS: u64 = 600_000;

/// Parses an integer of digits only.
fn parse_digits(text: &str) -> Option<u64> {
    (!text.is_empty() && text.len() <= 15 && text.bytes().all(|b| b.is_ascii_digit()))
        .then(|| text.parse().ok())
        .flatten()
}

/// Parses a decimal number of 0 or more.
fn parse_figure(text: &str) -> Option<f64> {
    let plain = !text.is_empty() && text.len() <= 32 && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse().ok().filter(|v: &f64| plain && v.is_finite())
}

impl<D: Decide> Node<D> {
    pub(crate) fn viewer_connected(&mut self, conn: ConnId) {
        if self.viewers.len() >= self.max_viewers {
            let candidates = self.viewers.iter().map(|(c, v)| (c.0, v.eviction_candidate()));
            match pick_eviction(candidates, self.now) {
                Some(old) => self.close_viewer(ConnId(old), "evicted"),
                None => return self.out.push(Output::Close { conn }),
            }
        }
        let viewer = Viewer {
            parser: Parser::default(),
            has_left: false,
            open: BTreeSet::new(),
            connected_at: self.now,
            last_message_at: self.now,
            has_sent: false,
            has_requested: false,
            has_played: false,
            playing: 0,
            invalid_messages: 0,
            withdrawals: Withdrawals::default(),
            partial_since: None,
        };
        self.viewers.insert(conn, viewer);
    }

    /// Closes a viewer's connection; its open set-ups are withdrawn.
    fn close_viewer(&mut self, conn: ConnId, why: &str) {
        if let Some(v) = self.viewers.get(&conn) {
            let (age_ms, idle_ms) = ((self.now - v.connected_at) / MS, (self.now - v.last_message_at) / MS);
            debug!(conn = conn.0, why, age_ms, idle_ms, has_sent = v.has_sent, "viewer's connection closed");
        }
        self.counts.closed += 1;
        self.out.push(Output::Close { conn });
        self.viewer_closed(conn);
    }

    pub(crate) fn viewer_closed(&mut self, conn: ConnId) {
        self.viewer_left(conn);
        self.viewers.remove(&conn);
    }

    /// A viewer has closed its connection: its open set-ups are withdrawn, and those that are read later are not begun. What it
    /// says of playing sessions still counts.
    pub(crate) fn viewer_left(&mut self, conn: ConnId) {
        let Some(viewer) = self.viewers.get_mut(&conn) else { return };
        viewer.has_left = true;
        let open = std::mem::take(&mut viewer.open);
        open.into_iter().for_each(|id| self.give_up(id));
    }

    pub(crate) fn handle_viewer_data(&mut self, conn: ConnId, bytes: &[u8]) {
        let Some(viewer) = self.viewers.get_mut(&conn) else { return };
        viewer.parser.feed(bytes);
        loop {
            let Some(viewer) = self.viewers.get_mut(&conn) else { return };
            match viewer.parser.poll() {
                Ok(Some(frame)) => {
                    viewer.partial_since = None;
                    self.handle_frame(conn, frame);
                    self.run_module();
                }
                Ok(None) => {
                    let is_partial = viewer.parser.pending() > 0;
                    viewer.partial_since =
                        if is_partial { viewer.partial_since.or(Some(self.now)) } else { None };
                    return;
                }
                Err(fault) => {
                    self.counts.unsound += 1;
                    debug!(conn = conn.0, %fault, "viewer's stream is unreadable");
                    self.write_to_viewer(
                        conn,
                        &Message::new(kind::RELEASE, 0).with_cause(cause::INVALID_MESSAGE),
                    );
                    return self.close_viewer(conn, "unreadable");
                }
            }
        }
    }

    fn handle_frame(&mut self, conn: ConnId, frame: Frame) {
        let message = match frame {
            Frame::Message(message) => message,
            Frame::Invalid { session, reason, .. } => return self.reject_message(conn, session, reason),
        };
        let id = SessionId(message.session);
        match message.kind {
            kind::SETUP => self.handle_setup(conn, message),
            kind::TEST => {
                let passed = u8::from(self.ready());
                self.write_to_viewer(conn, &Message::new(kind::TEST_RESULT, id.0).with_cause(passed));
                self.mark_active(conn);
            }
            kind::RELEASE => match self.sessions.get(&id).map(|s| (s.stage, s.viewer)) {
                Some((Stage::Playing { .. }, _)) => {
                    self.mark_active(conn);
                    self.end_session_for_viewer(id, message.cause_value().unwrap_or(cause::GIVEN_UP));
                }
                // A set-up can only be withdrawn on the connection of its request.
                Some((_, owner)) if owner == conn => {
                    self.mark_active(conn);
                    self.handle_withdrawal(conn, id);
                }
                _ => self.write_to_viewer(conn, &Message::new(kind::RELEASE_ACK, id.0)),
            },
            kind::RELEASE_ACK | kind::PROGRESS | kind::REPORT => {}
            _ => self.reject_message(conn, id.0, "unexpected message type"),
        }
    }

    /// A viewer withdraws a set-up on the connection of the request.
    fn handle_withdrawal(&mut self, conn: ConnId, id: SessionId) {
        self.give_up(id);
        if self.viewers.get_mut(&conn).is_some_and(|viewer| viewer.request_withdrawn(id, self.now)) {
            self.close_viewer(conn, "too many withdrawals");
        }
    }

    fn mark_active(&mut self, conn: ConnId) {
        let Some(viewer) = self.viewers.get_mut(&conn) else { return };
        (viewer.has_sent, viewer.last_message_at) = (true, self.now);
    }

    /// Answers an invalid message and pauses reading from its sender. The connection is closed after too many.
    fn reject_message(&mut self, conn: ConnId, id: u64, reason: &str) {
        self.counts.unsound += 1;
        debug!(conn = conn.0, id, reason, "invalid message from a viewer");
        // No release is sent for an existing session: it would be taken for its answer or end.
        if !self.sessions.contains_key(&SessionId(id)) {
            self.write_to_viewer(conn, &Message::new(kind::RELEASE, id).with_cause(cause::INVALID_MESSAGE));
        }
        let Some(viewer) = self.viewers.get_mut(&conn) else { return };
        viewer.invalid_messages += 1;
        if viewer.invalid_messages >= MAX_INVALID_MESSAGES {
            return self.close_viewer(conn, "too many invalid messages");
        }
        self.out.push(Output::PauseReading { conn, duration: INVALID_MESSAGE_PAUSE });
    }

    fn handle_setup(&mut self, conn: ConnId, message: Message) {
        let id = SessionId(message.session);
        let setup = match self.parse_setup(message) {
            Ok(setup) => setup,
            Err(reason) => return self.reject_message(conn, id.0, reason),
        };
        if let Some(viewer) = self.viewers.get_mut(&conn) {
            viewer.has_requested = true;
        }
        if let Some(server) = setup.playing_at {
            return self.adopt(conn, setup.request, setup.viewer_name, &server);
        }
        if self.sessions.contains_key(&id) {
            // Two set-ups with the same id can't be told apart, so neither is answered.
            self.counts.unsound += 1;
            return self.close_viewer(conn, "duplicate session id");
        }
        if self.sessions.is_spent(id) {
            return self.fail_spent(conn, id);
        }
        let Some(viewer) = self.viewers.get(&conn).filter(|viewer| !viewer.has_left) else { return };
        let max_open = if self.connection_settings.max_open_requests > 0 {
            self.connection_settings.max_open_requests as usize
        } else {
            usize::MAX
        };
        let has_room = self.sessions.has_room_for_setup(setup.description.len());
        if viewer.open.len() >= MAX_OPEN_PER_CONNECTION || self.sessions.len() >= max_open || !has_room {
            // Refused before anything was sent, so a retry does no harm.
            self.counts.turned_away += 1;
            return self.refuse_unadmitted(conn, id);
        }
        self.counts.taken += 1;
        self.mark_active(conn);
        if let Some(viewer) = self.viewers.get_mut(&conn) {
            viewer.open.insert(id);
        }
        let session = Session::new(&setup.request, conn, Stage::New);
        let session = Session { description: setup.description, viewer_name: setup.viewer_name, ..session };
        self.sessions.insert(id, session);
        self.events.push_back(Event::Request(setup.request));
    }

    /// Fails a set-up whose id was set up before, by a session that may have run and must not run twice.
    fn fail_spent(&mut self, conn: ConnId, id: SessionId) {
        debug!(session = id.0, "a session that may have run is requested again");
        self.counts.failed += 1;
        self.mark_active(conn);
        self.write_to_viewer(conn, &Message::new(kind::RELEASE, id.0).with_cause(cause::FAILED));
    }

    /// Refuses a set-up without asking the module, with a retry delay if the settings allow one.
    fn refuse_unadmitted(&mut self, conn: ConnId, id: SessionId) {
        let refusal = Message::new(kind::RELEASE, id.0).with_cause(cause::REFUSED);
        let refusal = match REFUSAL_RETRY_AFTER.min(self.connection_settings.max_retry_after) / MS {
            0 => refusal,
            ms => refusal.with(code::RETRY_AFTER, ms.to_string()),
        };
        self.write_to_viewer(conn, &refusal);
        self.viewers.get_mut(&conn).into_iter().for_each(|viewer| viewer.request_answered(id));
    }

    fn parse_setup(&self, message: Message) -> Result<SetupRequest, &'static str> {
        if message.session == 0 {
            return Err("session id is 0");
        }
        let class = message.text(code::CLASS).ok_or("class is missing")?;
        let class = position(&self.names.classes, class).ok_or("unknown class")?;
        let title = message.text(code::TITLE).ok_or("title is missing")?;
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.~:".contains(&b);
        if title.is_empty() || title.len() > MAX_TITLE_BYTES || !title.bytes().all(plain) {
            return Err("invalid title");
        }
        let title = TitleId(title.into());
        let patience = message
            .text(code::MAX_WAIT)
            .and_then(parse_digits)
            .ok_or("patience is missing or not a number")?;
        if patience == 0 {
            return Err("patience is 0");
        }
        if let Some(hint) = message.get(code::LENGTH_HINT) {
            std::str::from_utf8(hint).ok().and_then(parse_figure).ok_or("length hint is not a number")?;
        }
        let (mut base, mut spread, mut top, mut returning, mut playing_at) = (None, None, None, false, None);
        let mut viewer_name = String::new();
        for part in
            message.text(code::FIGURES).ok_or("figures are missing")?.split(';').filter(|p| !p.is_empty())
        {
            let (name, value) = part.split_once(':').ok_or("figure without a value")?;
            match name {
                "home" => base = parse_digits(value),
                "copies" => spread = parse_digits(value),
                "top" => top = parse_digits(value),
                "again" => returning |= value == "1",
                "at" => playing_at = Some(value.to_owned()),
                "viewer" => viewer_name = value.to_owned(),
                _ => {}
            }
        }
        let cells = u64::from(self.cells);
        let base = base.filter(|&b| b < cells).ok_or("home is not a cell")?;
        let spread = spread.filter(|&s| s >= 1 && s <= cells).ok_or("copies is not a number of cells")?;
        let top = top.filter(|&t| t < self.rungs as u64).ok_or("top is not a rung")?;
        let description = message.get(code::DESCRIPTION).map(<[u8]>::to_vec);
        let description =
            description.or(playing_at.is_some().then(Vec::new)).ok_or("description is missing")?;
        let request = SessionRequest {
            session: SessionId(message.session),
            class: ClassId(class),
            title,
            base: base as u32,
            spread: spread as u32,
            top: top as Rung,
            give_up_at: self.now + patience.min(MAX_PATIENCE_MS) * MS,
            returning,
        };
        Ok(SetupRequest { request, description, viewer_name, playing_at })
    }

    /// Takes over a playing session. No answer is expected, even if the session is already known.
    fn adopt(&mut self, conn: ConnId, request: SessionRequest, viewer_name: String, server_id: &str) {
        let id = request.session;
        self.mark_active(conn);
        if self.sessions.contains_key(&id) {
            return;
        }
        let Some(server) = self.server_ids.get(server_id).filter(|s| self.servers.contains_key(s)) else {
            // Nothing can be received about this session any more, so its viewer is notified.
            debug!(at = server_id, "taken-over session plays at an unknown server");
            return self.release_viewer(conn, Message::new(kind::RELEASE, id.0).with_cause(cause::FAILED));
        };
        if !self.sessions.has_room_for_hand_over() {
            self.counts.turned_away += 1;
            debug!(session = id.0, "no memory is left for a session that is handed over");
            return self.release_viewer(conn, Message::new(kind::RELEASE, id.0).with_cause(cause::FAILED));
        }
        let session = Session::new(&request, conn, Stage::Playing { server, link: None, since: 0 });
        self.sessions.insert(id, Session { viewer_name, ..session });
        self.index_session(id);
        self.viewers.get_mut(&conn).into_iter().for_each(Viewer::session_started);
        self.events.push_back(Event::Adopted { request, server });
        let now = self.now;
        if let Some(s) = self.servers.get_mut(&server) {
            s.playing.insert(id);
            // Whoever handed it over has heard from it.
            s.signs_of_life.received(0, now);
        }
        self.ensure_connected(server);
    }

    /// A viewer withdraws a set-up or disconnects: the attempt is withdrawn, and no answer is sent.
    pub(crate) fn give_up(&mut self, id: SessionId) {
        self.counts.given_up += u64::from(self.sessions.contains_key(&id));
        self.drop_request(id);
    }

    /// Withdraws a set-up's attempt and removes it, without an answer.
    pub(crate) fn drop_request(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get(&id) else { return };
        let stage = session.stage;
        if matches!(stage, Stage::Playing { .. }) {
            return;
        }
        self.events.push_back(Event::Left { session: id });
        match stage {
            Stage::Waiting { .. } => self.end_attempt(id, Outcome::NotSent, true),
            Stage::InFlight { link, .. } => {
                self.withdraw_attempt(id, link);
                self.end_attempt(id, Outcome::Cancelled, true);
            }
            Stage::New | Stage::Playing { .. } => {}
        }
        self.sessions.remove(&id);
    }

    /// Closes connections without a valid message, or with a partial message that is not completed.
    pub(crate) fn maintain_viewers(&mut self) {
        let now = self.now;
        let expired = |v: &Viewer| {
            (!v.has_sent && now >= v.connected_at + FIRST_MESSAGE_TIMEOUT)
                || v.partial_since.is_some_and(|since| now >= since + PARTIAL_REQUEST_TIMEOUT)
        };
        let expired: Vec<ConnId> = self.viewers.iter().filter(|(_, v)| expired(v)).map(|(c, _)| *c).collect();
        expired.into_iter().for_each(|c| self.close_viewer(c, "silent"));
    }
}

//! Reports playing sessions to the directory, and ends the sessions of a withdrawn title or viewer.

use crate::io::Output;
use crate::state::{Node, Session, Stage, cause};
use micadyke::interface::*;
use micadyke::module::Decide;
use micadyke_directory::{self as directory, Key};
use tracing::info;

fn matches(title: &str, viewer: &str, key: &Key) -> bool {
    match key {
        Key::Title(t) => title == t,
        Key::Viewer(v) => viewer == v,
        Key::Server(_) => false,
    }
}

impl<D: Decide> Node<D> {
    /// Enables reports of sessions to a directory.
    pub fn enable_directory(&mut self) {
        self.indexes_sessions = true;
    }

    /// Reports to the directory that a session plays.
    pub(crate) fn index_session(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id).filter(|_| self.indexes_sessions) else { return };
        let Stage::Playing { server, .. } = session.stage else { return };
        let Some(server) = self.servers.get(&server) else { return };
        let entry = directory::Session::new(&session.request.title.0, &session.viewer_name, &server.row.id);
        session.indexed = Some(entry.clone());
        self.out.push(Output::IndexSession { session: entry, playing: true });
    }

    /// Ends the playing sessions of a title or viewer, at their servers and towards their viewers, and reports how many are
    /// left.
    pub(crate) fn end_sessions(&mut self, key: &Key) {
        let selected = |s: &Session| matches(&s.request.title.0, &s.viewer_name, key);
        let matching: Vec<(SessionId, Stage)> =
            self.sessions.iter().filter(|s| selected(s.1)).map(|(id, s)| (*id, s.stage)).collect();
        let (mut ended, mut open) = (0, 0);
        for (id, stage) in matching {
            let Stage::Playing { server, .. } = stage else {
                // It will either play soon or fail.
                open += 1;
                continue;
            };
            let session = self.sessions.get_mut(&id).and_then(|s| s.indexed.clone());
            self.tear_down(server, id, cause::GIVEN_UP);
            self.end_session(id, Outcome::Cancelled, Some(cause::GIVEN_UP));
            self.unconfirmed.extend(session.map(|s| (id, (server, s))));
            ended += 1;
        }
        if ended > 0 {
            info!(what = %key, ended, "sessions withdrawn");
        }
        // A server that is no longer listed can't confirm.
        self.unconfirmed.retain(|_, u| self.servers.contains_key(&u.0));
        let unconfirmed = self.unconfirmed.iter().filter(|u| matches(&u.1.1.title, &u.1.1.viewer, key));
        let unconfirmed: Vec<(SessionId, ServerId)> = unconfirmed.map(|(id, u)| (*id, u.0)).collect();
        if ended == 0 {
            // The confirmation or the request may have been lost.
            unconfirmed.iter().for_each(|(id, server)| self.tear_down(*server, *id, cause::GIVEN_UP));
        }
        let count = (open + unconfirmed.len()) as u64;
        self.out.push(Output::SessionsLeft { key: key.clone(), count });
    }

    /// A server confirms the end of a session.
    pub(crate) fn end_confirmed(&mut self, server: ServerId, id: SessionId) {
        if self.unconfirmed.get(&id).is_some_and(|u| u.0 == server) {
            self.unconfirmed.remove(&id);
        }
    }
}

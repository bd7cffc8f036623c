//! The directory's side of the books: it is told what stands, and sessions of what was withdrawn end.

use crate::books::{Node, Session, Stage, cause};
use crate::io::Output;
use micadyke::interface::*;
use micadyke::module::Decide;
use micadyke_directory::{self as directory, Key};
use tracing::info;

fn matches(title: &str, viewer: &str, what: &Key) -> bool {
    match what {
        Key::Title(t) => title == t,
        Key::Viewer(v) => viewer == v,
        Key::Server(_) => false,
    }
}

impl<D: Decide> Node<D> {
    /// There is a directory to tell of sessions.
    pub fn has_directory(&mut self) {
        self.directed = true;
    }

    /// A session stands.
    pub(crate) fn booked(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id).filter(|_| self.directed) else { return };
        let Stage::Standing { server, .. } = session.stage else { return };
        let Some(server) = self.servers.get(&server) else { return };
        let told = directory::Session::new(&session.title.0, &session.name, &server.row.id);
        session.indexed = Some(told.clone());
        self.out.push(Output::Booked { session: told, started: true });
    }

    /// Ends what stands of a title or a viewer, at its server and towards its viewer; says what is left.
    pub(crate) fn end_all(&mut self, what: &Key) {
        let due = |s: &Session| matches(&s.title.0, &s.name, what);
        let due: Vec<(SessionId, Stage)> =
            self.sessions.iter().filter(|s| due(s.1)).map(|(id, s)| (*id, s.stage)).collect();
        let (mut ended, mut open) = (0, 0);
        for (id, stage) in due {
            let Stage::Standing { server, .. } = stage else {
                // It stands soon, or not at all.
                open += 1;
                continue;
            };
            let session = self.sessions.get_mut(&id).and_then(|s| s.indexed.clone());
            self.tear_down(server, id, cause::GIVEN_UP);
            self.over(id, Outcome::Cancelled, Some(cause::GIVEN_UP));
            self.unconfirmed.extend(session.map(|s| (id, (server, s))));
            ended += 1;
        }
        if ended > 0 {
            info!(%what, ended, "withdrawn: sessions end");
        }
        // A server that is listed no more is asked nothing.
        self.unconfirmed.retain(|_, u| self.servers.contains_key(&u.0));
        let waits = self.unconfirmed.iter().filter(|u| matches(&u.1.1.title, &u.1.1.viewer, what));
        let waits: Vec<(SessionId, ServerId)> = waits.map(|(id, u)| (*id, u.0)).collect();
        if ended == 0 {
            // Its answer, or the word itself, may be lost.
            waits.iter().for_each(|(id, server)| self.tear_down(*server, *id, cause::GIVEN_UP));
        }
        let sessions = (open + waits.len()) as u64;
        self.out.push(Output::Left { what: what.clone(), sessions });
    }

    /// A server confirms that a session is over.
    pub(crate) fn confirmed(&mut self, server: ServerId, id: SessionId) {
        if self.unconfirmed.get(&id).is_some_and(|u| u.0 == server) {
            self.unconfirmed.remove(&id);
        }
    }
}

//! What other nodes say of servers. It is evidence: a drain that another heard of counts as heard until the own list says
//! otherwise; a finding makes this node look, on a connection of its own. Neither ends a session.

use crate::books::{Node, Session, Stage};
use crate::io::Output;
use crate::limits;
use micadyke::interface::*;
use micadyke::module::Decide;
use micadyke_membership::server_report::ServerReport;
use tracing::{info, warn};

impl<D: Decide> Node<D> {
    /// Tells the others, where there are any.
    pub(crate) fn tell_others(&mut self, news: ServerReport) {
        if self.others {
            self.out.push(Output::Tell(news));
        }
    }

    /// Another node tells of a server.
    pub(crate) fn heard_of(&mut self, news: &ServerReport) {
        let Some(id) = self.numbers.known(news.server()) else { return };
        if let ServerReport::Found { what, .. } = news
            && self.found_by_turns(id, *what)
        {
            return;
        }
        let Some(server) = self.servers.get(&id).filter(|s| s.row.state == ServerState::Ready) else {
            return;
        };
        match news {
            ServerReport::Drain { version, .. } if *version > self.version => {
                let ready = self.servers.values().filter(|s| s.row.state == ServerState::Ready).count();
                // One that lies can't take all servers away.
                if self.hearsay.len() + 1 > limits::fleet::hearsay(ready + self.hearsay.len()) {
                    return warn!(server = server.row.id, version, "too many servers drain by hearsay alone");
                }
                info!(
                    server = server.row.id,
                    version,
                    own = self.version,
                    "a server drains, by what others say"
                );
                self.hearsay.insert(id, *version);
                self.set_state(id, ServerState::Draining);
                self.unsend(id);
            }
            ServerReport::Drain { .. } => {}
            ServerReport::Found { .. } => {
                // With a word of late of its own there is nothing to look for.
                let looks = limits::fleet::looks(self.looks, self.now);
                let open = server.links.iter().any(|l| !self.links[l].up);
                let due =
                    self.now >= server.heard + limits::fleet::LOOK && self.now >= server.call_at && !open;
                if due && looks >= 1.0 && self.links.len() < self.most_links {
                    self.looks = (looks - 1.0, self.now);
                    self.connect(id, "found by others");
                }
            }
        }
    }

    /// The own list speaks: what was hearsay up to its version is over.
    pub(crate) fn own_word(&mut self) {
        let version = self.version;
        let over: Vec<ServerId> = self.hearsay.iter().filter(|h| *h.1 <= version).map(|h| *h.0).collect();
        for id in over {
            self.hearsay.remove(&id);
            // Still as hearsay left it: the list never said so.
            if self.servers.get(&id).is_some_and(|s| s.hearsay) {
                self.set_state(id, ServerState::Ready);
            }
        }
    }

    /// Takes a server for being in this state by hearsay, or no longer.
    fn set_state(&mut self, id: ServerId, state: ServerState) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        (server.row.state, server.hearsay) = (state, state == ServerState::Draining);
        let row = server.row.clone();
        let entries = vec![self.entry(&row, id)];
        self.events.push_back(Event::List { kind: ListKind::Delta, entries });
    }

    /// Attempts that wait for a connection never leave: the server takes nothing new.
    pub(crate) fn unsend(&mut self, id: ServerId) {
        let Some(server) = self.servers.get(&id) else { return };
        let waiting = server.links.iter().filter_map(|l| self.links.get(l)).flat_map(|l| &l.open);
        let waits = |s: &Session| matches!(s.stage, Stage::Waiting { .. });
        let waiting = waiting.filter(|s| self.sessions.get(s).is_some_and(waits));
        let waiting: Vec<SessionId> = waiting.copied().collect();
        waiting.into_iter().for_each(|s| self.attempt_ended(s, Outcome::NotSent));
    }
}

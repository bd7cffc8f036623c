//! Applies changes of the server list to the node and its module.

use crate::list::{ListChange, ServerRow};
use crate::state::Node;
use micadyke::interface::*;
use micadyke::module::Decide;
use micadyke_membership::server_report::ServerReport;
use tracing::info;

impl<D: Decide> Node<D> {
    /// Merges the events of the configuration into one cached list.
    pub(crate) fn apply_known_events(&mut self, changes: &[ListChange]) {
        for change in changes {
            self.listed.apply(change);
        }
        let Some(version) = changes.iter().map(|c| c.version).max() else { return };
        let rows = self.listed.in_effect().cloned().collect();
        self.apply_rows(ListKind::Cached, version, rows);
        self.list_applied(0);
    }

    /// Applies a change of the list. It takes effect before anything else is sent.
    pub(crate) fn apply_change(&mut self, change: &ListChange) {
        let consequences = self.listed.apply(change);
        let kind = if change.full { ListKind::Full } else { ListKind::Delta };
        self.apply_rows(kind, change.version, consequences.rows);
        self.record_replacements(&consequences.new_owners);
        self.list_received(change.version);
        self.list_applied(change.offset);
    }

    fn apply_rows(&mut self, kind: ListKind, version: u64, rows: Vec<ServerRow>) {
        let mut numbered: Vec<(ServerId, ServerRow)> = Vec::with_capacity(rows.len());
        for row in rows {
            // An unknown server that is gone gets no number.
            if row.state != ServerState::Gone || self.server_ids.get(&row.id).is_some() {
                numbered.push((self.server_ids.get_or_assign(&row.id), row));
            }
        }
        let entries = numbered.iter().map(|(id, row)| self.server_entry(row, *id)).collect();
        if kind != ListKind::Delta {
            let gone: Vec<ServerId> =
                self.servers.keys().filter(|s| numbered.iter().all(|r| r.0 != **s)).copied().collect();
            gone.into_iter().for_each(|s| self.server_removed(s));
        }
        self.events.push_back(Event::List { kind, entries });
        for (id, row) in numbered {
            if row.state != ServerState::Ready && kind != ListKind::Cached {
                self.notify_peers(ServerReport::Drain { server: row.id.clone(), version });
            }
            self.update_server(id, row);
        }
        self.mark_list_changed();
        self.list_version = self.list_version.max(version);
        self.drop_outdated_reports();
    }

    /// The node has a list from now on.
    fn list_applied(&mut self, offset: u64) {
        if !self.ready {
            self.ready = true;
            info!(servers = self.servers.len(), offset, "the list stands");
        }
    }
}

//! The servers in the list, and which of them each address belongs to.
//!
//! A new server may have the address of one that has gone, and the list can report the new server seconds before it reports
//! that the old one has gone. An address therefore belongs to the server that the list assigned it to last; another listed
//! server with that address is displaced and counts as gone for as long as the list says so.

use crate::list::{ListChange, ServerRow};
use micadyke::interface::{Nanos, ServerState};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The servers in the list.
#[derive(Debug, Default)]
pub struct ListedServers {
    by_id: BTreeMap<String, ListedServer>,
    /// Number of changes that were applied.
    changes: u64,
}

#[derive(Debug)]
struct ListedServer {
    row: ServerRow,
    assigned: Assignment,
    /// Its address belongs to another server.
    displaced: bool,
}

/// When the list assigned an address to a server; of two for one address the greater one is valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Assignment {
    /// Number of the change.
    change: u64,
    /// Start of the server's process as listed. Decides between servers of the same change.
    started_at: Nanos,
}

/// The consequences of a change of the list.
#[derive(Debug, Default, PartialEq)]
pub struct Consequences {
    /// The rows that take effect: those of the change, and servers that were displaced or reinstated by it. A displaced
    /// server has the state [`ServerState::Gone`].
    pub rows: Vec<ServerRow>,
    /// The servers to which the change assigned an address, by address.
    pub new_owners: BTreeMap<SocketAddr, AddressOwner>,
}

/// A server to which an address was assigned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressOwner {
    /// Its id.
    pub id: String,
    /// When its process started, if the list says so.
    pub started_at: Option<Nanos>,
}

impl ListedServers {
    /// Applies a change of the list.
    pub fn apply(&mut self, change: &ListChange) -> Consequences {
        self.changes += 1;
        let mut touched = BTreeSet::new();
        if change.full {
            self.remove_unlisted(&change.rows, &mut touched);
        }
        let mut assigned = Vec::new();
        for row in &change.rows {
            assigned.extend(self.apply_row(row, &mut touched).map(|owner| (row.addr, owner)));
        }
        let changed = self.update_displaced(&touched);
        let listed: BTreeSet<&str> = change.rows.iter().map(|row| row.id.as_str()).collect();
        let others = changed.iter().filter(|id| !listed.contains(id.as_str()));
        let others = others.filter_map(|id| self.by_id.get(id)).map(ListedServer::effective_row);
        let rows = change.rows.iter().map(|row| self.effective_row(row)).chain(others).collect();
        let is_owner = |owner: &AddressOwner| self.by_id.get(&owner.id).is_some_and(|s| !s.displaced);
        let new_owners = assigned.into_iter().filter(|(_, owner)| is_owner(owner)).collect();
        Consequences { rows, new_owners }
    }

    /// The servers that have not been displaced.
    pub fn in_effect(&self) -> impl Iterator<Item = &ServerRow> {
        self.by_id.values().filter(|server| !server.displaced).map(|server| &server.row)
    }

    fn remove_unlisted(&mut self, rows: &[ServerRow], touched: &mut BTreeSet<SocketAddr>) {
        let listed: BTreeSet<&str> = rows.iter().map(|row| row.id.as_str()).collect();
        self.by_id.retain(|id, server| {
            let keep = listed.contains(id.as_str());
            if !keep {
                touched.insert(server.row.addr);
            }
            keep
        });
    }

    /// Applies a row. Returns the server if its address was assigned to it just now.
    fn apply_row(&mut self, row: &ServerRow, touched: &mut BTreeSet<SocketAddr>) -> Option<AddressOwner> {
        let before = self.by_id.get(&row.id);
        let former = before.map(|server| server.row.addr);
        touched.extend(former.filter(|addr| *addr != row.addr || row.state == ServerState::Gone));
        if row.state == ServerState::Gone {
            self.by_id.remove(&row.id);
            return None;
        }
        let has_restarted = before.is_none_or(|server| row.started_at > server.row.started_at);
        let kept = before.filter(|server| server.row.addr == row.addr && !has_restarted);
        let kept = kept.map(|server| (server.assigned, server.displaced));
        let (assigned, displaced) =
            kept.unwrap_or((Assignment { change: self.changes, started_at: row.started_at }, false));
        self.by_id.insert(row.id.clone(), ListedServer { row: row.clone(), assigned, displaced });
        if kept.is_none() {
            touched.insert(row.addr);
        }
        let started_at = Some(row.started_at).filter(|at| *at > 0 && has_restarted);
        kept.is_none().then(|| AddressOwner { id: row.id.clone(), started_at })
    }

    /// Decides anew whom these addresses belong to. Returns the servers that were displaced or reinstated.
    fn update_displaced(&mut self, addresses: &BTreeSet<SocketAddr>) -> Vec<String> {
        if addresses.is_empty() {
            return Vec::new();
        }
        let mut valid: BTreeMap<SocketAddr, Assignment> = BTreeMap::new();
        let touched = |server: &&ListedServer| addresses.contains(&server.row.addr);
        for server in self.by_id.values().filter(touched) {
            let latest = valid.entry(server.row.addr).or_insert(server.assigned);
            *latest = server.assigned.max(*latest);
        }
        let mut changed = Vec::new();
        for (id, server) in &mut self.by_id {
            let Some(valid) = valid.get(&server.row.addr) else { continue };
            let displaced = server.assigned < *valid;
            if std::mem::replace(&mut server.displaced, displaced) != displaced {
                changed.push(id.clone());
            }
        }
        changed
    }

    fn effective_row(&self, row: &ServerRow) -> ServerRow {
        self.by_id.get(&row.id).map_or_else(|| row.clone(), ListedServer::effective_row)
    }
}

impl ListedServer {
    fn effective_row(&self) -> ServerRow {
        let state = if self.displaced { ServerState::Gone } else { self.row.state };
        ServerRow { state, ..self.row.clone() }
    }
}

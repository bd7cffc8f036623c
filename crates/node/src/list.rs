//! Server lists in events of the bus, and the conversion of their names to the module's numbers.

use crate::error::EventError;
use micadyke::interface::{Nanos, ServerEntry, ServerId, ServerState};
use micadyke_settings::{Names, position};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Maximum servers in one event; an event with more is rejected.
pub const MAX_SERVERS_PER_EVENT: usize = 4096;
/// Maximum bytes of a server's id.
const MAX_ID_BYTES: usize = 128;

/// A server in an event.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerRow {
    /// Its id. It survives a restart of the process and is never reused for another server.
    pub id: String,
    /// Its address, which may have belonged to a removed server.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: ServerState,
    /// Its weight.
    pub weight: f64,
    /// Unix time of a recent start in nanoseconds; 0 if it started long ago.
    pub started_at: Nanos,
}

/// An event: a change of the list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListChange {
    /// Its number, starting at 1.
    pub offset: u64,
    /// The version of the resulting list, which is the same on all nodes.
    pub version: u64,
    /// The rows are the complete list.
    pub full: bool,
    /// The rows.
    pub rows: Vec<ServerRow>,
}

/// Parses an event.
///
/// # Errors
///
/// The first invalid field.
pub fn parse_change(v: &Value) -> Result<ListChange, EventError> {
    let offset = v["offset"].as_u64().ok_or(EventError::NoOffset)?;
    let topology = &v["topology"];
    if topology.is_null() {
        // Of other events only the number is used.
        return Ok(ListChange { offset, version: 0, full: false, rows: Vec::new() });
    }
    let version = topology["version"].as_u64().unwrap_or(0);
    let full = topology["full"].as_bool().unwrap_or(false);
    let servers = topology["servers"].as_array().ok_or(EventError::NoList)?;
    if servers.len() > MAX_SERVERS_PER_EVENT {
        return Err(EventError::TooMany(servers.len()));
    }
    let rows = servers.iter().enumerate();
    let rows = rows.map(|(i, r)| {
        parse_row(r).map_err(|(field, problem)| EventError::Server { index: i, field, problem })
    });
    Ok(ListChange { offset, version, full, rows: keep_last_of_each(rows.collect::<Result<_, _>>()?) })
}

/// Keeps the last row of each server.
fn keep_last_of_each(rows: Vec<ServerRow>) -> Vec<ServerRow> {
    let mut seen = BTreeSet::new();
    let mut rows: Vec<ServerRow> = rows.into_iter().rev().filter(|row| seen.insert(row.id.clone())).collect();
    rows.reverse();
    rows
}

/// Parses a server. An error consists of the field and its problem.
fn parse_row(v: &Value) -> Result<ServerRow, (&'static str, &'static str)> {
    let text = |key: &str| v[key].as_str().map(str::to_owned);
    let id = text("id").filter(|i| !i.is_empty() && i.len() <= MAX_ID_BYTES).ok_or(("id", "no name"))?;
    let state = match v["state"].as_str() {
        Some("up") => ServerState::Ready,
        Some("draining") => ServerState::Draining,
        Some("removed") => ServerState::Gone,
        _ => return Err(("state", "none of up, draining, removed")),
    };
    let addr = match v["addr"].as_str().map(str::parse) {
        Some(Ok(addr)) => addr,
        // The address of a removed server is not used.
        _ if state == ServerState::Gone => SocketAddr::from(([0, 0, 0, 0], 0)),
        _ => return Err(("addr", "no address and port")),
    };
    let weight = match &v["weight"] {
        Value::Null => 1.0,
        w => w.as_f64().filter(|w| *w >= 0.0 && w.is_finite()).ok_or(("weight", "no number from 0"))?,
    };
    let started = match &v["started_ms"] {
        Value::Null => 0.0,
        s => s.as_f64().filter(|s| *s >= 0.0 && s.is_finite()).ok_or(("started_ms", "no time"))?,
    };
    let cell = match &v["cell"] {
        Value::Null => 0,
        c => c.as_u64().and_then(|c| u32::try_from(c).ok()).ok_or(("cell", "no number"))?,
    };
    Ok(ServerRow {
        id,
        addr,
        zone: text("zone").unwrap_or_default(),
        kind: text("kind").unwrap_or_default(),
        cell,
        state,
        weight,
        started_at: (started * 1e6) as Nanos,
    })
}

/// Maps the ids of servers to the numbers that the module uses. An id that comes back after its server was forgotten gets a
/// new number.
#[derive(Debug, Default)]
pub struct ServerIds {
    by_id: BTreeMap<String, ServerId>,
    next: u32,
}

impl ServerIds {
    /// The number of an id, assigned if it has none.
    pub fn get_or_assign(&mut self, id: &str) -> ServerId {
        if let Some(&n) = self.by_id.get(id) {
            return n;
        }
        self.next += 1;
        self.by_id.insert(id.to_owned(), ServerId(self.next));
        ServerId(self.next)
    }

    /// The number of an id, if it has one.
    pub fn get(&self, id: &str) -> Option<ServerId> {
        self.by_id.get(id).copied()
    }

    /// Forgets the id with this number.
    pub fn forget(&mut self, number: ServerId) {
        self.by_id.retain(|_, n| *n != number);
    }
}

/// The number of a zone: its index in the settings, or a hash of its name, so that two zones that are missing from the
/// settings are not confused.
fn zone_number(names: &Names, name: &str) -> u32 {
    let listed = position(&names.zones, name).map(|z| z as u32);
    let fnv_step = |n: u32, b: u8| (n ^ u32::from(b)).wrapping_mul(0x0100_0193);
    listed.unwrap_or_else(|| name.bytes().fold(0x811c_9dc5, fnv_step) | UNLISTED_ZONE)
}

/// This bit marks the numbers of zones that are missing from the settings.
const UNLISTED_ZONE: u32 = 1 << 31;

/// Converts a row for the module. A kind that is missing from the settings gets the number after the last.
pub fn to_entry(row: &ServerRow, server: ServerId, names: &Names) -> ServerEntry {
    ServerEntry {
        server,
        state: row.state,
        kind: position(&names.kinds, &row.kind).unwrap_or(names.kinds.len()),
        weight: row.weight,
        cell: row.cell,
        zone: zone_number(names, &row.zone),
        started_at: row.started_at,
    }
}

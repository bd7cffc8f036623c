//! The list of servers as events of the bus carry it, and its names as numbers.

use crate::error::Event;
use micadyke::interface::{Nanos, ServerEntry, ServerId, ServerState};
use micadyke_settings::{Names, position};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Servers in one event at most; what is named beyond that makes the event unreadable.
pub const MOST_SERVERS: usize = 4096;
/// Bytes of a server's id at most.
const LONGEST_ID: usize = 128;

/// A server as an event names it.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// Its id; a restarted process keeps it, a new server never bears an old one.
    pub id: String,
    /// Where it listens. A new server may bear the address of one that has gone.
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
    /// Unix time of a late start; 0: long ago.
    pub started_at: Nanos,
}

/// An event: a change of the list.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Its number, from 1.
    pub offset: u64,
    /// The version of the list that it brings about: the same at all nodes.
    pub version: u64,
    /// The rows are all there are.
    pub full: bool,
    /// The rows.
    pub rows: Vec<Row>,
}

/// Reads an event.
///
/// # Errors
///
/// Which field is wrong, and how.
pub fn change(v: &Value) -> Result<Change, Event> {
    let offset = v["offset"].as_u64().ok_or(Event::NoOffset)?;
    let topology = &v["topology"];
    if topology.is_null() {
        // Events of another sort are counted and otherwise passed over.
        return Ok(Change { offset, version: 0, full: false, rows: Vec::new() });
    }
    let version = topology["version"].as_u64().unwrap_or(0);
    let full = topology["full"].as_bool().unwrap_or(false);
    let servers = topology["servers"].as_array().ok_or(Event::NoList)?;
    if servers.len() > MOST_SERVERS {
        return Err(Event::TooMany(servers.len()));
    }
    let rows = servers.iter().enumerate();
    let rows = rows.map(|(i, r)| row(r).map_err(|(field, lacks)| Event::Server { at: i, field, lacks }));
    Ok(Change { offset, version, full, rows: last_of_each(rows.collect::<Result<_, _>>()?) })
}

/// Of a server that an event names more than once, what it says last.
fn last_of_each(rows: Vec<Row>) -> Vec<Row> {
    let mut seen = BTreeSet::new();
    let mut rows: Vec<Row> = rows.into_iter().rev().filter(|row| seen.insert(row.id.clone())).collect();
    rows.reverse();
    rows
}

/// Reads a server; else the field, and what it lacks.
fn row(v: &Value) -> Result<Row, (&'static str, &'static str)> {
    let text = |key: &str| v[key].as_str().map(str::to_owned);
    let id = text("id").filter(|i| !i.is_empty() && i.len() <= LONGEST_ID).ok_or(("id", "no name"))?;
    let state = match v["state"].as_str() {
        Some("up") => ServerState::Ready,
        Some("draining") => ServerState::Draining,
        Some("removed") => ServerState::Gone,
        _ => return Err(("state", "none of up, draining, removed")),
    };
    let addr = match v["addr"].as_str().map(str::parse) {
        Some(Ok(addr)) => addr,
        // One that is gone is asked nothing more.
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
    Ok(Row {
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

/// Numbers for the ids of servers: the module knows numbers alone. An id that comes again after its server was
/// forgotten gets a new number.
#[derive(Debug, Default)]
pub struct Numbers {
    by_id: BTreeMap<String, ServerId>,
    next: u32,
}

impl Numbers {
    /// The number of an id, a new one where there is none.
    pub fn number(&mut self, id: &str) -> ServerId {
        if let Some(&n) = self.by_id.get(id) {
            return n;
        }
        self.next += 1;
        self.by_id.insert(id.to_owned(), ServerId(self.next));
        ServerId(self.next)
    }

    /// The number of an id that is known.
    pub fn known(&self, id: &str) -> Option<ServerId> {
        self.by_id.get(id).copied()
    }

    /// Forgets an id.
    pub fn forget(&mut self, number: ServerId) {
        self.by_id.retain(|_, n| *n != number);
    }
}

/// A zone's number: its place in the settings, else one past their end that the same name always gets, so that two zones
/// which the settings lack are not taken for one.
fn zone(names: &Names, name: &str) -> u32 {
    let listed = position(&names.zones, name).map(|z| z as u32);
    let mix = |n: u32, b: u8| (n ^ u32::from(b)).wrapping_mul(0x0100_0193);
    listed.unwrap_or_else(|| name.bytes().fold(0x811c_9dc5, mix) | UNLISTED)
}

/// Numbers of zones that the settings lack carry this bit.
const UNLISTED: u32 = 1 << 31;

/// A row in the module's words. Names that the settings lack become numbers past their ends.
pub fn entry(row: &Row, server: ServerId, names: &Names) -> ServerEntry {
    ServerEntry {
        server,
        state: row.state,
        kind: position(&names.kinds, &row.kind).unwrap_or(names.kinds.len()),
        weight: row.weight,
        cell: row.cell,
        zone: zone(names, &row.zone),
        started_at: row.started_at,
    }
}

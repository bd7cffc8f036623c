//! The list of boxes as a file.

use crate::form::{Diagnostic, Faults, Form, read_file};
use crate::front::Config;
use crate::sexp::{Node, quote};
use crate::units::Unit;
use micadyke::interface::ServerState;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// One box as the list names it.
#[derive(Debug, Clone, PartialEq)]
pub struct BoxRow {
    /// Its number; stays when its process restarts.
    pub id: u32,
    /// Where it takes signalling.
    pub address: SocketAddr,
    /// Its state.
    pub state: ServerState,
    /// Index of its kind.
    pub kind: usize,
    /// Its weight.
    pub weight: f64,
    /// Its cell.
    pub cell: u32,
    /// Index of its zone.
    pub zone: u32,
    /// When its process started, in nanoseconds since the Unix epoch; 0: long ago.
    pub started_at: u64,
}

impl BoxRow {
    /// So many ready boxes on loopback, numbered from 1, each in a cell of its own, without a port yet.
    pub fn on_loopback(n: u32) -> Vec<BoxRow> {
        let row = |cell| BoxRow {
            id: cell + 1,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            state: ServerState::Ready,
            kind: 0,
            weight: 1.0,
            cell,
            zone: 0,
            started_at: 0,
        };
        (0..n).map(row).collect()
    }
}

/// Reads and checks a list against the settings; all or nothing.
pub fn read_boxes(text: &str, file: &str, config: &Config) -> Result<Vec<BoxRow>, Vec<Diagnostic>> {
    read_file(text, file, "the list is incomplete", |nodes, faults| Some(rows(nodes, faults, config)))
}

fn rows(nodes: &[Node], faults: &Faults, config: &Config) -> Vec<BoxRow> {
    let publishes = config.routes.iter().any(|r| r.kind == crate::RouteKind::Publish);
    let (mut rows, mut ids, mut cells) = (Vec::new(), BTreeSet::new(), BTreeSet::new());
    for form in nodes.iter().filter_map(|n| Form::of(n, faults)) {
        if form.word != "box" {
            form.fault(format!("'{}' is no entry of a list of boxes; 'box'?", form.word));
            continue;
        }
        form.allow(&["address", "state", "kind", "weight", "cell", "zone", "started"], &[]);
        let id = match form.arguments() {
            [n] => n.text().and_then(|t| t.parse::<u32>().ok()),
            _ => None,
        };
        let Some(id) = id else {
            form.fault("a box takes one number below 2^32");
            continue;
        };
        if !ids.insert(id) {
            form.fault(format!("box {id} is given twice"));
        }
        let text = form.word_of("address", None);
        let address: Option<SocketAddr> = text.parse().ok();
        if address.is_none() && !text.is_empty() {
            form.fault(format!("address: '{text}' is no address and port"));
        }
        let state = match form.choice("state", &["ready", "draining", "gone"], Some(0)) {
            0 => ServerState::Ready,
            1 => ServerState::Draining,
            _ => ServerState::Gone,
        };
        let kinds: Vec<&str> = config.kinds.iter().map(String::as_str).collect();
        let zones: Vec<&str> = config.zones.iter().map(String::as_str).collect();
        let cell = form.count("cell", 0, u64::from(config.settings.cells) - 1, None) as u32;
        if publishes && !cells.insert(cell) && state != ServerState::Gone {
            form.fault(format!(
                "cell {cell} holds two boxes: what is published lies on one box, a cell of its own"
            ));
        }
        rows.push(BoxRow {
            id,
            address: address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
            state,
            kind: form.choice("kind", &kinds, Some(0)),
            weight: form.get("weight", Unit::Number, (1e-6, 1e9), Some(1.0)),
            cell,
            zone: form.choice("zone", &zones, Some(0)) as u32,
            // Whole microseconds: a double holds no more of a time since 1970.
            started_at: (form.get("started", Unit::Time, (0.0, 9e18), Some(0.0)) / 1e3).round() as u64
                * 1_000,
        });
    }
    rows
}

/// Writes a list as [`read_boxes`] reads it.
pub fn write_boxes(rows: &[BoxRow], config: &Config) -> String {
    let mut out = String::new();
    for r in rows {
        let state = match r.state {
            ServerState::Ready => "ready",
            ServerState::Draining => "draining",
            ServerState::Gone => "gone",
        };
        out.push_str(&format!(
            "(box {} (address {}) (state {state}) (kind {}) (weight {}) (cell {}) (zone {}) (started {}ms))\n",
            r.id,
            quote(&r.address.to_string()),
            quote(&config.kinds[r.kind]),
            r.weight,
            r.cell,
            quote(&config.zones[r.zone as usize]),
            r.started_at / 1_000_000,
        ));
    }
    out
}

//! The configuration that the platform hands a front node (`DEPLOY.md`): JSON in the file that `EDGE_CONFIG` names.

use crate::list::{Change, change};
use micadyke_settings::{Site, site};
use serde_json::Value;
use std::net::SocketAddr;

/// Bytes of the configuration at most.
pub const LONGEST: u64 = 16 << 20;
/// Descriptors under which a node can't serve: its own, the bus, a few servers and viewers.
const FEWEST_SOCKETS: u64 = 64;

/// What a front node is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where viewers connect.
    pub listen: SocketAddr,
    /// Seed of its random numbers.
    pub seed: u64,
    /// Descriptors that it may hold.
    pub sockets: usize,
    /// The event bus.
    pub bus: SocketAddr,
    /// The events so far, in order.
    pub known: Vec<Change>,
    /// The number of the last event that `known` stands for.
    pub offset: u64,
    /// The settings.
    pub site: Site,
}

fn field<'v>(v: &'v Value, path: &str) -> Result<&'v Value, String> {
    let found = path.split('.').fold(v, |v, key| &v[key]);
    if found.is_null() { Err(format!("{path} is missing")) } else { Ok(found) }
}

fn text<'v>(v: &'v Value, path: &str) -> Result<&'v str, String> {
    field(v, path)?.as_str().ok_or_else(|| format!("{path} holds no text"))
}

fn address(v: &Value, path: &str) -> Result<SocketAddr, String> {
    let t = text(v, path)?;
    t.parse().map_err(|_| format!("{path} holds '{t}', not an address and port"))
}

/// Reads the configuration; the error names the field.
pub fn read(json: &str) -> Result<Config, String> {
    let v: Value = serde_json::from_str(json).map_err(|e| format!("not JSON: {e}"))?;
    let seed = text(&v, "seed")?;
    let seed =
        u64::from_str_radix(seed, 16).map_err(|_| format!("seed holds '{seed}', not 16 hex digits"))?;
    let sockets = field(&v, "limits.sockets")?.as_u64().ok_or("limits.sockets holds no count")?;
    if sockets < FEWEST_SOCKETS {
        return Err(format!("limits.sockets holds {sockets}; a node needs {FEWEST_SOCKETS}"));
    }
    let (mut known, mut offset) = (Vec::new(), 0);
    if !v["known"].is_null() {
        offset = field(&v, "known.offset")?.as_u64().ok_or("known.offset holds no count")?;
        let batch = field(&v, "known.batch")?.as_array().ok_or("known.batch holds no list")?;
        for (i, event) in batch.iter().enumerate() {
            let change = change(event).map_err(|e| format!("known.batch[{i}]: {e}"))?;
            if change.offset > offset {
                return Err(format!(
                    "known.batch[{i}]: offset {} is past known.offset {offset}",
                    change.offset
                ));
            }
            known.push(change);
        }
    }
    Ok(Config {
        name: text(&v, "name")?.to_owned(),
        listen: address(&v, "listen")?,
        seed,
        sockets: usize::try_from(sockets).unwrap_or(usize::MAX),
        bus: address(&v, "bus")?,
        known,
        offset,
        site: site(field(&v, "settings")?)?,
    })
}

impl Config {
    /// Checks the configuration against what the environment says of the same things.
    pub fn agrees(&self, name: Option<&str>, listen: Option<&str>) -> Result<(), String> {
        if let Some(n) = name.filter(|n| *n != self.name) {
            return Err(format!("name holds '{}', but EDGE_NAME says '{n}'", self.name));
        }
        match listen.map(str::parse::<SocketAddr>) {
            Some(Ok(a)) if a == self.listen => Ok(()),
            None => Ok(()),
            Some(Ok(a)) => Err(format!("listen holds {}, but EDGE_LISTEN says {a}", self.listen)),
            Some(Err(_)) => Err("EDGE_LISTEN is not an address and port".into()),
        }
    }
}

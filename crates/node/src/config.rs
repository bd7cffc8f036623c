//! The configuration that the platform hands a front node (`DEPLOY.md`): JSON in the file that `EDGE_CONFIG` names.

use crate::error::Fault;
use crate::list::{Change, change};
use micadyke_settings::{Deployment, from_json};
use serde_json::Value;
use std::net::SocketAddr;

/// Bytes of the configuration at most.
pub const LONGEST: u64 = 16 << 20;
/// Descriptors under which a node can't serve: its own, the bus, a few servers and viewers.
pub(crate) const FEWEST_SOCKETS: u64 = 64;

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
    /// The settings of the deployment.
    pub deployment: Deployment,
}

/// The field under a path, which is there; what should hold it is an object.
fn field<'v>(v: &'v Value, path: &'static str) -> Result<&'v Value, Fault> {
    let (mut found, mut end) = (v, 0);
    for key in path.split('.') {
        if !(found.is_object() || found.is_null()) {
            return Err(Fault::Kind { field: &path[..end], due: "object" });
        }
        found = &found[key];
        end += key.len() + usize::from(end > 0);
    }
    if found.is_null() { Err(Fault::Missing(path)) } else { Ok(found) }
}

fn text<'v>(v: &'v Value, path: &'static str) -> Result<&'v str, Fault> {
    field(v, path)?.as_str().ok_or(Fault::Kind { field: path, due: "text" })
}

fn count(v: &Value, path: &'static str) -> Result<u64, Fault> {
    field(v, path)?.as_u64().ok_or(Fault::Kind { field: path, due: "count" })
}

fn address(v: &Value, path: &'static str) -> Result<SocketAddr, Fault> {
    let t = text(v, path)?;
    t.parse().map_err(|_| Fault::Address { field: path, held: t.into() })
}

/// Reads the configuration.
///
/// # Errors
///
/// Which field is wrong, and how.
pub fn read(json: &str) -> Result<Config, Fault> {
    let v: Value = serde_json::from_str(json).map_err(|e| Fault::NotJson(e.to_string()))?;
    if !v.is_object() {
        return Err(Fault::Kind { field: "the configuration", due: "object" });
    }
    let digits = text(&v, "seed")?;
    let seed = u64::from_str_radix(digits, 16).ok().filter(|_| !digits.starts_with('+'));
    let seed = seed.ok_or_else(|| Fault::Seed(digits.into()))?;
    let sockets = count(&v, "limits.sockets")?;
    if sockets < FEWEST_SOCKETS {
        return Err(Fault::FewSockets(sockets));
    }
    let (mut known, mut offset) = (Vec::new(), 0);
    if !v["known"].is_null() {
        offset = count(&v, "known.offset")?;
        let batch = field(&v, "known.batch")?.as_array();
        let batch = batch.ok_or(Fault::Kind { field: "known.batch", due: "list" })?;
        for (i, event) in batch.iter().enumerate() {
            let change = change(event).map_err(|why| Fault::Event { at: i, why })?;
            if change.offset > offset {
                return Err(Fault::Past { at: i, offset: change.offset, last: offset });
            }
            known.push(change);
        }
    }
    let bus = address(&v, "bus")?;
    if bus.port() == 0 {
        // Nothing can be called there. A listener takes any port for it, as tests have it.
        return Err(Fault::Address { field: "bus", held: bus.to_string() });
    }
    Ok(Config {
        name: text(&v, "name")?.to_owned(),
        listen: address(&v, "listen")?,
        seed,
        sockets: usize::try_from(sockets).unwrap_or(usize::MAX),
        bus,
        known,
        offset,
        deployment: from_json(field(&v, "settings")?)?,
    })
}

impl Config {
    /// Checks the configuration against what the environment says of the same things.
    ///
    /// # Errors
    ///
    /// Which of both differs.
    pub fn agrees(&self, name: Option<&str>, listen: Option<&str>) -> Result<(), Fault> {
        if let Some(n) = name.filter(|n| *n != self.name) {
            return Err(Fault::OtherName { held: self.name.clone(), said: n.into() });
        }
        match listen.map(str::parse::<SocketAddr>) {
            Some(Ok(a)) if a == self.listen => Ok(()),
            None => Ok(()),
            Some(Ok(a)) => Err(Fault::OtherListen { held: self.listen, said: a }),
            Some(Err(_)) => Err(Fault::NoListen),
        }
    }
}

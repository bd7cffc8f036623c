//! The configuration of a front node (`DEPLOY.md`): JSON in the file named by `EDGE_CONFIG`.

use crate::error::ConfigError;
use crate::list::{ListChange, parse_change};
use micadyke_settings::Deployment;
use serde_json::Value;
use std::net::SocketAddr;

/// Maximum size of the configuration, in bytes.
pub const MAX_CONFIG_BYTES: u64 = 16 << 20;
/// Minimum number of descriptors: those of the process itself, the bus, and a few servers and viewers.
pub(crate) const MIN_SOCKETS: u64 = 64;
/// The memory limit if the configuration states none, in MB.
const DEFAULT_MEMORY_MB: f64 = 32.0;
const BYTES_PER_MB: f64 = (1 << 20) as f64;

/// The configuration of a front node.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// The node's name.
    pub name: String,
    /// The address on which viewers connect.
    pub listen: SocketAddr,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Maximum number of descriptors.
    pub sockets: usize,
    /// The memory limit, in bytes.
    pub memory: usize,
    /// The address of the event bus.
    pub bus: SocketAddr,
    /// The known events, in order.
    pub known: Vec<ListChange>,
    /// The number of the last known event.
    pub offset: u64,
    /// The settings of the deployment.
    pub deployment: Deployment,
}

/// The field at a path, which must exist.
fn field<'v>(v: &'v Value, path: &'static str) -> Result<&'v Value, ConfigError> {
    let (mut found, mut end) = (v, 0);
    for key in path.split('.') {
        if !(found.is_object() || found.is_null()) {
            return Err(ConfigError::WrongType { field: &path[..end], expected: "object" });
        }
        found = &found[key];
        end += key.len() + usize::from(end > 0);
    }
    if found.is_null() { Err(ConfigError::Missing(path)) } else { Ok(found) }
}

fn text<'v>(v: &'v Value, path: &'static str) -> Result<&'v str, ConfigError> {
    field(v, path)?.as_str().ok_or(ConfigError::WrongType { field: path, expected: "text" })
}

fn count(v: &Value, path: &'static str) -> Result<u64, ConfigError> {
    field(v, path)?.as_u64().ok_or(ConfigError::WrongType { field: path, expected: "count" })
}

/// The memory limit in bytes.
fn memory(v: &Value) -> Result<usize, ConfigError> {
    let path = "limits.memory_mb";
    let megabytes = match v["limits"]["memory_mb"] {
        Value::Null => DEFAULT_MEMORY_MB,
        ref stated => stated
            .as_f64()
            .filter(|mb| *mb > 0.0)
            .ok_or(ConfigError::WrongType { field: path, expected: "number above 0" })?,
    };
    Ok((megabytes * BYTES_PER_MB) as usize)
}

fn address(v: &Value, path: &'static str) -> Result<SocketAddr, ConfigError> {
    let t = text(v, path)?;
    t.parse().map_err(|_| ConfigError::Address { field: path, value: t.into() })
}

/// Parses the configuration.
///
/// # Errors
///
/// The first invalid field.
pub fn read(json: &str) -> Result<Config, ConfigError> {
    let v: Value = serde_json::from_str(json).map_err(|e| ConfigError::NotJson(e.to_string()))?;
    if !v.is_object() {
        return Err(ConfigError::WrongType { field: "the configuration", expected: "object" });
    }
    let digits = text(&v, "seed")?;
    let seed = u64::from_str_radix(digits, 16).ok().filter(|_| !digits.starts_with('+'));
    let seed = seed.ok_or_else(|| ConfigError::Seed(digits.into()))?;
    let sockets = count(&v, "limits.sockets")?;
    if sockets < MIN_SOCKETS {
        return Err(ConfigError::FewSockets(sockets));
    }
    let memory = memory(&v)?;
    let (mut known, mut offset) = (Vec::new(), 0);
    if !v["known"].is_null() {
        offset = count(&v, "known.offset")?;
        let batch = field(&v, "known.batch")?.as_array();
        let batch = batch.ok_or(ConfigError::WrongType { field: "known.batch", expected: "list" })?;
        for (i, event) in batch.iter().enumerate() {
            let change = parse_change(event).map_err(|why| ConfigError::Event { index: i, why })?;
            if change.offset > offset {
                return Err(ConfigError::OffsetBeyondLast { index: i, offset: change.offset, last: offset });
            }
            known.push(change);
        }
    }
    let bus = address(&v, "bus")?;
    if bus.port() == 0 {
        // No connection can be made to port 0. (For `listen` it stands for any free port, as used by tests.)
        return Err(ConfigError::Address { field: "bus", value: bus.to_string() });
    }
    Ok(Config {
        name: text(&v, "name")?.to_owned(),
        listen: address(&v, "listen")?,
        seed,
        sockets: usize::try_from(sockets).unwrap_or(usize::MAX),
        memory,
        bus,
        known,
        offset,
        deployment: micadyke_settings::from_json(field(&v, "settings")?)?,
    })
}

impl Config {
    /// Checks name and address against those in the environment.
    ///
    /// # Errors
    ///
    /// The value that differs.
    pub fn check_environment(&self, name: Option<&str>, listen: Option<&str>) -> Result<(), ConfigError> {
        if let Some(n) = name.filter(|n| *n != self.name) {
            return Err(ConfigError::OtherName { configured: self.name.clone(), environment: n.into() });
        }
        match listen.map(str::parse::<SocketAddr>) {
            Some(Ok(a)) if a == self.listen => Ok(()),
            None => Ok(()),
            Some(Ok(a)) => Err(ConfigError::OtherListen { configured: self.listen, environment: a }),
            Some(Err(_)) => Err(ConfigError::InvalidListen),
        }
    }
}

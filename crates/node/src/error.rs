//! Errors of configuration, start and events, with advice for operators.

use crate::config::{MAX_CONFIG_BYTES, MIN_SOCKETS};
use crate::list::MAX_SERVERS_PER_EVENT;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why an event of the bus is rejected. Fields are named as in the event.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// The text is not JSON.
    #[error("{0}")]
    NotJson(String),
    /// The event has no number.
    #[error("offset holds no number")]
    NoOffset,
    /// The event has no list of servers.
    #[error("topology.servers holds no list")]
    NoList,
    /// The event has too many servers.
    #[error("topology.servers holds {0} servers; {MAX_SERVERS_PER_EVENT} at most")]
    TooMany(usize),
    /// A server is invalid.
    #[error("topology.servers[{index}].{field} holds {problem}")]
    Server {
        /// Its index in the list.
        index: usize,
        /// The field.
        field: &'static str,
        /// What is wrong with the field.
        problem: &'static str,
    },
}

impl EventError {
    /// What an operator can do.
    ///
    /// ```
    /// let bad = micadyke_node::list::parse_change(&serde_json::json!({})).expect_err("no number");
    /// assert!(bad.advice().contains("bus"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            EventError::NotJson(_) => "Check what writes to the bus: each event is one JSON object.",
            EventError::NoOffset => "Check what writes to the bus: each event has its number, from 1 on.",
            EventError::NoList => {
                "Check what writes to the bus: an event of the list has its servers in a list, empty or not."
            }
            EventError::TooMany(_) => {
                "Check what lists so many servers; an event contains those of one deployment."
            }
            EventError::Server { .. } => {
                "Correct that server where the list is written; the whole event is ignored because of it."
            }
        }
    }
}

/// Why a configuration is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// A required field is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A value has the wrong type.
    #[error("{field} holds no {expected}")]
    WrongType {
        /// The field.
        field: &'static str,
        /// The expected type.
        expected: &'static str,
    },
    /// A text is not an address.
    #[error("{field} holds '{value}', not an address and port")]
    Address {
        /// The field.
        field: &'static str,
        /// The text.
        value: String,
    },
    /// The seed is invalid.
    #[error("seed holds '{0}', not 16 hex digits")]
    Seed(String),
    /// Too few descriptors.
    #[error("limits.sockets holds {0}; a node needs {MIN_SOCKETS}")]
    FewSockets(u64),
    /// An event is invalid.
    #[error("known.batch[{index}].{why}")]
    Event {
        /// Its index in the batch.
        index: usize,
        /// What is wrong with it.
        why: EventError,
    },
    /// An event has a higher number than the last of the batch.
    #[error("known.batch[{index}].offset holds {offset}, past known.offset, which holds {last}")]
    OffsetBeyondLast {
        /// Its index in the batch.
        index: usize,
        /// Its number.
        offset: u64,
        /// The last number of the batch.
        last: u64,
    },
    /// The settings of the deployment are invalid.
    #[error(transparent)]
    Settings(#[from] micadyke_settings::Error),
    /// The environment contains another name.
    #[error("name holds '{configured}', but EDGE_NAME says '{environment}'")]
    OtherName {
        /// The value in the configuration.
        configured: String,
        /// The value in the environment.
        environment: String,
    },
    /// The environment contains another address.
    #[error("listen holds {configured}, but EDGE_LISTEN says {environment}")]
    OtherListen {
        /// The value in the configuration.
        configured: SocketAddr,
        /// The value in the environment.
        environment: SocketAddr,
    },
    /// The address in the environment is invalid.
    #[error("EDGE_LISTEN is not an address and port")]
    InvalidListen,
}

impl ConfigError {
    /// What an operator can do.
    ///
    /// ```
    /// let refused = micadyke_node::config::read("{}").expect_err("nothing in it");
    /// assert!(refused.advice().contains("DEPLOY.md"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            ConfigError::NotJson(_) => {
                "Check whether EDGE_CONFIG names the configuration and whether the file is complete."
            }
            ConfigError::Missing(_) => "Add the field; DEPLOY.md says what it holds.",
            ConfigError::WrongType { .. } => "Write a value of the named type; DEPLOY.md has an example.",
            ConfigError::Address { .. } => {
                "Write a numeric address and a port, as in 10.0.0.4:2905; names are not looked up."
            }
            ConfigError::Seed(_) => "Write the seed as hex digits alone, without 0x.",
            ConfigError::FewSockets(_) => {
                "Give the node more descriptors (limits.sockets, and ulimit -n); 256 are enough."
            }
            ConfigError::Event { why, .. } => why.advice(),
            ConfigError::OffsetBeyondLast { .. } => {
                "Correct known: its offset is the number of the last event that its batch covers."
            }
            ConfigError::Settings(e) => e.advice(),
            ConfigError::OtherName { .. } => {
                "Give the node its own file, or make EDGE_NAME and name the same."
            }
            ConfigError::OtherListen { .. } => {
                "Give the node its own file, or make EDGE_LISTEN and listen the same."
            }
            ConfigError::InvalidListen => {
                "Set EDGE_LISTEN to a numeric address and a port, or leave it unset."
            }
        }
    }
}

/// Why a node does not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file of the configuration can't be read.
    #[error("{}: {why}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        why: std::io::Error,
    },
    /// The configuration is too long.
    #[error("{}: {size} bytes; {MAX_CONFIG_BYTES} at most", path.display())]
    TooLong {
        /// The file.
        path: PathBuf,
        /// Its size in bytes.
        size: u64,
    },
    /// The configuration is invalid.
    #[error("{}: {why}", path.display())]
    Refused {
        /// The file.
        path: PathBuf,
        /// Why.
        why: ConfigError,
    },
    /// Listening on the address failed.
    #[error("cannot listen on {at}: {why}")]
    Listen {
        /// The configured address.
        at: SocketAddr,
        /// The error of the operating system.
        why: std::io::Error,
    },
    /// Signal handlers can't be installed.
    #[error("no signals: {0}")]
    Signals(std::io::Error),
}

impl Error {
    /// What an operator can do.
    ///
    /// ```
    /// let lost = micadyke_node::shell::load("no-such-file".as_ref()).expect_err("no file");
    /// assert!(lost.advice().contains("EDGE_CONFIG"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            Error::File { .. } => "Check whether EDGE_CONFIG names a file that this process may read.",
            Error::TooLong { .. } => "Check what wrote the file: a configuration is never that large.",
            Error::Refused { why, .. } => why.advice(),
            Error::Listen { .. } => {
                "Check whether 'listen' is an address of this machine, and which process uses the port (ss -tlnp)."
            }
            Error::Signals(_) => "Check how many descriptors this process may open (ulimit -n).",
        }
    }
}

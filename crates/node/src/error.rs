//! Why a node does not start or an event is not read, and what can be done about it.

use crate::config::{FEWEST_SOCKETS, LONGEST};
use crate::list::MOST_SERVERS;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why an event of the bus is not read; the field is named as the platform writes it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Event {
    /// The text is no JSON.
    #[error("{0}")]
    NotJson(String),
    /// It has no number.
    #[error("offset holds no number")]
    NoOffset,
    /// It names no servers.
    #[error("topology.servers holds no list")]
    NoList,
    /// More servers than are taken of one event.
    #[error("topology.servers holds {0} servers; {MOST_SERVERS} at most")]
    TooMany(usize),
    /// A server that can't be read.
    #[error("topology.servers[{at}].{field} holds {lacks}")]
    Server {
        /// Its place in the list.
        at: usize,
        /// The field.
        field: &'static str,
        /// What the field should hold and does not.
        lacks: &'static str,
    },
}

impl Event {
    /// What an operator can do.
    ///
    /// ```
    /// let bad = micadyke_node::list::change(&serde_json::json!({})).expect_err("no number");
    /// assert!(bad.advice().contains("bus"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            Event::NotJson(_) => "See what writes to the bus: each event is one JSON object.",
            Event::NoOffset => "See what writes to the bus: each event has its number, from 1 on.",
            Event::NoList => {
                "See what writes to the bus: an event of the list has its servers in a list, empty or not."
            }
            Event::TooMany(_) => "See what lists so many servers; an event names those of one deployment.",
            Event::Server { .. } => {
                "Correct that server where the list is written; its whole event is passed over with it."
            }
        }
    }
}

/// Why a configuration is refused; the field is named.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The text is no JSON.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// A field that is due.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A value of another kind than is due.
    #[error("{field} holds no {due}")]
    Kind {
        /// The field.
        field: &'static str,
        /// What is due.
        due: &'static str,
    },
    /// A text that is no address.
    #[error("{field} holds '{held}', not an address and port")]
    Address {
        /// The field.
        field: &'static str,
        /// The text.
        held: String,
    },
    /// A seed that is none.
    #[error("seed holds '{0}', not 16 hex digits")]
    Seed(String),
    /// Fewer descriptors than a node can serve with.
    #[error("limits.sockets holds {0}; a node needs {FEWEST_SOCKETS}")]
    FewSockets(u64),
    /// An event that can't be read.
    #[error("known.batch[{at}].{why}")]
    Event {
        /// Its place in the batch.
        at: usize,
        /// What is wrong with it.
        why: Event,
    },
    /// An event that the batch can't hold.
    #[error("known.batch[{at}].offset holds {offset}, past known.offset, which holds {last}")]
    Past {
        /// Its place in the batch.
        at: usize,
        /// Its number.
        offset: u64,
        /// The last that the batch stands for.
        last: u64,
    },
    /// The settings of the deployment.
    #[error(transparent)]
    Settings(#[from] micadyke_settings::Error),
    /// The environment gives another name.
    #[error("name holds '{held}', but EDGE_NAME says '{said}'")]
    OtherName {
        /// The configuration's.
        held: String,
        /// The environment's.
        said: String,
    },
    /// The environment gives another address.
    #[error("listen holds {held}, but EDGE_LISTEN says {said}")]
    OtherListen {
        /// The configuration's.
        held: SocketAddr,
        /// The environment's.
        said: SocketAddr,
    },
    /// What the environment gives is no address.
    #[error("EDGE_LISTEN is not an address and port")]
    NoListen,
}

impl Fault {
    /// What an operator can do.
    ///
    /// ```
    /// let refused = micadyke_node::config::read("{}").expect_err("nothing in it");
    /// assert!(refused.advice().contains("DEPLOY.md"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            Fault::NotJson(_) => {
                "See whether EDGE_CONFIG names the configuration, and whether that was written whole."
            }
            Fault::Missing(_) => "Add the field; DEPLOY.md says what it holds.",
            Fault::Kind { .. } => "Write a value of the kind named; DEPLOY.md has an example.",
            Fault::Address { .. } => {
                "Write a numeric address and a port, as in 10.0.0.4:2905; names are not looked up."
            }
            Fault::Seed(_) => "Write the seed as hex digits alone, without 0x.",
            Fault::FewSockets(_) => {
                "Give the node more descriptors (limits.sockets, and ulimit -n); 256 are enough."
            }
            Fault::Event { why, .. } => why.advice(),
            Fault::Past { .. } => {
                "Write known anew: its offset is the number of the last event that its batch stands for."
            }
            Fault::Settings(e) => e.advice(),
            Fault::OtherName { .. } => "Hand the node its own file, or make EDGE_NAME and name the same.",
            Fault::OtherListen { .. } => {
                "Hand the node its own file, or make EDGE_LISTEN and listen the same."
            }
            Fault::NoListen => "Set EDGE_LISTEN to a numeric address and a port, or leave it unset.",
        }
    }
}

/// Why a node does not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration's file can't be had.
    #[error("{}: {why}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The system's word.
        why: std::io::Error,
    },
    /// The configuration is too long.
    #[error("{}: {size} bytes; {LONGEST} at most", path.display())]
    TooLong {
        /// The file.
        path: PathBuf,
        /// Its bytes.
        size: u64,
    },
    /// The configuration is refused.
    #[error("{}: {why}", path.display())]
    Refused {
        /// The file.
        path: PathBuf,
        /// Why.
        why: Fault,
    },
    /// The address is not to be had.
    #[error("cannot listen on {at}: {why}")]
    Listen {
        /// What the configuration says.
        at: SocketAddr,
        /// The system's word.
        why: std::io::Error,
    },
    /// Signals can't be heard.
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
            Error::File { .. } => "See whether EDGE_CONFIG names a file that this process may read.",
            Error::TooLong { .. } => "See what wrote the file: nothing that a node is told takes so much.",
            Error::Refused { why, .. } => why.advice(),
            Error::Listen { .. } => {
                "See whether 'listen' names an address of this machine, and which process holds the port (ss -tlnp)."
            }
            Error::Signals(_) => "See how many descriptors this process may hold (ulimit -n).",
        }
    }
}

//! The front node: the platform's protocol (`PROTOCOL.md`) around the decision module.
//!
//! [`core`] is a state machine without I/O or clock: inputs and the time in, outputs out. It holds the state of sessions,
//! attempts, connections and the server list, and asks the module through [`Decide`] for every placement, admission and
//! rung. [`limits`] contains the node's own limits and choices: when a server counts as lost, which connection is used, how
//! many requests are admitted. [`shell`] is the tokio layer: one thread, tasks of a `LocalSet`, no locks.
#![warn(missing_docs)]

pub mod advice;
mod blocked;
pub mod bus;
pub mod config;
mod connection;
mod connection_turns;
mod coordination;
pub mod core;
mod directory_index;
mod error;
pub mod io;
pub mod limits;
mod links;
pub mod list;
mod list_changes;
pub mod listed_servers;
mod liveness;
mod peers;
mod reconnect;
mod recovery;
mod replacement;
mod server_messages;
mod servers;
mod sessions;
pub mod shell;
mod spent_ids;
mod state;
mod viewers;

pub use crate::error::{ConfigError, Error, EventError};
pub use crate::io::{ConnId, ConnectionEnd, Input, Output};
pub use crate::state::{Counts, Node};
pub use micadyke::module::Decide;

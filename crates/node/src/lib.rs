//! The front node: the platform's protocol (`PROTOCOL.md`) around the decision module.
//!
//! [`core`] is a state machine without I/O or clock: inputs and the time in, outputs out. It keeps the books of
//! sessions, attempts, connections and the list of servers, and asks the module through [`Decide`] for every placement,
//! admission and rung. [`limits`] holds what a node chooses beyond that: whether a server lives, which connection is
//! used, what is taken at the door. [`shell`] is the tokio layer around it: one thread, tasks of a `LocalSet`, no locks.
#![warn(missing_docs)]

pub mod advice;
mod blocked;
mod books;
pub mod bus;
mod choosing;
pub mod config;
pub mod core;
mod directed;
mod error;
pub mod io;
pub mod limits;
mod links;
pub mod list;
mod others;
mod recovering;
mod servers;
pub mod shell;
mod viewers;

pub use crate::books::{Counts, Node};
pub use crate::error::{Error, Event, Fault};
pub use crate::io::{ConnId, Input, Output};
pub use micadyke::module::Decide;

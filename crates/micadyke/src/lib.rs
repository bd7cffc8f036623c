//! micadyke makes the decisions of a session controller for a fleet of media servers.
#![doc = include_str!("../README.md")]
#![warn(missing_docs)]

pub mod decide;
pub mod interface;
pub mod module;

//! Recovery of a front from a power loss: what it keeps ([`store`]), what it trusts of that ([`trust`]), and in which order
//! its service returns ([`phases`]).
//!
//! Nothing here chooses a server, takes or refuses a request: that is the decision module's, which is told facts. Until the
//! phases are over it is told of no server, and refuses by itself.
#![warn(missing_docs)]

pub mod keeper;
pub mod phases;
pub mod record;
pub mod spread;
pub mod store;
pub mod trust;
pub mod watched;

/// A point in time or a span of it, in nanoseconds. What is kept bears Unix time; phases count by one clock that never runs
/// backwards.
pub type Nanos = u64;
/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000 * MS;

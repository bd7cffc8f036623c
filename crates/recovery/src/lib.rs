//! Recovery of a front after a power loss: what it stores ([`store`]), how far it trusts stored facts ([`trust`]), and in
//! which phases its service returns ([`phases`]).
//!
//! This crate does not choose servers and does not accept or refuse requests. The decision module does that; until recovery
//! is complete it has no servers and therefore refuses all requests.
#![warn(missing_docs)]

pub mod phases;
pub mod progress;
pub mod record;
pub mod retry_spreader;
pub mod store;
pub mod trust;
pub mod writer;

/// A point in time or a duration, in nanoseconds. Stored times are Unix times; phases use a monotonic clock.
pub type Nanos = u64;
/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000 * MS;

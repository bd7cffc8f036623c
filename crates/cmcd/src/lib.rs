//! What players and servers tell of a play beside their HTTP requests and answers: Common Media Client Data
//! (CTA-5004, versions 1 and 2) and Common Media Server Data (CTA-5006).
//!
//! Both are hints. What is malformed, of a wrong type or unknown is left out and counted, never an error for the
//! request that brought it; [`client::Cmcd::ignored`] says how much that was.

pub mod client;
pub mod keys;
pub mod server;

pub use client::{Cmcd, Value};
pub use server::{Cmsd, Hop};

/// Bytes of all that one request tells, at most; beyond: none of it is read.
pub const MAX_BYTES: usize = 8192;
/// Keys of an operator's or a maker's own that are kept, at most; further ones are ignored.
pub const MAX_CUSTOM: usize = 16;
/// Reports in one message at most; further ones are ignored.
pub const MAX_REPORTS: usize = 64;

//! HTTP/1.1 as the front speaks it: incremental parsing and framing without I/O ([`message`], [`parse`]),
//! the published headers it needs ([`fields`]), server-sent events ([`sse`]) and a thin tokio layer ([`client`]).
//!
//! Everything that a peer can make grow has a bound in [`Limits`]; passing a bound is an error with a status,
//! never a silent cut.
#![warn(missing_docs)]

pub mod bounds;
pub mod client;
pub mod fields;
pub mod head;
pub mod message;
pub mod parse;
pub mod sse;
pub mod structured;

pub use bounds::{Fault, Limits};
pub use message::{Headers, Method, Request, Response, reason};
pub use parse::{RequestParser, ResponseParser};

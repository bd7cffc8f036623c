//! HTTP/1.1: incremental parsing and framing without I/O ([`message`], [`parse`]), standard header fields ([`fields`]),
//! server-sent events ([`sse`]) and a thin tokio client ([`client`]).
//!
//! [`Limits`] bounds everything that depends on the peer. Exceeding a limit is an error with a status code; nothing is
//! silently truncated.
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

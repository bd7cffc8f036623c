//! The session front: WHIP (RFC 9725) and WHEP towards viewers, HLS and DASH with CMCD and CMSD towards players over
//! HTTP, a client of both towards media boxes, and the decision module between them.
//!
//! [`core`] is a state machine without I/O or clock: inputs and the time in, outputs out. [`shell`] is the tokio
//! layer around it: one current-thread runtime, tasks on a `LocalSet`, no locks. [`list`] brings the list of boxes.
#![warn(missing_docs)]

pub mod asking;
mod books;
pub mod core;
mod endpoint;
pub mod hints;
pub mod io;
pub mod keeping;
pub mod list;
mod media;
mod notes;
mod returning;
mod seating;
mod seats;
mod session;
pub mod shell;
mod signalling;
mod state;

pub use crate::core::{Counts, Front};
pub use crate::io::{CallId, ConnId, Input, Output, StreamId, Taken};

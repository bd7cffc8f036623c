//! Rehearsals: scenarios of troubles played through real fronts on loopback sockets, with stand-in boxes and
//! viewers, and a verdict on the six rules from the recorded traffic alone.
//!
//! [`scenario`] reads what is to happen, [`run`] plays it, [`check`] judges the record, [`sabotage`] holds fronts
//! broken on purpose, on which the judge is tried. [`replay`] asks one list of questions through two clients.
#![warn(missing_docs)]

pub mod check;
pub mod replay;
pub mod run;
pub mod sabotage;
pub mod scenario;
mod traffic;

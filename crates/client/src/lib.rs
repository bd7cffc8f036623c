//! A client of micadyke's fronts over WHEP and WHIP.
//!
//! All clients of the fronts, whatever they speak, ask the same [`Question`] and hear the same [`Outcome`]. One rule
//! says whether and when a question is asked again ([`retry`]); one state machine without I/O carries it out
//! ([`asking`]) and never has two attempts out. [`whep`] is the protocol, [`net`] the thin layer over sockets.
#![warn(missing_docs)]

pub mod asking;
pub mod net;
pub mod retry;
pub mod whep;

use serde::{Deserialize, Serialize};

/// What a viewer asks: the same over every protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The title.
    pub title: String,
    /// The class that it is asked as; names a route of the front.
    pub class: String,
    /// The most that the viewer can use, kbit/s; `None`: anything.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ceiling: Option<u64>,
    /// The viewer waits so long for each answer, in milliseconds.
    pub patience_ms: u64,
    /// Asking twice does no harm, even where the first time may have been heard.
    #[serde(default)]
    pub repeatable: bool,
}

/// What came of a question: the same words over every protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Outcome {
    /// It plays.
    Plays {
        /// The box, as the front names it (CMSD); empty: it did not.
        at: String,
        /// What it may play at, kbit/s; 0: the front did not say.
        rung: u64,
    },
    /// Refused; to come back after so long, in milliseconds, if that was advised.
    Refused {
        /// See above.
        come_back_ms: Option<u64>,
    },
    /// Turned down, or failed for good.
    Failed {
        /// The answer's status; 0: an answer that breaks the protocol.
        status: u16,
    },
    /// Nothing was sent: no front was reached.
    NotSent,
    /// Sent, and no answer came in time, or the connection broke: what became of it is not known.
    NotKnown,
    /// The viewer took it back.
    Cancelled,
}

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;

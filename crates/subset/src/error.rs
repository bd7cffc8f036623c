//! Errors in the settings of subsets, turns and control laws, with advice for operators.

use crate::Nanos;

/// A setting that is out of range.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub enum Error {
    /// The minimum size of a subset is 0.
    #[error("a working subset needs at least one server")]
    NoServers,
    /// The minimum number of nodes for each server is 0.
    #[error("each server needs at least one node that works with it")]
    NoHolders,
    /// A share is not between 0 and 1.
    #[error("share out of range: {0} is not between 0 and 1")]
    InvalidShare(f64),
    /// The rate at which subsets widen is not positive.
    #[error("invalid rate of widening: {0} servers a second")]
    InvalidRate(f64),
    /// The window is too short for its slots.
    #[error("invalid window: {window} ns in {slots} slots")]
    InvalidWindow {
        /// The window, in nanoseconds.
        window: Nanos,
        /// Number of its slots.
        slots: u32,
    },
    /// A parameter of the control law is not positive and finite.
    #[error("gain, time constant, period and bound of a control law must be above 0 and finite")]
    InvalidLaw,
    /// The control law is unstable at the age of the figures.
    #[error("control law unstable: figures {lag} ns old exceed half of the delay margin of {margin} ns")]
    Unstable {
        /// The age of the figures plus the period of the law, in nanoseconds.
        lag: Nanos,
        /// The delay from which the law oscillates without end, in nanoseconds.
        margin: Nanos,
    },
}

impl Error {
    /// What an operator can do about the error, in one sentence.
    ///
    /// ```
    /// use micadyke_subset::Error;
    /// assert!(Error::NoServers.advice().starts_with("Set"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            Error::NoServers => "Set the minimum size of a subset to 1 or more; 20 is usual.",
            Error::NoHolders => "Set the minimum number of nodes for each server to 1 or more; 2 is usual.",
            Error::InvalidShare(_) => "Give a share above 0 and up to 1.",
            Error::InvalidRate(_) => {
                "Give a rate above 0 and a burst of 1 or more; 2 a second and 4 are usual."
            }
            Error::InvalidWindow { .. } => {
                "Give a window of 1 ms or more for each slot, and 1 to 32 slots; 4 s and 6 are usual."
            }
            Error::InvalidLaw => "Leave the parameters of the law out, so that the built-in ones apply.",
            Error::Unstable { .. } => {
                "Lower the gain, lengthen the time constant, or collect the figures more often."
            }
        }
    }
}

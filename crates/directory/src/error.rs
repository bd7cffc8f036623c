//! What is refused, and what can be done about it.

use crate::Key;

/// What the directory refuses.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// As many questions are open as may be.
    #[error("{open} questions are open")]
    Open {
        /// How many.
        open: usize,
    },
    /// The part of the rate that is for questions is used up.
    #[error("the rate for questions is used up")]
    Rate,
    /// Only sessions of a title or a viewer are ended by a withdrawal.
    #[error("{0} can't be withdrawn")]
    Kind(Key),
    /// The time of a withdrawal is out of bounds.
    #[error("a withdrawal holds for 1 s to 30 days, not for {0} ms")]
    Span(u64),
    /// As many withdrawals are in force as may be.
    #[error("{held} withdrawals are in force")]
    Full {
        /// How many.
        held: usize,
    },
    /// Nothing is withdrawn under this key.
    #[error("{0} is not withdrawn")]
    Unknown(Key),
}

impl Error {
    /// What an operator can do, in a sentence.
    ///
    /// ```
    /// assert!(micadyke_directory::Error::Rate.advice().contains("rate"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            Error::Open { .. } => "Ask again in a second; where it stays so, find out who asks so much.",
            Error::Rate => "Ask less often, or raise 'rate' in the directory's settings.",
            Error::Kind(_) => "Name a title or a viewer; a server is drained by the list.",
            Error::Span(_) => {
                "State a time of 1 s to 30 days, and withdraw again before it is over if it has to hold longer."
            }
            Error::Full { .. } => {
                "Lift withdrawals that are of no more use; what is gone from the catalogue needs none."
            }
            Error::Unknown(_) => {
                "Look at the key as it was withdrawn; the time of a withdrawal may be over as well."
            }
        }
    }
}

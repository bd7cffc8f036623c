//! What goes wrong around a member, and what can be done about it.

use std::net::SocketAddr;

/// Why a member does not run, or a view was not shown.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The socket that the settings name cannot be had.
    #[error("membership cannot listen on {at}: {why}")]
    Listen {
        /// What `listen` says.
        at: SocketAddr,
        /// The system's word.
        why: std::io::Error,
    },
    /// There is no socket for asking.
    #[error("no socket: {0}")]
    Socket(std::io::Error),
    /// The system knows no way there.
    #[error("{at}: {why}")]
    NoWay {
        /// Who was to be asked.
        at: SocketAddr,
        /// The system's word.
        why: std::io::Error,
    },
    /// Nothing of this fleet came back.
    #[error("{at} does not answer: no member there, or of another fleet or key")]
    Silent {
        /// Who was asked.
        at: SocketAddr,
    },
    /// Pages came, and the one with the summary was empty.
    #[error("{at} sent no first page")]
    NoSummary {
        /// Who was asked.
        at: SocketAddr,
    },
}

impl Error {
    /// What an operator can do.
    ///
    /// ```
    /// use micadyke_membership::Error;
    /// let silent = Error::Silent { at: ([10, 0, 0, 4], 7946).into() };
    /// assert!(silent.advice().contains("key-file"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            Error::Listen { .. } => {
                "See whether 'listen' names an address of this machine, and which process holds the port (ss -ulpn)."
            }
            Error::Socket(_) => "See how many descriptors this process may hold (ulimit -n).",
            Error::NoWay { .. } => "See whether this machine has a way there (ip route get).",
            Error::Silent { .. } => {
                "Compare 'fleet' and 'key-file' with the member's, and see whether it runs and UDP gets there and back."
            }
            Error::NoSummary { .. } => {
                "Ask again, or ask another member; the programs may be of different versions."
            }
        }
    }
}

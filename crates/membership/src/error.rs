//! Errors of a member and of operators' tools, with advice.

use std::net::SocketAddr;

/// Why a member can't run or a view can't be shown.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The socket can't be opened at the address in the settings.
    #[error("membership cannot listen on {at}: {why}")]
    Listen {
        /// The address in `listen`.
        at: SocketAddr,
        /// The error of the operating system.
        why: std::io::Error,
    },
    /// No socket can be opened for a request.
    #[error("no socket: {0}")]
    Socket(std::io::Error),
    /// The operating system has no route to the address.
    #[error("{at}: {why}")]
    NoRoute {
        /// The address of the member.
        at: SocketAddr,
        /// The error of the operating system.
        why: std::io::Error,
    },
    /// No answer of this fleet was received.
    #[error("{at} does not answer: no member there, or of another fleet or key")]
    Silent {
        /// The address of the member.
        at: SocketAddr,
    },
    /// Pages were received, but the first one has no summary.
    #[error("{at} sent no first page")]
    NoSummary {
        /// The address of the member.
        at: SocketAddr,
    },
}

impl Error {
    /// What an operator can do about the error.
    ///
    /// ```
    /// use micadyke_membership::Error;
    /// let silent = Error::Silent { at: ([10, 0, 0, 4], 7946).into() };
    /// assert!(silent.advice().contains("key-file"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            Error::Listen { .. } => {
                "Check whether 'listen' is an address of this machine, and which process uses the port (ss -ulpn)."
            }
            Error::Socket(_) => "Check how many descriptors this process may open (ulimit -n).",
            Error::NoRoute { .. } => "Check whether this machine has a route there (ip route get).",
            Error::Silent { .. } => {
                "Compare 'fleet' and 'key-file' with the member's, and check whether it runs and UDP works in both directions."
            }
            Error::NoSummary { .. } => {
                "Retry, or ask another member; the programs may have different versions."
            }
        }
    }
}

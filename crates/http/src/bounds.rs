//! Limits on what a peer may send, and the error for messages that are invalid or exceed them.

/// Limits on what a peer may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum bytes of the first line.
    pub line: usize,
    /// Maximum bytes of the head: first line and all fields.
    pub head: usize,
    /// Maximum number of fields.
    pub fields: usize,
    /// Maximum bytes of the content.
    pub body: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { line: 4 << 10, head: 16 << 10, fields: 64, body: 64 << 10 }
    }
}

/// Why a message is rejected: the status that a server answers with, and a description.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// Status code of the answer.
    pub status: u16,
    /// A description of the error; servers send it in the answer.
    pub what: &'static str,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.what)
    }
}

impl std::error::Error for Fault {}

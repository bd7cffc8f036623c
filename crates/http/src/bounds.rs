//! Bounds on what a peer may send, and the refusal of what passes them or is no message.

/// Bounds on what a peer may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of the first line.
    pub line: usize,
    /// Bytes of the head: first line and all fields.
    pub head: usize,
    /// Number of fields.
    pub fields: usize,
    /// Bytes of the content.
    pub body: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { line: 4 << 10, head: 16 << 10, fields: 64, body: 64 << 10 }
    }
}

/// Why a message is refused: the status that a server answers with, and what is wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// Status code of the answer.
    pub status: u16,
    /// What is wrong.
    pub what: &'static str,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.what)
    }
}

impl std::error::Error for Fault {}

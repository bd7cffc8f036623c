//! Settings of the directory: a checked S-expression beside membership's, in the same file.
//!
//! ```text
//! (membership ...)
//! (directory
//!   (rate 32kB/s)                ; sent at most, within membership's rate
//!   (lines 200000)               ; lines of other nodes' books held, and of the own as many
//!   (ask "127.0.0.1:7950")       ; where `micadyke ask` is answered; nowhere without it
//!   (patience 400ms))            ; a question is over then at the latest
//! ```

use crate::directory::{LINES, RATE};
use crate::{MS, Nanos};
use micadyke_config::units::Unit;
use micadyke_config::{Diagnostic, Form, read_file};
use std::net::SocketAddr;

/// What a node is told of its directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terms {
    /// Bytes a second sent at most.
    pub rate: u64,
    /// Lines held.
    pub lines: usize,
    /// Where questions of people's tools are answered.
    pub ask: Option<SocketAddr>,
    /// How long they wait at most.
    pub patience: Nanos,
}

/// Reads the form `directory` of a file, where there is one; other forms are others'.
///
/// # Errors
///
/// Each fault with its place.
///
/// ```
/// use micadyke_directory::settings::read;
///
/// assert_eq!(read("(membership)", "n3.sexp"), Ok(None));
/// let terms = read("(membership) (directory (rate 16kB/s))", "n3.sexp").unwrap().unwrap();
/// assert_eq!((terms.rate, terms.lines, terms.ask), (16_000, 200_000, None));
/// assert!(read("(directory (rate 1kB/s))", "n3.sexp").is_err());
/// ```
pub fn read(text: &str, file: &str) -> Result<Option<Terms>, Vec<Diagnostic>> {
    read_file(text, file, "the settings are incomplete", |nodes, faults| {
        let forms: Vec<Form> = nodes.iter().filter_map(|n| Form::of(n, faults)).collect();
        let mut ours = forms.iter().filter(|f| f.word == "directory");
        let Some(form) = ours.next() else { return Some(None) };
        if let Some(more) = ours.next() {
            more.fault("one form 'directory' is due at most");
        }
        form.allow(&["rate", "lines", "ask", "patience"], &[]);
        let ask = form.part("ask").and_then(|a| {
            let addr = a.text().and_then(|t| t.parse().ok());
            if addr.is_none() {
                a.fault("ask: no address and port");
            }
            addr
        });
        Some(Some(Terms {
            rate: (form.get("rate", Unit::Rate, (4.0, 1e6), Some(RATE as f64 / 1e3)) * 1e3) as u64,
            lines: form.count("lines", 1_000, 10_000_000, Some(LINES as u64)) as usize,
            ask,
            patience: form.get("patience", Unit::Time, (10e6, 10e9), Some((400 * MS) as f64)) as Nanos,
        }))
    })
}

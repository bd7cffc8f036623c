//! Settings of the directory: a checked S-expression beside membership's, in the same file.
//!
//! ```text
//! (membership ...)
//! (directory
//!   (rate 32kB/s)                ; sent at most, within membership's rate
//!   (lines 200000)               ; lines of other nodes' books held, and of the own as many
//!   (zone "east")                ; told to the others: who was never asked is waited for as its zone is
//!   (ask "127.0.0.1:7950")       ; where `micadyke ask` is answered; nowhere without it
//!   (patience 400ms)             ; a question is over then at the latest
//!   (deadline                    ; learned waits; without it, 150 ms for all
//!     (usual (curve 0% 0% 90% 60% 100% 100%) (price 0.002) (first 5ms) (most 300ms))
//!     (kind "viewer" (price 0.005))))
//! ```

use crate::directory::{LINES, RATE, ZONE, bound};
use crate::{Key, MS, Nanos, SECOND};
use micadyke_config::units::Unit;
use micadyke_config::{Diagnostic, Form, read_file};
use micadyke_deadline::{Deadline, FixedDeadline, LearnedDeadline};
use std::net::SocketAddr;

/// How long an owner is waited for where no deadline is to be learned.
pub const WAIT: Nanos = 150 * MS;
/// Kinds of question, as settings of deadlines name them.
pub const KINDS: [(&str, u8); 3] = [("title", 0), ("viewer", 1), ("server", 2)];

/// What a node is told of its directory.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// Bytes a second sent at most.
    pub rate: u64,
    /// Lines held.
    pub lines: usize,
    /// The node's zone; empty where there are none.
    pub zone: String,
    /// Where questions of people's tools are answered.
    pub ask: Option<SocketAddr>,
    /// How long they wait at most.
    pub patience: Nanos,
    /// What answers are worth, where waits are to be learned.
    pub deadline: Option<micadyke_deadline::Settings>,
}

impl Terms {
    /// What decides how long is waited: what is learned, or [`WAIT`] for all.
    ///
    /// # Errors
    ///
    /// The first fault of the deadline's settings; none where they were read from a form.
    ///
    /// ```
    /// use micadyke_deadline::OpenQuery;
    /// use micadyke_directory::{MS, settings::read};
    ///
    /// let terms = read("(directory)", "n3.sexp").unwrap().unwrap();
    /// let open = OpenQuery { kind: 0, asked_at: 0, deadline: 400 * MS, members: Vec::new() };
    /// assert_eq!(terms.waits()?.wait_until(0, &open), 150 * MS);
    /// # Ok::<(), micadyke_deadline::Error>(())
    /// ```
    pub fn waits(&self) -> Result<Box<dyn Deadline>, micadyke_deadline::Error> {
        Ok(match &self.deadline {
            Some(settings) => Box::new(LearnedDeadline::new(settings.clone())?),
            None => Box::new(FixedDeadline(WAIT)),
        })
    }

    /// How long a question about a key takes at most: the patience, or the most that is stated for its kind.
    ///
    /// ```
    /// use micadyke_directory::{Key, MS, settings::read};
    ///
    /// let text = r#"(directory (patience 1s) (deadline (kind "viewer" (most 200ms))))"#;
    /// let terms = read(text, "n3.sexp").unwrap().unwrap();
    /// assert_eq!(terms.limit(&Key::Viewer("v1".into())), 200 * MS);
    /// assert_eq!(terms.limit(&Key::Title("t1".into())), 1_000 * MS);
    /// ```
    pub fn limit(&self, key: &Key) -> Nanos {
        let kind = key.parts().0;
        self.deadline.as_ref().map_or(self.patience, |d| d.worth(kind).max_wait.min(self.patience))
    }

    /// What settings that are sound do not promise, in a fleet of so many members whose membership sends at most so many
    /// bytes a second; each with what to do.
    ///
    /// ```
    /// use micadyke_directory::settings::read;
    ///
    /// let terms = read("(directory (ask \"0.0.0.0:7950\"))", "n3.sexp").unwrap().unwrap();
    /// assert!(terms.not_promised(80, 64_000).iter().any(|n| n.contains("loopback")));
    /// ```
    pub fn not_promised(&self, members: usize, rate: u64) -> Vec<String> {
        let ms = |span: Nanos| format!("{} ms", span / MS);
        let mut notes = Vec::new();
        let lag = bound(self.rate, &self.zone, members.saturating_sub(1));
        notes.push(format!(
            "a whole answer may lack what is younger than {:.0} s at {members} members; a higher rate shortens it down to 5 s",
            lag as f64 / SECOND as f64
        ));
        if self.rate > rate {
            let (ours, all) = (self.rate / 1_000, rate / 1_000);
            notes.push(format!(
                "{ours} kB/s are more than membership's {all}, which carries them: what is beyond is lost; lower this rate or raise that"
            ));
        }
        if let Some(at) = self.ask.filter(|a| !a.ip().is_loopback()) {
            notes.push(format!(
                "words to and from {at} are sealed, not encrypted, and may be said again by who heard them; keep it on loopback"
            ));
        }
        let Some(deadline) = &self.deadline else {
            notes.push(format!(
                "what is missing is waited for {} whoever is slow; '(deadline ...)' learns it",
                ms(WAIT.min(self.patience))
            ));
            return notes;
        };
        for (name, kind) in KINDS {
            let worth = deadline.worth(kind);
            let limit = worth.max_wait.min(self.patience);
            let nothing = (worth.value(1.0) / worth.price * MS as f64) as Nanos;
            if worth.initial_latency >= limit {
                notes.push(format!(
                    "{name}: an answer takes {} by 'first', and a question is over after {}: it ends empty as a rule; raise 'most' or 'patience'",
                    ms(worth.initial_latency),
                    ms(limit)
                ));
            }
            if nothing <= worth.initial_latency {
                notes.push(format!(
                    "{name}: at this price a whole answer is worth nothing after {}, and one takes {} by 'first': nobody is waited for; lower 'price'",
                    ms(nothing),
                    ms(worth.initial_latency)
                ));
            } else if nothing < limit {
                notes.push(format!(
                    "{name}: at this price a whole answer is worth nothing after {}: no question takes its {}; lower 'price' if it should",
                    ms(nothing),
                    ms(limit)
                ));
            }
        }
        notes
    }
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
/// assert_eq!((terms.rate, terms.lines, terms.ask, terms.deadline), (16_000, 200_000, None, None));
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
        form.allow(&["rate", "lines", "zone", "ask", "patience", "deadline"], &[]);
        let zone = form.part("zone").map_or("", |z| {
            let text = z.text().unwrap_or("");
            if text.is_empty() || text.len() > ZONE {
                z.fault(format!("zone: a name of 1 to {ZONE} bytes is due"));
            }
            text
        });
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
            zone: zone.to_owned(),
            deadline: form.part("deadline").map(|d| micadyke_deadline::Settings::read(&d, &KINDS)),
            ask,
            patience: form.get("patience", Unit::Time, (10e6, 10e9), Some((400 * MS) as f64)) as Nanos,
        }))
    })
}

//! Where the list of boxes comes from.

use micadyke_config::{BoxRow, Config, Diagnostic, read_boxes};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

/// News of a source.
#[derive(Debug, Clone, PartialEq)]
pub enum News {
    /// All boxes, as they stand now.
    Full(Vec<BoxRow>),
    /// The list could not be had or was refused; the one held stays.
    Failed(Vec<Diagnostic>),
}

/// A source of the list of boxes. The shell asks it at least every [`Source::period`], and again whenever the
/// front stood still, before anything else is done.
pub trait Source {
    /// What is new since the last call, if anything; does not wait.
    fn poll(&mut self) -> Option<News>;

    /// How often it wants to be asked.
    fn period(&self) -> Duration {
        Duration::from_millis(50)
    }
}

/// A list that never changes.
#[derive(Debug)]
pub struct Fixed(pub Option<Vec<BoxRow>>);

impl Source for Fixed {
    fn poll(&mut self) -> Option<News> {
        self.0.take().map(News::Full)
    }

    fn period(&self) -> Duration {
        Duration::from_millis(50)
    }
}

/// A file that is watched: looked at every 50 ms, read when its time, size or number changed. A file that does
/// not pass the check changes nothing; it is told once for each version.
#[derive(Debug)]
pub struct WatchedFile {
    path: PathBuf,
    config: Rc<Config>,
    seen: Option<Stamp>,
    missing_told: bool,
    last: Option<Vec<BoxRow>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Stamp(SystemTime, u64, u64);

impl WatchedFile {
    /// Watches a file; lists are checked against the settings.
    pub fn new(path: PathBuf, config: Rc<Config>) -> Self {
        WatchedFile { path, config, seen: None, missing_told: false, last: None }
    }

    fn stamp(&self) -> Option<Stamp> {
        let meta = std::fs::metadata(&self.path).ok()?;
        #[cfg(unix)]
        let inode = std::os::unix::fs::MetadataExt::ino(&meta);
        #[cfg(not(unix))]
        let inode = 0;
        Some(Stamp(meta.modified().ok()?, meta.len(), inode))
    }

    fn failed(&self, what: String) -> News {
        let file = self.path.display().to_string();
        News::Failed(vec![Diagnostic { file, at: micadyke_config::sexp::Place { line: 1, column: 1 }, what }])
    }
}

impl Source for WatchedFile {
    fn poll(&mut self) -> Option<News> {
        let Some(stamp) = self.stamp() else {
            let first = !std::mem::replace(&mut self.missing_told, true);
            self.seen = None;
            return first.then(|| self.failed("the list cannot be read".into()));
        };
        self.missing_told = false;
        if self.seen == Some(stamp) {
            return None;
        }
        // A file written twice within the clock's grain may keep its stamp: a young one is read again.
        let young = stamp.0.elapsed().map_or(true, |age| age < Duration::from_millis(100));
        self.seen = (!young).then_some(stamp);
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(e) => return Some(self.failed(format!("the list cannot be read: {e}"))),
        };
        match read_boxes(&text, &self.path.display().to_string(), &self.config) {
            Ok(rows) if self.last.as_ref() == Some(&rows) => None,
            Ok(rows) => {
                self.last = Some(rows.clone());
                Some(News::Full(rows))
            }
            Err(faults) => Some(News::Failed(faults)),
        }
    }
}

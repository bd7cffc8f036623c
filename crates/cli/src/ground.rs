//! What all commands stand on: failures as they are told, files that are read and checked, a thread that runs a future.

use micadyke_config::Diagnostic;
use std::path::{Path, PathBuf};

/// What ends a command.
pub(crate) type Failure = Box<dyn std::error::Error>;

/// Faults of a file, a line each.
pub(crate) fn told(faults: Vec<Diagnostic>) -> Failure {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n").into()
}

/// A failure at a file.
pub(crate) fn at<E: std::fmt::Display>(path: &Path) -> impl Fn(E) -> String + '_ {
    move |e| format!("{}: {e}", path.display())
}

/// A file that is named relative to another one.
pub(crate) fn beside(file: &Path, name: &str) -> PathBuf {
    file.parent().unwrap_or(Path::new("")).join(name)
}

/// Reads a file and checks it: the outer failure where it cannot be read, the inner one where it is refused.
pub(crate) fn checked<T>(
    path: &Path, check: impl FnOnce(&str, &str) -> Result<T, Vec<Diagnostic>>,
) -> Result<Result<T, Vec<Diagnostic>>, Failure> {
    let text = std::fs::read_to_string(path).map_err(at(path))?;
    Ok(check(&text, &path.display().to_string()))
}

/// Runs a future on one thread, as a task of a `LocalSet`.
pub(crate) fn run<T>(future: impl Future<Output = T>) -> Result<T, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(tokio::task::LocalSet::new().block_on(&runtime, future))
}

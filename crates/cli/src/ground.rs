//! What all commands stand on: failures as they are told, files that are read and checked, a thread that runs a future.

use micadyke_config::Diagnostic;
use micadyke_config::units::{Fault, Unit, quantity};
use std::path::{Path, PathBuf};

/// What ends a command.
pub(crate) type Failure = Box<dyn std::error::Error>;

/// Faults of a file, a line each.
pub(crate) fn told(faults: Vec<Diagnostic>) -> Failure {
    Box::new(Refused(faults))
}

/// A file that is refused.
#[derive(Debug)]
struct Refused(Vec<Diagnostic>);

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Refused {}

/// A quantity of the command line that is none.
#[derive(Debug, thiserror::Error)]
#[error("{option}: {fault}")]
pub(crate) struct Ill {
    option: &'static str,
    fault: Fault,
}

/// A quantity of the command line.
pub(crate) fn given(option: &'static str, text: &str, unit: Unit) -> Result<f64, Ill> {
    quantity(text, unit).map_err(|fault| Ill { option, fault })
}

/// What an operator can do about a failure, where it says so itself.
pub(crate) fn advice(failure: &(dyn std::error::Error + 'static)) -> Option<&'static str> {
    let refused = failure.downcast_ref::<Refused>().and_then(|r| r.0.first());
    let refused = refused.map(Diagnostic::advice);
    let ill = failure.downcast_ref::<Ill>().map(|i| i.fault.advice());
    let member = failure.downcast_ref::<micadyke_membership::Error>().map(|e| e.advice());
    refused.or(ill).or(member)
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

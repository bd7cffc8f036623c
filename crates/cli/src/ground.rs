//! What all commands stand on: failures as they are told, files that are read and checked, a thread that runs a future.

use crate::error::Error;
use micadyke_config::Diagnostic;
use micadyke_config::units::{Unit, quantity};
use micadyke_recovery::store::StoreError;
use std::path::{Path, PathBuf};

/// What ends a command.
pub(crate) type Failure = Box<dyn std::error::Error>;

/// Faults of a file, a line each.
pub(crate) fn told(faults: Vec<Diagnostic>) -> Failure {
    Error::Refused(faults).into()
}

/// A quantity of the command line.
pub(crate) fn given(option: &'static str, text: &str, unit: Unit) -> Result<f64, Error> {
    quantity(text, unit).map_err(|why| Error::Quantity { option, why })
}

/// What an operator can do about a failure, where it says so itself.
pub(crate) fn advice(failure: &(dyn std::error::Error + 'static)) -> Option<&'static str> {
    let own = failure.downcast_ref::<Error>().map(Error::advice);
    let node = failure.downcast_ref::<micadyke_node::Error>().map(|e| e.advice());
    let member = failure.downcast_ref::<micadyke_membership::Error>().map(|e| e.advice());
    own.or(node).or(member)
}

/// A failure at a file.
pub(crate) fn at(path: &Path) -> impl Fn(std::io::Error) -> Error + '_ {
    move |why| Error::File { path: path.into(), why }
}

/// A failure at a store.
pub(crate) fn stored(path: &Path) -> impl Fn(StoreError) -> Error + '_ {
    move |why| Error::Store { path: path.into(), why }
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

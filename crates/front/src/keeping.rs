//! What a front keeps over a restart, opened: its store, and what a log of old said where there was one.

use micadyke_recovery::record::StoredState;
use micadyke_recovery::store::{Store, StoreError, move_aside};
use micadyke_tokens::store::{State, read_log};
use std::path::{Path, PathBuf};
use tracing::warn;

/// How a store begins (redb's format); a file of seats that begins otherwise is a log of old.
const BEGINS: &[u8] = b"redb";

/// An open store and what it says.
#[derive(Debug)]
pub struct Opened {
    /// The store.
    pub store: Store,
    /// What was kept.
    pub kept: StoredState,
    /// The seats among that.
    pub seats: State,
}

/// Opens a front's store, or begins one. A log of seats as fronts kept it before is read, once, into a store that takes its
/// place; the log is set aside as `FILE.log-N`, never deleted. What can't be read is set aside as well, and claims nothing.
///
/// # Errors
///
/// Where the disk refuses, or another process holds the store.
///
/// ```
/// let file = std::env::temp_dir().join(format!("micadyke-keeping-doc-{}", std::process::id()));
/// let opened = micadyke_front::keeping::open(&file)?;
/// assert_eq!((opened.seats.epoch, opened.kept.sessions.len()), (0, 0));
/// # drop(opened);
/// # std::fs::remove_file(&file).expect("it was there");
/// # Ok::<(), micadyke_recovery::store::StoreError>(())
/// ```
pub fn open(path: &Path) -> Result<Opened, StoreError> {
    let disk = |e: std::io::Error| StoreError::Io(e.to_string());
    let next = beside(path, "next");
    match old_log(path).map_err(disk)? {
        Some(log) => {
            if let Some(at) = log.damaged_at {
                warn!(
                    "{}: the log of seats is damaged at {at}: none of a former start is claimed",
                    path.display()
                );
            }
            // The store stands before the log goes: a cut in between leaves one of the two.
            match std::fs::remove_file(&next) {
                Err(e) if e.kind() != std::io::ErrorKind::NotFound => return Err(disk(e)),
                _ => {}
            }
            Store::open(&next)?.store.commit(&log.changes())?;
            let to = move_aside(path, "log").map_err(disk)?;
            std::fs::rename(&next, path).map_err(disk)?;
            warn!("{}: a log of seats, read into a store and set aside as {}", path.display(), to.display());
        }
        None if !path.exists() && next.exists() => std::fs::rename(&next, path).map_err(disk)?,
        None => {}
    }
    let opened = Store::open(path)?;
    let seats = match &opened.quarantined {
        None => State::from(&opened.state),
        Some((to, why)) => {
            let to = to.display();
            warn!("{}: {why}; set aside as {to}, nothing of a former start is claimed", path.display());
            State::default().damaged(0)
        }
    };
    Ok(Opened { store: opened.store, kept: opened.state, seats })
}

/// The same where the seats lay in a file of their own until now: what that says is taken over, and it is set aside.
///
/// # Errors
///
/// See [`open`].
pub fn open_with(path: &Path, seats: Option<&Path>) -> Result<Opened, StoreError> {
    let mut opened = open(path)?;
    let Some(own) = seats.filter(|own| *own != path && own.exists()) else { return Ok(opened) };
    let before = open(own)?;
    if before.seats.epoch > opened.seats.epoch {
        opened.store.commit(&before.seats.changes())?;
        opened.seats = before.seats;
    }
    drop(before.store);
    let to = move_aside(own, "moved").map_err(|e| StoreError::Io(e.to_string()))?;
    warn!("{}: its seats are in {} now; set aside as {}", own.display(), path.display(), to.display());
    Ok(opened)
}

fn beside(path: &Path, ending: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(format!(".{ending}"));
    name.into()
}

fn old_log(path: &Path) -> std::io::Result<Option<State>> {
    let mut file = match std::fs::File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e),
    };
    let mut bytes = vec![0; BEGINS.len()];
    let there = std::io::Read::read(&mut file, &mut bytes)?;
    if there == 0 || bytes == BEGINS {
        return Ok(None);
    }
    Ok(Some(read_log(&std::fs::read(path)?)))
}

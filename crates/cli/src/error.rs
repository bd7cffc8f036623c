//! Why a command ends without having done what it was asked, and what can be done about it.

use micadyke::interface::SettingsError;
use micadyke_config::Diagnostic;
use micadyke_config::units::Fault as Ill;
use micadyke_recovery::store::StoreError;
use micadyke_rehearse::run::CannotRun;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What ends a command, as far as the command line itself says it; exit code 2.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// What is to be logged is said in words that mean nothing.
    #[error("'{0}' says not what is to be logged")]
    LogLevel(String),
    /// A quantity that is none.
    #[error("{option}: {why}")]
    Quantity { option: &'static str, why: Ill },
    /// A file that can't be had.
    #[error("{}: {why}", path.display())]
    File { path: PathBuf, why: std::io::Error },
    /// A file that is refused; a line for each fault.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Refused(Vec<Diagnostic>),
    /// A store that can't be had.
    #[error("{}: {why}", path.display())]
    Store { path: PathBuf, why: StoreError },
    /// A file that holds no secret.
    #[error("{}: a secret of 32 bytes at least is due", path.display())]
    Secret { path: PathBuf },
    /// A file that holds no key of its algorithm.
    #[error("{}: no key for {algorithm} (a secret of 32 bytes at least, or a public key)", path.display())]
    Key { path: PathBuf, algorithm: String },
    /// An address is not to be had.
    #[error("cannot listen on {at}: {why}")]
    Listen { at: SocketAddr, why: std::io::Error },
    /// A stand-in box's address is not to be had.
    #[error("box {id}: cannot listen on {at}: {why}")]
    BoxListen { id: u32, at: SocketAddr, why: std::io::Error },
    /// A stand-in would run where others reach it.
    #[error("stand-ins run on loopback only, not on {0}")]
    NotLoopback(SocketAddr),
    /// The same of a box in the list.
    #[error("box {id}: stand-ins run on loopback only, not on {at}")]
    BoxNotLoopback { id: u32, at: SocketAddr },
    /// A front without its list.
    #[error("the settings name no list of boxes: (front (boxes \"FILE\"))")]
    NoBoxes,
    /// A node that the platform did not start.
    #[error("EDGE_CONFIG is not set: it names the configuration")]
    NoConfig,
    /// A configuration that the environment contradicts.
    #[error("{}: {why}", path.display())]
    Config { path: PathBuf, why: micadyke_node::ConfigError },
    /// Settings of a node that make no sense.
    #[error("{}: settings: {why}", path.display())]
    Settings { path: PathBuf, why: SettingsError },
    /// Seats of no class.
    #[error("'{0}' is not CLASS=SEATS")]
    Seats(String),
    /// No number of seats.
    #[error("'{0}' is no number of seats")]
    SeatCount(String),
    /// An unknown way to break a front.
    #[error("'{0}' is no way to break a front")]
    Break(String),
    /// A rehearsal that could not be played.
    #[error(transparent)]
    Rehearsal(#[from] CannotRun),
    /// Neither a list nor questions for one.
    #[error("a list is due")]
    NoList,
    /// A line of a list that can't be read.
    #[error("{}:{line}: {what}", path.display())]
    Line { path: PathBuf, line: usize, what: String },
    /// A route of no class.
    #[error("'{0}' is not CLASS=PATH")]
    Route(String),
    /// The other client does not start.
    #[error("{command}: {why}")]
    Client { command: String, why: std::io::Error },
}

impl Error {
    /// What an operator can do.
    pub(crate) fn advice(&self) -> &'static str {
        match self {
            Error::LogLevel(_) => {
                "Write error, warn, info, debug or trace, or a directive as micadyke_node=debug."
            }
            Error::Quantity { why, .. } => why.advice(),
            Error::File { .. } => {
                "See whether the path is right, and whether this process may read or write there."
            }
            Error::Refused(faults) => {
                faults.first().map_or("See what else the log says.", Diagnostic::advice)
            }
            Error::Store { why, .. } => why.advice(),
            Error::Secret { .. } => {
                "Put a secret of 32 bytes or more into the file, the same at fronts and boxes."
            }
            Error::Key { .. } => "Put a secret into the file for HS256, else the public key, as PEM.",
            Error::Listen { .. } => {
                "See whether the address is this machine's, and which process holds the port (ss -tlnp); port 0 takes any."
            }
            Error::BoxListen { .. } => {
                "See which process holds the port (ss -tlnp), or give the box another address in the list."
            }
            Error::NotLoopback(_) => {
                "Listen on an address of 127.0.0.0/8 or on [::1]; a stand-in guards nothing."
            }
            Error::BoxNotLoopback { .. } => {
                "Give stand-ins a list of their own with loopback addresses; a real box is not stood in for."
            }
            Error::NoBoxes => "Name the list in the settings, beside them: (boxes \"boxes.sexp\").",
            Error::NoConfig => {
                "Set EDGE_CONFIG to the file's path; outside the platform use 'micadyke front'."
            }
            Error::Config { why, .. } => why.advice(),
            Error::Settings { .. } => {
                "Correct the field named in the deployment's settings; all nodes have the same."
            }
            Error::Seats(_) => "Write the class, an equals sign and a number, as in --seats film=10.",
            Error::SeatCount(_) => "Write a whole number from 0 to 4294967295 behind the equals sign.",
            Error::Break(_) => "Write one of the ways that 'micadyke rehearse --help' lists.",
            Error::Rehearsal(_) => "Nothing was judged: see to what it names, then play the scenario again.",
            Error::NoList => "Name a list, or have one made with --make QUESTIONS.",
            Error::Line { .. } => {
                "Correct the line; 'micadyke replay --make 3' prints lines as they are due."
            }
            Error::Route(_) => "Write the class, an equals sign and a path, as in --route film=/whep/.",
            Error::Client { .. } => {
                "Build the TypeScript client (clients/typescript), or name a program with --client."
            }
        }
    }
}

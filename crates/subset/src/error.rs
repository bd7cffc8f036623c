use crate::Nanos;

/// Terms that would not do what they are for.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub enum Error {
    /// A subset without a server.
    #[error("a working subset of no servers")]
    NoServers,
    /// No node need hold a server.
    #[error("servers need not be held by any node")]
    NoHolders,
    /// A part that is none.
    #[error("{0} is no part between 0 and 1")]
    NoPart(f64),
    /// A rate at which nothing is ever widened.
    #[error("a subset that widens by {0} servers a second")]
    NoRate(f64),
    /// A window too short to be divided.
    #[error("a window of {window} ns in {slots} slots")]
    NoWindow {
        /// The window, in nanoseconds.
        window: Nanos,
        /// Its slots.
        slots: u32,
    },
    /// A law without a filter, gain or period.
    #[error("a control law whose gain, filter, period or bound is not above 0 and finite")]
    NoLaw,
    /// Figures come too late for the gain.
    #[error("figures {lag} ns old at a delay margin of {margin} ns: less than twice is left")]
    Unstable {
        /// The age of figures with the law's own period, in nanoseconds.
        lag: Nanos,
        /// At this delay it swings for ever, in nanoseconds.
        margin: Nanos,
    },
}

impl Error {
    /// What an operator can do, in a sentence.
    ///
    /// ```
    /// use micadyke_subset::Error;
    /// assert!(Error::NoServers.advice().starts_with("Set"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            Error::NoServers => "Set the least size of a subset to 1 or more; 20 is usual.",
            Error::NoHolders => "Set the number of nodes that hold each server to 1 or more; 2 is usual.",
            Error::NoPart(_) => "Give a part above 0 and up to 1.",
            Error::NoRate(_) => "Give a rate above 0 and a burst of 1 or more; 2 a second and 4 are usual.",
            Error::NoWindow { .. } => {
                "Give a window of 1 ms or more for each slot, and 1 to 32 slots; 4 s and 6 are usual."
            }
            Error::NoLaw => "Leave the law's numbers out, so that the built-in ones hold.",
            Error::Unstable { .. } => {
                "Lower the gain, lengthen the filter, or ask for the figures more often."
            }
        }
    }
}

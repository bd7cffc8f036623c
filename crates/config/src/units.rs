//! Quantities with units.

/// What a quantity measures; sets which units it takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// A span of time, in nanoseconds.
    Time,
    /// A rate of data, in kB a second.
    Rate,
    /// An amount of data, in bytes.
    Size,
    /// A bare number.
    Number,
    /// A share: a bare number, or a percentage.
    Share,
}

impl Unit {
    /// Suffixes that it takes, with their factors.
    pub fn suffixes(self) -> &'static [(&'static str, f64)] {
        match self {
            Unit::Time => &[
                ("ns", 1.0),
                ("us", 1e3),
                ("ms", 1e6),
                ("s", 1e9),
                ("min", 60e9),
                ("h", 3_600e9),
                ("d", 86_400e9),
            ],
            Unit::Rate => &[
                ("B/s", 1e-3),
                ("kB/s", 1.0),
                ("MB/s", 1e3),
                ("GB/s", 1e6),
                ("kbit/s", 0.125),
                ("Mbit/s", 125.0),
                ("Gbit/s", 125e3),
            ],
            Unit::Size => &[
                ("B", 1.0),
                ("kB", 1e3),
                ("MB", 1e6),
                ("KiB", 1024.0),
                ("MiB", 1_048_576.0),
                ("GiB", 1_073_741_824.0),
            ],
            Unit::Number => &[("", 1.0)],
            Unit::Share => &[("", 1.0), ("%", 0.01)],
        }
    }

    /// The suffixes as they are told.
    fn names(self) -> String {
        let names: Vec<&str> = self.suffixes().iter().map(|s| s.0).filter(|s| !s.is_empty()).collect();
        names.join(", ")
    }

    fn name(self) -> &'static str {
        match self {
            Unit::Time => "a time",
            Unit::Rate => "a rate",
            Unit::Size => "a size",
            Unit::Number => "a number",
            Unit::Share => "a share",
        }
    }
}

/// Why a text is no quantity of its unit.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// It does not begin with a number.
    #[error("'{text}' is not {}", unit.name())]
    NoNumber {
        /// What was given.
        text: String,
        /// What was due.
        unit: Unit,
    },
    /// Nothing here is below 0.
    #[error("'{text}' is below 0")]
    Negative {
        /// What was given.
        text: String,
    },
    /// A span of time without its unit.
    #[error("'{text}' has no unit; '{text}ms' or '{text}s'? (units: {})", Unit::Time.names())]
    NoUnitOfTime {
        /// What was given.
        text: String,
    },
    /// A unit is due.
    #[error("'{text}' has no unit (units: {})", unit.names())]
    NoUnit {
        /// What was given.
        text: String,
        /// What was due.
        unit: Unit,
    },
    /// None is.
    #[error("'{text}' has a unit ('{suffix}') where a bare number is due")]
    Bare {
        /// What was given.
        text: String,
        /// Its unit.
        suffix: String,
    },
    /// A unit of something else, or of nothing.
    #[error("'{suffix}' is no unit of {} (units: {})", unit.name(), unit.names())]
    OtherUnit {
        /// The unit that was given.
        suffix: String,
        /// What was due.
        unit: Unit,
    },
    /// More than fits a count of nanoseconds, or whatever the unit's base is.
    #[error("'{text}' is too large")]
    TooLarge {
        /// What was given.
        text: String,
    },
}

impl Fault {
    /// What an operator can do.
    ///
    /// ```
    /// use micadyke_config::units::{Unit, quantity};
    /// let fault = quantity("250", Unit::Time).expect_err("no unit");
    /// assert!(fault.advice().contains("unit"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            Fault::NoNumber { .. } => "Write a number and right behind it its unit, as in 250ms.",
            Fault::Negative { .. } => "Write 0 or more; to switch something off, leave its setting out.",
            Fault::NoUnitOfTime { .. } | Fault::NoUnit { .. } => {
                "Write one of the units named right behind the number; none is taken for granted."
            }
            Fault::Bare { .. } => "Leave the unit away: this is a number of things.",
            Fault::OtherUnit { .. } => "Write one of the units named; large and small letters differ.",
            Fault::TooLarge { .. } => "Write less; a time ends at some 290 years.",
        }
    }
}

/// Reads a quantity, in its unit's base.
///
/// ```
/// use micadyke_config::units::{Unit, quantity};
/// assert_eq!(quantity("250ms", Unit::Time), Ok(250e6));
/// ```
///
/// # Errors
///
/// What is wrong with it, and what would do.
pub fn quantity(text: &str, unit: Unit) -> Result<f64, Fault> {
    let digits =
        text.find(|c: char| !(c.is_ascii_digit() || c == '.' || c == '-' || c == '+')).unwrap_or(text.len());
    let (number, suffix) = text.split_at(digits);
    let (given, ending) = (|| text.to_owned(), || suffix.to_owned());
    let Ok(number) = number.parse::<f64>() else { return Err(Fault::NoNumber { text: given(), unit }) };
    if number < 0.0 || number.is_sign_negative() {
        return Err(Fault::Negative { text: given() });
    }
    let Some((_, factor)) = unit.suffixes().iter().find(|(s, _)| *s == suffix) else {
        return Err(match (suffix, unit) {
            ("", Unit::Time) => Fault::NoUnitOfTime { text: given() },
            ("", _) => Fault::NoUnit { text: given(), unit },
            (_, Unit::Number) => Fault::Bare { text: given(), suffix: ending() },
            _ => Fault::OtherUnit { suffix: ending(), unit },
        });
    };
    let value = number * factor;
    if value.is_finite() && value < 9.2e18 { Ok(value) } else { Err(Fault::TooLarge { text: given() }) }
}

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

/// Reads a quantity; the error says what was wrong and what would do.
pub fn quantity(text: &str, unit: Unit) -> Result<f64, String> {
    let digits =
        text.find(|c: char| !(c.is_ascii_digit() || c == '.' || c == '-' || c == '+')).unwrap_or(text.len());
    let (number, suffix) = text.split_at(digits);
    let number: f64 = match number.parse() {
        Ok(n) => n,
        Err(_) => return Err(format!("'{text}' is not {}", unit.name())),
    };
    if number < 0.0 || number.is_sign_negative() {
        return Err(format!("'{text}' is below 0"));
    }
    let suffixes = unit.suffixes();
    let names = || suffixes.iter().map(|s| s.0).filter(|s| !s.is_empty()).collect::<Vec<_>>().join(", ");
    let Some((_, factor)) = suffixes.iter().find(|(s, _)| *s == suffix) else {
        return Err(match (suffix, unit) {
            ("", Unit::Time) => {
                format!("'{text}' has no unit; '{text}ms' or '{text}s'? (units: {})", names())
            }
            ("", _) => format!("'{text}' has no unit (units: {})", names()),
            (s, Unit::Number) => format!("'{text}' has a unit ('{s}') where a bare number is due"),
            (s, _) => format!("'{s}' is no unit of {} (units: {})", unit.name(), names()),
        });
    };
    let value = number * factor;
    if value.is_finite() && value < 9.2e18 { Ok(value) } else { Err(format!("'{text}' is too large")) }
}

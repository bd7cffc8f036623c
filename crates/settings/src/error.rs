//! Errors in the settings of a deployment, with advice for operators.

/// Why settings are refused. The field is named with its full path, as the platform writes it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not valid JSON.
    #[error("settings can't be read: {0}")]
    NotJson(String),
    /// A required field is missing.
    #[error("{path} is missing")]
    Missing {
        /// The field.
        path: String,
    },
    /// A value has the wrong type.
    #[error("{path} holds {value}, not {expected}")]
    WrongType {
        /// The field.
        path: String,
        /// Its value.
        value: String,
        /// The expected type, with its article.
        expected: &'static str,
    },
    /// A value of the right type is out of range.
    #[error("{path} holds {value}; expected {expected}")]
    OutOfRange {
        /// The field.
        path: String,
        /// Its value.
        value: String,
        /// The allowed range, with its article.
        expected: &'static str,
    },
    /// Two fields contradict each other.
    #[error("{path} holds {value}, which contradicts {other}")]
    Conflict {
        /// The field.
        path: String,
        /// Its value.
        value: String,
        /// The other field and its constraint.
        other: String,
    },
    /// A keyword is unknown.
    #[error("{path} holds unknown value '{value}'")]
    UnknownKeyword {
        /// The field.
        path: String,
        /// The keyword.
        value: String,
    },
    /// Rates and worths of the ladder differ in number.
    #[error("settings.family_info.rung_kb and worth_by_rung differ in length")]
    LadderLength,
    /// A list with one value for each class has another length.
    #[error("settings.family_info.{name} holds {values} values for {classes} classes")]
    PerClassLength {
        /// The list.
        name: &'static str,
        /// Number of its values.
        values: usize,
        /// Number of classes.
        classes: usize,
    },
    /// Two classes have the same name.
    #[error("{path} holds '{value}', which is the name of an earlier class")]
    DuplicateName {
        /// The field.
        path: String,
        /// The name.
        value: String,
    },
}

impl Error {
    /// What an operator can do about the error.
    ///
    /// ```
    /// let refused = micadyke_settings::read("{").expect_err("invalid JSON");
    /// assert!(refused.advice().contains("configuration"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            Error::NotJson(_) => {
                "Provide the whole configuration as JSON; the file may have been truncated or half written."
            }
            Error::Missing { .. } => "Add the field where the settings are written; a node requires it.",
            Error::WrongType { .. } => "Write a value of the named type, without quotes if it is a number.",
            Error::OutOfRange { .. } => {
                "Correct the value where the settings are written; all nodes have the same."
            }
            Error::Conflict { .. } => "Change one of the two fields, so that they agree.",
            Error::UnknownKeyword { .. } => {
                "Write idempotent, at_most_once or deduplicated for effect, and all, zone or cell for dedup_scope."
            }
            Error::LadderLength => {
                "Give rung_kb and worth_by_rung one value for each rung, in the same order."
            }
            Error::PerClassLength { .. } => {
                "Give the list one value for each class, in the order of classes, or leave it out."
            }
            Error::DuplicateName { .. } => "Give each class a unique name.",
        }
    }
}

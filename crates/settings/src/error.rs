//! What can be wrong with the settings of a deployment, and what can be done about it.

/// Why settings are refused; the field is named with its full path, as the platform writes it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is no JSON.
    #[error("settings can't be read: {0}")]
    NotJson(String),
    /// A field that is due.
    #[error("{path} is missing")]
    Missing {
        /// The field.
        path: String,
    },
    /// A value of another kind than is due.
    #[error("{path} holds {held}, not {due}")]
    Kind {
        /// The field.
        path: String,
        /// What it holds.
        held: String,
        /// What is due, with its article.
        due: &'static str,
    },
    /// A value of the right kind that can't be.
    #[error("{path} holds {held}; {due} is due")]
    Range {
        /// The field.
        path: String,
        /// What it holds.
        held: String,
        /// What is due, with its article.
        due: &'static str,
    },
    /// A value that another field contradicts.
    #[error("{path} holds {held}, which contradicts {other}")]
    Against {
        /// The field.
        path: String,
        /// What it holds.
        held: String,
        /// The other field, and what it says.
        other: String,
    },
    /// A word that says nothing here.
    #[error("{path} holds '{held}'")]
    Word {
        /// The field.
        path: String,
        /// The word.
        held: String,
    },
    /// Rates and worths of the ladder's rungs are not as many.
    #[error("settings.family_info.rung_kb and worth_by_rung differ in length")]
    Ladder,
    /// A list with a value for each class has more or fewer.
    #[error("settings.family_info.{name} holds {held} values for {known} classes")]
    PerClass {
        /// The list.
        name: &'static str,
        /// Values in it.
        held: usize,
        /// Classes.
        known: usize,
    },
    /// Two classes have one name.
    #[error("{path} holds '{held}' once more")]
    Twice {
        /// The field.
        path: String,
        /// The name.
        held: String,
    },
}

impl Error {
    /// What an operator can do.
    ///
    /// ```
    /// let refused = micadyke_settings::read("{").expect_err("no JSON");
    /// assert!(refused.advice().contains("configuration"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            Error::NotJson(_) => {
                "Hand the configuration over whole, as JSON; it may have been cut off or half written."
            }
            Error::Missing { .. } => {
                "Add the field where the settings are written; a node can't do without it."
            }
            Error::Kind { .. } => "Write a value of the kind named, without quotes where it is a number.",
            Error::Range { .. } => {
                "Correct the value where the settings are written; all nodes have the same."
            }
            Error::Against { .. } => "Change one of the two fields, so that both can hold.",
            Error::Word { .. } => {
                "Write idempotent, at_most_once or deduplicated for effect, and all, zone or cell for dedup_scope."
            }
            Error::Ladder => "Give rung_kb and worth_by_rung one value for each rung, in the same order.",
            Error::PerClass { .. } => {
                "Give the list one value for each class, in the order of classes, or none at all."
            }
            Error::Twice { .. } => "Give each class a name of its own.",
        }
    }
}

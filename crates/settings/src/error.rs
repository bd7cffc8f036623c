//! What can be wrong with the settings of a deployment, and what can be done about it.

/// Why settings are refused; the field is named as the platform writes it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is no JSON.
    #[error("settings can't be read: {0}")]
    NotJson(String),
    /// Something else stands where an object should hold the field.
    #[error("settings: {path} can't be read, for what should hold {key} is {held}")]
    NoObject {
        /// The field.
        path: String,
        /// The part of its path that is not held.
        key: String,
        /// What stands there.
        held: String,
    },
    /// A value of another kind than is due.
    #[error("settings: {path} holds {held}, not {due}")]
    Kind {
        /// The field.
        path: String,
        /// What it holds.
        held: String,
        /// What is due, with its article.
        due: &'static str,
    },
    /// A time below 0.
    #[error("settings: {path} holds {held}, a negative time")]
    Negative {
        /// The field.
        path: String,
        /// What it holds.
        held: String,
    },
    /// A word that says nothing here.
    #[error("settings: {path} holds '{held}'")]
    Word {
        /// The field.
        path: String,
        /// The word.
        held: String,
    },
    /// Rates and worths of the ladder's rungs are not as many.
    #[error("settings: family_info.rung_kb and worth_by_rung differ in length")]
    Ladder,
    /// A list with a value for each class has more or fewer.
    #[error("settings: family_info.{name} holds {held} values for {known} classes")]
    PerClass {
        /// The list.
        name: &'static str,
        /// Values in it.
        held: usize,
        /// Classes.
        known: usize,
    },
    /// Two classes have one name.
    #[error("settings: {path} holds '{held}' once more")]
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
            Error::NoObject { .. } => "Write an object there, or leave the whole field out.",
            Error::Kind { .. } => "Write a value of the kind named, without quotes where it is a number.",
            Error::Negative { .. } => "Write the time in nanoseconds from 0 on; 0 states none.",
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

    /// The same, of a field that stands in the class at this place.
    pub(crate) fn of_class(mut self, place: usize) -> Self {
        if let Error::NoObject { path, .. }
        | Error::Kind { path, .. }
        | Error::Negative { path, .. }
        | Error::Word { path, .. }
        | Error::Twice { path, .. } = &mut self
        {
            *path = format!("classes[{place}].{path}");
        }
        self
    }
}

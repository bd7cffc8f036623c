//! Typed access to the fields of the settings. Errors name a field by its full path.

use crate::error::Error;
use micadyke::interface::Nanos;
use serde_json::Value;

/// A parsed value, or why it is refused.
pub(crate) type Parsed<T> = Result<T, Error>;

/// Longer times are reduced to this one, ten years in nanoseconds, so that sums with the time of day don't overflow
/// [`Nanos`].
const MAX_NANOS: f64 = 3.2e17;
/// Greater counts are reduced to this one, so that sums of two don't overflow.
const MAX_COUNT: f64 = (1u32 << 30) as f64;
/// Maximum number of characters of a value that an error quotes.
const MAX_QUOTED_CHARS: usize = 60;

/// A field and its path. A missing field has the value null.
#[derive(Debug, Clone)]
pub(crate) struct Field<'v> {
    value: &'v Value,
    path: String,
}

impl<'v> Field<'v> {
    /// The root of the settings.
    pub(crate) fn root(value: &'v Value) -> Parsed<Self> {
        let field = Field { value, path: "settings".into() };
        if value.is_object() { Ok(field) } else { Err(field.wrong_type("an object")) }
    }

    /// The field below this one at `keys`, which are separated by dots. All fields of a missing field are missing.
    pub(crate) fn get(&self, keys: &str) -> Parsed<Field<'v>> {
        let mut field = self.clone();
        for key in keys.split('.') {
            if !(field.value.is_object() || field.value.is_null()) {
                return Err(field.wrong_type("an object"));
            }
            field = Field { value: &field.value[key], path: format!("{}.{key}", field.path) };
        }
        Ok(field)
    }

    /// The elements of a list. A missing list is empty; null elements are refused.
    pub(crate) fn items(&self) -> Parsed<Vec<Field<'v>>> {
        let values = match self.value {
            Value::Null => return Ok(Vec::new()),
            Value::Array(values) => values,
            _ => return Err(self.wrong_type("a list")),
        };
        let item = |(i, value)| Field { value, path: format!("{}[{i}]", self.path) }.required();
        values.iter().enumerate().map(item).collect()
    }

    /// This field, or an error if it is missing.
    pub(crate) fn required(self) -> Parsed<Self> {
        if self.is_missing() { Err(Error::Missing { path: self.path }) } else { Ok(self) }
    }

    pub(crate) fn is_missing(&self) -> bool {
        self.value.is_null()
    }

    /// The path from the root.
    pub(crate) fn path(&self) -> &str {
        &self.path
    }

    /// The value as text for an error message, truncated to [`MAX_QUOTED_CHARS`].
    pub(crate) fn quoted_value(&self) -> String {
        let all = self.value.to_string();
        match all.char_indices().nth(MAX_QUOTED_CHARS) {
            Some((end, _)) => format!("{}...", &all[..end]),
            None => all,
        }
    }

    /// The error for a value of the wrong type.
    pub(crate) fn wrong_type(&self, expected: &'static str) -> Error {
        Error::WrongType { path: self.path.clone(), value: self.quoted_value(), expected }
    }

    /// The error for a value out of range.
    pub(crate) fn out_of_range(&self, expected: &'static str) -> Error {
        Error::OutOfRange { path: self.path.clone(), value: self.quoted_value(), expected }
    }

    /// The error for a value that contradicts another field.
    pub(crate) fn conflict(&self, other: impl Into<String>) -> Error {
        Error::Conflict { path: self.path.clone(), value: self.quoted_value(), other: other.into() }
    }

    fn number(&self) -> Parsed<f64> {
        match self.value {
            Value::Null => Ok(0.0),
            v => v.as_f64().ok_or_else(|| self.wrong_type("a number")),
        }
    }

    /// A number of 0 or more; 0 if missing.
    pub(crate) fn non_negative(&self) -> Parsed<f64> {
        let v = self.number()?;
        if v < 0.0 { Err(self.out_of_range("a number of 0 or more")) } else { Ok(v) }
    }

    /// A number above 0.
    pub(crate) fn positive(&self) -> Parsed<f64> {
        let v = self.number()?;
        if v <= 0.0 { Err(self.out_of_range("a number above 0")) } else { Ok(v) }
    }

    /// A number from 0 to 1; 0 if missing.
    pub(crate) fn fraction(&self) -> Parsed<f64> {
        let v = self.non_negative()?;
        if v > 1.0 { Err(self.out_of_range("a number from 0 to 1")) } else { Ok(v) }
    }

    /// A time in nanoseconds; 0 if missing.
    pub(crate) fn nanos(&self) -> Parsed<Nanos> {
        let v = self.number()?;
        if v < 0.0 {
            return Err(self.out_of_range("a time of 0 or more nanoseconds"));
        }
        Ok(v.min(MAX_NANOS) as Nanos)
    }

    /// A whole number of 0 or more; 0 if missing.
    pub(crate) fn count(&self) -> Parsed<u32> {
        let v = self.number()?;
        if v < 0.0 || v.fract() != 0.0 {
            return Err(self.wrong_type("a count"));
        }
        Ok(v.min(MAX_COUNT) as u32)
    }

    /// A whole number of 1 or more.
    pub(crate) fn positive_count(&self) -> Parsed<u32> {
        match self.count()? {
            0 => Err(self.out_of_range("a count of 1 or more")),
            n => Ok(n),
        }
    }

    /// A string; empty if missing.
    pub(crate) fn text(&self) -> Parsed<&'v str> {
        match self.value {
            Value::Null => Ok(""),
            v => v.as_str().ok_or_else(|| self.wrong_type("a string")),
        }
    }

    /// A boolean; false if missing.
    pub(crate) fn boolean(&self) -> Parsed<bool> {
        match self.value {
            Value::Null => Ok(false),
            v => v.as_bool().ok_or_else(|| self.wrong_type("true or false")),
        }
    }

    /// A keyword, mapped to its meaning.
    pub(crate) fn keyword<T: Copy>(&self, keywords: &[(&str, T)]) -> Parsed<T> {
        let value = self.text()?;
        let found = keywords.iter().find(|w| w.0 == value).map(|w| w.1);
        found.ok_or_else(|| Error::UnknownKeyword { path: self.path.clone(), value: value.into() })
    }
}

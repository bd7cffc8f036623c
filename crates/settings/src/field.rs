//! A field of the settings with its full path: what it holds is read, or refused by that path.

use crate::error::Error;
use micadyke::interface::Nanos;
use serde_json::Value;

/// A value that was read, or why it is refused.
pub(crate) type Parsed<T> = Result<T, Error>;

/// A longer time is taken for this one, ten years: sums with the time of day stay far from the end of [`Nanos`].
const LONGEST: f64 = 3.2e17;
/// A greater count is taken for this one: sums of two stay far from the end of their type.
const MOST: f64 = (1u32 << 30) as f64;
/// Characters of a value that an error quotes.
const QUOTED: usize = 60;

/// A field, there or missing: null stands for missing.
#[derive(Debug, Clone)]
pub(crate) struct Field<'v> {
    value: &'v Value,
    path: String,
}

impl<'v> Field<'v> {
    /// The settings themselves.
    pub(crate) fn settings(value: &'v Value) -> Parsed<Self> {
        let field = Field { value, path: "settings".into() };
        if value.is_object() { Ok(field) } else { Err(field.not("an object")) }
    }

    /// The field beneath this one, its keys divided by points. What is missing holds nothing but missing fields.
    pub(crate) fn get(&self, keys: &str) -> Parsed<Field<'v>> {
        let mut field = self.clone();
        for key in keys.split('.') {
            if !(field.value.is_object() || field.value.is_null()) {
                return Err(field.not("an object"));
            }
            field = Field { value: &field.value[key], path: format!("{}.{key}", field.path) };
        }
        Ok(field)
    }

    /// The fields of a list; a missing list is empty, a missing value in it is refused.
    pub(crate) fn items(&self) -> Parsed<Vec<Field<'v>>> {
        let values = match self.value {
            Value::Null => return Ok(Vec::new()),
            Value::Array(values) => values,
            _ => return Err(self.not("a list")),
        };
        let item = |(i, value)| Field { value, path: format!("{}[{i}]", self.path) }.due();
        values.iter().enumerate().map(item).collect()
    }

    /// The same field where it is there.
    pub(crate) fn due(self) -> Parsed<Self> {
        if self.is_missing() { Err(Error::Missing { path: self.path }) } else { Ok(self) }
    }

    pub(crate) fn is_missing(&self) -> bool {
        self.value.is_null()
    }

    /// Where it stands, from the settings on.
    pub(crate) fn path(&self) -> &str {
        &self.path
    }

    /// What it holds, as an error quotes it.
    pub(crate) fn held(&self) -> String {
        let all = self.value.to_string();
        match all.char_indices().nth(QUOTED) {
            Some((end, _)) => format!("{}...", &all[..end]),
            None => all,
        }
    }

    /// It is of another kind than is due.
    pub(crate) fn not(&self, due: &'static str) -> Error {
        Error::Kind { path: self.path.clone(), held: self.held(), due }
    }

    /// It lies outside of what is due.
    pub(crate) fn outside(&self, due: &'static str) -> Error {
        Error::Range { path: self.path.clone(), held: self.held(), due }
    }

    /// It can't hold beside what another field says.
    pub(crate) fn against(&self, other: impl Into<String>) -> Error {
        Error::Against { path: self.path.clone(), held: self.held(), other: other.into() }
    }

    fn number(&self) -> Parsed<f64> {
        match self.value {
            Value::Null => Ok(0.0),
            v => v.as_f64().ok_or_else(|| self.not("a number")),
        }
    }

    /// A number from 0; a missing one is 0.
    pub(crate) fn figure(&self) -> Parsed<f64> {
        let v = self.number()?;
        if v < 0.0 { Err(self.outside("a number from 0")) } else { Ok(v) }
    }

    /// A number above 0.
    pub(crate) fn positive(&self) -> Parsed<f64> {
        let v = self.number()?;
        if v <= 0.0 { Err(self.outside("a number above 0")) } else { Ok(v) }
    }

    /// A part of a whole; a missing one is 0.
    pub(crate) fn part(&self) -> Parsed<f64> {
        let v = self.figure()?;
        if v > 1.0 { Err(self.outside("a number from 0 to 1")) } else { Ok(v) }
    }

    /// A time; a missing one is 0.
    pub(crate) fn nanos(&self) -> Parsed<Nanos> {
        let v = self.number()?;
        if v < 0.0 {
            return Err(self.outside("a time in nanoseconds from 0"));
        }
        Ok(v.min(LONGEST) as Nanos)
    }

    /// A whole number from 0; a missing one is 0.
    pub(crate) fn count(&self) -> Parsed<u32> {
        let v = self.number()?;
        if v < 0.0 || v.fract() != 0.0 {
            return Err(self.not("a count"));
        }
        Ok(v.min(MOST) as u32)
    }

    /// A count of what there must be.
    pub(crate) fn some(&self) -> Parsed<u32> {
        match self.count()? {
            0 => Err(self.outside("a count from 1")),
            n => Ok(n),
        }
    }

    /// A text; a missing one is empty.
    pub(crate) fn text(&self) -> Parsed<&'v str> {
        match self.value {
            Value::Null => Ok(""),
            v => v.as_str().ok_or_else(|| self.not("a text")),
        }
    }

    /// True or false; false where it is missing.
    pub(crate) fn truth(&self) -> Parsed<bool> {
        match self.value {
            Value::Null => Ok(false),
            v => v.as_bool().ok_or_else(|| self.not("true or false")),
        }
    }

    /// A text that is one of some words.
    pub(crate) fn word<T: Copy>(&self, words: &[(&str, T)]) -> Parsed<T> {
        let held = self.text()?;
        let found = words.iter().find(|w| w.0 == held).map(|w| w.1);
        found.ok_or_else(|| Error::Word { path: self.path.clone(), held: held.into() })
    }
}

//! Forms: lists that begin with a word and hold named parts. Faults are gathered, not thrown.

use crate::sexp::{self, Node, Place};
use crate::units::{Unit, quantity};
use std::cell::RefCell;

/// One fault of a file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{}:{}: {what}", at.line, at.column)]
pub struct Diagnostic {
    /// The file.
    pub file: String,
    /// Where in it.
    pub at: Place,
    /// What is wrong.
    pub what: String,
}

impl Diagnostic {
    /// What an operator can do.
    pub fn advice(&self) -> &'static str {
        "Correct the file at the place named; 'micadyke check FILE' reads it through and starts nothing."
    }
}

/// The faults found so far in one file.
#[derive(Debug)]
pub struct Faults {
    file: String,
    found: RefCell<Vec<Diagnostic>>,
}

/// Faults kept of one reading; more are counted as one.
const MOST: usize = 200;

impl Faults {
    /// No faults yet in a file.
    pub fn new(file: &str) -> Self {
        Faults { file: file.into(), found: RefCell::default() }
    }

    /// Notes a fault.
    pub fn add(&self, at: Place, what: impl Into<String>) {
        let mut found = self.found.borrow_mut();
        if found.len() < MOST {
            found.push(Diagnostic { file: self.file.clone(), at, what: what.into() });
        }
    }

    /// Whether none was found.
    pub fn none(&self) -> bool {
        self.found.borrow().is_empty()
    }

    /// All faults, in the order of the file.
    pub fn take(self) -> Vec<Diagnostic> {
        let mut found = self.found.into_inner();
        found.sort_by_key(|d| d.at);
        found
    }
}

/// Reads a file: its expressions by `read`, which notes what is wrong with them. All or nothing; `incomplete` is said
/// where nothing came of it and no fault was noted.
pub fn read_file<T>(
    text: &str, file: &str, incomplete: &str, read: impl FnOnce(&[Node], &Faults) -> Option<T>,
) -> Result<T, Vec<Diagnostic>> {
    let faults = Faults::new(file);
    let value = match sexp::read(text) {
        Ok(nodes) => read(&nodes, &faults),
        Err(e) => {
            faults.add(e.at, e.flaw.to_string());
            None
        }
    };
    match value {
        Some(value) if faults.none() => Ok(value),
        _ => {
            if faults.none() {
                faults.add(Place { line: 1, column: 1 }, incomplete);
            }
            Err(faults.take())
        }
    }
}

/// The nearest of some names, if one is near.
pub(crate) fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let scored = known.into_iter().map(|k| (strsim::damerau_levenshtein(name, k), k));
    scored.min().filter(|(d, k)| *d <= 1 + k.len() / 4).map(|(_, k)| k)
}

/// A list `(word arguments... (part ...) ...)`: arguments come before the named parts.
#[derive(Debug, Clone, Copy)]
pub struct Form<'a> {
    /// The first word.
    pub word: &'a str,
    /// Where the list begins.
    pub at: Place,
    items: &'a [Node],
    faults: &'a Faults,
}

impl<'a> Form<'a> {
    /// Reads a node as a form.
    pub fn of(node: &'a Node, faults: &'a Faults) -> Option<Self> {
        let Some((first, items)) = node.list().and_then(<[Node]>::split_first) else {
            faults.add(node.at, format!("'{node}' is no form: a list that begins with a word is due"));
            return None;
        };
        let Some(word) = first.atom() else {
            faults.add(first.at, format!("'{first}' is no word to begin a form with"));
            return None;
        };
        Some(Form { word, at: node.at, items, faults })
    }

    /// Notes a fault of this form.
    pub fn fault(&self, what: impl Into<String>) {
        self.faults.add(self.at, what);
    }

    /// The arguments before the first named part.
    pub fn arguments(&self) -> &'a [Node] {
        let n = self.items.iter().position(|i| i.list().is_some()).unwrap_or(self.items.len());
        &self.items[..n]
    }

    /// The named parts.
    pub fn parts(&self) -> impl Iterator<Item = Form<'a>> + use<'a> {
        let (faults, n) = (self.faults, self.arguments().len());
        self.items[n..].iter().filter_map(move |i| Form::of(i, faults))
    }

    /// Checks that all parts are known, and that those not in `many` come once.
    pub fn allow(&self, once: &[&str], many: &[&str]) {
        let mut seen: Vec<&str> = Vec::new();
        for part in self.parts() {
            let known = || once.iter().chain(many).copied();
            if !known().any(|k| k == part.word) {
                let hint = nearest(part.word, known()).map_or(String::new(), |n| format!("; '{n}'?"));
                part.fault(format!("'{}' is no part of '{}'{hint}", part.word, self.word));
            } else if !many.contains(&part.word) && seen.contains(&part.word) {
                part.fault(format!("'{}' is given twice", part.word));
            }
            seen.push(part.word);
        }
    }

    /// The part of a name.
    pub fn part(&self, name: &str) -> Option<Form<'a>> {
        self.items
            .iter()
            .filter(|i| i.list().and_then(|l| l.first()?.atom()) == Some(name))
            .find_map(|i| Form::of(i, self.faults))
    }

    /// The one argument of this form.
    pub fn one(&self) -> Option<&'a Node> {
        match self.items {
            [node] if node.list().is_none() => Some(node),
            _ => {
                self.fault(format!("'{}' takes one value", self.word));
                None
            }
        }
    }

    /// The one argument as text.
    pub fn text(&self) -> Option<&'a str> {
        self.one().and_then(Node::text)
    }

    /// The one argument as a quantity.
    pub fn quantity(&self, unit: Unit) -> Option<f64> {
        let node = self.one()?;
        match quantity(node.text().unwrap_or(""), unit) {
            Ok(v) => Some(v),
            Err(what) => {
                self.faults.add(node.at, format!("{}: {what}", self.word));
                None
            }
        }
    }

    /// The one argument as a whole number within bounds.
    pub fn whole(&self, least: u64, most: u64) -> Option<u64> {
        let node = self.one()?;
        match node.text().and_then(|t| t.parse::<u64>().ok()).filter(|n| (least..=most).contains(n)) {
            None => {
                let what = format!("{}: '{node}' is no whole number from {least} to {most}", self.word);
                self.faults.add(node.at, what);
                None
            }
            n => n,
        }
    }

    /// A quantity of a part, within bounds in the unit's base; `or` where the part is missing.
    pub fn get(&self, name: &str, unit: Unit, bounds: (f64, f64), or: Option<f64>) -> f64 {
        let Some(part) = self.part(name) else {
            if or.is_none() {
                self.fault(format!("'{}' lacks its '{name}'", self.word));
            }
            return or.unwrap_or(0.0);
        };
        let Some(v) = part.quantity(unit) else { return or.unwrap_or(0.0) };
        if v < bounds.0 || v > bounds.1 {
            let node = part.one().map_or_else(String::new, ToString::to_string);
            part.fault(format!(
                "{name}: {node} is outside {} to {}",
                show(bounds.0, unit),
                show(bounds.1, unit)
            ));
        }
        v
    }

    /// A whole number of a part; `or` where the part is missing.
    pub fn count(&self, name: &str, least: u64, most: u64, or: Option<u64>) -> u64 {
        match (self.part(name), or) {
            (Some(part), _) => part.whole(least, most).unwrap_or(least),
            (None, Some(or)) => or,
            (None, None) => {
                self.fault(format!("'{}' lacks its '{name}'", self.word));
                least
            }
        }
    }

    /// The text of a part; a fault where it is missing and no default is given.
    pub fn word_of(&self, name: &str, or: Option<&'a str>) -> &'a str {
        match (self.part(name), or) {
            (Some(part), _) => part.text().unwrap_or(""),
            (None, Some(or)) => or,
            (None, None) => {
                self.fault(format!("'{}' lacks its '{name}'", self.word));
                ""
            }
        }
    }

    /// One of some words, by its index; a fault names the nearest.
    pub fn choice(&self, name: &str, known: &[&str], or: Option<usize>) -> usize {
        let Some(part) = self.part(name) else {
            if or.is_none() {
                self.fault(format!("'{}' lacks its '{name}'", self.word));
            }
            return or.unwrap_or(0);
        };
        let Some(text) = part.text() else { return 0 };
        known.iter().position(|k| *k == text).unwrap_or_else(|| {
            let hint = nearest(text, known.iter().copied()).map_or(String::new(), |n| format!("; '{n}'?"));
            part.fault(format!("{name}: '{text}' is none of {}{hint}", known.join(", ")));
            0
        })
    }
}

fn show(v: f64, unit: Unit) -> String {
    match unit {
        Unit::Time if v >= 1e9 => format!("{}s", v / 1e9),
        Unit::Time => format!("{}ms", v / 1e6),
        Unit::Rate => format!("{v}kB/s"),
        Unit::Size => format!("{v}B"),
        _ => format!("{v}"),
    }
}

//! Reading S-expressions with the place of every node.
//!
//! Atoms are kept as written, so that `800ms` and `127.0.0.1` stay what they are; strings are in double quotes
//! with `\"`, `\\`, `\n`, `\r` and `\t`; `;` begins a comment up to the line's end.

use std::fmt;

/// Bytes of a text at most.
pub const MAX_BYTES: usize = 16 << 20;
/// Depth of nesting at most.
pub const MAX_DEPTH: usize = 32;

/// A place in a text: line and column, both from 1; columns count characters.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Line.
    pub line: u32,
    /// Column.
    pub column: u32,
}

/// What a node is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// A word or a number, as written.
    Atom(String),
    /// A string, unquoted.
    Text(String),
    /// A list.
    List(Vec<Node>),
}

/// A node and where it begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// What it is.
    pub kind: Kind,
    /// Where it begins.
    pub at: Place,
}

/// A text that is no sequence of S-expressions.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}:{}: {flaw}", at.line, at.column)]
pub struct ReadError {
    /// Where.
    pub at: Place,
    /// What is wrong.
    pub flaw: Flaw,
}

/// Why a text is no sequence of S-expressions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Flaw {
    /// More than is read.
    #[error("the text is longer than {MAX_BYTES} bytes")]
    TooLong,
    /// Deeper than is read.
    #[error("lists nest deeper than {MAX_DEPTH}")]
    TooDeep,
    /// A `)` too many.
    #[error("a ')' that closes nothing")]
    Unopened,
    /// A `)` too few.
    #[error("a '(' that is not closed")]
    Unclosed,
    /// A `"` too few.
    #[error("a string that is not closed")]
    OpenString,
    /// A backslash before something else.
    #[error("an escape other than \\\" \\\\ \\n \\r \\t")]
    Escape,
    /// What no editor writes.
    #[error("a control character")]
    Control,
}

impl Flaw {
    /// What an operator can do.
    ///
    /// ```
    /// let flaw = micadyke_config::sexp::read("(front").expect_err("not closed").flaw;
    /// assert!(flaw.advice().contains("')'"));
    /// ```
    pub fn advice(&self) -> &'static str {
        match self {
            Flaw::TooLong => {
                "See whether it is the right file; no settings and no list of boxes come near that."
            }
            Flaw::TooDeep => "See for lists that were meant to end earlier; nothing here nests so deep.",
            Flaw::Unopened => "Take the ')' away, or close a list before it later.",
            Flaw::Unclosed => "Add a ')' where the list that begins there is to end.",
            Flaw::OpenString => "Add a '\"' where the text that begins there is to end.",
            Flaw::Escape => "Write a backslash in a text twice.",
            Flaw::Control => "Delete the character and type that place anew; the file may be no text.",
        }
    }
}

impl Node {
    /// Its items, if it is a list.
    pub fn list(&self) -> Option<&[Node]> {
        match &self.kind {
            Kind::List(items) => Some(items),
            _ => None,
        }
    }

    /// Its text, if it is an atom.
    pub fn atom(&self) -> Option<&str> {
        match &self.kind {
            Kind::Atom(a) => Some(a),
            _ => None,
        }
    }

    /// Its text, if it is an atom or a string.
    pub fn text(&self) -> Option<&str> {
        match &self.kind {
            Kind::Atom(a) | Kind::Text(a) => Some(a),
            Kind::List(_) => None,
        }
    }
}

impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            Kind::Atom(a) => f.write_str(a),
            Kind::Text(t) => f.write_str(&quote(t)),
            Kind::List(items) => {
                f.write_str("(")?;
                for (i, item) in items.iter().enumerate() {
                    if i > 0 {
                        f.write_str(" ")?;
                    }
                    item.fmt(f)?;
                }
                f.write_str(")")
            }
        }
    }
}

/// A string as it is written.
pub fn quote(text: &str) -> String {
    let mut out = String::with_capacity(text.len() + 2);
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            '\r' => out.push_str("\\r"),
            '\t' => out.push_str("\\t"),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Reader<'a> {
    rest: std::iter::Peekable<std::str::Chars<'a>>,
    at: Place,
}

impl Reader<'_> {
    fn next(&mut self) -> Option<char> {
        let c = self.rest.next()?;
        if c == '\n' {
            self.at = Place { line: self.at.line + 1, column: 1 };
        } else {
            self.at.column += 1;
        }
        Some(c)
    }

    fn skip(&mut self) {
        while let Some(&c) = self.rest.peek() {
            if c == ';' {
                while self.rest.peek().is_some_and(|&c| c != '\n') {
                    self.next();
                }
            } else if c.is_whitespace() {
                self.next();
            } else {
                return;
            }
        }
    }
}

fn error<T>(at: Place, flaw: Flaw) -> Result<T, ReadError> {
    Err(ReadError { at, flaw })
}

/// Reads all expressions of a text.
///
/// # Errors
///
/// Where it is none, and why.
pub fn read(text: &str) -> Result<Vec<Node>, ReadError> {
    let mut r = Reader { rest: text.chars().peekable(), at: Place { line: 1, column: 1 } };
    if text.len() > MAX_BYTES {
        return error(r.at, Flaw::TooLong);
    }
    if r.rest.peek() == Some(&'\u{feff}') {
        r.rest.next();
    }
    let mut open: Vec<(Place, Vec<Node>)> = Vec::new();
    let mut top = Vec::new();
    loop {
        r.skip();
        let at = r.at;
        let Some(&c) = r.rest.peek() else { break };
        let kind = match c {
            '(' => {
                r.next();
                if open.len() == MAX_DEPTH {
                    return error(at, Flaw::TooDeep);
                }
                open.push((at, Vec::new()));
                continue;
            }
            ')' => {
                r.next();
                let Some((began, items)) = open.pop() else { return error(at, Flaw::Unopened) };
                let node = Node { kind: Kind::List(items), at: began };
                open.last_mut().map_or(&mut top, |o| &mut o.1).push(node);
                continue;
            }
            '"' => {
                r.next();
                let mut text = String::new();
                loop {
                    match r.next() {
                        None => return error(at, Flaw::OpenString),
                        Some('"') => break,
                        Some('\\') => match r.next() {
                            Some('n') => text.push('\n'),
                            Some('r') => text.push('\r'),
                            Some('t') => text.push('\t'),
                            Some(c @ ('"' | '\\')) => text.push(c),
                            _ => return error(r.at, Flaw::Escape),
                        },
                        Some(c) => text.push(c),
                    }
                }
                Kind::Text(text)
            }
            _ => {
                let mut text = String::new();
                while let Some(&c) = r.rest.peek() {
                    if c.is_whitespace() || matches!(c, '(' | ')' | '"' | ';') {
                        break;
                    }
                    if c.is_control() {
                        return error(r.at, Flaw::Control);
                    }
                    text.push(c);
                    r.next();
                }
                Kind::Atom(text)
            }
        };
        open.last_mut().map_or(&mut top, |o| &mut o.1).push(Node { kind, at });
    }
    match open.pop() {
        Some((at, _)) => error(at, Flaw::Unclosed),
        None => Ok(top),
    }
}

//! Structured fields (RFC 9651, and RFC 8941 before it): items, lists and dictionaries with parameters.
//!
//! Parsing fails as a whole, as section 4.2 has it: a field that is not well formed is as if it were not there.

/// Members of a list, keys of a dictionary or parameters of a member at most.
pub const MAX_MEMBERS: usize = 1024;
/// Bytes of a key, a token or a string at most.
pub const MAX_TEXT: usize = 8192;

/// A bare item (section 3.3).
#[derive(Debug, Clone, PartialEq)]
pub enum Bare {
    /// A whole number of at most 15 digits.
    Integer(i64),
    /// A decimal, as thousandths: at most 12 digits before the point and 3 after it.
    Decimal(i64),
    /// A string.
    String(String),
    /// A token.
    Token(String),
    /// Bytes.
    Bytes(Vec<u8>),
    /// A truth value.
    Boolean(bool),
    /// A date, in seconds since the Unix epoch.
    Date(i64),
    /// A string that may hold any character.
    Display(String),
}

/// Parameters in order, each key once.
pub type Params = Vec<(String, Bare)>;

/// An item with its parameters.
#[derive(Debug, Clone, PartialEq)]
pub struct Item {
    /// The bare item.
    pub value: Bare,
    /// Its parameters.
    pub params: Params,
}

/// A member of a list or dictionary.
#[derive(Debug, Clone, PartialEq)]
pub enum Member {
    /// An item.
    Item(Item),
    /// An inner list with its parameters.
    Inner(Vec<Item>, Params),
}

/// A dictionary: keys in order, each once.
pub type Dictionary = Vec<(String, Member)>;

struct Reader<'a>(&'a [u8]);

type Read<T> = Option<T>;

fn key_start(b: u8) -> bool {
    b.is_ascii_lowercase() || b == b'*'
}

fn key_byte(b: u8) -> bool {
    key_start(b) || b.is_ascii_digit() || matches!(b, b'_' | b'-' | b'.')
}

fn token_byte(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~:/".contains(&b)
}

impl Reader<'_> {
    fn peek(&self) -> Option<u8> {
        self.0.first().copied()
    }

    fn next(&mut self) -> Option<u8> {
        let (first, rest) = self.0.split_first()?;
        self.0 = rest;
        Some(*first)
    }

    fn eat(&mut self, b: u8) -> bool {
        let there = self.peek() == Some(b);
        if there {
            self.0 = &self.0[1..];
        }
        there
    }

    fn spaces(&mut self) {
        while self.eat(b' ') {}
    }

    fn optional_white_space(&mut self) {
        while self.eat(b' ') || self.eat(b'\t') {}
    }

    fn while_fits(&mut self, fits: fn(u8) -> bool) -> &str {
        let n = self.0.iter().position(|&b| !fits(b)).unwrap_or(self.0.len());
        let (text, rest) = self.0.split_at(n);
        self.0 = rest;
        std::str::from_utf8(text).unwrap_or("")
    }

    fn key(&mut self) -> Read<String> {
        if !self.peek().is_some_and(key_start) {
            return None;
        }
        let key = self.while_fits(key_byte);
        (key.len() <= MAX_TEXT).then(|| key.to_owned())
    }

    fn number(&mut self) -> Read<Bare> {
        let negative = self.eat(b'-');
        let sign = if negative { -1 } else { 1 };
        let whole = self.while_fits(|b| b.is_ascii_digit()).to_owned();
        if whole.is_empty() {
            return None;
        }
        if !self.eat(b'.') {
            return if whole.len() <= 15 {
                Some(Bare::Integer(sign * whole.parse::<i64>().ok()?))
            } else {
                None
            };
        }
        let part = self.while_fits(|b| b.is_ascii_digit());
        if whole.len() > 12 || !(1..=3).contains(&part.len()) {
            return None;
        }
        let thousandths: i64 = format!("{part:0<3}").parse().ok()?;
        Some(Bare::Decimal(sign * (whole.parse::<i64>().ok()? * 1000 + thousandths)))
    }

    fn string(&mut self) -> Read<String> {
        let mut out = String::new();
        loop {
            match self.next()? {
                b'"' => return Some(out),
                b'\\' => match self.next()? {
                    c @ (b'"' | b'\\') => out.push(char::from(c)),
                    _ => return None,
                },
                c @ 0x20..=0x7e => out.push(char::from(c)),
                _ => return None,
            }
            if out.len() > MAX_TEXT {
                return None;
            }
        }
    }

    fn bytes(&mut self) -> Read<Vec<u8>> {
        let end = self.0.iter().position(|&b| b == b':')?;
        let (text, rest) = self.0.split_at(end);
        self.0 = &rest[1..];
        let digits = text.iter().rposition(|&b| b != b'=').map_or(0, |n| n + 1);
        if text.len() - digits > 2 || digits % 4 == 1 || text.len() > 4 * MAX_TEXT {
            return None;
        }
        let mut out = Vec::with_capacity(digits * 3 / 4);
        let (mut held, mut bits) = (0u32, 0);
        for &b in &text[..digits] {
            let six = match b {
                b'A'..=b'Z' => b - b'A',
                b'a'..=b'z' => b - b'a' + 26,
                b'0'..=b'9' => b - b'0' + 52,
                b'+' => 62,
                b'/' => 63,
                _ => return None,
            };
            held = held << 6 | u32::from(six);
            bits += 6;
            if bits >= 8 {
                bits -= 8;
                out.push((held >> bits) as u8);
            }
        }
        Some(out)
    }

    fn display(&mut self) -> Read<String> {
        if !self.eat(b'"') {
            return None;
        }
        let mut out = Vec::new();
        loop {
            match self.next()? {
                b'"' => return String::from_utf8(out).ok(),
                b'%' => {
                    let mut hex = || match self.next()? {
                        c @ b'0'..=b'9' => Some(c - b'0'),
                        c @ b'a'..=b'f' => Some(c - b'a' + 10),
                        _ => None,
                    };
                    out.push(hex()? << 4 | hex()?);
                }
                c @ 0x20..=0x7e => out.push(c),
                _ => return None,
            }
            if out.len() > MAX_TEXT {
                return None;
            }
        }
    }

    fn bare(&mut self) -> Read<Bare> {
        match self.peek()? {
            b'-' | b'0'..=b'9' => self.number(),
            b'"' => {
                self.next();
                self.string().map(Bare::String)
            }
            b':' => {
                self.next();
                self.bytes().map(Bare::Bytes)
            }
            b'?' => {
                self.next();
                match self.next()? {
                    b'0' => Some(Bare::Boolean(false)),
                    b'1' => Some(Bare::Boolean(true)),
                    _ => None,
                }
            }
            b'@' => {
                self.next();
                match self.number()? {
                    Bare::Integer(n) => Some(Bare::Date(n)),
                    _ => None,
                }
            }
            b'%' => {
                self.next();
                self.display().map(Bare::Display)
            }
            b if b.is_ascii_alphabetic() || b == b'*' => {
                let token = self.while_fits(token_byte);
                (token.len() <= MAX_TEXT).then(|| Bare::Token(token.to_owned()))
            }
            _ => None,
        }
    }

    fn params(&mut self) -> Read<Params> {
        let mut params = Params::new();
        while self.eat(b';') {
            self.spaces();
            let key = self.key()?;
            let value = if self.eat(b'=') { self.bare()? } else { Bare::Boolean(true) };
            put(&mut params, key, value)?;
        }
        Some(params)
    }

    fn item(&mut self) -> Read<Item> {
        Some(Item { value: self.bare()?, params: self.params()? })
    }

    fn member(&mut self) -> Read<Member> {
        if !self.eat(b'(') {
            return self.item().map(Member::Item);
        }
        let mut items = Vec::new();
        loop {
            self.spaces();
            if self.eat(b')') {
                return Some(Member::Inner(items, self.params()?));
            }
            items.push(self.item()?);
            if items.len() > MAX_MEMBERS || !matches!(self.peek(), Some(b' ' | b')')) {
                return None;
            }
        }
    }

    /// What comes between members; true where another one follows.
    fn comma(&mut self) -> Read<bool> {
        self.optional_white_space();
        if self.0.is_empty() {
            return Some(false);
        }
        if !self.eat(b',') {
            return None;
        }
        self.optional_white_space();
        (!self.0.is_empty()).then_some(true)
    }
}

/// Puts a value under a key; a key that is there already keeps its place and gets the new value.
fn put<T>(all: &mut Vec<(String, T)>, key: String, value: T) -> Read<()> {
    let full = all.len() == MAX_MEMBERS;
    match all.iter_mut().find(|(k, _)| *k == key) {
        Some(old) => old.1 = value,
        None if full => return None,
        None => all.push((key, value)),
    }
    Some(())
}

fn whole<'a, T>(text: &'a str, read: impl FnOnce(&mut Reader<'a>) -> Read<T>) -> Read<T> {
    let mut r = Reader(text.as_bytes());
    r.spaces();
    let value = read(&mut r)?;
    r.spaces();
    r.0.is_empty().then_some(value)
}

/// Reads a field that is one item (section 4.2.3).
pub fn parse_item(text: &str) -> Option<Item> {
    whole(text, |r| r.item())
}

/// Reads a field that is a list (section 4.2.1).
pub fn parse_list(text: &str) -> Option<Vec<Member>> {
    whole(text, |r| {
        let mut all = Vec::new();
        let mut more = !r.0.is_empty();
        while more {
            if all.len() == MAX_MEMBERS {
                return None;
            }
            all.push(r.member()?);
            more = r.comma()?;
        }
        Some(all)
    })
}

/// Reads a field that is a dictionary (section 4.2.2).
pub fn parse_dictionary(text: &str) -> Option<Dictionary> {
    whole(text, |r| {
        let mut all = Dictionary::new();
        let mut more = !r.0.is_empty();
        while more {
            let key = r.key()?;
            let value = if r.eat(b'=') {
                r.member()?
            } else {
                Member::Item(Item { value: Bare::Boolean(true), params: r.params()? })
            };
            put(&mut all, key, value)?;
            more = r.comma()?;
        }
        Some(all)
    })
}

impl Bare {
    fn write(&self, out: &mut String) {
        match self {
            Bare::Integer(n) => out.push_str(&n.to_string()),
            Bare::Date(n) => out.push_str(&format!("@{n}")),
            Bare::Decimal(n) => {
                let sign = if *n < 0 { "-" } else { "" };
                let text = format!("{sign}{}.{:03}", n.abs() / 1000, n.abs() % 1000);
                let cut = text.trim_end_matches('0');
                out.push_str(cut);
                if cut.ends_with('.') {
                    out.push('0');
                }
            }
            Bare::String(s) => {
                out.push('"');
                for c in s.chars().filter(|c| (' '..='~').contains(c)) {
                    if matches!(c, '"' | '\\') {
                        out.push('\\');
                    }
                    out.push(c);
                }
                out.push('"');
            }
            Bare::Token(t) => out.push_str(t),
            Bare::Boolean(b) => out.push_str(if *b { "?1" } else { "?0" }),
            Bare::Bytes(bytes) => {
                const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
                out.push(':');
                for part in bytes.chunks(3) {
                    let n = part.iter().fold(0u32, |a, &b| a << 8 | u32::from(b)) << (8 * (3 - part.len()));
                    for i in 0..4 {
                        let digit = DIGITS[(n >> (18 - 6 * i) & 63) as usize];
                        out.push(if i <= part.len() { char::from(digit) } else { '=' });
                    }
                }
                out.push(':');
            }
            Bare::Display(s) => {
                out.push_str("%\"");
                for b in s.bytes() {
                    if b == b'%' || b == b'"' || !(0x20..=0x7e).contains(&b) {
                        out.push_str(&format!("%{b:02x}"));
                    } else {
                        out.push(char::from(b));
                    }
                }
                out.push('"');
            }
        }
    }
}

fn write_params(params: &Params, out: &mut String) {
    for (key, value) in params {
        out.push(';');
        out.push_str(key);
        if *value != Bare::Boolean(true) {
            out.push('=');
            value.write(out);
        }
    }
}

fn write_member(member: &Member, out: &mut String) {
    match member {
        Member::Item(item) => {
            item.value.write(out);
            write_params(&item.params, out);
        }
        Member::Inner(items, params) => {
            out.push('(');
            for (i, item) in items.iter().enumerate() {
                if i > 0 {
                    out.push(' ');
                }
                item.value.write(out);
                write_params(&item.params, out);
            }
            out.push(')');
            write_params(params, out);
        }
    }
}

/// The text of a list (section 4.1.1).
pub fn write_list(list: &[Member]) -> String {
    let mut out = String::new();
    for (i, m) in list.iter().enumerate() {
        if i > 0 {
            out.push_str(", ");
        }
        write_member(m, &mut out);
    }
    out
}

/// The text of a dictionary (section 4.1.2).
pub fn write_dictionary(dictionary: &Dictionary) -> String {
    let mut out = String::new();
    for (i, (key, member)) in dictionary.iter().enumerate() {
        if i > 0 {
            out.push_str(", ");
        }
        out.push_str(key);
        match member {
            Member::Item(Item { value: Bare::Boolean(true), params }) => write_params(params, &mut out),
            m => {
                out.push('=');
                write_member(m, &mut out);
            }
        }
    }
    out
}

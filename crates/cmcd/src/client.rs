//! CMCD: what a player tells with a request, or reports by itself.

use crate::keys::{Field, KEYS, Key, Kind, find};
use crate::{MAX_BYTES, MAX_CUSTOM, MAX_REPORTS};
use micadyke_http::Headers;
use micadyke_http::structured::{Bare, Dictionary, Item, Member, parse_dictionary, write_dictionary};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};
use std::borrow::Cow;

/// Name of the query argument (CTA-5004 section 2.2).
pub const ARGUMENT: &str = "CMCD";
/// Media type of reports (CTA-5004-A, event mode).
pub const REPORT: &str = "application/cmcd";
/// The newest version that is understood.
pub const VERSION: u64 = 2;

/// The value of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Value {
    /// A whole number.
    Integer(u64),
    /// A number, as thousandths.
    Decimal(u64),
    /// A text.
    Text(String),
    /// A token.
    Token(String),
    /// True.
    Flag,
    /// Version 2: numbers by type of object, in the order given; the type as in key `ot`, where one is named.
    Integers(Vec<(u64, Option<String>)>),
    /// Version 2: several texts.
    Texts(Vec<String>),
}

/// What one request or report tells.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Cmcd {
    /// By name, in its order: a handful.
    reserved: Vec<(&'static str, Value)>,
    /// Keys of an operator's or maker's own: their names hold a hyphen (CTA-5004 section 3).
    pub custom: Vec<(String, Value)>,
    /// Keys and fields that were left out: unknown, of a wrong type, malformed, too long or too many.
    pub ignored: u32,
}

/// What stays as it is in a query argument.
const KEPT: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

impl Cmcd {
    /// Nothing told.
    pub fn new() -> Self {
        Cmcd::default()
    }

    /// What a request tells: by its header fields, or else by its query. Several fields of one name count as one, joined
    /// by commas (RFC 9110 section 5.3); the later of two equal keys counts.
    pub fn of(headers: &Headers, target: &str) -> Self {
        let mut told = Cmcd::default();
        let mut texts: [Option<Cow<'_, str>>; Field::ALL.len()] = Default::default();
        for (name, value) in headers.0.iter().filter(|h| h.0.starts_with("cmcd-")) {
            let Some(i) = Field::ALL.iter().position(|f| f.name() == name) else { continue };
            match &mut texts[i] {
                None => texts[i] = Some(Cow::Borrowed(value)),
                Some(text) => {
                    let text = text.to_mut();
                    text.push(',');
                    text.push_str(value);
                }
            }
        }
        texts.iter().flatten().for_each(|text| told.read(text));
        if texts.iter().all(Option::is_none)
            && let Some(text) = argument(target)
        {
            told.read(&text);
        }
        told
    }

    /// Reads a report's lines; each is one report (CTA-5004-A, event mode).
    pub fn reports(body: &[u8]) -> Vec<Self> {
        let Ok(text) = std::str::from_utf8(body) else { return Vec::new() };
        let lines = text.lines().map(str::trim).filter(|l| !l.is_empty()).take(MAX_REPORTS);
        lines.map(Cmcd::parse).collect()
    }

    /// Reads one text of keys and values.
    pub fn parse(text: &str) -> Self {
        let mut told = Cmcd::default();
        told.read(text);
        told
    }

    fn read(&mut self, text: &str) {
        let members = (text.len() <= MAX_BYTES).then(|| parse_dictionary(text)).flatten();
        let Some(members) = members else {
            self.ignored += 1;
            return;
        };
        for (name, member) in members {
            let kept = match find(&name) {
                Some(key) => value(key.kind, member).map(|v| self.put(key.name, v)).is_some(),
                None if name.contains('-') && self.custom.len() < MAX_CUSTOM => {
                    own(member).map(|v| self.custom.push((name, v))).is_some()
                }
                None => false,
            };
            self.ignored += u32::from(!kept);
        }
    }

    fn put(&mut self, name: &'static str, value: Value) {
        match self.reserved.binary_search_by(|r| r.0.cmp(name)) {
            Ok(at) => self.reserved[at].1 = value,
            Err(at) => self.reserved.insert(at, (name, value)),
        }
    }

    /// The version that it says it is of; without one it is 1.
    pub fn version(&self) -> u64 {
        self.integer("v").unwrap_or(1)
    }

    /// Whether nothing is told.
    pub fn is_empty(&self) -> bool {
        self.reserved.is_empty() && self.custom.is_empty()
    }

    /// The value of a reserved key.
    pub fn get(&self, name: &str) -> Option<&Value> {
        self.reserved.iter().find(|r| r.0 == name).map(|r| &r.1)
    }

    /// A whole number; of several by type of object the one of video, or of all together, or else the first.
    pub fn integer(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Value::Integer(n) => Some(*n),
            Value::Integers(all) => {
                let of = |kinds: &[&str]| {
                    all.iter().find(|(_, t)| t.as_deref().is_some_and(|t| kinds.contains(&t))).map(|a| a.0)
                };
                of(&["v", "av"]).or_else(|| all.first().map(|a| a.0))
            }
            _ => None,
        }
    }

    /// A text or a token; of several texts the first.
    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Value::Text(t) | Value::Token(t) => Some(t),
            Value::Texts(all) => all.first().map(String::as_str),
            _ => None,
        }
    }

    /// Whether a flag is set.
    pub fn flag(&self, name: &str) -> bool {
        self.get(name) == Some(&Value::Flag)
    }

    /// Sets a reserved key; one that is not known, or whose kind is another, changes nothing and gives false.
    pub fn set(&mut self, name: &str, value: Value) -> bool {
        let Some(key) = find(name) else { return false };
        let fits = match (&value, key.kind) {
            (Value::Integer(n), Kind::Integer) => *n < 1_000_000_000_000_000,
            (Value::Integers(all), Kind::Integer) => {
                !all.is_empty() && all.iter().all(|a| a.0 < 1_000_000_000_000_000)
            }
            (Value::Decimal(n), Kind::Decimal) => *n < 1_000_000_000_000_000,
            (Value::Text(t), Kind::Text(most)) => sound(t, most),
            (Value::Texts(all), Kind::Text(most)) => !all.is_empty() && all.iter().all(|t| sound(t, most)),
            (Value::Token(t), Kind::Token(known)) => known.contains(&t.as_str()),
            (Value::Flag, Kind::Flag) => true,
            _ => false,
        };
        if fits {
            self.put(key.name, value);
        }
        fits
    }

    /// With a whole number.
    #[must_use]
    pub fn with(mut self, name: &str, number: u64) -> Self {
        self.set(name, Value::Integer(number));
        self
    }

    /// With a text, or a token where the key takes one.
    #[must_use]
    pub fn with_text(mut self, name: &str, text: &str) -> Self {
        let _ = self.set(name, Value::Text(text.into())) || self.set(name, Value::Token(text.into()));
        self
    }

    /// With a flag.
    #[must_use]
    pub fn with_flag(mut self, name: &str) -> Self {
        self.set(name, Value::Flag);
        self
    }

    fn dictionary(&self, of: impl Fn(&Key) -> bool) -> Dictionary {
        let known = KEYS.iter().filter(|k| of(k));
        let mut all: Dictionary =
            known.filter_map(|k| Some((k.name.to_owned(), write(k, self.get(k.name)?)?))).collect();
        if of(&KEYS[0]) {
            // Custom keys go with what is of the object, as the first of the fields.
            all.extend(self.custom.iter().filter_map(|(n, v)| Some((n.clone(), member(v, 1)?))));
        }
        all
    }

    /// The header fields that tell this, those that are not empty, in the order of their names.
    pub fn fields(&self) -> Vec<(&'static str, String)> {
        let of = |field: Field| write_dictionary(&self.dictionary(|k| k.field == field));
        Field::ALL.into_iter().map(|f| (f.name(), of(f))).filter(|(_, text)| !text.is_empty()).collect()
    }

    /// The text that tells this: a line of a report, or what a query holds before it is encoded.
    pub fn encode(&self) -> String {
        write_dictionary(&self.dictionary(|_| true)).replace(", ", ",")
    }

    /// The argument of a query, `CMCD=...`.
    pub fn query(&self) -> String {
        format!("{ARGUMENT}={}", utf8_percent_encode(&self.encode(), KEPT))
    }
}

/// The decoded argument of a query; `None`: there is none, or it is no text, or too long.
fn argument(target: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let query = query.split_once('#').map_or(query, |(q, _)| q);
    let raw = query.split('&').find_map(|a| a.strip_prefix(ARGUMENT)?.strip_prefix('='))?;
    if raw.len() > 3 * MAX_BYTES {
        return None;
    }
    percent_decode_str(raw).decode_utf8().ok().map(|t| t.into_owned())
}

fn sound(text: &str, most: usize) -> bool {
    text.len() <= most && text.bytes().all(|b| (0x20..0x7f).contains(&b))
}

fn whole(bare: &Bare) -> Option<u64> {
    match bare {
        Bare::Integer(n) => u64::try_from(*n).ok(),
        _ => None,
    }
}

/// A member as a value of a kind.
fn value(kind: Kind, member: Member) -> Option<Value> {
    match (kind, member) {
        (Kind::Integer, Member::Item(i)) => whole(&i.value).map(Value::Integer),
        (Kind::Integer, Member::Inner(all, _)) => {
            let one = |i: &Item| {
                let object = i.params.iter().map(|p| p.0.as_str()).find(|n| crate::keys::OBJECTS.contains(n));
                Some((whole(&i.value)?, object.map(str::to_owned)))
            };
            let all: Option<Vec<_>> = all.iter().map(one).collect();
            all.filter(|a| !a.is_empty() && a.len() <= 16).map(Value::Integers)
        }
        (Kind::Decimal, Member::Item(i)) => match i.value {
            Bare::Decimal(n) => u64::try_from(n).ok().map(Value::Decimal),
            Bare::Integer(n) => u64::try_from(n).ok()?.checked_mul(1000).map(Value::Decimal),
            _ => None,
        },
        (Kind::Text(most), Member::Item(Item { value: Bare::String(t), .. })) => {
            (t.len() <= most).then_some(Value::Text(t))
        }
        (Kind::Text(most), Member::Inner(all, _)) => {
            let one = |i: &Item| match &i.value {
                Bare::String(t) if t.len() <= most => Some(t.clone()),
                _ => None,
            };
            let all: Option<Vec<_>> = all.iter().map(one).collect();
            all.filter(|a| !a.is_empty() && a.len() <= 16).map(Value::Texts)
        }
        // A value that is not known is of a later version; it is left out.
        (Kind::Token(known), Member::Item(Item { value: Bare::Token(t), .. })) => {
            known.contains(&t.as_str()).then_some(Value::Token(t))
        }
        (Kind::Flag, Member::Item(Item { value: Bare::Boolean(true), .. })) => Some(Value::Flag),
        _ => None,
    }
}

/// A custom key's value.
fn own(member: Member) -> Option<Value> {
    let Member::Item(item) = member else { return None };
    match item.value {
        Bare::Integer(n) => u64::try_from(n).ok().map(Value::Integer),
        Bare::Decimal(n) => u64::try_from(n).ok().map(Value::Decimal),
        Bare::String(t) if t.len() <= 128 => Some(Value::Text(t)),
        Bare::Token(t) if t.len() <= 128 => Some(Value::Token(t)),
        Bare::Boolean(true) => Some(Value::Flag),
        _ => None,
    }
}

fn write(key: &Key, value: &Value) -> Option<Member> {
    // Version 1 is not written (CTA-5004 section 3); the usual rate neither.
    let usual = (key.name == "v" && *value == Value::Integer(1))
        || (key.name == "pr" && *value == Value::Decimal(1000));
    if usual { None } else { member(value, key.grain) }
}

fn member(value: &Value, grain: u64) -> Option<Member> {
    let item = |value: Bare| Item { value, params: Vec::new() };
    let number = |n: u64| {
        let rounded = (n.saturating_add(grain / 2) / grain).saturating_mul(grain);
        i64::try_from(rounded).ok().map(Bare::Integer)
    };
    Some(match value {
        Value::Integer(n) => Member::Item(item(number(*n)?)),
        Value::Decimal(n) => Member::Item(item(Bare::Decimal(i64::try_from(*n).ok()?))),
        Value::Text(t) => Member::Item(item(Bare::String(t.clone()))),
        Value::Token(t) => Member::Item(item(Bare::Token(t.clone()))),
        Value::Flag => Member::Item(item(Bare::Boolean(true))),
        Value::Integers(all) => {
            let one = |(n, object): &(u64, Option<String>)| {
                let params = object.iter().map(|o| (o.clone(), Bare::Boolean(true))).collect();
                Some(Item { value: number(*n)?, params })
            };
            Member::Inner(all.iter().map(one).collect::<Option<Vec<_>>>()?, Vec::new())
        }
        Value::Texts(all) => {
            Member::Inner(all.iter().map(|t| item(Bare::String(t.clone()))).collect(), Vec::new())
        }
    })
}

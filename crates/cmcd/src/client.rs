//! CMCD: what a player tells with a request, or reports by itself.

use crate::keys::{Field, KEYS, Key, Kind, find};
use crate::{MAX_BYTES, MAX_CUSTOM, MAX_REPORTS};
use micadyke_http::Headers;
use micadyke_http::structured::{
    BareItem, Decimal, Dictionary, InnerList, Integer, Item, Key as Name, ListEntry, Text, Token,
    parse_dictionary, write_dictionary,
};
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
            let kept = match find(name.as_str()) {
                Some(key) => value(key.kind, member).map(|v| self.put(key.name, v)).is_some(),
                None if name.as_str().contains('-') && self.custom.len() < MAX_CUSTOM => {
                    own(member).map(|v| self.custom.push((name.into(), v))).is_some()
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
            known.filter_map(|k| Some((name(k.name)?, write(k, self.get(k.name)?)?))).collect();
        if of(&KEYS[0]) {
            // Custom keys go with what is of the object, as the first of the fields.
            all.extend(self.custom.iter().filter_map(|(n, v)| Some((name(n)?, member(v, 1)?))));
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

fn name(text: &str) -> Option<Name> {
    Name::from_string(text.to_owned()).ok()
}

fn whole(bare: &BareItem) -> Option<u64> {
    bare.as_integer().and_then(|n| u64::try_from(n).ok())
}

fn thousandths(number: Decimal) -> Option<u64> {
    u64::try_from(number.as_integer_scaled_1000()).ok()
}

/// A member as a value of a kind.
fn value(kind: Kind, member: ListEntry) -> Option<Value> {
    let all = match member {
        ListEntry::Item(item) => return one(kind, item.bare_item),
        ListEntry::InnerList(list) => Some(list.items).filter(|a| !a.is_empty() && a.len() <= 16)?,
    };
    match kind {
        Kind::Integer => {
            let one = |i: &Item| {
                let object = i.params.keys().map(|k| k.as_str()).find(|n| crate::keys::OBJECTS.contains(n));
                Some((whole(&i.bare_item)?, object.map(str::to_owned)))
            };
            all.iter().map(one).collect::<Option<_>>().map(Value::Integers)
        }
        Kind::Text(most) => {
            let one = |i: Item| match i.bare_item {
                BareItem::String(t) if t.as_str().len() <= most => Some(t.into()),
                _ => None,
            };
            all.into_iter().map(one).collect::<Option<_>>().map(Value::Texts)
        }
        _ => None,
    }
}

fn one(kind: Kind, bare: BareItem) -> Option<Value> {
    match (kind, bare) {
        (Kind::Integer, bare) => whole(&bare).map(Value::Integer),
        (Kind::Decimal, BareItem::Decimal(n)) => thousandths(n).map(Value::Decimal),
        (Kind::Decimal, bare) => whole(&bare)?.checked_mul(1000).map(Value::Decimal),
        (Kind::Text(most), BareItem::String(t)) => (t.as_str().len() <= most).then(|| Value::Text(t.into())),
        // A value that is not known is of a later version; it is left out.
        (Kind::Token(known), BareItem::Token(t)) => {
            known.contains(&t.as_str()).then(|| Value::Token(t.into()))
        }
        (Kind::Flag, BareItem::Boolean(true)) => Some(Value::Flag),
        _ => None,
    }
}

/// A custom key's value.
fn own(member: ListEntry) -> Option<Value> {
    let ListEntry::Item(item) = member else { return None };
    match item.bare_item {
        BareItem::Integer(n) => u64::try_from(n).ok().map(Value::Integer),
        BareItem::Decimal(n) => thousandths(n).map(Value::Decimal),
        BareItem::String(t) if t.as_str().len() <= 128 => Some(Value::Text(t.into())),
        BareItem::Token(t) if t.as_str().len() <= 128 => Some(Value::Token(t.into())),
        BareItem::Boolean(true) => Some(Value::Flag),
        _ => None,
    }
}

fn write(key: &Key, value: &Value) -> Option<ListEntry> {
    // Version 1 is not written (CTA-5004 section 3); the usual rate neither.
    let usual = (key.name == "v" && *value == Value::Integer(1))
        || (key.name == "pr" && *value == Value::Decimal(1000));
    if usual { None } else { member(value, key.grain) }
}

/// What can't be written (a number of too many digits, a text that is none) is left out.
fn member(value: &Value, grain: u64) -> Option<ListEntry> {
    let number = |n: u64| {
        let rounded = (n.saturating_add(grain / 2) / grain).saturating_mul(grain);
        Integer::try_from(rounded).ok().map(BareItem::Integer)
    };
    let text = |t: &String| Text::from_string(t.clone()).ok().map(BareItem::String);
    let bare = match value {
        Value::Integer(n) => number(*n)?,
        Value::Decimal(n) => Decimal::from_integer_scaled_1000(Integer::try_from(*n).ok()?).into(),
        Value::Text(t) => text(t)?,
        Value::Token(t) => Token::from_string(t.clone()).ok()?.into(),
        Value::Flag => true.into(),
        Value::Integers(all) => {
            let one = |(n, object): &(u64, Option<String>)| {
                let params = object.iter().map(|o| Some((name(o)?, true.into()))).collect::<Option<_>>()?;
                Some(Item::with_params(number(*n)?, params))
            };
            return Some(InnerList::new(all.iter().map(one).collect::<Option<_>>()?).into());
        }
        Value::Texts(all) => {
            let items = all.iter().map(|t| text(t).map(Item::new)).collect::<Option<_>>()?;
            return Some(InnerList::new(items).into());
        }
    };
    Some(Item::new(bare).into())
}

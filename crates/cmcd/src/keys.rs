//! The reserved keys: type, header field and the version that brought them (CTA-5004 section 3, CTA-5004-A).

/// What a key's value is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A whole number from 0. Version 2 also allows a list of them, one for each type of object.
    Integer,
    /// A number from 0 with up to three digits after the point.
    Decimal,
    /// A text of at most so many characters. Version 2 also allows a list.
    Text(usize),
    /// One of these tokens.
    Token(&'static [&'static str]),
    /// True, or not there.
    Flag,
}

/// The header field that carries a key (CTA-5004 section 2.1); all of them go into one argument of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Field {
    /// `CMCD-Object`: what changes with the object asked for.
    Object,
    /// `CMCD-Request`: what changes with each request.
    Request,
    /// `CMCD-Session`: what does not change over the session.
    Session,
    /// `CMCD-Status`: what changes, but not with each request or object.
    Status,
}

impl Field {
    /// All of them.
    pub const ALL: [Field; 4] = [Field::Object, Field::Request, Field::Session, Field::Status];

    /// The field's name, in lower case.
    pub fn name(self) -> &'static str {
        match self {
            Field::Object => "cmcd-object",
            Field::Request => "cmcd-request",
            Field::Session => "cmcd-session",
            Field::Status => "cmcd-status",
        }
    }
}

/// A reserved key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key {
    /// Its name.
    pub name: &'static str,
    /// What its value is.
    pub kind: Kind,
    /// The header field that carries it.
    pub field: Field,
    /// The version that brought it.
    pub since: u8,
    /// Numbers are written as multiples of this: players round them so that they tell less of who they are.
    pub grain: u64,
}

const fn key(name: &'static str, kind: Kind, field: Field, since: u8, grain: u64) -> Key {
    Key { name, kind, field, since, grain }
}

/// Types of objects (key `ot`).
pub const OBJECTS: &[&str] = &["m", "a", "v", "av", "i", "c", "tt", "k", "o"];
/// States of a player (key `sta`): starting, playing, seeking, rebuffering, paused, waiting, ended, fatal error, quit,
/// preloading.
pub const STATES: &[&str] = &["s", "p", "k", "r", "a", "w", "e", "f", "q", "d"];
/// Events (key `e`): backgrounded, bitrate changed, content changed, custom, error, mute, unmute, rate changed, state
/// changed, response received, skip, time interval, advertisements and breaks.
pub const EVENTS: &[&str] = &[
    "b", "bc", "c", "ce", "e", "m", "um", "pr", "ps", "rr", "sk", "t", "as", "ae", "abs", "abe", "h", "pc",
    "pe",
];

use Field::{Object, Request, Session, Status};
use Kind::{Decimal, Flag, Integer, Text, Token};

/// The reserved keys in the order of their names.
pub const KEYS: &[Key] = &[
    key("ab", Integer, Object, 2, 1),
    key("bg", Flag, Status, 2, 1),
    key("bl", Integer, Request, 1, 100),
    key("br", Integer, Object, 1, 1),
    key("bs", Flag, Status, 1, 1),
    key("bsa", Integer, Status, 2, 1),
    key("bsd", Integer, Status, 2, 1),
    key("bsda", Integer, Status, 2, 1),
    key("cdn", Text(128), Status, 2, 1),
    key("cen", Text(64), Status, 2, 1),
    key("cid", Text(64), Session, 1, 1),
    key("d", Integer, Object, 1, 1),
    key("dfa", Integer, Status, 2, 1),
    key("dl", Integer, Request, 1, 100),
    key("e", Token(EVENTS), Status, 2, 1),
    key("ec", Text(64), Status, 2, 1),
    key("h", Text(128), Status, 2, 1),
    key("lab", Integer, Object, 2, 1),
    key("lb", Integer, Object, 2, 1),
    key("ltc", Integer, Request, 2, 100),
    key("msd", Integer, Session, 2, 1),
    key("mtp", Integer, Request, 1, 100),
    key("nor", Text(1024), Request, 1, 1),
    key("nr", Flag, Status, 2, 1),
    key("nrr", Text(64), Request, 1, 1),
    key("ot", Token(OBJECTS), Object, 1, 1),
    key("pb", Integer, Status, 2, 1),
    key("pr", Decimal, Session, 1, 1),
    key("pt", Integer, Status, 2, 1),
    key("rc", Integer, Status, 2, 1),
    key("rtp", Integer, Status, 1, 100),
    key("sf", Token(&["d", "h", "s", "o"]), Session, 1, 1),
    key("sid", Text(64), Session, 1, 1),
    key("sn", Integer, Request, 2, 1),
    key("st", Token(&["v", "l", "ll"]), Session, 1, 1),
    key("sta", Token(STATES), Status, 2, 1),
    key("su", Flag, Request, 1, 1),
    key("tab", Integer, Object, 2, 1),
    key("tb", Integer, Object, 1, 1),
    key("tbl", Integer, Request, 2, 100),
    key("tpb", Integer, Object, 2, 1),
    key("ts", Integer, Request, 2, 1),
    key("ttfb", Integer, Status, 2, 1),
    key("ttlb", Integer, Status, 2, 1),
    key("url", Text(1024), Status, 2, 1),
    key("v", Integer, Session, 1, 1),
];

/// The reserved key of a name.
pub fn find(name: &str) -> Option<&'static Key> {
    KEYS.binary_search_by(|k| k.name.cmp(name)).ok().map(|i| &KEYS[i])
}

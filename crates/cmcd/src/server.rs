//! CMSD: what servers tell with an answer (CTA-5006). `CMSD-Static` is the origin's and goes through unchanged;
//! `CMSD-Dynamic` gets one entry from each hop, in the order of the way.

use crate::MAX_BYTES;
use micadyke_http::Headers;
use micadyke_http::structured::{
    Dictionary, Integer, Item, Key, ListEntry, Parameters, Text, parse_dictionary, parse_list,
    write_dictionary, write_list,
};

/// Name of the field for what does not change with the way (CTA-5006 section 2).
pub const STATIC: &str = "cmsd-static";
/// Name of the field for what each hop adds.
pub const DYNAMIC: &str = "cmsd-dynamic";
/// Hops that are read, at most; further ones are left out.
pub const MAX_HOPS: usize = 16;

/// What one hop tells.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Hop {
    /// Who it is (key `n`).
    pub name: String,
    /// `mb`: the player should ask for no more than this, kbit/s.
    pub max_bitrate: Option<u64>,
    /// `etp`: throughput that the hop expects towards the player, kbit/s.
    pub throughput: Option<u64>,
    /// `rtt`: round trip to the player, ms.
    pub round_trip: Option<u64>,
    /// `rd`: time from the request to the first byte of the answer, ms.
    pub delay: Option<u64>,
    /// `du`: the hop is under duress.
    pub duress: bool,
}

/// What an answer tells.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Cmsd {
    /// The origin's keys as they are.
    pub fixed: Dictionary,
    /// The hops, from the origin on.
    pub hops: Vec<Hop>,
}

impl Cmsd {
    /// What an answer tells; what is malformed or too long is left out.
    pub fn of(headers: &Headers) -> Self {
        let joined = |name: &str| {
            let all: Vec<&str> = headers.all(name).collect();
            let text = all.join(",");
            (!all.is_empty() && text.len() <= MAX_BYTES).then_some(text)
        };
        let fixed = joined(STATIC).and_then(|t| parse_dictionary(&t)).unwrap_or_default();
        let hops = joined(DYNAMIC).and_then(|t| parse_list(&t)).unwrap_or_default();
        Cmsd { fixed, hops: hops.iter().filter_map(hop).take(MAX_HOPS).collect() }
    }

    /// The least `mb` of all hops: what a player should hold to, kbit/s.
    pub fn max_bitrate(&self) -> Option<u64> {
        self.hops.iter().filter_map(|h| h.max_bitrate).min()
    }

    /// The header fields that tell this, those that are not empty.
    pub fn fields(&self) -> Vec<(&'static str, String)> {
        let hops = self.hops.iter().filter_map(member).collect();
        let all = [(STATIC, write_dictionary(&self.fixed)), (DYNAMIC, write_list(&hops))];
        all.into_iter().filter(|(_, text)| !text.is_empty()).collect()
    }
}

fn hop(member: &ListEntry) -> Option<Hop> {
    let ListEntry::Item(Item { bare_item, params }) = member else { return None };
    let name = bare_item.as_string().map(|t| t.as_str()).or(bare_item.as_token().map(|t| t.as_str()))?;
    let number = |key: &str| params.get(key)?.as_integer().and_then(|n| u64::try_from(n).ok());
    Some(Hop {
        name: name.to_owned(),
        max_bitrate: number("mb"),
        throughput: number("etp"),
        round_trip: number("rtt"),
        delay: number("rd"),
        duress: params.get("du").is_some_and(|v| v.as_boolean() == Some(true)),
    })
}

/// Characters of a name that a text can't hold are left out of it, numbers of more than 15 digits altogether.
fn member(h: &Hop) -> Option<ListEntry> {
    let mut params = Parameters::new();
    if h.duress {
        params.insert(key("du")?, true.into());
    }
    let numbers = [("etp", h.throughput), ("mb", h.max_bitrate), ("rd", h.delay), ("rtt", h.round_trip)];
    for (name, n) in numbers {
        if let Some(n) = n.and_then(|n| Integer::try_from(n).ok()) {
            params.insert(key(name)?, n.into());
        }
    }
    let name = h.name.chars().filter(|c| (' '..='~').contains(c)).collect();
    Some(Item::with_params(Text::from_string(name).ok()?, params).into())
}

fn key(name: &str) -> Option<Key> {
    Key::from_string(name.to_owned()).ok()
}

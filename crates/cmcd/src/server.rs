//! CMSD: what servers tell with an answer (CTA-5006). `CMSD-Static` is the origin's and goes through unchanged;
//! `CMSD-Dynamic` gets one entry from each hop, in the order of the way.

use crate::MAX_BYTES;
use micadyke_http::Headers;
use micadyke_http::structured::{
    Bare, Dictionary, Item, Member, parse_dictionary, parse_list, write_dictionary, write_list,
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
        let hops: Vec<Member> = self.hops.iter().map(member).collect();
        let all = [(STATIC, write_dictionary(&self.fixed)), (DYNAMIC, write_list(&hops))];
        all.into_iter().filter(|(_, text)| !text.is_empty()).collect()
    }
}

fn hop(m: &Member) -> Option<Hop> {
    let Member::Item(Item { value: Bare::String(name) | Bare::Token(name), params }) = m else { return None };
    let number = |key: &str| {
        params.iter().find(|p| p.0 == key).and_then(|p| match p.1 {
            Bare::Integer(n) => u64::try_from(n).ok(),
            _ => None,
        })
    };
    Some(Hop {
        name: name.clone(),
        max_bitrate: number("mb"),
        throughput: number("etp"),
        round_trip: number("rtt"),
        delay: number("rd"),
        duress: params.iter().any(|p| p.0 == "du" && p.1 == Bare::Boolean(true)),
    })
}

fn member(h: &Hop) -> Member {
    let mut params = Vec::new();
    if h.duress {
        params.push(("du".to_owned(), Bare::Boolean(true)));
    }
    let numbers = [("etp", h.throughput), ("mb", h.max_bitrate), ("rd", h.delay), ("rtt", h.round_trip)];
    for (key, n) in numbers {
        if let Some(n) = n.and_then(|n| i64::try_from(n).ok()) {
            params.push((key.to_owned(), Bare::Integer(n)));
        }
    }
    Member::Item(Item { value: Bare::String(h.name.clone()), params })
}

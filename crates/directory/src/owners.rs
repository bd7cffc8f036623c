//! Owners by rendezvous over those that live.

use crate::{Owners, Point, hash};
use std::collections::BTreeSet;

/// Copies of each entry.
const COPIES: usize = 2;
/// The ring is cut into so many parts, each owned as one: a change of members costs this many draws for each member.
const PARTS: usize = 1024;

/// Each part of the ring is owned by the two members that draw highest for it (D. Thaler, C. Ravishankar: "Using name-based
/// mappings to increase hit rates", 1998): one member more or fewer moves what it owns and nothing else.
///
/// Its number is a digest of the names: to be compared for equality, never for order.
///
/// ```
/// use micadyke_directory::{Key, Owners, Rendezvous};
///
/// let three = Rendezvous::new(["a", "b", "c"]);
/// let two = Rendezvous::new(["a", "c"]);
/// let point = Key::Title("news".into()).point();
/// assert_eq!(three.owners(point).len(), 2);
/// if !three.owners(point).contains(&"b".to_owned()) {
///     assert_eq!(three.owners(point), two.owners(point));
/// }
/// assert_eq!(three.number(), Rendezvous::new(["c", "b", "a"]).number());
/// ```
#[derive(Debug, Clone)]
pub struct Rendezvous {
    number: u64,
    names: Vec<String>,
    parts: Vec<[u16; COPIES]>,
}

/// A draw that is the same everywhere (the finalizer of S. Vigna's SplitMix64).
fn draw(name: u64, part: u64) -> u64 {
    let mut z = name ^ part.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

impl Rendezvous {
    /// The owners among these members; the first 65,535 by name where there are more.
    pub fn new<T: Into<String>>(names: impl IntoIterator<Item = T>) -> Self {
        let names: BTreeSet<String> = names.into_iter().map(Into::into).collect();
        let names: Vec<String> = names.into_iter().take(usize::from(u16::MAX)).collect();
        let hashes: Vec<u64> = names.iter().map(|n| hash(&[n.as_bytes()])).collect();
        let number = hashes.iter().fold(names.len() as u64, |sum, h| sum.wrapping_add(*h));
        let best = |part: u64| {
            let mut best = [(0, u16::MAX); COPIES];
            for (place, name) in hashes.iter().enumerate() {
                let mut drawn = (draw(*name, part), place as u16);
                for held in &mut best {
                    if held.1 == u16::MAX || drawn.0 > held.0 {
                        std::mem::swap(held, &mut drawn);
                    }
                }
            }
            best.map(|b| b.1)
        };
        Rendezvous { number, parts: (0..PARTS as u64).map(best).collect(), names }
    }
}

impl Owners for Rendezvous {
    fn number(&self) -> u64 {
        self.number
    }

    fn owners(&self, point: Point) -> Vec<String> {
        let part = self.parts[(point >> (u64::BITS - PARTS.ilog2())) as usize];
        part.iter().filter_map(|p| self.names.get(usize::from(*p)).cloned()).collect()
    }
}

//! Who a member is: a name, an address and a start.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::net::SocketAddr;

/// Bytes of a name at most.
pub const NAME: usize = 64;
/// Members known at most, those that are gone included; what names more is dropped.
pub const MOST_MEMBERS: usize = 4096;

/// A process that takes part. Of two under one name the later start wins, whatever their clocks say: a start that finds
/// a later one known counts on from there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Plain")]
pub struct Member {
    /// Its name; the same after a restart.
    pub name: String,
    /// Where it takes datagrams.
    pub addr: SocketAddr,
    /// Its start: a number that grows with each process under this name.
    pub start: u64,
    /// How often this start was given up by the others and took its place again.
    pub turn: u32,
    /// It takes its leave.
    pub leaving: bool,
    /// Stands for the name where names are compared with those of all others, at each update.
    #[serde(skip_serializing)]
    pub(crate) key: Key,
}

/// The beginning of the SHA-256 of a name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key([u8; 16]);

impl Key {
    fn of(name: &str) -> Self {
        let hash = Sha256::digest(name.as_bytes());
        Key(hash.first_chunk().copied().unwrap_or_default())
    }
}

#[derive(Deserialize)]
struct Plain {
    name: String,
    addr: SocketAddr,
    start: u64,
    turn: u32,
    leaving: bool,
}

impl TryFrom<Plain> for Member {
    type Error = &'static str;

    fn try_from(p: Plain) -> Result<Self, Self::Error> {
        let Plain { name, addr, start, turn, leaving } = p;
        match Member::sound_name(&name) {
            true => Ok(Member { key: Key::of(&name), name, addr, start, turn, leaving }),
            false => Err("a name that no member bears"),
        }
    }
}

impl Member {
    /// A member at its start.
    pub fn new(name: &str, addr: SocketAddr, start: u64) -> Self {
        Member { key: Key::of(name), name: name.to_owned(), addr, start, turn: 0, leaving: false }
    }

    /// Whether a member may bear this name.
    pub fn sound_name(name: &str) -> bool {
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
        !name.is_empty() && name.len() <= NAME && name.bytes().all(plain)
    }

    /// Of two under one name the higher rank wins; the address only keeps the order total.
    pub(crate) fn rank(&self) -> (u64, u32, bool, SocketAddr) {
        (self.start, self.turn, self.leaving, self.addr)
    }
}

impl foca::Identity for Member {
    type Addr = Key;

    /// Given up by the others though it lives: the same start takes its next turn.
    fn renew(&self) -> Option<Self> {
        let turn = self.turn.checked_add(1).filter(|_| !self.leaving)?;
        Some(Member { turn, ..self.clone() })
    }

    fn addr(&self) -> Key {
        self.key
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.rank() > adversary.rank()
    }
}

//! The identity of a member: a name, an address and a start number.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::net::SocketAddr;

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum number of known members, including those that are gone. Datagrams of further members are dropped.
pub const MAX_MEMBERS: usize = 4096;

/// A process that takes part in the fleet. Of two processes with one name the later start wins. This does not depend on
/// clocks: a process that learns of a higher start number when it starts continues from there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Plain")]
pub struct Member {
    /// Its name, which stays the same after a restart.
    pub name: String,
    /// Its address for datagrams.
    pub addr: SocketAddr,
    /// Its start number, which increases with each process of this name.
    pub start: u64,
    /// How often this process rejoined after the others had declared it down.
    pub turn: u32,
    /// It is leaving the fleet.
    pub leaving: bool,
    /// A hash of the name, for fast comparison with the names of all other members at each update.
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
        match Member::is_valid_name(&name) {
            true => Ok(Member { key: Key::of(&name), name, addr, start, turn, leaving }),
            false => Err("invalid name of a member"),
        }
    }
}

impl Member {
    /// A member at its start.
    pub fn new(name: &str, addr: SocketAddr, start: u64) -> Self {
        Member { key: Key::of(name), name: name.to_owned(), addr, start, turn: 0, leaving: false }
    }

    /// Whether this is a valid name of a member.
    pub fn is_valid_name(name: &str) -> bool {
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
        !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(plain)
    }

    /// Of two identities with one name the higher rank wins. The address only makes the order total.
    pub(crate) fn rank(&self) -> (u64, u32, bool, SocketAddr) {
        (self.start, self.turn, self.leaving, self.addr)
    }
}

impl foca::Identity for Member {
    type Addr = Key;

    /// The identity with which a member rejoins that was declared down although it is alive.
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

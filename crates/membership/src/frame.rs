//! Datagrams: what is not of this fleet is dropped before it is read.
//!
//! ```text
//! datagram = "mdy" version:1 fleet:8 head payload mac:16
//! ```
//!
//! `fleet` is the beginning of the SHA-256 of the fleet's name, `mac` that of the HMAC-SHA-256 (RFC 2104) of all before
//! it, by the key that all members were given. Head and payload are postcard's.

use crate::identity::Member;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of a datagram at most: under the least MTU of usual networks, so that none is cut up on its way.
pub const LONGEST: usize = 1400;
/// Bytes that frame and head take at most.
pub const OVERHEAD: usize = 176;
/// Bytes that are left for a payload.
pub const ROOM: usize = LONGEST - OVERHEAD;
/// Bytes of a key at least.
pub const KEY: usize = 16;
const MAGIC: &[u8; 3] = b"mdy";
/// Version of the format; others are dropped, and counted as such.
pub const VERSION: u8 = 1;
const TAG: usize = 8;
const MAC: usize = 16;

/// What a datagram is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A message of SWIM is in the payload.
    Swim,
    /// Is anybody there?
    Hello,
    /// The answer to [`Kind::Hello`].
    Welcome,
    /// The name of whom this goes to is known with a later start.
    Outranked {
        /// The latest start known.
        start: u64,
        /// The sender takes the process of that start for living.
        alive: bool,
    },
    /// Whom this goes to is suspected by the sender.
    Suspected {
        /// At this incarnation.
        incarnation: u16,
    },
    /// News of servers is in the payload.
    News,
    /// A word about shares is in the payload.
    Share,
    /// A page of the view is asked for; by people's tools, which are no members.
    Ask {
        /// Which, from 0.
        page: u16,
    },
    /// A page of the view, in the payload.
    Page,
    /// Members that went are named in the payload, to one whose view differs.
    Gone,
    /// The payload is another package's, under its number.
    Topic(u8),
    /// A word about one that is suspected is in the payload.
    Doubt,
}

/// What stands ahead of each payload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// What this is.
    pub kind: Kind,
    /// Who sends it.
    pub sender: Member,
    /// Digest of the sender's view.
    pub digest: u64,
    /// Members in it that live.
    pub members: u32,
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dropped {
    /// Too short or too long to be one.
    Size,
    /// Not of this protocol.
    Foreign,
    /// Of another version of it.
    Version,
    /// Of another fleet.
    Fleet,
    /// Not by a holder of the key.
    Forged,
    /// By a holder of the key, and yet not to be read.
    Malformed,
}

/// A fleet's name and key.
#[derive(Clone)]
pub struct Seal {
    tag: [u8; TAG],
    mac: Hmac<Sha256>,
}

impl std::fmt::Debug for Seal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Seal").field("tag", &self.tag).finish_non_exhaustive()
    }
}

impl Seal {
    /// The seal of a fleet; `None` where the key is shorter than [`KEY`].
    pub fn new(fleet: &str, key: &[u8]) -> Option<Self> {
        let mac = Hmac::new_from_slice(key).ok().filter(|_| key.len() >= KEY)?;
        let mut tag = [0; TAG];
        tag.copy_from_slice(&Sha256::digest(fleet.as_bytes())[..TAG]);
        Some(Seal { tag, mac })
    }

    /// A datagram; `None` where the payload is too long for one.
    pub fn close(&self, head: &Head, payload: &[u8]) -> Option<Vec<u8>> {
        let mut bytes = Vec::with_capacity(LONGEST);
        bytes.extend_from_slice(MAGIC);
        bytes.push(VERSION);
        bytes.extend_from_slice(&self.tag);
        let mut bytes = postcard::to_extend(head, bytes).ok()?;
        bytes.extend_from_slice(payload);
        let mac = self.mac.clone().chain_update(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&mac[..MAC]);
        (bytes.len() <= LONGEST).then_some(bytes)
    }

    /// Head and payload of a datagram.
    ///
    /// # Errors
    ///
    /// Why it is none of this fleet; nothing of it was read before the key was checked.
    pub fn open<'b>(&self, bytes: &'b [u8]) -> Result<(Head, &'b [u8]), Dropped> {
        let start = MAGIC.len() + 1 + TAG;
        if bytes.len() <= start + MAC || bytes.len() > LONGEST {
            return Err(Dropped::Size);
        }
        if !bytes.starts_with(MAGIC) {
            return Err(Dropped::Foreign);
        }
        if bytes[MAGIC.len()] != VERSION {
            return Err(Dropped::Version);
        }
        if bytes[MAGIC.len() + 1..start] != self.tag {
            return Err(Dropped::Fleet);
        }
        let (body, mac) = bytes.split_at(bytes.len() - MAC);
        self.mac.clone().chain_update(body).verify_truncated_left(mac).map_err(|_| Dropped::Forged)?;
        postcard::take_from_bytes(&body[start..]).map_err(|_| Dropped::Malformed)
    }
}

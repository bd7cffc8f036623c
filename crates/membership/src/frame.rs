//! The format of datagrams. Datagrams that are not of this fleet are dropped before their content is decoded.
//!
//! ```text
//! datagram = "mdy" version:1 fleet:8 head payload mac:16
//! ```
//!
//! `fleet` is the beginning of the SHA-256 of the fleet's name, and `mac` the beginning of the HMAC-SHA-256 (RFC 2104) of
//! all preceding bytes with the fleet's key. Head and payload are encoded by postcard.

use crate::identity::Member;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Maximum size of a datagram in bytes, below the MTU of usual networks, so that none is fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Maximum number of bytes that frame and head take.
pub const MAX_OVERHEAD_BYTES: usize = 176;
/// Maximum size of a payload in bytes.
pub const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - MAX_OVERHEAD_BYTES;
/// Minimum length of a key in bytes.
pub const MIN_KEY_BYTES: usize = 16;
const MAGIC: &[u8; 3] = b"mdy";
/// Version of the format. Datagrams of other versions are dropped and counted.
pub const VERSION: u8 = 1;
const FLEET_TAG_BYTES: usize = 8;
const MAC_BYTES: usize = 16;

/// The kind of a datagram. The order of the variants is part of the format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// The payload is a message of the SWIM library.
    Swim,
    /// Asks whether a member is there.
    Hello,
    /// The answer to [`Kind::Hello`].
    Welcome,
    /// The sender knows a later start of the receiver's name.
    Outranked {
        /// The latest start known.
        start: u64,
        /// The sender believes that the process of that start is alive.
        alive: bool,
    },
    /// The sender suspects the receiver.
    Suspected {
        /// The incarnation of the receiver that is suspected.
        incarnation: u16,
    },
    /// The payload contains reports about servers.
    ServerReports,
    /// The payload is a message about budget shares.
    Share,
    /// Requests a page of the view. Sent by operators' tools, which are not members.
    PageRequest {
        /// The number of the page, from 0.
        page: u16,
    },
    /// The payload is a page of the view.
    Page,
    /// The payload lists members that are gone, for a receiver with a different view.
    Removed,
    /// The payload is a message of the package with this number.
    Message(u8),
    /// The payload is a message about a suspected member.
    Suspicion,
}

/// The head that precedes each payload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The kind of the datagram.
    pub kind: Kind,
    /// The sender.
    pub sender: Member,
    /// The digest of the sender's view.
    pub digest: u64,
    /// The number of members that are alive in the sender's view.
    pub members: u32,
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dropped {
    /// It is too short or too long.
    Size,
    /// It is not of this protocol.
    UnknownProtocol,
    /// It has another version of the protocol.
    Version,
    /// It belongs to another fleet.
    Fleet,
    /// Its authentication code is wrong.
    Forged,
    /// It is authentic but can't be decoded.
    Malformed,
}

/// Encodes and decodes datagrams with a fleet's name and key.
#[derive(Clone)]
pub struct FrameCodec {
    tag: [u8; FLEET_TAG_BYTES],
    mac: Hmac<Sha256>,
}

impl std::fmt::Debug for FrameCodec {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FrameCodec").field("tag", &self.tag).finish_non_exhaustive()
    }
}

impl FrameCodec {
    /// The codec of a fleet; `None` if the key is shorter than [`MIN_KEY_BYTES`].
    pub fn new(fleet: &str, key: &[u8]) -> Option<Self> {
        let mac = Hmac::new_from_slice(key).ok().filter(|_| key.len() >= MIN_KEY_BYTES)?;
        let mut tag = [0; FLEET_TAG_BYTES];
        tag.copy_from_slice(&Sha256::digest(fleet.as_bytes())[..FLEET_TAG_BYTES]);
        Some(FrameCodec { tag, mac })
    }

    /// Encodes a datagram; `None` if the payload is too long.
    pub fn encode(&self, head: &Head, payload: &[u8]) -> Option<Vec<u8>> {
        let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        bytes.extend_from_slice(MAGIC);
        bytes.push(VERSION);
        bytes.extend_from_slice(&self.tag);
        let mut bytes = postcard::to_extend(head, bytes).ok()?;
        bytes.extend_from_slice(payload);
        let mac = self.mac.clone().chain_update(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&mac[..MAC_BYTES]);
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// Decodes a datagram into head and payload.
    ///
    /// # Errors
    ///
    /// Why the datagram is not accepted. The authentication code is checked before the content is decoded.
    pub fn decode<'b>(&self, bytes: &'b [u8]) -> Result<(Head, &'b [u8]), Dropped> {
        let start = MAGIC.len() + 1 + FLEET_TAG_BYTES;
        if bytes.len() <= start + MAC_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(Dropped::Size);
        }
        if !bytes.starts_with(MAGIC) {
            return Err(Dropped::UnknownProtocol);
        }
        if bytes[MAGIC.len()] != VERSION {
            return Err(Dropped::Version);
        }
        if bytes[MAGIC.len() + 1..start] != self.tag {
            return Err(Dropped::Fleet);
        }
        let (body, mac) = bytes.split_at(bytes.len() - MAC_BYTES);
        self.mac.clone().chain_update(body).verify_truncated_left(mac).map_err(|_| Dropped::Forged)?;
        postcard::take_from_bytes(&body[start..]).map_err(|_| Dropped::Malformed)
    }
}

//! Hashes of names, the same at every node.
//!
//! Names come from settings and lists, not from an adversary, so the hash need not be cryptographic. It has to be fast:
//! 2,400 names are hashed for each turn.

/// Hashes a name of a kind with FNV-1a and a final mix. The same name of different kinds has different hashes.
pub(crate) fn hash_name(kind: &str, name: &str) -> u64 {
    let bytes = kind.bytes().chain([0]).chain(name.bytes());
    let fnv =
        bytes.fold(0xcbf2_9ce4_8422_2325, |sum: u64, b| (sum ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    mix(fnv)
}

/// The output function of splitmix64.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Combines two hashes into one.
pub(crate) fn combine(a: u64, b: u64) -> u64 {
    mix(a ^ mix(b.wrapping_add(0x9e37_79b9_7f4a_7c15)))
}

/// Maps a hash to the open interval from 0 to 1.
pub(crate) fn to_unit_interval(x: u64) -> f64 {
    ((x >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

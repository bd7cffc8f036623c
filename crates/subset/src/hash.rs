//! Numbers that stand for names, the same at every node. Names come from settings and lists, from nobody who would choose
//! them for their number: nothing here needs to be hard to turn round, and 2,400 names are gone through for each turn.

/// The number of a name of a kind (FNV-1a, stirred); kinds do not meet.
pub(crate) fn name(kind: &str, name: &str) -> u64 {
    let bytes = kind.bytes().chain([0]).chain(name.bytes());
    let fnv =
        bytes.fold(0xcbf2_9ce4_8422_2325, |sum: u64, b| (sum ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    stir(fnv)
}

/// The finish of splitmix64.
fn stir(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Two numbers stirred to one.
pub(crate) fn pair(a: u64, b: u64) -> u64 {
    stir(a ^ stir(b.wrapping_add(0x9e37_79b9_7f4a_7c15)))
}

/// Between 0 and 1, without either.
pub(crate) fn unit(x: u64) -> f64 {
    ((x >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

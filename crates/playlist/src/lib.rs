//! HLS playlists (RFC 8216) and DASH manifests (ISO/IEC 23009-1), read and rewritten as far as a session front needs:
//! which renditions they offer, at what rate, and where their references lead. All else passes unchanged, byte for byte.
//!
//! Text is read with limits on every length and count. What breaks the format, or cannot be rewritten soundly, is a
//! [`Fault`] with its line: a manifest that is half rewritten would lead players past the front.

pub mod dash;
pub mod hls;
pub mod reference;

pub use reference::Target;

/// Bytes of a manifest at most.
pub const MAX_BYTES: usize = 4 << 20;
/// Lines of a playlist, or elements of a manifest, at most.
pub const MAX_PARTS: usize = 100_000;
/// Bytes of a line of a playlist, or of a tag of a manifest, at most.
pub const MAX_LINE: usize = 16 << 10;
/// Renditions that one manifest may offer; beyond that it is refused.
pub const MAX_RENDITIONS: usize = 512;
/// Attributes of one tag at most.
pub const MAX_ATTRIBUTES: usize = 64;
/// Elements within elements at most.
pub const MAX_DEPTH: usize = 32;

/// How a manifest is rewritten.
pub struct Rules<'a> {
    /// Absolute path of the manifest where it comes from; references are resolved against it.
    pub own: &'a str,
    /// Of renditions at these rates, in bits a second and in their order, which are offered on. At least one must be.
    pub keep: &'a dyn Fn(&[u64]) -> Vec<bool>,
    /// Where a reference leads from now on.
    pub lead: &'a dyn Fn(&Target) -> String,
}

impl std::fmt::Debug for Rules<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Rules {{ own: {:?} }}", self.own)
    }
}

/// A manifest after that.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rewritten {
    /// Its text.
    pub text: String,
    /// Rates of the renditions that it offered, in bits a second; empty: it offers none (a media playlist).
    pub offered: Vec<u64>,
    /// Which of them it still offers.
    pub kept: Vec<bool>,
    /// It goes on being changed: players ask for it again.
    pub live: bool,
}

/// What is wrong with a manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Where, from 1.
    pub line: usize,
    /// What.
    pub what: &'static str,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

impl std::error::Error for Fault {}

fn fault<T>(line: usize, what: &'static str) -> Result<T, Fault> {
    Err(Fault { line, what })
}

/// The renditions that are offered on; whatever was chosen, one at least.
fn chosen(rules: &Rules<'_>, offered: &[u64]) -> Vec<bool> {
    let mut kept = (rules.keep)(offered);
    kept.resize(offered.len(), false);
    if !kept.contains(&true)
        && let Some(lowest) = offered.iter().enumerate().min_by_key(|o| o.1).map(|o| o.0)
    {
        kept[lowest] = true;
    }
    kept
}

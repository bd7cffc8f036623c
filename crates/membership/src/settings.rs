//! Settings of membership: a checked S-expression beside the node's configuration.
//!
//! ```text
//! (membership
//!   (fleet "vembanad-media")
//!   (name "n3")
//!   (listen "10.0.0.4:7946")
//!   (advertise "10.0.0.4:7946")        ; where others reach it, if not by `listen`
//!   (key-file "fleet.key")             ; 16 bytes at least, the same at all members
//!   (seeds "10.0.0.1:7946" "10.0.0.2:7946")
//!   (expected 300)                     ; members of the whole fleet
//!   (period 500ms)                     ; each member probes one other so often
//!   (remember 24h)                     ; who was given up is called again for so long
//!   (rate 64kB/s)                      ; sent at most, beyond a burst of 64 KiB
//!   (shares (always 50%) (lease 3s) (drift 1%)))  ; off where not given; for fleets of members alone
//! ```

use crate::identity::{MOST_MEMBERS, Member, NAME};
use crate::share::Terms;
use crate::{MS, Nanos, SECOND};
use micadyke_config::units::Unit;
use micadyke_config::{Diagnostic, Form, read_file};
use std::net::SocketAddr;
use std::num::NonZeroU8;

/// An update is handed on so many times the logarithm of the fleet's size (memberlist's retransmit multiplier).
const RETRANSMIT: f64 = 4.0;
/// Updates are handed on beside probes to so many members at a time, after this part of a period (memberlist: 200 ms,
/// three members, beside a period of 1 s).
pub(crate) const GOSSIP: usize = 3;
pub(crate) const GOSSIP_PART: (u32, u32) = (2, 5);
/// Seeds at most.
const SEEDS: usize = 64;
/// Forms of others that may stand in the same file.
const BESIDE: [&str; 2] = ["directory", "subset"];
/// Rate of sending where none is stated, in bytes a second.
const RATE: u64 = 64_000;

/// What a member is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The fleet's name: datagrams of others are dropped.
    pub fleet: String,
    /// This member's name.
    pub name: String,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where the others reach it.
    pub advertise: SocketAddr,
    /// File with the key, relative to the settings.
    pub key_file: String,
    /// Members that are called where nobody else is known; dead ones do no harm.
    pub seeds: Vec<SocketAddr>,
    /// Members of the whole fleet: sets how often news is handed on and how long a suspicion lasts.
    pub expected: u32,
    /// Each member probes one other so often.
    pub period: Nanos,
    /// Members that were given up are called again for so long.
    pub remember: Nanos,
    /// Bytes a second that are sent at most.
    pub rate: u64,
    /// How parts of a common budget are shared out; `None`: each has its part by the configured number.
    pub shares: Option<Terms>,
    /// This start, where a store has counted it; `None`: by the clock, in milliseconds of Unix time.
    pub start: Option<u64>,
}

impl Settings {
    /// Settings with the usual figures.
    pub fn new(fleet: &str, name: &str, listen: SocketAddr) -> Self {
        Settings {
            fleet: fleet.into(),
            name: name.into(),
            listen,
            advertise: listen,
            key_file: String::new(),
            seeds: Vec::new(),
            expected: 2,
            period: 500 * MS,
            remember: 24 * 3600 * SECOND,
            rate: RATE,
            shares: None,
            start: None,
        }
    }

    /// How often news of any kind is handed on in a fleet of this size.
    pub(crate) fn copies(&self) -> NonZeroU8 {
        let size = f64::from(self.expected.max(2));
        let copies = (RETRANSMIT * (size + 1.0).log10().ceil()).clamp(1.0, 255.0) as u8;
        NonZeroU8::new(copies).unwrap_or(NonZeroU8::MIN)
    }
}

fn address(text: &str, form: &Form) -> Option<SocketAddr> {
    let addr = text.parse().ok();
    if addr.is_none() {
        form.fault(format!("{}: '{text}' is no address and port", form.word));
    }
    addr
}

/// Reads and checks settings; all or nothing. `name` stands in where the file gives none.
///
/// # Errors
///
/// Each fault with its place.
pub fn read(text: &str, file: &str, name: Option<&str>) -> Result<Settings, Vec<Diagnostic>> {
    read_file(text, file, "the settings are incomplete", |nodes, faults| {
        // What stands beside it is read by whose it is.
        let beside = |f: &Form| BESIDE.contains(&f.word);
        let forms: Vec<Form> =
            nodes.iter().filter_map(|n| Form::of(n, faults)).filter(|f| !beside(f)).collect();
        let [form] = forms.as_slice() else {
            if let Some(more) = forms.get(1) {
                more.fault("one form 'membership' is due, and no more");
            }
            return None;
        };
        if form.word != "membership" {
            form.fault(format!("'{}' is not 'membership'", form.word));
            return None;
        }
        let once = [
            "fleet",
            "name",
            "listen",
            "advertise",
            "key-file",
            "seeds",
            "expected",
            "period",
            "remember",
            "rate",
            "shares",
        ];
        form.allow(&once, &[]);
        let name = form.word_of("name", name);
        if !Member::sound_name(name) {
            form.fault(format!("name: '{name}' is no name of 1 to {NAME} letters, digits, '-', '_' and '.'"));
        }
        let listen = form.part("listen");
        if listen.is_none() {
            form.fault("'membership' lacks its 'listen'");
        }
        let listen = listen.and_then(|l| address(l.text()?, &l));
        let advertise = form.part("advertise").map_or(listen, |a| address(a.text()?, &a));
        if advertise.is_some_and(|a| a.ip().is_unspecified() || a.port() == 0) {
            form.fault("advertise: others cannot reach an address or port of 0; 'listen' stands in where it is not given");
        }
        let seeds = form.part("seeds").map_or(Vec::new(), |seeds| {
            let texts = seeds.arguments().iter().map(|n| n.text().unwrap_or(""));
            let read: Vec<SocketAddr> = texts.filter_map(|t| address(t, &seeds)).collect();
            if read.len() > SEEDS {
                seeds.fault(format!("{} seeds; {SEEDS} at most", read.len()));
            }
            read
        });
        let time = |name, least, most, or| form.get(name, Unit::Time, (least, most), Some(or)) as Nanos;
        let expected = form.count("expected", 1, MOST_MEMBERS as u64, Some(2)) as u32;
        let shares = form.part("shares").map(|s| {
            s.allow(&["always", "lease", "drift"], &[]);
            let per_mille =
                |name, least, most, or| (s.get(name, Unit::Share, (least, most), Some(or)) * 1e3) as u64;
            let lease = s.get("lease", Unit::Time, (500e6, 60e9), Some(3e9)) as Nanos;
            let (always, drift) = (per_mille("always", 0.1, 1.0, 0.5), per_mille("drift", 0.001, 0.2, 0.01));
            Terms { fronts: expected, always, lease, drift }
        });
        Some(Settings {
            shares,
            start: None,
            expected,
            fleet: form.word_of("fleet", None).to_owned(),
            name: name.to_owned(),
            listen: listen?,
            advertise: advertise?,
            key_file: form.word_of("key-file", None).to_owned(),
            seeds,
            period: time("period", 100e6, 60e9, 500e6),
            remember: time("remember", 60e9, 30.0 * 86_400e9, 86_400e9),
            rate: (form.get("rate", Unit::Rate, (4.0, 1e6), Some(RATE as f64 / 1e3)) * 1e3) as u64,
        })
    })
}

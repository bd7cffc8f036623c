//! Settings of membership: the form `membership` in a file beside the node's configuration.
//!
//! ```text
//! (membership
//!   (fleet "vembanad-media")
//!   (name "n3")
//!   (listen "10.0.0.4:7946")
//!   (advertise "10.0.0.4:7946")        ; address for the other members, if it is not that of `listen`
//!   (key-file "fleet.key")             ; at least 16 bytes, the same at all members
//!   (seeds "10.0.0.1:7946" "10.0.0.2:7946")
//!   (expected 300)                     ; number of members of the whole fleet
//!   (period 500ms)                     ; interval at which each member probes another one
//!   (remember 24h)                     ; time for which members that are down are contacted again
//!   (rate 64kB/s)                      ; rate limit of sending, beyond a burst of 64 KiB
//!   (shares (always 50%) (lease 3s) (drift 1%)))  ; off if missing; requires that all front nodes are members
//! ```

use crate::identity::{MAX_MEMBERS, MAX_NAME_BYTES, Member};
use crate::share::ShareSettings;
use crate::{MS, Nanos, SECOND};
use micadyke_config::units::Unit;
use micadyke_config::{Diagnostic, Form, read_file};
use std::net::SocketAddr;
use std::num::NonZeroU8;

/// Number of transmissions of an update for each power of ten of the fleet's size (memberlist's retransmit multiplier).
const RETRANSMIT_FACTOR: f64 = 4.0;
/// Number of members that updates are sent to in each gossip interval, in addition to those sent with probes (as
/// memberlist).
pub(crate) const GOSSIP_FANOUT: usize = 3;
/// The gossip interval as a fraction of the probe period (memberlist: 200 ms with a period of 1 s).
pub(crate) const GOSSIP_INTERVAL_RATIO: (u32, u32) = (2, 5);
/// Maximum number of seeds.
const MAX_SEEDS: usize = 64;
/// Forms of other packages that the same file may contain.
const OTHER_FORMS: [&str; 2] = ["directory", "subset"];
/// Default rate limit of sending, in bytes per second.
const DEFAULT_RATE: u64 = 64_000;

/// The settings of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The name of the fleet. Datagrams of other fleets are dropped.
    pub fleet: String,
    /// The name of this member.
    pub name: String,
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The address at which other members reach it.
    pub advertise: SocketAddr,
    /// The file with the key, relative to the settings.
    pub key_file: String,
    /// Addresses of members to contact if no others are known. Some of them may be down.
    pub seeds: Vec<SocketAddr>,
    /// Number of members of the whole fleet. Determines how often updates are sent and how long a suspicion lasts.
    pub expected: u32,
    /// Interval at which each member probes another one.
    pub period: Nanos,
    /// Time for which members that are down are contacted again.
    pub remember: Nanos,
    /// Rate limit of sending, in bytes per second.
    pub rate: u64,
    /// Settings of budget shares; `None`: each member's share follows from the configured fleet size.
    pub shares: Option<ShareSettings>,
    /// The start number, if a store has counted it; `None`: Unix time in milliseconds.
    pub start: Option<u64>,
}

impl Settings {
    /// Settings with default values.
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
            rate: DEFAULT_RATE,
            shares: None,
            start: None,
        }
    }

    /// How often an update is sent in a fleet of this size.
    pub(crate) fn copies(&self) -> NonZeroU8 {
        let size = f64::from(self.expected.max(2));
        let copies = (RETRANSMIT_FACTOR * (size + 1.0).log10().ceil()).clamp(1.0, 255.0) as u8;
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

/// Reads and checks the settings. `name` is used if the file has no name.
///
/// # Errors
///
/// All errors with their positions.
pub fn read(text: &str, file: &str, name: Option<&str>) -> Result<Settings, Vec<Diagnostic>> {
    read_file(text, file, "the settings are incomplete", |nodes, faults| {
        // Other forms are read by the packages that they belong to.
        let is_other_form = |f: &Form| OTHER_FORMS.contains(&f.word);
        let forms: Vec<Form> =
            nodes.iter().filter_map(|n| Form::of(n, faults)).filter(|f| !is_other_form(f)).collect();
        let [form] = forms.as_slice() else {
            if let Some(more) = forms.get(1) {
                more.fault("exactly one form 'membership' is expected");
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
        if !Member::is_valid_name(name) {
            form.fault(format!(
                "name: '{name}' is no name of 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' and '.'"
            ));
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
            if read.len() > MAX_SEEDS {
                seeds.fault(format!("{} seeds; {MAX_SEEDS} at most", read.len()));
            }
            read
        });
        let time = |name, least, most, or| form.get(name, Unit::Time, (least, most), Some(or)) as Nanos;
        let expected = form.count("expected", 1, MAX_MEMBERS as u64, Some(2)) as u32;
        let shares = form.part("shares").map(|s| {
            s.allow(&["always", "lease", "drift"], &[]);
            let per_mille =
                |name, least, most, or| (s.get(name, Unit::Share, (least, most), Some(or)) * 1e3) as u64;
            let lease = s.get("lease", Unit::Time, (500e6, 60e9), Some(3e9)) as Nanos;
            let (guaranteed, drift) =
                (per_mille("always", 0.1, 1.0, 0.5), per_mille("drift", 0.001, 0.2, 0.01));
            ShareSettings {
                fleet_size: expected,
                guaranteed_per_mille: guaranteed,
                lease_duration: lease,
                max_drift_per_mille: drift,
            }
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
            rate: (form.get("rate", Unit::Rate, (4.0, 1e6), Some(DEFAULT_RATE as f64 / 1e3)) * 1e3) as u64,
        })
    })
}

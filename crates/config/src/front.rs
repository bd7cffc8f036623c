//! The settings of a front.

use crate::form::{Diagnostic, Faults, Form, read_file};
use crate::sexp::{Node, Place};
use crate::units::Unit;
use micadyke::interface::{Class, Effect, Listing, RetryBudget, RungSpec, Settings};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a route takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Viewers (WHEP).
    Play,
    /// Publishers (WHIP).
    Publish,
    /// Players over HTTP (HLS and DASH, with CMCD).
    Media,
}

/// What a route of players over HTTP does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MediaRoute {
    /// Manifests are answered by a redirect to the box, and what follows goes there too; else they come through the
    /// front, rewritten, and each request comes to it.
    pub redirect: bool,
    /// A play of which nothing was heard for so long is over, in nanoseconds.
    pub silence: u64,
    /// Manifests offer all that the viewer can use, and the rung is told as `mb` alone; else only up to the rung.
    pub all_renditions: bool,
    /// What players tell of themselves is heard; else their ids and ends alone.
    pub hints: bool,
}

/// A route: titles under a path, and the class that they are asked as.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Path before the title; begins and ends with a slash.
    pub prefix: String,
    /// What it takes.
    pub kind: RouteKind,
    /// Index of the class.
    pub class: usize,
    /// Bearer tokens that it takes; empty: it asks for none.
    pub bearers: Vec<String>,
    /// It asks for a signed token that entitles to the title and class.
    pub entitled: bool,
    /// What is particular to players over HTTP; `Some` where `kind` is [`RouteKind::Media`].
    pub media: Option<MediaRoute>,
}

/// Where a title lies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Title {
    /// First cell that holds it.
    pub base: u32,
    /// How many cells in a row hold it.
    pub spread: u32,
}

/// A class, beyond what the decision module is told of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassConfig {
    /// Its name.
    pub name: String,
    /// A viewer waits so long for an answer, in nanoseconds.
    pub patience: u64,
    /// Its seats are the issuer's to grant; `None`: it asks for none.
    pub tokens: Option<SeatPolicy>,
}

/// What a class does when its seats fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeatPolicy {
    /// A request that cannot get its seat in time may use one that is held and idle.
    pub use_held: bool,
    /// A session whose seat is lost plays on.
    pub play_on: bool,
}

/// The issuer of seats.
#[derive(Debug, Clone, PartialEq)]
pub struct IssuerConfig {
    /// Where it is asked.
    pub address: SocketAddr,
    /// The log of seats, relative to the settings.
    pub state: String,
    /// A request waits so long for its seat, in nanoseconds.
    pub wait: u64,
    /// Clocks run within this share of true time.
    pub drift: f64,
    /// Ending a session takes at most this, front alive or dead, in nanoseconds.
    pub stop: u64,
    /// A message without an answer is sent again after this, in nanoseconds.
    pub retry: u64,
    /// A seat given back is kept for so long, in nanoseconds.
    pub keep: u64,
    /// Sessions of a former start may go on for so long, in nanoseconds.
    pub settle: u64,
    /// Leases at most.
    pub leases: usize,
    /// Boxes end seated sessions by themselves when their seat's time is over; `None`: they know no such means.
    pub bound: Option<BoundConfig>,
}

/// How boxes are told until when seated sessions may last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BoundConfig {
    /// Path at each box that tells its clock and takes renewals.
    pub path: String,
    /// Id of the secret shared with boxes.
    pub key_id: String,
    /// File with the secret, relative to the settings.
    pub key_file: String,
}

/// A key for bearer entitlements.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyConfig {
    /// Its id.
    pub id: String,
    /// Algorithm: HS256, ES256 or EdDSA.
    pub algorithm: String,
    /// File with the secret or the public key, relative to the settings.
    pub file: String,
    /// It counts from then on and until then, in Unix seconds.
    pub from: u64,
    /// See `from`.
    pub until: u64,
}

/// How bearer entitlements are checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entitlements {
    /// Tokens name this audience.
    pub audience: String,
    /// Clocks may differ by so many seconds.
    pub leeway: u64,
    /// Keys in force.
    pub keys: Vec<KeyConfig>,
}

/// Bounds of the running front. Each says what passing it does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bounds {
    /// Connections of viewers; further ones are closed at once.
    pub connections: usize,
    /// Sessions held, set-ups included; further offers get 503.
    pub sessions: usize,
    /// Bytes of a request's head; beyond: 431.
    pub head: usize,
    /// Bytes of a request's content; beyond: 413.
    pub body: usize,
    /// Bytes of a box's manifest; a longer one counts as malformed.
    pub manifest: usize,
    /// A connection without a request is closed after this, in nanoseconds.
    pub idle: u64,
    /// A request that has begun must be complete within this, in nanoseconds; else 408.
    pub read: u64,
    /// PATCH requests of one session that wait their turn; further ones get 429.
    pub patches: usize,
    /// Ended sessions that a repeated DELETE still finds.
    pub ended: usize,
    /// Quiet connections kept open to one box.
    pub idle_per_box: usize,
    /// A box has so long to answer a call that no time-out of the module governs, in nanoseconds.
    pub call: u64,
    /// A late answer is waited for so long, to withdraw what it set up, in nanoseconds.
    pub linger: u64,
    /// A connection to a box must stand within this, in nanoseconds.
    pub connect: u64,
}

/// Everything a front is told by its operator.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// The front's name, sent to boxes in `Via`.
    pub name: String,
    /// Where it listens.
    pub listen: SocketAddr,
    /// The file that lists the boxes, relative to the settings; empty: none.
    pub boxes: String,
    /// Bounds.
    pub bounds: Bounds,
    /// ICE servers told to viewers, as URIs.
    pub ice_servers: Vec<String>,
    /// Zones by their index.
    pub zones: Vec<String>,
    /// Kinds of machines by their index.
    pub kinds: Vec<String>,
    /// Classes by their index.
    pub classes: Vec<ClassConfig>,
    /// Routes, the first that fits counts.
    pub routes: Vec<Route>,
    /// Titles that lie on boxes.
    pub titles: BTreeMap<String, Title>,
    /// Part of a viewer's patience kept for the way of the answer, in nanoseconds.
    pub answer_margin: u64,
    /// The issuer of seats, where there is one.
    pub issuer: Option<IssuerConfig>,
    /// Bearer entitlements, where routes ask for them.
    pub entitlements: Option<Entitlements>,
    /// What the decision module is told.
    pub settings: Settings,
}

const HOUR: f64 = 3_600e9;

/// Reads and checks the settings of a front.
pub fn read_config(text: &str, file: &str) -> Result<Config, Vec<Diagnostic>> {
    read_file(text, file, "the settings are incomplete", config)
}

fn config(nodes: &[Node], faults: &Faults) -> Option<Config> {
    const ONCE: [&str; 9] =
        ["front", "zones", "ladder", "fleet", "attempts", "come-back", "bounds", "issuer", "entitlements"];
    const MANY: [&str; 4] = ["class", "kind", "route", "title"];
    let forms: Vec<Form> = nodes.iter().filter_map(|n| Form::of(n, faults)).collect();
    let mut seen: Vec<&str> = Vec::new();
    for f in &forms {
        if !ONCE.iter().chain(&MANY).any(|k| *k == f.word) {
            let near = crate::form::nearest(f.word, ONCE.iter().chain(&MANY).copied());
            f.fault(format!(
                "'{}' is no setting{}",
                f.word,
                near.map_or(String::new(), |n| format!("; '{n}'?"))
            ));
        } else if ONCE.contains(&f.word) && seen.contains(&f.word) {
            f.fault(format!("'{}' is given twice", f.word));
        }
        seen.push(f.word);
    }
    let one = |word: &str| forms.iter().find(|f| f.word == word).copied();
    let need = |word: &str| {
        let found = one(word);
        if found.is_none() {
            faults.add(Place { line: 1, column: 1 }, format!("the settings lack '{word}'"));
        }
        found
    };
    let all = |word: &'static str| forms.iter().filter(move |f| f.word == word);
    let (front, ladder, fleet) = (need("front"), need("ladder"), need("fleet"));
    let (front, ladder, fleet) = (front?, ladder?, fleet?);

    front.allow(&["name", "listen", "boxes", "zone", "fronts", "ice-servers", "answer-margin"], &[]);
    let listen_text = front.word_of("listen", Some("127.0.0.1:8080"));
    let listen = listen_text.parse().unwrap_or_else(|_| {
        let at = front.part("listen").unwrap_or(front);
        at.fault(format!("listen: '{listen_text}' is no address and port"));
        SocketAddr::from(([127, 0, 0, 1], 0))
    });
    let zones: Vec<String> = one("zones").map_or_else(
        || vec!["zone".into()],
        |z| z.arguments().iter().filter_map(|n| n.text()).map(str::to_owned).collect(),
    );
    let zone_names: Vec<&str> = zones.iter().map(String::as_str).collect();
    let zone = front.choice("zone", &zone_names, Some(0)) as u32;
    let strings = |f: Option<Form>| -> Vec<String> {
        f.map_or_else(Vec::new, |f| {
            f.arguments().iter().filter_map(|n| n.text()).map(str::to_owned).collect()
        })
    };

    // Ladder and classes.
    let mut steps: Vec<RungSpec> = Vec::new();
    ladder.allow(&[], &["rung"]);
    for rung in ladder.parts().filter(|p| p.word == "rung") {
        rung.allow(&["rate", "worth"], &[]);
        let rate = rung.get("rate", Unit::Rate, (0.001, 1e9), None);
        let worth = rung.get("worth", Unit::Share, (1e-6, 1e6), None);
        if steps.last().is_some_and(|s| s.rate >= rate || s.worth >= worth) {
            rung.fault("a rung must have a higher rate and worth than the one before it");
        }
        steps.push(RungSpec { rate, worth });
    }
    if steps.is_empty() {
        ladder.fault("the ladder has no rung");
        return None;
    }
    let top = steps.len() as u64 - 1;
    let (mut classes, mut named): (Vec<Class>, Vec<ClassConfig>) = (Vec::new(), Vec::new());
    for c in all("class") {
        c.allow(&["worth", "aim", "patience", "effect", "scale", "floor", "top", "seats", "tokens"], &[]);
        let name = match c.arguments() {
            [n] => n.text().unwrap_or("").to_owned(),
            _ => {
                c.fault("a class takes one name");
                continue;
            }
        };
        if named.iter().any(|n: &ClassConfig| n.name == name) {
            c.fault(format!("class '{name}' is given twice"));
        }
        let aim = c.get("aim", Unit::Time, (1e6, HOUR), None) as u64;
        let patience = c.get("patience", Unit::Time, (1e6, HOUR), None) as u64;
        if patience < aim {
            c.fault(format!("class '{name}': the viewer's patience is shorter than the aim"));
        }
        let (floor, most) = (c.count("floor", 0, top, Some(0)), c.count("top", 0, top, Some(top)));
        if floor > most {
            c.fault(format!("class '{name}': floor {floor} is above top {most}"));
        }
        let effect = match c.choice("effect", &["idempotent", "at-most-once"], None) {
            0 => Effect::Idempotent,
            _ => Effect::AtMostOnce,
        };
        classes.push(Class {
            worth: c.get("worth", Unit::Share, (0.0, 1e6), Some(1.0)),
            setup_target: aim,
            effect,
            scale: c.get("scale", Unit::Share, (1e-3, 1e3), Some(1.0)),
            floor: floor as usize,
            top: most as usize,
            seats: c.count("seats", 0, 1_000_000, Some(0)) as u32,
        });
        let tokens = c.part("tokens").map(|t| {
            t.allow(&["unreachable", "lost"], &[]);
            SeatPolicy {
                use_held: t.choice("unreachable", &["refuse", "use-held"], Some(0)) == 1,
                play_on: t.choice("lost", &["end", "play-on"], Some(0)) == 1,
            }
        });
        if tokens.is_some() && one("issuer").is_none() {
            c.fault(format!("class '{name}' wants tokens, and no 'issuer' is named"));
        }
        named.push(ClassConfig { name, patience, tokens });
    }
    if classes.is_empty() {
        faults.add(Place { line: 1, column: 1 }, "the settings lack a 'class'");
    }

    // Fleet.
    let (mut kinds, mut streams) = (Vec::new(), Vec::new());
    for k in all("kind") {
        k.allow(&["streams"], &[]);
        kinds.push(k.arguments().first().and_then(|n| n.text()).unwrap_or("").to_owned());
        streams.push(k.count("streams", 1, 1_000_000, None) as u32);
    }
    if kinds.is_empty() {
        faults.add(Place { line: 1, column: 1 }, "the settings lack a 'kind'");
    }
    fleet.allow(
        &[
            "cells",
            "racks",
            "link-per-weight",
            "uplink",
            "weights",
            "full-from",
            "note-delay",
            "note-period",
            "change-cost",
            "cross-price",
            "cold",
        ],
        &[],
    );
    let cells = fleet.count("cells", 1, 1_000_000, None) as u32;
    let cold = fleet.part("cold");
    let (mut cold_for, mut cold_from, mut fall_multiple, mut fall_window) = (0, 1.0, 0.0, 0);
    if let Some(cold) = cold {
        cold.allow(&["warm-after", "from", "fall-multiple", "fall-window"], &[]);
        cold_for = cold.get("warm-after", Unit::Time, (0.0, HOUR), None) as u64;
        cold_from = cold.get("from", Unit::Share, (0.0, 1.0), None);
        fall_multiple = cold.get("fall-multiple", Unit::Number, (1.0, 1e3), None);
        fall_window = cold.get("fall-window", Unit::Time, (1e6, HOUR), None) as u64;
    }
    let mut retry_budget = None;
    let mut max_attempts = 3;
    if let Some(a) = one("attempts") {
        a.allow(&["most", "budget"], &[]);
        max_attempts = a.count("most", 1, 16, Some(3)) as u32;
        if let Some(b) = a.part("budget") {
            b.allow(&["spare", "share", "window"], &[]);
            retry_budget = Some(RetryBudget {
                spare: b.get("spare", Unit::Number, (0.0, 1e6), None),
                share: b.get("share", Unit::Share, (0.0, 100.0), None),
                window: b.get("window", Unit::Time, (1e6, HOUR), None) as u64,
            });
        }
    }
    let come_back = one("come-back");
    let max_come_back = come_back.map_or(0.0, |c| {
        c.allow(&["most"], &[]);
        c.get("most", Unit::Time, (0.0, HOUR), None)
    });

    // Routes and titles.
    let mut routes: Vec<Route> = Vec::new();
    for r in all("route") {
        r.allow(&["kind", "class", "bearer", "entitled", "manifests", "silence", "renditions", "hints"], &[]);
        let entitled = r.choice("entitled", &["no", "yes"], Some(0)) == 1;
        if entitled && one("entitlements").is_none() {
            r.fault("the route wants entitlements, and no 'entitlements' are named");
        }
        if entitled && r.part("bearer").is_some() {
            r.fault("a route asks for fixed bearers or for entitlements, not both");
        }
        let prefix = r.arguments().first().and_then(|n| n.text()).unwrap_or("").to_owned();
        if !prefix.starts_with('/') || !prefix.ends_with('/') || prefix.contains("//") || prefix.len() > 256 {
            r.fault(format!("route '{prefix}' must begin and end with a slash"));
        }
        if prefix.starts_with("/session/") {
            r.fault("routes under /session/ are the front's own");
        }
        if routes.iter().any(|o| o.prefix == prefix) {
            r.fault(format!("route '{prefix}' is given twice"));
        }
        let kind = [RouteKind::Play, RouteKind::Publish, RouteKind::Media]
            [r.choice("kind", &["whep", "whip", "media"], None)];
        let media = MediaRoute {
            redirect: r.choice("manifests", &["rewrite", "redirect"], Some(0)) == 1,
            silence: r.get("silence", Unit::Time, (1e9, HOUR), Some(60e9)) as u64,
            all_renditions: r.choice("renditions", &["rung", "all"], Some(0)) == 1,
            hints: r.choice("hints", &["hear", "ignore"], Some(0)) == 0,
        };
        if kind != RouteKind::Media {
            for word in ["manifests", "silence", "renditions", "hints"] {
                if let Some(part) = r.part(word) {
                    part.fault(format!("'{word}' is for routes of kind media"));
                }
            }
        }
        let names: Vec<&str> = named.iter().map(|c| c.name.as_str()).collect();
        routes.push(Route {
            prefix,
            kind,
            class: r.choice("class", &names, None),
            bearers: strings(r.part("bearer")),
            entitled,
            media: (kind == RouteKind::Media).then_some(media),
        });
    }
    if routes.is_empty() {
        faults.add(Place { line: 1, column: 1 }, "the settings lack a 'route'");
    }
    let mut titles = BTreeMap::new();
    for t in all("title") {
        t.allow(&["from-cell", "cells"], &[]);
        let name = t.arguments().first().and_then(|n| n.text()).unwrap_or("").to_owned();
        if !title_name(&name) {
            t.fault(format!("title '{name}': 1 to 128 letters, digits, '-', '_', '.' are due"));
        }
        let base = t.count("from-cell", 0, u64::from(cells.max(1)) - 1, None) as u32;
        let spread = t.count("cells", 1, u64::from(cells.max(1)), None) as u32;
        if titles.insert(name.clone(), Title { base, spread }).is_some() {
            t.fault(format!("title '{name}' is given twice"));
        }
    }

    let settings = Settings {
        fronts: front.count("fronts", 1, 1_000_000, Some(1)) as u32,
        zone,
        classes,
        ladder: steps,
        cells,
        racks: fleet.count("racks", 1, 1_000_000, Some(1)) as u32,
        streams_by_kind: streams,
        uplink: fleet.get("uplink", Unit::Rate, (0.0, 1e12), Some(0.0)),
        link_per_weight: fleet.get("link-per-weight", Unit::Rate, (0.0, 1e12), Some(0.0)),
        weights_reflect_size: fleet.choice("weights", &["sizes", "same"], Some(0)) == 0,
        full_from: fleet.get("full-from", Unit::Share, (0.0, 100.0), Some(0.0)),
        change_cost_s: fleet.get("change-cost", Unit::Time, (0.0, HOUR), Some(0.0)) / 1e9,
        report_delay: fleet.get("note-delay", Unit::Time, (0.0, HOUR), Some(0.0)) as u64,
        report_period: fleet.get("note-period", Unit::Time, (0.0, HOUR), Some(0.0)) as u64,
        listing: Listing::Pushed,
        max_attempts,
        advises_retry: come_back.is_some(),
        max_retry_after: max_come_back as u64,
        cross_price: fleet.get("cross-price", Unit::Share, (0.0, 1e3), Some(0.0)),
        handshake_price: 0.0,
        subscribe_within: 0,
        cold_for,
        cold_from,
        fall_multiple,
        fall_window,
        retry_budget,
    };
    if faults.none()
        && let Err(e) = settings.check()
    {
        front.fault(format!("the decision module refuses {e}"));
    }
    let issuer = one("issuer").map(|i| issuer(&i));
    let entitlements = one("entitlements").map(|e| entitlements(&e));
    let b = one("bounds");
    if let Some(b) = b {
        b.allow(
            &[
                "connections",
                "sessions",
                "head",
                "body",
                "manifest",
                "idle",
                "read",
                "patches",
                "ended",
                "idle-per-box",
                "call",
                "linger",
                "connect",
            ],
            &[],
        );
    }
    let b = b.as_ref();
    let count = |n, most, or| b.map_or(or, |b| b.count(n, 1, most, Some(or))) as usize;
    let size = |n, or: f64| {
        b.map_or(or, |b| b.get(n, Unit::Size, (1024.0, 16.0 * 1024.0 * 1024.0), Some(or))) as usize
    };
    let time = |n, or: f64| b.map_or(or, |b| b.get(n, Unit::Time, (1e6, HOUR), Some(or))) as u64;
    let bounds = Bounds {
        connections: count("connections", 1_000_000, 16_384),
        sessions: count("sessions", 10_000_000, 100_000),
        head: size("head", 16.0 * 1024.0),
        body: size("body", 64.0 * 1024.0),
        manifest: size("manifest", 1024.0 * 1024.0),
        idle: time("idle", 60e9),
        read: time("read", 10e9),
        patches: count("patches", 1024, 8),
        ended: count("ended", 10_000_000, 65_536),
        idle_per_box: count("idle-per-box", 4096, 32),
        call: time("call", 2e9),
        linger: time("linger", 5e9),
        connect: time("connect", 250e6),
    };
    let answer_margin = front.get("answer-margin", Unit::Time, (0.0, 10e9), Some(100e6)) as u64;
    if let Some(c) = named.iter().find(|c| c.patience <= answer_margin) {
        front.fault(format!("answer-margin leaves class '{}' no time of its patience", c.name));
    }
    Some(Config {
        name: front.word_of("name", Some("front")).to_owned(),
        listen,
        boxes: front.word_of("boxes", Some("")).to_owned(),
        bounds,
        ice_servers: strings(front.part("ice-servers")),
        zones,
        kinds,
        classes: named,
        routes,
        titles,
        answer_margin,
        issuer,
        entitlements,
        settings,
    })
}

fn issuer(i: &Form) -> IssuerConfig {
    i.allow(
        &["address", "state", "wait", "drift", "stop", "retry", "keep", "settle", "leases", "bound"],
        &[],
    );
    let bound = i.part("bound").map(|b| {
        b.allow(&["path", "key"], &[]);
        let path = b.word_of("path", Some("/leases")).to_owned();
        if !path.starts_with('/') || path.len() > 256 || !path.bytes().all(|c| c.is_ascii_graphic()) {
            b.fault(format!("path: '{path}' is no path at a box"));
        }
        let key = b.part("key");
        if let Some(k) = &key {
            k.allow(&["file"], &[]);
        } else {
            b.fault("'bound' lacks its 'key': (key \"ID\" (file \"FILE\"))");
        }
        let id = key.and_then(|k| k.arguments().first().and_then(|n| n.text())).unwrap_or("").to_owned();
        let key_file = key.map_or_else(String::new, |k| k.word_of("file", None).to_owned());
        if id.is_empty() && key.is_some() {
            b.fault("a key takes one id of its own");
        }
        BoundConfig { path, key_id: id, key_file }
    });
    let text = i.word_of("address", None);
    let address = text.parse().unwrap_or_else(|_| {
        i.fault(format!("address: '{text}' is no address and port"));
        SocketAddr::from(([127, 0, 0, 1], 0))
    });
    let time = |n, or: f64| i.get(n, Unit::Time, (0.0, HOUR), Some(or)) as u64;
    IssuerConfig {
        address,
        state: i.word_of("state", None).to_owned(),
        wait: time("wait", 300e6),
        drift: i.get("drift", Unit::Share, (0.0, 0.2), Some(0.001)),
        stop: time("stop", 5e9),
        retry: time("retry", 200e6),
        keep: time("keep", 2e9),
        settle: time("settle", 5e9),
        leases: i.count("leases", 1, 10_000_000, Some(100_000)) as usize,
        bound,
    }
}

fn entitlements(e: &Form) -> Entitlements {
    e.allow(&["audience", "leeway"], &["key"]);
    let mut keys: Vec<KeyConfig> = Vec::new();
    for k in e.parts().filter(|p| p.word == "key") {
        k.allow(&["algorithm", "file", "from", "until"], &[]);
        let id = k.arguments().first().and_then(|n| n.text()).unwrap_or("").to_owned();
        if id.is_empty() || keys.iter().any(|o| o.id == id) {
            k.fault("a key takes one id of its own");
        }
        let known = ["HS256", "ES256", "EdDSA"];
        let seconds = |n, or: f64| (k.get(n, Unit::Time, (0.0, 9e18), Some(or)) / 1e9) as u64;
        keys.push(KeyConfig {
            id,
            algorithm: known[k.choice("algorithm", &known, None)].to_owned(),
            file: k.word_of("file", None).to_owned(),
            from: seconds("from", 0.0),
            until: seconds("until", 9e18),
        });
    }
    if keys.is_empty() {
        e.fault("'entitlements' lacks a 'key'");
    }
    Entitlements {
        audience: e.word_of("audience", None).to_owned(),
        leeway: (e.get("leeway", Unit::Time, (0.0, 600e9), Some(5e9)) / 1e9) as u64,
        keys,
    }
}

/// Whether a text may name a title in a path.
pub(crate) fn title_name(name: &str) -> bool {
    (1..=128).contains(&name.len())
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
        && name != "."
        && name != ".."
}

impl Config {
    /// What these settings do not promise, though they are sound.
    pub fn not_promised(&self) -> Vec<String> {
        let unbounded: Vec<&str> =
            self.classes.iter().filter(|c| c.tokens.is_some()).map(|c| c.name.as_str()).collect();
        let mut notes = Vec::new();
        for (c, named) in self.settings.classes.iter().zip(&self.classes) {
            if named.tokens.is_some() && c.effect == Effect::Idempotent && self.settings.max_attempts > 1 {
                notes.push(format!(
                    "class '{}' may be set up again after an answer was lost, on one seat: until the first box has \
                     ended what nobody watches, both count there",
                    named.name
                ));
            }
        }
        let Some(issuer) = self.issuer.as_ref().filter(|i| i.bound.is_none() && !unbounded.is_empty()) else {
            return notes;
        };
        notes.push(format!(
            "boxes are told no end of a seat (issuer has no 'bound'): seats of {} hold while fronts run or are ended; a \
             front that is stopped without being ended, or cut off from a box, for longer than the lease's time may \
             exceed them by the sessions that it has there. 'stop' ({} ms) covers boxes that end a session whose event \
             stream is closed, no more",
            unbounded.join(", "),
            issuer.stop / 1_000_000
        ));
        notes
    }

    /// Whether a text may name a title.
    pub fn is_title(name: &str) -> bool {
        title_name(name)
    }
}

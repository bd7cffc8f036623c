//! The verdict on the six rules, from the traffic at viewers' and boxes' sockets.
//!
//! A viewer's request and the attempts that it led to are joined by the ICE user name fragment of the offer, or by the
//! player's id (CMCD `sid`), which the front passes on unchanged. An attempt is out from its first byte at the box until its answer was written
//! there or its connection was closed. Nothing that the front says of itself is used.

use crate::traffic::{Conversation, Message, conversations};
use micadyke::interface::Effect;
use micadyke_config::{Config, RouteKind};
use micadyke_standin::record::{Deed, End, Entry};
use std::collections::{BTreeMap, BTreeSet, HashMap};

const MS: u64 = 1_000_000;
/// Nothing new to a box later than this after the front heard that it drains or is gone.
pub const DRAIN: u64 = 250 * MS;
/// Resolution of the record where two sockets are compared: one turn of the thread that reads both.
const TURN: u64 = 50 * MS;
/// An answer counts until so long after the viewer's patience: the way back.
const GRACE: u64 = 40 * MS;

/// What is needed beyond the record.
#[derive(Debug, Clone)]
pub struct Terms<'a> {
    /// The settings of the fronts.
    pub config: &'a Config,
    /// Streams that each box runs at most.
    pub places: &'a BTreeMap<u32, u32>,
    /// Seats of an issuer for each title of each class with tokens, all fronts together.
    pub seats: Option<u32>,
}

/// The finding on one rule.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Finding {
    /// What was looked at.
    pub looked_at: u64,
    /// How many of them were put to the test: cases in which a front could have broken it.
    pub tried: u64,
    /// What was found against it, the first few in words.
    pub broken: Vec<String>,
    /// How often.
    pub times: u64,
}

impl Finding {
    fn against(&mut self, what: String) {
        self.times += 1;
        if self.broken.len() < 5 {
            self.broken.push(what);
        }
    }
}

/// The six rules in words, in their order.
pub const RULES: [&str; 6] = [
    "one answer to each request, in time",
    "no set-up twice, one attempt at a time",
    "drains kept within 250 ms",
    "no cold box pushed over",
    "floors and seats kept",
    "further attempts within the budget",
];

/// The verdict.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Verdict {
    /// One finding for each rule, in their order.
    pub rules: [Finding; 6],
}

impl Verdict {
    /// Whether no rule was broken. One that nothing put to the test is not broken, and not kept either: see
    /// [`Verdict::untried`].
    pub fn kept(&self) -> bool {
        self.rules.iter().all(|r| r.times == 0)
    }

    /// Numbers, from 1, of the rules that nothing put to the test.
    pub fn untried(&self) -> Vec<usize> {
        (1..=6).filter(|n| self.rules[n - 1].times == 0 && self.rules[n - 1].tried == 0).collect()
    }

    /// Of the rules that had to be put to the test, those that were not.
    pub fn missing(&self, required: &[usize]) -> Vec<usize> {
        self.untried().into_iter().filter(|n| required.contains(n)).collect()
    }

    /// Numbers, from 1, of the rules that were broken.
    pub fn broken(&self) -> Vec<usize> {
        (1..=6).filter(|n| self.rules[n - 1].times > 0).collect()
    }
}

impl std::fmt::Display for Verdict {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, r) in self.rules.iter().enumerate() {
            let word = match (r.times, r.tried) {
                (0, 0) => "not tried".to_owned(),
                (0, _) => "kept".to_owned(),
                (n, _) => format!("BROKEN {n} times"),
            };
            writeln!(
                f,
                "rule {}: {:<40} {} looked at, {} tried: {word}",
                i + 1,
                RULES[i],
                r.looked_at,
                r.tried
            )?;
            r.broken.iter().try_for_each(|b| writeln!(f, "        {b}"))?;
        }
        let list = |of: Vec<usize>| of.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ");
        match (self.broken(), self.untried()) {
            (broken, _) if !broken.is_empty() => write!(f, "verdict: broken: {}", list(broken)),
            (_, untried) if untried.is_empty() => f.write_str("verdict: all rules kept"),
            (_, untried) => write!(f, "verdict: kept as far as tried; not tried: {}", list(untried)),
        }
    }
}

/// A viewer's request for a session.
struct Ask {
    front: u32,
    class: usize,
    title: String,
    ufrag: String,
    /// When its connection was opened.
    opened: u64,
    sent: u64,
    patience: u64,
    answer: Option<(u16, u64)>,
    location: Option<String>,
    closed: Option<u64>,
    peer_closed: Option<u64>,
}

/// An attempt at a box.
struct Attempt {
    at: u32,
    ufrag: String,
    first: u64,
    /// Status and time of the answer.
    answer: Option<(u16, u64)>,
    closed: Option<u64>,
    /// The session's path at the box.
    location: Option<String>,
}

impl Attempt {
    fn over(&self) -> u64 {
        self.answer.map(|a| a.1).or(self.closed).unwrap_or(u64::MAX)
    }

    /// Whether it may have run: anything but being turned away.
    fn may_have_run(&self) -> bool {
        self.answer.is_none_or(|a| stands(a.0))
    }
}

/// Whether an answer to a set-up says that it stands: of a session of WHEP, or of a play.
fn stands(status: u16) -> bool {
    status == 201 || status == 200
}

/// A play's id, as hints tell it.
fn sid_in(hints: &str) -> Option<String> {
    let rest = hints.split_once("sid=\"")?.1;
    rest.split_once('"').map(|s| s.0.to_owned())
}

/// A play's id, as a request's hints tell it in its fields.
fn sid(m: &Message) -> Option<String> {
    sid_in(m.header("cmcd-session")?)
}

/// Whether a request at a box sets a play up: a front asks for a list, at the start.
fn sets_up_play(m: &Message) -> bool {
    let list = m.target.ends_with(".m3u8") || m.target.ends_with(".mpd");
    let start = m.header("cmcd-request").is_some_and(|f| f.split(',').any(|k| k.trim() == "su"));
    m.method == "GET" && m.target.starts_with("/media/") && list && start && m.header("via").is_some()
}

/// The rung of a segment that is asked at a box, and the play's id.
fn segment(m: &Message) -> Option<(usize, String)> {
    let (path, query) = m.target.split_once('?')?;
    let rung = path.strip_prefix("/media/")?.split('/').nth(1)?.parse().ok()?;
    let told = query.split('&').find_map(|a| a.strip_prefix("CMCD="))?;
    let rest = told.split_once("sid%3D%22")?.1;
    path.ends_with(".m4s").then(|| (rung, rest.split('%').next().unwrap_or_default().to_owned()))
}

fn ufrag(m: &Message) -> Option<String> {
    let text = String::from_utf8_lossy(&m.body);
    text.lines().find_map(|l| l.trim_end().strip_prefix("a=ice-ufrag:").map(str::to_owned))
}

/// Judges a record.
pub fn check(entries: &[Entry], deeds: &[(u64, Deed)], terms: &Terms<'_>) -> Verdict {
    let all = conversations(entries);
    let mut verdict = Verdict::default();
    let asks = asks(&all, terms.config, &mut verdict.rules[0]);
    let attempts = attempts(&all);
    // A play is asked for by its first request; what else it asks is owed an answer and no place.
    let mut by_ufrag: HashMap<&str, &Ask> = HashMap::new();
    for a in asks.iter().filter(|a| !a.ufrag.is_empty()) {
        by_ufrag.entry(&a.ufrag).or_insert(a);
    }
    answers(&asks, deeds, &mut verdict.rules[0]);
    doubles(&by_ufrag, &attempts, terms.config, &mut verdict.rules[1]);
    drains(&attempts, &by_ufrag, deeds, &mut verdict.rules[2]);
    cold(&attempts, &by_ufrag, deeds, terms, &mut verdict.rules[3]);
    floors(&all, &attempts, &by_ufrag, deeds, terms, &mut verdict.rules[4]);
    issued_seats(&by_ufrag, deeds, terms, &mut verdict.rules[4]);
    budget(&asks, &attempts, &by_ufrag, terms.config, &mut verdict.rules[5]);
    verdict
}

fn asks(all: &[Conversation], config: &Config, finding: &mut Finding) -> Vec<Ask> {
    let mut asks = Vec::new();
    for c in all {
        let End::Viewer(front) = c.end else { continue };
        if c.responses.len() > c.requests.len() {
            finding.against(format!(
                "front {front}: {} answers to {} requests",
                c.responses.len(),
                c.requests.len()
            ));
        }
        for (i, m) in c.requests.iter().enumerate() {
            let route = config.routes.iter().find(|r| m.target.starts_with(r.prefix.as_str()));
            let (route, title, ufrag) = match (m.method.as_str(), route) {
                ("POST", Some(route)) => {
                    let Some(ufrag) = ufrag(m) else { continue };
                    (route, &m.target[route.prefix.len()..], ufrag)
                }
                ("GET", Some(route)) if route.kind == RouteKind::Media => {
                    let title = m.target[route.prefix.len()..].split('/').next().unwrap_or_default();
                    (route, title, sid(m).unwrap_or_default())
                }
                // What a play's manifests name: it is owed its answer in the time of the most patient route.
                ("GET", None) if m.target.starts_with("/session/") => {
                    let media = config.routes.iter().filter(|r| r.kind == RouteKind::Media);
                    let Some(route) = media.max_by_key(|r| config.classes[r.class].patience) else {
                        continue;
                    };
                    (route, "", String::new())
                }
                _ => continue,
            };
            asks.push(Ask {
                front,
                class: route.class,
                title: title.to_owned(),
                ufrag,
                opened: c.opened,
                sent: m.last,
                patience: config.classes[route.class].patience,
                answer: c.responses.get(i).map(|r| (r.status, r.last)),
                location: c.responses.get(i).and_then(|r| r.header("location")).map(str::to_owned),
                closed: c.closed,
                peer_closed: c.peer_closed,
            });
        }
    }
    asks
}

fn attempts(all: &[Conversation]) -> Vec<Attempt> {
    let mut attempts = Vec::new();
    for c in all {
        let End::Box(at) = c.end else { continue };
        for (i, m) in c.requests.iter().enumerate() {
            let set_up =
                m.method == "POST" && (m.target.starts_with("/whep/") || m.target.starts_with("/whip/"));
            let joint = if sets_up_play(m) { sid(m) } else { set_up.then(|| ufrag(m)).flatten() };
            let Some(ufrag) = joint else { continue };
            let answer = c.responses.get(i);
            attempts.push(Attempt {
                at,
                ufrag,
                first: m.first,
                answer: answer.map(|r| (r.status, r.last)),
                closed: c.closed,
                location: answer.and_then(|r| r.header("location")).map(str::to_owned),
            });
        }
    }
    attempts.sort_by_key(|a| a.first);
    attempts
}

/// Rule 1.
fn answers(asks: &[Ask], deeds: &[(u64, Deed)], finding: &mut Finding) {
    let killed = |front: u32, from: u64, to: u64| {
        deeds
            .iter()
            .any(|(at, d)| matches!(d, Deed::Killed { front: f } if *f == front) && (from..=to).contains(at))
    };
    // A front that is stopped runs nothing: a request of which it had less than half of the patience is not owed.
    let ran = |front: u32, from: u64, to: u64| {
        let still = deeds.iter().filter_map(|(at, d)| match d {
            Deed::Stalled { front: f, length } if *f == front => Some((*at, at + length)),
            _ => None,
        });
        (to - from).saturating_sub(still.map(|(a, b)| b.min(to).saturating_sub(a.max(from))).sum())
    };
    for a in asks {
        finding.looked_at += 1;
        let due = a.sent + a.patience + GRACE;
        match a.answer {
            Some((_, at)) if at <= due => finding.tried += 1,
            Some((status, at)) => {
                let late = (at - a.sent) / MS;
                finding.against(format!("front {}: {} answered {status} after {late} ms", a.front, a.ufrag));
            }
            None => {
                // A front that was ended owes nothing more; neither does one whose viewer left early.
                let until = a.peer_closed.or(a.closed).unwrap_or(u64::MAX);
                let left = a.peer_closed.is_none() && a.closed.is_some_and(|c| c < a.sent + a.patience);
                let stopped = ran(a.front, a.sent, a.sent + a.patience) < a.patience / 2;
                if !left
                    && !stopped
                    // What is sent on a connection whose front was ended since reaches nobody.
                    && !killed(a.front, a.sent.saturating_sub(TURN).min(a.opened), until.saturating_add(TURN))
                {
                    let (sent, until) = (a.sent / MS, until / MS);
                    let by = if a.peer_closed.is_some() { "the front" } else { "its viewer" };
                    finding.against(format!(
                        "front {}: {} got no answer: sent at {sent} ms, closed by {by} at {until} ms",
                        a.front, a.ufrag
                    ));
                }
            }
        }
    }
}

/// Rule 2.
fn doubles(asked: &HashMap<&str, &Ask>, attempts: &[Attempt], config: &Config, finding: &mut Finding) {
    let mut by: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    for a in attempts {
        finding.looked_at += 1;
        by.entry(&a.ufrag).or_default().push(a);
    }
    for (ufrag, tries) in &by {
        for (i, later) in tries.iter().enumerate().skip(1) {
            finding.tried += 1;
            if let Some(out) = tries[..i].iter().find(|t| t.over() > later.first + TURN) {
                finding.against(format!(
                    "{ufrag}: an attempt at box {} while the one at box {} was out",
                    later.at, out.at
                ));
            }
        }
        let Some(ask) = asked.get(ufrag) else { continue };
        if config.settings.classes[ask.class].effect != Effect::AtMostOnce {
            continue;
        }
        finding.tried += 1;
        let ran = tries.iter().position(|t| t.may_have_run());
        if let Some(ran) = ran
            && ran + 1 < tries.len()
        {
            finding.against(format!(
                "{ufrag}: set up again after an attempt at box {} that may have run",
                tries[ran].at
            ));
        }
        if ran.is_some() && ask.answer.is_some_and(|a| a.0 == 503) {
            finding.against(format!("{ufrag}: refused though an attempt may have run"));
        }
    }
}

/// Rule 3.
fn drains(attempts: &[Attempt], asked: &HashMap<&str, &Ask>, deeds: &[(u64, Deed)], finding: &mut Finding) {
    // For each front and box: since when its list has it as not ready.
    let mut news: BTreeMap<u32, Vec<(u64, BTreeSet<u32>)>> = BTreeMap::new();
    for (at, deed) in deeds {
        if let Deed::List { front, unready } = deed {
            news.entry(*front).or_default().push((*at, unready.iter().copied().collect()));
        }
    }
    finding.looked_at = attempts.len() as u64;
    for a in attempts {
        let Some(front) = asked.get(a.ufrag.as_str()).map(|k| k.front) else { continue };
        let Some(lists) = news.get(&front) else { continue };
        let (mut since, mut some_out) = (None, false);
        for (at, unready) in lists.iter().take_while(|(at, _)| *at <= a.first) {
            since = if unready.contains(&a.at) { since.or(Some(*at)) } else { None };
            some_out = !unready.is_empty();
        }
        // Whatever was sent while some box was out could have gone there.
        finding.tried += u64::from(some_out);
        let Some(since) = since else { continue };
        // A front that stands still hears nothing; one that is not there neither.
        let still = deeds.iter().filter_map(|(at, d)| match d {
            Deed::Stalled { front: f, length } if *f == front => Some((*at, at + length)),
            _ => None,
        });
        let heard = still
            .filter(|(from, to)| *from <= since + DRAIN && *to >= since)
            .map(|s| s.1)
            .fold(since, u64::max);
        if a.first > heard + DRAIN {
            let late = (a.first - heard) / MS;
            finding.against(format!(
                "front {front}: an attempt at box {} {late} ms after the list had it out",
                a.at
            ));
        }
    }
}

/// Rule 4.
fn cold(
    attempts: &[Attempt], asked: &HashMap<&str, &Ask>, deeds: &[(u64, Deed)], terms: &Terms<'_>,
    finding: &mut Finding,
) {
    let s = &terms.config.settings;
    if s.cold_for == 0 || s.fall_multiple <= 0.0 {
        return;
    }
    for (start, id) in deeds.iter().filter_map(|(at, d)| match d {
        Deed::Started { id } => Some((*at, *id)),
        _ => None,
    }) {
        finding.looked_at += 1;
        let stopped =
            deeds.iter().find(|(at, d)| *at > start && matches!(d, Deed::Stopped { id: i } if *i == id));
        let until = (start + s.cold_for).min(stopped.map_or(u64::MAX, |d| d.0));
        let sent: Vec<&Attempt> =
            attempts.iter().filter(|a| a.at == id && a.first >= start && a.first < until).collect();
        let times: Vec<u64> = sent.iter().map(|a| a.first).collect();
        finding.tried += times.len() as u64;
        let places = f64::from(terms.places.get(&id).copied().unwrap_or(0));
        for (i, &t) in times.iter().enumerate() {
            let window = || sent[..=i].iter().filter(|a| a.first + s.fall_window > t);
            let count = window().count() as f64;
            let warmth =
                (s.cold_from + (1.0 - s.cold_from) * (t - start) as f64 / s.cold_for as f64).min(1.0);
            let most = places / s.cold_for as f64 * warmth * s.fall_multiple * s.fall_window as f64;
            if count > most.max(1.0) {
                let by = |a: &&Attempt| asked.get(a.ufrag.as_str()).map_or(u32::MAX, |k| k.front);
                let mut fronts: BTreeMap<u32, u32> = BTreeMap::new();
                window().for_each(|a| *fronts.entry(by(a)).or_default() += 1);
                let age = (t - start) / MS;
                finding.against(format!(
                    "box {id}: {count} set-ups in one window {age} ms after its start, {most:.1} is what it bears; \
                     by front {fronts:?}"
                ));
                break;
            }
        }
    }
}

/// Rule 5.
fn floors(
    all: &[Conversation], attempts: &[Attempt], asked: &HashMap<&str, &Ask>, deeds: &[(u64, Deed)],
    terms: &Terms<'_>, finding: &mut Finding,
) {
    let config = terms.config;
    // Changes of layer and ends at boxes, by box and path.
    let mut layers: HashMap<(u32, String), Vec<(u64, usize)>> = HashMap::new();
    let mut ends: HashMap<(u32, String), u64> = HashMap::new();
    // The last closing of a session's event streams: without one, its box ends it.
    let mut alone: HashMap<(u32, String), u64> = HashMap::new();
    // Viewers' own ends, by front and resource.
    let mut given_up: HashMap<(u32, &str), u64> = HashMap::new();
    for c in all {
        if let End::Viewer(front) = c.end {
            for m in c.requests.iter().filter(|m| m.method == "DELETE") {
                given_up.entry((front, m.target.as_str())).or_insert(m.first);
            }
        }
        let End::Box(at) = c.end else { continue };
        for m in c.requests.iter().filter(|m| m.method == "GET") {
            if let Some((path, _)) = m.target.split_once("/events/") {
                let closed = alone.entry((at, path.to_owned())).or_default();
                *closed = c.closed.unwrap_or(u64::MAX).max(*closed);
            }
        }
        for (i, m) in c.requests.iter().enumerate() {
            let done = c.responses.get(i).is_some_and(|r| r.status < 300);
            if let Some(path) = m.target.strip_suffix("/layer").filter(|_| m.method == "POST" && done) {
                let body = serde_json::from_slice::<serde_json::Value>(&m.body).unwrap_or_default();
                let rung = body.get("encodingId").and_then(|v| v.as_str()).and_then(|v| v.parse().ok());
                // In force from its answer on; a call that is still out does not count yet.
                let at_time = c.responses.get(i).map_or(m.last, |r| r.last);
                layers.entry((at, path.to_owned())).or_default().extend(rung.map(|r| (at_time, r)));
            } else if m.method == "DELETE" {
                ends.entry((at, m.target.clone())).or_insert(m.first);
            }
        }
    }
    // Segments of plays: each is of a rung that its player was offered.
    for m in all.iter().filter(|c| matches!(c.end, End::Box(_))).flat_map(|c| &c.requests) {
        let Some((rung, id)) = segment(m) else { continue };
        let Some(ask) = asked.get(id.as_str()) else { continue };
        let floor = config.settings.classes[ask.class].floor;
        finding.looked_at += 1;
        finding.tried += u64::from(floor > 0);
        if rung < floor {
            finding.against(format!("{id}: played a segment of rung {rung}, under the floor {floor}"));
        }
    }
    // Ends of plays: at boxes, and as their players told them.
    let mut plays: HashMap<(u32, &str), u64> = HashMap::new();
    let mut open: HashMap<(u32, u64), &str> = HashMap::new();
    for (at, deed) in deeds {
        match deed {
            Deed::Held { id, session, ufrag } => drop(open.insert((*id, *session), ufrag)),
            Deed::Ended { id, session } => {
                if let Some(play) = open.remove(&(*id, *session)) {
                    plays.insert((*id, play), *at);
                }
            }
            _ => {}
        }
    }
    let mut told: HashMap<String, u64> = HashMap::new();
    for m in all.iter().filter(|c| matches!(c.end, End::Viewer(_))).flat_map(|c| &c.requests) {
        let text = String::from_utf8_lossy(&m.body);
        if m.method == "POST"
            && text.contains("sta=e")
            && let Some(sid) = sid_in(&text)
        {
            told.entry(sid).or_insert(m.first);
        }
    }
    type Seats<'a> = (u32, usize, &'a str);
    let mut held: BTreeMap<Seats<'_>, Vec<(u64, u64)>> = BTreeMap::new();
    for a in attempts {
        let Some(ask) = asked.get(a.ufrag.as_str()) else { continue };
        let class = &config.settings.classes[ask.class];
        let key = (a.at, a.location.clone().unwrap_or_default());
        let stopped = deeds.iter().find_map(|(t, d)| match d {
            Deed::Stopped { id } if *id == a.at && *t >= a.first => Some(*t),
            Deed::Killed { front } if *front == ask.front && *t >= a.first => Some(*t),
            _ => None,
        });
        let left = ask.location.as_deref().and_then(|l| given_up.get(&(ask.front, l)));
        let known = [
            ends.get(&key).copied(),
            alone.get(&key).copied(),
            left.copied(),
            stopped,
            plays.get(&(a.at, a.ufrag.as_str())).copied().filter(|at| *at >= a.first),
            told.get(&a.ufrag).copied().filter(|at| *at >= a.first),
        ];
        let end = known.into_iter().flatten().min().unwrap_or(u64::MAX);
        let plays = ask.answer.filter(|x| x.0 == 201 && a.answer.is_some_and(|y| y.0 == 201));
        if class.floor > 0
            && let Some((_, since)) = plays
        {
            finding.looked_at += 1;
            finding.tried += 1;
            let set = layers.get(&key).map_or(&[][..], Vec::as_slice);
            let at_start = set.iter().rev().find(|l| l.0 <= since + TURN).map_or(0, |l| l.1);
            let low = set.iter().filter(|l| l.0 > since && l.0 < end).map(|l| l.1).fold(at_start, usize::min);
            if low < class.floor {
                finding
                    .against(format!("{}: played at rung {low}, under the floor {}", a.ufrag, class.floor));
            }
        }
        if class.seats > 0 {
            let end = match a.answer {
                Some((status, _)) if stands(status) => end,
                _ => a.over(),
            };
            held.entry((ask.front, ask.class, &ask.title)).or_default().push((a.first, end));
        }
    }
    for ((front, class, title), spans) in held {
        let seats = config.settings.classes[class].seats as usize;
        finding.looked_at += spans.len() as u64;
        for &(from, _) in &spans {
            finding.tried += 1;
            // An end is seen at the box a moment after the front counted the seat as free.
            let now = spans.iter().filter(|s| s.0 <= from && s.1 > from + TURN).count();
            if now > seats {
                finding.against(format!("front {front}: {now} sessions of '{title}', {seats} seats"));
                break;
            }
        }
    }
}

/// Rule 5, seats of an issuer, all fronts together: a session takes one from the moment its box took the set-up until
/// the box is done with it, whoever is stopped, cut off or gone.
fn issued_seats(
    asked: &HashMap<&str, &Ask>, deeds: &[(u64, Deed)], terms: &Terms<'_>, finding: &mut Finding,
) {
    let Some(seats) = terms.seats.map(|s| s as usize) else { return };
    // A box that stands still delivers nothing: what it ends first when it goes on was over when it stopped.
    let mut stopped: BTreeMap<u32, Vec<(u64, u64)>> = BTreeMap::new();
    for (at, deed) in deeds {
        match deed {
            Deed::Frozen { id, on: true } => stopped.entry(*id).or_default().push((*at, u64::MAX)),
            Deed::Frozen { id, on: false } => {
                stopped
                    .entry(*id)
                    .or_default()
                    .iter_mut()
                    .filter(|s| s.1 == u64::MAX)
                    .for_each(|s| s.1 = *at);
            }
            _ => {}
        }
    }
    let mut open: HashMap<(u32, u64), (u64, &str)> = HashMap::new();
    let mut spans: BTreeMap<(usize, &str), Vec<(u64, u64)>> = BTreeMap::new();
    let mut close = |ufrag: &str, from: u64, to: u64| {
        let Some(ask) = asked.get(ufrag) else { return };
        if terms.config.classes[ask.class].tokens.is_some() {
            spans.entry((ask.class, &ask.title)).or_default().push((from, to));
        }
    };
    for (at, deed) in deeds {
        match deed {
            Deed::Held { id, session, ufrag } => drop(open.insert((*id, *session), (*at, ufrag))),
            Deed::Ended { id, session } => {
                let Some((from, ufrag)) = open.remove(&(*id, *session)) else { continue };
                let still = stopped.get(id).into_iter().flatten();
                let still =
                    still.filter(|s| s.0 <= *at && *at <= s.1.saturating_add(TURN)).map(|s| s.0).min();
                close(ufrag, from, still.map_or(*at, |s| s.max(from)));
            }
            _ => {}
        }
    }
    open.values().for_each(|(from, ufrag)| close(ufrag, *from, u64::MAX));
    for ((_, title), spans) in spans {
        finding.looked_at += spans.len() as u64;
        let most = |at: u64| spans.iter().filter(|s| s.0 <= at && s.1 > at).count();
        // With all seats taken one more could have been given.
        finding.tried += spans.iter().filter(|s| most(s.0) >= seats).count() as u64;
        if let Some((at, n)) =
            spans.iter().map(|s| (s.0, most(s.0))).filter(|m| m.1 > seats).max_by_key(|m| m.1)
        {
            let at = at / MS;
            finding.against(format!("all fronts: {n} sessions of '{title}' at {at} ms, {seats} seats"));
        }
    }
}

/// Rule 6.
fn budget(
    asks: &[Ask], attempts: &[Attempt], asked: &HashMap<&str, &Ask>, config: &Config, finding: &mut Finding,
) {
    let Some(b) = config.settings.retry_budget else { return };
    let mut first: BTreeSet<&str> = BTreeSet::new();
    let mut further: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
    for a in attempts {
        finding.looked_at += 1;
        let Some(ask) = asked.get(a.ufrag.as_str()) else { continue };
        if !first.insert(&a.ufrag) {
            further.entry(ask.front).or_default().push(a.first);
        }
        // A play that stood and lost its box is placed anew: that is another first attempt.
        if a.answer.is_some_and(|x| x.0 == 200) {
            first.remove(a.ufrag.as_str());
        }
    }
    for (front, times) in further {
        let taken: Vec<u64> = asks.iter().filter(|a| a.front == front).map(|a| a.sent).collect();
        for (i, &t) in times.iter().enumerate() {
            finding.tried += 1;
            // The two ends of the window are seen at two sockets.
            let sent = times[..=i].iter().filter(|&&u| u + b.window > t + TURN).count() as f64;
            let taken = taken.iter().filter(|&&u| u <= t && u + b.window + TURN > t).count() as f64;
            if sent > b.spare + b.share * taken {
                finding.against(format!(
                    "front {front}: {sent} further attempts in one window, {taken} requests taken"
                ));
                break;
            }
        }
    }
}

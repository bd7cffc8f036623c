//! Stand-ins of the platform that a front node serves on: media servers over RTSP, the event bus's words, and the
//! verdict on what crossed between them and viewers. Without I/O; times are nanoseconds of one clock.

use micadyke_http::sse;
use micadyke_rtsp::{Message, Parser, Start};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod commanded;
mod final_counts;
pub use commanded::Word;
pub use final_counts::{FinalCounts, final_counts};

/// What a stand-in server does with a set-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Treat {
    /// It answers, and the session plays for so long.
    Serve(u64),
    /// It answers with a status.
    Status(u16),
    /// It never answers.
    Silent,
    /// It runs the set-up and answers with noise.
    Noise,
    /// It runs the set-up and answers with half a message.
    Half,
    /// It runs the set-up and claims content of 3 GB.
    Huge,
    /// It runs the set-up and breaks the connection.
    Break,
    /// It answers twice.
    Twice,
    /// It answers a session that nobody knows, then this one.
    Stranger,
    /// It releases the set-up in place of an answer.
    Release,
    /// It serves, and its viewer leaves after so many nanoseconds of play.
    Leaves(u64),
}

/// What a stand-in server wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Act {
    /// Write to a connection.
    Write(u64, Vec<u8>),
    /// Close a connection.
    Close(u64),
}

/// What crossed a socket of a viewer or a server, or was told; `id` is the session.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Seen {
    /// A viewer asked: its patience, whether it may not be set up twice, the lowest rung it may get.
    Asked { id: u64, patience: u64, paid: bool, floor: usize },
    /// A viewer read a final answer: the description, or none and whether it was a refusal.
    Answered { id: u64, description: Option<Vec<u8>>, refused: bool },
    /// A viewer gave up, or ended its session.
    GaveUp { id: u64 },
    /// A viewer read the release of a session that stood.
    Released { id: u64 },
    /// A server read a set-up.
    Sent { id: u64, server: String, rung: usize },
    /// A front node wrote a set-up whole to a server that it reaches by a slow way, read at the node's end of that way.
    /// Of a session of which this was seen, what is out is judged here and no longer by [`Seen::Sent`].
    Handed { id: u64, server: String, connection: usize },
    /// A front node wrote that it gives such a set-up up, or closed its connection.
    TakenBack { id: u64, server: String, connection: usize },
    /// A server read that a set-up is given up, or its connection was closed.
    Withdrawn { id: u64, server: String },
    /// A server wrote the end of a set-up, and whether it had run.
    Ended { id: u64, server: String, ran: bool },
    /// A server wrote an answer with this description.
    Stood { id: u64, server: String, description: Vec<u8> },
    /// A server released a session that stood; the viewer is owed word of it.
    Over { id: u64 },
    /// The bus told that a server takes nothing new.
    Told { server: String },
    /// A server's process started: it is cold.
    Started { server: String },
    /// A front node passed a test.
    Ready { node: String },
    /// The set-up went to this front node.
    AskedAt { id: u64, node: String },
}

impl Seen {
    /// The session that it is about, if it is about one.
    pub fn session(&self) -> Option<u64> {
        match self {
            Seen::Asked { id, .. }
            | Seen::Answered { id, .. }
            | Seen::GaveUp { id }
            | Seen::Released { id }
            | Seen::Sent { id, .. }
            | Seen::Handed { id, .. }
            | Seen::TakenBack { id, .. }
            | Seen::Withdrawn { id, .. }
            | Seen::Ended { id, .. }
            | Seen::Stood { id, .. }
            | Seen::Over { id }
            | Seen::AskedAt { id, .. } => Some(*id),
            Seen::Told { .. } | Seen::Started { .. } | Seen::Ready { .. } => None,
        }
    }
}

/// What was seen, with the time.
pub type Record = Vec<(u64, Seen)>;

/// What a server's process that was killed could not write down any more, from all that is known of it: what was open there
/// is given up, what stood is over. `at`: the time of the kill, no earlier than its last word.
pub fn killed(record: &Record, server: &str, at: u64) -> Record {
    let (mut open, mut standing) = (BTreeSet::new(), BTreeSet::new());
    let mut over = Record::new();
    for (_, seen) in record {
        match seen {
            Seen::Sent { id, server: s, .. } if s == server => drop(open.insert(*id)),
            Seen::Withdrawn { id, server: s } | Seen::Ended { id, server: s, .. } if s == server => {
                open.remove(id);
            }
            Seen::Stood { id, server: s, .. } if s == server => {
                open.remove(id);
                standing.insert(*id);
            }
            Seen::Over { id } => drop(standing.remove(id)),
            _ => {}
        }
    }
    over.extend(open.into_iter().map(|id| (at, Seen::Withdrawn { id, server: server.to_owned() })));
    over.extend(standing.into_iter().map(|id| (at, Seen::Over { id })));
    over
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Due {
    Answer(u64, u64, Treat),
    End(u64),
    Leave(u64),
}

/// A media server.
#[derive(Debug)]
pub struct MediaServer {
    id: String,
    /// Nanoseconds from a set-up to its answer.
    pub delay: u64,
    /// What is done with the next set-ups; then `usual`.
    pub next: VecDeque<Treat>,
    /// What is done with a set-up otherwise.
    pub usual: Treat,
    /// Bytes by which descriptions are longer than usual.
    pub padding: usize,
    parsers: BTreeMap<u64, Parser>,
    out: BTreeMap<u64, u64>,
    standing: BTreeMap<u64, u64>,
    due: BTreeMap<(u64, u64), Due>,
    number: u64,
    /// Releases that are sent on the next connection too.
    unsent: Vec<u64>,
}

impl MediaServer {
    /// A server of this id that serves.
    pub fn new(id: &str, delay: u64, usual: Treat) -> Self {
        MediaServer {
            id: id.to_owned(),
            delay,
            next: VecDeque::new(),
            usual,
            padding: 0,
            parsers: BTreeMap::new(),
            out: BTreeMap::new(),
            standing: BTreeMap::new(),
            due: BTreeMap::new(),
            number: 0,
            unsent: Vec::new(),
        }
    }

    /// Sessions that play here.
    pub fn standing(&self) -> impl Iterator<Item = u64> {
        self.standing.keys().copied()
    }

    /// A connection came up.
    pub fn opened(&mut self, conn: u64) -> Vec<Act> {
        self.parsers.insert(conn, Parser::default());
        self.unsent.drain(..).map(|id| Act::Write(conn, released(id, 16))).collect()
    }

    /// A connection is over: set-ups open on it are given up.
    pub fn closed(&mut self, now: u64, conn: u64, record: &mut Record) {
        self.parsers.remove(&conn);
        let open: Vec<u64> = self.out.iter().filter(|o| *o.1 == conn).map(|o| *o.0).collect();
        for id in open {
            self.out.remove(&id);
            record.push((now, Seen::Withdrawn { id, server: self.id.clone() }));
        }
    }

    /// A withdrawal was written that can't reach it: the set-up counts as given up.
    pub fn written_off(&mut self, now: u64, bytes: &[u8], record: &mut Record) {
        let mut parser = Parser::default();
        parser.feed(bytes);
        let id = parser.poll().ok().flatten().and_then(|m| m.session_id());
        if let Some(id) = id.filter(|id| self.out.remove(id).is_some()) {
            record.push((now, Seen::Withdrawn { id, server: self.id.clone() }));
        }
    }

    /// A session that plays already, as after a restart of its front node.
    pub fn plays(&mut self, id: u64, until: u64) {
        self.standing.insert(id, 0);
        self.later(until, Due::End(id));
    }

    fn later(&mut self, at: u64, due: Due) {
        self.number += 1;
        self.due.insert((at, self.number), due);
    }

    /// When [`Self::wake`] is due.
    pub fn wake_at(&self) -> Option<u64> {
        self.due.first_key_value().map(|(k, _)| k.0)
    }

    /// Bytes came.
    pub fn read(&mut self, now: u64, conn: u64, bytes: &[u8], record: &mut Record) -> Vec<Act> {
        let mut acts = Vec::new();
        let Some(parser) = self.parsers.get_mut(&conn) else { return acts };
        parser.feed(bytes);
        let mut messages = Vec::new();
        loop {
            match parser.poll() {
                Ok(Some(m)) => messages.push(m),
                Ok(None) => break,
                Err(_) => {
                    acts.push(Act::Close(conn));
                    break;
                }
            }
        }
        for m in messages {
            let Start::Request { method, .. } = &m.start else { continue };
            let id = m.session_id().unwrap_or(0);
            match method.as_str() {
                "SETUP" => {
                    let rung = m.headers.get("rate-step").and_then(|r| r.parse().ok()).unwrap_or(0);
                    record.push((now, Seen::Sent { id, server: self.id.clone(), rung }));
                    self.out.insert(id, conn);
                    let treat = self.next.pop_front().unwrap_or(self.usual);
                    self.later(now + self.delay, Due::Answer(id, conn, treat));
                }
                "TEARDOWN" => {
                    if self.out.remove(&id).is_some() {
                        record.push((now, Seen::Withdrawn { id, server: self.id.clone() }));
                    }
                    if self.standing.remove(&id).is_some() {
                        acts.push(Act::Write(conn, released(id, 31)));
                    }
                    acts.push(Act::Write(conn, Message::response(200, 2).session(id).encode()));
                }
                "OPTIONS" => acts.push(Act::Write(conn, Message::response(200, 3).encode())),
                _ => {}
            }
        }
        acts
    }

    /// Time went by.
    pub fn wake(&mut self, now: u64, record: &mut Record) -> Vec<Act> {
        let mut acts = Vec::new();
        while let Some(first) = self.due.first_entry().filter(|e| e.key().0 <= now) {
            match first.remove() {
                Due::Answer(id, conn, treat) if self.out.get(&id) == Some(&conn) => {
                    self.answer(now, id, conn, treat, record, &mut acts);
                }
                Due::Answer(..) => {}
                Due::End(id) => {
                    if let Some(conn) = self.standing.remove(&id) {
                        let own = Some(conn).filter(|c| self.parsers.contains_key(c));
                        let conn = own.or_else(|| self.parsers.keys().next().copied());
                        acts.extend(conn.map(|c| Act::Write(c, released(id, 16))));
                        self.unsent.push(id);
                        record.push((now, Seen::Over { id }));
                    }
                }
                // The viewer left of itself: it is owed no word.
                Due::Leave(id) => {
                    if let Some(conn) = self.standing.remove(&id) {
                        acts.push(Act::Write(conn, released(id, 31)));
                        record.push((now, Seen::GaveUp { id }));
                    }
                }
            }
        }
        acts
    }

    fn answer(
        &mut self, now: u64, id: u64, conn: u64, treat: Treat, record: &mut Record, acts: &mut Vec<Act>,
    ) {
        let description = self.description(id);
        let server = self.id.clone();
        let good = Message::response(200, 1).session(id).content(&description).encode();
        let ended = |ran| (now, Seen::Ended { id, server: server.clone(), ran });
        let spoilt = match treat {
            Treat::Silent => return,
            Treat::Serve(life) => {
                self.later(now + life, Due::End(id));
                vec![good]
            }
            Treat::Leaves(after) => {
                self.later(now + after, Due::Leave(id));
                vec![good]
            }
            Treat::Twice => {
                self.later(now + BRIEF, Due::End(id));
                vec![good.clone(), good]
            }
            Treat::Stranger => {
                self.later(now + BRIEF, Due::End(id));
                vec![Message::response(200, 1).session(!id).content(b"x").encode(), good]
            }
            Treat::Status(status) => {
                self.out.remove(&id);
                record.push(ended(!matches!(status, 453 | 454)));
                return acts.push(Act::Write(conn, Message::response(status, 1).session(id).encode()));
            }
            Treat::Release => {
                self.out.remove(&id);
                record.push(ended(true));
                return acts.push(Act::Write(conn, released(id, 41)));
            }
            Treat::Noise => vec![b"\x00\x80\xffnoise\r\n\r\n".to_vec()],
            Treat::Half => vec![good[..good.len() / 2].to_vec()],
            Treat::Huge => vec![
                format!(
                    "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {id:016x}\r\nContent-Length: 3221225472\r\n\r\n"
                )
                .into_bytes(),
            ],
            Treat::Break => {
                self.out.remove(&id);
                record.push(ended(true));
                return acts.push(Act::Close(conn));
            }
        };
        self.out.remove(&id);
        if matches!(treat, Treat::Serve(_) | Treat::Leaves(_) | Treat::Twice | Treat::Stranger) {
            self.standing.insert(id, conn);
            record.push((now, Seen::Stood { id, server, description }));
        } else {
            record.push(ended(true));
        }
        acts.extend(spoilt.into_iter().map(|bytes| Act::Write(conn, bytes)));
    }
}

/// How long a session plays whose answer came with more than belongs to it.
const BRIEF: u64 = 2_000_000_000;

fn released(id: u64, cause: u8) -> Vec<u8> {
    let message = Message::request("TEARDOWN", &format!("rtsp://media/{id:016x}"), 2).session(id);
    message.with("Reason", &format!("cause={cause}")).encode()
}

/// An event of the bus as its stream carries it; `rows` holds servers as JSON objects between commas.
pub fn bus_event(offset: u64, full: bool, rows: &str) -> Vec<u8> {
    let topology = format!("{{\"version\":{offset},\"full\":{full},\"servers\":[{rows}]}}");
    let data = format!("{{\"offset\":{offset},\"topology\":{topology}}}");
    sse::Event { id: offset.to_string(), data, ..Default::default() }.encode()
}

/// What a server bears while it is cold: so many set-ups within any window as it has places over its warm-up, times the share
/// that it has warmed, times the multiple, times the window. Beyond that it falls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bears {
    /// Places of a warm one.
    pub places: f64,
    /// It warms in so many nanoseconds.
    pub cold_for: u64,
    /// The share that it has when it starts.
    pub cold_from: f64,
    /// How often that it bears.
    pub multiple: f64,
    /// Nanoseconds of a window.
    pub window: u64,
}

/// Servers that were pushed over while they were cold (rule 4), each with its worst window.
pub fn pushed_over(record: &Record, bears: &Bears) -> Vec<String> {
    let mut fallen = Vec::new();
    let mut cold: BTreeMap<&str, (u64, VecDeque<u64>)> = BTreeMap::new();
    for (at, seen) in record {
        match seen {
            Seen::Started { server } => drop(cold.insert(server, (*at, VecDeque::new()))),
            Seen::Sent { server, .. } => {
                let Some((start, window)) = cold.get_mut(server.as_str()) else { continue };
                let warmed = (at - *start) as f64 / bears.cold_for as f64;
                if warmed >= 1.0 {
                    cold.remove(server.as_str());
                    continue;
                }
                window.push_back(*at);
                while window.front().is_some_and(|first| first + bears.window <= *at) {
                    window.pop_front();
                }
                let share = bears.cold_from + (1.0 - bears.cold_from) * warmed;
                let span = bears.window as f64 / bears.cold_for as f64;
                let most = (bears.places * share * bears.multiple * span).max(1.0);
                if window.len() as f64 > most {
                    let (n, age) = (window.len(), (at - *start) / 1_000_000);
                    fallen.push(format!("rule 4: {server} got {n} set-ups, {most:.1} borne, {age} ms old"));
                    cold.remove(server.as_str());
                }
            }
            _ => {}
        }
    }
    fallen
}

/// Grace of the verdicts, beside what the rules allow.
const SLACK: u64 = 50_000_000;
/// Nothing new reaches a server later than this after it was told that it drains.
const DRAIN: u64 = 250_000_000;
/// No attempt begins later than this after its viewer has gone.
const GONE: u64 = 100_000_000;
/// A session that is over is released within this.
const RELEASE: u64 = 1_000_000_000;

/// An attempt that is out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Attempt<'r> {
    server: &'r str,
    /// The connection that it was written on, where it is noted at the front node's end.
    connection: Option<usize>,
}

#[derive(Default)]
struct Request<'r> {
    due: u64,
    paid: bool,
    floor: usize,
    /// A final answer came, and whether it was 'served'.
    answered: Option<bool>,
    gave_up: Option<u64>,
    out: Option<Attempt<'r>>,
    /// Its attempts are noted where they leave the front node.
    near_end: bool,
    /// An attempt of it may have run.
    ran: bool,
    /// What servers gave for it.
    given: Vec<&'r [u8]>,
    over: Option<u64>,
}

impl<'r> Request<'r> {
    /// An attempt begins.
    fn begin(&mut self, attempt: Attempt<'r>, mut breach: impl FnMut(u8, &str)) {
        if self.out.is_some() {
            breach(2, "two attempts out");
        }
        if self.paid && self.ran {
            breach(2, "sent again although it may have run");
        }
        self.out = Some(attempt);
    }

    /// An attempt is given up, if it is the one that is out: it may have run.
    fn given_up(&mut self, attempt: Attempt) {
        if self.out == Some(attempt) {
            (self.out, self.ran) = (None, true);
        }
    }

    fn is_out_at(&self, server: &str) -> bool {
        self.out.is_some_and(|attempt| attempt.server == server)
    }
}

/// What rules the record shows broken, each named with its session; none where all were kept. `end`: the record's end.
pub fn verdict(record: &Record, end: u64) -> Vec<String> {
    let mut broken = Vec::new();
    let mut requests: BTreeMap<u64, Request> = BTreeMap::new();
    let mut told: BTreeMap<&str, u64> = BTreeMap::new();
    let mut strangers: BTreeSet<u64> = BTreeSet::new();
    for (at, seen) in record {
        if let Seen::Told { server } = seen {
            told.entry(server).or_insert(*at);
            continue;
        }
        if let Seen::Asked { id, patience, paid, floor } = seen {
            let new = Request { due: at + patience, paid: *paid, floor: *floor, ..Request::default() };
            requests.insert(*id, new);
            continue;
        }
        let Some(id) = seen.session() else { continue };
        let Some(r) = requests.get_mut(&id) else {
            // Sessions that were handed over were asked for elsewhere: only a set-up is a stranger's.
            if matches!(seen, Seen::Sent { .. }) {
                strangers.insert(id);
            }
            continue;
        };
        let late = r.gave_up.filter(|gone| *at > gone + GONE + SLACK);
        if let (Seen::Sent { .. }, Some(gone)) = (seen, late) {
            let ms = (at - gone) / 1_000_000;
            broken.push(format!("gone: {id:016x} sent on {ms} ms after its viewer had gone"));
        }
        let mut breach = |rule: u8, what: &str| broken.push(format!("rule {rule}: {id:016x} {what}"));
        match seen {
            Seen::Answered { description, refused, .. } => {
                if r.answered.is_some() {
                    breach(1, "answered twice");
                }
                if *at > r.due + SLACK && r.gave_up.is_none() {
                    breach(1, "answered too late");
                }
                if description.as_ref().is_some_and(|d| !r.given.contains(&d.as_slice())) {
                    breach(1, "served with what no server made for it");
                }
                if *refused && r.paid && r.ran {
                    breach(2, "refused although it may have run");
                }
                if *refused && r.out.is_some() {
                    breach(2, "refused while an attempt is out");
                }
                r.answered = Some(description.is_some());
            }
            Seen::GaveUp { .. } => r.gave_up = r.gave_up.or(Some(*at)),
            Seen::Handed { server, connection, .. } => {
                r.near_end = true;
                r.begin(Attempt { server, connection: Some(*connection) }, breach);
            }
            Seen::TakenBack { server, connection, .. } => {
                r.given_up(Attempt { server, connection: Some(*connection) });
            }
            Seen::Sent { server, rung, .. } => {
                if told.get(server.as_str()).is_some_and(|t| *at > t + DRAIN + SLACK) {
                    breach(3, "sent to a server that drains");
                }
                if *rung < r.floor {
                    breach(5, "under its floor");
                }
                if !r.near_end {
                    r.begin(Attempt { server, connection: None }, breach);
                }
            }
            Seen::Withdrawn { server, .. } => r.given_up(Attempt { server, connection: None }),
            Seen::Ended { server, ran, .. } if r.is_out_at(server) => {
                r.out = None;
                r.ran |= ran;
            }
            Seen::Stood { server, description, .. } => {
                r.given.push(description);
                if r.is_out_at(server) {
                    (r.out, r.ran) = (None, true);
                }
            }
            Seen::Over { .. } if r.answered == Some(true) => r.over = Some(*at),
            Seen::Released { .. } => r.over = None,
            _ => {}
        }
    }
    for (id, r) in &requests {
        if r.answered.is_none() && r.gave_up.is_none() && end > r.due + SLACK {
            broken.push(format!("rule 1: {id:016x} never answered"));
        }
        if r.over.is_some_and(|o| end > o + RELEASE + SLACK) && r.gave_up.is_none() {
            broken.push(format!("rule 1: {id:016x} is over and was not released"));
        }
    }
    broken.extend(strangers.iter().map(|id| format!("rule 1: {id:016x} was sent by no viewer")));
    broken
}

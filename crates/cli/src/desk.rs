//! The directory beside a member: its clock, its letters, and the desk at which people's tools ask it.

use crate::ground::Failure;
use micadyke_directory::settings::Terms;
use micadyke_directory::{
    self as directory, Answer, Directory, Entry, Error, Input, Key, Output, Progress, Seen,
};
use micadyke_membership::frame::{FrameCodec, Head, Kind, MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES};
use micadyke_membership::{Change, Member, Message, MessageChannel};
use micadyke_node::shell::{DirectoryLink, Index};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot};
use tracing::{info, warn};

/// The directory's letters, among those that travel with membership's datagrams.
const TOPIC: u8 = 1;
/// Ends that wait for the node; those beyond are asked for again.
const ENDS: usize = 256;
/// Tools that are served at a time; one beyond is turned away.
const TOOLS: usize = 16;
/// A tool says what it wants within this.
const HURRY: Duration = Duration::from_secs(2);
/// Frames of an answer to a tool at most.
const FRAMES: usize = 512;

/// A directory that runs.
pub struct Desk {
    directory: RefCell<Directory>,
    zero: Instant,
    name: String,
    terms: Terms,
    letters: mpsc::Sender<Message>,
    ends: mpsc::Sender<Key>,
    waiting: RefCell<HashMap<u64, Vec<oneshot::Sender<Answer>>>>,
    wake: Notify,
    tools: Cell<usize>,
}

impl std::fmt::Debug for Desk {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Desk").field("directory", &self.directory).finish_non_exhaustive()
    }
}

impl Index for Desk {
    fn session_changed(&self, session: &directory::Session, playing: bool) {
        self.feed(if playing { Input::Started(session) } else { Input::Ended(session) });
    }

    fn sessions_left(&self, key: &Key, count: u64) {
        self.feed(Input::Left { what: key, sessions: count });
    }
}

/// A desk, the node's way to it, letters that come, and the end of them for membership.
pub fn open(name: &str, terms: Terms) -> (Rc<Desk>, DirectoryLink, mpsc::Receiver<Message>, MessageChannel) {
    let (ours, theirs) = MessageChannel::pair();
    let (told, ends) = mpsc::channel(ENDS);
    let settings = directory::Settings {
        rate: terms.rate,
        lines: terms.lines,
        zone: terms.zone.clone(),
        ..directory::Settings::new(name, 0)
    };
    let waits = terms.waits().expect("settings of deadlines were checked as they were read");
    let desk = Rc::new(Desk {
        directory: RefCell::new(Directory::new(settings, waits, directory::SECOND)),
        // Its time is never 0.
        zero: Instant::now(),
        name: name.to_owned(),
        terms,
        letters: ours.send,
        ends: told,
        waiting: RefCell::default(),
        wake: Notify::new(),
        tools: Cell::new(0),
    });
    let directed = DirectoryLink { index: desk.clone(), withdrawals: ends };
    (desk, directed, ours.receive, theirs)
}

impl Desk {
    fn now(&self) -> directory::Nanos {
        directory::SECOND + self.zero.elapsed().as_nanos() as u64
    }

    fn feed(&self, input: Input) {
        let mut out = Vec::new();
        self.directory.borrow_mut().handle(self.now(), input, &mut out);
        self.carry(out);
    }

    fn carry(&self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, bytes } => drop(self.letters.try_send(Message::to(&to, TOPIC, bytes))),
                Output::Answered { id, answer } => {
                    let waiting = self.waiting.borrow_mut().remove(&id).unwrap_or_default();
                    waiting.into_iter().for_each(|w| drop(w.send(answer.clone())));
                }
                Output::End { what } => drop(self.ends.try_send(what)),
                Output::Progress(p) if p.ended_everywhere => {
                    info!(what = %p.what, "withdrawn: ended everywhere")
                }
                Output::Progress(p) => {
                    let first = p.waits.first().map(ToString::to_string).unwrap_or_default();
                    info!(what = %p.what, confirmed = p.confirmed, waits = p.waits.len(), first, "withdrawn");
                }
            }
        }
        self.wake.notify_one();
    }

    /// This start, as the others will know it.
    pub fn starts(&self, start: u64) {
        self.feed(Input::View(Seen::Up { name: self.name.clone(), start, zone: String::new() }));
    }

    /// The view changed.
    pub fn seen(&self, change: &Change) {
        let up = |m: &Member| Seen::Up { name: m.name.clone(), start: m.start, zone: String::new() };
        self.feed(Input::View(match change {
            Change::Up(m) | Change::Renewed { new: m, .. } | Change::Rejoined(m) => up(m),
            Change::Down(m) => Seen::Down(m.name.clone()),
            Change::Left(m) => Seen::Left(m.name.clone()),
            Change::Suspected(m) => Seen::Suspected(m.name.clone()),
            Change::Cleared(m) => Seen::Cleared(m.name.clone()),
            Change::Settled { .. } => Seen::Settled(true),
            Change::Unsettled(_) | Change::Superseded { .. } => Seen::Settled(false),
            _ => return,
        }));
    }

    /// Runs until there are no more letters.
    pub async fn run(self: Rc<Self>, mut letters: mpsc::Receiver<Message>) {
        loop {
            let at = self.directory.borrow().wake_at();
            let span = Duration::from_nanos(at.saturating_sub(self.now()).min(directory::SECOND));
            tokio::select! {
                letter = letters.recv() => match letter {
                    Some(l) if l.topic == TOPIC => self.feed(Input::Message { from: &l.name, bytes: &l.payload }),
                    Some(_) => {}
                    None => return,
                },
                () = tokio::time::sleep(span) => self.feed(Input::Wake),
                () = self.wake.notified() => {}
            }
        }
    }

    /// Answers people's tools where the settings say so.
    ///
    /// # Errors
    ///
    /// Where it cannot listen.
    pub async fn listen(self: Rc<Self>, seal: FrameCodec) -> Result<(), String> {
        let Some(addr) = self.terms.ask else { return std::future::pending().await };
        let listener = TcpListener::bind(addr).await.map_err(|e| format!("cannot listen on {addr}: {e}"))?;
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            if self.tools.get() >= TOOLS {
                warn!("a tool is turned away: {TOOLS} are served");
                continue;
            }
            self.tools.set(self.tools.get() + 1);
            let (desk, seal) = (self.clone(), seal.clone());
            tokio::task::spawn_local(async move {
                let limit = HURRY + Duration::from_nanos(desk.terms.patience) + HURRY;
                let _ = tokio::time::timeout(limit, desk.serve(stream, &seal)).await;
                desk.tools.set(desk.tools.get() - 1);
            });
        }
    }

    async fn serve(&self, mut stream: TcpStream, seal: &FrameCodec) -> Option<()> {
        let asked = tokio::time::timeout(HURRY, take(&mut stream, seal)).await.ok()??;
        let asked: Value = serde_json::from_slice(&asked).ok()?;
        let answer = match self.do_as_told(&asked).await {
            Ok(answer) => answer,
            Err(error) => json!({"error": error.to_string(), "advice": error.advice()}),
        };
        let text = json!({"number": asked["number"], "by": self.name, "answer": answer}).to_string();
        for part in text.as_bytes().chunks(MAX_PAYLOAD_BYTES) {
            put(&mut stream, seal, part).await?;
        }
        stream.shutdown().await.ok()
    }

    async fn do_as_told(&self, asked: &Value) -> Result<Value, Error> {
        let text = asked["text"].as_str().unwrap_or_default().to_owned();
        let key = match asked["kind"].as_str() {
            Some("viewer") => Key::Viewer(text),
            Some("server") => Key::Server(text),
            _ => Key::Title(text),
        };
        let mut out = Vec::new();
        match asked["act"].as_str() {
            Some("withdraw") => {
                // What is under way is told of, not begun anew.
                let open = self.directory.borrow().progress(&key).is_some_and(|p| !p.ended_everywhere);
                if !open {
                    let span = asked["for_ms"].as_u64().unwrap_or_default().saturating_mul(directory::MS);
                    self.directory.borrow_mut().withdraw(self.now(), key.clone(), span, &mut out)?;
                    self.carry(out);
                    tokio::time::sleep(Duration::from_nanos(self.terms.patience)).await;
                }
                let progress = self.directory.borrow().progress(&key);
                progress.map(|p| progress_as_json(&p)).ok_or(Error::Unknown(key))
            }
            Some("lift") => {
                self.directory.borrow_mut().lift(self.now(), key.clone(), &mut out)?;
                self.carry(out);
                Ok(json!({"lifted": key.text()}))
            }
            Some("accounted") => {
                let start = asked["start"].as_u64().unwrap_or_default();
                self.feed(Input::Accounted { name: key.text(), start });
                Ok(json!({"accounted": key.text(), "start": start}))
            }
            _ => {
                let (answered, answer) = oneshot::channel();
                let limit = self.now() + self.terms.limit(&key);
                let id = self.directory.borrow_mut().ask(self.now(), key, limit, &mut out)?;
                self.waiting.borrow_mut().entry(id).or_default().push(answered);
                self.carry(out);
                let answer = answer.await.map_err(|_| Error::Rate)?;
                Ok(as_json(&answer, self.terms.deadline.is_some()))
            }
        }
    }
}

fn progress_as_json(progress: &Progress) -> Value {
    let waits: Vec<String> = progress.waits.iter().map(ToString::to_string).collect();
    json!({"withdrawn": progress.what.text(), "ended_everywhere": progress.ended_everywhere,
        "confirmed": progress.confirmed, "waits": waits})
}

fn as_json(answer: &Answer, learned: bool) -> Value {
    let report = answer.report();
    let entry = |e: &Entry| json!({"node": e.node, "start": e.start, "server": e.at, "sessions": e.count, "seq": e.seq, "age_ms": e.age_ms});
    // A partial answer's words are others than a whole one's.
    let mut told = match answer {
        Answer::Whole(w) => {
            json!({"whole": true, "sessions": w.sum(), "entries": w.entries().iter().map(entry).collect::<Vec<_>>()})
        }
        Answer::Partial(p) => {
            let entries: Vec<Value> = p.at_least().iter().map(entry).collect();
            json!({"whole": false, "sessions_at_least": p.sum_at_least(), "entries_at_least": entries})
        }
    };
    let wait = |at: directory::Nanos| at.saturating_sub(report.asked_at) as f64 / directory::MS as f64;
    told["about"] = json!(report.key.to_string());
    told["asked"] = json!(report.asked);
    told["answered"] = json!(report.answered);
    told["busy"] = json!(report.busy);
    told["missing"] = json!(report.missing());
    told["given_up"] = json!(report.given_up);
    told["weight"] = json!(report.weight());
    told["members"] = json!([report.covered, report.members]);
    told["oldest_ms"] = json!(report.oldest_ms);
    told["cut"] = json!(report.cut);
    told["deadline_ms"] = json!(wait(report.deadline));
    told["took_ms"] = json!(wait(report.ended_at));
    told["wait"] = json!(if learned { "learned" } else { "fixed" });
    told["why"] = json!(report.ended.word());
    told["ended"] = json!(report.ended.to_string());
    told
}

// ----- the tool's side

/// Frames are the fleet's own, each with its length ahead.
async fn put(stream: &mut TcpStream, seal: &FrameCodec, payload: &[u8]) -> Option<()> {
    let any: SocketAddr = ([0, 0, 0, 0], 0).into();
    let head =
        Head { kind: Kind::Message(TOPIC), sender: Member::new("asker", any, 0), digest: 0, members: 0 };
    let bytes = seal.encode(&head, payload)?;
    stream.write_all(&(bytes.len() as u16).to_be_bytes()).await.ok()?;
    stream.write_all(&bytes).await.ok()
}

async fn take(stream: &mut TcpStream, seal: &FrameCodec) -> Option<Vec<u8>> {
    let mut length = [0; 2];
    stream.read_exact(&mut length).await.ok()?;
    let length = usize::from(u16::from_be_bytes(length));
    let mut bytes = vec![0; Some(length).filter(|l| *l <= MAX_DATAGRAM_BYTES)?];
    stream.read_exact(&mut bytes).await.ok()?;
    seal.decode(&bytes)
        .ok()
        .filter(|(head, _)| head.kind == Kind::Message(TOPIC))
        .map(|(_, payload)| payload.to_vec())
}

/// What a tool wants.
pub struct Wish {
    /// The kind of key.
    pub kind: &'static str,
    /// The key.
    pub text: String,
    /// What is to be done beyond asking.
    pub act: Option<&'static str>,
    /// For how long a withdrawal holds.
    pub span: Duration,
    /// Which start is accounted for.
    pub start: u64,
}

/// Asks a node's desk.
pub async fn ask(at: SocketAddr, seal: &FrameCodec, wish: &Wish, limit: Duration) -> Result<Value, Failure> {
    // An answer to another question, said again, is told by its number.
    let number: u32 = rand::random();
    let asked = json!({"number": number, "kind": wish.kind, "text": wish.text, "act": wish.act,
        "for_ms": wish.span.as_millis() as u64, "start": wish.start})
    .to_string();
    let talk = async {
        let mut stream = TcpStream::connect(at).await?;
        put(&mut stream, seal, asked.as_bytes()).await;
        let mut text = Vec::new();
        for _ in 0..FRAMES {
            match take(&mut stream, seal).await {
                Some(part) => text.extend(part),
                None => break,
            }
        }
        Ok::<_, std::io::Error>(text)
    };
    let text =
        tokio::time::timeout(limit, talk).await.map_err(|_| format!("{at} does not answer in time"))?;
    let text = text.map_err(|e| format!("{at}: {e}"))?;
    let answer: Option<Value> = serde_json::from_slice(&text).ok();
    let answer = answer.filter(|a| a["number"] == number);
    let why = || format!("{at} did not answer: no desk of a directory there, or of another fleet or key");
    Ok(answer.ok_or_else(why)?)
}

/// An answer in words.
pub fn in_words(answer: &Value) -> String {
    let told = &answer["answer"];
    let list = |v: &Value| -> Vec<String> {
        v.as_array().into_iter().flatten().map(|w| w.as_str().unwrap_or_default().to_owned()).collect()
    };
    if let Some(ended) = told["ended_everywhere"].as_bool() {
        let mut text = format!("{}: ", told["withdrawn"].as_str().unwrap_or_default());
        match ended {
            true => text.push_str("ended everywhere\n"),
            false => {
                text.push_str(&format!("open, {} members have confirmed; it waits:\n", told["confirmed"]))
            }
        }
        return list(&told["waits"]).into_iter().fold(text, |text, w| text + "  " + &w + "\n");
    }
    let Some(whole) = told["whole"].as_bool() else { return format!("{told}\n") };
    let (sum, entries) = match whole {
        true => (format!("whole: {} sessions", told["sessions"]), &told["entries"]),
        false => {
            (format!("PARTIAL: at least {} sessions", told["sessions_at_least"]), &told["entries_at_least"])
        }
    };
    let number = |name: &str| told[name].as_f64().unwrap_or_default();
    let mut text = format!(
        "{} {sum}; books of {} of {} members (weight {:.2}), the oldest word {} ms old; {} of {} answered in {:.1} ms, the {} deadline was {:.1} ms: {}\n",
        told["about"].as_str().unwrap_or_default(),
        told["members"][0],
        told["members"][1],
        number("weight"),
        told["oldest_ms"],
        list(&told["answered"]).len(),
        list(&told["asked"]).len(),
        number("took_ms"),
        told["wait"].as_str().unwrap_or_default(),
        number("deadline_ms"),
        told["ended"].as_str().unwrap_or_default(),
    );
    for what in ["missing", "busy", "given_up"] {
        let names = list(&told[what]);
        if !names.is_empty() {
            text += &format!("  {}: {}\n", what.replace('_', " "), names.join(", "));
        }
    }
    for e in entries.as_array().into_iter().flatten() {
        let word = |name: &str| e[name].as_str().unwrap_or_default().to_owned();
        text += &format!(
            "  {:<20} {:<20} {:>8} {:>7} ms\n",
            word("node"),
            word("server"),
            e["sessions"],
            e["age_ms"]
        );
    }
    text
}

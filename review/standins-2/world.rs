//! Stand-ins of the platform for the cases of review 2: media servers, the event bus and viewers on loopback, and the cases
//! that are played with them. The node is a process of its own, started by the line `run` of deploy/balancer.toml.
//!
//!     world CASE FOLDER
//!
//! FOLDER gets `record.txt`. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. `TROUBLE=0` in the
//! environment leaves the disruption out.

use std::collections::{BTreeMap, HashMap};
use std::ffi::c_void;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod cases;

unsafe extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const c_void, length: u32) -> i32;
}

// ----- time and record

static ZERO: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Milliseconds since the start of the case.
pub fn now() -> u64 {
    ZERO.get().expect("set at the start").elapsed().as_millis() as u64
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

pub fn note(text: impl AsRef<str>) {
    let mut file = RECORD.get().expect("set at the start").lock().expect("whole");
    let _ = writeln!(file, "{:>6} ms  {}", now(), text.as_ref());
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Waits until `done` says so, `most` milliseconds at most; whether it did.
pub fn wait_for(most: u64, mut done: impl FnMut() -> bool) -> bool {
    let until = now() + most;
    loop {
        if done() {
            return true;
        }
        if now() >= until {
            return false;
        }
        sleep(ms(5));
    }
}

/// The case could not run.
pub fn cannot(why: &str) -> ! {
    note(format!("the case cannot run: {why}"));
    eprintln!("the case cannot run: {why}");
    end(2)
}

/// Ends the case; the node, if one runs, is ended too.
pub fn end(code: i32) -> ! {
    if let Some(mut child) = NODE.lock().expect("whole").take() {
        let _ = (child.kill(), child.wait());
    }
    // KEEP=1 keeps the configuration and the front node's log.
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(folder());
    }
    exit(code)
}

/// For the configuration and the log of the front node.
fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-2-{}", std::process::id()))
}

static NODE: Mutex<Option<Child>> = Mutex::new(None);

/// Makes the close of a connection a reset.
fn reset_on_close(stream: &TcpStream) {
    let linger: [i32; 2] = [1, 0];
    // SOL_SOCKET 1, SO_LINGER 13: the numbers of Linux on x86-64 and arm64.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr().cast(), 8) };
}

// ----- media servers (PROTOCOL: front nodes to servers)

#[derive(Clone)]
pub struct Playing {
    pub key: String,
    pub since: u64,
    conn: u64,
    ends: u64,
}

/// An answer that was cut off on its way.
#[derive(Clone)]
pub struct Spoilt {
    pub at: u64,
    /// The session that it was for, and the one of the same connection that ends soon after.
    pub setup: u64,
    pub ends: u64,
}

#[derive(Default)]
struct Machine {
    /// Which process it is; a later one knows nothing of the sessions of an earlier one.
    process: u32,
    /// The machine has vanished, or the way to it is dead: nothing is read, said or accepted.
    silent: bool,
    conns: BTreeMap<u64, (TcpStream, u32)>,
    sessions: BTreeMap<u64, Playing>,
    unsent: Vec<u64>,
    /// Answers that are due: when, session, connection.
    answers: Vec<(u64, u64, u64)>,
    /// The next answer on a connection whose other session ends within so many milliseconds is cut off halfway.
    spoil: Option<u64>,
    pub spoilt: Option<Spoilt>,
    last_conn: u64,
    noted: u64,
    fillers: Vec<TcpStream>,
}

pub struct Server {
    pub id: Mutex<String>,
    pub addr: SocketAddr,
    pub cell: u32,
    zone: String,
    listener: Mutex<Option<TcpListener>>,
    machine: Mutex<Machine>,
    life: u64,
    tell: u64,
    /// Sessions last up to so much longer, by their number.
    spread: u64,
    /// A set-up takes so long.
    work: u64,
    keys: Mutex<HashMap<u64, Playing>>,
}

fn rtsp(first: &str, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first}\r\n");
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn hex(id: u64) -> String {
    format!("{id:016x}")
}

fn release(id: u64, cause: u8) -> Vec<u8> {
    let fields = [("CSeq", "2".into()), ("Session", hex(id)), ("Reason", format!("cause={cause}"))];
    rtsp(&format!("TEARDOWN rtsp://media/{} RTSP/1.0", hex(id)), &fields, b"")
}

impl Server {
    /// A server; sessions last `life` milliseconds, and it tells how full its link is every `tell`.
    pub fn start(id: &str, cell: u32, zone: &str, life: u64, tell: u64) -> Arc<Self> {
        Self::start_slow(id, cell, zone, (life, 0), tell, 0)
    }

    /// The same; a set-up takes `work` milliseconds, and a session lasts up to `spread` longer.
    pub fn start_slow(
        id: &str,
        cell: u32,
        zone: &str,
        (life, spread): (u64, u64),
        tell: u64,
        work: u64,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot(&format!("{e}")));
        listener.set_nonblocking(true).expect("set");
        let server = Arc::new(Server {
            id: Mutex::new(id.into()),
            addr: listener.local_addr().expect("bound"),
            cell,
            zone: zone.into(),
            listener: Mutex::new(Some(listener)),
            machine: Mutex::default(),
            life,
            tell,
            spread,
            work,
            keys: Mutex::default(),
        });
        let me = server.clone();
        spawn(move || {
            loop {
                me.turn();
                sleep(ms(5));
            }
        });
        server
    }

    pub fn name(&self) -> String {
        self.id.lock().expect("whole").clone()
    }

    /// Its row in the list.
    pub fn row(&self, state: &str, started_ms: u64) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"box","cell":{},"state":"{state}","weight":2,"started_ms":{started_ms}}}"#,
            self.name(),
            self.addr,
            self.zone,
            self.cell
        )
    }

    /// A session plays there already.
    pub fn plays(&self, id: &u64, life: u64) {
        let playing = Playing { key: String::new(), since: now(), conn: 0, ends: now() + life };
        self.machine.lock().expect("whole").sessions.insert(*id, playing);
    }

    /// Sessions that play there now, by the server itself.
    pub fn standing(&self) -> BTreeMap<u64, Playing> {
        self.machine.lock().expect("whole").sessions.clone()
    }

    pub fn connections(&self) -> usize {
        self.machine.lock().expect("whole").conns.len()
    }

    /// The machine vanishes: open connections stay open and silent, new ones never come up. Its sessions are cut.
    pub fn vanish(&self) {
        let mut m = self.machine.lock().expect("whole");
        m.silent = true;
        m.sessions.clear();
        self.shut_door(&mut m);
        note(format!("{}: its machine vanishes", self.name()));
    }

    /// Connections do not come up: the queue of those that wait to be accepted is full, so the system drops attempts.
    fn shut_door(&self, m: &mut Machine) {
        self.queue_of(0);
        for _ in 0..4 {
            if let Ok(s) = TcpStream::connect_timeout(&self.addr, ms(50)) {
                m.fillers.push(s);
            }
        }
    }

    fn open_door(&self, m: &mut Machine) {
        m.fillers.clear();
        self.queue_of(128);
    }

    fn queue_of(&self, length: i32) {
        if let Some(listener) = &*self.listener.lock().expect("whole") {
            unsafe { listen(listener.as_raw_fd(), length) };
        }
    }

    /// Another machine takes the address, with a server of this id; it knows of no session.
    pub fn address_taken(&self, id: &str) {
        let mut m = self.machine.lock().expect("whole");
        *self.id.lock().expect("whole") = id.into();
        (m.process, m.silent) = (m.process + 1, false);
        m.unsent.clear();
        self.open_door(&mut m);
        drop(m);
        note(format!("{id}: starts at {}", self.addr));
    }

    /// Its process is killed and started again under its id after `pause` milliseconds: connections are reset, sessions are
    /// cut, calls are refused meanwhile.
    pub fn restart(&self, pause: u64) {
        *self.listener.lock().expect("whole") = None;
        let mut m = self.machine.lock().expect("whole");
        m.process += 1;
        for (stream, _) in std::mem::take(&mut m.conns).into_values() {
            reset_on_close(&stream);
            let _ = stream.shutdown(std::net::Shutdown::Read);
        }
        m.sessions.clear();
        m.unsent.clear();
        drop(m);
        note(format!("{}: its process is killed", self.name()));
        sleep(ms(pause));
        let again = TcpListener::bind(self.addr).ok().filter(|l| l.set_nonblocking(true).is_ok());
        if again.is_none() {
            cannot("the address cannot be listened on again");
        }
        *self.listener.lock().expect("whole") = again;
        note(format!("{}: its process is started again", self.name()));
    }

    /// The connections to it stall: what is written on them from now on never arrives. The server itself goes on.
    pub fn stall(&self) {
        self.machine.lock().expect("whole").silent = true;
        note(format!("{}: connections to it stall", self.name()));
    }

    /// The stalled connections are reset, with all that was under way on them; new ones come up as before.
    pub fn reset_stalled(&self) {
        let mut m = self.machine.lock().expect("whole");
        for (stream, _) in std::mem::take(&mut m.conns).into_values() {
            reset_on_close(&stream);
            // The reading thread holds the descriptor too: the last one that is closed resets.
            let _ = stream.shutdown(std::net::Shutdown::Read);
        }
        m.silent = false;
        drop(m);
        note(format!("{}: the stalled connections are reset", self.name()));
    }

    /// Accepts, and says what is due.
    fn turn(self: &Arc<Self>) {
        let mut m = self.machine.lock().expect("whole");
        if m.silent {
            return;
        }
        let accept = || self.listener.lock().expect("whole").as_ref().and_then(|l| l.accept().ok());
        while let Some((stream, _)) = accept() {
            let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
            m.last_conn += 1;
            let (conn, process) = (m.last_conn, m.process);
            let Ok(reads) = stream.try_clone() else { continue };
            for id in std::mem::take(&mut m.unsent) {
                let _ = (&stream).write_all(&release(id, 16));
            }
            m.conns.insert(conn, (stream, process));
            note(format!("{}: connection {conn} comes up", self.name()));
            let me = self.clone();
            spawn(move || me.read(conn, process, reads));
        }
        self.answer_due(&mut m);
        let now = now();
        let over: Vec<u64> = m.sessions.iter().filter(|s| s.1.ends <= now).map(|s| *s.0).collect();
        for id in over {
            let Some(s) = m.sessions.remove(&id) else { continue };
            self.write(&mut m, s.conn, &release(id, 16));
            m.unsent.push(id);
            note(format!("{}: session {} has come to its end, released on connection {}", self.name(), hex(id), s.conn));
        }
        if self.tell > 0 && now >= m.noted + self.tell {
            m.noted = now;
            if let Some((id, s)) = m.sessions.first_key_value() {
                let (id, conn) = (*id, s.conn);
                let figure = format!("{:.2}", m.sessions.len() as f64 * 0.05);
                self.write(&mut m, conn, &announce(id, &figure));
            }
        }
    }

    /// Answers the set-ups that have had their time.
    fn answer_due(&self, m: &mut Machine) {
        let now = now();
        let due: Vec<(u64, u64, u64)> = m.answers.iter().copied().filter(|a| a.0 <= now).collect();
        m.answers.retain(|a| a.0 > now);
        for (_, id, conn) in due {
            let playing = self.keys.lock().expect("whole").remove(&id);
            // What is open on a connection is given up when it is closed.
            let Some(playing) = playing.filter(|_| m.conns.contains_key(&conn)) else { continue };
            let ends = now + self.life + id.wrapping_mul(2_654_435_761) % (self.spread + 1);
            m.sessions.insert(id, Playing { since: now, ends, ..playing });
            let session = [("CSeq", "1".to_string()), ("Session", hex(id))];
            let body = format!("{}\r\nc=IN IP4 127.0.0.1\r\na=server:{}\r\n", hex(id), self.name());
            let answer = rtsp("RTSP/1.0 200 OK", &session, body.as_bytes());
            let soon = |within: u64| {
                let ends = |s: &(&u64, &Playing)| *s.0 != id && s.1.conn == conn && s.1.ends > now + 20 && s.1.ends < now + within;
                m.sessions.iter().find(ends).map(|s| *s.0)
            };
            let others = m.conns.len() > 1 && m.sessions.values().any(|s| s.conn != conn && s.ends > now + 5000);
            if let Some(ends) = m.spoil.and_then(soon).filter(|_| others) {
                note(format!(
                    "{}: the answer to {} is cut off halfway on connection {conn}; {} connections are open",
                    self.name(),
                    hex(id),
                    m.conns.len()
                ));
                (m.spoil, m.spoilt) = (None, Some(Spoilt { at: now, setup: id, ends }));
                self.write(m, conn, &answer[..answer.len() / 2]);
                continue;
            }
            self.write(m, conn, &answer);
            let figure = format!("{:.2}", m.sessions.len() as f64 * 0.05);
            self.write(m, conn, &announce(id, &figure));
        }
    }

    /// See [`Machine::spoil`].
    pub fn set_spoil(&self, within: Option<u64>) {
        self.machine.lock().expect("whole").spoil = within;
    }

    pub fn spoilt(&self) -> Option<Spoilt> {
        self.machine.lock().expect("whole").spoilt.clone()
    }

    /// Writes on a connection, failing that on any open one.
    fn write(&self, m: &mut Machine, conn: u64, bytes: &[u8]) {
        let process = m.process;
        let own = m.conns.get(&conn).filter(|c| c.1 == process);
        if let Some((stream, _)) = own.or_else(|| m.conns.values().find(|c| c.1 == process)) {
            let _ = (&*stream).write_all(bytes);
        }
    }

    fn read(self: Arc<Self>, conn: u64, process: u32, mut stream: TcpStream) {
        let (mut bytes, mut buffer) = (Vec::new(), [0u8; 4096]);
        loop {
            let n = stream.read(&mut buffer).unwrap_or(0);
            let mut m = self.machine.lock().expect("whole");
            if n == 0 {
                m.conns.remove(&conn);
                note(format!("{}: connection {conn} is closed", self.name()));
                return;
            }
            if m.silent {
                // Lost on its way.
                bytes.clear();
                continue;
            }
            if m.process != process {
                // A machine that knows nothing of this connection resets it.
                if let Some((stream, _)) = m.conns.remove(&conn) {
                    reset_on_close(&stream);
                }
                return;
            }
            bytes.extend_from_slice(&buffer[..n]);
            while let Some(message) = take_rtsp(&mut bytes) {
                self.message(&mut m, conn, &message);
            }
        }
    }

    fn message(&self, m: &mut Machine, conn: u64, text: &str) {
        let field = |name: &str| {
            let line = text.lines().find(|l| l.to_ascii_lowercase().starts_with(&format!("{name}:")))?;
            Some(line.split_once(':')?.1.trim().to_owned())
        };
        let Some(first) = text.lines().next().filter(|l| !l.starts_with("RTSP/")) else { return };
        let id = field("session").and_then(|s| u64::from_str_radix(&s, 16).ok()).unwrap_or(0);
        let number = field("cseq").unwrap_or_default();
        let session = [("CSeq", number), ("Session", hex(id))];
        let method = first.split(' ').next().unwrap_or("");
        match method {
            "SETUP" => {
                let title = first.split(' ').nth(1).unwrap_or("").trim_start_matches("rtsp://media/").to_owned();
                let key = format!("{} {title}", field("subject").unwrap_or_default());
                let playing = Playing { key, since: now(), conn, ends: now() + self.life };
                let rung = field("rate-step").unwrap_or_default();
                note(format!("{}: set-up {} read on connection {conn} ({}, rung {rung})", self.name(), hex(id), playing.key));
                self.keys.lock().expect("whole").insert(id, playing);
                m.answers.push((now() + self.work, id, conn));
            }
            "TEARDOWN" => {
                let stood = m.sessions.remove(&id).is_some();
                m.answers.retain(|a| a.1 != id);
                note(format!("{}: TEARDOWN {} read, it {}", self.name(), hex(id), if stood { "stood" } else { "did not stand" }));
                self.write(m, conn, &rtsp("RTSP/1.0 200 OK", &session, b""));
                if stood {
                    self.write(m, conn, &release(id, 31));
                }
            }
            "OPTIONS" => self.write(m, conn, &rtsp("RTSP/1.0 200 OK", &session, b"")),
            _ => {}
        }
    }
}

fn announce(id: u64, figure: &str) -> Vec<u8> {
    let fields = [
        ("CSeq", "5".into()),
        ("Session", hex(id)),
        ("X-Note", "nic".into()),
        ("Figure", figure.to_owned()),
    ];
    rtsp("ANNOUNCE rtsp://media/note RTSP/1.0", &fields, b"")
}

/// The head of the next whole message.
fn take_rtsp(bytes: &mut Vec<u8>) -> Option<String> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let length = head.lines().find_map(|l| {
        let (name, value) = l.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    let whole = end + length.unwrap_or(0);
    if bytes.len() < whole {
        return None;
    }
    bytes.drain(..whole);
    Some(head)
}

// ----- the event bus

pub struct Bus {
    pub addr: SocketAddr,
    events: Mutex<Vec<String>>,
    down: Mutex<bool>,
}

impl Bus {
    /// A bus whose first event is the whole list.
    pub fn start(rows: &[String]) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot(&format!("{e}")));
        let bus = Arc::new(Bus {
            addr: listener.local_addr().expect("bound"),
            events: Mutex::default(),
            down: Mutex::new(false),
        });
        bus.tell(true, rows);
        let me = bus.clone();
        listener.set_nonblocking(true).expect("set");
        spawn(move || {
            let mut listener = Some(listener);
            loop {
                sleep(ms(5));
                if *me.down.lock().expect("whole") {
                    listener = None;
                    continue;
                }
                if listener.is_none() {
                    listener = TcpListener::bind(me.addr).ok().filter(|l| l.set_nonblocking(true).is_ok());
                }
                while let Some((stream, _)) = listener.as_ref().and_then(|l| l.accept().ok()) {
                    let bus = me.clone();
                    spawn(move || bus.serve(stream));
                }
            }
        });
        bus
    }

    /// A further event.
    pub fn tell(&self, full: bool, rows: &[String]) {
        let mut events = self.events.lock().expect("whole");
        let n = events.len() + 1;
        events.push(format!(
            r#"{{"offset":{n},"topology":{{"version":{n},"full":{full},"servers":[{}]}}}}"#,
            rows.join(",")
        ));
        note(format!("bus: event {n}: {} rows{}", rows.len(), if full { ", the whole list" } else { "" }));
        if !full {
            rows.iter().for_each(|r| note(format!("bus:   {r}")));
        }
    }

    /// What a node is handed at its start.
    pub fn known(&self) -> String {
        let events = self.events.lock().expect("whole");
        format!(r#"{{"offset":{},"batch":[{}]}}"#, events.len(), events.join(","))
    }

    /// Out of reach: open streams end, calls are refused.
    pub fn set_down(&self, down: bool) {
        *self.down.lock().expect("whole") = down;
        note(if down { "bus: out of reach" } else { "bus: back in reach" });
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
        let (mut text, mut buffer) = (Vec::new(), [0u8; 1024]);
        while !text.windows(4).any(|w| w == b"\r\n\r\n") {
            match stream.read(&mut buffer) {
                Ok(n @ 1..) => text.extend_from_slice(&buffer[..n]),
                _ => return,
            }
        }
        let text = String::from_utf8_lossy(&text).to_ascii_lowercase();
        let last = text.lines().find_map(|l| l.strip_prefix("last-event-id:")).unwrap_or("0").trim().to_owned();
        let mut next: usize = last.parse().unwrap_or(0);
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n";
        let mut spoke = now();
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        loop {
            if *self.down.lock().expect("whole") {
                return;
            }
            let event = self.events.lock().expect("whole").get(next).cloned();
            let bytes = match event {
                Some(data) => {
                    next += 1;
                    format!("id: {next}\ndata: {data}\n\n")
                }
                None if now() >= spoke + 1000 => ":\n\n".into(),
                None => {
                    sleep(ms(5));
                    continue;
                }
            };
            spoke = now();
            if stream.write_all(bytes.as_bytes()).is_err() {
                return;
            }
        }
    }
}

// ----- viewers (PROTOCOL: viewers to front nodes)

#[derive(Debug, Clone)]
pub struct Heard {
    pub at: u64,
    pub kind: u8,
    pub session: u64,
    pub cause: Option<u8>,
    pub parameters: HashMap<u8, Vec<u8>>,
}

/// A viewers' connection to the node.
pub struct Viewer {
    stream: TcpStream,
    heard: Arc<Mutex<Vec<Heard>>>,
    open: Arc<Mutex<bool>>,
}

pub const SETUP: u8 = 1;
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;
pub const TEST: u8 = 52;
pub const TESTED: u8 = 53;

fn binary(kind: u8, session: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut rest = vec![kind];
    rest.extend_from_slice(&session.to_be_bytes());
    for (code, value) in parameters {
        rest.push(*code);
        rest.extend_from_slice(&(value.len() as u16).to_be_bytes());
        rest.extend_from_slice(value);
    }
    let mut out = (rest.len() as u16).to_be_bytes().to_vec();
    out.extend(rest);
    out
}

/// What a viewer asks for.
#[derive(Clone)]
pub struct Wish {
    pub id: u64,
    pub class: &'static str,
    pub title: String,
    pub home: u32,
    pub copies: u32,
    pub patience: u64,
}

impl Viewer {
    pub fn connect(to: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&to, ms(500)).ok()?;
        let _ = stream.set_nodelay(true);
        let mut reads = stream.try_clone().ok()?;
        let heard: Arc<Mutex<Vec<Heard>>> = Arc::default();
        let open = Arc::new(Mutex::new(true));
        let (keeps, ends) = (heard.clone(), open.clone());
        spawn(move || {
            let mut read = || -> std::io::Result<()> {
                loop {
                    let mut length = [0u8; 2];
                    reads.read_exact(&mut length)?;
                    let mut rest = vec![0u8; usize::from(u16::from_be_bytes(length))];
                    reads.read_exact(&mut rest)?;
                    let session = u64::from_be_bytes(rest[1..9].try_into().expect("eight bytes"));
                    let (mut parameters, mut at) = (HashMap::new(), 9);
                    while at + 3 <= rest.len() {
                        let size = usize::from(u16::from_be_bytes([rest[at + 1], rest[at + 2]]));
                        parameters.insert(rest[at], rest[at + 3..at + 3 + size].to_vec());
                        at += 3 + size;
                    }
                    let cause = parameters.get(&75).and_then(|c: &Vec<u8>| c.first().copied());
                    let h = Heard { at: now(), kind: rest[0], session, cause, parameters };
                    if h.kind != TESTED {
                        note(format!("viewer: read type {} for {} cause {:?}", h.kind, hex(session), h.cause));
                    }
                    keeps.lock().expect("whole").push(h);
                }
            };
            let _ = read();
            *ends.lock().expect("whole") = false;
            note("viewer: its connection is closed");
        });
        Some(Viewer { stream, heard, open })
    }

    /// A connection on which the node has passed a test.
    pub fn ready(to: SocketAddr) -> Self {
        let until = now() + 15_000;
        while now() < until {
            if let Some(v) = Viewer::connect(to) {
                let _ = (&v.stream).write_all(&binary(TEST, 7, &[(75, &[0])]));
                if wait_for(500, || v.any(|h| h.kind == TESTED && h.cause == Some(1)).is_some()) {
                    note("viewer: the node has passed a test");
                    return v;
                }
            }
            sleep(ms(50));
        }
        cannot("the node passes no test")
    }

    pub fn any(&self, which: impl Fn(&Heard) -> bool) -> Option<Heard> {
        self.heard.lock().expect("whole").iter().find(|h| which(h)).cloned()
    }

    pub fn is_open(&self) -> bool {
        *self.open.lock().expect("whole")
    }

    pub fn ask(&self, wish: &Wish) {
        note(format!("viewer: asks {} ({} {})", hex(wish.id), wish.class, wish.title));
        self.send_wish(wish, "");
    }

    /// Hands a session over that plays at a server already.
    pub fn hand_over(&self, wish: &Wish, server: &str) {
        note(format!("viewer: hands {} over, which plays at {server}", hex(wish.id)));
        self.send_wish(wish, &format!(";again:1;at:{server}"));
    }

    fn send_wish(&self, wish: &Wish, more: &str) {
        let patience = wish.patience.to_string();
        let figures =
            format!("home:{};copies:{};top:4;viewer:{}{more}", wish.home, wish.copies, hex(!wish.id));
        let description = format!("{}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n", hex(wish.id));
        let message = binary(
            SETUP,
            wish.id,
            &[
                (33, wish.class.as_bytes()),
                (36, patience.as_bytes()),
                (45, wish.title.as_bytes()),
                (48, figures.as_bytes()),
                (78, description.as_bytes()),
            ],
        );
        let _ = (&self.stream).write_all(&message);
    }

    /// Ends a session that stands.
    pub fn leave(&self, id: u64) {
        note(format!("viewer: ends {}", hex(id)));
        let _ = (&self.stream).write_all(&binary(RELEASE, id, &[(75, &[16])]));
    }

    /// The final answer to a set-up.
    pub fn answer(&self, id: u64, most: u64) -> Option<Heard> {
        wait_for(most, || self.any(|h| h.session == id && (h.kind == ANSWER || h.kind == RELEASE)).is_some());
        self.any(|h| h.session == id && (h.kind == ANSWER || h.kind == RELEASE))
    }

    /// Asks and waits: whether the session stands.
    pub fn stands(&self, wish: &Wish) -> bool {
        self.ask(wish);
        self.answer(wish.id, wish.patience + 200).is_some_and(|h| h.kind == ANSWER)
    }

    /// The release of a session that stood.
    pub fn released(&self, id: u64) -> Option<Heard> {
        self.any(|h| h.session == id && h.kind == RELEASE)
    }
}

// ----- the node

pub struct Node {
    pub listen: SocketAddr,
    folder: PathBuf,
}

/// The repository's root.
pub fn root() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_else(|e| cannot(&format!("{e}")));
    own.ancestors().nth(3).map_or_else(|| cannot("no root"), Path::to_path_buf)
}

impl Node {
    pub fn new() -> Self {
        let free = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot(&format!("{e}")));
        let folder = folder();
        std::fs::create_dir_all(&folder).unwrap_or_else(|e| cannot(&format!("{e}")));
        Node { listen: free.local_addr().expect("bound"), folder }
    }

    /// Starts it as the deploy file says, with a configuration as DEPLOY has it.
    pub fn start(&self, bus: &Bus, settings: &str, sockets: u32) {
        let deploy = std::fs::read_to_string(root().join("deploy/balancer.toml")).unwrap_or_default();
        let line = deploy.lines().find_map(|l| l.strip_prefix("run = \"")?.strip_suffix('"'));
        let line = line.unwrap_or_else(|| cannot("the deploy file has no line 'run'"));
        let config = self.folder.join("config.json");
        let text = format!(
            r#"{{"name":"n1","listen":"{}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"bus":"{}","known":{},"settings":{settings}}}"#,
            self.listen,
            unix_ms(),
            bus.addr,
            bus.known()
        );
        std::fs::write(&config, text).unwrap_or_else(|e| cannot(&format!("{e}")));
        let log = File::options().create(true).append(true).open(self.folder.join("node.log")).expect("a log");
        let mut command = Command::new("/bin/sh");
        // PR_SET_PDEATHSIG 1, SIGKILL 9: it ends with this process, however that ends.
        let ends_with_us = || if unsafe { prctl(1, 9u64) } == 0 { Ok(()) } else { Err(std::io::Error::last_os_error()) };
        unsafe { command.pre_exec(ends_with_us) };
        let child = command
            .args(["-c", &format!("ulimit -n {sockets}; {line}")])
            .current_dir(root())
            .env("EDGE_CONFIG", &config)
            .env("EDGE_NAME", "n1")
            .env("EDGE_LISTEN", self.listen.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        *NODE.lock().expect("whole") = Some(child.unwrap_or_else(|e| cannot(&format!("{e}"))));
        note("node: started");
    }

    /// SIGTERM, and waits for its end: it comes before the longest deadline (3 s at most here) and 0.7 s more.
    pub fn stop(&self) {
        let id = NODE.lock().expect("whole").as_ref().map(|c| c.id().to_string()).unwrap_or_default();
        let _ = Command::new("kill").args(["-TERM", &id]).status();
        note("node: told to stop (SIGTERM)");
        if !wait_for(3_700, || self.has_ended()) {
            self.kill();
        }
        note("node: ended");
    }

    /// kill -9, and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = NODE.lock().expect("whole").take() {
            let _ = (child.kill(), child.wait());
        }
        note("node: killed (SIGKILL)");
    }

    /// Whether its process has ended by itself.
    pub fn has_ended(&self) -> bool {
        NODE.lock().expect("whole").as_mut().is_none_or(|c| !matches!(c.try_wait(), Ok(None)))
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("world CASE FOLDER");
        exit(2);
    };
    ZERO.set(Instant::now()).expect("first");
    let Ok(file) = File::create(Path::new(&folder).join("record.txt")) else {
        eprintln!("no record can be written in {folder}");
        exit(2);
    };
    let _ = RECORD.set(Mutex::new(file));
    // Whatever hangs: it ends in time, and so does the node.
    spawn(|| {
        sleep(Duration::from_secs(110));
        cannot("it did not end in 110 s")
    });
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    note(format!("case '{case}', {}", if trouble { "with the disruption" } else { "without the disruption" }));
    let faults = cases::play(&case, trouble);
    for fault in &faults {
        note(format!("BROKEN: {fault}"));
        println!("broken: {fault}");
    }
    if faults.is_empty() {
        note("the rule held");
        println!("the rule held");
    }
    end(i32::from(!faults.is_empty()))
}

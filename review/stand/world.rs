//! What the cases share: the record, media servers, the event bus and the way to it, viewers, and the front node's process.

use crate::wire::{self, ANSWER, Binary, RELEASE, Rtsp, TEST, TEST_RESULT};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Milliseconds since the start of the run.
pub type Ms = u64;

pub fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|e| e.into_inner())
}

pub fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// What was seen; `id` is a session.
#[derive(Debug, Clone, PartialEq)]
pub enum Seen {
    /// A viewer wrote a set-up that wants an answer.
    Asked {
        id: u64,
        paid: bool,
        patience: Ms,
    },
    /// The platform handed a session over that plays already.
    Handed {
        id: u64,
        at: String,
    },
    /// A viewer read its final answer.
    Served {
        id: u64,
        body: String,
    },
    Refused {
        id: u64,
    },
    Failed {
        id: u64,
    },
    /// A viewer read the release of a session that stood.
    Released {
        id: u64,
        cause: u8,
    },
    /// A viewer's connection ended.
    Cut {
        viewer: String,
    },
    /// A server read a set-up whole.
    Run {
        id: u64,
        server: String,
        class: String,
        title: String,
    },
    /// A server wrote its answer: the session stands.
    Stands {
        id: u64,
        server: String,
        body: String,
    },
    /// A session came to its end at its server.
    Over {
        id: u64,
        server: String,
    },
    /// A server wrote the release of a session on a connection of the front node.
    ReleaseSent {
        id: u64,
        server: String,
    },
    /// A server read that a set-up is given up or a session released.
    TornDown {
        id: u64,
        server: String,
    },
    /// An event was put into the bus.
    Told {
        event: u64,
        what: String,
    },
    /// Anything else that belongs to the story.
    Note(String),
}

/// The record of a run.
#[derive(Clone)]
pub struct Record(Arc<Recorded>);

struct Recorded {
    start: Instant,
    all: Mutex<(Vec<(Ms, Seen)>, File)>,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|e| crate::cannot_run(&format!("record: {e}")));
        Record(Arc::new(Recorded { start: Instant::now(), all: Mutex::new((Vec::new(), file)) }))
    }

    pub fn now(&self) -> Ms {
        self.0.start.elapsed().as_millis() as Ms
    }

    pub fn see(&self, seen: Seen) -> Ms {
        let mut all = lock(&self.0.all);
        let now = self.now();
        let _ = writeln!(all.1, "{now:>6} ms  {seen:?}");
        all.0.push((now, seen));
        now
    }

    pub fn note(&self, text: impl Into<String>) -> Ms {
        self.see(Seen::Note(text.into()))
    }

    pub fn all(&self) -> Vec<(Ms, Seen)> {
        lock(&self.0.all).0.clone()
    }

    pub fn until(&self, at: Ms) {
        while self.now() < at {
            sleep(2);
        }
    }
}

// ----- media servers

#[derive(Default)]
struct ServerState {
    conns: BTreeMap<u64, TcpStream>,
    next_conn: u64,
    /// Set-ups without an answer: their connection, and when the answer is due.
    open: BTreeMap<u64, (u64, Ms)>,
    /// Sessions: the connection of their set-up, and when they end.
    standing: BTreeMap<u64, (u64, Ms)>,
    /// Releases that go out on the next connection as well.
    unsent: Vec<u64>,
    /// How long a session plays that is set up now.
    life: Ms,
    noted: Ms,
    /// When it started, where that was late.
    started_ms: u64,
}

/// A media server that answers each set-up after a moment and ends each session at its time.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    /// It holds the titles of this cell.
    pub cell: u32,
    state: Arc<Mutex<ServerState>>,
    record: Record,
}

/// From a set-up to its answer.
const ANSWER_AFTER: Ms = 20;
/// A server tells this often how full its link is, to each front node with sessions there.
const NOTE_EVERY: Ms = 2_500;

impl Server {
    pub fn start(id: &str, life: Ms, record: &Record) -> Self {
        Self::start_in(0, id, life, record)
    }

    pub fn start_in(cell: u32, id: &str, life: Ms, record: &Record) -> Self {
        let listener =
            TcpListener::bind(("127.0.0.1", 0)).unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let addr = listener.local_addr().unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let state = Arc::new(Mutex::new(ServerState { life, ..ServerState::default() }));
        let server = Server { id: id.to_owned(), addr, cell, state, record: record.clone() };
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        let waking = server.clone();
        thread::spawn(move || {
            loop {
                sleep(2);
                waking.wake();
            }
        });
        server
    }

    /// The server as the bus tells of it.
    pub fn row(&self, state: &str) -> String {
        self.row_at(state, self.addr)
    }

    /// The same at another address.
    pub fn row_at(&self, state: &str, addr: SocketAddr) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"east-hall","kind":"two-core","cell":{},"state":"{state}","weight":4,"started_ms":{}}}"#,
            self.id,
            addr,
            self.cell,
            lock(&self.state).started_ms
        )
    }

    /// Ends a session at this time.
    pub fn ends_at(&self, id: u64, at: Ms) {
        if let Some(s) = lock(&self.state).standing.get_mut(&id) {
            s.1 = at;
        }
    }

    /// It has started just now.
    pub fn starts_now(&self) {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        lock(&self.state).started_ms = now.map_or(0, |d| d.as_millis() as u64);
    }

    /// The machine vanishes: nobody hears of it, and all that played there is over.
    pub fn vanish(&self) {
        let mut s = lock(&self.state);
        for id in std::mem::take(&mut s.standing).into_keys() {
            self.record.see(Seen::Over { id, server: self.id.clone() });
        }
        s.open.clear();
    }

    pub fn sessions(&self) -> Vec<u64> {
        lock(&self.state).standing.keys().copied().collect()
    }

    fn write(state: &mut ServerState, conn: u64, bytes: &[u8]) -> bool {
        state.conns.get_mut(&conn).is_some_and(|c| c.write_all(bytes).is_ok())
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else { return };
        let conn = {
            let mut s = lock(&self.state);
            s.next_conn += 1;
            let conn = s.next_conn;
            s.conns.insert(conn, writer);
            for id in std::mem::take(&mut s.unsent) {
                Self::write(&mut s, conn, &wire::released(id, 16));
                self.record.see(Seen::ReleaseSent { id, server: self.id.clone() });
            }
            conn
        };
        self.read(conn, stream);
        let mut s = lock(&self.state);
        if let Some(c) = s.conns.remove(&conn) {
            let _ = c.shutdown(Shutdown::Both);
        }
        // The set-ups open on a connection are given up when it is closed.
        s.open.retain(|_, o| o.0 != conn);
    }

    fn read(&self, conn: u64, mut stream: TcpStream) {
        let (mut pending, mut buffer) = (Vec::new(), [0; 8192]);
        while let Ok(n @ 1..) = stream.read(&mut buffer) {
            pending.extend_from_slice(&buffer[..n]);
            loop {
                match Rtsp::take(&mut pending) {
                    Ok(Some(message)) => self.message(conn, &message),
                    Ok(None) => break,
                    Err(why) => {
                        self.record.note(format!("{} closes a connection: {why}", self.id));
                        return;
                    }
                }
            }
        }
    }

    fn message(&self, conn: u64, message: &Rtsp) {
        let (id, now) = (message.session(), self.record.now());
        let mut s = lock(&self.state);
        match message.method() {
            "SETUP" => {
                let address = message.first.split(' ').nth(1).unwrap_or("");
                let title = address.rsplit('/').next().unwrap_or("").to_owned();
                let class = message.field("subject").unwrap_or("").to_owned();
                let holds = wire::home(&title) == self.cell.to_string();
                self.record.see(Seen::Run { id, server: self.id.clone(), class, title });
                if !holds {
                    // What it cannot use is answered with an error.
                    Self::write(&mut s, conn, &wire::response(500, 1, id, ""));
                    return;
                }
                s.open.insert(id, (conn, now + ANSWER_AFTER));
            }
            "TEARDOWN" => {
                let was_open = s.open.remove(&id).is_some();
                let stood = s.standing.remove(&id).is_some();
                if was_open || stood {
                    self.record.see(Seen::TornDown { id, server: self.id.clone() });
                }
                if stood {
                    Self::write(&mut s, conn, &wire::released(id, 31));
                }
                Self::write(&mut s, conn, &wire::response(200, 2, id, ""));
            }
            "OPTIONS" => {
                Self::write(&mut s, conn, &wire::response(200, 3, id, ""));
            }
            _ => {}
        }
    }

    fn wake(&self) {
        let now = self.record.now();
        let mut s = lock(&self.state);
        let due: Vec<(u64, u64)> = s.open.iter().filter(|o| o.1.1 <= now).map(|(id, o)| (*id, o.0)).collect();
        for (id, conn) in due {
            s.open.remove(&id);
            let body = wire::given(id, &self.id);
            let end = now + s.life;
            s.standing.insert(id, (conn, end));
            self.record.see(Seen::Stands { id, server: self.id.clone(), body: body.clone() });
            Self::write(&mut s, conn, &wire::response(200, 1, id, &body));
        }
        let ended: Vec<(u64, u64)> =
            s.standing.iter().filter(|o| o.1.1 <= now).map(|(id, o)| (*id, o.0)).collect();
        for (id, own) in ended {
            s.standing.remove(&id);
            self.record.see(Seen::Over { id, server: self.id.clone() });
            // On the connection of the set-up, failing that on any open one, and on the next that is opened.
            let conn = if s.conns.contains_key(&own) { Some(own) } else { s.conns.keys().next().copied() };
            if let Some(conn) = conn {
                Self::write(&mut s, conn, &wire::released(id, 16));
                self.record.see(Seen::ReleaseSent { id, server: self.id.clone() });
            }
            s.unsent.push(id);
        }
        if now >= s.noted + NOTE_EVERY {
            s.noted = now;
            // By the settings: a session takes 1,000 kB/s of a link of 400,000.
            let use_now = s.standing.len() as f64 * 0.0025;
            let told: Vec<(u64, u64)> = s.standing.iter().map(|(id, o)| (*id, o.0)).collect();
            for (id, own) in told {
                let conn =
                    if s.conns.contains_key(&own) { Some(own) } else { s.conns.keys().next().copied() };
                if let Some(conn) = conn {
                    Self::write(&mut s, conn, &wire::note(id, use_now));
                }
            }
        }
    }
}

// ----- the event bus

#[derive(Default)]
struct BusState {
    events: Vec<String>,
    words: u64,
}

/// The event bus: `GET /bus/read`, server-sent events, a comment each second.
#[derive(Clone)]
pub struct Bus {
    pub addr: SocketAddr,
    state: Arc<Mutex<BusState>>,
    record: Record,
}

impl Bus {
    pub fn start(record: &Record) -> Self {
        let listener =
            TcpListener::bind(("127.0.0.1", 0)).unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let addr = listener.local_addr().unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let bus = Bus { addr, state: Arc::default(), record: record.clone() };
        let accepting = bus.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let bus = accepting.clone();
                thread::spawn(move || bus.serve(stream));
            }
        });
        bus
    }

    /// Puts an event into the bus.
    pub fn tell(&self, full: bool, rows: &[String], what: &str) -> Ms {
        let mut s = lock(&self.state);
        let n = s.events.len() as u64 + 1;
        let rows = rows.join(",");
        s.events.push(format!(
            r#"{{"offset":{n},"topology":{{"version":{n},"full":{full},"servers":[{rows}]}}}}"#
        ));
        self.record.see(Seen::Told { event: n, what: what.to_owned() })
    }

    /// Comments that were written.
    pub fn words(&self) -> u64 {
        lock(&self.state).words
    }

    /// All events up to now, as the configuration holds them.
    pub fn known(&self) -> String {
        let s = lock(&self.state);
        format!(r#"{{"offset":{},"batch":[{}]}}"#, s.events.len(), s.events.join(","))
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (mut head, mut byte) = (Vec::new(), [0; 1]);
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read(&mut byte) {
                Ok(1) => head.push(byte[0]),
                _ => return,
            }
        }
        let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
        let field = head.lines().find_map(|l| l.strip_prefix("last-event-id:"));
        let mut last = field.and_then(|v| v.trim().parse::<usize>().ok()).unwrap_or(0);
        self.record.note(format!("the bus is read from event {last} on"));
        let answer = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        let mut commented = Instant::now();
        loop {
            let new: Vec<String> = lock(&self.state).events.iter().skip(last).cloned().collect();
            for event in new {
                last += 1;
                if stream.write_all(format!("id: {last}\ndata: {event}\n\n").as_bytes()).is_err() {
                    return;
                }
                self.record.note(format!("the bus writes event {last} to a reader"));
            }
            if commented.elapsed() >= Duration::from_secs(1) {
                commented = Instant::now();
                if stream.write_all(b": here\n\n").is_err() {
                    return;
                }
                lock(&self.state).words += 1;
            }
            sleep(2);
        }
    }
}

/// The way between the front node and a server or the bus, a relay that can cut it off: what is open stays open and silent, and
/// what was written waits; new connections never come up.
#[derive(Clone)]
pub struct Link {
    pub addr: SocketAddr,
    out: Arc<AtomicBool>,
    waiting: Arc<Mutex<Vec<TcpStream>>>,
    /// Where new connections lead.
    to: Arc<Mutex<SocketAddr>>,
    /// Connections of former machines, which are silent for good.
    gone: Arc<AtomicU64>,
    made: Arc<AtomicU64>,
    record: Record,
    whose: String,
}

/// Connections that fill the queue of a listener which accepts nothing, so that no further one comes up.
const QUEUE: usize = 400;

impl Link {
    pub fn start(whose: &str, to: SocketAddr, record: &Record) -> Self {
        let listener =
            TcpListener::bind(("127.0.0.1", 0)).unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let addr = listener.local_addr().unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let link = Link {
            addr,
            out: Arc::default(),
            waiting: Arc::default(),
            to: Arc::new(Mutex::new(to)),
            gone: Arc::default(),
            made: Arc::default(),
            record: record.clone(),
            whose: whose.to_owned(),
        };
        let accepting = link.clone();
        thread::spawn(move || {
            loop {
                if accepting.out.load(Ordering::SeqCst) {
                    sleep(1);
                    continue;
                }
                let Ok((near, peer)) = listener.accept() else { return };
                let own = |w: &TcpStream| w.local_addr().is_ok_and(|a| a == peer);
                if lock(&accepting.waiting).iter().any(own) {
                    // One of those that filled the queue.
                    continue;
                }
                let link = accepting.clone();
                let to = *lock(&accepting.to);
                thread::spawn(move || link.carry(near, to));
            }
        });
        link
    }

    /// Another machine bears the address from now on: new connections lead to it; what led to the former one stays silent,
    /// and is reset when something is written to it.
    pub fn taken_over(&self, by: &Server) -> Ms {
        *lock(&self.to) = by.addr;
        self.gone.store(self.made.load(Ordering::SeqCst), Ordering::SeqCst);
        self.out.store(false, Ordering::SeqCst);
        self.record.note(format!("{} bears the address that {} had", by.id, self.whose))
    }

    /// Cut off from now on.
    pub fn cut(&self) -> Ms {
        self.out.store(true, Ordering::SeqCst);
        // The accepting thread still takes one; the queue is full once nothing comes up any more.
        let mut filled = lock(&self.waiting);
        for _ in 0..QUEUE {
            match TcpStream::connect_timeout(&self.addr, Duration::from_millis(100)) {
                Ok(stream) => filled.push(stream),
                Err(_) => {
                    let n = filled.len();
                    return self.record.note(format!("{} is cut off ({n} fill the queue)", self.whose));
                }
            }
        }
        crate::cannot_run("the queue of a listener could not be filled")
    }

    /// Back from now on.
    pub fn heal(&self) -> Ms {
        self.out.store(false, Ordering::SeqCst);
        self.record.note(format!("{} is back", self.whose))
    }

    fn carry(&self, near: TcpStream, to: SocketAddr) {
        let _ = near.set_nodelay(true);
        let Ok(far) = TcpStream::connect(to) else { return };
        let _ = far.set_nodelay(true);
        let number = self.made.fetch_add(1, Ordering::SeqCst) + 1;
        if let (Ok(from), Ok(into)) = (near.try_clone(), far.try_clone()) {
            let link = self.clone();
            thread::spawn(move || link.pump(number, from, into, true));
        }
        self.pump(number, far, near, false);
    }

    fn pump(&self, number: u64, mut from: TcpStream, mut into: TcpStream, of_node: bool) {
        let mut buffer = [0; 4096];
        loop {
            let n = from.read(&mut buffer).unwrap_or(0);
            while self.out.load(Ordering::SeqCst) {
                sleep(1);
            }
            if number <= self.gone.load(Ordering::SeqCst) {
                if of_node {
                    // Its machine knows no such connection.
                    break;
                }
                // The former machine says nothing any more.
                if n == 0 {
                    return;
                }
                continue;
            }
            if n == 0 || into.write_all(&buffer[..n]).is_err() {
                break;
            }
        }
        let _ = into.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}

// ----- viewers

/// A connection from the platform's side: tests, set-ups, sessions handed over. What is read goes into the record.
pub struct Viewer {
    stream: TcpStream,
    record: Record,
}

impl Viewer {
    pub fn connect(name: &str, to: SocketAddr, record: &Record) -> Option<Self> {
        let stream = TcpStream::connect(to).ok()?;
        let _ = stream.set_nodelay(true);
        let mut reader = stream.try_clone().ok()?;
        let (told, whose) = (record.clone(), name.to_owned());
        thread::spawn(move || {
            let mut served = BTreeSet::new();
            while let Ok(m) = Binary::read(&mut reader) {
                let id = m.session;
                match m.kind {
                    ANSWER => {
                        served.insert(id);
                        let body = String::from_utf8_lossy(m.get(78).unwrap_or_default()).into_owned();
                        told.see(Seen::Served { id, body });
                    }
                    RELEASE => {
                        let cause = m.cause().unwrap_or(0);
                        let over = told.all().iter().any(|(_, s)| {
                            matches!(s, Seen::Served { id: i, .. } | Seen::Handed { id: i, .. } if *i == id)
                        });
                        told.see(match cause {
                            _ if over => Seen::Released { id, cause },
                            34 | 42 | 102 => Seen::Refused { id },
                            _ => Seen::Failed { id },
                        });
                    }
                    TEST_RESULT => {}
                    _ => {}
                }
            }
            told.see(Seen::Cut { viewer: whose });
        });
        Some(Viewer { stream, record: record.clone() })
    }

    /// Asks for a session.
    pub fn ask(&mut self, id: u64, paid: bool, title: &str, patience: Ms) {
        let class = if paid { "sponsor-spot" } else { "how-to-clip" };
        self.record.see(Seen::Asked { id, paid, patience });
        let _ = self.stream.write_all(&wire::set_up(id, class, title, patience, None).encode());
    }

    /// Hands a session over that plays at a server already.
    pub fn hand_over(&mut self, id: u64, paid: bool, title: &str, at: &str) {
        let class = if paid { "sponsor-spot" } else { "how-to-clip" };
        self.record.see(Seen::Handed { id, at: at.to_owned() });
        let _ = self.stream.write_all(&wire::set_up(id, class, title, 4_000, Some(at)).encode());
    }
}

/// Whether a front node passes a test, on a connection of its own.
pub fn passes(to: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(to) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let test = Binary::new(TEST, 0).with(75, [0]);
    if stream.write_all(&test.encode()).is_err() {
        return false;
    }
    matches!(Binary::read(&mut stream), Ok(m) if m.kind == TEST_RESULT && m.cause() == Some(1))
}

// ----- the front node

/// The front node's process.
pub struct Node {
    child: Child,
    pub listen: SocketAddr,
    /// Where its process is noted, for the script to end it if this program can't.
    pid: PathBuf,
}

pub fn free_port() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
    listener.local_addr().unwrap_or_else(|e| crate::cannot_run(&e.to_string()))
}

/// Settings as the front node's configuration carries them: two classes, five rungs, one hall.
const SETTINGS: &str = r#"{"classes":[
{"name":"sponsor-spot","effect":"at_most_once","promise_ns":1000000000,"deadline_ns":4000000000,"worth":2.0,"late_worth":0.0,"stream":true},
{"name":"how-to-clip","effect":"idempotent","promise_ns":1500000000,"deadline_ns":4000000000,"worth":1.0,"late_worth":0.0,"stream":true}],
"dcs":["east-hall"],"zone":"east-hall","models":["two-core"],"group_size":1,"weights":"nominal","registry_mode":"automatic",
"family_info":{"cells":2,"racks":1,"rung_kb":[200.0,400.0,600.0,1000.0,1800.0],"worth_by_rung":[0.2,0.55,0.75,0.9,1.0],
"scale_by_class":[1.0,1.0],"floor_by_class":[1,0],"highest_rung":[4,4],"licence_cap":[0,0],"places_by_kind":[400],
"kb_per_weight":100000.0,"uplink_kb":0,"see_ns":1000000000,"tell_ns":3000000000,"switch_s":0.6},
"permissions":{"max_attempts":4,"retry_after":true,"max_retry_after_ns":2000000000,"max_streams":32,"conn_idle_ns":15000000000,
"connect_timeout_ns":250000000,"probes":true},
"rules":{"stop_sending_within_ns":250000000,"cold_ns":8000000000,"start_capacity":0.5,"fall_multiple":3.0,"fall_ns":1000000000}}"#;

impl Node {
    /// Starts it by the deploy file's command, as the platform does.
    pub fn start(
        with: &crate::With, listen: SocketAddr, bus: SocketAddr, known: &str, record: &Record,
    ) -> Self {
        let config = with.dir.join("config.json");
        let seed = format!(
            "{:016x}",
            std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .map_or(1, |d| d.as_nanos() as u64)
        );
        let text = format!(
            r#"{{"name":"n3","listen":"{listen}","seed":"{seed}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"bus":"{bus}","known":{known},"settings":{SETTINGS}}}"#
        );
        std::fs::write(&config, text).unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let log = File::options().create(true).append(true).open(with.dir.join("node.log"));
        let log = log.unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let child = Command::new("/bin/sh")
            .args(["-c", &with.run])
            .current_dir(&with.root)
            .env("EDGE_CONFIG", &config)
            .env("EDGE_NAME", "n3")
            .env("EDGE_LISTEN", listen.to_string())
            .env("TMPDIR", &with.dir)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let pid = with.dir.join(format!("node-{}.pid", child.id()));
        let _ = std::fs::write(&pid, format!("{}\n", child.id()));
        record.note("the front node is started");
        let mut node = Node { child, listen, pid };
        let until = Instant::now() + Duration::from_secs(30);
        while !passes(listen) {
            if Instant::now() > until || !matches!(node.child.try_wait(), Ok(None)) {
                node.kill();
                crate::cannot_run("the front node did not become ready");
            }
            sleep(5);
        }
        record.note("the front node has passed a test");
        node
    }

    pub fn lives(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends it a signal.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        if !sent.is_ok_and(|s| s.success()) {
            crate::cannot_run("the front node could not be signalled");
        }
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.pid);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

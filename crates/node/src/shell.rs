//! The tokio layer around the core: sockets, clock and signals; no choices.
//!
//! Everything runs on one thread, as tasks of a `LocalSet`. A task that brings an input calls [`Shell::feed`], which
//! hands it to the core with one reading of the clock and carries the outputs out before it returns.

use crate::advice::Advised;
use crate::books::{Counts, Node};
use crate::config::{Config, LONGEST, read};
use crate::error::Error;
use crate::io::{ConnId, Input, Output};
use crate::limits;
use micadyke::interface::Nanos;
use micadyke::module::Decide;
use micadyke_directory::{Key, Session};
use micadyke_http::client::{CallError, Connection, read_some};
use micadyke_http::{Limits, Method, Request};
use micadyke_membership::server_report::ServerReport;
use micadyke_membership::shell::{ShareReceiver, next_share};
use micadyke_recovery::phases::{MembershipEvent, RecoveryPhases};
use micadyke_recovery::record::StoredState;
use micadyke_recovery::writer::StoreWriter;
use micadyke_subset::settings::SubsetSettings;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc};
use tokio::task::spawn_local;
use tracing::{info, warn};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// A connection that is closed with bytes still to write waits so long for its peer to take them.
const FLUSH: Duration = Duration::from_secs(2);
/// Closed connections that may wait for that at a time: each holds a descriptor that the core no longer counts, and
/// [`limits::OWN_DESCRIPTORS`] has room for so many.
const FLUSHES: usize = 8;
/// Bytes that are read and thrown away from a connection that is closed, at most.
const UNREAD: usize = 64 << 10;
/// Accepting is tried again after this when descriptors are short.
const SHORT: Duration = Duration::from_millis(20);
/// A stopping node looks so often whether it may end. Two looks have the operating system asked in between for what came.
const LOOK: Duration = Duration::from_millis(5);

/// A new configuration that can't be read is looked at again after this.
const LOOK_AGAIN: Duration = Duration::from_millis(100);
/// So many looks at most: half of the time after which what its event bus tells counts as told.
const LOOKS: u32 = 20;

/// Reads the configuration from its file.
///
/// # Errors
///
/// What is wrong, with the file and the field.
pub fn load(path: &Path) -> Result<Config, Error> {
    let there = |why| Error::File { path: path.into(), why };
    let size = std::fs::metadata(path).map_err(there)?.len();
    if size > LONGEST {
        return Err(Error::TooLong { path: path.into(), size });
    }
    let text = std::fs::read_to_string(path).map_err(there)?;
    read(&text).map_err(|why| Error::Refused { path: path.into(), why })
}

/// A connection's side of the shell.
#[derive(Debug, Default)]
struct Conn {
    stream: RefCell<Option<Rc<TcpStream>>>,
    waiting: RefCell<VecDeque<u8>>,
    written: Cell<u64>,
    /// It leads to a server.
    server: bool,
    /// The operating system takes no more on it; known of servers alone.
    blocked: Cell<bool>,
    changed: Notify,
    closing: Cell<bool>,
    paused: Cell<Option<Instant>>,
    backlog: usize,
    /// It is a viewer's.
    viewer: bool,
}

impl Conn {
    /// A viewer's connection.
    fn accepted(stream: TcpStream) -> Rc<Self> {
        let stream = RefCell::new(Some(Rc::new(stream)));
        Rc::new(Conn { stream, backlog: limits::viewers::BACKLOG, viewer: true, ..Conn::default() })
    }

    /// A connection to a server, not up yet.
    fn to_server() -> Rc<Self> {
        Rc::new(Conn { server: true, backlog: limits::servers::BACKLOG, ..Conn::default() })
    }

    /// Writes what the operating system takes now; the rest waits. False: the connection is of no further use.
    fn write(&self, bytes: &[u8]) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        waiting.extend(bytes);
        let Some(stream) = self.stream.borrow().clone() else { return waiting.len() <= self.backlog };
        while !waiting.is_empty() {
            match stream.try_write(waiting.as_slices().0) {
                Ok(n) => {
                    waiting.drain(..n);
                    self.written.set(self.written.get() + n as u64);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return false,
            }
        }
        if waiting.is_empty() {
            *waiting = VecDeque::new();
        }
        waiting.len() <= self.backlog
    }

    /// Writes one message to a server. One that is not begun is dropped, the rest of one that is waits. False: the
    /// connection is of no further use.
    fn offer(&self, message: &[u8]) -> bool {
        if self.blocked.get() {
            return true;
        }
        let before = self.written.get();
        let sound = self.write(message);
        if !self.waiting.borrow().is_empty() {
            self.blocked.set(true);
            if self.written.get() == before {
                self.waiting.borrow_mut().clear();
            }
        }
        sound
    }

    /// What was not taken is dropped, and what the operating system has not yet sent.
    fn abort(&self) {
        self.waiting.borrow_mut().clear();
        let _ = self.stream.borrow().as_ref().map(|s| s.set_zero_linger());
    }

    /// What was left has gone out, and more would be taken.
    fn unblocked(&self) -> bool {
        self.waiting.borrow().is_empty() && self.blocked.replace(false)
    }
}

/// A running node.
struct Shell<D> {
    core: RefCell<Node<D>>,
    start: Instant,
    /// Unix time at its start.
    epoch: u64,
    conns: RefCell<HashMap<ConnId, Rc<Conn>>>,
    /// Inputs that came up while outputs were carried out.
    later: RefCell<VecDeque<Input<'static>>>,
    next: Cell<u64>,
    /// Connections, bytes and closes that came from viewers so far.
    from_viewers: Cell<u64>,
    /// Connections that are closed but for bytes that their peers have not taken.
    flushing: Cell<usize>,
    wake: Notify,
    armed: Cell<Nanos>,
    /// To the other nodes, where there are any.
    tell: Option<mpsc::Sender<ServerReport>>,
    /// To the store, where there is one.
    keeper: Option<Rc<StoreWriter>>,
    /// To the directory, where there is one.
    index: Option<Rc<dyn Index>>,
}

/// A directory that is told of sessions. It takes each word at once: a word lost would stand in it for good.
pub trait Index: std::fmt::Debug {
    /// A session stands, or does so no longer.
    fn booked(&self, session: &Session, started: bool);

    /// So many sessions of a title or viewer are left.
    fn left(&self, what: &Key, sessions: u64);
}

/// The way to a directory.
#[derive(Debug)]
pub struct Directed {
    /// Where it is told.
    pub index: Rc<dyn Index>,
    /// Titles and viewers whose sessions are to end; what is lost is asked again.
    pub ends: mpsc::Receiver<Key>,
}

/// The way to the other nodes, by whoever keeps the view of them.
#[derive(Debug)]
pub struct Others {
    /// This node's part of the cold budgets; without it that goes by the number of fronts in the settings.
    pub parts: Option<ShareReceiver>,
    /// What they tell of servers.
    pub heard: mpsc::Receiver<ServerReport>,
    /// What this node tells of servers; what does not fit is lost.
    pub tell: mpsc::Sender<ServerReport>,
    /// Who is there.
    pub fleet: mpsc::Receiver<MembershipEvent>,
    /// The directory that is kept with them, if one is.
    pub directory: Option<Directed>,
    /// This node's name in the view, and how it chooses with them; none: for itself.
    pub chooses: Option<(String, SubsetSettings)>,
}

/// What a node that keeps a store comes back with.
#[derive(Debug)]
pub struct Recovers {
    /// Its name, as the others know it: membership's settings may give another than the platform.
    pub name: String,
    /// What was kept.
    pub kept: StoredState,
    /// This start, as the others know it.
    pub start: u64,
    /// Where it is kept for the next time; none where the disk refused: it comes back by the phases all the same.
    pub keeper: Option<Rc<StoreWriter>>,
}

/// Runs a node by its configuration until SIGTERM; then answers what it owes and returns.
///
/// # Errors
///
/// Where it cannot listen, or hears no signals.
pub async fn run<D: Decide + 'static>(
    path: PathBuf, config: Config, decide: impl FnOnce(Nanos) -> D, others: Option<Others>,
    recovers: Option<Recovers>,
) -> Result<Counts, Error> {
    // Signals first: once a connection can be accepted, none of them may end the process by its default action.
    let mut term = signal(SignalKind::terminate()).map_err(Error::Signals)?;
    let mut int = signal(SignalKind::interrupt()).map_err(Error::Signals)?;
    let hup = signal(SignalKind::hangup()).map_err(Error::Signals)?;
    let listener = listen(config.listen).map_err(|why| Error::Listen { at: config.listen, why })?;
    let epoch = micadyke_membership::clock::unix().as_nanos() as u64;
    let kept = recovers.as_ref().map(|r| &r.kept);
    let module = Advised::new(decide(epoch), &config.deployment.settings, kept);
    let mut node = Node::new(&config, module, epoch);
    if others.is_some() {
        node.has_others();
    }
    if others.as_ref().is_some_and(|o| o.directory.is_some()) {
        node.has_directory();
    }
    if let Some((me, terms)) = others.as_ref().and_then(|o| o.chooses.clone()) {
        node.chooses(&me, terms);
    }
    let keeper = recovers.and_then(|Recovers { name, kept, start, keeper }| {
        let leases = others.as_ref().is_some_and(|o| o.parts.is_some());
        let me = (name.as_str(), start);
        node.recovers(
            RecoveryPhases::new(limits::fleet::RECOVERY, me, &kept, epoch, leases, others.is_none(), epoch),
            &kept,
        );
        keeper
    });
    let shell = Rc::new(Shell {
        core: RefCell::new(node),
        start: Instant::now(),
        epoch,
        conns: RefCell::default(),
        later: RefCell::default(),
        next: Cell::new(1),
        from_viewers: Cell::new(0),
        flushing: Cell::new(0),
        wake: Notify::new(),
        armed: Cell::new(Nanos::MAX),
        tell: others.as_ref().map(|o| o.tell.clone()),
        index: others.as_ref().and_then(|o| o.directory.as_ref()).map(|d| d.index.clone()),
        keeper,
    });
    info!(name = config.name, listen = %config.listen, sockets = config.sockets, "serving");
    drop(config);
    let reload = spawn_local(shell.clone().reload(path, hup));
    let timers = spawn_local(shell.clone().timers());
    let others = others.map(|o| spawn_local(shell.clone().others(o)));
    shell.feed(Input::Wake);
    let accept = spawn_local(shell.clone().accept(listener));
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    shell.feed(Input::Stop);
    shell.serve_until_done().await;
    accept.abort();
    reload.abort();
    timers.abort();
    others.into_iter().for_each(|o| o.abort());
    let counts = shell.core.borrow().counts();
    info!(?counts, "stopped");
    Ok(counts)
}

fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

impl<D: Decide + 'static> Shell<D> {
    fn now(&self) -> Nanos {
        self.epoch + self.start.elapsed().as_nanos() as u64
    }

    /// Serves on until a stopping node may end: the core owes nothing, what it said was taken by its peers, and the
    /// operating system held nothing more of viewers. Not for longer than the core allows.
    async fn serve_until_done(&self) {
        let mut seen = None;
        loop {
            tokio::time::sleep(LOOK).await;
            let now = self.now();
            let core = self.core.borrow();
            if core.ends_by().is_none_or(|by| now >= by) {
                return;
            }
            let came = self.from_viewers.get();
            let quiet = seen.replace(came) == Some(came);
            if core.done(now) && quiet && !self.unwritten() {
                return;
            }
        }
    }

    /// Whether peers have not taken all that they were told.
    fn unwritten(&self) -> bool {
        self.flushing.get() > 0 || self.conns.borrow().values().any(|c| !c.waiting.borrow().is_empty())
    }

    /// Notes that something came from a viewer.
    fn came(&self, from: &Conn) {
        self.from_viewers.set(self.from_viewers.get() + u64::from(from.viewer));
    }

    /// Hands an input to the core and carries out what it says.
    fn feed(self: &Rc<Self>, input: Input) {
        let mut out = Vec::new();
        self.core.borrow_mut().handle(self.now(), input, &mut out);
        loop {
            out.drain(..).for_each(|o| self.carry_out(o));
            let Some(input) = self.later.borrow_mut().pop_front() else { break };
            self.core.borrow_mut().handle(self.now(), input, &mut out);
        }
        let at = self.core.borrow().wake_at();
        if at < self.armed.get() {
            self.wake.notify_one();
        }
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        match output {
            Output::Write { conn, bytes } => {
                let Some(c) = self.conns.borrow().get(&conn).cloned() else { return };
                let was_blocked = c.blocked.get();
                let sound = if c.server { c.offer(&bytes) } else { c.write(&bytes) };
                if !sound {
                    self.conns.borrow_mut().remove(&conn);
                    c.closing.set(true);
                    c.waiting.borrow_mut().clear();
                    c.changed.notify_one();
                    let closed = Input::Closed { conn, written: c.written.get(), refused: false };
                    self.later.borrow_mut().push_back(closed);
                } else if c.blocked.get() && !was_blocked {
                    // Ahead of all else: the core takes back what it wrote in this turn.
                    self.later.borrow_mut().push_front(Input::Blocked { conn, written: c.written.get() });
                    c.changed.notify_one();
                } else if !c.waiting.borrow().is_empty() {
                    c.changed.notify_one();
                }
            }
            Output::Keep(record) => {
                if let Some(keeper) = &self.keeper {
                    keeper.save(record);
                }
            }
            Output::Booked { session, started } => {
                self.index.iter().for_each(|i| i.booked(&session, started));
            }
            Output::Left { what, sessions } => self.index.iter().for_each(|i| i.left(&what, sessions)),
            Output::Tell(news) => {
                let _ = self.tell.as_ref().map(|t| t.try_send(news));
            }
            Output::Close { conn } => {
                let Some(c) = self.conns.borrow_mut().remove(&conn) else { return };
                if c.blocked.get() {
                    c.abort();
                }
                c.closing.set(true);
                c.changed.notify_one();
            }
            Output::Connect { conn, addr } => {
                let c = Conn::to_server();
                self.conns.borrow_mut().insert(conn, c.clone());
                spawn_local(self.clone().link(conn, addr, c));
            }
            Output::Listen { conn, addr, last } => {
                let c = Rc::new(Conn::default());
                self.conns.borrow_mut().insert(conn, c.clone());
                spawn_local(self.clone().bus(conn, addr, last, c));
            }
            Output::Pause { conn, span } => {
                if let Some(c) = self.conns.borrow().get(&conn) {
                    c.paused.set(Some(Instant::now() + Duration::from_nanos(span)));
                }
            }
        }
    }

    /// Hands over what the view of the other nodes brings.
    async fn others(self: Rc<Self>, others: Others) {
        let Others { parts, mut heard, mut fleet, directory, .. } = others;
        if let Some(parts) = parts {
            spawn_local(self.clone().parts(parts));
        }
        if let Some(directory) = directory {
            spawn_local(self.clone().ends(directory.ends));
        }
        loop {
            tokio::select! {
                Some(news) = heard.recv() => self.feed(Input::Heard(&news)),
                Some(fact) = fleet.recv() => self.feed(Input::Fleet(&fact)),
                else => return,
            }
        }
    }

    async fn ends(self: Rc<Self>, mut ends: mpsc::Receiver<Key>) {
        while let Some(what) = ends.recv().await {
            self.feed(Input::End(&what));
        }
    }

    async fn parts(self: Rc<Self>, mut parts: ShareReceiver) {
        while let Some((always, leased, span)) = next_share(&mut parts).await {
            self.feed(Input::Part { always, leased, span });
        }
    }

    async fn timers(self: Rc<Self>) {
        loop {
            let at = self.core.borrow().wake_at();
            self.armed.set(at);
            let span = Duration::from_nanos(at.saturating_sub(self.now()).min(limits::SECOND));
            tokio::select! {
                () = tokio::time::sleep(span) => {
                    self.armed.set(Nanos::MAX);
                    self.feed(Input::Wake);
                }
                () = self.wake.notified() => {}
            }
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    warn!("no connection can be accepted: {e}");
                    tokio::time::sleep(SHORT).await;
                    continue;
                }
            };
            let _ = stream.set_nodelay(true);
            self.next.set(self.next.get() + 2);
            let conn = ConnId(self.next.get());
            let c = Conn::accepted(stream);
            self.conns.borrow_mut().insert(conn, c.clone());
            self.came(&c);
            self.feed(Input::ViewerOpened { conn });
            spawn_local(self.clone().serve(conn, c));
            // What makes room for it is closed before the next is accepted: both hold descriptors until then.
            tokio::task::yield_now().await;
        }
    }

    async fn link(self: Rc<Self>, conn: ConnId, addr: SocketAddr, c: Rc<Conn>) {
        let stream = tokio::select! {
            s = TcpStream::connect(addr) => s,
            () = c.changed.notified() => return,
        };
        match stream {
            Ok(stream) => {
                let _ = stream.set_nodelay(true);
                *c.stream.borrow_mut() = Some(Rc::new(stream));
                self.feed(Input::Up { conn });
                self.serve(conn, c).await;
            }
            Err(e) => {
                let refused = e.kind() == ErrorKind::ConnectionRefused;
                if self.conns.borrow_mut().remove(&conn).is_some() {
                    self.feed(Input::Closed { conn, written: 0, refused });
                }
            }
        }
    }

    /// Reads and writes a connection until it is over.
    async fn serve(self: Rc<Self>, conn: ConnId, c: Rc<Conn>) {
        let Some(stream) = c.stream.borrow().clone() else { return };
        loop {
            if c.closing.get() {
                return self.finish(&stream, &c).await;
            }
            if let Some(until) = c.paused.take() {
                tokio::select! {
                    () = tokio::time::sleep_until(until.into()) => {}
                    () = c.changed.notified() => c.paused.set(Some(until)),
                }
                if !c.waiting.borrow().is_empty() && !c.write(&[]) {
                    break;
                }
                continue;
            }
            let full = c.blocked.get() || !c.waiting.borrow().is_empty();
            let read = tokio::select! {
                n = read_some(&stream, |bytes| self.feed(Input::Data { conn, bytes })) => n,
                w = stream.writable(), if full => {
                    if w.is_err() || !c.write(&[]) {
                        break;
                    }
                    if c.unblocked() {
                        self.feed(Input::Writable { conn });
                    }
                    continue;
                }
                () = c.changed.notified() => continue,
            };
            if !matches!(read, Ok(1..)) {
                break;
            }
            self.came(&c);
            // Fair turns: one that sends without end does not keep the others waiting.
            tokio::task::yield_now().await;
        }
        if self.conns.borrow_mut().remove(&conn).is_some() {
            self.feed(Input::Closed { conn, written: c.written.get(), refused: false });
        }
    }

    /// Reads the event bus until its stream is over.
    async fn bus(self: Rc<Self>, conn: ConnId, addr: SocketAddr, last: u64, c: Rc<Conn>) {
        tokio::select! {
            e = self.listen_to(conn, addr, last) => {
                if let Err(e) = e {
                    info!(%addr, last, "the event bus broke off: {e:?}");
                }
            }
            () = c.changed.notified() => return,
        }
        if self.conns.borrow_mut().remove(&conn).is_some() {
            self.feed(Input::Closed { conn, written: 0, refused: false });
        }
    }

    async fn listen_to(self: &Rc<Self>, conn: ConnId, addr: SocketAddr, last: u64) -> Result<(), CallError> {
        // How long a call may take is the core's to say; it closes the connection.
        let limit = Duration::from_nanos(limits::bus::LONGEST_CALL);
        let mut bus = Connection::open(addr, limit, Limits::default()).await?;
        let request = Request::new(Method::Get, "/bus/read").with("accept", "text/event-stream");
        let answer = bus.open_stream(&request.with("last-event-id", last.to_string())).await?;
        if answer.status != 200 {
            warn!(status = answer.status, "the event bus refuses");
            return Ok(());
        }
        self.feed(Input::Up { conn });
        while let Some(bytes) = bus.chunk().await? {
            self.feed(Input::Data { conn, bytes: &bytes });
        }
        Ok(())
    }

    /// Reads the configuration again at each SIGHUP.
    async fn reload(self: Rc<Self>, path: PathBuf, mut hup: tokio::signal::unix::Signal) {
        while hup.recv().await.is_some() {
            loop {
                tokio::select! {
                    () = self.read_again(&path) => break,
                    // From the beginning: there may be another file by now.
                    signal = hup.recv() => if signal.is_none() { return },
                }
            }
        }
    }

    /// Reads the configuration. One that can't be read changes nothing; it is looked at again for a while, for it
    /// may be half written.
    async fn read_again(self: &Rc<Self>, path: &Path) {
        for look in 0..LOOKS {
            match load(path) {
                Ok(config) => {
                    info!(bus = %config.bus, "configuration read again");
                    return self.feed(Input::BusMoved { addr: config.bus });
                }
                Err(e) if look == 0 => warn!(advice = e.advice(), "the old configuration stays: {e}"),
                Err(_) => {}
            }
            tokio::time::sleep(LOOK_AGAIN).await;
        }
    }

    /// Writes what is left of a connection that is closed, unless too many wait for that already.
    async fn finish(&self, stream: &TcpStream, c: &Conn) {
        let rest = async {
            while !c.waiting.borrow().is_empty() {
                if stream.writable().await.is_err() || !c.write(&[]) {
                    return;
                }
            }
        };
        if !c.waiting.borrow().is_empty() && self.flushing.get() < FLUSHES {
            self.flushing.set(self.flushing.get() + 1);
            let _ = tokio::time::timeout(FLUSH, rest).await;
            self.flushing.set(self.flushing.get() - 1);
        }
        discard_unread(stream);
    }
}

/// Reads away what came on a connection that is closed: with bytes unread, the operating system would reset it and drop
/// what the peer has not been sent yet.
fn discard_unread(stream: &TcpStream) {
    let mut buffer = [0u8; 8192];
    let mut left = UNREAD;
    while left > 0 {
        match stream.try_read(&mut buffer) {
            Ok(n @ 1..) => left = left.saturating_sub(n),
            _ => return,
        }
    }
}

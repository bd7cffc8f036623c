//! The tokio layer around the core: sockets, clock and signals, without decisions.
//!
//! Everything runs on one thread, as tasks of a `LocalSet`. Tasks pass inputs to [`Shell::feed`], which hands them to the
//! core with the current time and applies the outputs before it returns.

use crate::advice::SpreadAdvice;
use crate::config::{Config, MAX_CONFIG_BYTES, read};
use crate::connection::{Conn, discard_unread};
use crate::error::Error;
use crate::io::{ConnId, ConnectionEnd, Input, Output};
use crate::limits;
use crate::state::{Counts, Node};
use micadyke::interface::Nanos;
use micadyke::module::Decide;
use micadyke_directory::{Key, Session};
use micadyke_http::client::{CallError, Connection, read_some_noting_close};
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
const ACCEPT_BACKLOG: u32 = 1024;
/// A closed connection with unwritten bytes waits this long for its peer to receive them.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum closed connections that wait at the same time. Each holds a descriptor that the core no longer counts;
/// [`limits::OWN_DESCRIPTORS`] includes that many.
const MAX_FLUSHING: usize = 8;
/// Pause before accepting again when no descriptors are left.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Interval at which a stopping node checks whether it may end. Between two checks pending input is read.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Pause before an unreadable new configuration is read again.
const RELOAD_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Maximum attempts, which take half of the time after which events of the bus count as delivered.
const MAX_RELOAD_ATTEMPTS: u32 = 20;

/// Reads the configuration from a file.
///
/// # Errors
///
/// What is wrong, with the file and the field.
pub fn load(path: &Path) -> Result<Config, Error> {
    let file_error = |why| Error::File { path: path.into(), why };
    let size = std::fs::metadata(path).map_err(file_error)?.len();
    if size > MAX_CONFIG_BYTES {
        return Err(Error::TooLong { path: path.into(), size });
    }
    let text = std::fs::read_to_string(path).map_err(file_error)?;
    read(&text).map_err(|why| Error::Refused { path: path.into(), why })
}

/// A running node.
struct Shell<D> {
    core: RefCell<Node<D>>,
    start: Instant,
    /// Unix time at the start, in nanoseconds.
    epoch: u64,
    conns: RefCell<HashMap<ConnId, Rc<Conn>>>,
    /// Inputs that were produced while outputs were applied.
    deferred: RefCell<VecDeque<Input<'static>>>,
    next_conn: Cell<u64>,
    /// Number of connections and reads from viewers so far.
    viewer_inputs: Cell<u64>,
    /// Number of closed connections that wait for their peers to receive the last bytes.
    flushing: Cell<usize>,
    wake: Notify,
    timer_at: Cell<Nanos>,
    /// Reports to the other nodes, if there are any.
    reports: Option<mpsc::Sender<ServerReport>>,
    /// The writer of the store, if there is one.
    store_writer: Option<Rc<StoreWriter>>,
    /// The directory, if there is one.
    index: Option<Rc<dyn Index>>,
}

/// A directory that is notified of sessions. It must accept each call at once, as a lost one would leave a wrong entry for
/// good.
pub trait Index: std::fmt::Debug {
    /// A session started or ended.
    fn session_changed(&self, session: &Session, playing: bool);

    /// Reports the number of remaining sessions of a title or viewer.
    fn sessions_left(&self, key: &Key, count: u64);
}

/// The connection to a directory.
#[derive(Debug)]
pub struct DirectoryLink {
    /// The directory.
    pub index: Rc<dyn Index>,
    /// Titles and viewers whose sessions have to end. A lost request is repeated by the sender.
    pub withdrawals: mpsc::Receiver<Key>,
}

/// The channels to the other nodes.
#[derive(Debug)]
pub struct Peers {
    /// This node's share of the cold budgets. Without it the share follows from the number of fronts in the settings.
    pub shares: Option<ShareReceiver>,
    /// Server reports from the other nodes.
    pub reports_in: mpsc::Receiver<ServerReport>,
    /// Server reports to the other nodes; dropped if the channel is full.
    pub reports_out: mpsc::Sender<ServerReport>,
    /// Changes of the membership.
    pub membership: mpsc::Receiver<MembershipEvent>,
    /// The directory, if there is one.
    pub directory: Option<DirectoryLink>,
    /// This node's name in the view and the settings of coordination, if it is enabled.
    pub coordination: Option<(String, SubsetSettings)>,
}

/// The state with which a node with a store starts.
#[derive(Debug)]
pub struct RecoverySetup {
    /// Its name in the membership, which may differ from that of the platform.
    pub name: String,
    /// The stored state.
    pub stored: StoredState,
    /// The number of this start in the membership.
    pub start: u64,
    /// The writer of the store. `None` if the disk failed; recovery takes place nevertheless.
    pub store_writer: Option<Rc<StoreWriter>>,
}

/// Runs a node until SIGTERM, then answers open requests and returns.
///
/// # Errors
///
/// If it can't listen or install signal handlers.
pub async fn run<D: Decide + 'static>(
    path: PathBuf, config: Config, decide: impl FnOnce(Nanos) -> D, peers: Option<Peers>,
    recovers: Option<RecoverySetup>,
) -> Result<Counts, Error> {
    // Signal handlers first: once a connection can be accepted, no signal may end the process by its default action.
    let mut term = signal(SignalKind::terminate()).map_err(Error::Signals)?;
    let mut int = signal(SignalKind::interrupt()).map_err(Error::Signals)?;
    let hup = signal(SignalKind::hangup()).map_err(Error::Signals)?;
    let listener = listen(config.listen).map_err(|why| Error::Listen { at: config.listen, why })?;
    let epoch = micadyke_membership::clock::unix().as_nanos() as u64;
    let stored = recovers.as_ref().map(|r| &r.stored);
    let module = SpreadAdvice::new(decide(epoch), &config.deployment.settings, stored);
    let mut node = Node::new(&config, module, epoch);
    if peers.is_some() {
        node.enable_peers();
    }
    if peers.as_ref().is_some_and(|o| o.directory.is_some()) {
        node.enable_directory();
    }
    if let Some((own_name, settings)) = peers.as_ref().and_then(|o| o.coordination.clone()) {
        node.coordinate(&own_name, settings);
    }
    let store_writer = recovers.and_then(|RecoverySetup { name, stored, start, store_writer }| {
        let leases = peers.as_ref().is_some_and(|o| o.shares.is_some());
        let me = (name.as_str(), start);
        node.start_recovery(
            RecoveryPhases::new(
                limits::fleet::RECOVERY_TIMEOUTS,
                me,
                &stored,
                epoch,
                leases,
                peers.is_none(),
                epoch,
            ),
            &stored,
        );
        store_writer
    });
    let shell = Rc::new(Shell {
        core: RefCell::new(node),
        start: Instant::now(),
        epoch,
        conns: RefCell::default(),
        deferred: RefCell::default(),
        next_conn: Cell::new(1),
        viewer_inputs: Cell::new(0),
        flushing: Cell::new(0),
        wake: Notify::new(),
        timer_at: Cell::new(Nanos::MAX),
        reports: peers.as_ref().map(|o| o.reports_out.clone()),
        index: peers.as_ref().and_then(|o| o.directory.as_ref()).map(|d| d.index.clone()),
        store_writer,
    });
    info!(name = config.name, listen = %config.listen, sockets = config.sockets, "serving");
    drop(config);
    let reload = spawn_local(shell.clone().reload(path, hup));
    let timers = spawn_local(shell.clone().run_timers());
    let peers = peers.map(|o| spawn_local(shell.clone().run_peers(o)));
    shell.feed(Input::Timer);
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
    peers.into_iter().for_each(|o| o.abort());
    let counts = shell.core.borrow().counts();
    info!(?counts, "stopped");
    Ok(counts)
}

fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(ACCEPT_BACKLOG)
}

impl<D: Decide + 'static> Shell<D> {
    fn now(&self) -> Nanos {
        self.epoch + self.start.elapsed().as_nanos() as u64
    }

    /// Waits until a stopping node may end: the core has no open requests, peers have received everything, and there is no
    /// pending input of viewers. Ends at the core's deadline at the latest.
    async fn serve_until_done(&self) {
        let mut seen = None;
        loop {
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
            let now = self.now();
            let core = self.core.borrow();
            if core.end_deadline().is_none_or(|by| now >= by) {
                return;
            }
            let inputs = self.viewer_inputs.get();
            let quiet = seen.replace(inputs) == Some(inputs);
            if core.may_end(now) && quiet && !self.has_unwritten() {
                return;
            }
        }
    }

    /// Whether peers have not received everything.
    fn has_unwritten(&self) -> bool {
        self.flushing.get() > 0 || self.conns.borrow().values().any(|c| !c.unwritten.borrow().is_empty())
    }

    /// Counts an input from a viewer.
    fn count_input(&self, from: &Conn) {
        self.viewer_inputs.set(self.viewer_inputs.get() + u64::from(from.is_viewer));
    }

    /// Passes an input to the core and applies its outputs.
    fn feed(self: &Rc<Self>, input: Input) {
        let mut out = Vec::new();
        self.core.borrow_mut().handle(self.now(), input, &mut out);
        loop {
            out.drain(..).for_each(|o| self.apply_output(o));
            let Some(input) = self.deferred.borrow_mut().pop_front() else { break };
            self.core.borrow_mut().handle(self.now(), input, &mut out);
        }
        let at = self.core.borrow().wake_at();
        if at < self.timer_at.get() {
            self.wake.notify_one();
        }
    }

    fn apply_output(self: &Rc<Self>, output: Output) {
        match output {
            Output::Write { conn, bytes } => {
                let Some(c) = self.conns.borrow().get(&conn).cloned() else { return };
                let was_blocked = c.blocked.get();
                let usable = if c.is_server { c.write_message(&bytes) } else { c.write(&bytes) };
                if !usable {
                    self.conns.borrow_mut().remove(&conn);
                    c.closing.set(true);
                    c.unwritten.borrow_mut().clear();
                    c.changed.notify_one();
                    let closed = Input::Closed { conn, written: c.written.get(), end: ConnectionEnd::Broken };
                    self.deferred.borrow_mut().push_back(closed);
                } else if c.blocked.get() && !was_blocked {
                    // Before all other inputs: the core takes back what it wrote for the current one.
                    self.deferred.borrow_mut().push_front(Input::Blocked { conn, written: c.written.get() });
                    c.changed.notify_one();
                } else if !c.unwritten.borrow().is_empty() {
                    c.changed.notify_one();
                }
            }
            Output::Save(record) => {
                if let Some(store_writer) = &self.store_writer {
                    store_writer.save(record);
                }
            }
            Output::IndexSession { session, playing } => {
                self.index.iter().for_each(|i| i.session_changed(&session, playing));
            }
            Output::SessionsLeft { key, count } => {
                self.index.iter().for_each(|i| i.sessions_left(&key, count))
            }
            Output::NotifyPeers(report) => {
                let _ = self.reports.as_ref().map(|t| t.try_send(report));
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
                spawn_local(self.clone().run_link(conn, addr, c));
            }
            Output::Subscribe { conn, addr, last } => {
                let c = Rc::new(Conn::default());
                self.conns.borrow_mut().insert(conn, c.clone());
                spawn_local(self.clone().run_bus(conn, addr, last, c));
            }
            Output::PauseReading { conn, duration } => {
                if let Some(c) = self.conns.borrow().get(&conn) {
                    c.paused.set(Some(Instant::now() + Duration::from_nanos(duration)));
                }
            }
        }
    }

    /// Passes on what arrives from the other nodes.
    async fn run_peers(self: Rc<Self>, peers: Peers) {
        let Peers { shares, mut reports_in, mut membership, directory, .. } = peers;
        if let Some(shares) = shares {
            spawn_local(self.clone().run_shares(shares));
        }
        if let Some(directory) = directory {
            spawn_local(self.clone().run_withdrawals(directory.withdrawals));
        }
        loop {
            tokio::select! {
                Some(report) = reports_in.recv() => self.feed(Input::ServerReport(&report)),
                Some(event) = membership.recv() => self.feed(Input::Membership(&event)),
                else => return,
            }
        }
    }

    async fn run_withdrawals(self: Rc<Self>, mut withdrawals: mpsc::Receiver<Key>) {
        while let Some(key) = withdrawals.recv().await {
            self.feed(Input::EndSessions(&key));
        }
    }

    async fn run_shares(self: Rc<Self>, mut shares: ShareReceiver) {
        while let Some((guaranteed, leased, lease_duration)) = next_share(&mut shares).await {
            self.feed(Input::ColdBudgetShare { guaranteed, leased, lease_duration });
        }
    }

    async fn run_timers(self: Rc<Self>) {
        loop {
            let at = self.core.borrow().wake_at();
            self.timer_at.set(at);
            let span = Duration::from_nanos(at.saturating_sub(self.now()).min(limits::SECOND));
            tokio::select! {
                () = tokio::time::sleep(span) => {
                    self.timer_at.set(Nanos::MAX);
                    self.feed(Input::Timer);
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
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                    continue;
                }
            };
            let _ = stream.set_nodelay(true);
            self.next_conn.set(self.next_conn.get() + 2);
            let conn = ConnId(self.next_conn.get());
            let c = Conn::accepted(stream);
            self.conns.borrow_mut().insert(conn, c.clone());
            self.count_input(&c);
            self.feed(Input::ViewerConnected { conn });
            spawn_local(self.clone().run_connection(conn, c));
            // An evicted connection is closed before the next is accepted, as both hold descriptors until then.
            tokio::task::yield_now().await;
        }
    }

    async fn run_link(self: Rc<Self>, conn: ConnId, addr: SocketAddr, c: Rc<Conn>) {
        let stream = tokio::select! {
            s = TcpStream::connect(addr) => s,
            () = c.changed.notified() => return,
        };
        match stream {
            Ok(stream) => {
                let _ = stream.set_nodelay(true);
                *c.stream.borrow_mut() = Some(Rc::new(stream));
                self.feed(Input::Connected { conn });
                self.run_connection(conn, c).await;
            }
            Err(e) => {
                let end = match e.kind() {
                    ErrorKind::ConnectionRefused => ConnectionEnd::Refused,
                    _ => ConnectionEnd::Broken,
                };
                if self.conns.borrow_mut().remove(&conn).is_some() {
                    self.feed(Input::Closed { conn, written: 0, end });
                }
            }
        }
    }

    /// Reads from and writes to a connection until it is closed.
    async fn run_connection(self: Rc<Self>, conn: ConnId, c: Rc<Conn>) {
        let Some(stream) = c.stream.borrow().clone() else { return };
        let mut end = ConnectionEnd::Broken;
        loop {
            if c.closing.get() {
                return self.flush_and_close(&stream, &c).await;
            }
            if let Some(until) = c.paused.take() {
                tokio::select! {
                    () = tokio::time::sleep_until(until.into()) => {}
                    () = c.changed.notified() => c.paused.set(Some(until)),
                }
                if !c.unwritten.borrow().is_empty() && !c.write(&[]) {
                    break;
                }
                continue;
            }
            let has_unwritten = c.blocked.get() || !c.unwritten.borrow().is_empty();
            let read = tokio::select! {
                n = self.read(conn, &stream, &c) => n,
                w = stream.writable(), if has_unwritten => {
                    if w.is_err() || !c.write(&[]) {
                        break;
                    }
                    if c.take_unblocked() {
                        self.feed(Input::Writable { conn });
                    }
                    continue;
                }
                () = c.changed.notified() => continue,
            };
            match read {
                Ok(0) => {
                    end = ConnectionEnd::Finished;
                    break;
                }
                Ok(_) => {}
                Err(_) => break,
            }
            self.count_input(&c);
            // Fairness: a connection with continuous input must not starve the others.
            tokio::task::yield_now().await;
        }
        if self.conns.borrow_mut().remove(&conn).is_some() {
            self.feed(Input::Closed { conn, written: c.written.get(), end });
        }
    }

    /// Waits for bytes on a connection, passes them to the core and returns their number; 0 means that the connection was
    /// closed. That a viewer has closed it is told before what it had sent: what it asks for is not begun any more.
    async fn read(self: &Rc<Self>, conn: ConnId, stream: &TcpStream, c: &Conn) -> std::io::Result<usize> {
        let viewer_left = || {
            if c.is_viewer {
                self.feed(Input::ViewerLeft { conn });
            }
        };
        read_some_noting_close(stream, viewer_left, |bytes| self.feed(Input::Data { conn, bytes })).await
    }

    /// Reads the event bus until its stream ends.
    async fn run_bus(self: Rc<Self>, conn: ConnId, addr: SocketAddr, last: u64, c: Rc<Conn>) {
        tokio::select! {
            e = self.read_bus(conn, addr, last) => {
                if let Err(e) = e {
                    info!(%addr, last, "the event bus broke off: {e:?}");
                }
            }
            () = c.changed.notified() => return,
        }
        if self.conns.borrow_mut().remove(&conn).is_some() {
            self.feed(Input::Closed { conn, written: 0, end: ConnectionEnd::Broken });
        }
    }

    async fn read_bus(self: &Rc<Self>, conn: ConnId, addr: SocketAddr, last: u64) -> Result<(), CallError> {
        // The core decides how long a call may take, and closes the connection.
        let limit = Duration::from_nanos(limits::bus::MAX_CONNECT_TIMEOUT);
        let mut bus = Connection::open(addr, limit, Limits::default()).await?;
        self.feed(Input::Connected { conn });
        let request = Request::new(Method::Get, "/bus/read").with("accept", "text/event-stream");
        let answer = bus.open_stream(&request.with("last-event-id", last.to_string())).await?;
        if answer.status != 200 {
            warn!(status = answer.status, "the event bus refuses");
            return Ok(());
        }
        self.feed(Input::StreamOpened { conn });
        while let Some(bytes) = bus.chunk().await? {
            self.feed(Input::Data { conn, bytes: &bytes });
        }
        Ok(())
    }

    /// Reloads the configuration at each SIGHUP.
    async fn reload(self: Rc<Self>, path: PathBuf, mut hup: tokio::signal::unix::Signal) {
        while hup.recv().await.is_some() {
            loop {
                tokio::select! {
                    () = self.reload_config(&path) => break,
                    // Restarted, as the file may have been replaced.
                    signal = hup.recv() => if signal.is_none() { return },
                }
            }
        }
    }

    /// Reloads the configuration. An unreadable file changes nothing; it is read again for a while, as it may be only partly
    /// written.
    async fn reload_config(self: &Rc<Self>, path: &Path) {
        for attempt in 0..MAX_RELOAD_ATTEMPTS {
            match load(path) {
                Ok(config) => {
                    info!(bus = %config.bus, "configuration read again");
                    return self.feed(Input::BusMoved { addr: config.bus });
                }
                Err(e) if attempt == 0 => warn!(advice = e.advice(), "the old configuration stays: {e}"),
                Err(_) => {}
            }
            tokio::time::sleep(RELOAD_RETRY_PAUSE).await;
        }
    }

    /// Writes the remaining bytes of a closed connection, unless too many connections are doing so already.
    async fn flush_and_close(&self, stream: &TcpStream, c: &Conn) {
        let rest = async {
            while !c.unwritten.borrow().is_empty() {
                if stream.writable().await.is_err() || !c.write(&[]) {
                    return;
                }
            }
        };
        if !c.unwritten.borrow().is_empty() && self.flushing.get() < MAX_FLUSHING {
            self.flushing.set(self.flushing.get() + 1);
            let _ = tokio::time::timeout(FLUSH_TIMEOUT, rest).await;
            self.flushing.set(self.flushing.get() - 1);
        }
        discard_unread(stream);
    }
}

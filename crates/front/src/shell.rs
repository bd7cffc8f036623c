//! The tokio layer around the core: sockets, clock and tasks; no choices.
//!
//! Everything runs on one thread, as tasks of a `LocalSet`. A task that brings an input calls [`Shell::feed`],
//! which hands it to the core with one reading of the clock and carries the outputs out before it returns.

use crate::core::{Counts, Front};
use crate::io::{CallId, ConnId, Input, Output, StreamId, Taken};
use crate::list::{News, Source};
use crate::returning::RECOVERY;
use micadyke::interface::Nanos;
use micadyke_config::{Config, RouteKind};
use micadyke_http::client::{CallError, Connection, read_some};
use micadyke_http::{Limits, Method, Request, RequestParser, Response, sse};
use micadyke_membership::shell::{ShareReceiver, next_share};
use micadyke_recovery::phases::{MembershipEvent, RecoveryPhases};
use micadyke_recovery::record::{Change, StoredState};
use micadyke_recovery::writer::StoreWriter;
use micadyke_tokens::bearer::Checker;
use micadyke_tokens::bound::SharedKey;
use micadyke_tokens::store::{Record, State};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::spawn_local;
use tracing::{debug, info, warn};

/// The front's clock at its start: boxes that started earlier than this count as old.
const ZERO: Nanos = 3_600_000_000_000;
/// A list older than this is looked at before anything else is done: the front stood still.
const STOOD: Duration = Duration::from_millis(100);
/// So long after it stood still, what the front reads may be as old as that.
const CAUGHT_UP: Duration = Duration::from_millis(100);
/// After it stood still, the front reads what boxes said for so long before it takes requests.
const NEWS_FIRST: Duration = Duration::from_millis(40);
/// Bytes of one event of a stream at most; a stream with a longer one is closed.
const EVENT: usize = 64 << 10;
/// A connection that is refused is read on for this, so that the refusal reaches a peer that still writes.
const DRAIN: Duration = Duration::from_secs(1);
/// Bytes read on at most.
const DRAIN_BYTES: usize = 4 << 20;
/// A stopping front waits so long for what it withdraws.
const SETTLE: Duration = Duration::from_secs(2);

/// What a front is given beside its settings.
#[derive(Default)]
pub struct Extras {
    /// What its store says of seats, and the way to the store; due where the settings name an issuer.
    pub seats: Option<(State, Rc<StoreWriter>)>,
    /// What was kept of sessions, where they are kept; without it each start is the first.
    pub recovers: Option<Recovers>,
    /// The secret shared with boxes that bound seated sessions by themselves; due where the settings name one.
    pub bound: Option<SharedKey>,
    /// What checks signed tokens; due where a route asks for them.
    pub entitlements: Option<Checker>,
    /// Questions are written down here as they are taken, a line of JSON each.
    pub questions: Option<Questions>,
    /// This front's part of cold budgets, where fronts share them out; without it that goes by their configured number.
    pub parts: Option<ShareReceiver>,
}

/// What a front that keeps its sessions comes back with.
#[derive(Debug)]
pub struct Recovers {
    /// What was kept.
    pub kept: StoredState,
    /// This start, as the other fronts know it.
    pub start: u64,
    /// Where it is kept for the next time.
    pub keeper: Rc<StoreWriter>,
    /// Who else is there, where fronts know of each other.
    pub fleet: Option<mpsc::Receiver<MembershipEvent>>,
}

/// The list is kept so often: by its age the next start knows how old all else is.
const KEEP_LIST: Duration = Duration::from_secs(10);

/// A list of the questions that a front took, as `micadyke replay` reads it.
#[derive(Debug)]
pub struct Questions {
    to: std::io::BufWriter<std::fs::File>,
    bytes: u64,
}

/// Bytes of such a list at most; what comes later is not written down.
const QUESTIONS_MOST: u64 = 1 << 30;

impl Questions {
    /// A list at the end of a file.
    pub fn append(path: &std::path::Path) -> std::io::Result<Self> {
        let file = std::fs::File::options().create(true).append(true).open(path)?;
        let bytes = file.metadata()?.len();
        Ok(Questions { to: std::io::BufWriter::new(file), bytes })
    }

    fn write(&mut self, taken: &Taken, class: &str) -> std::io::Result<()> {
        if self.bytes >= QUESTIONS_MOST {
            return Ok(());
        }
        let line = serde_json::json!({
            "title": &*taken.title, "class": class, "ceiling": taken.ceiling,
            "patience_ms": taken.patience / 1_000_000, "at_ms": taken.at / 1_000_000,
        });
        let line = format!("{line}\n");
        self.bytes += line.len() as u64;
        std::io::Write::write_all(&mut self.to, line.as_bytes())
    }
}

/// Nanoseconds since the machine was started, those included that it slept: a lease does not wait for a machine that
/// wakes up.
fn awake() -> Nanos {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    t.tv_sec.max(0) as Nanos * 1_000_000_000 + t.tv_nsec.max(0) as Nanos
}

/// A running front.
pub struct Shell {
    core: RefCell<Front>,
    config: Rc<Config>,
    /// [`awake`] at its start.
    start: Nanos,
    /// Unix time of the front's time zero.
    epoch: u64,
    source: RefCell<Box<dyn Source>>,
    /// The way to the store.
    keeper: RefCell<Option<Rc<StoreWriter>>>,
    /// When the list was kept last, where sessions are kept.
    listed: Cell<Option<Option<Instant>>>,
    questions: RefCell<Option<Questions>>,
    polled: Cell<Instant>,
    /// When the front last found that it had stood still, and for how long.
    stood: Cell<(Instant, Duration)>,
    answers: RefCell<HashMap<ConnId, oneshot::Sender<Response>>>,
    aborts: RefCell<HashMap<CallId, oneshot::Sender<()>>>,
    listens: RefCell<HashMap<StreamId, oneshot::Sender<()>>>,
    pool: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    connections: Cell<usize>,
    next: Cell<u64>,
    wake: Notify,
    armed: Cell<Option<Nanos>>,
}

/// Serves on a listener until `stop` resolves; then takes no new sessions, gives the answers that are owed and
/// returns. Must run inside a `LocalSet`.
pub async fn serve(
    listener: TcpListener, front: impl FnOnce(Nanos) -> Front, config: Rc<Config>, source: Box<dyn Source>,
    extras: Extras, stop: impl Future<Output = ()>,
) -> Counts {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    let start = Instant::now();
    let shell = Rc::new(Shell {
        core: RefCell::new(front(ZERO)),
        config,
        start: awake(),
        epoch: unix.saturating_sub(ZERO),
        source: RefCell::new(source),
        keeper: RefCell::new(None),
        listed: Cell::new(None),
        questions: RefCell::new(None),
        polled: Cell::new(start),
        stood: Cell::new((start, Duration::ZERO)),
        answers: RefCell::default(),
        aborts: RefCell::default(),
        listens: RefCell::default(),
        pool: RefCell::default(),
        connections: Cell::new(0),
        next: Cell::new(1),
        wake: Notify::new(),
        armed: Cell::new(None),
    });
    if let Some(checker) = extras.entitlements {
        shell.core.borrow_mut().with_entitlements(checker, shell.epoch);
    }
    if let Some(questions) = extras.questions {
        shell.core.borrow_mut().record_questions();
        *shell.questions.borrow_mut() = Some(questions);
    }
    if let Some((state, keeper)) = extras.seats {
        *shell.keeper.borrow_mut() = Some(keeper);
        let mut out = Vec::new();
        let seed = rand::random();
        shell.core.borrow_mut().with_seats(state, extras.bound, seed, &mut out);
        // The epoch comes first; where it cannot be written, nothing is sent under it.
        let mut out = out.into_iter();
        if let Some(epoch) = out.next() {
            shell.carry_out(epoch);
        }
        if !shell.core.borrow().seats_broken() {
            out.for_each(|o| shell.carry_out(o));
        }
    }
    let fleet = extras.recovers.and_then(|r| shell.comes_back(r, extras.parts.is_some(), unix));
    let fleet = fleet.map(|fleet| spawn_local(shell.clone().fleet(fleet)));
    let parts = extras.parts.map(|parts| spawn_local(shell.clone().parts(parts)));
    shell.poll_list();
    let timers = spawn_local(shell.clone().timers());
    let lists = spawn_local(shell.clone().lists());
    let accepting = spawn_local(shell.clone().accept(listener));
    stop.await;
    info!("stopping: no new sessions");
    shell.feed(Input::Stop);
    let until = Instant::now() + SETTLE;
    while shell.core.borrow().owed() > 0
        || (shell.core.borrow().unsettled() > 0 && Instant::now() < until)
        || !shell.answers.borrow().is_empty()
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    accepting.abort();
    // Answers handed to their connections are written by tasks of their own: one more turn lets them.
    tokio::time::sleep(Duration::from_millis(20)).await;
    timers.abort();
    lists.abort();
    parts.into_iter().chain(fleet).for_each(|p| p.abort());
    let counts = shell.core.borrow().counts();
    info!(?counts, "stopped");
    counts
}

impl Shell {
    fn now(&self) -> Nanos {
        ZERO + awake().saturating_sub(self.start)
    }

    fn id(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    /// Hands an input to the core and carries its outputs out.
    fn feed(self: &Rc<Self>, input: Input) {
        self.list_first();
        self.hand(input);
    }

    /// Looks at the list now where that is overdue: the front stood still.
    fn list_first(self: &Rc<Self>) {
        if self.polled.get().elapsed() > self.source.borrow().period() + STOOD {
            self.poll_list();
        }
    }

    fn hand(self: &Rc<Self>, input: Input) {
        let mut out = Vec::new();
        let deadline = {
            let mut core = self.core.borrow_mut();
            core.handle(self.now(), input, &mut out);
            core.deadline()
        };
        // Records go before all that follows them, so all of a turn can go first, with one write.
        let is_record = |o: &mut Output| matches!(o, Output::Record(_));
        let records: Vec<Record> = out
            .extract_if(.., is_record)
            .filter_map(|o| if let Output::Record(r) = o { Some(r) } else { None })
            .collect();
        self.write_down(&records);
        let is_kept = |o: &mut Output| matches!(o, Output::Keep(_));
        let changes: Vec<Change> = out
            .extract_if(.., is_kept)
            .filter_map(|o| if let Output::Keep(c) = o { Some(c) } else { None })
            .collect();
        if let Some(keeper) = self.keeper.borrow().as_ref().filter(|_| !changes.is_empty()) {
            keeper.save_all(changes);
        }
        for output in out {
            self.carry_out(output);
        }
        if deadline.is_some() && deadline < self.armed.get().or(Some(Nanos::MAX)) {
            self.wake.notify_one();
        }
    }

    /// Has records kept; an epoch is on the disk before this returns.
    fn write_down(&self, records: &[Record]) {
        if records.is_empty() {
            return;
        }
        let Some(keeper) = self.keeper.borrow().clone() else { return };
        let changes = records.iter().cloned().map(Into::into);
        if !records.iter().any(|r| matches!(r, Record::Epoch(_))) {
            return keeper.save_all(changes);
        }
        if let Err(e) = keeper.save_and_sync(changes) {
            warn!("seats cannot be kept: {e}");
            records.iter().for_each(|r| self.core.borrow_mut().not_recorded(r));
        }
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        match output {
            Output::Respond { conn, response } => {
                if let Some(waits) = self.answers.borrow_mut().remove(&conn) {
                    let _ = waits.send(response);
                }
            }
            Output::Call { call, to, request, timeout } => {
                let (abort, aborted) = oneshot::channel();
                self.aborts.borrow_mut().insert(call, abort);
                spawn_local(self.clone().call(call, to, request, timeout, aborted));
            }
            Output::Abort { call } => {
                if let Some(abort) = self.aborts.borrow_mut().remove(&call) {
                    let _ = abort.send(());
                }
            }
            Output::Listen { stream, to, request } => {
                let (close, closed) = oneshot::channel();
                self.listens.borrow_mut().insert(stream, close);
                spawn_local(self.clone().listen(stream, to, request, closed));
            }
            Output::Unlisten { stream } => {
                self.listens.borrow_mut().remove(&stream);
            }
            Output::Record(record) => self.write_down(&[record]),
            Output::Keep(change) => {
                if let Some(keeper) = &*self.keeper.borrow() {
                    keeper.save(change);
                }
            }
            Output::Taken(taken) => {
                let class = &self.config.classes[taken.class].name;
                let written = self.questions.borrow_mut().as_mut().map(|q| q.write(&taken, class));
                if let Some(Err(e)) = written {
                    warn!("questions are written down no more: {e}");
                    *self.questions.borrow_mut() = None;
                }
            }
            // A watched list is always subscribed.
            Output::Subscribe => self.poll_list(),
        }
    }

    async fn timers(self: Rc<Self>) {
        loop {
            let deadline = self.core.borrow().deadline();
            self.armed.set(deadline);
            let now = self.now();
            match deadline {
                Some(at) if at <= now => self.feed(Input::Tick),
                Some(at) => tokio::select! {
                    () = tokio::time::sleep(Duration::from_nanos(at - now)) => {}
                    () = self.wake.notified() => {}
                },
                None => self.wake.notified().await,
            }
        }
    }

    // ----- the list

    /// Takes up what was kept; who tells of other fronts.
    fn comes_back(&self, r: Recovers, leases: bool, unix: u64) -> Option<mpsc::Receiver<MembershipEvent>> {
        let (me, alone, now) = ((self.config.name.as_str(), r.start), r.fleet.is_none(), self.now());
        let phases = RecoveryPhases::new(RECOVERY, me, &r.kept, unix, leases, alone, now);
        self.core.borrow_mut().comes_back(phases, &r.kept, unix);
        *self.keeper.borrow_mut() = Some(r.keeper);
        self.listed.set(Some(None));
        r.fleet
    }

    async fn fleet(self: Rc<Self>, mut fleet: mpsc::Receiver<MembershipEvent>) {
        while let Some(fact) = fleet.recv().await {
            self.feed(Input::Fleet(fact));
        }
    }

    /// Has the list kept, now and then.
    fn keep_list(&self) {
        let due = self.listed.get().is_some_and(|at| at.is_none_or(|at| at.elapsed() >= KEEP_LIST));
        if !due || self.core.borrow().comes_back_still() {
            return;
        }
        self.listed.set(Some(Some(Instant::now())));
        if let Some(keeper) = &*self.keeper.borrow() {
            keeper.save(self.core.borrow().kept_list(self.epoch.saturating_add(self.now())));
        }
    }

    async fn parts(self: Rc<Self>, mut parts: ShareReceiver) {
        while let Some((always, leased, span)) = next_share(&mut parts).await {
            self.feed(Input::Part { always, leased, span });
        }
    }

    async fn lists(self: Rc<Self>) {
        let period = self.source.borrow().period();
        loop {
            tokio::time::sleep(period).await;
            self.poll_list();
        }
    }

    fn poll_list(self: &Rc<Self>) {
        // Polls are due every period of the source: what exceeds that, the front did not run.
        let (now, period) = (Instant::now(), self.source.borrow().period());
        let gap = now.duration_since(self.polled.replace(now)).saturating_sub(period);
        if gap > STOOD {
            warn!(?gap, "the front stood still");
            self.stood.set((now, gap));
        }
        self.keep_list();
        let news = self.source.borrow_mut().poll();
        match news {
            Some(News::Full(rows)) => {
                debug!(boxes = rows.len(), "list of boxes");
                self.hand(Input::List { rows, epoch: self.epoch });
            }
            Some(News::Failed(faults)) => {
                for fault in faults.iter().take(5) {
                    warn!("{fault}; the list held stays");
                }
            }
            None => {}
        }
    }

    // ----- viewers

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) if self.connections.get() < self.config.bounds.connections => {
                    self.connections.set(self.connections.get() + 1);
                    let shell = self.clone();
                    spawn_local(async move {
                        shell.clone().connection(stream, peer.ip()).await;
                        shell.connections.set(shell.connections.get() - 1);
                    });
                }
                Ok(_) => warn!("more connections than the bound: one is closed"),
                Err(e) => {
                    warn!("accept: {e}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    async fn connection(self: Rc<Self>, mut stream: TcpStream, peer: IpAddr) {
        let _ = stream.set_nodelay(true);
        let b = &self.config.bounds;
        let limits = Limits { head: b.head, body: b.body, ..Limits::default() };
        let mut parser = RequestParser::new(limits);
        loop {
            let Some(request) = self.next_request(&mut stream, &mut parser).await else { return };
            let waited = self.waited();
            if waited > 0 {
                // News first: what boxes said meanwhile is read before the requests that piled up are placed.
                tokio::time::sleep(NEWS_FIRST).await;
            }
            let (head_only, keep_alive) = (request.method == Method::Head, request.keep_alive);
            let conn = ConnId(self.id());
            let (sender, mut answer) = oneshot::channel();
            self.answers.borrow_mut().insert(conn, sender);
            self.feed(Input::Request { conn, request, peer, waited });
            let mut response = loop {
                let room = parser.pending() < b.head + b.body;
                tokio::select! {
                    biased;
                    response = &mut answer => match response {
                        Ok(response) => break response,
                        Err(_) => return,
                    },
                    read = read_some(&stream, |bytes| parser.feed(bytes)), if room => match read {
                        Ok(0) | Err(_) => {
                            self.answers.borrow_mut().remove(&conn);
                            return self.feed(Input::Gone { conn });
                        }
                        Ok(_) => {}
                    },
                }
            };
            response.keep_alive &= keep_alive;
            let bytes = response.encode(head_only);
            if !self.write(&mut stream, &bytes).await {
                return;
            }
            if !response.keep_alive {
                return drain(&mut stream).await;
            }
        }
    }

    /// How long a request that is read now may have lain unread.
    fn waited(self: &Rc<Self>) -> Nanos {
        self.list_first();
        let (at, gap) = self.stood.get();
        if at.elapsed() < CAUGHT_UP { gap.as_nanos() as u64 } else { 0 }
    }

    async fn write(&self, stream: &mut TcpStream, bytes: &[u8]) -> bool {
        let limit = Duration::from_nanos(self.config.bounds.read);
        matches!(tokio::time::timeout(limit, stream.write_all(bytes)).await, Ok(Ok(())))
    }

    /// The next request of a connection; `None`: it is over.
    async fn next_request(&self, stream: &mut TcpStream, parser: &mut RequestParser) -> Option<Request> {
        let idle = Instant::now() + Duration::from_nanos(self.config.bounds.idle);
        let mut due: Option<Instant> = None;
        loop {
            let fault = match parser.poll() {
                Ok(Some(request)) => return Some(request),
                Ok(None) => None,
                Err(fault) => Some((fault.status, fault.what)),
            };
            let until = if parser.is_mid_message() {
                *due.get_or_insert_with(|| Instant::now() + Duration::from_nanos(self.config.bounds.read))
            } else {
                idle
            };
            let refused = match fault {
                Some(fault) => fault,
                None => {
                    if parser.wants_continue() && !self.write(stream, b"HTTP/1.1 100 Continue\r\n\r\n").await
                    {
                        return None;
                    }
                    match tokio::time::timeout_at(until.into(), read_some(stream, |b| parser.feed(b))).await {
                        Ok(Ok(n)) if n > 0 => continue,
                        Ok(_) => return None,
                        Err(_) if parser.is_mid_message() => (408, "the request did not come in time"),
                        Err(_) => return None,
                    }
                }
            };
            let mut response = Response::problem(refused.0, refused.1);
            response.keep_alive = false;
            if self.write(stream, &response.encode(false)).await {
                drain(stream).await;
            }
            return None;
        }
    }

    // ----- boxes

    async fn call(
        self: Rc<Self>, call: CallId, to: SocketAddr, request: Request, timeout: Option<Duration>,
        aborted: oneshot::Receiver<()>,
    ) {
        let run = async {
            match timeout {
                None => self.exchange(to, &request).await,
                Some(t) => tokio::time::timeout(t, self.exchange(to, &request))
                    .await
                    .unwrap_or(Err(CallError::Reset)),
            }
        };
        // Whichever way it goes, the connection of a call without its whole answer is closed by then.
        let result = tokio::select! {
            biased;
            result = run => Some(result),
            _ = aborted => None,
        };
        self.aborts.borrow_mut().remove(&call);
        self.feed(match result {
            Some(result) => Input::Reply { call, result },
            None => Input::Closed { call },
        });
    }

    async fn exchange(&self, to: SocketAddr, request: &Request) -> Result<Response, CallError> {
        let kept = loop {
            match self.pool.borrow_mut().get_mut(&to).and_then(Vec::pop) {
                Some(c) if !c.reusable() => {}
                other => break other,
            }
        };
        let mut connection = match kept {
            Some(c) => c,
            None => {
                Connection::open(to, Duration::from_nanos(self.config.bounds.connect), self.limits()).await?
            }
        };
        let response = connection.call(request).await?;
        if response.keep_alive {
            let mut pool = self.pool.borrow_mut();
            let idle = pool.entry(to).or_default();
            if idle.len() < self.config.bounds.idle_per_box {
                idle.push(connection);
            }
        }
        Ok(response)
    }

    fn limits(&self) -> Limits {
        // What boxes send is a manifest at most.
        let media = self.config.routes.iter().any(|r| r.kind == RouteKind::Media);
        let body = if media { self.config.bounds.manifest } else { self.config.bounds.body };
        Limits { head: self.config.bounds.head, body, ..Limits::default() }
    }

    async fn listen(
        self: Rc<Self>, stream: StreamId, to: SocketAddr, request: Request, closed: oneshot::Receiver<()>,
    ) {
        let cut = tokio::select! {
            biased;
            // Dropped by the core: it wants to hear no more.
            _ = closed => return,
            read = self.clone().read_events(stream, to, request) => read == Err(CallError::Reset),
        };
        self.listens.borrow_mut().remove(&stream);
        self.feed(Input::StreamEnded { stream, cut });
    }

    async fn read_events(
        self: Rc<Self>, stream: StreamId, to: SocketAddr, request: Request,
    ) -> Result<(), CallError> {
        let connect = Duration::from_nanos(self.config.bounds.connect);
        let mut connection = Connection::open(to, connect, self.limits()).await?;
        let call = Duration::from_nanos(self.config.bounds.call);
        let head = tokio::time::timeout(call, connection.open_stream(&request)).await;
        let head = head.unwrap_or(Err(CallError::Reset))?;
        if head.status != 200 || head.media_type().as_deref() != Some("text/event-stream") {
            return Ok(());
        }
        self.feed(Input::StreamOpened { stream });
        let (mut parser, mut events) = (sse::Parser::new(EVENT), Vec::new());
        while let Some(bytes) = connection.chunk().await? {
            if parser.feed(&bytes, &mut events).is_err() {
                warn!(%to, "an event is longer than the bound: the stream is closed");
                return Ok(());
            }
            for event in events.drain(..) {
                self.feed(Input::Event { stream, event });
            }
        }
        Ok(())
    }
}

/// Ends a connection after its last answer: no more is written, and what the peer still sends is read for a
/// while, so that the answer is not lost to a reset.
async fn drain(stream: &mut TcpStream) {
    let _ = stream.shutdown().await;
    let until = tokio::time::Instant::now() + DRAIN;
    let mut left = DRAIN_BYTES;
    while left > 0 {
        match tokio::time::timeout_at(until, read_some(stream, |_| {})).await {
            Ok(Ok(n)) if n > 0 => left = left.saturating_sub(n),
            _ => return,
        }
    }
}

//! The platform's stand-ins over sockets: media servers and the event bus on loopback. For a `LocalSet`.

use crate::platform::{Act, MediaServer, Record, Seen, bus_event};
use crate::server::{bind, next_request};
use micadyke_http::client::read_some;
use micadyke_http::{Limits, RequestParser};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::task::{AbortHandle, spawn_local};

/// What all stand-ins of one platform share: the clock and the record. Processes of one machine share the clock too: it is
/// the system's monotonic one, which nobody sets.
#[derive(Debug, Clone, Default)]
pub struct Scene {
    /// What crossed, as far as it was not written to a file.
    pub record: Rc<RefCell<Record>>,
    file: Option<Rc<RefCell<File>>>,
    unkept: Rc<RefCell<Option<std::io::Error>>>,
}

impl Scene {
    /// A scene whose record is a file, a JSON line each. What is there stays. Each line is handed to the operating system
    /// before what it tells of has an effect beyond this process, so that a process which is killed leaves all of them.
    pub fn in_file(path: &Path) -> std::io::Result<Self> {
        let file = File::options().append(true).create(true).open(path)?;
        Ok(Scene { file: Some(Rc::new(RefCell::new(file))), ..Scene::default() })
    }

    /// Reads what a scene wrote to its file; a line cut short by a kill had no effect yet, and is passed over.
    ///
    /// # Errors
    ///
    /// Where it can't be read, or holds something else.
    pub fn read_file(path: &Path) -> std::io::Result<Record> {
        let text = std::fs::read_to_string(path)?;
        let whole = text.rfind('\n').map_or("", |end| &text[..end]);
        whole.lines().map(|l| serde_json::from_str(l).map_err(std::io::Error::from)).collect()
    }

    /// Nanoseconds of the system's monotonic clock (`CLOCK_MONOTONIC`).
    pub fn now(&self) -> u64 {
        let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
        now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
    }

    /// Notes what was seen.
    pub fn note(&self, seen: Seen) {
        self.record.borrow_mut().push((self.now(), seen));
        self.write_down();
    }

    /// Hands the record to its file, where it has one.
    fn write_down(&self) {
        let Some(file) = &self.file else { return };
        let mut lines = Vec::new();
        for seen in self.record.borrow_mut().drain(..) {
            lines.extend(serde_json::to_vec(&seen).unwrap_or_default());
            lines.push(b'\n');
        }
        if let Err(e) = file.borrow_mut().write_all(&lines) {
            self.unkept.borrow_mut().get_or_insert(e);
        }
    }

    /// Why something could not be written down, once that has happened: the record is of no use from then on.
    pub fn unkept(&self) -> Option<std::io::Error> {
        self.unkept.borrow_mut().take()
    }
}

/// A media server that listens.
pub struct Listening {
    /// Where.
    pub addr: SocketAddr,
    /// Its model.
    pub server: RefCell<MediaServer>,
    scene: Scene,
    conns: RefCell<HashMap<u64, mpsc::UnboundedSender<Option<Vec<u8>>>>>,
    wake: Notify,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl Listening {
    /// Serves a model at an address; port 0: any free one.
    pub async fn start(at: SocketAddr, server: MediaServer, scene: Scene) -> std::io::Result<Rc<Self>> {
        let listener = bind(at).await?;
        let me = Rc::new(Listening {
            addr: listener.local_addr()?,
            server: RefCell::new(server),
            scene,
            conns: RefCell::default(),
            wake: Notify::new(),
            tasks: RefCell::default(),
        });
        let (accepting, waking) = (me.clone(), me.clone());
        let accept = spawn_local(async move {
            let mut number = 0;
            while let Ok((stream, _)) = listener.accept().await {
                number += 1;
                let task = spawn_local(accepting.clone().connection(number, stream));
                accepting.tasks.borrow_mut().push(task.abort_handle());
            }
        });
        let wake = spawn_local(async move {
            loop {
                let at = waking.server.borrow().wake_at();
                let span = at.map_or(Duration::from_secs(1), |at| {
                    Duration::from_nanos(at.saturating_sub(waking.scene.now()))
                });
                tokio::select! {
                    () = tokio::time::sleep(span) => {}
                    () = waking.wake.notified() => {}
                }
                let acts = waking
                    .server
                    .borrow_mut()
                    .wake(waking.scene.now(), &mut waking.scene.record.borrow_mut());
                waking.scene.write_down();
                waking.act(acts);
            }
        });
        me.tasks.borrow_mut().extend([accept.abort_handle(), wake.abort_handle()]);
        Ok(me)
    }

    /// Ends the process: its connections are reset, nothing listens any more.
    pub fn stop(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
        self.conns.borrow_mut().clear();
    }

    fn act(&self, acts: Vec<Act>) {
        for act in acts {
            let (conn, bytes) = match act {
                Act::Write(conn, bytes) => (conn, Some(bytes)),
                Act::Close(conn) => (conn, None),
            };
            if let Some(to) = self.conns.borrow().get(&conn) {
                let _ = to.send(bytes);
            }
        }
    }

    async fn connection(self: Rc<Self>, conn: u64, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (to, mut from) = mpsc::unbounded_channel();
        self.conns.borrow_mut().insert(conn, to);
        let acts = self.server.borrow_mut().opened(conn);
        self.act(acts);
        loop {
            let mut bytes = Vec::new();
            tokio::select! {
                n = read_some(&stream, |b| bytes.extend_from_slice(b)) => {
                    if !matches!(n, Ok(1..)) {
                        break;
                    }
                    let now = self.scene.now();
                    let acts = self.server.borrow_mut().read(now, conn, &bytes, &mut self.scene.record.borrow_mut());
                    self.scene.write_down();
                    self.wake.notify_one();
                    self.act(acts);
                }
                out = from.recv() => match out {
                    Some(Some(bytes)) => {
                        if stream.write_all(&bytes).await.is_err() {
                            break;
                        }
                    }
                    _ => break,
                },
            }
        }
        self.conns.borrow_mut().remove(&conn);
        self.server.borrow_mut().closed(self.scene.now(), conn, &mut self.scene.record.borrow_mut());
        self.scene.write_down();
    }
}

/// The event bus.
pub struct Bus {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Rows of the events, from number 1.
    events: RefCell<Vec<(bool, String)>>,
    more: Notify,
    /// `Last-Event-ID` of each call.
    pub calls: RefCell<Vec<String>>,
    open: Cell<bool>,
}

impl Bus {
    /// A bus with its first events, at any free port.
    pub async fn start(events: Vec<(bool, String)>) -> std::io::Result<Rc<Self>> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), events).await
    }

    /// The same at an address.
    pub async fn start_at(at: SocketAddr, events: Vec<(bool, String)>) -> std::io::Result<Rc<Self>> {
        let listener = bind(at).await?;
        let me = Rc::new(Bus {
            addr: listener.local_addr()?,
            events: RefCell::new(events),
            more: Notify::new(),
            calls: RefCell::default(),
            open: Cell::new(true),
        });
        let bus = me.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(bus.clone().serve(stream));
            }
        });
        Ok(me)
    }

    /// How many events it has.
    pub fn events(&self) -> usize {
        self.events.borrow().len()
    }

    /// A further event.
    pub fn tell(&self, full: bool, rows: &str) {
        self.events.borrow_mut().push((full, rows.to_owned()));
        self.more.notify_waiters();
    }

    /// Breaks off, in the middle of an event; further calls find it closed where `for_good`.
    pub fn break_off(&self, for_good: bool) {
        self.open.set(!for_good);
        self.more.notify_waiters();
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut parser = RequestParser::new(Limits::default());
        let Some(Ok(request)) = next_request(&stream, &mut parser, |_| ()).await else { return };
        let last = request.headers.get("last-event-id").unwrap_or("").to_owned();
        let mut next = last.parse::<usize>().unwrap_or(0);
        self.calls.borrow_mut().push(last);
        if !self.open.get() {
            return;
        }
        let start = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n";
        if stream.write_all(start.as_bytes()).await.is_err() {
            return;
        }
        loop {
            let event = self.events.borrow().get(next).cloned();
            let bytes = match event {
                Some((full, rows)) => {
                    next += 1;
                    bus_event(next as u64, full, &rows)
                }
                None => {
                    tokio::select! {
                        () = self.more.notified() => {}
                        () = tokio::time::sleep(Duration::from_millis(500)) => {}
                    }
                    if !self.open.get() {
                        let _ = stream.write_all(b"id: 99\ndata: {\"off").await;
                        return;
                    }
                    b":\n\n".to_vec()
                }
            };
            if stream.write_all(&bytes).await.is_err() {
                return;
            }
        }
    }
}

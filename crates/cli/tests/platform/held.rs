//! A media server that reads nothing until it is told to, through small buffers, so that what is sent to it backs up; and
//! ways for a viewer to go.

use super::connections::{End, ends};
use super::{MS, Viewer};
use micadyke_isup::{Message, kind};
use micadyke_standin::platform::{Act, MediaServer, Seen, Treat};
use micadyke_standin::platform_net::Scene;
use socket2::{Domain, Socket, Type};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Bytes of a server's receive buffer.
const RECEIVES: usize = 4096;
/// Bytes of a segment: what a sender's buffer may grow to goes by it.
const SEGMENT: u32 = 536;

/// A media server that never answers, and reads only once it is told to.
pub struct Held {
    pub addr: SocketAddr,
    server: RefCell<MediaServer>,
    scene: Scene,
    reads: Cell<bool>,
    told: Notify,
    /// Connections on which something was sent.
    pub begun: Cell<usize>,
    /// Connections that are over.
    pub over: Cell<usize>,
}

impl Held {
    pub fn start(id: &str, scene: &Scene) -> Rc<Self> {
        let listener = narrow_listener(1024);
        let held = Rc::new(Held {
            addr: listener.local_addr().expect("an address"),
            server: RefCell::new(MediaServer::new(id, 5 * MS, Treat::Silent)),
            scene: scene.clone(),
            reads: Cell::new(false),
            told: Notify::new(),
            begun: Cell::new(0),
            over: Cell::new(0),
        });
        let accepting = held.clone();
        tokio::task::spawn_local(async move {
            let mut conn = 0;
            while let Ok((stream, _)) = listener.accept().await {
                conn += 1;
                tokio::task::spawn_local(accepting.clone().connection(conn, stream));
            }
        });
        held
    }

    /// From now on it reads what comes.
    pub fn read(&self) {
        self.reads.set(true);
        self.told.notify_waiters();
    }

    async fn connection(self: Rc<Self>, conn: u64, mut stream: TcpStream) {
        let mut first = [0];
        if matches!(stream.peek(&mut first).await, Ok(1..)) {
            self.begun.set(self.begun.get() + 1);
        }
        while !self.reads.get() {
            self.told.notified().await;
        }
        self.server.borrow_mut().opened(conn);
        let mut bytes = vec![0; 8192];
        while let Ok(n @ 1..) = stream.read(&mut bytes).await {
            let now = self.scene.now();
            let acts =
                self.server.borrow_mut().read(now, conn, &bytes[..n], &mut self.scene.record.borrow_mut());
            for act in acts {
                if let Act::Write(_, bytes) = act {
                    let _ = stream.write_all(&bytes).await;
                }
            }
        }
        let now = self.scene.now();
        self.server.borrow_mut().closed(now, conn, &mut self.scene.record.borrow_mut());
        self.over.set(self.over.get() + 1);
    }
}

/// A listener whose connections hold little on either side.
pub fn narrow_listener(backlog: i32) -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(RECEIVES).expect("a small buffer");
    socket.set_tcp_mss(SEGMENT).expect("small segments");
    socket.set_nonblocking(true).expect("it does not wait");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    socket.listen(backlog).expect("it listens");
    TcpListener::from_std(socket.into()).expect("a listener")
}

/// How a viewer goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Goes {
    /// It closes its connection (FIN).
    Closes,
    /// Its connection is reset (RST).
    Resets,
    /// It sends nothing more, and still reads.
    HalfCloses,
    /// It gives up each of its set-ups.
    GivesUp,
}

pub const WAYS: [Goes; 4] = [Goes::Closes, Goes::Resets, Goes::HalfCloses, Goes::GivesUp];

/// A viewer goes with all of its set-ups; it is still there where its connection is.
pub async fn go(mut viewer: Viewer, scene: &Scene, ids: Range<u64>, how: Goes) -> Option<Viewer> {
    ids.clone().for_each(|id| scene.note(Seen::GaveUp { id }));
    match how {
        Goes::Closes => return None,
        Goes::Resets => {
            viewer.stream.set_zero_linger().expect("a socket of its own");
            return None;
        }
        Goes::HalfCloses => viewer.stream.shutdown().await.expect("it was open"),
        Goes::GivesUp => {
            let release = |id| Message::new(kind::RELEASE, id).with_cause(16).encode().expect("it fits");
            let all: Vec<u8> = ids.flat_map(release).collect();
            viewer.stream.write_all(&all).await.expect("written");
        }
    }
    Some(viewer)
}

/// Waits until something is so.
pub async fn until(what: &str, so: impl Fn() -> bool) {
    let start = std::time::Instant::now();
    while !so() {
        assert!(start.elapsed() < Duration::from_secs(30), "{what}");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Waits until what is on its way to an address has not changed for a while: the buffers are full.
pub async fn full(to: SocketAddr) {
    let queues = || {
        let mut ends: Vec<End> = ends().into_iter().filter(|end| end.remote == to).collect();
        ends.sort();
        ends
    };
    let (mut last, mut same) = (queues(), 0);
    while same < 20 {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let now = queues();
        same = if now == last { same + 1 } else { 0 };
        last = now;
    }
}

/// Set-ups that servers read and whose end they have neither written nor been told.
pub fn still_out(scene: &Scene) -> BTreeSet<u64> {
    let mut out = BTreeSet::new();
    for (_, seen) in scene.record.borrow().iter() {
        match seen {
            Seen::Sent { id, .. } => drop(out.insert(*id)),
            Seen::Withdrawn { id, .. } | Seen::Ended { id, .. } | Seen::Stood { id, .. } => {
                out.remove(id);
            }
            _ => {}
        }
    }
    out
}

/// Set-ups that servers read.
pub fn sent(scene: &Scene) -> usize {
    scene.record.borrow().iter().filter(|r| matches!(r.1, Seen::Sent { .. })).count()
}

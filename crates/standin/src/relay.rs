//! A way between two processes that a test owns: connections are carried byte for byte, each direction by itself, and can be
//! held up as by a network that loses packets, delayed, slowed down, or reset. For a `LocalSet`.

use crate::server::bind;
use micadyke_http::client::read_some;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::task::{AbortHandle, spawn_local};

/// Bytes that wait on a direction that is cut, at most: what a sender's and a receiver's buffers would hold.
const HELD: usize = 256 << 10;

/// What becomes of the bytes of one direction.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Flow {
    /// They arrive.
    #[default]
    Through,
    /// They arrive so much later.
    Late(Duration),
    /// They arrive when the cut is over, as what TCP sends again does.
    Cut,
    /// They arrive a few at a time.
    Slow {
        /// So many at once; at least one.
        bytes: usize,
        /// And so long before each.
        pause: Duration,
    },
}

/// Reads along what a caller writes, as it leaves the caller: before a way holds it up.
pub trait NearEnd {
    /// A caller wrote these bytes on a connection.
    fn wrote(&self, connection: usize, bytes: &[u8]);

    /// A caller closed a connection, or it is over.
    fn closed(&self, connection: usize);
}

/// A way to one address, under an address of its own.
pub struct Relay {
    /// Where it listens.
    pub addr: SocketAddr,
    to: SocketAddr,
    flows: [Cell<Flow>; 2],
    changed: Notify,
    /// Connections carried so far.
    pub carried: Cell<usize>,
    open: RefCell<Vec<AbortHandle>>,
    near_end: Option<Box<dyn NearEnd>>,
}

impl Relay {
    /// A way to `to`.
    pub async fn start(to: SocketAddr) -> std::io::Result<Rc<Self>> {
        Self::start_with(to, None).await
    }

    /// A way to `to` on which somebody reads along where callers write.
    pub async fn start_watched(to: SocketAddr, near_end: Box<dyn NearEnd>) -> std::io::Result<Rc<Self>> {
        Self::start_with(to, Some(near_end)).await
    }

    async fn start_with(to: SocketAddr, near_end: Option<Box<dyn NearEnd>>) -> std::io::Result<Rc<Self>> {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let addr = listener.local_addr()?;
        let me = Rc::new(Relay {
            addr,
            to,
            flows: Default::default(),
            changed: Notify::new(),
            carried: Cell::new(0),
            open: RefCell::default(),
            near_end,
        });
        let accepting = me.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = accepting.carried.get() + 1;
                accepting.carried.set(connection);
                let task = spawn_local(accepting.clone().carry(connection, stream));
                let mut open = accepting.open.borrow_mut();
                open.retain(|t| !t.is_finished());
                open.push(task.abort_handle());
            }
        });
        Ok(me)
    }

    /// What becomes of bytes there, and of those back, from now on.
    pub fn set(&self, there: Flow, back: Flow) {
        self.flows[0].set(there);
        self.flows[1].set(back);
        self.changed.notify_waiters();
    }

    /// Breaks all connections that are carried; new ones come up.
    pub fn reset(&self) {
        self.open.borrow_mut().drain(..).for_each(|t| t.abort());
    }

    async fn carry(self: Rc<Self>, connection: usize, from: TcpStream) {
        // A connection comes up when its handshake gets through; the caller's own kernel has said yes before that.
        self.let_through(0).await;
        self.let_through(1).await;
        let Ok(to) = TcpStream::connect(self.to).await else { return };
        let _ = (from.set_nodelay(true), to.set_nodelay(true));
        let ((from_read, from_write), (to_read, to_write)) = (from.into_split(), to.into_split());
        let watch = |bytes: &[u8]| match (&self.near_end, bytes) {
            (None, _) => {}
            (Some(near_end), []) => near_end.closed(connection),
            (Some(near_end), bytes) => near_end.wrote(connection, bytes),
        };
        tokio::join!(self.one(0, from_read, to_write, watch), self.one(1, to_read, from_write, |_| {}));
    }

    /// Waits until a direction is not cut.
    async fn let_through(&self, way: usize) {
        loop {
            let changed = self.changed.notified();
            if self.flows[way].get() != Flow::Cut {
                return;
            }
            changed.await;
        }
    }

    /// Carries one direction; `watch` is shown what is read, and nothing at its end.
    async fn one(
        &self, way: usize, from: tokio::net::tcp::OwnedReadHalf, mut to: tokio::net::tcp::OwnedWriteHalf,
        watch: impl Fn(&[u8]),
    ) {
        let (send, mut receive) = mpsc::channel::<(tokio::time::Instant, Vec<u8>)>(HELD / 4096);
        let read = async move {
            loop {
                let mut taken = Vec::new();
                match read_some(from.as_ref(), |bytes| taken.extend_from_slice(bytes)).await {
                    Ok(1..) => watch(&taken),
                    _ => return watch(&[]),
                }
                let late = if let Flow::Late(by) = self.flows[way].get() { by } else { Duration::ZERO };
                if send.send((tokio::time::Instant::now() + late, taken)).await.is_err() {
                    return;
                }
            }
        };
        let write = async move {
            while let Some((at, bytes)) = receive.recv().await {
                tokio::time::sleep_until(at).await;
                if self.hand_over(way, &mut to, &bytes).await.is_err() {
                    return;
                }
            }
            self.let_through(way).await;
            let _ = to.shutdown().await;
        };
        tokio::join!(read, write);
    }

    /// Writes what has arrived, at the pace that is set.
    async fn hand_over(
        &self, way: usize, to: &mut tokio::net::tcp::OwnedWriteHalf, mut bytes: &[u8],
    ) -> std::io::Result<()> {
        while !bytes.is_empty() {
            self.let_through(way).await;
            let mut piece = bytes.len();
            if let Flow::Slow { bytes: at_once, pause } = self.flows[way].get() {
                tokio::time::sleep(pause).await;
                piece = piece.min(at_once.max(1));
            }
            to.write_all(&bytes[..piece]).await?;
            bytes = &bytes[piece..];
        }
        Ok(())
    }
}

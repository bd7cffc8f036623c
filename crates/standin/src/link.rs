//! The way between two programs: a relay on loopback that can go half-open. Both ends then keep their connections, and
//! nothing passes; when it is over the relay has forgotten them, as a middlebox does, and closes both ends. It can also
//! record what passes, as the end that connects sees it: for viewers that are programs of their own.

use crate::record::{End, Record, What};
use crate::server::bind;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{AbortHandle, spawn_local};

/// A relay to one address. Clones share it.
#[derive(Clone)]
pub struct Link(Rc<Inner>);

struct Inner {
    addr: SocketAddr,
    to: Cell<SocketAddr>,
    cut: Cell<bool>,
    /// Times that it was restored: connections of before are forgotten.
    restored: Cell<u64>,
    changed: Notify,
    accepting: Cell<Option<AbortHandle>>,
    record: Option<(Rc<Record>, End)>,
}

impl Drop for Inner {
    fn drop(&mut self) {
        if let Some(task) = self.accepting.take() {
            task.abort();
        }
    }
}

impl Link {
    /// Opens a relay to an address.
    pub async fn open(to: SocketAddr) -> std::io::Result<Self> {
        Self::make(to, None).await
    }

    /// Opens a relay that records what passes, as that of an end that connects.
    pub async fn recorded(to: SocketAddr, record: Rc<Record>, end: End) -> std::io::Result<Self> {
        Self::make(to, Some((record, end))).await
    }

    async fn make(to: SocketAddr, record: Option<(Rc<Record>, End)>) -> std::io::Result<Self> {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let link = Link(Rc::new(Inner {
            addr: listener.local_addr()?,
            to: Cell::new(to),
            cut: Cell::new(false),
            restored: Cell::new(0),
            changed: Notify::new(),
            accepting: Cell::new(None),
            record,
        }));
        let task = spawn_local(Self::accept(Rc::downgrade(&link.0), listener));
        link.0.accepting.set(Some(task.abort_handle()));
        Ok(link)
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.0.addr
    }

    /// Lets nothing pass from now on, or lets new connections pass again.
    pub fn cut(&self, on: bool) {
        self.0.cut.set(on);
        if !on {
            self.0.restored.set(self.0.restored.get() + 1);
        }
        self.0.changed.notify_waiters();
    }

    async fn accept(inner: std::rc::Weak<Inner>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let Some(inner) = inner.upgrade() else { return };
            spawn_local(async move {
                let _ = Link(inner).connection(stream).await;
            });
        }
    }

    async fn connection(&self, stream: TcpStream) -> std::io::Result<()> {
        let began = self.0.restored.get();
        let _ = stream.set_nodelay(true);
        if self.0.cut.get() {
            // It is taken, and leads nowhere.
            self.forgotten(began).await;
            return Ok(());
        }
        let conn = self.0.record.as_ref().map(|(record, end)| record.open(*end));
        let _closed = conn.map(|conn| Closing(self, conn));
        let beyond = TcpStream::connect(self.0.to.get()).await?;
        let _ = beyond.set_nodelay(true);
        let (from, back) = stream.into_split();
        let (there, to) = beyond.into_split();
        tokio::select! {
            () = async { tokio::join!(self.carry(from, to, conn, true), self.carry(there, back, conn, false)); } => {}
            () = self.forgotten(began) => {}
        }
        Ok(())
    }

    /// Resolves when the relay has forgotten connections of a time.
    async fn forgotten(&self, began: u64) {
        loop {
            let changed = self.0.changed.notified();
            if self.0.restored.get() != began {
                return;
            }
            changed.await;
        }
    }

    fn note(&self, conn: Option<u64>, what: What) {
        if let (Some((record, end)), Some(conn)) = (&self.0.record, conn) {
            record.note(conn, *end, what);
        }
    }

    /// Carries bytes one way; `out`: from the end that connected.
    async fn carry(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, conn: Option<u64>, out: bool) {
        let mut bytes = vec![0; 16 << 10];
        loop {
            let read = from.read(&mut bytes).await;
            if self.0.cut.get() {
                // Neither bytes nor an end reach the other side.
                std::future::pending::<()>().await;
            }
            match read {
                Ok(n) if n > 0 => {
                    let passed = bytes[..n].to_vec();
                    self.note(conn, if out { What::Wrote(passed) } else { What::Read(passed) });
                    if to.write_all(&bytes[..n]).await.is_err() {
                        return;
                    }
                }
                _ => {
                    self.note(conn, if out { What::Closed } else { What::PeerClosed });
                    let _ = to.shutdown().await;
                    return;
                }
            }
        }
    }
}

/// Notes a connection's end, however it comes.
struct Closing<'a>(&'a Link, u64);

impl Drop for Closing<'_> {
    fn drop(&mut self) {
        self.0.note(Some(self.1), What::Closed);
    }
}

//! The way between a front and a box: a relay on loopback that can go half-open. Both ends then keep their connections,
//! and nothing passes; when it is over the relay has forgotten them, as a middlebox does, and closes both ends.

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
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let link = Link(Rc::new(Inner {
            addr: listener.local_addr()?,
            to: Cell::new(to),
            cut: Cell::new(false),
            restored: Cell::new(0),
            changed: Notify::new(),
            accepting: Cell::new(None),
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
        let beyond = TcpStream::connect(self.0.to.get()).await?;
        let _ = beyond.set_nodelay(true);
        let (from, back) = stream.into_split();
        let (there, to) = beyond.into_split();
        tokio::select! {
            () = async { tokio::join!(self.carry(from, to), self.carry(there, back)); } => {}
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

    async fn carry(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut bytes = vec![0; 16 << 10];
        loop {
            let read = from.read(&mut bytes).await;
            if self.0.cut.get() {
                // Neither bytes nor an end reach the other side.
                std::future::pending::<()>().await;
            }
            match read {
                Ok(n) if n > 0 => {
                    if to.write_all(&bytes[..n]).await.is_err() {
                        return;
                    }
                }
                _ => {
                    let _ = to.shutdown().await;
                    return;
                }
            }
        }
    }
}

//! A media server over sockets that says what a test commands, byte for byte: set-ups are read and booked as ever, and the
//! test writes the words, breaks them off, and closes or resets connections. For a `LocalSet`.

use crate::platform::{Act, MediaServer, Treat, Word};
use crate::platform_net::Scene;
use crate::server::bind;
use micadyke_http::client::read_some;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Mutex, Notify};
use tokio::task::spawn_local;

/// How often a server that serves of its own looks whether something is due.
const LOOK: Duration = Duration::from_millis(1);

/// A set-up that is open here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Open {
    /// Its session.
    pub id: u64,
    /// The connection that it came by.
    pub conn: u64,
}

/// A server under command.
pub struct Commanded {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its books.
    pub server: RefCell<MediaServer>,
    scene: Scene,
    conns: RefCell<BTreeMap<u64, Rc<Mutex<OwnedWriteHalf>>>>,
    changed: Notify,
    closing: Notify,
}

impl Commanded {
    /// Listens on any free port; it says nothing of its own until it is told to serve.
    pub async fn start(id: &str, scene: &Scene) -> std::io::Result<Rc<Self>> {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let me = Rc::new(Commanded {
            addr: listener.local_addr()?,
            server: RefCell::new(MediaServer::new(id, 0, Treat::Silent)),
            scene: scene.clone(),
            conns: RefCell::default(),
            changed: Notify::new(),
            closing: Notify::new(),
        });
        let accepting = me.clone();
        spawn_local(async move {
            let mut number = 0;
            while let Ok((stream, _)) = listener.accept().await {
                number += 1;
                spawn_local(accepting.clone().connection(number, stream));
            }
        });
        let serving = me.clone();
        spawn_local(async move {
            loop {
                tokio::time::sleep(LOOK).await;
                serving.wake().await;
            }
        });
        Ok(me)
    }

    /// From now on it serves of its own, each session for so many nanoseconds; what is open stays so.
    pub fn serves(&self, life: u64) {
        self.server.borrow_mut().usual = Treat::Serve(life);
    }

    /// From now on it says nothing of its own.
    pub fn listens(&self) {
        self.server.borrow_mut().usual = Treat::Silent;
    }

    /// The set-ups that are open here.
    pub fn open(&self) -> Vec<Open> {
        self.server.borrow().open().into_iter().map(|(id, conn)| Open { id, conn }).collect()
    }

    /// Waits until a set-up is open here.
    pub async fn reached(&self, id: u64) -> Open {
        loop {
            let changed = self.changed.notified();
            if let Some(open) = self.open().into_iter().find(|o| o.id == id) {
                return open;
            }
            changed.await;
        }
    }

    /// Whether a connection is open still.
    pub fn connected(&self, conn: u64) -> bool {
        self.conns.borrow().contains_key(&conn)
    }

    /// Waits until a connection is closed by the node.
    pub async fn closed(&self, conn: u64) {
        loop {
            let changed = self.changed.notified();
            if !self.connected(conn) {
                return;
            }
            changed.await;
        }
    }

    /// The bytes of a word.
    pub fn worded(&self, open: Open, word: Word) -> Vec<u8> {
        self.server.borrow().worded(open.id, word)
    }

    /// Writes bytes that end no word.
    pub async fn write(&self, conn: u64, bytes: &[u8]) {
        let Some(stream) = self.conns.borrow().get(&conn).cloned() else { return };
        let _ = stream.lock().await.write_all(bytes).await;
    }

    /// Writes the last bytes of a word; nothing, where the set-up is not open on that connection any more.
    pub async fn write_rest(&self, open: Open, word: Word, rest: &[u8]) {
        if !self.open().contains(&open) {
            return;
        }
        let now = self.scene.now();
        // Noted before it is written: what nobody can have read yet was not made too late.
        self.server.borrow_mut().said(now, open.id, word, &mut self.scene.record.borrow_mut());
        self.write(open.conn, rest).await;
    }

    /// Writes a whole word.
    pub async fn say(&self, open: Open, word: Word) {
        let bytes = self.worded(open, word);
        self.write_rest(open, word, &bytes).await;
    }

    /// Closes a connection: the node reads what was written, then its end.
    pub async fn finish(&self, conn: u64) {
        if let Some(stream) = self.given_up(conn) {
            let _ = stream.lock().await.shutdown().await;
        }
    }

    /// Resets a connection: what the node has not read yet may be lost.
    pub fn reset(&self, conn: u64) {
        let Some(stream) = self.given_up(conn) else { return };
        if let Ok(stream) = Rc::try_unwrap(stream) {
            let stream = stream.into_inner();
            let _ = stream.as_ref().set_zero_linger();
            // Closed with the other half, and not finished before that.
            stream.forget();
        }
    }

    /// Takes a connection out of the books before the node can see its end.
    fn given_up(&self, conn: u64) -> Option<Rc<Mutex<OwnedWriteHalf>>> {
        let stream = self.conns.borrow_mut().remove(&conn)?;
        self.server.borrow_mut().closed(self.scene.now(), conn, &mut self.scene.record.borrow_mut());
        self.closing.notify_waiters();
        self.changed.notify_waiters();
        Some(stream)
    }

    async fn wake(&self) {
        let acts = {
            let mut server = self.server.borrow_mut();
            server.wake(self.scene.now(), &mut self.scene.record.borrow_mut())
        };
        self.act(acts).await;
    }

    async fn act(&self, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Write(conn, bytes) => self.write(conn, &bytes).await,
                Act::Close(conn) => self.finish(conn).await,
            }
        }
    }

    async fn connection(self: Rc<Self>, conn: u64, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        self.conns.borrow_mut().insert(conn, Rc::new(Mutex::new(write)));
        let acts = self.server.borrow_mut().opened(conn);
        self.act(acts).await;
        self.read(conn, &read).await;
        self.given_up(conn);
    }

    async fn read(&self, conn: u64, stream: &OwnedReadHalf) {
        while self.connected(conn) {
            let closing = self.closing.notified();
            let mut bytes = Vec::new();
            tokio::select! {
                n = read_some(stream.as_ref(), |b| bytes.extend_from_slice(b)) => {
                    if !matches!(n, Ok(1..)) {
                        return;
                    }
                }
                () = closing => continue,
            }
            let now = self.scene.now();
            let acts = self.server.borrow_mut().read(now, conn, &bytes, &mut self.scene.record.borrow_mut());
            self.changed.notify_waiters();
            self.act(acts).await;
        }
    }
}

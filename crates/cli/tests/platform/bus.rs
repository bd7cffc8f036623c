//! An event bus that answers on command: each call waits until the test takes it, and its stream says what
//! the test says. For a `LocalSet`.

use micadyke_standin::platform::bus_event;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{AbortHandle, spawn_local};

/// What a stream opens with.
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n";
/// Between two comments; the platform's bus says one each second.
const COMMENTS: Duration = Duration::from_millis(500);

/// The accept queue of a bus that can be cut off, which is filled to cut it off.
const SHORT_BACKLOG: u32 = 1;
/// A connection that has not come up within this time finds the accept queue full.
const QUEUE_IS_FULL: Duration = Duration::from_millis(100);
/// Maximum connections that are tried to fill the accept queue.
const MAX_FILLERS: usize = 16;

/// The event bus. A call that the test has not taken hangs: the operating system accepted it, and nobody
/// answers.
pub struct CommandedBus {
    pub addr: SocketAddr,
    listener: TcpListener,
}

impl CommandedBus {
    pub async fn start() -> Self {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// At an address where nothing listened for a while.
    pub async fn start_at(at: SocketAddr) -> Self {
        let listener = TcpListener::bind(at).await.expect("the port is free");
        let addr = listener.local_addr().expect("an address");
        CommandedBus { addr, listener }
    }

    /// A bus that [`Self::cut_off`] can cut off.
    pub async fn start_with_short_backlog() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
        let listener = socket.listen(SHORT_BACKLOG).expect("it listens");
        let addr = listener.local_addr().expect("an address");
        CommandedBus { addr, listener }
    }

    /// Cuts the bus off as a network does: new connections never come up, because the accept queue is full. Returns the
    /// connections that fill it.
    pub async fn cut_off(&self) -> Vec<TcpStream> {
        let mut fillers = Vec::new();
        while fillers.len() < MAX_FILLERS {
            match tokio::time::timeout(QUEUE_IS_FULL, TcpStream::connect(self.addr)).await {
                Ok(filler) => fillers.push(filler.expect("it comes up")),
                Err(_) => return fillers,
            }
        }
        panic!("the accept queue could not be filled");
    }

    /// Ends a cut: the queue is empty, and new connections come up.
    pub async fn reachable_again(&self, fillers: Vec<TcpStream>) {
        for _ in &fillers {
            self.listener.accept().await.expect("a filler");
        }
    }

    /// Takes the next call, and reads what it asks for; nothing is answered yet.
    pub async fn call(&self) -> Call {
        let (stream, _) = self.listener.accept().await.expect("a call");
        stream.set_nodelay(true).expect("it is set");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            stream.readable().await.expect("it is open");
            let mut bytes = [0; 1024];
            match stream.try_read(&mut bytes) {
                Ok(0) => panic!("closed in the middle of a call"),
                Ok(n) => head.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(e) => panic!("{e}"),
            }
        }
        let head = String::from_utf8(head).expect("a head is text").to_lowercase();
        assert!(head.starts_with("get /bus/read "), "{head}");
        let last = head.lines().find_map(|line| line.strip_prefix("last-event-id:"));
        let last = last.and_then(|last| last.trim().parse().ok()).expect("a number");
        Call { last, stream: Rc::new(stream), comments: RefCell::default() }
    }

    /// Takes the next call and opens its stream.
    pub async fn stream(&self) -> Call {
        let call = self.call().await;
        call.open().await;
        call
    }
}

/// A call of the bus. It is closed when it is dropped.
pub struct Call {
    /// The number that it was asked from.
    pub last: u64,
    stream: Rc<TcpStream>,
    comments: RefCell<Option<AbortHandle>>,
}

impl Call {
    /// Opens the stream; from now on comments go by.
    pub async fn open(&self) {
        say(&self.stream, HEAD).await;
        let stream = self.stream.clone();
        let task = spawn_local(async move {
            loop {
                tokio::time::sleep(COMMENTS).await;
                say(&stream, b":\n\n").await;
            }
        });
        *self.comments.borrow_mut() = Some(task.abort_handle());
    }

    /// No comments any more; the stream stays open.
    pub fn falls_silent(&self) {
        self.comments.borrow_mut().take().into_iter().for_each(|task| task.abort());
    }

    /// Tells an event.
    pub async fn tell(&self, offset: u64, full: bool, rows: &str) {
        self.say(&bus_event(offset, full, rows)).await;
    }

    /// Says bytes; where the other end has closed, nobody hears them.
    pub async fn say(&self, bytes: &[u8]) {
        say(&self.stream, bytes).await;
    }

    /// Waits until the node has closed it.
    pub async fn closed(&self) {
        loop {
            let mut byte = [0; 64];
            if self.stream.readable().await.is_err() {
                return;
            }
            match self.stream.try_read(&mut byte) {
                Ok(1..) => {}
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                _ => return,
            }
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.falls_silent();
    }
}

async fn say(stream: &TcpStream, bytes: &[u8]) {
    let mut left = bytes;
    while !left.is_empty() {
        if stream.writable().await.is_err() {
            return;
        }
        match stream.try_write(left) {
            Ok(n) => left = &left[n..],
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

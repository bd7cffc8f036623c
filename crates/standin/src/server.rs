//! What all stand-in servers share: a port that they keep, requests one after the other, chance.

use micadyke_http::client::read_some;
use micadyke_http::{Fault, Request, RequestParser};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Binds an address; where a process that has just ended still holds the port, it is waited for, a second at most.
pub(crate) async fn bind(at: SocketAddr) -> std::io::Result<TcpListener> {
    let mut tries = 0;
    loop {
        match TcpListener::bind(at).await {
            Err(e) if tries < 50 && e.kind() == std::io::ErrorKind::AddrInUse && at.port() != 0 => {
                tries += 1;
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            done => return done,
        }
    }
}

/// The next request of a connection, or why it is refused; `None`: it was closed. `note` sees the bytes as read.
pub async fn next_request(
    stream: &TcpStream, parser: &mut RequestParser, mut note: impl FnMut(&[u8]),
) -> Option<Result<Request, Fault>> {
    loop {
        if let Some(polled) = parser.poll().transpose() {
            return Some(polled);
        }
        let read = read_some(stream, |bytes| {
            note(bytes);
            parser.feed(bytes);
        });
        if read.await.ok()? == 0 {
            return None;
        }
    }
}

/// Draws by a seed.
#[derive(Debug)]
pub(crate) struct Chance(RefCell<StdRng>);

impl Chance {
    pub(crate) fn new(seed: u64) -> Self {
        Chance(RefCell::new(StdRng::seed_from_u64(seed)))
    }

    /// A draw from [0, 1).
    pub(crate) fn draw(&self) -> f64 {
        self.0.borrow_mut().random()
    }
}

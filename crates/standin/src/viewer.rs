//! Viewers: one connection each, an offer, an answer or none, a session, its end.

use crate::record::{End, Record, What};
use micadyke_http::client::read_some;
use micadyke_http::{Limits, Method, Request, Response, ResponseParser};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Why a viewer has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Miss {
    /// No connection to the front.
    NoConnection,
    /// The connection broke.
    Reset,
    /// Its patience was over.
    Waited,
    /// The answer breaks the protocol.
    Malformed,
}

/// A viewer's connection to a front; all that passes is recorded.
pub struct Client {
    stream: TcpStream,
    parser: ResponseParser,
    record: Rc<Record>,
    conn: u64,
    end: End,
    host: String,
}

impl Client {
    /// Connects to the front of a number.
    pub async fn open(
        front: u32, addr: SocketAddr, record: &Rc<Record>, until: Instant,
    ) -> Result<Self, Miss> {
        let stream = timeout_at(until, TcpStream::connect(addr)).await;
        let stream = stream.map_err(|_| Miss::Waited)?.map_err(|_| Miss::NoConnection)?;
        let _ = stream.set_nodelay(true);
        let end = End::Viewer(front);
        let conn = record.open(end);
        let parser = ResponseParser::new(Limits { body: 1 << 20, ..Limits::default() });
        Ok(Client { stream, parser, record: record.clone(), conn, end, host: addr.to_string() })
    }

    /// Writes bytes as they are.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), Miss> {
        self.record.note(self.conn, self.end, What::Wrote(bytes.to_vec()));
        self.stream.write_all(bytes).await.map_err(|_| Miss::Reset)
    }

    /// The next answer.
    pub async fn read(&mut self, until: Instant) -> Result<Response, Miss> {
        loop {
            if let Some(r) = self.parser.poll().map_err(|_| Miss::Malformed)? {
                return Ok(r);
            }
            let note = |bytes: &[u8]| {
                self.record.note(self.conn, self.end, What::Read(bytes.to_vec()));
                self.parser.feed(bytes);
            };
            match timeout_at(until, read_some(&self.stream, note)).await {
                Err(_) => return Err(Miss::Waited),
                Ok(Ok(n)) if n > 0 => {}
                Ok(_) => {
                    self.record.note(self.conn, self.end, What::PeerClosed);
                    return self.parser.close().ok_or(Miss::Reset);
                }
            }
        }
    }

    /// Sends a request and reads its answer.
    pub async fn call(&mut self, request: &Request, until: Instant) -> Result<Response, Miss> {
        let bytes = request.encode(&self.host);
        self.write(&bytes).await?;
        self.read(until).await
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.record.note(self.conn, self.end, What::Closed);
    }
}

/// What a viewer asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct Wish {
    /// The endpoint's path.
    pub path: String,
    /// The offer.
    pub offer: String,
    /// It waits so long for an answer.
    pub patience: Duration,
    /// A bearer token, if one is due.
    pub bearer: Option<String>,
}

/// A session that plays.
#[derive(Debug, Clone, PartialEq)]
pub struct Session {
    /// Its resource at the front.
    pub location: String,
    /// Its entity tag.
    pub etag: Option<String>,
    /// The answer.
    pub answer: String,
}

/// What became of a wish.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// It plays.
    Plays(Session),
    /// Refused; to come back after so long.
    Refused(Option<Duration>),
    /// Another answer.
    Failed(u16),
    /// No answer.
    Missed(Miss),
}

/// Asks a front for a session.
pub async fn ask(
    front: u32, addr: SocketAddr, wish: &Wish, record: &Rc<Record>,
) -> (Outcome, Option<Client>) {
    let until = Instant::now() + wish.patience;
    let mut client = match Client::open(front, addr, record, until).await {
        Ok(client) => client,
        Err(miss) => return (Outcome::Missed(miss), None),
    };
    let mut request =
        Request::new(Method::Post, &wish.path).content("application/sdp", wish.offer.as_bytes());
    if let Some(token) = &wish.bearer {
        request = request.with("authorization", format!("Bearer {token}"));
    }
    let outcome = match client.call(&request, until).await {
        Err(miss) => Outcome::Missed(miss),
        Ok(r) => match (r.status, r.headers.get("location")) {
            (201, Some(location)) => Outcome::Plays(Session {
                location: location.into(),
                etag: r.headers.get("etag").map(str::to_owned),
                answer: String::from_utf8_lossy(&r.body).into_owned(),
            }),
            (503, _) => {
                let wait = r.headers.get("retry-after").and_then(|v| v.parse().ok());
                Outcome::Refused(wait.map(Duration::from_secs))
            }
            (status, _) => Outcome::Failed(status),
        },
    };
    (outcome, Some(client))
}

/// Ends a session, on the connection at hand or a new one; the status, if an answer came.
pub async fn end(front: u32, addr: SocketAddr, location: &str, record: &Rc<Record>) -> Option<u16> {
    let until = Instant::now() + Duration::from_secs(2);
    let mut client = Client::open(front, addr, record, until).await.ok()?;
    client.call(&Request::new(Method::Delete, location), until).await.ok().map(|r| r.status)
}

//! A thin tokio client: one connection with one request in flight at a time.

use crate::message::{Method, Request, Response};
use crate::parse::{Fault, Limits, ResponseParser};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be established; nothing was sent.
    NoConnection,
    /// The connection was closed before the complete response; the peer may have executed the request.
    Reset,
    /// The response violates the protocol or a limit.
    Malformed(Fault),
}

/// A connection to a server.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    parser: ResponseParser,
    host: String,
}

impl Connection {
    /// Connects within `timeout`.
    pub async fn open(addr: SocketAddr, timeout: Duration, limits: Limits) -> Result<Self, CallError> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(addr)).await;
        let stream = stream.map_err(|_| CallError::NoConnection)?.map_err(|_| CallError::NoConnection)?;
        let _ = stream.set_nodelay(true);
        Ok(Connection { stream, parser: ResponseParser::new(limits), host: addr.to_string() })
    }

    /// Whether the connection is open and idle, so that another request may be sent on it.
    pub fn reusable(&self) -> bool {
        let mut byte = [0u8; 1];
        let quiet =
            matches!(self.stream.try_read(&mut byte), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
        quiet && self.parser.idle()
    }

    /// Sends a request and reads its response. The connection can't be used after an error or a response without keep-alive.
    pub async fn call(&mut self, request: &Request) -> Result<Response, CallError> {
        self.parser.expect(request.method == Method::Head, false);
        self.write(request).await?;
        self.answer().await
    }

    async fn write(&mut self, request: &Request) -> Result<(), CallError> {
        let bytes = request.encode(&self.host);
        self.stream.write_all(&bytes).await.map_err(|_| CallError::Reset)
    }

    async fn answer(&mut self) -> Result<Response, CallError> {
        loop {
            if let Some(response) = self.parser.poll().map_err(CallError::Malformed)? {
                return Ok(response);
            }
            match read_some(&self.stream, |b| self.parser.feed(b)).await {
                Ok(0) | Err(_) => return self.parser.close().ok_or(CallError::Reset),
                Ok(_) => {}
            }
        }
    }

    /// Sends a request whose response is a stream and returns the head. The content is returned by [`Self::chunk`].
    pub async fn open_stream(&mut self, request: &Request) -> Result<Response, CallError> {
        self.parser.expect(false, true);
        self.write(request).await?;
        self.answer().await
    }

    /// The next part of a stream's content; `None` at its end.
    pub async fn chunk(&mut self) -> Result<Option<Vec<u8>>, CallError> {
        loop {
            let (bytes, done) = self.parser.stream().map_err(CallError::Malformed)?;
            if !bytes.is_empty() {
                return Ok(Some(bytes));
            }
            if done {
                return Ok(None);
            }
            match read_some(&self.stream, |b| self.parser.feed(b)).await {
                // Content with an explicit end that was not reached is incomplete (RFC 9112 section 8).
                Ok(0) if self.parser.stream_is_framed() => return Err(CallError::Reset),
                Ok(0) => return Ok(None),
                Err(_) => return Err(CallError::Reset),
                Ok(_) => {}
            }
        }
    }
}

/// Waits for bytes on a connection, passes them to `take` and returns their number; 0 means that the connection was closed.
/// The buffer is on the stack during the read only, so a waiting connection has none.
pub async fn read_some(stream: &TcpStream, take: impl FnMut(&[u8])) -> std::io::Result<usize> {
    read_some_noting_close(stream, || {}, take).await
}

/// The same, and calls `closed` before each read at which the peer is known to have closed its side: what is read then was
/// sent before.
pub async fn read_some_noting_close(
    stream: &TcpStream, mut closed: impl FnMut(), mut take: impl FnMut(&[u8]),
) -> std::io::Result<usize> {
    loop {
        if stream.ready(Interest::READABLE).await?.is_read_closed() {
            closed();
        }
        let mut buffer = [0u8; 8192];
        match stream.try_read(&mut buffer) {
            Ok(n) => {
                take(&buffer[..n]);
                return Ok(n);
            }
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
}

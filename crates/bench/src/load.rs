//! Load: closed loops for the highest rate, an open loop for times.

use crate::peers::request;
use hdrhistogram::Histogram;
use micadyke_http::client::read_some;
use micadyke_http::{Limits, Method, Request, Response, ResponseParser};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

type Failure = Box<dyn std::error::Error>;

/// What is asked over and over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// An offer, and the session's end.
    Session,
    /// A play's first manifest, and its end.
    Play,
    /// A segment of a play.
    Segment,
}

struct Client {
    stream: TcpStream,
    parser: ResponseParser,
    /// Path of the play whose segments it asks for.
    play: Option<String>,
}

impl Client {
    async fn open(addr: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        Ok(Client { stream, parser: ResponseParser::new(Limits::default()), play: None })
    }

    async fn call(&mut self, bytes: &[u8]) -> std::io::Result<Response> {
        self.stream.write_all(bytes).await?;
        let bad = || std::io::Error::from(std::io::ErrorKind::InvalidData);
        loop {
            if let Some(r) = self.parser.poll().map_err(|_| bad())? {
                return Ok(r);
            }
            if read_some(&self.stream, |b| self.parser.feed(b)).await? == 0 {
                return Err(bad());
            }
        }
    }

    /// One piece of work; the time of its answer.
    async fn work(&mut self, work: Work, n: u64) -> std::io::Result<Instant> {
        match work {
            Work::Session => self.session(n).await,
            Work::Play => {
                let (base, at) = self.manifest(n).await?;
                self.call(&Request::new(Method::Delete, base).encode("h")).await?;
                Ok(at)
            }
            Work::Segment => {
                let base = match self.play.take() {
                    Some(base) => base,
                    None => self.manifest(n).await?.0,
                };
                let request = Request::new(Method::Get, format!("{base}/0/{}.m4s", n % 600))
                    .with("cmcd-object", "br=8,d=4000,ot=v,tb=16")
                    .with("cmcd-request", "bl=12000,mtp=48000")
                    .with("cmcd-session", format!("sid=\"s{n}\",v=2"));
                let led = self.call(&request.encode("h")).await?;
                if led.status != 307 {
                    return Err(std::io::Error::other(format!("answered {}", led.status)));
                }
                self.play = Some(base);
                Ok(Instant::now())
            }
        }
    }

    /// A play's first manifest: the play's path, and the time of the answer.
    async fn manifest(&mut self, n: u64) -> std::io::Result<(String, Instant)> {
        let request = Request::new(Method::Get, "/watch/demo/index.m3u8")
            .with("cmcd-object", "ot=m,tb=16")
            .with("cmcd-request", "su")
            .with("cmcd-session", format!("sid=\"s{n}\",v=2"));
        let answer = self.call(&request.encode("h")).await?;
        let at = Instant::now();
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let base = text.find("/session/").and_then(|i| text.get(i..i + 41));
        let bad = || std::io::Error::other(format!("answered {}", answer.status));
        Ok((base.ok_or_else(bad)?.to_owned(), at))
    }

    /// A set-up and its end; the time of the set-up's answer.
    async fn session(&mut self, n: u64) -> std::io::Result<Instant> {
        let created = self.call(&request(n)).await?;
        let at = Instant::now();
        let location = created.headers.get("location").filter(|_| created.status == 201);
        let Some(location) = location else {
            return Err(std::io::Error::other(format!("answered {}", created.status)));
        };
        let end = Request::new(Method::Delete, location).encode("h");
        self.call(&end).await?;
        Ok(at)
    }
}

fn run<T>(future: impl Future<Output = Result<T, Failure>>) -> Result<T, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, future)
}

/// Set-ups a second that `connections` closed loops reach, each ending its session before the next.
pub fn closed(addr: SocketAddr, connections: usize, time: Duration) -> Result<f64, Failure> {
    closed_of(Work::Session, addr, connections, time)
}

/// Pieces of work a second that `connections` closed loops reach.
pub fn closed_of(work: Work, addr: SocketAddr, connections: usize, time: Duration) -> Result<f64, Failure> {
    let half = |from: usize, n: usize| {
        run(async move {
            let (done, until) = (Rc::new(Cell::new(0u64)), Instant::now() + time);
            let mut loops = Vec::new();
            for c in from..from + n {
                let done = done.clone();
                loops.push(spawn_local(async move {
                    let mut client = Client::open(addr).await?;
                    let mut k = c as u64 * 10_000_000;
                    while Instant::now() < until {
                        k += 1;
                        client.work(work, k).await?;
                        done.set(done.get() + 1);
                    }
                    Ok::<_, std::io::Error>(())
                }));
            }
            for l in loops {
                l.await??;
            }
            Ok(done.get() as f64 / time.as_secs_f64())
        })
        .map_err(|e| e.to_string())
    };
    let n = connections / 2;
    let (a, b) = std::thread::scope(|s| {
        let a = s.spawn(|| half(0, n));
        let b = s.spawn(|| half(n, connections - n));
        (a.join(), b.join())
    });
    Ok(a.map_err(|_| "a load thread broke down")?? + b.map_err(|_| "a load thread broke down")??)
}

/// Times of set-ups, in ms, at p50, p99 and p99.9, from the intended send, at a fixed rate of arrivals.
pub fn open(addr: SocketAddr, rate: f64, time: Duration) -> Result<[f64; 3], Failure> {
    open_of(Work::Session, addr, rate, time)
}

/// The same of another piece of work.
pub fn open_of(work: Work, addr: SocketAddr, rate: f64, time: Duration) -> Result<[f64; 3], Failure> {
    run(async move {
        let times = Rc::new(RefCell::new(Histogram::<u64>::new_with_bounds(1, 60_000_000, 3)?));
        let idle: Rc<RefCell<VecDeque<Client>>> = Rc::default();
        for _ in 0..64 {
            let client = Client::open(addr).await?;
            idle.borrow_mut().push_back(client);
        }
        let (start, total) = (Instant::now(), (rate * time.as_secs_f64()) as u64);
        let failed = Rc::new(Cell::new(0u64));
        let mut calls = Vec::with_capacity(total as usize);
        for n in 0..total {
            let due = start + Duration::from_secs_f64(n as f64 / rate);
            // Sleeps are a millisecond coarse; what is left is waited for by giving the others their turn.
            let early = due.saturating_duration_since(Instant::now());
            if early > Duration::from_millis(2) {
                tokio::time::sleep(early - Duration::from_millis(2)).await;
            }
            while Instant::now() < due {
                tokio::task::yield_now().await;
            }
            let (idle, times, failed) = (idle.clone(), times.clone(), failed.clone());
            calls.push(spawn_local(async move {
                let kept = idle.borrow_mut().pop_front();
                let client = match kept {
                    Some(c) => Ok(c),
                    None => Client::open(addr).await,
                };
                let Ok(mut client) = client else { return failed.set(failed.get() + 1) };
                match client.work(work, n).await {
                    Ok(at) => {
                        let _ = times.borrow_mut().record(at.duration_since(due).as_nanos() as u64 / 1000);
                        idle.borrow_mut().push_back(client);
                    }
                    Err(_) => failed.set(failed.get() + 1),
                }
            }));
        }
        for c in calls {
            c.await?;
        }
        if failed.get() > 0 {
            return Err(format!("{} set-ups failed", failed.get()).into());
        }
        let at = |q| times.borrow().value_at_quantile(q) as f64 / 1000.0;
        Ok([at(0.5), at(0.99), at(0.999)])
    })
}

/// Sets sessions up and leaves them playing; their resources. The connections are closed.
pub fn hold(addr: SocketAddr, sessions: usize) -> Result<Vec<String>, Failure> {
    run(async move {
        let mut all = Vec::with_capacity(sessions);
        for chunk in 0..sessions.div_ceil(50) {
            let mut client = Client::open(addr).await?;
            for n in 0..50.min(sessions - chunk * 50) {
                let created = client.call(&request((chunk * 50 + n) as u64)).await?;
                match created.headers.get("location").filter(|_| created.status == 201) {
                    Some(location) => all.push(location.to_owned()),
                    None => return Err(format!("answered {}", created.status).into()),
                }
            }
        }
        Ok(all)
    })
}

/// Ends sessions, one after the other; how many the front knew.
pub fn end_all(addr: SocketAddr, all: &[String]) -> Result<usize, Failure> {
    run(async move {
        let (mut client, mut ended) = (Client::open(addr).await?, 0);
        for location in all {
            let answer = client.call(&Request::new(Method::Delete, location).encode("h")).await?;
            ended += usize::from(answer.status == 200);
            if answer.status != 200 {
                eprintln!("{} for {location}", answer.status);
            }
        }
        Ok(ended)
    })
}

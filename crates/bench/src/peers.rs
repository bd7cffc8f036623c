//! What is measured: a box as lean as it can be, the front, and the same proxying written plainly on hyper.

use crate::SETTINGS;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use micadyke_config::read_config;
use micadyke_front::Front;
use micadyke_front::list::WatchedFile;
use micadyke_front::shell::{Extras, Recovers, serve};
use micadyke_http::client::read_some;
use micadyke_http::fields::Link;
use micadyke_http::{Limits, Method, Request, RequestParser, Response};
use micadyke_recovery::writer::StoreWriter;
use micadyke_standin::offers::offer;
use micadyke_standin::server::next_request;
use micadyke_tokens::bound::{Guard, SharedKey};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::sync::{Arc, Mutex, mpsc};
use std::time::Instant;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

/// Any port of this machine.
pub const ANYWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// The secret that fronts and boxes share.
const SECRET: &[u8] = b"a secret for measurements, 32 bytes and more";

/// Something that serves, on a thread of its own.
pub struct Peer {
    pub addr: SocketAddr,
    pub thread: std::thread::JoinHandle<()>,
    task: u32,
    last: Arc<Mutex<Option<Instant>>>,
}

impl Peer {
    /// Seconds that its thread has run on a core: what noisy neighbours of the machine change least.
    pub fn ran(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/self/task/{}/schedstat", self.task));
        let nanos = stat.ok().and_then(|s| s.split(' ').next()?.parse::<f64>().ok());
        nanos.unwrap_or(0.0) / 1e9
    }

    /// When the last set-up reached it.
    pub fn last_set_up(&self) -> Option<Instant> {
        self.last.lock().map_or(None, |l| *l)
    }
}

fn start<F, R>(name: &str, serve: F) -> Peer
where
    F: FnOnce(TcpListener, Arc<Mutex<Option<Instant>>>) -> R + Send + 'static,
    R: Future<Output = ()>,
{
    start_at(name, ANYWHERE, serve)
}

fn start_at<F, R>(name: &str, at: SocketAddr, serve: F) -> Peer
where
    F: FnOnce(TcpListener, Arc<Mutex<Option<Instant>>>) -> R + Send + 'static,
    R: Future<Output = ()>,
{
    let (tell, told) = mpsc::channel();
    let last = Arc::new(Mutex::new(None));
    let shared = last.clone();
    let thread = std::thread::Builder::new().name(name.into()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async move {
            let listener = TcpListener::bind(at).await.expect("a listener");
            let stat = std::fs::read_to_string("/proc/thread-self/stat").unwrap_or_default();
            let task = stat.split(' ').next().and_then(|t| t.parse().ok()).unwrap_or(0);
            tell.send((listener.local_addr().expect("an address"), task)).expect("it is awaited");
            serve(listener, shared).await;
        });
    });
    let thread = thread.expect("a thread");
    let (addr, task) = told.recv().expect("it starts");
    Peer { addr, thread, task, last }
}

/// A box that answers at once with what was made beforehand; `extensions`: with layers and event streams.
pub fn lean_box(extensions: bool) -> Peer {
    start("box", move |listener, last| async move {
        let text = offer(false, 1, 1, None);
        let offered = micadyke_sdp_answer(&text);
        let next = Rc::new(Cell::new(0u64));
        let key = SharedKey::new("k", SECRET).expect("a secret");
        let guard = Rc::new((Instant::now(), RefCell::new(Guard::new("1", vec![key]))));
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            let (answer, next, last, guard) = (offered.clone(), next.clone(), last.clone(), guard.clone());
            spawn_local(async move {
                let _ = lean(stream, &answer, &next, &last, &guard, extensions).await;
            });
        }
    })
}

fn micadyke_sdp_answer(text: &str) -> Rc<str> {
    // As a stand-in box answers; the same for every session, since every offer has the same shape.
    let lines = text.lines().filter(|l| !l.starts_with("a=recvonly") && !l.starts_with("a=setup"));
    let answer: String = lines.map(|l| format!("{l}\r\n")).collect();
    answer.replace("a=rtcp-mux\r\n", "a=rtcp-mux\r\na=sendonly\r\na=setup:passive\r\n").into()
}

/// A list as boxes have it.
const LIST: &str = "#EXTM3U\n#EXT-X-VERSION:7\n#EXT-X-STREAM-INF:BANDWIDTH=8000\n0/index.m3u8\n\
    #EXT-X-STREAM-INF:BANDWIDTH=16000\n1/index.m3u8\n";

async fn lean(
    mut stream: TcpStream, answer: &str, next: &Cell<u64>, last: &Mutex<Option<Instant>>,
    (start, guard): &(Instant, RefCell<Guard>), extensions: bool,
) -> std::io::Result<()> {
    let mut parser = RequestParser::new(Limits::default());
    loop {
        let Some(Ok(r)) = next_request(&stream, &mut parser, |_| {}).await else { return Ok(()) };
        let path = r.path();
        let now = start.elapsed().as_millis() as u64;
        let token = r.headers.get("authorization").and_then(|a| a.strip_prefix("Bearer "));
        let json = |told| {
            Response::new(200).content("application/json", serde_json::to_vec(&told).unwrap_or_default())
        };
        if let Some(Err(why)) = token.map(|t| guard.borrow().admit(now, t, "demo")) {
            panic!("a token is turned away: {why:?}");
        }
        let response = match r.method {
            Method::Get if path.ends_with(".m3u8") => {
                Response::new(200).content("application/vnd.apple.mpegurl", LIST)
            }
            Method::Get if path.ends_with(".m4s") => Response::new(307).with("location", "http://h/x"),
            Method::Post if path == "/cmcd" => Response::new(204),
            Method::Get if path == "/leases" => json(guard.borrow().tell(now, Vec::new())),
            Method::Post if path == "/leases" => {
                let renewed = guard.borrow_mut().renew(now, &String::from_utf8_lossy(&r.body));
                renewed.map_or_else(|_| Response::new(401), json)
            }
            Method::Post if path.starts_with("/whep/") => {
                if let Ok(mut l) = last.lock() {
                    *l = Some(Instant::now());
                }
                next.set(next.get() + 1);
                let n = next.get();
                let mut response =
                    Response::new(201).with("location", format!("/s/{n}")).with("etag", "\"1\"");
                if extensions {
                    let layer = Link::new(format!("/s/{n}/layer"), "urn:ietf:params:whep:ext:core:layer");
                    let events = Link::new(
                        format!("/s/{n}/events"),
                        "urn:ietf:params:whep:ext:core:server-sent-events",
                    );
                    response = response.with("link", layer.encode()).with("link", events.encode());
                }
                response.content("application/sdp", answer)
            }
            Method::Post if path.ends_with("/events") => {
                Response::new(201).with("location", format!("{path}/1"))
            }
            Method::Get => {
                let head = Response::new(200).with("content-type", "text/event-stream");
                stream.write_all(&head.encode_chunked()).await?;
                while read_some(&stream, |_| {}).await? > 0 {}
                return Ok(());
            }
            _ => Response::new(200),
        };
        stream.write_all(&response.encode(false)).await?;
    }
}

/// A stand-in issuer with more seats than anybody wants.
pub fn issuer() -> Peer {
    start("issuer", move |listener, _| async move {
        // The issuer binds a socket of its own: the port is passed over.
        let addr = listener.local_addr().expect("an address");
        drop(listener);
        let terms = micadyke_tokens::ledger::Terms {
            ttl: 30_000_000_000,
            seats: [("play".into(), 10_000_000)].into(),
            most_holders: 100,
            most_leases: 10_000_000,
        };
        let issuer = micadyke_standin::issuer::Issuer::new(terms, 1.0, 1);
        issuer.open(addr).await.expect("a listener");
        std::future::pending::<()>().await;
    })
}

/// The front, by the list in a folder, and by the settings there if there are any.
pub fn our_front(folder: &Path) -> Peer {
    our_front_at(folder, ANYWHERE, None)
}

/// The same, at an address and with a store.
pub fn our_front_at(folder: &Path, listen: SocketAddr, store: Option<&Path>) -> Peer {
    let own = std::fs::read_to_string(folder.join("settings.sexp"));
    front_at(folder, own.as_deref().unwrap_or(SETTINGS), listen, store)
}

/// The front with settings, by the list in a folder; with an issuer its log of seats lies there too.
pub fn front_with(folder: &Path, settings: &str) -> Peer {
    front_keeping(folder, settings, None)
}

/// The same; with `store` it keeps its book of sessions there.
pub fn front_keeping(folder: &Path, settings: &str, store: Option<&Path>) -> Peer {
    front_at(folder, settings, ANYWHERE, store)
}

fn front_at(folder: &Path, settings: &str, listen: SocketAddr, store: Option<&Path>) -> Peer {
    let store = store.map(Path::to_owned);
    let list = folder.join("boxes.sexp");
    let (log, settings) = (folder.join("seats.log"), settings.to_owned());
    start_at("front", listen, move |listener, _| async move {
        let config = Rc::new(read_config(&settings, "settings").unwrap_or_else(|e| panic!("{e:?}")));
        let seats = config.issuer.as_ref().map(|_| {
            let opened = micadyke_front::keeping::open(&log).expect("a store");
            (opened.seats, Rc::new(StoreWriter::start(opened.store)))
        });
        let bound = SharedKey::new("k", SECRET);
        let recovers = store.map(|file| {
            let opened = micadyke_front::keeping::open(&file).expect("a store");
            let keeper = Rc::new(StoreWriter::start(opened.store));
            Recovers { kept: opened.kept, start: 1, keeper, fleet: None }
        });
        let extras = Extras { seats, recovers, bound, ..Extras::default() };
        let source = Box::new(WatchedFile::new(list, config.clone()));
        let made = config.clone();
        let front = move |now| Front::new(made, rand::random(), now).expect("sound settings");
        serve(listener, front, config, source, extras, std::future::pending()).await;
    })
}

struct Proxy {
    to: SocketAddr,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
    sessions: RefCell<HashMap<u64, String>>,
    next: Cell<u64>,
}

impl Proxy {
    async fn call(&self, request: hyper::Request<Full<Bytes>>) -> Option<hyper::Response<Bytes>> {
        let kept = loop {
            match self.idle.borrow_mut().pop() {
                Some(s) if !s.is_ready() => {}
                other => break other,
            }
        };
        let mut sender = match kept {
            Some(s) => s,
            None => {
                let stream = TcpStream::connect(self.to).await.ok()?;
                let _ = stream.set_nodelay(true);
                let (sender, connection) =
                    hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
                spawn_local(connection);
                sender
            }
        };
        let (parts, body) = sender.send_request(request).await.ok()?.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        self.idle.borrow_mut().push(sender);
        Some(hyper::Response::from_parts(parts, body))
    }

    async fn serve(self: Rc<Self>, request: hyper::Request<Incoming>) -> hyper::Response<Full<Bytes>> {
        let bad = |status: u16| {
            hyper::Response::builder().status(status).body(Full::default()).expect("a response")
        };
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else { return bad(400) };
        let body = body.to_bytes();
        let host = self.to.to_string();
        if parts.method == hyper::Method::POST {
            let out = hyper::Request::post(parts.uri.path())
                .header("host", host)
                .header("via", "1.1 hyper")
                .header("content-type", "application/sdp")
                .body(Full::new(body));
            let Some(answer) = self.call(out.expect("a request")).await else { return bad(502) };
            let location =
                answer.headers().get("location").and_then(|l| l.to_str().ok()).unwrap_or("").to_owned();
            let etag = answer.headers().get("etag").cloned();
            self.next.set(self.next.get() + 1);
            let n = self.next.get();
            self.sessions.borrow_mut().insert(n, location);
            let mut out = hyper::Response::builder()
                .status(answer.status())
                .header("location", format!("/session/{n:032x}"))
                .header("content-type", "application/sdp");
            if let Some(tag) = etag {
                out = out.header("etag", tag);
            }
            return out.body(Full::new(answer.into_body())).expect("a response");
        }
        if parts.method == hyper::Method::GET {
            return self.media(parts.uri.path(), &host).await;
        }
        let n = parts.uri.path().rsplit('/').next().and_then(|n| u64::from_str_radix(n, 16).ok());
        let Some(path) = n.and_then(|n: u64| self.sessions.borrow_mut().remove(&n)) else { return bad(404) };
        let out = hyper::Request::delete(path).header("host", host).body(Full::default());
        spawn_local(async move {
            let _ = self.call(out.expect("a request")).await;
        });
        bad(200)
    }
}

impl Proxy {
    /// A list, with its references led back by replacing text, or the way to a segment.
    async fn media(&self, path: &str, host: &str) -> hyper::Response<Full<Bytes>> {
        let out = hyper::Response::builder().header("cache-control", "no-store");
        if let Some(file) = path.strip_prefix("/watch/demo/") {
            let asked = hyper::Request::get(format!("/media/demo/{file}")).header("host", host);
            let asked = asked.header("via", "1.1 hyper").body(Full::default()).expect("a request");
            let Some(answer) = self.call(asked).await else {
                return out.status(502).body(Full::default()).expect("a response");
            };
            self.next.set(self.next.get() + 1);
            let n = self.next.get();
            self.sessions.borrow_mut().insert(n, "/cmcd".into());
            let text = String::from_utf8_lossy(answer.body());
            let lead = |l: &str| {
                if l.starts_with('#') { format!("{l}\n") } else { format!("/session/{n:032x}/{l}\n") }
            };
            let text: String = text.lines().map(lead).collect();
            let out = out.header("content-type", "application/vnd.apple.mpegurl");
            return out.body(Full::new(text.into())).expect("a response");
        }
        let file = path.get(42..).unwrap_or_default();
        let known = path.get(9..41).and_then(|n| u64::from_str_radix(n, 16).ok());
        let known = known.is_some_and(|n| self.sessions.borrow().contains_key(&n));
        let out = out.status(if known { 307 } else { 404 });
        out.header("location", format!("http://{host}/media/demo/{file}"))
            .body(Full::default())
            .expect("a response")
    }
}

/// The same proxying written plainly on hyper: no checks of the offer, no module, no books beyond a map.
pub fn plain_hyper(to: SocketAddr) -> Peer {
    start("hyper", move |listener, _| async move {
        let (idle, sessions, next) = (RefCell::default(), RefCell::default(), Cell::new(0));
        let proxy = Rc::new(Proxy { to, idle, sessions, next });
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            let proxy = proxy.clone();
            spawn_local(async move {
                let service = service_fn(move |r| {
                    let proxy = proxy.clone();
                    async move { Ok::<_, std::convert::Infallible>(proxy.serve(r).await) }
                });
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    })
}

/// A request as the load sends it.
pub fn request(n: u64) -> Vec<u8> {
    Request::new(Method::Post, "/whep/demo").content("application/sdp", offer(false, n, n, None)).encode("h")
}

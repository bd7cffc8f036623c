//! A stand-in issuer of seats: the ledger of `micadyke-tokens` behind HTTP, with troubles on demand.
//!
//! `POST /seats` takes a holder's message as JSON and answers with the ledger's reply. The `Idempotency-Key` field
//! repeats what the message's own numbers say.

use crate::server::{Chance, bind, next_request};
use micadyke_http::{Limits, Method, Request, RequestParser, Response};
use micadyke_recovery::store::{Opened, StoreError};
use micadyke_recovery::writer::StoreWriter;
use micadyke_tokens::ledger::{Ledger, Terms};
use micadyke_tokens::message::{self, Key};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};

/// What goes wrong at the issuer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Trouble {
    /// Part of the messages that are lost before they are taken.
    pub lose_messages: f64,
    /// Part of the answers that are lost after they were given.
    pub lose_answers: f64,
    /// Part of the messages that are taken twice, the second time later.
    pub double: f64,
    /// Answers come so much later, each by a different part of it: so they overtake each other.
    pub delay: Duration,
    /// It stands still: what comes is taken up when it goes on.
    pub frozen: bool,
}

/// The issuer. Clones share it.
#[derive(Clone)]
pub struct Issuer(Rc<Inner>);

struct Inner {
    terms: Terms,
    ledger: RefCell<Ledger>,
    trouble: RefCell<Trouble>,
    start: Instant,
    /// Its clock runs this much faster than true time.
    rate: f64,
    addr: Cell<Option<SocketAddr>>,
    tasks: RefCell<Vec<AbortHandle>>,
    chance: Chance,
    /// Where its books are kept, if they are.
    keeper: Option<StoreWriter>,
}

/// What an issuer allows for its own clock, as a share: it is waited for so much longer after a start.
const DRIFT: f64 = 0.01;

impl Issuer {
    /// An issuer whose clock runs at a rate of true time.
    pub fn new(terms: Terms, rate: f64, seed: u64) -> Self {
        let ledger = Ledger::new(terms.clone(), 0);
        Self::with(terms, ledger, None, rate, seed)
    }

    /// An issuer that keeps its books in a store, and goes on by what was kept.
    ///
    /// # Errors
    ///
    /// Where the disk does not take how long its leases live: nothing may be granted by it then.
    pub fn keeping(terms: Terms, rate: f64, seed: u64, opened: Opened) -> Result<Self, StoreError> {
        let mut ledger = Ledger::kept(terms.clone(), &opened.state, 0, DRIFT);
        let keeper = StoreWriter::start(opened.store);
        keeper.save_and_sync(ledger.changes())?;
        Ok(Self::with(terms, ledger, Some(keeper), rate, seed))
    }

    fn with(terms: Terms, ledger: Ledger, keeper: Option<StoreWriter>, rate: f64, seed: u64) -> Self {
        let ledger = RefCell::new(ledger);
        Issuer(Rc::new(Inner {
            keeper,
            terms,
            ledger,
            trouble: RefCell::default(),
            start: Instant::now(),
            rate,
            addr: Cell::new(None),
            tasks: RefCell::default(),
            chance: Chance::new(seed),
        }))
    }

    fn now(&self) -> u64 {
        (self.0.start.elapsed().as_nanos() as f64 * self.0.rate) as u64
    }

    /// Changes what goes wrong.
    pub fn trouble(&self, with: impl FnOnce(&mut Trouble)) {
        with(&mut self.0.trouble.borrow_mut());
    }

    /// Seats in use, by its books.
    pub fn in_use(&self, key: &Key) -> u32 {
        let now = self.now();
        let mut ledger = self.0.ledger.borrow_mut();
        ledger.tick(now);
        ledger.in_use(key)
    }

    /// Opens its socket, at the port it had before if it ran before.
    pub async fn open(&self, at: SocketAddr) -> std::io::Result<SocketAddr> {
        let at = self.0.addr.get().unwrap_or(at);
        let listener = bind(at).await?;
        let addr = listener.local_addr()?;
        self.0.addr.set(Some(addr));
        let this = self.clone();
        let task = spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let _ = stream.set_nodelay(true);
                let task = spawn_local(this.clone().connection(stream)).abort_handle();
                let mut tasks = this.0.tasks.borrow_mut();
                tasks.retain(|t| !t.is_finished());
                tasks.push(task);
            }
        });
        self.0.tasks.borrow_mut().push(task.abort_handle());
        Ok(addr)
    }

    /// Ends its process; with its books, or without them.
    pub fn kill(&self, books_lost: bool) {
        self.0.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
        if books_lost {
            *self.0.ledger.borrow_mut() = Ledger::recovering(self.0.terms.clone(), self.now(), DRIFT);
        }
    }

    async fn connection(self, mut stream: TcpStream) -> Option<()> {
        let mut parser = RequestParser::new(Limits { body: 4 << 20, ..Limits::default() });
        loop {
            let request = match next_request(&stream, &mut parser, |_| {}).await? {
                Ok(request) => request,
                Err(f) => {
                    let bytes = Response::problem(f.status, f.what).encode(false);
                    return stream.write_all(&bytes).await.ok();
                }
            };
            while self.0.trouble.borrow().frozen {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            let t = self.0.trouble.borrow().clone();
            if self.0.chance.draw() < t.lose_messages {
                return None;
            }
            let response = self.answer(&request);
            if self.0.chance.draw() < t.double {
                let (this, again, late) =
                    (self.clone(), request.clone(), t.delay.mul_f64(self.0.chance.draw()));
                spawn_local(async move {
                    tokio::time::sleep(late + Duration::from_millis(20)).await;
                    this.answer(&again);
                });
            }
            if !t.delay.is_zero() {
                tokio::time::sleep(t.delay.mul_f64(self.0.chance.draw())).await;
            }
            if self.0.chance.draw() < t.lose_answers {
                return None;
            }
            stream.write_all(&response.encode(false)).await.ok()?;
        }
    }

    fn answer(&self, request: &Request) -> Response {
        if request.path() != "/seats" {
            return Response::problem(404, "no such resource");
        }
        if request.method != Method::Post {
            return Response::problem(405, "POST is due").with("allow", "POST");
        }
        let message: message::Request = match serde_json::from_slice(&request.body) {
            Ok(m) => m,
            Err(e) => return Response::problem(400, &format!("no message of a holder: {e}")),
        };
        let reply = {
            let mut ledger = self.0.ledger.borrow_mut();
            let reply = ledger.handle(self.now(), &message);
            if let Some(keeper) = &self.0.keeper {
                keeper.save_all(ledger.changes());
            }
            reply
        };
        let body = serde_json::to_vec(&reply).unwrap_or_default();
        Response::new(200).content("application/json", body)
    }
}

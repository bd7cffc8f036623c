//! The thin layer over sockets: connections as [`crate::asking`] wants them.

use crate::asking::{Asking, Input, Output};
use crate::retry::Rule;
use crate::whep::{self, Session};
use crate::{Outcome, Question};
use micadyke_http::client::{CallError, Connection};
use micadyke_http::{Limits, Request, Response};
use std::collections::HashMap;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// A connection must stand within this.
const CONNECT: Duration = Duration::from_secs(2);
/// A session's end is waited for this long.
const END: Duration = Duration::from_secs(5);

/// An attempt that is out.
type Attempt<'a> = Pin<Box<dyn Future<Output = Result<Response, CallError>> + 'a>>;

/// A client of one front.
#[derive(Debug, Clone)]
pub struct Client {
    /// Where the front is.
    pub front: SocketAddr,
    /// Path of each class's route.
    pub routes: HashMap<String, String>,
    /// A bearer token, where routes ask for one.
    pub bearer: Option<String>,
    /// The rule by which questions are asked again.
    pub rule: Rule,
    /// The viewer's patience with all attempts of a question.
    pub stay: Duration,
}

impl Client {
    /// A client of the front at an address, with the usual rule, for viewers that stay for half a minute.
    pub fn new(front: SocketAddr) -> Self {
        let (rule, stay) = (Rule::default(), Duration::from_secs(30));
        Client { front, routes: HashMap::new(), bearer: None, rule, stay }
    }

    /// With the path of a class's route.
    #[must_use]
    pub fn route(mut self, class: &str, path: &str) -> Self {
        self.routes.insert(class.into(), path.into());
        self
    }

    /// Asks a question with an offer; its outcome, and the session where it plays. A class without a route fails with
    /// status 404, without being sent. When `cancel` resolves the question is taken back; dropping the future closes
    /// what is out at once.
    pub async fn ask(
        &self, question: &Question, offer: &str, cancel: impl Future<Output = ()>,
    ) -> (Outcome, Option<Session>) {
        let Some(route) = self.routes.get(&question.class) else {
            return (Outcome::Failed { status: 404 }, None);
        };
        let request = whep::ask(question, route, offer, self.bearer.as_deref());
        let began = Instant::now();
        let now = || began.elapsed().as_millis() as u64;
        let mut out = Vec::new();
        let stay = self.stay.as_millis() as u64;
        let mut asking =
            Asking::begin(self.rule, question.repeatable, question.patience_ms, stay, 0, &mut out);
        let mut cancel = std::pin::pin!(cancel);
        let mut cancelled = false;
        let mut attempt: Option<Attempt<'_>> = None;
        let mut wake = None;
        loop {
            for o in std::mem::take(&mut out) {
                match o {
                    Output::Send => attempt = Some(Box::pin(self.call(&request))),
                    // Dropping it closes its connection.
                    Output::Abort => {
                        attempt = None;
                        asking.handle(now(), Input::Closed, &mut out);
                    }
                    Output::Wake(at) => wake = Some(began + Duration::from_millis(at)),
                    Output::GiveBack(session) => drop(self.end(&session).await),
                    Output::Done(outcome, session) => return (outcome, session),
                }
            }
            if !out.is_empty() {
                continue;
            }
            let input = tokio::select! {
                result = async { match attempt.as_mut() { Some(a) => a.await, None => pending().await } } => {
                    attempt = None;
                    match result {
                        Ok(response) => Input::Answer(whep::read(&response)),
                        Err(CallError::NoConnection) => Input::Broke { sent: false },
                        Err(CallError::Malformed(_)) => {
                            Input::Answer(crate::asking::Answer::No(Outcome::Failed { status: 0 }))
                        }
                        Err(CallError::Reset) => Input::Broke { sent: true },
                    }
                }
                () = async { match wake { Some(at) => sleep_until(at).await, None => pending().await } } => {
                    wake = None;
                    Input::Due
                }
                () = &mut cancel, if !cancelled => {
                    cancelled = true;
                    Input::Cancel
                }
            };
            // Timers fire to the millisecond above.
            let at = if input == Input::Due { now() + 1 } else { now() };
            asking.handle(at, input, &mut out);
        }
    }

    async fn call(&self, request: &Request) -> Result<Response, CallError> {
        let mut connection = Connection::open(self.front, CONNECT, Limits::default()).await?;
        connection.call(request).await
    }

    /// Ends a session; the answer's status, if one came. One that has ended already is ended all the same.
    pub async fn end(&self, session: &Session) -> Option<u16> {
        let request = whep::end(session, self.bearer.as_deref());
        let answer = tokio::time::timeout(END, self.call(&request)).await.ok()?.ok()?;
        Some(answer.status)
    }
}

//! The UDP around a view: a socket, a clock and a word when it changes; no choices.

use crate::error::Error;
use crate::frame::{LONGEST, Seal};
use crate::identity::Member;
use crate::io::{Change, Input, Output};
use crate::letter::{Letter, Post};
use crate::news::News;
use crate::settings::Settings;
use crate::status::{self, Page, Returning, Row, Summary};
use crate::view::View;
use crate::{Nanos, SECOND};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tracing::{info, warn};

/// Datagrams, or letters, that are taken before a timer's turn comes.
const AT_A_TIME: usize = 256;
/// Proofs that may wait to be taken; those beyond are asked for again in the next round.
const PROOFS: usize = 4096;
/// A machine that lives refuses a call within this.
const REFUSAL: Duration = Duration::from_millis(200);
/// A page is asked for again after this.
const AGAIN: Duration = Duration::from_millis(300);
/// Members that are asked at a time for how far they are, and the time until more are.
const ASKED: usize = 64;
const BETWEEN: Duration = Duration::from_millis(10);
/// Pages of a view at most.
const PAGES: u16 = 1024;

/// A member's part of a common budget: always, and beyond that until then.
#[derive(Debug, Clone, Copy)]
pub struct Part {
    /// Always.
    pub always: f64,
    /// Beyond that.
    pub leased: f64,
    /// Until then.
    pub until: Instant,
}

/// The latest part, for whoever keeps to it.
pub type Parts = watch::Receiver<Option<Part>>;

/// Waits for the next part: always, leased, and for how long from now. `None`: there will be none any more.
pub async fn next_part(parts: &mut Parts) -> Option<(f64, f64, Nanos)> {
    loop {
        parts.changed().await.ok()?;
        if let Some(part) = *parts.borrow_and_update() {
            let span = part.until.saturating_duration_since(Instant::now()).as_nanos() as Nanos;
            return Some((part.always, part.leased, span));
        }
    }
}

/// The start of a process by its clock: milliseconds of Unix time.
pub fn by_clock() -> u64 {
    crate::clock::unix().as_millis() as u64
}

/// What a member's shell is handed by those beside it.
#[derive(Debug)]
pub struct Beside {
    /// What this member found out, to be told to the others.
    pub news: mpsc::Receiver<News>,
    /// Letters of what stands on the view.
    pub post: Post,
    /// How far the process's return from a power loss is, for people's tools.
    pub returning: watch::Receiver<Option<Returning>>,
}

/// Runs a member until `stop` is told or dropped; then it takes its leave. Changes go to `told`, in order, with the
/// moment from which the view's time counts. Letters and news that there is no room for are lost, as datagrams may be.
///
/// # Errors
///
/// Where it cannot listen.
pub async fn run(
    settings: Settings, seal: Seal, seed: u64, beside: Beside, mut stop: oneshot::Receiver<()>,
    mut told: impl FnMut(&Change, Instant),
) -> Result<(), Error> {
    let Beside { mut news, mut post, mut returning } = beside;
    let listen = settings.listen;
    let socket = UdpSocket::bind(listen).await.map_err(|why| Error::Listen { at: listen, why })?;
    let started = settings.start.unwrap_or_else(by_clock);
    let clock = Instant::now();
    let now = || clock.elapsed().as_nanos() as Nanos;
    info!(name = settings.name, %listen, advertise = %settings.advertise, fleet = settings.fleet, "a member");
    let mut view = View::new(settings, seal, started, seed, now());
    let mut out = Vec::new();
    let mut bytes = [0u8; LONGEST + 1];
    let (proved, mut proofs) = mpsc::channel(PROOFS);
    view.handle(now(), Input::Wake, &mut out);
    loop {
        for (name, to) in carry_out(&socket, &mut out, &post.send, &mut |c| told(c, clock)) {
            tokio::task::spawn_local(prove(name, to, now(), proved.clone()));
        }
        let span = Duration::from_nanos(view.wake_at().saturating_sub(now()).min(SECOND));
        tokio::select! {
            biased;
            _ = &mut stop => break,
            ready = socket.readable() => if ready.is_err() {
                // An error of the socket, as an ICMP message brings it, is read off by the next call.
                tokio::time::sleep(Duration::from_millis(1)).await;
            },
            Some((name, called)) = proofs.recv() => {
                view.handle(now(), Input::Refused { name: &name, called }, &mut out);
            }
            Ok(()) = returning.changed() => {
                let stage = returning.borrow_and_update().clone();
                view.handle(now(), Input::Returning(stage.as_ref()), &mut out);
            }
            Some(news) = news.recv() => view.handle(now(), Input::Tell(&news), &mut out),
            Some(letter) = post.take.recv() => {
                view.handle(now(), Input::Send(&letter), &mut out);
                for _ in 1..AT_A_TIME {
                    let Ok(letter) = post.take.try_recv() else { break };
                    view.handle(now(), Input::Send(&letter), &mut out);
                }
            }
            () = tokio::time::sleep(span) => {}
        }
        for _ in 0..AT_A_TIME {
            match socket.try_recv_from(&mut bytes) {
                // A call for a proof.
                Ok((0, _)) => {}
                Ok((n, from)) => view.handle(now(), Input::Datagram { from, bytes: &bytes[..n] }, &mut out),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break,
                // Nobody listens where something was sent: the view finds out by itself.
                Err(_) => {}
            }
        }
        if now() >= view.wake_at() {
            view.handle(now(), Input::Wake, &mut out);
        }
    }
    view.handle(now(), Input::Leave, &mut out);
    carry_out(&socket, &mut out, &post.send, &mut |c| told(c, clock));
    Ok(())
}

/// Calls an address on a socket of its own: a machine that lives says at once that nobody listens there.
async fn prove(name: String, to: SocketAddr, called: Nanos, proved: mpsc::Sender<(String, Nanos)>) {
    let any: SocketAddr = if to.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    let Ok(socket) = UdpSocket::bind(any).await else { return };
    if socket.connect(to).await.is_err() || socket.send(&[]).await.is_err() {
        return;
    }
    let answer = tokio::time::timeout(REFUSAL, socket.recv(&mut [0u8; 1])).await;
    if matches!(answer, Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused) {
        let _ = proved.try_send((name, called));
    }
}

/// Carries out what the view says; who is to be called for a proof is returned.
fn carry_out(
    socket: &UdpSocket, out: &mut Vec<Output>, post: &mpsc::Sender<Letter>, told: &mut impl FnMut(&Change),
) -> Vec<(String, SocketAddr)> {
    let mut proofs = Vec::new();
    for output in out.drain(..) {
        match output {
            // What the system does not take is lost, as any datagram may be.
            Output::Send { to, bytes } => drop(socket.try_send_to(&bytes, to)),
            Output::Told(change) => {
                log(&change);
                told(&change);
            }
            Output::Prove { name, to } => proofs.push((name, to)),
            Output::Letter(letter) => drop(post.try_send(letter)),
        }
    }
    proofs
}

fn log(change: &Change) {
    match change {
        Change::Up(m) => {
            info!(name = m.name, addr = %m.addr, start = m.start, turn = m.turn, "a member is there")
        }
        Change::Down(m) => {
            warn!(name = m.name, addr = %m.addr, start = m.start, "a member went without a word")
        }
        Change::Left(m) => info!(name = m.name, start = m.start, "a member took its leave"),
        Change::Suspected(m) => tracing::debug!(name = m.name, start = m.start, "a member does not answer"),
        Change::Cleared(m) => tracing::debug!(name = m.name, start = m.start, "a suspected member lives"),
        Change::Renewed { old, new } => {
            info!(
                name = new.name,
                from = old.start,
                to = new.start,
                turn = new.turn,
                "a member took its place anew"
            )
        }
        Change::Rejoined(me) => {
            warn!(start = me.start, turn = me.turn, "the others had given this one up; it is back")
        }
        Change::Superseded { by } => {
            warn!(by, "a later start bears this name: this one is silent until that is gone")
        }
        Change::Heard { news, age } => tracing::debug!(?news, age_ms = age / crate::MS, "heard of a server"),
        Change::Part(part) => {
            tracing::debug!(
                share = part.share(),
                members = part.members,
                "the part of the cold budgets that is this one's"
            )
        }
        Change::Settled { members, digest } => {
            info!(members, digest = %format_args!("{digest:016x}"), "the view is settled")
        }
        Change::Unsettled(why) => info!(%why, "the view is not settled"),
        Change::StoodStill { span } => warn!(ms = span / crate::MS, "this process stood still"),
    }
}

/// Asks a member for its view.
///
/// # Errors
///
/// Where nobody answers within `limit`, or what answers is not of this fleet.
pub async fn look(at: SocketAddr, seal: &Seal, limit: Duration) -> Result<(Summary, Vec<Row>), Error> {
    let any: SocketAddr = if at.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    let socket = UdpSocket::bind(any).await.map_err(Error::Socket)?;
    socket.connect(at).await.map_err(|why| Error::NoWay { at, why })?;
    let asker = Member::new("asker", any, 0);
    let until = Instant::now() + limit;
    let (mut summary, mut rows) = (None, Vec::new());
    for number in 0..PAGES {
        let Page { more, summary: first, rows: some, .. } =
            page(&socket, seal, &asker, number, until).await.ok_or(Error::Silent { at })?;
        summary = summary.or(first);
        rows.extend(some);
        if !more {
            break;
        }
    }
    let summary = summary.ok_or(Error::NoSummary { at })?;
    Ok((summary, rows))
}

async fn page(socket: &UdpSocket, seal: &Seal, asker: &Member, number: u16, until: Instant) -> Option<Page> {
    let ask = status::ask(seal, asker, number)?;
    let mut bytes = [0u8; LONGEST + 1];
    while Instant::now() < until {
        let _ = socket.send(&ask).await;
        if let Ok(Ok(n)) = tokio::time::timeout(AGAIN, socket.recv(&mut bytes)).await
            && let Some(page) = status::read(seal, &bytes[..n]).filter(|p| p.number == number)
        {
            return Some(page);
        }
    }
    None
}

/// Asks members how far their return from a power loss is, each at its address; whoever does not answer within `limit` is
/// not in what is returned.
///
/// # Errors
///
/// Where no socket is to be had.
pub async fn returning(
    members: &[Member], seal: &Seal, limit: Duration,
) -> Result<BTreeMap<String, Option<Returning>>, Error> {
    let mut told = BTreeMap::new();
    let mut bytes = [0u8; LONGEST + 1];
    let until = Instant::now() + limit;
    let Some(first) = members.first() else { return Ok(told) };
    let any: SocketAddr = if first.addr.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    let socket = UdpSocket::bind(any).await.map_err(Error::Socket)?;
    let Some(ask) = status::ask(seal, &Member::new("asker", any, 0), status::RETURNING) else {
        return Ok(told);
    };
    while told.len() < members.len() && Instant::now() < until {
        let silent: Vec<SocketAddr> =
            members.iter().filter(|m| !told.contains_key(&m.name)).map(|m| m.addr).collect();
        for some in silent.chunks(ASKED) {
            // What the system does not take is asked for again.
            some.iter().for_each(|to| drop(socket.try_send_to(&ask, *to)));
            let pause = if some.len() < ASKED { AGAIN } else { BETWEEN };
            let until = until.min(Instant::now() + pause);
            while told.len() < members.len() && Instant::now() < until {
                let left = until.saturating_duration_since(Instant::now());
                if let Ok(Ok((n, from))) = tokio::time::timeout(left, socket.recv_from(&mut bytes)).await
                    && let Some((who, stage)) = status::read_returning(seal, &bytes[..n])
                    && members.iter().any(|m| m.name == who.name && m.addr == from)
                {
                    told.insert(who.name, stage);
                }
            }
        }
    }
    Ok(told)
}

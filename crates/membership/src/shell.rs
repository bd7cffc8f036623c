//! Runs a view on a UDP socket and a clock, and calls back when it changes. Contains no decisions.

use crate::error::Error;
use crate::frame::{FrameCodec, MAX_DATAGRAM_BYTES};
use crate::identity::Member;
use crate::io::{Change, Input, Output};
use crate::message::{Message, MessageChannel};
use crate::server_report::ServerReport;
use crate::settings::Settings;
use crate::status::{self, Page, RecoveryStatus, Row, Summary};
use crate::view::View;
use crate::{Nanos, SECOND};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tracing::{info, warn};

/// Maximum number of datagrams or messages that are handled before timers are checked.
const BATCH_SIZE: usize = 256;
/// Maximum number of refused probes that wait to be handled. Further ones are dropped and probed again in the next round.
const MAX_PENDING_REFUSALS: usize = 4096;
/// Time within which a running machine refuses a connection.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which a request for a page is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Number of members that are asked for their recovery status at a time.
const REQUESTS_PER_BATCH: usize = 64;
/// Time between two batches of requests.
const BATCH_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of pages of a view.
const MAX_PAGES: u16 = 1024;

/// A member's share of a common budget.
#[derive(Debug, Clone, Copy)]
pub struct TimedShare {
    /// The guaranteed share.
    pub guaranteed: f64,
    /// The additional share by lease.
    pub leased: f64,
    /// When the lease ends.
    pub until: Instant,
}

/// Receives the latest share.
pub type ShareReceiver = watch::Receiver<Option<TimedShare>>;

/// Waits for the next share. Returns the guaranteed share, the leased one and the remaining time of the lease, or `None` if
/// there will be no more.
pub async fn next_share(shares: &mut ShareReceiver) -> Option<(f64, f64, Nanos)> {
    loop {
        shares.changed().await.ok()?;
        if let Some(share) = *shares.borrow_and_update() {
            let time_left = share.until.saturating_duration_since(Instant::now()).as_nanos() as Nanos;
            return Some((share.guaranteed, share.leased, time_left));
        }
    }
}

/// The start number of a process by its clock: Unix time in milliseconds.
pub fn start_by_clock() -> u64 {
    crate::clock::unix().as_millis() as u64
}

/// The channels between a member's shell and the other parts of the process.
#[derive(Debug)]
pub struct Connections {
    /// Reports of this member about servers, to be published.
    pub reports: mpsc::Receiver<ServerReport>,
    /// Messages of packages built on the view.
    pub messages: MessageChannel,
    /// The progress of recovery after a power loss, for operators' tools.
    pub recovery: watch::Receiver<Option<RecoveryStatus>>,
}

/// Runs a member until `stop` is signalled or dropped; then it leaves the fleet. Calls `on_change` with each change, in
/// order, and with the origin of the view's time. Messages and reports beyond the capacity of their channels are dropped.
///
/// # Errors
///
/// The member can't listen at its address.
pub async fn run(
    settings: Settings, codec: FrameCodec, seed: u64, connections: Connections,
    mut stop: oneshot::Receiver<()>, mut on_change: impl FnMut(&Change, Instant),
) -> Result<(), Error> {
    let Connections { mut reports, mut messages, mut recovery } = connections;
    let listen = settings.listen;
    let socket = UdpSocket::bind(listen).await.map_err(|why| Error::Listen { at: listen, why })?;
    let started = settings.start.unwrap_or_else(start_by_clock);
    let clock = Instant::now();
    let now = || clock.elapsed().as_nanos() as Nanos;
    info!(name = settings.name, %listen, advertise = %settings.advertise, fleet = settings.fleet, "member started");
    let mut view = View::new(settings, codec, started, seed, now());
    let mut out = Vec::new();
    let mut bytes = [0u8; MAX_DATAGRAM_BYTES + 1];
    let (refusal_sender, mut refusals) = mpsc::channel(MAX_PENDING_REFUSALS);
    view.handle(now(), Input::Timer, &mut out);
    loop {
        for (name, to) in carry_out(&socket, &mut out, &messages.send, &mut |c| on_change(c, clock)) {
            tokio::task::spawn_local(probe(name, to, now(), refusal_sender.clone()));
        }
        let wait = Duration::from_nanos(view.wake_at().saturating_sub(now()).min(SECOND));
        tokio::select! {
            biased;
            _ = &mut stop => break,
            ready = socket.readable() => if ready.is_err() {
                // A socket error, for example from an ICMP message, is cleared by the next call.
                tokio::time::sleep(Duration::from_millis(1)).await;
            },
            Some((name, probed_at)) = refusals.recv() => {
                view.handle(now(), Input::ConnectionRefused { name: &name, probed_at }, &mut out);
            }
            Ok(()) = recovery.changed() => {
                let status = recovery.borrow_and_update().clone();
                view.handle(now(), Input::Recovery(status.as_ref()), &mut out);
            }
            Some(report) = reports.recv() => view.handle(now(), Input::PublishReport(&report), &mut out),
            Some(message) = messages.receive.recv() => {
                view.handle(now(), Input::SendMessage(&message), &mut out);
                for _ in 1..BATCH_SIZE {
                    let Ok(message) = messages.receive.try_recv() else { break };
                    view.handle(now(), Input::SendMessage(&message), &mut out);
                }
            }
            () = tokio::time::sleep(wait) => {}
        }
        for _ in 0..BATCH_SIZE {
            match socket.try_recv_from(&mut bytes) {
                // A probe of another member.
                Ok((0, _)) => {}
                Ok((n, from)) => view.handle(now(), Input::Datagram { from, bytes: &bytes[..n] }, &mut out),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break,
                // An earlier destination does not listen. The view detects that by itself.
                Err(_) => {}
            }
        }
        if now() >= view.wake_at() {
            view.handle(now(), Input::Timer, &mut out);
        }
    }
    view.handle(now(), Input::Leave, &mut out);
    carry_out(&socket, &mut out, &messages.send, &mut |c| on_change(c, clock));
    Ok(())
}

/// Probes an address from a separate socket. A running machine reports at once if nobody listens there.
async fn probe(
    name: String, to: SocketAddr, probed_at: Nanos, refusal_sender: mpsc::Sender<(String, Nanos)>,
) {
    let any: SocketAddr = if to.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    let Ok(socket) = UdpSocket::bind(any).await else { return };
    if socket.connect(to).await.is_err() || socket.send(&[]).await.is_err() {
        return;
    }
    let answer = tokio::time::timeout(REFUSAL_TIMEOUT, socket.recv(&mut [0u8; 1])).await;
    if matches!(answer, Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused) {
        let _ = refusal_sender.try_send((name, probed_at));
    }
}

/// Carries out the outputs of the view. Returns the members that are to be probed.
fn carry_out(
    socket: &UdpSocket, out: &mut Vec<Output>, messages: &mpsc::Sender<Message>,
    on_change: &mut impl FnMut(&Change),
) -> Vec<(String, SocketAddr)> {
    let mut probes = Vec::new();
    for output in out.drain(..) {
        match output {
            // A datagram that the operating system does not accept is lost.
            Output::Send { to, bytes } => drop(socket.try_send_to(&bytes, to)),
            Output::Changed(change) => {
                log(&change);
                on_change(&change);
            }
            Output::ProbeAddress { name, to } => probes.push((name, to)),
            Output::Message(message) => drop(messages.try_send(message)),
        }
    }
    probes
}

fn log(change: &Change) {
    match change {
        Change::Up(m) => {
            info!(name = m.name, addr = %m.addr, start = m.start, turn = m.turn, "member joined")
        }
        Change::Down(m) => {
            warn!(name = m.name, addr = %m.addr, start = m.start, "a member went without a word")
        }
        Change::Left(m) => info!(name = m.name, start = m.start, "a member took its leave"),
        Change::Suspected(m) => tracing::debug!(name = m.name, start = m.start, "member is suspected"),
        Change::Cleared(m) => tracing::debug!(name = m.name, start = m.start, "suspected member is alive"),
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
        Change::ServerReported { report, age } => {
            tracing::debug!(?report, age_ms = age / crate::MS, "report about a server received")
        }
        Change::ShareChanged(share) => {
            tracing::debug!(
                share = share.total(),
                members = share.members,
                "share of the cold budgets changed"
            )
        }
        Change::Settled { members, digest } => {
            info!(members, digest = %format_args!("{digest:016x}"), "the view is settled")
        }
        Change::Unsettled(why) => info!(%why, "the view is not settled"),
        Change::Stalled { duration } => warn!(ms = duration / crate::MS, "this process stood still"),
    }
}

/// Fetches the view of a member.
///
/// # Errors
///
/// No member of this fleet answers within `limit`.
pub async fn fetch_view(
    at: SocketAddr, codec: &FrameCodec, limit: Duration,
) -> Result<(Summary, Vec<Row>), Error> {
    let any: SocketAddr = if at.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    let socket = UdpSocket::bind(any).await.map_err(Error::Socket)?;
    socket.connect(at).await.map_err(|why| Error::NoRoute { at, why })?;
    let asker = Member::new("asker", any, 0);
    let until = Instant::now() + limit;
    let (mut summary, mut rows) = (None, Vec::new());
    for number in 0..MAX_PAGES {
        let Page { more, summary: first, rows: some, .. } =
            fetch_page(&socket, codec, &asker, number, until).await.ok_or(Error::Silent { at })?;
        summary = summary.or(first);
        rows.extend(some);
        if !more {
            break;
        }
    }
    let summary = summary.ok_or(Error::NoSummary { at })?;
    Ok((summary, rows))
}

async fn fetch_page(
    socket: &UdpSocket, codec: &FrameCodec, asker: &Member, number: u16, until: Instant,
) -> Option<Page> {
    let ask = status::encode_request(codec, asker, number)?;
    let mut bytes = [0u8; MAX_DATAGRAM_BYTES + 1];
    while Instant::now() < until {
        let _ = socket.send(&ask).await;
        if let Ok(Ok(n)) = tokio::time::timeout(RETRY_INTERVAL, socket.recv(&mut bytes)).await
            && let Some(page) = status::read(codec, &bytes[..n]).filter(|p| p.number == number)
        {
            return Some(page);
        }
    }
    None
}

/// Fetches the recovery status of members, by name. Members that do not answer within `limit` are missing in the result.
///
/// # Errors
///
/// No socket can be opened.
pub async fn fetch_recovery(
    members: &[Member], codec: &FrameCodec, limit: Duration,
) -> Result<BTreeMap<String, Option<RecoveryStatus>>, Error> {
    let mut statuses = BTreeMap::new();
    let mut bytes = [0u8; MAX_DATAGRAM_BYTES + 1];
    let until = Instant::now() + limit;
    let Some(first) = members.first() else { return Ok(statuses) };
    let any: SocketAddr = if first.addr.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    let socket = UdpSocket::bind(any).await.map_err(Error::Socket)?;
    let Some(ask) = status::encode_request(codec, &Member::new("asker", any, 0), status::RECOVERY_PAGE)
    else {
        return Ok(statuses);
    };
    while statuses.len() < members.len() && Instant::now() < until {
        let unanswered: Vec<SocketAddr> =
            members.iter().filter(|m| !statuses.contains_key(&m.name)).map(|m| m.addr).collect();
        for some in unanswered.chunks(REQUESTS_PER_BATCH) {
            // A request that the operating system does not accept is repeated.
            some.iter().for_each(|to| drop(socket.try_send_to(&ask, *to)));
            let pause = if some.len() < REQUESTS_PER_BATCH { RETRY_INTERVAL } else { BATCH_INTERVAL };
            let until = until.min(Instant::now() + pause);
            while statuses.len() < members.len() && Instant::now() < until {
                let left = until.saturating_duration_since(Instant::now());
                if let Ok(Ok((n, from))) = tokio::time::timeout(left, socket.recv_from(&mut bytes)).await
                    && let Some((who, status)) = status::read_recovery(codec, &bytes[..n])
                    && members.iter().any(|m| m.name == who.name && m.addr == from)
                {
                    statuses.insert(who.name, status);
                }
            }
        }
    }
    Ok(statuses)
}

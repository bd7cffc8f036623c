//! The view of one member: which members are alive as far as it knows, and whether the others agree.
//!
//! It consists of a transport and the sub-protocols on it: failure detection, budget shares, reports about servers and
//! messages of other packages. The view dispatches datagrams and timers to them.

use crate::budget_shares::BudgetShares;
use crate::failure_detector::FailureDetector;
use crate::frame::{FrameCodec, Head, Kind, MAX_PAYLOAD_BYTES};
use crate::identity::Member;
use crate::io::{Counts, Feature, Input, Output, Unsettled};
use crate::message::MessageCounts;
use crate::message_relay::MessageRelay;
use crate::report_gossip::ReportGossip;
use crate::settings::Settings;
use crate::share::{BudgetShare, ShareMessage};
use crate::status::{self, RecoveryStatus, Row, Summary};
use crate::sub_protocol::SubProtocol;
use crate::transport::Transport;
use crate::{MS, Nanos};
use std::net::SocketAddr;

/// A member's view of its fleet.
///
/// ```
/// use micadyke_membership::{Input, Output, SECOND, Settings, View, frame::FrameCodec};
///
/// let codec = FrameCodec::new("test", b"a key of sixteen bytes").expect("long enough");
/// let mut settings = Settings::new("test", "n1", ([10, 0, 0, 1], 7946).into());
/// settings.seeds = vec![([10, 0, 0, 2], 7946).into()];
/// let mut view = View::new(settings, codec, 1, 7, SECOND);
/// let mut out = Vec::new();
/// view.handle(SECOND, Input::Timer, &mut out);
/// // It contacts its seed and knows no other member.
/// assert!(matches!(&out[0], Output::Send { to, .. } if to.port() == 7946));
/// assert_eq!((view.alive_count(), view.check_settled().is_ok()), (1, false));
/// ```
pub struct View {
    transport: Transport,
    failure_detector: FailureDetector,
    /// Present if shares are in use.
    budget_shares: Option<BudgetShares>,
    report_gossip: ReportGossip,
    message_relay: MessageRelay,
    /// The progress of recovery, and when it was updated.
    recovery: Option<(RecoveryStatus, Nanos)>,
}

impl std::fmt::Debug for View {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let members = &self.transport.members;
        f.debug_struct("View")
            .field("me", &members.own)
            .field("living", &members.alive_count())
            .finish_non_exhaustive()
    }
}

impl View {
    /// The view of a member that has just started and knows only its seeds. `start` is its start number, `seed` that of the
    /// random generator.
    pub fn new(settings: Settings, codec: FrameCodec, start: u64, seed: u64, now: Nanos) -> Self {
        let own = Member::new(&settings.name, settings.advertise, start);
        View {
            failure_detector: FailureDetector::new(&settings, own.clone(), seed, now),
            budget_shares: settings.shares.map(|shares| BudgetShares::new(shares, &own.name, start, now)),
            report_gossip: ReportGossip::new(),
            message_relay: MessageRelay::default(),
            recovery: None,
            transport: Transport::new(settings, codec, own, !seed, now),
        }
    }

    /// The current identity of this member.
    pub fn me(&self) -> &Member {
        &self.transport.members.own
    }

    /// Counters since the start.
    pub fn counts(&self) -> Counts {
        self.transport.counts
    }

    /// Counters of the messages of other packages.
    pub fn message_counts(&self) -> MessageCounts {
        self.message_relay.counts
    }

    /// The digest of the members that are alive, including this one.
    pub fn digest(&self) -> u64 {
        self.transport.members.digest()
    }

    /// Number of members that are alive as far as this member knows, including itself.
    pub fn alive_count(&self) -> usize {
        self.transport.members.alive_count()
    }

    /// All other known members, by name, and whether they are alive.
    pub fn members(&self) -> impl Iterator<Item = (&Member, bool)> {
        self.transport.members.entries.values().map(|k| (&k.member, k.active))
    }

    /// Sizes of the state: known names, timers and pending updates.
    pub fn sizes(&self) -> [usize; 3] {
        let [timers, updates] = self.failure_detector.sizes();
        [self.transport.members.entries.len(), timers, updates]
    }

    /// Switches a feature off, for tests and measurements that show its effect.
    #[doc(hidden)]
    pub fn without(mut self, feature: Option<Feature>) -> Self {
        self.failure_detector.without = feature;
        self
    }

    /// Checks whether the view is settled.
    ///
    /// # Errors
    ///
    /// Why it is not settled.
    pub fn check_settled(&self) -> Result<(), Unsettled> {
        self.transport.members.check_settled(self.transport.now)
    }

    /// The share of the common budget that this member may use now; `None` if shares are not in use.
    pub fn budget_share(&self) -> Option<BudgetShare> {
        self.budget_shares.as_ref().map(|p| p.current_share(self.transport.now))
    }

    /// When [`Input::Timer`] is due.
    pub fn wake_at(&self) -> Nanos {
        if self.transport.members.has_left() {
            return Nanos::MAX;
        }
        let shares = self.budget_shares.as_ref().map_or(Nanos::MAX, SubProtocol::wake_at);
        self.failure_detector
            .wake_at()
            .min(shares)
            .min(self.report_gossip.wake_at())
            .min(self.message_relay.wake_at())
    }

    /// Handles one input at time `now` and appends the outputs to `out`, in order.
    ///
    /// After a stall of the process, the datagrams that arrived meanwhile must be handled before [`Input::Timer`].
    pub fn handle(&mut self, now: Nanos, input: Input, out: &mut Vec<Output>) {
        let transport = &mut self.transport;
        transport.now = transport.now.max(now);
        if !transport.members.has_left() {
            self.failure_detector.check_stall(transport);
            match input {
                Input::Datagram { from, bytes } => self.handle_datagram(from, bytes),
                Input::Timer => {
                    self.failure_detector.on_timer(transport);
                    self.budget_shares.iter_mut().for_each(|p| p.on_timer(transport));
                    self.report_gossip.on_timer(transport);
                    self.message_relay.on_timer(transport);
                }
                Input::Leave => self.failure_detector.leave(transport),
                Input::PublishReport(report) => self.report_gossip.publish(transport, report),
                Input::ConnectionRefused { name, probed_at } => {
                    // If the member is suspected, the probe was sent because of that.
                    if !self.failure_detector.connection_refused(transport, name, probed_at) {
                        self.budget_shares
                            .iter_mut()
                            .for_each(|p| p.connection_refused(transport, now, name, probed_at));
                    }
                }
                Input::SendMessage(message) => self.message_relay.send(transport, message),
                Input::Recovery(told) => self.recovery = told.map(|r| (r.clone(), now)),
            }
            self.failure_detector.update_settled(&mut self.transport);
            self.budget_shares.iter_mut().for_each(|p| p.emit_changes(&mut self.transport));
        }
        out.append(&mut self.transport.out);
    }

    fn handle_datagram(&mut self, from: SocketAddr, bytes: &[u8]) {
        let Some((head, payload)) = self.transport.open_datagram(bytes) else { return };
        if let Kind::PageRequest { page } = head.kind {
            let page = match page {
                status::RECOVERY_PAGE => status::recovery_page(self.recovery_status().as_ref()),
                _ => status::encode_page(&self.summary(), &self.rows(), page, MAX_PAYLOAD_BYTES),
            };
            return self.transport.send(from, Kind::Page, &page);
        }
        if self.failure_detector.accepts_sender(&mut self.transport, &head) {
            self.dispatch(head, payload);
        }
    }

    /// Passes a datagram to its sub-protocol.
    fn dispatch(&mut self, head: Head, payload: &[u8]) {
        let transport = &mut self.transport;
        match head.kind {
            Kind::ServerReports | Kind::Share | Kind::Message(_) if !transport.members.is_active() => {}
            Kind::ServerReports => self.report_gossip.handle_message(transport, head, payload),
            Kind::Message(_) => self.message_relay.handle_message(transport, head, payload),
            Kind::Share => match &mut self.budget_shares {
                Some(shares) => shares.handle_message(transport, head, payload),
                None if postcard::from_bytes::<ShareMessage>(payload).is_err() => transport.malformed(),
                None => {}
            },
            _ => self.failure_detector.handle_message(transport, head, payload),
        }
    }

    // ----- for operators' tools

    /// The rows of the view.
    pub fn rows(&self) -> Vec<Row> {
        self.transport.members.rows(self.transport.now, |name| self.failure_detector.is_suspected(name))
    }

    /// The progress of this member's recovery, with the remaining time as of now.
    fn recovery_status(&self) -> Option<RecoveryStatus> {
        let (told, at) = self.recovery.as_ref()?;
        let gone = self.transport.now.saturating_sub(*at) / MS;
        Some(RecoveryStatus { left_ms: told.left_ms.saturating_sub(gone), ..told.clone() })
    }

    /// The summary above the rows.
    pub fn summary(&self) -> Summary {
        Summary {
            me: self.me().clone(),
            living: self.alive_count() as u32,
            digest: self.digest(),
            unsettled: self.check_settled().err().map(|why| why.to_string()),
            counts: self.counts(),
            part: self.budget_shares.as_ref().map(|p| p.row(self.transport.now)),
        }
    }
}

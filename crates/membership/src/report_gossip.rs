//! The sub-protocol that spreads reports about servers to all members by gossip.

use crate::frame::{Head, Kind};
use crate::io::Change;
use crate::server_report::{AgedReport, ReportBoard, ServerReport};
use crate::settings::{GOSSIP_FANOUT, GOSSIP_INTERVAL_RATIO};
use crate::sub_protocol::SubProtocol;
use crate::transport::Transport;
use crate::{MS, Nanos};
use rand::seq::IndexedRandom;
use std::net::SocketAddr;

/// The reports and when they are forwarded next.
#[derive(Debug)]
pub(crate) struct ReportGossip {
    board: ReportBoard,
    next_forward_at: Nanos,
}

impl ReportGossip {
    pub(crate) fn new() -> Self {
        ReportGossip { board: ReportBoard::default(), next_forward_at: Nanos::MAX }
    }

    /// Publishes a report of this member.
    pub(crate) fn publish(&mut self, transport: &mut Transport, report: &ServerReport) {
        if self.board.insert(transport.now, report.clone(), 0) {
            self.forward(transport);
        }
    }

    /// Forwards reports to a few random members that are alive: at once if they are new and then in each gossip interval,
    /// until they were sent often enough to reach all members.
    fn forward(&mut self, transport: &mut Transport) {
        let max_copies = u32::from(transport.settings.copies().get());
        let alive: Vec<SocketAddr> = transport.members.active_members().map(|k| k.member.addr).collect();
        let to: Vec<SocketAddr> = alive.sample(&mut transport.random, GOSSIP_FANOUT).copied().collect();
        let reports = if to.is_empty() {
            Vec::new()
        } else {
            self.board.due_for_forwarding(transport.now, max_copies, to.len() as u32)
        };
        self.next_forward_at = Nanos::MAX;
        if let Ok(payload) = postcard::to_allocvec(&reports)
            && !reports.is_empty()
        {
            self.next_forward_at = transport.now
                + transport.settings.period * u64::from(GOSSIP_INTERVAL_RATIO.0)
                    / u64::from(GOSSIP_INTERVAL_RATIO.1);
            to.into_iter().for_each(|to| transport.send(to, Kind::ServerReports, &payload));
        }
    }
}

impl SubProtocol for ReportGossip {
    fn handle_message(&mut self, transport: &mut Transport, _: Head, payload: &[u8]) {
        let Ok(all) = postcard::from_bytes::<Vec<AgedReport>>(payload) else { return transport.malformed() };
        let mut new = false;
        for (report, age) in all {
            let age = u64::from(age) * MS;
            if self.board.insert(transport.now, report.clone(), age) {
                new = true;
                transport.emit(Change::ServerReported { report, age });
            }
        }
        if new {
            self.forward(transport);
        }
    }

    fn wake_at(&self) -> Nanos {
        self.next_forward_at
    }

    fn on_timer(&mut self, transport: &mut Transport) {
        if transport.now >= self.next_forward_at {
            self.forward(transport);
        }
    }
}

//! Limits on the influence of other nodes' reports, and timeouts of recovery.

use super::SECOND;
use micadyke::interface::Nanos;
use micadyke_recovery::phases::Limits;

/// A server that sent something within this time is not probed because of another node's finding.
pub const RECENT_CONTACT: Nanos = SECOND;
/// Maximum probes per second caused by findings of other nodes. Bounds the cost of false findings, such as those of a node
/// with a broken link.
pub const MAX_PROBES_PER_SECOND: f64 = 4.0;
/// Share of the servers that may be in a state that only other nodes have reported.
const MAX_REPORTED_SHARE: f64 = 0.5;

/// How many of `ready` servers may be in a state that only other nodes have reported.
pub fn max_reported_servers(ready: usize) -> usize {
    (ready as f64 * MAX_REPORTED_SHARE) as usize
}

/// The probes available now, from the number available at an earlier time.
pub fn available_probes((available, updated_at): (f64, Nanos), now: Nanos) -> f64 {
    (available + now.saturating_sub(updated_at) as f64 / SECOND as f64 * MAX_PROBES_PER_SECOND)
        .min(MAX_PROBES_PER_SECOND)
}

/// Minimum time between two computations of the working subset. Views and lists change in bursts, and a computation blocks
/// the event loop: with 200 servers for 5 ms with 300 nodes, for 40 ms with 2,400.
pub const MIN_SUBSET_INTERVAL: Nanos = 2 * SECOND;
/// A server that rejected a set-up as full counts as full for this long, the usual interval of its reports.
pub const FULL_DURATION: Nanos = 2 * SECOND;
/// Set-ups avoid a server for this long if some node probes it in this window or did so in the previous one.
pub const PROBED_AVOIDANCE: Nanos = SECOND;

/// Maximum waits of a recovering node in each phase. Once back, the bus delivers the list within the maximum pause between
/// calls ([`super::bus::max_retry_pause`]); views settle within 20 s (`docs/results.md`); servers answer within a connect
/// timeout; a lease is granted within two of its usual durations.
pub const RECOVERY_TIMEOUTS: Limits =
    Limits { list: 10 * SECOND, view: 20 * SECOND, servers: 2 * SECOND, parts: 6 * SECOND };
/// Servers that a recovering node probes. Hundreds of nodes probe at the same time and share their findings.
pub const MAX_PROBED_SERVERS: usize = 8;

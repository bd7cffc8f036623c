//! Seats that are leased, renewed and never counted twice, and bearer entitlements.
//!
//! An issuer counts seats for each title and class; fronts hold them as leases with an expiry. [`ledger`] is the
//! issuer's side, [`holder`] the front's, [`policy`] what is done when a seat is lost or the issuer cannot be reached,
//! [`reserve`] how many idle seats are
//! kept for the next sessions, [`store`] what a front keeps over a restart, [`bearer`] entitlements of viewers, [`bound`] the end of a seat at the box; [`wheel`] holds the expiries.
//! All of them are free of I/O and clock but for the file behind [`store::File`].
//!
//! # Why no seat is counted twice
//!
//! Let `ttl` be the time that a lease is granted for, and let every clock run at a rate within `drift` of true time.
//! The issuer counts a lease as free `ttl` of its own clock after it *processed* the grant or renewal. The holder
//! counts it as its own until `ttl * (1 - 2 drift) - stop` of its own clock after it *first sent* that request. The
//! request was processed no earlier than it was first sent, so in true time the holder stops at most
//! `ttl (1 - 2 drift) / (1 - drift) <= ttl (1 - drift)` after that moment, and the issuer frees the seat at least
//! `ttl / (1 + drift) >= ttl (1 - drift)` after a moment that is no earlier. `stop` is the time that ending a session
//! takes. Offsets of clocks do not enter, since no point in time is ever sent.
//!
//! A front that is stopped, swapped out or cut off from its boxes ends nothing. So the session's box ends it by itself:
//! [`bound`] derives why that is no later than the moment at which the front would have. `stop` then covers what a box
//! takes from the end of a session's time to the end of its media: its own stall, and the grain in which it looks.
#![warn(missing_docs)]

pub mod bearer;
pub mod bound;
pub mod holder;
pub mod ledger;
pub mod message;
pub mod policy;
pub mod reserve;
pub mod store;
pub mod wheel;

/// A point in time of one process's monotonic clock, or a span, in nanoseconds.
pub type Nanos = u64;

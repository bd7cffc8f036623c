//! The face of all topics.

use crate::Nanos;
use crate::carrier::Carrier;
use crate::frame::Head;

/// What members speak of with each other: a state machine of its own on the carrier. A topic reads the book and keeps what
/// else it knows to itself; only the one of who lives writes it. What is no part of this package speaks by
/// [`crate::letter`].
pub(crate) trait Topic {
    /// A datagram of a kind that is this topic's, of a sender that is neither outranked nor this member itself.
    fn hear(&mut self, on: &mut Carrier, head: Head, payload: &[u8]);

    /// When it has something to say by itself.
    fn due(&self) -> Nanos;

    /// Says what is due by now.
    fn say(&mut self, on: &mut Carrier);
}

//! The interface of the sub-protocols that members run over one transport.

use crate::Nanos;
use crate::frame::Head;
use crate::transport::Transport;

/// A part of the membership protocol: a state machine of its own on the common transport.
///
/// A sub-protocol reads the member table; only the failure detector changes it. Other packages send their own messages by
/// [`crate::message`].
pub(crate) trait SubProtocol {
    /// Handles a datagram of this sub-protocol. Its sender is another member and not outranked by a later start.
    fn handle_message(&mut self, transport: &mut Transport, head: Head, payload: &[u8]);

    /// When [`SubProtocol::on_timer`] is to be called.
    fn wake_at(&self) -> Nanos;

    /// Does what is due by now.
    fn on_timer(&mut self, transport: &mut Transport);
}

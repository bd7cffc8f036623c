//! Messages of other packages, which are sent in the frame of membership and within its rate limit.
//!
//! Packages built on the view exchange messages this way without a socket, a key or addresses of their own. A message is a
//! datagram: it may be lost, duplicated or late. It is sent only if that leaves [`MEMBERSHIP_RESERVE_BYTES`] of the budget,
//! so that other packages can't interfere with failure detection.

use tokio::sync::mpsc;

/// Bytes of the budget that messages of other packages leave to membership: half of the burst size.
pub const MEMBERSHIP_RESERVE_BYTES: u64 = 32 << 10;
/// Capacity of the channel between the two ends of a [`MessageChannel`]. Senders wait or drop messages beyond it.
pub const CHANNEL_CAPACITY: usize = 1024;

/// A message of a package at one member to the same package at another member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The number of the package; 1 is the session directory.
    pub topic: u8,
    /// The name of the receiver, which may be this member itself, or of the sender if the message was received.
    pub name: String,
    /// The start number of the sender if the message was received. Not used for sending, which goes to any start.
    pub start: u64,
    /// At most [`crate::frame::MAX_PAYLOAD_BYTES`] bytes.
    pub payload: Vec<u8>,
}

impl Message {
    /// A message to be sent.
    ///
    /// ```
    /// let message = micadyke_membership::Message::to("n3", 1, b"where does title 7 play?".to_vec());
    /// assert_eq!((message.name.as_str(), message.topic), ("n3", 1));
    /// ```
    pub fn to(name: &str, topic: u8, payload: Vec<u8>) -> Self {
        Message { topic, name: name.to_owned(), start: 0, payload }
    }
}

/// Counters of messages since the start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct MessageCounts {
    /// Sent.
    pub sent: u64,
    /// Received and delivered.
    pub taken: u64,
    /// Not sent because the budget was used up except for [`MEMBERSHIP_RESERVE_BYTES`].
    pub held_back: u64,
    /// Not sent because no member of that name is alive by this view, or this member itself is not active.
    pub no_recipient: u64,
    /// Not sent because the payload exceeds a datagram.
    pub too_long: u64,
    /// Received but not delivered because the sender is not alive by this view, or has another start number.
    pub unknown_sender: u64,
}

/// One end of a pair of channels between a member's shell and a package built on its view.
#[derive(Debug)]
pub struct MessageChannel {
    /// Messages to the other end.
    pub send: mpsc::Sender<Message>,
    /// Messages from the other end.
    pub receive: mpsc::Receiver<Message>,
}

impl MessageChannel {
    /// Both ends. One is passed to [`crate::shell::run`]; if the other is dropped, no messages are sent or delivered.
    pub fn pair() -> (MessageChannel, MessageChannel) {
        let ((send, received), (sent, receive)) =
            (mpsc::channel(CHANNEL_CAPACITY), mpsc::channel(CHANNEL_CAPACITY));
        (MessageChannel { send, receive }, MessageChannel { send: sent, receive: received })
    }
}

//! Letters: payloads of other packages, which travel in this one's frame and on its budget of bytes.
//!
//! Whatever stands on the view says its own words with them, without a socket, a key or a book of addresses of its own.
//! A letter is a datagram: it may be lost, come twice, or late. It goes only where that leaves [`RESERVE`] bytes of the
//! budget to membership's own words, so that nothing that stands on the view can keep it from seeing who lives.

use tokio::sync::mpsc;

/// Bytes of the budget that letters leave to membership: half of what may be sent beyond the rate at one time.
pub const RESERVE: u64 = 32 << 10;
/// Letters that wait on one way between two ends; with more, the one that brings another has to wait, or loses it.
pub const WAITING: usize = 1024;

/// What one package's part at one member says to its part at another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Letter {
    /// The package's number: 1 is the session directory's.
    pub topic: u8,
    /// To be sent: whom it goes to, as its name stands in the view; oneself too. Received: whose it is.
    pub name: String,
    /// Received: the sender's start. Of no meaning where it is to be sent: it goes to whoever bears the name.
    pub start: u64,
    /// At most [`crate::frame::ROOM`] bytes.
    pub payload: Vec<u8>,
}

impl Letter {
    /// A letter to be sent.
    ///
    /// ```
    /// let letter = micadyke_membership::Letter::to("n3", 1, b"where does title 7 play?".to_vec());
    /// assert_eq!((letter.name.as_str(), letter.topic), ("n3", 1));
    /// ```
    pub fn to(name: &str, topic: u8, payload: Vec<u8>) -> Self {
        Letter { topic, name: name.to_owned(), start: 0, payload }
    }
}

/// What became of letters since the start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Letters {
    /// Sent.
    pub sent: u64,
    /// Received, and handed up.
    pub taken: u64,
    /// Not sent, for the rate was used up but for [`RESERVE`].
    pub held_back: u64,
    /// Not sent, for nobody of that name lives by this view, or this member is none itself.
    pub nobody: u64,
    /// Not sent, for the payload was longer than a datagram holds.
    pub too_long: u64,
    /// Received, and not handed up: the sender does not live by this view, or by another start.
    pub strangers: u64,
}

/// One end of a pair of channels between a member's shell and what stands on its view: what the one sends, the other takes.
#[derive(Debug)]
pub struct Post {
    /// For letters to the other end.
    pub send: mpsc::Sender<Letter>,
    /// Letters of the other end.
    pub take: mpsc::Receiver<Letter>,
}

impl Post {
    /// Both ends. One goes to [`crate::shell::run`]; where the other is dropped, no letters are sent, and none handed up.
    pub fn pair() -> (Post, Post) {
        let ((send, taken), (sent, take)) = (mpsc::channel(WAITING), mpsc::channel(WAITING));
        (Post { send, take }, Post { send: sent, take: taken })
    }
}

//! What passes between the core, its parts and the shell: numbers of things, inputs, outputs, what calls and timers are for.
//! Nothing here knows the core.

use micadyke::interface::{Nanos, ServerId, SessionId};
use micadyke_config::BoxRow;
use micadyke_http::client::CallError;
use micadyke_http::{Request, Response, sse};
use micadyke_recovery::phases::MembershipEvent;
use micadyke_recovery::record::Change;
use micadyke_tokens::store::Record;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// A viewer's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// A call to a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// An event stream from a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

/// Something that happened outside.
#[derive(Debug)]
pub enum Input {
    /// A whole request of a viewer. The connection brings no further one before its answer went out.
    Request {
        /// Its connection.
        conn: ConnId,
        /// The request.
        request: Request,
        /// The viewer's address.
        peer: IpAddr,
        /// It may have lain unread for so long: the front stood still.
        waited: Nanos,
    },
    /// A connection closed whose request has no answer yet.
    Gone {
        /// The connection.
        conn: ConnId,
    },
    /// The list of boxes, whole. `epoch` is the Unix time, in nanoseconds, at which the front's clock was zero.
    List {
        /// All boxes.
        rows: Vec<BoxRow>,
        /// Unix time of the front's time zero, in nanoseconds.
        epoch: u64,
    },
    /// The part of each box's cold budget that is this front's: see [`micadyke::interface::Event::ColdBudgetShare`].
    Part {
        /// Always.
        always: f64,
        /// Beyond that, for `span` from now.
        leased: f64,
        /// How long.
        span: Nanos,
    },
    /// The view of the other fronts changed.
    Fleet(MembershipEvent),
    /// A call came to its end. Each [`Output::Call`] comes back as exactly one of this and [`Input::Closed`].
    Reply {
        /// Which call.
        call: CallId,
        /// The answer, or why there is none.
        result: Result<Response, CallError>,
    },
    /// The connection of a call that was aborted is closed; no answer was read.
    Closed {
        /// Which call.
        call: CallId,
    },
    /// A stream is open: its box has begun to answer.
    StreamOpened {
        /// Which stream.
        stream: StreamId,
    },
    /// An event of a stream.
    Event {
        /// Which stream.
        stream: StreamId,
        /// The event.
        event: sse::Event,
    },
    /// A stream ended, or never came about.
    StreamEnded {
        /// Which stream.
        stream: StreamId,
        /// It was cut off, not ended in good order.
        cut: bool,
    },
    /// A deadline of [`crate::Front::deadline`] passed.
    Tick,
    /// No new sessions from now on; what is owed is still answered.
    Stop,
}

/// A question as a front has taken it, whatever its protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Taken {
    /// When, by the front's clock.
    pub at: Nanos,
    /// The title.
    pub title: Arc<str>,
    /// Index of its class.
    pub class: usize,
    /// Rate of the highest rung that the viewer can use, kbit/s.
    pub ceiling: u64,
    /// How long the viewer still waited for its answer.
    pub patience: Nanos,
}

/// Something to be done.
#[derive(Debug)]
pub enum Output {
    /// Send a viewer its answer. Each [`Input::Request`] gets exactly one, unless its connection went.
    Respond {
        /// The connection.
        conn: ConnId,
        /// The answer.
        response: Response,
    },
    /// Call a box.
    Call {
        /// Which call.
        call: CallId,
        /// The box's address.
        to: SocketAddr,
        /// The request.
        request: Request,
        /// Give up after this; `None`: when told to by [`Output::Abort`].
        timeout: Option<Duration>,
    },
    /// Close a call's connection now.
    Abort {
        /// Which call.
        call: CallId,
    },
    /// Open an event stream.
    Listen {
        /// Which stream.
        stream: StreamId,
        /// The box's address.
        to: SocketAddr,
        /// What is asked for.
        request: Request,
    },
    /// Close an event stream.
    Unlisten {
        /// Which stream.
        stream: StreamId,
    },
    /// Ask the source of the list for changes.
    Subscribe,
    /// Keep this, or keep it no longer: it is written soon, nothing waits for it.
    Keep(Change),
    /// Keep this; an epoch before anything that follows is done.
    Record(Record),
    /// Write this down, where questions are recorded (see [`crate::Front::record_questions`]).
    Taken(Taken),
}

/// What a call is for.
#[derive(Debug)]
pub(crate) enum Purpose {
    /// An attempt to set a session up. `orphan`: nobody waits for it any more; what it set up is withdrawn.
    /// `play`: what ends it at its box whether or not it answered (see [`crate::media::resource`]); empty: only the answer
    /// names that.
    SetUp {
        session: SessionId,
        server: ServerId,
        addr: SocketAddr,
        play: Box<str>,
        aborted: bool,
        orphan: bool,
    },
    /// A change of layer.
    Layer { session: SessionId, rung: usize },
    /// The opening of an event stream.
    Subscribe { session: SessionId },
    /// A viewer's PATCH passed on.
    Patch { session: SessionId, conn: ConnId },
    /// A session withdrawn at its box.
    Withdraw { session: SessionId, addr: SocketAddr, path: Box<str>, tries: u8 },
    /// A message to the issuer of seats.
    Issuer,
    /// A box asked for its clock, for the tokens that bound sessions there.
    Clock { server: ServerId },
    /// A renewal of sessions' time at a box.
    Renew { server: ServerId },
    /// A box asked whether it lives.
    Alive,
    /// A manifest of a play, asked for at its box.
    Manifest { play: u128, session: SessionId, conn: ConnId, path: Box<str> },
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    Module(u64),
    Attempt(CallId),
    Linger(CallId),
    Resubscribe(SessionId),
    Withdraw(SessionId, SocketAddr, Box<str>, u8),
    SeatWait(SessionId),
    /// A set-up that waits for its box's clock has waited for as long as it may.
    Permit(SessionId),
    /// A play may have fallen silent.
    Silence(u128),
}

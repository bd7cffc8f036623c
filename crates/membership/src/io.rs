//! What goes into a view and what comes out of it.

use crate::Nanos;
use crate::identity::Member;
use crate::letter::Letter;
use crate::news::News;
use crate::share::Part;
use crate::status::Returning;
use std::net::SocketAddr;

/// Something that happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Input<'a> {
    /// A datagram came.
    Datagram {
        /// Where from: answers to tools go there.
        from: SocketAddr,
        /// The bytes.
        bytes: &'a [u8],
    },
    /// [`crate::View::wake_at`] is due.
    Wake,
    /// This member takes its leave: the others are told, and nothing is sent after that.
    Leave,
    /// This member found something out that the others should hear.
    Tell(&'a News),
    /// The machine of this member refused the call that [`Output::Prove`] asked for.
    Refused {
        /// The member.
        name: &'a str,
        /// When the call was made.
        called: Nanos,
    },
    /// How far this member's return from a power loss is, for people's tools; `None`: it is in service.
    Returning(Option<&'a Returning>),
    /// A letter to the member that it names, on whatever stands on the view. It goes at once or never: as any datagram it
    /// may be lost, and [`crate::View::letters`] counts what was not sent, and why.
    Send(&'a Letter),
}

/// Something to be done, or told.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// A datagram is to be sent.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// This address is to be called; where its machine says that nobody listens there, [`Input::Refused`] follows.
    Prove {
        /// The member that is thought to be dead.
        name: String,
        /// Its address.
        to: SocketAddr,
    },
    /// The view changed.
    Told(Change),
    /// A letter came from the member that it names, which this view holds for living by that start.
    Letter(Letter),
}

/// A change of the view.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A member is there.
    Up(Member),
    /// A member went without a word.
    Down(Member),
    /// A member took its leave.
    Left(Member),
    /// A member does not answer, and may soon be given up. It lives for as long as that is not told.
    Suspected(Member),
    /// A member that was suspected showed that it lives.
    Cleared(Member),
    /// A member is another start of its name, or took its place again.
    Renewed {
        /// Who bore the name.
        old: Member,
        /// Who bears it.
        new: Member,
    },
    /// The others had given this member up; it took its place again, as this.
    Rejoined(Member),
    /// A later start under this member's name lives: this one is silent until that is gone.
    Superseded {
        /// The later start.
        by: u64,
    },
    /// Another member tells of a server; it is this old.
    Heard {
        /// What.
        news: News,
        /// Its age.
        age: Nanos,
    },
    /// The part of the common budget that this member may use is another one.
    Part(Part),
    /// All that was heard agrees, and nothing changed for a while.
    Settled {
        /// Members that live.
        members: usize,
        /// What they agree on.
        digest: u64,
    },
    /// No longer so.
    Unsettled(Unsettled),
    /// This process stood still for so long; silence during that time counts for nothing.
    StoodStill {
        /// How long.
        span: Nanos,
    },
}

/// Why a view is not settled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unsettled {
    /// It changed less than the stated number of periods ago.
    Changed,
    /// This member sees something else.
    Differs(String),
    /// Others should be there, and none answers.
    Nobody,
    /// This member is superseded, or has left.
    Out,
}

/// A member's state in the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer; it has a while to say that it lives.
    Suspect,
    /// It went without a word.
    Down,
    /// It took its leave.
    Left,
}

/// Counts since the start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Counts {
    /// Datagrams sent, and their bytes.
    pub sent: u64,
    /// See `sent`.
    pub sent_bytes: u64,
    /// Datagrams taken.
    pub taken: u64,
    /// Not sent, for the rate was used up.
    pub held_back: u64,
    /// Dropped: size, foreign, version, fleet, forged, malformed.
    pub dropped: [u64; 6],
    /// Dropped: a start that is outranked.
    pub outranked: u64,
    /// Members given up.
    pub given_up: u64,
    /// How often the others gave this member up though it lived.
    pub rejoined: u64,
    /// How often this process stood still.
    pub stood_still: u64,
}

/// What the view does beyond the library's SWIM.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Feature {
    /// A process that stood still accuses nobody.
    Guard,
    /// Suspects that speak are told.
    Buddy,
    /// One whose view differs is asked who lives.
    Mend,
    /// It is told who went.
    Gone,
    /// Those that are missing are called though others are there.
    Call,
    /// Others are asked to confirm a suspicion, which shortens it.
    Confirm,
    /// A suspect's machine is called, and a refusal ends the suspicion.
    Prove,
    /// Both of these.
    Doubt,
}

impl std::fmt::Display for Unsettled {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unsettled::Changed => f.write_str("changed a moment ago"),
            Unsettled::Differs(name) => write!(f, "{name} sees something else"),
            Unsettled::Nobody => f.write_str("nobody answers"),
            Unsettled::Out => f.write_str("superseded by a later start, or left"),
        }
    }
}

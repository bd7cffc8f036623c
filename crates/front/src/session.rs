//! What the front keeps of a session, and the books of who is owed what.

use crate::io::{CallId, ConnId, StreamId};
use micadyke::interface::{Nanos, Outcome, Rung, ServerId};
use micadyke_config::RouteKind;
use micadyke_sdp::Shape;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

/// Where a session was set up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Place {
    pub server: ServerId,
    pub addr: SocketAddr,
    /// Path of the session at the box; of a play: see [`crate::media::resource`].
    pub resource: Box<str>,
    /// Entity tag of its ICE session; empty: the box takes no PATCH.
    pub etag: Box<str>,
    /// Path that sets its layer (WHEP layer extension); empty: it has none.
    pub layer: Box<str>,
    /// Path that opens its event stream (WHEP server-sent events extension); empty: it has none.
    pub events: Box<str>,
}

/// A PATCH that waits for its turn.
#[derive(Debug)]
pub(crate) struct Patch {
    pub conn: ConnId,
    pub if_match: micadyke_http::fields::IfMatch,
    pub body: Vec<u8>,
}

/// Where a session stands.
#[derive(Debug)]
pub(crate) enum Phase {
    /// Its answer is owed.
    SettingUp(SettingUp),
    /// It plays.
    Playing(Playing),
}

/// What boxes are asked for.
#[derive(Debug)]
pub(crate) enum Asked {
    /// An offer, and what a box's answer must fit.
    Offer { text: Box<str>, shape: Shape },
    /// A manifest: its path under the title, and the play's id as the box is told of it (CMCD `sid`).
    Manifest { file: Box<str>, sid: Box<str> },
}

#[derive(Debug)]
pub(crate) struct SettingUp {
    /// Who waits for the answer; `None`: the viewer left.
    pub conn: Option<ConnId>,
    pub asked: Asked,
    /// The viewer is answered by then.
    pub give_up_at: Nanos,
    /// The attempt that is out.
    pub out: Option<CallId>,
    /// An attempt that was given up and whose connection is not closed yet.
    pub closing: Option<CallId>,
    /// The next attempt, due once the last one is closed.
    pub next: Option<(ServerId, Nanos)>,
    /// The set-up stands; the answer waits for its rung to be in force.
    pub stands: Option<Box<(Place, Arc<str>, Reports)>>,
    /// How the last attempt ended.
    pub last: Option<Outcome>,
    /// The box said that it is the offer that is at fault.
    pub offer_at_fault: bool,
}

/// Load figures that came with a set-up's answer.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(crate) struct Reports {
    pub link: Option<f64>,
    pub uplink: Option<f64>,
}

#[derive(Debug)]
pub(crate) struct Playing {
    pub place: Place,
    /// The PATCH that is at the box, and those that wait.
    pub patching: bool,
    pub patches: VecDeque<Patch>,
    /// A change of layer is at the box.
    pub changing: bool,
    /// The event stream, or the call that opens it.
    pub stream: Option<StreamId>,
    pub subscribing: bool,
    /// Streams lost in a row since the last event.
    pub lost: u8,
    /// The last stream was cut off: if its box knows the session no more, the box was started anew.
    pub cut: bool,
    /// It hears load figures for the whole box.
    pub watches: bool,
}

#[derive(Debug)]
pub(crate) struct Session {
    pub kind: RouteKind,
    pub route: usize,
    pub class: usize,
    pub title: Arc<str>,
    /// Random name of its resource at the front.
    pub name: u128,
    /// Media section whose layers are chosen.
    pub media: Box<str>,
    /// The highest rung that its viewer can use.
    pub top: Rung,
    /// The rung that the module wants, and the one that the box has confirmed.
    pub rung: Rung,
    pub in_force: Option<Rung>,
    pub phase: Phase,
}

impl Playing {
    /// A session that has just come to play.
    pub(crate) fn new(place: Place) -> Self {
        Playing {
            place,
            patching: false,
            patches: VecDeque::new(),
            changing: false,
            stream: None,
            subscribing: false,
            lost: 0,
            cut: false,
            watches: false,
        }
    }
}

impl Session {
    pub(crate) fn playing(&mut self) -> Option<&mut Playing> {
        match &mut self.phase {
            Phase::Playing(p) => Some(p),
            Phase::SettingUp(_) => None,
        }
    }

    pub(crate) fn setting_up(&mut self) -> Option<&mut SettingUp> {
        match &mut self.phase {
            Phase::SettingUp(s) => Some(s),
            Phase::Playing(_) => None,
        }
    }
}

//! Stand-ins: media boxes that speak WHIP and WHEP with the extensions the front uses, and viewers.
//!
//! [`model`] is the boxes' side without I/O: links, racks, streams, warm-up, falling over. [`media_box`] serves it
//! over sockets, with troubles on demand, and [`media`] its lists and segments over HTTP. [`viewer`] asks for sessions
//! and ends them, [`player`] plays over HTTP. Whatever passes a socket of
//! either is noted in a [`record::Record`], from which verdicts are computed.
//! [`platform`] is the RTSP platform's side without I/O, [`platform_net`] serves it over sockets, and [`platform_process`]
//! makes a process of one of its servers or of its event bus, so that a cut of power kills them for real.
//! [`platform_commanded`] is a server that says what a test commands, byte for byte; [`platform_near_end`] notes what front
//! nodes write to one by a slow way.
//! [`members`] is a fleet that keeps a view of itself, in virtual time on a network that loses, delays, doubles and cuts.
#![warn(missing_docs)]

pub mod issuer;
pub mod link;
mod lists;
pub mod media;
pub mod media_box;
pub mod members;
pub mod model;
pub mod offers;
pub mod platform;
pub mod platform_commanded;
pub mod platform_near_end;
pub mod platform_net;
pub mod platform_process;
pub mod player;
pub mod record;
pub mod relay;
pub mod server;
pub mod viewer;

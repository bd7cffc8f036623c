//! The sub-protocol that carries messages of other packages, within the rate that membership's own messages leave.

use crate::Nanos;
use crate::frame::{Head, Kind, MAX_PAYLOAD_BYTES};
use crate::io::Output;
use crate::message::{MEMBERSHIP_RESERVE_BYTES, Message, MessageCounts};
use crate::sub_protocol::SubProtocol;
use crate::transport::{BURST_BYTES, Transport};

const _: () = assert!(
    MEMBERSHIP_RESERVE_BYTES <= BURST_BYTES / 2,
    "messages of other packages get at least half of a burst"
);

/// Counters of messages. No other state is kept.
#[derive(Debug, Default)]
pub(crate) struct MessageRelay {
    pub(crate) counts: MessageCounts,
}

impl MessageRelay {
    /// Sends a message at once or drops it.
    pub(crate) fn send(&mut self, transport: &mut Transport, message: &Message) {
        if message.payload.len() > MAX_PAYLOAD_BYTES {
            self.counts.too_long += 1;
        } else if !transport.members.is_active() {
            self.counts.no_recipient += 1;
        } else if message.name == transport.members.own.name {
            self.counts.sent += 1;
            let start = transport.members.own.start;
            self.deliver(transport, Message { start, ..message.clone() });
        } else if let Some(to) = transport.members.addr(&message.name) {
            let sent = transport.try_send(
                to,
                Kind::Message(message.topic),
                &message.payload,
                MEMBERSHIP_RESERVE_BYTES,
            );
            *if sent { &mut self.counts.sent } else { &mut self.counts.held_back } += 1;
        } else {
            self.counts.no_recipient += 1;
        }
    }

    fn deliver(&mut self, transport: &mut Transport, message: Message) {
        self.counts.taken += 1;
        transport.out.push(Output::Message(message));
    }
}

impl SubProtocol for MessageRelay {
    /// Delivers a message only if an answer could be sent: its sender is alive by this view, with the same start number.
    fn handle_message(&mut self, transport: &mut Transport, head: Head, payload: &[u8]) {
        let (Kind::Message(topic), sender) = (head.kind, head.sender) else { return };
        let known = transport
            .members
            .entries
            .get(&sender.name)
            .filter(|k| k.active && k.member.start == sender.start);
        match known.is_some() && payload.len() <= MAX_PAYLOAD_BYTES {
            true => {
                let (name, start, payload) = (sender.name, sender.start, payload.to_vec());
                self.deliver(transport, Message { topic, name, start, payload });
            }
            false => self.counts.unknown_sender += 1,
        }
    }

    fn wake_at(&self) -> Nanos {
        Nanos::MAX
    }

    fn on_timer(&mut self, _: &mut Transport) {}
}

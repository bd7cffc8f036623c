//! Tests of messages of other packages: they are exchanged between members that are alive, within the remaining rate.

use micadyke_membership::frame::{Head, Kind, MAX_PAYLOAD_BYTES};
use micadyke_membership::message::MEMBERSHIP_RESERVE_BYTES;
use micadyke_membership::{Input, MS, Member, Message, MessageCounts, Output, SECOND, Settings, View};
use micadyke_standin::members::*;

#[test]
fn message_reaches_its_receiver_with_the_sender_name() {
    let mut w = World::settled(70, 4);
    let start = w.member(1).start;
    let full = vec![7; MAX_PAYLOAD_BYTES];
    for (to, payload) in [("n2", b"".to_vec()), ("n2", full.clone()), ("n1", b"to oneself".to_vec())] {
        w.letters.clear();
        w.send(1, &Message::to(to, 9, payload.clone()));
        w.run(10 * MS);
        let letter = Message { topic: 9, name: "n1".into(), start, payload };
        let got: Vec<(usize, &Message)> = w.letters.iter().map(|l| (l.1, &l.2)).collect();
        assert_eq!(got, [(to[1..].parse().expect("a number"), &letter)]);
    }
    // Messages that are too long, to an unknown member or to one that has left are not sent but counted.
    w.letters.clear();
    w.send(1, &Message::to("n2", 9, vec![7; MAX_PAYLOAD_BYTES + 1]));
    w.send(1, &Message::to("nobody", 9, full.clone()));
    w.leave(3);
    w.until_settled(30);
    w.send(1, &Message::to("n3", 9, full));
    w.run(SECOND);
    assert_eq!(w.letters, vec![]);
    let counts = w.processes[&1].view.message_counts();
    assert_eq!(
        counts,
        MessageCounts { sent: 3, taken: 1, no_recipient: 2, too_long: 1, ..MessageCounts::default() }
    );
}

#[test]
fn message_is_delivered_only_from_an_alive_sender_with_the_same_start() {
    let mut w = World::settled(71, 3);
    let known = w.member(1).clone();
    // Senders with a later or earlier start, an unknown sender, and the actual member.
    let table = [
        (Member::new("n1", addr(1), known.start + 1), 0),
        (Member::new("n1", addr(1), known.start - 1), 0),
        (Member::new("n9", addr(9), 1), 0),
        (known, 1),
    ];
    for (sender, handed_up) in table {
        let head = Head { kind: Kind::Message(1), sender: sender.clone(), digest: 0, members: 1 };
        let bytes = seal().encode(&head, b"x").expect("it fits");
        let (mut out, now) = (Vec::new(), w.now);
        let view = &mut w.processes.get_mut(&0).expect("it runs").view;
        view.handle(now, Input::Datagram { from: addr(1), bytes: &bytes }, &mut out);
        let got = out.iter().filter(|o| matches!(o, Output::Message(_))).count();
        assert_eq!(got, handed_up, "{sender:?}");
    }
    let counts = w.processes[&0].view.message_counts();
    assert_eq!((counts.taken, counts.unknown_sender), (1, 2));
}

#[test]
fn flood_of_messages_leaves_membership_its_budget() {
    let mut w = World::settled(72, 8);
    let (rate, span) = (Settings::new(FLEET, "n0", addr(0)).rate, 10);
    w.told.clear();
    w.bytes.clear();
    let mut tried = 0;
    // Meanwhile failures have to be disseminated, in longer datagrams than a probe.
    (5..8).for_each(|n| w.kill(n));
    for _ in 0..span * 1000 {
        // Long messages, and short ones that use the remaining budget.
        for size in [MAX_PAYLOAD_BYTES, 0] {
            (0..4).for_each(|_| w.send(0, &Message::to("n1", 1, vec![7; size])));
            tried += 4;
        }
        w.run(MS);
    }
    let view: &View = &w.processes[&0].view;
    let letters = view.message_counts();
    // The rate and the burst are kept, dropped messages are counted, and no datagram of membership itself was dropped.
    assert!(w.bytes[&0] <= rate * span + 2 * MEMBERSHIP_RESERVE_BYTES, "{}", w.bytes[&0]);
    assert!(letters.sent > 300 && letters.sent + letters.held_back == tried, "{letters:?}");
    assert_eq!(view.counts().held_back, 0);
    w.until_settled(10);
    assert!(w.given_up().iter().all(|(_, gone)| ["n5", "n6", "n7"].contains(&gone.as_str())));
}

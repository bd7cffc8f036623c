//! Letters of other packages: between members that the view holds for living, on what its own words leave of the budget.

use micadyke_membership::frame::{Head, Kind, ROOM};
use micadyke_membership::letter::RESERVE;
use micadyke_membership::{Input, Letter, Letters, MS, Member, Output, SECOND, Settings, View};
use micadyke_standin::members::*;

#[test]
fn a_letter_reaches_whom_it_names_and_says_whose_it_is() {
    let mut w = World::settled(70, 4);
    let start = w.member(1).start;
    let full = vec![7; ROOM];
    for (to, payload) in [("n2", b"".to_vec()), ("n2", full.clone()), ("n1", b"to oneself".to_vec())] {
        w.letters.clear();
        w.send(1, &Letter::to(to, 9, payload.clone()));
        w.run(10 * MS);
        let letter = Letter { topic: 9, name: "n1".into(), start, payload };
        let got: Vec<(usize, &Letter)> = w.letters.iter().map(|l| (l.1, &l.2)).collect();
        assert_eq!(got, [(to[1..].parse().expect("a number"), &letter)]);
    }
    // Too long, to nobody, to one that went, from one that took its leave: none goes, and each is counted.
    w.letters.clear();
    w.send(1, &Letter::to("n2", 9, vec![7; ROOM + 1]));
    w.send(1, &Letter::to("nobody", 9, full.clone()));
    w.leave(3);
    w.until_settled(30);
    w.send(1, &Letter::to("n3", 9, full));
    w.run(SECOND);
    assert_eq!(w.letters, vec![]);
    let counts = w.processes[&1].view.letters();
    assert_eq!(counts, Letters { sent: 3, taken: 1, nobody: 2, too_long: 1, ..Letters::default() });
}

#[test]
fn a_letter_is_handed_up_only_from_who_lives_by_that_start() {
    let mut w = World::settled(71, 3);
    let known = w.member(1).clone();
    // Of another start, later and earlier; of one that nobody knows; and of the one that is there.
    let table = [
        (Member::new("n1", addr(1), known.start + 1), 0),
        (Member::new("n1", addr(1), known.start - 1), 0),
        (Member::new("n9", addr(9), 1), 0),
        (known, 1),
    ];
    for (sender, handed_up) in table {
        let head = Head { kind: Kind::Topic(1), sender: sender.clone(), digest: 0, members: 1 };
        let bytes = seal().close(&head, b"x").expect("it fits");
        let (mut out, now) = (Vec::new(), w.now);
        let view = &mut w.processes.get_mut(&0).expect("it runs").view;
        view.handle(now, Input::Datagram { from: addr(1), bytes: &bytes }, &mut out);
        let got = out.iter().filter(|o| matches!(o, Output::Letter(_))).count();
        assert_eq!(got, handed_up, "{sender:?}");
    }
    let counts = w.processes[&0].view.letters();
    assert_eq!((counts.taken, counts.strangers), (1, 2));
}

#[test]
fn letters_without_end_leave_membership_its_budget() {
    let mut w = World::settled(72, 8);
    let (rate, span) = (Settings::new(FLEET, "n0", addr(0)).rate, 10);
    w.told.clear();
    w.bytes.clear();
    let mut tried = 0;
    // Deaths have to be told of meanwhile, in longer datagrams than a probe.
    (5..8).for_each(|n| w.kill(n));
    for _ in 0..span * 1000 {
        // Long ones, and short ones that take what those leave.
        for size in [ROOM, 0] {
            (0..4).for_each(|_| w.send(0, &Letter::to("n1", 1, vec![7; size])));
            tried += 4;
        }
        w.run(MS);
    }
    let view: &View = &w.processes[&0].view;
    let letters = view.letters();
    // What went keeps to the rate and the burst; what did not is counted; nothing of membership's own waited for it.
    assert!(w.bytes[&0] <= rate * span + 2 * RESERVE, "{}", w.bytes[&0]);
    assert!(letters.sent > 300 && letters.sent + letters.held_back == tried, "{letters:?}");
    assert_eq!(view.counts().held_back, 0);
    w.until_settled(10);
    assert!(w.given_up().iter().all(|(_, gone)| ["n5", "n6", "n7"].contains(&gone.as_str())));
}

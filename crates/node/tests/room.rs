//! More viewers' connections than a node may hold: which one is closed, and who still receives releases.

mod world;

use micadyke_isup::{Message, kind};
use micadyke_standin::platform::Treat;
use world::*;

/// What a client sends that connects and then keeps its connection without requesting a session again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Crowd {
    Nothing,
    Test,
    /// A set-up that is answered and whose session its viewer ends at once.
    Briefly,
}

impl Crowd {
    fn connects(self, w: &mut World, number: u64) {
        let conn = w.viewer();
        match self {
            Crowd::Nothing => {}
            Crowd::Test => {
                let test = Message::new(kind::TEST, number).with_cause(0).encode().expect("it fits");
                w.send(conn, test);
            }
            Crowd::Briefly => {
                let id = 10_000 + number;
                w.ask(conn, id, "free", 4000);
                w.later(50 * MS, move |w| w.give_up(conn, id));
            }
        }
    }
}

/// Viewers watch for a while without sending anything, while a crowd of clients connects and stays. Every ended session must be
/// released on the connection that its viewer keeps for it.
#[test]
fn a_crowd_that_stays_does_not_cost_viewers_the_end_of_their_sessions() {
    for crowd in [Crowd::Nothing, Crowd::Test, Crowd::Briefly] {
        let mut w = World::new(2);
        w.servers.values_mut().for_each(|s| s.usual = Treat::Serve(6 * SECOND));
        let viewers: Vec<(u64, u64)> = (1..=40).map(|id| (w.viewer(), id)).collect();
        for (conn, id) in &viewers {
            w.ask(*conn, *id, "free", 4000);
        }
        w.run(SECOND);
        assert!(viewers.iter().all(|(_, id)| w.answer(*id).is_some_and(|a| a.1)), "{crowd:?}");
        // 80 per second: three times the node's capacity before the first session ends.
        for number in 0..640 {
            crowd.connects(&mut w, number);
            w.run(25 * MS / 2);
        }
        let unheard = |(conn, id): &&(u64, u64)| {
            let released = |m: &(u64, Message)| m.1.kind == kind::RELEASE && m.1.session == *id;
            !w.told.get(conn).is_some_and(|told| told.iter().any(released))
        };
        let unheard: Vec<_> = viewers.iter().filter(unheard).collect();
        assert!(unheard.is_empty(), "{crowd:?}: {} sessions' ends were told elsewhere", unheard.len());
        assert!(w.node.table_sizes()[0] <= 128);
    }
}

/// Only connections of clients that test the node are left: a release waits for a viewer that sends a set-up.
#[test]
fn a_release_waits_for_a_connection_that_brings_a_set_up() {
    let mut w = World::new(2);
    w.servers.values_mut().for_each(|s| s.usual = Treat::Serve(SECOND));
    let gone = w.viewer();
    w.ask(gone, 1, "free", 4000);
    w.run(500 * MS);
    w.hang_up(gone);
    let tester = w.viewer();
    w.send(tester, Message::new(kind::TEST, 5).with_cause(0).encode().expect("it fits"));
    w.run(3 * SECOND);
    let viewer = w.viewer();
    w.ask(viewer, 2, "free", 4000);
    w.run(SECOND);
    let heard =
        |w: &World, conn: u64| w.told[&conn].iter().any(|m| m.1.kind == kind::RELEASE && m.1.session == 1);
    assert!(!heard(&w, tester), "a client that only tests reads for nobody");
    assert!(heard(&w, viewer));
}

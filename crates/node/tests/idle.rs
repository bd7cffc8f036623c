//! Idle connections: to servers that close them after a time in the settings, and of clients that withdraw all their
//! set-ups.

mod world;

use micadyke_isup::{Message, kind};
use micadyke_node::config::read;
use micadyke_node::limits;
use micadyke_standin::platform::Treat;
use world::*;

/// A world whose servers close connections after this many idle nanoseconds.
fn closed_after(idle: u64) -> World {
    let row = row(0, "up", 0);
    let settings = SETTINGS.replace("\"conn_idle_ns\":15000000000", &format!("\"conn_idle_ns\":{idle}"));
    assert!(settings.contains(&format!("\"conn_idle_ns\":{idle}")));
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:2905","seed":"8c1f30d27a5be964","limits":{{"cores":1,"memory_mb":32,"sockets":256}},"bus":"127.0.0.2:4222","known":{{"offset":1,"batch":[{{"offset":1,"topology":{{"version":1,"full":true,"servers":[{row}]}}}}]}},"settings":{settings}}}"#
    );
    World::with(read(&text).expect("sound settings"), 1, None)
}

#[test]
fn a_connection_is_closed_before_its_server_closes_it() {
    let mut w = closed_after(2 * SECOND);
    w.servers.values_mut().for_each(|s| s.usual = Treat::Serve(100 * MS));
    let viewer = w.viewer();
    w.ask(viewer, 1, "paid", 1000);
    w.run(SECOND);
    assert_eq!(w.links_to(server_addr(0)), 1);
    w.run(400 * MS);
    assert_eq!(w.links_to(server_addr(0)), 0);
}

#[test]
fn no_set_up_goes_out_on_a_connection_that_its_server_may_be_closing() {
    for (idle, calls) in [(2 * SECOND, 2), (15 * SECOND, 1)] {
        let mut w = closed_after(idle);
        // The session keeps its connection, without traffic on it.
        w.servers.values_mut().for_each(|s| s.usual = Treat::Serve(60 * SECOND));
        let viewer = w.viewer();
        w.ask(viewer, 1, "paid", 1000);
        w.run(1900 * MS);
        w.ask(viewer, 2, "paid", 1000);
        w.run(100 * MS);
        assert!(w.answer(2).is_some_and(|a| a.1), "{idle}");
        assert_eq!(w.calls.len(), calls, "{idle}");
    }
}

/// Sends and withdraws a set-up in one read, `each` times.
fn asks_and_withdraws(w: &mut World, conn: u64, first: u64, each: u64) {
    let both = |id: u64| {
        let withdrawal = Message::new(kind::RELEASE, id).with_cause(16);
        [World::set_up(id, "free", PATIENCE_MS), withdrawal].map(|m| m.encode().expect("it fits")).concat()
    };
    w.send(conn, (first..first + each).flat_map(both).collect());
}

const PATIENCE_MS: u64 = 4000;

#[test]
fn a_client_that_withdraws_all_it_asks_for_is_closed_and_others_are_not() {
    let in_a_row = u64::from(limits::viewers::MAX_CONSECUTIVE_WITHDRAWALS);
    // Withdrawals at once, then as many again after this time, with or without an answer in between; whether the connection is closed.
    let table = [
        (in_a_row - 1, 0, false, false),
        (in_a_row, 0, false, true),
        (in_a_row - 1, 10 * MS, false, true),
        (in_a_row - 1, 10 * MS, true, false),
        (in_a_row - 1, limits::viewers::WITHDRAWAL_WINDOW + 10 * MS, false, false),
    ];
    for (each, again_after, answer, closed) in table {
        let mut w = World::new(2);
        let client = w.viewer();
        w.run(MS);
        asks_and_withdraws(&mut w, client, 1000, each);
        w.run(MS);
        if answer {
            w.ask(client, 7, "free", PATIENCE_MS);
            w.run(100 * MS);
            assert!(w.answer(7).is_some_and(|a| a.1));
        }
        if again_after > 0 {
            w.run(again_after);
            asks_and_withdraws(&mut w, client, 5000, each);
        }
        w.run(100 * MS);
        let case = format!("{each} {again_after} {answer}");
        assert_eq!(w.closed.contains_key(&client), closed, "{case}");
        assert_eq!(w.node.session_counts().0, 0, "{case}");
    }
}

#[test]
fn a_client_with_another_set_up_open_is_not_closed_for_those_it_withdraws() {
    let mut w = World::new(2);
    w.commanded(true);
    let client = w.viewer();
    w.ask(client, 7, "free", PATIENCE_MS);
    w.run(10 * MS);
    asks_and_withdraws(&mut w, client, 1000, 2 * u64::from(limits::viewers::MAX_CONSECUTIVE_WITHDRAWALS));
    w.run(50 * MS);
    assert!(!w.closed.contains_key(&client));
}

//! Tests of the recovery status that operators' tools fetch from a member.

use micadyke_membership::status::{self, RecoveryStatus};
use micadyke_membership::{Input, MS, Member, Output, SECOND};
use micadyke_standin::members::*;

/// The answer of a member to a request for a page.
fn asked(w: &mut World, page: u16) -> Vec<u8> {
    let asker = Member::new("asker", addr(2000), 0);
    let ask = status::encode_request(&seal(), &asker, page).expect("it fits");
    let (mut out, now) = (Vec::new(), w.now);
    let view = &mut w.processes.get_mut(&0).expect("it runs").view;
    view.handle(now, Input::Datagram { from: asker.addr, bytes: &ask }, &mut out);
    let answer = out.into_iter().find_map(|o| match o {
        Output::Send { to, bytes } if to == asker.addr => Some(bytes),
        _ => None,
    });
    answer.expect("it answers")
}

#[test]
fn member_reports_recovery_progress_and_time_left() {
    let mut w = World::settled(1, 3);
    let told =
        |words: &str, left_ms| RecoveryStatus { phase: "view".into(), waits_for: words.into(), left_ms };
    let long = "ü".repeat(2000);
    // The status that is set, the time since then, and the status that is returned.
    let table = [
        (None, 0, None),
        (Some(told("the others", 9000)), 0, Some(("the others", 9000))),
        (Some(told("the others", 9000)), 2500, Some(("the others", 6500))),
        (Some(told("the others", 9000)), 9500, Some(("the others", 0))),
        (Some(told(&long, 1)), 0, Some((&long[..256], 1))),
        (None, 0, None),
    ];
    for (returning, ago, says) in table {
        let (mut out, now) = (Vec::new(), w.now);
        let view = &mut w.processes.get_mut(&0).expect("it runs").view;
        view.handle(now, Input::Recovery(returning.as_ref()), &mut out);
        w.run(ago * MS);
        let (who, stage) =
            status::read_recovery(&seal(), &asked(&mut w, status::RECOVERY_PAGE)).expect("it reads");
        let stage = stage.as_ref().map(|r| (r.waits_for.as_str(), r.left_ms));
        assert_eq!((who.name.as_str(), stage), ("n0", says));
    }
    // Other pages are not affected.
    let page = asked(&mut w, 0);
    assert!(status::read_recovery(&seal(), &page).is_none());
    assert_eq!(status::read(&seal(), &page).map(|p| p.rows.len()), Some(2));
    w.run(SECOND);
}

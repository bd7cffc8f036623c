//! Tests in virtual time: after faults of processes and network the views settle again, without false failures.

use micadyke_membership::{Change, Feature, Input, MS, SECOND, Unsettled};
use micadyke_standin::members::*;

#[test]
fn settles_if_all_start_at_once_with_half_of_the_seeds_dead() {
    let mut w = World::new(1, 24);
    w.seeds = [0, 1, 400, 401].map(addr).to_vec();
    for n in 0..24 {
        w.start(n);
        w.run(40 * MS);
    }
    w.until_settled(60);
    assert_eq!(w.given_up(), vec![]);
}

#[test]
fn settles_after_rolling_restart() {
    let mut w = World::settled(2, 20);
    for tenth in 0..10 {
        for n in [2 * tenth, 2 * tenth + 1] {
            if tenth % 2 == 0 { w.leave(n) } else { w.kill(n) }
        }
        w.run(700 * MS);
        (0..2).for_each(|i| w.start(2 * tenth + i));
        w.run(700 * MS);
    }
    w.until_settled(60);
    // The later start supersedes the former one at once, without waiting until that is declared down.
    let restarted =
        w.told.iter().filter(|t| matches!(&t.2, Change::Renewed { old, new } if new.start > old.start));
    assert!(restarted.count() > 100);
}

#[test]
fn settles_after_most_members_are_killed_and_return() {
    let mut w = World::settled(3, 30);
    (0..21).for_each(|n| w.kill(n));
    w.until_settled(90);
    assert_eq!(w.processes.values().map(|p| p.view.alive_count()).collect::<Vec<_>>(), vec![9; 9]);
    (0..21).for_each(|n| w.start(n));
    w.until_settled(60);
}

#[test]
fn naming_removed_members_speeds_up_settling_after_mass_failure() {
    let settled_after = |without| {
        let mut w = World::new(60, 60);
        w.without = without;
        (0..60).for_each(|n| w.start(n));
        w.until_settled(60);
        (0..60).filter(|n| n % 10 < 7).for_each(|n| w.kill(n));
        w.until_settled(90)
    };
    let (with, without) = (settled_after(None), settled_after(Some(Feature::NameRemoved)));
    assert!(with * 3 < without * 2, "{with} {without}");
}

#[test]
fn settles_after_partitions() {
    for (seed, sides, seconds) in [(4, 2, 6), (5, 3, 30), (6, 2, 7200)] {
        let mut w = World::new(seed, 12);
        // Fewer probes make hours of virtual time cheaper.
        w.period = if seconds > 100 { 2 * SECOND } else { 500 * MS };
        (0..12).for_each(|n| w.start(n));
        w.until_settled(90);
        w.partition(|n| n % sides);
        w.run(seconds / 2 * SECOND);
        if seconds > 6 {
            // Each side changes on its own: members leave, die, join and restart.
            w.leave(2);
            w.kill(5);
            w.start(12);
            w.start(13);
            w.kill(7);
            w.run(SECOND);
            w.start(7);
        }
        w.run(seconds / 2 * SECOND);
        w.partition(|_| 0);
        w.until_settled(180);
    }
}

#[test]
fn settles_after_asymmetric_loss() {
    let mut w = World::settled(7, 10);
    // Only member 4 receives the datagrams of member 9, which receives those of all.
    (0..10).filter(|n| *n != 4).for_each(|n| w.cut.extend([(addr(9), addr(n))]));
    w.run(20 * SECOND);
    assert!(w.processes[&4].view.members().any(|m| m.0.name == "n9"));
    w.cut.clear();
    w.until_settled(90);
    // Member 8 is connected with member 3 only, through which the others probe it. It must remain a member.
    w.told.clear();
    let others = (0..10).filter(|n| ![3, 8].contains(n));
    others.for_each(|n| w.cut.extend([(addr(8), addr(n)), (addr(n), addr(8))]));
    w.run(30 * SECOND);
    w.cut.clear();
    w.until_settled(90);
}

#[test]
fn no_false_failures_with_loss_duplication_and_reordering() {
    let mut w = World::settled(8, 16);
    (w.loss, w.doubled, w.way) = (0.2, 0.2, (MS, 60 * MS));
    w.run(60 * SECOND);
    let wrong = w.given_up();
    assert!(wrong.is_empty(), "{wrong:?}");
    (w.loss, w.doubled) = (0.0, 0.0);
    w.until_settled(60);
}

/// Stalls one of twelve members for `span`. Returns how many members it declares down, and how many declare it down. Before
/// the stall its connections are cut, so that it suspects a member; that suspicion would end during the stall.
fn false_failures_after_stall(seed: u64, span: u64, unguarded: bool) -> (usize, usize) {
    let mut w = World::new(seed, 12);
    w.without = unguarded.then_some(Feature::StallGuard);
    (0..12).for_each(|n| w.start(n));
    w.until_settled(60);
    w.told.clear();
    w.socket = 0;
    (0..12).for_each(|n| w.cut.extend([(addr(n), addr(5))]));
    w.run(900 * MS);
    w.stop(5);
    w.run(span);
    w.cut.clear();
    w.go_on(5);
    w.run(10 * SECOND);
    let downs = w.given_up();
    w.until_settled(90);
    (downs.iter().filter(|d| d.0 == 5).count(), downs.iter().filter(|d| d.1 == "n5").count())
}

#[test]
fn stalled_member_suspects_nobody_and_rejoins() {
    for (span, given_up) in [(300 * MS, false), (800 * MS, false), (20 * SECOND, true)] {
        for seed in 0..8 {
            let (accused, by) = false_failures_after_stall(9 + seed, span, false);
            assert_eq!((accused, by > 0), (0, given_up), "{span} {seed}");
        }
    }
    // Without the guard there are false failures.
    let accused: usize = (0..8).map(|seed| false_failures_after_stall(9 + seed, 20 * SECOND, true).0).sum();
    assert!(accused > 0);
}

/// What each view emitted about a member, in order: suspected (s), cleared (c), down (d).
fn told_of(w: &World, name: &str) -> Vec<Vec<char>> {
    let mut all = vec![Vec::new(); 12];
    for (_, n, change) in &w.told {
        match change {
            Change::Suspected(m) if m.name == name => all[*n].push('s'),
            Change::Cleared(m) if m.name == name => all[*n].push('c'),
            Change::Down(m) if m.name == name => all[*n].push('d'),
            _ => {}
        }
    }
    all
}

#[test]
fn suspicions_and_their_ends_are_emitted() {
    // A member that is stalled for less than the duration of a suspicion, and one that is killed.
    let mut cleared = 0;
    for (dies, seed) in (0..8).flat_map(|seed| [(false, seed), (true, seed)]) {
        let mut w = World::settled(90 + seed, 12);
        w.told.clear();
        if dies {
            w.vanish(5);
        } else {
            w.stop(5);
            w.run(1200 * MS);
            w.go_on(5);
        }
        w.run(12 * SECOND);
        let told = told_of(&w, "n5");
        let others: Vec<&Vec<char>> = told.iter().enumerate().filter(|t| t.0 != 5).map(|t| t.1).collect();
        let suspected = others.iter().filter(|t| t.first() == Some(&'s')).count();
        // A short stall is not noticed by all members.
        assert!(!dies || suspected >= 6, "{seed}: {suspected} of 11 were told: {told:?}");
        cleared += if dies { 0 } else { suspected };
        for told in others {
            // Each suspicion ends exactly once, and no end is emitted without a suspicion.
            let ends = if dies { 'd' } else { 'c' };
            let pairs = told.chunks(2).all(|pair| pair == ['s', ends] || pair == ['s', 'c'] || pair == ['d']);
            assert!(pairs && (!dies || told.last() == Some(&'d')), "{dies} {seed}: {told:?}");
            assert!(dies || !told.contains(&'d'), "{seed}: {told:?}");
        }
    }
    assert!(cleared >= 22, "{cleared} suspicions of one that lives were told");
}

/// The median time in milliseconds until the other members know that one is gone, and the number of false failures
/// meanwhile.
fn detection_time(n: usize, without: Option<Feature>, loss: f64, gone: impl Fn(&mut World)) -> (u64, usize) {
    let mut w = World::settled_without(70 + n as u64, n, without);
    w.loss = loss;
    let from = w.now;
    gone(&mut w);
    w.run(12 * SECOND);
    let downs = w.told.iter().filter(|t| matches!(&t.2, Change::Down(m) if m.name == "n1"));
    let mut at: Vec<u64> = downs.map(|t| (t.0 - from) / MS).collect();
    at.sort_unstable();
    assert!(at.len() >= n - 2, "{} of {n} know", at.len());
    (at[at.len() / 2], w.given_up().iter().filter(|d| d.1 != "n1").count())
}

#[test]
fn confirmations_halve_detection_time_without_false_failures() {
    type Fault = fn(&mut World);
    let (kill, vanish): (Fault, Fault) = (|w| w.kill(1), |w| w.vanish(1));
    for loss in [0.0, 0.2] {
        let known = |without, gone: Fault| detection_time(60, without, loss, gone);
        let fixed = [kill, vanish].map(|gone| known(Some(Feature::Suspicion), gone));
        // The feature switched off, the fault, and the limit in hundredths of the time with fixed suspicions.
        let table = [
            (None, kill, 35, fixed[0]),
            (None, vanish, 60, fixed[1]),
            (Some(Feature::Confirm), kill, 35, fixed[0]),
            (Some(Feature::Probe), kill, 65, fixed[0]),
        ];
        for (without, gone, hundredths, fixed) in table {
            let (took, wrong) = known(without, gone);
            assert!(100 * took <= hundredths * fixed.0 && wrong == 0, "{loss} {without:?}: {took} {fixed:?}");
        }
        // Without a machine that refuses connections, probes alone have no effect.
        assert!(10 * known(Some(Feature::Confirm), vanish).0 > 9 * fixed[1].0);
    }
}

#[test]
fn refused_probe_affects_only_suspects_and_any_answer_clears_a_suspicion() {
    let mut w = World::settled(71, 12);
    // A machine may refuse connections, for example because of a firewall, while its process answers.
    let (mut out, now) = (Vec::new(), w.now);
    for view in w.processes.values_mut().map(|p| &mut p.view) {
        view.handle(now, Input::ConnectionRefused { name: "n1", probed_at: now }, &mut out);
    }
    w.run(5 * SECOND);
    assert_eq!(w.given_up(), vec![]);
    // Direct and indirect probes between two members are lost, but members queried later get an answer.
    w.cut.extend([(addr(1), addr(0)), (addr(0), addr(1))]);
    w.loss = 0.3;
    w.run(60 * SECOND);
    assert_eq!(w.given_up(), vec![]);
}

#[test]
fn restart_with_clock_set_back_supersedes_former_start() {
    let mut w = World::settled(10, 10);
    for _ in 0..6 {
        w.kill(4);
        w.run(900 * MS);
        w.start(4);
        w.run(1100 * MS);
    }
    w.until_settled(60);
    let before = w.member(4).start;
    w.kill(4);
    w.clock -= 86_400_000;
    w.start(4);
    w.run(3 * SECOND);
    // It supersedes its former start despite its clock.
    assert!(w.member(4).start > before, "{} {before}", w.member(4).start);
    w.until_settled(60);
}

#[test]
fn later_of_two_processes_with_one_name_is_the_member() {
    let mut w = World::settled(11, 8);
    // Another process with the name of member 3, at another address and with a clock that is behind.
    w.clock -= 3_600_000;
    w.start_as(20, "n3", addr(20));
    w.run(40 * SECOND);
    assert!(w.told.iter().any(|t| t.1 == 3 && matches!(t.2, Change::Superseded { .. })));
    assert_eq!(w.processes[&3].view.check_settled(), Err(Unsettled::Inactive));
    let at = |w: &World| {
        let seen = w.processes.iter().filter(|p| *p.0 < 8 && *p.0 != 3);
        let at = seen.map(|p| p.1.view.members().find(|m| m.0.name == "n3").map(|m| (m.0.addr, m.1)));
        at.collect::<std::collections::BTreeSet<_>>()
    };
    assert_eq!(at(&w), [Some((addr(20), true))].into());
    // Once the later process is gone, the former one becomes a member again.
    w.kill(20);
    w.run(60 * SECOND);
    assert_eq!(at(&w), [Some((addr(3), true))].into());
    w.until_settled(60);
}

#[test]
fn settles_after_an_address_is_reused_by_another_name() {
    let mut w = World::settled(12, 8);
    w.kill(6);
    w.start_as(6, "other", addr(6));
    w.until_settled(90);
    for p in w.processes.values() {
        assert!(p.view.members().all(|m| m.0.name != "n6" || !m.1));
    }
}

#[test]
fn member_that_left_is_neither_suspected_nor_contacted() {
    let mut w = World::settled(13, 8);
    w.leave(6);
    w.until_settled(30);
    assert_eq!(w.given_up(), vec![]);
    assert!(w.told.iter().filter(|t| matches!(&t.2, Change::Left(m) if m.name == "n6")).count() >= 6);
}

#[test]
fn datagrams_of_other_fleets_are_dropped_and_counted() {
    use micadyke_membership::frame::{FrameCodec, Head, Kind, MAX_DATAGRAM_BYTES};
    let mut w = World::settled(14, 4);
    let sender = w.member(1).clone();
    let head = Head { kind: Kind::Hello, sender, digest: 0, members: 0 };
    let sound = seal().encode(&head, b"").expect("it fits");
    let with = |fleet: &str, key: &[u8]| {
        FrameCodec::new(fleet, key).and_then(|c| c.encode(&head, b"")).expect("it fits")
    };
    let turned = |i: usize| {
        let mut bytes = sound.clone();
        bytes[i] ^= 1;
        bytes
    };
    // The datagrams and the counters that they increase.
    let mut table = vec![
        (vec![0; MAX_DATAGRAM_BYTES + 1], 0),
        (b"mdy".to_vec(), 0),
        (b"GET / HTTP/1.1\r\nhost: somebody\r\n\r\n".to_vec(), 1),
        (turned(3), 2),
        (with("another", KEY_TEXT), 3),
        (with(FLEET, b"another key of sixteen"), 4),
        (sound[..sound.len() - 1].to_vec(), 4),
        ([sound.as_slice(), b"x"].concat(), 4),
    ];
    table.extend((12..sound.len()).map(|i| (turned(i), 4)));
    for (bytes, place) in table {
        let before = w.processes[&0].view.counts();
        let (mut out, now) = (Vec::new(), w.now);
        let view = &mut w.processes.get_mut(&0).expect("it runs").view;
        view.handle(now, Input::Datagram { from: addr(1), bytes: &bytes }, &mut out);
        let after = view.counts();
        assert_eq!(
            (after.dropped[place], after.taken),
            (before.dropped[place] + 1, before.taken),
            "{bytes:?}"
        );
        assert_eq!(out, vec![]);
    }
    assert!(FrameCodec::new(FLEET, b"short").is_none());
    w.until_settled(10);
}

/// Runs a fleet of `n` through random faults by a seed. Afterwards it must settle without a dead process. Returns the digest
/// of all outputs.
fn script(seed: u64, n: usize, faults: usize) -> u64 {
    let without = std::env::var_os("MICADYKE_FIXED_SUSPICION").map(|_| Feature::Suspicion);
    let mut w = World::settled_without(seed, n, without);
    for _ in 0..faults {
        let (i, j) = (w.lot(n), w.lot(n));
        let runs = |w: &World, i: usize| w.processes.contains_key(&i);
        match w.lot(9) {
            0 if runs(&w, i) && w.processes.len() > 2 => w.kill(i),
            1 if runs(&w, i) && w.processes.len() > 2 => w.leave(i),
            2 if !runs(&w, i) => w.start(i),
            3 => drop(w.cut.insert((addr(i), addr(j)))),
            4 => {
                let cut = w.lot(3) + 1;
                w.partition(|m| usize::from(m % (cut + 1) == 0));
            }
            5 => w.partition(|_| 0),
            6 => (w.loss, w.doubled, w.way) = (0.3, 0.2, (MS, 80 * MS)),
            7 if runs(&w, i) => {
                w.stop(i);
                let span = [300 * MS, 2 * SECOND, 12 * SECOND][w.lot(3)];
                w.run(span);
                w.go_on(i);
            }
            8 if runs(&w, i) => {
                w.clock -= 1_000_000;
                w.kill(i);
                w.start(i);
            }
            _ => {}
        }
        let span = w.lot(4000) as u64 * MS;
        w.run(span);
    }
    (w.loss, w.doubled) = (0.0, 0.0);
    w.cut.clear();
    w.partition(|_| 0);
    w.until_settled(240);
    let books = w.processes.values().map(|p| p.view.sizes());
    assert!(books.into_iter().all(|b| b[0] < n + 2 && b[1] < 4 * n + 20), "seed {seed}");
    w.digest()
}

#[test]
fn settles_after_random_faults() {
    let scripts = std::env::var("MICADYKE_SCRIPTS").ok().and_then(|n| n.parse().ok()).unwrap_or(24);
    let digests = (0..scripts).map(|seed| script(1000 + seed, 5 + (seed as usize % 6), 12));
    println!("digest of {scripts} scripts: {:016x}", digests.fold(0u64, |all, d| all.rotate_left(1) ^ d));
}

#[test]
fn server_reports_reach_all_members_and_expire() {
    use micadyke_membership::server_report::{Finding, MAX_AGE, MAX_REPORTS, ReportBoard, ServerReport};
    for (loss, n) in [(0.0, 40), (0.2, 40)] {
        let mut w = World::settled(15, n);
        w.loss = loss;
        let drain = |version| ServerReport::Drain { server: "s-1".into(), version };
        w.tell(3, &drain(7));
        w.run(3 * SECOND);
        w.tell(9, &drain(6));
        w.run(SECOND);
        let heard: Vec<_> = w
            .told
            .iter()
            .filter_map(|t| match &t.2 {
                Change::ServerReported { report, age } => Some((t.1, report.clone(), *age)),
                _ => None,
            })
            .collect();
        // Each member gets the report once, none gets the older version, and the age is plausible.
        assert_eq!(heard.len(), n - 1, "{loss}");
        assert!(heard.iter().all(|h| h.1 == drain(7) && h.2 < 3 * SECOND));
        println!("digest of news with {loss} lost: {:016x}", w.digest());
    }
    // The report board is bounded, accepts a finding again after a while, and rejects old reports.
    let found = |n: usize| ServerReport::Found { server: format!("s-{n}"), what: Finding::Silent };
    let mut b = ReportBoard::default();
    assert!((0..2 * MAX_REPORTS).all(|n| b.insert(20 * SECOND, found(n), 0)) && b.len() == MAX_REPORTS);
    assert!(
        !b.insert(20 * SECOND, found(2 * MAX_REPORTS - 1), 0)
            && b.insert(22 * SECOND, found(2 * MAX_REPORTS - 1), 0)
    );
    assert!(
        !b.insert(22 * SECOND, found(1), MAX_AGE + 1)
            && !b.insert(22 * SECOND, ServerReport::Drain { server: String::new(), version: 1 }, 0)
    );
    assert!(b.due_for_forwarding(22 * SECOND, 3, 3).iter().all(|n| n.1 <= 2000));
    assert!(b.due_for_forwarding(40 * SECOND, 3, 3).is_empty());
}

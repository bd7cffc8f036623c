//! The directory tells no part for the whole and loses nothing for longer than its bound, whatever happens to members and
//! net; and ends what is to end, nothing else. In virtual time, with an oracle that knows all books.

mod world;

use micadyke_deadline::{Deadline, FixedDeadline, OpenQuery};
use micadyke_directory::*;
use std::cell::RefCell;
use std::rc::Rc;
use world::*;

/// Seeds of the scripts to play: a dozen, and three in which members are given up while questions about what they play are
/// out; or as many as `MICADYKE_SCRIPTS` says.
fn seeds() -> Vec<u64> {
    match std::env::var("MICADYKE_SCRIPTS") {
        Ok(number) => (0..number.parse().expect("MICADYKE_SCRIPTS holds a number")).collect(),
        Err(_) => (0..12).chain([14, 28, 41]).collect(),
    }
}

#[test]
fn scripts_of_faults_by_seed() {
    let (mut whole, mut partial, mut ended) = (0, 0, 0);
    for seed in seeds() {
        let w = script(seed, None);
        assert_eq!(w.wrong, Vec::<String>::new(), "seed {seed}");
        whole += w.whole;
        partial += w.partial;
        ended += w.ended;
    }
    // The scripts are no idle ones, and most is answered whole although members come and go.
    println!("whole {whole}, partial {partial}, ended {ended}");
    assert!(whole > partial && partial > 500 && ended > 200, "{whole} {partial} {ended}");
}

#[test]
fn each_check_finds_a_directory_broken_on_purpose() {
    let table = [
        (Feature::Cover, "missing"),
        (Feature::Judge, "called whole"),
        (Feature::Repair, "the copy of"),
        (Feature::Exact, "was over long ago"),
        (Feature::Lift, "not to end"),
        (Feature::Lost, "still"),
        (Feature::Gossip, "withdrawals differ"),
    ];
    for (feature, word) in table {
        let found = (0..12).any(|seed| script(seed, Some(feature)).wrong.iter().any(|w| w.contains(word)));
        assert!(found, "{feature:?} is not missed");
    }
}

/// A beat that was long on its way: since it left, its member booked a session whose word was lost.
fn old_beat(without: Option<Feature>) -> Vec<String> {
    let mut w = World::new(1, 3, without);
    w.run(20 * SECOND);
    // All that 0 says from now on takes 20 s.
    (1..3).for_each(|n| {
        w.slow.insert((0, n), 20 * SECOND);
    });
    w.run(2 * SECOND);
    // Of its session no word gets through at all, while its beats of before arrive.
    w.loss = 1.0;
    let session = w.any_session();
    let key = Key::Title(session.title.clone());
    w.session(0, session);
    w.run(2 * SECOND);
    w.loss = 0.0;
    for _ in 0..20 {
        w.run(SECOND);
        w.ask(1, key.clone());
        w.ask(2, key.clone());
    }
    w.run(SECOND);
    w.wrong
}

#[test]
fn a_word_is_as_old_as_its_echo_says() {
    assert_eq!(old_beat(None), Vec::<String>::new());
    assert_ne!(old_beat(Some(Feature::Age)), Vec::<String>::new());
}

#[test]
fn who_is_given_up_while_a_question_is_out_may_play_on() {
    let mut w = World::new(5, 7, None);
    w.run(10 * SECOND);
    let owned = |w: &World, key: &Key| w.processes[&0].directory.owners(key).contains(&name(0));
    let number = (0..5).find(|t| !owned(&w, &title(*t))).expect("0 owns a part of them");
    w.session(4, Session::new(&format!("t{number}"), "v1", "s1"));
    w.run(10 * SECOND);
    // The asker is cut off and gives the others up 6 s later, the owners it has asked among them.
    w.cut(0, true);
    w.run(5 * SECOND);
    let partial = w.partial;
    for _ in 0..100 {
        w.ask(0, title(number));
        w.run(20 * MS);
    }
    assert_eq!(w.wrong, Vec::<String>::new());
    assert!(w.partial > partial, "no question was out meanwhile");
}

fn waits(w: &World, n: u64, what: &Key) -> Vec<String> {
    let progress = w.processes[&n].directory.progress(what).unwrap();
    assert_eq!(progress.ended_everywhere, progress.waits.is_empty());
    progress.waits.iter().map(|w| w.to_string()).collect()
}

#[test]
fn a_withdrawal_is_open_while_one_is_cut_off_and_while_it_is_given_up() {
    let mut w = World::new(3, 5, None);
    w.run(10 * SECOND);
    for n in 0..5 {
        let viewer = format!("v{n}");
        w.session(n, Session::new("t1", &viewer, "s1"));
    }
    w.cut(4, true);
    w.withdraw(0, title(1), 3600 * SECOND);
    w.run(3 * SECOND);
    assert_eq!(waits(&w, 0, &title(1)), ["n004 has not answered"]);
    w.run(10 * SECOND);
    let given_up = ["start 1 of n004 was given up, its sessions are not accounted for"];
    assert_eq!(waits(&w, 0, &title(1)), given_up);
    // Who follows it dies; another withdraws it anew, having seen nothing of the one that is cut off.
    w.crash(0);
    w.start(0);
    w.run(10 * SECOND);
    w.withdraw(0, title(1), 3600 * SECOND);
    w.run(5 * SECOND);
    assert!(waits(&w, 0, &title(1)).iter().any(|w| w.contains("n004")));
    // What starts later ends at once, and does not open it again where it had ended.
    w.cut(4, false);
    w.run(15 * SECOND);
    assert_eq!(waits(&w, 0, &title(1)), Vec::<String>::new());
    assert!(w.ended >= 5);
    w.start(5);
    w.run(10 * SECOND);
    let before = w.ended;
    w.session(5, Session::new("t1", "v9", "s2"));
    w.run(SECOND);
    assert_eq!((w.ended, w.wrong.clone()), (before + 1, vec![]));
    w.lift(2, title(1));
    w.run(5 * SECOND);
    w.session(5, Session::new("t1", "v9", "s2"));
    w.run(5 * SECOND);
    assert_eq!((w.ended, w.wrong), (before + 1, vec![]));
}

#[test]
fn many_that_ask_at_once_are_no_outage() {
    let mut w = World::new(4, 24, None);
    w.run(20 * SECOND);
    for n in 0..24 {
        for s in 0..10 {
            w.session(n, Session::new("t1", &format!("v{n}-{s}"), &format!("s{s}")));
        }
    }
    w.run(20 * SECOND);
    // All ask for one title, 50 times a second each, for 4 s: 1,200 questions a second at two owners.
    for _ in 0..200 {
        (0..24).for_each(|n| w.ask(n, title(1)));
        w.run(20 * MS);
    }
    let (mut busy, mut sent) = (0, 0);
    for p in w.processes.values() {
        let counts = p.directory.counts();
        (busy, sent) = (busy + counts.busy, sent.max(counts.sent_bytes));
        // Beats went on.
        assert_eq!(counts.held_back[2], 0);
    }
    assert!(busy > 300, "{busy}");
    // 32 kB/s over 44 s, and a burst of 16 KiB in each of four lanes.
    assert!(sent < 44 * 32_000 + 4 * (16 << 10), "{sent}");
    w.run(SECOND);
    let partial = w.partial;
    assert!(partial > 300, "{partial}");
    // A breath later all is answered whole.
    w.run(5 * SECOND);
    let before = w.whole;
    w.ask(3, title(1));
    w.run(SECOND);
    assert_eq!((w.whole - before, w.partial, w.wrong), (1, partial, vec![]));
}

/// A deadline that writes down what it is told.
struct Written(Rc<RefCell<Vec<String>>>);

impl Deadline for Written {
    fn wait_until(&mut self, now: Nanos, open: &OpenQuery) -> Nanos {
        FixedDeadline(100 * MS).wait_until(now, open)
    }

    fn record_answer(&mut self, kind: u8, _: &str, _: &str, took: Nanos, own: Nanos) {
        self.0.borrow_mut().push(format!("{kind} {} {}", took / MS, own / MS));
    }

    fn record_missing(&mut self, kind: u8, name: &str, _: &str, _: Nanos) {
        self.0.borrow_mut().push(format!("{kind} missed {name}"));
    }
}

#[test]
fn late_answers_are_learned_from_and_a_late_loop_is_told() {
    let told = Rc::new(RefCell::new(Vec::new()));
    let mut asker = Directory::new(Settings::new("a", 1), Box::new(Written(told.clone())), 0);
    let others = ["b", "c"].map(|n| Directory::new(Settings::new(n, 1), Box::new(FixedDeadline(MS)), 0));
    let [mut b, mut c] = others;
    let (mut out, mut theirs) = (Vec::new(), Vec::new());
    for d in [&mut asker, &mut b, &mut c] {
        for name in ["a", "b", "c"] {
            let up = Seen::Up { name: name.into(), start: 1, zone: String::new() };
            d.handle(0, Input::View(up), &mut theirs);
        }
        d.handle(SECOND, Input::Wake, &mut theirs);
    }
    let owned = |t: &u64| asker.owners(&title(*t)) == ["b", "c"];
    let key = title((0..).find(owned).unwrap());
    theirs.clear();
    asker.ask(SECOND, key, SECOND + 300 * MS, &mut out).unwrap();
    let asked: Vec<Vec<u8>> = out
        .drain(..)
        .filter_map(|o| match o {
            Output::Send { bytes, .. } => Some(bytes),
            _ => None,
        })
        .collect();
    b.handle(SECOND, Input::Message { from: "a", bytes: asked.last().unwrap() }, &mut theirs);
    let answer = theirs.drain(..).find_map(|o| match o {
        Output::Send { bytes, .. } => heard(&bytes).map(|_| bytes),
        _ => None,
    });
    // The loop stood still, and the answer comes when the question is over.
    asker.handle(SECOND + 500 * MS, Input::Wake, &mut out);
    assert!(out.iter().any(|o| matches!(o, Output::Answered { answer: Answer::Partial(_), .. })));
    asker.handle(SECOND + 600 * MS, Input::Message { from: "b", bytes: &answer.unwrap() }, &mut out);
    // From now on the loop is in time, so who is silent is so itself.
    while asker.wake_at() < 30 * SECOND {
        asker.handle(asker.wake_at(), Input::Wake, &mut out);
    }
    let told = told.borrow();
    assert_eq!(told.len(), 2, "{told:?}");
    assert!(told[0].starts_with("0 600 ") && !told[0].ends_with(" 0"), "{told:?}");
    assert_eq!(told[1], "0 missed c");
}

#[test]
fn what_no_member_says_is_dropped() {
    let mut random = Random(9);
    let mut d = Directory::new(Settings::new("a", 1), Box::new(FixedDeadline(MS)), 0);
    let up = Seen::Up { name: "b".into(), start: 1, zone: String::new() };
    let mut out = Vec::new();
    d.handle(0, Input::View(up), &mut out);
    for round in 0..20_000u64 {
        let length = random.below(80);
        let mut bytes: Vec<u8> = (0..length).map(|_| random.next() as u8).collect();
        // Half of them look like a member's.
        if random.chance(0.5) {
            bytes.splice(0..0, [1, random.below(12) as u8]);
        }
        d.handle(round * MS, Input::Message { from: "b", bytes: &bytes }, &mut out);
    }
    let unknown = d.counts().dropped;
    d.handle(30 * SECOND, Input::Message { from: "c", bytes: &[1] }, &mut out);
    assert_eq!(d.counts().dropped, unknown + 1);
    assert!(d.books()[1] < 20_000 && d.books()[3] <= 256);
}

#[test]
fn errors_say_what_can_be_done() {
    let key = Key::Server("s1".into());
    let mut d = Directory::new(Settings::new("a", 1), Box::new(FixedDeadline(MS)), 0);
    let mut out = Vec::new();
    assert_eq!(d.withdraw(0, key.clone(), SECOND, &mut out), Err(Error::Kind(key.clone())));
    assert_eq!(d.withdraw(0, title(1), MS, &mut out), Err(Error::Span(1)));
    assert_eq!(d.lift(0, title(1), &mut out), Err(Error::Unknown(title(1))));
    // One member's withdrawals are bounded.
    for t in 0..64 {
        d.withdraw(0, title(t), SECOND, &mut out).unwrap();
    }
    let full = d.withdraw(0, title(64), SECOND, &mut out).unwrap_err();
    assert_eq!(full, Error::Full { held: 64 });
    d.handle(2 * SECOND, Input::Wake, &mut out);
    d.withdraw(2 * SECOND, title(64), SECOND, &mut out).unwrap();
    let all = [
        Error::Open { open: 64 },
        Error::Rate,
        Error::Kind(key),
        Error::Span(1),
        full,
        Error::Unknown(title(1)),
    ];
    let advice: std::collections::BTreeSet<&str> = all.iter().map(|e| e.advice()).collect();
    assert_eq!(advice.len(), all.len());
    // The operator's page says the same.
    let page = include_str!("../../../docs/operate/directory.md");
    for error in all {
        assert!(page.contains(&format!("| `{error}` | {} |", error.advice())), "{error}");
    }
}

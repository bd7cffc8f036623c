//! The directory waits by what it learned: through questions as they run, in virtual time. An asker and the two owners of a
//! key, each of which knows its own book alone: a whole answer takes both.

use micadyke_deadline::{
    AskedMember, Deadline, Feature, FixedDeadline, LearnedDeadline, OpenQuery, Settings as Learns, Worth,
};
use micadyke_directory::*;
use std::cell::RefCell;
use std::rc::Rc;

/// From one question to the next, and the patience.
const EVERY: Nanos = 1_000 * MS;
const PATIENCE: Nanos = 400 * MS;

struct Trio {
    asker: Directory,
    owners: [Directory; 2],
    key: Key,
    now: Nanos,
    /// The asker's loop stands still from then to then, after each question.
    stall: Option<(Nanos, Nanos)>,
    /// And is late by so much whenever it is due.
    grain: Nanos,
    /// Words of the owners that no question asked for reach the asker.
    beats: bool,
    random: u64,
}

impl Trio {
    fn new(deadline: Box<dyn Deadline>) -> Self {
        let mut asker = Directory::new(Settings::new("a", 1), deadline, 0);
        let owner = |name, zone: &str| {
            Directory::new(
                Settings { zone: zone.into(), ..Settings::new(name, 1) },
                Box::new(FixedDeadline(MS)),
                0,
            )
        };
        let mut owners = [owner("b", ""), owner("c", "east")];
        let mut out = Vec::new();
        for d in owners.iter_mut().chain([&mut asker]) {
            for name in ["a", "b", "c"] {
                let up = Seen::Up { name: name.into(), start: 1, zone: String::new() };
                d.handle(0, Input::View(up), &mut out);
            }
            d.handle(EVERY, Input::Wake, &mut out);
        }
        let title = (0..).map(|n| Key::Title(format!("t{n}"))).find(|k| asker.owners(k) == ["b", "c"]);
        let key = title.expect("one in nine");
        Trio { asker, owners, key, now: EVERY, stall: None, grain: 0, beats: true, random: 37 }
    }

    fn learned(worth: Worth, without: Option<Feature>) -> Self {
        let settings = Learns { default_worth: worth, ..Learns::default() };
        Trio::new(Box::new(LearnedDeadline::new(settings).expect("sound").without(without)))
    }

    fn chance(&mut self, one_in: u64) -> bool {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33).is_multiple_of(one_in)
    }

    /// The owners' words at this time: answers to `asked`, and beats.
    fn owner(&mut self, n: usize, asked: Option<&[u8]>) -> Vec<Vec<u8>> {
        let mut out = Vec::new();
        match asked {
            Some(bytes) => self.owners[n].handle(self.now, Input::Message { from: "a", bytes }, &mut out),
            None => self.owners[n].handle(self.now, Input::Wake, &mut out),
        }
        let to_asker = |o| match o {
            Output::Send { to, bytes } if to == "a" => Some(bytes),
            _ => None,
        };
        out.into_iter().filter_map(to_asker).filter(|b| heard(b).is_some() == asked.is_some()).collect()
    }

    /// Asks; the owners' answers come after so many milliseconds, or never; `seen` at its time as well. The answer, when the
    /// next question is due.
    fn ask(&mut self, took: [Option<u64>; 2], seen: &[(u64, Seen)]) -> Report {
        self.now += EVERY;
        let asked_at = self.now;
        if self.beats {
            for n in 0..2 {
                for bytes in self.owner(n, None) {
                    let from = ["b", "c"][n];
                    self.asker.handle(asked_at, Input::Message { from, bytes: &bytes }, &mut Vec::new());
                }
            }
        }
        let mut out = Vec::new();
        self.asker.ask(asked_at, self.key.clone(), asked_at + PATIENCE, &mut out).expect("there is room");
        let asks: Vec<(String, Vec<u8>)> = out
            .drain(..)
            .filter_map(|o| match o {
                Output::Send { to, bytes } => Some((to, bytes)),
                _ => None,
            })
            .collect();
        // What came at what time; who is told of the view comes first.
        let mut events: Vec<(Nanos, usize, Vec<u8>)> = Vec::new();
        for (n, name) in ["b", "c"].into_iter().enumerate() {
            // Beats may go with the question.
            for (_, bytes) in asks.iter().filter(|a| a.0 == name) {
                let answers = self.owner(n, Some(bytes)).into_iter();
                events.extend(answers.filter_map(|answer| Some((asked_at + took[n]? * MS, n, answer))));
            }
        }
        let left = seen.iter().filter(|(_, s)| matches!(s, Seen::Left(_))).count();
        let mut seen: Vec<(Nanos, Seen)> = seen.iter().map(|(t, s)| (asked_at + t * MS, s.clone())).collect();
        events.sort_by_key(|e| e.0);
        events.reverse();
        seen.reverse();
        let end = asked_at + EVERY - MS;
        loop {
            let event = events.last().map_or(Nanos::MAX, |e| e.0);
            let change = seen.last().map_or(Nanos::MAX, |s| s.0);
            let wake = self.asker.wake_at().saturating_add(self.grain);
            let mut at = event.min(change).min(wake);
            if at > end {
                break;
            }
            if let Some((from, to)) = self.stall.map(|(f, t)| (asked_at + f, asked_at + t))
                && (from..to).contains(&at)
            {
                at = to;
            }
            if change <= event && change <= at {
                let seen = seen.pop().expect("as above").1;
                self.asker.handle(at, Input::View(seen), &mut out);
            } else if event <= at {
                let (_, n, bytes) = events.pop().expect("as above");
                let from = ["b", "c"][n];
                self.asker.handle(at, Input::Message { from, bytes: &bytes }, &mut out);
            } else {
                self.asker.handle(at, Input::Wake, &mut out);
            }
        }
        let mut answers = out.into_iter().filter_map(|o| match o {
            Output::Answered { answer, .. } => Some(answer),
            _ => None,
        });
        let answer = answers.next().expect("it is over at the limit");
        let report = answer.report().clone();
        // A partial answer is never a whole one: who was given up meanwhile may play on, and its book is not accounted for.
        assert_eq!(matches!(answer, Answer::Whole(_)), report.answered.len() + left == 2, "{report:?}");
        assert!(report.deadline <= asked_at + PATIENCE, "{report:?}");
        report
    }

    /// How long it waits for the second owner, in milliseconds.
    fn wait(&mut self) -> Nanos {
        let report = self.ask([Some(5), None], &[]);
        assert_eq!((report.missing(), report.answered.len()), (vec!["c"], 1));
        assert!((report.weight() - 2.0 / 3.0).abs() < 1e-9);
        (report.deadline - report.asked_at) / MS
    }
}

fn worth(price: f64) -> Worth {
    Worth { price, ..Worth::default() }
}

/// The second owner is late in every third question: with late answers learned from it is waited for; else the tail is cut
/// off where the wait ended, and the deadline creeps down to what is left.
fn late(without: Option<Feature>) -> bool {
    let mut t = Trio::learned(worth(0.0005), without);
    let mut whole = 0;
    for n in 0..100 {
        let second = if t.chance(3) { 300 } else { 10 };
        let report = t.ask([Some(10), Some(second)], &[]);
        whole += usize::from(n >= 50 && report.missing().is_empty());
    }
    whole > 45
}

/// The own loop stands still for 300 ms in thirty questions, and after the end of thirty more: the owners are as quick as
/// before.
fn own(without: Option<Feature>) -> bool {
    let mut t = Trio::learned(worth(0.0005), without);
    (0..60).for_each(|_| drop(t.ask([Some(10), Some(10)], &[])));
    let before = t.wait();
    t.stall = Some((2 * MS, 302 * MS));
    (0..30).for_each(|_| drop(t.ask([Some(10), Some(10)], &[])));
    t.stall = Some((100 * MS, 350 * MS));
    (0..30).for_each(|_| drop(t.ask([Some(10), Some(120)], &[])));
    t.stall = None;
    t.wait() <= before + 40
}

/// An owner that the view suspects is waited for by its chance.
fn lives(without: Option<Feature>) -> bool {
    let mut t = Trio::learned(worth(0.003), without);
    (0..60).for_each(|_| drop(t.ask([Some(5), Some(60)], &[])));
    let full = t.wait();
    // Twelve that were suspected were given up before.
    let (suspected, down) = (Seen::Suspected("c".into()), Seen::Down("c".into()));
    let up = Seen::Up { name: "c".into(), start: 1, zone: String::new() };
    for _ in 0..12 {
        t.ask([Some(5), Some(60)], &[(700, suspected.clone()), (701, down.clone()), (702, up.clone())]);
    }
    // Its map of the owners has settled again.
    t.ask([Some(5), Some(60)], &[]);
    let report = t.ask([Some(5), None], &[(6, suspected)]);
    let short = (report.deadline - report.asked_at) / MS;
    full > 60 && short < 20
}

#[test]
fn each_point_holds_and_fails_without_the_part_that_is_there_for_it() {
    type Holds = fn(Option<Feature>) -> bool;
    let points: [(Holds, Feature); 3] =
        [(late, Feature::Late), (own, Feature::OwnDelay), (lives, Feature::Liveness)];
    let mut wrong = Vec::new();
    for (holds, part) in points {
        if !holds(None) {
            wrong.push(format!("{part:?} does not hold"));
        }
        if holds(Some(part)) {
            wrong.push(format!("{part:?}: holds without"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}

#[test]
fn a_timer_that_is_late_by_its_grain_is_no_late_loop() {
    let mut t = Trio::learned(worth(0.0005), None);
    t.grain = 3 * MS / 2;
    (0..60).for_each(|_| drop(t.ask([Some(10), Some(300)], &[])));
    let report = t.ask([Some(10), Some(300)], &[]);
    assert_eq!((report.ended, report.missing().len()), (Why::Covered, 0));
}

#[test]
fn each_end_is_told_with_its_reason() {
    let down = Seen::Down("c".into());
    let suspected = Seen::Suspected("c".into());
    // What the owners take, changes of the view, how it ends, who is missing, the weight, the end at the latest.
    type Case = ([Option<u64>; 2], Vec<(u64, Seen)>, Why, Vec<&'static str>, f64, u64);
    let cases: [Case; 7] = [
        ([Some(5), Some(9)], vec![], Why::Covered, vec![], 1.0, 9),
        ([Some(5), None], vec![], Why::NotWorth, vec!["c"], 2.0 / 3.0, 390),
        ([None, None], vec![], Why::NotWorth, vec!["b", "c"], 1.0 / 3.0, 399),
        // Who is given up is not waited for, and not accounted for; who left is no part of the whole.
        ([Some(5), None], vec![(20, down.clone())], Why::Gone, vec![], 2.0 / 3.0, 20),
        ([None, None], vec![(20, down), (21, Seen::Left("b".into()))], Why::Gone, vec![], 1.0 / 2.0, 21),
        ([Some(5), None], vec![(20, Seen::Left("c".into()))], Why::Covered, vec![], 1.0, 20),
        ([Some(5), None], vec![(20, suspected)], Why::NotWorth, vec!["c"], 2.0 / 3.0, 200),
    ];
    for (took, seen, why, missing, weight, latest) in cases {
        let mut t = Trio::learned(worth(0.001), None);
        (0..20).for_each(|_| drop(t.ask([Some(5), Some(50)], &[])));
        let report = t.ask(took, &seen);
        let end = (report.ended_at - report.asked_at) / MS;
        assert_eq!((report.ended, report.missing()), (why, missing), "{took:?} {seen:?}");
        assert!((report.weight() - weight).abs() < 1e-9 && end <= latest, "{end} {report:?}");
    }
    // What is missing is not worth it as soon as the other is there, at its very arrival.
    let most = Worth { curve: vec![(0.0, 0.0), (0.6, 0.9), (1.0, 1.0)], ..worth(0.001) };
    let mut t = Trio::learned(most, None);
    (0..60).for_each(|_| drop(t.ask([Some(50), Some(200)], &[])));
    let report = t.ask([Some(50), Some(200)], &[]);
    assert_eq!((report.ended, report.ended_at - report.asked_at), (Why::NotWorth, 50 * MS));
    // Patience, where waiting is worth more than it lasts; and a fixed wait as it was.
    let mut t = Trio::learned(worth(1e-6), None);
    (0..60).for_each(|_| drop(t.ask([Some(5), Some(395)], &[])));
    let report = t.ask([Some(5), None], &[]);
    assert_eq!((report.ended, report.ended_at - report.asked_at), (Why::Patience, PATIENCE));
    let report = Trio::new(Box::new(FixedDeadline(150 * MS))).ask([Some(5), Some(160)], &[]);
    assert_eq!((report.ended, report.ended_at - report.asked_at), (Why::NotWorth, 150 * MS));
}

/// A deadline that shows what it is told.
#[derive(Clone, Default)]
struct Shown {
    open: Rc<RefCell<Vec<AskedMember>>>,
    arrived: Rc<RefCell<usize>>,
    missed: Rc<RefCell<usize>>,
}

impl Deadline for Shown {
    fn wait_until(&mut self, now: Nanos, open: &OpenQuery) -> Nanos {
        *self.open.borrow_mut() = open.members.clone();
        FixedDeadline(100 * MS).wait_until(now, open)
    }

    fn record_answer(&mut self, _: u8, _: &str, _: &str, _: Nanos, _: Nanos) {
        *self.arrived.borrow_mut() += 1;
    }

    fn record_missing(&mut self, _: u8, _: &str, _: &str, _: Nanos) {
        *self.missed.borrow_mut() += 1;
    }
}

#[test]
fn who_never_answered_is_told_unless_the_own_loop_was_late_or_another_start() {
    // How long the loop stands still after the question, whether the others know another start since; who was missed.
    for (still, another, missed) in [(0, false, 2), (MS, false, 2), (5 * EVERY, false, 0), (0, true, 0)] {
        let shown = Shown::default();
        let mut t = Trio::new(Box::new(shown.clone()));
        t.asker.ask(t.now, t.key.clone(), t.now + PATIENCE, &mut Vec::new()).expect("there is room");
        if another {
            let up = Seen::Up { name: "a".into(), start: 2, zone: String::new() };
            t.asker.handle(t.now, Input::View(up), &mut Vec::new());
        }
        let end = t.now + 12 * EVERY;
        t.now += still;
        while t.now < end {
            t.asker.handle(t.now, Input::Wake, &mut Vec::new());
            t.now = t.now.max(t.asker.wake_at());
        }
        assert_eq!(*shown.missed.borrow(), missed, "{still} {another}");
    }
}

#[test]
fn a_deadline_is_told_zones_chances_and_what_each_answer_held() {
    let shown = Shown::default();
    let mut t = Trio::new(Box::new(shown.clone()));
    let told = |name: &str| {
        let open = shown.open.borrow();
        open.iter().find(|w| w.name == name).map(|w| (w.zone.clone(), (w.weight * 12.0).round(), w.liveness))
    };
    let owners = || (told("b"), told("c"));
    let of = |zone: &str, weight, lives| Some((zone.to_owned(), weight, lives));
    // c says its zone in its beats. What is known here from the start counts in the whole, beside two books of two owners.
    (0..4).for_each(|_| drop(t.ask([None, None], &[])));
    assert_eq!(owners(), (of("", 4.0, 1.0), of("east", 4.0, 1.0)));
    assert_eq!(told("a").map(|a| a.1), Some(4.0));
    // b answers with its own book; all the rest stands to c.
    t.ask([Some(5), None], &[(1, Seen::Suspected("c".into())), (20, Seen::Cleared("c".into()))]);
    assert_eq!(owners(), (of("", 4.0, 1.0), of("east", 4.0, 1.0)));
    t.ask([Some(5), None], &[(6, Seen::Suspected("c".into()))]);
    // One that was suspected spoke again: two in three.
    assert_eq!(told("c"), of("east", 4.0, 2.0 / 3.0));
    // One that sees other members answers at once with nothing: all stands to b.
    let up = Seen::Up { name: "d".into(), start: 1, zone: String::new() };
    t.owners[1].handle(t.now, Input::View(up), &mut Vec::new());
    t.ask([None, Some(5)], &[]);
    assert_eq!(owners(), (of("", 8.0, 1.0), of("east", 0.0, 2.0 / 3.0)));
    t.ask([None, None], &[(50, Seen::Down("c".into()))]);
    assert_eq!((told("a").map(|a| a.1), told("c")), (Some(6.0), None));
    // Of b nothing was heard for three rounds: it lives by the chance of two that were doubted.
    t.beats = false;
    let until = t.now + 6 * EVERY;
    while t.now < until {
        t.now = t.now.max(t.asker.wake_at());
        t.asker.handle(t.now, Input::Wake, &mut Vec::new());
    }
    let owned = t.asker.owners(&t.key);
    assert!(owned.contains(&"b".to_owned()));
    t.asker.ask(t.now, t.key.clone(), t.now + PATIENCE, &mut Vec::new()).expect("there is room");
    assert_eq!(told("b").map(|b| b.2), Some(0.5));
}

#[test]
fn settings_are_checked_and_say_what_they_do_not_promise() {
    use micadyke_directory::settings::read;
    // Members of the fleet, settings, and words of the fault or of what is not promised; none: nothing beside the bound.
    let learns = |what: &str| format!("(directory (deadline {what}))");
    let table = [
        (r#"(directory (zone ""))"#.to_owned(), Err("zone: a name of 1 to 32 bytes")),
        (format!("(directory (zone \"{}\"))", "z".repeat(33)), Err("zone: a name of 1 to 32 bytes")),
        (learns("(kind \"titel\")"), Err("none of title, viewer, server")),
        (learns("(usual (curve 0% 0% 50% 100%))"), Err("end it at completeness 1")),
        (learns("(usual (price 0))"), Err("by 'patience' in milliseconds")),
        (learns("(usual (most 11s))"), Err("most")),
        ("(directory) (directory)".to_owned(), Err("one form 'directory' is due at most")),
        ("(directory)".to_owned(), Ok("waited for 150 ms whoever is slow")),
        ("(directory (patience 50ms))".to_owned(), Ok("waited for 50 ms whoever is slow")),
        ("(directory (rate 65kB/s))".to_owned(), Ok("more than membership's 64")),
        ("(directory (ask \"0.0.0.0:1\"))".to_owned(), Ok("keep it on loopback")),
        (learns("(usual (first 300ms) (most 200ms))"), Ok("title: an answer takes 300 ms by 'first'")),
        (
            learns("(kind \"viewer\" (price 0.1))"),
            Ok("viewer: at this price a whole answer is worth nothing after 10 ms, and one"),
        ),
        (
            learns("(kind \"server\" (price 0.01))"),
            Ok(
                "server: at this price a whole answer is worth nothing after 100 ms: no question takes its 400 ms",
            ),
        ),
        (learns(""), Ok("")),
    ];
    for (text, due) in table {
        match (read(&text, "n1.sexp"), due) {
            (Err(faults), Err(word)) => {
                assert!(faults.iter().any(|f| f.to_string().contains(word)), "{text}: {faults:?}")
            }
            (Ok(Some(terms)), Ok(word)) => {
                let notes = terms.not_promised(300, 64_000);
                let lag = if terms.rate == 32_000 { "16 s" } else { "8 s" };
                assert!(notes[0].contains(&format!("younger than {lag} at 300 members")), "{notes:?}");
                assert_eq!(notes.len() > 1, !word.is_empty(), "{text}: {notes:?}");
                assert!(notes.iter().any(|n| n.contains(word)), "{text}: {notes:?}");
            }
            (read, due) => panic!("{text}: {read:?}, not {due:?}"),
        }
    }
    // What is said is what a directory of that size keeps.
    let mut d = Directory::new(Settings::new("n0", 1), Box::new(FixedDeadline(MS)), 0);
    for n in 1..300 {
        let up = Seen::Up { name: format!("n{n}"), start: 1, zone: String::new() };
        d.handle(0, Input::View(up), &mut Vec::new());
    }
    assert!((15 * EVERY..16 * EVERY + EVERY / 2).contains(&d.bound()), "{}", d.bound());
}

#[test]
fn who_has_too_much_to_do_teaches_nothing() {
    let shown = Shown::default();
    let mut t = Trio::new(Box::new(shown.clone()));
    let mut out = Vec::new();
    t.asker.ask(t.now, t.key.clone(), t.now + PATIENCE, &mut out).expect("there is room");
    let to_b = |o| match o {
        Output::Send { to, bytes } if to == "b" => Some(bytes),
        _ => None,
    };
    let asked: Vec<Vec<u8>> = out.into_iter().filter_map(to_b).collect();
    // Once its part of the rate is used up it says so, which is no answer's page.
    t.owner(0, None);
    let mut said = Vec::new();
    let busy = (0..3_000).find_map(|_| {
        said.clear();
        t.now += MS / 10;
        let asked = Input::Message { from: "a", bytes: asked.first()? };
        t.owners[0].handle(t.now, asked, &mut said);
        said.iter().find_map(|o| match o {
            Output::Send { bytes, .. } if heard(bytes).is_none() => Some(bytes.clone()),
            _ => None,
        })
    });
    let mut out = Vec::new();
    let at = t.now + 5 * MS;
    t.asker.handle(at, Input::Message { from: "b", bytes: &busy.expect("its rate is bounded") }, &mut out);
    t.asker.handle(at + PATIENCE, Input::Wake, &mut out);
    let Some(Output::Answered { answer, .. }) = out.iter().find(|o| matches!(o, Output::Answered { .. }))
    else {
        panic!("it is over at the limit")
    };
    assert_eq!((answer.report().busy.as_slice(), *shown.arrived.borrow()), (["b".to_owned()].as_slice(), 0));
}

//! Rules one by one, each beside the same with that rule out; and properties of comparisons.

use micadyke_directory::Key;
use micadyke_shards::compare::{Answer, Kind, Side, Verdict, Why, compare};
use micadyke_shards::index::{Book, Index, Write};
use micadyke_shards::keep::{Epoch, Keeper, Lease, Terms, Word};
use micadyke_shards::map::{Map, Owner, Part};
use micadyke_shards::split::{Mover, Report, Rules, What};
use micadyke_shards::{Feature, Range};
use proptest::prelude::*;
use std::collections::BTreeMap;

const TERMS: Terms = Terms { fronts: 3, serve: 1_000, drift: 0 };

fn starts() -> BTreeMap<String, u64> {
    (0..3).map(|n| (n.to_string(), 0)).collect()
}

/// Delivers all words among those that are `up`, in order.
fn deliver(fleet: &mut [Keeper], up: &[usize], now: u64, from: usize, words: Vec<(String, Word)>) {
    let mut under_way: Vec<_> = words.into_iter().map(|(to, word)| (from, to, word)).collect();
    while !under_way.is_empty() {
        let (from, to, word) = under_way.remove(0);
        let to: usize = to.parse().expect("a number");
        if up.contains(&to) {
            let more = fleet[to].handle(now, &from.to_string(), word);
            under_way.extend(more.into_iter().map(|(next, word)| (to, next, word)));
        }
    }
}

fn leads(fleet: &mut [Keeper], up: &[usize], now: u64, n: usize) {
    for _ in 0..2 {
        let epoch = Epoch { number: 9 - n as u64, leader: n.to_string(), start: 0 };
        let words = fleet[n].lead(now, &Lease { epoch, until: now + 1_000 }, &starts());
        deliver(fleet, up, now, n, words);
    }
}

fn moves(fleet: &mut [Keeper], up: &[usize], now: u64, n: usize, owner: &str) {
    let Some(map) = fleet[n].leads(now).cloned() else { return };
    let part = Part::new(Range::RING, vec![Owner::new(owner, 0)]);
    let words = fleet[n].propose(now, map.begin(Range::RING, vec![part]).expect("a move")).expect("leads");
    deliver(fleet, up, now, n, words);
}

/// Leader 0 founds a map and moves it while 2 is cut off; 1 forgets or not; then 0 is cut off and 2 leads.
fn two_maps_under_one_number(without: Option<Feature>, forgets: bool, up: &[usize]) -> bool {
    let new = |n: usize, start| Keeper::new(TERMS, &n.to_string(), start).without(without);
    let mut fleet: Vec<Keeper> = (0..3).map(|n| new(n, 0)).collect();
    leads(&mut fleet, &[0, 1, 2], 0, 0);
    assert_eq!(fleet[2].map().map(|m| m.number), Some(1));
    moves(&mut fleet, &[0, 1], 10, 0, "1");
    assert_eq!(fleet[0].map().map(|m| m.number), Some(2));
    if forgets {
        fleet[1] = new(1, 5);
    }
    leads(&mut fleet, up, 2_000, 2);
    moves(&mut fleet, up, 2_010, 2, "2");
    let [a, b] = [&fleet[0], &fleet[2]].map(|k| k.map().expect("a map").clone());
    a.number == b.number && a != b
}

#[test]
fn a_number_stands_for_one_map() {
    for (rule, forgets, up) in [(Feature::Memory, true, &[1, 2][..]), (Feature::Majority, false, &[2])] {
        assert!(!two_maps_under_one_number(None, forgets, up), "{rule:?}");
        assert!(two_maps_under_one_number(Some(rule), forgets, up), "{rule:?}");
    }
}

#[test]
fn who_forgot_is_told_anew_and_who_slept_learns() {
    let mut fleet: Vec<Keeper> = (0..3).map(|n| Keeper::new(TERMS, &n.to_string(), 0)).collect();
    leads(&mut fleet, &[0, 1, 2], 0, 0);
    moves(&mut fleet, &[0, 1], 10, 0, "1");
    fleet[1] = Keeper::new(TERMS, "1", 5);
    leads(&mut fleet, &[0, 1, 2], 20, 0);
    assert!(fleet.iter().all(|k| k.serves(30).is_some_and(|m| m.number == 2)));
    // Without a majority nothing is confirmed, and nobody serves beyond the span.
    leads(&mut fleet, &[0], 900, 0);
    assert!(fleet.iter().all(|k| k.serves(1_020).is_none()));
}

const RULES: Rules = Rules {
    entries: 1,
    rate: u64::MAX,
    per_1000: 0,
    merge: 0,
    at_once: 1,
    slices: 2,
    reads: 1,
    copy_for: 1_000,
    twice_for: 1_000,
    again_after: 100,
    again_most: 1_000,
    gone_for: 1_000,
};

/// What the mover does with a change that is read twice: with so many of the old owners heard, slices read,
/// and an entry lost by one new owner.
fn gate(without: Option<Feature>, heard: usize, slices: usize, lose: bool, lag: bool) -> Option<What> {
    gate_of(without, heard, slices, lose, lag, 0)
}

/// With reports of new owners that bear this start, where the map names start 0.
fn gate_of(
    without: Option<Feature>, heard: usize, slices: usize, lose: bool, lag: bool, start: u64,
) -> Option<What> {
    let map = Map::founded(1, [("0", 0), ("1", 0)]);
    let mut book = Book::new("w", 0);
    let mut whole = Index::new(Range::RING);
    for i in 0..50 {
        whole
            .apply(&book.write(&map, Key::Title(i.to_string()), i, Some("s".into()))[0].1)
            .expect("in order");
    }
    let halves = Range::RING.halves().expect("halves");
    let parts: Vec<Part> =
        halves.iter().map(|r| Part::new(*r, vec![Owner::new("2", 0), Owner::new("3", 0)])).collect();
    let map = map.begin(Range::RING, parts).and_then(|m| m.read_twice(Range::RING)).expect("moves");
    let mut reports: Vec<(usize, Index)> = (0..heard).map(|o| (o, whole.clone())).collect();
    for o in 2..4 {
        for half in halves {
            let mut index = Index::new(half);
            index.take(&[whole.page(book.writer(), half)]);
            let first = index.entries().next().expect("some").0.clone();
            if lose && o == 3 {
                index.lose(&first);
            }
            reports.push((o, index));
        }
    }
    let mut mover = Mover::new(RULES).without(without);
    let living = (0..4).map(|n| (n.to_string(), 0)).collect();
    for now in 0..2 {
        for (o, index) in &reports {
            let (owner, number, range, entries) = (
                Owner::new(&o.to_string(), if *o > 1 { start } else { 0 }),
                map.number,
                index.range(),
                index.len() as u64,
            );
            let report =
                Report { owner, number, range, entries, rate: 0, filled: true, stand: index.stand() };
            mover.report(now, &map, report);
        }
    }
    let all = halves.iter().flat_map(|r| r.halves().expect("halves"));
    all.take(slices).for_each(|s| mover.equal(2, &map, map.number, s.first, 1));
    assert_eq!(mover.lacking(&map).len(), 4 - slices);
    mover.next(2, &map, &living, lag).map(|s| s.what)
}

#[test]
fn new_owners_serve_alone_only_when_all_says_so() {
    assert_eq!(gate(None, 2, 4, false, true), Some(What::New));
    // One slice lacks a read; an old owner may still take writes by the map before; an entry is lost.
    let cases = [(Feature::Reads, 2, 3, false, true), (Feature::Digests, 2, 4, true, true)];
    for (rule, heard, slices, lose, lag) in cases {
        assert_ne!(gate(None, heard, slices, lose, lag), Some(What::New), "{rule:?}");
        assert_eq!(gate(Some(rule), heard, slices, lose, lag), Some(What::New), "{rule:?}");
    }
    // Another start of the new owners says that it has everything.
    assert_eq!(gate_of(None, 2, 4, false, true, 1), None);
    assert_eq!(gate_of(Some(Feature::Start), 2, 4, false, true, 1), Some(What::New));
    assert_eq!(gate(None, 1, 4, false, true), None);
    assert_eq!(gate(None, 1, 4, false, false), Some(What::New));
    assert!(matches!(gate(None, 2, 4, true, true), Some(What::Back(c)) if !c.advice().is_empty()));
}

/// What a leader watched before another led counts for nothing in the change that the other began.
#[test]
fn a_change_begun_anew_is_watched_anew() {
    let map = Map::founded(1, [("0", 0)]);
    let part = Part::new(Range::RING, vec![Owner::new("1", 0)]);
    let begin = |m: &Map| m.begin(Range::RING, vec![part.clone()]).expect("a move");
    let first = begin(&map).read_twice(Range::RING).expect("a move");
    let mut mover = Mover::new(Rules { reads: 0, ..RULES });
    let mut hear = |map: &Map, number| {
        for o in ["0", "1"] {
            let (owner, range) = (Owner::new(o, 0), Range::RING);
            let stand = Index::new(range).stand();
            mover.report(1, map, Report { owner, number, range, entries: 0, rate: 0, filled: true, stand });
        }
        mover.next(1, map, &starts(), true).map(|s| s.what)
    };
    assert_eq!(hear(&first, first.number), Some(What::New));
    let again = begin(&first.back(Range::RING).expect("a move"));
    let again = again.read_twice(Range::RING).expect("a move");
    // Late reports, of the change before; then of this one.
    assert_eq!(hear(&again, first.number), None);
    assert_eq!(hear(&again, again.number), Some(What::New));
}

/// Writes of one writer: to which of four keys, or a removal.
fn history() -> impl Strategy<Value = Vec<(u8, bool)>> {
    proptest::collection::vec((0u8..4, any::<bool>()), 1..40)
}

fn key(n: u8) -> Key {
    Key::Title(n.to_string())
}

fn writes(history: &[(u8, bool)]) -> Vec<Write> {
    let (map, mut book) = (Map::founded(1, [("a", 0), ("b", 0)]), Book::new("w", 1));
    let value = |put: bool| put.then(|| "s".to_owned());
    history.iter().map(|(k, put)| book.write(&map, key(*k), u64::from(*k), value(*put)).remove(0).1).collect()
}

fn side(name: &str, indexes: &[&Index], n: u8) -> Side {
    let answers: Vec<_> =
        indexes.iter().map(|i| Answer::of(&Owner::new(name, 0), i, &key(n), true)).collect();
    Side { asked: answers.iter().map(|a| (a.owner.clone(), a.range)).collect(), answers }
}

proptest! {
    /// Whatever the two sides have of one history, they never differ; at one mark they are equal. Without the
    /// rule of sequences they do differ.
    #[test]
    fn what_was_written_between_is_no_difference(
        history in history(), old in 0usize..40, new in 0usize..40, k in 0u8..4,
    ) {
        let all = writes(&history);
        let upto = |n: usize| {
            let mut index = Index::new(Range::RING);
            all.iter().take(n).for_each(|w| index.apply(w).expect("in order"));
            index
        };
        let (o, n) = (upto(old), upto(new));
        let verdict = compare(&side("o", &[&o], k), &side("n", &[&n], k), None);
        prop_assert!(!matches!(verdict, Verdict::Different(_)));
        if old.min(all.len()) == new.min(all.len()) {
            prop_assert_eq!(&verdict, &Verdict::Equal);
            prop_assert_eq!(o.stand(), n.stand());
        }
        let bare = compare(&side("o", &[&o], k), &side("n", &[&n], k), Some(Feature::Between));
        prop_assert_eq!(verdict == Verdict::NotComparable(Why::Between), matches!(bare, Verdict::Different(_)));
    }

    /// At one mark a lost entry is found, by the question and by the digest, on either side; copied to halves
    /// it is whole.
    #[test]
    fn what_is_lost_is_found(
        history in history(), pick in any::<prop::sample::Index>(), in_old in any::<bool>(),
    ) {
        let mut whole = Index::new(Range::RING);
        writes(&history).iter().for_each(|w| whole.apply(w).expect("in order"));
        prop_assume!(!whole.is_empty());
        let id = whole.entries().nth(pick.index(whole.len())).expect("one").0.clone();
        let Key::Title(n) = &id.key else { unreachable!() };
        let n: u8 = n.parse().expect("a number");
        let halves = Range::RING.halves().expect("halves").map(|r| {
            let mut half = Index::new(r);
            half.take(&[whole.page(&id.writer, r)]);
            half
        });
        let new = side("n", &[&halves[0], &halves[1]], n);
        prop_assert_eq!(compare(&side("o", &[&whole], n), &new, None), Verdict::Equal);
        let at = |i: &Index| i.stand()[&id.writer].last().expect("a mark").1;
        prop_assert_eq!(at(&whole), at(&halves[0]).wrapping_add(at(&halves[1])));
        let mut less = whole.clone();
        less.lose(&id);
        prop_assert!(at(&less) != at(&whole));
        let [o, m] = if in_old { [&less, &whole] } else { [&whole, &less] };
        let kind = if in_old { Kind::MissingInOld } else { Kind::MissingInNew };
        let verdict = compare(&side("o", &[o], n), &side("n", &[m], n), None);
        prop_assert!(matches!(verdict, Verdict::Different(d) if d.len() == 1 && d[0].kind == kind && d[0].id == id));
        // A border in both halves: doubled, also where the sides say the same.
        let mut both = Index::new(Range { first: id.key.point(), last: u64::MAX });
        both.take(&[whole.page(&id.writer, both.range())]);
        let verdict = compare(&side("o", &[&whole], n), &side("n", &[&whole, &both], n), None);
        prop_assert!(matches!(verdict, Verdict::Different(d) if d.iter().any(|d| d.kind == Kind::Doubled)));
    }
}

//! What a player's hints are taken for, by tables.

use micadyke::interface::ReportKind;
use micadyke_cmcd::Cmcd;
use micadyke_front::hints::{Hints, Ladder};
use proptest::prelude::*;

fn ladder() -> Ladder {
    // 800, 2400 and 7200 kbit/s.
    Ladder::new([100.0, 300.0, 900.0].into_iter(), 1.0)
}

#[test]
fn what_a_viewer_can_use() {
    let table = [
        ("", 2),
        ("mtp=100", 0),
        ("mtp=2400", 1),
        ("mtp=90000,tb=2000", 0),
        ("tb=7200", 2),
        ("mtp=500,br=2400", 1),
        ("br=800", 2),
    ];
    for (told, top) in table {
        assert_eq!(ladder().top(&Cmcd::parse(told)), top, "{told}");
    }
}

#[test]
fn renditions_by_table() {
    let all = [790_000, 850_000, 2_400_000, 9_000_000];
    let table = [
        (0, 0, [true, true, false, false]),
        (0, 2, [true, true, true, false]),
        (1, 2, [false, false, true, false]),
        (2, 2, [false, false, true, false]),
    ];
    for (floor, top, kept) in table {
        assert_eq!(ladder().keep(&all, floor, top), kept, "{floor} to {top}");
    }
    assert_eq!(ladder().keep(&[9_000_000, 8_500_000], 0, 2), [false, true], "only better ones");
    assert!(ladder().keep(&[], 0, 2).is_empty());
}

#[test]
fn notes_by_history() {
    let mut hints = Hints::default();
    let steps: [(&str, &[(ReportKind, f64)]); 9] = [
        ("ot=v,br=800,su,mtp=9000", &[]),
        ("ot=v,br=800,mtp=9000,bl=4000", &[(ReportKind::RungInForce, 0.0)]),
        ("ot=a,br=128,bs,mtp=50", &[]),
        ("ot=v,br=2400,mtp=1200,bs", &[(ReportKind::RungInForce, 1.0), (ReportKind::Delivered, 0.5)]),
        ("ot=v,br=2400,bs", &[]),
        ("ot=v,br=2400,bl=0", &[]),
        ("ot=v,br=2400,bl=900", &[(ReportKind::Delivered, 1.0)]),
        ("ot=v,br=2400,bl=900", &[]),
        ("", &[]),
    ];
    for (told, notes) in steps {
        assert_eq!(hints.heard(&Cmcd::parse(told), &ladder()), notes, "{told}");
    }
    let mut narrow = Hints::default();
    assert_eq!(
        narrow.heard(&Cmcd::parse("ot=v,br=2400,mtp=900,bs,su"), &ladder()),
        [],
        "its own way is narrow"
    );
}

proptest! {
    #[test]
    fn one_rendition_at_least_and_none_better_where_one_fits(
        offered in prop::collection::vec(1u64..20_000_000, 1..20), floor in 0usize..3, above in 0usize..3,
    ) {
        let (l, top) = (ladder(), (floor + above).min(2));
        let kept = l.keep(&offered, floor, top);
        prop_assert!(kept.contains(&true));
        let any = offered.iter().any(|r| l.rung(*r).is_some_and(|n| n <= top));
        for (rate, kept) in offered.iter().zip(kept) {
            prop_assert!(!kept || !any || l.rung(*rate).is_some_and(|n| n <= top));
        }
    }
}

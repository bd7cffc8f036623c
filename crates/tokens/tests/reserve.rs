//! How many idle seats a front keeps for the next sessions.

use micadyke_tokens::Nanos;
use micadyke_tokens::message::Key;
use micadyke_tokens::reserve::{MOST, QUIET, Reserve, SCARCE};

#[test]
fn reserves_by_demand() {
    let key = |n: usize| Key { title: format!("t{n}").as_str().into(), class: "c".into() };
    // (sessions a second, issuer's answer in ms, idle seats)
    for (rate, answer, target) in
        [(0.5, 2, 0..=0), (3.0, 2, 1..=1), (100.0, 2, 5..=6), (100.0, 100, 14..=18), (10_000.0, 2, 220..=240)]
    {
        let mut r = Reserve::new(true);
        (0..200).for_each(|_| r.answered(answer * 1_000_000));
        let (mut now, gap) = (0, (1e9 / rate) as Nanos);
        while now < 30_000_000_000 {
            now += gap;
            r.asked(&key(0), now);
        }
        assert!(target.contains(&r.target(&key(0), now)), "{rate}: {}", r.target(&key(0), now));
        assert_eq!(r.target(&key(0), now + QUIET), 0, "a demand that has passed");
        r.refused(&key(0), now);
        assert_eq!((r.target(&key(0), now + 1), r.target(&key(1), now)), (0, 0));
        r.asked(&key(0), now + SCARCE);
        assert!(r.target(&key(0), now + SCARCE) > 0 || rate < 20.0, "it is forgotten that none was free");
    }
    let mut r = Reserve::new(true);
    (0..3 * MOST).for_each(|n| r.asked(&key(n), n as Nanos));
    assert_eq!(r.known(), MOST);
    let mut none = Reserve::new(false);
    (0..1_000).for_each(|_| none.asked(&key(0), 0));
    assert_eq!(none.target(&key(0), 0), 0);
}

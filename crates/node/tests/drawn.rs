//! The core under random settings: nothing in it may depend on the classes, zones, rungs, effects or limits of one deployment.
//! The rules are judged from the recorded traffic, and all tables must be empty at the end.

mod deployment;
mod world;

use deployment::{Fixed, Site, day, site};
use world::Break;

/// Days of the bounded run. Each takes some tens of milliseconds in a debug build.
const DAYS: u64 = 120;

/// A day of a randomly generated deployment.
fn drawn(seed: u64, how: Option<Break>) -> (Site, Vec<String>) {
    let (site, _, broken) = day(seed, how, |r| site(r, Fixed::default()));
    (site, broken)
}

#[test]
fn rules_are_kept_and_books_empty_under_any_settings() {
    let mut faults = Vec::new();
    for seed in 0..DAYS {
        match std::panic::catch_unwind(|| drawn(seed, None)) {
            Ok((_, broken)) if broken.is_empty() => {}
            Ok((site, broken)) => faults.push(format!("seed {seed}: {broken:#?}\n{site:?}")),
            Err(_) => faults.push(format!("seed {seed}: a panic, see above")),
        }
    }
    assert!(faults.is_empty(), "{} of {DAYS} days: {}", faults.len(), faults.join("\n"));
}

#[test]
fn a_node_broken_on_purpose_is_found_under_drawn_settings() {
    let table = [
        (Break::Twice, "answered twice"),
        (Break::Mute, "never answered"),
        (Break::Overlap, "two attempts out"),
        (Break::Drains, "sent to a server that drains"),
        (Break::Floors, "under its floor"),
        (Break::Refusals, "refused although it may have run"),
    ];
    for (how, what) in table {
        let found = (0..DAYS).any(|seed| drawn(seed, Some(how)).1.iter().any(|b| b.contains(what)));
        assert!(found, "{how:?}");
    }
}

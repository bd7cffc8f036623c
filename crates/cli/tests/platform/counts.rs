//! The final counts of a socket test.

use super::Viewer;
use micadyke_standin::platform::{FinalCounts, Record, Seen, final_counts, verdict};
use micadyke_standin::platform_net::Scene;

impl Viewer {
    /// Notes that a set-up is asked for here.
    pub fn asks(&self, scene: &Scene, id: u64, class: &str) {
        let paid = class == "paid";
        scene.note(Seen::Asked { id, patience: 4000 * super::MS, paid, floor: usize::from(paid) });
        self.asked_at(scene, id);
    }

    /// Notes at which node a set-up is asked for, and whether that node had passed a test.
    pub fn asked_at(&self, scene: &Scene, id: u64) {
        let node = self.node.to_string();
        if self.passed {
            scene.note(Seen::Ready { node: node.clone() });
        }
        scene.note(Seen::AskedAt { id, node });
    }
}

/// At the end of a test: no request is left without an answer, and no node that was ready answered nobody.
pub fn nobody_left(scene: &Scene) {
    assert_eq!(final_counts(&scene.record.borrow()), FinalCounts::default());
}

/// At the end of a test: no rule broken, nobody left without an answer, and no node that was ready answered nobody.
pub fn all_kept(scene: &Scene) {
    all_kept_but(scene, &[]);
}

/// The same, where releases may still be on their way: those are judged in virtual time.
pub fn all_kept_but_releases(scene: &Scene) {
    all_kept_but(scene, &["not released"]);
}

/// The same, where clients that were not noted sent set-ups too.
pub fn all_kept_beside_strangers(scene: &Scene) {
    all_kept_but(scene, &["was sent by no viewer"]);
}

fn all_kept_but(scene: &Scene, others: &[&str]) {
    no_rule_broken(&scene.record.borrow(), scene.now(), others);
    nobody_left(scene);
}

/// No rule is broken in a record but those that a test judges otherwise, each by a part of its words.
pub fn no_rule_broken(record: &Record, end: u64, others: &[&str]) {
    let mut broken = verdict(record, end);
    broken.retain(|rule| !others.iter().any(|other| rule.contains(other)));
    assert!(broken.is_empty(), "{broken:#?}\n{}", traffic_of(&broken, record));
}

/// What was seen of the sessions that broken rules name, a line each, with milliseconds since the first of the record.
fn traffic_of(broken: &[String], record: &Record) -> String {
    let start = record.first().map_or(0, |(at, _)| *at);
    let mut lines = String::new();
    for (at, seen) in record {
        let named = |id: u64| broken.iter().any(|rule| rule.contains(&format!("{id:016x}")));
        if seen.session().is_some_and(named) {
            let since_start = (at - start) as f64 / super::MS as f64;
            lines += &format!("{since_start:10.3} ms {seen:?}\n");
        }
    }
    lines
}

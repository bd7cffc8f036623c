//! The final counts of a socket test.

use super::Viewer;
use micadyke_standin::platform::{FinalCounts, Seen, final_counts, verdict};
use micadyke_standin::platform_net::Scene;

impl Viewer {
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

/// The same, and no rule broken.
pub fn all_kept(scene: &Scene) {
    assert_eq!(verdict(&scene.record.borrow(), scene.now()), Vec::<String>::new());
    nobody_left(scene);
}

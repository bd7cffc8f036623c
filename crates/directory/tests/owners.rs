//! Rendezvous: what one member more or fewer moves.

use micadyke_directory::{Key, Owners, Rendezvous};
use proptest::prelude::*;
use std::collections::BTreeSet;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn a_member_more_takes_its_own_share_and_moves_nothing_else(
        names in proptest::collection::btree_set("[a-z]{1,6}", 1..24), new in "[A-Z]{1,4}", keys in 1u32..64,
    ) {
        let with: BTreeSet<String> = names.iter().cloned().chain([new.clone()]).collect();
        let (before, after) = (Rendezvous::new(names.clone()), Rendezvous::new(with));
        prop_assert_ne!(before.number(), after.number());
        for n in 0..keys {
            let point = Key::Viewer(n.to_string()).point();
            let (old, new_owners) = (before.owners(point), after.owners(point));
            prop_assert_eq!(old.len(), names.len().min(2));
            prop_assert_eq!(new_owners.len(), 2);
            prop_assert_ne!(&new_owners[0], &new_owners[1]);
            // Those that stay keep their order; one at most makes room for the new one.
            let stayed: Vec<&String> = new_owners.iter().filter(|o| **o != new).collect();
            prop_assert!(stayed.iter().zip(&old).all(|(a, b)| *a == b));
        }
    }

    #[test]
    fn each_member_owns_its_share(members in 2usize..60) {
        let map = Rendezvous::new((0..members).map(|n| format!("n{n}")));
        let mut owned = std::collections::BTreeMap::new();
        for part in 0..1024u64 {
            map.owners(part << 54).into_iter().for_each(|o| *owned.entry(o).or_insert(0u64) += 1);
        }
        let fair = 2048.0 / members as f64;
        let most = owned.values().max().copied().unwrap_or(0) as f64;
        // Six deviations of a fair draw.
        prop_assert!(owned.len() == members && most < fair + 6.0 * fair.sqrt(), "{most} {fair}");
    }
}

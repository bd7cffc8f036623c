//! What a record of traffic comes to at its end: who was left without an answer, and which front node answered nobody.

use super::{Record, Seen};
use std::collections::BTreeMap;

/// What is counted at the end of a record; after a sound day both are empty.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FinalCounts {
    /// Set-ups whose viewer neither read a final answer nor gave up or closed. Any that was asked counts, whether its
    /// time is up or not: who counts has waited for the answers.
    pub unanswered: Vec<u64>,
    /// Front nodes that passed a test, were asked after that, and from then on answered nobody.
    pub answered_nobody: Vec<String>,
}

/// What was asked of a front node since it passed a test.
#[derive(Debug, Default)]
struct Ready {
    asked: usize,
    answered: usize,
}

/// Counts what is left at the end of a record.
pub fn final_counts(record: &Record) -> FinalCounts {
    // Final answers owed, by session; a session may be asked for again once its first set-up came to an end.
    let mut owed: BTreeMap<u64, usize> = BTreeMap::new();
    let mut asked_at: BTreeMap<u64, &str> = BTreeMap::new();
    let mut ready: BTreeMap<&str, Ready> = BTreeMap::new();
    for (_, seen) in record {
        match seen {
            Seen::Ready { node } => drop(ready.entry(node).or_default()),
            Seen::Asked { id, .. } => *owed.entry(*id).or_default() += 1,
            Seen::AskedAt { id, node } => {
                asked_at.insert(*id, node);
                ready.get_mut(node.as_str()).into_iter().for_each(|n| n.asked += 1);
            }
            Seen::Answered { id, .. } => {
                owed.get_mut(id).into_iter().for_each(|o| *o = o.saturating_sub(1));
                let node = asked_at.get(id).and_then(|node| ready.get_mut(node));
                node.into_iter().for_each(|n| n.answered += 1);
            }
            Seen::GaveUp { id } => drop(owed.remove(id)),
            _ => {}
        }
    }
    let unanswered = owed.into_iter().filter(|(_, o)| *o > 0).map(|(id, _)| id).collect();
    let idle = ready.into_iter().filter(|(_, n)| n.asked > 0 && n.answered == 0);
    FinalCounts { unanswered, answered_nobody: idle.map(|(node, _)| node.to_owned()).collect() }
}

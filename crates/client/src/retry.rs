//! The one rule by which a question is asked again. The client for CMCD has the same rule; `fixtures/client/retry.json`
//! holds both to it.
//!
//! A refusal with advice is obeyed: the question is asked again no sooner, and not at all where the viewer would not
//! wait so long. A refusal without advice, or any other answer, is final. Where nothing was sent it is asked again after
//! a pause that doubles; where what became of it is not known, only if asking twice does no harm.

use crate::Outcome;
use serde::{Deserialize, Serialize};

/// Figures of the rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rule {
    /// Times that a question is asked, at most.
    pub most: u32,
    /// The first pause where there is no advice, in milliseconds; it doubles.
    pub pause_ms: u64,
    /// The longest such pause.
    pub pause_most_ms: u64,
}

impl Default for Rule {
    fn default() -> Self {
        Rule { most: 4, pause_ms: 200, pause_most_ms: 5_000 }
    }
}

impl Rule {
    /// After how long, in milliseconds, a question is asked again that ended so when it had been asked `tries` times;
    /// `None`: not again. `left_ms`: the viewer's patience with all of it ends then.
    pub fn again(&self, ended: &Outcome, repeatable: bool, tries: u32, left_ms: u64) -> Option<u64> {
        if tries >= self.most {
            return None;
        }
        let doubled = self.pause_ms.saturating_mul(1 << tries.saturating_sub(1).min(20));
        let pause = doubled.min(self.pause_most_ms);
        let wait = match ended {
            // No advice is heard as "at once" by many at one time.
            Outcome::Refused { come_back_ms: Some(ms) } => (*ms).max(self.pause_ms),
            Outcome::NotSent => pause,
            Outcome::NotKnown if repeatable => pause,
            _ => return None,
        };
        (wait <= left_ms).then_some(wait)
    }
}

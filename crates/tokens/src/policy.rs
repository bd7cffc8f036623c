//! What is done when seats fail: decisions, by class, from the operator's file. Free of I/O and clock.

/// What a request gets when the issuer cannot be reached in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unreachable {
    /// It is refused.
    Refuse,
    /// It may use a seat that is held and idle; refused where there is none.
    UseHeld,
}

/// What a session does when its seat is lost while it plays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lost {
    /// It ends at once: seats are never exceeded.
    End,
    /// It plays on. The issuer may give its seat to another meanwhile: the count may be exceeded by what was lost.
    PlayOn,
}

/// Policy of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// When the issuer cannot be reached.
    pub unreachable: Unreachable,
    /// When a seat is lost.
    pub lost: Lost,
}

impl Default for Policy {
    fn default() -> Self {
        Policy { unreachable: Unreachable::Refuse, lost: Lost::End }
    }
}

/// What is to be done with a request that has waited for its seat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Waited {
    /// Go on waiting.
    Wait,
    /// Refuse it.
    Refuse,
    /// Set it up on a seat that is held and idle.
    UseHeld,
}

impl Policy {
    /// Decides on a request: `waited` of `patience`, with an idle seat at hand or not.
    pub fn on_wait(self, waited: u64, patience: u64, idle: bool) -> Waited {
        match (waited >= patience, self.unreachable, idle) {
            (false, ..) => Waited::Wait,
            (true, Unreachable::UseHeld, true) => Waited::UseHeld,
            (true, ..) => Waited::Refuse,
        }
    }

    /// Whether a session whose seat is lost ends.
    pub fn ends_on_loss(self) -> bool {
        self.lost == Lost::End
    }
}

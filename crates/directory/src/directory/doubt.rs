//! How likely it is that a member lives of which nothing is heard: by what became of those of which it was so before.

use super::{Directory, Peer, ROUNDS_SILENT};

/// What is remembered: beyond so many, older ones count half.
const MOST: u32 = 64;

/// What became of members that were suspected or silent.
#[derive(Debug, Default)]
pub(super) struct Doubt {
    cleared: u32,
    gone: u32,
}

impl Doubt {
    /// The chance that one lives: one half before anything was seen (Laplace's rule of succession).
    pub fn chance(&self) -> f64 {
        f64::from(self.cleared + 1) / f64::from(self.cleared + self.gone + 2)
    }

    /// One spoke again.
    pub fn cleared(&mut self) {
        self.cleared += 1;
        self.fade();
    }

    /// One was given up.
    pub fn gone(&mut self) {
        self.gone += 1;
        self.fade();
    }

    fn fade(&mut self) {
        if self.cleared + self.gone > MOST {
            (self.cleared, self.gone) = (self.cleared / 2, self.gone / 2);
        }
    }
}

impl Directory {
    /// Whether it may be dead: by the view, or since its beats do not come.
    pub(super) fn doubted(&self, peer: &Peer) -> bool {
        peer.suspected || self.now > peer.heard_at.saturating_add(ROUNDS_SILENT * self.round())
    }

    /// The chance that a member lives.
    pub(super) fn chance(&self, peer: &Peer) -> f64 {
        if self.doubted(peer) { self.doubt.chance() } else { 1.0 }
    }

    /// Open questions wait for it by the chance that it lives.
    pub(super) fn wait_for(&mut self, name: &str) {
        let Some(chance) = self.peers.get(name).map(|p| self.chance(p)) else { return };
        let (now, deadline) = (self.now, &mut *self.deadline);
        self.questions.values_mut().for_each(|q| q.lives(now, name, chance, deadline));
    }

    /// It is suspected no longer.
    pub(super) fn clear(&mut self, name: &str) {
        let Some(peer) = self.peers.get_mut(name).filter(|p| p.suspected) else { return };
        peer.suspected = false;
        self.doubt.cleared();
        self.wait_for(name);
    }

    /// Something was heard of it.
    pub(super) fn spoke(&mut self, name: &str) {
        let Some(peer) = self.peers.get(name) else { return };
        let silent = !peer.suspected && self.doubted(peer);
        if let Some(peer) = self.peers.get_mut(name) {
            peer.heard_at = self.now;
        }
        if silent {
            self.doubt.cleared();
            self.wait_for(name);
        }
    }
}

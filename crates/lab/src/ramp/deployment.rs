//! Deployments drawn by number: what the settings say of cold servers, how large the fleet of servers is, and what happens.

use super::window::Bound;
use crate::fleet::{MS, SECOND};
use micadyke::interface::Nanos;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// What the settings allow a server in the first window after its start, by the deployment's number: from a few set-ups,
/// fewer than there are fronts, to several for each front.
const ALLOWED: [(f64, f64); 4] = [(2.0, 6.0), (8.0, 24.0), (30.0, 80.0), (90.0, 180.0)];

/// When fronts are restarted during the ramp.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Restarts {
    /// Not at all.
    None,
    /// All of them, one after the other, over the first half of the ramp.
    Rolling,
    /// Seven in ten at once, within the first two windows.
    AtOnce,
}

impl Restarts {
    /// All kinds.
    pub const ALL: [Restarts; 3] = [Restarts::None, Restarts::Rolling, Restarts::AtOnce];
}

/// A deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Deployment {
    /// What a cold server bears.
    pub bound: Bound,
    /// Servers, all of the same size.
    pub servers: u32,
    /// The part of them that starts anew at once.
    pub starting: f64,
    /// Part of all places that is taken in the steady state.
    pub load: f64,
    /// A session plays for so long on average.
    pub life: Nanos,
    /// Mean work of a set-up by class, over the mean of all; the classes ask equally often.
    pub works: [f64; 2],
    /// The list tells of a start so much later at the most, and each front reads it within this again.
    pub lag: Nanos,
    /// Clocks of fronts differ by so much from the servers' at the most, both ways.
    pub clocks: Nanos,
}

impl Deployment {
    /// The deployment of this number; the same number, the same deployment.
    pub fn drawn(number: usize) -> Self {
        let mut random = StdRng::seed_from_u64(0x7a3f ^ number as u64);
        let (least, most) = ALLOWED[number % ALLOWED.len()];
        let allowed = random.random_range(least..most);
        let cold_from = random.random_range(0.2..0.6);
        let cold_for = random.random_range(6..16) * SECOND;
        let multiple = random.random_range(1.5..3.5);
        let window = random.random_range(800..2_500) * MS;
        let per_place = cold_from * multiple * window as f64 / cold_for as f64;
        let light = random.random_range(0.4..1.0);
        Deployment {
            bound: Bound { places: (allowed / per_place).round(), cold_for, cold_from, multiple, window },
            servers: random.random_range(6..16),
            starting: random.random_range(0.25..1.0),
            load: random.random_range(0.5..0.8),
            life: random.random_range(20..60) * SECOND,
            works: [light, 2.0 - light],
            lag: random.random_range(1_000..4_000) * MS,
            clocks: random.random_range(1..50) * MS,
        }
    }

    /// How many servers start anew at once: one at the least.
    pub fn started(&self) -> u32 {
        ((f64::from(self.servers) * self.starting).round() as u32).clamp(1, self.servers)
    }
}

//! The ramp of cold servers under a whole fleet: servers start anew while a crowd wants in, and the fronts hold the sum
//! of their set-ups within what a cold server bears. They know of each other only how many they are.
//!
//! Uneven traffic, fronts that are restarted during the ramp and forget what they sent, starts that are told late, servers
//! that die again while they are cold, clocks that differ, connections that come up late. One seed, one run, in virtual time.

mod deployment;
mod fleet;
mod window;

pub use deployment::{Deployment, Restarts};
pub use fleet::{Plan, run};
pub use window::{Bound, Found, slack};

//! Laboratory: whole fleets in virtual time, the decision module and membership as they run. What it finds is simulated.
#![warn(missing_docs)]

pub mod choices;
pub mod fleet;
pub mod joined;
pub mod ramp;
pub mod splits;
pub mod waits;

//! Runs the decision module of `micadyke` behind the line protocol of the simulator.
#![warn(missing_docs)]

pub mod wire;

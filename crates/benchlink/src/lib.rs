//! The bench's wire around the decision module of `micadyke`.
#![warn(missing_docs)]

pub mod wire;

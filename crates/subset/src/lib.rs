//! Which servers a front node works with first, and whose turn it is to look at a silent one.
//!
//! Members and servers in, a working subset and turns out; the same words in give the same out at every node. A subset is
//! a preference and never an exclusion: no rule's safety rests on agreement about it. No I/O, no clock, no chance.
#![warn(missing_docs)]

/// A point in time or a span of it, in nanoseconds of one clock that never runs backwards.
pub type Nanos = u64;

/// A front node, as the view names it.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// Its name in the view.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its traffic beside the others', 1 on the mean.
    pub capacity: f64,
}

/// A server, as the list names it.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// Its id in the list.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Its weight.
    pub weight: f64,
}

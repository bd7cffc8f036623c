//! Settings of a front and lists of boxes, as S-expressions that are checked before anything acts on them.
//!
//! Every fault names file, line, column and what is wrong; one reading reports all faults it can find. Durations,
//! rates and sizes carry units, and a bare number where a unit is due is refused.
#![warn(missing_docs)]

mod boxes;
mod form;
mod front;
pub mod sexp;
pub mod units;

pub use boxes::{BoxRow, read_boxes, write_boxes};
pub use form::{Diagnostic, Faults, Form, read_file};
pub use front::{
    BoundConfig, Bounds, ClassConfig, Config, Entitlements, IssuerConfig, KeyConfig, MediaRoute, Route,
    RouteKind, SeatPolicy, Title, read_config,
};

//! The consensus core under random faults, against a single copy of the committed log.

mod cases;
mod model;
mod node;
mod random;
mod sim;

//! The Raft core in simulated clusters: random faults, checked against a reference model, and fixed scenarios.

mod cases;
mod disks;
mod model;
mod node;
mod random;
mod sim;

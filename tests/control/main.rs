//! The control hosts as real processes: failures of hosts, races of operators, and what must survive them.

mod chaos;
mod cluster;
mod failures;
mod folder;
mod operators;
mod polls;

//! Tests of the guarantees of the system against a cluster of real processes, with injected faults.
//!
//! Each module tests one guarantee; `faults` tests several at once. `support` starts the cluster.

mod at_most_once;
mod config;
mod correlation;
mod coverage;
mod faults;
mod rejection;
mod shutdown;
mod snapshot;
mod support;
mod target_drain;
mod warm_up;
mod zone_drain;

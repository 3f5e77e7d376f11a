//! The promises of the system, each under the failures that threaten it, with real processes.

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

//! The stand-ins that all other tests rely on: data set, targets, relay.

mod dataset;
mod relay;
mod target;

//! The stand-ins that all other tests rely on: data set, targets, relay.

mod dataset;
mod fleet;
mod naive_system;
mod proxy;
mod target;

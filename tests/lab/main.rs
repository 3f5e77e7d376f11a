//! The test tools that the other tests rely on: data set, fleet launcher, naive system, proxy and stand-in targets.

mod dataset;
mod fleet;
mod naive_system;
mod proxy;
mod target;

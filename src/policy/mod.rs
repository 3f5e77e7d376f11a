//! Policies of entry hosts for admission, routing, hedging, retries, concurrency limits and ownership. They do no I/O
//! and read no clock: callers pass the time in.

pub mod admission;
pub mod admit;
pub mod budget;
pub mod canary;
pub mod entries;
pub mod hedge;
pub mod latency;
pub mod limit;
pub mod ownership;
pub mod pick;
pub mod pin;
pub mod queue;
pub mod quota;
pub mod rollout;

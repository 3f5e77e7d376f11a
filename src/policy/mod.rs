//! Decisions without sockets and clocks: time is passed in.

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

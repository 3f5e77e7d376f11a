//! Decisions without sockets and clocks: time is passed in.

pub mod limit;
pub mod ownership;

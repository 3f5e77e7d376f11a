//! Control hosts and the client that other processes use to reach them.

mod client;

pub use client::Client;

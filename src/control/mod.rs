//! Control hosts and the client that other processes use to reach them.

mod client;
mod history;
mod host;
mod http;
mod rpc;
mod run;

pub use client::Client;
pub use run::run;

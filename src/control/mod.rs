//! Control hosts and the client that other processes use to reach them.

mod client;
mod confirm;
mod driver;
mod history;
mod host;
mod http;
mod join;
mod link;
mod liveness;
mod machine;
mod metrics;
mod peer;
mod perform;
mod poller;
mod registry;
mod repair;
mod rpc;
mod run;
mod upkeep;

pub use client::Client;
pub use host::{Host, Standing};
pub use poller::{ConfigPoller, PollResponse, apply_update};
pub use registry::Registry;
pub use run::{run, serve};

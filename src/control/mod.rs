//! Control hosts and the client that other processes use to reach them.

mod actions;
mod client;
mod driver;
mod history;
mod host;
mod http;
mod join;
mod liveness;
mod maintenance;
mod metrics;
mod peer;
mod poller;
mod raft_transport;
mod read_index;
mod registry;
mod repair;
mod rpc;
mod run;
mod state_machine;

pub use client::Client;
pub use host::{ClusterStatus, Host};
pub use poller::{ConfigPoller, PollResponse, apply_update};
pub use registry::Registry;
pub use run::{run, serve};

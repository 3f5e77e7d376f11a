//! The control plane: a Raft group of control hosts that replicates the configuration, and the clients that entry hosts
//! and relays use to poll it and to commit changes.
//!
//! A change takes this path: [`Client::submit`] sends it to any control host over RPC, [`Host::submit`] forwards it to
//! the leader, and there the consensus thread (`driver`) appends it to the Raft log. Once it is committed, the state
//! machine applies it on every host, and the leader replies to the submitter.
//!
//! A poll is a linearizable read: [`Host::poll`] first obtains a read index from the leader, which a quorum confirms,
//! waits until this host has applied that index, and then returns the changes since the polled revision. The poll is
//! also the heartbeat of the polling process.

mod actions;
mod candidates;
mod client;
mod confirm;
mod driver;
mod health;
mod history;
mod host;
mod http;
mod join;
mod liveness;
mod metrics;
mod peer;
mod poller;
mod raft_transport;
mod registry;
pub mod repair;
mod roll_call;
mod rollout;
pub mod roster;
mod rpc;
mod run;
mod state_machine;
mod upkeep;

pub use candidates::{Candidates, Round};
pub use client::Client;
pub use health::Endpoint;
pub use history::History;
pub use host::{ClusterStatus, Host, Position};
pub use peer::{Peer, Peers};
pub use poller::{ConfigPoller, PollResponse, apply_update};
pub use raft_transport::RaftTransport;
pub use registry::{DEFAULT_MAX_CLOCK_SKEW, Registry};
pub use run::{run, serve};
pub use state_machine::{ApplyResult, StateMachine};

//! gentianpass, a query tier in front of sharded targets. It routes requests, limits the load of each target, reads all
//! shards of a query at one index version, and reports which shards a result covers.

pub mod cmd;
pub mod control;
pub mod descriptors;
pub mod entry;
pub mod error;
pub mod event;
pub mod inbound;
pub mod lab;
pub mod lease;
pub mod memory;
pub mod metric;
pub mod owner;
pub mod peer;
pub mod policy;
pub mod process;
pub mod raft;
pub mod relay;
pub mod route;
pub mod settings;
pub mod state;
pub mod store;
pub mod supervise;
pub mod trace;
pub mod wire;

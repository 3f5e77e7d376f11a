//! The relay: forwards callers' requests to targets according to a routing table. A route leads to one target, or to
//! one target of each shard, whose results are merged.
//!
//! Modules by lifetime of what they hold: `server`, `request`, `gather`, `group`, `delegate`, `call` and `wait` work on a
//! request, `buffer` on a response, `exchange`, `transmit`, `pool` and `peer` on a connection, `view` on a revision of
//! the configuration, `admission`, `rollout`, `exposure` and `evidence` on a rollout, the others on the process.
//!
//! Locks of `parking_lot` are never held across an await. They nest in six places only: the lock of the copy of the
//! configuration around those of the view and the builder, the builder's lock around
//! those of targets, budgets and rollouts, the lock of a target's statistics around that of its cold-start limiter, the
//! lock of a rollout's old targets around those of their statistics, the lock of known crashes around that of unreported
//! ones, and in `quota` the lock of the holders around those of the members, the ledger and the report.

mod admission;
mod audit;
mod buffer;
mod builder;
mod call;
mod choice;
mod cold_start;
mod delegate;
mod directory;
mod evidence;
mod exchange;
mod exposure;
mod follow;
mod freshness;
mod gather;
mod group;
mod host;
mod idle;
mod metrics;
mod neighbour;
mod peer;
mod pool;
mod probe;
mod quarantine;
mod quota;
mod records;
mod report;
mod request;
mod response;
mod retired;
mod rollout;
mod run;
mod sender;
mod server;
mod settings;
mod split;
mod stop;
mod suspect;
mod target;
mod transmit;
mod typical;
mod view;
mod wait;

pub use admission::{Admission, Choice};
pub use audit::{Ahead, Own, Verdict, compare};
pub use buffer::{BufferError, Buffers, MAX_BUFFERED_BYTES, ResponseBuffer};
pub use choice::{Observation, TargetStats};
pub use cold_start::{Access, ColdStartLimiter};
pub use directory::AddressQuery;
pub use exposure::Exposure;
pub use freshness::{LATE_CONFIG_AGE, is_log_due, is_poll_awaited};
pub use host::Host;
pub use idle::IdleConnections;
pub use neighbour::Lag;
pub use records::merge_records;
pub use run::{create, run, run_with};
pub use settings::{
    DEFAULT_MAX_CONFIG_AGE, DEFAULT_MAX_DESCRIPTORS, DEFAULT_REVOKE_AGE, Headers, Settings,
};
pub use split::SplitPicker;
pub use typical::LatencyEstimate;
pub use view::{COLD_LABEL, SERVICE_LABEL};

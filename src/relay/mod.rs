//! Passes callers' requests on to targets by a table of routes: one target, or one target of each shard.
//!
//! Laid out by life span: `front`, `request`, `gather`, `group`, `delegate` and `call` live for a request, `exchange`,
//! `pool` and `link` for a connection, `view` for a version, the rest for the process. Locks are leaves: none is taken
//! while another is held, and none is held over an await.

mod builder;
mod call;
mod choice;
mod cold_start;
mod control_sync;
mod delegate;
mod delegation;
mod directory;
mod exchange;
mod gather;
mod host;
mod latency;
mod metrics;
mod peer;
mod pool;
mod request;
mod response;
mod run;
mod server;
mod settings;
mod shutdown;
mod split;
mod suspect;
mod target;
mod view;

pub use choice::{Observation, TargetStats};
pub use cold_start::{Access, ColdStartLimiter};
pub use directory::AddressQuery;
pub use gather::merge_records;
pub use host::Host;
pub use latency::LatencyEstimate;
pub use run::{create, run};
pub use settings::{Headers, Settings};
pub use split::SplitPicker;
pub use view::{COLD_LABEL, SERVICE_LABEL};

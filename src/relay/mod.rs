//! Passes callers' requests on to targets by a table of routes: one target, or one target of each shard.
//!
//! Laid out by life span: `front`, `request`, `gather`, `group`, `delegate` and `call` live for a request, `exchange`,
//! `pool` and `link` for a connection, `view` for a version, the rest for the process. Locks are leaves: none is taken
//! while another is held, and none is held over an await.

mod builder;
mod call;
mod choice;
mod cold;
mod control_sync;
mod delegate;
mod delegation;
mod directory;
mod exchange;
mod gather;
mod host;
mod metrics;
mod peer;
mod pool;
mod request;
mod response;
mod rotation;
mod run;
mod server;
mod settings;
mod shutdown;
mod suspect;
mod target;
mod typical;
mod view;

pub use choice::{Observed, Standing};
pub use cold::{Access, Cold};
pub use directory::AddressQuery;
pub use gather::merge_records;
pub use host::Host;
pub use rotation::Rotation;
pub use run::{create, run};
pub use settings::{Headers, Settings};
pub use typical::Typical;
pub use view::{COLD_LABEL, SERVICE_LABEL};

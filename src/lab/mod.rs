//! What drives the system from outside: stand-in targets, the data set, the naive version, the launcher of local
//! processes, a relay, the demo and the measurements. Not part of the running system.

pub mod caller;
pub mod dataset;
pub mod fleet;
pub mod http;
pub mod naive;
pub mod operator;
pub mod relay;
pub mod target;

//! What drives the system from outside: stand-in targets, the data set, the naive version, the launcher of local
//! processes, a relay, the demo and the measurements. Not part of the running system.

pub mod caller;
pub mod control;
pub mod dataset;
pub mod demo;
pub mod fleet;
pub mod http;
pub mod load;
pub mod measure;
pub mod naive_system;
pub mod operator;
pub mod proxy;
pub mod reference;
pub mod slope;
pub mod synthetic;
pub mod target;
pub mod workload;

//! Test and measurement tools that run the system from outside: stand-in targets with their data set, a launcher of
//! local processes, clients for callers and operators, a fault-injecting TCP proxy, a load generator, a naive system
//! as the baseline, the demo and the measurements. None of this is part of the running system.

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

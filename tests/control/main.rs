//! Tests of control hosts as real processes: host failures, concurrent changes by operators, polls, and durable state.

mod candidates;
mod chaos;
mod cluster;
mod failures;
mod full_disk;
mod operators;
mod polls;
mod raft_transport;
mod rollout;
mod roster;
mod standing;
mod storage;

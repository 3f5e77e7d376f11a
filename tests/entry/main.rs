//! The entry host: input, leases, queries, dispatch, announcements and the planned stop.

mod control;
mod input;
mod owners;
mod query;
mod support;

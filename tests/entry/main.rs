//! The entry host: input, leases, queries, dispatch, announcements and the planned stop.

mod announce;
mod api;
mod control;
mod dispatch;
mod input;
mod lease;
mod owners;
mod process;
mod query;
mod stop;
mod support;
mod target;

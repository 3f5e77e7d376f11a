//! Tests of the entry host: input checks, the freshness lease, queries, dispatch, announcements and the planned stop.

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

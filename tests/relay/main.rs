//! A relay between stand-ins: what callers get, and what reaches targets.

mod cold_start;
mod delegate;
mod directory;
mod gather;
mod single;
mod split;
mod stats;
mod support;
mod suspect;

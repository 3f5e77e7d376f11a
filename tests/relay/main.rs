//! A relay between stand-ins: what callers get, and what reaches targets.

mod choice;
mod cold_start;
mod delegate;
mod directory;
mod gather;
mod single;
mod split;
mod support;
mod suspect;

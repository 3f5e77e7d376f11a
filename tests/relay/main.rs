//! A relay between stand-ins: what callers get, and what reaches targets.

mod choice;
mod cold;
mod delegate;
mod directory;
mod gather;
mod rotation;
mod single;
mod support;
mod suspect;

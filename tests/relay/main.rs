//! A relay between a stub control host and stub targets: what callers receive and what reaches the targets.

mod audit;
mod choice;
mod cold_start;
mod delegate;
mod descriptors;
mod directory;
mod exposure;
mod fake_control;
mod fake_relay;
mod follow;
mod gather;
mod leaving;
mod neighbour;
mod neighbour_faults;
mod neighbour_trust;
mod quota;
mod responses;
mod rollout;
mod single;
mod split;
mod status_lines;
mod supervision;
mod support;
mod suspect;
mod tenants;

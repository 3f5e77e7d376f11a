//! The replicated state of the control hosts: configuration (labels, groups, selectors, entry hosts, targets, routes),
//! quarantine of requests, and claims of non-idempotent requests.
//!
//! Every control host applies the same log of [`Entry`] values to its [`Tables`]. Application is deterministic: it does
//! no I/O and takes the time from the entries. Entry hosts hold a copy of the [`Config`] and build a [`View`] of it for
//! routing.

mod change;
mod claim;
mod config;
mod departure;
mod digest;
mod label;
mod probe;
pub mod rollout;
mod suspect;
mod tables;
mod version;
mod view;

pub use change::{Change, ChangeId, Entry, Reply};
pub use claim::{Claim, Claims, KEY_LIFETIME_MS, Settlement};
pub use config::{Config, Group, Holding, Node, Phase, Revision, Selector, Target, Version};
pub use departure::{Departures, Standing};
pub use label::{
    DRAIN_LABEL, Labels, MAX_NAME_BYTES, Match, Object, ObjectKind, SERVICE_LABEL, SOFTWARE_LABEL,
    check_name,
};
pub use probe::{PROBE_DELAY_MS, Probes};
pub use rollout::{Rollout, Stage};
pub use suspect::{QUARANTINE_MIN_TARGETS, QUARANTINE_MS, Suspect};
pub use tables::Tables;
pub use view::{GroupView, NodeKey, NodeView, TargetKey, TargetView, VersionView, View};

//! Messages between the root of a query and the owners of targets.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::{
    error::{Error, Kind, Outcome},
    state::Revision,
    wire::{caller::Row, target::Announcement},
};

/// Admission class of a request kind. Quick requests go before broad ones.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Class {
    /// Short requests that somebody waits for.
    Quick,
    /// Searches that may wait.
    Broad,
}

/// Identifies a batch at its owner.
pub type BatchId = u64;

/// The sub-requests of one query for the targets of one owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Identifies the query.
    pub request_id: u128,
    /// Chosen by the root, unique among its batches, with the root's process in the upper half.
    pub id: BatchId,
    /// The W3C trace context of the caller's request.
    pub traceparent: Option<String>,
    /// The index that is asked.
    pub index: String,
    /// The index version that must be used.
    pub version: u64,
    /// The request kind.
    pub kind: String,
    /// The admission class.
    pub class: Class,
    /// The text that is searched for.
    pub text: String,
    /// Fingerprint of group, kind and text.
    pub fingerprint: u64,
    /// Whether this is the canary request of a new fingerprint.
    pub canary: bool,
    /// The remaining time, in milliseconds.
    pub deadline_ms: u64,
    /// When to answer although something is pending, in milliseconds.
    pub partial_after_ms: u64,
    /// The sub-requests.
    pub items: Vec<Item>,
}

/// One sub-request of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The shard.
    pub shard: u32,
    /// The target that is to serve it.
    pub target: String,
}

/// A finished sub-request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finished {
    /// The shard.
    pub shard: u32,
    /// The target that was asked.
    pub target: String,
    /// The rows, or why there are none.
    pub result: Result<Vec<Row>, Kind>,
    /// Time from start at the owner to the end, in microseconds.
    pub elapsed_us: u64,
}

/// The load of a target as its owner sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hint {
    /// The target.
    pub target: String,
    /// How many sub-requests the owner runs there at once.
    pub limit: u32,
    /// How many run now.
    pub in_flight: u32,
    /// How many wait.
    pub queued: u32,
}

/// What became of a batch so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Sub-requests that finished since the last answer for this batch.
    pub finished: Vec<Finished>,
    /// Shards that are still pending.
    pub pending: Vec<u32>,
    /// The load of the targets asked.
    pub hints: Vec<Hint>,
}

/// One request that may not be repeated, for one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Identifies the request.
    pub request_id: u128,
    /// The W3C trace context of the caller's request.
    pub traceparent: Option<String>,
    /// The target that is to run it.
    pub target: String,
    /// The caller's idempotency key.
    pub key: String,
    /// The request kind.
    pub kind: String,
    /// What is to be run.
    pub body: String,
    /// Fingerprint of group, kind and body.
    pub fingerprint: u64,
    /// The remaining time, in milliseconds.
    pub deadline_ms: u64,
}

/// How a dispatch ended at its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatched {
    /// Whether it ran. `NotRun` allows another attempt under the same claim.
    pub outcome: Outcome,
    /// The result, if it is done.
    pub result: Option<String>,
    /// Why it is not done.
    pub error: Option<Kind>,
}

/// Hands a target over to its new owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The target.
    pub target: String,
    /// The process of the target that the limit belongs to.
    pub incarnation: u64,
    /// The revision that moved the target.
    pub revision: Revision,
    /// The learned limit.
    pub limit: u32,
}

/// What entry hosts offer to each other.
#[tarpc::service]
pub trait Service {
    /// Runs a batch; answers when all is finished or after `partial_after_ms`.
    async fn exec(batch: Batch) -> Result<Progress, Error>;
    /// Waits until something more of a batch is finished, at most `wait_ms`.
    async fn collect(id: BatchId, wait_ms: u64) -> Result<Progress, Error>;
    /// Cancels these shards of a batch, also at their targets.
    async fn cancel(id: BatchId, shards: Vec<u32>);
    /// Runs a request that may not be repeated.
    async fn dispatch(dispatch: Dispatch) -> Result<Dispatched, Error>;
    /// Hands a target over.
    async fn release(release: Release) -> Result<(), Error>;
    /// Forwards a renewal to the target's owner.
    async fn renew(announcement: Announcement) -> Result<(), Error>;
}

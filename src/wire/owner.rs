//! RPC messages between entry hosts. The entry host that received a caller's request is its root. Each target has one
//! owner: the entry host that sends all requests to it and limits how many run at once.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::{
    error::{Error, Kind, Outcome},
    state::Revision,
    wire::{caller::Row, target::Announcement},
};

/// The admission class of a request kind. Owners start queued quick requests before broad ones.
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
    /// Short, interactive requests.
    Quick,
    /// Searches that tolerate a longer wait.
    Broad,
}

/// Identifies a batch at the owner that executes it.
pub type BatchId = u64;

/// The sub-requests of one query for the targets of one owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Identifies the query.
    pub request_id: u128,
    /// Unique among all batches: a random number for the root's process in the upper 32 bits, a counter in the lower.
    pub id: BatchId,
    /// The W3C trace context of the caller's request.
    pub traceparent: Option<String>,
    /// The name of the index.
    pub index: String,
    /// The index version that the targets must read.
    pub version: u64,
    /// The request kind.
    pub kind: String,
    /// The admission class.
    pub class: Class,
    /// The search text.
    pub text: String,
    /// The hash of group, kind and text, by which requests that crash targets are recognised.
    pub fingerprint: u64,
    /// Whether this is a canary: a request that the root has not seen succeed goes to one target at a time first, so
    /// that a request that crashes targets reaches few of them.
    pub canary: bool,
    /// The remaining time until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// The time after which the owner replies even if sub-requests are pending, in milliseconds.
    pub partial_after_ms: u64,
    /// The sub-requests.
    pub items: Vec<Item>,
}

/// One sub-request of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The number of the shard.
    pub shard: u32,
    /// The target that should execute the sub-request.
    pub target: String,
}

/// The result of a sub-request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finished {
    /// The number of the shard.
    pub shard: u32,
    /// The target that the sub-request was meant for.
    pub target: String,
    /// The rows, or the error kind.
    pub result: Result<Vec<Row>, Kind>,
    /// The time from the arrival of the batch at the owner to this result, in microseconds; includes queueing.
    pub elapsed_us: u64,
}

/// The current load of a target at its owner. The root uses it to choose among replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hint {
    /// The name of the target.
    pub target: String,
    /// The current concurrency limit, in requests.
    pub limit: u32,
    /// The number of requests in flight.
    pub in_flight: u32,
    /// The number of requests in the owner's queue.
    pub queued: u32,
}

/// The progress of a batch since the previous reply.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Results that no previous reply for this batch contained.
    pub finished: Vec<Finished>,
    /// The shards whose results are still to come.
    pub pending: Vec<u32>,
    /// The load of the targets that these results come from.
    pub hints: Vec<Hint>,
}

/// A non-idempotent request for one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Identifies the request.
    pub request_id: u128,
    /// The W3C trace context of the caller's request.
    pub traceparent: Option<String>,
    /// The target that should execute the request.
    pub target: String,
    /// The caller's idempotency key.
    pub key: String,
    /// The request kind.
    pub kind: String,
    /// The payload for the target.
    pub body: String,
    /// The hash of group, kind and body, by which requests that crash targets are recognised.
    pub fingerprint: u64,
    /// The remaining time until the deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// The result of a dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatched {
    /// Whether the request was executed. After `NotRun` the root may try another target under the same claim.
    pub outcome: Outcome,
    /// The target's result, if the outcome is `Done`.
    pub result: Option<String>,
    /// The error kind, if the outcome is not `Done`.
    pub error: Option<Kind>,
}

/// Tells the new owner of a target that the previous owner has no more requests there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The name of the target.
    pub target: String,
    /// The process of the target that the limit was learned from.
    pub incarnation: u64,
    /// The configuration revision that changed the owner.
    pub revision: Revision,
    /// The previous owner's concurrency limit, which the new owner starts from.
    pub limit: u32,
}

/// The RPC service that entry hosts provide to each other.
#[tarpc::service]
pub trait Service {
    /// Executes a batch. Replies when all sub-requests have ended, or with the results so far after `partial_after_ms`.
    async fn exec(batch: Batch) -> Result<Progress, Error>;
    /// Waits for further results of a batch, for at most `wait_ms`.
    async fn collect(id: BatchId, wait_ms: u64) -> Result<Progress, Error>;
    /// Cancels the sub-requests for these shards, including those that targets are executing.
    async fn cancel(id: BatchId, shards: Vec<u32>);
    /// Executes a non-idempotent request.
    async fn dispatch(dispatch: Dispatch) -> Result<Dispatched, Error>;
    /// Completes the change of a target's owner. The previous owner calls this on the new one.
    async fn release(release: Release) -> Result<(), Error>;
    /// Forwards a target's renewal to its owner.
    async fn renew(announcement: Announcement) -> Result<(), Error>;
}

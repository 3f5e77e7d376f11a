//! JSON bodies exchanged by entry hosts and targets.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{error::Kind, state::Target, wire::caller::Row};

/// Body of `POST /v1/sub`: the sub-request of a query for one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sub {
    /// Identifies the sub-request at this target, for `POST /v1/cancel`.
    pub id: u64,
    /// The name of the index.
    pub index: String,
    /// The index version to read; a target that does not hold it responds with `wrong_version`.
    pub version: u64,
    /// The number of the shard.
    pub shard: u32,
    /// The request kind.
    pub kind: String,
    /// The search text.
    pub text: String,
    /// The remaining time until the deadline, in milliseconds. The target aborts the work after it.
    pub deadline_ms: u64,
}

/// Response to `POST /v1/sub`. The fields `id` to `shard` repeat those of the sub-request; if one differs, the owner
/// discards the response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubAnswer {
    /// The `id` of the sub-request.
    pub id: u64,
    /// The name of the index.
    pub index: String,
    /// The index version that was read.
    pub version: u64,
    /// The shard that was read.
    pub shard: u32,
    /// The number of rows that the target sent. If `rows` has another length, the response is truncated.
    pub count: usize,
    /// The matching rows.
    pub rows: Vec<Row>,
}

/// Body of `POST /v1/run`: a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Identifies the request at this target, for `POST /v1/cancel`.
    pub id: u64,
    /// The caller's idempotency key.
    pub key: String,
    /// The request kind.
    pub kind: String,
    /// The payload.
    pub body: String,
    /// The remaining time until the deadline, in milliseconds. The target does not start the request after it.
    pub deadline_ms: u64,
}

/// Response to `POST /v1/run`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunAnswer {
    /// The `id` of the request.
    pub id: u64,
    /// The result.
    pub result: String,
}

/// Body of `POST /v1/cancel`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// The `id` of the request to cancel.
    pub id: u64,
}

/// Body of a target's error responses. The status is 503 if the handler did not start, 499 if the request was
/// cancelled, and 504 if the deadline passed while the handler was running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// One of `shed`, `draining`, `wrong_version`, `deadline_passed`, `cancelled`, `timeout`.
    pub error: Kind,
}

/// Response to `GET /v1/health`. The values are the target's own claims, which may be late or wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// The name of the target.
    pub name: String,
    /// Distinguishes the process from others with the same name; a later process has a larger number.
    pub incarnation: u64,
    /// Whether the target reports that it is cold, that is, not warmed up and limited to few requests at once.
    pub cold: bool,
    /// Whether the target reports that it is shutting down.
    pub leaving: bool,
    /// The number of requests that the target reports as running.
    pub in_flight: u32,
}

/// Body of `POST /v1/targets` on entry hosts: the announcement of a target, or its renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The properties that the target announces.
    pub target: Target,
    /// Whether the target reports that it is cold, as in [`Health::cold`].
    pub cold: bool,
}

/// Response to `POST /v1/targets`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announced {
    /// The HTTP address of the target's owner, to which it should send the next renewals; absent if it has none.
    pub owner: Option<SocketAddr>,
    /// The time until the next renewal, in milliseconds.
    pub renew_ms: u64,
}

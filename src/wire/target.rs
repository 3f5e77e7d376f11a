//! JSON bodies between entry hosts and targets.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{error::Kind, state::Target, wire::caller::Row};

/// Body of `POST /v1/sub`: one shard's part of a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sub {
    /// Identifies the sub-request at this target; used to cancel it.
    pub id: u64,
    /// The index that is asked.
    pub index: String,
    /// The index version that must be used.
    pub version: u64,
    /// The shard that is asked.
    pub shard: u32,
    /// The request kind.
    pub kind: String,
    /// The text that is searched for.
    pub text: String,
    /// The remaining time, in milliseconds; the target drops the work after it.
    pub deadline_ms: u64,
}

/// Answer to `POST /v1/sub`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubAnswer {
    /// The `id` of the sub-request.
    pub id: u64,
    /// The index that was used.
    pub index: String,
    /// The index version that was used.
    pub version: u64,
    /// The shard that was used.
    pub shard: u32,
    /// How many rows the target sent; another number of rows means a truncated answer.
    pub count: usize,
    /// The matching rows.
    pub rows: Vec<Row>,
}

/// Body of `POST /v1/run`: a request that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Identifies the request at this target.
    pub id: u64,
    /// The caller's idempotency key.
    pub key: String,
    /// The request kind.
    pub kind: String,
    /// What is to be run.
    pub body: String,
    /// The remaining time, in milliseconds; the target does not start after it.
    pub deadline_ms: u64,
}

/// Answer to `POST /v1/run`.
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

/// Body of a target's error answers: with status 503 before the handler runs, with 499 after a cancel, and with 504 if
/// the deadline passed while the handler ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// One of `shed`, `draining`, `wrong_version`, `deadline_passed`, `cancelled`, `timeout`.
    pub error: Kind,
}

/// Answer to `GET /v1/health`. Load and state lag or mislead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// The target's name.
    pub name: String,
    /// Distinguishes the processes that ran under this name.
    pub incarnation: u64,
    /// Whether the target says that it is cold.
    pub cold: bool,
    /// Whether the target says that it is leaving.
    pub leaving: bool,
    /// How many requests it says it runs.
    pub in_flight: u32,
}

/// Body of `POST /v1/targets` on entry hosts: an announcement or its renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// What the target announces.
    pub target: Target,
    /// Whether the target says that it is cold.
    pub cold: bool,
}

/// Answer to `POST /v1/targets`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announced {
    /// The HTTP address of the owner, which takes the following renewals.
    pub owner: Option<SocketAddr>,
    /// When to renew, in milliseconds.
    pub renew_ms: u64,
}

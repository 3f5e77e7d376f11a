//! JSON bodies exchanged by callers and entry hosts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::error::{Kind, Outcome};

/// The request header with the caller's name.
pub const CALLER_HEADER: &str = "x-gentianpass-caller";

/// One row of a query result.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Row {
    /// The identifier of the row, unique in its index.
    pub id: u64,
    /// The text of the row.
    pub text: String,
}

/// Body of `POST /v1/query`: an idempotent request to all shards of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Query {
    /// The name of the group to query.
    pub group: String,
    /// The request kind, such as `label-search`.
    pub kind: String,
    /// The search text.
    pub text: String,
    /// The time until the caller gives up, in milliseconds from the arrival of the request.
    pub deadline_ms: u64,
}

/// A shard that is missing from a query result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing {
    /// The number of the shard.
    pub shard: u32,
    /// Why it is missing.
    pub reason: Kind,
}

/// Response to `POST /v1/query`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Identifies the request in logs, events and traces.
    pub request_id: String,
    /// Whether the request was executed.
    pub outcome: Outcome,
    /// The index version that all rows were read from.
    pub version: u64,
    /// The number of shards whose rows are included.
    pub covered: u32,
    /// The number of shards of the index version.
    pub total: u32,
    /// The shards whose rows are not included.
    pub missing: Vec<Missing>,
    /// The rows, sorted by id.
    pub rows: Vec<Row>,
}

/// Body of `POST /v1/dispatch`: a non-idempotent request, which is executed at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Dispatch {
    /// The group whose targets may execute the request.
    pub group: String,
    /// The request kind, such as `print-dispatch`.
    pub kind: String,
    /// The caller's idempotency key.
    pub key: String,
    /// When the caller issued the key, in milliseconds since the Unix epoch.
    pub issued_at_ms: u64,
    /// The payload for the target.
    pub body: String,
    /// The time until the caller gives up, in milliseconds from the arrival of the request.
    pub deadline_ms: u64,
    /// Whether the caller has sent this key before. If so, a request that is rejected before its claim is looked up
    /// gets the outcome `unknown` instead of `not_run`, because an earlier attempt may have been executed.
    #[serde(default)]
    pub resend: bool,
}

/// Response to `POST /v1/dispatch`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatched {
    /// Identifies the request in logs, events and traces.
    pub request_id: String,
    /// Whether the request was executed.
    pub outcome: Outcome,
    /// The target's result, if the outcome is `done`.
    pub result: Option<String>,
}

/// Response to `GET /v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// How long the caller may cache the list, in milliseconds.
    pub ttl_ms: u64,
    /// HTTP addresses of entry hosts, in the order in which the caller should try them.
    pub addresses: Vec<SocketAddr>,
}

/// Body of every error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Identifies the request; absent if it failed before it got an id.
    pub request_id: Option<String>,
    /// The error kind, which also determines the HTTP status.
    pub error: Kind,
    /// Whether the request was executed.
    pub outcome: Outcome,
    /// Details for people; clients should not parse them.
    pub message: String,
}

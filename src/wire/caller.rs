//! JSON bodies between callers and entry hosts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::error::{Kind, Outcome};

/// The header that names the caller.
pub const CALLER_HEADER: &str = "x-gentianpass-caller";

/// One row of an answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Row {
    /// The row's identifier, unique in its index.
    pub id: u64,
    /// The row's text.
    pub text: String,
}

/// Body of `POST /v1/query`: an idempotent request to all shards of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Query {
    /// The group that is asked.
    pub group: String,
    /// The request kind, such as `label-search`.
    pub kind: String,
    /// The text that is searched for.
    pub text: String,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: u64,
}

/// A shard that an answer does not cover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing {
    /// The shard.
    pub shard: u32,
    /// Why it is missing.
    pub reason: Kind,
}

/// Answer to `POST /v1/query`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Identifies the request in logs, events and traces.
    pub request_id: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The index version that all rows come from.
    pub version: u64,
    /// How many shards the rows cover.
    pub covered: u32,
    /// How many shards the version has.
    pub total: u32,
    /// The shards that the rows do not cover.
    pub missing: Vec<Missing>,
    /// The rows, sorted by id.
    pub rows: Vec<Row>,
}

/// Body of `POST /v1/dispatch`: a request that runs at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Dispatch {
    /// The group whose targets may run it.
    pub group: String,
    /// The request kind, such as `print-dispatch`.
    pub kind: String,
    /// The caller's idempotency key.
    pub key: String,
    /// When the caller issued the key, in milliseconds since the Unix epoch.
    pub issued_at_ms: u64,
    /// What is to be run.
    pub body: String,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: u64,
    /// Whether this key was sent before. A refusal without a look at the claim then ends with `unknown`, because an
    /// earlier attempt may have run.
    #[serde(default)]
    pub resend: bool,
}

/// Answer to `POST /v1/dispatch`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatched {
    /// Identifies the request in logs, events and traces.
    pub request_id: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The result, if it is done.
    pub result: Option<String>,
}

/// Answer to `GET /v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// How long the list may be kept, in milliseconds.
    pub ttl_ms: u64,
    /// Addresses of entry hosts, in the order in which to try them.
    pub addresses: Vec<SocketAddr>,
}

/// Body of every error answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Identifies the request, if it got that far.
    pub request_id: Option<String>,
    /// What went wrong.
    pub error: Kind,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Details for the reader.
    pub message: String,
}

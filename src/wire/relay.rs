//! Messages between relays: a part of a gathered request is delegated to a relay that is near the targets.
//!
//! A connection carries one delegated request at a time. It is cancelled by closing the connection.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// What a relay sends to another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an answer at once, to see whether the other relay works.
    Ping,
    /// Delegates shards of a request.
    Delegate(Box<Delegation>),
    /// The caller has its answer: what still runs may end by itself. The connection is closed after this.
    Done,
}

/// Shards of a request that another relay is to ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delegation {
    /// The number of the table of routes that the shards belong to.
    pub version: u64,
    /// Positions of the shards in the route's list.
    pub shards: Vec<u16>,
    /// The time until answers that have arrived should be sent, in microseconds.
    pub stop_us: u64,
    /// The method of the caller's request.
    pub method: String,
    /// The path and query of the caller's request.
    pub uri: String,
    /// The headers of the caller's request, with the deadline replaced by what is left of it.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body of the caller's request.
    pub body: Vec<u8>,
}

/// What the delegate answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The answer to a ping, and the first answer to a delegation that is taken.
    Accepted,
    /// The delegation is not taken, and nothing was sent to a target. The cause is for the log.
    Refused(String),
    /// What has become of shards since the last reply.
    Progress(Progress),
}

/// Shards that have ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The signatures of the parts that are in, one for each shard that is covered.
    pub signatures: Vec<Vec<u8>>,
    /// The greatest records of these parts.
    pub records: Bytes,
    /// The shards that failed.
    pub failed: Vec<FailedShard>,
}

impl Progress {
    /// How many shards have ended.
    pub fn ended(&self) -> usize {
        self.signatures.len() + self.failed.len()
    }
}

/// A shard without an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedShard {
    /// Whether a target may have run its part.
    pub may_have_run: bool,
    /// Why there is none, for the log.
    pub cause: String,
}

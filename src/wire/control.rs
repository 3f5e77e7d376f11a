//! Messages between entry hosts and control hosts.

use serde::{Deserialize, Serialize};

use crate::{
    error::Error,
    state::{Change, ChangeId, Config, Reply, Revision},
};

/// A request for newer configuration, which also renews the sender's freshness lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// The polling host.
    pub node: String,
    /// The polling process.
    pub incarnation: u64,
    /// The revision that the host has in force.
    pub revision: Revision,
    /// How long to wait for a newer revision, in milliseconds.
    pub wait_ms: u64,
}

/// The answer to a poll, confirmed by a quorum after the poll arrived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The changes that lead from the polled revision to the current one, each with the clock of the log. Empty if
    /// nothing changed.
    Changes(Vec<Applied>),
    /// The whole configuration, if the polled revision is too old or unknown.
    Config(Box<Config>),
}

/// A change that was applied to the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// The revision after the change.
    pub revision: Revision,
    /// The clock of the log, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The change.
    pub change: Change,
}

/// A change to be committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submit {
    /// Identifies the change; the same id is never applied twice.
    pub id: ChangeId,
    /// The operator revision that the change builds on.
    pub base: Option<Revision>,
    /// The change.
    pub change: Change,
}

/// What control hosts offer to entry hosts and operators' tools.
#[tarpc::service]
pub trait Service {
    /// Waits for newer configuration.
    async fn poll(poll: Poll) -> Result<Update, Error>;
    /// Commits a change.
    async fn submit(submit: Submit) -> Result<Reply, Error>;
}

//! Messages between entry hosts and control hosts, and among control hosts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    error::Error,
    raft::{Index, MemberId, Message},
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

/// What a control host tells about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The member identity.
    pub id: MemberId,
    /// The name of the host.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// The RPC address.
    pub rpc: SocketAddr,
    /// The cluster that the host belongs to; none if its data folder is empty.
    pub cluster: Option<u128>,
}

/// Where a control host is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberEndpoint {
    /// The availability zone.
    pub zone: String,
    /// The RPC address.
    pub rpc: SocketAddr,
}

/// The answer to a control host that wants to become a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JoinReply {
    /// The host is a member, or will be soon.
    Accepted,
    /// The leader has this address.
    Redirect(SocketAddr),
    /// There is no known leader, or another member joins at present.
    Retry,
}

/// A process of an entry host that sent a poll.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessId {
    /// The name of the host.
    pub process_name: String,
    /// The process.
    pub incarnation: u64,
}

/// What control hosts offer to entry hosts and operators' tools, and to each other.
#[tarpc::service]
pub trait Service {
    /// Waits for newer configuration.
    async fn poll(poll: Poll) -> Result<Update, Error>;
    /// Commits a change.
    async fn submit(submit: Submit) -> Result<Reply, Error>;
    /// The control hosts that are known: their zones and RPC addresses.
    async fn members() -> Vec<MemberEndpoint>;
    /// Control hosts only: who this host is.
    async fn identity() -> Identity;
    /// Control hosts only: asks the leader to take the host in.
    async fn join(identity: Identity) -> JoinReply;
    /// Control hosts only: messages of the consensus. `from` is the RPC address of the sender.
    async fn raft(from: SocketAddr, messages: Vec<Message>);
    /// Control hosts only: asks the leader for an index at which a read is not stale, and tells it who polled.
    async fn read_index(heard: Vec<ProcessId>) -> Result<Index, Error>;
    /// Control hosts only: commits a change if this host leads.
    async fn propose(submit: Submit) -> Result<Reply, Error>;
}

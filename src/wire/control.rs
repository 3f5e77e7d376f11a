//! RPC messages that entry hosts, relays and operators' tools send to control hosts, and that control hosts exchange.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    error::Error,
    policy::rollout::Counts,
    raft::{Index, MemberId, Message},
    state::{Change, ChangeId, Config, Reply, Revision, rollout::Rollouts},
};

/// A long poll for configuration changes. A successful poll also renews the freshness lease of an entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// The name of the polling host.
    pub node: String,
    /// Distinguishes the polling process from others with the same name; a later process has a larger number.
    pub incarnation: u64,
    /// The revision that the host currently uses.
    pub revision: Revision,
    /// How long the control host may wait for a newer revision before it replies, in milliseconds.
    pub wait_ms: u64,
}

impl Poll {
    /// The polling process.
    pub fn process(&self) -> ProcessId {
        ProcessId { process_name: self.node.clone(), incarnation: self.incarnation }
    }
}

/// The reply to a poll. It is sent only after a quorum has confirmed the leader since the poll arrived, so it is not
/// stale.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The changes since the polled revision, in order; empty if there are none. If they exceed one frame, only the
    /// first of them are included and the next poll returns more.
    Changes(Vec<Applied>),
    /// The whole configuration, if it is smaller than the changes since the polled revision, or if these are not
    /// available: the polled revision is too old, or newer than this configuration.
    Config(Box<Config>),
    /// Like `Config`, with the rollouts, which are encoded apart from it. Sent only if there are any: earlier releases do
    /// not know this variant. [`Self::unpacked`] restores the configuration.
    Packed(Box<Config>, Rollouts),
}

impl Update {
    /// The update in the form in which it is sent.
    pub fn packed(self) -> Self {
        match self {
            Self::Config(mut config) if !config.has_no_rollouts() => {
                let rollouts = config.take_rollouts();
                Self::Packed(config, rollouts)
            }
            update => update,
        }
    }

    /// The update as received, with the rollouts in the configuration.
    pub fn unpacked(self) -> Self {
        match self {
            Self::Packed(mut config, rollouts) => {
                config.set_rollouts(rollouts);
                Self::Config(config)
            }
            update => update,
        }
    }
}

/// A committed change that has been applied to the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// The revision after the change.
    pub revision: Revision,
    /// The log's clock after the change, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The change.
    pub change: Change,
}

/// A request to commit a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submit {
    /// Identifies the change. A retry with the same id is applied only once.
    pub id: ChangeId,
    /// The operator revision that the change was made against. If it is no longer current, the change conflicts. `None`
    /// skips this check.
    pub base: Option<Revision>,
    /// The change.
    pub change: Change,
}

/// A control host's description of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The member id in the Raft cluster.
    pub id: MemberId,
    /// The name of the host.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// The RPC address.
    pub rpc: SocketAddr,
    /// The id of the cluster that the host belongs to; `None` until it belongs to one.
    pub cluster: Option<u128>,
}

/// The location of a control host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberEndpoint {
    /// The availability zone.
    pub zone: String,
    /// The RPC address.
    pub rpc: SocketAddr,
}

/// The reply to a control host that asks to become a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JoinReply {
    /// The host is a member, although its addition may not be committed yet.
    Accepted,
    /// This host is not the leader; send the request to the leader at this address.
    Redirect(SocketAddr),
    /// No leader is known, or the leader cannot change the membership yet, for example because another change is not
    /// committed; try again later.
    Retry,
}

/// Identifies a process of an entry host that has polled, or of a target that has renewed its announcement. The leader
/// uses it to detect processes that have stopped.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessId {
    /// The name of the entry host or target.
    pub process_name: String,
    /// Distinguishes the process from others with the same name; a later process has a larger number.
    pub incarnation: u64,
}

/// What a control host holds: its local state, which no other control host has confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// The name of the host.
    pub name: String,
    /// The id of the cluster that the host belongs to; `None` until it belongs to one.
    pub cluster: Option<u128>,
    /// The last log index that it has applied.
    pub applied: Index,
    /// The revision of the configuration.
    pub revision: Revision,
    /// The version of the route table.
    pub version: u64,
    /// The digest of the configuration.
    pub digest: u64,
}

/// What a relay has seen of the running rollouts. The counts are cumulative, so that loss, repetition and reordering are
/// harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The process of the relay.
    pub reporter: ProcessId,
    /// The revision of the configuration by which it chooses targets.
    pub revision: Revision,
    /// All rollouts that run at this revision: for one that is missing, nothing is in flight at the old version.
    pub observations: Vec<Observation>,
}

/// What a relay has seen of one rollout since it started to follow it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Name of the service.
    pub service: String,
    /// The new software version.
    pub target_version: String,
    /// [`Rollout::started_ms`](crate::state::Rollout::started_ms), which tells rollouts to the same version apart.
    pub started_ms: u64,
    /// Number of exchanges in flight at targets of the old version.
    pub old_in_flight: u64,
    /// The counts of each route with an answer.
    pub routes: Vec<Comparison>,
}

/// The cumulative counts of both sides on one route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Comparison {
    /// Name of the route.
    pub route: String,
    /// Answers of targets with the old version.
    pub old: Counts,
    /// Answers of targets with the new version.
    pub new: Counts,
}

/// The RPC service of control hosts. The methods from `identity` to `propose` are for other control hosts only. New methods
/// are appended, because messages have the position of their method: a process of another release would take one for
/// another.
#[tarpc::service]
pub trait Service {
    /// Waits for configuration changes.
    async fn poll(poll: Poll) -> Result<Update, Error>;
    /// Commits a change, and forwards it to the leader if necessary.
    async fn submit(submit: Submit) -> Result<Reply, Error>;
    /// Lists the members of the control cluster.
    async fn members() -> Vec<MemberEndpoint>;
    /// Describes this control host.
    async fn identity() -> Identity;
    /// Asks the leader to add a control host to the cluster as a learner.
    async fn join(identity: Identity) -> JoinReply;
    /// Delivers Raft messages. `from` is the RPC address of the sender.
    async fn raft(from: SocketAddr, messages: Vec<Message>);
    /// Asks the leader for a Raft read index: a read is linearizable once the host has applied the log up to it. Also
    /// reports the processes that were heard from since the last call.
    async fn read_index(heard: Vec<ProcessId>) -> Result<Index, Error>;
    /// Commits a change if this host is the leader.
    async fn propose(submit: Submit) -> Result<Reply, Error>;
    /// Describes the local state of this host, without waiting for others. A host of an earlier release closes the
    /// connection.
    async fn standing() -> Standing;
    /// Records evidence of a relay, and forwards it to the leader unless another control host has forwarded it already. A
    /// host of an earlier release closes the connection.
    async fn record_evidence(evidence: Evidence, forwarded: bool) -> Result<(), Error>;
}

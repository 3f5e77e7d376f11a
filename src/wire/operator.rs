//! JSON bodies that operators' tools exchange with control hosts and entry hosts.

use std::{collections::BTreeSet, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    error::Kind,
    state::{
        Change, Config, Group, Labels, Node, Object, Revision, Rollout, Selector, Suspect, Target,
        rollout::Start,
    },
};

/// A change to the configuration that an operator may request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "op", deny_unknown_fields)]
pub enum Edit {
    /// Sets one label of an object.
    SetLabel {
        /// The object.
        object: Object,
        /// The key of the label.
        key: String,
        /// The value of the label.
        value: String,
    },
    /// Removes one label of an object.
    RemoveLabel {
        /// The object.
        object: Object,
        /// The key of the label.
        key: String,
    },
    /// Creates or replaces a group.
    PutGroup(Group),
    /// Removes a group.
    RemoveGroup {
        /// The name of the group.
        name: String,
    },
    /// Creates or replaces a selector.
    PutSelector(Selector),
    /// Removes a selector.
    RemoveSelector {
        /// The name of the selector.
        name: String,
    },
    /// Starts a rollout.
    StartRollout(Start),
}

impl From<Edit> for Change {
    fn from(edit: Edit) -> Self {
        match edit {
            Edit::SetLabel { object, key, value } => Self::SetLabel { object, key, value },
            Edit::RemoveLabel { object, key } => Self::RemoveLabel { object, key },
            Edit::PutGroup(group) => Self::PutGroup(group),
            Edit::RemoveGroup { name } => Self::RemoveGroup { name },
            Edit::PutSelector(selector) => Self::PutSelector(selector),
            Edit::RemoveSelector { name } => Self::RemoveSelector { name },
            Edit::StartRollout(start) => Self::StartRollout(start),
        }
    }
}

/// Body of `POST /v1/changes`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// A UUID that the operator's tool generates. A retry with the same id is applied only once.
    pub id: String,
    /// The operator revision that the change was made against. If it is no longer current, the change is rejected with
    /// `conflict`.
    pub base: Revision,
    /// The change.
    pub edit: Edit,
}

/// Response to `POST /v1/changes`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// The configuration revision after the change, or the current one if the change was not applied.
    pub revision: Revision,
    /// The operator revision to use as `base` of the next change.
    pub operator_revision: Revision,
    /// Why the change was not applied; null if it was.
    pub error: Option<Kind>,
    /// Details for people; clients should not parse them.
    pub message: String,
}

/// Response to `GET /v1/state` on control hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The current configuration revision.
    pub revision: Revision,
    /// The operator revision to use as `base` of the next change.
    pub operator_revision: Revision,
    /// The labels that operators have set.
    pub labels: Vec<ObjectLabels>,
    /// All groups.
    pub groups: Vec<Group>,
    /// All selectors.
    pub selectors: Vec<Selector>,
    /// All entry hosts.
    pub nodes: Vec<Node>,
    /// All targets.
    pub targets: Vec<Target>,
    /// All index versions.
    pub versions: Vec<VersionState>,
    /// Requests that have crashed targets.
    pub suspects: Vec<SuspectState>,
    /// The control hosts.
    pub members: Vec<Member>,
    /// The last rollout of each service that had one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<Rollout>,
}

impl State {
    /// Builds the response from a configuration and the members of the control cluster.
    pub fn new(config: &Config, members: Vec<Member>) -> Self {
        let labels = config.labels.iter();
        Self {
            revision: config.revision,
            operator_revision: config.operator_revision,
            labels: labels
                .map(|(object, it)| ObjectLabels { object: object.clone(), labels: it.clone() })
                .collect(),
            groups: config.groups.values().cloned().collect(),
            selectors: config.selectors.values().cloned().collect(),
            nodes: config.nodes.values().cloned().collect(),
            targets: config.targets.values().cloned().collect(),
            versions: version_states(config),
            suspects: suspect_states(config),
            members,
            rollouts: config.rollouts.values().cloned().collect(),
        }
    }
}

fn version_states(config: &Config) -> Vec<VersionState> {
    let holdings = config.targets.values().flat_map(|it| &it.holdings);
    let held: BTreeSet<_> = holdings.map(|it| (it.index.as_str(), it.version, it.shard)).collect();
    let state = |index: &str, version, shards| {
        let shards_held = held.range((index, version, 0)..=(index, version, u32::MAX));
        VersionState { index: index.to_owned(), version, shards, held: shards_held.count() as u32 }
    };
    config.versions.iter().map(|((index, version), it)| state(index, *version, it.shards)).collect()
}

fn suspect_states(config: &Config) -> Vec<SuspectState> {
    let state = |(&fingerprint, it): (&u64, &Suspect)| SuspectState {
        fingerprint,
        targets: it.targets.iter().cloned().collect(),
        quarantined: config.is_quarantined(fingerprint),
        until_ms: it.until_ms,
    };
    config.suspects.iter().map(state).collect()
}

/// The labels of one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectLabels {
    /// The object.
    pub object: Object,
    /// The labels that operators have set on it.
    pub labels: Labels,
}

/// An index version, and how many of its shards are available on targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionState {
    /// The name of the index.
    pub index: String,
    /// The version number.
    pub version: u64,
    /// The number of shards.
    pub shards: u32,
    /// The number of shards that at least one target holds.
    pub held: u32,
}

/// A request that has crashed targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectState {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// The targets that crashed while they executed it.
    pub targets: Vec<String>,
    /// Whether the request is rejected.
    pub quarantined: bool,
    /// When the record and the quarantine expire, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

/// A member of the control cluster, as seen by the host that responds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The member id in the Raft cluster.
    pub id: String,
    /// The name of the host.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// The RPC address.
    pub rpc: SocketAddr,
    /// One of `leader`, `voter`, `learner`.
    pub role: String,
}

/// Response to `GET /v1/status` on entry hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The name of the host.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// The configuration revision that the host currently uses.
    pub revision: Revision,
    /// The remaining time of the freshness lease, in milliseconds; 0 if it has expired.
    pub lease_left_ms: u64,
    /// Whether the host is shutting down.
    pub leaving: bool,
    /// The targets that the host owns.
    pub targets: Vec<OwnedTarget>,
}

/// The state of a target at its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedTarget {
    /// The name of the target.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// The current concurrency limit of the owner for this target, in requests.
    pub limit: u32,
    /// The concurrency that the target announced for its warm state; the limit never exceeds it.
    pub slots: u32,
    /// The number of requests in flight.
    pub in_flight: u32,
    /// The number of requests in the owner's queue.
    pub queued: u32,
    /// The number of open connections to the target.
    pub connections: u32,
    /// Why the owner sends no new requests to the target; null if it sends them.
    pub closed: Option<String>,
}

//! JSON bodies between operators' tools and control hosts.

use std::{collections::BTreeSet, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    error::Kind,
    state::{Change, Config, Group, Labels, Node, Object, Revision, Selector, Suspect, Target},
};

/// A change that operators make.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "op", deny_unknown_fields)]
pub enum Edit {
    /// Sets one label.
    SetLabel {
        /// The object.
        object: Object,
        /// The label's key.
        key: String,
        /// The label's value.
        value: String,
    },
    /// Removes one label.
    RemoveLabel {
        /// The object.
        object: Object,
        /// The label's key.
        key: String,
    },
    /// Creates or replaces a group.
    PutGroup(Group),
    /// Removes a group.
    RemoveGroup {
        /// The group's name.
        name: String,
    },
    /// Creates or replaces a selector.
    PutSelector(Selector),
    /// Removes a selector.
    RemoveSelector {
        /// The selector's name.
        name: String,
    },
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
        }
    }
}

/// Body of `POST /v1/changes`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// A UUID chosen by the operator's tool; the same id is never applied twice.
    pub id: String,
    /// The operator revision that the change builds on.
    pub base: Revision,
    /// The change.
    pub edit: Edit,
}

/// Answer to `POST /v1/changes`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// The revision in force after the change.
    pub revision: Revision,
    /// The operator revision that the next change builds on.
    pub operator_revision: Revision,
    /// Set if the change was not applied.
    pub error: Option<Kind>,
    /// Details for the reader.
    pub message: String,
}

/// Answer to `GET /v1/state` on control hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The revision in force.
    pub revision: Revision,
    /// The revision that the next change builds on.
    pub operator_revision: Revision,
    /// Operators' labels.
    pub labels: Vec<ObjectLabels>,
    /// All groups.
    pub groups: Vec<Group>,
    /// All selectors.
    pub selectors: Vec<Selector>,
    /// All entry hosts.
    pub nodes: Vec<Node>,
    /// All targets.
    pub targets: Vec<Target>,
    /// The layouts of all index versions.
    pub versions: Vec<VersionState>,
    /// Requests that crashed targets.
    pub suspects: Vec<SuspectState>,
    /// The control hosts.
    pub members: Vec<Member>,
}

impl State {
    /// The state of this configuration and these control hosts.
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
    /// Its labels.
    pub labels: Labels,
}

/// An index version and how much of it targets hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionState {
    /// The index.
    pub index: String,
    /// The version.
    pub version: u64,
    /// The number of shards.
    pub shards: u32,
    /// How many shards at least one target holds.
    pub held: u32,
}

/// A request that crashed targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectState {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// The targets that crashed.
    pub targets: Vec<String>,
    /// Whether it is blocked.
    pub quarantined: bool,
    /// When this ends, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

/// A control host as the answering one sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The member identity.
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

/// Answer to `GET /v1/status` on entry hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The name of the host.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// The revision in force.
    pub revision: Revision,
    /// What is left of the freshness lease, in milliseconds.
    pub lease_left_ms: u64,
    /// Whether the host is shutting down.
    pub leaving: bool,
    /// The targets that the host owns.
    pub targets: Vec<OwnedTarget>,
}

/// A target as its owner sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedTarget {
    /// The name of the target.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// How many requests the owner runs there at once.
    pub limit: u32,
    /// How many it could run there.
    pub slots: u32,
    /// How many run now.
    pub in_flight: u32,
    /// How many wait.
    pub queued: u32,
    /// Open connections.
    pub connections: u32,
    /// Why no new work goes there, if none does.
    pub closed: Option<String>,
}

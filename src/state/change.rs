//! Commands of the replicated state machine and their replies.

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Outcome},
    route,
    state::{
        Claim, Group, Node, Object, Revision, Selector, Settlement, Target,
        rollout::{Advance, Start},
    },
};

/// Identifies a change, so that a change that is sent again is applied only once.
pub type ChangeId = u128;

/// A command that changes the replicated tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Sets one label of an object.
    SetLabel {
        /// The labelled object.
        object: Object,
        /// Key of the label.
        key: String,
        /// New value of the label.
        value: String,
    },
    /// Removes one label of an object.
    RemoveLabel {
        /// The labelled object.
        object: Object,
        /// Key of the label.
        key: String,
    },
    /// Creates or replaces a group.
    PutGroup(Group),
    /// Removes a group. Rejected while a selector refers to it.
    RemoveGroup {
        /// Name of the group.
        name: String,
    },
    /// Creates or replaces a selector.
    PutSelector(Selector),
    /// Removes a selector.
    RemoveSelector {
        /// Name of the selector.
        name: String,
    },
    /// Replaces the route table. Ignored if a table with a higher version is in force.
    PutRoutes(Box<route::Table>),
    /// Adds or updates an entry host.
    PutNode(Node),
    /// Removes an entry host that stopped or no longer polls.
    RemoveNode {
        /// Name of the entry host.
        name: String,
        /// The process to remove. The change has no effect if another process is registered under this name.
        incarnation: u64,
    },
    /// Adds or updates a target.
    PutTarget(Target),
    /// Removes a target.
    RemoveTarget {
        /// Name of the target.
        name: String,
        /// The process to remove. The change has no effect if another process is registered under this name.
        incarnation: u64,
    },
    /// Records that a target crashed while it ran a request.
    Suspect {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// Name of the target that crashed.
        target: String,
    },
    /// Claims a non-idempotent request before it is sent to a target, so that it runs at most once.
    Claim(Claim),
    /// Records how a claimed request ended.
    Settle {
        /// Idempotency key of the claim.
        key: String,
        /// Nonce of the claim.
        nonce: u64,
        /// How the request ended.
        settlement: Settlement,
    },
    /// Advances the log's clock and removes expired claims and suspects.
    Tick,
    /// Changes part of the route table. Sent to entry hosts in place of `PutRoutes`; never part of the log.
    PatchRoutes(Box<route::Patch>),
    /// Records that a target has said in a response that it is leaving.
    RetireTarget {
        /// Name of the target.
        name: String,
        /// The process that is leaving. The change has no effect if another process is registered under this name.
        incarnation: u64,
    },
    /// Withdraws a suspicion: a target has answered the request.
    Exonerate {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
    /// Records that a target leaves, whichever process of it has said so. Superseded in the log by `Depart`; entry hosts
    /// still get it.
    Leave {
        /// Name of the target.
        name: String,
        /// Maximum difference between the clocks of two hosts, in milliseconds.
        max_clock_skew_ms: u64,
    },
    /// Starts a rollout.
    StartRollout(Start),
    /// Takes a rollout a step further.
    AdvanceRollout(Advance),
    /// Changes part of the route table and its tenants. Sent to entry hosts in place of `PutRoutes`; never part of the log.
    PatchTenants(Box<route::Patch>, Box<route::TenantPatch>),
    /// Adds or updates a target, unless one of its processes has left and this one may be it.
    Announce {
        /// The target.
        target: Target,
        /// The departure after which this process was found healthy, by the log's clock; none if it was not checked.
        healthy_after_ms: Option<u64>,
    },
    /// Records that a target leaves, whichever process of it has said so.
    Depart {
        /// Name of the target.
        name: String,
        /// Maximum difference between the clocks of two hosts, in milliseconds.
        max_clock_skew_ms: u64,
    },
    /// Claims the right to send a quarantined request once, to find out whether it still crashes targets.
    Probe {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
}

impl Change {
    /// The change as sent to entry hosts that hold the `old` route table. A new route table becomes a patch, without
    /// the operators' document, and what was decided on a target becomes the plain change; others stay as they are.
    pub fn for_entry_hosts(&self, old: &route::Table) -> Self {
        match self {
            Self::PutRoutes(table) => {
                let patch = Box::new(route::Patch::between(old, table));
                match route::TenantPatch::between(old, table) {
                    Some(tenants) => Self::PatchTenants(patch, Box::new(tenants)),
                    None => Self::PatchRoutes(patch),
                }
            }
            Self::Announce { target, .. } => Self::PutTarget(target.clone()),
            Self::Depart { name, max_clock_skew_ms } => {
                Self::Leave { name: name.clone(), max_clock_skew_ms: *max_clock_skew_ms }
            }
            change => change.clone(),
        }
    }

    /// Whether operators make this change. Such a change must name the operator revision that it is based on.
    pub fn is_operator_change(&self) -> bool {
        matches!(
            self,
            Self::SetLabel { .. }
                | Self::RemoveLabel { .. }
                | Self::PutGroup(_)
                | Self::RemoveGroup { .. }
                | Self::PutSelector(_)
                | Self::RemoveSelector { .. }
        )
    }
}

/// A log entry of the replicated state machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Identifies the change for deduplication.
    pub id: ChangeId,
    /// The operator revision that the change is based on; required for operators' changes.
    pub base: Option<Revision>,
    /// The leader's clock when it proposed the change, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The change.
    pub change: Change,
}

/// The result of applying a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The change was applied.
    Applied {
        /// The configuration's revision after the change.
        revision: Revision,
    },
    /// The change was not applied, because its base is not the current operator revision.
    Conflict {
        /// The current operator revision.
        current: Revision,
    },
    /// The claim was granted: only the attempt that holds it may send the request, or send the probe.
    Granted,
    /// The claim was not granted, because an earlier attempt holds the key.
    Claimed {
        /// How the earlier attempt ended; `Unknown` while no end is recorded.
        outcome: Outcome,
        /// Recorded result of an earlier attempt with the outcome `Done`.
        result: Option<String>,
    },
    /// The change was invalid and was not applied.
    Rejected(Error),
    /// The probe was not granted, because it is too early.
    Deferred {
        /// Time until it may be granted, in milliseconds.
        wait_ms: u64,
    },
}

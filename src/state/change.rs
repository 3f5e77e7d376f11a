//! Changes of the replicated tables and their replies.

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Outcome},
    route,
    state::{Claim, Group, Node, Object, Revision, Selector, Settlement, Target},
};

/// Identifies a change so that sending it again applies it once.
pub type ChangeId = u128;

/// A change of the replicated tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Sets one label of an object.
    SetLabel {
        /// The object.
        object: Object,
        /// The label's key.
        key: String,
        /// The label's value.
        value: String,
    },
    /// Removes one label of an object.
    RemoveLabel {
        /// The object.
        object: Object,
        /// The label's key.
        key: String,
    },
    /// Creates or replaces a group.
    PutGroup(Group),
    /// Removes a group that no selector names.
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
    /// Replaces all routes, unless routes with a higher number are in force.
    PutRoutes(Box<route::Table>),
    /// Adds or updates an entry host.
    PutNode(Node),
    /// Removes an entry host that stopped or stayed silent.
    RemoveNode {
        /// The host's name.
        name: String,
        /// Only this process of the host is removed.
        incarnation: u64,
    },
    /// Adds or updates a target.
    PutTarget(Target),
    /// Removes a target.
    RemoveTarget {
        /// The target's name.
        name: String,
        /// Only this process of the target is removed.
        incarnation: u64,
    },
    /// Records that a target crashed while it ran a request.
    Suspect {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// The target that crashed.
        target: String,
    },
    /// Claims a non-idempotent request before it is sent.
    Claim(Claim),
    /// Records how a claimed request ended.
    Settle {
        /// The idempotency key.
        key: String,
        /// The nonce of the claim that ran.
        nonce: u64,
        /// How it ended.
        settlement: Settlement,
    },
    /// Advances the clock of the log, so that claims and quarantines expire.
    Tick,
    /// Changes some routes. Entry hosts get it in place of the whole table; it never stands in the log.
    PatchRoutes(Box<route::Patch>),
}

impl Change {
    /// The change as entry hosts get it that hold the `old` routes, without what only operators need.
    pub fn for_entry_hosts(&self, old: &route::Table) -> Self {
        match self {
            Self::PutRoutes(table) => {
                Self::PatchRoutes(Box::new(route::Patch::between(old, table)))
            }
            change => change.clone(),
        }
    }

    /// Whether operators make this change, so that it must name the revision it builds on.
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

/// A change as it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Identifies the change.
    pub id: ChangeId,
    /// The operator revision that the change builds on; required for operators' changes.
    pub base: Option<Revision>,
    /// The leader's clock when it took the change, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The change.
    pub change: Change,
}

/// The answer to a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The change is in force at this revision.
    Applied {
        /// The revision after the change.
        revision: Revision,
    },
    /// The change built on another revision than the current one and was not applied.
    Conflict {
        /// The operator revision in force.
        current: Revision,
    },
    /// The claim was granted: its holder, and nobody else, may send the request.
    Granted,
    /// The key was claimed before.
    Claimed {
        /// How the earlier claim ended; `Unknown` while it has not ended.
        outcome: Outcome,
        /// The recorded result of a request that is done.
        result: Option<String>,
    },
    /// The change was not applied.
    Rejected(Error),
}

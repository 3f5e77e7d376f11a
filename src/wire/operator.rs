//! JSON bodies between operators' tools and control hosts.

use serde::{Deserialize, Serialize};

use crate::{
    error::Kind,
    state::{Group, Object, Revision, Selector},
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

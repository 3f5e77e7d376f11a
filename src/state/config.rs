//! The replicated configuration, of which every entry host holds a copy: labels, groups, selectors, entry hosts,
//! targets, index versions, suspects and routes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::{
    error::{Error, Kind},
    route,
    state::{
        Change, DRAIN_LABEL, Labels, Match, Object, ObjectKind, Reply, Rollout, SOFTWARE_LABEL,
        Suspect, check_name, rollout::check_software,
    },
};

/// Number of a configuration. Each change that alters the configuration increments it.
pub type Revision = u64;

/// A group of targets that serve one index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Name of the group.
    pub name: String,
    /// Name of the index that the group serves.
    pub index: String,
    /// Labels that a target must have to belong to the group.
    pub targets: Match,
}

/// An access rule: admits callers with certain request kinds to a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Selector {
    /// Name of the selector.
    pub name: String,
    /// Labels that a caller must have to be admitted.
    pub callers: Match,
    /// Request kinds that are admitted.
    pub kinds: BTreeSet<String>,
    /// Name of the group that they are admitted to.
    pub group: String,
}

/// An entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Name of the host.
    pub name: String,
    /// Identifies the process among those that ran under this name; a later process has a larger number.
    pub incarnation: u64,
    /// Address of the HTTP listener for callers.
    pub http: SocketAddr,
    /// Address of the RPC listener for other processes of the system.
    pub rpc: SocketAddr,
    /// Availability zone of the host.
    pub zone: String,
    /// Whether the host is shutting down.
    pub leaving: bool,
}

/// Whether a target accepts new requests.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// Accepts requests, possibly limited to `warm_up` at once during a cold start.
    Serving,
    /// Finishes the requests that it runs and accepts no new ones.
    Leaving,
}

/// One shard of one index version that a target holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holding {
    /// Name of the index.
    pub index: String,
    /// Version of the index; larger is newer.
    pub version: u64,
    /// Number of the shard, from 0.
    pub shard: u32,
    /// How many shards this version has in total.
    pub shards: u32,
}

/// A target, which runs requests on the shards that it holds, as it announces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the target.
    pub name: String,
    /// Identifies the process among those that ran under this name; a later process has a larger number.
    pub incarnation: u64,
    /// Address of its HTTP listener.
    pub addr: SocketAddr,
    /// Availability zone of the target.
    pub zone: String,
    /// Labels that the target announces. An operator's label on the target with the same key takes precedence.
    pub labels: Labels,
    /// How many requests it runs at once when warm.
    pub slots: u32,
    /// How many requests it runs at once during a cold start.
    pub warm_up: u32,
    /// How many connections it accepts.
    pub connections: u32,
    /// Whether it accepts new requests.
    pub phase: Phase,
    /// The shards that it holds.
    pub holdings: Vec<Holding>,
}

/// The layout of one index version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// How many shards the version has.
    pub shards: u32,
}

/// The configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Number of this configuration.
    pub revision: Revision,
    /// The revision that the last operator's change made. It is the base of operators' changes, so that changes by
    /// hosts and targets cause no conflicts.
    pub operator_revision: Revision,
    /// The log's clock: the latest time of all applied entries, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Labels set by operators.
    pub labels: BTreeMap<Object, Labels>,
    /// Groups by name.
    pub groups: BTreeMap<String, Group>,
    /// Selectors by name.
    pub selectors: BTreeMap<String, Selector>,
    /// Entry hosts by name.
    pub nodes: BTreeMap<String, Node>,
    /// Targets by name.
    pub targets: BTreeMap<String, Target>,
    /// Known versions by index name and version number. A version stays known while targets hold it or no newer one is
    /// complete.
    pub versions: BTreeMap<(String, u64), Version>,
    /// Requests that crashed targets, by fingerprint.
    pub suspects: BTreeMap<u64, Suspect>,
    /// The route table in force.
    pub routes: route::Table,
    /// The last rollout of each service that had one. Encoded apart (see [`state::rollout::Rollouts`]): earlier releases do
    /// not have it.
    ///
    /// [`state::rollout::Rollouts`]: crate::state::rollout::Rollouts
    #[serde(skip)]
    pub rollouts: BTreeMap<String, Rollout>,
    /// The software version in force of each service with targets whose version is known. Encoded apart like `rollouts`.
    #[serde(skip)]
    pub service_versions: BTreeMap<String, String>,
}

impl Config {
    /// Applies a change and increments the revision if the configuration was altered. Advances the log's clock to
    /// `now_ms`, but never sets it back.
    pub fn apply(&mut self, change: &Change, now_ms: u64) -> Result<Reply, Error> {
        self.advance_clock(now_ms);
        let changed = self.apply_change(change)?;
        if changed {
            self.revision += 1;
            if change.is_operator_change() {
                self.operator_revision = self.revision;
            }
        }
        Ok(Reply::Applied { revision: self.revision })
    }

    /// Advances the log's clock, but never sets it back.
    pub(super) fn advance_clock(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
    }

    /// The configuration as sent to entry hosts: without the operators' document of the route table.
    pub fn for_entry_hosts(&self) -> Self {
        Self { routes: self.routes.without_document(), ..self.clone() }
    }

    /// The labels in force on an object: those set by operators, and for a target also those that it announces. If both
    /// have a key, the operators' value takes precedence.
    pub fn effective_labels(&self, kind: ObjectKind, name: &str) -> Labels {
        let mut labels = match kind {
            ObjectKind::Target => {
                self.targets.get(name).map(|it| it.labels.clone()).unwrap_or_default()
            }
            _ => Labels::new(),
        };
        if let Some(from_operators) = self.labels.get(&Object::new(kind, name)) {
            labels.extend(from_operators.iter().map(|(key, value)| (key.clone(), value.clone())));
        }
        labels
    }

    /// Whether operators have set a label of the object to this value. Labels that a target announces do not count.
    pub fn has_operator_label(&self, kind: ObjectKind, name: &str, key: &str, value: &str) -> bool {
        self.labels
            .get(&Object::new(kind, name))
            .and_then(|labels| labels.get(key))
            .is_some_and(|it| it == value)
    }

    /// Whether operators have taken a zone, host or target out of service.
    pub fn is_drained(&self, kind: ObjectKind, name: &str) -> bool {
        self.has_operator_label(kind, name, DRAIN_LABEL, "true")
    }

    /// Applies a change and returns whether it altered the configuration. Claims, settlements and probes never do. Copies get only
    /// the changes that did, so one that returns false or an error must leave everything but the clock as it was.
    fn apply_change(&mut self, change: &Change) -> Result<bool, Error> {
        match change {
            Change::SetLabel { object, key, value } => self.set_label(object, key, value),
            Change::RemoveLabel { object, key } => Ok(self.remove_label(object, key)),
            Change::PutGroup(group) => self.put_group(group),
            Change::RemoveGroup { name } => self.remove_group(name),
            Change::PutSelector(selector) => self.put_selector(selector),
            Change::RemoveSelector { name } => Ok(self.selectors.remove(name).is_some()),
            Change::PutRoutes(table) => self.put_routes(table),
            Change::PatchRoutes(patch) => self.patch_routes(patch, None),
            Change::PatchTenants(patch, tenants) => self.patch_routes(patch, Some(tenants)),
            Change::PutNode(node) => self.put_node(node),
            Change::RemoveNode { name, incarnation } => {
                let current = self.nodes.get(name).is_some_and(|it| it.incarnation == *incarnation);
                Ok(current && self.nodes.remove(name).is_some())
            }
            Change::PutTarget(target) | Change::Announce { target, .. } => self.put_target(target),
            Change::RemoveTarget { name, incarnation } => {
                let current =
                    self.targets.get(name).is_some_and(|it| it.incarnation == *incarnation);
                let removed = current && self.targets.remove(name).is_some();
                if removed {
                    self.remove_superseded_versions();
                    self.remove_unused_service_versions();
                }
                Ok(removed)
            }
            Change::Suspect { fingerprint, target } => Ok(self.record_crash(*fingerprint, target)),
            Change::RetireTarget { name, incarnation } => {
                Ok(self.retire_target(name, *incarnation))
            }
            Change::Leave { name, .. } | Change::Depart { name, .. } => {
                let known = self.targets.get(name).map(|it| it.incarnation);
                Ok(known.is_some_and(|it| self.retire_target(name, it)))
            }
            Change::Exonerate { fingerprint } => Ok(self.suspects.remove(fingerprint).is_some()),
            Change::Tick => Ok(self.expire_suspects()),
            Change::StartRollout(start) => self.start_rollout(start),
            Change::AdvanceRollout(advance) => self.advance_rollout(advance),
            Change::Claim(_) | Change::Settle { .. } | Change::Probe { .. } => Ok(false),
        }
    }

    fn set_label(&mut self, object: &Object, key: &str, value: &str) -> Result<bool, Error> {
        check_name(&object.name)?;
        check_name(key)?;
        check_name(value)?;
        let labels = self.labels.entry(object.clone()).or_default();
        Ok(labels.insert(key.to_owned(), value.to_owned()).as_deref() != Some(value))
    }

    fn remove_label(&mut self, object: &Object, key: &str) -> bool {
        let Some(labels) = self.labels.get_mut(object) else { return false };
        let removed = labels.remove(key).is_some();
        if labels.is_empty() {
            self.labels.remove(object);
        }
        removed
    }

    fn put_group(&mut self, group: &Group) -> Result<bool, Error> {
        check_name(&group.name)?;
        check_name(&group.index)?;
        Ok(self.groups.insert(group.name.clone(), group.clone()).as_ref() != Some(group))
    }

    fn remove_group(&mut self, name: &str) -> Result<bool, Error> {
        if let Some(selector) = self.selectors.values().find(|it| it.group == name) {
            let message = format!("selector {:?} still names the group {name:?}", selector.name);
            return Err(Error::new(Kind::BadRequest, message));
        }
        Ok(self.groups.remove(name).is_some())
    }

    fn put_selector(&mut self, selector: &Selector) -> Result<bool, Error> {
        check_name(&selector.name)?;
        if !self.groups.contains_key(&selector.group) {
            let message = format!("there is no group {:?}", selector.group);
            return Err(Error::new(Kind::NotFound, message));
        }
        let old = self.selectors.insert(selector.name.clone(), selector.clone());
        Ok(old.as_ref() != Some(selector))
    }

    /// Replaces the route table. The table with the highest version is in force: an older one is ignored, and the
    /// version in force is accepted again only if the table and the content of its document are the same; the document that
    /// came first stays. Version 0 stands for no table.
    fn put_routes(&mut self, table: &route::Table) -> Result<bool, Error> {
        let current = self.routes.version;
        if table.version < current {
            return Ok(false);
        }
        if table.version == current && current > 0 {
            let conflict = |it| Err(Error::new(Kind::Conflict, it));
            return table.conflict_with(&self.routes).map_or(Ok(false), conflict);
        }
        if table.version == 0 {
            return Err(Error::new(Kind::BadRequest, "version 0 stands for no route table"));
        }
        table.check().map_err(|it| Error::new(Kind::BadRequest, it.to_string()))?;
        self.routes = table.clone();
        self.end_rollouts_of_removed_services();
        self.remove_unused_service_versions();
        Ok(true)
    }

    fn patch_routes(
        &mut self,
        patch: &route::Patch,
        tenants: Option<&route::TenantPatch>,
    ) -> Result<bool, Error> {
        let old = &self.routes;
        let table = patch.apply(old).and_then(|table| match tenants {
            Some(tenants) => tenants.apply(old, table),
            None => Some(table),
        });
        let Some(table) = table else {
            let message =
                format!("the patch does not apply to route table version {}", self.routes.version);
            return Err(Error::new(Kind::Conflict, message));
        };
        self.put_routes(&table)
    }

    fn put_node(&mut self, node: &Node) -> Result<bool, Error> {
        check_name(&node.name)?;
        check_name(&node.zone)?;
        if let Some(old) = self.nodes.get(&node.name)
            && old.incarnation > node.incarnation
        {
            return Err(Error::new(Kind::Conflict, "a newer process uses this host name"));
        }
        Ok(self.nodes.insert(node.name.clone(), node.clone()).as_ref() != Some(node))
    }

    fn put_target(&mut self, target: &Target) -> Result<bool, Error> {
        check_name(&target.name)?;
        check_name(&target.zone)?;
        for (key, value) in &target.labels {
            check_name(key)?;
            if key == SOFTWARE_LABEL { check_software(value)? } else { check_name(value)? }
        }
        if target.slots == 0 || target.warm_up == 0 || target.connections == 0 {
            let message = "slots, warm_up and connections must be at least 1";
            return Err(Error::new(Kind::BadRequest, message));
        }
        if let Some(old) = self.targets.get(&target.name)
            && old.incarnation > target.incarnation
        {
            return Err(Error::new(Kind::Conflict, "a newer process uses this target name"));
        }
        self.check_holdings(&target.holdings)?;
        let mut target = target.clone();
        if let Some(old) = self.targets.get(&target.name)
            && (old.incarnation, old.phase) == (target.incarnation, Phase::Leaving)
        {
            // An announcement from before the leave may be committed after it, through another control host.
            target.phase = Phase::Leaving;
        }
        if self.targets.get(&target.name) == Some(&target) {
            return Ok(false);
        }
        for holding in &target.holdings {
            let key = (holding.index.clone(), holding.version);
            self.versions.entry(key).or_insert(Version { shards: holding.shards });
        }
        self.record_service_version(&target);
        self.targets.insert(target.name.clone(), target);
        self.remove_superseded_versions();
        Ok(true)
    }

    /// Marks a target as leaving. Returns whether it was in service.
    fn retire_target(&mut self, name: &str, incarnation: u64) -> bool {
        let serving = self
            .targets
            .get_mut(name)
            .filter(|it| (it.incarnation, it.phase) == (incarnation, Phase::Serving));
        let Some(target) = serving else { return false };
        target.phase = Phase::Leaving;
        true
    }
}

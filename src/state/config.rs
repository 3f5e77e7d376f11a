//! The configuration that every entry host holds: labels, groups, selectors, membership, versions, suspicions.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::{
    error::{Error, Kind},
    route,
    state::{Change, DRAIN_LABEL, Labels, Match, Object, ObjectKind, Reply, Suspect, check_name},
};

/// Number of the configuration; each accepted change of the configuration adds one.
pub type Revision = u64;

/// A group of targets that serve one index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The name of the group.
    pub name: String,
    /// The index whose versions the group serves.
    pub index: String,
    /// Which targets belong to the group.
    pub targets: Match,
}

/// Admits callers with some request kinds to a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Selector {
    /// The name of the selector.
    pub name: String,
    /// Which callers are admitted, by their labels.
    pub callers: Match,
    /// Which request kinds are admitted.
    pub kinds: BTreeSet<String>,
    /// The group that is reached.
    pub group: String,
}

/// An entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// The name of the host.
    pub name: String,
    /// Distinguishes the processes that ran under this name.
    pub incarnation: u64,
    /// The address for callers.
    pub http: SocketAddr,
    /// The address for other processes of the system.
    pub rpc: SocketAddr,
    /// The availability zone.
    pub zone: String,
    /// Whether the host is shutting down.
    pub leaving: bool,
}

/// Whether a target accepts new work.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// Accepts work, possibly at its warm-up limit.
    Serving,
    /// Finishes its work and accepts none.
    Leaving,
}

/// One shard of one index version that a target holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holding {
    /// The name of the index.
    pub index: String,
    /// The version of the index; larger is newer.
    pub version: u64,
    /// The shard held.
    pub shard: u32,
    /// The number of shards of this version.
    pub shards: u32,
}

/// What a target announces about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The name of the target.
    pub name: String,
    /// Distinguishes the processes that ran under this name.
    pub incarnation: u64,
    /// The address of its HTTP listener.
    pub addr: SocketAddr,
    /// The availability zone.
    pub zone: String,
    /// Labels that the target brings; operators' labels on it take precedence.
    pub labels: Labels,
    /// How many requests it runs at once when warm.
    pub slots: u32,
    /// How many requests it bears in a cold start.
    pub warm_up: u32,
    /// How many connections it accepts.
    pub connections: u32,
    /// Whether it accepts new work.
    pub phase: Phase,
    /// What it holds.
    pub holdings: Vec<Holding>,
}

/// The layout of one index version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The number of shards.
    pub shards: u32,
}

/// The configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// The number of this configuration.
    pub revision: Revision,
    /// The last revision that an operator's change made; operators' changes build on it.
    pub operator_revision: Revision,
    /// The clock of the control log, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Operators' labels.
    pub labels: BTreeMap<Object, Labels>,
    /// Groups by name.
    pub groups: BTreeMap<String, Group>,
    /// Selectors by name.
    pub selectors: BTreeMap<String, Selector>,
    /// Entry hosts by name.
    pub nodes: BTreeMap<String, Node>,
    /// Targets by name.
    pub targets: BTreeMap<String, Target>,
    /// Layouts by index and version.
    pub versions: BTreeMap<(String, u64), Version>,
    /// Requests under suspicion, by fingerprint.
    pub suspects: BTreeMap<u64, Suspect>,
    /// The routes in force.
    pub routes: route::Table,
}

impl Config {
    /// Applies a change of the configuration. `now_ms` never runs backwards.
    pub fn apply(&mut self, change: &Change, now_ms: u64) -> Result<Reply, Error> {
        self.now_ms = self.now_ms.max(now_ms);
        let changed = self.apply_change(change)?;
        if changed {
            self.revision += 1;
            if change.is_operator_change() {
                self.operator_revision = self.revision;
            }
        }
        Ok(Reply::Applied { revision: self.revision })
    }

    /// The configuration as entry hosts get it, without what only operators need.
    pub fn for_entry_hosts(&self) -> Self {
        Self { routes: self.routes.without_document(), ..self.clone() }
    }

    /// The labels in force on an object.
    pub fn effective_labels(&self, kind: ObjectKind, name: &str) -> Labels {
        let mut labels = match kind {
            ObjectKind::Target => {
                self.targets.get(name).map(|it| it.labels.clone()).unwrap_or_default()
            }
            _ => Labels::new(),
        };
        if let Some(own) = self.labels.get(&Object::new(kind, name)) {
            labels.extend(own.iter().map(|(key, value)| (key.clone(), value.clone())));
        }
        labels
    }

    /// Whether an operator's label on the object has this value.
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

    fn apply_change(&mut self, change: &Change) -> Result<bool, Error> {
        match change {
            Change::SetLabel { object, key, value } => self.set_label(object, key, value),
            Change::RemoveLabel { object, key } => Ok(self.remove_label(object, key)),
            Change::PutGroup(group) => self.put_group(group),
            Change::RemoveGroup { name } => self.remove_group(name),
            Change::PutSelector(selector) => self.put_selector(selector),
            Change::RemoveSelector { name } => Ok(self.selectors.remove(name).is_some()),
            Change::PutRoutes(table) => self.put_routes(table),
            Change::PatchRoutes(patch) => self.patch_routes(patch),
            Change::PutNode(node) => self.put_node(node),
            Change::RemoveNode { name, incarnation } => {
                let current = self.nodes.get(name).is_some_and(|it| it.incarnation == *incarnation);
                Ok(current && self.nodes.remove(name).is_some())
            }
            Change::PutTarget(target) => self.put_target(target),
            Change::RemoveTarget { name, incarnation } => {
                let current =
                    self.targets.get(name).is_some_and(|it| it.incarnation == *incarnation);
                let removed = current && self.targets.remove(name).is_some();
                self.remove_superseded_versions();
                Ok(removed)
            }
            Change::Suspect { fingerprint, target } => Ok(self.record_crash(*fingerprint, target)),
            Change::Tick => Ok(self.expire_suspects()),
            Change::Claim(_) | Change::Settle { .. } => Ok(false),
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

    /// The highest number is in force. An old number changes nothing; other routes under the number in force are
    /// refused. The number counts only among operators' documents, so entry hosts, which hold none, compare routes
    /// alone.
    fn put_routes(&mut self, table: &route::Table) -> Result<bool, Error> {
        let current = self.routes.version;
        if table.version < current {
            return Ok(false);
        }
        if table.version == current && !self.routes.routes.is_empty() {
            let same = (&table.routes, &table.services, &table.limits)
                == (&self.routes.routes, &self.routes.services, &self.routes.limits);
            let message = format!("other routes are in force under the number {current}");
            return if same { Ok(false) } else { Err(Error::new(Kind::Conflict, message)) };
        }
        table.check().map_err(|it| Error::new(Kind::BadRequest, it.to_string()))?;
        self.routes = table.clone();
        Ok(true)
    }

    fn patch_routes(&mut self, patch: &route::Patch) -> Result<bool, Error> {
        let Some(table) = patch.apply(&self.routes) else {
            let message =
                format!("routes number {} are no base of this patch", self.routes.version);
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
            check_name(value)?;
        }
        if target.slots == 0 || target.warm_up == 0 || target.connections == 0 {
            let message = "slots, warm_up and connections are at least 1";
            return Err(Error::new(Kind::BadRequest, message));
        }
        if let Some(old) = self.targets.get(&target.name)
            && old.incarnation > target.incarnation
        {
            return Err(Error::new(Kind::Conflict, "a newer process uses this target name"));
        }
        self.check_holdings(&target.holdings)?;
        for holding in &target.holdings {
            let key = (holding.index.clone(), holding.version);
            self.versions.entry(key).or_insert(Version { shards: holding.shards });
        }
        let old = self.targets.insert(target.name.clone(), target.clone());
        self.remove_superseded_versions();
        Ok(old.as_ref() != Some(target))
    }

    fn check_holdings(&self, holdings: &[Holding]) -> Result<(), Error> {
        for holding in holdings {
            check_name(&holding.index)?;
            if holding.shard >= holding.shards {
                let message =
                    format!("shard {} of {} does not exist", holding.shard, holding.shards);
                return Err(Error::new(Kind::BadRequest, message));
            }
            let key = (holding.index.clone(), holding.version);
            let known = self.versions.get(&key).map_or(holding.shards, |it| it.shards);
            if known != holding.shards {
                let message = format!(
                    "{}@{} has {known} shards, not {}",
                    holding.index, holding.version, holding.shards
                );
                return Err(Error::new(Kind::BadRequest, message));
            }
        }
        Ok(())
    }

    /// Drops each version that no target holds while a newer one of the same index is complete.
    fn remove_superseded_versions(&mut self) {
        let mut held: BTreeMap<(&str, u64), BTreeSet<u32>> = BTreeMap::new();
        for holding in self.targets.values().flat_map(|it| &it.holdings) {
            held.entry((&holding.index, holding.version)).or_default().insert(holding.shard);
        }
        let complete = |index: &str, version: u64| {
            self.versions
                .iter()
                .filter(|((name, number), _)| name == index && *number > version)
                .any(|((name, number), layout)| {
                    let shards = held.get(&(name.as_str(), *number)).map_or(0, BTreeSet::len);
                    shards == layout.shards as usize
                })
        };
        let old: Vec<_> = self
            .versions
            .keys()
            .filter(|(index, version)| {
                !held.contains_key(&(index.as_str(), *version)) && complete(index, *version)
            })
            .cloned()
            .collect();
        for key in old {
            self.versions.remove(&key);
        }
    }
}

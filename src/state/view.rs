//! The routing view: an immutable index of the configuration at one revision, built once per revision and then shared.
//! Targets and entry hosts are addressed by small integer keys, which are valid only within one view.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
};

use crate::{
    error::{Error, Kind},
    policy::ownership::Candidates,
    state::{Config, Group, Labels, ObjectKind, Phase, Revision, Selector},
    wire::owner::Class,
};

/// Key of a target within one view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey(pub u32);

/// Key of an entry host within one view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeKey(pub u32);

/// A target as needed for routing.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// Name of the target.
    pub name: String,
    /// Identifies the process among those that ran under this name.
    pub incarnation: u64,
    /// Address of its HTTP listener.
    pub addr: SocketAddr,
    /// Availability zone of the target.
    pub zone: String,
    /// How many requests it runs at once when warm.
    pub slots: u32,
    /// How many requests it runs at once during a cold start; at most `slots`.
    pub warm_up: u32,
    /// How many connections it accepts.
    pub connections: u32,
    /// Whether it may get new requests: it is serving, and neither it nor its zone is drained.
    pub usable: bool,
    /// The entry host through which all requests to the target go; none if no entry host is usable.
    pub owner: Option<NodeKey>,
}

/// An entry host as needed for routing.
#[derive(Clone, Debug)]
pub struct NodeView {
    /// Name of the host.
    pub name: String,
    /// Identifies the process among those that ran under this name.
    pub incarnation: u64,
    /// Address of the HTTP listener for callers.
    pub http: SocketAddr,
    /// Address of the RPC listener for other processes of the system.
    pub rpc: SocketAddr,
    /// Availability zone of the host.
    pub zone: String,
    /// Whether it may own targets and is listed for callers: it is not leaving, and neither it nor its zone is drained.
    pub usable: bool,
}

/// The replicas of one index version in a group.
#[derive(Clone, Debug)]
pub struct VersionView {
    /// Version number; larger is newer.
    pub number: u64,
    /// Whether operators excluded it from new queries with the label `retired=true`.
    pub retired: bool,
    /// The targets that hold each shard, usable or not.
    pub shards: Vec<Vec<TargetKey>>,
}

/// A group as needed for routing.
#[derive(Clone, Debug)]
pub struct GroupView {
    /// Name of the group.
    pub name: String,
    /// Name of the index that it serves.
    pub index: String,
    /// Known versions of the index, the newest first.
    pub versions: Vec<VersionView>,
}

/// The routing view of one revision.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The revision that the view was built from.
    pub revision: Revision,
    /// Targets, indexed by [`TargetKey`].
    targets: Vec<TargetView>,
    target_keys: HashMap<String, TargetKey>,
    /// Entry hosts, indexed by [`NodeKey`].
    nodes: Vec<NodeView>,
    groups: HashMap<String, GroupView>,
    selectors: Vec<Selector>,
    /// Labels of callers by name.
    callers: HashMap<String, Labels>,
    /// Labels of request kinds by name.
    kinds: HashMap<String, Labels>,
    /// Fingerprints of quarantined requests in ascending order, for binary search.
    quarantine: Vec<u64>,
    /// Targets that each suspect request crashed, by fingerprint.
    suspects: HashMap<u64, BTreeSet<String>>,
}

impl View {
    /// Builds the view of a configuration.
    pub fn build(config: &Config) -> Self {
        let mut view = Self {
            revision: config.revision,
            selectors: config.selectors.values().cloned().collect(),
            callers: labels_by_name(config, ObjectKind::Caller),
            kinds: labels_by_name(config, ObjectKind::Kind),
            quarantine: config.quarantined_fingerprints().collect(),
            suspects: config
                .suspects
                .iter()
                .map(|(fingerprint, it)| (*fingerprint, it.targets.clone()))
                .collect(),
            ..Self::default()
        };
        view.add_nodes(config);
        view.add_targets(config);
        for group in config.groups.values() {
            let group_view = view.build_group(config, group);
            view.groups.insert(group.name.clone(), group_view);
        }
        view
    }

    /// The target with this key.
    pub fn target(&self, key: TargetKey) -> &TargetView {
        &self.targets[key.0 as usize]
    }

    /// The key of the target with this name.
    pub fn target_key(&self, name: &str) -> Option<TargetKey> {
        self.target_keys.get(name).copied()
    }

    /// All targets with their keys, ordered by name.
    pub fn targets(&self) -> impl Iterator<Item = (TargetKey, &TargetView)> {
        self.targets.iter().enumerate().map(|(i, it)| (TargetKey(i as u32), it))
    }

    /// The entry host with this key.
    pub fn node(&self, key: NodeKey) -> &NodeView {
        &self.nodes[key.0 as usize]
    }

    /// All entry hosts with their keys, ordered by name.
    pub fn nodes(&self) -> impl Iterator<Item = (NodeKey, &NodeView)> {
        self.nodes.iter().enumerate().map(|(i, it)| (NodeKey(i as u32), it))
    }

    /// The group with this name.
    pub fn group(&self, name: &str) -> Option<&GroupView> {
        self.groups.get(name)
    }

    /// The group, if a selector admits this caller with this request kind to it. Access is denied by default. An
    /// unknown group gives the same error as a forbidden one, so that callers cannot find out which groups exist.
    pub fn admit(&self, caller: &str, kind: &str, group: &str) -> Result<&GroupView, Error> {
        let no_labels = Labels::new();
        let labels = self.callers.get(caller).unwrap_or(&no_labels);
        let admitted = self
            .selectors
            .iter()
            .any(|it| it.group == group && it.kinds.contains(kind) && it.callers.matches(labels));
        if admitted && let Some(view) = self.groups.get(group) {
            return Ok(view);
        }
        let message = format!("no selector admits caller {caller:?} with {kind:?} to {group:?}");
        Err(Error::new(Kind::NotAdmitted, message))
    }

    /// The admission class of a request kind, from its label `class`; `Broad` without a valid label.
    pub fn class(&self, kind: &str) -> Class {
        self.kind_label(kind, "class").and_then(|it| it.parse().ok()).unwrap_or(Class::Broad)
    }

    /// Whether a request of this kind may run more than once: true unless its label `idempotent` is `false`.
    pub fn is_idempotent(&self, kind: &str) -> bool {
        self.kind_label(kind, "idempotent") != Some("false")
    }

    /// Whether the request with this fingerprint is quarantined.
    pub fn is_quarantined(&self, fingerprint: u64) -> bool {
        self.quarantine.binary_search(&fingerprint).is_ok()
    }

    /// Whether the target crashed while it ran the request with this fingerprint.
    pub fn has_crashed_target(&self, fingerprint: u64, target: &str) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|it| it.contains(target))
    }

    fn kind_label(&self, kind: &str, key: &str) -> Option<&str> {
        self.kinds.get(kind)?.get(key).map(String::as_str)
    }

    fn add_nodes(&mut self, config: &Config) {
        for node in config.nodes.values() {
            let drained = is_drained(config, ObjectKind::Node, &node.name, &node.zone);
            self.nodes.push(NodeView {
                name: node.name.clone(),
                incarnation: node.incarnation,
                http: node.http,
                rpc: node.rpc,
                zone: node.zone.clone(),
                usable: !node.leaving && !drained,
            });
        }
    }

    fn add_targets(&mut self, config: &Config) {
        let candidates = Candidates::new(&self.nodes);
        for target in config.targets.values() {
            let drained = is_drained(config, ObjectKind::Target, &target.name, &target.zone);
            let owner = candidates.owner(&target.name, &target.zone);
            self.target_keys.insert(target.name.clone(), TargetKey(self.targets.len() as u32));
            self.targets.push(TargetView {
                name: target.name.clone(),
                incarnation: target.incarnation,
                addr: target.addr,
                zone: target.zone.clone(),
                slots: target.slots,
                warm_up: target.warm_up.min(target.slots),
                connections: target.connections,
                usable: target.phase == Phase::Serving && !drained,
                owner,
            });
        }
    }

    /// Collects the replicas of each known version of the group's index among the group's targets.
    fn build_group(&self, config: &Config, group: &Group) -> GroupView {
        let mut versions: BTreeMap<u64, VersionView> = config
            .versions
            .iter()
            .filter(|((index, _), _)| *index == group.index)
            .map(|((index, number), layout)| {
                let name = format!("{index}@{number}");
                let retired =
                    config.has_operator_label(ObjectKind::Version, &name, "retired", "true");
                let shards = vec![Vec::new(); layout.shards as usize];
                (*number, VersionView { number: *number, retired, shards })
            })
            .collect();
        for (key, target) in config.targets.values().enumerate() {
            if !group.targets.matches(&config.effective_labels(ObjectKind::Target, &target.name)) {
                continue;
            }
            for holding in target.holdings.iter().filter(|it| it.index == group.index) {
                let Some(version) = versions.get_mut(&holding.version) else { continue };
                if let Some(shard) = version.shards.get_mut(holding.shard as usize) {
                    shard.push(TargetKey(key as u32));
                }
            }
        }
        GroupView {
            name: group.name.clone(),
            index: group.index.clone(),
            versions: versions.into_values().rev().collect(),
        }
    }
}

/// Whether operators have drained an object or its zone.
fn is_drained(config: &Config, kind: ObjectKind, name: &str, zone: &str) -> bool {
    config.is_drained(kind, name) || config.is_drained(ObjectKind::Zone, zone)
}

/// The operators' labels of all objects of one kind.
fn labels_by_name(config: &Config, kind: ObjectKind) -> HashMap<String, Labels> {
    config
        .labels
        .iter()
        .filter(|(object, _)| object.kind == kind)
        .map(|(object, labels)| (object.name.clone(), labels.clone()))
        .collect()
}

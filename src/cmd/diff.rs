//! Computes the effect of a change without applying it.
//!
//! The change is applied to a local copy of the configuration. The routing views before and after, built by the same code
//! as on entry hosts, are then compared.

use std::{collections::BTreeSet, fmt, ops::Not};

use eyre::{Result, WrapErr};
use serde::Serialize;

use crate::{
    cmd::output,
    policy::pin::{self, Pin},
    state::{
        Change, Config, GroupView, ObjectKind, Revision, Selector, Suspect, TargetKey, Version,
        VersionView, View,
    },
    wire::operator::State,
};

/// Shown in place of a caller's name for all callers without labels. It is no valid name, so it matches no labels.
const UNLABELLED_CALLERS: &str = "(callers without labels)";

/// The effect of a change on targets, entry hosts, groups, shards, callers and request kinds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Effect {
    /// The operator revision that the change builds on.
    pub operator_revision: Revision,
    /// Targets that stop receiving new requests.
    pub targets_closed: Vec<String>,
    /// Targets that start to receive new requests again.
    pub targets_opened: Vec<String>,
    /// Entry hosts that are no longer listed for callers and no longer own targets.
    pub nodes_closed: Vec<String>,
    /// Entry hosts that are listed for callers and may own targets again.
    pub nodes_opened: Vec<String>,
    /// Targets whose owner changes, including to or from no owner.
    pub owners_changed: Vec<String>,
    /// Groups whose pinned version, coverage or number of usable targets changes.
    pub groups: Vec<GroupEffect>,
    /// Shards that lose their last usable replica, in any version of a group.
    pub shards_lost: Vec<LostShard>,
    /// Combinations of caller, request kind and group that are no longer admitted.
    pub access_lost: Vec<Access>,
    /// Combinations of caller, request kind and group that are newly admitted.
    pub access_gained: Vec<Access>,
    /// Request kinds whose admission class or idempotence changes.
    pub kinds: Vec<KindEffect>,
}

/// The coverage of a group before and after a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct GroupEffect {
    /// The group.
    pub group: String,
    /// Version and coverage of new queries now; none if there is no group or no version in use.
    pub before: Option<Coverage>,
    /// Version and coverage of new queries after the change.
    pub after: Option<Coverage>,
    /// The number of usable targets now.
    pub targets_before: usize,
    /// The number of usable targets after the change.
    pub targets_after: usize,
}

/// The version that new queries of a group are pinned to, with its covered shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Coverage {
    /// The number of the version.
    pub version: u64,
    /// The number of shards with a usable replica.
    pub covered: u32,
    /// The number of shards of the version.
    pub total: u32,
}

/// A shard that has no usable replica after the change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LostShard {
    /// The group.
    pub group: String,
    /// The number of the version.
    pub version: u64,
    /// The shard.
    pub shard: usize,
}

/// The permission of a caller to send requests of one kind to a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Access {
    /// The caller.
    pub caller: String,
    /// The request kind.
    pub kind: String,
    /// The group.
    pub group: String,
}

/// Admission class and idempotence of a request kind before and after a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KindEffect {
    /// The request kind.
    pub kind: String,
    /// The rules now, as text.
    pub before: String,
    /// The rules after the change, as text.
    pub after: String,
}

/// Computes the effect of a change on the control state. Fails if the change would be rejected.
pub fn effect(state: &State, change: &Change) -> Result<Effect> {
    let before = config_from_state(state);
    let mut after = before.clone();
    after.apply(change, before.now_ms).wrap_err("the change would be rejected")?;
    Ok(compare(&before, &after))
}

/// Rebuilds the configuration from the state that the API returns. Routes and rollouts are left empty, and `now_ms` is 0: the API
/// returns neither.
pub fn config_from_state(state: &State) -> Config {
    Config {
        revision: state.revision,
        operator_revision: state.operator_revision,
        now_ms: 0,
        labels: state.labels.iter().map(|it| (it.object.clone(), it.labels.clone())).collect(),
        groups: state.groups.iter().map(|it| (it.name.clone(), it.clone())).collect(),
        selectors: state.selectors.iter().map(|it| (it.name.clone(), it.clone())).collect(),
        nodes: state.nodes.iter().map(|it| (it.name.clone(), it.clone())).collect(),
        targets: state.targets.iter().map(|it| (it.name.clone(), it.clone())).collect(),
        versions: state
            .versions
            .iter()
            .map(|it| ((it.index.clone(), it.version), Version { shards: it.shards }))
            .collect(),
        suspects: state
            .suspects
            .iter()
            .map(|it| {
                let targets = it.targets.iter().cloned().collect();
                (it.fingerprint, Suspect { targets, until_ms: it.until_ms })
            })
            .collect(),
        routes: Default::default(),
        rollouts: Default::default(),
        service_versions: Default::default(),
    }
}

fn compare(old: &Config, new: &Config) -> Effect {
    let (before, after) = (View::build(old), View::build(new));
    let mut effect = Effect { operator_revision: old.operator_revision, ..Effect::default() };
    effect.compare_targets(&before, &after);
    effect.compare_nodes(&before, &after);
    for name in union(old.groups.keys(), new.groups.keys()) {
        effect.compare_group(name, &before, &after);
    }
    let (old_access, new_access) =
        (admitted_access(old, new, &before), admitted_access(old, new, &after));
    effect.access_lost = old_access.difference(&new_access).cloned().collect();
    effect.access_gained = new_access.difference(&old_access).cloned().collect();
    effect.compare_kinds(old, new, &before, &after);
    effect
}

impl Effect {
    fn compare_targets(&mut self, before: &View, after: &View) {
        // Operators' changes neither add nor remove targets, so both views list the same targets in the same order.
        for ((_, old), (_, new)) in before.targets().zip(after.targets()) {
            match (old.usable, new.usable) {
                (true, false) => self.targets_closed.push(old.name.clone()),
                (false, true) => self.targets_opened.push(old.name.clone()),
                _ => {}
            }
            if old.owner != new.owner {
                self.owners_changed.push(old.name.clone());
            }
        }
    }

    fn compare_nodes(&mut self, before: &View, after: &View) {
        // The same holds for entry hosts.
        for ((_, old), (_, new)) in before.nodes().zip(after.nodes()) {
            match (old.usable, new.usable) {
                (true, false) => self.nodes_closed.push(old.name.clone()),
                (false, true) => self.nodes_opened.push(old.name.clone()),
                _ => {}
            }
        }
    }

    fn compare_group(&mut self, name: &str, before: &View, after: &View) {
        let [old, new] = [before, after].map(|it| it.group(name).map(|group| (it, group)));
        let row = GroupEffect {
            group: name.to_owned(),
            before: old.and_then(|(view, group)| coverage(view, group)),
            after: new.and_then(|(view, group)| coverage(view, group)),
            targets_before: old.map_or(0, |(view, group)| usable_targets(view, group)),
            targets_after: new.map_or(0, |(view, group)| usable_targets(view, group)),
        };
        if row.before != row.after || row.targets_before != row.targets_after {
            self.groups.push(row);
        }
        let [old, new] = [old, new].map(covered_shards);
        self.shards_lost.extend(old.difference(&new).map(|&(version, shard)| LostShard {
            group: name.to_owned(),
            version,
            shard,
        }));
    }

    fn compare_kinds(&mut self, old: &Config, new: &Config, before: &View, after: &View) {
        let describe = |view: &View, kind: &str| {
            let repetition =
                if view.is_idempotent(kind) { "may be repeated" } else { "runs at most once" };
            format!("class {}, {repetition}", view.class(kind))
        };
        for kind in union(object_names(old, ObjectKind::Kind), object_names(new, ObjectKind::Kind))
        {
            let (before, after) = (describe(before, kind), describe(after, kind));
            if before != after {
                self.kinds.push(KindEffect { kind: kind.clone(), before, after });
            }
        }
    }
}

/// Version and coverage of new queries of a group. Considers drained and leaving targets only, not failures that
/// entry hosts observe.
pub(super) fn coverage(view: &View, group: &GroupView) -> Option<Coverage> {
    let Pin { number, covered, total, .. } = pin::choose(group, |it| view.target(it).usable)?;
    Some(Coverage { version: number, covered, total })
}

/// The indexes of the shards of a version that have a usable replica.
pub(super) fn usable_shards<'a>(
    view: &'a View,
    version: &'a VersionView,
) -> impl Iterator<Item = usize> + 'a {
    let has_usable = |shard: &[TargetKey]| shard.iter().any(|&it| view.target(it).usable);
    version.shards.iter().enumerate().filter(move |(_, it)| has_usable(it)).map(|(i, _)| i)
}

fn covered_shards(group: Option<(&View, &GroupView)>) -> BTreeSet<(u64, usize)> {
    let Some((view, group)) = group else { return BTreeSet::new() };
    let shards = |version| usable_shards(view, version).map(|it| (version.number, it));
    group.versions.iter().flat_map(shards).collect()
}

fn usable_targets(view: &View, group: &GroupView) -> usize {
    let shards = group.versions.iter().flat_map(|it| &it.shards);
    let targets: BTreeSet<_> = shards.flatten().filter(|it| view.target(**it).usable).collect();
    targets.len()
}

/// All combinations that the selectors in `view` admit, out of the labelled callers, the request kinds and the groups
/// that either configuration names. All callers without labels count as one.
fn admitted_access(old: &Config, new: &Config, view: &View) -> BTreeSet<Access> {
    let callers =
        union(object_names(old, ObjectKind::Caller), object_names(new, ObjectKind::Caller));
    let callers: Vec<_> =
        callers.into_iter().map(String::as_str).chain([UNLABELLED_CALLERS]).collect();
    let kind_group_pairs = |config: &Config| -> BTreeSet<(String, String)> {
        let pairs = |it: &Selector| {
            let group = it.group.clone();
            it.kinds.iter().map(move |kind| (kind.clone(), group.clone())).collect::<Vec<_>>()
        };
        config.selectors.values().flat_map(pairs).collect()
    };
    let mut access = BTreeSet::new();
    for (kind, group) in kind_group_pairs(old).union(&kind_group_pairs(new)) {
        for &caller in &callers {
            if view.admit(caller, kind, group).is_ok() {
                let (kind, group) = (kind.clone(), group.clone());
                access.insert(Access { caller: caller.into(), kind, group });
            }
        }
    }
    access
}

fn object_names(config: &Config, kind: ObjectKind) -> impl Iterator<Item = &String> {
    config.labels.keys().filter(move |it| it.kind == kind).map(|it| &it.name)
}

fn union<'a>(
    old: impl Iterator<Item = &'a String>,
    new: impl Iterator<Item = &'a String>,
) -> BTreeSet<&'a String> {
    old.chain(new).collect()
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let revision = self.operator_revision;
        writeln!(f, "Nothing was applied. Add --base {revision} to apply exactly this change:")?;
        let lists = [
            ("targets that get no new work", &self.targets_closed),
            ("targets that get new work again", &self.targets_opened),
            ("entry hosts out of use", &self.nodes_closed),
            ("entry hosts in use again", &self.nodes_opened),
            ("targets with another owner", &self.owners_changed),
        ];
        for (title, names) in lists.into_iter().filter(|(_, it)| it.is_empty().not()) {
            writeln!(f, "{title} ({}): {}", names.len(), output::comma_separated(names))?;
        }
        for it in &self.groups {
            writeln!(f, "{it}")?;
        }
        for LostShard { group, version, shard } in &self.shards_lost {
            writeln!(
                f,
                "SHARD LOST: group {group} version {version} shard {shard} has no usable replica"
            )?;
        }
        for (title, list) in [("loses", &self.access_lost), ("gains", &self.access_gained)] {
            for Access { caller, kind, group } in list {
                writeln!(f, "caller {caller} {title} {kind} to group {group}")?;
            }
        }
        for KindEffect { kind, before, after } in &self.kinds {
            writeln!(f, "kind {kind}: {before} -> {after}")?;
        }
        if *self == (Self { operator_revision: revision, ..Self::default() }) {
            writeln!(f, "no effect on targets, groups, shards or callers")?;
        }
        Ok(())
    }
}

impl fmt::Display for GroupEffect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let coverage_text =
            |it: Option<Coverage>| it.map_or("no version".into(), |it| it.to_string());
        write!(
            f,
            "group {}: {} -> {}",
            self.group,
            coverage_text(self.before),
            coverage_text(self.after)
        )?;
        write!(f, ", usable targets {} -> {}", self.targets_before, self.targets_after)
    }
}

impl fmt::Display for Coverage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "version {} covers {} of {} shards", self.version, self.covered, self.total)
    }
}

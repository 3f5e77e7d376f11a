//! Pins the index version of a query, so that the rows of all its shards are from the same version.

use std::cmp::Ordering;

use crate::state::{GroupView, TargetKey, VersionView};

/// The version that a query is pinned to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pin {
    /// The position of the version in [`GroupView::versions`].
    pub index: usize,
    /// The number of the version.
    pub number: u64,
    /// How many shards have a usable replica.
    pub covered: u32,
    /// How many shards the version has.
    pub total: u32,
}

impl Pin {
    /// Whether every shard has a usable replica.
    pub fn complete(&self) -> bool {
        self.covered == self.total
    }

    /// Compares the shares of covered shards, because versions may differ in their number of shards.
    fn cmp_coverage(&self, other: &Self) -> Ordering {
        let own = u64::from(self.covered) * u64::from(other.total);
        let others = u64::from(other.covered) * u64::from(self.total);
        own.cmp(&others)
    }
}

/// Chooses the newest complete version, else the one with the largest share of covered shards, the newest on a tie.
/// `None` if the group has no version in use.
///
/// The replica count of a version is the smallest number of usable replicas of any of its shards. A version is complete
/// if its replica count is at least 1. It is skipped if its replica count is at most half that of another version:
/// while a new version is rolled out zone by zone, the first zone alone could not handle the load of all queries.
pub fn choose(group: &GroupView, usable: impl Fn(TargetKey) -> bool) -> Option<Pin> {
    select(group, usable, |_| true)
}

/// Chooses another version that covers a larger share of its shards than the query can still cover on the pinned one.
/// `reachable` is the number of shards of the pinned version that were answered or can still be queried.
pub fn replacement(
    group: &GroupView,
    pinned: &Pin,
    reachable: u32,
    usable: impl Fn(TargetKey) -> bool,
) -> Option<Pin> {
    let other = select(group, usable, |it| it.number != pinned.number)?;
    let current = Pin { covered: reachable, ..*pinned };
    other.cmp_coverage(&current).is_gt().then_some(other)
}

fn select(
    group: &GroupView,
    usable: impl Fn(TargetKey) -> bool,
    accepts: impl Fn(&VersionView) -> bool,
) -> Option<Pin> {
    let in_use = |it: &&VersionView| !it.retired && !it.shards.is_empty() && accepts(it);
    let min_replicas = |version: &VersionView| {
        let replicas = |it: &Vec<TargetKey>| it.iter().filter(|&&key| usable(key)).count();
        version.shards.iter().map(replicas).min().unwrap_or(0)
    };
    let versions: Vec<_> = group
        .versions
        .iter()
        .enumerate()
        .filter(|(_, it)| in_use(it))
        .map(|(index, it)| (index, it, min_replicas(it)))
        .collect();
    let max_min_replicas = versions.iter().map(|it| it.2).max()?;
    if max_min_replicas > 0 {
        let (index, version, _) = versions.into_iter().find(|it| it.2 * 2 > max_min_replicas)?;
        let total = version.shards.len() as u32;
        return Some(Pin { index, number: version.number, covered: total, total });
    }
    let mut best: Option<Pin> = None;
    for (index, version, _) in versions {
        let total = version.shards.len() as u32;
        let pin = Pin { index, number: version.number, covered: covered(version, &usable), total };
        if best.is_none_or(|it| pin.cmp_coverage(&it).is_gt()) {
            best = Some(pin);
        }
    }
    best
}

fn covered(version: &VersionView, usable: impl Fn(TargetKey) -> bool) -> u32 {
    version.shards.iter().filter(|it| it.iter().any(|&key| usable(key))).count() as u32
}

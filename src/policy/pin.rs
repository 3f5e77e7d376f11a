//! The index version of a query: one version for all its shards.

use std::cmp::Ordering;

use crate::state::{GroupView, TargetKey, VersionView};

/// The version that a query uses.
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

    /// Compares covered shares, because versions may differ in their number of shards.
    fn cmp_share(&self, other: &Self) -> Ordering {
        let own = u64::from(self.covered) * u64::from(other.total);
        let others = u64::from(other.covered) * u64::from(self.total);
        own.cmp(&others)
    }
}

/// The newest complete version, else the one with the largest share of covered shards, the newest on a tie. `None` if
/// the group has no version in use.
///
/// A version is complete if every shard has a usable replica. One whose weakest shard has at most half as many as that
/// of another complete version has to wait: while a new version is rolled out zone by zone, the first zone alone
/// could not bear the load of all queries.
pub fn choose(group: &GroupView, usable: impl Fn(TargetKey) -> bool) -> Option<Pin> {
    best(group, usable, |_| true)
}

/// Another version than the pinned one that covers a larger share of its shards than the query still can.
/// `reachable` is the number of shards of the pinned version that were answered or can still be asked.
pub fn replacement(
    group: &GroupView,
    pinned: &Pin,
    reachable: u32,
    usable: impl Fn(TargetKey) -> bool,
) -> Option<Pin> {
    let other = best(group, usable, |it| it.number != pinned.number)?;
    let current = Pin { covered: reachable, ..*pinned };
    other.cmp_share(&current).is_gt().then_some(other)
}

fn best(
    group: &GroupView,
    usable: impl Fn(TargetKey) -> bool,
    accepts: impl Fn(&VersionView) -> bool,
) -> Option<Pin> {
    let in_use = |it: &&VersionView| !it.retired && !it.shards.is_empty() && accepts(it);
    let weakest = |version: &VersionView| {
        let replicas = |it: &Vec<TargetKey>| it.iter().filter(|&&key| usable(key)).count();
        version.shards.iter().map(replicas).min().unwrap_or(0)
    };
    let versions: Vec<_> = group
        .versions
        .iter()
        .enumerate()
        .filter(|(_, it)| in_use(it))
        .map(|(index, it)| (index, it, weakest(it)))
        .collect();
    let strongest = versions.iter().map(|it| it.2).max()?;
    if strongest > 0 {
        let (index, version, _) = versions.into_iter().find(|it| it.2 * 2 > strongest)?;
        let total = version.shards.len() as u32;
        return Some(Pin { index, number: version.number, covered: total, total });
    }
    let mut best: Option<Pin> = None;
    for (index, version, _) in versions {
        let total = version.shards.len() as u32;
        let pin = Pin { index, number: version.number, covered: covered(version, &usable), total };
        if best.is_none_or(|it| pin.cmp_share(&it).is_gt()) {
            best = Some(pin);
        }
    }
    best
}

fn covered(version: &VersionView, usable: impl Fn(TargetKey) -> bool) -> u32 {
    version.shards.iter().filter(|it| it.iter().any(|&key| usable(key))).count() as u32
}

use gentianpass::{
    policy::pin::{self, Pin},
    state::{GroupView, TargetKey, VersionView},
};
use proptest::prelude::*;

use crate::keys;

fn group(versions: Vec<VersionView>) -> GroupView {
    GroupView { name: "g".into(), index: "i".into(), versions }
}

fn version(number: u64, shards: &[&[u32]]) -> VersionView {
    VersionView { number, retired: false, shards: shards.iter().map(|it| keys(it)).collect() }
}

fn reference(group: &GroupView, usable: &[bool]) -> Option<Pin> {
    let mut pins = Vec::new();
    let mut replica_counts = Vec::new();
    for (index, version) in group.versions.iter().enumerate() {
        let covers = |shard: &Vec<TargetKey>| shard.iter().any(|it| usable[it.0 as usize]);
        let covered = version.shards.iter().filter(|it| covers(it)).count() as u32;
        let total = version.shards.len() as u32;
        if !version.retired && total > 0 {
            pins.push(Pin { index, number: version.number, covered, total });
            let mut replicas = Vec::new();
            for shard in &version.shards {
                replicas.push(shard.iter().filter(|it| usable[it.0 as usize]).count());
            }
            replica_counts.push(*replicas.iter().min().expect("a shard"));
        }
    }
    let highest = replica_counts.iter().copied().max().unwrap_or(0);
    let is_complete = |i: usize| replica_counts[i] > 0 && replica_counts[i] * 2 > highest;
    let complete = (0..pins.len()).filter(|&i| is_complete(i)).map(|i| &pins[i]);
    let complete = complete.max_by_key(|it| it.number);
    let share = |it: &Pin| f64::from(it.covered) / f64::from(it.total);
    let order = |a: &&Pin, b: &&Pin| share(a).total_cmp(&share(b)).then(a.number.cmp(&b.number));
    complete.or_else(|| pins.iter().max_by(order)).copied()
}

fn any_group() -> impl Strategy<Value = GroupView> {
    let shard = prop::collection::vec(0..12_u32, 0..4).prop_map(|it| keys(&it));
    let version = (any::<bool>(), prop::collection::vec(shard, 0..6));
    prop::collection::vec(version, 0..5).prop_map(|versions| {
        let view = |(i, (retired, shards))| VersionView { number: 9 - i as u64, retired, shards };
        group(versions.into_iter().enumerate().map(view).collect())
    })
}

proptest! {
    #![proptest_config(crate::cases(1_000))]

    /// Guards against the choice of a version that is retired, older than necessary, or covers less than another.
    #[test]
    fn choose_matches_reference(
        group in any_group(),
        usable in prop::collection::vec(any::<bool>(), 12),
    ) {
        let pin = pin::choose(&group, |it| usable[it.0 as usize]);
        prop_assert_eq!(pin, reference(&group, &usable));
    }

    /// Guards against a restart of a query on a version that covers no larger share than the pinned one.
    #[test]
    fn replacement_matches_reference(
        group in any_group(),
        usable in prop::collection::vec(any::<bool>(), 12),
        lost in 0..3_u32,
    ) {
        let Some(pinned) = reference(&group, &usable) else { return Ok(()) };
        let reachable = pinned.covered.saturating_sub(lost);
        let found = pin::replacement(&group, &pinned, reachable, |it| usable[it.0 as usize]);
        let mut rest = group.clone();
        rest.versions[pinned.index].retired = true;
        let better = |it: &Pin| it.covered * pinned.total > reachable * it.total;
        prop_assert_eq!(found, reference(&rest, &usable).filter(better));
    }
}

/// Guards against a switch to a new version before each of its shards has a replica.
#[test]
fn choose_new_version_incomplete() {
    let group = group(vec![version(2, &[&[0], &[]]), version(1, &[&[1], &[2]])]);
    let pin = pin::choose(&group, |_| true).expect("pin");
    assert_eq!((pin.number, pin.covered, pin.total), (1, 2, 2));
}

/// Guards against a comparison by the number of covered shards, which prefers versions with more shards.
#[test]
fn choose_largest_share() {
    let half = version(2, &[&[0], &[1], &[2], &[], &[], &[]]);
    let most = version(1, &[&[3], &[4], &[]]);
    let pin = pin::choose(&group(vec![half, most]), |_| true).expect("pin");
    assert_eq!((pin.number, pin.covered, pin.total), (1, 2, 3));
}

/// Guards against queries on a version that operators have retired.
#[test]
fn choose_retired() {
    let mut only = version(1, &[&[0]]);
    only.retired = true;
    assert_eq!(pin::choose(&group(vec![only]), |_| true), None);
}

/// Guards against a rollout that sends the load of all zones to the first zone with the new version.
#[test]
fn choose_new_version_one_zone() {
    let zones = |new: &[u32], old: &[u32]| group(vec![version(2, &[new]), version(1, &[old])]);
    let number = |group: &GroupView| pin::choose(group, |_| true).expect("pin").number;
    assert_eq!(number(&zones(&[0], &[1, 2])), 1);
    assert_eq!(number(&zones(&[0, 1], &[2])), 2);
    assert_eq!(number(&zones(&[0], &[1])), 2, "both versions have one replica per shard");
    assert_eq!(number(&zones(&[0], &[])), 2);
}

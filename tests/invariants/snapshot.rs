//! Every answer comes from one snapshot of the index.

use std::collections::BTreeSet;

use gentianpass::lab::target::fault::{Damage, Fault};

use crate::support::{
    INDEX, RECOVERY, SHARDS, Shot, Traffic, World, ZONES, holdings, target, text, until, world,
};

/// Lets the targets of a zone hold these versions, one target after the other.
async fn hold(world: &World, zone: &str, versions: &[u64]) {
    for shard in 0..SHARDS {
        let holdings = holdings(shard, versions);
        world.fault(&[target(shard, zone)], Fault::Hold { holdings }).await;
    }
}

/// Waits until all entry hosts answer in full from this version.
async fn until_version(world: &World, version: u64) {
    for entry in 0..world.fleet.entries.len() {
        until("the new version", RECOVERY, async || {
            let answer = world.query_at(entry, &text(3)).await.ok()?;
            world.check(&text(3), &answer);
            (answer.version == version && answer.covered == answer.total).then_some(())
        })
        .await;
    }
}

fn versions(shots: &[Shot]) -> BTreeSet<u64> {
    shots.iter().filter_map(|it| it.result.as_ref().ok()).map(|it| it.version).collect()
}

/// Guards against rows of two versions in one answer while the index is repartitioned twice, zone by zone.
#[tokio::test(flavor = "multi_thread")]
async fn repartitioned_twice() {
    let world = world().await;
    let traffic = Traffic::start(&world, 6);
    for new in [2, 3] {
        for zone in ZONES {
            hold(&world, zone, &[new - 1, new]).await;
        }
        until_version(&world, new).await;
        traffic.answered(30).await;
        for zone in ZONES {
            hold(&world, zone, &[new]).await;
        }
        traffic.answered(30).await;
    }
    let shots = traffic.stop().await;
    assert!(world.check_all(&shots) > 100, "few answers");
    assert_eq!(versions(&shots), [1, 2, 3].into());
}

/// Guards against rows of two versions when targets drop the old version without warning while replicas crash.
#[tokio::test(flavor = "multi_thread")]
async fn version_dropped_and_replicas_crash() {
    let world = world().await;
    let traffic = Traffic::start(&world, 8);
    for new in [2, 3, 4] {
        for (i, zone) in ZONES.into_iter().enumerate() {
            hold(&world, zone, &[new]).await;
            let shard = (new as u32 + i as u32) % SHARDS;
            let next = ZONES[(i + 1) % ZONES.len()];
            world.fault(&[target(shard, next)], Fault::Crash { back_after_ms: 150 }).await;
            traffic.answered(15).await;
        }
        until_version(&world, new).await;
    }
    let shots = traffic.stop().await;
    assert!(world.check_all(&shots) > 100, "few answers");
    assert!(versions(&shots).len() >= 3, "{:?}", versions(&shots));
}

/// Guards against answers of targets that name another version, while the entry hosts change their version and a
/// version is retired.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_version_and_retired() {
    let world = world().await;
    for zone in ZONES {
        hold(&world, zone, &[1, 2]).await;
    }
    until_version(&world, 2).await;
    let traffic = Traffic::start(&world, 6);
    let damage = Some(Damage::WrongVersion);
    world.fault(&[target(0, ZONES[0]), target(2, ZONES[1])], Fault::Damage { damage }).await;
    let object = format!("version/{INDEX}@2");
    for _ in 0..2 {
        world.fleet.operator.set_label(&object, "retired", "true").await.expect("accepted");
        until_version(&world, 1).await;
        traffic.answered(20).await;
        world.fleet.operator.remove_label(&object, "retired").await.expect("accepted");
        until_version(&world, 2).await;
        traffic.answered(20).await;
    }
    let shots = traffic.stop().await;
    assert!(world.check_all(&shots) > 100, "few answers");
}

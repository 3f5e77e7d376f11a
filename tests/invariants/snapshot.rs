//! All rows of an answer come from one index version.

use std::collections::BTreeSet;

use gentianpass::lab::target::fault::{Damage, Fault};

use crate::support::{
    Cluster, INDEX, MAX_RECOVERY, SHARDS, SentQuery, Traffic, ZONES, holdings, search_text,
    start_cluster, target_name, wait_until,
};

/// Makes the search targets of a zone hold exactly these versions, one target after the other.
async fn set_versions(cluster: &Cluster, zone: &str, versions: &[u64]) {
    for shard in 0..SHARDS {
        let holdings = holdings(shard, versions);
        cluster.inject_fault(&[target_name(shard, zone)], Fault::Hold { holdings }).await;
    }
}

/// Waits until each entry host has answered a search from this version with all shards.
async fn wait_until_version(cluster: &Cluster, version: u64) {
    for entry in 0..cluster.fleet.entries.len() {
        wait_until("an answer from all shards of the version", MAX_RECOVERY, async || {
            let answer = cluster.query_at(entry, &search_text(3)).await.ok()?;
            cluster.assert_correct(&search_text(3), &answer);
            (answer.version == version && answer.covered == answer.total).then_some(())
        })
        .await;
    }
}

/// The versions that the answers came from.
fn answered_versions(queries: &[SentQuery]) -> BTreeSet<u64> {
    queries.iter().filter_map(|it| it.result.as_ref().ok()).map(|it| it.version).collect()
}

/// Guards against rows of two versions in one answer while the index is repartitioned twice, zone by zone. The old
/// version is held until the new one is in use.
#[tokio::test(flavor = "multi_thread")]
async fn repartitioned_twice() {
    let cluster = start_cluster().await;
    let traffic = Traffic::start(&cluster, 6);
    for new in [2, 3] {
        for zone in ZONES {
            set_versions(&cluster, zone, &[new - 1, new]).await;
        }
        wait_until_version(&cluster, new).await;
        traffic.wait_for_results(30).await;
        for zone in ZONES {
            set_versions(&cluster, zone, &[new]).await;
        }
        traffic.wait_for_results(30).await;
    }
    let queries = traffic.stop().await;
    assert!(cluster.assert_all_correct(&queries) > 100, "too few answers");
    assert_eq!(answered_versions(&queries), [1, 2, 3].into());
}

/// Guards against rows of two versions in one answer when targets drop the old version as soon as they load the new
/// one, while replicas crash.
#[tokio::test(flavor = "multi_thread")]
async fn version_dropped_and_replicas_crash() {
    let cluster = start_cluster().await;
    let traffic = Traffic::start(&cluster, 8);
    for new in [2, 3, 4] {
        for (i, zone) in ZONES.into_iter().enumerate() {
            set_versions(&cluster, zone, &[new]).await;
            let shard = (new as u32 + i as u32) % SHARDS;
            let next = ZONES[(i + 1) % ZONES.len()];
            cluster
                .inject_fault(&[target_name(shard, next)], Fault::Crash { back_after_ms: 150 })
                .await;
            traffic.wait_for_results(15).await;
        }
        wait_until_version(&cluster, new).await;
    }
    let queries = traffic.stop().await;
    assert!(cluster.assert_all_correct(&queries) > 100, "too few answers");
    assert!(answered_versions(&queries).len() >= 3, "{:?}", answered_versions(&queries));
}

/// Guards against rows from targets that answer from another version than the requested one, while the entry hosts
/// switch versions because an operator retires the newest one and restores it.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_version_and_retired() {
    let cluster = start_cluster().await;
    for zone in ZONES {
        set_versions(&cluster, zone, &[1, 2]).await;
    }
    wait_until_version(&cluster, 2).await;
    let traffic = Traffic::start(&cluster, 6);
    let damage = Some(Damage::WrongVersion);
    cluster
        .inject_fault(
            &[target_name(0, ZONES[0]), target_name(2, ZONES[1])],
            Fault::Damage { damage },
        )
        .await;
    let object = format!("version/{INDEX}@2");
    for _ in 0..2 {
        cluster.fleet.operator.set_label(&object, "retired", "true").await.expect("accepted");
        wait_until_version(&cluster, 1).await;
        traffic.wait_for_results(20).await;
        cluster.fleet.operator.remove_label(&object, "retired").await.expect("accepted");
        wait_until_version(&cluster, 2).await;
        traffic.wait_for_results(20).await;
    }
    let queries = traffic.stop().await;
    assert!(cluster.assert_all_correct(&queries) > 100, "too few answers");
}

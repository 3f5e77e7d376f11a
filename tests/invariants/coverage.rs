//! Every answer states correctly which shards it covers.

use std::collections::BTreeMap;

use gentianpass::{
    error::Kind,
    lab::target::fault::{Damage, Fault},
    wire::caller::Answer,
};

use crate::support::{
    Cluster, MAX_RECOVERY, SHARDS, Traffic, ZONES, holdings, search_text, start_cluster,
    target_name, wait_until,
};

/// The names of the targets that hold a shard, one in each zone.
fn replica_names(shard: u32) -> Vec<String> {
    ZONES.iter().map(|zone| target_name(shard, zone)).collect()
}

/// The missing shards of an answer with their reasons. Covered and missing shards must add up to the total.
fn missing_shards(answer: &Answer) -> BTreeMap<u32, Kind> {
    assert_eq!(answer.covered as usize + answer.missing.len(), answer.total as usize, "{answer:?}");
    answer.missing.iter().map(|it| (it.shard, it.reason)).collect()
}

/// Waits until each entry host has reported exactly these shards as missing.
async fn wait_until_missing(cluster: &Cluster, shards: &[u32]) {
    for entry in 0..cluster.fleet.entries.len() {
        wait_until("the expected missing shards", MAX_RECOVERY, async || {
            let answer = cluster.query_at(entry, &search_text(4)).await.ok()?;
            cluster.assert_correct(&search_text(4), &answer);
            assert_eq!(answer.total, SHARDS, "the total must include lost shards");
            missing_shards(&answer).keys().eq(shards).then_some(())
        })
        .await;
    }
}

/// Guards against an answer that claims full coverage when all replicas of a shard crash one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn shard_crashed() {
    let cluster = start_cluster().await;
    let traffic = Traffic::start(&cluster, 6);
    for name in replica_names(1) {
        traffic.wait_for_results(15).await;
        cluster.inject_fault(&[name], Fault::Crash { back_after_ms: 6_000 }).await;
    }
    wait_until_missing(&cluster, &[1]).await;
    cluster.wait_for_full_coverage().await;
    let queries = traffic.stop().await;
    assert!(cluster.assert_all_correct(&queries) > 100, "too few answers");
    assert!(
        queries.iter().any(|it| !it.is_complete()),
        "every query was answered in full although a shard was lost"
    );
}

/// Guards against a total that omits a shard because no target announces it any more, also after a restart of the
/// control leader and all entry hosts.
#[tokio::test(flavor = "multi_thread")]
async fn shard_given_up_and_hosts_restart() {
    let mut cluster = start_cluster().await;
    cluster.inject_fault(&replica_names(2), Fault::Hold { holdings: Vec::new() }).await;
    wait_until_missing(&cluster, &[2]).await;
    let leader = cluster.leader_index().await;
    let fleet = &mut cluster.fleet;
    fleet.controls[leader].process.restart().expect("restart");
    for host in &mut fleet.entries {
        host.process.restart().expect("restart");
    }
    wait_until_missing(&cluster, &[2]).await;
    let holdings = holdings(2, &[1]);
    cluster.inject_fault(&[target_name(2, ZONES[0])], Fault::Hold { holdings }).await;
    cluster.wait_for_full_coverage().await;
}

/// Guards against damaged answers that count as covered. All replicas of one shard send truncated answers, those of
/// another malformed ones, those of a third have crashed, and those of the last straggle beyond the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn damaged_and_crashed() {
    let cluster = start_cluster().await;
    let traffic = Traffic::start(&cluster, 6);
    traffic.wait_for_results(20).await;
    let damage = Some(Damage::Truncated);
    cluster.inject_fault(&replica_names(0), Fault::Damage { damage }).await;
    cluster.inject_fault(&replica_names(1), Fault::Crash { back_after_ms: 60_000 }).await;
    wait_until_missing(&cluster, &[0, 1]).await;
    let damage = Some(Damage::Malformed);
    cluster.inject_fault(&replica_names(2), Fault::Damage { damage }).await;
    wait_until_missing(&cluster, &[0, 1, 2]).await;
    cluster.inject_fault(&replica_names(3), Fault::Straggle { one_in: 2, factor: 1_000.0 }).await;
    traffic.wait_for_results(20).await;
    let queries = traffic.stop().await;
    cluster.assert_all_correct(&queries);
    for answer in queries.iter().filter_map(|it| it.result.as_ref().ok()) {
        for (shard, reason) in missing_shards(answer) {
            assert!(shard < SHARDS && reason != Kind::Internal, "{answer:?}");
        }
    }
}

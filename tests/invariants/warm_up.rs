//! A cold target receives no more concurrent requests than it can handle.

use std::collections::BTreeSet;

use gentianpass::lab::{fleet::Plan, target::fault::Fault};

use crate::support::{
    Cluster, MAX_RECOVERY, PRINT_GROUP, SHARDS, Traffic, ZONES, search_text, start_cluster_with,
    target_name, wait_until,
};

/// How long a target stays cold after a start: long enough that a new owner takes it over before it is warm.
const WARM_AFTER_MS: u64 = 2_500;

/// Makes targets stay cold for [`WARM_AFTER_MS`], and slow enough that requests overlap.
fn extend_cold_start(plan: &mut Plan) {
    for spec in plan.targets.iter_mut().flatten() {
        spec.warm_after_ms = WARM_AFTER_MS;
        spec.service_us = 15_000;
    }
}

/// The names of the search targets and the print target in a zone.
fn targets_in(zone: &str) -> Vec<String> {
    let print_target = format!("{PRINT_GROUP}-000-{zone}");
    (0..SHARDS).map(|it| target_name(it, zone)).chain([print_target]).collect()
}

/// Checks that no target has ever started a request above its concurrency limit.
async fn assert_no_overload(cluster: &Cluster) {
    for (name, it) in cluster.stats().await {
        assert_eq!((it.overload, it.collapses), (0, 0), "{name}: {it:?}");
    }
}

/// Waits until each search target of a zone has received more than ten further requests, and all its targets are up and
/// warm.
async fn wait_until_warm(cluster: &Cluster, zone: &str) {
    let names: BTreeSet<String> = targets_in(zone).into_iter().collect();
    let before = cluster.received_in(zone).await;
    wait_until("the targets of the zone to be warm and in use", MAX_RECOVERY, async || {
        let stats = cluster.stats().await;
        let mut in_zone = stats.values().filter(|it| names.contains(&it.name));
        let has_received = |it: &str| stats[it].received > before[it] + 10;
        let shards = (0..SHARDS).all(|it| has_received(&target_name(it, zone)));
        (shards && in_zone.all(|it| !it.cold && !it.down)).then_some(())
    })
    .await;
}

/// Guards against an owner that keeps the limit of the previous incarnation after a target crashes. The load exceeds
/// what a cold target can handle, and the targets crash a second time while cold.
#[tokio::test(flavor = "multi_thread")]
async fn targets_crash_twice() {
    let cluster = start_cluster_with(extend_cold_start).await;
    let traffic = Traffic::start(&cluster, 16);
    wait_until_warm(&cluster, ZONES[0]).await;
    for _ in 0..2 {
        cluster.inject_fault(&targets_in(ZONES[0]), Fault::Crash { back_after_ms: 200 }).await;
        traffic.wait_for_results(60).await;
    }
    wait_until_warm(&cluster, ZONES[0]).await;
    assert_no_overload(&cluster).await;
    assert!(cluster.assert_all_correct(&traffic.stop().await) > 200, "too few answers");
}

/// Guards against a new owner that starts with the limits the old one had learned, or sends to targets at the same time
/// as the old one. The owner is killed while its targets are cold, and restarted after
/// they have crashed again.
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed_while_cold() {
    let mut cluster = start_cluster_with(extend_cold_start).await;
    let traffic = Traffic::start(&cluster, 16);
    wait_until_warm(&cluster, ZONES[0]).await;
    cluster.inject_fault(&targets_in(ZONES[0]), Fault::Crash { back_after_ms: 200 }).await;
    traffic.wait_for_results(30).await;
    cluster.fleet.entries[0].process.kill().expect("kill");
    wait_until_warm(&cluster, ZONES[0]).await;
    assert_no_overload(&cluster).await;
    cluster.inject_fault(&targets_in(ZONES[0]), Fault::Crash { back_after_ms: 200 }).await;
    cluster.fleet.entries[0].process.restart().expect("restart");
    cluster.wait_for_full_coverage().await;
    wait_until_warm(&cluster, ZONES[0]).await;
    assert_no_overload(&cluster).await;
    cluster.assert_all_correct(&traffic.stop().await);
}

/// Guards against a frozen owner that resumes and sends to targets that have restarted or have a new owner.
#[tokio::test(flavor = "multi_thread")]
async fn owner_frozen_while_targets_restart() {
    let mut cluster = start_cluster_with(extend_cold_start).await;
    let traffic = Traffic::start(&cluster, 16);
    wait_until_warm(&cluster, ZONES[0]).await;
    cluster.fleet.entries[0].process.freeze().expect("freeze");
    cluster.fleet.targets[0].process.restart().expect("restart");
    wait_until("the frozen entry host to expire", MAX_RECOVERY, async || {
        let state = cluster.fleet.operator.state().await.ok()?;
        (state.nodes.len() == 2).then_some(())
    })
    .await;
    wait_until("the new owner to send requests", MAX_RECOVERY, async || {
        let received = cluster.received_in(ZONES[0]).await;
        (received[&target_name(0, ZONES[0])] > 5).then_some(())
    })
    .await;
    cluster.fleet.entries[0].process.resume().expect("resume");
    cluster.wait_for_full_coverage().await;
    wait_until_warm(&cluster, ZONES[0]).await;
    assert_no_overload(&cluster).await;
    cluster.assert_all_correct(&traffic.stop().await);
    let answer = cluster.query_at(0, &search_text(1)).await.expect("answer");
    cluster.assert_correct(&search_text(1), &answer);
}

/// Guards against an owner that keeps the limit of the previous incarnation when targets restart without being able to
/// announce it.
#[tokio::test(flavor = "multi_thread")]
async fn restart_without_announcement() {
    let cluster = start_cluster_with(extend_cold_start).await;
    let traffic = Traffic::start(&cluster, 16);
    cluster.fleet.fault(&[], Fault::Slow { factor: 4.0 }).await.expect("targets slowed");
    wait_until_warm(&cluster, ZONES[0]).await;
    wait_until("the targets to run several requests at once", MAX_RECOVERY, async || {
        let stats = cluster.stats().await;
        (0..SHARDS).all(|it| stats[&target_name(it, ZONES[0])].running > 1).then_some(())
    })
    .await;
    cluster.inject_fault(&targets_in(ZONES[0]), Fault::Announce { on: false }).await;
    cluster.inject_fault(&targets_in(ZONES[0]), Fault::Crash { back_after_ms: 0 }).await;
    traffic.wait_for_results(150).await;
    cluster.inject_fault(&targets_in(ZONES[0]), Fault::Announce { on: true }).await;
    wait_until_warm(&cluster, ZONES[0]).await;
    assert_no_overload(&cluster).await;
    cluster.assert_all_correct(&traffic.stop().await);
}

/// Guards against two owners that send to the same targets at once. The owner returns while its replacement has slow
/// requests running at cold targets.
#[tokio::test(flavor = "multi_thread")]
async fn owner_returns_while_cold() {
    let mut cluster = start_cluster_with(extend_cold_start).await;
    let traffic = Traffic::start(&cluster, 16);
    wait_until_warm(&cluster, ZONES[0]).await;
    cluster.fleet.entries[0].process.kill().expect("kill");
    wait_until("the killed entry host to expire", MAX_RECOVERY, async || {
        let state = cluster.fleet.operator.state().await.ok()?;
        (state.nodes.len() == 2).then_some(())
    })
    .await;
    wait_until_warm(&cluster, ZONES[0]).await;
    cluster.inject_fault(&targets_in(ZONES[0]), Fault::Slow { factor: 40.0 }).await;
    cluster.inject_fault(&targets_in(ZONES[0]), Fault::Crash { back_after_ms: 0 }).await;
    cluster.fleet.entries[0].process.restart().expect("restart");
    wait_until("the restarted entry host to join", MAX_RECOVERY, async || {
        let state = cluster.fleet.operator.state().await.ok()?;
        (state.nodes.len() == 3).then_some(())
    })
    .await;
    traffic.wait_for_results(60).await;
    cluster.inject_fault(&targets_in(ZONES[0]), Fault::Slow { factor: 1.0 }).await;
    wait_until_warm(&cluster, ZONES[0]).await;
    assert_no_overload(&cluster).await;
    cluster.assert_all_correct(&traffic.stop().await);
}

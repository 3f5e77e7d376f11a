//! A target that announces that it is leaving receives no new requests after a few seconds.

use std::time::Instant;

use gentianpass::lab::{proxy::TcpProxy, target::fault::Fault};

use crate::support::{
    Cluster, MAX_CONVERGENCE, OWNERSHIP_WAIT, SHARDS, Traffic, ZONES, job, search_text, sleep_past,
    start_cluster, start_cluster_with_proxies, target_name,
};

/// The targets that leave: the search targets in the zone of entry host 0, which owns them.
fn leaving_targets() -> Vec<String> {
    (0..SHARDS).map(|it| target_name(it, ZONES[0])).collect()
}

/// Makes the targets announce that they are leaving, and returns the current time. They refuse no request for ten
/// minutes, so a request that is still sent to them would run.
async fn announce_leaving(cluster: &Cluster) -> Instant {
    cluster.inject_fault(&leaving_targets(), Fault::Leave { refuse_after_ms: 600_000 }).await;
    Instant::now()
}

/// How many requests each leaving target has received.
async fn received_counts(cluster: &Cluster) -> Vec<u64> {
    let stats = cluster.stats().await;
    leaving_targets().iter().map(|it| stats[it].received).collect()
}

/// Runs `action` under traffic, sends a search and a print job through each entry host, and checks that no leaving
/// target received a request meanwhile.
async fn assert_no_new_requests(cluster: &Cluster, action: impl AsyncFnOnce()) {
    let before = received_counts(cluster).await;
    let traffic = Traffic::start(cluster, 4);
    action().await;
    traffic.wait_for_results(60).await;
    cluster.wait_for_full_coverage().await;
    for entry in 0..cluster.fleet.entries.len() {
        let _ = cluster.query_at(entry, &search_text(5)).await;
        let _ = cluster.dispatch_at(entry, &job(&format!("leaving-{entry}"))).await;
    }
    cluster.assert_all_correct(&traffic.stop().await);
    assert_eq!(received_counts(cluster).await, before, "a leaving target received requests");
}

/// Guards against requests to leaving targets when the control leader is killed right after they announce it.
#[tokio::test(flavor = "multi_thread")]
async fn leader_killed() {
    let mut cluster = start_cluster().await;
    let leader = cluster.leader_index().await;
    let traffic = Traffic::start(&cluster, 4);
    traffic.wait_for_results(40).await;
    let announced = announce_leaving(&cluster).await;
    cluster.fleet.controls[leader].process.kill().expect("kill");
    sleep_past(announced, MAX_CONVERGENCE).await;
    assert_no_new_requests(&cluster, async || ()).await;
    cluster.assert_all_correct(&traffic.stop().await);
}

/// Guards against an owner that was frozen when its targets announced that they leave, and sends them its pending
/// requests when it resumes. Another entry host is killed meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn owner_frozen_and_entry_killed() {
    let mut cluster = start_cluster().await;
    let traffic = Traffic::start(&cluster, 8);
    traffic.wait_for_results(80).await;
    cluster.fleet.entries[0].process.freeze().expect("freeze");
    cluster.fleet.entries[1].process.kill().expect("kill");
    let announced = announce_leaving(&cluster).await;
    sleep_past(announced, MAX_CONVERGENCE).await;
    let before = received_counts(&cluster).await;
    cluster.fleet.entries[0].process.resume().expect("resume");
    cluster.fleet.entries[1].process.restart().expect("restart");
    cluster.wait_for_full_coverage().await;
    assert_eq!(received_counts(&cluster).await, before, "requests from the owner after it resumed");
    assert_no_new_requests(&cluster, async || sleep_past(Instant::now(), OWNERSHIP_WAIT).await)
        .await;
    cluster.assert_all_correct(&traffic.stop().await);
}

/// Guards against requests to leaving targets when their owner cannot report it, because its connections to the control
/// hosts carry no data.
#[tokio::test(flavor = "multi_thread")]
async fn owner_cut_off() {
    let (cluster, proxies) = start_cluster_with_proxies().await;
    let traffic = Traffic::start(&cluster, 4);
    traffic.wait_for_results(40).await;
    proxies.iter().for_each(TcpProxy::silence);
    let announced = announce_leaving(&cluster).await;
    sleep_past(announced, MAX_CONVERGENCE).await;
    assert_no_new_requests(&cluster, async || proxies.iter().for_each(TcpProxy::restore)).await;
    cluster.assert_all_correct(&traffic.stop().await);
}

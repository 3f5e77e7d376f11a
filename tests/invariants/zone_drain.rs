//! A zone that an operator has drained receives no new requests after a few seconds.

use std::time::Instant;

use gentianpass::{
    lab::proxy::TcpProxy,
    wire::caller::{Answer, Query},
};

use crate::support::{
    Cluster, MAX_CONVERGENCE, MAX_RECOVERY, OWNERSHIP_WAIT, Traffic, ZONES, job, query,
    search_text, sleep_past, start_cluster, start_cluster_with_proxies,
};

/// The zone that is drained. Entry host 0 owns its targets.
const DRAINED_ZONE: &str = ZONES[0];

/// Sets the label `drain` of the zone, and returns the time at which the change was accepted.
async fn drain_zone(cluster: &Cluster) -> Instant {
    let set =
        cluster.fleet.operator.set_label(&format!("zone/{DRAINED_ZONE}"), "drain", "true").await;
    set.expect("accepted");
    Instant::now()
}

/// Runs `action` under traffic, sends searches and print jobs to each entry host, and checks that no target of the zone
/// received a request meanwhile.
async fn assert_no_new_requests(cluster: &Cluster, action: impl AsyncFnOnce()) {
    let before = cluster.received_in(DRAINED_ZONE).await;
    let traffic = Traffic::start(cluster, 4);
    action().await;
    for round in 0..3 {
        for entry in 0..cluster.fleet.entries.len() {
            let _ = cluster.query_at(entry, &search_text(round)).await;
            let key = format!("after-{round}-{entry}");
            let _ = cluster.dispatch_at(entry, &job(&key)).await;
        }
    }
    traffic.wait_for_results(40).await;
    cluster.wait_for_full_coverage().await;
    cluster.assert_all_correct(&traffic.stop().await);
    assert_eq!(
        cluster.received_in(DRAINED_ZONE).await,
        before,
        "targets of the drained zone received requests"
    );
}

/// Guards against requests to the zone when the owner of its targets is killed right after the change and restarted.
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed() {
    let mut cluster = start_cluster().await;
    let traffic = Traffic::start(&cluster, 4);
    traffic.wait_for_results(40).await;
    let accepted = drain_zone(&cluster).await;
    cluster.fleet.entries[0].process.kill().expect("kill");
    sleep_past(accepted, MAX_CONVERGENCE).await;
    cluster.fleet.entries[0].process.restart().expect("restart");
    assert_no_new_requests(&cluster, async || sleep_past(Instant::now(), OWNERSHIP_WAIT).await)
        .await;
    cluster.assert_all_correct(&traffic.stop().await);
}

/// Guards against an owner that is frozen during the change, and sends its pending requests to the zone when it
/// resumes.
#[tokio::test(flavor = "multi_thread")]
async fn owner_frozen() {
    let mut cluster = start_cluster().await;
    let traffic = Traffic::start(&cluster, 8);
    traffic.wait_for_results(80).await;
    cluster.fleet.entries[0].process.freeze().expect("freeze");
    let addr = cluster.fleet.entries[0].http;
    let waiting: Vec<_> = (0..8)
        .map(|i| {
            let caller = cluster.caller("direct");
            let query = Query { deadline_ms: 20_000, ..query(&search_text(i)) };
            tokio::spawn(async move {
                let _ = caller.call_at::<Answer>(addr, "/v1/query", &query, MAX_RECOVERY).await;
            })
        })
        .collect();
    let accepted = drain_zone(&cluster).await;
    sleep_past(accepted, MAX_CONVERGENCE).await;
    let received = cluster.received_in(DRAINED_ZONE).await;
    cluster.fleet.entries[0].process.resume().expect("resume");
    for it in waiting {
        it.await.expect("caller task");
    }
    assert_eq!(
        cluster.received_in(DRAINED_ZONE).await,
        received,
        "requests from the owner after it resumed"
    );
    assert_no_new_requests(&cluster, async || sleep_past(Instant::now(), OWNERSHIP_WAIT).await)
        .await;
    cluster.assert_all_correct(&traffic.stop().await);
}

/// Guards against an owner that keeps sending to the zone when its connections to the control hosts stay open but carry
/// no data, and the control leader is killed.
#[tokio::test(flavor = "multi_thread")]
async fn owner_cut_off_and_leader_killed() {
    let (mut cluster, proxies) = start_cluster_with_proxies().await;
    let leader = cluster.leader_index().await;
    let traffic = Traffic::start(&cluster, 4);
    traffic.wait_for_results(40).await;
    proxies.iter().for_each(TcpProxy::silence);
    let accepted = drain_zone(&cluster).await;
    cluster.fleet.controls[leader].process.kill().expect("kill");
    sleep_past(accepted, MAX_CONVERGENCE).await;
    assert_no_new_requests(&cluster, async || proxies.iter().for_each(TcpProxy::restore)).await;
    cluster.wait_for_full_coverage().await;
    assert_no_new_requests(&cluster, async || sleep_past(Instant::now(), OWNERSHIP_WAIT).await)
        .await;
    cluster.assert_all_correct(&traffic.stop().await);
}

/// Guards against requests to the zone when it is drained again after a return to service. The entry hosts of the other
/// zones are frozen during each drain, so that they resume with a configuration in which the zone still serves.
#[tokio::test(flavor = "multi_thread")]
async fn drained_twice() {
    let mut cluster = start_cluster().await;
    let traffic = Traffic::start(&cluster, 4);
    for _ in 0..2 {
        traffic.wait_for_results(20).await;
        for entry in [1, 2] {
            cluster.fleet.entries[entry].process.freeze().expect("freeze");
        }
        let accepted = drain_zone(&cluster).await;
        sleep_past(accepted, MAX_CONVERGENCE).await;
        for entry in [1, 2] {
            cluster.fleet.entries[entry].process.resume().expect("resume");
        }
        assert_no_new_requests(&cluster, async || ()).await;
        let object = format!("zone/{DRAINED_ZONE}");
        cluster.fleet.operator.remove_label(&object, "drain").await.expect("accepted");
        cluster.wait_for_full_coverage().await;
    }
    cluster.assert_all_correct(&traffic.stop().await);
}

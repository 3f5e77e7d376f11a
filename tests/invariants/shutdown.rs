//! A graceful stop of an entry host interrupts no request.

use gentianpass::lab::{caller::Error, target::fault::Fault};

use crate::support::{Cluster, MAX_RECOVERY, SentQuery, Traffic, start_cluster};

/// Checks that each query got a correct answer that covers all shards.
fn assert_all_answered(cluster: &Cluster, queries: &[SentQuery]) {
    for query in queries {
        let complete = matches!(&query.result, Ok(it) if it.covered == it.total && it.total > 0);
        assert!(complete, "not answered in full: {query:?}");
    }
    assert_eq!(cluster.assert_all_correct(queries), queries.len());
}

/// Waits until the process of an entry host has exited successfully.
async fn wait_until_stopped(cluster: &mut Cluster, entry: usize) {
    let process = &mut cluster.fleet.entries[entry].process;
    let status = process.wait(MAX_RECOVERY).await.expect("the entry host exits");
    assert!(status.success(), "{status}: {}", process.log_tail());
}

/// Guards against a stop that interrupts a request, loses coverage, or leaves the stopped host in the list that callers
/// use. Each entry host is stopped in turn under load.
#[tokio::test(flavor = "multi_thread")]
async fn each_in_turn() {
    let mut cluster = start_cluster().await;
    let traffic = Traffic::start(&cluster, 8);
    for entry in 0..3 {
        traffic.wait_for_results(40).await;
        cluster.fleet.entries[entry].process.terminate().expect("terminate");
        wait_until_stopped(&mut cluster, entry).await;
        traffic.wait_for_results(40).await;
        cluster.fleet.entries[entry].process.restart().expect("restart");
        cluster.wait_for_full_coverage().await;
    }
    assert_all_answered(&cluster, &traffic.stop().await);
}

/// Guards against interrupted requests when two entry hosts stop at once and the control leader is killed meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn two_at_once_and_leader_killed() {
    let mut cluster = start_cluster().await;
    let leader = cluster.leader_index().await;
    let traffic = Traffic::start(&cluster, 8);
    traffic.wait_for_results(40).await;
    for entry in [0, 1] {
        cluster.fleet.entries[entry].process.terminate().expect("terminate");
    }
    cluster.fleet.controls[leader].process.kill().expect("kill");
    for entry in [0, 1] {
        wait_until_stopped(&mut cluster, entry).await;
    }
    traffic.wait_for_results(40).await;
    let queries = traffic.stop().await;
    let interrupted = |it: &&SentQuery| matches!(it.result, Err(Error::Broken(_)));
    assert_eq!(
        queries.iter().filter(interrupted).map(|it| format!("{it:?}")).collect::<Vec<_>>(),
        [""; 0]
    );
    assert!(cluster.assert_all_correct(&queries) > 80, "too few answers");
}

/// Guards against a host that exits before slow requests are answered, also when it gets a second SIGTERM.
#[tokio::test(flavor = "multi_thread")]
async fn slow_requests_and_second_signal() {
    let mut cluster = start_cluster().await;
    cluster.fleet.fault(&[], Fault::Slow { factor: 60.0 }).await.expect("targets slowed");
    let traffic = Traffic::start(&cluster, 4);
    traffic.wait_for_results(8).await;
    for _ in 0..2 {
        cluster.fleet.entries[2].process.terminate().expect("terminate");
        traffic.wait_for_results(8).await;
    }
    wait_until_stopped(&mut cluster, 2).await;
    let queries = traffic.stop().await;
    let interrupted = |it: &&SentQuery| matches!(it.result, Err(Error::Broken(_)));
    assert_eq!(
        queries.iter().filter(interrupted).map(|it| format!("{it:?}")).collect::<Vec<_>>(),
        [""; 0]
    );
    cluster.assert_all_correct(&queries);
}

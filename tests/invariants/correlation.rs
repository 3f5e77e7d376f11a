//! Each caller receives the complete answer to its own request.

use std::collections::HashSet;

use gentianpass::lab::target::fault::Fault;

use crate::support::{Cluster, SentQuery, Traffic, start_cluster};

/// Checks the rows and request ids of all answers. Rows that belong to a request with another text fail the check; the
/// callers start at different texts.
fn assert_own_answers(cluster: &Cluster, queries: &[SentQuery], min_answers: usize) {
    let answers: Vec<_> = queries.iter().filter_map(|it| it.result.as_ref().ok()).collect();
    let ids: HashSet<_> = answers.iter().map(|it| &it.request_id).collect();
    assert_eq!(ids.len(), answers.len(), "a request id was reused");
    assert!(answers.iter().any(|it| !it.rows.is_empty()), "no answer has rows");
    assert!(cluster.assert_all_correct(queries) > min_answers, "too few answers");
}

/// Guards against rows of another request when straggling targets answer late and out of order, after their
/// sub-requests were hedged and cancelled.
#[tokio::test(flavor = "multi_thread")]
async fn stragglers() {
    let cluster = start_cluster().await;
    let straggle = Fault::Straggle { one_in: 6, factor: 40.0 };
    cluster.fleet.fault(&[], straggle).await.expect("stragglers set");
    let traffic = Traffic::start(&cluster, 24);
    traffic.wait_for_results(400).await;
    assert_own_answers(&cluster, &traffic.stop().await, 300);
}

/// Guards against late answers that are matched to another request. Twice, the open connections to targets stop
/// carrying data and an entry host, which owns targets and coordinates queries, is frozen. The first freeze is meant
/// to end before its lease expires, the second after.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_and_frozen_owner() {
    let mut cluster = start_cluster().await;
    let straggle = Fault::Straggle { one_in: 10, factor: 30.0 };
    cluster.fleet.fault(&[], straggle).await.expect("stragglers set");
    let traffic = Traffic::start(&cluster, 24);
    for answers in [60, 400] {
        traffic.wait_for_results(60).await;
        cluster.fleet.fault(&[], Fault::Silence).await.expect("connections silenced");
        cluster.fleet.entries[1].process.freeze().expect("freeze");
        traffic.wait_for_results(answers).await;
        cluster.fleet.entries[1].process.resume().expect("resume");
        traffic.wait_for_results(60).await;
    }
    cluster.wait_for_full_coverage().await;
    assert_own_answers(&cluster, &traffic.stop().await, 400);
}

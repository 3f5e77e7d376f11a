//! A request that is refused as `not_run` has not run at any target.

use std::{collections::BTreeMap, time::Duration};

use gentianpass::{
    error::Outcome,
    lab::{caller::Error, target::fault::Fault},
    wire::caller::Answer,
};

use crate::support::{
    Cluster, MAX_RECOVERY, error_kind, job, outcome, query, start_cluster, start_cluster_with,
    wait_until,
};

/// Prefix of the search texts whose starts the stand-in targets count.
const WATCHED_PREFIX: &str = "unique";

/// Time-out of one call, longer than the deadline of its request.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

type Call = (String, Result<Answer, Error>);

/// Makes all stand-in targets count how often each text with [`WATCHED_PREFIX`] starts.
async fn count_starts(cluster: &Cluster) {
    let prefix = Some(WATCHED_PREFIX.to_owned());
    cluster.fleet.fault(&[], Fault::Watch { prefix }).await.expect("watched prefix set");
}

/// Sends `count` searches at once, each with a unique text, to the entry hosts in turn.
fn send_searches(
    cluster: &Cluster,
    round: &str,
    count: usize,
) -> Vec<tokio::task::JoinHandle<Call>> {
    let send = |i: usize| {
        let caller = cluster.caller("direct");
        let addr = cluster.fleet.entries[i % cluster.fleet.entries.len()].http;
        let query = query(&format!("{WATCHED_PREFIX}{round}x{i}"));
        tokio::spawn(async move {
            let answer = caller.call_at(addr, "/v1/query", &query, CALL_TIMEOUT).await;
            (query.text, answer)
        })
    };
    (0..count).map(send).collect()
}

/// Checks that no search that was refused as `not_run` has started at any target, and counts the refusals by kind.
async fn assert_refused_not_started(cluster: &Cluster, calls: &[Call]) -> BTreeMap<String, usize> {
    let mut started: BTreeMap<String, u32> = BTreeMap::new();
    for it in cluster.stats().await.into_values() {
        for (text, count) in it.texts {
            *started.entry(text).or_default() += count;
        }
    }
    let mut refused = BTreeMap::new();
    for (text, result) in calls {
        if outcome(result) == Outcome::NotRun {
            assert_eq!(
                started.get(text),
                None,
                "{text} started although refused as not run: {result:?}"
            );
            let cause = error_kind(result).map_or("unreachable".into(), |it| it.to_string());
            *refused.entry(cause).or_default() += 1;
        }
    }
    assert!(!started.is_empty(), "the stand-in targets counted no starts");
    refused
}

/// Guards against refusals of searches that run when the load exceeds the capacity of the cluster and all targets are
/// slow.
#[tokio::test(flavor = "multi_thread")]
async fn overload() {
    let cluster = start_cluster_with(|plan| {
        for entry in &mut plan.entries {
            entry.settings.insert("max_queries".into(), 16.into());
        }
    })
    .await;
    count_starts(&cluster).await;
    cluster.fleet.fault(&[], Fault::Slow { factor: 30.0 }).await.expect("targets slowed");
    let mut calls = Vec::new();
    for round in 0..3 {
        for call in send_searches(&cluster, &format!("r{round}"), 150) {
            calls.push(call.await.expect("caller task"));
        }
    }
    let refused = assert_refused_not_started(&cluster, &calls).await;
    assert!(refused.values().sum::<usize>() > 20, "{refused:?}");
}

/// Guards against refusals of searches that run while an owner is killed, another entry host is frozen until its lease
/// has ended, and targets crash, shed load or straggle.
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed_and_host_frozen() {
    let mut cluster = start_cluster().await;
    count_starts(&cluster).await;
    cluster.fleet.fault(&[], Fault::Slow { factor: 10.0 }).await.expect("targets slowed");
    let mut waiting = send_searches(&cluster, "before", 60);
    cluster.fleet.entries[0].process.kill().expect("kill");
    cluster.fleet.entries[1].process.freeze().expect("freeze");
    waiting.extend(send_searches(&cluster, "frozen", 60));
    let crashing = cluster.fleet.targets[2].names.clone();
    cluster.inject_fault(&crashing, Fault::Crash { back_after_ms: 200 }).await;
    wait_until("the killed and the frozen entry host to expire", MAX_RECOVERY, async || {
        let state = cluster.fleet.operator.state().await.ok()?;
        (state.nodes.len() == 1).then_some(())
    })
    .await;
    cluster.fleet.entries[1].process.resume().expect("resume");
    cluster.fleet.fault(&[], Fault::Shed { on: true }).await.expect("load shedding set");
    cluster
        .fleet
        .fault(&[], Fault::Straggle { one_in: 3, factor: 100.0 })
        .await
        .expect("stragglers set");
    waiting.extend(send_searches(&cluster, "woken", 60));
    cluster.fleet.entries[0].process.restart().expect("restart");
    waiting.extend(send_searches(&cluster, "after", 60));
    let mut calls = Vec::new();
    for call in waiting {
        calls.push(call.await.expect("caller task"));
    }
    let refused = assert_refused_not_started(&cluster, &calls).await;
    assert!(refused.values().sum::<usize>() > 20, "{refused:?}");
}

/// Guards against refusals of print jobs that ran while their targets shed load, leave, stall, go silent or crash.
#[tokio::test(flavor = "multi_thread")]
async fn print_jobs() {
    let cluster = start_cluster().await;
    let print_targets: Vec<String> =
        cluster.fleet.targets.iter().filter_map(|it| it.names.last().cloned()).collect();
    let faults = [
        Fault::Shed { on: true },
        Fault::Leave { refuse_after_ms: 0 },
        Fault::Stall { on: true },
        Fault::Silence,
        Fault::Crash { back_after_ms: 300 },
    ];
    let mut calls = Vec::new();
    for (round, fault) in faults.into_iter().enumerate() {
        let slow = Fault::Slow { factor: 20.0 };
        cluster.inject_fault(&print_targets, slow).await;
        cluster.inject_fault(&print_targets, fault).await;
        let jobs: Vec<_> = (0..40).map(|it| job(&format!("job-{round}-{it}"))).collect();
        let sent = jobs.iter().enumerate().map(|(i, it)| cluster.dispatch_at(i % 3, it));
        let answers = futures::future::join_all(sent).await;
        calls.extend(jobs.iter().map(|it| it.key.clone()).zip(answers));
        cluster.inject_fault(&print_targets, Fault::Heal).await;
        cluster.inject_fault(&print_targets, Fault::Return).await;
    }
    let stats = cluster.stats().await;
    let runs = |key: &str| stats.values().filter_map(|it| it.runs.get(key)).sum::<u32>();
    let mut refused = 0;
    for (key, result) in &calls {
        match outcome(result) {
            Outcome::NotRun => assert_eq!(runs(key), 0, "{key}: {result:?}"),
            Outcome::Done => assert_eq!(runs(key), 1, "{key}: {result:?}"),
            Outcome::Unknown => assert!(runs(key) <= 1, "{key}: {result:?}"),
        }
        refused += usize::from(outcome(result) == Outcome::NotRun);
    }
    assert!(refused > 5 && refused < calls.len(), "{refused} of {} refused", calls.len());
}

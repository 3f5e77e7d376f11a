//! A request that is not idempotent runs at most once.

use std::{collections::BTreeMap, time::Duration};

use gentianpass::{
    error::Outcome,
    lab::{caller::Error, target::fault::Fault},
    wire::caller::{Dispatch, Dispatched},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::support::{Cluster, MAX_RECOVERY, SEED, job, outcome, start_cluster, wait_until};

type Call = Result<Dispatched, Error>;

/// How often the job with this idempotency key ran, over all stand-in targets.
async fn runs(cluster: &Cluster, key: &str) -> u32 {
    cluster.stats().await.values().filter_map(|it| it.runs.get(key)).sum()
}

/// Resends a job until its outcome is no longer `not_run`, and checks this outcome and those of the earlier `calls`
/// against the number of runs. Returns the last outcome.
async fn assert_at_most_once(cluster: &Cluster, job: &Dispatch, mut calls: Vec<Call>) -> Outcome {
    let key = &job.key;
    if calls.iter().all(|it| outcome(it) == Outcome::NotRun) {
        assert_eq!(
            runs(cluster, key).await,
            0,
            "{key} ran although reported as not run, seed {SEED}: {calls:?}"
        );
    }
    let last = wait_until("a final outcome", MAX_RECOVERY, async || {
        let call = cluster.dispatch_at(calls.len() % cluster.fleet.entries.len(), job).await;
        let last = outcome(&call);
        calls.push(call);
        (last != Outcome::NotRun).then_some(last)
    })
    .await;
    let runs = runs(cluster, key).await;
    assert!(runs <= 1, "{key} ran {runs} times, seed {SEED}: {calls:?}");
    if calls.iter().any(|it| outcome(it) == Outcome::Done) {
        assert_eq!(
            runs, 1,
            "{key} was reported as done but did not run once, seed {SEED}: {calls:?}"
        );
    }
    last
}

/// Guards against a second run when the entry host is killed while the job runs and the caller retries at the other
/// entry hosts.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed() {
    let mut cluster = start_cluster().await;
    cluster.fleet.fault(&[], Fault::Slow { factor: 100.0 }).await.expect("targets slowed");
    let job = job("killed");
    let call = {
        let (caller, addr) = (cluster.caller("printer"), cluster.fleet.entries[0].http);
        let job = job.clone();
        tokio::spawn(async move {
            caller.call_at(addr, "/v1/dispatch", &job, Duration::from_secs(5)).await
        })
    };
    wait_until("a run", MAX_RECOVERY, async || (runs(&cluster, "killed").await == 1).then_some(()))
        .await;
    cluster.fleet.entries[0].process.kill().expect("kill");
    let first = call.await.expect("call");
    assert_eq!(outcome(&first), Outcome::Unknown, "{first:?}");
    let mut calls = vec![first];
    for entry in [1, 2, 1] {
        calls.push(cluster.dispatch_at(entry, &job).await);
    }
    assert!(calls.iter().all(|it| outcome(it) == Outcome::Unknown), "{calls:?}");
    assert_eq!(runs(&cluster, "killed").await, 1);
    cluster.fleet.entries[0].process.restart().expect("restart");
    assert_eq!(assert_at_most_once(&cluster, &job, calls).await, Outcome::Unknown);
}

/// Guards against a run without a committed claim. The jobs arrive while two of the three control hosts are frozen, and
/// these resume after the callers have sent each job to all entry hosts.
#[tokio::test(flavor = "multi_thread")]
async fn quorum_frozen() {
    let mut cluster = start_cluster().await;
    let mut calls: BTreeMap<String, Vec<Call>> = BTreeMap::new();
    let jobs: Vec<_> = (0..6).map(|it| job(&format!("frozen-{it}"))).collect();
    let leader = cluster.leader_index().await;
    for host in [leader, (leader + 1) % 3] {
        cluster.fleet.controls[host].process.freeze().expect("freeze");
    }
    for entry in 0..3 {
        let sent = jobs.iter().map(|it| cluster.dispatch_at(entry, it));
        for (job, call) in jobs.iter().zip(futures::future::join_all(sent).await) {
            assert_ne!(outcome(&call), Outcome::Done, "done without a quorum: {call:?}");
            calls.entry(job.key.clone()).or_default().push(call);
        }
    }
    for job in &jobs {
        assert_eq!(runs(&cluster, &job.key).await, 0, "{} ran without a claim", job.key);
    }
    for host in [leader, (leader + 1) % 3] {
        cluster.fleet.controls[host].process.resume().expect("resume");
    }
    cluster.wait_for_full_coverage().await;
    for job in &jobs {
        assert_at_most_once(&cluster, job, calls.remove(&job.key).unwrap_or_default()).await;
    }
}

/// Guards against a second run when entry hosts, the control leader and targets are killed at random times. Each caller
/// sends its job to two randomly chosen entry hosts at once, and then to a third one.
#[tokio::test(flavor = "multi_thread")]
async fn random_kills() {
    let mut cluster = start_cluster().await;
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut all: Vec<(Dispatch, Vec<Call>)> = Vec::new();
    cluster.fleet.fault(&[], Fault::Slow { factor: 10.0 }).await.expect("targets slowed");
    for round in 0..8 {
        let jobs: Vec<_> = (0..8).map(|it| job(&format!("random-{round}-{it}"))).collect();
        let hosts: Vec<[usize; 3]> =
            jobs.iter().map(|_| std::array::from_fn(|_| rng.random_range(0..3))).collect();
        let callers: Vec<_> = jobs
            .iter()
            .zip(&hosts)
            .map(|(job, hosts)| {
                let addrs = hosts.map(|it| cluster.fleet.entries[it].http);
                let (caller, job) = (cluster.caller("printer"), job.clone());
                let timeout = Duration::from_secs(3);
                tokio::spawn(async move {
                    let send = |it| caller.call_at(it, "/v1/dispatch", &job, timeout);
                    let (first, second) = tokio::join!(send(addrs[0]), send(addrs[1]));
                    vec![first, second, send(addrs[2]).await]
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..60))).await;
        let killed = rng.random_range(0..3);
        match round % 4 {
            0 => cluster.fleet.entries[killed].process.kill().expect("kill"),
            1 => {
                let names = cluster.fleet.targets[killed].names.clone();
                cluster.inject_fault(&names, Fault::Crash { back_after_ms: 100 }).await;
            }
            2 => {
                let leader = cluster.leader_index().await;
                cluster.fleet.controls[leader].process.kill().expect("kill");
                cluster.fleet.controls[leader].process.restart().expect("restart");
            }
            _ => {
                cluster.fleet.entries[killed].process.kill().expect("kill");
                let leader = cluster.leader_index().await;
                cluster.fleet.controls[leader].process.kill().expect("kill");
                cluster.fleet.controls[leader].process.restart().expect("restart");
            }
        }
        for (job, calls) in jobs.into_iter().zip(callers) {
            all.push((job, calls.await.expect("caller task")));
        }
        if round % 4 != 1 && round % 4 != 2 {
            cluster.fleet.entries[killed].process.restart().expect("restart");
        }
    }
    cluster.wait_for_full_coverage().await;
    let mut done = 0;
    for (job, calls) in all {
        done += usize::from(assert_at_most_once(&cluster, &job, calls).await == Outcome::Done);
    }
    assert!(done > 0, "no job was done; seed {SEED}");
}

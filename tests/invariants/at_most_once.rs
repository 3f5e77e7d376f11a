//! A request that may not be repeated runs at most once.

use std::{collections::BTreeMap, time::Duration};

use gentianpass::{
    error::Outcome,
    lab::{caller::Error, target::fault::Fault},
    wire::caller::{Dispatch, Dispatched},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::support::{RECOVERY, SEED, World, job, outcome, until, world};

type Call = Result<Dispatched, Error>;

/// How often a key ran at all stand-ins.
async fn runs(world: &World, key: &str) -> u32 {
    world.stats().await.values().filter_map(|it| it.runs.get(key)).sum()
}

/// Sends a job again until the answer is final, and checks it and all earlier answers against the runs.
async fn check(world: &World, job: &Dispatch, mut calls: Vec<Call>) -> Outcome {
    let key = &job.key;
    if calls.iter().all(|it| outcome(it) == Outcome::NotRun) {
        assert_eq!(runs(world, key).await, 0, "{key} ran, seed {SEED}: {calls:?}");
    }
    let last = until("a final answer", RECOVERY, async || {
        let call = world.dispatch_at(calls.len() % world.fleet.entries.len(), job).await;
        let ended = outcome(&call);
        calls.push(call);
        (ended != Outcome::NotRun).then_some(ended)
    })
    .await;
    let runs = runs(world, key).await;
    assert!(runs <= 1, "{key} ran {runs} times, seed {SEED}: {calls:?}");
    if calls.iter().any(|it| outcome(it) == Outcome::Done) {
        assert_eq!(runs, 1, "{key} is done without a run, seed {SEED}: {calls:?}");
    }
    last
}

/// Guards against a second run when the entry host dies while the job runs and the caller goes to the others.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed() {
    let mut world = world().await;
    world.fleet.fault(&[], Fault::Slow { factor: 100.0 }).await.expect("slow");
    let job = job("killed");
    let call = {
        let (caller, addr) = (world.caller("printer"), world.fleet.entries[0].http);
        let job = job.clone();
        tokio::spawn(async move {
            caller.call_at(addr, "/v1/dispatch", &job, Duration::from_secs(5)).await
        })
    };
    until("the job runs", RECOVERY, async || (runs(&world, "killed").await == 1).then_some(()))
        .await;
    world.fleet.entries[0].process.kill().expect("kill");
    let first = call.await.expect("call");
    assert_eq!(outcome(&first), Outcome::Unknown, "{first:?}");
    let mut calls = vec![first];
    for entry in [1, 2, 1] {
        calls.push(world.dispatch_at(entry, &job).await);
    }
    assert!(calls.iter().all(|it| outcome(it) == Outcome::Unknown), "{calls:?}");
    assert_eq!(runs(&world, "killed").await, 1);
    world.fleet.entries[0].process.restart().expect("restart");
    assert_eq!(check(&world, &job, calls).await, Outcome::Unknown);
}

/// Guards against a run without a certain claim: a job arrives while most control hosts are frozen, and they wake up
/// after the caller has sent it to all entry hosts.
#[tokio::test(flavor = "multi_thread")]
async fn quorum_frozen() {
    let mut world = world().await;
    let mut calls: BTreeMap<String, Vec<Call>> = BTreeMap::new();
    let jobs: Vec<_> = (0..6).map(|it| job(&format!("frozen-{it}"))).collect();
    let leader = world.leader().await;
    for host in [leader, (leader + 1) % 3] {
        world.fleet.controls[host].process.freeze().expect("freeze");
    }
    for entry in 0..3 {
        let sent = jobs.iter().map(|it| world.dispatch_at(entry, it));
        for (job, call) in jobs.iter().zip(futures::future::join_all(sent).await) {
            assert_ne!(outcome(&call), Outcome::Done, "without a quorum: {call:?}");
            calls.entry(job.key.clone()).or_default().push(call);
        }
    }
    for job in &jobs {
        assert_eq!(runs(&world, &job.key).await, 0, "{} ran without a claim", job.key);
    }
    for host in [leader, (leader + 1) % 3] {
        world.fleet.controls[host].process.resume().expect("resume");
    }
    world.until_full().await;
    for job in &jobs {
        check(&world, job, calls.remove(&job.key).unwrap_or_default()).await;
    }
}

/// Guards against a second run through any order of kills of entry hosts, the control leader and targets, while each
/// caller sends its job again to other entry hosts, some of them at once.
#[tokio::test(flavor = "multi_thread")]
async fn random_kills() {
    let mut world = world().await;
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut all: Vec<(Dispatch, Vec<Call>)> = Vec::new();
    world.fleet.fault(&[], Fault::Slow { factor: 10.0 }).await.expect("slow");
    for round in 0..8 {
        let jobs: Vec<_> = (0..8).map(|it| job(&format!("random-{round}-{it}"))).collect();
        let hosts: Vec<[usize; 3]> =
            jobs.iter().map(|_| std::array::from_fn(|_| rng.random_range(0..3))).collect();
        let callers: Vec<_> = jobs
            .iter()
            .zip(&hosts)
            .map(|(job, hosts)| {
                let addrs = hosts.map(|it| world.fleet.entries[it].http);
                let (caller, job) = (world.caller("printer"), job.clone());
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
            0 => world.fleet.entries[killed].process.kill().expect("kill"),
            1 => {
                let names = world.fleet.targets[killed].names.clone();
                world.fault(&names, Fault::Crash { back_after_ms: 100 }).await;
            }
            2 => {
                let leader = world.leader().await;
                world.fleet.controls[leader].process.kill().expect("kill");
                world.fleet.controls[leader].process.restart().expect("restart");
            }
            _ => {
                world.fleet.entries[killed].process.kill().expect("kill");
                let leader = world.leader().await;
                world.fleet.controls[leader].process.kill().expect("kill");
                world.fleet.controls[leader].process.restart().expect("restart");
            }
        }
        for (job, calls) in jobs.into_iter().zip(callers) {
            all.push((job, calls.await.expect("caller")));
        }
        if round % 4 != 1 && round % 4 != 2 {
            world.fleet.entries[killed].process.restart().expect("restart");
        }
    }
    world.until_full().await;
    let mut done = 0;
    for (job, calls) in all {
        done += usize::from(check(&world, &job, calls).await == Outcome::Done);
    }
    assert!(done > 0, "no job was done; seed {SEED}");
}

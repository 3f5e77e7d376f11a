//! A refusal that says "not run" is true.

use std::{collections::BTreeMap, time::Duration};

use gentianpass::{
    error::Outcome,
    lab::{caller::Error, target::fault::Fault},
    wire::caller::Answer,
};

use crate::support::{RECOVERY, World, job, kind, outcome, query, until, world, world_with};

/// The prefix of the texts that the stand-ins count.
const PREFIX: &str = "unique";

/// How long one call may take beyond its deadline.
const TIMEOUT: Duration = Duration::from_secs(4);

type Call = (String, Result<Answer, Error>);

async fn watch(world: &World) {
    let prefix = Some(PREFIX.to_owned());
    world.fleet.fault(&[], Fault::Watch { prefix }).await.expect("watch");
}

/// Sends as many searches at once, each with a text of its own, to the entry hosts in turn.
fn flood(world: &World, round: &str, count: usize) -> Vec<tokio::task::JoinHandle<Call>> {
    let send = |i: usize| {
        let caller = world.caller("direct");
        let addr = world.fleet.entries[i % world.fleet.entries.len()].http;
        let query = query(&format!("{PREFIX}{round}x{i}"));
        tokio::spawn(async move {
            let answer = caller.call_at(addr, "/v1/query", &query, TIMEOUT).await;
            (query.text, answer)
        })
    };
    (0..count).map(send).collect()
}

/// Checks that no text whose search was refused as not run has started anywhere, and counts the refusals by kind.
async fn check(world: &World, calls: &[Call]) -> BTreeMap<String, usize> {
    let mut started: BTreeMap<String, u32> = BTreeMap::new();
    for it in world.stats().await.into_values() {
        for (text, count) in it.texts {
            *started.entry(text).or_default() += count;
        }
    }
    let mut refused = BTreeMap::new();
    for (text, result) in calls {
        if outcome(result) == Outcome::NotRun {
            assert_eq!(started.get(text), None, "{text} started: {result:?}");
            let cause = kind(result).map_or("unreachable".into(), |it| it.to_string());
            *refused.entry(cause).or_default() += 1;
        }
    }
    assert!(!started.is_empty(), "the stand-ins count nothing");
    refused
}

/// Guards against a refusal of a search that runs: more searches than the fleet can take, while all targets are slow.
#[tokio::test(flavor = "multi_thread")]
async fn overload() {
    let world = world_with(|plan| {
        for entry in &mut plan.entries {
            entry.settings.insert("max_queries".into(), 16.into());
        }
    })
    .await;
    watch(&world).await;
    world.fleet.fault(&[], Fault::Slow { factor: 30.0 }).await.expect("slow");
    let mut calls = Vec::new();
    for round in 0..3 {
        for call in flood(&world, &format!("r{round}"), 150) {
            calls.push(call.await.expect("caller"));
        }
    }
    let refused = check(&world, &calls).await;
    assert!(refused.values().sum::<usize>() > 20, "{refused:?}");
}

/// Guards against a refusal of what runs while an owner is killed, another host is frozen until its lease has ended and
/// targets crash, shed or answer late.
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed_and_host_frozen() {
    let mut world = world().await;
    watch(&world).await;
    world.fleet.fault(&[], Fault::Slow { factor: 10.0 }).await.expect("slow");
    let mut waiting = flood(&world, "before", 60);
    world.fleet.entries[0].process.kill().expect("kill");
    world.fleet.entries[1].process.freeze().expect("freeze");
    waiting.extend(flood(&world, "frozen", 60));
    let crashing = world.fleet.targets[2].names.clone();
    world.fault(&crashing, Fault::Crash { back_after_ms: 200 }).await;
    until("the hosts are expired", RECOVERY, async || {
        let state = world.fleet.operator.state().await.ok()?;
        (state.nodes.len() == 1).then_some(())
    })
    .await;
    world.fleet.entries[1].process.resume().expect("resume");
    world.fleet.fault(&[], Fault::Shed { on: true }).await.expect("shed");
    world.fleet.fault(&[], Fault::Straggle { one_in: 3, factor: 100.0 }).await.expect("straggle");
    waiting.extend(flood(&world, "woken", 60));
    world.fleet.entries[0].process.restart().expect("restart");
    waiting.extend(flood(&world, "after", 60));
    let mut calls = Vec::new();
    for call in waiting {
        calls.push(call.await.expect("caller"));
    }
    let refused = check(&world, &calls).await;
    assert!(refused.values().sum::<usize>() > 20, "{refused:?}");
}

/// Guards against a refusal of a print job that ran, while its targets shed, refuse, stall and crash.
#[tokio::test(flavor = "multi_thread")]
async fn print_jobs() {
    let world = world().await;
    let all: Vec<String> =
        world.fleet.targets.iter().filter_map(|it| it.names.last().cloned()).collect();
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
        world.fault(&all, slow).await;
        world.fault(&all, fault).await;
        let jobs: Vec<_> = (0..40).map(|it| job(&format!("job-{round}-{it}"))).collect();
        let sent = jobs.iter().enumerate().map(|(i, it)| world.dispatch_at(i % 3, it));
        let answers = futures::future::join_all(sent).await;
        calls.extend(jobs.iter().map(|it| it.key.clone()).zip(answers));
        world.fault(&all, Fault::Heal).await;
        world.fault(&all, Fault::Return).await;
    }
    let stats = world.stats().await;
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

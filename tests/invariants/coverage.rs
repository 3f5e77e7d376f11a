//! Every answer states correctly which shards it covers.

use std::collections::BTreeMap;

use gentianpass::{
    error::Kind,
    lab::target::fault::{Damage, Fault},
    wire::caller::Answer,
};

use crate::support::{
    RECOVERY, SHARDS, Traffic, World, ZONES, holdings, target, text, until, world,
};

fn replicas(shard: u32) -> Vec<String> {
    ZONES.iter().map(|zone| target(shard, zone)).collect()
}

/// The missing shards with their reasons.
fn missing(answer: &Answer) -> BTreeMap<u32, Kind> {
    assert_eq!(answer.covered as usize + answer.missing.len(), answer.total as usize, "{answer:?}");
    answer.missing.iter().map(|it| (it.shard, it.reason)).collect()
}

/// Waits until all entry hosts miss these shards and no others.
async fn until_missing(world: &World, shards: &[u32]) {
    for entry in 0..world.fleet.entries.len() {
        until("the missing shards", RECOVERY, async || {
            let answer = world.query_at(entry, &text(4)).await.ok()?;
            world.check(&text(4), &answer);
            assert_eq!(answer.total, SHARDS, "a lost shard counts");
            missing(&answer).keys().eq(shards).then_some(())
        })
        .await;
    }
}

/// Guards against an answer that calls itself complete when all replicas of a shard crash one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn shard_crashed() {
    let world = world().await;
    let traffic = Traffic::start(&world, 6);
    for name in replicas(1) {
        traffic.answered(15).await;
        world.fault(&[name], Fault::Crash { back_after_ms: 6_000 }).await;
    }
    until_missing(&world, &[1]).await;
    world.until_full().await;
    let shots = traffic.stop().await;
    assert!(world.check_all(&shots) > 100, "few answers");
    assert!(shots.iter().any(|it| !it.full()), "no answer without the shard");
}

/// Guards against a total that forgets a shard when no target announces it any more, also after all entry hosts and
/// the control leader restart.
#[tokio::test(flavor = "multi_thread")]
async fn shard_given_up_and_hosts_restart() {
    let mut world = world().await;
    world.fault(&replicas(2), Fault::Hold { holdings: Vec::new() }).await;
    until_missing(&world, &[2]).await;
    let leader = world.leader().await;
    let fleet = &mut world.fleet;
    fleet.controls[leader].process.restart().expect("restart");
    for host in &mut fleet.entries {
        host.process.restart().expect("restart");
    }
    until_missing(&world, &[2]).await;
    let holdings = holdings(2, &[1]);
    world.fault(&[target(2, ZONES[0])], Fault::Hold { holdings }).await;
    world.until_full().await;
}

/// Guards against damaged answers that count as covered: one shard is truncated everywhere, one is malformed, one has
/// crashed, and stragglers run into the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn damaged_and_crashed() {
    let world = world().await;
    let traffic = Traffic::start(&world, 6);
    traffic.answered(20).await;
    let damage = Some(Damage::Truncated);
    world.fault(&replicas(0), Fault::Damage { damage }).await;
    world.fault(&replicas(1), Fault::Crash { back_after_ms: 60_000 }).await;
    until_missing(&world, &[0, 1]).await;
    let damage = Some(Damage::Malformed);
    world.fault(&replicas(2), Fault::Damage { damage }).await;
    until_missing(&world, &[0, 1, 2]).await;
    world.fault(&replicas(3), Fault::Straggle { one_in: 2, factor: 1_000.0 }).await;
    traffic.answered(20).await;
    let shots = traffic.stop().await;
    world.check_all(&shots);
    for answer in shots.iter().filter_map(|it| it.result.as_ref().ok()) {
        for (shard, reason) in missing(answer) {
            assert!(shard < SHARDS && reason != Kind::Internal, "{answer:?}");
        }
    }
}

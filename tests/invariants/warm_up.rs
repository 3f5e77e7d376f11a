//! A target in a cold start receives no more load than it can handle.

use std::collections::BTreeSet;

use gentianpass::lab::{fleet::Plan, target::fault::Fault};

use crate::support::{
    PRINT, RECOVERY, SHARDS, Traffic, World, ZONES, target, text, until, world_with,
};

/// How long a target stays cold here: long enough for its new owner to meet it cold.
const WARM_AFTER_MS: u64 = 2_500;

/// Targets that stay cold for a while and work long enough for requests to overlap.
fn slow_start(plan: &mut Plan) {
    for spec in plan.targets.iter_mut().flatten() {
        spec.warm_after_ms = WARM_AFTER_MS;
        spec.service_us = 15_000;
    }
}

fn zone(name: &str) -> Vec<String> {
    let printer = format!("{PRINT}-000-{name}");
    (0..SHARDS).map(|it| target(it, name)).chain([printer]).collect()
}

/// Checks that no target has ever started more requests than it can handle.
async fn assert_no_overload(world: &World) {
    for (name, it) in world.stats().await {
        assert_eq!((it.overload, it.collapses), (0, 0), "{name}: {it:?}");
    }
}

/// Waits until the targets of a zone are warm and run more than one request at once again.
async fn until_grown(world: &World, name: &str) {
    let names: BTreeSet<String> = zone(name).into_iter().collect();
    let before = world.received_in(name).await;
    until("the zone works", RECOVERY, async || {
        let stats = world.stats().await;
        let mut of = stats.values().filter(|it| names.contains(&it.name));
        let worked = |it: &str| stats[it].received > before[it] + 10;
        let shards = (0..SHARDS).all(|it| worked(&target(it, name)));
        (shards && of.all(|it| !it.cold && !it.down)).then_some(())
    })
    .await;
}

/// Guards against a target that gets the load of its earlier life after a crash, under more load than it can handle
/// cold, and after a second crash while it is cold.
#[tokio::test(flavor = "multi_thread")]
async fn targets_crash_twice() {
    let world = world_with(slow_start).await;
    let traffic = Traffic::start(&world, 16);
    until_grown(&world, ZONES[0]).await;
    for _ in 0..2 {
        world.fault(&zone(ZONES[0]), Fault::Crash { back_after_ms: 200 }).await;
        traffic.answered(60).await;
    }
    until_grown(&world, ZONES[0]).await;
    assert_no_overload(&world).await;
    assert!(world.check_all(&traffic.stop().await) > 200, "few answers");
}

/// Guards against a new owner that loads cold targets with what the old one had learned, or next to the old one: the
/// owner is killed while its targets are cold, and comes back.
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed_while_cold() {
    let mut world = world_with(slow_start).await;
    let traffic = Traffic::start(&world, 16);
    until_grown(&world, ZONES[0]).await;
    world.fault(&zone(ZONES[0]), Fault::Crash { back_after_ms: 200 }).await;
    traffic.answered(30).await;
    world.fleet.entries[0].process.kill().expect("kill");
    until_grown(&world, ZONES[0]).await;
    assert_no_overload(&world).await;
    world.fault(&zone(ZONES[0]), Fault::Crash { back_after_ms: 200 }).await;
    world.fleet.entries[0].process.restart().expect("restart");
    world.until_full().await;
    until_grown(&world, ZONES[0]).await;
    assert_no_overload(&world).await;
    world.check_all(&traffic.stop().await);
}

/// Guards against a frozen owner that sends to targets that were restarted or have a new owner when it wakes up.
#[tokio::test(flavor = "multi_thread")]
async fn owner_frozen_while_targets_restart() {
    let mut world = world_with(slow_start).await;
    let traffic = Traffic::start(&world, 16);
    until_grown(&world, ZONES[0]).await;
    world.fleet.entries[0].process.freeze().expect("freeze");
    world.fleet.targets[0].process.restart().expect("restart");
    until("the zone has a new owner", RECOVERY, async || {
        let state = world.fleet.operator.state().await.ok()?;
        (state.nodes.len() == 2).then_some(())
    })
    .await;
    until("the new owner works", RECOVERY, async || {
        let received = world.received_in(ZONES[0]).await;
        (received[&target(0, ZONES[0])] > 5).then_some(())
    })
    .await;
    world.fleet.entries[0].process.resume().expect("resume");
    world.until_full().await;
    until_grown(&world, ZONES[0]).await;
    assert_no_overload(&world).await;
    world.check_all(&traffic.stop().await);
    let answer = world.query_at(0, &text(1)).await.expect("answer");
    world.check(&text(1), &answer);
}

/// Guards against the load of an earlier life at targets that restart while none of their announcements arrives.
#[tokio::test(flavor = "multi_thread")]
async fn restart_without_announcement() {
    let world = world_with(slow_start).await;
    let traffic = Traffic::start(&world, 16);
    world.fleet.fault(&[], Fault::Slow { factor: 4.0 }).await.expect("slow");
    until_grown(&world, ZONES[0]).await;
    until("the limits have grown", RECOVERY, async || {
        let stats = world.stats().await;
        (0..SHARDS).all(|it| stats[&target(it, ZONES[0])].running > 1).then_some(())
    })
    .await;
    world.fault(&zone(ZONES[0]), Fault::Announce { on: false }).await;
    world.fault(&zone(ZONES[0]), Fault::Crash { back_after_ms: 0 }).await;
    traffic.answered(150).await;
    world.fault(&zone(ZONES[0]), Fault::Announce { on: true }).await;
    until_grown(&world, ZONES[0]).await;
    assert_no_overload(&world).await;
    world.check_all(&traffic.stop().await);
}

/// Guards against two owners at once: the owner comes back while the one that stood in for it has slow requests running
/// at cold targets.
#[tokio::test(flavor = "multi_thread")]
async fn owner_returns_while_cold() {
    let mut world = world_with(slow_start).await;
    let traffic = Traffic::start(&world, 16);
    until_grown(&world, ZONES[0]).await;
    world.fleet.entries[0].process.kill().expect("kill");
    until("the host is expired", RECOVERY, async || {
        let state = world.fleet.operator.state().await.ok()?;
        (state.nodes.len() == 2).then_some(())
    })
    .await;
    until_grown(&world, ZONES[0]).await;
    world.fault(&zone(ZONES[0]), Fault::Slow { factor: 40.0 }).await;
    world.fault(&zone(ZONES[0]), Fault::Crash { back_after_ms: 0 }).await;
    world.fleet.entries[0].process.restart().expect("restart");
    until("the host is back", RECOVERY, async || {
        let state = world.fleet.operator.state().await.ok()?;
        (state.nodes.len() == 3).then_some(())
    })
    .await;
    traffic.answered(60).await;
    world.fault(&zone(ZONES[0]), Fault::Slow { factor: 1.0 }).await;
    until_grown(&world, ZONES[0]).await;
    assert_no_overload(&world).await;
    world.check_all(&traffic.stop().await);
}

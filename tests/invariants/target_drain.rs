//! A target that is leaving receives no new work after a few seconds.

use std::time::Instant;

use gentianpass::lab::{proxy::TcpProxy, target::fault::Fault};

use crate::support::{
    FEW_SECONDS, OWNER_WAIT, SHARDS, Traffic, World, ZONES, job, passed, target, text, world,
    world_with_links,
};

/// The targets that leave; entry host 0 owns them.
fn leaving() -> Vec<String> {
    (0..SHARDS).map(|it| target(it, ZONES[0])).collect()
}

/// The targets announce that they leave, and would still take work.
async fn leave(world: &World) -> Instant {
    world.fault(&leaving(), Fault::Leave { refuse_after_ms: 600_000 }).await;
    Instant::now()
}

async fn received(world: &World) -> Vec<u64> {
    let stats = world.stats().await;
    leaving().iter().map(|it| stats[it].received).collect()
}

/// Sends searches through all entry hosts and checks that no leaving target received one.
async fn assert_no_work(world: &World, meanwhile: impl AsyncFnOnce()) {
    let before = received(world).await;
    let traffic = Traffic::start(world, 4);
    meanwhile().await;
    traffic.answered(60).await;
    world.until_full().await;
    for entry in 0..world.fleet.entries.len() {
        let _ = world.query_at(entry, &text(5)).await;
        let _ = world.dispatch_at(entry, &job(&format!("leaving-{entry}"))).await;
    }
    world.check_all(&traffic.stop().await);
    assert_eq!(received(world).await, before, "work at a leaving target");
}

/// Guards against work at leaving targets when the control leader dies at that moment.
#[tokio::test(flavor = "multi_thread")]
async fn leader_killed() {
    let mut world = world().await;
    let leader = world.leader().await;
    let traffic = Traffic::start(&world, 4);
    traffic.answered(40).await;
    let left = leave(&world).await;
    world.fleet.controls[leader].process.kill().expect("kill");
    passed(left, FEW_SECONDS).await;
    assert_no_work(&world, async || ()).await;
    world.check_all(&traffic.stop().await);
}

/// Guards against an owner that is frozen when its targets leave, and sends its work to them when it wakes up, while
/// another entry host is killed.
#[tokio::test(flavor = "multi_thread")]
async fn owner_frozen_and_entry_killed() {
    let mut world = world().await;
    let traffic = Traffic::start(&world, 8);
    traffic.answered(80).await;
    world.fleet.entries[0].process.freeze().expect("freeze");
    world.fleet.entries[1].process.kill().expect("kill");
    let left = leave(&world).await;
    passed(left, FEW_SECONDS).await;
    let before = received(&world).await;
    world.fleet.entries[0].process.resume().expect("resume");
    world.fleet.entries[1].process.restart().expect("restart");
    world.until_full().await;
    assert_eq!(received(&world).await, before, "work after waking up");
    assert_no_work(&world, async || passed(Instant::now(), OWNER_WAIT).await).await;
    world.check_all(&traffic.stop().await);
}

/// Guards against an owner that cannot pass on that its targets leave, because its links to the control hosts are
/// silent.
#[tokio::test(flavor = "multi_thread")]
async fn owner_cut_off() {
    let (world, relays) = world_with_links().await;
    let traffic = Traffic::start(&world, 4);
    traffic.answered(40).await;
    relays.iter().for_each(TcpProxy::silence);
    let left = leave(&world).await;
    passed(left, FEW_SECONDS).await;
    assert_no_work(&world, async || relays.iter().for_each(TcpProxy::restore)).await;
    world.check_all(&traffic.stop().await);
}

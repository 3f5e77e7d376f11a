//! A zone that operators have taken out of service receives no new work after a few seconds.

use std::time::Instant;

use gentianpass::{
    lab::proxy::TcpProxy,
    wire::caller::{Answer, Query},
};

use crate::support::{
    FEW_SECONDS, OWNER_WAIT, RECOVERY, Traffic, World, ZONES, job, passed, query, text, world,
    world_with_links,
};

/// The zone that is taken out; entry host 0 owns its targets.
const ZONE: &str = ZONES[0];

async fn drain(world: &World) -> Instant {
    let set = world.fleet.operator.set_label(&format!("zone/{ZONE}"), "drain", "true").await;
    set.expect("accepted");
    Instant::now()
}

/// Sends searches and jobs to all entry hosts and through the list, and checks that the zone received none of them.
async fn assert_no_work(world: &World, meanwhile: impl AsyncFnOnce()) {
    let before = world.received_in(ZONE).await;
    let traffic = Traffic::start(world, 4);
    meanwhile().await;
    for round in 0..3 {
        for entry in 0..world.fleet.entries.len() {
            let _ = world.query_at(entry, &text(round)).await;
            let key = format!("after-{round}-{entry}");
            let _ = world.dispatch_at(entry, &job(&key)).await;
        }
    }
    traffic.answered(40).await;
    world.until_full().await;
    world.check_all(&traffic.stop().await);
    assert_eq!(world.received_in(ZONE).await, before, "work in the drained zone");
}

/// Guards against work in the zone when the owner of its targets is killed at the moment of the change and comes back.
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed() {
    let mut world = world().await;
    let traffic = Traffic::start(&world, 4);
    traffic.answered(40).await;
    let accepted = drain(&world).await;
    world.fleet.entries[0].process.kill().expect("kill");
    passed(accepted, FEW_SECONDS).await;
    world.fleet.entries[0].process.restart().expect("restart");
    assert_no_work(&world, async || passed(Instant::now(), OWNER_WAIT).await).await;
    world.check_all(&traffic.stop().await);
}

/// Guards against work that an owner has in its hands when it is frozen and sends when it wakes up.
#[tokio::test(flavor = "multi_thread")]
async fn owner_frozen() {
    let mut world = world().await;
    let traffic = Traffic::start(&world, 8);
    traffic.answered(80).await;
    world.fleet.entries[0].process.freeze().expect("freeze");
    let addr = world.fleet.entries[0].http;
    let waiting: Vec<_> = (0..8)
        .map(|i| {
            let caller = world.caller("direct");
            let query = Query { deadline_ms: 20_000, ..query(&text(i)) };
            tokio::spawn(async move {
                let _ = caller.call_at::<Answer>(addr, "/v1/query", &query, RECOVERY).await;
            })
        })
        .collect();
    let accepted = drain(&world).await;
    passed(accepted, FEW_SECONDS).await;
    let received = world.received_in(ZONE).await;
    world.fleet.entries[0].process.resume().expect("resume");
    for it in waiting {
        it.await.expect("caller");
    }
    assert_eq!(world.received_in(ZONE).await, received, "work after waking up");
    assert_no_work(&world, async || passed(Instant::now(), OWNER_WAIT).await).await;
    world.check_all(&traffic.stop().await);
}

/// Guards against an owner that goes on when it is cut off from the control hosts without an error, while the control
/// leader dies.
#[tokio::test(flavor = "multi_thread")]
async fn owner_cut_off_and_leader_killed() {
    let (mut world, relays) = world_with_links().await;
    let leader = world.leader().await;
    let traffic = Traffic::start(&world, 4);
    traffic.answered(40).await;
    relays.iter().for_each(TcpProxy::silence);
    let accepted = drain(&world).await;
    world.fleet.controls[leader].process.kill().expect("kill");
    passed(accepted, FEW_SECONDS).await;
    assert_no_work(&world, async || relays.iter().for_each(TcpProxy::restore)).await;
    world.until_full().await;
    assert_no_work(&world, async || passed(Instant::now(), OWNER_WAIT).await).await;
    world.check_all(&traffic.stop().await);
}

/// Guards against work that an earlier return of the zone lets through after the zone is taken out again, while all
/// entry hosts of the other zones freeze for a moment.
#[tokio::test(flavor = "multi_thread")]
async fn drained_twice() {
    let mut world = world().await;
    let traffic = Traffic::start(&world, 4);
    for _ in 0..2 {
        traffic.answered(20).await;
        for entry in [1, 2] {
            world.fleet.entries[entry].process.freeze().expect("freeze");
        }
        let accepted = drain(&world).await;
        passed(accepted, FEW_SECONDS).await;
        for entry in [1, 2] {
            world.fleet.entries[entry].process.resume().expect("resume");
        }
        assert_no_work(&world, async || ()).await;
        let object = format!("zone/{ZONE}");
        world.fleet.operator.remove_label(&object, "drain").await.expect("accepted");
        world.until_full().await;
    }
    world.check_all(&traffic.stop().await);
}

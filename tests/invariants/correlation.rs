//! Each caller receives the complete answer to its own request.

use std::collections::HashSet;

use gentianpass::lab::target::fault::Fault;

use crate::support::{Shot, Traffic, World, world};

/// Checks rows and ids of all answers. The callers' texts differ, so that rows of another request are wrong.
fn assert_own(world: &World, shots: &[Shot], expected: usize) {
    let answers: Vec<_> = shots.iter().filter_map(|it| it.result.as_ref().ok()).collect();
    let ids: HashSet<_> = answers.iter().map(|it| &it.request_id).collect();
    assert_eq!(ids.len(), answers.len(), "a request id was used again");
    assert!(answers.iter().any(|it| !it.rows.is_empty()), "no rows");
    assert!(world.check_all(shots) > expected, "few answers");
}

/// Guards against rows of another request when answers arrive late and out of order, after their requests were hedged
/// and cancelled.
#[tokio::test(flavor = "multi_thread")]
async fn stragglers() {
    let world = world().await;
    let straggle = Fault::Straggle { one_in: 6, factor: 40.0 };
    world.fleet.fault(&[], straggle).await.expect("straggle");
    let traffic = Traffic::start(&world, 24);
    traffic.answered(400).await;
    assert_own(&world, &traffic.stop().await, 300);
}

/// Guards against late answers that reach another request when connections stop carrying data twice and a frozen entry
/// host, which is owner and root of many requests, wakes up within its lease and after it.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_and_frozen_owner() {
    let mut world = world().await;
    let straggle = Fault::Straggle { one_in: 10, factor: 30.0 };
    world.fleet.fault(&[], straggle).await.expect("straggle");
    let traffic = Traffic::start(&world, 24);
    for answers in [60, 400] {
        traffic.answered(60).await;
        world.fleet.fault(&[], Fault::Silence).await.expect("silence");
        world.fleet.entries[1].process.freeze().expect("freeze");
        traffic.answered(answers).await;
        world.fleet.entries[1].process.resume().expect("resume");
        traffic.answered(60).await;
    }
    world.until_full().await;
    assert_own(&world, &traffic.stop().await, 400);
}

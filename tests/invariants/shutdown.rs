//! A planned stop interrupts no request.

use gentianpass::lab::{caller::Error, target::fault::Fault};

use crate::support::{RECOVERY, Shot, Traffic, World, world};

/// Checks that each request got its whole answer.
fn assert_all_answered(world: &World, shots: &[Shot]) {
    for shot in shots {
        let whole = matches!(&shot.result, Ok(it) if it.covered == it.total && it.total > 0);
        assert!(whole, "not answered in full: {shot:?}");
    }
    assert_eq!(world.check_all(shots), shots.len());
}

async fn until_stopped(world: &mut World, entry: usize) {
    let process = &mut world.fleet.entries[entry].process;
    let status = process.wait(RECOVERY).await.expect("the host stops");
    assert!(status.success(), "{status}: {}", process.log_tail());
}

/// Guards against a stop that cuts a request, loses coverage, or hands out a host that is gone, for each entry host in
/// turn under load.
#[tokio::test(flavor = "multi_thread")]
async fn each_in_turn() {
    let mut world = world().await;
    let traffic = Traffic::start(&world, 8);
    for entry in 0..3 {
        traffic.answered(40).await;
        world.fleet.entries[entry].process.terminate().expect("terminate");
        until_stopped(&mut world, entry).await;
        traffic.answered(40).await;
        world.fleet.entries[entry].process.restart().expect("restart");
        world.until_full().await;
    }
    assert_all_answered(&world, &traffic.stop().await);
}

/// Guards against a stop that interrupts a request because two hosts stop at once and the control leader dies
/// meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn two_at_once_and_leader_killed() {
    let mut world = world().await;
    let leader = world.leader().await;
    let traffic = Traffic::start(&world, 8);
    traffic.answered(40).await;
    for entry in [0, 1] {
        world.fleet.entries[entry].process.terminate().expect("terminate");
    }
    world.fleet.controls[leader].process.kill().expect("kill");
    for entry in [0, 1] {
        until_stopped(&mut world, entry).await;
    }
    traffic.answered(40).await;
    let shots = traffic.stop().await;
    let cut = |it: &&Shot| matches!(it.result, Err(Error::Broken(_)));
    assert_eq!(shots.iter().filter(cut).map(|it| format!("{it:?}")).collect::<Vec<_>>(), [""; 0]);
    assert!(world.check_all(&shots) > 80, "few answers");
}

/// Guards against a stop that ends before slow requests have their answers, with a second SIGTERM meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn slow_requests_and_second_signal() {
    let mut world = world().await;
    world.fleet.fault(&[], Fault::Slow { factor: 60.0 }).await.expect("slow");
    let traffic = Traffic::start(&world, 4);
    traffic.answered(8).await;
    for _ in 0..2 {
        world.fleet.entries[2].process.terminate().expect("terminate");
        traffic.answered(8).await;
    }
    until_stopped(&mut world, 2).await;
    let shots = traffic.stop().await;
    let cut = |it: &&Shot| matches!(it.result, Err(Error::Broken(_)));
    assert_eq!(shots.iter().filter(cut).map(|it| format!("{it:?}")).collect::<Vec<_>>(), [""; 0]);
    world.check_all(&shots);
}

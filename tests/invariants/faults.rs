//! Combinations of failures that threaten several promises at once.

use std::time::Instant;

use gentianpass::{
    error::Outcome,
    lab::{fleet::HostPlan, target::fault::Fault},
    wire::operator::State,
};

use crate::support::{
    FEW_SECONDS, RECOVERY, Shot, Traffic, World, ZONES, job, outcome, text, until, world,
    world_with,
};

/// At how many targets a request may run that crashes each of them.
const MAX_CRASHES: u64 = 2;

async fn crashes(world: &World) -> u64 {
    world.stats().await.values().map(|it| it.crashes).sum()
}

/// Guards against a request that crashes more than two targets when its callers send it to all entry hosts at once
/// and again, while the control leader is killed.
#[tokio::test(flavor = "multi_thread")]
async fn poison_and_leader_killed() {
    let mut world = world().await;
    let poison = "poison";
    let crash = Fault::CrashOn { text: Some(poison.into()), back_after_ms: 200 };
    world.fleet.fault(&[], crash).await.expect("crash on");
    let leader = world.leader().await;
    let traffic = Traffic::start(&world, 4);
    for round in 0..4 {
        let sent = (0..3).map(|it| world.query_at(it, poison));
        for result in futures::future::join_all(sent).await {
            assert!(result.is_err(), "{result:?}");
        }
        if round == 0 {
            world.fleet.controls[leader].process.kill().expect("kill");
        }
    }
    world.fleet.controls[leader].process.restart().expect("restart");
    let crashed = crashes(&world).await;
    assert!((1..=MAX_CRASHES).contains(&crashed), "{crashed} targets crashed");
    for entry in 0..3 {
        assert_eq!(outcome(&world.query_at(entry, poison).await), Outcome::NotRun);
    }
    world.until_full().await;
    world.check_all(&traffic.stop().await);
}

fn voters(state: &State) -> Vec<&str> {
    let voters = state.members.iter().filter(|it| it.role != "learner");
    voters.map(|it| it.name.as_str()).collect()
}

/// Guards against a loss of the control state when a second voter is lost right after the repair of the first one.
#[tokio::test(flavor = "multi_thread")]
async fn second_voter_lost_after_repair() {
    let mut world = world_with(|plan| {
        let spare = HostPlan::new("control-3", ZONES[0]).with("role", "spare");
        plan.controls.push(spare);
        for control in &mut plan.controls {
            control.settings.insert("repair_after_ms".into(), 1_000.into());
        }
    })
    .await;
    let traffic = Traffic::start(&world, 4);
    let job = job("before");
    let done = world.dispatch_at(0, &job).await.expect("done");
    let first = world.leader().await;
    let name = world.fleet.controls[first].name.clone();
    world.fleet.controls[first].process.kill().expect("kill");
    until("the voter is replaced", RECOVERY, async || {
        let state = world.fleet.operator.state().await.ok()?;
        let voters = voters(&state);
        (voters.len() == 3 && !voters.contains(&name.as_str())).then_some(())
    })
    .await;
    let second = world.leader().await;
    world.fleet.controls[second].process.kill().expect("kill");
    let lost = Instant::now();
    world.fleet.operator.set_label("caller/designer", "team", "a").await.expect("accepted");
    assert!(lost.elapsed() <= FEW_SECONDS, "accepted after {:?}", lost.elapsed());
    let again = world.dispatch_at(1, &job).await.expect("recorded");
    assert_eq!(again.result, done.result);
    world.until_full().await;
    world.check_all(&traffic.stop().await);
}

/// Guards against a control host that was cut off without an error for a long time and disturbs the others or shows
/// its old state when it is back, while the leader is killed.
#[tokio::test(flavor = "multi_thread")]
async fn control_host_away_and_leader_killed() {
    let mut world = world().await;
    let leader = world.leader().await;
    let away = (leader + 1) % 3;
    world.fleet.controls[away].process.freeze().expect("freeze");
    for round in 0..30 {
        let value = format!("round-{round}");
        world.fleet.operator.set_label("caller/designer", "team", &value).await.expect("accepted");
    }
    world.fleet.controls[away].process.resume().expect("resume");
    world.fleet.controls[leader].process.kill().expect("kill");
    let state = until("a state", RECOVERY, async || world.fleet.operator.state().await.ok()).await;
    let labels = state.labels.iter().find(|it| it.object.to_string() == "caller/designer");
    let team = labels.and_then(|it| it.labels.get("team")).map(String::as_str);
    assert_eq!(team, Some("round-29"), "the state has reverted");
    world.until_full().await;
}

/// Guards against lost service when all open connections to targets stop carrying data and a zone is lost with its
/// entry host, its control host and its targets.
#[tokio::test(flavor = "multi_thread")]
async fn zone_lost_and_connections_silent() {
    let mut world = world().await;
    let traffic = Traffic::start(&world, 6);
    traffic.answered(30).await;
    let fleet = &mut world.fleet;
    fleet.controls[0].process.kill().expect("kill");
    fleet.entries[0].process.kill().expect("kill");
    fleet.targets[0].process.kill().expect("kill");
    let others: Vec<String> =
        fleet.targets[1..].iter().flat_map(|it| it.names.iter().cloned()).collect();
    world.fault(&others, Fault::Silence).await;
    let lost = Instant::now();
    until("full answers without the zone", RECOVERY, async || {
        let answer = world.query_at(1, &text(1)).await.ok()?;
        (answer.covered == answer.total).then_some(())
    })
    .await;
    let full = lost.elapsed();
    assert!(full <= FEW_SECONDS, "full again after {full:?}");
    let fleet = &mut world.fleet;
    fleet.controls[0].process.restart().expect("restart");
    fleet.entries[0].process.restart().expect("restart");
    fleet.targets[0].process.restart().expect("restart");
    world.until_full().await;
    let shots = traffic.stop().await;
    assert!(shots.iter().any(Shot::full));
    world.check_all(&shots);
}

//! Combined failures that put several guarantees at risk at once.

use std::time::Instant;

use gentianpass::{
    error::Outcome,
    lab::{fleet::HostPlan, target::fault::Fault},
    wire::operator::State,
};

use crate::support::{
    Cluster, MAX_CONVERGENCE, MAX_RECOVERY, SentQuery, Traffic, ZONES, job, outcome, search_text,
    start_cluster, start_cluster_with, wait_until,
};

/// How many targets a poison request, which crashes each target that runs it, may reach.
const MAX_CRASHED_TARGETS: u64 = 2;

/// The number of crashes of all targets.
async fn crash_count(cluster: &Cluster) -> u64 {
    cluster.stats().await.values().map(|it| it.crashes).sum()
}

/// Guards against a poison request that crashes more than two targets when it is sent to all entry hosts at once,
/// repeatedly, while the control leader is killed.
#[tokio::test(flavor = "multi_thread")]
async fn poison_and_leader_killed() {
    let mut cluster = start_cluster().await;
    let poison = "poison";
    let crash = Fault::CrashOn { text: Some(poison.into()), back_after_ms: 200 };
    cluster.fleet.fault(&[], crash).await.expect("poison text set");
    let leader = cluster.leader_index().await;
    let traffic = Traffic::start(&cluster, 4);
    for round in 0..4 {
        let sent = (0..3).map(|it| cluster.query_at(it, poison));
        for result in futures::future::join_all(sent).await {
            assert!(result.is_err(), "{result:?}");
        }
        if round == 0 {
            cluster.fleet.controls[leader].process.kill().expect("kill");
        }
    }
    cluster.fleet.controls[leader].process.restart().expect("restart");
    let crashed = crash_count(&cluster).await;
    assert!((1..=MAX_CRASHED_TARGETS).contains(&crashed), "{crashed} targets crashed");
    for entry in 0..3 {
        assert_eq!(outcome(&cluster.query_at(entry, poison).await), Outcome::NotRun);
    }
    cluster.wait_for_full_coverage().await;
    cluster.assert_all_correct(&traffic.stop().await);
}

/// The names of the control hosts that are voters.
fn voter_names(state: &State) -> Vec<&str> {
    let voters = state.members.iter().filter(|it| it.role != "learner");
    voters.map(|it| it.name.as_str()).collect()
}

/// Guards against the loss of control state when a second voter is killed right after a spare has replaced the first.
#[tokio::test(flavor = "multi_thread")]
async fn second_voter_lost_after_repair() {
    let mut cluster = start_cluster_with(|plan| {
        let spare = HostPlan::new("control-3", ZONES[0]).with("role", "spare");
        plan.controls.push(spare);
        for control in &mut plan.controls {
            control.settings.insert("repair_after_ms".into(), 1_000.into());
        }
    })
    .await;
    let traffic = Traffic::start(&cluster, 4);
    let job = job("before");
    let done = cluster.dispatch_at(0, &job).await.expect("done");
    let first = cluster.leader_index().await;
    let name = cluster.fleet.controls[first].name.clone();
    cluster.fleet.controls[first].process.kill().expect("kill");
    wait_until("the spare to replace the voter", MAX_RECOVERY, async || {
        let state = cluster.fleet.operator.state().await.ok()?;
        let voters = voter_names(&state);
        (voters.len() == 3 && !voters.contains(&name.as_str())).then_some(())
    })
    .await;
    let second = cluster.leader_index().await;
    cluster.fleet.controls[second].process.kill().expect("kill");
    let lost = Instant::now();
    cluster.fleet.operator.set_label("caller/designer", "team", "a").await.expect("accepted");
    assert!(lost.elapsed() <= MAX_CONVERGENCE, "accepted after {:?}", lost.elapsed());
    let again = cluster.dispatch_at(1, &job).await.expect("recorded result");
    assert_eq!(again.result, done.result);
    cluster.wait_for_full_coverage().await;
    cluster.assert_all_correct(&traffic.stop().await);
}

/// Guards against a control host that was frozen during many changes and, once resumed, disrupts the others or serves
/// its stale state, while the leader is killed.
#[tokio::test(flavor = "multi_thread")]
async fn control_host_away_and_leader_killed() {
    let mut cluster = start_cluster().await;
    let leader = cluster.leader_index().await;
    let frozen = (leader + 1) % 3;
    cluster.fleet.controls[frozen].process.freeze().expect("freeze");
    for round in 0..30 {
        let value = format!("round-{round}");
        cluster
            .fleet
            .operator
            .set_label("caller/designer", "team", &value)
            .await
            .expect("accepted");
    }
    cluster.fleet.controls[frozen].process.resume().expect("resume");
    cluster.fleet.controls[leader].process.kill().expect("kill");
    let state =
        wait_until("a state", MAX_RECOVERY, async || cluster.fleet.operator.state().await.ok())
            .await;
    let labels = state.labels.iter().find(|it| it.object.to_string() == "caller/designer");
    let team = labels.and_then(|it| it.labels.get("team")).map(String::as_str);
    assert_eq!(team, Some("round-29"), "the last accepted change was lost");
    cluster.wait_for_full_coverage().await;
}

/// Guards against an outage when a zone is lost with its control host, entry host and targets, and all open connections
/// to the other targets stop carrying data.
#[tokio::test(flavor = "multi_thread")]
async fn zone_lost_and_connections_silent() {
    let mut cluster = start_cluster().await;
    let traffic = Traffic::start(&cluster, 6);
    traffic.wait_for_results(30).await;
    let fleet = &mut cluster.fleet;
    fleet.controls[0].process.kill().expect("kill");
    fleet.entries[0].process.kill().expect("kill");
    fleet.targets[0].process.kill().expect("kill");
    let others: Vec<String> =
        fleet.targets[1..].iter().flat_map(|it| it.names.iter().cloned()).collect();
    cluster.inject_fault(&others, Fault::Silence).await;
    let lost = Instant::now();
    wait_until("full coverage without the zone", MAX_RECOVERY, async || {
        let answer = cluster.query_at(1, &search_text(1)).await.ok()?;
        (answer.covered == answer.total).then_some(())
    })
    .await;
    let recovery = lost.elapsed();
    assert!(recovery <= MAX_CONVERGENCE, "full coverage again only after {recovery:?}");
    let fleet = &mut cluster.fleet;
    fleet.controls[0].process.restart().expect("restart");
    fleet.entries[0].process.restart().expect("restart");
    fleet.targets[0].process.restart().expect("restart");
    cluster.wait_for_full_coverage().await;
    let queries = traffic.stop().await;
    assert!(queries.iter().any(SentQuery::is_complete));
    cluster.assert_all_correct(&queries);
}

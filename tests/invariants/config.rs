//! An accepted configuration change takes effect on all hosts within seconds and is never reverted.

use std::{collections::BTreeSet, time::Instant};

use gentianpass::{
    error::{Kind, Outcome},
    lab::{fleet::OPERATOR_TOKEN, operator::Operator, proxy::TcpProxy},
    wire::{
        caller::{Answer, Query},
        operator::{ChangeRequest, Edit, State},
    },
};
use uuid::Uuid;

use crate::support::{
    Cluster, MAX_CONVERGENCE, MAX_RECOVERY, SEARCH_GROUP, error_kind, outcome, query, search_text,
    sleep_past, start_cluster, start_cluster_with, start_cluster_with_proxies, wait_until,
};

/// The edit that removes the selector that admits callers to the search group.
fn revoke_search() -> Edit {
    Edit::RemoveSelector { name: SEARCH_GROUP.into() }
}

/// The edit that sets the label `team` of a caller.
fn set_team(name: &str, value: &str) -> Edit {
    let object = format!("caller/{name}").parse().expect("object");
    Edit::SetLabel { object, key: "team".into(), value: value.into() }
}

/// The label `team` of a caller.
fn team(state: &State, name: &str) -> Option<String> {
    let object = format!("caller/{name}");
    let labels = state.labels.iter().find(|it| it.object.to_string() == object)?;
    labels.labels.get("team").cloned()
}

/// Checks that these entry hosts refuse a search, either under the new configuration or for lack of a lease.
async fn assert_search_refused(cluster: &Cluster, entries: &[usize]) {
    for &entry in entries {
        let result = cluster.query_at(entry, &search_text(2)).await;
        assert!(
            matches!(error_kind(&result), Some(Kind::NotAdmitted | Kind::NoLease)),
            "entry host {entry} must refuse the search: {result:?}"
        );
    }
}

/// Waits until these entry hosts refuse a search under the new configuration. Until then they must not run one.
async fn wait_until_refused(cluster: &Cluster, entries: &[usize]) {
    for &entry in entries {
        wait_until("the new configuration to be in force", MAX_RECOVERY, async || {
            let result = cluster.query_at(entry, &search_text(2)).await;
            assert_eq!(
                outcome(&result),
                Outcome::NotRun,
                "entry host {entry} must refuse the search: {result:?}"
            );
            (error_kind(&result) == Some(Kind::NotAdmitted)).then_some(())
        })
        .await;
    }
}

/// Waits until these entry hosts refuse a search under the new configuration, at the latest at `deadline`. Until then
/// each may serve under the old one, but not again once it has refused a search.
async fn wait_until_refused_by(cluster: &Cluster, entries: &[usize], deadline: Instant) {
    let mut refused = BTreeSet::new();
    let mut not_admitted = BTreeSet::new();
    while not_admitted.len() < entries.len() {
        assert!(Instant::now() <= deadline, "in force only at entry hosts {not_admitted:?}");
        for &entry in entries {
            let result = cluster.query_at(entry, &search_text(2)).await;
            match error_kind(&result) {
                Some(Kind::NotAdmitted) => {
                    not_admitted.insert(entry);
                    refused.insert(entry);
                }
                Some(Kind::NoLease) => drop(refused.insert(entry)),
                _ => assert!(
                    !refused.contains(&entry),
                    "entry host {entry} reverted to the old configuration: {result:?}"
                ),
            }
        }
    }
}

/// Guards against a change that takes effect too late because the leader is killed right after it accepted the change.
#[tokio::test(flavor = "multi_thread")]
async fn leader_killed() {
    let mut cluster = start_cluster().await;
    let leader = cluster.leader_index().await;
    cluster.fleet.operator.edit(revoke_search()).await.expect("accepted");
    let accepted = Instant::now();
    cluster.fleet.controls[leader].process.kill().expect("kill");
    wait_until_refused_by(&cluster, &[0, 1, 2], accepted + MAX_CONVERGENCE).await;
    sleep_past(accepted, MAX_CONVERGENCE).await;
    assert_search_refused(&cluster, &[0, 1, 2]).await;
}

/// Guards against the loss of accepted changes when all processes are killed at once and restarted, two times.
#[tokio::test(flavor = "multi_thread")]
async fn all_killed_twice() {
    let mut cluster = start_cluster().await;
    cluster.fleet.operator.edit(revoke_search()).await.expect("accepted");
    for round in 0..2 {
        let change =
            cluster.fleet.operator.edit(set_team("designer", &format!("round-{round}"))).await;
        change.expect("accepted");
        let accepted = Instant::now();
        let fleet = &mut cluster.fleet;
        let hosts = fleet.controls.iter_mut().chain(&mut fleet.entries);
        let mut all: Vec<_> = hosts.map(|it| &mut it.process).collect();
        all.extend(fleet.targets.iter_mut().map(|it| &mut it.process));
        for process in &mut all {
            process.kill().expect("kill");
        }
        for process in &mut all {
            process.restart().expect("restart");
        }
        sleep_past(accepted, MAX_CONVERGENCE).await;
        assert_search_refused(&cluster, &[0, 1, 2]).await;
        wait_until_refused(&cluster, &[0, 1, 2]).await;
        let state = cluster.fleet.operator.state().await.expect("state");
        assert_eq!(team(&state, "designer"), Some(format!("round-{round}")));
    }
}

/// Guards against the loss of an accepted change when one control host loses its data folder, and another one is killed
/// as soon as the first has been replaced as a voter.
#[tokio::test(flavor = "multi_thread")]
async fn data_folder_lost() {
    let mut cluster = start_cluster_with(|plan| {
        for control in &mut plan.controls {
            control.settings.insert("repair_after_ms".into(), 1_000.into());
        }
    })
    .await;
    cluster.fleet.operator.edit(revoke_search()).await.expect("accepted");
    let leader = cluster.leader_index().await;
    let before = cluster.fleet.operator.state().await.expect("state").members;
    let name = cluster.fleet.controls[leader].name.clone();
    let lost = before.into_iter().find(|it| it.name == name).expect("a member").id;
    cluster.fleet.controls[leader].restart_empty().expect("restart");
    wait_until(
        "the host without data to become a voter under a new id",
        MAX_RECOVERY,
        async || {
            let state = cluster.fleet.operator.state().await.ok()?;
            let voters = state.members.iter().filter(|it| it.role != "learner").count();
            let replaced = state.members.iter().all(|it| it.id != lost);
            (replaced && state.members.len() == 3 && voters == 3).then_some(())
        },
    )
    .await;
    let second = (leader + 1) % 3;
    cluster.fleet.controls[second].process.kill().expect("kill");
    let change = cluster.fleet.operator.edit(set_team("designer", "later")).await;
    change.expect("accepted by two of three voters");
    wait_until_refused(&cluster, &[0, 1, 2]).await;
}

/// Guards against two conflicting changes that are both reported as accepted. The leader is frozen while the operators
/// send them, and resumes as a deposed leader. The winner then resends its change and must get the first result.
#[tokio::test(flavor = "multi_thread")]
async fn racing_operators() {
    let mut cluster = start_cluster().await;
    let mut hosts: Vec<_> = cluster.fleet.controls.iter().map(|it| it.http).collect();
    let left = Operator::new(hosts.clone(), OPERATOR_TOKEN);
    hosts.reverse();
    let operators = [left, Operator::new(hosts, OPERATOR_TOKEN)];
    for round in 0..3 {
        let base = cluster.fleet.operator.state().await.expect("state").operator_revision;
        let leader = cluster.leader_index().await;
        let requests = ["left", "right"].map(|side| {
            let edit = set_team("designer", &format!("{side}-{round}"));
            let id = Uuid::new_v4().to_string();
            ChangeRequest { id, base, edit }
        });
        cluster.fleet.controls[leader].process.freeze().expect("freeze");
        let (left, right) = tokio::join!(
            operators[0].send_change(&requests[0]),
            operators[1].send_change(&requests[1])
        );
        cluster.fleet.controls[leader].process.resume().expect("resume");
        assert!(
            left.is_ok() != right.is_ok(),
            "exactly one change must be accepted: {left:?} {right:?}"
        );
        let lost = left.as_ref().err().or(right.as_ref().err()).map(|it| it.kind);
        assert_eq!(lost, Some(Kind::Conflict));
        let winner = if left.is_ok() { "left" } else { "right" };
        let won = &requests[usize::from(right.is_ok())];
        let again =
            cluster.fleet.operator.send_change(won).await.expect("result of the first attempt");
        assert_eq!(Some(&again), left.as_ref().ok().or(right.as_ref().ok()));
        for _ in 0..3 {
            let state = cluster.fleet.operator.state().await.expect("state");
            assert_eq!(team(&state, "designer"), Some(format!("{winner}-{round}")));
            assert_eq!(state.operator_revision, again.operator_revision);
        }
    }
}

/// Guards against a frozen entry host that resumes and serves requests under its old configuration, including those
/// that reached its socket before the change. The second round repeats this after access was restored.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_entry_twice() {
    let mut cluster = start_cluster().await;
    for round in 0..2_u64 {
        let selectors = cluster.fleet.operator.state().await.expect("state").selectors;
        cluster.fleet.entries[0].process.freeze().expect("freeze");
        let addr = cluster.fleet.entries[0].http;
        let waiting: Vec<_> = (0..8)
            .map(|i| {
                let caller = cluster.caller("direct");
                let query = Query { deadline_ms: 20_000, ..query(&search_text(round * 8 + i)) };
                tokio::spawn(async move {
                    caller.call_at::<Answer>(addr, "/v1/query", &query, MAX_RECOVERY).await
                })
            })
            .collect();
        cluster.fleet.operator.edit(revoke_search()).await.expect("accepted");
        sleep_past(Instant::now(), MAX_CONVERGENCE).await;
        cluster.fleet.entries[0].process.resume().expect("resume");
        for result in waiting {
            let result = result.await.expect("caller task");
            assert_eq!(outcome(&result), Outcome::NotRun, "{result:?}");
        }
        wait_until_refused(&cluster, &[0, 1, 2]).await;
        for it in selectors {
            cluster.fleet.operator.edit(Edit::PutSelector(it)).await.expect("accepted");
        }
        cluster.wait_for_full_coverage().await;
    }
}

/// Guards against an entry host that keeps using its old configuration when its connections to the control hosts stay
/// open but carry no data, and the leader is killed.
#[tokio::test(flavor = "multi_thread")]
async fn silent_link_and_leader_killed() {
    let (mut cluster, proxies) = start_cluster_with_proxies().await;
    let leader = cluster.leader_index().await;
    proxies.iter().for_each(TcpProxy::silence);
    cluster.fleet.operator.edit(revoke_search()).await.expect("accepted");
    let accepted = Instant::now();
    cluster.fleet.controls[leader].process.kill().expect("kill");
    sleep_past(accepted, MAX_CONVERGENCE).await;
    assert_search_refused(&cluster, &[0, 1, 2]).await;
    proxies.iter().for_each(TcpProxy::restore);
    wait_until_refused(&cluster, &[0, 1, 2]).await;
}

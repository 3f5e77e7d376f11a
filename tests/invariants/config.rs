//! An accepted configuration takes effect everywhere within seconds and never reverts.

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
    FEW_SECONDS, LABELS, RECOVERY, World, kind, outcome, passed, query, text, until, world,
    world_with, world_with_links,
};

/// No caller may search any more.
fn close() -> Edit {
    Edit::RemoveSelector { name: LABELS.into() }
}

fn label(name: &str, value: &str) -> Edit {
    let object = format!("caller/{name}").parse().expect("object");
    Edit::SetLabel { object, key: "team".into(), value: value.into() }
}

fn value(state: &State, name: &str) -> Option<String> {
    let object = format!("caller/{name}");
    let labels = state.labels.iter().find(|it| it.object.to_string() == object)?;
    labels.labels.get("team").cloned()
}

/// Checks that no entry host answers a search once the searches are closed, whatever else it does.
async fn assert_closed(world: &World, entries: &[usize]) {
    for &entry in entries {
        let result = world.query_at(entry, &text(2)).await;
        assert!(
            matches!(kind(&result), Some(Kind::NotAdmitted | Kind::NoLease)),
            "entry {entry}: {result:?}"
        );
    }
}

/// Waits until these entry hosts serve under the new configuration, and never under the old one.
async fn until_closed(world: &World, entries: &[usize]) {
    for &entry in entries {
        until("the new configuration", RECOVERY, async || {
            let result = world.query_at(entry, &text(2)).await;
            assert_eq!(outcome(&result), Outcome::NotRun, "entry {entry}: {result:?}");
            (kind(&result) == Some(Kind::NotAdmitted)).then_some(())
        })
        .await;
    }
}

/// Waits until these entry hosts serve under the new configuration. Until `end` each may still serve under the old one,
/// but not again once it has served under the new one or has lost its lease.
async fn until_closed_within(world: &World, entries: &[usize], end: Instant) {
    let mut refused = BTreeSet::new();
    let mut closed = BTreeSet::new();
    while closed.len() < entries.len() {
        assert!(Instant::now() <= end, "in force only at {closed:?}");
        for &entry in entries {
            let result = world.query_at(entry, &text(2)).await;
            match kind(&result) {
                Some(Kind::NotAdmitted) => {
                    closed.insert(entry);
                    refused.insert(entry);
                }
                Some(Kind::NoLease) => drop(refused.insert(entry)),
                _ => assert!(!refused.contains(&entry), "entry {entry} went back: {result:?}"),
            }
        }
    }
}

/// Guards against an accepted change that takes longer because the leader dies right after its answer.
#[tokio::test(flavor = "multi_thread")]
async fn leader_killed() {
    let mut world = world().await;
    let leader = world.leader().await;
    world.fleet.operator.edit(close()).await.expect("accepted");
    let accepted = Instant::now();
    world.fleet.controls[leader].process.kill().expect("kill");
    until_closed_within(&world, &[0, 1, 2], accepted + FEW_SECONDS).await;
    passed(accepted, FEW_SECONDS).await;
    assert_closed(&world, &[0, 1, 2]).await;
}

/// Guards against accepted changes that are lost when all processes are killed at once, twice.
#[tokio::test(flavor = "multi_thread")]
async fn all_killed_twice() {
    let mut world = world().await;
    world.fleet.operator.edit(close()).await.expect("accepted");
    for round in 0..2 {
        let made = world.fleet.operator.edit(label("designer", &format!("round-{round}"))).await;
        made.expect("accepted");
        let accepted = Instant::now();
        let fleet = &mut world.fleet;
        let hosts = fleet.controls.iter_mut().chain(&mut fleet.entries);
        let mut all: Vec<_> = hosts.map(|it| &mut it.process).collect();
        all.extend(fleet.targets.iter_mut().map(|it| &mut it.process));
        for process in &mut all {
            process.kill().expect("kill");
        }
        for process in &mut all {
            process.restart().expect("restart");
        }
        passed(accepted, FEW_SECONDS).await;
        assert_closed(&world, &[0, 1, 2]).await;
        until_closed(&world, &[0, 1, 2]).await;
        let state = world.fleet.operator.state().await.expect("state");
        assert_eq!(value(&state, "designer"), Some(format!("round-{round}")));
    }
}

/// Guards against a change that is lost when one control host loses its data folder and another one is killed right
/// after.
#[tokio::test(flavor = "multi_thread")]
async fn data_folder_lost() {
    let mut world = world_with(|plan| {
        for control in &mut plan.controls {
            control.settings.insert("repair_after_ms".into(), 1_000.into());
        }
    })
    .await;
    world.fleet.operator.edit(close()).await.expect("accepted");
    let leader = world.leader().await;
    let before = world.fleet.operator.state().await.expect("state").members;
    let name = world.fleet.controls[leader].name.clone();
    let lost = before.into_iter().find(|it| it.name == name).expect("a member").id;
    world.fleet.controls[leader].restart_empty().expect("restart");
    until("the empty host has replaced its lost identity as a voter", RECOVERY, async || {
        let state = world.fleet.operator.state().await.ok()?;
        let voters = state.members.iter().filter(|it| it.role != "learner").count();
        let replaced = state.members.iter().all(|it| it.id != lost);
        (replaced && state.members.len() == 3 && voters == 3).then_some(())
    })
    .await;
    let second = (leader + 1) % 3;
    world.fleet.controls[second].process.kill().expect("kill");
    let made = world.fleet.operator.edit(label("designer", "later")).await;
    made.expect("two of three voters are left");
    until_closed(&world, &[0, 1, 2]).await;
}

/// Guards against two operators who both believe that their change is in force, while the leader freezes and wakes up
/// as an old leader, and one of them sends its change again.
#[tokio::test(flavor = "multi_thread")]
async fn racing_operators() {
    let mut world = world().await;
    let mut hosts: Vec<_> = world.fleet.controls.iter().map(|it| it.http).collect();
    let left = Operator::new(hosts.clone(), OPERATOR_TOKEN);
    hosts.reverse();
    let operators = [left, Operator::new(hosts, OPERATOR_TOKEN)];
    for round in 0..3 {
        let base = world.fleet.operator.state().await.expect("state").operator_revision;
        let leader = world.leader().await;
        let requests = ["left", "right"].map(|side| {
            let edit = label("designer", &format!("{side}-{round}"));
            let id = Uuid::new_v4().to_string();
            ChangeRequest { id, base, edit }
        });
        world.fleet.controls[leader].process.freeze().expect("freeze");
        let (left, right) = tokio::join!(
            operators[0].send_change(&requests[0]),
            operators[1].send_change(&requests[1])
        );
        world.fleet.controls[leader].process.resume().expect("resume");
        assert!(left.is_ok() != right.is_ok(), "one wins: {left:?} {right:?}");
        let lost = left.as_ref().err().or(right.as_ref().err()).map(|it| it.kind);
        assert_eq!(lost, Some(Kind::Conflict));
        let winner = if left.is_ok() { "left" } else { "right" };
        let won = &requests[usize::from(right.is_ok())];
        let again = world.fleet.operator.send_change(won).await.expect("first outcome");
        assert_eq!(Some(&again), left.as_ref().ok().or(right.as_ref().ok()));
        for _ in 0..3 {
            let state = world.fleet.operator.state().await.expect("state");
            assert_eq!(value(&state, "designer"), Some(format!("{winner}-{round}")));
            assert_eq!(state.operator_revision, again.operator_revision);
        }
    }
}

/// Guards against an entry host that wakes up and serves what it holds under its old configuration, also what had
/// reached its socket before the change, and against the same once more.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_entry_twice() {
    let mut world = world().await;
    for round in 0..2_u64 {
        let selectors = world.fleet.operator.state().await.expect("state").selectors;
        world.fleet.entries[0].process.freeze().expect("freeze");
        let addr = world.fleet.entries[0].http;
        let waiting: Vec<_> = (0..8)
            .map(|i| {
                let caller = world.caller("direct");
                let query = Query { deadline_ms: 20_000, ..query(&text(round * 8 + i)) };
                tokio::spawn(async move {
                    caller.call_at::<Answer>(addr, "/v1/query", &query, RECOVERY).await
                })
            })
            .collect();
        world.fleet.operator.edit(close()).await.expect("accepted");
        passed(Instant::now(), FEW_SECONDS).await;
        world.fleet.entries[0].process.resume().expect("resume");
        for result in waiting {
            let result = result.await.expect("caller");
            assert_eq!(outcome(&result), Outcome::NotRun, "{result:?}");
        }
        until_closed(&world, &[0, 1, 2]).await;
        for it in selectors {
            world.fleet.operator.edit(Edit::PutSelector(it)).await.expect("accepted");
        }
        world.until_full().await;
    }
}

/// Guards against an entry host that goes on under its old configuration when its connections to the control hosts
/// stop carrying data without an error, while the leader dies.
#[tokio::test(flavor = "multi_thread")]
async fn silent_link_and_leader_killed() {
    let (mut world, relays) = world_with_links().await;
    let leader = world.leader().await;
    relays.iter().for_each(TcpProxy::silence);
    world.fleet.operator.edit(close()).await.expect("accepted");
    let accepted = Instant::now();
    world.fleet.controls[leader].process.kill().expect("kill");
    passed(accepted, FEW_SECONDS).await;
    assert_closed(&world, &[0, 1, 2]).await;
    relays.iter().for_each(TcpProxy::restore);
    until_closed(&world, &[0, 1, 2]).await;
}

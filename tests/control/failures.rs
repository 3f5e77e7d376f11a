//! Hosts that are killed, stopped and cut off.

use std::time::{Duration, Instant};

use gentianpass::state::{Change, Node, Reply};
use hyper::Method;
use uuid::Uuid;

use crate::cluster::{Cluster, edit, label, poll, submit, until, within};

/// The stated goal for the time from the loss of a leader to the next commit.
const FAILOVER: Duration = Duration::from_secs(3);

/// Guards against a failover that takes longer than 3 s, and against loss of what the dead leader had acknowledged.
#[tokio::test(flavor = "multi_thread")]
async fn leader_killed() {
    let mut cluster = Cluster::start("");
    let leader = cluster.leader(0).await;
    let others: Vec<_> = (0..3).filter(|it| *it != leader).collect();
    cluster.set(leader, "before", "a").await;
    cluster.kill(leader);
    within("commit after failover", FAILOVER, || cluster.set(others[0], "after", "b")).await;
    let state = cluster.state(others[1]).await.expect("state");
    assert_eq!(label(&state, "before").as_deref(), Some("a"));
    cluster.spawn(leader);
    cluster.state_where(leader, "it catches up", |it| label(it, "after").is_some()).await;
}

/// Guards against loss of acknowledged changes when all hosts lose power, with and without a snapshot.
#[tokio::test(flavor = "multi_thread")]
async fn all_killed() {
    let mut cluster = Cluster::start("snapshot_entries = 10");
    for i in 0..25 {
        cluster.set(i % 3, &format!("caller-{i}"), "x").await;
    }
    let before = cluster.state(0).await.expect("state");
    (0..3).for_each(|i| cluster.kill(i));
    (0..3).for_each(|i| cluster.spawn(i));
    for i in 0..3 {
        let after = cluster.state_where(i, "it answers", |_| true).await;
        assert_eq!((after.revision, &after.labels), (before.revision, &before.labels));
    }
}

/// Guards against a stopped leader that reverts a change, or answers polls from its old state, when it goes on.
#[tokio::test(flavor = "multi_thread")]
async fn leader_stopped() {
    let cluster = Cluster::start("");
    let leader = cluster.leader(0).await;
    let other = (leader + 1) % 3;
    cluster.set(other, "caller", "old").await;
    cluster.signal(leader, "STOP");
    let answer =
        within("commit after failover", FAILOVER, || cluster.set(other, "caller", "new")).await;
    cluster.signal(leader, "CONT");
    for _ in 0..20 {
        let Some(state) = cluster.state(leader).await else { continue };
        assert_eq!(label(&state, "caller").as_deref(), Some("new"));
        assert!(state.revision >= answer.revision);
    }
    cluster.state_where(leader, "it follows", |it| label(it, "caller").is_some()).await;
}

/// Guards against polls and changes that a host confirms without a quorum, which would keep an old configuration alive.
#[tokio::test(flavor = "multi_thread")]
async fn cut_off_host_confirms_nothing() {
    let cluster = Cluster::start("");
    cluster.set(0, "caller", "old").await;
    cluster.signal(1, "STOP");
    cluster.signal(2, "STOP");
    let client = cluster.client(&[0]);
    for _ in 0..5 {
        assert!(poll(&client, "entry", 0).await.is_err());
        assert!(cluster.state(0).await.is_none());
    }
    let (status, body) = cluster.change(0, Uuid::new_v4(), 1, edit("caller", "new")).await;
    assert_eq!((status, &body["outcome"]), (503, &"unknown".into()), "{body}");
    cluster.signal(1, "CONT");
    cluster.signal(2, "CONT");
    until("polls are confirmed again", async || poll(&client, "entry", 0).await.ok()).await;
}

/// Guards against a voter set that stays short of a host: a learner takes the place of a lost voter.
#[tokio::test(flavor = "multi_thread")]
async fn lost_voter_is_replaced() {
    let mut cluster = Cluster::start("repair_after_ms = 1500");
    let leader = cluster.leader(0).await;
    let lost = (leader + 1) % 3;
    let spare = cluster.add_spare(crate::cluster::ZONES[lost]);
    cluster.set(spare, "caller", "x").await;
    cluster.kill(lost);
    let rpc = cluster.hosts[spare].rpc;
    let repaired = cluster
        .state_where(leader, "the spare votes and the lost host does not", |it| {
            let voters: Vec<_> = it.members.iter().filter(|it| it.role != "learner").collect();
            voters.len() == 3 && voters.iter().any(|it| it.rpc == rpc)
        })
        .await;
    assert_eq!(repaired.members.len(), 4);
    // On a busy machine another host may lead by now, and record the repair.
    let mut events = String::new();
    for host in [leader, (leader + 2) % 3, spare] {
        events += &cluster.http(host, Method::GET, "/v1/events", "").await.1.to_string();
    }
    assert!(events.contains("\"repaired\""), "{events}");
    let second = (leader + 2) % 3;
    cluster.kill(second);
    within("commit after a second loss", FAILOVER, || cluster.set(leader, "caller", "y")).await;
}

/// Guards against entry hosts that stay in the configuration after they fell silent, and against expiry of those that
/// poll while the leader changes.
#[tokio::test(flavor = "multi_thread")]
async fn silent_node_expires() {
    let mut cluster = Cluster::start("node_expiry_ms = 1500");
    let leader = cluster.leader(0).await;
    let follower = (leader + 1) % 3;
    let client = cluster.client(&[follower]);
    for name in ["silent", "polling"] {
        let reply = submit(&client, Change::PutNode(node(name))).await.expect("committed");
        assert!(matches!(reply, Reply::Applied { .. }));
    }
    let committed = Instant::now();
    let seen = |it: &gentianpass::wire::operator::State, name: &str| {
        it.nodes.iter().any(|it| it.name == name)
    };
    until("the silent host is removed", async || {
        let _ = poll(&client, "polling", 0).await;
        cluster.state(follower).await.filter(|it| !seen(it, "silent"))
    })
    .await;
    assert!(committed.elapsed() >= Duration::from_millis(1_500), "{:?}", committed.elapsed());
    cluster.kill(leader);
    let mut polls = 0;
    until("polls go on under the next leader", async || {
        polls += usize::from(poll(&client, "polling", 0).await.is_ok());
        (polls > 30).then_some(())
    })
    .await;
    assert!(seen(&cluster.state(follower).await.expect("state"), "polling"));
}

/// Guards against a planned stop of the leader that interrupts commits for a whole election timeout.
#[tokio::test(flavor = "multi_thread")]
async fn leader_terminated() {
    let mut cluster = Cluster::start("election_ms = 3500");
    let leader = cluster.leader(0).await;
    let other = (leader + 1) % 3;
    cluster.set(other, "caller", "a").await;
    cluster.signal(leader, "TERM");
    within("commit after a planned stop", FAILOVER, || cluster.set(other, "caller", "b")).await;
    assert!(cluster.exit(leader).await.success());
}

fn node(name: &str) -> Node {
    let addr = ([127, 0, 0, 1], 9).into();
    let zone = crate::cluster::ZONES[0].into();
    Node { name: name.into(), incarnation: 1, http: addr, rpc: addr, zone, leaving: false }
}

/// Guards against a loss of two hosts that stops the cluster although enough hosts with a disk were there.
#[tokio::test(flavor = "multi_thread")]
async fn voters_grow() {
    let mut cluster = Cluster::start("voters = 5");
    for zone in &crate::cluster::ZONES[..2] {
        cluster.add_spare(zone);
    }
    let leader = cluster.leader(0).await;
    cluster
        .state_where(leader, "five hosts vote", |it| {
            it.members.iter().filter(|it| it.role != "learner").count() == 5
        })
        .await;
    cluster.kill(leader);
    let other = (leader + 1) % 3;
    cluster.kill(other);
    let left = (leader + 2) % 3;
    cluster.set(left, "caller", "after").await;
}

//! What a relay takes from other relays that it must not take, and what it does not get from them although it could.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use gentianpass::{
    policy::ownership,
    relay::DEFAULT_MAX_CONFIG_AGE,
    route::Kind,
    state::{Change, Config},
    wire::{
        control::{Applied, Update},
        relay::{Message, Reply},
    },
};
use hyper::StatusCode;
use parking_lot::Mutex;
use tokio::{
    net::TcpListener,
    time::{sleep, timeout},
};

use crate::{
    fake_control::{Answer, FakeControl, config},
    fake_relay::{
        FakeRelay, holding, node, serving, standing, start_beside, two_revisions, wait_for_route,
        with_nodes,
    },
    follow::{CONFIG_AGE_MS, metric, route},
    support::{Harness, WAIT_TIMEOUT, single, target},
};

/// The time from a change until it is in force (`configApplyMs`).
const APPLY: Duration = DEFAULT_MAX_CONFIG_AGE;

/// Guards against a relay that changes between two configurations, because a control host that holds an old one answers its
/// polls, as it does for a relay that is ahead of it.
#[tokio::test]
async fn outdated_control_host_takes_nothing_back() {
    let (harness, _fake, _control) = start_beside(|_, new| Box::new(serving("relay-2", new))).await;
    assert!(wait_for_route(&harness, "/new/", APPLY).await, "not taken over");
    let start = Instant::now();
    while start.elapsed() < 2 * APPLY {
        let status = harness.get("/new/").await.0;
        assert_ne!(status, StatusCode::NOT_FOUND, "taken back after {:?}", start.elapsed());
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against relays that confirm to each other what the control hosts have lost.
#[tokio::test]
async fn lost_revision_not_revived() {
    let (control, addr) = FakeControl::start(|_| Answer::Unchanged).await;
    let mut peers = Vec::new();
    let mut start = async |name: &str, zone: &str| {
        Harness::start_with(|it| {
            it.control = vec![addr];
            (it.name, it.zone) = (name.into(), zone.into());
            peers.push(node(name, zone, it.listen_peers));
        })
        .await
    };
    let first = start("relay-1", "near").await;
    let second = start("relay-2", "beside").await;
    let lost = with_nodes(config(50, 2, vec![route("/lost/")]), &peers);
    let kept = with_nodes(config(20, 1, vec![route("/kept/")]), &peers);
    control.set_script(holding(lost));
    first.wait_until(|| first.relay.is_ready()).await;
    second.wait_until(|| second.relay.is_ready()).await;
    sleep(2 * APPLY).await;
    // The second relay is confirmed up to the moment at which the first one learns that the control hosts went back.
    let (mut answer, mut went_back) = (holding(kept), false);
    control.set_script(move |poll| match &poll.node[..] {
        "relay-1" => {
            went_back = true;
            answer(poll)
        }
        _ if went_back => Answer::Silent,
        _ => Answer::Now(Update::Changes(Vec::new())),
    });
    let went_back = async {
        while first.get("/lost/").await.0 != StatusCode::NOT_FOUND {
            sleep(Duration::from_millis(10)).await;
        }
    };
    // It does not while the second one was confirmed within 2.5 s: a control host that is behind answers like this.
    timeout(2 * APPLY, went_back).await.expect("the first relay follows the control hosts");
    // The second one has received the last answer.
    sleep(Duration::from_millis(500)).await;
    let (start, mut revived, mut ages_ms) = (Instant::now(), 0, Vec::new());
    while start.elapsed() < 2 * APPLY {
        revived += usize::from(first.get("/lost/").await.0 != StatusCode::NOT_FOUND);
        ages_ms.extend(metric(&second, CONFIG_AGE_MS));
        sleep(Duration::from_millis(50)).await;
    }
    assert!(ages_ms.is_sorted(), "confirmed by a relay that no control host told so: {ages_ms:?}");
    assert_eq!(revived, 0, "requests that found the lost route");
}

/// Guards against a confirmation that outlives its configuration: the own polls were confirmed by a control host that is
/// behind, which tells nothing of a revision that came from another relay.
#[tokio::test]
async fn adopted_revision_is_as_old_as_its_source() {
    let age = Duration::from_millis(2_000);
    let (harness, fake, _control) = start_beside(move |_, new| {
        Box::new(move |message| {
            Some(match message {
                Message::Compare(_) => Reply::Standing(standing("relay-2", &new, age)),
                _ => Reply::Config(Update::Config(Box::new(new.clone()))),
            })
        })
    })
    .await;
    assert!(wait_for_route(&harness, "/new/", 2 * APPLY).await, "not taken over");
    sleep(Duration::from_millis(1_100)).await;
    let told: Vec<_> = fake.compared().into_iter().filter(|it| it.revision == 7).collect();
    let ages: Vec<_> = told.iter().filter_map(|it| it.age_us).collect();
    assert!(ages.iter().all(|it| *it >= 2_000_000), "told ages of revision 7: {ages:?} us");
    assert!(!ages.is_empty(), "not compared");
}

/// Guards against a late or foreign reply that the next user of the connection takes for its own.
#[tokio::test]
async fn reply_of_another_kind_closes_connection() {
    let (harness, fake, _control) =
        start_beside(|_, _| Box::new(|_: &Message| Some(Reply::Accepted))).await;
    harness.wait_until(|| fake.compared().len() >= 3).await;
    let (messages, connections) = (fake.compared().len(), fake.connections.load(Ordering::SeqCst));
    assert!(connections >= messages, "{messages} comparisons on {connections} connections");
}

/// Guards against a relay that takes the configuration of another cluster, whose relay has got the address of a former
/// neighbour.
#[tokio::test]
async fn relay_of_another_name_is_no_neighbour() {
    let (harness, _fake, _control) =
        start_beside(|_, new| Box::new(serving("stranger", new))).await;
    assert!(!wait_for_route(&harness, "/new/", APPLY).await, "taken from a stranger");
}

/// Guards against a relay that counts as behind for ever because another one has once told of a revision that is gone.
#[tokio::test]
async fn lag_of_a_lost_revision_ends() {
    let (harness, fake, _control) = start_beside(|old, new| {
        let mut asked = 0;
        Box::new(move |_| {
            asked += 1;
            let config = if asked == 1 { &new } else { &old };
            Some(Reply::Standing(standing("relay-2", config, Duration::ZERO)))
        })
    })
    .await;
    harness.wait_until(|| fake.compared().len() >= 20).await;
    let behind_us = fake.compared().last().map(|it| it.behind_us);
    assert_eq!(behind_us, Some(0), "behind although the only neighbour has nothing newer");
}

/// Guards against a relay that refuses what it fetches because its copy, by which it does not serve, is as new.
#[tokio::test]
async fn broken_copy_replaced_by_relay() {
    let fake_config: Arc<Mutex<Option<Config>>> = Arc::default();
    let shared = fake_config.clone();
    let fake = FakeRelay::start(move |message| {
        let config = shared.lock().clone()?;
        serving("relay-2", config)(message)
    })
    .await;
    let (old, new) = two_revisions(fake.addr);
    let (control, addr) = FakeControl::start(holding(old)).await;
    let harness = Harness::start_with(|it| it.control = vec![addr]).await;
    harness.wait_until(|| harness.relay.is_ready()).await;
    // The copy gets to revision 7, the view does not.
    let suspect = |revision, id| Applied {
        revision,
        at_ms: 1,
        change: Change::Suspect { fingerprint: id, target: "t".into() },
    };
    control.set_script(move |poll| match poll.revision {
        5 => Answer::Now(Update::Changes(vec![suspect(6, 6), suspect(9, 7)])),
        _ => Answer::Silent,
    });
    *fake_config.lock() = Some(new);
    assert!(wait_for_route(&harness, "/new/", 2 * APPLY).await, "still the old configuration");
}

/// Guards against a relay that asks a neighbour which is gone again and again, and no other one. Its own view keeps the relay
/// that is gone, because it does not follow.
#[tokio::test]
async fn gone_neighbour_is_replaced() {
    let live = FakeRelay::start(|_| None).await;
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let weight = |name: &str| ownership::weight("relay-1", name);
    let gone = (3..).map(|it| format!("relay-{it}")).find(|it| weight(it) > weight("relay-2"));
    let nodes = [node("relay-2", "beside", live.addr), node(&gone.unwrap(), "beside", closed)];
    let old = with_nodes(config(5, 1, vec![route("/old/")]), &nodes);
    let (_control, addr) = FakeControl::start(holding(old)).await;
    let harness = Harness::start_with(|it| it.control = vec![addr]).await;
    harness.wait_until(|| harness.relay.is_ready()).await;
    sleep(2 * APPLY).await;
    assert!(!live.compared().is_empty(), "the relay that works was not asked");
}

/// Guards against a neighbour that cannot help in a fleet of the stated size (12,000 targets), because its configuration is
/// larger than a frame. Control hosts send such a one as changes.
#[tokio::test]
async fn large_configuration_from_relay() {
    const TARGETS: u64 = 12_000;
    const AT_ONCE: usize = 3_000;
    let history: Arc<Mutex<Vec<Applied>>> = Arc::default();
    let shared = history.clone();
    let hung: Arc<Mutex<bool>> = Arc::default();
    let is_hung = hung.clone();
    let (_control, addr) = FakeControl::start(move |poll| {
        if *is_hung.lock() && poll.node == "relay-1" {
            return Answer::Silent;
        }
        let history = shared.lock();
        if poll.revision > history.len() as u64 {
            return Answer::TooLarge;
        }
        let newer = &history[poll.revision as usize..];
        if newer.is_empty() {
            return Answer::Unchanged;
        }
        Answer::Now(Update::Changes(newer[..newer.len().min(AT_ONCE)].to_vec()))
    })
    .await;
    let mut peers = Vec::new();
    let mut start = async |name: &str, zone: &str| {
        Harness::start_with(|it| {
            it.control = vec![addr];
            (it.name, it.zone) = (name.into(), zone.into());
            peers.push(node(name, zone, it.listen_peers));
        })
        .await
    };
    let first = start("relay-1", "near").await;
    let second = start("relay-2", "beside").await;
    let routes = |version, prefix| {
        Change::PutRoutes(Box::new(
            config(0, version, vec![single(Kind::Idempotent), route(prefix)]).routes,
        ))
    };
    let targets = (0..TARGETS).map(|it| {
        let name = format!("target-{it:05}");
        Change::PutTarget(target(&name, "s", "far", SocketAddr::from(([127, 0, 0, 1], 9))))
    });
    let nodes: Vec<_> = peers.into_iter().map(Change::PutNode).collect();
    let put = |change: Change| {
        let mut history = history.lock();
        let revision = history.len() as u64 + 1;
        history.push(Applied { revision, at_ms: 1, change });
    };
    nodes.into_iter().chain(targets).chain([routes(1, "/old/")]).for_each(put);
    first.wait_until(|| first.relay.is_ready()).await;
    second.wait_until(|| second.relay.is_ready()).await;
    sleep(APPLY).await;
    *hung.lock() = true;
    sleep(APPLY).await;
    put(routes(2, "/new/"));
    assert!(wait_for_route(&second, "/new/", WAIT_TIMEOUT).await, "control hosts bring it");
    let is_known = wait_for_route(&first, "/new/", 3 * APPLY).await;
    assert!(is_known, "the relay beside has it for {:?}", 3 * APPLY);
}

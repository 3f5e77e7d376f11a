//! Quarantine of requests that crash the targets which run them.

use std::time::Duration;

use gentianpass::{
    relay::Settings,
    route::{Kind, PPM_SCALE, Route},
};
use hyper::StatusCode;
use tokio::time::sleep;

use crate::support::{Behaviour, Harness, StubTarget, gather, record, single};

/// Time for the relay to detect a crash, report it and receive the quarantine in a new view.
const QUARANTINE_DELAY: Duration = Duration::from_millis(500);

async fn targets(route: Route, behaviour: Behaviour) -> (Harness, Vec<StubTarget>) {
    targets_with(|_| (), route, behaviour).await
}

async fn targets_with(
    change: impl FnOnce(&mut Settings),
    route: Route,
    behaviour: Behaviour,
) -> (Harness, Vec<StubTarget>) {
    let harness = Harness::start_with(change).await;
    let services: Vec<_> = route.services().map(str::to_owned).collect();
    let mut servers = Vec::new();
    for service in services {
        for number in 0..4 {
            let server = StubTarget::start(behaviour.clone()).await;
            harness.announce(&format!("{service}-{number}"), &service, "near", server.addr);
            servers.push(server);
        }
    }
    harness.put_routes(vec![route]).await;
    (harness, servers)
}

fn request_count(servers: &[StubTarget]) -> usize {
    servers.iter().map(StubTarget::request_count).sum()
}

#[tokio::test]
async fn refused_after_two_crashes() {
    let (harness, servers) = targets(single(Kind::Idempotent), Behaviour::Crash).await;
    assert_eq!(harness.get("/one/bad").await.0, StatusCode::BAD_GATEWAY);
    assert_eq!(request_count(&servers), 2, "max_attempts of the route");
    sleep(QUARANTINE_DELAY).await;
    let (status, _, body) = harness.get("/one/bad").await;
    assert_eq!((status, &body[..]), (StatusCode::SERVICE_UNAVAILABLE, &b"quarantined"[..]));
    assert_eq!(request_count(&servers), 2);
    servers.iter().for_each(|it| *it.behaviour.lock() = Behaviour::Answer(record(1)));
    assert_eq!(harness.get("/one/good").await.0, StatusCode::OK, "other requests are served");
}

/// Settings without a retry budget, as on a route with little traffic: each request reaches one target.
fn without_retries(settings: &mut Settings) {
    settings.retry_percent = 0;
    settings.retry_burst = 0;
}

/// Guards against a request that crashes one target at each relay. No relay saw two crashes, so none was reported, and the
/// request crashed targets until it came to a relay for the second time.
#[tokio::test]
async fn refused_after_one_crash_at_each_of_two_relays() {
    let route = single(Kind::Idempotent);
    let (first, servers) = targets_with(without_retries, route, Behaviour::Crash).await;
    let second = first.start_beside(without_retries).await;
    assert_eq!(first.get("/one/bad").await.0, StatusCode::BAD_GATEWAY);
    sleep(QUARANTINE_DELAY).await;
    assert_eq!(second.get("/one/bad").await.0, StatusCode::BAD_GATEWAY);
    sleep(QUARANTINE_DELAY).await;
    for relay in [first, second] {
        let (status, _, body) = relay.get("/one/bad").await;
        assert_eq!((status, &body[..]), (StatusCode::SERVICE_UNAVAILABLE, &b"quarantined"[..]));
    }
    assert_eq!(request_count(&servers), 2);
}

/// Guards against a quarantine of a popular request that only ran at targets which crashed for another reason: between
/// the crashes it was answered.
#[tokio::test]
async fn answered_between_crashes_not_quarantined() {
    let route = single(Kind::Idempotent);
    let (harness, servers) = targets_with(without_retries, route, Behaviour::Crash).await;
    let set_all = |behaviour: Behaviour| {
        for server in &servers {
            *server.behaviour.lock() = behaviour.clone();
        }
    };
    for _ in 0..2 {
        set_all(Behaviour::Crash);
        assert_eq!(harness.get("/one/popular").await.0, StatusCode::BAD_GATEWAY);
        sleep(QUARANTINE_DELAY).await;
        set_all(Behaviour::Answer(record(1)));
        assert_eq!(harness.get("/one/popular").await.0, StatusCode::OK);
        sleep(QUARANTINE_DELAY).await;
    }
    assert_eq!(harness.get("/one/popular").await.0, StatusCode::OK);
}

/// Guards against a quarantine of requests whose targets only closed the connection.
#[tokio::test]
async fn disconnects_are_not_crashes() {
    let (harness, servers) = targets(single(Kind::Idempotent), Behaviour::Disconnect).await;
    for _ in 0..2 {
        assert_eq!(harness.get("/one/x").await.0, StatusCode::BAD_GATEWAY);
        sleep(QUARANTINE_DELAY).await;
    }
    servers.iter().for_each(|it| *it.behaviour.lock() = Behaviour::Answer(record(1)));
    assert_eq!(harness.get("/one/x").await.0, StatusCode::OK);
}

/// Guards against a quarantine of a query over several shards because one target of each shard crashed while running
/// it.
#[tokio::test]
async fn crashes_of_different_shards_not_combined() {
    let route = gather(&["a", "b", "c"], PPM_SCALE);
    let (harness, servers) = targets(route, Behaviour::Answer(record(1))).await;
    for first in servers.iter().step_by(4) {
        *first.behaviour.lock() = Behaviour::Crash;
    }
    // Enough requests to reach each of the four targets of every shard.
    for _ in 0..20 {
        assert_eq!(harness.get("/all/x").await.0, StatusCode::OK);
    }
    sleep(QUARANTINE_DELAY).await;
    assert_eq!(harness.get("/all/x").await.0, StatusCode::OK);
}

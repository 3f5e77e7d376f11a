//! Quarantine of requests that crash the targets which run them.

use std::time::{Duration, Instant};

use futures::future::join_all;
use gentianpass::{
    relay::Settings,
    route::{Kind, PPM_SCALE, Route},
};
use hyper::StatusCode;
use tokio::time::sleep;

use crate::support::{Behaviour, Harness, StubTarget, WAIT_TIMEOUT, gather, record, single};

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

/// Starts the targets that have crashed again at their addresses, and gives all of them this behaviour.
async fn restart(servers: &mut [StubTarget], behaviour: Behaviour) {
    for server in servers {
        if server.request_count() > 0 {
            *server = StubTarget::start_at(server.addr, behaviour.clone()).await;
        }
        *server.behaviour.lock() = behaviour.clone();
    }
}

/// Sends the request twenty times a second until the condition holds for a response.
async fn get_until(harness: &Harness, path: &str, condition: impl Fn(StatusCode, &str) -> bool) {
    let start = Instant::now();
    loop {
        let (status, headers, _) = harness.get(path).await;
        let missing = headers.get("missing").map_or("", |it| it.to_str().unwrap());
        if condition(status, missing) {
            return;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "last response: {status}, missing {missing:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a popular request that is refused for ten minutes after all targets crashed at once, with nothing sent
/// that could withdraw the suspicion.
#[tokio::test]
async fn popular_request_served_again_after_common_crash() {
    let (harness, mut servers) = targets(single(Kind::Idempotent), Behaviour::Crash).await;
    join_all((0..4).map(|_| harness.get("/one/popular"))).await;
    restart(&mut servers, Behaviour::Answer(record(1))).await;
    sleep(QUARANTINE_DELAY).await;
    assert_eq!(harness.get("/one/popular").await.0, StatusCode::SERVICE_UNAVAILABLE);
    get_until(&harness, "/one/popular", |status, _| status == StatusCode::OK).await;
    sleep(QUARANTINE_DELAY).await;
    assert_eq!(harness.get("/one/popular").await.0, StatusCode::OK);
    let quarantined = harness.control.config().suspects;
    assert!(quarantined.is_empty(), "{quarantined:?}");
}

/// Guards against the same for a query that needs all of its shards.
#[tokio::test]
async fn popular_query_served_again_after_crash_of_shard() {
    let route = gather(&["a", "b", "c"], PPM_SCALE);
    let (harness, mut servers) = targets(route, Behaviour::Answer(record(1))).await;
    servers[4..8].iter().for_each(|it| *it.behaviour.lock() = Behaviour::Crash);
    join_all((0..4).map(|_| harness.get("/all/popular"))).await;
    restart(&mut servers[4..8], Behaviour::Answer(record(1))).await;
    sleep(QUARANTINE_DELAY).await;
    assert_eq!(harness.get("/all/popular").await.0, StatusCode::SERVICE_UNAVAILABLE);
    get_until(&harness, "/all/popular", |status, _| status == StatusCode::OK).await;
}

/// Guards against probes that let a request which does crash targets reach many of them, through several relays.
#[tokio::test]
async fn probes_crash_one_target() {
    let route = single(Kind::Idempotent);
    let (first, mut servers) = targets(route, Behaviour::Crash).await;
    let second = first.start_beside(|_| ()).await;
    let relays = [&first, &second];
    join_all(relays.map(|it| it.get("/one/bad"))).await;
    sleep(QUARANTINE_DELAY).await;
    restart(&mut servers, Behaviour::Crash).await;
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(12) {
        join_all(relays.map(|it| it.get("/one/bad"))).await;
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(request_count(&servers), 1, "the next probe follows after 25 s");
}

/// Guards against a probe that sends a query to all shards at once, of which each loses a target.
#[tokio::test]
async fn probe_of_query_crashes_one_target() {
    let route = gather(&["a", "b", "c"], PPM_SCALE);
    let (harness, mut servers) = targets(route, Behaviour::Crash).await;
    join_all((0..2).map(|_| harness.get("/all/bad"))).await;
    restart(&mut servers, Behaviour::Crash).await;
    sleep(QUARANTINE_DELAY).await;
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(10) {
        harness.get("/all/bad").await;
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(request_count(&servers), 1);
}

/// Guards against a query that is refused as a whole while one of its shards is quarantined, although the others reach the
/// minimum coverage.
#[tokio::test]
async fn query_served_without_quarantined_shard() {
    let route = gather(&["a", "b", "c", "d"], PPM_SCALE * 3 / 4);
    let (harness, mut servers) = targets(route, Behaviour::Answer(record(1))).await;
    servers[4..8].iter().for_each(|it| *it.behaviour.lock() = Behaviour::Crash);
    join_all((0..4).map(|_| harness.get("/all/popular"))).await;
    restart(&mut servers[4..8], Behaviour::Answer(record(1))).await;
    sleep(QUARANTINE_DELAY).await;
    let (status, headers, _) = harness.get("/all/popular").await;
    assert_eq!((status, &headers["missing"]), (StatusCode::OK, &"1".parse().unwrap()));
    assert_eq!(request_count(&servers[4..8]), 0);
    get_until(&harness, "/all/popular", |status, missing| {
        assert_eq!(status, StatusCode::OK);
        missing == "0"
    })
    .await;
}

/// Guards against a query that goes on crashing targets of those shards where it is not quarantined yet.
#[tokio::test]
async fn query_that_crashes_all_shards_refused() {
    let route = gather(&["a", "b", "c", "d"], PPM_SCALE * 3 / 4);
    let (harness, mut servers) = targets(route, Behaviour::Crash).await;
    harness.get("/all/bad").await;
    restart(&mut servers, Behaviour::Crash).await;
    sleep(QUARANTINE_DELAY).await;
    for _ in 0..10 {
        assert_eq!(harness.get("/all/bad").await.0, StatusCode::SERVICE_UNAVAILABLE);
    }
    assert_eq!(request_count(&servers), 0);
}

/// Guards against a quarantine of a request that other targets answer before the control hosts have committed the crashes.
#[tokio::test]
async fn answered_before_crashes_are_committed_not_quarantined() {
    let (harness, servers) = targets(single(Kind::Idempotent), Behaviour::Answer(record(1))).await;
    harness.control.delay_submissions(Duration::from_millis(100));
    servers[..2].iter().for_each(|it| *it.behaviour.lock() = Behaviour::Crash);
    let responses = join_all((0..4).map(|_| harness.get("/one/popular"))).await;
    assert!(responses.iter().all(|it| it.0 == StatusCode::OK));
    sleep(QUARANTINE_DELAY).await;
    let crashed = servers[..2].iter().filter(|it| it.request_count() > 0);
    assert_eq!(crashed.count(), 2, "not all targets got a request");
    assert_eq!(harness.get("/one/popular").await.0, StatusCode::OK);
}

//! Quarantine of requests that crash the targets which run them.

use std::time::Duration;

use gentianpass::route::{Kind, PPM_SCALE, Route};
use hyper::StatusCode;
use tokio::time::sleep;

use crate::support::{Behaviour, Harness, StubTarget, gather, record, single};

/// Time for the relay to detect a crash, report it and receive the quarantine in a new view.
const QUARANTINE_DELAY: Duration = Duration::from_millis(500);

async fn targets(route: Route, behaviour: Behaviour) -> (Harness, Vec<StubTarget>) {
    let harness = Harness::start().await;
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

//! Requests that crash the targets which run them.

use std::time::Duration;

use gentianpass::route::{Kind, PARTS_PER_WHOLE, Route};
use hyper::StatusCode;
use tokio::time::sleep;

use crate::support::{Behaviour, Harness, StubTarget, gather, record, single};

/// How long a connection that was refused takes to tell, and a report to come back as a new view.
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
    assert_eq!(request_count(&servers), 2, "as many as the route allows");
    sleep(QUARANTINE_DELAY).await;
    let (status, _, body) = harness.get("/one/bad").await;
    assert_eq!((status, &body[..]), (StatusCode::SERVICE_UNAVAILABLE, &b"quarantined"[..]));
    assert_eq!(request_count(&servers), 2);
    servers.iter().for_each(|it| *it.behaviour.lock() = Behaviour::Answer(record(1)));
    assert_eq!(harness.get("/one/good").await.0, StatusCode::OK, "other requests are served");
}

/// Guards against requests that are refused because targets closed connections, or all crashed at the same moment.
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

/// Guards against a gathered request that is refused because one target of each shard crashed while it ran there.
#[tokio::test]
async fn crashes_of_different_shards_not_combined() {
    let route = gather(&["a", "b", "c"], PARTS_PER_WHOLE);
    let (harness, servers) = targets(route, Behaviour::Answer(record(1))).await;
    for first in servers.iter().step_by(4) {
        *first.behaviour.lock() = Behaviour::Crash;
    }
    // Each of the four targets of a shard is asked sooner or later.
    for _ in 0..20 {
        assert_eq!(harness.get("/all/x").await.0, StatusCode::OK);
    }
    sleep(QUARANTINE_DELAY).await;
    assert_eq!(harness.get("/all/x").await.0, StatusCode::OK);
}

//! Requests that crash the targets which run them.

use std::time::Duration;

use gentianpass::route::{Kind, PPM_SCALE, Route};
use hyper::StatusCode;
use tokio::time::sleep;

use crate::support::{Behaviour, Bench, Server, gather, record, single};

/// How long a connection that was refused takes to tell, and a report to come back as a new view.
const SPREAD: Duration = Duration::from_millis(500);

async fn targets(route: Route, behaviour: Behaviour) -> (Bench, Vec<Server>) {
    let bench = Bench::start().await;
    let services: Vec<_> = route.services().map(str::to_owned).collect();
    let mut servers = Vec::new();
    for service in services {
        for number in 0..4 {
            let server = Server::start(behaviour.clone()).await;
            bench.announce(&format!("{service}-{number}"), &service, "near", server.addr);
            servers.push(server);
        }
    }
    bench.route(vec![route]).await;
    (bench, servers)
}

fn served(servers: &[Server]) -> usize {
    servers.iter().map(Server::served).sum()
}

#[tokio::test]
async fn refused_after_two_crashes() {
    let (bench, servers) = targets(single(Kind::Idempotent), Behaviour::Crash).await;
    assert_eq!(bench.get("/one/bad").await.0, StatusCode::BAD_GATEWAY);
    assert_eq!(served(&servers), 2, "as many as the route allows");
    sleep(SPREAD).await;
    let (status, _, body) = bench.get("/one/bad").await;
    assert_eq!((status, &body[..]), (StatusCode::SERVICE_UNAVAILABLE, &b"quarantined"[..]));
    assert_eq!(served(&servers), 2);
    servers.iter().for_each(|it| *it.behaviour.lock() = Behaviour::Answer(record(1)));
    assert_eq!(bench.get("/one/good").await.0, StatusCode::OK, "other requests are served");
}

/// Guards against requests that are refused because targets closed connections, or all crashed at the same moment.
#[tokio::test]
async fn lost_answers_are_no_crashes() {
    let (bench, servers) = targets(single(Kind::Idempotent), Behaviour::Disconnect).await;
    for _ in 0..2 {
        assert_eq!(bench.get("/one/x").await.0, StatusCode::BAD_GATEWAY);
        sleep(SPREAD).await;
    }
    servers.iter().for_each(|it| *it.behaviour.lock() = Behaviour::Answer(record(1)));
    assert_eq!(bench.get("/one/x").await.0, StatusCode::OK);
}

/// Guards against a gathered request that is refused because one target of each shard crashed while it ran there.
#[tokio::test]
async fn crashes_of_different_shards() {
    let route = gather(&["a", "b", "c"], PPM_SCALE);
    let (bench, servers) = targets(route, Behaviour::Answer(record(1))).await;
    for first in servers.iter().step_by(4) {
        *first.behaviour.lock() = Behaviour::Crash;
    }
    // Each of the four targets of a shard is asked sooner or later.
    for _ in 0..20 {
        assert_eq!(bench.get("/all/x").await.0, StatusCode::OK);
    }
    sleep(SPREAD).await;
    assert_eq!(bench.get("/all/x").await.0, StatusCode::OK);
}

//! Routes that lead to a single service.

use std::time::Duration;

use gentianpass::{
    relay::AddressQuery,
    route::{Kind, Limits, Route, Service, Table},
    state::{Change, Object, ObjectKind, Phase, Reply, Target},
};
use hyper::{Request, StatusCode, header::RETRY_AFTER};
use tokio::time::timeout;

use crate::support::{Behaviour, Harness, StubTarget, WAIT_TIMEOUT, record, single, target};

/// A target with this behaviour in the relay's own zone, and a second one in another region that answers.
async fn pair(kind: Kind, first: Behaviour) -> (Harness, StubTarget, StubTarget) {
    let harness = Harness::start().await;
    let near = StubTarget::start(first).await;
    let far = StubTarget::start(Behaviour::Answer(record(2))).await;
    harness.announce("near", "s", "near", near.addr);
    harness.announce("far", "s", "far", far.addr);
    harness.put_routes(vec![single(kind)]).await;
    (harness, near, far)
}

#[tokio::test]
async fn answer_unchanged() {
    let (harness, near, far) = pair(Kind::AtMostOnce, Behaviour::Answer(record(1))).await;
    let (status, headers, body) =
        harness.send(Request::get("/one/x?y=z").header("other", "kept")).await;
    assert_eq!((status, &body[..]), (StatusCode::OK, &record(1)[..]));
    assert_eq!(headers["signature"], "signature-of-near");
    assert_eq!(headers["request-id"], "q-1");
    assert_eq!((near.request_count(), far.request_count()), (1, 0));
    let sent = near.headers.lock()[0].clone();
    assert_eq!(sent["other"], "kept");
    assert_eq!(sent["expected"], "near");
    let left: u64 = sent["deadline"].to_str().unwrap().parse().unwrap();
    assert!((2_000..=3_000).contains(&left), "{left}");
}

#[tokio::test]
async fn disconnect_at_most_once() {
    let (harness, near, far) = pair(Kind::AtMostOnce, Behaviour::Disconnect).await;
    let (status, headers, _) = harness.get("/one/x").await;
    assert_eq!(status, StatusCode::BAD_GATEWAY, "the request may have run");
    assert!(!headers.contains_key(RETRY_AFTER));
    assert_eq!((near.request_count(), far.request_count()), (1, 0));
}

#[tokio::test]
async fn disconnect_idempotent() {
    let (harness, near, far) = pair(Kind::Idempotent, Behaviour::Disconnect).await;
    let (status, headers, _) = harness.get("/one/x").await;
    assert_eq!((status, near.request_count(), far.request_count()), (StatusCode::OK, 1, 1));
    assert_eq!(headers["signature"], "signature-of-far");
}

#[tokio::test]
async fn shed_at_most_once() {
    let (harness, near, far) = pair(Kind::AtMostOnce, Behaviour::Shed).await;
    let (status, _, _) = harness.get("/one/x").await;
    assert_eq!(
        (status, near.request_count(), far.request_count()),
        (StatusCode::OK, 1, 1),
        "the request did not run"
    );
}

#[tokio::test]
async fn wrong_process_not_retried() {
    let (harness, near, far) = pair(Kind::AtMostOnce, Behaviour::WrongProcess).await;
    for _ in 0..3 {
        assert_eq!(harness.get("/one/x").await.0, StatusCode::OK);
    }
    assert_eq!((near.request_count(), far.request_count()), (1, 3));
}

/// Guards against a response that is given to another request than its own.
#[tokio::test]
async fn response_to_other_request_discarded() {
    let (harness, near, far) = pair(Kind::Idempotent, Behaviour::WrongRequest).await;
    let (status, headers, _) = harness.get("/one/x").await;
    assert_eq!((status, near.request_count(), far.request_count()), (StatusCode::OK, 1, 1));
    assert_eq!(headers["signature"], "signature-of-far");
    assert_eq!(headers["request-id"], "q-1");
}

#[tokio::test]
async fn silent_hedged() {
    let (harness, near, far) = pair(Kind::Idempotent, Behaviour::Silent).await;
    assert_eq!(harness.get("/one/x").await.0, StatusCode::OK);
    assert_eq!((near.request_count(), far.request_count()), (1, 1));
}

/// Guards against running an at-most-once request a second time because its target is slow.
#[tokio::test]
async fn silent_at_most_once() {
    let (harness, near, far) = pair(Kind::AtMostOnce, Behaviour::Silent).await;
    let (status, _, _) = harness.get("/one/x").await;
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!((near.request_count(), far.request_count()), (1, 0));
}

#[tokio::test]
async fn last_target_error_forwarded() {
    let (harness, _near, far) = pair(Kind::Idempotent, Behaviour::Fail).await;
    *far.behaviour.lock() = Behaviour::Fail;
    let (status, headers, _) = harness.get("/one/x").await;
    assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(headers["signature"], "signature-of-far", "the response of the target itself");
}

#[tokio::test]
async fn refusal_has_retry_after() {
    let harness = Harness::start().await;
    harness.put_routes(vec![single(Kind::AtMostOnce)]).await;
    let (status, headers, _) = harness.get("/one/x").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    let seconds: f64 = headers[RETRY_AFTER].to_str().unwrap().parse().unwrap();
    assert!(seconds > 0.0 && seconds < 1.0, "{seconds}");
}

#[tokio::test]
async fn no_route() {
    let (harness, _near, _far) = pair(Kind::Idempotent, Behaviour::Fail).await;
    assert_eq!(harness.get("/other/x").await.0, StatusCode::NOT_FOUND);
}

/// Guards against refusals by a process that has just started and is about to receive its routing table.
#[tokio::test]
async fn request_waits_for_first_routes() {
    let harness = Harness::start().await;
    let server = StubTarget::start(Behaviour::Answer(record(1))).await;
    harness.announce("near", "s", "near", server.addr);
    let route = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        harness.put_routes(vec![single(Kind::Idempotent)]).await;
    };
    let (answer, ()) = tokio::join!(harness.get("/one/x"), route);
    assert_eq!(answer.0, StatusCode::OK);
}

/// Guards against refusals while all targets of the preferred zone are unreachable and another zone could serve the
/// request.
#[tokio::test]
async fn unreachable_zone_left() {
    let harness = Harness::start().await;
    for number in 0..8 {
        let gone = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        harness.announce(&format!("near-{number}"), "s", "near", gone.local_addr().unwrap());
    }
    let far = StubTarget::start(Behaviour::Answer(record(2))).await;
    harness.announce("far", "s", "far", far.addr);
    harness.put_routes(vec![single(Kind::AtMostOnce)]).await;
    assert_eq!(harness.get("/one/x").await.0, StatusCode::OK);
}

/// Guards against sending requests to another region to save a few milliseconds.
#[tokio::test]
async fn own_region_preferred_if_in_time() {
    let slow = Behaviour::Slow(Duration::from_millis(30), record(1));
    let (harness, near, far) = pair(Kind::Idempotent, slow).await;
    // While the own zone is drained, the relay measures the latency of the other target.
    let object = Object::new(ObjectKind::Zone, "near");
    let drain =
        Change::SetLabel { object: object.clone(), key: "drain".into(), value: "true".into() };
    harness.control.apply(drain);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(harness.get("/one/x").await.0, StatusCode::OK);
    harness.control.apply(Change::RemoveLabel { object, key: "drain".into() });
    tokio::time::sleep(Duration::from_millis(200)).await;
    for _ in 0..20 {
        assert_eq!(harness.get("/one/x").await.0, StatusCode::OK);
    }
    assert!(
        near.request_count() >= 19,
        "{} near, {} far",
        near.request_count(),
        far.request_count()
    );
}

/// Guards against hosts that may not hedge until they have had several requests. Two regions with four hosts each share
/// the eight initial retries, so this host has one.
#[tokio::test]
async fn first_request_hedged() {
    let harness = Harness::start_with(|it| {
        (it.retry_percent, it.retry_burst, it.retry_initial) = (17, 16, 8);
    })
    .await;
    let near = StubTarget::start(Behaviour::Silent).await;
    let far = StubTarget::start(Behaviour::Answer(record(2))).await;
    harness.announce("near", "s", "near", near.addr);
    harness.announce("far", "s", "far", far.addr);
    harness.put_routes(vec![single(Kind::Idempotent)]).await;
    let start = std::time::Instant::now();
    assert_eq!(harness.get("/one/x").await.0, StatusCode::OK);
    assert!(start.elapsed() < Duration::from_millis(1_000), "{:?}", start.elapsed());
}

/// Guards against giving up a request because all targets are overloaded for a moment.
#[tokio::test]
async fn retried_after_all_shed() {
    let (harness, near, far) = pair(Kind::AtMostOnce, Behaviour::Answer(record(1))).await;
    // These requests earn the tokens for the retries.
    for _ in 0..10 {
        assert_eq!(harness.get("/one/x").await.0, StatusCode::OK);
    }
    *near.behaviour.lock() = Behaviour::Shed;
    *far.behaviour.lock() = Behaviour::Shed;
    let behaviour = near.behaviour.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(120)).await;
        *behaviour.lock() = Behaviour::Answer(record(1));
    });
    assert_eq!(harness.get("/one/x").await.0, StatusCode::OK);
}

/// Guards against a request that is retried without end while all targets are overloaded.
#[tokio::test]
async fn refused_if_all_shed() {
    let (harness, _near, far) = pair(Kind::Idempotent, Behaviour::Shed).await;
    *far.behaviour.lock() = Behaviour::Shed;
    let start = std::time::Instant::now();
    let (status, headers, _) = harness.get("/one/x").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(headers.contains_key(RETRY_AFTER));
    assert!(start.elapsed() < Duration::from_millis(1_200), "{:?}", start.elapsed());
}

#[tokio::test]
async fn drained_zone_unused() {
    let (harness, near, far) = pair(Kind::Idempotent, Behaviour::Answer(record(1))).await;
    let object = Object::new(ObjectKind::Zone, "near");
    harness.control.apply(Change::SetLabel { object, key: "drain".into(), value: "true".into() });
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(harness.get("/one/x").await.0, StatusCode::OK);
    assert_eq!((near.request_count(), far.request_count()), (0, 1));
}

#[tokio::test]
async fn leaving_target_unused() {
    let (harness, near, far) = pair(Kind::Idempotent, Behaviour::Answer(record(1))).await;
    let leaving = Target { phase: Phase::Leaving, ..target("near", "s", "near", near.addr) };
    harness.control.apply(Change::PutTarget(leaving));
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(harness.get("/one/x").await.0, StatusCode::OK);
    assert_eq!((near.request_count(), far.request_count()), (0, 1));
}

#[tokio::test]
async fn only_home_regions_used() {
    let harness = Harness::start().await;
    let near = StubTarget::start(Behaviour::Answer(record(1))).await;
    let far = StubTarget::start(Behaviour::Answer(record(2))).await;
    harness.announce("near", "s", "near", near.addr);
    harness.announce("far", "s", "far", far.addr);
    let homed = Route { homes: vec!["there".into()], ..single(Kind::Idempotent) };
    harness.put_routes(vec![homed]).await;
    assert_eq!(harness.get("/one/x").await.0, StatusCode::OK);
    assert_eq!((near.request_count(), far.request_count()), (0, 1));
    let query = |region: &str| AddressQuery {
        name: "labels.example".into(),
        zone: "far".into(),
        region: region.into(),
    };
    assert_eq!(harness.relay.addresses(&query("there")), None, "no host in a home region");
    assert_eq!(harness.relay.addresses(&query("here")), Some(vec![harness.addr]));
}

/// Guards against relays that close all connections of callers, or fail all requests, because an operator's table has
/// limits and times that mean "none".
#[tokio::test]
async fn endless_limits_and_times() {
    let harness = Harness::start().await;
    let stub = StubTarget::start(Behaviour::Answer(record(1))).await;
    harness.announce("a", "s", "near", stub.addr);
    let route = Route {
        timeout_ms: u64::MAX,
        objective_ms: u64::MAX,
        max_attempts: u32::MAX,
        priority: u32::MAX,
        ..single(Kind::Idempotent)
    };
    let limits = Limits {
        header_bytes: u64::MAX,
        body_bytes: u64::MAX,
        header_ms: u64::MAX,
        idle_ms: u64::MAX,
    };
    let service = Service { max_connections: u32::MAX, cold_millis_per_s: u64::MAX };
    let table = Table {
        version: 1,
        document: String::new(),
        routes: vec![route],
        services: [("s".to_owned(), service)].into(),
        limits,
        tenants: Vec::new(),
    };
    table.check().unwrap();
    let reply = harness.control.apply(Change::PutRoutes(Box::new(table)));
    assert!(matches!(reply, Reply::Applied { .. }), "{reply:?}");
    harness.wait_until(|| harness.relay.is_ready()).await;
    for _ in 0..3 {
        let answer = timeout(WAIT_TIMEOUT, harness.get("/one/x")).await;
        assert_eq!(answer.expect("no answer").0, StatusCode::OK);
    }
}

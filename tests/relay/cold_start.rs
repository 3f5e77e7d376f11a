//! The rate limit of targets during a cold start.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use gentianpass::{
    policy::ownership,
    relay::{Access, COLD_LABEL, ColdStartLimiter, SERVICE_LABEL},
    route::{Kind, Service},
    state::{Change, Node, NodeView, Target},
};
use hyper::StatusCode;

use crate::support::{Behaviour, Harness, StubTarget, record, single, target};

#[test]
fn limit_holds_in_any_window() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut cold_start = ColdStartLimiter::default();
    cold_start.set_access(Access::Limited(2), false, start);
    for ms in [0, 600] {
        assert!(cold_start.allows(at(ms)));
        cold_start.record(at(ms));
    }
    assert!(!cold_start.allows(at(900)));
    assert!(!cold_start.allows(at(1_000)));
    assert!(cold_start.allows(at(1_001)));
    cold_start.record(at(1_001));
    assert!(!cold_start.allows(at(1_500)), "two requests within the last second");
    cold_start.set_access(Access::Closed, false, at(1_500));
    assert!(!cold_start.allows(at(9_000)));
    cold_start.set_access(Access::Open, false, at(9_000));
    assert!(cold_start.allows(at(9_000)));
}

/// Guards against two hosts that send a target their whole rate in the same second, because one becomes the owner when the
/// other one stops (review/4).
#[test]
fn limit_holds_over_change_of_owner() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut old = ColdStartLimiter::default();
    let mut new = ColdStartLimiter::default();
    old.set_access(Access::Limited(2), false, start);
    new.set_access(Access::Closed, false, start);
    for ms in [500, 990] {
        assert!(old.allows(at(ms)));
        old.record(at(ms));
    }
    old.set_access(Access::Closed, false, at(1_000));
    new.set_access(Access::Limited(2), false, at(1_000));
    assert!(!new.allows(at(1_000)) && !new.allows(at(1_990)));
    // A later view does not start the wait anew.
    new.set_access(Access::Limited(2), false, at(2_400));
    assert!(new.allows(at(2_500)));
    // A process that has just started does not know who was the owner.
    let mut started = ColdStartLimiter::default();
    started.set_access(Access::Limited(2), true, start);
    assert!(!started.allows(at(1_000)));
    assert!(started.allows(at(1_500)));
}

/// A relay and a target in a cold start, which is limited to 2 requests per second.
async fn start_with_cold_target() -> (Harness, StubTarget) {
    let harness = Harness::start().await;
    let server = StubTarget::start(Behaviour::Answer(record(1))).await;
    let labels = [(SERVICE_LABEL, "s"), (COLD_LABEL, "true")];
    let labels: BTreeMap<_, _> =
        labels.into_iter().map(|(key, value)| (key.to_owned(), value.to_owned())).collect();
    let cold_target = Target { labels, ..target("near", "s", "near", server.addr) };
    harness.control.apply(Change::PutTarget(cold_target));
    let service = Service { max_connections: 64, cold_millis_per_s: 2_000 };
    harness.put_routes_with(vec![single(Kind::Idempotent)], &service).await;
    (harness, server)
}

/// Guards against sending a target in a cold start the load of a warm one.
#[tokio::test]
async fn owner_limits_request_rate() {
    let (harness, server) = start_with_cold_target().await;
    let start = Instant::now();
    let mut answered = 0;
    for _ in 0..5 {
        match harness.get("/one/x").await.0 {
            StatusCode::OK => answered += 1,
            status => assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "it did not run"),
        }
    }
    assert_eq!(server.request_count(), answered);
    let most = 2 * (1 + start.elapsed().as_secs() as usize);
    assert!((2..=most).contains(&answered), "{answered} in {:?}", start.elapsed());
}

/// Guards against a limit that each host applies to itself, so that all hosts together exceed it.
#[tokio::test]
async fn only_owner_sends() {
    let (harness, server) = start_with_cold_target().await;
    let addr = ([127, 0, 0, 1], 9).into();
    let view = |name: &str| NodeView {
        name: name.into(),
        incarnation: 1,
        http: addr,
        rpc: addr,
        zone: "near".into(),
        usable: true,
    };
    let owns = |name: &String| {
        let owner = ownership::owner("near", "near", &[view("relay-1"), view(name)]);
        owner.is_some_and(|it| it.0 == 1)
    };
    let name = (2..).map(|it| format!("relay-{it}")).find(owns).unwrap();
    let zone = "near".to_owned();
    let node = Node { name, incarnation: 1, http: addr, rpc: addr, zone, leaving: false };
    harness.control.apply(Change::PutNode(node));
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(harness.get("/one/x").await.0, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(server.request_count(), 0);
}

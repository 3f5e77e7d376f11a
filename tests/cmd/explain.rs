use std::net::TcpListener;

use expect_test::expect;
use gentianpass::event::{Event, unix_ms};

use crate::{fake::FakeCluster, run};

/// Guards against events that are missing, out of order, or of another zone, request or target.
#[tokio::test]
async fn explain_subjects() {
    let fake = FakeCluster::start().await;
    let out = run(&fake, "explain --zone x").await;
    expect![[r#"
        TIME                      HOST  EVENT           REQUEST  TARGET  ZONE  CAUSE
        2026-12-04T07:00:00.000Z  n-x   lease_gained    -        -       x     first poll
        2026-12-04T07:00:00.500Z  c1    config_applied  -        -       x     zone/x: drain=true
        2026-12-04T07:00:00.750Z  n-x   rejected        r1       ld-0-x  x     the target drains

    "#]]
    .assert_eq(&out);
    let out = run(&fake, "explain --request r1 --json").await;
    let events: Vec<Event> = serde_json::from_str(&out).expect("JSON");
    assert_eq!(events.iter().map(|it| it.host.as_str()).collect::<Vec<_>>(), ["n-x"]);
    let out = run(&fake, "explain --target ld-0-y --since 90s").await;
    assert_eq!(out, "no events in the last 1m 30s\n");
}

/// Guards against omitting the events of a target's zone, which may explain what happened to the target.
#[tokio::test]
async fn explain_target_includes_zone() {
    let fake = FakeCluster::start().await;
    let out = run(&fake, "explain --target ld-0-x").await;
    expect![[r#"
        TIME                      HOST  EVENT           REQUEST  TARGET  ZONE  CAUSE
        2026-12-04T07:00:00.000Z  n-x   lease_gained    -        -       x     first poll
        2026-12-04T07:00:00.500Z  c1    config_applied  -        -       x     zone/x: drain=true
        2026-12-04T07:00:00.750Z  n-x   rejected        r1       ld-0-x  x     the target drains

    "#]]
    .assert_eq(&out);
}

/// Guards against a value of `--since` that is not passed on to every host.
#[tokio::test]
async fn explain_since() {
    let fake = FakeCluster::start().await;
    let before = unix_ms();
    run(&fake, "explain --zone x --since 2h").await;
    let allowed = before - 7_200_000..=unix_ms() - 7_200_000;
    let filters = &fake.lock_state().event_filters;
    assert_eq!(filters.len(), 3);
    assert!(filters.iter().all(|it| allowed.contains(&it.since_ms)), "{filters:?}");
}

/// Guards against an incomplete list without an error when an entry host is unreachable.
#[tokio::test]
async fn explain_entry_host_down() {
    let fake = FakeCluster::start().await;
    let unused_addr =
        TcpListener::bind("127.0.0.1:0").and_then(|it| it.local_addr()).expect("address");
    fake.add_node("n-z", "z", unused_addr);
    let out = run(&fake, "explain --zone x").await;
    assert!(out.contains("zone/x: drain=true"), "{out}");
    assert!(out.contains("error: the list is incomplete, no events from 127.0.0.1:"), "{out}");
}

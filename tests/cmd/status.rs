use std::net::TcpListener;

use expect_test::expect;

use crate::{fake::FakeCluster, run};

/// Guards against a status that omits drained zones, shards without a usable replica, or the load of targets.
#[tokio::test]
async fn status_drained_zone() {
    let fake = FakeCluster::start().await;
    fake.set_label("zone/x", "drain", "true");
    let out = run(&fake, "status").await;
    expect![[r#"
        revision 7, operator revision 7

        CONTROL HOST  ZONE  ROLE    RPC
        c1            x     leader  127.0.0.1:7001

        ZONE  STATE       ENTRY HOSTS  USABLE TARGETS
        x     drained     1            0 of 2
        y     in service  1            1 of 1

        GROUP           INDEX   VERSION  STATE       SHARDS HELD  SHARDS USABLE
        label-designer  labels  7        INCOMPLETE  2 of 2       1 of 2

        ENTRY HOST  ZONE  HTTP             STATE    LEASE MS  REVISION  OWNED TARGETS
        n-x         x     127.0.0.1:00001  drained  1800      7         2
        n-y         y     127.0.0.1:00002  serving  1800      7         1

        TARGET  ZONE  STATE        OWNER       LIMIT   IN FLIGHT  QUEUED  CONNECTIONS
        ld-0-x  x     zone drains  n-x -> n-y  2 of 3  1          0       4
        ld-0-y  y     in use       n-y         2 of 3  1          0       4
        ld-1-x  x     zone drains  n-x -> n-y  2 of 3  1          0       4

    "#]]
    .assert_eq(&out);
}

/// Guards against targets of other zones in the status of one zone.
#[tokio::test]
async fn status_one_zone() {
    let fake = FakeCluster::start().await;
    let out = run(&fake, "status --zone y --json").await;
    let report: serde_json::Value = serde_json::from_str(&out).expect("JSON");
    let targets = report["targets"].as_array().expect("targets");
    assert_eq!(targets.len(), 1);
    assert_eq!(targets[0]["load"]["limit"], 2);
}

/// Guards against success, or no output at all, if an entry host is unreachable.
#[tokio::test]
async fn status_entry_host_down() {
    let fake = FakeCluster::start().await;
    let unused_addr =
        TcpListener::bind("127.0.0.1:0").and_then(|it| it.local_addr()).expect("address");
    fake.add_node("n-z", "z", unused_addr);
    let out = run(&fake, "status").await;
    assert!(out.contains("NO ANSWER"), "{out}");
    assert!(out.contains("error: 1 of 3 entry hosts did not answer"), "{out}");
    assert!(out.contains("label-designer"), "{out}");
}

//! Polls of entry hosts, and peers that send invalid data.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    time::Duration,
};

use gentianpass::{
    control::apply_update,
    error::Kind,
    route::{Kind as RouteKind, Limits, Route, Service, Table, To},
    state::{Change, Config, Holding, Labels, Phase, Reply, Target},
    wire::control::Update,
};

use crate::cluster::{Cluster, ZONES, poll, submit, until};

/// Guards against an entry host whose configuration differs from the control hosts' after it applied their changes.
#[tokio::test(flavor = "multi_thread")]
async fn changes_lead_to_the_same_config() {
    let cluster = Cluster::start("");
    let client = cluster.client(&[2]);
    let mut config = Config::default();
    for round in 0..5 {
        let answer = cluster.set(round % 3, "caller", &format!("v{round}")).await;
        until("the entry host has the change", async || {
            match poll(&client, "entry", config.revision).await.ok()? {
                Update::Changes(changes) => {
                    for it in changes {
                        config.apply(&it.change, it.at_ms).expect("applicable");
                        assert_eq!(config.revision, it.revision);
                    }
                }
                Update::Config(it) => config = *it,
            }
            (config.revision >= answer.revision).then_some(())
        })
        .await;
    }
    let state = cluster.state(0).await.expect("state");
    assert_eq!((config.revision, config.labels.len()), (state.revision, state.labels.len()));
    let whole = poll(&client, "entry", u64::MAX).await.expect("whole configuration");
    let Update::Config(whole) = whole else { panic!("{whole:?}") };
    assert_eq!(*whole, config);
}

/// Guards against a host that is brought down, or whose log is filled, by a peer that sends invalid data.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_data_is_cut_off() {
    let cluster = Cluster::start("");
    cluster.leader(0).await;
    let invalid: [&[u8]; 3] = [&[0xff; 64], b"GET / HTTP/1.1\r\n\r\n", b"\0\0\0\x05hello"];
    for bytes in invalid {
        let before = cluster.log(0).matches("event=peer_rejected").count();
        let mut peer = std::net::TcpStream::connect(cluster.hosts[0].rpc).expect("connected");
        peer.write_all(bytes).expect("sent");
        peer.set_read_timeout(Some(crate::cluster::SOON)).expect("time limit");
        let read = peer.read(&mut [0; 1]);
        assert!(!matches!(read, Ok(1..)), "{read:?}");
        let count = until("the peer is logged", async || {
            let count = cluster.log(0).matches("event=peer_rejected").count();
            (count > before).then_some(count)
        });
        assert_eq!(count.await, before + 1);
    }
    assert!(cluster.state(0).await.is_some());
}

/// Guards against an answer that exceeds a frame, which would break the connection of every entry host.
#[tokio::test(flavor = "multi_thread")]
async fn large_config_is_refused_but_changes_go_on() {
    const TARGETS: u64 = 7;
    let cluster = Cluster::start("");
    let client = cluster.client(&[0]);
    for i in 0..TARGETS {
        let reply = submit(&client, Change::PutTarget(large_target(i))).await;
        assert_eq!(reply, Ok(Reply::Applied { revision: i + 1 }));
    }
    let mut config = Config::default();
    let mut answers = 0;
    while config.revision < TARGETS {
        let update = poll(&client, "entry", config.revision).await.expect("changes");
        let Update::Changes(changes) = update else { panic!("whole configuration") };
        assert!(!changes.is_empty());
        answers += 1;
        for it in changes {
            config.apply(&it.change, it.at_ms).expect("applicable");
        }
    }
    assert!(answers > 1, "one frame cannot hold all changes");
    let whole = poll(&client, "entry", u64::MAX).await.expect_err("too large");
    assert_eq!(whole.kind, Kind::TooLarge);
    let mut change = large_target(0);
    change.holdings.extend(large_target(1).holdings);
    let reply = client.submit(None, Change::PutTarget(change), Duration::ZERO).await;
    assert_eq!(reply.expect_err("too large").kind, Kind::TooLarge);
}

/// Guards against control hosts that run out of memory when all hosts start again at once and each gets all changes
/// since the first one.
#[tokio::test(flavor = "multi_thread")]
async fn whole_config_if_shorter_than_changes() {
    const ROUNDS: u64 = 20;
    let cluster = Cluster::start("");
    let client = cluster.client(&[0]);
    for round in 0..ROUNDS {
        let target = Target { slots: 1 + round as u32, ..large_target(0) };
        submit(&client, Change::PutTarget(target)).await.expect("applied");
    }
    let update = poll(&client, "entry", 0).await.expect("answer");
    let Update::Config(config) = update else { panic!("all changes") };
    assert_eq!((config.revision, config.targets.len()), (ROUNDS, 1));
    let Update::Changes(last) = poll(&client, "entry", ROUNDS - 1).await.expect("answer") else {
        panic!("the whole configuration for one change");
    };
    assert_eq!(last.len(), 1);
}

/// Guards against a change of one route that is sent to all hosts as a table of 1,600 routes: beside a series of such
/// changes polls are no longer confirmed in time.
#[tokio::test(flavor = "multi_thread")]
async fn changed_route_is_short() {
    const MAX_BYTES: u64 = 4 << 10;
    let cluster = Cluster::start("");
    let client = cluster.client(&[0]);
    let mut table = large_table();
    submit(&client, Change::PutRoutes(Box::new(table.clone()))).await.expect("applied");
    let mut config = Config::default();
    let first = poll(&client, "entry", 0).await.expect("answer");
    apply_update(&mut config, first).expect("first table");
    (table.version, table.routes[800].timeout_ms) = (2, 999);
    submit(&client, Change::PutRoutes(Box::new(table.clone()))).await.expect("applied");
    let second = poll(&client, "entry", config.revision).await.expect("answer");
    let bytes = bincode::serialized_size(&second).expect("serializable");
    assert!(bytes <= MAX_BYTES, "{bytes} bytes");
    apply_update(&mut config, second).expect("second table");
    assert_eq!(config.routes, table);
    let whole = poll(&client, "entry", u64::MAX).await.expect("whole configuration");
    let Update::Config(whole) = whole else { panic!("{whole:?}") };
    assert_eq!(*whole, config);
}

fn large_table() -> Table {
    let route = |number: u32| Route {
        name: format!("route-{number}"),
        host: "labels.example".into(),
        prefix: format!("/{number}/"),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 100,
        priority: 1,
        max_attempts: 2,
        homes: Vec::new(),
        to: To::Service("s".into()),
    };
    let services = BTreeMap::from([("s".to_owned(), Service::default())]);
    let (document, limits) = (String::new(), Limits::default());
    Table { version: 1, document, routes: (0..1_600).map(route).collect(), services, limits }
}

/// A target whose announcement has nearly 200 KB.
fn large_target(number: u64) -> Target {
    let holding = |i: u32| {
        let index = format!("{number}-{i:-<100}");
        Holding { index, version: 1, shard: 0, shards: 1 }
    };
    Target {
        name: format!("target-{number}"),
        incarnation: 1,
        addr: ([127, 0, 0, 1], 9).into(),
        zone: ZONES[0].into(),
        labels: Labels::new(),
        slots: 1,
        warm_up: 1,
        connections: 1,
        phase: Phase::Serving,
        holdings: (0..1_700).map(holding).collect(),
    }
}

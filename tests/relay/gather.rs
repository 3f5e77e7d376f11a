//! Queries over several shards.

use std::time::{Duration, Instant};

use gentianpass::{
    relay::merge_records,
    route::{PPM_SCALE, Route},
};
use hyper::StatusCode;
use proptest::prelude::*;

use crate::support::{Behaviour, Harness, StubTarget, gather, record};

/// Shards `a` and `b` with two targets each. The first target of each is in the relay's own zone.
async fn shards(route: Route) -> (Harness, Vec<StubTarget>) {
    let harness = Harness::start().await;
    let mut servers = Vec::new();
    for (service, zone, number) in
        [("a", "near", 1), ("b", "near", 2), ("a", "far", 3), ("b", "far", 4)]
    {
        let body = [record(number), record(number + 10), vec![0xff; 5]].concat();
        let server = StubTarget::start(Behaviour::Answer(body)).await;
        harness.announce(&format!("{service}-{zone}"), service, zone, server.addr);
        servers.push(server);
    }
    harness.put_routes(vec![route]).await;
    (harness, servers)
}

fn all_shards() -> Route {
    gather(&["a", "b"], PPM_SCALE)
}

#[tokio::test]
async fn records_merged() {
    let (harness, _servers) = shards(all_shards()).await;
    let (status, headers, body) = harness.get("/all/x").await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(headers["missing"], "0");
    let mut signatures: Vec<_> = headers["signatures"].to_str().unwrap().split(", ").collect();
    signatures.sort_unstable();
    assert_eq!(signatures, ["signature-of-a-near", "signature-of-b-near"]);
    assert_eq!(body, [record(12), record(11), record(2)].concat());
}

#[tokio::test]
async fn silent_shard_hedged() {
    let (harness, servers) = shards(all_shards()).await;
    *servers[0].behaviour.lock() = Behaviour::Silent;
    let (status, headers, _) = harness.get("/all/x").await;
    assert_eq!((status, headers["missing"].to_str().unwrap()), (StatusCode::OK, "0"));
    assert_eq!(servers[2].request_count(), 1);
}

/// Announces shards `a`, whose only target does not listen, and `b`, which answers.
async fn with_down_shard(min_coverage: u64) -> (Harness, StubTarget, std::net::SocketAddr) {
    let harness = Harness::start().await;
    let good = StubTarget::start(Behaviour::Answer(record(2))).await;
    let down = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    harness.announce("a-1", "a", "near", down);
    harness.announce("b-1", "b", "near", good.addr);
    harness.put_routes(vec![gather(&["a", "b"], min_coverage)]).await;
    (harness, good, down)
}

/// Guards against a response that waits until the objective for a shard that cannot be reached.
#[tokio::test]
async fn down_shard_given_up() {
    let (harness, _good, _down) = with_down_shard(PPM_SCALE / 2).await;
    for _ in 0..4 {
        let start = Instant::now();
        let (status, headers, _) = harness.get("/all/x").await;
        assert_eq!((status, headers["missing"].to_str().unwrap()), (StatusCode::OK, "1"));
        assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
    }
}

/// Guards against a shard that is given up although the response needs it and its target returns.
#[tokio::test]
async fn needed_down_shard_awaited() {
    let (harness, _good, down) = with_down_shard(PPM_SCALE).await;
    let request = harness.get("/all/x");
    let target = async {
        tokio::time::sleep(Duration::from_millis(120)).await;
        StubTarget::start_at(down, Behaviour::Answer(record(1))).await
    };
    let ((status, headers, _), _target) = futures::join!(request, target);
    assert_eq!((status, headers["missing"].to_str().unwrap()), (StatusCode::OK, "0"));
}

/// Guards against a response that has enough coverage but waits for another shard beyond the objective.
#[tokio::test]
async fn partial_answer_at_objective() {
    let (harness, servers) = shards(gather(&["a", "b"], PPM_SCALE / 2)).await;
    for silent in [&servers[0], &servers[2]] {
        *silent.behaviour.lock() = Behaviour::Silent;
    }
    let start = Instant::now();
    let (status, headers, body) = harness.get("/all/x").await;
    assert!(start.elapsed() < Duration::from_millis(1_000), "{:?}", start.elapsed());
    assert_eq!((status, headers["missing"].to_str().unwrap()), (StatusCode::OK, "1"));
    assert_eq!(body, [record(12), record(2)].concat(), "only the covered shards");
}

/// Guards against status 503, which says that nothing ran, although a shard has run the request.
#[tokio::test]
async fn refusal_after_shard_ran() {
    let (harness, servers) = shards(gather(&["a", "b", "none"], PPM_SCALE)).await;
    let (status, _, _) = harness.get("/all/x").await;
    let ran = servers.iter().any(|it| it.request_count() > 0);
    let says_not_run = status == StatusCode::SERVICE_UNAVAILABLE;
    assert!(!(ran && says_not_run), "{status}");
    assert!(!status.is_success());
}

#[tokio::test]
async fn failed_shard_not_covered() {
    let (harness, servers) = shards(gather(&["a", "b"], PPM_SCALE / 2)).await;
    for failing in [&servers[0], &servers[2]] {
        *failing.behaviour.lock() = Behaviour::Fail;
    }
    let (status, headers, _) = harness.get("/all/x").await;
    assert_eq!((status, headers["missing"].to_str().unwrap()), (StatusCode::OK, "1"));
    assert_eq!(headers["signatures"], "signature-of-b-near");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    /// Compares with a naive implementation that copies all records and sorts them.
    #[test]
    fn merge_matches_naive(parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..100), 0..6), top in 0usize..20) {
        let mut records: Vec<Vec<u8>> = Vec::new();
        for part in &parts {
            for at in 0..part.len() / 16 {
                records.push(part[at * 16..(at + 1) * 16].to_vec());
            }
        }
        records.sort();
        records.reverse();
        let expected: Vec<u8> = records.into_iter().take(top).flatten().collect();
        prop_assert_eq!(merge_records(parts.iter().map(|it| &it[..]), top), expected);
    }
}

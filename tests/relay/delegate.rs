//! Shards that are delegated to a relay in the zone of their targets.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use gentianpass::{
    route::{PPM_SCALE, Route},
    state::{Change, Node},
};
use hyper::StatusCode;
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::support::{Behaviour, Bench, PATIENCE, Server, gather, record};

/// A relay that takes connections and never answers is replaced within this time: the limit for taking a delegation is
/// 40 ms and a round trip.
const SOON: Duration = Duration::from_millis(500);

/// One shard with a target beside the caller's relay, three with targets in the next zone of the region.
async fn shards(route: Route) -> (Bench, Vec<Server>) {
    let bench = Bench::start().await;
    let mut servers = Vec::new();
    for (service, zone, number) in
        [("a", "near", 1), ("b", "beside", 2), ("c", "beside", 3), ("d", "beside", 4)]
    {
        let body = [record(number), record(number + 10)].concat();
        let server = Server::start(Behaviour::Answer(body)).await;
        bench.announce(service, service, zone, server.addr);
        servers.push(server);
    }
    bench.route(vec![route]).await;
    (bench, servers)
}

fn all() -> Route {
    gather(&["a", "b", "c", "d"], PPM_SCALE)
}

/// A relay beside that only this address belongs to.
fn announce_relay(bench: &Bench, rpc: SocketAddr) {
    let node = Node {
        name: "relay-2".into(),
        incarnation: 1,
        http: rpc,
        rpc,
        zone: "beside".into(),
        leaving: false,
    };
    bench.control.apply(Change::PutNode(node));
}

fn signatures(headers: &hyper::HeaderMap) -> Vec<&str> {
    let mut signatures: Vec<_> = headers["signatures"].to_str().unwrap().split(", ").collect();
    signatures.sort_unstable();
    signatures
}

const SIGNATURES: [&str; 4] =
    ["signature-of-a", "signature-of-b", "signature-of-c", "signature-of-d"];

#[tokio::test]
async fn parts_merged() {
    let (bench, servers) = shards(all()).await;
    let (_, delegate) = bench.start_beside().await;
    let (status, headers, body) = bench.get("/all/x?y=z").await;
    assert_eq!((status, headers["missing"].to_str().unwrap()), (StatusCode::OK, "0"));
    assert_eq!(signatures(&headers), SIGNATURES);
    assert_eq!(body, [record(14), record(13), record(12)].concat());
    assert!(servers.iter().all(|it| it.served() == 1));
    let asked = |relay: &gentianpass::relay::Host| {
        let metrics = relay.metrics();
        let line = metrics.lines().find(|it| it.contains("exchanges_total{outcome=\"answered\"}"));
        line.map_or(0, |it| it.rsplit(' ').next().unwrap().parse().unwrap())
    };
    assert_eq!((asked(&bench.relay), asked(&delegate)), (1, 3));
    let sent = servers[1].headers.lock()[0].clone();
    assert_eq!(
        (&sent["request-id"], &sent["expected"]),
        (&"q-1".parse().unwrap(), &"b".parse().unwrap())
    );
    let left: u64 = sent["deadline"].to_str().unwrap().parse().unwrap();
    assert!((2_000..=3_000).contains(&left), "{left}");
}

/// Guards against a delegate that holds all its parts back for one that does not arrive.
#[tokio::test]
async fn silent_target_partial() {
    let (bench, servers) = shards(gather(&["a", "b", "c", "d"], PPM_SCALE / 2)).await;
    let _delegate = bench.start_beside().await;
    *servers[3].behaviour.lock() = Behaviour::Silent;
    let start = Instant::now();
    let (status, headers, body) = bench.get("/all/x").await;
    assert!(start.elapsed() < Duration::from_millis(1_000), "{:?}", start.elapsed());
    assert_eq!((status, headers["missing"].to_str().unwrap()), (StatusCode::OK, "1"));
    assert_eq!(signatures(&headers), SIGNATURES[..3]);
    assert_eq!(body, [record(13), record(12), record(11)].concat());
}

/// Guards against an answer without the shards that came after the time to stop, although it needs them.
#[tokio::test]
async fn late_part_waited_for() {
    let (bench, servers) = shards(all()).await;
    let _delegate = bench.start_beside().await;
    *servers[2].behaviour.lock() = Behaviour::Slow(Duration::from_millis(1_300), record(9));
    let (status, headers, _) = bench.get("/all/x").await;
    assert_eq!((status, headers["missing"].to_str().unwrap()), (StatusCode::OK, "0"));
    assert_eq!(signatures(&headers), SIGNATURES);
}

/// Guards against shards that are lost because nobody listens at the delegate.
#[tokio::test]
async fn unreachable_delegate() {
    let (bench, servers) = shards(all()).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    announce_relay(&bench, listener.local_addr().unwrap());
    drop(listener);
    sleep(Duration::from_millis(200)).await;
    let (status, headers, _) = bench.get("/all/x").await;
    assert_eq!((status, signatures(&headers)), (StatusCode::OK, SIGNATURES.to_vec()));
    assert!(servers.iter().all(|it| it.served() == 1));
}

/// Guards against requests that wait for a delegate that is frozen: the first one waits for a moment, the next ones go
/// directly.
#[tokio::test]
async fn silent_delegate() {
    let (bench, _servers) = shards(all()).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    announce_relay(&bench, listener.local_addr().unwrap());
    sleep(Duration::from_millis(200)).await;
    for limit in [SOON, SOON / 2] {
        let start = Instant::now();
        let (status, headers, _) = bench.get("/all/x").await;
        assert_eq!((status, signatures(&headers)), (StatusCode::OK, SIGNATURES.to_vec()));
        assert!(start.elapsed() < limit, "{:?}", start.elapsed());
    }
}

/// Guards against parts of two tables of routes in one answer.
#[tokio::test]
async fn other_version_refused() {
    let (bench, servers) = shards(all()).await;
    let (_, delegate) = bench.start_beside().await;
    // The delegate keeps the table that it has, the other relay gets the next one.
    bench.control.stop_updates_of("relay-2");
    bench.route(vec![all()]).await;
    let (status, headers, _) = bench.get("/all/x").await;
    assert_eq!((status, signatures(&headers)), (StatusCode::OK, SIGNATURES.to_vec()));
    assert!(servers.iter().all(|it| it.served() == 1));
    assert!(!delegate.metrics().contains("exchanges_total{outcome=\"answered\"}"));
}

/// Guards against targets that work for a caller that has left.
#[tokio::test]
async fn caller_leaves() {
    let (bench, servers) = shards(all()).await;
    let _delegate = bench.start_beside().await;
    servers.iter().for_each(|it| *it.behaviour.lock() = Behaviour::Silent);
    let request = async { bench.get("/all/x").await };
    let left = tokio::time::timeout(Duration::from_millis(150), request).await;
    assert!(left.is_err() && servers[1].served() > 0);
    let open = || servers.iter().map(Server::open).sum::<usize>();
    bench.until(|| open() == 0).await;
}

/// Guards against a delegate that runs what a relay has given up while the delegate was frozen.
#[tokio::test]
async fn given_up_before_read() {
    let (bench, servers) = shards(all()).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    announce_relay(&bench, listener.local_addr().unwrap());
    sleep(Duration::from_millis(200)).await;
    // What the relay sends to the stand-in, with the end of its connection, reaches a real delegate afterwards.
    let recorded = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.unwrap();
        bytes
    });
    assert_eq!(bench.get("/all/x").await.0, StatusCode::OK);
    let recorded = tokio::time::timeout(PATIENCE, recorded).await.unwrap().unwrap();
    let served = || servers.iter().map(Server::served).sum::<usize>();
    let before = served();
    let _delegate = bench.start_beside().await;
    let mut stream = TcpStream::connect(bench.control.rpc_of("relay-2")).await.unwrap();
    tokio::io::AsyncWriteExt::write_all(&mut stream, &recorded).await.unwrap();
    drop(stream);
    sleep(Duration::from_millis(200)).await;
    assert_eq!(served(), before);
}

//! Connections that callers keep, of which there are more than the relay may have open.

use std::{
    net::IpAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::{FutureExt, future::join_all};
use gentianpass::{
    control::Client,
    descriptors,
    inbound::{Activity, Admission, Connections, LogLimit, Slot, admit},
    relay::IdleConnections,
    route::Kind,
};
use hyper::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use crate::support::{Behaviour, Harness, StubTarget, record, single};

/// The limit of descriptors in the settings, of which callers may use six tenths.
const MAX_DESCRIPTORS: u64 = 40;
const MAX_CALLERS: usize = 24;

/// Guards against a choice that closes a connection with a running request, or the one that was used last, and against a
/// new connection that is served beyond the bound while the others are busy or do not close.
#[test]
fn admit_full() {
    let start = Instant::now();
    let idle = |ms| Activity::Idle(start + Duration::from_millis(ms));
    let choose = |it: &[Activity]| admit(it.iter().copied().enumerate(), 3);
    assert_eq!(choose(&[idle(1), Activity::Busy]), Admission::Admit);
    assert_eq!(choose(&[idle(5), idle(3), idle(4)]), Admission::Replace(1));
    assert_eq!(choose(&[Activity::Busy, idle(9), Activity::Busy]), Admission::Replace(1));
    assert_eq!(choose(&[Activity::Busy; 3]), Admission::Refuse);
    assert_eq!(choose(&[Activity::Closing, idle(1), idle(2)]), Admission::Admit);
    assert_eq!(choose(&[Activity::Closing, idle(1), idle(2), idle(3)]), Admission::Refuse);
}

/// Guards against a crowd whose connections close those of other processes of the system.
#[test]
fn admit_from_crowd() {
    let connections = Arc::new(Connections::new("test", 4));
    let [process, other, crowd] = [1, 2, 3].map(|it| IpAddr::from([10, 0, 0, it]));
    let start = Instant::now();
    let admit = |sender, ms| connections.admit_from(sender, start + Duration::from_millis(ms));
    let is_closing = |slot: &Slot| slot.close_requested().now_or_never().is_some();
    let kept = [process, other].map(|it| admit(it, 0).unwrap());
    let first = [1, 2].map(|it| admit(crowd, it).unwrap());
    let next = admit(crowd, 3).unwrap();
    assert!(is_closing(&first[0]) && !is_closing(&first[1]));
    assert!(!kept.iter().any(is_closing));
    // A process that connects again gets the place of one of the crowd.
    let again = admit(process, 4).unwrap();
    assert!(is_closing(&first[1]));
    assert!(![&next, &again].into_iter().chain(&kept).any(is_closing));
}

/// Guards against a log with a line for each failure: a relay without descriptors cannot accept a connection a hundred
/// times a second.
#[test]
fn record_each_10_ms() {
    let start = Instant::now();
    let mut limit = LogLimit::default();
    let lines = (0..250).filter_map(|it| limit.record(start + Duration::from_millis(10 * it)));
    assert_eq!(lines.collect::<Vec<_>>(), [1, 100, 100]);
}

async fn send(stream: &mut TcpStream, path: &str) {
    let head = format!(
        "GET {path} HTTP/1.1\r\nhost: labels.example\r\nrequest-id: q\r\ndeadline: 3000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
}

/// Reads what the relay sends until nothing follows for some time. Whether the connection is still open is the second
/// value.
async fn received(stream: &mut TcpStream) -> (String, bool) {
    let mut text = Vec::new();
    loop {
        match timeout(Duration::from_millis(200), stream.read_buf(&mut text)).await {
            Ok(Ok(0) | Err(_)) => return (String::from_utf8(text).unwrap(), false),
            Ok(Ok(_)) => (),
            Err(_) => return (String::from_utf8(text).unwrap(), true),
        }
    }
}

async fn start() -> (Harness, StubTarget) {
    let harness = Harness::start_with(|it| it.max_descriptors = MAX_DESCRIPTORS).await;
    let target = StubTarget::start(Behaviour::Answer(record(1))).await;
    for i in 0..8 {
        harness.announce(&format!("a{i}"), "s", "near", target.addr);
    }
    harness.put_routes(vec![single(Kind::Idempotent)]).await;
    (harness, target)
}

/// Guards against callers that keep connections, used or not, until the relay has no descriptor for a control host.
#[tokio::test]
async fn kept_connections_bounded() {
    let (harness, _target) = start().await;
    let mut kept = Vec::new();
    for i in 0..3 * MAX_CALLERS {
        let mut stream = TcpStream::connect(harness.addr).await.unwrap();
        if i % 2 == 0 {
            send(&mut stream, "/one/x").await;
            let mut text = [0; 12];
            stream.read_exact(&mut text).await.unwrap();
            assert_eq!(&text, b"HTTP/1.1 200", "request {i}");
        }
        kept.push(stream);
    }
    let open = join_all(kept.iter_mut().map(received)).await.into_iter().map(|(_, it)| it);
    let open: Vec<_> = open.enumerate().filter_map(|(i, it)| it.then_some(i)).collect();
    assert_eq!(open, Vec::from_iter(2 * MAX_CALLERS..3 * MAX_CALLERS), "those used last");
    assert_eq!(harness.get("/one/x").await.0, StatusCode::OK);
}

/// Guards against a running request that is cut off to make room, and against a caller that waits while there is none.
#[tokio::test]
async fn running_requests_kept() {
    let (harness, target) = start().await;
    let slow = Behaviour::Slow(Duration::from_millis(1_500), record(2));
    *target.behaviour.lock() = slow;
    let mut running = Vec::new();
    for _ in 0..MAX_CALLERS {
        let mut stream = TcpStream::connect(harness.addr).await.unwrap();
        send(&mut stream, "/one/x").await;
        running.push(stream);
    }
    sleep(Duration::from_millis(200)).await;
    let mut refused = TcpStream::connect(harness.addr).await.unwrap();
    let (text, is_open) = received(&mut refused).await;
    assert!(text.is_empty() && !is_open, "not refused: {text}");
    sleep(Duration::from_millis(1_500)).await;
    for (text, is_open) in join_all(running.iter_mut().map(received)).await {
        assert!(text.starts_with("HTTP/1.1 200") && is_open, "{text}");
    }
    assert_eq!(harness.get("/one/x").await.0, StatusCode::OK);
}

/// Guards against callers whose heads do not end and keep others out until they time out.
#[tokio::test]
async fn unfinished_heads_make_room() {
    let (harness, _target) = start().await;
    let mut kept = Vec::new();
    for _ in 0..3 * MAX_CALLERS {
        let mut stream = TcpStream::connect(harness.addr).await.unwrap();
        stream.write_all(b"GET /one/x HTTP/1.1\r\nhost: labels").await.unwrap();
        kept.push(stream);
        // The relay has read the bytes before it admits the next one.
        sleep(Duration::from_millis(2)).await;
    }
    assert_eq!(harness.get("/one/x").await.0, StatusCode::OK);
    let open = join_all(kept.iter_mut().map(received)).await;
    assert!(open.iter().all(|(text, _)| text.is_empty()));
    assert!(open.iter().filter(|(_, is_open)| *is_open).count() < MAX_CALLERS);
}

/// Guards against connections that stay open for ever below the one that is reused again and again, and against a number
/// without a bound after a burst.
#[test]
fn idle_connections_reused() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let conns: Vec<_> = (0..4).map(Arc::new).collect();
    let mut idle = IdleConnections::new(3);
    for (i, conn) in conns.iter().enumerate() {
        idle.put(conn.clone(), at(100 + i as u64), at(0));
    }
    let open = || conns.iter().map(|it| Arc::strong_count(it) - 1).collect::<Vec<_>>();
    assert_eq!(open(), [0, 1, 1, 1]);
    let newest = idle.take(at(102)).unwrap();
    assert_eq!((*newest, open()), (3, vec![0, 0, 0, 1]));
    idle.put(newest, at(200), at(150));
    assert!(idle.take(at(200)).is_none());
    assert_eq!(open(), [0; 4]);
}

/// Guards against connections of relays that are gone or no longer use them, each of which held a descriptor for ever.
#[tokio::test]
async fn peer_connection_unused() {
    let harness = Harness::start().await;
    harness.put_routes(vec![single(Kind::Idempotent)]).await;
    let mut stream = TcpStream::connect(harness.control.rpc_addr("relay-1")).await.unwrap();
    let closed = timeout(Duration::from_secs(25), stream.read(&mut [0])).await;
    assert!(matches!(closed, Ok(Ok(0))), "still open");
}

/// Guards against a log that does not tell why a control host cannot be reached.
#[tokio::test]
async fn connect_refused_cause() {
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let err = Client::new(vec![closed]).members().await.unwrap_err();
    assert!(err.message.ends_with("Connection refused (os error 111)"), "{}", err.message);
}

/// Guards against a count that does not follow what is open.
#[test]
fn open_count_files() {
    let files: Vec<_> = (0..500).map(|_| std::fs::File::open("/dev/null").unwrap()).collect();
    assert!(descriptors::open_count().is_some_and(|it| it >= files.len()));
}

//! What requests may hold: the decision which of them is refused, and the reception of bodies.

mod endpoints;
mod frames;

use std::{
    convert::Infallible,
    net::{IpAddr, Ipv4Addr},
    sync::Arc,
};

use bytes::Bytes;
use futures::{StreamExt, stream};
use gentianpass::{
    memory::{
        Account, Holding, Progress, Refusal, SMALL_BYTES, Stage, choose, collect, receive_bytes,
    },
    metric::Registry,
};
use http_body_util::{Full, StreamBody};
use hyper::body::{Body, Frame};
use tokio::sync::Notify;

const MAX_BYTES: usize = 1 << 20;

const MAX_BODY_BYTES: usize = 256 << 10;

fn caller(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

fn account() -> Arc<Account> {
    Arc::new(Account::new(MAX_BYTES, &Registry::default()))
}

/// A body that sends these chunks and then does not end.
fn unfinished(chunks: Vec<Vec<u8>>) -> impl Body<Data = Bytes, Error = Infallible> {
    let frames = chunks.into_iter().map(|it| Ok(Frame::data(Bytes::from(it))));
    StreamBody::new(Box::pin(stream::iter(frames).chain(stream::pending())))
}

/// A body that sends these chunks and ends.
fn finished(chunks: Vec<Vec<u8>>) -> impl Body<Data = Bytes, Error = Infallible> {
    let frames = chunks.into_iter().map(|it| Ok(Frame::data(Bytes::from(it))));
    StreamBody::new(Box::pin(stream::iter(frames)))
}

#[test]
fn choose_order() {
    let holding =
        |key, from, order, stage, bytes| Holding { key, caller: caller(from), order, stage, bytes };
    use Stage::{Complete, Unfinished, Untaken};
    let a = [holding("a1", 1, 1, Unfinished, 30), holding("a2", 1, 3, Unfinished, 30)];
    let b = holding("b", 2, 2, Unfinished, 50);
    let c = holding("c", 3, 0, Complete, 900);
    let d = [holding("d1", 4, 4, Untaken, 100), holding("d2", 4, 5, Untaken, 100)];
    let e = holding("e", 4, 2, Unfinished, 1);
    let cases = [
        ("the newest body of the caller that holds most", vec![a[0], a[1], b], Some("a2")),
        ("whatever their order", vec![a[1], b, a[0]], Some("a2")),
        ("complete requests do not count", vec![a[0], b, c], Some("b")),
        ("complete requests only", vec![c], None),
        ("the oldest response", vec![a[0], d[0], d[1]], Some("d1")),
        ("bodies before responses", vec![d[0], e, d[1]], Some("e")),
    ];
    for (what, holdings, expected) in cases {
        assert_eq!(choose(&holdings).map(|at| holdings[at].key), expected, "{what}");
    }
}

#[test]
fn progress_limits() {
    let last_tick = |bytes_per_tick: usize| {
        let mut progress = Progress::default();
        (1..100).find(|tick| !progress.tick(tick * bytes_per_tick))
    };
    assert_eq!(last_tick(0), Some(5), "no growth");
    assert_eq!(last_tick(1_023), Some(5), "too slow");
    assert_eq!(last_tick(1_024), Some(15), "the longest time");
}

#[tokio::test]
async fn collect_whole_body() {
    let account = account();
    let data = vec![7; 100_000];
    let chunks = data.chunks(1).map(<[u8]>::to_vec).collect();
    let body = collect(&account, caller(1), finished(chunks), MAX_BODY_BYTES).await.unwrap();
    assert_eq!(body, data);
    assert!((100_000..=200_000).contains(&account.held()), "{}", account.held());
    let copy = body.clone();
    drop(body);
    assert!(account.held() > 0, "a copy is held");
    drop(copy);
    assert_eq!(account.held(), 0);
}

#[tokio::test]
async fn collect_too_long() {
    let account = account();
    let announced = Full::new(Bytes::from(vec![0; MAX_BODY_BYTES + 1]));
    let result = collect(&account, caller(1), announced, MAX_BODY_BYTES).await;
    assert_eq!(result, Err(Refusal::BodyTooLong));
    let sent = finished(vec![vec![0; MAX_BODY_BYTES], vec![0]]);
    let result = collect(&account, caller(1), sent, MAX_BODY_BYTES).await;
    assert_eq!(result, Err(Refusal::BodyTooLong));
    let longest = finished(vec![vec![0; MAX_BODY_BYTES]]);
    assert!(collect(&account, caller(1), longest, MAX_BODY_BYTES).await.is_ok());
    assert_eq!(account.held(), 0);
}

/// Guards against a flood that grows without bound, and against bodies of other callers that are refused because of it.
#[tokio::test]
async fn collect_beside_flood() {
    let account = account();
    let flood: Vec<_> = (0..20)
        .map(|_| {
            let account = account.clone();
            let body = unfinished(vec![vec![0; MAX_BODY_BYTES - 1]]);
            tokio::spawn(async move { collect(&account, caller(1), body, MAX_BODY_BYTES).await })
        })
        .collect();
    tokio::task::yield_now().await;
    for length in [SMALL_BYTES, 10 * SMALL_BYTES] {
        let body = finished(vec![vec![0; length]]);
        let result = collect(&account, caller(2), body, MAX_BODY_BYTES).await;
        assert_eq!(result.map(|it| it.len()), Ok(length));
    }
    tokio::task::yield_now().await;
    assert!(account.held() <= MAX_BYTES, "{}", account.held());
    let refused = flood.iter().filter(|it| it.is_finished()).count();
    assert!((16..20).contains(&refused), "{refused}");
    for task in flood {
        task.abort();
    }
}

/// Guards against responses that are held for callers that do not take them.
#[tokio::test]
async fn hold_response_untaken() {
    let account = account();
    let response = || Bytes::from(vec![0; 400 << 10]);
    let connections: Vec<_> = (0..3).map(|_| Arc::<Notify>::default()).collect();
    let held: Vec<_> =
        connections.iter().map(|it| account.hold_response(caller(1), response(), it)).collect();
    connections[0].notified().await;
    drop(held);
    assert_eq!(account.held(), 0);
    let small = account.hold_response(caller(1), vec![0; SMALL_BYTES].into(), &connections[0]);
    assert_eq!((account.held(), small.len()), (0, SMALL_BYTES));
}

#[test]
fn receive_bytes_bounds() {
    assert_eq!(receive_bytes(260, 2_340), 17_476);
    assert_eq!(receive_bytes(260, 20), 32 << 10);
    assert_eq!(receive_bytes(32, 10_000), 8 << 10);
    assert_eq!(receive_bytes(64, 0), 32 << 10);
}

//! Responses that are not what a sound target sends: second copies, bodies that break off, and bytes without end.

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use gentianpass::{
    relay::{BufferError, Buffers, MAX_BUFFERED_BYTES, ResponseBuffer},
    route::{Kind, PPM_SCALE},
};
use hyper::{Request, StatusCode};
use tokio::time::sleep;

use crate::support::{
    Behaviour, Harness, ScriptedTarget, Step, StubTarget, gather, record, response_bytes, single,
};

/// A scripted target in the relay's zone, and a target in another region that answers.
async fn with_script(
    kind: Kind,
    script: impl Fn(&str, usize) -> Vec<Step> + Send + Sync + 'static,
) -> (Harness, ScriptedTarget, StubTarget) {
    let harness = Harness::start().await;
    let near = ScriptedTarget::start(script).await;
    let far = StubTarget::start(Behaviour::Answer(record(9))).await;
    harness.announce("near", "s", "near", near.addr);
    harness.announce("far", "s", "far", far.addr);
    harness.put_routes(vec![single(kind)]).await;
    (harness, near, far)
}

/// A target whose next response on a connection is preceded by a copy of the first one.
async fn second_copy(copy_has_id: bool) {
    let (harness, _near, _far) = with_script(Kind::Idempotent, move |id, number| {
        let own = Step::Send(response_bytes(Some(id), &record(number as u8)));
        match number {
            0 => vec![own],
            _ => {
                let id = copy_has_id.then_some("a");
                vec![Step::Send(response_bytes(id, &record(0))), own]
            }
        }
    })
    .await;
    let (_, _, first) = harness.send_as("a", Request::get("/one/x")).await;
    assert_eq!(first, record(0));
    sleep(Duration::from_millis(50)).await;
    let (status, headers, body) = harness.send_as("b", Request::get("/one/y")).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(headers["request-id"], "b");
    assert_ne!(body, record(0), "the response to another request");
}

#[tokio::test]
async fn second_copy_with_id() {
    second_copy(true).await;
}

/// Guards against a late second copy that only the missing id gives away.
#[tokio::test]
async fn second_copy_without_id() {
    second_copy(false).await;
}

#[tokio::test]
async fn second_copy_while_idle() {
    let (harness, _near, far) = with_script(Kind::Idempotent, |id, number| {
        let response = response_bytes(Some(id), &record(number as u8));
        vec![
            Step::Send(response.clone()),
            Step::Pause(Duration::from_millis(40)),
            Step::Send(response),
        ]
    })
    .await;
    for number in 0..3 {
        let id = format!("q-{number}");
        let (_, headers, body) = harness.send_as(&id, Request::get("/one/x")).await;
        assert_eq!((headers["request-id"].to_str().unwrap(), body), (&*id, record(number).into()));
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(far.request_count(), 0);
}

/// Guards against a late copy of a refusal that is taken for the refusal of the next send of the same request, which
/// would then be reported as not run although it has run.
#[tokio::test]
async fn second_copy_of_refusal() {
    let harness = Harness::start().await;
    let target = ScriptedTarget::start(|id, number| {
        let refusal = format!(
            "HTTP/1.1 503 X\r\nnot-run: 1\r\nrequest-id: {id}\r\ncontent-length: 0\r\n\r\n"
        );
        let refusal = Step::Send(refusal.into_bytes());
        match number {
            0 => vec![refusal],
            _ => vec![refusal, Step::Pause(Duration::from_millis(20)), Step::Close],
        }
    })
    .await;
    harness.announce("near", "s", "near", target.addr);
    harness.put_routes(vec![single(Kind::AtMostOnce)]).await;
    harness.get("/one/x").await;
    let (requests, connections) =
        (target.requests.load(Ordering::SeqCst), target.connections.load(Ordering::SeqCst));
    assert!(requests > 1, "the refused request is sent again");
    assert_eq!(connections, requests, "no connection carries the same id twice");
}

/// Guards against a refusal of unknown origin that is reported as not run.
#[tokio::test]
async fn refusal_without_id_on_reused_connection() {
    let harness = Harness::start().await;
    let target = ScriptedTarget::start(|id, number| match number {
        0 => vec![Step::Send(response_bytes(Some(id), &record(1)))],
        _ => {
            vec![Step::Send(b"HTTP/1.1 503 X\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n".to_vec())]
        }
    })
    .await;
    harness.announce("near", "s", "near", target.addr);
    harness.put_routes(vec![single(Kind::AtMostOnce)]).await;
    assert_eq!(harness.get("/one/x").await.0, StatusCode::OK);
    sleep(Duration::from_millis(50)).await;
    assert_eq!(harness.get("/one/x").await.0, StatusCode::BAD_GATEWAY);
    assert_eq!(target.connections.load(Ordering::SeqCst), 1);
}

/// Guards against a response without a signature whose connection is used again.
#[tokio::test]
async fn bad_answer_closes_connection() {
    let (harness, near, _far) = with_script(Kind::Idempotent, |id, _| {
        let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\ncontent-length: 2\r\n\r\nxx");
        vec![Step::Send(head.into_bytes())]
    })
    .await;
    for _ in 0..2 {
        let (status, headers, _) = harness.get("/one/x").await;
        assert_eq!(
            (status, &headers["signature"]),
            (StatusCode::OK, &"signature-of-far".parse().unwrap())
        );
        sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(near.connections.load(Ordering::SeqCst), near.requests.load(Ordering::SeqCst));
}

fn head(id: &str, more: &str) -> Step {
    Step::Send(
        format!("HTTP/1.1 200 OK\r\nsignature: s\r\nrequest-id: {id}\r\n{more}\r\n").into_bytes(),
    )
}

/// Guards against a response that broke off and is passed on as complete.
#[tokio::test]
async fn body_cut() {
    let cuts = [
        ("content-length: 32\r\n", Step::Close),
        ("content-length: 32\r\n", Step::Reset),
        ("transfer-encoding: chunked\r\n", Step::Close),
        ("", Step::Reset),
    ];
    for (framing, end) in cuts {
        let (harness, near, far) = with_script(Kind::Idempotent, move |id, _| {
            let body: &[u8] = if framing.starts_with("transfer") {
                b"10\r\n0123456789abcdef\r\n"
            } else {
                b"0123456789abcdef"
            };
            vec![
                head(id, framing),
                Step::Send(body.to_vec()),
                Step::Pause(Duration::from_millis(20)),
                end.clone(),
            ]
        })
        .await;
        let (status, _, body) = harness.get("/one/x").await;
        assert_eq!((status, body), (StatusCode::OK, record(9).into()), "{framing:?}");
        assert_eq!((near.requests.load(Ordering::SeqCst), far.request_count()), (1, 1));
    }
}

/// Guards against a response whose target stopped in the middle of its head and is passed on as complete, with an empty or
/// short body.
#[tokio::test]
async fn head_cut() {
    const HEAD: &str =
        "HTTP/1.1 200 OK\r\nrequest-id: q-1\r\nsignature: s\r\ncontent-length: 16\r\n\r\n";
    for end in [Step::Close, Step::Reset] {
        let target = ScriptedTarget::start(move |_, number| {
            let part = HEAD.as_bytes()[..=number].to_vec();
            vec![Step::Send(part), Step::Pause(Duration::from_millis(2)), end.clone()]
        })
        .await;
        let harness = Harness::start().await;
        harness.announce("near", "s", "near", target.addr);
        harness.put_routes(vec![single(Kind::AtMostOnce)]).await;
        for _ in 0..HEAD.len() {
            let (status, _, body) = harness.get("/one/x").await;
            assert_eq!(status, StatusCode::BAD_GATEWAY, "{body:?}");
        }
        assert_eq!(target.requests.load(Ordering::SeqCst), HEAD.len());
    }
}

/// Bytes without end in each part of a response: the bytes before them, and what is repeated.
fn endless_responses(id: &str) -> Vec<(&'static str, String, Vec<u8>)> {
    let ok = format!("HTTP/1.1 200 OK\r\nsignature: s\r\nrequest-id: {id}\r\n");
    let chunked = format!("{ok}transfer-encoding: chunked\r\n\r\n");
    vec![
        ("no response", String::new(), b"x".repeat(8 << 10)),
        ("status line", "HTTP/1.1 200 ".into(), b"O".repeat(8 << 10)),
        ("header", ok.clone(), b"a: b\r\n".repeat(1 << 10)),
        ("informational", String::new(), b"HTTP/1.1 102 X\r\n\r\n".repeat(64)),
        ("body", format!("{ok}\r\n"), b"x".repeat(8 << 10)),
        ("chunks", chunked.clone(), b"4\r\nabcd\r\n".repeat(1 << 10)),
        ("chunk extension", format!("{chunked}4;"), b"x".repeat(8 << 10)),
        ("trailers", format!("{chunked}0\r\n"), b"a: b\r\n".repeat(1 << 10)),
    ]
}

/// Guards against a target that sends without end: the request is served elsewhere within its objective, and the
/// connection is closed at the caller's deadline at the latest.
#[tokio::test]
async fn endless_response_served_elsewhere() {
    let pauses = [Duration::from_millis(1), Duration::from_millis(1_000)];
    let cases = pauses.iter().flat_map(|pause| {
        endless_responses("q-1").into_iter().map(|(what, start, bytes)| {
            let bytes = if pause.as_secs() > 0 { bytes[..1].to_vec() } else { bytes };
            endless_response(what, vec![Step::Send(start.into()), Step::Endless(*pause, bytes)])
        })
    });
    futures::future::join_all(cases).await;
}

async fn endless_response(what: &str, steps: Vec<Step>) {
    let (harness, near, far) = with_script(Kind::Idempotent, move |_, _| steps.clone()).await;
    let started = Instant::now();
    let (status, _, body) = harness.get("/one/x").await;
    assert_eq!((status, body), (StatusCode::OK, record(9).into()), "{what}");
    assert!(started.elapsed() < Duration::from_millis(1_000), "{what}: the objective");
    assert_eq!(far.request_count(), 1, "{what}");
    harness.wait_until(|| near.ended.load(Ordering::SeqCst) == 1).await;
    // The deadline of 3 s, and two pauses until the target notices.
    assert!(started.elapsed() < Duration::from_millis(6_000), "{what}");
}

/// Guards against endless responses of shards that use up the memory before the caller's deadline.
#[tokio::test]
async fn endless_response_of_shard() {
    let harness = Harness::start().await;
    let endless = ScriptedTarget::start(|id, _| {
        vec![head(id, ""), Step::Endless(Duration::ZERO, record(1).repeat(512))]
    })
    .await;
    let good = StubTarget::start(Behaviour::Answer(record(2))).await;
    harness.announce("a", "s-1", "near", endless.addr);
    harness.announce("b", "s-2", "near", good.addr);
    harness.put_routes(vec![gather(&["s-1", "s-2"], PPM_SCALE / 2)]).await;
    let (status, headers, body) = harness.get("/all/x").await;
    assert_eq!((status, body), (StatusCode::OK, record(2).into()));
    assert_eq!(headers["missing"], "1");
    harness.wait_until(|| endless.ended.load(Ordering::SeqCst) > 0).await;
}

/// Guards against a kept connection on which bytes without end follow a valid response: it is closed, and its target goes on
/// to serve.
#[tokio::test]
async fn endless_bytes_after_response() {
    for pause in [Duration::from_millis(1), Duration::from_millis(1_000)] {
        let (harness, near, _far) = with_script(Kind::Idempotent, move |id, _| {
            let response = response_bytes(Some(id), &record(1));
            vec![Step::Send(response), Step::Endless(pause, b"x".to_vec())]
        })
        .await;
        for number in 0..3 {
            let started = Instant::now();
            let (status, _, body) =
                harness.send_as(&format!("q-{number}"), Request::get("/one/x")).await;
            assert_eq!((status, body.len()), (StatusCode::OK, record(1).len()));
            assert!(started.elapsed() < Duration::from_millis(1_000));
        }
        harness.wait_until(|| near.ended.load(Ordering::SeqCst) > 0).await;
    }
}

#[test]
fn buffer_keeps_greatest_records() {
    let buffers = Buffers::default();
    let mut buffer = ResponseBuffer::new(&buffers, Some(3));
    // Chunks that do not end with a record, and about 3 MB in all.
    let records: Vec<u8> =
        (0..200_000u32).flat_map(|it| [&it.to_be_bytes()[..], &[0; 12]].concat()).collect();
    for chunk in records.chunks(1_000) {
        buffer.push(chunk).unwrap();
        assert!(buffers.bytes() < 128 << 10, "{} bytes", buffers.bytes());
    }
    drop(buffer);
    assert_eq!(buffers.bytes(), 0);
}

/// Guards against endless responses that make those of sound targets fail.
#[test]
fn buffer_limit_spares_short_responses() {
    let buffers = Buffers::default();
    let chunk = vec![0; 64 << 10];
    let mut endless: Vec<_> = (0..100).map(|_| ResponseBuffer::new(&buffers, None)).collect();
    let mut failed = 0;
    for _ in 0..60 {
        for buffer in &mut endless {
            failed += usize::from(buffer.push(&chunk) == Err(BufferError::ProcessLimit));
        }
        endless.retain(|_| failed == 0);
        if failed > 0 {
            break;
        }
    }
    assert!(failed > 0, "the process limit holds before each response reaches its own");
    assert!(buffers.bytes() <= MAX_BUFFERED_BYTES + 100 * chunk.len());
    let mut short = ResponseBuffer::new(&buffers, None);
    assert_eq!(short.push(&[0; 3_000]), Ok(()));
}

#[test]
fn buffer_longest_response() {
    let buffers = Buffers::default();
    let mut buffer = ResponseBuffer::new(&buffers, Some(3));
    let chunk = vec![0; 1 << 20];
    assert_eq!((0..4).map(|_| buffer.push(&chunk)).collect::<Vec<_>>(), [Ok(()); 4]);
    assert_eq!(buffer.push(&[0]), Err(BufferError::TooLong));
}

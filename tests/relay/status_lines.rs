//! Responses of targets whose status line is invalid, or that continue after their end.

use std::sync::atomic::Ordering;

use gentianpass::route::{Kind, PPM_SCALE};
use hyper::{Request, StatusCode};

use crate::support::{
    Behaviour, Harness, ScriptedTarget, Step, StubTarget, gather, record, response_bytes, single,
};

/// Statuses, or what stands in their place, that are not those of a final response.
const INVALID: [&str; 11] =
    ["000", "099", "600", "999", "20", "2000", "abc", "", "100", "101", "199"];

/// A response with this status, the id of its request and a record as its body.
fn response(status: &str, id: &str) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nsignature: s\r\nrequest-id: {id}\r\ncontent-length: 16\r\n\r\n"
    );
    [head.as_bytes(), &record(1)].concat()
}

/// A target that sends each response with this status.
async fn with_status(status: &'static str) -> ScriptedTarget {
    ScriptedTarget::start(move |id, _| vec![Step::Send(response(status, id)), Step::Close]).await
}

/// Guards against a request that may not be repeated and whose caller gets an invalid status, or is told that it did not
/// run.
#[tokio::test]
async fn invalid_status_at_most_once() {
    let mut wrong = Vec::new();
    for status in INVALID {
        let harness = Harness::start().await;
        let target = with_status(status).await;
        harness.announce("near", "s", "near", target.addr);
        harness.put_routes(vec![single(Kind::AtMostOnce)]).await;
        let (got, ..) = harness.get("/one/x").await;
        let runs = target.requests.load(Ordering::SeqCst);
        if (got, runs) != (StatusCode::BAD_GATEWAY, 1) {
            wrong.push((status, got, runs));
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}

/// Guards against an invalid status that is passed on although another target could answer.
#[tokio::test]
async fn invalid_status_repeated() {
    let mut wrong = Vec::new();
    for status in INVALID {
        let harness = Harness::start().await;
        let near = with_status(status).await;
        let far = StubTarget::start(Behaviour::Answer(record(9))).await;
        harness.announce("near", "s", "near", near.addr);
        harness.announce("far", "s", "far", far.addr);
        harness.put_routes(vec![single(Kind::Idempotent)]).await;
        let (got, _, body) = harness.get("/one/x").await;
        if got != StatusCode::OK || body != record(9) {
            wrong.push((status, got));
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}

/// Guards against an invalid status of a delegated shard that counts as an answer.
#[tokio::test]
async fn invalid_status_delegated() {
    let harness = Harness::start().await;
    let good = StubTarget::start(Behaviour::Answer(record(2))).await;
    let bad = with_status("999").await;
    harness.announce("a", "s-1", "near", good.addr);
    harness.announce("b", "s-2", "beside", bad.addr);
    harness.put_routes(vec![gather(&["s-1", "s-2"], PPM_SCALE / 2)]).await;
    harness.start_second_relay().await;
    let (status, headers, body) = harness.get("/all/x").await;
    assert_eq!((status, body), (StatusCode::OK, record(2).into()));
    assert_eq!(headers["missing"], "1");
    assert!(bad.requests.load(Ordering::SeqCst) > 0, "the delegated shard was sent");
}

/// Guards against surplus bytes of a response that are taken for the response of the next request.
#[tokio::test]
async fn surplus_bytes() {
    let surplus = [
        (
            "204 with a body",
            "HTTP/1.1 204 X\r\nsignature: s\r\nrequest-id: ID\r\ncontent-length: 16\r\n\r\n0123456789abcdef",
        ),
        (
            "304 with a body",
            "HTTP/1.1 304 X\r\nsignature: s\r\nrequest-id: ID\r\ncontent-length: 16\r\n\r\n0123456789abcdef",
        ),
        (
            "a second status line",
            "HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\nsignature: s\r\nrequest-id: ID\r\ncontent-length: 0\r\n\r\n",
        ),
        (
            "a second response",
            "HTTP/1.1 204 X\r\nsignature: s\r\nrequest-id: ID\r\n\r\nHTTP/1.1 204 X\r\nsignature: s\r\n\r\n",
        ),
    ];
    for (what, bytes) in surplus {
        let harness = Harness::start().await;
        let target = ScriptedTarget::start(move |id, number| {
            let bytes = match number {
                0 => bytes.replace("ID", id).into_bytes(),
                _ => response_bytes(Some(id), &record(number as u8)),
            };
            vec![Step::Send(bytes)]
        })
        .await;
        harness.announce("near", "s", "near", target.addr);
        harness.put_routes(vec![single(Kind::AtMostOnce)]).await;
        let (status, ..) = harness.send_as("a", Request::get("/one/x")).await;
        let passed_on = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED, StatusCode::BAD_GATEWAY];
        assert!(passed_on.contains(&status), "{what}: {status}");
        let (status, headers, body) = harness.send_as("b", Request::get("/one/y")).await;
        assert_eq!((status, body), (StatusCode::OK, record(1).into()), "{what}");
        assert_eq!(headers["request-id"], "b", "{what}");
    }
}

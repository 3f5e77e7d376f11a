//! Malformed and forbidden requests.

use std::time::Duration;

use gentianpass::{
    error::{Kind, Outcome},
    wire::MAX_BODY_BYTES,
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::support::{Entry, control, dispatch, now, query};

/// The body with one field replaced.
fn with(mut body: Value, key: &str, value: Value) -> String {
    body[key] = value;
    body.to_string()
}

/// Guards against a malformed or forbidden request that is answered without an error kind, reaches an owner, or breaks
/// the requests after it.
#[tokio::test(flavor = "multi_thread")]
async fn bad_input() {
    let control = control(2, 1).await;
    let entry = Entry::start(&control, "entry-1").await;
    let good = query("name", 1_000);
    let print = dispatch("key", now());
    let table = [
        ("/v1/query", "designer", String::new(), Kind::BadRequest),
        ("/v1/query", "designer", "{".into(), Kind::BadRequest),
        ("/v1/query", "designer", "[1]".into(), Kind::BadRequest),
        ("/v1/query", "designer", with(good.clone(), "extra", json!(1)), Kind::BadRequest),
        ("/v1/query", "designer", with(good.clone(), "deadline_ms", json!(-1)), Kind::BadRequest),
        (
            "/v1/query",
            "designer",
            with(good.clone(), "deadline_ms", json!(60_001)),
            Kind::BadRequest,
        ),
        (
            "/v1/query",
            "designer",
            with(good.clone(), "deadline_ms", json!(0)),
            Kind::DeadlinePassed,
        ),
        ("/v1/query", "designer", with(good.clone(), "kind", json!("paint")), Kind::NotAdmitted),
        ("/v1/query", "designer", with(good.clone(), "group", json!("other")), Kind::NotAdmitted),
        ("/v1/query", "designer", with(good.clone(), "kind", json!("print")), Kind::WrongKind),
        ("/v1/query", "stranger", good.to_string(), Kind::NotAdmitted),
        ("/v1/query", "no/name", good.to_string(), Kind::BadRequest),
        ("/v1/query", "designer", "x".repeat(MAX_BODY_BYTES + 1), Kind::TooLarge),
        (
            "/v1/query",
            "designer",
            with(good.clone(), "text", json!("x".repeat((64 << 10) + 1))),
            Kind::TooLarge,
        ),
        (
            "/v1/dispatch",
            "designer",
            with(print.clone(), "body", json!("x".repeat((64 << 10) + 1))),
            Kind::TooLarge,
        ),
        ("/v1/dispatch", "designer", "null".into(), Kind::BadRequest),
        ("/v1/dispatch", "stranger", print.to_string(), Kind::NotAdmitted),
        ("/v1/dispatch", "designer", with(print.clone(), "key", json!("")), Kind::BadRequest),
        (
            "/v1/dispatch",
            "designer",
            with(print.clone(), "issued_at_ms", json!(1)),
            Kind::KeyExpired,
        ),
        (
            "/v1/dispatch",
            "designer",
            with(print.clone(), "issued_at_ms", json!(now() + 600_000)),
            Kind::BadRequest,
        ),
        (
            "/v1/dispatch",
            "designer",
            with(print.clone(), "kind", json!("label-search")),
            Kind::WrongKind,
        ),
        ("/v1/dispatch", "designer", with(print, "deadline_ms", json!(0)), Kind::DeadlinePassed),
        ("/v1/targets", "designer", "{}".into(), Kind::BadRequest),
        ("/v1/nothing", "designer", "{}".into(), Kind::NotFound),
        ("/v1/entries", "designer", "{}".into(), Kind::BadRequest),
    ];
    for (path, caller, body, kind) in table {
        let shown: String = body.chars().take(80).collect();
        let response = entry.post(path, caller, body).await;
        assert_eq!(response.failure(), (kind, Outcome::NotRun), "{path} {caller} {shown}");
    }
    assert!(entry.owners.batches().is_empty(), "a bad query reached an owner");
    assert!(entry.owners.dispatches().is_empty(), "a bad dispatch reached an owner");
    assert_eq!(entry.query("name", 1_000).await.answer().covered, 2);
}

/// Guards against an operator path that answers without the token or with a wrong one.
#[tokio::test(flavor = "multi_thread")]
async fn operator_token() {
    let control = control(1, 1).await;
    let entry = Entry::start(&control, "entry-1").await;
    for path in ["/v1/status", "/v1/events"] {
        for token in ["", "authorization: Bearer operator-secreT\r\n"] {
            let head =
                format!("GET {path} HTTP/1.1\r\nhost: e\r\n{token}connection: close\r\n\r\n");
            let answer = raw(&entry, &head).await;
            assert!(answer.starts_with("HTTP/1.1 401"), "{path} {token:?}: {answer}");
            assert!(answer.contains("\"unauthorized\""), "{answer}");
        }
        assert_eq!(entry.get(path).await.status, 200);
    }
    let wrong = entry.get("/v1/events?color=red").await;
    assert_eq!(wrong.failure().0, Kind::BadRequest);
}

/// Guards against an incomplete request that is run, is never answered, or blocks other requests.
#[tokio::test(flavor = "multi_thread")]
async fn incomplete_request() {
    let control = control(2, 1).await;
    let entry = Entry::start(&control, "entry-1").await;
    let mut half_head = TcpStream::connect(entry.addr).await.expect("connection");
    half_head.write_all(b"POST /v1/query HTTP/1.1\r\nhos").await.expect("sent");
    let head = "POST /v1/query HTTP/1.1\r\nhost: e\r\nx-gentianpass-caller: designer\r\n\
                content-length: 1000\r\nconnection: close\r\n\r\n{\"group\":";
    let half_body = raw(&entry, head);
    let whole = async {
        for i in 0..20 {
            assert_eq!(entry.query(&format!("name {i}"), 1_000).await.answer().covered, 2);
        }
    };
    let (answer, ()) = tokio::join!(half_body, whole);
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("\"not_run\""), "{answer}");
    let texts: Vec<String> = entry.owners.batches().into_iter().map(|it| it.text).collect();
    assert!(texts.iter().all(|it| it.starts_with("name")), "{texts:?}");
}

/// Sends `bytes` on a new connection and returns everything that the host sends until it closes the connection.
async fn raw(entry: &Entry, bytes: &str) -> String {
    let mut stream = TcpStream::connect(entry.addr).await.expect("connection");
    stream.write_all(bytes.as_bytes()).await.expect("sent");
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer);
    tokio::time::timeout(Duration::from_secs(20), read).await.expect("answered").expect("text");
    answer
}

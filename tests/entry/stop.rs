//! The planned stop.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use gentianpass::{
    error::Outcome,
    state::{Change, Object, ObjectKind},
    wire::{
        caller::{Answer, CALLER_HEADER, Entries, Failure},
        control::{Applied, Update},
    },
};
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::{
    owners::Reply,
    support::{Entry, control, dispatch, now, post, query, until},
};

/// How many requests of a caller were answered and rejected.
#[derive(Debug, Default)]
struct Counts {
    answered: u32,
    rejected: u32,
}

/// Sends one request after another over keep-alive connections, until the host accepts no more connections.
async fn caller(addr: std::net::SocketAddr, name: String, stopping: Arc<AtomicBool>) -> Counts {
    let mut counts = Counts::default();
    'connections: loop {
        let Ok(stream) = TcpStream::connect(addr).await else {
            assert!(stopping.load(Ordering::SeqCst), "no connection before the stop");
            return counts;
        };
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.expect("handshake");
        tokio::spawn(connection);
        loop {
            if sender.ready().await.is_err() {
                continue 'connections;
            }
            let text = format!("{name} {}", counts.answered);
            let request = Request::post("/v1/query")
                .header("host", "e")
                .header(CALLER_HEADER, "designer")
                .body(Full::new(Bytes::from(query(&text, 5_000).to_string())))
                .expect("request");
            let response = match sender.send_request(request).await {
                Ok(it) => it,
                // The host may close a connection between two requests, before it reads the next one. No request is
                // interrupted then.
                Err(err) if err.is_canceled() || stopping.load(Ordering::SeqCst) => {
                    assert!(err.is_canceled() || err.is_incomplete_message(), "{err:?}");
                    assert!(
                        counts.rejected > 0 || err.is_canceled(),
                        "closed before rejecting: {err:?}"
                    );
                    continue 'connections;
                }
                Err(err) => panic!("{err:?}"),
            };
            let status = response.status();
            let close = response.headers().contains_key("connection");
            let body = response.into_body().collect().await.expect("whole body").to_bytes();
            if status == StatusCode::OK {
                let answer: Answer = serde_json::from_slice(&body).expect("answer");
                assert!(answer.missing.is_empty(), "{answer:?}");
                counts.answered += 1;
            } else {
                let failure: Failure = serde_json::from_slice(&body).expect("failure");
                assert_eq!(failure.outcome, Outcome::NotRun, "{failure:?}");
                assert!(stopping.load(Ordering::SeqCst), "rejected before the stop: {failure:?}");
                counts.rejected += 1;
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            if close {
                continue 'connections;
            }
        }
    }
}

/// Guards against a planned stop that interrupts a request, closes connections before it rejects, leaves the list of
/// entry hosts late, stops serving callers that hold an old list, or does not remove the host from the control state.
#[tokio::test(flavor = "multi_thread")]
async fn interrupts_no_request() {
    let control = control(3, 1).await;
    let mut leaving = Entry::start(&control, "entry-1").await;
    let staying = Entry::start(&control, "entry-2").await;
    leaving.owners.script(|_, _| (Duration::from_millis(30), Reply::Rows));
    let stopping = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..8)
        .map(|i| tokio::spawn(caller(leaving.addr, format!("caller {i}"), stopping.clone())))
        .collect();
    until("loaded", async || leaving.owners.batches().len() > 50).await;
    let addr = leaving.addr;
    let owners = leaving.owners.clone();
    stopping.store(true, Ordering::SeqCst);
    leaving.stop();
    until("unlisted", async || {
        let list: Entries = staying.get("/v1/entries").await.json();
        !list.addresses.contains(&addr)
    })
    .await;
    let at_unlisting = owners.batches().len();
    let mut counts = Counts::default();
    for it in callers {
        let one = it.await.expect("no request was interrupted");
        counts.answered += one.answered;
        counts.rejected += one.rejected;
    }
    leaving.ended().await.expect("clean stop");
    assert!(counts.answered > 0 && counts.rejected > 0, "{counts:?}");
    assert!(owners.batches().len() > at_unlisting, "served no caller with an old list");
    assert!(owners.stopped(), "the targets were not released");
    assert!(!control.tables(|it| it.config.nodes.contains_key("entry-1")));
}

/// Guards against a planned stop that ends before a claimed request is settled.
#[tokio::test(flavor = "multi_thread")]
async fn finishes_dispatch() {
    let control = control(1, 1).await;
    let mut entry = Entry::start(&control, "entry-1").await;
    entry.owners.set_dispatch_delay(Duration::from_secs(3));
    let mut body = dispatch("job", now());
    body["deadline_ms"] = 10_000.into();
    let (owners, addr) = (entry.owners.clone(), entry.addr);
    let request = tokio::spawn(async move {
        post(addr, "/v1/dispatch", "designer", body.to_string()).await;
    });
    until("sent", async || !owners.dispatches().is_empty()).await;
    request.abort();
    let claims = control.tables(|it| it.claims.clone());
    entry.stop();
    entry.ended().await.expect("ended");
    let settled = control.tables(|it| it.claims.clone());
    assert!(claims != settled && settled.len() == 1, "{settled:?}");
}

/// Guards against a planned stop that never ends when the control hosts do not answer.
#[tokio::test(flavor = "multi_thread")]
async fn without_quorum() {
    let control = control(1, 1).await;
    let mut entry = Entry::start(&control, "entry-1").await;
    control.set_silent(true);
    entry.stop();
    entry.ended().await.expect("ended");
}

/// Guards against an entry host that serves on after the task that polls the control hosts has panicked, and one that ends
/// without leaving, so that callers go on to use its address. The task's arithmetic overflows, because a control host adds
/// a change to the last possible revision.
#[tokio::test(flavor = "multi_thread")]
async fn polling_panics_host_stops() {
    let control = control(1, 1).await;
    let entry = Entry::start(&control, "entry-1").await;
    let mut last = control.tables(|it| it.config.clone());
    last.revision = u64::MAX;
    let object = Object::new(ObjectKind::Zone, "tayside-a");
    let change = Change::SetLabel { object, key: "a".into(), value: "b".into() };
    let changes = vec![Applied { revision: 0, at_ms: 1, change }];
    control.queue_answers([Update::Config(Box::new(last)), Update::Changes(changes)]);
    let error = entry.ended().await.unwrap_err();
    assert!(error.message.contains("overflow"), "{error:?}");
    let is_listed = control.tables(|it| it.config.nodes.contains_key("entry-1"));
    assert!(!is_listed, "the host has ended without leaving");
}

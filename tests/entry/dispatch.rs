//! Non-idempotent requests, which run at most once.

use std::{
    collections::HashSet,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use gentianpass::{
    error::{Error, Kind, Outcome},
    state::Change,
    wire::{caller::Dispatched, owner},
};
use serde_json::json;
use tokio::{io::AsyncWriteExt, net::TcpStream};

use crate::{
    control::{FakeControl, Loss},
    owners::{done, ended},
    support::{Entry, control, dispatch, now, until},
};

async fn start_two(control: &FakeControl) -> [Entry; 2] {
    [Entry::start(control, "entry-1").await, Entry::start(control, "entry-2").await]
}

fn runs(hosts: &[Entry]) -> Vec<owner::Dispatch> {
    hosts.iter().flat_map(|it| it.owners.dispatches()).collect()
}

/// Guards against a second run of a request that is sent again with the same key, to the same or another host, at the
/// same time or later.
#[tokio::test(flavor = "multi_thread")]
async fn resend() {
    let control = control(4, 1).await;
    let hosts = start_two(&control).await;
    for i in 0..10 {
        let (key, issued) = (format!("job-{i}"), now());
        let sent = [0, 1, 0, 1].map(|it: usize| hosts[it].dispatch(&key, issued));
        for response in futures::future::join_all(sent).await {
            if response.status == 200 {
                assert_eq!(response.json::<Dispatched>().result.as_deref(), Some("job"));
            } else {
                assert_eq!(response.failure(), (Kind::Unknown, Outcome::Unknown));
            }
        }
        for host in &hosts {
            let again = host.dispatch(&key, issued).await;
            assert_eq!(again.json::<Dispatched>().outcome, Outcome::Done);
        }
    }
    let runs = runs(&hosts);
    let keys: HashSet<&String> = runs.iter().map(|it| &it.key).collect();
    assert_eq!((runs.len(), keys.len()), (10, 10));
}

/// Guards against keys that collide between two callers, and against one key that is accepted for two different
/// requests.
#[tokio::test(flavor = "multi_thread")]
async fn key_scope() {
    let control = control(2, 1).await;
    control.accept(crate::support::set_label("caller/second", "team", "design"));
    let entry = Entry::start(&control, "entry-1").await;
    let body = dispatch("key", now());
    for caller in ["designer", "second"] {
        let response = entry.post("/v1/dispatch", caller, body.to_string()).await;
        assert_eq!(response.status, 200, "{caller}: {:?}", response.body);
    }
    assert_eq!(entry.owners.dispatches().len(), 2);
    let mut other = body;
    other["body"] = json!("another job");
    let response = entry.post("/v1/dispatch", "designer", other.to_string()).await;
    assert_eq!(response.failure(), (Kind::KeyReused, Outcome::NotRun));
    assert_eq!(entry.owners.dispatches().len(), 2);
}

/// Guards against a second attempt at another target after one that may have run, and against giving up after a refusal
/// that proves that the request did not run.
#[tokio::test(flavor = "multi_thread")]
async fn attempts() {
    let control = control(4, 1).await;
    let entry = Entry::start(&control, "entry-1").await;
    let error = |kind: Kind| Err(Error::new(kind, "test"));
    let table = [
        (ended(Outcome::NotRun, Kind::Shed), 4, Kind::Shed, Outcome::NotRun),
        (ended(Outcome::NotRun, Kind::Draining), 4, Kind::Draining, Outcome::NotRun),
        (error(Kind::NotOwner), 4, Kind::NotOwner, Outcome::NotRun),
        (error(Kind::Quarantined), 1, Kind::Quarantined, Outcome::NotRun),
        (ended(Outcome::Unknown, Kind::Timeout), 1, Kind::Unknown, Outcome::Unknown),
        (error(Kind::Disconnected), 1, Kind::Unknown, Outcome::Unknown),
        (error(Kind::Timeout), 1, Kind::Unknown, Outcome::Unknown),
    ];
    for (i, (reply, attempts, kind, outcome)) in table.into_iter().enumerate() {
        let before = entry.owners.dispatches().len();
        let shown = format!("{reply:?}");
        entry.owners.on_dispatch(move |_| reply.clone());
        let (key, issued) = (format!("job-{i}"), now());
        let response = entry.dispatch(&key, issued).await;
        assert_eq!(response.failure(), (kind, outcome), "{shown}");
        let sent = entry.owners.dispatches();
        let targets: HashSet<&String> = sent[before..].iter().map(|it| &it.target).collect();
        assert_eq!((sent.len() - before, targets.len()), (attempts, attempts), "{shown}");

        entry.owners.on_dispatch(|it| done(&it.body));
        let again = entry.dispatch(&key, issued).await;
        if outcome == Outcome::NotRun {
            assert_eq!(again.json::<Dispatched>().outcome, Outcome::Done, "{shown}");
        } else {
            assert_eq!(again.failure(), (Kind::Unknown, Outcome::Unknown), "{shown}");
            assert_eq!(entry.owners.dispatches().len(), before + attempts, "{shown}");
        }
    }
}

/// Guards against sending a request whose claim is not known to be committed, and against answering `not_run` while the
/// claim may still be granted, since the same request sent again may then get another answer.
#[tokio::test(flavor = "multi_thread")]
async fn lost_claim() {
    let control = control(2, 1).await;
    let hosts = start_two(&control).await;
    let claim = |change: &Change| matches!(change, Change::Claim(_));

    control.set_loss(move |it| if claim(it) { Loss::Reply } else { Loss::None });
    let issued = now();
    let response = hosts[0].dispatch("committed", issued).await;
    assert_eq!(response.failure(), (Kind::NoQuorum, Outcome::NotRun));

    control.set_loss(move |it| if claim(it) { Loss::Request } else { Loss::None });
    let response = hosts[0].dispatch("not-committed", issued).await;
    assert_eq!(response.failure(), (Kind::Unknown, Outcome::Unknown));

    control.set_loss(|_| Loss::Reply);
    let response = hosts[0].dispatch("all-replies-lost", issued).await;
    assert_eq!(response.failure(), (Kind::Unknown, Outcome::Unknown));
    assert!(runs(&hosts).is_empty(), "a request was sent without a claim");

    control.set_loss(|_| Loss::None);
    let response = hosts[1].dispatch("committed", issued).await;
    assert_eq!(response.json::<Dispatched>().outcome, Outcome::Done);
    assert_eq!(runs(&hosts).len(), 1);
}

/// Guards against a second run while the commit of a settlement keeps failing, and against a settlement that is not
/// retried.
#[tokio::test(flavor = "multi_thread")]
async fn lost_settlement() {
    let control = control(2, 1).await;
    let hosts = start_two(&control).await;
    let left = Arc::new(AtomicU32::new(40));
    let losses = left.clone();
    control.set_loss(move |it| {
        let lost = matches!(it, Change::Settle { .. })
            && losses
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |it| it.checked_sub(1))
                .is_ok();
        if lost { Loss::Request } else { Loss::None }
    });
    let issued = now();
    let response = hosts[0].dispatch("job", issued).await;
    assert_eq!(response.json::<Dispatched>().outcome, Outcome::Done);
    assert_eq!(hosts[1].dispatch("job", issued).await.failure().1, Outcome::Unknown);
    until("settled", async || left.load(Ordering::SeqCst) == 0).await;
    until("recorded", async || hosts[1].dispatch("job", issued).await.status == 200).await;
    assert_eq!(runs(&hosts).len(), 1);
}

/// Guards against a claimed request that is never settled because its caller disconnected while it ran.
#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnects() {
    let control = control(2, 1).await;
    let entry = Entry::start(&control, "entry-1").await;
    entry.owners.set_dispatch_delay(Duration::from_millis(300));
    let issued = now();
    let body = dispatch("job", issued).to_string();
    let head = format!(
        "POST /v1/dispatch HTTP/1.1\r\nhost: e\r\nx-gentianpass-caller: designer\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(entry.addr).await.expect("connection");
    stream.write_all(head.as_bytes()).await.expect("sent");
    until("sent", async || !entry.owners.dispatches().is_empty()).await;
    drop(stream);
    until("settled", async || entry.dispatch("job", issued).await.status == 200).await;
    assert_eq!(entry.owners.dispatches().len(), 1);
}

/// Guards against `not_run` or `done` for a dispatch whose owner does not answer; it may have run.
#[tokio::test(flavor = "multi_thread")]
async fn silent_owner() {
    let control = control(2, 1).await;
    let entry = Entry::start(&control, "entry-1").await;
    entry.owners.set_dispatch_delay(Duration::from_secs(60));
    let response = entry.dispatch("job", now()).await;
    assert_eq!(response.failure(), (Kind::Unknown, Outcome::Unknown));
    assert_eq!(entry.owners.dispatches().len(), 1);
}

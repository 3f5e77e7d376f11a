//! Configuration, membership and the freshness lease.

use std::time::Duration;

use gentianpass::{
    error::{Kind, Outcome},
    event,
    state::Change,
    wire::{caller::Entries, control::Update, operator::EntryStatus},
};

use crate::{
    control::Loss,
    owners::Reply,
    support::{Entry, control, dispatch, now, set_label, until},
};

/// Guards against work that starts without a freshness lease: before the first poll, and after the lease has expired.
#[tokio::test(flavor = "multi_thread")]
async fn no_lease() {
    let control = control(2, 1).await;
    control.set_silent(true);
    let entry = Entry::launch(&control, "entry-1").await;
    let rejected = async || {
        let not_run = (Kind::NoLease, Outcome::NotRun);
        assert_eq!(entry.query("name", 500).await.failure(), not_run);
        assert_eq!(entry.dispatch("job", now()).await.failure(), not_run);
        let mut again = dispatch("job", now());
        again["resend"] = true.into();
        let again = entry.post("/v1/dispatch", "designer", again.to_string()).await;
        let unknown = (Kind::NoLease, Outcome::Unknown);
        assert_eq!(again.failure(), unknown, "an earlier attempt may have run");
        assert_eq!(entry.get("/v1/entries").await.failure(), not_run);
        assert_eq!(entry.get("/healthz").await.failure(), not_run);
    };
    rejected().await;
    control.set_silent(false);
    entry.serving().await;
    assert_eq!(entry.query("name", 500).await.answer().covered, 2);
    let sent = entry.owners.batches().len();
    control.set_silent(true);
    until("expired", async || entry.get("/healthz").await.status == 503).await;
    rejected().await;
    assert_eq!(entry.owners.batches().len(), sent);
    assert!(entry.owners.dispatches().is_empty());
    control.set_silent(false);
    entry.serving().await;
    assert_eq!(entry.query("name", 500).await.answer().covered, 2);
    until("recorded", async || {
        let events = entry.events().await;
        let count = |kind| events.iter().filter(|it| it.kind == kind).count();
        (count(event::Kind::LeaseLost), count(event::Kind::LeaseGained)) == (1, 2)
    })
    .await;
}

/// Guards against a lease that expires because the host joins again through a control host that cannot commit, and polls
/// only after that.
#[tokio::test(flavor = "multi_thread")]
async fn hanging_join_keeps_lease() {
    const HANGS_FOR: Duration = Duration::from_secs(5);
    let control = control(2, 1).await;
    let entry = Entry::start(&control, "entry-1").await;
    let incarnation = control.tables(|it| it.config.nodes["entry-1"].incarnation);
    control.set_loss(|_| Loss::Silent);
    control.accept(Change::RemoveNode { name: "entry-1".into(), incarnation });
    tokio::time::sleep(HANGS_FOR).await;
    let events = entry.events().await;
    assert!(!events.iter().any(|it| it.kind == event::Kind::LeaseLost), "{events:#?}");
    control.set_loss(|_| Loss::None);
    until("joined", async || control.tables(|it| it.config.nodes.contains_key("entry-1"))).await;
}

/// Guards against a host that is given callers before it has joined: it owns no target yet, and refuses them.
#[tokio::test(flavor = "multi_thread")]
async fn healthz_before_join() {
    let control = control(2, 1).await;
    control.set_loss(|_| Loss::Silent);
    let entry = Entry::launch(&control, "entry-1").await;
    until("polled", async || {
        entry.events().await.iter().any(|it| it.kind == event::Kind::LeaseGained)
    })
    .await;
    assert_eq!(entry.get("/healthz").await.status, 503);
    control.set_loss(|_| Loss::None);
    entry.serving().await;
    assert!(control.tables(|it| it.config.nodes.contains_key("entry-1")));
}

/// Guards against retries, hedges or a restart that are sent after the lease expired in the middle of a query.
#[tokio::test(flavor = "multi_thread")]
async fn lease_ends_in_query() {
    let control = control(3, 3).await;
    let entry = Entry::start(&control, "entry-1").await;
    entry.owners.script(|batch, _| {
        let reply = if batch.canary { Reply::Rows } else { Reply::Fail(Kind::Shed) };
        (Duration::from_millis(if batch.canary { 0 } else { 1_500 }), reply)
    });
    control.set_silent(true);
    let answer = entry.query("name", 4_000).await.answer();
    assert_eq!(answer.covered, 1);
    let sent: usize = entry.owners.batches().iter().map(|it| it.items.len()).sum();
    // The canary, the other two shards, and at most one hedge for each of them while the lease was held.
    assert!(sent <= 5, "{sent} sub-requests");
}

/// Guards against a host that does not join again after the control hosts have removed it.
#[tokio::test(flavor = "multi_thread")]
async fn join_again() {
    let control = control(1, 1).await;
    let entry = Entry::start(&control, "entry-1").await;
    for _ in 0..3 {
        let incarnation = control.tables(|it| it.config.nodes["entry-1"].incarnation);
        control.accept(Change::RemoveNode { name: "entry-1".into(), incarnation });
        let joined = async || control.tables(|it| it.config.nodes.contains_key("entry-1"));
        until("joined", joined).await;
    }
    entry.applied(&control).await;
    assert_eq!(entry.query("name", 1_000).await.answer().covered, 1);
}

/// Guards against two processes with the same host name that both serve: the older one has to stop.
#[tokio::test(flavor = "multi_thread")]
async fn superseded() {
    let control = control(1, 1).await;
    let entry = Entry::start(&control, "entry-1").await;
    let mut newer = control.tables(|it| it.config.nodes["entry-1"].clone());
    newer.incarnation += 1_000_000;
    control.accept(Change::PutNode(newer));
    let err = entry.ended().await.expect_err("superseded");
    assert_eq!(err.kind, Kind::Conflict);
}

/// Guards against a configuration that lacks a change because the answer to a poll left it out.
#[tokio::test(flavor = "multi_thread")]
async fn gap_in_changes() {
    let control = control(2, 2).await;
    let entry = Entry::start(&control, "entry-1").await;
    control.set_silent(true);
    control.skip_change();
    control.accept(set_label("target/t0-0", "drain", "true"));
    control.accept(set_label("target/t1-0", "drain", "true"));
    control.set_silent(false);
    entry.serving().await;
    entry.applied(&control).await;
    for i in 0..10 {
        assert_eq!(entry.query(&format!("name {i}"), 1_000).await.answer().covered, 2);
    }
    let batches = entry.owners.batches();
    let drained = |it: &&gentianpass::wire::owner::Item| it.target.ends_with("-0");
    assert_eq!(batches.iter().flat_map(|it| &it.items).find(drained), None);
}

/// Guards against a configuration that reverts because a control host with an outdated state answers polls.
#[tokio::test(flavor = "multi_thread")]
async fn older_config() {
    let control = control(2, 2).await;
    let old = control.tables(|it| it.config.clone());
    let entry = Entry::start(&control, "entry-1").await;
    control.accept(set_label("target/t0-0", "drain", "true"));
    entry.applied(&control).await;
    let whole = || Update::Config(Box::new(old.clone()));
    control.queue_answers([whole(), whole(), whole()]);
    control.accept(set_label("target/t1-0", "drain", "true"));
    entry.applied(&control).await;
    for i in 0..10 {
        assert_eq!(entry.query(&format!("name {i}"), 1_000).await.answer().covered, 2);
    }
    let batches = entry.owners.batches();
    assert!(batches.iter().flat_map(|it| &it.items).all(|it| it.target.ends_with("-1")));
}

/// Guards against a list of entry hosts that contains drained ones, and against a wrong status for operators.
#[tokio::test(flavor = "multi_thread")]
async fn entries_and_status() {
    let control = control(1, 1).await;
    let hosts = [Entry::start(&control, "entry-1").await, Entry::start(&control, "entry-2").await];
    hosts[0].applied(&control).await;
    let list: Entries = hosts[0].get("/v1/entries").await.json();
    assert_eq!((list.ttl_ms, list.addresses.len()), (200, 2));
    control.accept(set_label("node/entry-2", "drain", "true"));
    hosts[0].applied(&control).await;
    let list: Entries = hosts[0].get("/v1/entries").await.json();
    assert_eq!(list.addresses, [hosts[0].addr]);
    let status: EntryStatus = hosts[0].get("/v1/status").await.json();
    assert_eq!((status.name.as_str(), status.leaving), ("entry-1", false));
    assert_eq!(status.revision, control.tables(|it| it.config.revision));
    assert!((1..=1_000).contains(&status.lease_left_ms));
    let metrics = hosts[0].get("/metrics").await.body;
    assert!(String::from_utf8_lossy(&metrics).contains("gentianpass_entry_connections_total"));
}

//! Tests of the owner side of an entry host, against stand-in targets and a stand-in control host in this process.

mod answer;
mod canary;
mod cancel;
mod connection;
mod dispatch;
mod fake;
mod handover;
mod host;
mod lease;
mod limit;
mod load;
mod server;

use std::{
    future::Future,
    time::{Duration, Instant},
};

use gentianpass::{
    error::Kind,
    wire::owner::{Batch, Class, Finished, Item, Progress},
};

/// How long to wait for a condition; far longer than it takes on a busy machine.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(15);

/// Waits until a condition holds; panics after [`CONDITION_TIMEOUT`].
async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + CONDITION_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "condition not met within {CONDITION_TIMEOUT:?}: {what}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Runs a test on a runtime with several threads, as the entry host does.
fn block_on<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("runtime");
    let output = runtime.block_on(test);
    runtime.shutdown_background();
    output
}

/// Builds a batch with one sub-request per target; the shard is the position in the list.
fn batch(id: u64, targets: &[&str]) -> Batch {
    let items = targets.iter().enumerate();
    Batch {
        request_id: u128::from(id),
        id,
        traceparent: None,
        index: "labels".into(),
        version: 1,
        kind: "label-search".into(),
        class: Class::Quick,
        text: "Pigeon".into(),
        fingerprint: 7,
        canary: false,
        deadline_ms: 5_000,
        partial_after_ms: 60_000,
        items: items.map(|(i, it)| Item { shard: i as u32, target: (*it).into() }).collect(),
    }
}

/// The error kind of each finished sub-request, or `None` for a success, by shard.
fn error_kinds(progress: &Progress) -> Vec<Option<Kind>> {
    let mut finished: Vec<&Finished> = progress.finished.iter().collect();
    finished.sort_by_key(|it| it.shard);
    finished.iter().map(|it| it.result.as_ref().err().copied()).collect()
}

use std::time::Duration;

use gentianpass::error::Kind;

use crate::{
    batch, block_on, error_kinds,
    fake::{FakeTarget, Mode},
    host::host_owning,
    wait_until,
};

/// Guards against a cancelled sub-request that goes on at the target, and against a slot that is reused before it has
/// ended.
#[test]
fn cancel_reaches_target() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let (_control, host) = host_owning(&fake, 1, 1).await;
        fake.set_next_mode(Mode::Hang);
        let exec = host.owner.exec(batch(1, &["t", "t"]));
        let cancel = async {
            wait_until("the first runs", || fake.running() == 1).await;
            host.owner.cancel(1, vec![0]).await;
            wait_until("cancel arrives", || !fake.state.cancelled.lock().is_empty()).await;
        };
        let (progress, ()) = futures::join!(exec, cancel);
        assert_eq!(error_kinds(&progress.expect("progress")), [Some(Kind::Cancelled), None]);
        assert_eq!(fake.max_running(), 1);
        let sub = fake.state.sub_requests.lock()[0].clone();
        assert!(fake.state.cancelled.lock().contains(&sub.id));
    });
}

/// Guards against a queued sub-request that starts after it was cancelled.
#[test]
fn cancel_queued() {
    block_on(async {
        let fake = FakeTarget::start("t");
        fake.set_delay(100);
        let (_control, host) = host_owning(&fake, 1, 1).await;
        let exec = host.owner.exec(batch(1, &["t", "t", "t"]));
        let cancel = async {
            wait_until("the first runs", || fake.running() == 1).await;
            host.owner.cancel(1, vec![1, 2]).await;
        };
        let (progress, ()) = futures::join!(exec, cancel);
        let cancelled = Some(Kind::Cancelled);
        assert_eq!(error_kinds(&progress.expect("progress")), [None, cancelled, cancelled]);
        assert_eq!(fake.handled(), 1);
    });
}

/// Guards against sub-requests that go on after the root has dropped its call, and against a batch that cannot be
/// cancelled afterwards.
#[test]
fn cancel_dropped_exec() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let (_control, host) = host_owning(&fake, 2, 2).await;
        fake.set_mode(Mode::Hang);
        let exec = tokio::spawn({
            let owner = host.owner.clone();
            async move { owner.exec(batch(1, &["t", "t"])).await }
        });
        wait_until("both run", || fake.running() == 2).await;
        exec.abort();
        assert!(exec.await.expect_err("aborted").is_cancelled());
        host.owner.cancel(1, vec![0, 1]).await;
        wait_until("the target ends both", || fake.running() == 0).await;
        assert_eq!(fake.state.cancelled.lock().len(), 2);
        let err = host.owner.collect(1, Duration::ZERO).await.expect_err("gone");
        assert_eq!(err.kind, Kind::NotFound);
    });
}

/// Guards against batches that stay in memory because their root never collects them.
#[test]
fn cancel_never_collected() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let (_control, host) = host_owning(&fake, 2, 2).await;
        fake.set_mode(Mode::Hang);
        let short = crate::Batch { deadline_ms: 100, partial_after_ms: 10, ..batch(1, &["t"]) };
        let progress = host.owner.exec(short).await.expect("progress");
        assert_eq!(progress.pending, [0]);
        fake.set_mode(Mode::Answer);
        // The batch id can be used again once the batch is removed.
        wait_until("the batch is dropped", || {
            let again = host.owner.exec(batch(1, &["t"]));
            !matches!(futures::FutureExt::now_or_never(again), Some(Err(_)))
        })
        .await;
    });
}

use std::time::Duration;

use gentianpass::error::Kind;

use crate::{
    batch,
    fake::{Fake, Mode},
    host::owning,
    kinds, run, until,
};

/// Guards against cancelled work that goes on at the target, and against a slot that is given away before it ended.
#[test]
fn cancel_reaches_target() {
    run(async {
        let fake = Fake::start("t");
        let (_net, host) = owning(&fake, 1, 1).await;
        fake.once(Mode::Hang);
        let exec = host.owner.exec(batch(1, &["t", "t"]));
        let cancel = async {
            until("the first runs", || fake.running() == 1).await;
            host.owner.cancel(1, vec![0]).await;
            until("the target knows", || !fake.facts.cancelled.lock().is_empty()).await;
        };
        let (progress, ()) = futures::join!(exec, cancel);
        assert_eq!(kinds(&progress.expect("progress")), [Some(Kind::Cancelled), None]);
        assert_eq!(fake.most(), 1);
        let sub = fake.facts.subs.lock()[0].clone();
        assert!(fake.facts.cancelled.lock().contains(&sub.id));
    });
}

/// Guards against queued work that starts after it was cancelled.
#[test]
fn cancel_queued() {
    run(async {
        let fake = Fake::start("t");
        fake.delay(100);
        let (_net, host) = owning(&fake, 1, 1).await;
        let exec = host.owner.exec(batch(1, &["t", "t", "t"]));
        let cancel = async {
            until("the first runs", || fake.running() == 1).await;
            host.owner.cancel(1, vec![1, 2]).await;
        };
        let (progress, ()) = futures::join!(exec, cancel);
        let cancelled = Some(Kind::Cancelled);
        assert_eq!(kinds(&progress.expect("progress")), [None, cancelled, cancelled]);
        assert_eq!(fake.handled(), 1);
    });
}

/// Guards against work that goes on for a root that went away, and against a batch that can then not be cancelled.
#[test]
fn cancel_dropped_exec() {
    run(async {
        let fake = Fake::start("t");
        let (_net, host) = owning(&fake, 2, 2).await;
        fake.mode(Mode::Hang);
        let exec = tokio::spawn({
            let owner = host.owner.clone();
            async move { owner.exec(batch(1, &["t", "t"])).await }
        });
        until("both run", || fake.running() == 2).await;
        exec.abort();
        assert!(exec.await.expect_err("aborted").is_cancelled());
        host.owner.cancel(1, vec![0, 1]).await;
        until("the target ends both", || fake.running() == 0).await;
        assert_eq!(fake.facts.cancelled.lock().len(), 2);
        let err = host.owner.collect(1, Duration::ZERO).await.expect_err("gone");
        assert_eq!(err.kind, Kind::NotFound);
    });
}

/// Guards against memory that batches hold whose root never collects.
#[test]
fn cancel_never_collected() {
    run(async {
        let fake = Fake::start("t");
        let (_net, host) = owning(&fake, 2, 2).await;
        fake.mode(Mode::Hang);
        let short = crate::Batch { deadline_ms: 100, partial_after_ms: 10, ..batch(1, &["t"]) };
        let progress = host.owner.exec(short).await.expect("progress");
        assert_eq!(progress.pending, [0]);
        fake.mode(Mode::Answer);
        // The number can be used again once the batch is gone.
        until("the batch is dropped", || {
            let again = host.owner.exec(batch(1, &["t"]));
            !matches!(futures::FutureExt::now_or_never(again), Some(Err(_)))
        })
        .await;
    });
}

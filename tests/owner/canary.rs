use std::{sync::atomic::Ordering, time::Duration};

use futures::future::join_all;
use gentianpass::{
    error::{Kind, Outcome},
    state::Change,
    wire::{
        owner::{Batch, Dispatch, Progress},
        target::Announcement,
    },
};

use crate::{
    batch, block_on, error_kinds,
    fake::{FakeTarget, Mode},
    host::{FakeControl, Host, target},
    wait_until,
};

fn canary(id: u64, name: &str) -> Batch {
    Batch { canary: true, ..batch(id, &[name]) }
}

async fn start(fakes: &[FakeTarget]) -> (FakeControl, Host) {
    let control = FakeControl::start().await;
    let host = Host::start(&control, "entry-1").await;
    for fake in fakes {
        control.put_target(fake, 4, 4);
        host.apply(&control);
        host.announce(Announcement { target: target(fake, 4, 4), cold: false });
    }
    (control, host)
}

async fn exec(host: &Host, id: u64, name: &str) -> Progress {
    host.owner.exec(canary(id, name)).await.expect("progress")
}

fn suspects(control: &FakeControl) -> Vec<String> {
    let committed = control.committed.lock();
    let targets = committed.iter().filter_map(|it| match it {
        Change::Suspect { target, .. } => Some(target.clone()),
        _ => None,
    });
    targets.collect()
}

/// Guards against a request that crashes one target after another while many copies of it wait. Each target may crash
/// once, the crash must be committed before the result is returned, and after two targets the request is quarantined.
#[test]
fn canary_two_targets() {
    block_on(async {
        let fakes = ["a", "b", "c"].map(FakeTarget::start);
        let (control, host) = start(&fakes).await;
        fakes.iter().for_each(|it| it.set_mode(Mode::Crash));
        for (step, name) in ["a", "b"].into_iter().enumerate() {
            let ids = (1..=10u64).map(|it| it + 100 * step as u64);
            let (host, control) = (&host, &control);
            let results = join_all(ids.map(|id| async move {
                // A copy that arrives after the second crash is rejected before any of its sub-requests is queued.
                let progress = host.owner.exec(canary(id, name)).await;
                let kind = progress.map_or_else(|err| Some(err.kind), |it| error_kinds(&it)[0]);
                (kind.expect("failed"), suspects(control).len())
            }));
            for (kind, committed) in results.await {
                let rejected = kind == Kind::Quarantined;
                assert!(rejected || committed > step, "a result came before the commit");
                assert_ne!(kind, Kind::Timeout);
            }
            host.apply(control);
            assert_eq!(fakes[step].handled(), 1, "more than one copy ran at {name}");
        }
        assert_eq!(suspects(&control), ["a", "b"]);
        let err = host.owner.exec(canary(1_000, "c")).await.expect_err("quarantined");
        assert_eq!(err.kind, Kind::Quarantined);
        let known = host.owner.exec(batch(1_001, &["c"])).await.expect_err("quarantined");
        assert_eq!(known.kind, Kind::Quarantined);
        assert_eq!(fakes[2].handled(), 0);
    });
}

/// Guards against a crash that is forgotten when the target restarts or gets another owner. The view alone must keep
/// the request from the target that it crashed, and must allow it at one other.
#[test]
fn canary_suspect_of_other_owner() {
    block_on(async {
        let fakes = ["a", "b"].map(FakeTarget::start);
        let (control, host) = start(&fakes).await;
        control.apply_change(Change::Suspect { fingerprint: 7, target: "a".into() });
        host.apply(&control);
        let again = exec(&host, 1, "a").await;
        assert_eq!(error_kinds(&again), [Some(Kind::NoTarget)]);
        assert_eq!(fakes[0].handled(), 0);
        let other = exec(&host, 2, "b").await;
        assert_eq!(error_kinds(&other), [None]);
    });
}

/// Guards against a fingerprint that becomes suspect because a connection broke without a crash.
#[test]
fn canary_broken_connection() {
    block_on(async {
        let fakes = [FakeTarget::start("a")];
        let (control, host) = start(&fakes).await;
        for mode in [Mode::Disconnect, Mode::Truncate] {
            fakes[0].set_next_mode(mode);
            let progress = exec(&host, mode as u64 + 1, "a").await;
            assert!(error_kinds(&progress)[0].is_some());
        }
        assert!(suspects(&control).is_empty());
        let progress = exec(&host, 100, "a").await;
        assert_eq!(error_kinds(&progress), [None]);
    });
}

/// Guards against a target at its connection limit that counts as crashed because it closes new connections.
#[test]
fn canary_connection_limit() {
    block_on(async {
        let fakes = [FakeTarget::start("a")];
        let (control, host) = start(&fakes).await;
        assert_eq!(error_kinds(&exec(&host, 1, "a").await), [None]);
        fakes[0].state.health_requests_to_drop.store(2, Ordering::SeqCst);
        fakes[0].set_next_mode(Mode::Disconnect);
        assert_eq!(error_kinds(&exec(&host, 2, "a").await), [Some(Kind::Disconnected)]);
        assert_eq!(
            fakes[0].state.health_requests_to_drop.load(Ordering::SeqCst),
            0,
            "the health request was not repeated"
        );
        assert!(suspects(&control).is_empty());
    });
}

/// Guards against canary requests with the same fingerprint that run at the same time. Other fingerprints need not
/// wait.
#[test]
fn canary_one_at_a_time() {
    block_on(async {
        let fakes = ["a", "b"].map(FakeTarget::start);
        fakes.iter().for_each(|it| it.set_delay(5));
        let (_control, host) = start(&fakes).await;
        let ids = (1..=20u64).map(|id| host.owner.exec(canary(id, "a")));
        let other = Batch { fingerprint: 8, ..canary(99, "b") };
        let (results, other) = futures::join!(join_all(ids), host.owner.exec(other));
        assert!(results.into_iter().all(|it| error_kinds(&it.expect("progress")) == [None]));
        assert_eq!(error_kinds(&other.expect("progress")), [None]);
        assert_eq!((fakes[0].max_running(), fakes[0].handled()), (1, 20));
    });
}

/// Guards against a second canary request that starts while the first still runs, because the root of the first has
/// dropped its call.
#[test]
fn canary_dropped_exec() {
    block_on(async {
        let fakes = [FakeTarget::start("a")];
        let (_control, host) = start(&fakes).await;
        fakes[0].set_delay(300);
        let first = tokio::spawn({
            let owner = host.owner.clone();
            async move { owner.exec(canary(1, "a")).await }
        });
        wait_until("the first runs", || fakes[0].running() == 1).await;
        first.abort();
        fakes[0].set_delay(0);
        let progress = exec(&host, 2, "a").await;
        assert_eq!(error_kinds(&progress), [None]);
        assert_eq!(fakes[0].max_running(), 1);
    });
}

/// Guards against a dispatch whose crash is not recorded.
#[test]
fn canary_dispatch_crash() {
    block_on(async {
        let fakes = ["a", "b"].map(FakeTarget::start);
        let (control, host) = start(&fakes).await;
        fakes[0].set_mode(Mode::Crash);
        let dispatch = |target: &str| Dispatch {
            request_id: 1,
            traceparent: None,
            target: target.into(),
            key: "k".into(),
            kind: "print-dispatch".into(),
            body: "job".into(),
            fingerprint: 7,
            deadline_ms: 2_000,
        };
        let result = host.owner.dispatch(dispatch("a")).await.expect("outcome");
        assert_eq!(result.outcome, Outcome::Unknown);
        assert_eq!(suspects(&control), ["a"]);
        let again = host.owner.dispatch(dispatch("a")).await.expect("outcome");
        assert_eq!((again.outcome, again.error), (Outcome::NotRun, Some(Kind::NoTarget)));
        tokio::time::timeout(Duration::from_secs(5), async {
            let other = host.owner.dispatch(dispatch("b")).await.expect("outcome");
            assert_eq!(other.outcome, Outcome::Done);
        })
        .await
        .expect("in time");
    });
}

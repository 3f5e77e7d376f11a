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
    batch,
    fake::{Fake, Mode},
    host::{Host, Net, target},
    kinds, run, until,
};

fn canary(id: u64, name: &str) -> Batch {
    Batch { canary: true, ..batch(id, &[name]) }
}

async fn start(fakes: &[Fake]) -> (Net, Host) {
    let net = Net::start().await;
    let host = Host::start(&net, "entry-1").await;
    for fake in fakes {
        net.put_target(fake, 4, 4);
        host.apply(&net);
        host.announce(Announcement { target: target(fake, 4, 4), cold: false });
    }
    (net, host)
}

async fn exec(host: &Host, id: u64, name: &str) -> Progress {
    host.owner.exec(canary(id, name)).await.expect("progress")
}

fn suspects(net: &Net) -> Vec<String> {
    let committed = net.committed.lock();
    let targets = committed.iter().filter_map(|it| match it {
        Change::Suspect { target, .. } => Some(target.clone()),
        _ => None,
    });
    targets.collect()
}

/// Guards against a request that crashes one target after another: each target crashes once, the suspicion is committed
/// before the result is returned, and after two targets nothing is sent any more. Many copies of the request wait at
/// each step.
#[test]
fn canary_two_targets() {
    run(async {
        let fakes = ["a", "b", "c"].map(Fake::start);
        let (net, host) = start(&fakes).await;
        fakes.iter().for_each(|it| it.mode(Mode::Crash));
        for (step, name) in ["a", "b"].into_iter().enumerate() {
            let ids = (1..=10u64).map(|it| it + 100 * step as u64);
            let (host, net) = (&host, &net);
            let results = join_all(ids.map(|id| async move {
                // A copy that comes after the second crash is rejected as a whole.
                let progress = host.owner.exec(canary(id, name)).await;
                let kind = progress.map_or_else(|err| Some(err.kind), |it| kinds(&it)[0]);
                (kind.expect("failed"), suspects(net).len())
            }));
            for (kind, committed) in results.await {
                let rejected = kind == Kind::Quarantined;
                assert!(rejected || committed > step, "a result came before the commit");
                assert_ne!(kind, Kind::Timeout);
            }
            host.apply(net);
            assert_eq!(fakes[step].handled(), 1, "more than one copy ran at {name}");
        }
        assert_eq!(suspects(&net), ["a", "b"]);
        let err = host.owner.exec(canary(1_000, "c")).await.expect_err("quarantined");
        assert_eq!(err.kind, Kind::Quarantined);
        let known = host.owner.exec(batch(1_001, &["c"])).await.expect_err("quarantined");
        assert_eq!(known.kind, Kind::Quarantined);
        assert_eq!(fakes[2].handled(), 0);
    });
}

/// Guards against a suspicion that ends with the process of the target or moves with its owner: the view alone keeps a
/// suspected request from the target that it crashed, and lets it try one other.
#[test]
fn canary_suspect_of_other_owner() {
    run(async {
        let fakes = ["a", "b"].map(Fake::start);
        let (net, host) = start(&fakes).await;
        net.put(Change::Suspect { fingerprint: 7, target: "a".into() });
        host.apply(&net);
        let again = exec(&host, 1, "a").await;
        assert_eq!(kinds(&again), [Some(Kind::NoTarget)]);
        assert_eq!(fakes[0].handled(), 0);
        let other = exec(&host, 2, "b").await;
        assert_eq!(kinds(&other), [None]);
    });
}

/// Guards against a fingerprint that is blocked because a connection broke for another reason.
#[test]
fn canary_broken_connection() {
    run(async {
        let fakes = [Fake::start("a")];
        let (net, host) = start(&fakes).await;
        for mode in [Mode::Break, Mode::CutOff] {
            fakes[0].once(mode);
            let progress = exec(&host, mode as u64 + 1, "a").await;
            assert!(kinds(&progress)[0].is_some());
        }
        assert!(suspects(&net).is_empty());
        let progress = exec(&host, 100, "a").await;
        assert_eq!(kinds(&progress), [None]);
    });
}

/// Guards against a target at its connection limit that counts as crashed, because it closes new connections.
#[test]
fn canary_connection_limit() {
    run(async {
        let fakes = [Fake::start("a")];
        let (net, host) = start(&fakes).await;
        assert_eq!(kinds(&exec(&host, 1, "a").await), [None]);
        fakes[0].facts.full.store(2, Ordering::SeqCst);
        fakes[0].once(Mode::Break);
        assert_eq!(kinds(&exec(&host, 2, "a").await), [Some(Kind::Disconnected)]);
        assert_eq!(fakes[0].facts.full.load(Ordering::SeqCst), 0, "health was asked again");
        assert!(suspects(&net).is_empty());
    });
}

/// Guards against several copies of an unknown request that run at once.
#[test]
fn canary_one_at_a_time() {
    run(async {
        let fakes = ["a", "b"].map(Fake::start);
        fakes.iter().for_each(|it| it.delay(5));
        let (_net, host) = start(&fakes).await;
        let ids = (1..=20u64).map(|id| host.owner.exec(canary(id, "a")));
        let other = Batch { fingerprint: 8, ..canary(99, "b") };
        let (results, other) = futures::join!(join_all(ids), host.owner.exec(other));
        assert!(results.into_iter().all(|it| kinds(&it.expect("progress")) == [None]));
        assert_eq!(kinds(&other.expect("progress")), [None]);
        assert_eq!((fakes[0].most(), fakes[0].handled()), (1, 20));
    });
}

/// Guards against a next copy that starts while the first one still runs, because the first root went away.
#[test]
fn canary_dropped_exec() {
    run(async {
        let fakes = [Fake::start("a")];
        let (_net, host) = start(&fakes).await;
        fakes[0].delay(300);
        let first = tokio::spawn({
            let owner = host.owner.clone();
            async move { owner.exec(canary(1, "a")).await }
        });
        until("the first runs", || fakes[0].running() == 1).await;
        first.abort();
        fakes[0].delay(0);
        let progress = exec(&host, 2, "a").await;
        assert_eq!(kinds(&progress), [None]);
        assert_eq!(fakes[0].most(), 1);
    });
}

/// Guards against a request that may not be repeated and crashes its target without a trace.
#[test]
fn canary_dispatch_crash() {
    run(async {
        let fakes = ["a", "b"].map(Fake::start);
        let (net, host) = start(&fakes).await;
        fakes[0].mode(Mode::Crash);
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
        assert_eq!(suspects(&net), ["a"]);
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

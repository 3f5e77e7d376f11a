use std::time::{Duration, Instant};

use gentianpass::{
    error::Kind,
    event,
    wire::{
        owner::{Batch, Release},
        target::Announcement,
    },
};

use crate::{
    batch,
    fake::{Fake, Mode},
    host::{Host, LEASE_MS, MAX_SUB_REQUEST_MS, Net, target},
    kinds, run, until,
};

/// Two hosts, the first of which owns the target; draining it moves the target to the second.
async fn pair(fake: &Fake) -> (Net, Host, Host) {
    let net = Net::start().await;
    let mut hosts = [Host::start(&net, "entry-1").await, Host::start(&net, "entry-2").await];
    net.put_target(fake, 1, 3);
    for host in &hosts {
        host.apply(&net);
        host.announce(Announcement { target: target(fake, 1, 3), cold: false });
    }
    if hosts[1].owns(&fake.name) {
        hosts.reverse();
    }
    let [old, new] = hosts;
    assert!(old.owns(&fake.name) && !new.owns(&fake.name));
    (net, old, new)
}

fn name(host: &Host) -> String {
    host.events.find(&event::Filter::default()).first().map(|it| it.host.clone()).expect("event")
}

/// Runs batches until one succeeds, and returns when that one started.
async fn first_success(host: &Host, first_id: u64) -> Instant {
    let end = Instant::now() + Duration::from_secs(10);
    for id in first_id.. {
        let started = Instant::now();
        assert!(started < end, "no success");
        let progress = host.owner.exec(batch(id, &["t"])).await.expect("progress");
        match kinds(&progress)[0] {
            None => return started,
            Some(kind) => assert_eq!(kind, Kind::NotOwner),
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    unreachable!()
}

/// Guards against two owners that send to one target at once, against new work from the old owner, and against a pause
/// of the whole wait although the old owner has released the target.
#[test]
fn handover_released() {
    run(async {
        let fake = Fake::start("t");
        let (net, old, new) = pair(&fake).await;
        fake.delay(300);
        let running = tokio::spawn({
            let owner = old.owner.clone();
            async move { owner.exec(batch(1, &["t", "t"])).await.expect("progress") }
        });
        until("one runs", || fake.running() == 1).await;
        fake.delay(0);
        net.drain(&format!("node/{}", name(&old)), "true");
        new.apply(&net);
        let applied = Instant::now();
        old.apply(&net);
        let started = first_success(&new, 100).await;
        let waited = started - applied;
        assert!(waited < Duration::from_millis(LEASE_MS + MAX_SUB_REQUEST_MS), "{waited:?}");
        assert_eq!(fake.most(), 1, "both owners sent");
        let running = running.await.expect("task");
        assert_eq!(kinds(&running), [None, Some(Kind::NotOwner)]);
        assert!(new.has_event(event::Kind::OwnerChanged, "t", "released"));
        let late = old.owner.exec(batch(2, &["t"])).await.expect("progress");
        assert_eq!(kinds(&late), [Some(Kind::NotOwner)]);
        old.owner.stop().await;
    });
}

/// Guards against a new owner that starts while the old one, which is cut off and knows nothing, may still send.
#[test]
fn handover_without_release() {
    run(async {
        let fake = Fake::start("t");
        let (net, old, new) = pair(&fake).await;
        fake.mode(Mode::Hang);
        net.drain(&format!("node/{}", name(&old)), "true");
        old.cut_off();
        let last = Batch { deadline_ms: 60_000, ..batch(1, &["t"]) };
        let running = tokio::spawn({
            let owner = old.owner.clone();
            async move { owner.exec(last).await.expect("progress") }
        });
        until("one runs", || fake.running() == 1).await;
        fake.mode(Mode::Answer);
        let applied = Instant::now();
        new.apply(&net);
        let waited = first_success(&new, 100).await - applied;
        let wait = Duration::from_millis(LEASE_MS + MAX_SUB_REQUEST_MS);
        assert!(waited >= wait && waited < wait * 2, "{waited:?}");
        assert_eq!(fake.most(), 1, "both owners sent");
        assert_eq!(kinds(&running.await.expect("task")), [Some(Kind::Timeout)]);
    });
}

/// Guards against a release of an earlier hand-over, or of another process, that ends the wait.
#[test]
fn handover_stale_release() {
    run(async {
        let fake = Fake::start("t");
        let (net, old, new) = pair(&fake).await;
        let before = net.view().revision;
        net.drain(&format!("node/{}", name(&old)), "true");
        old.cut_off();
        new.apply(&net);
        let release =
            |revision, incarnation| Release { target: "t".into(), incarnation, revision, limit: 3 };
        for stale in [release(before, 1), release(before + 1, 2)] {
            assert_eq!(new.owner.release(stale).expect_err("stale").kind, Kind::NotOwner);
        }
        assert_eq!(new.status("t").closed.as_deref(), Some("waiting for the previous owner"));
        new.owner.release(release(before + 1, 1)).expect("release");
        assert_eq!((new.status("t").closed, new.status("t").limit), (None, 3));
    });
}

/// Guards against an owner that gets its target back and no longer counts what it sent before.
#[test]
fn handover_back() {
    run(async {
        let fake = Fake::start("t");
        let (net, old, new) = pair(&fake).await;
        fake.delay(400);
        let running = tokio::spawn({
            let owner = old.owner.clone();
            async move { owner.exec(batch(1, &["t"])).await.expect("progress") }
        });
        until("one runs", || fake.running() == 1).await;
        fake.delay(0);
        let object = format!("node/{}", name(&old));
        for value in ["true", "false"] {
            net.drain(&object, value);
            old.apply(&net);
            new.apply(&net);
        }
        assert_eq!(old.status("t").in_flight, 1);
        first_success(&old, 100).await;
        assert_eq!(fake.most(), 1);
        running.await.expect("task");
    });
}

/// Guards against an owner that was cut off for long and goes on as if no other host had owned its targets meanwhile.
#[test]
fn handover_after_lapse() {
    run(async {
        let fake = Fake::start("t");
        let (net, old, _new) = pair(&fake).await;
        old.cut_off();
        let long = Duration::from_millis(MAX_SUB_REQUEST_MS);
        until("the lease is long over", || {
            old.lease.expired_for(Instant::now()).is_some_and(|it| it > long)
        })
        .await;
        net.drain("caller/somebody", "true");
        old.apply(&net);
        assert_eq!(old.status("t").closed.as_deref(), Some("waiting for the previous owner"));
    });
}

/// Guards against a planned stop that interrupts a request or takes new ones.
#[test]
fn handover_stop() {
    run(async {
        let fake = Fake::start("t");
        let (_net, old, _new) = pair(&fake).await;
        fake.delay(200);
        let running = tokio::spawn({
            let owner = old.owner.clone();
            async move { owner.exec(batch(1, &["t", "t"])).await.expect("progress") }
        });
        until("one runs", || fake.running() == 1).await;
        let stop = tokio::spawn({
            let owner = old.owner.clone();
            async move { owner.stop().await }
        });
        until("new work is rejected", || {
            let exec = old.owner.exec(batch(2, &["elsewhere"]));
            let result = futures::FutureExt::now_or_never(exec);
            matches!(result, Some(Err(err)) if err.kind == Kind::Leaving)
        })
        .await;
        stop.await.expect("task");
        assert_eq!(fake.running(), 0);
        assert_eq!(kinds(&running.await.expect("task")), [None, None]);
    });
}

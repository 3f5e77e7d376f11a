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
    batch, block_on, error_kinds,
    fake::{FakeTarget, Mode},
    host::{FakeControl, Host, LEASE_MS, MAX_SUB_REQUEST_MS, target},
    wait_until,
};

/// Starts two hosts and returns the owner of the target first. Draining the owner moves the target to the other host.
async fn two_hosts(fake: &FakeTarget) -> (FakeControl, Host, Host) {
    let control = FakeControl::start().await;
    let mut hosts =
        [Host::start(&control, "entry-1").await, Host::start(&control, "entry-2").await];
    control.put_target(fake, 1, 3);
    for host in &hosts {
        host.apply(&control);
        host.announce(Announcement { target: target(fake, 1, 3), cold: false });
    }
    if hosts[1].owns(&fake.name) {
        hosts.reverse();
    }
    let [old, new] = hosts;
    assert!(old.owns(&fake.name) && !new.owns(&fake.name));
    (control, old, new)
}

fn host_name(host: &Host) -> String {
    host.events.find(&event::Filter::default()).first().map(|it| it.host.clone()).expect("event")
}

/// Runs batches until one succeeds, and returns the time when that one started.
async fn first_success(host: &Host, first_id: u64) -> Instant {
    let end = Instant::now() + Duration::from_secs(10);
    for id in first_id.. {
        let started = Instant::now();
        assert!(started < end, "no success");
        let progress = host.owner.exec(batch(id, &["t"])).await.expect("progress");
        match error_kinds(&progress)[0] {
            None => return started,
            Some(kind) => assert_eq!(kind, Kind::NotOwner),
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    unreachable!()
}

/// Guards against two owners that send to one target at once, against new requests by the old owner, and against a new
/// owner that waits the full time although the old one has released the target.
#[test]
fn handover_released() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let (control, old, new) = two_hosts(&fake).await;
        fake.set_delay(300);
        let running = tokio::spawn({
            let owner = old.owner.clone();
            async move { owner.exec(batch(1, &["t", "t"])).await.expect("progress") }
        });
        wait_until("one runs", || fake.running() == 1).await;
        fake.set_delay(0);
        control.set_drain(&format!("node/{}", host_name(&old)), "true");
        new.apply(&control);
        let applied = Instant::now();
        old.apply(&control);
        let started = first_success(&new, 100).await;
        let waited = started - applied;
        assert!(waited < Duration::from_millis(LEASE_MS + MAX_SUB_REQUEST_MS), "{waited:?}");
        assert_eq!(fake.max_running(), 1, "both owners sent");
        let running = running.await.expect("task");
        assert_eq!(error_kinds(&running), [None, Some(Kind::NotOwner)]);
        assert!(new.has_event(event::Kind::OwnerChanged, "t", "released"));
        let late = old.owner.exec(batch(2, &["t"])).await.expect("progress");
        assert_eq!(error_kinds(&late), [Some(Kind::NotOwner)]);
        old.owner.stop().await;
    });
}

/// Guards against a new owner that starts too early when the old one is cut off from the control hosts, does not know
/// that it lost the target, and may still send.
#[test]
fn handover_without_release() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let (control, old, new) = two_hosts(&fake).await;
        fake.set_mode(Mode::Hang);
        control.set_drain(&format!("node/{}", host_name(&old)), "true");
        old.stop_lease_renewal();
        let last = Batch { deadline_ms: 60_000, ..batch(1, &["t"]) };
        let running = tokio::spawn({
            let owner = old.owner.clone();
            async move { owner.exec(last).await.expect("progress") }
        });
        wait_until("one runs", || fake.running() == 1).await;
        fake.set_mode(Mode::Answer);
        let applied = Instant::now();
        new.apply(&control);
        let waited = first_success(&new, 100).await - applied;
        let wait = Duration::from_millis(LEASE_MS + MAX_SUB_REQUEST_MS);
        assert!(waited >= wait && waited < wait * 2, "{waited:?}");
        assert_eq!(fake.max_running(), 1, "both owners sent");
        assert_eq!(error_kinds(&running.await.expect("task")), [Some(Kind::Timeout)]);
    });
}

/// Guards against a `release` call of an earlier handover, or for another process of the target, that ends the wait.
#[test]
fn handover_stale_release() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let (control, old, new) = two_hosts(&fake).await;
        let before = control.view().revision;
        control.set_drain(&format!("node/{}", host_name(&old)), "true");
        old.stop_lease_renewal();
        new.apply(&control);
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

/// Guards against an owner that gains its target back and no longer counts the requests that it sent before.
#[test]
fn handover_gained_back() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let (control, old, new) = two_hosts(&fake).await;
        fake.set_delay(400);
        let running = tokio::spawn({
            let owner = old.owner.clone();
            async move { owner.exec(batch(1, &["t"])).await.expect("progress") }
        });
        wait_until("one runs", || fake.running() == 1).await;
        fake.set_delay(0);
        let object = format!("node/{}", host_name(&old));
        for value in ["true", "false"] {
            control.set_drain(&object, value);
            old.apply(&control);
            new.apply(&control);
        }
        assert_eq!(old.status("t").in_flight, 1);
        first_success(&old, 100).await;
        assert_eq!(fake.max_running(), 1);
        running.await.expect("task");
    });
}

/// Guards against an owner that was cut off for so long that another host may have owned its targets, and that sends at
/// once after it reconnects.
#[test]
fn handover_after_lapse() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let (control, old, _new) = two_hosts(&fake).await;
        old.stop_lease_renewal();
        let long = Duration::from_millis(MAX_SUB_REQUEST_MS);
        wait_until("the lease is long over", || {
            old.lease.expired_for(Instant::now()).is_some_and(|it| it > long)
        })
        .await;
        control.set_drain("caller/somebody", "true");
        old.apply(&control);
        assert_eq!(old.status("t").closed.as_deref(), Some("waiting for the previous owner"));
    });
}

/// Guards against a planned stop that interrupts running requests or accepts new ones.
#[test]
fn handover_stop() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let (_control, old, _new) = two_hosts(&fake).await;
        fake.set_delay(200);
        let running = tokio::spawn({
            let owner = old.owner.clone();
            async move { owner.exec(batch(1, &["t", "t"])).await.expect("progress") }
        });
        wait_until("one runs", || fake.running() == 1).await;
        let stop = tokio::spawn({
            let owner = old.owner.clone();
            async move { owner.stop().await }
        });
        wait_until("new work is rejected", || {
            let exec = old.owner.exec(batch(2, &["elsewhere"]));
            let result = futures::FutureExt::now_or_never(exec);
            matches!(result, Some(Err(err)) if err.kind == Kind::Leaving)
        })
        .await;
        stop.await.expect("task");
        assert_eq!(fake.running(), 0);
        assert_eq!(error_kinds(&running.await.expect("task")), [None, None]);
    });
}

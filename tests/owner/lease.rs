use std::{sync::atomic::Ordering, time::Instant};

use gentianpass::{
    error::Kind,
    event,
    state::{Change, Phase},
    wire::target::Announcement,
};

use crate::{
    batch, block_on, error_kinds,
    fake::{FakeTarget, Mode},
    host::{FakeControl, Host, host_owning, target},
    wait_until,
};

/// Guards against requests, new or queued, that start after the lease has expired: the configuration may have changed.
#[test]
fn lease_expired() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let (_control, host) = host_owning(&fake, 1, 1).await;
        fake.set_mode(Mode::Hang);
        let queued = host.owner.exec(batch(1, &["t", "t", "t"]));
        let expiry = async {
            wait_until("the first runs", || fake.running() == 1).await;
            host.stop_lease_renewal();
            wait_until("the lease ends", || host.lease.remaining(Instant::now()).is_zero()).await;
            let err = host.owner.exec(batch(2, &["t"])).await.expect_err("no lease");
            assert_eq!(err.kind, Kind::NoLease);
        };
        let (queued, ()) = futures::join!(queued, expiry);
        let kinds = error_kinds(&queued.expect("progress"));
        assert_eq!(kinds, [Some(Kind::Timeout), Some(Kind::NoLease), Some(Kind::NoLease)]);
        assert_eq!(fake.handled(), 1);
    });
}

/// Guards against new requests to a target whose renewals have stopped, and against a target that stays closed after
/// they resume.
#[test]
fn lease_renewals_stopped() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let control = FakeControl::start().await;
        let host = Host::start(&control, "entry-1").await;
        control.put_target(&fake, 2, 2);
        host.apply(&control);
        wait_until("the missing renewals are recorded", || {
            host.has_event(event::Kind::TargetSilent, "t", "no renewal")
        })
        .await;
        let progress = host.owner.exec(batch(1, &["t"])).await.expect("progress");
        assert_eq!(error_kinds(&progress), [Some(Kind::NoTarget)]);
        assert_eq!(host.status("t").closed.as_deref(), Some("renewals stopped"));
        assert_eq!(fake.handled(), 0);
        let renewal = Announcement { target: target(&fake, 2, 2), cold: false };
        host.owner.renew(renewal).expect("owner");
        let progress = host.owner.exec(batch(2, &["t"])).await.expect("progress");
        assert_eq!(error_kinds(&progress), [None]);
    });
}

/// Guards against new requests to a target that is draining, whose zone is draining, or that has announced that it is
/// leaving before the control hosts know. Also guards against an announcement that is never committed, so that roots
/// never learn of it.
#[test]
fn lease_draining() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let control = FakeControl::start().await;
        let host = Host::start(&control, "entry-1").await;
        control.put_target(&fake, 2, 2);
        for object in ["zone/tayside-a", "target/t"] {
            control.set_drain(object, "true");
            // In a drained zone no entry host is usable, but this one stays the owner because there is no better one.
            host.apply(&control);
            if host.owns("t") {
                let progress = host.owner.exec(batch(1, &["t"])).await.expect("progress");
                assert_eq!(error_kinds(&progress), [Some(Kind::Draining)], "{object}");
            }
            control.set_drain(object, "false");
            host.apply(&control);
        }
        let mut leaving = target(&fake, 2, 2);
        leaving.phase = Phase::Leaving;
        let renewal = Announcement { target: leaving.clone(), cold: false };
        host.owner.renew(renewal).expect("owner");
        let progress = host.owner.exec(batch(2, &["t"])).await.expect("progress");
        assert_eq!(error_kinds(&progress), [Some(Kind::Draining)]);
        assert_eq!(fake.state.handled.load(Ordering::SeqCst), 0);
        wait_until("the phase is committed", || {
            control.committed.lock().contains(&Change::PutTarget(leaving.clone()))
        })
        .await;
    });
}

/// Guards against renewals that are accepted from an old process of the target, or by a host that does not own it.
#[test]
fn lease_renewal_rejected() {
    block_on(async {
        let mut fake = FakeTarget::start("t");
        let old = Announcement { target: target(&fake, 2, 2), cold: false };
        fake.restart();
        let (_control, host) = host_owning(&fake, 2, 2).await;
        assert_eq!(host.owner.renew(old).expect_err("old").kind, Kind::Conflict);
        let other = FakeTarget::start("other");
        let foreign = Announcement { target: target(&other, 2, 2), cold: false };
        assert_eq!(host.owner.renew(foreign).expect_err("foreign").kind, Kind::NotOwner);
    });
}

use std::{sync::atomic::Ordering, time::Instant};

use gentianpass::{
    error::Kind,
    event,
    state::{Change, Phase},
    wire::target::Announcement,
};

use crate::{
    batch,
    fake::{Fake, Mode},
    host::{Host, Net, owning, target},
    kinds, run, until,
};

/// Guards against work that starts under a configuration that may have ended, also when it was queued before.
#[test]
fn lease_expired() {
    run(async {
        let fake = Fake::start("t");
        let (_net, host) = owning(&fake, 1, 1).await;
        fake.mode(Mode::Hang);
        let queued = host.owner.exec(batch(1, &["t", "t", "t"]));
        let expiry = async {
            until("the first runs", || fake.running() == 1).await;
            host.cut_off();
            until("the lease ends", || host.lease.remaining(Instant::now()).is_zero()).await;
            let err = host.owner.exec(batch(2, &["t"])).await.expect_err("no lease");
            assert_eq!(err.kind, Kind::NoLease);
        };
        let (queued, ()) = futures::join!(queued, expiry);
        let kinds = kinds(&queued.expect("progress"));
        assert_eq!(kinds, [Some(Kind::Timeout), Some(Kind::NoLease), Some(Kind::NoLease)]);
        assert_eq!(fake.handled(), 1);
    });
}

/// Guards against new work for a target whose renewals stopped, and against one that stays closed afterwards.
#[test]
fn lease_renewals_stopped() {
    run(async {
        let fake = Fake::start("t");
        let net = Net::start().await;
        let host = Host::start(&net, "entry-1").await;
        net.put_target(&fake, 2, 2);
        host.apply(&net);
        until("the silence is noticed", || {
            host.has_event(event::Kind::TargetSilent, "t", "no renewal")
        })
        .await;
        let progress = host.owner.exec(batch(1, &["t"])).await.expect("progress");
        assert_eq!(kinds(&progress), [Some(Kind::NoTarget)]);
        assert_eq!(host.status("t").closed.as_deref(), Some("its renewals stopped"));
        assert_eq!(fake.handled(), 0);
        let renewal = Announcement { target: target(&fake, 2, 2), cold: false };
        host.owner.renew(renewal).expect("owner");
        let progress = host.owner.exec(batch(2, &["t"])).await.expect("progress");
        assert_eq!(kinds(&progress), [None]);
    });
}

/// Guards against new work for a target or zone that drains, and for a target that says that it is leaving before the
/// control hosts know; and against roots that never learn it.
#[test]
fn lease_draining() {
    run(async {
        let fake = Fake::start("t");
        let net = Net::start().await;
        let host = Host::start(&net, "entry-1").await;
        net.put_target(&fake, 2, 2);
        for object in ["zone/tayside-a", "target/t"] {
            net.drain(object, "true");
            // A drained zone has no usable entry host, but this one stays the best there is.
            host.apply(&net);
            if host.owns("t") {
                let progress = host.owner.exec(batch(1, &["t"])).await.expect("progress");
                assert_eq!(kinds(&progress), [Some(Kind::Draining)], "{object}");
            }
            net.drain(object, "false");
            host.apply(&net);
        }
        let mut leaving = target(&fake, 2, 2);
        leaving.phase = Phase::Leaving;
        let renewal = Announcement { target: leaving.clone(), cold: false };
        host.owner.renew(renewal).expect("owner");
        let progress = host.owner.exec(batch(2, &["t"])).await.expect("progress");
        assert_eq!(kinds(&progress), [Some(Kind::Draining)]);
        assert_eq!(fake.facts.handled.load(Ordering::SeqCst), 0);
        until("the phase is committed", || {
            net.committed.lock().contains(&Change::PutTarget(leaving.clone()))
        })
        .await;
    });
}

/// Guards against renewals that are taken by a host that does not own the target, or come from an old process.
#[test]
fn lease_renewal_rejected() {
    run(async {
        let mut fake = Fake::start("t");
        let old = Announcement { target: target(&fake, 2, 2), cold: false };
        fake.restart();
        let (_net, host) = owning(&fake, 2, 2).await;
        assert_eq!(host.owner.renew(old).expect_err("old").kind, Kind::Conflict);
        let other = Fake::start("other");
        let foreign = Announcement { target: target(&other, 2, 2), cold: false };
        assert_eq!(host.owner.renew(foreign).expect_err("foreign").kind, Kind::NotOwner);
    });
}

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use futures::future::join_all;
use gentianpass::{error::Kind, event};

use crate::{
    batch,
    fake::{Fake, Mode},
    host::{MAX_SUB_REQUEST_MS, owning},
    kinds, run, until,
};

/// Guards against a connection that stopped carrying data and takes other requests with it.
#[test]
fn connection_silent() {
    run(async {
        let fake = Fake::start("t");
        let (_net, host) = owning(&fake, 2, 2).await;
        fake.once(Mode::Hang);
        let started = Instant::now();
        let hanging = host.owner.exec(crate::Batch { deadline_ms: 800, ..batch(1, &["t"]) });
        let others = async {
            until("the request hangs", || fake.running() == 1).await;
            for id in 2..40u64 {
                let progress = host.owner.exec(batch(id, &["t"])).await.expect("progress");
                assert_eq!(kinds(&progress), [None]);
            }
            until("the silence is recorded", || {
                host.has_event(event::Kind::ConnectionSilent, "t", "no response")
            })
            .await;
        };
        let (progress, ()) = futures::join!(hanging, others);
        assert!(started.elapsed() < Duration::from_millis(800), "answered before the deadline");
        assert_eq!(kinds(&progress.expect("progress")), [None], "sent again on a new connection");
        until("the target has cancelled it", || fake.running() == 0).await;
        until("the slot is free", || host.status("t").in_flight == 0).await;
    });
}

/// Guards against a slow sub-request that is cancelled again and again instead of being awaited.
#[test]
fn connection_silent_twice() {
    run(async {
        let fake = Fake::start("t");
        let (_net, host) = owning(&fake, 2, 2).await;
        for id in 2..40u64 {
            let progress = host.owner.exec(batch(id, &["t"])).await.expect("progress");
            assert_eq!(kinds(&progress), [None]);
        }
        fake.mode(Mode::Hang);
        let before = fake.handled();
        let short = crate::Batch { deadline_ms: 800, ..batch(1, &["t"]) };
        let progress = host.owner.exec(short).await.expect("progress");
        assert_eq!(kinds(&progress), [Some(Kind::Timeout)]);
        assert_eq!(fake.handled() - before, 2, "sent again once");
    });
}

/// Guards against idle connections whose end is noticed by a request, and against a restarted target that stays
/// unreachable.
#[test]
fn connection_restarted_target() {
    run(async {
        let mut fake = Fake::start("t");
        let (net, host) = owning(&fake, 2, 2).await;
        let progress = host.owner.exec(batch(1, &["t"])).await.expect("progress");
        assert_eq!(kinds(&progress), [None]);
        until("idle connections are pinged", || fake.facts.health.load(Ordering::SeqCst) > 0).await;
        fake.crash();
        let progress = host.owner.exec(batch(2, &["t"])).await.expect("progress");
        let kind = kinds(&progress)[0].expect("no target");
        assert!(matches!(kind, Kind::NoTarget | Kind::Disconnected), "{kind}");
        fake.restart();
        net.put_target(&fake, 2, 2);
        host.apply(&net);
        let progress = host.owner.exec(batch(3, &["t"])).await.expect("progress");
        assert_eq!(kinds(&progress), [None]);
    });
}

/// Guards against more connections than the target accepts while many of them are silent.
#[test]
fn connection_limit() {
    run(async {
        let fake = Fake::start("t");
        let (_net, host) = owning(&fake, 12, 12).await;
        fake.mode(Mode::Hang);
        let short = |id| crate::Batch { deadline_ms: 500, ..batch(id, &["t"]) };
        let hanging = join_all((1..=30u64).map(|id| host.owner.exec(short(id))));
        let watched = async {
            until("requests hang", || fake.running() == 7).await;
            let status = host.status("t");
            assert_eq!((status.connections, status.in_flight, status.queued), (7, 7, 23));
            assert_eq!(fake.most(), 7, "one of eight connections is left for cancel requests");
        };
        let (results, ()) = futures::join!(hanging, watched);
        let ran = results
            .iter()
            .filter(|it| kinds(it.as_ref().expect("progress")) == [Some(Kind::Timeout)]);
        assert!(fake.handled() <= ran.count() as u32, "a request that counts as not run has run");
    });
}

/// Guards against more requests than slots when a connection breaks and the target goes on with its request.
#[test]
fn connection_broken() {
    run(async {
        let fake = Fake::start("t");
        let (_net, host) = owning(&fake, 2, 2).await;
        fake.once(Mode::Break);
        let started = Instant::now();
        let progress = host.owner.exec(batch(1, &["t"])).await.expect("progress");
        assert_eq!(kinds(&progress), [Some(Kind::Disconnected)]);
        until("the slot is free", || host.status("t").in_flight == 0).await;
        assert!(started.elapsed() >= Duration::from_millis(MAX_SUB_REQUEST_MS));
    });
}

/// Guards against a process that hangs at its end: slots and connections that are dropped with the runtime ask for
/// other connections while work waits.
#[test]
fn connection_runtime_ends() {
    let fake = Fake::start("t");
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let (_net, host) = owning(&fake, 1, 1).await;
        fake.mode(Mode::Hang);
        let owner = host.owner.clone();
        tokio::spawn(async move { owner.exec(batch(1, &["t", "t", "t"])).await });
        until("one runs", || fake.running() == 1).await;
    });
    let (tx, rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        drop(runtime);
        tx.send(()).expect("test waits");
    });
    rx.recv_timeout(crate::PATIENCE).expect("the runtime ends");
}

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use futures::future::join_all;
use gentianpass::{error::Kind, event};

use crate::{
    batch, block_on, error_kinds,
    fake::{FakeTarget, Mode},
    host::{MAX_SUB_REQUEST_MS, host_owning},
    wait_until,
};

/// Guards against a stalled connection that delays other requests or loses its own: the request is cancelled on another
/// connection and sent again.
#[test]
fn connection_stalled() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let (_control, host) = host_owning(&fake, 2, 2).await;
        fake.set_next_mode(Mode::Hang);
        let started = Instant::now();
        let hanging = host.owner.exec(crate::Batch { deadline_ms: 800, ..batch(1, &["t"]) });
        let others = async {
            wait_until("the request hangs", || fake.running() == 1).await;
            for id in 2..40u64 {
                let progress = host.owner.exec(batch(id, &["t"])).await.expect("progress");
                assert_eq!(error_kinds(&progress), [None]);
            }
            wait_until("the stalled connection is recorded", || {
                host.has_event(event::Kind::ConnectionSilent, "t", "no response")
            })
            .await;
        };
        let (progress, ()) = futures::join!(hanging, others);
        assert!(started.elapsed() < Duration::from_millis(800), "answered before the deadline");
        assert_eq!(
            error_kinds(&progress.expect("progress")),
            [None],
            "sent again on a new connection"
        );
        wait_until("the target has cancelled the first send", || fake.running() == 0).await;
        wait_until("the slot is free", || host.status("t").in_flight == 0).await;
    });
}

/// Guards against a slow sub-request that is cancelled each time it is sent. The second send must be awaited until the
/// deadline.
#[test]
fn connection_stalled_twice() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let (_control, host) = host_owning(&fake, 2, 2).await;
        for id in 2..40u64 {
            let progress = host.owner.exec(batch(id, &["t"])).await.expect("progress");
            assert_eq!(error_kinds(&progress), [None]);
        }
        fake.set_mode(Mode::Hang);
        let before = fake.handled();
        let short = crate::Batch { deadline_ms: 800, ..batch(1, &["t"]) };
        let progress = host.owner.exec(short).await.expect("progress");
        assert_eq!(error_kinds(&progress), [Some(Kind::Timeout)]);
        assert_eq!(fake.handled() - before, 2, "sent again once");
    });
}

/// Guards against a closed idle connection that is noticed only when a request fails, and against a restarted target
/// that stays unreachable.
#[test]
fn connection_restarted_target() {
    block_on(async {
        let mut fake = FakeTarget::start("t");
        let (control, host) = host_owning(&fake, 2, 2).await;
        let progress = host.owner.exec(batch(1, &["t"])).await.expect("progress");
        assert_eq!(error_kinds(&progress), [None]);
        wait_until("health checks", || fake.state.health_requests.load(Ordering::SeqCst) > 0).await;
        fake.crash();
        let progress = host.owner.exec(batch(2, &["t"])).await.expect("progress");
        let kind = error_kinds(&progress)[0].expect("no target");
        assert!(matches!(kind, Kind::NoTarget | Kind::Disconnected), "{kind}");
        fake.restart();
        control.put_target(&fake, 2, 2);
        host.apply(&control);
        let progress = host.owner.exec(batch(3, &["t"])).await.expect("progress");
        assert_eq!(error_kinds(&progress), [None]);
    });
}

/// Guards against more connections than the target accepts while many of them hang.
#[test]
fn connection_limit() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let (_control, host) = host_owning(&fake, 12, 12).await;
        fake.set_mode(Mode::Hang);
        let short = |id| crate::Batch { deadline_ms: 500, ..batch(id, &["t"]) };
        let hanging = join_all((1..=30u64).map(|id| host.owner.exec(short(id))));
        let watched = async {
            wait_until("requests hang", || fake.running() == 7).await;
            let status = host.status("t");
            assert_eq!((status.connections, status.in_flight, status.queued), (7, 7, 23));
            assert_eq!(
                fake.max_running(),
                7,
                "one of eight connections is left for cancel requests"
            );
        };
        let (results, ()) = futures::join!(hanging, watched);
        let ran = results
            .iter()
            .filter(|it| error_kinds(it.as_ref().expect("progress")) == [Some(Kind::Timeout)]);
        assert!(fake.handled() <= ran.count() as u32, "a request that counts as not run has run");
    });
}

/// Guards against more requests than slots after a connection broke: the target may still run its request, so the slot
/// stays taken until the longest request has ended.
#[test]
fn connection_broken() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let (_control, host) = host_owning(&fake, 2, 2).await;
        fake.set_next_mode(Mode::Disconnect);
        let started = Instant::now();
        let progress = host.owner.exec(batch(1, &["t"])).await.expect("progress");
        assert_eq!(error_kinds(&progress), [Some(Kind::Disconnected)]);
        wait_until("the slot is free", || host.status("t").in_flight == 0).await;
        assert!(started.elapsed() >= Duration::from_millis(MAX_SUB_REQUEST_MS));
    });
}

/// Guards against a deadlock at shutdown: slots and connections that are dropped with the runtime try to open other
/// connections while jobs wait.
#[test]
fn connection_runtime_ends() {
    let fake = FakeTarget::start("t");
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let (_control, host) = host_owning(&fake, 1, 1).await;
        fake.set_mode(Mode::Hang);
        let owner = host.owner.clone();
        tokio::spawn(async move { owner.exec(batch(1, &["t", "t", "t"])).await });
        wait_until("one runs", || fake.running() == 1).await;
    });
    let (tx, rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        drop(runtime);
        tx.send(()).expect("test waits");
    });
    rx.recv_timeout(crate::CONDITION_TIMEOUT).expect("the runtime ends");
}

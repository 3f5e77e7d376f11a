use std::{sync::atomic::Ordering, time::Duration};

use futures::future::join_all;
use gentianpass::{
    error::{Kind, Outcome},
    event,
    wire::{
        owner::{Batch, Class},
        target::Announcement,
    },
};

use crate::{
    batch, block_on, error_kinds,
    fake::{FakeTarget, Mode},
    host::{FakeControl, Host, host_owning, target},
    wait_until,
};

/// Runs batches one after another on several tasks until the limit of target `t` has grown to `limit`.
async fn grow_limit(host: &Host, first_id: u64, limit: u32) {
    let tasks = (0..8u64).map(|task| async move {
        let mut id = first_id + task * 1_000_000;
        while host.status("t").limit < limit {
            let _ = host.owner.exec(batch(id, &["t"])).await;
            id += 1;
        }
    });
    join_all(tasks).await;
}

/// Guards against more requests at a target than its slots, and against lost requests, when many batches for several
/// targets run at once.
#[test]
fn load_concurrent_batches() {
    block_on(async {
        let fakes = [FakeTarget::start("a"), FakeTarget::start("b"), FakeTarget::start("c")];
        let control = FakeControl::start().await;
        let host = Host::start(&control, "entry-1").await;
        for (fake, slots) in fakes.iter().zip([1, 2, 5]) {
            fake.set_delay(2);
            control.put_target(fake, slots, slots);
            host.apply(&control);
            host.announce(Announcement { target: target(fake, slots, slots), cold: false });
        }
        let batches = (1..=60u64).map(|id| host.owner.exec(batch(id, &["a", "b", "c", "a"])));
        for progress in join_all(batches).await {
            let progress = progress.expect("progress");
            assert_eq!(error_kinds(&progress), [None; 4]);
            assert!(progress.pending.is_empty());
        }
        assert_eq!(fakes.each_ref().map(FakeTarget::handled), [120, 60, 60]);
        for (fake, slots) in fakes.iter().zip([1, 2, 5]) {
            assert!(fake.max_running() <= slots, "{} of {slots}", fake.max_running());
            let opened = fake.state.connections.load(Ordering::SeqCst);
            assert!(opened <= slots + 2, "{opened} connections for {slots} slots");
        }
    });
}

/// Guards against a cold target that gets more requests than its warm-up limit, and against a warm one whose limit
/// never grows.
#[test]
fn load_warm_up() {
    block_on(async {
        let fake = FakeTarget::start("t");
        fake.set_delay(1);
        let control = FakeControl::start().await;
        let host = Host::start(&control, "entry-1").await;
        control.put_target(&fake, 1, 4);
        host.apply(&control);
        fake.state.cold.store(true, Ordering::SeqCst);
        let cold = host.announce(Announcement { target: target(&fake, 1, 4), cold: true });
        let batches = (1..=300u64).map(|id| host.owner.exec(batch(id, &["t"])));
        join_all(batches).await;
        assert_eq!(fake.max_running(), 1, "more than the warm-up limit while cold");

        cold.store(false, Ordering::SeqCst);
        fake.state.cold.store(false, Ordering::SeqCst);
        host.announce(Announcement { target: target(&fake, 1, 4), cold: false });
        grow_limit(&host, 1_000, 4).await;
        assert!(fake.max_running() <= 4);
        wait_until("an event with the cause", || {
            host.has_event(event::Kind::LimitChanged, "t", "timely_successes")
        })
        .await;
    });
}

/// Guards against full load on a target that turned cold without reporting it: sheds must reset the limit.
#[test]
fn load_cold_without_report() {
    block_on(async {
        let fake = FakeTarget::start("t");
        fake.set_delay(1);
        let (_control, host) = host_owning(&fake, 1, 3).await;
        grow_limit(&host, 1, 3).await;
        fake.set_mode(Mode::Shed);
        for id in 100_000_000.. {
            if host.status("t").limit == 1 {
                break;
            }
            let _ = host.owner.exec(batch(id, &["t"])).await;
            assert!(id < 100_000_010, "still at {}", host.status("t").limit);
        }
        fake.set_mode(Mode::Answer);
        fake.state.max_running.store(0, Ordering::SeqCst);
        join_all((1..=8u64).map(|id| host.owner.exec(batch(id << 40, &["t"])))).await;
        assert_eq!(fake.max_running(), 1);
    });
}

/// Guards against `Overloaded`, which means not run, for a request that has run.
#[test]
fn load_overloaded() {
    block_on(async {
        let fake = FakeTarget::start("t");
        fake.set_delay(60);
        let (_control, host) = host_owning(&fake, 1, 1).await;
        let short = |id| Batch { deadline_ms: 200, ..batch(id, &["t"]) };
        let mut ran = 0;
        for progress in join_all((1..=12u64).map(|id| host.owner.exec(short(id)))).await {
            let kind = error_kinds(&progress.expect("progress"))[0];
            match kind.map(Kind::outcome) {
                None | Some(Outcome::Unknown) => ran += 1,
                _ => assert_eq!(kind, Some(Kind::Overloaded)),
            }
        }
        assert!(ran < 12, "nothing was rejected");
        assert!(fake.handled() <= ran, "a request that counts as not run has run");
    });
}

/// Guards against quick requests that wait behind broad ones.
#[test]
fn load_quick_first() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let (_control, host) = host_owning(&fake, 1, 1).await;
        fake.set_next_mode(Mode::Hang);
        let exec = |id, class: Class| {
            host.owner.exec(Batch { class, kind: class.to_string(), ..batch(id, &["t"]) })
        };
        let first = exec(1, Class::Broad);
        let others = async {
            wait_until("the first runs", || fake.running() == 1).await;
            let broad = join_all((2..=5u64).map(|id| exec(id, Class::Broad)));
            let quick = join_all((6..=7u64).map(|id| exec(id, Class::Quick)));
            let start = async {
                wait_until("the others wait", || host.status("t").queued == 6).await;
                host.owner.cancel(1, vec![0]).await;
            };
            futures::join!(broad, quick, start)
        };
        futures::join!(first, others).0.expect("progress");
        let order: Vec<_> =
            fake.state.sub_requests.lock().iter().map(|it| it.kind.clone()).collect();
        assert_eq!(order, ["broad", "quick", "quick", "broad", "broad", "broad", "broad"]);
    });
}

/// Guards against roots that get no result before the slowest sub-request has ended, and against results that are
/// returned twice or never.
#[test]
fn load_partial_and_collect() {
    block_on(async {
        let fakes = [FakeTarget::start("a"), FakeTarget::start("b")];
        fakes[1].set_delay(300);
        let control = FakeControl::start().await;
        let host = Host::start(&control, "entry-1").await;
        for fake in &fakes {
            control.put_target(fake, 2, 2);
            host.apply(&control);
            host.announce(Announcement { target: target(fake, 2, 2), cold: false });
        }
        let first = Batch { partial_after_ms: 100, ..batch(1, &["a", "b"]) };
        let first = host.owner.exec(first).await.expect("progress");
        assert_eq!((first.finished.len(), first.pending), (1, vec![1]));
        assert_eq!(first.hints[0].target, "a");
        let none = host.owner.collect(1, Duration::from_millis(1)).await.expect("progress");
        assert_eq!((none.finished.len(), none.pending), (0, vec![1]));
        let rest = host.owner.collect(1, Duration::from_secs(5)).await.expect("progress");
        assert_eq!((error_kinds(&rest), rest.pending), (vec![None], vec![]));
        let gone = host.owner.collect(1, Duration::from_secs(5)).await.expect_err("collected");
        assert_eq!(gone.kind, Kind::NotFound);
    });
}

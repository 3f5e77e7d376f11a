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
    batch,
    fake::{Fake, Mode},
    host::{Host, Net, owning, target},
    kinds, run, until,
};

/// Runs batches one after another on several tasks until the limit of target `t` has reached `limit`.
async fn grow(host: &Host, first_id: u64, limit: u32) {
    let tasks = (0..8u64).map(|task| async move {
        let mut id = first_id + task * 1_000_000;
        while host.status("t").limit < limit {
            let _ = host.owner.exec(batch(id, &["t"])).await;
            id += 1;
        }
    });
    join_all(tasks).await;
}

/// Guards against more requests at a target than its slots, and against requests that get lost, when many batches for
/// several targets run at once.
#[test]
fn load_concurrent_batches() {
    run(async {
        let fakes = [Fake::start("a"), Fake::start("b"), Fake::start("c")];
        let net = Net::start().await;
        let host = Host::start(&net, "entry-1").await;
        for (fake, slots) in fakes.iter().zip([1, 2, 5]) {
            fake.delay(2);
            net.put_target(fake, slots, slots);
            host.apply(&net);
            host.announce(Announcement { target: target(fake, slots, slots), cold: false });
        }
        let batches = (1..=60u64).map(|id| host.owner.exec(batch(id, &["a", "b", "c", "a"])));
        for progress in join_all(batches).await {
            let progress = progress.expect("progress");
            assert_eq!(kinds(&progress), [None; 4]);
            assert!(progress.pending.is_empty());
        }
        assert_eq!(fakes.each_ref().map(Fake::handled), [120, 60, 60]);
        for (fake, slots) in fakes.iter().zip([1, 2, 5]) {
            assert!(fake.most() <= slots, "{} of {slots}", fake.most());
            let opened = fake.facts.connections.load(Ordering::SeqCst);
            assert!(opened <= slots + 2, "{opened} connections for {slots} slots");
        }
    });
}

/// Guards against a cold target that gets more than its warm-up limit, and against one that never gets more.
#[test]
fn load_warm_up() {
    run(async {
        let fake = Fake::start("t");
        fake.delay(1);
        let net = Net::start().await;
        let host = Host::start(&net, "entry-1").await;
        net.put_target(&fake, 1, 4);
        host.apply(&net);
        fake.facts.cold.store(true, Ordering::SeqCst);
        let cold = host.announce(Announcement { target: target(&fake, 1, 4), cold: true });
        let batches = (1..=300u64).map(|id| host.owner.exec(batch(id, &["t"])));
        join_all(batches).await;
        assert_eq!(fake.most(), 1, "more than the warm-up limit while cold");

        cold.store(false, Ordering::SeqCst);
        fake.facts.cold.store(false, Ordering::SeqCst);
        host.announce(Announcement { target: target(&fake, 1, 4), cold: false });
        grow(&host, 1_000, 4).await;
        assert!(fake.most() <= 4);
        until("an event with the cause", || {
            host.has_event(event::Kind::LimitChanged, "t", "timely_successes")
        })
        .await;
    });
}

/// Guards against full load on a target that turned cold without a word: sheds reset the limit.
#[test]
fn load_cold_without_report() {
    run(async {
        let fake = Fake::start("t");
        fake.delay(1);
        let (_net, host) = owning(&fake, 1, 3).await;
        grow(&host, 1, 3).await;
        fake.mode(Mode::Shed);
        for id in 100_000_000.. {
            if host.status("t").limit == 1 {
                break;
            }
            let _ = host.owner.exec(batch(id, &["t"])).await;
            assert!(id < 100_000_010, "still at {}", host.status("t").limit);
        }
        fake.mode(Mode::Answer);
        fake.facts.most.store(0, Ordering::SeqCst);
        join_all((1..=8u64).map(|id| host.owner.exec(batch(id << 40, &["t"])))).await;
        assert_eq!(fake.most(), 1);
    });
}

/// Guards against a refusal for lack of time that is not true.
#[test]
fn load_overloaded() {
    run(async {
        let fake = Fake::start("t");
        fake.delay(60);
        let (_net, host) = owning(&fake, 1, 1).await;
        let short = |id| Batch { deadline_ms: 200, ..batch(id, &["t"]) };
        let mut ran = 0;
        for progress in join_all((1..=12u64).map(|id| host.owner.exec(short(id)))).await {
            let kind = kinds(&progress.expect("progress"))[0];
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
    run(async {
        let fake = Fake::start("t");
        let (_net, host) = owning(&fake, 1, 1).await;
        fake.once(Mode::Hang);
        let exec = |id, class: Class| {
            host.owner.exec(Batch { class, kind: class.to_string(), ..batch(id, &["t"]) })
        };
        let first = exec(1, Class::Broad);
        let others = async {
            until("the first runs", || fake.running() == 1).await;
            let broad = join_all((2..=5u64).map(|id| exec(id, Class::Broad)));
            let quick = join_all((6..=7u64).map(|id| exec(id, Class::Quick)));
            let start = async {
                until("the others wait", || host.status("t").queued == 6).await;
                host.owner.cancel(1, vec![0]).await;
            };
            futures::join!(broad, quick, start)
        };
        futures::join!(first, others).0.expect("progress");
        let order: Vec<_> = fake.facts.subs.lock().iter().map(|it| it.kind.clone()).collect();
        assert_eq!(order, ["broad", "quick", "quick", "broad", "broad", "broad", "broad"]);
    });
}

/// Guards against roots that wait for the slowest sub-request before they see the others, and against results that
/// come twice or never.
#[test]
fn load_partial_and_collect() {
    run(async {
        let fakes = [Fake::start("a"), Fake::start("b")];
        fakes[1].delay(300);
        let net = Net::start().await;
        let host = Host::start(&net, "entry-1").await;
        for fake in &fakes {
            net.put_target(fake, 2, 2);
            host.apply(&net);
            host.announce(Announcement { target: target(fake, 2, 2), cold: false });
        }
        let first = Batch { partial_after_ms: 100, ..batch(1, &["a", "b"]) };
        let first = host.owner.exec(first).await.expect("progress");
        assert_eq!((first.finished.len(), first.pending), (1, vec![1]));
        assert_eq!(first.hints[0].target, "a");
        let none = host.owner.collect(1, Duration::from_millis(1)).await.expect("progress");
        assert_eq!((none.finished.len(), none.pending), (0, vec![1]));
        let rest = host.owner.collect(1, Duration::from_secs(5)).await.expect("progress");
        assert_eq!((kinds(&rest), rest.pending), (vec![None], vec![]));
        let gone = host.owner.collect(1, Duration::from_secs(5)).await.expect_err("collected");
        assert_eq!(gone.kind, Kind::NotFound);
    });
}

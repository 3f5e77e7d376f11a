use std::time::{Duration, Instant};

use gentianpass::{
    error::{Kind, Outcome},
    wire::owner::{Dispatch, Dispatched},
};

use crate::{
    block_on,
    fake::{FakeTarget, Mode},
    host::{Host, host_owning},
    wait_until,
};

async fn dispatch(host: &Host, deadline_ms: u64) -> Dispatched {
    let dispatch = Dispatch {
        request_id: 1,
        traceparent: None,
        target: "t".into(),
        key: "key-1".into(),
        kind: "print-dispatch".into(),
        body: "job 5".into(),
        fingerprint: 9,
        deadline_ms,
    };
    host.owner.dispatch(dispatch).await.expect("outcome")
}

fn not_run(kind: Kind) -> Dispatched {
    Dispatched { outcome: Outcome::NotRun, result: None, error: Some(kind) }
}

fn unknown(kind: Kind) -> Dispatched {
    Dispatched { outcome: Outcome::Unknown, result: None, error: Some(kind) }
}

/// Guards against wrong outcomes. A false `NotRun` allows another attempt, so that the request runs twice; a false
/// `Unknown` gives up a request that could have run.
#[test]
fn dispatch_outcomes() {
    block_on(async {
        let fake = FakeTarget::start("t");
        let (_control, host) = host_owning(&fake, 12, 12).await;
        let done =
            Dispatched { outcome: Outcome::Done, result: Some("ran job 5".into()), error: None };
        assert_eq!(dispatch(&host, 500).await, done);
        let cases = [
            (Mode::Shed, not_run(Kind::Shed), 0),
            (Mode::Draining, not_run(Kind::Draining), 0),
            (Mode::Disconnect, unknown(Kind::Disconnected), 1),
            (Mode::Hang, unknown(Kind::Timeout), 1),
            (Mode::Truncate, unknown(Kind::BadAnswer), 1),
            (Mode::WrongId, unknown(Kind::BadAnswer), 1),
            (Mode::RefusalWithOk, unknown(Kind::BadAnswer), 1),
        ];
        for (mode, expected, ran) in cases {
            let before = fake.handled();
            fake.set_next_mode(mode);
            assert_eq!(dispatch(&host, 300).await, expected, "{mode:?}");
            assert_eq!(fake.handled() - before, ran, "{mode:?}");
        }
    });
}

/// Guards against `Unknown` for a target that cannot be reached, and against a hidden second attempt.
#[test]
fn dispatch_refused_connection() {
    block_on(async {
        let mut fake = FakeTarget::start("t");
        let (_control, host) = host_owning(&fake, 2, 2).await;
        fake.crash();
        assert_eq!(dispatch(&host, 2_000).await, not_run(Kind::NoTarget));
        assert_eq!(fake.handled(), 0);
    });
}

/// Guards against a request that is reported as not run at its deadline and starts afterwards.
#[test]
fn dispatch_queued_too_long() {
    block_on(async {
        let fake = FakeTarget::start("t");
        fake.set_delay(400);
        let (_control, host) = host_owning(&fake, 1, 1).await;
        let (first, second) = futures::join!(dispatch(&host, 800), async {
            wait_until("the first runs", || fake.running() == 1).await;
            dispatch(&host, 100).await
        });
        assert_eq!(first.outcome, Outcome::Done);
        assert_eq!(second, not_run(Kind::Overloaded));
        let end = Instant::now() + Duration::from_millis(300);
        while Instant::now() < end {
            assert_eq!(fake.handled(), 1);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
}

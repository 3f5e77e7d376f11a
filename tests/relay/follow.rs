//! How soon a relay follows the configuration, and what it does while it cannot.

use std::time::{Duration, Instant};

use gentianpass::{
    relay::{DEFAULT_MAX_CONFIG_AGE, LATE_CONFIG_AGE, is_log_due, is_poll_awaited},
    route::{Kind, Route},
    state::Change,
    wire::control::Poll,
};
use hyper::StatusCode;
use tokio::time::{sleep, timeout};

use crate::{
    fake_control::{Answer, FakeControl, changes_with_gap, config, whole},
    support::{self, Behaviour, Harness, StubTarget, WAIT_TIMEOUT, record, single},
};

/// Half of the time from an acknowledgement until the configuration must be in force (`configApplyMs`): the other half
/// is for a control host that has just fallen silent.
const APPLY: Duration = Duration::from_millis(1_500);

/// Guards against a relay that polls only after its reports and its registration have got a response: a control host that
/// cannot reach the leader delayed each change by the time-outs of both.
#[tokio::test]
async fn hanging_report_delays_no_change() {
    let harness = Harness::start().await;
    let leaving = StubTarget::start(Behaviour::Leaving(record(1))).await;
    let other = StubTarget::start(Behaviour::Answer(record(2))).await;
    harness.announce("a", "s", "near", leaving.addr);
    harness.announce("b", "s", "far", other.addr);
    harness.put_routes(vec![single(Kind::Idempotent)]).await;
    harness.control.hang_submissions();
    harness.control.apply(Change::RemoveNode {
        name: "relay-1".into(),
        incarnation: harness.control.incarnation("relay-1"),
    });
    assert_eq!(harness.get("/one/x").await.0, StatusCode::OK);
    for round in 0..5 {
        let prefix = format!("/added-{round}/");
        sleep(Duration::from_millis(170)).await;
        let changed_at = Instant::now();
        harness.control.add_route(&prefix);
        let in_force = async {
            while harness.get(&prefix).await.0 == StatusCode::NOT_FOUND {
                sleep(Duration::from_millis(10)).await;
            }
        };
        let in_force = timeout(2 * APPLY, in_force).await;
        let took = changed_at.elapsed();
        assert!(in_force.is_ok() && took < APPLY, "round {round}: {took:?}");
    }
}

/// Guards against a log that is full of the age that each poll reaches while nothing changes, and against a relay that is
/// behind and says so only once, or at each check.
#[test]
fn is_log_due_cycle_and_outage() {
    let start = Instant::now();
    let ms = Duration::from_millis;
    assert!(!is_log_due(ms(2_070), None, start));
    assert!(LATE_CONFIG_AGE > ms(2_070) && LATE_CONFIG_AGE < ms(3_000));
    let mut logged_at = None;
    let mut lines = Vec::new();
    for age_ms in (0..10_000).step_by(250) {
        let now = start + ms(age_ms);
        if is_log_due(ms(age_ms), logged_at, now) {
            logged_at = Some(now);
            lines.push(age_ms);
        }
    }
    assert_eq!(lines, [2_750, 3_750, 4_750, 5_750, 6_750, 7_750, 8_750, 9_750]);
}

/// The value of a metric; with its labels, if it has any.
pub fn metric(harness: &Harness, name: &str) -> Option<u64> {
    let text = harness.relay.metrics();
    let mut values = text.lines().filter_map(|it| it.strip_prefix(name)?.trim().parse().ok());
    values.next()
}

pub const CONFIG_AGE_MS: &str = "gentianpass_relay_config_unconfirmed_milliseconds";

/// A route under this prefix whose service has no targets.
pub fn route(prefix: &str) -> Route {
    Route { name: prefix.into(), prefix: prefix.into(), ..single(Kind::Idempotent) }
}

/// Waits until the relay knows the route under this prefix.
pub async fn wait_for_route(harness: &Harness, prefix: &str, limit: Duration) -> bool {
    let known = async {
        while harness.get(prefix).await.0 == StatusCode::NOT_FOUND {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(limit, known).await.is_ok()
}

/// Guards against an age that counts from an answer which could not be applied: the relay served the old configuration
/// and recorded it as confirmed.
#[tokio::test]
async fn update_not_applied_age_grows() {
    let first = config(5, 1, vec![route("/old/")]);
    let (control, addr) = FakeControl::start(move |poll| match poll.revision {
        5 => Answer::Unchanged,
        _ => whole(&first),
    })
    .await;
    let harness = Harness::start_with(|it| it.control = vec![addr]).await;
    harness.wait_until(|| harness.relay.is_ready()).await;
    control.set_script(|_| changes_with_gap(9));
    let last = Instant::now();
    harness.wait_until(|| last.elapsed() > Duration::from_secs(4)).await;
    let age_ms = metric(&harness, CONFIG_AGE_MS);
    assert!(age_ms.is_some_and(|it| it > 3_000), "age after 4 s without an update: {age_ms:?} ms");
}

/// Guards against a copy that starts again from revision 0 after an update that did not apply and gets the same changes
/// again, for ever: the control host has them since revision 0, and sends the whole configuration only to a host whose
/// revision its history does not have.
#[tokio::test]
async fn update_not_applied_whole_configuration() {
    let first = config(5, 1, vec![route("/old/")]);
    let (control, addr) = FakeControl::start(move |poll| match poll.revision {
        5 => Answer::Unchanged,
        _ => whole(&first),
    })
    .await;
    let harness = Harness::start_with(|it| it.control = vec![addr]).await;
    harness.wait_until(|| harness.relay.is_ready()).await;
    let second = config(9, 2, vec![route("/new/")]);
    control.set_script(move |poll| match poll.revision {
        9 => Answer::Unchanged,
        0..9 => changes_with_gap(9),
        _ => whole(&second),
    });
    assert!(wait_for_route(&harness, "/new/", 2 * APPLY).await, "still the old configuration");
}

/// Guards against a relay that goes on for ever with a configuration that the control hosts have lost: what it serves
/// can be read back nowhere. The table has the same version, so that a table that is kept by its version shows as well.
#[tokio::test]
async fn confirmed_lower_revision_applied() {
    let before = config(50, 2, vec![route("/lost/")]);
    let (control, addr) = FakeControl::start(move |poll| match poll.revision {
        50 => Answer::Unchanged,
        _ => whole(&before),
    })
    .await;
    let harness = Harness::start_with(|it| it.control = vec![addr]).await;
    harness.wait_until(|| harness.relay.is_ready()).await;
    let after = config(20, 2, vec![route("/kept/")]);
    control.set_script(move |poll| match poll.revision {
        20 => Answer::Unchanged,
        _ => whole(&after),
    });
    assert!(wait_for_route(&harness, "/kept/", 2 * APPLY).await, "still the lost configuration");
    assert_eq!(harness.get("/lost/").await.0, StatusCode::NOT_FOUND);
}

/// Guards against a relay whose control hosts went back while its copy was started again in steps: the changes since
/// revision 0 lead to a lower revision than that of the routing table in force, and nothing newer follows.
#[tokio::test]
async fn unchanged_lower_revision_applied() {
    let before = config(50, 2, vec![route("/lost/")]);
    let (control, addr) = FakeControl::start(move |poll| match poll.revision {
        50 => Answer::Unchanged,
        _ => whole(&before),
    })
    .await;
    let harness = Harness::start_with(|it| it.control = vec![addr]).await;
    harness.wait_until(|| harness.relay.is_ready()).await;
    let after = config(20, 1, vec![route("/kept/")]);
    control.set_script(move |poll| match poll.revision {
        20 => Answer::Unchanged,
        0..20 => whole(&after),
        50 => changes_with_gap(60),
        _ => Answer::TooLarge,
    });
    assert!(wait_for_route(&harness, "/kept/", 2 * APPLY).await, "still the lost configuration");
}

/// Guards against a relay that refuses a route for good although it cannot know whether the route exists: callers do not
/// repeat a request after 404. Routes that it knows are served as before.
#[tokio::test]
async fn unknown_route_unconfirmed() {
    let target = StubTarget::start(Behaviour::Answer(record(1))).await;
    let mut config = config(5, 1, vec![single(Kind::Idempotent)]);
    config.targets.insert("a".into(), support::target("a", "s", "near", target.addr));
    let script = move |poll: &Poll| match poll.revision {
        5 => Answer::Unchanged,
        _ => whole(&config),
    };
    let (control, addr) = FakeControl::start(script.clone()).await;
    let harness = Harness::start_with(|it| it.control = vec![addr]).await;
    harness.wait_until(|| harness.relay.is_ready()).await;
    sleep(DEFAULT_MAX_CONFIG_AGE).await;
    assert_eq!(harness.get("/unknown/").await.0, StatusCode::NOT_FOUND);
    control.set_script(|_| Answer::Silent);
    sleep(DEFAULT_MAX_CONFIG_AGE + Duration::from_millis(1_200)).await;
    let (status, headers, body) = harness.get("/unknown/").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        (&headers["retry-after"], &body[..]),
        (&"0.100".parse().unwrap(), &b"config_unconfirmed"[..])
    );
    assert_eq!(harness.get("/one/x").await.0, StatusCode::OK);
    control.set_script(script);
    let confirmed = async {
        while harness.get("/unknown/").await.0 != StatusCode::NOT_FOUND {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(WAIT_TIMEOUT, confirmed).await.expect("confirmed again");
}

/// Guards against requests that wait for polls while no control host answers: only a process that stood still waits.
#[test]
fn is_poll_awaited_pause_and_outage() {
    let max_age = DEFAULT_MAX_CONFIG_AGE;
    let paused = max_age + Duration::from_millis(1);
    assert!(is_poll_awaited(paused, max_age, 0), "no poll has ended since the pause");
    assert!(is_poll_awaited(paused, max_age, 1), "the poll that was open has failed");
    assert!(!is_poll_awaited(paused, max_age, 2), "control hosts do not answer");
    assert!(!is_poll_awaited(max_age, max_age, 0), "the configuration is fresh");
}

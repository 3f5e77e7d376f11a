//! How soon a relay follows the configuration, and what it does while it cannot.

use std::time::{Duration, Instant};

use gentianpass::{
    relay::{LATE_CONFIG_AGE, is_log_due},
    route::Kind,
    state::Change,
};
use hyper::StatusCode;
use tokio::time::{sleep, timeout};

use crate::support::{Behaviour, Harness, StubTarget, record, single};

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

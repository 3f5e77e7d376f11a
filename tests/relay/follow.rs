//! How soon a relay follows the configuration while its other calls to control hosts get no response.

use std::time::{Duration, Instant};

use gentianpass::{route::Kind, state::Change};
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

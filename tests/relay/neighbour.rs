//! A relay that its control hosts do not bring up to date, beside relays that are.

use std::time::{Duration, Instant};

use gentianpass::{
    relay::{DEFAULT_MAX_CONFIG_AGE, Lag},
    route::{Kind, Route, To},
    state::Change,
};
use hyper::StatusCode;
use tokio::time::{sleep, timeout};

use crate::support::{Behaviour, Harness, StubTarget, record, single};

/// The time from a change until it is in force (`configApplyMs`).
const APPLY: Duration = DEFAULT_MAX_CONFIG_AGE;

/// Two relays, and a route that leads to a target with record 1 until it is moved to one with record 2.
struct Fleet {
    first: Harness,
    _second: Harness,
    _targets: [StubTarget; 2],
}

impl Fleet {
    async fn start() -> Self {
        let first = Harness::start().await;
        let targets = [
            StubTarget::start(Behaviour::Answer(record(1))).await,
            StubTarget::start(Behaviour::Answer(record(2))).await,
        ];
        first.announce("a", "s", "near", targets[0].addr);
        first.announce("b", "moved", "near", targets[1].addr);
        first.put_routes(vec![single(Kind::Idempotent), keeping_services()]).await;
        let second = first.start_beside(|_| ()).await;
        // Both relays know each other.
        sleep(Duration::from_millis(1_500)).await;
        Self { first, _second: second, _targets: targets }
    }

    fn move_route(&self) {
        let mut table = self.first.control.config().routes;
        table.version += 1;
        table.routes[0].to = To::Service("moved".into());
        self.first.control.apply(Change::PutRoutes(Box::new(table)));
    }

    /// Whether the first relay sends requests to the new service within the time that a change may take.
    async fn follows(&self) -> bool {
        let followed = async {
            while self.first.get("/one/").await.2 != record(2) {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(APPLY, followed).await.is_ok()
    }
}

/// A route that keeps both services in the table.
fn keeping_services() -> Route {
    let to = To::Service("moved".into());
    Route { name: "other".into(), prefix: "/other/".into(), to, ..single(Kind::Idempotent) }
}

/// Guards against a relay that goes on by an old configuration while no control host answers its polls, although other
/// relays have the new one.
#[tokio::test]
async fn old_service_polls_unanswered() {
    let fleet = Fleet::start().await;
    assert_eq!(fleet.first.get("/one/").await.2, record(1));
    fleet.first.control.hang_polls_of("relay-1");
    sleep(APPLY).await;
    fleet.move_route();
    assert!(fleet.follows().await, "still the old service after {APPLY:?}");
}

/// Guards against a relay whose polls are confirmed by a control host that has an old configuration.
#[tokio::test]
async fn old_service_polls_outdated() {
    let fleet = Fleet::start().await;
    fleet.first.control.stop_updates_to("relay-1");
    fleet.move_route();
    assert!(fleet.follows().await, "still the old service after {APPLY:?}");
}

/// Guards against a refusal of routes that another relay has confirmed, and against a known relay that refuses what it knows
/// to be unknown for good.
#[tokio::test]
async fn unknown_route_confirmed_by_relay() {
    let fleet = Fleet::start().await;
    fleet.first.control.hang_polls_of("relay-1");
    sleep(2 * APPLY).await;
    assert_eq!(fleet.first.get("/none/").await.0, StatusCode::NOT_FOUND);
}

/// Guards against a configuration that is fetched at each change, because another relay is faster by a moment.
#[test]
fn lag_caught_up() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let lag = Lag::update(None, 5, 7, at(0));
    assert_eq!(lag, Some(Lag { revision: 7, since: at(0), seen_at: at(0) }));
    let is_due = |lag: Option<Lag>, ms| lag.is_some_and(|it| it.is_due(at(ms)));
    assert!(!is_due(lag, 250));
    assert_eq!(Lag::update(lag, 7, 7, at(250)), None, "the polls have brought it");
    assert_eq!(Lag::update(lag, 6, 6, at(250)), lag, "this one is behind as well");
    let known = Lag::update(lag, 6, 9, at(500));
    assert_eq!(known, Some(Lag { revision: 7, since: at(0), seen_at: at(500) }));
    assert!(is_due(known, 500));
    let newer = Lag::update(known, 7, 9, at(750));
    assert_eq!(newer, Some(Lag { revision: 9, since: at(750), seen_at: at(750) }));
    assert_eq!(Lag::update(newer, 7, 7, at(4_000)), None, "nobody has it any more");
}

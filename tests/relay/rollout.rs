//! What a relay sends to the old and the new version of a service during a rollout.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use gentianpass::{
    route::{Kind, Route, Service},
    state::{
        Change, Phase, Rollout, SOFTWARE_LABEL, Stage, Target,
        rollout::{Advance, Start},
    },
    wire::control::Observation,
};
use hyper::{StatusCode, header::RETRY_AFTER};
use tokio::time::sleep;

use crate::support::{Behaviour, Harness, StubTarget, record, single, target};

pub const OLD: &str = "v1";
pub const NEW: &str = "v2";

/// Time in which a relay follows a change of the configuration.
const APPLY: Duration = Duration::from_millis(250);

/// A relay with one target of the old and one of the new version.
struct Deployment {
    harness: Harness,
    old: StubTarget,
    new: StubTarget,
}

impl Deployment {
    async fn start() -> Self {
        Self::start_with(single(Kind::Idempotent), 64).await
    }

    async fn start_with(route: Route, max_connections: u32) -> Self {
        let harness = Harness::start_with(|it| it.rollouts = true).await;
        let old = StubTarget::start(Behaviour::Answer(record(1))).await;
        let new = StubTarget::start(Behaviour::Answer(record(2))).await;
        announce(&harness, "old", OLD, old.addr);
        announce(&harness, "new", NEW, new.addr);
        let service = Service { max_connections, cold_millis_per_s: 0 };
        harness.put_routes_with(vec![route], &service).await;
        Self { harness, old, new }
    }

    /// Starts a rollout with this share and waits until the relay follows it.
    async fn roll_out(&self, exposure_ppm: u32) {
        let (service, target_version) = ("s".to_owned(), NEW.to_owned());
        let start = Start { service, target_version, duration_ms: 60_000, exposure_ppm };
        self.harness.control.apply(Change::StartRollout(start));
        sleep(APPLY).await;
    }

    fn set_stage(&self, stage: Stage) {
        let rollout = self.harness.control.config().rollouts["s"].clone();
        let Rollout { service, target_version, started_ms, exposure_ppm, .. } = rollout;
        let reason = "test".into();
        let advance = Advance { service, target_version, started_ms, stage, exposure_ppm, reason };
        self.harness.control.apply(Change::AdvanceRollout(advance));
    }

    async fn advance(&self, stage: Stage) {
        self.set_stage(stage);
        sleep(APPLY).await;
    }

    async fn get_ok(&self, count: usize) {
        for _ in 0..count {
            assert_eq!(self.harness.get("/one/x").await.0, StatusCode::OK);
        }
    }

    /// Sends a request that must be refused at once as not run.
    async fn get_refused(&self) {
        let start = Instant::now();
        let (status, headers, _) = self.harness.get("/one/x").await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(headers.contains_key(RETRY_AFTER));
        assert!(start.elapsed() < Duration::from_millis(300), "{:?}", start.elapsed());
    }

    /// The requests that have reached the old and the new target.
    fn counts(&self) -> (usize, usize) {
        (self.old.request_count(), self.new.request_count())
    }

    async fn wait_for(&self, condition: impl Fn(&Observation) -> bool) {
        let evidence = || self.harness.control.evidence("relay-1");
        let is_met = || evidence().is_some_and(|it| it.observations.iter().any(&condition));
        self.harness.wait_until(is_met).await;
    }
}

fn announce(harness: &Harness, name: &str, version: &str, addr: SocketAddr) {
    harness.control.apply(Change::PutTarget(versioned(name, version, addr)));
}

fn versioned(name: &str, version: &str, addr: SocketAddr) -> Target {
    let mut target = target(name, "s", "near", addr);
    target.labels.insert(SOFTWARE_LABEL.to_owned(), version.to_owned());
    target
}

/// Guards against exposure above the bound of the page (share and slack), and against a trial without requests.
#[tokio::test]
async fn trial_share() {
    let deployment = Deployment::start().await;
    deployment.get_ok(20).await;
    assert_eq!(deployment.counts(), (20, 0), "new version before its rollout");
    deployment.roll_out(100_000).await;
    deployment.get_ok(400).await;
    let (old, new) = deployment.counts();
    assert_eq!(old + new, 420);
    // An unlimited draw exceeds 75 once in a million runs.
    assert!((10..=40 + 35).contains(&new), "{new} of 400 requests at the new version");
}

/// Guards against retries of a failed canary at the new version.
#[tokio::test]
async fn trial_retry_at_old() {
    let deployment = Deployment::start().await;
    *deployment.new.behaviour.lock() = Behaviour::Fail;
    let second = StubTarget::start(Behaviour::Fail).await;
    announce(&deployment.harness, "new-2", NEW, second.addr);
    deployment.roll_out(1_000_000).await;
    deployment.get_ok(20).await;
    let (old, new) = deployment.counts();
    assert_eq!((old, new + second.request_count()), (20, 20));
}

/// Guards against a canary that fails at crashed targets instead of going to the old version.
#[tokio::test]
async fn trial_new_crashed() {
    let deployment = Deployment::start().await;
    *deployment.new.behaviour.lock() = Behaviour::Crash;
    deployment.roll_out(1_000_000).await;
    deployment.get_ok(20).await;
    assert_eq!(deployment.counts(), (20, 1));
}

/// Guards against a new version that takes over when the old targets are gone, and against requests that are held then.
#[tokio::test]
async fn trial_old_gone() {
    let deployment = Deployment::start().await;
    deployment.roll_out(1).await;
    let old = versioned("old", OLD, deployment.old.addr);
    deployment.harness.control.apply(Change::PutTarget(Target { phase: Phase::Leaving, ..old }));
    sleep(APPLY).await;
    deployment.get_refused().await;
    assert_eq!(deployment.counts(), (0, 0));
}

/// Guards against requests at targets that disappear at `completed`.
#[tokio::test]
async fn finishing_and_completed_only_new() {
    let deployment = Deployment::start().await;
    deployment.roll_out(0).await;
    deployment.get_ok(5).await;
    for (stage, new) in [(Stage::Finishing, 10), (Stage::Completed, 20)] {
        deployment.advance(stage).await;
        deployment.get_ok(10).await;
        assert_eq!(deployment.counts(), (5, new), "{stage}");
    }
}

/// Guards against a retry that goes back to the old version in stage `finishing`.
#[tokio::test]
async fn finishing_retry_at_new() {
    let deployment = Deployment::start().await;
    let second = StubTarget::start(Behaviour::Fail).await;
    *deployment.new.behaviour.lock() = Behaviour::Fail;
    announce(&deployment.harness, "new-2", NEW, second.addr);
    deployment.roll_out(0).await;
    deployment.advance(Stage::Finishing).await;
    let (status, ..) = deployment.harness.get("/one/x").await;
    assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!((deployment.counts(), second.request_count()), ((0, 1), 1));
}

/// Guards against a request that waits since before the roll-back and then goes to the new version.
#[tokio::test]
async fn rolled_back_queued_request() {
    let deployment = Deployment::start_with(single(Kind::AtMostOnce), 2).await;
    let slow = |ms| Behaviour::Slow(Duration::from_millis(ms), record(1));
    *deployment.new.behaviour.lock() = slow(400);
    *deployment.old.behaviour.lock() = slow(700);
    deployment.roll_out(1_000_000).await;
    let (first, second, third, ()) = tokio::join!(
        deployment.harness.get("/one/x"),
        async {
            sleep(Duration::from_millis(50)).await;
            deployment.harness.get("/one/x").await
        },
        async {
            sleep(Duration::from_millis(100)).await;
            deployment.harness.get("/one/x").await
        },
        async {
            sleep(Duration::from_millis(200)).await;
            assert_eq!(deployment.counts(), (1, 1), "one request in flight at each target");
            deployment.set_stage(Stage::RolledBack);
        },
    );
    assert_eq!([first.0, second.0, third.0], [StatusCode::OK; 3]);
    assert_eq!(deployment.counts(), (2, 1));
    deployment.get_ok(2).await;
    assert_eq!(deployment.counts(), (4, 1));
}

/// Guards against a relay that goes on with an old share while control hosts do not confirm its configuration, as after
/// it stood still.
#[tokio::test]
async fn trial_lease_expired() {
    let deployment = Deployment::start().await;
    deployment.roll_out(1_000_000).await;
    deployment.get_ok(5).await;
    assert_eq!(deployment.counts(), (0, 5));
    deployment.harness.control.hang_polls(true);
    sleep(Duration::from_millis(2_100)).await;
    deployment.get_ok(5).await;
    assert_eq!(deployment.counts(), (5, 5));
}

/// Guards against a lease that another relay renews: control hosts go on without a relay that does not poll.
#[tokio::test]
async fn trial_lease_confirmed_by_relay() {
    let deployment = Deployment::start().await;
    let harness = &deployment.harness;
    let _second = harness.start_beside(|it| it.rollouts = true).await;
    deployment.roll_out(1_000_000).await;
    // Both relays know each other.
    sleep(Duration::from_millis(1_500)).await;
    deployment.get_ok(5).await;
    assert_eq!(deployment.counts(), (0, 5));
    harness.control.hang_polls_of("relay-1");
    sleep(Duration::from_millis(3_100)).await;
    deployment.get_ok(5).await;
    assert_eq!(deployment.counts(), (5, 5));
}

/// Guards against requests to old targets that may be gone, or to a new version that may be bad: without a lease in stage
/// `finishing` neither is certain.
#[tokio::test]
async fn finishing_lease_expired() {
    let deployment = Deployment::start().await;
    deployment.roll_out(0).await;
    deployment.advance(Stage::Finishing).await;
    deployment.harness.control.hang_polls(true);
    sleep(Duration::from_millis(2_100)).await;
    deployment.get_refused().await;
    assert_eq!(deployment.counts(), (0, 0));
    deployment.harness.control.hang_polls(false);
    sleep(Duration::from_secs(2)).await;
    deployment.get_ok(3).await;
    assert_eq!(deployment.counts(), (0, 3));
}

/// Guards against a lease that runs out between two polls while nothing changes.
#[tokio::test]
async fn finishing_quiet_configuration() {
    let deployment = Deployment::start().await;
    deployment.roll_out(0).await;
    deployment.advance(Stage::Finishing).await;
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        deployment.get_ok(1).await;
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against requests to targets whose version is unknown or neither in force nor under rollout.
#[tokio::test]
async fn other_versions_unused() {
    let deployment = Deployment::start().await;
    let other = StubTarget::start(Behaviour::Answer(record(3))).await;
    let unknown = StubTarget::start(Behaviour::Answer(record(4))).await;
    announce(&deployment.harness, "other", "v3", other.addr);
    deployment.harness.announce("unknown", "s", "near", unknown.addr);
    sleep(APPLY).await;
    deployment.get_ok(10).await;
    deployment.roll_out(500_000).await;
    deployment.get_ok(10).await;
    deployment.advance(Stage::Finishing).await;
    deployment.get_ok(10).await;
    assert_eq!((other.request_count(), unknown.request_count()), (0, 0));
}

/// Guards against a deployment without rollouts that sends nothing to targets of another version.
#[tokio::test]
async fn rollouts_off() {
    let harness = Harness::start().await;
    let old = StubTarget::start(Behaviour::Answer(record(1))).await;
    let other = StubTarget::start(Behaviour::Answer(record(2))).await;
    announce(&harness, "old", OLD, old.addr);
    announce(&harness, "other", "v3", other.addr);
    harness.put_routes(vec![single(Kind::Idempotent)]).await;
    assert_eq!(harness.control.config().service_versions["s"], OLD);
    let leaving = Target { phase: Phase::Leaving, ..versioned("old", OLD, old.addr) };
    harness.control.apply(Change::PutTarget(leaving));
    sleep(APPLY).await;
    for _ in 0..5 {
        assert_eq!(harness.get("/one/x").await.0, StatusCode::OK);
    }
    assert_eq!((old.request_count(), other.request_count()), (0, 5));
    assert_eq!(harness.control.evidence("relay-1"), None);
}

/// Guards against evidence that lacks failures, mixes the versions, or is sent only by relays with requests.
#[tokio::test]
async fn evidence_counts() {
    let deployment = Deployment::start().await;
    deployment.roll_out(1_000_000).await;
    deployment.wait_for(|it| it.routes.is_empty() && it.old_in_flight == 0).await;
    deployment.get_ok(3).await;
    *deployment.new.behaviour.lock() = Behaviour::Fail;
    deployment.get_ok(4).await;
    *deployment.new.behaviour.lock() = Behaviour::Shed;
    deployment.get_ok(2).await;
    let is_complete = |it: &Observation| {
        it.routes.iter().any(|it| {
            let latencies: u64 = it.new.latencies.iter().sum();
            it.route == "single"
                && (it.new.answers, it.new.failures, latencies) == (7, 4, 3)
                && (it.old.answers, it.old.failures) == (6, 0)
        })
    };
    deployment.wait_for(is_complete).await;
    let evidence = deployment.harness.control.evidence("relay-1").unwrap();
    let config = deployment.harness.control.config();
    assert_eq!(evidence.revision, config.revision);
    assert_eq!(evidence.observations[0].started_ms, config.rollouts["s"].started_ms);
    let metrics = deployment.harness.relay.metrics();
    let requests = |side, count| {
        format!(
            "gentianpass_relay_rollout_requests_total{{service=\"s\",side=\"{side}\"}} {count}\n"
        )
    };
    assert!(metrics.contains(&requests("new", 9)) && metrics.contains(&requests("old", 6)));
}

/// Guards against a completion while requests run at the old targets: these started before the rollout.
#[tokio::test]
async fn evidence_in_flight_at_old() {
    let deployment = Deployment::start().await;
    let slow = Behaviour::Slow(Duration::from_millis(1_500), record(1));
    *deployment.old.behaviour.lock() = slow;
    tokio::join!(deployment.get_ok(1), async {
        sleep(Duration::from_millis(100)).await;
        deployment.roll_out(0).await;
        deployment.advance(Stage::Finishing).await;
        deployment.wait_for(|it| it.old_in_flight == 1).await;
    });
    deployment.wait_for(|it| it.old_in_flight == 0).await;
}

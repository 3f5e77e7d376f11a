//! The stand-in target: its limits and the faults that can be injected.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use gentianpass::{
    error::Kind,
    lab::{
        http::{Client, Error},
        target::{
            self,
            fault::{Damage, Fault, FaultRequest, FaultStep, Lie, Stats, TargetStats},
        },
    },
    settings,
    state::Holding,
    wire::target::{Cancel, Health, Run, RunAnswer, Sub, SubAnswer},
};

const TIMEOUT: Duration = Duration::from_secs(5);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn spec() -> settings::TargetSpec {
    settings::TargetSpec {
        name: "t".into(),
        zone: "z".into(),
        listen: any_port(),
        labels: BTreeMap::new(),
        slots: 3,
        warm_up: 1,
        connections: 4,
        connect_ms: 0,
        service_us: 20_000,
        warm_after_ms: 0,
        holdings: vec![Holding { index: "labels".into(), version: 1, shard: 0, shards: 2 }],
    }
}

/// One target in this process, with a client for its API and its lab API.
struct Fixture {
    lab_addr: SocketAddr,
    addr: SocketAddr,
    client: Client,
}

impl Fixture {
    async fn start(spec: settings::TargetSpec) -> Self {
        let port = std::net::TcpListener::bind(any_port()).expect("port");
        let addr = port.local_addr().expect("address");
        drop(port);
        let cfg = settings::Target {
            listen_lab: any_port(),
            entries: vec![any_port()],
            seed: 1,
            rows: 500,
            targets: vec![settings::TargetSpec { listen: addr, ..spec }],
        };
        let (lab_addr, _) = target::start(cfg).await.expect("start");
        Self { lab_addr, addr, client: Client::default() }
    }

    async fn inject(&self, fault: Fault) {
        let steps = vec![FaultStep { targets: vec!["t".into()], fault }];
        let body = gentianpass::lab::http::encode(&FaultRequest { steps }).expect("body");
        let path = "/v1/lab/faults";
        let sent =
            self.client.send(hyper::Method::POST, self.lab_addr, path, &[], body, TIMEOUT).await;
        assert_eq!(sent.expect("fault request").0, hyper::StatusCode::NO_CONTENT);
    }

    async fn stats(&self) -> TargetStats {
        let stats: Stats =
            self.client.get(self.lab_addr, "/v1/lab/stats", TIMEOUT).await.expect("stats");
        stats.targets.into_iter().next().expect("one target")
    }

    async fn sub(&self, id: u64, deadline_ms: u64) -> Result<SubAnswer, Error> {
        self.sub_within(id, deadline_ms, TIMEOUT).await
    }

    async fn sub_within(
        &self,
        id: u64,
        deadline_ms: u64,
        timeout: Duration,
    ) -> Result<SubAnswer, Error> {
        let sub = Sub {
            id,
            index: "labels".into(),
            version: 1,
            shard: 0,
            kind: "label-search".into(),
            text: "Sinclair".into(),
            deadline_ms,
        };
        self.client.post(self.addr, "/v1/sub", &sub, timeout).await
    }

    async fn health(&self) -> Result<Health, Error> {
        self.client.get(self.addr, "/v1/health", TIMEOUT).await
    }

    async fn until(&self, what: &str, reached: impl Fn(&TargetStats) -> bool) {
        for _ in 0..500 {
            if reached(&self.stats().await) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("timed out waiting for: {what}");
    }
}

fn refused(result: Result<SubAnswer, Error>) -> (u16, String) {
    match result {
        Err(Error::Status(status, body)) => (status.as_u16(), body),
        other => panic!("not refused: {other:?}"),
    }
}

/// Guards against a target that does not count an overload, on which the cold start measurements rely, or that accepts
/// requests above its limit although it should shed them.
#[tokio::test]
async fn requests_above_slots() {
    let it = Fixture::start(spec()).await;
    let all = futures::future::join_all((0..4).map(|id| it.sub(id, 2_000))).await;
    assert!(all.iter().all(Result::is_ok), "{all:?}");
    let stats = it.stats().await;
    assert!(stats.max_concurrent == 4 && stats.overload == 1, "{stats:?}");
    it.inject(Fault::Shed { on: true }).await;
    let all = futures::future::join_all((4..8).map(|id| it.sub(id, 2_000))).await;
    let shed = all.into_iter().filter(Result::is_err).map(refused).collect::<Vec<_>>();
    assert_eq!(shed, [(503, r#"{"error":"shed"}"#.to_owned())]);
}

/// Guards against a cold target that runs more requests than its warm-up limit without slowing down.
#[tokio::test]
async fn requests_above_warm_up() {
    let it = Fixture::start(settings::TargetSpec { warm_after_ms: 60_000, ..spec() }).await;
    it.sub(1, 2_000).await.expect("one fits");
    assert_eq!(it.stats().await.collapses, 0);
    let both = futures::future::join(it.sub(2, 3_000), it.sub(3, 3_000)).await;
    assert!(both.0.is_ok() && both.1.is_ok());
    let stats = it.stats().await;
    assert!(stats.cold && stats.overload == 1 && stats.collapses == 1, "{stats:?}");
    assert!(stats.last_service_us > 60_000, "{stats:?}");
}

/// Guards against work that continues after its deadline or its cancellation.
#[tokio::test]
async fn work_stops_at_deadline_or_cancel() {
    let it = Fixture::start(settings::TargetSpec { service_us: 60_000_000, ..spec() }).await;
    assert_eq!(refused(it.sub(1, 50).await).0, 504);
    assert_eq!(refused(it.sub(2, 0).await), (503, r#"{"error":"deadline_passed"}"#.to_owned()));
    let cancel = async {
        it.until("start", |stats| stats.running == 1).await;
        let body = gentianpass::lab::http::encode(&Cancel { id: 3 }).expect("body");
        it.client.send(hyper::Method::POST, it.addr, "/v1/cancel", &[], body, TIMEOUT).await
    };
    let (answer, cancelled) = futures::future::join(it.sub(3, 30_000), cancel).await;
    assert_eq!(cancelled.expect("cancel").0, hyper::StatusCode::NO_CONTENT);
    assert_eq!(refused(answer), (499, r#"{"error":"cancelled"}"#.to_owned()));
    let stats = it.stats().await;
    assert!(stats.running == 0 && stats.dropped == 2 && stats.refused == 1, "{stats:?}");
}

/// Guards against a crash that leaves connections open or keeps the incarnation.
#[tokio::test]
async fn crash_on_text() {
    let it = Fixture::start(spec()).await;
    let before = it.health().await.expect("health").incarnation;
    it.inject(Fault::CrashOn { text: Some("Sinclair".into()), back_after_ms: 100 }).await;
    assert!(matches!(it.sub(1, 2_000).await, Err(Error::Broken(_))));
    assert!(matches!(it.health().await, Err(Error::Connect(_))));
    it.until("the target is back", |stats| !stats.down).await;
    assert!(it.health().await.expect("health").incarnation > before);
    assert_eq!(it.stats().await.connections, 1);
}

/// Guards against a silenced connection that still answers, and against new connections that are silenced too.
#[tokio::test]
async fn silence_open_connections() {
    let it = Fixture::start(spec()).await;
    it.sub(1, 1_000).await.expect("answer");
    it.inject(Fault::Silence).await;
    let silent = it.sub_within(2, 1_000, Duration::from_millis(200)).await;
    assert!(matches!(silent, Err(Error::Timeout)), "{silent:?}");
    let new_client = Fixture { client: Client::default(), lab_addr: it.lab_addr, addr: it.addr };
    new_client.sub(3, 1_000).await.expect("a new connection works");
}

/// Guards against a stalled target that sends an answer, or that does not recover after `heal`.
#[tokio::test]
async fn stall_and_heal() {
    let it = Fixture::start(spec()).await;
    it.inject(Fault::Stall { on: true }).await;
    let stalled = it.sub_within(1, 1_000, Duration::from_millis(200)).await;
    assert!(matches!(stalled, Err(Error::Timeout)), "{stalled:?}");
    it.inject(Fault::Heal).await;
    it.sub(2, 1_000).await.expect("answer");
}

/// Guards against a leaving target that runs requests, or does not count those that arrive.
#[tokio::test]
async fn leave_and_return() {
    let it = Fixture::start(spec()).await;
    it.inject(Fault::Leave { refuse_after_ms: 0 }).await;
    assert_eq!(refused(it.sub(1, 1_000).await), (503, r#"{"error":"draining"}"#.to_owned()));
    assert!(it.health().await.expect("health").leaving);
    assert_eq!(it.stats().await.after_leave, 1);
    it.inject(Fault::Return).await;
    it.sub(2, 1_000).await.expect("answer");
}

/// Guards against connections above the announced limit.
#[tokio::test]
async fn connections_limited() {
    let it = Fixture::start(spec()).await;
    let mut open = Vec::new();
    for _ in 0..4 {
        open.push(tokio::net::TcpStream::connect(it.addr).await.expect("connection"));
    }
    it.until("four connections", |stats| stats.connections == 4).await;
    assert!(matches!(it.sub(1, 1_000).await, Err(Error::Broken(_) | Error::Connect(_))));
    assert_eq!(it.stats().await.connections_refused, 1);
    drop(open);
    it.until("no connection", |stats| stats.connections == 0).await;
    it.sub(2, 1_000).await.expect("answer");
}

/// Guards against damage and false reports that do not reach the client, so that tests of the system would pass
/// without them.
#[tokio::test]
async fn damage_and_lie() {
    let it = Fixture::start(spec()).await;
    let undamaged = it.sub(1, 1_000).await.expect("answer");
    assert!(undamaged.count == undamaged.rows.len() && undamaged.count > 1);
    it.inject(Fault::Damage { damage: Some(Damage::Truncated) }).await;
    let truncated = it.sub(2, 1_000).await.expect("answer");
    assert_eq!(truncated.count, truncated.rows.len() + 1);
    it.inject(Fault::Damage { damage: Some(Damage::WrongVersion) }).await;
    assert_eq!(it.sub(3, 1_000).await.expect("answer").version, 2);
    it.inject(Fault::Damage { damage: Some(Damage::Malformed) }).await;
    assert!(matches!(it.sub(4, 1_000).await, Err(Error::Broken(_))));
    let lie = Lie { cold: true, leaving: false, in_flight: 9 };
    it.inject(Fault::Lie { lie: Some(lie) }).await;
    let health = it.health().await.expect("health");
    assert!(health.cold && health.in_flight == 9);
}

/// Guards against answers from a version that the target no longer holds.
#[tokio::test]
async fn hold_other_version() {
    let it = Fixture::start(spec()).await;
    let holding = Holding { index: "labels".into(), version: 2, shard: 0, shards: 3 };
    it.inject(Fault::Hold { holdings: vec![holding] }).await;
    let (status, body) = refused(it.sub(1, 1_000).await);
    assert_eq!((status, body), (503, format!(r#"{{"error":"{}"}}"#, Kind::WrongVersion)));
}

/// Guards against a count of runs that misses the second run of a key.
#[tokio::test]
async fn run_counts_keys() {
    let it = Fixture::start(spec()).await;
    for id in 0..2 {
        let run = Run {
            id,
            key: "job-1".into(),
            kind: "print-dispatch".into(),
            body: "layout".into(),
            deadline_ms: 1_000,
        };
        let answer: RunAnswer =
            it.client.post(it.addr, "/v1/run", &run, TIMEOUT).await.expect("answer");
        assert_eq!(answer.id, id);
    }
    assert_eq!(it.stats().await.runs, BTreeMap::from([("job-1".to_owned(), 2)]));
}

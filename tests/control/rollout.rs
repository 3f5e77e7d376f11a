//! Rollouts on real control hosts, with a stand-in relay that polls and sends evidence.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use gentianpass::{
    control::{Client, apply_update},
    policy::rollout::Counts,
    route::{Service, Table},
    state::{Change, Config, Node, Phase, Reply, Stage, Target, rollout::Start},
    wire::control::{Comparison, Evidence, Observation, ProcessId},
};
use tokio::{sync::watch, task::JoinHandle};

use crate::cluster::{Cluster, poll, submit, within};

/// Duration of the rollouts, in milliseconds: a trial of 6 s and a last stage of 3 s.
const DURATION_MS: u64 = 9_000;

const RELAY: &str = "relay";

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn target(name: &str, version: &str) -> Change {
    let labels = [("service", "s1"), ("software", version)];
    Change::PutTarget(Target {
        name: name.into(),
        incarnation: 1,
        addr: addr(9_000),
        zone: "z".into(),
        labels: labels.map(|(key, value)| (key.into(), value.into())).into(),
        slots: 1,
        warm_up: 1,
        connections: 1,
        phase: Phase::Serving,
        holdings: Vec::new(),
    })
}

fn start(version: &str) -> Change {
    Change::StartRollout(Start {
        service: "s1".into(),
        target_version: version.into(),
        duration_ms: DURATION_MS,
        exposure_ppm: 50_000,
    })
}

/// A relay: follows the configuration and sends evidence. While `is_bad`, answers of the new version fail. Requests at the
/// old version end 300 ms after the rollout is finishing.
struct Relay {
    config: watch::Receiver<Config>,
    is_bad: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Relay {
    fn start(client: Client) -> Self {
        let (tx, config) = watch::channel(Config::default());
        let is_bad = Arc::<AtomicBool>::default();
        let task = tokio::spawn(run(client, tx, is_bad.clone()));
        Self { config, is_bad, task }
    }

    /// Waits until the rollout has reached a stage.
    async fn wait_for(&self, stage: Stage) -> Config {
        let mut config = self.config.clone();
        let reached = |it: &Config| it.rollouts.get("s1").is_some_and(|it| it.stage == stage);
        let what = format!("rollout is {stage}");
        let limit = Duration::from_millis(DURATION_MS * 2);
        within(&what, limit, async || config.wait_for(reached).await.expect("relay").clone()).await
    }
}

async fn run(client: Client, tx: watch::Sender<Config>, is_bad: Arc<AtomicBool>) {
    let (mut old, mut new) = (Counts::default(), Counts::default());
    let mut config = Config::default();
    let mut finishing_since = None;
    let mut followed_ms = 0;
    loop {
        let Ok(update) = poll(&client, RELAY, config.revision).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        apply_update(&mut config, update).expect("applicable");
        tx.send_replace(config.clone());
        let Some(rollout) = config.running_rollout("s1") else { continue };
        if followed_ms != rollout.started_ms {
            followed_ms = rollout.started_ms;
            (old, new, finishing_since) = (Counts::default(), Counts::default(), None);
        }
        for _ in 0..4 {
            old.record(false, Some(Duration::from_millis(20)));
            new.record(is_bad.load(Ordering::SeqCst), Some(Duration::from_millis(20)));
        }
        if rollout.stage == Stage::Finishing {
            finishing_since.get_or_insert_with(Instant::now);
        }
        let has_drained =
            finishing_since.is_some_and(|it| it.elapsed() > Duration::from_millis(300));
        let routes = vec![Comparison { route: "r".into(), old: old.clone(), new: new.clone() }];
        let evidence = Evidence {
            reporter: ProcessId { process_name: RELAY.into(), incarnation: 1 },
            revision: config.revision,
            observations: vec![Observation {
                service: "s1".into(),
                target_version: rollout.target_version.clone(),
                started_ms: rollout.started_ms,
                old_in_flight: u64::from(!has_drained),
                routes,
            }],
        };
        let _ = client.record_evidence(evidence).await;
    }
}

async fn accept(client: &Client, change: Change) {
    let reply = submit(client, change).await.expect("committed");
    assert!(matches!(reply, Reply::Applied { .. }), "{reply:?}");
}

/// Starts a cluster with the service `s1` in two versions, and a relay.
async fn prepare() -> (Cluster, Relay, Client) {
    let cluster = Cluster::start("repair_after_ms = 2500");
    cluster.wait_for_leader(0).await;
    let client = cluster.client(&[0, 1, 2]);
    let services = BTreeMap::from([("s1".to_owned(), Service::default())]);
    let table = Table { version: 1, services, ..Table::default() };
    accept(&client, Change::PutRoutes(Box::new(table))).await;
    accept(&client, target("a", "v1")).await;
    accept(&client, target("b", "v2")).await;
    let node = Node {
        name: RELAY.into(),
        incarnation: 1,
        http: addr(8_000),
        rpc: addr(8_001),
        zone: "z".into(),
        leaving: false,
    };
    accept(&client, Change::PutNode(node)).await;
    let relay = Relay::start(cluster.client(&[0, 1, 2]));
    (cluster, relay, client)
}

/// Guards against a good version that misses its deadline, or is completed while a request runs at an old target, when the
/// leader is killed during a stage.
async fn completes_despite_killed_leader(stage: Stage) {
    let (mut cluster, relay, client) = prepare().await;
    accept(&client, start("v2")).await;
    let started = Instant::now();
    relay.wait_for(stage).await;
    let leader = cluster.wait_for_leader(0).await;
    cluster.kill(leader);
    let config = relay.wait_for(Stage::Completed).await;
    let took = started.elapsed();
    println!("completed after {took:?}");
    assert!(took < Duration::from_millis(DURATION_MS), "{took:?}");
    assert_eq!(config.service_versions["s1"], "v2");
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_killed_in_trial() {
    completes_despite_killed_leader(Stage::Trial).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_killed_while_finishing() {
    completes_despite_killed_leader(Stage::Finishing).await;
}

/// Guards against an order that is lost with the disk of the control host that acknowledged it.
#[tokio::test(flavor = "multi_thread")]
async fn acknowledging_host_loses_disk() {
    let (mut cluster, relay, _) = prepare().await;
    let leader = cluster.wait_for_leader(0).await;
    let lost = (leader + 1) % 3;
    accept(&cluster.client(&[lost]), start("v2")).await;
    cluster.kill(lost);
    fs::remove_dir_all(&cluster.hosts[lost].data).expect("removed");
    cluster.spawn(lost);
    relay.wait_for(Stage::Completed).await;
}

/// Guards against a bad version that goes on receiving requests, from the start of the trial or after it has taken over.
#[tokio::test(flavor = "multi_thread")]
async fn bad_version_rolled_back() {
    let (_cluster, relay, client) = prepare().await;
    relay.is_bad.store(true, Ordering::SeqCst);
    accept(&client, start("v2")).await;
    let config =
        within("roll-back", Duration::from_secs(4), || relay.wait_for(Stage::RolledBack)).await;
    println!("{}", config.rollouts["s1"].reason);
    assert_eq!(config.service_versions["s1"], "v1");
    relay.is_bad.store(false, Ordering::SeqCst);
    accept(&client, target("b", "v3")).await;
    accept(&client, start("v3")).await;
    relay.wait_for(Stage::Finishing).await;
    accept(&client, Change::RemoveTarget { name: "b".into(), incarnation: 1 }).await;
    relay.wait_for(Stage::RolledBack).await;
}

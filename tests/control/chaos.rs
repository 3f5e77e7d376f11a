//! Random fault injection: kills and suspends control hosts while operators write and read.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use gentianpass::wire::operator::{ChangeRequest, State};
use hyper::Method;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use uuid::Uuid;

use crate::cluster::{Cluster, label_edit, label_value, request};

const ROUNDS: usize = 12;
const SEED: u64 = 20_261_204;

/// Shared by the writer and the readers: the last acknowledged number, and whether they should stop.
#[derive(Default)]
struct Progress {
    acknowledged: AtomicU64,
    stop: AtomicBool,
}

/// Guards against lost or reverted acknowledged changes and against stale reads. Each round kills and restarts hosts,
/// or suspends and resumes them, from one to all three of them.
#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_changes_survive_faults() {
    println!("seed {SEED}");
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut cluster = Cluster::start("snapshot_entries = 20");
    cluster.wait_for_leader(0).await;
    let hosts: Vec<_> = cluster.hosts.iter().map(|it| it.http).collect();
    let progress = Arc::new(Progress::default());
    let writer = tokio::spawn(write_numbers(hosts.clone(), progress.clone()));
    let readers: Vec<_> =
        hosts.into_iter().map(|it| tokio::spawn(check_reads(it, progress.clone()))).collect();
    for _ in 0..ROUNDS {
        inject_fault(&mut cluster, &mut rng).await;
    }
    progress.stop.store(true, Ordering::SeqCst);
    let written = writer.await.expect("writer");
    for reader in readers {
        reader.await.expect("reader");
    }
    assert!(written > 10, "only {written} changes were acknowledged");
    for i in 0..3 {
        let state = cluster.wait_for_state(i, "the host serves reads", |_| true).await;
        assert!(
            value(&state) >= written,
            "host {i} has {}, expected at least {written}",
            value(&state)
        );
    }
}

/// Kills and restarts, or suspends and resumes, some hosts with a random pause in between.
async fn inject_fault(cluster: &mut Cluster, rng: &mut StdRng) {
    let pause = Duration::from_millis(rng.random_range(100..1_200));
    let first = rng.random_range(0..3);
    let hosts: Vec<_> = (first..3).take(if rng.random_bool(0.25) { 3 } else { 1 }).collect();
    if rng.random_bool(0.5) {
        hosts.iter().for_each(|it| cluster.kill(*it));
        tokio::time::sleep(pause).await;
        hosts.iter().for_each(|it| cluster.spawn(*it));
    } else {
        hosts.iter().for_each(|it| cluster.signal(*it, "STOP"));
        tokio::time::sleep(pause).await;
        hosts.iter().for_each(|it| cluster.signal(*it, "CONT"));
    }
    tokio::time::sleep(Duration::from_millis(rng.random_range(0..800))).await;
}

/// Writes 1, 2, 3 and so on. A change without a response is sent again under the same id until its outcome is known.
async fn write_numbers(hosts: Vec<SocketAddr>, progress: Arc<Progress>) -> u64 {
    let mut base = 0;
    let mut number = 1;
    let mut host = 0;
    let mut id = Uuid::new_v4();
    while !progress.stop.load(Ordering::SeqCst) {
        let change = ChangeRequest {
            id: id.to_string(),
            base,
            edit: label_edit("caller", &number.to_string()),
        };
        let body = serde_json::to_string(&change).expect("request");
        host = (host + 1) % hosts.len();
        let (status, answer) = request(hosts[host], Method::POST, "/v1/changes", &body).await;
        assert!(
            [0, 200, 503].contains(&status),
            "unexpected response to the only writer: {status} {answer}"
        );
        if status == 200 {
            base = answer["operator_revision"].as_u64().expect("revision");
            progress.acknowledged.store(number, Ordering::SeqCst);
            number += 1;
            id = Uuid::new_v4();
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    number - 1
}

/// Reads from one host and checks that no read is older than an earlier read or than an earlier acknowledgement.
async fn check_reads(host: SocketAddr, progress: Arc<Progress>) {
    let mut last = 0;
    while !progress.stop.load(Ordering::SeqCst) {
        let floor = progress.acknowledged.load(Ordering::SeqCst).max(last);
        let (status, body) = request(host, Method::GET, "/v1/state", "").await;
        if status == 200 {
            let state: State = serde_json::from_value(body).expect("state");
            last = value(&state);
            assert!(
                last >= floor,
                "stale read at {host}: {last} after {floor} was acknowledged or read"
            );
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn value(state: &State) -> u64 {
    label_value(state, "caller").map_or(0, |it| it.parse().expect("number"))
}

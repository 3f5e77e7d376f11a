//! Random kills and stops of hosts while operators write and read.

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

use crate::cluster::{Cluster, edit, label, request};

const ROUNDS: usize = 12;
const SEED: u64 = 20_261_204;

/// What the writer knows to be committed, and whether it goes on.
#[derive(Default)]
struct Progress {
    acknowledged: AtomicU64,
    done: AtomicBool,
}

/// Guards against acknowledged changes that get lost or revert, and against stale reads, while hosts are killed and
/// stopped, one or all of them.
#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_changes_stay() {
    println!("seed {SEED}");
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut cluster = Cluster::start("snapshot_entries = 20");
    cluster.leader(0).await;
    let hosts: Vec<_> = cluster.hosts.iter().map(|it| it.http).collect();
    let progress = Arc::new(Progress::default());
    let writer = tokio::spawn(write(hosts.clone(), progress.clone()));
    let readers: Vec<_> =
        hosts.into_iter().map(|it| tokio::spawn(read(it, progress.clone()))).collect();
    for _ in 0..ROUNDS {
        disturb(&mut cluster, &mut rng).await;
    }
    progress.done.store(true, Ordering::SeqCst);
    let written = writer.await.expect("writer");
    for reader in readers {
        reader.await.expect("reader");
    }
    assert!(written > 10, "only {written} changes were acknowledged");
    for i in 0..3 {
        let state = cluster.state_where(i, "it answers", |_| true).await;
        assert!(value(&state) >= written, "host {i} has {}, not {written}", value(&state));
    }
}

async fn disturb(cluster: &mut Cluster, rng: &mut StdRng) {
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

/// Writes 1, 2, 3 and so on. An unanswered change is sent again under the same id until the outcome is known.
async fn write(hosts: Vec<SocketAddr>, progress: Arc<Progress>) -> u64 {
    let mut base = 0;
    let mut number = 1;
    let mut host = 0;
    let mut id = Uuid::new_v4();
    while !progress.done.load(Ordering::SeqCst) {
        let change =
            ChangeRequest { id: id.to_string(), base, edit: edit("caller", &number.to_string()) };
        let body = serde_json::to_string(&change).expect("request");
        host = (host + 1) % hosts.len();
        let (status, answer) = request(hosts[host], Method::POST, "/v1/changes", &body).await;
        assert!([0, 200, 503].contains(&status), "the only writer got {status} {answer}");
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

async fn read(host: SocketAddr, progress: Arc<Progress>) {
    let mut last = 0;
    while !progress.done.load(Ordering::SeqCst) {
        let floor = progress.acknowledged.load(Ordering::SeqCst).max(last);
        let (status, body) = request(host, Method::GET, "/v1/state", "").await;
        if status == 200 {
            let state: State = serde_json::from_value(body).expect("state");
            last = value(&state);
            assert!(last >= floor, "{host} shows {last} after {floor} was acknowledged or shown");
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn value(state: &State) -> u64 {
    label(state, "caller").map_or(0, |it| it.parse().expect("number"))
}

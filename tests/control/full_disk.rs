//! Disks that are full one after the other: of the leader, of followers, and of a host that is being repaired, while
//! snapshots are written and sent.
//!
//! `GENTIANPASS_FULL_DISK_SEEDS=FROM-TO` runs other seeds.

use std::{
    fs,
    ops::RangeInclusive,
    path::{Path, PathBuf},
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use gentianpass::{
    control::Client,
    route::Table,
    state::{Change, Reply},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tempfile::TempDir;
use tokio::time::sleep;

use crate::cluster::Cluster;

/// The time within which an order must be acknowledged (`ackMs`).
const ACK: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(1_500);
const ROUNDS: usize = 5;
/// Size of the operator's document in a route table, in bytes.
const DOCUMENT_BYTES: usize = 60_000;
/// The size of the reserve file of a host, in bytes.
const RESERVE_BYTES: u64 = 4 << 20;

/// How a full disk behaves.
#[derive(Clone, Copy, Debug)]
enum Full {
    /// It takes what fits into freed space.
    Quota,
    /// It refuses every write.
    Always,
}

fn seeds() -> RangeInclusive<u64> {
    let text = std::env::var("GENTIANPASS_FULL_DISK_SEEDS").unwrap_or_else(|_| "1-1".into());
    let (from, to) = text.split_once('-').expect("FROM-TO");
    from.parse().expect("number")..=to.parse().expect("number")
}

/// Compiles the library that makes disks full.
fn build_preload(dir: &Path) -> PathBuf {
    let library = dir.join("full_disk.so");
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/control/full_disk.c");
    let built = Command::new("cc")
        .args(["-shared", "-fPIC", "-o"])
        .arg(&library)
        .arg(source)
        .arg("-ldl")
        .status();
    assert!(built.expect("C compiler").success());
    library
}

fn table(version: u64) -> Change {
    let document = "x".repeat(DOCUMENT_BYTES);
    Change::PutRoutes(Box::new(Table { version, document, ..Table::default() }))
}

/// Submits tables until it is told to stop.
async fn change_tables(client: Client, version: Arc<AtomicU64>, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::SeqCst) {
        let version = version.fetch_add(1, Ordering::SeqCst);
        let _ = client.submit(None, table(version), Duration::from_secs(1)).await;
        sleep(Duration::from_millis(20)).await;
    }
}

fn used_bytes(data: &Path) -> u64 {
    let files = fs::read_dir(data).expect("folder").flatten();
    files.filter_map(|it| it.metadata().ok()).map(|it| it.len()).sum()
}

async fn full_disks_in_turn(full: Full, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let dir = TempDir::new().expect("temporary folder");
    let mut cluster = Cluster::prepare("repair_after_ms = 2500\nsnapshot_bytes = 1048576");
    cluster.preload = Some(build_preload(dir.path()));
    (0..3).for_each(|i| cluster.spawn(i));
    cluster.wait_for_leader(0).await;
    let (version, stop) = (Arc::new(AtomicU64::new(1)), Arc::<AtomicBool>::default());
    let changes =
        tokio::spawn(change_tables(cluster.client(&[0, 1, 2]), version.clone(), stop.clone()));
    let mut exits = 0;
    for round in 0..ROUNDS {
        let leader = cluster.wait_for_leader(round % 3).await;
        let i = if rng.random_bool(0.5) { leader } else { (leader + 1) % 3 };
        // One round is for a host that is being repaired.
        if round == ROUNDS / 2 {
            cluster.kill(i);
            fs::remove_dir_all(&cluster.hosts[i].data).expect("removed");
            cluster.spawn(i);
            sleep(Duration::from_millis(rng.random_range(100..1_000))).await;
        }
        let limit = match full {
            Full::Quota => used_bytes(&cluster.hosts[i].data),
            Full::Always => 0,
        };
        let limit_file = cluster.hosts[i].data.with_extension("limit");
        fs::write(&limit_file, limit.to_string()).expect("writable");
        let end = Instant::now() + Duration::from_millis(rng.random_range(1_500..4_500));
        let killed = rng.random_bool(0.5).then(|| rng.random_range(0..3));
        while Instant::now() < end {
            sleep(Duration::from_millis(100)).await;
            exits += cluster.respawn_ended();
        }
        // It starts while the disk is full.
        if let Some(killed) = killed {
            cluster.kill(killed);
            cluster.spawn(killed);
            sleep(Duration::from_millis(300)).await;
        }
        fs::remove_file(&limit_file).expect("removed");
        let end = Instant::now() + PAUSE;
        while Instant::now() < end {
            sleep(Duration::from_millis(100)).await;
            exits += cluster.respawn_ended();
        }
    }
    stop.store(true, Ordering::SeqCst);
    changes.await.expect("no panic");
    let sent = version.load(Ordering::SeqCst);
    println!("seed {seed}, {full:?}: {exits} processes ended, {sent} changes were sent");
    for i in 0..3 {
        let next = version.fetch_add(1, Ordering::SeqCst);
        let started = Instant::now();
        let reply = cluster.client(&[i]).submit(None, table(next), ACK).await;
        assert!(matches!(reply, Ok(Reply::Applied { .. })), "host {i}: {reply:?}");
        println!("host {i} accepted a change after {:?}", started.elapsed());
        assert!(started.elapsed() < ACK, "host {i}: {:?}", started.elapsed());
        let reserve = fs::metadata(cluster.hosts[i].data.join("reserve")).expect("reserve").len();
        assert_eq!(reserve, RESERVE_BYTES, "reserve of host {i}");
    }
}

/// Guards against control hosts that refuse changes, or leave them without an answer, long after the last full disk has
/// room again.
#[tokio::test(flavor = "multi_thread")]
async fn full_disks_in_turn_quota() {
    for seed in seeds() {
        full_disks_in_turn(Full::Quota, seed).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn full_disks_in_turn_always() {
    for seed in seeds() {
        full_disks_in_turn(Full::Always, seed).await;
    }
}

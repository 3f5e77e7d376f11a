//! Measures the CPU time, memory and traffic of control hosts that entry hosts poll, and how long a change takes to reach
//! all entry hosts: `cargo build --release --bins && cargo run --release --example peers`. The peers are clients that
//! poll like entry hosts. Each has 6 targets, the ratio at the size that the system is designed for.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use gentianpass::{
    control::Client,
    lab::{
        fleet::{Binaries, Fleet, HostPlan, Plan},
        synthetic,
    },
    state::{Change, Revision},
    wire::control::{Poll, Update},
};
use parking_lot::Mutex;

const PEER_COUNTS: [usize; 3] = [3, 30, 300];
const TARGETS_PER_PEER: usize = 6;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const DURATION: Duration = Duration::from_secs(8);
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_WAIT_MS: u64 = 500;

#[derive(Default)]
struct Counts {
    polls: AtomicU64,
    errors: AtomicU64,
    bytes: AtomicU64,
    /// The revisions that peers received, with the time of each arrival.
    seen: Mutex<Vec<(Revision, Instant)>>,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    for peers in PEER_COUNTS {
        measure(peers).await?;
    }
    Ok(())
}

async fn measure(peers: usize) -> eyre::Result<()> {
    let mut plan = Plan::new(Binaries::in_folder(Path::new("target/release")), 1, 1);
    plan.controls = ZONES
        .iter()
        .enumerate()
        .map(|(i, it)| HostPlan::new(format!("control-{i}"), *it))
        .collect();
    let hosts: Vec<_> = (0..plan.controls.len()).map(|it| plan.control(it).1).collect();
    let fleet = Fleet::start(plan).await?;
    let client = Client::new(hosts.clone());
    wait_for_leader(&client).await?;
    for i in 0..peers {
        client.submit(None, Change::PutNode(synthetic::node(i, zone(i))), COMMIT_TIMEOUT).await?;
        for target in 0..TARGETS_PER_PEER {
            let number = i * TARGETS_PER_PEER + target;
            let shards = (peers * TARGETS_PER_PEER) as u32;
            let target = synthetic::target(number, zone(i), shards);
            client.submit(None, Change::PutTarget(target), COMMIT_TIMEOUT).await?;
        }
    }
    let counts = Arc::new(Counts::default());
    let tasks: Vec<_> = (0..peers)
        .map(|i| tokio::spawn(poll(i, Client::new(hosts.clone()), counts.clone())))
        .collect();
    tokio::time::sleep(Duration::from_secs(2)).await;
    counts.seen.lock().clear();
    let before = (control_cpu_time(&fleet)?, counts.polls.load(Ordering::Relaxed));
    let bytes = counts.bytes.load(Ordering::Relaxed);
    let start = Instant::now();
    let mut changes = Vec::new();
    while start.elapsed() < DURATION {
        let value = if changes.len() % 2 == 0 { "true" } else { "false" };
        let sent = Instant::now();
        fleet.operator.set_label("version/none@1", "retired", value).await?;
        changes.push((fleet.operator.state().await?.revision, sent));
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let cpu = control_cpu_time(&fleet)? - before.0;
    let polls = counts.polls.load(Ordering::Relaxed) - before.1;
    let bytes = counts.bytes.load(Ordering::Relaxed) - bytes;
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
    let (slowest, reached) = propagation(&changes, &counts.seen.lock(), peers);
    println!(
        "peers={peers} targets={} polls_per_s={:.0} errors={} control_cpu_percent_of_core={:.2} \
         cpu_us_per_poll={:.1} payload_bytes_per_peer_s={:.0} resident_kb={:?} changes={} \
         reached_all={reached} slowest_ms={:.1}",
        peers * TARGETS_PER_PEER,
        polls as f64 / seconds,
        counts.errors.load(Ordering::Relaxed),
        cpu.as_secs_f64() / seconds * 100.0,
        cpu.as_secs_f64() * 1e6 / polls.max(1) as f64,
        bytes as f64 / seconds / peers as f64,
        fleet
            .controls
            .iter()
            .map(|it| synthetic::resident_kib(it.process.id()))
            .collect::<Vec<_>>(),
        changes.len(),
        slowest.as_secs_f64() * 1e3,
    );
    Ok(())
}

/// Retries a commit until the control hosts have elected a leader.
async fn wait_for_leader(client: &Client) -> eyre::Result<()> {
    let end = Instant::now() + Duration::from_secs(20);
    loop {
        match client.submit(None, Change::Tick, COMMIT_TIMEOUT).await {
            Ok(_) => return Ok(()),
            Err(err) if Instant::now() > end => return Err(err.into()),
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// Polls for changes without end, as an entry host does.
async fn poll(i: usize, client: Client, counts: Arc<Counts>) {
    let mut revision = 0;
    loop {
        let node = synthetic::node(i, zone(i)).name;
        let poll = Poll { node, incarnation: 1, revision, wait_ms: POLL_WAIT_MS };
        let sent = bincode::serialized_size(&poll).unwrap_or(0);
        let Ok(update) = client.poll(poll).await else {
            counts.errors.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        counts.polls.fetch_add(1, Ordering::Relaxed);
        let received = bincode::serialized_size(&update).unwrap_or(0);
        counts.bytes.fetch_add(sent + received, Ordering::Relaxed);
        let newest = match update {
            Update::Config(config) | Update::Packed(config, _) => Some(config.revision),
            Update::Changes(changes) => changes.last().map(|it| it.revision),
        };
        if let Some(newest) = newest {
            revision = newest;
            counts.seen.lock().push((revision, Instant::now()));
        }
    }
}

/// The longest time from sending a change until the last peer received it, and the number of changes that reached all
/// peers. The last change is not counted, because some peers may not have received it yet.
fn propagation(
    changes: &[(Revision, Instant)],
    seen: &[(Revision, Instant)],
    peers: usize,
) -> (Duration, usize) {
    let mut slowest = Duration::ZERO;
    let mut reached = 0;
    for (revision, at) in &changes[..changes.len().saturating_sub(1)] {
        let arrivals: Vec<_> = seen.iter().filter(|it| it.0 == *revision).collect();
        if arrivals.len() == peers {
            reached += 1;
        }
        let last = arrivals.iter().map(|it| it.1).max();
        slowest = slowest.max(last.map_or(Duration::ZERO, |it| it.saturating_duration_since(*at)));
    }
    (slowest, reached)
}

/// CPU time that all control hosts have used so far.
fn control_cpu_time(fleet: &Fleet) -> eyre::Result<Duration> {
    fleet.controls.iter().map(|it| it.process.cpu_time()).sum()
}

fn zone(peer: usize) -> String {
    ZONES[peer % ZONES.len()].into()
}

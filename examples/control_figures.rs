//! Measures three control hosts on this machine: commit latency and throughput, poll latency, failover time, restart time
//! and size on disk. Takes the path of the control host's program:
//!
//! `cargo run --release --example control_figures -- target/release/gentianpass-control`

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    time::{Duration, Instant},
};

use gentianpass::{
    control::Client,
    state::{Change, Labels, Phase, Target},
    wire::control::Poll,
};
use hdrhistogram::Histogram;

/// Timeout of a commit. Includes leader elections.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Three control hosts as child processes, with their settings and data in a temporary folder.
struct ControlHosts {
    binary: PathBuf,
    dir: tempfile::TempDir,
    rpc: Vec<SocketAddr>,
    children: Vec<Option<Child>>,
}

impl ControlHosts {
    /// Writes the settings of the hosts. Their ports are free ones that the operating system assigned.
    fn prepare(binary: &Path) -> eyre::Result<Self> {
        let dir = tempfile::tempdir()?;
        let listeners: Vec<_> =
            (0..6).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<_, _>>()?;
        let addrs: Vec<_> =
            listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let (rpc, http) = addrs.split_at(3);
        for i in 0..3 {
            let text = format!(
                "name = \"c{i}\"\nzone = \"z{i}\"\nlisten_http = \"{}\"\nlisten_rpc = \"{}\"\n\
                 data_dir = {:?}\npeers = [\"{}\", \"{}\", \"{}\"]\noperator_token = \"figures-only\"\n",
                http[i],
                rpc[i],
                dir.path().join(i.to_string()),
                rpc[0],
                rpc[1],
                rpc[2]
            );
            fs::write(dir.path().join(format!("{i}.toml")), text)?;
        }
        let children = vec![None, None, None];
        Ok(Self { binary: binary.to_owned(), dir, rpc: rpc.to_vec(), children })
    }

    fn spawn(&mut self, i: usize) -> eyre::Result<()> {
        let settings = self.dir.path().join(format!("{i}.toml"));
        let child = Command::new(&self.binary)
            .arg("--settings")
            .arg(settings)
            .stderr(Stdio::null())
            .spawn()?;
        self.children[i] = Some(child);
        Ok(())
    }

    fn kill(&mut self, i: usize) -> eyre::Result<()> {
        if let Some(mut child) = self.children[i].take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// The size of the log and snapshot of the first host, in bytes.
    fn stored_bytes(&self) -> u64 {
        let size =
            |name| fs::metadata(self.dir.path().join("0").join(name)).map_or(0, |it| it.len());
        size("log") + size("snapshot")
    }

    /// Polls the metrics of the hosts until one reports that it is the leader.
    async fn leader(&self) -> eyre::Result<usize> {
        for i in (0..3).cycle() {
            if self.is_leader(i).await.unwrap_or(false) {
                return Ok(i);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        unreachable!("the iterator is endless")
    }

    async fn is_leader(&self, i: usize) -> eyre::Result<bool> {
        use http_body_util::{BodyExt, Empty};
        let text = fs::read_to_string(self.dir.path().join(format!("{i}.toml")))?;
        let http = text.lines().find_map(|it| it.strip_prefix("listen_http = ")).unwrap_or("");
        let uri: hyper::Uri = format!("http://{}/metrics", http.trim_matches('"')).parse()?;
        let client =
            hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
                .build_http::<Empty<hyper::body::Bytes>>();
        let body = client.get(uri).await?.into_body().collect().await?.to_bytes();
        let text = String::from_utf8_lossy(&body).into_owned();
        Ok(text.contains("gentianpass_control_state_count{name=\"leader\"} 1"))
    }
}

impl Drop for ControlHosts {
    fn drop(&mut self) {
        (0..3).for_each(|i| drop(self.kill(i)));
    }
}

/// A change that puts one of 155 targets, with a new incarnation each time.
fn change(i: u64) -> Change {
    Change::PutTarget(Target {
        name: format!("target-{}", i % 155),
        incarnation: i,
        addr: ([127, 0, 0, 1], 9).into(),
        zone: "tayside-a".into(),
        labels: Labels::new(),
        slots: 3,
        warm_up: 1,
        connections: 30,
        phase: Phase::Serving,
        holdings: Vec::new(),
    })
}

fn report(name: &str, times: &Histogram<u64>) {
    let ms = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "{name}: n={} p50={:.2} ms p99={:.2} ms max={:.2} ms",
        times.len(),
        ms(0.5),
        ms(0.99),
        times.max() as f64 / 1_000.0
    );
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let binary = std::env::args()
        .nth(1)
        .ok_or_else(|| eyre::eyre!("usage: control_figures PATH_OF_GENTIANPASS_CONTROL"))?;
    let mut hosts = ControlHosts::prepare(Path::new(&binary))?;
    (0..3).try_for_each(|i| hosts.spawn(i))?;
    let client = Arc::new(Client::new(hosts.rpc.clone()));
    client.submit(None, change(1), COMMIT_TIMEOUT).await?;
    for (role, host) in [("leader", hosts.leader().await?), ("follower", 3)] {
        let host = if host == 3 { (hosts.leader().await? + 1) % 3 } else { host };
        let client = Client::new(vec![hosts.rpc[host]]);
        let mut times = Histogram::new(3)?;
        for i in 0..1_000 {
            let start = Instant::now();
            client.submit(None, change(i), COMMIT_TIMEOUT).await?;
            times.record(start.elapsed().as_micros() as u64)?;
        }
        report(&format!("commit, one at a time, through the {role}"), &times);
    }
    measure_throughput(&hosts).await?;
    measure_polls(&hosts).await?;
    measure_failover(&mut hosts).await?;
    drop(hosts);
    for changes in [100, 1_000, 10_000] {
        measure_restart(Path::new(&binary), changes).await?;
    }
    Ok(())
}

/// Measures the latency and rate of commits with several clients that each wait for a commit before the next.
async fn measure_throughput(hosts: &ControlHosts) -> eyre::Result<()> {
    const SECONDS: u64 = 5;
    for tasks in [16, 64, 256] {
        let end = Instant::now() + Duration::from_secs(SECONDS);
        let leader = hosts.rpc[hosts.leader().await?];
        let work = (0..tasks).map(|task| {
            tokio::spawn(async move {
                let client = Client::new(vec![leader]);
                let mut times = Histogram::<u64>::new(3).expect("histogram");
                while Instant::now() < end {
                    let start = Instant::now();
                    let done =
                        client.submit(None, change(task * 1_000_000 + times.len()), COMMIT_TIMEOUT);
                    if done.await.is_ok() {
                        times.record(start.elapsed().as_micros() as u64).expect("in range");
                    }
                }
                times
            })
        });
        let mut times = Histogram::<u64>::new(3)?;
        for task in work.collect::<Vec<_>>() {
            times.add(task.await?)?;
        }
        let rate = times.len() / SECONDS;
        report(&format!("commit, {tasks} at once, {rate}/s"), &times);
    }
    Ok(())
}

/// Measures polls that return at once, at the rate of 2,000 entry hosts that poll every 500 ms: 200 tasks that each poll
/// every 50 ms.
async fn measure_polls(hosts: &ControlHosts) -> eyre::Result<()> {
    const SECONDS: u64 = 5;
    let end = Instant::now() + Duration::from_secs(SECONDS);
    let work = (0..200).map(|task: usize| {
        let rpc = hosts.rpc[task % 3];
        tokio::spawn(async move {
            let client = Client::new(vec![rpc]);
            let mut times = Histogram::<u64>::new(3).expect("histogram");
            while Instant::now() < end {
                let start = Instant::now();
                let node = format!("entry-{task}");
                let poll = Poll { node, incarnation: 1, revision: u64::MAX, wait_ms: 0 };
                if client.poll(poll).await.is_ok() {
                    times.record(start.elapsed().as_micros() as u64).expect("in range");
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            times
        })
    });
    let mut times = Histogram::<u64>::new(3)?;
    for task in work.collect::<Vec<_>>() {
        times.add(task.await?)?;
    }
    report(
        &format!("confirmed poll with whole configuration, {}/s", times.len() / SECONDS),
        &times,
    );
    Ok(())
}

/// Measures the time from killing the leader to the next commit, including the election of a new leader.
async fn measure_failover(hosts: &mut ControlHosts) -> eyre::Result<()> {
    let mut times = Histogram::<u64>::new(3)?;
    for i in 0..20 {
        let leader = hosts.leader().await?;
        let others = (0..3).filter(|it| *it != leader).map(|it| hosts.rpc[it]).collect();
        let client = Client::new(others);
        client.submit(None, change(i), COMMIT_TIMEOUT).await?;
        hosts.kill(leader)?;
        let start = Instant::now();
        client.submit(None, change(i + 1_000), COMMIT_TIMEOUT).await?;
        times.record(start.elapsed().as_micros() as u64)?;
        hosts.spawn(leader)?;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    report("failover, from kill to the next commit", &times);
    Ok(())
}

/// Measures the size on disk after a number of changes, and how long all hosts and one follower then need to restart.
async fn measure_restart(binary: &Path, changes: u64) -> eyre::Result<()> {
    let mut hosts = ControlHosts::prepare(binary)?;
    (0..3).try_for_each(|i| hosts.spawn(i))?;
    let client = Client::new(hosts.rpc.clone());
    for i in 0..changes {
        client.submit(None, change(i), COMMIT_TIMEOUT).await?;
    }
    (0..3).try_for_each(|i| hosts.kill(i))?;
    let bytes = hosts.stored_bytes();
    let start = Instant::now();
    (0..3).try_for_each(|i| hosts.spawn(i))?;
    client.submit(None, change(changes), COMMIT_TIMEOUT).await?;
    let all = start.elapsed();
    let leader = hosts.leader().await?;
    let follower = (leader + 1) % 3;
    hosts.kill(follower)?;
    let start = Instant::now();
    hosts.spawn(follower)?;
    let client = Client::new(vec![hosts.rpc[follower]]);
    let poll = Poll { node: "n".into(), incarnation: 1, revision: u64::MAX, wait_ms: 0 };
    while client.poll(poll.clone()).await.is_err() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let one = start.elapsed();
    println!(
        "{changes} changes: log and snapshot {bytes} bytes, restart of all to the first commit {} ms, restart of one \
         to its first confirmed poll {} ms",
        all.as_millis(),
        one.as_millis()
    );
    Ok(())
}

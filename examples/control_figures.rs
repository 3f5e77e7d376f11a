//! Measures three control hosts on this machine: commits, failover, start and size on disk.
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

const LIMIT: Duration = Duration::from_secs(20);

struct Hosts {
    binary: PathBuf,
    dir: tempfile::TempDir,
    rpc: Vec<SocketAddr>,
    children: Vec<Option<Child>>,
}

impl Hosts {
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

    /// Bytes of log and snapshot of the first host.
    fn bytes(&self) -> u64 {
        let size =
            |name| fs::metadata(self.dir.path().join("0").join(name)).map_or(0, |it| it.len());
        size("log") + size("snapshot")
    }

    /// The host that leads according to its metrics.
    async fn leader(&self) -> eyre::Result<usize> {
        for i in (0..3).cycle() {
            if self.leads(i).await.unwrap_or(false) {
                return Ok(i);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        unreachable!("endless")
    }

    async fn leads(&self, i: usize) -> eyre::Result<bool> {
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

impl Drop for Hosts {
    fn drop(&mut self) {
        (0..3).for_each(|i| drop(self.kill(i)));
    }
}

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

fn report(what: &str, times: &Histogram<u64>) {
    let ms = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "{what}: n={} p50={:.2} ms p99={:.2} ms max={:.2} ms",
        times.len(),
        ms(0.5),
        ms(0.99),
        times.max() as f64 / 1_000.0
    );
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let binary = std::env::args().nth(1).ok_or_else(|| eyre::eyre!("name the binary"))?;
    let mut hosts = Hosts::prepare(Path::new(&binary))?;
    (0..3).try_for_each(|i| hosts.spawn(i))?;
    let client = Arc::new(Client::new(hosts.rpc.clone()));
    client.submit(None, change(1), LIMIT).await?;
    for (what, at) in [("leader", hosts.leader().await?), ("follower", 3)] {
        let at = if at == 3 { (hosts.leader().await? + 1) % 3 } else { at };
        let client = Client::new(vec![hosts.rpc[at]]);
        let mut times = Histogram::new(3)?;
        for i in 0..1_000 {
            let start = Instant::now();
            client.submit(None, change(i), LIMIT).await?;
            times.record(start.elapsed().as_micros() as u64)?;
        }
        report(&format!("commit, one at a time, through the {what}"), &times);
    }
    throughput(&hosts).await?;
    polls(&hosts).await?;
    failover(&mut hosts).await?;
    drop(hosts);
    for changes in [100, 1_000, 10_000] {
        start_up(Path::new(&binary), changes).await?;
    }
    Ok(())
}

async fn throughput(hosts: &Hosts) -> eyre::Result<()> {
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
                    let done = client.submit(None, change(task * 1_000_000 + times.len()), LIMIT);
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

/// Polls that return at once, as 2,000 entry hosts would send every 500 ms.
async fn polls(hosts: &Hosts) -> eyre::Result<()> {
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

async fn failover(hosts: &mut Hosts) -> eyre::Result<()> {
    let mut times = Histogram::<u64>::new(3)?;
    for i in 0..20 {
        let leader = hosts.leader().await?;
        let others = (0..3).filter(|it| *it != leader).map(|it| hosts.rpc[it]).collect();
        let client = Client::new(others);
        client.submit(None, change(i), LIMIT).await?;
        hosts.kill(leader)?;
        let start = Instant::now();
        client.submit(None, change(i + 1_000), LIMIT).await?;
        times.record(start.elapsed().as_micros() as u64)?;
        hosts.spawn(leader)?;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    report("failover, from kill to the next commit", &times);
    Ok(())
}

async fn start_up(binary: &Path, changes: u64) -> eyre::Result<()> {
    let mut hosts = Hosts::prepare(binary)?;
    (0..3).try_for_each(|i| hosts.spawn(i))?;
    let client = Client::new(hosts.rpc.clone());
    for i in 0..changes {
        client.submit(None, change(i), LIMIT).await?;
    }
    (0..3).try_for_each(|i| hosts.kill(i))?;
    let bytes = hosts.bytes();
    let start = Instant::now();
    (0..3).try_for_each(|i| hosts.spawn(i))?;
    client.submit(None, change(changes), LIMIT).await?;
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

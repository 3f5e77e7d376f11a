//! Test harness: runs control hosts as processes with their data in a temporary folder.

use std::{
    fs,
    future::Future,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    time::{Duration, Instant},
};

use gentianpass::{
    control::Client,
    error::Result,
    state::{Change, Object, ObjectKind, Reply},
    wire::{
        control::{Poll, Update},
        operator::{ChangeAnswer, ChangeRequest, Edit, State},
    },
};
use http_body_util::{BodyExt, Collected, Full};
use hyper::{Method, Request, body::Bytes};
use hyper_util::{client::legacy, rt::TokioExecutor};
use rustix::process::{Pid, WaitId, WaitIdOptions, waitid};
use serde_json::Value;
use tempfile::TempDir;
use uuid::Uuid;

pub const ZONES: [&str; 3] = ["tayside-a", "lothian-a", "highland-a"];
pub const TOKEN: &str = "operators-only";

/// Timeout for steps that take less than a second on an idle machine.
pub const TIMEOUT: Duration = Duration::from_secs(15);

/// A control host: its addresses, files and process.
pub struct Host {
    pub http: SocketAddr,
    pub rpc: SocketAddr,
    pub data: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
}

/// A cluster of control hosts. Their processes are killed when it is dropped; their logs are printed if the test
/// failed.
pub struct Cluster {
    pub hosts: Vec<Host>,
    /// A library that is loaded into the processes before all others.
    pub preload: Option<PathBuf>,
    dir: TempDir,
    voters: Vec<SocketAddr>,
    extra_settings: String,
}

/// Returns an address with a free port below the ephemeral range, so that no outgoing connection takes the port before
/// the host binds it.
fn free_addr() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = (std::process::id() % 150) as u16 * 100;
    loop {
        let port = 12_000 + (start + NEXT.fetch_add(1, Ordering::Relaxed)) % 20_000;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

impl Cluster {
    /// Starts three voters in three zones. `extra_settings` is appended to their settings files.
    pub fn start(extra_settings: &str) -> Self {
        let mut cluster = Self::prepare(extra_settings);
        (0..3).for_each(|i| cluster.spawn(i));
        cluster
    }

    /// Writes the settings files of three voters without starting them.
    pub fn prepare(extra_settings: &str) -> Self {
        let dir = TempDir::new().expect("temporary folder");
        let voters = (0..3).map(|_| free_addr()).collect();
        let mut cluster = Self {
            hosts: Vec::new(),
            preload: None,
            dir,
            voters,
            extra_settings: extra_settings.into(),
        };
        for (i, zone) in ZONES.iter().enumerate() {
            let rpc = cluster.voters[i];
            cluster.add(zone, "voter", rpc);
        }
        cluster
    }

    /// Adds a host with the role `spare`, which joins as a learner, and starts it. Returns its index.
    pub fn add_spare(&mut self, zone: &str) -> usize {
        self.add(zone, "spare", free_addr());
        self.spawn(self.hosts.len() - 1);
        self.hosts.len() - 1
    }

    fn add(&mut self, zone: &str, role: &str, rpc: SocketAddr) {
        let name = format!("control-{}", self.hosts.len());
        let data = self.dir.path().join(&name);
        let settings = self.dir.path().join(format!("{name}.toml"));
        let http = free_addr();
        let peers: Vec<_> = self.voters.iter().map(|it| format!("\"{it}\"")).collect();
        let text = format!(
            "name = \"{name}\"\nzone = \"{zone}\"\nrole = \"{role}\"\nlisten_http = \"{http}\"\n\
             listen_rpc = \"{rpc}\"\ndata_dir = {data:?}\npeers = [{}]\n\
             operator_token = \"{TOKEN}\"\n{}\n",
            peers.join(", "),
            self.extra_settings
        );
        fs::write(&settings, text).expect("writable");
        self.hosts.push(Host { http, rpc, data, settings, child: None });
    }

    /// Starts the process of a host, also again after it ended.
    pub fn spawn(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        let log = host.settings.with_extension("log");
        let log = fs::File::options().create(true).append(true).open(log).expect("log file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_gentianpass-control"));
        if let Some(library) = &self.preload {
            command.env("LD_PRELOAD", library).env("FULL_DISK_DIR", &host.data);
            command.env("FULL_DISK_LIMIT", host.data.with_extension("limit"));
        }
        command.arg("--settings").arg(&host.settings).stderr(Stdio::from(log));
        host.child = Some(command.spawn().expect("started"));
    }

    /// Starts the processes again that have ended by themselves, and returns their number.
    pub fn respawn_ended(&mut self) -> usize {
        let has_ended = |it: &mut Child| it.try_wait().expect("child").is_some();
        let ended: Vec<_> = (0..self.hosts.len())
            .filter(|i| self.hosts[*i].child.as_mut().is_some_and(has_ended))
            .collect();
        ended.iter().for_each(|i| self.spawn(*i));
        ended.len()
    }

    /// Kills the process of a host with SIGKILL.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.hosts[i].child.take() {
            child.kill().expect("killed");
            child.wait().expect("ended");
        }
    }

    /// Sends a signal, such as `STOP`, to the process of a host. After `STOP` it waits until all threads have stopped:
    /// they run on until the thread that takes the signal is scheduled, and may still confirm a poll.
    pub fn signal(&self, i: usize, signal: &str) {
        let child = self.hosts[i].child.as_ref().expect("running");
        let sent =
            Command::new("sh").args(["-c", &format!("kill -{signal} {}", child.id())]).status();
        assert!(sent.expect("shell").success());
        if signal == "STOP" {
            let stopped_or_ended = WaitIdOptions::STOPPED | WaitIdOptions::EXITED;
            let pid = WaitId::Pid(Pid::from_child(child));
            waitid(pid, stopped_or_ended | WaitIdOptions::NOWAIT).expect("stopped");
        }
    }

    /// The largest resident memory that the process of a host has had.
    pub fn peak_memory_bytes(&self, i: usize) -> u64 {
        let pid = self.hosts[i].child.as_ref().expect("running").id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("running process");
        let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:")).expect("peak memory");
        line.trim().trim_end_matches(" kB").parse::<u64>().expect("number") << 10
    }

    /// Waits until the process of a host exits by itself and returns its status.
    pub async fn wait_for_exit(&mut self, i: usize) -> std::process::ExitStatus {
        let mut child = self.hosts[i].child.take().expect("running");
        wait_until("the process exits", async || child.try_wait().expect("child")).await
    }

    /// The log output of a host, over all its processes.
    pub fn log(&self, i: usize) -> String {
        fs::read_to_string(self.hosts[i].settings.with_extension("log")).expect("log file")
    }

    /// An RPC client of these hosts only.
    pub fn client(&self, hosts: &[usize]) -> Client {
        Client::new(hosts.iter().map(|it| self.hosts[*it].rpc).collect())
    }

    /// Sends an operator's request to a host.
    pub async fn http(&self, i: usize, method: Method, path: &str, body: &str) -> (u16, Value) {
        request(self.hosts[i].http, method, path, body).await
    }

    /// Reads the metrics of a host.
    pub async fn metrics(&self, i: usize) -> String {
        let url = format!("http://{}/metrics", self.hosts[i].http);
        let client = legacy::Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
        let answer = client.get(url.parse().expect("URL")).await.expect("metrics");
        let body = answer.into_body().collect().await.expect("metrics").to_bytes();
        String::from_utf8(body.to_vec()).expect("text")
    }

    /// Reads the state from a host; none if it cannot serve a confirmed read.
    pub async fn state(&self, i: usize) -> Option<State> {
        let (status, body) = self.http(i, Method::GET, "/v1/state", "").await;
        (status == 200).then(|| serde_json::from_value(body).expect("state"))
    }

    /// Waits until the state read from a host satisfies the condition.
    pub async fn wait_for_state(
        &self,
        i: usize,
        what: &str,
        condition: impl Fn(&State) -> bool,
    ) -> State {
        wait_until(what, async || self.state(i).await.filter(&condition)).await
    }

    /// Waits until host `i` knows a leader, and returns the index of the leader.
    pub async fn wait_for_leader(&self, i: usize) -> usize {
        let leader = |it: &State| it.members.iter().find(|it| it.role == "leader").map(|it| it.rpc);
        let state = self.wait_for_state(i, "a leader is known", |it| leader(it).is_some()).await;
        let rpc = leader(&state).expect("leader");
        self.hosts.iter().position(|it| it.rpc == rpc).expect("known host")
    }

    /// Sends an operator's change to a host.
    pub async fn change(&self, i: usize, id: Uuid, base: u64, edit: Edit) -> (u16, Value) {
        let request = ChangeRequest { id: id.to_string(), base, edit };
        let body = serde_json::to_string(&request).expect("request");
        self.http(i, Method::POST, "/v1/changes", &body).await
    }

    /// Sets a label on the current operator revision, and retries until the change is accepted.
    pub async fn set_label(&self, i: usize, name: &str, value: &str) -> ChangeAnswer {
        wait_until("the change is accepted", async || {
            let base = self.state(i).await?.operator_revision;
            let (status, body) =
                self.change(i, Uuid::new_v4(), base, label_edit(name, value)).await;
            (status == 200).then(|| serde_json::from_value(body).expect("answer"))
        })
        .await
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        (0..self.hosts.len()).for_each(|i| self.kill(i));
        if std::thread::panicking() {
            (0..self.hosts.len()).for_each(|i| println!("log of host {i}:\n{}", self.log(i)));
        }
    }
}

/// Sends an operator's request. Returns the status and the JSON body, or status 0 without a response.
pub async fn request(addr: SocketAddr, method: Method, path: &str, body: &str) -> (u16, Value) {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("request");
    let client = legacy::Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let answer = tokio::time::timeout(TIMEOUT, client.request(request)).await;
    let Ok(Ok(answer)) = answer else { return (0, Value::Null) };
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.map(Collected::to_bytes).unwrap_or_default();
    (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

/// An edit that sets the label `team` of a caller.
pub fn label_edit(name: &str, value: &str) -> Edit {
    let object = Object::new(ObjectKind::Caller, name);
    Edit::SetLabel { object, key: "team".into(), value: value.into() }
}

/// The value of the label that [`label_edit`] sets.
pub fn label_value(state: &State, name: &str) -> Option<String> {
    let object = Object::new(ObjectKind::Caller, name);
    let labels = &state.labels.iter().find(|it| it.object == object)?.labels;
    labels.get("team").cloned()
}

/// Sends the poll of an entry host; it waits at most 200 ms for a newer revision.
pub async fn poll(client: &Client, node: &str, revision: u64) -> Result<Update> {
    client.poll(Poll { node: node.into(), incarnation: 1, revision, wait_ms: 200 }).await
}

/// Submits a change as an entry host does, without a base revision.
pub async fn submit(client: &Client, change: Change) -> Result<Reply> {
    client.submit(None, change, TIMEOUT).await
}

/// Repeats an attempt until it returns a value; fails after [`TIMEOUT`].
pub async fn wait_until<T>(what: &str, mut attempt: impl AsyncFnMut() -> Option<T>) -> T {
    within(what, TIMEOUT, async || {
        loop {
            if let Some(it) = attempt().await {
                return it;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    })
    .await
}

/// Fails if a future takes longer than `limit`.
pub async fn within<T, F: Future<Output = T>>(
    what: &str,
    limit: Duration,
    f: impl FnOnce() -> F,
) -> T {
    let start = Instant::now();
    let result = tokio::time::timeout(limit, f()).await;
    result.unwrap_or_else(|_| panic!("{what}: exceeded {limit:?}, took {:?}", start.elapsed()))
}

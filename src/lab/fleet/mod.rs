//! Launches a fleet of real processes on this machine, each with its own settings file and log; control hosts also
//! have a data folder.

mod plan;
mod process;

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};

use bytes::Bytes;
use eyre::WrapErr;
use hyper::Method;
use tempfile::TempDir;

use crate::{
    lab::{
        caller::Caller,
        http::{self, Client},
        operator::Operator,
        target::fault::{Fault, FaultRequest, FaultStep, Stats, TargetStats},
    },
    wire::caller::CALLER_HEADER,
};
pub use plan::{Binaries, HostPlan, OPERATOR_TOKEN, Plan, Service, target_template};
pub use process::Process;

/// The interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a request of the launcher to a process may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// A control or entry host.
pub struct Host {
    /// The name of the host.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// The address for operators or callers.
    pub http: SocketAddr,
    /// The address for other processes of the system.
    pub rpc: SocketAddr,
    /// The folder for durable state; only control hosts create and use it.
    pub data_dir: PathBuf,
    /// The process.
    pub process: Process,
}

impl Host {
    /// Restarts the host with an empty data folder. A running process is killed first.
    pub fn restart_empty(&mut self) -> eyre::Result<()> {
        if self.process.ended()?.is_none() {
            self.process.kill()?;
        }
        if self.data_dir.exists() {
            fs::remove_dir_all(&self.data_dir)?;
        }
        fs::create_dir_all(&self.data_dir)?;
        self.process.restart()
    }
}

/// A process that hosts stand-in targets.
pub struct TargetProcess {
    /// The address of its lab API, which injects faults and returns counters.
    pub lab_addr: SocketAddr,
    /// The names of its targets.
    pub names: Vec<String>,
    /// The process.
    pub process: Process,
}

/// A running fleet. Dropping it kills all processes and removes their files.
pub struct Fleet {
    /// Control hosts in the order of the plan.
    pub controls: Vec<Host>,
    /// Entry hosts in the order of the plan.
    pub entries: Vec<Host>,
    /// Target processes in the order of the plan.
    pub targets: Vec<TargetProcess>,
    /// The plan that the fleet was started from.
    pub plan: Plan,
    /// The operators' client.
    pub operator: Operator,
    client: Client,
    dir: TempDir,
}

impl Fleet {
    /// Starts all processes and waits until they are healthy.
    pub async fn start(plan: Plan) -> eyre::Result<Self> {
        let mut fleet = Self::spawn(plan)?;
        fleet.wait_until_healthy(Duration::from_secs(20)).await?;
        Ok(fleet)
    }

    /// Starts all processes without waiting for them.
    pub fn spawn(plan: Plan) -> eyre::Result<Self> {
        let controls = (0..plan.controls.len()).map(|it| plan.control(it).0).collect();
        let mut fleet = Self {
            controls: Vec::new(),
            entries: Vec::new(),
            targets: Vec::new(),
            operator: Operator::new(controls, OPERATOR_TOKEN),
            client: Client::default(),
            dir: TempDir::with_prefix("gentianpass-lab-")?,
            plan,
        };
        for i in 0..fleet.plan.controls.len() {
            let host = fleet.start_control(i)?;
            fleet.controls.push(host);
        }
        for i in 0..fleet.plan.entries.len() {
            let host = fleet.start_entry(i)?;
            fleet.entries.push(host);
        }
        for i in 0..fleet.plan.targets.len() {
            let process = fleet.start_targets(i)?;
            fleet.targets.push(process);
        }
        Ok(fleet)
    }

    /// Waits until each process answers, and all entry hosts and targets are in the control state.
    pub async fn wait_until_healthy(&mut self, timeout: Duration) -> eyre::Result<()> {
        let end = Instant::now() + timeout;
        loop {
            let Err(err) = self.check_health().await else { return Ok(()) };
            self.check_processes()?;
            if Instant::now() > end {
                return Err(err.wrap_err(format!("fleet not healthy after {timeout:?}")));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Fails with the last lines of its log if a process has exited.
    pub fn check_processes(&mut self) -> eyre::Result<()> {
        let hosts = self.controls.iter_mut().chain(&mut self.entries).map(|it| &mut it.process);
        for process in hosts.chain(self.targets.iter_mut().map(|it| &mut it.process)) {
            if let Some(status) = process.ended()? {
                eyre::bail!("a process exited with {status}:\n{}", process.log_tail());
            }
        }
        Ok(())
    }

    /// The folder with the settings, logs and data of all processes.
    pub fn dir(&self) -> &std::path::Path {
        self.dir.path()
    }

    /// A client with this caller name that has all entry hosts as seeds.
    pub fn caller(&self, name: &str) -> Caller {
        Caller::new(name, self.entries.iter().map(|it| it.http).collect())
    }

    /// Injects a fault into the targets with these names, which may belong to several processes; into all targets if
    /// `names` is empty.
    pub async fn fault(&self, names: &[&str], fault: Fault) -> eyre::Result<()> {
        for process in &self.targets {
            let own = process.names.iter().filter(|it| names.contains(&it.as_str()));
            let targets: Vec<String> = own.cloned().collect();
            if names.is_empty() || !targets.is_empty() {
                let steps = vec![FaultStep { targets, fault: fault.clone() }];
                self.send_faults(process, FaultRequest { steps }).await?;
            }
        }
        Ok(())
    }

    /// Sends fault steps to one target process.
    pub async fn send_faults(
        &self,
        process: &TargetProcess,
        request: FaultRequest,
    ) -> eyre::Result<()> {
        let body = http::encode(&request)?;
        let sent = self.client.send(
            Method::POST,
            process.lab_addr,
            "/v1/lab/faults",
            &[],
            body,
            REQUEST_TIMEOUT,
        );
        let (status, answer) = sent.await?;
        eyre::ensure!(status.is_success(), "fault request failed: {status} {answer:?}");
        Ok(())
    }

    /// The counters of all targets, in the order of the plan.
    pub async fn stats(&self) -> eyre::Result<Vec<TargetStats>> {
        let mut all = Vec::new();
        for process in &self.targets {
            let stats: Stats =
                self.client.get(process.lab_addr, "/v1/lab/stats", REQUEST_TIMEOUT).await?;
            all.extend(stats.targets);
        }
        Ok(all)
    }

    /// The names of all targets in a zone.
    pub fn targets_in(&self, zone: &str) -> Vec<&str> {
        let all = self.plan.targets.iter().flatten();
        all.filter(|it| it.zone == zone).map(|it| it.name.as_str()).collect()
    }

    async fn check_health(&self) -> eyre::Result<()> {
        for host in self.controls.iter() {
            self.get_ok(host.http, "/healthz").await.wrap_err_with(|| host.name.clone())?;
        }
        for process in &self.targets {
            self.get_ok(process.lab_addr, "/v1/lab/stats").await.wrap_err("target process")?;
        }
        for host in &self.entries {
            self.get_ok(host.http, "/v1/entries").await.wrap_err_with(|| host.name.clone())?;
        }
        if self.controls.is_empty() || self.entries.is_empty() {
            return Ok(());
        }
        let state = self.operator.state().await?;
        let expected: usize = self.targets.iter().map(|it| it.names.len()).sum();
        let (nodes, targets) = (state.nodes.len(), state.targets.len());
        eyre::ensure!(nodes == self.entries.len(), "{nodes} entry hosts joined");
        eyre::ensure!(targets == expected, "{targets} of {expected} targets joined");
        Ok(())
    }

    async fn get_ok(&self, addr: SocketAddr, path: &str) -> eyre::Result<()> {
        let headers = [(CALLER_HEADER, "launcher")];
        let sent = self
            .client
            .send(Method::GET, addr, path, &headers, Bytes::new(), REQUEST_TIMEOUT)
            .await;
        let (status, body) = sent.wrap_err_with(|| format!("{addr}{path}"))?;
        eyre::ensure!(status.is_success(), "{addr}{path}: {status} {body:?}");
        Ok(())
    }

    fn start_control(&self, i: usize) -> eyre::Result<Host> {
        let plan = &self.plan.controls[i];
        let data_dir = self.dir.path().join(&plan.name);
        fs::create_dir_all(&data_dir)?;
        let settings = self.plan.control_settings(i, &data_dir);
        let process = self.start_process("gentianpass-control", &plan.name, &settings)?;
        let (http, rpc) = self.plan.control(i);
        let (name, zone) = (plan.name.clone(), plan.zone.clone());
        Ok(Host { name, zone, http, rpc, data_dir, process })
    }

    fn start_entry(&self, i: usize) -> eyre::Result<Host> {
        let plan = &self.plan.entries[i];
        let settings = self.plan.entry_settings(i);
        let process = self.start_process("gentianpass-entry", &plan.name, &settings)?;
        let (http, rpc) = self.plan.entry(i);
        let (name, zone) = (plan.name.clone(), plan.zone.clone());
        Ok(Host { name, zone, http, rpc, data_dir: self.dir.path().join(&plan.name), process })
    }

    fn start_targets(&self, i: usize) -> eyre::Result<TargetProcess> {
        let settings = self.plan.target_settings(i)?;
        let process =
            self.start_process("gentianpass-target", &format!("targets-{i}"), &settings)?;
        let names = self.plan.targets[i].iter().map(|it| it.name.clone()).collect();
        Ok(TargetProcess { lab_addr: self.plan.lab_addr(i), names, process })
    }

    fn start_process(
        &self,
        program: &str,
        name: &str,
        settings: &toml::Table,
    ) -> eyre::Result<Process> {
        let file = self.dir.path().join(format!("{name}.toml"));
        fs::write(&file, toml::to_string(settings)?)?;
        let log = self.dir.path().join(format!("{name}.log"));
        Process::start(&self.plan.binaries.path(program), &file, &log)
    }
}

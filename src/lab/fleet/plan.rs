//! The description of a fleet, and the settings files that follow from it.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
};

use eyre::WrapErr;
use rand::random_range;
use toml::{Table, Value};

use crate::{settings::TargetSpec, state::Holding};

/// The operator token of every fleet that the lab starts.
pub const OPERATOR_TOKEN: &str = "lab-operator-token";

const CONTROL_HTTP_PORT: u16 = 21_000;
const CONTROL_RPC_PORT: u16 = 22_000;
const ENTRY_HTTP_PORT: u16 = 23_000;
const ENTRY_RPC_PORT: u16 = 24_000;
const LAB_PORT: u16 = 25_000;
const TARGET_PORT: u16 = 26_000;

/// The folder of the programs that a fleet runs.
#[derive(Clone, Debug)]
pub struct Binaries(PathBuf);

impl Binaries {
    /// Takes the programs from a folder.
    pub fn in_folder(folder: impl Into<PathBuf>) -> Self {
        Self(folder.into())
    }

    /// Takes the programs from the folder of one of them, such as `env!("CARGO_BIN_EXE_gentianpass-entry")`.
    pub fn beside(program: impl AsRef<Path>) -> Self {
        Self(program.as_ref().parent().unwrap_or(Path::new(".")).to_owned())
    }

    /// Takes the programs from the folder of the running program.
    pub fn beside_current() -> eyre::Result<Self> {
        Ok(Self::beside(std::env::current_exe()?))
    }

    pub(super) fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

/// A control or entry host to be started.
#[derive(Clone, Debug, Default)]
pub struct HostPlan {
    /// The name of the host.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// Settings that replace the defaults and those that the launcher chooses.
    pub settings: Table,
}

impl HostPlan {
    /// A host with default settings.
    pub fn new(name: impl Into<String>, zone: impl Into<String>) -> Self {
        Self { name: name.into(), zone: zone.into(), settings: Table::new() }
    }

    /// Adds or replaces one setting.
    pub fn with(mut self, key: &str, value: impl Into<Value>) -> Self {
        self.settings.insert(key.into(), value.into());
        self
    }
}

/// The description of a fleet. Each plan draws a random loopback address, and all ports on it are fixed from the
/// start. Fleets that run at the same time therefore do not collide, and proxies can be started before the processes.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The programs.
    pub binaries: Binaries,
    /// Control hosts; those with `role = "spare"` in their settings are not among the first voters.
    pub controls: Vec<HostPlan>,
    /// Entry hosts.
    pub entries: Vec<HostPlan>,
    /// The targets of each target process.
    pub targets: Vec<Vec<TargetSpec>>,
    /// The seed of the data set.
    pub seed: u64,
    /// The approximate number of rows in each version.
    pub rows: u64,
    ip: IpAddr,
    next_target_port: u16,
}

impl Plan {
    /// An empty plan.
    pub fn new(binaries: Binaries, seed: u64, rows: u64) -> Self {
        let ip =
            Ipv4Addr::new(127, random_range(1..255), random_range(0..=255), random_range(1..255));
        Self {
            binaries,
            controls: Vec::new(),
            entries: Vec::new(),
            targets: Vec::new(),
            seed,
            rows,
            ip: ip.into(),
            next_target_port: TARGET_PORT,
        }
    }

    /// Allocates an address for a target.
    pub fn target_addr(&mut self) -> SocketAddr {
        self.next_target_port += 1;
        SocketAddr::new(self.ip, self.next_target_port)
    }

    /// The HTTP address (for operators) and the RPC address (for other processes) of a control host.
    pub fn control(&self, i: usize) -> (SocketAddr, SocketAddr) {
        (self.addr(CONTROL_HTTP_PORT, i), self.addr(CONTROL_RPC_PORT, i))
    }

    /// The HTTP address (for callers) and the RPC address (for other processes) of an entry host.
    pub fn entry(&self, i: usize) -> (SocketAddr, SocketAddr) {
        (self.addr(ENTRY_HTTP_PORT, i), self.addr(ENTRY_RPC_PORT, i))
    }

    /// The address of the lab API of a target process.
    pub fn lab_addr(&self, i: usize) -> SocketAddr {
        self.addr(LAB_PORT, i)
    }

    fn addr(&self, first_port: u16, i: usize) -> SocketAddr {
        SocketAddr::new(self.ip, first_port + i as u16)
    }

    pub(super) fn control_settings(&self, i: usize, data_dir: &Path) -> Table {
        let plan = &self.controls[i];
        let (http, rpc) = self.control(i);
        let spare = Value::from("spare");
        let voters = (0..self.controls.len())
            .filter(|&it| self.controls[it].settings.get("role") != Some(&spare))
            .map(|it| self.control(it).1);
        let mut table = host_settings(plan, http, rpc);
        table.insert("data_dir".into(), data_dir.display().to_string().into());
        table.insert("peers".into(), addresses(voters));
        table.extend(plan.settings.clone());
        table
    }

    pub(super) fn entry_settings(&self, i: usize) -> Table {
        let plan = &self.entries[i];
        let (http, rpc) = self.entry(i);
        let controls = (0..self.controls.len()).map(|it| self.control(it).1);
        let mut table = host_settings(plan, http, rpc);
        table.insert("control".into(), addresses(controls));
        table.extend(plan.settings.clone());
        table
    }

    pub(super) fn target_settings(&self, i: usize) -> eyre::Result<Table> {
        // The settings require at least one address. In a fleet without entry hosts, nothing listens on this one.
        let entries = (0..self.entries.len().max(1)).map(|it| self.entry(it).0);
        let mut table = Table::new();
        table.insert("listen_lab".into(), self.lab_addr(i).to_string().into());
        table.insert("entries".into(), addresses(entries));
        table.insert("seed".into(), (self.seed as i64).into());
        table.insert("rows".into(), (self.rows as i64).into());
        let targets = Value::try_from(&self.targets[i]).wrap_err("targets as TOML")?;
        table.insert("targets".into(), targets);
        Ok(table)
    }
}

fn host_settings(plan: &HostPlan, http: SocketAddr, rpc: SocketAddr) -> Table {
    let mut table = Table::new();
    table.insert("name".into(), plan.name.clone().into());
    table.insert("zone".into(), plan.zone.clone().into());
    table.insert("listen_http".into(), http.to_string().into());
    table.insert("listen_rpc".into(), rpc.to_string().into());
    table.insert("operator_token".into(), OPERATOR_TOKEN.into());
    table
}

fn addresses(addrs: impl Iterator<Item = SocketAddr>) -> Value {
    Value::Array(addrs.map(|it| it.to_string().into()).collect())
}

/// A service: shards of an index with a replica in each zone.
#[derive(Clone, Debug)]
pub struct Service {
    /// The name, the value of the label `service`.
    pub name: String,
    /// The index whose shards the targets hold.
    pub index: String,
    /// The number of shards.
    pub shards: u32,
    /// The limits of each target. Its name, zone, address, labels and holdings are filled in.
    pub template: TargetSpec,
}

impl Service {
    /// Creates one target per shard and zone, named `SERVICE-SHARD-ZONE`, which holds its shard of version 1.
    pub fn targets(&self, plan: &mut Plan, zones: &[&str]) -> Vec<TargetSpec> {
        let shard_zones =
            (0..self.shards).flat_map(|shard| zones.iter().map(move |zone| (shard, *zone)));
        shard_zones
            .map(|(shard, zone)| {
                let holding =
                    Holding { index: self.index.clone(), version: 1, shard, shards: self.shards };
                TargetSpec {
                    name: format!("{}-{shard:03}-{zone}", self.name),
                    zone: zone.into(),
                    listen: plan.target_addr(),
                    labels: BTreeMap::from([("service".into(), self.name.clone())]),
                    holdings: vec![holding],
                    ..self.template.clone()
                }
            })
            .collect()
    }
}

/// A target specification with these limits and no cold start, to be completed with name, zone, address and holdings.
pub fn target_template(
    slots: u32,
    connections: u32,
    connect_ms: u64,
    service_us: u64,
) -> TargetSpec {
    TargetSpec {
        name: String::new(),
        zone: String::new(),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        labels: BTreeMap::new(),
        slots,
        warm_up: 1,
        connections,
        connect_ms,
        service_us,
        warm_after_ms: 0,
        holdings: Vec::new(),
    }
}

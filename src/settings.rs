//! TOML settings of each process. A file is validated completely, so that all its problems are reported at once.

use std::{
    collections::BTreeMap,
    fmt,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use strum::{Display, EnumString};

use crate::{
    descriptors, memory,
    state::{Holding, Labels, check_name},
};

/// The share of a control host's descriptors for RPC connections of other processes of the system, in percent.
const RPC_PERCENT: u64 = 40;

/// The share of a control host's descriptors for connections of operators, in percent.
const OPERATORS_PERCENT: u64 = 5;

/// An invalid, missing or unknown key of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The key, or `file` if the file as a whole cannot be read.
    pub key: String,
    /// The value as TOML; secrets are hidden.
    pub value: String,
    /// A description of the allowed values.
    pub allowed: String,
}

/// All problems of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problems {
    /// The path of the file.
    pub file: PathBuf,
    /// All problems found.
    pub problems: Vec<Problem>,
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, it) in self.problems.iter().enumerate() {
            let end = if i + 1 < self.problems.len() { "\n" } else { "" };
            let file = self.file.display();
            write!(f, "{file}: {} = {}: expected {}{end}", it.key, it.value, it.allowed)?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}

/// The settings of one kind of process.
pub trait Settings: Sized {
    /// Reads the settings. Problems are recorded in `rdr`, and a placeholder takes the place of an invalid value.
    fn read(rdr: &mut Reader) -> Self;
}

/// Reads and validates a settings file.
pub fn load<S: Settings>(path: &Path) -> Result<S, Problems> {
    let fail = |key: &str, value: String, allowed: &str| Problems {
        file: path.to_owned(),
        problems: vec![Problem { key: key.into(), value, allowed: allowed.into() }],
    };
    let text = std::fs::read_to_string(path)
        .map_err(|err| fail("file", err.to_string(), "a readable file"))?;
    let table: toml::Table =
        text.parse().map_err(|err: toml::de::Error| fail("file", err.to_string(), "TOML"))?;
    let mut rdr = Reader { table, known_keys: Vec::new(), problems: Vec::new() };
    let settings = S::read(&mut rdr);
    let problems = rdr.finish();
    if problems.is_empty() {
        Ok(settings)
    } else {
        Err(Problems { file: path.to_owned(), problems })
    }
}

/// Extracts values from a settings file and collects the problems.
pub struct Reader {
    /// The keys that have not been read yet.
    table: toml::Table,
    known_keys: Vec<&'static str>,
    problems: Vec<Problem>,
}

impl Reader {
    fn required<T: DeserializeOwned>(
        &mut self,
        key: &'static str,
        allowed: &str,
        placeholder: T,
        check: impl Fn(&T) -> bool,
    ) -> T {
        if !self.table.contains_key(key) {
            self.known_keys.push(key);
            self.problem(key, "(not set)".into(), allowed);
            return placeholder;
        }
        self.optional(key, allowed, placeholder, check)
    }

    fn optional<T: DeserializeOwned>(
        &mut self,
        key: &'static str,
        allowed: &str,
        default: T,
        check: impl Fn(&T) -> bool,
    ) -> T {
        self.known_keys.push(key);
        let Some(value) = self.table.remove(key) else { return default };
        let shown = if key.contains("token") { "(hidden)".into() } else { value.to_string() };
        match value.try_into::<T>() {
            Ok(value) if check(&value) => value,
            _ => {
                self.problem(key, shown, allowed);
                default
            }
        }
    }

    fn name(&mut self, key: &'static str) -> String {
        let allowed = "a name of 1 to 128 letters, digits, or -_.:@";
        self.required(key, allowed, String::new(), |it: &String| check_name(it).is_ok())
    }

    fn address(&mut self, key: &'static str) -> SocketAddr {
        let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
        self.required(key, "an IP address and port such as 127.0.0.1:7000", placeholder, |_| true)
    }

    fn addresses(&mut self, key: &'static str) -> Vec<SocketAddr> {
        let allowed = "a list of at least one IP address and port";
        self.required(key, allowed, Vec::new(), |it: &Vec<SocketAddr>| !it.is_empty())
    }

    fn token(&mut self) -> String {
        let allowed = "a secret of at least 8 characters";
        self.required("operator_token", allowed, String::new(), |it: &String| it.len() >= 8)
    }

    fn number(&mut self, key: &'static str, default: u64, min: u64, max: u64) -> u64 {
        let allowed = format!("a whole number from {min} to {max}");
        self.optional(key, &allowed, default, |it| (min..=max).contains(it))
    }

    fn problem(&mut self, key: &str, value: String, allowed: &str) {
        self.problems.push(Problem { key: key.into(), value, allowed: allowed.into() });
    }

    fn finish(mut self) -> Vec<Problem> {
        let allowed = format!("one of the keys {}", self.known_keys.join(", "));
        for (key, value) in std::mem::take(&mut self.table) {
            let shown = if key.contains("token") { "(hidden)".into() } else { value.to_string() };
            self.problem(&key, shown, &allowed);
        }
        self.problems
    }
}

/// The role of a control host in the control cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// An initial voter of a new cluster. If a cluster exists already, the host joins as a learner.
    Voter,
    /// Never starts a cluster, but joins one as a learner. The leader promotes learners to replace a failed voter, or
    /// if there are fewer voters than `voters`.
    Spare,
}

/// Settings of a control host.
#[derive(Clone, Debug)]
pub struct Control {
    /// The name of the host.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// The HTTP address for operators.
    pub listen_http: SocketAddr,
    /// The RPC address for other processes of the system.
    pub listen_rpc: SocketAddr,
    /// The directory for durable state.
    pub data_dir: PathBuf,
    /// The RPC addresses of all initial voters, including this host if it is one of them.
    pub peers: Vec<SocketAddr>,
    /// The role of the host.
    pub role: Role,
    /// The bearer token that operators' requests must carry.
    pub operator_token: String,
    /// The interval of the leader's heartbeats.
    pub heartbeat_ms: u64,
    /// The minimum election timeout. The actual one is random, up to twice this value.
    pub election_ms: u64,
    /// An entry host that has not polled for this long is removed.
    pub node_expiry_ms: u64,
    /// A target that has not renewed its announcement for this long is removed; a leaving target is kept longer. If not
    /// set, control hosts remove no targets, and the owners detect targets that stop renewing.
    pub target_expiry_ms: Option<u64>,
    /// A voter that the leader has not heard from for this long is replaced.
    pub repair_after_ms: u64,
    /// Learners are promoted until there are this many voters. With 0, a learner is promoted only to replace a voter.
    pub voters: u64,
    /// A snapshot replaces the log entries when this many have been applied since the previous one.
    pub snapshot_entries: u64,
    /// A snapshot replaces the log entries also when the log file is larger than this, in bytes.
    pub snapshot_bytes: u64,
    /// The number of descriptors that the process may have open, if the operating system has no lower limit.
    pub max_descriptors: u64,
    /// The memory of the machine, in MB.
    pub memory_mb: u64,
}

impl Control {
    /// The number of RPC connections of other processes of the system.
    pub(crate) fn max_rpc_connections(&self) -> usize {
        descriptors::share(self.max_descriptors, RPC_PERCENT)
    }

    /// The number of connections of operators.
    pub(crate) fn max_operators(&self) -> usize {
        descriptors::share(self.max_descriptors, OPERATORS_PERCENT)
    }
}

impl Settings for Control {
    fn read(rdr: &mut Reader) -> Self {
        Self {
            name: rdr.name("name"),
            zone: rdr.name("zone"),
            listen_http: rdr.address("listen_http"),
            listen_rpc: rdr.address("listen_rpc"),
            data_dir: rdr.required("data_dir", "a directory", PathBuf::new(), |_| true),
            peers: rdr.addresses("peers"),
            role: rdr.optional("role", "\"voter\" or \"spare\"", Role::Voter, |_| true),
            operator_token: rdr.token(),
            heartbeat_ms: rdr.number("heartbeat_ms", 100, 10, 1_000),
            election_ms: rdr.number("election_ms", 500, 50, 10_000),
            node_expiry_ms: rdr.number("node_expiry_ms", 3_000, 500, 60_000),
            target_expiry_ms: rdr.optional(
                "target_expiry_ms",
                "a whole number from 500 to 60000",
                None,
                |it| it.is_none_or(|it| (500..=60_000).contains(&it)),
            ),
            repair_after_ms: rdr.number("repair_after_ms", 30_000, 1_000, 3_600_000),
            voters: rdr.number("voters", 0, 0, 21),
            snapshot_entries: rdr.number("snapshot_entries", 1_000, 10, 1_000_000),
            snapshot_bytes: rdr.number("snapshot_bytes", 8 << 20, 1 << 20, 1 << 30),
            max_descriptors: rdr.number("max_descriptors", 4_096, 64, 1 << 20),
            memory_mb: rdr.number("memory_mb", memory::DEFAULT_MEMORY_MB, 32, 1 << 20),
        }
    }
}

/// Settings of an entry host.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The name of the host.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// The HTTP address for callers, targets and operators.
    pub listen_http: SocketAddr,
    /// The RPC address for other processes of the system.
    pub listen_rpc: SocketAddr,
    /// The RPC addresses of the control hosts.
    pub control: Vec<SocketAddr>,
    /// The bearer token that operators' requests must carry.
    pub operator_token: String,
    /// The duration of the freshness lease: how long the configuration may be used after a successful poll.
    pub lease_ms: u64,
    /// How long a poll may wait at a control host for a newer revision.
    pub poll_interval_ms: u64,
    /// The maximum time that a target may execute a sub-request. A new owner waits this long after the lease of a
    /// target's previous owner, so that requests of both do not overlap.
    pub max_sub_request_ms: u64,
    /// The `node_expiry_ms` of the control hosts: they remove an entry host that has not polled for this long.
    pub node_expiry_ms: u64,
    /// How long callers may cache the list of entry hosts.
    pub entries_ttl_ms: u64,
    /// The time without a complete response after which the owner sends no new requests on the open connections to a
    /// target and replaces them. It is longer for targets whose usual latency is higher. It is also the time limit for
    /// health checks of a connection, and the maximum delay before a sub-request is hedged.
    pub silence_ms: u64,
    /// The maximum number of hedged sub-requests, in percent of all sub-requests.
    pub hedge_percent: u64,
    /// The maximum number of retried sub-requests that may have been executed before, in percent of all sub-requests.
    pub retry_percent: u64,
    /// The maximum number of concurrent queries.
    pub max_queries: u64,
    /// The number of worker threads. Each further thread adds CPU time to every sub-request, because tasks move between
    /// threads.
    pub workers: u64,
    /// The file to which spans are written. Tracing is off if not set.
    pub trace_file: Option<PathBuf>,
    /// One request in this many is traced. Requests whose `traceparent` has the sampled flag are always traced.
    pub trace_one_in: u64,
}

impl Settings for Entry {
    fn read(rdr: &mut Reader) -> Self {
        Self {
            name: rdr.name("name"),
            zone: rdr.name("zone"),
            listen_http: rdr.address("listen_http"),
            listen_rpc: rdr.address("listen_rpc"),
            control: rdr.addresses("control"),
            operator_token: rdr.token(),
            lease_ms: rdr.number("lease_ms", 2_000, 200, 10_000),
            poll_interval_ms: rdr.number("poll_interval_ms", 500, 50, 5_000),
            max_sub_request_ms: rdr.number("max_sub_request_ms", 2_000, 10, 60_000),
            node_expiry_ms: rdr.number("node_expiry_ms", 3_000, 500, 60_000),
            entries_ttl_ms: rdr.number("entries_ttl_ms", 5_000, 100, 600_000),
            silence_ms: rdr.number("silence_ms", 250, 10, 10_000),
            hedge_percent: rdr.number("hedge_percent", 3, 0, 100),
            retry_percent: rdr.number("retry_percent", 5, 0, 100),
            max_queries: rdr.number("max_queries", 256, 1, 100_000),
            workers: rdr.number("workers", 2, 1, 256),
            trace_file: rdr.optional("trace_file", "a file", None, |_| true),
            trace_one_in: rdr.number("trace_one_in", 1_000, 1, 1_000_000_000),
        }
    }
}

/// Settings of a process that runs stand-in targets, for the demo, tests and measurements.
#[derive(Clone, Debug)]
pub struct Target {
    /// The address of the control interface, through which the demo and tests inject faults and read statistics.
    pub listen_lab: SocketAddr,
    /// HTTP addresses of entry hosts at which the targets announce themselves, tried in order.
    pub entries: Vec<SocketAddr>,
    /// The random seed of the generated data set.
    pub seed: u64,
    /// The number of rows in each version of the data set.
    pub rows: u64,
    /// The targets that this process runs.
    pub targets: Vec<TargetSpec>,
}

/// Settings of one stand-in target.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// The name of the target.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// The HTTP address that it listens on.
    pub listen: SocketAddr,
    /// The labels that it announces.
    pub labels: BTreeMap<String, String>,
    /// The number of requests that it executes concurrently when warm.
    pub slots: u32,
    /// The number of requests that it executes concurrently when cold.
    pub warm_up: u32,
    /// The maximum number of open connections.
    pub connections: u32,
    /// The delay before a new connection is served, in milliseconds.
    pub connect_ms: u64,
    /// The median service time of a request, in microseconds.
    pub service_us: u64,
    /// The time from a cold start, or from a simulated cold state, until it is warm, in milliseconds.
    pub warm_after_ms: u64,
    /// The shards that it holds.
    pub holdings: Vec<Holding>,
}

impl Settings for Target {
    fn read(rdr: &mut Reader) -> Self {
        Self {
            listen_lab: rdr.address("listen_lab"),
            entries: rdr.addresses("entries"),
            seed: rdr.number("seed", 1, 0, u64::MAX >> 1),
            rows: rdr.number("rows", 10_000, 1, 10_000_000),
            targets: rdr.required(
                "targets",
                "a list of targets with name, zone, listen, labels, slots, warm_up, connections, \
                 connect_ms, service_us, warm_after_ms and holdings",
                Vec::new(),
                |it: &Vec<TargetSpec>| it.iter().all(TargetSpec::valid),
            ),
        }
    }
}

impl TargetSpec {
    fn valid(&self) -> bool {
        let labels: &Labels = &self.labels;
        let names =
            [&self.name, &self.zone].into_iter().chain(labels.keys()).chain(labels.values());
        names.into_iter().all(|it| check_name(it).is_ok())
            && self.slots > 0
            && self.warm_up > 0
            && self.connections > 0
    }
}

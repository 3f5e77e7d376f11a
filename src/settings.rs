//! TOML settings of each process, checked in full: every problem of a file is reported at once.

use std::{
    collections::BTreeMap,
    fmt,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use strum::{Display, EnumString};

use crate::state::{Holding, Labels, check_name};

/// One problem of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The key concerned.
    pub key: String,
    /// The value found, as TOML.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

/// All problems of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problems {
    /// The file.
    pub file: PathBuf,
    /// Its problems.
    pub problems: Vec<Problem>,
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, it) in self.problems.iter().enumerate() {
            let end = if i + 1 < self.problems.len() { "\n" } else { "" };
            let file = self.file.display();
            write!(f, "{file}: {} = {}: allowed is {}{end}", it.key, it.value, it.allowed)?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}

/// Settings that can be read from a TOML file.
pub trait Settings: Sized {
    /// Takes the settings from the keys of a file.
    fn read(rdr: &mut Reader) -> Self;
}

/// Reads and checks a settings file.
pub fn load<S: Settings>(path: &Path) -> Result<S, Problems> {
    let fail = |key: &str, value: String, allowed: &str| Problems {
        file: path.to_owned(),
        problems: vec![Problem { key: key.into(), value, allowed: allowed.into() }],
    };
    let text = std::fs::read_to_string(path)
        .map_err(|err| fail("file", err.to_string(), "a readable file"))?;
    let table: toml::Table =
        text.parse().map_err(|err: toml::de::Error| fail("file", err.to_string(), "TOML"))?;
    let mut rdr = Reader { table, known: Vec::new(), problems: Vec::new() };
    let settings = S::read(&mut rdr);
    let problems = rdr.finish();
    if problems.is_empty() {
        Ok(settings)
    } else {
        Err(Problems { file: path.to_owned(), problems })
    }
}

/// Takes values out of a settings file and collects the problems.
pub struct Reader {
    table: toml::Table,
    known: Vec<&'static str>,
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
            self.known.push(key);
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
        self.known.push(key);
        let Some(found) = self.table.remove(key) else { return default };
        let shown = if key.contains("token") { "(hidden)".into() } else { found.to_string() };
        match found.try_into::<T>() {
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
        let allowed = format!("one of the keys {}", self.known.join(", "));
        for (key, value) in std::mem::take(&mut self.table) {
            let shown = if key.contains("token") { "(hidden)".into() } else { value.to_string() };
            self.problem(&key, shown, &allowed);
        }
        self.problems
    }
}

/// What a control host is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// A member of the first voter set; joins as a learner if a cluster exists already.
    Voter,
    /// A learner that replaces a voter that stays silent.
    Spare,
}

/// Settings of a control host.
#[derive(Clone, Debug)]
pub struct Control {
    /// The name of the host.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// The address for operators.
    pub listen_http: SocketAddr,
    /// The address for other processes of the system.
    pub listen_rpc: SocketAddr,
    /// The folder for durable state.
    pub data_dir: PathBuf,
    /// The RPC addresses of all first voters, this one included.
    pub peers: Vec<SocketAddr>,
    /// What the host is for.
    pub role: Role,
    /// The secret that operators' requests carry.
    pub operator_token: String,
    /// The leader's heartbeat interval.
    pub heartbeat_ms: u64,
    /// The shortest election timeout; the longest is twice as long.
    pub election_ms: u64,
    /// How long an entry host may stay silent.
    pub node_expiry_ms: u64,
    /// How long the announcement of a target may stay without a renewal; the owners look after it if not set.
    pub target_expiry_ms: Option<u64>,
    /// How long a voter may stay silent before it is replaced.
    pub repair_after_ms: u64,
    /// Learners become voters until there are this many.
    pub voters: u64,
    /// How many log entries are kept before they are replaced by a snapshot.
    pub snapshot_entries: u64,
}

impl Settings for Control {
    fn read(rdr: &mut Reader) -> Self {
        Self {
            name: rdr.name("name"),
            zone: rdr.name("zone"),
            listen_http: rdr.address("listen_http"),
            listen_rpc: rdr.address("listen_rpc"),
            data_dir: rdr.required("data_dir", "a folder", PathBuf::new(), |_| true),
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
    /// The address for callers and targets.
    pub listen_http: SocketAddr,
    /// The address for other processes of the system.
    pub listen_rpc: SocketAddr,
    /// The RPC addresses of the control hosts.
    pub control: Vec<SocketAddr>,
    /// The secret that operators' requests carry.
    pub operator_token: String,
    /// How long a confirmed configuration may be used.
    pub lease_ms: u64,
    /// The longest wait of a poll.
    pub poll_interval_ms: u64,
    /// The longest time that a sub-request may run.
    pub max_sub_request_ms: u64,
    /// After this silence the control hosts remove an entry host.
    pub node_expiry_ms: u64,
    /// How long callers keep the list of entry hosts.
    pub entries_ttl_ms: u64,
    /// A connection with work outstanding and no bytes for this long gets no new work.
    pub silence_ms: u64,
    /// Hedged sub-requests, as a share of all in percent.
    pub hedge_percent: u64,
    /// Repeated sub-requests, as a share of all in percent.
    pub retry_percent: u64,
    /// How many queries run at once.
    pub max_queries: u64,
    /// How many threads work on requests. Each one more costs CPU time per sub-request, because work moves between them.
    pub workers: u64,
    /// Where spans go; no spans without it.
    pub trace_file: Option<PathBuf>,
    /// One request in this many is traced, unless its caller asks for it.
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

/// Settings of a process of stand-in targets.
#[derive(Clone, Debug)]
pub struct Target {
    /// The address of the process itself, for the demo and the tests to steer it.
    pub listen_lab: SocketAddr,
    /// HTTP addresses of entry hosts, tried in order.
    pub entries: Vec<SocketAddr>,
    /// The seed of the data set.
    pub seed: u64,
    /// The number of rows of each version of the data set.
    pub rows: u64,
    /// The targets that this process hosts.
    pub targets: Vec<TargetSpec>,
}

/// One stand-in target.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// The name of the target.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// The address of its listener.
    pub listen: SocketAddr,
    /// The labels that it announces.
    pub labels: BTreeMap<String, String>,
    /// How many requests it runs at once when warm.
    pub slots: u32,
    /// How many requests it bears in a cold start.
    pub warm_up: u32,
    /// How many connections it accepts.
    pub connections: u32,
    /// What a new connection costs, in milliseconds.
    pub connect_ms: u64,
    /// The median time of one request, in microseconds.
    pub service_us: u64,
    /// The time after its start or after a lapse until it is warm, in milliseconds.
    pub warm_after_ms: u64,
    /// What it holds.
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
